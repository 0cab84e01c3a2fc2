//! `lapisdrum run`: a daemon until SIGTERM or SIGINT.

use super::{Exit, Failure, logging};
use crate::{daemon, settings::Settings};
use std::path::Path;
use tokio::signal::unix::{SignalKind, signal};

/// Checks the settings and runs the daemon.
pub async fn run(config: &Path) -> Result<(), Failure> {
    let cfg = Settings::load(config).map_err(|e| Failure::new(Exit::WrongInput, e))?;
    logging::start(&cfg.log);
    let stop = stop_signal().map_err(|e| Failure::new(Exit::Failed, e))?;
    let ended = daemon::run(cfg, stop).await;
    ended.map_err(|e| Failure::new(Exit::Failed, format!("{e:#}")))
}

fn stop_signal() -> std::io::Result<impl Future<Output = ()>> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    })
}
