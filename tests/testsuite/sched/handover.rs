//! Planned hand-overs of a shard to a prepared successor, and each failure on the way.

use super::{
    paused,
    world::{StoreBehaviour, World, owned, owns, spec, step, terms, until},
};
use assert_matches::assert_matches;
use lapisdrum::sched::{
    Cx,
    edge::{Queue, Txn, TxnOutcome},
    event::Event,
    features::Features,
    front::{self, Outcome},
    job::JobId,
    journal::{AppendOutcome, Journal, Standby},
    layout::ShardId,
    ledger::Ledger,
    peer::{JobState, SubmitReply},
    process,
};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(5);
const SHARD: ShardId = ShardId(0);
/// Number of hand-overs that are measured.
const HAND_OVERS: usize = 100;
/// Time around a stop in which interruptions are measured.
const WATCHED: Duration = Duration::from_millis(800);
/// Longest interruption of a planned hand-over, in 95 of 100.
const MAX_INTERRUPTION: Duration = Duration::from_millis(200);
/// Longest time without an owner if the planned hand-over fails after the release.
const MAX_WITHOUT_OWNER: Duration = Duration::from_millis(1_500);

fn world(workers: usize) -> Rc<World> {
    let world = World::new(workers);
    world.features.set(Features {
        planned_handover: true,
        ..Features::default()
    });
    world
}

fn queue() -> Queue {
    Queue {
        terms: terms(),
        host: "maps.example".to_owned(),
        path_prefix: "/maps/".to_owned(),
    }
}

/// Tells a daemon to stop; its shards are released meanwhile.
fn stop(cx: &Cx) {
    cx.draining.send_replace(true);
    let cx = Rc::clone(cx);
    actix_rt::spawn(async move { process::release_shards(&cx).await });
}

/// Waits until the owner knows other daemons.
async fn knows_others(cx: &Cx, others: usize) {
    until("the other daemons are known", LIMIT, async || {
        cx.daemons.borrow().len() >= others
    })
    .await;
}

fn is_prepared(cx: &Cx) -> bool {
    cx.handle(SHARD).prepared.borrow().is_ready()
}

/// An owner with a running task, and two other daemons.
async fn three_daemons(world: &Rc<World>) -> [Cx; 3] {
    let first = world.daemon("a");
    owned(&first, LIMIT).await;
    let others = ["b", "c"].map(|name| world.daemon(name));
    sleep(LIMIT * 2).await;
    knows_others(&first, 2).await;
    let steps = vec![step(1, 60_000, &[])];
    assert_matches!(world.submit(&first, 1, steps).await, SubmitReply::Accepted);
    until("the task runs", LIMIT, async || world.running().len() == 1).await;
    let [second, third] = others;
    [first, second, third]
}

/// Waits until one of the daemons is prepared; returns it first, then the other.
async fn prepared(daemons: [&Cx; 2]) -> [Cx; 2] {
    let started_at = Instant::now();
    while started_at.elapsed() < LIMIT {
        let [one, other] = daemons;
        for [one, other] in [[one, other], [other, one]] {
            if is_prepared(one) {
                return [Rc::clone(one), Rc::clone(other)];
            }
        }
        sleep(Duration::from_millis(1)).await;
    }
    panic!("no daemon is prepared");
}

/// Longest time between two of these points in time, from `from` on.
fn longest_gap(times: &[Instant], from: Instant) -> Duration {
    let before = times.iter().rev().find(|at| **at <= from).copied();
    let after = times.iter().filter(|at| **at > from).copied();
    let times: Vec<Instant> = before.into_iter().chain(after).collect();
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or(Duration::MAX)
}

