//! Dispatch loop of a shard: collects startable tasks, ranks and places them with
//! [`crate::policy::dispatch`], journals the placements and orders the starts once these are
//! durable.

use super::{
    Owner,
    backlog::{self, WaitingStep},
    headroom, interference, kept_hosts,
    overdue::{self, Admitted, NotAdmitted},
    place_wait::{GangPlace, Pass, Placing},
    runs::{self, load_of},
    session::Session,
    shard_loads::{self, WaitingWork},
    sharing::{self, Sharing},
};
use crate::{
    core::{
        size::Size,
        time::{Millis, millis},
    },
    policy::dispatch::{
        ahead::{self, Turn},
        duration::DurationEstimates,
        fair_share::Claim,
        interference::Victim,
        order::{Rank, RankInputs},
        overdue::{OverdueTasks, admit, hosts_text, takes_any},
        place::{Host, Load, Need, choose, keep_for, reserved_by},
        refused::{self, Demand, Refusal, RefusedDemands},
        room::{Room, Shortage},
        short_work::Class,
    },
    sched::{
        Cx,
        edge::WorkerReport,
        event::{Event, RunId, WorkerIncarnation},
        job::{Gang, JobId, RunNumber, Step, StepId, TaskId},
        ledger::{Job, Ledger, Task},
    },
};
use indexmap::{IndexMap, IndexSet};
use std::{cmp::Reverse, rc::Rc, time::Duration};

/// Minimum time between two passes, so that capacity freed within it is used by one pass.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time between two passes. Occurrences that fall due and objectives that pass do not wake
/// the loop.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(100);

/// A step with tasks that may start.
pub struct StartableStep {
    rank: Rank,
    /// Id of the step.
    pub step: StepId,
    /// Indices of the tasks.
    pub tasks: Vec<u32>,
    /// How they use resources.
    pub(super) load: Load,
    /// For short tasks: their class, and the sum of what they ask for in thousandths of a core.
    short: Option<(Class, u64)>,
    age_ms: u64,
    /// Time by which the job may be delayed and still be on time, in milliseconds.
    pub slack_ms: u64,
    /// What the step claims against other callers, where these share capacity.
    pub(super) claim: Option<Claim>,
}

impl StartableStep {
    /// Logs why no host takes its tasks, if the pass determined that.
    fn note_wait(&self, owner: &Owner, shortage: Option<&Shortage>, hosts: &[Host], now: Millis) {
        let Some(shortage) = shortage else {
            return;
        };
        let step = WaitingStep {
            step: self.step,
            tasks: self.tasks.len(),
            load: self.load,
        };
        backlog::note_wait(owner, &step, shortage, || Room::of(hosts), now);
    }
}

/// Runs dispatch passes until the shard is lost.
pub async fn run(cx: Cx, owner: Rc<Owner>) {
    while owner.is_serving() {
        if owner.may_place(&cx) {
            pass(&cx, &owner);
        }
        let _ = tokio::time::timeout(MAX_PASS_INTERVAL, owner.wake.notified()).await;
        tokio::time::sleep(MIN_PASS_INTERVAL).await;
    }
}

impl Owner {
    /// Whether tasks may be placed: the shard is recovered, start orders may be sent, the list of
    /// workers is recent, and the journal keeps up with appends.
    pub fn may_place(&self, cx: &Cx) -> bool {
        let may_start = self.is_recovered() && self.may_start(cx);
        may_start && self.worker_list.is_recent(cx) && self.journal.accepts_work(cx.clock.now())
    }

    /// The workers to which new tasks may be sent.
    pub fn open_workers(&self, cx: &Cx) -> Vec<Rc<WorkerReport>> {
        let sessions = self.sessions.borrow();
        let unlisted = sessions
            .iter()
            .filter(|(worker, _)| !self.is_listed(worker));
        let open = unlisted.filter_map(|(_, session)| session.open_for_tasks().ok());
        let open = open.filter(|report| cx.allows_starts_in(&report.data_centre));
        open.cloned().collect()
    }

