//! How fast a queue empties, and when a refused caller should come back.
//!
//! Load pattern: overload for minutes, with callers who retry. With a fixed Retry-After the callers
//! of one burst are refused together and come back together, and the burst repeats for as long as
//! they ask. Here every refusal books a place in the line of those who will return, one drain interval
//! behind the refusal before it, and a random part is added. Returns then arrive at about the rate at
//! which they can be served. (Drawing from a window that grows with the bookings was tried first: the
//! early ones crowd into its beginning, three times what can be served.)
//!
//! Grounds for the figures: the rate is averaged over a few seconds ([`HALF_LIFE`]), long against
//! one request (milliseconds to a second) and short against a change of load that operators would
//! notice. [`LONGEST_RETURN`] keeps a caller from staying away for longer than most overloads last.

use crate::core::time::{Millis, millis};
use rand::Rng;
use std::time::Duration;

/// Time after which a measured interval counts half.
pub const HALF_LIFE: Duration = Duration::from_secs(2);
/// Least time to come back: less would only add to the load of a queue that is full at present.
pub const SHORTEST_RETURN: Duration = Duration::from_millis(200);
/// Most time to come back.
pub const LONGEST_RETURN: Duration = Duration::from_secs(30);
/// Rate that is assumed before anything was measured, in items a second.
const ASSUMED_PER_S: f64 = 10.0;
/// Least rate that returns are booked at, in items a second.
const LEAST_PER_S: f64 = 0.1;
/// Random part that is added to a place, relative to the least wait, so that callers of several
/// daemons don't keep step.
const SPREAD: f64 = 0.5;
/// Least busy time, in milliseconds, from which a rate is believed.
const LEAST_BUSY_MS: f64 = 20.0;

/// The rate at which items leave a queue while there are items in it.
///
/// Idle time does not count: a queue that is empty most of the time is not slow.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    items: f64,
    busy_ms: f64,
    /// Until when `items` and `busy_ms` are accounted for; none while the queue is empty.
    busy_until: Option<Millis>,
}

impl DrainRate {
    /// Notes that items are waiting from `now` on.
    pub fn busy(&mut self, now: Millis) {
        self.busy_until.get_or_insert(now);
    }

    /// Notes that nothing waits any more.
    pub fn idle(&mut self, now: Millis) {
        self.advance(now);
        self.busy_until = None;
    }

    /// Notes that an item that had to wait has left the queue to be run.
    pub fn note(&mut self, now: Millis) {
        self.advance(now);
        self.items += 1.0;
    }

    /// Items a second; none before enough was measured.
    pub fn per_second(&self, now: Millis) -> Option<f64> {
        let mut present = self.clone();
        present.advance(now);
        let measured = present.busy_ms >= LEAST_BUSY_MS && present.items > 0.0;
        measured.then(|| present.items * 1_000.0 / present.busy_ms)
    }

    /// Time in which `items` leave; none before enough was measured.
    pub fn time_for(&self, items: f64, now: Millis) -> Option<Duration> {
        let per_second = self.per_second(now)?;
        Some(Duration::from_secs_f64(
            (items / per_second).min(LONGEST_RETURN.as_secs_f64() * 100.0),
        ))
    }

    fn advance(&mut self, now: Millis) {
        let Some(until) = self.busy_until else {
            return;
        };
        let span = now.since(until);
        let kept = 0.5_f64.powf(span.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.items *= kept;
        self.busy_ms = self.busy_ms * kept + millis(span) as f64;
        self.busy_until = Some(until.max(now));
    }
}

/// Spreads the returns of refused callers over time.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    /// Until when returns are booked, in microseconds: many can be served within a millisecond.
    booked_us: f64,
}

impl Returns {
    /// When a caller that is refused now should come back: after `wait`, the time in which what
    /// waits at present is drained, and at the place booked for it behind the refusals before it.
    pub fn book(
        &mut self,
        wait: Duration,
        rate: Option<f64>,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Duration {
        let least = wait.clamp(SHORTEST_RETURN, LONGEST_RETURN / 2);
        let from_us = to_us(now + least);
        let latest_us = to_us(now + LONGEST_RETURN);
        let interval_us = 1e6 / rate.unwrap_or(ASSUMED_PER_S).max(LEAST_PER_S);
        self.booked_us = self.booked_us.max(from_us) + interval_us;
        if self.booked_us > latest_us {
            // More are away than can be served within the longest time: all of it is as good.
            self.booked_us = latest_us;
            return least + (LONGEST_RETURN - least).mul_f64(rng.random_range(0.0..=1.0));
        }
        let place = Duration::from_secs_f64((self.booked_us - to_us(now)) / 1e6);
        place + least.mul_f64(SPREAD * rng.random_range(0.0..=1.0))
    }
}

fn to_us(at: Millis) -> f64 {
    at.0 as f64 * 1e3
}
