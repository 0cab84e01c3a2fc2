//! Floors: the capacity of each worker that a daemon may use for requests without coordination.
//!
//! The shard's owner divides every worker's request share over the daemons of its data centre. A
//! floor is durable in the ledger until its daemon returns it or has certainly ended, so requests
//! are still served while owner and platform are unavailable. A floor rises only after the ledger
//! has it, and falls only after the daemon has reduced its use, so all floors together never exceed
//! the worker.

use super::{
    Cx,
    journal::{Urgency, WriteOutcome},
    peers,
    router::LATE_MARGIN,
    shard::Shard,
};
use crate::{
    core::{
        id::{Epoch, ShardId, WorkerId},
        outcome::Refusal,
        size::Size,
    },
    peer::wire::{GrantReply, GrantRound, PeerReply, PeerRequest, WorkerGrant},
    state::{
        grants::{self, ByWorker},
        ledger::{Event, Grant, State},
        ownership::Holder,
    },
    store::wire::Host,
};
use std::{rc::Rc, time::Duration};

/// Retry-after of a refused exchange.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Exchanges floors with the owners of this data centre's shards until the process ends.
pub async fn run(cx: Cx) -> eyre::Result<()> {
    loop {
        for index in 0..cx.cfg.shards.count {
            let shard = ShardId::new(&cx.cfg.daemon.data_centre, index);
            exchange(&cx, shard).await;
        }
        let own: Vec<Rc<Shard>> = cx.shards.borrow().values().cloned().collect();
        for shard in own.iter().filter(|shard| shard.is_serving()) {
            void_ended(&cx, shard);
        }
        tokio::time::sleep(cx.cfg.requests.grant_poll).await;
    }
}

async fn exchange(cx: &Cx, shard: ShardId) {
    let holding = cx.floors.borrow().holding();
    let Some(round) = next_round(cx, shard.clone(), holding) else {
        return;
    };
    let own = cx.shards.borrow().get(&shard).cloned();
    let reply = match own {
        Some(own) => answer(cx, &own, round).await,
        None => {
            let Some(address) = cx.members.borrow().owner_address(&shard) else {
                return;
            };
            // Without an answer the floors stay unchanged.
            let Ok(reply) = cx.peers.call(&address, PeerRequest::Grants(round)).await else {
                return;
            };
            reply
        }
    };
    if let PeerReply::Grants(GrantReply {
        epoch,
        floors,
        targets,
    }) = reply
    {
        let (floors, targets) = (by_worker(floors), by_worker(targets));
        cx.floors.borrow_mut().adopt(epoch, &floors, &targets);
        cx.request_queue.wake();
    }
}

/// The request for the next exchange with a shard's owner, reporting the floors in `holding`.
/// `None` while no owner is known.
fn next_round(cx: &Cx, shard: ShardId, holding: ByWorker) -> Option<GrantRound> {
    let epoch = owner_epoch(cx, &shard)?;
    let round = cx.floors.borrow_mut().next_round();
    let members = cx.members.borrow();
    let hosts = members.shard_hosts(&shard, cx.cfg.shards.count);
    let is_shard_host = |worker: &WorkerId| hosts.iter().any(|host| host.worker == *worker);
    let holding = holding
        .into_iter()
        .filter(|(worker, _)| is_shard_host(worker));
    Some(GrantRound {
        holding: to_wire(holding),
        shard,
        epoch,
        holder: cx.me.clone(),
        round,
        leaving: false,
    })
}

fn owner_epoch(cx: &Cx, shard: &ShardId) -> Option<Epoch> {
    if let Some(own) = cx.shards.borrow().get(shard) {
        return Some(own.epoch);
    }
    let members = cx.members.borrow();
    members.shards.get(shard).map(|seen| seen.row.epoch)
}

fn by_worker(list: Vec<WorkerGrant>) -> ByWorker {
    list.into_iter()
        .map(|held| (held.worker, held.grant))
        .collect()
}

fn to_wire(grants: impl IntoIterator<Item = (WorkerId, Grant)>) -> Vec<WorkerGrant> {
    let wire = |(worker, grant)| WorkerGrant { worker, grant };
    grants.into_iter().map(wire).collect()
}

/// Returns all floors at a graceful shutdown. If the drain was cut short, workers may still be
/// running requests; the floors are then kept, and voided by the owner after the longest deadline.
pub async fn release_all(cx: &Cx) {
    let nothing = Grant::default();
    let is_used = cx
        .floors
        .borrow()
        .held
        .values()
        .any(|floor| floor.used != nothing);
    if is_used {
        log::warn!("requests may still be running; floors are not returned");
        return;
    }
    cx.floors.borrow_mut().held.clear();
    for index in 0..cx.cfg.shards.count {
        let shard = ShardId::new(&cx.cfg.daemon.data_centre, index);
        let own = cx.shards.borrow().get(&shard).cloned();
        if let Some(own) = own {
            let voided = Event::GrantsVoided { of: cx.me.clone() };
            if let Ok(ticket) = own.propose(cx, vec![voided], Urgency::Urgent) {
                ticket.outcome().await;
            }
            continue;
        }
        let round = next_round(cx, shard.clone(), ByWorker::default());
        let address = cx.members.borrow().owner_address(&shard);
        if let (Some(address), Some(round)) = (address, round) {
            let round = GrantRound {
                leaving: true,
                ..round
            };
            // Without an answer, the floors are voided once the owner finds that this run has
            // ended.
            let _ = cx.peers.call(&address, PeerRequest::Grants(round)).await;
        }
    }
}

