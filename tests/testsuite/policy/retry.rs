//! Which requests may be retried, and how many.

use lapisdrum::policy::retry::{
    Failure, MAX_SAVED_RETRIES, RETRIES_PER_SUCCESS, RetryBudget, is_retry_safe,
};
use proptest::prelude::*;

/// Guards against a certificate check that runs twice and yields two certificate numbers: a request
/// that may have run is not retried.
#[test]
fn only_what_did_not_run_or_is_idempotent_is_retried() {
    assert!(is_retry_safe(Failure::NotRun, false));
    assert!(is_retry_safe(Failure::NotRun, true));
    assert!(is_retry_safe(Failure::Unknown, true));
    assert!(!is_retry_safe(Failure::Unknown, false));
    assert!(!RetryBudget::default().try_retry(Failure::Unknown, false));
}

proptest! {
    /// Guards against a retry storm when workers refuse everything: retries never exceed the saved
    /// ones plus a tenth of the successes.
    #[test]
    fn retries_add_at_most_a_tenth(outcomes in prop::collection::vec(any::<bool>(), 1..2_000)) {
        let mut budget = RetryBudget::default();
        let (mut successes, mut retries) = (0_u32, 0_u32);
        for success in outcomes {
            if success {
                budget.note_success();
                successes += 1;
            } else if budget.try_retry(Failure::NotRun, false) {
                retries += 1;
            }
            prop_assert!(
                f64::from(retries)
                    <= MAX_SAVED_RETRIES + RETRIES_PER_SUCCESS * f64::from(successes) + 1e-6
            );
        }
    }
}

/// One request in sixty fails because its worker died: each is retried.
#[test]
fn a_few_failures_are_all_retried() {
    let mut budget = RetryBudget::default();
    for i in 0..10_000 {
        if i % 60 == 0 {
            assert!(budget.try_retry(Failure::NotRun, false));
        } else {
            budget.note_success();
        }
    }
}
