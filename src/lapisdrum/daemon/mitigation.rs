//! Interference and worker health, as a shard's owner estimates them from delayed measurements and
//! failures, and the mitigation: throttle a task, evict it, or eject a worker for some time.
//!
//! The decisions are made in [`crate::policy`]. This module reads usage, matches it with the tasks
//! that ran at the time of the measurement, and carries the decisions out. The estimates are not
//! durable: the next owner starts without them, since a ledger row per measurement would cost more
//! than they are worth.

use super::{Cx, polls, sessions, shard::Shard, supervisor};
use crate::{
    core::{
        catalogue::Class,
        id::{EntryName, JobId, WorkerId},
        job::Placement,
        time::Millis,
    },
    policy::{
        eviction::{Distress, EvictionHistory, HostTask, MitigationStep},
        health::{Health, Verdict, WorkerState},
        placement::RunningKind,
        slowdown::{History, Kind, Neighbour, Report, SlowdownModel},
    },
    timeline::event::Happening,
    worker::{
        client::CommandOutcome,
        wire::{ThrottleTask, Usage},
    },
};
use indexmap::{IndexMap, IndexSet};
use std::{rc::Rc, time::Duration};

/// Speed of a throttled task, in thousandths.
const THROTTLED_PERMILLE: u32 = 300;
/// Speed of a task that is not throttled, in thousandths.
const UNTHROTTLED_PERMILLE: u32 = 1_000;
/// Time before a measurement during which the tasks on the host must not have changed for the
/// measurement to be attributed to them: workers average over about this period.
const MIN_UNCHANGED: Duration = Duration::from_secs(1);
const WHOLE_PERMILLE: f64 = 1_000.0;

/// Estimates and mitigation state of one ownership of a shard.
#[derive(Debug, Default)]
pub struct MitigationState {
    /// Estimated slowdown between kinds of work that share a host.
    pub interference: SlowdownModel,
    /// Failure history of workers and jobs.
    pub health: Health,
    /// Recent evictions for mitigation, which limit further ones.
    pub memory: EvictionHistory,
    hosts: IndexMap<WorkerId, HostState>,
}

#[derive(Debug, Default)]
struct HostState {
    distress: Distress,
    history: History,
    throttled: IndexSet<JobId>,
    is_measuring: bool,
}

impl MitigationState {
    /// Whether a job may be placed on a worker. `is_empty`: no task is placed there.
    pub fn may_place(
        &self,
        job: &JobId,
        class: Class,
        worker: &WorkerId,
        is_empty: bool,
        now: Millis,
    ) -> bool {
        let in_distress = self
            .hosts
            .get(worker)
            .is_some_and(|host| host.distress.is_on());
        let is_healthy = match self.health.worker_state(worker, now) {
            WorkerState::Healthy => true,
            // A worker on probation gets one task at a time.
            WorkerState::Probation => is_empty,
            WorkerState::Ejected => false,
        };
        is_healthy
            && !(in_distress && class == Class::Batch)
            && self.memory.may_place(job, worker, now)
    }
}

/// Polls the workers' usage and mitigates interference until the shard is lost or released.
pub async fn watch(cx: &Cx, shard: &Rc<Shard>) {
    while shard.is_serving() {
        for (worker, address) in measurable(shard) {
            note_history(cx, shard, &worker);
            let is_measuring = with_host(shard, &worker, |host| {
                std::mem::replace(&mut host.is_measuring, true)
            });
            if !is_measuring {
                let (cx, shard) = (Rc::clone(cx), Rc::clone(shard));
                supervisor::spawn("worker-usage", async move {
                    measure(&cx, &shard, &worker, &address).await;
                    with_host(&shard, &worker, |host| host.is_measuring = false);
                });
            }
        }
        remove_stale(cx, shard);
        tokio::time::sleep(cx.cfg.shards.usage).await;
    }
}

fn measurable(shard: &Shard) -> Vec<(WorkerId, String)> {
    let sessions = shard.sessions.borrow();
    let answering = sessions
        .iter()
        .filter(|(_, s)| s.claimed && s.silent_since.is_none());
    answering
        .map(|(worker, session)| (worker.clone(), session.address.clone()))
        .collect()
}

fn with_host<T>(shard: &Shard, worker: &WorkerId, then: impl FnOnce(&mut HostState) -> T) -> T {
    let mut mitigation = shard.mitigation.borrow_mut();
    then(mitigation.hosts.entry(worker.clone()).or_default())
}

fn remove_stale(cx: &Cx, shard: &Shard) {
    let (members, now) = (cx.members.borrow(), cx.clock.now());
    let is_listed = |worker: &WorkerId| members.hosts.contains_key(worker);
    let mut mitigation = shard.mitigation.borrow_mut();
    mitigation.hosts.retain(|worker, _| is_listed(worker));
    mitigation.health.remove_expired(is_listed, now);
    mitigation.memory.forget_old(now);
}

