//! The command line: the experiments, and the processes that they start.

use crate::{capacity, catalogue, ends, ledger, policy, recovery, requests, takeover};
use clap::{Parser, Subcommand};
use eyre::{Result, eyre};
use std::path::PathBuf;

/// Experiments that run against stand-ins; each prints a table.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Args {
    /// The experiment to run.
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a daemon (started by experiments).
    #[command(hide = true)]
    Daemon {
        /// Settings file of the daemon.
        #[arg(long)]
        config: PathBuf,
    },
    /// Run a stand-in (started by experiments).
    #[command(hide = true)]
    Standins(lapisdrum_standins::process::Args),
    /// Measure a daemon's processor time, memory and traffic by number of workers, tasks and entries.
    Capacity(capacity::CapacityArgs),
    /// Measure table writes and reads by rate of task starts.
    Ledger(ledger::LedgerArgs),
    /// Measure the time from the kill of a shard's owner to the next task start.
    Takeover(takeover::TakeoverArgs),
    /// Measure a take-over with more ended tasks on a worker than it lists at once.
    Ends(ends::EndsArgs),
    /// Measure the time to recover a ledger by its length.
    Recovery(recovery::RecoveryArgs),
    /// Measure the latency that the daemon adds to a request, over loopback.
    Requests(requests::RequestsArgs),
    /// Measure the time until a catalogue change is in force at every daemon.
    Catalogue(catalogue::CatalogueArgs),
    /// Compare policy decisions under load with baselines, in virtual time.
    Policy(policy::PolicyArgs),
}

/// Runs the given subcommand.
pub async fn run(args: Args) -> Result<()> {
    match args.command {
        Command::Daemon { config } => lapisdrum::ops::run::run(&config)
            .await
            .map_err(|failure| eyre!("{failure}")),
        Command::Standins(args) => lapisdrum_standins::process::run(args).await,
        Command::Capacity(args) => capacity::run(args).await,
        Command::Ledger(args) => ledger::run(args).await,
        Command::Takeover(args) => takeover::run(args).await,
        Command::Ends(args) => ends::run(args).await,
        Command::Recovery(args) => recovery::run(args).await,
        Command::Requests(args) => requests::run(args).await,
        Command::Catalogue(args) => catalogue::run(args).await,
        Command::Policy(args) => policy::run(&args),
    }
}
