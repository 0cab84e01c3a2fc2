//! The writer of a shard's journal: group commit into rows of one part of the store.
//!
//! Load pattern: some 400 events a second from one shard (1,500 on the larger deployments) on a store
//! that takes 200 transactions a second a part, 10 ms each, one after another. A row for each event would need
//! more than the part gives; events that come while a transaction is under way share the next one. Spacing
//! transactions by [`WRITE_SPACING`] bounds a shard to 50 calls a second and adds half of it to a start on average.
//! A store that is slow by sixty times takes three transactions a second, so each carries as many rows as
//! have gathered: with one row in each, starts stand still behind the ends that come meanwhile.
//!
//! Rows are written under conditions in one transaction: the fence row has the version that it got
//! when we took the shard, and no row stands at their sequence numbers. [`settle`](super::settle) judges
//! the answers. Events change the owner's state when they are appended; whatever an event allows (an
//! answer to a caller, an order to a worker) waits for its [`Ticket`].

use super::{
    Cx,
    edge::{CallError, Row, RowKey, Txn, TxnEnd},
    event::Event,
    ledger::Ledger,
    settle::{WriteVerdict, is_piggyback_stale, judge_write},
};
use crate::{core::time::Millis, util::backoff::Backoff};
use bytes::Bytes;
use eyre::WrapErr as _;
use futures::FutureExt;
use serde::{Deserialize, Serialize};
use std::{cell::RefCell, collections::VecDeque, time::Duration};
use tokio::sync::{Notify, oneshot};

/// Table of the journal's rows.
pub const JOURNAL_TABLE: &str = "journal";
/// Table of the pointers to snapshots.
pub const SNAPSHOT_TABLE: &str = "snapshots";
/// Key of a shard's pointer.
const SNAPSHOT_KEY: &str = "latest";
/// Least time between the beginnings of two rows; see the module's head.
const WRITE_SPACING: Duration = Duration::from_millis(20);
/// Most bytes of one row: the store takes 64 KiB, and an event goes in whole, a job of 64 steps with its
/// payload up to 20 KiB.
const ROW_BYTES: usize = 40 * 1024;
/// Most rows of one transaction: with their text form they stay below the store's 1 MB.
const ROWS_A_TXN: usize = 16;
/// A transaction that has been under way for this long means that the store is away, and new jobs are refused until
/// it is settled, unless the last one took about as long. A store that is slow by sixty times its usual answer is
/// not away, and a bound below that would have every submission refused that it would take.
const STALL_AFTER: Duration = Duration::from_millis(800);
/// However slow the last transaction was, callers are not kept waiting for the next one longer than this.
const LONGEST_PATIENCE: Duration = Duration::from_millis(2_000);
/// First and longest wait before an unsettled row is sent again.
const RETRY_WAITS: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(500));
/// Rows between two snapshots: a new owner then reads at most two pages of rows.
const SNAPSHOT_ROWS: u64 = 400;
/// A store that takes longer than this for a transaction is slow, and snapshots wait: one costs the part seven
/// transactions, which rows need then.
const QUICK_TXN: Duration = Duration::from_millis(100);
/// Rows after which a snapshot is stored however slow the store is: reading more would cost the next owner longer.
const MOST_ROWS: u64 = 4 * SNAPSHOT_ROWS;
/// Rows deleted in one transaction; the store takes 100 entries.
const DELETES_A_TXN: usize = 95;

/// The head of a row.
#[derive(Serialize, Deserialize)]
struct RowHead {
    /// Tells our own row from another's when an answer was lost.
    nonce: u64,
}

data! {
    /// Where the state as of some row is kept.
    struct SnapshotPointer {
        /// The last row that it covers.
        row: u64,
        /// The object's name.
        object: String,
    }
}

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendEnd {
    /// Durable.
    Durable,
    /// Another owner has come; whether it is in is for that owner to say.
    Lost,
}

/// Completes when an append is settled.
pub struct Ticket(oneshot::Receiver<AppendEnd>);

impl Ticket {
    /// Waits for the end.
    pub async fn end(self) -> AppendEnd {
        self.0.await.unwrap_or(AppendEnd::Lost)
    }
}

struct Open {
    lines: Vec<u8>,
    /// Who waits for it; only the last part of an append has somebody.
    tx: Option<oneshot::Sender<AppendEnd>>,
}

