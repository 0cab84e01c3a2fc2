//! The writer of a shard's ledger: group commit, with a read-back after a lost reply.
//!
//! Load pattern: thousands of task starts a second on a table that takes a few hundred writes a
//! second for the whole system. A row for each event would need a write for each start. Events that
//! arrive while a write is in flight, within a short linger, or before the minimum spacing of
//! writes has passed share the next row. [`super::snapshots`] bounds the number of rows.
//!
//! An event is applied to the state when it is proposed, so that the next decision sees it. Its
//! effects (a reply to a caller, a command to a worker) wait for the [`Ticket`]. If another owner
//! has taken the shard and the outcome of a write stays unknown, the state is dropped with the
//! shard.

use super::{
    Cx,
    index::Index,
    proposals::{Pending, Proposal, complete_waiters},
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

pub use super::proposals::{ProposeError, Ticket, Urgency, WriteOutcome};

/// First wait before a batch that is not known to be written is tried again.
const FIRST_RETRY: Duration = Duration::from_millis(50);
/// Longest wait before a batch that is not known to be written is tried again.
const LONGEST_RETRY: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriterStatus {
    Writing,
    Stalled,
    Lost,
}

struct Inner {
    state: State,
    index: Index,
    queued: VecDeque<Proposal>,
    /// Waiters for the row whose write is in flight.
    in_flight: Vec<oneshot::Sender<WriteOutcome>>,
    pending: Pending,
    due: Option<Millis>,
    last_write_at: Option<Millis>,
    status: WriterStatus,
    rows_since_snapshot: u64,
    is_storing_snapshot: bool,
    snapshot: Option<Snapshot>,
    first_row: Sequence,
}

/// One shard's ledger under one owner.
pub struct Journal {
    shard: ShardId,
    epoch: Epoch,
    epoch_version: u64,
    inner: RefCell<Inner>,
    wakeup: Notify,
    snapshot_ready: Notify,
}

/// A batch to write, and the snapshot to store after it if one is due.
struct Outgoing {
    batch: Batch,
    snapshot: Option<Snapshot>,
}

enum AppendOutcome {
    Committed,
    Refused,
    Lost,
}

impl Journal {
    /// Creates an empty ledger, which accepts no events before [`Self::recover`].
    pub fn new(shard: ShardId, epoch: Epoch, epoch_version: u64) -> Self {
        let inner = Inner {
            state: State::default(),
            index: Index::default(),
            queued: VecDeque::new(),
            in_flight: Vec::new(),
            pending: Pending::default(),
            due: None,
            last_write_at: None,
            status: WriterStatus::Stalled,
            rows_since_snapshot: 0,
            is_storing_snapshot: false,
            snapshot: None,
            first_row: Sequence::default().next(),
        };
        Self {
            shard,
            epoch,
            epoch_version,
            inner: RefCell::new(inner),
            wakeup: Notify::new(),
            snapshot_ready: Notify::new(),
        }
    }

    /// The shard whose ledger this is.
    pub fn shard(&self) -> &ShardId {
        &self.shard
    }

    /// The owner's epoch, and the version of the epoch row that every write requires.
    pub fn guard(&self) -> (Epoch, u64) {
        (self.epoch, self.epoch_version)
    }

    /// The state with all proposed events applied, durable or not.
    pub fn state(&self) -> Ref<'_, State> {
        Ref::map(self.inner.borrow(), |inner| &inner.state)
    }

    /// The index over [`Self::state`].
    pub fn index(&self) -> Ref<'_, Index> {
        Ref::map(self.inner.borrow(), |inner| &inner.index)
    }

    /// The index, for removing items from its queues and lists.
    pub fn index_mut(&self) -> RefMut<'_, Index> {
        RefMut::map(self.inner.borrow_mut(), |inner| &mut inner.index)
    }

    /// Removes and returns the next waiting job of an entry; see [`Index::take_waiting`].
    pub fn take_waiting(&self, entry: &EntryName) -> Option<JobId> {
        let inner = &mut *self.inner.borrow_mut();
        inner.index.take_waiting(&inner.state, entry)
    }

    /// Whether a proposed event about the job is not yet durable.
    pub fn has_pending_event(&self, job: &JobId) -> bool {
        self.inner.borrow().pending.has(job)
    }

    /// Whether the job's acceptance is not yet durable.
    pub fn is_acceptance_pending(&self, job: &JobId) -> bool {
        self.inner.borrow().pending.accepts(job)
    }

    /// Whether the table accepted the last row without a retry.
    pub fn is_writing(&self) -> bool {
        self.inner.borrow().status == WriterStatus::Writing
    }

    /// Applies events and queues them to be written in one row. On an error nothing is changed.
    /// Without events the ticket completes once everything proposed before is durable.
    pub fn propose(
        &self,
        cx: &Cx,
        events: Vec<Event>,
        urgency: Urgency,
    ) -> Result<Ticket, ProposeError> {
        let inner = &mut *self.inner.borrow_mut();
        match inner.status {
            WriterStatus::Writing => {}
            WriterStatus::Stalled => return Err(ProposeError::Stalled),
            WriterStatus::Lost => return Err(ProposeError::Lost),
        }
        let now = cx.clock.now();
        let before = Index::jobs_before(&inner.state, &events);
        inner
            .state
            .apply_all(&events)
            .map_err(ProposeError::InvalidEvent)?;
        inner.index.note(before, &inner.state, now);
        for event in &events {
            inner.pending.add(event);
        }
        let (waiter, ticket) = Ticket::new();
        inner.queued.push_back(Proposal { events, waiter });
        let linger = match urgency {
            Urgency::Urgent => cx.cfg.shards.linger_urgent,
            Urgency::Batch => cx.cfg.shards.linger_batch,
        };
        let due = now + linger;
        inner.due = Some(inner.due.map_or(due, |earlier| earlier.min(due)));
        self.wakeup.notify_one();
        Ok(ticket)
    }

    /// Stops the ledger: this owner writes nothing more. A row in flight may still be written.
    pub fn stop(&self) {
        let inner = &mut *self.inner.borrow_mut();
        inner.status = WriterStatus::Lost;
        for proposal in inner.queued.drain(..) {
            let _ = proposal.waiter.send(WriteOutcome::NotWritten);
        }
        complete_waiters(&mut inner.in_flight, WriteOutcome::Unknown);
        self.wakeup.notify_one();
    }

    /// Loads the last snapshot and the rows after it. The epoch was raised before, so no previous
    /// owner can add a row during or after the read.
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
        if inner.status == WriterStatus::Lost {
            return Ok(());
        }
        inner.first_row = first_row.unwrap_or(state.sequence.next());
        inner.index = Index::build(&state, cx.clock.now());
        inner.state = state;
        inner.rows_since_snapshot = replayed;
        inner.status = WriterStatus::Writing;
        Ok(())
    }

    /// Writes proposed events until the shard is lost. `may_act` returns whether the
    /// lease is still valid.
    pub async fn write_all(&self, cx: &Cx, may_act: impl Fn() -> bool) {
        while let Some(mut due) = self.wait_for_due(cx).await {
            while due > cx.clock.now() {
                let wait = due.since(cx.clock.now());
                tokio::select! {
                    () = tokio::time::sleep(wait) => {}
                    () = self.wakeup.notified() => {}
                }
                due = self.effective_due(cx).unwrap_or_default();
            }
            let Some(Outgoing { batch, snapshot }) = self.take_batch(cx) else {
                continue;
            };
            let outcome = self.append_until_known(cx, &batch, &may_act).await;
            let end = match outcome {
                AppendOutcome::Committed => WriteOutcome::Committed,
                AppendOutcome::Refused => WriteOutcome::NotWritten,
                AppendOutcome::Lost => WriteOutcome::Unknown,
            };
            self.end_batch(&batch, end);
            if end != WriteOutcome::Committed {
                self.stop();
                return;
            }
            cx.metrics.ledger_writes.inc();
            cx.metrics.ledger_events.inc_by(batch.events.len() as u64);
            if let Some(snapshot) = snapshot {
                self.inner.borrow_mut().snapshot = Some(snapshot);
                self.snapshot_ready.notify_one();
            }
        }
    }

    fn end_batch(&self, batch: &Batch, end: WriteOutcome) {
        let inner = &mut *self.inner.borrow_mut();
        for event in &batch.events {
            inner.pending.remove(event);
        }
        complete_waiters(&mut inner.in_flight, end);
    }

    async fn wait_for_due(&self, cx: &Cx) -> Option<Millis> {
        loop {
            if self.inner.borrow().status == WriterStatus::Lost {
                return None;
            }
            if let Some(due) = self.effective_due(cx) {
                return Some(due);
            }
            self.wakeup.notified().await;
        }
    }

    /// When the next row is due. Rows keep their minimum spacing however urgent their events; if
    /// the last row is older than that, an event waits only for its own linger.
    fn effective_due(&self, cx: &Cx) -> Option<Millis> {
        let inner = self.inner.borrow();
        let earliest = inner
            .last_write_at
            .map(|at| at + cx.cfg.shards.write_spacing);
        inner.due.map(|due| due.max(earliest.unwrap_or_default()))
    }

    fn take_batch(&self, cx: &Cx) -> Option<Outgoing> {
        let inner = &mut *self.inner.borrow_mut();
        let max_events = cx.cfg.shards.row_events;
        let mut events = Vec::new();
        while let Some(proposal) = inner.queued.front() {
            if !events.is_empty() && events.len() + proposal.events.len() > max_events {
                break;
            }
            if let Some(proposal) = inner.queued.pop_front() {
                events.extend(proposal.events);
                inner.in_flight.push(proposal.waiter);
            }
        }
        // Proposals that did not fit are written as soon as the spacing allows.
        inner.due = (!inner.queued.is_empty()).then(|| cx.clock.now());
        if events.is_empty() {
            // There is one write at a time, so everything proposed before is durable.
            complete_waiters(&mut inner.in_flight, WriteOutcome::Committed);
            return None;
        }
        let batch = Batch {
            sequence: inner.state.sequence.next(),
            epoch: self.epoch,
            nonce: rand::random(),
            events,
        };
        inner.last_write_at = Some(cx.clock.now());
        inner.state.sequence = batch.sequence;
        inner.state.epoch = self.epoch;
        inner.rows_since_snapshot += 1;
        // A state that includes later events must not be stored under this row's number.
        let is_due =
            inner.rows_since_snapshot >= cx.cfg.shards.snapshot_batches && inner.queued.is_empty();
        let snapshot = (is_due && !inner.is_storing_snapshot).then(|| {
            inner.rows_since_snapshot = 0;
            inner.is_storing_snapshot = true;
            Snapshot {
                sequence: batch.sequence,
                state: inner.state.clone(),
            }
        });
        Some(Outgoing { batch, snapshot })
    }

    /// Tries to write a batch until its outcome is known or the ledger is stopped.
    async fn append_until_known(
        &self,
        cx: &Cx,
        batch: &Batch,
        may_act: &impl Fn() -> bool,
    ) -> AppendOutcome {
        let txn = append(&self.shard, self.epoch_version, batch);
        let mut backoff = Backoff::new(FIRST_RETRY, LONGEST_RETRY);
        let mut may_be_written = false;
        loop {
            if self.inner.borrow().status == WriterStatus::Lost {
                return if may_be_written {
                    AppendOutcome::Lost
                } else {
                    AppendOutcome::Refused
                };
            }
            // An owner that was paused may resume here after its lease has expired and must not
            // write. A row that was sent before may be sent again: the epoch check still guards it.
            if may_be_written || may_act() {
                match cx.platform.txn(&txn).await {
                    TxnOutcome::Committed(_) => {
                        self.set_status(WriterStatus::Writing);
                        return AppendOutcome::Committed;
                    }
                    TxnOutcome::Conflict(conflict) => {
                        let found = self
                            .read_back(cx, batch, may_be_written, &conflict.key)
                            .await;
                        if let Some(outcome) = found {
                            return outcome;
                        }
                    }
                    TxnOutcome::Unknown(_) => {
                        cx.metrics.platform_unknown.inc();
                        may_be_written = true;
                        // Read before sending again: the next reply may be lost too.
                        if self.is_written(cx, batch).await {
                            self.set_status(WriterStatus::Writing);
                            return AppendOutcome::Committed;
                        }
                    }
                }
            }
            self.set_status(WriterStatus::Stalled);
            let wait = backoff.next_wait(&mut rand::rng());
            tokio::time::sleep(wait).await;
        }
    }

    /// After a conflict, finds out whether the row at the batch's sequence number is the batch
    /// itself, written by an earlier attempt whose reply was lost. None if the table does not
    /// answer.
    async fn read_back(
        &self,
        cx: &Cx,
        batch: &Batch,
        may_be_written: bool,
        conflict: &str,
    ) -> Option<AppendOutcome> {
        if !may_be_written && conflict == epoch_key(&self.shard) {
            return Some(AppendOutcome::Refused);
        }
        match self.row_at(cx, batch.sequence).await? {
            Some(found) if found.nonce == batch.nonce => {
                self.set_status(WriterStatus::Writing);
                Some(AppendOutcome::Committed)
            }
            // The next owner may have replaced the row with a snapshot.
            None => Some(AppendOutcome::Lost),
            Some(_) => Some(AppendOutcome::Refused),
        }
    }

    async fn is_written(&self, cx: &Cx, batch: &Batch) -> bool {
        let found = self.row_at(cx, batch.sequence).await.flatten();
        found.is_some_and(|found| found.nonce == batch.nonce)
    }

    /// The batch with this sequence number in the table. The outer `None` means that the table did
    /// not answer, the inner one that there is no such batch.
    async fn row_at(&self, cx: &Cx, sequence: Sequence) -> Option<Option<Batch>> {
        let key = snapshots::row_key(&self.shard, sequence);
        let row = cx.platform.get(&key).await.ok()?;
        Some(row.and_then(|row| row.parse::<Batch>()))
    }

    fn set_status(&self, status: WriterStatus) {
        let mut inner = self.inner.borrow_mut();
        if inner.status != WriterStatus::Lost {
            inner.status = status;
        }
    }

    /// Waits for the next snapshot to store.
    pub async fn next_snapshot(&self) -> Snapshot {
        loop {
            if let Some(snapshot) = self.inner.borrow_mut().snapshot.take() {
                return snapshot;
            }
            self.snapshot_ready.notified().await;
        }
    }

    /// Notes that storing a snapshot succeeded or failed; after a failure more rows need replay.
    pub fn end_snapshot(&self) {
        self.inner.borrow_mut().is_storing_snapshot = false;
    }

    /// Sequence number of the first row that is not known to be deleted.
    pub fn first_row(&self) -> Sequence {
        self.inner.borrow().first_row
    }

    /// Notes that all rows before `first` are deleted.
    pub fn set_first_row(&self, first: Sequence) {
        self.inner.borrow_mut().first_row = first;
    }
}

/// The transaction that appends a batch. It commits only if the epoch row still has `epoch_version`
/// and no row has the batch's sequence number.
pub fn append(shard: &ShardId, epoch_version: u64, batch: &Batch) -> Txn {
    let row = snapshots::row_key(shard, batch.sequence);
    Txn::default()
        .compare(epoch_key(shard), epoch_version)
        .compare(&row, 0)
        .put(&row, batch)
}
