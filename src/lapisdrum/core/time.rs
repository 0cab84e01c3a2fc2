//! Time as the pure modules use it: milliseconds since the process started, passed by the caller.
//!
//! Only [`Clock`] reads the runtime's clock for decisions, so a test that pauses and advances the
//! runtime controls all of them. Millisecond counts of two processes are never compared; the clock
//! of a worker has its own type.

use std::{ops::Add, time::Duration};
use tokio::time::Instant;

scalar! {
    /// A point on this process's monotonic clock, in milliseconds since the process started.
    #[derive(Default)]
    pub struct Millis(pub u64);

    /// A point on a worker's monotonic clock, in milliseconds. Only the worker can compare it with
    /// the present time.
    #[derive(Default)]
    pub struct WorkerMillis(pub u64);
}

impl Millis {
    /// Time from `earlier` to this point; zero when `earlier` is after it.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The point `span` before this one, but not before the start of the process.
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

/// `span` in whole milliseconds, rounded down.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// The runtime's clock, counted from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at 0 ms.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The time since the clock was started.
    pub fn now(&self) -> Millis {
        Millis(millis(self.origin.elapsed()))
    }
}
