//! Bounds, order and fairness of the queue.

use super::{entry, owner, seeded};
use assert_matches::assert_matches;
use indexmap::IndexMap;
use lapisdrum::{
    core::{catalogue::Class, time::Millis},
    policy::queueing::{
        BACKGROUND_START_INTERVAL, EnqueueOutcome, Item, Queue, RefusalReason,
        STANDING_QUEUE_AFTER, Ticket,
    },
};
use proptest::prelude::*;
use std::time::Duration;

fn item(name: &str, caller: u64) -> Item {
    Item {
        entry: entry(name),
        owner: owner(name),
        caller,
        class: Class::LatencyCritical,
        weight: 100,
        max_waiting: 1_000,
        expected_run: Duration::from_millis(10),
        deadline: None,
    }
}

fn batch(name: &str) -> Item {
    Item {
        class: Class::Batch,
        ..item(name, 0)
    }
}

fn put<T: std::fmt::Debug>(queue: &mut Queue<T>, item: Item, payload: T, now: Millis) -> Ticket {
    let put = queue.enqueue(item, payload, now, &mut seeded(1));
    assert_matches!(put, EnqueueOutcome::Waiting { ticket, displaced: None } => ticket)
}

fn take<T>(queue: &mut Queue<T>, now: Millis) -> Option<T> {
    queue.next(now, |_, _| true).map(|(_, _, payload)| payload)
}

#[derive(Clone, Debug)]
enum Action {
    Put {
        flow: usize,
        max_waiting: u32,
        deadline_ms: Option<u64>,
        batch: bool,
    },
    Take,
    Remove(usize),
    Wait(u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        5 => (0..6_usize, 0..6_u32, prop::option::of(0..400_u64), any::<bool>()).prop_map(
            |(flow, max_waiting, deadline_ms, batch)| Action::Put { flow, max_waiting, deadline_ms, batch }
        ),
        3 => Just(Action::Take),
        1 => (0..20_usize).prop_map(Action::Remove),
        1 => (0..100_u64).prop_map(Action::Wait),
    ]
}

proptest! {
    /// No entry has more items waiting than its bound, each item leaves exactly once (started,
    /// expired or removed), and none is started that cannot finish by its deadline.
    #[test]
    fn each_item_leaves_once_and_bounds_hold(actions in prop::collection::vec(action(), 1..300)) {
        let mut rng = seeded(1);
        let mut queue: Queue<usize> = Queue::default();
        let mut waiting: IndexMap<usize, (Ticket, Option<Millis>)> = IndexMap::new();
        let mut now = Millis(1_000);
        for (number, action) in actions.into_iter().enumerate() {
            match action {
                Action::Put { flow, max_waiting, deadline_ms, batch } => {
                    let name = ["a", "b", "c"][flow / 2];
                    let deadline = deadline_ms.map(|ms| now + Duration::from_millis(ms));
                    let class = if batch { Class::Batch } else { Class::LatencyCritical };
                    let item = Item { max_waiting, deadline, class, ..item(name, flow as u64) };
                    match queue.enqueue(item, number, now, &mut rng) {
                        EnqueueOutcome::Waiting { ticket, displaced } => {
                            prop_assert!(queue.waiting_of(&entry(name)) <= max_waiting);
                            if let Some(dropped) = displaced {
                                prop_assert!(waiting.swap_remove(&dropped.payload).is_some());
                            }
                            waiting.insert(number, (ticket, deadline));
                        }
                        EnqueueOutcome::Refused(dropped) => prop_assert_eq!(dropped.payload, number),
                    }
                }
                Action::Take => {
                    for dropped in queue.expire(now, &mut rng) {
                        prop_assert!(waiting.swap_remove(&dropped.payload).is_some());
                        prop_assert_eq!(dropped.reason, RefusalReason::Deadline);
                    }
                    if let Some((_, item, payload)) = queue.next(now, |_, _| true) {
                        let (_, deadline) = waiting.swap_remove(&payload).expect("it waited");
                        prop_assert!(deadline.is_none_or(|d| now + item.expected_run <= d));
                    }
                }
                Action::Remove(index) => {
                    if let Some((payload, (ticket, _))) = waiting.swap_remove_index(index) {
                        prop_assert_eq!(queue.remove(ticket, now), Some(payload));
                        prop_assert_eq!(queue.remove(ticket, now), None);
                    }
                }
                Action::Wait(ms) => now = now + Duration::from_millis(ms),
            }
            prop_assert_eq!(queue.len(), waiting.len());
        }
    }

    /// Two owners always have items waiting: starts are in proportion to their weights, whatever
    /// the number of their callers.
    #[test]
    fn owners_share_by_weight(a in 1..20_u32, b in 1..20_u32, callers in 1..30_u64) {
        let mut queue: Queue<usize> = Queue::default();
        let mut served = [0_u32; 2];
        for n in 0..400 {
            put(&mut queue, Item { weight: a * 10, ..item("a", n % callers) }, 0, Millis(0));
            put(&mut queue, Item { weight: b * 10, ..item("b", 0) }, 1, Millis(0));
        }
        for _ in 0..400 {
            served[take(&mut queue, Millis(0)).expect("work waits")] += 1;
        }
        let expected = 400.0 * f64::from(a) / f64::from(a + b);
        prop_assert!((f64::from(served[0]) - expected).abs() <= 3.0, "{:?} for {} and {}", served, a, b);
    }

    /// Owners with different run times share run time, not starts.
    #[test]
    fn long_runs_count_for_more(times in 2..30_u32) {
        let mut queue: Queue<usize> = Queue::default();
        for _ in 0..600 {
            put(&mut queue, item("short", 0), 0, Millis(0));
            put(&mut queue, Item { expected_run: Duration::from_millis(10) * times, ..item("long", 0) }, 1, Millis(0));
        }
        let mut served = [0_u32; 2];
        for _ in 0..600 {
            served[take(&mut queue, Millis(0)).expect("work waits")] += 1;
        }
        let (short, long) = (f64::from(served[0]), f64::from(served[1] * times));
        prop_assert!((short - long).abs() <= f64::from(times) * 2.0, "{} and {}", short, long);
    }

    /// Guards against starvation: batch items behind an endless queue of latency-critical ones are
    /// started once every `BACKGROUND_START_INTERVAL` starts.
    #[test]
    fn batch_is_not_starved(turns in 1..20_u32) {
        let mut queue: Queue<bool> = Queue::default();
        for _ in 0..turns * BACKGROUND_START_INTERVAL {
            put(&mut queue, item("a", 0), false, Millis(0));
            put(&mut queue, batch("b"), true, Millis(0));
        }
        let batch_starts = (0..turns * BACKGROUND_START_INTERVAL).filter(|_| take(&mut queue, Millis(0)) == Some(true));
        prop_assert_eq!(batch_starts.count(), turns as usize);
    }
}

