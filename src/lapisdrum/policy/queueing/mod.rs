//! Order of waiting items, and early refusal of those that would wait too long.
//!
//! Load patterns: a burst of many times the capacity; one hot caller; batch work beside
//! latency-critical work; deadlines that pass in the queue. A first-in first-out queue favours the
//! caller with the most requests, and under overload it serves only items whose callers have
//! already timed out: throughput is full and goodput drops to zero.
//!
//! - Latency-critical items start before background ones (batch and long-running), but one start in
//!   [`BACKGROUND_START_INTERVAL`] is a background one while any waits, so background work is
//!   slowed but not starved.
//! - Within a tier, owners share by weight (start-time fair queueing on expected run time), and
//!   within an owner each entry and caller (or key) is a flow with an equal share. Of the flows
//!   that have not had more than their share, the one with the earliest deadline is next.
//! - An item is refused at once when its entry's queue is at its bound, or when the measured drain
//!   rate says that it can't start in time. A full queue admits an item of a shorter flow by
//!   dropping the last item of the longest flow.
//! - An entry whose queue has not been empty for [`STANDING_QUEUE_AFTER`] is overloaded, and a
//!   longer queue would not raise its throughput: a latency-critical item is then refused unless it
//!   would start within its entry's usual run time. A shorter burst may fill the queue up to the
//!   deadline. Here too an item of a shorter flow displaces the last one of the longest flow;
//!   otherwise one hot caller would have all others refused.
//! - An item that can no longer finish by its deadline is dropped at once.
//!
//! The cost of a decision grows with the number of flows, not of items.

mod fair_queue;

use super::{
    drain::{DrainRate, RetrySchedule},
    queueing::fair_queue::FairQueue,
};
use crate::core::{
    catalogue::Class,
    id::{EntryName, OwnerName},
    time::Millis,
};
use indexmap::IndexMap;
use rand::Rng;
use std::{collections::BTreeMap, time::Duration};

/// One start in this many is a background one while both tiers wait. A tenth keeps batch work
/// moving and takes less than a tenth from latency-critical work at full load.
pub const BACKGROUND_START_INTERVAL: u32 = 10;
/// Time without being empty after which an entry's queue is a standing queue. Long against the
/// random swings of a pool at nine tenths of its capacity (tens of milliseconds), short against a
/// deadline of a second.
pub const STANDING_QUEUE_AFTER: Duration = Duration::from_millis(250);
/// Lower limit of the wait that is accepted in a standing queue. With less, the queue would run
/// empty between two answers and capacity would be unused.
const MIN_ACCEPTED_WAIT: Duration = Duration::from_millis(5);

/// Properties of an item that decide its order and admission.
#[derive(Clone, Debug)]
pub struct Item {
    /// Catalogue entry that the item runs.
    pub entry: EntryName,
    /// Owner of the entry; owners share starts by weight.
    pub owner: OwnerName,
    /// Hash of the caller or key; items of an entry with the same hash form one flow.
    pub caller: u64,
    /// Latency-critical items form the urgent tier, all others the background tier.
    pub class: Class,
    /// Weight of the owner's share: the entry's priority.
    pub weight: u32,
    /// Maximum number of waiting items of this entry.
    pub max_waiting: u32,
    /// Expected duration of a run; zero when unknown.
    pub expected_run: Duration,
    /// Time by which the run must finish; `None` for work without a deadline.
    pub deadline: Option<Millis>,
}

scalar! {
    /// Identifies a waiting item; increases in order of arrival.
    pub struct Ticket(pub u64);
}

/// Outcome of [`Queue::enqueue`].
#[derive(Debug)]
pub enum EnqueueOutcome<T> {
    /// The item waits. An item of a longer flow may have been dropped to admit it.
    Waiting {
        /// Identifies the item for [`Queue::remove`].
        ticket: Ticket,
        /// Item that was dropped to admit it.
        displaced: Option<Refused<T>>,
    },
    /// The item was not admitted.
    Refused(Refused<T>),
}

/// An item that was refused, or dropped before its start.
#[derive(Debug)]
pub struct Refused<T> {
    /// Payload passed to [`Queue::enqueue`].
    pub payload: T,
    /// Which limit the item would have exceeded.
    pub reason: RefusalReason,
    /// Time after which its caller should retry.
    pub retry_after: Duration,
}

/// Why an item was refused or dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The entry's queue is at its bound.
    QueueFull,
    /// The item could not have finished by its deadline.
    Deadline,
    /// The entry's queue is a standing queue, and the expected wait exceeds the expected run time.
    Overload,
}

/// Items that wait to be started, each with its payload.
#[derive(Debug)]
pub struct Queue<T> {
    urgent: FairQueue,
    background: FairQueue,
    items: IndexMap<Ticket, Waiting<T>>,
    entries: IndexMap<EntryName, EntryState>,
    by_deadline: BTreeMap<(Millis, Ticket), ()>,
    next_ticket: u64,
    consecutive_urgent_starts: u32,
    rate: DrainRate,
    retry_schedule: RetrySchedule,
}

