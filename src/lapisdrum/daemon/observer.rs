//! Reads the rows of daemons and shards and the list of hosts, takes over shards without an owner,
//! and balances shards over the daemons of the data centre.

use super::{
    Cx,
    members::{Presence, SeenPresence, SeenShard},
    registrar::{
        self, EpochRow, PRESENCE_PREFIX, SHARD_PREFIX, epoch_key, presence_key, shard_key,
    },
    shard::Shard,
};
use crate::{
    core::{id::ShardId, time::Millis},
    state::ownership::{self, Availability, ShardRow, Sighting, Tenure},
    store::{
        client::{PlatformError, TxnOutcome},
        wire::{Row, Txn},
    },
    timeline::event::{Happening, Stamp},
};
use indexmap::IndexMap;
use std::{rc::Rc, time::Duration};
use tokio::time::MissedTickBehavior;

/// Consecutive rounds in which a daemon must exceed its even share before it releases a shard. A
/// daemon that restarts often would otherwise make shards move, and each move costs a recovery.
const ROUNDS_BEFORE_RELEASE: u32 = 10;
/// Margin after the expiry of a lease, so that it has certainly expired when it is checked.
const LAPSE_MARGIN: Duration = Duration::from_millis(2);
/// One in this many rounds also reads the daemons and shards of other data centres. They are needed
/// only for requests that spill over and for passing on the catalogue.
const ROUNDS_PER_FULL_READ: u32 = 10;
/// Age of an unchanged presence row at which it is deleted: longer than the longest hold, since the
/// row of a dead daemon is needed as evidence for as long as its tasks may matter.
const STALE_PRESENCE: Duration = Duration::from_secs(25 * 3_600);

/// Refreshes the view of daemons, shards and hosts until the process ends.
pub async fn run(cx: Cx) -> eyre::Result<()> {
    let mut rounds_above_share = 0;
    let mut round = 0_u32;
    let mut rounds = tokio::time::interval(cx.cfg.shards.renew.min(cx.cfg.platform.poll));
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let lapse = tokio::time::sleep(until_lapse(&cx));
        // After an error the last view is kept; the registrar reports that the platform is
        // unavailable.
        let _ = tokio::select! {
            _ = rounds.tick() => {
                let all_data_centres = round.is_multiple_of(ROUNDS_PER_FULL_READ);
                round = round.wrapping_add(1);
                refresh(&cx, &mut rounds_above_share, all_data_centres).await
            }
            // No new read is needed: a row that was renewed meanwhile has another version, and the
            // transaction fails.
            () = lapse => take_available(&cx).await,
        };
    }
}

/// Time until the first lease of a shard in this data centre may have expired. Waiting for the next
/// round instead would delay each take-over by up to a round.
fn until_lapse(cx: &Cx) -> Duration {
    let (terms, now) = (&cx.cfg.shards.terms, cx.clock.now());
    let members = cx.members.borrow();
    let own = cx.cfg.daemon.data_centre.as_str();
    let held = members
        .shards
        .iter()
        .filter(|(id, shard)| id.data_centre() == own && shard.row.holder.is_some());
    let lapses = held
        .map(|(_, shard)| shard.seen.since + terms.lengthened(terms.lease) + LAPSE_MARGIN)
        .filter(|lapse| *lapse > now);
    lapses.min().map_or(cx.cfg.shards.renew, |at| at.since(now))
}

async fn refresh(
    cx: &Cx,
    rounds_above_share: &mut u32,
    all_data_centres: bool,
) -> Result<(), PlatformError> {
    read_daemons(cx, all_data_centres).await?;
    read_shards(cx, all_data_centres).await?;
    // Before any shard is taken: without the list, every host of a recovered shard would seem dead.
    read_hosts(cx).await?;
    take_available(cx).await?;
    if !cx.is_draining() {
        balance(cx, rounds_above_share).await;
    }
    Ok(())
}

/// Reads the presence rows of this data centre, or of all data centres.
async fn read_daemons(cx: &Cx, all_data_centres: bool) -> Result<(), PlatformError> {
    let own = &cx.cfg.daemon.data_centre;
    let prefix = match all_data_centres {
        true => PRESENCE_PREFIX.to_owned(),
        false => format!("{PRESENCE_PREFIX}{own}/"),
    };
    let rows = cx.platform.list(&prefix).await?;
    note_daemons(cx, &rows, all_data_centres);
    delete_stale_presence(cx).await;
    Ok(())
}