    /// Whether all workers of the shard are in evacuated data centres, so that nothing can be
    /// started.
    pub fn is_evacuated(&self, cx: &Cx) -> bool {
        let (sessions, evacuations) = (self.sessions.borrow(), cx.evacuations.borrow());
        let mut registered = sessions
            .values()
            .filter(|session| session.is_registered)
            .filter_map(|session| session.report.as_ref())
            .peekable();
        registered.peek().is_some()
            && registered.all(|report| evacuations.is_evacuated(&report.data_centre))
    }
}

enum PlaceOutcome {
    /// All tasks of the step are placed.
    All,
    /// Some tasks are not placed.
    Partial {
        /// Why, if the pass determined that.
        why: Option<Shortage>,
        /// Whether only the step's own limit on the tasks of a worker, or a wait for a near place,
        /// may have decided that.
        is_at_limit: bool,
    },
}

fn pass(cx: &Cx, owner: &Rc<Owner>) {
    let mut waiting = collect(cx, owner);
    if waiting.is_empty() {
        owner.overdue.borrow_mut().end_pass(&owner.active.borrow());
        kept_hosts::note(owner, &[], cx.clock.now());
        sharing::note_pass(cx, owner, &[], &[]);
        return;
    }
    waiting.sort_by_key(|waiting| waiting.rank);
    let waiting = sharing::by_share(cx, owner, waiting);
    let reports = owner.open_workers(cx);
    let mut hosts = hosts_of(cx, owner, &reports);
    let placed = place_all(cx, owner, &waiting, &reports, &mut hosts);
    let mut backlog = owner.backlog.borrow_mut();
    backlog.end(cx, owner, || Room::of(&hosts));
    drop(backlog);
    kept_hosts::note(owner, &hosts, cx.clock.now());
    if shard_loads::is_due(cx, owner) {
        let work = waiting_work(owner, &waiting, &placed);
        shard_loads::note_pass(cx, owner, work, &hosts);
    }
    if placed.is_empty() {
        return;
    }
    commit(cx, owner, placed);
}

/// Makes the digest of the shard's load without placing anything.
pub(super) fn note_load(cx: &Cx, owner: &Owner) {
    let waiting = collect(cx, owner);
    let reports = owner.open_workers(cx);
    let hosts = hosts_of(cx, owner, &reports);
    shard_loads::note_pass(cx, owner, waiting_work(owner, &waiting, &[]), &hosts);
}

/// Work of the steps that a pass left waiting, without long-running tasks.
fn waiting_work(owner: &Owner, waiting: &[StartableStep], placed: &[Placed]) -> Vec<WaitingWork> {
    let mut done: IndexMap<StepId, usize> = IndexMap::new();
    for (run, _) in placed {
        *done.entry(run.task.step_id()).or_default() += 1;
    }
    let ledger = owner.ledger.borrow();
    let work = waiting.iter().filter_map(|waiting| {
        let job = &ledger.jobs[&waiting.step.job];
        let spec = &job.spec.steps[usize::from(waiting.step.step)];
        let class = shard_loads::class_of(&job.terms, spec)?;
        let placed = done.get(&waiting.step).copied().unwrap_or_default();
        let left = waiting.tasks.len().saturating_sub(placed) as u64;
        Some((class, spec.size.millicores * left, waiting.age_ms))
    });
    work.collect()
}

