//! Watches the tail latency of serving tasks, and throttles or stops best-effort tasks on their
//! hosts that interfere with them.

use super::{
    Owner, missed_alone,
    runs::{self, RunRecord},
    session::Departed,
    suspension,
    upkeep::MIN_JUDGED_CPU_LIMIT_PERCENT,
};
use crate::{
    core::time::Millis,
    daemon::supervisor,
    policy::dispatch::{
        interference::{Aggressor, Victim},
        mitigation::{self, Action, BestEffort, DecisionInputs, Serving},
        place::{Load, ServingGroup},
        utilisation::{self, UtilisationForecast},
    },
    sched::{
        Cx,
        edge::{OrderOutcome, PollResponse, Refusal},
        event::RunId,
        job::{Gang, StepId},
        resolution::{Order, Stop},
    },
};
use indexmap::IndexMap;
use std::{rc::Rc, time::Duration};

/// Tail latency starts to reflect the start or end of a task after this time, and reflects it fully
/// after [`EFFECT_FULL_AFTER`]: the reported value covers half a second and is smoothed.
const EFFECT_STARTS_AFTER: Duration = Duration::from_millis(200);
/// See [`EFFECT_STARTS_AFTER`].
pub(super) const EFFECT_FULL_AFTER: Duration = Duration::from_millis(900);
/// Expected duration of a best-effort task as a multiple of its estimate, until it reports
/// progress.
const DURATION_FACTOR: f64 = 1.3;
/// Least progress, in percent, from which the remaining time is extrapolated.
const MIN_PROGRESS_PERCENT: f64 = 5.0;
/// When a host's idle processors are computed, the load of a serving task is the maximum over this
/// many forecast points.
const LOAD_POINTS: usize = 3;
/// After a best-effort task was throttled or stopped, its host gets no other one for this long,
/// since tail latency still reflects the former state. Shorter than [`EFFECT_FULL_AFTER`], because
/// placement also uses the forecast; longer leaves hosts with free capacity empty.
const CLOSED_AFTER_MITIGATION: Duration = Duration::from_millis(400);
/// How long a host gets no best-effort tasks after all of them were stopped.
const CLOSED_AFTER_CLEARING: Duration = Duration::from_millis(3_000);

/// Updates the interference model with a worker's poll response, and mitigates interference on that
/// worker.
pub fn note_poll_response(
    cx: &Cx,
    owner: &Rc<Owner>,
    worker: &str,
    response: &PollResponse,
    sent_at: Millis,
    now: Millis,
) {
    note_tails(owner, worker, response, now);
    missed_alone::note(cx, owner, worker, response, sent_at, now);
    let over_for = note_overload(owner, worker, now);
    if missed_alone::pause_or_resume(cx, owner, worker) {
        return;
    }
    let (runs, best_effort, serving) = on_host(owner, worker, now);
    if serving.is_empty() {
        lift_cpu_limits(cx, owner, worker, &runs, &best_effort);
    }
    if best_effort.is_empty() || serving.is_empty() {
        return;
    }
    if over_for.is_some_and(|over| over >= cx.cfg.work.max_measured_overload()) {
        clear(cx, owner, worker, &runs, &best_effort, now);
        return;
    }
    let actions = {
        let model = owner.interference_model.borrow();
        let inputs = DecisionInputs {
            model: &model,
            now,
            timings: &cx.cfg.work,
        };
        mitigation::decide(&inputs, &serving, &best_effort)
    };
    for (at, action) in actions {
        act(cx, owner, worker, runs[at], action, now);
    }
}

/// Lifts the CPU limits of the best-effort runs on a worker where they disturb no serving task.
fn lift_cpu_limits(
    cx: &Cx,
    owner: &Rc<Owner>,
    worker: &str,
    runs: &[RunId],
    best_effort: &[BestEffort],
) {
    let limited = runs.iter().zip(best_effort);
    let limited = limited.filter(|(_, task)| task.cpu_limit_percent < 100 && !task.is_stopping);
    for (run, _) in limited {
        set_cpu_limit(cx, owner, worker, *run, 100);
    }
}

