//! Which worker a request goes to: the better of two drawn at random, by outstanding work and recent
//! latency.
//!
//! Load pattern: many daemons route at once from figures that are a little old, to workers of which
//! one may be slow, hang or fail. Without the random draw all of them pick the same least loaded
//! worker and bury it; two choices spread almost as well as perfect knowledge. Without the latency a
//! slow worker gets as many requests as a fast one until its slots are full, and its callers wait.
//!
//! The score is the work that a request would find before it, times how slow the worker is: its
//! requests' times relative to what their entries usually take. A request that has been outstanding
//! for long counts as an answer of that age, so a worker that hangs is avoided before its first
//! timeout. What is known of a worker loses half its weight in [`FORGET`] without news, so that one
//! that has mended is tried again.

use super::outliers::{Outliers, Sample};
use crate::core::{
    id::{EntryName, WorkerId},
    time::Millis,
};
use indexmap::IndexMap;
use rand::Rng;
use std::{collections::VecDeque, time::Duration};

/// Time without news after which half of what is known of a worker's latency is forgotten.
pub const FORGET: Duration = Duration::from_secs(10);
/// Weight of the newest answer in an entry's usual time.
const NEWEST: f64 = 0.05;
/// Weight of the newest answer in a worker's recent slowness: the last few answers.
const NEWEST_OF_WORKER: f64 = 0.3;
/// Slowness beyond which it makes no difference.
const MOST_SLOW: f64 = 100.0;
/// Scores closer than this, relative to the better one, are alike: a difference that small is noise,
/// and a worker that is behind by it must not lose every comparison.
const ALIKE: f64 = 1.1;
/// Least run time that is reckoned with, in milliseconds: the clock counts whole ones.
const LEAST_MS: f64 = 0.5;
/// Draws in which a worker that may not be drawn is passed over before any is taken.
const DRAWS: usize = 8;

/// A worker that has room for the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The worker.
    pub worker: &'a WorkerId,
    /// Requests that this daemon has outstanding there.
    pub outstanding: u32,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The worker answered.
    Answered,
    /// The worker is full and ran nothing: no fault of its own.
    Full,
    /// The worker failed, or did not answer in time.
    Failed,
    /// The caller went away; says nothing of the worker.
    Abandoned,
}

#[derive(Debug, Default)]
struct Record {
    slowness: f64,
    heard_at: Option<Millis>,
    /// When each outstanding request was sent, the oldest first, and its entry's usual time.
    sent: VecDeque<(Millis, Option<f64>)>,
}

/// What this daemon has seen of its workers' answers.
#[derive(Debug, Default)]
pub struct Routing {
    records: IndexMap<WorkerId, Record>,
    usual: IndexMap<EntryName, f64>,
    outliers: Outliers,
}

