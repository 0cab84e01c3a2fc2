//! Tracks for how long jobs with startable short tasks have had nothing running. One task of such a
//! job goes ahead of others ([`crate::policy::dispatch::ahead`]), and a best-effort one may be admitted
//! although hosts refuse it ([`crate::policy::dispatch::overdue`]).
//!
//! The times are known to this owner only; the next one counts from its recovery.

use super::Owner;
use crate::{
    core::time::{Millis, millis},
    policy::dispatch::{
        ahead::Budget,
        overdue::{Admission, MAX_IDLE_TIME},
        place::Load,
    },
    sched::{Cx, event::RunId, job::JobId},
};
use indexmap::{IndexMap, IndexSet};
use std::{rc::Rc, time::Duration};

/// A task that is admitted although every host refuses it.
#[derive(Clone, Debug, PartialEq)]
pub struct Admitted {
    /// Its run.
    pub run: RunId,
    /// Where it is admitted, and with which CPU limit.
    pub admission: Admission,
    /// Number of hosts per reason for refusal, as text.
    pub refused: String,
}

/// Why no task of an overdue job was admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotAdmitted {
    /// No host of the pool takes an overdue task: the number of hosts by reason.
    NoHostTakesOne(Rc<str>),
    /// Those that take one refuse this one for want of memory, a label or the like.
    Refused,
}

/// A job with nothing running.
#[derive(Clone, Debug)]
struct Idle {
    since: Millis,
    /// Why the last pass that tried admitted none of its tasks, and when that was.
    not_admitted: Option<(NotAdmitted, Millis)>,
}

/// How a task of an overdue job was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Help {
    /// It went ahead of others.
    Ahead,
    /// It was admitted although every host refused it.
    Admitted,
}

/// Jobs with startable short tasks and nothing running.
///
/// A job that was helped stays overdue until a pass leaves none of its tasks waiting: if it had to wait
/// for [`MAX_IDLE_TIME`] after each task, it would have nothing running for most of the time, since a
/// task takes about a second. If one of its tasks is stopped because it interferes, the wait begins
/// anew, or the job would be started and stopped on one host after the other.
#[derive(Clone, Debug, Default)]
pub struct OverdueJobs {
    idle: IndexMap<JobId, Idle>,
    /// Jobs that the current pass found with nothing running.
    in_pass: IndexSet<JobId>,
    /// Jobs of which the current pass has placed tasks, and those of which it left some waiting.
    placed: IndexSet<JobId>,
    left: IndexSet<JobId>,
    /// CPU limits of runs that the current pass has admitted.
    cpu_limits: IndexMap<RunId, u32>,
    /// Jobs that were helped, and how at last.
    helped: IndexMap<JobId, Help>,
    /// How many tasks may go ahead of others that use the same resources: those of the same pool and
    /// kind of load.
    budgets: IndexMap<(String, Load), Budget>,
}

impl OverdueJobs {
    /// Notes that the current dispatch pass found a job with nothing running.
    pub fn note_idle(&mut self, job: JobId, now: Millis) {
        // The ledger shows placed tasks as running after the pass.
        if !self.placed.contains(&job) {
            self.in_pass.insert(job);
            self.idle.entry(job).or_insert(Idle {
                since: now,
                not_admitted: None,
            });
        }
    }

    /// Ends a dispatch pass: forgets the jobs that it did not find, and those that are not active.
    pub fn end_pass(&mut self, active: &IndexSet<JobId>) {
        let in_pass = std::mem::take(&mut self.in_pass);
        let (placed, left) = (
            std::mem::take(&mut self.placed),
            std::mem::take(&mut self.left),
        );
        self.idle.retain(|job, _| in_pass.contains(job));
        let is_served = |job: &JobId| placed.contains(job) && !left.contains(job);
        self.helped
            .retain(|job, _| active.contains(job) && !is_served(job));
    }

