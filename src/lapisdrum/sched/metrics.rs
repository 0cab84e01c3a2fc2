//! Metrics of the scheduler, in the text format that is served on the metrics address.

use super::{
    edge::EntryFault,
    event::RunEnd,
    front::Outcome,
    handover,
    ledger::Phase,
    owner::{balance, moves, outages::WaitsFor, start_order::NotSent},
};
use crate::util::{
    build,
    http::{intake::IntakeMetrics, pool::ConnectionMetrics},
};
use indexmap::IndexMap;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use std::sync::atomic::AtomicU64;

/// Upper bound of the first bucket of `row_seconds`, in seconds; doubled eleven times up to 8 s.
const FIRST_ROW_BUCKET: f64 = 0.004;
/// Upper bound of the first bucket of `job_seconds`, in seconds; doubled eleven times up to 102 s.
const FIRST_JOB_BUCKET: f64 = 0.05;
const BUCKETS: u16 = 12;

/// Labels of metrics by queue and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    queue: String,
    outcome: String,
}

/// Label of metrics by outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabel {
    outcome: String,
}

/// Label of metrics by what a task waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WaitLabel {
    waits_for: String,
}

/// Label of metrics by reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    reason: String,
}

/// Metrics of one daemon.
pub struct Metrics {
    registry: Registry,
    /// What callers hold together.
    pub intake: IntakeMetrics,
    /// Connections to the store and to workers.
    pub connections: ConnectionMetrics,
    /// Journal rows written.
    pub rows_written: Counter,
    /// Events journaled.
    pub events: Counter,
    /// Time from the first attempt to write a journal transaction until its outcome is known, in
    /// seconds.
    pub row_seconds: Histogram,
    /// Store calls that failed or got no reply.
    pub store_errors: Counter,
    /// Orders to start a run that were sent to workers.
    pub starts: Counter,
    /// Orders to start a run that got no reply.
    pub orders_unanswered: Counter,
    /// Orders to change a task's CPU limit.
    pub cpu_limit_orders: Counter,
    /// Best-effort tasks admitted although every host refused them, since their jobs were overdue.
    pub overdue_admissions: Counter,
    /// Starts that went ahead of others, since their jobs had had nothing running for too long.
    pub starts_ahead: Counter,
    /// Runs that ended without a report from their worker, or never started.
    pub runs_lost: Counter,
    /// Polls of workers.
    pub polls: Counter,
    /// Take-overs of shards by this process.
    pub takeovers: Counter,
    /// Suspensions of owners whose fencing token a worker refused.
    pub suspensions: Counter,
    /// Time from the stop of an owner until the successor that it named has recovered the shard, in
    /// seconds.
    pub handover_seconds: Histogram,
    /// Jobs that have not ended.
    pub jobs_active: Gauge,
    /// Runs that may be alive.
    pub runs_live: Gauge,
    /// Live runs in evacuated data centres.
    pub runs_in_evacuated: Gauge,
    /// Runs whose end may be among those that their worker has not listed yet.
    pub runs_awaiting_ends: Gauge,
    /// Workers that answer and may have more ends than they list.
    pub workers_with_truncated_ends: Gauge,
    /// Snapshots that could not be stored.
    pub snapshot_failures: Counter,
    /// Journal rows that no snapshot covers.
    pub journal_rows: Gauge,
    /// Bytes of these rows.
    pub journal_bytes: Gauge,
    /// Covered rows whose deletion is not confirmed.
    pub obsolete_rows: Gauge,
    /// Jobs refused since they would have ended too late to be worth anything.
    pub hopeless_refusals: Counter,
    /// Submissions refused since their jobs were cancelled before they arrived.
    pub late_submissions: Counter,
    /// Dispatch passes in which callers' shares changed the order of steps.
    pub reordered_passes: Counter,
    /// Interrupted long-running tasks that did not run again within three seconds.
    pub long_running_outages: Counter,
    /// Accepted jobs of which nothing ran for three seconds although a task's turn had come.
    pub job_stalls: Counter,
    /// Calls that asked another owner for its shard's load.
    pub load_asks: Counter,
    jobs_sent: Family<ReasonLabel, Counter>,
    jobs_moved: Family<ReasonLabel, Counter>,
    /// Waiting jobs on their way to another shard.
    pub jobs_moving: Gauge,
    refused_entries: Family<ReasonLabel, Counter>,
    /// Start orders that waited for a recent list of workers.
    pub starts_held: Counter,
    starts_not_sent: Family<ReasonLabel, Counter>,
    /// Age in seconds of the oldest list of workers that an owner in this process uses; 0 without one.
    pub worker_list_age_seconds: Gauge<f64, AtomicU64>,
    long_running_overdue: Family<WaitLabel, Gauge>,
    stalled_jobs: Family<WaitLabel, Gauge>,
    handovers: Family<EndLabel, Counter>,
    submits: Family<OutcomeLabels, Counter>,
    jobs: Family<OutcomeLabels, Counter>,
    job_seconds: Histogram,
    ends: Family<EndLabel, Counter>,
    place_waits: Family<EndLabel, Counter>,
}

