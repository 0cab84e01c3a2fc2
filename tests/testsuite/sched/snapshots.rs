//! Snapshots of the real journal under writes that are late, lost or doubled: whenever the owner ends, the next one
//! recovers every durable event.

use super::{
    paused,
    world::{CallFate, CommitKind, ObjectCall, StoreBehaviour, World},
};
use lapisdrum::sched::{
    Cx,
    edge::{Txn, TxnOutcome},
    event::Event,
    job::JobId,
    journal::{AppendOutcome, JOURNAL_TABLE, Journal, SNAPSHOT_TABLE, snapshots::unnamed_objects},
    layout::ShardId,
    ledger::Ledger,
};
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const PARTITION: &str = "shard-0";
/// Rows until the first snapshot, as the journal stores them.
const SNAPSHOT_ROWS: u64 = 400;
/// Within the time in which a pointer without an answer is sent again.
const SOON: Duration = Duration::from_secs(2);
/// Time within which what a snapshot makes obsolete is deleted, once the store answers again.
const COLLECTED_WITHIN: Duration = Duration::from_secs(60);
/// Time from the last row of a snapshot until the owner lists objects, if the call that stores the snapshot gets no
/// answer: the read of the pointer, the call and its time limit, and the delay for calls that take effect late.
const LISTED_AFTER: Duration = Duration::from_millis(8 + 8 + 500 + 10_000);
/// After the next snapshot.
const MUCH_LATER: Duration = Duration::from_secs(10);
const FATES: [CallFate; 6] = [
    CallFate::Answered,
    CallFate::AnswerLost,
    CallFate::Lost,
    CallFate::Late(SOON),
    CallFate::Late(MUCH_LATER),
    CallFate::Repeated(MUCH_LATER),
];

/// An owner's journal whose writer runs, with the state that it has applied.
struct Writer {
    world: Rc<World>,
    journal: Rc<Journal>,
    ledger: Rc<RefCell<Ledger>>,
}

impl Writer {
    /// Takes the shard and recovers it.
    async fn take_over(world: &Rc<World>, name: &str) -> eyre::Result<Self> {
        let cx = world.idle_daemon(name);
        raise_fence(world, &cx).await;
        let journal = Rc::new(Journal::new(PARTITION, world.fence(PARTITION)));
        let ledger = Rc::new(RefCell::new(journal.recover(&cx).await?));
        let (writer, state) = (Rc::clone(&journal), Rc::clone(&ledger));
        actix_rt::spawn(async move {
            let state = || serde_json::to_vec(&*state.borrow()).expect("a serialised state");
            writer.write_all(&cx, state).await;
        });
        let world = Rc::clone(world);
        Ok(Self {
            world,
            journal,
            ledger,
        })
    }

    /// Writes rows of one event each.
    async fn write_rows(&self, count: u64) {
        for _ in 0..count {
            let event = Event::Sent {
                job: JobId(self.ledger.borrow().sent.len() as u64),
                to: ShardId(1),
                at_unix_ms: 0,
            };
            self.ledger.borrow_mut().apply(&event).expect("valid");
            let ticket = self.journal.append(&[event]);
            assert_eq!(ticket.outcome().await, AppendOutcome::Durable);
        }
    }

    /// Recovers the shard from a copy of the store, as an owner would that takes over now.
    async fn check(&self) -> Result<(), String> {
        let copy = self.world.copy_of_store();
        let cx = copy.idle_daemon("next");
        raise_fence(&copy, &cx).await;
        let next = Journal::new(PARTITION, copy.fence(PARTITION));
        let recovered = next.recover(&cx).await.map_err(|e| format!("{e:#}"))?;
        match recovered == *self.ledger.borrow() {
            true => Ok(()),
            false => Err(format!("{} events recovered", recovered.sent.len())),
        }
    }
}

async fn raise_fence(world: &World, cx: &Cx) {
    let (fence, version) = world.fence(PARTITION);
    let txn = Txn {
        expect: vec![(fence.clone(), version)],
        put: vec![(fence, "a".into())],
        delete: Vec::new(),
    };
    let outcome = cx.store.commit(&txn).await;
    assert!(matches!(outcome, TxnOutcome::Committed(_)), "{outcome:?}");
}

/// Guards against a snapshot pointer that is written late and moves back behind rows that were deleted: no owner could
/// recover the shard afterwards.
#[test]
fn a_pointer_that_is_written_late_does_not_move_back() {
    paused(async {
        let world = World::new(0);
        let writer = Writer::take_over(&world, "a").await.expect("a new shard");
        let late = CallFate::Late(Duration::from_secs(3));
        world.script_commits(CommitKind::Puts(SNAPSHOT_TABLE), [late]);
        writer.write_rows(SNAPSHOT_ROWS + 200).await;
        assert_eq!(writer.check().await, Ok(()));
        writer.journal.stop();
        let next = Writer::take_over(&world, "b").await;
        assert!(next.is_ok());
    });
}

