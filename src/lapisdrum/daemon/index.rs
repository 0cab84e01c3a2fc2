//! Index over the jobs of one shard, by worker, entry and age.
//!
//! Load pattern: 17,800 tasks and 500 workers per shard. Scanning all jobs for each poll of a
//! worker or each placement pass would read millions of jobs a second. The index is built from the
//! ledger's state at recovery and updated with each event; it contains nothing that the state does
//! not.

use crate::{
    core::{
        id::{EntryName, JobId, WorkerId},
        job::{Job, JobPhase},
        time::Millis,
    },
    state::ledger::{Event, State},
};
use indexmap::{IndexMap, IndexSet};
use std::collections::VecDeque;

/// Numbers of waiting and placed jobs of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs that wait to be placed on a worker.
    pub waiting: u32,
    /// Jobs placed on a worker, started or not.
    pub placed: u32,
}

/// The parts of a job that the index depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
struct IndexedJob {
    entry: EntryName,
    stage: Stage,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Placed(WorkerId),
    Ended,
}

/// Jobs before some events are applied, for [`Index::note`].
#[derive(Clone, Debug, Default)]
pub struct JobsBefore(IndexMap<JobId, Option<IndexedJob>>);

/// Placed jobs by worker, waiting jobs by entry, and ended jobs by age.
#[derive(Debug, Default)]
pub struct Index {
    by_worker: IndexMap<WorkerId, IndexSet<JobId>>,
    waiting: IndexMap<EntryName, VecDeque<JobId>>,
    counts: IndexMap<EntryName, Counts>,
    ended_jobs: VecDeque<(Millis, JobId)>,
}

impl Index {
    /// Builds the index of a recovered state. Ages of ended jobs count from `now`, since the ledger
    /// holds no times.
    pub fn build(state: &State, now: Millis) -> Self {
        let mut index = Self::default();
        for (id, job) in &state.jobs {
            index.insert_job(id, &indexed(job), now, Side::Back);
        }
        index
    }

    /// Captures the jobs that `events` refer to, before the events are applied to `state`.
    pub fn jobs_before(state: &State, events: &[Event]) -> JobsBefore {
        let jobs = events.iter().filter_map(Event::job);
        JobsBefore(
            jobs.map(|id| (id.clone(), state.jobs.get(id).map(indexed)))
                .collect(),
        )
    }

    /// Updates the index after events were applied to `state`; `before` was captured for the same
    /// events.
    pub fn note(&mut self, before: JobsBefore, state: &State, now: Millis) {
        for (id, before) in before.0 {
            let after = state.jobs.get(&id).map(indexed);
            if before != after {
                self.change(&id, before, after, now);
            }
        }
    }

    fn change(
        &mut self,
        id: &JobId,
        before: Option<IndexedJob>,
        after: Option<IndexedJob>,
        now: Millis,
    ) {
        // An evicted job was accepted before any job that still waits.
        let side = match before {
            Some(_) => Side::Front,
            None => Side::Back,
        };
        if let Some(indexed) = before {
            self.remove_job(id, &indexed);
        }
        if let Some(indexed) = after {
            self.insert_job(id, &indexed, now, side);
        }
    }

    /// Jobs placed on a worker.
    pub fn on_worker(&self, worker: &WorkerId) -> impl Iterator<Item = &JobId> {
        self.by_worker.get(worker).into_iter().flatten()
    }

