//! The client of a daemon's HTTP interface, for the command line, tests and load driver.

use super::{
    status::StatusBody,
    wire::{
        CHANGE_HEADER, CatalogueBody, ChangeBody, EntryBody, ErrorBody, HistoryBody, JobBody,
        JobsBody, KEY_HEADER, TimelineBody,
    },
};
use crate::{
    core::{
        catalogue::RawEntry,
        id::{ChangeId, JobId, RequestId, Revision, WorkerId},
    },
    timeline::event::Filter,
};
use actix_http::{
    Method, StatusCode,
    header::{HeaderMap, RETRY_AFTER},
};
use awc::Client;
use serde::{Serialize, de::DeserializeOwned};
use std::{fmt, time::Duration};

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;
/// Header with the revision that a change was made from.
const IF_MATCH: &str = "if-match";

/// A call that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// The daemon answered with a fault, and perhaps with the time to come back.
    Fault(StatusCode, ErrorBody),
    /// The daemon did not answer.
    Silent(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fault(status, body) => {
                write!(
                    f,
                    "{} ({}); help: {}",
                    body.error,
                    status.as_u16(),
                    body.help
                )
            }
            Self::Silent(what) => write!(f, "the daemon did not answer: {what}"),
        }
    }
}

impl std::error::Error for ClientError {}

impl ClientError {
    /// Whether the call may have taken effect all the same.
    pub fn is_unknown(&self) -> bool {
        match self {
            Self::Silent(_) => true,
            Self::Fault(status, _) => *status == StatusCode::BAD_GATEWAY,
        }
    }

    /// When the daemon, which did nothing, asks to be asked again.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Fault(_, body) => body.retry_after_s.map(Duration::from_secs),
            Self::Silent(_) => None,
        }
    }
}

/// A change id that nobody else draws.
pub fn new_change_id() -> ChangeId {
    let text = format!("{:016x}", rand::random::<u64>());
    ChangeId::try_from(text).unwrap_or_else(|e| unreachable!("a drawn id is valid: {e}"))
}

/// The whole seconds of a `retry-after` header.
fn retry_after(headers: &HeaderMap) -> Option<u64> {
    headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()
}

/// The query of these parameters, with its question mark; empty when all are absent. The values are
/// names and numbers, in which nothing needs an escape.
fn query(parameters: &[(&str, Option<&str>)]) -> String {
    let present = parameters
        .iter()
        .filter_map(|(name, value)| Some(format!("{name}={}", (*value)?)));
    let joined = present.collect::<Vec<_>>().join("&");
    match joined.is_empty() {
        true => joined,
        false => format!("?{joined}"),
    }
}

/// Speaks to one daemon.
#[derive(Clone)]
pub struct DaemonClient {
    http: Client,
    base: String,
}

impl DaemonClient {
    /// A client of the daemon at `address` that gives each call `timeout`.
    pub fn new(address: &str, timeout: Duration) -> Self {
        let http = Client::builder()
            .timeout(timeout)
            .disable_redirects()
            .finish();
        Self {
            http,
            base: format!("http://{address}"),
        }
    }

    /// Adds or changes an entry under a change id of its own.
    pub async fn put_entry(
        &self,
        raw: &RawEntry,
        if_match: Option<Revision>,
    ) -> Result<ChangeBody, ClientError> {
        self.put_entry_as(raw, if_match, &new_change_id()).await
    }

    /// Adds or changes an entry; a repeat under the same change id is made at most once.
    pub async fn put_entry_as(
        &self,
        raw: &RawEntry,
        if_match: Option<Revision>,
        change: &ChangeId,
    ) -> Result<ChangeBody, ClientError> {
        let path = format!("/v1/catalogue/{}", raw.name);
        let etag = if_match.map(|revision| format!("\"{revision}\""));
        let mut headers = vec![(CHANGE_HEADER, change.as_str())];
        headers.extend(etag.as_deref().map(|etag| (IF_MATCH, etag)));
        self.call(Method::PUT, &path, &headers, Some(raw)).await
    }

    /// Retires an entry under a change id of its own.
    pub async fn retire_entry(
        &self,
        name: &str,
        if_match: Revision,
    ) -> Result<ChangeBody, ClientError> {
        self.retire_entry_as(name, if_match, &new_change_id()).await
    }

