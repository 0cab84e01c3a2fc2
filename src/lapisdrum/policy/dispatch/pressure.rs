//! How much tasks that use left-over processors press on tasks that serve users beside them, learned
//! from late and rough latency tails.
//!
//! Load pattern: hosts whose processors are mostly reserved by serving tasks which use half of them, and
//! batch work that may use the rest. Some pairs of images disturb each other and most do not; the serving
//! load swings by half within seven seconds. Without a model the batch work either stays off four fifths
//! of the room or drives tails to ten times their target.
//!
//! A tail behaves like a queue's: `base / (1 - strain)`. Strain adds up: the serving task's own load, and
//! for each left-over task beside it that task's share of the host's processors times a factor of the two
//! images. All tasks of a step share their load, so one that nothing presses tells it for the others; it
//! is followed with its slope, since a tail is [`TAIL_AGE`] old when it is read. Each unknown is a mean
//! with a variance, and a measurement corrects them in proportion to their doubt (a Kalman filter; pairs
//! are taken as independent of each other and of the load).

use crate::core::time::Millis;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Strain that a whole host of left-over work adds, for a pair of which nothing is known. Of 45 pairs, fitted
/// to 35,000 tails of one day, 25 added less than 0.2 and 20 between 0.5 and 1.6.
const PRIOR: Guess = Guess {
    mean: 0.5,
    variance: 0.3,
};
/// Growth of a pair's variance a second: presses change within seconds.
const PAIR_DRIFT: f64 = 0.005;
/// Least variance of a pair's factor.
const PAIR_FLOOR: f64 = 0.01;
/// A serving task's own load before anything is measured, and its variance.
const FIRST_LOAD: (f64, f64) = (0.45, 0.03);
/// Variance of a load's slope before anything is measured, per second squared: a swing by half in seven
/// seconds is a slope of up to 0.1 a second.
const FIRST_SLOPE_VARIANCE: f64 = 0.005;
/// Growth of the slope's variance a second: the same swing bends by up to 0.045 a second squared.
const SLOPE_DRIFT: f64 = 0.0015;
/// Variance of a measured strain: tails of tasks that ran alone scatter by 0.03, now and then by 0.1.
const NOISE: f64 = 0.004;
/// Scatter of a press relative to itself: presses move within seconds, and the fit above left a strain of
/// 0.1 unexplained where some 0.15 was added. A load is thereby learned from tasks that nothing presses
/// much; learned from the others too, it took a third of the presses for load.
const PRESS_SCATTER: f64 = 0.7;
/// Steepest slope of a load that is believed, a second.
const STEEPEST: f64 = 0.12;
/// Loads are told within these bounds: what an extrapolation says beyond them is its error.
const LOAD_BOUNDS: (f64, f64) = (0.1, 0.72);
/// A tail tells of this long ago on average: it is measured over half a second and comes with a look.
const TAIL_AGE: f64 = 0.15;
/// A tail is at least this part of its target when nothing presses, until smaller ones were seen.
const FIRST_BASE: f64 = 0.2;
/// Strain of a task at its idlest: no task is ever quite idle.
const IDLE_STRAIN: f64 = 0.22;
/// The idle tail is taken for this quantile of an image's tails. Their least is an outlier of the rough
/// figure, at half of the idle tail, and read all loads too high by 0.14.
const IDLE_QUANTILE: f64 = 0.04;
/// Part by which one tail moves the estimate of that quantile: it settles within some 200 tails.
const IDLE_STEP: f64 = 0.02;
/// A strain beyond this reads as full; the tail no longer tells by how much.
const FULL: f64 = 0.95;
/// Standard deviations that are added to a press where it decides whether a task is let in.
const CAUTION: f64 = 0.2;

/// A mean with its variance.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Guess {
    mean: f64,
    variance: f64,
}

scalar! {
    /// An image by number.
    pub struct Image(pub u32);
}

/// Something that presses: its image and its share of the host's processors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Presser {
    /// Its image.
    pub image: Image,
    /// Processors it uses, as a part of the host's.
    pub share: f64,
}

