//! Moves waiting jobs to a shard that can run them: short jobs of which no task was ever placed, and
//! which have had nothing running for too long.
//!
//! Load pattern: a shard loses its last workers for a job that it has accepted, or all of its hosts
//! are full for many seconds, while another shard has free hosts. A new job would be sent there
//! ([`balance`]), but one that was accepted before would wait.
//!
//! Only a job's home moves it, so it moves once, and callers who ask the home and then the other
//! shards find it. The decision is journaled before the other shard is called, the call is repeated
//! by this and later owners until that shard has journaled the acceptance, and the home answers for
//! the job until then. The other shard keeps an ended job until the home no longer sends such calls.

use super::{
    Owner, balance, jobs,
    jobs::ANSWER_WITHIN,
    shard_loads,
    suitable::{JobNeeds, Suitability},
};
use crate::{
    core::time::{Millis, millis},
    daemon::supervisor,
    policy::dispatch::overdue::MAX_IDLE_TIME,
    sched::{
        Cx,
        event::Event,
        front,
        job::{JobId, JobSpec, QueueConfig},
        journal::{AppendOutcome, Ticket},
        layout::ShardId,
        lease,
        ledger::{Job, Phase},
        peer::{JobState, ShowReply, SubmitReply, TakeReply},
    },
};
use indexmap::{IndexMap, IndexSet};
use rand::seq::IndexedRandom;
use std::{rc::Rc, time::Duration};

/// Time between two rounds of decisions.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two calls to the shard that receives a job.
const CALL_INTERVAL: Duration = Duration::from_millis(200);
/// Most jobs of a shard that are on their way at a time: as many as a few hosts take, so that what the
/// other shard tells of its load is not outdated by them.
const MAX_MOVING: usize = 16;
/// Most waiting jobs that are looked at in a round, the oldest first.
const MAX_EXAMINED_PER_ROUND: usize = 200;
/// Most jobs in a round for which all other shards are asked whether they have workers.
const MAX_SEARCHES_PER_ROUND: usize = 2;
/// Time after the recovery from which a shard without any present worker counts as having none:
/// several times what it takes to read the directory and reach the workers.
const NO_WORKERS_AFTER: Duration = Duration::from_secs(5);
/// Timeout of the question for the state of a job on its way, so that its caller gets an answer in time.
const SHOW_WITHIN: Duration = Duration::from_millis(500);
/// Most homes asked in a round whether they still send calls for ended jobs.
const MAX_ASKED_PER_ROUND: usize = 20;

/// Why jobs move, as lines and metrics name it: the other shard has workers for them, or starts them
/// now.
pub const REASONS: [&str; 2] = [HAS_WORKERS, STARTS_NOW];
const HAS_WORKERS: &str = "has_workers";
const STARTS_NOW: &str = "starts_now";

data! {
    /// A job that moves to another shard.
    pub struct MovedJob {
        /// Id of the job.
        pub job: JobId,
        /// Specification as submitted.
        pub spec: JobSpec,
        /// Settings of the job's queue at acceptance.
        pub terms: QueueConfig,
        /// Time of acceptance by its home, in Unix milliseconds.
        pub accepted_unix_ms: u64,
        /// Data centre of the daemon that received the job, where callers share capacity.
        pub data_centre: Option<String>,
        /// Its home.
        pub from: ShardId,
    }
}

/// What an owner knows of jobs that move beside the ledger.
#[derive(Default)]
pub struct Moves {
    /// When this owner first saw each job wait that may move.
    idle_since: IndexMap<JobId, Millis>,
    /// Jobs on their way for which the decision is not durable yet.
    undecided: IndexSet<JobId>,
    /// Ended jobs that moved here and for which their home sends no more calls.
    settled: IndexSet<JobId>,
}

/// Where a job moves, and why.
struct Destination {
    to: ShardId,
    why: &'static str,
    /// Age of the digest that says so.
    digest_age: Option<Duration>,
}

/// Decides on moves and repeats those that an earlier owner began, until the shard is lost.
pub async fn run(cx: Cx, owner: Rc<Owner>) {
    let begun: Vec<JobId> = owner.ledger.borrow().moving.keys().copied().collect();
    for job in begun {
        supervisor::spawn("move", carry(Rc::clone(&cx), Rc::clone(&owner), job, None));
    }
    while owner.is_serving() {
        tokio::time::sleep(ROUND_INTERVAL).await;
        decide(&cx, &owner).await;
        settle_ended(&cx, &owner).await;
    }
}

