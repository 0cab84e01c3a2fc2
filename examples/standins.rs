//! Runs a stand-in as a process of its own, for the process tests and for trying things out.

use clap::Parser;
use lapisdrum_standins::process::{Args, run};

fn main() -> eyre::Result<()> {
    actix_rt::System::new().block_on(run(Args::parse()))
}
