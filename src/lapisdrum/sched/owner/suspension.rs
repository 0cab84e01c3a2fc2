//! Suspends an owner whose fencing token a worker refuses.
//!
//! A worker refuses a token after it has seen a greater one, which exists only once another daemon
//! has taken the shard over, so the refusal proves that this owner is superseded. Its own read of
//! the lease row may take seconds longer, if it is cut off from the store. From the first refusal on
//! it calls no worker and keeps no connection to one, places nothing, accepts nothing and doesn't answer as the owner, until a read
//! of the rows decides: it steps down, or it resumes, because the refusal came from a worker that was
//! reached by mistake. That worker is then left alone for [`REFUSED_PAUSE`], so that it suspends the
//! shard for a read in every such pause at most.
//!
//! The journal goes on: its writes are conditional on the fence.

use super::{Owner, poll};
use crate::{
    core::time::{Millis, millis},
    daemon::supervisor,
    sched::{Cx, lease},
};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::sync::Notify;

/// Pause between two reads of the lease row while the store does not answer: an owner that is
/// current resumes soon, and a store that limits calls is not overloaded.
const READ_RETRY: Duration = Duration::from_millis(100);
/// Time for which a worker that refused the token of the current owner is not called: half of a
/// longest lease, so that its runs are found again if it answers as before.
const REFUSED_PAUSE: Duration = Duration::from_secs(3);

/// Whether an owner is suspended, and by what.
#[derive(Default)]
pub struct Suspension {
    /// When it began; none unless the owner is suspended.
    since: Cell<Option<Millis>>,
    /// When the last refusal arrived.
    refused_at: Cell<Millis>,
    /// Number of refusals since it began.
    refusals: Cell<u64>,
    /// Notified when it ends.
    over: Notify,
}

impl Suspension {
    /// Wakes what waits for the end.
    pub fn wake_all(&self) {
        self.over.notify_waiters();
    }
}

impl Owner {
    /// Whether a worker has refused the token and the store has not proven since that it is current.
    pub fn is_suspended(&self) -> bool {
        self.suspension.since.get().is_some()
    }

    /// Whether a worker may be called: the owner is not suspended, and the worker has not refused its
    /// token lately.
    pub fn may_call(&self, cx: &Cx, worker: &str) -> bool {
        let now = cx.clock.now();
        let refused_at = self.session(worker, |session| session.refused_at).flatten();
        let is_paused = refused_at.is_some_and(|at| now.since(at) < REFUSED_PAUSE);
        !self.is_suspended() && !is_paused
    }

    /// Waits until the owner is not suspended, or the shard is lost.
    pub async fn resumed(&self) {
        while self.is_serving() && self.is_suspended() {
            self.suspension.over.notified().await;
        }
    }
}

/// Suspends the owner, as a worker has seen a greater token.
pub fn note_newer_owner(cx: &Cx, owner: &Rc<Owner>, worker: &str) {
    let now = cx.clock.now();
    owner.session(worker, |session| session.refused_at = Some(now));
    let suspension = &owner.suspension;
    suspension.refused_at.set(now);
    suspension.refusals.set(suspension.refusals.get() + 1);
    if owner.is_suspended() || !owner.is_serving() {
        return;
    }
    suspension.since.set(Some(now));
    suspension.refusals.set(1);
    cx.metrics.suspensions.inc();
    owner.disconnect_workers(cx);
    let shard = &owner.handle.partition;
    log::warn!(shard:%, worker, token = owner.token(); "worker refuses the fencing token of this owner");
    supervisor::spawn("check-lease", check_lease(Rc::clone(cx), Rc::clone(owner)));
}

/// Reads the lease and fence rows until they prove that the owner is superseded or current.
async fn check_lease(cx: Cx, owner: Rc<Owner>) {
    let mut reads = 0;
    while owner.is_serving() {
        let sent_at = cx.clock.now();
        let read = lease::read(&cx, &owner.handle).await;
        reads += 1;
        let is_current = owner.handle.lease.borrow().fence == owner.token();
        match read {
            // The read has marked the shard as lost if the fence is greater.
            Ok(()) if !is_current => owner.mark_lost("a worker has seen a newer owner"),
            // A refusal during the read may be by an owner that came after it.
            Ok(()) if sent_at < owner.suspension.refused_at.get() => {}
            Ok(()) => return resume(&cx, &owner, reads),
            Err(e) => {
                cx.note_store(Err(&e));
                tokio::time::sleep(READ_RETRY).await;
            }
        }
    }
    log_end(&cx, &owner, reads, "steps down");
}

/// Ends a suspension by mistake.
fn resume(cx: &Cx, owner: &Rc<Owner>, reads: u64) {
    log_end(cx, owner, reads, "resumes: its fencing token is current");
    let now = cx.clock.now();
    let Some(since) = owner.suspension.since.take() else {
        return;
    };
    for session in owner.sessions.borrow_mut().values_mut() {
        if session.refused_at >= Some(since) {
            session.unresponsive_since = session.unresponsive_since.or(Some(now));
        }
    }
    // No poll has reported progress meanwhile.
    for record in owner.runs.borrow_mut().values_mut() {
        record.progress = record.progress.map(|(percent, _)| (percent, now));
    }
    owner.suspension.wake_all();
    owner.wake.notify_one();
    poll::renew_leases(cx, owner);
}

fn log_end(cx: &Cx, owner: &Owner, reads: u64, outcome: &str) {
    let suspension = &owner.suspension;
    let now = cx.clock.now();
    let took_ms = millis(now.since(suspension.since.get().unwrap_or(now)));
    let (shard, refusals) = (&owner.handle.partition, suspension.refusals.get());
    log::warn!(shard:%, token = owner.token(), took_ms, refusals, reads, outcome; "refused owner has read the lease");
}
