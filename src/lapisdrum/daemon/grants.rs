//! Floors: what each daemon may use of each worker for requests without asking anybody.
//!
//! The shard's owner divides every worker's request share over the daemons of its data centre. A
//! floor is in the ledger and lasts until its daemon gives it back or is certainly gone, so requests
//! go on being served with neither owner nor platform. It rises only after the ledger has it and
//! falls only after the daemon has come down, so both sides together never exceed the worker.

use super::{
    Cx,
    journal::{Urgency, WriteEnd},
    shard::Shard,
};
use crate::{
    core::{
        id::{Epoch, ShardId, WorkerId},
        outcome::Refusal,
        size::Size,
    },
    peer::wire::{GrantAnswer, GrantRound, PeerReply, PeerRequest, WorkerGrant},
    platform::wire::Host,
    state::{
        ledger::{Event, Grant, State},
        ownership::Holder,
    },
};
use indexmap::IndexMap;
use std::{rc::Rc, time::Duration};

/// Hundredths in a whole.
const PERCENT: u64 = 100;
/// When a daemon should ask again after a refused exchange.
const RETRY: Duration = Duration::from_secs(1);

/// One worker's floor at this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Floor {
    /// What may be used.
    pub grant: Grant,
    /// What is in use.
    pub used: Grant,
}

/// What this daemon may use of workers, and what it uses.
#[derive(Debug, Default)]
pub struct Floors {
    /// By worker.
    pub held: IndexMap<WorkerId, Floor>,
    /// The epoch of the owner that granted last.
    pub epoch: Epoch,
    round: u64,
}

impl Floors {
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

    /// Applies an owner's answer: floors as durable, lowered to the targets as far as use allows.
    fn adopt(&mut self, answer: &GrantAnswer) {
        self.epoch = answer.epoch;
        for floor in &answer.floors {
            self.held.entry(floor.worker.clone()).or_default().grant = floor.grant;
        }
        for target in &answer.targets {
            if let Some(floor) = self.held.get_mut(&target.worker) {
                floor.grant = lowered(&floor.grant, &target.grant, &floor.used);
            }
        }
        self.held.retain(|_, floor| *floor != Floor::default());
    }

    fn holding(&self) -> Vec<WorkerGrant> {
        let list = self.held.iter();
        list.map(|(worker, floor)| WorkerGrant {
            worker: worker.clone(),
            grant: floor.grant,
        })
        .collect()
    }
}

