//! The client of a daemon's HTTP interface, for the command line, tests and load driver.

use super::wire::{CatalogueBody, ChangeBody, EntryBody, ErrorBody, JobBody, TimelineBody};
use crate::core::{catalogue::RawEntry, id::Revision};
use actix_http::{Method, StatusCode};
use awc::Client;
use serde::{Serialize, de::DeserializeOwned};
use std::{fmt, time::Duration};

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// A call that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// The daemon answered with a fault.
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

    /// Adds or changes an entry.
    pub async fn put_entry(
        &self,
        raw: &RawEntry,
        if_match: Option<Revision>,
    ) -> Result<ChangeBody, ClientError> {
        let path = format!("/v1/catalogue/{}", raw.name);
        let etag = if_match.map(|revision| format!("\"{revision}\""));
        self.call(Method::PUT, &path, etag.as_deref(), Some(raw))
            .await
    }

    /// Retires an entry.
    pub async fn retire_entry(
        &self,
        name: &str,
        if_match: Revision,
    ) -> Result<ChangeBody, ClientError> {
        let path = format!("/v1/catalogue/{name}");
        let etag = format!("\"{if_match}\"");
        self.call::<_, ()>(Method::DELETE, &path, Some(&etag), None)
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

    /// Hands a job in.
    pub async fn submit_job(&self, entry: &str) -> Result<JobBody, ClientError> {
        self.call::<_, ()>(Method::POST, &format!("/v1/jobs/{entry}"), None, None)
            .await
    }

    /// Reads a job.
    pub async fn job(&self, job: &str) -> Result<JobBody, ClientError> {
        self.get(&format!("/v1/jobs/{job}")).await
    }

    /// Cancels a job.
    pub async fn cancel_job(&self, job: &str) -> Result<JobBody, ClientError> {
        self.call::<_, ()>(Method::DELETE, &format!("/v1/jobs/{job}"), None, None)
            .await
    }

    /// Reads the daemon's part of the time line.
    pub async fn timeline(&self) -> Result<TimelineBody, ClientError> {
        self.get("/v1/timeline").await
    }

    /// Whether the daemon may be sent callers.
    pub async fn is_ready(&self) -> bool {
        let answer = self.http.get(format!("{}/readyz", self.base)).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.call::<T, ()>(Method::GET, path, None, None).await
    }

    async fn call<T: DeserializeOwned, B: Serialize>(
        &self,
        method: Method,
        path: &str,
        if_match: Option<&str>,
        body: Option<&B>,
    ) -> Result<T, ClientError> {
        let mut req = self.http.request(method, format!("{}{path}", self.base));
        if let Some(etag) = if_match {
            req = req.insert_header(("if-match", etag));
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
            Ok(fault) => Err(ClientError::Fault(answer.status(), fault)),
            Err(_) => Err(silent(answer.status().to_string())),
        }
    }
}