/// Of two callers that have had no start yet, the one with the earlier deadline is served first,
/// although it came last.
#[test]
fn the_earliest_deadline_goes_first() {
    let mut queue: Queue<&str> = Queue::default();
    let due = |caller, ms| Item {
        deadline: Some(Millis(ms)),
        ..item("check", caller)
    };
    put(&mut queue, due(1, 1_000), "later", Millis(0));
    put(&mut queue, due(2, 50), "sooner", Millis(0));
    put(&mut queue, batch("recalculation"), "batch", Millis(0));
    assert_eq!(take(&mut queue, Millis(0)), Some("sooner"));
    assert_eq!(take(&mut queue, Millis(0)), Some("later"));
    assert_eq!(take(&mut queue, Millis(0)), Some("batch"));
}

/// A queue with a bound of four, filled by caller 1 of the entry.
fn queue_filled_by_one_caller() -> Queue<u32> {
    let mut queue: Queue<u32> = Queue::default();
    for n in 0..4 {
        put(
            &mut queue,
            Item {
                max_waiting: 4,
                ..item("map", 1)
            },
            n,
            Millis(0),
        );
    }
    queue
}

/// Guards against one caller that fills an entry's queue and shuts the others out: the first
/// request of another caller displaces the last one of the hot caller, which is refused at once.
#[test]
fn a_hot_caller_does_not_shut_others_out() {
    let mut queue = queue_filled_by_one_caller();
    let light = Item {
        max_waiting: 4,
        ..item("map", 2)
    };
    let put = queue.enqueue(light, 99, Millis(0), &mut seeded(1));
    assert_matches!(put, EnqueueOutcome::Waiting { displaced: Some(dropped), .. } => {
        assert_eq!(dropped.payload, 3);
        assert_eq!(dropped.reason, RefusalReason::QueueFull);
    });
    let again = Item {
        max_waiting: 4,
        ..item("map", 1)
    };
    let put = queue.enqueue(again, 100, Millis(0), &mut seeded(1));
    assert_matches!(put, EnqueueOutcome::Refused(dropped) => assert_eq!(dropped.reason, RefusalReason::QueueFull));
    assert_eq!(queue.waiting_of(&entry("map")), 4);
}

