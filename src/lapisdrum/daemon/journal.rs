//! The writer of a shard's ledger: group commit and lost answers read back.
//!
//! Load pattern: thousands of task starts a second on a table that takes a few hundred writes a
//! second for the whole system. A row for each event would need a write for each start. Events that
//! arrive while a write is under way, within a short linger, or before the spacing of writes is
//! over, share the next row. [`super::snapshots`] keeps the number of rows bounded.
//!
//! An event is applied to the state when it is proposed, so that the next decision sees it; its
//! effects (an answer to a caller, a command to a worker) wait for [`Ticket`]. If the write can't be
//! settled because another owner came, the whole state is dropped with the shard.

use super::{
    Cx,
    index::Index,
    proposals::{Pending, Proposal, answer},
    registrar::epoch_key,
    snapshots::{self, Snapshot},
};
use crate::{
    core::{
        id::{EntryName, Epoch, JobId, Sequence, ShardId},
        time::Millis,
    },
    state::ledger::{Batch, Event, State},
    store::{
        client::TxnOutcome,
        wire::{Row, Txn},
    },
    util::backoff::Backoff,
};
use std::{
    cell::{Ref, RefCell, RefMut},
    collections::VecDeque,
    time::Duration,
};
use tokio::sync::{Notify, oneshot};

pub use super::proposals::{ProposeError, Ticket, Urgency, WriteEnd};

/// First wait before an unsettled write is tried again.
const FIRST_RETRY: Duration = Duration::from_millis(50);
/// Longest wait before an unsettled write is tried again.
const LONGEST_RETRY: Duration = Duration::from_secs(1);
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Writing,
    Stalled,
    Lost,
}

struct Inner {
    state: State,
    index: Index,
    open: VecDeque<Proposal>,
    /// Who waits for the row that is under way.
    under_way: Vec<oneshot::Sender<WriteEnd>>,
    pending: Pending,
    due: Option<Millis>,
    written_at: Option<Millis>,
    standing: Standing,
    since_snapshot: u64,
    is_storing: bool,
    snapshot: Option<Snapshot>,
    first_row: Sequence,
}

/// One shard's ledger under one owner.
pub struct Journal {
    shard: ShardId,
    epoch: Epoch,
    epoch_version: u64,
    inner: RefCell<Inner>,
    work: Notify,
    snapshot_work: Notify,
}

