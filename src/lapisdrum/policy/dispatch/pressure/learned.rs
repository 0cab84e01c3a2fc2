//! What was learned, in the form in which owners tell it: to a successor by the store, to each other by a call.
//!
//! Without it each take-over begins with ten seconds in which pairs are tried again on serving tasks, and each of
//! several shards learns every pair by itself.

use super::{Evidence, Image, Pressure};
use crate::core::time::Millis;

/// Most pairs that are told at once, those with the most evidence first: a row or an answer stays below 60 KB.
const MOST_PAIRS: usize = 800;
/// Figures are told in thousandths.
const MILLI: f64 = 1_000.0;

data! {
    /// Evidence of one pair.
    pub struct LearnedPair {
        victim: u16,
        presser: u16,
        mean_milli: u32,
        precision_milli: u32,
    }

    /// What an owner has learned by itself.
    #[derive(Default)]
    pub struct Learned {
        images: Vec<String>,
        pairs: Vec<LearnedPair>,
        idle_tails_us: Vec<Option<u32>>,
        /// The period in which serving loads swing.
        period_ms: Option<u32>,
    }
}

fn to_milli(figure: f64) -> u32 {
    (figure * MILLI).round() as u32
}

impl LearnedPair {
    /// The evidence that it tells.
    pub(super) fn evidence(&self) -> Evidence {
        let precision = f64::from(self.precision_milli) / MILLI;
        Evidence {
            precision,
            weighted: f64::from(self.mean_milli) / MILLI * precision,
        }
    }
}

impl Learned {
    /// What of an owner's own evidence is new since this moment.
    pub fn since(known: &Pressure, since: Millis) -> Self {
        let mut pairs: Vec<LearnedPair> = known
            .own_pairs()
            .filter(|(_, _, pair)| pair.heard_at >= since)
            .filter_map(|(victim, presser, pair)| {
                Some(LearnedPair {
                    victim: u16::try_from(victim).ok()?,
                    presser: u16::try_from(presser).ok()?,
                    mean_milli: to_milli(pair.own.mean()?),
                    precision_milli: to_milli(pair.own.precision),
                })
            })
            .collect();
        pairs.sort_by_key(|pair| std::cmp::Reverse(pair.precision_milli));
        pairs.truncate(MOST_PAIRS);
        Self {
            images: known.images.iter().cloned().collect(),
            pairs,
            idle_tails_us: known.idle_tails_ms.iter().map(to_us).collect(),
            period_ms: known.season.period_s().map(to_milli),
        }
    }

    /// Pairs told.
    pub fn pairs(&self) -> usize {
        self.pairs.len()
    }

    /// The pairs, by the numbers that `known` gives their images; what names no image is passed over.
    pub(super) fn pairs_in(&self, known: &mut Pressure) -> Vec<(Image, Image, Evidence)> {
        let images: Vec<Image> = self.images.iter().map(|name| known.image(name)).collect();
        let image = |number: u16| images.get(usize::from(number)).copied();
        let pairs = self.pairs.iter();
        pairs
            .filter_map(|pair| Some((image(pair.victim)?, image(pair.presser)?, pair.evidence())))
            .collect()
    }

    /// The period in which serving loads swing, in seconds.
    pub(super) fn period_s(&self) -> Option<f64> {
        self.period_ms.map(|ms| f64::from(ms) / MILLI)
    }

    /// Idle tails by image, in milliseconds.
    pub(super) fn idle_tails_in(&self, known: &mut Pressure) -> Vec<(Image, f64)> {
        let tails = self.images.iter().zip(&self.idle_tails_us);
        tails
            .filter_map(|(name, tail_us)| Some((known.image(name), f64::from((*tail_us)?) / MILLI)))
            .collect()
    }
}

impl From<&Pressure> for Learned {
    fn from(known: &Pressure) -> Self {
        Self::since(known, Millis::default())
    }
}

fn to_us(tail_ms: &Option<f64>) -> Option<u32> {
    tail_ms.map(to_milli)
}