/// For how long a serving task on the worker has been over its latency target.
fn note_overload(owner: &Owner, worker: &str, now: Millis) -> Option<Duration> {
    let (mut sessions, runs) = (owner.sessions.borrow_mut(), owner.runs.borrow());
    let session = sessions.get_mut(worker)?;
    let known = &session.missed_alone;
    let tails = missed_alone::step_tails(&session.runs, &runs);
    let tails = tails.filter(|(step, _)| !known.contains(*step));
    session.overload.note(tails.map(|(_, tail)| tail), now)
}

/// Updates the interference model and the loads of serving tasks with the tail latencies of a poll
/// response.
fn note_tails(owner: &Owner, worker: &str, response: &PollResponse, now: Millis) {
    let beside = visible_aggressors(owner, worker, now);
    let mut runs = owner.runs.borrow_mut();
    let mut model = owner.interference_model.borrow_mut();
    if model.refit_if_due(now) {
        log::info!(shard:% = owner.handle.partition, period_s:? = model.period_s(); "period of serving loads");
    }
    let mut by_step: IndexMap<StepId, Tails> = IndexMap::new();
    for listed in &response.running {
        let Some(record) = runs.get_mut(&listed.run) else {
            continue;
        };
        record.note_use(listed.gauge, now);
        let Some(victim) = owner.victim(&listed.run, record) else {
            continue;
        };
        let tail_ms = listed.gauge as f64;
        // An unchanged value is taken for the same sample.
        let is_new = std::mem::replace(&mut record.tail_ms, tail_ms) != tail_ms;
        let step = by_step.entry(listed.run.task.step_id());
        let tails = step.or_insert_with(|| Tails::of(victim));
        tails.is_new |= is_new;
        tails.all_ms.push(tail_ms);
    }
    owner.session(worker, |session| {
        session.remove_residuals(|step| by_step.contains_key(step))
    });
    for (step, mut tails) in by_step.into_iter().filter(|(_, tails)| tails.is_new) {
        let residual = model.note(&mut tails.victim, &beside, &tails.all_ms, now);
        if let Some(residual) = residual {
            owner.session(worker, |session| session.note_residual(step, residual));
        }
        owner.loads.borrow_mut().insert(step, tails.victim.load);
    }
}

/// Tail latencies that a worker reports for the tasks of one step.
struct Tails {
    victim: Victim,
    all_ms: Vec<f64>,
    is_new: bool,
}

impl Tails {
    fn of(victim: Victim) -> Self {
        Self {
            victim,
            all_ms: Vec::new(),
            is_new: false,
        }
    }
}

/// Expected duration of a best-effort task, from its estimate.
pub fn expected_duration(estimate_ms: u64) -> Duration {
    Duration::from_millis(estimate_ms).mul_f64(DURATION_FACTOR)
}

/// How far tail latency at `now` reflects a change made at `since`, from 0 to 1.
fn reflected_share(since: Millis, now: Millis) -> f64 {
    let age = now
        .since(since)
        .saturating_sub(EFFECT_STARTS_AFTER)
        .as_secs_f64();
    let whole = (EFFECT_FULL_AFTER - EFFECT_STARTS_AFTER).as_secs_f64();
    (age / whole).min(1.0)
}

/// Aggressors on a host, including ended ones, each weighted by how far tail latency reflects it at
/// `now`.
fn visible_aggressors(owner: &Owner, worker: &str, now: Millis) -> Vec<Aggressor> {
    let capacity = capacity_of(owner, worker);
    let mut sessions = owner.sessions.borrow_mut();
    let Some(session) = sessions.get_mut(worker) else {
        return Vec::new();
    };
    session
        .departed
        .retain(|d| now.since(d.at) < EFFECT_FULL_AFTER);
    let departed = session.departed.iter().map(|departed| Aggressor {
        share: departed.aggressor.share * (1.0 - reflected_share(departed.at, now)),
        ..departed.aggressor
    });
    let mut beside: Vec<Aggressor> = departed.collect();
    let runs = owner.runs.borrow();
    let here = session.runs.iter().filter_map(|run| runs.get(run));
    beside.extend(here.filter_map(|record| record.visible_aggressor(capacity, now)));
    beside
}

