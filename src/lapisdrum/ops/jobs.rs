//! `lapisdrum jobs`: submit, show, list and cancel.

use super::{Exit, Failure, output::write_lines, retry_lost_answers};
use crate::{
    api::{
        client::{ClientError, DaemonClient},
        wire::{JobBody, JobsBody},
    },
    core::id::RequestId,
};
use std::{fmt, time::Duration};
use tokio::time::Instant;

/// Submits a job. If the answer is lost, the call is repeated with the same key, so at most one job
/// is created. A refusal with `retry-after` is retried after that time as long as `wait` allows;
/// the key makes that safe too.
pub async fn submit(
    client: &DaemonClient,
    entry: &str,
    key: Option<&str>,
    wait: Duration,
) -> Result<JobBody, Failure> {
    let generated = format!("{:016x}", rand::random::<u64>());
    let key = RequestId::try_from(key.unwrap_or(&generated));
    let key = key.map_err(|e| Failure::new(Exit::WrongInput, e))?;
    let deadline = Instant::now() + wait;
    loop {
        let submitted = retry_lost_answers(async || client.submit_job_as(entry, &key).await).await;
        let delay = submitted.as_ref().err().and_then(ClientError::retry_after);
        match delay {
            Some(delay) if Instant::now() + delay <= deadline => tokio::time::sleep(delay).await,
            _ => return Ok(submitted?),
        }
    }
}

/// Reads the present state of a job.
pub async fn show(client: &DaemonClient, job: &str) -> Result<JobBody, Failure> {
    Ok(client.job(job).await?)
}

/// Lists jobs of all shards whose owners answer; an absent filter matches every job.
pub async fn list(
    client: &DaemonClient,
    entry: Option<&str>,
    state: Option<&str>,
) -> Result<JobsBody, Failure> {
    Ok(client.jobs(entry, state).await?)
}

/// Cancels a job. Cancelling twice has no further effect, so the call is repeated if its answer is
/// lost.
pub async fn cancel(client: &DaemonClient, job: &str) -> Result<JobBody, Failure> {
    Ok(retry_lost_answers(async || client.cancel_job(job).await).await?)
}

impl fmt::Display for JobBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.job, self.entry, self.state)?;
        if let Some(worker) = &self.worker {
            write!(f, " on {worker}")?;
        }
        write!(f, ", attempts {}", self.attempts)?;
        if self.progress_permille > 0 {
            let (percent, tenth) = (self.progress_permille / 10, self.progress_permille % 10);
            write!(f, ", saved progress {percent}.{tenth}%")?;
        }
        match &self.message {
            Some(message) => write!(f, ": {message}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for JobsBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut lines: Vec<String> = self.jobs.iter().map(ToString::to_string).collect();
        if lines.is_empty() {
            lines.push("no jobs".to_owned());
        }
        if self.omitted > 0 {
            lines.push(format!("{} older jobs are left out", self.omitted));
        }
        let missing = self.missing.iter();
        lines.extend(missing.map(|shard| format!("shard {shard}: no answer from its owner")));
        write_lines(f, lines)
    }
}
