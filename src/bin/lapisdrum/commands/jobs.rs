//! `lapisdrum jobs`.

use crate::cli::DaemonArgs;
use clap::Subcommand;
use lapisdrum::ops::{self, Failure};

/// What to do with a job.
#[derive(Debug, Subcommand)]
pub(crate) enum JobsCommand {
    /// Hand a job in.
    Submit {
        /// The catalogue entry.
        entry: String,
        #[command(flatten)]
        daemon: DaemonArgs,
    },
    /// Show a job.
    Show {
        /// The job's id.
        job: String,
        #[command(flatten)]
        daemon: DaemonArgs,
    },
    /// Cancel a job.
    Cancel {
        /// The job's id.
        job: String,
        #[command(flatten)]
        daemon: DaemonArgs,
    },
}

/// Runs one of them.
pub(crate) async fn run(command: JobsCommand) -> Result<(), Failure> {
    let job = match command {
        JobsCommand::Submit { entry, daemon } => {
            ops::jobs::submit(&daemon.client(), &entry).await?
        }
        JobsCommand::Show { job, daemon } => ops::jobs::show(&daemon.client(), &job).await?,
        JobsCommand::Cancel { job, daemon } => ops::jobs::cancel(&daemon.client(), &job).await?,
    };
    println!("{} {} {}", job.job, job.entry, job.state);
    Ok(())
}
