//! Invariants of the workers' run logs that must hold after any failure.

use crate::support::{http, process::Site, wait};
use actix_http::Method;
use lapisdrum::core::{catalogue::RawEntry, size::Size};
use lapisdrum_standins::worker::server::{TaskRun, WorkerSwitches};
use serde_json::json;
use std::time::Duration;
use tokio::time::Instant;

/// An entry of one core and half a gigabyte, whose tasks an owner that is cut off renews for 6 s.
pub(crate) fn raw(name: &str, class: &str) -> RawEntry {
    let entry = json!({
        "name": name, "owner": "trail", "class": class, "millicores": 1000, "memory_mb": 512,
        "deadline_ms": 5000, "hold_ms": 6000
    });
    serde_json::from_value(entry).expect("a raw entry")
}

/// Adds a batch entry `render` whose tasks take `task_ms`, and a long-running entry `stream`. Tasks of
/// `archive`, an entry that a test may add, don't end by themselves either.
pub(crate) async fn prepare(site: &Site, task_ms: u64) {
    for worker in &site.workers {
        let switches = WorkerSwitches {
            task_ms,
            endless: vec!["stream".to_owned(), "archive".to_owned()],
            ..WorkerSwitches::default()
        };
        worker.switch_worker(&switches).await;
    }
    let client = site.daemons[0].client();
    for (name, class) in [("render", "batch"), ("stream", "long-running")] {
        let put = client.put_entry(&raw(name, class), None).await;
        if put.is_err() {
            print_daemons(site).await;
        }
        put.expect("the entry is accepted");
    }
}

/// The runs in the logs of all workers.
pub(crate) async fn all(site: &Site) -> Vec<TaskRun> {
    let mut runs = Vec::new();
    for worker in &site.workers {
        runs.extend(worker.log().await.tasks);
    }
    runs
}

/// Asserts that no task ran in two places at once and no attempt was started twice.
pub(crate) fn assert_never_doubled(runs: &[TaskRun]) {
    for (i, a) in runs.iter().enumerate() {
        for b in runs[i + 1..].iter().filter(|b| b.task == a.task) {
            let ends_before =
                |first: &TaskRun, next: &TaskRun| first.to_ms.is_some_and(|to| to <= next.from_ms);
            assert!(
                ends_before(a, b) || ends_before(b, a),
                "two runs at once: {a:?} {b:?}"
            );
            assert_ne!(a.attempt, b.attempt, "one attempt twice: {a:?} {b:?}");
        }
    }
}

/// Asserts that no worker ever ran more than its capacity.
pub(crate) async fn assert_sizes_held(site: &Site) {
    for (worker, host) in site.workers.iter().zip(&site.hosts) {
        let has = Size {
            millicores: host.cores * 1_000,
            memory_mb: host.memory_mb,
            accelerators: host.accelerators,
        };
        let log = worker.log().await;
        assert!(
            log.most_size.fits(&has),
            "{}: {:?}",
            host.host,
            log.most_size
        );
    }
}

/// The index of the daemon whose own timeline says that it serves a shard now.
pub(crate) async fn owner(site: &Site) -> usize {
    for (i, daemon) in site.daemons.iter().enumerate() {
        if owned(site, i).await > 0 && daemon.client().is_ready().await {
            return i;
        }
    }
    print_daemons(site).await;
    panic!("no daemon owns the shard");
}

/// The number of shards that a daemon owns, according to its metrics.
pub(crate) async fn owned(site: &Site, daemon: usize) -> u32 {
    let callers = site.daemons[daemon].plan.callers;
    let answer = http::send(Method::GET, callers, "/metrics", &[], "").await;
    let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    let text = text.unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("lapisdrum_shards_owned "));
    line.and_then(|n| n.trim().parse().ok()).unwrap_or(0)
}

/// Submits a job, and retries until it is accepted. The output of a test that fails has the refusals.
pub(crate) async fn submit(site: &Site, daemon: usize, entry: &str) -> String {
    let client = site.daemons[daemon].client();
    let (started_at, mut last) = (Instant::now(), String::new());
    until_some(site, "a job is accepted", async || {
        let refusal = match client.submit_job(entry).await {
            Ok(job) => return Some(job.job.to_string()),
            Err(e) => format!("{e:?}"),
        };
        if refusal != last {
            let after = started_at.elapsed();
            println!("after {after:?} daemon {daemon} does not accept {entry}: {refusal}");
            last = refusal;
        }
        None
    })
    .await
}

/// Waits until a job is in the given state.
pub(crate) async fn reaches(site: &Site, daemon: usize, job: &str, state: &str) {
    let client = site.daemons[daemon].client();
    let what = format!("{job} is {state}");
    until_some(site, &what, async || {
        let shown = client.job(job).await;
        shown.is_ok_and(|shown| shown.state == state).then_some(())
    })
    .await;
}

/// Waits until a worker runs the task; returns the worker's index.
pub(crate) async fn worker_of(site: &Site, task: &str) -> usize {
    until_some(site, "a worker runs the task", async || {
        for (i, worker) in site.workers.iter().enumerate() {
            let log = worker.log().await;
            if log.tasks.iter().any(|run| run.task.as_str() == task) {
                return Some(i);
            }
        }
        None
    })
    .await
}

/// Waits until `get` returns a value. A test that waits in vain fails, and its output has what the
/// daemons believe.
async fn until_some<T>(site: &Site, what: &str, get: impl AsyncFnMut() -> Option<T>) -> T {
    let Some(got) = wait::some_within(LIMIT, get).await else {
        print_daemons(site).await;
        panic!("not within {LIMIT:?}: {what}");
    };
    got
}

/// Prints the status and the last events of each daemon.
async fn print_daemons(site: &Site) {
    for daemon in &site.daemons {
        let (client, name) = (daemon.client(), &daemon.plan.name);
        println!("{name} is ready: {}", client.is_ready().await);
        println!("{name}: {:?}", client.status().await);
        match client.timeline().await {
            Err(e) => println!("{name} has no timeline: {e:?}"),
            Ok(line) => {
                let skipped = line.events.len().saturating_sub(MAX_PRINTED_EVENTS);
                for record in &line.events[skipped..] {
                    println!("{name}: {record:?}");
                }
            }
        }
    }
}

/// Number of events that are printed of each daemon.
const MAX_PRINTED_EVENTS: usize = 100;
/// Upper bound of each wait.
pub(crate) const LIMIT: Duration = Duration::from_secs(30);