impl Routing {
    /// Picks a worker; none when there is no candidate. Where every draw falls on a worker that is
    /// set aside, one of those is taken: somebody must serve.
    pub fn choose(
        &self,
        candidates: &[Candidate<'_>],
        now: Millis,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let first = self.draw(candidates, None, now, rng)?;
        let second = self.draw(candidates, Some(first), now, rng)?;
        let (a, b) = (candidates[first], candidates[second]);
        Some(if self.score(&a, now) <= ALIKE * self.score(&b, now) {
            first
        } else {
            second
        })
    }

    /// Notes that a request was sent.
    pub fn sent(&mut self, worker: &WorkerId, entry: &EntryName, now: Millis) {
        let usual = self.usual.get(entry).copied();
        let record = record_of(&mut self.records, worker);
        record.sent.push_back((now, usual));
    }

    /// Notes how a request that was sent at `sent_at` ended, in a pool of `pool` workers. Returns
    /// whether the worker is set aside by it.
    pub fn ended(
        &mut self,
        worker: &WorkerId,
        entry: &EntryName,
        sent_at: Millis,
        end: End,
        pool: usize,
        now: Millis,
    ) -> bool {
        let took = (now.since(sent_at).as_secs_f64() * 1e3).max(LEAST_MS);
        // The first answer of an entry says nothing of the worker: there is nothing to compare with.
        let usual = self.usual.get(entry).copied().unwrap_or(took);
        let record = record_of(&mut self.records, worker);
        if let Some(at) = record.sent.iter().position(|(at, _)| *at == sent_at) {
            record.sent.remove(at);
        }
        match end {
            End::Answered => {
                let ratio = (took / usual).min(MOST_SLOW);
                record.note(ratio, now);
                self.note_usual(entry, took);
                self.outliers
                    .note(worker, Sample::Answered(ratio), pool, now)
            }
            End::Failed => self.outliers.note(worker, Sample::Failed, pool, now),
            End::Full | End::Abandoned => false,
        }
    }

    /// The time that a request of an entry usually takes; none before the first answer.
    pub fn usual_run(&self, entry: &EntryName) -> Option<Duration> {
        let usual = self.usual.get(entry)?;
        Some(Duration::from_secs_f64(usual / 1e3))
    }

    /// Who is set aside.
    pub fn outliers(&self) -> &Outliers {
        &self.outliers
    }

    /// Forgets workers that are gone.
    pub fn retain(&mut self, is_there: impl Fn(&WorkerId) -> bool) {
        self.records.retain(|worker, _| is_there(worker));
        self.outliers.retain(is_there);
    }

    fn draw(
        &self,
        candidates: &[Candidate<'_>],
        other_than: Option<usize>,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let mut last = rng.random_range(0..candidates.len());
        for _ in 0..DRAWS {
            let allowed = self.outliers.may_draw(candidates[last].worker, now, rng);
            if allowed && (Some(last) != other_than || candidates.len() == 1) {
                return Some(last);
            }
            last = rng.random_range(0..candidates.len());
        }
        Some(other_than.unwrap_or(last))
    }

    /// Work that a request would find before it, in units of an entry's usual time.
    fn score(&self, candidate: &Candidate<'_>, now: Millis) -> f64 {
        let record = self.records.get(candidate.worker);
        let slowness = record.map_or(1.0, |record| record.slowness(now));
        let failing = self.outliers.failing(candidate.worker);
        let tries = 1.0 / (1.0 - failing).max(0.01);
        (f64::from(candidate.outstanding) + 1.0) * slowness * tries
    }

    fn note_usual(&mut self, entry: &EntryName, took: f64) {
        match self.usual.get_mut(entry) {
            // One slow worker must not become the usual time: a far greater answer counts as thrice.
            Some(usual) => *usual += NEWEST * (took.min(*usual * 3.0) - *usual),
            None => {
                self.usual.insert(entry.clone(), took);
            }
        }
    }
}

fn record_of<'a>(records: &'a mut IndexMap<WorkerId, Record>, worker: &WorkerId) -> &'a mut Record {
    if !records.contains_key(worker) {
        records.insert(
            worker.clone(),
            Record {
                slowness: 1.0,
                ..Record::default()
            },
        );
    }
    &mut records[worker]
}

impl Record {
    fn note(&mut self, ratio: f64, now: Millis) {
        let known = self.remembered(now);
        self.slowness = known + NEWEST_OF_WORKER * (ratio - known);
        self.heard_at = Some(now);
    }

    /// Recent slowness, brought back towards 1 by its age.
    fn remembered(&self, now: Millis) -> f64 {
        let age = self.heard_at.map_or(Duration::ZERO, |at| now.since(at));
        let kept = 0.5_f64.powf(age.as_secs_f64() / FORGET.as_secs_f64());
        1.0 + (self.slowness - 1.0) * kept
    }

    /// The greater of the recent slowness and the age of the oldest outstanding request.
    fn slowness(&self, now: Millis) -> f64 {
        let oldest = self.sent.front().map_or(0.0, |(at, usual)| {
            let age = now.since(*at).as_secs_f64() * 1e3;
            usual.map_or(0.0, |usual| age / usual.max(LEAST_MS))
        });
        self.remembered(now).max(oldest).clamp(0.1, MOST_SLOW)
    }
}
