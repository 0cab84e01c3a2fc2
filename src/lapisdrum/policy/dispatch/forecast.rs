//! How long a queue's jobs really take, against the work that is estimated on their longest chain.
//!
//! Load pattern: batch graphs of wide steps at more than the hosts can do. A step is over when the slowest
//! of its tasks is, best-effort tasks run slower than alone, and some move; so even on a calm day a job may take
//! almost twice the estimate of its chain from first start to end. A scheduler that goes by the estimate begins
//! jobs after a burst that can't be on time any more. Each queue's factor follows what its jobs took lately, so
//! that it also tells of hosts that have become slow or crowded.

use indexmap::IndexMap;

/// The factor of a queue of which no job has ended.
const FIRST_FACTOR: f64 = 1.5;
/// Part by which one job moves its queue's factor: some twenty jobs, a second or two of traffic.
const STEP: f64 = 0.05;
/// A single job's factor counts within these bounds: one that stood still for a minute tells of that minute.
const BOUNDS: (f64, f64) = (1.0, 3.0);

/// What was learned of each queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Forecast {
    factors: IndexMap<String, f64>,
}

impl Forecast {
    /// Notes that a job took so long from its first start to its end; both in milliseconds.
    pub fn note(&mut self, queue: &str, chain_ms: u64, took_ms: u64) {
        if chain_ms == 0 {
            return;
        }
        let seen = (took_ms as f64 / chain_ms as f64).clamp(BOUNDS.0, BOUNDS.1);
        let factor = self.factors.entry(queue.to_owned()).or_insert(FIRST_FACTOR);
        *factor += (seen - *factor) * STEP;
    }

    /// How long a chain of a queue's jobs is expected to take, in milliseconds.
    pub fn expected_ms(&self, queue: &str, chain_ms: u64) -> u64 {
        let factor = self.factors.get(queue).copied().unwrap_or(FIRST_FACTOR);
        (chain_ms as f64 * factor) as u64
    }
}