#[derive(Debug)]
struct Waiting<T> {
    item: Item,
    payload: T,
    /// Latest start with which the expected run time still ends by the deadline.
    latest_start: Option<Millis>,
}

/// State of an entry that has items waiting, or had some before.
#[derive(Debug, Default)]
struct EntryState {
    waiting: u32,
    /// Time since which the entry has had items waiting without a gap.
    waiting_since: Option<Millis>,
    rate: DrainRate,
}

impl EntryState {
    fn is_standing(&self, now: Millis) -> bool {
        self.waiting_since
            .is_some_and(|since| now.since(since) >= STANDING_QUEUE_AFTER)
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            urgent: FairQueue::default(),
            background: FairQueue::default(),
            items: IndexMap::new(),
            entries: IndexMap::new(),
            by_deadline: BTreeMap::new(),
            next_ticket: 0,
            consecutive_urgent_starts: 0,
            rate: DrainRate::default(),
            retry_schedule: RetrySchedule::default(),
        }
    }
}

impl<T> Queue<T> {
    /// Adds an item, or refuses it at once.
    pub fn enqueue(
        &mut self,
        item: Item,
        payload: T,
        now: Millis,
        rng: &mut impl Rng,
    ) -> EnqueueOutcome<T> {
        let latest_start = item
            .deadline
            .map(|deadline| deadline.before(item.expected_run));
        let wait = self.expected_wait(&item, now);
        if latest_start.is_some_and(|latest| latest < now + wait || item.deadline <= Some(now)) {
            return EnqueueOutcome::Refused(self.refuse(
                payload,
                RefusalReason::Deadline,
                wait,
                now,
                rng,
            ));
        }
        let mut displaced = None;
        let waiting = self.waiting_of(&item.entry);
        let exceeds_max_wait = wait > self.max_wait(&item, now);
        if exceeds_max_wait || waiting >= item.max_waiting {
            let reason = match exceeds_max_wait {
                true => RefusalReason::Overload,
                false => RefusalReason::QueueFull,
            };
            // Above a bound that was lowered, items are not displaced: the queue has to shrink
            // first.
            let replaceable = self
                .displaceable(&item)
                .filter(|_| waiting <= item.max_waiting);
            let Some(longest) = replaceable else {
                return EnqueueOutcome::Refused(self.refuse(payload, reason, wait, now, rng));
            };
            displaced = self
                .take(longest, now)
                .map(|waiting| self.refuse(waiting.payload, reason, wait, now, rng));
        }
        let ticket = self.insert(item, payload, latest_start, now);
        EnqueueOutcome::Waiting { ticket, displaced }
    }

    /// Removes and returns the item to start now, among those whose entry and owner `may_start`
    /// allows.
    pub fn next(
        &mut self,
        now: Millis,
        may_start: impl Fn(&EntryName, &OwnerName) -> bool,
    ) -> Option<(Ticket, Item, T)> {
        let is_background_first = self.consecutive_urgent_starts + 1 >= BACKGROUND_START_INTERVAL;
        let order = match is_background_first {
            true => [Tier::Background, Tier::Urgent],
            false => [Tier::Urgent, Tier::Background],
        };
        let found = order.into_iter().find_map(|tier| {
            let ticket = self.tier_queue(tier).pick(&may_start)?;
            Some((tier, ticket))
        });
        let (tier, ticket) = found?;
        self.consecutive_urgent_starts = match tier {
            Tier::Urgent if !self.background.is_empty() => self.consecutive_urgent_starts + 1,
            Tier::Urgent | Tier::Background => 0,
        };
        let item = &self.items[&ticket].item;
        let (owner, flow, cost) = (item.owner.clone(), item.flow(), item.cost());
        self.tier_queue_mut(tier).charge(&owner, &flow, cost);
        if let Some(state) = self.entries.get_mut(&flow.entry) {
            state.rate.note(now);
        }
        self.rate.note(now);
        let taken = self.take(ticket, now)?;
        Some((ticket, taken.item, taken.payload))
    }

    /// Removes an item whose caller has disconnected; `None` if it no longer waits.
    pub fn remove(&mut self, ticket: Ticket, now: Millis) -> Option<T> {
        self.take(ticket, now).map(|waiting| waiting.payload)
    }

