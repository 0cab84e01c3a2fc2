//! Mitigation on a host whose latency-critical work is slowed down by batch tasks: throttle first,
//! then evict; and which tasks.
//!
//! Load pattern: noisy batch waves beside a latency-critical entry. Without mitigation the
//! latency-critical work is slow until the wave ends; with eviction alone, each wave
//! loses work that a throttle of a few seconds would have kept; without a record of evictions, the
//! evicted task is placed back and evicted again.
//!
//! Whether a host is in distress is decided by the worst slowdown of its latency-critical work, in
//! reports that arrive late. Mitigation starts after two consecutive reports above
//! [`DISTRESS_SLOWDOWN`]; after each step the host has [`SETTLE_TIME`] to respond before the next.
//! First, as many tasks are throttled as are expected to end the distress, those with the most harm
//! for their priority first; after that, one task is evicted at a time. (With one throttle at a
//! time, a wave of six noisy tasks had ended before all six were throttled.) A throttle is released
//! after [`REPORTS_TO_RELEASE`] reports according to which the host would stay out of distress with
//! that task at full speed, so that throttles neither stay for ever on a busy host nor oscillate.
//!
//! Only tasks that do much of the harm are evicted: evicting others would lose work without
//! benefit. Of these the one with the lowest priority is chosen; at equal priority, the one that
//! loses least work since its checkpoint. An evicted task is not evicted again within
//! [`EVICTION_COOLDOWN`] and not placed back on the same worker within [`SAME_WORKER_COOLDOWN`].

use super::hysteresis::{HysteresisConfig, Switch};
use crate::core::{
    catalogue::Class,
    id::{JobId, WorkerId},
    time::Millis,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Slowdown of latency-critical work above which mitigation starts, relative to 1 for an
/// uncontended host. The target is a p99 within twice the uncontended one; this is halfway there.
pub const DISTRESS_SLOWDOWN: f64 = 1.5;
/// Slowdown below which the distress of a host ends and batch tasks may be placed there again.
pub const RECOVERY_SLOWDOWN: f64 = 1.35;
/// Time after a step before reports count again: usage reports lag by some seconds.
pub const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Least time between two evictions of a task.
pub const EVICTION_COOLDOWN: Duration = Duration::from_secs(10 * 60);
/// Time during which an evicted task is not placed on the worker that it was evicted from.
pub const SAME_WORKER_COOLDOWN: Duration = Duration::from_secs(30 * 60);
/// Fraction of a task's harm that a throttle is expected to remove.
const THROTTLE_EFFECT: f64 = 0.7;
/// Fraction of the excess slowdown (above 1) that a task must add to be worth a throttle.
const MIN_THROTTLE_HARM: f64 = 0.1;
/// Least harm of a task worth evicting, relative to the most harmful task on the host.
const MIN_EVICTION_HARM: f64 = 0.5;
/// Consecutive reports above [`DISTRESS_SLOWDOWN`] that start a mitigation step.
const REPORTS_TO_MITIGATE: u32 = 2;
/// Consecutive reports that release a throttle. More than start a mitigation step, so that a wave
/// with short pauses does not cause oscillation.
pub const REPORTS_TO_RELEASE: u32 = 4;

/// Thresholds at which a host enters and leaves distress.
pub const THRESHOLDS: HysteresisConfig = HysteresisConfig {
    on_above: DISTRESS_SLOWDOWN,
    off_below: RECOVERY_SLOWDOWN,
    on_after: REPORTS_TO_MITIGATE,
    off_after: REPORTS_TO_RELEASE,
    settle_time: SETTLE_TIME,
};

/// A task on the host, with what decides whether it is throttled or evicted.
#[derive(Clone, Copy, Debug)]
pub struct HostTask<'a> {
    /// Job that the task runs.
    pub job: &'a JobId,
    /// Only tasks of [`Class::Batch`] are throttled or evicted.
    pub class: Class,
    /// Priority of its entry; higher is more important.
    pub priority: u32,
    /// Work since its last checkpoint, which an eviction would lose.
    pub unsaved: Duration,
    /// Estimated slowdown that the task adds to the host's latency-critical work.
    pub harm: f64,
    /// Whether the task is throttled at present.
    pub throttled: bool,
}

/// A mitigation step on a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MitigationStep {
    /// Throttle this job's task.
    Throttle(JobId),
    /// Remove the throttle of this job's task.
    Release(JobId),
    /// Checkpoint this job's task and move it to another worker.
    Evict(JobId),
}

/// Distress of one host, with the time of its last mitigation step.
#[derive(Clone, Copy, Debug, Default)]
pub struct Distress {
    switch: Switch,
    /// Consecutive reports above [`DISTRESS_SLOWDOWN`] since the last step.
    high_reports: u32,
    /// Consecutive reports that would allow a release since the last step.
    releasable_reports: u32,
    last_step_at: Option<Millis>,
    last_measured: Option<Millis>,
}

/// Recent evictions, so that a task is not repeatedly evicted and placed back.
#[derive(Debug, Default)]
pub struct EvictionHistory {
    evicted: IndexMap<JobId, (WorkerId, Millis)>,
}

impl EvictionHistory {
    /// Records the eviction of a job's task from a worker.
    pub fn note(&mut self, job: &JobId, worker: &WorkerId, now: Millis) {
        self.evicted.insert(job.clone(), (worker.clone(), now));
    }

    /// Whether a task may be evicted: not if it was evicted within [`EVICTION_COOLDOWN`].
    pub fn may_evict(&self, job: &JobId, now: Millis) -> bool {
        self.evicted
            .get(job)
            .is_none_or(|(_, at)| now.since(*at) >= EVICTION_COOLDOWN)
    }

