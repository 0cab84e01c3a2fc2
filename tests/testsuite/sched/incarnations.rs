//! Workers that start again under their id, at any time of day.

use super::{
    paused,
    world::{World, owned, step, until},
};
use assert_matches::assert_matches;
use lapisdrum::{
    core::time::{Millis, WorkerMillis},
    sched::{
        Cx,
        layout::ShardId,
        owner::{Owner, poll},
        peer::{CancelReply, JobState, SubmitReply},
        resolution::{IncarnationVerdict, KnownIncarnation, judge_incarnation},
    },
};
use proptest::{collection::vec, prelude::*};
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(5);
/// Time that a poll response is under way, if it is overtaken by a later one.
const SLOW_RESPONSE: Duration = Duration::from_millis(1_500);

fn owner_of(cx: &Cx) -> Rc<Owner> {
    let owner = cx.handle(ShardId(0)).owner.borrow().clone();
    owner.expect("the owner")
}

async fn check_completed(world: &Rc<World>, cx: &Cx, job: u64) {
    let submitted = world.submit(cx, job, vec![step(1, 2_500, &[])]).await;
    assert_matches!(submitted, SubmitReply::Accepted);
    until("the job is completed", LIMIT * 2, async || {
        world.state(cx, job).await == Some(JobState::Completed)
    })
    .await;
}

/// Guards against a worker that is never used again because it started after its time of day was set back.
#[test]
fn a_worker_whose_time_of_day_was_set_back_is_used_again() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        for (job, incarnation) in [(1, 7), (2, 4), (3, 5), (4, 1)] {
            world.crash("w0");
            sleep(Duration::from_millis(100)).await;
            world.restart_as("w0", incarnation);
            check_completed(&world, &cx, job).await;
        }
        assert_eq!(world.starts.borrow().len(), 4);
        world.check();
    });
}

/// Guards against a worker that gets no lease any more after a late reply to an order, by an earlier incarnation whose
/// clock was far ahead.
#[test]
fn a_clock_reading_of_an_earlier_incarnation_is_replaced() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        check_completed(&world, &cx, 1).await;
        let owner = owner_of(&cx);
        owner.session("w0", |session| {
            session.note_clock(WorkerMillis(10_000_000), cx.clock.now());
        });
        sleep(LIMIT).await;
        check_completed(&world, &cx, 2).await;
        world.check();
    });
}

/// Guards against a response of an earlier incarnation that arrives late and is taken for the worker's present state:
/// ends on the later one would be taken for those of the earlier one, which have the same numbers.
#[test]
fn a_response_of_an_earlier_incarnation_changes_nothing() {
    for incarnation in [3, 9] {
        paused(check_overtaken_response(incarnation));
    }
}

async fn check_overtaken_response(incarnation: u64) {
    let world = World::new(1);
    world.crash("w0");
    world.restart_as("w0", 6);
    let cx = world.daemon("a");
    owned(&cx, LIMIT).await;
    let submitted = world.submit(&cx, 1, vec![step(4, 300, &[])]).await;
    assert_matches!(submitted, SubmitReply::Accepted);
    until("the tasks run", LIMIT, async || world.running().len() == 4).await;
    world.response_delay.set(SLOW_RESPONSE);
    until("the tasks have ended", LIMIT, async || {
        world.running().is_empty()
    })
    .await;
    sleep(Duration::from_millis(50)).await;
    world.crash("w0");
    world.response_delay.set(Duration::ZERO);
    world.restart_as("w0", incarnation);
    let owner = owner_of(&cx);
    assert!(poll::poll_now(&cx, &owner, "w0").await);
    let known = || {
        let known = owner.session("w0", |session| session.claimed);
        known.and_then(|known| known.started_unix_ms)
    };
    assert_eq!(known(), Some(incarnation));
    assert_matches!(world.cancel(&cx, 1).await, CancelReply::Done);
    let submitted = world.submit(&cx, 2, vec![step(1, 2_500, &[])]).await;
    assert_matches!(submitted, SubmitReply::Accepted);
    sleep(SLOW_RESPONSE).await;
    assert_eq!(known(), Some(incarnation));
    until("the job is completed", LIMIT * 2, async || {
        world.state(&cx, 2).await == Some(JobState::Completed)
    })
    .await;
    assert_eq!(world.starts.borrow().len(), 5);
    world.check();
}

/// Steps of the time of the search below, so that several of them share a reading of the owner's clock.
const STEPS_PER_MS: u64 = 10;

/// A poll: when it is sent, how much later it is answered, and how long the response is under way.
type Call = (u64, u64, u64);

/// Start times of a worker's incarnations in their order, and how long each one lives.
fn lives() -> impl Strategy<Value = Vec<(u64, u64)>> {
    let starts = Just((1..6_u64).collect::<Vec<_>>()).prop_shuffle();
    (starts, vec(1..12_u64, 5)).prop_map(|(starts, lasts)| starts.into_iter().zip(lasts).collect())
}

/// Index of the incarnation that is alive at this time; the last one stays.
fn alive_at(lives: &[(u64, u64)], at: u64) -> usize {
    let ends = lives.iter().scan(0, |end, (_, lasts)| {
        *end += lasts;
        Some(*end)
    });
    let ended = ends.take_while(|end| *end <= at).count();
    ended.min(lives.len() - 1)
}

proptest! {
    /// For any start times and any order of responses, no response of an earlier incarnation follows one of a later
    /// incarnation, and a poll that is sent after all others finds the last one.
    #[test]
    fn incarnations_are_found_in_their_order(
        lives in lives(),
        mut calls in vec((0..50_u64, 0..10_u64, 0..30_u64), 1..40),
    ) {
        calls.push((1_000, 0, 0));
        calls.sort_by_key(|(sent, answered, under_way): &Call| sent + answered + under_way);
        let mut known = KnownIncarnation::default();
        let mut newest = 0;
        for (sent, answered, under_way) in calls {
            let (sender, received) = (alive_at(&lives, sent + answered), sent + answered + under_way);
            let started_unix_ms = lives[sender].0;
            let verdict = judge_incarnation(known, started_unix_ms, Millis(sent / STEPS_PER_MS));
            if verdict == IncarnationVerdict::Later {
                known = KnownIncarnation {
                    started_unix_ms: Some(started_unix_ms),
                    since: Some(Millis(received / STEPS_PER_MS)),
                };
            }
            if verdict != IncarnationVerdict::Unclear {
                prop_assert!(sender >= newest, "incarnation {sender} after {newest}");
                newest = sender;
            }
        }
        prop_assert_eq!(newest, lives.len() - 1);
    }
}
