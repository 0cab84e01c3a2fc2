//! Timings of a deployment that mitigation depends on: stops, restores and the tolerated overload.

use std::time::Duration;

/// Time from the end of a stopped run until its task is started on another host: journal row,
/// dispatch pass, start order.
const PLACEMENT_TIME: Duration = Duration::from_millis(500);
/// Sum of the delays until a tail over its target is detected, and until it falls after the
/// aggressor has ended: a tail is measured over half a second and read with the next poll.
const TAIL_DELAY: Duration = Duration::from_millis(1_800);
/// Minimum time for a tail to fall by itself, however short the tolerated overload.
const MIN_TOLERATED_OVERLOAD: Duration = Duration::from_millis(1_000);

/// Timings of a deployment, as its settings give them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// Maximum time that a stop takes.
    pub max_stop_time: Duration,
    /// Time that a task takes to resume from its saved progress.
    pub restore_time: Duration,
    /// Maximum time that a serving task may exceed its target because of best-effort tasks.
    pub tolerated_overload: Duration,
}

impl Timings {
    /// Returns the expected time from a stop order until the task runs again on another host.
    pub fn restart_time(&self) -> Duration {
        self.max_stop_time / 2 + self.restore_time + PLACEMENT_TIME
    }

    /// Returns how long tails may be measured over their targets before all best-effort tasks of
    /// the host are stopped.
    pub fn max_measured_overload(&self) -> Duration {
        let delay = self.max_stop_time + TAIL_DELAY;
        self.tolerated_overload
            .saturating_sub(delay)
            .max(MIN_TOLERATED_OVERLOAD)
    }
}
