//! What a deployment promises of stops, restores and tails, as far as decisions depend on it.

use std::time::Duration;

/// Time from the end of a stopped run until the task is ordered elsewhere: its row, a pass, the order.
const PLACE_TAKES: Duration = Duration::from_millis(500);
/// A tail is known to be over its target this long after it is, and comes down this long after what pressed is
/// gone, together: it is measured over half a second and read with the next look.
const TOLD_AFTER: Duration = Duration::from_millis(1_800);
/// However short the time borne, tails are given this long to come down by themselves.
const LEAST_BORNE: Duration = Duration::from_millis(1_000);

/// A deployment's figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Longest time that a stop takes.
    pub stop_takes: Duration,
    /// Time that a task takes to resume from its saved progress.
    pub restore_takes: Duration,
    /// How long a serving task may be over its target through what uses best-effort processors beside it.
    pub overload_borne: Duration,
}

impl Terms {
    /// Time from a stop until the task works again elsewhere.
    pub fn restart_takes(&self) -> Duration {
        self.stop_takes / 2 + self.restore_takes + PLACE_TAKES
    }

    /// A tail that was seen over its target this long must be let come down now, whatever that costs.
    pub fn longest_over(&self) -> Duration {
        let late = self.stop_takes + TOLD_AFTER;
        self.overload_borne.saturating_sub(late).max(LEAST_BORNE)
    }
}
