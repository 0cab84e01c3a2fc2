//! Distinguishes workers that fail every task from jobs that fail on every worker.
//!
//! Load patterns: a worker that fails every task that it starts, so that it is always free and
//! receives every waiting task; a job that can never run and is tried on one worker after another.
//! Without this module the first fails most of the shard's jobs; and if failures were counted by
//! worker alone, the second would eject every worker, one by one.
//!
//! A worker is ejected when distinct jobs fail on it without a success in between
//! ([`MIN_DISTINCT_FAILURES`]). A job is at fault when it has failed on distinct workers
//! ([`MIN_DISTINCT_FAILURES`]) that would not be suspect without it; its failures then count
//! against no worker. Nor do those of an entry whose jobs fail on as many workers without a success
//! anywhere: a broken release fails wherever it is started. When its ejection ends, a worker gets
//! one task at a time; a success clears its record, a failure ejects it for twice as long. At most
//! a third of the shard's workers are ejected at once.

use crate::core::{
    id::{EntryName, JobId, WorkerId},
    time::Millis,
};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Distinct failed jobs after which a worker is ejected, and distinct workers after which a job is
/// at fault. Three by chance are rare: at one failure in ten, once in a thousand.
pub const MIN_DISTINCT_FAILURES: usize = 3;
/// At most one worker in this many may be ejected at once.
pub const MIN_WORKERS_PER_EJECTION: usize = 3;
/// Duration of the first ejection since a worker's last success; each further one takes twice as
/// long.
pub const BASE_EJECTION_TIME: Duration = Duration::from_secs(30);
/// Longest duration of an ejection.
pub const MAX_EJECTION_TIME: Duration = Duration::from_secs(15 * 60);
/// Time since a job's last failure after which its failures are discarded.
const FAILURE_RETENTION: Duration = Duration::from_secs(60 * 60);

/// How many tasks a worker may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Any number.
    Healthy,
    /// One at a time, until one succeeds: the worker's ejection has ended.
    Probation,
    /// None: the worker is ejected.
    Ejected,
}

/// Result of recording a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The failure ejects no worker and does not show the job to be at fault.
    NoChange,
    /// The worker is ejected by this failure.
    WorkerEjected,
    /// The job itself is at fault and would fail on other workers too.
    JobAtFault,
}

#[derive(Debug, Default)]
struct WorkerRecord {
    /// Jobs that failed since the last success or ejection, with their entries.
    failed: IndexMap<JobId, EntryName>,
    /// Ejections since the last success.
    ejections: u32,
    /// End of the last ejection.
    ejected_until: Option<Millis>,
}

#[derive(Debug, Default)]
struct JobRecord {
    workers: IndexSet<WorkerId>,
    last: Millis,
}

/// Failures of tasks, by worker, job and entry.
#[derive(Debug, Default)]
pub struct Health {
    workers: IndexMap<WorkerId, WorkerRecord>,
    jobs: IndexMap<JobId, JobRecord>,
    /// Workers on which jobs of an entry failed since the last success of one of its jobs.
    entries: IndexMap<EntryName, IndexSet<WorkerId>>,
}

impl Health {
    /// Clears the failures of the worker, the job and the entry after a task finished or saved
    /// progress.
    pub fn succeeded(&mut self, worker: &WorkerId, job: &JobId, entry: &EntryName) {
        self.entries.swap_remove(entry);
        self.workers.swap_remove(worker);
        self.jobs.swap_remove(job);
    }

    /// Records that a task failed on a worker. `pool` is the number of workers.
    pub fn failed(
        &mut self,
        worker: &WorkerId,
        job: &JobId,
        entry: &EntryName,
        pool: usize,
        now: Millis,
    ) -> Verdict {
        self.record_failure(worker, job, entry, now);
        if self.is_job_at_fault(job) {
            self.clear_job(job);
            return Verdict::JobAtFault;
        }
        let record = &self.workers[worker];
        let on_probation = record.ejected_until.is_some_and(|until| now >= until);
        let enough = self.attributable_jobs(record) >= MIN_DISTINCT_FAILURES || on_probation;
        let is_ejected = record.ejected_until.is_some_and(|until| now < until);
        if !enough || is_ejected || (self.ejected_count(now) + 1) * MIN_WORKERS_PER_EJECTION > pool
        {
            return Verdict::NoChange;
        }
        self.eject(worker, now);
        Verdict::WorkerEjected
    }

