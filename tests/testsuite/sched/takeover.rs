//! What a replaced owner may still do, and what its successor may conclude.

use super::{
    paused,
    world::{StoreBehaviour, World, owned, owns, spec, step, terms, until},
};
use assert_matches::assert_matches;
use indexmap::IndexMap;
use lapisdrum::sched::{
    Cx,
    edge::{RowKey, Txn, TxnOutcome},
    event::Event,
    job::JobId,
    journal::{AppendOutcome, JOURNAL_TABLE, Journal},
    layout::ShardId,
    lease::LEASE,
    ledger::Ledger,
    owner::stop_note::{StopNote, row_of},
    peer::{CancelReply, JobState, SubmitReply},
    process, reachability,
};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(5);
/// Upper bound of the time from the last lease that can have been sent until its task runs elsewhere: the longest lease,
/// its transit, clock drift and a maintenance round.
const LEASE_ENDED: Duration = Duration::from_millis(7_500);
/// Upper bound of the time from what an owner writes when it stops until its successor has read it.
const NOTE_READ: Duration = Duration::from_millis(700);

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
            data_centre: None,
            moved_from: None,
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

/// The owner releases the shard in a planned restart.
async fn release(cx: &Cx) {
    cx.draining.send_replace(true);
    process::release_shards(cx).await;
}

/// Cuts the worker of the only task off, and adds another one.
fn lose_the_worker(world: &World) {
    let worker = world.starts.borrow()[0].2.clone();
    world.cut(&worker, true);
    world.add_worker("spare");
}

/// Time from now until the task runs elsewhere.
async fn restarted(world: &World) -> Duration {
    let started_at = Instant::now();
    until("the task is started again", LIMIT * 6, async || {
        world.starts.borrow().len() == 2
    })
    .await;
    started_at.elapsed()
}

/// Guards against a hold waited out for an owner that released the shard, and so renews no lease.
#[test]
fn a_task_lost_in_a_release_runs_again_when_its_lease_has_ended() {
    paused(async {
        let world = World::new(1);
        let [first, second] = pair_with_a_long_task(&world).await;
        sleep(LIMIT * 2).await;
        lose_the_worker(&world);
        release(&first).await;
        owned(&second, LIMIT).await;
        let took = restarted(&world).await;
        assert!(took < LEASE_ENDED, "{took:?}");
        sleep(LIMIT).await;
        world.check();
    });
}

/// Guards against a hold waited out for the owners before the last one in a rolling restart.
#[test]
fn a_second_release_does_not_extend_the_bound_on_the_first_owner() {
    paused(async {
        let world = World::new(1);
        let [first, second] = pair_with_a_long_task(&world).await;
        sleep(LIMIT * 2).await;
        lose_the_worker(&world);
        release(&first).await;
        owned(&second, LIMIT).await;
        sleep(Duration::from_secs(3)).await;
        let third = world.daemon("c");
        release(&second).await;
        owned(&third, LIMIT).await;
        let took = restarted(&world).await;
        assert!(took < LEASE_ENDED, "{took:?}");
        sleep(LIMIT).await;
        world.check();
    });
}

/// Guards against a hold of an owner that ended earlier and is counted from its successor's successor.
#[test]
fn kills_in_series_do_not_extend_the_bound_on_the_first_owner() {
    paused(async {
        let world = World::new(1);
        let [_first, second] = pair_with_a_long_task(&world).await;
        sleep(LIMIT * 2).await;
        lose_the_worker(&world);
        world.set_store("a", StoreBehaviour::Unavailable);
        owned(&second, LIMIT).await;
        let note_ended = |cx: &Cx| {
            let owner = cx.owners().remove(0);
            owner.note_previous_owner_ended(cx.clock.now());
        };
        note_ended(&second);
        sleep(Duration::from_secs(2)).await;
        world.set_store("b", StoreBehaviour::Unavailable);
        let third = world.daemon("c");
        owned(&third, LIMIT).await;
        note_ended(&third);
        let took = restarted(&world).await;
        assert!(took < LEASE_ENDED, "{took:?}");
        sleep(LIMIT).await;
        world.check();
    });
}

