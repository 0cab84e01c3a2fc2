//! Polls the directory for operators' changes: the catalogue, and which data centres are evacuated.
//!
//! Every daemon polls by itself, so that a change takes effect everywhere without calls between
//! daemons, and a daemon that takes over a shard already has it.

use super::{
    Cx,
    edge::{Catalogue, OperatorState},
    evacuation::Change,
};
use crate::{core::time::Timestamp, policy::polling};
use std::{rc::Rc, time::Duration};

/// Interval of the reads: a change is in force within half of the bound of 2 s, with one read lost.
const POLL_INTERVAL: Duration = Duration::from_millis(600);

/// Polls until the process ends.
pub async fn follow(cx: Cx) {
    loop {
        let asked_at = cx.clock.timestamp();
        let read = cx.directory.operator_state().await;
        cx.note_store(read.as_ref().map(|_| ()));
        let was_refused = read.as_ref().is_err_and(|e| e.is_rate_limited);
        let pause = polling::urgent_pause(POLL_INTERVAL, was_refused, &mut cx.rng());
        if let Ok(read) = read {
            adopt(&cx, read, asked_at);
        }
        tokio::time::sleep(pause).await;
    }
}

fn adopt(cx: &Cx, read: OperatorState, asked_at: Timestamp) {
    if let Some(catalogue) = read.catalogue {
        adopt_catalogue(cx, catalogue);
    }
    let changes = cx
        .evacuations
        .borrow_mut()
        .note(&read.evacuated, asked_at, cx.clock.now());
    for change in &changes {
        log_change(change);
    }
    if !changes.is_empty() {
        cx.owners().iter().for_each(|owner| owner.wake.notify_one());
    }
}

/// Adopts a catalogue unless its version is known already or older: answers may arrive out of
/// order.
fn adopt_catalogue(cx: &Cx, read: Catalogue) {
    let before = cx.catalogue.borrow().as_ref().map(|known| known.version);
    if before.is_some_and(|before| read.version <= before) {
        return;
    }
    log::info!(version = read.version, before:? = before, queues = read.queues.len(); "catalogue in force");
    *cx.catalogue.borrow_mut() = Some(Rc::new(read));
}

fn log_change(change: &Change) {
    match change {
        Change::Evacuated {
            data_centre,
            version,
            read_took,
        } => {
            log::warn!(data_centre:%, version, read_took_ms = read_took.as_millis() as u64; "data centre is evacuated");
        }
        Change::Restored { data_centre, after } => {
            log::warn!(data_centre:%, after_ms = after.as_millis() as u64; "data centre is restored");
        }
    }
}
