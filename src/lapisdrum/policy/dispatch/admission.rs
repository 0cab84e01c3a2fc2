//! Decides at submission whether a job would end too late to be worth anything, and when its caller
//! can come back.
//!
//! Load pattern: bursts of twice the sustainable load and more, of two kinds at once. If every job
//! is accepted, all of them wait, and callers learn only from its absence that a result is too late.
//! Here a job is refused if it would have no value even if it waited its turn. The expected wait is
//! the work that waits ahead of the job, divided by the rate at which such work was placed while some
//! of it waited. Callers return when the queue at their refusal has drained, each at a time of its
//! own ([`RetrySchedule`]).
//!
//! A refusal needs evidence, so that nobody is refused who could be served: without a queue, without
//! a rate that was measured for [`MIN_MEASURED`], while nothing is placed at all, and for
//! long-running jobs, whose value grows from whenever they run, the job is accepted. The objective
//! counts from the first submission of a job, so the time of its first refusal is kept.

use super::{
    fair_share::{Caller, Weights},
    order::{Feasibility, Rank, RankInputs},
    place::Load,
};
use crate::{
    core::time::{Millis, millis},
    policy::drain::{DrainRate, RetrySchedule},
};
use indexmap::{IndexMap, IndexSet};
use rand::Rng;
use std::{rc::Rc, time::Duration};

/// Least time in which work waited before the rate counts: several times the work of a short task.
const MIN_MEASURED: Duration = Duration::from_secs(1);
/// Age from which the last dispatch pass says nothing about the queue: passes are at most 0.1 s
/// apart while tasks may be placed.
const MAX_QUEUE_AGE: Duration = Duration::from_secs(1);
/// Time without a placed task from which a queue counts as held up, by workers or the store, and not
/// as slow; its rate says nothing about the time after that.
const HELD_UP_AFTER: Duration = Duration::from_secs(1);
/// Upper bound of an expected wait: no objective is as late.
const MAX_WAIT: Duration = Duration::from_secs(100 * 365 * 24 * 3_600);
/// Number of refused jobs whose first submission is remembered.
const MAX_REMEMBERED: usize = 4_096;
/// Time for which it is remembered: longer than the longest Retry-After time, several times over.
const REMEMBERED_FOR: Duration = Duration::from_secs(120);

/// Steps that wait for the same capacity.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Kind {
    /// Name of the pool.
    pub pool: String,
    /// How their tasks use resources.
    pub load: Load,
}

/// A step with tasks that a dispatch pass left waiting.
#[derive(Clone, Debug)]
pub struct WaitingWork {
    /// Its caller.
    pub caller: Rc<Caller>,
    /// Its rank in that pass.
    pub rank: Rank,
    /// Processors times estimated duration of its waiting tasks and of the steps after it, in
    /// thousandths of a core times milliseconds.
    pub work: u64,
}

impl WaitingWork {
    fn is_worthless(&self) -> bool {
        let band = self.rank.band();
        band.is_some_and(|band| band.feasibility == Feasibility::NoValue)
    }

    fn is_new(&self) -> bool {
        self.rank.band().is_some_and(|band| !band.is_in_progress)
    }
}

/// What a dispatch pass did with the steps of one kind.
#[derive(Clone, Debug, Default)]
pub struct PassOutcome {
    /// Work that it placed; see [`WaitingWork::work`].
    pub placed: u64,
    /// What it left waiting.
    pub waiting: Vec<WaitingWork>,
}

/// A job that is submitted.
#[derive(Clone, Debug)]
pub struct NewJob {
    /// Number of the job.
    pub id: u64,
    /// Its caller.
    pub caller: Rc<Caller>,
    /// Rank inputs of its longest chain, as of a first submission now.
    pub inputs: RankInputs,
    /// Kinds of the steps that don't depend on others.
    pub first_kinds: Vec<Kind>,
    /// Work of all its steps; see [`WaitingWork::work`].
    pub work: u64,
}

/// Why a job is refused, and when its caller can come back.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// The kind of load whose queue is too long.
    pub kind: Kind,
    /// Work ahead of the job while it could be on time.
    pub ahead_on_time: u64,
    /// Work ahead of the job as a late one.
    pub ahead: u64,
    /// Measured rate, in units of work per second.
    pub drain_per_s: f64,
    /// Time in which work waited that the rate was measured in.
    pub measured_for: Duration,
    /// Age of the last dispatch pass.
    pub queue_age: Duration,
    /// Time since the first submission of the job.
    pub age: Duration,
    /// Time until the job's first tasks would be placed.
    pub wait: Duration,
    /// Time after which the caller can submit the job again.
    pub retry_after: Duration,
}