/// A batch on its way to the table and the snapshot due after it.
struct Outgoing {
    batch: Batch,
    snapshot: Option<Snapshot>,
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
            index: Index::default(),
            open: VecDeque::new(),
            under_way: Vec::new(),
            pending: Pending::default(),
            due: None,
            written_at: None,
            standing: Standing::Stalled,
            since_snapshot: 0,
            is_storing: false,
            snapshot: None,
            first_row: Sequence::default().next(),
        };
        Self {
            shard,
            epoch,
            epoch_version,
            inner: RefCell::new(inner),
            work: Notify::new(),
            snapshot_work: Notify::new(),
        }
    }

    /// The shard.
    pub fn shard(&self) -> &ShardId {
        &self.shard
    }

    /// The epoch, and the version of its row that every write asserts.
    pub fn guard(&self) -> (Epoch, u64) {
        (self.epoch, self.epoch_version)
    }

    /// The state, with everything proposed so far.
    pub fn state(&self) -> Ref<'_, State> {
        Ref::map(self.inner.borrow(), |inner| &inner.state)
    }

    /// The index of the state.
    pub fn index(&self) -> Ref<'_, Index> {
        Ref::map(self.inner.borrow(), |inner| &inner.index)
    }

    /// The index, to take from its queues and lists.
    pub fn index_mut(&self) -> RefMut<'_, Index> {
        RefMut::map(self.inner.borrow_mut(), |inner| &mut inner.index)
    }

    /// Takes the next waiting job of an entry off its queue; see [`Index::take_waiting`].
    pub fn take_waiting(&self, entry: &EntryName) -> Option<JobId> {
        let inner = &mut *self.inner.borrow_mut();
        inner.index.take_waiting(&inner.state, entry)
    }

    /// Whether an event about the job has been proposed that is not yet durable.
    pub fn is_unsettled(&self, job: &JobId) -> bool {
        self.inner.borrow().pending.has(job)
    }

    /// Whether the job's acceptance is not yet durable.
    pub fn is_unaccepted(&self, job: &JobId) -> bool {
        self.inner.borrow().pending.accepts(job)
    }

    /// Whether the table has taken the last row without delay.
    pub fn is_writing(&self) -> bool {
        self.inner.borrow().standing == Standing::Writing
    }

    /// Applies events and has them written together. On an error nothing was changed. Without events
    /// the ticket completes once everything proposed before is durable.
    pub fn propose(
        &self,
        cx: &Cx,
        events: Vec<Event>,
        urgency: Urgency,
    ) -> Result<Ticket, ProposeError> {
        let inner = &mut *self.inner.borrow_mut();
        match inner.standing {
            Standing::Writing => {}
            Standing::Stalled => return Err(ProposeError::Stalled),
            Standing::Lost => return Err(ProposeError::Lost),
        }
        let now = cx.clock.now();
        let before = Index::before(&inner.state, &events);
        inner
            .state
            .apply_all(&events)
            .map_err(ProposeError::Misplaced)?;
        inner.index.note(before, &inner.state, now);
        for event in &events {
            inner.pending.add(event);
        }
        let (waiter, ticket) = Ticket::new();
        inner.open.push_back(Proposal { events, waiter });
        let linger = match urgency {
            Urgency::Urgent => cx.cfg.shards.linger_urgent,
            Urgency::Batch => cx.cfg.shards.linger_batch,
        };
        let due = now + linger;
        inner.due = Some(inner.due.map_or(due, |earlier| earlier.min(due)));
        self.work.notify_one();
        Ok(ticket)
    }

    /// Ends the ledger: nothing more is written by this owner. A row under way may yet be in.
    pub fn lose(&self) {
        let inner = &mut *self.inner.borrow_mut();
        inner.standing = Standing::Lost;
        for proposal in inner.open.drain(..) {
            let _ = proposal.waiter.send(WriteEnd::NotWritten);
        }
        answer(&mut inner.under_way, WriteEnd::Unknown);
        self.work.notify_one();
    }

    /// Reads the last snapshot and the rows after it. The epoch row has been raised before, so no
    /// earlier owner can add a row while or after this reads.
    pub async fn recover(&self, cx: &Cx) -> eyre::Result<()> {
        let mut state = snapshots::read(cx, &self.shard).await?;
        let rows = cx
            .platform
            .list(&snapshots::row_prefix(&self.shard))
            .await?;
        let parse = |row: &Row| {
            let batch = row.parse::<Batch>();
            batch.ok_or_else(|| eyre::eyre!("ledger row {} is malformed", row.key))
        };
        let batches: Vec<Batch> = rows.iter().map(parse).collect::<eyre::Result<_>>()?;
        let first_row = batches.first().map(|batch| batch.sequence);
        let replayed = state.replay(&batches)?;
        let inner = &mut *self.inner.borrow_mut();
        if inner.standing == Standing::Lost {
            return Ok(());
        }
        inner.first_row = first_row.unwrap_or(state.sequence.next());
        inner.index = Index::build(&state, cx.clock.now());
        inner.state = state;
        inner.since_snapshot = replayed;
        inner.standing = Standing::Writing;
        Ok(())
    }

    /// Writes what is proposed until the shard is lost.
    pub async fn write_all(&self, cx: &Cx, may_act: impl Fn() -> bool) {
        while let Some(mut due) = self.next_due(cx).await {
            while due > cx.clock.now() {
                let wait = due.since(cx.clock.now());
                tokio::select! {
                    () = tokio::time::sleep(wait) => {}
                    () = self.work.notified() => {}
                }
                due = self.effective_due(cx).unwrap_or_default();
            }
            let Some(Outgoing { batch, snapshot }) = self.take_batch(cx) else {
                continue;
            };
            let settled = self.settle(cx, &batch, &may_act).await;
            let end = match settled {
                Settled::Committed => WriteEnd::Committed,
                Settled::Refused => WriteEnd::NotWritten,
                Settled::Lost => WriteEnd::Unknown,
            };
            self.end_batch(&batch, end);
            if end != WriteEnd::Committed {
                self.lose();
                return;
            }
            cx.metrics.ledger_writes.inc();
            cx.metrics.ledger_events.inc_by(batch.events.len() as u64);
            if let Some(snapshot) = snapshot {
                self.inner.borrow_mut().snapshot = Some(snapshot);
                self.snapshot_work.notify_one();
            }
        }
    }

    fn end_batch(&self, batch: &Batch, end: WriteEnd) {
        let inner = &mut *self.inner.borrow_mut();
        for event in &batch.events {
            inner.pending.remove(event);
        }
        answer(&mut inner.under_way, end);
    }

    async fn next_due(&self, cx: &Cx) -> Option<Millis> {
        loop {
            if self.inner.borrow().standing == Standing::Lost {
                return None;
            }
            if let Some(due) = self.effective_due(cx) {
                return Some(due);
            }
            self.work.notified().await;
        }
    }

    /// When the next row is due. Under load rows keep their spacing, however urgent their events;
    /// after a quiet time an event waits for its own linger only.
    fn effective_due(&self, cx: &Cx) -> Option<Millis> {
        let inner = self.inner.borrow();
        let spaced = inner.written_at.map(|at| at + cx.cfg.shards.write_spacing);
        inner.due.map(|due| due.max(spaced.unwrap_or_default()))
    }

    fn take_batch(&self, cx: &Cx) -> Option<Outgoing> {
        let inner = &mut *self.inner.borrow_mut();
        let most = cx.cfg.shards.row_events;
        let mut events = Vec::new();
        while let Some(proposal) = inner.open.front() {
            if !events.is_empty() && events.len() + proposal.events.len() > most {
                break;
            }
            if let Some(proposal) = inner.open.pop_front() {
                events.extend(proposal.events);
                inner.under_way.push(proposal.waiter);
            }
        }
        // What did not fit goes as soon as the spacing allows.
        inner.due = (!inner.open.is_empty()).then(|| cx.clock.now());
        if events.is_empty() {
            // One write at a time: whatever was proposed before is durable by now.
            answer(&mut inner.under_way, WriteEnd::Committed);
            return None;
        }
        let batch = Batch {
            sequence: inner.state.sequence.next(),
            epoch: self.epoch,
            nonce: rand::random(),
            events,
        };
        inner.written_at = Some(cx.clock.now());
        inner.state.sequence = batch.sequence;
        inner.state.epoch = self.epoch;
        inner.since_snapshot += 1;
        // A state that is ahead of its row must not be stored under that row's number.
        let is_due =
            inner.since_snapshot >= cx.cfg.shards.snapshot_batches && inner.open.is_empty();
        let snapshot = (is_due && !inner.is_storing).then(|| {
            inner.since_snapshot = 0;
            inner.is_storing = true;
            // The state as of this batch, before anything later is proposed.
            Snapshot {
                sequence: batch.sequence,
                state: inner.state.clone(),
            }
        });
        Some(Outgoing { batch, snapshot })
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
            // A paused owner wakes here with its lease gone and must not write. A row that was sent
            // may be sent again: its epoch still decides.
            if in_doubt || may_act() {
                match cx.platform.txn(&txn).await {
                    TxnOutcome::Committed(_) => {
                        self.set_standing(Standing::Writing);
                        return Settled::Committed;
                    }
                    TxnOutcome::Conflict(conflict) => {
                        let found = self.read_back(cx, batch, in_doubt, &conflict.key).await;
                        if let Some(settled) = found {
                            return settled;
                        }
                    }
                    TxnOutcome::Unknown(_) => {
                        cx.metrics.platform_unknown.inc();
                        in_doubt = true;
                        // Read rather than sent again: the next answer may be lost just as well.
                        if self.is_in(cx, batch).await {
                            self.set_standing(Standing::Writing);
                            return Settled::Committed;
                        }
                    }
                }
            }
            self.set_standing(Standing::Stalled);
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
        match self.row_at(cx, batch.sequence).await? {
            Some(found) if found.nonce == batch.nonce => {
                self.set_standing(Standing::Writing);
                Some(Settled::Committed)
            }
            // The next owner may have replaced the row by a snapshot.
            None => Some(Settled::Lost),
            Some(_) => Some(Settled::Refused),
        }
    }

    async fn is_in(&self, cx: &Cx, batch: &Batch) -> bool {
        let found = self.row_at(cx, batch.sequence).await.flatten();
        found.is_some_and(|found| found.nonce == batch.nonce)
    }

    /// The batch in the table at a place, if the table answers and if there is one.
    async fn row_at(&self, cx: &Cx, sequence: Sequence) -> Option<Option<Batch>> {
        let key = snapshots::row_key(&self.shard, sequence);
        let row = cx.platform.get(&key).await.ok()?;
        Some(row.and_then(|row| row.parse::<Batch>()))
    }

    fn set_standing(&self, standing: Standing) {
        let mut inner = self.inner.borrow_mut();
        if inner.standing != Standing::Lost {
            inner.standing = standing;
        }
    }

    /// Waits for the next snapshot to store.
    pub async fn next_snapshot(&self) -> Snapshot {
        loop {
            if let Some(snapshot) = self.inner.borrow_mut().snapshot.take() {
                return snapshot;
            }
            self.snapshot_work.notified().await;
        }
    }

    /// Notes that a snapshot was stored or given up; a failure leaves more rows to replay.
    pub fn end_snapshot(&self) {
        self.inner.borrow_mut().is_storing = false;
    }

    /// The first row that may not be deleted yet.
    pub fn first_row(&self) -> Sequence {
        self.inner.borrow().first_row
    }

    /// Notes that all rows before this one are deleted.
    pub fn set_first_row(&self, first: Sequence) {
        self.inner.borrow_mut().first_row = first;
    }
}

/// The transaction that appends a batch: only under the epoch whose row has `epoch_version`, and only
/// where no batch is.
pub fn append(shard: &ShardId, epoch_version: u64, batch: &Batch) -> Txn {
    let row = snapshots::row_key(shard, batch.sequence);
    Txn::default()
        .compare(epoch_key(shard), epoch_version)
        .compare(&row, 0)
        .put(&row, batch)
}