    /// Workers that have a job placed on them.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.by_worker.keys()
    }

    /// Entries that have waiting jobs.
    pub fn waiting_entries(&self) -> Vec<EntryName> {
        let waits = self.counts.iter().filter(|(_, counts)| counts.waiting > 0);
        waits.map(|(entry, _)| entry.clone()).collect()
    }

    /// Removes and returns the next waiting job of an entry. If it is not placed, the caller
    /// returns it with [`Index::put_back`].
    pub fn take_waiting(&mut self, state: &State, entry: &EntryName) -> Option<JobId> {
        let queue = self.waiting.get_mut(entry)?;
        while let Some(id) = queue.pop_front() {
            let waits = |job: &Job| job.phase == JobPhase::Waiting && !job.cancelling;
            // A job that was cancelled while it waited is still in the queue.
            if state.jobs.get(&id).is_some_and(waits) {
                return Some(id);
            }
        }
        self.waiting.swap_remove(entry);
        None
    }

    /// Returns jobs taken by [`Index::take_waiting`] to the head of the entry's queue, in order.
    pub fn put_back(&mut self, entry: &EntryName, jobs: Vec<JobId>) {
        if jobs.is_empty() {
            return;
        }
        let queue = self.waiting.entry(entry.clone()).or_default();
        for id in jobs.into_iter().rev() {
            queue.push_front(id);
        }
    }

    /// Numbers of waiting and placed jobs of an entry; zero for an unknown one.
    pub fn counts(&self, entry: &EntryName) -> Counts {
        self.counts.get(entry).copied().unwrap_or_default()
    }

    /// Removes and returns up to `limit` ended jobs: those that ended before `before`, and the
    /// oldest of those beyond the `keep` newest.
    pub fn take_expired_jobs(&mut self, before: Millis, keep: usize, limit: usize) -> Vec<JobId> {
        take_expired(&mut self.ended_jobs, before, keep, limit)
    }

    fn insert_job(&mut self, id: &JobId, indexed: &IndexedJob, now: Millis, side: Side) {
        match &indexed.stage {
            Stage::Waiting => {
                let queue = self.waiting.entry(indexed.entry.clone()).or_default();
                match side {
                    Side::Front => queue.push_front(id.clone()),
                    Side::Back => queue.push_back(id.clone()),
                }
                self.counts
                    .entry(indexed.entry.clone())
                    .or_default()
                    .waiting += 1;
            }
            Stage::Placed(worker) => {
                let jobs = self.by_worker.entry(worker.clone()).or_default();
                jobs.insert(id.clone());
                self.counts.entry(indexed.entry.clone()).or_default().placed += 1;
            }
            Stage::Ended => self.ended_jobs.push_back((now, id.clone())),
        }
    }

    fn remove_job(&mut self, id: &JobId, indexed: &IndexedJob) {
        let counts = self.counts.entry(indexed.entry.clone()).or_default();
        match &indexed.stage {
            Stage::Waiting => counts.waiting -= 1,
            Stage::Placed(worker) => {
                counts.placed -= 1;
                if let Some(jobs) = self.by_worker.get_mut(worker) {
                    jobs.swap_remove(id);
                    if jobs.is_empty() {
                        self.by_worker.swap_remove(worker);
                    }
                }
            }
            Stage::Ended => {}
        }
        if self.counts.get(&indexed.entry) == Some(&Counts::default()) {
            self.counts.swap_remove(&indexed.entry);
        }
    }
}

#[derive(Clone, Copy)]
enum Side {
    Front,
    Back,
}

fn indexed(job: &Job) -> IndexedJob {
    let stage = match &job.phase {
        JobPhase::Waiting => Stage::Waiting,
        JobPhase::Placed(placement) => Stage::Placed(placement.worker.clone()),
        JobPhase::Ended(_) => Stage::Ended,
    };
    IndexedJob {
        entry: job.entry.clone(),
        stage,
    }
}

fn take_expired<T>(
    list: &mut VecDeque<(Millis, T)>,
    before: Millis,
    keep: usize,
    limit: usize,
) -> Vec<T> {
    let mut taken = Vec::new();
    while taken.len() < limit {
        let expired = list.front().is_some_and(|(at, _)| *at < before);
        if !expired && list.len() <= keep {
            break;
        }
        let Some((_, id)) = list.pop_front() else {
            break;
        };
        taken.push(id);
    }
    taken
}
