//! `lapisdrum-load catalogue`: measures the time from sending a catalogue change until it is in force at
//! each daemon.

use crate::{entries, site::Site, table};
use clap::Args;
use eyre::Result;
use hdrhistogram::Histogram;
use lapisdrum::core::id::Revision;
use lapisdrum_standins::platform::server::PlatformSwitches;
use std::{path::PathBuf, time::Duration};
use tokio::time::Instant;

/// Interval at which a daemon's revision is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout for a change to be in force; a change that takes longer is recorded with this time.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Arguments of `catalogue`.
#[derive(Debug, Args)]
pub struct CatalogueArgs {
    /// Number of daemons.
    #[arg(long, default_value_t = 7)]
    daemons: usize,
    /// Number of changes to measure.
    #[arg(long, default_value_t = 100)]
    changes: usize,
    /// Delay that the platform adds to each call, in milliseconds.
    #[arg(long, default_value_t = 0)]
    slow_ms: u64,
    /// TOML file with further daemon settings, without the addresses; defaults if absent.
    #[arg(long)]
    settings: Option<PathBuf>,
}

/// Makes the changes one after another, at each daemon in turn, and prints the times.
pub async fn run(args: CatalogueArgs) -> Result<()> {
    let extra_settings = match &args.settings {
        Some(path) => std::fs::read_to_string(path)?,
        None => "[log]\nlevel = \"warn\"\n".to_owned(),
    };
    let site = Site::start(args.daemons, 1, |plan| {
        plan.extra_settings = extra_settings.clone()
    })
    .await?;
    let slow = PlatformSwitches {
        slow_ms: args.slow_ms,
        ..PlatformSwitches::default()
    };
    site.switch_platform(&slow).await?;
    let (mut each_daemon, mut last_daemon) = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    let mut seen = None;
    for i in 0..args.changes {
        let mut entry = entries::small("render", "batch");
        entry.millicores = 10 + i as u64 % 10;
        let client = site.daemons[i % args.daemons].client();
        // Measured from when the operator sends the change.
        let sent_at = Instant::now();
        let revision = client.put_entry(&entry, seen).await?.revision;
        seen = Some(revision);
        let waits = (0..args.daemons).map(|i| ms_until_in_force(&site, i, revision, sent_at));
        let times = futures::future::join_all(waits).await;
        for ms in &times {
            each_daemon.saturating_record(*ms);
        }
        last_daemon.saturating_record(times.into_iter().max().unwrap_or(0));
    }
    let cells = |what: &str, times: &Histogram<u64>| {
        vec![
            what.to_owned(),
            times.value_at_quantile(0.5).to_string(),
            times.value_at_quantile(0.99).to_string(),
            times.max().to_string(),
        ]
    };
    table::print(
        &["in force", "half ms", "99th ms", "greatest ms"],
        &[
            cells("at a daemon", &each_daemon),
            cells("at all", &last_daemon),
        ],
    );
    Ok(())
}

/// Milliseconds from `since` until a daemon has a revision in force, or until [`CHANGE_TIMEOUT`] has passed.
async fn ms_until_in_force(site: &Site, daemon: usize, revision: Revision, since: Instant) -> u64 {
    let name = "lapisdrum_catalogue_revision";
    while since.elapsed() < CHANGE_TIMEOUT {
        if site.daemons[daemon].metric(name).await >= revision.0 {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    since.elapsed().as_millis() as u64
}
