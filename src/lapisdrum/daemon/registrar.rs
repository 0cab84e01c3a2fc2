//! Renewal of the presence row and of all shard leases in one transaction, and release of shards.
//!
//! Renewals have a loop of their own: behind the reads of [`super::observer`], a platform that is
//! merely slow would let leases expire that it is able to renew.
//!
//! Failure: the reply to a renewal is lost. Treating the renewal as failed would drop shards that
//! are held; treating it as successful would count on a lease that may not exist. So the rows are
//! read back: a row that still names this incarnation of this daemon is held, and the lease counts
//! from the last renewal that certainly took effect.

use super::{Cx, members::Presence, shard::Shard};
use crate::{
    core::id::{DaemonId, ShardId},
    state::ownership::{self, ShardRow},
    store::{
        client::{PlatformError, TxnOutcome},
        wire::Txn,
    },
    timeline::event::Happening,
};
use std::rc::Rc;
use tokio::time::MissedTickBehavior;

/// Key prefix of shard rows.
pub const SHARD_PREFIX: &str = "shard/";
/// Key prefix of presence rows.
pub const PRESENCE_PREFIX: &str = "presence/";

data! {
    /// The row that changes only when a shard's owner does; every ledger write asserts its version.
    pub struct EpochRow {
        /// The epoch of the present owner.
        pub epoch: crate::core::id::Epoch,
    }
}

/// Table key of the row that holds a shard's lease.
pub fn shard_key(shard: &ShardId) -> String {
    format!("{SHARD_PREFIX}{shard}")
}

/// Table key of a shard's [`EpochRow`].
pub fn epoch_key(shard: &ShardId) -> String {
    format!("epoch/{shard}")
}

/// Table key of a daemon's presence row. Keys are grouped by data centre, since a daemon reads the
/// rows of its own often and those of others rarely.
pub fn presence_key(dc: &str, daemon: &DaemonId) -> String {
    format!("{PRESENCE_PREFIX}{dc}/{daemon}")
}

fn own_presence_key(cx: &Cx) -> String {
    presence_key(cx.cfg.daemon.data_centre.as_str(), &cx.me.daemon)
}

/// Renews at the renewal interval until the process ends.
pub async fn run(cx: Cx) -> eyre::Result<()> {
    let mut beat = 0;
    let mut platform_up = true;
    let mut ticks = tokio::time::interval(cx.cfg.shards.renew);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        beat += 1;
        let result = renew(&cx, beat).await;
        if result.is_ok() != platform_up {
            platform_up = result.is_ok();
            note_platform_state(&cx, platform_up);
        }
        cx.metrics.platform_up.set(i64::from(platform_up));
    }
}

fn note_platform_state(cx: &Cx, up: bool) {
    if up {
        cx.timeline.record(Happening::PlatformBack {});
        log::info!("platform answers again");
    } else {
        cx.timeline.record(Happening::PlatformAway {});
        log::warn!(
            "platform does not answer; serving requests within floors, renewing running tasks"
        );
    }
}

/// Renews the presence row and every shard held in one transaction. One lost shard makes the whole
/// transaction conflict, so the others are retried at once.
async fn renew(cx: &Cx, beat: u64) -> Result<(), PlatformError> {
    if !try_renew(cx, beat).await? {
        try_renew(cx, beat).await?;
    }
    Ok(())
}

/// Sends one renewal. Returns false after a conflict; then, and after a lost reply, each shard's
/// row is read back.
async fn try_renew(cx: &Cx, beat: u64) -> Result<bool, PlatformError> {
    let held: Vec<Rc<Shard>> = cx.shards.borrow().values().cloned().collect();
    let sent_at = cx.clock.now();
    let mut txn = Txn::default().put(own_presence_key(cx), &presence(cx, beat));
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
                shard.note_renewed(row, *version, sent_at);
            }
            Ok(true)
        }
        TxnOutcome::Conflict(_) => {
            for shard in &held {
                read_back(cx, shard).await?;
            }
            Ok(false)
        }
        TxnOutcome::Unknown(e) => {
            cx.metrics.platform_unknown.inc();
            if held.is_empty() {
                return Err(e);
            }
            for (shard, row) in held.iter().zip(written) {
                shard.note_unconfirmed(row, sent_at);
            }
            for shard in &held {
                read_back(cx, shard).await?;
            }
            // Every row could be read, so the platform is reachable.
            log::debug!("reply to a renewal was lost: {e}");
            Ok(true)
        }
    }
}

