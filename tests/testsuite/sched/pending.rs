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
        event::Loss,
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

/// Guards against a run that counts as started by its order alone, and against one that a worker had confirmed and that
/// no longer counts once it is lost.
#[test]
fn only_an_answer_of_the_worker_shows_a_start() {
    let known = |order| RunKnowledge {
        order,
        stop: Stop::No,
    };
    for order in [Order::NotSent, Order::InFlight, Order::Unanswered] {
        assert!(!known(order).has_started());
        assert!(known(order).is_unstarted(Loss::Lapsed));
    }
    let answered = known(Order::Answered(Millis(1)));
    assert!(answered.has_started());
    assert!(!answered.is_unstarted(Loss::NotThere));
    let inherited = known(Order::Inherited);
    assert!(inherited.has_started());
    assert!(inherited.is_unstarted(Loss::NotThere));
    for why in [Loss::Lapsed, Loss::Reborn] {
        assert!(!inherited.is_unstarted(why));
    }
}
