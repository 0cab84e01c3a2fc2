//! What a shard's owner learns of its workers from late measurements, and what it does about it.

use super::{Cx, shard::Shard};
use crate::{
    core::{catalogue::Class, id::WorkerId},
    policy::{
        interference::{Interference, Neighbour},
        placement::Resident,
    },
};
use indexmap::IndexMap;

/// What is learned under one ownership. A successor learns it anew.
#[derive(Debug, Default)]
pub struct Pressure {
    /// How kinds of work disturb each other.
    pub interference: Interference,
}

/// What runs on a worker, one line a kind.
pub fn residents(cx: &Cx, shard: &Shard, worker: &WorkerId) -> Vec<Resident> {
    let (state, index) = (shard.state(), shard.journal.index());
    let mut counts = IndexMap::new();
    for job in index.on_worker(worker).filter_map(|id| state.jobs.get(id)) {
        *counts.entry(&job.entry).or_insert(0_u32) += 1;
    }
    let catalogue = cx.catalogue.borrow();
    let mut pressure = shard.pressure.borrow_mut();
    let resident = |(entry, count)| Resident {
        neighbour: Neighbour {
            kind: pressure.interference.kind(entry),
            count,
        },
        class: catalogue
            .entry(entry)
            .map_or(Class::Batch, |entry| entry.class),
    };
    counts.into_iter().map(resident).collect()
}
