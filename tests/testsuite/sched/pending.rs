//! Jobs that wait: none of their tasks has started.

use super::{
    paused,
    world::{StoreBehaviour, World, owned, step, until},
};
use assert_matches::assert_matches;
use lapisdrum::{
    core::time::Millis,
    sched::{
        Cx,
        layout::ShardId,
        owner::jobs,
        peer::{JobState, SubmitReply},
        resolution::{Order, RunKnowledge, Stop},
    },
};
use std::time::Duration;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(5);

async fn pending(cx: &Cx) -> Option<u64> {
    let owner = cx.handle(ShardId(0)).owner.borrow().clone();
    jobs::pending(cx, &owner.expect("the owner"), "maps").await
}

/// Guards against jobs that count as started because they were placed on a worker that had crashed before.
#[test]
fn a_job_placed_on_a_silent_worker_is_pending() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        sleep(Duration::from_secs(1)).await;
        world.cut("w0", true);
        for job in 1..=4 {
            let submitted = world.submit(&cx, job, vec![step(1, 60_000, &[])]).await;
            assert_matches!(submitted, SubmitReply::Accepted);
        }
        for _ in 0..20 {
            sleep(Duration::from_millis(500)).await;
            assert_eq!(pending(&cx).await, Some(4));
            assert_eq!(world.state(&cx, 1).await, Some(JobState::Queued));
        }
        world.add_worker("w1");
        until("the jobs have started", LIMIT, async || {
            pending(&cx).await == Some(0)
        })
        .await;
        assert_eq!(world.running_on("w1").len(), 4);
        assert_eq!(world.state(&cx, 1).await, Some(JobState::Running));
        world.check();
    });
}

/// Guards against a job that waits again after its task had started and was lost, also for the next owner.
#[test]
fn a_job_whose_task_was_lost_has_started() {
    paused(async {
        let world = World::new(1);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        let submitted = world.submit(&first, 1, vec![step(1, 60_000, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("the task runs", LIMIT, async || {
            pending(&first).await == Some(0)
        })
        .await;
        world.crash("w0");
        sleep(LIMIT * 2).await;
        let second = world.daemon("b");
        assert_eq!(pending(&first).await, Some(0));
        assert_eq!(world.state(&first, 1).await, Some(JobState::Running));
        world.set_store("a", StoreBehaviour::Unavailable);
        owned(&second, LIMIT).await;
        assert_eq!(pending(&second).await, Some(0));
        assert_eq!(world.state(&second, 1).await, Some(JobState::Running));
    });
}

/// Guards against jobs that the next owner tells as running because they were placed on a worker that was lost before.
#[test]
fn a_job_placed_on_a_silent_worker_is_pending_after_a_take_over() {
    paused(async {
        let world = World::new(1);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        sleep(Duration::from_secs(1)).await;
        world.cut("w0", true);
        for job in 1..=4 {
            let submitted = world.submit(&first, job, vec![step(1, 60_000, &[])]).await;
            assert_matches!(submitted, SubmitReply::Accepted);
        }
        let second = world.daemon("b");
        world.set_store("a", StoreBehaviour::Unavailable);
        owned(&second, LIMIT).await;
        until("the shard is recovered", LIMIT, async || {
            pending(&second).await.is_some()
        })
        .await;
        for _ in 0..20 {
            assert_eq!(pending(&second).await, Some(4));
            assert_eq!(world.state(&second, 1).await, Some(JobState::Queued));
            sleep(Duration::from_millis(500)).await;
        }
        world.cut("w0", false);
        until("the jobs have started", LIMIT, async || {
            pending(&second).await == Some(0)
        })
        .await;
        world.check();
    });
}

/// Guards against a job that ran and waits again for its callers once its worker and its owner are lost together.
#[test]
fn a_job_that_runs_is_not_pending_after_its_worker_and_owner_are_lost() {
    paused(async {
        let world = World::new(2);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        let submitted = world.submit(&first, 1, vec![step(1, 60_000, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("the task runs", LIMIT, async || {
            pending(&first).await == Some(0)
        })
        .await;
        sleep(Duration::from_secs(1)).await;
        let second = world.daemon("b");
        for worker in ["w0", "w1"] {
            world.cut(worker, true);
        }
        world.set_store("a", StoreBehaviour::Unavailable);
        owned(&second, LIMIT).await;
        until("the shard is recovered", LIMIT, async || {
            pending(&second).await.is_some()
        })
        .await;
        for _ in 0..20 {
            assert_eq!(pending(&second).await, Some(0));
            assert_eq!(world.state(&second, 1).await, Some(JobState::Running));
            sleep(Duration::from_millis(500)).await;
        }
    });
}

/// Guards against a run that counts as started by its order or its placement alone.
#[test]
fn only_an_answer_of_the_worker_to_some_owner_shows_a_start() {
    let known = |order| RunKnowledge {
        order,
        stop: Stop::No,
    };
    let unknown = Order::Inherited { has_started: false };
    for order in [Order::NotSent, Order::InFlight, Order::Unanswered, unknown] {
        assert!(!known(order).has_started());
    }
    for order in [
        Order::Answered(Millis(1)),
        Order::Inherited { has_started: true },
    ] {
        assert!(known(order).has_started());
    }
}
