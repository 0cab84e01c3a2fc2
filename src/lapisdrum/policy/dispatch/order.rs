//! The order in which steps with startable tasks are served.
//!
//! Load pattern: a burst of up to twice the batch rate and more for some seconds. First come, first
//! served then delays every job by the length of the queue. Instead, steps are ordered by, in turn:
//!
//! - interrupted long-running tasks first, since their users lack them until they run again;
//! - priority;
//! - short tasks before long-running ones, which occupy for minutes what a short one frees within
//!   seconds;
//! - jobs that can still meet their objective, then those that can only be late and are worth less,
//!   then those whose result would be worth nothing;
//! - jobs in progress, then new ones with slack to spare, then new ones that any wait would make
//!   late.
//!
//! Without the last rule a backlog is served evenly: each job starts when it is nearly late and
//! waits between its steps, and at twice the sustainable load hardly any job is on time, instead of
//! half of them. A job's size plays no part, so wide jobs are served as often as narrow ones.

use std::cmp::Reverse;

/// A job that finishes within this many times its objective is still worth something, if little.
const LATE_FACTOR: u64 = 3;
/// Slack, in percent of the chain, from which a new job can safely wait. A lower value starts jobs
/// under a backlog that other jobs then make late; the higher it is, the less it helps jobs that
/// wait out a short burst.
const SAFE_SLACK_PERCENT: u64 = 40;

/// The inputs of a step's rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankInputs {
    /// Priority of the class; 0 is served first.
    pub priority: u32,
    /// Whether it runs until it is cancelled; its value grows with the time that it is up.
    pub is_long_running: bool,
    /// Whether it is long-running and some of its tasks have stopped running, so that its users
    /// lack them.
    pub is_interrupted: bool,
    /// Time since the job was due, in milliseconds.
    pub age_ms: u64,
    /// Time after the job was due within which it must finish to be on time, in milliseconds.
    pub objective_ms: u64,
    /// Estimated duration of the chain of steps that starts with this one, in milliseconds.
    pub chain_ms: u64,
    /// Whether any task of the job's occurrence has been started.
    pub is_in_progress: bool,
}

/// Whether a job can still meet its objective; sorted from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Feasibility {
    /// It can finish within its objective.
    OnTime,
    /// It will miss its objective, but can finish while its result is worth something.
    Late,
    /// It will finish too late for its result to be worth anything.
    NoValue,
}

/// Precedence among jobs of equal feasibility.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Precedence {
    /// In progress, or long-running: least slack first.
    InProgress,
    /// New, with slack to spare: least slack first.
    Safe,
    /// New, and any wait would make it miss its deadline: most slack first.
    Tight(Reverse<u64>),
}

/// Sort key of a step: the smallest is served first. The order of the fields is the order of the
/// rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    is_uninterrupted: bool,
    priority: u32,
    is_long_running: bool,
    feasibility: Feasibility,
    precedence: Precedence,
    slack_ms: u64,
    oldest: Reverse<u64>,
}

/// Short steps of equal priority and feasibility, either of jobs in progress or of new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Band {
    /// Priority of the class; 0 is served first.
    pub priority: u32,
    /// Whether the jobs can still meet their objective.
    pub feasibility: Feasibility,
    /// Whether any task of the jobs' occurrences has been started.
    pub is_in_progress: bool,
}

impl Rank {
    /// Whether the step has interrupted long-running tasks.
    pub fn is_interrupted(&self) -> bool {
        !self.is_uninterrupted
    }

    /// Priority of the class; 0 is served first.
    pub fn priority(&self) -> u32 {
        self.priority
    }

    /// The steps among which callers share capacity; none for long-running steps, which occupy it
    /// for as long as their users want.
    pub fn band(&self) -> Option<Band> {
        let is_short = self.is_uninterrupted && !self.is_long_running;
        is_short.then_some(Band {
            priority: self.priority,
            feasibility: self.feasibility,
            is_in_progress: self.precedence == Precedence::InProgress,
        })
    }
}

impl RankInputs {
    /// Time after the job was due from which its result is worth nothing, in milliseconds.
    pub fn worthless_from_ms(&self) -> u64 {
        self.objective_ms * LATE_FACTOR
    }

    /// How long a new job can wait before any further wait may make it late, in milliseconds.
    pub fn safe_for_ms(&self) -> u64 {
        let safe_slack_ms = self.chain_ms * SAFE_SLACK_PERCENT / 100;
        let needed_ms = self.age_ms + self.chain_ms + safe_slack_ms;
        self.objective_ms.saturating_sub(needed_ms)
    }

    /// Whether the job can meet its objective if the step starts now.
    pub fn feasibility(&self) -> Feasibility {
        let completion_age_ms = self.age_ms + self.chain_ms;
        if self.is_long_running || completion_age_ms <= self.objective_ms {
            return Feasibility::OnTime;
        }
        match completion_age_ms <= self.worthless_from_ms() {
            true => Feasibility::Late,
            false => Feasibility::NoValue,
        }
    }

    /// Time by which the job may be delayed and still be on time, in milliseconds.
    pub fn slack_ms(&self) -> u64 {
        self.objective_ms
            .saturating_sub(self.age_ms + self.chain_ms)
    }

    fn precedence(&self, slack_ms: u64) -> Precedence {
        let safe_slack_ms = self.chain_ms * SAFE_SLACK_PERCENT / 100;
        match self.is_in_progress || self.is_long_running {
            true => Precedence::InProgress,
            false if slack_ms >= safe_slack_ms => Precedence::Safe,
            false => Precedence::Tight(Reverse(slack_ms)),
        }
    }

    /// Computes the sort key of the step.
    pub fn rank(&self) -> Rank {
        let feasibility = self.feasibility();
        let deadline_ms = match feasibility {
            Feasibility::OnTime => self.objective_ms,
            Feasibility::Late | Feasibility::NoValue => self.worthless_from_ms(),
        };
        let slack_ms = deadline_ms.saturating_sub(self.age_ms + self.chain_ms);
        Rank {
            is_uninterrupted: !self.is_interrupted,
            priority: self.priority,
            is_long_running: self.is_long_running,
            feasibility,
            precedence: self.precedence(slack_ms),
            slack_ms,
            oldest: Reverse(self.age_ms),
        }
    }
}
