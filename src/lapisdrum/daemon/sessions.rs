//! What a shard's owner knows of each worker under its own epoch, and the leases it has sent there.

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

/// The last lease that was sent for one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// The attempt. A late note about an earlier one must not touch this one's.
    pub attempt: Attempt,
    /// The lease's end on our clock, erring late.
    pub lease_end: Millis,
    /// The worker has reported the attempt.
    pub is_reported: bool,
    /// When its checkpoint was last put into the ledger.
    pub checkpointed_at: Option<Millis>,
}

/// One worker under this owner's epoch.
#[derive(Debug, Default)]
pub struct Session {
    /// Where the worker answers. A name that comes back at another address is another session.
    pub address: String,
    /// The worker has accepted this epoch.
    pub claimed: bool,
    /// It has refused this epoch for a later one.
    pub is_refused: bool,
    /// A visit to it is under way.
    pub busy: bool,
    /// Its clock, from its last answer.
    pub reading: Option<ClockReading>,
    /// Since when it has not answered; none while it answers.
    pub silent_since: Option<Millis>,
    /// Since when it has been leaving.
    pub leaving_since: Option<Millis>,
    /// Until when it gets no new task, having refused one.
    pub no_room_until: Millis,
    /// Up to which reading of its clock, in milliseconds, all of its tasks are known; 0 before the
    /// first complete list.
    pub known_ms: u64,
    /// When it was last asked for all of its tasks.
    pub listed_at: Millis,
    /// Leases sent to it.
    pub sent: IndexMap<JobId, Sent>,
    /// Tasks with a stop under way. A start of the same task there could be stopped by it.
    pub stopping: IndexSet<JobId>,
}

impl Session {
    /// Whether new tasks may be sent to the worker.
    pub fn takes_tasks(&self, now: Millis) -> bool {
        self.claimed && self.silent_since.is_none() && self.no_room_until <= now
    }

    /// The last lease sent for an attempt.
    pub fn sent(&self, job: &JobId, attempt: Attempt) -> Option<Sent> {
        self.sent
            .get(job)
            .copied()
            .filter(|sent| sent.attempt == attempt)
    }

    /// Notes that the worker has reported an attempt.
    pub fn note_reported(&mut self, job: &JobId, attempt: Attempt) {
        if let Some(sent) = self.sent.get_mut(job)
            && sent.attempt == attempt
        {
            sent.is_reported = true;
        }
    }

    /// Forgets an attempt that is over.
    pub fn forget(&mut self, job: &JobId, attempt: Attempt) {
        if self.sent(job, attempt).is_some() {
            self.sent.swap_remove(job);
        }
    }
}

impl Shard {
    /// Uses a worker's session, if there is one.
    pub fn session<T>(&self, worker: &WorkerId, then: impl FnOnce(&mut Session) -> T) -> Option<T> {
        self.sessions.borrow_mut().get_mut(worker).map(then)
    }
}

/// Makes sure that a worker has a session at its present address. A new one takes every placement
/// there for leased just now: what an earlier session had sent is no longer known.
pub fn open(cx: &Cx, shard: &Shard, worker: &WorkerId, address: &str) {
    let known = shard.session(worker, |session| session.address == address);
    if known == Some(true) {
        return;
    }
    let lease_end = unknown_lease_end(cx);
    let placed = placements_on(shard, worker).into_iter();
    let sent = placed.map(|(job, placement)| {
        let sent = Sent {
            attempt: placement.attempt,
            lease_end,
            is_reported: false,
            checkpointed_at: None,
        };
        (job, sent)
    });
    let session = Session {
        address: address.to_owned(),
        sent: sent.collect(),
        ..Session::default()
    };
    shard.sessions.borrow_mut().insert(worker.clone(), session);
}

/// The latest end on our clock of a lease that this owner may have sent before now.
fn unknown_lease_end(cx: &Cx) -> Millis {
    fencing::own_lease_end(
        cx.clock.now(),
        cx.cfg.shards.task_lease,
        &cx.cfg.shards.terms,
    )
}

/// What the ledger places on a worker.
pub fn placements_on(shard: &Shard, worker: &WorkerId) -> Vec<(JobId, Placement)> {
    let (state, index) = (shard.state(), shard.journal.index());
    let placed = index.on_worker(worker);
    let placed = placed.filter_map(|id| Some((id, state.jobs.get(id)?.placement()?)));
    placed
        .map(|(id, placement)| (id.clone(), placement.clone()))
        .collect()
}

