//! Eviction of placed tasks that certainly no longer run: the platform no longer lists the host, or
//! the worker does not answer and every lease that any owner may have given the task has expired.
//! [`crate::state::fencing`] decides; this module gathers the evidence.

use super::{
    Cx,
    journal::{Urgency, WriteOutcome},
    listing::JobState,
    metrics::EndLabels,
    sessions,
    shard::Shard,
    supervisor,
};
use crate::{
    core::{
        id::{JobId, WorkerId},
        job::{JobEnd, Placement},
        time::Millis,
    },
    state::{
        fencing::{self, EarlierOwners, Evidence, WorkerEvidence},
        ledger::{Event, OwnerRecord},
    },
    timeline::event::Happening,
};
use indexmap::IndexMap;
use std::rc::Rc;

/// Evicts tasks from hosts that the platform no longer lists; it guarantees that such hosts are
/// dead.
///
/// The list lags: a host that this process has never seen listed may be too new to be listed, and
/// an earlier owner with a newer list may have placed tasks there. Such a host counts as removed
/// only after a whole task lease without being listed.
pub fn evict_from_removed_hosts(cx: &Cx, shard: &Rc<Shard>) {
    let terms = &cx.cfg.shards.terms;
    let timeout = terms.lengthened(cx.cfg.shards.task_lease);
    let has_waited = cx.clock.now().since(shard.since) > timeout;
    let removed: Vec<WorkerId> = {
        let members = cx.members.borrow();
        let index = shard.journal.index();
        let unlisted = index
            .workers()
            .filter(|worker| !members.hosts.contains_key(*worker));
        unlisted
            .filter(|worker| has_waited || members.was_listed(worker))
            .cloned()
            .collect()
    };
    for worker in &removed {
        for (job, placement) in sessions::placements_on(shard, worker) {
            revoke_placement(cx, shard, &job, &placement, "host is gone");
        }
    }
    let members = cx.members.borrow();
    let is_listed = |worker: &WorkerId| members.hosts.contains_key(worker);
    shard
        .sessions
        .borrow_mut()
        .retain(|worker, _| is_listed(worker));
}

/// Evicts the tasks in `placements` that a worker which does not answer certainly no longer runs.
pub fn evict_expired(
    cx: &Cx,
    shard: &Rc<Shard>,
    worker: &WorkerId,
    placements: &IndexMap<JobId, Placement>,
) {
    let now = cx.clock.now();
    for (job, placement) in placements {
        let sent = shard.session(worker, |session| session.lease(job, placement.attempt));
        let evidence = Evidence {
            worker: WorkerEvidence::Unanswered,
            own_lease_end: sent.flatten().map(|sent| sent.lease_end),
            earlier: earlier_owners(cx, shard, placement),
            owner_since: shard.since,
            task_lease: cx.cfg.shards.task_lease,
            hold: sessions::hold_of(shard, job),
        };
        if fencing::restart_at(&evidence, &cx.cfg.shards.terms) < now {
            revoke_placement(cx, shard, job, placement, "lease has run out");
        }
    }
}

/// State of the earlier owners that may have renewed the lease of a placement.
fn earlier_owners(cx: &Cx, shard: &Shard, placement: &Placement) -> EarlierOwners {
    let state = shard.state();
    let mut suspects = state.suspects(placement.epoch, shard.epoch).peekable();
    if suspects.peek().is_none() {
        return EarlierOwners::None;
    }
    let mut latest = shard.since;
    for owner in suspects {
        match ended_since(cx, shard, owner) {
            Some(since) => latest = latest.max(since),
            None => return EarlierOwners::MaybeAlive,
        }
    }
    EarlierOwners::Ended(latest)
}

/// Time since which an earlier owner has certainly ended; `None` while it may be alive. An owner
/// that released the shard ended before this owner took it. One that was replaced, or whose host
/// left the platform's list, may have renewed tasks until shortly before this was observed, so its
/// time counts from the observation.
fn ended_since(cx: &Cx, shard: &Shard, owner: &OwnerRecord) -> Option<Millis> {
    if owner.released {
        return Some(shard.since);
    }
    let mut found = shard.owners_ended.borrow_mut();
    if let Some(since) = found.get(&owner.epoch) {
        return Some(*since);
    }
    let members = cx.members.borrow();
    let has_ended =
        members.is_replaced(&owner.holder, shard.since) || members.is_host_removed(&owner.holder);
    has_ended.then(|| {
        let now = cx.clock.now();
        found.insert(owner.epoch, now);
        now
    })
}

/// Revokes a placement in the ledger: evicts the job, or ends it if it is being cancelled. The
/// caller ensures that the task no longer runs.
pub fn revoke_placement(
    cx: &Cx,
    shard: &Rc<Shard>,
    job: &JobId,
    placement: &Placement,
    reason: &str,
) {
    let current = shard.job(job);
    let Some(current) = current.filter(|job| job.placement() == Some(placement)) else {
        return;
    };
    let event = match current.cancelling {
        true => Event::Ended {
            job: job.clone(),
            end: JobEnd::Cancelled,
        },
        false => Event::Evicted {
            job: job.clone(),
            attempt: placement.attempt,
        },
    };
    // If the ledger can't accept the event, the placement stays and the next poll tries again.
    let Ok(ticket) = shard.propose(cx, vec![event], Urgency::Urgent) else {
        return;
    };
    let (cx, shard, job) = (Rc::clone(cx), Rc::clone(shard), job.clone());
    let (placement, reason) = (placement.clone(), reason.to_owned());
    let is_cancelled = current.cancelling;
    supervisor::spawn("unplaced", async move {
        if ticket.outcome().await == WriteOutcome::Committed {
            let worker = &placement.worker;
            shard.session(worker, |session| session.forget(&job, placement.attempt));
            match is_cancelled {
                true => note_end(&cx, &job, &JobEnd::Cancelled),
                false => note_eviction(&cx, &job, worker, &reason),
            }
            shard.placement_notify.notify_one();
        }
    });
}

/// Records an eviction in the metrics and on the timeline. `reason` becomes a metric label, up to
/// its first colon.
pub fn note_eviction(cx: &Cx, job: &JobId, worker: &WorkerId, reason: &str) {
    if let Some(entry) = entry_of(cx, job) {
        cx.metrics.note_eviction(entry, reason);
    }
    cx.timeline.record(Happening::TaskEvicted {
        job: job.clone(),
        worker: worker.clone(),
        reason: reason.to_owned(),
    });
}

/// Records the end of a job in the metrics and on the timeline.
pub fn note_end(cx: &Cx, job: &JobId, end: &JobEnd) {
    let end_name = JobState::from(end).as_str();
    if let Some(entry) = entry_of(cx, job) {
        let labels = EndLabels {
            entry,
            end: end_name,
        };
        cx.metrics.jobs_ended.get_or_create(&labels).inc();
    }
    let end = match end {
        JobEnd::Failed(why) => format!("{end_name}: {why}"),
        JobEnd::Done | JobEnd::Cancelled => end_name.to_owned(),
    };
    cx.timeline.record(Happening::JobEnded {
        job: job.clone(),
        end,
    });
}

/// Entry of a job, if this daemon owns the job's shard.
fn entry_of(cx: &Cx, job: &JobId) -> Option<String> {
    let shards = cx.shards.borrow();
    let known = shards.get(&job.shard()?)?.job(job)?;
    Some(known.entry.to_string())
}
