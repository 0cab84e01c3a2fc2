//! Hands what was learned of pressure on: to the next owner by a row in the store, to the owners of other shards
//! by calls.
//!
//! It is advice only: a row that is missing, old or malformed costs a successor some seconds of learning, an
//! answer that doesn't come costs the asker the same for the pairs that only the other has seen.
//!
//! Load pattern: several shards, each with its part of the workers and all with the same images. Each would
//! learn every pair by itself, and try it on tasks that serve users.

use super::Owner;
use crate::{
    core::time::Millis,
    policy::dispatch::pressure::{Pressure, learned::Learned},
    sched::{
        Cx,
        edge::{RowKey, Txn},
        front,
        layout::ShardId,
    },
};
use indexmap::IndexMap;
use std::{rc::Rc, time::Duration};

/// Table of the row.
const LEARNED_TABLE: &str = "learned";
/// Its key.
const PRESSURE_KEY: &str = "pressure";
/// Time between two writes: what was learned since is lost with an owner that dies.
const WRITE_EVERY: Duration = Duration::from_millis(2_500);
/// Most bytes of the row; the store takes 64 KiB. Four hundred pairs have 40 KiB.
const MOST_BYTES: usize = 60 * 1024;
/// Time between two calls to other owners, each shard in turn: an answer has some 6 KB at most, and what is new
/// within five shards is known to all after 2 s.
const ASK_EVERY: Duration = Duration::from_millis(400);

data! {
    /// Up to when an owner has told what it learned, on its own clock.
    #[derive(Copy)]
    pub struct HeardUpto {
        /// Its fencing token: another owner's clock is another one.
        token: u64,
        /// Everything before this was told.
        at: Millis,
    }

    /// What an owner tells another.
    pub struct Told {
        /// Up to when this tells.
        pub upto: HeardUpto,
        /// What is new.
        pub learned: Learned,
    }
}

/// What this owner has learned by itself since the asker was last told.
pub fn tell(cx: &Cx, owner: &Owner, upto: Option<HeardUpto>) -> Option<Told> {
    if !owner.is_recovered() {
        return None;
    }
    let is_of_owner = |upto: &HeardUpto| upto.token == owner.token();
    let since = upto.filter(is_of_owner).map(|upto| upto.at);
    let upto = HeardUpto {
        token: owner.token(),
        at: cx.clock.now(),
    };
    let learned = Learned::since(&owner.pressure.borrow(), since.unwrap_or_default());
    Some(Told { upto, learned })
}

/// Asks the owners of other shards what they have learned, until the shard is lost.
pub async fn hear(cx: Cx, owner: Rc<Owner>) {
    let mut heard: IndexMap<ShardId, HeardUpto> = IndexMap::new();
    let mut turn = 0;
    while owner.is_serving() {
        tokio::time::sleep(ASK_EVERY).await;
        let Some(shard) = other_shard(&cx, &owner, turn) else {
            continue;
        };
        turn += 1;
        let upto = heard.get(&shard).copied();
        let Some(told) = front::learned_of(&cx, &cx.handle(shard), upto).await else {
            continue;
        };
        heard.insert(shard, told.upto);
        owner
            .pressure
            .borrow_mut()
            .adopt(u32::from(shard.0), &told.learned);
        log::debug!(shard:% = owner.handle.part, from:% = shard.part(), pairs = told.learned.pairs(); "learned pressure heard");
    }
}

fn other_shard(cx: &Cx, owner: &Owner, turn: usize) -> Option<ShardId> {
    let layout = cx.layout.borrow().clone()?;
    let others: Vec<ShardId> = layout.all().filter(|s| *s != owner.handle.shard).collect();
    (!others.is_empty()).then(|| others[turn % others.len()])
}

/// Takes over what the owner before learned.
pub async fn resume(cx: &Cx, owner: &Owner) {
    let rows = cx
        .store
        .rows(LEARNED_TABLE, &owner.handle.part, PRESSURE_KEY)
        .await;
    let row = rows.ok().and_then(|rows| rows.into_iter().next());
    let learned = row.and_then(|row| serde_json::from_slice::<Learned>(&row.value).ok());
    match learned {
        Some(learned) => {
            let resumed = Pressure::resumed(&learned);
            *owner.pressure.borrow_mut() = resumed;
            log::info!(shard:% = owner.handle.part; "learned pressure is taken over");
        }
        None => log::info!(shard:% = owner.handle.part; "nothing learned to take over"),
    }
}

/// Writes what is learned until the shard is lost.
pub async fn hand_on(cx: Cx, owner: Rc<Owner>) {
    let mut written = Vec::new();
    while owner.is_serving() {
        tokio::time::sleep(WRITE_EVERY).await;
        // On a slow store the journal needs the part's few transactions.
        if !owner.journal.is_quick() {
            continue;
        }
        let learned = Learned::from(&*owner.pressure.borrow());
        let value = serde_json::to_vec(&learned).unwrap_or_default();
        if value != written && value.len() <= MOST_BYTES {
            write(&cx, &owner, &value).await;
            written = value;
        }
    }
}

async fn write(cx: &Cx, owner: &Owner, value: &[u8]) {
    let row = RowKey {
        table: LEARNED_TABLE,
        part: owner.handle.part.clone(),
        key: PRESSURE_KEY.to_owned(),
    };
    let txn = Txn {
        expect: vec![owner.fence()],
        put: vec![(row, value.to_vec().into())],
        delete: Vec::new(),
    };
    let end = cx.store.commit(&txn).await;
    log::debug!(end:? = end; "learned pressure written");
}
