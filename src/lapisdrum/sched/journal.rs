//! Writer of a shard's journal: group commit into rows of one partition of the store.
//!
//! Load pattern: about 400 events/s from one shard (1,500 events/s on the larger deployments) on a
//! store that takes 200 transactions/s per partition, 10 ms each, one after another. One row per
//! event would exceed the partition's limit, so events that arrive while a transaction is in flight
//! share the next one. Spacing transactions by `MIN_WRITE_INTERVAL` limits a shard to 50 calls/s
//! and adds half of the spacing to a start on average. A store that is 60 times slower takes 3
//! transactions/s, so each one carries all rows that have accumulated: with one row per
//! transaction, starts would be blocked behind the run ends that arrive meanwhile.
//!
//! The rows of a transaction are written on two conditions: the fence row still has the version
//! from this owner's take-over, and no rows exist at their sequence numbers.
//! [`resolution`](super::resolution) interprets the replies. Events change the owner's state when
//! they are appended; their external effects (a reply to a caller, an order to a worker) wait for
//! the [`Ticket`].

pub mod snapshots;
mod standby;

pub use standby::Standby;

use super::{
    Cx,
    edge::{CallError, Row, RowKey, Txn, TxnOutcome},
    event::{Event, RunId},
    ledger::Ledger,
    resolution::{WriteVerdict, is_piggyback_stale, judge_write},
};
use crate::{
    core::time::{Millis, Timestamp},
    util::backoff::Backoff,
};
use bytes::Bytes;
use eyre::WrapErr as _;
use futures::FutureExt;
use indexmap::IndexMap;
use rand::Rng;
use serde::{Deserialize, Serialize};
use snapshots::{Obsolete, Retry, Snapshot};
use std::{cell::RefCell, collections::VecDeque, time::Duration};
use tokio::sync::{Notify, oneshot};

/// Store table of the journal rows.
pub const JOURNAL_TABLE: &str = "journal";
/// Store table of the pointers to the latest snapshots.
pub const SNAPSHOT_TABLE: &str = "snapshots";
/// Minimum time between the starts of two transactions; see the module documentation.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum size of a row's events; the store takes rows of 64 KiB. A larger event is divided over
/// several rows.
const MAX_ROW_BYTES: usize = 40 * 1024;
/// Maximum rows per transaction: encoded as text, they stay below the store's limit of 1 MB.
const MAX_ROWS_PER_TXN: usize = 16;
/// Maximum size of an event: all of its rows are written by one transaction, so that no owner finds
/// a part of an event. Larger ones are refused before they are applied; see
/// [`fits`].
pub const MAX_EVENT_BYTES: usize = MAX_ROWS_PER_TXN * MAX_ROW_BYTES;
/// Maximum size of the rows that no snapshot covers, from which no new jobs are accepted: with 12
/// shards they stay below the 400 MB after which the store takes no write, and accepted jobs can
/// still end.
const MAX_UNCOVERED_BYTES: u64 = 32 * 1024 * 1024;
/// Time between two log lines about rows that the store does not take.
const STUCK_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum time that a transaction may be in flight before the store counts as unavailable and new
/// jobs are refused. The limit grows with the duration of the last transaction: a store that is 60
/// times slower than usual is still available, and a lower limit would refuse submissions that it
/// would accept.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Upper bound of that limit, however slow the last transaction was, so that callers do not wait
/// longer.
const MAX_STALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// First and longest delay before a transaction with an unknown outcome is sent again.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(500));
/// Rows between two snapshots, so that a new owner reads at most two pages of rows.
const SNAPSHOT_INTERVAL_ROWS: u64 = 400;
/// Bytes of rows between two snapshots where recoveries are kept short: a host with 10 Mbit/s reads
/// them in half a second.
const SNAPSHOT_INTERVAL_BYTES: u64 = 512 * 1024;
/// A store that takes longer than this for a transaction is slow, and snapshots are postponed: each
/// costs the partition seven transactions, which the journal rows need then.
const FAST_TXN: Duration = Duration::from_millis(100);
/// Rows after which a snapshot is stored even if the store is slow: reading more would delay the
/// next owner longer.
const MAX_ROWS_SINCE_SNAPSHOT: u64 = 4 * SNAPSHOT_INTERVAL_ROWS;