#[derive(Clone, Debug, Default)]
struct Queue {
    /// Steps that the last pass left waiting.
    waiting: Vec<WaitingWork>,
    noted_at: Millis,
    placed_at: Option<Millis>,
    drain: DrainRate,
    returns: RetrySchedule,
}

/// Queues of waiting work, by kind, and the refused jobs.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    queues: IndexMap<Kind, Queue>,
    /// First submission of refused jobs, by job; the oldest refusals come first.
    first_asked: IndexMap<u64, Millis>,
}

impl Queue {
    fn note(&mut self, outcome: PassOutcome, now: Millis) {
        let had_to_wait = !self.waiting.is_empty();
        // Work that did not have to wait would raise the rate above what the pool can do.
        if outcome.placed > 0 && had_to_wait {
            self.drain.note_amount(outcome.placed as f64, now);
        }
        if outcome.placed > 0 {
            self.placed_at = Some(now);
        }
        match outcome.waiting.is_empty() {
            true => self.drain.note_idle(now),
            false => self.drain.note_busy(now),
        }
        (self.waiting, self.noted_at) = (outcome.waiting, now);
    }

    /// The rate at which the queue drains, if enough is known about it.
    fn drain_per_s(&self, now: Millis) -> Option<f64> {
        let is_recent = now.since(self.noted_at) < MAX_QUEUE_AGE;
        let is_moving = self
            .placed_at
            .is_some_and(|at| now.since(at) < HELD_UP_AFTER);
        let is_measured = self.drain.measured_for(now) >= MIN_MEASURED;
        let rate = self.drain.per_second(now)?;
        (is_recent && is_moving && is_measured).then_some(rate)
    }

    /// Work that is placed before a job as long as it can be on time, and before it once it is late.
    fn ahead_of(&self, job: &NewJob, shares: Option<&Weights>) -> (u64, u64) {
        let rank = job.inputs.rank();
        let on_time = self.sum(job, shares, |waiting| waiting.rank < rank);
        let late = self.sum(job, shares, |waiting| !waiting.is_worthless());
        (on_time, late)
    }

    /// Sum of the waiting work as urgent as the job. Where callers share capacity, what the others
    /// get while the job's caller has work waiting is in proportion to that, so it may be less; more
    /// urgent work is counted in the same way, which only makes a refusal less likely.
    fn sum(
        &self,
        job: &NewJob,
        shares: Option<&Weights>,
        is_ahead: impl Fn(&WaitingWork) -> bool,
    ) -> u64 {
        let ahead = || self.as_urgent_as(job).filter(|waiting| is_ahead(waiting));
        let total = ahead().map(|waiting| waiting.work).sum();
        let Some(weights) = shares else {
            return total;
        };
        let callers: IndexSet<&Caller> = ahead().map(|waiting| &*waiting.caller).collect();
        let others = callers.iter().filter(|caller| ***caller != *job.caller);
        let others: f64 = others.map(|caller| weights.of(caller)).sum();
        let own = ahead().filter(|waiting| waiting.caller == job.caller);
        let own: u64 = own.map(|waiting| waiting.work).sum();
        // The job itself takes its turn with the others, too.
        let turns = (own + job.work) as f64 * others / weights.of(&job.caller);
        total.min(own + turns as u64)
    }

    fn as_urgent_as(&self, job: &NewJob) -> impl Iterator<Item = &WaitingWork> {
        let priority = job.inputs.priority;
        let is_short = move |waiting: &&WaitingWork| {
            let band = waiting.rank.band();
            band.is_some_and(|band| band.priority <= priority)
        };
        self.waiting.iter().filter(is_short)
    }

    /// Whether a new job as urgent as this one, where callers share capacity one of its caller, has
    /// waited until it was worth nothing.
    fn has_worthless(&self, job: &NewJob, shares: Option<&Weights>) -> bool {
        let mut waited = self
            .as_urgent_as(job)
            .filter(|waiting| shares.is_none() || waiting.caller == job.caller);
        waited.any(|waiting| waiting.is_new() && waiting.is_worthless())
    }

