//! A job's critical path, divided into spans by what the time was spent on.
//!
//! A job ends with its last task, and a task can't start before the last task of the preceding
//! steps is done. Followed back from the end, this gives one chain of tasks; delays of other tasks
//! did not affect the job's end. Spans of the chain don't overlap: the job was not accepted yet,
//! its shard had no owner, the task waited for placement, it ran, or it ran without completing and
//! had to run again.

use super::{
    log_line::RunOutcome,
    trace::{JobTrace, RunSpan, Service, Traces, done_at},
};
use crate::sched::{
    job::{JobId, StepId, TaskId},
    shape::{Shape, StepShape},
};
use serde::Serialize;
use std::fmt;

/// What a span of time was spent on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Spent {
    /// The job was not accepted yet: calls were refused, unanswered or in flight.
    #[serde(rename = "hand_in")]
    Submission,
    /// The shard had no owner.
    NoOwner,
    /// The shard's owner was replaying the journal.
    Recovering,
    /// The task waited for placement. Holds the logged reason, or `dispatch` if none was logged
    /// before it was placed.
    Place(String),
    /// The task was placed, but its placement was not durable yet.
    Journal,
    /// The order to start the task was in flight.
    Order,
    /// The task ran, within its estimated duration.
    Run,
    /// The task ran beyond its estimated duration.
    #[serde(rename = "beyond")]
    Overrun,
    /// The task was in a run that failed.
    Failed,
    /// The task was in a run that was stopped; saved progress is kept.
    Stopped,
    /// The task was in a run whose lease lapsed or whose worker was lost.
    Lost,
    /// The order to start the task was refused or never sent.
    NotStarted,
}

impl fmt::Display for Spent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Submission => f.write_str("not accepted yet"),
            Self::NoOwner => f.write_str("no owner"),
            Self::Recovering => f.write_str("owner recovering"),
            Self::Place(why) => write!(f, "waiting for placement: {why}"),
            Self::Journal => f.write_str("journal"),
            Self::Order => f.write_str("order in flight"),
            Self::Run => f.write_str("running"),
            Self::Overrun => f.write_str("running beyond the estimate"),
            Self::Failed => f.write_str("a run that failed"),
            Self::Stopped => f.write_str("a run that was stopped"),
            Self::Lost => f.write_str("a run that was lost"),
            Self::NotStarted => f.write_str("a start that was refused"),
        }
    }
}

/// A span of time with what it was spent on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Span {
    /// Start, in Unix milliseconds.
    pub from_ms: i64,
    /// End (exclusive), in Unix milliseconds.
    pub to_ms: i64,
    /// What the time was spent on.
    pub spent: Spent,
    /// The task on the critical path; `None` before the job was accepted.
    pub task: Option<String>,
}

/// The critical path of a job's first occurrence, in order of time; `None` if the log line of its
/// acceptance is missing. The path of a job that has not ended reaches up to the last log line.
pub fn critical(id: JobId, trace: &JobTrace, traces: &Traces) -> Option<Vec<Span>> {
    let (shape, accepted_ms) = (trace.shape.as_ref()?, trace.accepted_ms?);
    let mut upto = end_ms(trace, traces);
    let mut spans = Vec::new();
    let mut next = last_task(id, trace, shape);
    while let Some(task) = next {
        let before = last_preceding(&task, trace, &shape.0[usize::from(task.step)]);
        let ready_ms = before.map_or(accepted_ms, |(at, _)| at).min(upto);
        spans.extend(task_spans(&task, trace, traces, ready_ms, upto));
        upto = ready_ms;
        next = before.map(|(_, task)| task);
    }
    spans.extend(span(
        trace.sent_ms.unwrap_or(accepted_ms),
        accepted_ms,
        Spent::Submission,
        None,
    ));
    spans.sort_by_key(|span| span.from_ms);
    Some(spans)
}

/// Spans of every task of a long-running job, in no particular order.
pub fn all_tasks(id: JobId, trace: &JobTrace, traces: &Traces) -> Vec<Span> {
    let (Some(shape), Some(accepted_ms)) = (&trace.shape, trace.accepted_ms) else {
        return Vec::new();
    };
    let upto = end_ms(trace, traces);
    let steps = (0..).zip(&shape.0);
    let tasks = steps.flat_map(|(step, shape)| (0..shape.count).map(move |at| task(id, step, at)));
    tasks
        .flat_map(|task| task_spans(&task, trace, traces, accepted_ms, upto))
        .collect()
}

fn end_ms(trace: &JobTrace, traces: &Traces) -> i64 {
    trace.ended.map_or(traces.last_ms, |(at, _)| at)
}

fn task(job: JobId, step: u16, index: u32) -> TaskId {
    TaskId {
        job,
        occurrence: 0,
        step,
        index,
    }
}

/// The task that determines the job's end: the last to complete, or the first incomplete one if the
/// job did not complete.
fn last_task(id: JobId, trace: &JobTrace, shape: &Shape) -> Option<TaskId> {
    let is_first = |(task, _): &(&TaskId, &Vec<RunSpan>)| task.occurrence == 0;
    let first_occurrence = trace.runs.iter().filter(is_first);
    let done = first_occurrence.filter_map(|(task, spans)| Some((done_at(spans)?, *task)));
    let is_completed = trace.ended.is_some_and(|(_, is_completed)| is_completed);
    if is_completed {
        return done.max().map(|(_, task)| task);
    }
    let open = (0..)
        .zip(&shape.0)
        .find(|(step, _)| trace.done_ms(0, *step).is_none());
    let (step, shape) = open?;
    let is_open = |index: &u32| {
        let spans = trace.runs.get(&task(id, step, *index));
        spans.and_then(|spans| done_at(spans)).is_none()
    };
    let index = (0..shape.count).find(is_open).unwrap_or_default();
    Some(task(id, step, index))
}