/// Guards against an interruption of starts and acceptance, and against refusals, in restarts of the owner.
#[test]
fn a_planned_hand_over_interrupts_for_less_than_a_fifth_of_a_second() {
    paused(async {
        let world = world(4);
        let mut owner = world.daemon("d0");
        owned(&owner, LIMIT).await;
        let mut others: Vec<Cx> = (1..4).map(|at| world.daemon(&format!("d{at}"))).collect();
        let entry = world.daemon("entry");
        entry.draining.send_replace(true);
        let accepted: Rc<RefCell<Vec<Instant>>> = Rc::default();
        let refused = Rc::new(Cell::new(0));
        let (seen, turned_away) = (Rc::clone(&accepted), Rc::clone(&refused));
        let (caller, jobs) = (Rc::clone(&entry), Rc::clone(&world));
        actix_rt::spawn(async move {
            for id in 0.. {
                jobs.register_steps(id, vec![step(1, 100, &[])]);
                let submitted = front::submit(&caller, &queue(), JobId(id), spec("work")).await;
                match submitted {
                    Outcome::Done(()) => seen.borrow_mut().push(Instant::now()),
                    _ => turned_away.set(turned_away.get() + 1),
                }
                sleep(Duration::from_millis(10)).await;
            }
        });
        let (mut accept_gaps, mut start_gaps) = (Vec::new(), Vec::new());
        sleep(LIMIT).await;
        refused.set(0);
        for _ in 0..HAND_OVERS {
            knows_others(&owner, 3).await;
            until("tasks start", LIMIT, async || {
                let starts = world.starts.borrow();
                starts
                    .last()
                    .is_some_and(|(at, _, _)| at.elapsed() < Duration::from_millis(60))
            })
            .await;
            let stopped_at = Instant::now();
            stop(&owner);
            sleep(WATCHED).await;
            accept_gaps.push(longest_gap(&accepted.borrow(), stopped_at));
            let starts: Vec<Instant> = world.starts.borrow().iter().map(|start| start.0).collect();
            start_gaps.push(longest_gap(&starts, stopped_at));
            let next = others.iter().position(|cx| owns(cx, SHARD));
            let next = others.remove(next.expect("a next owner"));
            world.kill(&owner);
            others.push(world.daemon(&owner.cfg.name));
            owner = next;
            sleep(Duration::from_millis(500)).await;
        }
        accept_gaps.sort_unstable();
        start_gaps.sort_unstable();
        let figures = |gaps: &[Duration]| {
            (
                gaps[HAND_OVERS / 2],
                gaps[HAND_OVERS * 95 / 100 - 1],
                gaps[HAND_OVERS - 1],
            )
        };
        let (accepts, starts) = (figures(&accept_gaps), figures(&start_gaps));
        println!("median, 95th, longest: acceptance {accepts:?}, starts {starts:?}");
        assert!(accepts.1 < MAX_INTERRUPTION && starts.1 < MAX_INTERRUPTION);
        assert_eq!(refused.get(), 0);
        world.check();
    });
}

/// Guards against a shard that waits for a successor that died after it had read the state ahead.
#[test]
fn a_successor_that_dies_is_replaced() {
    paused(async {
        let world = world(1);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        let (second, second_relay) = world.daemon_behind_relay("b", "karen");
        let (third, third_relay) = world.daemon_behind_relay("c", "karen");
        sleep(LIMIT * 2).await;
        knows_others(&first, 2).await;
        stop(&first);
        let [successor, other] = prepared([&second, &third]).await;
        match Rc::ptr_eq(&successor, &second) {
            true => second_relay.cut(),
            false => third_relay.cut(),
        }
        world.kill(&successor);
        let died_at = Instant::now();
        owned(&other, LIMIT).await;
        let took = died_at.elapsed();
        assert!(took < MAX_WITHOUT_OWNER, "{took:?}");
        world.check();
    });
}

/// Guards against a lost job, or a shard without an owner, if the store is away between the preparation and the release.
#[test]
fn a_hand_over_survives_a_store_that_goes_away() {
    paused(async {
        for away_ms in [300, 1_500, 4_000] {
            let world = world(1);
            let [first, second, third] = three_daemons(&world).await;
            stop(&first);
            prepared([&second, &third]).await;
            for daemon in ["a", "b", "c"] {
                world.set_store(daemon, StoreBehaviour::Unavailable);
            }
            sleep(Duration::from_millis(away_ms)).await;
            for daemon in ["a", "b", "c"] {
                world.set_store(daemon, StoreBehaviour::Up);
            }
            until("another daemon owns the shard", LIMIT, async || {
                [&second, &third].iter().any(|cx| owns(cx, SHARD))
            })
            .await;
            let next = [&second, &third].into_iter().find(|cx| owns(cx, SHARD));
            let state = world.state(next.expect("an owner"), 1).await;
            assert_eq!(state, Some(JobState::Running));
            sleep(LIMIT).await;
            world.check();
        }
    });
}

