//! The owner's dealings with its workers: claim, renew, reconcile, place.
//!
//! Each worker is visited by a call of its own, so a slow worker delays nobody else's renewals.
//! Nothing is started on a worker before it has accepted this owner's epoch.

use super::{
    Cx,
    journal::{Urgency, WriteEnd},
    shard::{Session, Shard},
    supervisor,
};
use crate::{
    core::{
        id::{JobId, WorkerId},
        job::{Attempt, Job, JobEnd, Placement},
        size::Size,
        time::Millis,
    },
    policy::placement::{self, Room},
    state::{
        fencing::{self, ClockReading, EarlierOwners, Evidence, WorkerEvidence},
        ledger::{Event, OwnerRecord},
    },
    timeline::event::Happening,
    worker::{
        client::CommandEnd,
        wire::{RejectReason, RenewTasks, Renewal, StartTask, TaskList, TaskState, TaskStatus},
    },
};
use indexmap::IndexMap;
use std::{rc::Rc, time::Duration};

/// Longest time between two looks for jobs to place.
const PLACEMENT_TICK: Duration = Duration::from_millis(500);

/// Visits every worker of the shard at the renewal interval, until the shard is lost.
pub async fn visit_workers(cx: &Cx, shard: &Rc<Shard>) {
    while shard.is_serving() {
        for (worker, address) in hosts_of(cx, shard) {
            let mut sessions = shard.sessions.borrow_mut();
            let session = sessions.entry(worker.clone()).or_default();
            if !std::mem::replace(&mut session.busy, true) {
                let (cx, shard) = (Rc::clone(cx), Rc::clone(shard));
                supervisor::spawn("worker-visit", async move {
                    visit(&cx, &shard, &worker, &address).await;
                });
            }
        }
        forget_gone_hosts(cx, shard);
        tokio::time::sleep(cx.cfg.shards.task_renew).await;
    }
}

fn hosts_of(cx: &Cx, shard: &Shard) -> Vec<(WorkerId, String)> {
    let members = cx.members.borrow();
    let hosts = members.shard_hosts(&shard.id, cx.cfg.shards.count);
    hosts
        .into_iter()
        .map(|host| (host.worker.clone(), host.address.clone()))
        .collect()
}

/// Evicts what was placed on hosts that the platform no longer names: it vouches that they are dead.
fn forget_gone_hosts(cx: &Cx, shard: &Rc<Shard>) {
    let named = |worker: &WorkerId| cx.members.borrow().hosts.contains_key(worker);
    shard
        .sessions
        .borrow_mut()
        .retain(|worker, _| named(worker));
    let gone: Vec<(JobId, Placement)> = {
        let state = shard.state();
        let placed = state
            .jobs
            .iter()
            .filter_map(|(id, job)| Some((id, job.placement()?)));
        placed
            .filter(|(_, p)| !named(&p.worker))
            .map(|(id, p)| (id.clone(), p.clone()))
            .collect()
    };
    for (job, placement) in gone {
        unplace(cx, shard, &job, &placement, "host is gone");
    }
}

async fn visit(cx: &Cx, shard: &Rc<Shard>, worker: &WorkerId, address: &str) {
    let claimed = shard
        .sessions
        .borrow()
        .get(worker)
        .is_some_and(|session| session.claimed);
    // Only what was settled before the call can be judged by its answer.
    let judged = settled_placements(cx, shard, worker);
    let end = match claimed {
        true => {
            let renew = RenewTasks {
                epoch: shard.epoch,
                tasks: renewals(cx, shard, worker),
            };
            cx.workers.renew(address, &renew).await
        }
        false => cx.workers.claim(address, shard.epoch).await,
    };
    if shard.is_lost() {
        return;
    }
    let now = cx.clock.now();
    note_answer(cx, shard, worker, end.reading(now), now);
    match end {
        CommandEnd::Done(list, _) => {
            if !claimed {
                note_claimed(cx, shard, worker);
            }
            reconcile(cx, shard, worker, address, &list, &judged).await;
        }
        CommandEnd::Rejected(reason, epoch, _) => {
            log::warn!(
                "worker {worker} rejects epoch {}: {reason:?}, seen {epoch}",
                shard.epoch
            );
        }
        CommandEnd::Silent(_) => give_up_silent(cx, shard, worker, &judged),
    }
    if let Some(session) = shard.sessions.borrow_mut().get_mut(worker) {
        session.busy = false;
    }
}

