//! Validated types of job graphs: a job is a graph of steps, a step is a number of identical tasks.
//!
//! The interfaces to callers convert a [`RawJob`] to a [`JobSpec`] by `TryFrom`; later code relies
//! on that and doesn't validate again. All these types are persisted, so fields are only ever
//! added, with a default.

use super::journal::MAX_EVENT_BYTES;
use crate::{core::size::Size, policy::dispatch::interference::StepKey};
use std::{fmt, str::FromStr};

/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 64;
/// Longest objective of a job, in milliseconds: over a century, so that times added to it don't wrap.
const MAX_OBJECTIVE_MS: u64 = 1 << 42;
/// Maximum number of tasks of a step.
pub const MAX_TASKS_PER_STEP: u32 = 10_000;
/// Maximum length of a job's payload; workers accept no longer one.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Maximum size of a job as it is persisted: half of a journal event, of which the queue's settings
/// and adopted tasks take the rest. A larger one could never be accepted.
pub const MAX_SPEC_BYTES: usize = MAX_EVENT_BYTES / 2;

scalar! {
    /// Id of a job, chosen by its caller so that a repeated submission is recognised. As text, 16
    /// hexadecimal digits.
    pub struct JobId(pub u64);

    /// Id of a task. As text, its four fields separated by dots.
    pub struct TaskId {
        /// The job that the task belongs to.
        pub job: JobId,
        /// The scheduled occurrence of the job, from 0; 0 for a job without a schedule.
        pub occurrence: u32,
        /// Index of the step in the job, from 0.
        pub step: u16,
        /// Index of the task in the step, from 0.
        pub index: u32,
    }

    /// Number of a start of a task, from 1. A worker refuses a number that is not above those of
    /// the task's ended runs.
    #[derive(Default)]
    pub struct RunNumber(pub u32);
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Text that is not a valid id of a job or task.
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
    /// The step of the same occurrence that the task belongs to.
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
    /// The number of the task's next start.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

scalar! {
    /// Id of a step in one occurrence of a job.
    pub struct StepId {
        /// The job that the step belongs to.
        pub job: JobId,
        /// The scheduled occurrence of the job, from 0.
        pub occurrence: u32,
        /// Index of the step in the job, from 0.
        pub step: u16,
    }

    /// Whether the tasks of a step need to run at the same time (gang scheduling).
    #[derive(Default)]
    pub enum Gang {
        /// Tasks run independently.
        #[default]
        No,
        /// All tasks run at the same time, on any racks.
        AnyRack,
        /// All tasks run at the same time; slower by a factor when spread over racks.
        SameRack,
    }
}

impl StepId {
    /// The key of the step in [`crate::policy`].
    pub fn key(&self) -> StepKey {
        (self.job.0, self.occurrence, self.step)
    }

    /// The id of the step's task with this index.
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
    /// A step of a job: a number of identical tasks.
    #[derive(Default)]
    pub struct Step {
        /// Number of tasks.
        pub count: u32,
        /// Resources that each task requests.
        pub size: Size,
        /// The caller's rough estimate of a task's run time, in milliseconds.
        pub estimate_ms: u64,
        /// Indexes of earlier steps whose tasks must all be done before this step starts.
        pub after: Vec<u16>,
        /// Whether tasks save checkpoints from which another run can resume.
        pub is_checkpointing: bool,
        /// Whether the tasks need to run at the same time.
        pub gang: Gang,
        /// A label that a worker must have to run the tasks.
        pub required_label: Option<String>,
        /// The rack that holds the input data; tasks are slower by a factor on any other rack.
        pub data_rack: Option<String>,
        /// Maximum number of the step's tasks on one worker.
        pub max_per_worker: Option<u32>,
        /// Whether several runs of one task may execute at the same time; the first to end counts.
        pub is_speculative: bool,
        /// Whether the tasks run until the job is cancelled.
        pub is_long_running: bool,
        /// Maximum number of tasks of a long-running step that the scheduler may have stopped at
        /// the same time.
        pub disruption_budget: Option<u32>,
        /// The image that the tasks run; tasks of one image are assumed to behave alike.
        pub image: Option<String>,
        /// Upper limit for the tail latency of tasks that serve users, in milliseconds.
        pub latency_target_ms: Option<u32>,
        /// Whether the tasks are best-effort: they use only CPU that other tasks leave idle.
        pub uses_leftover_cpu: bool,
    }

    /// Repeated execution of a job's steps.
    #[derive(Copy)]
    pub struct Schedule {
        /// Time of the first occurrence, in Unix milliseconds.
        pub first_unix_ms: u64,
        /// Time between the starts of two occurrences, in milliseconds.
        pub interval_ms: u64,
        /// Number of occurrences.
        pub times: u32,
    }

    /// A validated job, as submitted.
    pub struct JobSpec {
        /// Passed unchanged to each task.
        pub payload: String,
        /// The steps; [`Step::after`] refers only to earlier ones.
        pub steps: Vec<Step>,
        /// When the steps run; without a schedule they run once, as soon as possible.
        pub schedule: Option<Schedule>,
    }

    /// A job as received from a caller, not yet validated.
    #[derive(Default)]
    pub struct RawJob {
        /// Passed unchanged to each task.
        pub payload: String,
        /// The steps, identified by their index.
        pub steps: Vec<Step>,
        /// When the steps run; see [`JobSpec::schedule`].
        pub schedule: Option<Schedule>,
    }

    /// Settings of a job's queue, as the catalogue had them when the job was accepted.
    pub struct QueueConfig {
        /// Name of the queue.
        pub queue: String,
        /// The pool of workers that runs the queue's tasks.
        pub pool: String,
        /// Priority of the queue's jobs; 0 is the most urgent, and its tasks may displace those of
        /// others.
        pub priority: u32,
        /// Number of failed runs of one task at which the job fails; 0 counts as 1.
        pub attempts: u32,
        /// Factor in thousandths by which the longest chain of work is multiplied in
        /// [`Self::objective_ms`].
        pub stretch_milli: u64,
        /// Constant part of [`Self::objective_ms`], in milliseconds.
        pub target_ms: u64,
        /// Whether the advisory service must approve a worker before a task starts there.
        pub needs_approval: bool,
    }
}

/// Why a [`RawJob`] is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidJob {
    /// The number of steps, which is 0 or above the maximum.
    Steps(usize),
    /// A step without tasks, or with more than the maximum.
    Tasks {
        /// Index of the step.
        step: usize,
        /// Number of its tasks.
        count: u32,
    },
    /// A step that depends on itself, on a later step or on one that does not exist.
    After {
        /// Index of the step.
        step: usize,
        /// The invalid index in [`Step::after`].
        names: u16,
    },
    /// The length in bytes of a payload that is too long.
    Payload(usize),
    /// The size in bytes, as persisted, of a job that is too large.
    Size(usize),
}

