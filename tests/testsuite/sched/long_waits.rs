//! Best-effort jobs that every host refuses, and how long they wait while most processors are free.

use super::{
    paused,
    world::{World, owned, step, until},
};
use assert_matches::assert_matches;
use lapisdrum::sched::{
    Cx,
    job::{JobId, Step},
    peer::{JobState, SubmitReply},
};
use std::{rc::Rc, time::Duration};

const LIMIT: Duration = Duration::from_secs(5);
/// Time within which a job that has nothing running runs while its turn has come and most capacity is free.
const MAX_WAIT: Duration = Duration::from_secs(3);
const SERVING: u64 = 1;

/// Serving tasks of one core, no two on one worker.
fn serving(count: u32) -> Vec<Step> {
    let mut step = step(count, 600_000, &[]);
    step.is_long_running = true;
    step.latency_target_ms = Some(50);
    step.image = Some("stream".to_owned());
    step.max_per_worker = Some(1);
    vec![step]
}

fn best_effort(estimate_ms: u64, cores: u64) -> Step {
    let mut step = step(1, estimate_ms, &[]);
    step.size.millicores = cores * 1_000;
    step.image = Some("render".to_owned());
    step.uses_leftover_cpu = true;
    step.is_checkpointing = true;
    step
}

/// A cluster of four workers with four cores each; a serving task holds one core of each.
async fn shared_cluster() -> (Rc<World>, Cx) {
    let world = World::new(4);
    let cx = world.daemon("a");
    owned(&cx, LIMIT).await;
    submit(&world, &cx, SERVING, serving(4)).await;
    until("the serving tasks run", LIMIT, async || {
        world.running().len() == 4
    })
    .await;
    (world, cx)
}

async fn submit(world: &World, cx: &Cx, id: u64, steps: Vec<Step>) {
    assert_matches!(world.submit(cx, id, steps).await, SubmitReply::Accepted);
}

fn runs(world: &World, id: u64) -> bool {
    world.running().iter().any(|run| run.task.job == JobId(id))
}

/// Guards against a best-effort job of an unknown image that every host refuses for as long as its serving tasks run.
#[test]
fn a_best_effort_job_of_an_unknown_image_runs_in_time() {
    paused(async {
        let (world, cx) = shared_cluster().await;
        submit(&world, &cx, 2, vec![best_effort(500, 2)]).await;
        until("the best-effort job runs", MAX_WAIT, async || {
            runs(&world, 2)
        })
        .await;
        until("it is completed", LIMIT, async || {
            world.state(&cx, 2).await == Some(JobState::Completed)
        })
        .await;
        world.check();
    });
}