/// Places as many tasks of the waiting steps as fit, in the order of the steps.
fn place_all(
    cx: &Cx,
    owner: &Owner,
    waiting: &[StartableStep],
    reports: &[Rc<WorkerReport>],
    hosts: &mut Vec<Host>,
) -> Vec<Placed> {
    let now = cx.clock.now();
    let (mut placed, mut placed_of) = (Vec::new(), vec![0; waiting.len()]);
    let ledger = owner.ledger.borrow();
    let mut refused = RefusedDemands::default();
    owner.backlog.borrow_mut().begin();
    let mut waits = Pass::new(cx, owner);
    let short = waiting.iter().filter_map(|waiting| waiting.short.as_ref());
    headroom::note_waiting(owner, short, now);
    let mut gone_ahead = IndexSet::new();
    // In the same pass a usual turn would end like one ahead in which no host took a task.
    let mut in_vain = vec![false; waiting.len()];
    for turn in turns(owner, &ledger, waiting, now) {
        let (at, attempt) = match turn {
            Turn::Ahead(at) => (at, Attempt::Ahead),
            Turn::Usual(at) => (at, Attempt::Usual),
        };
        let is_ahead = attempt == Attempt::Ahead;
        let waiting = &waiting[at];
        let job = &ledger.jobs[&waiting.step.job];
        let may_place = !gone_ahead.contains(&waiting.step.job) && !in_vain[at];
        if may_place && (!is_ahead || may_go_ahead(owner, job, waiting)) {
            let len_before = placed.len();
            note_idle(owner, job, waiting, now);
            let demand = best_effort_demand(owner, job, waiting);
            let known = demand.as_ref().and_then(|demand| refused.find(demand));
            if let Some(known) = known {
                waiting.note_wait(owner, known.why.as_ref(), hosts, now);
            } else {
                let is_reason_due = backlog::is_reason_due(owner, &waiting.step, now);
                let outcome = place_step(
                    &mut waits,
                    waiting,
                    attempt,
                    reports,
                    hosts,
                    &mut placed,
                    is_reason_due,
                );
                if let PlaceOutcome::Partial { why, is_at_limit } = outcome {
                    waiting.note_wait(owner, why.as_ref(), hosts, now);
                    if let Some(demand) = demand.filter(|_| !is_at_limit) {
                        refused.add(Refusal { demand, why });
                    }
                }
            }
            let done = placed.len() - len_before;
            placed_of[at] += done;
            note_placed(cx, owner, waiting, job, done, is_ahead);
            if is_ahead && done > 0 {
                gone_ahead.insert(waiting.step.job);
            }
            in_vain[at] = is_ahead && done == 0;
        }
    }
    place_overdue(
        &mut waits,
        waiting,
        reports,
        hosts,
        &mut placed,
        &mut placed_of,
    );
    for (waiting, done) in waiting.iter().zip(&placed_of) {
        let left = waiting.tasks.len() - done;
        let mut backlog = owner.backlog.borrow_mut();
        backlog.note(waiting.load, *done, left, waiting.age_ms);
        let job = &ledger.jobs[&waiting.step.job];
        if left > 0 && !is_long_running(job, &waiting.step) {
            owner.overdue.borrow_mut().note_left(waiting.step.job);
        }
    }
    waits.end();
    drop(ledger);
    owner.overdue.borrow_mut().end_pass(&owner.active.borrow());
    sharing::note_pass(cx, owner, waiting, &placed_of);
    placed
}

fn is_long_running(job: &Job, step: &StepId) -> bool {
    job.spec.steps[usize::from(step.step)].is_long_running
}

/// The turns of the waiting steps: jobs that have had nothing running for too long go ahead with one
/// task.
fn turns(owner: &Owner, ledger: &Ledger, waiting: &[StartableStep], now: Millis) -> Vec<Turn> {
    let overdue = owner.overdue.borrow();
    let steps = waiting.iter().map(|waiting| {
        let job = &ledger.jobs[&waiting.step.job];
        let is_idle = job.running() == 0 && !is_long_running(job, &waiting.step);
        let waits_for = is_idle.then(|| overdue.waits_for(waiting.step.job, now));
        (waiting.rank, waits_for.flatten())
    });
    ahead::turns(steps)
}

fn may_go_ahead(owner: &Owner, job: &Job, waiting: &StartableStep) -> bool {
    let overdue = owner.overdue.borrow();
    overdue.may_go_ahead(&job.terms.pool, waiting.load)
}

/// Notes that a job has startable short or best-effort tasks and nothing running, if so.
fn note_idle(owner: &Owner, job: &Job, waiting: &StartableStep, now: Millis) {
    let is_bounded = waiting.load == Load::BestEffort || !is_long_running(job, &waiting.step);
    if is_bounded && job.running() == 0 {
        let mut overdue = owner.overdue.borrow_mut();
        overdue.note_idle(waiting.step.job, now);
    }
}

/// How a pass tries to place tasks of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attempt {
    /// All of them, where hosts take them.
    Usual,
    /// One of them, ahead of other jobs.
    Ahead,
    /// One of them, on a host that refuses it.
    Overdue,
}

