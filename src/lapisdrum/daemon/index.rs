//! Jobs and claims of one shard by what the owner's loops ask for.
//!
//! Load pattern: 17,800 tasks and 500 workers a shard. A loop that scans all jobs for each visit of
//! a worker or each placement pass would read millions of jobs a second. The index follows the
//! ledger's state event by event and is built from it at recovery; it holds nothing of its own.

use crate::{
    core::{
        id::{EntryName, JobId, RequestId, WorkerId},
        job::{Job, JobPhase},
        time::Millis,
    },
    state::ledger::{Event, State},
};
use indexmap::{IndexMap, IndexSet};
use std::collections::VecDeque;

/// How many jobs of an entry wait and how many have a place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Waiting for a place.
    pub waiting: u32,
    /// Placed.
    pub placed: u32,
}

/// What the index knows of a job: its entry and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
struct View {
    entry: EntryName,
    stage: Stage,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Placed(WorkerId),
    Ended,
}

/// Jobs as they stood before some events, for [`Index::note`].
#[derive(Clone, Debug, Default)]
pub struct Before(IndexMap<JobId, Option<View>>);

/// Jobs and claims by worker, entry and age.
#[derive(Debug, Default)]
pub struct Index {
    by_worker: IndexMap<WorkerId, IndexSet<JobId>>,
    waiting: IndexMap<EntryName, VecDeque<JobId>>,
    counts: IndexMap<EntryName, Counts>,
    ended_jobs: VecDeque<(Millis, JobId)>,
    open_claims: VecDeque<(Millis, RequestId)>,
    ended_claims: VecDeque<(Millis, RequestId)>,
}

impl Index {
    /// The index of a recovered state. Ages count from `now`, since the ledger holds no times.
    pub fn build(state: &State, now: Millis) -> Self {
        let mut index = Self::default();
        for (id, job) in &state.jobs {
            index.enter(id, &view(job), now, Side::Back);
        }
        for (id, claim) in &state.claims {
            let list = match claim.end {
                Some(_) => &mut index.ended_claims,
                None => &mut index.open_claims,
            };
            list.push_back((now, id.clone()));
        }
        index
    }

    /// What is known of the events' jobs before they are applied.
    pub fn before(state: &State, events: &[Event]) -> Before {
        let jobs = events.iter().filter_map(Event::job);
        Before(
            jobs.map(|id| (id.clone(), state.jobs.get(id).map(view)))
                .collect(),
        )
    }

    /// Follows events that were applied to `state`.
    pub fn note(&mut self, before: Before, state: &State, events: &[Event], now: Millis) {
        for event in events {
            match event {
                Event::Claimed { request, .. } => {
                    self.open_claims.push_back((now, request.clone()));
                }
                Event::ClaimEnded { request, .. } => {
                    self.ended_claims.push_back((now, request.clone()));
                }
                _ => {}
            }
        }
        for (id, before) in before.0 {
            let after = state.jobs.get(&id).map(view);
            if before != after {
                self.change(&id, before, after, now);
            }
        }
    }

    fn change(&mut self, id: &JobId, before: Option<View>, after: Option<View>, now: Millis) {
        // Work that lost its place was accepted before anything that still waits.
        let side = match before {
            Some(_) => Side::Front,
            None => Side::Back,
        };
        if let Some(view) = before {
            self.leave(id, &view);
        }
        if let Some(view) = after {
            self.enter(id, &view, now, side);
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

    /// Entries of which jobs wait.
    pub fn waiting_entries(&self) -> Vec<EntryName> {
        let waits = self.counts.iter().filter(|(_, counts)| counts.waiting > 0);
        waits.map(|(entry, _)| entry.clone()).collect()
    }

    /// Takes the next waiting job of an entry off its queue. One that stays waiting has to be put
    /// back by [`Index::put_back`].
    pub fn take_waiting(&mut self, state: &State, entry: &EntryName) -> Option<JobId> {
        let queue = self.waiting.get_mut(entry)?;
        while let Some(id) = queue.pop_front() {
            let waits = |job: &Job| job.phase == JobPhase::Waiting && !job.cancelling;
            // One that was cancelled while it waited is still in the queue.
            if state.jobs.get(&id).is_some_and(waits) {
                return Some(id);
            }
        }
        self.waiting.swap_remove(entry);
        None
    }

    /// Puts jobs that were taken off an entry's queue back at its head, in their order.
    pub fn put_back(&mut self, entry: &EntryName, jobs: Vec<JobId>) {
        if jobs.is_empty() {
            return;
        }
        let queue = self.waiting.entry(entry.clone()).or_default();
        for id in jobs.into_iter().rev() {
            queue.push_front(id);
        }
    }

    /// How many jobs of an entry wait and run.
    pub fn counts(&self, entry: &EntryName) -> Counts {
        self.counts.get(entry).copied().unwrap_or_default()
    }

    /// Takes up to `most` ended jobs off the list: those that ended before `before`, and the oldest
    /// ones beyond `keep`.
    pub fn take_expired_jobs(&mut self, before: Millis, keep: usize, most: usize) -> Vec<JobId> {
        take_expired(&mut self.ended_jobs, before, keep, most)
    }

    /// The same for ended claims.
    pub fn take_expired_claims(
        &mut self,
        before: Millis,
        keep: usize,
        most: usize,
    ) -> Vec<RequestId> {
        take_expired(&mut self.ended_claims, before, keep, most)
    }

    /// Takes up to `most` claims off the list that were made before `before`.
    pub fn take_old_claims(&mut self, before: Millis, most: usize) -> Vec<RequestId> {
        take_expired(&mut self.open_claims, before, usize::MAX, most)
    }

    fn enter(&mut self, id: &JobId, view: &View, now: Millis, side: Side) {
        match &view.stage {
            Stage::Waiting => {
                let queue = self.waiting.entry(view.entry.clone()).or_default();
                match side {
                    Side::Front => queue.push_front(id.clone()),
                    Side::Back => queue.push_back(id.clone()),
                }
                self.counts.entry(view.entry.clone()).or_default().waiting += 1;
            }
            Stage::Placed(worker) => {
                let jobs = self.by_worker.entry(worker.clone()).or_default();
                jobs.insert(id.clone());
                self.counts.entry(view.entry.clone()).or_default().placed += 1;
            }
            Stage::Ended => self.ended_jobs.push_back((now, id.clone())),
        }
    }

    fn leave(&mut self, id: &JobId, view: &View) {
        let counts = self.counts.entry(view.entry.clone()).or_default();
        match &view.stage {
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
        if self.counts.get(&view.entry) == Some(&Counts::default()) {
            self.counts.swap_remove(&view.entry);
        }
    }
}

#[derive(Clone, Copy)]
enum Side {
    Front,
    Back,
}

fn view(job: &Job) -> View {
    let stage = match &job.phase {
        JobPhase::Waiting => Stage::Waiting,
        JobPhase::Placed(placement) => Stage::Placed(placement.worker.clone()),
        JobPhase::Ended(_) => Stage::Ended,
    };
    View {
        entry: job.entry.clone(),
        stage,
    }
}

fn take_expired<T>(
    list: &mut VecDeque<(Millis, T)>,
    before: Millis,
    keep: usize,
    most: usize,
) -> Vec<T> {
    let mut taken = Vec::new();
    while taken.len() < most {
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
