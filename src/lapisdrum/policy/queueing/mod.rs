//! Which waiting item is next, and which is refused rather than left to wait.
//!
//! Load patterns: a burst of many times the capacity; one hot caller; batch work beside
//! latency-critical work; deadlines that pass in the queue. Without an order of its own, a queue
//! serves first whoever asked most, and at overload it serves only items whose callers have already
//! gone: throughput is full and goodput is nothing.
//!
//! - Latency-critical items go ahead of the rest, but one start in [`REST_TURN`] is the rest's while
//!   any of it waits, so batch work is slowed and never starved.
//! - Within a class, owners share by weight (start-time fair queueing on expected run time), and
//!   within an owner each entry and caller (or key) is a flow with an equal share. Of the flows that
//!   have not had more than their share, the one with the earliest deadline is next.
//! - An item is refused at once when its entry's queue is at its bound, or when the measured drain
//!   rate says that it can't start in time. A full queue makes room for a flow that has less than
//!   the longest flow by giving up the longest flow's last item.
//! - While an entry's queue has not been empty for [`STANDING`], its load is beyond its capacity and
//!   a longer queue serves nobody more: a latency-critical item is then refused unless it would start
//!   within its entry's usual run time. A shorter burst may fill the queue up to the deadline. Here
//!   too a flow that has less than the longest takes a place of the longest's: refused, every caller
//!   beside a hot one would be turned away for the hot one's load.
//! - An item that can't be finished by its deadline any more is given up at once.
//!
//! The cost of a decision grows with the flows that wait, not with the items.

mod lane;

use super::{
    drain::{DrainRate, Returns},
    queueing::lane::Lane,
};
use crate::core::{
    catalogue::Class,
    id::{EntryName, OwnerName},
    time::Millis,
};
use indexmap::IndexMap;
use rand::Rng;
use std::{collections::BTreeMap, time::Duration};

/// One start in so many is the rest's while latency-critical items wait too. A tenth keeps batch
/// work moving and takes less than a tenth from latency-critical work at full load.
pub const REST_TURN: u32 = 10;
/// Time after which a queue that was never empty is a standing one. Long against the random swings of
/// a pool at nine tenths of its capacity (tens of milliseconds), short against a deadline of a second.
pub const STANDING: Duration = Duration::from_millis(250);
/// Wait that is accepted of an item in a standing queue at least: below it, the queue would run empty
/// between two answers and capacity would be lost.
const LEAST_PATIENCE: Duration = Duration::from_millis(5);

/// What the queue has to know of an item.
#[derive(Clone, Debug)]
pub struct Item {
    /// The entry.
    pub entry: EntryName,
    /// Its owner.
    pub owner: OwnerName,
    /// Hash of the caller or key whose items share one flow.
    pub caller: u64,
    /// Class of work.
    pub class: Class,
    /// Share of its owner; the entry's priority.
    pub weight: u32,
    /// Items of this entry that may wait here.
    pub bound: u32,
    /// Time that a run is expected to take; zero when unknown.
    pub run: Duration,
    /// When it must be finished; none for work without a deadline.
    pub deadline: Option<Millis>,
}

scalar! {
    /// A waiting item's number, in order of arrival.
    pub struct Ticket(pub u64);
}

/// What became of an item that was handed in.
#[derive(Debug)]
pub enum Enqueued<T> {
    /// It waits. An item of a longer flow may have been given up for it.
    Waiting {
        /// Its number.
        ticket: Ticket,
        /// What was given up for it.
        displaced: Option<Refused<T>>,
    },
    /// It does not wait.
    Refused(Refused<T>),
}

/// An item that is given up before it was started.
#[derive(Debug)]
pub struct Refused<T> {
    /// What was handed in with it.
    pub payload: T,
    /// Why.
    pub reason: Reason,
    /// When its caller should come back.
    pub retry_after: Duration,
}

/// Why an item is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The entry's queue is at its bound.
    QueueFull,
    /// It could not have been finished by its deadline.
    Deadline,
    /// The entry's queue is a standing one, and it would have waited for longer than it runs.
    Overload,
}

