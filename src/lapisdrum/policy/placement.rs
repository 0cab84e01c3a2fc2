//! Chooses the host for a task.
//!
//! Load patterns: small batch tasks beside a few large ones; noisy tasks beside services; racks
//! that fail as a whole. Without best fit, small tasks are spread over all hosts and none has free
//! capacity for a large one; without interference estimates, the noisy task is placed beside the
//! service; without spreading over racks, the failure of one switch takes all of an entry's tasks.
//!
//! A batch task waits rather than go to a host whose services it is estimated to slow beyond
//! [`MAX_SLOWDOWN`]: the task can wait, and a service can't undo the delays that happen before the
//! first report, which arrives late.
//!
//! A task goes only where its declared size fits. Up to [`SAMPLE_SIZE`] of the hosts that fit are
//! sampled, and the one with the lowest cost is chosen: the estimated interference in both
//! directions ([`super::slowdown`]), weighted by class, plus the capacity that stays unused, plus
//! the share of the entry's tasks in the same rack. Sampling bounds the cost of a decision however
//! many workers there are: the best of 24 is within the best tenth of all hosts in 92 of 100
//! decisions (1 - 0.9^24).

use super::slowdown::{Kind, Neighbour, SlowdownModel};
use crate::core::{
    catalogue::Class,
    id::{Rack, WorkerId},
    size::Size,
    time::Millis,
};
use rand::Rng;

/// Maximum number of fitting hosts whose costs are compared.
pub const SAMPLE_SIZE: usize = 24;
/// Estimated slowdown of latency-critical work, together with all that runs on the host already, up
/// to which a batch task may be placed. Above it [`super::eviction`] would remove the task again.
pub const MAX_SLOWDOWN: f64 = super::eviction::DISTRESS_SLOWDOWN;
/// Uncertainty of an interference estimate from which it rules out no host.
const MAX_UNCERTAINTY: f64 = 0.5;
/// Weight of a slowdown of latency-critical work, relative to one of batch work.
const LATENCY_CRITICAL_WEIGHT: f64 = 10.0;
/// Cost of leaving a whole host unused: best fit decides between hosts with similar interference.
const UNUSED_CAPACITY_COST: f64 = 0.2;
/// Cost of having all of an entry's placed tasks in the same rack; a part of them costs in
/// proportion.
const SAME_RACK_COST: f64 = 0.3;

/// Running work of one kind on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningKind {
    /// The kind, and the number of tasks or requests of it.
    pub neighbour: Neighbour,
    /// Class of the kind, which weights its slowdown.
    pub class: Class,
}

/// A host that may take a task: its worker is live, claimed, not leaving and not ejected.
#[derive(Clone, Copy, Debug)]
pub struct CandidateHost<'a> {
    /// Worker that runs on the host.
    pub worker: &'a WorkerId,
    /// Rack of the host.
    pub rack: &'a Rack,
    /// Total capacity.
    pub capacity: Size,
    /// Free capacity.
    pub free: Size,
    /// Tasks and latency-critical requests that run on the host, one element per kind.
    pub running_kinds: &'a [RunningKind],
    /// Number of tasks in this host's rack of the same entry as the task to place.
    pub entry_tasks_in_rack: u32,
}

/// A task to place.
#[derive(Clone, Copy, Debug)]
pub struct TaskToPlace {
    /// Kind by which interference is estimated.
    pub kind: Kind,
    /// Weights its slowdown; only batch tasks are kept from services that they would slow too far.
    pub class: Class,
    /// Declared size, which must fit into the free capacity.
    pub size: Size,
    /// Number of placed tasks of the same entry, over all racks.
    pub entry_tasks_placed: u32,
}

/// Chooses a host, by index; `None` when no host fits, or when a batch task would slow the services
/// of every sampled host too far.
pub fn choose(
    candidates: &[CandidateHost<'_>],
    task: &TaskToPlace,
    model: &SlowdownModel,
    now: Millis,
    rng: &mut impl Rng,
) -> Option<usize> {
    let sample = sample_fitting(candidates, &task.size, rng);
    let allowed = sample.into_iter().filter(|index| {
        task.class != Class::Batch || is_slowdown_acceptable(&candidates[*index], task, model, now)
    });
    let costs = allowed.map(|index| (cost(&candidates[index], task, model, now), index));
    costs
        .min_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, index)| index)
}

