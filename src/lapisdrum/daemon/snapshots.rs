//! Snapshots of a shard's ledger in the object store, and the deletion of rows that they cover.
//!
//! A snapshot is stored in parallel with ledger writes and serialised on another thread: at 17,800
//! jobs that takes longer than a request may wait. Its steps are: object, pointer, delete the rows,
//! delete the old object. A crash between any two leaves rows that recovery skips or an object that
//! nothing points to; no event is lost.

use super::{Cx, journal::Journal, registrar::epoch_key};
use crate::{
    core::id::{Epoch, Sequence, ShardId},
    state::ledger::State,
    store::{client::TxnOutcome, wire::Txn},
};

/// Maximum number of rows that one transaction deletes.
const MAX_DELETES_PER_TXN: u64 = 1_000;

data! {
    /// The row that points to a shard's last snapshot.
    pub struct SnapshotPointer {
        /// Key of the snapshot in the object store.
        pub object: String,
        /// Sequence number of the last batch that the snapshot covers.
        pub sequence: Sequence,
    }
}

/// The ledger's state after a durable batch.
#[derive(Debug)]
pub struct Snapshot {
    /// Sequence number of that batch.
    pub sequence: Sequence,
    /// The state after it.
    pub state: State,
}

/// Table key of a shard's [`SnapshotPointer`].
pub fn pointer_key(shard: &ShardId) -> String {
    format!("snapshot/{shard}")
}

/// Prefix of the table keys of a shard's ledger rows.
pub fn row_prefix(shard: &ShardId) -> String {
    format!("ledger/{shard}/")
}

/// Table key of a ledger row. Keys sort in the order of sequence numbers.
pub fn row_key(shard: &ShardId, sequence: Sequence) -> String {
    format!("{}{:020}", row_prefix(shard), sequence.0)
}

/// Reads a shard's last snapshot; returns an empty state if there is none.
pub async fn read(cx: &Cx, shard: &ShardId) -> eyre::Result<State> {
    let Some(row) = cx.platform.get(&pointer_key(shard)).await? else {
        return Ok(State::default());
    };
    let pointer = row.parse::<SnapshotPointer>();
    // If a malformed pointer were treated as absent, every job would be lost without an error.
    let pointer = pointer.ok_or_else(|| eyre::eyre!("snapshot row {} is malformed", row.key))?;
    let object = cx.platform.get_object(&pointer.object).await?;
    let object =
        object.ok_or_else(|| eyre::eyre!("snapshot object {} is missing", pointer.object))?;
    let state = tokio::task::spawn_blocking(move || serde_json::from_slice(&object)).await?;
    Ok(state?)
}

/// Stores the snapshots that the journal provides, until the shard is lost.
pub async fn store_all(cx: &Cx, journal: &Journal) {
    loop {
        let snapshot = journal.next_snapshot().await;
        let sequence = snapshot.sequence;
        if store(cx, journal.shard(), journal.guard(), snapshot).await {
            delete_covered(cx, journal, sequence).await;
        }
        journal.end_snapshot();
    }
}

/// Stores the object and points to it. Returns whether the pointer was certainly written.
async fn store(cx: &Cx, shard: &ShardId, guard: (Epoch, u64), snapshot: Snapshot) -> bool {
    let (epoch, epoch_version) = guard;
    let sequence = snapshot.sequence;
    let object = format!("snapshot/{shard}/{:020}-{epoch}", sequence.0);
    let state = snapshot.state;
    let serialised = tokio::task::spawn_blocking(move || serde_json::to_vec(&state)).await;
    let Ok(Ok(body)) = serialised else {
        return false;
    };
    if cx.platform.put_object(&object, body.into()).await.is_err() {
        return false;
    }
    let Ok(previous) = cx.platform.get(&pointer_key(shard)).await else {
        return false;
    };
    // With the epoch alone, a write that takes effect after the next snapshot would move the pointer
    // back behind rows that are deleted.
    let version = previous.as_ref().map_or(0, |row| row.version);
    let previous = previous.and_then(|row| row.parse::<SnapshotPointer>());
    let pointer = SnapshotPointer { object, sequence };
    let txn = Txn::default()
        .compare(epoch_key(shard), epoch_version)
        .compare(pointer_key(shard), version)
        .put(pointer_key(shard), &pointer);
    let is_pointed_to = match cx.platform.txn(&txn).await {
        TxnOutcome::Committed(_) => true,
        TxnOutcome::Conflict(_) => false,
        TxnOutcome::Unknown(_) => points_to(cx, shard, &pointer).await,
    };
    if is_pointed_to && let Some(previous) = previous {
        let _ = cx.platform.delete_object(&previous.object).await;
    }
    is_pointed_to
}

/// Whether the pointer names this snapshot. Used after a lost reply.
async fn points_to(cx: &Cx, shard: &ShardId, pointer: &SnapshotPointer) -> bool {
    let row = cx.platform.get(&pointer_key(shard)).await.ok().flatten();
    row.and_then(|row| row.parse::<SnapshotPointer>()).as_ref() == Some(pointer)
}

/// Deletes rows up to `sequence`. Rows that can't be deleted now are deleted after the next
/// snapshot.
async fn delete_covered(cx: &Cx, journal: &Journal, sequence: Sequence) {
    let (_, epoch_version) = journal.guard();
    let shard = journal.shard();
    while journal.first_row() <= sequence {
        let first = journal.first_row().0;
        let last = sequence.0.min(first + MAX_DELETES_PER_TXN - 1);
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
