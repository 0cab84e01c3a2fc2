//! Detects the period of serving loads.
//!
//! Load pattern: the load of each service oscillates with a phase of its own and a period that the
//! services of a deployment share. Linear extrapolation forecasts such a load one second ahead with
//! an error of a tenth of a host, and fails at two seconds: best-effort tasks are admitted at the
//! start of a rise and stopped during it. With a known period, mean and amplitude of each service
//! are estimated within a fraction of a period, and the rest of it is forecast with an error of a
//! few hundredths.
//!
//! The period is the one whose sinusoids leave the least residual variance in the recent loads of
//! some steps. Loads that don't oscillate have none, and are tracked by level and slope alone.

use crate::core::time::Millis;
use indexmap::IndexMap;
use std::{collections::VecDeque, f64::consts::TAU, time::Duration};

/// Shortest and longest period that is searched for, in seconds.
const PERIOD_RANGE_S: (f64, f64) = (5.0, 45.0);
/// Each is longer than the last by this factor: the next one is out of step by a fourteenth after a
/// wave.
const PERIOD_RATIO: f64 = 1.04;
/// Age up to which samples are kept.
const WINDOW: Duration = Duration::from_secs(45);
/// Minimum time between two samples of a step.
const SAMPLE_SPACING: Duration = Duration::from_millis(250);
/// Maximum number of steps that are sampled.
const MAX_STEPS: usize = 16;
/// Minimum number of steps with enough samples.
const MIN_STEPS: usize = 4;
/// Minimum number of samples of a step.
const MIN_SAMPLES: usize = 20;
/// Minimum time that the samples of a step cover, as a fraction of the tested period.
const MIN_SPAN_PERIODS: f64 = 0.6;
/// Maximum residual variance of an accepted period, as a fraction of the loads' variance.
const MAX_RESIDUAL: f64 = 0.3;
/// Minimum time between two searches.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, Default)]
struct Samples {
    /// Time in seconds and load, oldest first.
    all: VecDeque<(f64, f64)>,
}

/// Recent load samples of some steps, and the period found in them.
#[derive(Clone, Debug, Default)]
pub struct Seasonality<K> {
    steps: IndexMap<K, Samples>,
    searched_at: Millis,
    found_s: Option<f64>,
    received_s: Option<f64>,
}

impl<K: std::hash::Hash + Eq> Seasonality<K> {
    /// Returns the period in seconds as found by this owner, else as received from another one, if
    /// any.
    pub fn period_s(&self) -> Option<f64> {
        self.found_s.or(self.received_s)
    }

    /// Adds a load sample of a step, unless it is too soon after the last one or too many steps are
    /// sampled.
    pub fn note(&mut self, step: K, load: f64, now: Millis) {
        if self.steps.len() >= MAX_STEPS && !self.steps.contains_key(&step) {
            return;
        }
        let now_s = seconds(now);
        let samples = self.steps.entry(step).or_default();
        let last = samples.all.back().map_or(f64::MIN, |(at, _)| *at);
        if now_s - last < SAMPLE_SPACING.as_secs_f64() {
            return;
        }
        samples.all.push_back((now_s, load));
        let first = now_s - WINDOW.as_secs_f64();
        while samples.all.front().is_some_and(|(at, _)| *at < first) {
            samples.all.pop_front();
        }
    }

    /// Sets the period that another owner found; it applies while this owner has found none.
    pub fn adopt(&mut self, period_s: f64) {
        self.received_s = Some(period_s);
    }

    /// Searches for the period if that is due. Returns whether the period found by this owner
    /// changed.
    pub fn search_if_due(&mut self, now: Millis) -> bool {
        if now.since(self.searched_at) < SEARCH_INTERVAL {
            return false;
        }
        self.searched_at = now;
        let first = seconds(now) - WINDOW.as_secs_f64();
        let is_fresh = |samples: &Samples| samples.all.back().is_some_and(|(at, _)| *at >= first);
        self.steps.retain(|_, samples| is_fresh(samples));
        let found = self.search();
        let has_changed = found != self.found_s;
        self.found_s = found;
        has_changed
    }

    /// Returns the best period if a longer one was tested and fits worse: a short history fits best
    /// to the longest period that it covers.
    fn search(&self) -> Option<f64> {
        let mut best: Option<(f64, f64)> = None;
        let mut longest = 0.0;
        let mut period_s = PERIOD_RANGE_S.0;
        while period_s <= PERIOD_RANGE_S.1 {
            if let Some(residual) = self.residual_fraction(period_s) {
                longest = period_s;
                if best.is_none_or(|(_, least)| residual < least) {
                    best = Some((period_s, residual));
                }
            }
            period_s *= PERIOD_RATIO;
        }
        let (period_s, residual) = best?;
        (period_s < longest && residual <= MAX_RESIDUAL).then_some(period_s)
    }

    /// Returns the residual variance for this period as a fraction of the loads' variance; `None`
    /// with too few samples.
    fn residual_fraction(&self, period_s: f64) -> Option<f64> {
        let has_enough = |samples: &&Samples| samples.covers(period_s);
        let variances = self
            .steps
            .values()
            .filter(has_enough)
            .filter_map(|f| f.fit(period_s));
        let (mut steps, mut residual, mut total) = (0, 0.0, 0.0);
        for (step_residual, variance) in variances {
            steps += 1;
            residual += step_residual;
            total += variance;
        }
        (steps >= MIN_STEPS && total > 0.0).then(|| residual / total)
    }
}

fn seconds(at: Millis) -> f64 {
    at.0 as f64 / 1_000.0
}

impl Samples {
    fn covers(&self, period_s: f64) -> bool {
        let ends = self.all.front().zip(self.all.back());
        let span = ends.map_or(0.0, |((first, _), (last, _))| last - first);
        self.all.len() >= MIN_SAMPLES && span >= period_s * MIN_SPAN_PERIODS
    }

    /// Fits a sinusoid of this period. Returns the residual variance and the variance of the load.
    fn fit(&self, period_s: f64) -> Option<(f64, f64)> {
        let mut normal_matrix = nalgebra::Matrix3::zeros();
        let mut weighted_sum = nalgebra::Vector3::zeros();
        let (mut sum, mut squares) = (0.0, 0.0);
        for (at, load) in &self.all {
            let angle = TAU * at / period_s;
            let basis = nalgebra::Vector3::new(1.0, angle.cos(), angle.sin());
            normal_matrix += basis * basis.transpose();
            weighted_sum += basis * *load;
            sum += load;
            squares += load * load;
        }
        let count = self.all.len() as f64;
        let best = normal_matrix.cholesky()?.solve(&weighted_sum);
        let residual = (squares - best.dot(&weighted_sum)).max(0.0) / (count - 3.0);
        let variance = (squares - sum * sum / count) / (count - 1.0);
        Some((residual, variance))
    }
}
