//! Parses daemons' JSON log lines into events.
//!
//! Lines without an event of a job or of a shard's owner are skipped, and so is any text before a
//! line's first brace: log collectors put the host's name there.

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
    pub event: LogEvent,
}

/// Outcome of one call that submits a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionOutcome {
    /// The job's acceptance is durable.
    Accepted,
    /// The call was refused, or its outcome is unknown.
    NotAccepted,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunOutcome {
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
pub enum LogEvent {
    /// A daemon answered a submission.
    Submitted {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: String,
        /// The data centre of the daemon that answered.
        data_centre: String,
        /// Whether the job was accepted.
        outcome: SubmissionOutcome,
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
    StepWaits {
        /// The step.
        step: StepId,
        /// The most frequent reason why hosts were ruled out, as logged.
        why: String,
    },
    /// An owner sent a worker the order to start a run.
    StartOrdered {
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
    RunEnded {
        /// The run.
        run: RunId,
        /// How the run ended.
        how: RunOutcome,
    },
    /// A job ended.
    JobEnded {
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

/// Parses a line; `None` if it is not a daemon's log line or its message is not one of the known
/// events.
pub fn read(raw: &str) -> Option<Line> {
    let at = raw.find('{')?;
    let wire: LineWire = serde_json::from_str(raw[at..].trim_end()).ok()?;
    Some(Line {
        at_ms: wire.timestamp.as_millisecond(),
        event: parse_event(&wire.message, &Fields(wire.kvs))?,
    })
}

fn parse_event(message: &str, fields: &Fields) -> Option<LogEvent> {
    match message {
        "job submitted" => submitted(fields),
        "job accepted" => accepted(fields),
        "step waits" => Some(LogEvent::StepWaits {
            step: fields.step()?,
            why: fields.owned("why")?,
        }),
        "start ordered" => Some(LogEvent::StartOrdered {
            run: fields.run()?,
            waited_ms: fields.millis("waited_ms"),
            took_ms: fields.millis("took_ms"),
            token: fields.number("token")?,
        }),
        "run ended" => Some(LogEvent::RunEnded {
            run: fields.run()?,
            how: match fields.text("how")? {
                "Done" => RunOutcome::Done,
                "Failed" => RunOutcome::Failed,
                "Lapsed" => RunOutcome::Lost,
                _ => RunOutcome::Stopped,
            },
        }),
        "run lost" => Some(LogEvent::RunEnded {
            run: fields.run()?,
            how: match fields.text("why")? {
                "NotStarted" => RunOutcome::NotStarted,
                _ => RunOutcome::Lost,
            },
        }),
        "job over" => Some(LogEvent::JobEnded {
            job: fields.job()?,
            is_completed: fields.text("phase")? == "Completed",
        }),
        "take-over tried" => taken_over(fields),
        "shard recovered" => Some(LogEvent::Recovered {
            shard: fields.owned("shard")?,
            token: fields.number("token")?,
        }),
        "shard is lost" => Some(LogEvent::ShardLost {
            shard: fields.owned("shard")?,
            token: fields.number("token")?,
        }),
        _ => None,
    }
}

fn submitted(fields: &Fields) -> Option<LogEvent> {
    Some(LogEvent::Submitted {
        job: fields.job()?,
        queue: fields.owned("queue")?,
        data_centre: fields.owned("data_centre").unwrap_or_default(),
        outcome: match fields.text("outcome")?.starts_with("Done") {
            true => SubmissionOutcome::Accepted,
            false => SubmissionOutcome::NotAccepted,
        },
        took_ms: fields.millis("took_ms"),
    })
}

fn accepted(fields: &Fields) -> Option<LogEvent> {
    Some(LogEvent::Accepted {
        job: fields.job()?,
        queue: fields.owned("queue")?,
        shard: fields.owned("shard")?,
        shape: fields.text("steps")?.parse().ok()?,
        objective_ms: fields.millis("objective_ms"),
    })
}

/// Parses a committed take-over. The line does not carry the owner's token, so the version that the
/// commit returned serves as the token.
fn taken_over(fields: &Fields) -> Option<LogEvent> {
    let version = fields.text("end")?.strip_prefix("Committed(")?;
    Some(LogEvent::TakenOver {
        shard: fields.owned("shard")?,
        token: version.trim_end_matches(')').parse().ok()?,
    })
}
