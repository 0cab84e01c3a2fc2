//! A shard owner's sessions with workers: what it knows of each worker in its own epoch, and the
//! task leases that it has sent.

use super::{Cx, shard::Shard};
use crate::{
    core::{
        id::{JobId, WorkerId},
        job::{Attempt, Placement},
        time::Millis,
    },
    state::fencing::{self, ClockReading},
    worker::wire::{RenewTasks, RenewalException, TaskList},
};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// The last lease sent for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentLease {
    /// The attempt. A late report on an earlier one must not change this entry.
    pub attempt: Attempt,
    /// Latest possible end of the lease, on this daemon's clock.
    pub lease_end: Millis,
    /// Whether the worker has reported the attempt.
    pub is_reported: bool,
    /// When a checkpoint of the running task was last proposed to the ledger.
    pub checkpointed_at: Option<Millis>,
}

/// A session with one worker in this owner's epoch.
#[derive(Debug, Default)]
pub struct Session {
    /// The worker's address. A worker that comes back at another address gets a new session.
    pub address: String,
    /// Whether the worker has accepted this epoch.
    pub claimed: bool,
    /// Whether it has rejected this epoch because it knows a later one.
    pub is_refused: bool,
    /// Whether a poll of it is in flight.
    pub poll_in_flight: bool,
    /// A reading of its clock, from its last answer.
    pub reading: Option<ClockReading>,
    /// When it first failed to answer since its last answer; `None` while it answers.
    pub silent_since: Option<Millis>,
    /// Since when its host has been leaving; `None` if it is not.
    pub leaving_since: Option<Millis>,
    /// Until when it gets no new tasks, because it refused one.
    pub no_capacity_until: Millis,
    /// The reading of its clock, in milliseconds, as of which all of its tasks are known; 0 before
    /// the first list.
    pub known_ms: u64,
    /// When it last sent a complete list of its tasks.
    pub complete_list_at: Millis,
    /// The last lease sent for each task.
    pub leases: IndexMap<JobId, SentLease>,
    /// Tasks with a stop in flight. If such a task were started there again, that stop could end
    /// it.
    pub stopping: IndexSet<JobId>,
}

impl Session {
    /// Whether new tasks may be sent to the worker at `now`.
    pub fn takes_tasks(&self, now: Millis) -> bool {
        self.claimed && self.silent_since.is_none() && self.no_capacity_until <= now
    }

    /// The last lease sent for this attempt; `None` if there is none, or only one for another
    /// attempt.
    pub fn lease(&self, job: &JobId, attempt: Attempt) -> Option<SentLease> {
        self.leases
            .get(job)
            .copied()
            .filter(|sent| sent.attempt == attempt)
    }

    /// Records that the worker has reported an attempt.
    pub fn note_reported(&mut self, job: &JobId, attempt: Attempt) {
        if let Some(sent) = self.leases.get_mut(job)
            && sent.attempt == attempt
        {
            sent.is_reported = true;
        }
    }

    /// Removes the lease of an attempt that has ended; that of another attempt stays.
    pub fn forget(&mut self, job: &JobId, attempt: Attempt) {
        if self.lease(job, attempt).is_some() {
            self.leases.swap_remove(job);
        }
    }
}

impl Shard {
    /// Calls `then` with a worker's session; `None` if there is no session.
    pub fn session<T>(&self, worker: &WorkerId, then: impl FnOnce(&mut Session) -> T) -> Option<T> {
        self.sessions.borrow_mut().get_mut(worker).map(then)
    }
}

/// Ensures that a worker has a session at its present address. A new session assumes that every
/// task placed there was leased just now, since the leases sent in an earlier session are no longer
/// known.
pub fn open(cx: &Cx, shard: &Shard, worker: &WorkerId, address: &str) {
    let known = shard.session(worker, |session| session.address == address);
    if known == Some(true) {
        return;
    }
    let lease_end = latest_lease_end(cx);
    let placed = placements_on(shard, worker).into_iter();
    let sent = placed.map(|(job, placement)| {
        let sent = SentLease {
            attempt: placement.attempt,
            lease_end,
            is_reported: false,
            checkpointed_at: None,
        };
        (job, sent)
    });
    let session = Session {
        address: address.to_owned(),
        leases: sent.collect(),
        ..Session::default()
    };
    shard.sessions.borrow_mut().insert(worker.clone(), session);
}

/// The latest possible end, on this daemon's clock, of a lease that this owner has sent so far.
fn latest_lease_end(cx: &Cx) -> Millis {
    fencing::own_lease_end(
        cx.clock.now(),
        cx.cfg.shards.task_lease,
        &cx.cfg.shards.terms,
    )
}

/// The jobs that the ledger places on a worker.
pub fn placements_on(shard: &Shard, worker: &WorkerId) -> Vec<(JobId, Placement)> {
    let (state, index) = (shard.state(), shard.journal.index());
    let placed = index.on_worker(worker);
    let placed = placed.filter_map(|id| Some((id, state.jobs.get(id)?.placement()?)));
    placed
        .map(|(id, placement)| (id.clone(), placement.clone()))
        .collect()
}

/// Placements whose start can no longer be in flight: placed by an earlier owner, reported by the
/// worker, or with an expired lease.
pub fn verifiable_placements(
    cx: &Cx,
    shard: &Shard,
    worker: &WorkerId,
) -> IndexMap<JobId, Placement> {
    let placed = placements_on(shard, worker);
    let now = cx.clock.now();
    let sessions = shard.sessions.borrow();
    let session = sessions.get(worker);
    let is_verifiable = |job: &JobId, placement: &Placement| {
        let sent = session.and_then(|session| session.lease(job, placement.attempt));
        placement.epoch < shard.epoch
            || sent.is_some_and(|sent| sent.is_reported || sent.lease_end < now)
    };
    placed
        .into_iter()
        .filter(|(job, placement)| is_verifiable(job, placement))
        .collect()
}

