//! Shares of an entry's limit over the whole system, as one table row an entry.
//!
//! A limit holds everywhere at once, also while a data centre is cut off. So it is divided durably:
//! each *party* (a run of a daemon for requests, a shard for jobs) has a part in the row, the parts
//! add up to no more than the limit, and a party uses its part without asking anybody. A data
//! centre's share is what its parties have together.
//!
//! - Only a party itself lowers its part, after it has come down to it: the giver first. What it gave
//!   is free for others. A party that is cut off keeps its part, and so nobody else can use it.
//! - A party that wants more than there is free marks its part; those above their even part come
//!   down to it, and those that are idle to half of it. What is free goes to whoever is short, half
//!   of it at a time, so that shares follow demand over several looks and do not swing.
//! - A daemon's part is voided when it is certainly gone and the longest deadline has passed.
//!
//! Every change is a compare-and-set of the row. With one row for all daemons a row grows by about
//! 150 bytes a daemon; beyond some fifty daemons it wants splitting into a row a data centre.

use super::ownership::Holder;
use crate::core::id::{DataCentre, Revision, ShardId};

data! {
    /// Who has a part of a limit.
    #[derive(PartialOrd, Ord, Hash)]
    pub enum Party {
        /// A run of a daemon, for requests.
        Daemon(Holder),
        /// A shard, for jobs, whoever owns it.
        Shard(ShardId),
    }

    /// One party's part.
    pub struct Part {
        /// Whose.
        pub party: Party,
        /// Its data centre.
        pub data_centre: DataCentre,
        /// How much of the limit.
        pub amount: u32,
        /// Whether it wants more than was free.
        pub is_short: bool,
    }

    /// The row of an entry.
    #[derive(Default)]
    pub struct Shares {
        /// The catalogue revision that the limit is from.
        pub revision: Revision,
        /// The limit that is divided.
        pub limit: u32,
        /// The parts.
        pub parts: Vec<Part>,
    }
}

/// What a party knows of itself and the others when it looks at the row.
#[derive(Clone, Debug)]
pub struct Look<'a> {
    /// The party.
    pub party: &'a Party,
    /// Its data centre.
    pub data_centre: &'a DataCentre,
    /// The revision of the entry's limit.
    pub revision: Revision,
    /// The entry's limit.
    pub limit: u32,
    /// Parties that there are at present, this one included, and this one's place among them.
    pub parties: u32,
    /// This party's place.
    pub rank: u32,
    /// Runs at present, counted until they are certainly over.
    pub running: u32,
    /// Most runs and waiting of the last while.
    pub demand: u32,
}

impl Shares {
    /// What is given to parties, all together.
    pub fn given(&self) -> u32 {
        self.parts.iter().map(|part| part.amount).sum()
    }

    /// What nobody has.
    pub fn free(&self) -> u32 {
        self.limit.saturating_sub(self.given())
    }

    /// A party's part.
    pub fn part(&self, party: &Party) -> Option<&Part> {
        self.parts.iter().find(|part| part.party == *party)
    }

    /// The row after a party's look at it; the same where it has nothing to change.
    #[must_use]
    pub fn looked_at(&self, look: &Look<'_>) -> Self {
        let mut next = self.clone();
        if look.revision > next.revision {
            next.revision = look.revision;
            next.limit = look.limit;
        }
        let others_short = |part: &Part| part.is_short && part.party != *look.party;
        let is_wanted = next.parts.iter().any(others_short) || next.given() > next.limit;
        let free = next.free();
        let even = next.even_part_of(look);
        let own = next.own(look);
        let wanted = look.demand.max(look.running).max(even / 2);
        let wanted = if wanted >= own.amount.max(1) {
            // Some room above what is used, so that the next request does not wait for a look.
            wanted + wanted / 4 + 1
        } else {
            wanted
        };
        if is_wanted && own.amount > wanted.min(even) {
            own.amount = wanted.min(even).max(look.running).min(own.amount);
        } else {
            let target = if is_wanted { even } else { even.max(wanted) };
            let step = free.div_ceil(2).max(even.min(free));
            own.amount += target.saturating_sub(own.amount).min(step);
        }
        own.is_short = own.amount < wanted && own.amount < look.limit;
        next
    }

    /// Up to what a party starts anything while others are short: its even part. Its part can't come
    /// down below what runs, and where callers wait there is always as much running as the part
    /// allows; without the ceiling it would never come down, and the others would get nothing.
    pub fn ceiling(&self, look: &Look<'_>) -> u32 {
        let is_short = self
            .parts
            .iter()
            .any(|part| part.is_short && part.party != *look.party);
        match is_short || self.given() > self.limit {
            true => self.even_part_of(look),
            false => u32::MAX,
        }
    }

    /// A party's even part. A party whose presence is not yet seen here is in the row all the same;
    /// left out of the division, it would find the whole limit given to those that know each other.
    fn even_part_of(&self, look: &Look<'_>) -> u32 {
        let listed = u32::try_from(self.parts.len()).unwrap_or(u32::MAX);
        even_part(look.limit, look.parties.max(listed), look.rank)
    }

    /// The row without a party that is certainly gone.
    #[must_use]
    pub fn without(&self, party: &Party) -> Self {
        let mut next = self.clone();
        next.parts.retain(|part| part.party != *party);
        next
    }

    fn own(&mut self, look: &Look<'_>) -> &mut Part {
        let index = self.parts.iter().position(|part| part.party == *look.party);
        let index = index.unwrap_or_else(|| {
            self.parts.push(Part {
                party: look.party.clone(),
                data_centre: look.data_centre.clone(),
                amount: 0,
                is_short: false,
            });
            self.parts.len() - 1
        });
        &mut self.parts[index]
    }
}

/// Part `rank` of `count` of a limit; what doesn't divide goes to the first.
fn even_part(limit: u32, count: u32, rank: u32) -> u32 {
    let count = count.max(1);
    limit / count + u32::from(rank < limit % count)
}

/// What a party lets itself use: never more than its last certain part, and never more than a part
/// that it may have come down to.
///
/// Failure: the answer to a write that lowers the part is lost. The row, read at once, still shows
/// the greater part; then the late write takes effect and others take what was given up. A party
/// that had gone back up would have the limit exceeded. So only a write of its own that is known to
/// have taken effect raises it: that write's compare rules any earlier one out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowed(u32);

impl Allowed {
    /// How much may be used.
    pub fn amount(self) -> u32 {
        self.0
    }

    /// Before a write of `amount` is sent: comes down to it, and does not go up.
    pub fn before_write(&mut self, amount: u32) {
        self.0 = self.0.min(amount);
    }

    /// After a write of `amount` certainly took effect.
    pub fn after_write(&mut self, amount: u32) {
        self.0 = amount;
    }

    /// After reading that the row gives `amount`.
    pub fn after_read(&mut self, amount: u32) {
        self.0 = self.0.min(amount);
    }
}
