//! The shipped examples are valid without changes.

use crate::support::process::lapisdrum_binary;
use lapisdrum::{core::catalogue::Class, settings::entries};
use std::{fs, path::Path, process::Command};

const SETTINGS: [&str; 3] = [
    "examples/local.toml",
    "examples/mwangaza-westlands-1.toml",
    "examples/indus-lahore-a-1.toml",
];

const CATALOGUES: [&str; 3] = [
    "examples/catalogue.toml",
    "examples/mwangaza-catalogue.toml",
    "examples/indus-catalogue.toml",
];

/// Each example of a settings file must be accepted by the binary, since users start from a copy.
#[test]
fn every_example_passes_the_check() {
    for file in SETTINGS.iter().chain(&CATALOGUES) {
        let checked = Command::new(lapisdrum_binary())
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .args(["check", file])
            .output()
            .expect("it runs");
        let shown = String::from_utf8_lossy(&checked.stderr);
        assert!(checked.status.success(), "{shown}");
    }
}

/// Each catalogue must show all three classes of work that its deployment handles.
#[test]
fn every_example_catalogue_has_the_three_classes() {
    for file in CATALOGUES {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
        let text = fs::read_to_string(path).expect("the example is there");
        let entries = entries::parse(file, &text).expect("no faults");
        for class in [Class::LatencyCritical, Class::Batch, Class::LongRunning] {
            let named = class.to_string();
            assert!(
                entries.iter().any(|raw| raw.class == named),
                "{file}: no {named}"
            );
        }
    }
}
