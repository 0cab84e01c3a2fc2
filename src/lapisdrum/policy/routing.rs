//! Which worker a request goes to: the better of two random choices, by outstanding requests and
//! recent latency.
//!
//! Load pattern: many daemons route at the same time on slightly stale metrics, to workers of which
//! one may be slow, hang or fail. Without the random choice all daemons would pick the same least
//! loaded worker and overload it; two choices spread load almost as well as perfect knowledge.
//! Without latency in the score a slow worker gets as many requests as a fast one until its slots
//! are full, and its callers wait.
//!
//! The score is the work queued ahead of the request, times the worker's slowness, times the
//! attempts to expect at its failure rate. Slowness is the duration of the worker's requests
//! relative to the usual durations of their entries. An outstanding request counts as an answer of
//! its current age, so a worker that hangs is avoided before its first timeout. Slowness decays
//! towards 1 with a half-life of [`SLOWNESS_HALF_LIFE`] without answers, so that a worker that has
//! recovered is tried again.

use super::outliers::{Outliers, Sample};
use crate::core::{
    id::{EntryName, WorkerId},
    time::Millis,
};
use indexmap::IndexMap;
use rand::Rng;
use std::{collections::VecDeque, time::Duration};

/// Half-life of a worker's measured slowness while it returns no answers.
pub const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(10);
/// Weight of the newest answer in the moving average of an entry's duration.
const DURATION_SMOOTHING: f64 = 0.05;
/// Weight of the newest answer in the moving average of a worker's slowness, which covers the last
/// few answers.
const SLOWNESS_SMOOTHING: f64 = 0.3;
/// Upper limit of a worker's slowness.
const MAX_SLOWNESS: f64 = 100.0;
/// Ratio of two scores up to which they count as equal. Such a difference is noise, and a worker
/// must not lose every comparison by it.
const EQUAL_SCORE_RATIO: f64 = 1.1;
/// Lower limit of measured durations, in milliseconds: the clock counts whole milliseconds.
const MIN_DURATION_MS: f64 = 0.5;
/// Maximum number of draws to find a worker that is not ejected.
const MAX_DRAWS: usize = 8;

/// A worker that has free capacity for the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Identity under which its answers are recorded.
    pub worker: &'a WorkerId,
    /// Requests that this daemon has outstanding at the worker.
    pub outstanding: u32,
}

/// Outcome of sending a request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The worker answered in time, and not with a server error.
    Answered,
    /// The worker was full and did not run the request; not counted as a failure.
    Full,
    /// The worker could not be reached, answered with a server error or did not answer in time.
    Failed,
    /// The caller disconnected, which is no evidence about the worker.
    Abandoned,
}

#[derive(Debug, Default)]
struct WorkerStats {
    slowness: f64,
    answered_at: Option<Millis>,
    /// Outstanding requests, the oldest first: when each was sent, and the usual duration of its
    /// entry in milliseconds.
    sent: VecDeque<(Millis, Option<f64>)>,
}

/// Latency and failures of workers, as this daemon has measured them.
#[derive(Debug, Default)]
pub struct Routing {
    workers: IndexMap<WorkerId, WorkerStats>,
    usual_ms: IndexMap<EntryName, f64>,
    outliers: Outliers,
}

