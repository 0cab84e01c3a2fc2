//! Several shards: the assignment of racks, the home shards of jobs, and the loss of an owner.

use super::{
    paused,
    world::{StoreBehaviour, World, home, owns, step, until},
};
use assert_matches::assert_matches;
use lapisdrum::{
    core::size::Size,
    sched::{
        Cx,
        edge::{Queue, WorkerReport},
        event::{Event, WorkerIncarnation},
        features::Features,
        front::{self, Outcome},
        job::{JobId, JobSpec, RawJob, Step},
        layout::{Layout, ShardId},
        lease,
        ledger::{InvalidEvent, Ledger},
        owner::Owner,
        peer::{self, JobState, OwnerReply, OwnerRequest, SubmitReply},
    },
};
use proptest::prelude::*;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(8);

fn worker(id: usize, pool: &str, rack: &str) -> WorkerReport {
    WorkerReport {
        incarnation: WorkerIncarnation {
            worker: format!("i{id}"),
            started_unix_ms: 1,
        },
        version: 1,
        pool: pool.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        data_centre: "karen".to_owned(),
        capacity: Size::default(),
        labels: Vec::new(),
        rack: (!rack.is_empty()).then(|| rack.to_owned()),
        leaving_in: None,
    }
}

fn racks_of(count: usize, size: usize) -> Vec<WorkerReport> {
    let one = |id| worker(id, "pool", &format!("r{}", id / size));
    (0..count * size).map(one).collect()
}

fn job_near(rack: &str) -> JobSpec {
    let step = Step {
        data_rack: Some(rack.to_owned()),
        ..step(1, 100, &[])
    };
    let raw = RawJob {
        payload: String::new(),
        steps: vec![step],
        schedule: None,
    };
    JobSpec::try_from(raw).expect("a valid job")
}

/// 492 workers in racks of twelve make four shards of about the same size; 72 workers and none make one each.
#[test]
fn the_number_of_shards_follows_the_number_of_workers() {
    let layout = Layout::first(&racks_of(41, 12), 128);
    assert_eq!(layout.shards, 4);
    for shard in layout.all() {
        let racks = layout.racks.values().filter(|of| **of == shard).count();
        assert!((10..=11).contains(&racks), "{racks} racks in one shard");
    }
    assert_eq!(Layout::first(&racks_of(9, 8), 128).shards, 1);
    assert_eq!(Layout::first(&[], 128).shards, 1);
}

/// Guards against jobs that never run because their home shard has no workers of their pool: a pool with a single rack
/// allows one shard only.
#[test]
fn every_shard_has_a_rack_of_each_pool() {
    let mut workers = racks_of(41, 12);
    workers.push(worker(1_000, "small", "s0"));
    assert_eq!(Layout::first(&workers, 128).shards, 1);
    workers.push(worker(1_001, "small", "s1"));
    let layout = Layout::first(&workers, 128);
    assert_eq!(layout.shards, 2);
    assert_ne!(layout.racks["s0"], layout.racks["s1"]);
}

/// Guards against a deployment that has a single shard for ever since an entry of a pool that no queue names stood in
/// the directory when its first daemon started.
#[test]
fn entries_of_a_pool_that_no_queue_names_take_no_part_in_the_layout() {
    paused(async {
        let world = World::new(4);
        world.workers_per_shard.set(2);
        world
            .odd_reports
            .borrow_mut()
            .push(worker(0, "odd", "odd-0"));
        let daemons = [world.daemon("a"), world.daemon("b")];
        wait_all_owned(&daemons, 2).await;
        for id in 1..20 {
            let entry = worker(id, "odd", &format!("odd-{id}"));
            world.odd_reports.borrow_mut().push(entry);
        }
        sleep(Duration::from_secs(3)).await;
        submit_at_home(&world, &daemons, 1, vec![step(2, 500, &[])]).await;
        wait_completed(&world, &daemons, 1).await;
        for cx in &daemons {
            let layout = cx.layout.borrow().clone().expect("a layout");
            assert_eq!((layout.shards, layout.racks.len()), (2, 4));
            let owners = cx.owners();
            let sessions = owners.iter().map(|owner| owner.sessions.borrow().len());
            assert_eq!(sessions.sum::<usize>(), 2, "odd entries are not polled");
        }
        world.check();
    });
}

