//! Shares the interference model of a shard: with its next owner through a row in the store, with
//! the owners of other shards through calls.
//!
//! The estimates are advisory. Without a valid recent row, the next owner takes some seconds to
//! measure them again; without a reply, another owner does so for the pairs that it has not
//! measured itself.
//!
//! Load pattern: several shards run the same images, each on its own workers. Without sharing, each
//! shard would have to measure every pair of images itself, at the expense of tasks that serve
//! users.

use super::Owner;
use crate::{
    core::time::Millis,
    policy::dispatch::interference::{InterferenceModel, estimates::InterferenceEstimates},
    sched::{
        Cx,
        edge::{RowKey, Txn},
        front,
        layout::ShardId,
    },
};
use indexmap::IndexMap;
use std::{rc::Rc, time::Duration};

/// Store table of the row with the estimates.
const ESTIMATES_TABLE: &str = "learned";
/// Key of that row in the shard's partition.
const MODEL_KEY: &str = "pressure";
/// Time between two writes; estimates newer than the last write are lost with an owner that
/// crashes.
const WRITE_INTERVAL: Duration = Duration::from_millis(2_500);
/// Maximum size of the row; the store's limit is 64 KiB. Four hundred pairs take 40 KiB.
const MAX_ROW_BYTES: usize = 60 * 1024;
/// Time between two calls to other owners, one shard after the other. A reply has about 6 KB at
/// most, and with five shards an update reaches all owners within 2 s.
const REQUEST_INTERVAL: Duration = Duration::from_millis(400);

data! {
    /// Time up to which an owner's updates were received, on that owner's clock.
    #[derive(Copy)]
    pub struct ReceivedVersions {
        /// Fencing token of the owner. Another owner has another clock, so its times cannot be
        /// compared.
        token: u64,
        /// Everything older was received.
        at: Millis,
    }

    /// Update that an owner sends to another.
    pub struct LearnedUpdate {
        /// Time up to which the update is complete; sent with the next call.
        pub upto: ReceivedVersions,
        /// Estimates that are new or changed since the last update.
        pub learned: InterferenceEstimates,
    }
}

/// Estimates that this owner measured itself since `upto`, or all of them if `upto` is from another
/// owner. None before the shard is recovered.
pub fn updates_since(
    cx: &Cx,
    owner: &Owner,
    upto: Option<ReceivedVersions>,
) -> Option<LearnedUpdate> {
    if !owner.is_recovered() {
        return None;
    }
    let is_of_owner = |upto: &ReceivedVersions| upto.token == owner.token();
    let since = upto.filter(is_of_owner).map(|upto| upto.at);
    let upto = ReceivedVersions {
        token: owner.token(),
        at: cx.clock.now(),
    };
    let learned = InterferenceEstimates::since(
        &owner.interference_model.borrow(),
        since.unwrap_or_default(),
    );
    Some(LearnedUpdate { upto, learned })
}

/// Requests updates from the owners of other shards until the shard is lost.
pub async fn receive_updates(cx: Cx, owner: Rc<Owner>) {
    let mut received: IndexMap<ShardId, ReceivedVersions> = IndexMap::new();
    let mut turn = 0;
    while owner.is_serving() {
        tokio::time::sleep(REQUEST_INTERVAL).await;
        let Some(shard) = other_shard(&cx, &owner, turn) else {
            continue;
        };
        turn += 1;
        let upto = received.get(&shard).copied();
        let Some(update) = front::interference_update(&cx, &cx.handle(shard), upto).await else {
            continue;
        };
        received.insert(shard, update.upto);
        owner
            .interference_model
            .borrow_mut()
            .adopt(u32::from(shard.0), &update.learned);
        log::debug!(shard:% = owner.handle.partition, from:% = shard.partition(), pairs = update.learned.pairs(); "interference estimates received");
    }
}

fn other_shard(cx: &Cx, owner: &Owner, turn: usize) -> Option<ShardId> {
    let layout = cx.layout.borrow().clone()?;
    let others: Vec<ShardId> = layout.all().filter(|s| *s != owner.handle.shard).collect();
    (!others.is_empty()).then(|| others[turn % others.len()])
}

/// Loads the estimates that the previous owner stored.
pub async fn load_estimates(cx: &Cx, owner: &Owner) {
    let rows = cx
        .store
        .rows(ESTIMATES_TABLE, &owner.handle.partition, MODEL_KEY)
        .await;
    let row = rows.ok().and_then(|rows| rows.into_iter().next());
    let estimates =
        row.and_then(|row| serde_json::from_slice::<InterferenceEstimates>(&row.value).ok());
    match estimates {
        Some(estimates) => {
            let resumed = InterferenceModel::resumed(&estimates);
            *owner.interference_model.borrow_mut() = resumed;
            log::info!(shard:% = owner.handle.partition; "interference estimates loaded");
        }
        None => log::info!(shard:% = owner.handle.partition; "no interference estimates to load"),
    }
}

/// Writes the estimates to the store until the shard is lost.
pub async fn store_estimates(cx: Cx, owner: Rc<Owner>) {
    let mut written = Vec::new();
    while owner.is_serving() {
        tokio::time::sleep(WRITE_INTERVAL).await;
        // On a slow store, the few transactions of the partition are left to the journal.
        if !owner.journal.is_store_fast() {
            continue;
        }
        let estimates = InterferenceEstimates::from(&*owner.interference_model.borrow());
        let value = serde_json::to_vec(&estimates).unwrap_or_default();
        if value != written && value.len() <= MAX_ROW_BYTES {
            write(&cx, &owner, &value).await;
            written = value;
        }
    }
}

async fn write(cx: &Cx, owner: &Owner, value: &[u8]) {
    let row = RowKey {
        table: ESTIMATES_TABLE,
        partition: owner.handle.partition.clone(),
        key: MODEL_KEY.to_owned(),
    };
    let txn = Txn {
        expect: vec![owner.fence()],
        put: vec![(row, value.to_vec().into())],
        delete: Vec::new(),
    };
    let outcome = cx.store.commit(&txn).await;
    log::debug!(end:? = outcome; "interference estimates written");
}
