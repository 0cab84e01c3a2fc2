//! Failures of tasks on workers, after which other workers are tried first.

use super::{
    paused,
    world::{World, owned, step, until},
};
use assert_matches::assert_matches;
use lapisdrum::{
    core::time::Millis,
    sched::{
        job::{JobId, Step, TaskId},
        owner::failed_on::FailedOn,
        peer::{CancelReply, SubmitReply},
    },
};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(10);
const TASK: TaskId = TaskId {
    job: JobId(1),
    occurrence: 0,
    step: 0,
    index: 0,
};

/// Guards against a long-running task for which no host is kept any more, since it has failed once on each.
#[test]
fn a_failure_counts_for_a_minute_only() {
    let mut failed_on = FailedOn::default();
    for minute in 0..60 {
        failed_on.note(&TASK, &format!("w{minute}"), Millis(minute * 60_000));
    }
    let now = Millis(59 * 60_000 + 59_000);
    let has_failed = failed_on.recent(&TASK, now);
    assert!(has_failed("w59"));
    for minute in 0..59 {
        assert!(!has_failed(&format!("w{minute}")));
    }
    let has_failed = failed_on.recent(&TASK, now + Duration::from_secs(1));
    assert!(!has_failed("w59"));
}

/// Guards against failures of ended jobs that are remembered for as long as their shard has the same owner.
#[test]
fn failures_of_an_ended_job_are_forgotten() {
    paused(async {
        let world = World::new(2);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        world.fail_job(JobId(1));
        let long_running = Step {
            is_long_running: true,
            ..step(2, 100, &[])
        };
        let submitted = world.submit(&cx, 1, vec![long_running]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        let owner = cx.owners().remove(0);
        until("both tasks have failed", LIMIT, async || {
            owner.failed_on.borrow().len() == 2
        })
        .await;
        assert_matches!(world.cancel(&cx, 1).await, CancelReply::Done);
        until("the failures are forgotten", LIMIT, async || {
            owner.failed_on.borrow().is_empty()
        })
        .await;
    });
}
