//! `lapisdrum-load policy`: the decisions under load, with virtual time and baselines.
//!
//! The event loops drive the daemon's own policy modules; docs/MEASUREMENTS.md, section "Policy",
//! holds the figures. Every run with the same seed gives the same tables, but for the nanoseconds.

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

/// Workers at which decisions are timed.
const DECISION_WORKERS: [usize; 2] = [50, 500];

/// Arguments of `policy`.
#[derive(Debug, Args)]
pub struct PolicyArgs {
    /// Seeds; one trial each.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    seeds: Vec<u64>,
    /// Virtual seconds of each trial of requests.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Virtual seconds of each trial of tasks.
    #[arg(long, default_value_t = 3_600)]
    task_seconds: u64,
    /// Only patterns of requests whose name contains this.
    #[arg(long, default_value = "")]
    pattern: String,
    /// Leave the trials of requests out.
    #[arg(long)]
    no_requests: bool,
    /// Leave the trials of tasks out.
    #[arg(long)]
    no_tasks: bool,
    /// Leave the timing of decisions out.
    #[arg(long)]
    no_decisions: bool,
    /// Where to write the rows as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Everything that a run gives.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PolicyResult {
    /// Requests, by deployment, pattern and decisions.
    pub requests: Vec<RequestRow>,
    /// Tasks, by deployment and decisions.
    pub tasks: Vec<TaskRow>,
    /// Time of each decision.
    pub decisions: Vec<DecisionRow>,
}

/// Runs what was asked for, prints its tables and writes them as JSON.
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
