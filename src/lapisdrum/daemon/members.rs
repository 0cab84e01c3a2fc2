//! Who is there: daemons by their presence rows, shard rows and the platform's hosts, as last seen.

use crate::{
    core::{
        id::{DaemonId, DataCentre, Rack, Revision, ShardId, WorkerId},
        time::Millis,
    },
    state::ownership::{Holder, ShardRow, Sighting},
    store::wire::Host,
};
use indexmap::{IndexMap, IndexSet};
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};
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
        /// Whether the platform's list names the daemon's own host, as the daemon itself has seen.
        #[serde(default)]
        pub is_listed: bool,
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
    /// Hosts of this data centre by name: workers, and entry hosts with no slots.
    pub hosts: IndexMap<WorkerId, Host>,
    /// When the presence rows of all data centres were last read; none before the first time.
    pub all_read_at: Option<Millis>,
    /// When the list of hosts was last read; none before the first time.
    pub hosts_read_at: Option<Millis>,
    /// The tag of that list.
    pub hosts_tag: Option<String>,
    /// Workers that this process has ever seen named.
    named: IndexSet<WorkerId>,
    /// Addresses of all hosts that are named now.
    addresses: IndexSet<IpAddr>,
    by_shard: IndexMap<ShardId, Vec<WorkerId>>,
    shard_count: u32,
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
        debug_assert!(self.hosts_read_at.is_none() || count == self.shard_count);
        let names = self.by_shard.get(shard).into_iter().flatten();
        names.filter_map(|worker| self.hosts.get(worker)).collect()
    }

    /// Takes over a list that was read at `now`, for `count` shards a data centre. An empty list is
    /// no news: it would declare every host dead at once.
    pub fn set_hosts(&mut self, hosts: Vec<Host>, count: u32, now: Millis) {
        if hosts.is_empty() && !self.hosts.is_empty() {
            return;
        }
        self.by_shard.clear();
        self.shard_count = count;
        for host in hosts.iter().filter(|host| host.slots > 0) {
            let shard = shard_of_rack(&host.data_centre, &host.rack, count);
            let workers = self.by_shard.entry(shard).or_default();
            workers.push(host.worker.clone());
        }
        self.named
            .extend(hosts.iter().map(|host| host.worker.clone()));
        self.addresses = hosts
            .iter()
            .filter_map(|host| ip_of(&host.address))
            .collect();
        self.hosts = hosts
            .into_iter()
            .map(|host| (host.worker.clone(), host))
            .collect();
        self.hosts_read_at = Some(now);
    }

    /// Whether this process has ever seen the worker named.
    pub fn was_named(&self, worker: &WorkerId) -> bool {
        self.named.contains(worker)
    }

    /// Whether the platform's list names the host at `address` (IP number and port).
    pub fn is_listed(&self, address: &str) -> bool {
        ip_of(address).is_some_and(|ip| self.addresses.contains(&ip))
    }

    /// Whether another run of a daemon lives where `holder` was: its presence row changed after
    /// `since`, when `holder` was an earlier owner. Two runs can't share an address, so `holder` is
    /// gone. A row that merely lies there proves nothing: it may be older than `holder`.
    pub fn is_replaced(&self, holder: &Holder, since: Millis) -> bool {
        self.daemons.values().any(|seen| {
            let other = &seen.row.holder;
            other.address == holder.address && other != holder && seen.seen.since > since
        })
    }

    /// Whether the platform vouches that `holder`'s host is gone: the list named it, as the daemon
    /// itself wrote into its presence row, and names it no more.
    ///
    /// This rests on an assumption about the platform: entry hosts stand in its list under their IP
    /// number (with no slots, since they take no work), and a host that it no longer names is dead.
    /// Where entry hosts are not listed, no row says so and this is never evidence.
    pub fn is_host_gone(&self, holder: &Holder) -> bool {
        let row = self.daemons.get(&holder.daemon);
        let was_listed = row.is_some_and(|seen| seen.row.holder == *holder && seen.row.is_listed);
        was_listed && self.hosts_read_at.is_some() && !self.is_listed(&holder.address)
    }
}

fn ip_of(address: &str) -> Option<IpAddr> {
    let address = address.parse::<SocketAddr>().ok()?;
    Some(address.ip())
}

/// The shard that a rack belongs to. A rack stays whole, so that spreading over racks can be judged
/// by the shards' owners alone only within one shard.
pub fn shard_of_rack(dc: &DataCentre, rack: &Rack, count: u32) -> ShardId {
    let hash = xxh3_64(rack.as_str().as_bytes());
    let index = u32::try_from(hash % u64::from(count.max(1))).unwrap_or_default();
    ShardId::new(dc, index)
}
