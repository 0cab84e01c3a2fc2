//! Ownership of a shard: a table row with a holder, an epoch and a lease.
//!
//! A single writer per shard keeps hosts from being overcommitted without a table write for each
//! task. The row is only changed by compare-and-set, so of two daemons that race for it one wins.
//! The holder counts its lease from *before* it sent the renewal and subtracts the drift margin;
//! the others count from when they *first read* the row's present version and add the margin.
//! Errors on either side lead to a time without an owner, never to two owners.

use crate::core::{
    id::{DaemonId, Epoch, Incarnation},
    time::Millis,
};
use std::time::Duration;

data! {
    /// One incarnation of a daemon.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Holder {
        /// The daemon's name, the same for all its incarnations.
        pub daemon: DaemonId,
        /// Drawn at random when the daemon started.
        pub incarnation: Incarnation,
        /// The daemon's address. A new incarnation at the same address proves that the old one has
        /// ended.
        pub address: String,
    }

    /// The table row of a shard.
    pub struct ShardRow {
        /// Raised by one at each take-over.
        pub epoch: Epoch,
        /// The owner; `None` once it has released the shard.
        pub holder: Option<Holder>,
        /// Raised by one at each renewal, so that a renewed row differs from the previous one.
        pub renewals: u64,
    }
}

/// Lease settings, which must be the same for all daemons of a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Time after its last renewal at which a lease ends.
    pub lease: Duration,
    /// Maximum relative clock drift between two hosts, in thousandths.
    pub drift_permille: u32,
}

impl LeaseTerms {
    /// `span` less the drift margin, for the side that must stop in time.
    pub fn shortened(&self, span: Duration) -> Duration {
        span - span * self.drift_permille / 1_000
    }

    /// `span` plus the drift margin, for the side that must wait long enough.
    pub fn lengthened(&self, span: Duration) -> Duration {
        span + span * self.drift_permille / 1_000
    }
}

/// A daemon's last observation of a row that another daemon holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Sighting {
    /// The row's table version; 0 when there is no row.
    pub version: u64,
    /// When this version was first read.
    pub since: Millis,
}

impl Sighting {
    /// The observation after reading the row at `now`. `since` is kept while the version is the
    /// same.
    #[must_use]
    pub fn update(previous: Option<Self>, version: u64, now: Millis) -> Self {
        match previous {
            Some(seen) if seen.version == version => seen,
            _ => Self {
                version,
                since: now,
            },
        }
    }
}

/// Whether a daemon may take a shard over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It has no holder: it was never held, or was released.
    Vacant,
    /// The lease has run out without a renewal.
    Lapsed,
    /// The lease may still be in force.
    Held,
}

/// Availability of a shard whose row was last read as `row`, with that version first read at
/// `seen.since`.
pub fn availability(
    row: Option<&ShardRow>,
    seen: Sighting,
    now: Millis,
    terms: &LeaseTerms,
) -> Availability {
    match row {
        None | Some(ShardRow { holder: None, .. }) => Availability::Vacant,
        Some(_) if now.since(seen.since) > terms.lengthened(terms.lease) => Availability::Lapsed,
        Some(_) => Availability::Held,
    }
}

/// The row that `holder` writes to take the shard over, with the next epoch.
pub fn taken(row: Option<&ShardRow>, holder: Holder) -> ShardRow {
    let epoch = row.map(|row| row.epoch).unwrap_or_default().next();
    ShardRow {
        epoch,
        holder: Some(holder),
        renewals: 0,
    }
}

/// The row that the holder writes to renew its lease.
pub fn renewed(row: &ShardRow) -> ShardRow {
    ShardRow {
        renewals: row.renewals + 1,
        ..row.clone()
    }
}

/// The row that the holder writes to release the shard.
pub fn released(row: &ShardRow) -> ShardRow {
    ShardRow {
        holder: None,
        renewals: row.renewals + 1,
        ..row.clone()
    }
}

/// A lease as its holder counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Tenure {
    /// The epoch in which the holder owns the shard.
    pub epoch: Epoch,
    /// When the last renewal that took effect was *sent*, on the holder's clock.
    pub renewed_at: Millis,
}

impl Tenure {
    /// Whether the holder may still start or commit anything at `now`. A process that was paused
    /// must check this before it acts, since its lease may have run out.
    pub fn may_act(&self, now: Millis, terms: &LeaseTerms) -> bool {
        now.since(self.renewed_at) < terms.shortened(terms.lease)
    }

    /// The latest end of a task's lease that the holder may grant, given the entry's `hold`. The
    /// next owner waits for this time when neither the worker nor the holder answers.
    pub fn right_until(&self, hold: Duration, terms: &LeaseTerms) -> Millis {
        self.renewed_at + terms.shortened(hold)
    }

    /// Records that a renewal sent at `sent_at` took effect.
    pub fn renew(&mut self, sent_at: Millis) {
        self.renewed_at = self.renewed_at.max(sent_at);
    }
}
