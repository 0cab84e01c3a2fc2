//! Wire types of a worker's interface, JSON over HTTP/1.1.
//!
//! One call renews the leases of everything that runs on a worker, and its answer names only what has
//! changed. Naming each task took 54 bytes a second for a task (docs/MEASUREMENTS.md): a data centre
//! with 17,800 of them would need 1 MB/s, against a budget of 15 KB/s for a daemon.

use crate::core::{
    id::{Epoch, JobId},
    job::{Attempt, Checkpoint},
    size::Size,
};

/// Header that names a request; the worker repeats it in its answer.
pub const REQUEST_HEADER: &str = "lapisdrum-request";
/// Header that names the entry of a request.
pub const ENTRY_HEADER: &str = "lapisdrum-entry";
/// Header with the epoch of the shard's owner that a command or request is based on.
pub const EPOCH_HEADER: &str = "lapisdrum-epoch";
/// Header with the milliseconds that a request may still take.
pub const DEADLINE_HEADER: &str = "lapisdrum-deadline-ms";
/// Header by which a worker says that it did not run a request.
pub const NOT_RUN_HEADER: &str = "lapisdrum-not-run";
/// Header with the worker's monotonic clock in milliseconds, in every answer.
pub const CLOCK_HEADER: &str = "lapisdrum-worker-clock";

data! {
    /// `PUT /v1/tasks/ID`: start a task, or find it already started by the same attempt.
    pub struct StartTask {
        /// The owner's epoch.
        pub epoch: Epoch,
        /// The lease's end on the worker's clock, in milliseconds.
        pub until_ms: u64,
        /// The attempt.
        pub attempt: Attempt,
        /// The entry.
        pub entry: String,
        /// What it takes.
        pub size: Size,
        /// Where to resume.
        pub checkpoint: Option<Checkpoint>,
    }

    /// A task whose lease is not renewed like the others' on its worker.
    pub struct RenewalException {
        /// The task.
        pub task: JobId,
        /// Its own end on the worker's clock, in milliseconds; 0 leaves its lease as it is.
        pub until_ms: u64,
    }

    /// `POST /v1/renew`: a new lease for every task that runs on the worker, but for exceptions;
    /// answered with the tasks that have changed.
    pub struct RenewTasks {
        /// The owner's epoch.
        pub epoch: Epoch,
        /// The new leases' end on the worker's clock, in milliseconds; 0 renews nothing.
        pub until_ms: u64,
        /// Tasks that are not renewed like the others.
        pub exceptions: Vec<RenewalException>,
        /// The owner knows every task as of this reading of the worker's clock, in milliseconds; 0
        /// asks for all of them.
        pub known_ms: u64,
    }

    /// `POST /v1/claim`, and the body of `POST /v1/tasks/ID/{checkpoint,stop}`.
    pub struct OwnerCommand {
        /// The owner's epoch.
        pub epoch: Epoch,
    }

    /// `POST /v1/tasks/ID/throttle`.
    pub struct ThrottleTask {
        /// The owner's epoch.
        pub epoch: Epoch,
        /// Speed in thousandths of full speed.
        pub permille: u32,
    }

    /// What has become of a task on a worker.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum TaskState {
        /// It runs.
        Running,
        /// It ended well.
        Finished,
        /// It ended with a fault.
        Failed,
        /// It was stopped by command.
        Stopped,
        /// Its lease ran out and the worker stopped it.
        Lapsed,
    }

    /// A task as its worker reports it, until a stop acknowledges its end.
    pub struct TaskStatus {
        /// The task.
        pub task: JobId,
        /// The attempt.
        pub attempt: Attempt,
        /// Its state.
        pub state: TaskState,
        /// Its last saved progress.
        pub checkpoint: Option<Checkpoint>,
        /// Why it failed, for people.
        pub message: Option<String>,
    }

    /// The answer to a claim or a renewal.
    pub struct TaskList {
        /// All tasks; or those that changed since the owner's reading and all that have ended and
        /// are not yet acknowledged.
        pub tasks: Vec<TaskStatus>,
        /// Whether these are all tasks.
        pub is_complete: bool,
        /// The worker's clock when the list was made, in milliseconds.
        pub as_of_ms: u64,
    }

    /// Why a worker did nothing.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum RejectReason {
        /// The command's epoch is below the highest seen.
        StaleEpoch,
        /// The command's end has passed on the worker's clock.
        EndPassed,
        /// Another attempt of the task is there.
        OtherAttempt,
        /// The worker lacks room.
        NoRoom,
        /// There is no such task.
        UnknownTask,
    }

    /// The body of a 409 answer.
    pub struct Rejected {
        /// Why.
        pub reason: RejectReason,
        /// The highest epoch that the worker has seen.
        pub epoch: Epoch,
    }

    /// `GET /v1/usage`: what tasks and requests use, as of some time ago.
    pub struct Usage {
        /// Age of the figures in milliseconds.
        pub age_ms: u64,
        /// Measured use of the whole worker.
        pub total: Size,
        /// Measured use and slowdown of each task.
        pub tasks: Vec<TaskUsage>,
        /// Measured slowdown of requests by entry.
        pub requests: Vec<EntrySlowdown>,
    }

    /// One task's measured use.
    pub struct TaskUsage {
        /// The task.
        pub task: JobId,
        /// What it uses.
        pub size: Size,
        /// Time it takes relative to running alone, in thousandths.
        pub slowdown_permille: u32,
    }

    /// Measured slowdown of one entry's requests on a worker.
    pub struct EntrySlowdown {
        /// The entry.
        pub entry: String,
        /// Time they take relative to running alone, in thousandths.
        pub slowdown_permille: u32,
    }
}
