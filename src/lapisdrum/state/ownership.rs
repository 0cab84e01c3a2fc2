//! Who owns a shard: a table row with a holder, an epoch and a lease.
//!
//! One writer a shard keeps hosts within their size without a table write for each task. The row
//! changes by compare-and-set only, so two daemons that race for it get one winner. The holder
//! counts its lease from *before* it sent the renewal and takes the drift margin off; the others
//! count from when they *saw* the row unchanged and put the margin on. Both err towards a gap
//! without an owner, never towards two.

use crate::core::{
    id::{DaemonId, Epoch, Incarnation},
    time::Millis,
};
use std::time::Duration;

data! {
    /// One run of one daemon.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Holder {
        /// The daemon.
        pub daemon: DaemonId,
        /// Which run of it.
        pub incarnation: Incarnation,
        /// Its host's address; a new incarnation at the same address proves the old one gone.
        pub address: String,
    }

    /// The table row of a shard.
    pub struct ShardRow {
        /// Raised by each take-over.
        pub epoch: Epoch,
        /// The owner; none once it has released the shard.
        pub holder: Option<Holder>,
        /// Raised by each renewal, so that a renewed row differs from the one before.
        pub renewals: u64,
    }
}

/// Lease figures that every daemon of a data centre must share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Life of a lease without renewal.
    pub lease: Duration,
    /// Greatest relative clock drift between two hosts, in thousandths.
    pub drift_permille: u32,
}

impl LeaseTerms {
    /// `span` as the side that must stop early counts it.
    pub fn shortened(&self, span: Duration) -> Duration {
        span - span * self.drift_permille / 1_000
    }

    /// `span` as the side that must wait long enough counts it.
    pub fn lengthened(&self, span: Duration) -> Duration {
        span + span * self.drift_permille / 1_000
    }
}

/// What a daemon has seen of a row that somebody else holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Sighting {
    /// The row's table version; 0 for an absent row.
    pub version: u64,
    /// When this version was first seen.
    pub since: Millis,
}

impl Sighting {
    /// The sighting after reading the row at `now`: time counts on only while the row is unchanged.
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

/// Whether a shard may be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Nobody holds it: never held, or released.
    Vacant,
    /// Its lease has run out unrenewed.
    Lapsed,
    /// Somebody holds it.
    Held,
}

/// Judges a row that was last read as `row`, first seen in that version at `seen.since`.
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

/// The row that a taker writes: the next epoch, under its own name.
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

/// The row that the holder writes to give the shard up.
pub fn released(row: &ShardRow) -> ShardRow {
    ShardRow {
        holder: None,
        renewals: row.renewals + 1,
        ..row.clone()
    }
}

/// A holder's own view of its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Tenure {
    /// The epoch held.
    pub epoch: Epoch,
    /// When the last renewal that took effect was *sent*.
    pub renewed_at: Millis,
}

impl Tenure {
    /// Whether the holder may still start or commit anything at `now`. A holder that was paused
    /// asks this on waking and finds its lease gone before it acts.
    pub fn may_act(&self, now: Millis, terms: &LeaseTerms) -> bool {
        now.since(self.renewed_at) < terms.shortened(terms.lease)
    }

    /// The last moment to which the holder may let a task's lease run, for an entry's `hold`. This
    /// is the durable promise that a successor waits out when neither worker nor holder answers.
    pub fn right_until(&self, hold: Duration, terms: &LeaseTerms) -> Millis {
        self.renewed_at + terms.shortened(hold)
    }

    /// Notes that a renewal sent at `sent_at` took effect.
    pub fn renew(&mut self, sent_at: Millis) {
        self.renewed_at = self.renewed_at.max(sent_at);
    }
}
