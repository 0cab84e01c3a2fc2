//! `lapisdrum-load requests`: measures the latency that the daemon adds to a request, over loopback.
//!
//! Callers keep a fixed number of requests in flight (closed loop) through one daemon, then directly to
//! the workers; the difference is what the daemon adds. The daemon is the real one with all its
//! decisions; only the work of the workers is simulated, by a sleep.

use crate::{
    entries,
    site::{Site, until},
    table,
};
use clap::Args;
use eyre::{Result, eyre};
use hdrhistogram::Histogram;
use lapisdrum::core::catalogue::RawEntry;
use lapisdrum_standins::worker::server::WorkerSwitches;
use serde::Serialize;
use std::{cell::RefCell, net::SocketAddr, path::PathBuf, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Timeout for the daemon to receive its floors (worker capacity for requests) and answer a request.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest latency that the histogram records, in microseconds: one minute.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Significant digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Arguments of `requests`.
#[derive(Debug, Args)]
pub struct RequestsArgs {
    /// Number of workers, with eight slots each.
    #[arg(long, default_value_t = 16)]
    workers: usize,
    /// Run time of a request on a worker, in milliseconds.
    #[arg(long, default_value_t = 20)]
    request_ms: u64,
    /// Requests kept in flight; one pair of runs for each value.
    #[arg(long, value_delimiter = ',', default_value = "1,32")]
    callers: Vec<usize>,
    /// Length of a run, in seconds.
    #[arg(long, default_value_t = 15)]
    window_s: u64,
    /// File to write the rows to, as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RequestsRow {
    /// Where the callers sent their requests: `daemon` or `worker`.
    pub through: &'static str,
    /// Requests kept in flight.
    pub callers: usize,
    /// Successful answers per second.
    pub answers_per_s: f64,
    /// Number of requests with an error status or without a complete answer.
    pub others: u64,
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency, in milliseconds.
    pub p999_ms: f64,
}

/// Measures each number of callers through the daemon and directly to the workers.
pub async fn run(args: RequestsArgs) -> Result<()> {
    let site = Site::start(1, args.workers, |plan| {
        plan.extra_settings = "[log]\nlevel = \"warn\"\n".to_owned();
    })
    .await?;
    let switches = WorkerSwitches {
        request_ms: args.request_ms,
        ..WorkerSwitches::default()
    };
    site.switch_workers(&switches).await?;
    let map_entry = RawEntry {
        idempotent: true,
        deadline_ms: Some(5_000),
        ..entries::small("map", "latency-critical")
    };
    site.daemons[0].client().put_entry(&map_entry, None).await?;
    let daemon = site.daemons[0].plan.callers;
    until("the daemon answers a request", READY_TIMEOUT, async || {
        send_request(daemon, "/v1/run/map").await.is_ok()
    })
    .await?;
    // The daemon receives floors, shares and estimated run times over several polls.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let mut rows = Vec::new();
    for &callers in &args.callers {
        rows.push(run_one(&args, "daemon", &[daemon], "/v1/run/map", callers).await?);
        rows.push(run_one(&args, "worker", &site.workers, "/v1/requests", callers).await?);
    }
    print(&rows);
    if let Some(path) = &args.json {
        table::write_json(path, &rows)?;
    }
    Ok(())
}

async fn send_request(address: SocketAddr, path: &str) -> Result<()> {
    send_request_with(
        &awc::Client::builder().timeout(CALL_TIMEOUT).finish(),
        address,
        path,
    )
    .await
}

async fn send_request_with(http: &awc::Client, address: SocketAddr, path: &str) -> Result<()> {
    let req = http.post(format!("http://{address}{path}"));
    let req = req.insert_header(("lapisdrum-request", "load"));
    let mut answer = req.send_body("studio 14").await.map_err(|e| eyre!("{e}"))?;
    answer.body().await?;
    match answer.status().is_success() {
        true => Ok(()),
        false => Err(eyre!("{}", answer.status())),
    }
}

async fn run_one(
    args: &RequestsArgs,
    through: &'static str,
    addresses: &[SocketAddr],
    path: &'static str,
    callers: usize,
) -> Result<RequestsRow> {
    let latencies = Rc::new(RefCell::new(Histogram::<u64>::new_with_max(
        MAX_LATENCY_MICROS,
        SIGNIFICANT_DIGITS,
    )?));
    let others = Rc::new(RefCell::new(0_u64));
    let end = Instant::now() + Duration::from_secs(args.window_s);
    let caller = |index: usize| {
        let address = addresses[index % addresses.len()];
        let (latencies, others) = (Rc::clone(&latencies), Rc::clone(&others));
        async move {
            let http = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
            while Instant::now() < end {
                let sent_at = Instant::now();
                match send_request_with(&http, address, path).await {
                    Ok(()) => {
                        let micros = sent_at.elapsed().as_micros() as u64;
                        latencies.borrow_mut().saturating_record(micros);
                    }
                    Err(_) => *others.borrow_mut() += 1,
                }
            }
        }
    };
    futures::future::join_all((0..callers).map(caller)).await;
    let latencies = latencies.borrow();
    let ms = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    Ok(RequestsRow {
        through,
        callers,
        answers_per_s: latencies.len() as f64 / args.window_s as f64,
        others: *others.borrow(),
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
        p999_ms: ms(0.999),
    })
}

fn print(rows: &[RequestsRow]) {
    let headings = [
        "through",
        "callers",
        "answers/s",
        "others",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
    ];
    let cells = |row: &RequestsRow| {
        vec![
            row.through.to_owned(),
            row.callers.to_string(),
            format!("{:.0}", row.answers_per_s),
            row.others.to_string(),
            format!("{:.2}", row.p50_ms),
            format!("{:.2}", row.p99_ms),
            format!("{:.2}", row.p999_ms),
        ]
    };
    table::print(&headings, &rows.iter().map(cells).collect::<Vec<_>>());
}