/// Guards against a hold waited out for a replaced owner that lives and has stopped, for a worker that was silent before.
#[test]
fn a_stopped_owner_does_not_extend_the_bound_on_a_silent_worker() {
    paused(async {
        let world = World::new(1);
        let [first, second] = pair_with_a_long_task(&world).await;
        sleep(LIMIT * 2).await;
        lose_the_worker(&world);
        let lost_at = Instant::now();
        sleep(Duration::from_secs(2)).await;
        world.set_store("a", StoreBehaviour::Unavailable);
        owned(&second, LIMIT).await;
        world.set_store("a", StoreBehaviour::Up);
        restarted(&world).await;
        let took = lost_at.elapsed();
        assert!(took < LEASE_ENDED + NOTE_READ, "{took:?}");
        assert!(!owns(&first, ShardId(0)));
        sleep(LIMIT).await;
        world.check();
    });
}

/// Guards against leases that are waited for again because the next owner ignores the note of an owner without leases
/// that came after the last sender.
#[test]
fn a_note_that_holds_for_the_previous_owner_too_is_accepted() {
    paused(async {
        let world = World::new(1);
        let [first, second] = pair_with_a_long_task(&world).await;
        sleep(LIMIT * 2).await;
        let on = world.starts.borrow()[0].2.clone();
        lose_the_worker(&world);
        let lost_at = Instant::now();
        sleep(Duration::from_secs(2)).await;
        let owner = Rc::clone(&first.owners()[0]);
        let note = StopNote {
            token: owner.token() + 1,
            stopped_token: Some(owner.token()),
            ends_in_ms: IndexMap::from_iter([(on, 2_500)]),
            confirmed: IndexMap::new(),
        };
        let put = Txn {
            put: vec![row_of(&owner, &note)],
            ..Txn::default()
        };
        assert_matches!(first.store.commit(&put).await, TxnOutcome::Committed(_));
        world.set_store("a", StoreBehaviour::Unavailable);
        owned(&second, LIMIT).await;
        restarted(&world).await;
        let took = lost_at.elapsed();
        assert!(took < LEASE_ENDED + NOTE_READ, "{took:?}");
        sleep(LIMIT).await;
        world.check();
    });
}

/// Guards against a note of another owner than the previous one, which still renews its leases, taken for its note.
#[test]
fn a_note_of_another_owner_is_ignored() {
    paused(async {
        let world = World::new(2);
        let [first, second] = pair_with_a_long_task(&world).await;
        let on = world.starts.borrow()[0].2.clone();
        let note = StopNote {
            stopped_token: None,
            token: first.owners()[0].token() - 1,
            ends_in_ms: IndexMap::from_iter([(on.clone(), 0)]),
            confirmed: IndexMap::new(),
        };
        let row = row_of(&first.owners()[0], &note);
        let put = Txn {
            put: vec![row],
            ..Txn::default()
        };
        assert_matches!(first.store.commit(&put).await, TxnOutcome::Committed(_));
        world.cut_from("b", &on);
        world.set_store("a", StoreBehaviour::Unavailable);
        owned(&second, LIMIT).await;
        restarted(&world).await;
        sleep(LIMIT).await;
        world.check();
    });
}

/// Guards against a count that starts again at each release for a worker that was silent before.
#[test]
fn releases_in_series_do_not_extend_the_bound_on_a_silent_worker() {
    paused(async {
        let world = World::new(1);
        let [first, second] = pair_with_a_long_task(&world).await;
        sleep(LIMIT * 2).await;
        lose_the_worker(&world);
        let lost_at = Instant::now();
        sleep(Duration::from_secs(2)).await;
        release(&first).await;
        owned(&second, LIMIT).await;
        sleep(Duration::from_secs(2)).await;
        let third = world.daemon("c");
        release(&second).await;
        owned(&third, LIMIT).await;
        restarted(&world).await;
        let took = lost_at.elapsed();
        assert!(took < LEASE_ENDED + NOTE_READ, "{took:?}");
        sleep(LIMIT).await;
        world.check();
    });
}

