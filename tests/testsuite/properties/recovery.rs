//! Recovery after every step, with the table stand-in and the daemon's own transactions.

use super::{
    events::{Seed, seed, shard},
    ledger::valid_events,
};
use indexmap::IndexMap;
use lapisdrum::{
    core::id::{Epoch, Sequence, ShardId},
    daemon::{
        journal::append,
        registrar::{EpochRow, epoch_key},
        snapshots::{SnapshotPointer, row_key, row_prefix},
    },
    state::ledger::{Batch, State},
    store::wire::{Row, Txn},
};
use lapisdrum_standins::platform::table::Table;
use proptest::{collection::vec, prelude::*};

const POINTER: &str = "snapshot/a.0";

/// What happens to a write.
#[derive(Clone, Copy, Debug)]
enum WriteOutcome {
    Answered,
    /// It takes effect; the writer reads its row back.
    AnswerLost,
    /// It takes effect; the writer crashes before the answer.
    CrashAfter,
    /// The writer crashes before sending it.
    CrashBefore,
    /// It is in flight while another owner takes the shard.
    Late,
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    ObjectOnly,
    PointerOnly,
    SomeRowsDeleted,
    AllRowsDeleted,
}

#[derive(Clone, Debug)]
enum Op {
    Write(Vec<Seed>, WriteOutcome),
    Snapshot(Stage),
    TakeOver,
}

fn op() -> impl Strategy<Value = Op> {
    let outcome = prop_oneof![
        4 => Just(WriteOutcome::Answered),
        2 => Just(WriteOutcome::AnswerLost),
        1 => Just(WriteOutcome::CrashAfter),
        1 => Just(WriteOutcome::CrashBefore),
        1 => Just(WriteOutcome::Late),
    ];
    let stage = prop_oneof![
        Just(Stage::ObjectOnly),
        Just(Stage::PointerOnly),
        Just(Stage::SomeRowsDeleted),
        Just(Stage::AllRowsDeleted),
    ];
    prop_oneof![
        8 => (vec(seed(), 1..5), outcome).prop_map(|(seeds, outcome)| Op::Write(seeds, outcome)),
        2 => stage.prop_map(Op::Snapshot),
        1 => Just(Op::TakeOver),
    ]
}

/// An owner with its recovered ledger.
struct Writer {
    epoch: Epoch,
    epoch_version: u64,
    state: State,
}

/// The platform, and what was written and acknowledged.
#[derive(Default)]
struct World {
    table: Table,
    objects: IndexMap<String, Vec<u8>>,
    /// Batches that took effect, in order.
    written: Vec<Batch>,
    /// Nonces of the batches that a writer knows to be written, by sequence number.
    acknowledged: IndexMap<Sequence, u64>,
    nonce: u64,
}

impl World {
    fn shard() -> ShardId {
        shard(0)
    }

    fn take_over(&mut self) -> Writer {
        let key = epoch_key(&Self::shard());
        let before = self.table.get(&key);
        let epoch = before
            .and_then(|row| row.parse::<EpochRow>())
            .map(|row| row.epoch);
        let epoch = epoch.unwrap_or_default().next();
        let txn = Txn::default().put(key, &EpochRow { epoch });
        let done = self.table.txn(&txn);
        let epoch_version = done.map_or(0, |done| done.versions[0]);
        Writer {
            epoch,
            epoch_version,
            state: self.recover(),
        }
    }

    /// Reads snapshot and rows as `Journal::recover` does.
    fn recover(&mut self) -> State {
        let pointer = self.table.get(POINTER);
        let pointer = pointer.and_then(|row| row.parse::<SnapshotPointer>());
        let mut state = match pointer {
            Some(pointer) => serde_json::from_slice(&self.objects[&pointer.object])
                .unwrap_or_else(|e| unreachable!("the snapshot reads: {e}")),
            None => State::default(),
        };
        let rows = self.table.list(&row_prefix(&Self::shard()));
        let batches: Vec<Batch> = rows.iter().filter_map(Row::parse).collect();
        let replayed = state.replay(&batches);
        assert!(replayed.is_ok(), "{replayed:?}");
        state
    }

    fn next_batch(&mut self, writer: &Writer, seeds: &[Seed]) -> Batch {
        self.nonce += 1;
        Batch {
            sequence: writer.state.sequence.next(),
            epoch: writer.epoch,
            nonce: self.nonce,
            events: valid_events(&writer.state, seeds),
        }
    }

