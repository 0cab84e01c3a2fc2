//! Stores snapshots of a shard's state, and deletes the rows and objects that they make obsolete.
//!
//! Load pattern: one snapshot in 400 rows, each an object of up to some MB beside a few transactions.
//! Snapshots are stored beside the rows, which do not wait for them.
//!
//! The pointer to the latest snapshot only moves forward: its write expects the version of the
//! pointer that was read before, so a write that takes effect late cannot follow a later one. With
//! the fence as the only condition, it would move the pointer back behind rows that are deleted,
//! and the shard could not be recovered. Rows and objects are deleted only once the pointer is
//! known to have left them behind. A late deletion then does no harm: the numbers of rows and the
//! names of objects are never used again.
//!
//! A deletion without a confirmation is tried again until it has one: nothing in the store expires,
//! and each recovery reads the rows that are left. An owner also deletes what earlier ones left. An
//! object's name holds the fencing token of the owner that stored it. Deletions of objects have no
//! condition, so an owner that has been replaced spares objects with a greater token than its own.

use super::{JOURNAL_TABLE, Journal, RETRY_DELAYS, SNAPSHOT_TABLE, row_key};
use crate::{
    core::time::Millis,
    sched::{
        Cx,
        edge::{Row, Txn, TxnOutcome},
        ledger::Ledger,
        resolution::{PointerVerdict, judge_pointer},
    },
    util::backoff::Backoff,
};
use bytes::Bytes;
use eyre::WrapErr as _;
use rand::Rng;
use std::{collections::VecDeque, future::pending, time::Duration};

const SNAPSHOT_KEY: &str = "latest";
/// Maximum rows deleted per transaction; the store takes 100 entries.
const MAX_DELETES_PER_TXN: usize = 95;
/// First and longest delay before another snapshot is stored after one has failed. It is sent whole
/// and takes bandwidth that all calls to the store share.
const SNAPSHOT_RETRIES: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// First and longest delay before a deletion without a confirmation is tried again.
const DELETION_RETRIES: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));
/// Delay before objects are listed that no pointer names: calls without an answer may take effect
/// seconds after they were sent.
const LATE_CALL_TIME: Duration = Duration::from_secs(10);
/// Maximum objects deleted in one attempt, so that the next snapshot does not wait for thousands.
const MAX_DELETED_OBJECTS: usize = 40;

data! {
    /// Location of a snapshot.
    pub(super) struct SnapshotPointer {
        /// Number of the last row that the snapshot covers.
        pub(super) row: u64,
        /// Name of the object in the store.
        object: String,
    }
}

/// The pointer row as read: the pointer and the version of the row.
pub(super) type ReadPointer = (SnapshotPointer, u64);

/// Serialised state, with the number of the last row that it covers.
pub(super) struct Snapshot {
    pub(super) row: u64,
    /// Bytes of the rows that it covers and the one before does not.
    pub(super) bytes: u64,
    pub(super) state: Bytes,
}

/// When the next snapshot may be stored, after some have failed.
pub(super) struct Retry {
    /// None unless the last one has failed.
    not_before: Option<Millis>,
    backoff: Backoff,
}

impl Default for Retry {
    fn default() -> Self {
        let (first, cap) = SNAPSHOT_RETRIES;
        Self {
            not_before: None,
            backoff: Backoff::new(first, cap),
        }
    }
}

impl Retry {
    pub(super) fn is_due(&self, now: Millis) -> bool {
        self.not_before.is_none_or(|at| now >= at)
    }

    fn note_stored(&mut self) {
        *self = Self::default();
    }

    /// Records a failure at `now`, and returns the time until the next attempt.
    fn note_failed(&mut self, now: Millis, rng: &mut impl Rng) -> Duration {
        let wait = self.backoff.next_wait(rng);
        self.not_before = Some(now + wait);
        wait
    }
}

/// What snapshots made obsolete and is not known to be deleted.
pub(super) struct Obsolete {
    /// Numbers of covered rows, ascending.
    rows: VecDeque<u64>,
    /// When the next attempt to delete the rows is due; none if it waits for the next snapshot.
    rows_due_at: Option<Millis>,
    /// When objects that no pointer names are to be listed and deleted; none if there are none.
    objects_due_at: Option<Millis>,
    backoff: Backoff,
}

