//! Measures the load of the shard and exchanges it with other owners, so that a new job goes to the
//! shard that is expected to start it first ([`crate::policy::shard_load`]).
//!
//! The own digest is made in a dispatch pass, or when it is asked for, at most every
//! [`DIGEST_INTERVAL`]. Other shards are asked only while tasks wait here, or a job came for which
//! there is no room: a few shards a round, whatever the number of shards. A submission never waits
//! for an answer; without a recent one its job stays.

use super::{Owner, dispatch};
use crate::{
    core::{size::Size, time::Millis},
    policy::{
        dispatch::{overdue::MAX_IDLE_TIME, place::Host},
        shard_load::{
            self, Candidate, Class, JobDemand, LoadDigest, PoolRoom, Sooner, TaskDemand, WorkMeter,
        },
    },
    sched::{
        Cx,
        event::RunId,
        front,
        job::{Gang, JobId, JobSpec, QueueConfig, Step},
        layout::ShardId,
        owner::runs::load_of,
    },
};
use indexmap::{IndexMap, IndexSet};
use rand::seq::IndexedRandom;
use std::{rc::Rc, time::Duration};

/// Least time between two digests: free pieces change with each of some hundred starts and ends a
/// second, and passes run up to 200 times a second.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);
/// Least time between two rounds of calls to other shards.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Shards asked in a round: two drawn at random and the best of those known find a shard with room
/// nearly as well as asking all.
const DRAWN_PER_ROUND: usize = 2;
/// Timeout of a call that asks for a digest: many round trips between data centres.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which an exchange that nothing asked for checks whether the shard is still owned.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Digest of a shard, with the work that it got since.
struct Known {
    digest: LoadDigest,
    made_at: Millis,
}

/// Loads of this shard and of others.
#[derive(Default)]
pub struct ShardLoads {
    meter: WorkMeter,
    own: Option<Known>,
    others: IndexMap<ShardId, Known>,
}

/// Why a job is expected to start sooner in another shard.
#[derive(Clone, Copy, Debug)]
pub struct SoonerStart {
    /// The other shard.
    pub to: ShardId,
    /// Time until the job is expected to start here.
    pub own_wait: Duration,
    /// The same there, and the age of the digest from which it follows.
    pub there: Sooner,
}

/// Waiting short tasks of one step: their class, thousandths of a core and age in milliseconds.
pub type WaitingWork = (Class, u64, u64);

/// The class under which a step's tasks are counted; none for long-running ones, which may wait for
/// minutes and take no part in the queue of short tasks.
pub fn class_of(terms: &QueueConfig, step: &Step) -> Option<Class> {
    (!step.is_long_running).then(|| Class {
        pool: terms.pool.clone(),
        priority: terms.priority,
        load: load_of(step),
    })
}

/// What a job asks of a shard; none for jobs that are not placed by load: those with long-running
/// steps, gangs, data on a rack, a label or a schedule.
fn demand_of(spec: &JobSpec, terms: &QueueConfig) -> Option<JobDemand> {
    let is_bound = spec.steps.iter().any(|step| {
        step.is_long_running
            || step.gang != Gang::No
            || step.data_rack.is_some()
            || step.required_label.is_some()
    });
    if is_bound || spec.schedule.is_some() {
        return None;
    }
    let steps = spec.steps.iter().map(|step| TaskDemand {
        size: step.size,
        load: load_of(step),
        tasks: step.count,
        is_first: step.after.is_empty(),
    });
    Some(JobDemand {
        pool: terms.pool.clone(),
        priority: terms.priority,
        steps: steps.collect(),
    })
}

impl ShardLoads {
    fn is_own_due(&self, now: Millis) -> bool {
        let made_at = self.own.as_ref().map(|own| own.made_at);
        made_at.is_none_or(|at| now.since(at) >= DIGEST_INTERVAL)
    }
}

/// Adds a placed run to the rate of placement.
pub fn note_placed(cx: &Cx, owner: &Owner, run: &RunId) {
    if !cx.cfg.features.load_routing {
        return;
    }
    let ledger = owner.ledger.borrow();
    let Some(job) = ledger.jobs.get(&run.task.job) else {
        return;
    };
    let step = job.spec.steps.get(usize::from(run.task.step));
    if let Some((step, class)) = step.and_then(|step| Some((step, class_of(&job.terms, step)?))) {
        let mut loads = owner.shard_loads.borrow_mut();
        let (millicores, now) = (step.size.millicores, cx.clock.now());
        loads.meter.note_placed(&class, millicores, now);
    }
}

