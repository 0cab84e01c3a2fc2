//! Time as the pure modules use it: milliseconds since the process started, passed by the caller.
//!
//! Only [`Clock`] reads the runtime's clock for decisions, so a test that pauses and advances the
//! runtime controls all of them. Millisecond counts of two processes are never compared; the clock
//! of a worker has its own type.

use std::{
    cell::Cell,
    ops::Add,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
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

/// A point in time by two clocks of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timestamp {
    /// By the runtime's clock.
    pub at: Millis,
    /// By the time of day, in Unix milliseconds.
    pub unix_ms: u64,
}

/// The runtime's clock, counted from the start of the process, and the time of day.
#[derive(Clone, Debug)]
pub struct Clock {
    origin: Instant,
    /// Added to the system's time of day by tests.
    time_of_day_offset: Rc<Cell<Duration>>,
}

impl Clock {
    /// Starts a clock at 0 ms.
    pub fn start() -> Self {
        Self::with_time_of_day_offset(Rc::default())
    }

    /// Starts a clock at 0 ms whose time of day is ahead of the system's by `offset`, which may
    /// change.
    pub fn with_time_of_day_offset(offset: Rc<Cell<Duration>>) -> Self {
        Self {
            origin: Instant::now(),
            time_of_day_offset: offset,
        }
    }

    /// The time since the clock was started.
    pub fn now(&self) -> Millis {
        Millis(millis(self.origin.elapsed()))
    }

    /// The present time by both clocks.
    pub fn timestamp(&self) -> Timestamp {
        Timestamp {
            at: self.now(),
            unix_ms: self.unix_ms(),
        }
    }

    /// Upper bound of the time since `earlier`, by the clock on which more has passed. The runtime's
    /// clock does not count the time for which the host was suspended, the time of day does. The
    /// bound is too great after a jump of the time of day.
    pub fn at_most_since(&self, earlier: Timestamp) -> Duration {
        let by_time_of_day = self.unix_ms().saturating_sub(earlier.unix_ms);
        let by_runtime = self.now().since(earlier.at);
        by_runtime.max(Duration::from_millis(by_time_of_day))
    }

    /// The time of day, in Unix milliseconds. It may jump either way.
    pub fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        millis(since.unwrap_or_default() + self.time_of_day_offset.get())
    }
}
