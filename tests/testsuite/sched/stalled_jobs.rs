//! What the metrics say of accepted jobs of which nothing runs.

use super::{
    paused,
    world::{StoreBehaviour, World, owned, step, until},
};
use lapisdrum::sched::{
    Cx,
    job::Step,
    layout::ShardId,
    owner::stalled_jobs::NotPlacing,
    peer::{JobState, SubmitReply},
};
use std::time::Duration;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(20);

fn stalled(waits_for: &str) -> String {
    format!("lapisdrum_sched_stalled_jobs{{waits_for=\"{waits_for}\"}} 1")
}

fn is_any_stalled(cx: &Cx) -> bool {
    let text = cx.metrics.text();
    let mut lines = text
        .lines()
        .filter(|line| line.starts_with("lapisdrum_sched_stalled_jobs{"));
    lines.any(|line| !line.ends_with(" 0"))
}

fn has(cx: &Cx, line: &str) -> bool {
    cx.metrics.text().lines().any(|l| l == line)
}

/// Guards against a short job that waits unnoticed: the gauge names what it waits for, and the stall is counted once.
#[test]
fn a_job_of_which_nothing_runs_is_counted_by_what_it_waits_for() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        world
            .submit(&cx, 1, vec![step(2, 5_000, &[]), step(1, 500, &[0])])
            .await;
        until("the tasks run", LIMIT, async || {
            world.running_on("w0").len() == 2
        })
        .await;
        sleep(Duration::from_secs(1)).await;
        assert!(!is_any_stalled(&cx));
        world.cut("w0", true);
        until("it waits for leases", LIMIT, async || {
            has(&cx, &stalled("LeaseEnd"))
        })
        .await;
        until("it waits for a host", LIMIT, async || {
            has(&cx, &stalled("Host"))
        })
        .await;
        world.add_worker("w1");
        until("it is no longer counted", LIMIT, async || {
            !is_any_stalled(&cx)
        })
        .await;
        assert!(has(&cx, "lapisdrum_sched_job_stalls_total 1"));
        until("the job is completed", LIMIT, async || {
            world.state(&cx, 1).await == Some(JobState::Completed)
        })
        .await;
        assert!(has(&cx, "lapisdrum_sched_job_stalls_total 1"));
    });
}

/// Guards against reports of jobs that run: one of several tasks that has found a host is enough.
#[test]
fn a_job_with_a_running_task_is_not_counted() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let unplaceable = Step {
            required_label: Some("none".to_owned()),
            ..step(1, 1_000, &[])
        };
        world
            .submit(&cx, 1, vec![step(1, 8_000, &[]), unplaceable])
            .await;
        sleep(Duration::from_secs(6)).await;
        assert!(!is_any_stalled(&cx));
        until("only the other step is left", LIMIT, async || {
            has(&cx, &stalled("Host"))
        })
        .await;
    });
}

/// Guards against a shard that places nothing for a reason that no line names.
#[test]
fn an_owner_says_why_it_places_nothing() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let reply = world.submit(&cx, 1, vec![step(1, 500, &[])]).await;
        assert_eq!(reply, SubmitReply::Accepted);
        let owner = cx.handle(ShardId(0)).owner.borrow().clone();
        let owner = owner.expect("the shard is owned");
        assert_eq!(owner.not_placing(&cx), None);
        world.set_store("a", StoreBehaviour::Unavailable);
        until("renewals are overdue", LIMIT, async || {
            owner.not_placing(&cx) == Some(NotPlacing::RenewalOverdue)
        })
        .await;
        world.set_store("a", StoreBehaviour::Up);
        until("it places again", LIMIT, async || {
            owner.not_placing(&cx).is_none()
        })
        .await;
    });
}
