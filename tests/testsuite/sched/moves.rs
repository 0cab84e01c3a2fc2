//! Waiting jobs that move to another shard, while callers ask for them, the store is slow and owners
//! are lost.

use super::{
    layout::{homes_in, spec_of},
    paused,
    world::{StoreBehaviour, World, owns, step, terms, until},
};
use lapisdrum::sched::{
    Cx,
    edge::Queue,
    event::Event,
    features::Features,
    front::{self, Outcome},
    job::{JobId, Step, TaskId},
    layout::ShardId,
    ledger::Ledger,
    peer::JobState,
};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(8);
/// Longest time from a move that is interrupted until the job is completed: a take-over and the
/// repetition of calls, on a slow store.
const RECOVERY: Duration = Duration::from_secs(30);
/// Time in which the waiting job is overdue and a round has decided on it.
const DECIDED_FROM: Duration = Duration::from_millis(1_300);
const HOME: ShardId = ShardId(0);
const ROUTING: Features = Features {
    planned_handover: false,
    load_routing: true,
    fair_sharing: false,
    early_refusal: false,
    lease_feed: false,
    quick_recovery: false,
    far_slowdown: None,
};

/// Two shards with eight cores each and a daemon for each; all cores of the first shard are taken,
/// and a short job waits there since the given time.
struct Cluster {
    world: Rc<World>,
    /// The owner of the first shard, in which the job waits.
    home: Cx,
    /// The owner of the other one.
    other: Cx,
    queue: Queue,
    job: u64,
}

impl Cluster {
    async fn new(seed: u64) -> Self {
        let world = World::new(4);
        world.seed(seed);
        world.features.set(ROUTING);
        world.workers_per_shard.set(2);
        let daemons = [world.daemon("a"), world.daemon("b")];
        until("each daemon owns a shard", LIMIT, async || {
            let each = daemons.iter().map(|cx| cx.owners().len());
            each.eq([1, 1]) && daemons.iter().all(|cx| cx.owners()[0].is_recovered())
        })
        .await;
        until("the workers are claimed", LIMIT, async || {
            let open = |cx: &Cx| cx.owners()[0].open_workers(cx).len();
            daemons.iter().all(|cx| open(cx) == 2)
        })
        .await;
        // The owners' first renewals say that they tell their load.
        sleep(Duration::from_secs(1)).await;
        let state = daemons[0].directory.operator_state().await;
        let queue = state
            .expect("an answer")
            .catalogue
            .expect("a catalogue")
            .queues["maps"]
            .clone();
        let [first, second] = daemons;
        let (home, other) = match owns(&first, HOME) {
            true => (first, second),
            false => (second, first),
        };
        let mut ids = homes_in(&home, HOME, 9);
        let job = ids.pop().expect("a job");
        let cluster = Self {
            world,
            home,
            other,
            queue,
            job,
        };
        for id in ids {
            let submitted = cluster
                .submit(&cluster.home, id, step(1, 60_000, &[]))
                .await;
            assert_eq!(submitted, Outcome::Done(()));
        }
        until("the shard is full", LIMIT, async || {
            cluster.world.running().len() == 8
        })
        .await;
        cluster
    }

    async fn submit(&self, cx: &Cx, id: u64, step: Step) -> Outcome<()> {
        self.world.register_steps(id, vec![step.clone()]);
        front::submit(cx, &self.queue, JobId(id), spec_of(vec![step])).await
    }

    /// Submits the job that waits.
    async fn submit_job(&self, cx: &Cx) -> Outcome<()> {
        self.submit(cx, self.job, step(1, 100, &[])).await
    }

    fn starts(&self) -> usize {
        self.world.starts_of(&TaskId {
            job: JobId(self.job),
            occurrence: 0,
            step: 0,
            index: 0,
        })
    }

    fn set_slow(&self) {
        let (work, answer) = (Duration::from_millis(150), Duration::from_millis(150));
        self.world.set_slow_txn(work, answer);
        for daemon in ["a", "b"] {
            self.world.set_store(daemon, StoreBehaviour::Slow);
        }
    }

