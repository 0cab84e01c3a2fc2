//! The journal under load, on a fast and on a slow store.

use super::{
    paused,
    world::{CallFate, ObjectCall, StoreBehaviour, World, owned, spec, step, terms},
};
use assert_matches::assert_matches;
use lapisdrum::{
    core::time::Millis,
    sched::{
        Cx,
        edge::{Txn, TxnOutcome},
        event::Event,
        features::Features,
        job::{InvalidJob, JobId, JobSpec, MAX_SPEC_BYTES, MAX_STEPS, RawJob, Step},
        journal::{AppendOutcome, Journal},
        ledger::Ledger,
        peer::SubmitReply,
    },
};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep, timeout};

const PARTITION: &str = "shard-0";

/// A daemon without background tasks, and a journal of it whose writer runs.
async fn journal(world: &Rc<World>) -> (Cx, Rc<Journal>) {
    let cx = world.idle_daemon("a");
    let (fence, _) = world.fence(PARTITION);
    let raise_fence = Txn {
        expect: vec![(fence.clone(), 0)],
        put: vec![(fence.clone(), "a".into())],
        delete: Vec::new(),
    };
    let TxnOutcome::Committed(version) = cx.store.commit(&raise_fence).await else {
        panic!("the fence could not be raised");
    };
    let journal = Rc::new(Journal::new(PARTITION, (fence, version)));
    let (writer, daemon) = (Rc::clone(&journal), Rc::clone(&cx));
    actix_rt::spawn(async move { writer.write_all(&daemon, || b"{}".to_vec()).await });
    (cx, journal)
}

/// An event of about 3 KB.
fn event(job: u64) -> Event {
    Event::Accepted {
        job: JobId(job),
        spec: Rc::new(spec(&"x".repeat(3_000))),
        terms: terms(),
        at_unix_ms: 0,
        data_centre: None,
        moved_from: None,
    }
}

/// Guards against journal rows that queue up, at 200 KB of events a second and 300 ms for each transaction. With one
/// row per transaction, submissions waited several seconds, their callers got no definite answer, and nothing was
/// started. With all queued rows in one transaction, each event waits for two at most.
#[test]
fn a_slow_store_keeps_pace_with_many_events() {
    paused(async {
        let world = World::new(0);
        let (_cx, journal) = journal(&world).await;
        world.set_store("a", StoreBehaviour::Slow);
        let longest = Rc::new(Cell::new(Duration::ZERO));
        for job in 0..400 {
            let (started_at, ticket) = (Instant::now(), journal.append(&[event(job)]));
            let longest = Rc::clone(&longest);
            actix_rt::spawn(async move {
                assert_eq!(ticket.outcome().await, AppendOutcome::Durable);
                longest.set(longest.get().max(started_at.elapsed()));
            });
            sleep(Duration::from_millis(15)).await;
        }
        sleep(Duration::from_secs(2)).await;
        let longest = longest.get();
        assert!(longest < Duration::from_millis(900), "{longest:?}");
    });
}

/// Guards against rows that wait until a snapshot is stored: on a slow store, writing the object and its pointer and
/// deleting the rows that it covers takes seconds. Rows are written concurrently.
#[test]
fn rows_do_not_wait_for_a_snapshot() {
    paused(async {
        let world = World::new(0);
        let (cx, journal) = journal(&world).await;
        for job in 0..400 {
            assert_eq!(
                journal.append(&[event(job)]).outcome().await,
                AppendOutcome::Durable
            );
        }
        world.set_store("a", StoreBehaviour::Slow);
        let started_at = Instant::now();
        assert_eq!(
            journal.append(&[event(400)]).outcome().await,
            AppendOutcome::Durable
        );
        let took = started_at.elapsed();
        assert!(took < Duration::from_millis(1_000), "{took:?}");
        assert!(journal.accepts_work(cx.clock.now()));
    });
}

/// Rows of one transaction are all recovered, in order, with a snapshot in between.
#[test]
fn rows_of_one_transaction_are_recovered_in_order() {
    paused(async {
        let world = World::new(0);
        let (cx, journal) = journal(&world).await;
        world.set_store("a", StoreBehaviour::Slow);
        let tickets: Vec<_> = (0..200).map(|job| journal.append(&[event(job)])).collect();
        for ticket in tickets {
            assert_eq!(ticket.outcome().await, AppendOutcome::Durable);
        }
        journal.stop();
        let next = Journal::new(PARTITION, world.fence(PARTITION));
        let ledger = next.recover(&cx).await.expect("a ledger");
        let jobs: Vec<u64> = ledger.jobs.keys().map(|id| id.0).collect();
        assert_eq!(jobs, (0..200).collect::<Vec<u64>>());
        assert!(next.accepts_work(Millis(0)));
    });
}

