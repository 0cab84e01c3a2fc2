//! HTTP handlers for operators: the catalogue and the time line.

use super::wire::{
    CHANGE_HEADER, CatalogueBody, ChangeBody, ChangeSummary, EntryBody, HistoryBody, TimelineBody,
    error,
};
use crate::{
    core::{
        catalogue::RawEntry,
        id::{ChangeId, EntryName, JobId, Revision, WorkerId},
    },
    daemon::{
        Cx,
        catalogue::{self, ChangeOutcome},
    },
    state::catalogue::ChangeRefusal,
    timeline::event::Filter,
    util::http::{HttpRequest, HttpResponse},
};
use actix_http::StatusCode;

/// Value of `retry-after`, in seconds, while the platform's table is unavailable.
const STORE_RETRY_AFTER_S: &str = "2";
/// Maximum number of changes in a reply to `GET /v1/history`.
const HISTORY_LIMIT: usize = 1_000;

/// `PUT /v1/catalogue/ENTRY`: adds or changes an entry.
pub async fn put_entry(cx: &Cx, name: EntryName, req: &HttpRequest) -> HttpResponse {
    let raw: RawEntry = match req.json() {
        Ok(raw) => raw,
        Err(e) => {
            let help = "send the entry as a JSON object; `lapisdrum check FILE` names every fault";
            return error(
                StatusCode::BAD_REQUEST,
                format!("the entry can't be read: {e}"),
                help,
            );
        }
    };
    if raw.name != name.as_str() {
        let message = format!("the path names `{name}` and the body `{}`", raw.name);
        return error(
            StatusCode::BAD_REQUEST,
            message,
            "name the same entry in both",
        );
    }
    change(cx, raw, req).await
}

/// `DELETE /v1/catalogue/ENTRY`: retires an entry; work that was already accepted is finished.
pub async fn retire_entry(cx: &Cx, name: EntryName, req: &HttpRequest) -> HttpResponse {
    let row = cx.catalogue.borrow().rows.get(&name).cloned();
    match row {
        Some(row) => {
            change(
                cx,
                RawEntry {
                    retired: true,
                    ..row.raw
                },
                req,
            )
            .await
        }
        None => entry_not_found(&name),
    }
}

/// `GET /v1/catalogue/ENTRY`: the entry, with its revision also as `etag`.
pub fn get_entry(cx: &Cx, name: &EntryName) -> HttpResponse {
    match cx.catalogue.borrow().rows.get(name) {
        Some(row) => HttpResponse::json(StatusCode::OK, &EntryBody::from(row))
            .with("etag", format!("\"{}\"", row.revision)),
        None => entry_not_found(name),
    }
}

/// `GET /v1/catalogue`: all entries, retired ones included.
pub fn list(cx: &Cx) -> HttpResponse {
    let catalogue = cx.catalogue.borrow();
    let entries = catalogue.rows.values().map(EntryBody::from).collect();
    HttpResponse::json(
        StatusCode::OK,
        &CatalogueBody {
            revision: catalogue.revision,
            entries,
        },
    )
}

/// `GET /v1/timeline?job=&worker=&since=`: the matching events that this daemon recorded. `since`
/// is the time of an event's stamp, as an integer.
pub fn timeline(cx: &Cx, req: &HttpRequest) -> HttpResponse {
    let filter = match event_filter(req) {
        Ok(filter) => filter,
        Err(response) => return response,
    };
    let (mut events, dropped) = cx.timeline.read();
    events.retain(|record| filter.matches(record));
    let body = TimelineBody {
        daemon: cx.me.daemon.clone(),
        events,
        dropped,
    };
    HttpResponse::json(StatusCode::OK, &body)
}

