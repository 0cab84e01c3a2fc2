//! What callers send and what workers do with it: the inputs of a trial of the policies.

use lapisdrum::core::{
    catalogue::Class,
    id::{EntryName, InvalidName, OwnerName},
};
use rand::Rng;
use std::time::Duration;

/// How often requests arrive.
#[derive(Clone, Copy, Debug)]
pub enum Rate {
    /// So many a second.
    Steady(f64),
    /// A second rate between two moments.
    Burst {
        /// Requests a second outside.
        base: f64,
        /// Requests a second inside.
        peak: f64,
        /// Beginning.
        from: Duration,
        /// End.
        to: Duration,
    },
}

impl Rate {
    /// Requests a second at a moment.
    pub fn at(&self, time: Duration) -> f64 {
        match *self {
            Self::Steady(rate) => rate,
            Self::Burst {
                base,
                peak,
                from,
                to,
            } => {
                if (from..to).contains(&time) {
                    peak
                } else {
                    base
                }
            }
        }
    }
}

/// Run times with a long tail: log-normal.
#[derive(Clone, Copy, Debug)]
pub struct RunTime {
    /// Half of the runs take less, in milliseconds.
    pub median_ms: f64,
    /// Spread of the logarithm; 0.5 puts the 99th percentile at 3.2 times the median.
    pub sigma: f64,
}

impl RunTime {
    /// The mean in seconds.
    pub fn mean_s(&self) -> f64 {
        self.median_ms / 1e3 * (self.sigma * self.sigma / 2.0).exp()
    }

    /// Draws one, in microseconds.
    pub fn draw(&self, rng: &mut impl Rng) -> u64 {
        let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        let v: f64 = rng.random_range(0.0..std::f64::consts::TAU);
        let normal = (-2.0 * u.ln()).sqrt() * v.cos();
        (self.median_ms * 1e3 * (self.sigma * normal).exp()).max(1.0) as u64
    }
}

/// What callers do when they are refused.
#[derive(Clone, Copy, Debug)]
pub enum Persistence {
    /// They go away.
    None,
    /// They come back after Retry-After, so often at most.
    Obedient(u32),
    /// They come back after this time whatever they were told, so often at most.
    Impatient(Duration, u32),
}

/// One kind of request and its callers.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The entry.
    pub entry: EntryName,
    /// Its owner.
    pub owner: OwnerName,
    /// Its class.
    pub class: Class,
    /// Its priority.
    pub weight: u32,
    /// Requests that may run at once, over all daemons.
    pub concurrency: u32,
    /// Requests that may wait, over all daemons.
    pub queue: u32,
    /// Whether it may be sent again after an unknown end.
    pub idempotent: bool,
    /// Time within which an answer is of use.
    pub deadline: Duration,
    /// Arrivals.
    pub rate: Rate,
    /// Callers that send alike; each is a flow of its own.
    pub callers: u64,
    /// Run time on a sound worker.
    pub run: RunTime,
    /// What refused callers do.
    pub persistence: Persistence,
}

impl Stream {
    /// A latency-critical stream with the limits that a catalogue entry has by default.
    pub fn critical(name: &str, rate: Rate, run: RunTime) -> Self {
        Self {
            entry: valid(EntryName::try_from(name)),
            owner: valid(OwnerName::try_from(name)),
            class: Class::LatencyCritical,
            weight: 100,
            concurrency: 10_000,
            queue: 1_000,
            idempotent: true,
            deadline: Duration::from_secs(1),
            rate,
            callers: 100,
            run,
            persistence: Persistence::None,
        }
    }
}

/// A name that the trial itself gives.
pub fn valid<T>(name: Result<T, InvalidName>) -> T {
    name.unwrap_or_else(|e| unreachable!("a trial's name is valid: {e}"))
}

/// What a worker does with what it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerKind {
    /// Runs it.
    Sound,
    /// Takes so many times as long.
    Slow(f64),
    /// Never answers.
    Hanging,
    /// Fails at once.
    Failing,
}