/// A floor brought down to `target`, but not below what is in use.
fn lowered(grant: &Grant, target: &Grant, used: &Grant) -> Grant {
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

/// Exchanges floors with the owners of this data centre's shards until the process ends.
pub async fn run(cx: Cx) -> eyre::Result<()> {
    loop {
        for index in 0..cx.cfg.shards.count {
            let shard = ShardId::new(&cx.cfg.daemon.data_centre, index);
            exchange(&cx, shard).await;
        }
        tokio::time::sleep(cx.cfg.requests.grant_poll).await;
    }
}

async fn exchange(cx: &Cx, shard: ShardId) {
    let holding = cx.floors.borrow().holding();
    let round = next_round(cx, shard.clone(), holding);
    let own = cx.shards.borrow().get(&shard).cloned();
    let reply = match own {
        Some(own) => answer(cx, &own, round).await,
        None => {
            let Some(address) = cx.members.borrow().owner_address(&shard) else {
                return;
            };
            // Without an answer the floors stand as they are.
            let Ok(reply) = cx.peers.call(&address, PeerRequest::Grants(round)).await else {
                return;
            };
            reply
        }
    };
    if let PeerReply::Grants(answer) = reply {
        cx.floors.borrow_mut().adopt(&answer);
    }
}

fn next_round(cx: &Cx, shard: ShardId, holding: Vec<WorkerGrant>) -> GrantRound {
    let mut floors = cx.floors.borrow_mut();
    floors.round += 1;
    let holding = {
        let members = cx.members.borrow();
        let hosts = members.shard_hosts(&shard, cx.cfg.shards.count);
        let own = |worker: &WorkerId| hosts.iter().any(|host| host.worker == *worker);
        holding
            .into_iter()
            .filter(|held| own(&held.worker))
            .collect()
    };
    GrantRound {
        shard,
        holder: cx.me.clone(),
        round: floors.round,
        holding,
    }
}

/// Gives every floor back at a graceful end.
pub async fn give_back(cx: &Cx) {
    cx.floors.borrow_mut().held.clear();
    for index in 0..cx.cfg.shards.count {
        let shard = ShardId::new(&cx.cfg.daemon.data_centre, index);
        let own = cx.shards.borrow().get(&shard).cloned();
        if let Some(own) = own {
            let gone = Event::GrantsVoided { of: cx.me.clone() };
            if let Ok(ticket) = own.propose(cx, vec![gone], Urgency::Urgent) {
                ticket.end().await;
            }
            continue;
        }
        let round = next_round(cx, shard.clone(), Vec::new());
        let address = cx.members.borrow().owner_address(&shard);
        if let Some(address) = address {
            // Without an answer the floors are void once the next run of this daemon is seen.
            let _ = cx.peers.call(&address, PeerRequest::Grants(round)).await;
        }
    }
}

/// The owner's side of an exchange.
pub async fn answer(cx: &Cx, shard: &Rc<Shard>, round: GrantRound) -> PeerReply {
    if !shard.is_serving() {
        return PeerReply::Refused(Refusal::NoOwner { retry_after: RETRY });
    }
    if !is_next_round(shard, &round) {
        return PeerReply::Refused(Refusal::InProgress { retry_after: RETRY });
    }
    let targets = targets(cx, shard, &round.holder);
    let events = changes(cx, shard, &round, &targets);
    if !events.is_empty() {
        let ticket = match shard.propose(cx, events, Urgency::Urgent) {
            Ok(ticket) => ticket,
            Err(e) => return PeerReply::Refused(e.refusal()),
        };
        if ticket.end().await != WriteEnd::Committed {
            return PeerReply::Unknown;
        }
    }
    let state = shard.state();
    let floors = state.grants.get(&round.holder);
    let list = floors.into_iter().flatten();
    let floors = list.map(|(worker, grant)| WorkerGrant {
        worker: worker.clone(),
        grant: *grant,
    });
    let floors = floors.collect();
    PeerReply::Grants(GrantAnswer {
        epoch: shard.epoch,
        floors,
        targets,
    })
}

/// An exchange that was under way while a later one was answered must not bring floors back.
fn is_next_round(shard: &Shard, round: &GrantRound) -> bool {
    let mut rounds = shard.grant_rounds.borrow_mut();
    let last = rounds.entry(round.holder.clone()).or_default();
    let is_next = round.round > *last;
    *last = (*last).max(round.round);
    is_next
}

/// The even part of each worker's request share for one daemon.
fn targets(cx: &Cx, shard: &Shard, holder: &Holder) -> Vec<WorkerGrant> {
    let members = cx.members.borrow();
    let patience = cx.cfg.shards.terms.lengthened(cx.cfg.shards.terms.lease);
    let live = members.live(&cx.cfg.daemon.data_centre, cx.clock.now(), patience);
    let Some(rank) = live.iter().position(|daemon| daemon.holder == *holder) else {
        return Vec::new();
    };
    let hosts = members.shard_hosts(&shard.id, cx.cfg.shards.count);
    let count = live.len();
    let targets = hosts
        .into_iter()
        .filter(|host| !host.leaving)
        .enumerate()
        .map(|(i, host)| {
            let grant = even_part(cx, host, rank + i, count);
            WorkerGrant {
                worker: host.worker.clone(),
                grant,
            }
        });
    targets.collect()
}

/// One of `count` parts of a worker's request share; slots that don't divide go round by rank.
fn even_part(cx: &Cx, host: &Host, rank: usize, count: usize) -> Grant {
    let (count, rank) = (to_u32(count).max(1), to_u32(rank));
    let extra = u32::from(rank % count < host.slots % count);
    let slots = host.slots / count + extra;
    let size = request_share(cx, host)
        .times(slots.into())
        .divided(host.slots.max(1).into());
    Grant { slots, size }
}

fn to_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

/// What of a worker is kept for requests.
pub fn request_share(cx: &Cx, host: &Host) -> Size {
    let percent = u64::from(cx.cfg.shards.request_share_percent);
    host.capacity.times(percent).divided(PERCENT)
}

/// What of a worker's request share no daemon holds yet; tasks are kept out of it.
pub fn unclaimed_reserve(cx: &Cx, state: &State, host: &Host) -> Size {
    let floors = state
        .grants
        .values()
        .filter_map(|floors| floors.get(&host.worker));
    let held = floors.fold(Size::ZERO, |sum, grant| sum.plus(&grant.size));
    request_share(cx, host).minus(&held)
}

/// Ledger events that take back what the daemon no longer holds and raise what has room.
fn changes(cx: &Cx, shard: &Shard, round: &GrantRound, targets: &[WorkerGrant]) -> Vec<Event> {
    let state = shard.state();
    let members = cx.members.borrow();
    let mut events = Vec::new();
    let floors = state.grants.get(&round.holder).cloned().unwrap_or_default();
    let held: IndexMap<&WorkerId, &Grant> = round
        .holding
        .iter()
        .map(|held| (&held.worker, &held.grant))
        .collect();
    let mut workers: Vec<&WorkerId> = floors.keys().collect();
    workers.extend(
        targets
            .iter()
            .map(|t| &t.worker)
            .filter(|w| !floors.contains_key(*w)),
    );
    for worker in workers {
        let ledger = floors.get(worker).copied().unwrap_or_default();
        let holding = held.get(worker).copied().copied().unwrap_or_default();
        let kept = Grant {
            slots: ledger.slots.min(holding.slots),
            size: least(&ledger.size, &holding.size),
        };
        let target = targets.iter().find(|target| target.worker == *worker);
        let target = target.map(|target| target.grant).unwrap_or_default();
        let raised = match members.hosts.get(worker) {
            Some(host) => raise(&state, host, &ledger, &kept, &target),
            None => kept,
        };
        if raised != ledger {
            let (to, worker) = (round.holder.clone(), worker.clone());
            events.push(Event::Granted {
                to,
                worker,
                grant: raised,
            });
        }
    }
    events
}

/// `kept` raised towards `target` as far as the worker has room.
fn raise(state: &State, host: &Host, ledger: &Grant, kept: &Grant, target: &Grant) -> Grant {
    let committed = state.committed_on(&host.worker);
    let others_slots = committed.slots - ledger.slots;
    let others_size = committed.size.minus(&ledger.size);
    let room_slots = host.slots.saturating_sub(others_slots);
    let room_size = host.capacity.minus(&others_size);
    Grant {
        slots: kept.slots.max(target.slots.min(room_slots)),
        size: most(&kept.size, &least(&target.size, &room_size)),
    }
}