/// Records what runs on a worker from now on, so that a delayed report is matched with the tasks of
/// its own time.
pub fn note_history(cx: &Cx, shard: &Shard, worker: &WorkerId) {
    let neighbours: Vec<Neighbour> = running_kinds(cx, shard, worker)
        .into_iter()
        .map(|running_kind| running_kind.neighbour)
        .collect();
    let placed: IndexSet<JobId> = sessions::placements_on(shard, worker)
        .into_iter()
        .map(|(job, _)| job)
        .collect();
    let now = cx.clock.now();
    with_host(shard, worker, |host| {
        host.throttled.retain(|job| placed.contains(job));
        match host.throttled.is_empty() {
            true => host.history.note(neighbours, now),
            false => host.history.note_throttled(now),
        }
    });
}

async fn measure(cx: &Cx, shard: &Rc<Shard>, worker: &WorkerId, address: &str) {
    let end = cx.workers.usage(address).await;
    let CommandOutcome::Done(usage, _) = end else {
        return;
    };
    if !shard.is_serving() {
        return;
    }
    let now = cx.clock.now();
    let measured_at = now.before(Duration::from_millis(usage.age_ms));
    update_estimates(shard, worker, &usage, measured_at);
    for step in steps(cx, shard, worker, &usage, measured_at) {
        apply_step(cx, shard, worker, address, step).await;
    }
}

/// Updates the interference estimates from slowdowns measured at `measured_at`. Skipped when the
/// tasks on the host changed shortly before.
fn update_estimates(shard: &Shard, worker: &WorkerId, usage: &Usage, measured_at: Millis) {
    let slowed = slowdowns(shard, usage);
    let mut mitigation = shard.mitigation.borrow_mut();
    let host = mitigation.hosts.get(worker);
    let present = host.and_then(|host| host.history.during(measured_at, MIN_UNCHANGED));
    let Some(present) = present.map(<[Neighbour]>::to_vec) else {
        return;
    };
    for (entry, slowdown_permille) in slowed {
        let kind = mitigation.interference.kind(&entry);
        let beside = without_one(&present, kind);
        mitigation.interference.note(&Report {
            kind,
            beside: &beside,
            slowdown_permille,
            measured_at,
        });
    }
}

/// Measured run times of tasks and requests relative to running alone, in thousandths, by entry.
fn slowdowns(shard: &Shard, usage: &Usage) -> Vec<(EntryName, u32)> {
    let state = shard.state();
    let tasks = usage.tasks.iter().filter_map(|task| {
        let job = state.jobs.get(&task.task)?;
        Some((job.entry.clone(), task.slowdown_permille))
    });
    let requests = usage.requests.iter().filter_map(|request| {
        let entry = EntryName::try_from(request.entry.as_str()).ok()?;
        Some((entry, request.slowdown_permille))
    });
    tasks.chain(requests).collect()
}

/// The neighbours of one task of `kind`: all of `present` except that task.
fn without_one(present: &[Neighbour], kind: Kind) -> Vec<Neighbour> {
    let others = present.iter().map(|neighbour| Neighbour {
        count: neighbour.count - u32::from(neighbour.kind == kind),
        ..*neighbour
    });
    others.filter(|neighbour| neighbour.count > 0).collect()
}

/// Mitigation steps that the eviction policy asks for on a host.
fn steps(
    cx: &Cx,
    shard: &Shard,
    worker: &WorkerId,
    usage: &Usage,
    measured_at: Millis,
) -> Vec<MitigationStep> {
    let max_slowdown = usage
        .requests
        .iter()
        .map(|request| request.slowdown_permille)
        .max();
    let max_slowdown = f64::from(max_slowdown.unwrap_or(UNTHROTTLED_PERMILLE)) / WHOLE_PERMILLE;
    let jobs = jobs_on(cx, shard, worker);
    let mut mitigation = shard.mitigation.borrow_mut();
    let added_slowdowns = added_slowdowns(&mut mitigation, &jobs, usage, measured_at);
    let MitigationState { memory, hosts, .. } = &mut *mitigation;
    let host = hosts.entry(worker.clone()).or_default();
    let catalogue = cx.catalogue.borrow();
    let rank = |placed_job: &PlacedJob| {
        let entry = catalogue.entry(&placed_job.entry);
        entry.map_or((Class::Batch, 0), |entry| (entry.class, entry.priority))
    };
    let ranks: Vec<(Class, u32)> = jobs.iter().map(rank).collect();
    let tasks: Vec<HostTask<'_>> = jobs
        .iter()
        .zip(&ranks)
        .zip(&added_slowdowns)
        .map(|((placed_job, (class, priority)), harm)| HostTask {
            job: &placed_job.job,
            class: *class,
            priority: *priority,
            unsaved: placed_job.unsaved,
            harm: *harm,
            throttled: host.throttled.contains(&placed_job.job),
        })
        .collect();
    host.distress
        .report(max_slowdown, measured_at, &tasks, memory, cx.clock.now())
}

/// A job that is placed on a worker.
struct PlacedJob {
    job: JobId,
    entry: EntryName,
    unsaved: Duration,
}

