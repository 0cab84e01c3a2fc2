//! Ejection of slow and failing workers, up to a share of the pool.

use super::{seeded, worker};
use lapisdrum::{
    core::time::Millis,
    policy::outliers::{
        INITIAL_EJECTION, MAX_EJECTED_DIVISOR, MIN_SAMPLES, Outliers, RAMP_UP, Sample,
    },
};
use proptest::prelude::*;
use rand::Rng;
use std::time::Duration;

const POOL: usize = 12;

fn note(outliers: &mut Outliers, of: usize, sample: Sample, times: u32, now: Millis) -> bool {
    (0..times).any(|_| outliers.note(&worker(of), sample, POOL, now))
}

fn healthy_pool() -> Outliers {
    let mut outliers = Outliers::default();
    for w in 0..POOL {
        note(&mut outliers, w, Sample::Answered(1.0), 20, Millis(0));
    }
    outliers
}

proptest! {
    /// At most a third of the workers are ejected at any time.
    #[test]
    fn a_share_of_the_pool_is_kept(seed in any::<u64>(), pool in 1..20_usize) {
        let mut rng = seeded(seed);
        let mut outliers = Outliers::default();
        for step in 0..1_000_u64 {
            let now = Millis(step * 20);
            let sample = match rng.random_range(0..3) {
                0 => Sample::Failed,
                1 => Sample::Answered(rng.random_range(0.1..50.0)),
                _ => Sample::Answered(1.0),
            };
            outliers.note(&worker(rng.random_range(0..pool)), sample, pool, now);
            prop_assert!(outliers.ejected_count(now) * MAX_EJECTED_DIVISOR <= pool);
        }
    }
}

#[test]
fn a_slow_worker_is_ejected() {
    let mut outliers = healthy_pool();
    assert!(note(
        &mut outliers,
        0,
        Sample::Answered(10.0),
        10,
        Millis(0)
    ));
    assert!(outliers.is_ejected(&worker(0), Millis(0)));
}

#[test]
fn a_worker_that_fails_at_once_is_ejected() {
    let mut outliers = healthy_pool();
    assert!(note(
        &mut outliers,
        0,
        Sample::Failed,
        2 * MIN_SAMPLES,
        Millis(0)
    ));
    assert_eq!(outliers.draw_share(&worker(0), Millis(0)), 0.0);
}

/// Guards against ejections under general overload: every worker takes three times as long, so none
/// is an outlier.
#[test]
fn a_general_slowdown_ejects_no_worker() {
    let mut outliers = healthy_pool();
    for _ in 0..100 {
        for w in 0..POOL {
            assert!(!note(&mut outliers, w, Sample::Answered(3.0), 1, Millis(0)));
        }
    }
}

/// A worker whose ejection ended is drawn seldom at first, and as often as the others after the
/// ramp-up. If it is still slow, the next ejection lasts twice as long.
#[test]
fn an_ejected_worker_returns_gradually() {
    let mut outliers = healthy_pool();
    note(&mut outliers, 0, Sample::Answered(10.0), 10, Millis(0));
    let ejection_end = Millis(0) + INITIAL_EJECTION;
    assert_eq!(
        outliers.draw_share(&worker(0), ejection_end.before(Duration::from_millis(1))),
        0.0
    );
    assert!(outliers.draw_share(&worker(0), ejection_end) < 0.1);
    assert!(outliers.draw_share(&worker(0), ejection_end + RAMP_UP / 2) < 0.6);
    assert_eq!(outliers.draw_share(&worker(0), ejection_end + RAMP_UP), 1.0);
    assert!(note(
        &mut outliers,
        0,
        Sample::Answered(10.0),
        10,
        ejection_end
    ));
    let second = ejection_end + INITIAL_EJECTION * 2;
    assert!(outliers.is_ejected(&worker(0), second.before(Duration::from_millis(1))));
    assert!(!outliers.is_ejected(&worker(0), second));
}
