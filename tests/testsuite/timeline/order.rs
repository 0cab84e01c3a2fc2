//! The order of timestamps over random exchanges between daemons whose clocks differ by minutes.

use lapisdrum::{
    core::id::{DaemonId, Incarnation, Revision},
    timeline::{
        event::{Filter, Happening, Record, Stamp},
        ring::Timeline,
    },
};
use proptest::prelude::*;
use std::{cell::Cell, time::Duration};
use uhlc::NTP64;

const DAEMONS: usize = 3;
const BASE: Duration = Duration::from_secs(1_700_000_000);

thread_local! {
    /// The clock of the daemon that acts in this step.
    static CLOCK: Cell<Duration> = const { Cell::new(BASE) };
}

fn shown() -> NTP64 {
    NTP64::from(CLOCK.get())
}

fn timeline(index: usize, capacity: usize) -> Timeline {
    let name = DaemonId::try_from(format!("daemon-{index}")).expect("a name");
    let incarnation = Incarnation(index as u64 + 1);
    Timeline::with_clock(&name, incarnation, capacity, shown)
}

#[derive(Clone, Debug)]
enum Step {
    /// A daemon records an event.
    Record(usize),
    /// A daemon sends a message, which arrives at another one later or never.
    Send(usize),
    /// A daemon receives one of the messages in flight, which may be old or a duplicate.
    Receive(usize, prop::sample::Index),
    /// Real time passes.
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..DAEMONS).prop_map(Step::Record),
        2 => (0..DAEMONS).prop_map(Step::Send),
        3 => (0..DAEMONS, any::<prop::sample::Index>()).prop_map(|(at, which)| {
            Step::Receive(at, which)
        }),
        1 => (0..5_000_u64).prop_map(Step::Pass),
    ]
}

/// A vector clock: for each daemon, the number of its events that came before.
type Causes = [u64; DAEMONS];

fn precedes(a: &Causes, b: &Causes) -> bool {
    a != b && a.iter().zip(b).all(|(a, b)| a <= b)
}

/// The state that the property needs besides the code under test.
struct Run {
    lines: Vec<Timeline>,
    skews: [i64; DAEMONS],
    now: Duration,
    causes: [Causes; DAEMONS],
    in_flight: Vec<(Stamp, Causes)>,
    events: Vec<(Stamp, Causes)>,
}

impl Run {
    fn new(skews: [i64; DAEMONS]) -> Self {
        Self {
            lines: (0..DAEMONS).map(|i| timeline(i, 1_000)).collect(),
            skews,
            now: BASE,
            causes: [[0; DAEMONS]; DAEMONS],
            in_flight: Vec::new(),
            events: Vec::new(),
        }
    }

    /// The daemon's timeline, with the clock set to the daemon's own time.
    fn act_as(&self, daemon: usize) -> &Timeline {
        let skew = Duration::from_millis(self.skews[daemon].unsigned_abs());
        CLOCK.set(match self.skews[daemon] < 0 {
            true => self.now - skew,
            false => self.now + skew,
        });
        &self.lines[daemon]
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Record(at) => {
                self.causes[*at][*at] += 1;
                let stamp = self.act_as(*at).record(Happening::DaemonReady {});
                self.events.push((stamp, self.causes[*at]));
            }
            Step::Send(at) => {
                let stamp = self.act_as(*at).stamp();
                self.in_flight.push((stamp, self.causes[*at]));
            }
            Step::Receive(at, which) => {
                if self.in_flight.is_empty() {
                    return;
                }
                let (stamp, causes) = self.in_flight[which.index(self.in_flight.len())];
                self.act_as(*at).observe(stamp);
                for (own, received) in self.causes[*at].iter_mut().zip(causes) {
                    *own = (*own).max(received);
                }
            }
            Step::Pass(ms) => self.now += Duration::from_millis(*ms),
        }
    }
}

const HALF_AN_HOUR_MS: i64 = 30 * 60 * 1_000;

proptest! {
    /// Three daemons whose clocks differ by up to an hour record events and exchange messages that
    /// arrive late, out of order, twice or never. Sorted by timestamp, no effect may come before its
    /// cause.
    #[test]
    fn an_effect_never_sorts_before_its_cause(
        skews in prop::array::uniform3(-HALF_AN_HOUR_MS..HALF_AN_HOUR_MS),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut run = Run::new(skews);
        for step in &steps {
            run.apply(step);
        }
        for (effect, effect_causes) in &run.events {
            for (cause, cause_causes) in &run.events {
                if precedes(cause_causes, effect_causes) {
                    prop_assert!(cause < effect, "{cause:?} not before {effect:?}");
                }
            }
        }
    }

    /// For any number of events the ring keeps the last ones, in order, and counts the dropped ones.
    #[test]
    fn the_ring_keeps_the_newest_and_counts_the_rest(capacity in 1_usize..50, count in 0_u64..120) {
        let line = timeline(0, capacity);
        for revision in 0..count {
            line.record(Happening::RevisionApplied { revision: Revision(revision) });
        }
        let (records, dropped) = line.read();
        prop_assert_eq!(records.len() as u64 + dropped, count);
        prop_assert!(records.len() <= capacity);
        let kept: Vec<Happening> = records.into_iter().map(|record| record.what).collect();
        let wanted = (dropped..count).map(|n| Happening::RevisionApplied { revision: Revision(n) });
        prop_assert_eq!(kept, wanted.collect::<Vec<_>>());
    }
}

/// Filters by job, worker and time leave out the events that don't match.
#[test]
fn filters_keep_what_matches() {
    let line = timeline(0, 10);
    let job = "westlands.0-01".try_into().expect("an id");
    let other = "westlands.0-02".try_into().expect("an id");
    let worker: lapisdrum::core::id::WorkerId = "worker-1".try_into().expect("a name");
    for job in [&job, &other] {
        line.record(Happening::TaskStarted {
            job: Clone::clone(job),
            worker: worker.clone(),
        });
    }
    let last = line.record(Happening::WorkerSilent {
        worker: worker.clone(),
    });
    let (records, _) = line.read();
    let count = |filter: &Filter| {
        records
            .iter()
            .filter(|record| filter.matches(record))
            .count()
    };
    let by_job = Filter {
        job: Some(job),
        ..Filter::default()
    };
    let by_worker = Filter {
        worker: Some(worker),
        ..Filter::default()
    };
    let by_time = Filter {
        since: Some(last.time),
        ..Filter::default()
    };
    assert_eq!(count(&by_job), 1);
    assert_eq!(count(&by_worker), 3);
    assert_eq!(count(&by_time), 1);
    let shown = Record::to_string(&records[2]);
    assert!(shown.starts_with("2023-11-14T22:13:20.000Z"), "{shown}");
    assert!(shown.ends_with("worker=worker-1"), "{shown}");
}
