//! How often a process polls a store that all processes share.
//!
//! Load pattern: each of some hundred processes reads leases several times a second and the catalogue twice, and the store
//! refuses what goes beyond so many calls a second from all of them. With fixed pauses the calls grow with the number of
//! processes; past the store's rate urgent reads are refused as often as the others, and a change of the
//! catalogue is in force after seconds. So reads that can wait slow down with every refusal and speed up again with
//! answers, as in congestion control, while urgent ones are repeated soon.

use rand::Rng;
use std::time::Duration;

/// Slowest pace, as a part of the usual one: a lapsed lease is still seen within seconds.
const SLOWEST: f64 = 0.25;
/// Part of the usual pace that an answer adds. Against halving at a refusal, less than one call in ten is refused, and a
/// process that was turned away for a while is back at its pace within ten seconds.
const ANSWER_ADDS: f64 = 0.025;
/// A read that can't wait is repeated after this and up to as much again, so that repeats of many processes don't meet.
const URGENT_RETRY: Duration = Duration::from_millis(100);

/// The pace of a process's reads that can wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace(f64);

impl Default for Pace {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Pace {
    /// The store answered a call.
    pub fn answered(&mut self) {
        self.0 = (self.0 + ANSWER_ADDS).min(1.0);
    }

    /// The store refused a call since there are too many.
    pub fn refused(&mut self) {
        self.0 = (self.0 / 2.0).max(SLOWEST);
    }

    /// Whether reads are slowed down.
    pub fn is_slowed(&self) -> bool {
        self.0 < 1.0
    }

    /// The pause between two reads that can wait, of which this is the usual one.
    pub fn pause(&self, usual: Duration) -> Duration {
        usual.div_f64(self.0)
    }
}

/// The pause after a read that can't wait, of which this is the usual one.
pub fn urgent_pause(usual: Duration, was_refused: bool, rng: &mut impl Rng) -> Duration {
    match was_refused {
        true => rng.random_range(URGENT_RETRY..URGENT_RETRY * 2),
        false => usual,
    }
}
