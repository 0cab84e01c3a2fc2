//! Callers' calls about jobs.

use super::{
    server::note_refusal,
    wire::{JobBody, JobsBody, KEY_HEADER, OUTCOME_HEADER, error},
};
use crate::{
    core::id::{EntryName, JobId, RequestId},
    daemon::{
        Cx,
        jobs::{self, JobReply},
        listing::{self, JobFilter, JobState},
    },
    util::http::{HttpRequest, HttpResponse},
};
use actix_http::StatusCode;

/// `POST /v1/jobs/ENTRY`: 202 once the job is durable.
pub async fn submit(cx: &Cx, entry: EntryName, req: &HttpRequest) -> HttpResponse {
    let key = match req.header(KEY_HEADER).map(RequestId::try_from).transpose() {
        Ok(key) => key,
        Err(e) => return error(StatusCode::BAD_REQUEST, e, "correct `idempotency-key`"),
    };
    let end = jobs::submit(cx, &entry, key.as_ref()).await;
    answer(cx, StatusCode::ACCEPTED, end)
}

/// `GET /v1/jobs/ID`.
pub async fn show(cx: &Cx, job: JobId) -> HttpResponse {
    let end = jobs::show(cx, job).await;
    answer(cx, StatusCode::OK, end)
}

/// `DELETE /v1/jobs/ID`: 202 once the cancel is durable.
pub async fn cancel(cx: &Cx, job: JobId) -> HttpResponse {
    let end = jobs::cancel(cx, job).await;
    answer(cx, StatusCode::ACCEPTED, end)
}

/// `GET /v1/jobs?entry=&state=`.
pub async fn list(cx: &Cx, req: &HttpRequest) -> HttpResponse {
    match job_filter(req) {
        Ok(filter) => {
            let listing = listing::list(cx, &filter).await;
            HttpResponse::json(StatusCode::OK, &JobsBody::from(listing))
        }
        Err(answer) => answer,
    }
}

fn job_filter(req: &HttpRequest) -> Result<JobFilter, HttpResponse> {
    let entry = req.query("entry").map(EntryName::try_from).transpose();
    let entry = entry.map_err(|e| error(StatusCode::BAD_REQUEST, e, "correct `entry`"))?;
    let state = match req.query("state") {
        Some(word) => Some(job_state(word)?),
        None => None,
    };
    Ok(JobFilter { entry, state })
}

fn job_state(word: &str) -> Result<JobState, HttpResponse> {
    let found = JobState::ALL
        .into_iter()
        .find(|state| state.as_str() == word);
    found.ok_or_else(|| {
        let words = JobState::ALL.map(JobState::as_str).join(", ");
        error(
            StatusCode::BAD_REQUEST,
            format!("`{word}` is no state of a job"),
            format!("use one of {words}"),
        )
    })
}

fn answer(cx: &Cx, status: StatusCode, end: JobReply) -> HttpResponse {
    match end {
        JobReply::Job(id, job) => {
            HttpResponse::json(status, &JobBody::from((id, job))).with(OUTCOME_HEADER, "done")
        }
        JobReply::Refused(refusal) => note_refusal(cx, &refusal),
        JobReply::Unknown => {
            let help = "repeat the call with the same `idempotency-key`, or look the job up";
            error(
                StatusCode::BAD_GATEWAY,
                "the call may have taken effect",
                help,
            )
            .with(OUTCOME_HEADER, "unknown")
        }
    }
}