    /// Drops and returns every item that can no longer finish by its deadline.
    pub fn expire(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Refused<T>> {
        let mut expired = Vec::new();
        while let Some(((latest, ticket), ())) = self.by_deadline.first_key_value() {
            if *latest >= now {
                break;
            }
            let ticket = *ticket;
            let Some(waiting) = self.take(ticket, now) else {
                break;
            };
            let wait = self.expected_wait(&waiting.item, now);
            expired.push(self.refuse(waiting.payload, RefusalReason::Deadline, wait, now, rng));
        }
        expired
    }

    /// Earliest time at which [`Self::expire`] will drop an item, unless that item starts before.
    pub fn next_expiry(&self) -> Option<Millis> {
        let ((latest, _), ()) = self.by_deadline.first_key_value()?;
        Some(*latest + Duration::from_millis(1))
    }

    /// Time after which a caller should retry that is refused now for lack of free capacity.
    pub fn retry_after(&mut self, now: Millis, rng: &mut impl Rng) -> Duration {
        let wait = self
            .rate
            .time_for(self.len() as f64, now)
            .unwrap_or_default();
        self.retry_schedule
            .next_retry_after(wait, self.rate.per_second(now), now, rng)
    }

    /// Number of waiting items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Number of waiting items of an entry.
    pub fn waiting_of(&self, entry: &EntryName) -> u32 {
        self.entries.get(entry).map_or(0, |state| state.waiting)
    }

    /// Measured drain rate: starts per second while items wait. `None` before enough was measured.
    pub fn drain_per_second(&self, now: Millis) -> Option<f64> {
        self.rate.per_second(now)
    }

    fn insert(
        &mut self,
        item: Item,
        payload: T,
        latest_start: Option<Millis>,
        now: Millis,
    ) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let state = self.entries.entry(item.entry.clone()).or_default();
        state.waiting += 1;
        state.waiting_since.get_or_insert(now);
        state.rate.note_busy(now);
        self.rate.note_busy(now);
        if let Some(latest) = latest_start {
            self.by_deadline.insert((latest, ticket), ());
        }
        self.tier_queue_mut(Tier::of(item.class))
            .insert(&item, ticket);
        let waiting = Waiting {
            item,
            payload,
            latest_start,
        };
        self.items.insert(ticket, waiting);
        ticket
    }

    fn take(&mut self, ticket: Ticket, now: Millis) -> Option<Waiting<T>> {
        let waiting = self.items.swap_remove(&ticket)?;
        let item = &waiting.item;
        if let Some(latest) = waiting.latest_start {
            self.by_deadline.remove(&(latest, ticket));
        }
        self.tier_queue_mut(Tier::of(item.class))
            .remove(item, ticket);
        if let Some(state) = self.entries.get_mut(&item.entry) {
            state.waiting -= 1;
            if state.waiting == 0 {
                state.waiting_since = None;
                state.rate.note_idle(now);
            }
        }
        if self.items.is_empty() {
            self.rate.note_idle(now);
        }
        Some(waiting)
    }

    /// Expected time until the item would start if it were added now: the items ahead of it, at the
    /// measured drain rates of the whole queue and of its entry, whichever is longer.
    fn expected_wait(&self, item: &Item, now: Millis) -> Duration {
        let tier_queue = self.tier_queue(Tier::of(item.class));
        let items_ahead = tier_queue.ahead_of(&item.owner, item.weight, &item.flow());
        let overall = self.rate.time_for(items_ahead, now);
        let own = self.entries.get(&item.entry).and_then(|state| {
            let items_ahead = items_ahead.min(f64::from(state.waiting));
            state.rate.time_for(items_ahead, now)
        });
        overall.unwrap_or_default().max(own.unwrap_or_default())
    }

    /// Longest expected wait with which an item is admitted, apart from its deadline.
    fn max_wait(&self, item: &Item, now: Millis) -> Duration {
        let state = self.entries.get(&item.entry);
        let is_standing = state.is_some_and(|state| state.is_standing(now));
        match Tier::of(item.class) {
            Tier::Urgent if is_standing => item.expected_run.max(MIN_ACCEPTED_WAIT),
            Tier::Urgent | Tier::Background => Duration::MAX,
        }
    }

    /// The last item of the entry's longest flow, if that flow is longer than the item's own flow
    /// would become.
    fn displaceable(&self, item: &Item) -> Option<Ticket> {
        let tier_queue = self.tier_queue(Tier::of(item.class));
        let own = tier_queue.flow_len(&item.owner, &item.flow());
        let (longest, ticket) = tier_queue.longest_flow(&item.owner, &item.entry)?;
        (longest > own + 1).then_some(ticket)
    }

    fn refuse(
        &mut self,
        payload: T,
        reason: RefusalReason,
        wait: Duration,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Refused<T> {
        let rate = self.rate.per_second(now);
        let retry_after = self.retry_schedule.next_retry_after(wait, rate, now, rng);
        Refused {
            payload,
            reason,
            retry_after,
        }
    }

    fn tier_queue(&self, tier: Tier) -> &FairQueue {
        match tier {
            Tier::Urgent => &self.urgent,
            Tier::Background => &self.background,
        }
    }

    fn tier_queue_mut(&mut self, tier: Tier) -> &mut FairQueue {
        match tier {
            Tier::Urgent => &mut self.urgent,
            Tier::Background => &mut self.background,
        }
    }
}

/// Tier that an item waits in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tier {
    Urgent,
    Background,
}

impl Tier {
    fn of(class: Class) -> Self {
        match class {
            Class::LatencyCritical => Self::Urgent,
            Class::Batch | Class::LongRunning => Self::Background,
        }
    }
}
