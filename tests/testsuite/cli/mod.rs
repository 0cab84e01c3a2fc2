//! The command line, run as the real binary: its output and its exit statuses.

mod catalogue;
mod check;
mod definitions;
mod logs;
mod pages;
mod site;
mod version;

use crate::support::{process::lapisdrum_binary, wait};
use std::{
    net::SocketAddr,
    process::{Command, Output},
    time::Duration,
};

/// Upper bound of each wait, which takes a second or two on an idle machine.
const LIMIT: Duration = Duration::from_secs(20);

/// Runs the binary against a daemon.
fn lapisdrum(daemon: SocketAddr, args: &[&str]) -> Output {
    let mut command = Command::new(lapisdrum_binary());
    command.env("LAPISDRUM_DAEMON", daemon.to_string());
    command.args(args).output().expect("the binary runs")
}

/// The standard output of a run that must exit with status 0.
fn done(daemon: SocketAddr, args: &[&str]) -> String {
    let output = lapisdrum(daemon, args);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{args:?}: {errors}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Like [`done`], parsed from one line of JSON.
fn done_json(daemon: SocketAddr, args: &[&str]) -> serde_json::Value {
    let text = done(daemon, &[&["--output", "json"], args].concat());
    assert_eq!(text.lines().count(), 1, "one line: {text}");
    serde_json::from_str(&text).unwrap_or_else(|e| panic!("{args:?}: {e}: {text}"))
}

/// The standard error of a run that must exit with `status`.
fn fails(daemon: SocketAddr, status: i32, args: &[&str]) -> String {
    let output = lapisdrum(daemon, args);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(status), "{args:?}: {errors}");
    errors
}

/// Waits until the daemon has found `count` daemons and all of them answer: it finds the others by
/// their table rows, some time after it is ready itself.
async fn all_seen(daemon: SocketAddr, count: usize) {
    wait::until("all daemons are seen and answer", LIMIT, async || {
        let report = done_json(daemon, &["status"]);
        let daemons = report["daemons"].as_array().cloned().unwrap_or_default();
        daemons.len() == count && daemons.iter().all(|daemon| daemon["answer"].is_object())
    })
    .await;
}