/// Admits tasks of overdue jobs of which the pass has placed none, those with nothing running for
/// longest first. All other tasks are placed before, so that an overdue one takes no place from
/// them.
fn place_overdue(
    waits: &mut Pass,
    waiting: &[StartableStep],
    reports: &[Rc<WorkerReport>],
    hosts: &mut Vec<Host>,
    placed: &mut Vec<Placed>,
    placed_of: &mut [usize],
) {
    let (owner, now) = (waits.owner, waits.now);
    let ledger = owner.ledger.borrow();
    let idle_for = |step: &StepId| owner.overdue.borrow().idle_for(step.job, now);
    let steps = waiting.iter().enumerate();
    let steps = steps.filter(|(_, waiting)| waiting.load == Load::BestEffort);
    let idle = steps.filter_map(|(at, waiting)| Some((idle_for(&waiting.step)?, at)));
    let mut idle: Vec<(Duration, usize)> = idle.collect();
    idle.sort_by_key(|(idle_for, _)| Reverse(*idle_for));
    let mut refused = RefusedDemands::default();
    let mut full_pools: IndexMap<&str, Rc<str>> = IndexMap::new();
    for (_, at) in idle {
        let waiting = &waiting[at];
        if idle_for(&waiting.step).is_none() {
            continue;
        }
        let job = &ledger.jobs[&waiting.step.job];
        let pool = job.terms.pool.as_str();
        if !full_pools.contains_key(pool) && !takes_any(pool, hosts) {
            full_pools.insert(pool, hosts_text(pool, hosts).to_string().into());
        }
        if let Some(hosts) = full_pools.get(pool) {
            let why = NotAdmitted::NoHostTakesOne(Rc::clone(hosts));
            owner
                .overdue
                .borrow_mut()
                .note_not_admitted(waiting.step.job, why, now);
            continue;
        }
        let demand = best_effort_demand(owner, job, waiting);
        let known = demand.as_ref().and_then(|demand| refused.find(demand));
        let len_before = placed.len();
        if known.is_none() {
            let outcome = place_step(
                waits,
                waiting,
                Attempt::Overdue,
                reports,
                hosts,
                placed,
                false,
            );
            if let (PlaceOutcome::Partial { is_at_limit, .. }, Some(demand)) = (outcome, demand)
                && !is_at_limit
                && placed.len() == len_before
            {
                refused.add(Refusal { demand, why: None });
            }
        }
        let done = placed.len() - len_before;
        placed_of[at] += done;
        let mut overdue = owner.overdue.borrow_mut();
        match done {
            0 => overdue.note_not_admitted(waiting.step.job, NotAdmitted::Refused, now),
            _ => overdue.note_placed(waiting.step.job, false),
        }
    }
}

/// Notes that the pass has placed so many tasks of a step, and logs those that went ahead.
fn note_placed(
    cx: &Cx,
    owner: &Owner,
    waiting: &StartableStep,
    job: &Job,
    placed: usize,
    is_ahead: bool,
) {
    if placed == 0 {
        return;
    }
    let mut overdue = owner.overdue.borrow_mut();
    if is_ahead {
        let waits_for = overdue.waits_for(waiting.step.job, cx.clock.now());
        cx.metrics.starts_ahead.inc_by(placed as u64);
        log::info!(
            step:% = waiting.step,
            shard:% = owner.handle.partition,
            load:? = waiting.load,
            priority = job.terms.priority,
            tasks = placed,
            waited_ms = waits_for.map_or(0, millis),
            age_ms = waiting.age_ms;
            "job with nothing running goes ahead"
        );
    }
    if !is_long_running(job, &waiting.step) {
        overdue.note_starts(&job.terms.pool, waiting.load, placed, is_ahead);
    }
    overdue.note_placed(waiting.step.job, is_ahead);
}

