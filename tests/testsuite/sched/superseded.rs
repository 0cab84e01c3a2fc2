//! What an owner answers once another daemon may own its shard.

use super::{
    paused,
    world::{StoreBehaviour, World, home, owned, owns, spec, step, terms, until},
};
use assert_matches::assert_matches;
use lapisdrum::{
    core::time::Millis,
    sched::{
        Cx,
        edge::Queue,
        front::{self, Outcome},
        job::{JobId, JobSpec},
        layout::ShardId,
        owner::jobs,
        peer::{self, CancelReply, JobState, OwnerReply, OwnerRequest, ShowReply, SubmitReply},
        process,
    },
};
use proptest::prelude::*;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(5);
/// Time limit of a call between daemons; an answer at once takes far less.
const OWNER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time from the first answer of the next owner in which the one before is asked; longer than the lease.
const ASKED_FOR: Duration = Duration::from_secs(3);
const ASK_INTERVAL: Duration = Duration::from_millis(60);

/// How an owner comes to be replaced while its process serves requests.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// The store performs the release, and its answer is lost.
    ReleaseAnswerLost,
    /// The store performs the release, and its answer takes this long, in milliseconds.
    ReleaseAnswerLate(u64),
    /// The owner reaches neither the store nor is it reached by other daemons, whose connections are refused.
    Refused,
    /// The owner does not reach the store.
    CutOff,
}

impl Change {
    fn is_release(self) -> bool {
        matches!(self, Self::ReleaseAnswerLost | Self::ReleaseAnswerLate(_))
    }
}

/// An address on which nothing listens.
fn dead_address() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// An owner that is replaced after `renewed_ms`, and the next one.
async fn replaced(world: &Rc<World>, change: Change, renewed_ms: u64) -> [Cx; 2] {
    let first = match change {
        Change::Refused => world.daemon_at("a", dead_address()),
        _ => world.daemon("a"),
    };
    owned(&first, LIMIT).await;
    let second = world.daemon("b");
    sleep(Duration::from_millis(1_000 + renewed_ms)).await;
    let behaviour = match change {
        Change::ReleaseAnswerLost => StoreBehaviour::LosesAnswers,
        Change::ReleaseAnswerLate(ms) => {
            world.set_slow_txn(Duration::from_millis(10), Duration::from_millis(ms));
            StoreBehaviour::Slow
        }
        Change::Refused | Change::CutOff => StoreBehaviour::Unavailable,
    };
    world.set_store("a", behaviour);
    if change.is_release() {
        let releasing = Rc::clone(&first);
        releasing.draining.send_replace(true);
        actix_rt::spawn(async move { process::release_shards(&releasing).await });
    }
    owned(&second, LIMIT).await;
    [first, second]
}

async fn show(cx: &Cx, id: u64) -> ShowReply {
    match peer::answer(cx, ShardId(0), OwnerRequest::Show(JobId(id))).await {
        OwnerReply::Shown(reply) => reply,
        other => panic!("{other:?}"),
    }
}

async fn pending(cx: &Cx) -> Option<u64> {
    match peer::answer(cx, ShardId(0), OwnerRequest::Pending(terms().queue)).await {
        OwnerReply::Pending(reply) => reply,
        other => panic!("{other:?}"),
    }
}

/// Asks the owner before for a job that the next one has accepted.
async fn check_answers(world: &World, first: &Cx, id: u64) {
    let (cancel, show, pending) =
        futures::join!(world.cancel(first, id), show(first, id), pending(first));
    assert_ne!(cancel, CancelReply::UnknownJob);
    assert_ne!(show, ShowReply::Unknown);
    assert_eq!(pending, None);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against a replaced owner that denies jobs of the next one, so that the cancel of a job has no effect
    /// though it is acknowledged.
    #[test]
    fn a_replaced_owner_denies_no_job(
        change in prop_oneof![
            Just(Change::ReleaseAnswerLost),
            (0..2_400_u64).prop_map(Change::ReleaseAnswerLate),
            Just(Change::Refused),
            Just(Change::CutOff),
        ],
        renewed_ms in 0..500_u64,
        asked_ms in 0..60_u64,
    ) {
        paused(async {
            let world = World::new(1);
            let [first, second] = replaced(&world, change, renewed_ms).await;
            let steps = vec![step(1, 60_000, &[])];
            assert_matches!(world.submit(&second, 1, steps).await, SubmitReply::Accepted);
            sleep(Duration::from_millis(asked_ms)).await;
            let started_at = Instant::now();
            while started_at.elapsed() < ASKED_FOR {
                check_answers(&world, &first, 1).await;
                sleep(ASK_INTERVAL).await;
            }
            world.check();
        });
    }
}

