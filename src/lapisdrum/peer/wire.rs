//! Wire types between daemons, encoded with bincode: a closed set of requests and replies.

use crate::{
    core::{
        id::{EntryName, Epoch, JobId, RequestId, Revision, ShardId, WorkerId},
        job::Job,
        outcome::Refusal,
    },
    daemon::listing::{JobFilter, ShardJobs},
    state::{
        catalogue::{Catalogue, ChangeRow},
        ledger::{ClaimEnd, Grant},
        ownership::Holder,
    },
    timeline::event::Stamp,
};
use std::time::Duration;

data! {
    /// A value with the sender's stamp.
    pub struct Stamped<T> {
        /// The sender's stamp.
        pub stamp: Stamp,
        /// The value.
        pub value: T,
    }

    /// A worker and what may be used of it.
    pub struct WorkerGrant {
        /// The worker.
        pub worker: WorkerId,
        /// What may be used of it.
        pub grant: Grant,
    }

    /// What one daemon asks of another.
    pub enum PeerRequest {
        /// Accept a job in a shard that the other owns.
        SubmitJob {
            /// The shard.
            shard: ShardId,
            /// The job's id, minted by the asker, so that a repeat is recognised.
            job: JobId,
            /// The entry.
            entry: EntryName,
        },
        /// Show a job.
        ShowJob(JobId),
        /// Cancel a job.
        CancelJob(JobId),
        /// List jobs of a shard that the other owns.
        ListJobs {
            /// The shard.
            shard: ShardId,
            /// Which jobs.
            filter: JobFilter,
        },
        /// Report floors and ask for new ones.
        Grants(GrantRound),
        /// Run a request that the asker has no room for.
        Run(SpilledRun),
        /// Claim a request id in a shard that the other owns.
        Claim(ClaimCall),
        /// Tell how a claimed request ended; repeated until it is answered.
        EndClaim(ClaimCall, ClaimEnd),
        /// Ask which of these claims this run of the other still serves or has yet to report the end
        /// of.
        ClaimsServed(Holder, Vec<RequestId>),
        /// Pass an accepted catalogue change on.
        News(ChangeRow),
        /// Ask for the catalogue if it is newer than the asker's.
        Catalogue(Revision),
    }

    /// A request on its one hop to another daemon.
    pub struct SpilledRun {
        /// Its id; claimed by the asker, where its caller brought it.
        pub request: RequestId,
        /// The entry.
        pub entry: EntryName,
        /// Its body.
        pub body: Vec<u8>,
        /// The caller's content type.
        pub content_type: Option<String>,
        /// Time that is left for it.
        pub left: Duration,
        /// Hash of who asks.
        pub caller: u64,
    }

    /// How a spilled request ended.
    pub enum SpilledEnd {
        /// The worker's whole answer.
        Done {
            /// Its status.
            status: u16,
            /// Its content type.
            content_type: Option<String>,
            /// Its body.
            body: Vec<u8>,
        },
        /// Not run.
        Refused(Refusal),
        /// It may have run.
        Unknown(String),
    }

    /// A claim as its two sides speak of it.
    pub struct ClaimCall {
        /// The shard.
        pub shard: ShardId,
        /// The id.
        pub request: RequestId,
        /// The entry.
        pub entry: EntryName,
        /// The daemon that claims it and may send it.
        pub by: Holder,
        /// Drawn for each claim, so that a late word about an earlier one is told apart.
        pub nonce: u64,
    }

    /// One exchange about floors.
    pub struct GrantRound {
        /// The shard.
        pub shard: ShardId,
        /// The epoch of the owner that it is meant for.
        pub epoch: Epoch,
        /// The asker.
        pub holder: Holder,
        /// Raised by each exchange, so that one that arrives late is ignored.
        pub round: u64,
        /// What the asker holds itself to at present. It never uses more without a new answer, so
        /// whatever the ledger has beyond it is given back.
        pub holding: Vec<WorkerGrant>,
        /// The asker is on its way out and wants nothing new.
        pub leaving: bool,
    }

    /// The owner's side of an exchange about floors.
    pub struct GrantAnswer {
        /// The owner's epoch.
        pub epoch: Epoch,
        /// Durable floors: the asker may use them until it gives them back.
        pub floors: Vec<WorkerGrant>,
        /// What the asker should come down to where its floor is above it.
        pub targets: Vec<WorkerGrant>,
    }

    /// What the other answers.
    pub enum PeerReply {
        /// Done; nothing to say.
        Ok,
        /// A job.
        Job(Job),
        /// Jobs of a shard.
        Jobs(ShardJobs),
        /// Floors.
        Grants(GrantAnswer),
        /// A spilled request's end.
        Ran(SpilledEnd),
        /// The id is the asker's to serve.
        Claimed,
        /// The id was claimed before, and its request is over.
        ClaimEnded(ClaimEnd),
        /// Claims that are still served.
        ClaimsServed(Vec<RequestId>),
        /// A newer catalogue.
        Catalogue(Catalogue),
        /// Refused, nothing was done.
        Refused(Refusal),
        /// The request may have taken effect.
        Unknown,
    }
}
