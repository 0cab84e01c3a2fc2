//! `lapisdrum-load policy`: the decisions under load, with virtual time and baselines.
//!
//! The event loop drives the daemon's own policy modules; docs/MEASUREMENTS.md, section "Policy",
//! holds the figures. Every run with the same seed gives the same table.

pub mod bench;
pub mod daemon;
pub mod load;
pub mod scenario;

use crate::table;
use bench::Received;
use clap::Args;
use daemon::Decisions;
use eyre::Result;
use scenario::{INDUS, MWANGAZA, Pattern, Profile};
use serde::Serialize;
use std::{path::PathBuf, time::Duration};

/// Arguments of `policy`.
#[derive(Debug, Args)]
pub struct PolicyArgs {
    /// Seeds; one trial each.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    seeds: Vec<u64>,
    /// Virtual seconds of each trial.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Only patterns whose name contains this.
    #[arg(long, default_value = "")]
    pattern: String,
    /// Where to write the rows as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// What the callers of one stream received in one trial.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyRow {
    /// Deployment.
    pub profile: String,
    /// Load pattern.
    pub pattern: String,
    /// Decisions it was run under.
    pub decisions: String,
    /// Seed.
    pub seed: u64,
    /// Entry.
    pub entry: String,
    /// Whole answers in time, a second.
    pub goodput: f64,
    /// The same relative to what all slots could run.
    pub of_capacity: f64,
    /// Median latency of whole answers in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Refused, a second.
    pub refused_per_s: f64,
    /// 99th percentile of the time to a refusal, in milliseconds.
    pub refusal_p99_ms: f64,
    /// Ended unknown.
    pub unknown: u64,
    /// Sends to workers for each whole answer.
    pub sends_per_answer: f64,
}

/// Runs every pattern under every set of decisions.
pub fn run(args: &PolicyArgs) -> Result<()> {
    let mut rows = Vec::new();
    for profile in [MWANGAZA, INDUS] {
        for (pattern, kind) in Pattern::ALL {
            if pattern.contains(&args.pattern) {
                for seed in &args.seeds {
                    rows.extend(rows_of(&profile, pattern, kind, args.seconds, *seed));
                }
            }
        }
    }
    print(&rows);
    match &args.json {
        Some(path) => table::write_json(path, &rows),
        None => Ok(()),
    }
}

fn rows_of(
    profile: &Profile,
    pattern: &str,
    kind: Pattern,
    seconds: u64,
    seed: u64,
) -> Vec<PolicyRow> {
    let trial = kind.trial(profile, Duration::from_secs(seconds), seed);
    let mut rows = Vec::new();
    for (name, decisions) in Decisions::ALL {
        let results = bench::run(&trial, decisions);
        for (stream, received) in trial.streams.iter().zip(results) {
            rows.push(PolicyRow {
                profile: profile.name.to_owned(),
                pattern: pattern.to_owned(),
                decisions: name.to_owned(),
                seed,
                entry: format!("{}/{}", stream.entry, stream.callers),
                of_capacity: received.goodput() / profile.capacity(stream.run),
                ..row(&received)
            });
        }
    }
    rows
}

fn row(received: &Received) -> PolicyRow {
    let seconds = received.counted.as_secs_f64();
    PolicyRow {
        profile: String::new(),
        pattern: String::new(),
        decisions: String::new(),
        seed: 0,
        entry: String::new(),
        goodput: received.goodput(),
        of_capacity: 0.0,
        p50_ms: received.quantile_ms(0.5),
        p99_ms: received.quantile_ms(0.99),
        p999_ms: received.quantile_ms(0.999),
        refused_per_s: received.refused as f64 / seconds,
        refusal_p99_ms: received.refusal.value_at_quantile(0.99) as f64 / 1e3,
        unknown: received.unknown,
        sends_per_answer: received.sends as f64 / received.done.max(1) as f64,
    }
}

fn print(rows: &[PolicyRow]) {
    let headings = [
        "profile",
        "pattern",
        "decisions",
        "seed",
        "entry",
        "goodput/s",
        "of cap.",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "refused/s",
        "ref. p99",
        "unknown",
        "sends",
    ];
    let cells = rows.iter().map(|row| {
        vec![
            row.profile.clone(),
            row.pattern.clone(),
            row.decisions.clone(),
            row.seed.to_string(),
            row.entry.clone(),
            format!("{:.0}", row.goodput),
            format!("{:.3}", row.of_capacity),
            format!("{:.1}", row.p50_ms),
            format!("{:.1}", row.p99_ms),
            format!("{:.1}", row.p999_ms),
            format!("{:.0}", row.refused_per_s),
            format!("{:.1}", row.refusal_p99_ms),
            row.unknown.to_string(),
            format!("{:.3}", row.sends_per_answer),
        ]
    });
    table::print(&headings, &cells.collect::<Vec<_>>());
}
