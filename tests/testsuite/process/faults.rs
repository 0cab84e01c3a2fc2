//! Killed and frozen processes, platform outages and graceful shutdown.

use crate::support::{http, process::Site, wait};
use actix_http::Method;
use lapisdrum::core::catalogue::RawEntry;
use lapisdrum_standins::{platform::server::PlatformSwitches, worker::server::WorkerSwitches};
use serde_json::json;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(20);

fn raw(name: &str, class: &str) -> RawEntry {
    let entry = json!({
        "name": name, "owner": "trail", "class": class, "millicores": 1000, "memory_mb": 512,
        "deadline_ms": 5000
    });
    serde_json::from_value(entry).expect("a raw entry")
}

/// Adds a latency-critical `map` and a long-running `stream`, and waits until `map` requests succeed.
async fn prepare(site: &Site) {
    let client = site.daemons[0].client();
    client
        .put_entry(&raw("map", "latency-critical"), None)
        .await
        .expect("accepted");
    client
        .put_entry(&raw("stream", "long-running"), None)
        .await
        .expect("accepted");
    for worker in &site.workers {
        let endless = vec!["stream".to_owned()];
        worker
            .switch_worker(&WorkerSwitches {
                endless,
                ..WorkerSwitches::default()
            })
            .await;
    }
    for daemon in &site.daemons {
        wait::until("a map is answered", LIMIT, async || {
            let sent = http::send(Method::POST, daemon.plan.callers, "/v1/run/map", &[], "x");
            sent.await.is_ok_and(|answer| answer.status.is_success())
        })
        .await;
    }
}

/// The index of the daemon that owns the only shard, according to its own timeline.
async fn owner(site: &Site) -> usize {
    for (i, daemon) in site.daemons.iter().enumerate() {
        let line = daemon.client().timeline().await.expect("a timeline");
        let text = serde_json::to_string(&line).expect("a timeline");
        if text.contains("shard-serving") {
            return i;
        }
    }
    panic!("no daemon serves the shard");
}

/// Guards against an interrupted or duplicated livestream when its owner is killed. The other daemon
/// waits for the lease to expire, recovers the ledger, claims the workers and continues to renew; the
/// takeover is shorter than the task's lease, so the stream keeps running.
#[actix_rt::test]
async fn a_livestream_outlives_its_owner_and_is_never_doubled() {
    let mut site = Site::start(2, 2).await;
    prepare(&site).await;
    let stream = site.daemons[0]
        .client()
        .submit_job("stream")
        .await
        .expect("accepted")
        .job;
    wait::until("the stream runs", LIMIT, async || {
        let job = site.daemons[0].client().job(stream.as_str()).await;
        job.is_ok_and(|job| job.state == "running")
    })
    .await;
    let dead = owner(&site).await;
    site.daemons[dead].process.kill();
    let other = site.daemons[1 - dead].client();
    wait::until("the other daemon knows the stream", LIMIT, async || {
        other
            .job(stream.as_str())
            .await
            .is_ok_and(|job| job.state == "running")
    })
    .await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let mut runs = Vec::new();
    for worker in &site.workers {
        runs.extend(worker.log().await.tasks);
    }
    assert_eq!(runs.len(), 1, "one run: {runs:?}");
    assert_eq!(runs[0].to_ms, None, "it still runs");
}

