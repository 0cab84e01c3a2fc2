//! Hands what was learned of pressure on to the next owner, by a row in the store.
//!
//! It is advice only: a row that is missing, old or malformed costs a successor some seconds of learning.

use super::Owner;
use crate::{
    policy::dispatch::pressure::{Learned, Pressure},
    sched::{
        Cx,
        edge::{RowKey, Txn},
    },
};
use std::{rc::Rc, time::Duration};

/// Table of the row.
const LEARNED_TABLE: &str = "learned";
/// Its key.
const PRESSURE_KEY: &str = "pressure";
/// Time between two writes: what was learned since is lost with an owner that dies.
const WRITE_EVERY: Duration = Duration::from_millis(2_500);
/// Most bytes of the row; the store takes 64 KiB. Four hundred pairs have 40 KiB.
const MOST_BYTES: usize = 60 * 1024;

/// Takes over what the owner before learned.
pub async fn resume(cx: &Cx, owner: &Owner) {
    let rows = cx
        .store
        .rows(LEARNED_TABLE, &owner.seat.part, PRESSURE_KEY)
        .await;
    let row = rows.ok().and_then(|rows| rows.into_iter().next());
    let learned = row.and_then(|row| serde_json::from_slice::<Learned>(&row.value).ok());
    match learned {
        Some(learned) => {
            let resumed = Pressure::resumed(&learned, cx.clock.now());
            *owner.pressure.borrow_mut() = resumed;
            log::info!(shard:% = owner.seat.part; "learned pressure is taken over");
        }
        None => log::info!(shard:% = owner.seat.part; "nothing learned to take over"),
    }
}

/// Writes what is learned until the shard is lost.
pub async fn hand_on(cx: Cx, owner: Rc<Owner>) {
    let mut written = Vec::new();
    while owner.is_serving() {
        tokio::time::sleep(WRITE_EVERY).await;
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
        part: owner.seat.part.clone(),
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
