//! The client of workers.
//!
//! For a request the difference between *not run* and *unknown* decides whether it may be sent
//! again. Only two things prove that it did not run: no connection was made, or the worker said so
//! of this very request. A broken connection, a timeout or a body cut short prove nothing; nor does
//! a kept connection that the worker closes at the moment of use, since it may have read the request
//! first. awc closes a connection whose answer was not read whole. An answer that a worker sends
//! twice may still meet the next request on the connection, so each answer must name its request.

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

/// Largest answer to a command, in bytes.
const MAX_COMMAND_ANSWER: usize = 16 * 1024 * 1024;
/// Time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// awc's limit counts the connections to all workers together and makes further requests wait
/// unseen while their deadlines pass, so it is off; the router bounds each worker's connections.
const NO_LIMIT: usize = 0;

/// A worker's whole answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its content type, if it named one.
    pub content_type: Option<String>,
    /// Its body.
    pub body: Bytes,
}

/// How a request to a worker ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The whole answer arrived.
    Answered(Answer),
    /// No connection was made.
    Unsent(String),
    /// The worker says that it did not run it.
    NotRun(String),
    /// Nobody knows whether it ran.
    Unknown(String),
}

/// How a command to a worker ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandEnd<T> {
    /// It took effect.
    Done(T, WorkerMillis),
    /// The worker did nothing, and says why.
    Rejected(RejectReason, Epoch, WorkerMillis),
    /// No answer; it may take effect yet.
    Silent(String),
}

/// A request on its way to a worker.
#[derive(Clone, Debug)]
pub struct Outgoing<'a> {
    /// Its id.
    pub request: &'a RequestId,
    /// Its entry.
    pub entry: &'a EntryName,
    /// The epoch under which the grant was given.
    pub epoch: Epoch,
    /// The caller's content type.
    pub content_type: Option<&'a str>,
    /// Its body.
    pub body: Bytes,
    /// Time that is left for it.
    pub left: Duration,
    /// Largest answer that is passed on, in bytes.
    pub answer_limit: usize,
}

/// Speaks to workers.
#[derive(Clone)]
pub struct WorkerClient {
    requests: Client,
    commands: Client,
}