/// First line of a row.
#[derive(Serialize, Deserialize)]
struct RowHead {
    /// Distinguishes this owner's row from another owner's after a lost reply.
    nonce: u64,
    /// Whether the row continues the last event of the row before.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    continues: bool,
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The events are in the store.
    Durable,
    /// This owner has lost the shard. Whether the events are in the store is known to the next
    /// owner only.
    Lost,
}

/// Pending outcome of an append.
pub struct Ticket(oneshot::Receiver<AppendOutcome>);

impl Ticket {
    /// Waits for the outcome.
    pub async fn outcome(self) -> AppendOutcome {
        self.0.await.unwrap_or(AppendOutcome::Lost)
    }
}

struct PendingAppend {
    /// More than [`MAX_ROW_BYTES`] only for a single event.
    lines: Vec<u8>,
    /// Receives the outcome; `None` except in the last chunk of an append.
    tx: Option<oneshot::Sender<AppendOutcome>>,
}

/// A row that is written in the same transaction as the next journal rows. A partition of a slow
/// store takes 3 transactions/s, and a separate lease renewal would take one of them from the
/// journal.
pub struct Piggyback {
    /// Key of the row.
    pub row: RowKey,
    /// Version that the row must have for the transaction to commit.
    pub version: u64,
    /// New value of the row.
    pub value: Bytes,
}

/// Result of the transaction that carried a piggyback.
pub struct PiggybackReply {
    /// Reply of the store.
    pub outcome: TxnOutcome,
    /// Time at which the transaction was first sent.
    pub sent_at: Timestamp,
}

/// Outcome of [`Journal::carry`].
pub enum PiggybackOutcome {
    /// The row was sent with journal rows.
    Carried(PiggybackReply),
    /// This owner has lost the shard.
    Lost,
    /// No transaction was started within the limit; returns the row unsent.
    NotTaken(Piggyback),
}

/// What a journal keeps in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JournalUsage {
    /// Rows that no snapshot covers.
    pub rows: u64,
    /// Bytes of these rows.
    pub bytes: u64,
    /// Covered rows whose deletion is not confirmed.
    pub obsolete_rows: u64,
}

/// Rows of one transaction, with the senders of the appends that complete with it.
struct Batch {
    waiting: Vec<oneshot::Sender<AppendOutcome>>,
    rows: Vec<Bytes>,
}

#[derive(Default)]
struct Inner {
    pending: VecDeque<PendingAppend>,
    in_flight_since: Option<Millis>,
    /// Duration of the last transaction.
    last_duration: Duration,
    /// The next snapshot to store.
    snapshot: Option<Snapshot>,
    is_storing_snapshot: bool,
    piggyback: Option<(Piggyback, oneshot::Sender<PiggybackReply>)>,
    is_lost: bool,
    last_row: u64,
    /// Number of the last row that the latest snapshot covers.
    covered_upto: u64,
    obsolete: Obsolete,
    retry: Retry,
    rows_since_snapshot: u64,
    /// Bytes of the rows that no snapshot covers.
    uncovered_bytes: u64,
}

/// A shard's journal, as written by one owner.
pub struct Journal {
    partition: String,
    fence: (RowKey, u64),
    inner: RefCell<Inner>,
    work: Notify,
    snapshot_work: Notify,
}

impl Journal {
    /// Creates the journal of partition `partition`. Every write is conditional on `fence`, a key
    /// and its version.
    pub fn new(partition: &str, fence: (RowKey, u64)) -> Self {
        Self {
            partition: partition.to_owned(),
            fence,
            inner: RefCell::default(),
            work: Notify::new(),
            snapshot_work: Notify::new(),
        }
    }