    /// Retires an entry; a repeat under the same change id is made at most once.
    pub async fn retire_entry_as(
        &self,
        name: &str,
        if_match: Revision,
        change: &ChangeId,
    ) -> Result<ChangeBody, ClientError> {
        let path = format!("/v1/catalogue/{name}");
        let etag = format!("\"{if_match}\"");
        let headers = [(CHANGE_HEADER, change.as_str()), (IF_MATCH, &etag)];
        self.call::<_, ()>(Method::DELETE, &path, &headers, None)
            .await
    }

    /// Reads an entry.
    pub async fn entry(&self, name: &str) -> Result<EntryBody, ClientError> {
        self.get(&format!("/v1/catalogue/{name}")).await
    }

    /// Reads the catalogue.
    pub async fn catalogue(&self) -> Result<CatalogueBody, ClientError> {
        self.get("/v1/catalogue").await
    }

    /// Reads the accepted changes.
    pub async fn history(&self) -> Result<HistoryBody, ClientError> {
        self.get("/v1/history").await
    }

    /// Hands a job in.
    pub async fn submit_job(&self, entry: &str) -> Result<JobBody, ClientError> {
        self.submit(entry, &[]).await
    }

    /// Hands a job in; a repeat under the same key finds the first one's job.
    pub async fn submit_job_as(
        &self,
        entry: &str,
        key: &RequestId,
    ) -> Result<JobBody, ClientError> {
        self.submit(entry, &[(KEY_HEADER, key.as_str())]).await
    }

    async fn submit(&self, entry: &str, headers: &[(&str, &str)]) -> Result<JobBody, ClientError> {
        let path = format!("/v1/jobs/{entry}");
        self.call::<_, ()>(Method::POST, &path, headers, None).await
    }

    /// Reads a job.
    pub async fn job(&self, job: &str) -> Result<JobBody, ClientError> {
        self.get(&format!("/v1/jobs/{job}")).await
    }

    /// Lists jobs; what is absent matches every job.
    pub async fn jobs(
        &self,
        entry: Option<&str>,
        state: Option<&str>,
    ) -> Result<JobsBody, ClientError> {
        let query = query(&[("entry", entry), ("state", state)]);
        self.get(&format!("/v1/jobs{query}")).await
    }

    /// Cancels a job.
    pub async fn cancel_job(&self, job: &str) -> Result<JobBody, ClientError> {
        self.call::<_, ()>(Method::DELETE, &format!("/v1/jobs/{job}"), &[], None)
            .await
    }

    /// Reads what the daemon knows of daemons, shards, workers and the platform.
    pub async fn status(&self) -> Result<StatusBody, ClientError> {
        self.get("/v1/status").await
    }

    /// Reads the daemon's part of the time line.
    pub async fn timeline(&self) -> Result<TimelineBody, ClientError> {
        self.timeline_of(&Filter::default()).await
    }

    /// Reads the wanted events of the daemon's part of the time line.
    pub async fn timeline_of(&self, filter: &Filter) -> Result<TimelineBody, ClientError> {
        let since = filter.since.map(|since| since.to_string());
        let query = query(&[
            ("job", filter.job.as_ref().map(JobId::as_str)),
            ("worker", filter.worker.as_ref().map(WorkerId::as_str)),
            ("since", since.as_deref()),
        ]);
        self.get(&format!("/v1/timeline{query}")).await
    }

    /// Whether the daemon may be sent callers.
    pub async fn is_ready(&self) -> bool {
        let answer = self.http.get(format!("{}/readyz", self.base)).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.call::<T, ()>(Method::GET, path, &[], None).await
    }

    async fn call<T: DeserializeOwned, B: Serialize>(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<&B>,
    ) -> Result<T, ClientError> {
        let mut req = self.http.request(method, format!("{}{path}", self.base));
        for (name, value) in headers {
            req = req.insert_header((*name, *value));
        }
        let sent = match body {
            Some(body) => req.send_json(body).await,
            None => req.send().await,
        };
        let silent = |e: String| ClientError::Silent(e);
        let mut answer = sent.map_err(|e| silent(e.to_string()))?;
        let bytes = answer.body().limit(MAX_ANSWER_BYTES).await;
        let bytes = bytes.map_err(|e| silent(e.to_string()))?;
        if answer.status().is_success() {
            return serde_json::from_slice(&bytes).map_err(|e| silent(e.to_string()));
        }
        match serde_json::from_slice(&bytes) {
            Ok(fault) => {
                let retry_after_s = retry_after(answer.headers());
                let fault = ErrorBody {
                    retry_after_s,
                    ..fault
                };
                Err(ClientError::Fault(answer.status(), fault))
            }
            Err(_) => Err(silent(answer.status().to_string())),
        }
    }
}
