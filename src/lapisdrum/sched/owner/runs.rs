//! Runs on workers: sends the orders to start and stop them, and resolves each order's outcome.

use super::{
    Owner, headroom, interference, poll,
    session::{Lease, Session},
    shard_loads,
    start_order::{self, EntryReading, Prepared},
    suspension,
};
use crate::{
    core::{
        size::Size,
        time::{Millis, millis},
    },
    daemon::supervisor,
    policy::dispatch::{interference::Image, place::Load, short_work::Class},
    sched::{
        Cx,
        edge::{OrderOutcome, Refusal},
        event::{Event, Loss, RunId, WorkerIncarnation},
        job::{JobId, Step, TaskId},
        journal::{AppendOutcome, Ticket},
        resolution::{KnownIncarnation, Order, RunKnowledge, Stop},
    },
};
use std::{rc::Rc, time::Duration};

/// Delay before an unconfirmed stop order is sent again.
const STOP_RETRY: Duration = Duration::from_millis(250);
/// Age of a worker's last answer up to which it is not polled before a long-running task is started.
const RECENT_ANSWER: Duration = Duration::from_millis(100);

/// State of a run that the journal does not hold.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The worker incarnation on which it was placed.
    pub on: WorkerIncarnation,
    /// Processors, memory and accelerators that its step asks for.
    pub size: Size,
    /// Whether it reserves processors, serves users or is best-effort.
    pub load: Load,
    /// Class under which it counts as short work; none for long-running and best-effort tasks.
    pub short_class: Option<Class>,
    /// State of its start and stop orders.
    pub known: RunKnowledge,
    /// Whether an incarnation of its worker is known to have it, so that its start order is executed
    /// and no later incarnation gets it.
    pub is_confirmed: bool,
    /// Number of the journal row that holds its placement, or of an earlier one; `None` if only a
    /// snapshot is known to hold it.
    pub placed_row: Option<u64>,
    /// When this owner placed it, or read it from the journal.
    pub since: Millis,
    /// The reading of its worker's entry on which this owner placed it.
    pub placed_on: Option<EntryReading>,
    /// Whether its end may be among those that its worker has not listed yet.
    pub awaits_ends: bool,
    /// Last reported progress in percent, and when that value was first reported.
    pub progress: Option<(u32, Millis)>,
    /// First reported progress in percent, and when.
    pub first_progress: Option<(u32, Millis)>,
    /// Whether its progress is saved when it is stopped.
    pub is_checkpointing: bool,
    /// Whether it runs until its job is cancelled.
    pub is_long_running: bool,
    /// Submitted estimate of its run time, in milliseconds.
    pub estimate_ms: u64,
    /// Image of its step, if the step names one.
    pub image: Option<Image>,
    /// Target of a serving task's latency tail, in milliseconds.
    pub target_ms: Option<u32>,
    /// Latest latency tail, in milliseconds; 0 before the first report.
    pub tail_ms: f64,
    /// Processors that a best-effort task last used while not throttled, in thousandths of a core.
    pub used_millicores: Option<u64>,
    /// CPU limit, in percent of the processors that it asks for.
    pub cpu_limit_percent: u32,
    /// CPU limit that is ordered right after its start, for a best-effort task that was overdue.
    pub first_cpu_limit_percent: Option<u32>,
    /// CPU limit before a pause, until it is confirmed that the run goes on.
    pub limit_before_pause: Option<u32>,
    /// CPU limit before the last change, and the time of that change.
    pub previous_cpu_limit: (u32, Millis),
}

/// Kind of load of a step's tasks.
pub fn load_of(step: &Step) -> Load {
    match (step.uses_leftover_cpu, step.latency_target_ms) {
        (true, _) => Load::BestEffort,
        (false, Some(_)) => Load::Serving,
        (false, None) => Load::Reserving,
    }
}

