//! Parses daemons' JSON log lines into events.
//!
//! Lines without an event of a job or of a shard's owner are skipped, and so is any text before a line's first
//! brace: log collectors put the host's name there.

use crate::sched::{
    event::RunId,
    job::{JobId, RunNumber, StepId, TaskId},
    shape::Shape,
};
use jiff::Timestamp;
use serde::Deserialize;
use serde_json::{Map, Value};

/// An event and the time at which it was logged.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Time by the daemon's clock, in Unix milliseconds.
    pub at_ms: i64,
    /// The event.
    pub what: Happening,
}

/// Outcome of one call that submits a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandIn {
    /// The job's acceptance is durable.
    Accepted,
    /// The call was refused, or its outcome is unknown.
    InVain,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunOver {
    /// The task completed its work.
    Done,
    /// The task failed.
    Failed,
    /// The owner ordered the run to stop.
    Stopped,
    /// The lease of the run lapsed, or its worker was lost.
    Lost,
    /// The order to start the run was refused or never sent.
    NotStarted,
}

/// Event of a job or of a shard's owner.
#[derive(Clone, Debug, PartialEq)]
pub enum Happening {
    /// A daemon answered a submission.
    HandedIn {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: String,
        /// The data centre of the daemon that answered.
        data_centre: String,
        /// Whether the job was accepted.
        outcome: HandIn,
        /// Time from receiving the call to answering it, in milliseconds.
        took_ms: i64,
    },
    /// A job's acceptance is durable.
    Accepted {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: String,
        /// The shard that accepted the job.
        shard: String,
        /// The job's steps, with their task counts and estimates.
        shape: Shape,
        /// Time from submission within which the job must end to be on time, in milliseconds.
        objective_ms: i64,
    },
    /// Tasks of a step wait because no host can take them.
    Waits {
        /// The step.
        step: StepId,
        /// The most frequent reason why hosts were ruled out, as logged.
        why: String,
    },
    /// An owner sent a worker the order to start a run.
    Ordered {
        /// The run.
        run: RunId,
        /// Time until the placement was durable, in milliseconds.
        waited_ms: i64,
        /// Time until the worker answered the order, in milliseconds.
        took_ms: i64,
        /// Fencing token of the shard's owner.
        token: u64,
    },
    /// A run ended.
    RunOver {
        /// The run.
        run: RunId,
        /// How the run ended.
        how: RunOver,
    },
    /// A job ended.
    JobOver {
        /// The job.
        job: JobId,
        /// Whether all tasks completed.
        is_completed: bool,
    },
    /// A daemon took over a shard.
    TakenOver {
        /// The shard.
        shard: String,
        /// Fencing token of the new owner.
        token: u64,
    },
    /// An owner has replayed the shard's journal and serves the shard.
    Recovered {
        /// The shard.
        shard: String,
        /// Fencing token of the owner.
        token: u64,
    },
    /// An owner gave up the shard or was replaced.
    ShardLost {
        /// The shard.
        shard: String,
        /// Fencing token of that owner.
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

/// Key-value fields of a log line.
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
        // A task id is its step's id followed by the task's index.
        let task: TaskId = format!("{}.0", self.text("step")?).parse().ok()?;
        Some(task.step_id())
    }
}

/// Parses a line; `None` if it is not a daemon's log line or its message is not one of the known events.
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

/// Parses a committed take-over. The line does not carry the owner's token, so the version that the commit returned
/// serves as the token.
fn taken_over(fields: &Fields) -> Option<Happening> {
    let version = fields.text("end")?.strip_prefix("Committed(")?;
    Some(Happening::TakenOver {
        shard: fields.owned("shard")?,
        token: version.trim_end_matches(')').parse().ok()?,
    })
}