/// The last task to complete among the preceding steps of a task's step, with its completion time.
fn last_preceding(task: &TaskId, trace: &JobTrace, shape: &StepShape) -> Option<(i64, TaskId)> {
    let is_before = |(other, _): &(&TaskId, &Vec<RunSpan>)| {
        other.occurrence == task.occurrence && shape.after.contains(&other.step)
    };
    let before = trace.runs.iter().filter(is_before);
    let done = before.filter_map(|(other, spans)| Some((done_at(spans)?, *other)));
    done.max()
}

fn span(from_ms: i64, to_ms: i64, spent: Spent, task: Option<&TaskId>) -> Option<Span> {
    (from_ms < to_ms).then(|| Span {
        from_ms,
        to_ms,
        spent,
        task: task.map(ToString::to_string),
    })
}

/// Spans of one task from `ready_ms`, when it could start, to `upto_ms`.
fn task_spans(
    task: &TaskId,
    trace: &JobTrace,
    traces: &Traces,
    ready_ms: i64,
    upto_ms: i64,
) -> Vec<Span> {
    let none = Vec::new();
    let runs = trace.runs.get(task).unwrap_or(&none);
    let mut spans = Vec::new();
    let mut at = ready_ms;
    for (index, run) in runs.iter().enumerate() {
        if at >= upto_ms {
            break;
        }
        let within = |ms: i64| ms.clamp(at, upto_ms);
        let (placed, sent) = (within(run.placed_ms), within(run.sent_ms));
        let answered = within(run.answered_ms);
        // If the owner ended during the run, no line logs the run's end: it is taken as lost when
        // the next is placed.
        let next_ms = runs
            .get(index + 1)
            .map(|next| (next.placed_ms, RunOutcome::Lost));
        let ended = run.ended.or(next_ms);
        let ended_ms = within(ended.map_or(upto_ms, |(at, _)| at));
        spans.extend(wait_spans(task, trace, traces, at, placed));
        spans.extend(span(placed, sent, Spent::Journal, Some(task)));
        spans.extend(span(sent, answered, Spent::Order, Some(task)));
        spans.extend(run_spans(
            task,
            trace,
            (answered, ended_ms),
            ended.map(|(_, how)| how),
        ));
        at = ended_ms;
    }
    spans.extend(wait_spans(task, trace, traces, at, upto_ms));
    spans
}

fn run_spans(
    task: &TaskId,
    trace: &JobTrace,
    (from_ms, to_ms): (i64, i64),
    how: Option<RunOutcome>,
) -> Vec<Span> {
    let shape = trace.shape.as_ref();
    let shape = shape.and_then(|shape| shape.0.get(usize::from(task.step)));
    let is_long_running = shape.is_some_and(|shape| shape.is_long_running);
    let wasted = match how {
        _ if is_long_running => None,
        None | Some(RunOutcome::Done) => None,
        Some(RunOutcome::Failed) => Some(Spent::Failed),
        Some(RunOutcome::Stopped) => Some(Spent::Stopped),
        Some(RunOutcome::Lost) => Some(Spent::Lost),
        Some(RunOutcome::NotStarted) => Some(Spent::NotStarted),
    };
    if let Some(spent) = wasted {
        return span(from_ms, to_ms, spent, Some(task))
            .into_iter()
            .collect();
    }
    let estimate_ms = shape.map_or(0, |shape| shape.estimate_ms);
    let estimated = match is_long_running {
        true => to_ms,
        false => from_ms.saturating_add_unsigned(estimate_ms).min(to_ms),
    };
    let parts = [
        span(from_ms, estimated, Spent::Run, Some(task)),
        span(estimated, to_ms, Spent::Overrun, Some(task)),
    ];
    parts.into_iter().flatten().collect()
}

/// Splits the time that a task waited for placement by the shard's service state.
fn wait_spans(
    task: &TaskId,
    trace: &JobTrace,
    traces: &Traces,
    from_ms: i64,
    to_ms: i64,
) -> Vec<Span> {
    let changes = traces.shards.get(&trace.shard);
    let changes = changes.map_or(&[][..], |history| &history.changes[..]);
    let mut spans = Vec::new();
    let mut at = from_ms;
    for (start, end, service) in service_intervals(changes) {
        let (start, end) = (start.clamp(at, to_ms.max(at)), end.clamp(at, to_ms.max(at)));
        if start == end {
            continue;
        }
        spans.extend(span(at, start, wait_reason(task, trace, start), Some(task)));
        let spent = match service {
            Service::NoOwner => Spent::NoOwner,
            Service::Recovering => Spent::Recovering,
            Service::Serving => wait_reason(task, trace, end),
        };
        spans.extend(span(start, end, spent, Some(task)));
        at = end;
    }
    spans.extend(span(at, to_ms, wait_reason(task, trace, to_ms), Some(task)));
    spans
}

fn service_intervals(changes: &[(i64, Service)]) -> impl Iterator<Item = (i64, i64, Service)> {
    let ends = changes.iter().skip(1).map(|(at, _)| *at).chain([i64::MAX]);
    let spans = changes.iter().zip(ends);
    spans.map(|((start, service), end)| (*start, end, *service))
}

/// The reason for which a task's step waited, as last logged before `before_ms`.
fn wait_reason(task: &TaskId, trace: &JobTrace, before_ms: i64) -> Spent {
    let step: StepId = task.step_id();
    let waits = trace.waits.iter().rev();
    let mut waits = waits.filter(|wait| wait.step == step && wait.from_ms < before_ms);
    let why = waits.next().map_or("dispatch", |wait| wait.why.as_str());
    Spent::Place(why.to_owned())
}
