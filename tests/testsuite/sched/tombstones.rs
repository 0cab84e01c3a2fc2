//! Jobs that are cancelled before they arrive.

use super::{
    paused,
    world::{StoreBehaviour, World, home, owned, owns, step, until},
};
use assert_matches::assert_matches;
use futures::future::join_all;
use lapisdrum::sched::{
    Cx,
    event::Event,
    front::{self, Outcome},
    job::{JobId, JobSpec, RawJob},
    layout::ShardId,
    ledger::{InvalidEvent, Ledger},
    peer::{CancelReply, JobState, SubmitReply},
};
use std::time::Duration;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(5);
/// Time for which daemons remember jobs that have ended.
const RETENTION: Duration = Duration::from_secs(120);
/// Tombstones that a shard keeps.
const MAX_TOMBSTONES: u64 = 4_096;

async fn submit(world: &World, cx: &Cx, id: u64) -> SubmitReply {
    world.submit(cx, id, vec![step(1, 1_000, &[])]).await
}

/// Guards against a job that runs although its cancellation was answered first, under the same owner and the next one.
#[test]
fn a_job_that_arrives_after_its_cancellation_is_refused() {
    paused(async {
        let world = World::new(1);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        assert_eq!(world.cancel(&first, 1).await, CancelReply::UnknownJob);
        assert_eq!(world.cancel(&first, 1).await, CancelReply::UnknownJob);
        assert_matches!(submit(&world, &first, 1).await, SubmitReply::Busy(wait) if wait <= RETENTION);
        let second = world.daemon("b");
        world.set_store("a", StoreBehaviour::Unavailable);
        owned(&second, LIMIT).await;
        until("the next owner answers", LIMIT, async || {
            submit(&world, &second, 2).await == SubmitReply::Accepted
        })
        .await;
        assert_matches!(submit(&world, &second, 1).await, SubmitReply::Busy(_));
        assert_eq!(world.state(&second, 1).await, None);
        sleep(LIMIT).await;
        assert_eq!(world.state(&second, 2).await, Some(JobState::Completed));
        world.check();
    });
}

/// Guards against tombstones that are kept for ever, and against an id that can never be used again.
#[test]
fn a_tombstone_is_dropped_after_the_retention_time() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        assert_eq!(world.cancel(&cx, 1).await, CancelReply::UnknownJob);
        let pass = async |time| {
            world.note_suspension("a", time);
            // The owner renews its lease, and looks for tombstones to be dropped.
            sleep(LIMIT).await;
        };
        pass(RETENTION - LIMIT).await;
        assert_matches!(submit(&world, &cx, 1).await, SubmitReply::Busy(_));
        // A repeated cancellation counts from its own time.
        assert_eq!(world.cancel(&cx, 1).await, CancelReply::UnknownJob);
        pass(RETENTION - LIMIT).await;
        assert_matches!(submit(&world, &cx, 1).await, SubmitReply::Busy(_));
        pass(LIMIT * 2).await;
        assert_eq!(submit(&world, &cx, 1).await, SubmitReply::Accepted);
    });
}

/// Guards against memory without a bound, and against a refusal that is forgotten to make room for others.
#[test]
fn cancellations_of_too_many_unknown_jobs_are_refused() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let known = MAX_TOMBSTONES + 1;
        let long = world.submit(&cx, known, vec![step(1, 60_000, &[])]).await;
        assert_eq!(long, SubmitReply::Accepted);
        let cancels = (1..=MAX_TOMBSTONES).map(|id| world.cancel(&cx, id));
        for cancelled in join_all(cancels).await {
            assert_eq!(cancelled, CancelReply::UnknownJob);
        }
        let further = world.cancel(&cx, known + 1).await;
        assert_matches!(further, CancelReply::Busy(_));
        assert_matches!(
            front::cancel(&cx, JobId(known + 1)).await,
            Outcome::Refused(_)
        );
        assert_eq!(world.cancel(&cx, 1).await, CancelReply::UnknownJob);
        assert_matches!(submit(&world, &cx, 1).await, SubmitReply::Busy(_));
        assert_eq!(world.cancel(&cx, known).await, CancelReply::Done);
    });
}

/// Guards against a cancelled job that runs since its home follows from its data, and not from its id.
#[test]
fn every_shard_refuses_a_job_that_was_cancelled_before_it_arrived() {
    paused(async {
        let world = World::new(8);
        world.workers_per_shard.set(4);
        let cx = world.daemon("a");
        for shard in [ShardId(0), ShardId(1)] {
            until("the shard is owned", LIMIT, async || owns(&cx, shard)).await;
        }
        sleep(Duration::from_secs(2)).await;
        let id = (1..)
            .find(|id| home(&cx, *id) == ShardId(0))
            .expect("an id");
        let cancelled = front::cancel(&cx, JobId(id)).await;
        assert_eq!(cancelled, Outcome::NoSuchJob);
        let handle = cx.handle(ShardId(1));
        let owner = handle.owner.borrow().clone().expect("the owner");
        assert!(owner.ledger.borrow().tombstones.contains_key(&JobId(id)));
    });
}

/// Guards against a job that moves between shards and never arrives, and against tombstones of jobs that are there.
#[test]
fn a_tombstone_applies_only_to_submissions_of_unknown_jobs() {
    let raw = RawJob {
        payload: "work".to_owned(),
        steps: vec![step(1, 1_000, &[])],
        schedule: None,
    };
    let spec = JobSpec::try_from(raw).expect("a valid job");
    let accepted = |moved_from| Event::Accepted {
        job: JobId(1),
        spec: spec.clone().into(),
        terms: super::world::terms(),
        at_unix_ms: 0,
        data_centre: None,
        moved_from,
    };
    let cancelled = Event::CancelledBeforeArrival {
        job: JobId(1),
        at_unix_ms: 0,
    };
    let mut ledger = Ledger::default();
    ledger.apply(&cancelled).expect("the job is unknown");
    let refused = ledger.apply(&accepted(None));
    assert_eq!(refused, Err(InvalidEvent::Job(JobId(1))));
    let moved = accepted(Some(ShardId(1)));
    ledger.apply(&moved).expect("its home has accepted it");
    let refused = ledger.apply(&cancelled);
    assert_eq!(refused, Err(InvalidEvent::Job(JobId(1))));
    assert!(ledger.tombstones.is_empty());
}
