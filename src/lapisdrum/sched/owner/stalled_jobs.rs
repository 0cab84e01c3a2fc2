//! Reports accepted jobs of which nothing runs although a task's turn has come.
//!
//! Callers see the same whether hosts refuse the tasks, runs count as alive on workers that are
//! gone, or the shard places nothing at all. The line of a stalled job gives the evidence that the
//! owner acts on and its age. It covers all kinds of work; [`super::outages`] reports each
//! long-running task that is down, also where others of its job run.

use super::{
    Owner, dispatch,
    outages::{self, WaitsFor},
};
use crate::{
    core::time::{Millis, millis},
    policy::dispatch::{place::Unfit, room::Room},
    sched::{
        Cx,
        event::RunId,
        job::{JobId, StepId},
        ledger::Job,
    },
};
use indexmap::IndexMap;
use std::time::Duration;

/// Time without a run from which a job is reported: callers accept no longer one beside free
/// capacity.
const STALLED_AFTER: Duration = Duration::from_secs(3);
/// Minimum time between two lines about the same job.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of lines in one round: after a loss of all workers every job is stalled.
const MAX_LINES_PER_ROUND: usize = 20;

/// Why a shard places no tasks at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotPlacing {
    /// Its state is not recovered.
    Recovering,
    /// The store holds no row yet by which this owner may send leases.
    NoLeasesYet,
    /// Its lease is being released.
    Releasing,
    /// A worker has refused the owner's token.
    Suspended,
    /// The last renewal in the store is too old for start orders.
    RenewalOverdue,
    /// The list of workers is too old.
    OldList,
    /// The journal does not keep up with appends.
    JournalStalled,
}

impl Owner {
    /// Why no tasks are placed; none while some may be.
    pub fn not_placing(&self, cx: &Cx) -> Option<NotPlacing> {
        if self.may_place(cx) {
            return None;
        }
        Some(if !self.is_recovered() {
            NotPlacing::Recovering
        } else if self.is_releasing() {
            NotPlacing::Releasing
        } else if self.is_suspended() {
            NotPlacing::Suspended
        } else if !self.may_have_sent_leases() {
            NotPlacing::NoLeasesYet
        } else if !self.may_start(cx) {
            NotPlacing::RenewalOverdue
        } else if !self.worker_list.is_recent(cx) {
            NotPlacing::OldList
        } else {
            NotPlacing::JournalStalled
        })
    }
}

/// A job of which nothing runs.
#[derive(Clone, Copy, Debug)]
struct Stall {
    /// When this owner first saw that nothing of it runs.
    since: Millis,
    waits_for: WaitsFor,
    /// What the last line said that it waits for, and when it was logged.
    logged: Option<(WaitsFor, Millis)>,
}

impl Stall {
    fn is_overdue(&self, now: Millis) -> bool {
        now.since(self.since) >= STALLED_AFTER
    }

    fn is_line_due(&self, waits_for: WaitsFor, now: Millis) -> bool {
        let is_news = |(logged, at): (WaitsFor, Millis)| {
            logged != waits_for && now.since(at) >= LINE_INTERVAL
        };
        self.is_overdue(now) && self.logged.is_none_or(is_news)
    }
}

/// The jobs of a shard of which nothing runs.
#[derive(Default)]
pub struct StalledJobs {
    jobs: IndexMap<JobId, Stall>,
}

impl StalledJobs {
    /// Number of overdue jobs, by what they wait for.
    pub fn overdue(&self, now: Millis) -> IndexMap<WaitsFor, i64> {
        let mut counts = IndexMap::new();
        for stall in self.jobs.values().filter(|stall| stall.is_overdue(now)) {
            *counts.entry(stall.waits_for).or_default() += 1;
        }
        counts
    }
}

/// A job of which nothing runs, as found in one round.
struct Stalled {
    job: JobId,
    /// The first step that waits.
    step: StepId,
    waits_for: WaitsFor,
    /// A run that may be alive, if there is one.
    run: Option<RunId>,
    /// Number of runs that may be alive.
    runs: usize,
}

/// Updates the stalled jobs, and logs those that are overdue and those that run again.
pub fn note(cx: &Cx, owner: &Owner) {
    let now = cx.clock.now();
    let found = stalled(cx, owner);
    let mut state = owner.stalled_jobs.borrow_mut();
    let mut before = std::mem::take(&mut state.jobs);
    let mut lines_left = MAX_LINES_PER_ROUND;
    for found in found {
        let mut stall = before.swap_remove(&found.job).unwrap_or(Stall {
            since: now,
            waits_for: found.waits_for,
            logged: None,
        });
        if lines_left > 0 && stall.is_line_due(found.waits_for, now) {
            lines_left -= 1;
            if stall.logged.is_none() {
                cx.metrics.job_stalls.inc();
            }
            stall.logged = Some((found.waits_for, now));
            log_stall(cx, owner, &found, now.since(stall.since));
        }
        stall.waits_for = found.waits_for;
        state.jobs.insert(found.job, stall);
    }
    let ended = before.iter().filter(|(_, stall)| stall.logged.is_some());
    for (job, stall) in ended.take(lines_left) {
        let phase = owner.ledger.borrow().jobs.get(job).map(|job| job.phase);
        let stalled_ms = millis(now.since(stall.since));
        log::info!(job:%, shard:% = owner.handle.partition, phase:?, stalled_ms, waited_for:? = stall.waits_for; "job is no longer stalled");
    }
}

