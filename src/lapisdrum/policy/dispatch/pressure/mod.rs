//! How much tasks that use best-effort processors press on tasks that serve users beside them, learned
//! from late and rough latency tails.
//!
//! Load pattern: hosts whose processors are mostly reserved by serving tasks which use half of them, and
//! batch work that may use the rest. Some pairs of images disturb each other and most do not; the serving
//! load swings by half within seven seconds. Without a model the batch work either stays off four fifths
//! of the room or drives tails to ten times their target.
//!
//! A tail behaves like a queue's: `base / (1 - strain)`. Strain adds up: the serving task's own load
//! ([`load`]), and for each best-effort task beside it that task's share of the host's processors times a factor of
//! the two images. A measurement corrects each unknown in proportion to its doubt (a Kalman filter; the unknowns
//! are taken as independent of each other). What pairs have shown is kept as [`evidence`], to which other owners
//! add theirs; what is expected of a pair that has hardly met comes from the others ([`profile`]).

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

/// Time between two fits of the profiles.
const REFIT_EVERY: Duration = Duration::from_millis(500);
/// Within this time evidence comes to count for a third: presses change.
const FADE_TIME: Duration = Duration::from_secs(40);
/// A pair with less evidence is expected as the profiles say alone.
const LEAST_PRECISION: f64 = 0.05;
/// A press of which nothing is known.
const PRIOR: Guess = Guess {
    mean: 0.5,
    variance: 0.3,
};
/// Variance of a strain that one tail tells: tails of tasks that run alone scatter too.
const NOISE: f64 = 0.003;
/// The part of it that all tasks of a step on one host have in common.
const SHARED_NOISE: f64 = 0.001;
/// Scatter of a press relative to itself: presses move within seconds. A load is thereby learned from tasks that
/// nothing presses much; learned from the others alike, it takes a part of the presses for load.
const PRESS_SCATTER: f64 = 0.7;
/// A tail is at least this part of its target when nothing presses, until smaller ones were seen.
const FIRST_BASE: f64 = 0.2;
/// Strain of a task at its idlest: no task is ever quite idle.
const IDLE_STRAIN: f64 = 0.22;
/// The idle tail is taken for this quantile of an image's tails. Their least is an outlier of the rough figure, and
/// makes all loads read too high.
const IDLE_QUANTILE: f64 = 0.04;
/// Part by which one tail moves the estimate of that quantile: it settles within some 200 tails.
const IDLE_STEP: f64 = 0.02;
/// A strain beyond this reads as full; the tail no longer tells by how much.
const FULL: f64 = 0.95;
/// Strain below which a task tells its own load well enough for the season.
const HARDLY_PRESSED: f64 = 0.08;

/// A mean with its variance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Guess {
    /// The mean.
    pub mean: f64,
    /// The variance.
    pub variance: f64,
}

scalar! {
    /// An image by number.
    pub struct Image(pub u32);
}

impl Image {
    fn at(self) -> usize {
        self.0 as usize
    }
}

/// Something that presses: its image and its share of the host's processors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Presser {
    /// Its image.
    pub image: Image,
    /// Processors it uses, as a part of the host's.
    pub share: f64,
}

/// Names a step: its job, the occurrence and its place in it.
pub type StepKey = (u64, u32, u16);

/// A serving task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Victim {
    /// Its image.
    pub image: Image,
    /// Its step.
    pub step: StepKey,
    /// Its target, in milliseconds.
    pub target_ms: f64,
    /// Its step's load.
    pub load: ServingLoad,
}

/// What is known of one pair.
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

/// Names another owner of which evidence was heard.
pub type Origin = u32;

/// What is known of images, and of pairs of them.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    images: IndexSet<String>,
    /// By victim, then by presser.
    pairs: Vec<Vec<Pair>>,
    /// What each other owner has told of pairs.
    told: IndexMap<(Origin, Image, Image), Evidence>,
    profiles: Profiles,
    season: Season<StepKey>,
    refitted_at: Option<Millis>,
    /// The tail of each image at its idlest, in milliseconds.
    idle_tails_ms: Vec<Option<f64>>,
}

impl Pressure {
    /// What an earlier owner learned. Its evidence counts for half: some time has passed.
    pub fn resumed(learned: &Learned) -> Self {
        let mut resumed = Self::default();
        for (victim, presser, mut evidence) in learned.pairs_in(&mut resumed) {
            evidence.fade(0.5);
            resumed.pair_mut(victim, presser).own = evidence;
        }
        resumed.adopt_loads(learned);
        resumed
    }

    /// Takes in what another owner has learned by itself, in place of what it told of the same pairs before.
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

    /// What was measured here counts more than what was told.
    fn adopt_loads(&mut self, learned: &Learned) {
        if let Some(period_s) = learned.period_s() {
            self.season.adopt(period_s);
        }
        for (image, tail_ms) in learned.idle_tails_in(self) {
            self.idle_tail_mut(image).get_or_insert(tail_ms);
        }
    }

    /// The number of an image.
    pub fn image(&mut self, name: &str) -> Image {
        let at = match self.images.get_index_of(name) {
            Some(at) => at,
            None => self.images.insert_full(name.to_owned()).0,
        };
        Image(at as u32)
    }

    /// The strain at which a victim is at its target.
    pub fn limit(&self, victim: &Victim) -> f64 {
        1.0 - self.base(victim) / victim.target_ms
    }

    /// The strain that a tail means; none when there is no tail.
    pub fn strain_of(&self, victim: &Victim, tail_ms: f64) -> Option<f64> {
        (tail_ms > 0.0).then(|| (1.0 - self.base(victim) / tail_ms).clamp(0.0, 1.0))
    }

    /// The strain expected of a victim beside these, so long after `now`.
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

    /// The load expected of a victim over the next moments.
    pub fn load_path(&self, victim: &Victim, now: Millis) -> Path {
        std::array::from_fn(|at| victim.load.ahead(now, outlook::moment(at)))
    }

    /// The strain that a presser is expected to add.
    pub fn press(&self, victim: Image, presser: &Presser) -> f64 {
        self.believed(victim, presser.image).mean * presser.share
    }

    /// Variance of that, by what is not known of the pair.
    pub fn press_variance(&self, victim: Image, presser: &Presser) -> f64 {
        self.believed(victim, presser.image).variance * presser.share * presser.share
    }

    /// Learns from the tails of a step's tasks on one host, measured beside these. They share their load and what
    /// presses on them, so they are one measurement, less rough than each of them. Returns the strain that is
    /// measured beyond what is then believed; none where the tails tell nothing.
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

    /// The period of the serving loads in seconds, if they have one.
    pub fn period_s(&self) -> Option<f64> {
        self.season.period_s()
    }

    /// Fits what is expected of pairs to what was measured, if it is time to; true when another period is believed.
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

    /// The pairs that have evidence enough to tell of others.
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

    /// The pairs of which this owner has evidence of its own, by the numbers of victim and presser.
    fn own_pairs(&self) -> impl Iterator<Item = (usize, usize, &Pair)> {
        let rows = self.pairs.iter().enumerate();
        let all = rows.flat_map(|(victim, row)| {
            let row = row.iter().enumerate();
            row.map(move |(presser, pair)| (victim, presser, pair))
        });
        all.filter(|(_, _, pair)| pair.own.precision > 0.0)
    }

    /// The tail of a task without any strain.
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
