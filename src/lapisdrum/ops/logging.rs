//! Structured logs on standard error: counters first, a line only for a change of state.

use crate::settings::{LogFormat, LogSettings};
use logforth::{
    append,
    layout::{JsonLayout, TextLayout},
    record::{Level, LevelFilter},
};

/// Starts logging as the settings say. Called once, before the daemon begins.
pub fn start(cfg: &LogSettings) {
    let filter = match cfg.level {
        log::LevelFilter::Off | log::LevelFilter::Error => Level::Error,
        log::LevelFilter::Warn => Level::Warn,
        log::LevelFilter::Info => Level::Info,
        log::LevelFilter::Debug | log::LevelFilter::Trace => Level::Debug,
    };
    let stderr = append::Stderr::default();
    let stderr = match cfg.format {
        LogFormat::Text => stderr.with_layout(TextLayout::default().no_color()),
        LogFormat::Json => stderr.with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(LevelFilter::MoreSevereEqual(filter))
                .append(stderr)
        })
        .apply();
}
