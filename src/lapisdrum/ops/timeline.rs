//! `lapisdrum timeline`: the daemons' events merged into one order.

use crate::{api::client::DaemonClient, timeline::event::Record};

/// The merged time line and what is missing from it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// Events of all daemons that answered, in order.
    pub events: Vec<Record>,
    /// Events that fell out of the daemons' rings.
    pub dropped: u64,
    /// Daemons that did not answer, by address.
    pub silent: Vec<String>,
}

/// Reads and merges the time lines of the daemons at these addresses.
pub async fn merge(daemons: &[(String, DaemonClient)]) -> Merged {
    let mut merged = Merged::default();
    for (address, client) in daemons {
        match client.timeline().await {
            Ok(part) => {
                merged.events.extend(part.events);
                merged.dropped += part.dropped;
            }
            Err(_) => merged.silent.push(address.clone()),
        }
    }
    merged.events.sort_by_key(|record| record.stamp);
    merged
}
