//! Shares of the entries' limits: this daemon's for requests, its shards' for jobs.
//!
//! [`crate::state::shares`] has the rules. This module reads the rows at the interval of the floor
//! exchange and writes a row only when a share changes.

use super::{Cx, grants, peers, shard::Shard};
use crate::{
    core::{
        catalogue::{Class, Entry},
        id::{EntryName, Epoch, ShardId},
    },
    policy::admission::{self, AdmissionRequest, Share},
    state::{
        ownership::Holder,
        shares::{Party, PartyView, Shares, UsableShare},
    },
    store::{client::TxnOutcome, wire::Txn},
};
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};

/// Key prefix of the entries' rows.
const PREFIX: &str = "shares/";
/// Attempts to update one row per round while other parties write it at the same time.
const MAX_UPDATE_ATTEMPTS: usize = 4;
/// Factor by which past demand decays at each update: a burst has an effect for about ten updates.
const DEMAND_DECAY: f64 = 0.8;

/// Shares of the entries' limits that this daemon and its shards hold.
#[derive(Debug, Default)]
pub struct HeldShares {
    requests: RefCell<IndexMap<EntryName, OwnShare>>,
    /// Keyed by shard and epoch: an owner between two of ours may have lowered the share.
    jobs: RefCell<IndexMap<(ShardId, Epoch, EntryName), OwnShare>>,
    /// Number of daemons and this daemon's rank among them, cached at each update since every
    /// request needs it.
    count_and_rank: Cell<(u32, u32)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct OwnShare {
    allowed: UsableShare,
    demand: f64,
}

fn key(entry: &EntryName) -> String {
    format!("{PREFIX}{entry}")
}

/// The limits that a request of an entry counts against at this daemon.
pub fn admission_request<'a>(cx: &Cx, entry: &'a Entry) -> AdmissionRequest<'a> {
    let (daemons, rank) = cx.shares.count_and_rank.get();
    let even = admission::divide(&entry.limits, daemons, rank);
    let own = cx.shares.requests.borrow().get(&entry.name).copied();
    let share = Share {
        concurrency: allowed(entry, own),
        ..even
    };
    AdmissionRequest {
        entry: &entry.name,
        owner: &entry.owner,
        share,
        quota: None,
    }
}

/// Jobs of an entry that a shard owned by this daemon may have placed at once.
pub fn shard_limit(cx: &Cx, entry: &Entry, shard: &Shard) -> u32 {
    let own_key = (shard.id.clone(), shard.epoch, entry.name.clone());
    let own = cx.shares.jobs.borrow().get(&own_key).copied();
    allowed(entry, own)
}

fn allowed(entry: &Entry, own: Option<OwnShare>) -> u32 {
    let allowed = own.map_or(0, |own| own.allowed.amount());
    allowed.min(entry.limits.concurrency)
}

fn rank_of_daemon(cx: &Cx) -> (u32, u32) {
    let members = cx.members.borrow();
    count_and_rank(members.daemons.keys(), &cx.me.daemon)
}

fn rank_of_shard(cx: &Cx, shard: &ShardId) -> (u32, u32) {
    let members = cx.members.borrow();
    count_and_rank(members.shards.keys(), shard)
}

/// The number of items including `own`, and the rank of `own` among them (from 0).
fn count_and_rank<'a, T: Ord + 'a>(all: impl Iterator<Item = &'a T>, own: &T) -> (u32, u32) {
    let others: Vec<&T> = all.filter(|other| *other != own).collect();
    let rank = others.iter().filter(|other| **other < own).count();
    (to_u32(others.len()) + 1, to_u32(rank))
}

fn to_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

/// Updates this daemon's and its shards' shares until the process ends.
pub async fn run(cx: Cx) -> eyre::Result<()> {
    loop {
        update_all(&cx).await;
        tokio::time::sleep(cx.cfg.requests.grant_poll).await;
    }
}