/// Guards against workers that no shard owns because they report no rack.
#[test]
fn a_worker_without_a_rack_has_an_owner() {
    let workers = [worker(1, "pool", "")];
    let layout = Layout::first(&workers, 128);
    assert_eq!(layout.shard_of(&workers[0]), Some(ShardId(0)));
}

/// Guards against a layout that no further rack joins, since racks that odd entries name have made its row larger than
/// the store takes.
#[test]
fn a_flood_of_racks_leaves_a_row_that_the_store_takes() {
    let mut layout = Layout::first(&racks_of(4, 2), 2);
    let quoted = |id: usize| worker(id, "pool", &format!("\"\u{1}{id}"));
    for flood in [racks_of(20_000, 1), (0..20_000).map(quoted).collect()] {
        layout.assign_racks(&flood);
        let row = serde_json::to_vec(&layout).expect("a row");
        assert!(row.len() < 64 * 1024, "{} bytes", row.len());
        assert!(!layout.assign_racks(&flood), "it is written once");
    }
}

proptest! {
    /// Racks join in any order, and daemons know layouts of different ages. An assigned rack stays in its shard, and
    /// all daemons determine the same home of a job, with or without a data rack.
    #[test]
    fn assigned_racks_stay_in_their_shard(
        first in 1_usize..40,
        later in proptest::collection::vec(0_usize..60, 0..6),
        id: u64,
        rack in 0_usize..60,
    ) {
        let old = Layout::first(&racks_of(first, 3), 9);
        let mut new = old.clone();
        for count in later {
            new.assign_racks(&racks_of(count, 3));
        }
        for (rack, shard) in &old.racks {
            prop_assert_eq!(new.racks.get(rack), Some(shard));
        }
        let spec = job_near(&format!("r{rack}"));
        prop_assert_eq!(old.home(JobId(id), &spec), new.home(JobId(id), &spec));
        prop_assert!(new.homes(JobId(id)).contains(&new.home(JobId(id), &spec)));
        prop_assert!(!new.assign_racks(&racks_of(first, 3)), "no rack is left to assign");
    }
}

/// Guards against a lapsed lease that is noticed only after twelve seconds, at 79 shards and 140 daemons, the largest
/// supported size. Every lease is polled often by at least three daemons, and by all of them now and then.
#[test]
fn every_shard_is_polled_by_several_daemons() {
    let shards: Vec<ShardId> = (0..79).map(ShardId).collect();
    let orders: Vec<_> = (0..140)
        .map(|incarnation| lease::poll_order(&shards, incarnation))
        .collect();
    for shard in &shards {
        let polls_often =
            |order: &&Vec<ShardId>| order[..9].contains(shard) && order[9..18].contains(shard);
        let daemons = orders.iter().filter(polls_often).count();
        assert!(daemons >= 3, "{daemons} daemons poll {shard:?} often");
        assert!(orders.iter().all(|order| order.contains(shard)));
    }
    assert_eq!(lease::poll_order(&shards[..1], 7), [ShardId(0)]);
    assert_eq!(
        lease::poll_order(&shards[..4], 7).len(),
        4,
        "few shards are all polled equally often"
    );
}

/// The daemon that owns a shard, if any.
fn owner_of(daemons: &[Cx], shard: ShardId) -> Option<Cx> {
    daemons.iter().find(|cx| owns(cx, shard)).cloned()
}

async fn wait_all_owned(daemons: &[Cx], shards: u16) {
    until("every shard is owned", LIMIT, async || {
        (0..shards).all(|shard| owner_of(daemons, ShardId(shard)).is_some())
    })
    .await;
}

