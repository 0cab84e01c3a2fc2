//! Workers that fail everything are told apart from jobs that fail everywhere.

use super::{entry, job, seeded, worker};
use lapisdrum::{
    core::time::Millis,
    policy::health::{
        Health, MIN_DISTINCT_FAILURES, MIN_WORKERS_PER_EJECTION, Verdict, WorkerState,
    },
};
use proptest::prelude::*;
use rand::Rng;
use std::time::Duration;

const POOL: usize = 12;

/// One worker fails every task it starts within a second, so it is always free and draws the next.
/// After three distinct jobs it is set aside, and the jobs run elsewhere without blame.
#[test]
fn a_worker_that_fails_everything_is_set_aside() {
    let mut health = Health::default();
    let render = entry("render");
    for i in 0..2 {
        let verdict = health.failed(&worker(0), &job(i), &render, POOL, Millis(0));
        assert_eq!(verdict, Verdict::NoChange);
    }
    let verdict = health.failed(&worker(0), &job(2), &render, POOL, Millis(0));
    assert_eq!(verdict, Verdict::WorkerEjected);
    assert_eq!(
        health.worker_state(&worker(0), Millis(1)),
        WorkerState::Ejected
    );
    assert_eq!(
        health.worker_state(&worker(1), Millis(1)),
        WorkerState::Healthy
    );
}

/// A job that can never run is tried on worker after worker. The job is named at fault, no worker is
/// set aside, and none has to answer for it later.
#[test]
fn a_job_that_fails_everywhere_sets_no_worker_aside() {
    let mut health = Health::default();
    let broken = entry("broken");
    for i in 0..50 {
        for w in 0..MIN_DISTINCT_FAILURES {
            let verdict = health.failed(&worker(w), &job(i), &broken, POOL, Millis(0));
            let expected = match w + 1 == MIN_DISTINCT_FAILURES {
                true => Verdict::JobAtFault,
                false => Verdict::NoChange,
            };
            assert_eq!(verdict, expected, "job {i} on worker {w}");
        }
    }
    assert_eq!(health.ejected_count(Millis(0)), 0);
}

/// A broken release: a hundred jobs of one entry are tried, none succeeds. The first worker may be
/// suspected for it, but not one after another.
#[test]
fn an_entry_that_fails_everywhere_sets_few_workers_aside() {
    let mut health = Health::default();
    let broken = entry("broken");
    for i in 0..100 {
        health.failed(&worker(i % POOL), &job(i), &broken, POOL, Millis(i as u64));
    }
    assert_eq!(health.ejected_count(Millis(100)), 0);
}

/// The worker comes back with one task at a time: a failure sends it away for longer, a success
/// clears it.
#[test]
fn a_worker_comes_back_slowly() {
    let mut health = Health::default();
    let render = entry("render");
    for i in 0..3 {
        health.failed(&worker(0), &job(i), &render, POOL, Millis(0));
    }
    let back = Millis(30_000);
    assert_eq!(
        health.worker_state(&worker(0), back),
        WorkerState::Probation
    );
    let verdict = health.failed(&worker(0), &job(9), &render, POOL, back);
    assert_eq!(verdict, Verdict::WorkerEjected);
    assert_eq!(
        health.worker_state(&worker(0), back + Duration::from_secs(59)),
        WorkerState::Ejected
    );
    assert_eq!(
        health.worker_state(&worker(0), back + Duration::from_secs(60)),
        WorkerState::Probation
    );
    health.succeeded(&worker(0), &job(10), &render);
    assert_eq!(health.worker_state(&worker(0), back), WorkerState::Healthy);
}

/// Three broken workers fail the same three jobs one after another. Each is set aside, and no job is
/// condemned for it: a worker that is aside is no witness against a job.
#[test]
fn bad_workers_do_not_condemn_a_job() {
    let mut health = Health::default();
    let render = entry("render");
    for w in 0..3 {
        health.succeeded(&worker(9), &job(9), &render);
        for i in 0..3 {
            let verdict = health.failed(&worker(w), &job(i), &render, POOL, Millis(0));
            assert_ne!(verdict, Verdict::JobAtFault, "job {i} on worker {w}");
        }
    }
    assert_eq!(health.ejected_count(Millis(0)), 3);
}

proptest! {
    /// Whatever fails, at most a third of the workers are aside.
    #[test]
    fn a_share_of_the_pool_is_kept(seed in any::<u64>(), pool in 1..20_usize) {
        let mut rng = seeded(seed);
        let mut health = Health::default();
        for step in 0..500_u64 {
            let now = Millis(step * 100);
            let (w, j) = (rng.random_range(0..pool), rng.random_range(0..200));
            health.failed(&worker(w), &job(j), &entry("e"), pool, now);
            prop_assert!(health.ejected_count(now) * MIN_WORKERS_PER_EJECTION <= pool);
        }
    }
}
