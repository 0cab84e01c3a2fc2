//! Time as the pure modules use it: milliseconds since the process started, passed by the caller.
//!
//! Only [`Clock`] reads the runtime's clock for decisions, so a test that pauses and advances the
//! runtime controls all of them. Millisecond counts of two processes are never compared; the clock
//! of a worker has its own type.

use rustix::time::{ClockId, clock_gettime};
use std::{cell::Cell, ops::Add, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Number of readings at the start, of which the smallest difference of the two clocks is taken: the
/// process may be interrupted between them.
const START_READINGS: usize = 5;

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

/// The runtime's clock, counted from the start of the process, and the time for which the host was
/// suspended, which the runtime's clock does not count. Without it, an owner whose host was suspended
/// would take a lease for valid that another daemon has taken over meanwhile.
#[derive(Clone, Debug)]
pub struct Clock {
    origin: Instant,
    suspended: SuspendedTime,
}

/// Source of the time for which the host was suspended.
#[derive(Clone, Debug)]
enum SuspendedTime {
    /// The difference of two clocks of the system, one of which counts that time.
    System {
        /// The difference at the start of the process.
        before: Duration,
        /// Greatest time found so far.
        greatest: Cell<Duration>,
    },
    /// Set by a test.
    Simulated(Rc<Cell<Duration>>),
}

impl Clock {
    /// Starts a clock at 0 ms.
    pub fn start() -> Self {
        let differences = (0..START_READINGS).map(|_| {
            // The monotonic clock is read first, so that no difference is too small.
            let monotonic = read(ClockId::Monotonic);
            read(ClockId::Boottime).saturating_sub(monotonic)
        });
        Self::with(SuspendedTime::System {
            before: differences.min().unwrap_or_default(),
            greatest: Cell::default(),
        })
    }

    /// Starts a clock at 0 ms that takes the time of suspensions from `suspended`.
    pub fn simulated(suspended: Rc<Cell<Duration>>) -> Self {
        Self::with(SuspendedTime::Simulated(suspended))
    }

    fn with(suspended: SuspendedTime) -> Self {
        let origin = Instant::now();
        Self { origin, suspended }
    }

    /// The time since the clock was started.
    pub fn now(&self) -> Millis {
        Millis(millis(self.origin.elapsed() + self.suspended.total()))
    }
}

impl SuspendedTime {
    /// Time of all suspensions since the start; never more than it was, and never less than before.
    fn total(&self) -> Duration {
        match self {
            Self::Simulated(total) => total.get(),
            Self::System { before, greatest } => {
                // The monotonic clock is read last, so that no difference is too great.
                let boot = read(ClockId::Boottime);
                let difference = boot.saturating_sub(read(ClockId::Monotonic));
                let total = difference.saturating_sub(*before).max(greatest.get());
                greatest.set(total);
                total
            }
        }
    }
}

fn read(id: ClockId) -> Duration {
    // Both clocks count from the boot of the host, so neither is negative.
    clock_gettime(id).try_into().unwrap_or_default()
}
