//! `lapisdrum-load takeover`: measures the time from the kill of a shard's owner to the first task that
//! the next owner starts.

use crate::{
    entries,
    site::{Site, until},
    table,
};
use clap::Args;
use eyre::Result;
use lapisdrum_standins::worker::server::WorkerSwitches;
use std::{path::PathBuf, time::Duration};
use tokio::time::Instant;

/// Timeout of each condition that a trial waits for.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// Arguments of `takeover`.
#[derive(Debug, Args)]
pub struct TakeoverArgs {
    /// Number of trials; each kills one owner on its own site.
    #[arg(long, default_value_t = 10)]
    trials: usize,
    /// Number of workers.
    #[arg(long, default_value_t = 65)]
    workers: usize,
    /// Number of jobs accepted before the owner is killed.
    #[arg(long, default_value_t = 200)]
    jobs: usize,
    /// TOML file with further daemon settings, without the addresses; defaults if absent.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// File to write the times to, as JSON, in milliseconds.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Runs the trials and prints each time, and the least, median and greatest.
pub async fn run(args: TakeoverArgs) -> Result<()> {
    let mut times = Vec::new();
    for _ in 0..args.trials {
        let took = run_one(&args).await?;
        eprintln!("first start after {took:?}");
        times.push(took.as_millis() as u64);
    }
    times.sort_unstable();
    let median = times[times.len() / 2];
    let greatest = times[times.len() - 1];
    table::print(
        &["trials", "least ms", "half ms", "greatest ms"],
        &[vec![
            times.len().to_string(),
            times[0].to_string(),
            median.to_string(),
            greatest.to_string(),
        ]],
    );
    if let Some(path) = &args.json {
        table::write_json(path, &times)?;
    }
    Ok(())
}

async fn run_one(args: &TakeoverArgs) -> Result<Duration> {
    let extra_settings = match &args.settings {
        Some(path) => std::fs::read_to_string(path)?,
        None => "[log]\nlevel = \"warn\"\n".to_owned(),
    };
    let mut site = Site::start(2, args.workers, |plan| {
        plan.extra_settings = extra_settings.clone()
    })
    .await?;
    let switches = WorkerSwitches {
        task_ms: 60_000,
        ..WorkerSwitches::default()
    };
    site.switch_workers(&switches).await?;
    let client = site.daemons[0].client();
    client
        .put_entry(&entries::small("render", "batch"), None)
        .await?;
    let other = site.daemons[1].client();
    until("both daemons accept jobs", CONDITION_TIMEOUT, async || {
        client.submit_job("render").await.is_ok() && other.submit_job("render").await.is_ok()
    })
    .await?;
    for _ in 0..args.jobs {
        client.submit_job("render").await?;
    }
    let killed = site.owner().await;
    // Kills the owner at a random point within the interval of its lease renewals.
    tokio::time::sleep(Duration::from_millis(rand::random_range(0..1_000))).await;
    site.daemons[killed].process.kill();
    let killed_at = Instant::now();
    let survivor = &site.daemons[1 - killed];
    let client = survivor.client();
    until(
        "the remaining daemon starts a task",
        CONDITION_TIMEOUT,
        async || {
            let _ = client.submit_job("render").await;
            survivor.metric("lapisdrum_task_starts_total").await > 0
        },
    )
    .await?;
    Ok(killed_at.elapsed())
}
