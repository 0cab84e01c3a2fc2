//! A machine that is not the owner freezes and wakes again, with a submission unread in its socket. The
//! requester waits for its whole deadline, cancels the job, and is told that there is none.

use crate::{
    Outcome,
    json::{Json, int, obj, text},
    record::Record,
    site::{Site, ask},
    worker::{Interval, Terms},
};
use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Machines of mwangaza-trails.
const DAEMONS: usize = 6;
const WORKERS: usize = 4;
const FROZEN_FOR: Duration = Duration::from_millis(3_500);
/// `cancel_ms` of the small sites.
const CANCELLED_WITHIN: Duration = Duration::from_millis(3_000);
const WATCHED_FOR: Duration = Duration::from_secs(12);
const JOB: &str = "00000000000000cc";

pub fn run(record: &Arc<Record>, has_trouble: bool, logs: &Path) -> Outcome {
    let Some(site) = Site::start(Arc::clone(record), DAEMONS, WORKERS, &Terms::LARGE, "6000") else {
        return Outcome::NotRun;
    };
    thread::sleep(Duration::from_secs(4));
    let Some(owner) = site.owner() else {
        return Outcome::NotRun;
    };
    let frozen = &site.daemons[(owner + 1) % DAEMONS];
    let other = &site.daemons[(owner + 2) % DAEMONS];
    let names = (&site.daemons[owner].name, &frozen.name, &other.name);
    record.say(&format!("{} owns the shard; {} freezes; {} is asked to cancel", names.0, names.1, names.2));
    // A submission that the frozen machine finds in its socket when it wakes, or gets at once.
    let frozen_at = Instant::now();
    if has_trouble && !frozen.signal("STOP") {
        return Outcome::NotRun;
    }
    let (submitted, _) = ask(record, frozen.front, "POST", JOB, &two_steps());
    record.say(&format!("the submission ended with status {submitted} after {:?}", frozen_at.elapsed()));
    let (cancelled, _) = ask(record, other.front, "DELETE", JOB, "");
    let cancelled_at = Instant::now();
    record.say(&format!("the cancellation was answered with {cancelled}"));
    thread::sleep((frozen_at + FROZEN_FOR).saturating_duration_since(Instant::now()));
    if has_trouble && !frozen.signal("CONT") {
        return Outcome::NotRun;
    }
    record.line("the freeze is over");
    thread::sleep(WATCHED_FOR);
    let (status, shown) = ask(record, other.front, "GET", JOB, "");
    record.say(&format!("at the end the job is shown with {status} {}", shown.write()));
    site.keep_logs(logs);
    if !matches!(cancelled, 200..=299 | 410) {
        return Outcome::NotRun;
    }
    let mut is_broken = false;
    let intervals: Vec<Interval> = site.workers.iter().flat_map(|worker| worker.intervals()).collect();
    for run in intervals.iter().filter(|run| run.task.starts_with(JOB)) {
        let after = run.from.saturating_duration_since(cancelled_at);
        let is_unasked = after > CANCELLED_WITHIN;
        is_broken |= is_unasked;
        record.say(&format!(
            "run {} of {} on {} began {:.2} s after the cancellation was acknowledged{}",
            run.run,
            run.task,
            run.worker,
            after.as_secs_f64(),
            if is_unasked { ", UNASKED" } else { "" },
        ));
    }
    match is_broken {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// Two steps, the second after the first, with tasks of 3.2 s.
fn two_steps() -> String {
    let step = |after: Vec<Json>| {
        obj(vec![
            ("count", int(2)),
            ("cpu", int(1_000)),
            ("memMb", int(500)),
            ("estimateMs", int(3_200)),
            ("after", Json::Arr(after)),
        ])
    };
    let steps = Json::Arr(vec![step(Vec::new()), step(vec![int(0)])]);
    obj(vec![("spec", text("3200")), ("steps", steps)]).write()
}
