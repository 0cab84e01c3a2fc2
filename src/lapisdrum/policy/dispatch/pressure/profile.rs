//! Tells from the pairs of images that have met how much others would press on each other.
//!
//! Load pattern: some hundreds of pairs of serving and best-effort images, of which a deployment's first seconds
//! show a few dozen, one owner still fewer. Learned pair by pair, each unknown one is tried on tasks that
//! serve users, and a fifth of the best-effort tasks has to give way again. But images contend for few
//! things: caches, memory bandwidth, disks, links. Each best-effort image uses some of them and each serving
//! image suffers from some, so the presses are nearly a product of two narrow matrices, and an image that has met
//! three others is known towards the rest.
//!
//! The matrices are fitted by alternating least squares over the pairs with evidence, drawn towards what is usual
//! ([`USUAL`]). Each factor has its doubt, so that an image of which little is known is not taken for known.

use super::Guess;
use nalgebra::{SMatrix, SVector};

/// Things that images contend for are told apart up to so many.
const CONTENDED: usize = 4;
/// A factor of an image of which nothing is known.
const USUAL: f64 = 0.35;
/// Precision of that.
const USUAL_PRECISION: f64 = 2.0;
/// Variance of a press around the product of its factors.
const SCATTER: f64 = 0.05;
/// Variance of a press of which nothing is known.
const MOST_VARIANCE: f64 = 0.5;
/// Most that the evidence of one pair counts beside that of others.
const MOST_PRECISION: f64 = 20.0;
/// Passes over both matrices at each fit; a fit goes on where the one before ended.
const SWEEPS: usize = 3;

type Factors = SVector<f64, CONTENDED>;
type Square = SMatrix<f64, CONTENDED, CONTENDED>;

/// What was measured of a pair.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cell {
    /// The number of the image that suffers.
    pub victim: usize,
    /// The number of the image that presses.
    pub presser: usize,
    /// The press measured.
    pub mean: f64,
    /// Its precision.
    pub precision: f64,
}

/// One image's factors.
#[derive(Clone, Debug)]
struct Profile {
    factors: Factors,
    doubt: Square,
    is_met: bool,
}

/// The factors of all images, by their numbers.
#[derive(Clone, Debug, Default)]
pub struct Profiles {
    victims: Vec<Profile>,
    pressers: Vec<Profile>,
}

impl Profile {
    /// An image that has met nobody. Its first factors differ from those of others: were all alike, every sweep
    /// would leave them so.
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

    /// The factors to go by.
    fn known(&self) -> Factors {
        match self.is_met {
            true => self.factors,
            false => Factors::repeat(USUAL),
        }
    }

    /// The factors that explain these presses best, each given with the other image's factors and its precision.
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
    /// Fits the factors of `images` images to what was measured.
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

    /// The press expected of a pair, by the numbers of its images.
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
