//! Drives admission by expected wait and the sharing of capacity between callers
//! ([`crate::policy::dispatch::admission`], [`crate::policy::dispatch::fair_share`]), where the
//! feature is on.
//!
//! Dispatch passes report what they placed and left waiting, [`super::jobs`] asks about each new job.
//! All of this is an owner's own: the next one accepts every job until it has measured the drain, and
//! shares from equal accounts. Only the caller of a job is journaled, with its acceptance.

use super::{Owner, dispatch::StartableStep, runs::load_of};
use crate::{
    core::time::{Millis, millis},
    policy::dispatch::{
        admission::{Admission, Kind, NewJob, PassOutcome, WaitingWork},
        fair_share::{Caller, Claim, FairShare},
        order::{Rank, RankInputs},
        place::Load,
    },
    sched::{
        Cx,
        job::{JobId, JobSpec, QueueConfig, Step, StepId},
        ledger::Job,
    },
};
use indexmap::{IndexMap, IndexSet};
use std::{rc::Rc, time::Duration};

/// Time between two lines with totals.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Greatest work of a step, so that sums over thousands of steps don't overflow: callers' estimates
/// are unbounded.
const MAX_WORK: u64 = 1 << 48;

/// State of admission and sharing of an owner.
#[derive(Debug, Default)]
pub struct Sharing {
    admission: Admission,
    fair_share: FairShare,
    /// Callers of active jobs that had startable steps.
    callers: IndexMap<JobId, Rc<Caller>>,
    /// Time between the first submission of active jobs and their acceptance, in milliseconds, if
    /// they were refused before.
    refused_before_ms: IndexMap<JobId, u64>,
    totals: Totals,
}

/// Totals since the last line.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    since: Option<Millis>,
    passes: usize,
    /// Passes in which the callers' shares changed the order of steps.
    reordered_passes: usize,
    refused: usize,
    accepted: usize,
}

/// What a dispatch pass did with one step.
struct StepOutcome<'a> {
    claim: &'a Claim,
    pool: &'a str,
    load: Load,
    /// Work of the tasks that were placed.
    placed: u64,
    /// Work of the tasks that were not.
    left: u64,
}

/// Processors times estimated duration of `tasks` tasks of a step, in thousandths of a core times
/// milliseconds, at most [`MAX_WORK`].
fn work_of(step: &Step, tasks: usize) -> u64 {
    let work = step.size.millicores.saturating_mul(step.estimate_ms.max(1));
    work.saturating_mul(tasks as u64).min(MAX_WORK)
}

/// Whether dispatch passes note what callers claim and get.
pub fn is_on(cx: &Cx) -> bool {
    cx.cfg.features.fair_sharing || cx.cfg.features.early_refusal
}

impl Sharing {
    /// Time between the first submission of a job and its acceptance, in milliseconds; 0 unless it
    /// was refused before.
    pub fn refused_before_ms(&self, job: JobId) -> u64 {
        self.refused_before_ms
            .get(&job)
            .copied()
            .unwrap_or_default()
    }

    /// Forgets a job that has ended.
    pub fn forget_job(&mut self, job: JobId) {
        self.refused_before_ms.swap_remove(&job);
        self.callers.swap_remove(&job);
    }

    /// What a step with this many startable tasks claims. The steps that can't start yet are counted
    /// at the first one of the occurrence that can.
    pub fn claim(
        &mut self,
        job: &Job,
        step: &StepId,
        rank: Rank,
        tasks: usize,
        is_first: bool,
    ) -> Claim {
        let caller = self.callers.entry(step.job).or_insert_with(|| {
            Rc::new(Caller {
                queue: job.terms.queue.clone(),
                data_centre: job.data_centre.clone(),
            })
        });
        let later = job.spec.steps.iter().enumerate();
        let later = later.filter(|(at, _)| is_first && !job.may_start(step.occurrence, *at));
        Claim {
            rank,
            caller: Rc::clone(caller),
            work: work_of(&job.spec.steps[usize::from(step.step)], tasks),
            later_work: later
                .map(|(_, step)| work_of(step, step.count as usize))
                .sum(),
        }
    }

