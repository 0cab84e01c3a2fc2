//! Arguments of `lapisdrum man`.

use crate::cli::Cli;
use clap::{Args, CommandFactory};
use lapisdrum::ops::{Exit, Failure};
use std::{io, path::PathBuf};

const EXAMPLES: &str = "\
Examples:
  lapisdrum man > lapisdrum.1
  lapisdrum man --dir /usr/local/share/man/man1";

/// Arguments of `man`.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub(crate) struct ManArgs {
    /// Write a page for each subcommand into this folder instead.
    #[arg(long)]
    dir: Option<PathBuf>,
}

/// Prints the main man page, or writes the pages of all subcommands into a folder.
pub(crate) fn run(args: &ManArgs) -> Result<(), Failure> {
    let failed = |e: io::Error| Failure::new(Exit::Failed, format!("the man page: {e}"));
    match &args.dir {
        Some(dir) => clap_mangen::generate_to(Cli::command(), dir).map_err(failed),
        None => {
            let mut page = Vec::new();
            let man = clap_mangen::Man::new(Cli::command());
            man.render(&mut page).map_err(failed)?;
            super::write_stdout(&page)
        }
    }
}