/// Steps with interrupted long-running tasks that may start, in the order in which passes place
/// them, and the number of these tasks.
pub(super) fn interrupted_steps(cx: &Cx, owner: &Owner) -> Vec<(StepId, u64)> {
    let ledger = owner.ledger.borrow();
    let count = |waiting: StartableStep| {
        let job = &ledger.jobs[&waiting.step.job];
        let spec = &job.spec.steps[usize::from(waiting.step.step)];
        let tasks = interrupted(job, &waiting.step, spec, &waiting.tasks);
        (waiting.rank, waiting.step, tasks as u64)
    };
    let mut steps: Vec<_> = collect(cx, owner).into_iter().map(count).collect();
    steps.retain(|(_, _, tasks)| *tasks > 0);
    steps.sort_by_key(|(rank, _, _)| *rank);
    let steps = steps.into_iter();
    steps.map(|(_, step, tasks)| (step, tasks)).collect()
}

fn collect(cx: &Cx, owner: &Owner) -> Vec<StartableStep> {
    let now_unix_ms = cx.unix_ms();
    let ledger = owner.ledger.borrow();
    let (active, durations) = (owner.active.borrow(), owner.durations.borrow());
    let mut sharing = owner.sharing.borrow_mut();
    let mut waiting = Vec::new();
    for id in active.iter() {
        // A job must have no effect before its acceptance is durable.
        if owner.accepting.borrow().contains_key(id) {
            continue;
        }
        if let Some(job) = ledger.jobs.get(id) {
            let sharing = sharing::is_on(cx).then_some(&mut *sharing);
            collect_job(*id, job, &durations, sharing, now_unix_ms, &mut waiting);
        }
    }
    waiting
}

fn collect_job(
    id: JobId,
    job: &Job,
    durations: &DurationEstimates,
    mut sharing: Option<&mut Sharing>,
    now_unix_ms: u64,
    waiting: &mut Vec<StartableStep>,
) {
    let refused_before_ms = sharing.as_ref().map_or(0, |s| s.refused_before_ms(id));
    let chains = job.spec.chains_ms();
    let chain_ms = chains.iter().copied().max().unwrap_or_default();
    for occurrence in job.startable_occurrences(now_unix_ms) {
        let due = job.spec.due_unix_ms(occurrence);
        let due = due.unwrap_or(job.accepted_unix_ms);
        let first = waiting.len();
        for (at, spec) in job.spec.steps.iter().enumerate() {
            let step = StepId {
                job: id,
                occurrence,
                step: at as u16,
            };
            let tasks = startable(job, &step, spec);
            if tasks.is_empty() || !job.may_start(occurrence, at) {
                continue;
            }
            let inputs = RankInputs {
                priority: job.terms.priority,
                is_long_running: spec.is_long_running,
                is_interrupted: interrupted(job, &step, spec, &tasks) > 0,
                age_ms: now_unix_ms.saturating_sub(due) + refused_before_ms,
                objective_ms: job.terms.objective_ms(chain_ms),
                chain_ms: durations.expected_ms(&job.terms.queue, chains[at]),
                is_in_progress: job.occurrences.contains_key(&occurrence),
            };
            let millicores = spec.size.millicores * tasks.len() as u64;
            let class = headroom::short_class(&job.terms, spec);
            let rank = inputs.rank();
            let claim = sharing.as_mut();
            let claim = claim.map(|sharing| {
                let is_first = waiting.len() == first;
                sharing.claim(job, &step, rank, tasks.len(), is_first)
            });
            waiting.push(StartableStep {
                rank,
                claim,
                step,
                tasks,
                load: load_of(spec),
                short: class.map(|class| (class, millicores)),
                age_ms: inputs.age_ms,
                slack_ms: inputs.slack_ms(),
            });
        }
    }
}

/// The first step of a job with tasks that may start at this time.
pub(super) fn first_startable(id: JobId, job: &Job, now_unix_ms: u64) -> Option<StepId> {
    let occurrences = job.startable_occurrences(now_unix_ms).into_iter();
    let mut steps = occurrences.flat_map(|occurrence| {
        let steps = job.spec.steps.iter().enumerate();
        steps.map(move |(at, spec)| {
            let step = StepId {
                job: id,
                occurrence,
                step: at as u16,
            };
            (step, spec)
        })
    });
    let may_start = |(step, spec): &(StepId, &Step)| {
        let is_turn = job.may_start(step.occurrence, usize::from(step.step));
        is_turn && !startable(job, step, spec).is_empty()
    };
    steps.find(may_start).map(|(step, _)| step)
}

