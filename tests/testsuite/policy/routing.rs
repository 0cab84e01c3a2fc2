//! The choice of a worker by outstanding requests and recent latency.

use super::{entry, seeded, worker};
use lapisdrum::{
    core::{id::WorkerId, time::Millis},
    policy::routing::{Candidate, Routing, SLOWNESS_HALF_LIFE, SendOutcome},
};
use proptest::prelude::*;
use std::time::Duration;

const POOL: usize = 10;

fn candidates<'a>(workers: &'a [WorkerId], outstanding: &[u32]) -> Vec<Candidate<'a>> {
    let each = workers.iter().zip(outstanding);
    each.map(|(worker, n)| Candidate {
        worker,
        outstanding: *n,
    })
    .collect()
}

/// Sends one request to each worker, answered after `ms`, or `first_ms` by the first worker.
fn send_to_each(routing: &mut Routing, workers: &[WorkerId], ms: u64, first_ms: u64, at: Millis) {
    let map = entry("map");
    for (i, worker) in workers.iter().enumerate() {
        let took = Duration::from_millis(if i == 0 { first_ms } else { ms });
        routing.note_sent(worker, &map, at);
        routing.note_outcome(worker, &map, at, SendOutcome::Answered, POOL, at + took);
    }
}

fn draws_of_first(routing: &Routing, workers: &[WorkerId], now: Millis) -> usize {
    let mut rng = seeded(5);
    let open = candidates(workers, &[1; POOL]);
    (0..1_000)
        .filter(|_| routing.choose(&open, now, &mut rng) == Some(0))
        .count()
}

fn pool() -> Vec<WorkerId> {
    (0..POOL).map(worker).collect()
}

proptest! {
    /// A worker is chosen whenever there is a candidate, also when all are ejected or failing.
    #[test]
    fn a_worker_is_always_chosen(seed in any::<u64>(), count in 0..10_usize, failures in 0..50_u32) {
        let workers: Vec<WorkerId> = (0..count).map(worker).collect();
        let mut routing = Routing::default();
        for _ in 0..failures {
            for worker in &workers {
                routing.note_sent(worker, &entry("map"), Millis(0));
                routing.note_outcome(worker, &entry("map"), Millis(0), SendOutcome::Failed, count, Millis(1));
            }
        }
        let open = candidates(&workers, &vec![0; count]);
        let chosen = routing.choose(&open, Millis(2), &mut seeded(seed));
        prop_assert_eq!(chosen.is_some(), count > 0);
        prop_assert!(chosen.is_none_or(|i| i < count));
    }
}

/// Of two workers drawn at random the one with fewer outstanding requests is chosen, so the busiest
/// of ten is chosen only when it is drawn twice.
#[test]
fn the_busiest_worker_is_avoided() {
    let workers = pool();
    let mut outstanding = [1; POOL];
    outstanding[0] = 8;
    let (routing, mut rng) = (Routing::default(), seeded(5));
    let open = candidates(&workers, &outstanding);
    let chosen = (0..1_000).filter(|_| routing.choose(&open, Millis(0), &mut rng) == Some(0));
    assert!(chosen.count() < 30);
}

/// A worker whose requests took longer than those of the others is chosen seldom. Its latency is
/// forgotten over time, so that it is tried again once it has recovered.
#[test]
fn a_slow_worker_is_avoided_and_tried_again() {
    let workers = pool();
    let mut routing = Routing::default();
    for i in 0..4 {
        send_to_each(&mut routing, &workers, 20, 50, Millis(i * 1_000));
    }
    assert!(draws_of_first(&routing, &workers, Millis(4_000)) < 30);
    let later = Millis(4_000) + SLOWNESS_HALF_LIFE * 20;
    assert!(draws_of_first(&routing, &workers, later) > 60);
}

/// Guards against sending more to a worker that answers nothing: the age of its oldest request
/// counts long before the timeout.
#[test]
fn a_hanging_worker_is_avoided_before_its_first_timeout() {
    let workers = pool();
    let mut routing = Routing::default();
    send_to_each(&mut routing, &workers, 20, 20, Millis(0));
    routing.note_sent(&workers[0], &entry("map"), Millis(1_000));
    let now = Millis(1_200);
    assert!(draws_of_first(&routing, &workers, now) < 30);
}

/// Guards against latency that is compared across entries: a route map takes 20 ms and a catalogue
/// page 2 s, and a worker that served pages is not slow.
#[test]
fn entries_with_long_runs_do_not_make_a_worker_look_slow() {
    let workers = pool();
    let (mut routing, page) = (Routing::default(), entry("page"));
    for i in 0..20 {
        let at = Millis(i * 5_000);
        send_to_each(&mut routing, &workers, 20, 20, at);
        let slow = &workers[usize::try_from(i).expect("small") % 2];
        routing.note_sent(slow, &page, at);
        routing.note_outcome(
            slow,
            &page,
            at,
            SendOutcome::Answered,
            POOL,
            at + Duration::from_secs(2),
        );
    }
    let drawn = draws_of_first(&routing, &workers, Millis(100_000));
    assert!((60..140).contains(&drawn), "{drawn}");
}

/// A worker that answers 503 at once is full, not faulty, and is not ejected.
#[test]
fn a_full_worker_is_not_blamed() {
    let workers = pool();
    let mut routing = Routing::default();
    for i in 0..5 {
        send_to_each(&mut routing, &workers, 20, 20, Millis(i));
    }
    for i in 0..50 {
        routing.note_sent(&workers[0], &entry("map"), Millis(i));
        routing.note_outcome(
            &workers[0],
            &entry("map"),
            Millis(i),
            SendOutcome::Full,
            POOL,
            Millis(i + 1),
        );
    }
    assert_eq!(routing.outliers().ejected_count(Millis(60)), 0);
}
