//! The `lapisdrum` binary: parses the arguments, runs the subcommand and sets the exit status.

mod cli;
mod commands;

use clap::Parser;
use lapisdrum::ops::output::Output;
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    let output = Output::from(cli.output);
    let outcome = actix_rt::System::new().block_on(commands::run(cli.command, output));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{}", output.render_failure(&failure));
            ExitCode::from(failure.exit as u8)
        }
    }
}
