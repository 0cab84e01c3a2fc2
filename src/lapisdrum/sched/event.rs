//! What a shard remembers of its jobs, as events. The journal is a list of these in order.

use super::{
    job::{JobId, JobSpec, QueueTerms, RunNumber, TaskId},
    layout::ShardId,
};
use std::rc::Rc;

data! {
    /// Which life of which worker: a worker that starts again may keep its id.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct WorkerLife {
        /// The worker's id.
        pub worker: String,
        /// When this life began, in Unix milliseconds.
        pub born: u64,
    }

    /// How a run ended, as its worker tells.
    #[derive(Copy)]
    pub enum RunEnd {
        /// Its work is done.
        Done,
        /// It failed by its own fault or the worker's.
        Failed,
        /// It was stopped on an order.
        Stopped,
        /// Its lease ran out.
        Lapsed,
        /// Another member of its gang ended.
        GangBroken,
        /// It waited in vain for the other members of its gang.
        GangIncomplete,
    }

    /// A run of a task.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct RunId {
        /// The task.
        pub task: TaskId,
        /// Which start of it.
        pub run: RunNumber,
    }

    /// Why a run is known to be over without an end from its worker.
    #[derive(Copy, Hash)]
    pub enum Loss {
        /// The worker answered, under a claim that refuses earlier orders, that it doesn't run.
        NotThere,
        /// The worker was restarted.
        Reborn,
        /// The worker is silent, and every lease that it may hold has run out.
        Lapsed,
        /// The order to start was never sent, or refused.
        NotStarted,
    }

    /// One change of what a shard remembers.
    pub enum Event {
        /// A job was accepted.
        Accepted {
            /// The job.
            job: JobId,
            /// What was submitted.
            spec: Rc<JobSpec>,
            /// What the catalogue said of its queue.
            terms: QueueTerms,
            /// When, in Unix milliseconds.
            at_unix_ms: u64,
        },
        /// A run is about to be ordered.
        Placed {
            /// The run.
            run: RunId,
            /// Where.
            on: WorkerLife,
        },
        /// A worker has listed a run's end.
        Ended {
            /// The run.
            run: RunId,
            /// How.
            how: RunEnd,
            /// The progress saved, if there is any.
            checkpoint: Option<String>,
            /// When it was seen, in Unix milliseconds.
            at_unix_ms: u64,
        },
        /// A run is over, and no end of it will be heard.
        Lost {
            /// The run.
            run: RunId,
            /// How that is known.
            why: Loss,
        },
        /// The caller no longer wants the job.
        Cancelled {
            /// The job.
            job: JobId,
            /// When, in Unix milliseconds.
            at_unix_ms: u64,
        },
        /// A job at home here is handed to another shard, which has more room for what lasts.
        Sent {
            /// The job.
            job: JobId,
            /// The shard that takes it.
            to: ShardId,
            /// When, in Unix milliseconds.
            at_unix_ms: u64,
        },
        /// A long-running task is handed to another shard, which has room for it.
        Delegated {
            /// The task.
            task: TaskId,
            /// The shard that runs it from now on.
            to: ShardId,
        },
        /// Tasks of another shard's job are run here.
        Adopted {
            /// The job.
            job: JobId,
            /// What was submitted.
            spec: Rc<JobSpec>,
            /// What the catalogue said of its queue.
            terms: QueueTerms,
            /// The shard that owns the job.
            from: ShardId,
            /// Its tasks that are run here, each with the number of its last run.
            tasks: Vec<(TaskId, RunNumber)>,
            /// When, in Unix milliseconds.
            at_unix_ms: u64,
        },
        /// A job that is over, or was sent on long ago, is no longer remembered.
        Forgotten {
            /// The job.
            job: JobId,
        },
    }
}
