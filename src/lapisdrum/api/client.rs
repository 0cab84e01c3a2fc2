//! Client of a daemon's HTTP API, for the command line, the tests and the load driver.

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

/// Largest response body that the client reads.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;
/// Header with the revision that a change is based on.
const IF_MATCH: &str = "if-match";

/// A call that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// The daemon replied with an error status and an error body.
    Fault(StatusCode, ErrorBody),
    /// No usable reply arrived: no connection, a time-out, or a body that can't be decoded. The
    /// daemon may have carried out the call.
    Unanswered(String),
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
            Self::Unanswered(reason) => write!(f, "the daemon did not answer: {reason}"),
        }
    }
}

impl std::error::Error for ClientError {}

impl ClientError {
    /// Whether the call may have taken effect although it failed.
    pub fn is_outcome_unknown(&self) -> bool {
        match self {
            Self::Unanswered(_) => true,
            Self::Fault(status, _) => *status == StatusCode::BAD_GATEWAY,
        }
    }

    /// Delay after which to retry, if the daemon refused the call and named one.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Fault(_, body) => body.retry_after_s.map(Duration::from_secs),
            Self::Unanswered(_) => None,
        }
    }
}

/// Returns a random change id, unique with near certainty.
pub fn new_change_id() -> ChangeId {
    let text = format!("{:016x}", rand::random::<u64>());
    ChangeId::try_from(text).unwrap_or_else(|e| unreachable!("a generated id is valid: {e}"))
}

/// Seconds given by the `retry-after` header; none if it is absent or an HTTP date.
fn retry_after(headers: &HeaderMap) -> Option<u64> {
    headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()
}

/// Builds a query string that starts with `?`; empty if all parameters are absent. Values are not
/// escaped: they are names and numbers, which need none.
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

/// Calls the HTTP API of one daemon.
#[derive(Clone)]
pub struct DaemonClient {
    http: Client,
    base: String,
}

impl DaemonClient {
    /// Creates a client of the daemon at `address` (host and port); each call may take `timeout`.
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

    /// Adds or changes an entry under a new change id.
    pub async fn put_entry(
        &self,
        raw: &RawEntry,
        if_match: Option<Revision>,
    ) -> Result<ChangeBody, ClientError> {
        self.put_entry_as(raw, if_match, &new_change_id()).await
    }

    /// Adds or changes an entry. Repeating the call with the same change id is safe: the change is
    /// made at most once.
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

    /// Retires an entry under a new change id.
    pub async fn retire_entry(
        &self,
        name: &str,
        if_match: Revision,
    ) -> Result<ChangeBody, ClientError> {
        self.retire_entry_as(name, if_match, &new_change_id()).await
    }

    /// Retires an entry. Repeating the call with the same change id is safe: the change is made at
    /// most once.
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

    /// Reads a catalogue entry and the revision that wrote it.
    pub async fn entry(&self, name: &str) -> Result<EntryBody, ClientError> {
        self.get(&format!("/v1/catalogue/{name}")).await
    }

    /// Reads the catalogue in force at the daemon.
    pub async fn catalogue(&self) -> Result<CatalogueBody, ClientError> {
        self.get("/v1/catalogue").await
    }

    /// Reads the accepted changes of the catalogue, newest first.
    pub async fn history(&self) -> Result<HistoryBody, ClientError> {
        self.get("/v1/history").await
    }

    /// Submits a job of `entry`. A repeat submits another job.
    pub async fn submit_job(&self, entry: &str) -> Result<JobBody, ClientError> {
        self.submit(entry, &[]).await
    }

    /// Submits a job of `entry`. A repeat with the same key returns the job of the first call.
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

    /// Reads the present state of a job.
    pub async fn job(&self, job: &str) -> Result<JobBody, ClientError> {
        self.get(&format!("/v1/jobs/{job}")).await
    }

    /// Lists jobs of an entry, in a state, or both; an absent filter matches every job.
    pub async fn jobs(
        &self,
        entry: Option<&str>,
        state: Option<&str>,
    ) -> Result<JobsBody, ClientError> {
        let query = query(&[("entry", entry), ("state", state)]);
        self.get(&format!("/v1/jobs{query}")).await
    }

    /// Cancels a job; a second cancel of the same job changes nothing.
    pub async fn cancel_job(&self, job: &str) -> Result<JobBody, ClientError> {
        self.call::<_, ()>(Method::DELETE, &format!("/v1/jobs/{job}"), &[], None)
            .await
    }

    /// Reads what the daemon itself knows about daemons, shards, workers and the platform.
    pub async fn status(&self) -> Result<StatusBody, ClientError> {
        self.get("/v1/status").await
    }

    /// Reads all events that this daemon recorded in its time line.
    pub async fn timeline(&self) -> Result<TimelineBody, ClientError> {
        self.filtered_timeline(&Filter::default()).await
    }

    /// Reads the events in this daemon's time line that match `filter`.
    pub async fn filtered_timeline(&self, filter: &Filter) -> Result<TimelineBody, ClientError> {
        let since = filter.since.map(|since| since.to_string());
        let query = query(&[
            ("job", filter.job.as_ref().map(JobId::as_str)),
            ("worker", filter.worker.as_ref().map(WorkerId::as_str)),
            ("since", since.as_deref()),
        ]);
        self.get(&format!("/v1/timeline{query}")).await
    }

    /// Whether the daemon reports that it accepts requests from callers.
    pub async fn is_ready(&self) -> bool {
        let response = self.http.get(format!("{}/readyz", self.base)).send().await;
        response.is_ok_and(|response| response.status().is_success())
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
        let unanswered = |e: String| ClientError::Unanswered(e);
        let mut response = sent.map_err(|e| unanswered(e.to_string()))?;
        let bytes = response.body().limit(MAX_RESPONSE_BYTES).await;
        let bytes = bytes.map_err(|e| unanswered(e.to_string()))?;
        if response.status().is_success() {
            return serde_json::from_slice(&bytes).map_err(|e| unanswered(e.to_string()));
        }
        match serde_json::from_slice(&bytes) {
            Ok(fault) => {
                let retry_after_s = retry_after(response.headers());
                let fault = ErrorBody {
                    retry_after_s,
                    ..fault
                };
                Err(ClientError::Fault(response.status(), fault))
            }
            Err(_) => Err(unanswered(response.status().to_string())),
        }
    }
}
