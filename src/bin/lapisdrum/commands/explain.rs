//! Arguments of `lapisdrum explain`.

use clap::{Args, ValueEnum};
use lapisdrum::{
    attribution::totals::By,
    ops::{self, Failure, explain::Question, output::Output},
};
use std::path::PathBuf;

const EXAMPLES: &str = "\
Examples:
  lapisdrum explain --job db69020822dbbef1 daemons.log
  lapisdrum explain --by second daemons.log
  cat *.log | lapisdrum explain

Reads the JSON lines that daemons write to standard output, of all of them and in any order, and follows
each job's critical path from its end back to its submission. For long-running tasks it shows how
long they were unavailable. Text before a line's first brace is ignored.";

/// Arguments of `explain`.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub(crate) struct ExplainArgs {
    /// Files of log lines; standard input if none is named.
    files: Vec<PathBuf>,
    /// Show the critical path of this job, in place of sums.
    #[arg(long, value_name = "ID")]
    job: Option<String>,
    /// What to sum by.
    #[arg(long, value_enum, default_value_t = ByArg::Entry, conflicts_with = "job")]
    by: ByArg,
}

/// Key that the sums are grouped by.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum ByArg {
    /// The entry.
    Entry,
    /// The data centre that jobs were submitted at.
    DataCentre,
    /// The second of their submission.
    Second,
}

impl From<ByArg> for By {
    fn from(arg: ByArg) -> Self {
        match arg {
            ByArg::Entry => Self::Entry,
            ByArg::DataCentre => Self::DataCentre,
            ByArg::Second => Self::Second,
        }
    }
}

/// Prints the critical path of one job, or sums over all jobs.
pub(crate) fn run(args: ExplainArgs, output: Output) -> Result<(), Failure> {
    let question = match args.job {
        Some(job) => Question::Job(job),
        None => Question::Sums(args.by.into()),
    };
    super::print(output, &ops::explain::explain(&args.files, &question)?)
}
