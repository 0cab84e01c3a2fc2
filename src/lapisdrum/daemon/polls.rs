//! Polls of a shard's workers: claim the worker, renew its task leases, reconcile its tasks with
//! the ledger, and move tasks off hosts that are leaving.
//!
//! Each poll is a task of its own, so a slow worker does not delay the renewals of others. A poll
//! never waits for a ledger write: if it did, an outage of the table would stop all renewals, and
//! running tasks would stop with them. Effects that depend on a write run in separate tasks.

use super::{
    Cx,
    evictions::{self, note_end, note_eviction},
    journal::{Urgency, WriteOutcome},
    mitigation, sessions,
    shard::Shard,
    supervisor,
};
use crate::{
    core::{
        catalogue::Class,
        id::{JobId, WorkerId},
        job::{Job, JobEnd, Placement},
        time::Millis,
    },
    state::{fencing::ClockReading, ledger::Event},
    timeline::event::Happening,
    worker::{
        client::CommandOutcome,
        wire::{TaskList, TaskState, TaskStatus},
    },
};
use indexmap::{IndexMap, IndexSet};
use std::{rc::Rc, time::Duration};

/// Polls every worker of the shard at the renewal interval until the shard is lost or released.
pub async fn poll_workers(cx: &Cx, shard: &Rc<Shard>) {
    while shard.is_serving() {
        for (worker, address, leaving) in hosts_of(cx, shard) {
            sessions::open(cx, shard, &worker, &address);
            let was_in_flight = shard.session(&worker, |session| {
                note_leaving(session, leaving, cx.clock.now());
                std::mem::replace(&mut session.poll_in_flight, true)
            });
            if was_in_flight == Some(false) {
                let (cx, shard) = (Rc::clone(cx), Rc::clone(shard));
                supervisor::spawn("worker-visit", async move {
                    poll(&cx, &shard, &worker, &address).await;
                });
            }
        }
        evictions::evict_from_removed_hosts(cx, shard);
        tokio::time::sleep(cx.cfg.shards.task_renew).await;
    }
}

fn hosts_of(cx: &Cx, shard: &Shard) -> Vec<(WorkerId, String, bool)> {
    let members = cx.members.borrow();
    let hosts = members.shard_hosts(&shard.id, cx.cfg.shards.count);
    hosts
        .into_iter()
        .map(|host| (host.worker.clone(), host.address.clone(), host.leaving))
        .collect()
}

fn note_leaving(session: &mut sessions::Session, leaving: bool, now: Millis) {
    session.leaving_since = match leaving {
        true => session.leaving_since.or(Some(now)),
        false => None,
    };
}

async fn poll(cx: &Cx, shard: &Rc<Shard>, worker: &WorkerId, address: &str) {
    let claimed = shard.session(worker, |session| session.claimed) == Some(true);
    // The answer proves nothing about a placement whose start may still be in flight, so those that
    // it can judge are selected before the call.
    let verifiable = sessions::verifiable_placements(cx, shard, worker);
    let end = match claimed {
        true => {
            let renew = sessions::renewal(cx, shard, worker, &verifiable);
            cx.workers.renew(address, &renew).await
        }
        false => cx.workers.claim(address, shard.epoch).await,
    };
    // A session opened during the call belongs to another address; the answer is not from there.
    let is_same = shard.session(worker, |session| session.address == address);
    if !shard.is_serving() || is_same != Some(true) {
        return;
    }
    let now = cx.clock.now();
    note_answer(cx, shard, worker, end.clock_reading(now), now);
    match end {
        CommandOutcome::Done(list, _) => {
            if !claimed {
                note_claimed(cx, shard, worker);
            }
            sessions::note_known(cx, shard, worker, &list);
            let due = tasks_to_stop(cx, shard, worker, &list);
            reconcile(cx, shard, worker, address, &list, &verifiable);
            for task in due {
                stop_running(cx, shard, worker, address, &task);
            }
        }
        CommandOutcome::Rejected(..) => note_rejected(shard, worker),
        CommandOutcome::Unanswered(_) => evictions::evict_expired(cx, shard, worker, &verifiable),
    }
    shard.session(worker, |session| session.poll_in_flight = false);
}

