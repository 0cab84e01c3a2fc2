//! Floors: the capacity of each worker that a daemon may use for requests without asking the
//! shard's owner.
//!
//! This module has the rules of both sides of the exchange, without the messages. The owner
//! proposes ledger events ([`changes`]); the daemon keeps within the floors that it received
//! ([`Floors`]). A floor is raised only after the ledger has recorded it, and is lowered in the
//! ledger only after the daemon has lowered its own. A lost, late or repeated message therefore
//! leaves the ledger above what is used, never below it.

use super::{
    ledger::{Event, Grant, State},
    ownership::Holder,
};
use crate::core::{
    id::{Epoch, WorkerId},
    size::Size,
};
use indexmap::IndexMap;

const PERCENT: u64 = 100;

/// The floors of one daemon.
pub type ByWorker = IndexMap<WorkerId, Grant>;

/// A daemon's floor on one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Floor {
    /// Slots and capacity that the daemon may use.
    pub grant: Grant,
    /// Slots and capacity that its requests use at present.
    pub used: Grant,
    /// The epoch of the owner that last set the floor.
    pub epoch: Epoch,
}

impl Floor {
    fn is_empty(&self) -> bool {
        self.grant == Grant::default() && self.used == Grant::default()
    }
}

/// A daemon's floors on all workers, and its use of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Floors {
    /// Floors that are granted or in use.
    pub held: IndexMap<WorkerId, Floor>,
    /// Number of the last exchange started.
    round: u64,
}

impl Floors {
    /// Starts an exchange and returns its number, by which the owner recognises messages that
    /// arrive late.
    pub fn next_round(&mut self) -> u64 {
        self.round += 1;
        self.round
    }

    /// Whether a request of `size` fits into the floor on a worker.
    pub fn has_capacity(&self, worker: &WorkerId, size: &Size) -> bool {
        self.held.get(worker).is_some_and(|floor| {
            floor.used.slots < floor.grant.slots
                && floor.used.size.plus(size).fits(&floor.grant.size)
        })
    }

    /// Reserves a slot and `size` on a worker.
    pub fn take(&mut self, worker: &WorkerId, size: &Size) {
        if let Some(floor) = self.held.get_mut(worker) {
            floor.used.slots += 1;
            floor.used.size = floor.used.size.plus(size);
        }
    }

    /// Releases a slot and `size` on a worker.
    pub fn release(&mut self, worker: &WorkerId, size: &Size) {
        if let Some(floor) = self.held.get_mut(worker) {
            floor.used.slots = floor.used.slots.saturating_sub(1);
            floor.used.size = floor.used.size.minus(size);
        }
    }

    /// The epoch that a request to a worker carries: that of the owner whose floor it uses. Each
    /// shard of a data centre has its own epochs.
    pub fn epoch_on(&self, worker: &WorkerId) -> Epoch {
        self.held
            .get(worker)
            .map(|floor| floor.epoch)
            .unwrap_or_default()
    }

    /// Applies an owner's reply: sets the floors to those in the ledger, then lowers them towards
    /// the targets, but not below present use. The reply must be to the latest exchange.
    pub fn adopt(&mut self, epoch: Epoch, floors: &ByWorker, targets: &ByWorker) {
        for (worker, grant) in floors {
            let floor = self.held.entry(worker.clone()).or_default();
            floor.grant = *grant;
            floor.epoch = epoch;
        }
        for (worker, target) in targets {
            if let Some(floor) = self.held.get_mut(worker) {
                floor.grant = lowered(&floor.grant, target, &floor.used);
            }
        }
        self.held.retain(|_, floor| !floor.is_empty());
    }

    /// The floors that this daemon keeps within until it receives another reply.
    pub fn holding(&self) -> ByWorker {
        let list = self.held.iter();
        list.map(|(worker, floor)| (worker.clone(), floor.grant))
            .collect()
    }
}

/// `grant` lowered to `target`, but not below `used`.
pub fn lowered(grant: &Grant, target: &Grant, used: &Grant) -> Grant {
    Grant {
        slots: grant.slots.min(target.slots.max(used.slots)),
        size: min_size(&grant.size, &max_size(&target.size, &used.size)),
    }
}

