//! Evacuations of data centres: the known state by itself, and real owners that act on it.

use super::{
    paused,
    world::{StoreBehaviour, World, owned, owns, spec, step, terms, until},
};
use assert_matches::assert_matches;
use indexmap::IndexMap;
use lapisdrum::{
    core::time::{Millis, Timestamp},
    sched::{
        Cx,
        evacuation::{Change, Evacuations},
        job::JobId,
        layout::ShardId,
        peer::{self, JobState, OwnerReply, OwnerRequest, SubmitReply},
    },
};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(5);
const DEADLINE: Duration = Duration::from_secs(5);
const TRANSIT: Duration = Duration::from_millis(750);
/// Time until every daemon has read an evacuation, even if one read is lost.
const KNOWN: Duration = Duration::from_millis(1_500);

fn requests(data_centres: &[&str]) -> IndexMap<String, u64> {
    let requests = data_centres.iter().zip(1..);
    requests.map(|(name, at)| (name.to_string(), at)).collect()
}

fn sent_at(at: u64) -> Timestamp {
    Timestamp {
        at: Millis(at),
        unix_ms: at,
    }
}

fn allows(evacuations: &Evacuations, data_centre: &str, now: u64) -> bool {
    let read_sent_at = evacuations.read_sent_at();
    let read_age = read_sent_at.map(|sent| Millis(now).since(sent.at));
    evacuations.allows_starts(data_centre, read_age, DEADLINE, TRANSIT)
}

/// A cluster of two workers in `karen`, two in `westlands` and one daemon.
async fn two_data_centres() -> (Rc<World>, Cx) {
    let world = World::new(4);
    world.set_data_centre("w0", "westlands");
    world.set_data_centre("w1", "westlands");
    let cx = world.daemon("a");
    owned(&cx, LIMIT).await;
    (world, cx)
}

async fn wait_completed(world: &World, cx: &Cx, job: u64) {
    until("the job is completed", LIMIT * 3, async || {
        world.state(cx, job).await == Some(JobState::Completed)
    })
    .await;
}

/// Guards against starts by a daemon that has not read the evacuations yet, or not for too long.
#[test]
fn missing_or_stale_knowledge_allows_no_start() {
    let mut evacuations = Evacuations::default();
    assert!(!allows(&evacuations, "karen", 0));
    evacuations.note(&requests(&[]), sent_at(1_000), Millis(1_010));
    assert!(allows(&evacuations, "karen", 1_010));
    assert!(allows(&evacuations, "karen", 5_200));
    assert!(!allows(&evacuations, "karen", 5_250));
}

/// Guards against an evacuation that ends together with another one, or that a repeated request hides.
#[test]
fn evacuations_of_several_data_centres_end_one_by_one() {
    let mut evacuations = Evacuations::default();
    let note = |evacuations: &mut Evacuations, names: &[&str], at: u64| {
        evacuations.note(&requests(names), sent_at(at), Millis(at + 10))
    };
    assert_eq!(note(&mut evacuations, &["karen"], 0).len(), 1);
    assert_eq!(
        note(&mut evacuations, &["westlands", "karen"], 600).len(),
        1
    );
    assert!(!allows(&evacuations, "karen", 700));
    assert!(!allows(&evacuations, "westlands", 700));
    let restored = note(&mut evacuations, &["karen"], 1_200);
    assert_matches!(&restored[..], [Change::Restored { data_centre, .. }] if data_centre == "westlands");
    assert!(allows(&evacuations, "westlands", 1_300));
    assert!(!allows(&evacuations, "karen", 1_300));
    assert!(note(&mut evacuations, &["karen"], 1_800).is_empty());
}

/// Guards against new starts in an evacuated data centre, and against stopping the tasks that run there.
#[test]
fn an_evacuated_data_centre_gets_no_start_and_finishes_its_work() {
    paused(async {
        let (world, cx) = two_data_centres().await;
        let long = vec![step(16, 4_000, &[])];
        assert_matches!(world.submit(&cx, 1, long).await, SubmitReply::Accepted);
        until("all run", LIMIT, async || world.running().len() == 16).await;
        world.evacuate("westlands");
        sleep(KNOWN).await;
        let evacuated_at = Instant::now();
        for job in 2..8 {
            let submitted = world.submit(&cx, job, vec![step(2, 300, &[])]).await;
            assert_matches!(submitted, SubmitReply::Accepted);
        }
        assert!(cx.metrics.text().contains("runs_in_evacuated 8"));
        for job in 1..8 {
            wait_completed(&world, &cx, job).await;
        }
        let starts = world.starts.borrow().clone();
        assert_eq!(starts.len(), 16 + 12, "nothing was started twice");
        let since = starts.iter().filter(|(at, ..)| *at > evacuated_at);
        let mut on: Vec<&str> = since.map(|(_, _, worker)| worker.as_str()).collect();
        on.sort_unstable();
        on.dedup();
        assert_eq!(on, ["w2", "w3"]);
        sleep(KNOWN).await;
        assert!(cx.metrics.text().contains("runs_in_evacuated 0"));
        world.check();
    });
}

