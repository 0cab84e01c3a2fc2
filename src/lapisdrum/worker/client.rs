//! HTTP client for workers.
//!
//! A request may be sent again only if it certainly did not run. Two things prove that: no connection
//! was opened, or the worker reported it for this request. A broken connection, a timeout or a
//! truncated body prove nothing; nor does a reused connection that the worker closes while the request
//! is sent, since it may have read the request first. awc closes a connection whose response was not
//! read completely. A response that a worker sends twice may still be taken for that of the next
//! request on the connection, so each response must carry the id of its request.

use super::wire::{
    CLOCK_HEADER, DEADLINE_HEADER, ENTRY_HEADER, EPOCH_HEADER, NOT_RUN_HEADER, OwnerCommand,
    REQUEST_HEADER, RejectReason, Rejected, RenewTasks, StartTask, TaskList, TaskStatus,
    ThrottleTask, Usage,
};
use crate::core::{
    id::{EntryName, Epoch, JobId, RequestId},
    time::{Millis, WorkerMillis, millis},
};
use actix_http::{Method, StatusCode, header::HeaderMap};
use awc::{
    Client, Connector,
    error::{ConnectError, SendRequestError},
};
use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};
use std::{fmt, time::Duration};

/// Largest response to a command that is read, in bytes.
const MAX_COMMAND_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Turns off awc's connection limit, which counts the connections to all workers together and queues
/// further requests silently until their deadlines pass; the router limits each worker's connections.
const UNLIMITED_CONNECTIONS: usize = 0;

/// A worker's complete response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Value of the header `content-type`, if present.
    pub content_type: Option<String>,
    /// The body, at most [`OutgoingRequest::max_response_bytes`] bytes.
    pub body: Bytes,
}

/// Outcome of a request to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete response arrived.
    Answered(Response),
    /// No connection was opened, so the request did not run.
    Unsent(String),
    /// The worker reported that it did not run the request.
    NotRun(String),
    /// The request may have run.
    Unknown(String),
}

/// Outcome of a command to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome<T> {
    /// It took effect; with the response and the worker's clock.
    Done(T, WorkerMillis),
    /// The worker did nothing; with the reason, the highest epoch it has seen and its clock.
    Rejected(RejectReason, Epoch, WorkerMillis),
    /// No usable response; it may still take effect.
    Unanswered(String),
}

/// A request to be sent to a worker.
#[derive(Clone, Debug)]
pub struct OutgoingRequest<'a> {
    /// Id of the request, which the worker repeats in its response.
    pub request: &'a RequestId,
    /// The catalogue entry that the request is for.
    pub entry: &'a EntryName,
    /// Epoch of the shard owner that granted the capacity for the request.
    pub epoch: Epoch,
    /// Content type of the body, as the caller gave it.
    pub content_type: Option<&'a str>,
    /// The body, passed on unchanged.
    pub body: Bytes,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Largest response body that is passed on, in bytes.
    pub max_response_bytes: usize,
}

/// HTTP client for requests and commands to workers.
#[derive(Clone)]
pub struct WorkerClient {
    requests: Client,
    commands: Client,
}

impl WorkerClient {
    /// Creates a client. Each command times out after `command_timeout`; `user_agent` identifies the
    /// daemon in workers' logs.
    pub fn new(user_agent: &str, command_timeout: Duration) -> Self {
        let agent = ("user-agent", user_agent);
        let connector = Connector::new()
            .limit(UNLIMITED_CONNECTIONS)
            .timeout(CONNECT_TIMEOUT);
        let requests = Client::builder().connector(connector).disable_timeout();
        let requests = requests
            .disable_redirects()
            .add_default_header(agent)
            .finish();
        let commands = Client::builder().timeout(command_timeout);
        let commands = commands
            .disable_redirects()
            .add_default_header(agent)
            .finish();
        Self { requests, commands }
    }

    /// Sends a request and waits for the complete response, at most [`OutgoingRequest::time_left`].
    pub async fn run(&self, address: &str, out: OutgoingRequest<'_>) -> RequestOutcome {
        let time_left = out.time_left;
        match tokio::time::timeout(time_left, self.exchange(address, out)).await {
            Ok(end) => end,
            Err(_) => RequestOutcome::Unknown("no answer before the deadline".to_owned()),
        }
    }

    async fn exchange(&self, address: &str, out: OutgoingRequest<'_>) -> RequestOutcome {
        let req = self
            .requests
            .post(format!("http://{address}/v1/requests"))
            .insert_header((REQUEST_HEADER, out.request.as_str()))
            .insert_header((ENTRY_HEADER, out.entry.as_str()))
            .insert_header((EPOCH_HEADER, out.epoch.0))
            .insert_header((DEADLINE_HEADER, millis(out.time_left)))
            .content_type(out.content_type.unwrap_or("application/octet-stream"));
        let mut answer = match req.send_body(out.body).await {
            Ok(answer) => answer,
            Err(e) => return unsent_or_unknown(&e),
        };
        let status = answer.status();
        // A response with another request's id must not be passed on, not even a refusal: the request
        // would be sent again although it may be running.
        if header_text(answer.headers(), REQUEST_HEADER) != Some(out.request.as_str()) {
            return RequestOutcome::Unknown("the answer names another request".to_owned());
        }
        if status == StatusCode::SERVICE_UNAVAILABLE
            && answer.headers().contains_key(NOT_RUN_HEADER)
        {
            return RequestOutcome::NotRun("the worker refused it".to_owned());
        }
        let content_type = header_text(answer.headers(), "content-type").map(str::to_owned);
        match answer.body().limit(out.max_response_bytes).await {
            Ok(body) => RequestOutcome::Answered(Response {
                status: status.as_u16(),
                content_type,
                body,
            }),
            Err(e) => RequestOutcome::Unknown(format!("the answer broke off: {e}")),
        }
    }