fn event_filter(req: &HttpRequest) -> Result<Filter, HttpResponse> {
    let bad = |e: String, help: &str| error(StatusCode::BAD_REQUEST, e, help);
    let job = req.query("job").map(JobId::try_from).transpose();
    let worker = req.query("worker").map(WorkerId::try_from).transpose();
    let since = req.query("since").map(str::parse::<u64>).transpose();
    Ok(Filter {
        job: job.map_err(|e| bad(e.to_string(), "correct `job`"))?,
        worker: worker.map_err(|e| bad(e.to_string(), "correct `worker`"))?,
        since: since.map_err(|e| bad(e.to_string(), "`since` is the time of a stamp"))?,
    })
}

/// `GET /v1/history`: the accepted changes that the table still has, newest first.
pub async fn history(cx: &Cx) -> HttpResponse {
    match catalogue::history(cx, HISTORY_LIMIT).await {
        Ok(rows) => {
            let changes = rows.into_iter().map(ChangeSummary::from);
            let changes = changes.collect();
            HttpResponse::json(StatusCode::OK, &HistoryBody { changes })
        }
        Err(e) => error(
            StatusCode::SERVICE_UNAVAILABLE,
            e,
            "come back after the time in retry-after",
        )
        .with("retry-after", STORE_RETRY_AFTER_S),
    }
}

fn entry_not_found(name: &EntryName) -> HttpResponse {
    let message = format!("no entry `{name}` in the catalogue");
    error(
        StatusCode::NOT_FOUND,
        message,
        "`lapisdrum catalogue list` shows the entries",
    )
}

async fn change(cx: &Cx, raw: RawEntry, req: &HttpRequest) -> HttpResponse {
    let if_match = match req.header("if-match").map(parse_etag) {
        None => None,
        Some(Some(revision)) => Some(revision),
        Some(None) => {
            let help = "send the revision that a read of the entry gave, such as \"12\"";
            return error(StatusCode::BAD_REQUEST, "`if-match` is no revision", help);
        }
    };
    let change = match req.header(CHANGE_HEADER) {
        Some(raw) => ChangeId::try_from(raw),
        None => ChangeId::try_from(format!("{:016x}", rand::random::<u64>())),
    };
    let change = match change {
        Ok(change) => change,
        Err(e) => return error(StatusCode::BAD_REQUEST, e, "correct `lapisdrum-change`"),
    };
    change_response(catalogue::change(cx, raw, if_match, change).await)
}

fn change_response(end: ChangeOutcome) -> HttpResponse {
    match end {
        ChangeOutcome::Accepted(revision) => {
            HttpResponse::json(StatusCode::OK, &ChangeBody { revision })
                .with("etag", format!("\"{revision}\""))
        }
        ChangeOutcome::Refused(ChangeRefusal::Conflict { current }) => error(
            StatusCode::PRECONDITION_FAILED,
            format!("conflict: the entry is at revision {current}; nothing was changed"),
            "read the entry, look at the other change, and send yours again",
        ),
        ChangeOutcome::Refused(ChangeRefusal::Unconditional { current }) => error(
            StatusCode::PRECONDITION_REQUIRED,
            format!("the entry exists at revision {current} and `if-match` is missing"),
            "send `if-match` with the revision that you mean to change",
        ),
        ChangeOutcome::Invalid(faults) => error(
            StatusCode::UNPROCESSABLE_ENTITY,
            faults,
            "correct the entry; nothing was changed",
        ),
        ChangeOutcome::StoreAway => error(
            StatusCode::SERVICE_UNAVAILABLE,
            "the platform's table can't be reached; nothing was changed",
            "come back after the time in retry-after",
        )
        .with("retry-after", STORE_RETRY_AFTER_S),
        ChangeOutcome::Unknown => error(
            StatusCode::BAD_GATEWAY,
            "the change may be in: its answer was lost",
            "repeat it with the same `lapisdrum-change` header; it is made at most once",
        ),
    }
}

fn parse_etag(raw: &str) -> Option<Revision> {
    raw.trim().trim_matches('"').parse().ok().map(Revision)
}
