//! Callers' calls about jobs.

use super::{
    server::note_refusal,
    wire::{JobBody, KEY_HEADER, OUTCOME_HEADER, error},
};
use crate::{
    core::id::{EntryName, JobId, RequestId},
    daemon::{
        Cx,
        jobs::{self, JobAnswer},
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

fn answer(cx: &Cx, status: StatusCode, end: JobAnswer) -> HttpResponse {
    match end {
        JobAnswer::Job(id, job) => {
            HttpResponse::json(status, &JobBody::from((id, job))).with(OUTCOME_HEADER, "done")
        }
        JobAnswer::Refused(refusal) => note_refusal(cx, &refusal),
        JobAnswer::Unknown => {
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
