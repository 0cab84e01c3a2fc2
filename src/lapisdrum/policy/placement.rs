//! Which worker a task goes to.
//!
//! Load patterns: small batch tasks beside a few large ones; noisy tasks beside services; racks that
//! fail whole. Without best fit the small tasks are spread thin over all hosts and no host has room
//! for a large one; without interference the noisy task is put beside the service; without the
//! spread one switch takes all of an entry's tasks.
//!
//! Batch work waits rather than go where the services that run there would be slowed beyond
//! [`MOST_SLOWDOWN`] by what is known: a batch task can wait for a place, and a service can't undo what
//! it suffered before the first late report.
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
/// Slowdown of latency-critical work that batch work may be expected to cause, with all that runs on
/// the host already: from there on [`super::eviction`] would move it away again.
pub const MOST_SLOWDOWN: f64 = super::eviction::DISTRESS;
/// Doubt from which an estimate forbids nothing.
const TOO_DOUBTFUL: f64 = 0.5;
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
    let open = sample.into_iter().filter(|index| {
        wanted.class != Class::Batch || is_bearable(&rooms[*index], wanted, interference, now)
    });
    let costs = open.map(|index| (cost(&rooms[index], wanted, interference, now), index));
    costs
        .min_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, index)| index)
}

/// Up to [`SAMPLE`] hosts that fit, visited from a random one on in steps of a random stride. A
/// stride that shares no factor with their number visits every host once.
fn sample_fitting(rooms: &[Room<'_>], size: &Size, rng: &mut impl Rng) -> Vec<usize> {
    let count = rooms.len();
    if count == 0 {
        return Vec::new();
    }
    let start = rng.random_range(0..count);
    let stride = coprime_stride(count, rng);
    (0..count)
        .map(|i| (start + i * stride) % count)
        .filter(|index| size.fits(&rooms[*index].free))
        .take(SAMPLE)
        .collect()
}

fn coprime_stride(count: usize, rng: &mut impl Rng) -> usize {
    let drawn = rng.random_range(1..=count);
    let mut strides = (drawn..=count).chain(1..drawn);
    strides.find(|stride| gcd(*stride, count) == 1).unwrap_or(1)
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}

/// Cost of a task on a host; lower is better.
pub fn cost(room: &Room<'_>, wanted: &Wanted, interference: &Interference, now: Millis) -> f64 {
    let harm = harm(room.residents, wanted, interference, now);
    let left = left_over(room, &wanted.size);
    let crowd = match wanted.same_placed {
        0 => 0.0,
        placed => f64::from(room.same_in_rack) / f64::from(placed),
    };
    harm + LEFT_OVER * left + SAME_RACK * crowd
}

/// Whether the services on a host stay within the slowdown that batch work may cause.
fn is_bearable(room: &Room<'_>, wanted: &Wanted, interference: &Interference, now: Millis) -> bool {
    let known = |service: Kind, kind: Kind| match interference.doubt(service, kind, now) {
        doubt if doubt < TOO_DOUBTFUL => interference.added(service, kind, now),
        _ => 0.0,
    };
    let expected = |service: Kind| {
        let residents = room.residents.iter().map(|resident| resident.neighbour);
        let others = residents.filter(|neighbour| neighbour.kind != service);
        let present: f64 = others
            .map(|neighbour| f64::from(neighbour.count) * known(service, neighbour.kind))
            .sum();
        let own = known(service, wanted.kind);
        // What the task does not add to is none of its business.
        (own > 0.0).then_some(1.0 + present + own)
    };
    let services = room
        .residents
        .iter()
        .filter(|resident| resident.class == Class::LatencyCritical);
    services
        .filter_map(|service| expected(service.neighbour.kind))
        .all(|slowdown| slowdown <= MOST_SLOWDOWN)
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

/// The part of a host that is left over in the scarcest dimension that the task takes, 0 to 1. Those
/// that it does not take say nothing: a host without a free accelerator would always look full.
fn left_over(room: &Room<'_>, size: &Size) -> f64 {
    let part = |free: u64, taken: u64, all: u64| match taken {
        0 => 1.0,
        taken => free.saturating_sub(taken) as f64 / all.max(1) as f64,
    };
    let (free, all) = (&room.free, &room.capacity);
    part(free.millicores, size.millicores, all.millicores)
        .min(part(free.memory_mb, size.memory_mb, all.memory_mb))
        .min(part(free.accelerators, size.accelerators, all.accelerators))
}