/// A row that changes in the same transaction as the next journal rows: the part of a slow store does three
/// transactions a second, and a renewal of the lease of its own would take one of them from the journal.
pub struct Piggyback {
    /// The row.
    pub row: RowKey,
    /// The version that it must have.
    pub version: u64,
    /// Its new value.
    pub value: Bytes,
}

/// How the transaction with a piggyback ended.
pub struct PiggybackEnd {
    /// The end.
    pub end: TxnEnd,
    /// When it was first sent.
    pub sent_at: Millis,
}

/// What came of a row that was to ride along.
pub enum PiggybackOutcome {
    /// Its transaction ended.
    Ended(PiggybackEnd),
    /// The shard is lost.
    Lost,
    /// No transaction took it; here it is back.
    NotTaken(Piggyback),
}

/// Rows that go in one transaction, and who waits for them.
struct Batch {
    waiting: Vec<oneshot::Sender<AppendEnd>>,
    rows: Vec<Bytes>,
}

/// A state to store, and the last row that it covers.
struct Snapshot {
    row: u64,
    state: Bytes,
}

#[derive(Default)]
struct Inner {
    open: VecDeque<Open>,
    under_way_since: Option<Millis>,
    /// How long the last transaction took.
    last_took: Duration,
    /// A snapshot that waits to be stored, or is being stored.
    snapshot: Option<Snapshot>,
    is_storing_snapshot: bool,
    piggyback: Option<(Piggyback, oneshot::Sender<PiggybackEnd>)>,
    is_lost: bool,
    last_row: u64,
    first_row: u64,
    rows_since_snapshot: u64,
}

/// One shard's journal under one owner.
pub struct Journal {
    part: String,
    fence: (RowKey, u64),
    inner: RefCell<Inner>,
    work: Notify,
    snapshot_work: Notify,
}

impl Journal {
    /// The journal of `part`, each row of which is conditional on `fence`.
    pub fn new(part: &str, fence: (RowKey, u64)) -> Self {
        Self {
            part: part.to_owned(),
            fence,
            inner: RefCell::default(),
            work: Notify::new(),
            snapshot_work: Notify::new(),
        }
    }

    /// Appends events that have been applied to the state, in their order; the ticket is for the last. They
    /// share a row as far as it takes them: a pass that places a thousand tasks has more than one row holds.
    pub fn append(&self, events: &[Event]) -> Ticket {
        let (tx, rx) = oneshot::channel();
        let mut inner = self.inner.borrow_mut();
        if inner.is_lost {
            return Ticket(rx);
        }
        let mut lines = Vec::new();
        for event in events {
            let line = line_of(event);
            if !lines.is_empty() && lines.len() + line.len() > ROW_BYTES {
                let lines = std::mem::take(&mut lines);
                inner.open.push_back(Open { lines, tx: None });
            }
            lines.extend_from_slice(&line);
        }
        let tx = Some(tx);
        inner.open.push_back(Open { lines, tx });
        self.work.notify_one();
        Ticket(rx)
    }

    /// Whether rows are settled without delay, so that new work may start.
    pub fn is_flowing(&self, now: Millis) -> bool {
        let patience = self.patience();
        let inner = self.inner.borrow();
        let waited = inner.under_way_since.map(|since| now.since(since));
        !inner.is_lost && waited.is_none_or(|waited| waited < patience)
    }

    /// How long an append may take before the store counts as away: longer where it has been slow and has answered.
    pub fn patience(&self) -> Duration {
        let slow = self.inner.borrow().last_took * 2;
        slow.clamp(STALL_AFTER, LONGEST_PATIENCE)
    }

    /// Notes how long another transaction in the same part took.
    pub fn note_answer(&self, took: Duration) {
        self.inner.borrow_mut().last_took = took;
    }

    /// Whether rows are under way or wait.
    pub fn is_busy(&self) -> bool {
        let inner = self.inner.borrow();
        inner.under_way_since.is_some() || !inner.open.is_empty()
    }

    /// Has a row changed with the next journal rows, if there are any within `limit`.
    pub async fn carry(&self, piggyback: Piggyback, limit: Duration) -> PiggybackOutcome {
        let (tx, mut rx) = oneshot::channel();
        self.inner.borrow_mut().piggyback = Some((piggyback, tx));
        if let Ok(end) = tokio::time::timeout(limit, &mut rx).await {
            return end.map_or(PiggybackOutcome::Lost, PiggybackOutcome::Ended);
        }
        let waiting = self.inner.borrow_mut().piggyback.take();
        if let Some((piggyback, _)) = waiting {
            return PiggybackOutcome::NotTaken(piggyback);
        }
        // Without its end the row's version would be unknown, and the next piggyback would be in vain.
        rx.await
            .map_or(PiggybackOutcome::Lost, PiggybackOutcome::Ended)
    }