/// Items that wait to be started, with what each was handed in with.
#[derive(Debug)]
pub struct Queue<T> {
    urgent: Lane,
    rest: Lane,
    items: IndexMap<Ticket, Waiting<T>>,
    entries: IndexMap<EntryName, EntryState>,
    by_deadline: BTreeMap<(Millis, Ticket), ()>,
    next_ticket: u64,
    urgent_run: u32,
    rate: DrainRate,
    returns: Returns,
}

#[derive(Debug)]
struct Waiting<T> {
    item: Item,
    payload: T,
    /// Last moment at which a start can still finish in time.
    latest_start: Option<Millis>,
}

/// What is known of an entry that has items waiting, or had some lately.
#[derive(Debug, Default)]
struct EntryState {
    waiting: u32,
    /// Since when it has not been empty.
    waiting_since: Option<Millis>,
    rate: DrainRate,
}

impl EntryState {
    fn is_standing(&self, now: Millis) -> bool {
        self.waiting_since
            .is_some_and(|since| now.since(since) >= STANDING)
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            urgent: Lane::default(),
            rest: Lane::default(),
            items: IndexMap::new(),
            entries: IndexMap::new(),
            by_deadline: BTreeMap::new(),
            next_ticket: 0,
            urgent_run: 0,
            rate: DrainRate::default(),
            returns: Returns::default(),
        }
    }
}

