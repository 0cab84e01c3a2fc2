//! Checks leases, daemons, jobs and workers at intervals, records changes of state and updates
//! metrics.
//!
//! A lease that expires and a daemon that falls silent cause no event of their own. They are
//! checked once per renewal interval, and changes are recorded, so that the timeline shows when a
//! shard could no longer act and since when a daemon has been silent.

use super::{
    Cx,
    index::Counts,
    members::{Presence, SeenPresence},
    metrics::EntryLabel,
};
use crate::{
    core::{
        id::{DaemonId, EntryName, ShardId},
        time::Millis,
    },
    timeline::event::Happening,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Whether the platform answered in the last renewal round; false before the first one.
pub fn platform_answers(cx: &Cx) -> bool {
    cx.metrics.platform_up.get() == 1
}

/// Whether a daemon's presence row has changed within the time after which a shard's lease expires.
/// `None` while the platform does not answer: no row can be read then, so an unchanged one proves
/// nothing.
pub fn is_live(cx: &Cx, seen: &SeenPresence, now: Millis) -> Option<bool> {
    if seen.row.holder == cx.me {
        return Some(true);
    }
    platform_answers(cx).then(|| now.since(seen.seen.since) <= liveness_timeout(cx))
}

/// How long the row of a live daemon may stay unchanged: the length of a lease with its drift
/// margin, and one interval between reads.
fn liveness_timeout(cx: &Cx) -> Duration {
    let terms = &cx.cfg.shards.terms;
    terms.lengthened(terms.lease) + cx.cfg.shards.renew
}

/// States at the previous check.
#[derive(Debug, Default)]
struct PreviousState {
    lapsed: IndexMap<ShardId, bool>,
    silent: IndexMap<DaemonId, bool>,
}

/// Checks at the renewal interval until the process ends.
pub async fn watch(cx: Cx) -> eyre::Result<()> {
    let mut previous = PreviousState::default();
    let mut measured_at = cx.clock.now();
    loop {
        check_leases(&cx, &mut previous);
        check_daemons(&cx, &mut previous);
        let now = cx.clock.now();
        measure_jobs(&cx, now.since(measured_at));
        measure_workers(&cx);
        measured_at = now;
        tokio::time::sleep(cx.cfg.shards.renew).await;
    }
}

fn check_leases(cx: &Cx, previous: &mut PreviousState) {
    let now = cx.clock.now();
    let mut owned = IndexMap::new();
    for (id, shard) in cx.shards.borrow().iter() {
        let lapsed = !shard.may_act(now, &cx.cfg.shards.terms);
        if has_changed(&previous.lapsed, id, lapsed) {
            record_lease_change(cx, id, lapsed);
        }
        owned.insert(id.clone(), lapsed);
    }
    let lapsed = owned.values().filter(|lapsed| **lapsed).count();
    cx.metrics.shards_lapsed.set(gauge(lapsed));
    previous.lapsed = owned;
}

fn record_lease_change(cx: &Cx, shard: &ShardId, lapsed: bool) {
    let shard = shard.clone();
    if lapsed {
        log::warn!("lease of shard {shard} has run out; nothing is accepted or started in it");
        cx.timeline.record(Happening::LeaseLapsed { shard });
    } else {
        log::info!("lease of shard {shard} is renewed again");
        cx.timeline.record(Happening::LeaseRegained { shard });
    }
}

fn check_daemons(cx: &Cx, previous: &mut PreviousState) {
    if !platform_answers(cx) {
        return;
    }
    let now = cx.clock.now();
    let mut daemons = IndexMap::new();
    for (id, presence) in &cx.members.borrow().daemons {
        let silent = is_live(cx, presence, now) == Some(false);
        if has_changed(&previous.silent, id, silent) {
            record_liveness_change(cx, &presence.row, silent);
        }
        daemons.insert(id.clone(), silent);
    }
    let live = daemons.values().filter(|silent| !**silent).count();
    cx.metrics.daemons_live.set(gauge(live));
    previous.silent = daemons;
}

fn record_liveness_change(cx: &Cx, row: &Presence, silent: bool) {
    let daemon = row.holder.daemon.clone();
    if silent {
        log::warn!("daemon {daemon} is silent: its presence row is not renewed");
        cx.timeline.record(Happening::DaemonSilent { daemon });
    } else {
        log::info!("daemon {daemon} renews its presence row again");
        cx.timeline.record(Happening::DaemonHeard { daemon });
    }
}

/// Counts waiting and placed jobs, and adds the time since the previous check to each entry's task
/// time. Sampling needs no start times of tasks, which a new owner would not have.
fn measure_jobs(cx: &Cx, span: Duration) {
    let shards = cx.shards.borrow();
    for entry in cx.catalogue.borrow().rows.keys() {
        let mut counts = Counts::default();
        for shard in shards.values() {
            let own = shard.journal.index().counts(entry);
            counts.waiting += own.waiting;
            counts.placed += own.placed;
        }
        publish_jobs(cx, entry, counts, span);
    }
}

fn publish_jobs(cx: &Cx, entry: &EntryName, counts: Counts, span: Duration) {
    let label = EntryLabel {
        entry: entry.to_string(),
    };
    let m = &cx.metrics;
    m.jobs_waiting
        .get_or_create(&label)
        .set(counts.waiting.into());
    m.jobs_running
        .get_or_create(&label)
        .set(counts.placed.into());
    let spent = span * counts.placed;
    m.task_seconds
        .get_or_create(&label)
        .inc_by(spent.as_secs_f64());
}

fn measure_workers(cx: &Cx) {
    let shards = cx.shards.borrow();
    let silent = shards.values().map(|shard| {
        let sessions = shard.sessions.borrow();
        let silent = sessions.values().filter(|s| s.silent_since.is_some());
        silent.count()
    });
    cx.metrics.workers_silent.set(gauge(silent.sum()));
}

fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Whether a state differs from the previous one; without a previous one, from false.
fn has_changed<K: std::hash::Hash + Eq>(before: &IndexMap<K, bool>, key: &K, now: bool) -> bool {
    before.get(key).copied().unwrap_or(false) != now
}