    /// Whether the store took the last rows without delay, so that it can do more than the journal needs.
    pub fn is_quick(&self) -> bool {
        self.inner.borrow().last_took < QUICK_TXN
    }

    /// Ends the journal: nothing more is written by this owner.
    pub fn lose(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.is_lost = true;
        inner.open.clear();
        self.work.notify_one();
        self.snapshot_work.notify_one();
    }

    /// Reads what earlier owners have written. The fence has been raised before, so nobody adds to it.
    pub async fn recover(&self, cx: &Cx) -> eyre::Result<Ledger> {
        // Side by side: from a store whose answers take sixty times as long each read costs a third of a second,
        // in which nothing is started.
        let rows = cx.store.rows(JOURNAL_TABLE, &self.part, "");
        let (snapshot, rows) = futures::join!(self.read_snapshot(cx), rows);
        let (mut ledger, covered) = snapshot?;
        let rows = rows.wrap_err("failed to read the journal")?;
        let mut last = covered;
        for row in &rows {
            let number = row.key.parse().wrap_err("a journal row has no number")?;
            // A snapshot covers rows that were not deleted yet.
            if number <= covered {
                continue;
            }
            eyre::ensure!(number == last + 1, "journal row {} is missing", last + 1);
            last = number;
            for event in events_of(row)? {
                ledger.apply(&event)?;
            }
        }
        let mut inner = self.inner.borrow_mut();
        inner.last_row = last;
        inner.first_row = covered + 1;
        inner.rows_since_snapshot = last - covered;
        Ok(ledger)
    }

    /// The newest snapshot and the last row that it covers.
    async fn read_snapshot(&self, cx: &Cx) -> eyre::Result<(Ledger, u64)> {
        match self.read_pointer(cx).await? {
            Some(pointer) => Ok((read_object(cx, &pointer.object).await?, pointer.row)),
            None => Ok((Ledger::default(), 0)),
        }
    }

    async fn read_pointer(&self, cx: &Cx) -> eyre::Result<Option<SnapshotPointer>> {
        let rows = cx.store.rows(SNAPSHOT_TABLE, &self.part, SNAPSHOT_KEY);
        let rows = rows.await.wrap_err("failed to read the snapshot's place")?;
        let parse = |row: &Row| serde_json::from_slice(&row.value);
        let pointer = rows.first().map(parse).transpose();
        pointer.wrap_err("the snapshot's place is malformed")
    }

    /// Writes what is appended until the shard is lost. `state` gives the state for snapshots, with
    /// everything that was appended so far.
    pub async fn write_all(&self, cx: &Cx, state: impl Fn() -> Vec<u8>) {
        // Side by side: a snapshot takes as long as several transactions, in which nothing would be started.
        let rows = self.write_rows(cx, state).boxed_local();
        let snapshots = self.store_snapshots(cx).boxed_local();
        // Whatever ends first, the shard is lost; a snapshot that was not finished is nobody's.
        futures::future::select(rows, snapshots).await;
    }

    async fn write_rows(&self, cx: &Cx, state: impl Fn() -> Vec<u8>) {
        while let Some(batch) = self.next_batch().await {
            let began = cx.clock.now();
            self.inner.borrow_mut().under_way_since = Some(began);
            let first = self.inner.borrow().last_row + 1;
            if self.write_batch(cx, first, &batch.rows).await == WriteVerdict::Fenced {
                self.lose();
                return;
            }
            let took = cx.clock.now().since(began);
            cx.metrics.row_seconds.observe(took.as_secs_f64());
            let last = first + batch.rows.len() as u64 - 1;
            let is_snapshot_due = self.note_written(last, took);
            for tx in batch.waiting {
                // The receiver may have timed out and dropped its half.
                let _ = tx.send(AppendEnd::Durable);
            }
            if is_snapshot_due {
                self.plan_snapshot(last, state().into());
            }
            tokio::time::sleep(WRITE_SPACING.saturating_sub(took)).await;
        }
    }

    async fn next_batch(&self) -> Option<Batch> {
        loop {
            if self.inner.borrow().is_lost {
                return None;
            }
            if let Some(batch) = self.take_batch() {
                return Some(batch);
            }
            self.work.notified().await;
        }
    }

