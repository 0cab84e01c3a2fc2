//! Random numbers as the daemons draw them: jitter, tie-breaks and ids.
//!
//! Each process draws from one [`Random`], which a test seeds, so that a run with random faults can be
//! repeated.

use rand::{RngCore, SeedableRng, rngs::StdRng};
use std::cell::RefCell;

/// Source of random numbers of one process, shared by its components. Draw with `&mut &random`.
#[derive(Debug)]
pub struct Random(RefCell<StdRng>);

impl Random {
    /// Seeds the source from the operating system.
    pub fn from_system() -> Self {
        Self(RefCell::new(StdRng::from_os_rng()))
    }

    /// A source that always yields the same numbers for a seed.
    pub fn seeded(seed: u64) -> Self {
        Self(RefCell::new(StdRng::seed_from_u64(seed)))
    }
}

/// Of the reference, so that no borrow lasts beyond a draw, for example across an `await`.
impl RngCore for &Random {
    fn next_u32(&mut self) -> u32 {
        self.0.borrow_mut().next_u32()
    }

    fn next_u64(&mut self) -> u64 {
        self.0.borrow_mut().next_u64()
    }

    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        self.0.borrow_mut().fill_bytes(bytes);
    }
}