/// Time between two complete lists of a worker's tasks. Lists of changes would suffice, but only a
/// complete one reveals a task that the ledger does not place there and whose report was lost
/// through a bug.
const COMPLETE_LIST_INTERVAL: Duration = Duration::from_secs(60);

/// The renewal of all tasks on a worker, each within its own hold. The reply may be limited to
/// changes only if the worker has reported every placement in `verifiable`: only a complete list
/// distinguishes a task that it never reported from one that it has stopped.
pub fn renewal(
    cx: &Cx,
    shard: &Shard,
    worker: &WorkerId,
    verifiable: &IndexMap<JobId, Placement>,
) -> RenewTasks {
    // Nothing is renewed while the worker does not answer: each renewal that may have arrived
    // extends the leases that must expire before its tasks can be evicted. The request only checks
    // whether it answers.
    if shard.session(worker, |session| session.silent_since.is_some()) == Some(true) {
        return RenewTasks {
            epoch: shard.epoch,
            until_ms: 0,
            exceptions: Vec::new(),
            known_ms: 0,
        };
    }
    // The same time for all tasks: a difference of one millisecond would make every task an
    // exception.
    let now = cx.clock.now();
    let default_end = default_lease_end(cx, shard, worker, now);
    let placed = placements_on(shard, worker).into_iter();
    let exception_for = |(task, placement): (JobId, Placement)| {
        let attempt = placement.attempt;
        let sent = shard.session(worker, |session| session.lease(&task, attempt))?;
        // Until the worker reports a start sent by this owner, the lease of the start applies. If
        // it were renewed, a start that never arrived would seem to run for ever.
        if placement.epoch == shard.epoch && !sent.is_some_and(|sent| sent.is_reported) {
            return Some(RenewalException { task, until_ms: 0 });
        }
        let until_ms = next_lease(cx, shard, worker, (&task, attempt), now).unwrap_or_default();
        (until_ms != default_end).then_some(RenewalException { task, until_ms })
    };
    let exceptions = placed.filter_map(exception_for).collect();
    let known_ms = known_reading(cx, shard, worker, verifiable);
    RenewTasks {
        epoch: shard.epoch,
        until_ms: default_end,
        exceptions,
        known_ms,
    }
}

/// The end, on the worker's clock, of a lease that no hold shortens; 0 if nothing may be renewed.
fn default_lease_end(cx: &Cx, shard: &Shard, worker: &WorkerId, now: Millis) -> u64 {
    if !shard.is_serving() {
        return 0;
    }
    let end = now + cx.cfg.shards.task_lease;
    let reading = shard.session(worker, |session| session.reading).flatten();
    let until = reading.and_then(|r| fencing::end_on_worker(r, end, &cx.cfg.shards.terms));
    until.map_or(0, |until| until.0)
}

fn known_reading(
    cx: &Cx,
    shard: &Shard,
    worker: &WorkerId,
    verifiable: &IndexMap<JobId, Placement>,
) -> u64 {
    let now = cx.clock.now();
    let known = shard.session(worker, |session| {
        let is_reported = |(job, placement): (&JobId, &Placement)| {
            session
                .lease(job, placement.attempt)
                .is_some_and(|sent| sent.is_reported)
        };
        let is_due = now.since(session.complete_list_at) >= COMPLETE_LIST_INTERVAL;
        match verifiable.iter().all(is_reported) && !is_due {
            true => session.known_ms,
            false => 0,
        }
    });
    known.unwrap_or_default()
}

/// Records the reading of a worker's clock as of which all of its tasks are known.
pub fn note_known(cx: &Cx, shard: &Shard, worker: &WorkerId, list: &TaskList) {
    shard.session(worker, |session| {
        session.known_ms = list.as_of_ms;
        if list.is_complete {
            session.complete_list_at = cx.clock.now();
        }
    });
}

/// The end, on the worker's clock, of a lease granted at `now`; its end on this daemon's clock is
/// recorded. `None` if the task's hold has passed since the shard's lease was last renewed, if the
/// worker's clock is not known, or if the shard is being released: the next owner relies on nothing
/// being renewed after this owner's last event.
pub fn next_lease(
    cx: &Cx,
    shard: &Shard,
    worker: &WorkerId,
    (task, attempt): (&JobId, Attempt),
    now: Millis,
) -> Option<u64> {
    if !shard.is_serving() {
        return None;
    }
    let terms = &cx.cfg.shards.terms;
    let hold_end = shard.tenure().right_until(hold_of(shard, task), terms);
    let end = (now + cx.cfg.shards.task_lease).min(hold_end);
    if end <= now {
        return None;
    }
    let reading = shard.session(worker, |session| session.reading)??;
    let until = fencing::end_on_worker(reading, end, terms)?;
    let lease_end = fencing::own_lease_end(now, cx.cfg.shards.task_lease, terms);
    shard.session(worker, |session| {
        let previous = session.lease(task, attempt);
        let sent = SentLease {
            attempt,
            lease_end,
            is_reported: previous.is_some_and(|sent| sent.is_reported),
            checkpointed_at: previous.and_then(|sent| sent.checkpointed_at),
        };
        session.leases.insert(task.clone(), sent);
    });
    Some(until.0)
}

/// How long an owner that can't reach the table may keep renewing a task. Zero for a job that the
/// ledger does not have, so that it is not renewed.
pub fn hold_of(shard: &Shard, task: &JobId) -> Duration {
    let state = shard.state();
    state.jobs.get(task).map(|job| job.hold).unwrap_or_default()
}
