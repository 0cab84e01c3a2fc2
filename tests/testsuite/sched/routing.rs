//! New short jobs that go to the shard which is expected to start them first.

use super::{
    layout::{homes_in, sole_owner_with, spec_of},
    paused,
    world::{World, step, until},
};
use lapisdrum::sched::{
    Cx,
    edge::Queue,
    features::Features,
    front::{self, Outcome},
    job::{JobId, Step},
    layout::ShardId,
    peer::JobState,
};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(8);
/// Time in which owners learn each other's load after the first job waits.
const EXCHANGE: Duration = Duration::from_millis(300);
const ROUTING: Features = Features {
    planned_handover: false,
    load_routing: true,
    fair_sharing: false,
    early_refusal: false,
    lease_feed: false,
    quick_recovery: false,
    far_slowdown: None,
};

/// A cluster of two shards with eight cores each, the first of which is full for `busy_ms`, and ids of further jobs
/// whose home it is.
async fn busy_shard(features: Features, busy_ms: u64) -> (Rc<World>, Cx, Queue, Vec<u64>) {
    let (world, cx, queue) = sole_owner_with(4, features).await;
    until("the workers are claimed", LIMIT, async || {
        let owners = cx.owners();
        owners
            .iter()
            .all(|owner| owner.open_workers(&cx).len() == 2)
    })
    .await;
    // The owners' first renewals say that they tell their load.
    sleep(Duration::from_secs(1)).await;
    let mut ids = homes_in(&cx, ShardId(0), 24);
    for id in ids.drain(..8) {
        submit(&world, &cx, &queue, id, vec![step(1, busy_ms, &[])]).await;
    }
    until("the shard is full", LIMIT, async || {
        world.running().len() == 8
    })
    .await;
    (world, cx, queue, ids)
}

async fn submit(world: &World, cx: &Cx, queue: &Queue, id: u64, steps: Vec<Step>) {
    world.register_steps(id, steps.clone());
    let submitted = front::submit(cx, queue, JobId(id), spec_of(steps)).await;
    assert_eq!(submitted, Outcome::Done(()));
}

async fn wait_completed(cx: &Cx, id: u64, limit: Duration) {
    until("the job is completed", limit, async || {
        front::show(cx, JobId(id)).await == Outcome::Done(JobState::Completed)
    })
    .await;
}

fn sent(cx: &Cx) -> usize {
    let owners = cx.owners();
    let sent = owners.iter().map(|owner| owner.ledger.borrow().sent.len());
    sent.sum()
}

/// Guards against short jobs that wait in a full shard beside free workers of another. The job is accepted once, found
/// by its id, and a repeated submission finds it although the loads have changed.
#[test]
fn a_short_job_goes_where_it_starts_sooner() {
    paused(async {
        let (world, cx, queue, ids) = busy_shard(ROUTING, 6_000).await;
        submit(&world, &cx, &queue, ids[0], vec![step(1, 100, &[])]).await;
        sleep(EXCHANGE).await;
        for id in &ids[1..5] {
            submit(&world, &cx, &queue, *id, vec![step(1, 100, &[])]).await;
        }
        assert_eq!(sent(&cx), 4);
        for id in &ids[1..5] {
            wait_completed(&cx, *id, Duration::from_secs(1)).await;
            submit(&world, &cx, &queue, *id, vec![step(1, 100, &[])]).await;
        }
        wait_completed(&cx, ids[0], LIMIT).await;
        assert_eq!(world.starts.borrow().len(), 8 + 5, "each task started once");
        world.check();
    });
}

/// Guards against jobs that are sent where no task of theirs fits, and against one shard that gets all of a burst: the
/// other one has eight cores.
#[test]
fn a_burst_is_divided_by_what_each_shard_can_start() {
    paused(async {
        let (world, cx, queue, ids) = busy_shard(ROUTING, 1_500).await;
        submit(&world, &cx, &queue, ids[0], vec![step(1, 100, &[])]).await;
        sleep(EXCHANGE).await;
        let wide = Step {
            size: lapisdrum::core::size::Size {
                millicores: 4_000,
                ..step(1, 1_000, &[]).size
            },
            ..step(1, 1_000, &[])
        };
        for id in &ids[1..] {
            submit(&world, &cx, &queue, *id, vec![wide.clone()]).await;
        }
        let sent = sent(&cx);
        assert!((1..=5).contains(&sent), "{sent} of 15 jobs are sent");
        for id in &ids {
            wait_completed(&cx, *id, 2 * LIMIT).await;
        }
        world.check();
    });
}

/// Guards against jobs that move although the feature is off, or although they start at once in their home.
#[test]
fn jobs_stay_at_home_without_the_feature_or_without_a_wait() {
    paused(async {
        let (world, cx, queue, ids) = busy_shard(Features::default(), 1_000).await;
        for id in &ids[..4] {
            submit(&world, &cx, &queue, *id, vec![step(1, 100, &[])]).await;
            sleep(EXCHANGE).await;
        }
        assert_eq!(sent(&cx), 0);
        let owner = cx.owners()[0].clone();
        let handle = Rc::clone(&owner.handle);
        let row = handle.lease.borrow().row.clone().expect("a row");
        assert!(!row.tells_load);
        world.check();
    });
    paused(async {
        let (world, cx, queue, ids) = busy_shard(ROUTING, 200).await;
        sleep(Duration::from_secs(1)).await;
        for id in &ids[..8] {
            submit(&world, &cx, &queue, *id, vec![step(1, 100, &[])]).await;
        }
        assert_eq!(sent(&cx), 0);
        world.check();
    });
}

/// Guards against submissions that wait for a shard that does not tell its load, or are sent by a digest from before its
/// owner was lost.
#[test]
fn a_job_does_not_wait_for_a_shard_that_tells_nothing() {
    paused(async {
        let (world, cx, queue, ids) = busy_shard(ROUTING, 3_000).await;
        submit(&world, &cx, &queue, ids[0], vec![step(1, 100, &[])]).await;
        sleep(EXCHANGE).await;
        let handle = cx.handle(ShardId(1));
        let owner = handle.owner.borrow().clone().expect("an owner");
        owner.mark_lost("lost by the test");
        sleep(Duration::from_millis(760)).await;
        let submitted_at = Instant::now();
        submit(&world, &cx, &queue, ids[1], vec![step(1, 100, &[])]).await;
        assert!(submitted_at.elapsed() < Duration::from_millis(100));
        assert_eq!(sent(&cx), 0);
        wait_completed(&cx, ids[1], LIMIT).await;
        world.check();
    });
}

/// Guards against a job that waits in the shard that accepted it, all of whose hosts are full for longer than callers
/// accept, beside free hosts of another shard: no digest of that one had come when the job was accepted.
#[test]
fn a_waiting_job_leaves_a_full_shard_for_one_that_starts_it_now() {
    paused(async {
        let (world, cx, queue, ids) = busy_shard(ROUTING, 20_000).await;
        submit(&world, &cx, &queue, ids[0], vec![step(1, 100, &[])]).await;
        assert_eq!(sent(&cx), 0, "the job is accepted where it waits");
        wait_completed(&cx, ids[0], Duration::from_secs(3)).await;
        submit(&world, &cx, &queue, ids[0], vec![step(1, 100, &[])]).await;
        assert_eq!(world.starts.borrow().len(), 8 + 1, "each task started once");
        world.check();
    });
}
