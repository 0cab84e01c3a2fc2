//! Interfaces to the systems that the scheduler depends on: a store, workers, and a directory of
//! workers and queues. One trait each; an implementation decodes a wire format into these types.
//!
//! Every call that changes state has one of three outcomes that callers must distinguish: it took
//! effect, it did not and never will, or the outcome is unknown. A call with an unknown outcome may
//! still be carried out seconds later, so its outcome is resolved by later reads and never assumed.

use super::{
    event::{RunEnd, RunId, WorkerIncarnation},
    job::{QueueConfig, StepId},
};
use crate::core::{size::Size, time::WorkerMillis};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use indexmap::{IndexMap, IndexSet};
use std::{fmt, time::Duration};

/// A call that failed or had no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError {
    /// Description for logs.
    pub message: String,
    /// Whether the call was refused because of a rate limit.
    pub is_rate_limited: bool,
}

impl CallError {
    /// An error other than a rate limit.
    pub fn new(what: impl fmt::Display) -> Self {
        Self {
            message: what.to_string(),
            is_rate_limited: false,
        }
    }

    /// A refusal because of a rate limit.
    pub fn rate_limited(what: impl fmt::Display) -> Self {
        Self {
            is_rate_limited: true,
            ..Self::new(what)
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for CallError {}

/// Key of a row in the store. A transaction covers rows of one partition only.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RowKey {
    /// Name of the table.
    pub table: &'static str,
    /// The partition.
    pub partition: String,
    /// Key within the partition.
    pub key: String,
}

/// A row as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Name of the table.
    pub table: String,
    /// Key within the partition.
    pub key: String,
    /// The value as stored, undecoded.
    pub value: Bytes,
    /// Version of the last write of this row, from one counter for the whole store.
    pub version: u64,
}

/// Rows of a table that have changed, over all partitions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The rows as they were written, oldest first, each with its partition; without deleted rows.
    pub rows: Vec<(String, Row)>,
    /// Version up to which changes are included.
    pub newest: u64,
}

impl Changes {
    /// The changed rows of one partition, oldest first.
    pub fn of(&self, partition: &str) -> Vec<&Row> {
        let rows = self.rows.iter().filter(|(of, _)| of == partition);
        rows.map(|(_, row)| row).collect()
    }
}

/// An atomic transaction over rows of one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Preconditions: the expected version of each row, 0 for a row that must not exist.
    pub expect: Vec<(RowKey, u64)>,
    /// Rows to write.
    pub put: Vec<(RowKey, Bytes)>,
    /// Rows to delete.
    pub delete: Vec<RowKey>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxnOutcome {
    /// It took effect. Carries the store's version counter afterwards, no less than the versions of
    /// the written rows.
    Committed(u64),
    /// A precondition failed and nothing was written. Carries the existing rows of [`Txn::expect`]
    /// as they are now.
    Conflict(Vec<Row>),
    /// The store reported that it did nothing, or was never reached.
    NotDone(CallError),
    /// No answer; it may still take effect.
    Unknown(CallError),
}

/// The transactional store and its object storage.
pub trait Store {
    /// Runs a transaction.
    fn commit<'a>(&'a self, txn: &'a Txn) -> LocalBoxFuture<'a, TxnOutcome>;
    /// Reads all rows of one partition of a table with keys at or after `from`, in key order.
    fn rows<'a>(
        &'a self,
        table: &'a str,
        partition: &'a str,
        from: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>, CallError>>;
    /// Reads what was written in all partitions of a table after version `after`. The answer may
    /// be late by seconds, and fails once the store has dropped that part of its history.
    fn changes<'a>(
        &'a self,
        table: &'a str,
        after: u64,
    ) -> LocalBoxFuture<'a, Result<Changes, CallError>>;
    /// Stores an object under a name.
    fn put_object<'a>(
        &'a self,
        name: &'a str,
        body: Bytes,
    ) -> LocalBoxFuture<'a, Result<(), CallError>>;
    /// Reads an object; `None` if it does not exist.
    fn get_object<'a>(
        &'a self,
        name: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<Bytes>, CallError>>;
    /// Returns the names of all objects that begin with `prefix`.
    fn list_objects<'a>(
        &'a self,
        prefix: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<String>, CallError>>;
    /// Deletes an object; succeeds too if it does not exist.
    fn delete_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<(), CallError>>;
}

/// A worker as the directory describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// The worker and its incarnation.
    pub incarnation: WorkerIncarnation,
    /// Version of the entry's last write, from one counter for the whole store.
    pub version: u64,
    /// The pool that the worker belongs to.
    pub pool: String,
    /// IP address and port of the worker's interface.
    pub address: String,
    /// The data centre of the worker's host.
    pub data_centre: String,
    /// Total resources of the worker.
    pub capacity: Size,
    /// All labels of the worker, including its rack.
    pub labels: Vec<String>,
    /// The rack of the worker's host, if it has one.
    pub rack: Option<String>,
    /// Least time left before the worker leaves; none while no departure is announced.
    pub leaving_in: Option<Duration>,
}

