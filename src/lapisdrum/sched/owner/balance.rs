//! Sends new long-running jobs to the less loaded of two shards: their home shard and another one
//! drawn at random.
//!
//! Load pattern: about fifty long-running jobs of ninety cores per shard, which reserve 84 % of it
//! on average and run for a minute. Placed by a hash alone, the fullest of three shards is more
//! than 90 % reserved; when workers leave, its tasks wait fifteen seconds while other shards have
//! free capacity. Choosing between two shards balances nearly as well as choosing the least loaded
//! of all, and costs one call.
//!
//! The home shard decides once and journals the decision before it replies. A repeated submission,
//! at any daemon and any owner, is sent to the same shard, so only one shard accepts the job.

use super::{Owner, jobs::ANSWER_WITHIN};
use crate::sched::{
    Cx,
    event::Event,
    front,
    job::{JobId, JobSpec},
    journal::AppendOutcome,
    layout::{Layout, ShardId},
    ledger::{Job, Phase},
    peer::SubmitReply,
};
use rand::Rng;
use std::{rc::Rc, time::Duration};

/// A shard counts as less loaded if its load is lower by more than this many thousandths: about the
/// share of one long-running job.
const MIN_LOAD_DIFFERENCE_PERMILLE: u32 = 25;
/// Timeout of the call for the other shard's load: many round trips. Without a reply the job stays
/// in its home shard.
const LOAD_TIMEOUT: Duration = Duration::from_millis(150);

/// Whether a shard with load `own` sends a long-running job to one with load `other`, both in
/// thousandths.
pub fn is_less_loaded(own: u32, other: u32) -> bool {
    other.saturating_add(MIN_LOAD_DIFFERENCE_PERMILLE) < own
}

/// The reply to a submission that another shard has to accept; none if this shard has to.
pub async fn reply_if_sent(
    cx: &Cx,
    owner: &Rc<Owner>,
    job: JobId,
    spec: &JobSpec,
) -> Option<SubmitReply> {
    if let Some(other) = candidate(cx, owner, job, spec) {
        let own = owner.long_running_load(cx);
        let handle = cx.handle(other);
        let reply = tokio::time::timeout(LOAD_TIMEOUT, front::long_running_load(cx, &handle)).await;
        let theirs = reply.ok().flatten();
        let is_decided = !is_new(owner, job);
        if let (false, Some(own), Some(theirs)) = (is_decided, own, theirs)
            && is_less_loaded(own, theirs)
            && owner.journal.accepts_work(cx.clock.now())
        {
            log::info!(job:% = job, from:% = owner.handle.partition, to:% = handle.partition, own, theirs; "job is sent to another shard");
            drop(owner.propose(cx, vec![sent(cx, job, other)]));
        }
    }
    let to = owner.ledger.borrow().sent.get(&job).map(|sent| sent.to)?;
    // An empty append is durable once all earlier ones are, including the decision.
    let outcome = owner.journal.append(&[]).outcome();
    match tokio::time::timeout(ANSWER_WITHIN, outcome).await {
        Ok(AppendOutcome::Durable) => Some(SubmitReply::Elsewhere(to)),
        Err(_) if owner.journal.accepts_work(cx.clock.now()) => Some(SubmitReply::UnderWay),
        Ok(AppendOutcome::Lost) | Err(_) => Some(SubmitReply::Unknown),
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

/// Another shard, drawn at random, for a new long-running job; none for other jobs and for those
/// bound to a data rack.
fn candidate(cx: &Cx, owner: &Owner, job: JobId, spec: &JobSpec) -> Option<ShardId> {
    let layout = cx.layout.borrow().clone()?;
    let is_long_running = spec.steps.iter().any(|step| step.is_long_running);
    let is_bound = spec.steps.iter().any(|step| step.data_rack.is_some());
    if !is_long_running || is_bound || !is_new(owner, job) {
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

/// Processors that a job's long-running tasks reserve in this shard, in thousandths of a core.
fn long_running_millicores(job: &Job) -> u64 {
    let steps = job.spec.steps.iter().enumerate();
    let long_running = steps.filter(|(_, step)| step.is_long_running);
    long_running
        .map(|(at, step)| step.size.millicores * job.own_task_count(at))
        .sum()
}

impl Owner {
    /// Processors that active jobs' long-running tasks ask for, in thousandths of the shard's
    /// capacity. None before the shard is recovered and while no worker is open for tasks.
    pub fn long_running_load(&self, cx: &Cx) -> Option<u32> {
        if !self.is_recovered() {
            return None;
        }
        let open = self.open_workers(cx);
        let capacity: u64 = open.iter().map(|report| report.capacity.millicores).sum();
        let (ledger, active) = (self.ledger.borrow(), self.active.borrow());
        let jobs = active.iter().filter_map(|id| ledger.jobs.get(id));
        let jobs = jobs.filter(|job| job.phase == Phase::Active);
        let requested: u64 = jobs.map(long_running_millicores).sum();
        (capacity > 0).then(|| u32::try_from(requested * 1_000 / capacity).unwrap_or(u32::MAX))
    }
}
