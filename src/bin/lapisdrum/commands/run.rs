//! Arguments of `lapisdrum run`.

use clap::Args;
use lapisdrum::ops::{self, Failure};
use std::path::PathBuf;

const EXAMPLES: &str = "\
Example:
  lapisdrum run --config daemon.toml

SIGTERM ends it gracefully: nothing new is accepted, what is in flight is finished, floors and shards
are given back so that others take over at once.";

/// Arguments of `run`.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub(crate) struct RunArgs {
    /// The daemon's settings, a TOML file.
    #[arg(long)]
    config: PathBuf,
}

/// Runs a daemon until SIGTERM or SIGINT.
pub(crate) async fn run(args: RunArgs) -> Result<(), Failure> {
    ops::run::run(&args.config).await
}
