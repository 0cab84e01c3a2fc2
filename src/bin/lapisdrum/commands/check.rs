//! Arguments of `lapisdrum check`.

use crate::cli::DaemonArgs;
use clap::Args;
use lapisdrum::ops::{self, Failure, check::Against, output::Output};
use std::path::{Path, PathBuf};

/// Value of `--against` that stands for the catalogue in force.
const IN_FORCE: &str = "in-force";

const EXAMPLES: &str = "\
Examples:
  lapisdrum check daemon.toml
  lapisdrum check catalogue.toml
  lapisdrum check catalogue.toml --against in-force
  lapisdrum check catalogue.toml --against catalogue.before.toml

A file with `[[entry]]` tables is taken for a catalogue, any other for a daemon's settings. Every
fault is named at once with its line and key, and the exit status is 2. Of a catalogue without faults,
keys that can't take effect are named as warnings; the exit status is 0.";

/// Arguments of `check`.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub(crate) struct CheckArgs {
    /// A settings or catalogue file.
    file: PathBuf,
    /// Also show how a catalogue differs from `in-force`, the one of the daemon's site, or from
    /// another file.
    #[arg(long, value_name = "in-force|FILE")]
    against: Option<String>,
    #[command(flatten)]
    daemon: DaemonArgs,
}

/// Validates the file and prints what it is.
pub(crate) async fn run(args: &CheckArgs, output: Output) -> Result<(), Failure> {
    let client = args.daemon.client();
    let against = match args.against.as_deref() {
        None => Against::Nothing,
        Some(IN_FORCE) => Against::InForce(&client),
        Some(file) => Against::File(Path::new(file)),
    };
    let report = ops::check::check(&args.file, against).await?;
    super::print(output, &report)
}