/// Owner's side: voids the floors of daemons that have certainly ended.
///
/// Requests of a daemon that died run on workers until the deadlines that they were sent with.
/// Giving its floors to others at once could overload a worker, so they stay reserved for the
/// longest deadline of any entry after the daemon was found to have ended.
fn void_ended(cx: &Cx, shard: &Rc<Shard>) {
    let max_run_time = max_orphan_run_time(cx);
    let holders: Vec<Holder> = shard.state().grants.keys().cloned().collect();
    for holder in holders {
        if peers::ended_for(cx, &holder).is_some_and(|ended| ended > max_run_time) {
            // If the proposal is refused, the next round repeats it.
            let voided = vec![Event::GrantsVoided { of: holder }];
            let _ = shard.propose(cx, voided, Urgency::Batch);
        }
    }
}

/// Longest time for which requests of a daemon may run after it has ended.
pub fn max_orphan_run_time(cx: &Cx) -> Duration {
    cx.cfg
        .shards
        .terms
        .lengthened(longest_deadline(cx) + LATE_MARGIN)
}

fn longest_deadline(cx: &Cx) -> Duration {
    let catalogue = cx.catalogue.borrow();
    let deadlines = catalogue.entries().map(|entry| entry.deadline);
    deadlines.max().unwrap_or_default()
}

/// Answers a daemon's exchange as the shard's owner.
pub async fn answer(cx: &Cx, shard: &Rc<Shard>, round: GrantRound) -> PeerReply {
    if !shard.is_serving() {
        return PeerReply::Refused(Refusal::NoOwner {
            retry_after: RETRY_AFTER,
        });
    }
    if !is_next_round(shard, &round) {
        return PeerReply::Refused(Refusal::InProgress {
            retry_after: RETRY_AFTER,
        });
    }
    let targets = match round.leaving {
        true => ByWorker::default(),
        false => targets(cx, shard, &round.holder),
    };
    let holder = round.holder.clone();
    let events = {
        let (hosts, holding) = (full_capacities(cx), by_worker(round.holding));
        grants::changes(&shard.state(), &hosts, &holder, &holding, &targets)
    };
    // Proposed even without events: a floor raised by an earlier round may not be durable yet, and
    // a next owner that does not see it would give the same capacity to another daemon.
    let ticket = match shard.propose(cx, events, Urgency::Urgent) {
        Ok(ticket) => ticket,
        Err(e) => return PeerReply::Refused(e.refusal()),
    };
    if ticket.outcome().await != WriteOutcome::Committed {
        return PeerReply::Unknown;
    }
    let floors = shard.state().grants.get(&holder).cloned();
    PeerReply::Grants(GrantReply {
        epoch: shard.epoch,
        floors: to_wire(floors.unwrap_or_default()),
        targets: to_wire(targets),
    })
}

/// Whether a round is newer than all earlier ones of its daemon. A delayed exchange must not revert
/// a later one. One meant for an earlier owner may be older than any that this owner has seen, so
/// it is refused by its epoch.
fn is_next_round(shard: &Shard, round: &GrantRound) -> bool {
    let mut rounds = shard.grant_rounds.borrow_mut();
    let last = rounds.entry(round.holder.clone()).or_default();
    let is_next = round.epoch == shard.epoch && round.round > *last;
    *last = (*last).max(round.round);
    is_next
}

/// The even share of each worker's request capacity for one live daemon; empty if it is not live.
fn targets(cx: &Cx, shard: &Shard, holder: &Holder) -> ByWorker {
    let members = cx.members.borrow();
    let timeout = cx.cfg.shards.terms.lengthened(cx.cfg.shards.terms.lease);
    let live = members.live(&cx.cfg.daemon.data_centre, cx.clock.now(), timeout);
    let Some(rank) = live.iter().position(|daemon| daemon.holder == *holder) else {
        return ByWorker::default();
    };
    let hosts = members.shard_hosts(&shard.id, cx.cfg.shards.count);
    let staying = hosts.into_iter().filter(|host| !host.leaving).enumerate();
    let percent = cx.cfg.shards.request_share_percent;
    staying
        .map(|(i, host)| {
            let share = grants::even_share(&full_capacity(host), percent, rank + i, live.len());
            (host.worker.clone(), share)
        })
        .collect()
}

fn full_capacity(host: &Host) -> Grant {
    Grant {
        slots: host.slots,
        size: host.capacity,
    }
}

fn full_capacities(cx: &Cx) -> ByWorker {
    let members = cx.members.borrow();
    let hosts = members.hosts.values();
    hosts
        .map(|host| (host.worker.clone(), full_capacity(host)))
        .collect()
}

/// Capacity of a worker's request share that no daemon holds yet. Tasks must not use it.
pub fn unclaimed_reserve(cx: &Cx, state: &State, host: &Host) -> Size {
    let percent = cx.cfg.shards.request_share_percent;
    grants::unclaimed_reserve(state, &host.worker, &full_capacity(host), percent)
}