    /// Asks for the job until it is completed; panics if it is unknown, or ended otherwise.
    async fn wait_completed(&self, cx: &Cx, limit: Duration) {
        let started_at = Instant::now();
        loop {
            match front::show(cx, JobId(self.job)).await {
                Outcome::Done(JobState::Completed) => return,
                Outcome::Done(JobState::Queued | JobState::Running)
                | Outcome::Refused(_)
                | Outcome::Unknown => {}
                wrong => panic!("the accepted job is shown as {wrong:?}"),
            }
            let waited = started_at.elapsed();
            assert!(waited < limit, "not completed within {limit:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

fn moved(cx: &Cx) -> usize {
    let owners = cx.owners();
    let sent = owners.iter().map(|owner| owner.ledger.borrow().sent.len());
    sent.sum()
}

/// Guards against a job that is unknown, or accepted a second time, while it moves on a slow store. Its
/// submission is repeated all the time.
#[test]
fn a_job_is_found_and_accepted_once_while_it_moves_on_a_slow_store() {
    for seed in 0..24 {
        paused(async {
            let cluster = Cluster::new(seed).await;
            assert_eq!(cluster.submit_job(&cluster.home).await, Outcome::Done(()));
            cluster.set_slow();
            let repeated = async {
                for _ in 0..60 {
                    let again = cluster.submit_job(&cluster.other).await;
                    let is_fine = !matches!(again, Outcome::NoSuchJob);
                    assert!(is_fine, "{again:?}");
                    sleep(Duration::from_millis(50 + seed)).await;
                }
            };
            let completed = cluster.wait_completed(&cluster.other, RECOVERY);
            futures::join!(repeated, completed);
            assert_eq!(moved(&cluster.home), 1, "the job moved");
            assert_eq!(cluster.starts(), 1, "its task started once");
            cluster.world.check();
        });
    }
}

/// Guards against a cancelled job that is shown as queued, or starts, when the cancellation meets the
/// move on a slow store: the other shard may confirm it while the home doesn't know that the job is
/// there.
#[test]
fn a_cancellation_that_meets_a_move_on_a_slow_store_holds() {
    for seed in 0..24 {
        paused(async {
            let cluster = Cluster::new(seed).await;
            assert_eq!(cluster.submit_job(&cluster.home).await, Outcome::Done(()));
            sleep(DECIDED_FROM).await;
            cluster.set_slow();
            sleep(Duration::from_millis(40 * seed)).await;
            let daemons = [&cluster.home, &cluster.other];
            let started_at = Instant::now();
            loop {
                let asked = daemons[(seed % 2) as usize];
                match front::cancel(asked, JobId(cluster.job)).await {
                    Outcome::Done(()) => break,
                    Outcome::NoSuchJob => panic!("the accepted job is unknown"),
                    Outcome::Refused(_) | Outcome::Unknown => {}
                }
                assert!(started_at.elapsed() < RECOVERY, "not cancelled");
            }
            let starts = cluster.starts();
            for at in 0..100 {
                match front::show(daemons[at % 2], JobId(cluster.job)).await {
                    Outcome::Done(JobState::Cancelled | JobState::Completed)
                    | Outcome::Refused(_) => {}
                    wrong => panic!("the cancelled job is shown as {wrong:?}"),
                }
                sleep(Duration::from_millis(20)).await;
            }
            assert_eq!(cluster.starts(), starts, "nothing starts afterwards");
            cluster.world.check();
        });
    }
}

/// Guards against a job that is lost, or runs in two shards, when the owner of its home ends at any time
/// of the move.
#[test]
fn a_job_that_moves_outlives_the_owner_of_its_home() {
    for at in 0..24 {
        paused(async {
            let cluster = Cluster::new(at).await;
            assert_eq!(cluster.submit_job(&cluster.other).await, Outcome::Done(()));
            cluster.set_slow();
            sleep(DECIDED_FROM + Duration::from_millis(60 * at)).await;
            cluster.world.kill(&cluster.home);
            cluster.wait_completed(&cluster.other, RECOVERY).await;
            assert_eq!(cluster.starts(), 1, "its task started once");
            cluster.world.check();
        });
    }
}

/// Guards against a job that is lost, or runs in two shards, when the owner of the shard to which it
/// moves ends at any time of the move.
#[test]
fn a_job_that_moves_outlives_the_owner_of_the_other_shard() {
    for at in 0..24 {
        paused(async {
            let cluster = Cluster::new(at).await;
            assert_eq!(cluster.submit_job(&cluster.home).await, Outcome::Done(()));
            cluster.set_slow();
            sleep(DECIDED_FROM + Duration::from_millis(60 * at)).await;
            cluster.world.kill(&cluster.other);
            cluster.wait_completed(&cluster.home, RECOVERY * 3).await;
            assert!(
                cluster.starts() <= 2,
                "a run on a lost worker is repeated at most"
            );
            cluster.world.check();
        });
    }
}

/// Guards against ended jobs that moved and are kept for ever: their shard forgets them like others,
/// once their home has said that it no longer calls for them.
#[test]
fn a_job_that_moved_is_forgotten_when_it_is_old() {
    paused(async {
        let cluster = Cluster::new(1).await;
        assert_eq!(cluster.submit_job(&cluster.home).await, Outcome::Done(()));
        cluster.wait_completed(&cluster.home, LIMIT).await;
        let is_known = || {
            let owners = cluster.other.owners();
            let mut ledgers = owners.iter().map(|owner| owner.ledger.borrow());
            ledgers.any(|ledger| ledger.jobs.contains_key(&JobId(cluster.job)))
        };
        sleep(Duration::from_secs(10)).await;
        assert!(is_known(), "it is kept for 120 s");
        // The time of day alone says that these have passed.
        for daemon in ["a", "b"] {
            let time = Duration::from_secs(121);
            cluster.world.note_suspension(daemon, time);
        }
        until("the job is forgotten", LIMIT * 3, async || !is_known()).await;
    });
}

/// Guards against a home that forgets where a job on its way goes, or accepts it again, and against
/// snapshots that lose it.
#[test]
fn a_job_on_its_way_is_neither_accepted_again_nor_forgotten() {
    let accepted = Event::Accepted {
        job: JobId(1),
        spec: Rc::new(spec_of(vec![step(1, 100, &[])])),
        terms: terms(),
        at_unix_ms: 5,
        data_centre: None,
        moved_from: None,
    };
    let moved = Event::Moved {
        job: JobId(1),
        to: ShardId(1),
        at_unix_ms: 9,
    };
    let mut ledger = Ledger::default();
    ledger.apply(&accepted).expect("it is new");
    ledger.apply(&moved).expect("it may move");
    let text = serde_json::to_string(&ledger).expect("a text form");
    let mut ledger: Ledger = serde_json::from_str(&text).expect("it is read back");
    assert_eq!(ledger.moving[&JobId(1)].accepted_unix_ms, 5);
    let forgotten = Event::Forgotten { job: JobId(1) };
    for event in [&accepted, &moved, &forgotten] {
        assert!(ledger.apply(event).is_err(), "{event:?}");
    }
    let confirmed = Event::MoveConfirmed { job: JobId(1) };
    ledger.apply(&confirmed).expect("it is on its way");
    assert!(ledger.apply(&confirmed).is_err(), "it has arrived");
    assert!(ledger.apply(&accepted).is_err(), "it was sent away");
    ledger.apply(&forgotten).expect("it has arrived");
}
