//! Computes the capacity that a shard has left for long-running tasks of other shards.
//!
//! Load pattern: more than a hundred long-running tasks of different sizes are interrupted at once
//! in each of several shards. Most of them fit on no host of their shard, and a smaller one of
//! another shard would fit there. If offers were reduced by the number of the shard's own
//! interrupted tasks, those that fit nowhere would void every offer. So interrupted tasks and
//! earlier offers are placed on a copy of the hosts, each with its own size, and only what they
//! occupy there is taken off.

use crate::core::size::Size;
use indexmap::IndexMap;
use std::rc::Rc;

/// A worker that may take tasks, with its capacity once all but its long-running tasks have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpareHost {
    /// The id of its worker.
    pub id: String,
    /// The pool that it belongs to.
    pub pool: String,
    /// Labels that tasks can require.
    pub labels: Vec<String>,
    /// Its spare capacity.
    pub free: Size,
}

/// What a task requires of a worker.
#[derive(Clone, Debug)]
pub struct SpareNeed<'a> {
    /// The pool whose hosts may run it.
    pub pool: &'a str,
    /// The resources that it reserves.
    pub size: Size,
    /// A label that the worker must have.
    pub required_label: Option<&'a str>,
    /// The limit of its step, if there is one.
    pub limit: Option<StepLimit<'a>>,
}

/// A limit on the tasks of one step on each worker.
#[derive(Clone, Debug)]
pub struct StepLimit<'a> {
    /// The maximum number of tasks on one worker.
    pub max: u32,
    /// The number of tasks that run there, by the id of the worker.
    pub running: IndexMap<&'a str, u32>,
}

/// Spare capacity of a shard's hosts. A copy is cheap.
#[derive(Clone, Debug)]
pub struct SpareHosts {
    hosts: Rc<[SpareHost]>,
    free: Vec<Size>,
}

impl SpareNeed<'_> {
    /// The maximum number of these tasks that a host may take, whatever its capacity.
    fn max_on(&self, host: &SpareHost) -> u64 {
        let has = |label: &str| host.labels.iter().any(|have| have == label);
        if host.pool != self.pool || !self.required_label.is_none_or(has) {
            return 0;
        }
        self.limit.as_ref().map_or(u64::MAX, |limit| {
            let running = limit.running.get(host.id.as_str()).copied();
            u64::from(limit.max.saturating_sub(running.unwrap_or_default()))
        })
    }
}

impl From<Vec<SpareHost>> for SpareHosts {
    fn from(hosts: Vec<SpareHost>) -> Self {
        let free = hosts.iter().map(|host| host.free).collect();
        Self {
            hosts: hosts.into(),
            free,
        }
    }
}

impl SpareHosts {
    /// The number of hosts that may take such a task, whatever their capacity.
    pub fn eligible(&self, need: &SpareNeed) -> usize {
        let hosts = self.hosts.iter();
        hosts.filter(|host| need.max_on(host) > 0).count()
    }

    /// The number of such tasks that fit.
    pub fn count(&self, need: &SpareNeed) -> u64 {
        let hosts = self.hosts.iter().zip(&self.free);
        let fitting = hosts.map(|(host, free)| need.max_on(host).min(need.size.count_in(free)));
        fitting.fold(0, u64::saturating_add)
    }

    /// Places up to `tasks` such tasks, each on the fullest host that still fits. Returns how many
    /// were placed.
    pub fn place(&mut self, need: &SpareNeed, tasks: u64) -> u64 {
        let hosts = self.hosts.iter();
        let mut allowed: Vec<u64> = hosts.map(|host| need.max_on(host)).collect();
        let mut placed = 0;
        while placed < tasks && self.place_one(need, &mut allowed) {
            placed += 1;
        }
        placed
    }

    fn place_one(&mut self, need: &SpareNeed, allowed: &mut [u64]) -> bool {
        let hosts = self.free.iter_mut().zip(allowed);
        let fitting = hosts.filter(|(free, allowed)| **allowed > 0 && need.size.fits(free));
        let Some((free, allowed)) = fitting.min_by_key(|(free, _)| free.millicores) else {
            return false;
        };
        *free = free.minus(&need.size);
        *allowed -= 1;
        true
    }
}
