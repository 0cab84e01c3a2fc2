//! Implementation of the subcommands, called with parsed arguments.

pub mod catalogue;
pub mod check;
pub mod explain;
pub mod findings;
pub mod jobs;
pub mod logging;
pub mod output;
pub mod run;
pub mod status;
pub mod timeline;

use crate::api::client::{ClientError, DaemonClient};
use std::{fmt, time::Duration};

/// Timeout of a call to the daemon named on the command line.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a call to any other daemon; shorter, since some of them may have ended.
const OTHER_DAEMONS_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum attempts at a call whose answers are lost.
const MAX_LOST_ANSWER_ATTEMPTS: u32 = 4;
/// Delay before a call whose answer was lost is repeated.
const LOST_ANSWER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Creates a client of the daemon at `address` (IP address and port).
pub fn connect(address: &str) -> DaemonClient {
    DaemonClient::new(address, CALL_TIMEOUT)
}

/// Repeats a call while its answer is lost. Only for idempotent calls, such as those with an id by
/// which the daemon recognises a repeat; any other could take effect twice.
async fn retry_lost_answers<T>(
    mut call: impl AsyncFnMut() -> Result<T, ClientError>,
) -> Result<T, ClientError> {
    for _ in 1..MAX_LOST_ANSWER_ATTEMPTS {
        match call().await {
            Err(e) if e.is_outcome_unknown() => tokio::time::sleep(LOST_ANSWER_RETRY_DELAY).await,
            result => return result,
        }
    }
    call().await
}

/// Exit status of a subcommand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The subcommand did what was asked.
    Done = 0,
    /// It failed, or its outcome is unknown.
    Failed = 1,
    /// The input was invalid.
    WrongInput = 2,
    /// The daemon refused the call, which changed nothing.
    Refused = 3,
}

/// Error of a subcommand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Exit status of the process.
    pub exit: Exit,
    /// Error message for the operator, with what to do about it.
    pub message: String,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Failure {}

impl Failure {
    /// Creates a failure with the text of `message`.
    pub fn new(exit: Exit, message: impl fmt::Display) -> Self {
        Self {
            exit,
            message: message.to_string(),
        }
    }
}

impl From<ClientError> for Failure {
    fn from(e: ClientError) -> Self {
        let exit = match &e {
            ClientError::Unanswered(_) => Exit::Failed,
            ClientError::Fault(status, _) if status.as_u16() == 502 => Exit::Failed,
            ClientError::Fault(status, _) if matches!(status.as_u16(), 400 | 404 | 422) => {
                Exit::WrongInput
            }
            ClientError::Fault(_, _) => Exit::Refused,
        };
        Self::new(exit, e)
    }
}
