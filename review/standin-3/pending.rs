//! A worker is lost for good just before jobs are placed on it, and the owner of the shard is killed.
//! The number of jobs that haven't begun must not be told as less than half.

use crate::{
    Outcome,
    json::{Json, int},
    record::Record,
    site::{PREFIX, Site, ask, job, submit},
    worker::{Terms, tasks_of},
};
use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const JOBS: u64 = 5;
/// One lost worker is within the 0.14 of the pages.
const WORKERS: usize = 8;
/// `visible_ms` of the small sites, and 2 s.
const COUNTED_AFTER: Duration = Duration::from_millis(5_000);
/// The platform restarts a process that was killed after a short delay.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
const LONG_JOB: &str = "00000000000000aa";

pub fn run(record: &Arc<Record>, has_trouble: bool, logs: &Path) -> Outcome {
    let Some(mut site) = Site::start(Arc::clone(record), 3, WORKERS, &Terms::LARGE, "6000") else {
        return Outcome::NotRun;
    };
    // The fullest worker that has room gets the next tasks.
    let long = job("until it is cancelled", vec![
        ("count", int(1)),
        ("cpu", int(2_000)),
        ("memMb", int(500)),
        ("longRunning", Json::Bool(true)),
    ]);
    if !submit(record, site.daemons[0].front, LONG_JOB, &long) {
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let fullest = site.workers.iter().find(|worker| worker.count_running() > 0);
    let (Some(fullest), Some(owner)) = (fullest.cloned(), site.owner()) else {
        return Outcome::NotRun;
    };
    let calm = (owner + 1) % site.daemons.len();
    let front = site.daemons[calm].front;
    let names = (&site.daemons[owner].name, &site.daemons[calm].name);
    record.say(&format!("{} owns the shard; {} is asked; {} is the fullest worker", names.0, names.1, fullest.id));
    if has_trouble {
        fullest.lose_power();
    }
    let short = job("500", vec![
        ("count", int(1)),
        ("cpu", int(1_000)),
        ("memMb", int(500)),
        ("estimateMs", int(500)),
    ]);
    let ids: Vec<String> = (1..=JOBS).map(|nth| format!("{:016x}", 0xb0 + nth)).collect();
    for id in &ids {
        if ask(record, front, "POST", id, &short).0 != 200 {
            return Outcome::NotRun;
        }
    }
    let accepted_at = Instant::now();
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        record.say(&format!("{} is killed", site.daemons[owner].name));
        site.daemons[owner].kill();
        thread::sleep(RESTART_DELAY);
        if site.restart(owner).is_none() {
            return Outcome::NotRun;
        }
    }
    let mut worst: Option<(usize, u64)> = None;
    let mut is_broken = false;
    while accepted_at.elapsed() < Duration::from_secs(16) {
        thread::sleep(Duration::from_millis(250));
        let begun_before = begun(&site, &ids);
        let asked_at = Instant::now();
        let (status, answer) = ask(record, front, "GET", "", "");
        ask(record, front, "GET", &ids[0], "");
        // Jobs that began while the request was under way, or within 2 s before, don't count.
        let not_begun = ids.len() - begun(&site, &ids).len().max(begun_before.len());
        let is_counted = asked_at - accepted_at > COUNTED_AFTER.max(STABILITY_WINDOW);
        let pending = answer.get("pending");
        if status != 200 || !is_counted || pending.is_null() {
            continue;
        }
        let pending = pending.u64();
        record.line(&format!("{not_begun} jobs accepted over 5 s ago haven't begun; GET {PREFIX} gives {pending}"));
        if 2 * pending < not_begun as u64 {
            is_broken = true;
            worst = worst.max(Some((not_begun, pending)));
        }
    }
    site.keep_logs(logs);
    if let Some((not_begun, pending)) = worst {
        record.say(&format!("MIXED: {not_begun} jobs hadn't begun, {pending} were given as pending"));
    }
    record.say(&format!("{} of {} jobs have begun at the end", begun(&site, &ids).len(), ids.len()));
    match is_broken {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

fn begun(site: &Site, ids: &[String]) -> Vec<String> {
    let has_begun = |id: &&String| !tasks_of(&site.workers, id).is_empty();
    ids.iter().filter(has_begun).cloned().collect()
}
