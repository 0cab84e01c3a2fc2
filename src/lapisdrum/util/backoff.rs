//! Waiting between tries: doubled each time up to a cap, spread at random.
//!
//! Load pattern: many daemons lose the platform at the same moment. Without the spread they all
//! return at the same moment too, and a table that has just come back meets its worst burst first.
//! A wait drawn evenly between half and all of the doubled step keeps them apart.

use rand::Rng;
use std::time::Duration;

/// Doubling waits with a cap.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    cap: Duration,
    step: Duration,
}

impl Backoff {
    /// Waits that begin near `first` and end near `cap`.
    pub fn new(first: Duration, cap: Duration) -> Self {
        Self {
            first,
            cap,
            step: first,
        }
    }

    /// The next wait.
    pub fn next_wait(&mut self, rng: &mut impl Rng) -> Duration {
        let step = self.step;
        self.step = (step * 2).min(self.cap);
        step.mul_f64(rng.random_range(0.5..=1.0))
    }

    /// Begins again after a success.
    pub fn reset(&mut self) {
        self.step = self.first;
    }
}
