//! A shard's ledger: the durable state of the shard as a log of events.
//!
//! Only the shard's owner appends. One table transaction asserts the epoch and the next sequence
//! number and writes one row with a [`Batch`]; recovery loads the last snapshot and replays the
//! batches after it. [`State::apply`] checks every event against the state, so an invalid event is
//! rejected when it is proposed and not found at the next recovery. [`super::event`] defines the
//! events.

pub use super::event::{Batch, Claim, ClaimEnd, Event, Grant, OwnerRecord};

use super::ownership::Holder;
use crate::core::{
    id::{EntryName, Epoch, JobId, RequestId, Sequence, ShardId, WorkerId},
    job::{Attempt, Job, JobEnd, JobPhase, Placement},
    size::Size,
};
use indexmap::IndexMap;
use std::{fmt, hash::Hash, time::Duration};

/// An event that is invalid in the state that it was applied to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidEvent {
    reason: &'static str,
    subject: String,
}

impl fmt::Display for InvalidEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} for `{}`", self.reason, self.subject)
    }
}

impl std::error::Error for InvalidEvent {}

fn invalid_event(reason: &'static str, subject: &impl ToString) -> InvalidEvent {
    InvalidEvent {
        reason,
        subject: subject.to_string(),
    }
}

data! {
    /// The state of a shard after its last batch.
    #[derive(Default)]
    pub struct State {
        /// Sequence number of the last batch applied; 0 before the first.
        pub sequence: Sequence,
        /// The epoch of the owner that wrote the last batch.
        pub epoch: Epoch,
        /// Jobs held by this shard, ended ones until their retention has passed.
        pub jobs: IndexMap<JobId, Job>,
        /// Jobs that moved to another shard, and that shard. Repeating their acceptance must not
        /// create a second job, and callers are redirected.
        #[serde(default)]
        pub moved: IndexMap<JobId, ShardId>,
        /// Claims on request ids that callers chose.
        pub claims: IndexMap<RequestId, Claim>,
        /// Capacity of each worker that is granted to each daemon for requests.
        #[serde(with = "indexmap::map::serde_seq")]
        pub grants: IndexMap<Holder, IndexMap<WorkerId, Grant>>,
        /// Owners that may have renewed a task that is still placed, by ascending epoch.
        pub owners: Vec<OwnerRecord>,
        /// Sum of the placed tasks and granted floors on each worker. Derived from `jobs` and
        /// `grants`; see [`Self::recount`].
        pub committed: IndexMap<WorkerId, Grant>,
    }
}

impl State {
    /// Replays batches, in order of sequence, on a snapshot and returns how many were applied.
    /// Batches that the snapshot already covers may not have been deleted yet and are skipped. A
    /// gap is an error.
    pub fn replay(&mut self, batches: &[Batch]) -> Result<u64, InvalidEvent> {
        let mut applied = 0;
        for batch in batches {
            if batch.sequence > self.sequence {
                self.apply_batch(batch)?;
                applied += 1;
            }
        }
        Ok(applied)
    }

    /// Applies a batch. The state is unchanged when the sequence number or the epoch is wrong. An
    /// invalid event means that the ledger is corrupt; the state must not be used after it.
    pub fn apply_batch(&mut self, batch: &Batch) -> Result<(), InvalidEvent> {
        if batch.sequence != self.sequence.next() {
            return Err(invalid_event("sequence out of order", &batch.sequence.0));
        }
        if batch.epoch < self.epoch {
            return Err(invalid_event("epoch below the last writer's", &batch.epoch));
        }
        for event in &batch.events {
            self.apply(event)?;
        }
        self.sequence = batch.sequence;
        self.epoch = batch.epoch;
        Ok(())
    }

    /// Applies all events, or none of them when one is invalid.
    pub fn apply_all(&mut self, events: &[Event]) -> Result<(), InvalidEvent> {
        if let [event] = events {
            return self.apply(event);
        }
        let mut copy = self.state_for(events);
        for event in events {
            copy.apply(event)?;
        }
        for event in events {
            self.apply(event)?;
        }
        Ok(())
    }

