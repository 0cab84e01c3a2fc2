//! Rows of the tables that a run prints and writes as JSON.

use super::{
    PolicyResult,
    bench::{self, Received},
    daemon::Decisions,
    scenario::{Pattern, Profile},
    tasks::{self, TaskDecisions, TaskResult, TaskTrial},
};
use crate::table;
use lapisdrum::core::size::Size;
use serde::Serialize;
use std::time::Duration;

/// Results of one stream in one request trial.
#[derive(Clone, Debug, Serialize)]
pub struct RequestRow {
    /// Name of the deployment.
    pub profile: String,
    /// Name of the load pattern.
    pub pattern: String,
    /// Name of the decisions under which the trial ran.
    pub decisions: String,
    /// Seed of the trial.
    pub seed: u64,
    /// Entry and number of callers, as `entry/callers`.
    pub entry: String,
    /// Complete answers within the deadline, per second.
    pub goodput: f64,
    /// Goodput as a fraction of what all slots together could run.
    pub of_capacity: f64,
    /// Median latency of complete answers within the deadline, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of that latency, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of that latency, in milliseconds.
    pub p999_ms: f64,
    /// Refusals per second.
    pub refused_per_s: f64,
    /// 99th percentile of the time to a refusal, in milliseconds.
    pub refusal_p99_ms: f64,
    /// Requests that may or may not have run.
    pub unknown: u64,
    /// Requests sent to workers per complete answer within the deadline.
    pub sends_per_answer: f64,
}

/// Results of one task trial.
#[derive(Clone, Debug, Serialize)]
pub struct TaskRow {
    /// Name of the deployment.
    pub profile: String,
    /// Name of the decisions under which the trial ran.
    pub decisions: String,
    /// Seed of the trial.
    pub seed: u64,
    /// Slowdown of services: run time as a multiple of that without neighbours; median over hosts and
    /// seconds.
    pub slowdown_p50: f64,
    /// 99th percentile of that slowdown.
    pub slowdown_p99: f64,
    /// 99.9th percentile of that slowdown.
    pub slowdown_p999: f64,
    /// Finished batch work per second, in seconds of run time without neighbours.
    pub batch_work: f64,
    /// Batch work as a fraction of that of the trial without services on the same capacity.
    pub of_batch_only: f64,
    /// Number of finished batch tasks.
    pub finished: u64,
    /// Number of tasks that wait at the end of the trial.
    pub waiting: usize,
    /// Number of times that a task was throttled.
    pub throttles: u64,
    /// Number of evictions.
    pub evictions: u64,
    /// Work lost by evictions, in seconds.
    pub lost_s: f64,
}

/// Runs one pattern under each of [`Decisions::ALL`].
pub fn requests(
    profile: &Profile,
    (name, pattern): (&str, Pattern),
    seconds: u64,
    seed: u64,
) -> Vec<RequestRow> {
    let trial = pattern.trial(profile, Duration::from_secs(seconds), seed);
    let mut rows = Vec::new();
    for (decisions, kind) in Decisions::ALL {
        for (stream, received) in trial.streams.iter().zip(bench::run(&trial, kind)) {
            rows.push(RequestRow {
                profile: profile.name.to_owned(),
                pattern: name.to_owned(),
                decisions: decisions.to_owned(),
                seed,
                entry: format!("{}/{}", stream.entry, stream.callers),
                of_capacity: received.goodput() / profile.capacity(stream.run),
                ..request_row(&received)
            });
        }
    }
    rows
}

fn request_row(received: &Received) -> RequestRow {
    let seconds = received.counted.as_secs_f64();
    RequestRow {
        profile: String::new(),
        pattern: String::new(),
        decisions: String::new(),
        seed: 0,
        entry: String::new(),
        goodput: received.goodput(),
        of_capacity: 0.0,
        p50_ms: received.quantile_ms(0.5),
        p99_ms: received.quantile_ms(0.99),
        p999_ms: received.quantile_ms(0.999),
        refused_per_s: received.refused as f64 / seconds,
        refusal_p99_ms: received.refusal.value_at_quantile(0.99) as f64 / 1e3,
        unknown: received.unknown,
        sends_per_answer: received.sends as f64 / received.done.max(1) as f64,
    }
}

