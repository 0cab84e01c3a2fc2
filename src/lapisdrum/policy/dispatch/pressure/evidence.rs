//! What measurements say of one pair of images, as sums: evidence of several owners adds up.

use super::Guess;

/// Evidence beyond this precision changes nothing: presses move within seconds.
const MOST_PRECISION: f64 = 60.0;

/// Sums over the measurements of a pair's press.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// The sum of the measurements' precisions: one over the variance of each.
    pub precision: f64,
    /// The sum of what they told, each times its precision.
    pub weighted: f64,
}

impl Evidence {
    /// Adds a measurement of `press`, with this variance, by a task with this share of the host.
    pub fn note(&mut self, share: f64, press: f64, variance: f64) {
        self.precision += share * share / variance;
        self.weighted += share * press / variance;
        if self.precision > MOST_PRECISION {
            self.fade(MOST_PRECISION / self.precision);
        }
    }

    /// What is left of it when each measurement counts for this part.
    pub fn fade(&mut self, part: f64) {
        self.precision *= part;
        self.weighted *= part;
    }

    /// Both together.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            precision: self.precision + other.precision,
            weighted: self.weighted + other.weighted,
        }
    }

    /// The mean of what was measured; none where there is no measurement.
    pub fn mean(&self) -> Option<f64> {
        (self.precision > 0.0).then(|| (self.weighted / self.precision).max(0.0))
    }

    /// What is to be believed, given what is expected without it.
    pub fn believed(&self, expected: &Guess) -> Guess {
        let prior = 1.0 / expected.variance;
        let precision = self.precision + prior;
        Guess {
            mean: ((self.weighted + prior * expected.mean) / precision).max(0.0),
            variance: 1.0 / precision,
        }
    }
}
