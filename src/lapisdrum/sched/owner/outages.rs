//! Reports long-running tasks that do not run, and what each of them waits for.
//!
//! A task is down while its worker is silent, its start order is unanswered, no host admits it or
//! another shard has it. Callers see the same in all cases; the line of an outage gives the
//! evidence that the owner acts on and its age.

use super::Owner;
use crate::{
    core::time::{Millis, millis},
    policy::dispatch::place::Unfit,
    sched::{
        Cx,
        event::RunId,
        job::{JobId, StepId, TaskId},
        ledger::{Job, Task},
        resolution::{LeaseKind, Order, Stop},
    },
};
use indexmap::IndexMap;
use std::time::Duration;

/// Time from which a task that does not run is reported: longer than a stop and a start take.
const OVERDUE_AFTER: Duration = Duration::from_secs(3);
/// Minimum time between two lines about the same task.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of lines in one round.
const MAX_LINES_PER_ROUND: usize = 20;

/// What a long-running task that does not run waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WaitsFor {
    /// The end of every lease on a worker that does not answer.
    LeaseEnd,
    /// The write of its placement to the journal.
    Journal,
    /// The reply to its start order, or the resolution of an order without a reply.
    Start,
    /// The end of a run that is being stopped.
    Stop,
    /// Ends that its worker has not listed yet, one of which may be its own.
    Ends,
    /// A host that admits it.
    Host,
    /// The next pass of the dispatcher, which places nothing at present.
    Dispatcher,
    /// The confirmation of the shard to which it is delegated.
    OtherShard,
}

impl WaitsFor {
    /// All values, for metrics that show a zero for each.
    pub const ALL: [Self; 8] = [
        Self::LeaseEnd,
        Self::Journal,
        Self::Start,
        Self::Stop,
        Self::Ends,
        Self::Host,
        Self::Dispatcher,
        Self::OtherShard,
    ];
}

/// A task that does not run.
#[derive(Clone, Copy, Debug)]
struct Outage {
    /// When this owner first saw it down.
    since: Millis,
    waits_for: WaitsFor,
    /// Whether the task has run before.
    has_run: bool,
    /// What the last line said that it waits for, and when it was logged.
    logged: Option<(WaitsFor, Millis)>,
}

impl Outage {
    fn is_overdue(&self, now: Millis) -> bool {
        now.since(self.since) >= OVERDUE_AFTER
    }

    fn is_line_due(&self, waits_for: WaitsFor, now: Millis) -> bool {
        let is_news = |(logged, at): (WaitsFor, Millis)| {
            logged != waits_for && now.since(at) >= LINE_INTERVAL
        };
        self.is_overdue(now) && self.logged.is_none_or(is_news)
    }
}

/// The long-running tasks of a shard that do not run.
#[derive(Default)]
pub struct Outages {
    tasks: IndexMap<TaskId, Outage>,
}

impl Outages {
    /// Number of overdue tasks that have run before, by what they wait for.
    pub fn overdue(&self, now: Millis) -> IndexMap<WaitsFor, i64> {
        let mut counts = IndexMap::new();
        let overdue = self.tasks.values();
        for outage in overdue.filter(|outage| outage.has_run && outage.is_overdue(now)) {
            *counts.entry(outage.waits_for).or_default() += 1;
        }
        counts
    }
}

/// A task that does not run, as found in one round.
struct Down {
    task: TaskId,
    waits_for: WaitsFor,
    has_run: bool,
    /// The run that may be alive, if there is one.
    run: Option<RunId>,
}