fn place_wait_label(is_far: bool) -> EndLabel {
    let outcome = if is_far { "far" } else { "near" }.to_owned();
    EndLabel { outcome }
}

impl Metrics {
    /// Creates and registers all metrics with value 0.
    pub fn new() -> Self {
        let mut new = Self {
            registry: Registry::default(),
            intake: IntakeMetrics::default(),
            connections: ConnectionMetrics::default(),
            rows_written: Counter::default(),
            events: Counter::default(),
            row_seconds: Histogram::new(exponential_buckets(FIRST_ROW_BUCKET, 2.0, BUCKETS)),
            store_errors: Counter::default(),
            starts: Counter::default(),
            orders_unanswered: Counter::default(),
            cpu_limit_orders: Counter::default(),
            overdue_admissions: Counter::default(),
            starts_ahead: Counter::default(),
            runs_lost: Counter::default(),
            polls: Counter::default(),
            takeovers: Counter::default(),
            suspensions: Counter::default(),
            handover_seconds: Histogram::new(exponential_buckets(FIRST_ROW_BUCKET, 2.0, BUCKETS)),
            jobs_active: Gauge::default(),
            runs_live: Gauge::default(),
            runs_in_evacuated: Gauge::default(),
            runs_awaiting_ends: Gauge::default(),
            workers_with_truncated_ends: Gauge::default(),
            snapshot_failures: Counter::default(),
            journal_rows: Gauge::default(),
            journal_bytes: Gauge::default(),
            obsolete_rows: Gauge::default(),
            hopeless_refusals: Counter::default(),
            late_submissions: Counter::default(),
            reordered_passes: Counter::default(),
            long_running_outages: Counter::default(),
            job_stalls: Counter::default(),
            load_asks: Counter::default(),
            jobs_sent: Family::default(),
            jobs_moved: Family::default(),
            jobs_moving: Gauge::default(),
            refused_entries: Family::default(),
            starts_held: Counter::default(),
            starts_not_sent: Family::default(),
            worker_list_age_seconds: Gauge::default(),
            long_running_overdue: Family::default(),
            stalled_jobs: Family::default(),
            handovers: Family::default(),
            submits: Family::default(),
            jobs: Family::default(),
            job_seconds: Histogram::new(exponential_buckets(FIRST_JOB_BUCKET, 2.0, BUCKETS)),
            ends: Family::default(),
            place_waits: Family::default(),
        };
        let mut registry = Registry::with_prefix("lapisdrum");
        build::register(&mut registry);
        new.intake.register(&mut registry);
        new.connections.register(&mut registry);
        new.register(registry.sub_registry_with_prefix("sched"));
        new.registry = registry;
        new.note_overdue(&IndexMap::new());
        new.note_stalled(&IndexMap::new());
        // An alert needs the counter before the first event.
        for reason in balance::REASONS {
            let reason = reason.to_owned();
            drop(new.jobs_sent.get_or_create(&ReasonLabel { reason }));
        }
        for reason in moves::REASONS {
            let reason = reason.to_owned();
            drop(new.jobs_moved.get_or_create(&ReasonLabel { reason }));
        }
        for reason in EntryFault::REASONS {
            let reason = reason.to_owned();
            drop(new.refused_entries.get_or_create(&ReasonLabel { reason }));
        }
        for reason in NotSent::REASONS {
            let reason = reason.to_owned();
            drop(new.starts_not_sent.get_or_create(&ReasonLabel { reason }));
        }
        for outcome in handover::OUTCOMES {
            let outcome = outcome.to_owned();
            drop(new.handovers.get_or_create(&EndLabel { outcome }));
        }
        for is_far in [false, true] {
            drop(new.place_waits.get_or_create(&place_wait_label(is_far)));
        }
        new
    }

