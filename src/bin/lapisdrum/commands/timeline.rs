//! `lapisdrum timeline`.

use clap::Args;
use lapisdrum::{
    api::client::DaemonClient,
    ops::{self, Failure},
};
use std::time::Duration;

/// Time for a daemon to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Arguments of `timeline`.
#[derive(Debug, Args)]
pub(crate) struct TimelineArgs {
    /// Addresses of the daemons to merge.
    #[arg(long = "daemon", required = true)]
    daemons: Vec<String>,
}

/// Prints the merged time line.
pub(crate) async fn run(args: TimelineArgs) -> Result<(), Failure> {
    let client = |address: &String| DaemonClient::new(address, CALL_TIMEOUT);
    let daemons: Vec<_> = args
        .daemons
        .iter()
        .map(|a| (a.clone(), client(a)))
        .collect();
    let merged = ops::timeline::merge(&daemons).await;
    for record in &merged.events {
        println!("{record}");
    }
    for address in &merged.silent {
        eprintln!("no answer from {address}");
    }
    Ok(())
}
