//! Computes the headroom that new long-running tasks leave for short tasks of the same or a more
//! urgent priority.
//!
//! Load pattern: short tasks use a twentieth of a shard's processors for a second each, while
//! waiting long-running tasks ask for more than the rest. In every gap between two short tasks a
//! long-running one would take the free processors and keep them for minutes, until almost none are
//! left for short tasks. So a new long-running task is placed only if it leaves as many processors
//! as short tasks recently held or waited for. This headroom is bounded, so that a backlog of short
//! tasks doesn't block long-running ones.

use crate::core::time::{Millis, millis};
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};

/// Window over which the peak demand of short tasks is taken: gaps between short tasks are shorter.
const PEAK_WINDOW: Duration = Duration::from_secs(10);
/// Length of the slots for which a peak is kept.
const PEAK_SLOT: Duration = Duration::from_secs(1);
/// Maximum headroom, in thousandths of a pool's processors.
const MAX_HEADROOM_PERMILLE: u64 = 125;

/// Queues with the same pool and priority.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Class {
    /// Name of the pool.
    pub pool: String,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
}

/// Processor demand of the short tasks of one class, in thousandths of a core.
#[derive(Clone, Debug, Default)]
struct Demand {
    held: u64,
    waiting: u64,
    /// Slot number and highest sum of `held` and `waiting` in the slot, oldest first.
    peaks: VecDeque<(u64, u64)>,
}

/// Processor demand of short tasks, by class.
#[derive(Clone, Debug, Default)]
pub struct ShortWork {
    demands: IndexMap<Class, Demand>,
}

impl Demand {
    fn note(&mut self, now: Millis) {
        let slot_of = |at: Millis| at.0 / millis(PEAK_SLOT);
        let (slot, total) = (slot_of(now), self.held + self.waiting);
        match self.peaks.back_mut() {
            Some((last, peak)) if *last == slot => *peak = total.max(*peak),
            _ => self.peaks.push_back((slot, total)),
        }
        let window_slots = millis(PEAK_WINDOW) / millis(PEAK_SLOT);
        let is_old = |(at, _): &(u64, u64)| at + window_slots < slot;
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
    /// Adds a placed short task to the held processors.
    pub fn note_placed(&mut self, class: &Class, millicores: u64) {
        self.demands.entry(class.clone()).or_default().held += millicores;
    }

    /// Removes an ended short task from the held processors.
    pub fn note_ended(&mut self, class: &Class, millicores: u64) {
        if let Some(demand) = self.demands.get_mut(class) {
            demand.held = demand.held.saturating_sub(millicores);
        }
    }

    /// Replaces the demand of waiting short tasks, in thousandths of a core; classes that are
    /// absent have none.
    pub fn note_waiting(&mut self, waiting: &IndexMap<Class, u64>, now: Millis) {
        for class in waiting.keys() {
            self.demands.entry(class.clone()).or_default();
        }
        for (class, demand) in &mut self.demands {
            demand.waiting = waiting.get(class).copied().unwrap_or_default();
            demand.note(now);
        }
    }

    /// Returns the processors that short tasks of a pool hold, in thousandths of a core.
    pub fn held(&self, pool: &str) -> u64 {
        let in_pool = self.demands.iter().filter(|(class, _)| class.pool == pool);
        in_pool.map(|(_, demand)| demand.held).sum()
    }

    /// Returns the processors that long-running tasks of this class must leave for short ones in a
    /// pool of this capacity, both in thousandths of a core.
    pub fn headroom(&self, class: &Class, capacity_millicores: u64) -> u64 {
        let has_precedence =
            |short: &Class| short.pool == class.pool && short.priority <= class.priority;
        let demands = self
            .demands
            .iter()
            .filter(|(short, _)| has_precedence(short));
        let total: u64 = demands.map(|(_, demand)| demand.peak()).sum();
        total.min(capacity_millicores * MAX_HEADROOM_PERMILLE / 1_000)
    }
}
