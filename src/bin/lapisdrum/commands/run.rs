//! `lapisdrum run`.

use clap::Args;
use lapisdrum::ops::{self, Failure};
use std::path::PathBuf;

/// Arguments of `run`.
#[derive(Debug, Args)]
pub(crate) struct RunArgs {
    /// The daemon's settings.
    #[arg(long)]
    config: PathBuf,
}

/// Runs a daemon.
pub(crate) async fn run(args: RunArgs) -> Result<(), Failure> {
    ops::run::run(&args.config).await
}