fn note_answer(
    cx: &Cx,
    shard: &Shard,
    worker: &WorkerId,
    reading: Option<ClockReading>,
    now: Millis,
) {
    let mut sessions = shard.sessions.borrow_mut();
    let Some(session) = sessions.get_mut(worker) else {
        return;
    };
    if reading.is_some() {
        session.reading = reading;
        session.silent_since = None;
    } else if session.silent_since.is_none() {
        session.silent_since = Some(now);
        cx.timeline.record(Happening::WorkerSilent {
            worker: worker.clone(),
        });
        log::warn!("worker {worker} does not answer");
    }
}

fn note_claimed(cx: &Cx, shard: &Shard, worker: &WorkerId) {
    if let Some(session) = shard.sessions.borrow_mut().get_mut(worker) {
        session.claimed = true;
    }
    cx.timeline.record(Happening::WorkerClaimed {
        worker: worker.clone(),
        epoch: shard.epoch,
    });
    shard.placement.notify_one();
}

fn placements_on(shard: &Shard, worker: &WorkerId) -> Vec<(JobId, Placement)> {
    let state = shard.state();
    let placed = state
        .jobs
        .iter()
        .filter_map(|(id, job)| Some((id, job.placement()?)));
    placed
        .filter(|(_, p)| p.worker == *worker)
        .map(|(id, p)| (id.clone(), p.clone()))
        .collect()
}

/// Placements whose start can no longer be under way: placed by an earlier owner, answered, or with
/// a lease that has run out.
fn settled_placements(cx: &Cx, shard: &Shard, worker: &WorkerId) -> IndexMap<JobId, Placement> {
    let sessions = shard.sessions.borrow();
    let session = sessions.get(worker);
    let now = cx.clock.now();
    let is_settled = |job: &JobId, placement: &Placement| {
        let Some(session) = session else {
            return placement.epoch < shard.epoch;
        };
        placement.epoch < shard.epoch
            || session.started.get(job) == Some(&placement.attempt)
            || session.lease_ends.get(job).is_some_and(|end| *end < now)
    };
    let placed = placements_on(shard, worker).into_iter();
    placed
        .filter(|(job, placement)| is_settled(job, placement))
        .collect()
}

/// New leases for everything placed on a worker, each within the entry's hold.
fn renewals(cx: &Cx, shard: &Shard, worker: &WorkerId) -> Vec<Renewal> {
    let placed = placements_on(shard, worker);
    let mut sessions = shard.sessions.borrow_mut();
    let Some(session) = sessions.get_mut(worker) else {
        return Vec::new();
    };
    let renew = |(task, placement): (JobId, Placement)| {
        if placement.epoch == shard.epoch && !session.started.contains_key(&task) {
            return None;
        }
        let until_ms = next_lease(cx, shard, session, &task)?;
        Some(Renewal { task, until_ms })
    };
    placed.into_iter().filter_map(renew).collect()
}

/// The end of a lease given now, on the worker's clock, and notes its end on ours. None when the
/// owner's own right has run out.
fn next_lease(cx: &Cx, shard: &Shard, session: &mut Session, task: &JobId) -> Option<u64> {
    let terms = &cx.cfg.shards.terms;
    let now = cx.clock.now();
    let hold = hold_of(shard, task);
    let right = shard.tenure().right_until(hold, terms);
    let end = (now + cx.cfg.shards.task_lease).min(right);
    if end <= now {
        return None;
    }
    let until = fencing::end_on_worker(session.reading?, end, terms)?;
    let own_end = fencing::own_lease_end(now, cx.cfg.shards.task_lease, terms);
    session.lease_ends.insert(task.clone(), own_end);
    Some(until.0)
}

/// A job that the ledger does not know has no hold: nothing of it is renewed.
fn hold_of(shard: &Shard, task: &JobId) -> Duration {
    let state = shard.state();
    state.jobs.get(task).map(|job| job.hold).unwrap_or_default()
}

/// Brings the ledger in line with what a worker reports.
async fn reconcile(
    cx: &Cx,
    shard: &Rc<Shard>,
    worker: &WorkerId,
    address: &str,
    list: &TaskList,
    judged: &IndexMap<JobId, Placement>,
) {
    for status in &list.tasks {
        let job = shard.job(&status.task);
        let placement = job.as_ref().and_then(|job| job.placement().cloned());
        match placement {
            Some(placement)
                if placement.worker == *worker && placement.attempt == status.attempt =>
            {
                follow_status(cx, shard, worker, address, status).await;
            }
            // An attempt that the ledger does not place here: over, or moved on.
            _ if job.is_some() || status.task.shard().as_ref() == Some(&shard.id) => {
                let _ = cx.workers.stop(address, &status.task, shard.epoch).await;
            }
            _ => {}
        }
    }
    let reported = |job: &JobId| list.tasks.iter().any(|status| status.task == *job);
    for (job, placement) in judged.iter().filter(|(job, _)| !reported(job)) {
        unplace(cx, shard, job, placement, "worker has stopped it");
    }
}

