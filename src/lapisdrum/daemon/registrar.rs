//! Presence and shards: renews both in one transaction, sees the others, takes what is free.
//!
//! Failure: a renewal's answer is lost. Treating it as failed would drop shards that are held;
//! treating it as done would count a lease that may not exist. So the rows are read back: a row that
//! still names this run of this daemon is held, and the lease counts from the last renewal that
//! certainly took effect.

use super::{
    Cx,
    members::{Presence, SeenPresence, SeenShard},
    shard::Shard,
};
use crate::{
    core::id::{DaemonId, ShardId},
    platform::{
        client::{PlatformError, TxnOutcome},
        wire::{Row, Txn},
    },
    state::ownership::{self, Availability, ShardRow, Sighting, Tenure},
    timeline::event::Happening,
};
use indexmap::IndexMap;
use std::rc::Rc;

/// Key prefix of shard rows.
const SHARD_PREFIX: &str = "shard/";
/// Key prefix of presence rows.
const PRESENCE_PREFIX: &str = "presence/";

data! {
    /// The row that changes only with a shard's owner; every ledger write asserts it.
    pub struct EpochRow {
        /// The epoch.
        pub epoch: crate::core::id::Epoch,
    }
}

/// The key of a shard's row.
pub fn shard_key(shard: &ShardId) -> String {
    format!("{SHARD_PREFIX}{shard}")
}

/// The key of a shard's epoch row.
pub fn epoch_key(shard: &ShardId) -> String {
    format!("epoch/{shard}")
}

fn presence_key(daemon: &DaemonId) -> String {
    format!("{PRESENCE_PREFIX}{daemon}")
}

/// Runs until the process ends.
pub async fn run(cx: Cx) -> eyre::Result<()> {
    let mut beat = 0;
    let mut platform_up = true;
    loop {
        let round = tick(&cx, &mut beat).await;
        if round.is_ok() != platform_up {
            platform_up = round.is_ok();
            note_platform(&cx, platform_up);
        }
        cx.metrics.platform_up.set(i64::from(platform_up));
        tokio::time::sleep(cx.cfg.shards.renew).await;
    }
}

fn note_platform(cx: &Cx, up: bool) {
    if up {
        cx.timeline.record(Happening::PlatformBack {});
        log::info!("platform answers again");
    } else {
        cx.timeline.record(Happening::PlatformAway {});
        log::warn!("platform does not answer; serving within floors, renewing what runs");
    }
}

async fn tick(cx: &Cx, beat: &mut u64) -> Result<(), PlatformError> {
    renew(cx, beat).await?;
    see_daemons(cx).await?;
    see_shards(cx).await?;
    see_hosts(cx).await?;
    if !cx.is_draining() {
        take_available(cx).await?;
    }
    Ok(())
}

/// Renews presence and every shard held, in one transaction.
async fn renew(cx: &Cx, beat: &mut u64) -> Result<(), PlatformError> {
    *beat += 1;
    let held: Vec<Rc<Shard>> = cx.shards.borrow().values().cloned().collect();
    let sent_at = cx.clock.now();
    let mut txn = Txn::default().put(presence_key(&cx.me.daemon), &presence(cx, *beat));
    let mut written = Vec::new();
    for shard in &held {
        let (version, row) = shard.row();
        let row = ownership::renewed(&row);
        txn = txn
            .compare(shard_key(&shard.id), version)
            .put(shard_key(&shard.id), &row);
        written.push(row);
    }
    match cx.platform.txn(&txn).await {
        TxnOutcome::Committed(versions) => {
            for ((shard, row), version) in held.iter().zip(written).zip(&versions[1..]) {
                shard.renewed(row, *version, sent_at);
            }
            Ok(())
        }
        TxnOutcome::Conflict(_) => {
            for shard in &held {
                read_back(cx, shard).await?;
            }
            Ok(())
        }
        TxnOutcome::Unknown(e) => {
            cx.metrics.platform_unknown.inc();
            Err(e)
        }
    }
}

/// Reads a shard's row after a conflict: a late write of our own is adopted, another's ends us.
async fn read_back(cx: &Cx, shard: &Rc<Shard>) -> Result<(), PlatformError> {
    let row = cx.platform.get(&shard_key(&shard.id)).await?;
    let parsed = row
        .as_ref()
        .and_then(|row| Some((row.parse::<ShardRow>()?, row.version)));
    match parsed {
        Some((row, version)) if row.epoch == shard.epoch && row.holder.as_ref() == Some(&cx.me) => {
            shard.adopt_row(row, version);
        }
        _ => lose(cx, &shard.id),
    }
    Ok(())
}

fn lose(cx: &Cx, shard: &ShardId) {
    if let Some(lost) = cx.shards.borrow_mut().swap_remove(shard) {
        lost.lose();
        cx.timeline.record(Happening::ShardLost {
            shard: shard.clone(),
        });
        log::warn!("shard {shard} is lost to another owner");
        cx.metrics.shards_owned.dec();
    }
}

fn presence(cx: &Cx, beat: u64) -> Presence {
    Presence {
        holder: cx.me.clone(),
        data_centre: cx.cfg.daemon.data_centre.clone(),
        callers: cx.cfg.daemon.callers.to_string(),
        revision: cx.catalogue.borrow().revision,
        beat,
    }
}

async fn see_daemons(cx: &Cx) -> Result<(), PlatformError> {
    let rows = cx.platform.list(PRESENCE_PREFIX).await?;
    let now = cx.clock.now();
    let mut members = cx.members.borrow_mut();
    let mut seen = IndexMap::new();
    for row in rows {
        let Some(presence) = row.parse::<Presence>() else {
            continue;
        };
        let name = presence.holder.daemon.clone();
        let before = members.daemons.get(&name).map(|before| before.seen);
        let sighting = Sighting::update(before, row.version, now);
        seen.insert(
            name,
            SeenPresence {
                row: presence,
                seen: sighting,
            },
        );
    }
    members.daemons = seen;
    Ok(())
}

