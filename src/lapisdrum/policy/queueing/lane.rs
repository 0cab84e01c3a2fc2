//! One class of waiting items: owners that share by weight, and the flows of each owner.
//!
//! Start-time fair queueing at both levels: whoever is served is charged its expected run time, and
//! the one that was charged least is next. One that comes back after idling starts where the others
//! are, so that unused turns are not saved up.

use super::{Item, Ticket};
use crate::core::{
    id::{EntryName, OwnerName},
    time::Millis,
};
use indexmap::IndexMap;
use std::{collections::BTreeMap, time::Duration};

/// Run time that a start is taken to cost at least, so that items of unknown cost count too.
const LEAST_COST: Duration = Duration::from_micros(100);

impl Item {
    pub(super) fn flow(&self) -> FlowKey {
        FlowKey {
            entry: self.entry.clone(),
            caller: self.caller,
        }
    }

    /// Cost in microseconds of run time.
    pub(super) fn cost(&self) -> f64 {
        self.run.max(LEAST_COST).as_secs_f64() * 1e6
    }

    /// Items without a deadline stand behind all that have one, in order of arrival.
    pub(super) fn rank(&self, ticket: Ticket) -> (Millis, Ticket) {
        (self.deadline.unwrap_or(Millis(u64::MAX)), ticket)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct FlowKey {
    pub(super) entry: EntryName,
    caller: u64,
}

/// One class: owners that share by weight.
#[derive(Debug, Default)]
pub(super) struct Lane {
    owners: IndexMap<OwnerName, Owner>,
    /// Virtual time: the start tag of the owner that was served last.
    clock: f64,
}

#[derive(Debug)]
struct Owner {
    weight: u32,
    /// Virtual time from which it may be served next.
    tag: f64,
    clock: f64,
    flows: IndexMap<FlowKey, Flow>,
    waiting: usize,
}

#[derive(Debug)]
struct Flow {
    tag: f64,
    /// In order of deadline, then arrival.
    items: BTreeMap<(Millis, Ticket), ()>,
}

impl Lane {
    pub(super) fn is_empty(&self) -> bool {
        self.owners.values().all(|owner| owner.waiting == 0)
    }

    pub(super) fn insert(&mut self, item: &Item, ticket: Ticket) {
        let clock = self.clock;
        let owner = self.owners.entry(item.owner.clone()).or_insert(Owner {
            weight: 1,
            tag: clock,
            clock: 0.0,
            flows: IndexMap::new(),
            waiting: 0,
        });
        if owner.waiting == 0 {
            owner.tag = owner.tag.max(clock);
        }
        owner.weight = item.weight.max(1);
        owner.waiting += 1;
        let clock = owner.clock;
        let flow = owner.flows.entry(item.flow()).or_insert(Flow {
            tag: clock,
            items: BTreeMap::new(),
        });
        if flow.items.is_empty() {
            flow.tag = flow.tag.max(clock);
        }
        flow.items.insert(item.rank(ticket), ());
    }

    pub(super) fn remove(&mut self, item: &Item, ticket: Ticket) {
        let Some(owner) = self.owners.get_mut(&item.owner) else {
            return;
        };
        let key = item.flow();
        if let Some(flow) = owner.flows.get_mut(&key)
            && flow.items.remove(&item.rank(ticket)).is_some()
        {
            owner.waiting -= 1;
            // A flow that is ahead of its share is remembered until the others have caught up.
            if flow.items.is_empty() && flow.tag <= owner.clock {
                owner.flows.swap_remove(&key);
            }
        }
        if owner.waiting == 0 && owner.tag <= self.clock {
            self.owners.swap_remove(&item.owner);
        }
    }

    /// The next item by share and deadline among those that may start.
    pub(super) fn pick(
        &self,
        may_start: &impl Fn(&EntryName, &OwnerName) -> bool,
    ) -> Option<Ticket> {
        let owners = self.owners.iter().filter(|(_, owner)| owner.waiting > 0);
        let found = owners.filter_map(|(name, owner)| {
            let ticket = owner.pick(|entry| may_start(entry, name))?;
            Some((owner.tag, ticket))
        });
        let first = found.min_by(|(a, _), (b, _)| a.total_cmp(b));
        first.map(|(_, ticket)| ticket)
    }

    /// Charges a start to its owner and flow.
    pub(super) fn charge(&mut self, owner: &OwnerName, key: &FlowKey, cost: f64) {
        let Some(owner) = self.owners.get_mut(owner) else {
            return;
        };
        self.clock = self.clock.max(owner.tag);
        owner.tag += cost / f64::from(owner.weight);
        if let Some(flow) = owner.flows.get_mut(key) {
            owner.clock = owner.clock.max(flow.tag);
            flow.tag += cost;
        }
    }

    /// Items that would be started before one more of this flow.
    pub(super) fn ahead_of(&self, name: &OwnerName, weight: u32, key: &FlowKey) -> f64 {
        let own = self.owners.get(name);
        let own_flow = own.and_then(|owner| owner.flows.get(key));
        let turns = own_flow.map_or(0, |flow| flow.items.len()) as f64 + 1.0;
        let flows = own.into_iter().flat_map(|owner| owner.flows.iter());
        let beside: f64 = flows
            .map(|(other, flow)| {
                let waiting = flow.items.len() as f64;
                if other == key {
                    waiting
                } else {
                    waiting.min(turns)
                }
            })
            .sum();
        let others = self.owners.iter().filter(|(other, _)| *other != name);
        let before: f64 = others
            .map(|(_, owner)| {
                let share = f64::from(owner.weight) / f64::from(weight.max(1));
                (owner.waiting as f64).min((beside + 1.0) * share)
            })
            .sum();
        beside + before
    }

    pub(super) fn flow_len(&self, owner: &OwnerName, key: &FlowKey) -> usize {
        let flow = self
            .owners
            .get(owner)
            .and_then(|owner| owner.flows.get(key));
        flow.map_or(0, |flow| flow.items.len())
    }

    /// The longest flow of an entry: its length and its last item.
    pub(super) fn longest_flow(
        &self,
        owner: &OwnerName,
        entry: &EntryName,
    ) -> Option<(usize, Ticket)> {
        let flows = self.owners.get(owner)?.flows.iter();
        let own = flows.filter(|(key, _)| key.entry == *entry);
        let (_, flow) = own.max_by_key(|(_, flow)| flow.items.len())?;
        let ((_, last), ()) = flow.items.last_key_value()?;
        Some((flow.items.len(), *last))
    }
}

impl Owner {
    /// Of the flows that are not ahead of their share, the one with the earliest deadline.
    fn pick(&self, may_start: impl Fn(&EntryName) -> bool) -> Option<Ticket> {
        // An owner has few entries and may have many callers: each entry is judged once.
        let mut judged: Vec<(&EntryName, bool)> = Vec::new();
        let mut ready: Vec<&Flow> = Vec::new();
        for (key, flow) in self.flows.iter().filter(|(_, flow)| !flow.items.is_empty()) {
            let known = judged.iter().find(|(entry, _)| *entry == &key.entry);
            let open = known.map(|(_, open)| *open).unwrap_or_else(|| {
                let open = may_start(&key.entry);
                judged.push((&key.entry, open));
                open
            });
            if open {
                ready.push(flow);
            }
        }
        let least = ready.iter().map(|flow| flow.tag).min_by(f64::total_cmp)?;
        let limit = least.max(self.clock);
        let due = ready.into_iter().filter(|flow| flow.tag <= limit);
        let heads = due.filter_map(|flow| flow.items.first_key_value());
        let first = heads.map(|((rank, ticket), ())| (*rank, *ticket)).min();
        first.map(|(_, ticket)| ticket)
    }
}