/// Updates the outages, and logs those that are overdue and those that have ended.
pub fn note(cx: &Cx, owner: &Owner) {
    let now = cx.clock.now();
    let down = down(cx, owner);
    let mut outages = owner.outages.borrow_mut();
    let mut before = std::mem::take(&mut outages.tasks);
    let mut lines_left = MAX_LINES_PER_ROUND;
    for found in down {
        let mut outage = before.swap_remove(&found.task).unwrap_or(Outage {
            since: now,
            waits_for: found.waits_for,
            has_run: found.has_run,
            logged: None,
        });
        if lines_left > 0 && outage.is_line_due(found.waits_for, now) {
            lines_left -= 1;
            if outage.logged.is_none() && found.has_run {
                cx.metrics.long_running_outages.inc();
            }
            outage.logged = Some((found.waits_for, now));
            log_outage(cx, owner, &found, now.since(outage.since));
        }
        outage.waits_for = found.waits_for;
        outages.tasks.insert(found.task, outage);
    }
    let ended = before.iter().filter(|(_, outage)| outage.logged.is_some());
    for (task, outage) in ended.take(lines_left) {
        log_end(owner, task, outage, now);
    }
}

fn log_outage(cx: &Cx, owner: &Owner, found: &Down, down: Duration) {
    let now = cx.clock.now();
    let evidence = found.run.map(|run| run_evidence(cx, owner, &run));
    let evidence = evidence.unwrap_or_default();
    let refused = refusal(owner, &found.task.step_id());
    log::warn!(
        task:% = found.task,
        shard:% = owner.handle.partition,
        waits_for:? = found.waits_for,
        has_run = found.has_run,
        down_ms = millis(down),
        owned_ms = millis(now.since(owner.taken_at)),
        run = found.run.map(|run| run.run.0),
        worker = evidence.worker,
        order:? = evidence.order,
        stop:? = evidence.stop,
        silent_ms = evidence.silent_ms,
        is_confirmed = evidence.is_confirmed,
        last_lease:? = evidence.last_lease,
        ends_in_ms = evidence.ends_in_ms,
        refused:?;
        "long-running task does not run"
    );
}

/// What the owner knows of a run that may be alive, for a line about it.
#[derive(Clone, Debug, Default)]
pub(super) struct RunEvidence {
    /// The worker on which it was placed.
    pub worker: Option<String>,
    /// State of its start order.
    pub order: Option<Order>,
    /// State of its stop order.
    pub stop: Option<Stop>,
    /// Milliseconds since the worker stopped answering; 0 while it answers.
    pub silent_ms: Option<u64>,
    /// Whether an incarnation of the worker is known to have it.
    pub is_confirmed: bool,
    /// The kind of lease that ends last there.
    pub last_lease: Option<LeaseKind>,
    /// Milliseconds until that end.
    pub ends_in_ms: Option<u64>,
}

/// Returns what is known of a run.
pub(super) fn run_evidence(cx: &Cx, owner: &Owner, run: &RunId) -> RunEvidence {
    let now = cx.clock.now();
    let (runs, sessions) = (owner.runs.borrow(), owner.sessions.borrow());
    let record = runs.get(run);
    let worker = record.map(|record| record.on.worker.as_str());
    let session = worker.and_then(|worker| sessions.get(worker));
    let is_confirmed = record.is_some_and(|record| record.is_confirmed);
    let latest = session.map(|session| session.bound.latest_end(is_confirmed, &cx.cfg.leases));
    RunEvidence {
        worker: worker.map(str::to_owned),
        order: record.map(|record| record.known.order),
        stop: record.map(|record| record.known.stop),
        silent_ms: session.map(|session| session.unresponsive_ms(now)),
        is_confirmed,
        last_lease: latest.map(|(kind, _)| kind),
        ends_in_ms: latest.map(|(_, end)| millis(end.since(now))),
    }
}

fn log_end(owner: &Owner, task: &TaskId, outage: &Outage, now: Millis) {
    let ledger = owner.ledger.borrow();
    let is_here = |task: &Task| task.elsewhere.is_none() && !task.live.is_empty();
    let runs = ledger.task(task).is_some_and(is_here);
    let down_ms = millis(now.since(outage.since));
    log::info!(task:%, shard:% = owner.handle.partition, runs, down_ms, waited_for:? = outage.waits_for; "outage of a long-running task has ended");
}