    /// Copies the part of the state that decides whether `events` are valid. Cloning the whole
    /// state for each proposal would take time proportional to the number of jobs kept.
    fn state_for(&self, events: &[Event]) -> Self {
        let jobs: Vec<&JobId> = events.iter().filter_map(Event::job).collect();
        let requests = events.iter().filter_map(Event::request);
        Self {
            jobs: subset(&self.jobs, jobs.iter().copied()),
            moved: subset(&self.moved, jobs.iter().copied()),
            claims: subset(&self.claims, requests),
            owners: self.owners.clone(),
            ..Self::default()
        }
    }

    /// Applies one event; an error leaves the state unchanged.
    pub fn apply(&mut self, event: &Event) -> Result<(), InvalidEvent> {
        match event {
            Event::OwnerBegan { epoch, holder } => self.owner_began(*epoch, holder),
            Event::OwnerEnded { epoch } => self.owner_ended(*epoch),
            Event::Accepted {
                job,
                entry,
                size,
                hold,
            } => self.accepted(job, entry, size, *hold),
            Event::Placed { job, placement } => self.placed(job, placement),
            Event::Checkpointed {
                job,
                attempt,
                checkpoint,
            } => {
                self.placed_attempt(job, *attempt)?.checkpoint = Some(checkpoint.clone());
                Ok(())
            }
            Event::Evicted { job, attempt } => self.unplace(job, *attempt).map(|_| ()),
            Event::AttemptFailed { job, attempt } => {
                self.unplace(job, *attempt)?.failures += 1;
                Ok(())
            }
            Event::CancelAsked { job } => self.cancel_asked(job),
            Event::Ended { job, end } => self.ended(job, end),
            Event::Forgotten { job } => self.forgotten(job),
            Event::MovedOut { job, to } => self.moved_out(job, to),
            Event::MovedIn { id, job } => self.moved_in(id, job),
            Event::Claimed { request, entry, by } => self.claimed(request, entry, by),
            Event::ClaimEnded { request, end } => self.claim_ended(request, end),
            Event::ClaimForgotten { request } => self.claim_forgotten(request),
            Event::Granted { to, worker, grant } => {
                self.granted(to, worker, *grant);
                Ok(())
            }
            Event::GrantsVoided { of } => {
                self.grants_voided(of);
                Ok(())
            }
        }
    }

    /// Sum of the placed tasks and granted floors on a worker.
    pub fn committed_on(&self, worker: &WorkerId) -> Grant {
        self.committed.get(worker).copied().unwrap_or_default()
    }

    /// Computes `committed` from the jobs and grants. The two are always equal.
    pub fn recount(&self) -> IndexMap<WorkerId, Grant> {
        let mut sums: IndexMap<WorkerId, Grant> = IndexMap::new();
        for job in self.jobs.values() {
            if let Some(placement) = job.placement() {
                let sum = sums.entry(placement.worker.clone()).or_default();
                sum.size = sum.size.plus(&job.size);
            }
        }
        for (worker, grant) in self.grants.values().flatten() {
            let sum = sums.entry(worker.clone()).or_default();
            sum.slots += grant.slots;
            sum.size = sum.size.plus(&grant.size);
        }
        sums
    }

    /// The owners before `epoch` that may have renewed a task placed in epoch `placed`.
    pub fn suspects(&self, placed: Epoch, epoch: Epoch) -> impl Iterator<Item = &OwnerRecord> {
        self.owners
            .iter()
            .filter(move |owner| owner.epoch >= placed && owner.epoch < epoch)
    }

    fn owner_began(&mut self, epoch: Epoch, holder: &Holder) -> Result<(), InvalidEvent> {
        if self.owners.last().is_some_and(|last| last.epoch >= epoch) {
            return Err(invalid_event("owner's epoch not above the last", &epoch));
        }
        let oldest = self
            .jobs
            .values()
            .filter_map(|job| job.placement())
            .map(|p| p.epoch)
            .min();
        let oldest = oldest.unwrap_or(epoch);
        self.owners.retain(|owner| owner.epoch >= oldest);
        self.owners.push(OwnerRecord {
            epoch,
            holder: holder.clone(),
            released: false,
        });
        Ok(())
    }

