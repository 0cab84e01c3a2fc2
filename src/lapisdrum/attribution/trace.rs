//! Events of all daemons' logs, grouped by job and by shard.

use super::log_line::{Line, LogEvent, RunOutcome, SubmissionOutcome};
use crate::sched::{
    event::RunId,
    job::{JobId, RunNumber, StepId, TaskId},
    shape::Shape,
};
use indexmap::IndexMap;
use std::collections::BTreeMap;

/// One run of a task; times in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunSpan {
    /// Number of the run among the task's runs.
    pub run: RunNumber,
    /// Time of the placement.
    pub placed_ms: i64,
    /// Time at which the start order was sent.
    pub sent_ms: i64,
    /// Time at which the worker answered the start order.
    pub answered_ms: i64,
    /// Time and manner of the run's end; `None` while it runs.
    pub ended: Option<(i64, RunOutcome)>,
}

/// A logged reason for which tasks of a step wait for placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wait {
    /// The step.
    pub step: StepId,
    /// Time of the log line, in Unix milliseconds.
    pub from_ms: i64,
    /// Reason for the wait.
    pub why: String,
}

/// Everything logged about one job; times in Unix milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobTrace {
    /// Its queue.
    pub queue: String,
    /// Data centre at which it was submitted.
    pub data_centre: String,
    /// Shard that accepted it.
    pub shard: String,
    /// Time at which the first call to submit it started.
    pub sent_ms: Option<i64>,
    /// Time at which it was accepted.
    pub accepted_ms: Option<i64>,
    /// Its steps; `None` if the log line of its acceptance is missing.
    pub shape: Option<Shape>,
    /// Time from submission within which it must end to be on time, in milliseconds.
    pub objective_ms: i64,
    /// Time of the job's end, and whether all tasks completed; `None` until then.
    pub ended: Option<(i64, bool)>,
    /// Runs of each task, ordered by run number.
    pub runs: BTreeMap<TaskId, Vec<RunSpan>>,
    /// Waits of its steps for placement, in order of time.
    pub waits: Vec<Wait>,
}

/// Service state of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// The shard has no owner.
    NoOwner,
    /// The owner is replaying the journal.
    Recovering,
    /// The owner accepts and places jobs.
    Serving,
}

/// Changes of a shard's service state over time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceHistory {
    /// Time of each change, in Unix milliseconds, and the new state; in order of time.
    pub changes: Vec<(i64, Service)>,
    /// Fencing token of the latest owner.
    token: u64,
    /// Time of that owner's last logged start order, or of its take-over before the first, in Unix
    /// milliseconds.
    last_order_ms: i64,
}

/// Traces of all jobs and service histories of all shards.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Traces {
    /// Jobs by id, in the order of their first log line.
    pub jobs: IndexMap<JobId, JobTrace>,
    /// Shards by name.
    pub shards: IndexMap<String, ServiceHistory>,
    /// The last line's time, in Unix milliseconds.
    pub last_ms: i64,
}

impl Traces {
    /// Builds the traces from log lines in any order.
    pub fn gather(lines: impl IntoIterator<Item = Line>) -> Self {
        let mut lines: Vec<Line> = lines.into_iter().collect();
        lines.sort_by_key(|line| line.at_ms);
        let mut traces = Self::default();
        for line in lines {
            traces.last_ms = line.at_ms;
            traces.note(line.at_ms, line.event);
        }
        traces
    }

    fn note(&mut self, at_ms: i64, event: LogEvent) {
        match event {
            LogEvent::Submitted { job, .. } | LogEvent::Accepted { job, .. } => {
                self.jobs
                    .entry(job)
                    .or_default()
                    .note_submission(at_ms, event);
            }
            LogEvent::StepWaits { step, why } => {
                let trace = self.jobs.entry(step.job).or_default();
                let from_ms = at_ms;
                trace.waits.push(Wait { step, from_ms, why });
            }
            LogEvent::StartOrdered { run, token, .. } => {
                let trace = self.jobs.entry(run.task.job).or_default();
                trace.note_ordered(at_ms, &event);
                for history in self.shards.values_mut().filter(|h| h.token == token) {
                    history.last_order_ms = at_ms;
                }
            }
            LogEvent::RunEnded { run, how } => {
                let trace = self.jobs.entry(run.task.job).or_default();
                trace.end_run(run, at_ms, how);
            }
            LogEvent::JobEnded { job, is_completed } => {
                let trace = self.jobs.entry(job).or_default();
                trace.ended = trace.ended.or(Some((at_ms, is_completed)));
            }
            LogEvent::TakenOver { shard, token } => {
                self.service_history(shard).taken_over(at_ms, token)
            }
            LogEvent::Recovered { shard, token } => {
                self.service_history(shard).recovered(at_ms, token)
            }
            LogEvent::ShardLost { shard, token } => self.service_history(shard).lost(at_ms, token),
        }
    }

