//! Measured interference between two images, kept as sums so that the evidence of several owners can be added.

use super::Guess;

/// Maximum precision of a pair's evidence: interference changes within seconds, so that more evidence adds nothing.
const MOST_PRECISION: f64 = 60.0;

/// Precision-weighted sums over the interference measurements of one pair.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// The sum of the precisions (inverse variances) of all measurements.
    pub precision: f64,
    /// The sum of the measured values, each times its precision.
    pub weighted: f64,
}

impl Evidence {
    /// Adds a measurement of the interference `press`, caused by a task that uses `share` of the host's processors.
    pub fn note(&mut self, share: f64, press: f64, variance: f64) {
        self.precision += share * share / variance;
        self.weighted += share * press / variance;
        if self.precision > MOST_PRECISION {
            self.fade(MOST_PRECISION / self.precision);
        }
    }

    /// Scales the weight of all measurements by the factor `part`.
    pub fn fade(&mut self, part: f64) {
        self.precision *= part;
        self.weighted *= part;
    }

    /// Returns the combined evidence.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            precision: self.precision + other.precision,
            weighted: self.weighted + other.weighted,
        }
    }

    /// Returns the mean interference for a task that uses the whole host; none without a measurement.
    pub fn mean(&self) -> Option<f64> {
        (self.precision > 0.0).then(|| (self.weighted / self.precision).max(0.0))
    }

    /// Returns the posterior estimate for the prior `expected`.
    pub fn believed(&self, expected: &Guess) -> Guess {
        let prior = 1.0 / expected.variance;
        let precision = self.precision + prior;
        Guess {
            mean: ((self.weighted + prior * expected.mean) / precision).max(0.0),
            variance: 1.0 / precision,
        }
    }
}
