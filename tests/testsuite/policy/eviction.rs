//! Throttling before eviction, the choice of the task, and no oscillation.

use super::{job, seeded, worker};
use lapisdrum::{
    core::{catalogue::Class, id::JobId, time::Millis},
    policy::eviction::{
        Distress, EVICTION_COOLDOWN, EvictionHistory, HostTask, MitigationStep,
        SAME_WORKER_COOLDOWN, SETTLE_TIME, select_for_eviction,
    },
};
use proptest::prelude::*;
use rand::Rng;
use std::time::Duration;

fn host_task(job: &JobId) -> HostTask<'_> {
    HostTask {
        job,
        class: Class::Batch,
        priority: 100,
        unsaved: Duration::from_secs(60),
        harm: 0.5,
        throttled: false,
    }
}

/// Guards against evicting a task that throttling would have been enough for: renders slow the
/// maps, and each step is taken only once the one before had time to show. The task with the most
/// harm is throttled first, then the other; eviction comes last.
#[test]
fn a_task_is_throttled_before_any_is_evicted() {
    let (quiet, noisy) = (job(0), job(1));
    let mut tasks = [
        host_task(&quiet),
        HostTask {
            harm: 2.5,
            ..host_task(&noisy)
        },
    ];
    let (mut distress, memory) = (Distress::default(), EvictionHistory::default());
    let mut order: Vec<(Millis, MitigationStep)> = Vec::new();
    for second in 1..60 {
        let now = Millis(second * 1_000);
        let measured = now.before(Duration::from_secs(3));
        for step in distress.report(3.0, measured, &tasks, &memory, now) {
            if let MitigationStep::Throttle(job) = &step {
                for host_task in tasks.iter_mut().filter(|t| t.job == job) {
                    host_task.throttled = true;
                }
            }
            order.push((now, step));
        }
    }
    assert_eq!(order[0].1, MitigationStep::Throttle(noisy.clone()));
    assert_eq!(order[1].1, MitigationStep::Throttle(quiet.clone()));
    assert_eq!(order[2].1, MitigationStep::Evict(noisy.clone()));
    for pair in order.windows(2) {
        assert!(
            pair[1].0.since(pair[0].0) > SETTLE_TIME,
            "a step had time to show"
        );
    }
}

/// Guards against a wave that ends before enough tasks are throttled: each of six renders slows the
/// maps by a half, and as many as needed are throttled in one step.
#[test]
fn a_wave_is_throttled_in_one_step() {
    let jobs: Vec<JobId> = (0..6).map(job).collect();
    let tasks: Vec<HostTask<'_>> = jobs.iter().map(host_task).collect();
    let (mut distress, memory) = (Distress::default(), EvictionHistory::default());
    assert!(
        distress
            .report(2.5, Millis(1), &tasks, &memory, Millis(5_001))
            .is_empty()
    );
    let steps = distress.report(2.5, Millis(5_001), &tasks, &memory, Millis(10_001));
    assert_eq!(
        steps.len(),
        3,
        "2.5 less three times 0.35 is out of distress: {steps:?}"
    );
}

/// On a busy host out of distress a throttled task is released if the host then stays out of
/// distress, and stays throttled otherwise.
#[test]
fn a_task_is_released_only_if_the_host_stays_out_of_distress() {
    let (mild, noisy) = (job(0), job(1));
    let mut tasks = [
        HostTask {
            throttled: true,
            harm: 0.1,
            ..host_task(&mild)
        },
        HostTask {
            throttled: true,
            harm: 0.9,
            ..host_task(&noisy)
        },
    ];
    let (mut distress, memory) = (Distress::default(), EvictionHistory::default());
    let mut steps = Vec::new();
    for second in 1..120 {
        let now = Millis(second * 1_000);
        for step in distress.report(1.3, now, &tasks, &memory, now) {
            tasks[0].throttled &= step != MitigationStep::Release(mild.clone());
            steps.push(step);
        }
    }
    assert_eq!(steps, [MitigationStep::Release(mild)]);
}

