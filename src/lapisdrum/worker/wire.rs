//! Wire types of a worker's interface, JSON over HTTP/1.1.
//!
//! One call renews the leases of all tasks on a worker, and its response lists only tasks that changed.
//! Listing every task took 54 bytes per second and task (docs/MEASUREMENTS.md): a data centre with
//! 17,800 tasks would need 1 MB/s, against a budget of 15 KB/s for a daemon.

use crate::core::{
    id::{Epoch, JobId},
    job::{Attempt, Checkpoint},
    size::Size,
};

/// Header with the id of a request; the worker repeats it in its response.
pub const REQUEST_HEADER: &str = "lapisdrum-request";
/// Header with the name of the catalogue entry that a request is for.
pub const ENTRY_HEADER: &str = "lapisdrum-entry";
/// Header with the epoch of the shard's owner that a command or request is based on.
pub const EPOCH_HEADER: &str = "lapisdrum-epoch";
/// Header with the time left until a request's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "lapisdrum-deadline-ms";
/// Header of a response by which a worker reports that it did not run the request.
pub const NOT_RUN_HEADER: &str = "lapisdrum-not-run";
/// Header of every response with the worker's monotonic clock, in milliseconds.
pub const CLOCK_HEADER: &str = "lapisdrum-worker-clock";

data! {
    /// `PUT /v1/tasks/ID`: starts a task, unless the same attempt has already started it.
    pub struct StartTask {
        /// Epoch of the shard's owner.
        pub epoch: Epoch,
        /// End of the lease on the worker's clock, in milliseconds.
        pub until_ms: u64,
        /// The attempt of the job that this task runs.
        pub attempt: Attempt,
        /// Name of the catalogue entry that the task runs.
        pub entry: String,
        /// Resources reserved for the task.
        pub size: Size,
        /// The checkpoint to resume from, if any.
        pub checkpoint: Option<Checkpoint>,
    }

    /// A task whose lease is renewed differently from the others on its worker.
    pub struct RenewalException {
        /// Id of the job that the task runs.
        pub task: JobId,
        /// End of its lease on the worker's clock, in milliseconds; 0 leaves the lease as it is.
        pub until_ms: u64,
    }

    /// `POST /v1/renew`: renews the leases of all tasks on the worker except `exceptions`; returns
    /// the tasks that changed.
    pub struct RenewTasks {
        /// Epoch of the shard's owner.
        pub epoch: Epoch,
        /// End of the renewed leases on the worker's clock, in milliseconds; 0 renews nothing.
        pub until_ms: u64,
        /// Tasks with a lease of their own.
        pub exceptions: Vec<RenewalException>,
        /// Time on the worker's clock, in milliseconds, since which changed tasks are returned; 0
        /// returns all tasks.
        pub known_ms: u64,
    }

    /// `POST /v1/claim`, and the body of `POST /v1/tasks/ID/{checkpoint,stop}`.
    pub struct OwnerCommand {
        /// Epoch of the shard's owner.
        pub epoch: Epoch,
    }

    /// `POST /v1/tasks/ID/throttle`: sets the speed of a task.
    pub struct ThrottleTask {
        /// Epoch of the shard's owner.
        pub epoch: Epoch,
        /// Speed in thousandths of full speed.
        pub permille: u32,
    }

    /// State of a task on a worker.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum TaskState {
        /// Not ended yet.
        Running,
        /// Ended successfully.
        Finished,
        /// Ended with an error.
        Failed,
        /// Stopped by a command.
        Stopped,
        /// Stopped by the worker because its lease expired.
        Lapsed,
    }

    /// A worker's report on a task. An ended task is reported until a stop acknowledges its end.
    pub struct TaskStatus {
        /// Id of the job that the task runs.
        pub task: JobId,
        /// The attempt of the job.
        pub attempt: Attempt,
        /// State at the time of the report.
        pub state: TaskState,
        /// The last checkpoint, if any.
        pub checkpoint: Option<Checkpoint>,
        /// Description of a failure, for people.
        pub message: Option<String>,
    }

    /// Response to a claim or a renewal.
    pub struct TaskList {
        /// All tasks; or those that changed since [`RenewTasks::known_ms`], with all ended tasks that are
        /// not yet acknowledged.
        pub tasks: Vec<TaskStatus>,
        /// Whether `tasks` has all tasks of the worker.
        pub is_complete: bool,
        /// The worker's clock when the list was made, in milliseconds.
        pub as_of_ms: u64,
    }

    /// Why a worker rejected a command; it did nothing.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum RejectReason {
        /// The command's epoch is lower than the highest that the worker has seen.
        StaleEpoch,
        /// The lease in the command has already expired on the worker's clock.
        EndPassed,
        /// The worker has another attempt of the task.
        OtherAttempt,
        /// The worker lacks free capacity.
        NoRoom,
        /// The worker has no such task.
        UnknownTask,
    }

    /// Body of a 409 response.
    pub struct Rejected {
        /// Why the command was rejected.
        pub reason: RejectReason,
        /// The highest epoch that the worker has seen.
        pub epoch: Epoch,
    }

    /// `GET /v1/usage`: measured resource use of tasks and requests.
    pub struct Usage {
        /// Age of the measurements, in milliseconds.
        pub age_ms: u64,
        /// Resource use of the whole worker.
        pub total: Size,
        /// Resource use and slowdown of each task.
        pub tasks: Vec<TaskUsage>,
        /// Slowdown of requests, by catalogue entry.
        pub requests: Vec<EntrySlowdown>,
    }

    /// Measured resource use of one task.
    pub struct TaskUsage {
        /// Id of the job that the task runs.
        pub task: JobId,
        /// Resources in use.
        pub size: Size,
        /// Duration relative to running alone on the worker, in thousandths.
        pub slowdown_permille: u32,
    }

    /// Measured slowdown of one catalogue entry's requests on a worker.
    pub struct EntrySlowdown {
        /// Name of the entry.
        pub entry: String,
        /// Duration relative to running alone on the worker, in thousandths.
        pub slowdown_permille: u32,
    }
}
