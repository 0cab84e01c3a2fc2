//! Shares capacity by weight between callers whose short steps wait for it.
//!
//! Load pattern: one caller sends several times what it usually does, while others of the same
//! priority send no more than their part of the capacity. Ordered by slack alone, the steps of the
//! burst wait among those of the others and delay all of them alike. Here the steps of one priority
//! and [feasibility](super::order::Feasibility) are taken from the caller that has received the least
//! service for its weight, so that a caller within its share hardly waits and the burst waits for
//! itself. Feasibility goes first, so that capacity doesn't go to late jobs of one caller while jobs
//! of another can still be on time.
//!
//! Service counts only while work waits: what a caller takes of idle capacity costs nobody. It decays
//! within seconds, and a caller that had nothing to run resumes near the least served one, so that it
//! can't claim at once all the turns that it didn't use.

use super::order::Rank;
use crate::core::time::Millis;
use indexmap::IndexMap;
use std::{collections::VecDeque, fmt, ops::Range, rc::Rc, time::Duration};

/// Time in which received service loses half its weight: about the objective of short jobs.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Service of a caller that resumes, as a fraction of that of the least served waiting one: at 0 it
/// would delay the others by seconds, at 1 a caller within its share would wait like one beyond it.
const RESUME_LEVEL: f64 = 0.5;
/// A caller that has received less than this fraction of the most served one's service is far behind:
/// its new jobs needn't wait for jobs of others in progress. Where callers are level, progress goes
/// first, since otherwise more jobs are started than can end on time.
const FAR_BEHIND: f64 = 0.5;
/// Service below which an account is dropped: one task of a core for a millisecond.
const MIN_SERVICE: f64 = 1_000.0;
/// Maximum number of accounts; beyond it the least served callers count as new.
const MAX_ACCOUNTS: usize = 1_024;
/// Weight of a caller whose queue and data centre have none in the settings.
const DEFAULT_WEIGHT: u32 = 1;

/// Who submits jobs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Caller {
    /// Name of the queue.
    pub queue: String,
    /// Data centre of the daemon that received the job; `None` if it is not known.
    pub data_centre: Option<String>,
}

impl fmt::Display for Caller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let data_centre = self.data_centre.as_deref().unwrap_or("unknown");
        write!(f, "{}@{data_centre}", self.queue)
    }
}

/// Weights of callers: that of the queue times that of the data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Weights {
    /// By name of the queue.
    pub queues: IndexMap<String, u32>,
    /// By name of the data centre.
    pub data_centres: IndexMap<String, u32>,
}

impl Weights {
    /// The weight of a caller.
    pub fn of(&self, caller: &Caller) -> f64 {
        let queue = self.queues.get(&caller.queue);
        let data_centre = caller.data_centre.as_ref();
        let data_centre = data_centre.and_then(|name| self.data_centres.get(name));
        let weight = |found: Option<&u32>| f64::from(found.copied().unwrap_or(DEFAULT_WEIGHT));
        weight(queue) * weight(data_centre)
    }
}

/// A step with startable tasks that competes for capacity.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Its rank.
    pub rank: Rank,
    /// Its caller.
    pub caller: Rc<Caller>,
    /// Processors times estimated duration of its startable tasks, in thousandths of a core times
    /// milliseconds.
    pub work: u64,
    /// The same of the steps that have to wait for it; 0 where it is counted at another step.
    pub later_work: u64,
}

/// The claims of one caller that are not served yet.
struct Turn {
    service: f64,
    weight: f64,
    /// Indices, the first to be served first.
    claims: VecDeque<usize>,
}

/// Service that callers have received lately.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    /// Work that was placed per unit of weight, with the weight of its age.
    accounts: IndexMap<Caller, f64>,
    decayed_at: Millis,
    /// Callers with steps that the last pass left waiting.
    waiting: Vec<Caller>,
}

impl FairShare {
    /// Service that a caller has received per unit of weight.
    pub fn service(&self, caller: &Caller) -> f64 {
        self.accounts.get(caller).copied().unwrap_or_default()
    }

