//! Detects network isolation: whether this process reaches the store or daemons of other data
//! centres.
//!
//! Failure: a data centre is cut off from all the others, while callers still reach its entry
//! hosts. No submission can be made durable there, but the load balancer continues to send callers
//! to it, and each waits for an owner that is unreachable. An isolated process reports that it is
//! not ready, so that the load balancer uses the entry hosts of other data centres, and until then
//! it refuses requests at once.
//!
//! A store that is unavailable to all daemons is no isolation: all of them would be removed from
//! the load balancer together. So a process is isolated only if neither the store nor any daemon of
//! another data centre answers; one that has never reached such a daemon doesn't regard itself as
//! isolated.

use super::{Cx, layout::ShardId, lease::Holder};
use crate::core::time::Millis;
use indexmap::{IndexMap, IndexSet};
use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

/// Interval of the checks. The load balancer probes once per second and acts after two failures, so
/// in a network partition of 6 s callers are served by other data centres for some 3 s.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without an answer after which the store or the daemons count as unreachable: two polls of a
/// lease, or one poll and the answer of a store that is 60 times slower than usual.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(800);
/// Timeout of a call to a daemon: many round trips between data centres.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which all daemons are called while the store answers: only daemons that answered
/// before count in the detection of isolation.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(5);
/// The same interval until a daemon of another data centre has answered for the first time.
const FIRST_DISCOVERY_INTERVAL: Duration = Duration::from_secs(1);

/// Last answers of the store and of other daemons.
#[derive(Default)]
pub struct Reachability {
    store_answered_at: Cell<Millis>,
    others_answered_at: Cell<Option<Millis>>,
    /// Data centres of the daemons that have answered, by the daemons' addresses.
    known: RefCell<IndexMap<String, String>>,
    is_isolated: Cell<bool>,
}

impl Reachability {
    /// Records an answer of the store, which ends an isolation.
    pub fn note_store(&self, now: Millis) {
        self.store_answered_at.set(now);
        self.is_isolated.set(false);
    }

    /// Records an answer of the daemon at `address`; `own` is the data centre of this process.
    pub fn note_daemon(&self, own: &str, address: &str, data_centre: &str, now: Millis) {
        let mut known = self.known.borrow_mut();
        known.insert(address.to_owned(), data_centre.to_owned());
        if data_centre != own {
            self.others_answered_at.set(Some(now));
        }
    }

    /// Time since the last answer of the store.
    pub fn store_age(&self, now: Millis) -> Duration {
        now.since(self.store_answered_at.get())
    }

    /// Whether the store has not answered for [`UNREACHABLE_AFTER`].
    fn is_store_unreachable(&self, now: Millis) -> bool {
        now.since(self.store_answered_at.get()) >= UNREACHABLE_AFTER
    }

    /// Whether neither the store nor another data centre has answered for [`UNREACHABLE_AFTER`],
    /// though one did before.
    fn detect_isolation(&self, now: Millis) -> bool {
        let others = self.others_answered_at.get();
        let are_unreachable = others.is_some_and(|at| now.since(at) >= UNREACHABLE_AFTER);
        self.is_store_unreachable(now) && are_unreachable
    }

    /// Whether the process can serve no caller, by the last check.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated.get()
    }
}

/// Checks for isolation until the process ends.
pub async fn follow(cx: Cx) {
    let mut discovered_at: Option<Millis> = None;
    loop {
        let now = cx.clock.now();
        let discovery_interval = match cx.reachability.others_answered_at.get() {
            Some(_) => DISCOVERY_INTERVAL,
            None => FIRST_DISCOVERY_INTERVAL,
        };
        let is_discovery_due = discovered_at.is_none_or(|at| now.since(at) >= discovery_interval);
        if cx.reachability.is_store_unreachable(now) || is_discovery_due {
            call_all(&cx).await;
            discovered_at = Some(now);
        }
        let is_isolated = cx.reachability.detect_isolation(cx.clock.now());
        if cx.reachability.is_isolated.replace(is_isolated) != is_isolated {
            log::warn!(is_isolated; "isolation changed");
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn call_all(cx: &Cx) {
    let asked = addresses(cx).into_iter().map(async |address| {
        let answer = cx.peers.who(&address, CALL_TIMEOUT).await;
        (address, answer)
    });
    for (address, answer) in futures::future::join_all(asked).await {
        if let Ok(who) = answer {
            let (own, now) = (&cx.cfg.data_centre, cx.clock.now());
            cx.reachability
                .note_daemon(own, &address, &who.data_centre, now);
        }
    }
}

/// Addresses of other daemons, some perhaps out of date: seeds, owners of shards, and daemons that
/// answered before.
fn addresses(cx: &Cx) -> IndexSet<String> {
    let mut all: IndexSet<String> = cx.cfg.seeds.iter().map(ToString::to_string).collect();
    let shards = cx.layout.borrow().as_ref().map(|layout| layout.all());
    let shards: Vec<ShardId> = shards.into_iter().flatten().collect();
    for shard in shards {
        let handle = cx.handle(shard);
        let lease = handle.lease.borrow();
        let holder: Option<&Holder> = lease.row.as_ref().map(|row| &row.holder);
        all.extend(holder.map(|holder| holder.address.clone()));
    }
    all.extend(cx.reachability.known.borrow().keys().cloned());
    all.shift_remove(&cx.me.address);
    all
}
