//! Arguments of the subcommands; each calls one function of the library.

pub(crate) mod catalogue;
pub(crate) mod check;
pub(crate) mod completions;
pub(crate) mod explain;
pub(crate) mod jobs;
pub(crate) mod man;
pub(crate) mod run;
pub(crate) mod status;
pub(crate) mod timeline;

use crate::cli::Command;
use lapisdrum::ops::{Exit, Failure, output::Output};
use serde::Serialize;
use std::{
    fmt::Display,
    io::{self, Write},
};

/// Runs a subcommand.
pub(crate) async fn run(command: Command, output: Output) -> Result<(), Failure> {
    match command {
        Command::Run(args) => run::run(args).await,
        Command::Check(args) => check::run(&args, output).await,
        Command::Catalogue(command) => catalogue::run(command, output).await,
        Command::Jobs(command) => jobs::run(command, output).await,
        Command::Status(args) => status::run(args, output).await,
        Command::Timeline(args) => timeline::run(args, output).await,
        Command::Explain(args) => explain::run(args, output),
        Command::Completions(args) => completions::run(&args),
        Command::Man(args) => man::run(&args),
    }
}

/// Prints a report. A closed standard output, such as a pipe to `head`, gives an error instead of
/// the panic of `println!`.
fn print<T: Display + Serialize>(output: Output, report: &T) -> Result<(), Failure> {
    write_stdout(format!("{}\n", output.render(report)).as_bytes())
}

fn write_stdout(text: &[u8]) -> Result<(), Failure> {
    let written = io::stdout().write_all(text);
    written.map_err(|e| Failure::new(Exit::Failed, format!("standard output: {e}")))
}

/// Prints a report, then returns the failure that came with it, if any.
fn print_with_failure<T: Display + Serialize>(
    output: Output,
    (report, failure): (T, Option<Failure>),
) -> Result<(), Failure> {
    print(output, &report)?;
    failure.map_or(Ok(()), Err)
}
