//! What is proposed to a shard's ledger and not yet durable, and how those who wait learn its end.

use crate::{
    core::{id::JobId, outcome::Refusal},
    state::ledger::{Event, Misplaced},
};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;
use tokio::sync::oneshot;

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
    /// The table is away, the lease has run out, or the owner is giving the shard up.
    Stalled,
    /// The shard is lost.
    Lost,
    /// An event does not belong to the state.
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
    /// A ticket, and what completes it.
    pub(super) fn new() -> (oneshot::Sender<WriteEnd>, Self) {
        let (tx, rx) = oneshot::channel();
        (tx, Self(rx))
    }

    /// The write's end.
    pub async fn end(self) -> WriteEnd {
        self.0.await.unwrap_or(WriteEnd::Unknown)
    }

    /// The write's end, or unknown after `limit`: a caller is answered although the table is away.
    pub async fn end_within(self, limit: Duration) -> WriteEnd {
        let end = tokio::time::timeout(limit, self.end()).await;
        end.unwrap_or(WriteEnd::Unknown)
    }
}

/// Events that go into one row together, and who waits for them.
pub(super) struct Proposal {
    /// The events.
    pub(super) events: Vec<Event>,
    /// Completed with the row's end.
    pub(super) waiter: oneshot::Sender<WriteEnd>,
}

/// Jobs with events that are proposed and not yet durable.
#[derive(Default)]
pub(super) struct Pending {
    events: IndexMap<JobId, u32>,
    accepted: IndexSet<JobId>,
}

impl Pending {
    /// Notes a proposed event.
    pub(super) fn add(&mut self, event: &Event) {
        let Some(job) = event.job() else {
            return;
        };
        *self.events.entry(job.clone()).or_default() += 1;
        if matches!(event, Event::Accepted { .. }) {
            self.accepted.insert(job.clone());
        }
    }

    /// Notes that an event's row has ended.
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

/// Tells all who wait for a row how it ended.
pub(super) fn answer(waiters: &mut Vec<oneshot::Sender<WriteEnd>>, end: WriteEnd) {
    for waiter in waiters.drain(..) {
        let _ = waiter.send(end);
    }
}