    /// Appends events in the order in which they were applied to the state; the ticket is for the
    /// last one. The events share a row up to its maximum size, which a pass that places a thousand
    /// tasks exceeds.
    pub fn append(&self, events: &[Event]) -> Ticket {
        let (tx, rx) = oneshot::channel();
        let mut inner = self.inner.borrow_mut();
        if inner.is_lost {
            return Ticket(rx);
        }
        let mut lines = Vec::new();
        for event in events {
            let line = line_of(event);
            if !lines.is_empty() && lines.len() + line.len() > MAX_ROW_BYTES {
                let lines = std::mem::take(&mut lines);
                inner.pending.push_back(PendingAppend { lines, tx: None });
            }
            lines.extend_from_slice(&line);
        }
        let tx = Some(tx);
        inner.pending.push_back(PendingAppend { lines, tx });
        self.work.notify_one();
        Ticket(rx)
    }

    /// Whether the journal accepts new work: the shard is not lost, and no transaction is in flight
    /// beyond the limit.
    pub fn accepts_work(&self, now: Millis) -> bool {
        let stall_timeout = self.stall_timeout();
        let inner = self.inner.borrow();
        let waited = inner.in_flight_since.map(|since| now.since(since));
        !inner.is_lost && waited.is_none_or(|waited| waited < stall_timeout)
    }

    /// Whether the rows that no snapshot covers have reached their maximum size.
    pub fn is_full(&self) -> bool {
        self.inner.borrow().uncovered_bytes >= MAX_UNCOVERED_BYTES
    }

    /// Time that an append may take before the store counts as unavailable: twice the duration of
    /// the last transaction, within bounds.
    pub fn stall_timeout(&self) -> Duration {
        let slow = self.inner.borrow().last_duration * 2;
        slow.clamp(MIN_STALL_TIMEOUT, MAX_STALL_TIMEOUT)
    }

    /// Records the duration of another transaction in the same partition.
    pub fn note_answer(&self, took: Duration) {
        self.inner.borrow_mut().last_duration = took;
    }

    /// What the journal keeps in the store.
    pub fn usage(&self) -> JournalUsage {
        let inner = self.inner.borrow();
        JournalUsage {
            rows: inner.rows_since_snapshot,
            bytes: inner.uncovered_bytes,
            obsolete_rows: inner.obsolete.rows(),
        }
    }

    /// Whether rows are in flight or queued.
    pub fn is_busy(&self) -> bool {
        let inner = self.inner.borrow();
        inner.in_flight_since.is_some() || !inner.pending.is_empty()
    }

    /// Writes a row with the next journal rows, if there are any within `limit`.
    pub async fn carry(&self, piggyback: Piggyback, limit: Duration) -> PiggybackOutcome {
        let (tx, mut rx) = oneshot::channel();
        self.inner.borrow_mut().piggyback = Some((piggyback, tx));
        if let Ok(reply) = tokio::time::timeout(limit, &mut rx).await {
            return reply.map_or(PiggybackOutcome::Lost, PiggybackOutcome::Carried);
        }
        let waiting = self.inner.borrow_mut().piggyback.take();
        if let Some((piggyback, _)) = waiting {
            return PiggybackOutcome::NotTaken(piggyback);
        }
        // The row was sent. Without the outcome its version would be unknown and the next piggyback
        // would conflict.
        rx.await
            .map_or(PiggybackOutcome::Lost, PiggybackOutcome::Carried)
    }

    /// Whether the store was fast in the last transaction, so that it has capacity beyond the
    /// journal's needs.
    pub fn is_store_fast(&self) -> bool {
        self.inner.borrow().last_duration < FAST_TXN
    }

    /// Stops the journal and drops the queued events.
    pub fn stop(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.is_lost = true;
        inner.pending.clear();
        self.work.notify_one();
        self.snapshot_work.notify_one();
    }

    /// Number of the next row, for an event that is appended now or later.
    pub fn next_row(&self) -> u64 {
        self.inner.borrow().last_row + 1
    }

