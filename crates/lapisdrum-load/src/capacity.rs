//! `lapisdrum-load capacity`: measures the resources that a daemon uses by number of workers, tasks and
//! entries.
//!
//! Each run starts its own site, waits until the load is steady, then measures the owner's processor
//! time, resident memory and the platform's traffic over a window. docs/CAPACITY.md draws its lines
//! through these points.

use crate::{
    entries,
    measure::process_usage,
    site::{Site, until},
    table,
};
use clap::Args;
use eyre::Result;
use lapisdrum::api::client::DaemonClient;
use lapisdrum_standins::worker::server::WorkerSwitches;
use serde::Serialize;
use std::{path::PathBuf, time::Duration};

/// Entry of the tasks that run throughout the window.
const LONG_RUNNING_ENTRY: &str = "stream";
/// Entry that is changed at `changes_per_s`.
const CHANGED_ENTRY: &str = "changed";
/// Entry of the short jobs submitted at `starts_per_s`.
const SHORT_JOB_ENTRY: &str = "render";
/// Timeout for all tasks of a run to be started.
const TASKS_STARTED_TIMEOUT: Duration = Duration::from_secs(300);
/// Pause before the window, so that it does not include the cost of starting.
const STEADY_AFTER: Duration = Duration::from_secs(5);

