//! Which worker a request goes to: the better of two drawn at random, by outstanding work.
//!
//! Load pattern: many daemons route at once from figures that are a little old. Without the random
//! draw all of them pick the same least loaded worker and bury it; two choices spread almost as
//! well as perfect knowledge.

use rand::Rng;

/// A worker that has room, as routing sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The caller's index for the worker.
    pub index: usize,
    /// Requests that this daemon has outstanding there.
    pub outstanding: u32,
}

/// Picks a worker, or none when there is no candidate.
pub fn choose(candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    let draw = |rng: &mut dyn rand::RngCore| candidates[rng.random_range(0..candidates.len())];
    if candidates.is_empty() {
        return None;
    }
    let (a, b) = (draw(rng), draw(rng));
    Some(if a.outstanding <= b.outstanding {
        a.index
    } else {
        b.index
    })
}