impl WorkerClient {
    /// A client that gives each command `command_timeout` and names itself `user_agent`, so that
    /// workers' logs tell daemons apart.
    pub fn new(user_agent: &str, command_timeout: Duration) -> Self {
        let agent = ("user-agent", user_agent);
        let connector = Connector::new().limit(NO_LIMIT).timeout(CONNECT_TIMEOUT);
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

    /// Sends a request and waits for the whole answer, no longer than `out.left`.
    pub async fn run(&self, address: &str, out: Outgoing<'_>) -> RequestEnd {
        let left = out.left;
        match tokio::time::timeout(left, self.exchange(address, out)).await {
            Ok(end) => end,
            Err(_) => RequestEnd::Unknown("no answer before the deadline".to_owned()),
        }
    }

    async fn exchange(&self, address: &str, out: Outgoing<'_>) -> RequestEnd {
        let req = self
            .requests
            .post(format!("http://{address}/v1/requests"))
            .insert_header((REQUEST_HEADER, out.request.as_str()))
            .insert_header((ENTRY_HEADER, out.entry.as_str()))
            .insert_header((EPOCH_HEADER, out.epoch.0))
            .insert_header((DEADLINE_HEADER, millis(out.left)))
            .content_type(out.content_type.unwrap_or("application/octet-stream"));
        let mut answer = match req.send_body(out.body).await {
            Ok(answer) => answer,
            Err(e) => return unsent_or_unknown(&e),
        };
        let status = answer.status();
        // An answer that names another request is not ours to pass on; nor is a refusal, which would
        // have a request sent again that is running.
        if header_text(answer.headers(), REQUEST_HEADER) != Some(out.request.as_str()) {
            return RequestEnd::Unknown("the answer names another request".to_owned());
        }
        if status == StatusCode::SERVICE_UNAVAILABLE
            && answer.headers().contains_key(NOT_RUN_HEADER)
        {
            return RequestEnd::NotRun("the worker refused it".to_owned());
        }
        let content_type = header_text(answer.headers(), "content-type").map(str::to_owned);
        match answer.body().limit(out.answer_limit).await {
            Ok(body) => RequestEnd::Answered(Answer {
                status: status.as_u16(),
                content_type,
                body,
            }),
            Err(e) => RequestEnd::Unknown(format!("the answer broke off: {e}")),
        }
    }

    /// Claims a worker for an owner's epoch and reads back what runs there.
    pub async fn claim(&self, address: &str, epoch: Epoch) -> CommandEnd<TaskList> {
        self.command(
            Method::POST,
            &url(address, "claim"),
            &OwnerCommand { epoch },
        )
        .await
    }

    /// Starts a task.
    pub async fn start(
        &self,
        address: &str,
        task: &JobId,
        start: &StartTask,
    ) -> CommandEnd<TaskStatus> {
        self.command(Method::PUT, &url(address, &format!("tasks/{task}")), start)
            .await
    }

    /// Renews leases and reads all tasks.
    pub async fn renew(&self, address: &str, renew: &RenewTasks) -> CommandEnd<TaskList> {
        self.command(Method::POST, &url(address, "renew"), renew)
            .await
    }

    /// Stops a task, or acknowledges that its end is recorded.
    pub async fn stop(&self, address: &str, task: &JobId, epoch: Epoch) -> CommandEnd<TaskStatus> {
        let path = url(address, &format!("tasks/{task}/stop"));
        self.command(Method::POST, &path, &OwnerCommand { epoch })
            .await
    }

    /// Asks for a checkpoint now.
    pub async fn checkpoint(
        &self,
        address: &str,
        task: &JobId,
        epoch: Epoch,
    ) -> CommandEnd<TaskStatus> {
        let path = url(address, &format!("tasks/{task}/checkpoint"));
        self.command(Method::POST, &path, &OwnerCommand { epoch })
            .await
    }

    /// Slows a task down or lets it run at full speed.
    pub async fn throttle(
        &self,
        address: &str,
        task: &JobId,
        throttle: &ThrottleTask,
    ) -> CommandEnd<TaskStatus> {
        let path = url(address, &format!("tasks/{task}/throttle"));
        self.command(Method::POST, &path, throttle).await
    }

    /// Reads measured use, which lags.
    pub async fn usage(&self, address: &str) -> CommandEnd<Usage> {
        self.command(Method::GET, &url(address, "usage"), &()).await
    }

    async fn command<T: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        body: &impl Serialize,
    ) -> CommandEnd<T> {
        let sent = self.commands.request(method, url).send_json(body).await;
        let mut answer = match sent {
            Ok(answer) => answer,
            Err(e) => return CommandEnd::Silent(e.to_string()),
        };
        let Some(clock) = worker_clock(answer.headers()) else {
            return CommandEnd::Silent("an answer without the worker's clock".to_owned());
        };
        let body = match answer.body().limit(MAX_COMMAND_ANSWER).await {
            Ok(body) => body,
            Err(e) => return CommandEnd::Silent(e.to_string()),
        };
        if answer.status() == StatusCode::CONFLICT {
            return match serde_json::from_slice::<Rejected>(&body) {
                Ok(rejected) => CommandEnd::Rejected(rejected.reason, rejected.epoch, clock),
                Err(e) => CommandEnd::Silent(e.to_string()),
            };
        }
        match serde_json::from_slice(&body) {
            Ok(done) if answer.status().is_success() => CommandEnd::Done(done, clock),
            Ok(_) => CommandEnd::Silent(answer.status().to_string()),
            Err(e) => CommandEnd::Silent(e.to_string()),
        }
    }
}

impl<T> CommandEnd<T> {
    /// The worker's clock as of this answer, which arrived at `received_at`.
    pub fn reading(&self, received_at: Millis) -> Option<crate::state::fencing::ClockReading> {
        match self {
            Self::Done(_, worker) | Self::Rejected(_, _, worker) => {
                Some(crate::state::fencing::ClockReading {
                    worker: *worker,
                    received_at,
                })
            }
            Self::Silent(_) => None,
        }
    }
}

fn url(address: &str, path: &str) -> String {
    format!("http://{address}/v1/{path}")
}

fn unsent_or_unknown(e: &SendRequestError) -> RequestEnd {
    match e {
        // awc gives this for a connection that closed before the answer's head, after the request
        // had been sent on it.
        SendRequestError::Connect(ConnectError::Disconnected) => RequestEnd::Unknown(e.to_string()),
        // Without a connection not a byte was sent.
        SendRequestError::Connect(_) | SendRequestError::Url(_) => {
            RequestEnd::Unsent(e.to_string())
        }
        _ => RequestEnd::Unknown(e.to_string()),
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

impl fmt::Display for RequestEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(answer) => write!(f, "answered with status {}", answer.status),
            Self::Unsent(why) => write!(f, "not sent: {why}"),
            Self::NotRun(why) => write!(f, "not run: {why}"),
            Self::Unknown(why) => write!(f, "unknown: {why}"),
        }
    }
}
