//! The command line: the processes that experiments start, and the experiments.

use crate::{capacity, catalogue, ledger, policy, recovery, requests, takeover};
use clap::{Parser, Subcommand};
use eyre::{Result, eyre};
use std::path::PathBuf;

/// Experiments over small stand-ins; each prints a table and can write it as JSON.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Args {
    /// What to do.
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a daemon (started by experiments).
    #[command(hide = true)]
    Daemon {
        /// Its settings.
        #[arg(long)]
        config: PathBuf,
    },
    /// Run a stand-in (started by experiments).
    #[command(hide = true)]
    Standins(lapisdrum_standins::process::Args),
    /// A daemon's processor time, memory and traffic against workers, tasks and entries.
    Capacity(capacity::CapacityArgs),
    /// Table writes and reads against tasks started.
    Ledger(ledger::LedgerArgs),
    /// Time from an owner's death to the next start.
    Takeover(takeover::TakeoverArgs),
    /// Time to recover a ledger against its length.
    Recovery(recovery::RecoveryArgs),
    /// What the daemon adds to a request, over loopback.
    Requests(requests::RequestsArgs),
    /// Time until a catalogue change is in force everywhere.
    Catalogue(catalogue::CatalogueArgs),
    /// The decisions under load, with virtual time and baselines.
    Policy(policy::PolicyArgs),
}

/// Runs the subcommand that was asked for.
pub async fn run(args: Args) -> Result<()> {
    match args.command {
        Command::Daemon { config } => lapisdrum::ops::run::run(&config)
            .await
            .map_err(|failure| eyre!("{failure}")),
        Command::Standins(args) => lapisdrum_standins::process::run(args).await,
        Command::Capacity(args) => capacity::run(args).await,
        Command::Ledger(args) => ledger::run(args).await,
        Command::Takeover(args) => takeover::run(args).await,
        Command::Recovery(args) => recovery::run(args).await,
        Command::Requests(args) => requests::run(args).await,
        Command::Catalogue(args) => catalogue::run(args).await,
        Command::Policy(args) => policy::run(&args),
    }
}