impl fmt::Display for InvalidJob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Steps(n) => write!(f, "a job has 1 to {MAX_STEPS} steps, not {n}"),
            Self::Tasks { step, count } => write!(
                f,
                "step {step} has {count} tasks; 1 to {MAX_TASKS_PER_STEP} are allowed"
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
                    "the payload has {len} bytes; at most {MAX_PAYLOAD_BYTES} are allowed"
                )
            }
            Self::Size(len) => {
                write!(
                    f,
                    "the job takes {len} bytes; at most {MAX_SPEC_BYTES} are allowed"
                )
            }
        }
    }
}

impl std::error::Error for InvalidJob {}

impl TryFrom<RawJob> for JobSpec {
    type Error = InvalidJob;

    fn try_from(raw: RawJob) -> Result<Self, InvalidJob> {
        if raw.steps.is_empty() || raw.steps.len() > MAX_STEPS {
            return Err(InvalidJob::Steps(raw.steps.len()));
        }
        if raw.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(InvalidJob::Payload(raw.payload.len()));
        }
        for (at, step) in raw.steps.iter().enumerate() {
            if !(1..=MAX_TASKS_PER_STEP).contains(&step.count) {
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
        let spec = Self {
            payload: raw.payload,
            steps: raw.steps,
            schedule: raw.schedule.filter(|schedule| schedule.times > 0),
        };
        match serde_json::to_vec(&spec).map_or(usize::MAX, |bytes| bytes.len()) {
            len if len > MAX_SPEC_BYTES => Err(InvalidJob::Size(len)),
            _ => Ok(spec),
        }
    }
}

impl JobSpec {
    /// Number of times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Scheduled time of an occurrence, in Unix milliseconds; none without a schedule.
    pub fn due_unix_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.schedule?;
        let after_ms = u64::from(occurrence).saturating_mul(schedule.interval_ms);
        Some(schedule.first_unix_ms.saturating_add(after_ms))
    }

    /// Number of occurrences that are due; without a schedule the only one is.
    pub fn due_occurrences(&self, now_unix_ms: u64) -> u32 {
        let Some(schedule) = self.schedule else {
            return 1;
        };
        let Some(since_ms) = now_unix_ms.checked_sub(schedule.first_unix_ms) else {
            return 0;
        };
        let later = since_ms.checked_div(schedule.interval_ms);
        let due = later.map_or(u64::MAX, |later| later.saturating_add(1));
        due.min(u64::from(schedule.times)) as u32
    }

    /// For each step, the estimated work on the longest chain that starts with it, in milliseconds.
    pub fn chains_ms(&self) -> Vec<u64> {
        chains_ms(self.steps.iter().map(|s| (s.estimate_ms, &s.after[..])))
    }

    /// Estimated work on the longest chain of the whole job, in milliseconds.
    pub fn longest_chain_ms(&self) -> u64 {
        self.chains_ms().into_iter().max().unwrap_or_default()
    }
}

/// For each step, the estimated work on the longest chain that starts with it, in milliseconds. A
/// step is given by its own estimate and the indexes of the steps that it depends on. Computed from
/// the last step to the first, since the number of chains grows exponentially in graphs in which
/// many steps join.
pub fn chains_ms<'a>(
    steps: impl DoubleEndedIterator<Item = (u64, &'a [u16])> + ExactSizeIterator,
) -> Vec<u64> {
    let mut chains = vec![0; steps.len()];
    let mut rest = vec![0; steps.len()];
    for (at, (estimate_ms, after)) in steps.enumerate().rev() {
        chains[at] = estimate_ms.saturating_add(rest[at]);
        for before in after {
            let longest: &mut u64 = &mut rest[usize::from(*before)];
            *longest = (*longest).max(chains[at]);
        }
    }
    chains
}

impl QueueConfig {
    /// Longest time from submission to completion, in milliseconds, at which a job with this
    /// longest chain is on time.
    pub fn objective_ms(&self, chain_ms: u64) -> u64 {
        let stretched = u128::from(chain_ms) * u128::from(self.stretch_milli) / 1_000;
        let objective = stretched.saturating_add(u128::from(self.target_ms));
        u64::try_from(objective).map_or(MAX_OBJECTIVE_MS, |ms| ms.min(MAX_OBJECTIVE_MS))
    }
}