async fn see_shards(cx: &Cx) -> Result<(), PlatformError> {
    let rows = cx.platform.list(SHARD_PREFIX).await?;
    let now = cx.clock.now();
    let mut members = cx.members.borrow_mut();
    for row in rows {
        let (Some(id), Some(shard)) = (shard_name(&row), row.parse::<ShardRow>()) else {
            continue;
        };
        let before = members.shards.get(&id).map(|before| before.seen);
        let seen = Sighting::update(before, row.version, now);
        members.shards.insert(id, SeenShard { row: shard, seen });
    }
    Ok(())
}

fn shard_name(row: &Row) -> Option<ShardId> {
    ShardId::try_from(row.key.strip_prefix(SHARD_PREFIX)?).ok()
}

async fn see_hosts(cx: &Cx) -> Result<(), PlatformError> {
    let hosts = cx.platform.hosts().await?;
    let mut members = cx.members.borrow_mut();
    members.hosts = hosts
        .into_iter()
        .map(|host| (host.worker.clone(), host))
        .collect();
    members.hosts_read_at = Some(cx.clock.now());
    Ok(())
}

/// Takes free shards of this data centre, up to this daemon's even part of them.
async fn take_available(cx: &Cx) -> Result<(), PlatformError> {
    let dc = &cx.cfg.daemon.data_centre;
    for index in 0..cx.cfg.shards.count {
        let id = ShardId::new(dc, index);
        if cx.shards.borrow().contains_key(&id) || !is_under_share(cx) {
            continue;
        }
        let (row, seen) = {
            let members = cx.members.borrow();
            match members.shards.get(&id) {
                Some(shard) => (Some(shard.row.clone()), shard.seen),
                None => (
                    None,
                    Sighting {
                        version: 0,
                        since: cx.clock.now(),
                    },
                ),
            }
        };
        let terms = &cx.cfg.shards.terms;
        let free = ownership::availability(row.as_ref(), seen, cx.clock.now(), terms);
        if free != Availability::Held {
            take(cx, id, row.as_ref(), seen.version).await?;
        }
    }
    Ok(())
}

fn is_under_share(cx: &Cx) -> bool {
    let members = cx.members.borrow();
    let patience = cx.cfg.shards.terms.lengthened(cx.cfg.shards.terms.lease);
    let daemons = members
        .live(&cx.cfg.daemon.data_centre, cx.clock.now(), patience)
        .len()
        .max(1);
    let share = (cx.cfg.shards.count as usize).div_ceil(daemons);
    cx.shards.borrow().len() < share
}

async fn take(
    cx: &Cx,
    id: ShardId,
    row: Option<&ShardRow>,
    version: u64,
) -> Result<(), PlatformError> {
    let new = ownership::taken(row, cx.me.clone());
    let sent_at = cx.clock.now();
    let stamp = cx.timeline.stamp();
    let txn = Txn::default()
        .compare(shard_key(&id), version)
        .put(shard_key(&id), &new)
        .put(epoch_key(&id), &EpochRow { epoch: new.epoch });
    let versions = match cx.platform.txn(&txn).await {
        TxnOutcome::Committed(versions) => versions,
        // Lost the race, or the answer was lost: the next round reads what holds. A take-over whose
        // answer was lost leaves a row in our name that nobody renews; it lapses and is taken anew.
        TxnOutcome::Conflict(_) => return Ok(()),
        TxnOutcome::Unknown(e) => return Err(e),
    };
    let tenure = Tenure {
        epoch: new.epoch,
        renewed_at: sent_at,
    };
    let shard = Shard::new(id.clone(), new, versions[0], versions[1], tenure);
    cx.shards.borrow_mut().insert(id.clone(), Rc::clone(&shard));
    cx.metrics.shards_owned.inc();
    let taken = Happening::ShardTaken {
        shard: id.clone(),
        epoch: shard.epoch,
    };
    cx.timeline.record_at(stamp, taken);
    log::info!("shard {id} is taken at epoch {}", shard.epoch);
    super::shard::start(cx, shard);
    Ok(())
}

/// Tries at giving shards up; a renewal that was still under way makes the first one conflict.
const RELEASE_TRIES: usize = 3;

/// Gives every shard and the presence row up, so that others take over without waiting for a lapse.
/// What can't be released lapses.
pub async fn release_all(cx: &Cx) {
    let held: Vec<Rc<Shard>> = cx.shards.borrow().values().cloned().collect();
    for shard in &held {
        shard.end_tenure(cx).await;
    }
    for _ in 0..RELEASE_TRIES {
        if try_release(cx).await {
            break;
        }
        for shard in &held {
            // Without an answer the next try finds out.
            let _ = read_back(cx, shard).await;
        }
    }
    for (_, shard) in cx.shards.borrow_mut().drain(..) {
        shard.lose();
    }
}

async fn try_release(cx: &Cx) -> bool {
    let held: Vec<Rc<Shard>> = cx.shards.borrow().values().cloned().collect();
    let mut txn = Txn::default().delete(presence_key(&cx.me.daemon));
    for shard in &held {
        let (version, row) = shard.row();
        let row = ownership::released(&row);
        txn = txn
            .compare(shard_key(&shard.id), version)
            .put(shard_key(&shard.id), &row);
    }
    let released = matches!(cx.platform.txn(&txn).await, TxnOutcome::Committed(_));
    if released {
        for shard in held {
            cx.timeline.record(Happening::ShardReleased {
                shard: shard.id.clone(),
            });
        }
    }
    released
}
