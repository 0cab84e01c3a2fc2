//! The choice of a shard for a new job, on shards that are simulated without a network: free processors in pieces of 2
//! to 4 cores, tasks of about a second, and digests that are late, or missing.

use super::seeded;
use lapisdrum::{
    core::{size::Size, time::Millis},
    policy::{
        dispatch::place::Load,
        shard_load::{
            self, Candidate, Class, JobDemand, LoadDigest, PoolRoom, TaskDemand, WorkMeter, choose,
        },
    },
};
use proptest::prelude::*;
use rand::{Rng, rngs::StdRng, seq::IndexedRandom};
use std::{collections::VecDeque, time::Duration};

const TICK_MS: u64 = 10;
/// Time that sending a job takes.
const SENDING_MS: u64 = 60;

fn size(millicores: u64) -> Size {
    Size {
        millicores,
        memory_mb: 100,
        accelerators: 0,
    }
}

fn class(priority: u32) -> Class {
    Class {
        pool: "pool".to_owned(),
        priority,
        load: Load::Reserving,
    }
}

fn demand(millicores: u64, tasks: u32) -> JobDemand {
    JobDemand {
        pool: "pool".to_owned(),
        priority: 0,
        steps: vec![TaskDemand {
            size: size(millicores),
            load: Load::Reserving,
            tasks,
            is_first: true,
        }],
    }
}

/// A shard with these free pieces, in thousandths of a core, on hosts of 32 cores, and nothing that waits.
fn with_room(pieces: &[u64]) -> LoadDigest {
    let free = || {
        pieces.iter().map(|millicores| Size {
            memory_mb: 64_000,
            ..size(*millicores)
        })
    };
    LoadDigest {
        waiting: Vec::new(),
        rooms: vec![PoolRoom {
            pool: "pool".to_owned(),
            free: shard_load::pieces(free()),
            idle: shard_load::pieces(free()),
            hosts: vec![Size {
                memory_mb: 64_000,
                ..size(32_000)
            }],
        }],
    }
}

/// A full shard with waiting work of the class, in thousandths of a core, and the rate at which it is placed.
fn with_queue(priority: u32, millicores: u64, placed_per_s: u64, oldest_ms: u64) -> LoadDigest {
    let mut digest = with_room(&[]);
    digest.waiting = vec![shard_load::Waiting {
        class: class(priority),
        millicores,
        oldest_ms,
        placed_per_s,
    }];
    digest
}

fn fresh(digest: &LoadDigest) -> Candidate<'_> {
    Candidate {
        digest,
        age: Duration::ZERO,
    }
}

/// Guards against totals that mislead: sixteen free cores in pieces of two hold no task of three.
#[test]
fn free_processors_in_pieces_count_by_the_size_of_a_task() {
    let narrow = with_room(&[2_000; 8]);
    assert_eq!(
        narrow.expected_wait(&demand(2_000, 8)),
        Some(Duration::ZERO)
    );
    assert!(narrow.expected_wait(&demand(3_000, 1)) > Some(Duration::ZERO));
    assert!(narrow.expected_wait(&demand(2_000, 9)) > Some(Duration::ZERO));
    assert_eq!(
        narrow.expected_wait(&demand(33_000, 1)),
        None,
        "no host is that large"
    );
    let mut elsewhere = demand(1_000, 1);
    elsewhere.pool = "other".to_owned();
    assert_eq!(narrow.expected_wait(&elsewhere), None);
}

#[test]
fn waiting_work_of_the_same_and_more_urgent_classes_is_served_first() {
    let same = with_queue(0, 20_000, 10_000, 0);
    assert_eq!(
        same.expected_wait(&demand(1_000, 1)),
        Some(Duration::from_millis(2_100))
    );
    let less_urgent = with_queue(1, 20_000, 10_000, 9_000);
    assert_eq!(
        less_urgent.expected_wait(&demand(1_000, 1)),
        Some(Duration::from_millis(100))
    );
    let stuck = with_queue(0, 1_000, 0, 8_000);
    assert_eq!(
        stuck.expected_wait(&demand(1_000, 1)),
        Some(Duration::from_secs(4))
    );
}

