//! Best-effort jobs while workers are slow, so that serving tasks miss their targets on all of them.

use super::{
    paused,
    world::{World, owned, step, until},
};
use lapisdrum::sched::{
    Cx,
    job::{JobId, Step, TaskId},
    peer::{JobState, SubmitReply},
};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(5);
/// Time for which an accepted job may have nothing running while its turn has come and most capacity is free.
const MAX_WAIT: Duration = Duration::from_secs(3);
const WORKERS: [&str; 4] = ["w0", "w1", "w2", "w3"];
const SERVING: u64 = 1;
const TARGET_MS: u32 = 50;

/// Serving tasks of one core, one on each worker.
fn serving() -> Vec<Step> {
    let mut step = step(4, 600_000, &[]);
    step.is_long_running = true;
    step.latency_target_ms = Some(TARGET_MS);
    step.image = Some("stream".to_owned());
    step.max_per_worker = Some(1);
    vec![step]
}

fn best_effort(count: u32, estimate_ms: u64) -> Step {
    let mut step = step(count, estimate_ms, &[]);
    step.size.millicores = 200;
    step.image = Some("render".to_owned());
    step.uses_leftover_cpu = true;
    step.is_checkpointing = true;
    step
}

/// A cluster of four workers with four cores each, all of which have turned slow; a serving task holds one core of each.
async fn slow_cluster() -> (Rc<World>, Cx) {
    let world = World::new(WORKERS.len());
    let cx = world.daemon("a");
    owned(&cx, LIMIT).await;
    submit(&world, &cx, SERVING, serving()).await;
    until("the serving tasks run", LIMIT, async || {
        world.running().len() == WORKERS.len()
    })
    .await;
    set_tails(&world, TARGET_MS / 5);
    sleep(Duration::from_secs(10)).await;
    set_tails(&world, TARGET_MS * 8);
    sleep(Duration::from_secs(10)).await;
    (world, cx)
}

fn set_tails(world: &World, tail_ms: u32) {
    for worker in WORKERS {
        world.set_gauge(worker, u64::from(tail_ms));
    }
}

async fn submit(world: &World, cx: &Cx, id: u64, steps: Vec<Step>) {
    assert_eq!(world.submit(cx, id, steps).await, SubmitReply::Accepted);
}

/// Longest time for which a job has nothing running, until it is completed.
async fn longest_wait(world: &World, cx: &Cx, id: u64, time: Duration) -> Duration {
    let started_at = Instant::now();
    let (mut longest, mut idle_since) = (Duration::ZERO, started_at);
    while world.state(cx, id).await != Some(JobState::Completed) {
        assert!(started_at.elapsed() < time, "the job is not completed");
        let now = Instant::now();
        if world.running().iter().any(|run| run.task.job == JobId(id)) {
            idle_since = now;
        }
        longest = longest.max(now - idle_since);
        sleep(Duration::from_millis(20)).await;
    }
    longest
}

/// Guards against best-effort jobs that wait beside free capacity for as long as slow workers let serving tasks miss
/// their targets.
#[test]
fn best_effort_jobs_run_beside_serving_tasks_that_miss_their_targets_anyway() {
    paused(async {
        let (world, cx) = slow_cluster().await;
        for id in 2..6 {
            submit(&world, &cx, id, vec![best_effort(4, 3_000)]).await;
        }
        for id in 2..6 {
            let wait = longest_wait(&world, &cx, id, Duration::from_secs(40)).await;
            assert!(wait <= MAX_WAIT, "nothing of job {id} runs for {wait:?}");
        }
        world.check();
    });
}

/// Guards against tasks that are stopped as stalled since they made no progress while they were paused.
#[test]
fn a_paused_task_does_not_count_as_stalled() {
    paused(async {
        let (world, cx) = slow_cluster().await;
        submit(&world, &cx, 2, vec![best_effort(4, 100_000)]).await;
        longest_wait(&world, &cx, 2, Duration::from_secs(600)).await;
        for index in 0..4 {
            let task = TaskId {
                job: JobId(2),
                occurrence: 0,
                step: 0,
                index,
            };
            assert_eq!(world.starts_of(&task), 1, "starts of task {index}");
        }
        world.check();
    });
}
