//! Arguments of `lapisdrum completions`.

use crate::cli::Cli;
use clap::{Args, CommandFactory};
use clap_complete::Shell;
use lapisdrum::ops::Failure;

const EXAMPLES: &str = "\
Examples:
  lapisdrum completions bash > /etc/bash_completion.d/lapisdrum
  lapisdrum completions zsh > _lapisdrum";

/// Arguments of `completions`.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub(crate) struct CompletionsArgs {
    /// The shell.
    shell: Shell,
}

/// Prints the completion script for the shell.
pub(crate) fn run(args: &CompletionsArgs) -> Result<(), Failure> {
    let mut script = Vec::new();
    clap_complete::generate(args.shell, &mut Cli::command(), "lapisdrum", &mut script);
    super::write_stdout(&script)
}
