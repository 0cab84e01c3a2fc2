//! The events of a shard's ledger and the row that carries a batch of them.
//!
//! They are what lasts: a snapshot and every row after it must be readable by the next owner. What
//! each event does to the state is [`super::ledger`]'s.

use super::ownership::Holder;
use crate::core::{
    id::{EntryName, Epoch, JobId, RequestId, Sequence, ShardId, WorkerId},
    job::{Attempt, Checkpoint, Job, JobEnd, Placement},
    size::Size,
};
use std::time::Duration;

data! {
    /// What a daemon may use of a worker for requests, without asking anybody.
    #[derive(Copy, Default)]
    pub struct Grant {
        /// Requests at once.
        pub slots: u32,
        /// The sum of their sizes.
        pub size: Size,
    }

    /// How a claimed request ended.
    pub enum ClaimEnd {
        /// Answered: status, and the body when it is small enough to keep.
        Done {
            /// The worker's status.
            status: u16,
            /// The worker's body.
            body: Vec<u8>,
        },
        /// It was not run and may be asked again.
        NotRun,
        /// Whether it ran is not known; it will not be sent again.
        Unknown,
    }

    /// A caller's request id, claimed before the request is sent.
    pub struct Claim {
        /// The entry that it was claimed for.
        pub entry: EntryName,
        /// The daemon that claimed it and may send it.
        pub by: Holder,
        /// How it ended, once known.
        pub end: Option<ClaimEnd>,
    }

    /// An owner that may have renewed tasks of this shard.
    pub struct OwnerRecord {
        /// Its epoch.
        pub epoch: Epoch,
        /// Who it was.
        pub holder: Holder,
        /// Whether it gave the shard up itself.
        pub released: bool,
    }

    /// One thing that happened in a shard.
    pub enum Event {
        /// An owner took the shard.
        OwnerBegan {
            /// Its epoch.
            epoch: Epoch,
            /// Who it is.
            holder: Holder,
        },
        /// An owner gave the shard up; its last event.
        OwnerEnded {
            /// Its epoch.
            epoch: Epoch,
        },
        /// A job was accepted.
        Accepted {
            /// The job.
            job: JobId,
            /// Its entry.
            entry: EntryName,
            /// What it takes.
            size: Size,
            /// How long an owner that is cut off may go on renewing it.
            hold: Duration,
        },
        /// A job was given a place.
        Placed {
            /// The job.
            job: JobId,
            /// Where, by whom, which attempt.
            placement: Placement,
        },
        /// A worker saved a job's progress.
        Checkpointed {
            /// The job.
            job: JobId,
            /// The attempt that saved it.
            attempt: Attempt,
            /// What was saved.
            checkpoint: Checkpoint,
        },
        /// A job lost its place: it has certainly stopped there and waits for another.
        Evicted {
            /// The job.
            job: JobId,
            /// The attempt that stopped.
            attempt: Attempt,
        },
        /// An attempt failed on its worker; the job waits again.
        AttemptFailed {
            /// The job.
            job: JobId,
            /// The attempt that failed.
            attempt: Attempt,
        },
        /// A cancel was asked for.
        CancelAsked {
            /// The job.
            job: JobId,
        },
        /// A job is over.
        Ended {
            /// The job.
            job: JobId,
            /// How.
            end: JobEnd,
        },
        /// An ended job is forgotten after its retention.
        Forgotten {
            /// The job.
            job: JobId,
        },
        /// A waiting job left for another shard, in the transaction that put it there.
        MovedOut {
            /// The job.
            job: JobId,
            /// Where to.
            to: ShardId,
        },
        /// A job arrived from another shard, in the transaction that took it from there.
        MovedIn {
            /// The job's id, which still names its home shard.
            id: JobId,
            /// The job as it left.
            job: Job,
        },
        /// A request id was claimed.
        Claimed {
            /// The id.
            request: RequestId,
            /// The entry.
            entry: EntryName,
            /// The daemon that will send it.
            by: Holder,
        },
        /// A claimed request's end is known.
        ClaimEnded {
            /// The id.
            request: RequestId,
            /// How it ended.
            end: ClaimEnd,
        },
        /// A claim is forgotten after its retention.
        ClaimForgotten {
            /// The id.
            request: RequestId,
        },
        /// A daemon's floor on a worker is set; an empty grant takes it back.
        Granted {
            /// The daemon.
            to: Holder,
            /// The worker.
            worker: WorkerId,
            /// What it may use.
            grant: Grant,
        },
        /// A daemon is certainly gone, and with it all its floors.
        GrantsVoided {
            /// The daemon.
            of: Holder,
        },
    }

    /// One row of the ledger.
    pub struct Batch {
        /// Its place.
        pub sequence: Sequence,
        /// The writer's epoch.
        pub epoch: Epoch,
        /// Drawn at random by the writer for this try, so that a read-back tells its own row from
        /// one that somebody else wrote at the same place.
        pub nonce: u64,
        /// What happened, in order.
        pub events: Vec<Event>,
    }
}

impl Event {
    /// The job that it is about.
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

    /// The claimed request that it is about.
    pub(super) fn request(&self) -> Option<&RequestId> {
        match self {
            Self::Claimed { request, .. }
            | Self::ClaimEnded { request, .. }
            | Self::ClaimForgotten { request } => Some(request),
            _ => None,
        }
    }
}
