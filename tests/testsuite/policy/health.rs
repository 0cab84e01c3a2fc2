//! Telling workers that fail every job from jobs that fail on every worker.

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

/// Guards against a worker that fails every task within a second, is therefore always free and gets
/// the next one. It is ejected after three distinct jobs failed there.
#[test]
fn a_worker_that_fails_everything_is_ejected() {
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

/// Guards against ejecting workers for a job that can never run: the job is at fault, and its
/// failures do not count against the workers later.
#[test]
fn a_job_that_fails_everywhere_ejects_no_worker() {
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

/// Guards against a broken release that ejects worker after worker: 100 jobs of one entry run and
/// none succeeds.
#[test]
fn an_entry_that_fails_everywhere_ejects_few_workers() {
    let mut health = Health::default();
    let broken = entry("broken");
    for i in 0..100 {
        health.failed(&worker(i % POOL), &job(i), &broken, POOL, Millis(i as u64));
    }
    assert_eq!(health.ejected_count(Millis(100)), 0);
}

/// An ejected worker returns on probation, with one task at a time: a failure ejects it for longer,
/// a success makes it healthy.
#[test]
fn an_ejected_worker_returns_on_probation() {
    let mut health = Health::default();
    let render = entry("render");
    for i in 0..3 {
        health.failed(&worker(0), &job(i), &render, POOL, Millis(0));
    }
    let probation_start = Millis(30_000);
    assert_eq!(
        health.worker_state(&worker(0), probation_start),
        WorkerState::Probation
    );
    let verdict = health.failed(&worker(0), &job(9), &render, POOL, probation_start);
    assert_eq!(verdict, Verdict::WorkerEjected);
    assert_eq!(
        health.worker_state(&worker(0), probation_start + Duration::from_secs(59)),
        WorkerState::Ejected
    );
    assert_eq!(
        health.worker_state(&worker(0), probation_start + Duration::from_secs(60)),
        WorkerState::Probation
    );
    health.succeeded(&worker(0), &job(10), &render);
    assert_eq!(
        health.worker_state(&worker(0), probation_start),
        WorkerState::Healthy
    );
}

/// Guards against blaming jobs for broken workers: three workers fail the same three jobs one after
/// another. Failures on an ejected worker do not count against a job.
#[test]
fn failing_workers_do_not_put_a_job_at_fault() {
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
    /// At most a third of the workers are ejected at any time.
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
