//! Long-running tasks beside waves of batch jobs, and the check that they are not without a run for long.

use crate::{
    json::{Json, int},
    record::Record,
    site::{Site, ask, job, submit},
    worker::{Interval, tasks_of},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

pub const WORKERS: usize = 4;
/// Time between two waves of jobs.
pub const WAVE: Duration = Duration::from_secs(5);
/// LOST: from 6 s after a task's last run, for 3 s, if these and the 4 s before are calm.
const AFTER_LAST_RUN: Duration = Duration::from_secs(6);
const NOT_RUNNING_FOR: Duration = Duration::from_secs(3);
const CALM_BEFORE: Duration = Duration::from_secs(4);
/// Id of the job with long-running tasks.
pub const LONG_JOB: &str = "00000000000000aa";

/// Hands in a job of one long-running task for each worker; false if it is not accepted.
pub fn submit_long(site: &Site) -> bool {
    let long = job("until it is cancelled", vec![
        ("count", int(WORKERS as u64)),
        ("cpu", int(1_000)),
        ("memMb", int(500)),
        ("longRunning", Json::Bool(true)),
        ("maxPerServer", int(1)),
        ("mayMiss", int(1)),
    ]);
    submit(&site.record, site.daemons[0].front, LONG_JOB, &long)
}

/// Whether each long-running task has had a run.
pub fn all_have_run(site: &Site) -> bool {
    tasks_of(&site.workers, LONG_JOB).len() == WORKERS
}

/// Requesters, each of which hands in a job of 36 tasks, the widest of the small sites, in each wave.
pub struct Requesters {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Requesters {
    /// So many requesters, whose tasks ask for so many thousandths of a core.
    pub fn start(site: &Site, requesters: u64, millicores: u64) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let fronts: Vec<_> = site.daemons.iter().map(|daemon| daemon.front).collect();
        let requester = |requester: u64| {
            let (record, fronts) = (Arc::clone(&site.record), fronts.clone());
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                let short = job("2500", vec![
                    ("count", int(36)),
                    ("cpu", int(millicores)),
                    ("memMb", int(500)),
                    ("estimateMs", int(2_500)),
                ]);
                let (mut nth, started) = (0u32, Instant::now());
                while !is_over.load(Ordering::SeqCst) {
                    nth += 1;
                    let id = format!("{:016x}", (requester + 1) << 32 | u64::from(nth));
                    ask(&record, fronts[nth as usize % fronts.len()], "POST", &id, &short);
                    thread::sleep((started + WAVE * nth).saturating_duration_since(Instant::now()));
                }
            })
        };
        Self {
            threads: (0..requesters).map(requester).collect(),
            is_over,
        }
    }

    pub fn finish(self) {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Whether a long-running task was lost, with all calm since `calm_from` until `watched_until`.
pub fn is_any_lost(site: &Site, record: &Record, calm_from: Instant, watched_until: Instant) -> bool {
    let intervals: Vec<Interval> = site.workers.iter().flat_map(|worker| worker.intervals()).collect();
    let killed = intervals.iter().filter(|i| i.how == "lapsed").count();
    record.say(&format!("runs that ended since the lease of their worker lapsed: {killed}"));
    let mut is_any_lost = false;
    for task in tasks_of(&site.workers, LONG_JOB) {
        let mut runs: Vec<&Interval> = intervals.iter().filter(|i| i.task == task).collect();
        runs.sort_by_key(|run| run.from);
        for (at, run) in runs.iter().enumerate() {
            let ended_at = run.to.unwrap_or(watched_until);
            let next = runs.get(at + 1).map(|next| next.from);
            let next_at = next.unwrap_or(watched_until);
            let counts_from = ended_at + AFTER_LAST_RUN;
            let counts_from = counts_from.max(calm_from + CALM_BEFORE);
            let is_lost = next_at >= counts_from + NOT_RUNNING_FOR;
            if next_at > ended_at {
                let until = match next {
                    Some(_) => "the next began",
                    None => "none had begun",
                };
                record.say(&format!(
                    "task {task}: run {} on {} ended {} at {:.2} s, {until} at {:.2} s: {:.2} s without a run{}",
                    run.run,
                    run.worker,
                    run.how,
                    record.at(ended_at).as_secs_f64(),
                    record.at(next_at).as_secs_f64(),
                    (next_at - ended_at).as_secs_f64(),
                    if is_lost { ", LOST" } else { "" },
                ));
            }
            is_any_lost |= is_lost;
        }
    }
    is_any_lost
}
