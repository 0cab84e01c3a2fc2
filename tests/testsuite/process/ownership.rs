//! Shard owners that are killed, frozen or partitioned while their tasks run.

use super::runs::{self, LIMIT};
use crate::support::{process::Site, wait};
use lapisdrum_standins::{platform::server::PlatformSwitches, worker::server::WorkerSwitches};
use std::time::Duration;

/// Longer than the entries' hold time.
const PAST_HOLD: Duration = Duration::from_secs(8);

/// Guards against lost or repeated jobs when the owner is killed while it places twenty renders. The
/// other daemon recovers the ledger, claims the workers, keeps the running tasks and places the queued
/// ones: each render runs exactly once, and no host is ever overcommitted.
#[actix_rt::test]
async fn renders_outlive_their_owner_and_each_is_done_once() {
    let mut site = Site::start(2, 2).await;
    runs::prepare(&site, 2000).await;
    let mut jobs = vec![runs::submit(&site, 0, "render").await];
    for i in 1..20 {
        jobs.push(runs::submit(&site, i % 2, "render").await);
    }
    let dead = runs::owner(&site).await;
    site.daemons[dead].process.kill();
    for job in &jobs {
        runs::reaches(&site, 1 - dead, job, "done").await;
    }
    let all = runs::all(&site).await;
    runs::assert_never_doubled(&all);
    assert_eq!(all.len(), jobs.len(), "one attempt each: {all:?}");
    runs::assert_sizes_held(&site).await;
}

/// Guards against two owners: the owner is frozen for longer than its lease and the hold, and resumes
/// after the other daemon has taken over. It must find its lease lost and start or renew nothing; the
/// workers refuse its epoch. The stream runs once, and each render is completed once.
#[actix_rt::test]
async fn a_frozen_owner_finds_its_lease_lost_and_doubles_nothing() {
    let site = Site::start(2, 2).await;
    runs::prepare(&site, 1500).await;
    let stream = runs::submit(&site, 0, "stream").await;
    runs::worker_of(&site, &stream).await;
    let frozen = runs::owner(&site).await;
    let other = 1 - frozen;
    let mut jobs = Vec::new();
    for _ in 0..6 {
        jobs.push(runs::submit(&site, frozen, "render").await);
    }
    site.daemons[frozen].process.signal("STOP");
    jobs.push(runs::submit(&site, other, "render").await);
    tokio::time::sleep(PAST_HOLD).await;
    site.daemons[frozen].process.signal("CONT");
    jobs.push(runs::submit(&site, frozen, "render").await);
    for job in &jobs {
        runs::reaches(&site, other, job, "done").await;
    }
    let all = runs::all(&site).await;
    runs::assert_never_doubled(&all);
    let streams: Vec<_> = all.iter().filter(|r| r.task.as_str() == stream).collect();
    assert_eq!(streams.len(), 1, "the stream kept running: {streams:?}");
    assert_eq!(streams[0].to_ms, None, "it still runs: {streams:?}");
    wait::until("the frozen owner gave the shard up", LIMIT, async || {
        runs::owned(&site, frozen).await == 0
    })
    .await;
}

/// Cuts off the owner from the platform, and one worker with a stream from the other daemon. The new
/// owner can't tell whether the stream still runs, so it must wait out the hold of the previous owner
/// before it starts the stream elsewhere; at most one stream runs at any time.
#[actix_rt::test]
async fn an_owner_cut_off_with_a_worker_does_not_double_its_stream() {
    let site = Site::start(2, 2).await;
    runs::prepare(&site, 500).await;
    let stream = runs::submit(&site, 0, "stream").await;
    let old = runs::owner(&site).await;
    // A job counts as running once it is placed; the cut must come after its start.
    let with = runs::worker_of(&site, &stream).await;
    let switches = WorkerSwitches {
        endless: vec!["stream".to_owned()],
        cut: vec![site.daemons[1 - old].plan.name.clone()],
        ..WorkerSwitches::default()
    };
    site.workers[with].switch_worker(&switches).await;
    let cut = PlatformSwitches {
        cut: vec![site.daemons[old].plan.name.clone()],
        ..PlatformSwitches::default()
    };
    site.platform.switch_platform(&cut).await;
    wait::until("the stream runs elsewhere", LIMIT, async || {
        let log = site.workers[1 - with].log().await;
        log.tasks.iter().any(|run| run.task.as_str() == stream)
    })
    .await;
    let all = runs::all(&site).await;
    runs::assert_never_doubled(&all);
    assert_eq!(all.len(), 2, "moved once: {all:?}");
    let first = all.iter().find(|run| run.to_ms.is_some()).expect("an end");
    let ran_ms = first.to_ms.unwrap_or_default() - first.from_ms;
    assert!(ran_ms > 4_000, "renewed beyond a lease of 3 s: {all:?}");
}

/// Guards against interrupted tasks during rebalancing: a second daemon joins, and the first releases
/// one of its two shards. The streams of both shards must keep running.
#[actix_rt::test]
async fn shards_are_balanced_over_the_data_centre_without_interruption() {
    let two = |plan: &mut lapisdrum_standins::site::DaemonPlan| {
        plan.extra_settings = plan
            .extra_settings
            .replace("[shards]", "[shards]\ncount = 2");
    };
    let mut site = Site::start_with(1, 4, two).await;
    runs::prepare(&site, 500).await;
    let mut streams = Vec::new();
    for _ in 0..6 {
        streams.push(runs::submit(&site, 0, "stream").await);
    }
    for stream in &streams {
        runs::reaches(&site, 0, stream, "running").await;
    }
    assert_eq!(runs::owned(&site, 0).await, 2);
    site.add_daemon(two).await;
    wait::until("each daemon owns one shard", LIMIT, async || {
        runs::owned(&site, 0).await == 1 && runs::owned(&site, 1).await == 1
    })
    .await;
    // Longer than a task's lease, so that only renewals by the new owner can have kept them.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for stream in &streams {
        runs::reaches(&site, 1, stream, "running").await;
    }
    let all = runs::all(&site).await;
    assert_eq!(all.len(), streams.len(), "none was moved: {all:?}");
    assert!(all.iter().all(|run| run.to_ms.is_none()), "{all:?}");
}

/// A worker that runs a stream hangs, though the platform still lists it. The owner must stop renewing,
/// wait until the last task lease has expired, and only then start the stream on the other worker.
#[actix_rt::test]
async fn a_hung_worker_s_stream_moves_when_its_lease_has_expired() {
    let site = Site::start(1, 2).await;
    runs::prepare(&site, 500).await;
    let stream = runs::submit(&site, 0, "stream").await;
    let with = runs::worker_of(&site, &stream).await;
    let hung = WorkerSwitches {
        hung: true,
        endless: vec!["stream".to_owned()],
        ..WorkerSwitches::default()
    };
    site.workers[with].switch_worker(&hung).await;
    wait::until("the stream runs elsewhere", LIMIT, async || {
        let log = site.workers[1 - with].log().await;
        log.tasks.iter().any(|run| run.task.as_str() == stream)
    })
    .await;
    runs::assert_never_doubled(&runs::all(&site).await);
}
