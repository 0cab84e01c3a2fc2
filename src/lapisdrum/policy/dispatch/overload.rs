//! Measures for how long the serving tasks of a host have exceeded their latency targets.
//!
//! Load pattern: a tail stays over its target while best-effort tasks start and end on its host. If
//! the time were measured per best-effort task, or only while there is one, it would restart with
//! each, and exceed the deployment's bound undetected. So it runs from the first tail over its
//! target until all are clearly below, whatever runs on the host; a single noisy sample just below
//! a target doesn't end it.

use crate::core::time::Millis;
use std::time::Duration;

/// An overload ends when all tails are at or below this fraction of their targets.
const RECOVERY_THRESHOLD: f64 = 0.94;

/// Overload state of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Overload {
    since: Option<Millis>,
}

impl Overload {
    /// Updates the state with the latest tails of the host's serving tasks, each as a fraction of
    /// its target. Returns the duration of the overload so far; `None` without one.
    pub fn note(&mut self, tails: impl IntoIterator<Item = f64>, now: Millis) -> Option<Duration> {
        let threshold = match self.since {
            Some(_) => RECOVERY_THRESHOLD,
            None => 1.0,
        };
        let is_over = tails.into_iter().any(|tail| tail > threshold);
        self.since = is_over.then(|| self.since.unwrap_or(now));
        self.since.map(|since| now.since(since))
    }
}