    fn register(&self, r: &mut Registry) {
        let rows = self.rows_written.clone();
        r.register("rows_written", "Journal rows written", rows);
        r.register("events", "Events journaled", self.events.clone());
        let row_seconds = self.row_seconds.clone();
        r.register(
            "row_seconds",
            "Time until a journal row is settled",
            row_seconds,
        );
        let errors = self.store_errors.clone();
        r.register(
            "store_errors",
            "Store calls without a useful answer",
            errors,
        );
        r.register("starts", "Orders to start", self.starts.clone());
        let not_sent = self.starts_not_sent.clone();
        r.register(
            "starts_not_sent",
            "Orders to start that were dropped after their tasks were placed",
            not_sent,
        );
        let held = self.starts_held.clone();
        r.register(
            "starts_held",
            "Orders to start that waited for a recent list of workers",
            held,
        );
        let list_age = self.worker_list_age_seconds.clone();
        r.register(
            "worker_list_age_seconds",
            "Age of the list of workers on which tasks are started",
            list_age,
        );
        let orders_unanswered = self.orders_unanswered.clone();
        r.register(
            "orders_silent",
            "Orders without an answer",
            orders_unanswered,
        );
        let cpu_limit_orders = self.cpu_limit_orders.clone();
        r.register("paces", "Orders to work at another pace", cpu_limit_orders);
        let admitted = self.overdue_admissions.clone();
        r.register(
            "overdue_admissions",
            "Overdue best-effort tasks admitted beside serving tasks that they may slow",
            admitted,
        );
        let ahead = self.starts_ahead.clone();
        r.register(
            "starts_ahead",
            "Tasks that started ahead of others, since nothing of their jobs had run for too long",
            ahead,
        );
        let lost = self.runs_lost.clone();
        r.register(
            "runs_lost",
            "Runs over without an end from their worker",
            lost,
        );
        r.register("looks", "Looks at workers", self.polls.clone());
        r.register("takeovers", "Shards taken over", self.takeovers.clone());
        let suspensions = self.suspensions.clone();
        r.register(
            "suspensions",
            "Suspensions of owners whose fencing token a worker refused",
            suspensions,
        );
        let handover_seconds = self.handover_seconds.clone();
        r.register(
            "handover_seconds",
            "Time without an owner in a planned hand-over",
            handover_seconds,
        );
        let handovers = self.handovers.clone();
        r.register("handovers", "Shards released in a planned stop", handovers);
        let active = self.jobs_active.clone();
        r.register("jobs_active", "Jobs that are not over", active);
        let live = self.runs_live.clone();
        r.register("runs_live", "Runs that may be alive", live);
        let evacuated = self.runs_in_evacuated.clone();
        r.register(
            "runs_in_evacuated",
            "Runs left in evacuated data centres",
            evacuated,
        );
        let awaiting = self.runs_awaiting_ends.clone();
        r.register(
            "runs_awaiting_ends",
            "Runs whose end may be among those that their worker has not listed yet",
            awaiting,
        );
        let truncated = self.workers_with_truncated_ends.clone();
        r.register(
            "workers_with_truncated_ends",
            "Workers that may have more ends than they list",
            truncated,
        );
        self.register_journal(r);
        let late = self.late_submissions.clone();
        r.register(
            "late_submissions",
            "Submissions refused since their jobs were cancelled before they arrived",
            late,
        );
        let hopeless = self.hopeless_refusals.clone();
        r.register(
            "hopeless_refusals",
            "Jobs refused since they would have ended too late to be worth anything",
            hopeless,
        );
        let reordered = self.reordered_passes.clone();
        r.register(
            "reordered_passes",
            "Dispatch passes in which callers' shares changed the order of steps",
            reordered,
        );
        let outages = self.long_running_outages.clone();
        r.register(
            "long_running_outages",
            "Interrupted long-running tasks that were down for three seconds",
            outages,
        );
        let overdue = self.long_running_overdue.clone();
        r.register(
            "long_running_overdue",
            "Interrupted long-running tasks that have been down for three seconds",
            overdue,
        );
        let stalls = self.job_stalls.clone();
        r.register(
            "job_stalls",
            "Accepted jobs of which nothing ran for three seconds",
            stalls,
        );
        let stalled = self.stalled_jobs.clone();
        r.register(
            "stalled_jobs",
            "Accepted jobs of which nothing has run for three seconds",
            stalled,
        );
        let asks = self.load_asks.clone();
        r.register("load_asks", "Calls that asked for a shard's load", asks);
        let sent = self.jobs_sent.clone();
        r.register("jobs_sent", "New jobs sent to another shard", sent);
        let moved = self.jobs_moved.clone();
        r.register("jobs_moved", "Waiting jobs moved to another shard", moved);
        let moving = self.jobs_moving.clone();
        r.register("jobs_moving", "Jobs on their way to another shard", moving);
        let refused = self.refused_entries.clone();
        r.register(
            "refused_entries",
            "Entries of the directory of workers that are not used",
            refused,
        );
        r.register("submits", "Jobs submitted", self.submits.clone());
        r.register("jobs", "Jobs over", self.jobs.clone());
        let seconds = self.job_seconds.clone();
        r.register(
            "job_seconds",
            "Time from acceptance to the job's end",
            seconds,
        );
        r.register("run_ends", "Ends of runs", self.ends.clone());
        let waits = self.place_waits.clone();
        r.register(
            "place_waits",
            "Tasks placed after they waited for a place near their data",
            waits,
        );
    }

