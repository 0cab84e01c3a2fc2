//! The load patterns that the policies answer, over the two deployments of today.

use super::{
    bench::Trial,
    load::{Persistence, Rate, RunTime, Stream, WorkerKind},
};
use lapisdrum::core::catalogue::Class;
use std::time::Duration;

/// A deployment's sizes, one data centre of it.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Its name in tables.
    pub name: &'static str,
    /// Workers of a data centre.
    pub workers: usize,
    /// Slots of each.
    pub slots: u32,
    /// Daemons of a data centre.
    pub daemons: u32,
    /// One way to clients.
    pub client_delay: Duration,
    /// Workers of all data centres.
    pub all_workers: usize,
    /// Workers of a rack.
    pub per_rack: usize,
    /// Cores of a worker.
    pub cores: u64,
    /// Memory of a worker, in megabytes.
    pub memory_mb: u64,
}

/// A quarter of 65 workers; 1 ms to clients.
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

/// A quarter of 50 workers; 3 ms to clients.
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

/// The run time of a latency-critical request.
pub const SHORT_RUN: RunTime = RunTime {
    median_ms: 20.0,
    sigma: 0.5,
};

/// The run time of a long request.
const LONG_RUN: RunTime = RunTime {
    median_ms: 1_000.0,
    sigma: 0.3,
};

/// A load pattern.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// Half of the capacity, nothing wrong: what the others are measured against.
    Uncontended,
    /// Twice the capacity for all of the trial.
    Overload,
    /// The same, and refused callers come back when they were told to.
    OverloadObedient,
    /// The same, and refused callers come back after 100 ms whatever they were told.
    OverloadImpatient,
    /// Half load and two seconds of ten times the capacity.
    Burst,
    /// Half load, and one caller of the same entry who sends three times the capacity.
    HotCaller,
    /// Half load, one worker ten times slower.
    OneSlow,
    /// Half load, one worker that never answers.
    OneHanging,
    /// Half load, one worker that fails at once.
    OneFailing,
    /// Half load of short requests beside long requests of another owner at the full capacity.
    LongAmongShort,
    /// Batch requests at twice the capacity beside latency-critical ones at half of it.
    BatchBeside,
}

impl Pattern {
    /// All of them, with their names in tables.
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

    /// The trial of this pattern; its first stream is the one that is judged.
    pub fn trial(self, profile: &Profile, length: Duration, seed: u64) -> Trial {
        let capacity = profile.capacity(SHORT_RUN);
        let short = |rate| Stream::critical("short", rate, SHORT_RUN);
        let half = short(Rate::Steady(capacity / 2.0));
        let mut workers = vec![WorkerKind::Sound; profile.workers];
        let streams = match self {
            Self::Uncontended => vec![half],
            Self::Overload => vec![short(Rate::Steady(capacity * 2.0))],
            Self::OverloadObedient => vec![Stream {
                persistence: Persistence::Obedient(10),
                ..short(Rate::Steady(capacity * 2.0))
            }],
            Self::OverloadImpatient => vec![Stream {
                persistence: Persistence::Impatient(Duration::from_millis(100), 10),
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
    /// Requests a second that all slots together can run.
    pub fn capacity(&self, run: RunTime) -> f64 {
        self.workers as f64 * f64::from(self.slots) / run.mean_s()
    }
}
