//! Estimates the interference of best-effort tasks with serving tasks on the same host, from delayed and noisy
//! latency tails.
//!
//! Load pattern: serving tasks reserve most processors of a host and use half of them; batch work may use the rest.
//! Some pairs of images interfere and most do not; serving load changes by half within seven seconds. Without a
//! model, batch work either leaves four fifths of the free capacity unused or drives tails to ten times their
//! target.
//!
//! A tail follows the queueing formula `base / (1 - utilisation)`. Utilisation is the sum of the serving task's own
//! load ([`load`]) and, for each aggressor, its share of the host's processors times a factor of the two images. A
//! measurement corrects each unknown in proportion to its variance (a Kalman filter that treats the unknowns as
//! independent). Measurements of a pair are kept as [`evidence`], to which those of other owners are added; the
//! prior of a pair with little evidence is derived from other pairs ([`profile`]).

pub mod evidence;
pub mod learned;
pub mod load;
pub mod profile;
pub mod season;

use super::outlook::{self, Path};
use crate::core::time::Millis;
use evidence::Evidence;
use indexmap::{IndexMap, IndexSet};
use learned::Learned;
pub use load::ServingLoad;
use profile::{Cell, Profiles};
use season::Season;
use std::time::Duration;

/// Minimum time between two fits of the profiles.
const REFIT_EVERY: Duration = Duration::from_millis(500);
/// Time constant of the exponential decay of evidence: interference changes over time.
const FADE_TIME: Duration = Duration::from_secs(40);
/// Minimum precision at which the evidence of a pair is used to fit the profiles.
const LEAST_PRECISION: f64 = 0.05;
/// Default prior of a pair; replaced by the prediction of the profiles when the pair is added.
const PRIOR: Guess = Guess {
    mean: 0.5,
    variance: 0.3,
};
/// Variance of the utilisation inferred from one tail: tails of tasks without aggressors scatter too.
const NOISE: f64 = 0.003;
/// Variance that all tasks of a step on one host share, in addition to [`NOISE`].
const SHARED_NOISE: f64 = 0.001;
/// Standard deviation of interference relative to its mean: interference changes within seconds. It reduces the
/// weight of tasks under strong interference in the load estimate, which would count part of the interference as load.
const PRESS_SCATTER: f64 = 0.7;
/// Initial estimate of the tail without utilisation, as a fraction of its target.
const FIRST_BASE: f64 = 0.2;
/// Utilisation at which the idle tail is measured: no task is ever completely idle.
const IDLE_STRAIN: f64 = 0.22;
/// The idle tail is estimated as this quantile of an image's tails. Their minimum is an outlier, and would make all
/// load estimates too high.
const IDLE_QUANTILE: f64 = 0.04;
/// Relative step by which one tail moves the quantile estimate: it converges within about 200 tails.
const IDLE_STEP: f64 = 0.02;
/// Utilisation from which a task is saturated: its tail no longer shows by how much.
const FULL: f64 = 0.95;
/// Maximum interference at which a task's load is accurate enough for period detection.
const HARDLY_PRESSED: f64 = 0.08;

/// An interference estimate for an aggressor that uses the whole host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Guess {
    /// Expected utilisation added.
    pub mean: f64,
    /// Variance of `mean`.
    pub variance: f64,
}

scalar! {
    /// Index of an image in the [`Pressure`] that issued it.
    pub struct Image(pub u32);
}

impl Image {
    fn at(self) -> usize {
        self.0 as usize
    }
}

/// A best-effort task that interferes with serving tasks on its host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Presser {
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
    expected: Guess,
    heard_at: Millis,
}

impl Default for Pair {
    fn default() -> Self {
        Self {
            own: Evidence::default(),
            others: Evidence::default(),
            expected: PRIOR,
            heard_at: Millis::default(),
        }
    }
}

impl Pair {
    fn believed(&self) -> Guess {
        self.own.plus(&self.others).believed(&self.expected)
    }
}

/// Identifies another owner whose evidence was received.
pub type Origin = u32;

/// The interference model: estimates for images and for pairs of them.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    images: IndexSet<String>,
    /// Indexed by victim, then by aggressor.
    pairs: Vec<Vec<Pair>>,
    /// Last evidence received from each other owner, by pair.
    told: IndexMap<(Origin, Image, Image), Evidence>,
    profiles: Profiles,
    season: Season<StepKey>,
    refitted_at: Option<Millis>,
    /// Latency tail of each image at [`IDLE_STRAIN`], in milliseconds.
    idle_tails_ms: Vec<Option<f64>>,
}

impl Pressure {
    /// Restores the model that a previous owner stored. Its evidence counts half, as some time has passed.
    pub fn resumed(learned: &Learned) -> Self {
        let mut resumed = Self::default();
        for (victim, presser, mut evidence) in learned.pairs_in(&mut resumed) {
            evidence.fade(0.5);
            resumed.pair_mut(victim, presser).own = evidence;
        }
        resumed.adopt_loads(learned);
        resumed
    }