    fn send(&mut self, writer: &Writer, batch: &Batch) -> bool {
        let txn = append(&Self::shard(), writer.epoch_version, batch);
        let took_effect = self.table.txn(&txn).is_ok();
        if took_effect {
            self.written.push(batch.clone());
        }
        took_effect
    }

    /// Records that a writer knows a batch to be durable.
    fn acknowledge(&mut self, writer: &mut Writer, batch: &Batch) {
        self.acknowledged.insert(batch.sequence, batch.nonce);
        let applied = writer.state.apply_batch(batch);
        assert!(applied.is_ok(), "{applied:?}");
    }

    fn reads_back(&mut self, batch: &Batch) -> bool {
        let row = self.table.get(&row_key(&Self::shard(), batch.sequence));
        let found = row.and_then(|row| row.parse::<Batch>());
        found.is_some_and(|found| found.nonce == batch.nonce)
    }

    fn snapshot(&mut self, writer: &Writer, stage: Stage) {
        let sequence = writer.state.sequence;
        let object = format!("snapshot/a.0/{}-{}", sequence.0, writer.epoch);
        let bytes = serde_json::to_vec(&writer.state).unwrap_or_default();
        self.objects.insert(object.clone(), bytes);
        let pointer = SnapshotPointer { object, sequence };
        let guarded = || Txn::default().compare(epoch_key(&Self::shard()), writer.epoch_version);
        if matches!(stage, Stage::ObjectOnly)
            || self.table.txn(&guarded().put(POINTER, &pointer)).is_err()
        {
            return;
        }
        let last = match stage {
            Stage::ObjectOnly | Stage::PointerOnly => 0,
            Stage::SomeRowsDeleted => sequence.0 / 2,
            Stage::AllRowsDeleted => sequence.0,
        };
        let rows = (1..=last).map(|n| row_key(&Self::shard(), Sequence(n)));
        let _ = self.table.txn(&rows.fold(guarded(), Txn::delete));
    }

    /// A new owner recovers exactly what took effect, including everything acknowledged.
    fn check(&mut self) -> Result<(), TestCaseError> {
        let mut expected = State::default();
        for batch in &self.written {
            prop_assert!(
                expected.apply_batch(batch).is_ok(),
                "two batches at {:?}",
                batch.sequence
            );
        }
        prop_assert_eq!(self.recover(), expected);
        for (sequence, nonce) in &self.acknowledged {
            let found = self
                .written
                .iter()
                .find(|batch| batch.sequence == *sequence);
            prop_assert_eq!(found.map(|batch| batch.nonce), Some(*nonce));
        }
        Ok(())
    }
}

proptest! {
    /// Guards against accepted jobs that are lost when the owner crashes, loses an answer, is
    /// superseded with a write in flight, or stops halfway through a snapshot. No two writers both
    /// have a write acknowledged at one sequence number.
    #[test]
    fn every_prefix_recovers_what_was_acknowledged(ops in vec(op(), 1..60)) {
        let mut world = World::default();
        let mut writer = world.take_over();
        let mut stale: Vec<(Writer, Batch)> = Vec::new();
        for op in ops {
            match op {
                Op::Write(seeds, outcome) => {
                    let batch = world.next_batch(&writer, &seeds);
                    match outcome {
                        WriteOutcome::Answered => {
                            prop_assert!(world.send(&writer, &batch));
                            world.acknowledge(&mut writer, &batch);
                        }
                        WriteOutcome::AnswerLost => {
                            world.send(&writer, &batch);
                            // Tried again: the conflict is resolved by reading the row back.
                            prop_assert!(!world.send(&writer, &batch));
                            prop_assert!(world.reads_back(&batch));
                            world.acknowledge(&mut writer, &batch);
                        }
                        WriteOutcome::CrashAfter => {
                            world.send(&writer, &batch);
                            writer = world.take_over();
                        }
                        WriteOutcome::CrashBefore => writer = world.take_over(),
                        WriteOutcome::Late => {
                            let superseded = std::mem::replace(&mut writer, world.take_over());
                            stale.push((superseded, batch));
                        }
                    }
                }
                Op::Snapshot(stage) => world.snapshot(&writer, stage),
                Op::TakeOver => writer = world.take_over(),
            }
            for (superseded, batch) in &stale {
                prop_assert!(!world.send(superseded, batch), "a superseded owner wrote");
                prop_assert!(!world.reads_back(batch));
            }
            world.check()?;
        }
    }
}