fn jobs_on(cx: &Cx, shard: &Shard, worker: &WorkerId) -> Vec<PlacedJob> {
    let now = cx.clock.now();
    let placed_job = |(job, placement): (JobId, Placement)| {
        let sent = shard.session(worker, |session| session.lease(&job, placement.attempt));
        let saved_at = sent.flatten().and_then(|sent| sent.checkpointed_at);
        Some(PlacedJob {
            entry: shard.job(&job)?.entry,
            unsaved: now.since(saved_at.unwrap_or(shard.since)),
            job,
        })
    };
    sessions::placements_on(shard, worker)
        .into_iter()
        .filter_map(placed_job)
        .collect()
}

/// Largest slowdown that each job adds to any of the measured latency-critical entries.
fn added_slowdowns(
    mitigation: &mut MitigationState,
    jobs: &[PlacedJob],
    usage: &Usage,
    at: Millis,
) -> Vec<f64> {
    let names = usage
        .requests
        .iter()
        .filter_map(|r| EntryName::try_from(r.entry.as_str()).ok());
    let serving_kinds: Vec<Kind> = names
        .map(|name| mitigation.interference.kind(&name))
        .collect();
    let harm = |placed_job: &PlacedJob| {
        let kind = mitigation.interference.kind(&placed_job.entry);
        let added = serving_kinds
            .iter()
            .map(|service| mitigation.interference.added(*service, kind, at));
        added.fold(0.0, f64::max)
    };
    jobs.iter().map(harm).collect()
}

async fn apply_step(
    cx: &Cx,
    shard: &Rc<Shard>,
    worker: &WorkerId,
    address: &str,
    step: MitigationStep,
) {
    match step {
        MitigationStep::Throttle(job) => {
            if set_speed(cx, shard, address, &job, THROTTLED_PERMILLE).await {
                with_host(shard, worker, |host| host.throttled.insert(job.clone()));
                note_history(cx, shard, worker);
                note_throttle(cx, &job, worker, THROTTLED_PERMILLE);
            }
        }
        MitigationStep::Release(job) => {
            if set_speed(cx, shard, address, &job, UNTHROTTLED_PERMILLE).await {
                with_host(shard, worker, |host| host.throttled.swap_remove(&job));
                note_throttle(cx, &job, worker, UNTHROTTLED_PERMILLE);
            }
        }
        // If the ledger can't record the eviction, the task would stay stopped until the table is
        // available.
        MitigationStep::Evict(job) if shard.can_write(cx) => {
            let now = cx.clock.now();
            shard.mitigation.borrow_mut().memory.note(&job, worker, now);
            polls::stop_running(cx, shard, worker, address, &job);
        }
        MitigationStep::Evict(_) => {}
    }
}

async fn set_speed(cx: &Cx, shard: &Shard, address: &str, job: &JobId, permille: u32) -> bool {
    let throttle = ThrottleTask {
        epoch: shard.epoch,
        permille,
    };
    let outcome = cx.workers.throttle(address, job, &throttle).await;
    matches!(outcome, CommandOutcome::Done(..))
}

fn note_throttle(cx: &Cx, job: &JobId, worker: &WorkerId, permille: u32) {
    cx.timeline.record(Happening::TaskThrottled {
        job: job.clone(),
        worker: worker.clone(),
        permille,
    });
}

/// Records a failed attempt. True when the job itself is at fault, so that another worker would not
/// help.
pub fn note_failure(
    cx: &Cx,
    shard: &Shard,
    worker: &WorkerId,
    job: &JobId,
    entry: &EntryName,
) -> bool {
    let pool = shard.sessions.borrow().len();
    let now = cx.clock.now();
    let verdict = shard
        .mitigation
        .borrow_mut()
        .health
        .failed(worker, job, entry, pool, now);
    if verdict == Verdict::WorkerEjected {
        cx.timeline.record(Happening::WorkerSetAside {
            worker: worker.clone(),
            reason: "it fails the tasks of several jobs".to_owned(),
        });
        log::warn!(
            "worker {worker} is ejected from task placement: it fails the tasks of several jobs"
        );
    }
    verdict == Verdict::JobAtFault
}

/// Records that a task succeeded on a worker.
pub fn note_success(shard: &Shard, worker: &WorkerId, job: &JobId, entry: &EntryName) {
    shard
        .mitigation
        .borrow_mut()
        .health
        .succeeded(worker, job, entry);
}

/// Tasks on a worker, counted by entry.
pub fn running_kinds(cx: &Cx, shard: &Shard, worker: &WorkerId) -> Vec<RunningKind> {
    let (state, index) = (shard.state(), shard.journal.index());
    let mut counts = IndexMap::new();
    for job in index.on_worker(worker).filter_map(|id| state.jobs.get(id)) {
        *counts.entry(&job.entry).or_insert(0_u32) += 1;
    }
    let catalogue = cx.catalogue.borrow();
    let mut mitigation = shard.mitigation.borrow_mut();
    let running_kind = |(entry, count)| RunningKind {
        neighbour: Neighbour {
            kind: mitigation.interference.kind(entry),
            count,
        },
        class: catalogue
            .entry(entry)
            .map_or(Class::Batch, |entry| entry.class),
    };
    counts.into_iter().map(running_kind).collect()
}
