//! A job: one batch or long-running task that a caller handed in, from acceptance to its end.

use super::{
    id::{EntryName, Epoch, WorkerId},
    size::Size,
};
use std::time::Duration;

scalar! {
    /// Counts the runs of one job; each placement is a new attempt.
    #[derive(Default)]
    pub struct Attempt(pub u32);
}

data! {
    /// Where a job's saved progress lies and how far it goes; written by the worker.
    pub struct Checkpoint {
        /// The worker's name for the saved state.
        pub name: String,
        /// Progress in thousandths of the declared work.
        pub progress_permille: u32,
    }

    /// One placement of a job on a worker.
    pub struct Placement {
        /// The worker.
        pub worker: WorkerId,
        /// The epoch of the owner that placed it.
        pub epoch: Epoch,
        /// Which run of the job this is.
        pub attempt: Attempt,
    }

    /// How a job ended.
    pub enum JobEnd {
        /// The worker finished it.
        Done,
        /// It failed as often as its entry allows; the text is the last worker's.
        Failed(String),
        /// A caller or the entry's retirement ended it.
        Cancelled,
    }

    /// The stage that a job has reached.
    pub enum JobPhase {
        /// Accepted or evicted, waiting for a place.
        Waiting,
        /// Placed on a worker; it may run there.
        Placed(Placement),
        /// Over.
        Ended(JobEnd),
    }

    /// A job as its home shard's ledger holds it.
    pub struct Job {
        /// The catalogue entry that it belongs to.
        pub entry: EntryName,
        /// What it takes of a host, copied from the entry when it was accepted.
        pub size: Size,
        /// How long an owner that is cut off may go on renewing it, copied in the same way. A
        /// successor waits this out, so both must go by one figure: were it read from the catalogue,
        /// a change would reach the successor and not the owner that is cut off.
        pub hold: Duration,
        /// Its stage.
        pub phase: JobPhase,
        /// Attempts so far.
        pub attempts: Attempt,
        /// Attempts that failed on a worker.
        pub failures: u32,
        /// The last checkpoint that the ledger names.
        pub checkpoint: Option<Checkpoint>,
        /// A cancel was asked for; the worker may not have stopped yet.
        pub cancelling: bool,
    }
}

impl Job {
    /// The placement that may be running, if any.
    pub fn placement(&self) -> Option<&Placement> {
        match &self.phase {
            JobPhase::Placed(placement) => Some(placement),
            JobPhase::Waiting | JobPhase::Ended(_) => None,
        }
    }

    /// Whether the job is over.
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, JobPhase::Ended(_))
    }
}
