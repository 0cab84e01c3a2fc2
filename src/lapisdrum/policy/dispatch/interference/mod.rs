//! Estimates the interference of best-effort tasks with serving tasks on the same host, from
//! delayed and noisy latency tails.
//!
//! Load pattern: serving tasks reserve most processors of a host and use half of them; batch work
//! may use the rest. Some pairs of images interfere and most do not; serving load changes by half
//! within seven seconds. Without a model, batch work either leaves four fifths of the free capacity
//! unused or drives tails to ten times their target.
//!
//! A tail follows the queueing formula `base_ms / (1 - utilisation)`. Utilisation is the sum of the
//! serving task's own load ([`load`]) and, for each aggressor, its share of the host's processors
//! times a factor of the two images. A measurement corrects each unknown in proportion to its
//! variance (a Kalman filter that treats the unknowns as independent). Measurements of a pair are
//! kept as [`evidence`], to which those of other owners are added; the prior of a pair with little
//! evidence is derived from other pairs ([`profile`]).

pub mod estimates;
pub mod evidence;
pub mod load;
pub mod profile;
pub mod seasonality;

use super::utilisation::{self, Series};
use crate::core::time::Millis;
use estimates::InterferenceEstimates;
use evidence::Evidence;
use indexmap::{IndexMap, IndexSet};
pub use load::ServingLoad;
use profile::{Cell, Profiles};
use seasonality::Seasonality;
use std::time::Duration;

/// Minimum time between two fits of the profiles.
const REFIT_INTERVAL: Duration = Duration::from_millis(500);
/// Time constant of the exponential decay of evidence: interference changes over time.
const EVIDENCE_DECAY_TIME: Duration = Duration::from_secs(40);
/// Minimum precision at which the evidence of a pair is used to fit the profiles.
const MIN_PRECISION: f64 = 0.05;
/// Default prior of a pair; replaced by the prediction of the profiles when the pair is added.
const DEFAULT_PRIOR: Estimate = Estimate {
    mean: 0.5,
    variance: 0.3,
};
/// Variance of the utilisation inferred from one tail: tails of tasks without aggressors scatter
/// too.
const NOISE_VARIANCE: f64 = 0.003;
/// Variance that all tasks of a step on one host share, in addition to [`NOISE_VARIANCE`].
const SHARED_NOISE_VARIANCE: f64 = 0.001;
/// Standard deviation of interference relative to its mean: interference changes within seconds. It
/// reduces the weight of tasks under strong interference in the load estimate, which would count
/// part of the interference as load.
const INTERFERENCE_DEVIATION: f64 = 0.7;
/// Initial estimate of the tail without utilisation, as a fraction of its target.
const INITIAL_BASE_FRACTION: f64 = 0.2;
/// Utilisation assumed for the idle tail: no task is ever completely idle.
const IDLE_UTILISATION: f64 = 0.22;
/// The idle tail is estimated as this quantile of an image's tails. Their minimum is an outlier,
/// and would make all load estimates too high.
const IDLE_QUANTILE: f64 = 0.04;
/// Relative step by which one tail moves the quantile estimate: it converges within about 200
/// tails.
const IDLE_STEP: f64 = 0.02;
/// Utilisation from which a task counts as saturated: its tail no longer shows how far it is
/// overloaded.
const SATURATED: f64 = 0.95;
/// Maximum interference at which a task's load is accurate enough for period detection.
const MAX_INTERFERENCE_FOR_PERIOD: f64 = 0.08;

/// An interference estimate for an aggressor that uses the whole host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Expected utilisation added.
    pub mean: f64,
    /// Variance of `mean`.
    pub variance: f64,
}

scalar! {
    /// Index of an image in the [`InterferenceModel`] that issued it.
    pub struct Image(pub u32);
}

impl Image {
    fn index(self) -> usize {
        self.0 as usize
    }
}

/// A best-effort task that interferes with serving tasks on its host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Aggressor {
    /// The image that it runs.
    pub image: Image,
    /// Processors that it uses, as a fraction of the host's.
    pub share: f64,
}