    /// How many tasks a worker may get at `now`.
    pub fn worker_state(&self, worker: &WorkerId, now: Millis) -> WorkerState {
        match self
            .workers
            .get(worker)
            .and_then(|record| record.ejected_until)
        {
            None => WorkerState::Healthy,
            Some(until) if now < until => WorkerState::Ejected,
            Some(_) => WorkerState::Probation,
        }
    }

    /// Number of ejected workers.
    pub fn ejected_count(&self, now: Millis) -> usize {
        let ejected =
            |record: &&WorkerRecord| record.ejected_until.is_some_and(|until| now < until);
        self.workers.values().filter(ejected).count()
    }

    /// Whether a job has failed on a worker, so that another should be preferred.
    pub fn has_failed_on(&self, job: &JobId, worker: &WorkerId) -> bool {
        self.jobs
            .get(job)
            .is_some_and(|record| record.workers.contains(worker))
    }

    /// Removes workers for which `is_known` is false, and jobs whose last failure is too old to
    /// count.
    pub fn remove_expired(&mut self, is_known: impl Fn(&WorkerId) -> bool, now: Millis) {
        self.workers.retain(|worker, _| is_known(worker));
        self.jobs
            .retain(|_, record| now.since(record.last) < FAILURE_RETENTION);
    }

    fn record_failure(&mut self, worker: &WorkerId, job: &JobId, entry: &EntryName, now: Millis) {
        let record = self.workers.entry(worker.clone()).or_default();
        record.failed.insert(job.clone(), entry.clone());
        let failed_on = self.entries.entry(entry.clone()).or_default();
        failed_on.insert(worker.clone());
        let record = self.jobs.entry(job.clone()).or_default();
        record.workers.insert(worker.clone());
        record.last = now;
    }

    /// Whether a job failed on enough workers that would be healthy without this job's failures.
    fn is_job_at_fault(&self, job: &JobId) -> bool {
        let Some(record) = self.jobs.get(job) else {
            return false;
        };
        let healthy = record
            .workers
            .iter()
            .filter(|worker| self.is_healthy_without(worker, job));
        healthy.count() >= MIN_DISTINCT_FAILURES
    }

    /// Whether a worker was not ejected since its last success and fewer other jobs failed on it
    /// than would eject it together with `job`.
    fn is_healthy_without(&self, worker: &WorkerId, job: &JobId) -> bool {
        let Some(record) = self.workers.get(worker) else {
            return true;
        };
        let others = record.failed.keys().filter(|failed| *failed != job);
        record.ejected_until.is_none() && others.count() + 1 < MIN_DISTINCT_FAILURES
    }

    /// Removes the failures of a job at fault from all workers.
    fn clear_job(&mut self, job: &JobId) {
        for record in self.workers.values_mut() {
            record.failed.swap_remove(job);
        }
    }

    /// Number of distinct jobs that failed on a worker, without those of entries that fail
    /// everywhere.
    fn attributable_jobs(&self, record: &WorkerRecord) -> usize {
        let fails_everywhere = |entry: &EntryName| {
            let failed_on = self.entries.get(entry);
            failed_on.is_some_and(|workers| workers.len() >= MIN_DISTINCT_FAILURES)
        };
        let entries = record.failed.values();
        entries.filter(|entry| !fails_everywhere(entry)).count()
    }

    fn eject(&mut self, worker: &WorkerId, now: Millis) {
        if let Some(record) = self.workers.get_mut(worker) {
            let time = BASE_EJECTION_TIME * 2_u32.saturating_pow(record.ejections.min(8));
            record.ejections += 1;
            record.ejected_until = Some(now + time.min(MAX_EJECTION_TIME));
            record.failed.clear();
        }
    }
}