/// Why an entry of the directory is not used. Not only workers write to the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryFault {
    /// The store's row can't be decoded.
    Row(String),
    /// The entry can't be decoded, or lacks a field.
    Format(String),
    /// The worker's id can't be sent to a worker.
    Id,
    /// The state is not one of those that workers report.
    State(String),
    /// Nothing can be sent to the address.
    Address(String),
    /// The host has more of a resource than any host.
    Capacity(Size),
    /// There are too many labels.
    Labels(usize),
    /// This field's text is too long.
    Length(&'static str),
    /// No queue's jobs run on workers of this pool.
    UnnamedPool(String),
    /// The layout has no room for further racks.
    NoShard,
}

impl EntryFault {
    /// The names for metrics.
    pub const REASONS: [&'static str; 10] = [
        "row",
        "format",
        "id",
        "state",
        "address",
        "capacity",
        "labels",
        "length",
        "unnamed_pool",
        "no_shard",
    ];

    /// Name for metrics, one of [`Self::REASONS`].
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Row(_) => "row",
            Self::Format(_) => "format",
            Self::Id => "id",
            Self::State(_) => "state",
            Self::Address(_) => "address",
            Self::Capacity(_) => "capacity",
            Self::Labels(_) => "labels",
            Self::Length(_) => "length",
            Self::UnnamedPool(_) => "unnamed_pool",
            Self::NoShard => "no_shard",
        }
    }
}

impl fmt::Display for EntryFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Row(e) => write!(f, "the row can't be decoded: {e}"),
            Self::Format(e) => write!(f, "the entry can't be decoded: {e}"),
            Self::Id => f.write_str("the id can't be sent to a worker"),
            Self::State(state) => write!(f, "unknown state `{state}`"),
            Self::Address(e) => write!(f, "nothing can be sent to the address: {e}"),
            Self::Capacity(size) => write!(f, "no host has this capacity: {size:?}"),
            Self::Labels(count) => write!(f, "{count} labels are too many"),
            Self::Length(field) => write!(f, "the {field} is too long"),
            Self::UnnamedPool(pool) => write!(f, "no queue names the pool `{pool}`"),
            Self::NoShard => f.write_str("the layout has no room for the worker's rack"),
        }
    }
}

impl std::error::Error for EntryFault {}

/// An entry of the directory that is not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedEntry {
    /// The entry's key, empty if it can't be decoded.
    pub key: String,
    /// Why it is not used.
    pub fault: EntryFault,
}

/// The directory's workers, as of one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerList {
    /// The registered workers.
    pub workers: Vec<WorkerReport>,
    /// Entries that describe no worker to use.
    pub refused: Vec<RefusedEntry>,
}

/// A queue as the catalogue describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Queue {
    /// Settings of the queue's jobs.
    pub terms: QueueConfig,
    /// Host name of the requests that this queue serves.
    pub host: String,
    /// Path prefix of the requests that this queue serves.
    pub path_prefix: String,
}

/// One version of the catalogue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    /// A catalogue is replaced only by one with a greater version.
    pub version: u64,
    /// Queues by name.
    pub queues: IndexMap<String, Queue>,
    /// Pools that the catalogue lists, whether or not a queue's jobs run on them.
    pub pools: IndexSet<String>,
    /// Maximum size of a request body, in bytes, if the catalogue sets one.
    pub max_body_bytes: Option<u64>,
}

impl Catalogue {
    /// Whether the catalogue lists a pool or names it for a queue.
    pub fn has_pool(&self, pool: &str) -> bool {
        self.pools.contains(pool) || self.queues.values().any(|queue| queue.terms.pool == pool)
    }
}

/// State requested by operators, as of one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorState {
    /// The newest catalogue; none before the first was published.
    pub catalogue: Option<Catalogue>,
    /// Evacuated data centres, each with the version of the operator's request.
    pub evacuated: IndexMap<String, u64>,
}

/// Lists workers, queues and evacuations.
pub trait Directory {
    /// The workers registered at present.
    fn workers(&self) -> LocalBoxFuture<'_, Result<WorkerList, CallError>>;
    /// Reads the catalogue and the evacuated data centres.
    fn operator_state(&self) -> LocalBoxFuture<'_, Result<OperatorState, CallError>>;
}

/// An order to a worker to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The run to start.
    pub run: RunId,
    /// The job's payload, passed to the task unchanged.
    pub payload: String,
    /// The owner's fencing token.
    pub token: u64,
    /// New end of the worker's lease, on the worker's clock; it applies to every run on the worker.
    pub lease_until: WorkerMillis,
    /// The checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// The advisory service's approval, where the queue needs one.
    pub ticket: Option<String>,
}

