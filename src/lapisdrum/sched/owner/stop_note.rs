//! What an owner that sends no more leases writes for the next one.
//!
//! A worker that is lost shortly before its owner is silent to the next owner too. If the lease row
//! does not list the worker, the next owner knows neither when the worker last got a lease nor
//! whether a replaced owner still renews it, and waits for the end that the row allows. A replaced
//! owner that lives knows better.
//!
//! The row is in a table of its own, which only a new owner reads: every daemon polls the rows of
//! the lease.

use super::Owner;
use crate::{
    core::time::millis,
    sched::{
        Cx,
        edge::{CallError, Row, RowKey, Txn, TxnOutcome},
        lease::{confirmed_left_of, left_of, read_silent},
        resolution::ConfirmedRuns,
    },
};
use bytes::Bytes;
use indexmap::IndexMap;
use std::rc::Rc;

/// Store table of the notes.
pub const STOPPED_TABLE: &str = "stopped";
const NOTE_KEY: &str = "latest";
/// Maximum attempts to write a note.
const ATTEMPTS: usize = 2;

data! {
    /// Written by an owner that sends no lease after the writing.
    pub struct StopNote {
        /// The owner's fencing token.
        pub token: u64,
        /// Fencing token of the last earlier owner that may have sent leases, if it is known to
        /// send none any more. The next owner may not know that this owner came between.
        #[serde(default)]
        pub stopped_token: Option<u64>,
        /// Workers that do not answer the owner and have runs, or had some that the owner gave up
        /// without that being durable: time after the writing until which the leases of this owner
        /// and earlier ones last, in milliseconds.
        #[serde(default)]
        pub ends_in_ms: IndexMap<String, u64>,
        /// Those of these workers on which confirmed runs end before others.
        #[serde(default)]
        pub confirmed: IndexMap<String, ConfirmedRuns>,
    }
}

/// Waits until the shard is lost, and writes the note. A daemon that drains has written it with the
/// release.
pub async fn write_when_lost(cx: Cx, owner: Rc<Owner>) {
    owner.lost.notified().await;
    // Without leases of this owner, the note of the last one that sent any stays, unless this
    // owner's note holds for that one too.
    let is_needed = owner.may_have_sent_leases() || owner.stopped_token(&cx).is_some();
    if cx.is_draining() || !is_needed {
        return;
    }
    for _ in 0..ATTEMPTS {
        if write(&cx, &owner).await {
            return;
        }
    }
}

/// Writes the note, unless there is one of the same or a later owner; returns false if the store did
/// not answer.
async fn write(cx: &Cx, owner: &Owner) -> bool {
    let Ok(rows) = read_rows(cx, owner).await else {
        return false;
    };
    let before = rows.first();
    if before.is_some_and(|row| !is_earlier(row, owner.token())) {
        return true;
    }
    let note = owner.stop_note(cx);
    let (key, value) = row_of(owner, &note);
    let txn = Txn {
        expect: vec![(key.clone(), before.map_or(0, |row| row.version))],
        put: vec![(key, value)],
        delete: Vec::new(),
    };
    let outcome = cx.store.commit(&txn).await;
    if !matches!(outcome, TxnOutcome::Committed(_)) {
        log::warn!(shard:% = owner.handle.partition, token = note.token, end:? = outcome; "end of leases could not be noted");
    }
    matches!(outcome, TxnOutcome::Committed(_) | TxnOutcome::Conflict(_))
}

async fn read_rows(cx: &Cx, owner: &Owner) -> Result<Vec<Row>, CallError> {
    let partition = &owner.handle.partition;
    cx.store.rows(STOPPED_TABLE, partition, NOTE_KEY).await
}

/// Whether a row is the note of an owner before that with `token`.
fn is_earlier(row: &Row, token: u64) -> bool {
    let note = serde_json::from_slice::<StopNote>(&row.value);
    note.is_ok_and(|note| note.token < token)
}

/// The row of a note. A transaction that expects the owner's fence may write it unread, since there
/// is no later owner then.
pub fn row_of(owner: &Owner, note: &StopNote) -> (RowKey, Bytes) {
    let key = RowKey {
        table: STOPPED_TABLE,
        partition: owner.handle.partition.clone(),
        key: NOTE_KEY.to_owned(),
    };
    (key, serde_json::to_vec(note).unwrap_or_default().into())
}

/// Reads the previous owner's note, and accepts it; returns whether there is one.
pub async fn accept(cx: &Cx, owner: &Owner) -> bool {
    let Ok(rows) = read_rows(cx, owner).await else {
        return false;
    };
    let note = rows
        .first()
        .and_then(|row| serde_json::from_slice::<StopNote>(&row.value).ok());
    let note = note.filter(|note| {
        let replaced = owner.replaced_token;
        note.token == replaced || note.stopped_token == Some(replaced)
    });
    match note {
        Some(note) => {
            owner.accept_stop_note(cx, &note);
            true
        }
        None => false,
    }
}

impl Owner {
    /// What this owner writes once it sends no more leases.
    pub fn stop_note(&self, cx: &Cx) -> StopNote {
        let now = cx.clock.now();
        let silent = self.silent_workers(cx);
        let (token, workers) = (self.token(), silent.len());
        log::info!(shard:% = self.handle.partition, token, workers; "end of leases is noted");
        StopNote {
            token,
            stopped_token: self.stopped_token(cx),
            ends_in_ms: left_of(&silent, now),
            confirmed: confirmed_left_of(&silent, now),
        }
    }

    /// Fencing token of the last earlier owner that may have sent leases, if no earlier owner sends
    /// any more.
    fn stopped_token(&self, cx: &Cx) -> Option<u64> {
        let have_stopped = self.earlier_owners.get().ends().unconfirmed <= cx.clock.now();
        (have_stopped && self.previous_owner.is_some()).then_some(self.replaced_token)
    }

    /// Lowers the bounds on earlier owners by the note of the previous one, which was read just now.
    fn accept_stop_note(&self, cx: &Cx, note: &StopNote) {
        let now = cx.clock.now();
        let mut earlier = self.earlier_owners.get();
        earlier.note_previous_stopped(now);
        self.earlier_owners.set(earlier);
        let noted = read_silent(&note.ends_in_ms, &note.confirmed, now, &cx.cfg.leases);
        for (worker, noted) in noted {
            let mut known = self.silent_before.borrow_mut();
            let known = known.entry(worker).or_insert(noted);
            *known = known.min(noted);
        }
        for (worker, session) in &mut *self.sessions.borrow_mut() {
            session.bound.note_inherited(earlier.ends());
            if let Some(silent) = self.silent_before.borrow().get(worker) {
                session.bound.note_written_end(silent.ends);
            }
        }
        let since_takeover_ms = millis(now.since(self.taken_at));
        let leases_end_in_ms = millis(earlier.ends().confirmed.since(now));
        let daemon = self.previous_owner.as_ref().map(|before| &before.daemon);
        log::info!(shard:% = self.handle.partition, daemon:?, workers = note.ends_in_ms.len(), since_takeover_ms, leases_end_in_ms; "owner before has stopped");
    }
}
