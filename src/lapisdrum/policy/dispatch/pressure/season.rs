//! The period in which serving loads swing.
//!
//! Load pattern: users come in waves, each service in its own, of one length that differs by deployment. A
//! straight line tells such a load a second ahead to a tenth of a host and two seconds ahead not at all: a
//! best-effort task is let in at the foot of a rise that it will not live through. With the period known, level and
//! swing of each service follow within a part of a wave and the rest of it is told to a few hundredths.
//!
//! The period is the one whose waves leave the least unexplained in what some steps have shown lately. Loads that
//! don't swing have none, and are followed by level and slope alone.

use crate::core::time::Millis;
use indexmap::IndexMap;
use std::{collections::VecDeque, f64::consts::TAU, time::Duration};

/// Periods that are looked for, shortest and longest, in seconds.
const PERIODS: (f64, f64) = (5.0, 45.0);
/// Each is longer than the last by this factor: the next one is out of step by a fourteenth after a wave.
const PERIOD_STEP: f64 = 1.04;
/// How far back loads are looked at.
const WINDOW: Duration = Duration::from_secs(45);
/// Least time between two figures of a step that are kept.
const SPACING: Duration = Duration::from_millis(250);
/// Steps that are looked at.
const STEPS: usize = 16;
/// Steps that must have shown enough.
const LEAST_STEPS: usize = 4;
/// Figures that a step must have shown.
const LEAST_FIGURES: usize = 20;
/// A step must have been seen for this part of a period.
const LEAST_SPAN: f64 = 0.6;
/// Waves explain a load if no more than this part of its variance is left.
const MOST_LEFT: f64 = 0.3;
/// Time between two searches.
const SEARCH_EVERY: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, Default)]
struct Figures {
    /// Time in seconds and load.
    all: VecDeque<(f64, f64)>,
}

/// What some steps' loads were lately, by a number of theirs, and the period found in them.
#[derive(Clone, Debug, Default)]
pub struct Season<K> {
    steps: IndexMap<K, Figures>,
    searched_at: Millis,
    found_s: Option<f64>,
    told_s: Option<f64>,
}

impl<K: std::hash::Hash + Eq> Season<K> {
    /// The period in seconds, as found here or else by another owner; none while none was found.
    pub fn period_s(&self) -> Option<f64> {
        self.found_s.or(self.told_s)
    }

    /// Notes a step's load as measured.
    pub fn note(&mut self, step: K, load: f64, now: Millis) {
        if self.steps.len() >= STEPS && !self.steps.contains_key(&step) {
            return;
        }
        let now_s = seconds(now);
        let figures = self.steps.entry(step).or_default();
        let last = figures.all.back().map_or(f64::MIN, |(at, _)| *at);
        if now_s - last < SPACING.as_secs_f64() {
            return;
        }
        figures.all.push_back((now_s, load));
        let first = now_s - WINDOW.as_secs_f64();
        while figures.all.front().is_some_and(|(at, _)| *at < first) {
            figures.all.pop_front();
        }
    }

    /// Takes a period that another owner found, while none was found here.
    pub fn adopt(&mut self, period_s: f64) {
        self.told_s = Some(period_s);
    }

    /// Looks for the period anew, if it is time to; true when it changed.
    pub fn search_if_due(&mut self, now: Millis) -> bool {
        if now.since(self.searched_at) < SEARCH_EVERY {
            return false;
        }
        self.searched_at = now;
        let first = seconds(now) - WINDOW.as_secs_f64();
        let is_fresh = |figures: &Figures| figures.all.back().is_some_and(|(at, _)| *at >= first);
        self.steps.retain(|_, figures| is_fresh(figures));
        let found = self.search();
        let has_changed = found != self.found_s;
        self.found_s = found;
        has_changed
    }

    /// The best period, if a longer one was looked at and is worse: what was seen for a short time only is
    /// explained best by the longest period that it can tell of.
    fn search(&self) -> Option<f64> {
        let mut best: Option<(f64, f64)> = None;
        let mut longest = 0.0;
        let mut period_s = PERIODS.0;
        while period_s <= PERIODS.1 {
            if let Some(left) = self.unexplained(period_s) {
                longest = period_s;
                if best.is_none_or(|(_, least)| left < least) {
                    best = Some((period_s, left));
                }
            }
            period_s *= PERIOD_STEP;
        }
        let (period_s, left) = best?;
        (period_s < longest && left <= MOST_LEFT).then_some(period_s)
    }

    /// The part of the loads' variance that waves of this period leave; none where too little was seen.
    fn unexplained(&self, period_s: f64) -> Option<f64> {
        let enough = |figures: &&Figures| figures.tell_of(period_s);
        let fits = self
            .steps
            .values()
            .filter(enough)
            .filter_map(|f| f.fit(period_s));
        let (mut steps, mut left, mut all) = (0, 0.0, 0.0);
        for (of_step, variance) in fits {
            steps += 1;
            left += of_step;
            all += variance;
        }
        (steps >= LEAST_STEPS && all > 0.0).then(|| left / all)
    }
}

fn seconds(at: Millis) -> f64 {
    at.0 as f64 / 1_000.0
}

impl Figures {
    fn tell_of(&self, period_s: f64) -> bool {
        let ends = self.all.front().zip(self.all.back());
        let span = ends.map_or(0.0, |((first, _), (last, _))| last - first);
        self.all.len() >= LEAST_FIGURES && span >= period_s * LEAST_SPAN
    }

    /// What the best wave of this period leaves of the sum of squares, and that sum, each by its degrees of freedom.
    fn fit(&self, period_s: f64) -> Option<(f64, f64)> {
        let mut square = nalgebra::Matrix3::zeros();
        let mut told = nalgebra::Vector3::zeros();
        let (mut sum, mut squares) = (0.0, 0.0);
        for (at, load) in &self.all {
            let turn = TAU * at / period_s;
            let wave = nalgebra::Vector3::new(1.0, turn.cos(), turn.sin());
            square += wave * wave.transpose();
            told += wave * *load;
            sum += load;
            squares += load * load;
        }
        let count = self.all.len() as f64;
        let best = square.cholesky()?.solve(&told);
        let left = (squares - best.dot(&told)).max(0.0) / (count - 3.0);
        let variance = (squares - sum * sum / count) / (count - 1.0);
        Some((left, variance))
    }
}
