//! Hands jobs that last to the shard that has more room for them.
//!
//! Load pattern: some fifty lasting jobs of ninety cores a shard, which reserve 84 hundredths of it on average and
//! stay for a minute. Dealt by a hash alone, the fullest of three shards is over nine tenths full; when workers
//! leave, its tasks find no place for fifteen seconds while the other shards have room for them. So a
//! job that lasts goes to the emptier of two shards, its home and one drawn at random, which is nearly as good
//! as the emptiest of all and costs one call.
//!
//! The home decides once and remembers it, durably and before anybody is told: a repeat of the submission, at any
//! daemon and any owner, is sent to the same shard, so the job is accepted in one only.

use super::{Owner, jobs::ANSWER_WITHIN};
use crate::sched::{
    Cx,
    event::Event,
    front,
    job::{JobId, JobSpec},
    journal::AppendEnd,
    layout::{Layout, ShardId},
    ledger::{Job, Phase},
    peer::SubmitReply,
};
use rand::Rng;
use std::{rc::Rc, time::Duration};

/// A shard is emptier if it has so many thousandths less taken: about a lasting job's share of a shard.
const EMPTIER_BY: u32 = 25;
/// Longest wait for the other shard's answer; without one the job stays. Many round trips.
const LOAD_TIMEOUT: Duration = Duration::from_millis(150);

/// Whether a shard with this load leaves a lasting job to one with that load, both in thousandths.
pub fn is_emptier(own: u32, other: u32) -> bool {
    other.saturating_add(EMPTIER_BY) < own
}

/// What to answer to a submission that is for another shard; none where it is for this one.
pub async fn elsewhere(
    cx: &Cx,
    owner: &Rc<Owner>,
    job: JobId,
    spec: &JobSpec,
) -> Option<SubmitReply> {
    if let Some(other) = candidate(cx, owner, job, spec) {
        let own = owner.lasting_load(cx);
        let handle = cx.handle(other);
        let asked = tokio::time::timeout(LOAD_TIMEOUT, front::load_of(cx, &handle)).await;
        let theirs = asked.ok().flatten();
        let is_decided = !is_new(owner, job);
        if let (false, Some(own), Some(theirs)) = (is_decided, own, theirs)
            && is_emptier(own, theirs)
            && owner.journal.is_flowing(cx.clock.now())
        {
            log::info!(job:% = job, from:% = owner.handle.part, to:% = handle.part, own, theirs; "job is sent to another shard");
            drop(owner.propose(cx, vec![sent(cx, job, other)]));
        }
    }
    let to = owner.ledger.borrow().sent.get(&job).map(|sent| sent.to)?;
    // An empty append is durable once everything before it is, the decision included.
    let settled = owner.journal.append(&[]).end();
    match tokio::time::timeout(ANSWER_WITHIN, settled).await {
        Ok(AppendEnd::Durable) => Some(SubmitReply::Elsewhere(to)),
        Err(_) if owner.journal.is_flowing(cx.clock.now()) => Some(SubmitReply::UnderWay),
        Ok(AppendEnd::Lost) | Err(_) => Some(SubmitReply::Unknown),
    }
}

fn sent(cx: &Cx, job: JobId, to: ShardId) -> Event {
    Event::Sent {
        job,
        to,
        at_unix_ms: cx.unix_ms(),
    }
}

fn is_new(owner: &Owner, job: JobId) -> bool {
    let ledger = owner.ledger.borrow();
    !ledger.jobs.contains_key(&job) && !ledger.sent.contains_key(&job)
}

/// Another shard that may take a new lasting job; none for any other job, or one that belongs near its data.
fn candidate(cx: &Cx, owner: &Owner, job: JobId, spec: &JobSpec) -> Option<ShardId> {
    let layout = cx.layout.borrow().clone()?;
    let lasts = spec.steps.iter().any(|step| step.is_long_running);
    let is_bound = spec.steps.iter().any(|step| step.data_rack.is_some());
    if !lasts || is_bound || !is_new(owner, job) {
        return None;
    }
    draw(&layout, owner.handle.shard)
}

fn draw(layout: &Layout, own: ShardId) -> Option<ShardId> {
    let others: Vec<ShardId> = layout.all().filter(|shard| *shard != own).collect();
    if others.is_empty() {
        return None;
    }
    Some(others[rand::rng().random_range(0..others.len())])
}

/// What a job's long-running tasks reserve in this shard, in thousandths of a core.
fn lasting_millicores(job: &Job) -> u64 {
    let steps = job.spec.steps.iter().enumerate();
    let lasting = steps.filter(|(_, step)| step.is_long_running);
    lasting
        .map(|(at, step)| step.size.millicores * job.tasks_here(at))
        .sum()
}

impl Owner {
    /// What lasting jobs ask for of the shard's processors, in thousandths; none before its workers are known.
    pub fn lasting_load(&self, cx: &Cx) -> Option<u32> {
        if !self.is_recovered() {
            return None;
        }
        let open = self.open_workers(cx);
        let capacity: u64 = open.iter().map(|report| report.capacity.millicores).sum();
        let (ledger, active) = (self.ledger.borrow(), self.active.borrow());
        let jobs = active.iter().filter_map(|id| ledger.jobs.get(id));
        let jobs = jobs.filter(|job| job.phase == Phase::Active);
        let asked: u64 = jobs.map(lasting_millicores).sum();
        (capacity > 0).then(|| u32::try_from(asked * 1_000 / capacity).unwrap_or(u32::MAX))
    }
}
