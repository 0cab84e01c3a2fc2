//! Admission of requests: rate and concurrency limits per entry and per owner, enforced by each
//! daemon for its share of them.
//!
//! Load pattern: a burst or a retry storm on one entry, or one owner with many entries. Without an
//! admission limit the burst takes every slot and the callers of all other entries wait behind it.
//!
//! A limit holds for the whole system; each daemon enforces the [`Share`] that it is given. Shares
//! are whole numbers that add up to the limit ([`divide`] never rounds up), so admitting a request
//! needs no message between daemons, and a daemon that stops responding withholds only its own
//! share. When a limit is lower than the number of daemons, some shares are zero.
//!
//! The rate is counted exactly over a sliding second: at most `rate_per_s` admissions in any span
//! of one second. A token bucket with a burst of one second's tokens would admit twice the rate in
//! the second after a pause. The clock counts milliseconds and admissions are counted per
//! millisecond, so an entry stores at most 1,000 counts.

use crate::core::{
    catalogue::Limits,
    id::{EntryName, OwnerName},
    time::Millis,
};
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};

const RATE_WINDOW: Duration = Duration::from_secs(1);

data! {
    /// This daemon's share of a limit.
    #[derive(Copy)]
    pub struct Share {
        /// Requests that may run at once on this daemon.
        pub concurrency: u32,
        /// Requests that this daemon may admit in any second; `None` for no rate limit.
        pub rate_per_s: Option<u32>,
        /// Requests that may wait on this daemon.
        pub queue: u32,
    }
}

/// Share number `index` of a limit divided into `parts`; the shares add up to exactly the limit.
pub fn divide(limits: &Limits, parts: u32, index: u32) -> Share {
    Share {
        concurrency: split_evenly(limits.concurrency, parts, index),
        rate_per_s: limits
            .rate_per_s
            .map(|rate| split_evenly(rate, parts, index)),
        queue: split_evenly(limits.queue, parts, index),
    }
}

/// Share number `index` of `whole` divided into `parts`; the remainder goes to the first shares,
/// one each. Zero when `index` is out of range.
pub fn split_evenly(whole: u32, parts: u32, index: u32) -> u32 {
    let parts = parts.max(1);
    if index >= parts {
        return 0;
    }
    whole / parts + u32::from(index < whole % parts)
}

/// The entry and the owner whose limits a request counts against, with this daemon's shares.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Entry that the request calls.
    pub entry: &'a EntryName,
    /// Owner of the entry.
    pub owner: &'a OwnerName,
    /// This daemon's share of the entry's limits.
    pub share: Share,
    /// This daemon's share of the owner's quota over all of its entries; `None` for no quota.
    pub quota: Option<Share>,
}

/// Why a request is not admitted, with the time until the next admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The entry's rate limit is reached.
    EntryRate(Duration),
    /// The owner's rate limit is reached.
    OwnerRate(Duration),
}

impl Denied {
    /// Time until one more request would be admitted if no other came first.
    pub fn wait(self) -> Duration {
        match self {
            Self::EntryRate(wait) | Self::OwnerRate(wait) => wait,
        }
    }
}

/// Recent admissions and current runs of this daemon, by entry and by owner.
#[derive(Debug, Default)]
pub struct Admission {
    entries: IndexMap<EntryName, Usage>,
    owners: IndexMap<OwnerName, Usage>,
}

#[derive(Debug, Default)]
struct Usage {
    running: u32,
    window: Window,
}

impl Admission {
    /// Counts a request against the rate limits of its entry and its owner. When either limit is
    /// reached, it is counted against neither.
    pub fn admit(&mut self, request: &AdmissionRequest<'_>, now: Millis) -> Result<(), Denied> {
        let entry = usage_of(&mut self.entries, request.entry);
        let owner = usage_of(&mut self.owners, request.owner);
        let owner_rate = request.quota.and_then(|quota| quota.rate_per_s);
        if let Some(wait) = entry.window.wait(request.share.rate_per_s, now) {
            return Err(Denied::EntryRate(wait));
        }
        if let Some(wait) = owner.window.wait(owner_rate, now) {
            return Err(Denied::OwnerRate(wait));
        }
        entry.window.record(request.share.rate_per_s, now);
        owner.window.record(owner_rate, now);
        Ok(())
    }

    /// Whether one more request may run within the concurrency limits of its entry and its owner.
    pub fn has_capacity(&self, request: &AdmissionRequest<'_>) -> bool {
        let quota = request.quota.map_or(u32::MAX, |quota| quota.concurrency);
        self.running(request.entry) < request.share.concurrency
            && self.running_of_owner(request.owner) < quota
    }

    /// Counts a run as started if both concurrency limits allow it; returns whether they did.
    #[must_use]
    pub fn start(&mut self, request: &AdmissionRequest<'_>) -> bool {
        if !self.has_capacity(request) {
            return false;
        }
        usage_of(&mut self.entries, request.entry).running += 1;
        usage_of(&mut self.owners, request.owner).running += 1;
        true
    }

    /// Counts a run as ended.
    pub fn finish(&mut self, entry: &EntryName, owner: &OwnerName) {
        if let Some(usage) = self.entries.get_mut(entry) {
            usage.running = usage.running.saturating_sub(1);
        }
        if let Some(usage) = self.owners.get_mut(owner) {
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// Current runs of an entry. The entry's share must not be reduced below this.
    pub fn running(&self, entry: &EntryName) -> u32 {
        self.entries.get(entry).map_or(0, |usage| usage.running)
    }

    /// Current runs of all entries of an owner.
    pub fn running_of_owner(&self, owner: &OwnerName) -> u32 {
        self.owners.get(owner).map_or(0, |usage| usage.running)
    }

    /// Number of entries that have state here.
    pub fn tracked_entries(&self) -> usize {
        self.entries.len()
    }

    /// Removes entries and owners without runs and without admissions in the last second.
    pub fn forget_idle(&mut self, now: Millis) {
        self.entries.retain(|_, usage| !usage.is_idle(now));
        self.owners.retain(|_, usage| !usage.is_idle(now));
    }
}

fn usage_of<'a, K: Clone + std::hash::Hash + Eq>(
    map: &'a mut IndexMap<K, Usage>,
    key: &K,
) -> &'a mut Usage {
    if !map.contains_key(key) {
        map.insert(key.clone(), Usage::default());
    }
    &mut map[key]
}

impl Usage {
    fn is_idle(&mut self, now: Millis) -> bool {
        self.window.expire(now);
        self.running == 0 && self.window.total == 0
    }
}

/// Admissions of the last second, counted by millisecond.
#[derive(Debug, Default)]
struct Window {
    counts: VecDeque<(Millis, u32)>,
    total: u32,
}

impl Window {
    /// Time until one more is allowed; `None` when it is allowed now.
    fn wait(&mut self, rate: Option<u32>, now: Millis) -> Option<Duration> {
        let rate = rate?;
        self.expire(now);
        if self.total < rate {
            return None;
        }
        let oldest = self.counts.front().map_or(now, |(at, _)| *at);
        Some((oldest + RATE_WINDOW).since(now))
    }

    fn record(&mut self, rate: Option<u32>, now: Millis) {
        if rate.is_none() {
            return;
        }
        self.total += 1;
        match self.counts.back_mut() {
            Some((at, count)) if *at == now => *count += 1,
            _ => self.counts.push_back((now, 1)),
        }
    }

    fn expire(&mut self, now: Millis) {
        while let Some((at, count)) = self.counts.front().copied() {
            if now.since(at) < RATE_WINDOW {
                break;
            }
            self.total -= count;
            self.counts.pop_front();
        }
    }
}
