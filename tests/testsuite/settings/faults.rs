//! Every wrong key, address, duration and limit is reported with its line, key and allowed values.

use crate::support::process::lapisdrum_binary;
use lapisdrum::settings::{
    Settings, entries,
    table::{Kind, SETTINGS},
};
use proptest::prelude::*;
use std::{fs, process::Command};
use tempfile::TempDir;

const WRONG_SETTINGS: &str = "\
[daemon]
name = \"Westlands 1\"
callers = \"entry-host:7000\"
peers = \"127.0.0.1\"

[platform]
address = 7900
timeout_ms = \"1s\"

[shards]
lease_ms = 1000
renew_ms = 600
count = 0
leese_ms = 4000

[log]
format = \"xml\"

[peers]
list = []
";

const WRONG_CATALOGUE: &str = "\
[[entry]]
name = \"route-map\"
owner = \"trail\"
class = \"urgent\"
millicores = 0
memory_mb = \"256\"
deadline = 1000

[[entry]]
name = \"route-map\"
owner = \"Trail!\"
class = \"batch\"
memory_mb = 256
";

fn check(text: &str) -> (Option<i32>, String) {
    let dir = TempDir::new().expect("a temporary folder");
    let file = dir.path().join("wrong.toml");
    fs::write(&file, text).expect("the file is written");
    let mut command = Command::new(lapisdrum_binary());
    let checked = command.arg("check").arg(&file).output().expect("it runs");
    let text = String::from_utf8_lossy(&checked.stderr).into_owned();
    (checked.status.code(), text)
}

fn assert_named(shown: &str, wanted: &[(u32, &str, &str)]) {
    for (line, key, phrase) in wanted {
        let start = format!("wrong.toml:{line}: `{key}`: ");
        let found = shown
            .lines()
            .any(|l| l.contains(&start) && l.contains(phrase));
        assert!(found, "{start}...{phrase} not in\n{shown}");
    }
    assert_eq!(
        shown.lines().count(),
        wanted.len(),
        "one line a fault:\n{shown}"
    );
}

/// All faults must be reported at once, in the order of the lines, so that an operator can fix a file in
/// one go; the exit status tells a script that the input was wrong.
#[test]
fn all_faults_of_settings_are_named_at_once() {
    let (status, shown) = check(WRONG_SETTINGS);
    assert_eq!(status, Some(2), "{shown}");
    assert_named(
        &shown,
        &[
            (1, "daemon.data_centre", "is missing"),
            (2, "daemon.name", "1 to 96 characters"),
            (3, "daemon.callers", "IP number and port"),
            (4, "daemon.peers", "IP number and port"),
            (7, "platform.address", "not a text in quotes"),
            (8, "platform.timeout_ms", "from 10 to 60000"),
            (12, "shards.renew_ms", "at most half of `shards.lease_ms`"),
            (13, "shards.count", "from 1 to 64"),
            (14, "shards.leese_ms", "unknown key"),
            (17, "log.format", "none of text, json"),
            (20, "peers.list", "unknown key"),
        ],
    );
}

/// Values that are valid one by one but don't work together: the daemon would be unreachable, or would
/// lose its lease at the first call that hangs.
#[test]
fn inconsistent_settings_are_named() {
    let text = "[daemon]\nname = \"a\"\ndata_centre = \"a\"\ncallers = \"0.0.0.0:7000\"\n\
                peers = \"0.0.0.0:7000\"\n[platform]\naddress = \"127.0.0.1:7900\"\n\
                timeout_ms = 4000\n[shards]\ntask_lease_ms = 100\n";
    let (status, shown) = check(text);
    assert_eq!(status, Some(2), "{shown}");
    assert_named(
        &shown,
        &[
            (4, "daemon.callers", "by which others reach"),
            (5, "daemon.peers", "by which others reach"),
            (5, "daemon.peers", "must differ from `daemon.callers`"),
            (8, "platform.timeout_ms", "less `shards.renew_ms`"),
            (9, "shards.task_renew_ms", "at most half of"),
        ],
    );
}

