//! Drain rate of a queue, and the Retry-After time of refused callers.
//!
//! Load pattern: overload for minutes, with callers that retry. With a fixed Retry-After the
//! callers of one burst are refused together and return together, and the burst repeats for as long
//! as they retry. Here each refused caller gets its own time to return, one drain interval after
//! the one of the refusal before it, plus a random part. Callers then return at about the rate at
//! which they can be served. (Drawing the times from a window that grows with the refusals puts
//! three times as many callers at its start as can be served.)
//!
//! The rate is averaged over a few seconds ([`HALF_LIFE`]): long compared with one request
//! (milliseconds to a second), short compared with a change of load that operators would notice.
//! [`MAX_RETRY_AFTER`] keeps callers from waiting longer than most overloads last.

use crate::core::time::{Millis, millis};
use rand::Rng;
use std::time::Duration;

/// Age at which a measurement counts half in the drain rate.
pub const HALF_LIFE: Duration = Duration::from_secs(2);
/// Shortest Retry-After time: callers that return sooner only add load to a queue that is still
/// full.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest Retry-After time before the random part, which adds at most a quarter of it.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Drain rate assumed while none is measured, in items per second.
const DEFAULT_RATE_PER_S: f64 = 10.0;
/// Lowest drain rate that Retry-After times are based on, in items per second.
const MIN_RATE_PER_S: f64 = 0.1;
/// Largest random part of a Retry-After time, relative to the shortest wait at present, so that
/// callers refused by several daemons do not return in step.
const JITTER: f64 = 0.5;
/// Least busy time that a drain rate is computed from, in milliseconds.
const MIN_BUSY_MS: f64 = 20.0;

/// Rate at which items leave a queue while it is not empty.
///
/// Idle time does not count: a queue that is empty most of the time is not slow.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    items: f64,
    busy_ms: f64,
    /// Time up to which `items` and `busy_ms` are updated; `None` while the queue is empty.
    busy_until: Option<Millis>,
}

impl DrainRate {
    /// Records that items wait from `now` on.
    pub fn note_busy(&mut self, now: Millis) {
        self.busy_until.get_or_insert(now);
    }

    /// Records that the queue is empty.
    pub fn note_idle(&mut self, now: Millis) {
        self.advance(now);
        self.busy_until = None;
    }

    /// Records that an item that had to wait has left the queue to run.
    pub fn note(&mut self, now: Millis) {
        self.note_amount(1.0, now);
    }

    /// Like [`Self::note`], for this many items, or for work in a unit of the caller's choice.
    pub fn note_amount(&mut self, items: f64, now: Millis) {
        self.advance(now);
        self.items += items;
    }

    /// Time in which items waited that the rate is computed from, with the weight of each
    /// measurement; at most [`HALF_LIFE`] / ln 2.
    pub fn measured_for(&self, now: Millis) -> Duration {
        let mut present = self.clone();
        present.advance(now);
        Duration::from_secs_f64(present.busy_ms / 1_000.0)
    }

    /// Items per second; `None` before enough was measured.
    pub fn per_second(&self, now: Millis) -> Option<f64> {
        let mut present = self.clone();
        present.advance(now);
        let measured = present.busy_ms >= MIN_BUSY_MS && present.items > 0.0;
        measured.then(|| present.items * 1_000.0 / present.busy_ms)
    }

    /// Time in which `items` leave the queue; `None` before enough was measured.
    pub fn time_for(&self, items: f64, now: Millis) -> Option<Duration> {
        let per_second = self.per_second(now)?;
        Some(Duration::from_secs_f64(
            (items / per_second).min(MAX_RETRY_AFTER.as_secs_f64() * 100.0),
        ))
    }

    fn advance(&mut self, now: Millis) {
        let Some(until) = self.busy_until else {
            return;
        };
        let span = now.since(until);
        let decay = 0.5_f64.powf(span.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.items *= decay;
        self.busy_ms = self.busy_ms * decay + millis(span) as f64;
        self.busy_until = Some(until.max(now));
    }
}

/// Spreads the Retry-After times of refused callers.
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule {
    /// Latest return time assigned so far, in microseconds since several callers can be served
    /// within one millisecond.
    last_return_us: f64,
}

impl RetrySchedule {
    /// Retry-After time of a caller that is refused at `now`: not before the present queue has
    /// drained, and one drain interval after the caller refused before it. `wait` is the time to
    /// drain the queue, of which at most half of [`MAX_RETRY_AFTER`] counts; `rate` is in items per
    /// second.
    pub fn next_retry_after(
        &mut self,
        wait: Duration,
        rate: Option<f64>,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Duration {
        let min_wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER / 2);
        let from_us = to_us(now + min_wait);
        let latest_us = to_us(now + MAX_RETRY_AFTER);
        let interval_us = 1e6 / rate.unwrap_or(DEFAULT_RATE_PER_S).max(MIN_RATE_PER_S);
        self.last_return_us = self.last_return_us.max(from_us) + interval_us;
        if self.last_return_us > latest_us {
            // More callers are to return than can be served within the longest time: spread them
            // evenly from `min_wait` to the longest time.
            self.last_return_us = latest_us;
            return min_wait + (MAX_RETRY_AFTER - min_wait).mul_f64(rng.random_range(0.0..=1.0));
        }
        let delay = Duration::from_secs_f64((self.last_return_us - to_us(now)) / 1e6);
        delay + min_wait.mul_f64(JITTER * rng.random_range(0.0..=1.0))
    }
}

fn to_us(at: Millis) -> f64 {
    at.0 as f64 * 1e3
}
