//! HTTP server for callers and operators: routing, request handling, metrics and health checks.

use super::{
    jobs, operators, status,
    wire::{
        CALLER_HEADER, DEADLINE_HEADER, KEY_HEADER, OUTCOME_HEADER, REQUEST_HEADER, error,
        refusal_response,
    },
};
use crate::{
    core::{
        id::{EntryName, JobId, RequestId},
        outcome::Refusal,
    },
    daemon::{
        Cx,
        metrics::{EntryLabel, ReasonLabel, RequestLabels},
        router::{self, RunEnd, RunRequest},
    },
    timeline::event::Happening,
    util::http::{self, BODY_RETRY, BodyFault, BodyPolicy, HttpRequest, HttpResponse},
};
use actix_http::{Method, RequestHead, StatusCode};
use actix_rt::net::TcpListener;
use bytes::Bytes;
use std::{rc::Rc, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Serves until the daemon drains and the last request in flight has its response.
pub async fn serve(cx: Cx, listener: TcpListener) {
    let stop = cx.draining.subscribe();
    let policy_cx = Rc::clone(&cx);
    let policy = move |head: &RequestHead| body_policy(&policy_cx, head);
    let intake = Rc::clone(&cx.intake);
    http::serve_with(listener, intake, policy, stop, move |received| {
        let cx = Rc::clone(&cx);
        async move {
            match received {
                Ok(req) => route(&cx, req).await,
                Err(fault) => body_fault_response(&cx, fault),
            }
        }
    })
    .await;
}

/// Collects bodies only for the calls that have one. The limit of a request is at most the entry's
/// own, and a request that would be refused whatever its body holds is refused at once.
fn body_policy(cx: &Cx, head: &RequestHead) -> BodyPolicy {
    let limit = cx.cfg.requests.max_body_bytes;
    let collect = |limit| BodyPolicy::Collect {
        limit: usize::try_from(limit).unwrap_or(usize::MAX),
    };
    let path = head.uri.path().trim_matches('/');
    let parts: Vec<&str> = path.split('/').collect();
    match (&head.method, parts.as_slice()) {
        (&Method::POST, ["v1", "run", entry]) => match EntryName::try_from(*entry) {
            Ok(name) => match router::callable(cx, &name) {
                Ok(entry) => collect(limit.min(entry.limits.body_bytes)),
                Err(refusal) => BodyPolicy::Answer(refuse_run(cx, entry, &refusal)),
            },
            Err(_) => BodyPolicy::Ignore,
        },
        (&Method::PUT, ["v1", "catalogue", _]) => collect(limit),
        _ => BodyPolicy::Ignore,
    }
}

fn refuse_run(cx: &Cx, entry: &str, refusal: &Refusal) -> HttpResponse {
    let response = note_refusal(cx, refusal);
    count_run(cx, entry, Duration::ZERO, "refused");
    response
}

fn body_fault_response(cx: &Cx, fault: BodyFault) -> HttpResponse {
    let response = match fault {
        BodyFault::TooLarge { limit } => error(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("the body is larger than {limit} bytes"),
            "send less, or ask an operator to raise the entry's `body_bytes`",
        ),
        BodyFault::Incomplete => error(
            StatusCode::BAD_REQUEST,
            "the body broke off",
            "send the request again; it was not run",
        ),
        BodyFault::Draining => {
            let retry_after = BODY_RETRY;
            return note_refusal(cx, &Refusal::Draining { retry_after });
        }
        BodyFault::OutOfMemory => {
            let retry_after = BODY_RETRY;
            return note_refusal(cx, &Refusal::OutOfMemory { retry_after });
        }
    };
    response.with(OUTCOME_HEADER, "refused")
}

async fn route(cx: &Cx, req: HttpRequest) -> HttpResponse {
    let path = req.path.clone();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (&req.method, parts.as_slice()) {
        (&Method::POST, ["v1", "run", entry]) => run(cx, entry, req).await,
        (&Method::POST, ["v1", "jobs", entry]) => {
            with_name(entry, |entry| jobs::submit(cx, entry, &req)).await
        }
        (&Method::GET, ["v1", "jobs"]) => jobs::list(cx, &req).await,
        (&Method::GET, ["v1", "jobs", job]) => {
            with_name(job, |job: JobId| jobs::show(cx, job)).await
        }
        (&Method::DELETE, ["v1", "jobs", job]) => {
            with_name(job, |job: JobId| jobs::cancel(cx, job)).await
        }
        (&Method::PUT, ["v1", "catalogue", entry]) => {
            with_name(entry, |entry| operators::put_entry(cx, entry, &req)).await
        }
        (&Method::GET, ["v1", "catalogue", entry]) => {
            with_name(entry, |entry: EntryName| async move {
                operators::get_entry(cx, &entry)
            })
            .await
        }
        (&Method::DELETE, ["v1", "catalogue", entry]) => {
            with_name(entry, |entry| operators::retire_entry(cx, entry, &req)).await
        }
        (&Method::GET, ["v1", "catalogue"]) => operators::list(cx),
        (&Method::GET, ["v1", "history"]) => operators::history(cx).await,
        (&Method::GET, ["v1", "timeline"]) => operators::timeline(cx, &req),
        (&Method::GET, ["v1", "status"]) => status::show(cx),
        (&Method::GET, ["metrics"]) => metrics(cx),
        (&Method::GET, ["healthz"]) => HttpResponse::empty(StatusCode::OK),
        (&Method::GET, ["readyz"]) => readiness(cx),
        _ => error(
            StatusCode::NOT_FOUND,
            format!("nothing at {} {}", req.method, req.path),
            "see the README for the paths",
        ),
    }
}

/// Parses a name from the path and calls `handler` with it; replies 400 if the name is invalid.
async fn with_name<T, F>(raw: &str, handler: impl FnOnce(T) -> F) -> HttpResponse
where
    T: for<'a> TryFrom<&'a str, Error = crate::core::id::InvalidName>,
    F: Future<Output = HttpResponse>,
{
    match T::try_from(raw) {
        Ok(name) => handler(name).await,
        Err(e) => error(StatusCode::BAD_REQUEST, e, "correct the name in the path"),
    }
}

fn metrics(cx: &Cx) -> HttpResponse {
    let text = Bytes::from(cx.metrics.text());
    HttpResponse::bytes(StatusCode::OK, text).with(
        "content-type",
        "application/openmetrics-text; version=1.0.0; charset=utf-8",
    )
}

fn readiness(cx: &Cx) -> HttpResponse {
    match cx.is_ready() {
        true => HttpResponse::empty(StatusCode::OK),
        false => HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn run(cx: &Cx, entry: &str, req: HttpRequest) -> HttpResponse {
    let started = cx.clock.now();
    let (response, outcome) = match run_request(entry, &req) {
        Ok(parsed) => run_response(cx, router::run(cx, parsed).await),
        Err(response) => (response.with(OUTCOME_HEADER, "refused"), "refused"),
    };
    count_run(cx, entry, cx.clock.now().since(started), outcome);
    response
}

/// Counts a request that was answered after `took`.
fn count_run(cx: &Cx, entry: &str, took: Duration, outcome: &'static str) {
    let known = EntryName::try_from(entry).ok();
    let known = known.filter(|name| cx.catalogue.borrow().rows.contains_key(name));
    // Only entries of the catalogue become labels: else callers could add label values without
    // bound.
    let Some(entry) = known.map(String::from) else {
        return;
    };
    let label = EntryLabel {
        entry: entry.clone(),
    };
    let seconds = cx.metrics.request_seconds.get_or_create(&label);
    seconds.observe(took.as_secs_f64());
    let label = RequestLabels { entry, outcome };
    cx.metrics.requests.get_or_create(&label).inc();
}

fn run_request(entry: &str, req: &HttpRequest) -> Result<RunRequest, HttpResponse> {
    let bad = |e: String, help: &str| error(StatusCode::BAD_REQUEST, e, help);
    let entry = EntryName::try_from(entry)
        .map_err(|e| bad(e.to_string(), "correct the entry in the path"))?;
    let deadline = match req.header(DEADLINE_HEADER).map(str::parse::<u64>) {
        None => None,
        Some(Ok(ms)) if ms > 0 => Some(Duration::from_millis(ms)),
        Some(_) => {
            return Err(bad(
                format!("`{DEADLINE_HEADER}` is not a whole number of milliseconds above 0"),
                "correct the header or leave it out",
            ));
        }
    };
    let key = req.header(KEY_HEADER).map(RequestId::try_from).transpose();
    let key = key.map_err(|e| bad(e.to_string(), "correct `idempotency-key`"))?;
    Ok(RunRequest {
        entry,
        body: req.body.clone(),
        content_type: req.header("content-type").map(str::to_owned),
        deadline,
        key,
        caller: caller_hash(req),
    })
}

/// Identifies the caller for fairness between callers: a hash of the name that a gateway passes
/// on, else of the peer address.
fn caller_hash(req: &HttpRequest) -> u64 {
    match (req.header(CALLER_HEADER), req.peer) {
        (Some(name), _) => xxh3_64(name.as_bytes()),
        (None, Some(peer)) => xxh3_64(peer.to_string().as_bytes()),
        (None, None) => 0,
    }
}

fn run_response(cx: &Cx, end: RunEnd) -> (HttpResponse, &'static str) {
    match end {
        RunEnd::Done(id, answer) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut res = HttpResponse::bytes(status, answer.body)
                .with(OUTCOME_HEADER, "done")
                .with(REQUEST_HEADER, id.to_string());
            if let Some(content_type) = answer.content_type {
                res = res.with("content-type", content_type);
            }
            (res, "done")
        }
        RunEnd::DoneBefore(id, status) => {
            let res = error(
                StatusCode::GONE,
                format!("done before with status {status}; its answer was too large to keep"),
                "the request was run once and is not run again",
            )
            .with(OUTCOME_HEADER, "done")
            .with(REQUEST_HEADER, id.to_string());
            (res, "done")
        }
        RunEnd::Refused(refusal) => (note_refusal(cx, &refusal), "refused"),
        RunEnd::Unknown(id, why) => {
            let help = "it may have run; ask again only if running twice does no harm";
            let res = error(
                StatusCode::BAD_GATEWAY,
                format!("outcome unknown: {why}"),
                help,
            )
            .with(OUTCOME_HEADER, "unknown")
            .with(REQUEST_HEADER, id.to_string());
            (res, "unknown")
        }
    }
}

/// Counts a refusal and returns its response. Refusals because of load get no log line or event:
/// their number would grow with the overload.
pub fn note_refusal(cx: &Cx, refusal: &Refusal) -> HttpResponse {
    let reason = refusal.reason();
    cx.metrics
        .refusals
        .get_or_create(&ReasonLabel { reason })
        .inc();
    if let Refusal::UnknownEntry(entry) = refusal {
        cx.timeline.record(Happening::RequestRefused {
            entry: entry.to_string(),
            reason: reason.to_owned(),
        });
    }
    refusal_response(refusal)
}
