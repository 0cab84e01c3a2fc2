//! Checked types of job graphs: a job is a graph of steps, a step is a number of like tasks.
//!
//! The edges turn raw input into [`JobSpec`] by `TryFrom` on [`RawJob`]; past them nothing is checked
//! again. Everything here is durable, so fields are only ever added, with a default.

use crate::{core::size::Size, policy::dispatch::pressure::StepKey};
use std::{fmt, str::FromStr};

/// Most steps of one job; a larger graph would not fit one journal row.
pub const MOST_STEPS: usize = 64;
/// Most tasks of one step.
pub const MOST_TASKS_PER_STEP: u32 = 10_000;
/// Longest payload of a job, in bytes; workers take no longer one.
pub const LONGEST_PAYLOAD: usize = 4_000;

scalar! {
    /// A job's id, chosen by its caller, so that a repeat is recognised. Sixteen hexadecimal digits as text.
    pub struct JobId(pub u64);

    /// One task: the job, which scheduled occurrence of it, the step and the task's place in the step.
    pub struct TaskId {
        /// The job.
        pub job: JobId,
        /// The occurrence, from 0; 0 for a job without a schedule.
        pub occurrence: u32,
        /// The step, from 0.
        pub step: u16,
        /// The task's place in the step, from 0.
        pub index: u32,
    }

    /// Numbers the starts of one task, from 1; a worker refuses a number that isn't above those it has ended.
    #[derive(Default)]
    pub struct RunNumber(pub u32);
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Text that is no job id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidJobId;

impl fmt::Display for InvalidJobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a job id is 16 hexadecimal digits")
    }
}

impl std::error::Error for InvalidJobId {}

impl FromStr for JobId {
    type Err = InvalidJobId;

    fn from_str(raw: &str) -> Result<Self, InvalidJobId> {
        if raw.len() != 16 || !raw.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f')) {
            return Err(InvalidJobId);
        }
        u64::from_str_radix(raw, 16)
            .map(Self)
            .map_err(|_| InvalidJobId)
    }
}

impl TaskId {
    /// The step that the task belongs to, in its occurrence.
    pub fn step_id(&self) -> StepId {
        StepId {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = InvalidJobId;

    fn from_str(raw: &str) -> Result<Self, InvalidJobId> {
        let mut parts = raw.split('.');
        let mut next = || parts.next().ok_or(InvalidJobId);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| InvalidJobId)?;
        let step = next()?.parse().map_err(|_| InvalidJobId)?;
        let index = next()?.parse().map_err(|_| InvalidJobId)?;
        Ok(Self {
            job,
            occurrence,
            step,
            index,
        })
    }
}

impl RunNumber {
    /// The number after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

scalar! {
    /// A step of one occurrence of a job.
    pub struct StepId {
        /// The job.
        pub job: JobId,
        /// The occurrence, from 0.
        pub occurrence: u32,
        /// The step, from 0.
        pub step: u16,
    }

    /// Whether the tasks of a step work only all together.
    #[derive(Default)]
    pub enum Gang {
        /// Each task works by itself.
        #[default]
        No,
        /// All together, on any racks.
        AnyRack,
        /// All together; slower by a factor when spread over racks.
        SameRack,
    }
}

impl StepId {
    /// The step as policies name it.
    pub fn key(&self) -> StepKey {
        (self.job.0, self.occurrence, self.step)
    }

