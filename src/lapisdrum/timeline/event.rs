//! The events of the time line.

use crate::core::{
    id::{DaemonId, EntryName, Epoch, JobId, RequestId, Revision, ShardId, WorkerId},
    job::Attempt,
};
use std::fmt;

data! {
    /// A point in the order of events: hybrid logical time, then the clock's id.
    #[derive(Copy, PartialOrd, Ord, Hash, Default)]
    pub struct Stamp {
        /// Hybrid time in the NTP 64-bit form.
        pub time: u64,
        /// The id of the clock that gave it.
        pub clock: u64,
    }

    /// What happened.
    #[serde(tag = "event", rename_all = "kebab-case")]
    pub enum Happening {
        /// The daemon began to serve.
        DaemonReady {},
        /// The daemon was told to end.
        DaemonDraining {},
        /// A catalogue revision came into force here.
        RevisionApplied {
            /// The revision.
            revision: Revision,
        },
        /// An operator's change was accepted here.
        ChangeAccepted {
            /// The entry.
            entry: EntryName,
            /// The revision that it made.
            revision: Revision,
        },
        /// This daemon took a shard.
        ShardTaken {
            /// The shard.
            shard: ShardId,
            /// The epoch.
            epoch: Epoch,
        },
        /// This daemon has recovered a shard's ledger and serves it.
        ShardServing {
            /// The shard.
            shard: ShardId,
            /// The epoch.
            epoch: Epoch,
        },
        /// This daemon released a shard.
        ShardReleased {
            /// The shard.
            shard: ShardId,
        },
        /// This daemon found that it no longer holds a shard.
        ShardLost {
            /// The shard.
            shard: ShardId,
        },
        /// A worker accepted this owner's epoch.
        WorkerClaimed {
            /// The worker.
            worker: WorkerId,
            /// The epoch.
            epoch: Epoch,
        },
        /// A worker no longer answers this owner.
        WorkerSilent {
            /// The worker.
            worker: WorkerId,
        },
        /// A worker gets no new work for a time.
        WorkerSetAside {
            /// The worker.
            worker: WorkerId,
            /// Why.
            reason: String,
        },
        /// The platform stopped answering.
        PlatformAway {},
        /// The platform answers again.
        PlatformBack {},
        /// A job is durable.
        JobAccepted {
            /// The job.
            job: JobId,
        },
        /// A job's place is durable and its start is under way.
        TaskPlaced {
            /// The job.
            job: JobId,
            /// The worker.
            worker: WorkerId,
            /// The attempt.
            attempt: Attempt,
        },
        /// A worker runs the task.
        TaskStarted {
            /// The job.
            job: JobId,
            /// The worker.
            worker: WorkerId,
        },
        /// A task lost its place.
        TaskEvicted {
            /// The job.
            job: JobId,
            /// The worker.
            worker: WorkerId,
            /// Why.
            reason: String,
        },
        /// A job is over.
        JobEnded {
            /// The job.
            job: JobId,
            /// How.
            end: String,
        },
        /// A request was refused.
        RequestRefused {
            /// The entry as the caller named it.
            entry: String,
            /// Why.
            reason: String,
        },
        /// A request's end is not known.
        RequestUnknown {
            /// The request.
            request: RequestId,
            /// Why.
            reason: String,
        },
    }

    /// An event with its place in the order.
    pub struct Record {
        /// Its stamp.
        pub stamp: Stamp,
        /// The daemon that saw it.
        pub daemon: DaemonId,
        /// What happened.
        pub what: Happening,
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.stamp.time >> 32;
        let fraction = ((self.stamp.time & 0xffff_ffff) * 1_000) >> 32;
        let what = serde_json::to_value(&self.what).unwrap_or_default();
        let fields = what.as_object().cloned().unwrap_or_default();
        let kind = fields
            .get("event")
            .and_then(|v| v.as_str())
            .unwrap_or("event");
        write!(
            f,
            "{seconds}.{fraction:03} {:<16} {kind:<18}",
            self.daemon.as_str()
        )?;
        for (key, value) in fields.iter().filter(|(key, _)| *key != "event") {
            match value.as_str() {
                Some(text) => write!(f, " {key}={text}")?,
                None => write!(f, " {key}={value}")?,
            }
        }
        Ok(())
    }
}