/// Indices of the tasks that are not done, have no live run and are not delegated to another shard.
fn startable(job: &Job, step: &StepId, spec: &Step) -> Vec<u32> {
    let Some(state) = job.step(step) else {
        return (0..spec.count).collect();
    };
    if state.done + state.running >= spec.count {
        return Vec::new();
    }
    let is_free = |task: &Task| !task.is_done && task.live.is_empty() && task.elsewhere.is_none();
    let free = state.tasks.iter().enumerate().filter(|(_, t)| is_free(t));
    let free: Vec<u32> = free.map(|(at, _)| at as u32).collect();
    // All tasks of a gang start together, once none of its last run is alive.
    if spec.gang != Gang::No && free.len() < spec.count as usize {
        return Vec::new();
    }
    free
}

/// The workers as hosts for tasks.
pub(super) fn hosts_of<'a>(
    cx: &Cx,
    owner: &Owner,
    reports: &'a [Rc<WorkerReport>],
) -> Vec<Host<'a>> {
    let now = cx.clock.now();
    let sessions = owner.sessions.borrow();
    let host = |report: &'a Rc<WorkerReport>| {
        let session = &sessions[&report.incarnation.worker];
        Host {
            id: &report.incarnation.worker,
            pool: &report.pool,
            rack: report.rack.as_deref(),
            labels: &report.labels,
            capacity: report.capacity,
            reserved: session.tally.reserved,
            long_running: session.tally.long_running,
            best_effort_millicores: session.tally.best_effort_millicores,
            serving: interference::serving_groups(
                owner,
                &report.incarnation.worker,
                report.capacity.millicores,
                now,
            ),
            is_open_for_best_effort: now >= session.best_effort_closed_until,
            overdue: overdue_tasks(owner, session, now),
            of_step: 0,
            is_suspect: session.is_suspect(now),
            is_avoided: false,
            kept: None,
            kept_for: Size::ZERO,
        }
    };
    reports.iter().map(host).collect()
}

/// Whether the worker takes an overdue task, by those that it runs.
fn overdue_tasks(owner: &Owner, session: &Session, now: Millis) -> OverdueTasks {
    if now < session.cleared_until {
        return OverdueTasks::Cleared;
    }
    if session.missed_alone.is_paused() {
        return OverdueTasks::Paused;
    }
    let runs = owner.runs.borrow();
    let here = session.runs.iter().filter_map(|run| runs.get(run));
    let limits = here.filter_map(|record| {
        let first = record.first_cpu_limit_percent?;
        Some((first, record.cpu_limit_percent))
    });
    limits.fold(OverdueTasks::None, |so_far, (first, limit)| {
        match first < 100 && limit < 100 || so_far == OverdueTasks::Limited {
            true => OverdueTasks::Limited,
            false => OverdueTasks::Unlimited,
        }
    })
}

/// A run and the worker that it is placed on.
type Placed = (RunId, WorkerIncarnation);

fn need_of<'a>(owner: &Owner, job: &'a Job, spec: &'a Step, step: &StepId) -> Need<'a> {
    let name = spec.image.as_ref();
    let image = name.map(|name| owner.interference_model.borrow_mut().image(name));
    Need {
        pool: &job.terms.pool,
        size: spec.size,
        load: load_of(spec),
        is_long_running: spec.is_long_running,
        required_label: spec.required_label.as_deref(),
        data_rack: spec.data_rack.as_deref(),
        max_per_worker: spec.max_per_worker,
        image,
        duration: interference::expected_duration(spec.estimate_ms),
        victim: image
            .zip(spec.latency_target_ms)
            .map(|(image, target_ms)| Victim {
                image,
                step: step.key(),
                target_ms: f64::from(target_ms),
                load: owner.loads.borrow().get(step).copied().unwrap_or_default(),
            }),
    }
}

