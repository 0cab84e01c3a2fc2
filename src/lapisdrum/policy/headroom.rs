//! Slots that long runs must leave to shorter ones.
//!
//! Load pattern: long requests among short ones. A slot can't be taken back from a run, so a queue
//! that gives every free slot to whoever waits lets long runs fill the pool in the moments when no
//! short request waits; the short ones that come next wait for as long as a long run takes, however
//! fair the order. Fair shares of run time do not help: they hold on average, over seconds.
//!
//! A long run therefore starts only while the slots that shorter entries ([`SHORTER`]) are about to
//! need stay free: their mean demand over the last seconds, plus [`MARGIN`] deviations of the random
//! arrivals that make it up. An entry always gets [`LEAST_PART`] of its fair share, so none is
//! starved by shorter ones. What it costs is throughput of the long entry at full load, since some of
//! the slots kept free are idle; entries that run alike cost each other nothing.

use crate::core::{id::EntryName, time::Millis};
use indexmap::IndexMap;
use std::time::Duration;

/// An entry is shorter than another when its runs take less than one part in so many. Below that, a
/// slot comes back soon enough by itself.
pub const SHORTER: u32 = 4;
/// Deviations of a Poisson demand that are kept free beside its mean: two are exceeded one time in 40.
pub const MARGIN: f64 = 2.0;
/// Part of its fair share that an entry gets at least.
pub const LEAST_PART: f64 = 0.5;
/// Time in which the mean demand forgets half: a few long runs.
pub const HALF_LIFE: Duration = Duration::from_secs(5);
/// Demand below which an entry is forgotten.
const NOTHING: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct Demand {
    running: u32,
    waiting: u32,
    run: Duration,
    weight: u32,
    mean: f64,
    counted_at: Millis,
}

/// Demand for slots by entry, as this daemon sees it.
#[derive(Debug, Default)]
pub struct Headroom {
    entries: IndexMap<EntryName, Demand>,
}

impl Headroom {
    /// Takes what an entry needs at present: whenever one of its requests begins to wait, starts or
    /// ends. `run` is the time that its runs usually take.
    pub fn note(
        &mut self,
        entry: &EntryName,
        running: u32,
        waiting: u32,
        run: Duration,
        weight: u32,
        now: Millis,
    ) {
        let fresh = Demand {
            running,
            waiting,
            run,
            weight: weight.max(1),
            mean: f64::from(running) + f64::from(waiting),
            counted_at: now,
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

    /// Whether one more run of an entry leaves the shorter ones what they are about to need, of the
    /// `slots` that this daemon has.
    pub fn may_start(&self, entry: &EntryName, slots: u32, now: Millis) -> bool {
        let Some(own) = self.entries.get(entry) else {
            return true;
        };
        if f64::from(own.running) < self.least(own, slots, now) {
            return true;
        }
        let (mut kept, mut others) = (0.0, own.running);
        for (name, demand) in &self.entries {
            if demand.run * SHORTER <= own.run {
                kept += demand.needs(now);
            } else if name != entry {
                others += demand.running;
            }
        }
        f64::from(others) + kept < f64::from(slots)
    }

    /// Forgets entries that need nothing any more.
    pub fn forget_idle(&mut self, now: Millis) {
        self.entries.retain(|_, demand| {
            demand.running + demand.waiting > 0 || demand.mean_at(now) > NOTHING
        });
    }

    /// Slots that an entry gets whatever the shorter ones need.
    fn least(&self, own: &Demand, slots: u32, now: Millis) -> f64 {
        let active = self
            .entries
            .values()
            .filter(|demand| demand.mean_at(now) > NOTHING);
        let weights: u32 = active.map(|demand| demand.weight).sum();
        let part = f64::from(own.weight) / f64::from(weights.max(own.weight));
        (f64::from(slots) * part * LEAST_PART).max(1.0)
    }
}

impl Demand {
    fn mean_at(&self, now: Millis) -> f64 {
        let age = now.since(self.counted_at).as_secs_f64();
        let kept = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        let present = f64::from(self.running) + f64::from(self.waiting);
        present + (self.mean - present) * kept
    }

    fn needs(&self, now: Millis) -> f64 {
        let mean = self.mean_at(now);
        mean + MARGIN * mean.sqrt()
    }
}