async fn follow_status(
    cx: &Cx,
    shard: &Rc<Shard>,
    worker: &WorkerId,
    address: &str,
    status: &TaskStatus,
) {
    let (task, attempt) = (&status.task, status.attempt);
    if let Some(session) = shard.sessions.borrow_mut().get_mut(worker) {
        session.started.insert(task.clone(), attempt);
    }
    let Some(job) = shard.job(task) else {
        return;
    };
    let mut events = Vec::new();
    if let Some(checkpoint) = &status.checkpoint
        && job.checkpoint.as_ref() != Some(checkpoint)
    {
        events.push(Event::Checkpointed {
            job: task.clone(),
            attempt,
            checkpoint: checkpoint.clone(),
        });
    }
    match (status.state, job.cancelling) {
        (TaskState::Running, true) => {
            let _ = cx.workers.stop(address, task, shard.epoch).await;
            return;
        }
        (TaskState::Running, false) => {}
        (TaskState::Finished, _) => {
            events.push(Event::Ended {
                job: task.clone(),
                end: JobEnd::Done,
            });
        }
        (TaskState::Failed | TaskState::Stopped | TaskState::Lapsed, true) => {
            events.push(Event::Ended {
                job: task.clone(),
                end: JobEnd::Cancelled,
            });
        }
        (TaskState::Failed, false) => events.push(failure_event(cx, task, &job, status)),
        (TaskState::Stopped | TaskState::Lapsed, false) => {
            events.push(Event::Evicted {
                job: task.clone(),
                attempt,
            });
        }
    }
    if events.is_empty() {
        return;
    }
    let Ok(ticket) = shard.propose(cx, events.clone(), Urgency::Batch) else {
        return;
    };
    if ticket.end().await == WriteEnd::Committed {
        after_status(cx, shard, worker, address, status, &events).await;
    }
}

fn failure_event(cx: &Cx, task: &JobId, job: &Job, status: &TaskStatus) -> Event {
    let entry = cx.catalogue.borrow().entry(&job.entry);
    let most = entry.map_or(1, |entry| entry.max_failures);
    if job.failures + 1 >= most {
        let text = status
            .message
            .clone()
            .unwrap_or_else(|| "the task failed".to_owned());
        return Event::Ended {
            job: task.clone(),
            end: JobEnd::Failed(text),
        };
    }
    Event::AttemptFailed {
        job: task.clone(),
        attempt: status.attempt,
    }
}

/// Effects of a durable status: the worker may forget the task, the time line and counters learn.
async fn after_status(
    cx: &Cx,
    shard: &Rc<Shard>,
    worker: &WorkerId,
    address: &str,
    status: &TaskStatus,
    events: &[Event],
) {
    for event in events {
        match event {
            Event::Ended { job, end } => note_end(cx, job, end),
            Event::Evicted { job, .. } => note_eviction(cx, job, worker, "lease or stop"),
            Event::AttemptFailed { job, .. } => note_eviction(cx, job, worker, "failed there"),
            _ => {}
        }
    }
    if status.state != TaskState::Running {
        forget_session_task(shard, worker, &status.task);
        let _ = cx.workers.stop(address, &status.task, shard.epoch).await;
        shard.placement.notify_one();
    }
}

fn note_end(cx: &Cx, job: &JobId, end: &JobEnd) {
    if *end == JobEnd::Done {
        cx.metrics.jobs_done.inc();
    }
    let end = format!("{end:?}").to_lowercase();
    cx.timeline.record(Happening::JobEnded {
        job: job.clone(),
        end,
    });
}

fn note_eviction(cx: &Cx, job: &JobId, worker: &WorkerId, reason: &str) {
    cx.metrics.evictions.inc();
    cx.timeline.record(Happening::TaskEvicted {
        job: job.clone(),
        worker: worker.clone(),
        reason: reason.to_owned(),
    });
}

