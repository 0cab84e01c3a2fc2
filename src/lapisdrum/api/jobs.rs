//! HTTP handlers for jobs: submit, show, cancel, list.

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

/// `POST /v1/jobs/ENTRY`: replies 202 once the job is durable.
pub async fn submit(cx: &Cx, entry: EntryName, req: &HttpRequest) -> HttpResponse {
    let key = match req.header(KEY_HEADER).map(RequestId::try_from).transpose() {
        Ok(key) => key,
        Err(e) => return error(StatusCode::BAD_REQUEST, e, "correct `idempotency-key`"),
    };
    let end = jobs::submit(cx, &entry, key.as_ref()).await;
    job_response(cx, StatusCode::ACCEPTED, end)
}

/// `GET /v1/jobs/ID`: the present state of a job.
pub async fn show(cx: &Cx, job: JobId) -> HttpResponse {
    let end = jobs::show(cx, job).await;
    job_response(cx, StatusCode::OK, end)
}

/// `DELETE /v1/jobs/ID`: replies 202 once the cancellation is durable.
pub async fn cancel(cx: &Cx, job: JobId) -> HttpResponse {
    let end = jobs::cancel(cx, job).await;
    job_response(cx, StatusCode::ACCEPTED, end)
}

/// `GET /v1/jobs?entry=&state=`: the matching jobs of all shards whose owners answer.
pub async fn list(cx: &Cx, req: &HttpRequest) -> HttpResponse {
    match job_filter(req) {
        Ok(filter) => {
            let listing = listing::list(cx, &filter).await;
            HttpResponse::json(StatusCode::OK, &JobsBody::from(listing))
        }
        Err(response) => response,
    }
}

fn job_filter(req: &HttpRequest) -> Result<JobFilter, HttpResponse> {
    let entry = req.query("entry").map(EntryName::try_from).transpose();
    let entry = entry.map_err(|e| error(StatusCode::BAD_REQUEST, e, "correct `entry`"))?;
    let state = match req.query("state") {
        Some(name) => Some(job_state(name)?),
        None => None,
    };
    Ok(JobFilter { entry, state })
}

fn job_state(name: &str) -> Result<JobState, HttpResponse> {
    let found = JobState::ALL
        .into_iter()
        .find(|state| state.as_str() == name);
    found.ok_or_else(|| {
        let names = JobState::ALL.map(JobState::as_str).join(", ");
        error(
            StatusCode::BAD_REQUEST,
            format!("`{name}` is no state of a job"),
            format!("use one of {names}"),
        )
    })
}

fn job_response(cx: &Cx, status: StatusCode, end: JobReply) -> HttpResponse {
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
