//! What the scheduler needs of the world around it: a store, workers, and a directory that names
//! workers and queues. One trait each; an implementation decodes a wire format into these types.
//!
//! Every call that changes something ends in one of three ways that must be told apart: it took effect,
//! it certainly did not and never will, or nobody knows. A call of the third kind may be carried out
//! seconds later, so its outcome is settled by what is read afterwards and never assumed.

use super::{
    event::{RunEnd, RunId, WorkerLife},
    job::{QueueTerms, StepId},
};
use crate::core::{size::Size, time::WorkerMillis};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use indexmap::IndexMap;
use std::{fmt, time::Duration};

/// Why a call had no useful answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError {
    /// For logs.
    pub message: String,
    /// Whether it was refused since there are too many calls.
    pub is_rate_limited: bool,
}

impl CallError {
    /// An error that says `what`.
    pub fn new(what: impl fmt::Display) -> Self {
        Self {
            message: what.to_string(),
            is_rate_limited: false,
        }
    }

    /// A refusal since there are too many calls.
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

/// Names a row of the store. Rows of one part change together in one transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RowKey {
    /// The table.
    pub table: &'static str,
    /// The part.
    pub part: String,
    /// The key in the part.
    pub key: String,
}

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The table.
    pub table: String,
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Raised by every write of any row, from one counter for the whole store.
    pub version: u64,
}

/// A transaction over rows of one part: all of it or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Versions that must hold; 0 for a row that must not exist.
    pub expect: Vec<(RowKey, u64)>,
    /// Rows to write.
    pub put: Vec<(RowKey, Bytes)>,
    /// Rows to delete.
    pub delete: Vec<RowKey>,
}

/// How a transaction ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxnEnd {
    /// It took effect; the store's version counter then, at least that of the rows written.
    Committed(u64),
    /// A version did not hold and nothing was written; the rows of [`Txn::expect`] that exist, as they are now.
    Conflict(Vec<Row>),
    /// The store said that it did nothing, or was never reached.
    NotDone(CallError),
    /// No answer; it may take effect yet.
    Unknown(CallError),
}

/// The transactional store and the objects beside it.
pub trait Store {
    /// Runs a transaction.
    fn commit<'a>(&'a self, txn: &'a Txn) -> LocalBoxFuture<'a, TxnEnd>;
    /// Reads all rows of a part of a table whose keys are at or after `from`, in key order.
    fn rows<'a>(
        &'a self,
        table: &'a str,
        part: &'a str,
        from: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>, CallError>>;
    /// Stores an object.
    fn put_object<'a>(
        &'a self,
        name: &'a str,
        body: Bytes,
    ) -> LocalBoxFuture<'a, Result<(), CallError>>;
    /// Reads an object; none if there is none of the name.
    fn get_object<'a>(
        &'a self,
        name: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<Bytes>, CallError>>;
    /// Deletes an object.
    fn delete_object<'a>(&'a self, name: &'a str) -> LocalBoxFuture<'a, Result<(), CallError>>;
}

/// A worker as the directory describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// Which worker, in which life.
    pub life: WorkerLife,
    /// The pool that it belongs to.
    pub pool: String,
    /// Where it answers: IP number and port.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// What it has.
    pub capacity: Size,
    /// All its labels, its rack among them.
    pub labels: Vec<String>,
    /// Its rack.
    pub rack: Option<String>,
    /// The least time that is left before it leaves; none while it stays.
    pub leaving_in: Option<Duration>,
}

/// A queue as the catalogue describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Queue {
    /// What holds for its jobs.
    pub terms: QueueTerms,
    /// The host name under which callers ask for it.
    pub host: String,
    /// The beginning of the paths under which callers ask for it.
    pub path_prefix: String,
}

/// A catalogue in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    /// Only ever replaced by one with a greater version.
    pub version: u64,
    /// Queues by name.
    pub queues: IndexMap<String, Queue>,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: Option<u64>,
}

/// What operators have asked for, as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorState {
    /// The newest catalogue; none before the first.
    pub catalogue: Option<Catalogue>,
    /// The data centres that are evacuated, each with the version of the request.
    pub evacuated: IndexMap<String, u64>,
}

