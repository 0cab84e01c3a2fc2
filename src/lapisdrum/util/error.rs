//! Turning failed outcomes into text for people.

use std::error::Error;

/// The error and all of its causes on one line, the outermost first.
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