/// Guards against lost events and shards that can't be recovered, over all orders in which the writes of three pointers
/// and the deletions of rows are late, lost or doubled, and whenever the owner ends.
#[test]
fn every_order_of_pointer_writes_and_deletions_can_be_recovered() {
    paused(async {
        for deletions in [CallFate::Answered, CallFate::Late(MUCH_LATER)] {
            for first in FATES {
                for second in FATES {
                    for third in [
                        CallFate::Answered,
                        CallFate::AnswerLost,
                        CallFate::Late(MUCH_LATER),
                    ] {
                        let pointers = [first, second, third];
                        let outcome = play(pointers, deletions).await;
                        assert_eq!(outcome, Ok(()), "{pointers:?}, deletions {deletions:?}");
                    }
                }
            }
        }
    });
}

/// Two snapshots and more, with an owner that ends at any of the checks.
async fn play(pointers: [CallFate; 3], deletions: CallFate) -> Result<(), String> {
    let world = World::new(0);
    let writer = Writer::take_over(&world, "a").await.expect("a new shard");
    world.script_commits(CommitKind::Puts(SNAPSHOT_TABLE), pointers);
    world.script_commits(CommitKind::Deletes(JOURNAL_TABLE), vec![deletions; 10]);
    writer.write_rows(SNAPSHOT_ROWS).await;
    for _ in 0..3 {
        writer.write_rows(SNAPSHOT_ROWS / 2).await;
        writer.check().await?;
    }
    for _ in 0..2 {
        sleep(MUCH_LATER / 2).await;
        writer.check().await?;
    }
    writer.journal.stop();
    Ok(())
}

/// Guards against a shard whose pointer can't be read when a snapshot is due: the pointer is not written unread.
#[test]
fn a_snapshot_waits_for_a_pointer_that_can_be_read() {
    paused(async {
        let world = World::new(0);
        let writer = Writer::take_over(&world, "a").await.expect("a new shard");
        writer.write_rows(SNAPSHOT_ROWS - 1).await;
        world.set_store("a", StoreBehaviour::RefusesReads);
        writer.write_rows(100).await;
        assert_eq!(world.row_count(SNAPSHOT_TABLE), 0);
        world.set_store("a", StoreBehaviour::Up);
        // Longer than the wait after the third failure, at most 4 s.
        writer.write_rows(200).await;
        assert_eq!(world.row_count(SNAPSHOT_TABLE), 1);
        let rows = world.row_count(JOURNAL_TABLE);
        assert!(rows < SNAPSHOT_ROWS as usize, "{rows}");
        assert_eq!(writer.check().await, Ok(()));
    });
}

/// Guards against covered rows that stay in the store, and are read by each recovery, because the call that deletes them
/// got no answer.
#[test]
fn rows_whose_deletion_gets_no_answer_are_deleted_later() {
    for fate in [CallFate::Lost, CallFate::AnswerLost] {
        paused(async {
            let world = World::new(0);
            let writer = Writer::take_over(&world, "a").await.expect("a new shard");
            world.script_commits(CommitKind::Deletes(JOURNAL_TABLE), vec![fate; 3]);
            writer.write_rows(SNAPSHOT_ROWS + 30).await;
            sleep(COLLECTED_WITHIN).await;
            assert_eq!(world.row_count(JOURNAL_TABLE), 30);
            assert_eq!(writer.check().await, Ok(()));
        });
    }
}

/// Guards against covered rows that no later owner deletes because the one that stored the snapshot ended before.
#[test]
fn rows_that_an_earlier_owner_left_are_deleted() {
    paused(async {
        let world = World::new(0);
        let writer = Writer::take_over(&world, "a").await.expect("a new shard");
        let deletions = vec![CallFate::Lost; 100];
        world.script_commits(CommitKind::Deletes(JOURNAL_TABLE), deletions);
        writer.write_rows(SNAPSHOT_ROWS + 30).await;
        sleep(SOON).await;
        assert_eq!(world.row_count(JOURNAL_TABLE), SNAPSHOT_ROWS as usize + 30);
        writer.journal.stop();
        world.script_commits(CommitKind::Deletes(JOURNAL_TABLE), []);
        let next = Writer::take_over(&world, "b").await.expect("a shard");
        sleep(COLLECTED_WITHIN).await;
        assert_eq!(world.row_count(JOURNAL_TABLE), 30);
        assert_eq!(next.check().await, Ok(()));
    });
}

/// Guards against objects that stay in the store for good because the call that deletes them got no answer, or because
/// the call that stores them was performed without one.
#[test]
fn objects_without_a_pointer_are_deleted() {
    let cases = [
        (ObjectCall::Delete, CallFate::Lost),
        (ObjectCall::Delete, CallFate::AnswerLost),
        (ObjectCall::Put, CallFate::AnswerLost),
        (ObjectCall::Put, CallFate::Late(SOON)),
    ];
    for (call, fate) in cases {
        paused(async {
            let world = World::new(0);
            let writer = Writer::take_over(&world, "a").await.expect("a new shard");
            writer.write_rows(SNAPSHOT_ROWS).await;
            sleep(SOON).await;
            world.script_objects(call, [fate]);
            writer.write_rows(SNAPSHOT_ROWS * 2).await;
            sleep(COLLECTED_WITHIN).await;
            assert_eq!(world.objects("").len(), 1, "{call:?} {fate:?}");
            assert_eq!(writer.check().await, Ok(()));
        });
    }
}

