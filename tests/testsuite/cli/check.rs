//! `lapisdrum check` of catalogue files: faults, warnings and differences.

use super::{all_seen, done, done_json, fails};
use crate::support::process::Site;
use lapisdrum_standins::site;
use serde_json::{Value, json};
use std::fs;
use tempfile::TempDir;

/// A catalogue of one entry with these keys beside the required ones.
fn entry(class: &str, keys: &str) -> String {
    format!(
        "[[entry]]\nname = \"render\"\nowner = \"gallery\"\nclass = \"{class}\"\nmillicores = 1000\nmemory_mb = 512\n{keys}\n"
    )
}

fn file(dir: &TempDir, name: &str, text: &str) -> String {
    let path = dir.path().join(name);
    fs::write(&path, text).expect("the file is written");
    path.to_str().expect("a path in text").to_owned()
}

/// The keys that a catalogue is warned of, without a daemon.
fn warned(class: &str, keys: &str) -> Vec<String> {
    let dir = TempDir::new().expect("a temporary folder");
    let file = file(&dir, "catalogue.toml", &entry(class, keys));
    let report = done_json(site::free_address(), &["check", &file]);
    let warnings = report["content"]["catalogue"]["warnings"].as_array();
    let warnings = warnings.expect("warnings").iter();
    let key = |warning: &Value| warning["key"].as_str().map(str::to_owned);
    warnings.filter_map(key).collect()
}

/// Guards against limits that contradict each other, and keys without a meaning, that pass unseen.
#[test]
fn keys_that_cannot_take_effect_are_warned_of() {
    let requests = |keys: &str| warned("latency-critical", keys);
    let jobs = |keys: &str| warned("batch", keys);
    // Ten a second for up to 2.5 s: at most thirty are under way.
    let rate = "rate_per_s = 10\ndeadline_ms = 2500";
    assert_eq!(
        requests(&format!("{rate}\nconcurrency = 31\nqueue = 31")),
        ["concurrency", "queue"]
    );
    assert!(requests(&format!("{rate}\nconcurrency = 30\nqueue = 30")).is_empty());
    assert!(requests(rate).is_empty(), "defaults are nobody's mistake");
    assert_eq!(
        requests("hold_ms = 1000\nmax_failures = 2\nbody_bytes = 0"),
        ["body_bytes", "hold_ms", "max_failures"]
    );
    assert_eq!(
        jobs("rate_per_s = 1\nidempotent = true"),
        ["rate_per_s", "idempotent"]
    );
    assert!(jobs("hold_ms = 1000\nmax_failures = 2\nqueue = 0").is_empty());
    assert!(jobs("rate_per_s = 1\nretired = true").is_empty());
}

/// Guards against a comparison that needs a daemon, hides a difference, or is made for settings.
#[test]
fn a_catalogue_is_compared_with_a_file() {
    let nobody = site::free_address();
    let dir = TempDir::new().expect("a temporary folder");
    let other = "[[entry]]\nname = \"other\"\nowner = \"trail\"\nclass = \"batch\"\nmillicores = 1\nmemory_mb = 1\n";
    let before = format!("{}{other}", entry("batch", ""));
    let before = file(&dir, "before.toml", &before);
    let after = format!(
        "{}{}",
        entry("batch", "queue = 8"),
        other.replace("other", "third")
    );
    let after = file(&dir, "after.toml", &after);
    let shown = done(nobody, &["check", &after, "--against", &before]);
    for line in [
        "2 entries differ",
        "render: changed\n  queue: 8",
        "third: new",
        "other: not in this file, stays as it is",
    ] {
        assert!(shown.contains(line), "{line}: {shown}");
    }
    let same = done_json(nobody, &["check", &after, "--against", &after]);
    let differences = &same["content"]["catalogue"]["differences"];
    assert_eq!(differences["entries"], json!([]));
    fails(nobody, 2, &["check", &after, "--against", "missing.toml"]);
    fails(nobody, 1, &["check", &after, "--against", "in-force"]);
    let settings = file(&dir, "daemon.toml", "[daemon]\n");
    fails(nobody, 2, &["check", &settings, "--against", &before]);
}

/// Guards against entries that no worker of the site can run, and limits that its daemons or shards get no part of.
#[actix_rt::test]
async fn a_catalogue_is_compared_with_the_site() {
    let site = Site::start(2, 1).await;
    let daemon = site.daemons[0].plan.callers;
    all_seen(daemon, 2).await;
    let dir = TempDir::new().expect("a temporary folder");
    let small = file(&dir, "small.toml", &entry("latency-critical", ""));
    done(daemon, &["catalogue", "apply", "--wait", &small]);
    let same = done(daemon, &["check", &small, "--against", "in-force"]);
    assert!(
        same.contains("against in-force: 0 entries differ"),
        "{same}"
    );
    assert!(!same.contains("warning"), "{same}");
    let wide = entry("latency-critical", "rate_per_s = 1").replace("1000", "900000");
    let wide = file(&dir, "wide.toml", &wide);
    let shown = done(daemon, &["check", &wide, "--against", "in-force"]);
    for line in [
        "`millicores`: fits none of the 1 workers",
        "`rate_per_s`: 1 is divided over 2 daemons",
        "millicores: 1000 -> 900000",
    ] {
        assert!(shown.contains(line), "{line}: {shown}");
    }
}