    /// Adds the evidence that another owner measured, replacing its earlier evidence of the same pairs.
    pub fn adopt(&mut self, origin: Origin, learned: &Learned) {
        for (victim, presser, evidence) in learned.pairs_in(self) {
            let before = self.told.insert((origin, victim, presser), evidence);
            let before = before.unwrap_or_default();
            let pair = self.pair_mut(victim, presser);
            pair.others.precision += evidence.precision - before.precision;
            pair.others.weighted += evidence.weighted - before.weighted;
        }
        self.adopt_loads(learned);
    }

    /// Adopts the period and the idle tails; a period found by this owner and idle tails that it has take precedence.
    fn adopt_loads(&mut self, learned: &Learned) {
        if let Some(period_s) = learned.period_s() {
            self.season.adopt(period_s);
        }
        for (image, tail_ms) in learned.idle_tails_in(self) {
            self.idle_tail_mut(image).get_or_insert(tail_ms);
        }
    }

    /// Returns the number of an image, adding the image if it is new.
    pub fn image(&mut self, name: &str) -> Image {
        let at = match self.images.get_index_of(name) {
            Some(at) => at,
            None => self.images.insert_full(name.to_owned()).0,
        };
        Image(at as u32)
    }

    /// Returns the utilisation at which the victim's tail reaches its target.
    pub fn limit(&self, victim: &Victim) -> f64 {
        1.0 - self.base(victim) / victim.target_ms
    }

    /// Returns the utilisation inferred from a tail; none if the tail is not positive.
    pub fn strain_of(&self, victim: &Victim, tail_ms: f64) -> Option<f64> {
        (tail_ms > 0.0).then(|| (1.0 - self.base(victim) / tail_ms).clamp(0.0, 1.0))
    }

    /// Returns the expected utilisation of a victim at `now + ahead`, with these aggressors on its host.
    pub fn expected(
        &self,
        victim: &Victim,
        beside: &[Presser],
        now: Millis,
        ahead: Duration,
    ) -> f64 {
        let presses = beside.iter().map(|p| self.press(victim.image, p));
        victim.load.ahead(now, ahead) + presses.sum::<f64>()
    }

    /// Returns the forecast load of a victim at each forecast point.
    pub fn load_path(&self, victim: &Victim, now: Millis) -> Path {
        std::array::from_fn(|at| victim.load.ahead(now, outlook::moment(at)))
    }

    /// Returns the utilisation that an aggressor is expected to add.
    pub fn press(&self, victim: Image, presser: &Presser) -> f64 {
        self.believed(victim, presser.image).mean * presser.share
    }

    /// Returns the variance of [`Self::press`] that is due to limited evidence of the pair.
    pub fn press_variance(&self, victim: Image, presser: &Presser) -> f64 {
        self.believed(victim, presser.image).variance * presser.share * presser.share
    }

    /// Updates the model with the tails of a step's tasks on one host. The tasks share their load and the aggressors,
    /// so their mean is one measurement with less noise. Returns the residual: measured minus expected
    /// utilisation after the update, or 0 if a saturated tail gives no information; none without a positive tail.
    pub fn note(
        &mut self,
        victim: &mut Victim,
        beside: &[Presser],
        tails_ms: &[f64],
        now: Millis,
    ) -> Option<f64> {
        for tail_ms in tails_ms {
            self.note_idle(victim, *tail_ms);
        }
        let strains = tails_ms.iter().filter_map(|t| self.strain_of(victim, *t));
        let strains: Vec<f64> = strains.collect();
        if strains.is_empty() {
            return None;
        }
        let strain = strains.iter().sum::<f64>() / strains.len() as f64;
        victim.load.carry(now, self.season.period_s());
        let guesses: Vec<Guess> = beside
            .iter()
            .map(|p| self.believed(victim.image, p.image))
            .collect();
        let pressed = beside.iter().zip(&guesses).map(|(p, g)| p.share * g.mean);
        let pressed = pressed.sum::<f64>();
        let unexplained = strain - victim.load.level() - pressed;
        if strain >= FULL && unexplained < 0.0 {
            return Some(0.0);
        }
        let doubt = beside.iter().zip(&guesses);
        let doubt = doubt.map(|(p, g)| p.share * p.share * g.variance);
        let scatter = PRESS_SCATTER * pressed;
        let noise = SHARED_NOISE + NOISE / strains.len() as f64;
        let of_presses = doubt.sum::<f64>() + noise + scatter * scatter;
        let total = of_presses + victim.load.variance();
        victim.load.correct(strain - pressed, of_presses);
        if pressed < HARDLY_PRESSED {
            self.season.note(victim.step, strain - pressed, now);
        }
        for (presser, guess) in beside.iter().zip(guesses) {
            let of_others = total - presser.share * presser.share * guess.variance;
            let press = unexplained + presser.share * guess.mean;
            let pair = self.pair_mut(victim.image, presser.image);
            pair.own.note(presser.share, press, of_others);
            pair.heard_at = now;
        }
        let pressed = beside.iter().map(|p| self.press(victim.image, p));
        Some(strain - victim.load.level() - pressed.sum::<f64>())
    }

