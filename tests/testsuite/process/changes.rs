//! Catalogue changes, retirement, leaving hosts and cancellation, tested on real processes.

use super::runs::{self, LIMIT};
use crate::support::{process::Site, wait};
use actix_http::StatusCode;
use assert_matches::assert_matches;
use lapisdrum::api::client::ClientError;
use lapisdrum_standins::platform::server::PlatformSwitches;

/// Guards against lost updates when two operators change one entry concurrently through two daemons,
/// both from the same revision: one change is accepted, the other gets a conflict that names the
/// current revision, and every daemon ends with the accepted values.
#[actix_rt::test]
async fn of_two_racing_operators_one_gets_a_named_conflict() {
    let site = Site::start(2, 1).await;
    runs::prepare(&site, 500).await;
    let seen = site.daemons[0].client().entry("render").await;
    let seen = seen.expect("an entry").revision;
    for round in 0..5_u64 {
        let current = site.daemons[0].client().entry("render").await;
        let current = current.expect("an entry").revision.max(seen);
        let (mut a, mut b) = (runs::raw("render", "batch"), runs::raw("render", "batch"));
        a.millicores = 1_100 + round;
        b.millicores = 2_100 + round;
        let (first, second) = (site.daemons[0].client(), site.daemons[1].client());
        let (first, second) = futures::join!(
            first.put_entry(&a, Some(current)),
            second.put_entry(&b, Some(current))
        );
        let (won, lost, figures) = match (first, second) {
            (Ok(won), Err(lost)) => (won, lost, a.millicores),
            (Err(lost), Ok(won)) => (won, lost, b.millicores),
            other => panic!("one wins, one loses: {other:?}"),
        };
        assert_matches!(lost, ClientError::Fault(status, body) => {
            assert_eq!(status, StatusCode::PRECONDITION_FAILED, "{body:?}");
            assert!(body.error.contains(&won.revision.to_string()), "{body:?}");
        });
        for daemon in &site.daemons {
            let client = daemon.client();
            wait::until("the winner's change is in force", LIMIT, async || {
                let entry = client.entry("render").await;
                entry.is_ok_and(|entry| entry.entry.millicores == figures)
            })
            .await;
        }
    }
}

/// Guards against stale catalogues: a daemon restarted during a platform outage must not become ready
/// until a peer has sent it the current revision, and must never apply an older one.
#[actix_rt::test]
async fn a_restarted_daemon_applies_no_older_revision() {
    let mut site = Site::start(2, 1).await;
    runs::prepare(&site, 500).await;
    let client = site.daemons[0].client();
    let before = client.entry("render").await.expect("an entry").revision;
    let mut changed = runs::raw("render", "batch");
    changed.millicores = 1_234;
    let change = client.put_entry(&changed, Some(before)).await;
    let revision = change.expect("accepted").revision;
    let peer = site.daemons[1].client();
    wait::until("the peer has the change", LIMIT, async || {
        let catalogue = peer.catalogue().await;
        catalogue.is_ok_and(|catalogue| catalogue.revision == revision)
    })
    .await;
    let down = PlatformSwitches {
        down: true,
        ..PlatformSwitches::default()
    };
    site.platform.switch_platform(&down).await;
    site.daemons[0].process.kill();
    let asked = site.daemons[1].plan.peers;
    site.restart_daemon(0, |plan| plan.ask_first = vec![asked])
        .await;
    let back = site.daemons[0].client().catalogue().await;
    assert_eq!(back.expect("a catalogue").revision, revision);
}

