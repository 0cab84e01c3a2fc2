//! Whether a request is sent a second time.
//!
//! Load pattern: workers that fail or turn requests away because they are full. Without a budget
//! each layer's retries multiply the load at the very moment when there is least room for it, and
//! an overload that began with a short fault goes on after the fault is gone.
//!
//! A send is repeated only when it truly was not run, or its entry is idempotent; and only under a
//! budget: each success earns [`EARNED`] of a retry, each retry spends one, and no more than
//! [`MOST_SAVED`] are kept. In the long run retries add at most a tenth to the sends that succeed,
//! and where nothing succeeds they end after the saved ones. A tenth is enough for the share of
//! requests that meet a worker that has just died (one in 50 to 65 at today's sizes).

/// Retries that one success earns.
pub const EARNED: f64 = 0.1;
/// Retries that can be saved up.
pub const MOST_SAVED: f64 = 10.0;

/// How a send ended that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It never left, or the worker said that it did not run it.
    NotRun,
    /// Nobody knows whether it ran.
    Unknown,
}

/// Whether a second send can run nothing twice that must not run twice.
pub fn is_safe(failure: Failure, idempotent: bool) -> bool {
    match failure {
        Failure::NotRun => true,
        Failure::Unknown => idempotent,
    }
}

/// Retries that one entry may still make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MOST_SAVED }
    }
}

impl RetryBudget {
    /// Notes that a worker answered.
    pub fn note_success(&mut self) {
        self.saved = (self.saved + EARNED).min(MOST_SAVED);
    }

    /// Spends one retry after `failure`, if it is safe and there is one.
    #[must_use]
    pub fn try_retry(&mut self, failure: Failure, idempotent: bool) -> bool {
        if !is_safe(failure, idempotent) || self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