/// The load that all tasks of a serving step share, with its slope a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingLoad {
    level: f64,
    slope: f64,
    /// Variances of level and slope, and their covariance between.
    doubt: (f64, f64, f64),
    heard_at: Option<Millis>,
}

impl Default for ServingLoad {
    fn default() -> Self {
        Self {
            level: FIRST_LOAD.0,
            slope: 0.0,
            doubt: (FIRST_LOAD.1, 0.0, FIRST_SLOPE_VARIANCE),
            heard_at: None,
        }
    }
}

impl ServingLoad {
    /// The load when it was last measured, or what is taken for it before.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// The load expected so long after `now`.
    fn ahead(&self, now: Millis, ahead: Duration) -> f64 {
        let Some(heard_at) = self.heard_at else {
            return self.level;
        };
        let since = now.since(heard_at) + ahead;
        let told = self.level + self.slope * (since.as_secs_f64() + TAIL_AGE);
        told.clamp(LOAD_BOUNDS.0, LOAD_BOUNDS.1)
    }

    /// Carries level and doubt on to `now`.
    fn carry(&mut self, now: Millis) {
        let aged = self.heard_at.map_or(0.0, |at| now.since(at).as_secs_f64());
        self.heard_at = Some(now);
        let (level, both, slope) = self.doubt;
        self.level += self.slope * aged;
        self.doubt = (
            (level + 2.0 * aged * both + aged * aged * slope).min(FIRST_LOAD.1),
            both + aged * slope,
            (slope + aged * SLOPE_DRIFT).min(FIRST_SLOPE_VARIANCE),
        );
    }

    fn correct(&mut self, unexplained: f64, total: f64) {
        let (level, both, slope) = self.doubt;
        let (by_level, by_slope) = (level / total, both / total);
        self.level = (self.level + by_level * unexplained).clamp(0.0, 1.0);
        self.slope = (self.slope + by_slope * unexplained).clamp(-STEEPEST, STEEPEST);
        self.doubt = (
            level * (1.0 - by_level),
            both * (1.0 - by_level),
            slope - by_slope * both,
        );
    }
}

/// A serving task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Victim {
    /// Its image.
    pub image: Image,
    /// Its target, in milliseconds.
    pub target_ms: f64,
    /// Its step's load.
    pub load: ServingLoad,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Pair {
    factor: Guess,
    heard_at: Millis,
}

/// One learned pair, to be handed on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct LearnedPair {
    victim: u32,
    presser: u32,
    mean: f64,
    variance: f64,
}

/// What was learned, to be handed on to a successor: without it each take-over begins with ten seconds in
/// which every pair is tried again on serving tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    images: Vec<String>,
    pairs: Vec<LearnedPair>,
    idle_tails_ms: Vec<Option<f64>>,
}

impl From<&Pressure> for Learned {
    fn from(known: &Pressure) -> Self {
        let rows = known.pairs.iter().enumerate();
        let pairs = rows.flat_map(|(victim, row)| {
            let row = row.iter().enumerate();
            row.filter_map(move |(presser, pair)| {
                let factor = (*pair)?.factor;
                Some(LearnedPair {
                    victim: victim as u32,
                    presser: presser as u32,
                    mean: factor.mean,
                    variance: factor.variance,
                })
            })
        });
        Self {
            images: known.images.iter().cloned().collect(),
            pairs: pairs.collect(),
            idle_tails_ms: known.idle_tail.clone(),
        }
    }
}

/// What is known of images, and of pairs of them.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    images: IndexSet<String>,
    /// By victim, then by presser.
    pairs: Vec<Vec<Option<Pair>>>,
    /// The tail of each image at its idlest, in milliseconds.
    idle_tail: Vec<Option<f64>>,
}

