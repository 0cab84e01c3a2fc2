//! Formats errors for log lines and messages.

use std::error::Error;

/// Formats an error and all of its sources on one line, outermost first. Leaves out a source whose
/// text already ends the line.
pub fn chain(e: &(dyn Error + 'static)) -> String {
    let mut text = e.to_string();
    let mut cause = e.source();
    while let Some(inner) = cause {
        let phrase = inner.to_string();
        if !text.ends_with(&phrase) {
            text.push_str(": ");
            text.push_str(&phrase);
        }
        cause = inner.source();
    }
    text
}