impl Owner {
    /// Adds a live run that was read from the journal; `placed_row` is the number of its row, unless
    /// the snapshot holds it.
    pub fn add_inherited(
        &self,
        cx: &Cx,
        run: RunId,
        on: &WorkerIncarnation,
        placed_row: Option<u64>,
    ) {
        let known = RunKnowledge {
            order: Order::Inherited {
                has_started: self.had_started(&on.worker, placed_row),
            },
            stop: Stop::No,
        };
        self.add_run(cx, run, on, known, placed_row);
        let is_confirmed = self.was_confirmed(&on.worker, placed_row);
        self.record(&run, |record| {
            record.is_confirmed = is_confirmed && record.is_long_running;
        });
    }

    /// Adds a run that this owner has placed; its start order is not sent yet.
    pub fn add_placed(&self, cx: &Cx, run: RunId, on: &WorkerIncarnation) {
        let known = RunKnowledge {
            order: Order::NotSent,
            stop: Stop::No,
        };
        let placed_row = Some(self.journal.next_row());
        self.add_run(cx, run, on, known, placed_row);
        shard_loads::note_placed(cx, self, &run);
    }

    fn add_run(
        &self,
        cx: &Cx,
        run: RunId,
        on: &WorkerIncarnation,
        known: RunKnowledge,
        placed_row: Option<u64>,
    ) {
        let ledger = self.ledger.borrow();
        let Some(job) = ledger.jobs.get(&run.task.job) else {
            return;
        };
        let Some(step) = job.spec.steps.get(usize::from(run.task.step)) else {
            return;
        };
        let now = cx.clock.now();
        let is_placed = known.order == Order::NotSent;
        let image = step.image.as_ref();
        let image = image.map(|name| self.interference_model.borrow_mut().image(name));
        let record = RunRecord {
            on: on.clone(),
            size: step.size,
            load: load_of(step),
            short_class: headroom::short_class(&job.terms, step),
            known,
            is_confirmed: false,
            placed_row,
            since: now,
            placed_on: EntryReading::of(cx, self, on.worker.as_str()).filter(|_| is_placed),
            awaits_ends: false,
            progress: None,
            first_progress: None,
            is_checkpointing: step.is_checkpointing,
            is_long_running: step.is_long_running,
            estimate_ms: step.estimate_ms,
            image,
            target_ms: step.latency_target_ms,
            tail_ms: 0.0,
            used_millicores: None,
            cpu_limit_percent: 100,
            first_cpu_limit_percent: None,
            limit_before_pause: None,
            previous_cpu_limit: (100, now),
        };
        let mut sessions = self.sessions.borrow_mut();
        let session = sessions
            .entry(on.worker.clone())
            .or_insert_with(|| Session::new(self.inherited_bound(&on.worker)));
        session
            .tally
            .add(&record.size, record.load, record.is_long_running);
        session.runs.insert(run);
        headroom::note_placed(self, &record);
        self.runs.borrow_mut().insert(run, record);
    }

    /// Removes a run that has ended and frees its capacity.
    pub fn remove_run(&self, run: &RunId) -> Option<RunRecord> {
        let record = self.runs.borrow_mut().swap_remove(run)?;
        if let Some(session) = self.sessions.borrow_mut().get_mut(&record.on.worker) {
            session
                .tally
                .remove(&record.size, record.load, record.is_long_running);
            session.runs.swap_remove(run);
        }
        headroom::note_ended(self, &record);
        self.wake.notify_one();
        Some(record)
    }

    /// Applies `change` to a worker's session; none if the worker is unknown.
    pub fn session<T>(&self, worker: &str, change: impl FnOnce(&mut Session) -> T) -> Option<T> {
        self.sessions.borrow_mut().get_mut(worker).map(change)
    }

    /// Applies `change` to the record of a run; none if the run is unknown.
    pub fn record<T>(&self, run: &RunId, change: impl FnOnce(&mut RunRecord) -> T) -> Option<T> {
        self.runs.borrow_mut().get_mut(run).map(change)
    }

    /// Records whether a run's end may be among those that its worker has not listed yet.
    pub fn set_awaits_ends(&self, run: &RunId, awaits_ends: bool) {
        self.record(run, |record| record.awaits_ends = awaits_ends);
    }

    /// Records that an incarnation of its worker has a run.
    pub fn note_confirmed(&self, run: &RunId) {
        self.record(run, |record| record.is_confirmed = true);
    }

    fn set_order(&self, run: &RunId, order: Order) {
        self.record(run, |record| record.known.order = order);
    }