fn min_size(a: &Size, b: &Size) -> Size {
    Size {
        millicores: a.millicores.min(b.millicores),
        memory_mb: a.memory_mb.min(b.memory_mb),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

fn max_size(a: &Size, b: &Size) -> Size {
    Size {
        millicores: a.millicores.max(b.millicores),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// One of `count` equal parts of a worker's request share, which is all its slots and
/// `share_percent` of its size. Slots that can't be divided evenly go one each to the lowest ranks;
/// `rank` counts modulo `count`, so that callers can rotate it over the workers. `capacity` has all
/// slots and the whole size of the worker.
pub fn even_share(capacity: &Grant, share_percent: u32, rank: usize, count: usize) -> Grant {
    let (count, rank) = (to_u32(count).max(1), to_u32(rank));
    let extra = u32::from(rank % count < capacity.slots % count);
    let slots = capacity.slots / count + extra;
    let size = request_share(capacity, share_percent)
        .times(slots.into())
        .divided(capacity.slots.max(1).into());
    Grant { slots, size }
}

fn to_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

fn request_share(capacity: &Grant, share_percent: u32) -> Size {
    capacity.size.times(share_percent.into()).divided(PERCENT)
}

/// The part of a worker's request share that is not granted to any daemon. Tasks must not use it.
pub fn unclaimed_reserve(
    state: &State,
    worker: &WorkerId,
    capacity: &Grant,
    share_percent: u32,
) -> Size {
    let floors = state
        .grants
        .values()
        .filter_map(|floors| floors.get(worker));
    let held = floors.fold(Size::ZERO, |sum, grant| sum.plus(&grant.size));
    request_share(capacity, share_percent).minus(&held)
}

/// Ledger events that lower a daemon's floors to those it still holds, and raise them towards
/// `targets` where the worker has free capacity. `hosts` has the slots and capacities of the
/// workers that the platform lists; floors on other workers are not raised.
pub fn changes(
    state: &State,
    hosts: &ByWorker,
    holder: &Holder,
    holding: &ByWorker,
    targets: &ByWorker,
) -> Vec<Event> {
    let nothing = ByWorker::default();
    let floors = state.grants.get(holder).unwrap_or(&nothing);
    let new = targets
        .keys()
        .filter(|worker| !floors.contains_key(*worker));
    let mut events = Vec::new();
    for worker in floors.keys().chain(new) {
        let ledger = grant_on(floors, worker);
        let held = grant_on(holding, worker);
        let kept = Grant {
            slots: ledger.slots.min(held.slots),
            size: min_size(&ledger.size, &held.size),
        };
        let raised = match hosts.get(worker) {
            Some(capacity) => {
                let others = committed_by_others(state, worker, &ledger);
                raise(capacity, &others, &kept, &grant_on(targets, worker))
            }
            None => kept,
        };
        if raised != ledger {
            events.push(Event::Granted {
                to: holder.clone(),
                worker: worker.clone(),
                grant: raised,
            });
        }
    }
    events
}

fn grant_on(grants: &ByWorker, worker: &WorkerId) -> Grant {
    grants.get(worker).copied().unwrap_or_default()
}

/// Sum of the tasks and of other daemons' floors on a worker.
fn committed_by_others(state: &State, worker: &WorkerId, own: &Grant) -> Grant {
    let committed = state.committed_on(worker);
    Grant {
        slots: committed.slots - own.slots,
        size: committed.size.minus(&own.size),
    }
}

/// `kept` raised towards `target` as far as `others` leave free capacity on the worker.
fn raise(capacity: &Grant, others: &Grant, kept: &Grant, target: &Grant) -> Grant {
    let free_slots = capacity.slots.saturating_sub(others.slots);
    let free_size = capacity.size.minus(&others.size);
    Grant {
        slots: kept.slots.max(target.slots.min(free_slots)),
        size: max_size(&kept.size, &min_size(&target.size, &free_size)),
    }
}
