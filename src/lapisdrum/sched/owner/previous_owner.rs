//! Detects that the previous owner's process has ended, or that the owner has noted its stop.
//!
//! An owner that the store rejects continues to renew workers' leases up to the end that its last
//! lease row allows. The next owner waits for that end before it gives up runs on workers that do not
//! answer, unless the row lists the worker. A killed daemon is restarted under its address within a
//! second: a reply from another incarnation proves that the previous one sends nothing more, so that
//! its leases end sooner. A missing reply proves nothing.

use super::{Owner, stop_note};
use crate::{
    core::time::{Millis, millis},
    sched::{
        Cx,
        lease::{Holder, LeaseView},
    },
};
use std::{rc::Rc, time::Duration};

/// Time between two probes; a daemon takes about half a second to restart.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of a probe: many round trips between data centres.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the previous owner's note and probes its address until that owner has stopped, or its hold
/// has passed and the result is irrelevant.
pub async fn follow(cx: Cx, owner: Rc<Owner>) {
    let Some(before) = &owner.previous_owner else {
        return;
    };
    // A released shard has a note, and no hold to wait out.
    while !stop_note::accept(&cx, &owner).await {
        if !owner.is_serving() || !owner.awaits_inherited_leases(&cx) {
            return;
        }
        if has_ended(&cx, before).await {
            owner.note_previous_owner_ended(cx.clock.now());
            return;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Whether another incarnation answers at the previous owner's address. If the same one does, or
/// none, nothing is known.
async fn has_ended(cx: &Cx, before: &Holder) -> bool {
    if *before == cx.me {
        return false;
    }
    let answer = cx.peers.who(&before.address, PROBE_TIMEOUT).await;
    answer.is_ok_and(|now| now.run.incarnation != before.incarnation)
}

impl Owner {
    /// Whether a worker with runs may still hold leases of earlier owners and has not answered this
    /// one, or that is not known before the recovery.
    fn awaits_inherited_leases(&self, cx: &Cx) -> bool {
        let now = cx.clock.now();
        let may_last = self.earlier_owners.get().previous().unconfirmed > now;
        let sessions = self.sessions.borrow();
        let is_unclaimed = || {
            let mut sessions = sessions.values();
            sessions.any(|session| !session.is_claimed() && !session.runs.is_empty())
        };
        may_last && (!self.is_recovered() || is_unclaimed())
    }

    /// Logs until when leases of earlier owners may last, as inferred from the rows that were `seen`
    /// before the take-over.
    pub fn log_earlier_owners(&self, seen: &LeaseView) {
        let Some(before) = &seen.row else {
            return;
        };
        let shard = &self.handle.partition;
        let daemon = &before.holder.daemon;
        let is_released = before.is_released;
        let is_idle = before.last_sender.is_some();
        let unchanged_ms = millis(self.taken_at.since(seen.since));
        let owned_ms = millis(self.taken_at.since(seen.fence_since));
        let left = self.earlier_owners.get().ends().left(self.taken_at);
        let is_noted = before.leases.is_some();
        let silent = self.silent_before.borrow().len();
        let confirmed_before = self.previous_confirmed_before.others;
        let unconfirmed_on = self.previous_confirmed_before.workers.len();
        let unsettled_on = self.unsettled_before.len();
        log::info!(shard:%, token = self.token(), daemon:%, is_released, is_idle, is_noted, unchanged_ms, owned_ms, leases_end_in_ms = left.confirmed_ms, unconfirmed_end_in_ms = left.unconfirmed_ms, silent, confirmed_before:?, unconfirmed_on, unsettled_on; "leases of earlier owners may last");
    }

    /// Notes that the previous owner had ended by `at`. The owners before that one may still renew
    /// leases.
    pub fn note_previous_owner_ended(&self, at: Millis) {
        let mut earlier = self.earlier_owners.get();
        earlier.note_previous_stopped(at);
        self.earlier_owners.set(earlier);
        let ends = earlier.ends();
        let before = self.previous_owner.as_ref().map(|before| &before.daemon);
        let left = ends.left(at);
        log::info!(shard:% = self.handle.partition, daemon:? = before, leases_end_in_ms = left.confirmed_ms, unconfirmed_end_in_ms = left.unconfirmed_ms; "owner before is gone");
        for session in self.sessions.borrow_mut().values_mut() {
            session.bound.note_inherited(ends);
        }
    }
}
