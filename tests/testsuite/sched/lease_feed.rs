//! Leases that are followed by the changes of their table.

use super::{
    paused,
    world::{FeedBehaviour, World, owns, step, until},
};
use assert_matches::assert_matches;
use lapisdrum::sched::{Cx, features::Features, layout::ShardId, lease, peer::SubmitReply};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(5);
const SHARDS: u16 = 4;
const WORKERS_PER_SHARD: usize = 2;

fn world(lease_feed: bool) -> Rc<World> {
    let world = World::new(usize::from(SHARDS) * WORKERS_PER_SHARD);
    world.workers_per_shard.set(WORKERS_PER_SHARD);
    world.features.set(Features {
        lease_feed,
        ..Features::default()
    });
    world
}

async fn all_owned(daemons: &[&Cx], limit: Duration) {
    let has_owner = |shard| daemons.iter().any(|cx| owns(cx, ShardId(shard)));
    until("all shards are owned", limit, async || {
        (0..SHARDS).all(has_owner)
    })
    .await;
}

/// Reads of leases by two daemons in ten seconds of calm.
async fn calm_reads(lease_feed: bool) -> usize {
    let world = world(lease_feed);
    let (first, second) = (world.daemon("a"), world.daemon("b"));
    all_owned(&[&first, &second], LIMIT).await;
    sleep(LIMIT).await;
    let reads = || world.lease_reads.get() + world.feed_reads.get();
    let before = reads();
    sleep(Duration::from_secs(10)).await;
    reads() - before
}

#[test]
fn one_call_reads_the_leases_of_all_shards() {
    paused(async {
        let in_turn = calm_reads(false).await;
        let by_feed = calm_reads(true).await;
        println!("{in_turn} reads in turn, {by_feed} by changes");
        assert!(by_feed * usize::from(SHARDS) <= in_turn + usize::from(SHARDS) * 4);
    });
}

/// Kills the daemon that owns shards and returns the time until the other one owns all of them.
async fn replacement_time(feed: FeedBehaviour) -> Duration {
    let world = world(true);
    let first = world.daemon("a");
    all_owned(&[&first], LIMIT * 2).await;
    assert_matches!(
        world.submit(&first, 1, vec![step(1, 60_000, &[])]).await,
        SubmitReply::Accepted
    );
    let second = world.daemon("b");
    sleep(LIMIT).await;
    world.feed.set(feed);
    sleep(LIMIT).await;
    assert!(
        first.owners().len() == usize::from(SHARDS),
        "nothing was taken over"
    );
    world.kill(&first);
    let killed_at = Instant::now();
    all_owned(&[&second], LIMIT * 4).await;
    world.check();
    killed_at.elapsed()
}

/// Guards against an owner that stays lost for longer than with reads in turn: the four shards are taken one after
/// another, each after a lease and its delay for the shards that the daemon owns already.
#[test]
fn a_lost_owner_is_replaced_with_a_feed_that_answers_or_fails() {
    paused(async {
        let bound = lease::TAKEOVER * u32::from(SHARDS);
        for feed in [FeedBehaviour::Current, FeedBehaviour::Dropped] {
            let took = replacement_time(feed).await;
            println!("{feed:?}: {took:?}");
            assert!(took < bound, "{feed:?}: {took:?}");
        }
    });
}

/// Guards against a live owner that is replaced, and against a lost one that is not, since changes are reported late.
#[test]
fn a_feed_that_is_behind_neither_replaces_nor_keeps_an_owner() {
    paused(async {
        let took = replacement_time(FeedBehaviour::BehindAfter(1)).await;
        assert!(took < lease::TAKEOVER * u32::from(SHARDS), "{took:?}");
    });
}
