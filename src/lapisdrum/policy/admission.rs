//! Whether a request is let in and may start: limits of its entry and its owner, as this daemon's
//! share of them.
//!
//! Load pattern: a burst or a retry storm on one entry, or one owner with many entries. Without a
//! limit at the door the burst takes every slot and every other entry's callers wait behind it.
//!
//! A limit holds for the whole system; a daemon enforces a [`Share`] that it is handed. Shares are
//! whole numbers that add up to the limit ([`divide`] never rounds up), so no message between the
//! daemons is needed at the moment of a request, and a daemon that falls silent takes only its own
//! share with it. Some daemons have a share of nothing when the limit is below their number.
//!
//! Rate is counted over a sliding second, exactly: at most `rate_per_s` admissions in any span of
//! one second. A token bucket with a burst of a second's worth would let twice the rate through in
//! the second after a pause. The clock counts milliseconds, so the count by millisecond holds at
//! most 1,000 numbers an entry.

use crate::core::{
    catalogue::Limits,
    id::{EntryName, OwnerName},
    time::Millis,
};
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};

/// The span over which a rate is counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

data! {
    /// This daemon's part of a limit.
    #[derive(Copy)]
    pub struct Share {
        /// Requests that may run at once here.
        pub concurrency: u32,
        /// Requests that may be let in here in any second; none for no such limit.
        pub rate_per_s: Option<u32>,
        /// Requests that may wait here.
        pub queue: u32,
    }
}

/// Part `index` of `parts` of a limit; all parts together are exactly the limit.
pub fn divide(limits: &Limits, parts: u32, index: u32) -> Share {
    Share {
        concurrency: part(limits.concurrency, parts, index),
        rate_per_s: limits.rate_per_s.map(|rate| part(rate, parts, index)),
        queue: part(limits.queue, parts, index),
    }
}

/// Part `index` of `parts` of a whole number; the remainder goes to the first parts.
pub fn part(whole: u32, parts: u32, index: u32) -> u32 {
    let parts = parts.max(1);
    if index >= parts {
        return 0;
    }
    whole / parts + u32::from(index < whole % parts)
}

/// Whose limits a request counts against, and this daemon's share of them.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// The entry.
    pub entry: &'a EntryName,
    /// Its owner.
    pub owner: &'a OwnerName,
    /// Share of the entry's limits.
    pub share: Share,
    /// Share of the owner's quota over all of its entries; none for no quota.
    pub quota: Option<Share>,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The entry's rate is used up for this long.
    EntryRate(Duration),
    /// The owner's rate is used up for this long.
    OwnerRate(Duration),
}

impl Denied {
    /// Time until one more would be let in if nobody else asked.
    pub fn wait(self) -> Duration {
        match self {
            Self::EntryRate(wait) | Self::OwnerRate(wait) => wait,
        }
    }
}

/// What this daemon has let in and what runs.
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
    /// Counts a request against the rates of its entry and owner; neither is charged when one of
    /// them is used up.
    pub fn let_in(&mut self, claim: &Claim<'_>, now: Millis) -> Result<(), Denied> {
        let entry = usage_of(&mut self.entries, claim.entry);
        let owner = usage_of(&mut self.owners, claim.owner);
        let owner_rate = claim.quota.and_then(|quota| quota.rate_per_s);
        if let Some(wait) = entry.window.wait(claim.share.rate_per_s, now) {
            return Err(Denied::EntryRate(wait));
        }
        if let Some(wait) = owner.window.wait(owner_rate, now) {
            return Err(Denied::OwnerRate(wait));
        }
        entry.window.note(claim.share.rate_per_s, now);
        owner.window.note(owner_rate, now);
        Ok(())
    }

    /// Whether one more request may run within the concurrency of entry and owner.
    pub fn has_room(&self, claim: &Claim<'_>) -> bool {
        let quota = claim.quota.map_or(u32::MAX, |quota| quota.concurrency);
        self.running(claim.entry) < claim.share.concurrency
            && self.running_of_owner(claim.owner) < quota
    }

    /// Takes room for a run, if there is any.
    #[must_use]
    pub fn start(&mut self, claim: &Claim<'_>) -> bool {
        if !self.has_room(claim) {
            return false;
        }
        usage_of(&mut self.entries, claim.entry).running += 1;
        usage_of(&mut self.owners, claim.owner).running += 1;
        true
    }

    /// Gives the room of a run back.
    pub fn finish(&mut self, entry: &EntryName, owner: &OwnerName) {
        if let Some(usage) = self.entries.get_mut(entry) {
            usage.running = usage.running.saturating_sub(1);
        }
        if let Some(usage) = self.owners.get_mut(owner) {
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// Runs of an entry at present. A share may be given away only down to this.
    pub fn running(&self, entry: &EntryName) -> u32 {
        self.entries.get(entry).map_or(0, |usage| usage.running)
    }

    /// Runs of an owner's entries at present.
    pub fn running_of_owner(&self, owner: &OwnerName) -> u32 {
        self.owners.get(owner).map_or(0, |usage| usage.running)
    }

    /// Entries that something is remembered of.
    pub fn known(&self) -> usize {
        self.entries.len()
    }

    /// Forgets entries and owners that have nothing running and nothing in their windows.
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
        self.window.forget(now);
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
    /// Time until one more is allowed; none when it is allowed now.
    fn wait(&mut self, rate: Option<u32>, now: Millis) -> Option<Duration> {
        let rate = rate?;
        self.forget(now);
        if self.total < rate {
            return None;
        }
        let oldest = self.counts.front().map_or(now, |(at, _)| *at);
        Some((oldest + RATE_WINDOW).since(now))
    }

    fn note(&mut self, rate: Option<u32>, now: Millis) {
        if rate.is_none() {
            return;
        }
        self.total += 1;
        match self.counts.back_mut() {
            Some((at, count)) if *at == now => *count += 1,
            _ => self.counts.push_back((now, 1)),
        }
    }

    fn forget(&mut self, now: Millis) {
        while let Some((at, count)) = self.counts.front().copied() {
            if now.since(at) < RATE_WINDOW {
                break;
            }
            self.total -= count;
            self.counts.pop_front();
        }
    }
}
