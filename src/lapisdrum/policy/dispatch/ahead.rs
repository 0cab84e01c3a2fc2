//! Lets one task of a job that has had nothing running for too long go ahead of other jobs.
//!
//! Load pattern: a burst leaves a backlog of jobs with tens of tasks each. The usual order
//! ([`super::order`]) starts the tasks of jobs that can be on time or are in progress, and gives each
//! processor that becomes free to the next task of the same few jobs: of a thousand starts a second,
//! twenty are the first of a job, and hundreds of late jobs have nothing running for most of a minute.
//! One task of such a job takes little from the others.
//!
//! Jobs that can still be on time keep their usual turn. They would count as in progress once a task
//! has started, and the backlog would be served evenly, so that hardly any job is on time. For the same
//! reason only a part of all starts may go ahead ([`Budget`]): under a backlog of narrow jobs, one task
//! of each would take every processor. So under a long backlog the wait grows with the number of late jobs.

use super::order::{Feasibility, Rank};
use std::{cmp::Reverse, time::Duration};

/// One start of a short task in this many may have gone ahead: jobs that can be on time keep three
/// quarters of all starts.
const STARTS_PER_AHEAD: i64 = 4;
/// Maximum number of tasks that may go ahead in one pass, after a time in which none did.
const MAX_AHEAD: i64 = 16;

/// A step's turn in a dispatch pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The step at this index may start one task, or one gang, ahead of others.
    Ahead(usize),
    /// The step at this index may start all its tasks.
    Usual(usize),
}

/// Orders the turns of steps that are in their usual order. `idle_for` says for how long a step's job
/// has had nothing running, if that is too long. The longest wait goes first, behind interrupted
/// long-running tasks and steps of more urgent priorities.
pub fn turns(steps: impl Iterator<Item = (Rank, Option<Duration>)>) -> Vec<Turn> {
    let steps: Vec<(Rank, Option<Duration>)> = steps.collect();
    let mut ahead: Vec<_> = steps
        .iter()
        .enumerate()
        .filter(|(_, (rank, _))| {
            rank.band()
                .is_some_and(|b| b.feasibility != Feasibility::OnTime)
        })
        .filter_map(|(at, (rank, idle_for))| Some((rank.priority(), Reverse((*idle_for)?), at)))
        .collect();
    ahead.sort();
    let mut ahead = ahead.into_iter().peekable();
    let mut turns = Vec::with_capacity(steps.len() + ahead.len());
    for (at, (rank, _)) in steps.iter().enumerate() {
        let is_before = |priority| !rank.is_interrupted() && priority <= rank.priority();
        while let Some((_, _, at)) = ahead.next_if(|(priority, ..)| is_before(*priority)) {
            turns.push(Turn::Ahead(at));
        }
        turns.push(Turn::Usual(at));
    }
    turns
}

/// How many tasks may go ahead.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Starts of short tasks less [`STARTS_PER_AHEAD`] for each task that went ahead; below zero after
    /// a gang that went ahead.
    balance: i64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            balance: MAX_AHEAD * STARTS_PER_AHEAD,
        }
    }
}

impl Budget {
    /// Whether another task may go ahead.
    pub fn allows(&self) -> bool {
        self.balance >= STARTS_PER_AHEAD
    }

    /// Notes that so many short tasks were placed, and whether they went ahead.
    pub fn note(&mut self, starts: usize, is_ahead: bool) {
        let starts = i64::try_from(starts).unwrap_or(i64::MAX / STARTS_PER_AHEAD);
        let used = if is_ahead {
            STARTS_PER_AHEAD * starts
        } else {
            0
        };
        let balance = self.balance.saturating_add(starts).saturating_sub(used);
        self.balance = balance.min(MAX_AHEAD * STARTS_PER_AHEAD);
    }
}
