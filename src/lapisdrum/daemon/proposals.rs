//! Events proposed to a shard's ledger that are not yet durable, and the tickets that return the
//! outcome of their writes.

use crate::{
    core::{id::JobId, outcome::Refusal},
    state::ledger::{Event, InvalidEvent},
};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;
use tokio::sync::oneshot;

/// Retry-after of a refusal while the table is unavailable.
const STORE_UNAVAILABLE_RETRY: Duration = Duration::from_secs(2);

/// How soon an event must be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// A caller or the start of a latency-critical task waits for it.
    Urgent,
    /// It can wait for other events to share its row.
    Batch,
}

/// Outcome of the write of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is durable.
    Committed,
    /// It was certainly not written.
    NotWritten,
    /// The shard was lost before the outcome was known.
    Unknown,
}

/// Why an event was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// The table is unavailable, the lease has expired, or the owner is releasing the shard.
    Stalled,
    /// The shard is lost.
    Lost,
    /// An event does not fit the ledger's state.
    InvalidEvent(InvalidEvent),
}

impl ProposeError {
    /// The refusal to return to the caller.
    pub fn refusal(&self) -> Refusal {
        match self {
            Self::Stalled => Refusal::StoreAway {
                retry_after: STORE_UNAVAILABLE_RETRY,
            },
            Self::Lost | Self::InvalidEvent(_) => Refusal::NoOwner {
                retry_after: STORE_UNAVAILABLE_RETRY,
            },
        }
    }
}

/// Completes when the outcome of an event's write is known.
#[must_use = "effects must wait for the outcome of the write"]
pub struct Ticket(oneshot::Receiver<WriteOutcome>);

impl Ticket {
    /// Creates a ticket and the sender that completes it.
    pub(super) fn new() -> (oneshot::Sender<WriteOutcome>, Self) {
        let (tx, rx) = oneshot::channel();
        (tx, Self(rx))
    }

    /// Waits for the outcome of the write.
    pub async fn outcome(self) -> WriteOutcome {
        self.0.await.unwrap_or(WriteOutcome::Unknown)
    }

    /// Waits for the outcome of the write at most for `limit`, then returns `Unknown`: the caller
    /// gets a reply even while the table is unavailable.
    pub async fn outcome_within(self, limit: Duration) -> WriteOutcome {
        let end = tokio::time::timeout(limit, self.outcome()).await;
        end.unwrap_or(WriteOutcome::Unknown)
    }
}

/// Events that go into one row together.
pub(super) struct Proposal {
    pub(super) events: Vec<Event>,
    /// Receives the outcome of the row's write.
    pub(super) waiter: oneshot::Sender<WriteOutcome>,
}

/// Jobs with proposed events that are not yet durable.
#[derive(Default)]
pub(super) struct Pending {
    events: IndexMap<JobId, u32>,
    accepted: IndexSet<JobId>,
}

impl Pending {
    /// Counts a proposed event.
    pub(super) fn add(&mut self, event: &Event) {
        let Some(job) = event.job() else {
            return;
        };
        *self.events.entry(job.clone()).or_default() += 1;
        if matches!(event, Event::Accepted { .. }) {
            self.accepted.insert(job.clone());
        }
    }

    /// Removes an event once the outcome of its row is known.
    pub(super) fn remove(&mut self, event: &Event) {
        let Some(job) = event.job() else {
            return;
        };
        if let Some(count) = self.events.get_mut(job) {
            *count -= 1;
            if *count == 0 {
                self.events.swap_remove(job);
            }
        }
        if matches!(event, Event::Accepted { .. }) {
            self.accepted.swap_remove(job);
        }
    }

    /// Whether any event of the job is not yet durable.
    pub(super) fn has(&self, job: &JobId) -> bool {
        self.events.contains_key(job)
    }

    /// Whether the job's acceptance is not yet durable.
    pub(super) fn accepts(&self, job: &JobId) -> bool {
        self.accepted.contains(job)
    }
}

/// Sends the outcome of a row to all its waiters.
pub(super) fn complete_waiters(
    waiters: &mut Vec<oneshot::Sender<WriteOutcome>>,
    end: WriteOutcome,
) {
    for waiter in waiters.drain(..) {
        let _ = waiter.send(end);
    }
}