/// Guards against jobs that leave a shard in which they would start at once, or about as soon as elsewhere.
#[test]
fn a_job_leaves_only_for_a_clearly_sooner_start() {
    let (free, job) = (with_room(&[4_000; 8]), demand(1_000, 1));
    let chosen = |own, candidate| choose(&job, own, &[candidate], &mut seeded(1)).is_some();
    assert!(!chosen(Duration::ZERO, fresh(&free)));
    assert!(
        !chosen(Duration::from_millis(60), fresh(&free)),
        "sending costs as much"
    );
    assert!(chosen(Duration::from_millis(200), fresh(&free)));
    let aged = |age| Candidate {
        digest: &free,
        age: Duration::from_millis(age),
    };
    assert!(
        !chosen(Duration::from_millis(200), aged(500)),
        "the room may be gone"
    );
    assert!(chosen(Duration::from_secs(9), aged(500)));
    assert!(
        !chosen(Duration::from_secs(9), aged(5_000)),
        "it is too old"
    );
    let busy = with_queue(0, 20_000, 10_000, 0);
    assert!(
        !chosen(Duration::from_secs(3), fresh(&busy)),
        "both are estimates"
    );
}

/// Guards against a rate that is measured for ever from one burst of placements, and against old waits.
#[test]
fn the_rate_of_placement_follows_the_last_seconds() {
    let mut meter = WorkMeter::default();
    for slot in 0..10 {
        meter.note_placed(&class(0), 1_000, Millis(slot * 200));
    }
    meter.note_waiting(
        [(class(0), 3_000, 70), (class(0), 1_000, 900)].into_iter(),
        Millis(1_900),
    );
    let waiting = &meter.waiting(Millis(1_900))[0];
    assert_eq!((waiting.millicores, waiting.oldest_ms), (4_000, 900));
    assert_eq!(waiting.placed_per_s, 5_000);
    meter.note_waiting(std::iter::empty(), Millis(3_000));
    let waiting = &meter.waiting(Millis(3_000))[0];
    assert_eq!((waiting.millicores, waiting.oldest_ms), (0, 0));
    assert!(waiting.placed_per_s < 3_000);
    meter.note_waiting(std::iter::empty(), Millis(9_000));
    assert!(meter.waiting(Millis(9_000)).is_empty());
}

proptest! {
    /// A digest is small, whatever the hosts, and never promises more than they have.
    #[test]
    fn pieces_are_few_and_never_larger_than_what_is_free(
        free in prop::collection::vec((0_u64..64_000, 0_u64..64_000), 0..200),
        wanted in 50_u64..20_000,
    ) {
        let free: Vec<Size> = free
            .into_iter()
            .map(|(millicores, memory_mb)| Size { millicores, memory_mb, accelerators: 0 })
            .collect();
        let pieces = shard_load::pieces(free.iter().copied());
        prop_assert!(pieces.len() <= 90, "{} pieces", pieces.len());
        let wanted = size(wanted);
        let promised: u64 = pieces
            .iter()
            .map(|piece| wanted.count_in(&piece.free) * u64::from(piece.hosts))
            .sum();
        let there: u64 = free.iter().map(|free| wanted.count_in(free)).sum();
        prop_assert!(promised <= there);
    }
}

/// A shard whose hosts each have a piece of free processors.
struct Shard {
    free: Vec<u64>,
    /// When each running task ends, on which host, and its size.
    running: Vec<(u64, usize, u64)>,
    /// When each waiting task was submitted, and its size.
    waiting: VecDeque<(u64, u64)>,
    /// Tasks that are on their way here: when they arrive.
    arriving: Vec<(u64, u64, u64)>,
    meter: WorkMeter,
    digest: LoadDigest,
    made_at: u64,
    known: Vec<(usize, LoadDigest, u64)>,
}

/// Figures of a simulated day.
#[derive(Debug)]
struct Outcome {
    jobs: usize,
    sent: usize,
    worst_ms: u64,
    p95_ms: u64,
}

