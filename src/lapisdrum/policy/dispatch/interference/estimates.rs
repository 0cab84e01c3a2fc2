//! The serialised interference model, which a shard's owner stores for the next owner and sends to
//! the owners of other shards.
//!
//! Without it, pairs are measured again on serving tasks in the first ten seconds after each
//! takeover, and each of several shards has to measure every pair itself.

use super::{Evidence, Image, InterferenceModel};
use crate::core::time::Millis;

/// Maximum number of pairs in one row or reply, which keeps it below 60 KB. Pairs with the most
/// evidence go first.
const MAX_PAIRS: usize = 800;
/// Values are serialised in thousandths.
const MILLI: f64 = 1_000.0;

data! {
    /// Measured interference of one pair; images are indexes into [`InterferenceEstimates`]'s list.
    pub struct PairEstimate {
        victim: u16,
        #[serde(rename = "presser")]
        aggressor: u16,
        mean_milli: u32,
        precision_milli: u32,
    }

    /// The interference model of one owner, without the evidence that it received from others.
    #[derive(Default)]
    pub struct InterferenceEstimates {
        images: Vec<String>,
        pairs: Vec<PairEstimate>,
        idle_tails_us: Vec<Option<u32>>,
        /// Period of the serving loads.
        period_ms: Option<u32>,
    }
}

fn to_milli(value: f64) -> u32 {
    (value * MILLI).round() as u32
}

impl PairEstimate {
    pub(super) fn evidence(&self) -> Evidence {
        let precision = f64::from(self.precision_milli) / MILLI;
        Evidence {
            precision,
            weighted_sum: f64::from(self.mean_milli) / MILLI * precision,
        }
    }
}

impl InterferenceEstimates {
    /// Returns the evidence of pairs that this owner measured at or after `since`, with all idle
    /// tails.
    pub fn since(model: &InterferenceModel, since: Millis) -> Self {
        let mut pairs: Vec<PairEstimate> = model
            .own_pairs()
            .filter(|(_, _, pair)| pair.measured_at >= since)
            .filter_map(|(victim, aggressor, pair)| {
                Some(PairEstimate {
                    victim: u16::try_from(victim).ok()?,
                    aggressor: u16::try_from(aggressor).ok()?,
                    mean_milli: to_milli(pair.own.mean()?),
                    precision_milli: to_milli(pair.own.precision),
                })
            })
            .collect();
        pairs.sort_by_key(|pair| std::cmp::Reverse(pair.precision_milli));
        pairs.truncate(MAX_PAIRS);
        Self {
            images: model.images.iter().cloned().collect(),
            pairs,
            idle_tails_us: model.idle_tails_ms.iter().map(to_us).collect(),
            period_ms: model.seasonality.period_s().map(to_milli),
        }
    }

    /// Returns the number of pairs.
    pub fn pairs(&self) -> usize {
        self.pairs.len()
    }

    /// Returns the pairs by the image indexes of `model`; pairs with an invalid image index are
    /// skipped.
    pub(super) fn pairs_in(&self, model: &mut InterferenceModel) -> Vec<(Image, Image, Evidence)> {
        let images: Vec<Image> = self.images.iter().map(|name| model.image(name)).collect();
        let image = |index: u16| images.get(usize::from(index)).copied();
        let pairs = self.pairs.iter();
        pairs
            .filter_map(|pair| Some((image(pair.victim)?, image(pair.aggressor)?, pair.evidence())))
            .collect()
    }

    /// Returns the period of the serving loads, in seconds.
    pub(super) fn period_s(&self) -> Option<f64> {
        self.period_ms.map(|ms| f64::from(ms) / MILLI)
    }

    /// Returns the idle tails by image, in milliseconds.
    pub(super) fn idle_tails_in(&self, model: &mut InterferenceModel) -> Vec<(Image, f64)> {
        let tails = self.images.iter().zip(&self.idle_tails_us);
        tails
            .filter_map(|(name, tail_us)| Some((model.image(name), f64::from((*tail_us)?) / MILLI)))
            .collect()
    }
}

impl From<&InterferenceModel> for InterferenceEstimates {
    fn from(model: &InterferenceModel) -> Self {
        Self::since(model, Millis::default())
    }
}

fn to_us(tail_ms: &Option<f64>) -> Option<u32> {
    tail_ms.map(to_milli)
}
