//! Placing waiting jobs and starting their tasks.
//!
//! A pass computes the workers' free capacity once and takes one job from each entry in turn
//! (round-robin), so that a long queue of one entry delays no other. An entry's turn ends at its
//! first job that fits on no worker, so the cost of a pass depends on the jobs that it places, not
//! on the number that wait.

use super::{
    Cx,
    evictions::revoke_placement,
    grants,
    journal::{Urgency, WriteOutcome},
    limits, mitigation, sessions,
    shard::Shard,
    supervisor,
};
use crate::{
    core::{
        catalogue::Class,
        id::{EntryName, JobId, Rack, WorkerId},
        job::{Attempt, Placement},
        size::Size,
    },
    policy::{
        placement::{self, CandidateHost, RunningKind, TaskToPlace},
        slowdown::Kind,
    },
    state::ledger::Event,
    store::wire::Host,
    timeline::event::Happening,
    worker::{
        client::CommandOutcome,
        wire::{RejectReason, StartTask},
    },
};
use std::{rc::Rc, time::Duration};

/// Longest time between two placement passes.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after each pass: 335 jobs/s must not cause 335 passes/s.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(20);
/// Upper bound on the jobs of one pass, so that a burst does not block the thread.
const MAX_JOBS_PER_PASS: usize = 500;
/// Time without new tasks for a worker that rejected one for lack of capacity.
const REJECTED_BACKOFF: Duration = Duration::from_secs(1);

/// Places waiting jobs until the shard is lost or released.
pub async fn place_jobs(cx: &Cx, shard: &Rc<Shard>) {
    while shard.is_serving() {
        place_waiting(cx, shard);
        tokio::time::sleep(MIN_PASS_INTERVAL).await;
        tokio::select! {
            () = shard.placement_notify.notified() => {}
            () = tokio::time::sleep(MAX_PASS_INTERVAL) => {}
        }
    }
}

/// State of one entry during a pass.
struct Turn {
    entry: EntryName,
    kind: Kind,
    class: Class,
    /// Number of jobs of the entry that are already placed.
    placed: u32,
    /// Number of further jobs that the entry's limit allows.
    left: u32,
    /// Jobs that cannot be placed in this pass and return to the queue.
    deferred: Vec<JobId>,
}

fn place_waiting(cx: &Cx, shard: &Rc<Shard>) {
    if !shard.can_write(cx) {
        return;
    }
    let waiting = shard.journal.index().waiting_entries();
    if waiting.is_empty() {
        return;
    }
    let hosts = open_hosts(cx, shard);
    let mut candidates: Vec<CandidateHost<'_>> = hosts.iter().map(OpenHost::candidate).collect();
    let mut turns: Vec<Turn> = waiting
        .into_iter()
        .map(|entry| turn(cx, shard, entry))
        .collect();
    let mut placed = 0;
    while !turns.is_empty() && placed < MAX_JOBS_PER_PASS {
        turns.retain_mut(|turn| {
            let may_continue = place_next(cx, shard, turn, &mut candidates);
            placed += usize::from(may_continue);
            if !may_continue {
                put_back(shard, turn);
            }
            may_continue
        });
    }
    for turn in &mut turns {
        put_back(shard, turn);
        shard.placement_notify.notify_one();
    }
}

fn turn(cx: &Cx, shard: &Shard, name: EntryName) -> Turn {
    let entry = cx.catalogue.borrow().entry(&name);
    let placed = shard.journal.index().counts(&name).placed;
    // Accepted jobs still finish after their entry was removed from the catalogue.
    let class = entry.as_ref().map_or(Class::Batch, |entry| entry.class);
    let limit = entry.map_or(u32::MAX, |entry| limits::job_limit(cx, shard, &entry));
    let kind = shard.mitigation.borrow_mut().interference.kind(&name);
    Turn {
        entry: name,
        kind,
        class,
        placed,
        left: limit.saturating_sub(placed),
        deferred: Vec::new(),
    }
}

fn put_back(shard: &Shard, turn: &mut Turn) {
    let deferred = std::mem::take(&mut turn.deferred);
    shard.journal.index_mut().put_back(&turn.entry, deferred);
}