/// The task of the lowest priority is evicted; among equals the one that loses the least work.
#[test]
fn the_cheapest_task_is_evicted() {
    let (a, b, c) = (job(0), job(1), job(2));
    let tasks = [
        HostTask {
            unsaved: Duration::from_secs(1),
            ..host_task(&a)
        },
        HostTask {
            priority: 10,
            unsaved: Duration::from_secs(900),
            ..host_task(&b)
        },
        HostTask {
            priority: 10,
            unsaved: Duration::from_secs(30),
            ..host_task(&c)
        },
    ];
    let chosen = select_for_eviction(&tasks, &EvictionHistory::default(), Millis(0));
    assert_eq!(chosen.map(|t| t.job), Some(&c));
}

/// Services and long-running tasks are never evicted to mitigate interference.
#[test]
fn only_batch_work_is_evicted() {
    let stream = job(0);
    let tasks = [HostTask {
        class: Class::LongRunning,
        ..host_task(&stream)
    }];
    assert!(select_for_eviction(&tasks, &EvictionHistory::default(), Millis(0)).is_none());
}

/// Guards against tasks that are moved back and forth: an evicted task is neither placed on the
/// same worker soon, nor evicted again soon.
#[test]
fn an_evicted_task_is_not_moved_back_and_forth() {
    let (render, home) = (job(0), worker(0));
    let mut memory = EvictionHistory::default();
    memory.note(&render, &home, Millis(0));
    let soon = Millis(60_000);
    assert!(!memory.may_place(&render, &home, soon));
    assert!(memory.may_place(&render, &worker(1), soon));
    assert!(select_for_eviction(&[host_task(&render)], &memory, soon).is_none());
    assert!(
        select_for_eviction(
            &[host_task(&render)],
            &memory,
            Millis(0) + EVICTION_COOLDOWN
        )
        .is_some()
    );
    assert!(memory.may_place(&render, &home, Millis(0) + SAME_WORKER_COOLDOWN));
}

proptest! {
    /// However late the reports are, there is at most one step within the settle time, and no task
    /// is evicted twice within the cooldown.
    #[test]
    fn steps_are_a_settle_time_apart(seed in any::<u64>()) {
        let mut rng = seeded(seed);
        let jobs: Vec<JobId> = (0..4).map(job).collect();
        let mut throttled = [false; 4];
        let (mut distress, mut memory) = (Distress::default(), EvictionHistory::default());
        let mut last_step: Option<Millis> = None;
        let mut evicted: Vec<(JobId, Millis)> = Vec::new();
        for second in 0..600_u64 {
            let now = Millis(20_000 + second * 1_000);
            let lag = Duration::from_millis(rng.random_range(0..8_000));
            let slowdown = rng.random_range(0.9..2.5);
            let tasks: Vec<HostTask<'_>> = jobs
                .iter()
                .zip(throttled)
                .map(|(job, throttled)| HostTask { throttled, ..host_task(job) })
                .collect();
            let steps = distress.report(slowdown, now.before(lag), &tasks, &memory, now);
            if steps.is_empty() {
                continue;
            }
            if let Some(last) = last_step {
                prop_assert!(now.since(last) >= SETTLE_TIME);
            }
            last_step = Some(now);
            for step in steps {
                match step {
                    MitigationStep::Throttle(job) | MitigationStep::Release(job) => {
                        let index = jobs.iter().position(|j| *j == job).expect("known");
                        throttled[index] = !throttled[index];
                    }
                    MitigationStep::Evict(job) => {
                        let recent =
                            evicted.iter().any(|(j, at)| {
                                *j == job && now.since(*at) < EVICTION_COOLDOWN
                            });
                        prop_assert!(!recent);
                        memory.note(&job, &worker(0), now);
                        evicted.push((job, now));
                    }
                }
            }
        }
    }
}
