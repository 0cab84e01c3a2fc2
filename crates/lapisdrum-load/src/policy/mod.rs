//! `lapisdrum-load policy`: compares policy decisions under load with baselines, in virtual time.
//!
//! The event loops drive the daemon's own policy modules; docs/MEASUREMENTS.md, section "Policy",
//! holds the results. Runs with the same seed give the same tables, except for the nanoseconds.

pub mod bench;
pub mod daemon;
pub mod decide;
pub mod load;
pub mod rows;
pub mod scenario;
pub mod tasks;

use crate::table;
use clap::Args;
use decide::DecisionRow;
use eyre::Result;
use rows::{RequestRow, TaskRow};
use scenario::{INDUS, MWANGAZA, Pattern};
use serde::Serialize;
use std::path::PathBuf;

/// Numbers of workers for which decisions are timed.
const DECISION_WORKERS: [usize; 2] = [50, 500];

/// Arguments of `policy`.
#[derive(Debug, Args)]
pub struct PolicyArgs {
    /// Seeds; each trial runs once per seed.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    seeds: Vec<u64>,
    /// Length of each request trial, in virtual seconds.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Length of each task trial, in virtual seconds.
    #[arg(long, default_value_t = 3_600)]
    task_seconds: u64,
    /// Run only the request patterns whose name contains this.
    #[arg(long, default_value = "")]
    pattern: String,
    /// Skip the request trials.
    #[arg(long)]
    no_requests: bool,
    /// Skip the task trials.
    #[arg(long)]
    no_tasks: bool,
    /// Skip the timing of decisions.
    #[arg(long)]
    no_decisions: bool,
    /// File to write the rows to, as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Result of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PolicyResult {
    /// Request trials, one row per seed, deployment, pattern, decisions and stream.
    pub requests: Vec<RequestRow>,
    /// Task trials, one row per seed, deployment and decisions.
    pub tasks: Vec<TaskRow>,
    /// Timed decisions, one row per decision and number of workers.
    pub decisions: Vec<DecisionRow>,
}

/// Runs the selected trials, prints their tables and writes them as JSON if `json` is set.
pub fn run(args: &PolicyArgs) -> Result<()> {
    let mut result = PolicyResult::default();
    for seed in &args.seeds {
        if !args.no_requests {
            result.requests.extend(requests(args, *seed));
        }
        for profile in [MWANGAZA, INDUS] {
            if !args.no_tasks {
                result
                    .tasks
                    .extend(rows::tasks(&profile, args.task_seconds, *seed));
            }
        }
    }
    if !args.no_decisions {
        let timed = DECISION_WORKERS.into_iter();
        result.decisions = timed.flat_map(|workers| decide::run(workers, 1)).collect();
    }
    rows::print(&result);
    match &args.json {
        Some(path) => table::write_json(path, &result),
        None => Ok(()),
    }
}

fn requests(args: &PolicyArgs, seed: u64) -> Vec<RequestRow> {
    let mut found = Vec::new();
    for profile in [MWANGAZA, INDUS] {
        let chosen = Pattern::ALL.into_iter();
        for (name, pattern) in chosen.filter(|(name, _)| name.contains(&args.pattern)) {
            found.extend(rows::requests(
                &profile,
                (name, pattern),
                args.seconds,
                seed,
            ));
        }
    }
    found
}