/// Guards against a lease that is sent after the release row, which the next owner takes for the end of all leases.
#[test]
fn a_releasing_owner_sends_no_lease_and_places_nothing() {
    paused(async {
        let world = World::new(1);
        let [first, _second] = pair_with_a_long_task(&world).await;
        let owner = first.owners().remove(0);
        assert!(owner.may_renew(&first) && owner.may_place(&first));
        world.set_store("a", StoreBehaviour::Unavailable);
        let releasing = Rc::clone(&first);
        actix_rt::spawn(async move { release(&releasing).await });
        sleep(Duration::from_millis(100)).await;
        assert!(owner.is_serving(), "the release has no answer yet");
        assert!(!owner.may_renew(&first) && !owner.may_place(&first));
    });
}

/// Guards against a task that runs twice at once: its worker's lease is renewed while the answer to the release is late.
#[test]
fn a_releasing_owner_renews_no_lease_while_the_answer_is_late() {
    // The worker's lease is due at any time before the answer.
    for waited_ms in (0..2_500).step_by(100) {
        paused(async {
            let world = World::new(2);
            let [first, second] = pair_with_a_long_task(&world).await;
            sleep(LIMIT + Duration::from_millis(waited_ms)).await;
            let worker = world.starts.borrow()[0].2.clone();
            world.cut_from("b", &worker);
            world.set_slow_txn(Duration::from_millis(10), Duration::from_millis(1_950));
            world.set_store("a", StoreBehaviour::Slow);
            let releasing = Rc::clone(&first);
            actix_rt::spawn(async move { release(&releasing).await });
            sleep(Duration::from_millis(50)).await;
            // The row is written, and its writer reads nothing of its successor.
            world.set_store("a", StoreBehaviour::Unavailable);
            owned(&second, LIMIT).await;
            restarted(&world).await;
            sleep(LIMIT).await;
            world.check();
        });
    }
}

/// Has a daemon lose the reply to its next take-over and everything that it asks the store afterwards.
async fn lose_the_takeover(world: &World, daemon: &str) {
    let (_, before) = world.fence("shard-0");
    until("a take-over is performed", LIMIT, async || {
        world.fence("shard-0").1 > before
    })
    .await;
    world.set_store(daemon, StoreBehaviour::Unavailable);
}

/// Guards against a hold waited out for the daemon's own take-over whose reply was lost.
#[test]
fn a_repeated_takeover_counts_no_hold_for_the_first() {
    paused(async {
        let world = World::new(1);
        let [first, second] = pair_with_a_long_task(&world).await;
        sleep(LIMIT * 2).await;
        lose_the_worker(&world);
        world.set_store("b", StoreBehaviour::LosesAnswers);
        release(&first).await;
        lose_the_takeover(&world, "b").await;
        sleep(Duration::from_secs(1)).await;
        assert!(second.owners().is_empty());
        world.set_store("b", StoreBehaviour::Up);
        owned(&second, LIMIT).await;
        let took = restarted(&world).await;
        assert!(took < LEASE_ENDED, "{took:?}");
        sleep(LIMIT).await;
        world.check();
    });
}

