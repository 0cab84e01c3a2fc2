//! The events of the time line.

use crate::core::{
    id::{DaemonId, EntryName, Epoch, JobId, RequestId, Revision, ShardId, WorkerId},
    job::Attempt,
};
use std::fmt;
use uhlc::NTP64;

/// Length of a time in RFC 3339 up to its milliseconds.
const MILLISECOND_LEN: usize = "2026-01-01T00:00:00.000".len();

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
        /// A lease that this daemon holds has run out; nothing is started under it.
        LeaseLapsed {
            /// The shard.
            shard: ShardId,
        },
        /// A lease that had run out is renewed; nobody had taken the shard.
        LeaseRegained {
            /// The shard.
            shard: ShardId,
        },
        /// Another daemon is not heard of.
        DaemonSilent {
            /// The other daemon.
            daemon: DaemonId,
        },
        /// Another daemon is heard of again.
        DaemonHeard {
            /// The other daemon.
            daemon: DaemonId,
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
            /// Its entry.
            entry: EntryName,
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
        /// A task's speed was set.
        TaskThrottled {
            /// The job.
            job: JobId,
            /// The worker.
            worker: WorkerId,
            /// Its speed, in thousandths of full speed.
            permille: u32,
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

/// Which events are wanted; what is absent matches every event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Events of this job only.
    pub job: Option<JobId>,
    /// Events of this worker only.
    pub worker: Option<WorkerId>,
    /// Events at or after this hybrid time only.
    pub since: Option<u64>,
}

impl Filter {
    /// Whether an event is wanted.
    pub fn matches(&self, record: &Record) -> bool {
        let job = self.job.as_ref();
        let worker = self.worker.as_ref();
        job.is_none_or(|job| record.what.job() == Some(job))
            && worker.is_none_or(|worker| record.what.worker() == Some(worker))
            && self.since.is_none_or(|since| record.stamp.time >= since)
    }
}

impl Happening {
    /// The job that the event is about.
    pub fn job(&self) -> Option<&JobId> {
        match self {
            Self::JobAccepted { job, .. }
            | Self::TaskPlaced { job, .. }
            | Self::TaskStarted { job, .. }
            | Self::TaskEvicted { job, .. }
            | Self::TaskThrottled { job, .. }
            | Self::JobEnded { job, .. } => Some(job),
            _ => None,
        }
    }

    /// The worker that the event is about.
    pub fn worker(&self) -> Option<&WorkerId> {
        match self {
            Self::WorkerClaimed { worker, .. }
            | Self::WorkerSilent { worker }
            | Self::WorkerSetAside { worker, .. }
            | Self::TaskPlaced { worker, .. }
            | Self::TaskStarted { worker, .. }
            | Self::TaskEvicted { worker, .. }
            | Self::TaskThrottled { worker, .. } => Some(worker),
            _ => None,
        }
    }

    /// The catalogue entry that the event names.
    pub fn entry(&self) -> Option<&str> {
        match self {
            Self::ChangeAccepted { entry, .. } | Self::JobAccepted { entry, .. } => {
                Some(entry.as_str())
            }
            Self::RequestRefused { entry, .. } => Some(entry),
            _ => None,
        }
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Milliseconds: the hybrid clock's lower bits are a counter, no time.
        let text = NTP64(self.time).to_string_rfc3339_lossy();
        let shown = text.get(..MILLISECOND_LEN).unwrap_or(&text);
        write!(f, "{shown}Z")
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = serde_json::to_value(&self.what).unwrap_or_default();
        let fields = what.as_object().cloned().unwrap_or_default();
        let kind = fields
            .get("event")
            .and_then(|v| v.as_str())
            .unwrap_or("event");
        write!(f, "{} {:<16} {kind:<18}", self.stamp, self.daemon.as_str())?;
        for (key, value) in fields.iter().filter(|(key, _)| *key != "event") {
            match value.as_str() {
                Some(text) if text.contains(' ') => write!(f, " {key}={text:?}")?,
                Some(text) => write!(f, " {key}={text}")?,
                None => write!(f, " {key}={value}")?,
            }
        }
        Ok(())
    }
}
