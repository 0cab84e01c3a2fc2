//! Help, completions, man pages and exit statuses that need no daemon.

use super::{done, fails};
use lapisdrum_standins::site;
use std::fs;
use tempfile::TempDir;

const SUBCOMMANDS: [&str; 8] = [
    "run",
    "check",
    "catalogue",
    "jobs",
    "status",
    "timeline",
    "completions",
    "man",
];

/// Each subcommand's help must show an example that an operator can copy.
#[test]
fn every_help_has_examples() {
    let nobody = site::free_address();
    let nested: [&[&str]; 9] = [
        &["catalogue", "apply"],
        &["catalogue", "list"],
        &["catalogue", "show"],
        &["catalogue", "retire"],
        &["catalogue", "history"],
        &["jobs", "submit"],
        &["jobs", "show"],
        &["jobs", "list"],
        &["jobs", "cancel"],
    ];
    let flat = SUBCOMMANDS
        .iter()
        .filter(|name| !matches!(**name, "catalogue" | "jobs"));
    let mut paths: Vec<Vec<&str>> = flat.map(|name| vec![*name]).collect();
    paths.extend(nested.iter().map(|path| path.to_vec()));
    for mut path in paths {
        path.push("--help");
        let help = done(nobody, &path);
        assert!(help.contains("Example"), "{path:?}: {help}");
    }
}

/// Completions and man pages are generated from the same definition and must name every subcommand.
#[test]
fn completions_and_man_pages_name_every_subcommand() {
    let nobody = site::free_address();
    for shell in ["bash", "zsh", "fish"] {
        let script = done(nobody, &["completions", shell]);
        for name in SUBCOMMANDS {
            assert!(script.contains(name), "{shell}: {name}");
        }
    }
    let page = done(nobody, &["man"]);
    assert!(page.contains(".TH lapisdrum 1"), "{page}");
    let dir = TempDir::new().expect("a temporary folder");
    let folder = dir.path().to_str().expect("a path in text");
    done(nobody, &["man", "--dir", folder]);
    for name in SUBCOMMANDS {
        let page = fs::read_to_string(dir.path().join(format!("lapisdrum-{name}.1")));
        assert!(page.is_ok_and(|page| page.contains(name)), "{name}");
    }
}

/// Scripts depend on the exit status: 2 for wrong arguments, 1 if no daemon answers.
#[test]
fn wrong_arguments_and_an_unreachable_daemon_have_their_statuses() {
    let nobody = site::free_address();
    fails(nobody, 2, &["status", "--daemon", "entry-host:7000"]);
    fails(nobody, 2, &["jobs", "launch"]);
    fails(nobody, 2, &["--output", "xml", "status"]);
    fails(nobody, 2, &["timeline", "--since", "yesterday"]);
    fails(nobody, 2, &["catalogue", "apply", "not-there.toml"]);
    let unreachable = fails(nobody, 1, &["status"]);
    assert!(unreachable.contains("did not answer"), "{unreachable}");
    let json = fails(nobody, 1, &["--output", "json", "status"]);
    let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(json["exit_status"], 1);
}
