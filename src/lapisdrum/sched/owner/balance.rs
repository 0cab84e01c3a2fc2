//! Sends new jobs that no worker of their home shard can run to a shard that has workers for them,
//! long-running jobs to the less loaded of two shards (their home shard and another one drawn at
//! random), and other jobs to a shard that is expected to start them clearly sooner, if the feature
//! is on ([`shard_loads`]).
//!
//! Load pattern: about fifty long-running jobs of ninety cores per shard, which reserve 84 % of it
//! on average and run for a minute. Placed by a hash alone, the fullest of three shards is more
//! than 90 % reserved; when workers leave, its tasks wait fifteen seconds while other shards have
//! free capacity. Choosing between two shards balances nearly as well as choosing the least loaded
//! of all, and costs one call.
//!
//! The home shard decides once and journals the decision before it replies. A repeated submission,
//! at any daemon and any owner, is sent to the same shard, so only one shard accepts the job.

use super::{
    Owner,
    jobs::ANSWER_WITHIN,
    shard_loads::{self, SoonerStart},
    suitable::{JobNeeds, Suitability},
};
use crate::{
    core::time::millis,
    sched::{
        Cx,
        event::Event,
        front,
        job::{JobId, JobSpec, QueueConfig},
        journal::AppendOutcome,
        layout::{Layout, ShardId},
        peer::SubmitReply,
    },
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
    terms: &QueueConfig,
) -> Option<SubmitReply> {
    if is_new(owner, job) {
        let needs = JobNeeds::new(spec, terms);
        let own = owner.suitability(cx, &needs);
        let better = match own {
            None => None,
            Some(Suitability::Unsuitable) => suitable_shard(cx, owner, &needs).await,
            Some(Suitability::Suitable(_)) if needs.long_running.is_empty() => {
                let sooner = shard_loads::sooner_elsewhere(cx, owner, job, spec, terms);
                sooner.map(Better::SoonerStart)
            }
            Some(Suitability::Suitable(own)) => less_loaded(cx, owner, spec, &needs, own).await,
        };
        // Another call may have decided meanwhile.
        if let Some(better) = better
            && is_new(owner, job)
            && owner.journal.accepts_work(cx.clock.now())
        {
            note_sent(cx, owner, job, own, &better);
            let to = better.shard();
            shard_loads::note_sent(owner, to, spec, terms);
            drop(owner.propose(cx, vec![sent(cx, job, to)]));
        } else if own == Some(Suitability::Unsuitable) {
            log::warn!(job:% = job, shard:% = owner.handle.partition, steps = needs.steps.len(); "no shard that answers has workers for each step of the job");
        }
    }
    let to = owner.ledger.borrow().sent.get(&job).map(|sent| sent.to)?;
    // The other shard may not know a job on its way, and would accept it as a new one.
    if owner.ledger.borrow().moving.contains_key(&job) {
        return Some(SubmitReply::Accepted);
    }
    // An empty append is durable once all earlier ones are, including the decision.
    let outcome = owner.journal.append(&[]).outcome();
    match tokio::time::timeout(ANSWER_WITHIN, outcome).await {
        Ok(AppendOutcome::Durable) => Some(SubmitReply::Elsewhere(to)),
        Err(_) if owner.journal.accepts_work(cx.clock.now()) => Some(SubmitReply::UnderWay),
        Ok(AppendOutcome::Lost) | Err(_) => Some(SubmitReply::Unknown),
    }
}

/// Why jobs are sent to another shard, as lines and metrics name it: it has workers for the job, is less
/// loaded with long-running tasks, or is expected to start the job sooner.
pub const REASONS: [&str; 3] = [HAS_WORKERS, LESS_LOADED, SOONER_START];
const HAS_WORKERS: &str = "has_workers";
const LESS_LOADED: &str = "less_loaded";
const SOONER_START: &str = "sooner_start";

