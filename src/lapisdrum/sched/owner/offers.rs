//! Offers free capacity of the shard to interrupted long-running tasks of other shards.
//!
//! An offer is what [`crate::policy::dispatch::spare`] finds left on the hosts after the shard's own
//! interrupted tasks and the outstanding offers.

use super::{Owner, delegate::TaskNeed, dispatch};
use crate::{
    core::{
        size::Size,
        time::{Millis, millis},
    },
    policy::dispatch::spare::{SpareHost, SpareHosts, SpareNeed, StepLimit},
    sched::{
        Cx,
        job::{Step, StepId},
        ledger::Job,
    },
};
use indexmap::IndexMap;
use std::time::Duration;

/// A shard offers its free capacity divided by this at a time: its own tasks may need the rest.
const OFFER_DIVISOR: u64 = 4;
/// How long an offer counts as taken. On a healthy store the tasks are journaled and adopted within
/// this time.
const OFFER_VALIDITY: Duration = Duration::from_millis(1_000);
/// Age from which the spare capacity is computed again. Other shards ask for dozens of kinds of
/// tasks in the same round.
const SPARE_VALIDITY: Duration = Duration::from_millis(100);
/// Time between two lines with totals.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Offers of a shard to other shards.
#[derive(Default)]
pub struct Offers {
    made: Vec<Offer>,
    spare: Option<Spare>,
    totals: Totals,
    reported_at: Option<Millis>,
}

/// Capacity offered for a number of tasks.
struct Offer {
    need: TaskNeed,
    tasks: u64,
    at: Millis,
}

/// Spare capacity of the shard.
struct Spare {
    computed_at: Millis,
    /// Once all but the long-running tasks have ended.
    hosts: SpareHosts,
    /// The number of the shard's interrupted tasks that fit on `hosts`, by step.
    fitting: IndexMap<StepId, u64>,
    /// What the shard's interrupted tasks leave of `hosts`.
    after_interrupted: SpareHosts,
    /// What the outstanding offers leave of `after_interrupted`.
    after_offers: SpareHosts,
}

/// How offers were computed, over all requests since the last line with totals.
#[derive(Default)]
struct Totals {
    /// Number of requests.
    asks: u64,
    /// Number of requests for a task that fits on a host.
    fitting_asks: u64,
    /// Number of requests that received an offer.
    offered_asks: u64,
    /// Most hosts that were eligible for a request.
    hosts: usize,
    /// Number of tasks that would fit, summed over the requests.
    fitting: u64,
    /// Number of tasks taken off for interrupted tasks of this shard.
    for_interrupted: u64,
    /// Number of tasks taken off for earlier offers.
    for_offers: u64,
    /// Number of tasks offered.
    offered: u64,
}

impl Totals {
    fn note(&mut self, spare: &Spare, need: &SpareNeed, offer: u64) {
        let fitting = spare.hosts.count(need);
        let uninterrupted = spare.after_interrupted.count(need);
        let left = spare.after_offers.count(need);
        self.asks += 1;
        self.fitting_asks += u64::from(fitting > 0);
        self.offered_asks += u64::from(offer > 0);
        self.hosts = self.hosts.max(spare.hosts.eligible(need));
        self.fitting += fitting;
        self.for_interrupted += fitting.saturating_sub(uninterrupted);
        self.for_offers += uninterrupted.saturating_sub(left);
        self.offered += offer;
    }
}

impl TaskNeed {
    fn spare_need(&self) -> SpareNeed<'_> {
        SpareNeed {
            pool: &self.pool,
            size: self.size,
            required_label: self.required_label.as_deref(),
            limit: None,
        }
    }
}

impl Spare {
    /// Takes the outstanding offers off.
    fn place_offers(&mut self, made: &[Offer]) {
        self.after_offers = self.after_interrupted.clone();
        for offer in made {
            let need = offer.need.spare_need();
            self.after_offers.place(&need, offer.tasks);
        }
    }
}

impl Offers {
    fn is_spare_valid(&self, now: Millis) -> bool {
        let spare = self.spare.as_ref();
        spare.is_some_and(|spare| now.since(spare.computed_at) < SPARE_VALIDITY)
    }

    fn set_spare(&mut self, mut spare: Spare) {
        let now = spare.computed_at;
        self.made
            .retain(|offer| now.since(offer.at) < OFFER_VALIDITY);
        spare.place_offers(&self.made);
        self.spare = Some(spare);
    }

    /// Makes an offer for up to `wanted` tasks.
    fn make(&mut self, need: &TaskNeed, wanted: u32, now: Millis) -> u64 {
        let Some(spare) = &mut self.spare else {
            return 0;
        };
        let spare_need = need.spare_need();
        let left = spare.after_offers.count(&spare_need);
        let tasks = left.div_ceil(OFFER_DIVISOR).min(u64::from(wanted));
        self.totals.note(spare, &spare_need, tasks);
        if tasks > 0 {
            spare.after_offers.place(&spare_need, tasks);
            self.made.push(Offer {
                need: need.clone(),
                tasks,
                at: now,
            });
        }
        tasks
    }

    /// Releases an offer for such tasks that was not taken: of several, that of the fewest tasks.
    /// Requests do not name the shard that asks, and what another shard may still use stays taken.
    fn release(&mut self, need: &TaskNeed) {
        let made = self.made.iter().enumerate();
        let of_need = made.filter(|(_, offer)| offer.need == *need);
        let Some((at, _)) = of_need.min_by_key(|(_, offer)| offer.tasks) else {
            return;
        };
        self.made.remove(at);
        if let Some(spare) = &mut self.spare {
            spare.place_offers(&self.made);
        }
    }

