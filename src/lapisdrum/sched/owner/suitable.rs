//! Which workers of a shard can run the steps of a job, and how loaded these are.
//!
//! A job waits in the shard that accepts it, and only tasks that ran before may leave it. A shard
//! whose workers lack the pool, the label or the accelerators that a step asks for would keep the
//! job waiting for ever, beside free workers of another shard. So the workers that a job needs, and
//! not the totals of the shard, decide where it goes.

use super::{Owner, delegate::TaskNeed};
use crate::sched::{
    Cx,
    edge::WorkerReport,
    job::{JobSpec, QueueConfig, Step},
    ledger::{Job, Phase},
};
use indexmap::IndexSet;
use std::rc::Rc;

data! {
    /// What a job asks of workers.
    pub struct JobNeeds {
        /// Needs of all steps, each once.
        pub steps: Vec<TaskNeed>,
        /// Those of long-running steps.
        pub long_running: Vec<TaskNeed>,
    }

    /// A shard as a place for a job.
    #[derive(Copy)]
    pub enum Suitability {
        /// No worker of the shard can run one of the steps.
        Unsuitable,
        /// Share, in thousandths, that long-running tasks ask for of the workers which can run the
        /// job's long-running steps; 0 for a job without such steps.
        Suitable(u32),
    }
}

impl JobNeeds {
    /// What a job of this queue asks for.
    pub fn new(spec: &JobSpec, terms: &QueueConfig) -> Self {
        let distinct = |steps: &mut dyn Iterator<Item = &Step>| {
            let needs: IndexSet<TaskNeed> = steps.map(|step| TaskNeed::new(terms, step)).collect();
            needs.into_iter().collect()
        };
        let steps = &spec.steps;
        Self {
            steps: distinct(&mut steps.iter()),
            long_running: distinct(&mut steps.iter().filter(|step| step.is_long_running)),
        }
    }
}

impl TaskNeed {
    /// Whether an empty worker can run such a task.
    fn fits(&self, report: &WorkerReport) -> bool {
        let has = |label: &String| report.labels.contains(label);
        report.pool == self.pool
            && self.required_label.as_ref().is_none_or(has)
            && self.size.fits(&report.capacity)
    }
}

impl Owner {
    /// How suitable the shard is for a job; none while that is not known: before the shard is
    /// recovered and its workers are read, or without a worker that is open for long-running tasks.
    pub fn suitability(&self, cx: &Cx, needs: &JobNeeds) -> Option<Suitability> {
        if !self.is_recovered() {
            return None;
        }
        let present = self.present_workers();
        if present.is_empty() {
            return None;
        }
        let has_worker = |need: &TaskNeed| present.iter().any(|report| need.fits(report));
        if !needs.steps.iter().all(has_worker) {
            return Some(Suitability::Unsuitable);
        }
        match needs.long_running.as_slice() {
            [] => Some(Suitability::Suitable(0)),
            needs => self.long_running_load(cx, needs).map(Suitability::Suitable),
        }
    }

    /// Registered workers that stay and are not known to be silent.
    fn present_workers(&self) -> Vec<Rc<WorkerReport>> {
        let sessions = self.sessions.borrow();
        let present = sessions
            .values()
            .filter(|session| session.is_registered && session.unresponsive_since.is_none());
        let staying = present.filter(|session| !session.is_leaving());
        staying
            .filter_map(|session| session.report.clone())
            .collect()
    }

    /// Processors that active jobs' long-running tasks ask for of the workers that fit one of these
    /// needs, in thousandths of these workers' capacity. A task that fits others too counts in
    /// proportion. None while no such worker is open for tasks.
    fn long_running_load(&self, cx: &Cx, needs: &[TaskNeed]) -> Option<u32> {
        let open = self.open_workers(cx);
        let is_wanted = |report: &WorkerReport| needs.iter().any(|need| need.fits(report));
        let wanted = open.iter().filter(|report| is_wanted(report));
        let capacity: u64 = wanted.map(|report| report.capacity.millicores).sum();
        let (ledger, active) = (self.ledger.borrow(), self.active.borrow());
        let jobs = active.iter().filter_map(|id| ledger.jobs.get(id));
        let jobs = jobs.filter(|job| job.phase == Phase::Active);
        let requested = jobs.map(|job| requested_of(job, &open, &is_wanted));
        let requested = requested.fold(0, u64::saturating_add);
        let permille = requested.saturating_mul(1_000).checked_div(capacity)?;
        Some(u32::try_from(permille).unwrap_or(u32::MAX))
    }
}

/// Processors that a job's long-running tasks ask for of the wanted ones among the open workers, in
/// thousandths of a core.
fn requested_of(
    job: &Job,
    open: &[Rc<WorkerReport>],
    is_wanted: &impl Fn(&WorkerReport) -> bool,
) -> u64 {
    let steps = job.spec.steps.iter().enumerate();
    let long_running = steps.filter(|(_, step)| step.is_long_running);
    let requested = long_running.map(|(at, step)| {
        let need = TaskNeed::new(&job.terms, step);
        let fitting = || open.iter().filter(|report| need.fits(report));
        let of = |reports: &mut dyn Iterator<Item = &Rc<WorkerReport>>| -> u64 {
            reports.map(|report| report.capacity.millicores).sum()
        };
        let wanted = of(&mut fitting().filter(|report| is_wanted(report)));
        let tasks = u128::from(step.size.millicores) * u128::from(job.own_task_count(at));
        let millicores = tasks
            .saturating_mul(u128::from(wanted))
            .checked_div(u128::from(of(&mut fitting())));
        u64::try_from(millicores.unwrap_or_default()).unwrap_or(u64::MAX)
    });
    requested.fold(0, u64::saturating_add)
}