impl<T> Queue<T> {
    /// Puts an item in line, or refuses it at once.
    pub fn enqueue(
        &mut self,
        item: Item,
        payload: T,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Enqueued<T> {
        let latest_start = item.deadline.map(|deadline| deadline.before(item.run));
        let wait = self.expected_wait(&item, now);
        if latest_start.is_some_and(|latest| latest < now + wait || item.deadline <= Some(now)) {
            return Enqueued::Refused(self.refuse(payload, Reason::Deadline, wait, now, rng));
        }
        let mut displaced = None;
        let waiting = self.waiting_of(&item.entry);
        let is_too_long = wait > self.patience(&item, now);
        if is_too_long || waiting >= item.bound {
            let reason = match is_too_long {
                true => Reason::Overload,
                false => Reason::QueueFull,
            };
            // Above a bound that was lowered, a place that becomes free is not given away again.
            let place = self.displaceable(&item).filter(|_| waiting <= item.bound);
            let Some(longest) = place else {
                return Enqueued::Refused(self.refuse(payload, reason, wait, now, rng));
            };
            displaced = self
                .take(longest, now)
                .map(|waiting| self.refuse(waiting.payload, reason, wait, now, rng));
        }
        let ticket = self.insert(item, payload, latest_start, now);
        Enqueued::Waiting { ticket, displaced }
    }

    /// Takes the item that is to be started now, among those whose entry `may_start`.
    pub fn next(
        &mut self,
        now: Millis,
        may_start: impl Fn(&EntryName, &OwnerName) -> bool,
    ) -> Option<(Ticket, Item, T)> {
        let rest_first = self.urgent_run + 1 >= REST_TURN;
        let order = match rest_first {
            true => [Kind::Rest, Kind::Urgent],
            false => [Kind::Urgent, Kind::Rest],
        };
        let found = order.into_iter().find_map(|kind| {
            let ticket = self.lane(kind).pick(&may_start)?;
            Some((kind, ticket))
        });
        let (kind, ticket) = found?;
        self.urgent_run = match kind {
            Kind::Urgent if !self.rest.is_empty() => self.urgent_run + 1,
            Kind::Urgent | Kind::Rest => 0,
        };
        let item = &self.items[&ticket].item;
        let (owner, flow, cost) = (item.owner.clone(), item.flow(), item.cost());
        self.lane_mut(kind).charge(&owner, &flow, cost);
        if let Some(state) = self.entries.get_mut(&flow.entry) {
            state.rate.note(now);
        }
        self.rate.note(now);
        let taken = self.take(ticket, now)?;
        Some((ticket, taken.item, taken.payload))
    }

    /// Takes an item out of line whose caller has gone away.
    pub fn remove(&mut self, ticket: Ticket, now: Millis) -> Option<T> {
        self.take(ticket, now).map(|waiting| waiting.payload)
    }

    /// Gives up every item that can't be finished by its deadline any more.
    pub fn expire(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Refused<T>> {
        let mut given_up = Vec::new();
        while let Some(((latest, ticket), ())) = self.by_deadline.first_key_value() {
            if *latest >= now {
                break;
            }
            let ticket = *ticket;
            let Some(waiting) = self.take(ticket, now) else {
                break;
            };
            let wait = self.expected_wait(&waiting.item, now);
            given_up.push(self.refuse(waiting.payload, Reason::Deadline, wait, now, rng));
        }
        given_up
    }

    /// When [`Self::expire`] has something to give up next, if nothing is started before.
    pub fn next_expiry(&self) -> Option<Millis> {
        let ((latest, _), ()) = self.by_deadline.first_key_value()?;
        Some(*latest + Duration::from_millis(1))
    }

    /// When a caller should come back that is refused at present for want of room.
    pub fn retry_after(&mut self, now: Millis, rng: &mut impl Rng) -> Duration {
        let wait = self
            .rate
            .time_for(self.len() as f64, now)
            .unwrap_or_default();
        self.returns.book(wait, self.rate.per_second(now), now, rng)
    }

    /// Items that wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Items of an entry that wait.
    pub fn waiting_of(&self, entry: &EntryName) -> u32 {
        self.entries.get(entry).map_or(0, |state| state.waiting)
    }

    /// Starts a second of items that had to wait, as measured; none before enough was measured.
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
        state.rate.busy(now);
        self.rate.busy(now);
        if let Some(latest) = latest_start {
            self.by_deadline.insert((latest, ticket), ());
        }
        self.lane_mut(Kind::of(item.class)).insert(&item, ticket);
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
        self.lane_mut(Kind::of(item.class)).remove(item, ticket);
        if let Some(state) = self.entries.get_mut(&item.entry) {
            state.waiting -= 1;
            if state.waiting == 0 {
                state.waiting_since = None;
                state.rate.idle(now);
            }
        }
        if self.items.is_empty() {
            self.rate.idle(now);
        }
        Some(waiting)
    }

    /// Time until an item would start if it were put in line now: what the order would serve before
    /// it, by the measured rates of the whole queue and of its entry.
    fn expected_wait(&self, item: &Item, now: Millis) -> Duration {
        let lane = self.lane(Kind::of(item.class));
        let ahead = lane.ahead_of(&item.owner, item.weight, &item.flow());
        let overall = self.rate.time_for(ahead, now);
        let own = self.entries.get(&item.entry).and_then(|state| {
            let ahead = ahead.min(f64::from(state.waiting));
            state.rate.time_for(ahead, now)
        });
        overall.unwrap_or_default().max(own.unwrap_or_default())
    }

    /// Wait that is accepted of an item besides its deadline.
    fn patience(&self, item: &Item, now: Millis) -> Duration {
        let state = self.entries.get(&item.entry);
        let standing = state.is_some_and(|state| state.is_standing(now));
        match Kind::of(item.class) {
            Kind::Urgent if standing => item.run.max(LEAST_PATIENCE),
            Kind::Urgent | Kind::Rest => Duration::MAX,
        }
    }

    /// The last item of the longest flow of the same entry, if that flow is longer than the item's
    /// own would be.
    fn displaceable(&self, item: &Item) -> Option<Ticket> {
        let lane = self.lane(Kind::of(item.class));
        let own = lane.flow_len(&item.owner, &item.flow());
        let (longest, ticket) = lane.longest_flow(&item.owner, &item.entry)?;
        (longest > own + 1).then_some(ticket)
    }

    fn refuse(
        &mut self,
        payload: T,
        reason: Reason,
        wait: Duration,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Refused<T> {
        let rate = self.rate.per_second(now);
        let retry_after = self.returns.book(wait, rate, now, rng);
        Refused {
            payload,
            reason,
            retry_after,
        }
    }

    fn lane(&self, kind: Kind) -> &Lane {
        match kind {
            Kind::Urgent => &self.urgent,
            Kind::Rest => &self.rest,
        }
    }

    fn lane_mut(&mut self, kind: Kind) -> &mut Lane {
        match kind {
            Kind::Urgent => &mut self.urgent,
            Kind::Rest => &mut self.rest,
        }
    }
}

/// Which of the two lines an item stands in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Urgent,
    Rest,
}

impl Kind {
    fn of(class: Class) -> Self {
        match class {
            Class::LatencyCritical => Self::Urgent,
            Class::Batch | Class::LongRunning => Self::Rest,
        }
    }
}