async fn decide(cx: &Cx, owner: &Rc<Owner>) {
    let mut searches = MAX_SEARCHES_PER_ROUND;
    for (job, waited) in overdue(cx, owner) {
        if owner.ledger.borrow().moving.len() >= MAX_MOVING {
            return;
        }
        let asked = {
            let ledger = owner.ledger.borrow();
            let job = ledger.jobs.get(&job);
            job.map(|job| (Rc::clone(&job.spec), job.terms.clone()))
        };
        let Some((spec, terms)) = asked else {
            continue;
        };
        let destination = destination(cx, owner, &spec, &terms, &mut searches).await;
        // A task may have been placed meanwhile, or the job cancelled.
        let may_move = || {
            let ledger = owner.ledger.borrow();
            ledger.jobs.get(&job).is_some_and(Job::may_move)
        };
        if let Some(destination) = destination
            && owner.may_place(cx)
            && may_move()
        {
            start(cx, owner, job, waited, &destination);
            shard_loads::note_sent(owner, destination.to, &spec, &terms);
        }
    }
}

/// Jobs that may move and have waited for too long under this owner, the oldest first.
fn overdue(cx: &Cx, owner: &Owner) -> Vec<(JobId, Duration)> {
    let idle_since = &mut owner.moves.borrow_mut().idle_since;
    let layout = cx.layout.borrow();
    let Some(layout) = layout.as_ref().filter(|_| owner.may_place(cx)) else {
        idle_since.clear();
        return Vec::new();
    };
    let (ledger, accepting) = (owner.ledger.borrow(), owner.accepting.borrow());
    let own = owner.handle.shard;
    // Callers look for a job in the home by its id first; another home may have sent it here.
    let is_home =
        |id: JobId, job: &Job| layout.home_by_id(id) == own && layout.home(id, &job.spec) == own;
    let active = owner.active.borrow();
    let jobs = active
        .iter()
        .filter_map(|id| Some((*id, ledger.jobs.get(id)?)));
    let waiting =
        jobs.filter(|(id, job)| job.may_move() && !accepting.contains_key(id) && is_home(*id, job));
    let now = cx.clock.now();
    let mut before = std::mem::take(idle_since);
    let mut overdue = Vec::new();
    for (id, job) in waiting {
        let since = before.swap_remove(&id).unwrap_or(now);
        idle_since.insert(id, since);
        let waited = now.since(since);
        if waited >= MAX_IDLE_TIME {
            overdue.push((job.accepted_unix_ms, id, waited));
        }
    }
    overdue.sort_by_key(|(accepted_unix_ms, id, _)| (*accepted_unix_ms, *id));
    let overdue = overdue.into_iter().take(MAX_EXAMINED_PER_ROUND);
    overdue.map(|(_, id, waited)| (id, waited)).collect()
}

async fn destination(
    cx: &Cx,
    owner: &Owner,
    spec: &JobSpec,
    terms: &QueueConfig,
    searches: &mut usize,
) -> Option<Destination> {
    let needs = JobNeeds::new(spec, terms);
    let recovered_at = owner.recovered_at.get()?;
    let is_settled = cx.clock.now().since(recovered_at) >= NO_WORKERS_AFTER;
    match owner.suitability(cx, &needs) {
        Some(Suitability::Suitable(_)) => starts_now(cx, owner, spec, terms),
        None if !is_settled => None,
        None | Some(Suitability::Unsuitable) if *searches == 0 => None,
        None | Some(Suitability::Unsuitable) => {
            *searches -= 1;
            has_workers(cx, owner, &needs).await
        }
    }
}

/// A shard that starts a job now, by what it told of its load.
fn starts_now(cx: &Cx, owner: &Owner, spec: &JobSpec, terms: &QueueConfig) -> Option<Destination> {
    let takes = |shard| takes_jobs(cx, shard);
    let (to, age) = shard_loads::starting_now(cx, owner, spec, terms, takes)?;
    Some(Destination {
        to,
        why: STARTS_NOW,
        digest_age: Some(age),
    })
}

/// One of the least loaded of the other shards that have workers for each step, drawn at random.
async fn has_workers(cx: &Cx, owner: &Owner, needs: &JobNeeds) -> Option<Destination> {
    let suitable = balance::suitable_shards(cx, owner, needs).await;
    let suitable: Vec<(ShardId, u32)> = suitable
        .into_iter()
        .filter(|(shard, _)| takes_jobs(cx, *shard))
        .collect();
    let least = suitable.iter().map(|(_, load)| *load).min()?;
    let best: Vec<ShardId> = suitable
        .into_iter()
        .filter_map(|(shard, load)| (load == least).then_some(shard))
        .collect();
    best.choose(&mut cx.rng()).map(|to| Destination {
        to: *to,
        why: HAS_WORKERS,
        digest_age: None,
    })
}

