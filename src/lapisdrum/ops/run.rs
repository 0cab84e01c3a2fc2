//! `lapisdrum run`: runs a daemon until SIGTERM or SIGINT.

use super::{Exit, Failure, logging};
use crate::{
    daemon,
    platform::{self, settings::PlatformSettings},
    settings::{LogFormat, LogSettings, Settings},
};
use std::{
    fs,
    path::{Path, PathBuf},
};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Validates the settings and runs the daemon, with the platform adapter if they choose one.
pub async fn run(config: &Path) -> Result<(), Failure> {
    let uses_adapter =
        fs::read_to_string(config).is_ok_and(|text| platform::settings::is_chosen(&text));
    if uses_adapter {
        return run_with_adapter(config).await;
    }
    let cfg = Settings::load(config).map_err(|e| Failure::new(Exit::WrongInput, e))?;
    logging::start(&cfg.log);
    let stop = stop_signal().map_err(|e| Failure::new(Exit::Failed, e))?;
    let ended = daemon::run(cfg, stop).await;
    ended.map_err(|e| Failure::new(Exit::Failed, format!("{e:#}")))
}

async fn run_with_adapter(config: &Path) -> Result<(), Failure> {
    let cfg = PlatformSettings::load(config).map_err(|e| Failure::new(Exit::WrongInput, e))?;
    logging::start(&LogSettings {
        format: LogFormat::Json,
        level: log::Level::Info.to_level_filter(),
    });
    let stop = stop_signal().map_err(|e| Failure::new(Exit::Failed, e))?;
    let hangups = signal(SignalKind::hangup()).map_err(|e| Failure::new(Exit::Failed, e))?;
    actix_rt::spawn(validate_at_hangup(config.to_owned(), cfg.clone(), hangups));
    let ended = platform::run(cfg, stop).await;
    ended.map_err(|e| Failure::new(Exit::Failed, format!("{e:#}")))
}

/// Validates the settings file at each SIGHUP and logs the result. A change takes effect only at the
/// next start, since the addresses of the running process are in use until then.
async fn validate_at_hangup(config: PathBuf, cfg: PlatformSettings, mut hangups: Signal) {
    while hangups.recv().await.is_some() {
        match PlatformSettings::load(&config) {
            Ok(read) if read == cfg => log::info!("settings read again; nothing has changed"),
            Ok(_) => log::warn!("settings have changed; they take effect at the next start"),
            Err(e) => log::warn!(error:% = e; "settings can't be used; the present ones stay"),
        }
    }
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
