//! How the system answers a caller: done, refused or unknown, and why refused.
//!
//! `refused` is a promise that nothing was run. Anything sent to a worker without an answer that
//! tells is `unknown`, and never `refused`.

use super::{
    catalogue::Class,
    id::{EntryName, JobId, RequestId},
};
use std::{fmt, time::Duration};

data! {
    /// A refusal: nothing was run, nothing was changed.
    pub enum Refusal {
        /// The catalogue has no such entry.
        UnknownEntry(EntryName),
        /// The entry takes no new work.
        Retired(EntryName),
        /// The entry's class is asked for in another way.
        WrongClass {
            /// The entry.
            entry: EntryName,
            /// Its class.
            class: Class,
        },
        /// The entry's or its owner's limit is reached.
        OverLimit {
            /// The entry.
            entry: EntryName,
            /// When to come back.
            retry_after: Duration,
        },
        /// Every worker is busy, or the deadline can't be met.
        Busy {
            /// When to come back.
            retry_after: Duration,
        },
        /// The deadline had passed before anything could be sent.
        TooLate {
            /// When to come back.
            retry_after: Duration,
        },
        /// What has to be made durable can't be at present.
        StoreAway {
            /// When to come back.
            retry_after: Duration,
        },
        /// The shard has no owner that can be reached.
        NoOwner {
            /// When to come back.
            retry_after: Duration,
        },
        /// No worker could ever run it.
        NeverFits {
            /// Why, in words for people.
            reason: String,
        },
        /// There is no such job.
        UnknownJob(JobId),
        /// The same request id is being served at this moment.
        InProgress {
            /// When to come back.
            retry_after: Duration,
        },
        /// The request id was used before, for another entry or another body.
        IdReused(RequestId),
        /// The request's body is beyond the entry's limit.
        BodyTooLarge {
            /// The entry.
            entry: EntryName,
            /// The limit in bytes.
            limit: u64,
        },
        /// This daemon is shutting down.
        Draining {
            /// When to come back.
            retry_after: Duration,
        },
    }
}

impl Refusal {
    /// When the caller should come back; none when coming back can't help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::UnknownEntry(_)
            | Self::Retired(_)
            | Self::WrongClass { .. }
            | Self::NeverFits { .. }
            | Self::IdReused(_)
            | Self::BodyTooLarge { .. }
            | Self::UnknownJob(_) => None,
            Self::OverLimit { retry_after, .. }
            | Self::Busy { retry_after }
            | Self::TooLate { retry_after }
            | Self::StoreAway { retry_after }
            | Self::NoOwner { retry_after }
            | Self::InProgress { retry_after }
            | Self::Draining { retry_after } => Some(*retry_after),
        }
    }

    /// A fixed word for metrics and logs.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::UnknownEntry(_) => "unknown_entry",
            Self::Retired(_) => "retired",
            Self::WrongClass { .. } => "wrong_class",
            Self::OverLimit { .. } => "over_limit",
            Self::Busy { .. } => "busy",
            Self::TooLate { .. } => "too_late",
            Self::StoreAway { .. } => "store_away",
            Self::NoOwner { .. } => "no_owner",
            Self::NeverFits { .. } => "never_fits",
            Self::UnknownJob(_) => "unknown_job",
            Self::InProgress { .. } => "in_progress",
            Self::IdReused(_) => "id_reused",
            Self::BodyTooLarge { .. } => "body_too_large",
            Self::Draining { .. } => "draining",
        }
    }

    /// What the caller can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::UnknownEntry(_) => "check the name, or ask an operator to add the entry",
            Self::Retired(_) => "use an entry that is in service",
            Self::WrongClass {
                class: Class::LatencyCritical,
                ..
            } => "send it to /v1/run/ENTRY",
            Self::WrongClass { .. } => "submit it to /v1/jobs/ENTRY",
            Self::NeverFits { .. } => "ask an operator to lower the entry's size",
            Self::UnknownJob(_) => "check the id; jobs are forgotten some time after their end",
            Self::IdReused(_) => "give each request an id of its own",
            Self::BodyTooLarge { .. } => "send less, or ask an operator to raise `body_bytes`",
            Self::OverLimit { .. }
            | Self::Busy { .. }
            | Self::TooLate { .. }
            | Self::StoreAway { .. }
            | Self::NoOwner { .. }
            | Self::InProgress { .. }
            | Self::Draining { .. } => "come back after the time in retry-after",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownEntry(entry) => write!(f, "no entry `{entry}` in the catalogue"),
            Self::Retired(entry) => write!(f, "entry `{entry}` is retired"),
            Self::WrongClass { entry, class } => write!(f, "entry `{entry}` is {class}"),
            Self::OverLimit { entry, .. } => write!(f, "entry `{entry}` is at its limit"),
            Self::Busy { .. } => f.write_str("no worker has room in time"),
            Self::TooLate { .. } => f.write_str("the deadline had passed before it could be sent"),
            Self::StoreAway { .. } => f.write_str("the platform's table can't be reached"),
            Self::NoOwner { .. } => f.write_str("the shard's owner can't be reached"),
            Self::NeverFits { reason } => write!(f, "no worker can ever run it: {reason}"),
            Self::UnknownJob(job) => write!(f, "no job `{job}`"),
            Self::InProgress { .. } => f.write_str("a request with this id is being served"),
            Self::IdReused(id) => write!(f, "the id `{id}` was used for another request"),
            Self::BodyTooLarge { entry, limit } => {
                write!(
                    f,
                    "the body is beyond entry `{entry}`'s limit of {limit} bytes"
                )
            }
            Self::Draining { .. } => f.write_str("this daemon is shutting down"),
        }
    }
}

impl std::error::Error for Refusal {}