    /// Number of the last row that the latest snapshot covers.
    pub fn covered_upto(&self) -> u64 {
        self.inner.borrow().covered_upto
    }

    /// Rebuilds the state from the snapshot and rows of earlier owners. The fence was raised
    /// before, so they cannot add rows any more.
    pub async fn recover(&self, cx: &Cx) -> eyre::Result<Ledger> {
        Ok(self.recover_from(cx, None).await?.0)
    }

    /// Like [`Self::recover`], and returns the rows of placed runs that the snapshot does not cover;
    /// reads only the rows after those of `standby`, if there is one.
    pub async fn recover_from(
        &self,
        cx: &Cx,
        standby: Option<Standby>,
    ) -> eyre::Result<(Ledger, IndexMap<RunId, u64>)> {
        let standby = match standby {
            Some(standby) => standby.advanced(cx, &self.partition).await?,
            None => Standby::read(cx, &self.partition).await?,
        };
        let mut inner = self.inner.borrow_mut();
        inner.last_row = standby.last;
        inner.covered_upto = standby.covered;
        inner.obsolete = Obsolete::left_by_earlier_owners(standby.left, cx.clock.now());
        inner.rows_since_snapshot = standby.last - standby.covered;
        inner.uncovered_bytes = standby.bytes;
        Ok((standby.ledger, standby.placed_rows))
    }

    /// Writes appended events and snapshots until the shard is lost. `state` returns the serialised
    /// state after all events that were appended so far.
    pub async fn write_all(&self, cx: &Cx, state: impl Fn() -> Vec<u8>) {
        // Concurrent: a snapshot takes as long as several transactions and would block starts
        // meanwhile.
        let rows = self.write_rows(cx, state).boxed_local();
        let snapshots = self.store_snapshots(cx).boxed_local();
        // Either ends only if the shard is lost. A snapshot without a pointer is never read.
        futures::future::select(rows, snapshots).await;
    }

    async fn write_rows(&self, cx: &Cx, state: impl Fn() -> Vec<u8>) {
        while let Some(batch) = self.next_batch(cx).await {
            let started_at = cx.clock.now();
            self.inner.borrow_mut().in_flight_since = Some(started_at);
            let first = self.inner.borrow().last_row + 1;
            let early_state = self.is_early_state_wanted(cx).then(&state);
            if self.write_batch(cx, first, &batch.rows).await == WriteVerdict::Fenced {
                self.stop();
                return;
            }
            let took = cx.clock.now().since(started_at);
            cx.metrics.row_seconds.observe(took.as_secs_f64());
            let last = first + batch.rows.len() as u64 - 1;
            let bytes: usize = batch.rows.iter().map(Bytes::len).sum();
            self.inner.borrow_mut().uncovered_bytes += bytes as u64;
            let is_snapshot_due = self.note_written(last, started_at, took);
            for tx in batch.waiting {
                // The receiver may have timed out and dropped its half.
                let _ = tx.send(AppendOutcome::Durable);
            }
            if let Some(state) = early_state {
                self.plan_snapshot(last, state.into());
            } else if is_snapshot_due {
                self.plan_snapshot(last, state().into());
            }
            tokio::time::sleep(MIN_WRITE_INTERVAL.saturating_sub(took)).await;
        }
    }

    /// Whether the state of the batch that was just taken is kept for a snapshot: its rows bring
    /// those since the last one to [`SNAPSHOT_INTERVAL_BYTES`], and the state has no later events.
    /// Under load there are always later ones once the batch is written.
    fn is_early_state_wanted(&self, cx: &Cx) -> bool {
        let inner = self.inner.borrow();
        let is_due = inner.uncovered_bytes >= SNAPSHOT_INTERVAL_BYTES
            && inner.last_duration < FAST_TXN
            && inner.retry.is_due(cx.clock.now());
        let is_allowed = inner.pending.is_empty() && !inner.is_storing_snapshot;
        cx.cfg.features.quick_recovery && is_due && is_allowed
    }