/// Runs the task trial without services, then under each of [`TaskDecisions::ALL`].
pub fn tasks(profile: &Profile, seconds: u64, seed: u64) -> Vec<TaskRow> {
    let trial = TaskTrial {
        hosts: profile.all_workers,
        per_rack: profile.per_rack,
        task_capacity: Size {
            millicores: profile.cores * 500,
            memory_mb: profile.memory_mb / 2,
            accelerators: 0,
        },
        starts_per_s: profile.all_workers as f64 * profile.cores as f64 * BATCH_STARTS_PER_CORE_S,
        seconds,
        seed,
    };
    let alone = tasks::run(trial, TaskDecisions::BATCH_ONLY);
    let mut rows = vec![task_row(profile, "batch only", &trial, &alone, &alone)];
    for (name, decisions) in TaskDecisions::ALL {
        let result = tasks::run(trial, decisions);
        rows.push(task_row(profile, name, &trial, &result, &alone));
    }
    rows
}

/// Batch tasks that arrive per second and core: about half of what the capacity could run without
/// interference.
const BATCH_STARTS_PER_CORE_S: f64 = 0.0006;

fn task_row(
    profile: &Profile,
    name: &str,
    trial: &TaskTrial,
    result: &TaskResult,
    alone: &TaskResult,
) -> TaskRow {
    let slowdown = |quantile| result.slowdown.value_at_quantile(quantile) as f64 / 1e3;
    TaskRow {
        profile: profile.name.to_owned(),
        decisions: name.to_owned(),
        seed: trial.seed,
        slowdown_p50: slowdown(0.5),
        slowdown_p99: slowdown(0.99),
        slowdown_p999: slowdown(0.999),
        batch_work: result.work_s / trial.seconds as f64,
        of_batch_only: result.work_s / alone.work_s,
        finished: result.finished,
        waiting: result.waiting,
        throttles: result.throttles,
        evictions: result.evictions,
        lost_s: result.lost_s,
    }
}

/// Prints the tables that have rows.
pub fn print(result: &PolicyResult) {
    if !result.requests.is_empty() {
        print_requests(&result.requests);
    }
    if !result.tasks.is_empty() {
        print_tasks(&result.tasks);
    }
    let cells = result.decisions.iter().map(|row| {
        vec![
            row.decision.clone(),
            row.workers.to_string(),
            format!("{:.0}", row.median_ns),
            format!("{:.0}", row.slowest_ns),
        ]
    });
    let headings = ["decision", "workers", "median ns", "slowest ns"];
    if !result.decisions.is_empty() {
        table::print(&headings, &cells.collect::<Vec<_>>());
    }
}

fn print_requests(rows: &[RequestRow]) {
    let headings = [
        "profile",
        "pattern",
        "decisions",
        "seed",
        "entry",
        "goodput/s",
        "of cap.",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "refused/s",
        "ref. p99",
        "unknown",
        "sends",
    ];
    let cells = rows.iter().map(|row| {
        vec![
            row.profile.clone(),
            row.pattern.clone(),
            row.decisions.clone(),
            row.seed.to_string(),
            row.entry.clone(),
            format!("{:.0}", row.goodput),
            format!("{:.3}", row.of_capacity),
            format!("{:.1}", row.p50_ms),
            format!("{:.1}", row.p99_ms),
            format!("{:.1}", row.p999_ms),
            format!("{:.0}", row.refused_per_s),
            format!("{:.1}", row.refusal_p99_ms),
            row.unknown.to_string(),
            format!("{:.3}", row.sends_per_answer),
        ]
    });
    table::print(&headings, &cells.collect::<Vec<_>>());
}

fn print_tasks(rows: &[TaskRow]) {
    let headings = [
        "profile",
        "decisions",
        "seed",
        "slow p50",
        "slow p99",
        "slow p99.9",
        "batch work/s",
        "of batch only",
        "finished",
        "waiting",
        "throttles",
        "evictions",
        "lost s",
    ];
    let cells = rows.iter().map(|row| {
        vec![
            row.profile.clone(),
            row.decisions.clone(),
            row.seed.to_string(),
            format!("{:.2}", row.slowdown_p50),
            format!("{:.2}", row.slowdown_p99),
            format!("{:.2}", row.slowdown_p999),
            format!("{:.1}", row.batch_work),
            format!("{:.3}", row.of_batch_only),
            row.finished.to_string(),
            row.waiting.to_string(),
            row.throttles.to_string(),
            row.evictions.to_string(),
            format!("{:.0}", row.lost_s),
        ]
    });
    table::print(&headings, &cells.collect::<Vec<_>>());
}