/// A cluster of two shards with half of the workers each, and a daemon for each.
async fn two_shards(workers: usize) -> (Rc<World>, [Cx; 2]) {
    let world = World::new(workers);
    world.workers_per_shard.set(workers / 2);
    let daemons = [world.daemon("a"), world.daemon("b")];
    until("the layout is known", LIMIT, async || {
        daemons.iter().all(|cx| cx.layout.borrow().is_some())
    })
    .await;
    wait_all_owned(&daemons, 2).await;
    (world, daemons)
}

/// A cluster of two shards with half of the workers each, owned by a single daemon, and the queue for jobs.
async fn sole_owner(workers: usize) -> (Rc<World>, Cx, Queue) {
    sole_owner_with(workers, Features::default()).await
}

/// Like [`sole_owner`], with these features.
pub(super) async fn sole_owner_with(workers: usize, features: Features) -> (Rc<World>, Cx, Queue) {
    let world = World::new(workers);
    world.features.set(features);
    world.workers_per_shard.set(workers / 2);
    let cx = world.daemon("a");
    until("the daemon owns both shards", LIMIT, async || {
        cx.owners().len() == 2
    })
    .await;
    wait_all_owned(std::slice::from_ref(&cx), 2).await;
    let state = cx.directory.operator_state().await.expect("an answer");
    let queue = state.catalogue.expect("a catalogue").queues["maps"].clone();
    (world, cx, queue)
}

async fn submit_at_home(world: &World, daemons: &[Cx], job: u64, steps: Vec<Step>) {
    let cx = owner_of(daemons, home(&daemons[0], job)).expect("an owner");
    let submitted = world.submit(&cx, job, steps).await;
    assert_matches!(submitted, SubmitReply::Accepted);
}

async fn wait_completed(world: &World, daemons: &[Cx], job: u64) {
    until(
        "the job is completed",
        Duration::from_secs(20),
        async || {
            let Some(cx) = owner_of(daemons, home(&daemons[0], job)) else {
                return false;
            };
            world.state(&cx, job).await == Some(JobState::Completed)
        },
    )
    .await;
}

/// Two daemons own one of two shards each. Guards against two owners that start tasks on the same worker: the later
/// claim makes it refuse the earlier owner's orders, and the earlier owner's tasks are stopped as unknown.
#[test]
fn daemons_share_the_shards() {
    paused(async {
        let (world, daemons) = two_shards(4).await;
        assert!(
            daemons.iter().all(|cx| cx.owners().len() == 1),
            "a daemon that owns one shard leaves the other to the next daemon"
        );
        for job in 1..=12 {
            submit_at_home(
                &world,
                &daemons,
                job,
                vec![step(2, 500, &[]), step(1, 200, &[0])],
            )
            .await;
        }
        for job in 1..=12 {
            wait_completed(&world, &daemons, job).await;
        }
        let layout = daemons[0].layout.borrow().clone().expect("a layout");
        for (_, run, worker) in world.starts.borrow().iter() {
            let at = layout.home_by_id(run.task.job);
            assert_eq!(
                layout.racks.get(worker),
                Some(&at),
                "{worker} belongs to another shard"
            );
        }
        world.check();
    });
}

/// The store is unavailable to one of two owners. Its shard waits for a takeover, while jobs of the other shard are
/// accepted and run. Then the remaining daemon owns both shards and completes every job once.
#[test]
fn a_lost_owner_stops_its_own_shard_only() {
    paused(async {
        let (world, daemons) = two_shards(4).await;
        for job in 1..=8 {
            submit_at_home(
                &world,
                &daemons,
                job,
                vec![step(2, 3_000, &[]), step(1, 200, &[0])],
            )
            .await;
        }
        world.set_store("a", StoreBehaviour::Unavailable);
        let remaining = &daemons[1..];
        let remaining_shard = remaining[0].owners()[0].handle.shard;
        let job = (100..).find(|id| home(&remaining[0], *id) == remaining_shard);
        let job = job.expect("a job of the remaining shard");
        submit_at_home(&world, remaining, job, vec![step(1, 100, &[])]).await;
        wait_completed(&world, remaining, job).await;
        wait_all_owned(remaining, 2).await;
        for job in 1..=8 {
            wait_completed(&world, remaining, job).await;
        }
        assert_eq!(
            world.starts.borrow().len(),
            8 * 3 + 1,
            "nothing was started twice"
        );
        world.check();
    });
}