/// Placements whose start can no longer be under way: placed by an earlier owner, reported, or with
/// a lease that has run out.
pub fn settled_placements(cx: &Cx, shard: &Shard, worker: &WorkerId) -> IndexMap<JobId, Placement> {
    let placed = placements_on(shard, worker);
    let now = cx.clock.now();
    let sessions = shard.sessions.borrow();
    let session = sessions.get(worker);
    let is_settled = |job: &JobId, placement: &Placement| {
        let sent = session.and_then(|session| session.sent(job, placement.attempt));
        placement.epoch < shard.epoch
            || sent.is_some_and(|sent| sent.is_reported || sent.lease_end < now)
    };
    placed
        .into_iter()
        .filter(|(job, placement)| is_settled(job, placement))
        .collect()
}

/// Time between two complete lists of a worker's tasks. Changes alone would do; a task that the
/// ledger does not place there and whose report was lost in a fault of ours is found by the list.
const LIST_INTERVAL: Duration = Duration::from_secs(60);

/// New leases for everything on a worker, each task within its own hold. The judged placements
/// decide whether changes are enough: one that the worker has never reported can be told from one
/// that it has stopped by a complete list only.
pub fn renewal(
    cx: &Cx,
    shard: &Shard,
    worker: &WorkerId,
    judged: &IndexMap<JobId, Placement>,
) -> RenewTasks {
    // Renewed while it does not answer, a worker's tasks could never be given up: each renewal that
    // may have arrived puts the end of their leases off. So it is only asked until it answers.
    if shard.session(worker, |session| session.silent_since.is_some()) == Some(true) {
        return RenewTasks {
            epoch: shard.epoch,
            until_ms: 0,
            exceptions: Vec::new(),
            known_ms: 0,
        };
    }
    // One moment for all: a millisecond between two readings would make every task an exception.
    let now = cx.clock.now();
    let usual = usual_end(cx, shard, worker, now);
    let placed = placements_on(shard, worker).into_iter();
    let except = |(task, placement): (JobId, Placement)| {
        let attempt = placement.attempt;
        let sent = shard.session(worker, |session| session.sent(&task, attempt))?;
        // Until the worker has reported a start of ours, the start's own lease has to do: renewed, a
        // start that never arrived would seem to run for ever.
        if placement.epoch == shard.epoch && !sent.is_some_and(|sent| sent.is_reported) {
            return Some(RenewalException { task, until_ms: 0 });
        }
        let until_ms = next_lease(cx, shard, worker, (&task, attempt), now).unwrap_or_default();
        (until_ms != usual).then_some(RenewalException { task, until_ms })
    };
    let exceptions = placed.filter_map(except).collect();
    let known_ms = known_reading(cx, shard, worker, judged);
    RenewTasks {
        epoch: shard.epoch,
        until_ms: usual,
        exceptions,
        known_ms,
    }
}

/// The lease's end of a task that no hold cuts short; 0 when nothing may be renewed.
fn usual_end(cx: &Cx, shard: &Shard, worker: &WorkerId, now: Millis) -> u64 {
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
    judged: &IndexMap<JobId, Placement>,
) -> u64 {
    let now = cx.clock.now();
    let known = shard.session(worker, |session| {
        let is_reported = |(job, placement): (&JobId, &Placement)| {
            session
                .sent(job, placement.attempt)
                .is_some_and(|sent| sent.is_reported)
        };
        let is_due = now.since(session.listed_at) >= LIST_INTERVAL;
        match judged.iter().all(is_reported) && !is_due {
            true => session.known_ms,
            false => 0,
        }
    });
    known.unwrap_or_default()
}

/// Notes how far a worker's tasks are known after its answer.
pub fn note_list(cx: &Cx, shard: &Shard, worker: &WorkerId, list: &TaskList) {
    shard.session(worker, |session| {
        session.known_ms = list.as_of_ms;
        if list.is_complete {
            session.listed_at = cx.clock.now();
        }
    });
}

/// The end of a lease given now, on the worker's clock, and notes its end on ours. None when the
/// owner's own right has run out or the shard is being given up: a successor counts on no renewal
/// after this owner's last event.
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
    let right = shard.tenure().right_until(hold_of(shard, task), terms);
    let end = (now + cx.cfg.shards.task_lease).min(right);
    if end <= now {
        return None;
    }
    let reading = shard.session(worker, |session| session.reading)??;
    let until = fencing::end_on_worker(reading, end, terms)?;
    let lease_end = fencing::own_lease_end(now, cx.cfg.shards.task_lease, terms);
    shard.session(worker, |session| {
        let before = session.sent(task, attempt);
        let sent = Sent {
            attempt,
            lease_end,
            is_reported: before.is_some_and(|sent| sent.is_reported),
            checkpointed_at: before.and_then(|sent| sent.checkpointed_at),
        };
        session.sent.insert(task.clone(), sent);
    });
    Some(until.0)
}

/// How long an owner that is cut off from the table may go on renewing a task. A job that the ledger
/// does not know has no hold: nothing of it is renewed.
pub fn hold_of(shard: &Shard, task: &JobId) -> Duration {
    let state = shard.state();
    state.jobs.get(task).map(|job| job.hold).unwrap_or_default()
}
