//! Metrics in the Prometheus text format, served at `/metrics`.
//!
//! The three metrics that matter to users are `lapisdrum_request_seconds` (tail latency by entry),
//! `lapisdrum_jobs_ended_total` with `lapisdrum_task_seconds_total` (batch throughput by entry) and
//! `lapisdrum_evictions_total` (by entry and reason). Label values come from the catalogue and from
//! fixed sets, never from callers, so that only operators can increase the number of time series.

use crate::util::{build, http::intake::IntakeMetrics};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};
use std::sync::atomic::AtomicU64;

/// Upper bound of the first latency bucket, in seconds.
const FIRST_LATENCY_BUCKET: f64 = 0.000_5;
/// Ratio between bounds of latency buckets. A quantile taken as the middle of a bucket is off by at
/// most a quarter. With a ratio of 2 it would be a half, too coarse for tail latency.
const LATENCY_STEP: f64 = 1.5;
/// Number of latency buckets; the last bound is 12.6 s.
const LATENCY_BUCKETS: u16 = 26;

/// Labels of request metrics.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The catalogue entry.
    pub entry: String,
    /// `done`, `refused` or `unknown`.
    pub outcome: &'static str,
}

/// Label of metrics that are counted by entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EntryLabel {
    /// The catalogue entry.
    pub entry: String,
}

/// Label of refusals.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Name of the kind of refusal, from a fixed set.
    pub reason: &'static str,
}

/// Labels of ended jobs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    /// The catalogue entry.
    pub entry: String,
    /// `done`, `failed` or `cancelled`.
    pub end: &'static str,
}

/// Labels of evictions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EvictionLabels {
    /// The catalogue entry.
    pub entry: String,
    /// A phrase from a fixed set, with `_` for spaces.
    pub reason: String,
}

/// A counter of fractional seconds.
pub type SecondsCounter = Counter<f64, AtomicU64>;

/// The metrics of a daemon, all of them registered.
pub struct Metrics {
    registry: Registry,
    /// Requests answered, by entry and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Time from a request's arrival to its answer, by entry.
    pub request_seconds: Family<EntryLabel, Histogram>,
    /// Refusals, by reason.
    pub refusals: Family<ReasonLabel, Counter>,
    /// Jobs that ended, by entry and how.
    pub jobs_ended: Family<EndLabels, Counter>,
    /// Time that tasks have spent on workers, by entry.
    pub task_seconds: Family<EntryLabel, SecondsCounter>,
    /// Jobs waiting to be placed, by entry.
    pub jobs_waiting: Family<EntryLabel, Gauge>,
    /// Jobs placed on a worker, by entry.
    pub jobs_running: Family<EntryLabel, Gauge>,
    /// Tasks started on workers.
    pub task_starts: Counter,
    /// Evictions of tasks, by entry and reason.
    pub evictions: Family<EvictionLabels, Counter>,
    /// Ledger rows written.
    pub ledger_writes: Counter,
    /// Ledger events written.
    pub ledger_events: Counter,
    /// Transactions whose reply was lost.
    pub platform_unknown: Counter,
    /// Restarts of daemon components.
    pub component_restarts: Counter,
    /// The catalogue revision in force.
    pub revision: Gauge,
    /// Shards owned.
    pub shards_owned: Gauge,
    /// Shards owned under a lease that has expired.
    pub shards_lapsed: Gauge,
    /// Workers of owned shards that do not answer.
    pub workers_silent: Gauge,
    /// Daemons that are not known to be silent, including this one.
    pub daemons_live: Gauge,
    /// 1 if the platform answers, 0 if not.
    pub platform_up: Gauge,
    /// What callers hold together.
    pub intake: IntakeMetrics,
}