    /// The order in which steps that are sorted by rank are placed, as indices.
    fn order(&mut self, cx: &Cx, claims: &[Claim]) -> Vec<usize> {
        let order = self
            .fair_share
            .order(claims, &cx.cfg.share_weights, cx.clock.now());
        let is_changed = !order.is_sorted();
        self.totals.passes += 1;
        self.totals.reordered_passes += usize::from(is_changed);
        cx.metrics.reordered_passes.inc_by(u64::from(is_changed));
        order
    }

    fn note_pass(&mut self, cx: &Cx, owner: &Owner, steps: &[StepOutcome]) {
        let now = cx.clock.now();
        let mut outcomes: IndexMap<(&str, Load), PassOutcome> = IndexMap::new();
        for step in steps {
            let outcome = outcomes.entry((step.pool, step.load)).or_default();
            outcome.placed += step.placed;
            outcome.waiting.extend((step.left > 0).then(|| WaitingWork {
                caller: Rc::clone(&step.claim.caller),
                rank: step.claim.rank,
                work: step.left + step.claim.later_work,
            }));
        }
        for step in steps {
            let is_short = !outcomes[&(step.pool, step.load)].waiting.is_empty();
            if is_short && step.claim.rank.band().is_some() {
                let (caller, weights) = (&step.claim.caller, &cx.cfg.share_weights);
                self.fair_share.charge(caller, step.placed, weights);
            }
        }
        let waiting = steps.iter().filter(|step| step.left > 0);
        let waiting: IndexSet<&Caller> = waiting.map(|step| &*step.claim.caller).collect();
        self.fair_share.note_waiting(waiting.iter().copied());
        self.report(owner, &waiting, now);
        let outcomes = outcomes.into_iter().map(|((pool, load), outcome)| {
            let pool = pool.to_owned();
            (Kind { pool, load }, outcome)
        });
        self.admission.note_pass(outcomes.collect(), now);
    }

    fn report(&mut self, owner: &Owner, waiting: &IndexSet<&Caller>, now: Millis) {
        let since = *self.totals.since.get_or_insert(now);
        let is_due = now.since(since) >= REPORT_INTERVAL;
        let has_news = !waiting.is_empty() || self.totals.refused > 0;
        if !is_due || !has_news {
            return;
        }
        // A guest job may be forgotten without having ended here.
        let active = owner.active.borrow();
        self.callers.retain(|job, _| active.contains(job));
        let totals = std::mem::take(&mut self.totals);
        self.totals.since = Some(now);
        let service = |caller: &&&Caller| self.fair_share.service(caller) as u64;
        let name =
            |caller: &Option<&&Caller>| caller.map_or("nobody".to_owned(), ToString::to_string);
        let least = waiting.iter().min_by_key(service);
        let most = waiting.iter().max_by_key(service);
        log::info!(
            shard:% = owner.handle.partition,
            since_ms = millis(now.since(since)),
            passes = totals.passes,
            reordered_passes = totals.reordered_passes,
            accepted = totals.accepted,
            refused = totals.refused,
            waiting_callers = waiting.len(),
            least_served:% = name(&least),
            least_service = least.as_ref().map_or(0, service),
            most_served:% = name(&most),
            most_service = most.as_ref().map_or(0, service);
            "callers share capacity"
        );
    }
}

/// Orders steps that are sorted by rank by what their callers have received.
pub(super) fn by_share(cx: &Cx, owner: &Owner, waiting: Vec<StartableStep>) -> Vec<StartableStep> {
    let claims: Option<Vec<Claim>> = waiting.iter().map(|step| step.claim.clone()).collect();
    let Some(claims) = claims.filter(|_| cx.cfg.features.fair_sharing) else {
        return waiting;
    };
    let order = owner.sharing.borrow_mut().order(cx, &claims);
    let mut waiting: Vec<Option<StartableStep>> = waiting.into_iter().map(Some).collect();
    let ordered = order.into_iter().filter_map(|at| waiting[at].take());
    ordered.collect()
}