impl Obsolete {
    /// What earlier owners left: these rows, read at `now`, and objects that are not known yet.
    pub(super) fn left_by_earlier_owners(rows: VecDeque<u64>, now: Millis) -> Self {
        let due_at = Some(now + LATE_CALL_TIME);
        Self {
            rows_due_at: due_at.filter(|_| !rows.is_empty()),
            rows,
            objects_due_at: due_at,
            ..Self::default()
        }
    }

    /// Records at `now` that there may be objects that no pointer names.
    fn note_objects(&mut self, now: Millis) {
        self.objects_due_at = Some(now + LATE_CALL_TIME);
    }

    pub(super) fn rows(&self) -> u64 {
        self.rows.len() as u64
    }

    fn due_at(&self) -> Option<Millis> {
        [self.rows_due_at, self.objects_due_at]
            .into_iter()
            .flatten()
            .min()
    }
}

impl Default for Obsolete {
    fn default() -> Self {
        let (first, cap) = DELETION_RETRIES;
        Self {
            rows: VecDeque::new(),
            rows_due_at: None,
            objects_due_at: None,
            backoff: Backoff::new(first, cap),
        }
    }
}

impl Journal {
    /// Reads the newest snapshot and the number of the last row that it covers.
    /// Stores planned snapshots and deletes what they make obsolete, until the shard is lost.
    pub(super) async fn store_snapshots(&self, cx: &Cx) {
        while !self.inner.borrow().is_lost {
            let planned = self.inner.borrow_mut().snapshot.take();
            if let Some(snapshot) = planned {
                self.try_snapshot(cx, snapshot).await;
                self.inner.borrow_mut().is_storing_snapshot = false;
                continue;
            }
            tokio::select! {
                () = self.snapshot_work.notified() => {}
                () = self.until_deletion_is_due(cx) => self.delete_obsolete(cx).await,
            }
        }
    }

    async fn until_deletion_is_due(&self, cx: &Cx) {
        let due_at = self.inner.borrow().obsolete.due_at();
        match due_at {
            Some(due_at) => tokio::time::sleep(due_at.since(cx.clock.now())).await,
            None => pending().await,
        }
    }

    /// Stores a snapshot and deletes what it makes obsolete. One that fails is left to a later one;
    /// recovery skips covered rows that are not deleted.
    async fn try_snapshot(&self, cx: &Cx, snapshot: Snapshot) {
        let (row, bytes) = (snapshot.row, snapshot.state.len());
        match self.store_snapshot(cx, snapshot).await {
            Ok(replaced) => {
                self.inner.borrow_mut().retry.note_stored();
                log::info!(shard:% = self.partition, row, bytes; "snapshot stored");
                self.delete_obsolete(cx).await;
                if let Some(replaced) = replaced {
                    self.delete_replaced(cx, &replaced.object).await;
                }
            }
            Err(e) => {
                cx.metrics.snapshot_failures.inc();
                let mut inner = self.inner.borrow_mut();
                let retry_in = inner.retry.note_failed(cx.clock.now(), &mut cx.rng());
                let rows = inner.rows_since_snapshot;
                log::warn!(shard:% = self.partition, row, bytes, rows, error:% = format!("{e:#}"), retry_in:?; "snapshot failed");
            }
        }
    }

    /// Stores a snapshot and the pointer to it; returns the pointer before.
    async fn store_snapshot(
        &self,
        cx: &Cx,
        snapshot: Snapshot,
    ) -> eyre::Result<Option<SnapshotPointer>> {
        let before = read_pointer(cx, &self.partition).await?;
        let (before, version) = before.map_or((None, 0), |(pointer, at)| (Some(pointer), at));
        let (row, bytes) = (snapshot.row, snapshot.bytes);
        let pointer = SnapshotPointer {
            row,
            object: format!("{}{row}-{:x}", prefix_of(&self.partition), self.fence.1),
        };
        let stored = cx.store.put_object(&pointer.object, snapshot.state).await;
        if stored.is_err() {
            let now = cx.clock.now();
            self.inner.borrow_mut().obsolete.note_objects(now);
        }
        stored.wrap_err_with(|| format!("failed to store {}", pointer.object))?;
        let verdict = self.write_pointer(cx, &pointer, version).await;
        let is_written = verdict == PointerVerdict::Committed;
        eyre::ensure!(
            is_written,
            "the pointer after version {version} is {verdict:?}"
        );
        self.note_covered(row, bytes);
        Ok(before)
    }