/// Whether a dispatch pass makes a digest. Passes without waiting tasks don't.
pub fn is_due(cx: &Cx, owner: &Owner) -> bool {
    cx.cfg.features.load_routing && owner.shard_loads.borrow().is_own_due(cx.clock.now())
}

/// Makes the digest of the shard, from the tasks that a pass left waiting and from its hosts.
pub fn note_pass(cx: &Cx, owner: &Owner, waiting: Vec<WaitingWork>, hosts: &[Host]) {
    let now = cx.clock.now();
    let loads = &mut *owner.shard_loads.borrow_mut();
    loads.meter.note_waiting(waiting.into_iter(), now);
    let mut digest = LoadDigest {
        waiting: loads.meter.waiting(now),
        rooms: rooms_of(hosts),
    };
    if digest.has_waiting() {
        owner.exchange_loads.notify_one();
    }
    // Neither placed nor startable yet.
    let ledger = owner.ledger.borrow();
    for job in owner.accepting.borrow().keys() {
        let job = ledger.jobs.get(job);
        if let Some(demand) = job.and_then(|job| demand_of(&job.spec, &job.terms)) {
            digest.take(&demand);
        }
    }
    loads.own = Some(Known {
        digest,
        made_at: now,
    });
}

fn rooms_of(hosts: &[Host]) -> Vec<PoolRoom> {
    let pools: IndexSet<&str> = hosts.iter().map(|host| host.pool).collect();
    let rooms = pools.into_iter().map(|pool| {
        let in_pool = || hosts.iter().filter(|host| host.pool == pool);
        let sound = || in_pool().filter(|host| !host.is_suspect);
        let free = sound().filter(|host| host.kept.is_none());
        let idle = sound().filter(|host| host.is_open_for_best_effort && host.kept.is_none());
        PoolRoom {
            pool: pool.to_owned(),
            free: shard_load::pieces(free.map(Host::free)),
            idle: shard_load::pieces(idle.map(|host| Size {
                millicores: host.unused_millicores(),
                ..host.free()
            })),
            hosts: shard_load::largest(in_pool().map(|host| host.capacity)),
        }
    });
    rooms.collect()
}

/// Counts a job that this shard accepted into its digest.
pub fn note_accepted(cx: &Cx, owner: &Owner, spec: &JobSpec, terms: &QueueConfig) {
    if !cx.cfg.features.load_routing {
        return;
    }
    let own = &mut owner.shard_loads.borrow_mut().own;
    if let (Some(own), Some(demand)) = (own, demand_of(spec, terms)) {
        own.digest.take(&demand);
    }
}

/// The digest of the shard, for another owner; none while it can't place tasks.
pub fn digest(cx: &Cx, owner: &Owner) -> Option<LoadDigest> {
    if !cx.cfg.features.load_routing || !owner.may_place(cx) || owner.journal.is_full() {
        return None;
    }
    refresh_own(cx, owner);
    let loads = owner.shard_loads.borrow();
    loads.own.as_ref().map(|own| own.digest.clone())
}

/// Makes the own digest if the last pass that made one is too old: none runs while nothing waits.
fn refresh_own(cx: &Cx, owner: &Owner) {
    if owner.shard_loads.borrow().is_own_due(cx.clock.now()) {
        dispatch::note_load(cx, owner);
    }
}

/// A shard that is expected to start a new job sooner than this one; none if the job stays. Answers
/// at once, from the digests that are known.
pub fn sooner_elsewhere(
    cx: &Cx,
    owner: &Owner,
    job: JobId,
    spec: &JobSpec,
    terms: &QueueConfig,
) -> Option<SoonerStart> {
    if !cx.cfg.features.load_routing || !owner.may_place(cx) {
        return None;
    }
    let demand = demand_of(spec, terms)?;
    refresh_own(cx, owner);
    let now = cx.clock.now();
    let loads = owner.shard_loads.borrow();
    let own_wait = loads.own.as_ref()?.digest.expected_wait(&demand)?;
    if !shard_load::may_gain(own_wait) {
        return None;
    }
    owner.exchange_loads.notify_one();
    let candidates: Vec<Candidate> = loads
        .others
        .values()
        .map(|known| Candidate {
            digest: &known.digest,
            age: now.since(known.made_at),
        })
        .collect();
    let sooner = shard_load::choose(&demand, own_wait, &candidates, &mut cx.rng());
    let known = candidates.len();
    let Some(there) = sooner else {
        log::debug!(job:% = job, shard:% = owner.handle.partition, own_wait:?, known; "job stays although it waits");
        return None;
    };
    let (to, _) = loads.others.get_index(there.candidate)?;
    Some(SoonerStart {
        to: *to,
        own_wait,
        there,
    })
}

