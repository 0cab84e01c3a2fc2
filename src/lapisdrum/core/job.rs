//! A job: one batch or long-running task that a caller submitted, from its acceptance to its end.

use super::{
    id::{EntryName, Epoch, WorkerId},
    size::Size,
};
use std::time::Duration;

scalar! {
    /// Number of an attempt to run a job, from 1; each placement is a new attempt.
    #[derive(Default)]
    pub struct Attempt(pub u32);
}

data! {
    /// A job's saved progress, as reported by its worker.
    pub struct Checkpoint {
        /// Name that the worker gave the saved state.
        pub name: String,
        /// Progress, in thousandths of the declared work.
        pub progress_permille: u32,
    }

    /// The placement of a job on a worker.
    pub struct Placement {
        /// The worker that may run the job.
        pub worker: WorkerId,
        /// The epoch of the owner that placed it.
        pub epoch: Epoch,
        /// Number of this attempt.
        pub attempt: Attempt,
    }

    /// How a job ended.
    pub enum JobEnd {
        /// The worker completed it.
        Done,
        /// It failed as often as its entry allows. The text is from the last worker.
        Failed(String),
        /// It was cancelled by a caller or because its entry was retired.
        Cancelled,
    }

    /// The state of a job between its acceptance and its end.
    pub enum JobPhase {
        /// Not placed; it waits for a worker, also after an eviction or a failed attempt.
        Waiting,
        /// Placed on a worker; it may run there.
        Placed(Placement),
        /// Completed, failed or cancelled; it won't run again.
        Ended(JobEnd),
    }

    /// A job as a shard's ledger holds it.
    pub struct Job {
        /// The catalogue entry that the job runs.
        pub entry: EntryName,
        /// Resources that it takes of a host, copied from the entry when the job was accepted.
        pub size: Size,
        /// How long an owner that can't reach the table may keep renewing the task's lease, copied
        /// in the same way. The next owner waits for this time, so both must use the same value: if
        /// it were read from the catalogue, a change would reach the next owner but not the one
        /// that is cut off.
        pub hold: Duration,
        /// Whether the job waits, is placed or has ended.
        pub phase: JobPhase,
        /// Number of the last attempt; 0 before the first.
        pub attempts: Attempt,
        /// Number of attempts that failed on a worker.
        pub failures: u32,
        /// The last checkpoint that the ledger recorded.
        pub checkpoint: Option<Checkpoint>,
        /// Whether cancellation was requested; the task may still be running.
        pub cancelling: bool,
    }
}

impl Job {
    /// The present placement; the job may be running there.
    pub fn placement(&self) -> Option<&Placement> {
        match &self.phase {
            JobPhase::Placed(placement) => Some(placement),
            JobPhase::Waiting | JobPhase::Ended(_) => None,
        }
    }

    /// Whether the job has completed, failed or been cancelled.
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, JobPhase::Ended(_))
    }
}