/// A bound lowered while the queue is full takes effect as items leave; until then no item of one
/// caller is displaced for another's.
#[test]
fn a_lowered_bound_holds_from_then_on() {
    let mut queue = queue_filled_by_one_caller();
    let light = Item {
        max_waiting: 2,
        ..item("map", 2)
    };
    let put = queue.enqueue(light, 99, Millis(0), &mut seeded(1));
    assert_matches!(put, EnqueueOutcome::Refused(_));
    assert_eq!(queue.waiting_of(&entry("map")), 4);
}

/// Guards against requests that wait only to expire: 50 items wait and 100 drain per second, so a
/// deadline in 300 ms is refused at once.
#[test]
fn what_cannot_be_in_time_is_refused_at_once() {
    let mut queue: Queue<u32> = Queue::default();
    for n in 0..60 {
        put(&mut queue, item("map", 1), n, Millis(0));
    }
    for n in 1..=10 {
        take(&mut queue, Millis(n * 10)).expect("work waits");
    }
    let now = Millis(100);
    let due = |ms| Item {
        deadline: Some(now + Duration::from_millis(ms)),
        ..item("map", 1)
    };
    let put = queue.enqueue(due(300), 0, now, &mut seeded(1));
    assert_matches!(put, EnqueueOutcome::Refused(dropped) => assert_eq!(dropped.reason, RefusalReason::Deadline));
    let put = queue.enqueue(due(900), 0, now, &mut seeded(1));
    assert_matches!(put, EnqueueOutcome::Waiting { .. });
}

/// The queue has been standing for more than `STANDING_QUEUE_AFTER`, so the load exceeds the
/// capacity and a longer queue serves no more. A caller whose request would wait too long is refused;
/// one with nothing waiting is still accepted.
#[test]
fn a_standing_queue_is_kept_short() {
    let mut queue: Queue<u32> = Queue::default();
    for n in 0..100 {
        put(&mut queue, item("map", 1), n, Millis(0));
    }
    for n in 1..=30 {
        take(&mut queue, Millis(n * 10)).expect("work waits");
    }
    let now = Millis(300);
    assert!(now.since(Millis(0)) > STANDING_QUEUE_AFTER);
    let due = |caller| Item {
        deadline: Some(Millis(10_000)),
        ..item("map", caller)
    };
    let put = queue.enqueue(due(1), 0, now, &mut seeded(1));
    assert_matches!(put, EnqueueOutcome::Refused(dropped) => assert_eq!(dropped.reason, RefusalReason::Overload));
    let put = queue.enqueue(due(2), 0, now, &mut seeded(1));
    assert_matches!(put, EnqueueOutcome::Waiting { .. });
}

/// A waiting item expires in the first millisecond in which it cannot finish by its deadline.
#[test]
fn an_item_expires_as_soon_as_it_cannot_be_in_time() {
    let mut queue: Queue<u32> = Queue::default();
    put(
        &mut queue,
        Item {
            deadline: Some(Millis(100)),
            ..item("map", 1)
        },
        1,
        Millis(0),
    );
    assert_eq!(queue.next_expiry(), Some(Millis(91)));
    assert!(queue.expire(Millis(90), &mut seeded(1)).is_empty());
    let dropped = queue.expire(Millis(91), &mut seeded(1));
    assert_eq!(dropped.len(), 1);
    assert_eq!(dropped[0].reason, RefusalReason::Deadline);
    assert!(queue.is_empty());
}

/// An entry at its concurrency limit does not block the entries behind it.
#[test]
fn an_entry_at_its_limit_is_passed_over() {
    let mut queue: Queue<&str> = Queue::default();
    put(&mut queue, item("full", 1), "full", Millis(0));
    put(&mut queue, item("open", 1), "open", Millis(0));
    let next = queue.next(Millis(0), |name, _| *name != entry("full"));
    assert_matches!(next, Some((_, _, "open")));
    let next = queue.next(Millis(0), |name, _| *name != entry("full"));
    assert_matches!(next, None);
}

/// Guards against a flow that saves up turns while it is idle and then claims them all at once.
#[test]
fn idleness_is_not_saved_up() {
    let mut queue: Queue<&str> = Queue::default();
    for _ in 0..200 {
        put(&mut queue, item("busy", 1), "busy", Millis(0));
    }
    for _ in 0..100 {
        take(&mut queue, Millis(0)).expect("work waits");
    }
    for _ in 0..100 {
        put(&mut queue, item("back", 1), "back", Millis(0));
    }
    let back = (0..20)
        .filter(|_| take(&mut queue, Millis(0)) == Some("back"))
        .count();
    assert!((9..=11).contains(&back), "{back} of 20");
}
