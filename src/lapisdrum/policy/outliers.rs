//! Outlier ejection: workers that are slow or fail get no requests for a time.
//!
//! Load patterns: one worker ten times slower than the rest; one that hangs; one that fails at
//! once, so that it always has the fewest requests outstanding and attracts all new ones. Without
//! ejection the last one alone can fail most of the traffic.
//!
//! A worker is compared with the median of its peers, never with a fixed time, so a slow entry or a
//! general overload ejects no worker. The ejection time doubles with each repetition; afterwards
//! the worker takes part in a growing share of the draws ([`RAMP_UP`]). At most a third of the pool
//! is ejected at once ([`MAX_EJECTED_DIVISOR`]): if more than that seem slow, the cause is the load
//! or the network, and fewer workers would only make it worse.

use crate::core::{id::WorkerId, time::Millis};
use indexmap::IndexMap;
use rand::Rng;
use std::time::Duration;

/// At most the pool's size divided by this is ejected at once.
pub const MAX_EJECTED_DIVISOR: usize = 3;
/// Ratio to the median slowness of its peers above which a worker is an outlier.
pub const SLOWNESS_LIMIT: f64 = 3.0;
/// Slowness up to which a worker is not compared with its peers. Slowness is relative to the usual
/// durations of entries, which are themselves averages over the pool.
const SUSPECT_SLOWNESS: f64 = SLOWNESS_LIMIT / 2.0;
/// Failure rate, 0 to 1, above which a worker is an outlier unless its peers fail too.
pub const FAILURE_RATE_LIMIT: f64 = 0.5;
/// Samples that are needed before a worker can be ejected, so that a few answers that are slow by
/// chance don't eject it.
pub const MIN_SAMPLES: u32 = 5;
/// Duration of a worker's first ejection.
pub const INITIAL_EJECTION: Duration = Duration::from_secs(5);
/// Longest duration of an ejection.
pub const MAX_EJECTION: Duration = Duration::from_secs(120);
/// Time after an ejection over which a worker's share of the draws rises to 1.
pub const RAMP_UP: Duration = Duration::from_secs(10);
/// Share of the draws directly after an ejection.
const INITIAL_DRAW_SHARE: f64 = 0.05;
/// Weight of the newest sample in a worker's moving averages.
const SMOOTHING: f64 = 0.2;

/// Outcome of a request to a worker, as outlier detection counts it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// Answered; the duration in multiples of the entry's usual one.
    Answered(f64),
    /// Not reached, answered with a server error, or not answered in time.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct WorkerStats {
    slowness: f64,
    failure_rate: f64,
    samples: u32,
    ejections: u32,
    ejected_until: Option<Millis>,
}

impl Default for WorkerStats {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            failure_rate: 0.0,
            samples: 0,
            ejections: 0,
            ejected_until: None,
        }
    }
}

/// Moving averages of each worker's outcomes, and the ejected workers.
#[derive(Debug, Default)]
pub struct Outliers {
    workers: IndexMap<WorkerId, WorkerStats>,
}

impl Outliers {
    /// Records an outcome, in a pool of `pool` workers. Returns whether the worker is ejected for
    /// it.
    pub fn note(&mut self, worker: &WorkerId, sample: Sample, pool: usize, now: Millis) -> bool {
        let stats = self.workers.entry(worker.clone()).or_default();
        stats.note(sample);
        if stats.is_ejected(now) || stats.samples < MIN_SAMPLES {
            return false;
        }
        let stats = *stats;
        if !stats.is_suspect() || !self.is_outlier(worker, &stats) {
            return false;
        }
        if (self.ejected_count(now) + 1) * MAX_EJECTED_DIVISOR > pool {
            return false;
        }
        self.eject(worker, now);
        true
    }

    /// Whether the worker takes part in a draw at `now`, at random by its share of the draws.
    pub fn may_draw(&self, worker: &WorkerId, now: Millis, rng: &mut impl Rng) -> bool {
        let draw_share = self.draw_share(worker, now);
        draw_share >= 1.0 || (draw_share > 0.0 && rng.random_range(0.0..1.0) < draw_share)
    }