/// Whether a shard's owner knows the calls of a move, by its lease row as last read.
fn takes_jobs(cx: &Cx, shard: ShardId) -> bool {
    let handle = cx.handle(shard);
    let lease = handle.lease.borrow();
    lease.row.as_ref().is_some_and(|row| row.takes_jobs)
}

fn start(cx: &Cx, owner: &Rc<Owner>, job: JobId, waited: Duration, destination: &Destination) {
    let Destination {
        to,
        why,
        digest_age,
    } = destination;
    let moved = Event::Moved {
        job,
        to: *to,
        at_unix_ms: cx.unix_ms(),
    };
    let ticket = owner.propose(cx, vec![moved]);
    owner.active.borrow_mut().swap_remove(&job);
    owner.moves.borrow_mut().undecided.insert(job);
    owner.forget_waiting(job);
    cx.metrics.note_moved(why);
    log::info!(
        job:% = job,
        shard:% = owner.handle.partition,
        to = to.0,
        waited_ms = millis(waited),
        why,
        digest_age_ms = digest_age.map(millis);
        "waiting job is moved"
    );
    let carried = carry(Rc::clone(cx), Rc::clone(owner), job, Some(ticket));
    supervisor::spawn("move", carried);
}

/// Calls the shard that receives a job until that has confirmed it, once the decision is durable.
async fn carry(cx: Cx, owner: Rc<Owner>, job: JobId, decision: Option<Ticket>) {
    if let Some(decision) = decision {
        if decision.outcome().await != AppendOutcome::Durable {
            return;
        }
        owner.moves.borrow_mut().undecided.swap_remove(&job);
    }
    while owner.is_serving() {
        let Some((to, moved)) = call_for(&owner, job) else {
            return;
        };
        let may_call = may_call(&cx, &owner) && takes_jobs(&cx, to);
        if may_call && front::take(&cx, &cx.handle(to), moved).await == Some(TakeReply::Taken) {
            confirm(&cx, &owner, job, "call");
            return;
        }
        tokio::time::sleep(CALL_INTERVAL).await;
    }
}

fn call_for(owner: &Owner, job: JobId) -> Option<(ShardId, MovedJob)> {
    let ledger = owner.ledger.borrow();
    let moving = ledger.moving.get(&job)?;
    let moved = MovedJob {
        job,
        spec: JobSpec::clone(&moving.spec),
        terms: moving.terms.clone(),
        accepted_unix_ms: moving.accepted_unix_ms,
        data_centre: moving.data_centre.clone(),
        from: owner.handle.shard,
    };
    Some((moving.to, moved))
}

/// Whether the next owner of the shard can't have confirmed moves, so that the other shard has not
/// forgotten their jobs.
fn may_call(cx: &Cx, owner: &Owner) -> bool {
    let is_out = owner.is_releasing() || owner.is_suspended();
    owner.is_recovered() && !is_out && cx.clock.at_most_since(owner.renewed_at.get()) < lease::LEASE
}

fn confirm(cx: &Cx, owner: &Owner, job: JobId, by: &str) {
    let moving = owner.ledger.borrow().moving.get(&job).cloned();
    let Some(moving) = moving else {
        return;
    };
    drop(owner.propose(cx, vec![Event::MoveConfirmed { job }]));
    owner.move_confirmed.notify_waiters();
    let age_ms = cx.unix_ms().saturating_sub(moving.accepted_unix_ms);
    log::info!(job:% = job, shard:% = owner.handle.partition, to = moving.to.0, by, age_ms; "move is confirmed");
}

/// Waits until a job is not on its way, for a limited time; returns whether it isn't.
pub async fn has_arrived(owner: &Owner, job: JobId) -> bool {
    let arrived = async {
        loop {
            let confirmed = owner.move_confirmed.notified();
            if !owner.ledger.borrow().moving.contains_key(&job) {
                return;
            }
            confirmed.await;
        }
    };
    tokio::time::timeout(ANSWER_WITHIN, arrived).await.is_ok()
}

/// The state of a job on its way, `None` for another one. The other shard may have the job already,
/// and may have told a caller that it was cancelled, while its confirmation is lost or late.
pub async fn show(cx: &Cx, owner: &Owner, job: JobId) -> Option<ShowReply> {
    let to = owner.ledger.borrow().moving.get(&job)?.to;
    if owner.moves.borrow().undecided.contains(&job) {
        return Some(ShowReply::State(JobState::Queued));
    }
    let handle = cx.handle(to);
    let asked = front::state_in(cx, &handle, job);
    let told = tokio::time::timeout(SHOW_WITHIN, asked).await;
    if !owner.is_recovered() {
        return Some(ShowReply::NotOwner);
    }
    Some(match told.ok().flatten() {
        Some(ShowReply::Unknown | ShowReply::State(JobState::Queued)) => {
            ShowReply::State(JobState::Queued)
        }
        // What has started or ended there was accepted there.
        Some(ShowReply::State(state)) => {
            confirm(cx, owner, job, "state");
            ShowReply::State(state)
        }
        Some(ShowReply::NotOwner) | None => ShowReply::NotOwner,
    })
}