fn log_stall(cx: &Cx, owner: &Owner, found: &Stalled, stalled: Duration) {
    let now = cx.clock.now();
    let ledger = owner.ledger.borrow();
    let job = &ledger.jobs[&found.job];
    let spec = &job.spec.steps[usize::from(found.step.step)];
    let (refused, refused_age_ms) = refusal(owner, &found.step, now).unzip();
    let overdue = owner.overdue.borrow();
    let not_admitted = overdue.not_admitted(found.job);
    let not_admitted = not_admitted.map(|(why, at)| (why, millis(now.since(*at))));
    let (not_admitted, not_admitted_age_ms) = not_admitted.unzip();
    let evidence = found.run.map(|run| outages::run_evidence(cx, owner, &run));
    let evidence = evidence.unwrap_or_default();
    let room = {
        let reports = owner.open_workers(cx);
        Room::of(&dispatch::hosts_of(cx, owner, &reports))
    };
    log::warn!(
        job:% = found.job,
        queue:% = job.terms.queue,
        shard:% = owner.handle.partition,
        step:% = found.step,
        tasks = spec.count,
        load:? = super::runs::load_of(spec),
        millicores = spec.size.millicores,
        memory_mb = spec.size.memory_mb,
        waits_for:? = found.waits_for,
        stalled_ms = millis(stalled),
        age_ms = cx.unix_ms().saturating_sub(job.accepted_unix_ms),
        owned_ms = millis(now.since(owner.taken_at)),
        not_placing:? = owner.not_placing(cx),
        refused:?,
        refused_age_ms,
        not_admitted:?,
        not_admitted_age_ms,
        runs = found.runs,
        run = found.run.map(|run| run.run.0),
        worker:? = evidence.worker,
        order:? = evidence.order,
        stop:? = evidence.stop,
        silent_ms = evidence.silent_ms,
        last_lease:? = evidence.last_lease,
        ends_in_ms = evidence.ends_in_ms,
        hosts = room.hosts,
        free_permille = room.free_permille,
        unused_permille = room.unused_permille,
        widest_free_millicores = room.widest_free_millicores,
        widest_free_memory_mb = room.widest_free_memory_mb,
        kept = room.kept;
        "nothing of an accepted job runs"
    );
}

/// Why hosts refused the step in the last pass that determined it, and how long ago that was, in
/// milliseconds.
fn refusal(owner: &Owner, step: &StepId, now: Millis) -> Option<(Unfit, u64)> {
    let reasons = owner.wait_reasons.borrow();
    let (why, at) = reasons.get(step)?;
    Some((*why, millis(now.since(*at))))
}

fn stalled(cx: &Cx, owner: &Owner) -> Vec<Stalled> {
    let (ledger, active) = (owner.ledger.borrow(), owner.active.borrow());
    let accepting = owner.accepting.borrow();
    let accepted = active.iter().filter(|id| !accepting.contains_key(*id));
    let jobs = accepted.filter_map(|id| Some((*id, ledger.jobs.get(id)?)));
    let (may_place, now_unix_ms) = (owner.may_place(cx), cx.unix_ms());
    // A guest's other tasks may run in the shard that owns the job.
    let own = jobs.filter(|(_, job)| !job.is_guest);
    let stalled = own.filter_map(|(id, job)| stall_of(owner, id, job, may_place, now_unix_ms));
    stalled.collect()
}

fn stall_of(
    owner: &Owner,
    id: JobId,
    job: &Job,
    may_place: bool,
    now_unix_ms: u64,
) -> Option<Stalled> {
    let mut first = None;
    let mut runs = 0;
    for (run, _) in job.live_runs(id) {
        let waits_for = outages::run_waits_for(owner, &run)?;
        runs += 1;
        first = first.or(Some((run, waits_for)));
    }
    if let Some((run, waits_for)) = first {
        return Some(Stalled {
            job: id,
            step: run.task.step_id(),
            waits_for,
            run: Some(run),
            runs,
        });
    }
    let is_elsewhere = job.tasks(id).any(|(_, task)| task.elsewhere.is_some());
    let step = (!is_elsewhere).then(|| dispatch::first_startable(id, job, now_unix_ms));
    Some(Stalled {
        job: id,
        step: step.flatten()?,
        waits_for: outages::waiting_for(may_place),
        run: None,
        runs,
    })
}
