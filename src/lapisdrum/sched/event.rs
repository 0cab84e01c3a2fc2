//! Changes of a shard's state, as events. The journal is an ordered list of them.

use super::{
    job::{JobId, JobSpec, QueueConfig, RunNumber, TaskId},
    layout::ShardId,
};
use std::rc::Rc;

data! {
    /// Incarnation of a worker: a restarted worker may keep its id.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct WorkerIncarnation {
        /// The worker's id.
        pub worker: String,
        /// When the worker started, in Unix milliseconds.
        #[serde(rename = "born")]
        pub started_unix_ms: u64,
    }

    /// How a run ended, as reported by its worker.
    #[derive(Copy)]
    pub enum RunEnd {
        /// The run completed its work.
        Done,
        /// The run failed, by a fault of the task or of the worker.
        Failed,
        /// The run was stopped on an order.
        Stopped,
        /// The worker's lease expired.
        Lapsed,
        /// Another member of the run's gang ended.
        GangBroken,
        /// The other members of the run's gang did not start in time.
        GangIncomplete,
    }

    /// Id of one run of a task.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct RunId {
        /// The task that runs.
        pub task: TaskId,
        /// Number of the start of the task.
        pub run: RunNumber,
    }

    /// Evidence that a run ended although its worker reported no end.
    #[derive(Copy, Hash)]
    pub enum Loss {
        /// The worker reported that the run isn't there, under a claim that refuses earlier orders.
        NotThere,
        /// The worker was restarted.
        Reborn,
        /// The worker does not answer, and every lease that it may hold has expired.
        Lapsed,
        /// The start order was never sent, or the worker refused it.
        NotStarted,
    }

    /// One change of a shard's state.
    pub enum Event {
        /// A job was accepted.
        Accepted {
            /// The accepted job.
            job: JobId,
            /// The job's steps and payload, as submitted.
            spec: Rc<JobSpec>,
            /// Settings of the job's queue at acceptance.
            terms: QueueConfig,
            /// Time of acceptance, in Unix milliseconds.
            at_unix_ms: u64,
            /// Data centre of the daemon that received the job, where callers share capacity.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            data_centre: Option<String>,
            /// The job's home, if the job waited there and moved here; an earlier version takes the
            /// job for one that a caller submitted here.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            moved_from: Option<ShardId>,
        },
        /// A run was placed on a worker; the start order is sent once this event is durable.
        Placed {
            /// The placed run.
            run: RunId,
            /// The worker, in the incarnation for which the run was placed.
            on: WorkerIncarnation,
        },
        /// A worker reported the end of a run.
        Ended {
            /// The run that ended.
            run: RunId,
            /// How the run ended.
            how: RunEnd,
            /// The last checkpoint, if any.
            checkpoint: Option<String>,
            /// When the owner received the report, in Unix milliseconds.
            at_unix_ms: u64,
        },
        /// A run ended without a report from its worker, and none will follow.
        Lost {
            /// The run that was lost.
            run: RunId,
            /// Evidence that the run ended.
            why: Loss,
            /// Whether there is no evidence that the run started; not in rows of earlier versions.
            #[serde(default)]
            is_unstarted: bool,
        },
        /// A caller cancelled a job.
        Cancelled {
            /// The cancelled job.
            job: JobId,
            /// Time of the cancellation, in Unix milliseconds.
            at_unix_ms: u64,
        },
        /// A caller cancelled a job that the shard does not know: its submission may still arrive, and
        /// is refused then. An earlier version can't read the event, as it would accept the job.
        CancelledBeforeArrival {
            /// Id of the job.
            job: JobId,
            /// Time of the cancellation, in Unix milliseconds.
            at_unix_ms: u64,
        },
        /// A job was transferred from its home shard to one with more free capacity for
        /// long-running tasks.
        Sent {
            /// The transferred job.
            job: JobId,
            /// The shard that receives the job.
            to: ShardId,
            /// Time of the transfer, in Unix milliseconds.
            at_unix_ms: u64,
        },
        /// A long-running task was delegated to another shard that has free capacity for it.
        Delegated {
            /// The delegated task.
            task: TaskId,
            /// The shard that runs it from now on.
            to: ShardId,
        },
        /// This shard accepted tasks that another shard delegated.
        Adopted {
            /// The job of the tasks.
            job: JobId,
            /// The job's steps and payload, as submitted.
            spec: Rc<JobSpec>,
            /// Settings of the job's queue when the job was accepted.
            terms: QueueConfig,
            /// The shard that owns the job.
            from: ShardId,
            /// The delegated tasks, each with the number of its last run.
            tasks: Vec<(TaskId, RunNumber)>,
            /// Time of the adoption, in Unix milliseconds.
            at_unix_ms: u64,
        },
        /// The record of an ended or transferred job, or a tombstone, was dropped after the retention
        /// time.
        Forgotten {
            /// The dropped job.
            job: JobId,
        },
        /// This shard, which adopted a task, returns it to the job's shard.
        Returned {
            /// The returned task.
            task: TaskId,
            /// The shard that owns the job.
            to: ShardId,
            /// Number that the return uses up: greater than that of every run here.
            last_run: RunNumber,
        },
        /// This shard, which owns the job, took a task back from the shard to which it was
        /// delegated.
        TakenBack {
            /// The returned task.
            task: TaskId,
            /// The shard that returned it.
            from: ShardId,
            /// Number of the return; runs and delegations from now on have greater ones.
            last_run: RunNumber,
        },
        /// A waiting job, of which no task was ever placed, leaves its home for another shard.
        Moved {
            /// The moved job.
            job: JobId,
            /// The shard that receives the job.
            to: ShardId,
            /// Time of the decision, in Unix milliseconds.
            at_unix_ms: u64,
        },
        /// The shard that receives a moved job has accepted it.
        MoveConfirmed {
            /// The moved job.
            job: JobId,
        },
    }
}
