//! Detects that the previous owner's process has ended, or that the owner has noted its stop.
//!
//! An owner that the store rejects continues to renew workers' leases for `owner_hold`, so the next
//! owner waits that long plus one lease before it gives up runs on workers that do not answer. When
//! an owner and a worker were lost together, the worker's long-running tasks were interrupted for
//! 12 s after the owner's end. A killed daemon is restarted under its address within a second: a
//! reply from another incarnation proves that the previous one sends nothing more, and the tasks
//! run again 3 s sooner. A missing reply proves nothing.

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
    let until = owner.earlier_owners.get().previous_until();
    // A released shard has a note, and no hold to wait out.
    while !stop_note::accept(&cx, &owner).await {
        if !owner.is_serving() || cx.clock.now() >= until {
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
    /// Logs until when earlier owners may send leases, as inferred from the rows that were `seen`
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
        let until = self.earlier_owners.get().until();
        let may_send_ms = millis(until.since(self.taken_at));
        let before_ms = before.earlier_may_send_ms;
        log::info!(shard:%, token = self.token(), daemon:%, is_released, is_idle, unchanged_ms, owned_ms, before_ms:?, may_send_ms; "earlier owners may send leases");
    }

    /// Notes that the previous owner had ended by `at`. The owners before that one may still renew
    /// leases.
    pub fn note_previous_owner_ended(&self, at: Millis) {
        let mut earlier = self.earlier_owners.get();
        earlier.note_previous_stopped(at);
        self.earlier_owners.set(earlier);
        let until = earlier.until();
        let before = self.previous_owner.as_ref().map(|before| &before.daemon);
        let earlier_for_ms = millis(until.since(at));
        log::info!(shard:% = self.handle.partition, daemon:? = before, nothing_sent_after = until.0, earlier_for_ms; "owner before is gone");
        for session in self.sessions.borrow_mut().values_mut() {
            session.bound.previous_owner_ended(until);
        }
    }
}