fn capacity_of(owner: &Owner, worker: &str) -> u64 {
    let sessions = owner.sessions.borrow();
    let report = sessions.get(worker).and_then(|s| s.report.as_ref());
    report.map_or(0, |report| report.capacity.millicores)
}

impl Owner {
    /// Whether a best-effort run is throttled instead of stopped: stopped for the reason for which
    /// hosts had refused it, its job would have nothing running again.
    fn is_only_throttled(&self, run: &RunId, record: &RunRecord) -> bool {
        if record.first_cpu_limit_percent.is_none() {
            return false;
        }
        let ledger = self.ledger.borrow();
        let Some(job) = ledger.jobs.get(&run.task.job) else {
            return false;
        };
        let step = job.spec.steps.get(usize::from(run.task.step));
        step.is_some_and(|step| step.gang != Gang::No) || job.running() == 1
    }

    /// The run as a victim of interference, if it is a serving task of a known image.
    fn victim(&self, run: &RunId, record: &RunRecord) -> Option<Victim> {
        let target_ms = f64::from(record.target_ms?);
        let load = self.loads.borrow().get(&run.task.step_id()).copied();
        Some(Victim {
            image: record.image?,
            step: run.task.step_id().key(),
            target_ms,
            load: load.unwrap_or_default(),
        })
    }
}

impl RunRecord {
    /// Leaves the time under a CPU limit at which no progress is judged out of the time without
    /// progress.
    fn discount_limited_time(&mut self, now: Millis) {
        let (_, limited_at) = self.previous_cpu_limit;
        if self.cpu_limit_percent < MIN_JUDGED_CPU_LIMIT_PERCENT {
            let limited_for = now.since(limited_at);
            self.progress = self
                .progress
                .map(|(percent, at)| (percent, (at + limited_for).min(now)));
        }
    }

    /// Notes the processors that a best-effort task uses, once it has run unthrottled long enough.
    /// Tasks use two thirds or more of what they ask for, and interfere by what they use.
    fn note_use(&mut self, millicores: u64, now: Millis) {
        let is_settled =
            self.cpu_limit_percent == 100 && now.since(self.since) >= EFFECT_FULL_AFTER;
        if self.load == Load::BestEffort && is_settled && millicores > 0 {
            self.used_millicores = Some(millicores);
        }
    }

    /// Estimated time until the run ends if it is not throttled: from its progress, else from its
    /// estimate.
    fn remaining_time(&self, now: Millis) -> Duration {
        let usual = expected_duration(self.estimate_ms);
        let seen = self.first_progress.zip(self.progress);
        let Some(((first, began_at), (done, at))) = seen else {
            return usual.saturating_sub(now.since(self.since));
        };
        let todo = f64::from(100_u32.saturating_sub(done));
        let worked = f64::from(done.saturating_sub(first));
        let took = at.since(began_at);
        let remaining = match worked >= MIN_PROGRESS_PERCENT {
            true => took.mul_f64(todo / worked),
            false => usual.mul_f64(todo / 100.0),
        };
        remaining.saturating_sub(now.since(at))
    }

    /// The processors that it uses when not throttled, in thousandths; what it asks for until that
    /// is measured.
    fn unthrottled_millicores(&self) -> u64 {
        self.used_millicores.unwrap_or(self.size.millicores)
    }

    /// The run as an aggressor on a host with this capacity, if it is best-effort and its start was
    /// sent.
    pub fn aggressor(&self, millicores: u64) -> Option<Aggressor> {
        self.aggressor_at(millicores, self.cpu_limit_percent)
    }

    fn aggressor_at(&self, millicores: u64, cpu_limit_percent: u32) -> Option<Aggressor> {
        let image = self.image.filter(|_| self.load == Load::BestEffort)?;
        let is_there = !matches!(self.known.order, Order::NotSent);
        let used = self.unthrottled_millicores() as f64 * f64::from(cpu_limit_percent) / 100.0;
        is_there.then(|| Aggressor {
            image,
            share: used / millicores.max(1) as f64,
        })
    }
}

