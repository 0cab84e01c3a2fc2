//! Arguments of `lapisdrum timeline`.

use crate::cli::DaemonArgs;
use clap::Args;
use lapisdrum::ops::{self, Failure, output::Output, timeline::Query};

const EXAMPLES: &str = "\
Examples:
  lapisdrum timeline --since 10m
  lapisdrum timeline --since 2026-01-31T12:00:00Z --worker worker-7
  lapisdrum timeline --job westlands.0-00000000deadbeef
  lapisdrum timeline --entry catalogue-render

Asks the daemon, then every other that it knows of, and merges the answers into one order in which no
effect comes before its cause. Daemons that do not answer, and events that a daemon no longer has,
are named at the end.";

/// Arguments of `timeline`.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub(crate) struct TimelineArgs {
    /// Events of this job only.
    #[arg(long)]
    job: Option<String>,
    /// Events of this worker only.
    #[arg(long)]
    worker: Option<String>,
    /// Events of this entry and of its jobs only.
    #[arg(long)]
    entry: Option<String>,
    /// Events from this time on: a time in UTC, or a span before now (90s, 10m, 2h, 1d).
    #[arg(long)]
    since: Option<String>,
    #[command(flatten)]
    daemon: DaemonArgs,
}

/// Prints the merged time line of all daemons.
pub(crate) async fn run(args: TimelineArgs, output: Output) -> Result<(), Failure> {
    let client = args.daemon.client();
    let query = Query {
        job: args.job,
        worker: args.worker,
        entry: args.entry,
        since: args.since,
    };
    super::print(output, &ops::timeline::gather(&client, &query).await?)
}