/// Arguments of `capacity`.
#[derive(Debug, Args)]
pub struct CapacityArgs {
    /// Number of workers; one run for each combination of values.
    #[arg(long, value_delimiter = ',', default_value = "50")]
    workers: Vec<usize>,
    /// Number of running tasks.
    #[arg(long, value_delimiter = ',', default_value = "0")]
    tasks: Vec<usize>,
    /// Number of catalogue entries.
    #[arg(long, value_delimiter = ',', default_value = "3")]
    entries: Vec<usize>,
    /// Short jobs submitted per second during the window.
    #[arg(long, value_delimiter = ',', default_value = "0")]
    starts_per_s: Vec<u32>,
    /// Catalogue changes made per second during the window.
    #[arg(long, value_delimiter = ',', default_value = "0")]
    changes_per_s: Vec<u32>,
    /// Number of daemons.
    #[arg(long, default_value_t = 1)]
    daemons: usize,
    /// Interval between reads of the membership list, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    poll_ms: u64,
    /// Length of the window, in seconds.
    #[arg(long, default_value_t = 20)]
    window_s: u64,
    /// TOML file with further daemon settings, without the addresses; defaults if absent.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// File to write the rows to, as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// One run's figures; CPU, memory and traffic are the first daemon's share.
#[derive(Clone, Debug, Serialize)]
pub struct CapacityRow {
    /// Number of workers.
    pub workers: usize,
    /// Number of running tasks.
    pub tasks: usize,
    /// Number of catalogue entries.
    pub entries: usize,
    /// Number of daemons.
    pub daemons: usize,
    /// Catalogue changes requested per second.
    pub changes_per_s: u32,
    /// Tasks started per second by all daemons, as measured.
    pub starts_per_s: f64,
    /// Processor time of the owner, in percent of a core.
    pub owner_cpu_percent: f64,
    /// Resident memory of the owner, in megabytes.
    pub owner_resident_mb: f64,
    /// Peak resident memory of the owner, in megabytes.
    pub owner_peak_mb: f64,
    /// Table writes per second of all daemons.
    pub table_writes_per_s: f64,
    /// Table reads per second of all daemons: of single rows and of lists of rows.
    pub table_reads_per_s: f64,
    /// Bytes per second from the platform to all daemons.
    pub platform_read_bytes_per_s: f64,
    /// Bytes per second from all daemons to the platform.
    pub platform_write_bytes_per_s: f64,
    /// Bytes per second of commands and their answers between all daemons and the workers.
    pub worker_bytes_per_s: f64,
}

/// Measures each combination and prints the table.
pub async fn run(args: CapacityArgs) -> Result<()> {
    let mut rows = Vec::new();
    for &workers in &args.workers {
        for &tasks in &args.tasks {
            for &entries in &args.entries {
                for &starts_per_s in &args.starts_per_s {
                    for &changes_per_s in &args.changes_per_s {
                        let case = Case {
                            workers,
                            tasks,
                            entries,
                            starts_per_s,
                            changes_per_s,
                        };
                        let row = run_one(&args, case).await?;
                        eprintln!("{row:?}");
                        rows.push(row);
                    }
                }
            }
        }
    }
    print(&rows);
    if let Some(path) = &args.json {
        table::write_json(path, &rows)?;
    }
    Ok(())
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
struct Case {
    workers: usize,
    tasks: usize,
    entries: usize,
    starts_per_s: u32,
    changes_per_s: u32,
}

async fn run_one(args: &CapacityArgs, case: Case) -> Result<CapacityRow> {
    let extra_settings = match &args.settings {
        Some(path) => std::fs::read_to_string(path)?,
        None => "[log]\nlevel = \"warn\"\n".to_owned(),
    };
    let site = Site::start(args.daemons, case.workers, |plan| {
        plan.extra_settings = extra_settings.clone();
        plan.poll_ms = args.poll_ms;
    })
    .await?;
    let endless = vec![LONG_RUNNING_ENTRY.to_owned()];
    site.switch_workers(&WorkerSwitches {
        endless,
        ..WorkerSwitches::default()
    })
    .await?;
    let client = site.daemons[0].client();
    client
        .put_entry(&entries::small(LONG_RUNNING_ENTRY, "long-running"), None)
        .await?;
    client
        .put_entry(&entries::small(SHORT_JOB_ENTRY, "batch"), None)
        .await?;
    for i in 2..case.entries {
        client
            .put_entry(&entries::small(&format!("entry-{i}"), "batch"), None)
            .await?;
    }
    start_tasks(&site, case.tasks).await?;
    let changer = actix_rt::spawn(change(client.clone(), case.changes_per_s));
    let submitter = actix_rt::spawn(submit_jobs(client, case.starts_per_s));
    tokio::time::sleep(STEADY_AFTER).await;
    let row = measure_window(args, &site, case).await;
    submitter.abort();
    changer.abort();
    row
}

/// Changes an entry at a fixed rate.
async fn change(client: DaemonClient, per_second: u32) {
    if per_second == 0 {
        return;
    }
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / per_second);
    let mut entry = entries::small(CHANGED_ENTRY, "batch");
    let mut seen = None;
    loop {
        ticks.tick().await;
        entry.priority = Some(u32::from(entry.priority != Some(1)));
        // A refused change is not repeated; the measured table writes show it.
        if let Ok(done) = client.put_entry(&entry, seen).await {
            seen = Some(done.revision);
        }
    }
}

/// Submits short jobs at a fixed rate, without waiting for the answers.
async fn submit_jobs(client: DaemonClient, per_second: u32) {
    if per_second == 0 {
        return;
    }
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / per_second);
    loop {
        ticks.tick().await;
        let client = client.clone();
        actix_rt::spawn(async move {
            // A refused job is not repeated; the measured rate of starts shows it.
            let _ = client.submit_job(SHORT_JOB_ENTRY).await;
        });
    }
}

/// Submits `tasks` jobs, at most 64 at a time, and waits until that many tasks have started.
async fn start_tasks(site: &Site, tasks: usize) -> Result<()> {
    const MAX_CONCURRENT: usize = 64;
    let client = site.daemons[0].client();
    until(
        "the first job is accepted",
        TASKS_STARTED_TIMEOUT,
        async || tasks == 0 || client.submit_job(LONG_RUNNING_ENTRY).await.is_ok(),
    )
    .await?;
    let mut left = tasks.saturating_sub(1);
    while left > 0 {
        let batch = left.min(MAX_CONCURRENT);
        let calls = (0..batch).map(|_| client.submit_job(LONG_RUNNING_ENTRY));
        let submitted = futures::future::join_all(calls).await;
        left -= submitted.iter().filter(|outcome| outcome.is_ok()).count();
    }
    until(
        "all tasks have started",
        TASKS_STARTED_TIMEOUT,
        async || tasks_started(site).await >= tasks,
    )
    .await
}