impl RunRecord {
    /// Like [`RunRecord::aggressor`], weighted by how far tail latency reflects its start and its
    /// last CPU limit.
    fn visible_aggressor(&self, millicores: u64, now: Millis) -> Option<Aggressor> {
        let at_full = self.aggressor_at(millicores, 100)?;
        let (before, at) = self.previous_cpu_limit;
        let changed = reflected_share(at, now);
        let cpu_limit_percent =
            f64::from(before) * (1.0 - changed) + f64::from(self.cpu_limit_percent) * changed;
        Some(Aggressor {
            share: at_full.share * cpu_limit_percent / 100.0 * reflected_share(self.since, now),
            ..at_full
        })
    }
}

/// The best-effort runs on a host with what mitigation needs to know of them, and its serving tasks
/// by step.
fn on_host(
    owner: &Owner,
    worker: &str,
    now: Millis,
) -> (Vec<RunId>, Vec<BestEffort>, Vec<Serving>) {
    let capacity = capacity_of(owner, worker);
    let (sessions, runs) = (owner.sessions.borrow(), owner.runs.borrow());
    let Some(session) = sessions.get(worker) else {
        return Default::default();
    };
    let (mut ids, mut best_effort) = (Vec::new(), Vec::new());
    let mut serving: IndexMap<StepId, Serving> = IndexMap::new();
    for (run, record) in session
        .runs
        .iter()
        .filter_map(|run| Some((run, runs.get(run)?)))
    {
        let victim = owner.victim(run, record);
        let victim = victim.filter(|victim| !session.missed_alone.contains(victim.step));
        if let Some(victim) = victim {
            let step = run.task.step_id();
            let group = serving.entry(step).or_insert_with(|| Serving {
                victim,
                tasks: 0,
                residual: session.residual(&step),
            });
            group.tasks += 1;
        }
        let Some(image) = record.image.filter(|_| record.load == Load::BestEffort) else {
            continue;
        };
        ids.push(*run);
        best_effort.push(BestEffort {
            image,
            share: record.unthrottled_millicores() as f64 / capacity.max(1) as f64,
            cpu_limit_percent: record.cpu_limit_percent,
            is_checkpointing: record.is_checkpointing,
            is_stopping: record.known.stop != Stop::No,
            is_only_throttled: owner.is_only_throttled(run, record),
            ran: now.since(record.since),
            remaining: record.remaining_time(now),
        });
    }
    (ids, best_effort, serving.into_values().collect())
}

/// Serving tasks on a host, by step, with their utilisation forecast, for the placement of further
/// tasks.
pub fn serving_groups(
    owner: &Owner,
    worker: &str,
    millicores: u64,
    now: Millis,
) -> Vec<ServingGroup> {
    let (sessions, runs) = (owner.sessions.borrow(), owner.runs.borrow());
    let Some(session) = sessions.get(worker) else {
        return Vec::new();
    };
    let model = owner.interference_model.borrow();
    let here = session
        .runs
        .iter()
        .filter_map(|run| Some((run, runs.get(run)?)));
    let mut serving: IndexMap<StepId, ServingGroup> = IndexMap::new();
    let mut beside: Vec<(Aggressor, usize)> = Vec::new();
    for (run, record) in here {
        if let Some(aggressor) = record.planned_aggressor(millicores) {
            beside.push((
                aggressor,
                utilisation::points_within(record.remaining_time(now)),
            ));
        }
        let Some(victim) = owner.victim(run, record) else {
            continue;
        };
        let step = run.task.step_id();
        let group = serving.entry(step).or_insert_with(|| {
            let load = model.load_series(&victim, now);
            let residual = session.residual(&step);
            let limit = model.limit(&victim);
            ServingGroup {
                victim,
                millicores: 0,
                load: load[..LOAD_POINTS].iter().copied().fold(0.0, f64::max),
                forecast: UtilisationForecast::without_aggressors(
                    0,
                    limit,
                    load.map(|load| load + residual),
                ),
                misses_alone: session.missed_alone.contains(victim.step),
            }
        });
        group.millicores += record.size.millicores;
        group.forecast.tasks += 1;
    }
    for group in serving.values_mut() {
        for (aggressor, points) in &beside {
            let interference = model.interference(group.victim.image, aggressor);
            group.forecast.add_certain(interference, *points);
        }
    }
    serving.into_values().collect()
}

