//! Arguments of `lapisdrum check`.

use clap::Args;
use lapisdrum::ops::{self, Failure, output::Output};
use std::path::PathBuf;

const EXAMPLES: &str = "\
Examples:
  lapisdrum check daemon.toml
  lapisdrum check catalogue.toml

A file with `[[entry]]` tables is taken for a catalogue, any other for a daemon's settings. Every
fault is named at once with its line and key, and the exit status is 2.";

/// Arguments of `check`.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub(crate) struct CheckArgs {
    /// A settings or catalogue file.
    file: PathBuf,
}

/// Validates the file and prints what it is.
pub(crate) fn run(args: &CheckArgs, output: Output) -> Result<(), Failure> {
    super::print(output, &ops::check::check(&args.file)?)
}