/// An event of this many bytes and somewhat more.
fn large_event(job: u64, bytes: usize) -> Event {
    let raw = RawJob {
        payload: String::new(),
        steps: (0..MAX_STEPS).map(|at| with_image(at, bytes)).collect(),
        schedule: None,
    };
    Event::Accepted {
        job: JobId(job),
        spec: Rc::new(JobSpec::try_from(raw).expect("a valid job")),
        terms: terms(),
        at_unix_ms: 0,
        data_centre: None,
        moved_from: None,
    }
}

/// A step whose image name takes its part of `bytes`; the names differ.
fn with_image(at: usize, bytes: usize) -> Step {
    let name = char::from(b'!' + at as u8).to_string();
    Step {
        image: Some(name.repeat(bytes / MAX_STEPS)),
        ..step(1, 100, &[])
    }
}

/// Guards against an event that takes more than a row of the store: the store refused the row for good, and nothing
/// else of the shard was written.
#[test]
fn an_event_larger_than_a_row_is_durable_and_recovered() {
    paused(async {
        let world = World::new(0);
        let (cx, journal) = journal(&world).await;
        let sizes = [0, 100_000, 290_000, 290_000, 40_000, 290_000, 0];
        let events: Vec<Event> = (0..)
            .zip(sizes)
            .map(|(job, size)| large_event(job, size))
            .collect();
        let tickets: Vec<_> = events
            .iter()
            .map(|event| journal.append(std::slice::from_ref(event)))
            .collect();
        for ticket in tickets {
            let outcome = timeout(Duration::from_secs(5), ticket.outcome()).await;
            assert_eq!(outcome, Ok(AppendOutcome::Durable));
        }
        journal.stop();
        let next = Journal::new(PARTITION, world.fence(PARTITION));
        let ledger = next.recover(&cx).await.expect("a ledger");
        let mut expected = Ledger::default();
        for event in &events {
            expected.apply(event).expect("valid");
        }
        assert_eq!(ledger, expected);
    });
}

/// Guards against a job that the journal can never take: it is refused before it is applied.
#[test]
fn a_job_that_no_journal_event_can_hold_is_invalid() {
    let raw = RawJob {
        payload: String::new(),
        steps: vec![with_image(0, MAX_STEPS * (MAX_SPEC_BYTES + 1))],
        schedule: None,
    };
    assert_matches!(JobSpec::try_from(raw), Err(InvalidJob::Size(len)) if len > MAX_SPEC_BYTES);
}

/// Guards against a shard that accepts jobs until the store is full, and then can't write how they end: without snapshots
/// its journal grows for as long as jobs are accepted.
#[test]
fn a_shard_refuses_new_jobs_once_its_journal_is_full() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, Duration::from_secs(5)).await;
        let owner = cx.owners().remove(0);
        world.script_objects(ObjectCall::Put, vec![CallFate::Refused; 1_000]);
        let steps = || vec![step(1, 100, &[])];
        assert_matches!(world.submit(&cx, 1, steps()).await, SubmitReply::Accepted);
        for job in 100..11_000 {
            let ticket = owner.propose(&cx, vec![event(job)]);
            if job % 200 == 0 {
                assert_eq!(ticket.outcome().await, AppendOutcome::Durable);
            }
        }
        let bytes = owner.journal.usage().bytes;
        assert!(bytes > 32 * 1024 * 1024, "{bytes}");
        assert_matches!(world.submit(&cx, 2, steps()).await, SubmitReply::Busy(wait) if wait > Duration::ZERO);
        // A repeated submission gets the outcome of the first.
        assert_matches!(world.submit(&cx, 1, steps()).await, SubmitReply::Accepted);
        world.script_objects(ObjectCall::Put, []);
        sleep(Duration::from_secs(40)).await;
        let ticket = owner.propose(&cx, Vec::new());
        assert_eq!(ticket.outcome().await, AppendOutcome::Durable);
        sleep(Duration::from_secs(5)).await;
        assert_matches!(world.submit(&cx, 2, steps()).await, SubmitReply::Accepted);
    });
}

/// Guards against a next owner that reads megabytes of rows over a slow link while workers' leases end. Under steady load
/// some event always waits when a batch is written, so a snapshot must not wait for a pause.
#[test]
fn snapshots_under_steady_load_bound_what_a_recovery_reads() {
    paused(async {
        let world = World::new(0);
        world.features.set(Features {
            quick_recovery: true,
            ..Features::default()
        });
        let (_cx, journal) = journal(&world).await;
        let mut most = 0;
        for job in 0..2_000 {
            drop(journal.append(&[event(job)]));
            sleep(Duration::from_millis(5)).await;
            most = most.max(journal.usage().bytes);
        }
        println!("{most} bytes of rows at most");
        assert!(most < 1024 * 1024, "{most}");
    });
}
