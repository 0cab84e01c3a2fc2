//! Estimates the duration of a queue's jobs from the estimated work on their critical path.
//!
//! Load pattern: batch graphs of wide steps that together exceed the hosts' capacity. A step ends
//! with its slowest task, best-effort tasks run slower than alone, and some are moved; so even
//! under low load a job may take almost twice the estimate of its critical path. After a burst, a
//! scheduler that relies on the estimate starts jobs that can no longer meet their deadlines. Each
//! queue's factor tracks the recent durations of its jobs, and so also reflects slow or crowded
//! hosts.

use indexmap::IndexMap;

/// Factor of a queue before its first job has ended.
const INITIAL_FACTOR: f64 = 1.5;
/// Smoothing factor per job: a queue's factor follows its last twenty or so jobs, a second or two
/// of traffic.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Bounds of a single job's factor, so that a job that was stalled for a minute does not distort
/// the estimate.
const FACTOR_BOUNDS: (f64, f64) = (1.0, 3.0);

/// Ratio of the measured duration of jobs to the estimate of their critical path, by queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DurationEstimates {
    factors: IndexMap<String, f64>,
}

impl DurationEstimates {
    /// Updates a queue's factor from a completed job. `chain_ms` is the estimated duration of its
    /// critical path, `took_ms` the time from its first start to its end.
    pub fn note(&mut self, queue: &str, chain_ms: u64, took_ms: u64) {
        if chain_ms == 0 {
            return;
        }
        let measured = (took_ms as f64 / chain_ms as f64).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        let factor = self
            .factors
            .entry(queue.to_owned())
            .or_insert(INITIAL_FACTOR);
        *factor += (measured - *factor) * SMOOTHING_FACTOR;
    }

    /// Returns the expected duration of a chain of a job's steps: `chain_ms`, the estimate of its
    /// run times, times the factor of the job's queue.
    pub fn expected_ms(&self, queue: &str, chain_ms: u64) -> u64 {
        let factor = self.factors.get(queue).copied().unwrap_or(INITIAL_FACTOR);
        (chain_ms as f64 * factor) as u64
    }
}
