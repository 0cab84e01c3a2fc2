//! Polls the directory for the shard's workers.
//!
//! A worker announces in the directory that it leaves, and callers are promised that no start
//! reaches it later than a bound after that. The owner acts on the last list that it could read. With
//! one that is too old for the bound it starts nothing, since it can't know who has announced to
//! leave meanwhile.

use super::{Owner, poll, runs, session::Session};
use crate::{
    core::time::{Timestamp, millis},
    daemon::supervisor,
    policy::polling,
    sched::{
        Cx,
        edge::{CallError, EntryFault, WorkerList, WorkerReport},
        layout::{self, ShardId},
        refused_entries,
    },
};
use indexmap::IndexSet;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::sync::Notify;

/// Interval between the starts of two reads of the directory, unless a read takes longer.
const POLL_INTERVAL: Duration = Duration::from_millis(600);
/// Least time between the end of a read and the next one.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Lower limit of the maximum age of a list. A list ages by one interval until the next read, and by
/// the time that this read takes; a lower limit would stop starts between ordinary reads.
const MIN_AGE_LIMIT: Duration = Duration::from_millis(1_200);
/// Interval at which an order that waits for a recent list checks whether it may still be sent.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The list of workers that was noted last.
#[derive(Debug, Default)]
pub struct NotedList {
    /// When its read was sent; none before the first list.
    read_sent_at: Cell<Option<Timestamp>>,
    /// Whether reads have failed since.
    is_unreadable: Cell<bool>,
    /// Whether new racks are being assigned to shards.
    is_extending: Cell<bool>,
    /// Notified when a list is noted.
    noted: Notify,
    /// Notified when the list shall be read before the next interval.
    reread: Notify,
}

impl NotedList {
    /// Upper bound of the time since the list was read; none before the first list.
    pub fn age(&self, cx: &Cx) -> Option<Duration> {
        let read_sent_at = self.read_sent_at.get()?;
        Some(cx.clock.at_most_since(read_sent_at))
    }

    /// Age in milliseconds, for logs; none before the first list.
    pub fn age_ms(&self, cx: &Cx) -> Option<u64> {
        self.age(cx).map(millis)
    }

    /// Whether tasks may be started on the list: a worker that has announced since that it leaves
    /// gets no start later than allowed, also if the order is under way for as long as possible.
    pub fn is_recent(&self, cx: &Cx) -> bool {
        let (bound, transit) = (cx.cfg.leaving_within, cx.cfg.leases.transit);
        let max_age = bound.saturating_sub(transit).max(MIN_AGE_LIMIT);
        self.age(cx).is_some_and(|age| age < max_age)
    }

    fn note_read(&self, cx: &Cx, read: &Result<WorkerList, CallError>) {
        let before = self.is_unreadable.replace(read.is_err());
        let age_ms = self.age_ms(cx);
        match read {
            Err(e) if !before => log::warn!(error:% = e, age_ms:?; "workers can't be read"),
            Ok(_) if before => log::info!(age_ms:?; "workers are read again"),
            Ok(_) | Err(_) => {}
        }
    }
}

/// Polls the directory until the shard is lost.
pub async fn follow(cx: Cx, owner: Rc<Owner>) {
    while owner.is_serving() {
        let read_sent_at = cx.clock.timestamp();
        let read = cx.directory.workers().await;
        cx.note_store(read.as_ref().map(|_| ()));
        owner.worker_list.note_read(&cx, &read);
        let was_refused = read.as_ref().is_err_and(|e| e.is_rate_limited);
        let took = cx.clock.now().since(read_sent_at.at);
        let pause = POLL_INTERVAL.saturating_sub(took).max(MIN_PAUSE);
        let pause = polling::urgent_pause(pause, was_refused, &mut cx.rng());
        if let Ok(list) = read {
            let list = usable(&cx, &owner, list);
            extend_layout(&cx, &owner, &list.workers);
            let list = assigned(&cx, list);
            refused_entries::note(&cx, &list.refused);
            let own = of_shard(&cx, owner.handle.shard, list.workers);
            owner.worker_list.read_sent_at.set(Some(read_sent_at));
            note(&cx, &owner, own);
            owner.worker_list.noted.notify_waiters();
        }
        let _ = tokio::time::timeout(pause, owner.worker_list.reread.notified()).await;
    }
}

