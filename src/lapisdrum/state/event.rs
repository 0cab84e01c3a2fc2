//! The events of a shard's ledger and the row that carries a batch of them.
//!
//! These types are stored: the next owner must be able to read a snapshot and every row after it.
//! [`super::ledger`] applies the events to the state.

use super::ownership::Holder;
use crate::core::{
    id::{EntryName, Epoch, JobId, RequestId, Sequence, ShardId, WorkerId},
    job::{Attempt, Checkpoint, Job, JobEnd, Placement},
    size::Size,
};
use std::time::Duration;

data! {
    /// Slots and capacity of a worker that a daemon may use for requests without asking the owner.
    #[derive(Copy, Default)]
    pub struct Grant {
        /// Requests that may run at the same time.
        pub slots: u32,
        /// Upper limit on the sum of their sizes.
        pub size: Size,
    }

    /// The outcome of a claimed request.
    pub enum ClaimEnd {
        /// The worker answered.
        Done {
            /// The status code that the worker answered.
            status: u16,
            /// The encoded response; see [`super::claims::KeptAnswer`].
            body: Vec<u8>,
        },
        /// The request was not run, or it is idempotent and may run again: the id is released.
        NotRun,
        /// The request may have run; it is not sent again.
        Unknown,
    }

    /// A claim on a caller's request id, made before the request is sent.
    pub struct Claim {
        /// The catalogue entry that the request runs.
        pub entry: EntryName,
        /// The daemon that made the claim and may send the request.
        pub by: Holder,
        /// The request's outcome; `None` until it is known.
        pub end: Option<ClaimEnd>,
    }

    /// An owner that may have renewed tasks of this shard.
    pub struct OwnerRecord {
        /// The epoch in which it owned the shard.
        pub epoch: Epoch,
        /// The incarnation of the daemon.
        pub holder: Holder,
        /// Whether it released the shard itself.
        pub released: bool,
    }

    /// A change to the state of a shard.
    pub enum Event {
        /// An owner took the shard over.
        OwnerBegan {
            /// The new owner's epoch.
            epoch: Epoch,
            /// The incarnation of the daemon.
            holder: Holder,
        },
        /// An owner released the shard. This is its last event.
        OwnerEnded {
            /// The epoch of the owner that released it.
            epoch: Epoch,
        },
        /// A job was accepted and waits to be placed.
        Accepted {
            /// The new job's id.
            job: JobId,
            /// The catalogue entry that the job runs.
            entry: EntryName,
            /// The capacity that the job takes of a worker's host.
            size: Size,
            /// How long an owner that can't reach the table may keep renewing the job's lease.
            hold: Duration,
        },
        /// A waiting job was placed on a worker.
        Placed {
            /// The job, which was waiting.
            job: JobId,
            /// The worker, the owner's epoch and the number of the attempt.
            placement: Placement,
        },
        /// A worker saved a job's progress.
        Checkpointed {
            /// The job, which is placed.
            job: JobId,
            /// The attempt that saved it.
            attempt: Attempt,
            /// The saved state, which replaces the previous checkpoint.
            checkpoint: Checkpoint,
        },
        /// A job was evicted: it has certainly stopped on its worker and waits to be placed again.
        Evicted {
            /// The job, which waits from now on.
            job: JobId,
            /// The attempt that stopped.
            attempt: Attempt,
        },
        /// An attempt failed on its worker; the job waits to be placed again.
        AttemptFailed {
            /// The job, which waits from now on.
            job: JobId,
            /// The attempt that failed.
            attempt: Attempt,
        },
        /// Cancellation of a job was requested.
        CancelAsked {
            /// The job, which may still be running.
            job: JobId,
        },
        /// A job ended.
        Ended {
            /// The job, which is kept until its retention has passed.
            job: JobId,
            /// Whether the job finished, failed or was cancelled.
            end: JobEnd,
        },
        /// The retention of an ended or moved job has passed.
        Forgotten {
            /// The job, which is removed from the state.
            job: JobId,
        },
        /// A waiting job moved to another shard, in the transaction that adds it there.
        MovedOut {
            /// The job, which this shard no longer places.
            job: JobId,
            /// The shard that the job moved to.
            to: ShardId,
        },
        /// A job moved here from another shard, in the transaction that removes it there.
        MovedIn {
            /// The job's id, which still names its home shard.
            id: JobId,
            /// The job's state in the shard that it left.
            job: Job,
        },
        /// A request id was claimed.
        Claimed {
            /// The id that the caller chose.
            request: RequestId,
            /// The catalogue entry that the request runs.
            entry: EntryName,
            /// The daemon that may send the request.
            by: Holder,
        },
        /// The outcome of a claimed request is known.
        ClaimEnded {
            /// The claimed id.
            request: RequestId,
            /// The outcome, which repeats of the request receive.
            end: ClaimEnd,
        },
        /// The retention of an ended claim has passed.
        ClaimForgotten {
            /// The id, which may be claimed again.
            request: RequestId,
        },
        /// A daemon's floor on a worker was set; an empty grant removes it.
        Granted {
            /// The daemon that may use the grant.
            to: Holder,
            /// The worker whose capacity is granted.
            worker: WorkerId,
            /// The new floor, which replaces the previous one.
            grant: Grant,
        },
        /// A daemon has certainly ended; all its floors are removed.
        GrantsVoided {
            /// The daemon that ended.
            of: Holder,
        },
    }

    /// One row of the ledger.
    pub struct Batch {
        /// Position of the batch in the ledger.
        pub sequence: Sequence,
        /// Epoch of the owner that wrote the batch.
        pub epoch: Epoch,
        /// Drawn at random for each attempt to write the batch, so that a writer that reads the row
        /// back can distinguish it from another writer's row with the same sequence number.
        pub nonce: u64,
        /// The events, in the order in which they are applied.
        pub events: Vec<Event>,
    }
}

impl Event {
    /// The job that the event changes; `None` when it changes no job.
    pub fn job(&self) -> Option<&JobId> {
        match self {
            Self::Accepted { job, .. }
            | Self::Placed { job, .. }
            | Self::Checkpointed { job, .. }
            | Self::Evicted { job, .. }
            | Self::AttemptFailed { job, .. }
            | Self::CancelAsked { job }
            | Self::Ended { job, .. }
            | Self::Forgotten { job }
            | Self::MovedOut { job, .. }
            | Self::MovedIn { id: job, .. } => Some(job),
            Self::OwnerBegan { .. }
            | Self::OwnerEnded { .. }
            | Self::Claimed { .. }
            | Self::ClaimEnded { .. }
            | Self::ClaimForgotten { .. }
            | Self::Granted { .. }
            | Self::GrantsVoided { .. } => None,
        }
    }

    /// The request whose claim the event changes; `None` when it changes no claim.
    pub(super) fn request(&self) -> Option<&RequestId> {
        match self {
            Self::Claimed { request, .. }
            | Self::ClaimEnded { request, .. }
            | Self::ClaimForgotten { request } => Some(request),
            _ => None,
        }
    }
}
