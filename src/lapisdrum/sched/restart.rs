//! Longest time for which a long-running task waits after its worker is lost, by what is lost with it.
//!
//! The times follow from the settings of the leases alone. They are computed at the start of the
//! process and compared with the time that callers are promised, so that a deployment whose settings
//! can't keep it is known before a worker is lost.

use super::{lease, owner::upkeep, resolution::LeaseLimits};
use std::time::Duration;

/// Longest time for which callers may wait for a long-running task to run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartLimits {
    /// After the loss of its worker alone.
    pub worker: Duration,
    /// After the loss of an owner of its shard, with or after that of the worker.
    pub owner: Duration,
}

/// What is lost together with the worker of a long-running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostTogether {
    /// Nothing.
    WorkerAlone,
    /// The owner, after it has written to the store that the worker does not answer; how many more
    /// owners are lost in series makes no difference.
    OwnerLater,
    /// The owner, before that.
    Owner,
    /// The owner, before it has confirmed the run, which had just been started.
    OwnerOfNewRun,
}

/// A longest wait, counted from the last loss, and the time that callers are promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartTime {
    /// What is lost.
    pub lost: LostTogether,
    /// Longest wait, on a store that answers and with free capacity.
    pub longest: Duration,
    /// Longest wait that callers are promised.
    pub limit: Duration,
}

impl RestartTime {
    /// Whether the wait may be longer than callers are promised.
    pub fn is_over(&self) -> bool {
        self.longest > self.limit
    }
}

/// The longest waits with these settings.
pub fn restart_times(leases: &LeaseLimits, limits: &RestartLimits) -> [RestartTime; 4] {
    let longest_sent = leases.sent(Duration::ZERO).unwrap_or_default();
    let lease = leases.ends_within(longest_sent);
    let after_row = leases.after_row();
    // A row counts from its first read.
    let by_row = |left_ms| lease::POLL + leases.measured_elsewhere(Duration::from_millis(left_ms));
    let [worker, owner] = [limits.worker, limits.owner];
    let times = [
        (LostTogether::WorkerAlone, lease, worker),
        (LostTogether::OwnerLater, lease.max(lease::TAKEOVER), owner),
        (LostTogether::Owner, by_row(after_row.confirmed_ms), owner),
        (
            LostTogether::OwnerOfNewRun,
            by_row(after_row.unconfirmed_ms),
            owner,
        ),
    ];
    times.map(|(lost, leases_end, limit)| RestartTime {
        lost,
        longest: leases_end + upkeep::MIN_INTERVAL,
        limit,
    })
}