fn note_daemons(cx: &Cx, rows: &[Row], all_data_centres: bool) {
    let (now, own) = (cx.clock.now(), &cx.cfg.daemon.data_centre);
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
    let was_read = |seen: &SeenPresence| all_data_centres || seen.row.data_centre == *own;
    members.daemons.retain(|_, seen| !was_read(seen));
    members.daemons.extend(seen);
    if all_data_centres {
        members.all_read_at = Some(now);
    }
}

/// Reads the shard rows of this data centre, or of all data centres.
async fn read_shards(cx: &Cx, all_data_centres: bool) -> Result<(), PlatformError> {
    let prefix = match all_data_centres {
        true => SHARD_PREFIX.to_owned(),
        false => format!("{SHARD_PREFIX}{}.", cx.cfg.daemon.data_centre),
    };
    let rows = cx.platform.list(&prefix).await?;
    let now = cx.clock.now();
    let mut members = cx.members.borrow_mut();
    for row in rows {
        let (Some(id), Some(shard)) = (shard_of_key(&row), row.parse::<ShardRow>()) else {
            continue;
        };
        let before = members.shards.get(&id).map(|before| before.seen);
        let seen = Sighting::update(before, row.version, now);
        members.shards.insert(id, SeenShard { row: shard, seen });
    }
    Ok(())
}

fn shard_of_key(row: &Row) -> Option<ShardId> {
    ShardId::try_from(row.key.strip_prefix(SHARD_PREFIX)?).ok()
}

async fn read_hosts(cx: &Cx) -> Result<(), PlatformError> {
    let known = cx.members.borrow().hosts_tag.clone();
    let dc = &cx.cfg.daemon.data_centre;
    let read = cx.platform.hosts(dc, known.as_deref()).await?;
    let (count, now) = (cx.cfg.shards.count, cx.clock.now());
    let mut members = cx.members.borrow_mut();
    match read {
        None => members.hosts_read_at = Some(now),
        Some(list) => {
            members.hosts_tag = list.tag.filter(|_| !list.hosts.is_empty());
            members.set_hosts(list.hosts, count, now);
        }
    }
    Ok(())
}

/// Deletes presence rows that have not changed for [`STALE_PRESENCE`], so that the list does not
/// grow with every host that is replaced.
async fn delete_stale_presence(cx: &Cx) {
    let now = cx.clock.now();
    let stale: Vec<(String, u64)> = {
        let members = cx.members.borrow();
        let old = members
            .daemons
            .iter()
            .filter(|(_, seen)| now.since(seen.seen.since) > STALE_PRESENCE);
        old.map(|(name, seen)| {
            let key = presence_key(seen.row.data_centre.as_str(), name);
            (key, seen.seen.version)
        })
        .collect()
    };
    for (key, version) in stale {
        let txn = Txn::default().compare(&key, version).delete(&key);
        let _ = cx.platform.txn(&txn).await;
    }
}

/// Takes shards of this data centre that have no owner: up to this daemon's even share at once, and
/// beyond it after a further wait, since the daemon that should take one may be unable to.
async fn take_available(cx: &Cx) -> Result<(), PlatformError> {
    if cx.is_draining() || cx.members.borrow().hosts_read_at.is_none() {
        return Ok(());
    }
    let dc = &cx.cfg.daemon.data_centre;
    for index in 0..cx.cfg.shards.count {
        let id = ShardId::new(dc, index);
        if cx.shards.borrow().contains_key(&id) {
            continue;
        }
        let (row, seen) = last_seen(cx, &id);
        if may_take(cx, row.as_ref(), seen) {
            take(cx, id, row.as_ref(), seen.version).await?;
        }
    }
    Ok(())
}

fn last_seen(cx: &Cx, id: &ShardId) -> (Option<ShardRow>, Sighting) {
    let members = cx.members.borrow();
    match members.shards.get(id) {
        Some(shard) => (Some(shard.row.clone()), shard.seen),
        None => (
            None,
            Sighting {
                version: 0,
                since: cx.clock.now(),
            },
        ),
    }
}