/// Up to [`SAMPLE_SIZE`] hosts that fit, found from a random host on in steps of a random stride. A
/// stride that is coprime to the number of hosts reaches every host once.
fn sample_fitting(candidates: &[CandidateHost<'_>], size: &Size, rng: &mut impl Rng) -> Vec<usize> {
    let count = candidates.len();
    if count == 0 {
        return Vec::new();
    }
    let start = rng.random_range(0..count);
    let stride = coprime_stride(count, rng);
    (0..count)
        .map(|i| (start + i * stride) % count)
        .filter(|index| size.fits(&candidates[*index].free))
        .take(SAMPLE_SIZE)
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

/// Cost of placing the task on the host; lower is better.
pub fn cost(
    candidate: &CandidateHost<'_>,
    task: &TaskToPlace,
    model: &SlowdownModel,
    now: Millis,
) -> f64 {
    let interference_cost = interference_cost(candidate.running_kinds, task, model, now);
    let unused = unused_fraction(candidate, &task.size);
    let rack_share = match task.entry_tasks_placed {
        0 => 0.0,
        placed => f64::from(candidate.entry_tasks_in_rack) / f64::from(placed),
    };
    interference_cost + UNUSED_CAPACITY_COST * unused + SAME_RACK_COST * rack_share
}

/// Whether the services that the task would slow stay within [`MAX_SLOWDOWN`].
fn is_slowdown_acceptable(
    candidate: &CandidateHost<'_>,
    task: &TaskToPlace,
    model: &SlowdownModel,
    now: Millis,
) -> bool {
    let estimated = |service: Kind, kind: Kind| match model.uncertainty(service, kind, now) {
        uncertainty if uncertainty < MAX_UNCERTAINTY => model.added(service, kind, now),
        _ => 0.0,
    };
    let expected = |service: Kind| {
        let running_kinds = candidate
            .running_kinds
            .iter()
            .map(|running_kind| running_kind.neighbour);
        let others = running_kinds.filter(|neighbour| neighbour.kind != service);
        let from_running: f64 = others
            .map(|neighbour| f64::from(neighbour.count) * estimated(service, neighbour.kind))
            .sum();
        let from_task = estimated(service, task.kind);
        // A service that this task does not slow is no reason to keep it away.
        (from_task > 0.0).then_some(1.0 + from_running + from_task)
    };
    let services = candidate
        .running_kinds
        .iter()
        .filter(|running_kind| running_kind.class == Class::LatencyCritical);
    services
        .filter_map(|service| expected(service.neighbour.kind))
        .all(|slowdown| slowdown <= MAX_SLOWDOWN)
}

/// Estimated slowdown that the task would cause and suffer, weighted by class.
fn interference_cost(
    running_kinds: &[RunningKind],
    task: &TaskToPlace,
    model: &SlowdownModel,
    now: Millis,
) -> f64 {
    let each = running_kinds.iter().map(|running_kind| {
        let count = f64::from(running_kind.neighbour.count);
        let kind = running_kind.neighbour.kind;
        let caused = model.added(kind, task.kind, now) * weight(running_kind.class);
        let suffered = model.added(task.kind, kind, now) * weight(task.class);
        count * (caused + suffered)
    });
    each.sum()
}

fn weight(class: Class) -> f64 {
    match class {
        Class::LatencyCritical => LATENCY_CRITICAL_WEIGHT,
        Class::LongRunning => LATENCY_CRITICAL_WEIGHT / 2.0,
        Class::Batch => 1.0,
    }
}

/// Fraction of the host's capacity that stays free after placement, in the scarcest dimension that
/// the task uses. Others are left out: a host without a free accelerator would always look full.
fn unused_fraction(candidate: &CandidateHost<'_>, size: &Size) -> f64 {
    let fraction = |free: u64, taken: u64, capacity: u64| match taken {
        0 => 1.0,
        taken => free.saturating_sub(taken) as f64 / capacity.max(1) as f64,
    };
    let (free, capacity) = (&candidate.free, &candidate.capacity);
    fraction(free.millicores, size.millicores, capacity.millicores)
        .min(fraction(free.memory_mb, size.memory_mb, capacity.memory_mb))
        .min(fraction(
            free.accelerators,
            size.accelerators,
            capacity.accelerators,
        ))
}
