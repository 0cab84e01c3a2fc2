//! How the command line shows what came of a subcommand: text for people or one line of JSON.

use super::Failure;
use serde::Serialize;
use std::fmt::{self, Display};

/// The form that was asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// For people.
    #[default]
    Text,
    /// For programs: one JSON value on one line.
    Json,
}

impl Output {
    /// A report in this form, without a line's end.
    pub fn render<T: Display + Serialize>(self, report: &T) -> String {
        match self {
            Self::Text => report.to_string(),
            Self::Json => serde_json::to_string(report).unwrap_or_default(),
        }
    }

    /// A failure in this form.
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

/// Joins lines without one after the last, for reports of several parts.
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
