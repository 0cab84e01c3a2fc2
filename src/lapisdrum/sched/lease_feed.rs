//! Follows the leases of all shards by the changes of their table: one call of the store for all
//! shards, where [`lease`] reads them in turn.
//!
//! Load pattern: forty daemons that each read one lease every 150 ms make 250 calls a second, two
//! thirds of all calls to the store on a calm day, and only a few of these daemons ever take a
//! shard over.
//!
//! Changes may be reported late, and the store drops its history at any time. So a shard is read by
//! itself before its holder is probed or its lease is taken, and after a failed call all shards are
//! read in turn until the changes can be followed from there. A take-over is conditional on the
//! versions of the rows in any case.

use super::{
    Cx,
    layout::ShardId,
    lease::{self, OWNERS_TABLE},
};
use std::time::Duration;

/// Maximum number of shards whose leases are followed by their changes: an answer holds the rows of
/// all shards, and a daemon has 15 KB/s for control.
const MAX_FOLLOWED: usize = 8;

/// Whether the leases of this many shards are followed by their changes.
pub fn is_useful(shards: usize) -> bool {
    (2..=MAX_FOLLOWED).contains(&shards)
}

/// Follows the leases and takes over free shards, until the process ends. Each lease is seen once
/// per round, like in reads of one shard after every `pause`.
pub async fn follow(cx: &Cx, shards: &[ShardId], pause: Duration) {
    let interval = pause * u32::try_from(shards.len()).unwrap_or(u32::MAX);
    loop {
        let Some(mut after) = read_in_turn(cx, shards, pause).await else {
            continue;
        };
        log::debug!(after, shards = shards.len(); "leases are followed by their changes");
        while let Some(newest) = note_changes(cx, shards, after).await {
            after = newest;
            for shard in shards {
                lease::act_if_due(cx, &cx.handle(*shard)).await;
            }
            tokio::time::sleep(cx.read_rate.get().pause(interval)).await;
        }
    }
}

/// Reads all shards, one after another, and returns the version from which their changes can be
/// followed: the newest one of the shard that was read first. None if a read failed, or that shard
/// has no rows.
async fn read_in_turn(cx: &Cx, shards: &[ShardId], pause: Duration) -> Option<u64> {
    let (mut first, mut are_read) = (None, true);
    for shard in shards {
        let handle = cx.handle(*shard);
        are_read &= lease::poll_shard(cx, &handle).await;
        first.get_or_insert(handle.lease.borrow().newest_version());
        tokio::time::sleep(cx.read_rate.get().pause(pause)).await;
    }
    first.filter(|version| are_read && *version > 0)
}

/// Notes the changes after a version, and returns the version up to which they are known.
async fn note_changes(cx: &Cx, shards: &[ShardId], after: u64) -> Option<u64> {
    let sent_at = cx.clock.now();
    let changes = match cx.store.changes(OWNERS_TABLE, after).await {
        Ok(changes) => changes,
        Err(e) => {
            cx.note_store(Err(&e));
            log::info!(error:% = e, after; "changes of the leases are not known; they are read in turn");
            return None;
        }
    };
    cx.note_store(Ok(()));
    for shard in shards {
        let handle = cx.handle(*shard);
        let rows = changes.of(&handle.partition);
        if let Err(e) = lease::note_changed(cx, &handle, &rows, sent_at) {
            log::warn!(shard:% = handle.partition, error:% = e; "the lease row is malformed");
        }
    }
    Some(changes.newest.max(after))
}