/// Guards against a caller of a stopping daemon that is refused or denied its job while the next owner serves.
#[test]
fn a_stopping_daemon_asks_the_next_owner() {
    for change in [Change::ReleaseAnswerLost, Change::ReleaseAnswerLate(2_000)] {
        paused(async {
            let world = World::new(1);
            let [first, second] = replaced(&world, change, 0).await;
            let steps = vec![step(1, 60_000, &[])];
            assert_matches!(world.submit(&second, 1, steps).await, SubmitReply::Accepted);
            until("the task runs", LIMIT, async || world.running().len() == 1).await;
            let started_at = Instant::now();
            let shown = front::show(&first, JobId(1)).await;
            assert_eq!(shown, Outcome::Done(JobState::Running));
            assert_eq!(front::cancel(&first, JobId(1)).await, Outcome::Done(()));
            assert!(started_at.elapsed() < OWNER_TIMEOUT);
            until("the task has ended", LIMIT, async || {
                world.running().is_empty()
            })
            .await;
            world.check();
        });
    }
}

/// Guards against callers that wait for a stopping owner: without a next one they are refused at once.
#[test]
fn a_stopping_owner_without_a_successor_refuses_at_once() {
    paused(async {
        let world = World::new(1);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        let steps = vec![step(1, 60_000, &[])];
        assert_matches!(world.submit(&first, 1, steps).await, SubmitReply::Accepted);
        world.set_store("a", StoreBehaviour::LosesAnswers);
        let releasing = Rc::clone(&first);
        releasing.draining.send_replace(true);
        actix_rt::spawn(async move { process::release_shards(&releasing).await });
        sleep(Duration::from_millis(100)).await;
        assert!(!first.owners()[0].is_sole_owner(&first).await);
        let queue = Queue {
            terms: terms(),
            host: "maps.example".to_owned(),
            path_prefix: "/maps/".to_owned(),
        };
        let started_at = Instant::now();
        assert_matches!(front::cancel(&first, JobId(1)).await, Outcome::Refused(_));
        assert_matches!(front::cancel(&first, JobId(2)).await, Outcome::Refused(_));
        assert_matches!(front::show(&first, JobId(2)).await, Outcome::Refused(_));
        assert_matches!(front::pending(&first, "maps").await, Outcome::Refused(_));
        let submitted = front::submit(&first, &queue, JobId(3), spec("work")).await;
        assert_matches!(submitted, Outcome::Refused(_));
        assert!(started_at.elapsed() < OWNER_TIMEOUT);
    });
}

/// Guards against a belief that a renewal renews when its answer arrives, long after it was sent.
#[test]
fn a_renewal_answered_late_does_not_extend_the_ownership() {
    paused(async {
        let world = World::new(1);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        let owner = first.owners().remove(0);
        sleep(Duration::from_secs(1)).await;
        for is_journal_busy in [false, true] {
            // No renewal is in flight right after one was answered.
            let answered = owner.renewed_at.get().at;
            until("a renewal is answered", LIMIT, async || {
                owner.renewed_at.get().at > answered
            })
            .await;
            let sent_after = first.clock.now();
            world.set_slow_txn(Duration::from_millis(1_200), Duration::from_millis(800));
            world.set_store("a", StoreBehaviour::Slow);
            if is_journal_busy {
                drop(owner.propose(&first, Vec::new()));
            }
            let before = owner.renewed_at.get().at;
            let latest = Rc::new(Cell::new(Millis(0)));
            until("a renewal is answered", LIMIT, async || {
                latest.set(owner.renewed_at.get().at);
                latest.get() > before
            })
            .await;
            let age = first.clock.now().since(latest.get());
            assert!(age >= Duration::from_millis(2_000), "{age:?}");
            assert!(latest.get() >= sent_after);
            world.set_store("a", StoreBehaviour::Up);
            sleep(LIMIT).await;
        }
    });
}

