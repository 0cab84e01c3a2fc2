//! Time as the pure modules see it: milliseconds since a process began, handed in by the caller.
//!
//! Nothing outside [`Clock`] reads the runtime's clock for a decision, so a test that pauses and
//! advances the runtime moves every decision with it. Millisecond counts of two processes are
//! never compared; a worker's clock has a type of its own.

use std::{ops::Add, time::Duration};
use tokio::time::Instant;

scalar! {
    /// A point on a process's own monotonic clock, in milliseconds since the process began.
    #[derive(Default)]
    pub struct Millis(pub u64);

    /// A point on a worker's monotonic clock, in milliseconds. Only the worker can compare it to now.
    #[derive(Default)]
    pub struct WorkerMillis(pub u64);
}

impl Millis {
    /// Time from `earlier` to this point; zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The point `span` before this one; zero when there is none.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(millis(span)))
    }
}

impl Add<Duration> for Millis {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }
}

impl Add<Duration> for WorkerMillis {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }
}

/// A span in whole milliseconds, rounded down.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// The runtime's clock, counted from the process's beginning.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that counts from now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The present point.
    pub fn now(&self) -> Millis {
        Millis(millis(self.origin.elapsed()))
    }
}