    /// The task at this place of the step.
    pub fn task(&self, index: u32) -> TaskId {
        TaskId {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

data! {
    /// A step: so many like tasks.
    #[derive(Default)]
    pub struct Step {
        /// How many tasks.
        pub count: u32,
        /// What a task takes of its host.
        pub size: Size,
        /// A rough estimate of a task's run time, in milliseconds.
        pub estimate_ms: u64,
        /// Earlier steps of which all tasks must be done first.
        pub after: Vec<u16>,
        /// Whether its tasks save their progress now and then.
        pub is_checkpointing: bool,
        /// Whether its tasks work only together.
        pub gang: Gang,
        /// A label that its workers must have.
        pub required_label: Option<String>,
        /// The rack where its data is; slower by a factor on any other.
        pub data_rack: Option<String>,
        /// Most of its tasks on one worker.
        pub max_per_worker: Option<u32>,
        /// Whether copies of a task may run side by side; the first to end counts.
        pub is_speculative: bool,
        /// Whether its tasks run until the job is cancelled.
        pub is_long_running: bool,
        /// How many tasks of a long-running step may be away at once through the scheduler's doing.
        pub disruption_budget: Option<u32>,
        /// What the tasks run; tasks of one image behave alike.
        pub image: Option<String>,
        /// For tasks that serve users: the latency tail to stay under, in milliseconds.
        pub latency_target_ms: Option<u32>,
        /// Whether its processors come out of what others leave unused.
        pub uses_leftover_cpu: bool,
    }

    /// When a job's steps run.
    #[derive(Copy)]
    pub struct Schedule {
        /// The first occurrence, in Unix milliseconds.
        pub first_unix_ms: u64,
        /// Time between two, in milliseconds.
        pub interval_ms: u64,
        /// How many.
        pub times: u32,
    }

    /// A job as submitted.
    pub struct JobSpec {
        /// Handed to each task as it is.
        pub payload: String,
        /// The steps; a step names only earlier ones in [`Step::after`].
        pub steps: Vec<Step>,
        /// When they run; at once and once where there is none.
        pub schedule: Option<Schedule>,
    }

    /// A job as it comes in at an edge, not yet checked.
    #[derive(Default)]
    pub struct RawJob {
        /// Handed to each task as it is.
        pub payload: String,
        /// The steps.
        pub steps: Vec<Step>,
        /// When they run.
        pub schedule: Option<Schedule>,
    }

    /// What the catalogue says of a job's queue, as of the job's acceptance.
    pub struct QueueTerms {
        /// The queue's name.
        pub queue: String,
        /// The pool of workers that runs its tasks.
        pub pool: String,
        /// 0 goes first and may displace others.
        pub priority: u32,
        /// A task may fail this often, less one.
        pub attempts: u32,
        /// The objective is this many times the longest chain of work, in thousandths.
        pub stretch_milli: u64,
        /// Added to the objective, in milliseconds.
        pub target_ms: u64,
        /// Whether workers must be approved by the advisory service first.
        pub needs_approval: bool,
    }
}

/// Why a job can't be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidJob {
    /// No step, or too many.
    Steps(usize),
    /// A step without tasks, or with too many.
    Tasks {
        /// The step.
        step: usize,
        /// Its tasks.
        count: u32,
    },
    /// A step that comes after itself, a later one or one that isn't there.
    After {
        /// The step.
        step: usize,
        /// What it names.
        names: u16,
    },
    /// A payload beyond the bound, in bytes.
    Payload(usize),
}

impl fmt::Display for InvalidJob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Steps(n) => write!(f, "a job has 1 to {MOST_STEPS} steps, not {n}"),
            Self::Tasks { step, count } => write!(
                f,
                "step {step} has {count} tasks; 1 to {MOST_TASKS_PER_STEP} are allowed"
            ),
            Self::After { step, names } => {
                write!(
                    f,
                    "step {step} comes after step {names}, which is no earlier step"
                )
            }
            Self::Payload(len) => {
                write!(
                    f,
                    "the payload has {len} bytes; at most {LONGEST_PAYLOAD} are allowed"
                )
            }
        }
    }
}

impl std::error::Error for InvalidJob {}

impl TryFrom<RawJob> for JobSpec {
    type Error = InvalidJob;

    fn try_from(raw: RawJob) -> Result<Self, InvalidJob> {
        if raw.steps.is_empty() || raw.steps.len() > MOST_STEPS {
            return Err(InvalidJob::Steps(raw.steps.len()));
        }
        if raw.payload.len() > LONGEST_PAYLOAD {
            return Err(InvalidJob::Payload(raw.payload.len()));
        }
        for (at, step) in raw.steps.iter().enumerate() {
            if !(1..=MOST_TASKS_PER_STEP).contains(&step.count) {
                return Err(InvalidJob::Tasks {
                    step: at,
                    count: step.count,
                });
            }
            if let Some(names) = step.after.iter().find(|n| usize::from(**n) >= at) {
                return Err(InvalidJob::After {
                    step: at,
                    names: *names,
                });
            }
        }
        Ok(Self {
            payload: raw.payload,
            steps: raw.steps,
            schedule: raw.schedule.filter(|schedule| schedule.times > 0),
        })
    }
}

impl JobSpec {
    /// How many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// When an occurrence is due, in Unix milliseconds; none without a schedule.
    pub fn due_unix_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.schedule?;
        Some(schedule.first_unix_ms + u64::from(occurrence) * schedule.interval_ms)
    }

    /// Estimated work on the longest chain that begins with each step, in milliseconds.
    pub fn chains_ms(&self) -> Vec<u64> {
        chains_ms(self.steps.iter().map(|s| (s.estimate_ms, &s.after[..])))
    }

    /// Estimated work on the longest chain of the whole job, in milliseconds.
    pub fn longest_chain_ms(&self) -> u64 {
        self.chains_ms().into_iter().max().unwrap_or_default()
    }
}

/// Estimated work on the longest chain that begins with each step, in milliseconds. A step is given by its own
/// estimate and the earlier steps that it comes after. Filled from the back, since a graph in which many steps
/// join has more chains than can be counted.
pub fn chains_ms<'a>(
    steps: impl DoubleEndedIterator<Item = (u64, &'a [u16])> + ExactSizeIterator,
) -> Vec<u64> {
    let mut chains = vec![0; steps.len()];
    let mut rest = vec![0; steps.len()];
    for (at, (estimate_ms, after)) in steps.enumerate().rev() {
        chains[at] = estimate_ms + rest[at];
        for before in after {
            let longest: &mut u64 = &mut rest[usize::from(*before)];
            *longest = (*longest).max(chains[at]);
        }
    }
    chains
}

impl QueueTerms {
    /// Time from submission within which a job of this chain is on time, in milliseconds.
    pub fn objective_ms(&self, chain_ms: u64) -> u64 {
        chain_ms * self.stretch_milli / 1_000 + self.target_ms
    }
}