    fn owner_ended(&mut self, epoch: Epoch) -> Result<(), InvalidEvent> {
        let owner = self.owners.iter_mut().find(|owner| owner.epoch == epoch);
        let owner = owner.ok_or_else(|| invalid_event("no such owner", &epoch))?;
        owner.released = true;
        Ok(())
    }

    fn accepted(
        &mut self,
        id: &JobId,
        entry: &EntryName,
        size: &Size,
        hold: Duration,
    ) -> Result<(), InvalidEvent> {
        if self.jobs.contains_key(id) || self.moved.contains_key(id) {
            return Err(invalid_event("job accepted twice", id));
        }
        let job = Job {
            entry: entry.clone(),
            size: *size,
            hold,
            phase: JobPhase::Waiting,
            attempts: Attempt::default(),
            failures: 0,
            checkpoint: None,
            cancelling: false,
        };
        self.jobs.insert(id.clone(), job);
        Ok(())
    }

    fn placed(&mut self, id: &JobId, placement: &Placement) -> Result<(), InvalidEvent> {
        let job = self
            .jobs
            .get_mut(id)
            .ok_or_else(|| invalid_event("no such job", id))?;
        if job.phase != JobPhase::Waiting {
            return Err(invalid_event("job placed while not waiting", id));
        }
        if placement.attempt != Attempt(job.attempts.0 + 1) {
            return Err(invalid_event("attempt out of order", id));
        }
        // The next owner relies on an owner that has ended to start nothing more, and waits only
        // for the last lease to run out.
        let has_ended = |owner: &OwnerRecord| owner.epoch == placement.epoch && owner.released;
        if self.owners.iter().any(has_ended) {
            return Err(invalid_event("job placed by an owner that has ended", id));
        }
        job.attempts = placement.attempt;
        job.phase = JobPhase::Placed(placement.clone());
        let sum = self.committed.entry(placement.worker.clone()).or_default();
        sum.size = sum.size.plus(&job.size);
        Ok(())
    }

    fn placed_attempt(&mut self, id: &JobId, attempt: Attempt) -> Result<&mut Job, InvalidEvent> {
        let job = self
            .jobs
            .get_mut(id)
            .ok_or_else(|| invalid_event("no such job", id))?;
        match job.placement() {
            Some(placement) if placement.attempt == attempt => Ok(job),
            _ => Err(invalid_event("attempt is not the placed one", id)),
        }
    }

    fn unplace(&mut self, id: &JobId, attempt: Attempt) -> Result<&mut Job, InvalidEvent> {
        self.placed_attempt(id, attempt)?;
        self.release_placement(id);
        let job = &mut self.jobs[id];
        job.phase = JobPhase::Waiting;
        Ok(job)
    }

    fn release_placement(&mut self, id: &JobId) {
        let job = &self.jobs[id];
        let Some(placement) = job.placement() else {
            return;
        };
        let (worker, size) = (placement.worker.clone(), job.size);
        let sum = self.committed.entry(worker.clone()).or_default();
        sum.size = sum.size.minus(&size);
        self.remove_if_empty(&worker);
    }

    fn remove_if_empty(&mut self, worker: &WorkerId) {
        if self.committed.get(worker) == Some(&Grant::default()) {
            self.committed.swap_remove(worker);
        }
    }

    fn cancel_asked(&mut self, id: &JobId) -> Result<(), InvalidEvent> {
        let job = self
            .jobs
            .get_mut(id)
            .ok_or_else(|| invalid_event("no such job", id))?;
        if job.is_ended() {
            return Err(invalid_event("cancel of an ended job", id));
        }
        job.cancelling = true;
        Ok(())
    }

    fn ended(&mut self, id: &JobId, end: &JobEnd) -> Result<(), InvalidEvent> {
        let job = self
            .jobs
            .get(id)
            .ok_or_else(|| invalid_event("no such job", id))?;
        if job.is_ended() {
            return Err(invalid_event("job ended twice", id));
        }
        self.release_placement(id);
        self.jobs[id].phase = JobPhase::Ended(end.clone());
        Ok(())
    }

