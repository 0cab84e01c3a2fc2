//! `lapisdrum explain`: breaks down where the time of jobs went, from the log lines of the daemons.

use super::{Exit, Failure, output::write_lines};
use crate::{
    attribution::{
        log_line,
        path::{self, Span},
        totals::{self, By, Row},
        trace::{JobTrace, Traces},
    },
    sched::job::JobId,
};
use serde::Serialize;
use std::{
    fmt,
    fs::File,
    io::{self, BufRead, BufReader},
    path::{Path, PathBuf},
};

/// What to explain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// Critical path of the job with this id, not yet parsed.
    Job(String),
    /// Time of all jobs, summed by this key.
    Sums(By),
}

/// Critical path of one job.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobPath {
    /// Id of the job.
    pub job: String,
    /// Queue that the job was submitted to.
    pub queue: String,
    /// Data centre where the job was submitted.
    pub data_centre: String,
    /// Target time from submission to completion, in milliseconds.
    pub objective_ms: i64,
    /// Spans of the critical path, earliest first.
    pub path: Vec<Span>,
}

/// Result of `lapisdrum explain`.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Explanation {
    /// Critical path of one job.
    Job(JobPath),
    /// Sums over all jobs, one row per key.
    Sums(Vec<Row>),
}

/// Reads log lines from `files`, or from standard input if `files` is empty, and explains them.
pub fn explain(files: &[PathBuf], question: &Question) -> Result<Explanation, Failure> {
    let traces = match files {
        [] => read_traces([Ok(Box::new(io::stdin().lock()) as Box<dyn BufRead>)])?,
        some => read_traces(some.iter().map(|file| open(file)))?,
    };
    explain_traces(&traces, question)
}

fn open(file: &Path) -> Result<Box<dyn BufRead>, Failure> {
    let opened = File::open(file);
    let opened =
        opened.map_err(|e| invalid_input(format!("failed to open {}: {e}", file.display())))?;
    Ok(Box::new(BufReader::new(opened)))
}

fn invalid_input(message: String) -> Failure {
    Failure::new(Exit::WrongInput, message)
}

fn read_traces(
    files: impl IntoIterator<Item = Result<Box<dyn BufRead>, Failure>>,
) -> Result<Traces, Failure> {
    let mut lines = Vec::new();
    for file in files {
        for raw in file?.split(b'\n') {
            let raw = raw.map_err(|e| invalid_input(format!("failed to read a log: {e}")))?;
            lines.extend(log_line::read(&String::from_utf8_lossy(&raw)));
        }
    }
    if lines.is_empty() {
        return Err(invalid_input(
            "no line of a daemon's JSON log tells of a job or of a shard's owner".to_owned(),
        ));
    }
    Ok(Traces::gather(lines))
}

/// Explains job traces that were already gathered from log lines.
pub fn explain_traces(traces: &Traces, question: &Question) -> Result<Explanation, Failure> {
    match question {
        Question::Sums(by) => Ok(Explanation::Sums(totals::sum(traces, *by))),
        Question::Job(raw) => {
            let id: JobId = raw
                .parse()
                .map_err(|e| invalid_input(format!("`{raw}`: {e}")))?;
            let trace = traces.jobs.get(&id);
            let trace = trace.ok_or_else(|| invalid_input(format!("no line tells of job {id}")))?;
            Ok(Explanation::Job(job_path(id, trace, traces)?))
        }
    }
}

fn job_path(id: JobId, trace: &JobTrace, traces: &Traces) -> Result<JobPath, Failure> {
    let path = path::critical(id, trace, traces);
    let path = path.ok_or_else(|| {
        invalid_input(format!(
            "the line of job {id}'s acceptance is missing; give the lines of all daemons since then"
        ))
    })?;
    Ok(JobPath {
        job: id.to_string(),
        queue: trace.queue.clone(),
        data_centre: trace.data_centre.clone(),
        objective_ms: trace.objective_ms,
        path,
    })
}

impl fmt::Display for JobPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.path.first().map_or(0, |span| span.from_ms);
        let last = self.path.last().map_or(0, |span| span.to_ms);
        let seconds = |ms: i64| ms as f64 / 1e3;
        writeln!(
            f,
            "job {} of {}, submitted at {}: {:.3} s, on time within {:.3} s",
            self.job,
            self.queue,
            self.data_centre,
            seconds(last - first),
            seconds(self.objective_ms)
        )?;
        let line = |span: &Span| {
            let task = span.task.as_deref().unwrap_or_default();
            let (at, took) = (span.from_ms - first, span.to_ms - span.from_ms);
            let (at, took) = (seconds(at), seconds(took));
            format!("{at:>9.3} s  {took:>8.3} s  {}  {task}", span.spent)
        };
        write_lines(f, self.path.iter().map(line))
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Job(path) => path.fmt(f),
            Self::Sums(rows) => write_lines(f, rows),
        }
    }
}
