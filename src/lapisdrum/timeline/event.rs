//! The events of the timeline.

use crate::core::{
    id::{DaemonId, EntryName, Epoch, JobId, RequestId, Revision, ShardId, WorkerId},
    job::Attempt,
};
use std::fmt;
use uhlc::NTP64;

/// Length of an RFC 3339 time with milliseconds, without the zone suffix.
const MILLISECOND_LEN: usize = "2026-01-01T00:00:00.000".len();

data! {
    /// Timestamp of a hybrid logical clock. Stamps are ordered by time, then by clock id.
    #[derive(Copy, PartialOrd, Ord, Hash, Default)]
    pub struct Stamp {
        /// Hybrid time in the 64-bit NTP format.
        pub time: u64,
        /// Id of the clock that created the stamp, derived from the daemon's incarnation.
        pub clock: u64,
    }

    /// Kind and details of an event.
    #[serde(tag = "event", rename_all = "kebab-case")]
    pub enum Happening {
        /// The daemon started to serve.
        DaemonReady {},
        /// The daemon was asked to shut down and finishes the work in flight.
        DaemonDraining {},
        /// This daemon applied a catalogue revision.
        RevisionApplied {
            /// The revision.
            revision: Revision,
        },
        /// This daemon accepted an operator's change to a catalogue entry.
        ChangeAccepted {
            /// The changed entry.
            entry: EntryName,
            /// The catalogue revision that the change created.
            revision: Revision,
        },
        /// This daemon acquired the lease of a shard.
        ShardTaken {
            /// The shard.
            shard: ShardId,
            /// Epoch of the new ownership.
            epoch: Epoch,
        },
        /// This daemon has recovered a shard's ledger and serves it.
        ShardServing {
            /// The shard.
            shard: ShardId,
            /// Epoch of the ownership.
            epoch: Epoch,
        },
        /// This daemon released a shard.
        ShardReleased {
            /// The shard.
            shard: ShardId,
        },
        /// A shard's lease that this daemon held has lapsed; it starts no tasks under it.
        LeaseLapsed {
            /// The shard.
            shard: ShardId,
        },
        /// A lapsed lease was renewed; no other daemon had taken the shard.
        LeaseRegained {
            /// The shard.
            shard: ShardId,
        },
        /// Another daemon no longer shows signs of life.
        DaemonSilent {
            /// The other daemon.
            daemon: DaemonId,
        },
        /// Another daemon shows signs of life again.
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
            /// Epoch of the ownership.
            epoch: Epoch,
        },
        /// A worker no longer answers this owner.
        WorkerSilent {
            /// The worker.
            worker: WorkerId,
        },
        /// A worker was ejected: it gets no new work for a time.
        WorkerSetAside {
            /// The worker.
            worker: WorkerId,
            /// Reason for the ejection, as text.
            reason: String,
        },
        /// The platform stopped answering.
        PlatformAway {},
        /// The platform answers again.
        PlatformBack {},
        /// A job's acceptance is durable.
        JobAccepted {
            /// The job.
            job: JobId,
            /// The job's catalogue entry.
            entry: EntryName,
        },
        /// A job's placement is durable and its start is in flight.
        TaskPlaced {
            /// The job.
            job: JobId,
            /// The worker.
            worker: WorkerId,
            /// Number of the attempt to run the job.
            attempt: Attempt,
        },
        /// A worker runs the task.
        TaskStarted {
            /// The job.
            job: JobId,
            /// The worker.
            worker: WorkerId,
        },
        /// A task was evicted from its worker.
        TaskEvicted {
            /// The job.
            job: JobId,
            /// The worker.
            worker: WorkerId,
            /// Reason for the eviction, as text.
            reason: String,
        },
        /// A task's CPU limit was set.
        TaskThrottled {
            /// The job.
            job: JobId,
            /// The worker.
            worker: WorkerId,
            /// The limit, in thousandths of full speed.
            permille: u32,
        },
        /// A job ended.
        JobEnded {
            /// The job.
            job: JobId,
            /// How it ended, as text.
            end: String,
        },
        /// A request was refused.
        RequestRefused {
            /// The entry as named by the caller, which need not exist.
            entry: String,
            /// Reason for the refusal, as text.
            reason: String,
        },
        /// The outcome of a request is unknown.
        RequestUnknown {
            /// The request.
            request: RequestId,
            /// Why the outcome is unknown, as text.
            reason: String,
        },
    }

    /// An event with its stamp and the daemon that recorded it.
    pub struct Record {
        /// Position in the causal order.
        pub stamp: Stamp,
        /// The daemon that recorded the event.
        pub daemon: DaemonId,
        /// The event, with its details.
        pub what: Happening,
    }
}

/// Selects events; a field that is `None` matches every event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Events of this job only.
    pub job: Option<JobId>,
    /// Events of this worker only.
    pub worker: Option<WorkerId>,
    /// Events at or after this hybrid time only, in the 64-bit NTP format.
    pub since: Option<u64>,
}

impl Filter {
    /// Whether an event passes all conditions of the filter.
    pub fn matches(&self, record: &Record) -> bool {
        let job = self.job.as_ref();
        let worker = self.worker.as_ref();
        job.is_none_or(|job| record.what.job() == Some(job))
            && worker.is_none_or(|worker| record.what.worker() == Some(worker))
            && self.since.is_none_or(|since| record.stamp.time >= since)
    }
}

impl Happening {
    /// The job that the event concerns, if any.
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

    /// The worker that the event concerns, if any.
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

    /// The catalogue entry that the event names, if any.
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
        // Cut to milliseconds: the low bits of the hybrid time are a logical counter.
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
