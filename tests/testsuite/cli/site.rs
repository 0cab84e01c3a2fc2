//! Status, jobs and timeline of a site, also while a daemon is down.

use super::{LIMIT, all_seen, done, done_json};
use crate::support::{process::Site, wait};
use lapisdrum::core::catalogue::RawEntry;
use lapisdrum_standins::worker::server::WorkerSwitches;
use serde_json::{Value, json};
use std::net::SocketAddr;

async fn prepare(site: &Site) {
    let entry = json!({
        "name": "stream", "owner": "studios", "class": "long-running",
        "millicores": 1000, "memory_mb": 512
    });
    let raw: RawEntry = serde_json::from_value(entry).expect("a raw entry");
    let client = site.daemons[0].client();
    client.put_entry(&raw, None).await.expect("accepted");
    for worker in &site.workers {
        let endless = vec!["stream".to_owned()];
        let switches = WorkerSwitches {
            endless,
            ..WorkerSwitches::default()
        };
        worker.switch_worker(&switches).await;
    }
}

/// Submits through the command line until the entry is in force there.
async fn submit(daemon: SocketAddr) -> String {
    wait::until_some("a job is accepted", LIMIT, async || {
        let args = [
            "--output", "json", "jobs", "submit", "stream", "--key", "first",
        ];
        let output = super::lapisdrum(daemon, &args);
        let json: Value = serde_json::from_slice(&output.stdout).ok()?;
        Some(json["job"].as_str()?.to_owned())
    })
    .await
}

/// A job is submitted twice under one key, runs, is listed by both daemons and cancelled. The timeline
/// must show its events in order, filtered by job, by worker and by entry.
#[actix_rt::test]
async fn a_job_is_followed_from_submit_to_cancel() {
    let site = Site::start(2, 1).await;
    prepare(&site).await;
    let (first, second) = (site.daemons[0].plan.callers, site.daemons[1].plan.callers);
    let job = submit(second).await;
    assert_eq!(submit(first).await, job, "one key, one job");
    wait::until("it runs", LIMIT, async || {
        done_json(first, &["jobs", "show", &job])["state"] == "running"
    })
    .await;
    for daemon in [first, second] {
        let list = done_json(daemon, &["jobs", "list", "--entry", "stream"]);
        assert_eq!(list["jobs"].as_array().map(Vec::len), Some(1), "{list}");
        let none = done_json(daemon, &["jobs", "list", "--state", "waiting"]);
        assert_eq!(none["jobs"], json!([]));
        assert_eq!(none["missing"], json!([]));
    }
    super::fails(first, 2, &["jobs", "list", "--state", "asleep"]);

    done(first, &["jobs", "cancel", &job]);
    wait::until("it is cancelled", LIMIT, async || {
        done_json(second, &["jobs", "show", &job])["state"] == "cancelled"
    })
    .await;
    let kinds = |args: &[&str]| -> Vec<String> {
        let line = done_json(second, &[&["timeline"], args].concat());
        let events = line["events"].as_array().cloned().unwrap_or_default();
        let kind = |event: &Value| event["what"]["event"].as_str().map(str::to_owned);
        events.iter().filter_map(kind).collect()
    };
    // The end reaches the timeline shortly after the ledger.
    wait::until("the end is in the timeline", LIMIT, async || {
        kinds(&["--job", &job]).contains(&"job-ended".to_owned())
    })
    .await;
    let expected = ["job-accepted", "task-placed", "task-started", "job-ended"];
    assert_eq!(kinds(&["--job", &job]), expected);
    assert!(kinds(&["--entry", "stream"]).ends_with(&expected.map(str::to_owned)));
    let on_worker = kinds(&["--worker", "worker-0"]);
    assert!(
        on_worker.contains(&"worker-claimed".to_owned()),
        "{on_worker:?}"
    );
    assert!(
        !on_worker.contains(&"revision-applied".to_owned()),
        "{on_worker:?}"
    );
    assert!(kinds(&["--since", "1h"]).len() > expected.len());
    assert!(kinds(&["--since", "2100-01-01T00:00:00Z"]).is_empty());
}

/// One of two daemons is killed. Status and timeline must still be shown, name the daemon that didn't
/// answer, and show which daemon took over its shard.
#[actix_rt::test]
async fn a_killed_daemon_is_named() {
    let mut site = Site::start(2, 1).await;
    prepare(&site).await;
    let asked = site.daemons[0].plan.callers;
    all_seen(asked, 2).await;
    site.daemons[1].process.kill();
    let report = wait::until_some(
        "the other owns the shard, its row silent",
        LIMIT,
        async || {
            let report = done_json(asked, &["status"]);
            let silent = report["daemons"][1]["liveness"] == "silent";
            let owner = report["shards"][0]["owner"] == "westlands-0";
            let worker = report["workers"][0]["condition"] == "live";
            (silent && owner && worker).then_some(report)
        },
    )
    .await;
    assert!(report["daemons"][0]["answer"].is_object(), "{report}");
    assert!(report["daemons"][1]["answer"].is_null(), "{report}");
    assert_eq!(report["daemons"][0]["answer"]["platform_up"], true);
    assert_eq!(report["workers"][0]["capacity"]["millicores"], 16_000);
    let text = done(asked, &["status"]);
    assert!(text.contains("no answer, its row is silent"), "{text}");
    // The daemon records the silence in the timeline at its next check.
    let line = wait::until_some("the silence is in the timeline", LIMIT, async || {
        let line = done(asked, &["timeline"]);
        line.contains("daemon-silent").then_some(line)
    })
    .await;
    assert!(
        line.contains("missing: no answer from westlands-1"),
        "{line}"
    );
}
