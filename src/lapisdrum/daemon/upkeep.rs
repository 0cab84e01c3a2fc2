//! Keeps a shard's ledger bounded and carries an entry's retirement through.
//!
//! Ended jobs and claims are kept for a time, so that callers who ask late find their end; without a
//! bound on time *and* number the state, its snapshots and a recovery would grow for ever. Ages
//! count from when this owner saw the end, since the ledger holds no times: a take-over keeps an end
//! somewhat longer and never shorter.

use super::{Cx, journal::Urgency, shard::Shard};
use crate::{
    core::{
        catalogue::Class,
        id::{EntryName, JobId},
        job::{Job, JobEnd, JobPhase},
    },
    state::ledger::{ClaimEnd, Event},
};
use std::{rc::Rc, time::Duration};

/// Time between two looks.
const TICK: Duration = Duration::from_secs(1);
/// Most jobs, and most claims, that are forgotten at a time.
const MOST_AT_ONCE: usize = 1_000;
/// Age at which a claim without an end is given one: no request may run as long as that, so nobody
/// is still going to report its end.
const ABANDONED_CLAIM: Duration = Duration::from_secs(2 * 3_600);

/// Tends the shard until it is lost or given up.
pub async fn run(cx: &Cx, shard: &Rc<Shard>) {
    while shard.is_serving() {
        if shard.can_write(cx) {
            let mut events = expired(cx, shard);
            events.extend(retirements(cx, shard));
            if !events.is_empty() {
                // Nothing waits for these; what is not written now is proposed again after recovery.
                let _ = shard.propose(cx, events, Urgency::Batch);
            }
        }
        tokio::time::sleep(TICK).await;
    }
}

fn expired(cx: &Cx, shard: &Shard) -> Vec<Event> {
    let now = cx.clock.now();
    let (retention, most) = (cx.cfg.shards.retention, cx.cfg.shards.retained);
    let before = now.before(retention);
    let mut index = shard.journal.index_mut();
    let jobs = index.take_expired_jobs(before, most, MOST_AT_ONCE);
    let abandoned = index.take_old_claims(now.before(ABANDONED_CLAIM), MOST_AT_ONCE);
    drop(index);
    let state = shard.state();
    let is_open = |id: &_| {
        state
            .claims
            .get(id)
            .is_some_and(|claim| claim.end.is_none())
    };
    let forgotten = jobs.into_iter().map(|job| Event::Forgotten { job });
    let abandoned = abandoned.into_iter().filter(is_open);
    let abandoned = abandoned.map(|request| Event::ClaimEnded {
        request,
        end: ClaimEnd::Unknown,
    });
    forgotten.chain(abandoned).collect()
}

/// Cancels what runs or waits under a retired long-running entry. Batch jobs that were accepted
/// finish, and running requests are answered; those need nothing here.
fn retirements(cx: &Cx, shard: &Shard) -> Vec<Event> {
    let retired = retired_services(cx, shard);
    if retired.is_empty() {
        return Vec::new();
    }
    let state = shard.state();
    let jobs = state.jobs.iter();
    let jobs = jobs.filter(|(_, job)| retired.contains(&job.entry));
    jobs.filter_map(|(id, job)| cancel(id, job)).collect()
}

fn retired_services(cx: &Cx, shard: &Shard) -> Vec<EntryName> {
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

/// The event that cancels a job; none when it is over or being cancelled already.
pub fn cancel(id: &JobId, job: &Job) -> Option<Event> {
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
