//! Definition of the command line, from which help, completions and man pages are generated.

use crate::commands::{catalogue, check, completions, explain, jobs, man, run, status, timeline};
use clap::{Args, Parser, Subcommand, ValueEnum};
use lapisdrum::{
    api::client::DaemonClient,
    ops::{self, output::Output},
    util::build::FULL_VERSION,
};
use std::{net::SocketAddr, time::Duration};

const EXAMPLES: &str = "\
Examples:
  lapisdrum check daemon.toml
  lapisdrum run --config daemon.toml
  lapisdrum catalogue apply --wait catalogue.toml
  lapisdrum status --daemon 127.0.0.1:7000

Exit status:
  0  done
  1  failed; the message says what is known
  2  wrong input; nothing was changed
  3  refused; nothing was changed";

/// A scheduler for latency-critical and batch work on the same hosts.
#[derive(Debug, Parser)]
#[command(name = "lapisdrum", version = FULL_VERSION, about, propagate_version = true)]
#[command(after_help = EXAMPLES)]
pub(crate) struct Cli {
    /// Form of the output.
    #[arg(long, global = true, value_enum, default_value_t = OutputArg::Text)]
    pub(crate) output: OutputArg,
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
    /// Submit, read and cancel jobs.
    #[command(subcommand)]
    Jobs(jobs::JobsCommand),
    /// Show daemons, shards, workers, the platform and the revision on each daemon.
    Status(status::StatusArgs),
    /// Show what happened, merged over all daemons.
    Timeline(timeline::TimelineArgs),
    /// Show from log lines where jobs' time went.
    Explain(explain::ExplainArgs),
    /// Print shell completions.
    Completions(completions::CompletionsArgs),
    /// Print the man page, or write one for each subcommand.
    Man(man::ManArgs),
}

/// Forms of output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum OutputArg {
    /// For people.
    Text,
    /// For programs: one JSON value on one line.
    Json,
}

impl From<OutputArg> for Output {
    fn from(arg: OutputArg) -> Self {
        match arg {
            OutputArg::Text => Self::Text,
            OutputArg::Json => Self::Json,
        }
    }
}

/// How long to wait.
#[derive(Debug, Args)]
pub(crate) struct WaitArgs {
    /// Wait for it at most SECONDS (30 if left out).
    #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "30")]
    #[arg(require_equals = true)]
    wait: Option<u64>,
}

impl WaitArgs {
    /// Time limit of the wait; none without `--wait`.
    pub(crate) fn limit(&self) -> Option<Duration> {
        self.wait.map(Duration::from_secs)
    }
}

/// Which daemon to ask.
#[derive(Debug, Args)]
pub(crate) struct DaemonArgs {
    /// IP number and port of any daemon, as in its `daemon.callers` setting.
    #[arg(long, env = "LAPISDRUM_DAEMON", default_value = "127.0.0.1:7000")]
    daemon: SocketAddr,
}

impl DaemonArgs {
    /// Creates a client of the daemon named by `--daemon`.
    pub(crate) fn client(&self) -> DaemonClient {
        ops::connect(&self.daemon.to_string())
    }
}
