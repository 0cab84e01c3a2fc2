//! Which worker a task goes to: it must fit, and the tightest fit is taken.
//!
//! Load pattern: small batch tasks beside a few large ones. Without best fit the small tasks are
//! spread thin over all hosts and no host has room for a large one.

use crate::core::{id::WorkerId, size::Size};

/// A host that may take a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Room {
    /// The worker.
    pub worker: WorkerId,
    /// What is free on it.
    pub free: Size,
}

/// Picks the host on which least is left over, or none when the task fits nowhere.
pub fn choose<'a>(rooms: &'a [Room], size: &Size) -> Option<&'a Room> {
    let fitting = rooms.iter().filter(|room| size.fits(&room.free));
    fitting.min_by_key(|room| (room.free.millicores, room.free.memory_mb))
}