    fn register_journal(&self, r: &mut Registry) {
        let failures = self.snapshot_failures.clone();
        r.register("snapshot_failures", "Snapshots not stored", failures);
        let rows = self.journal_rows.clone();
        r.register("journal_rows", "Journal rows that no snapshot covers", rows);
        let bytes = self.journal_bytes.clone();
        r.register("journal_bytes", "Bytes of these rows", bytes);
        let obsolete = self.obsolete_rows.clone();
        r.register(
            "obsolete_rows",
            "Covered journal rows whose deletion is not confirmed",
            obsolete,
        );
    }

    /// Counts a release in a planned stop by its outcome.
    pub fn note_handover(&self, outcome: &str) {
        let outcome = outcome.to_owned();
        self.handovers.get_or_create(&EndLabel { outcome }).inc();
    }

    /// Counts a submission by its outcome.
    pub fn note_submit(&self, queue: &str, outcome: &Outcome<()>) {
        let outcome = match outcome {
            Outcome::Done(()) => "accepted",
            Outcome::Refused(_) => "refused",
            Outcome::Unknown | Outcome::NoSuchJob => "unknown",
        };
        self.submits.get_or_create(&labels(queue, outcome)).inc();
    }

    /// Counts a new job that its home sent to another shard.
    pub fn note_sent(&self, reason: &str) {
        let reason = reason.to_owned();
        self.jobs_sent.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a waiting job that its home moved to another shard.
    pub fn note_moved(&self, reason: &str) {
        let reason = reason.to_owned();
        self.jobs_moved.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts an entry of the directory that is not used.
    pub fn note_refused_entry(&self, reason: &str) {
        let reason = reason.to_owned();
        let refused = &self.refused_entries;
        refused.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a start order that was not sent.
    pub fn note_start_not_sent(&self, why: NotSent) {
        let reason = why.reason().to_owned();
        let not_sent = &self.starts_not_sent;
        not_sent.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a job that has ended; `took_ms` is the time since acceptance and is recorded for
    /// completed jobs.
    pub fn note_job(&self, queue: &str, phase: Phase, took_ms: u64) {
        let outcome = format!("{phase:?}").to_lowercase();
        self.jobs.get_or_create(&labels(queue, &outcome)).inc();
        if phase == Phase::Completed {
            self.job_seconds.observe(took_ms as f64 / 1_000.0);
        }
    }

    /// Counts the end of a run by its outcome.
    pub fn note_end(&self, how: RunEnd) {
        let outcome = format!("{how:?}").to_lowercase();
        self.ends.get_or_create(&EndLabel { outcome }).inc();
    }

    /// Counts a task that was placed after a wait for a place near its data.
    pub fn note_place_wait(&self, is_far: bool) {
        let label = place_wait_label(is_far);
        self.place_waits.get_or_create(&label).inc();
    }

    /// Sets the number of overdue long-running tasks by what they wait for.
    pub fn note_overdue(&self, overdue: &IndexMap<WaitsFor, i64>) {
        set_by_wait(&self.long_running_overdue, overdue);
    }

    /// Sets the number of stalled jobs by what they wait for.
    pub fn note_stalled(&self, stalled: &IndexMap<WaitsFor, i64>) {
        set_by_wait(&self.stalled_jobs, stalled);
    }

    /// Encodes all metrics in the text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn set_by_wait(gauges: &Family<WaitLabel, Gauge>, counts: &IndexMap<WaitsFor, i64>) {
    for waits_for in WaitsFor::ALL {
        let count = counts.get(&waits_for).copied().unwrap_or_default();
        let waits_for = format!("{waits_for:?}");
        gauges.get_or_create(&WaitLabel { waits_for }).set(count);
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn labels(queue: &str, outcome: &str) -> OutcomeLabels {
    OutcomeLabels {
        queue: queue.to_owned(),
        outcome: outcome.to_owned(),
    }
}