/// Identifies a step: its job, the occurrence of the job and the index of the step in it.
pub type StepKey = (u64, u32, u16);

/// A serving task that aggressors interfere with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Victim {
    /// The image that it runs.
    pub image: Image,
    /// Its step; all tasks of a step share their load.
    pub step: StepKey,
    /// Target of its latency tail, in milliseconds.
    pub target_ms: f64,
    /// Load estimate of its step.
    pub load: ServingLoad,
}

/// Evidence and prior of a victim image and an aggressor image.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Pair {
    own: Evidence,
    others: Evidence,
    prior: Estimate,
    measured_at: Millis,
}

impl Default for Pair {
    fn default() -> Self {
        Self {
            own: Evidence::default(),
            others: Evidence::default(),
            prior: DEFAULT_PRIOR,
            measured_at: Millis::default(),
        }
    }
}

impl Pair {
    fn estimate(&self) -> Estimate {
        self.own.plus(&self.others).posterior(&self.prior)
    }
}

/// Identifies another owner whose evidence was received.
pub type Origin = u32;

/// The interference model: estimates for images and for pairs of them.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    images: IndexSet<String>,
    /// Indexed by victim, then by aggressor.
    pairs: Vec<Vec<Pair>>,
    /// Last evidence received from each other owner, by pair.
    received: IndexMap<(Origin, Image, Image), Evidence>,
    profiles: Profiles,
    seasonality: Seasonality<StepKey>,
    refitted_at: Option<Millis>,
    /// Latency tail of each image at [`IDLE_UTILISATION`], in milliseconds.
    idle_tails_ms: Vec<Option<f64>>,
}

impl InterferenceModel {
    /// Restores the model that a previous owner stored. Its evidence counts half, as some time has
    /// passed.
    pub fn resumed(estimates: &InterferenceEstimates) -> Self {
        let mut resumed = Self::default();
        for (victim, aggressor, mut evidence) in estimates.pairs_in(&mut resumed) {
            evidence.scale(0.5);
            resumed.pair_mut(victim, aggressor).own = evidence;
        }
        resumed.adopt_period_and_tails(estimates);
        resumed
    }

    /// Adds the evidence that another owner measured, replacing its earlier evidence of the same
    /// pairs.
    pub fn adopt(&mut self, origin: Origin, estimates: &InterferenceEstimates) {
        for (victim, aggressor, evidence) in estimates.pairs_in(self) {
            let before = self.received.insert((origin, victim, aggressor), evidence);
            let before = before.unwrap_or_default();
            let pair = self.pair_mut(victim, aggressor);
            pair.others.precision += evidence.precision - before.precision;
            pair.others.weighted_sum += evidence.weighted_sum - before.weighted_sum;
        }
        self.adopt_period_and_tails(estimates);
    }

    /// Adopts the period and the idle tails; a period found by this owner and idle tails that it
    /// has take precedence.
    fn adopt_period_and_tails(&mut self, estimates: &InterferenceEstimates) {
        if let Some(period_s) = estimates.period_s() {
            self.seasonality.adopt(period_s);
        }
        for (image, tail_ms) in estimates.idle_tails_in(self) {
            self.idle_tail_mut(image).get_or_insert(tail_ms);
        }
    }

    /// Returns the index of an image, adding the image if it is new.
    pub fn image(&mut self, name: &str) -> Image {
        let at = match self.images.get_index_of(name) {
            Some(at) => at,
            None => self.images.insert_full(name.to_owned()).0,
        };
        Image(at as u32)
    }

    /// Returns the utilisation at which the victim's tail reaches its target.
    pub fn limit(&self, victim: &Victim) -> f64 {
        1.0 - self.base_ms(victim) / victim.target_ms
    }

    /// Returns the utilisation inferred from a tail; `None` if the tail is not positive.
    pub fn utilisation_of(&self, victim: &Victim, tail_ms: f64) -> Option<f64> {
        (tail_ms > 0.0).then(|| (1.0 - self.base_ms(victim) / tail_ms).clamp(0.0, 1.0))
    }