/// Workers on new racks join while jobs wait. The owner of the first shard assigns the racks to shards, and waiting
/// tasks run on them.
#[test]
fn a_new_rack_is_assigned_and_used() {
    paused(async {
        let (world, daemons) = two_shards(2).await;
        world.add_worker("w2");
        world.add_worker("w3");
        for job in 1..=6 {
            submit_at_home(&world, &daemons, job, vec![step(4, 2_000, &[])]).await;
        }
        until("the new workers have work", LIMIT, async || {
            !world.running_on("w2").is_empty() && !world.running_on("w3").is_empty()
        })
        .await;
        for job in 1..=6 {
            wait_completed(&world, &daemons, job).await;
        }
        world.check();
    });
}

/// Guards against jobs that cannot be found by their id because their home is the shard of their data rack. An id is
/// unknown only if every shard says so.
#[test]
fn a_job_near_its_data_is_found_by_its_id() {
    paused(async {
        let (_world, cx, queue) = sole_owner(2).await;
        let layout = cx.layout.borrow().clone().expect("a layout");
        let spec = job_near("w1");
        let at = layout.racks["w1"];
        let id = (1..).map(JobId).find(|id| layout.home_by_id(*id) != at);
        let job = id.expect("an id with another home");
        let submitted = front::submit(&cx, &queue, job, spec.clone()).await;
        assert_eq!(submitted, Outcome::Done(()));
        let again = front::submit(&cx, &queue, job, spec).await;
        assert_eq!(
            again,
            Outcome::Done(()),
            "a repeated submission finds the job"
        );
        let elsewhere = layout.home_by_id(job);
        let reply = peer::answer(&cx, elsewhere, OwnerRequest::Pending("maps".to_owned())).await;
        assert_matches!(reply, OwnerReply::Pending(Some(0)));
        assert_matches!(front::show(&cx, job).await, Outcome::Done(_));
        assert_eq!(front::cancel(&cx, job).await, Outcome::Done(()));
        assert_eq!(front::cancel(&cx, JobId(99)).await, Outcome::NoSuchJob);
        let handle = cx.handle(at);
        let owner = handle.owner.borrow().clone().expect("an owner");
        owner.mark_lost("lost by the test");
        assert_matches!(
            front::show(&cx, JobId(99)).await,
            Outcome::Refused(_),
            "a shard without an owner may have the job"
        );
        assert!(lease::read(&cx, &handle).await.is_ok());
    });
}

fn long_running(count: u32) -> Vec<Step> {
    vec![Step {
        is_long_running: true,
        ..step(count, 600_000, &[])
    }]
}

pub(super) fn spec_of(steps: Vec<Step>) -> JobSpec {
    let raw = RawJob {
        payload: "work".to_owned(),
        steps,
        schedule: None,
    };
    JobSpec::try_from(raw).expect("a valid job")
}

/// Guards against livestreams that wait because all their ids map to one shard while the other is idle: they are
/// transferred by load. A repeated submission goes to the same shard, although the loads have changed since, and the
/// job is found by its id.
#[test]
fn long_running_jobs_go_where_there_is_capacity() {
    paused(async {
        let (world, cx, queue) = sole_owner(4).await;
        until("the workers are claimed", LIMIT, async || {
            let is_open = |owner: &Rc<Owner>| !owner.open_workers(&cx).is_empty();
            cx.owners().iter().all(is_open)
        })
        .await;
        let in_first_shard = (1..).filter(|id| home(&cx, *id) == ShardId(0));
        let ids: Vec<u64> = in_first_shard.take(8).collect();
        for id in &ids {
            world.register_steps(*id, long_running(2));
            let submitted = front::submit(&cx, &queue, JobId(*id), spec_of(long_running(2))).await;
            assert_eq!(submitted, Outcome::Done(()));
        }
        until("all of them run", LIMIT, async || {
            world.running().len() == 16
        })
        .await;
        for id in &ids {
            let again = front::submit(&cx, &queue, JobId(*id), spec_of(long_running(2))).await;
            assert_eq!(again, Outcome::Done(()));
            assert_matches!(
                front::show(&cx, JobId(*id)).await,
                Outcome::Done(JobState::Running)
            );
        }
        sleep(Duration::from_secs(2)).await;
        let jobs = |owner: &Rc<Owner>| owner.ledger.borrow().jobs.len();
        let accepted: usize = cx.owners().iter().map(jobs).sum();
        assert_eq!(accepted, ids.len(), "each job is accepted once");
        assert_eq!(world.running().len(), 16);
        world.check();
    });
}

