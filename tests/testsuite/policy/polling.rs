//! Many processes that poll one store of a fixed rate.

use super::seeded;
use lapisdrum::policy::polling::{PollRate, urgent_pause};
use rand::{Rng, rngs::StdRng};
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// Usual pauses between two reads of a lease, and of the catalogue.
const LEASE: Duration = Duration::from_millis(150);
const CATALOGUE: Duration = Duration::from_millis(600);
/// Longest time that a read takes; it differs from call to call.
const CALL: Duration = Duration::from_millis(20);
const LENGTH: Duration = Duration::from_secs(60);
/// What happens while the processes find the store's rate out doesn't count.
const SETTLED: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Read {
    Lease,
    Catalogue,
}

/// What a run showed once the processes had settled.
#[derive(Debug, Default)]
struct Seen {
    /// The longest time between two reads of the catalogue by one process.
    oldest_catalogue: Duration,
    /// Parts of all reads, in thousandths.
    refused_permille: usize,
    lease_reads: usize,
}

/// A store that answers so many reads a second, a few at once, and refuses the rest.
struct Store {
    rate: f64,
    /// Reads that it would answer at once.
    tokens: f64,
    at: Duration,
}

impl Store {
    /// Most reads that are answered at once, as a part of a second's.
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

fn play(processes: usize, rate: usize, is_adapting: bool, rng: &mut StdRng) -> Seen {
    let mut store = Store::new(rate);
    let mut rates = vec![PollRate::default(); processes];
    let mut read_at = vec![SETTLED; processes];
    let mut due = BinaryHeap::new();
    for process in 0..processes {
        for read in [Read::Lease, Read::Catalogue] {
            let first = rng.random_range(Duration::ZERO..CATALOGUE);
            due.push(Reverse((first, process, read)));
        }
    }
    let (mut seen, mut reads, mut refused) = (Seen::default(), 0, 0);
    while let Some(Reverse((at, process, read))) = due.pop() {
        if at >= LENGTH {
            break;
        }
        let is_answered = store.answers(at);
        match is_answered {
            _ if !is_adapting => {}
            true => rates[process].answered(),
            false => rates[process].refused(),
        }
        if at >= SETTLED {
            reads += 1;
            refused += usize::from(!is_answered);
            seen.lease_reads += usize::from(read == Read::Lease);
        }
        if read == Read::Catalogue && is_answered && at >= SETTLED {
            let age = at - read_at[process];
            seen.oldest_catalogue = seen.oldest_catalogue.max(age);
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
    seen.refused_permille = refused * 1_000 / reads;
    seen
}

/// Guards against a change of the catalogue that some of three hundred processes don't read for seconds, since reads of
/// leases use the store's rate up. In force within 2 s is asked for; a read may come just before the change.
#[test]
fn the_catalogue_is_read_in_time_however_many_processes_poll() {
    for seed in 0..3 {
        let fixed = play(300, 1_300, false, &mut seeded(seed));
        let adapting = play(300, 1_300, true, &mut seeded(seed));
        assert!(fixed.oldest_catalogue > Duration::from_secs(3), "{fixed:?}");
        assert!(
            adapting.oldest_catalogue < Duration::from_secs(2),
            "{adapting:?}"
        );
        assert!(adapting.refused_permille < 150, "{adapting:?}");
    }
}

/// Guards against leases that are looked at too seldom where the store has the rate for it.
#[test]
fn nothing_slows_down_below_the_rate() {
    let fixed = play(30, 2_000, false, &mut seeded(1));
    let adapting = play(30, 2_000, true, &mut seeded(1));
    assert_eq!(adapting.refused_permille, 0);
    assert!(adapting.lease_reads * 100 >= fixed.lease_reads * 99);
}

/// Guards against a process that looks at leases seldom long after the store turned it away for a while.
#[test]
fn a_process_that_was_turned_away_is_soon_back_at_its_pace() {
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