    /// Returns the expected utilisation of a victim at `now + ahead`, with these aggressors on its
    /// host.
    pub fn expected_utilisation(
        &self,
        victim: &Victim,
        aggressors: &[Aggressor],
        now: Millis,
        ahead: Duration,
    ) -> f64 {
        let interferences = aggressors
            .iter()
            .map(|a| self.interference(victim.image, a));
        victim.load.forecast(now, ahead) + interferences.sum::<f64>()
    }

    /// Returns the forecast load of a victim at each forecast point.
    pub fn load_series(&self, victim: &Victim, now: Millis) -> Series {
        std::array::from_fn(|at| victim.load.forecast(now, utilisation::point_offset(at)))
    }

    /// Returns the utilisation that an aggressor is expected to add.
    pub fn interference(&self, victim: Image, aggressor: &Aggressor) -> f64 {
        self.estimate(victim, aggressor.image).mean * aggressor.share
    }

    /// Returns the variance of [`Self::interference`] that is due to limited evidence of the pair.
    pub fn interference_variance(&self, victim: Image, aggressor: &Aggressor) -> f64 {
        self.estimate(victim, aggressor.image).variance * aggressor.share * aggressor.share
    }

    /// Updates the model with the tails of a step's tasks on one host. The tasks share their load
    /// and the aggressors, so their mean is one measurement with less noise. Returns the residual:
    /// measured minus expected utilisation after the update, or 0 if a saturated tail gives no
    /// information; `None` without a positive tail.
    pub fn note(
        &mut self,
        victim: &mut Victim,
        aggressors: &[Aggressor],
        tails_ms: &[f64],
        now: Millis,
    ) -> Option<f64> {
        for tail_ms in tails_ms {
            self.note_idle(victim, *tail_ms);
        }
        let utilisations = tails_ms
            .iter()
            .filter_map(|t| self.utilisation_of(victim, *t));
        let utilisations: Vec<f64> = utilisations.collect();
        if utilisations.is_empty() {
            return None;
        }
        let utilisation = utilisations.iter().sum::<f64>() / utilisations.len() as f64;
        victim.load.advance(now, self.seasonality.period_s());
        let estimates: Vec<Estimate> = aggressors
            .iter()
            .map(|a| self.estimate(victim.image, a.image))
            .collect();
        let interference = aggressors
            .iter()
            .zip(&estimates)
            .map(|(a, e)| a.share * e.mean);
        let interference = interference.sum::<f64>();
        let residual = utilisation - victim.load.level() - interference;
        if utilisation >= SATURATED && residual < 0.0 {
            return Some(0.0);
        }
        let variances = aggressors.iter().zip(&estimates);
        let variances = variances.map(|(a, e)| a.share * a.share * e.variance);
        let deviation = INTERFERENCE_DEVIATION * interference;
        let noise = SHARED_NOISE_VARIANCE + NOISE_VARIANCE / utilisations.len() as f64;
        let without_load = variances.sum::<f64>() + noise + deviation * deviation;
        let total = without_load + victim.load.variance();
        victim
            .load
            .correct(utilisation - interference, without_load);
        if interference < MAX_INTERFERENCE_FOR_PERIOD {
            self.seasonality
                .note(victim.step, utilisation - interference, now);
        }
        for (aggressor, estimate) in aggressors.iter().zip(estimates) {
            let others_variance = total - aggressor.share * aggressor.share * estimate.variance;
            let measured = residual + aggressor.share * estimate.mean;
            let pair = self.pair_mut(victim.image, aggressor.image);
            pair.own.note(aggressor.share, measured, others_variance);
            pair.measured_at = now;
        }
        let interference = aggressors
            .iter()
            .map(|a| self.interference(victim.image, a));
        Some(utilisation - victim.load.level() - interference.sum::<f64>())
    }

    /// Returns the period of the serving loads in seconds, if one is known.
    pub fn period_s(&self) -> Option<f64> {
        self.seasonality.period_s()
    }

