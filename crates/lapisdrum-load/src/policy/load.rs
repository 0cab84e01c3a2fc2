//! Inputs of a request trial: what callers send and how workers handle it.

use lapisdrum::core::{
    catalogue::Class,
    id::{EntryName, InvalidName, OwnerName},
};
use rand::Rng;
use std::time::Duration;

/// Arrival rate of requests.
#[derive(Clone, Copy, Debug)]
pub enum Rate {
    /// A constant rate, in requests per second.
    Steady(f64),
    /// A base rate with a burst at another rate.
    Burst {
        /// Requests per second outside the burst.
        base: f64,
        /// Requests per second during the burst.
        peak: f64,
        /// Start of the burst, from the start of the trial.
        from: Duration,
        /// End of the burst, from the start of the trial.
        to: Duration,
    },
}

impl Rate {
    /// Requests per second at `time` after the start of the trial.
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

/// A log-normal distribution of run times.
#[derive(Clone, Copy, Debug)]
pub struct RunTime {
    /// Median in milliseconds.
    pub median_ms: f64,
    /// Standard deviation of the logarithm; 0.5 puts the 99th percentile at 3.2 times the median.
    pub sigma: f64,
}

impl RunTime {
    /// The mean in seconds.
    pub fn mean_s(&self) -> f64 {
        self.median_ms / 1e3 * (self.sigma * self.sigma / 2.0).exp()
    }

    /// Draws a run time, in microseconds.
    pub fn draw(&self, rng: &mut impl Rng) -> u64 {
        let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        let v: f64 = rng.random_range(0.0..std::f64::consts::TAU);
        let normal = (-2.0 * u.ln()).sqrt() * v.cos();
        (self.median_ms * 1e3 * (self.sigma * normal).exp()).max(1.0) as u64
    }
}

/// What callers do after a refusal.
#[derive(Clone, Copy, Debug)]
pub enum RetryBehaviour {
    /// They do not retry.
    None,
    /// They retry after the time in Retry-After, at most this often.
    RetryAfter(u32),
    /// They retry after this time and ignore Retry-After, at most this often.
    FixedDelay(Duration, u32),
}

/// One kind of request and the callers that send it.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Catalogue entry that is called.
    pub entry: EntryName,
    /// Owner of the entry.
    pub owner: OwnerName,
    /// Class of the entry.
    pub class: Class,
    /// Priority of the entry.
    pub weight: u32,
    /// Largest number of running requests, over all daemons.
    pub concurrency: u32,
    /// Largest number of waiting requests, over all daemons.
    pub queue: u32,
    /// Whether a daemon may retry a request that may have run.
    pub idempotent: bool,
    /// Time from a request's arrival at a daemon to its deadline.
    pub deadline: Duration,
    /// Arrival rate.
    pub rate: Rate,
    /// Number of callers; each has its own flow in the fair queue.
    pub callers: u64,
    /// Run time on a healthy worker.
    pub run: RunTime,
    /// What callers do after a refusal.
    pub retry_behaviour: RetryBehaviour,
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
            retry_behaviour: RetryBehaviour::None,
        }
    }
}

/// Unwraps a name that the trial itself generates and that is always valid.
pub fn valid<T>(name: Result<T, InvalidName>) -> T {
    name.unwrap_or_else(|e| unreachable!("a trial's name is valid: {e}"))
}

/// How a worker handles requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerKind {
    /// Answers after the run time.
    Healthy,
    /// Answers after this multiple of the run time.
    Slow(f64),
    /// Never answers.
    Hanging,
    /// Fails each request after 0.5 ms.
    Failing,
}