    /// Removes a run that has ended, or never started, without an end reported by its worker, and
    /// journals it.
    pub fn note_lost(self: &Rc<Self>, cx: &Cx, run: RunId, why: Loss) {
        let Some(record) = self.remove_run(&run) else {
            return;
        };
        let is_unstarted = !record.known.has_started();
        log::info!(task:% = run.task, run = run.run.0, worker:% = record.on.worker, why:? = why, is_unstarted; "run lost");
        cx.metrics.runs_lost.inc();
        let lost = Event::Lost {
            run,
            why,
            is_unstarted,
        };
        drop(self.propose(cx, vec![lost]));
    }
}

/// Sends the start orders of runs once their placement is durable.
pub fn start_when_durable(cx: &Cx, owner: &Rc<Owner>, runs: Vec<RunId>, ticket: Ticket) {
    let (cx, owner) = (Rc::clone(cx), Rc::clone(owner));
    supervisor::spawn("starts", async move {
        if ticket.outcome().await != AppendOutcome::Durable {
            return;
        }
        let runs = start_order::drop_incomplete_gangs(&cx, &owner, runs).await;
        let starts = runs.into_iter().map(|run| start(&cx, &owner, run));
        futures::future::join_all(starts).await;
    });
}

async fn start(cx: &Cx, owner: &Rc<Owner>, run: RunId) {
    if owner.record(&run, |record| record.is_long_running) == Some(true) {
        check_worker(cx, owner, run).await;
    }
    let slot = start_order::acquire_slot(cx, owner, &run).await;
    let prepared = match start_order::prepare(cx, owner, run) {
        Ok(prepared) => prepared,
        Err(why) => {
            start_order::note_not_sent(cx, owner, &run, why);
            owner.note_lost(cx, run, Loss::NotStarted);
            return;
        }
    };
    let Prepared {
        address,
        worker,
        order,
        lease,
        reading,
    } = prepared;
    owner.set_order(&run, Order::InFlight);
    owner.session(&worker, |session| session.bound.note_sent(lease.ends_by));
    let sent_at = cx.clock.now();
    let placed = owner.record(&run, |record| (record.since, record.placed_on));
    let (placed_at, placed_on) = placed.unwrap_or((sent_at, None));
    let waited_ms = millis(sent_at.since(placed_at));
    cx.metrics.starts.inc();
    let outcome = cx.workers.start(&address, &worker, &order).await;
    drop(slot);
    let now = cx.clock.now();
    let took_ms = now.since(sent_at).as_millis() as u64;
    log::info!(task:% = run.task, run = run.run.0, worker:% = worker, token = order.token, waited_ms, took_ms, reading:?, placed_on:?, outcome:? = outcome; "start ordered");
    note_lease_call(cx, owner, &worker, (sent_at, lease), &outcome);
    match outcome {
        OrderOutcome::Done(clock) => {
            owner.session(&worker, |session| {
                session.note_order_clock(clock, sent_at, now)
            });
            owner.set_order(&run, Order::Answered(now));
            let first_cpu_limit = owner.record(&run, |record| record.first_cpu_limit_percent);
            if let Some(percent) = first_cpu_limit.flatten().filter(|percent| *percent < 100) {
                interference::set_cpu_limit(cx, owner, &worker, run, percent);
            }
            // The reply does not name the incarnation. Until a poll confirms the run, the next owner
            // would wait for a longest lease of a later one.
            let is_open = |record: &mut RunRecord| record.is_long_running && !record.is_confirmed;
            if owner.record(&run, is_open) == Some(true) {
                poll::poll_now(cx, owner, &worker).await;
            }
        }
        OrderOutcome::Refused(why) => {
            note_refused(cx, owner, &worker, why);
            owner.note_lost(cx, run, Loss::NotStarted);
        }
        OrderOutcome::Unsent(_) => {
            owner.session(&worker, |s| {
                s.unresponsive_since = s.unresponsive_since.or(Some(now))
            });
            owner.note_lost(cx, run, Loss::NotStarted);
        }
        OrderOutcome::Silent(_) => {
            cx.metrics.orders_unanswered.inc();
            owner.set_order(&run, Order::Unanswered);
            // No further task is placed on the worker until it has answered a call.
            owner.session(&worker, |s| {
                s.unresponsive_since = s.unresponsive_since.or(Some(now))
            });
            poll::poll_now(cx, owner, &worker).await;
        }
    }
}

