//! What a replaced owner may still do, and what its successor may conclude.

use super::{
    paused,
    world::{StoreBehaviour, World, owned, owns, spec, step, terms, until},
};
use assert_matches::assert_matches;
use lapisdrum::sched::{
    Cx,
    edge::{RowKey, Txn, TxnOutcome},
    event::Event,
    job::JobId,
    journal::{AppendOutcome, JOURNAL_TABLE, Journal},
    layout::ShardId,
    lease::LEASE,
    ledger::Ledger,
    peer::{CancelReply, JobState, SubmitReply},
    reachability,
};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(5);

/// The owner of a shard with one long task, and another daemon.
async fn pair_with_a_long_task(world: &Rc<World>) -> [Cx; 2] {
    let first = world.daemon("a");
    owned(&first, LIMIT).await;
    let second = world.daemon("b");
    let steps = vec![step(1, 60_000, &[])];
    assert_matches!(world.submit(&first, 1, steps).await, SubmitReply::Accepted);
    until("the task runs", LIMIT, async || world.running().len() == 1).await;
    [first, second]
}

/// Guards against a task that runs twice at once: only the owner without access to the store reaches its worker, and
/// must have stopped renewing the worker's lease before the successor starts the task elsewhere.
#[test]
fn a_replaced_owner_stops_renewing_before_its_successor_restarts_tasks() {
    paused(async {
        let world = World::new(2);
        let [_first, second] = pair_with_a_long_task(&world).await;
        let on_first = ["w0", "w1"].map(|w| !world.running_on(w).is_empty());
        world.cut_from("b", if on_first[0] { "w0" } else { "w1" });
        world.set_store("a", StoreBehaviour::Unavailable);
        owned(&second, LIMIT).await;
        until("the task is started again", LIMIT * 6, async || {
            world.starts.borrow().len() == 2
        })
        .await;
        sleep(LIMIT).await;
        world.check();
    });
}

/// Guards against a repeated cancel that is confirmed while the journal row of the first is not durable, and lost with
/// the owner.
#[test]
fn a_repeated_cancel_is_confirmed_no_sooner_than_the_first() {
    paused(async {
        let world = World::new(1);
        let [first, second] = pair_with_a_long_task(&world).await;
        world.set_store("a", StoreBehaviour::Unavailable);
        assert_matches!(world.cancel(&first, 1).await, CancelReply::Unknown);
        let again = world.cancel(&first, 1).await;
        assert_ne!(again, CancelReply::Done);
        owned(&second, LIMIT).await;
        assert_eq!(world.state(&second, 1).await, Some(JobState::Running));
    });
}

/// An address that accepts connections and never answers, like that of a frozen process.
fn frozen_address() -> (std::net::TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Guards against replacing a frozen or slow owner at its first missing renewal.
#[test]
fn an_owner_that_does_not_answer_keeps_its_lease() {
    paused(async {
        let world = World::new(1);
        let (_listener, address) = frozen_address();
        let first = world.daemon_at("a", address);
        owned(&first, LIMIT).await;
        let second = world.daemon("b");
        sleep(Duration::from_secs(1)).await;
        world.set_store("a", StoreBehaviour::Unavailable);
        sleep(LEASE - Duration::from_millis(450)).await;
        assert!(!owns(&second, ShardId(0)));
        owned(&second, LIMIT).await;
        world.check();
    });
}

/// Guards against taking the successors of an owner that has ended for ended too.
#[test]
fn a_successor_of_an_ended_owner_keeps_the_shard() {
    paused(async {
        let world = World::new(1);
        let (listener, address) = frozen_address();
        let first = world.daemon_at("a", address);
        drop(listener);
        owned(&first, LIMIT).await;
        let others = ["b", "c"].map(|name| world.daemon(name));
        sleep(Duration::from_secs(1)).await;
        world.set_store("a", StoreBehaviour::Unavailable);
        until("another daemon has taken over", LIMIT, async || {
            others.iter().any(|cx| owns(cx, ShardId(0)))
        })
        .await;
        let (_, fence) = world.fence("shard-0");
        sleep(LIMIT * 2).await;
        assert_eq!(world.fence("shard-0").1, fence);
    });
}

/// Guards against a daemon that becomes not ready while the store answers: unreachable daemons alone do not make it
/// isolated.
#[test]
fn a_daemon_that_reaches_the_store_stays_ready() {
    paused(async {
        let world = World::new(1);
        let (owner, relay) = world.daemon_behind_relay("a", "westlands");
        owned(&owner, LIMIT).await;
        let other = world.daemon("b");
        actix_rt::spawn(reachability::follow(Rc::clone(&other)));
        sleep(Duration::from_secs(3)).await;
        relay.cut();
        for _ in 0..40 {
            sleep(Duration::from_millis(100)).await;
            assert!(!other.reachability.is_isolated());
        }
    });
}

/// Guards against a shard that can never be recovered because its owner ended after storing a snapshot and before
/// deleting the rows that the snapshot covers.
#[test]
fn rows_that_a_snapshot_covers_are_skipped() {
    paused(async {
        let world = World::new(0);
        let cx = world.idle_daemon("a");
        let (fence, _) = world.fence("shard-0");
        let raise_fence = Txn {
            put: vec![(fence.clone(), "a".into())],
            ..Txn::default()
        };
        let TxnOutcome::Committed(version) = cx.store.commit(&raise_fence).await else {
            panic!("the fence could not be raised");
        };
        let journal = Rc::new(Journal::new("shard-0", (fence, version)));
        let (writer, daemon) = (Rc::clone(&journal), Rc::clone(&cx));
        let state = || serde_json::to_vec(&Ledger::default()).expect("a serialisable ledger");
        actix_rt::spawn(async move { writer.write_all(&daemon, state).await });
        let accepted = |job| Event::Accepted {
            job: JobId(job),
            spec: Rc::new(spec("work")),
            terms: terms(),
            at_unix_ms: 0,
        };
        let mut covered = None;
        for job in 0..500 {
            let ticket = journal.append(&[accepted(job)]);
            assert_eq!(ticket.outcome().await, AppendOutcome::Durable);
            let rows = cx.store.rows(JOURNAL_TABLE, "shard-0", "").await;
            covered = covered.or(rows.expect("rows").into_iter().next());
        }
        sleep(LIMIT).await;
        let first = covered.expect("the first row");
        let remaining = cx.store.rows(JOURNAL_TABLE, "shard-0", "").await;
        let remaining = remaining.expect("rows");
        assert!(remaining.first().is_some_and(|row| row.key > first.key));
        let covered_row = RowKey {
            table: JOURNAL_TABLE,
            partition: "shard-0".to_owned(),
            key: first.key,
        };
        let put = Txn {
            put: vec![(covered_row, first.value)],
            ..Txn::default()
        };
        assert_matches!(cx.store.commit(&put).await, TxnOutcome::Committed(_));
        let ledger = journal.recover(&cx).await.expect("a ledger");
        assert_eq!(ledger.jobs.len(), remaining.len());
    });
}