    fn service_history(&mut self, shard: String) -> &mut ServiceHistory {
        self.shards.entry(shard).or_default()
    }
}

impl JobTrace {
    /// Records a submission or an acceptance; ignores other events.
    fn note_submission(&mut self, at_ms: i64, event: LogEvent) {
        match event {
            LogEvent::Submitted {
                queue,
                data_centre,
                outcome,
                took_ms,
                ..
            } => {
                self.queue = queue;
                self.data_centre = data_centre;
                self.sent_ms = self.sent_ms.or(Some(at_ms - took_ms));
                if outcome == SubmissionOutcome::Accepted {
                    self.accepted_ms = self.accepted_ms.or(Some(at_ms));
                }
            }
            LogEvent::Accepted {
                queue,
                shard,
                shape,
                objective_ms,
                ..
            } => {
                self.queue = queue;
                self.shard = shard;
                self.shape = Some(shape);
                self.objective_ms = objective_ms;
                self.accepted_ms = Some(at_ms);
            }
            _ => {}
        }
    }

    fn note_ordered(&mut self, at_ms: i64, event: &LogEvent) {
        let LogEvent::StartOrdered {
            run,
            waited_ms,
            took_ms,
            ..
        } = event
        else {
            return;
        };
        let span = RunSpan {
            run: run.run,
            placed_ms: at_ms - took_ms - waited_ms,
            sent_ms: at_ms - took_ms,
            answered_ms: at_ms,
            ended: None,
        };
        let spans = self.runs.entry(run.task).or_default();
        spans.push(span);
        spans.sort_by_key(|span| span.run);
    }

    /// Records the end of a run. Only the first end counts: a run that was given up may be reported
    /// again later.
    fn end_run(&mut self, run: RunId, at_ms: i64, how: RunOutcome) {
        let spans = self.runs.entry(run.task).or_default();
        let known = spans.iter_mut().find(|span| span.run == run.run);
        if let Some(span) = known {
            span.ended = span.ended.or(Some((at_ms, how)));
        }
    }

    /// Time at which a step's last task completed; `None` while a task is incomplete.
    pub fn done_ms(&self, occurrence: u32, step: u16) -> Option<i64> {
        let shape = self.shape.as_ref()?.0.get(usize::from(step))?;
        let of_step = self.runs.iter();
        let of_step = of_step.filter(|(t, _)| t.occurrence == occurrence && t.step == step);
        let done = of_step.filter_map(|(_, spans)| done_at(spans));
        let done: Vec<i64> = done.collect();
        (done.len() == shape.count as usize).then(|| done.into_iter().max())?
    }
}

/// Time at which a task first completed, in Unix milliseconds.
pub fn done_at(spans: &[RunSpan]) -> Option<i64> {
    let done = spans.iter().filter_map(|span| span.ended);
    let done = done.filter(|(_, how)| *how == RunOutcome::Done);
    done.map(|(at, _)| at).min()
}

impl ServiceHistory {
    fn taken_over(&mut self, at_ms: i64, token: u64) {
        let last_state = self.changes.last().map(|(_, service)| *service);
        // A killed owner does not log its end, so it is taken to have served until its last start
        // order.
        if last_state == Some(Service::Serving) {
            self.changes.push((self.last_order_ms, Service::NoOwner));
        }
        self.token = token;
        self.last_order_ms = at_ms;
        self.changes.push((at_ms, Service::Recovering));
    }

    fn lost(&mut self, at_ms: i64, token: u64) {
        if self.token == token {
            self.changes.push((at_ms, Service::NoOwner));
        }
    }

    fn recovered(&mut self, at_ms: i64, token: u64) {
        // The take-over's line may be missing or carry an earlier version.
        if token < self.token {
            return;
        }
        self.token = token;
        self.changes.push((at_ms, Service::Serving));
    }
}
