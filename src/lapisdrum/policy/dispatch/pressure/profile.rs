//! Predicts the interference of pairs of images that have not run together, from pairs that have.
//!
//! Load pattern: some hundreds of pairs of serving and best-effort images, of which a few dozen run together in a
//! deployment's first seconds, and fewer in one shard. If each pair is measured separately, every new one is tried at
//! the expense of serving tasks, and a fifth of the best-effort tasks is throttled or stopped. But images contend for
//! few resources: caches, memory bandwidth, disks, links. Each best-effort image uses some of them and each serving
//! image is sensitive to some, so the interference matrix is close to a product of two narrow matrices, and three
//! measured pairs of an image are enough to predict its others.
//!
//! The matrices are fitted by alternating least squares over the pairs with evidence, regularised towards [`USUAL`].
//! The covariance of the factors is kept, so that predictions for images with little evidence have a high variance.

use super::Guess;
use nalgebra::{SMatrix, SVector};

/// Rank of the factorisation: the number of contended resources that are distinguished.
const CONTENDED: usize = 4;
/// Prior mean of each factor.
const USUAL: f64 = 0.35;
/// Prior precision of each factor.
const USUAL_PRECISION: f64 = 2.0;
/// Variance of a pair's interference around the product of its factors.
const SCATTER: f64 = 0.05;
/// Maximum variance of a prediction.
const MOST_VARIANCE: f64 = 0.5;
/// Maximum weight of one pair in a fit.
const MOST_PRECISION: f64 = 20.0;
/// Passes over both matrices per fit; each fit starts from the result of the previous one.
const SWEEPS: usize = 3;

type Factors = SVector<f64, CONTENDED>;
type Square = SMatrix<f64, CONTENDED, CONTENDED>;

/// Measured interference of a pair: one known entry of the interference matrix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cell {
    /// Number of the serving image.
    pub victim: usize,
    /// Number of the best-effort image.
    pub presser: usize,
    /// Mean interference for an aggressor that uses the whole host.
    pub mean: f64,
    /// Inverse variance of `mean`.
    pub precision: f64,
}

/// Factors of one image, as victim or as aggressor.
#[derive(Clone, Debug)]
struct Profile {
    factors: Factors,
    doubt: Square,
    is_met: bool,
}

/// Factors of all images, indexed by image number.
#[derive(Clone, Debug, Default)]
pub struct Profiles {
    victims: Vec<Profile>,
    pressers: Vec<Profile>,
}

impl Profile {
    /// Creates the profile of an image without measured pairs. Its initial factors depend on its number: from equal
    /// factors, alternating least squares would never separate them.
    fn unmet(number: usize) -> Self {
        let spread = |at: usize, _| {
            let turn = (number * CONTENDED + at) as f64 * 0.618_034;
            2.0 * USUAL * (0.25 + 0.75 * turn.fract())
        };
        Self {
            factors: Factors::from_fn(spread),
            doubt: Square::identity() / USUAL_PRECISION,
            is_met: false,
        }
    }

    /// Returns the fitted factors, or the prior mean if there are none.
    fn known(&self) -> Factors {
        match self.is_met {
            true => self.factors,
            false => Factors::repeat(USUAL),
        }
    }

    /// Fits the factors to measurements: the other image's factors, mean interference and precision of each.
    fn fitted<'a>(presses: impl Iterator<Item = (&'a Factors, f64, f64)>) -> Option<Self> {
        let mut square = Square::identity() * USUAL_PRECISION;
        let mut told = Factors::repeat(USUAL * USUAL_PRECISION);
        for (other, mean, precision) in presses {
            square += other * other.transpose() * precision;
            told += other * (mean * precision);
        }
        let solver = square.cholesky()?;
        Some(Self {
            factors: solver.solve(&told).map(|factor| factor.max(0.0)),
            doubt: solver.inverse(),
            is_met: true,
        })
    }
}

impl Profiles {
    /// Fits the factors of `images` images to the measured pairs.
    pub fn refit(&mut self, images: usize, cells: &[Cell]) {
        for side in [&mut self.victims, &mut self.pressers] {
            let known = side.len();
            side.extend((known..images).map(Profile::unmet));
        }
        let by_victim = grouped(images, cells, |cell| cell.victim);
        let by_presser = grouped(images, cells, |cell| cell.presser);
        for _ in 0..SWEEPS {
            fit_side(&mut self.victims, &self.pressers, &by_victim, |c| c.presser);
            fit_side(&mut self.pressers, &self.victims, &by_presser, |c| c.victim);
        }
    }

    /// Returns the predicted interference of a pair, by the numbers of its images.
    pub fn expected(&self, victim: usize, presser: usize) -> Guess {
        let unmet = Profile::unmet(0);
        let victim = self.victims.get(victim).unwrap_or(&unmet);
        let presser = self.pressers.get(presser).unwrap_or(&unmet);
        let (suffers, uses) = (victim.known(), presser.known());
        let of_victim = (uses.transpose() * victim.doubt * uses).x;
        let of_presser = (suffers.transpose() * presser.doubt * suffers).x;
        Guess {
            mean: suffers.dot(&uses),
            variance: (of_victim + of_presser + SCATTER).min(MOST_VARIANCE),
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
        let press = |cell: &Cell| {
            let factors = &other[of_other(cell)].factors;
            (factors, cell.mean, cell.precision.min(MOST_PRECISION))
        };
        if let Some(fitted) = Profile::fitted(cells.iter().map(press)) {
            *profile = fitted;
        }
    }
}
