//! The order in which steps with startable tasks are served.
//!
//! Load pattern: a burst of up to twice the batch rate and more for some seconds. First come first served
//! then makes every job late by the length of the queue. Here long-running tasks that were interrupted go before
//! everything, since their users are without them; then a class goes before the next. Within a class short tasks go
//! before long-running ones, which hold for minutes what a short one gives back within seconds; jobs that can still
//! meet their objective go before those that can only be late, which earn a part of their worth, and those before the
//! hopeless.
//!
//! A job in progress goes before a new one, and a new one that has time to spare before one that
//! would miss its end by any wait. Without that, a backlog is worked on from all sides: each job starts when it
//! is all but late and waits between its steps, and with twice the work that there is room for hardly any job is
//! on time, instead of half of them.
//! A job's size has no part in it, so wide jobs are served as often as narrow ones.

use std::cmp::Reverse;

/// A job is worth something, if little, up to so many times its objective.
const LATE_FACTOR: u64 = 3;
/// A new job is safe while its slack is this part of its chain, in hundredths. With less, jobs under a
/// backlog start that others' work makes late; the more, the less it helps those who wait out a short burst.
const SPARE_PERCENT: u64 = 40;

/// What decides a step's rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// 0 goes first.
    pub priority: u32,
    /// Whether it runs until it is cancelled: it earns for each moment that it is up.
    pub is_long_running: bool,
    /// Whether it is long-running and some of its tasks that ran do not run any more: users are without them.
    pub is_interrupted: bool,
    /// Since the job was due, in milliseconds.
    pub age_ms: u64,
    /// Time from due within which the job is on time, in milliseconds.
    pub objective_ms: u64,
    /// Time that the chain that begins with this step is expected to take, in milliseconds.
    pub chain_ms: u64,
    /// Whether anything of the job's occurrence was started.
    pub is_in_progress: bool,
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

/// Whose turn it is among jobs with the same prospect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    /// It is in progress, or runs until it is cancelled: the one with the least slack first.
    InProgress,
    /// It has slack to spare: the one with the least first.
    Safe,
    /// Any wait would make it miss its end: the one with the most slack first.
    Tight(Reverse<u64>),
}

/// Sorts steps: the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    is_uninterrupted: bool,
    priority: u32,
    is_long_running: bool,
    prospect: Prospect,
    turn: Turn,
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

    fn turn(&self, slack_ms: u64) -> Turn {
        let spare_ms = self.chain_ms * SPARE_PERCENT / 100;
        match self.is_in_progress || self.is_long_running {
            true => Turn::InProgress,
            false if slack_ms >= spare_ms => Turn::Safe,
            false => Turn::Tight(Reverse(slack_ms)),
        }
    }

    /// The step's rank.
    pub fn rank(&self) -> Rank {
        let prospect = self.prospect();
        let end = match prospect {
            Prospect::OnTime => self.objective_ms,
            Prospect::Late | Prospect::Hopeless => self.objective_ms * LATE_FACTOR,
        };
        let slack_ms = end.saturating_sub(self.age_ms + self.chain_ms);
        Rank {
            is_uninterrupted: !self.is_interrupted,
            priority: self.priority,
            is_long_running: self.is_long_running,
            prospect,
            turn: self.turn(slack_ms),
            slack_ms,
            oldest: Reverse(self.age_ms),
        }
    }
}
