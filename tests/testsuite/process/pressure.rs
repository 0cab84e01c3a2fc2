//! How the shard's owner handles failing workers and interference between tasks.

use super::runs;
use crate::support::{process::Site, wait};
use lapisdrum::timeline::event::Happening;
use lapisdrum_standins::worker::server::WorkerSwitches;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(30);

async fn has_event(site: &Site, is_it: impl Fn(&Happening) -> bool) -> bool {
    let line = site.daemons[0].client().timeline().await;
    line.is_ok_and(|line| line.events.iter().any(|record| is_it(&record.what)))
}

/// Guards against a worker that fails every task and, being always free, attracts all queued renders.
/// It must be ejected, each render may fail there at most once, and every render is completed.
#[actix_rt::test]
async fn a_worker_that_fails_every_task_is_ejected() {
    let site = Site::start(1, 4).await;
    runs::prepare(&site, 300).await;
    let failing = WorkerSwitches {
        fails_tasks: true,
        ..WorkerSwitches::default()
    };
    site.workers[0].switch_worker(&failing).await;
    let mut renders = Vec::new();
    for _ in 0..60 {
        renders.push(runs::submit(&site, 0, "render").await);
    }
    for render in &renders {
        runs::reaches(&site, 0, render, "done").await;
    }
    let is_ejection = |what: &Happening| matches!(what, Happening::WorkerSetAside { .. });
    assert!(has_event(&site, is_ejection).await, "the worker is ejected");
    let failed_there = site.workers[0].log().await.tasks;
    for render in &renders {
        let tries = failed_there
            .iter()
            .filter(|run| run.task.as_str() == render);
        assert!(
            tries.count() <= 1,
            "{render} was tried again where it failed"
        );
    }
}

/// A render runs beside a service whose requests are reported to take three times as long. After two
/// such reports the render must be throttled, and no other render may be placed on that host
/// meanwhile; no render is lost.
#[actix_rt::test]
async fn a_render_beside_a_slowed_service_is_throttled() {
    let site = Site::start(1, 2).await;
    runs::prepare(&site, 8_000).await;
    let first = runs::submit(&site, 0, "render").await;
    runs::reaches(&site, 0, &first, "running").await;
    let worker = site.daemons[0]
        .client()
        .job(&first)
        .await
        .expect("a job")
        .worker;
    let at = site
        .hosts
        .iter()
        .position(|host| Some(&host.host) == worker.as_ref());
    let at = at.expect("a known worker");
    let slowed = WorkerSwitches {
        task_ms: 8_000,
        usage_age_ms: 0,
        slowdowns: [("map".to_owned(), 3_000)].into_iter().collect(),
        ..WorkerSwitches::default()
    };
    site.workers[at].switch_worker(&slowed).await;
    let throttled = |what: &Happening| {
        matches!(what, Happening::TaskThrottled { job, permille, .. }
            if job.as_str() == first && *permille < 1_000)
    };
    wait::until("the render is throttled", LIMIT, async || {
        has_event(&site, throttled).await
    })
    .await;
    for _ in 0..4 {
        let next = runs::submit(&site, 0, "render").await;
        runs::reaches(&site, 0, &next, "running").await;
    }
    let beside = site.workers[at].log().await.tasks;
    assert_eq!(
        beside.len(),
        1,
        "no other render beside the service: {beside:?}"
    );
}
