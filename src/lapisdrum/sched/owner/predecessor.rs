//! Finds out whether the owner before is gone for good.
//!
//! An owner that the store turns away goes on renewing workers' leases for its hold, so its successor waits
//! that long, and a lease more, before it gives up runs on workers that don't answer. With an owner and a
//! worker lost together, the worker's tasks that last stood still for 12 s after the owner's end. A daemon that
//! was killed is started again within a second under its address: an answer from another run there proves
//! that the old one sends nothing any more, and the tasks are back 3 s sooner. From silence nothing follows.

use super::Owner;
use crate::{core::time::Millis, sched::Cx};
use std::{rc::Rc, time::Duration};

/// Time between two questions; a daemon takes some half a second to start again.
const ASK_EVERY: Duration = Duration::from_millis(300);
/// Longest wait for an answer: many round trips between data centres.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks at the address of the owner before, for as long as the answer would tell anything.
pub async fn follow(cx: Cx, owner: Rc<Owner>) {
    let Some(before) = owner.predecessor.clone().filter(|before| *before != cx.me) else {
        return;
    };
    let until = owner.predecessor_renewed_at + cx.cfg.leases.owner_hold;
    while owner.is_serving() && cx.clock.now() < until {
        match cx.peers.who(&before.address, ASK_TIMEOUT).await {
            Ok(now) if now.run.incarnation != before.incarnation => {
                owner.note_predecessor_gone(&cx, cx.clock.now());
                return;
            }
            // It is still there, or nobody says anything.
            Ok(_) | Err(_) => tokio::time::sleep(ASK_EVERY).await,
        }
    }
}

impl Owner {
    /// Notes that the owner before was gone for good by `at`. The one before that may still be renewing within
    /// its own hold, which began before its successor took the shard.
    pub fn note_predecessor_gone(&self, cx: &Cx, at: Millis) {
        let at = at.max(self.predecessor_took_at + cx.cfg.leases.owner_hold);
        let before = self.predecessor.as_ref().map(|before| &before.daemon);
        log::info!(shard:% = self.handle.part, daemon:? = before, nothing_sent_after = at.0; "owner before is gone");
        self.predecessor_gone_at.set(Some(at));
        for session in self.sessions.borrow_mut().values_mut() {
            session.bound.predecessor_gone(at);
        }
    }
}
