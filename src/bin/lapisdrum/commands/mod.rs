//! One file a subcommand: its arguments and one call into the library.

pub(crate) mod catalogue;
pub(crate) mod check;
pub(crate) mod jobs;
pub(crate) mod run;
pub(crate) mod timeline;

use crate::cli::{Cli, Command};
use lapisdrum::ops::Failure;

/// Runs the subcommand that was asked for.
pub(crate) async fn run(cli: Cli) -> Result<(), Failure> {
    match cli.command {
        Command::Run(args) => run::run(args).await,
        Command::Check(args) => check::run(&args),
        Command::Catalogue(command) => catalogue::run(command).await,
        Command::Jobs(command) => jobs::run(command).await,
        Command::Timeline(args) => timeline::run(args).await,
    }
}
