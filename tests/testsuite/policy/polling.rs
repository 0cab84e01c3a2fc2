//! Many processes that poll one store of a fixed request rate.

use super::seeded;
use lapisdrum::policy::polling::{PollRate, urgent_pause};
use rand::{Rng, rngs::StdRng};
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// Configured pauses between two reads of a lease, and of the catalogue.
const LEASE: Duration = Duration::from_millis(150);
const CATALOGUE: Duration = Duration::from_millis(600);
/// Upper bound of the duration of a read, which is drawn at random.
const CALL: Duration = Duration::from_millis(20);
const DURATION: Duration = Duration::from_secs(60);
/// Warm-up that is left out of the results: the processes still estimate the store's rate.
const WARM_UP: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Read {
    Lease,
    Catalogue,
}

/// Results after the warm-up.
#[derive(Debug, Default)]
struct Results {
    /// Longest time between two answered reads of the catalogue by one process.
    longest_catalogue_interval: Duration,
    /// Refused reads per thousand reads.
    refused_permille: usize,
    lease_reads: usize,
}

/// A store with a token bucket: reads beyond its rate and burst are refused.
struct Store {
    rate: f64,
    /// Reads that would be answered now.
    tokens: f64,
    at: Duration,
}

impl Store {
    /// Size of the token bucket, in seconds of the rate.
    const BURST: f64 = 0.05;

    fn new(rate: usize) -> Self {
        Self {
            rate: rate as f64,
            tokens: 0.0,
            at: Duration::ZERO,
        }
    }

    fn answers(&mut self, at: Duration) -> bool {
        let since = (at - self.at).as_secs_f64();
        self.tokens = (self.tokens + since * self.rate).min(self.rate * Self::BURST);
        self.at = at;
        let is_answered = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(is_answered));
        is_answered
    }
}

fn simulate(processes: usize, rate: usize, is_adapting: bool, rng: &mut StdRng) -> Results {
    let mut store = Store::new(rate);
    let mut rates = vec![PollRate::default(); processes];
    let mut read_at = vec![WARM_UP; processes];
    let mut due = BinaryHeap::new();
    for process in 0..processes {
        for read in [Read::Lease, Read::Catalogue] {
            let first = rng.random_range(Duration::ZERO..CATALOGUE);
            due.push(Reverse((first, process, read)));
        }
    }
    let (mut results, mut reads, mut refused) = (Results::default(), 0, 0);
    while let Some(Reverse((at, process, read))) = due.pop() {
        if at >= DURATION {
            break;
        }
        let is_answered = store.answers(at);
        match is_answered {
            _ if !is_adapting => {}
            true => rates[process].answered(),
            false => rates[process].refused(),
        }
        if at >= WARM_UP {
            reads += 1;
            refused += usize::from(!is_answered);
            results.lease_reads += usize::from(read == Read::Lease);
        }
        if read == Read::Catalogue && is_answered && at >= WARM_UP {
            let age = at - read_at[process];
            results.longest_catalogue_interval = results.longest_catalogue_interval.max(age);
            read_at[process] = at;
        }
        let pause = match read {
            Read::Lease => rates[process].pause(LEASE),
            Read::Catalogue if is_adapting => urgent_pause(CATALOGUE, !is_answered, rng),
            Read::Catalogue => CATALOGUE,
        };
        let call = rng.random_range(Duration::ZERO..CALL);
        due.push(Reverse((at + call + pause, process, read)));
    }
    results.refused_permille = refused * 1_000 / reads;
    results
}

/// Guards against catalogue changes that some of 300 processes read seconds late because reads of
/// leases use up the store's rate. A change has to be in force within 2 s; a read may come just
/// before it.
#[test]
fn the_catalogue_is_read_in_time_however_many_processes_poll() {
    for seed in 0..3 {
        let fixed = simulate(300, 1_300, false, &mut seeded(seed));
        let adapting = simulate(300, 1_300, true, &mut seeded(seed));
        assert!(
            fixed.longest_catalogue_interval > Duration::from_secs(3),
            "{fixed:?}"
        );
        assert!(
            adapting.longest_catalogue_interval < Duration::from_secs(2),
            "{adapting:?}"
        );
        assert!(adapting.refused_permille < 150, "{adapting:?}");
    }
}

/// Guards against leases that are polled too seldom although the store has the rate for it.
#[test]
fn nobody_polls_slower_below_the_rate() {
    let fixed = simulate(30, 2_000, false, &mut seeded(1));
    let adapting = simulate(30, 2_000, true, &mut seeded(1));
    assert_eq!(adapting.refused_permille, 0);
    assert!(adapting.lease_reads * 100 >= fixed.lease_reads * 99);
}

/// Guards against a process that still polls leases slowly long after the store stopped refusing
/// its reads.
#[test]
fn a_process_that_was_refused_soon_polls_at_the_configured_rate() {
    let mut rate = PollRate::default();
    for _ in 0..20 {
        rate.refused();
    }
    let mut passed = Duration::ZERO;
    while rate.is_slowed() {
        passed += rate.pause(LEASE);
        rate.answered();
    }
    assert!(passed < Duration::from_secs(10), "{passed:?}");
}