/// Guards against an owner that is killed while it hands over, and leaves the shard to nobody.
#[test]
fn an_owner_killed_in_the_middle_is_replaced() {
    paused(async {
        let world = world(1);
        let [first, second, third] = three_daemons(&world).await;
        stop(&first);
        prepared([&second, &third]).await;
        world.kill(&first);
        until("another daemon owns the shard", LIMIT, async || {
            [&second, &third].iter().any(|cx| owns(cx, SHARD))
        })
        .await;
        let next = [&second, &third].into_iter().find(|cx| owns(cx, SHARD));
        let state = world.state(next.expect("an owner"), 1).await;
        assert_eq!(state, Some(JobState::Running));
        sleep(LIMIT * 2).await;
        world.check();
    });
}

/// Guards against a shard handed to a daemon that stops at the same time.
#[test]
fn a_draining_daemon_takes_no_shard() {
    paused(async {
        let world = world(1);
        let [first, second, third] = three_daemons(&world).await;
        stop(&second);
        stop(&first);
        let stopped_at = Instant::now();
        owned(&third, LIMIT).await;
        let took = stopped_at.elapsed();
        assert!(took < MAX_WITHOUT_OWNER, "{took:?}");
        world.check();
    });
}

/// Guards against a shard that waits for a successor that is stopped after it had read the state ahead.
#[test]
fn a_successor_that_is_stopped_is_replaced() {
    paused(async {
        let world = world(1);
        let [first, second, third] = three_daemons(&world).await;
        stop(&first);
        let [successor, other] = prepared([&second, &third]).await;
        stop(&successor);
        let stopped_at = Instant::now();
        owned(&other, LIMIT).await;
        let took = stopped_at.elapsed();
        assert!(took < MAX_WITHOUT_OWNER, "{took:?}");
        world.check();
    });
}

/// Guards against a state read ahead that lacks rows: those deleted since a later snapshot covers them.
#[test]
fn a_copy_older_than_the_snapshot_is_not_used() {
    paused(async {
        let world = World::new(0);
        let cx = world.idle_daemon("a");
        let (fence, _) = world.fence("shard-0");
        let raise_fence = Txn {
            put: vec![(fence.clone(), "a".into())],
            ..Txn::default()
        };
        let TxnOutcome::Committed(version) = cx.store.commit(&raise_fence).await else {
            panic!("the fence could not be raised");
        };
        let journal = Rc::new(Journal::new("shard-0", (fence, version)));
        let ledger = Rc::new(RefCell::new(Ledger::default()));
        let (writer, daemon, state) = (Rc::clone(&journal), Rc::clone(&cx), Rc::clone(&ledger));
        let state = move || serde_json::to_vec(&*state.borrow()).expect("a serialisable ledger");
        actix_rt::spawn(async move { writer.write_all(&daemon, state).await });
        let accept = async |job| {
            let event = Event::Accepted {
                job: JobId(job),
                spec: Rc::new(spec("work")),
                terms: terms(),
                at_unix_ms: 0,
                data_centre: None,
                moved_from: None,
            };
            ledger.borrow_mut().apply(&event).expect("a valid event");
            let ticket = journal.append(&[event]);
            assert_eq!(ticket.outcome().await, AppendOutcome::Durable);
        };
        let mut copies = Vec::new();
        for job in 0..1_000 {
            if job % 50 == 0 {
                let copy = Standby::read(&cx, "shard-0").await.expect("a copy");
                copies.push(copy);
            }
            accept(job).await;
        }
        sleep(LIMIT * 2).await;
        let (mut used, mut refused) = (0, 0);
        for copy in copies {
            match journal.recover_from(&cx, Some(copy)).await {
                Ok((recovered, _)) => {
                    used += 1;
                    assert_eq!(recovered.jobs.len(), 1_000);
                }
                Err(_) => refused += 1,
            }
        }
        assert!(used >= 1 && refused >= 1, "{used} used, {refused} refused");
    });
}
