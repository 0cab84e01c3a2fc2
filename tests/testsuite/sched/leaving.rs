//! Workers that announce that they leave: none gets a start later than the bound allows, whatever delays the order or
//! the news.

use super::{
    paused,
    world::{LEAVING_DEADLINE, StoreBehaviour, World, owned, step, until},
};
use assert_matches::assert_matches;
use lapisdrum::{
    core::size::Size,
    sched::{
        Cx,
        job::{Gang, Step},
        peer::{JobState, SubmitReply},
    },
};
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(5);

/// A cluster with one daemon that has been its owner for a second.
async fn cluster(workers: usize) -> (Rc<World>, Cx) {
    let world = World::new(workers);
    let cx = world.daemon("a");
    owned(&cx, LIMIT).await;
    sleep(Duration::from_secs(1)).await;
    (world, cx)
}

async fn wait_completed(world: &World, cx: &Cx, job: u64) {
    until("the job is completed", LIMIT * 3, async || {
        world.state(cx, job).await == Some(JobState::Completed)
    })
    .await;
}

/// Submits a short job every 100 ms for this time, whether or not it is answered.
async fn submit_for(world: &Rc<World>, cx: &Cx, first_job: u64, time: Duration) {
    for at in 0..time.as_millis() as u64 / 100 {
        let (world, cx) = (Rc::clone(world), Rc::clone(cx));
        actix_rt::spawn(async move {
            let steps = vec![step(2, 300, &[])];
            world.submit(&cx, first_job + at, steps).await;
        });
        sleep(Duration::from_millis(100)).await;
    }
}

/// Submits a job while transactions take over a second, and returns while the placement of its tasks is being written.
async fn place_while_store_is_slow(world: &Rc<World>, cx: &Cx, steps: Vec<Step>) {
    world.set_slow_txn(Duration::from_millis(1_200), Duration::ZERO);
    world.set_store("a", StoreBehaviour::Slow);
    let submitted = world.submit(cx, 1, steps).await;
    assert_matches!(submitted, SubmitReply::Accepted | SubmitReply::Unknown);
    until("a placement is being written", LIMIT, async || {
        cx.owners()
            .iter()
            .any(|owner| !owner.runs.borrow().is_empty())
    })
    .await;
}

fn starts_on(world: &World, worker: &str) -> usize {
    let starts = world.starts.borrow();
    starts.iter().filter(|(_, _, on)| on == worker).count()
}

fn is_known_to_leave(cx: &Cx, worker: &str) -> bool {
    cx.owners().iter().any(|owner| {
        let is_leaving = owner.session(worker, |session| {
            let report = session.report.as_ref();
            report.is_some_and(|report| report.leaving_in.is_some())
        });
        is_leaving == Some(true)
    })
}

/// Guards against a start that is placed before its worker announces that it leaves, and sent when the placement is
/// durable at last.
#[test]
fn a_start_that_waits_for_its_journal_row_is_not_sent_to_a_worker_that_leaves_by_then() {
    paused(async {
        let (world, cx) = cluster(1).await;
        place_while_store_is_slow(&world, &cx, vec![step(2, 300, &[])]).await;
        world.announce_leaving("w0");
        until("the announcement is read", LIMIT, async || {
            is_known_to_leave(&cx, "w0")
        })
        .await;
        sleep(Duration::from_secs(4)).await;
        assert_eq!(starts_on(&world, "w0"), 0);
        world.add_worker("w1");
        world.set_store("a", StoreBehaviour::Up);
        wait_completed(&world, &cx, 1).await;
        assert_eq!(starts_on(&world, "w1"), 2, "nothing is started twice");
        world.check();
    });
}

/// Guards against a start on a worker that the directory no longer lists when the placement is durable.
#[test]
fn a_start_that_waits_for_its_journal_row_is_not_sent_to_a_worker_that_is_gone_by_then() {
    paused(async {
        let (world, cx) = cluster(1).await;
        place_while_store_is_slow(&world, &cx, vec![step(2, 300, &[])]).await;
        world.list("w0", false);
        sleep(Duration::from_secs(4)).await;
        assert_eq!(starts_on(&world, "w0"), 0);
        world.check();
    });
}

/// Guards against members of a gang that are started, and hold their hosts, although another member is not.
#[test]
fn a_gang_that_waits_for_its_journal_row_is_started_whole_or_not_at_all() {
    paused(async {
        let (world, cx) = cluster(2).await;
        let member = step(2, 300, &[]);
        let gang = Step {
            gang: Gang::AnyRack,
            size: Size {
                millicores: 4_000,
                ..member.size
            },
            ..member
        };
        place_while_store_is_slow(&world, &cx, vec![gang]).await;
        world.announce_leaving("w0");
        sleep(Duration::from_secs(4)).await;
        assert!(world.starts.borrow().is_empty());
        world.add_worker("w2");
        world.set_store("a", StoreBehaviour::Up);
        wait_completed(&world, &cx, 1).await;
        assert_eq!(world.starts.borrow().len(), 2);
        world.check();
    });
}