/// Records what a dispatch pass did with the startable steps: `placed` holds the number of tasks
/// that it placed of each.
pub(super) fn note_pass(cx: &Cx, owner: &Owner, steps: &[StartableStep], placed: &[usize]) {
    if !is_on(cx) {
        return;
    }
    let ledger = owner.ledger.borrow();
    let mut outcomes = Vec::with_capacity(steps.len());
    for (step, placed) in steps.iter().zip(placed) {
        let (Some(claim), Some(job)) = (&step.claim, ledger.jobs.get(&step.step.job)) else {
            continue;
        };
        // All tasks of a step ask for the same work.
        let placed = claim.work / step.tasks.len() as u64 * *placed as u64;
        outcomes.push(StepOutcome {
            claim,
            pool: &job.terms.pool,
            load: step.load,
            placed,
            left: claim.work - placed,
        });
    }
    owner.sharing.borrow_mut().note_pass(cx, owner, &outcomes);
}

/// Records that a job is accepted that may have been refused before.
pub fn note_accepted(cx: &Cx, owner: &Owner, job: JobId) {
    if !is_on(cx) {
        return;
    }
    let mut sharing = owner.sharing.borrow_mut();
    let age = sharing.admission.accept(job.0, cx.clock.now());
    if !age.is_zero() {
        sharing.refused_before_ms.insert(job, millis(age));
    }
    sharing.totals.accepted += 1;
}

/// The Retry-After time of a new job that is refused since it would end too late to be worth
/// anything; none if it may be accepted. Jobs with a schedule, whose time has not come, and
/// long-running ones are not refused.
pub fn refusal(
    cx: &Cx,
    owner: &Owner,
    id: JobId,
    spec: &JobSpec,
    terms: &QueueConfig,
    data_centre: Option<&String>,
) -> Option<Duration> {
    if !cx.cfg.features.early_refusal || spec.schedule.is_some() {
        return None;
    }
    let now = cx.clock.now();
    let caller = Rc::new(Caller {
        queue: terms.queue.clone(),
        data_centre: data_centre.cloned(),
    });
    let new = new_job(owner, id, caller, spec, terms);
    let shares = cx
        .cfg
        .features
        .fair_sharing
        .then_some(&cx.cfg.share_weights);
    let mut sharing = owner.sharing.borrow_mut();
    let refusal = sharing.admission.decide(&new, shares, now, &mut cx.rng())?;
    sharing.totals.refused += 1;
    cx.metrics.hopeless_refusals.inc();
    log::info!(
        job:% = id,
        caller:% = new.caller,
        shard:% = owner.handle.partition,
        pool:% = refusal.kind.pool,
        load:? = refusal.kind.load,
        work = new.work,
        ahead_on_time = refusal.ahead_on_time,
        ahead = refusal.ahead,
        drain_per_s = refusal.drain_per_s as u64,
        measured_ms = millis(refusal.measured_for),
        queue_age_ms = millis(refusal.queue_age),
        age_ms = millis(refusal.age),
        wait_ms = millis(refusal.wait),
        chain_ms = new.inputs.chain_ms,
        objective_ms = new.inputs.objective_ms,
        retry_after_ms = millis(refusal.retry_after);
        "submission refused: the job would end too late"
    );
    Some(refusal.retry_after)
}

fn new_job(
    owner: &Owner,
    id: JobId,
    caller: Rc<Caller>,
    spec: &JobSpec,
    terms: &QueueConfig,
) -> NewJob {
    let chain_ms = spec.longest_chain_ms();
    let first = spec.steps.iter().filter(|step| step.after.is_empty());
    let first: IndexSet<Kind> = first
        .map(|step| Kind {
            pool: terms.pool.clone(),
            load: load_of(step),
        })
        .collect();
    let work = spec
        .steps
        .iter()
        .map(|step| work_of(step, step.count as usize));
    NewJob {
        id: id.0,
        caller,
        inputs: RankInputs {
            priority: terms.priority,
            is_long_running: spec.steps.iter().any(|step| step.is_long_running),
            is_interrupted: false,
            age_ms: 0,
            objective_ms: terms.objective_ms(chain_ms),
            chain_ms: owner.durations.borrow().expected_ms(&terms.queue, chain_ms),
            is_in_progress: false,
        },
        first_kinds: first.into_iter().collect(),
        work: work.sum(),
    }
}
