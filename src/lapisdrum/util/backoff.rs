//! Exponential backoff with jitter.
//!
//! When the platform becomes unavailable, many daemons lose it at the same time. Without jitter they
//! would also retry at the same time, and the platform's table would get its largest burst just after
//! its recovery. Each wait is drawn uniformly from between half of the step and the full step.

use rand::Rng;
use std::time::Duration;

/// Produces waits whose step doubles up to a cap.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    cap: Duration,
    step: Duration,
}

impl Backoff {
    /// Starts with a step of `first` and doubles it up to `cap`.
    pub fn new(first: Duration, cap: Duration) -> Self {
        Self {
            first,
            cap,
            step: first,
        }
    }

    /// Returns the time to wait before the next attempt, and doubles the step.
    pub fn next_wait(&mut self, rng: &mut impl Rng) -> Duration {
        let step = self.step;
        self.step = (step * 2).min(self.cap);
        step.mul_f64(rng.random_range(0.5..=1.0))
    }

    /// Sets the step back to the first one, after a success.
    pub fn reset(&mut self) {
        self.step = self.first;
    }
}
