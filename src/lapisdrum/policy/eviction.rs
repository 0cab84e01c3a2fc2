//! What is done on a host whose latency-critical work suffers: throttle first, then evict, and whom.
//!
//! Load pattern: noisy batch waves beside a latency-critical entry. Without it the service suffers
//! for as long as the wave lasts; with eviction alone, each wave throws work away that a throttle of
//! a few seconds would have kept; with no memory, the evicted task is placed back and evicted again.
//!
//! A host's distress is the worst slowdown of its latency-critical work, in reports that arrive
//! late. Two reports in a row above [`DISTRESS`] begin relief, and each step has [`SETTLE`] to show
//! before the next. First as many tasks are throttled as by what is known of them bring the host out of
//! distress, those that harm most for their importance first; then one is evicted at a time (throttling
//! one at a time was tried: a wave of six noisy tasks lasted longer than the steps). A throttle is undone after [`REPORTS_TO_UNDO`] reports
//! by which the host would be out of distress also with that task at full speed, so that throttles
//! neither last for ever on a busy host nor swing.
//!
//! Evicted is one of the tasks that harm much: evicting another would lose work for nothing. Of these
//! it is the least important; among equals the one that loses least work since its checkpoint. A task
//! that was evicted within [`SPARED`] is not evicted again, and is not put back on the same worker
//! within [`KEPT_AWAY`].

use super::hysteresis::{Pace, Switch};
use crate::core::{
    catalogue::Class,
    id::{JobId, WorkerId},
    time::Millis,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Slowdown of latency-critical work that calls for relief: the target is a p99 within twice the
/// uncontended one, so relief begins at half of the way there.
pub const DISTRESS: f64 = 1.5;
/// Slowdown below which a host in distress takes batch tasks again.
pub const CALM: f64 = 1.35;
/// Time that a step needs to show: usage reports lag by some seconds.
pub const SETTLE: Duration = Duration::from_secs(10);
/// Time within which an evicted task is not evicted again.
pub const SPARED: Duration = Duration::from_secs(10 * 60);
/// Time within which an evicted task is not placed back on the worker that it was evicted from.
pub const KEPT_AWAY: Duration = Duration::from_secs(30 * 60);
/// Part of its harm that a throttle takes away, as a rule.
const THROTTLE_HELPS: f64 = 0.7;
/// Part of the slowdown that a task must add to be worth a throttle.
const WORTH_THROTTLING: f64 = 0.1;
/// Harm relative to the greatest on the host from which a task is worth evicting.
const WORTH_EVICTING: f64 = 0.5;
/// Agreeing reports that begin relief.
const REPORTS_TO_RELIEVE: u32 = 2;
/// Agreeing reports that undo a step: slower than relief, so that a wave with short pauses does not
/// swing.
pub const REPORTS_TO_UNDO: u32 = 4;

/// How distress is followed.
pub const PACE: Pace = Pace {
    on_above: DISTRESS,
    off_below: CALM,
    on_after: REPORTS_TO_RELIEVE,
    off_after: REPORTS_TO_UNDO,
    settle: SETTLE,
};

/// A task on the host, as eviction weighs it.
#[derive(Clone, Copy, Debug)]
pub struct Tenant<'a> {
    /// The task.
    pub job: &'a JobId,
    /// Its class.
    pub class: Class,
    /// Its entry's importance.
    pub priority: u32,
    /// Work since its last checkpoint, which an eviction loses.
    pub unsaved: Duration,
    /// Slowdown that it adds to the host's latency-critical work, as far as is known.
    pub harm: f64,
    /// Whether it is throttled.
    pub throttled: bool,
}

/// What to do on a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Slow this task down.
    Throttle(JobId),
    /// Let this task run at full speed again.
    Release(JobId),
    /// Checkpoint and move this task.
    Evict(JobId),
}

/// Distress of one host and when it was last relieved.
#[derive(Clone, Copy, Debug, Default)]
pub struct Distress {
    switch: Switch,
    /// Reports above or below the limits since the last step.
    high: u32,
    low: u32,
    stepped_at: Option<Millis>,
    last_measured: Option<Millis>,
}

/// Evictions that are remembered, so that no task goes to and fro.
#[derive(Debug, Default)]
pub struct EvictionMemory {
    evicted: IndexMap<JobId, (WorkerId, Millis)>,
}

impl EvictionMemory {
    /// Notes an eviction.
    pub fn note(&mut self, job: &JobId, worker: &WorkerId, now: Millis) {
        self.evicted.insert(job.clone(), (worker.clone(), now));
    }

    /// Whether a task may be evicted for relief.
    pub fn may_evict(&self, job: &JobId, now: Millis) -> bool {
        self.evicted
            .get(job)
            .is_none_or(|(_, at)| now.since(*at) >= SPARED)
    }