/// Another shard for a job, and why.
enum Better {
    /// It has workers for the job, and this load, in thousandths.
    HasWorkers(ShardId, u32),
    /// It has this load of long-running tasks, in thousandths.
    LessLoaded(ShardId, u32),
    /// It is expected to start the job sooner.
    SoonerStart(SoonerStart),
}

impl Better {
    fn shard(&self) -> ShardId {
        match self {
            Self::HasWorkers(shard, _) | Self::LessLoaded(shard, _) => *shard,
            Self::SoonerStart(sooner) => sooner.to,
        }
    }

    fn reason(&self) -> &'static str {
        match self {
            Self::HasWorkers(..) => HAS_WORKERS,
            Self::LessLoaded(..) => LESS_LOADED,
            Self::SoonerStart(_) => SOONER_START,
        }
    }
}

fn note_sent(cx: &Cx, owner: &Owner, job: JobId, own: Option<Suitability>, better: &Better) {
    let (from, to, reason) = (&owner.handle.partition, better.shard().0, better.reason());
    cx.metrics.note_sent(reason);
    match better {
        Better::HasWorkers(_, theirs) | Better::LessLoaded(_, theirs) => {
            log::info!(job:% = job, from:%, to, reason, own:?, theirs; "job is sent to another shard");
        }
        Better::SoonerStart(sooner) => {
            let own_wait_ms = millis(sooner.own_wait);
            let wait_ms = millis(sooner.there.wait);
            let age_ms = millis(sooner.there.age);
            log::info!(job:% = job, from:%, to, reason, own_wait_ms, wait_ms, age_ms; "job is sent to another shard");
        }
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

/// The least loaded of the other shards that have workers for each step, and its load.
async fn suitable_shard(cx: &Cx, owner: &Owner, needs: &JobNeeds) -> Option<Better> {
    let suitable = suitable_shards(cx, owner, needs).await.into_iter();
    let (shard, load) = suitable.min_by_key(|(_, load)| *load)?;
    Some(Better::HasWorkers(shard, load))
}

/// The other shards that have workers for each step, and their loads.
pub(super) async fn suitable_shards(
    cx: &Cx,
    owner: &Owner,
    needs: &JobNeeds,
) -> Vec<(ShardId, u32)> {
    let Some(layout) = cx.layout.borrow().clone() else {
        return Vec::new();
    };
    let others = layout.all().filter(|shard| *shard != owner.handle.shard);
    let asked = others.map(async |shard| Some((shard, load_of(cx, shard, needs).await?)));
    let suitable = futures::future::join_all(asked).await;
    suitable.into_iter().flatten().collect()
}

/// Another shard, drawn at random, if it is less loaded, and its load; none for jobs that are
/// bound to a data rack.
async fn less_loaded(
    cx: &Cx,
    owner: &Owner,
    spec: &JobSpec,
    needs: &JobNeeds,
    own: u32,
) -> Option<Better> {
    let layout = cx.layout.borrow().clone()?;
    let is_bound = spec.steps.iter().any(|step| step.data_rack.is_some());
    if is_bound {
        return None;
    }
    let other = draw(&layout, owner.handle.shard, &mut cx.rng())?;
    let theirs = load_of(cx, other, needs).await?;
    is_less_loaded(own, theirs).then_some(Better::LessLoaded(other, theirs))
}

/// The load of a shard for a job; none if it has no workers for it, or does not answer in time.
async fn load_of(cx: &Cx, shard: ShardId, needs: &JobNeeds) -> Option<u32> {
    let handle = cx.handle(shard);
    let asked = front::suitability(cx, &handle, needs);
    match tokio::time::timeout(LOAD_TIMEOUT, asked).await.ok()?? {
        Suitability::Unsuitable => None,
        Suitability::Suitable(load) => Some(load),
    }
}

fn draw(layout: &Layout, own: ShardId, rng: &mut impl Rng) -> Option<ShardId> {
    let others: Vec<ShardId> = layout.all().filter(|shard| *shard != own).collect();
    if others.is_empty() {
        return None;
    }
    Some(others[rng.random_range(0..others.len())])
}
