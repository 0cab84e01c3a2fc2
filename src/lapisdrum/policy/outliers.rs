//! Which workers are set aside because they are slow or fail, and how they come back.
//!
//! Load patterns: one worker ten times slower than the rest; one that hangs; one that fails at once,
//! so that it always has the least work outstanding and draws every request to itself. Without it
//! the last one alone can fail most of the traffic.
//!
//! A worker is judged against the median of its peers, never against a fixed time, so a slow entry
//! or a general overload sets nobody aside. It is set aside for a time that doubles with each
//! repetition and then comes back on a growing part of the draws ([`RAMP`]). At most a third of the
//! pool is aside at once ([`MOST_ASIDE`]): where more than that seems slow, the cause is the load or
//! the network and not the workers, and fewer of them would only be worse.

use crate::core::{id::WorkerId, time::Millis};
use indexmap::IndexMap;
use rand::Rng;
use std::time::Duration;

/// One part in so many of the pool may be aside.
pub const MOST_ASIDE: usize = 3;
/// Slowness relative to the median of the pool from which a worker is an outlier.
pub const SLOW: f64 = 3.0;
/// Slowness relative to its entries' usual times below which a worker is compared with nobody: the
/// usual times are themselves averages over the pool.
const SUSPECT: f64 = SLOW / 2.0;
/// Part of failed sends from which a worker is an outlier.
pub const FAILING: f64 = 0.5;
/// Sends that must have ended before a worker is judged: enough that a few slow answers by chance
/// set nobody aside.
pub const LEAST_SEEN: u32 = 5;
/// First time aside.
pub const FIRST_ASIDE: Duration = Duration::from_secs(5);
/// Longest time aside.
pub const LONGEST_ASIDE: Duration = Duration::from_secs(120);
/// Time over which a worker that comes back is drawn more and more often.
pub const RAMP: Duration = Duration::from_secs(10);
/// Part of the draws with which the return begins.
const FIRST_PROBE: f64 = 0.05;
/// Weight of the newest send in a worker's averages.
const NEWEST: f64 = 0.2;

/// How a send to a worker ended, for judging the worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// Answered, in this many times the time that its entry usually takes.
    Answered(f64),
    /// Failed, or not answered in time.
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

/// What is known of each worker's answers, and who is set aside.
#[derive(Debug, Default)]
pub struct Outliers {
    records: IndexMap<WorkerId, Record>,
}

impl Outliers {
    /// Takes how a send ended. Returns whether the worker is set aside by it, in a pool of `pool`.
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

    /// Whether the worker may be drawn at `now`: never while aside, on part of the draws afterwards.
    pub fn may_draw(&self, worker: &WorkerId, now: Millis, rng: &mut impl Rng) -> bool {
        let part = self.part(worker, now);
        part >= 1.0 || (part > 0.0 && rng.random_range(0.0..1.0) < part)
    }

    /// Part of the draws in which a worker takes part, 0 to 1.
    pub fn part(&self, worker: &WorkerId, now: Millis) -> f64 {
        self.records
            .get(worker)
            .map_or(1.0, |record| record.part(now))
    }

    /// Whether a worker is set aside.
    pub fn is_aside(&self, worker: &WorkerId, now: Millis) -> bool {
        self.records
            .get(worker)
            .is_some_and(|record| record.is_aside(now))
    }

    /// Workers that are set aside.
    pub fn aside(&self, now: Millis) -> usize {
        self.records
            .values()
            .filter(|record| record.is_aside(now))
            .count()
    }

    /// How slow a worker is relative to its entries' usual times; 1 when nothing is known.
    pub fn slowness(&self, worker: &WorkerId) -> f64 {
        self.records
            .get(worker)
            .map_or(1.0, |record| record.slowness)
    }

    /// Part of a worker's late sends that failed.
    pub fn failing(&self, worker: &WorkerId) -> f64 {
        self.records
            .get(worker)
            .map_or(0.0, |record| record.failing)
    }

    /// Forgets workers that are gone.
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

    /// Whether it is worth comparing with all the others.
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