/// Assigns new racks to shards in the background, unless that is under way. An assignment writes to
/// the store, which takes seconds on a slow one, and must not delay the news of other workers.
fn extend_layout(cx: &Cx, owner: &Rc<Owner>, workers: &[WorkerReport]) {
    if layout::has_all_racks(cx, workers) || owner.worker_list.is_extending.replace(true) {
        return;
    }
    let (cx, owner, workers) = (Rc::clone(cx), Rc::clone(owner), workers.to_vec());
    supervisor::spawn("layout", async move {
        let may_assign = owner.handle.shard == ShardId(0);
        if layout::extend(&cx, &workers, may_assign).await {
            owner.worker_list.reread.notify_one();
        }
        owner.worker_list.is_extending.set(false);
    });
}

/// Waits until the list is recent, or no start order may be sent anyway.
pub async fn recent_list(cx: &Cx, owner: &Owner) {
    while owner.may_start(cx) && !owner.worker_list.is_recent(cx) {
        let noted = owner.worker_list.noted.notified();
        let _ = tokio::time::timeout(RECHECK_INTERVAL, noted).await;
    }
}

/// Moves workers of pools that no queue's jobs run on to the refused entries: an entry of another
/// writer would be polled for ever, and its rack would take up room in the layout. Workers that are
/// in use stay, and pools that jobs of a removed queue run on.
fn usable(cx: &Cx, owner: &Owner, list: WorkerList) -> WorkerList {
    // Without a catalogue, jobs that were accepted earlier may need any worker.
    let Some(catalogue) = cx.catalogue.borrow().clone() else {
        return list;
    };
    let (ledger, active) = (owner.ledger.borrow(), owner.active.borrow());
    let is_of_job = |pool: &str| {
        let mut jobs = active.iter().filter_map(|id| ledger.jobs.get(id));
        jobs.any(|job| job.terms.pool == pool)
    };
    let sessions = owner.sessions.borrow();
    let is_in_use = |worker: &str| {
        let session = sessions.get(worker);
        session.is_some_and(|session| session.is_claimed() || !session.runs.is_empty())
    };
    layout::split(list, |report| {
        let (pool, worker) = (&report.pool, &report.incarnation.worker);
        let is_usable = catalogue.has_pool(pool) || is_in_use(worker) || is_of_job(pool);
        (!is_usable).then(|| EntryFault::UnnamedPool(pool.clone()))
    })
}

/// Moves workers whose rack the layout has no room for to the refused entries.
fn assigned(cx: &Cx, list: WorkerList) -> WorkerList {
    let Some(layout) = cx.layout.borrow().clone() else {
        return list;
    };
    let room_bytes = layout.room_bytes();
    layout::split(list, |report| {
        let is_unassigned = layout.shard_of(report).is_none();
        let has_room = layout::entry_bytes(layout::rack_of(report)) <= room_bytes;
        (is_unassigned && !has_room).then_some(EntryFault::NoShard)
    })
}

fn of_shard(cx: &Cx, shard: ShardId, mut reports: Vec<WorkerReport>) -> Vec<WorkerReport> {
    let layout = cx.layout.borrow().clone();
    reports.retain(|report| layout.as_ref().and_then(|l| l.shard_of(report)) == Some(shard));
    reports
}

fn note(cx: &Cx, owner: &Rc<Owner>, reports: Vec<WorkerReport>) {
    let named: IndexSet<String> = reports
        .iter()
        .map(|r| r.incarnation.worker.clone())
        .collect();
    for report in reports {
        note_one(cx, owner, report);
    }
    for (worker, session) in owner.sessions.borrow_mut().iter_mut() {
        if session.is_registered && !named.contains(worker) {
            session.is_registered = false;
            log::info!(worker:%; "worker is no longer registered");
        }
    }
    owner.sessions.borrow_mut().retain(|_, session| {
        session.is_registered || session.is_polled || !session.runs.is_empty()
    });
    owner.wake.notify_one();
}

fn note_one(cx: &Cx, owner: &Rc<Owner>, report: WorkerReport) {
    let worker = report.incarnation.worker.clone();
    let mut sessions = owner.sessions.borrow_mut();
    let session = sessions
        .entry(worker.clone())
        .or_insert_with(|| Session::new(owner.inherited_bound(&worker)));
    let was_listed_as_leaving = session
        .report
        .as_ref()
        .is_some_and(|r| r.leaving_in.is_some());
    if !session.is_registered || was_listed_as_leaving != report.leaving_in.is_some() {
        log::info!(worker:% = worker, address:% = report.address, born = report.incarnation.started_unix_ms, version = report.version, list_age_ms:? = owner.worker_list.age_ms(cx), leaving_in:? = report.leaving_in; "worker registered");
    }
    session.is_registered = true;
    session.set_report(report);
    let is_leaving = session.is_leaving();
    drop(sessions);
    poll::start_polling(cx, owner, &worker);
    if is_leaving {
        runs::stop_movable_runs(cx, owner, &worker);
    }
}