/// Takes one waiting job of an entry and tries to place it. False when the entry's turn has ended.
fn place_next(
    cx: &Cx,
    shard: &Rc<Shard>,
    turn: &mut Turn,
    candidates: &mut [CandidateHost<'_>],
) -> bool {
    if turn.left == 0 {
        return false;
    }
    let Some(job) = shard.journal.take_waiting(&turn.entry) else {
        return false;
    };
    // While an eviction is not durable, the previous worker's session may still list the job. A job
    // whose acceptance is not durable has no previous worker; its placement goes into the same row.
    if shard.journal.has_pending_event(&job) && !shard.journal.is_acceptance_pending(&job) {
        turn.deferred.push(job);
        return true;
    }
    let known = shard.job(&job);
    let Some((size, attempts)) = known.map(|known| (known.size, known.attempts)) else {
        return true;
    };
    let Some(chosen) = choose_host(cx, shard, turn, candidates, (&job, size)) else {
        turn.deferred.push(job);
        return false;
    };
    let worker = candidates[chosen].worker.clone();
    if shard.session(&worker, |session| session.stopping.contains(&job)) == Some(true) {
        turn.deferred.push(job);
        return true;
    }
    let placement = Placement {
        worker: worker.clone(),
        epoch: shard.epoch,
        attempt: Attempt(attempts.0 + 1),
    };
    let is_placed = place(cx, shard, &job, placement);
    if !is_placed {
        turn.deferred.push(job);
        return false;
    }
    turn.left -= 1;
    candidates[chosen].free = candidates[chosen].free.minus(&size);
    true
}

fn choose_host(
    cx: &Cx,
    shard: &Shard,
    turn: &Turn,
    candidates: &[CandidateHost<'_>],
    (job, size): (&JobId, Size),
) -> Option<usize> {
    let (mitigation, now) = (shard.mitigation.borrow(), cx.clock.now());
    let index = shard.journal.index();
    let is_open = |candidate: &CandidateHost<'_>| {
        let is_empty = index.on_worker(candidate.worker).next().is_none();
        mitigation.may_place(job, turn.class, candidate.worker, is_empty, now)
    };
    let mut open: Vec<usize> = (0..candidates.len())
        .filter(|i| is_open(&candidates[*i]))
        .collect();
    let has_not_failed = |i: &usize| !mitigation.health.has_failed_on(job, candidates[*i].worker);
    // Prefer workers on which the job has not failed; use the others only when there is no choice.
    if open.iter().any(has_not_failed) {
        open.retain(has_not_failed);
    }
    let to_place = TaskToPlace {
        kind: turn.kind,
        class: turn.class,
        size,
        entry_tasks_placed: turn.placed,
    };
    let views: Vec<CandidateHost<'_>> = open.iter().map(|i| candidates[*i]).collect();
    let known = &mitigation.interference;
    let chosen = placement::choose(&views, &to_place, known, now, &mut rand::rng())?;
    Some(open[chosen])
}

fn place(cx: &Cx, shard: &Rc<Shard>, job: &JobId, placement: Placement) -> bool {
    let placed = Event::Placed {
        job: job.clone(),
        placement: placement.clone(),
    };
    let Ok(ticket) = shard.propose(cx, vec![placed], Urgency::Batch) else {
        return false;
    };
    let (cx, shard, job) = (Rc::clone(cx), Rc::clone(shard), job.clone());
    supervisor::spawn("task-start", async move {
        if ticket.outcome().await == WriteOutcome::Committed {
            start_task(&cx, &shard, &job, &placement).await;
        }
    });
    true
}

/// A worker that may take tasks, as of the start of a pass.
struct OpenHost {
    worker: WorkerId,
    rack: Rack,
    capacity: Size,
    free: Size,
    running_kinds: Vec<RunningKind>,
}

impl OpenHost {
    fn candidate(&self) -> CandidateHost<'_> {
        CandidateHost {
            worker: &self.worker,
            rack: &self.rack,
            capacity: self.capacity,
            free: self.free,
            running_kinds: &self.running_kinds,
            entry_tasks_in_rack: 0,
        }
    }
}