impl Metrics {
    /// Registers every metric at zero.
    pub fn new() -> Self {
        let mut m = Self {
            registry: Registry::with_prefix("lapisdrum"),
            requests: Family::default(),
            request_seconds: Family::new_with_constructor(latency_histogram),
            refusals: Family::default(),
            jobs_ended: Family::default(),
            task_seconds: Family::default(),
            jobs_waiting: Family::default(),
            jobs_running: Family::default(),
            task_starts: Counter::default(),
            evictions: Family::default(),
            ledger_writes: Counter::default(),
            ledger_events: Counter::default(),
            platform_unknown: Counter::default(),
            component_restarts: Counter::default(),
            revision: Gauge::default(),
            shards_owned: Gauge::default(),
            shards_lapsed: Gauge::default(),
            workers_silent: Gauge::default(),
            daemons_live: Gauge::default(),
            platform_up: Gauge::default(),
            intake: IntakeMetrics::default(),
        };
        build::register(&mut m.registry);
        m.register_work();
        m.register_state();
        m
    }

    /// Registers the metrics of requests, jobs and tasks. The library adds the suffixes `_seconds`
    /// for the unit and `_total` for a counter.
    fn register_work(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests answered", self.requests.clone());
        r.register_with_unit(
            "request",
            "Time from a request's arrival to its answer",
            Unit::Seconds,
            self.request_seconds.clone(),
        );
        r.register(
            "refusals",
            "Requests and jobs refused",
            self.refusals.clone(),
        );
        r.register("jobs_ended", "Jobs that ended", self.jobs_ended.clone());
        r.register_with_unit(
            "task",
            "Time that tasks have spent on workers",
            Unit::Seconds,
            self.task_seconds.clone(),
        );
        r.register(
            "jobs_waiting",
            "Jobs that wait for a place",
            self.jobs_waiting.clone(),
        );
        r.register(
            "jobs_running",
            "Jobs that are placed on a worker",
            self.jobs_running.clone(),
        );
        r.register(
            "task_starts",
            "Tasks started on workers",
            self.task_starts.clone(),
        );
        r.register(
            "evictions",
            "Tasks that lost their place",
            self.evictions.clone(),
        );
    }

    /// Registers the metrics of the daemon itself.
    fn register_state(&mut self) {
        let r = &mut self.registry;
        self.intake.register(r);
        r.register(
            "ledger_writes",
            "Ledger rows written",
            self.ledger_writes.clone(),
        );
        r.register(
            "ledger_events",
            "Ledger events written",
            self.ledger_events.clone(),
        );
        r.register(
            "platform_unknown",
            "Lost transaction answers",
            self.platform_unknown.clone(),
        );
        r.register(
            "part_restarts",
            "Parts started again",
            self.component_restarts.clone(),
        );
        r.register(
            "catalogue_revision",
            "Catalogue revision in force",
            self.revision.clone(),
        );
        r.register("shards_owned", "Shards owned", self.shards_owned.clone());
        r.register(
            "shards_lapsed",
            "Shards owned under a lease that has run out",
            self.shards_lapsed.clone(),
        );
        r.register(
            "workers_silent",
            "Workers of owned shards that do not answer",
            self.workers_silent.clone(),
        );
        r.register(
            "daemons_live",
            "Daemons that are heard of",
            self.daemons_live.clone(),
        );
        r.register(
            "platform_up",
            "Whether the platform answers",
            self.platform_up.clone(),
        );
    }

    /// Counts an eviction. `reason` is a phrase from a fixed set, optionally followed by a colon
    /// and a detail for the timeline, which is dropped here: it would create an unbounded number of
    /// labels.
    pub fn note_eviction(&self, entry: String, reason: &str) {
        let phrase = reason.split(':').next().unwrap_or_default();
        let labels = EvictionLabels {
            entry,
            reason: phrase.replace(' ', "_"),
        };
        self.evictions.get_or_create(&labels).inc();
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_LATENCY_BUCKET,
        LATENCY_STEP,
        LATENCY_BUCKETS,
    ))
}
