//! What the command line does: one function a subcommand, called with parsed arguments.

pub mod catalogue;
pub mod check;
pub mod jobs;
pub mod logging;
pub mod run;
pub mod timeline;

use std::fmt;

/// How a subcommand ended, as its exit status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// It failed.
    Failed = 1,
    /// The input was wrong.
    WrongInput = 2,
    /// It was refused; nothing was changed.
    Refused = 3,
}

/// A subcommand that did not do what was asked: the exit status and what to print.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The exit status.
    pub exit: Exit,
    /// What is wrong and what to do about it.
    pub message: String,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Failure {}

impl Failure {
    /// A failure of this kind.
    pub fn new(exit: Exit, message: impl fmt::Display) -> Self {
        Self {
            exit,
            message: message.to_string(),
        }
    }
}

impl From<crate::api::client::ClientError> for Failure {
    fn from(e: crate::api::client::ClientError) -> Self {
        use crate::api::client::ClientError;
        let exit = match &e {
            ClientError::Silent(_) => Exit::Failed,
            ClientError::Fault(status, _) if status.as_u16() == 502 => Exit::Failed,
            ClientError::Fault(status, _) if matches!(status.as_u16(), 400 | 404 | 422) => {
                Exit::WrongInput
            }
            ClientError::Fault(_, _) => Exit::Refused,
        };
        Self::new(exit, e)
    }
}
