//! Catalogue changes: dry run, application, and progress over the daemons.

use super::{all_seen, done, done_json, fails};
use crate::support::{
    process::{Site, lapisdrum_binary},
    relay::{self, Fault},
};
use std::{fs, net::SocketAddr, path::Path, process::Command};
use tempfile::TempDir;

fn entry(memory_mb: u64) -> String {
    format!(
        "[[entry]]\nname = \"render\"\nowner = \"gallery\"\nclass = \"batch\"\n\
         millicores = 1000\nmemory_mb = {memory_mb}\n"
    )
}

fn file(dir: &TempDir, name: &str, text: &str) -> String {
    let path = dir.path().join(name);
    fs::write(&path, text).expect("the file is written");
    path.to_str().expect("a path in text").to_owned()
}

/// An operator runs a dry run, applies the change, waits until all daemons have it, reads the history
/// and retires the entry. Each step must report what it did, in text and in JSON.
#[actix_rt::test]
async fn an_entry_is_shown_applied_and_retired() {
    let site = Site::start(2, 1).await;
    let daemon = site.daemons[0].plan.callers;
    let dir = TempDir::new().expect("a temporary folder");
    let first = file(&dir, "first.toml", &entry(512));
    all_seen(daemon, 2).await;

    let shown = done(daemon, &["catalogue", "apply", "--dry-run", &first]);
    assert!(shown.contains("render: would change"), "{shown}");
    assert!(shown.contains("memory_mb: 512"), "{shown}");
    let list = done_json(daemon, &["catalogue", "list"]);
    assert_eq!(list["revision"], 0, "a dry run changes nothing");

    let applied = done(daemon, &["catalogue", "apply", "--wait", &first]);
    assert!(applied.contains("in force on 2 of 2 daemons"), "{applied}");
    let again = done(daemon, &["catalogue", "apply", &first]);
    assert_eq!(again, "render: unchanged\n");

    let second = file(&dir, "second.toml", &entry(1024));
    let changed = done(daemon, &["catalogue", "apply", "--wait=30", &second]);
    assert!(changed.contains("memory_mb: 512 -> 1024"), "{changed}");
    let shown = done_json(daemon, &["catalogue", "show", "render"]);
    assert_eq!(shown["entry"]["memory_mb"], 1024);

    let retired = done_json(daemon, &["catalogue", "retire", "render", "--wait"]);
    assert_eq!(retired["in_force"]["on"], 2, "{retired}");
    let history = done_json(daemon, &["catalogue", "history"]);
    assert_eq!(history["changes"][0]["revision"], 3, "{history}");
    assert_eq!(history["changes"][0]["retired"], true, "{history}");

    let refused = fails(daemon, 3, &["jobs", "submit", "render"]);
    assert!(refused.contains("retired"), "{refused}");
    fails(daemon, 2, &["catalogue", "show", "nothing"]);
    fails(daemon, 2, &["jobs", "submit", "nothing"]);
}

/// Guards against a change made twice: it takes effect, and the connection breaks before the response.
/// The command line must retry under the same change id and report the first revision, not a second
/// change and not a conflict with itself.
#[actix_rt::test]
async fn a_lost_response_is_retried_and_changes_nothing_twice() {
    let site = Site::start(1, 1).await;
    let daemon = site.daemons[0].plan.callers;
    let dir = TempDir::new().expect("a temporary folder");
    let relayed = relay::start(daemon, Fault::LoseResponse);
    let first = file(&dir, "first.toml", &entry(512));
    let applied = done(relayed, &["catalogue", "apply", &first]);
    assert!(applied.contains("render: revision 1"), "{applied}");
    let list = done_json(daemon, &["catalogue", "list"]);
    assert_eq!(list["revision"], 1, "{list}");
}

fn apply_quietly(daemon: SocketAddr, file: &Path) {
    let applied = Command::new(lapisdrum_binary())
        .env("LAPISDRUM_DAEMON", daemon.to_string())
        .args(["catalogue", "apply"])
        .arg(file)
        .output();
    assert!(applied.is_ok_and(|output| output.status.success()));
}

/// Two operators change one entry concurrently. The second must be refused with the current revision,
/// and the first one's change stays in force.
#[actix_rt::test]
async fn the_loser_of_a_race_is_refused_with_the_current_revision() {
    let site = Site::start(1, 1).await;
    let daemon = site.daemons[0].plan.callers;
    let dir = TempDir::new().expect("a temporary folder");
    let mine = file(&dir, "mine.toml", &entry(512));
    let theirs = dir.path().join("theirs.toml");
    fs::write(&theirs, entry(2048)).expect("the file is written");
    let overtake = move || apply_quietly(daemon, &theirs);
    let relayed = relay::start(daemon, Fault::Overtaken(Box::new(overtake)));
    let refused = fails(relayed, 3, &["catalogue", "apply", &mine]);
    assert!(refused.contains("revision 1"), "{refused}");
    let shown = done_json(daemon, &["catalogue", "show", "render"]);
    assert_eq!(shown["entry"]["memory_mb"], 2048);
}
