//! Arguments of `lapisdrum status`.

use crate::cli::DaemonArgs;
use clap::Args;
use lapisdrum::ops::{self, Failure, output::Output};

const EXAMPLES: &str = "\
Examples:
  lapisdrum status --daemon 127.0.0.1:7000
  lapisdrum --output json status | jq '.daemons[] | select(.answer == null)'

Asks the daemon, then every other that it knows of. A daemon that does not answer is named.";

/// Arguments of `status`.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub(crate) struct StatusArgs {
    #[command(flatten)]
    daemon: DaemonArgs,
}

/// Prints the merged status of all daemons.
pub(crate) async fn run(args: StatusArgs, output: Output) -> Result<(), Failure> {
    let report = ops::status::gather(&args.daemon.client()).await?;
    super::print(output, &report)
}
