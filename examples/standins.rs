//! Runs a stand-in as a separate process, for the process tests and for manual use.

use clap::Parser;
use lapisdrum_standins::process::{Args, run};

fn main() -> eyre::Result<()> {
    actix_rt::System::new().block_on(run(Args::parse()))
}
