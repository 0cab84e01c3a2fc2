//! The writer of a shard's ledger: group commit, lost answers read back, snapshots.
//!
//! Load pattern: thousands of task starts a second on a table that takes a few hundred writes a
//! second for the whole system. A row for each event would need a write for each start. Events that
//! arrive while a write is under way, or within a short linger, share the next row.
//!
//! An event is applied to the state when it is proposed, so that the next decision sees it; its
//! effects (an answer to a caller, a command to a worker) wait for [`Ticket`]. If the write can't be
//! settled because another owner came, the whole state is dropped with the shard.

use super::{Cx, registrar::epoch_key};
use crate::{
    core::{
        id::{Epoch, Sequence, ShardId},
        outcome::Refusal,
        time::Millis,
    },
    platform::{
        client::{PlatformError, TxnOutcome},
        wire::{Row, Txn},
    },
    state::ledger::{Batch, Event, Misplaced, State},
    util::backoff::Backoff,
};
use std::{
    cell::{Ref, RefCell},
    time::Duration,
};
use tokio::sync::{Notify, oneshot};

/// First wait before an unsettled write is tried again.
const FIRST_RETRY: Duration = Duration::from_millis(50);
/// Longest wait before an unsettled write is tried again.
const LONGEST_RETRY: Duration = Duration::from_secs(1);
/// When a caller should come back while the table is away.
const STORE_AWAY_RETRY: Duration = Duration::from_secs(2);

/// How soon an event must be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// A caller or a latency-critical start waits for it.
    Urgent,
    /// It can wait for company.
    Batch,
}

/// How the write of an event ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteEnd {
    /// It is durable.
    Committed,
    /// It was certainly not written.
    NotWritten,
    /// The shard was lost before it was known.
    Unknown,
}

/// Why an event was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// The table is away or the lease has run out; nothing was changed.
    Stalled,
    /// The shard is lost.
    Lost,
    /// The event does not belong to the state.
    Misplaced(Misplaced),
}

impl ProposeError {
    /// The refusal that a caller is given.
    pub fn refusal(&self) -> Refusal {
        match self {
            Self::Stalled => Refusal::StoreAway {
                retry_after: STORE_AWAY_RETRY,
            },
            Self::Lost | Self::Misplaced(_) => Refusal::NoOwner {
                retry_after: STORE_AWAY_RETRY,
            },
        }
    }
}

/// Completes when an event's write has ended.
#[must_use = "effects wait for the write's end"]
pub struct Ticket(oneshot::Receiver<WriteEnd>);

impl Ticket {
    /// The write's end.
    pub async fn end(self) -> WriteEnd {
        self.0.await.unwrap_or(WriteEnd::Unknown)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Writing,
    Stalled,
    Lost,
}

struct Inner {
    state: State,
    open: Vec<Event>,
    waiters: Vec<oneshot::Sender<WriteEnd>>,
    due: Option<Millis>,
    standing: Standing,
    since_snapshot: u64,
}

/// One shard's ledger under one owner.
pub struct Journal {
    shard: ShardId,
    epoch: Epoch,
    epoch_version: u64,
    inner: RefCell<Inner>,
    work: Notify,
}

/// A batch on its way to the table, who waits for it, and the snapshot due after it.
struct Outgoing {
    batch: Batch,
    waiters: Vec<oneshot::Sender<WriteEnd>>,
    snapshot: Option<Vec<u8>>,
}

enum Settled {
    Committed,
    Refused,
    Lost,
}

impl Journal {
    /// A ledger that has not been recovered.
    pub fn new(shard: ShardId, epoch: Epoch, epoch_version: u64) -> Self {
        let inner = Inner {
            state: State::default(),
            open: Vec::new(),
            waiters: Vec::new(),
            due: None,
            standing: Standing::Stalled,
            since_snapshot: 0,
        };
        Self {
            shard,
            epoch,
            epoch_version,
            inner: RefCell::new(inner),
            work: Notify::new(),
        }
    }

    /// The state, with everything proposed so far.
    pub fn state(&self) -> Ref<'_, State> {
        Ref::map(self.inner.borrow(), |inner| &inner.state)
    }

    /// Applies events and has them written together. On an error nothing was changed. Without events
    /// the ticket completes once everything proposed before is durable.
    pub fn propose(
        &self,
        cx: &Cx,
        events: Vec<Event>,
        urgency: Urgency,
    ) -> Result<Ticket, ProposeError> {
        let mut inner = self.inner.borrow_mut();
        match inner.standing {
            Standing::Writing => {}
            Standing::Stalled => return Err(ProposeError::Stalled),
            Standing::Lost => return Err(ProposeError::Lost),
        }
        inner
            .state
            .apply_all(&events)
            .map_err(ProposeError::Misplaced)?;
        let (tx, rx) = oneshot::channel();
        inner.open.extend(events);
        inner.waiters.push(tx);
        let linger = match urgency {
            Urgency::Urgent => cx.cfg.shards.linger_urgent,
            Urgency::Batch => cx.cfg.shards.linger_batch,
        };
        let due = cx.clock.now() + linger;
        inner.due = Some(inner.due.map_or(due, |earlier| earlier.min(due)));
        self.work.notify_one();
        Ok(Ticket(rx))
    }

