//! Predicts the interference of pairs of images that have not run together, from pairs that have.
//!
//! Load pattern: some hundreds of pairs of serving and best-effort images, of which a few dozen run
//! together in a deployment's first seconds, and fewer in one shard. If each pair is measured
//! separately, every new one is tried at the expense of serving tasks, and a fifth of the
//! best-effort tasks is throttled or stopped. But images contend for few resources: caches, memory
//! bandwidth, disks, links. Each best-effort image uses some of them and each serving image is
//! sensitive to some, so the interference matrix is close to a product of two narrow matrices, and
//! three measured pairs of an image are enough to predict its others.
//!
//! The matrices are fitted by alternating least squares over the pairs with evidence, regularised
//! towards `PRIOR_FACTOR`. The covariance of the factors is kept, so that predictions for images
//! with little evidence have a high variance.

use super::Estimate;
use nalgebra::{SMatrix, SVector};

/// Rank of the factorisation: the number of contended resources that are distinguished.
const RANK: usize = 4;
/// Prior mean of each factor.
const PRIOR_FACTOR: f64 = 0.35;
/// Prior precision of each factor.
const PRIOR_PRECISION: f64 = 2.0;
/// Variance of a pair's interference around the product of its factors.
const RESIDUAL_VARIANCE: f64 = 0.05;
/// Maximum variance of a prediction.
const MAX_VARIANCE: f64 = 0.5;
/// Maximum weight of one pair in a fit.
const MAX_PRECISION: f64 = 20.0;
/// Passes over both matrices per fit; each fit starts from the result of the previous one.
const SWEEPS: usize = 3;

type Factors = SVector<f64, RANK>;
type FactorMatrix = SMatrix<f64, RANK, RANK>;

/// Measured interference of a pair: one known entry of the interference matrix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cell {
    /// Index of the serving image.
    pub victim: usize,
    /// Index of the best-effort image.
    pub aggressor: usize,
    /// Mean interference for an aggressor that uses the whole host.
    pub mean: f64,
    /// Inverse variance of `mean`.
    pub precision: f64,
}

/// Factors of one image, as victim or as aggressor.
#[derive(Clone, Debug)]
struct Profile {
    factors: Factors,
    covariance: FactorMatrix,
    is_fitted: bool,
}

/// Factors of all images, indexed by image.
#[derive(Clone, Debug, Default)]
pub struct Profiles {
    victims: Vec<Profile>,
    aggressors: Vec<Profile>,
}

impl Profile {
    /// Creates the profile of an image without measured pairs. Its initial factors depend on its
    /// number: from equal factors, alternating least squares would never separate them.
    fn unfitted(number: usize) -> Self {
        let initial = |at: usize, _| {
            let turn = (number * RANK + at) as f64 * 0.618_034;
            2.0 * PRIOR_FACTOR * (0.25 + 0.75 * turn.fract())
        };
        Self {
            factors: Factors::from_fn(initial),
            covariance: FactorMatrix::identity() / PRIOR_PRECISION,
            is_fitted: false,
        }
    }

    /// Returns the fitted factors, or the prior mean if there are none.
    fn factors_or_prior(&self) -> Factors {
        match self.is_fitted {
            true => self.factors,
            false => Factors::repeat(PRIOR_FACTOR),
        }
    }

    /// Fits the factors to measurements: the other image's factors, mean interference and precision
    /// of each.
    fn fitted<'a>(measurements: impl Iterator<Item = (&'a Factors, f64, f64)>) -> Option<Self> {
        let mut information = FactorMatrix::identity() * PRIOR_PRECISION;
        let mut weighted_sum = Factors::repeat(PRIOR_FACTOR * PRIOR_PRECISION);
        for (other, mean, precision) in measurements {
            information += other * other.transpose() * precision;
            weighted_sum += other * (mean * precision);
        }
        let solver = information.cholesky()?;
        Some(Self {
            factors: solver.solve(&weighted_sum).map(|factor| factor.max(0.0)),
            covariance: solver.inverse(),
            is_fitted: true,
        })
    }
}

impl Profiles {
    /// Fits the factors of `images` images to the measured pairs.
    pub fn refit(&mut self, images: usize, cells: &[Cell]) {
        for side in [&mut self.victims, &mut self.aggressors] {
            let fitted = side.len();
            side.extend((fitted..images).map(Profile::unfitted));
        }
        let by_victim = grouped(images, cells, |cell| cell.victim);
        let by_aggressor = grouped(images, cells, |cell| cell.aggressor);
        for _ in 0..SWEEPS {
            fit_side(&mut self.victims, &self.aggressors, &by_victim, |c| {
                c.aggressor
            });
            fit_side(&mut self.aggressors, &self.victims, &by_aggressor, |c| {
                c.victim
            });
        }
    }

    /// Returns the predicted interference of a pair, by the numbers of its images.
    pub fn predicted(&self, victim: usize, aggressor: usize) -> Estimate {
        let unfitted = Profile::unfitted(0);
        let victim = self.victims.get(victim).unwrap_or(&unfitted);
        let aggressor = self.aggressors.get(aggressor).unwrap_or(&unfitted);
        let (sensitivity, usage) = (victim.factors_or_prior(), aggressor.factors_or_prior());
        let victim_variance = (usage.transpose() * victim.covariance * usage).x;
        let aggressor_variance = (sensitivity.transpose() * aggressor.covariance * sensitivity).x;
        Estimate {
            mean: sensitivity.dot(&usage),
            variance: (victim_variance + aggressor_variance + RESIDUAL_VARIANCE).min(MAX_VARIANCE),
        }
    }
}

fn grouped(images: usize, cells: &[Cell], by: impl Fn(&Cell) -> usize) -> Vec<Vec<Cell>> {
    let mut groups = vec![Vec::new(); images];
    for cell in cells {
        groups[by(cell)].push(*cell);
    }
    groups
}

fn fit_side(
    side: &mut [Profile],
    other: &[Profile],
    cells: &[Vec<Cell>],
    of_other: impl Fn(&Cell) -> usize,
) {
    for (profile, cells) in side.iter_mut().zip(cells) {
        if cells.is_empty() {
            continue;
        }
        let measurement = |cell: &Cell| {
            let factors = &other[of_other(cell)].factors;
            (factors, cell.mean, cell.precision.min(MAX_PRECISION))
        };
        if let Some(fitted) = Profile::fitted(cells.iter().map(measurement)) {
            *profile = fitted;
        }
    }
}
