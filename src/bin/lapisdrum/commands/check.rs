//! `lapisdrum check`.

use clap::Args;
use lapisdrum::ops::{self, Failure};
use std::path::PathBuf;

/// Arguments of `check`.
#[derive(Debug, Args)]
pub(crate) struct CheckArgs {
    /// A settings or catalogue file.
    file: PathBuf,
}

/// Checks a file.
pub(crate) fn run(args: &CheckArgs) -> Result<(), Failure> {
    println!("{}", ops::check::check(&args.file)?);
    Ok(())
}