/// Adds a label to the workers of one shard; returns once all owners know it.
async fn label_workers(world: &World, cx: &Cx, shard: ShardId) {
    let labelled = async || {
        let owner = cx.handle(shard).owner.borrow().clone().expect("an owner");
        owner.open_workers(cx)
    };
    until("the workers are claimed", LIMIT, async || {
        !labelled().await.is_empty()
    })
    .await;
    for report in labelled().await {
        world.set_labels(&report.incarnation.worker, &["press"]);
    }
    until("the label is known", LIMIT, async || {
        let reports = labelled().await;
        reports.iter().all(|report| !report.labels.is_empty())
    })
    .await;
}

fn labelled(step: Step) -> Vec<Step> {
    vec![Step {
        required_label: Some("press".to_owned()),
        ..step
    }]
}

pub(super) fn homes_in(cx: &Cx, shard: ShardId, count: usize) -> Vec<u64> {
    let homes = (1..).filter(|id| home(cx, *id) == shard);
    homes.take(count).collect()
}

/// Guards against a long-running job that is sent to a less loaded shard which has no worker with its label, and waits
/// there for ever.
#[test]
fn a_long_running_job_stays_where_workers_have_its_label() {
    paused(async {
        let (world, cx, queue) = sole_owner(4).await;
        label_workers(&world, &cx, ShardId(0)).await;
        let ids = homes_in(&cx, ShardId(0), 9);
        let (last, others) = ids.split_last().expect("jobs");
        for id in others {
            let steps = labelled(long_running(1).remove(0));
            world.register_steps(*id, steps.clone());
            let submitted = front::submit(&cx, &queue, JobId(*id), spec_of(steps)).await;
            assert_eq!(submitted, Outcome::Done(()));
        }
        until("all of them run", LIMIT, async || {
            world.running().len() == 8
        })
        .await;
        assert_eq!(
            front::cancel(&cx, JobId(others[0])).await,
            Outcome::Done(())
        );
        let steps = labelled(long_running(1).remove(0));
        world.register_steps(*last, steps.clone());
        let submitted = front::submit(&cx, &queue, JobId(*last), spec_of(steps)).await;
        assert_eq!(submitted, Outcome::Done(()));
        until("the last one runs", LIMIT, async || {
            world
                .running()
                .iter()
                .any(|run| run.task.job == JobId(*last))
        })
        .await;
        world.check();
    });
}

/// Guards against a job that waits for ever in its home shard, which has no worker for one of its steps, beside free
/// workers of another shard.
#[test]
fn a_job_goes_to_a_shard_with_workers_for_each_step() {
    paused(async {
        let (world, cx, queue) = sole_owner(4).await;
        label_workers(&world, &cx, ShardId(1)).await;
        let ids = homes_in(&cx, ShardId(0), 4);
        for id in &ids {
            let plain = step(1, 100, &[]);
            let last = labelled(step(1, 100, &[0])).remove(0);
            let steps = vec![plain, last];
            world.register_steps(*id, steps.clone());
            let submitted = front::submit(&cx, &queue, JobId(*id), spec_of(steps)).await;
            assert_eq!(submitted, Outcome::Done(()));
        }
        until("the jobs are completed", LIMIT, async || {
            for id in &ids {
                if front::show(&cx, JobId(*id)).await != Outcome::Done(JobState::Completed) {
                    return false;
                }
            }
            true
        })
        .await;
        world.check();
    });
}