struct Day {
    shards: Vec<Shard>,
    rng: StdRng,
    now: u64,
    waits: Vec<u64>,
    sent: usize,
    /// Sent in each direction between two shards, within the last second.
    crossings: Vec<(u64, usize, usize)>,
    crossed: usize,
    /// Whether and how shards know each other's loads.
    exchange: Exchange,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Exchange {
    None,
    /// Digests that arrive this late, in milliseconds, and that of the last shard never.
    Late(u64),
}

impl Shard {
    fn new(rng: &mut StdRng) -> Self {
        Self {
            free: (0..20).map(|_| rng.random_range(2_000..=4_000)).collect(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            arriving: Vec::new(),
            meter: WorkMeter::default(),
            digest: LoadDigest::default(),
            made_at: 0,
            known: Vec::new(),
        }
    }

    fn pass(&mut self, now: u64, rng: &mut StdRng, waits: &mut Vec<u64>) {
        let free = &mut self.free;
        self.running.retain(|(end, host, millicores)| {
            let has_ended = *end <= now;
            free[*host] += if has_ended { *millicores } else { 0 };
            !has_ended
        });
        let arrived = self.arriving.extract_if(.., |(at, ..)| *at <= now);
        self.waiting
            .extend(arrived.map(|(_, submitted, size)| (submitted, size)));
        self.waiting.retain(|(submitted, millicores)| {
            let fitting = (0..free.len()).filter(|host| free[*host] >= *millicores);
            let Some(host) = fitting.min_by_key(|host| free[*host]) else {
                return true;
            };
            free[host] -= millicores;
            let end = now + rng.random_range(400..1_600);
            self.running.push((end, host, *millicores));
            self.meter.note_placed(&class(0), *millicores, Millis(now));
            waits.push(now - submitted);
            false
        });
        if now >= self.made_at + 100 {
            let waiting = self
                .waiting
                .iter()
                .map(|(at, size)| (class(0), *size, now - at));
            self.meter.note_waiting(waiting, Millis(now));
            self.digest = with_room(&self.free);
            self.digest.waiting = self.meter.waiting(Millis(now));
            self.made_at = now;
        }
    }
}

impl Day {
    fn new(shards: usize, exchange: Exchange, seed: u64) -> Self {
        let mut rng = seeded(seed);
        Self {
            shards: (0..shards).map(|_| Shard::new(&mut rng)).collect(),
            rng,
            now: 1_000,
            waits: Vec::new(),
            sent: 0,
            crossings: Vec::new(),
            crossed: 0,
            exchange,
        }
    }

    fn exchange_digests(&mut self, delay_ms: u64) {
        let last = self.shards.len() - 1;
        for own in 0..self.shards.len() {
            if !self.shards[own].digest.has_waiting() {
                continue;
            }
            let others: Vec<usize> = (0..last).filter(|other| *other != own).collect();
            let asked: Vec<usize> = others.choose_multiple(&mut self.rng, 2).copied().collect();
            for other in asked {
                let digest = self.shards[other].digest.clone();
                let known = &mut self.shards[own].known;
                known.retain(|(shard, ..)| *shard != other);
                known.push((other, digest, self.now.saturating_sub(delay_ms)));
            }
        }
    }

    fn submit(&mut self, home: usize) {
        let millicores = self.rng.random_range(800..2_400);
        let job = demand(millicores, 1);
        let own = &self.shards[home];
        let wait = own.digest.expected_wait(&job).expect("it fits");
        let candidates: Vec<Candidate> = own
            .known
            .iter()
            .map(|(_, digest, at)| Candidate {
                digest,
                age: Duration::from_millis(self.now - at),
            })
            .collect();
        let chosen = choose(&job, wait, &candidates, &mut self.rng);
        let own = &mut self.shards[home];
        let Some(chosen) = chosen else {
            own.digest.take(&job);
            own.arriving.push((self.now, self.now, millicores));
            return;
        };
        let (to, digest, _) = &mut own.known[chosen.candidate];
        digest.take_sent(&job);
        let to = *to;
        self.shards[to]
            .arriving
            .push((self.now + SENDING_MS, self.now, millicores));
        self.sent += 1;
        let now = self.now;
        self.crossings.retain(|(at, ..)| at + 1_000 > now);
        self.crossed += usize::from(
            self.crossings
                .iter()
                .any(|(_, a, b)| (*a, *b) == (to, home)),
        );
        self.crossings.push((now, home, to));
    }