    /// The order in which claims that are sorted by rank are served, as indices in `claims`. Claims
    /// of one caller keep their order.
    pub fn order(&mut self, claims: &[Claim], weights: &Weights, now: Millis) -> Vec<usize> {
        self.decay(now);
        self.resume(claims);
        let mut ordered = Vec::with_capacity(claims.len());
        while let Some(first) = claims.get(ordered.len()) {
            let from = ordered.len();
            let of = |claim: &Claim| claim.rank.band().map(|b| (b.priority, b.feasibility));
            let band = of(first);
            let rest = claims[from..].iter();
            let together = match band {
                None => 1,
                Some(_) => rest.take_while(|claim| of(claim) == band).count(),
            };
            self.take_in_turn(claims, from..from + together, weights, &mut ordered);
        }
        ordered
    }

    /// Appends the claims of one priority and feasibility to `ordered`. Jobs in progress go before new
    /// ones, except those of callers that are far behind; among these it is each time the first of
    /// the caller with the least service, including that of its claims before.
    fn take_in_turn(
        &self,
        claims: &[Claim],
        band: Range<usize>,
        weights: &Weights,
        ordered: &mut Vec<usize>,
    ) {
        let mut callers: IndexMap<&Caller, Turn> = IndexMap::new();
        for at in band {
            let caller = &*claims[at].caller;
            let turn = callers.entry(caller).or_insert_with(|| Turn {
                service: self.service(caller),
                weight: weights.of(caller),
                claims: VecDeque::new(),
            });
            turn.claims.push_back(at);
        }
        let most = callers
            .values()
            .map(|turn| turn.service)
            .fold(0.0, f64::max);
        let is_new = |turn: &Turn| {
            let band = turn.claims.front().and_then(|at| claims[*at].rank.band());
            band.is_some_and(|band| !band.is_in_progress)
        };
        let is_deferred = |turn: &Turn| is_new(turn) && turn.service >= most * FAR_BEHIND;
        let by_service = |a: &Turn, b: &Turn| {
            let by_progress = is_deferred(a).cmp(&is_deferred(b));
            let by_service = || a.service.total_cmp(&b.service);
            let by_rank = || a.claims.front().cmp(&b.claims.front());
            by_progress.then_with(by_service).then_with(by_rank)
        };
        while let Some(next) = callers
            .values_mut()
            .filter(|turn| !turn.claims.is_empty())
            .min_by(|a, b| by_service(a, b))
        {
            ordered.extend(next.claims.pop_front().inspect(|at| {
                next.service += claims[*at].work as f64 / next.weight;
            }));
        }
    }

    /// Charges a caller for work that was placed while other work waited.
    pub fn charge(&mut self, caller: &Caller, work: u64, weights: &Weights) {
        if work > 0 {
            let service = work as f64 / weights.of(caller);
            *self.accounts.entry(caller.clone()).or_default() += service;
        }
    }

    /// Records the callers with steps that a pass left waiting.
    pub fn note_waiting<'a>(&mut self, callers: impl Iterator<Item = &'a Caller>) {
        self.waiting = callers.cloned().collect();
        self.waiting.sort_unstable();
        self.waiting.dedup();
    }

    fn decay(&mut self, now: Millis) {
        let span = now.since(self.decayed_at);
        self.decayed_at = now;
        let factor = 0.5_f64.powf(span.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.accounts.retain(|_, service| {
            *service *= factor;
            *service >= MIN_SERVICE
        });
        if self.accounts.len() > MAX_ACCOUNTS {
            self.accounts.sort_unstable_by(|_, a, _, b| b.total_cmp(a));
            self.accounts.truncate(MAX_ACCOUNTS);
        }
    }

    /// Raises the accounts of callers that did not wait before this pass.
    fn resume(&mut self, claims: &[Claim]) {
        let waited = self.waiting.iter().map(|caller| self.service(caller));
        let Some(least) = waited.min_by(f64::total_cmp) else {
            return;
        };
        let resumed = claims.iter().map(|claim| &*claim.caller);
        for caller in resumed.filter(|caller| self.waiting.binary_search(caller).is_err()) {
            let service = self.accounts.entry(caller.clone()).or_default();
            *service = service.max(least * RESUME_LEVEL);
        }
    }
}
