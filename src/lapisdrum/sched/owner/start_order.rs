//! Builds start orders from what is known when they are sent.
//!
//! A placement is written to the journal before its order is sent, which takes seconds on a slow
//! store. Whatever the placement rests on is therefore checked again, and an order that must no
//! longer be sent is dropped; its task is placed again, at no cost of an attempt.

use super::{Owner, directory, session::Lease};
use crate::{
    core::time::millis,
    sched::{
        Cx,
        edge::StartOrder,
        event::{Loss, RunId},
        job::{Gang, RunNumber, StepId},
        ledger::Phase,
    },
};
use indexmap::{IndexMap, IndexSet};
use std::{rc::Rc, sync::Arc};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, SemaphorePermit};

/// A reading of a worker's entry in the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryReading {
    /// Start of the incarnation that the entry describes, in Unix milliseconds.
    pub born: u64,
    /// Version of the entry.
    pub version: u64,
    /// Time since the list with the entry was read, in milliseconds.
    pub age_ms: u64,
}

impl EntryReading {
    /// The last reading of a worker's entry; none if no list had one.
    pub fn of(cx: &Cx, owner: &Owner, worker: &str) -> Option<Self> {
        let sessions = owner.sessions.borrow();
        let report = sessions.get(worker)?.report.as_ref()?;
        Some(Self {
            born: report.incarnation.started_unix_ms,
            version: report.version,
            age_ms: owner.worker_list.age_ms(cx)?,
        })
    }
}

/// A start order that may be sent now.
pub struct Prepared {
    /// Address of the worker.
    pub address: String,
    /// Id of the worker.
    pub worker: String,
    /// The order.
    pub order: StartOrder,
    /// The lease that the order carries.
    pub lease: Lease,
    /// The reading of the worker's entry on which the order is sent.
    pub reading: Option<EntryReading>,
}

/// Why a start order must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSent {
    /// The owner may not send start orders.
    NoLease,
    /// The worker may have runs of an earlier owner whose leases are not known.
    WorkerNotCallable,
    /// The list of workers is too old.
    OldList,
    /// The directory has not reported the worker.
    WorkerUnknown,
    /// The directory no longer lists the worker.
    WorkerGone,
    /// The worker has announced that it leaves.
    WorkerLeaving,
    /// Another incarnation of the worker answers, or is listed.
    OtherIncarnation,
    /// The worker does not answer.
    WorkerSilent,
    /// The worker's clock was not read recently.
    NoClock,
    /// The worker's data centre is evacuated.
    Evacuated,
    /// Another member of the gang must not be started.
    GangIncomplete,
    /// The run, its task or its job has ended.
    Ended,
}

impl NotSent {
    /// The names for metrics.
    pub const REASONS: [&'static str; 12] = [
        "no_lease",
        "worker_not_callable",
        "old_list",
        "worker_unknown",
        "worker_gone",
        "worker_leaving",
        "other_incarnation",
        "worker_silent",
        "no_clock",
        "evacuated",
        "gang_incomplete",
        "ended",
    ];

    /// Name for metrics, one of [`Self::REASONS`].
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoLease => "no_lease",
            Self::WorkerNotCallable => "worker_not_callable",
            Self::OldList => "old_list",
            Self::WorkerUnknown => "worker_unknown",
            Self::WorkerGone => "worker_gone",
            Self::WorkerLeaving => "worker_leaving",
            Self::OtherIncarnation => "other_incarnation",
            Self::WorkerSilent => "worker_silent",
            Self::NoClock => "no_clock",
            Self::Evacuated => "evacuated",
            Self::GangIncomplete => "gang_incomplete",
            Self::Ended => "ended",
        }
    }
}

/// Drops the start orders of gangs of which one may not be sent, and returns the other runs. Members
/// that were started without it would hold their hosts until they give up waiting for it.
pub async fn drop_incomplete_gangs(cx: &Cx, owner: &Rc<Owner>, runs: Vec<RunId>) -> Vec<RunId> {
    let gangs = gangs_of(owner, &runs);
    if gangs.is_empty() {
        return runs;
    }
    directory::recent_list(cx, owner).await;
    let mut dropped = IndexSet::new();
    for members in gangs.values() {
        let reasons = members.iter().map(|run| prepare(cx, owner, *run).err());
        let reasons: Vec<Option<NotSent>> = reasons.collect();
        if reasons.iter().all(Option::is_none) {
            continue;
        }
        for (run, why) in members.iter().zip(reasons) {
            note_not_sent(cx, owner, run, why.unwrap_or(NotSent::GangIncomplete));
            owner.note_lost(cx, *run, Loss::NotStarted);
            dropped.insert(*run);
        }
    }
    let left = runs.into_iter().filter(|run| !dropped.contains(run));
    left.collect()
}