impl RunRecord {
    /// Like [`RunRecord::aggressor`] for a run that is not throttled, also before its start is
    /// sent.
    fn planned_aggressor(&self, millicores: u64) -> Option<Aggressor> {
        let image = self.image.filter(|_| self.load == Load::BestEffort)?;
        Some(Aggressor {
            image,
            share: self.unthrottled_millicores() as f64 / millicores.max(1) as f64,
        })
    }
}

fn act(cx: &Cx, owner: &Rc<Owner>, worker: &str, run: RunId, action: Action, now: Millis) {
    match action {
        Action::Stop => {
            close(owner, worker, now + CLOSED_AFTER_MITIGATION);
            owner.overdue.borrow_mut().note_interfered(run.task.job);
            runs::order_stop(cx, owner, run, "interferes with a serving task");
        }
        Action::LimitCpu(percent) => {
            let before = owner
                .runs
                .borrow()
                .get(&run)
                .map_or(100, |record| record.cpu_limit_percent);
            if percent < before {
                close(owner, worker, now + CLOSED_AFTER_MITIGATION);
            }
            owner.record(&run, |record| record.limit_before_pause = None);
            set_cpu_limit(cx, owner, worker, run, percent);
        }
    }
}

fn close(owner: &Owner, worker: &str, until: Millis) {
    owner.session(worker, |session| {
        session.best_effort_closed_until = session.best_effort_closed_until.max(until);
    });
}

/// Notes a run's end, since tail latency reflects the run for some time after it.
pub fn note_departure(owner: &Owner, worker: &str, record: &RunRecord, now: Millis) {
    let capacity = capacity_of(owner, worker);
    if let Some(aggressor) = record.aggressor(capacity) {
        owner.session(worker, |session| {
            session.departed.push(Departed { aggressor, at: now })
        });
    }
}

/// Orders a CPU limit for a best-effort run, in percent of what it asks for.
pub fn set_cpu_limit(cx: &Cx, owner: &Rc<Owner>, worker: &str, run: RunId, percent: u32) {
    if !owner.may_call(cx, worker) {
        return;
    }
    let now = cx.clock.now();
    let before = owner.runs.borrow_mut().get_mut(&run).map(|record| {
        record.discount_limited_time(now);
        record.previous_cpu_limit = (record.cpu_limit_percent, now);
        std::mem::replace(&mut record.cpu_limit_percent, percent)
    });
    let (Some(address), Some(before)) = (owner.address_of(worker), before) else {
        return;
    };
    cx.metrics.cpu_limit_orders.inc();
    log::info!(task:% = run.task, run = run.run.0, worker, before, percent; "pace ordered");
    let (cx, owner, worker) = (Rc::clone(cx), Rc::clone(owner), worker.to_owned());
    supervisor::spawn("pace", async move {
        let token = owner.token();
        let outcome = cx
            .workers
            .set_cpu_limit(&address, &worker, run, percent, token)
            .await;
        if outcome == OrderOutcome::Refused(Refusal::NewerOwner) {
            suspension::note_newer_owner(&cx, &owner, &worker);
        }
        if let Some(record) = owner.runs.borrow_mut().get_mut(&run) {
            match outcome {
                OrderOutcome::Done(_) if percent > 0 => record.limit_before_pause = None,
                OrderOutcome::Done(_) => {}
                // Without a confirmed order the old limit counts, so that a later poll response can
                // order it again.
                _ => record.cpu_limit_percent = before,
            }
        }
    });
}

/// Stops all best-effort tasks on a host, and keeps new ones away for [`CLOSED_AFTER_CLEARING`].
fn clear(
    cx: &Cx,
    owner: &Rc<Owner>,
    worker: &str,
    runs: &[RunId],
    best_effort: &[BestEffort],
    now: Millis,
) {
    log::warn!(worker, leftover = best_effort.len(); "tail latency stays over its target; stopping best-effort tasks of the host");
    let until = now + CLOSED_AFTER_CLEARING;
    close(owner, worker, until);
    owner.session(worker, |session| session.cleared_until = until);
    for (run, aggressor) in runs.iter().zip(best_effort) {
        if !aggressor.is_stopping {
            act(cx, owner, worker, *run, Action::Stop, now);
        }
    }
}