impl Routing {
    /// Chooses a worker, by index; `None` when there is no candidate. If all draws fall on ejected
    /// workers, one of those is chosen, so that the request is served at all.
    pub fn choose(
        &self,
        candidates: &[Candidate<'_>],
        now: Millis,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let first = self.draw(candidates, None, now, rng)?;
        let second = self.draw(candidates, Some(first), now, rng)?;
        let (a, b) = (candidates[first], candidates[second]);
        Some(
            if self.score(&a, now) <= EQUAL_SCORE_RATIO * self.score(&b, now) {
                first
            } else {
                second
            },
        )
    }

    /// Records that a request was sent at `now`.
    pub fn note_sent(&mut self, worker: &WorkerId, entry: &EntryName, now: Millis) {
        let usual_ms = self.usual_ms.get(entry).copied();
        let stats = stats_of(&mut self.workers, worker);
        stats.sent.push_back((now, usual_ms));
    }

    /// Records the outcome of a request that was sent at `sent_at`, in a pool of `pool` workers.
    /// Returns whether the worker is ejected for it.
    pub fn note_outcome(
        &mut self,
        worker: &WorkerId,
        entry: &EntryName,
        sent_at: Millis,
        outcome: SendOutcome,
        pool: usize,
        now: Millis,
    ) -> bool {
        let took_ms = (now.since(sent_at).as_secs_f64() * 1e3).max(MIN_DURATION_MS);
        // The first answer of an entry has nothing to compare with, so it counts as usual.
        let usual_ms = self.usual_ms.get(entry).copied().unwrap_or(took_ms);
        let stats = stats_of(&mut self.workers, worker);
        if let Some(at) = stats.sent.iter().position(|(at, _)| *at == sent_at) {
            stats.sent.remove(at);
        }
        match outcome {
            SendOutcome::Answered => {
                let slowness_sample = (took_ms / usual_ms).min(MAX_SLOWNESS);
                stats.note(slowness_sample, now);
                self.note_duration(entry, took_ms);
                self.outliers
                    .note(worker, Sample::Answered(slowness_sample), pool, now)
            }
            SendOutcome::Failed => self.outliers.note(worker, Sample::Failed, pool, now),
            SendOutcome::Full | SendOutcome::Abandoned => false,
        }
    }

    /// Moving average of an entry's request duration; `None` before the first answer.
    pub fn usual_duration(&self, entry: &EntryName) -> Option<Duration> {
        let usual_ms = self.usual_ms.get(entry)?;
        Some(Duration::from_secs_f64(usual_ms / 1e3))
    }

    /// Outlier detection over the same workers.
    pub fn outliers(&self) -> &Outliers {
        &self.outliers
    }

    /// Removes the records of all workers but those for which `is_known` holds.
    pub fn retain(&mut self, is_known: impl Fn(&WorkerId) -> bool) {
        self.workers.retain(|worker, _| is_known(worker));
        self.outliers.retain(is_known);
    }

    fn draw(
        &self,
        candidates: &[Candidate<'_>],
        excluded: Option<usize>,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let mut drawn = rng.random_range(0..candidates.len());
        for _ in 0..MAX_DRAWS {
            let allowed = self.outliers.may_draw(candidates[drawn].worker, now, rng);
            if allowed && (Some(drawn) != excluded || candidates.len() == 1) {
                return Some(drawn);
            }
            drawn = rng.random_range(0..candidates.len());
        }
        Some(excluded.unwrap_or(drawn))
    }

    /// Expected duration of one more request, in multiples of the usual one; lower is better.
    fn score(&self, candidate: &Candidate<'_>, now: Millis) -> f64 {
        let stats = self.workers.get(candidate.worker);
        let slowness = stats.map_or(1.0, |stats| stats.slowness(now));
        let failure_rate = self.outliers.failure_rate(candidate.worker);
        let expected_attempts = 1.0 / (1.0 - failure_rate).max(0.01);
        (f64::from(candidate.outstanding) + 1.0) * slowness * expected_attempts
    }

    fn note_duration(&mut self, entry: &EntryName, took_ms: f64) {
        match self.usual_ms.get_mut(entry) {
            // An answer counts at most threefold, so that one slow worker can't raise the average
            // far.
            Some(usual_ms) => {
                *usual_ms += DURATION_SMOOTHING * (took_ms.min(*usual_ms * 3.0) - *usual_ms)
            }
            None => {
                self.usual_ms.insert(entry.clone(), took_ms);
            }
        }
    }
}

fn stats_of<'a>(
    workers: &'a mut IndexMap<WorkerId, WorkerStats>,
    worker: &WorkerId,
) -> &'a mut WorkerStats {
    if !workers.contains_key(worker) {
        workers.insert(
            worker.clone(),
            WorkerStats {
                slowness: 1.0,
                ..WorkerStats::default()
            },
        );
    }
    &mut workers[worker]
}

impl WorkerStats {
    fn note(&mut self, slowness_sample: f64, now: Millis) {
        let previous = self.decayed_slowness(now);
        self.slowness = previous + SLOWNESS_SMOOTHING * (slowness_sample - previous);
        self.answered_at = Some(now);
    }

    /// Recent slowness, decayed towards 1 by the time since the last answer.
    fn decayed_slowness(&self, now: Millis) -> f64 {
        let age = self.answered_at.map_or(Duration::ZERO, |at| now.since(at));
        let weight = 0.5_f64.powf(age.as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64());
        1.0 + (self.slowness - 1.0) * weight
    }

    /// The greater of the recent slowness and the relative age of the oldest outstanding request.
    fn slowness(&self, now: Millis) -> f64 {
        let oldest = self.sent.front().map_or(0.0, |(at, usual_ms)| {
            let age = now.since(*at).as_secs_f64() * 1e3;
            usual_ms.map_or(0.0, |usual_ms| age / usual_ms.max(MIN_DURATION_MS))
        });
        self.decayed_slowness(now)
            .max(oldest)
            .clamp(0.1, MAX_SLOWNESS)
    }
}
