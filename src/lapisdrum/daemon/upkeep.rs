//! Maintenance of a shard's ledger: removes old ended jobs and cancels the jobs of retired entries.
//!
//! Ended jobs are kept for a time, so that callers who ask late still receive the outcome; without
//! a bound on time *and* number, the state, its snapshots and the time of a recovery would grow
//! without limit. Ages count from when this owner saw the end, since the ledger holds no times: a
//! take-over keeps an ended job somewhat longer and never shorter. [`super::claims`] removes old
//! claims.

use super::{Cx, journal::Urgency, shard::Shard};
use crate::{
    core::{
        catalogue::Class,
        id::{EntryName, JobId},
        job::{Job, JobEnd, JobPhase},
    },
    state::ledger::Event,
};
use std::{rc::Rc, time::Duration};

/// Time between two maintenance passes.
const PASS_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of jobs removed in one pass.
const MAX_FORGOTTEN_PER_PASS: usize = 1_000;

/// Runs maintenance until the shard is lost or released.
pub async fn run(cx: &Cx, shard: &Rc<Shard>) {
    while shard.is_serving() {
        if shard.can_write(cx) {
            let mut events = expired(cx, shard);
            events.extend(retirements(cx, shard));
            if !events.is_empty() {
                // Nothing waits for these events; those that are not written are proposed again
                // after recovery.
                let _ = shard.propose(cx, events, Urgency::Batch);
            }
        }
        tokio::time::sleep(PASS_INTERVAL).await;
    }
}

fn expired(cx: &Cx, shard: &Shard) -> Vec<Event> {
    let before = cx.clock.now().before(cx.cfg.shards.retention);
    let max_retained = cx.cfg.shards.retained;
    let mut index = shard.journal.index_mut();
    let jobs = index.take_expired_jobs(before, max_retained, MAX_FORGOTTEN_PER_PASS);
    let forgotten = jobs.into_iter().map(|job| Event::Forgotten { job });
    forgotten.collect()
}

/// Cancels the waiting and running jobs of retired long-running entries. Accepted batch jobs finish
/// and running requests are answered; these need no event.
fn retirements(cx: &Cx, shard: &Shard) -> Vec<Event> {
    let retired = retired_entries(cx, shard);
    if retired.is_empty() {
        return Vec::new();
    }
    let state = shard.state();
    let jobs = state.jobs.iter();
    let jobs = jobs.filter(|(_, job)| retired.contains(&job.entry));
    jobs.filter_map(|(id, job)| cancel_event(id, job)).collect()
}

fn retired_entries(cx: &Cx, shard: &Shard) -> Vec<EntryName> {
    let catalogue = cx.catalogue.borrow();
    let index = shard.journal.index();
    let services = catalogue.entries();
    let retired = services.filter(|entry| entry.class == Class::LongRunning && !entry.is_active());
    let retired = retired.filter(|entry| {
        let counts = index.counts(&entry.name);
        counts.waiting + counts.placed > 0
    });
    retired.map(|entry| entry.name.clone()).collect()
}

/// The event that cancels a job; `None` if it has ended or is already being cancelled.
pub fn cancel_event(id: &JobId, job: &Job) -> Option<Event> {
    match job.phase {
        JobPhase::Ended(_) => None,
        _ if job.cancelling => None,
        JobPhase::Waiting => Some(Event::Ended {
            job: id.clone(),
            end: JobEnd::Cancelled,
        }),
        JobPhase::Placed(_) => Some(Event::CancelAsked { job: id.clone() }),
    }
}
