//! Wire types between daemons, encoded with bincode: a closed set of requests and replies.

use crate::{
    core::{
        id::{EntryName, Epoch, JobId, Revision, ShardId, WorkerId},
        job::Job,
        outcome::Refusal,
    },
    daemon::listing::{JobFilter, ShardJobs},
    state::{
        catalogue::{Catalogue, ChangeRow},
        ledger::Grant,
        ownership::Holder,
    },
    timeline::event::Stamp,
};

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
        /// Pass an accepted catalogue change on.
        News(ChangeRow),
        /// Ask for the catalogue if it is newer than the asker's.
        Catalogue(Revision),
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
        /// A newer catalogue.
        Catalogue(Catalogue),
        /// Refused, nothing was done.
        Refused(Refusal),
        /// The request may have taken effect.
        Unknown,
    }
}