/// Polls the worker of a run that is to be started, unless it answered just now. A start order to a
/// worker that has crashed gets no reply, and the task then waits for a longest lease of a later
/// incarnation, which may have executed the order.
async fn check_worker(cx: &Cx, owner: &Rc<Owner>, run: RunId) {
    let Some(worker) = owner.record(&run, |record| record.on.worker.clone()) else {
        return;
    };
    let now = cx.clock.now();
    let has_answered = owner.session(&worker, |session| {
        let age = session.clock.map(|(_, read_at)| now.since(read_at));
        age.is_some_and(|age| age < RECENT_ANSWER)
    });
    if has_answered == Some(false) {
        poll::poll_now(cx, owner, &worker).await;
    }
}

/// Updates the worker's lease bound by the outcome of a call that carried a lease.
pub fn note_lease_call<T>(
    cx: &Cx,
    owner: &Owner,
    worker: &str,
    (sent_at, lease): (Millis, Lease),
    outcome: &OrderOutcome<T>,
) {
    let now = cx.clock.now();
    owner.session(worker, |session| match outcome {
        OrderOutcome::Done(_) => {
            session.bound.note_answered(now);
            session.leased_until = session.leased_until.max(Some(lease.lasts_until));
        }
        // A worker may refuse an order and accept its lease all the same.
        OrderOutcome::Refused(_) => session.bound.note_answered(now),
        OrderOutcome::Unsent(_) => session.bound.note_no_effect(),
        OrderOutcome::Silent(_) => session.bound.note_unanswered(sent_at),
    });
}

fn note_refused(cx: &Cx, owner: &Rc<Owner>, worker: &str, why: Refusal) {
    let now = cx.clock.now();
    match why {
        Refusal::NewerOwner => suspension::note_newer_owner(cx, owner, worker),
        Refusal::Unhealthy => {
            owner.session(worker, |session| session.failures = (u32::MAX, now));
        }
        // The next poll finds the new incarnation and claims it.
        Refusal::OtherLife => {
            owner.session(worker, |session| {
                session.claimed = KnownIncarnation {
                    started_unix_ms: None,
                    since: Some(now),
                };
            });
        }
        Refusal::OldRun
        | Refusal::LeaseOver
        | Refusal::NoRoom
        | Refusal::NotApproved
        | Refusal::Malformed => {}
    }
}

/// Stops every run of a job.
pub fn stop_all_of(cx: &Cx, owner: &Rc<Owner>, job: JobId) {
    let runs = owner.runs.borrow();
    let of_job = runs.keys().filter(|run| run.task.job == job);
    let of_job: Vec<RunId> = of_job.copied().collect();
    drop(runs);
    for run in of_job {
        order_stop(cx, owner, run, "its job has ended");
    }
}

/// Stops the remaining live runs of a completed task: speculative copies, and runs that replaced
/// one that was given up but had completed the task.
pub fn stop_copies(cx: &Cx, owner: &Rc<Owner>, task: &TaskId) {
    let ledger = owner.ledger.borrow();
    let done = ledger.task(task).filter(|task| task.is_done);
    let live = done.into_iter().flat_map(|task| &task.live);
    let runs: Vec<RunId> = live
        .map(|live| RunId {
            task: *task,
            run: live.number,
        })
        .collect();
    drop(ledger);
    for run in runs {
        order_stop(cx, owner, run, "its task is completed");
    }
}

/// Sends stop orders for a run until its worker confirms one or the run has ended.
pub fn order_stop(cx: &Cx, owner: &Rc<Owner>, run: RunId, why: &'static str) {
    let before = owner.record(&run, |record| {
        std::mem::replace(&mut record.known.stop, Stop::InFlight)
    });
    if before != Some(Stop::No) {
        if let Some(before) = before {
            owner.record(&run, |record| record.known.stop = before);
        }
        return;
    }
    log::info!(task:% = run.task, run = run.run.0, why; "stop ordered");
    let (cx, owner) = (Rc::clone(cx), Rc::clone(owner));
    supervisor::spawn("stop", async move {
        while owner.is_serving() && owner.runs.borrow().contains_key(&run) {
            if stop_once(&cx, &owner, run).await {
                return;
            }
            tokio::time::sleep(STOP_RETRY).await;
        }
    });
}