async fn update_all(cx: &Cx) {
    let Ok(rows) = cx.platform.list(PREFIX).await else {
        return;
    };
    let parsed = rows
        .iter()
        .filter_map(|row| Some((row.key.clone(), (row.version, row.parse::<Shares>()?))));
    let rows: IndexMap<String, (u64, Shares)> = parsed.collect();
    let entries: Vec<Entry> = cx.catalogue.borrow().entries().cloned().collect();
    let is_known = |name: &EntryName| entries.iter().any(|entry| entry.name == *name);
    cx.shares
        .requests
        .borrow_mut()
        .retain(|name, _| is_known(name));
    cx.shares
        .jobs
        .borrow_mut()
        .retain(|(shard, epoch, name), _| is_known(name) && epoch_of(cx, shard) == Some(*epoch));
    cx.shares.count_and_rank.set(rank_of_daemon(cx));
    for entry in &entries {
        let row = rows.get(&key(&entry.name)).cloned().unwrap_or_default();
        for party in own_parties(cx, entry) {
            update_with_retries(cx, entry, row.clone(), party).await;
        }
    }
}

/// The parties that hold shares of an entry here: this daemon for requests, its shards for jobs.
fn own_parties(cx: &Cx, entry: &Entry) -> Vec<Party> {
    if entry.class == Class::LatencyCritical {
        return vec![Party::Daemon(cx.me.clone())];
    }
    let shards = cx.shards.borrow();
    let serving = shards.values().filter(|shard| shard.is_serving());
    serving
        .map(|shard| Party::Shard(shard.id.clone()))
        .collect()
}

/// Usage of one party, for the update of its share.
struct PartyUsage {
    parties: u32,
    rank: u32,
    running: u32,
    waiting: u32,
}

fn party_usage(cx: &Cx, entry: &Entry, party: &Party) -> Option<PartyUsage> {
    match party {
        Party::Daemon(_) => {
            let (parties, rank) = rank_of_daemon(cx);
            Some(PartyUsage {
                parties,
                rank,
                running: cx.admission.borrow().running(&entry.name),
                waiting: cx.request_queue.waiting_of(&entry.name),
            })
        }
        Party::Shard(id) => {
            let shard = cx.shards.borrow().get(id).cloned()?;
            Some(shard_usage(cx, entry, &shard))
        }
    }
}

fn shard_usage(cx: &Cx, entry: &Entry, shard: &Shard) -> PartyUsage {
    let (parties, rank) = rank_of_shard(cx, &shard.id);
    let counts = shard.journal.index().counts(&entry.name);
    PartyUsage {
        parties,
        rank,
        running: counts.placed,
        waiting: counts.waiting,
    }
}

/// Updates a party's share in an entry's row, and retries on the new row after a write conflict.
/// Without retries, of daemons that update at the same time the same one could win each round, and
/// the others would never get a share.
async fn update_with_retries(cx: &Cx, entry: &Entry, row: (u64, Shares), party: Party) {
    let mut row = row;
    for _ in 0..MAX_UPDATE_ATTEMPTS {
        if update_share(cx, entry, &row, &party).await == UpdateOutcome::Complete {
            return;
        }
        let Ok(read) = cx.platform.get(&key(&entry.name)).await else {
            return;
        };
        let parsed = read.and_then(|read| Some((read.version, read.parse::<Shares>()?)));
        row = parsed.unwrap_or_default();
    }
}

/// Whether an update is complete, or conflicted and must be repeated on a newer row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpdateOutcome {
    Complete,
    Conflict,
}