    fn take_batch(&self) -> Option<Batch> {
        let mut inner = self.inner.borrow_mut();
        inner.open.front()?;
        let mut batch = Batch {
            waiting: Vec::new(),
            rows: Vec::new(),
        };
        while batch.rows.len() < ROWS_A_TXN && !inner.open.is_empty() {
            let row = take_row(&mut inner.open, &mut batch.waiting);
            batch.rows.push(row);
        }
        Some(batch)
    }

    /// Notes that the rows up to `last` are in; true when a snapshot is due and the state holds nothing that is not.
    fn note_written(&self, last: u64, took: Duration) -> bool {
        let mut inner = self.inner.borrow_mut();
        inner.under_way_since = None;
        inner.last_took = took;
        inner.rows_since_snapshot += last - inner.last_row;
        inner.last_row = last;
        let rows = inner.rows_since_snapshot;
        let is_due = rows >= MOST_ROWS || (rows >= SNAPSHOT_ROWS && took < QUICK_TXN);
        is_due && inner.open.is_empty() && !inner.is_storing_snapshot
    }

    async fn write_batch(&self, cx: &Cx, first: u64, rows: &[Bytes]) -> WriteVerdict {
        let mut piggyback = self.inner.borrow_mut().piggyback.take();
        let mut sent_at = cx.clock.now();
        let mut txn = self.txn(
            first,
            rows,
            piggyback.as_ref().map(|(piggyback, _)| piggyback),
        );
        let (fence, version) = &self.fence;
        let holds_fence = |rows: &[Row]| {
            let mut fences = rows.iter().filter(|row| row.table == fence.table);
            fences.any(|row| row.key == fence.key && row.version == *version)
        };
        // All rows of a transaction are in or none, so one that is ours tells of all.
        let is_own = |found: &[Row]| {
            let mut journal = found.iter().filter(|row| row.table == JOURNAL_TABLE);
            journal.any(|row| rows.contains(&row.value))
        };
        let is_place_free = |found: &[Row]| found.iter().all(|row| row.table != JOURNAL_TABLE);
        let mut backoff = Backoff::new(RETRY_WAITS.0, RETRY_WAITS.1);
        loop {
            let end = cx.store.commit(&txn).await;
            if is_piggyback_stale(&end, holds_fence, is_place_free)
                && let Some((_, tx)) = piggyback.take()
            {
                // The receiver may have timed out and dropped its half.
                let _ = tx.send(PiggybackEnd { end, sent_at });
                txn = self.txn(first, rows, None);
                sent_at = cx.clock.now();
                continue;
            }
            let verdict = judge_write(&end, holds_fence, is_own);
            if verdict != WriteVerdict::SendAgain {
                if let Some((_, tx)) = piggyback {
                    let _ = tx.send(PiggybackEnd { end, sent_at });
                }
                cx.metrics.rows_written.inc_by(rows.len() as u64);
                return verdict;
            }
            cx.note_store(Err(&CallError::new(format!("{end:?}"))));
            if self.inner.borrow().is_lost {
                return WriteVerdict::Fenced;
            }
            tokio::time::sleep(backoff.next_wait(&mut rand::rng())).await;
        }
    }

    fn txn(&self, first: u64, rows: &[Bytes], piggyback: Option<&Piggyback>) -> Txn {
        let keys = (first..).map(|number| self.key(JOURNAL_TABLE, &row_key(number)));
        let mut put: Vec<(RowKey, Bytes)> = keys.zip(rows.iter().cloned()).collect();
        let absent = put.iter().map(|(key, _)| (key.clone(), 0));
        let mut expect: Vec<(RowKey, u64)> =
            std::iter::once(self.fence.clone()).chain(absent).collect();
        if let Some(piggyback) = piggyback {
            expect.push((piggyback.row.clone(), piggyback.version));
            put.push((piggyback.row.clone(), piggyback.value.clone()));
        }
        Txn {
            expect,
            put,
            delete: Vec::new(),
        }
    }

    fn plan_snapshot(&self, row: u64, state: Bytes) {
        let mut inner = self.inner.borrow_mut();
        inner.snapshot = Some(Snapshot { row, state });
        inner.is_storing_snapshot = true;
        self.snapshot_work.notify_one();
    }

