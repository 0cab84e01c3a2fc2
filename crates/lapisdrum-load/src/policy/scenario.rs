//! Load patterns of the request trials, for the two present deployments.

use super::{
    bench::Trial,
    load::{Rate, RetryBehaviour, RunTime, Stream, WorkerKind},
};
use lapisdrum::core::catalogue::Class;
use std::time::Duration;

/// Sizes of a deployment and of one of its data centres.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Name in tables.
    pub name: &'static str,
    /// Workers in one data centre.
    pub workers: usize,
    /// Request slots per worker.
    pub slots: u32,
    /// Daemons in one data centre.
    pub daemons: u32,
    /// One-way delay between clients and daemons.
    pub client_delay: Duration,
    /// Workers in all data centres.
    pub all_workers: usize,
    /// Workers per rack.
    pub per_rack: usize,
    /// Cores per worker.
    pub cores: u64,
    /// Memory per worker, in megabytes.
    pub memory_mb: u64,
}

/// One data centre has a quarter of the 65 workers; clients are 1 ms away.
pub const MWANGAZA: Profile = Profile {
    name: "mwangaza",
    workers: 16,
    slots: 8,
    daemons: 2,
    client_delay: Duration::from_millis(1),
    all_workers: 65,
    per_rack: 8,
    cores: 32,
    memory_mb: 125_000,
};

/// One data centre has a quarter of the 50 workers; clients are 3 ms away.
pub const INDUS: Profile = Profile {
    name: "indus",
    workers: 12,
    slots: 8,
    daemons: 2,
    client_delay: Duration::from_millis(3),
    all_workers: 50,
    per_rack: 6,
    cores: 16,
    memory_mb: 60_000,
};

/// Run time of a short request.
pub const SHORT_RUN: RunTime = RunTime {
    median_ms: 20.0,
    sigma: 0.5,
};

/// Run time of a long request.
const LONG_RUN: RunTime = RunTime {
    median_ms: 1_000.0,
    sigma: 0.3,
};

/// A load pattern. Capacity is the rate of short requests that all slots together can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// Half of the capacity and no faults: the reference for the other patterns.
    Uncontended,
    /// Twice the capacity throughout the trial.
    Overload,
    /// Twice the capacity; refused callers retry after the time given in the refusal.
    OverloadObedient,
    /// Twice the capacity; refused callers retry after 100 ms and ignore the time in the refusal.
    OverloadImpatient,
    /// Half of the capacity, with two seconds at ten times the capacity.
    Burst,
    /// Half of the capacity, and one more caller of the same entry that sends three times the capacity.
    HotCaller,
    /// Half of the capacity; one worker is ten times slower.
    OneSlow,
    /// Half of the capacity; one worker never answers.
    OneHanging,
    /// Half of the capacity; one worker fails each request after 0.5 ms.
    OneFailing,
    /// Half of the capacity in short requests, and long requests of another owner that by themselves would fill
    /// all slots.
    LongAmongShort,
    /// Latency-critical requests at half of the capacity, and batch requests at twice the capacity.
    BatchBeside,
}

impl Pattern {
    /// All patterns, with their names in tables.
    pub const ALL: [(&'static str, Self); 11] = [
        ("uncontended", Self::Uncontended),
        ("overload", Self::Overload),
        ("overload obedient", Self::OverloadObedient),
        ("overload impatient", Self::OverloadImpatient),
        ("burst", Self::Burst),
        ("hot caller", Self::HotCaller),
        ("one slow", Self::OneSlow),
        ("one hanging", Self::OneHanging),
        ("one failing", Self::OneFailing),
        ("long among short", Self::LongAmongShort),
        ("batch beside", Self::BatchBeside),
    ];

    /// The trial of this pattern. Its first stream is the one whose results are compared.
    pub fn trial(self, profile: &Profile, length: Duration, seed: u64) -> Trial {
        let capacity = profile.capacity(SHORT_RUN);
        let short = |rate| Stream::critical("short", rate, SHORT_RUN);
        let half = short(Rate::Steady(capacity / 2.0));
        let mut workers = vec![WorkerKind::Healthy; profile.workers];
        let streams = match self {
            Self::Uncontended => vec![half],
            Self::Overload => vec![short(Rate::Steady(capacity * 2.0))],
            Self::OverloadObedient => vec![Stream {
                retry_behaviour: RetryBehaviour::RetryAfter(10),
                ..short(Rate::Steady(capacity * 2.0))
            }],
            Self::OverloadImpatient => vec![Stream {
                retry_behaviour: RetryBehaviour::FixedDelay(Duration::from_millis(100), 10),
                ..short(Rate::Steady(capacity * 2.0))
            }],
            Self::Burst => vec![short(Rate::Burst {
                base: capacity / 2.0,
                peak: capacity * 10.0,
                from: length / 2,
                to: length / 2 + Duration::from_secs(2),
            })],
            Self::HotCaller => {
                let hot = Stream {
                    callers: 1,
                    ..short(Rate::Steady(capacity * 3.0))
                };
                vec![half, hot]
            }
            Self::OneSlow | Self::OneHanging | Self::OneFailing => {
                workers[0] = self.bad_worker();
                vec![half]
            }
            Self::LongAmongShort => {
                let rate = Rate::Steady(profile.capacity(LONG_RUN));
                let long = Stream {
                    deadline: Duration::from_secs(10),
                    ..Stream::critical("long", rate, LONG_RUN)
                };
                vec![half, long]
            }
            Self::BatchBeside => {
                let batch = Stream {
                    class: Class::Batch,
                    deadline: Duration::from_secs(60),
                    ..Stream::critical("batch", Rate::Steady(capacity * 2.0), SHORT_RUN)
                };
                vec![half, batch]
            }
        };
        Trial {
            workers,
            slots: profile.slots,
            daemons: profile.daemons,
            client_delay: profile.client_delay,
            streams,
            length,
            warm_up: length / 4,
            seed,
        }
    }

    fn bad_worker(self) -> WorkerKind {
        match self {
            Self::OneSlow => WorkerKind::Slow(10.0),
            Self::OneHanging => WorkerKind::Hanging,
            _ => WorkerKind::Failing,
        }
    }
}

impl Profile {
    /// Requests per second that all slots of a data centre together can run.
    pub fn capacity(&self, run: RunTime) -> f64 {
        self.workers as f64 * f64::from(self.slots) / run.mean_s()
    }
}