/// During a platform outage requests are still served within the floors. A job, which would have to be
/// made durable, is refused with a `Retry-After`; it is accepted once the platform is available.
#[actix_rt::test]
async fn a_platform_outage_refuses_jobs_and_serves_requests() {
    let site = Site::start(2, 2).await;
    prepare(&site).await;
    let down = PlatformSwitches {
        down: true,
        ..PlatformSwitches::default()
    };
    site.platform.switch_platform(&down).await;
    // Longer than a shard's lease.
    tokio::time::sleep(Duration::from_secs(3)).await;
    for daemon in &site.daemons {
        let path = "/v1/run/map";
        let answer = http::send(Method::POST, daemon.plan.callers, path, &[], "studio 3").await;
        assert_eq!(answer.expect("an answer").body, "studio 3");
        let job = http::send(
            Method::POST,
            daemon.plan.callers,
            "/v1/jobs/stream",
            &[],
            "",
        )
        .await;
        let job = job.expect("an answer");
        assert_eq!(
            job.header("lapisdrum-outcome"),
            Some("refused"),
            "{:?}",
            job.json()
        );
        assert!(job.header("retry-after").is_some());
    }
    site.platform
        .switch_platform(&PlatformSwitches::default())
        .await;
    wait::until("jobs are accepted again", LIMIT, async || {
        site.daemons[1].client().submit_job("stream").await.is_ok()
    })
    .await;
}

/// Guards against requests lost on shutdown: a daemon is stopped while a request is in flight. It must
/// answer the request in full, accept nothing new, release its shard and exit with status 0; the other
/// daemon takes over without waiting for the lease to expire.
#[actix_rt::test]
async fn a_graceful_end_cuts_off_no_request() {
    let mut site = Site::start(2, 2).await;
    prepare(&site).await;
    for worker in &site.workers {
        worker
            .switch_worker(&WorkerSwitches {
                request_ms: 1500,
                ..WorkerSwitches::default()
            })
            .await;
    }
    let ending = owner(&site).await;
    let callers = site.daemons[ending].plan.callers;
    let in_flight = actix_rt::spawn(async move {
        http::send(Method::POST, callers, "/v1/run/map", &[], "studio 9").await
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    site.daemons[ending].process.signal("TERM");
    let answer = in_flight.await.expect("the call ends").expect("an answer");
    assert_eq!(answer.body, "studio 9");
    wait::until_some("the daemon ends", LIMIT, async || {
        site.daemons[ending].process.exit_status()
    })
    .await;
    assert_eq!(site.daemons[ending].process.exit_status(), Some(0));
    let other = site.daemons[1 - ending].client();
    wait::until(
        "the shard is taken at once",
        Duration::from_secs(1),
        async || other.submit_job("stream").await.is_ok(),
    )
    .await;
}

/// Guards against lost progress: a worker dies during a render, and the platform no longer lists its
/// host. The other worker must resume the render from the last checkpoint in the ledger, and the
/// render ends once.
#[actix_rt::test]
async fn a_render_resumes_from_its_checkpoint_when_its_host_is_lost() {
    let mut site = Site::start(1, 2).await;
    let client = site.daemons[0].client();
    client
        .put_entry(&raw("render", "batch"), None)
        .await
        .expect("accepted");
    for worker in &site.workers {
        let slow = WorkerSwitches {
            task_ms: 4000,
            ..WorkerSwitches::default()
        };
        worker.switch_worker(&slow).await;
    }
    // A daemon is ready once it has the catalogue; a job can be refused until the shard has an owner.
    let job = wait::until_some("the render is accepted", LIMIT, async || {
        client.submit_job("render").await.ok().map(|body| body.job)
    })
    .await;
    let worker = wait::until_some("a checkpoint is in the ledger", LIMIT, async || {
        let shown = client.job(job.as_str()).await.ok()?;
        (shown.progress_permille > 100)
            .then_some(shown.worker)
            .flatten()
    })
    .await;
    let killed = site
        .hosts
        .iter()
        .position(|host| host.host == worker)
        .expect("a known worker");
    site.workers[killed].process.kill();
    site.hosts.remove(killed);
    site.platform.set_hosts(&site.hosts).await;
    wait::until("the render is done", LIMIT, async || {
        client
            .job(job.as_str())
            .await
            .is_ok_and(|shown| shown.state == "done")
    })
    .await;
    let runs = site.workers[1 - killed].log().await.tasks;
    assert_eq!(runs.len(), 1, "resumed once: {runs:?}");
    assert!(
        runs[0].first_permille > 100,
        "resumed from the checkpoint: {runs:?}"
    );
}