/// Places tasks of a step; a gang is placed whole.
fn place_step(
    waits: &mut Pass,
    waiting: &StartableStep,
    attempt: Attempt,
    reports: &[Rc<WorkerReport>],
    hosts: &mut Vec<Host>,
    placed: &mut Vec<Placed>,
    is_reason_due: bool,
) -> PlaceOutcome {
    let (owner, now) = (waits.owner, waits.now);
    let ledger = owner.ledger.borrow();
    let job = &ledger.jobs[&waiting.step.job];
    let spec = &job.spec.steps[usize::from(waiting.step.step)];
    let mut need = need_of(owner, job, spec, &waiting.step);
    let model = owner.interference_model.borrow();
    let len_before = placed.len();
    count_step(job, &waiting.step, spec, hosts);
    let is_gang = spec.gang != Gang::No;
    let asked = need;
    let placing = Placing {
        waiting,
        spec,
        need: &asked,
    };
    let gang_place = waits.gang_place(placing, hosts, &model);
    match gang_place {
        GangPlace::Anywhere | GangPlace::Spread => {}
        GangPlace::Rack(rack) => need.data_rack = Some(rack),
        GangPlace::Waits => {
            return PlaceOutcome::Partial {
                why: None,
                is_at_limit: true,
            };
        }
    }
    let before = is_gang.then(|| (hosts.clone(), placed.len()));
    let number = |index: u32| next_run(job, &waiting.step, spec, index);
    let most = match attempt {
        Attempt::Ahead | Attempt::Overdue if !is_gang => 1,
        _ => waiting.tasks.len(),
    };
    // Hosts haven't refused the tasks beyond the limit.
    let (mut why, mut is_at_limit) = (None, most < waiting.tasks.len());
    let mut of_gang = Vec::new();
    let mut admitted: Vec<(Admitted, &str)> = Vec::new();
    let mut may_take = spec
        .is_long_running
        .then(|| headroom::free_for_long_running(owner, &job.terms, hosts));
    for (nth, index) in waiting.tasks.iter().enumerate().take(most) {
        let task = waiting.step.task(*index);
        let is_new = interrupted(job, &waiting.step, spec, &[*index]) == 0;
        let wanted = reserved_by(&need.size, need.load).millicores;
        if is_new && may_take.is_some_and(|left| left < wanted) {
            why = Some(Shortage::left_to_short(&need, hosts));
            continue;
        }
        mark_avoided(owner, &task, hosts, now);
        let admission = match choose(&need, hosts, &model) {
            Some(at) => Some((at, None)),
            None if attempt == Attempt::Overdue => {
                let admission = admit(&need, hosts, &model);
                admission.map(|admission| (admission.at, Some(admission)))
            }
            None => None,
        };
        let Some((at, admission)) = admission else {
            let unplaced = &waiting.tasks[nth..];
            let interrupted = interrupted(job, &waiting.step, spec, unplaced);
            keep_hosts(owner, &need, &waiting.step, interrupted, hosts);
            is_at_limit = refused::is_limit_reached(&need, hosts);
            if is_reason_due {
                why = Shortage::of(&need, hosts, &model);
            }
            break;
        };
        if admission.is_none() && waits.waits(placing, *index, at, hosts, &model) {
            is_at_limit = true;
            continue;
        }
        match is_gang {
            true => of_gang.push((*index, at)),
            false => waits.note_placed(placing, gang_place, *index, at, hosts),
        }
        if let Some(admission) = admission {
            let refused = Shortage::of(&need, hosts, &model);
            let task = Admitted {
                run: RunId {
                    task,
                    run: number(*index),
                },
                admission,
                refused: refused.map_or_else(String::new, |s| s.refusals_text().to_string()),
            };
            admitted.push((task, hosts[at].id));
            hosts[at].overdue = OverdueTasks::Limited;
        }
        hosts[at].take(&need, &model);
        hosts[at].of_step += 1;
        may_take = may_take.map(|left| left.saturating_sub(wanted));
        let run = RunId {
            task,
            run: number(*index),
        };
        placed.push((run, reports[at].incarnation.clone()));
    }
    if let Some((hosts_before, len)) = before
        && placed.len() - len < waiting.tasks.len()
    {
        *hosts = hosts_before.into_iter().collect();
        placed.truncate(len);
    } else {
        for (index, at) in of_gang {
            waits.note_placed(placing, gang_place, index, at, hosts);
        }
        if !admitted.is_empty() {
            overdue::note_admitted(waits.cx, owner, waiting.step.job, &admitted);
        }
    }
    match placed.len() - len_before == waiting.tasks.len() {
        true => PlaceOutcome::All,
        false => PlaceOutcome::Partial { why, is_at_limit },
    }
}