    /// Refits the profiles and searches for the period if that is due. Returns whether the period
    /// found changed.
    pub fn refit_if_due(&mut self, now: Millis) -> bool {
        let since = self.refitted_at.map(|at| now.since(at));
        if since.is_some_and(|since| since < REFIT_INTERVAL) {
            return false;
        }
        self.refitted_at = Some(now);
        let has_new_period = self.seasonality.search_if_due(now);
        self.decay_evidence(since.unwrap_or_default());
        let cells: Vec<Cell> = self.cells().collect();
        self.profiles.refit(self.images.len(), &cells);
        for (victim, row) in self.pairs.iter_mut().enumerate() {
            for (aggressor, pair) in row.iter_mut().enumerate() {
                pair.prior = self.profiles.predicted(victim, aggressor);
            }
        }
        has_new_period
    }

    fn decay_evidence(&mut self, since: Duration) {
        let factor = (-since.as_secs_f64() / EVIDENCE_DECAY_TIME.as_secs_f64()).exp();
        let pairs = self.pairs.iter_mut().flatten();
        pairs.for_each(|pair| pair.own.scale(factor));
    }

    /// Returns the pairs with enough evidence to fit the profiles.
    fn cells(&self) -> impl Iterator<Item = Cell> {
        let rows = self.pairs.iter().enumerate();
        rows.flat_map(|(victim, row)| {
            row.iter().enumerate().filter_map(move |(aggressor, pair)| {
                let evidence = pair.own.plus(&pair.others);
                let mean = evidence.mean()?;
                (evidence.precision >= MIN_PRECISION).then_some(Cell {
                    victim,
                    aggressor,
                    mean,
                    precision: evidence.precision,
                })
            })
        })
    }

    /// Returns the pairs that this owner measured itself, with the indexes of victim and aggressor.
    fn own_pairs(&self) -> impl Iterator<Item = (usize, usize, &Pair)> {
        let rows = self.pairs.iter().enumerate();
        let all = rows.flat_map(|(victim, row)| {
            let row = row.iter().enumerate();
            row.map(move |(aggressor, pair)| (victim, aggressor, pair))
        });
        all.filter(|(_, _, pair)| pair.own.precision > 0.0)
    }

    /// Returns the estimated tail at zero utilisation, in milliseconds.
    fn base_ms(&self, victim: &Victim) -> f64 {
        let measured = self.idle_tails_ms.get(victim.image.index());
        let first = victim.target_ms * INITIAL_BASE_FRACTION;
        measured.copied().flatten().map_or(first, |idle| {
            (idle * (1.0 - IDLE_UTILISATION)).min(victim.target_ms / 2.0)
        })
    }

    fn note_idle(&mut self, victim: &Victim, tail_ms: f64) {
        if tail_ms <= 0.0 {
            return;
        }
        let first = self.base_ms(victim) / (1.0 - IDLE_UTILISATION);
        let idle = self.idle_tail_mut(victim.image).get_or_insert(first);
        let is_below = f64::from(u8::from(tail_ms < *idle));
        *idle *= 1.0 + IDLE_STEP * (IDLE_QUANTILE - is_below);
    }

    fn idle_tail_mut(&mut self, image: Image) -> &mut Option<f64> {
        let at = image.index();
        if self.idle_tails_ms.len() <= at {
            self.idle_tails_ms.resize(at + 1, None);
        }
        &mut self.idle_tails_ms[at]
    }

    fn estimate(&self, victim: Image, aggressor: Image) -> Estimate {
        let row = self.pairs.get(victim.index());
        let pair = row.and_then(|row| row.get(aggressor.index()));
        pair.map_or_else(
            || self.profiles.predicted(victim.index(), aggressor.index()),
            Pair::estimate,
        )
    }

    fn pair_mut(&mut self, victim: Image, aggressor: Image) -> &mut Pair {
        let (v, a) = (victim.index(), aggressor.index());
        if self.pairs.len() <= v {
            self.pairs.resize(v + 1, Vec::new());
        }
        let row = &mut self.pairs[v];
        if row.len() <= a {
            let unmeasured = |aggressor| Pair {
                prior: self.profiles.predicted(v, aggressor),
                ..Pair::default()
            };
            row.extend((row.len()..=a).map(unmeasured));
        }
        &mut row[a]
    }
}
