//! Membership as last read: daemons by their presence rows, shard rows and the platform's hosts.

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
    /// The row by which a daemon shows that it is alive.
    pub struct Presence {
        /// The daemon, its incarnation and its peer address.
        pub holder: Holder,
        /// The data centre in which the daemon runs.
        pub data_centre: DataCentre,
        /// The address for callers.
        pub callers: String,
        /// The catalogue revision in force on the daemon.
        pub revision: Revision,
        /// Incremented by each write, so that a live daemon's row keeps changing.
        pub beat: u64,
        /// Whether the platform's list contains the daemon's own host, as read by the daemon
        /// itself.
        #[serde(default)]
        pub is_listed: bool,
    }
}

/// A presence row and the time since which it has been unchanged.
#[derive(Clone, Debug)]
pub struct SeenPresence {
    /// The row.
    pub row: Presence,
    /// Its version and age.
    pub seen: Sighting,
}

/// A shard row and the time since which it has been unchanged.
#[derive(Clone, Debug)]
pub struct SeenShard {
    /// The row.
    pub row: ShardRow,
    /// Its version and age.
    pub seen: Sighting,
}

/// A daemon's view of other daemons, shards and hosts, as last read from the platform.
#[derive(Debug, Default)]
pub struct Members {
    /// Daemons by name.
    pub daemons: IndexMap<DaemonId, SeenPresence>,
    /// Shards by name.
    pub shards: IndexMap<ShardId, SeenShard>,
    /// Hosts of this data centre by name: workers, and entry hosts, which have no slots.
    pub hosts: IndexMap<WorkerId, Host>,
    /// When the presence rows of all data centres were last read; none before the first read.
    pub all_read_at: Option<Millis>,
    /// When the list of hosts was last read; none before the first read.
    pub hosts_read_at: Option<Millis>,
    /// Version tag of that list, sent with the next read so that an unchanged list is not resent.
    pub hosts_tag: Option<String>,
    /// Hosts that any list read by this process contained.
    ever_listed: IndexSet<WorkerId>,
    /// Addresses of all hosts in the current list.
    listed_addresses: IndexSet<IpAddr>,
    by_shard: IndexMap<ShardId, Vec<WorkerId>>,
    shard_count: u32,
}

impl Members {
    /// Daemons of a data centre whose rows changed within `timeout`, in name order.
    pub fn live(&self, dc: &DataCentre, now: Millis, timeout: Duration) -> Vec<&Presence> {
        let fresh = |seen: &&SeenPresence| {
            seen.row.data_centre == *dc && now.since(seen.seen.since) <= timeout
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

    /// The peer address of a shard's owner.
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

    /// Replaces the hosts by a list read at `now`, with `count` shards per data centre. An empty
    /// list is ignored once hosts are known: it would declare every host dead at once.
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
        self.ever_listed
            .extend(hosts.iter().map(|host| host.worker.clone()));
        self.listed_addresses = hosts
            .iter()
            .filter_map(|host| ip_of(&host.address))
            .collect();
        self.hosts = hosts
            .into_iter()
            .map(|host| (host.worker.clone(), host))
            .collect();
        self.hosts_read_at = Some(now);
    }

    /// Whether any list read by this process contained the worker.
    pub fn was_listed(&self, worker: &WorkerId) -> bool {
        self.ever_listed.contains(worker)
    }

    /// Whether the platform's list contains the host at `address` (IP address and port).
    pub fn is_listed(&self, address: &str) -> bool {
        ip_of(address).is_some_and(|ip| self.listed_addresses.contains(&ip))
    }

    /// Whether another incarnation of a daemon now runs at `holder`'s address: its presence row
    /// changed after `since`, a time at which `holder` was already a previous owner. Two processes
    /// can't share an address, so `holder` has ended. An unchanged row proves nothing: it may be
    /// older than `holder`.
    pub fn is_replaced(&self, holder: &Holder, since: Millis) -> bool {
        self.daemons.values().any(|seen| {
            let other = &seen.row.holder;
            other.address == holder.address && other != holder && seen.seen.since > since
        })
    }

    /// Whether the platform has removed `holder`'s host: its list contained the host, as the daemon
    /// itself wrote into its presence row, and no longer does.
    ///
    /// This assumes that the platform lists entry hosts under their IP address (with no slots,
    /// since they take no work), and that a host removed from the list is dead. If entry hosts are
    /// not listed, no presence row has `is_listed` set and this is always false.
    pub fn is_host_removed(&self, holder: &Holder) -> bool {
        let row = self.daemons.get(&holder.daemon);
        let was_listed = row.is_some_and(|seen| seen.row.holder == *holder && seen.row.is_listed);
        was_listed && self.hosts_read_at.is_some() && !self.is_listed(&holder.address)
    }
}

fn ip_of(address: &str) -> Option<IpAddr> {
    let address = address.parse::<SocketAddr>().ok()?;
    Some(address.ip())
}

/// The shard that a rack belongs to. A rack is never split between shards; each owner can judge how
/// tasks are spread over racks only within its own shard.
pub fn shard_of_rack(dc: &DataCentre, rack: &Rack, count: u32) -> ShardId {
    let hash = xxh3_64(rack.as_str().as_bytes());
    let index = u32::try_from(hash % u64::from(count.max(1))).unwrap_or_default();
    ShardId::new(dc, index)
}