/// Guards against a job that waits for ever in a shard that lost its last workers with the job's label after it accepted
/// the job, beside free workers of another shard.
#[test]
fn a_waiting_job_leaves_a_shard_that_loses_its_last_workers_for_it() {
    paused(async {
        let (world, cx, queue) = sole_owner(4).await;
        for shard in [ShardId(0), ShardId(1)] {
            label_workers(&world, &cx, shard).await;
        }
        let owner = cx
            .handle(ShardId(0))
            .owner
            .borrow()
            .clone()
            .expect("an owner");
        let lost = owner.open_workers(&cx);
        let ids = homes_in(&cx, ShardId(0), lost.len() + 1);
        let whole_worker = Step {
            size: lost[0].capacity,
            ..step(1, 600_000, &[])
        };
        let (waiting, running) = ids.split_last().expect("jobs");
        for id in running {
            let steps = vec![whole_worker.clone()];
            world.register_steps(*id, steps.clone());
            let submitted = front::submit(&cx, &queue, JobId(*id), spec_of(steps)).await;
            assert_eq!(submitted, Outcome::Done(()));
        }
        until("the workers are full", LIMIT, async || {
            world.running().len() == running.len()
        })
        .await;
        let steps = labelled(step(1, 100, &[]));
        world.register_steps(*waiting, steps.clone());
        let submitted = front::submit(&cx, &queue, JobId(*waiting), spec_of(steps)).await;
        assert_eq!(submitted, Outcome::Done(()));
        for report in &lost {
            let worker = &report.incarnation.worker;
            world.crash(worker);
            world.list(worker, false);
        }
        until("the job is completed", LIMIT * 3, async || {
            front::show(&cx, JobId(*waiting)).await == Outcome::Done(JobState::Completed)
        })
        .await;
        world.check();
    });
}

/// Guards against two decisions on a job that is submitted over several connections at once: it would run twice. All
/// callers are sent to the same shard.
#[test]
fn concurrent_submissions_are_decided_once() {
    paused(async {
        let (world, cx, queue) = sole_owner(4).await;
        for id in 1..=20 {
            world.register_steps(id, long_running(1));
            let submissions =
                [(); 3].map(|()| front::submit(&cx, &queue, JobId(id), spec_of(long_running(1))));
            for submitted in futures::future::join_all(submissions).await {
                assert_eq!(submitted, Outcome::Done(()));
            }
        }
        let jobs = |owner: &Rc<Owner>| owner.ledger.borrow().jobs.len();
        let accepted: usize = cx.owners().iter().map(jobs).sum();
        assert_eq!(accepted, 20, "each job is accepted once");
        world.check();
    });
}

/// Guards against a job that runs twice because the next owner of its home shard does not know the decision to send it
/// to another shard: the decision is recovered from the journal.
#[test]
fn a_decision_outlives_its_owner() {
    let mut ledger = Ledger::default();
    let sent = Event::Sent {
        job: JobId(1),
        to: ShardId(1),
        at_unix_ms: 5,
    };
    ledger.apply(&sent).expect("a valid event");
    let text = serde_json::to_vec(&ledger).expect("a serialisable ledger");
    let mut read: Ledger = serde_json::from_slice(&text).expect("the ledger is parsed back");
    assert_eq!(
        read.sent.get(&JobId(1)).map(|sent| sent.to),
        Some(ShardId(1))
    );
    let accepted = Event::Accepted {
        job: JobId(1),
        spec: Rc::new(spec_of(long_running(1))),
        terms: super::world::terms(),
        at_unix_ms: 6,
        data_centre: None,
        moved_from: None,
    };
    assert_matches!(
        read.apply(&accepted),
        Err(InvalidEvent::Job(_)),
        "the job is in another shard"
    );
    let other = Event::Sent {
        job: JobId(1),
        to: ShardId(2),
        at_unix_ms: 7,
    };
    assert_matches!(
        read.apply(&other),
        Err(InvalidEvent::Job(_)),
        "the decision is final"
    );
    read.apply(&Event::Forgotten { job: JobId(1) })
        .expect("a valid event");
    assert!(read.sent.is_empty());
}
