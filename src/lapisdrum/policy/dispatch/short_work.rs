//! How much room new long-running tasks leave to short ones of their priority or a more urgent one.
//!
//! Load pattern: short tasks hold a twentieth of a shard's processors for a second each, and long-running tasks that ask
//! for more than the rest wait beside them. In every lull between two short tasks a long-running one would
//! take what is free just then and hold it for minutes, until short ones find next to nothing. So a new long-running
//! task is placed only while it leaves what short ones took lately. That is bounded, since a backlog of short tasks
//! must not shut long-running ones out.

use crate::core::time::{Millis, millis};
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};

/// What short tasks took is remembered for this long: lulls between them are shorter.
const REMEMBERED: Duration = Duration::from_secs(10);
/// Peaks are kept by slots of this length.
const SLOT: Duration = Duration::from_secs(1);
/// Most of a pool's processors that is left to short tasks, in thousandths.
const MOST_LEFT_PERMILLE: u64 = 125;

/// Queues with one pool and priority.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Class {
    /// Their pool.
    pub pool: String,
    /// Their priority; 0 is the most urgent.
    pub priority: u32,
}

/// What the short tasks of one class take, in thousandths of a core.
#[derive(Clone, Debug, Default)]
struct Demand {
    held: u64,
    waiting: u64,
    /// The most that was held and waited for, by slot.
    peaks: VecDeque<(u64, u64)>,
}

/// What short tasks take, by class.
#[derive(Clone, Debug, Default)]
pub struct ShortWork {
    demands: IndexMap<Class, Demand>,
}

impl Demand {
    fn note(&mut self, now: Millis) {
        let slot_of = |at: Millis| at.0 / millis(SLOT);
        let (slot, taken) = (slot_of(now), self.held + self.waiting);
        match self.peaks.back_mut() {
            Some((last, peak)) if *last == slot => *peak = taken.max(*peak),
            _ => self.peaks.push_back((slot, taken)),
        }
        let remembered = millis(REMEMBERED) / millis(SLOT);
        let is_old = |(at, _): &(u64, u64)| at + remembered < slot;
        while self.peaks.front().is_some_and(is_old) {
            self.peaks.pop_front();
        }
    }

    fn peak(&self) -> u64 {
        let peaks = self.peaks.iter().map(|(_, peak)| *peak);
        peaks.max().unwrap_or_default()
    }
}

impl ShortWork {
    /// A short task was placed.
    pub fn placed(&mut self, class: &Class, millicores: u64) {
        self.demands.entry(class.clone()).or_default().held += millicores;
    }

    /// A short task is over.
    pub fn over(&mut self, class: &Class, millicores: u64) {
        if let Some(demand) = self.demands.get_mut(class) {
            demand.held = demand.held.saturating_sub(millicores);
        }
    }

    /// Notes what short tasks wait for now, by class; what isn't named waits for nothing.
    pub fn note_waiting(&mut self, waiting: &IndexMap<Class, u64>, now: Millis) {
        for class in waiting.keys() {
            self.demands.entry(class.clone()).or_default();
        }
        for (class, demand) in &mut self.demands {
            demand.waiting = waiting.get(class).copied().unwrap_or_default();
            demand.note(now);
        }
    }

    /// What short tasks of a pool hold now, in thousandths of a core.
    pub fn held(&self, pool: &str) -> u64 {
        let of_pool = self.demands.iter().filter(|(class, _)| class.pool == pool);
        of_pool.map(|(_, demand)| demand.held).sum()
    }

    /// What a long-running task of this class leaves to short ones, of a pool with this capacity, both in
    /// thousandths of a core.
    pub fn headroom(&self, class: &Class, capacity_millicores: u64) -> u64 {
        let goes_first =
            |short: &Class| short.pool == class.pool && short.priority <= class.priority;
        let demands = self.demands.iter().filter(|(short, _)| goes_first(short));
        let taken: u64 = demands.map(|(_, demand)| demand.peak()).sum();
        taken.min(capacity_millicores * MOST_LEFT_PERMILLE / 1_000)
    }
}