fn forget_session_task(shard: &Shard, worker: &WorkerId, task: &JobId) {
    if let Some(session) = shard.sessions.borrow_mut().get_mut(worker) {
        session.lease_ends.swap_remove(task);
        session.started.swap_remove(task);
    }
}

/// Evicts what a silent worker certainly no longer runs.
fn give_up_silent(
    cx: &Cx,
    shard: &Rc<Shard>,
    worker: &WorkerId,
    judged: &IndexMap<JobId, Placement>,
) {
    let now = cx.clock.now();
    for (job, placement) in judged {
        let own_lease_end = {
            let sessions = shard.sessions.borrow();
            sessions
                .get(worker)
                .and_then(|session| session.lease_ends.get(job).copied())
        };
        let evidence = Evidence {
            worker: WorkerEvidence::Silent,
            own_lease_end,
            earlier: earlier_owners(cx, shard, placement),
            owner_since: shard.since,
            task_lease: cx.cfg.shards.task_lease,
            hold: hold_of(shard, job),
        };
        if fencing::restart_at(&evidence, &cx.cfg.shards.terms) < now {
            unplace(cx, shard, job, placement, "lease has run out");
        }
    }
}

/// What is known of earlier owners that may have renewed a placement.
fn earlier_owners(cx: &Cx, shard: &Shard, placement: &Placement) -> EarlierOwners {
    let state = shard.state();
    let mut suspects = state.suspects(placement.epoch, shard.epoch).peekable();
    if suspects.peek().is_none() {
        return EarlierOwners::None;
    }
    let mut latest = shard.since;
    for owner in suspects {
        match gone_since(cx, shard, owner) {
            Some(since) => latest = latest.max(since),
            None => return EarlierOwners::Unaccounted,
        }
    }
    EarlierOwners::Gone(latest)
}

/// Since when an earlier owner is known to be gone. One that released the shard was gone before this
/// owner took it. One that was replaced may have renewed tasks until shortly before its successor
/// was seen, so its time counts from there.
fn gone_since(cx: &Cx, shard: &Shard, owner: &OwnerRecord) -> Option<Millis> {
    if owner.released {
        return Some(shard.since);
    }
    let replaced = cx.members.borrow().daemons.values().any(|seen| {
        seen.row.holder.address == owner.holder.address && seen.row.holder != owner.holder
    });
    let mut found = shard.owners_gone.borrow_mut();
    if replaced && !found.contains_key(&owner.epoch) {
        found.insert(owner.epoch, cx.clock.now());
    }
    found.get(&owner.epoch).copied()
}

fn unplace(cx: &Cx, shard: &Rc<Shard>, job: &JobId, placement: &Placement, reason: &str) {
    let current = shard.job(job);
    let Some(current) = current.filter(|job| job.placement() == Some(placement)) else {
        return;
    };
    let event = match current.cancelling {
        true => Event::Ended {
            job: job.clone(),
            end: JobEnd::Cancelled,
        },
        false => Event::Evicted {
            job: job.clone(),
            attempt: placement.attempt,
        },
    };
    let Ok(ticket) = shard.propose(cx, vec![event], Urgency::Urgent) else {
        return;
    };
    let (cx, shard, job) = (Rc::clone(cx), Rc::clone(shard), job.clone());
    let (worker, reason) = (placement.worker.clone(), reason.to_owned());
    supervisor::spawn("unplaced", async move {
        if ticket.end().await == WriteEnd::Committed {
            forget_session_task(&shard, &worker, &job);
            note_eviction(&cx, &job, &worker, &reason);
            shard.placement.notify_one();
        }
    });
}

/// Places waiting jobs until the shard is lost.
pub async fn place_jobs(cx: &Cx, shard: &Rc<Shard>) {
    loop {
        place_waiting(cx, shard);
        tokio::select! {
            () = shard.placement.notified() => {}
            () = tokio::time::sleep(PLACEMENT_TICK) => {}
        }
    }
}