/// Reads a shard's row after a conflict or a lost reply. A row written by this daemon's incarnation
/// is adopted; any other ends the ownership.
async fn read_back(cx: &Cx, shard: &Rc<Shard>) -> Result<(), PlatformError> {
    let row = cx.platform.get(&shard_key(&shard.id)).await?;
    let parsed = row
        .as_ref()
        .and_then(|row| Some((row.parse::<ShardRow>()?, row.version)));
    match parsed {
        Some((row, version)) if row.epoch == shard.epoch && row.holder.as_ref() == Some(&cx.me) => {
            shard.adopt_row(row, version);
        }
        _ => remove_lost(cx, shard),
    }
    Ok(())
}

/// Ends the ownership of a shard locally. It is recorded as lost only if it has not been released
/// or taken again since.
pub fn remove_lost(cx: &Cx, shard: &Rc<Shard>) {
    shard.mark_lost();
    let mut shards = cx.shards.borrow_mut();
    let is_held = |held: &Rc<Shard>| Rc::ptr_eq(held, shard);
    if shards.get(&shard.id).is_some_and(is_held) {
        shards.swap_remove(&shard.id);
        cx.metrics.shards_owned.dec();
        cx.timeline.record(Happening::ShardLost {
            shard: shard.id.clone(),
        });
        log::warn!("shard {} is lost", shard.id);
    }
}

fn presence(cx: &Cx, beat: u64) -> Presence {
    Presence {
        holder: cx.me.clone(),
        data_centre: cx.cfg.daemon.data_centre.clone(),
        callers: cx.cfg.daemon.callers.to_string(),
        revision: cx.catalogue.borrow().revision,
        beat,
        is_listed: cx.members.borrow().is_listed(&cx.me.address),
    }
}

/// Maximum number of attempts to release all shards; a renewal in flight can make the first one
/// conflict.
const RELEASE_ATTEMPTS: usize = 3;

/// Releases every shard and deletes the presence row, so that other daemons take over without
/// waiting for leases to expire. Shards that can't be released are left to expire.
pub async fn release_all(cx: &Cx) {
    let held: Vec<Rc<Shard>> = cx.shards.borrow().values().cloned().collect();
    for shard in &held {
        shard.end_tenure(cx).await;
    }
    for _ in 0..RELEASE_ATTEMPTS {
        if try_release(cx).await {
            break;
        }
        for shard in &held {
            // If the row can't be read, the next attempt conflicts and it is read again.
            let _ = read_back(cx, shard).await;
        }
    }
    for shard in held {
        remove(cx, &shard);
    }
}

/// Releases one shard. Returns false if the release is not confirmed; the shard is no longer served
/// either way.
pub async fn release(cx: &Cx, shard: &Rc<Shard>) -> bool {
    shard.end_tenure(cx).await;
    let (version, row) = shard.row();
    let txn = Txn::default()
        .compare(shard_key(&shard.id), version)
        .put(shard_key(&shard.id), &ownership::released(&row));
    let released = matches!(cx.platform.txn(&txn).await, TxnOutcome::Committed(_));
    if released {
        note_released(cx, shard);
    }
    remove(cx, shard);
    released
}

/// Drops a shard without recording it as lost.
fn remove(cx: &Cx, shard: &Rc<Shard>) {
    if cx.shards.borrow_mut().swap_remove(&shard.id).is_some() {
        cx.metrics.shards_owned.dec();
    }
    shard.mark_lost();
}

fn note_released(cx: &Cx, shard: &Shard) {
    cx.timeline.record(Happening::ShardReleased {
        shard: shard.id.clone(),
    });
}

async fn try_release(cx: &Cx) -> bool {
    let held: Vec<Rc<Shard>> = cx.shards.borrow().values().cloned().collect();
    let mut txn = Txn::default().delete(own_presence_key(cx));
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
            note_released(cx, &shard);
        }
    }
    released
}