/// Guards against a start that is placed before the evacuation is known and sent afterwards.
#[test]
fn a_start_that_waits_for_its_journal_row_is_not_sent_into_an_evacuated_data_centre() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        sleep(Duration::from_secs(1)).await;
        world.set_slow_txn(Duration::from_millis(900), Duration::ZERO);
        world.set_store("a", StoreBehaviour::Slow);
        let submitted = world.submit(&cx, 1, vec![step(1, 300, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted | SubmitReply::Unknown);
        until("a placement is being written", LIMIT, async || {
            cx.owners()
                .iter()
                .any(|owner| !owner.runs.borrow().is_empty())
        })
        .await;
        world.evacuate("karen");
        sleep(Duration::from_secs(8)).await;
        assert!(world.starts.borrow().is_empty());
        world.set_store("a", StoreBehaviour::Up);
        world.restore("karen");
        wait_completed(&world, &cx, 1).await;
        assert_eq!(world.starts.borrow().len(), 1);
        world.check();
    });
}

/// Guards against a successor that starts tasks before it knows of the evacuation.
#[test]
fn a_take_over_during_an_evacuation_starts_nothing_there() {
    paused(async {
        let (world, first) = two_data_centres().await;
        let second = world.daemon("b");
        world.evacuate("westlands");
        sleep(KNOWN * 4).await;
        let steps = vec![step(4, 500, &[]), step(12, 500, &[0])];
        assert_matches!(world.submit(&first, 1, steps).await, SubmitReply::Accepted);
        world.set_store("a", StoreBehaviour::Unavailable);
        until("the other daemon has taken over", LIMIT * 2, async || {
            owns(&second, ShardId(0))
        })
        .await;
        wait_completed(&world, &second, 1).await;
        let starts = world.starts.borrow().clone();
        assert!(starts.iter().all(|(_, _, on)| on == "w2" || on == "w3"));
        world.check();
    });
}

/// Guards against starts by an owner that can write its journal but cannot read the operators' requests.
#[test]
fn an_owner_that_cannot_read_evacuations_stops_starting() {
    paused(async {
        let (world, cx) = two_data_centres().await;
        world.operators_are_silent.set(true);
        world.evacuate("westlands");
        for job in 1..40 {
            let steps = vec![step(4, 300, &[])];
            assert_matches!(world.submit(&cx, job, steps).await, SubmitReply::Accepted);
            sleep(Duration::from_millis(200)).await;
        }
        let starts = world.starts.borrow().len();
        sleep(Duration::from_secs(2)).await;
        assert_eq!(world.starts.borrow().len(), starts);
        world.operators_are_silent.set(false);
        for job in 1..40 {
            wait_completed(&world, &cx, job).await;
        }
        world.check();
    });
}

/// Guards against a host that wakes from a suspension and starts tasks by the evacuations that it read before.
#[test]
fn a_host_that_was_suspended_reads_the_evacuations_before_it_starts_tasks() {
    paused(async {
        let (world, cx) = two_data_centres().await;
        sleep(KNOWN).await;
        world.operators_are_silent.set(true);
        world.note_suspension("a", DEADLINE);
        world.evacuate("westlands");
        // Until the lease is renewed, nothing is started for that reason.
        until("starts are allowed again", LIMIT, async || {
            cx.owners().iter().any(|owner| owner.may_start(&cx))
        })
        .await;
        let submitted = world.submit(&cx, 1, vec![step(16, 300, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        sleep(Duration::from_secs(2)).await;
        assert!(world.starts.borrow().is_empty());
        world.operators_are_silent.set(false);
        wait_completed(&world, &cx, 1).await;
        world.check();
    });
}

/// Guards against accepting jobs while no data centre can run them, and against refusing the repeated submission of an
/// accepted job.
#[test]
fn submissions_are_refused_while_every_data_centre_is_evacuated() {
    paused(async {
        let (world, cx) = two_data_centres().await;
        let steps = vec![step(1, 9_000, &[])];
        assert_matches!(
            world.submit(&cx, 1, steps.clone()).await,
            SubmitReply::Accepted
        );
        world.evacuate("karen");
        world.evacuate("westlands");
        sleep(KNOWN).await;
        let started_at = Instant::now();
        let refused = world.submit(&cx, 2, steps.clone()).await;
        assert_matches!(refused, SubmitReply::Busy(wait) if wait >= Duration::from_secs(1));
        assert!(started_at.elapsed() < Duration::from_millis(20));
        assert_matches!(world.submit(&cx, 1, steps).await, SubmitReply::Accepted);
        world.restore("karen");
        sleep(KNOWN).await;
        let request = OwnerRequest::Submit {
            job: JobId(2),
            spec: spec("work"),
            terms: terms(),
            is_sent: false,
        };
        world.register_steps(2, vec![step(1, 100, &[])]);
        let accepted = peer::answer(&cx, ShardId(0), request).await;
        assert_matches!(accepted, OwnerReply::Submitted(SubmitReply::Accepted));
        wait_completed(&world, &cx, 2).await;
        world.check();
    });
}

/// Guards against missing the end of an evacuation when a data centre is evacuated several times in a row.
#[test]
fn a_restored_data_centre_gets_work_again() {
    paused(async {
        let (world, cx) = two_data_centres().await;
        for round in 0..3 {
            world.evacuate("westlands");
            sleep(Duration::from_millis(700)).await;
            world.restore("westlands");
            sleep(Duration::from_millis(200)).await;
            if round == 1 {
                world.evacuate("karen");
            }
        }
        sleep(KNOWN).await;
        let submitted = world.submit(&cx, 1, vec![step(8, 300, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        wait_completed(&world, &cx, 1).await;
        let starts = world.starts.borrow().clone();
        assert!(starts.iter().all(|(_, _, on)| on == "w0" || on == "w1"));
        world.check();
    });
}
