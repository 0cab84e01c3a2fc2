//! The outcome of a call, done, refused or unknown, and the reasons for a refusal.
//!
//! `refused` guarantees that nothing was run. When a request was sent to a worker and no answer
//! shows whether it ran, the outcome is `unknown`, never `refused`.

use super::{
    catalogue::Class,
    id::{EntryName, JobId, RequestId},
};
use std::{fmt, time::Duration};

data! {
    /// Why a call was refused. Nothing was run and nothing was changed.
    pub enum Refusal {
        /// The catalogue has no such entry.
        UnknownEntry(EntryName),
        /// The entry accepts no new work.
        Retired(EntryName),
        /// Work of the entry's class is requested at another endpoint.
        WrongClass {
            /// The entry that was called.
            entry: EntryName,
            /// The entry's class.
            class: Class,
        },
        /// The limit of the entry or of its owner is reached.
        OverLimit {
            /// The entry that was called.
            entry: EntryName,
            /// Time after which the caller may try again.
            retry_after: Duration,
        },
        /// No worker has free capacity, the deadline can't be met, or the shard that keeps the
        /// request id has no space for more claims.
        Busy {
            /// Time after which the caller may try again.
            retry_after: Duration,
        },
        /// The deadline passed before the request could be sent to a worker.
        TooLate {
            /// Time after which the caller may try again.
            retry_after: Duration,
        },
        /// The platform's table can't be reached, and the call needs a durable write.
        StoreAway {
            /// Time after which the caller may try again.
            retry_after: Duration,
        },
        /// The shard has no owner, or its owner can't be reached.
        NoOwner {
            /// Time after which the caller may try again.
            retry_after: Duration,
        },
        /// No host has enough capacity for a task of the entry's size.
        NeverFits {
            /// An explanation for the caller.
            reason: String,
        },
        /// The job's shard has no job with this id.
        UnknownJob(JobId),
        /// A request with the same id is being served.
        InProgress {
            /// Time after which the caller may try again.
            retry_after: Duration,
        },
        /// The request id was already used with another entry or another body.
        IdReused(RequestId),
        /// The request's body is larger than the entry allows.
        BodyTooLarge {
            /// The entry that was called.
            entry: EntryName,
            /// Maximum size of a body, in bytes.
            limit: u64,
        },
        /// This daemon is shutting down.
        Draining {
            /// Time after which the caller may try again.
            retry_after: Duration,
        },
        /// The callers of this daemon hold all the memory that they may.
        OutOfMemory {
            /// Time after which the caller may try again.
            retry_after: Duration,
        },
    }
}

impl Refusal {
    /// Time after which the caller may try again; `None` when trying again can't succeed.
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
            | Self::Draining { retry_after }
            | Self::OutOfMemory { retry_after } => Some(*retry_after),
        }
    }

    /// A stable identifier for metrics and logs.
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
            Self::OutOfMemory { .. } => "out_of_memory",
        }
    }

    /// Advice to the caller, for the response.
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
            | Self::Draining { .. }
            | Self::OutOfMemory { .. } => "come back after the time in retry-after",
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
            Self::OutOfMemory { .. } => f.write_str("callers hold all the memory that they may"),
        }
    }
}

impl std::error::Error for Refusal {}
