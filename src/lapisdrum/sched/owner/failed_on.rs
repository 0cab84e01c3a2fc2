//! Workers on which tasks have failed, so that other workers are tried first.
//!
//! No host is kept free for a task that failed there. A long-running task is never done, and fails
//! now and then; if its failures counted for ever, it would in time have failed on each worker, and
//! smaller tasks would take every core that is freed.

use crate::{
    core::time::Millis,
    sched::job::{JobId, TaskId},
};
use indexmap::IndexMap;
use std::time::Duration;

/// Time for which a task's failure on a worker counts: several attempts of a task that fails at its
/// start on all of a rack's workers.
const COUNTS_FOR: Duration = Duration::from_secs(60);

/// The workers on which each task failed, stalled or overran its estimate, and when it last did.
#[derive(Debug, Default)]
pub struct FailedOn {
    by_task: IndexMap<TaskId, IndexMap<String, Millis>>,
}

impl FailedOn {
    /// Notes a failure of a task on a worker.
    pub fn note(&mut self, task: &TaskId, worker: &str, now: Millis) {
        let workers = self.by_task.entry(*task).or_default();
        workers.retain(|_, at| now.since(*at) < COUNTS_FOR);
        workers.insert(worker.to_owned(), now);
    }

    /// Returns a function that tells of a worker whether the task has failed there recently.
    pub fn recent(&self, task: &TaskId, now: Millis) -> impl Fn(&str) -> bool {
        let workers = self.by_task.get(task);
        move |worker| {
            let failed_at = workers.and_then(|workers| workers.get(worker));
            failed_at.is_some_and(|at| now.since(*at) < COUNTS_FOR)
        }
    }

    /// Forgets the failures of a task, which is done.
    pub fn forget_task(&mut self, task: &TaskId) {
        self.by_task.swap_remove(task);
    }

    /// Forgets the failures of a job's tasks, since the job has ended.
    pub fn forget_job(&mut self, job: JobId) {
        self.by_task.retain(|task, _| task.job != job);
    }

    /// Number of tasks with failures that are remembered.
    pub fn len(&self) -> usize {
        self.by_task.len()
    }

    /// Whether no failure is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }
}
