//! Shares of an entry's global limit, stored as one table row per entry.
//!
//! A limit applies to the whole system, also while a data centre is cut off. It is therefore
//! divided durably: each *party* (a daemon incarnation for requests, a shard for jobs) has a part
//! in the row, the parts add up to no more than the limit, and a party uses its part without asking
//! others. The share of a data centre is the sum of its parties' parts.
//!
//! - Only a party itself lowers its part, and only after it has reduced its use to the new amount.
//!   The difference is then free for others. A party that is cut off keeps its part, so no other
//!   party can use it.
//! - A party that needs more than is free marks its part as short. Parties above their even share
//!   then reduce theirs to it, idle ones to half of it. In one update a short party takes at most
//!   half of the free amount, or its even share if that is more, so that shares follow demand over
//!   several updates and do not oscillate.
//! - A daemon's part is removed when the daemon has certainly ended and the longest deadline has
//!   passed.
//!
//! Every change is a compare-and-set of the row. A row grows by about 150 bytes per daemon; above
//! about fifty daemons it should be split into one row per data centre.

use super::ownership::Holder;
use crate::core::id::{DataCentre, Revision, ShardId};

data! {
    /// A holder of a part of a limit.
    #[derive(PartialOrd, Ord, Hash)]
    pub enum Party {
        /// A daemon incarnation, for requests.
        Daemon(Holder),
        /// A shard, for jobs; the part stays with the shard when its owner changes.
        Shard(ShardId),
    }

    /// One party's part of a limit.
    pub struct Part {
        /// The party that may use the part.
        pub party: Party,
        /// The party's data centre.
        pub data_centre: DataCentre,
        /// Concurrent requests or tasks that the party may run.
        pub amount: u32,
        /// Whether the party needs more than was free at its last update.
        pub is_short: bool,
    }

    /// The table row of an entry.
    #[derive(Default)]
    pub struct Shares {
        /// The catalogue revision that set the limit.
        pub revision: Revision,
        /// Concurrent requests or tasks of the entry over the whole system.
        pub limit: u32,
        /// One part per party.
        pub parts: Vec<Part>,
    }
}

/// What a party knows about itself and the other parties when it updates the row.
#[derive(Clone, Debug)]
pub struct PartyView<'a> {
    /// The party that updates the row.
    pub party: &'a Party,
    /// The party's data centre.
    pub data_centre: &'a DataCentre,
    /// The catalogue revision of `limit`.
    pub revision: Revision,
    /// Concurrent requests or tasks of the entry over the whole system.
    pub limit: u32,
    /// Number of parties known at present, this one included.
    pub parties: u32,
    /// This party's rank among them, from 0.
    pub rank: u32,
    /// Requests or tasks that run at present, each counted until it has certainly ended.
    pub running: u32,
    /// Recent peak of requests or tasks that run or wait.
    pub demand: u32,
}

impl Shares {
    /// The sum of all parts.
    pub fn given(&self) -> u32 {
        self.parts.iter().map(|part| part.amount).sum()
    }

    /// The part of the limit that no party has.
    pub fn free(&self) -> u32 {
        self.limit.saturating_sub(self.given())
    }

    /// A party's part; `None` when it is not in the row.
    pub fn part(&self, party: &Party) -> Option<&Part> {
        self.parts.iter().find(|part| part.party == *party)
    }

    /// The row after a party's update; equal to this row when there is nothing to change.
    #[must_use]
    pub fn updated_by(&self, view: &PartyView<'_>) -> Self {
        let mut next = self.clone();
        if view.revision > next.revision {
            next.revision = view.revision;
            next.limit = view.limit;
        }
        let is_other_short = |part: &Part| part.is_short && part.party != *view.party;
        let is_contended = next.parts.iter().any(is_other_short) || next.given() > next.limit;
        let free = next.free();
        let even = next.even_share_of(view);
        let own = next.own_part(view);
        let needed = view.demand.max(view.running).max(even / 2);
        let needed = if needed >= own.amount.max(1) {
            // A margin above present use, so that the next request need not wait for an update.
            needed + needed / 4 + 1
        } else {
            needed
        };
        if is_contended && own.amount > needed.min(even) {
            own.amount = needed.min(even).max(view.running).min(own.amount);
        } else {
            let target = if is_contended { even } else { even.max(needed) };
            let step = free.div_ceil(2).max(even.min(free));
            own.amount += target.saturating_sub(own.amount).min(step);
        }
        own.is_short = own.amount < needed && own.amount < view.limit;
        next
    }

    /// The number of running requests or tasks up to which a party may start more: its even share
    /// while others are short or the parts exceed the limit, and no ceiling (`u32::MAX`) at other
    /// times. A part can't be lowered below what is running, and while callers wait a party runs as
    /// much as its part allows. Without the ceiling the part would never be lowered and the others
    /// would get nothing.
    pub fn ceiling(&self, view: &PartyView<'_>) -> u32 {
        let is_other_short = self
            .parts
            .iter()
            .any(|part| part.is_short && part.party != *view.party);
        match is_other_short || self.given() > self.limit {
            true => self.even_share_of(view),
            false => u32::MAX,
        }
    }

    /// A party's even share. Parties in the row that this one does not know yet count too;
    /// otherwise the parties that know each other would divide the whole limit among themselves.
    fn even_share_of(&self, view: &PartyView<'_>) -> u32 {
        let listed = u32::try_from(self.parts.len()).unwrap_or(u32::MAX);
        even_share(view.limit, view.parties.max(listed), view.rank)
    }

    /// The row without the part of a party that has certainly ended.
    #[must_use]
    pub fn without(&self, party: &Party) -> Self {
        let mut next = self.clone();
        next.parts.retain(|part| part.party != *party);
        next
    }

    fn own_part(&mut self, view: &PartyView<'_>) -> &mut Part {
        let index = self.parts.iter().position(|part| part.party == *view.party);
        let index = index.unwrap_or_else(|| {
            self.parts.push(Part {
                party: view.party.clone(),
                data_centre: view.data_centre.clone(),
                amount: 0,
                is_short: false,
            });
            self.parts.len() - 1
        });
        &mut self.parts[index]
    }
}

/// The even share of the party with `rank` out of `count`; the remainder goes to the lowest ranks.
fn even_share(limit: u32, count: u32, rank: u32) -> u32 {
    let count = count.max(1);
    limit / count + u32::from(rank < limit % count)
}

/// The amount that a party lets itself use: at most its last confirmed part, and at most any lower
/// part that it may since have written.
///
/// It guards against this failure: the answer to a write that lowers the part is lost. The row,
/// read right away, still shows the greater part; then the late write takes effect and other
/// parties take the difference. If this party had raised its use again, the limit would be
/// exceeded. The amount is therefore raised only by a write of its own that is known to have taken
/// effect: the comparison in that write rules out that an earlier one takes effect later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsableShare(u32);

impl UsableShare {
    /// Concurrent requests or tasks that the party may run.
    pub fn amount(self) -> u32 {
        self.0
    }

    /// Lowers the amount before a write of `amount` is sent; never raises it.
    pub fn before_write(&mut self, amount: u32) {
        self.0 = self.0.min(amount);
    }

    /// Sets the amount after a write of `amount` has certainly taken effect.
    pub fn after_write(&mut self, amount: u32) {
        self.0 = amount;
    }

    /// Lowers the amount after `amount` was read from the row; never raises it.
    pub fn after_read(&mut self, amount: u32) {
        self.0 = self.0.min(amount);
    }
}