    /// Notes that the current pass has placed tasks of a job, and whether they went ahead of others.
    pub fn note_placed(&mut self, job: JobId, went_ahead: bool) {
        self.idle.swap_remove(&job);
        self.placed.insert(job);
        let is_admitted = self.cpu_limits.keys().any(|run| run.task.job == job);
        if is_admitted {
            self.helped.insert(job, Help::Admitted);
        } else if went_ahead {
            self.helped.insert(job, Help::Ahead);
        }
    }

    /// Notes that the current pass has left short tasks of a job waiting.
    pub fn note_left(&mut self, job: JobId) {
        self.left.insert(job);
    }

    /// Notes that a run of a job is stopped because it interferes with serving tasks.
    pub fn note_interfered(&mut self, job: JobId) {
        self.helped.swap_remove(&job);
    }

    /// Whether another task of this pool and kind of load may go ahead.
    pub fn may_go_ahead(&self, pool: &str, load: Load) -> bool {
        let kind = (pool.to_owned(), load);
        self.budgets.get(&kind).is_none_or(Budget::allows)
    }

    /// Notes that so many short tasks were placed, and whether they went ahead.
    pub fn note_starts(&mut self, pool: &str, load: Load, starts: usize, is_ahead: bool) {
        let budget = self.budgets.entry((pool.to_owned(), load)).or_default();
        budget.note(starts, is_ahead);
    }

    /// For how long a job has had nothing running, if a task of it may go ahead.
    pub fn waits_for(&self, job: JobId, now: Millis) -> Option<Duration> {
        let idle_for = now.since(self.idle.get(&job)?.since);
        let is_overdue = idle_for >= MAX_IDLE_TIME || self.helped.contains_key(&job);
        is_overdue.then_some(idle_for)
    }

    /// For how long a job has had nothing running, if hosts that refuse a task of it may admit one.
    pub fn idle_for(&self, job: JobId, now: Millis) -> Option<Duration> {
        let idle_for = now.since(self.idle.get(&job)?.since);
        let was_admitted = self.helped.get(&job) == Some(&Help::Admitted);
        (idle_for >= MAX_IDLE_TIME || was_admitted).then_some(idle_for)
    }

    /// Notes that the current pass has admitted no task of an overdue job.
    pub fn note_not_admitted(&mut self, job: JobId, why: NotAdmitted, now: Millis) {
        if let Some(idle) = self.idle.get_mut(&job) {
            idle.not_admitted = Some((why, now));
        }
    }

    /// Why no task of an overdue job was admitted, and when that was determined.
    pub fn not_admitted(&self, job: JobId) -> Option<&(NotAdmitted, Millis)> {
        self.idle.get(&job)?.not_admitted.as_ref()
    }

    /// Takes the CPU limit with which an admitted run starts; `None` for other runs.
    pub fn take_cpu_limit(&mut self, run: &RunId) -> Option<u32> {
        self.cpu_limits.swap_remove(run)
    }
}

/// Notes and logs that the tasks of a job are admitted.
pub fn note_admitted(cx: &Cx, owner: &Owner, job: JobId, admitted: &[(Admitted, &str)]) {
    let mut jobs = owner.overdue.borrow_mut();
    let idle = jobs.idle.get(&job);
    let waited_ms = idle.map_or(0, |idle| millis(cx.clock.now().since(idle.since)));
    for (task, worker) in admitted {
        let Admission {
            why,
            cpu_limit_percent,
            added_overload,
            is_mostly_free,
            ..
        } = task.admission;
        jobs.cpu_limits.insert(task.run, cpu_limit_percent);
        cx.metrics.overdue_admissions.inc();
        log::info!(
            job:% = job,
            step:% = task.run.task.step_id(),
            task:% = task.run.task,
            run = task.run.run.0,
            waited_ms,
            refused:% = task.refused,
            worker,
            why:?,
            cpu_limit_percent,
            added_overload,
            is_mostly_free;
            "overdue best-effort task is admitted"
        );
    }
}