/// Workers that may take tasks, with their free capacity and the tasks that run there.
fn open_hosts(cx: &Cx, shard: &Shard) -> Vec<OpenHost> {
    let now = cx.clock.now();
    let members = cx.members.borrow();
    let sessions = shard.sessions.borrow();
    let state = shard.state();
    let takes_tasks = |worker: &WorkerId| {
        let session = sessions.get(worker);
        session.is_some_and(|session| session.takes_tasks(now))
    };
    let hosts = members.shard_hosts(&shard.id, cx.cfg.shards.count);
    let hosts = hosts
        .into_iter()
        .filter(|host| !host.leaving && takes_tasks(&host.worker));
    let open = |host: &Host| {
        let committed = state.committed_on(&host.worker);
        let reserved = grants::unclaimed_reserve(cx, &state, host);
        OpenHost {
            worker: host.worker.clone(),
            rack: host.rack.clone(),
            capacity: host.capacity,
            free: host.capacity.minus(&committed.size).minus(&reserved),
            running_kinds: mitigation::running_kinds(cx, shard, &host.worker),
        }
    };
    hosts.map(open).collect()
}

async fn start_task(cx: &Cx, shard: &Rc<Shard>, job: &JobId, placement: &Placement) {
    let worker = &placement.worker;
    let Some((start, address)) = start_command(cx, shard, job, placement) else {
        // Nothing was sent. If the ledger can't accept the eviction now, the next poll of the
        // worker finds an expired lease.
        note_unsent(cx, shard, job, placement);
        revoke_placement(cx, shard, job, placement, "no right to start it");
        return;
    };
    cx.timeline.record(Happening::TaskPlaced {
        job: job.clone(),
        worker: worker.clone(),
        attempt: placement.attempt,
    });
    match cx.workers.start(&address, job, &start).await {
        CommandOutcome::Done(..) => {
            shard.session(worker, |session| {
                session.note_reported(job, placement.attempt);
            });
            mitigation::note_history(cx, shard, worker);
            cx.metrics.task_starts.inc();
            cx.timeline.record(Happening::TaskStarted {
                job: job.clone(),
                worker: worker.clone(),
            });
        }
        // This attempt did not start. Another attempt that runs there is stopped by the next poll.
        CommandOutcome::Rejected(reason, ..) => {
            if reason == RejectReason::NoRoom {
                let until = cx.clock.now() + REJECTED_BACKOFF;
                shard.session(worker, |session| session.no_capacity_until = until);
            }
            let reason = format!("worker rejected it: {reason:?}");
            revoke_placement(cx, shard, job, placement, &reason);
        }
        // The task may run. The next polls resolve it, or its lease expires.
        CommandOutcome::Unanswered(_) => {}
    }
}

fn note_unsent(cx: &Cx, shard: &Shard, job: &JobId, placement: &Placement) {
    let sent = sessions::SentLease {
        attempt: placement.attempt,
        lease_end: cx.clock.now(),
        is_reported: false,
        checkpointed_at: None,
    };
    shard.session(&placement.worker, |session| {
        if session.lease(job, placement.attempt).is_none() {
            session.leases.insert(job.clone(), sent);
        }
    });
}

/// The start command and the worker's address, if this owner may still send it: the shard's lease
/// is valid and the committed placement is still the job's current one.
fn start_command(
    cx: &Cx,
    shard: &Shard,
    job: &JobId,
    placement: &Placement,
) -> Option<(StartTask, String)> {
    // After a graceful shutdown's last event, the next owner assumes that no further lease was
    // given.
    if !shard.is_serving() || !shard.may_act(cx.clock.now(), &cx.cfg.shards.terms) {
        return None;
    }
    let known = shard.job(job)?;
    // The attempt may have been evicted between proposal and commit.
    if known.placement() != Some(placement) || known.cancelling {
        return None;
    }
    let worker = &placement.worker;
    let address = shard.session(worker, |session| session.address.clone())?;
    let until_ms =
        sessions::next_lease(cx, shard, worker, (job, placement.attempt), cx.clock.now())?;
    let start = StartTask {
        epoch: shard.epoch,
        until_ms,
        attempt: placement.attempt,
        entry: known.entry.to_string(),
        size: known.size,
        checkpoint: known.checkpoint,
    };
    Some((start, address))
}
