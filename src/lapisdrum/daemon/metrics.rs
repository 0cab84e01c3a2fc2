//! Counters and histograms under the ecosystem's naming rules, written as text for `/metrics`.

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

/// Least bound of the latency buckets, in seconds.
const FIRST_LATENCY_BUCKET: f64 = 0.000_5;
/// Latency buckets; the last bound is 16 s.
const LATENCY_BUCKETS: u16 = 16;

/// Labels of request metrics.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The catalogue entry.
    pub entry: String,
    /// `done`, `refused` or `unknown`.
    pub outcome: &'static str,
}

/// Labels of metrics by entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EntryLabel {
    /// The catalogue entry.
    pub entry: String,
}

/// Labels of refusals.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// A fixed word.
    pub reason: &'static str,
}

/// All metrics of a daemon.
pub struct Metrics {
    registry: Registry,
    /// Requests answered, by entry and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Time from a request's arrival to its answer, by entry.
    pub request_seconds: Family<EntryLabel, Histogram>,
    /// Refusals, by reason.
    pub refusals: Family<ReasonLabel, Counter>,
    /// Jobs that ended well: batch throughput.
    pub jobs_done: Counter,
    /// Tasks started on workers.
    pub task_starts: Counter,
    /// Tasks that lost their place.
    pub evictions: Counter,
    /// Ledger rows written.
    pub ledger_writes: Counter,
    /// Ledger events written.
    pub ledger_events: Counter,
    /// Transactions whose answer was lost.
    pub platform_unknown: Counter,
    /// Parts that were started again.
    pub part_restarts: Counter,
    /// The catalogue revision in force.
    pub revision: Gauge,
    /// Shards owned.
    pub shards_owned: Gauge,
    /// Whether the platform answers: 1 or 0.
    pub platform_up: Gauge,
}

impl Metrics {
    /// Registers every metric at zero.
    pub fn new() -> Self {
        let mut m = Self {
            registry: Registry::with_prefix("lapisdrum"),
            requests: Family::default(),
            request_seconds: Family::new_with_constructor(latency_histogram),
            refusals: Family::default(),
            jobs_done: Counter::default(),
            task_starts: Counter::default(),
            evictions: Counter::default(),
            ledger_writes: Counter::default(),
            ledger_events: Counter::default(),
            platform_unknown: Counter::default(),
            part_restarts: Counter::default(),
            revision: Gauge::default(),
            shards_owned: Gauge::default(),
            platform_up: Gauge::default(),
        };
        m.register();
        m
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests answered", self.requests.clone());
        r.register(
            "request_seconds",
            "Time to the answer",
            self.request_seconds.clone(),
        );
        r.register(
            "refusals",
            "Requests and jobs refused",
            self.refusals.clone(),
        );
        r.register("jobs_done", "Jobs that ended well", self.jobs_done.clone());
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
            self.part_restarts.clone(),
        );
        r.register(
            "catalogue_revision",
            "Catalogue revision in force",
            self.revision.clone(),
        );
        r.register("shards_owned", "Shards owned", self.shards_owned.clone());
        r.register(
            "platform_up",
            "Whether the platform answers",
            self.platform_up.clone(),
        );
    }

    /// All metrics in the text form.
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
        2.0,
        LATENCY_BUCKETS,
    ))
}
