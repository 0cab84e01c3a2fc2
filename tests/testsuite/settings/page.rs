//! Compares docs/SETTINGS.md with the code.

use lapisdrum::{core::catalogue::RawEntry, settings::table};
use serde_json::json;
use std::{fs, path::Path};

fn page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/SETTINGS.md");
    fs::read_to_string(path).expect("the page is there")
}

/// The ranges and defaults on the page must be those of the parser.
#[test]
fn the_page_holds_the_reader_s_table() {
    let table = table::markdown();
    assert!(
        page().contains(&table),
        "put this into docs/SETTINGS.md:\n{table}"
    );
}

/// The page must name every key of a catalogue entry.
#[test]
fn the_page_names_every_key_of_an_entry() {
    let raw = json!({
        "name": "a", "owner": "a", "class": "batch", "millicores": 1, "memory_mb": 1
    });
    let raw: RawEntry = serde_json::from_value(raw).expect("an entry");
    let keys = serde_json::to_value(raw).expect("an entry");
    let page = page();
    for key in keys.as_object().expect("an object").keys() {
        assert!(
            page.contains(&format!("| `{key}` |")),
            "`{key}` is not on the page"
        );
    }
}
