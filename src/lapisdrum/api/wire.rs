//! Bodies and headers of the HTTP API for callers and operators.

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

/// Header of each response to a caller with the outcome: `done`, `refused` or `unknown`.
pub const OUTCOME_HEADER: &str = "lapisdrum-outcome";
/// Header of a response with the id of the request.
pub const REQUEST_HEADER: &str = "lapisdrum-request";
/// Header with the time in milliseconds within which the caller needs the response.
pub const DEADLINE_HEADER: &str = "lapisdrum-deadline-ms";
/// Header with the caller's own id for a request or job, by which a repeat is recognised.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header in which a gateway names the caller on whose behalf it sends the request.
pub const CALLER_HEADER: &str = "lapisdrum-caller";
/// Header with the operator's id for a catalogue change, by which a repeat is recognised.
pub const CHANGE_HEADER: &str = "lapisdrum-change";

data! {
    /// Body of each error response.
    pub struct ErrorBody {
        /// Description of the error.
        pub error: String,
        /// What the reader can do about it.
        pub help: String,
        /// Seconds after which to retry: the client copies it here from the `retry-after` header.
        #[serde(skip)]
        pub retry_after_s: Option<u64>,
    }

    /// State of a job as shown to callers.
    pub struct JobBody {
        /// Id of the job.
        pub job: JobId,
        /// Name of the catalogue entry that the job was submitted to.
        pub entry: String,
        /// `waiting`, `running`, `done`, `failed` or `cancelled`.
        pub state: String,
        /// Worker that the job is placed on; none while it is not placed.
        pub worker: Option<String>,
        /// Number of attempts so far.
        pub attempts: u32,
        /// Progress at the last checkpoint, in thousandths; 0 without one.
        pub progress_permille: u32,
        /// Reason of the failure; only for failed jobs.
        pub message: Option<String>,
    }

    /// Jobs of all shards that were reached.
    pub struct JobsBody {
        /// Jobs grouped by shard, oldest first within a shard.
        pub jobs: Vec<JobBody>,
        /// Number of matching jobs that are not in `jobs`: the oldest of each shard, beyond the limit
        /// per shard.
        pub omitted: usize,
        /// Shards whose owners did not answer; their jobs are not in the list.
        pub missing: Vec<ShardId>,
    }

    /// An accepted change of the catalogue.
    pub struct ChangeSummary {
        /// Catalogue revision that the change created.
        pub revision: Revision,
        /// Name of the changed entry.
        pub entry: EntryName,
        /// The operator's id for the change.
        pub change: ChangeId,
        /// Whether the change left the entry retired.
        pub retired: bool,
    }

    /// Reply to `GET /v1/history`.
    pub struct HistoryBody {
        /// Changes that the platform's table still has, newest first.
        pub changes: Vec<ChangeSummary>,
    }

    /// A catalogue entry with its revision.
    pub struct EntryBody {
        /// The entry as the operator wrote it.
        pub entry: RawEntry,
        /// Revision that last changed the entry; send it as `if-match` to change the entry.
        pub revision: Revision,
    }

    /// The whole catalogue.
    pub struct CatalogueBody {
        /// Revision in force at the answering daemon.
        pub revision: Revision,
        /// All entries, retired ones included.
        pub entries: Vec<EntryBody>,
    }

    /// Reply to an accepted change of the catalogue.
    pub struct ChangeBody {
        /// Catalogue revision that the change created.
        pub revision: Revision,
    }

    /// Reply to `GET /v1/timeline`: the events that one daemon recorded.
    pub struct TimelineBody {
        /// Daemon that recorded the events.
        pub daemon: DaemonId,
        /// Matching events, oldest first.
        pub events: Vec<Record>,
        /// Number of events that newer ones have overwritten in the daemon's ring buffer.
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

impl From<ChangeRow> for ChangeSummary {
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

/// Builds an error response with an [`ErrorBody`].
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

/// Builds the response to a refused call, with `retry-after` if a retry can succeed.
pub fn refusal_response(refusal: &Refusal) -> HttpResponse {
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
        | Refusal::Draining { .. }
        | Refusal::OutOfMemory { .. } => StatusCode::SERVICE_UNAVAILABLE,
    };
    let response = error(status, refusal, refusal.help()).with(OUTCOME_HEADER, "refused");
    match refusal.retry_after() {
        // Rounded up to whole seconds: a caller that retries early would be refused again.
        Some(wait) => response.with(
            "retry-after",
            millis(wait).div_ceil(1_000).max(1).to_string(),
        ),
        None => response,
    }
}
