//! The `lapisdrum` binary: arguments in, one call out, an exit status.

mod cli;
mod commands;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    let outcome = actix_rt::System::new().block_on(commands::run(cli));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("error: {failure}");
            ExitCode::from(failure.exit as u8)
        }
    }
}
