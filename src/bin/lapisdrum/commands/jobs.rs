//! Arguments of `lapisdrum jobs`.

use crate::cli::{DaemonArgs, WaitArgs};
use clap::Subcommand;
use lapisdrum::ops::{self, Failure, output::Output};

const SUBMIT_EXAMPLES: &str = "\
Examples:
  lapisdrum jobs submit catalogue-render
  lapisdrum jobs submit catalogue-render --key opening-of-14-march --wait

The job is durable when the command ends with status 0. A lost answer is repeated under the same key,
so there is one job at most; with a key of your own that also holds over several calls. With --wait
a refusal that says when to retry is retried then.";

const LIST_EXAMPLES: &str = "\
Examples:
  lapisdrum jobs list --state waiting
  lapisdrum jobs list --entry catalogue-render --state failed

Shards whose owners do not answer are named at the end; their jobs are not in the list.";

/// What to do with a job.
#[derive(Debug, Subcommand)]
pub(crate) enum JobsCommand {
    /// Submit a job.
    #[command(after_help = SUBMIT_EXAMPLES)]
    Submit {
        /// The catalogue entry.
        entry: String,
        /// Your own id for it: a repeat under the same key finds the same job.
        #[arg(long)]
        key: Option<String>,
        #[command(flatten)]
        wait: WaitArgs,
        #[command(flatten)]
        daemon: DaemonArgs,
    },
    /// Show a job.
    #[command(after_help = "Example:\n  lapisdrum jobs show westlands.0-00000000deadbeef")]
    Show {
        /// The job's id.
        job: String,
        #[command(flatten)]
        daemon: DaemonArgs,
    },
    /// List jobs of all shards.
    #[command(after_help = LIST_EXAMPLES)]
    List {
        /// Jobs of this entry only.
        #[arg(long)]
        entry: Option<String>,
        /// Jobs in this state only: waiting, running, done, failed or cancelled.
        #[arg(long)]
        state: Option<String>,
        #[command(flatten)]
        daemon: DaemonArgs,
    },
    /// Cancel a job.
    #[command(after_help = "Example:\n  lapisdrum jobs cancel westlands.0-00000000deadbeef")]
    Cancel {
        /// The job's id.
        job: String,
        #[command(flatten)]
        daemon: DaemonArgs,
    },
}

/// Runs a `jobs` subcommand and prints its result.
pub(crate) async fn run(command: JobsCommand, output: Output) -> Result<(), Failure> {
    let job = match command {
        JobsCommand::Submit {
            entry,
            key,
            wait,
            daemon,
        } => {
            let wait = wait.limit().unwrap_or_default();
            ops::jobs::submit(&daemon.client(), &entry, key.as_deref(), wait).await?
        }
        JobsCommand::Show { job, daemon } => ops::jobs::show(&daemon.client(), &job).await?,
        JobsCommand::Cancel { job, daemon } => ops::jobs::cancel(&daemon.client(), &job).await?,
        JobsCommand::List {
            entry,
            state,
            daemon,
        } => {
            let client = daemon.client();
            let list = ops::jobs::list(&client, entry.as_deref(), state.as_deref()).await?;
            return super::print(output, &list);
        }
    };
    super::print(output, &job)
}