    /// Whether a task may be placed on a worker.
    pub fn may_place(&self, job: &JobId, worker: &WorkerId, now: Millis) -> bool {
        self.evicted
            .get(job)
            .is_none_or(|(from, at)| from != worker || now.since(*at) >= KEPT_AWAY)
    }

    /// Forgets what no longer matters.
    pub fn forget_old(&mut self, now: Millis) {
        self.evicted.retain(|_, (_, at)| now.since(*at) < KEPT_AWAY);
    }
}

impl Distress {
    /// Takes a report of the worst slowdown of latency-critical work (1 for none), and says what to
    /// do with the host's tasks; mostly nothing.
    pub fn report(
        &mut self,
        slowdown: f64,
        measured_at: Millis,
        tenants: &[Tenant<'_>],
        memory: &EvictionMemory,
        now: Millis,
    ) -> Vec<Step> {
        if !self.is_news(measured_at) {
            return Vec::new();
        }
        self.last_measured = Some(measured_at);
        self.switch
            .report(&PACE, slowdown, measured_at, measured_at);
        self.high = if slowdown > DISTRESS {
            self.high + 1
        } else {
            0
        };
        let undone = to_release(tenants).filter(|tenant| slowdown + tenant.harm < DISTRESS);
        self.low = if undone.is_some() { self.low + 1 } else { 0 };
        let steps = match undone {
            _ if self.high >= REPORTS_TO_RELIEVE => relieve(slowdown, tenants, memory, now),
            Some(tenant) if self.low >= REPORTS_TO_UNDO => vec![Step::Release(tenant.job.clone())],
            _ => Vec::new(),
        };
        if !steps.is_empty() {
            (self.high, self.low) = (0, 0);
            self.stepped_at = Some(now);
        }
        steps
    }

    /// Whether the host is in distress: no batch task should be placed there.
    pub fn is_on(&self) -> bool {
        self.switch.is_on()
    }

    fn is_news(&self, measured_at: Millis) -> bool {
        let newer = self.last_measured.is_none_or(|last| measured_at > last);
        newer && self.stepped_at.is_none_or(|at| measured_at >= at + SETTLE)
    }
}

fn relieve(
    slowdown: f64,
    tenants: &[Tenant<'_>],
    memory: &EvictionMemory,
    now: Millis,
) -> Vec<Step> {
    let throttled = to_throttle(slowdown, tenants);
    if !throttled.is_empty() {
        return throttled;
    }
    let evicted = to_evict(tenants, memory, now);
    evicted
        .map(|tenant| Step::Evict(tenant.job.clone()))
        .into_iter()
        .collect()
}

/// Throttles for the batch tasks that harm most for their importance, as many as are expected to end
/// the distress. Where none is known to harm, one is throttled on suspicion and no other after it.
fn to_throttle(slowdown: f64, tenants: &[Tenant<'_>]) -> Vec<Step> {
    let least = WORTH_THROTTLING * (slowdown - 1.0);
    let any_throttled = tenants.iter().any(|t| t.throttled);
    let open = tenants
        .iter()
        .filter(|t| t.class == Class::Batch && !t.throttled);
    let mut open: Vec<&Tenant<'_>> = open.filter(|t| t.harm >= least || !any_throttled).collect();
    let worth = |t: &Tenant<'_>| t.harm / f64::from(t.priority.max(1));
    open.sort_by(|a, b| worth(b).total_cmp(&worth(a)));
    let mut expected = slowdown;
    let mut steps = Vec::new();
    for tenant in open {
        if expected <= DISTRESS || (tenant.harm < least && !steps.is_empty()) {
            break;
        }
        expected -= tenant.harm * THROTTLE_HELPS;
        steps.push(Step::Throttle(tenant.job.clone()));
    }
    steps
}

/// Of the batch tasks that harm much, the one whose eviction costs least: the least important, then
/// the least work lost.
pub fn to_evict<'a>(
    tenants: &'a [Tenant<'a>],
    memory: &EvictionMemory,
    now: Millis,
) -> Option<&'a Tenant<'a>> {
    let open: Vec<&Tenant<'_>> = tenants
        .iter()
        .filter(|t| t.class == Class::Batch && memory.may_evict(t.job, now))
        .collect();
    let most = open.iter().map(|t| t.harm).max_by(f64::total_cmp)?;
    let harmful = open.into_iter().filter(|t| t.harm >= WORTH_EVICTING * most);
    harmful.min_by_key(|t| (t.priority, t.unsaved))
}

/// The throttled task that would harm least at full speed.
fn to_release<'a>(tenants: &'a [Tenant<'a>]) -> Option<&'a Tenant<'a>> {
    let throttled = tenants.iter().filter(|t| t.throttled);
    throttled.min_by(|a, b| a.harm.total_cmp(&b.harm))
}
