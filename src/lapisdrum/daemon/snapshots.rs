//! Snapshots of a shard's ledger in the object store, and the deletion of rows that they cover.
//!
//! A snapshot goes out beside the ledger's writes and is serialised on another thread: at 17,800
//! jobs it takes longer than a request may wait. Its steps are: object, pointer, delete the rows,
//! delete the old object. A crash between any two leaves rows that recovery skips or an object that
//! nobody points to, and nothing that is missed.

use super::{Cx, journal::Journal, registrar::epoch_key};
use crate::{
    core::id::{Epoch, Sequence, ShardId},
    state::ledger::State,
    store::{client::TxnOutcome, wire::Txn},
};

/// Most rows that one transaction deletes.
const DELETES_PER_TXN: u64 = 1_000;

data! {
    /// The row that names a shard's last snapshot.
    pub struct SnapshotPointer {
        /// The object's key.
        pub object: String,
        /// The last batch that it covers.
        pub sequence: Sequence,
    }
}

/// The state as of a batch that is durable.
#[derive(Debug)]
pub struct Snapshot {
    /// The last batch that it covers.
    pub sequence: Sequence,
    /// The state.
    pub state: State,
}

/// The key of the row that points to a shard's snapshot.
pub fn pointer_key(shard: &ShardId) -> String {
    format!("snapshot/{shard}")
}

/// Key prefix of a shard's ledger rows.
pub fn row_prefix(shard: &ShardId) -> String {
    format!("ledger/{shard}/")
}

/// The key of a ledger row; keys sort as sequence numbers do.
pub fn row_key(shard: &ShardId, sequence: Sequence) -> String {
    format!("{}{:020}", row_prefix(shard), sequence.0)
}

/// Reads a shard's last snapshot; an empty state when there is none.
pub async fn read(cx: &Cx, shard: &ShardId) -> eyre::Result<State> {
    let Some(row) = cx.platform.get(&pointer_key(shard)).await? else {
        return Ok(State::default());
    };
    let pointer = row.parse::<SnapshotPointer>();
    // Taken for absent, a pointer that can't be read would lose every job without a word.
    let pointer = pointer.ok_or_else(|| eyre::eyre!("snapshot row {} is malformed", row.key))?;
    let object = cx.platform.get_object(&pointer.object).await?;
    let object = object.ok_or_else(|| eyre::eyre!("snapshot {} is gone", pointer.object))?;
    let state = tokio::task::spawn_blocking(move || serde_json::from_slice(&object)).await?;
    Ok(state?)
}

/// Stores snapshots as the journal hands them out, until the shard is lost.
pub async fn keep(cx: &Cx, journal: &Journal) {
    loop {
        let snapshot = journal.next_snapshot().await;
        let sequence = snapshot.sequence;
        if store(cx, journal.shard(), journal.guard(), snapshot).await {
            delete_covered(cx, journal, sequence).await;
        }
        journal.end_snapshot();
    }
}

/// Stores the object and points to it; whether the pointer is certainly in.
async fn store(cx: &Cx, shard: &ShardId, guard: (Epoch, u64), snapshot: Snapshot) -> bool {
    let (epoch, epoch_version) = guard;
    let sequence = snapshot.sequence;
    let object = format!("snapshot/{shard}/{:020}-{epoch}", sequence.0);
    let state = snapshot.state;
    let written = tokio::task::spawn_blocking(move || serde_json::to_vec(&state)).await;
    let Ok(Ok(body)) = written else {
        return false;
    };
    if cx.platform.put_object(&object, body.into()).await.is_err() {
        return false;
    }
    let Ok(old) = cx.platform.get(&pointer_key(shard)).await else {
        return false;
    };
    let old = old.and_then(|row| row.parse::<SnapshotPointer>());
    let pointer = SnapshotPointer { object, sequence };
    let txn = Txn::default()
        .compare(epoch_key(shard), epoch_version)
        .put(pointer_key(shard), &pointer);
    let pointed = match cx.platform.txn(&txn).await {
        TxnOutcome::Committed(_) => true,
        TxnOutcome::Conflict(_) => false,
        TxnOutcome::Unknown(_) => points_to(cx, shard, &pointer).await,
    };
    if pointed && let Some(old) = old {
        let _ = cx.platform.delete_object(&old.object).await;
    }
    pointed
}

/// After a lost answer: whether the pointer names this snapshot.
async fn points_to(cx: &Cx, shard: &ShardId, pointer: &SnapshotPointer) -> bool {
    let row = cx.platform.get(&pointer_key(shard)).await.ok().flatten();
    row.and_then(|row| row.parse::<SnapshotPointer>()).as_ref() == Some(pointer)
}

/// Deletes rows up to `sequence`. What can't be deleted now goes with the next snapshot.
async fn delete_covered(cx: &Cx, journal: &Journal, sequence: Sequence) {
    let (_, epoch_version) = journal.guard();
    let shard = journal.shard();
    while journal.first_row() <= sequence {
        let first = journal.first_row().0;
        let last = sequence.0.min(first + DELETES_PER_TXN - 1);
        let mut txn = Txn::default().compare(epoch_key(shard), epoch_version);
        for covered in first..=last {
            txn = txn.delete(row_key(shard, Sequence(covered)));
        }
        if !matches!(cx.platform.txn(&txn).await, TxnOutcome::Committed(_)) {
            return;
        }
        journal.set_first_row(Sequence(last + 1));
    }
}