    /// Whether a task may be placed on a worker: not if it was evicted from it within
    /// [`SAME_WORKER_COOLDOWN`].
    pub fn may_place(&self, job: &JobId, worker: &WorkerId, now: Millis) -> bool {
        self.evicted
            .get(job)
            .is_none_or(|(from, at)| from != worker || now.since(*at) >= SAME_WORKER_COOLDOWN)
    }

    /// Removes evictions older than [`SAME_WORKER_COOLDOWN`].
    pub fn forget_old(&mut self, now: Millis) {
        self.evicted
            .retain(|_, (_, at)| now.since(*at) < SAME_WORKER_COOLDOWN);
    }
}

impl Distress {
    /// Records the worst slowdown of the host's latency-critical work (1 for none) and returns the
    /// steps to take, mostly none. Reports no newer than the last, or measured within
    /// [`SETTLE_TIME`] after the last step, are ignored.
    pub fn report(
        &mut self,
        slowdown: f64,
        measured_at: Millis,
        tasks: &[HostTask<'_>],
        history: &EvictionHistory,
        now: Millis,
    ) -> Vec<MitigationStep> {
        if !self.is_fresh(measured_at) {
            return Vec::new();
        }
        self.last_measured = Some(measured_at);
        self.switch
            .report(&THRESHOLDS, slowdown, measured_at, measured_at);
        self.high_reports = if slowdown > DISTRESS_SLOWDOWN {
            self.high_reports + 1
        } else {
            0
        };
        let releasable =
            select_for_release(tasks).filter(|task| slowdown + task.harm < DISTRESS_SLOWDOWN);
        self.releasable_reports = if releasable.is_some() {
            self.releasable_reports + 1
        } else {
            0
        };
        let steps = match releasable {
            _ if self.high_reports >= REPORTS_TO_MITIGATE => {
                mitigate(slowdown, tasks, history, now)
            }
            Some(task) if self.releasable_reports >= REPORTS_TO_RELEASE => {
                vec![MitigationStep::Release(task.job.clone())]
            }
            _ => Vec::new(),
        };
        if !steps.is_empty() {
            (self.high_reports, self.releasable_reports) = (0, 0);
            self.last_step_at = Some(now);
        }
        steps
    }

    /// Whether the host is in distress, so that no batch task should be placed there.
    pub fn is_on(&self) -> bool {
        self.switch.is_on()
    }

    fn is_fresh(&self, measured_at: Millis) -> bool {
        let newer = self.last_measured.is_none_or(|last| measured_at > last);
        newer
            && self
                .last_step_at
                .is_none_or(|at| measured_at >= at + SETTLE_TIME)
    }
}

fn mitigate(
    slowdown: f64,
    tasks: &[HostTask<'_>],
    history: &EvictionHistory,
    now: Millis,
) -> Vec<MitigationStep> {
    let throttled = plan_throttles(slowdown, tasks);
    if !throttled.is_empty() {
        return throttled;
    }
    let evicted = select_for_eviction(tasks, history, now);
    evicted
        .map(|task| MitigationStep::Evict(task.job.clone()))
        .into_iter()
        .collect()
}

/// Throttles for the batch tasks with the most harm for their priority, as many as are expected to
/// end the distress. If none is known to do harm and none is throttled yet, the first is throttled
/// all the same, and only that one.
fn plan_throttles(slowdown: f64, tasks: &[HostTask<'_>]) -> Vec<MitigationStep> {
    let min_harm = MIN_THROTTLE_HARM * (slowdown - 1.0);
    let any_throttled = tasks.iter().any(|t| t.throttled);
    let candidates = tasks
        .iter()
        .filter(|t| t.class == Class::Batch && !t.throttled);
    let mut candidates: Vec<&HostTask<'_>> = candidates
        .filter(|t| t.harm >= min_harm || !any_throttled)
        .collect();
    let harm_per_priority = |t: &HostTask<'_>| t.harm / f64::from(t.priority.max(1));
    candidates.sort_by(|a, b| harm_per_priority(b).total_cmp(&harm_per_priority(a)));
    let mut expected = slowdown;
    let mut steps = Vec::new();
    for task in candidates {
        if expected <= DISTRESS_SLOWDOWN || (task.harm < min_harm && !steps.is_empty()) {
            break;
        }
        expected -= task.harm * THROTTLE_EFFECT;
        steps.push(MitigationStep::Throttle(task.job.clone()));
    }
    steps
}

/// Of the batch tasks that do much of the harm, the one whose eviction costs least: lowest
/// priority, then least work lost.
pub fn select_for_eviction<'a>(
    tasks: &'a [HostTask<'a>],
    history: &EvictionHistory,
    now: Millis,
) -> Option<&'a HostTask<'a>> {
    let candidates: Vec<&HostTask<'_>> = tasks
        .iter()
        .filter(|t| t.class == Class::Batch && history.may_evict(t.job, now))
        .collect();
    let max_harm = candidates.iter().map(|t| t.harm).max_by(f64::total_cmp)?;
    let harmful = candidates
        .into_iter()
        .filter(|t| t.harm >= MIN_EVICTION_HARM * max_harm);
    harmful.min_by_key(|t| (t.priority, t.unsaved))
}

/// The throttled task that would do least harm at full speed.
fn select_for_release<'a>(tasks: &'a [HostTask<'a>]) -> Option<&'a HostTask<'a>> {
    let throttled = tasks.iter().filter(|t| t.throttled);
    throttled.min_by(|a, b| a.harm.total_cmp(&b.harm))
}
