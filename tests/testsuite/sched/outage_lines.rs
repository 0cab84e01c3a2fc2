//! What the metrics say of long-running tasks that do not run.

use super::{
    paused,
    world::{World, owned, step, until},
};
use lapisdrum::sched::{Cx, job::Step};
use std::time::Duration;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(20);

fn long_running() -> Step {
    Step {
        is_long_running: true,
        ..step(1, 60_000, &[])
    }
}

fn overdue(waits_for: &str) -> String {
    format!("lapisdrum_sched_long_running_overdue{{waits_for=\"{waits_for}\"}} 1")
}

fn is_any_overdue(cx: &Cx) -> bool {
    let text = cx.metrics.text();
    let mut lines = text
        .lines()
        .filter(|line| line.starts_with("lapisdrum_sched_long_running_overdue"));
    lines.any(|line| !line.ends_with(" 0"))
}

/// Guards against a long-running task that is down unnoticed: the gauge names what it waits for, and the outage is
/// counted once.
#[test]
fn an_interrupted_task_is_counted_by_what_it_waits_for() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        world.submit(&cx, 1, vec![long_running()]).await;
        until("the task runs", LIMIT, async || {
            world.running_on("w0").len() == 1
        })
        .await;
        sleep(Duration::from_secs(1)).await;
        assert!(!is_any_overdue(&cx));
        world.cut("w0", true);
        until("it waits for its lease", LIMIT, async || {
            cx.metrics.text().contains(&overdue("LeaseEnd"))
        })
        .await;
        until("it waits for a host", LIMIT, async || {
            cx.metrics.text().contains(&overdue("Host"))
        })
        .await;
        world.add_worker("w1");
        until("the task runs elsewhere", LIMIT, async || {
            world.running_on("w1").len() == 1
        })
        .await;
        until("it is no longer counted", LIMIT, async || {
            !is_any_overdue(&cx)
        })
        .await;
        let text = cx.metrics.text();
        assert!(
            text.contains("lapisdrum_sched_long_running_outages_total 1"),
            "{text}"
        );
    });
}
