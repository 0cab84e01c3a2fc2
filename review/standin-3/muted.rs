//! Channels to the workers go silent for good, once, while new ones work. Long-running tasks on sound
//! workers must not be without a run for long.

use crate::{
    Outcome,
    lasting::{Requesters, WORKERS, all_have_run, is_any_lost, submit_long},
    record::Record,
    site::Site,
    worker::Terms,
};
use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Two waves, and the time until the tasks of the third have started.
const WARM_UP: Duration = Duration::from_millis(10_500);
const WATCHED_FOR: Duration = Duration::from_secs(24);

pub fn run(record: &Arc<Record>, has_trouble: bool, logs: &Path) -> Outcome {
    let Some(site) = Site::start(Arc::clone(record), 3, WORKERS, &Terms::LARGE, "6000") else {
        return Outcome::NotRun;
    };
    if !submit_long(&site) {
        return Outcome::NotRun;
    }
    let requesters = Requesters::start(&site, 4, 800);
    thread::sleep(WARM_UP);
    let is_prepared = all_have_run(&site);
    let muted_at = Instant::now();
    for worker in &site.workers {
        record.line(&format!("{} has {} open channels", worker.id, worker.channels.count()));
    }
    if has_trouble {
        record.say("open channels to the workers go silent; new ones work");
        site.workers.iter().for_each(|worker| worker.channels.mute());
    }
    thread::sleep(WATCHED_FOR);
    let watched_until = Instant::now();
    requesters.finish();
    site.keep_logs(logs);
    match (is_prepared, is_any_lost(&site, record, muted_at, watched_until)) {
        (false, _) => Outcome::NotRun,
        (true, true) => Outcome::Broken,
        (true, false) => Outcome::Held,
    }
}