    fn forgotten(&mut self, id: &JobId) -> Result<(), InvalidEvent> {
        match self.jobs.get(id) {
            Some(job) if job.is_ended() => {
                self.jobs.swap_remove(id);
                Ok(())
            }
            None if self.moved.contains_key(id) => {
                self.moved.swap_remove(id);
                Ok(())
            }
            _ => Err(invalid_event("only an ended job is forgotten", id)),
        }
    }

    /// A placed job can't move: it may be running, and only its worker's shard can find out.
    fn moved_out(&mut self, id: &JobId, to: &ShardId) -> Result<(), InvalidEvent> {
        match self.jobs.get(id) {
            Some(job) if job.phase == JobPhase::Waiting => {
                self.jobs.swap_remove(id);
                self.moved.insert(id.clone(), to.clone());
                Ok(())
            }
            _ => Err(invalid_event("only a waiting job moves", id)),
        }
    }

    fn moved_in(&mut self, id: &JobId, job: &Job) -> Result<(), InvalidEvent> {
        if self.jobs.contains_key(id) {
            return Err(invalid_event("job moved in twice", id));
        }
        if job.phase != JobPhase::Waiting {
            return Err(invalid_event("only a waiting job moves", id));
        }
        // A job may return to a shard that it left.
        self.moved.swap_remove(id);
        self.jobs.insert(id.clone(), job.clone());
        Ok(())
    }

    fn claimed(
        &mut self,
        id: &RequestId,
        entry: &EntryName,
        by: &Holder,
    ) -> Result<(), InvalidEvent> {
        if self.claims.contains_key(id) {
            return Err(invalid_event("request claimed twice", id));
        }
        let claim = Claim {
            entry: entry.clone(),
            by: by.clone(),
            end: None,
        };
        self.claims.insert(id.clone(), claim);
        Ok(())
    }

    fn claim_ended(&mut self, id: &RequestId, end: &ClaimEnd) -> Result<(), InvalidEvent> {
        let claim = self
            .claims
            .get_mut(id)
            .ok_or_else(|| invalid_event("no such claim", id))?;
        if claim.end.is_some() {
            return Err(invalid_event("claim ended twice", id));
        }
        claim.end = Some(end.clone());
        Ok(())
    }

    fn claim_forgotten(&mut self, id: &RequestId) -> Result<(), InvalidEvent> {
        match self.claims.get(id) {
            Some(claim) if claim.end.is_some() => {
                self.claims.swap_remove(id);
                Ok(())
            }
            _ => Err(invalid_event("only an ended claim is forgotten", id)),
        }
    }

    fn granted(&mut self, to: &Holder, worker: &WorkerId, grant: Grant) {
        let floors = self.grants.entry(to.clone()).or_default();
        let before = floors.insert(worker.clone(), grant).unwrap_or_default();
        if grant == Grant::default() {
            floors.swap_remove(worker);
        }
        if floors.is_empty() {
            self.grants.swap_remove(to);
        }
        let sum = self.committed.entry(worker.clone()).or_default();
        sum.slots = sum.slots - before.slots + grant.slots;
        sum.size = sum.size.minus(&before.size).plus(&grant.size);
        self.remove_if_empty(worker);
    }

    fn grants_voided(&mut self, of: &Holder) {
        for (worker, grant) in self.grants.swap_remove(of).unwrap_or_default() {
            let sum = self.committed.entry(worker.clone()).or_default();
            sum.slots -= grant.slots;
            sum.size = sum.size.minus(&grant.size);
            self.remove_if_empty(&worker);
        }
    }
}

fn subset<'a, K: Hash + Eq + Clone + 'a, V: Clone>(
    all: &IndexMap<K, V>,
    keys: impl Iterator<Item = &'a K>,
) -> IndexMap<K, V> {
    keys.filter_map(|key| Some((key.clone(), all.get(key)?.clone())))
        .collect()
}
