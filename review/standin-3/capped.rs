//! The store turns owners away for some seconds, one after the other, while workers take 64 channels.
//! Long-running tasks on sound workers must not be without a run for long.

use crate::{
    Outcome,
    lasting::{Requesters, WORKERS, all_have_run, is_any_lost, submit_long},
    record::Record,
    site::Site,
    worker::Terms,
};
use std::{
    path::Path,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

/// Machines of mwangaza-trails.
const DAEMONS: usize = 6;
/// `conn_cap` of the small sites: "64 channels each".
const CHANNELS: usize = 64;
/// `{ kind = "platform_down", how = "nodes leader reset", count = 1, for_s = 7.0 }` in the site file.
const CUT_FOR: Duration = Duration::from_secs(7);
/// Until the owner is one that has not been it before.
const MOST_CUTS: u32 = 4;
const BEFORE_EACH: Duration = Duration::from_secs(11);
const WATCHED_FOR: Duration = Duration::from_secs(18);

pub fn run(record: &Arc<Record>, has_trouble: bool, logs: &Path) -> Outcome {
    let Some(site) = Site::start(Arc::clone(record), DAEMONS, WORKERS, &Terms::LARGE, "6000") else {
        return Outcome::NotRun;
    };
    site.workers.iter().for_each(|worker| worker.channels.limit(CHANNELS));
    if !submit_long(&site) {
        return Outcome::NotRun;
    }
    let requesters = Requesters::start(&site, 4, 800);
    let mut is_prepared = true;
    let mut owners = Vec::new();
    for nth in 1..=MOST_CUTS {
        thread::sleep(BEFORE_EACH);
        is_prepared &= all_have_run(&site);
        note_channels(&site);
        let Some(owner) = site.owner() else {
            return Outcome::NotRun;
        };
        owners.push(owner);
        let daemon = &site.daemons[owner];
        record.say(&format!("{nth}: {} owns the shard; the store turns it away", daemon.name));
        daemon.is_refused.store(has_trouble, Ordering::SeqCst);
        thread::sleep(CUT_FOR);
        daemon.is_refused.store(false, Ordering::SeqCst);
        let next = site.owner();
        let name = next.map_or("nobody", |owner| &site.daemons[owner].name);
        record.say(&format!("the store serves all; {name} owns the shard now"));
        if nth >= 2 && next.is_some_and(|owner| !owners.contains(&owner)) {
            break;
        }
    }
    let calm_from = Instant::now();
    for _ in 0..3 {
        thread::sleep(WATCHED_FOR / 3);
        note_channels(&site);
    }
    let watched_until = Instant::now();
    requesters.finish();
    site.keep_logs(logs);
    match (is_prepared, is_any_lost(&site, record, calm_from, watched_until)) {
        (false, _) => Outcome::NotRun,
        (true, true) => Outcome::Broken,
        (true, false) => Outcome::Held,
    }
}

fn note_channels(site: &Site) {
    let counts = site.workers.iter().map(|worker| format!("{} {}", worker.id, worker.channels.count()));
    let counts: Vec<String> = counts.collect();
    site.record.say(&format!("open channels of the workers: {}", counts.join(", ")));
}
