//! `lapisdrum-load ledger`: measures table writes and reads per second by task starts per second.
//!
//! Jobs are submitted at a fixed rate regardless of the daemon's answers (open loop). The first setting
//! writes each event into its own row immediately; the others batch events for a linger time.

use crate::{
    entries,
    site::{Site, until},
    table,
};
use clap::Args;
use eyre::Result;
use hdrhistogram::Histogram;
use lapisdrum_standins::worker::server::WorkerSwitches;
use serde::Serialize;
use std::{
    cell::{Cell, RefCell},
    path::PathBuf,
    rc::Rc,
    time::Duration,
};
use tokio::time::{Instant, MissedTickBehavior};

/// Timeout for the first job to be accepted, which needs an owner of the shard.
const FIRST_JOB_TIMEOUT: Duration = Duration::from_secs(30);
/// Time under load before the window, so that the window shows the steady state.
const WARM_UP_TIME: Duration = Duration::from_secs(4);
/// Interval between bursts of submitted jobs.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(20);

/// Arguments of `ledger`.
#[derive(Debug, Args)]
pub struct LedgerArgs {
    /// Jobs submitted per second.
    #[arg(long, default_value_t = 200)]
    rate: u64,
    /// Number of workers.
    #[arg(long, default_value_t = 65)]
    workers: usize,
    /// Run time of a task, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    task_ms: u64,
    /// Length of each window, in seconds.
    #[arg(long, default_value_t = 10)]
    window_s: u64,
    /// Linger times to measure in addition to row by row, in milliseconds.
    #[arg(long, value_delimiter = ',', default_value = "0,50,250")]
    lingers: Vec<u64>,
    /// File to write the rows to, as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Results of one setting over the window.
#[derive(Clone, Debug, Serialize)]
pub struct LedgerRow {
    /// Name of the setting under which events are written to rows.
    pub writing: String,
    /// Jobs submitted per second.
    pub rate: u64,
    /// Tasks started per second.
    pub starts_per_s: f64,
    /// Number of jobs that were refused or whose submission had no answer.
    pub not_accepted: u64,
    /// Table writes per second, of all kinds.
    pub table_writes_per_s: f64,
    /// Table reads per second, of all kinds.
    pub table_reads_per_s: f64,
    /// Median time from submission to the answer of accepted jobs, in milliseconds.
    pub accepted_ms_p50: u64,
    /// 99th percentile of that time, in milliseconds.
    pub accepted_ms_p99: u64,
}

/// Measures each setting and prints the table.
pub async fn run(args: LedgerArgs) -> Result<()> {
    let by_row =
        "linger_urgent_ms = 0\nlinger_batch_ms = 0\nwrite_spacing_ms = 0\nrow_events = 1\n";
    let mut settings = vec![("row by row".to_owned(), by_row.to_owned())];
    for linger in &args.lingers {
        let text = format!(
            "linger_urgent_ms = {linger}\nlinger_batch_ms = {linger}\nwrite_spacing_ms = 0\n"
        );
        settings.push((format!("linger {linger} ms"), text));
    }
    settings.push(("defaults".to_owned(), String::new()));
    let mut rows = Vec::new();
    for (writing, text) in settings {
        let row = run_one(&args, writing, &text).await?;
        eprintln!("{row:?}");
        rows.push(row);
    }
    print(&rows);
    if let Some(path) = &args.json {
        table::write_json(path, &rows)?;
    }
    Ok(())
}

async fn run_one(args: &LedgerArgs, writing: String, settings: &str) -> Result<LedgerRow> {
    let extra_settings = format!("[log]\nlevel = \"warn\"\n\n[shards]\n{settings}");
    let site = Site::start(1, args.workers, |plan| {
        plan.extra_settings = extra_settings.clone()
    })
    .await?;
    let switches = WorkerSwitches {
        task_ms: args.task_ms,
        ..WorkerSwitches::default()
    };
    site.switch_workers(&switches).await?;
    let client = site.daemons[0].client();
    client
        .put_entry(&entries::small("render", "batch"), None)
        .await?;
    until("the first job is accepted", FIRST_JOB_TIMEOUT, async || {
        client.submit_job("render").await.is_ok()
    })
    .await?;
    let load = JobLoad::start(&site, args.rate);
    tokio::time::sleep(WARM_UP_TIME).await;
    load.reset();
    let (counts, starts) = (site.platform_counts().await?, site.starts().await);
    let started_at = Instant::now();
    tokio::time::sleep(Duration::from_secs(args.window_s)).await;
    let (counts_after, starts_after) = (site.platform_counts().await?, site.starts().await);
    let seconds = started_at.elapsed().as_secs_f64();
    let per_s = |from: u64, to: u64| (to - from) as f64 / seconds;
    let latencies = load.stop();
    Ok(LedgerRow {
        writing,
        rate: args.rate,
        starts_per_s: per_s(starts, starts_after),
        not_accepted: latencies.failed,
        table_writes_per_s: per_s(counts.writes, counts_after.writes),
        table_reads_per_s: per_s(counts.reads, counts_after.reads),
        accepted_ms_p50: latencies.accepted_ms.value_at_quantile(0.5),
        accepted_ms_p99: latencies.accepted_ms.value_at_quantile(0.99),
    })
}

/// Times of accepted submissions in milliseconds, and the number of the others.
struct Latencies {
    accepted_ms: Histogram<u64>,
    failed: u64,
}

impl Latencies {
    fn new() -> Self {
        // The library allows 0 to 5 significant digits.
        let accepted_ms =
            Histogram::new(3).unwrap_or_else(|e| panic!("cannot create histogram: {e}"));
        Self {
            accepted_ms,
            failed: 0,
        }
    }
}

/// Submits jobs at a fixed rate until it is stopped.
struct JobLoad {
    latencies: Rc<RefCell<Latencies>>,
    stopped: Rc<Cell<bool>>,
}

impl JobLoad {
    fn start(site: &Site, rate: u64) -> Self {
        let load = Self {
            latencies: Rc::new(RefCell::new(Latencies::new())),
            stopped: Rc::default(),
        };
        let client = site.daemons[0].client();
        let (latencies, stopped) = (Rc::clone(&load.latencies), Rc::clone(&load.stopped));
        actix_rt::spawn(async move {
            let started_at = Instant::now();
            let mut ticks = tokio::time::interval(SUBMIT_INTERVAL);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
            let mut sent = 0;
            while !stopped.get() {
                ticks.tick().await;
                let due = (started_at.elapsed().as_secs_f64() * rate as f64) as u64;
                for _ in sent..due {
                    let (client, latencies) = (client.clone(), Rc::clone(&latencies));
                    actix_rt::spawn(async move {
                        let sent_at = Instant::now();
                        let accepted = client.submit_job("render").await.is_ok();
                        let mut latencies = latencies.borrow_mut();
                        let ms = sent_at.elapsed().as_millis() as u64;
                        match accepted {
                            true => latencies.accepted_ms.saturating_record(ms),
                            false => latencies.failed += 1,
                        }
                    });
                }
                sent = due;
            }
        });
        load
    }

    /// Discards the results so far.
    fn reset(&self) {
        *self.latencies.borrow_mut() = Latencies::new();
    }

    fn stop(self) -> Latencies {
        self.stopped.set(true);
        self.latencies.replace(Latencies::new())
    }
}

fn print(rows: &[LedgerRow]) {
    let headings = [
        "writing",
        "jobs/s",
        "starts/s",
        "not accepted",
        "writes/s",
        "reads/s",
        "accepted p50 ms",
        "p99 ms",
    ];
    let cells = |row: &LedgerRow| {
        vec![
            row.writing.clone(),
            row.rate.to_string(),
            format!("{:.1}", row.starts_per_s),
            row.not_accepted.to_string(),
            format!("{:.1}", row.table_writes_per_s),
            format!("{:.1}", row.table_reads_per_s),
            row.accepted_ms_p50.to_string(),
            row.accepted_ms_p99.to_string(),
        ]
    };
    table::print(&headings, &rows.iter().map(cells).collect::<Vec<_>>());
}
