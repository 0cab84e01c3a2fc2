//! Tracks for how long jobs with startable best-effort tasks have had nothing running, and which of
//! their tasks are admitted by [`crate::policy::dispatch::overdue`].
//!
//! The times are known to this owner only; the next one counts from its recovery.

use super::Owner;
use crate::{
    core::time::{Millis, millis},
    policy::dispatch::overdue::{Admission, MAX_IDLE_TIME},
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

/// Jobs with startable best-effort tasks and nothing running.
#[derive(Clone, Debug, Default)]
pub struct OverdueJobs {
    idle: IndexMap<JobId, Idle>,
    in_pass: IndexSet<JobId>,
    /// CPU limits of runs that the current pass has admitted.
    cpu_limits: IndexMap<RunId, u32>,
}

impl OverdueJobs {
    /// Notes that the current dispatch pass found a job with nothing running.
    pub fn note_idle(&mut self, job: JobId, now: Millis) {
        self.in_pass.insert(job);
        self.idle.entry(job).or_insert(Idle {
            since: now,
            not_admitted: None,
        });
    }

    /// Ends a dispatch pass: forgets the jobs that it did not find.
    pub fn end_pass(&mut self) {
        let in_pass = std::mem::take(&mut self.in_pass);
        self.idle.retain(|job, _| in_pass.contains(job));
    }

    /// Notes that the current pass has placed a task of a job.
    pub fn note_placed(&mut self, job: JobId) {
        self.idle.swap_remove(&job);
    }

    /// For how long a job has had nothing running, if that is too long.
    pub fn idle_for(&self, job: JobId, now: Millis) -> Option<Duration> {
        let idle_for = now.since(self.idle.get(&job)?.since);
        (idle_for >= MAX_IDLE_TIME).then_some(idle_for)
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
