//! When a task that may still be running may be started on another worker, and how long a command
//! to a worker stays valid.
//!
//! A task must not run twice: two instances of a livestream would split its viewers. It is started
//! elsewhere only when its worker has confirmed that it stopped, or when no owner can still be
//! renewing it and its lease has run out. A worker that does not answer proves nothing: in a
//! network partition, an earlier owner may be renewing the task on a worker that only that owner
//! can reach.

use super::ownership::LeaseTerms;
use crate::core::time::{Millis, WorkerMillis};
use std::time::Duration;

/// A reading of a worker's clock, taken from one of its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClockReading {
    /// Time on the worker's clock when it sent the answer.
    pub worker: WorkerMillis,
    /// When this daemon received the answer. The reading was taken before.
    pub received_at: Millis,
}

/// The time on the worker's clock until which a command is valid, never later than `end` on this
/// daemon's clock.
///
/// The worker's clock showed `reading.worker` before `reading.received_at`, so counting from the
/// arrival gives an end that is too early rather than too late; the drift margin covers a worker's
/// clock that runs slow. Returns `None` when no time is left: the command must not be sent.
pub fn end_on_worker(
    reading: ClockReading,
    end: Millis,
    terms: &LeaseTerms,
) -> Option<WorkerMillis> {
    let remaining = end.since(reading.received_at);
    (!remaining.is_zero()).then(|| reading.worker + terms.shortened(remaining))
}

/// State of the earlier owners that may have renewed a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EarlierOwners {
    /// There are none: the present owner placed the task itself.
    None,
    /// All of them have released the shard or are known to have ended; the last was found to have
    /// ended at this time.
    Ended(Millis),
    /// At least one may still be running, cut off from the table.
    MaybeAlive,
}

/// What is known about a placed task from its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkerEvidence {
    /// In the present epoch the worker answered that the task is not running, or the platform no
    /// longer lists the worker.
    Stopped,
    /// The worker has not confirmed that the task stopped.
    Unanswered,
}

/// Everything that decides whether a task may be started elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Evidence {
    /// Whether the task is known to have stopped.
    pub worker: WorkerEvidence,
    /// End of the last lease that the present owner sent, on its own clock; `None` when it sent
    /// none.
    pub own_lease_end: Option<Millis>,
    /// The owners before the present one.
    pub earlier: EarlierOwners,
    /// When the present owner took the shard over.
    pub owner_since: Millis,
    /// Time after which a task's lease ends when it is not renewed.
    pub task_lease: Duration,
    /// How long an owner that can't reach the table may keep renewing the task's lease.
    pub hold: Duration,
}

/// The earliest time at which the task may be started elsewhere.
pub fn restart_at(evidence: &Evidence, terms: &LeaseTerms) -> Millis {
    if evidence.worker == WorkerEvidence::Stopped {
        return Millis::default();
    }
    let own_end = evidence.own_lease_end.unwrap_or_default();
    let earlier_end = match evidence.earlier {
        EarlierOwners::None => Millis::default(),
        // Its last command may have been in flight when it ended.
        EarlierOwners::Ended(since) => since + terms.lengthened(evidence.task_lease),
        // The previous owner last renewed its own lease before the take-over, and may extend the
        // task's lease to at most `hold` after that.
        EarlierOwners::MaybeAlive => evidence.owner_since + terms.lengthened(evidence.hold),
    };
    own_end.max(earlier_end)
}

/// The end, on this daemon's clock, of a task lease sent at `now`. The worker counts from an
/// earlier clock reading, so this is too late rather than too early, as the side that waits
/// requires.
pub fn own_lease_end(now: Millis, task_lease: Duration, terms: &LeaseTerms) -> Millis {
    now + terms.lengthened(task_lease)
}