/// Guards against a caller that is refused though its owner is alone: on a slow store renewals take long, and the store
/// proves the ownership.
#[test]
fn an_owner_on_a_slow_store_answers_for_unknown_jobs() {
    paused(async {
        let world = World::new(1);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        world.set_slow_txn(Duration::from_millis(300), Duration::ZERO);
        world.set_store("a", StoreBehaviour::Slow);
        sleep(Duration::from_secs(2)).await;
        for _ in 0..40 {
            assert_eq!(world.cancel(&first, 7).await, CancelReply::UnknownJob);
            sleep(ASK_INTERVAL).await;
        }
    });
}

/// A long-running job, which may be sent to another shard.
fn long_running_spec() -> JobSpec {
    let mut spec = spec("work");
    spec.steps[0].is_long_running = true;
    spec
}

/// Guards against a repeated submission that is reported as accepted although the owner lost the shard before the first
/// one was durable, while the repeated one waited for the load of another shard.
#[test]
fn a_repeated_submission_is_not_accepted_by_an_owner_that_lost_the_shard_meanwhile() {
    paused(async {
        let world = World::new(4);
        world.workers_per_shard.set(2);
        // Accepts connections and answers nothing, so that each call lasts until its time limit.
        let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let first = world.daemon("a");
        let second = world.daemon_at("b", silent.local_addr().expect("an address"));
        let shards = [ShardId(0), ShardId(1)];
        until("each daemon owns a shard", LIMIT * 2, async || {
            [&first, &second]
                .iter()
                .all(|cx| shards.iter().any(|shard| owns(cx, *shard)))
        })
        .await;
        let shard = shards.into_iter().find(|shard| owns(&first, *shard));
        let shard = shard.expect("a shard");
        let id = (1..).find(|id| home(&first, *id) == shard).expect("an id");
        let owner = first
            .handle(shard)
            .owner
            .borrow()
            .clone()
            .expect("an owner");
        // Without a load of its own, the shard does not ask for that of another one.
        until("the workers are claimed", LIMIT, async || {
            !owner.open_workers(&first).is_empty()
        })
        .await;
        let submit = || {
            let (cx, owner) = (Rc::clone(&first), Rc::clone(&owner));
            actix_rt::spawn(async move {
                let spec = Rc::new(long_running_spec());
                jobs::submit(&cx, &owner, JobId(id), spec, terms(), None, false).await
            })
        };
        let original = submit();
        sleep(Duration::from_millis(100)).await;
        let repeated = submit();
        world.set_store("a", StoreBehaviour::Unavailable);
        until("the job is proposed", LIMIT, async || {
            owner.ledger.borrow().jobs.contains_key(&JobId(id))
        })
        .await;
        owner.mark_lost("another daemon has taken it over");
        assert_eq!(original.await.expect("a reply"), SubmitReply::Unknown);
        assert_eq!(repeated.await.expect("a reply"), SubmitReply::NotOwner);
    });
}

/// Guards against an owner whose host was suspended and that takes its lease for valid, since the steady clock does not
/// count that time: it denies jobs of the next owner, and renews leases of workers that the next one waits for.
#[test]
fn an_owner_whose_host_was_suspended_has_no_valid_lease() {
    paused(async {
        let world = World::new(1);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        sleep(Duration::from_secs(1)).await;
        let owner = first.owners().remove(0);
        assert!(owner.is_sole_owner(&first).await);
        assert!(owner.may_renew(&first));
        // Whatever happened meanwhile, the store can't tell now.
        world.set_store("a", StoreBehaviour::Unavailable);
        world.note_suspension("a", first.cfg.leases.after_renewal);
        assert_ne!(world.cancel(&first, 7).await, CancelReply::UnknownJob);
        assert_ne!(show(&first, 7).await, ShowReply::Unknown);
        assert_eq!(pending(&first).await, None);
        assert!(!owner.may_renew(&first));
    });
}

