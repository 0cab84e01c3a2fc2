//! The command line's definition.

use crate::commands::{catalogue, check, jobs, run, timeline};
use clap::{Args, Parser, Subcommand};
use lapisdrum::api::client::DaemonClient;
use std::time::Duration;

/// Time for one call to a daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A scheduler for latency-critical and batch work on the same hosts.
#[derive(Debug, Parser)]
#[command(version, about, propagate_version = true)]
pub(crate) struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// The subcommands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Run a daemon until SIGTERM.
    Run(run::RunArgs),
    /// Check a settings or catalogue file and name every fault.
    Check(check::CheckArgs),
    /// Read and change the catalogue.
    #[command(subcommand)]
    Catalogue(catalogue::CatalogueCommand),
    /// Hand in, read and cancel jobs.
    #[command(subcommand)]
    Jobs(jobs::JobsCommand),
    /// Show what happened, merged over daemons.
    Timeline(timeline::TimelineArgs),
}

/// Which daemon to ask.
#[derive(Debug, Args)]
pub(crate) struct DaemonArgs {
    /// Address of any daemon, as in its `daemon.callers` setting.
    #[arg(long, env = "LAPISDRUM_DAEMON", default_value = "127.0.0.1:7000")]
    daemon: String,
}

impl DaemonArgs {
    /// A client of that daemon.
    pub(crate) fn client(&self) -> DaemonClient {
        DaemonClient::new(&self.daemon, CALL_TIMEOUT)
    }
}
