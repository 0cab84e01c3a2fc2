//! A worker and the machine that owns the shard are lost for good together, right after a long-running task
//! has started on the worker. The task must not be without a run for long.

use crate::{
    Outcome,
    json::{Json, int},
    lasting::{LONG_JOB, is_any_lost},
    record::Record,
    site::{Site, job, submit},
    worker::{Terms, tasks_of},
};
use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const DAEMONS: usize = 6;
/// One lost worker is within the 0.14 of the pages.
const WORKERS: usize = 8;
/// From the start of the task on its worker.
const LOST_AFTER: Duration = Duration::from_millis(50);
/// `x` of `replace_core` in the site file.
const REPLACED_AFTER: Duration = Duration::from_secs(2);
const WATCHED_FOR: Duration = Duration::from_secs(16);

pub fn run(record: &Arc<Record>, has_trouble: bool, logs: &Path) -> Outcome {
    let Some(mut site) = Site::start(Arc::clone(record), DAEMONS, WORKERS, &Terms::LARGE, "6000") else {
        return Outcome::NotRun;
    };
    thread::sleep(Duration::from_secs(4));
    let Some(owner) = site.owner() else {
        return Outcome::NotRun;
    };
    let long = job("until it is cancelled", vec![
        ("count", int(1)),
        ("cpu", int(6_400)),
        ("memMb", int(13_000)),
        ("longRunning", Json::Bool(true)),
    ]);
    let front = site.daemons[(owner + 1) % DAEMONS].front;
    if !submit(record, front, LONG_JOB, &long) {
        return Outcome::NotRun;
    }
    let until = Instant::now() + Duration::from_secs(5);
    while tasks_of(&site.workers, LONG_JOB).is_empty() {
        if Instant::now() > until {
            return Outcome::NotRun;
        }
        thread::sleep(Duration::from_millis(2));
    }
    thread::sleep(LOST_AFTER);
    let worker = site.workers.iter().find(|worker| worker.count_running() > 0).cloned();
    let (Some(worker), true) = (worker, site.owner() == Some(owner)) else {
        return Outcome::NotRun;
    };
    let names = (&worker.id, &site.daemons[owner].name);
    record.say(&format!("{} runs the task and {} owns the shard", names.0, names.1));
    if has_trouble {
        record.say("both are lost for good");
        worker.lose_power();
        site.daemons[owner].kill();
    }
    thread::sleep(REPLACED_AFTER);
    if has_trouble && site.add_daemon(DAEMONS, "6000").is_none() {
        return Outcome::NotRun;
    }
    let calm_from = Instant::now();
    thread::sleep(WATCHED_FOR);
    let watched_until = Instant::now();
    site.keep_logs(logs);
    match is_any_lost(&site, record, calm_from, watched_until) {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
