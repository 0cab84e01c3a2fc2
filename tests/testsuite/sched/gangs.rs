//! Attempts of gangs, whose members fail together or one by one.

use super::{
    paused,
    world::{StoreBehaviour, World, owned, step, until},
};
use lapisdrum::{
    core::size::Size,
    sched::{
        Cx,
        job::{Gang, JobId, Step, TaskId},
        layout::ShardId,
        ledger::Task,
        peer::{JobState, SubmitReply},
    },
};
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(5);

/// A gang of two; a worker of four cores has room for both members if they are small.
fn gang(millicores: u64) -> Step {
    let small = step(2, 2_000, &[]);
    Step {
        gang: Gang::AnyRack,
        size: Size {
            millicores,
            ..small.size
        },
        ..small
    }
}

/// A gang that runs on two of three workers or on one, and its owner. The queue allows two attempts.
async fn running_gang(millicores: u64) -> (Rc<World>, Cx) {
    let world = World::new(3);
    let cx = world.daemon("a");
    owned(&cx, LIMIT).await;
    let reply = world.submit(&cx, 1, vec![gang(millicores)]).await;
    assert_eq!(reply, SubmitReply::Accepted);
    until("the gang runs", LIMIT, async || world.running().len() == 2).await;
    (world, cx)
}

fn member(index: u32) -> TaskId {
    TaskId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// State of a member as its owner has it.
fn task(cx: &Cx, index: u32) -> Task {
    let owner = cx.handle(ShardId(0)).owner.borrow().clone();
    let owner = owner.expect("the owner");
    let ledger = owner.ledger.borrow();
    ledger.task(&member(index)).expect("the member").clone()
}

/// The worker of a member's latest run.
fn worker_of(world: &World, index: u32) -> String {
    let starts = world.starts.borrow();
    let last = starts.iter().rfind(|(_, run, _)| run.task == member(index));
    last.expect("a start").2.clone()
}

async fn completed_by_second_run(world: &Rc<World>, cx: &Cx) {
    until("the job is completed", LIMIT * 2, async || {
        world.state(cx, 1).await == Some(JobState::Completed)
    })
    .await;
    assert_eq!([0, 1].map(|index| world.starts_of(&member(index))), [2, 2]);
    world.check();
}

/// Guards against a gang that uses up its attempts in one run, since each member that fails counts as an attempt.
#[test]
fn a_gang_whose_members_all_fail_in_a_run_has_failed_once() {
    // The ends are in one poll response, or in two.
    for millicores in [1_000, 3_000] {
        paused(async {
            let (world, cx) = running_gang(millicores).await;
            for worker in ["w0", "w1", "w2"] {
                world.fail_runs(worker);
            }
            completed_by_second_run(&world, &cx).await;
        });
    }
}

/// Guards against a gang that runs for ever because its failures are not counted.
#[test]
fn a_gang_that_always_fails_ends_after_its_attempts() {
    for millicores in [1_000, 3_000] {
        paused(async {
            let world = World::new(3);
            let cx = world.daemon("a");
            owned(&cx, LIMIT).await;
            world.fail_job(JobId(1));
            world.submit(&cx, 1, vec![gang(millicores)]).await;
            until("the job has failed", LIMIT * 2, async || {
                world.state(&cx, 1).await == Some(JobState::Failed)
            })
            .await;
            sleep(LIMIT).await;
            assert_eq!([0, 1].map(|index| world.starts_of(&member(index))), [2, 2]);
            world.check();
        });
    }
}

/// Guards against a gang that uses up its attempts in one run because its members' ends reach two owners.
#[test]
fn a_new_owner_does_not_count_a_run_of_a_gang_again() {
    for late in [0, 1] {
        paused(async {
            let (world, first) = running_gang(3_000).await;
            let second = world.daemon("b");
            let late_worker = worker_of(&world, late);
            world.lose_polls(&late_worker, true);
            for worker in ["w0", "w1", "w2"] {
                world.fail_runs(worker);
            }
            until("one member has failed", LIMIT, async || {
                task(&first, 1 - late).live.is_empty()
            })
            .await;
            sleep(Duration::from_millis(200)).await;
            assert_eq!(task(&first, late).live.len(), 1);
            world.set_store("a", StoreBehaviour::Unavailable);
            owned(&second, LIMIT).await;
            world.lose_polls(&late_worker, false);
            completed_by_second_run(&world, &second).await;
        });
    }
}
