//! Limits on the jobs of an entry in one shard, derived from the entry's system-wide limits.
//!
//! The limit on running jobs is the shard's durable share: the shares add up to no more than the
//! system-wide limit, whatever each owner knows of the others. The limit on waiting jobs is divided
//! evenly over all shards in the store's table.

use super::{Cx, shard::Shard, shares};
use crate::core::{catalogue::Entry, id::ShardId};

/// Jobs of an entry that this shard may have placed at once.
pub fn job_limit(cx: &Cx, shard: &Shard, entry: &Entry) -> u32 {
    shares::shard_limit(cx, entry, shard)
}

/// Jobs of an entry that may wait in this shard.
pub fn queue_limit(cx: &Cx, shard: &Shard, entry: &Entry) -> u32 {
    shard_share(cx, shard, entry.limits.queue)
}

fn shard_share(cx: &Cx, shard: &Shard, limit: u32) -> u32 {
    let members = cx.members.borrow();
    let mut all: Vec<&ShardId> = members.shards.keys().collect();
    if !all.contains(&&shard.id) {
        all.push(&shard.id);
    }
    all.sort();
    let rank = all.iter().position(|id| **id == shard.id);
    even_share(limit, to_u32(rank.unwrap_or_default()), to_u32(all.len()))
}

/// The even share of `limit` for `rank` (from 0) out of `count`. The remainder goes to the lowest
/// ranks, one each.
pub fn even_share(limit: u32, rank: u32, count: u32) -> u32 {
    let count = count.max(1);
    limit / count + u32::from(rank < limit % count)
}

fn to_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
