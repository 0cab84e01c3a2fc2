//! One log line of a daemon, read back into what it says.
//!
//! Lines that say nothing of a job or of a shard's owner are passed over, and so is what stands before a line's
//! first brace: collectors write the host's name there.

use crate::sched::{
    event::RunId,
    job::{JobId, RunNumber, StepId, TaskId},
    shape::Shape,
};
use jiff::Timestamp;
use serde::Deserialize;
use serde_json::{Map, Value};

/// What a line says, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The writer's time of day, in Unix milliseconds.
    pub at_ms: i64,
    /// What happened.
    pub what: Happening,
}

/// How a submission ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandIn {
    /// It is durable.
    Accepted,
    /// It was refused, or nobody knows.
    InVain,
}

/// How a run was over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunOver {
    /// Its work is done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped on an order.
    Stopped,
    /// Its lease ran out, or its worker is gone.
    Lost,
    /// Its start was refused, or never sent.
    NotStarted,
}

/// What a line tells of.
#[derive(Clone, Debug, PartialEq)]
pub enum Happening {
    /// A daemon answered a submission.
    HandedIn {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: String,
        /// The data centre of the daemon that was asked.
        data_centre: String,
        /// How it ended.
        outcome: HandIn,
        /// How long the caller waited, in milliseconds.
        took_ms: i64,
    },
    /// A job's acceptance is durable.
    Accepted {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: String,
        /// Its shard.
        shard: String,
        /// Its steps.
        shape: Shape,
        /// Time within which it is on time, in milliseconds.
        objective_ms: i64,
    },
    /// Tasks of a step find no place.
    Waits {
        /// The step.
        step: StepId,
        /// What refuses most of them.
        why: String,
    },
    /// A run was ordered.
    Ordered {
        /// The run.
        run: RunId,
        /// How long its placement took to be durable, in milliseconds.
        waited_ms: i64,
        /// How long the worker took to answer, in milliseconds.
        took_ms: i64,
        /// The owner's token.
        token: u64,
    },
    /// A run is over.
    RunOver {
        /// The run.
        run: RunId,
        /// How.
        how: RunOver,
    },
    /// A job is over.
    JobOver {
        /// The job.
        job: JobId,
        /// Whether every task is done.
        is_completed: bool,
    },
    /// A daemon took a shard over.
    TakenOver {
        /// The shard.
        shard: String,
        /// Its token.
        token: u64,
    },
    /// An owner has read the shard's journal.
    Recovered {
        /// The shard.
        shard: String,
        /// Its token.
        token: u64,
    },
    /// An owner has given the shard up or was replaced.
    ShardLost {
        /// The shard.
        shard: String,
        /// Its token.
        token: u64,
    },
}

#[derive(Deserialize)]
struct LineWire {
    timestamp: Timestamp,
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
}

/// The values beside a line's message.
struct Fields(Map<String, Value>);

impl Fields {
    fn text(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.as_str()
    }

    fn owned(&self, key: &str) -> Option<String> {
        self.text(key).map(str::to_owned)
    }

    fn number(&self, key: &str) -> Option<u64> {
        self.0.get(key)?.as_u64()
    }

    fn millis(&self, key: &str) -> i64 {
        let read = self.number(key).and_then(|n| i64::try_from(n).ok());
        read.unwrap_or_default()
    }

    fn job(&self) -> Option<JobId> {
        self.text("job")?.parse().ok()
    }

    fn run(&self) -> Option<RunId> {
        Some(RunId {
            task: self.text("task")?.parse().ok()?,
            run: RunNumber(u32::try_from(self.number("run")?).ok()?),
        })
    }

    fn step(&self) -> Option<StepId> {
        // A task's name is its step's name and its place there.
        let task: TaskId = format!("{}.0", self.text("step")?).parse().ok()?;
        Some(task.step_id())
    }
}

/// Reads a line; none where it says nothing of interest here, or is none of a daemon's.
pub fn read(raw: &str) -> Option<Line> {
    let at = raw.find('{')?;
    let wire: LineWire = serde_json::from_str(raw[at..].trim_end()).ok()?;
    Some(Line {
        at_ms: wire.timestamp.as_millisecond(),
        what: happening(&wire.message, &Fields(wire.kvs))?,
    })
}

fn happening(message: &str, fields: &Fields) -> Option<Happening> {
    match message {
        "job submitted" => submitted(fields),
        "job accepted" => accepted(fields),
        "step waits" => Some(Happening::Waits {
            step: fields.step()?,
            why: fields.owned("why")?,
        }),
        "start ordered" => Some(Happening::Ordered {
            run: fields.run()?,
            waited_ms: fields.millis("waited_ms"),
            took_ms: fields.millis("took_ms"),
            token: fields.number("token")?,
        }),
        "run ended" => Some(Happening::RunOver {
            run: fields.run()?,
            how: match fields.text("how")? {
                "Done" => RunOver::Done,
                "Failed" => RunOver::Failed,
                "Lapsed" => RunOver::Lost,
                _ => RunOver::Stopped,
            },
        }),
        "run lost" => Some(Happening::RunOver {
            run: fields.run()?,
            how: match fields.text("why")? {
                "NotStarted" => RunOver::NotStarted,
                _ => RunOver::Lost,
            },
        }),
        "job over" => Some(Happening::JobOver {
            job: fields.job()?,
            is_completed: fields.text("phase")? == "Completed",
        }),
        "take-over tried" => taken_over(fields),
        "shard recovered" => Some(Happening::Recovered {
            shard: fields.owned("shard")?,
            token: fields.number("token")?,
        }),
        "shard is lost" => Some(Happening::ShardLost {
            shard: fields.owned("shard")?,
            token: fields.number("token")?,
        }),
        _ => None,
    }
}

fn submitted(fields: &Fields) -> Option<Happening> {
    Some(Happening::HandedIn {
        job: fields.job()?,
        queue: fields.owned("queue")?,
        data_centre: fields.owned("data_centre").unwrap_or_default(),
        outcome: match fields.text("outcome")?.starts_with("Done") {
            true => HandIn::Accepted,
            false => HandIn::InVain,
        },
        took_ms: fields.millis("took_ms"),
    })
}

fn accepted(fields: &Fields) -> Option<Happening> {
    Some(Happening::Accepted {
        job: fields.job()?,
        queue: fields.owned("queue")?,
        shard: fields.owned("shard")?,
        shape: fields.text("steps")?.parse().ok()?,
        objective_ms: fields.millis("objective_ms"),
    })
}

/// A take-over that took effect; its token is not known before it is read back, so it is the write's version.
fn taken_over(fields: &Fields) -> Option<Happening> {
    let version = fields.text("end")?.strip_prefix("Committed(")?;
    Some(Happening::TakenOver {
        shard: fields.owned("shard")?,
        token: version.trim_end_matches(')').parse().ok()?,
    })
}