/// Submits jobs while the workers can't be read and one of them leaves: after 6 s no more starts are sent, and all jobs run
/// once they can be read again.
async fn stops_starting_while_unread(set_unreadable: impl Fn(&World, bool)) {
    let (world, cx) = cluster(2).await;
    set_unreadable(&world, true);
    world.announce_leaving("w0");
    submit_for(&world, &cx, 1, Duration::from_secs(6)).await;
    let starts = world.starts.borrow().len();
    sleep(Duration::from_secs(2)).await;
    assert_eq!(world.starts.borrow().len(), starts);
    set_unreadable(&world, false);
    for job in 1..=60 {
        wait_completed(&world, &cx, job).await;
    }
    world.check();
}

/// Guards against an owner that goes on starting tasks on a list of workers that it can no longer read.
#[test]
fn an_owner_that_cannot_read_the_workers_stops_starting() {
    paused(stops_starting_while_unread(|world, is_unreadable| {
        world.directory_is_silent.set(is_unreadable);
    }));
}

/// Guards against the same while the store refuses reads beyond its rate and takes writes.
#[test]
fn an_owner_whose_reads_are_refused_stops_starting() {
    paused(stops_starting_while_unread(|world, is_unreadable| {
        let behaviour = match is_unreadable {
            true => StoreBehaviour::RefusesReads,
            false => StoreBehaviour::Up,
        };
        world.set_store("a", behaviour);
    }));
}

/// Guards against a host that wakes from a suspension and starts tasks on the list that it read before.
#[test]
fn a_host_that_was_suspended_reads_the_workers_before_it_starts_tasks() {
    paused(async {
        let (world, cx) = cluster(2).await;
        until("a list is noted", LIMIT, async || {
            cx.owners().iter().all(|owner| {
                let age = owner.worker_list.age(&cx);
                age.is_some_and(|age| age < Duration::from_millis(50))
            })
        })
        .await;
        world.note_suspension("a", LEAVING_DEADLINE);
        world.list("w0", false);
        let submitted = world.submit(&cx, 1, vec![step(8, 300, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        wait_completed(&world, &cx, 1).await;
        assert_eq!(starts_on(&world, "w0"), 0);
        world.check();
    });
}

/// Guards against news of workers that waits until a new rack has a shard, which takes seconds on a slow store.
#[test]
fn a_new_rack_does_not_hold_up_the_news_that_workers_leave() {
    paused(async {
        let (world, cx) = cluster(2).await;
        world.set_slow_txn(Duration::from_millis(2_000), Duration::ZERO);
        world.set_store("a", StoreBehaviour::Slow);
        world.add_worker("w2");
        world.announce_leaving("w0");
        let known_within = Duration::from_millis(1_500);
        until("the announcement is read", known_within, async || {
            is_known_to_leave(&cx, "w0")
        })
        .await;
        until("the new rack has a shard", LIMIT, async || {
            cx.owners()
                .iter()
                .any(|owner| owner.session("w2", |session| session.is_claimed()) == Some(true))
        })
        .await;
        world.check();
    });
}

/// Guards against starts on a worker whose entry says `ready` again after the same incarnation has announced to leave.
#[test]
fn a_worker_that_has_announced_to_leave_gets_no_start_when_it_is_listed_as_ready_again() {
    paused(async {
        let (world, cx) = cluster(2).await;
        world.announce_leaving("w0");
        sleep(Duration::from_secs(1)).await;
        world.list_as_ready("w0");
        sleep(LEAVING_DEADLINE).await;
        let submitted = world.submit(&cx, 1, vec![step(8, 300, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        wait_completed(&world, &cx, 1).await;
        assert_eq!(starts_on(&world, "w0"), 0);
        world.check();
    });
}

/// Guards against a worker that stays closed after it has restarted, since an earlier incarnation of it has left.
#[test]
fn a_worker_that_restarts_after_it_has_left_gets_starts() {
    paused(async {
        let (world, cx) = cluster(1).await;
        world.announce_leaving("w0");
        sleep(Duration::from_secs(1)).await;
        world.crash("w0");
        world.list_as_ready("w0");
        world.restart("w0");
        let submitted = world.submit(&cx, 1, vec![step(2, 300, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        wait_completed(&world, &cx, 1).await;
        world.check();
    });
}
