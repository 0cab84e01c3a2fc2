//! `lapisdrum explain`: where jobs' time went, from the daemons' log lines.

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

/// What was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// The path of one job, by its id as written.
    Job(String),
    /// Sums over all jobs.
    Sums(By),
}

/// The path of one job.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobPath {
    /// The job.
    pub job: String,
    /// Its queue.
    pub queue: String,
    /// Where it was submitted.
    pub data_centre: String,
    /// Time within which it is on time, in milliseconds.
    pub objective_ms: i64,
    /// Its critical path.
    pub path: Vec<Span>,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Explained {
    /// Of one job.
    Job(JobPath),
    /// Of all.
    Sums(Vec<Row>),
}

/// Reads the lines of these files, or of standard input where none is named, and answers.
pub fn explain(files: &[PathBuf], question: &Question) -> Result<Explained, Failure> {
    let traces = match files {
        [] => gather([Ok(Box::new(io::stdin().lock()) as Box<dyn BufRead>)])?,
        some => gather(some.iter().map(|file| open(file)))?,
    };
    answer(&traces, question)
}

fn open(file: &Path) -> Result<Box<dyn BufRead>, Failure> {
    let opened = File::open(file);
    let opened = opened.map_err(|e| wrong(format!("failed to open {}: {e}", file.display())))?;
    Ok(Box::new(BufReader::new(opened)))
}

fn wrong(message: String) -> Failure {
    Failure::new(Exit::WrongInput, message)
}

fn gather(
    files: impl IntoIterator<Item = Result<Box<dyn BufRead>, Failure>>,
) -> Result<Traces, Failure> {
    let mut lines = Vec::new();
    for file in files {
        for raw in file?.split(b'\n') {
            let raw = raw.map_err(|e| wrong(format!("failed to read a log: {e}")))?;
            lines.extend(log_line::read(&String::from_utf8_lossy(&raw)));
        }
    }
    if lines.is_empty() {
        return Err(wrong(
            "no line of a daemon's JSON log tells of a job or of a shard's owner".to_owned(),
        ));
    }
    Ok(Traces::gather(lines))
}

/// Answers from what the lines say.
pub fn answer(traces: &Traces, question: &Question) -> Result<Explained, Failure> {
    match question {
        Question::Sums(by) => Ok(Explained::Sums(totals::sum(traces, *by))),
        Question::Job(raw) => {
            let id: JobId = raw.parse().map_err(|e| wrong(format!("`{raw}`: {e}")))?;
            let trace = traces.jobs.get(&id);
            let trace = trace.ok_or_else(|| wrong(format!("no line tells of job {id}")))?;
            Ok(Explained::Job(job_path(id, trace, traces)?))
        }
    }
}

fn job_path(id: JobId, trace: &JobTrace, traces: &Traces) -> Result<JobPath, Failure> {
    let path = path::critical(id, trace, traces);
    let path = path.ok_or_else(|| {
        wrong(format!(
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

impl fmt::Display for Explained {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Job(path) => path.fmt(f),
            Self::Sums(rows) => write_lines(f, rows),
        }
    }
}