/// Retires a long-running and a batch entry. New jobs of both are refused at once with 410 Gone; the
/// running stream is stopped, and renders that were already accepted are completed.
#[actix_rt::test]
async fn a_retired_entry_drains_as_its_class_demands() {
    let site = Site::start(1, 1).await;
    runs::prepare(&site, 1500).await;
    let client = site.daemons[0].client();
    let stream = runs::submit(&site, 0, "stream").await;
    runs::reaches(&site, 0, &stream, "running").await;
    let mut renders = Vec::new();
    for _ in 0..12 {
        renders.push(runs::submit(&site, 0, "render").await);
    }
    for entry in ["stream", "render"] {
        let seen = client.entry(entry).await.expect("an entry").revision;
        client.retire_entry(entry, seen).await.expect("accepted");
        assert_matches!(client.submit_job(entry).await, Err(ClientError::Fault(status, _)) => {
            assert_eq!(status, StatusCode::GONE);
        });
    }
    runs::reaches(&site, 0, &stream, "cancelled").await;
    for render in &renders {
        runs::reaches(&site, 0, render, "done").await;
    }
    let all = runs::all(&site).await;
    runs::assert_never_doubled(&all);
    wait::until("the stream has stopped", LIMIT, async || {
        let all = runs::all(&site).await;
        all.iter().all(|run| run.to_ms.is_some())
    })
    .await;
}

/// A host that runs a render and a stream is leaving. The render is checkpointed and resumed on the
/// other host at once; the stream is stopped after its grace period. Neither may run twice at the same
/// time, and the leaving host must get no new task.
#[actix_rt::test]
async fn work_moves_off_a_leaving_host() {
    let mut site = Site::start(1, 2).await;
    runs::prepare(&site, 6000).await;
    let client = site.daemons[0].client();
    let render = runs::submit(&site, 0, "render").await;
    let stream = runs::submit(&site, 0, "stream").await;
    runs::reaches(&site, 0, &stream, "running").await;
    runs::reaches(&site, 0, &render, "running").await;
    let worker = client.job(&render).await.expect("a job").worker;
    let leaving = site
        .hosts
        .iter()
        .position(|host| Some(&host.host) == worker.as_ref())
        .expect("a known worker");
    tokio::time::sleep(std::time::Duration::from_millis(800)).await;
    site.hosts[leaving].state = "leaving".to_owned();
    site.platform.set_hosts(&site.hosts).await;
    wait::until("the leaving host runs nothing", LIMIT, async || {
        let log = site.workers[leaving].log().await;
        log.tasks.iter().all(|run| run.to_ms.is_some())
    })
    .await;
    let before = site.workers[leaving].log().await.tasks.len();
    let next = runs::submit(&site, 0, "stream").await;
    runs::reaches(&site, 0, &next, "running").await;
    runs::reaches(&site, 0, &render, "done").await;
    let after = site.workers[leaving].log().await.tasks.len();
    assert_eq!(before, after, "nothing new on the leaving host");
    let moved = site.workers[1 - leaving].log().await.tasks;
    let resumed = moved.iter().find(|run| run.task.as_str() == render);
    assert!(resumed.expect("moved").first_permille > 0, "{moved:?}");
    runs::assert_never_doubled(&runs::all(&site).await);
}

/// Cancels most of the renders that fill two hosts and their queue in one burst. Only the cancelled
/// jobs may end early; all others are completed, and no host is ever overcommitted.
#[actix_rt::test]
async fn a_burst_of_cancels_ends_only_what_was_cancelled() {
    let site = Site::start(1, 2).await;
    runs::prepare(&site, 1500).await;
    runs::submit(&site, 0, "render").await;
    let client = site.daemons[0].client();
    let submitted = futures::future::join_all((0..40).map(|_| client.submit_job("render"))).await;
    let jobs: Vec<String> = submitted
        .into_iter()
        .map(|job| job.expect("accepted").job.to_string())
        .collect();
    let (cancelled, kept) = jobs.split_at(30);
    let calls = cancelled.iter().map(|job| client.cancel_job(job));
    for answer in futures::future::join_all(calls).await {
        answer.expect("the cancellation is accepted");
    }
    for job in cancelled {
        runs::reaches(&site, 0, job, "cancelled").await;
    }
    for job in kept {
        runs::reaches(&site, 0, job, "done").await;
    }
    runs::assert_never_doubled(&runs::all(&site).await);
    runs::assert_sizes_held(&site).await;
}
