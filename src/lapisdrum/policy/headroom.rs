//! Slots that entries with long runs must leave free for entries with shorter runs.
//!
//! Load pattern: long requests among short ones. Runs are not preempted, so a queue that gives
//! every free slot to the next waiting request lets long runs fill the pool whenever no short
//! request is waiting; short requests that arrive next wait for as long as a long run takes,
//! whatever the queue order. Fair shares of run time do not help: they hold on average, over
//! seconds.
//!
//! A long run therefore starts only while the slots that shorter entries ([`SHORT_RUN_RATIO`]) are
//! expected to need stay free: their mean demand over the last seconds, plus [`MARGIN_STD_DEVS`]
//! standard deviations of their random arrivals. An entry always gets [`MIN_SHARE_FRACTION`] of its
//! fair share, so shorter entries cannot starve it. The cost is throughput of the long entry at
//! full load, since some of the reserved slots are idle; entries with similar run times cost each
//! other nothing.

use crate::core::{id::EntryName, time::Millis};
use indexmap::IndexMap;
use std::time::Duration;

/// An entry is shorter than another when the other's runs take at least this many times as long.
/// With a smaller ratio, slots become free soon enough without a reserve.
pub const SHORT_RUN_RATIO: u32 = 4;
/// Standard deviations of a Poisson demand that are reserved on top of its mean. The mean is
/// already an overestimate, since it rises faster than it falls; two deviations cost the long entry
/// a fifth of its throughput without benefit.
pub const MARGIN_STD_DEVS: f64 = 1.0;
/// Fraction of its fair share of the slots that an entry always gets.
pub const MIN_SHARE_FRACTION: f64 = 0.5;
/// Half-life of the mean demand when it falls: a few long runs.
pub const FALLING_HALF_LIFE: Duration = Duration::from_secs(5);
/// Half-life of the mean demand when it rises. Shorter, because a slot given to a long run too
/// early is occupied for the whole run, while a slot reserved too long is idle only briefly; still
/// long enough to average many short runs.
const RISING_HALF_LIFE: Duration = Duration::from_millis(500);
/// Mean demand, in slots, below which an entry counts as idle.
const IDLE_DEMAND: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct Demand {
    running: u32,
    waiting: u32,
    run_time: Duration,
    weight: u32,
    mean: f64,
    updated_at: Millis,
}

/// Demand for slots on this daemon, by entry.
#[derive(Debug, Default)]
pub struct Headroom {
    entries: IndexMap<EntryName, Demand>,
}

impl Headroom {
    /// Records the current demand of an entry. Called whenever one of its requests starts to wait,
    /// starts, ends or is abandoned. `run_time` is the usual run time; zero while it is unknown.
    pub fn note(
        &mut self,
        entry: &EntryName,
        running: u32,
        waiting: u32,
        run_time: Duration,
        weight: u32,
        now: Millis,
    ) {
        let fresh = Demand {
            running,
            waiting,
            run_time,
            weight: weight.max(1),
            mean: f64::from(running) + f64::from(waiting),
            updated_at: now,
        };
        match self.entries.get_mut(entry) {
            Some(demand) => {
                let mean = demand.mean_at(now);
                *demand = Demand { mean, ..fresh };
            }
            None => {
                self.entries.insert(entry.clone(), fresh);
            }
        }
    }

    /// Whether one more run of an entry leaves shorter entries the slots that they are expected to
    /// need, of the `slots` of this daemon.
    pub fn may_start(&self, entry: &EntryName, slots: u32, now: Millis) -> bool {
        let Some(own) = self.entries.get(entry) else {
            return true;
        };
        if f64::from(own.running) < self.guaranteed_slots(own, slots, now) {
            return true;
        }
        let (mut reserved, mut others) = (0.0, own.running);
        for (name, demand) in &self.entries {
            if demand.is_shorter_than(own) {
                reserved += demand.reserved_slots(now);
            } else if name != entry {
                others += demand.running;
            }
        }
        f64::from(others) + reserved < f64::from(slots)
    }

    /// Removes entries without current or recent demand.
    pub fn forget_idle(&mut self, now: Millis) {
        self.entries.retain(|_, demand| {
            demand.running + demand.waiting > 0 || demand.mean_at(now) > IDLE_DEMAND
        });
    }

    /// Slots that an entry always gets, whatever shorter entries need; at least one.
    fn guaranteed_slots(&self, own: &Demand, slots: u32, now: Millis) -> f64 {
        let active = self
            .entries
            .values()
            .filter(|demand| demand.mean_at(now) > IDLE_DEMAND);
        let weights: u32 = active.map(|demand| demand.weight).sum();
        let share = f64::from(own.weight) / f64::from(weights.max(own.weight));
        (f64::from(slots) * share * MIN_SHARE_FRACTION).max(1.0)
    }
}

impl Demand {
    /// An entry of unknown run time counts as long, so that its first runs cannot fill the pool
    /// before their run time is known.
    fn is_shorter_than(&self, other: &Self) -> bool {
        let known = !self.run_time.is_zero();
        known && (other.run_time.is_zero() || self.run_time * SHORT_RUN_RATIO <= other.run_time)
    }

    fn mean_at(&self, now: Millis) -> f64 {
        let present = f64::from(self.running) + f64::from(self.waiting);
        let half_life = if present > self.mean {
            RISING_HALF_LIFE
        } else {
            FALLING_HALF_LIFE
        };
        let age = now.since(self.updated_at).as_secs_f64();
        let decay = (-age / half_life.as_secs_f64()).exp2();
        present + (self.mean - present) * decay
    }

    fn reserved_slots(&self, now: Millis) -> f64 {
        let mean = self.mean_at(now);
        mean + MARGIN_STD_DEVS * mean.sqrt()
    }
}