    /// Share of the draws in which a worker takes part: 0 while ejected, then rising to 1.
    pub fn draw_share(&self, worker: &WorkerId, now: Millis) -> f64 {
        self.workers
            .get(worker)
            .map_or(1.0, |stats| stats.draw_share(now))
    }

    /// Whether a worker is ejected at `now`.
    pub fn is_ejected(&self, worker: &WorkerId, now: Millis) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|stats| stats.is_ejected(now))
    }

    /// Number of workers that are ejected at `now`.
    pub fn ejected_count(&self, now: Millis) -> usize {
        self.workers
            .values()
            .filter(|stats| stats.is_ejected(now))
            .count()
    }

    /// Moving average of a worker's durations, in multiples of its entries' usual ones; 1 without
    /// samples.
    pub fn slowness(&self, worker: &WorkerId) -> f64 {
        self.workers.get(worker).map_or(1.0, |stats| stats.slowness)
    }

    /// Moving average of a worker's failures, 0 to 1.
    pub fn failure_rate(&self, worker: &WorkerId) -> f64 {
        self.workers
            .get(worker)
            .map_or(0.0, |stats| stats.failure_rate)
    }

    /// Removes the records of all workers but those for which `is_known` holds.
    pub fn retain(&mut self, is_known: impl Fn(&WorkerId) -> bool) {
        self.workers.retain(|worker, _| is_known(worker));
    }

    fn is_outlier(&self, worker: &WorkerId, stats: &WorkerStats) -> bool {
        let others = self
            .workers
            .iter()
            .filter(|(other, r)| *other != worker && r.samples > 0);
        let mut slowness: Vec<f64> = others.clone().map(|(_, r)| r.slowness).collect();
        let mut failure_rate: Vec<f64> = others.map(|(_, r)| r.failure_rate).collect();
        let (Some(median_slowness), Some(median_failure_rate)) =
            (median(&mut slowness), median(&mut failure_rate))
        else {
            return false;
        };
        stats.slowness > SLOWNESS_LIMIT * median_slowness
            || stats.failure_rate > FAILURE_RATE_LIMIT.max(2.0 * median_failure_rate)
    }

    fn eject(&mut self, worker: &WorkerId, now: Millis) {
        if let Some(stats) = self.workers.get_mut(worker) {
            let duration = INITIAL_EJECTION * 2_u32.saturating_pow(stats.ejections.min(8));
            *stats = WorkerStats {
                ejections: stats.ejections + 1,
                ejected_until: Some(now + duration.min(MAX_EJECTION)),
                ..WorkerStats::default()
            };
        }
    }
}

impl WorkerStats {
    fn note(&mut self, sample: Sample) {
        let (slowness, failed) = match sample {
            Sample::Answered(slowness) => (Some(slowness), 0.0),
            Sample::Failed => (None, 1.0),
        };
        if let Some(slowness) = slowness {
            self.slowness += SMOOTHING * (slowness - self.slowness);
        }
        self.failure_rate += SMOOTHING * (failed - self.failure_rate);
        self.samples = self.samples.saturating_add(1);
    }

    /// Whether the worker is to be compared with its peers.
    fn is_suspect(&self) -> bool {
        self.slowness > SUSPECT_SLOWNESS || self.failure_rate > FAILURE_RATE_LIMIT
    }

    fn is_ejected(&self, now: Millis) -> bool {
        self.ejected_until.is_some_and(|end| now < end)
    }

    fn draw_share(&self, now: Millis) -> f64 {
        let Some(end) = self.ejected_until else {
            return 1.0;
        };
        if now < end {
            return 0.0;
        }
        let ramped_up = now.since(end).as_secs_f64() / RAMP_UP.as_secs_f64();
        (INITIAL_DRAW_SHARE + ramped_up).min(1.0)
    }
}

fn median(values: &mut [f64]) -> Option<f64> {
    let middle = values.len() / 2;
    if values.is_empty() {
        return None;
    }
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