    /// Whether every proposed event is durable.
    pub fn is_settled(&self) -> bool {
        let inner = self.inner.borrow();
        inner.open.is_empty() && inner.due.is_none() && inner.waiters.is_empty()
    }

    /// Ends the ledger: nothing more is written by this owner.
    pub fn lose(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.standing = Standing::Lost;
        inner.open.clear();
        for waiter in inner.waiters.drain(..) {
            let _ = waiter.send(WriteEnd::NotWritten);
        }
        self.work.notify_one();
    }

    /// Reads the last snapshot and the rows after it. The epoch row has been raised before, so no
    /// earlier owner can add a row while or after this reads.
    pub async fn recover(&self, cx: &Cx) -> eyre::Result<()> {
        let mut state = self.read_snapshot(cx).await?;
        let rows = cx.platform.list(&self.row_prefix()).await?;
        let parse = |row: &Row| {
            let batch = row.parse::<Batch>();
            batch.ok_or_else(|| eyre::eyre!("ledger row {} is malformed", row.key))
        };
        let batches: Vec<Batch> = rows.iter().map(parse).collect::<eyre::Result<_>>()?;
        let replayed = state.replay(&batches)?;
        let mut inner = self.inner.borrow_mut();
        inner.state = state;
        inner.since_snapshot = replayed;
        inner.standing = Standing::Writing;
        Ok(())
    }

    async fn read_snapshot(&self, cx: &Cx) -> eyre::Result<State> {
        let pointer = cx.platform.get(&self.pointer_key()).await?;
        let Some(pointer) = pointer.and_then(|row| row.parse::<SnapshotPointer>()) else {
            return Ok(State::default());
        };
        let object = cx.platform.get_object(&pointer.object).await?;
        let object = object.ok_or_else(|| eyre::eyre!("snapshot {} is gone", pointer.object))?;
        Ok(serde_json::from_slice(&object)?)
    }

    /// Writes what is proposed until the shard is lost.
    pub async fn write_all(&self, cx: &Cx, may_act: impl Fn() -> bool) {
        while let Some(mut due) = self.next_due().await {
            while due > cx.clock.now() {
                let wait = due.since(cx.clock.now());
                tokio::select! {
                    () = tokio::time::sleep(wait) => {}
                    () = self.work.notified() => {}
                }
                due = self.inner.borrow().due.unwrap_or_default();
            }
            let Some(Outgoing {
                batch,
                waiters,
                snapshot,
            }) = self.take_batch(cx)
            else {
                continue;
            };
            let settled = self.settle(cx, &batch, &may_act).await;
            let end = match settled {
                Settled::Committed => WriteEnd::Committed,
                Settled::Refused => WriteEnd::NotWritten,
                Settled::Lost => WriteEnd::Unknown,
            };
            for waiter in waiters {
                let _ = waiter.send(end);
            }
            if end != WriteEnd::Committed {
                self.lose();
                return;
            }
            cx.metrics.ledger_writes.inc();
            cx.metrics.ledger_events.inc_by(batch.events.len() as u64);
            if let Some(snapshot) = snapshot {
                self.store_snapshot(cx, batch.sequence, snapshot).await;
            }
        }
    }

    async fn next_due(&self) -> Option<Millis> {
        loop {
            {
                let inner = self.inner.borrow();
                if inner.standing == Standing::Lost {
                    return None;
                }
                if inner.due.is_some() {
                    return inner.due;
                }
            }
            self.work.notified().await;
        }
    }

    fn take_batch(&self, cx: &Cx) -> Option<Outgoing> {
        let mut inner = self.inner.borrow_mut();
        inner.due = None;
        if inner.open.is_empty() {
            // One write at a time: whatever was proposed before is durable by now.
            for waiter in inner.waiters.drain(..) {
                let _ = waiter.send(WriteEnd::Committed);
            }
            return None;
        }
        let batch = Batch {
            sequence: inner.state.sequence.next(),
            epoch: self.epoch,
            nonce: rand::random(),
            events: std::mem::take(&mut inner.open),
        };
        inner.state.sequence = batch.sequence;
        inner.state.epoch = self.epoch;
        inner.since_snapshot += 1;
        let snapshot = (inner.since_snapshot >= cx.cfg.shards.snapshot_batches).then(|| {
            inner.since_snapshot = 0;
            // The state as of this batch, before anything later is proposed.
            serde_json::to_vec(&inner.state).unwrap_or_default()
        });
        Some(Outgoing {
            batch,
            waiters: std::mem::take(&mut inner.waiters),
            snapshot,
        })
    }