    async fn next_batch(&self, cx: &Cx) -> Option<Batch> {
        loop {
            if self.inner.borrow().is_lost {
                return None;
            }
            if let Some(batch) = self.take_batch(cx) {
                return Some(batch);
            }
            self.work.notified().await;
        }
    }

    fn take_batch(&self, cx: &Cx) -> Option<Batch> {
        let mut inner = self.inner.borrow_mut();
        inner.pending.front()?;
        let mut batch = Batch {
            waiting: Vec::new(),
            rows: Vec::new(),
        };
        while let Some(next) = inner.pending.front() {
            let is_full = batch.rows.len() + next.row_count() > MAX_ROWS_PER_TXN;
            if is_full && !batch.rows.is_empty() {
                break;
            }
            let body = take_body(&mut inner.pending, &mut batch.waiting);
            batch.rows.extend(rows_of(&body, &mut cx.rng()));
        }
        Some(batch)
    }

    /// Records that the rows up to `last` are committed, by a transaction that was first sent at
    /// `started_at`. Returns whether a snapshot is due, which requires that the state has no events
    /// beyond these rows.
    fn note_written(&self, last: u64, started_at: Millis, took: Duration) -> bool {
        let mut inner = self.inner.borrow_mut();
        inner.in_flight_since = None;
        inner.last_duration = took;
        inner.rows_since_snapshot += last - inner.last_row;
        inner.last_row = last;
        let rows = inner.rows_since_snapshot;
        let is_due =
            rows >= MAX_ROWS_SINCE_SNAPSHOT || (rows >= SNAPSHOT_INTERVAL_ROWS && took < FAST_TXN);
        let is_allowed = is_due && inner.retry.is_due(started_at + took);
        is_allowed && inner.pending.is_empty() && !inner.is_storing_snapshot
    }