impl Pressure {
    /// What an earlier owner learned, as of `now`. Its doubts are doubled: some time has passed.
    pub fn resumed(learned: &Learned, now: Millis) -> Self {
        let mut resumed = Self::default();
        for name in &learned.images {
            resumed.image(name);
        }
        let known = resumed.images.len() as u32;
        let pairs = learned.pairs.iter();
        for pair in pairs.filter(|p| p.victim < known && p.presser < known) {
            let factor = Guess {
                mean: pair.mean,
                variance: (pair.variance * 2.0).min(PRIOR.variance),
            };
            resumed.set_pair(Image(pair.victim), Image(pair.presser), factor, now);
        }
        resumed.idle_tail.clone_from(&learned.idle_tails_ms);
        resumed
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

    /// The strain that a presser is expected to add.
    pub fn press(&self, victim: Image, presser: &Presser) -> f64 {
        self.pair(victim, presser.image).mean * presser.share
    }

    /// The same, on the safe side of what is doubtful.
    pub fn cautious_press(&self, victim: Image, presser: &Presser) -> f64 {
        let guess = self.pair(victim, presser.image);
        (guess.mean + guess.variance.sqrt() * CAUTION) * presser.share
    }

    /// Learns from a victim's tail, measured beside these.
    pub fn note(&mut self, victim: &mut Victim, beside: &[Presser], tail_ms: f64, now: Millis) {
        self.note_idle(victim, tail_ms);
        let Some(strain) = self.strain_of(victim, tail_ms) else {
            return;
        };
        victim.load.carry(now);
        let pairs: Vec<Guess> = beside
            .iter()
            .map(|p| self.aged_pair(victim.image, p.image, now))
            .collect();
        let pressed = beside.iter().zip(&pairs).map(|(p, g)| p.share * g.mean);
        let pressed = pressed.sum::<f64>();
        let unexplained = strain - victim.load.level - pressed;
        if strain >= FULL && unexplained < 0.0 {
            return;
        }
        let doubt = beside.iter().zip(&pairs);
        let doubt = doubt.map(|(p, g)| p.share * p.share * g.variance);
        let scatter = PRESS_SCATTER * pressed;
        let total = victim.load.doubt.0 + doubt.sum::<f64>() + NOISE + scatter * scatter;
        victim.load.correct(unexplained, total);
        for (presser, mut guess) in beside.iter().zip(pairs) {
            let gain = guess.variance * presser.share / total;
            guess.mean = (guess.mean + gain * unexplained).max(0.0);
            guess.variance = (guess.variance * (1.0 - gain * presser.share)).max(PAIR_FLOOR);
            self.set_pair(victim.image, presser.image, guess, now);
        }
    }

    /// The tail of a task without any strain.
    fn base(&self, victim: &Victim) -> f64 {
        let seen = self.idle_tail.get(victim.image.0 as usize);
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
        let at = victim.image.0 as usize;
        if self.idle_tail.len() <= at {
            self.idle_tail.resize(at + 1, None);
        }
        let idle = self.idle_tail[at].get_or_insert(first);
        let is_below = f64::from(u8::from(tail_ms < *idle));
        *idle *= 1.0 + IDLE_STEP * (IDLE_QUANTILE - is_below);
    }

    fn known_pair(&self, victim: Image, presser: Image) -> Option<Pair> {
        let row = self.pairs.get(victim.0 as usize)?;
        row.get(presser.0 as usize).copied().flatten()
    }

    fn pair(&self, victim: Image, presser: Image) -> Guess {
        let known = self.known_pair(victim, presser);
        known.map_or(PRIOR, |pair| pair.factor)
    }

    fn aged_pair(&self, victim: Image, presser: Image, now: Millis) -> Guess {
        self.known_pair(victim, presser).map_or(PRIOR, |pair| {
            let aged = now.since(pair.heard_at).as_secs_f64();
            let variance = pair.factor.variance + aged * PAIR_DRIFT;
            Guess {
                variance: variance.min(PRIOR.variance),
                ..pair.factor
            }
        })
    }

    fn set_pair(&mut self, victim: Image, presser: Image, factor: Guess, now: Millis) {
        let (v, p) = (victim.0 as usize, presser.0 as usize);
        if self.pairs.len() <= v {
            self.pairs.resize(v + 1, Vec::new());
        }
        let row = &mut self.pairs[v];
        if row.len() <= p {
            row.resize(p + 1, None);
        }
        row[p] = Some(Pair {
            factor,
            heard_at: now,
        });
    }
}
