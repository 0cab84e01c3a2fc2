//! Output formats of the command line: text or one line of JSON.

use super::Failure;
use serde::Serialize;
use std::fmt::{self, Display};

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// Text for people.
    #[default]
    Text,
    /// One JSON value on one line, for programs.
    Json,
}

impl Output {
    /// Formats a report, without a trailing newline.
    pub fn render<T: Display + Serialize>(self, report: &T) -> String {
        match self {
            Self::Text => report.to_string(),
            Self::Json => serde_json::to_string(report).unwrap_or_default(),
        }
    }

    /// Formats a failure, without a trailing newline.
    pub fn render_failure(self, failure: &Failure) -> String {
        match self {
            Self::Text => format!("error: {failure}"),
            Self::Json => {
                let line = serde_json::json!({
                    "error": failure.message,
                    "exit_status": failure.exit as u8,
                });
                line.to_string()
            }
        }
    }
}

/// Writes lines separated by newlines, without a trailing one.
pub(super) fn write_lines<T: Display>(
    f: &mut fmt::Formatter<'_>,
    lines: impl IntoIterator<Item = T>,
) -> fmt::Result {
    for (i, line) in lines.into_iter().enumerate() {
        if i > 0 {
            f.write_str("\n")?;
        }
        write!(f, "{line}")?;
    }
    Ok(())
}
