//! Outlier ejection: workers that are slow or fail get no requests for a time.
//!
//! Load patterns: one worker ten times slower than the rest; one that hangs; one that fails at once,
//! so that it always has the fewest requests outstanding and attracts all new ones. Without ejection
//! the last one alone can fail most of the traffic.
//!
//! A worker is compared with the median of its peers, never with a fixed time, so a slow entry or a
//! general overload ejects no worker. The ejection time doubles with each repetition; afterwards the
//! worker takes part in a growing share of the draws ([`RAMP`]). At most a third of the pool is ejected
//! at once ([`MOST_ASIDE`]): if more than that seem slow, the cause is the load or the network, and
//! fewer workers would only make it worse.

use crate::core::{id::WorkerId, time::Millis};
use indexmap::IndexMap;
use rand::Rng;
use std::time::Duration;

/// At most the pool's size divided by this is ejected at once.
pub const MOST_ASIDE: usize = 3;
/// Ratio to the median slowness of its peers above which a worker is an outlier.
pub const SLOW: f64 = 3.0;
/// Slowness up to which a worker is not compared with its peers. Slowness is relative to the usual
/// durations of entries, which are themselves averages over the pool.
const SUSPECT: f64 = SLOW / 2.0;
/// Failure rate, 0 to 1, above which a worker is an outlier unless its peers fail too.
pub const FAILING: f64 = 0.5;
/// Samples that are needed before a worker can be ejected, so that a few answers that are slow by
/// chance don't eject it.
pub const LEAST_SEEN: u32 = 5;
/// Duration of a worker's first ejection.
pub const FIRST_ASIDE: Duration = Duration::from_secs(5);
/// Longest duration of an ejection.
pub const LONGEST_ASIDE: Duration = Duration::from_secs(120);
/// Time after an ejection over which a worker's share of the draws rises to 1.
pub const RAMP: Duration = Duration::from_secs(10);
/// Share of the draws directly after an ejection.
const FIRST_PROBE: f64 = 0.05;
/// Weight of the newest sample in a worker's moving averages.
const NEWEST: f64 = 0.2;

/// Outcome of a request to a worker, as outlier detection counts it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// Answered; the duration in multiples of the entry's usual one.
    Answered(f64),
    /// Not reached, answered with a server error, or not answered in time.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    slowness: f64,
    failing: f64,
    seen: u32,
    aside: u32,
    back_at: Option<Millis>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            failing: 0.0,
            seen: 0,
            aside: 0,
            back_at: None,
        }
    }
}

/// Moving averages of each worker's outcomes, and the ejected workers.
#[derive(Debug, Default)]
pub struct Outliers {
    records: IndexMap<WorkerId, Record>,
}

impl Outliers {
    /// Records an outcome, in a pool of `pool` workers. Returns whether the worker is ejected for it.
    pub fn note(&mut self, worker: &WorkerId, sample: Sample, pool: usize, now: Millis) -> bool {
        let record = self.records.entry(worker.clone()).or_default();
        record.note(sample);
        if record.is_aside(now) || record.seen < LEAST_SEEN {
            return false;
        }
        let record = *record;
        if !record.is_suspect() || !self.is_outlier(worker, &record) {
            return false;
        }
        if (self.aside(now) + 1) * MOST_ASIDE > pool {
            return false;
        }
        self.set_aside(worker, now);
        true
    }

    /// Whether the worker takes part in a draw at `now`, at random by its share of the draws.
    pub fn may_draw(&self, worker: &WorkerId, now: Millis, rng: &mut impl Rng) -> bool {
        let part = self.part(worker, now);
        part >= 1.0 || (part > 0.0 && rng.random_range(0.0..1.0) < part)
    }

    /// Share of the draws in which a worker takes part: 0 while ejected, then rising to 1.
    pub fn part(&self, worker: &WorkerId, now: Millis) -> f64 {
        self.records
            .get(worker)
            .map_or(1.0, |record| record.part(now))
    }

    /// Whether a worker is ejected at `now`.
    pub fn is_aside(&self, worker: &WorkerId, now: Millis) -> bool {
        self.records
            .get(worker)
            .is_some_and(|record| record.is_aside(now))
    }

    /// Number of workers that are ejected at `now`.
    pub fn aside(&self, now: Millis) -> usize {
        self.records
            .values()
            .filter(|record| record.is_aside(now))
            .count()
    }

    /// Moving average of a worker's durations, in multiples of its entries' usual ones; 1 without
    /// samples.
    pub fn slowness(&self, worker: &WorkerId) -> f64 {
        self.records
            .get(worker)
            .map_or(1.0, |record| record.slowness)
    }

    /// Moving average of a worker's failures, 0 to 1.
    pub fn failing(&self, worker: &WorkerId) -> f64 {
        self.records
            .get(worker)
            .map_or(0.0, |record| record.failing)
    }

    /// Removes the records of all workers but those for which `is_there` holds.
    pub fn retain(&mut self, is_there: impl Fn(&WorkerId) -> bool) {
        self.records.retain(|worker, _| is_there(worker));
    }

    fn is_outlier(&self, worker: &WorkerId, record: &Record) -> bool {
        let others = self
            .records
            .iter()
            .filter(|(other, r)| *other != worker && r.seen > 0);
        let mut slowness: Vec<f64> = others.clone().map(|(_, r)| r.slowness).collect();
        let mut failing: Vec<f64> = others.map(|(_, r)| r.failing).collect();
        let (Some(usual), Some(usual_failing)) = (median(&mut slowness), median(&mut failing))
        else {
            return false;
        };
        record.slowness > SLOW * usual || record.failing > FAILING.max(2.0 * usual_failing)
    }

    fn set_aside(&mut self, worker: &WorkerId, now: Millis) {
        if let Some(record) = self.records.get_mut(worker) {
            let time = FIRST_ASIDE * 2_u32.saturating_pow(record.aside.min(8));
            *record = Record {
                aside: record.aside + 1,
                back_at: Some(now + time.min(LONGEST_ASIDE)),
                ..Record::default()
            };
        }
    }
}

impl Record {
    fn note(&mut self, sample: Sample) {
        let (slowness, failed) = match sample {
            Sample::Answered(slowness) => (Some(slowness), 0.0),
            Sample::Failed => (None, 1.0),
        };
        if let Some(slowness) = slowness {
            self.slowness += NEWEST * (slowness - self.slowness);
        }
        self.failing += NEWEST * (failed - self.failing);
        self.seen = self.seen.saturating_add(1);
    }

    /// Whether the worker is to be compared with its peers.
    fn is_suspect(&self) -> bool {
        self.slowness > SUSPECT || self.failing > FAILING
    }

    fn is_aside(&self, now: Millis) -> bool {
        self.back_at.is_some_and(|back| now < back)
    }

    fn part(&self, now: Millis) -> f64 {
        let Some(back) = self.back_at else {
            return 1.0;
        };
        if now < back {
            return 0.0;
        }
        let risen = now.since(back).as_secs_f64() / RAMP.as_secs_f64();
        (FIRST_PROBE + risen).min(1.0)
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
