//! Structured logs on standard output, where the people on call read them.
//!
//! Libraries are held to warnings, since tarpc logs a line for every call, and the hybrid clock to
//! errors, since it warns at every call of a peer whose clock is a day ahead.

use crate::settings::{LogFormat, LogSettings};
use logforth::{
    append,
    filter::rustlog::RustLogFilterBuilder,
    layout::{JsonLayout, TextLayout},
};

/// Starts logging as the settings say. Called once, before the daemon begins.
pub fn start(cfg: &LogSettings) {
    let level = cfg.level.as_str().to_lowercase();
    let filter =
        RustLogFilterBuilder::from_spec(format!("warn,uhlc=error,lapisdrum={level}")).build();
    let stdout = append::Stdout::default();
    let stdout = match cfg.format {
        LogFormat::Text => stdout.with_layout(TextLayout::default().no_color()),
        LogFormat::Json => stdout.with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(stdout))
        .apply();
}
