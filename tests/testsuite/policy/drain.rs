//! The measured drain rate of a queue, and retry times spread over the time that it takes to drain.

use super::seeded;
use lapisdrum::{
    core::time::Millis,
    policy::drain::{DrainRate, MAX_RETRY_AFTER, MIN_RETRY_AFTER, RetrySchedule},
};
use proptest::prelude::*;
use std::time::Duration;

/// Guards against idle time that lowers the drain rate: the queue is empty nine tenths of the time
/// and drains 100 items a second otherwise.
#[test]
fn idle_time_does_not_count() {
    let mut rate = DrainRate::default();
    for second in 0..10 {
        let start = Millis(second * 1_000);
        rate.note_busy(start);
        for i in 1..=10 {
            rate.note(start + Duration::from_millis(i * 10));
        }
        rate.note_idle(start + Duration::from_millis(100));
    }
    let measured = rate
        .per_second(Millis(10_000))
        .expect("enough was measured");
    assert!((95.0..105.0).contains(&measured), "{measured}");
}

/// Guards against a drain rate that stays high while all workers hang and the queue waits; callers
/// would get retry times based on the rate before.
#[test]
fn a_stalled_queue_has_a_falling_drain_rate() {
    let mut rate = DrainRate::default();
    rate.note_busy(Millis(0));
    for i in 1..=100 {
        rate.note(Millis(i * 10));
    }
    let before = rate.per_second(Millis(1_000)).expect("enough was measured");
    let after = rate
        .per_second(Millis(11_000))
        .expect("enough was measured");
    assert!(after < before / 10.0, "{before} and {after}");
}

/// Guards against refused callers that all retry together: 1000 are refused at once by a queue that
/// drains 100 a second. No half second gets more than twice what can be served in it, and no retry
/// time exceeds the maximum.
#[test]
fn retries_are_spread_over_the_time_that_serving_them_takes() {
    let mut rng = seeded(3);
    let mut retry_schedule = RetrySchedule::default();
    let mut per_half_second = [0_u32; 62];
    for _ in 0..1_000 {
        let retry_after = retry_schedule.next_retry_after(
            Duration::from_millis(300),
            Some(100.0),
            Millis(0),
            &mut rng,
        );
        per_half_second[usize::try_from(retry_after.as_millis() / 500).expect("bounded")] += 1;
    }
    let busiest = per_half_second.iter().max().copied().unwrap_or_default();
    assert!(busiest <= 2 * 50, "{busiest} return within one half second");
    let window = per_half_second.iter().filter(|n| **n > 0).count();
    assert!(window >= 18, "returns within {window} half seconds");
}

proptest! {
    /// The retry time stays between its minimum and its maximum plus jitter, whatever the measured
    /// rate.
    #[test]
    fn retry_times_are_bounded(
        seed in any::<u64>(),
        wait_ms in 0..10_000_000_u64,
        rate in prop::option::of(0.0..1e6_f64),
        refusals in 1..200_usize,
    ) {
        let mut rng = seeded(seed);
        let mut retry_schedule = RetrySchedule::default();
        for i in 0..refusals {
            let now = Millis(i as u64);
            let retry_after = retry_schedule.next_retry_after(Duration::from_millis(wait_ms), rate, now, &mut rng);
            prop_assert!(retry_after >= MIN_RETRY_AFTER);
            prop_assert!(retry_after <= MAX_RETRY_AFTER + MAX_RETRY_AFTER / 4);
        }
    }
}
