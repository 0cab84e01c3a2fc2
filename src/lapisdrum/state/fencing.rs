//! When a task that may be running somewhere may be started elsewhere, and how long a command to a
//! worker stays valid.
//!
//! A doubled livestream splits its viewers. So a task is started elsewhere only when the worker has
//! confirmed that it stopped, or when nobody can still be renewing it and its lease has run out.
//! Silence alone proves nothing: an earlier owner on the far side of a partition may be renewing
//! the task on a worker that only it can reach.

use super::ownership::LeaseTerms;
use crate::core::time::{Millis, WorkerMillis};
use std::time::Duration;

/// A worker's clock, read from one of its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClockReading {
    /// What the worker's clock showed.
    pub worker: WorkerMillis,
    /// When the answer arrived here. The reading is at least as old as this.
    pub received_at: Millis,
}

/// The end of a command on the worker's clock, such that it never lies after `end` on ours.
///
/// The worker's clock showed `reading.worker` before `reading.received_at`, so counting on from the
/// arrival errs early; the drift margin covers a worker's clock that runs slow. Returns `None` when
/// nothing is left: the command must not be sent.
pub fn end_on_worker(
    reading: ClockReading,
    end: Millis,
    terms: &LeaseTerms,
) -> Option<WorkerMillis> {
    let left = end.since(reading.received_at);
    (!left.is_zero()).then(|| reading.worker + terms.shortened(left))
}

/// What is known of the owners before the present one, as far as they may have renewed a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EarlierOwners {
    /// The present owner placed the task itself.
    None,
    /// All of them have released the shard or are known dead; the last was found so at this time.
    Gone(Millis),
    /// At least one may be alive and cut off.
    Unaccounted,
}

/// What is known of a placed task's worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkerEvidence {
    /// Under the present epoch the worker answered that the task does not run, or the platform no
    /// longer names the worker.
    Stopped,
    /// No answer.
    Silent,
}

/// Everything that decides whether a task may be started elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Evidence {
    /// The worker's side.
    pub worker: WorkerEvidence,
    /// The end, on our clock, of the last lease that the present owner itself sent.
    pub own_lease_end: Option<Millis>,
    /// The owners before.
    pub earlier: EarlierOwners,
    /// When the present owner took the shard.
    pub owner_since: Millis,
    /// The life of a task's lease.
    pub task_lease: Duration,
    /// The entry's hold: how long an owner may renew without reaching the table.
    pub hold: Duration,
}

/// The earliest time at which the task may be started elsewhere.
pub fn restart_at(evidence: &Evidence, terms: &LeaseTerms) -> Millis {
    if evidence.worker == WorkerEvidence::Stopped {
        return Millis::default();
    }
    let own = evidence.own_lease_end.unwrap_or_default();
    let theirs = match evidence.earlier {
        EarlierOwners::None => Millis::default(),
        // Its last command may have been under way when it died.
        EarlierOwners::Gone(since) => since + terms.lengthened(evidence.task_lease),
        // Whoever held the shard renewed it last before it was taken over, and promised the hold
        // from then.
        EarlierOwners::Unaccounted => evidence.owner_since + terms.lengthened(evidence.hold),
    };
    own.max(theirs)
}

/// The end on our own clock of a lease that we sent at `now`: the worker counted from an earlier
/// reading, so this errs late, as the waiting side must.
pub fn own_lease_end(now: Millis, task_lease: Duration, terms: &LeaseTerms) -> Millis {
    now + terms.lengthened(task_lease)
}