    /// Replaces the pointer row of this version, 0 for none, and resolves the outcome.
    async fn write_pointer(
        &self,
        cx: &Cx,
        pointer: &SnapshotPointer,
        version: u64,
    ) -> PointerVerdict {
        let key = self.key(SNAPSHOT_TABLE, SNAPSHOT_KEY);
        let value = Bytes::from(serde_json::to_vec(pointer).unwrap_or_default());
        let txn = Txn {
            expect: vec![self.fence.clone(), (key.clone(), version)],
            put: vec![(key, value.clone())],
            delete: Vec::new(),
        };
        let is_own = |found: &[Row]| {
            let mut pointers = found.iter().filter(|row| row.table == SNAPSHOT_TABLE);
            pointers.any(|row| row.value == value)
        };
        let mut backoff = Backoff::new(RETRY_DELAYS.0, RETRY_DELAYS.1);
        loop {
            let outcome = cx.store.commit(&txn).await;
            let verdict = judge_pointer(&outcome, is_own);
            if verdict != PointerVerdict::SendAgain || self.inner.borrow().is_lost {
                return verdict;
            }
            tokio::time::sleep(backoff.next_wait(&mut cx.rng())).await;
        }
    }

    /// Records that the pointer names a snapshot that covers the rows up to `number`.
    fn note_covered(&self, number: u64, bytes: u64) {
        let mut inner = self.inner.borrow_mut();
        // Rows may have been written while the snapshot was stored.
        inner.rows_since_snapshot = inner.last_row - number;
        inner.uncovered_bytes -= bytes;
        let first = std::mem::replace(&mut inner.covered_upto, number) + 1;
        inner.obsolete.rows.extend(first..=number);
    }

    /// Deletes the object that the pointer named before; on failure it is found in the list later.
    async fn delete_replaced(&self, cx: &Cx, object: &str) {
        if let Err(e) = cx.store.delete_object(object).await {
            log::warn!(shard:% = self.partition, object, error:% = e; "deletion of a replaced snapshot is not confirmed");
            let now = cx.clock.now();
            self.inner.borrow_mut().obsolete.note_objects(now);
        }
    }

    /// Deletes what is obsolete, and plans another attempt if something is left.
    async fn delete_obsolete(&self, cx: &Cx) {
        let rows_left = self.delete_rows(cx).await.err();
        let objects_left = self.delete_unnamed_objects(cx).await.err();
        let mut inner = self.inner.borrow_mut();
        let obsolete = &mut inner.obsolete;
        obsolete.rows_due_at = None;
        if rows_left.is_none() && objects_left.is_none() {
            obsolete.backoff.reset();
            return;
        }
        let retry_in = obsolete.backoff.next_wait(&mut cx.rng());
        let retry_at = Some(cx.clock.now() + retry_in);
        obsolete.rows_due_at = retry_at.filter(|_| rows_left.is_some());
        if objects_left.is_some() {
            obsolete.objects_due_at = retry_at;
        }
        let rows = obsolete.rows.len();
        for e in rows_left.into_iter().chain(objects_left) {
            log::warn!(shard:% = self.partition, rows, error:% = format!("{e:#}"), retry_in:?; "obsolete rows or objects are left in the store");
        }
    }