/// Accepts a job from its home. A repeated call is confirmed like the first, and shares the
/// acceptance under way.
pub async fn take(cx: &Cx, owner: &Rc<Owner>, moved: MovedJob) -> TakeReply {
    if !owner.is_recovered() {
        return TakeReply::NotOwner;
    }
    let MovedJob { job, from, .. } = moved;
    let (is_known, is_sent) = {
        let ledger = owner.ledger.borrow();
        (
            ledger.jobs.contains_key(&job),
            ledger.sent.contains_key(&job),
        )
    };
    if is_sent {
        log::error!(job:% = job, shard:% = owner.handle.partition, from = from.0; "another shard moves a job that this shard has sent away");
        return TakeReply::Busy;
    }
    if !is_known && !owner.journal.accepts_work(cx.clock.now()) {
        return TakeReply::Busy;
    }
    if !is_known {
        let accepted_unix_ms = moved.accepted_unix_ms;
        let age_ms = cx.unix_ms().saturating_sub(accepted_unix_ms);
        log::info!(job:% = job, queue:% = moved.terms.queue, shard:% = owner.handle.partition, from = from.0, age_ms; "moved job is accepted");
        let spec = Rc::new(moved.spec);
        let home = Some((from, accepted_unix_ms));
        jobs::accept(cx, owner, job, spec, moved.terms, moved.data_centre, home);
    }
    match jobs::acceptance(cx, owner, job).await {
        SubmitReply::Accepted => TakeReply::Taken,
        SubmitReply::UnderWay => TakeReply::UnderWay,
        _ if owner.is_recovered() => TakeReply::Busy,
        _ => TakeReply::NotOwner,
    }
}

/// Whether this shard, the home of a job that moved, still calls the other one for it; none unless
/// that is certain.
pub async fn is_still_moving(owner: &Owner, job: JobId) -> Option<bool> {
    if !owner.is_recovered() {
        return None;
    }
    if owner.ledger.borrow().moving.contains_key(&job) {
        return Some(true);
    }
    // An empty append is durable once all earlier ones are, including the confirmation.
    let outcome = owner.journal.append(&[]).outcome();
    let outcome = tokio::time::timeout(ANSWER_WITHIN, outcome).await;
    (outcome == Ok(AppendOutcome::Durable)).then_some(false)
}

/// Asks the homes of ended jobs that moved here whether these may be forgotten.
async fn settle_ended(cx: &Cx, owner: &Owner) {
    let asked = to_settle(cx, owner).into_iter().map(async |(job, home)| {
        if front::still_moving(cx, &cx.handle(home), job).await == Some(false) {
            owner.moves.borrow_mut().settled.insert(job);
        }
    });
    futures::future::join_all(asked).await;
}

fn to_settle(cx: &Cx, owner: &Owner) -> Vec<(JobId, ShardId)> {
    let ledger = owner.ledger.borrow();
    let settled = &mut owner.moves.borrow_mut().settled;
    settled.retain(|job| ledger.jobs.contains_key(job));
    let (now, retention_ms) = (cx.unix_ms(), millis(cx.cfg.retention));
    let ended = ledger.jobs.iter().filter(|(id, job)| {
        let is_old = now.saturating_sub(job.over_unix_ms) > retention_ms;
        job.phase != Phase::Active && is_old && !settled.contains(*id)
    });
    let moved = ended.filter_map(|(id, job)| Some((*id, job.moved_from?)));
    let asked = moved.filter(|(_, home)| takes_jobs(cx, *home));
    asked.take(MAX_ASKED_PER_ROUND).collect()
}

impl Owner {
    /// Whether an ended job may be forgotten: its home would else call again for one that moved here,
    /// and it would run again.
    pub fn is_move_settled(&self, id: JobId, job: &Job) -> bool {
        job.moved_from.is_none() || self.moves.borrow().settled.contains(&id)
    }

    /// Drops what is kept about the waiting tasks of a job that leaves the shard.
    fn forget_waiting(&self, job: JobId) {
        self.sharing.borrow_mut().forget_job(job);
        self.failed_on.borrow_mut().forget_job(job);
        self.place_waits.borrow_mut().forget_job(job);
        self.loads.borrow_mut().retain(|step, _| step.job != job);
        let mut reasons = self.wait_reasons.borrow_mut();
        reasons.retain(|step, _| step.job != job);
    }
}