async fn update_share(cx: &Cx, entry: &Entry, row: &(u64, Shares), party: &Party) -> UpdateOutcome {
    let (version, row) = row;
    // Counted before the write; from `before_write` on, nothing is started beyond the new share.
    let Some(party_usage) = party_usage(cx, entry, party) else {
        return UpdateOutcome::Complete;
    };
    let in_row = row.part(party).map_or(0, |part| part.amount);
    let demand = note_read(cx, entry, party, in_row, &party_usage);
    let view = PartyView {
        party,
        data_centre: &cx.cfg.daemon.data_centre,
        revision: entry.revision,
        limit: entry.limits.concurrency,
        parties: party_usage.parties,
        rank: party_usage.rank,
        running: party_usage.running,
        demand,
    };
    let next = without_ended(cx, row).updated_by(&view);
    let amount = next.part(party).map_or(0, |part| part.amount);
    let usable = amount.min(row.ceiling(&view));
    let is_certain = with_own(cx, entry, party, |own| {
        own.allowed.before_write(usable);
        own.allowed.amount() >= usable
    });
    if next == *row && is_certain {
        return UpdateOutcome::Complete;
    }
    with_own(cx, entry, party, |own| own.allowed.before_write(usable));
    let txn = Txn::default()
        .compare(key(&entry.name), *version)
        .put(key(&entry.name), &next);
    match cx.platform.txn(&txn).await {
        TxnOutcome::Committed(_) => {
            with_own(cx, entry, party, |own| own.allowed.after_write(usable));
            wake_waiting(cx, party);
            UpdateOutcome::Complete
        }
        TxnOutcome::Conflict(_) => UpdateOutcome::Conflict,
        // The next update reads whether the write took effect.
        TxnOutcome::Unknown(_) => UpdateOutcome::Complete,
    }
}

/// Wakes the queue or the placement that may have waited for a larger share.
fn wake_waiting(cx: &Cx, party: &Party) {
    match party {
        Party::Daemon(_) => cx.request_queue.wake(),
        Party::Shard(id) => {
            if let Some(shard) = cx.shards.borrow().get(id) {
                shard.placement_notify.notify_one();
            }
        }
    }
}

/// Applies the share that was read from the row, and returns the recent demand.
fn note_read(cx: &Cx, entry: &Entry, party: &Party, in_row: u32, party_usage: &PartyUsage) -> u32 {
    let asked = f64::from(party_usage.running + party_usage.waiting);
    with_own(cx, entry, party, |own| {
        own.allowed.after_read(in_row);
        own.demand = asked.max(own.demand * DEMAND_DECAY);
        own.demand as u32
    })
}

fn with_own<T>(cx: &Cx, entry: &Entry, party: &Party, then: impl FnOnce(&mut OwnShare) -> T) -> T {
    let name = entry.name.clone();
    match party {
        Party::Daemon(_) => then(cx.shares.requests.borrow_mut().entry(name).or_default()),
        Party::Shard(shard) => {
            let epoch = epoch_of(cx, shard).unwrap_or_default();
            let mut jobs = cx.shares.jobs.borrow_mut();
            then(jobs.entry((shard.clone(), epoch, name)).or_default())
        }
    }
}

fn epoch_of(cx: &Cx, shard: &ShardId) -> Option<Epoch> {
    cx.shards.borrow().get(shard).map(|own| own.epoch)
}

/// The row without the shares of daemons that have certainly ended and whose requests have ended.
fn without_ended(cx: &Cx, row: &Shares) -> Shares {
    let max_run_time = grants::max_orphan_run_time(cx);
    let has_ended =
        |holder: &Holder| peers::ended_for(cx, holder).is_some_and(|ended| ended > max_run_time);
    let mut next = row.clone();
    for part in &row.parts {
        if let Party::Daemon(holder) = &part.party
            && has_ended(holder)
        {
            next = next.without(&part.party);
        }
    }
    next
}

/// Releases this daemon's shares at a graceful shutdown, except those under which requests still
/// run.
pub async fn release_all(cx: &Cx) {
    let party = Party::Daemon(cx.me.clone());
    let Ok(rows) = cx.platform.list(PREFIX).await else {
        return;
    };
    for row in rows {
        let Some(shares) = row.parse::<Shares>() else {
            continue;
        };
        let entry = row.key.strip_prefix(PREFIX).map(EntryName::try_from);
        let Some(Ok(entry)) = entry else {
            continue;
        };
        let runs = cx.admission.borrow().running(&entry);
        if shares.part(&party).is_none() || runs > 0 {
            continue;
        }
        cx.shares.requests.borrow_mut().swap_remove(&entry);
        let txn = Txn::default()
            .compare(row.key.clone(), row.version)
            .put(row.key.clone(), &shares.without(&party));
        // Without an answer, the share is voided once other daemons find that this run has ended.
        let _: TxnOutcome = cx.platform.txn(&txn).await;
    }
}