    /// Tries a batch until it is known to be written, or never to be.
    async fn settle(&self, cx: &Cx, batch: &Batch, may_act: &impl Fn() -> bool) -> Settled {
        let txn = append(&self.shard, self.epoch_version, batch);
        let mut backoff = Backoff::new(FIRST_RETRY, LONGEST_RETRY);
        let mut in_doubt = false;
        loop {
            if self.inner.borrow().standing == Standing::Lost {
                return if in_doubt {
                    Settled::Lost
                } else {
                    Settled::Refused
                };
            }
            // Judged before the wait: the lease may end while the write is under way.
            let sent = in_doubt || may_act();
            let outcome = match sent {
                true => cx.platform.txn(&txn).await,
                // A paused owner wakes here with its lease gone and must not write.
                false => TxnOutcome::Unknown(PlatformError::lease_lapsed()),
            };
            match outcome {
                TxnOutcome::Committed(_) => {
                    self.set_standing(Standing::Writing);
                    return Settled::Committed;
                }
                TxnOutcome::Conflict(conflict) => {
                    if let Some(settled) = self.read_back(cx, batch, in_doubt, &conflict.key).await
                    {
                        return settled;
                    }
                }
                TxnOutcome::Unknown(_) => {
                    cx.metrics.platform_unknown.inc();
                    in_doubt |= sent;
                    self.set_standing(Standing::Stalled);
                }
            }
            let wait = backoff.next_wait(&mut rand::rng());
            tokio::time::sleep(wait).await;
        }
    }

    /// After a conflict: is the row at our place our own write, whose answer was lost?
    async fn read_back(
        &self,
        cx: &Cx,
        batch: &Batch,
        in_doubt: bool,
        conflict: &str,
    ) -> Option<Settled> {
        if !in_doubt && conflict == epoch_key(&self.shard) {
            return Some(Settled::Refused);
        }
        let row: Option<Row> = cx.platform.get(&self.row_key(batch.sequence)).await.ok()?;
        match row.and_then(|row| row.parse::<Batch>()) {
            Some(found) if found.nonce == batch.nonce => {
                self.set_standing(Standing::Writing);
                Some(Settled::Committed)
            }
            // The next owner may have replaced the row by a snapshot.
            None => Some(Settled::Lost),
            Some(_) => Some(Settled::Refused),
        }
    }

    fn set_standing(&self, standing: Standing) {
        let mut inner = self.inner.borrow_mut();
        if inner.standing != Standing::Lost {
            inner.standing = standing;
        }
    }

    /// Stores a snapshot, points to it, and deletes the rows that it covers. A failure leaves more
    /// rows to replay and nothing else.
    async fn store_snapshot(&self, cx: &Cx, sequence: Sequence, snapshot: Vec<u8>) {
        let object = format!("snapshot/{}/{:020}-{}", self.shard, sequence.0, self.epoch);
        if cx
            .platform
            .put_object(&object, snapshot.into())
            .await
            .is_err()
        {
            return;
        }
        let old = cx.platform.get(&self.pointer_key()).await.ok().flatten();
        let old = old.and_then(|row| row.parse::<SnapshotPointer>());
        let pointer = SnapshotPointer { object, sequence };
        let txn = Txn::default()
            .compare(epoch_key(&self.shard), self.epoch_version)
            .put(self.pointer_key(), &pointer);
        if !matches!(cx.platform.txn(&txn).await, TxnOutcome::Committed(_)) {
            return;
        }
        let first = old
            .as_ref()
            .map(|old| old.sequence)
            .unwrap_or_default()
            .next();
        let mut delete = Txn::default().compare(epoch_key(&self.shard), self.epoch_version);
        for covered in first.0..=sequence.0 {
            delete = delete.delete(self.row_key(Sequence(covered)));
        }
        let _ = cx.platform.txn(&delete).await;
        if let Some(old) = old {
            let _ = cx.platform.delete_object(&old.object).await;
        }
    }

    fn row_prefix(&self) -> String {
        row_prefix(&self.shard)
    }

    fn row_key(&self, sequence: Sequence) -> String {
        row_key(&self.shard, sequence)
    }

    fn pointer_key(&self) -> String {
        format!("snapshot/{}", self.shard)
    }
}

/// Key prefix of a shard's ledger rows.
pub fn row_prefix(shard: &ShardId) -> String {
    format!("ledger/{shard}/")
}

/// The key of a ledger row; keys sort as sequence numbers do.
pub fn row_key(shard: &ShardId, sequence: Sequence) -> String {
    format!("{}{:020}", row_prefix(shard), sequence.0)
}

/// The transaction that appends a batch: only under the epoch whose row has `epoch_version`, and only
/// where no batch is.
pub fn append(shard: &ShardId, epoch_version: u64, batch: &Batch) -> Txn {
    let row = row_key(shard, batch.sequence);
    Txn::default()
        .compare(epoch_key(shard), epoch_version)
        .compare(&row, 0)
        .put(&row, batch)
}

data! {
    /// The row that names a shard's last snapshot.
    pub struct SnapshotPointer {
        /// The object's key.
        pub object: String,
        /// The last batch that it covers.
        pub sequence: Sequence,
    }
}
