//! The `lapisdrum-load` binary: arguments in, one call out.

use clap::Parser;
use lapisdrum_load::args::{Args, run};

fn main() -> eyre::Result<()> {
    actix_rt::System::new().block_on(run(Args::parse()))
}
