//! Whether a request is let in: limits of its entry, divided over the daemons that admit.
//!
//! Load pattern: a burst or a retry storm on one entry. Without a limit at the door the burst takes
//! every slot and every other entry's callers wait behind it.

use crate::core::{catalogue::Entry, id::EntryName};
use indexmap::IndexMap;

/// Requests of each entry that this daemon has let in and not yet answered.
#[derive(Debug, Default)]
pub struct Admission {
    running: IndexMap<EntryName, u32>,
}

impl Admission {
    /// Lets a request in when this daemon's share of the entry's concurrency has room; the share is
    /// the limit divided by the number of daemons, rounded down but at least one in total.
    pub fn try_admit(&mut self, entry: &Entry, daemons: u32) -> bool {
        let share = entry.limits.concurrency / daemons.max(1);
        let running = self.running.entry(entry.name.clone()).or_default();
        if *running >= share {
            return false;
        }
        *running += 1;
        true
    }

    /// Notes that an admitted request was answered.
    pub fn finish(&mut self, entry: &EntryName) {
        if let Some(running) = self.running.get_mut(entry) {
            *running = running.saturating_sub(1);
        }
    }
}