/// A long poll of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollOrder {
    /// The owner's fencing token.
    pub token: u64,
    /// Ends up to this number are acknowledged; the worker may drop them.
    pub acked_upto: u64,
    /// New end of the worker's lease, on the worker's clock; it applies to every run on the worker.
    pub lease_until: Option<WorkerMillis>,
    /// How long the worker may wait for a run to end before it answers.
    pub wait: Duration,
}

/// A running run in a worker's poll response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedRun {
    /// The run.
    pub run: RunId,
    /// The latest checkpoint, if any.
    pub checkpoint: Option<String>,
    /// Progress of the work, or of the start-up of a long-running task, in percent.
    pub percent: u32,
    /// Tail latency in milliseconds for a task that serves users, CPU use in millicores for any
    /// other task; approximate and half a second old.
    pub gauge: u64,
}

/// An ended run in a worker's poll response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEnd {
    /// Sequence number among the ends on this worker, acknowledged by [`PollOrder::acked_upto`].
    pub number: u64,
    /// The run that ended.
    pub run: RunId,
    /// How the run ended.
    pub how: RunEnd,
    /// The last checkpoint, if any.
    pub checkpoint: Option<String>,
}

/// A worker's response to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollResponse {
    /// Start of the worker's present incarnation, in Unix milliseconds, if the worker reports it.
    pub started_unix_ms: Option<u64>,
    /// The worker's clock when it answered.
    pub clock: WorkerMillis,
    /// The runs on the worker.
    pub running: Vec<ListedRun>,
    /// Ended runs that the worker has not dropped yet, oldest first. A worker may list only the
    /// first of them.
    pub ended: Vec<ListedEnd>,
    /// Greatest number of a listed end that could not be read, if there was one.
    pub malformed_ends_upto: Option<u64>,
    /// Whether `ended` certainly holds every end that the worker has not dropped. If not, a run
    /// that is in neither list may have ended, and its end is listed once earlier ones are
    /// acknowledged.
    pub lists_all_ends: bool,
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has seen a greater fencing token.
    NewerOwner,
    /// A run of the task with this number or a greater one was stopped or has ended on the worker.
    OldRun,
    /// The order's lease has already expired.
    LeaseOver,
    /// The run would exceed the worker's capacity.
    NoRoom,
    /// The advisory service's approval is missing or has expired.
    NotApproved,
    /// The worker is unhealthy.
    Unhealthy,
    /// The order is malformed.
    Malformed,
    /// The worker is in another incarnation than the one that the order names.
    OtherLife,
}

/// Outcome of an order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome<T> {
    /// It took effect.
    Done(T),
    /// It did not and will not take effect, as reported by the worker.
    Refused(Refusal),
    /// It did not and will not take effect, as it was never sent.
    Unsent(CallError),
    /// No answer; it may take effect seconds later.
    Silent(CallError),
}

/// Maximum number of start orders that a process has in flight to one worker.
pub const MAX_STARTS_PER_WORKER: usize = 8;

/// Client for the workers' interface; each call goes to a worker's address.
pub trait Workers {
    /// Starts a run; the answer is the worker's clock.
    fn start<'a>(
        &'a self,
        address: &'a str,
        worker: &'a str,
        order: &'a StartOrder,
    ) -> LocalBoxFuture<'a, OrderOutcome<WorkerMillis>>;
    /// Stops a run; once done, the worker never starts it afterwards, even if the start order
    /// arrives late.
    fn stop<'a>(
        &'a self,
        address: &'a str,
        worker: &'a str,
        run: RunId,
        token: u64,
    ) -> LocalBoxFuture<'a, OrderOutcome<WorkerMillis>>;
    /// Polls a worker for its running and ended runs.
    fn poll<'a>(
        &'a self,
        address: &'a str,
        worker: &'a str,
        order: &'a PollOrder,
    ) -> LocalBoxFuture<'a, OrderOutcome<PollResponse>>;
    /// Sets the CPU limit of a run, in percent of the CPU that the run asks for.
    fn set_cpu_limit<'a>(
        &'a self,
        address: &'a str,
        worker: &'a str,
        run: RunId,
        percent: u32,
        token: u64,
    ) -> LocalBoxFuture<'a, OrderOutcome<WorkerMillis>>;
    /// Closes the connections that are kept to a worker, which are limited resources of the worker.
    fn disconnect(&self, address: &str);
}

/// The advisory service's permission to run a step on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Approval {
    /// Name of the approved worker.
    pub worker: String,
    /// Sent to the worker in [`StartOrder::ticket`].
    pub ticket: String,
}

/// Client for the advisory service, which decides on which workers a queue's steps may run.
pub trait Advisor {
    /// Returns approvals for those of `workers` that are allowed, and how long they are valid.
    fn advise<'a>(
        &'a self,
        step: StepId,
        workers: &'a [String],
    ) -> LocalBoxFuture<'a, Result<(Vec<Approval>, Duration), CallError>>;
}