async fn stop_once(cx: &Cx, owner: &Rc<Owner>, run: RunId) -> bool {
    let worker = owner.record(&run, |record| record.on.worker.clone());
    let Some(worker) = worker else {
        return true;
    };
    let address = owner.address_of(&worker);
    let Some(address) = address.filter(|_| owner.may_call(cx, &worker)) else {
        return false;
    };
    let sent_at = cx.clock.now();
    let outcome = cx.workers.stop(&address, &worker, run, owner.token()).await;
    let now = cx.clock.now();
    match outcome {
        OrderOutcome::Done(clock) => {
            owner.session(&worker, |session| {
                session.note_order_clock(clock, sent_at, now)
            });
            owner.record(&run, |record| record.known.stop = Stop::Confirmed(now));
            true
        }
        OrderOutcome::Refused(Refusal::NewerOwner) => {
            suspension::note_newer_owner(cx, owner, &worker);
            false
        }
        OrderOutcome::Refused(_) | OrderOutcome::Unsent(_) | OrderOutcome::Silent(_) => false,
    }
}

/// Stops a run that a worker lists but this owner does not have on that worker.
pub fn stop_unknown(cx: &Cx, owner: &Rc<Owner>, worker: &str, run: RunId) {
    if !owner.stopping_unknown.borrow_mut().insert(run) {
        return;
    }
    log::warn!(task:% = run.task, run = run.run.0, worker; "stopping unknown run");
    let (cx, owner, worker) = (Rc::clone(cx), Rc::clone(owner), worker.to_owned());
    supervisor::spawn("stop-unknown", async move {
        let address = owner.address_of(&worker);
        if let Some(address) = address.filter(|_| owner.may_call(&cx, &worker)) {
            // If this fails, the next poll lists the run again and another stop is sent.
            let stopped = cx.workers.stop(&address, &worker, run, owner.token());
            if stopped.await == OrderOutcome::Refused(Refusal::NewerOwner) {
                suspension::note_newer_owner(&cx, &owner, &worker);
            }
        }
        owner.stopping_unknown.borrow_mut().swap_remove(&run);
    });
}

/// Stops long-running and checkpointing tasks on a worker that is leaving, so that they restart
/// elsewhere. Other tasks are as likely to complete before the worker leaves as they would be
/// elsewhere.
pub fn stop_movable_runs(cx: &Cx, owner: &Rc<Owner>, worker: &str) {
    let runs = owner.runs.borrow();
    let here = runs.iter().filter(|(_, record)| record.on.worker == worker);
    let moved = here.filter(|(_, r)| r.is_long_running || r.is_checkpointing);
    let moved: Vec<RunId> = moved.map(|(run, _)| *run).collect();
    drop(runs);
    for run in moved {
        order_stop(cx, owner, run, "its worker is leaving");
    }
}

impl Owner {
    /// Notes that a task failed, stalled or overran its estimate on a worker: other workers are
    /// tried first, and a worker with several such failures in a row is suspect.
    pub fn note_misbehaved(&self, worker: &str, task: &TaskId, now: Millis) {
        self.session(worker, |session| {
            session.failures = (session.failures.0.saturating_add(1), now);
        });
        self.failed_on.borrow_mut().note(task, worker, now);
    }

    /// Closes the connections that are kept to workers.
    pub fn disconnect_workers(&self, cx: &Cx) {
        let sessions = self.sessions.borrow();
        for report in sessions.values().filter_map(|s| s.report.as_ref()) {
            cx.workers.disconnect(&report.address);
        }
    }

    /// Address of a worker; none if the directory has not reported it.
    pub fn address_of(&self, worker: &str) -> Option<String> {
        let sessions = self.sessions.borrow();
        let report = sessions.get(worker)?.report.as_ref()?;
        Some(report.address.clone())
    }
}