    /// Stores snapshots as they are planned, until the shard is lost.
    async fn store_snapshots(&self, cx: &Cx) {
        while !self.inner.borrow().is_lost {
            let planned = self.inner.borrow_mut().snapshot.take();
            let Some(snapshot) = planned else {
                self.snapshot_work.notified().await;
                continue;
            };
            self.store_snapshot(cx, snapshot.row, snapshot.state).await;
            self.inner.borrow_mut().is_storing_snapshot = false;
        }
    }

    /// Stores the state as of row `number`, and deletes the rows that it covers. What fails here is
    /// tried again with the next snapshot; rows that a snapshot covers are passed over at recovery.
    async fn store_snapshot(&self, cx: &Cx, number: u64, state: Bytes) {
        let before = self.read_pointer(cx).await;
        let pointer = SnapshotPointer {
            row: number,
            object: format!("{}-{number}-{:x}", self.part, self.fence.1),
        };
        let stored = cx.store.put_object(&pointer.object, state).await;
        if let Err(e) = stored {
            log::warn!(row = number, error:% = e; "snapshot failed");
            return;
        }
        let value = serde_json::to_vec(&pointer).unwrap_or_default();
        let txn = Txn {
            expect: vec![self.fence.clone()],
            put: vec![(self.key(SNAPSHOT_TABLE, SNAPSHOT_KEY), value.into())],
            delete: Vec::new(),
        };
        // Without a certain answer the rows stay; deleting them under a pointer that isn't in would
        // lose them.
        if !matches!(cx.store.commit(&txn).await, TxnEnd::Committed(_)) {
            return;
        }
        let first = {
            let mut inner = self.inner.borrow_mut();
            // Rows may have been written since.
            inner.rows_since_snapshot = inner.last_row - number;
            std::mem::replace(&mut inner.first_row, number + 1)
        };
        self.delete_rows(cx, first, number).await;
        if let Ok(Some(before)) = before {
            // An object that stays costs room only.
            let _ = cx.store.delete_object(&before.object).await;
        }
        log::info!(row = number; "snapshot stored");
    }

    async fn delete_rows(&self, cx: &Cx, first: u64, last: u64) {
        let numbers: Vec<u64> = (first..=last).collect();
        for some in numbers.chunks(DELETES_A_TXN) {
            let delete = some.iter().map(|n| self.key(JOURNAL_TABLE, &row_key(*n)));
            let txn = Txn {
                expect: vec![self.fence.clone()],
                put: Vec::new(),
                delete: delete.collect(),
            };
            let end = cx.store.commit(&txn).await;
            log::debug!(first, last, end:? = end; "covered rows deleted");
        }
    }

    fn key(&self, table: &'static str, key: &str) -> RowKey {
        RowKey {
            table,
            part: self.part.clone(),
            key: key.to_owned(),
        }
    }
}

/// Takes as many appends as one row holds, and tells who waits for them.
fn take_row(open: &mut VecDeque<Open>, waiting: &mut Vec<oneshot::Sender<AppendEnd>>) -> Bytes {
    let head = RowHead {
        nonce: rand::random(),
    };
    let mut body = serde_json::to_vec(&head).unwrap_or_default();
    let mut is_first = true;
    while let Some(next) = open.front() {
        if !is_first && body.len() + next.lines.len() > ROW_BYTES {
            break;
        }
        is_first = false;
        body.extend_from_slice(&next.lines);
        waiting.extend(open.pop_front().and_then(|open| open.tx));
    }
    body.into()
}

async fn read_object(cx: &Cx, object: &str) -> eyre::Result<Ledger> {
    let bytes = cx.store.get_object(object).await?;
    let bytes = bytes.ok_or_else(|| eyre::eyre!("snapshot {object} is missing"))?;
    serde_json::from_slice(&bytes).wrap_err("the snapshot is malformed")
}

fn line_of(event: &Event) -> Vec<u8> {
    let mut line = vec![b'\n'];
    serde_json::to_writer(&mut line, event)
        .unwrap_or_else(|e| unreachable!("an event has a text form: {e}"));
    line
}

fn row_key(number: u64) -> String {
    format!("{number:016}")
}

fn events_of(row: &Row) -> eyre::Result<Vec<Event>> {
    let lines = row.value.split(|byte| *byte == b'\n').skip(1);
    let parse = |line: &[u8]| serde_json::from_slice(line);
    let events: Result<Vec<Event>, _> = lines.map(parse).collect();
    events.wrap_err_with(|| format!("journal row {} is malformed", row.key))
}
