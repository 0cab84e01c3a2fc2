//! Which worker a task goes to.
//!
//! Load patterns: small batch tasks beside a few large ones; noisy tasks beside services; racks that
//! fail whole. Without best fit the small tasks are spread thin over all hosts and no host has room
//! for a large one; without interference the noisy task is put beside the service; without the
//! spread one switch takes all of an entry's tasks.
//!
//! A task goes only where its declared size fits. Of the hosts that fit, [`SAMPLE`] are drawn and
//! the one with the least cost is taken: what the task suffers and does there by the learned
//! interference ([`super::interference`]), weighed by class, plus what is left over, plus the tasks
//! of the same entry in the same rack. A sample keeps the decision short however many workers there
//! are: of 24 draws the best is within the best tenth of all hosts in 92 of 100 decisions
//! (1 - 0.9^24).

use super::interference::{Interference, Kind, Neighbour};
use crate::core::{
    catalogue::Class,
    id::{Rack, WorkerId},
    size::Size,
    time::Millis,
};
use rand::Rng;

/// Hosts that fit of which the costs are compared.
pub const SAMPLE: usize = 24;
/// Weight of a slowdown of latency-critical work against one of batch work.
const CRITICAL_WEIGHT: f64 = 10.0;
/// Cost of a whole host left over beyond the task: best fit decides between hosts that disturb alike.
const LEFT_OVER: f64 = 0.2;
/// Cost of each task of the same entry in the same rack, relative to all of that entry's.
const SAME_RACK: f64 = 0.3;

/// Something that runs on a host, as placement weighs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resident {
    /// Its kind and how many of it.
    pub neighbour: Neighbour,
    /// Its class.
    pub class: Class,
}

/// A host that may take a task: live, not leaving, claimed, not set aside.
#[derive(Clone, Copy, Debug)]
pub struct Room<'a> {
    /// The worker.
    pub worker: &'a WorkerId,
    /// Its rack.
    pub rack: &'a Rack,
    /// All that it has.
    pub capacity: Size,
    /// What is free on it.
    pub free: Size,
    /// Tasks and latency-critical requests that run there, one a kind.
    pub residents: &'a [Resident],
    /// Tasks of the wanted entry in this host's rack.
    pub same_in_rack: u32,
}

/// A task that needs a place.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// Its kind.
    pub kind: Kind,
    /// Its class.
    pub class: Class,
    /// Its declared size.
    pub size: Size,
    /// Tasks of the same entry that are placed in all racks.
    pub same_placed: u32,
}

/// Picks a host; none when the task fits nowhere.
pub fn choose(
    rooms: &[Room<'_>],
    wanted: &Wanted,
    interference: &Interference,
    now: Millis,
    rng: &mut impl Rng,
) -> Option<usize> {
    let sample = sample_fitting(rooms, &wanted.size, rng);
    let costs = sample
        .into_iter()
        .map(|index| (cost(&rooms[index], wanted, interference, now), index));
    costs
        .min_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, index)| index)
}

/// Up to [`SAMPLE`] hosts that fit, from a random point on, so that all are drawn alike.
fn sample_fitting(rooms: &[Room<'_>], size: &Size, rng: &mut impl Rng) -> Vec<usize> {
    let mut fitting: Vec<usize> = Vec::new();
    let mut seen = 0;
    for (index, room) in rooms.iter().enumerate() {
        if !size.fits(&room.free) {
            continue;
        }
        seen += 1;
        if fitting.len() < SAMPLE {
            fitting.push(index);
            continue;
        }
        // Reservoir sampling: each fitting host is in the sample with the same probability.
        let at = rng.random_range(0..seen);
        if at < SAMPLE {
            fitting[at] = index;
        }
    }
    fitting
}

/// Cost of a task on a host; lower is better.
pub fn cost(room: &Room<'_>, wanted: &Wanted, interference: &Interference, now: Millis) -> f64 {
    let harm = harm(room.residents, wanted, interference, now);
    let left = left_over(&room.free.minus(&wanted.size), &room.capacity);
    let crowd = match wanted.same_placed {
        0 => 0.0,
        placed => f64::from(room.same_in_rack) / f64::from(placed),
    };
    harm + LEFT_OVER * left + SAME_RACK * crowd
}

/// Slowdown that the task would suffer and cause, weighed by class.
fn harm(residents: &[Resident], wanted: &Wanted, interference: &Interference, now: Millis) -> f64 {
    let each = residents.iter().map(|resident| {
        let count = f64::from(resident.neighbour.count);
        let kind = resident.neighbour.kind;
        let caused = interference.added(kind, wanted.kind, now) * weight(resident.class);
        let suffered = interference.added(wanted.kind, kind, now) * weight(wanted.class);
        count * (caused + suffered)
    });
    each.sum()
}

fn weight(class: Class) -> f64 {
    match class {
        Class::LatencyCritical => CRITICAL_WEIGHT,
        Class::LongRunning => CRITICAL_WEIGHT / 2.0,
        Class::Batch => 1.0,
    }
}

/// The part of a host that is left over, in its scarcest dimension, 0 to 1.
fn left_over(left: &Size, capacity: &Size) -> f64 {
    let part = |left: u64, all: u64| match all {
        0 => 1.0,
        all => left as f64 / all as f64,
    };
    part(left.millicores, capacity.millicores)
        .min(part(left.memory_mb, capacity.memory_mb))
        .min(part(left.accelerators, capacity.accelerators))
}
