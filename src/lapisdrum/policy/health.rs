//! Workers that fail every task, and jobs that fail on every worker: telling the two apart.
//!
//! Load patterns: a worker that fails whatever it starts, so that it is always free and draws every
//! waiting task; a job that can never run and is tried on one worker after another. Without it the
//! first fails most of the shard's jobs; and a remedy that counts failures by worker alone lets the
//! second set every worker aside, one by one.
//!
//! A worker is set aside when distinct jobs fail on it in a row ([`DISTINCT`]). A job is at fault when
//! it has failed on distinct workers ([`DISTINCT`]) of which none is suspect without it; its failures
//! then count against nobody. Nor do those of an entry whose jobs fail on as many workers without a
//! success anywhere: a broken release fails wherever it is started. A worker set aside comes back with
//! one task at a time; a success clears it, a failure doubles its time aside. At most a third of the
//! shard's workers are aside at once.

use crate::core::{
    id::{EntryName, JobId, WorkerId},
    time::Millis,
};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Distinct jobs that set a worker aside, and distinct workers that put a job at fault. Three in a
/// row by chance are rare: at one failure in ten, once in a thousand.
pub const DISTINCT: usize = 3;
/// One part in so many of the workers may be aside.
pub const MOST_ASIDE: usize = 3;
/// First time aside.
pub const FIRST_ASIDE: Duration = Duration::from_secs(30);
/// Longest time aside.
pub const LONGEST_ASIDE: Duration = Duration::from_secs(15 * 60);
/// Time after which a job's failures are forgotten.
const FORGET: Duration = Duration::from_secs(60 * 60);

/// Whether a worker may be given tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Any.
    Good,
    /// One at a time, until one succeeds.
    Trial,
    /// None.
    Aside,
}

/// What a failure changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing yet.
    Open,
    /// The worker is set aside.
    WorkerAside,
    /// The job itself is at fault; another worker won't help.
    JobAtFault,
}

#[derive(Debug, Default)]
struct WorkerRecord {
    /// Jobs that failed since the last success, with their entries.
    failed: IndexMap<JobId, EntryName>,
    aside: u32,
    back_at: Option<Millis>,
}

#[derive(Debug, Default)]
struct JobRecord {
    workers: IndexSet<WorkerId>,
    last: Millis,
}

/// What is known of failures of tasks.
#[derive(Debug, Default)]
pub struct Health {
    workers: IndexMap<WorkerId, WorkerRecord>,
    jobs: IndexMap<JobId, JobRecord>,
    /// Workers on which an entry's jobs failed since the last success of any of them.
    entries: IndexMap<EntryName, IndexSet<WorkerId>>,
}

impl Health {
    /// Notes that a task finished or saved progress on a worker.
    pub fn succeeded(&mut self, worker: &WorkerId, job: &JobId, entry: &EntryName) {
        self.entries.swap_remove(entry);
        self.workers.swap_remove(worker);
        self.jobs.swap_remove(job);
    }

    /// Notes that a task failed on a worker, one of `pool`.
    pub fn failed(
        &mut self,
        worker: &WorkerId,
        job: &JobId,
        entry: &EntryName,
        pool: usize,
        now: Millis,
    ) -> Verdict {
        self.note(worker, job, entry, now);
        if self.is_job_at_fault(job) {
            self.clear(job);
            return Verdict::JobAtFault;
        }
        let record = &self.workers[worker];
        let on_trial = record.back_at.is_some_and(|back| now >= back);
        let enough = self.blameless_jobs(record) >= DISTINCT || on_trial;
        let already = record.back_at.is_some_and(|back| now < back);
        if !enough || already || (self.aside(now) + 1) * MOST_ASIDE > pool {
            return Verdict::Open;
        }
        self.set_aside(worker, now);
        Verdict::WorkerAside
    }

    /// Whether a worker may be given tasks.
    pub fn standing(&self, worker: &WorkerId, now: Millis) -> Standing {
        match self.workers.get(worker).and_then(|record| record.back_at) {
            None => Standing::Good,
            Some(back) if now < back => Standing::Aside,
            Some(_) => Standing::Trial,
        }
    }

    /// Workers that are set aside.
    pub fn aside(&self, now: Millis) -> usize {
        let aside = |record: &&WorkerRecord| record.back_at.is_some_and(|back| now < back);
        self.workers.values().filter(aside).count()
    }

    /// Whether a job has failed on a worker already: another is to be preferred.
    pub fn has_failed_on(&self, job: &JobId, worker: &WorkerId) -> bool {
        self.jobs
            .get(job)
            .is_some_and(|record| record.workers.contains(worker))
    }

    /// Forgets workers that are gone and failures that are old.
    pub fn forget(&mut self, is_there: impl Fn(&WorkerId) -> bool, now: Millis) {
        self.workers.retain(|worker, _| is_there(worker));
        self.jobs
            .retain(|_, record| now.since(record.last) < FORGET);
    }

    fn note(&mut self, worker: &WorkerId, job: &JobId, entry: &EntryName, now: Millis) {
        let record = self.workers.entry(worker.clone()).or_default();
        record.failed.insert(job.clone(), entry.clone());
        let failed_on = self.entries.entry(entry.clone()).or_default();
        failed_on.insert(worker.clone());
        let record = self.jobs.entry(job.clone()).or_default();
        record.workers.insert(worker.clone());
        record.last = now;
    }

    /// A job is at fault when it failed on enough workers that look sound without it.
    fn is_job_at_fault(&self, job: &JobId) -> bool {
        let Some(record) = self.jobs.get(job) else {
            return false;
        };
        let sound = record
            .workers
            .iter()
            .filter(|worker| self.is_sound_without(worker, job));
        sound.count() >= DISTINCT
    }

    /// Whether a worker was never set aside since its last success and few other jobs failed on it.
    fn is_sound_without(&self, worker: &WorkerId, job: &JobId) -> bool {
        let Some(record) = self.workers.get(worker) else {
            return true;
        };
        let others = record.failed.keys().filter(|failed| *failed != job);
        record.back_at.is_none() && others.count() + 1 < DISTINCT
    }

    /// A job at fault counts against no worker.
    fn clear(&mut self, job: &JobId) {
        for record in self.workers.values_mut() {
            record.failed.swap_remove(job);
        }
    }

    /// Distinct jobs that failed on a worker, those of entries left out that fail everywhere.
    fn blameless_jobs(&self, record: &WorkerRecord) -> usize {
        let fails_everywhere = |entry: &EntryName| {
            let failed_on = self.entries.get(entry);
            failed_on.is_some_and(|workers| workers.len() >= DISTINCT)
        };
        let entries = record.failed.values();
        entries.filter(|entry| !fails_everywhere(entry)).count()
    }

    fn set_aside(&mut self, worker: &WorkerId, now: Millis) {
        if let Some(record) = self.workers.get_mut(worker) {
            let time = FIRST_ASIDE * 2_u32.saturating_pow(record.aside.min(8));
            record.aside += 1;
            record.back_at = Some(now + time.min(LONGEST_ASIDE));
            record.failed.clear();
        }
    }
}
