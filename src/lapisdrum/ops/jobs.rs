//! `lapisdrum jobs`: submit, show, cancel.

use super::Failure;
use crate::api::{client::DaemonClient, wire::JobBody};

/// Hands a job in.
pub async fn submit(client: &DaemonClient, entry: &str) -> Result<JobBody, Failure> {
    Ok(client.submit_job(entry).await?)
}

/// Reads a job.
pub async fn show(client: &DaemonClient, job: &str) -> Result<JobBody, Failure> {
    Ok(client.job(job).await?)
}

/// Cancels a job.
pub async fn cancel(client: &DaemonClient, job: &str) -> Result<JobBody, Failure> {
    Ok(client.cancel_job(job).await?)
}