/// Guards against objects that an owner left when it ended: the one that its last pointer replaced, and one whose pointer
/// was not written.
#[test]
fn objects_that_an_earlier_owner_left_are_deleted() {
    paused(async {
        let world = World::new(0);
        let writer = Writer::take_over(&world, "a").await.expect("a new shard");
        world.script_objects(ObjectCall::Delete, vec![CallFate::Lost; 100]);
        writer.write_rows(SNAPSHOT_ROWS * 2).await;
        sleep(SOON).await;
        let lost_pointers = vec![CallFate::Lost; 100];
        world.script_commits(CommitKind::Puts(SNAPSHOT_TABLE), lost_pointers);
        writer.write_rows(SNAPSHOT_ROWS).await;
        sleep(SOON).await;
        assert_eq!(world.objects("").len(), 3);
        writer.journal.stop();
        world.script_objects(ObjectCall::Delete, []);
        world.script_commits(CommitKind::Puts(SNAPSHOT_TABLE), []);
        let next = Writer::take_over(&world, "b").await.expect("a shard");
        sleep(COLLECTED_WITHIN).await;
        assert_eq!(world.objects("").len(), 1);
        assert_eq!(next.check().await, Ok(()));
    });
}

/// Guards against an owner that has been replaced without knowing it, and deletes the object that the next one stores at
/// that moment.
#[test]
fn a_replaced_owner_spares_objects_of_the_next_one() {
    for before_ms in 0..60 {
        paused(async move {
            let world = World::new(0);
            let writer = Writer::take_over(&world, "a").await.expect("a new shard");
            world.script_objects(ObjectCall::Put, [CallFate::Lost]);
            writer.write_rows(SNAPSHOT_ROWS).await;
            let listed_at = Instant::now() + LISTED_AFTER;
            let next = Writer::take_over(&world, "b").await.expect("a shard");
            tokio::time::sleep_until(listed_at - Duration::from_millis(before_ms)).await;
            next.write_rows(1).await;
            sleep(SOON).await;
            assert_eq!(world.objects("").len(), 1);
            assert_eq!(next.check().await, Ok(()), "{before_ms} ms before");
        });
    }
}

/// Guards against the deletion of an object that an owner may still need, and of other shards' objects.
#[test]
fn only_unnamed_objects_of_this_and_earlier_owners_are_deleted() {
    let names = [
        "shard-1-400-a",
        "shard-1-800-b",
        "shard-1-900-b",
        "shard-1-950-c",
        "shard-10-400-a",
        "shard-1-x",
        "shard-1-400",
    ];
    let names: Vec<String> = names.map(str::to_owned).to_vec();
    let deleted = |named, token| unnamed_objects(&names, "shard-1", named, token);
    assert_eq!(
        deleted(Some("shard-1-800-b"), 0xb),
        ["shard-1-400-a", "shard-1-900-b"]
    );
    assert_eq!(deleted(Some("shard-1-950-c"), 0xa), ["shard-1-400-a"]);
    assert_eq!(deleted(None, 0x9), [""; 0]);
}

/// Guards against a snapshot that is sent whole with every transaction for as long as the store refuses it, which takes
/// the bandwidth that all calls share.
#[test]
fn a_snapshot_that_is_refused_is_tried_less_and_less_often() {
    paused(async {
        let world = World::new(0);
        let writer = Writer::take_over(&world, "a").await.expect("a new shard");
        let refusals = 1_000;
        world.script_objects(ObjectCall::Put, vec![CallFate::Refused; refusals]);
        writer.write_rows(SNAPSHOT_ROWS).await;
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(60) {
            writer.write_rows(1).await;
        }
        let attempts = refusals - world.scripted_objects(ObjectCall::Put);
        assert!(
            (3..=8).contains(&attempts),
            "{attempts} attempts in a minute"
        );
        let usage = writer.journal.usage();
        let uncovered = world.row_count(JOURNAL_TABLE) as u64;
        assert_eq!((usage.rows, usage.obsolete_rows), (uncovered, 0));
        assert!(usage.bytes > 10 * uncovered, "{usage:?}");
        world.script_objects(ObjectCall::Put, []);
        while started_at.elapsed() < Duration::from_secs(120) {
            writer.write_rows(1).await;
        }
        let rows = world.row_count(JOURNAL_TABLE);
        assert!(rows < SNAPSHOT_ROWS as usize * 2, "{rows}");
        assert_eq!(writer.journal.usage().rows, rows as u64);
        assert_eq!(writer.check().await, Ok(()));
    });
}
