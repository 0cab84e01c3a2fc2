//! A job's critical path, divided into spans by what the time was spent on.
//!
//! A job ends with its last task, and a task can't start before the last task of the preceding steps is done.
//! Followed back from the end, this gives one chain of tasks; delays of other tasks did not affect the job's end.
//! Spans of the chain don't overlap: the job was not accepted yet, its shard had no owner, the task waited for
//! placement, it ran, or it ran without completing and had to run again.

use super::{
    line::RunOver,
    story::{RunSpan, Service, Stories, Story, done_at},
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
    HandIn,
    /// The shard had no owner.
    NoOwner,
    /// The shard's owner was replaying the journal.
    Recovering,
    /// The task waited for placement. Holds the logged reason, or `dispatch` if none was logged before it was placed.
    Place(String),
    /// The task was placed, but its placement was not durable yet.
    Journal,
    /// The order to start the task was in flight.
    Order,
    /// The task ran, within its estimated duration.
    Run,
    /// The task ran beyond its estimated duration.
    Beyond,
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
            Self::HandIn => f.write_str("not accepted yet"),
            Self::NoOwner => f.write_str("no owner"),
            Self::Recovering => f.write_str("owner recovering"),
            Self::Place(why) => write!(f, "waiting for a place: {why}"),
            Self::Journal => f.write_str("journal"),
            Self::Order => f.write_str("order under way"),
            Self::Run => f.write_str("running"),
            Self::Beyond => f.write_str("running beyond the estimate"),
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

/// The critical path of a job's first occurrence, in order of time; `None` if the log line of its acceptance is
/// missing. The path of a job that has not ended reaches up to the last log line.
pub fn critical(id: JobId, story: &Story, stories: &Stories) -> Option<Vec<Span>> {
    let (shape, accepted_ms) = (story.shape.as_ref()?, story.accepted_ms?);
    let mut upto = end_ms(story, stories);
    let mut spans = Vec::new();
    let mut next = last_task(id, story, shape);
    while let Some(task) = next {
        let before = last_before(&task, story, &shape.0[usize::from(task.step)]);
        let ready_ms = before.map_or(accepted_ms, |(at, _)| at).min(upto);
        spans.extend(of_task(&task, story, stories, ready_ms, upto));
        upto = ready_ms;
        next = before.map(|(_, task)| task);
    }
    spans.extend(span(
        story.sent_ms.unwrap_or(accepted_ms),
        accepted_ms,
        Spent::HandIn,
        None,
    ));
    spans.sort_by_key(|span| span.from_ms);
    Some(spans)
}

/// Spans of every task of a long-running job, in no particular order.
pub fn all_tasks(id: JobId, story: &Story, stories: &Stories) -> Vec<Span> {
    let (Some(shape), Some(accepted_ms)) = (&story.shape, story.accepted_ms) else {
        return Vec::new();
    };
    let upto = end_ms(story, stories);
    let steps = (0..).zip(&shape.0);
    let tasks = steps.flat_map(|(step, of)| (0..of.count).map(move |at| task(id, step, at)));
    tasks
        .flat_map(|task| of_task(&task, story, stories, accepted_ms, upto))
        .collect()
}

fn end_ms(story: &Story, stories: &Stories) -> i64 {
    story.over.map_or(stories.last_ms, |(at, _)| at)
}

fn task(job: JobId, step: u16, index: u32) -> TaskId {
    TaskId {
        job,
        occurrence: 0,
        step,
        index,
    }
}

/// The task that determines the job's end: the last to complete, or the first incomplete one of an unfinished job.
fn last_task(id: JobId, story: &Story, shape: &Shape) -> Option<TaskId> {
    let is_first = |(task, _): &(&TaskId, &Vec<RunSpan>)| task.occurrence == 0;
    let of_first = story.runs.iter().filter(is_first);
    let done = of_first.filter_map(|(task, spans)| Some((done_at(spans)?, *task)));
    let is_completed = story.over.is_some_and(|(_, is_completed)| is_completed);
    if is_completed {
        return done.max().map(|(_, task)| task);
    }
    let open = (0..)
        .zip(&shape.0)
        .find(|(step, _)| story.done_ms(0, *step).is_none());
    let (step, of) = open?;
    let is_open = |index: &u32| {
        let spans = story.runs.get(&task(id, step, *index));
        spans.and_then(|spans| done_at(spans)).is_none()
    };
    let index = (0..of.count).find(is_open).unwrap_or_default();
    Some(task(id, step, index))
}

/// The last task to complete among the preceding steps of a task's step, with its completion time.
fn last_before(task: &TaskId, story: &Story, of: &StepShape) -> Option<(i64, TaskId)> {
    let is_before = |(other, _): &(&TaskId, &Vec<RunSpan>)| {
        other.occurrence == task.occurrence && of.after.contains(&other.step)
    };
    let before = story.runs.iter().filter(is_before);
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
fn of_task(
    task: &TaskId,
    story: &Story,
    stories: &Stories,
    ready_ms: i64,
    upto_ms: i64,
) -> Vec<Span> {
    let none = Vec::new();
    let runs = story.runs.get(task).unwrap_or(&none);
    let mut spans = Vec::new();
    let mut at = ready_ms;
    for (place, run) in runs.iter().enumerate() {
        if at >= upto_ms {
            break;
        }
        let within = |ms: i64| ms.clamp(at, upto_ms);
        let (placed, sent) = (within(run.placed_ms), within(run.sent_ms));
        let answered = within(run.answered_ms);
        // If the owner ended during the run, no line logs the run's end: it is taken as lost when the next is placed.
        let next_ms = runs
            .get(place + 1)
            .map(|next| (next.placed_ms, RunOver::Lost));
        let over = run.over.or(next_ms);
        let over_ms = within(over.map_or(upto_ms, |(at, _)| at));
        spans.extend(waiting(task, story, stories, at, placed));
        spans.extend(span(placed, sent, Spent::Journal, Some(task)));
        spans.extend(span(sent, answered, Spent::Order, Some(task)));
        spans.extend(ran(
            task,
            story,
            (answered, over_ms),
            over.map(|(_, how)| how),
        ));
        at = over_ms;
    }
    spans.extend(waiting(task, story, stories, at, upto_ms));
    spans
}

fn ran(
    task: &TaskId,
    story: &Story,
    (from_ms, to_ms): (i64, i64),
    how: Option<RunOver>,
) -> Vec<Span> {
    let of = story.shape.as_ref();
    let of = of.and_then(|shape| shape.0.get(usize::from(task.step)));
    let is_long_running = of.is_some_and(|of| of.is_long_running);
    let in_vain = match how {
        _ if is_long_running => None,
        None | Some(RunOver::Done) => None,
        Some(RunOver::Failed) => Some(Spent::Failed),
        Some(RunOver::Stopped) => Some(Spent::Stopped),
        Some(RunOver::Lost) => Some(Spent::Lost),
        Some(RunOver::NotStarted) => Some(Spent::NotStarted),
    };
    if let Some(spent) = in_vain {
        return span(from_ms, to_ms, spent, Some(task))
            .into_iter()
            .collect();
    }
    let estimate_ms = of.map_or(0, |of| of.estimate_ms);
    let estimated = match is_long_running {
        true => to_ms,
        false => from_ms.saturating_add_unsigned(estimate_ms).min(to_ms),
    };
    let parts = [
        span(from_ms, estimated, Spent::Run, Some(task)),
        span(estimated, to_ms, Spent::Beyond, Some(task)),
    ];
    parts.into_iter().flatten().collect()
}

/// Splits the time that a task waited for placement by the shard's service state.
fn waiting(task: &TaskId, story: &Story, stories: &Stories, from_ms: i64, to_ms: i64) -> Vec<Span> {
    let changes = stories.shards.get(&story.shard);
    let changes = changes.map_or(&[][..], |line| &line.changes[..]);
    let mut spans = Vec::new();
    let mut at = from_ms;
    for (begin, end, service) in services(changes) {
        let (begin, end) = (begin.clamp(at, to_ms.max(at)), end.clamp(at, to_ms.max(at)));
        if begin == end {
            continue;
        }
        spans.extend(span(at, begin, refused(task, story, begin), Some(task)));
        let spent = match service {
            Service::NoOwner => Spent::NoOwner,
            Service::Recovering => Spent::Recovering,
            Service::Serving => refused(task, story, end),
        };
        spans.extend(span(begin, end, spent, Some(task)));
        at = end;
    }
    spans.extend(span(at, to_ms, refused(task, story, to_ms), Some(task)));
    spans
}

fn services(changes: &[(i64, Service)]) -> impl Iterator<Item = (i64, i64, Service)> {
    let ends = changes.iter().skip(1).map(|(at, _)| *at).chain([i64::MAX]);
    let spans = changes.iter().zip(ends);
    spans.map(|((begin, service), end)| (*begin, end, *service))
}

/// The reason for which a task's step waited, as last logged before `before_ms`.
fn refused(task: &TaskId, story: &Story, before_ms: i64) -> Spent {
    let step: StepId = task.step_id();
    let said = story.waits.iter().rev();
    let mut said = said.filter(|wait| wait.step == step && wait.from_ms < before_ms);
    let why = said.next().map_or("dispatch", |wait| wait.why.as_str());
    Spent::Place(why.to_owned())
}
