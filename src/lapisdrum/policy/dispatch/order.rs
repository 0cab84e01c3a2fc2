//! The order in which steps with startable tasks are served.
//!
//! Load pattern: a burst of 1.4 to 2.6 times the batch rate for some seconds. First come first served
//! then makes every job late by the length of the queue. Here a class goes before the next, and within a
//! class jobs that can still meet their objective go before those that can only be late, which earn 0.15
//! of their worth, and those before the hopeless. Among equals the earliest objective goes first, so
//! short jobs pass long ones, and a job that has begun isn't starved by new ones.

use std::cmp::Reverse;

/// A job is worth something, if little, up to so many times its objective.
const LATE_FACTOR: u64 = 3;

/// What decides a step's rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// 0 goes first.
    pub priority: u32,
    /// Whether it runs until it is cancelled: it earns for each moment that it is up.
    pub is_long_running: bool,
    /// Since the job was due, in milliseconds.
    pub age_ms: u64,
    /// Time from due within which the job is on time, in milliseconds.
    pub objective_ms: u64,
    /// Estimated work on the chain that begins with this step, in milliseconds.
    pub chain_ms: u64,
}

/// What a job can still reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Prospect {
    /// It can be on time.
    OnTime,
    /// It can only be late.
    Late,
    /// It can't earn anything any more.
    Hopeless,
}

/// Sorts steps: the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: u32,
    is_batch: bool,
    prospect: Prospect,
    slack_ms: u64,
    oldest: Reverse<u64>,
}

impl Standing {
    /// What the job can still reach if the step begins now.
    pub fn prospect(&self) -> Prospect {
        let done_at = self.age_ms + self.chain_ms;
        if self.is_long_running || done_at <= self.objective_ms {
            return Prospect::OnTime;
        }
        match done_at <= self.objective_ms * LATE_FACTOR {
            true => Prospect::Late,
            false => Prospect::Hopeless,
        }
    }

    /// The step's rank.
    pub fn rank(&self) -> Rank {
        let prospect = self.prospect();
        let end = match prospect {
            Prospect::OnTime => self.objective_ms,
            Prospect::Late | Prospect::Hopeless => self.objective_ms * LATE_FACTOR,
        };
        Rank {
            priority: self.priority,
            is_batch: !self.is_long_running,
            prospect,
            slack_ms: end.saturating_sub(self.age_ms + self.chain_ms),
            oldest: Reverse(self.age_ms),
        }
    }
}
