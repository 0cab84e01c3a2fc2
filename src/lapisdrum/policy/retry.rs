//! Whether a request is sent a second time.
//!
//! Load pattern: workers that fail, or refuse requests because they are full. Without a budget each
//! layer's retries multiply the load when there is least capacity for it, and an overload that
//! started with a short fault continues after the fault has ended.
//!
//! A request is sent again only if the first send certainly did not run or the entry is idempotent,
//! and only within a budget: each success earns [`RETRIES_PER_SUCCESS`] of a retry, each retry
//! spends one, and at most [`MAX_SAVED_RETRIES`] are saved. In the long run retries add at most a
//! tenth to the successful sends; where no send succeeds, retries stop after the saved ones. A
//! tenth covers the share of requests that reach a worker that has just died (one in 50 to 65 at
//! the present sizes).

/// Retries earned per successful send.
pub const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Largest number of saved retries; a new budget starts with it.
pub const MAX_SAVED_RETRIES: f64 = 10.0;

/// Outcome of a send that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request was never sent, or the worker reported that it did not run it.
    NotRun,
    /// Whether the request ran is not known.
    Unknown,
}

/// Whether a second send cannot cause a second run of a request that must run at most once.
pub fn is_retry_safe(failure: Failure, idempotent: bool) -> bool {
    match failure {
        Failure::NotRun => true,
        Failure::Unknown => idempotent,
    }
}

/// Retry budget of one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Earns a part of a retry after a worker answered.
    pub fn note_success(&mut self) {
        self.saved = (self.saved + RETRIES_PER_SUCCESS).min(MAX_SAVED_RETRIES);
    }

    /// Spends one retry after `failure` if a retry is safe and within the budget; returns whether
    /// to send again.
    #[must_use]
    pub fn try_retry(&mut self, failure: Failure, idempotent: bool) -> bool {
        if !is_retry_safe(failure, idempotent) || self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
