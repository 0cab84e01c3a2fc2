//! Whether this process reaches anybody who could serve a caller: the store, or daemons of other data centres.
//!
//! Failure: a data centre is cut off from all the others, and callers still reach its entry hosts. No submission can
//! be made durable there, yet the balancer goes on sending callers to it, and each waits in vain for an owner
//! that can't be asked. A process that finds itself alone says that it is not ready, so that the balancer
//! uses the entry hosts of other data centres, and refuses at once meanwhile.
//!
//! A store that is away for everybody is no reason: other daemons answer then, and all would leave the balancer
//! together. So it takes both, a silent store and silent daemons of every other data centre; a process that knows of
//! no such daemon never takes itself for isolated.

use super::{Cx, layout::ShardId, lease::Holder};
use crate::core::time::Millis;
use indexmap::{IndexMap, IndexSet};
use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

/// Time between two looks: the balancer asks once a second and needs two misses, so a cut of six seconds leaves
/// some three in which callers are served elsewhere.
const EVERY: Duration = Duration::from_millis(250);
/// A store or daemon that answered nothing for this long is silent: two looks at a lease, or the answer of a
/// store that is sixty times slower than usual and a look.
const SILENT_AFTER: Duration = Duration::from_millis(800);
/// Longest wait for a daemon's answer: many round trips between data centres.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between two rounds in which the daemons' data centres are asked for while nothing is wrong: a cut is judged
/// by who answered before.
const LEARN_EVERY: Duration = Duration::from_secs(5);
/// The same until a first one of another data centre has answered.
const LEARN_FIRST: Duration = Duration::from_secs(1);

/// What was last heard of others.
#[derive(Default)]
pub struct Reach {
    store_heard_at: Cell<Millis>,
    others_heard_at: Cell<Option<Millis>>,
    /// Data centres of daemons by their address.
    known: RefCell<IndexMap<String, String>>,
    is_isolated: Cell<bool>,
}

impl Reach {
    /// Notes an answer of the store.
    pub fn note_store(&self, now: Millis) {
        self.store_heard_at.set(now);
        self.is_isolated.set(false);
    }

    /// Notes an answer of a daemon at this address in this data centre.
    pub fn note_daemon(&self, own: &str, address: &str, data_centre: &str, now: Millis) {
        let mut known = self.known.borrow_mut();
        known.insert(address.to_owned(), data_centre.to_owned());
        if data_centre != own {
            self.others_heard_at.set(Some(now));
        }
    }

    /// Whether the store has been silent for long.
    fn is_store_silent(&self, now: Millis) -> bool {
        now.since(self.store_heard_at.get()) >= SILENT_AFTER
    }

    /// Whether nobody outside the own data centre has answered for long, though somebody did before.
    fn judge(&self, now: Millis) -> bool {
        let others = self.others_heard_at.get();
        let are_silent = others.is_some_and(|at| now.since(at) >= SILENT_AFTER);
        self.is_store_silent(now) && are_silent
    }

    /// Whether the process can serve no caller, since it reaches nobody.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated.get()
    }
}

/// Follows who is reached until the process ends.
pub async fn follow(cx: Cx) {
    let mut learned_at: Option<Millis> = None;
    loop {
        let now = cx.clock.now();
        let learn_after = match cx.reach.others_heard_at.get() {
            Some(_) => LEARN_EVERY,
            None => LEARN_FIRST,
        };
        let is_learning = learned_at.is_none_or(|at| now.since(at) >= learn_after);
        if cx.reach.is_store_silent(now) || is_learning {
            ask_all(&cx).await;
            learned_at = Some(now);
        }
        let is_isolated = cx.reach.judge(cx.clock.now());
        if cx.reach.is_isolated.replace(is_isolated) != is_isolated {
            log::warn!(is_isolated; "isolation changed");
        }
        tokio::time::sleep(EVERY).await;
    }
}

async fn ask_all(cx: &Cx) {
    let asked = addresses(cx).into_iter().map(async |address| {
        let answer = cx.peers.who(&address, ASK_TIMEOUT).await;
        (address, answer)
    });
    for (address, answer) in futures::future::join_all(asked).await {
        if let Ok(who) = answer {
            let (own, now) = (&cx.cfg.data_centre, cx.clock.now());
            cx.reach.note_daemon(own, &address, &who.data_centre, now);
        }
    }
}

/// Addresses at which daemons are, or were: those of the settings, owners of shards, and those that answered before.
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
    all.extend(cx.reach.known.borrow().keys().cloned());
    all.shift_remove(&cx.me.address);
    all
}