fn place_waiting(cx: &Cx, shard: &Rc<Shard>) {
    // After the last event of a graceful end nothing may be started any more.
    if !shard.is_serving() {
        return;
    }
    let waiting: Vec<(JobId, Size, Attempt)> = {
        let state = shard.state();
        let waits = state
            .jobs
            .iter()
            .filter(|(_, job)| job.phase == crate::core::job::JobPhase::Waiting && !job.cancelling);
        waits
            .map(|(id, job)| (id.clone(), job.size, job.attempts))
            .collect()
    };
    for (job, size, attempts) in waiting {
        let rooms = rooms(cx, shard);
        let Some(room) = placement::choose(&rooms, &size) else {
            continue;
        };
        let placement = Placement {
            worker: room.worker.clone(),
            epoch: shard.epoch,
            attempt: Attempt(attempts.0 + 1),
        };
        let placed = Event::Placed {
            job: job.clone(),
            placement: placement.clone(),
        };
        let Ok(ticket) = shard.propose(cx, vec![placed], Urgency::Batch) else {
            return;
        };
        let (cx, shard) = (Rc::clone(cx), Rc::clone(shard));
        supervisor::spawn("task-start", async move {
            if ticket.end().await == WriteEnd::Committed {
                start_task(&cx, &shard, &job, &placement).await;
            }
        });
    }
}

/// What is free for tasks on each worker that may take one.
fn rooms(cx: &Cx, shard: &Shard) -> Vec<Room> {
    let members = cx.members.borrow();
    let sessions = shard.sessions.borrow();
    let state = shard.state();
    let usable = |worker: &WorkerId| {
        let session = sessions.get(worker);
        session.is_some_and(|session| session.claimed && session.silent_since.is_none())
    };
    let hosts = members.shard_hosts(&shard.id, cx.cfg.shards.count);
    let hosts = hosts
        .into_iter()
        .filter(|host| !host.leaving && usable(&host.worker));
    hosts
        .map(|host| {
            let committed = state.committed_on(&host.worker);
            let reserved = super::grants::unclaimed_reserve(cx, &state, host);
            let free = host.capacity.minus(&committed.size).minus(&reserved);
            Room {
                worker: host.worker.clone(),
                free,
            }
        })
        .collect()
}

async fn start_task(cx: &Cx, shard: &Rc<Shard>, job: &JobId, placement: &Placement) {
    // After the last event of a graceful end the successor counts on no further lease.
    if !shard.is_serving() {
        return;
    }
    // Evicted between its proposal and its commit: by now it may have been placed elsewhere, and a
    // start would make a second copy.
    if shard.job(job).as_ref().and_then(Job::placement) != Some(placement) {
        return;
    }
    let Some((start, address)) = start_command(cx, shard, job, placement) else {
        // Nothing was sent. If the ledger can't take the eviction now, the next visit finds a lease
        // that has run out.
        if let Some(session) = shard.sessions.borrow_mut().get_mut(&placement.worker) {
            session.lease_ends.insert(job.clone(), cx.clock.now());
        }
        unplace(cx, shard, job, placement, "no right to start it");
        return;
    };
    cx.timeline.record(Happening::TaskPlaced {
        job: job.clone(),
        worker: placement.worker.clone(),
        attempt: placement.attempt,
    });
    match cx.workers.start(&address, job, &start).await {
        CommandEnd::Done(_, _) => {
            if let Some(session) = shard.sessions.borrow_mut().get_mut(&placement.worker) {
                session.started.insert(job.clone(), placement.attempt);
            }
            cx.metrics.task_starts.inc();
            let worker = placement.worker.clone();
            cx.timeline.record(Happening::TaskStarted {
                job: job.clone(),
                worker,
            });
        }
        CommandEnd::Rejected(RejectReason::OtherAttempt, _, _) => {
            // An attempt that the next visit finds and stops; this one did not start.
            unplace(cx, shard, job, placement, "another attempt is there");
        }
        CommandEnd::Rejected(reason, _, _) => {
            unplace(
                cx,
                shard,
                job,
                placement,
                &format!("worker rejected it: {reason:?}"),
            );
        }
        // It may run. The next visits find out, or its lease runs out.
        CommandEnd::Silent(_) => {}
    }
}

fn start_command(
    cx: &Cx,
    shard: &Shard,
    job: &JobId,
    placement: &Placement,
) -> Option<(StartTask, String)> {
    if !shard.may_act(cx.clock.now(), &cx.cfg.shards.terms) {
        return None;
    }
    let address = cx
        .members
        .borrow()
        .hosts
        .get(&placement.worker)?
        .address
        .clone();
    let until_ms = {
        let mut sessions = shard.sessions.borrow_mut();
        next_lease(cx, shard, sessions.get_mut(&placement.worker)?, job)?
    };
    let state = shard.state();
    let known = state.jobs.get(job)?;
    let start = StartTask {
        epoch: shard.epoch,
        until_ms,
        attempt: placement.attempt,
        entry: known.entry.to_string(),
        size: known.size,
        checkpoint: known.checkpoint.clone(),
    };
    Some((start, address))
}