    async fn write_batch(&self, cx: &Cx, first: u64, rows: &[Bytes]) -> WriteVerdict {
        let mut piggyback = self.inner.borrow_mut().piggyback.take();
        let mut sent_at = cx.clock.timestamp();
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
        // A transaction is atomic: if one of its rows is in the store, all are.
        let is_own = |found: &[Row]| {
            let mut journal = found.iter().filter(|row| row.table == JOURNAL_TABLE);
            journal.any(|row| rows.contains(&row.value))
        };
        let are_keys_free = |found: &[Row]| found.iter().all(|row| row.table != JOURNAL_TABLE);
        let mut backoff = Backoff::new(RETRY_DELAYS.0, RETRY_DELAYS.1);
        let mut stuck_at = cx.clock.now();
        loop {
            let outcome = cx.store.commit(&txn).await;
            if is_piggyback_stale(&outcome, holds_fence, are_keys_free)
                && let Some((_, tx)) = piggyback.take()
            {
                // The receiver may have timed out and dropped its half.
                let _ = tx.send(PiggybackReply { outcome, sent_at });
                txn = self.txn(first, rows, None);
                sent_at = cx.clock.timestamp();
                continue;
            }
            let verdict = judge_write(&outcome, holds_fence, is_own);
            if verdict != WriteVerdict::SendAgain {
                if let Some((_, tx)) = piggyback {
                    let _ = tx.send(PiggybackReply { outcome, sent_at });
                }
                cx.metrics.rows_written.inc_by(rows.len() as u64);
                return verdict;
            }
            cx.note_store(Err(&CallError::new(format!("{outcome:?}"))));
            if cx.clock.now().since(stuck_at) >= STUCK_LOG_INTERVAL {
                stuck_at = cx.clock.now();
                let bytes: usize = rows.iter().map(Bytes::len).sum();
                log::error!(shard:% = self.partition, row = first, rows = rows.len(), bytes, end:? = outcome; "the store does not take journal rows");
            }
            if self.inner.borrow().is_lost {
                return WriteVerdict::Fenced;
            }
            tokio::time::sleep(backoff.next_wait(&mut cx.rng())).await;
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
        let bytes = inner.uncovered_bytes;
        inner.snapshot = Some(Snapshot { row, bytes, state });
        inner.is_storing_snapshot = true;
        self.snapshot_work.notify_one();
    }

    fn key(&self, table: &'static str, key: &str) -> RowKey {
        RowKey {
            table,
            partition: self.partition.clone(),
            key: key.to_owned(),
        }
    }
}

impl PendingAppend {
    /// Number of rows that the append alone takes.
    fn row_count(&self) -> usize {
        self.lines.len().div_ceil(MAX_ROW_BYTES).max(1)
    }
}

/// Removes as many appends as fit into one row, or a single larger one, adds their senders to
/// `waiting` and returns their lines.
fn take_body(
    pending: &mut VecDeque<PendingAppend>,
    waiting: &mut Vec<oneshot::Sender<AppendOutcome>>,
) -> Vec<u8> {
    let mut body = Vec::new();
    let mut is_first = true;
    while let Some(next) = pending.front() {
        if !is_first && body.len() + next.lines.len() > MAX_ROW_BYTES {
            break;
        }
        is_first = false;
        body.extend_from_slice(&next.lines);
        waiting.extend(pending.pop_front().and_then(|pending| pending.tx));
    }
    body
}

/// Encodes lines as one row, or as several if they are a single event beyond the maximum of one.
fn rows_of(body: &[u8], rng: &mut impl Rng) -> Vec<Bytes> {
    // A row without lines is written too, since an append without events is durable once it is.
    let (first, rest) = body.split_at(body.len().min(MAX_ROW_BYTES));
    let first = row_of(false, first, rng);
    let rest = rest.chunks(MAX_ROW_BYTES);
    let rest = rest.map(|part| row_of(true, part, rng));
    std::iter::once(first).chain(rest).collect()
}

fn row_of(continues: bool, part: &[u8], rng: &mut impl Rng) -> Bytes {
    let head = RowHead {
        nonce: rng.random(),
        continues,
    };
    let mut row = serde_json::to_vec(&head).unwrap_or_default();
    if continues {
        row.push(b'\n');
    }
    row.extend_from_slice(part);
    row.into()
}

/// Applies the events of rows that end with row `last`.
fn replay(
    ledger: &mut Ledger,
    body: &[u8],
    last: u64,
    note: &mut impl FnMut(u64, &Event),
) -> eyre::Result<()> {
    let events = events_of(body);
    for event in events.wrap_err_with(|| format!("journal row {last} is malformed"))? {
        if let Err(why) = ledger.apply(&event) {
            ledger.apply_earlier(&event, why)?;
            log::warn!(row = last, event:?, why:%; "event of an earlier version is replayed");
        }
        note(last, &event);
    }
    Ok(())
}

fn line_of(event: &Event) -> Vec<u8> {
    let mut line = vec![b'\n'];
    serde_json::to_writer(&mut line, event)
        .unwrap_or_else(|e| unreachable!("an event must serialise to JSON: {e}"));
    line
}

fn row_key(number: u64) -> String {
    format!("{number:016}")
}

/// The lines of a row, and whether the first one continues the row before.
fn body_of(row: &Row) -> eyre::Result<(bool, &[u8])> {
    let end = row.value.iter().position(|byte| *byte == b'\n');
    let (head, body) = row.value.split_at(end.unwrap_or(row.value.len()));
    let head: RowHead = serde_json::from_slice(head)
        .wrap_err_with(|| format!("the head of journal row {} is malformed", row.key))?;
    let skipped = usize::from(head.continues && !body.is_empty());
    Ok((head.continues, &body[skipped..]))
}

fn events_of(body: &[u8]) -> Result<Vec<Event>, serde_json::Error> {
    let lines = body.split(|byte| *byte == b'\n').skip(1);
    lines.map(serde_json::from_slice).collect()
}

/// Whether an event is small enough for the journal.
pub fn fits(event: &Event) -> bool {
    line_of(event).len() <= MAX_EVENT_BYTES
}