/// Why hosts refused the step in the last pass that determined it.
fn refusal(owner: &Owner, step: &StepId) -> Option<Unfit> {
    let reasons = owner.wait_reasons.borrow();
    reasons.get(step).map(|(why, _)| *why)
}

fn down(cx: &Cx, owner: &Owner) -> Vec<Down> {
    let (ledger, active) = (owner.ledger.borrow(), owner.active.borrow());
    let accepting = owner.accepting.borrow();
    let accepted = active.iter().filter(|id| !accepting.contains_key(*id));
    let jobs = accepted.filter_map(|id| Some((*id, ledger.jobs.get(id)?)));
    let may_place = owner.may_place(cx);
    let down = jobs.flat_map(|(id, job)| down_of(owner, id, job, may_place));
    down.collect()
}

fn down_of(owner: &Owner, id: JobId, job: &Job, may_place: bool) -> Vec<Down> {
    let is_long_running = |step: u16| job.spec.steps[usize::from(step)].is_long_running;
    if !job.spec.steps.iter().any(|step| step.is_long_running) {
        return Vec::new();
    }
    let placed = job.tasks(id).filter(|(task, _)| {
        is_long_running(task.step) && job.may_start(task.occurrence, usize::from(task.step))
    });
    let placed = placed.filter_map(|(task_id, task)| {
        let (waits_for, run) = match (task.elsewhere, task.live.first()) {
            (Some(_), _) => {
                let is_open = owner.is_delegation_unconfirmed(job, task_id, task.last_run);
                (is_open.then_some(WaitsFor::OtherShard)?, None)
            }
            (None, None) => (waiting_for(may_place), None),
            (None, Some(live)) => {
                let run = RunId {
                    task: task_id,
                    run: live.number,
                };
                (run_waits_for(owner, &run)?, Some(run))
            }
        };
        // The first run counts once its worker may have started it.
        let is_unsent = waits_for == WaitsFor::Journal;
        Some(Down {
            task: task_id,
            waits_for,
            has_run: task.last_run.0 > u32::from(is_unsent),
            run,
        })
    });
    placed.chain(new_tasks(id, job, may_place)).collect()
}

/// Tasks of an unscheduled job of which none was placed yet.
fn new_tasks(id: JobId, job: &Job, may_place: bool) -> impl Iterator<Item = Down> + '_ {
    let is_new = job.occurrences.is_empty() && job.spec.schedule.is_none();
    let steps = job.spec.steps.iter().enumerate();
    let due =
        steps.filter(move |(_, step)| is_new && step.is_long_running && step.after.is_empty());
    due.flat_map(move |(at, step)| {
        (0..step.count).map(move |index| Down {
            task: TaskId {
                job: id,
                occurrence: 0,
                step: at as u16,
                index,
            },
            waits_for: waiting_for(may_place),
            has_run: false,
            run: None,
        })
    })
}

/// What a task without a run waits for.
pub(super) fn waiting_for(may_place: bool) -> WaitsFor {
    match may_place {
        true => WaitsFor::Host,
        false => WaitsFor::Dispatcher,
    }
}

/// What a run that may be alive waits for; `None` if its worker has confirmed it and answers.
pub(super) fn run_waits_for(owner: &Owner, run: &RunId) -> Option<WaitsFor> {
    let runs = owner.runs.borrow();
    let record = runs.get(run)?;
    let sessions = owner.sessions.borrow();
    let is_silent = sessions
        .get(&record.on.worker)
        .is_none_or(|session| session.is_silent());
    match (record.known.order, record.known.stop) {
        (Order::NotSent, _) => Some(WaitsFor::Journal),
        _ if is_silent => Some(WaitsFor::LeaseEnd),
        _ if record.awaits_ends => Some(WaitsFor::Ends),
        (_, Stop::InFlight | Stop::Confirmed(_)) => Some(WaitsFor::Stop),
        (Order::InFlight | Order::Unanswered | Order::Inherited { .. }, Stop::No) => {
            Some(WaitsFor::Start)
        }
        (Order::Answered(_), Stop::No) => None,
    }
}
