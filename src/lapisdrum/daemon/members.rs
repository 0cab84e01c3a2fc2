//! Who is there: daemons by their presence rows, shard rows and the platform's hosts, as last seen.

use crate::{
    core::{
        id::{DaemonId, DataCentre, Rack, Revision, ShardId, WorkerId},
        time::Millis,
    },
    platform::wire::Host,
    state::ownership::{Holder, ShardRow, Sighting},
};
use indexmap::IndexMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

data! {
    /// A daemon's presence row.
    pub struct Presence {
        /// The daemon and its run.
        pub holder: Holder,
        /// Its data centre.
        pub data_centre: DataCentre,
        /// Where callers reach it.
        pub callers: String,
        /// The catalogue revision in force there.
        pub revision: Revision,
        /// Raised by each write, so that a live daemon's row keeps changing.
        pub beat: u64,
    }
}

/// A presence row and since when it has been unchanged.
#[derive(Clone, Debug)]
pub struct SeenPresence {
    /// The row.
    pub row: Presence,
    /// Its version and age.
    pub seen: Sighting,
}

/// A shard row and since when it has been unchanged.
#[derive(Clone, Debug)]
pub struct SeenShard {
    /// The row.
    pub row: ShardRow,
    /// Its version and age.
    pub seen: Sighting,
}

/// Everything that a daemon has last seen of the others.
#[derive(Debug, Default)]
pub struct Members {
    /// Daemons by name.
    pub daemons: IndexMap<DaemonId, SeenPresence>,
    /// Shards by name.
    pub shards: IndexMap<ShardId, SeenShard>,
    /// Workers by name.
    pub hosts: IndexMap<WorkerId, Host>,
    /// When the list of hosts was last read; none before the first time.
    pub hosts_read_at: Option<Millis>,
}

impl Members {
    /// Daemons of a data centre whose rows changed within `patience`, in name order.
    pub fn live(&self, dc: &DataCentre, now: Millis, patience: Duration) -> Vec<&Presence> {
        let fresh = |seen: &&SeenPresence| {
            seen.row.data_centre == *dc && now.since(seen.seen.since) <= patience
        };
        let mut live: Vec<_> = self
            .daemons
            .values()
            .filter(fresh)
            .map(|seen| &seen.row)
            .collect();
        live.sort_by(|a, b| a.holder.cmp(&b.holder));
        live
    }

    /// The address at which a shard's owner answers other daemons.
    pub fn owner_address(&self, shard: &ShardId) -> Option<String> {
        self.shards
            .get(shard)?
            .row
            .holder
            .as_ref()
            .map(|holder| holder.address.clone())
    }

    /// Workers of a shard, when the data centre has `count` shards.
    pub fn shard_hosts(&self, shard: &ShardId, count: u32) -> Vec<&Host> {
        let own = |host: &&Host| {
            host.slots > 0 && shard_of_rack(&host.data_centre, &host.rack, count) == *shard
        };
        self.hosts.values().filter(own).collect()
    }
}

/// The shard that a rack belongs to. A rack stays whole, so that spreading over racks can be judged
/// by the shards' owners alone only within one shard.
pub fn shard_of_rack(dc: &DataCentre, rack: &Rack, count: u32) -> ShardId {
    let hash = xxh3_64(rack.as_str().as_bytes());
    let index = u32::try_from(hash % u64::from(count.max(1))).unwrap_or_default();
    ShardId::new(dc, index)
}