/// A shard that starts a waiting job now, by what it told of its load, and the age of that; of those
/// that `takes` admits. Answers at once.
pub fn starting_now(
    cx: &Cx,
    owner: &Owner,
    spec: &JobSpec,
    terms: &QueueConfig,
    takes: impl Fn(ShardId) -> bool,
) -> Option<(ShardId, Duration)> {
    if !cx.cfg.features.load_routing {
        return None;
    }
    let demand = demand_of(spec, terms)?;
    owner.exchange_loads.notify_one();
    let now = cx.clock.now();
    let loads = owner.shard_loads.borrow();
    let starts_now = |known: &Known| known.digest.expected_wait(&demand) == Some(Duration::ZERO);
    let others = loads.others.iter();
    let (shards, candidates): (Vec<ShardId>, Vec<Candidate>) = others
        .filter(|(shard, known)| takes(**shard) && starts_now(known))
        .map(|(shard, known)| {
            let age = now.since(known.made_at);
            let digest = &known.digest;
            (*shard, Candidate { digest, age })
        })
        .unzip();
    // Any wait that a move is worth: the job has had nothing running for longer.
    let there = shard_load::choose(&demand, MAX_IDLE_TIME, &candidates, &mut cx.rng())?;
    Some((shards[there.candidate], there.age))
}

/// Counts a job that was sent to another shard into that shard's digest.
pub fn note_sent(owner: &Owner, to: ShardId, spec: &JobSpec, terms: &QueueConfig) {
    let others = &mut owner.shard_loads.borrow_mut().others;
    if let (Some(known), Some(demand)) = (others.get_mut(&to), demand_of(spec, terms)) {
        known.digest.take_sent(&demand);
    }
}

/// Asks other owners for their digests, whenever that is wanted, until the shard is lost.
pub async fn exchange(cx: Cx, owner: Rc<Owner>) {
    while owner.is_serving() {
        let wanted = owner.exchange_loads.notified();
        if tokio::time::timeout(CHECK_INTERVAL, wanted).await.is_err() {
            continue;
        }
        let asked = to_ask(&cx, &owner).into_iter();
        futures::future::join_all(asked.map(|shard| ask(&cx, &owner, shard))).await;
        tokio::time::sleep(EXCHANGE_INTERVAL).await;
    }
}

/// Shards to ask in a round: some drawn at random, and the known one with most room, of those whose
/// owners know the call.
fn to_ask(cx: &Cx, owner: &Owner) -> IndexSet<ShardId> {
    let Some(layout) = cx.layout.borrow().clone() else {
        return IndexSet::new();
    };
    let others = layout.all().filter(|shard| *shard != owner.handle.shard);
    let others: Vec<ShardId> = others.filter(|shard| tells_load(cx, *shard)).collect();
    let drawn = others.choose_multiple(&mut cx.rng(), DRAWN_PER_ROUND);
    let mut asked: IndexSet<ShardId> = drawn.copied().collect();
    let loads = &mut owner.shard_loads.borrow_mut();
    let now = cx.clock.now();
    loads
        .others
        .retain(|_, known| now.since(known.made_at) <= shard_load::MAX_AGE);
    let best = loads
        .others
        .iter()
        .max_by_key(|(_, known)| known.digest.free_millicores());
    asked.extend(best.map(|(shard, _)| *shard));
    asked
}

/// Whether a shard's owner knows the call, by its lease row as last read.
fn tells_load(cx: &Cx, shard: ShardId) -> bool {
    let handle = cx.handle(shard);
    let lease = handle.lease.borrow();
    lease.row.as_ref().is_some_and(|row| row.tells_load)
}

async fn ask(cx: &Cx, owner: &Owner, shard: ShardId) {
    // The digest is at most as old as the call and the interval between two of them.
    let asked_at = cx.clock.now();
    let handle = cx.handle(shard);
    let asked = front::load_digest(cx, &handle);
    let told = tokio::time::timeout(CALL_TIMEOUT, asked).await;
    cx.metrics.load_asks.inc();
    if let Some(digest) = told.ok().flatten() {
        let known = Known {
            digest,
            made_at: asked_at,
        };
        owner.shard_loads.borrow_mut().others.insert(shard, known);
    }
}
