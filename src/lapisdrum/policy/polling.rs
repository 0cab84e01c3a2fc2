//! Poll rate of processes that read the same shared store.
//!
//! Load pattern: some hundred processes each read leases several times a second and the catalogue
//! twice a second, and the store refuses calls above a total rate. With fixed intervals the calls
//! grow with the number of processes; above the store's limit, urgent reads are refused as often as
//! the others, and a catalogue change takes seconds to come into force. Reads that can wait
//! therefore slow down with every refusal and speed up again with answers, as in congestion
//! control, while urgent reads are retried soon.

use rand::Rng;
use std::time::Duration;

/// Lowest rate, relative to the usual one; a lapsed lease is still detected within seconds.
const MIN_RATE: f64 = 0.25;
/// Rate increase per answer, relative to the usual rate. As each refusal halves the rate, fewer
/// than one call in ten is refused, and a process whose calls were refused for a while is back at
/// its usual rate within ten seconds.
const RATE_INCREASE: f64 = 0.025;
/// Least delay before an urgent read is retried. Up to the same time is added at random, so that
/// retries of many processes do not coincide.
const URGENT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Rate of a process's deferrable reads, relative to the usual rate (1).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollRate(f64);

impl Default for PollRate {
    fn default() -> Self {
        Self(1.0)
    }
}

impl PollRate {
    /// Raises the rate after the store answered a call.
    pub fn answered(&mut self) {
        self.0 = (self.0 + RATE_INCREASE).min(1.0);
    }

    /// Halves the rate after the store refused a call because of too many calls.
    pub fn refused(&mut self) {
        self.0 = (self.0 / 2.0).max(MIN_RATE);
    }

    /// Whether the rate is below the usual one.
    pub fn is_slowed(&self) -> bool {
        self.0 < 1.0
    }

    /// Pause between two deferrable reads, given the `usual` pause.
    pub fn pause(&self, usual: Duration) -> Duration {
        usual.div_f64(self.0)
    }
}

/// Pause after an urgent read: the `usual` one, or a short random one when the read was refused.
pub fn urgent_pause(usual: Duration, was_refused: bool, rng: &mut impl Rng) -> Duration {
    match was_refused {
        true => rng.random_range(URGENT_RETRY_DELAY..URGENT_RETRY_DELAY * 2),
        false => usual,
    }
}