/// An owner with four running tasks and four that wait, which is cut off from the store while another daemon takes over.
async fn superseded(world: &Rc<World>) -> [Cx; 2] {
    let first = world.daemon("a");
    owned(&first, LIMIT).await;
    let second = world.daemon("b");
    let steps = vec![step(20, 60_000, &[])];
    assert_matches!(world.submit(&first, 1, steps).await, SubmitReply::Accepted);
    until("the tasks run", LIMIT, async || world.running().len() == 16).await;
    world.set_store("a", StoreBehaviour::Unavailable);
    owned(&second, LIMIT).await;
    [first, second]
}

/// Guards against an owner that goes on ordering and polling although workers refuse its token, for as long as it can't
/// read the lease row.
#[test]
fn an_owner_whose_token_is_refused_calls_no_worker() {
    paused(async {
        let world = World::new(4);
        let [first, second] = superseded(&world).await;
        let owner = first.owners().remove(0);
        until("a worker refuses the token", LIMIT, async || {
            owner.is_suspended()
        })
        .await;
        let before = world.worker_calls("a");
        assert!(!owner.may_place(&first) && !owner.may_renew(&first));
        sleep(LIMIT).await;
        let calls = world.worker_calls("a") - before;
        assert!(calls <= 4, "{calls} calls after a refusal");
        assert!(owns(&first, ShardId(0)) && owner.is_suspended());
        assert!(!owner.is_sole_owner(&first).await);
        let steps = vec![step(1, 100, &[])];
        assert_matches!(world.submit(&first, 2, steps).await, SubmitReply::NotOwner);
        assert_eq!(first.metrics.suspensions.get(), 1);
        world.set_store("a", StoreBehaviour::Up);
        until("the owner steps down", Duration::from_secs(1), async || {
            !owns(&first, ShardId(0))
        })
        .await;
        assert!(owns(&second, ShardId(0)));
        world.check();
    });
}

/// Guards against a shard that stops since one worker, reached by mistake, refuses the token of the current owner.
#[test]
fn a_worker_reached_by_mistake_does_not_stop_a_shard() {
    paused(async {
        let world = World::new(2);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        let owner = first.owners().remove(0);
        until("the workers are claimed", LIMIT, async || {
            owner.open_workers(&first).len() == 2
        })
        .await;
        world.raise_token("w0", u64::MAX);
        for id in 1..40 {
            let steps = vec![step(1, 50, &[])];
            let submitted = world.submit(&first, id, steps).await;
            assert_matches!(submitted, SubmitReply::Accepted | SubmitReply::NotOwner);
            sleep(Duration::from_millis(200)).await;
        }
        assert!(owns(&first, ShardId(0)));
        let starts = world.starts.borrow().len();
        assert!(starts >= 35, "{starts} starts");
        let suspensions = first.metrics.suspensions.get();
        assert!((1..=4).contains(&suspensions), "{suspensions} suspensions");
        world.check();
    });
}

/// Guards against tasks that lose their leases, or are taken for stalled, since their owner was suspended by mistake
/// while the store didn't answer.
#[test]
fn an_owner_suspended_by_mistake_resumes_with_its_tasks() {
    paused(async {
        let world = World::new(2);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        let owner = first.owners().remove(0);
        world.cut("w1", true);
        let steps = vec![step(4, 60_000, &[])];
        assert_matches!(world.submit(&first, 1, steps).await, SubmitReply::Accepted);
        until("the tasks run", LIMIT, async || {
            world.running_on("w0").len() == 4
        })
        .await;
        sleep(LIMIT).await;
        world.set_store("a", StoreBehaviour::Unavailable);
        world.raise_token("w1", u64::MAX);
        world.cut("w1", false);
        until("the owner is suspended", LIMIT, async || {
            owner.is_suspended()
        })
        .await;
        sleep(Duration::from_millis(2_500)).await;
        world.set_store("a", StoreBehaviour::Up);
        until("the owner resumes", Duration::from_secs(1), async || {
            !owner.is_suspended()
        })
        .await;
        sleep(LIMIT * 2).await;
        assert_eq!(world.running_on("w0").len(), 4);
        assert_eq!(world.starts.borrow().len(), 4);
        world.check();
    });
}
