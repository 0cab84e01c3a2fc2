//! Wire types towards callers and operators.

use crate::{
    core::{
        catalogue::RawEntry,
        id::{ChangeId, DaemonId, EntryName, JobId, Revision, ShardId},
        job::{Job, JobEnd, JobPhase},
        outcome::Refusal,
        time::millis,
    },
    daemon::listing::{JobState, Listing},
    state::catalogue::{ChangeRow, EntryRow},
    timeline::event::Record,
    util::http::HttpResponse,
};
use actix_http::StatusCode;

/// Header with the outcome of every answer to a caller: `done`, `refused` or `unknown`.
pub const OUTCOME_HEADER: &str = "lapisdrum-outcome";
/// Header with the id of a request.
pub const REQUEST_HEADER: &str = "lapisdrum-request";
/// Header with the milliseconds within which a caller wants its answer.
pub const DEADLINE_HEADER: &str = "lapisdrum-deadline-ms";
/// Header with the caller's own id for a request or job.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header by which a gateway names the caller that it asks for.
pub const CALLER_HEADER: &str = "lapisdrum-caller";
/// Header with an operator's id for a change.
pub const CHANGE_HEADER: &str = "lapisdrum-change";

data! {
    /// The body of every answer that reports a fault.
    pub struct ErrorBody {
        /// What is wrong.
        pub error: String,
        /// What to do about it.
        pub help: String,
        /// Seconds after which to come back: the answer's `retry-after` header, noted by the client.
        #[serde(skip)]
        pub retry_after_s: Option<u64>,
    }

    /// A job as callers see it.
    pub struct JobBody {
        /// Its id.
        pub job: JobId,
        /// Its entry.
        pub entry: String,
        /// `waiting`, `running`, `done`, `failed` or `cancelled`.
        pub state: String,
        /// The worker, while it is placed.
        pub worker: Option<String>,
        /// Attempts so far.
        pub attempts: u32,
        /// Progress of the last checkpoint in thousandths.
        pub progress_permille: u32,
        /// Why it failed.
        pub message: Option<String>,
    }

    /// Jobs over all shards.
    pub struct JobsBody {
        /// The jobs, by shard, oldest first in each.
        pub jobs: Vec<JobBody>,
        /// How many more match and are left out, the oldest of each shard.
        pub omitted: usize,
        /// Shards whose owners did not answer; their jobs are not in the list.
        pub missing: Vec<ShardId>,
    }

    /// An accepted change of the catalogue.
    pub struct ChangeLine {
        /// The revision that it made.
        pub revision: Revision,
        /// The entry.
        pub entry: EntryName,
        /// The operator's id for the change.
        pub change: ChangeId,
        /// Whether the entry is retired since then.
        pub retired: bool,
    }

    /// Accepted changes, the latest first.
    pub struct HistoryBody {
        /// The changes that the table still has.
        pub changes: Vec<ChangeLine>,
    }

    /// A catalogue entry as operators see it.
    pub struct EntryBody {
        /// The entry as written.
        pub entry: RawEntry,
        /// The revision that wrote it; the value for `if-match`.
        pub revision: Revision,
    }

    /// The whole catalogue.
    pub struct CatalogueBody {
        /// The revision in force at the daemon that answered.
        pub revision: Revision,
        /// The entries.
        pub entries: Vec<EntryBody>,
    }

    /// The answer to an accepted change.
    pub struct ChangeBody {
        /// The revision that it made.
        pub revision: Revision,
    }

    /// One daemon's part of the time line.
    pub struct TimelineBody {
        /// The daemon that saw them.
        pub daemon: DaemonId,
        /// Events, oldest first.
        pub events: Vec<Record>,
        /// How many fell out of the ring.
        pub dropped: u64,
    }
}

impl From<(JobId, Job)> for JobBody {
    fn from((id, job): (JobId, Job)) -> Self {
        let worker = job
            .placement()
            .map(|placement| placement.worker.to_string());
        let state = JobState::from(&job.phase).as_str();
        let message = match job.phase {
            JobPhase::Ended(JobEnd::Failed(text)) => Some(text),
            _ => None,
        };
        Self {
            job: id,
            entry: job.entry.to_string(),
            state: state.to_owned(),
            worker,
            attempts: job.attempts.0,
            progress_permille: job.checkpoint.map_or(0, |saved| saved.progress_permille),
            message,
        }
    }
}

impl From<Listing> for JobsBody {
    fn from(listing: Listing) -> Self {
        let omitted = listing.shards.iter().map(|shard| shard.omitted).sum();
        let jobs = listing.shards.into_iter().flat_map(|shard| shard.jobs);
        Self {
            jobs: jobs.map(JobBody::from).collect(),
            omitted,
            missing: listing.missing,
        }
    }
}

impl From<ChangeRow> for ChangeLine {
    fn from(change: ChangeRow) -> Self {
        Self {
            revision: change.revision,
            entry: change.name,
            change: change.row.change,
            retired: change.row.raw.retired,
        }
    }
}

impl From<&EntryRow> for EntryBody {
    fn from(row: &EntryRow) -> Self {
        Self {
            entry: row.raw.clone(),
            revision: row.revision,
        }
    }
}

/// An answer that reports a fault in one line of JSON.
pub fn error(status: StatusCode, error: impl ToString, help: impl ToString) -> HttpResponse {
    HttpResponse::json(
        status,
        &ErrorBody {
            error: error.to_string(),
            help: help.to_string(),
            retry_after_s: None,
        },
    )
}

/// The answer to a refused caller.
pub fn refused(refusal: &Refusal) -> HttpResponse {
    let status = match refusal {
        Refusal::UnknownEntry(_) | Refusal::UnknownJob(_) => StatusCode::NOT_FOUND,
        Refusal::Retired(_) => StatusCode::GONE,
        Refusal::WrongClass { .. } | Refusal::InProgress { .. } => StatusCode::CONFLICT,
        Refusal::NeverFits { .. } | Refusal::IdReused(_) => StatusCode::UNPROCESSABLE_ENTITY,
        Refusal::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        Refusal::OverLimit { .. } => StatusCode::TOO_MANY_REQUESTS,
        Refusal::Busy { .. }
        | Refusal::TooLate { .. }
        | Refusal::StoreAway { .. }
        | Refusal::NoOwner { .. }
        | Refusal::Draining { .. } => StatusCode::SERVICE_UNAVAILABLE,
    };
    let answer = error(status, refusal, refusal.help()).with(OUTCOME_HEADER, "refused");
    match refusal.retry_after() {
        // Whole seconds, rounded up: a caller that comes back early is refused again.
        Some(wait) => answer.with(
            "retry-after",
            millis(wait).div_ceil(1_000).max(1).to_string(),
        ),
        None => answer,
    }
}
