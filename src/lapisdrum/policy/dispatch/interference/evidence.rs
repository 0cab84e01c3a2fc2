//! Measured interference between two images, kept as sums so that the evidence of several owners
//! can be added.

use super::Estimate;

/// Maximum precision of a pair's evidence: interference changes within seconds, so that more
/// evidence adds nothing.
const MAX_PRECISION: f64 = 60.0;

/// Precision-weighted sums over the interference measurements of one pair.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// The sum of the precisions (inverse variances) of the scaled measurements.
    pub precision: f64,
    /// The sum of the measured values, scaled to an aggressor that uses the whole host, each times
    /// its precision.
    pub weighted_sum: f64,
}

impl Evidence {
    /// Adds a measurement, with this variance, of the interference of a task using `share` of the
    /// host's processors.
    pub fn note(&mut self, share: f64, interference: f64, variance: f64) {
        self.precision += share * share / variance;
        self.weighted_sum += share * interference / variance;
        if self.precision > MAX_PRECISION {
            self.scale(MAX_PRECISION / self.precision);
        }
    }

    /// Scales the weight of all measurements by `factor`.
    pub fn scale(&mut self, factor: f64) {
        self.precision *= factor;
        self.weighted_sum *= factor;
    }

    /// Returns the combined evidence.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            precision: self.precision + other.precision,
            weighted_sum: self.weighted_sum + other.weighted_sum,
        }
    }

    /// Returns the mean interference for a task that uses the whole host; `None` without a
    /// measurement.
    pub fn mean(&self) -> Option<f64> {
        (self.precision > 0.0).then(|| (self.weighted_sum / self.precision).max(0.0))
    }

    /// Returns the posterior estimate for this prior.
    pub fn posterior(&self, prior: &Estimate) -> Estimate {
        let prior_precision = 1.0 / prior.variance;
        let precision = self.precision + prior_precision;
        Estimate {
            mean: ((self.weighted_sum + prior_precision * prior.mean) / precision).max(0.0),
            variance: 1.0 / precision,
        }
    }
}
