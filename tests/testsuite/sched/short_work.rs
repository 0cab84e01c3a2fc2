//! Short tasks and long-running ones of the same priority that compete for the same capacity.

use super::{
    paused,
    world::{World, owned, step, until},
};
use assert_matches::assert_matches;
use indexmap::IndexMap;
use lapisdrum::{
    core::time::Millis,
    policy::dispatch::short_work::{Class, ShortWork},
    sched::{
        Cx,
        job::Step,
        peer::{JobState, SubmitReply},
    },
};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(5);
/// The first id of a short job.
const FIRST_SHORT: u64 = 100;

fn long_running(count: u32, cores: u64) -> Vec<Step> {
    let mut step = step(count, 600_000, &[]);
    step.size.millicores = cores * 1_000;
    step.is_long_running = true;
    vec![step]
}

/// A cluster of four workers with four cores each, three of which a long-running job holds.
async fn nearly_full_cluster() -> (Rc<World>, Cx) {
    let world = World::new(4);
    let cx = world.daemon("a");
    owned(&cx, LIMIT).await;
    submit(&world, &cx, 1, long_running(4, 3)).await;
    until("the long-running job runs", LIMIT, async || {
        world.running().len() == 4
    })
    .await;
    (world, cx)
}

async fn submit(world: &World, cx: &Cx, id: u64, steps: Vec<Step>) {
    assert_matches!(world.submit(cx, id, steps).await, SubmitReply::Accepted);
}

async fn is_completed(world: &World, cx: &Cx, id: u64) -> bool {
    world.state(cx, id).await == Some(JobState::Completed)
}

/// Guards against short tasks that starve while long-running ones of their priority take every core that becomes free.
#[test]
fn new_long_running_tasks_are_placed_after_waiting_short_ones() {
    paused(async {
        let (world, cx) = nearly_full_cluster().await;
        let short = FIRST_SHORT..FIRST_SHORT + 12;
        for id in short.clone() {
            submit(&world, &cx, id, vec![step(1, 400, &[])]).await;
        }
        submit(&world, &cx, 2, long_running(4, 1)).await;
        // Three rounds of four tasks of 400 ms each, and as much again for orders and polls.
        until(
            "the short jobs are completed",
            Duration::from_millis(2_400),
            async || {
                let mut completed = 0;
                for id in short.clone() {
                    completed += usize::from(is_completed(&world, &cx, id).await);
                }
                completed == 12
            },
        )
        .await;
        world.check();
    });
}

/// Guards against long-running tasks that, in a short lull, take the cores that short ones need again 300 ms later.
#[test]
fn a_lull_gives_no_cores_of_short_tasks_to_long_running_ones() {
    paused(async {
        let (world, cx) = nearly_full_cluster().await;
        let mut late_jobs = 0;
        for round in 0..20 {
            let (id, submitted_at) = (FIRST_SHORT + round, Instant::now());
            submit(&world, &cx, id, vec![step(2, 200, &[])]).await;
            until("the short job is completed", LIMIT, async || {
                is_completed(&world, &cx, id).await
            })
            .await;
            late_jobs += usize::from(submitted_at.elapsed() > Duration::from_millis(600));
            if round == 3 {
                submit(&world, &cx, 2, long_running(4, 1)).await;
            }
            sleep(Duration::from_millis(300)).await;
        }
        assert_eq!(late_jobs, 0, "short jobs that waited for free cores");
        world.check();
    });
}

/// Guards against cores that stay reserved for short tasks after these have stopped coming.
#[test]
fn long_running_tasks_get_the_cores_once_no_short_ones_come() {
    paused(async {
        let (world, cx) = nearly_full_cluster().await;
        submit(&world, &cx, FIRST_SHORT, vec![step(4, 200, &[])]).await;
        submit(&world, &cx, 2, long_running(4, 1)).await;
        until("all long-running tasks run", LIMIT * 2, async || {
            world.running().len() == 8
        })
        .await;
        world.check();
    });
}

fn class(pool: &str, priority: u32) -> Class {
    Class {
        pool: pool.to_owned(),
        priority,
    }
}

/// Records that, at this second, waiting short tasks of the class ask for `waiting` millicores.
fn note_waiting(work: &mut ShortWork, class: &Class, waiting: u64, second: u64) {
    let waiting = IndexMap::from([(class.clone(), waiting)]);
    work.note_waiting(&waiting, Millis(second * 1_000));
}

/// Guards against long-running tasks that wait for less urgent short ones, or for those of another pool.
#[test]
fn only_short_tasks_of_the_pool_at_least_as_urgent_count() {
    let mut work = ShortWork::default();
    note_waiting(&mut work, &class("a", 1), 2_000, 0);
    assert_eq!(work.headroom(&class("a", 1), 100_000), 2_000);
    assert_eq!(work.headroom(&class("a", 2), 100_000), 2_000);
    assert_eq!(work.headroom(&class("a", 0), 100_000), 0);
    assert_eq!(work.headroom(&class("b", 1), 100_000), 0);
}

/// Guards against a backlog of short tasks that starves long-running ones.
#[test]
fn a_backlog_leaves_most_of_the_pool_to_long_running_tasks() {
    let mut work = ShortWork::default();
    note_waiting(&mut work, &class("a", 0), 1_000_000, 0);
    assert_eq!(work.headroom(&class("a", 0), 100_000), 12_500);
}

#[test]
fn headroom_for_short_tasks_outlives_a_lull_and_then_expires() {
    let mut work = ShortWork::default();
    let class = class("a", 0);
    work.note_placed(&class, 3_000);
    note_waiting(&mut work, &class, 1_000, 0);
    work.note_ended(&class, 3_000);
    note_waiting(&mut work, &class, 0, 5);
    assert_eq!(work.held("a"), 0);
    assert_eq!(work.headroom(&class, 100_000), 4_000);
    note_waiting(&mut work, &class, 0, 30);
    assert_eq!(work.headroom(&class, 100_000), 0);
}