    /// Returns the period of the serving loads in seconds, if one is known.
    pub fn period_s(&self) -> Option<f64> {
        self.season.period_s()
    }

    /// Refits the profiles and searches for the period if that is due. Returns whether the period found changed.
    pub fn refit_if_due(&mut self, now: Millis) -> bool {
        let since = self.refitted_at.map(|at| now.since(at));
        if since.is_some_and(|since| since < REFIT_EVERY) {
            return false;
        }
        self.refitted_at = Some(now);
        let has_new_period = self.season.search_if_due(now);
        self.fade(since.unwrap_or_default());
        let cells: Vec<Cell> = self.cells().collect();
        self.profiles.refit(self.images.len(), &cells);
        for (victim, row) in self.pairs.iter_mut().enumerate() {
            for (presser, pair) in row.iter_mut().enumerate() {
                pair.expected = self.profiles.expected(victim, presser);
            }
        }
        has_new_period
    }

    fn fade(&mut self, since: Duration) {
        let part = (-since.as_secs_f64() / FADE_TIME.as_secs_f64()).exp();
        let pairs = self.pairs.iter_mut().flatten();
        pairs.for_each(|pair| pair.own.fade(part));
    }

    /// Returns the pairs with enough evidence to fit the profiles.
    fn cells(&self) -> impl Iterator<Item = Cell> {
        let rows = self.pairs.iter().enumerate();
        rows.flat_map(|(victim, row)| {
            row.iter().enumerate().filter_map(move |(presser, pair)| {
                let evidence = pair.own.plus(&pair.others);
                let mean = evidence.mean()?;
                (evidence.precision >= LEAST_PRECISION).then_some(Cell {
                    victim,
                    presser,
                    mean,
                    precision: evidence.precision,
                })
            })
        })
    }

    /// Returns the pairs that this owner measured itself, with the numbers of victim and aggressor.
    fn own_pairs(&self) -> impl Iterator<Item = (usize, usize, &Pair)> {
        let rows = self.pairs.iter().enumerate();
        let all = rows.flat_map(|(victim, row)| {
            let row = row.iter().enumerate();
            row.map(move |(presser, pair)| (victim, presser, pair))
        });
        all.filter(|(_, _, pair)| pair.own.precision > 0.0)
    }

    /// Returns the estimated tail at zero utilisation, in milliseconds.
    fn base(&self, victim: &Victim) -> f64 {
        let seen = self.idle_tails_ms.get(victim.image.at());
        let first = victim.target_ms * FIRST_BASE;
        seen.copied().flatten().map_or(first, |idle| {
            (idle * (1.0 - IDLE_STRAIN)).min(victim.target_ms / 2.0)
        })
    }

    fn note_idle(&mut self, victim: &Victim, tail_ms: f64) {
        if tail_ms <= 0.0 {
            return;
        }
        let first = self.base(victim) / (1.0 - IDLE_STRAIN);
        let idle = self.idle_tail_mut(victim.image).get_or_insert(first);
        let is_below = f64::from(u8::from(tail_ms < *idle));
        *idle *= 1.0 + IDLE_STEP * (IDLE_QUANTILE - is_below);
    }

    fn idle_tail_mut(&mut self, image: Image) -> &mut Option<f64> {
        let at = image.at();
        if self.idle_tails_ms.len() <= at {
            self.idle_tails_ms.resize(at + 1, None);
        }
        &mut self.idle_tails_ms[at]
    }

    fn believed(&self, victim: Image, presser: Image) -> Guess {
        let row = self.pairs.get(victim.at());
        let pair = row.and_then(|row| row.get(presser.at()));
        pair.map_or_else(
            || self.profiles.expected(victim.at(), presser.at()),
            Pair::believed,
        )
    }

    fn pair_mut(&mut self, victim: Image, presser: Image) -> &mut Pair {
        let (v, p) = (victim.at(), presser.at());
        if self.pairs.len() <= v {
            self.pairs.resize(v + 1, Vec::new());
        }
        let row = &mut self.pairs[v];
        if row.len() <= p {
            let expected = |presser| Pair {
                expected: self.profiles.expected(v, presser),
                ..Pair::default()
            };
            row.extend((row.len()..=p).map(expected));
        }
        &mut row[p]
    }
}