    /// Why a job would be worth nothing in this queue; `None` if it might be worth something.
    fn refusal(
        &self,
        kind: &Kind,
        job: &NewJob,
        shares: Option<&Weights>,
        now: Millis,
    ) -> Option<Refusal> {
        let drain_per_s = self.drain_per_s(now)?;
        let (ahead_on_time, ahead) = self.ahead_of(job, shares);
        // Bounded, since a rate that has decayed may be as good as 0.
        let wait_for = |work: u64| {
            Duration::from_secs_f64((work as f64 / drain_per_s).min(MAX_WAIT.as_secs_f64()))
        };
        let wait = wait_for(ahead);
        // Later jobs go before one that any further wait would make late.
        let is_on_time = millis(wait_for(ahead_on_time)) <= job.inputs.safe_for_ms();
        // The caller of a refused job that has come back too late for the objective still wants it.
        let is_lost = job.inputs.age_ms + job.inputs.chain_ms > job.inputs.worthless_from_ms();
        let (age_ms, latest_ms) = match is_lost {
            true => (0, job.inputs.objective_ms),
            false => (job.inputs.age_ms, job.inputs.worthless_from_ms()),
        };
        let is_worthless = age_ms + millis(wait) + job.inputs.chain_ms > latest_ms;
        if ahead == 0 || is_on_time || !is_worthless || !self.has_worthless(job, shares) {
            return None;
        }
        Some(Refusal {
            kind: kind.clone(),
            ahead_on_time,
            ahead,
            drain_per_s,
            measured_for: self.drain.measured_for(now),
            queue_age: now.since(self.noted_at),
            age: Duration::from_millis(job.inputs.age_ms),
            wait,
            retry_after: Duration::ZERO,
        })
    }
}

impl Admission {
    /// Records a dispatch pass; kinds that are absent have neither placed nor waiting work.
    pub fn note_pass(&mut self, mut outcomes: IndexMap<Kind, PassOutcome>, now: Millis) {
        for (kind, queue) in &mut self.queues {
            queue.note(outcomes.swap_remove(kind).unwrap_or_default(), now);
        }
        for (kind, outcome) in outcomes {
            self.queues.entry(kind).or_default().note(outcome, now);
        }
    }

    /// Decides on a job that was not accepted before; `None` accepts it. `shares` are the weights of
    /// callers, where these share capacity.
    pub fn decide(
        &mut self,
        job: &NewJob,
        shares: Option<&Weights>,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Option<Refusal> {
        // A chain that takes too long by itself is no matter of the wait.
        let is_short = !job.inputs.is_long_running;
        if !is_short || job.inputs.chain_ms > job.inputs.worthless_from_ms() {
            return None;
        }
        let mut job = job.clone();
        job.inputs.age_ms += millis(self.age(job.id, now));
        let refusals = job
            .first_kinds
            .iter()
            .filter_map(|kind| self.queues.get(kind)?.refusal(kind, &job, shares, now));
        let mut refusal = refusals.max_by_key(|refusal| refusal.wait)?;
        let queue = self.queues.get_mut(&refusal.kind)?;
        let jobs_per_s = refusal.drain_per_s / job.work.max(1) as f64;
        refusal.retry_after =
            queue
                .returns
                .next_retry_after(refusal.wait, Some(jobs_per_s), now, rng);
        self.remember(job.id, now);
        Some(refusal)
    }

    /// Time since the first submission of a job that was refused; zero for other jobs.
    pub fn age(&self, id: u64, now: Millis) -> Duration {
        let first_asked = self.first_asked.get(&id);
        first_asked.map_or(Duration::ZERO, |at| now.since(*at))
    }

    /// Forgets the refusals of a job, which is accepted, and returns the time since its first
    /// submission.
    pub fn accept(&mut self, id: u64, now: Millis) -> Duration {
        let age = self.age(id, now);
        self.first_asked.shift_remove(&id);
        age
    }

    fn remember(&mut self, id: u64, now: Millis) {
        let is_old = |(_, at): (&u64, &Millis)| now.since(*at) >= REMEMBERED_FOR;
        while self.first_asked.first().is_some_and(is_old)
            || self.first_asked.len() >= MAX_REMEMBERED
        {
            self.first_asked.shift_remove_index(0);
        }
        self.first_asked.entry(id).or_insert(now);
    }
}
