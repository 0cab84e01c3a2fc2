//! A platform that is slow or unavailable, or whose responses to successful writes are lost.

use super::runs::{self, LIMIT};
use crate::support::{http, process::Site, wait};
use actix_http::{Method, StatusCode};
use indexmap::IndexSet;
use lapisdrum_standins::platform::server::PlatformSwitches;
use std::time::Duration;

/// Submits a render under an idempotency key until it is accepted; returns the job's id.
async fn submit_keyed(site: &Site, daemon: usize, key: &str) -> String {
    let callers = site.daemons[daemon].plan.callers;
    wait::until_some("a keyed render is accepted", LIMIT, async || {
        let headers = [("idempotency-key", key)];
        let sent = http::send(Method::POST, callers, "/v1/jobs/render", &headers, "").await;
        let answer = sent.ok()?;
        let accepted = answer.status == StatusCode::ACCEPTED;
        let job = answer.json()["job"].as_str().map(str::to_owned);
        job.filter(|_| accepted)
    })
    .await
}

/// Guards against lost and duplicate jobs while the platform loses every write's response, is slow, or
/// is intermittently unavailable. Callers retry under the same key at either daemon: each key must
/// name one job, and each job must run exactly once.
#[actix_rt::test]
async fn lost_responses_and_outages_neither_lose_nor_double_a_render() {
    let site = Site::start(2, 2).await;
    runs::prepare(&site, 300).await;
    runs::submit(&site, 0, "render").await;
    let loses = PlatformSwitches {
        lose_answers: true,
        ..PlatformSwitches::default()
    };
    let slow = PlatformSwitches {
        slow_ms: 200,
        ..PlatformSwitches::default()
    };
    let down = PlatformSwitches {
        down: true,
        ..PlatformSwitches::default()
    };
    let mut jobs = IndexSet::new();
    let mut keys = Vec::new();
    for (phase, switches) in [loses, slow].iter().enumerate() {
        site.platform.switch_platform(switches).await;
        for i in 0..4 {
            let key = format!("render-{phase}-{i}");
            let first = submit_keyed(&site, i % 2, &key).await;
            let again = submit_keyed(&site, (i + 1) % 2, &key).await;
            assert_eq!(first, again, "one job a key");
            jobs.insert(first);
            keys.push(key);
        }
    }
    site.platform.switch_platform(&down).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    site.platform
        .switch_platform(&PlatformSwitches::default())
        .await;
    for key in &keys {
        assert!(jobs.contains(&submit_keyed(&site, 0, key).await), "{key}");
    }
    assert_eq!(jobs.len(), keys.len());
    for job in &jobs {
        runs::reaches(&site, 1, job, "done").await;
    }
    let all = runs::all(&site).await;
    runs::assert_never_doubled(&all);
    for job in &jobs {
        let of_job = all.iter().filter(|run| run.task.as_str() == job);
        assert_eq!(of_job.count(), 1, "{job} ran once: {all:?}");
    }
}

/// Guards against an outage that stops lease renewals: a render ends while the table is unavailable, so
/// its end can't be recorded. The archive task on the same worker must keep running through two task
/// leases, and the render must be done from its one run once the table is available.
#[actix_rt::test]
async fn an_outage_stops_no_running_task_and_loses_no_end() {
    let site = Site::start(1, 1).await;
    runs::prepare(&site, 800).await;
    let client = site.daemons[0].client();
    // A hold longer than the outage.
    let mut entry = runs::raw("archive", "long-running");
    entry.hold_ms = Some(60_000);
    client.put_entry(&entry, None).await.expect("accepted");
    let watcher = runs::submit(&site, 0, "archive").await;
    runs::worker_of(&site, &watcher).await;
    let render = runs::submit(&site, 0, "render").await;
    runs::worker_of(&site, &render).await;
    let down = PlatformSwitches {
        down: true,
        ..PlatformSwitches::default()
    };
    site.platform.switch_platform(&down).await;
    // The render ends and a task's lease passes twice.
    tokio::time::sleep(Duration::from_secs(7)).await;
    let all = runs::all(&site).await;
    let kept = all.iter().find(|run| run.task.as_str() == watcher);
    assert_eq!(kept.expect("a run").to_ms, None, "it still runs: {all:?}");
    site.platform
        .switch_platform(&PlatformSwitches::default())
        .await;
    runs::reaches(&site, 0, &render, "done").await;
    let all = runs::all(&site).await;
    runs::assert_never_doubled(&all);
    let renders = all.iter().filter(|run| run.task.as_str() == render);
    assert_eq!(renders.count(), 1, "{all:?}");
}

/// Guards against duplicate jobs when a caller repeats a submission under the same key through another
/// data centre. Both daemons forward it to the key's home data centre, so there is one job.
#[actix_rt::test]
async fn a_key_names_one_job_through_every_data_centre() {
    let site = Site::start_with(2, 1, |plan| {
        if plan.name.ends_with("-1") {
            plan.data_centre = "karen".to_owned();
        }
    })
    .await;
    runs::prepare(&site, 300).await;
    for i in 0..6 {
        let key = format!("render-{i}");
        let first = submit_keyed(&site, i % 2, &key).await;
        let again = submit_keyed(&site, (i + 1) % 2, &key).await;
        assert_eq!(first, again, "one job a key");
    }
}