/// What a best-effort step with an image asks for; none for other steps.
fn best_effort_demand<'a>(
    owner: &Owner,
    job: &'a Job,
    waiting: &StartableStep,
) -> Option<Demand<'a>> {
    let spec = &job.spec.steps[usize::from(waiting.step.step)];
    let image = spec.image.as_deref()?;
    if waiting.load != Load::BestEffort {
        return None;
    }
    let need = need_of(owner, job, spec, &waiting.step);
    let together = match spec.gang {
        Gang::No => 1,
        Gang::AnyRack | Gang::SameRack => waiting.tasks.len(),
    };
    Some(Demand::new(&need, image, together))
}

/// How many of these tasks are long-running and have run before: their service is interrupted.
fn interrupted(job: &Job, step: &StepId, spec: &Step, tasks: &[u32]) -> usize {
    if !spec.is_long_running {
        return 0;
    }
    let first = RunNumber::default().next();
    let has_run = |index: &&u32| next_run(job, step, spec, **index) > first;
    tasks.iter().filter(has_run).count()
}

/// Keeps hosts free for this many tasks, up to the limit of [`keep_for`].
fn keep_hosts(owner: &Owner, need: &Need, step: &StepId, tasks: usize, hosts: &mut [Host]) {
    for _ in 0..tasks {
        let Some(at) = keep_for(need, hosts) else {
            return;
        };
        let mut kept_hosts = owner.kept_hosts.borrow_mut();
        kept_hosts.keep(hosts[at].id, *step, need.size);
    }
}

/// The number of a task's next run; all tasks of a gang have the same.
fn next_run(job: &Job, step: &StepId, spec: &Step, index: u32) -> RunNumber {
    let Some(state) = job.step(step) else {
        return RunNumber::default().next();
    };
    match spec.gang {
        Gang::No => state.tasks[index as usize].last_run.next(),
        Gang::AnyRack | Gang::SameRack => {
            let last = state.tasks.iter().map(|task| task.last_run).max();
            last.unwrap_or_default().next()
        }
    }
}

/// Sets how many tasks of the step each host runs, if the step limits that.
fn count_step(job: &Job, step: &StepId, spec: &Step, hosts: &mut [Host]) {
    for host in hosts.iter_mut() {
        host.of_step = 0;
    }
    if spec.max_per_worker.is_none() {
        return;
    }
    let Some(state) = job.step(step) else {
        return;
    };
    let mut counts: IndexMap<&str, u32> = IndexMap::new();
    for live in state.tasks.iter().flat_map(|task| &task.live) {
        *counts.entry(&live.on.worker).or_default() += 1;
    }
    for host in hosts.iter_mut() {
        host.of_step = counts.get(host.id).copied().unwrap_or_default();
    }
}

fn mark_avoided(owner: &Owner, task: &TaskId, hosts: &mut [Host], now: Millis) {
    let failed_on = owner.failed_on.borrow();
    let has_failed = failed_on.recent(task, now);
    for host in hosts {
        host.is_avoided = has_failed(host.id);
    }
}

fn commit(cx: &Cx, owner: &Rc<Owner>, placed: Vec<Placed>) {
    let events = placed.iter().map(|(run, on)| Event::Placed {
        run: *run,
        on: on.clone(),
    });
    let ticket = owner.propose(cx, events.collect());
    let now = cx.clock.now();
    let mut runs = Vec::with_capacity(placed.len());
    for (run, on) in placed {
        let cpu_limit = owner.overdue.borrow_mut().take_cpu_limit(&run);
        if owner.ledger.borrow().live(&run).is_none() {
            continue;
        }
        owner.add_placed(cx, run, &on);
        owner.record(&run, |record| record.first_cpu_limit_percent = cpu_limit);
        owner
            .started_at
            .borrow_mut()
            .entry(run.task.job)
            .or_insert(now);
        runs.push(run);
    }
    runs::start_when_durable(cx, owner, runs, ticket);
}