fn note_answer(
    cx: &Cx,
    shard: &Shard,
    worker: &WorkerId,
    reading: Option<ClockReading>,
    now: Millis,
) {
    let fell_silent = shard.session(worker, |session| {
        if reading.is_some() {
            session.reading = reading;
            session.silent_since = None;
            return false;
        }
        let fell_silent = session.silent_since.is_none();
        session.silent_since = session.silent_since.or(Some(now));
        fell_silent
    });
    if fell_silent == Some(true) {
        cx.timeline.record(Happening::WorkerSilent {
            worker: worker.clone(),
        });
        log::warn!("worker {worker} does not answer");
    }
}

/// Handles a rejected epoch: the worker has accepted a later one, so another owner has taken the
/// shard over. The registrar detects this by itself.
fn note_rejected(shard: &Shard, worker: &WorkerId) {
    let first = shard.session(worker, |session| {
        session.claimed = false;
        !std::mem::replace(&mut session.is_refused, true)
    });
    if first == Some(true) {
        log::warn!("worker {worker} refuses epoch {}", shard.epoch);
    }
}

fn note_claimed(cx: &Cx, shard: &Shard, worker: &WorkerId) {
    shard.session(worker, |session| {
        session.claimed = true;
        session.is_refused = false;
    });
    cx.timeline.record(Happening::WorkerClaimed {
        worker: worker.clone(),
        epoch: shard.epoch,
    });
    shard.placement_notify.notify_one();
}

/// Reconciles the ledger with the tasks that a worker reports. A complete list also revokes the
/// placements in `verifiable` that it does not contain.
fn reconcile(
    cx: &Cx,
    shard: &Rc<Shard>,
    worker: &WorkerId,
    address: &str,
    list: &TaskList,
    verifiable: &IndexMap<JobId, Placement>,
) {
    let mut to_stop = Vec::new();
    for status in &list.tasks {
        // Events that are not durable yet must not affect the worker.
        if shard.journal.has_pending_event(&status.task) {
            continue;
        }
        let job = shard.job(&status.task);
        match job.as_ref().and_then(Job::placement) {
            Some(placement)
                if placement.worker == *worker && placement.attempt == status.attempt =>
            {
                record_status(cx, shard, worker, address, status);
            }
            // The ledger does not place this attempt here: it has ended or was placed elsewhere.
            _ if job.is_some() || status.task.shard().as_ref() == Some(&shard.id) => {
                to_stop.push(status.task.clone());
            }
            _ => {}
        }
    }
    stop_tasks(cx, shard, worker, address, to_stop);
    // A list of changes does not show which tasks are absent.
    if !list.is_complete {
        return;
    }
    let reported: IndexSet<&JobId> = list.tasks.iter().map(|s| &s.task).collect();
    for (job, placement) in verifiable.iter().filter(|(job, _)| !reported.contains(job)) {
        evictions::revoke_placement(cx, shard, job, placement, "worker has stopped it");
    }
}

/// Records the status of a task that the ledger places on the reporting worker.
fn record_status(
    cx: &Cx,
    shard: &Rc<Shard>,
    worker: &WorkerId,
    address: &str,
    status: &TaskStatus,
) {
    let Some(job) = shard.job(&status.task) else {
        return;
    };
    shard.session(worker, |session| {
        session.note_reported(&status.task, status.attempt);
    });
    let events = events_of(cx, shard, worker, &job, status);
    if events.is_empty() {
        return;
    }
    let Ok(ticket) = shard.propose(cx, events.clone(), Urgency::Batch) else {
        return;
    };
    let (cx, shard, status) = (Rc::clone(cx), Rc::clone(shard), status.clone());
    let (worker, address) = (worker.clone(), address.to_owned());
    supervisor::spawn("task-status", async move {
        if ticket.outcome().await == WriteOutcome::Committed {
            on_status_durable(&cx, &shard, &worker, &address, &status, &events);
        }
    });
}