/// Names workers and queues.
pub trait Directory {
    /// The workers that are registered now.
    fn workers(&self) -> LocalBoxFuture<'_, Result<Vec<WorkerReport>, CallError>>;
    /// The catalogue and the evacuated data centres.
    fn operator_state(&self) -> LocalBoxFuture<'_, Result<OperatorState, CallError>>;
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The run.
    pub run: RunId,
    /// The job's payload.
    pub payload: String,
    /// The owner's fencing token.
    pub token: u64,
    /// The end of the lease, on the worker's clock; it holds for everything that runs there.
    pub lease_until: WorkerMillis,
    /// The progress to resume from.
    pub checkpoint: Option<String>,
    /// The advisory service's approval, where the queue needs one.
    pub ticket: Option<String>,
}

/// What is asked when a worker is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LookOrder {
    /// The owner's fencing token.
    pub token: u64,
    /// Ends up to this number may be forgotten.
    pub acked_upto: u64,
    /// A new end of the lease for everything that runs there, on the worker's clock.
    pub lease_until: Option<WorkerMillis>,
    /// How long the worker may wait for an end before it answers.
    pub wait: Duration,
}

/// A run as its worker lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedRun {
    /// The run.
    pub run: RunId,
    /// The progress saved.
    pub checkpoint: Option<String>,
    /// How much of the work is done, or of a long-running task's start-up, in hundredths.
    pub percent: u32,
    /// For a task that serves users its latency tail in milliseconds, for any other the processors in
    /// use in thousandths; rough and half a second old.
    pub gauge: u64,
}

/// An end as its worker lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEnd {
    /// Its place in the order of the worker's ends.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub how: RunEnd,
    /// The progress saved.
    pub checkpoint: Option<String>,
}

/// What a worker says when it is looked at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lists {
    /// The beginning of the worker's present life, in Unix milliseconds, if it tells.
    pub born: Option<u64>,
    /// Its clock.
    pub clock: WorkerMillis,
    /// What runs there.
    pub running: Vec<ListedRun>,
    /// What has ended there and isn't forgotten; the oldest ones first.
    pub ended: Vec<ListedEnd>,
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a greater fencing token.
    NewerOwner,
    /// A run with this number or a greater one was stopped or has ended there.
    OldRun,
    /// The lease's end has passed.
    LeaseOver,
    /// It would be over its capacity.
    NoRoom,
    /// The approval is missing or has expired.
    NotApproved,
    /// It is unhealthy.
    Unhealthy,
    /// The order is malformed.
    Malformed,
    /// It is in another life than the one the order names.
    OtherLife,
}

/// How an order to a worker ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEnd<T> {
    /// It took effect.
    Done(T),
    /// It did not and will not; the worker said so.
    Refused(Refusal),
    /// It did not and will not: it was never sent.
    Unsent(CallError),
    /// No answer; it may take effect seconds later.
    Silent(CallError),
}

/// Speaks to workers at their addresses.
pub trait Workers {
    /// Orders a start; the answer is the worker's clock.
    fn start<'a>(
        &'a self,
        address: &'a str,
        worker: &'a str,
        order: &'a StartOrder,
    ) -> LocalBoxFuture<'a, OrderEnd<WorkerMillis>>;
    /// Orders a stop; once done, the run will never run there, if it doesn't yet.
    fn stop<'a>(
        &'a self,
        address: &'a str,
        worker: &'a str,
        run: RunId,
        token: u64,
    ) -> LocalBoxFuture<'a, OrderEnd<WorkerMillis>>;
    /// Looks at what runs there and what has ended.
    fn look<'a>(
        &'a self,
        address: &'a str,
        worker: &'a str,
        order: &'a LookOrder,
    ) -> LocalBoxFuture<'a, OrderEnd<Lists>>;
    /// Lets a run work at a share of its processors, in hundredths.
    fn pace<'a>(
        &'a self,
        address: &'a str,
        worker: &'a str,
        run: RunId,
        percent: u32,
        token: u64,
    ) -> LocalBoxFuture<'a, OrderEnd<WorkerMillis>>;
}

/// A worker that the advisory service allows a step to run on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Approval {
    /// The worker.
    pub worker: String,
    /// Shown to the worker at the start.
    pub ticket: String,
}

/// Tells which workers a queue's policy allows a step to run on.
pub trait Advisor {
    /// Asks about some workers; the answer is valid for the given time.
    fn advise<'a>(
        &'a self,
        step: StepId,
        workers: &'a [String],
    ) -> LocalBoxFuture<'a, Result<(Vec<Approval>, Duration), CallError>>;
}