fn may_take(cx: &Cx, row: Option<&ShardRow>, seen: Sighting) -> bool {
    let (terms, now) = (&cx.cfg.shards.terms, cx.clock.now());
    // A take-over whose reply was lost: no daemon has acted under that epoch, so the next epoch may
    // be taken without waiting for the lease to expire.
    let is_own = row.is_some_and(|row| row.holder.as_ref() == Some(&cx.me));
    let wait_above_share = match ownership::availability(row, seen, now, terms) {
        _ if is_own => Duration::ZERO,
        Availability::Held => return false,
        Availability::Vacant => terms.lengthened(terms.lease),
        Availability::Lapsed => terms.lengthened(terms.lease) * 2,
    };
    cx.shards.borrow().len() < even_share(cx) || now.since(seen.since) > wait_above_share
}

/// This daemon's even share of the data centre's shards, rounded up.
fn even_share(cx: &Cx) -> usize {
    (cx.cfg.shards.count as usize).div_ceil(live_daemons(cx))
}

fn live_daemons(cx: &Cx) -> usize {
    let members = cx.members.borrow();
    let timeout = cx.cfg.shards.terms.lengthened(cx.cfg.shards.terms.lease);
    let live = members.live(&cx.cfg.daemon.data_centre, cx.clock.now(), timeout);
    live.len().max(1)
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
        // Another daemon was first; the next round reads its row.
        TxnOutcome::Conflict(_) => return Ok(()),
        TxnOutcome::Unknown(e) => match read_back(cx, &id, &new).await? {
            Some(versions) => versions,
            None => return Err(e),
        },
    };
    start_owning(cx, id, new, &versions, (sent_at, stamp));
    Ok(())
}

/// After a lost reply, the versions of both rows if the take-over was written.
async fn read_back(
    cx: &Cx,
    id: &ShardId,
    new: &ShardRow,
) -> Result<Option<Vec<u64>>, PlatformError> {
    let shard = cx.platform.get(&shard_key(id)).await?;
    let epoch = cx.platform.get(&epoch_key(id)).await?;
    let shard = shard.filter(|row| row.parse::<ShardRow>().as_ref() == Some(new));
    let is_ours = |row: &Row| {
        row.parse::<EpochRow>()
            .is_some_and(|row| row.epoch == new.epoch)
    };
    let versions = shard
        .zip(epoch.filter(is_ours))
        .map(|(shard, epoch)| vec![shard.version, epoch.version]);
    Ok(versions)
}

/// Starts to own a shard. `sent` is when the take-over was sent, by the daemon's clock and by the
/// timeline's.
fn start_owning(cx: &Cx, id: ShardId, row: ShardRow, versions: &[u64], sent: (Millis, Stamp)) {
    let (sent_at, stamp) = sent;
    let tenure = Tenure {
        epoch: row.epoch,
        renewed_at: sent_at,
    };
    let shard = Shard::new(id.clone(), row, versions[0], versions[1], tenure);
    cx.shards.borrow_mut().insert(id.clone(), Rc::clone(&shard));
    cx.metrics.shards_owned.inc();
    let taken = Happening::ShardTaken {
        shard: id.clone(),
        epoch: shard.epoch,
    };
    cx.timeline.record_at(stamp, taken);
    log::info!("shard {id} is taken at epoch {}", shard.epoch);
    super::shard::start(cx, shard);
}

/// Releases one shard if this daemon has exceeded its even share for [`ROUNDS_BEFORE_RELEASE`]
/// rounds.
async fn balance(cx: &Cx, rounds_above_share: &mut u32) {
    let held: Vec<Rc<Shard>> = cx.shards.borrow().values().cloned().collect();
    if held.len() <= even_share(cx) {
        *rounds_above_share = 0;
        return;
    }
    *rounds_above_share += 1;
    if *rounds_above_share < ROUNDS_BEFORE_RELEASE {
        return;
    }
    *rounds_above_share = 0;
    if let Some(shard) = held.last().filter(|shard| shard.is_serving()) {
        log::info!("shard {} is released to balance", shard.id);
        registrar::release(cx, shard).await;
    }
}