/// Tasks that must be stopped on a worker. Its answer may contain changes only, so the ledger's
/// placements are checked; tasks that the answer reports as ended are left to [`reconcile`]. Must
/// be called before the answer is applied: tasks with an event that is not durable yet are skipped,
/// and a checkpoint proposed from the answer could make that so at every poll.
fn tasks_to_stop(cx: &Cx, shard: &Shard, worker: &WorkerId, list: &TaskList) -> Vec<JobId> {
    let ended = list.tasks.iter().filter(|s| s.state != TaskState::Running);
    let ended: IndexSet<&JobId> = ended.map(|status| &status.task).collect();
    let is_due = |task: &JobId, placement: &Placement| {
        let sent = shard.session(worker, |session| session.lease(task, placement.attempt));
        let is_reported = sent.flatten().is_some_and(|sent| sent.is_reported);
        let is_running =
            is_reported && !ended.contains(task) && !shard.journal.has_pending_event(task);
        is_running
            && shard
                .job(task)
                .is_some_and(|job| must_stop(cx, shard, worker, &job))
    };
    let placed = sessions::placements_on(shard, worker).into_iter();
    let due = placed.filter(|(task, placement)| is_due(task, placement));
    due.map(|(task, _)| task).collect()
}

/// Whether a running task must be stopped: it is being cancelled, or its host is leaving and the
/// grace period of its class has passed.
fn must_stop(cx: &Cx, shard: &Shard, worker: &WorkerId, job: &Job) -> bool {
    let leaving_since = shard.session(worker, |session| session.leaving_since);
    let Some(since) = leaving_since.flatten() else {
        return job.cancelling;
    };
    let class = cx.catalogue.borrow().entry(&job.entry).map(|e| e.class);
    let grace = match class {
        Some(Class::LongRunning) => cx.cfg.shards.leaving_grace,
        _ => Duration::ZERO,
    };
    // If the ledger could not record the eviction, the task would stay stopped until the table is
    // available again.
    let is_due = shard.can_write(cx) && cx.clock.now().since(since) >= grace;
    job.cancelling || is_due
}

/// The ledger events that follow from a status.
fn events_of(
    cx: &Cx,
    shard: &Shard,
    worker: &WorkerId,
    job: &Job,
    status: &TaskStatus,
) -> Vec<Event> {
    let task = &status.task;
    let mut events = Vec::new();
    if let Some(checkpoint) = &status.checkpoint
        && job.checkpoint.as_ref() != Some(checkpoint)
        && is_checkpoint_due(cx, shard, worker, status)
    {
        events.push(Event::Checkpointed {
            job: task.clone(),
            attempt: status.attempt,
            checkpoint: checkpoint.clone(),
        });
    }
    match (status.state, job.cancelling) {
        (TaskState::Running, _) => {}
        (TaskState::Finished, _) => events.push(Event::Ended {
            job: task.clone(),
            end: JobEnd::Done,
        }),
        (TaskState::Failed | TaskState::Stopped | TaskState::Lapsed, true) => {
            events.push(Event::Ended {
                job: task.clone(),
                end: JobEnd::Cancelled,
            });
        }
        (TaskState::Failed, false) => events.push(failure_event(cx, shard, worker, job, status)),
        (TaskState::Stopped | TaskState::Lapsed, false) => events.push(Event::Evicted {
            job: task.clone(),
            attempt: status.attempt,
        }),
    }
    events
}

/// Whether a checkpoint is to be recorded in the ledger. For a running task this happens only at
/// intervals: otherwise 17,800 tasks per shard would write more events than all starts and ends
/// together.
fn is_checkpoint_due(cx: &Cx, shard: &Shard, worker: &WorkerId, status: &TaskStatus) -> bool {
    if status.state != TaskState::Running {
        return true;
    }
    let now = cx.clock.now();
    let due = shard.session(worker, |session| {
        let sent = session.leases.get_mut(&status.task)?;
        let is_due = sent
            .checkpointed_at
            .is_none_or(|at| now.since(at) >= cx.cfg.shards.checkpoint);
        if is_due {
            sent.checkpointed_at = Some(now);
        }
        Some(is_due)
    });
    due.flatten().unwrap_or(false)
}

