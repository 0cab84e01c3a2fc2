//! Fair queue of one tier: owners share by weight, and the flows of an owner share equally.
//!
//! Start-time fair queueing at both levels: each start is charged its expected run time, and the
//! owner or flow with the lowest start tag is next. One that was idle resumes at the current
//! virtual time, so that it can't claim the turns that it did not use.

use super::{Item, Ticket};
use crate::core::{
    id::{EntryName, OwnerName},
    time::Millis,
};
use indexmap::IndexMap;
use std::{collections::BTreeMap, time::Duration};

/// Minimum cost of a start, so that items of unknown run time are charged too.
const MIN_COST: Duration = Duration::from_micros(100);

impl Item {
    pub(super) fn flow(&self) -> FlowKey {
        FlowKey {
            entry: self.entry.clone(),
            caller: self.caller,
        }
    }

    /// Expected run time in microseconds, at least [`MIN_COST`].
    pub(super) fn cost(&self) -> f64 {
        self.expected_run.max(MIN_COST).as_secs_f64() * 1e6
    }

    /// Sort key within a flow: by deadline, then by arrival. Items without a deadline come last.
    pub(super) fn rank(&self, ticket: Ticket) -> (Millis, Ticket) {
        (self.deadline.unwrap_or(Millis(u64::MAX)), ticket)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct FlowKey {
    pub(super) entry: EntryName,
    caller: u64,
}

/// Items of one tier, by owner and flow.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    owners: IndexMap<OwnerName, Owner>,
    /// Virtual time: the highest start tag of an owner that was served.
    virtual_time: f64,
}

#[derive(Debug)]
struct Owner {
    weight: u32,
    /// Start tag: the virtual time, in microseconds of run time per unit of weight, of its next
    /// start.
    start_tag: f64,
    virtual_time: f64,
    flows: IndexMap<FlowKey, Flow>,
    waiting: usize,
}

#[derive(Debug)]
struct Flow {
    start_tag: f64,
    /// Ordered by [`Item::rank`].
    items: BTreeMap<(Millis, Ticket), ()>,
}

impl FairQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.owners.values().all(|owner| owner.waiting == 0)
    }

    pub(super) fn insert(&mut self, item: &Item, ticket: Ticket) {
        let virtual_time = self.virtual_time;
        let owner = self.owners.entry(item.owner.clone()).or_insert(Owner {
            weight: 1,
            start_tag: virtual_time,
            virtual_time: 0.0,
            flows: IndexMap::new(),
            waiting: 0,
        });
        if owner.waiting == 0 {
            owner.start_tag = owner.start_tag.max(virtual_time);
        }
        owner.weight = item.weight.max(1);
        owner.waiting += 1;
        let virtual_time = owner.virtual_time;
        let flow = owner.flows.entry(item.flow()).or_insert(Flow {
            start_tag: virtual_time,
            items: BTreeMap::new(),
        });
        if flow.items.is_empty() {
            flow.start_tag = flow.start_tag.max(virtual_time);
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
            // The start tag of a flow ahead of its share is kept, so that it can't return
            // uncharged.
            if flow.items.is_empty() && flow.start_tag <= owner.virtual_time {
                owner.flows.swap_remove(&key);
            }
        }
        if owner.waiting == 0 && owner.start_tag <= self.virtual_time {
            self.owners.swap_remove(&item.owner);
        }
    }

    /// The next item by share and deadline, among those that `may_start` allows.
    pub(super) fn pick(
        &self,
        may_start: &impl Fn(&EntryName, &OwnerName) -> bool,
    ) -> Option<Ticket> {
        let owners = self.owners.iter().filter(|(_, owner)| owner.waiting > 0);
        let found = owners.filter_map(|(name, owner)| {
            let ticket = owner.pick(|entry| may_start(entry, name))?;
            Some((owner.start_tag, ticket))
        });
        let first = found.min_by(|(a, _), (b, _)| a.total_cmp(b));
        first.map(|(_, ticket)| ticket)
    }

    /// Charges a start to its owner and flow.
    pub(super) fn charge(&mut self, owner: &OwnerName, key: &FlowKey, cost: f64) {
        let Some(owner) = self.owners.get_mut(owner) else {
            return;
        };
        self.virtual_time = self.virtual_time.max(owner.start_tag);
        owner.start_tag += cost / f64::from(owner.weight);
        if let Some(flow) = owner.flows.get_mut(key) {
            owner.virtual_time = owner.virtual_time.max(flow.start_tag);
            flow.start_tag += cost;
        }
    }

    /// Estimated number of items that start before a new item of this flow.
    pub(super) fn ahead_of(&self, name: &OwnerName, weight: u32, key: &FlowKey) -> f64 {
        let own = self.owners.get(name);
        let own_flow = own.and_then(|owner| owner.flows.get(key));
        let rounds = own_flow.map_or(0, |flow| flow.items.len()) as f64 + 1.0;
        let flows = own.into_iter().flat_map(|owner| owner.flows.iter());
        let in_owner: f64 = flows
            .map(|(other, flow)| {
                let waiting = flow.items.len() as f64;
                if other == key {
                    waiting
                } else {
                    waiting.min(rounds)
                }
            })
            .sum();
        let others = self.owners.iter().filter(|(other, _)| *other != name);
        let in_other_owners: f64 = others
            .map(|(_, owner)| {
                let share = f64::from(owner.weight) / f64::from(weight.max(1));
                (owner.waiting as f64).min((in_owner + 1.0) * share)
            })
            .sum();
        in_owner + in_other_owners
    }

    pub(super) fn flow_len(&self, owner: &OwnerName, key: &FlowKey) -> usize {
        let flow = self
            .owners
            .get(owner)
            .and_then(|owner| owner.flows.get(key));
        flow.map_or(0, |flow| flow.items.len())
    }

    /// Length and last item of an entry's longest flow.
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
    /// The item with the earliest deadline, among the flows that are not ahead of their share.
    fn pick(&self, may_start: impl Fn(&EntryName) -> bool) -> Option<Ticket> {
        // An owner has few entries but may have many callers: `may_start` is called once per entry.
        let mut checked: Vec<(&EntryName, bool)> = Vec::new();
        let mut ready: Vec<&Flow> = Vec::new();
        for (key, flow) in self.flows.iter().filter(|(_, flow)| !flow.items.is_empty()) {
            let known = checked.iter().find(|(entry, _)| *entry == &key.entry);
            let is_allowed = known.map(|(_, is_allowed)| *is_allowed).unwrap_or_else(|| {
                let is_allowed = may_start(&key.entry);
                checked.push((&key.entry, is_allowed));
                is_allowed
            });
            if is_allowed {
                ready.push(flow);
            }
        }
        let min_tag = ready
            .iter()
            .map(|flow| flow.start_tag)
            .min_by(f64::total_cmp)?;
        let max_tag = min_tag.max(self.virtual_time);
        let eligible = ready.into_iter().filter(|flow| flow.start_tag <= max_tag);
        let heads = eligible.filter_map(|flow| flow.items.first_key_value());
        let first = heads.map(|((rank, ticket), ())| (*rank, *ticket)).min();
        first.map(|(_, ticket)| ticket)
    }
}