    /// Deletes covered rows up to the first transaction that is not confirmed. An attempt that takes
    /// effect late does no harm, nor does a repetition.
    async fn delete_rows(&self, cx: &Cx) -> eyre::Result<()> {
        loop {
            let some: Vec<u64> = {
                let rows = &self.inner.borrow().obsolete.rows;
                rows.iter().take(MAX_DELETES_PER_TXN).copied().collect()
            };
            if some.is_empty() {
                return Ok(());
            }
            let delete = some.iter().map(|n| self.key(JOURNAL_TABLE, &row_key(*n)));
            let txn = Txn {
                expect: vec![self.fence.clone()],
                put: Vec::new(),
                delete: delete.collect(),
            };
            match cx.store.commit(&txn).await {
                TxnOutcome::Committed(_) => {}
                outcome => eyre::bail!("the deletion of covered rows ended {outcome:?}"),
            }
            self.inner.borrow_mut().obsolete.rows.drain(..some.len());
        }
    }

    /// Deletes the objects of the shard that no pointer names and none will. The pointer is read
    /// under the fence, or names an object of a later owner, so it never moves to one of these.
    async fn delete_unnamed_objects(&self, cx: &Cx) -> eyre::Result<()> {
        let due_at = self.inner.borrow().obsolete.objects_due_at;
        if due_at.is_none_or(|due_at| due_at > cx.clock.now()) {
            return Ok(());
        }
        let pointer = read_pointer(cx, &self.partition).await?;
        let named = pointer.as_ref().map(|(pointer, _)| pointer.object.as_str());
        let names = cx.store.list_objects(&prefix_of(&self.partition)).await;
        let names = names.wrap_err("failed to list snapshots")?;
        let unnamed = unnamed_objects(&names, &self.partition, named, self.fence.1);
        for name in unnamed.iter().take(MAX_DELETED_OBJECTS) {
            let deleted = cx.store.delete_object(name).await;
            deleted.wrap_err_with(|| format!("failed to delete snapshot {name}"))?;
            log::info!(shard:% = self.partition, object = *name, named; "snapshot without a pointer deleted");
        }
        let left = unnamed.len().saturating_sub(MAX_DELETED_OBJECTS);
        eyre::ensure!(left == 0, "{left} more are to be deleted");
        self.inner.borrow_mut().obsolete.objects_due_at = None;
        Ok(())
    }
}

/// Prefix of the names of a shard's objects.
fn prefix_of(partition: &str) -> String {
    format!("{partition}-")
}

/// The objects of a shard that an owner with fencing token `token` may delete: those of its own and
/// of earlier owners, but for the one that the pointer names.
pub fn unnamed_objects<'a>(
    names: &'a [String],
    partition: &str,
    named: Option<&str>,
    token: u64,
) -> Vec<&'a str> {
    let prefix = prefix_of(partition);
    let is_deletable = |name: &&str| {
        let numbers = name.strip_prefix(&prefix).and_then(|n| n.split_once('-'));
        let stored_by = numbers.and_then(|(row, token)| {
            row.parse::<u64>().ok()?;
            u64::from_str_radix(token, 16).ok()
        });
        Some(*name) != named && stored_by.is_some_and(|stored_by| stored_by <= token)
    };
    let names = names.iter().map(String::as_str);
    names.filter(is_deletable).collect()
}

async fn read_object(cx: &Cx, object: &str) -> eyre::Result<Ledger> {
    let bytes = cx.store.get_object(object).await?;
    let bytes = bytes.ok_or_else(|| eyre::eyre!("snapshot {object} is missing"))?;
    serde_json::from_slice(&bytes).wrap_err("the snapshot is malformed")
}

/// Reads the latest snapshot, and the number of the last row that it covers.
pub(super) async fn read_snapshot(cx: &Cx, partition: &str) -> eyre::Result<(Ledger, u64)> {
    match read_pointer(cx, partition).await? {
        Some((pointer, _)) => Ok((read_object(cx, &pointer.object).await?, pointer.row)),
        None => Ok((Ledger::default(), 0)),
    }
}

pub(super) async fn read_pointer(cx: &Cx, partition: &str) -> eyre::Result<Option<ReadPointer>> {
    let rows = cx.store.rows(SNAPSHOT_TABLE, partition, SNAPSHOT_KEY);
    let rows = rows.await.wrap_err("failed to read the snapshot pointer")?;
    let parse = |row: &Row| Ok((serde_json::from_slice(&row.value)?, row.version));
    let pointer: Result<_, serde_json::Error> = rows.first().map(parse).transpose();
    pointer.wrap_err("the snapshot pointer is malformed")
}