fn failure_event(
    cx: &Cx,
    shard: &Shard,
    worker: &WorkerId,
    job: &Job,
    status: &TaskStatus,
) -> Event {
    let entry = cx.catalogue.borrow().entry(&job.entry);
    let max_failures = entry.map_or(1, |entry| entry.max_failures);
    let is_at_fault = mitigation::note_failure(cx, shard, worker, &status.task, &job.entry);
    if job.failures + 1 < max_failures && !is_at_fault {
        return Event::AttemptFailed {
            job: status.task.clone(),
            attempt: status.attempt,
        };
    }
    let text = status.message.clone();
    Event::Ended {
        job: status.task.clone(),
        end: JobEnd::Failed(text.unwrap_or_else(|| "the task failed".to_owned())),
    }
}

/// Effects of a status whose events are durable: updates the timeline and metrics, and acknowledges
/// an ended task so that the worker may forget it.
fn on_status_durable(
    cx: &Cx,
    shard: &Rc<Shard>,
    worker: &WorkerId,
    address: &str,
    status: &TaskStatus,
    events: &[Event],
) {
    for event in events {
        match event {
            Event::Ended { job, end } => {
                if *end == JobEnd::Done
                    && let Some(known) = shard.job(job)
                {
                    mitigation::note_success(shard, worker, job, &known.entry);
                }
                note_end(cx, job, end);
            }
            Event::Evicted { job, .. } => note_eviction(cx, job, worker, "lease or stop"),
            Event::AttemptFailed { job, .. } => note_eviction(cx, job, worker, "failed there"),
            _ => {}
        }
    }
    if status.state != TaskState::Running {
        shard.session(worker, |session| {
            session.forget(&status.task, status.attempt);
        });
        mitigation::note_history(cx, shard, worker);
        stop_tasks(cx, shard, worker, address, vec![status.task.clone()]);
    }
}

/// Checkpoints and stops a running task, and records its last status at once. Does nothing if a
/// stop of the task is already in flight.
pub fn stop_running(cx: &Cx, shard: &Rc<Shard>, worker: &WorkerId, address: &str, task: &JobId) {
    if !mark_stopping(shard, worker, task) {
        return;
    }
    let task = task.clone();
    let (cx, shard) = (Rc::clone(cx), Rc::clone(shard));
    let (worker, address) = (worker.clone(), address.to_owned());
    supervisor::spawn("task-stop", async move {
        // If the checkpoint fails, the task resumes from the last one in the ledger.
        let _ = cx.workers.checkpoint(&address, &task, shard.epoch).await;
        let end = cx.workers.stop(&address, &task, shard.epoch).await;
        unmark_stopping(&shard, &worker, &task);
        if let CommandOutcome::Done(status, _) = end
            && shard.is_serving()
            && !shard.journal.has_pending_event(&task)
        {
            let placed = shard.job(&task);
            let placed = placed.as_ref().and_then(Job::placement);
            if placed.is_some_and(|p| p.worker == worker && p.attempt == status.attempt) {
                record_status(&cx, &shard, &worker, &address, &status);
            }
        }
    });
}

/// Stops tasks that must not run on a worker, and acknowledges ends that are recorded.
fn stop_tasks(cx: &Cx, shard: &Rc<Shard>, worker: &WorkerId, address: &str, tasks: Vec<JobId>) {
    let to_stop = tasks.into_iter();
    let to_stop: Vec<JobId> = to_stop
        .filter(|task| mark_stopping(shard, worker, task))
        .collect();
    if to_stop.is_empty() {
        shard.placement_notify.notify_one();
        return;
    }
    let (cx, shard) = (Rc::clone(cx), Rc::clone(shard));
    let (worker, address) = (worker.clone(), address.to_owned());
    supervisor::spawn("task-stops", async move {
        for task in &to_stop {
            let _ = cx.workers.stop(&address, task, shard.epoch).await;
            unmark_stopping(&shard, &worker, task);
        }
        shard.placement_notify.notify_one();
    });
}

/// Marks the stop of a task as in flight. Returns false if one already is.
fn mark_stopping(shard: &Shard, worker: &WorkerId, task: &JobId) -> bool {
    shard.session(worker, |session| session.stopping.insert(task.clone())) == Some(true)
}

fn unmark_stopping(shard: &Shard, worker: &WorkerId, task: &JobId) {
    shard.session(worker, |session| session.stopping.swap_remove(task));
}