async fn tasks_started(site: &Site) -> usize {
    let mut sum = 0;
    for daemon in &site.daemons {
        let text = daemon.metrics().await.unwrap_or_default();
        let line = text
            .lines()
            .find_map(|l| l.strip_prefix("lapisdrum_task_starts_total "));
        sum += line
            .and_then(|n| n.trim().parse::<usize>().ok())
            .unwrap_or(0);
    }
    sum
}

async fn measure_window(args: &CapacityArgs, site: &Site, case: Case) -> Result<CapacityRow> {
    let owner = owner(site).await;
    let id = site.daemons[owner].process.id();
    let before = (process_usage(id)?, site.platform_counts().await?);
    let worker_bytes = site.worker_bytes().await?;
    let starts = tasks_started(site).await;
    tokio::time::sleep(Duration::from_secs(args.window_s)).await;
    let after = (process_usage(id)?, site.platform_counts().await?);
    let starts = tasks_started(site).await - starts;
    let worker_bytes = site.worker_bytes().await? - worker_bytes;
    let seconds = args.window_s as f64;
    let rate = |from: u64, to: u64| (to - from) as f64 / seconds;
    Ok(CapacityRow {
        workers: case.workers,
        tasks: case.tasks,
        entries: case.entries,
        daemons: args.daemons,
        changes_per_s: case.changes_per_s,
        starts_per_s: starts as f64 / seconds,
        owner_cpu_percent: (after.0.cpu - before.0.cpu).as_secs_f64() / seconds * 100.0,
        owner_resident_mb: after.0.resident_kb as f64 / 1024.0,
        owner_peak_mb: after.0.peak_kb as f64 / 1024.0,
        table_writes_per_s: rate(before.1.writes, after.1.writes),
        table_reads_per_s: rate(before.1.reads, after.1.reads),
        platform_read_bytes_per_s: rate(before.1.read_bytes, after.1.read_bytes),
        platform_write_bytes_per_s: rate(before.1.write_bytes, after.1.write_bytes),
        worker_bytes_per_s: worker_bytes as f64 / seconds,
    })
}

/// Index of the first daemon that owns exactly one shard; 0 if none does.
async fn owner(site: &Site) -> usize {
    for (i, daemon) in site.daemons.iter().enumerate() {
        let text = daemon.metrics().await.unwrap_or_default();
        if text.lines().any(|line| line == "lapisdrum_shards_owned 1") {
            return i;
        }
    }
    0
}

fn print(rows: &[CapacityRow]) {
    let headings = [
        "workers",
        "tasks",
        "entries",
        "daemons",
        "changes/s",
        "starts/s",
        "cpu %",
        "rss MB",
        "peak MB",
        "writes/s",
        "reads/s",
        "in B/s",
        "out B/s",
        "workers B/s",
    ];
    let cells = |row: &CapacityRow| {
        vec![
            row.workers.to_string(),
            row.tasks.to_string(),
            row.entries.to_string(),
            row.daemons.to_string(),
            row.changes_per_s.to_string(),
            format!("{:.1}", row.starts_per_s),
            format!("{:.2}", row.owner_cpu_percent),
            format!("{:.1}", row.owner_resident_mb),
            format!("{:.1}", row.owner_peak_mb),
            format!("{:.2}", row.table_writes_per_s),
            format!("{:.2}", row.table_reads_per_s),
            format!("{:.0}", row.platform_read_bytes_per_s),
            format!("{:.0}", row.platform_write_bytes_per_s),
            format!("{:.0}", row.worker_bytes_per_s),
        ]
    };
    table::print(&headings, &rows.iter().map(cells).collect::<Vec<_>>());
}
