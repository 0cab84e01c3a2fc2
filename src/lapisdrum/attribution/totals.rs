//! Sums the time of many jobs by entry, data centre or second of submission.

use super::{
    path::{self, Spent},
    trace::{JobTrace, Traces},
};
use crate::sched::job::JobId;
use indexmap::IndexMap;
use serde::Serialize;
use std::{cmp::Reverse, fmt};

/// A job that takes longer than this multiple of its objective counts as missed instead of late.
const LATE_FACTOR: i64 = 3;

/// What jobs are grouped by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    /// Catalogue entry, which is the queue's name in the log lines.
    Entry,
    /// Data centre at which the job was submitted.
    DataCentre,
    /// Second of submission, counted from the first submission in the logs.
    Second,
}

/// Whether a job met its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Completed within its objective.
    OnTime,
    /// Completed within three times its objective.
    Late,
    /// Completed later than that, or past its objective and not ended by the last log line.
    Missed,
    /// Not counted: failed, cancelled, or not ended and no older than its objective.
    Open,
}

/// Sums over the jobs of one group; times in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Row {
    /// Name of the entry or data centre, or the second.
    pub group: String,
    /// Accepted jobs.
    pub jobs: u64,
    /// Batch jobs that completed within their objective.
    pub on_time: u64,
    /// Batch jobs that completed within three times their objective.
    pub late: u64,
    /// Batch jobs that completed later, or exceeded their objective without having ended.
    pub missed: u64,
    /// Submitted jobs that were never accepted.
    pub never_accepted: u64,
    /// Sum of the jobs' estimated durations along their longest chain of steps, without any
    /// waiting.
    pub chain_ms: u64,
    /// Time on the critical paths by what it was spent on, largest first.
    pub spent: Vec<(Spent, i64)>,
    /// Time for which long-running tasks should have run.
    #[serde(rename = "lasting_ms")]
    pub long_running_ms: i64,
    /// Part of that time in which they did not run, by what it was spent on, largest first.
    #[serde(rename = "lasting_away")]
    pub long_running_unavailable: Vec<(Spent, i64)>,
}

/// Whether a job met its objective, as of the last log line.
pub fn outcome(trace: &JobTrace, traces: &Traces) -> Outcome {
    let Some(sent_ms) = trace.sent_ms.or(trace.accepted_ms) else {
        return Outcome::Open;
    };
    let is_completed = match trace.ended {
        Some((_, false)) => return Outcome::Open,
        Some((_, true)) => true,
        None => false,
    };
    let end_ms = trace.ended.map_or(traces.last_ms, |(at, _)| at);
    let objective_ms = trace.objective_ms.max(1);
    match (is_completed, end_ms - sent_ms) {
        (true, took) if took <= objective_ms => Outcome::OnTime,
        (true, took) if took <= objective_ms * LATE_FACTOR => Outcome::Late,
        (false, took) if took <= objective_ms => Outcome::Open,
        _ => Outcome::Missed,
    }
}

/// Sums all jobs by group; the rows are sorted by group name.
pub fn sum(traces: &Traces, by: By) -> Vec<Row> {
    let first_ms = traces.jobs.values().filter_map(|trace| trace.sent_ms).min();
    let mut rows: IndexMap<String, Row> = IndexMap::new();
    for (id, trace) in &traces.jobs {
        let Some(group) = group(trace, by, first_ms.unwrap_or_default()) else {
            continue;
        };
        let row = rows.entry(group.clone()).or_insert_with(|| Row {
            group,
            ..Row::default()
        });
        if trace.shape.is_none() {
            row.never_accepted += u64::from(trace.accepted_ms.is_none());
            continue;
        }
        row.add(*id, trace, traces);
    }
    let mut rows: Vec<Row> = rows.into_values().collect();
    rows.sort_by(|a, b| a.group.cmp(&b.group));
    rows
}

fn group(trace: &JobTrace, by: By, first_ms: i64) -> Option<String> {
    match by {
        By::Entry => Some(trace.queue.clone()),
        By::DataCentre => Some(trace.data_centre.clone()),
        By::Second => {
            let since_ms = trace.sent_ms? - first_ms;
            Some(format!("{:>5} s", since_ms / 1_000))
        }
    }
}

impl Row {
    fn add(&mut self, id: JobId, trace: &JobTrace, traces: &Traces) {
        let shape = trace.shape.as_ref();
        let is_long_running =
            shape.is_some_and(|shape| shape.0.iter().any(|step| step.is_long_running));
        self.jobs += 1;
        if is_long_running {
            for span in path::all_tasks(id, trace, traces) {
                let took = span.to_ms - span.from_ms;
                self.long_running_ms += took;
                if !matches!(span.spent, Spent::Run) {
                    add(&mut self.long_running_unavailable, span.spent, took);
                }
            }
            return;
        }
        match outcome(trace, traces) {
            Outcome::OnTime => self.on_time += 1,
            Outcome::Late => self.late += 1,
            Outcome::Missed => self.missed += 1,
            Outcome::Open => {}
        }
        self.chain_ms += shape.map_or(0, |shape| shape.longest_chain_ms());
        for span in path::critical(id, trace, traces).unwrap_or_default() {
            add(&mut self.spent, span.spent, span.to_ms - span.from_ms);
        }
    }
}

fn add(sums: &mut Vec<(Spent, i64)>, spent: Spent, ms: i64) {
    match sums.iter_mut().find(|(known, _)| *known == spent) {
        Some((_, sum)) => *sum += ms,
        None => sums.push((spent, ms)),
    }
    sums.sort_by_key(|(_, sum)| Reverse(*sum));
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} jobs, {} on time, {} late, {} missed, {} never accepted",
            self.group, self.jobs, self.on_time, self.late, self.missed, self.never_accepted
        )?;
        let batch = (self.on_time + self.late + self.missed).max(1) as f64;
        let total_ms: i64 = self.spent.iter().map(|(_, ms)| ms).sum();
        if total_ms > 0 {
            let (mean, chain) = (total_ms as f64 / batch, self.chain_ms as f64 / batch);
            write!(
                f,
                "\n  {:.1} s a job on the critical path, where its work alone is {:.1} s",
                mean / 1e3,
                chain / 1e3
            )?;
            write_sums(f, &self.spent, total_ms, batch)?;
        }
        if self.long_running_ms > 0 {
            let unavailable_ms: i64 = self.long_running_unavailable.iter().map(|(_, ms)| ms).sum();
            let share = unavailable_ms as f64 / self.long_running_ms as f64;
            write!(
                f,
                "\n  long-running tasks were unavailable for {:.1} of {:.0} s ({:.1} %)",
                unavailable_ms as f64 / 1e3,
                self.long_running_ms as f64 / 1e3,
                share * 100.0
            )?;
            write_sums(f, &self.long_running_unavailable, self.long_running_ms, 1.0)?;
        }
        Ok(())
    }
}

fn write_sums(
    f: &mut fmt::Formatter<'_>,
    sums: &[(Spent, i64)],
    total_ms: i64,
    jobs: f64,
) -> fmt::Result {
    for (spent, ms) in sums {
        let (seconds, share) = (
            *ms as f64 / jobs / 1e3,
            *ms as f64 / total_ms as f64 * 100.0,
        );
        write!(f, "\n  {seconds:>8.2} s {share:>5.1} %  {spent}")?;
    }
    Ok(())
}