    /// Plays `length_ms`; `per_s` gives the submissions a second of a shard at a time.
    fn play(mut self, length_ms: u64, per_s: impl Fn(usize, u64) -> f64) -> (Outcome, usize) {
        let end = self.now + length_ms;
        let started_at = self.now;
        while self.now < end || self.shards.iter().any(|s| !s.waiting.is_empty()) {
            for shard in &mut self.shards {
                shard.pass(self.now, &mut self.rng, &mut self.waits);
            }
            if let Exchange::Late(delay_ms) = self.exchange
                && self.now.is_multiple_of(250)
            {
                self.exchange_digests(delay_ms);
            }
            for home in 0..self.shards.len() {
                let rate = per_s(home, self.now - started_at) * TICK_MS as f64 / 1_000.0;
                let is_due = self.now < end && self.rng.random_bool(rate.min(1.0));
                if is_due {
                    self.submit(home);
                }
            }
            self.now += TICK_MS;
            assert!(self.now < end + 600_000, "tasks wait for ever");
        }
        self.waits.sort();
        let outcome = Outcome {
            jobs: self.waits.len(),
            sent: self.sent,
            worst_ms: *self.waits.last().expect("waits"),
            p95_ms: self.waits[self.waits.len() * 95 / 100],
        };
        (outcome, self.crossed)
    }
}

/// Submissions a second that fill a shard: some thirty tasks of a second fit at a time.
const FULL: f64 = 31.0;

/// A burst of three times what a shard can do, for six seconds at one shard of four.
fn burst(home: usize, at: u64) -> f64 {
    let is_burst = home == 0 && (4_000..10_000).contains(&at);
    if is_burst { 2.4 * FULL } else { 0.4 * FULL }
}

/// Demand that swings by 55 % in 17 s, out of phase.
fn swing(home: usize, at: u64) -> f64 {
    let phase = at as f64 / 17_000.0 + home as f64 / 4.0;
    0.85 * FULL * (1.0 + 0.55 * (phase * std::f64::consts::TAU).sin())
}

/// Guards against a burst that waits in its shard beside free processors of others.
#[test]
fn a_burst_goes_where_there_is_room() {
    for seed in 1..=4 {
        let (alone, _) = Day::new(4, Exchange::None, seed).play(16_000, burst);
        let (spread, _) = Day::new(4, Exchange::Late(30), seed).play(16_000, burst);
        assert_eq!(alone.sent, 0);
        assert!(spread.sent > 0 && spread.jobs > 0);
        assert!(alone.worst_ms > 4_000, "{alone:?}");
        assert!(spread.worst_ms * 2 < alone.worst_ms, "{alone:?} {spread:?}");
        assert!(spread.p95_ms * 3 < alone.p95_ms, "{alone:?} {spread:?}");
    }
}

/// Guards against queues in turn where the demand of shards swings out of phase.
#[test]
fn swings_out_of_phase_even_out() {
    for seed in 1..=4 {
        let (alone, _) = Day::new(4, Exchange::None, seed).play(34_000, swing);
        let (spread, _) = Day::new(4, Exchange::Late(30), seed).play(34_000, swing);
        assert!(spread.p95_ms * 2 < alone.p95_ms, "{alone:?} {spread:?}");
        assert!(spread.worst_ms < alone.worst_ms, "{alone:?} {spread:?}");
    }
}

/// Guards against digests half a second old, and one shard that tells nothing, which make waits worse than no choice.
#[test]
fn stale_and_missing_digests_do_no_harm() {
    for seed in 1..=4 {
        for demand in [burst, swing] {
            let (alone, _) = Day::new(4, Exchange::None, seed).play(34_000, demand);
            let (stale, _) = Day::new(4, Exchange::Late(500), seed).play(34_000, demand);
            assert!(stale.p95_ms <= alone.p95_ms, "{alone:?} {stale:?}");
            // The days draw different sizes and run times.
            assert!(
                stale.worst_ms <= alone.worst_ms * 11 / 10 + 100,
                "{alone:?} {stale:?}"
            );
        }
    }
}

/// Guards against shards of equal load that send each other jobs, also at many shards.
#[test]
fn shards_of_equal_load_keep_their_jobs() {
    for (shards, load) in [(4, 0.6), (4, 1.2), (40, 0.6)] {
        let day = Day::new(shards, Exchange::Late(30), 7);
        let (even, crossed) = day.play(20_000, |_, _| load * FULL);
        println!("{crossed} of {even:?} crossed at {load}");
        assert!(
            load > 1.0 || even.sent * 20 < even.jobs,
            "{even:?} at {load}"
        );
        assert!(
            crossed * 50 < even.jobs,
            "{crossed} of {even:?} crossed at {load}"
        );
    }
}

/// Guards against many homes that choose the same shard by the same digests: eleven of twelve shards have a burst, and
/// the idle one must not become the worst.
#[test]
fn one_idle_shard_is_not_flooded() {
    let demand = |home: usize, _: u64| if home == 0 { 0.0 } else { 1.2 * FULL };
    for seed in 1..=4 {
        let (alone, _) = Day::new(12, Exchange::None, seed).play(10_000, demand);
        let (spread, _) = Day::new(12, Exchange::Late(30), seed).play(10_000, demand);
        assert!(
            spread.worst_ms <= alone.worst_ms * 11 / 10,
            "{alone:?} {spread:?}"
        );
    }
}
