//! Measures the short work that waits in a shard, and the rate at which it is placed.

use super::{Class, Waiting};
use crate::core::time::{Millis, millis};
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};

/// Window over which the rate of placement is measured: a few runs of short tasks.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Length of the slots into which the window is divided.
const RATE_SLOT: Duration = Duration::from_millis(200);

/// What waits in a shard and how fast it is placed.
#[derive(Clone, Debug, Default)]
pub struct WorkMeter {
    classes: IndexMap<Class, Measured>,
}

#[derive(Clone, Debug, Default)]
struct Measured {
    millicores: u64,
    oldest_ms: u64,
    /// Number of a slot and thousandths of a core placed in it, oldest first.
    placed: VecDeque<(u64, u64)>,
}

impl Measured {
    fn expire(&mut self, now: Millis) {
        let slots = millis(RATE_WINDOW) / millis(RATE_SLOT);
        let is_old = |(slot, _): &(u64, u64)| slot + slots <= slot_of(now);
        while self.placed.front().is_some_and(is_old) {
            self.placed.pop_front();
        }
    }

    fn placed_per_s(&self) -> u64 {
        let placed: u64 = self.placed.iter().map(|(_, millicores)| millicores).sum();
        placed * 1_000 / millis(RATE_WINDOW)
    }
}

fn slot_of(at: Millis) -> u64 {
    at.0 / millis(RATE_SLOT)
}

impl WorkMeter {
    /// Adds a placed task.
    pub fn note_placed(&mut self, class: &Class, millicores: u64, now: Millis) {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.clone(), Measured::default());
        }
        let measured = &mut self.classes[class];
        measured.expire(now);
        match measured.placed.back_mut() {
            Some((slot, placed)) if *slot == slot_of(now) => *placed += millicores,
            _ => measured.placed.push_back((slot_of(now), millicores)),
        }
    }

    /// Replaces what waits: thousandths of a core and age in milliseconds by class; an age counts
    /// only with work that waits.
    pub fn note_waiting(&mut self, waiting: impl Iterator<Item = (Class, u64, u64)>, now: Millis) {
        for measured in self.classes.values_mut() {
            (measured.millicores, measured.oldest_ms) = (0, 0);
            measured.expire(now);
        }
        for (class, millicores, age_ms) in waiting.filter(|(_, millicores, _)| *millicores > 0) {
            let measured = self.classes.entry(class).or_default();
            measured.millicores += millicores;
            measured.oldest_ms = measured.oldest_ms.max(age_ms);
        }
        self.classes
            .retain(|_, measured| measured.millicores > 0 || !measured.placed.is_empty());
    }

    /// What waits now, by class.
    pub fn waiting(&mut self, now: Millis) -> Vec<Waiting> {
        let measured = self.classes.iter_mut().map(|(class, measured)| {
            measured.expire(now);
            Waiting {
                class: class.clone(),
                millicores: measured.millicores,
                oldest_ms: measured.oldest_ms,
                placed_per_s: measured.placed_per_s(),
            }
        });
        measured.collect()
    }
}