/// The runs that are members of gangs, by their gang's run.
fn gangs_of(owner: &Owner, runs: &[RunId]) -> IndexMap<(StepId, RunNumber), Vec<RunId>> {
    let ledger = owner.ledger.borrow();
    let mut gangs: IndexMap<(StepId, RunNumber), Vec<RunId>> = IndexMap::new();
    for run in runs {
        let job = ledger.jobs.get(&run.task.job);
        let step = job.and_then(|job| job.spec.steps.get(usize::from(run.task.step)));
        if step.is_some_and(|step| step.gang != Gang::No) {
            let gang = (run.task.step_id(), run.run);
            gangs.entry(gang).or_default().push(*run);
        }
    }
    gangs
}

/// Permission to send a start order, held until the order is answered.
pub struct StartSlot<'a> {
    _of_worker: Option<OwnedSemaphorePermit>,
    _of_process: Option<SemaphorePermit<'a>>,
}

/// Waits until the list of workers is recent and a slot for a start order is free. Dropping
/// the order instead would need another journal row, which would be as late on a slow store.
pub async fn acquire_slot<'a>(cx: &'a Cx, owner: &Owner, run: &RunId) -> StartSlot<'a> {
    loop {
        if owner.may_start(cx) && !owner.worker_list.is_recent(cx) {
            let list_age_ms = owner.worker_list.age_ms(cx);
            log::info!(task:% = run.task, run = run.run.0, list_age_ms:?; "start order waits for a recent list of workers");
            cx.metrics.starts_held.inc();
            directory::recent_list(cx, owner).await;
        }
        // Orders that wait for one worker hold no slot that orders to others need. An error is
        // impossible, since the semaphores are never closed.
        let of_worker = match worker_slots(owner, run) {
            Some(slots) => slots.acquire_owned().await.ok(),
            None => None,
        };
        let slot = StartSlot {
            _of_worker: of_worker,
            _of_process: cx.start_slots.acquire().await.ok(),
        };
        if owner.worker_list.is_recent(cx) || !owner.may_start(cx) {
            return slot;
        }
    }
}

/// Slots for start orders to the worker of a run; none if the run has ended.
fn worker_slots(owner: &Owner, run: &RunId) -> Option<Arc<Semaphore>> {
    let worker = owner.record(run, |record| record.on.worker.clone())?;
    owner.session(&worker, |session| Arc::clone(&session.start_slots))
}

/// Builds the start order of a run, or says why it must not be sent.
pub fn prepare(cx: &Cx, owner: &Owner, run: RunId) -> Result<Prepared, NotSent> {
    let on = owner.record(&run, |record| record.on.clone());
    let on = on.ok_or(NotSent::Ended)?;
    let length = owner.lease_length(cx).filter(|_| owner.may_start(cx));
    let length = length.ok_or(NotSent::NoLease)?;
    if owner.is_listed(&on.worker) || !owner.may_call(cx, &on.worker) {
        return Err(NotSent::WorkerNotCallable);
    }
    if !owner.worker_list.is_recent(cx) {
        return Err(NotSent::OldList);
    }
    let now = cx.clock.now();
    let ready = owner.session(&on.worker, |session| {
        let report = session.open_for_tasks()?;
        if report.incarnation != on {
            return Err(NotSent::OtherIncarnation);
        }
        let lease = session.lease(now, length, &cx.cfg.leases);
        let lease = lease.ok_or(NotSent::NoClock)?;
        match cx.allows_starts_in(&report.data_centre) {
            true => Ok((report.address.clone(), lease)),
            false => Err(NotSent::Evacuated),
        }
    });
    let (address, lease) = ready.ok_or(NotSent::WorkerUnknown)??;
    let ledger = owner.ledger.borrow();
    let job = ledger.jobs.get(&run.task.job);
    let job = job.filter(|job| job.phase == Phase::Active);
    let job = job.ok_or(NotSent::Ended)?;
    // The end of an earlier run may have been listed after this one was placed.
    let task = ledger.task(&run.task).filter(|task| !task.is_done);
    let task = task.ok_or(NotSent::Ended)?;
    let order = StartOrder {
        run,
        payload: job.spec.payload.clone(),
        token: owner.token(),
        lease_until: lease.until,
        checkpoint: task.checkpoint.clone(),
        ticket: None,
    };
    Ok(Prepared {
        address,
        reading: EntryReading::of(cx, owner, &on.worker),
        worker: on.worker,
        order,
        lease,
    })
}

/// Logs and counts a start order that is not sent.
pub fn note_not_sent(cx: &Cx, owner: &Owner, run: &RunId, why: NotSent) {
    cx.metrics.note_start_not_sent(why);
    let placed = owner.record(run, |record| {
        (record.on.worker.clone(), record.since, record.placed_on)
    });
    let Some((worker, placed_at, placed_on)) = placed else {
        return;
    };
    let waited_ms = millis(cx.clock.now().since(placed_at));
    let reading = EntryReading::of(cx, owner, &worker);
    log::info!(task:% = run.task, run = run.run.0, worker:%, why = why.reason(), waited_ms, reading:?, placed_on:?; "start order is not sent");
}