/// The same for a catalogue: wrong types, unknown and missing keys, values out of range and a duplicate
/// name.
#[test]
fn all_faults_of_a_catalogue_are_named_at_once() {
    let (status, shown) = check(WRONG_CATALOGUE);
    assert_eq!(status, Some(2), "{shown}");
    assert_named(
        &shown,
        &[
            (
                4,
                "entry[0].class",
                "`latency-critical`, `batch`, `long-running`",
            ),
            (5, "entry[0].millicores", "0 is outside 1 to 1000000"),
            (6, "entry[0].memory_mb", "invalid type"),
            (7, "entry[0].deadline", "unknown field"),
            (9, "entry[1].millicores", "is missing"),
            (10, "entry[1].name", "is defined twice"),
            (11, "entry[1].owner", "1 to 96 characters"),
        ],
    );
}

/// A file that isn't TOML must be reported with the line of the syntax error; a missing file is wrong
/// input too.
#[test]
fn invalid_toml_is_named_with_its_line() {
    let (status, shown) = check("[daemon]\nname = \"a\"\ncallers = = 1\n");
    assert_eq!(status, Some(2), "{shown}");
    assert!(shown.contains("wrong.toml:3: not TOML"), "{shown}");
    let absent = Command::new(lapisdrum_binary())
        .args(["run", "--config", "not-there.toml"])
        .output()
        .expect("it runs");
    assert_eq!(absent.status.code(), Some(2));
}

fn with_setting(key: &str, value: u64) -> String {
    let (table, name) = key.split_once('.').expect("a table and a name");
    let required = "name = \"a\"\ndata_centre = \"a\"\ncallers = \"127.0.0.1:1\"\npeers = \
                    \"127.0.0.1:2\"\n";
    let mut tables = vec![
        ("daemon", required.to_owned()),
        ("platform", "address = \"127.0.0.1:3\"\n".to_owned()),
    ];
    match tables.iter_mut().find(|(own, _)| *own == table) {
        Some((_, keys)) => keys.push_str(&format!("{name} = {value}\n")),
        None => tables.push((table, format!("{name} = {value}\n"))),
    }
    let written = tables
        .iter()
        .map(|(table, keys)| format!("[{table}]\n{keys}"));
    written.collect()
}

proptest! {
    /// Each numeric setting must be accepted within the documented range and refused, with that range,
    /// outside of it.
    #[test]
    fn numbers_are_held_to_the_page_s_range(
        which in any::<prop::sample::Index>(),
        value in prop_oneof![0_u64..200, 0_u64..20_000, any::<u32>().prop_map(u64::from)],
    ) {
        let numbers: Vec<_> = SETTINGS.iter().filter_map(|setting| match setting.kind {
            Kind::Number { min, max, .. } => Some((setting.key, min, max)),
            _ => None,
        }).collect();
        let (key, min, max) = numbers[which.index(numbers.len())];
        let checked = Settings::parse("some.toml", &with_setting(key, value));
        let named = checked.err().map(|e| e.to_string()).unwrap_or_default();
        let range = format!("`{key}`: {value} is not a whole number from {min} to {max}");
        prop_assert_eq!(named.contains(&range), !(min..=max).contains(&value), "{}", named);
    }

    /// No text may make the parsers panic, and a refusal must name the file.
    #[test]
    fn any_text_is_read_or_refused(text in "(\\[+[a-z]{0,6}\\]+\n|[a-z_]{1,8} ?= ?[0-9\"a-z\\[\\]{}.]{0,8}\n){0,8}") {
        for shown in [
            Settings::parse("some.toml", &text).err().map(|e| e.to_string()),
            entries::parse("some.toml", &text).err().map(|e| e.to_string()),
        ] {
            prop_assert!(shown.is_none_or(|shown| shown.contains("some.toml")));
        }
    }
}
