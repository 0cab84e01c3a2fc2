//! Remembers within a dispatch pass what no host admits, so that steps which ask for at least as
//! much are skipped.
//!
//! Load pattern: under a backlog thousands of best-effort steps wait, and a check of a host
//! forecasts each of its serving tasks. Hosts only fill up during a pass, so a step is refused if
//! one that asks for no more was. Everything that decides an admission is compared: a step that no
//! host can ever run, in want of a label or of memory, must not hold up others of its image.

use super::{
    place::{Host, Need},
    room::Shortage,
    utilisation,
};
use crate::core::size::Size;
use indexmap::IndexMap;

/// What a best-effort step asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand<'a> {
    /// The pool whose hosts may run it.
    pub pool: &'a str,
    /// The image that its tasks run.
    pub image: &'a str,
    /// The resources that each task asks for.
    pub size: Size,
    /// A label that the worker must have.
    pub required_label: Option<&'a str>,
    /// The number of forecast points for which a task is expected to run.
    pub points: usize,
    /// The number of tasks that must be placed together.
    pub together: usize,
}

impl<'a> Demand<'a> {
    /// What a step asks for whose tasks have this need and run this image.
    pub fn new(need: &Need<'a>, image: &'a str, together: usize) -> Self {
        Self {
            pool: need.pool,
            image,
            size: need.size,
            required_label: need.required_label,
            points: utilisation::points_within(need.duration),
            together,
        }
    }

    /// Whether each set of hosts that refuses this demand refuses `other`, of the same pool and
    /// image, too.
    fn is_at_most(&self, other: &Self) -> bool {
        let is_label_shared =
            self.required_label.is_none() || self.required_label == other.required_label;
        is_label_shared
            && self.size.fits(&other.size)
            && self.points <= other.points
            && self.together <= other.together
    }
}

/// A demand that no host admitted.
#[derive(Clone, Debug)]
pub struct Refusal<'a> {
    /// The demand.
    pub demand: Demand<'a>,
    /// Why, if the pass determined that.
    pub why: Option<Shortage>,
}

/// Demands that the hosts refused in this pass.
#[derive(Clone, Debug, Default)]
pub struct RefusedDemands<'a> {
    /// By pool and image; no demand is at most another of them.
    refused: IndexMap<(&'a str, &'a str), Vec<Refusal<'a>>>,
}

impl<'a> RefusedDemands<'a> {
    /// Returns the refusal of a demand that is at most this one.
    pub fn find(&self, demand: &Demand<'a>) -> Option<&Refusal<'a>> {
        let refused = self.refused.get(&(demand.pool, demand.image))?;
        let mut refused = refused.iter();
        refused.find(|known| known.demand.is_at_most(demand))
    }

    /// Adds a refusal.
    pub fn add(&mut self, refusal: Refusal<'a>) {
        let demand = &refusal.demand;
        let key = (demand.pool, demand.image);
        let refused = self.refused.entry(key).or_default();
        refused.retain(|known| !demand.is_at_most(&known.demand));
        refused.push(refusal);
    }
}

/// Whether the limit of the step that is being placed is reached on a host: that refusal says
/// nothing about other steps.
pub fn is_limit_reached(need: &Need, hosts: &[Host]) -> bool {
    let is_at = |max| hosts.iter().any(|host| host.of_step >= max);
    need.max_per_worker.is_some_and(is_at)
}
