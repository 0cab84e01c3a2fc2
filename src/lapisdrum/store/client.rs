//! HTTP client for the platform's services.
//!
//! Every call has one of three outcomes that callers must distinguish: it took effect, it certainly did
//! not, or the outcome is unknown. The response may be lost after a write took effect, so a write that
//! failed in any way after it was sent is [`TxnOutcome::Unknown`] until its row is read back.

use super::wire::{Host, HostWire, Row, Txn, TxnConflict, TxnDone};
use crate::{core::id::DataCentre, timeline::ring::Timeline};
use actix_http::{
    StatusCode,
    header::{ETAG, IF_NONE_MATCH},
};
use awc::{Client, SendClientRequest};
use bytes::Bytes;
use serde::de::DeserializeOwned;
use std::{fmt, rc::Rc, time::Duration};

/// Largest response body that is read, in bytes: a whole catalogue or a shard's ledger.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxnOutcome {
    /// It took effect; with the new versions of the written rows, in the order of the transaction's `put`.
    Committed(Vec<u64>),
    /// A precondition failed and nothing was written.
    Conflict(TxnConflict),
    /// No usable response; it may still take effect.
    Unknown(PlatformError),
}

/// The membership list of a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostList {
    /// Hosts with valid names.
    pub hosts: Vec<Host>,
    /// Entity tag of this version of the list, if the platform sends one.
    pub tag: Option<String>,
}

/// A call that got no response, or an error or malformed one; or that was never sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformError {
    message: String,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "platform did not answer: {}", self.message)
    }
}

impl std::error::Error for PlatformError {}

impl PlatformError {
    /// The error of a write that was not sent because the sender's lease has expired.
    pub fn lease_lapsed() -> Self {
        Self::new("the lease has run out")
    }

    fn new(message: impl fmt::Display) -> Self {
        Self {
            message: message.to_string(),
        }
    }
}

/// HTTP client for the platform at one address.
#[derive(Clone)]
pub struct PlatformClient {
    http: Client,
    base: String,
    timeline: Rc<Timeline>,
}

impl PlatformClient {
    /// Creates a client of the platform at `address` (IP address and port). Each call times out after
    /// `timeout`; `user_agent` identifies the daemon in the platform's logs. Written rows carry stamps
    /// of `timeline`, since a row is also a message to the daemons that read it.
    pub fn new(address: &str, user_agent: &str, timeout: Duration, timeline: Rc<Timeline>) -> Self {
        let http = Client::builder()
            .timeout(timeout)
            .disable_redirects()
            .add_default_header(("user-agent", user_agent))
            .finish();
        Self {
            http,
            base: format!("http://{address}/v1"),
            timeline,
        }
    }

    /// Runs a transaction.
    pub async fn txn(&self, txn: &Txn) -> TxnOutcome {
        match self.try_txn(txn).await {
            Ok(outcome) => outcome,
            Err(e) => TxnOutcome::Unknown(e),
        }
    }

    async fn try_txn(&self, txn: &Txn) -> Result<TxnOutcome, PlatformError> {
        let url = format!("{}/table/txn", self.base);
        let txn = txn.clone().stamped(self.timeline.stamp());
        let (status, body) = read_response(self.http.post(url).send_json(&txn)).await?;
        match status {
            StatusCode::OK => {
                parse(&body).map(|done: TxnDone| TxnOutcome::Committed(done.versions))
            }
            StatusCode::CONFLICT => parse(&body).map(TxnOutcome::Conflict),
            status => Err(PlatformError::new(status)),
        }
    }

    /// Reads a row; `None` if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let answer = self.fetch(&format!("{}/table/{key}", self.base)).await?;
        let row = answer.map(|body| parse(&body)).transpose()?;
        row.iter().for_each(|row| self.observe(row));
        Ok(row)
    }

    /// Reads a consistent snapshot of all rows whose keys start with `prefix`, in key order.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        let answer = self
            .fetch(&format!("{}/table?prefix={prefix}", self.base))
            .await?;
        let rows: Vec<Row> = parse(&answer.unwrap_or_default())?;
        rows.iter().for_each(|row| self.observe(row));
        Ok(rows)
    }

    fn observe(&self, row: &Row) {
        if let Some(stamp) = row.stamp() {
            self.timeline.observe(stamp);
        }
    }

    /// Reads the membership list of a data centre; `None` if it still has the tag `known`. Hosts with
    /// invalid names are left out. A platform that supports neither tags nor the query parameter
    /// returns the list of all hosts, which has the same result and is only larger.
    pub async fn hosts(
        &self,
        dc: &DataCentre,
        known: Option<&str>,
    ) -> Result<Option<HostList>, PlatformError> {
        let url = format!("{}/hosts?data_centre={dc}", self.base);
        let mut req = self.http.get(url);
        if let Some(tag) = known {
            req = req.insert_header((IF_NONE_MATCH, tag));
        }
        let mut answer = req.send().await.map_err(PlatformError::new)?;
        match answer.status() {
            StatusCode::NOT_MODIFIED => return Ok(None),
            StatusCode::OK => {}
            status => return Err(PlatformError::new(status)),
        }
        let tag = answer.headers().get(ETAG);
        let tag = tag.and_then(|tag| tag.to_str().ok()).map(str::to_owned);
        let body = answer.body().limit(MAX_RESPONSE_BYTES).await;
        let raw: Vec<HostWire> = parse(&body.map_err(PlatformError::new)?)?;
        let hosts = raw.into_iter().filter_map(|host| Host::try_from(host).ok());
        let hosts = hosts.filter(|host| host.data_centre == *dc).collect();
        Ok(Some(HostList { hosts, tag }))
    }

    /// Stores an object under `key`.
    pub async fn put_object(&self, key: &str, body: Bytes) -> Result<(), PlatformError> {
        let sent = self
            .http
            .put(format!("{}/objects/{key}", self.base))
            .send_body(body)
            .await;
        let answer = sent.map_err(PlatformError::new)?;
        if answer.status().is_success() {
            return Ok(());
        }
        Err(PlatformError::new(answer.status()))
    }

    /// Reads an object; `None` if it does not exist.
    pub async fn get_object(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        self.fetch(&format!("{}/objects/{key}", self.base)).await
    }

    /// Deletes an object; any response counts as success, also one that the object does not exist.
    pub async fn delete_object(&self, key: &str) -> Result<(), PlatformError> {
        let sent = self
            .http
            .delete(format!("{}/objects/{key}", self.base))
            .send()
            .await;
        sent.map(|_| ()).map_err(PlatformError::new)
    }

    async fn fetch(&self, url: &str) -> Result<Option<Bytes>, PlatformError> {
        let (status, body) = read_response(self.http.get(url).send()).await?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::new(status)),
        }
    }
}

/// Waits for a response and reads its whole body.
async fn read_response(sent: SendClientRequest) -> Result<(StatusCode, Bytes), PlatformError> {
    let mut answer = sent.await.map_err(PlatformError::new)?;
    let body = answer.body().limit(MAX_RESPONSE_BYTES).await;
    Ok((answer.status(), body.map_err(PlatformError::new)?))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(PlatformError::new)
}