/// Guards against a hold waited out for another daemon whose take-over got no reply, and so sent no lease.
#[test]
fn a_takeover_without_a_reply_counts_no_hold_for_the_next_owner() {
    paused(async {
        let world = World::new(1);
        let [first, second] = pair_with_a_long_task(&world).await;
        sleep(LIMIT * 2).await;
        lose_the_worker(&world);
        world.set_store("b", StoreBehaviour::LosesAnswers);
        release(&first).await;
        lose_the_takeover(&world, "b").await;
        let third = world.daemon("c");
        owned(&third, LIMIT).await;
        assert!(second.owners().is_empty());
        let took = restarted(&world).await;
        assert!(took < LEASE_ENDED, "{took:?}");
        sleep(LIMIT).await;
        world.check();
    });
}

/// Guards against leases of an owner that the next one takes for idle: it sends none before its row is known to be
/// written.
#[test]
fn an_owner_without_answers_of_the_store_sends_no_lease() {
    paused(async {
        let world = World::new(2);
        let [first, second] = pair_with_a_long_task(&world).await;
        sleep(LIMIT).await;
        world.set_store("b", StoreBehaviour::LosesAnswers);
        release(&first).await;
        owned(&second, LIMIT).await;
        let owner = second.owners().remove(0);
        let started_at = Instant::now();
        while owner.is_serving() && started_at.elapsed() < LIMIT {
            assert!(!owner.may_renew(&second) && !owner.may_place(&second));
            sleep(Duration::from_millis(20)).await;
        }
        world.set_store("b", StoreBehaviour::Up);
        until("leases are sent again", LIMIT, async || {
            let owners = second.owners();
            owners.first().is_some_and(|owner| owner.may_renew(&second))
        })
        .await;
        sleep(LIMIT * 2).await;
        world.check();
    });
}

/// Guards against a hold waited out for an owner whose process has ended, because its address is asked only after a
/// recovery that takes seconds.
#[test]
fn an_ended_owner_is_noticed_during_the_recovery() {
    paused(async {
        let world = World::new(1);
        let (first, relay) = world.daemon_behind_relay("a", "karen");
        owned(&first, LIMIT).await;
        let second = world.daemon("b");
        let steps = vec![step(1, 60_000, &[])];
        assert_matches!(world.submit(&first, 1, steps).await, SubmitReply::Accepted);
        until("the task runs", LIMIT, async || world.running().len() == 1).await;
        sleep(LIMIT * 2).await;
        lose_the_worker(&world);
        world.set_store("a", StoreBehaviour::Unavailable);
        let _restarted = world.restart_daemon(&first, &relay);
        world.set_store("b", StoreBehaviour::Slow);
        until("the shard is taken", LIMIT * 2, async || {
            !second.owners().is_empty()
        })
        .await;
        world.set_store("b", StoreBehaviour::RefusesReads);
        let taken_at = Instant::now();
        sleep(Duration::from_secs(4)).await;
        assert!(!owns(&second, ShardId(0)), "the recovery still takes");
        world.set_store("b", StoreBehaviour::Up);
        restarted(&world).await;
        let took = taken_at.elapsed();
        assert!(took < LEASE_ENDED, "{took:?}");
        sleep(LIMIT).await;
        world.check();
    });
}

/// Guards against a task that runs twice at once: an owner that is cut off from the store right after its take-over, and
/// renews leases, is taken for one that has sent none.
#[test]
fn an_owner_cut_off_after_its_takeover_is_waited_for() {
    for waited_ms in (0..600).step_by(10) {
        paused(async {
            let world = World::new(2);
            let [first, _second] = pair_with_a_long_task(&world).await;
            sleep(LIMIT).await;
            let worker = world.starts.borrow()[0].2.clone();
            let (_, before) = world.fence("shard-0");
            release(&first).await;
            until("the shard is taken", LIMIT, async || {
                world.fence("shard-0").1 > before
            })
            .await;
            world.cut_from("c", &worker);
            let third = world.daemon("c");
            sleep(Duration::from_millis(waited_ms)).await;
            world.set_store("b", StoreBehaviour::Unavailable);
            owned(&third, LIMIT).await;
            restarted(&world).await;
            sleep(LIMIT).await;
            world.check();
        });
    }
}