    /// Claims a worker for an owner's epoch and returns all of the worker's tasks.
    pub async fn claim(&self, address: &str, epoch: Epoch) -> CommandOutcome<TaskList> {
        self.command(
            Method::POST,
            &url(address, "claim"),
            &OwnerCommand { epoch },
        )
        .await
    }

    /// Starts a task; repeating the call for the same attempt has no further effect.
    pub async fn start(
        &self,
        address: &str,
        task: &JobId,
        start: &StartTask,
    ) -> CommandOutcome<TaskStatus> {
        self.command(Method::PUT, &url(address, &format!("tasks/{task}")), start)
            .await
    }

    /// Renews the leases of the worker's tasks and returns the tasks that changed.
    pub async fn renew(&self, address: &str, renew: &RenewTasks) -> CommandOutcome<TaskList> {
        self.command(Method::POST, &url(address, "renew"), renew)
            .await
    }

    /// Stops a task, or acknowledges that its end is recorded.
    pub async fn stop(
        &self,
        address: &str,
        task: &JobId,
        epoch: Epoch,
    ) -> CommandOutcome<TaskStatus> {
        let path = url(address, &format!("tasks/{task}/stop"));
        self.command(Method::POST, &path, &OwnerCommand { epoch })
            .await
    }

    /// Asks a task to save a checkpoint now.
    pub async fn checkpoint(
        &self,
        address: &str,
        task: &JobId,
        epoch: Epoch,
    ) -> CommandOutcome<TaskStatus> {
        let path = url(address, &format!("tasks/{task}/checkpoint"));
        self.command(Method::POST, &path, &OwnerCommand { epoch })
            .await
    }

    /// Sets the speed of a task.
    pub async fn throttle(
        &self,
        address: &str,
        task: &JobId,
        throttle: &ThrottleTask,
    ) -> CommandOutcome<TaskStatus> {
        let path = url(address, &format!("tasks/{task}/throttle"));
        self.command(Method::POST, &path, throttle).await
    }

    /// Returns measured resource use, which is [`Usage::age_ms`] old.
    pub async fn usage(&self, address: &str) -> CommandOutcome<Usage> {
        self.command(Method::GET, &url(address, "usage"), &()).await
    }

    async fn command<T: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        body: &impl Serialize,
    ) -> CommandOutcome<T> {
        let sent = self.commands.request(method, url).send_json(body).await;
        let mut answer = match sent {
            Ok(answer) => answer,
            Err(e) => return CommandOutcome::Unanswered(e.to_string()),
        };
        let Some(clock) = worker_clock(answer.headers()) else {
            return CommandOutcome::Unanswered("an answer without the worker's clock".to_owned());
        };
        let body = match answer.body().limit(MAX_COMMAND_RESPONSE_BYTES).await {
            Ok(body) => body,
            Err(e) => return CommandOutcome::Unanswered(e.to_string()),
        };
        if answer.status() == StatusCode::CONFLICT {
            return match serde_json::from_slice::<Rejected>(&body) {
                Ok(rejected) => CommandOutcome::Rejected(rejected.reason, rejected.epoch, clock),
                Err(e) => CommandOutcome::Unanswered(e.to_string()),
            };
        }
        match serde_json::from_slice(&body) {
            Ok(done) if answer.status().is_success() => CommandOutcome::Done(done, clock),
            Ok(_) => CommandOutcome::Unanswered(answer.status().to_string()),
            Err(e) => CommandOutcome::Unanswered(e.to_string()),
        }
    }
}

impl<T> CommandOutcome<T> {
    /// The worker's clock in this response, which arrived at `received_at`; `None` without a response.
    pub fn clock_reading(
        &self,
        received_at: Millis,
    ) -> Option<crate::state::fencing::ClockReading> {
        match self {
            Self::Done(_, worker) | Self::Rejected(_, _, worker) => {
                Some(crate::state::fencing::ClockReading {
                    worker: *worker,
                    received_at,
                })
            }
            Self::Unanswered(_) => None,
        }
    }
}

fn url(address: &str, path: &str) -> String {
    format!("http://{address}/v1/{path}")
}

fn unsent_or_unknown(e: &SendRequestError) -> RequestOutcome {
    match e {
        // awc returns this if a connection closes before the response's head, after the request was
        // sent on it.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            RequestOutcome::Unknown(e.to_string())
        }
        // Nothing was sent, since there was no connection.
        SendRequestError::Connect(_) | SendRequestError::Url(_) => {
            RequestOutcome::Unsent(e.to_string())
        }
        _ => RequestOutcome::Unknown(e.to_string()),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn worker_clock(headers: &HeaderMap) -> Option<WorkerMillis> {
    header_text(headers, CLOCK_HEADER)?
        .parse()
        .ok()
        .map(WorkerMillis)
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(answer) => write!(f, "answered with status {}", answer.status),
            Self::Unsent(why) => write!(f, "not sent: {why}"),
            Self::NotRun(why) => write!(f, "not run: {why}"),
            Self::Unknown(why) => write!(f, "unknown: {why}"),
        }
    }
}