    /// Ends offers for tasks that were adopted: the shard's interrupted tasks include them.
    fn end_adopted(&mut self, need: &TaskNeed, tasks: u64) {
        let mut adopted = tasks;
        for offer in self.made.iter_mut().filter(|offer| offer.need == *need) {
            let ended = offer.tasks.min(adopted);
            offer.tasks -= ended;
            adopted -= ended;
        }
        self.made.retain(|offer| offer.tasks > 0);
        self.spare = None;
    }

    /// Logs the totals if that is due.
    fn report(&mut self, owner: &Owner, now: Millis) {
        let since_ms = self.reported_at.map(|at| millis(now.since(at)));
        if since_ms.is_some_and(|since| since < millis(REPORT_INTERVAL)) {
            return;
        }
        self.reported_at = Some(now);
        let totals = std::mem::take(&mut self.totals);
        log::info!(
            shard:% = owner.handle.partition,
            since_ms = since_ms.unwrap_or_default(),
            asks = totals.asks,
            fitting_asks = totals.fitting_asks,
            offered_asks = totals.offered_asks,
            hosts = totals.hosts,
            fitting = totals.fitting,
            for_interrupted = totals.for_interrupted,
            for_offers = totals.for_offers,
            offered = totals.offered;
            "capacity is offered"
        );
    }
}

impl Owner {
    /// Offers capacity for up to `wanted` tasks, beyond what the shard's own interrupted tasks
    /// can use. An offer counts as taken for a second, else several shards would delegate tasks to
    /// the same few hosts; a request for 0 tasks releases it before. None while the shard cannot
    /// place tasks.
    pub fn offer_capacity(&self, cx: &Cx, need: &TaskNeed, wanted: u32) -> Option<u32> {
        if !self.may_place(cx) {
            return None;
        }
        let now = cx.clock.now();
        let mut offers = self.offers.borrow_mut();
        if wanted == 0 {
            offers.release(need);
            return Some(0);
        }
        self.refresh_spare(cx, &mut offers, now);
        let tasks = offers.make(need, wanted, now);
        offers.report(self, now);
        Some(u32::try_from(tasks).unwrap_or(u32::MAX))
    }

    /// Ends the offers that adopted tasks have taken.
    pub(super) fn end_offers(&self, need: &TaskNeed, tasks: u64) {
        self.offers.borrow_mut().end_adopted(need, tasks);
    }

    /// The number of the shard's interrupted tasks that fit once all but the long-running tasks have
    /// ended, by step.
    pub(super) fn fitting_interrupted(&self, cx: &Cx, now: Millis) -> IndexMap<StepId, u64> {
        let mut offers = self.offers.borrow_mut();
        self.refresh_spare(cx, &mut offers, now);
        let spare = offers.spare.as_ref();
        spare.map_or_else(IndexMap::new, |spare| spare.fitting.clone())
    }

    fn refresh_spare(&self, cx: &Cx, offers: &mut Offers, now: Millis) {
        if !offers.is_spare_valid(now) {
            offers.set_spare(self.spare(cx, now));
        }
    }

    fn spare(&self, cx: &Cx, now: Millis) -> Spare {
        let hosts = self.spare_hosts(cx, now);
        let mut after_interrupted = hosts.clone();
        let mut fitting = IndexMap::new();
        let ledger = self.ledger.borrow();
        for (step, tasks) in dispatch::interrupted_steps(cx, self) {
            let job = &ledger.jobs[&step.job];
            let need = need_of(job, &step);
            let placed = after_interrupted.place(&need, tasks);
            fitting.insert(step, placed);
        }
        Spare {
            computed_at: now,
            hosts,
            fitting,
            after_offers: after_interrupted.clone(),
            after_interrupted,
        }
    }

    fn spare_hosts(&self, cx: &Cx, now: Millis) -> SpareHosts {
        let sessions = self.sessions.borrow();
        let mut hosts = Vec::new();
        for report in self.open_workers(cx) {
            let session = &sessions[&report.incarnation.worker];
            if session.is_suspect(now) {
                continue;
            }
            let (capacity, tally) = (report.capacity, &session.tally);
            let held = tally.long_running.millicores;
            hosts.push(SpareHost {
                id: report.incarnation.worker.clone(),
                pool: report.pool.clone(),
                labels: report.labels.clone(),
                free: Size {
                    millicores: capacity.millicores.saturating_sub(held),
                    ..capacity.minus(&tally.reserved)
                },
            });
        }
        hosts.into()
    }
}

fn need_of<'a>(job: &'a Job, step: &StepId) -> SpareNeed<'a> {
    let spec = &job.spec.steps[usize::from(step.step)];
    SpareNeed {
        pool: &job.terms.pool,
        size: spec.size,
        required_label: spec.required_label.as_deref(),
        limit: limit_of(job, step, spec),
    }
}

fn limit_of<'a>(job: &'a Job, step: &StepId, spec: &Step) -> Option<StepLimit<'a>> {
    let max = spec.max_per_worker?;
    let mut running: IndexMap<&str, u32> = IndexMap::new();
    let tasks = job.step(step).into_iter().flat_map(|state| &state.tasks);
    for live in tasks.flat_map(|task| &task.live) {
        *running.entry(&live.on.worker).or_default() += 1;
    }
    Some(StepLimit { max, running })
}
