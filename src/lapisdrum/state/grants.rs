//! Floors: what each daemon may use of each worker for requests without asking anybody.
//!
//! Both sides of the exchange are here, without the exchange. The owner's side proposes ledger events
//! ([`changes`]); the daemon's side holds itself to what it was answered ([`Floors`]). A floor rises
//! only after the ledger has it and falls in the ledger only after the daemon has come down, so a
//! lost, late or repeated message leaves the ledger above what is used and never below it.

use super::{
    ledger::{Event, Grant, State},
    ownership::Holder,
};
use crate::core::{
    id::{Epoch, WorkerId},
    size::Size,
};
use indexmap::IndexMap;

/// Hundredths in a whole.
const PERCENT: u64 = 100;

/// Floors by worker.
pub type ByWorker = IndexMap<WorkerId, Grant>;

/// One worker's floor at a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Floor {
    /// What may be used.
    pub grant: Grant,
    /// What is in use.
    pub used: Grant,
    /// The epoch of the owner that granted last.
    pub epoch: Epoch,
}

impl Floor {
    fn is_empty(&self) -> bool {
        self.grant == Grant::default() && self.used == Grant::default()
    }
}

/// What a daemon may use of workers, and what it uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Floors {
    /// By worker.
    pub held: IndexMap<WorkerId, Floor>,
    /// Exchanges begun so far.
    round: u64,
}

impl Floors {
    /// Begins an exchange: its number, by which the owner tells a later one from a late one.
    pub fn next_round(&mut self) -> u64 {
        self.round += 1;
        self.round
    }

    /// Whether a request of `size` fits into the floor on a worker.
    pub fn has_room(&self, worker: &WorkerId, size: &Size) -> bool {
        self.held.get(worker).is_some_and(|floor| {
            floor.used.slots < floor.grant.slots
                && floor.used.size.plus(size).fits(&floor.grant.size)
        })
    }

    /// Takes a slot and `size` on a worker.
    pub fn take(&mut self, worker: &WorkerId, size: &Size) {
        if let Some(floor) = self.held.get_mut(worker) {
            floor.used.slots += 1;
            floor.used.size = floor.used.size.plus(size);
        }
    }

    /// Gives a slot and `size` on a worker back.
    pub fn release(&mut self, worker: &WorkerId, size: &Size) {
        if let Some(floor) = self.held.get_mut(worker) {
            floor.used.slots = floor.used.slots.saturating_sub(1);
            floor.used.size = floor.used.size.minus(size);
        }
    }

    /// The epoch that a request to a worker carries: that of the owner whose floor it uses. Shards of
    /// one data centre have epochs of their own.
    pub fn epoch_on(&self, worker: &WorkerId) -> Epoch {
        self.held
            .get(worker)
            .map(|floor| floor.epoch)
            .unwrap_or_default()
    }

    /// Applies an owner's answer to the last round: floors as durable, lowered to the targets as far
    /// as use allows. Answers to earlier rounds must not reach this.
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

    /// What this daemon holds itself to: it uses no more before a new answer.
    pub fn holding(&self) -> ByWorker {
        let list = self.held.iter();
        list.map(|(worker, floor)| (worker.clone(), floor.grant))
            .collect()
    }
}

/// A floor brought down to `target`, but not below what is in use.
pub fn lowered(grant: &Grant, target: &Grant, used: &Grant) -> Grant {
    Grant {
        slots: grant.slots.min(target.slots.max(used.slots)),
        size: least(&grant.size, &most(&target.size, &used.size)),
    }
}

fn least(a: &Size, b: &Size) -> Size {
    Size {
        millicores: a.millicores.min(b.millicores),
        memory_mb: a.memory_mb.min(b.memory_mb),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

fn most(a: &Size, b: &Size) -> Size {
    Size {
        millicores: a.millicores.max(b.millicores),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// One of `count` parts of a worker's request share; slots that don't divide go round by `rank`.
/// `whole` is the worker's slots and capacity.
pub fn even_part(whole: &Grant, share_percent: u32, rank: usize, count: usize) -> Grant {
    let (count, rank) = (to_u32(count).max(1), to_u32(rank));
    let extra = u32::from(rank % count < whole.slots % count);
    let slots = whole.slots / count + extra;
    let size = request_share(whole, share_percent)
        .times(slots.into())
        .divided(whole.slots.max(1).into());
    Grant { slots, size }
}

fn to_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

fn request_share(whole: &Grant, share_percent: u32) -> Size {
    whole.size.times(share_percent.into()).divided(PERCENT)
}

/// What of a worker's request share no daemon holds yet; tasks are kept out of it.
pub fn unclaimed_reserve(
    state: &State,
    worker: &WorkerId,
    whole: &Grant,
    share_percent: u32,
) -> Size {
    let floors = state
        .grants
        .values()
        .filter_map(|floors| floors.get(worker));
    let held = floors.fold(Size::ZERO, |sum, grant| sum.plus(&grant.size));
    request_share(whole, share_percent).minus(&held)
}

/// Ledger events that take back what a daemon no longer holds and raise what has room. `hosts` are
/// the slots and capacities of the workers that the platform names.
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
        let ledger = of(floors, worker);
        let held = of(holding, worker);
        let kept = Grant {
            slots: ledger.slots.min(held.slots),
            size: least(&ledger.size, &held.size),
        };
        let raised = match hosts.get(worker) {
            Some(whole) => {
                let others = others_on(state, worker, &ledger);
                raise(whole, &others, &kept, &of(targets, worker))
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

fn of(grants: &ByWorker, worker: &WorkerId) -> Grant {
    grants.get(worker).copied().unwrap_or_default()
}

/// What tasks and other daemons' floors take of a worker.
fn others_on(state: &State, worker: &WorkerId, own: &Grant) -> Grant {
    let committed = state.committed_on(worker);
    Grant {
        slots: committed.slots - own.slots,
        size: committed.size.minus(&own.size),
    }
}

/// `kept` raised towards `target` as far as the worker has room beside `others`.
fn raise(whole: &Grant, others: &Grant, kept: &Grant, target: &Grant) -> Grant {
    let room_slots = whole.slots.saturating_sub(others.slots);
    let room_size = whole.size.minus(&others.size);
    Grant {
        slots: kept.slots.max(target.slots.min(room_slots)),
        size: most(&kept.size, &least(&target.size, &room_size)),
    }
}
