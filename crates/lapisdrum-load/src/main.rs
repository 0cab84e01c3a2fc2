//! The `lapisdrum-load` binary: parses the arguments and runs the subcommand.

use clap::Parser;
use lapisdrum_load::args::{Args, run};

fn main() -> eyre::Result<()> {
    actix_rt::System::new().block_on(run(Args::parse()))
}
