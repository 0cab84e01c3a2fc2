//! Workers that list only the first of their ends until these are acknowledged.

use super::{
    paused,
    world::{StoreBehaviour, World, owned, step, until},
};
use assert_matches::assert_matches;
use lapisdrum::{
    core::{size::Size, time::Millis},
    sched::{
        Cx,
        event::{Loss, RunId},
        job::{JobId, RunNumber, Step, TaskId},
        layout::ShardId,
        peer::{JobState, SubmitReply},
        resolution::{Observation, Order, RunKnowledge, RunVerdict, Stop, judge_run},
    },
};
use proptest::{collection::vec, prelude::*};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(5);
const INHERITED: Order = Order::Inherited { has_started: true };

fn small_step(count: u32, estimate_ms: u64) -> Step {
    Step {
        size: Size {
            millicores: 100,
            memory_mb: 100,
            accelerators: 0,
        },
        ..step(count, estimate_ms, &[])
    }
}

/// A job of 24 tasks with this run time on a worker that lists two ends at once, and its owner.
async fn small_tasks(run_ms: u64) -> (Rc<World>, Cx) {
    let world = World::new(1);
    world.max_listed_ends.set(2);
    let cx = world.daemon("a");
    owned(&cx, LIMIT).await;
    let submitted = world.submit(&cx, 1, vec![small_step(24, run_ms)]).await;
    assert_matches!(submitted, SubmitReply::Accepted);
    (world, cx)
}

async fn completed(world: &Rc<World>, cx: &Cx, job: u64) {
    until("the job is completed", LIMIT * 4, async || {
        world.state(cx, job).await == Some(JobState::Completed)
    })
    .await;
}

/// Guards against tasks that a new owner starts again because their ends are beyond those that the worker lists first.
#[test]
fn a_takeover_starts_no_task_whose_end_is_listed_later() {
    paused(async {
        let world = World::new(1);
        world.max_listed_ends.set(2);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        let second = world.daemon("b");
        let submitted = world.submit(&first, 1, vec![small_step(24, 2_000)]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("the tasks run", LIMIT, async || world.running().len() == 24).await;
        world.set_store("a", StoreBehaviour::Unavailable);
        owned(&second, LIMIT).await;
        completed(&world, &second, 1).await;
        sleep(LIMIT).await;
        assert_eq!(world.starts.borrow().len(), 24);
        world.check();
    });
}

/// Guards against tasks that are started again after the store was down for their owner, while more of their ends wait
/// than the worker lists.
#[test]
fn a_store_outage_starts_no_task_whose_end_is_listed_later() {
    paused(async {
        let (world, cx) = small_tasks(1_000).await;
        until("the tasks run", LIMIT, async || world.running().len() == 24).await;
        sleep(Duration::from_millis(500)).await;
        world.set_store("a", StoreBehaviour::Unavailable);
        sleep(Duration::from_millis(1_500)).await;
        world.set_store("a", StoreBehaviour::Up);
        completed(&world, &cx, 1).await;
        assert_eq!(world.starts.borrow().len(), 24);
        world.check();
    });
}

/// Guards against runs that are stopped as stalled, and a worker that counts as failing, while it has not listed their
/// ends yet.
#[test]
fn a_run_whose_end_is_not_listed_yet_is_not_taken_for_stalled() {
    paused(async {
        let (world, cx) = small_tasks(2_500).await;
        sleep(Duration::from_secs(2)).await;
        world.set_store("a", StoreBehaviour::Unavailable);
        sleep(Duration::from_secs(3)).await;
        let owner = cx.handle(ShardId(0)).owner.borrow().clone();
        let owner = owner.expect("the owner");
        let awaiting = owner
            .runs
            .borrow()
            .values()
            .filter(|r| r.awaits_ends)
            .count();
        let stopped = owner
            .runs
            .borrow()
            .values()
            .filter(|r| r.known.stop != Stop::No)
            .count();
        let failures = owner.session("w0", |session| session.failures.0);
        assert_eq!((awaiting, stopped, failures), (22, 0, Some(0)));
        world.set_store("a", StoreBehaviour::Up);
        completed(&world, &cx, 1).await;
        world.check();
    });
}

/// Guards against tasks that are started again although a worker that was restarted under its id has carried out their
/// start orders, which were meant for the incarnation before, and lists their ends later.
#[test]
fn ends_of_orders_that_a_restarted_worker_carried_out_are_read() {
    // The restart is noticed by a poll, before or after the start orders are sent.
    for wait_ms in (0..1_000).step_by(100) {
        check_unnoticed_restart(Duration::from_millis(wait_ms));
    }
}

fn check_unnoticed_restart(wait: Duration) {
    paused(async move {
        let world = World::new(1);
        world.max_listed_ends.set(2);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        sleep(wait).await;
        world.set_slow_txn(Duration::from_millis(10), Duration::from_millis(300));
        world.set_store("a", StoreBehaviour::Slow);
        let submitted = world.submit(&cx, 1, vec![small_step(24, 200)]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        let owner = cx.handle(ShardId(0)).owner.borrow().clone();
        let owner = owner.expect("the owner");
        until("the tasks are placed", LIMIT, async || {
            owner.runs.borrow().len() == 24
        })
        .await;
        world.crash("w0");
        world.restart("w0");
        completed(&world, &cx, 1).await;
        world.check();
    });
}

/// Guards against a worker with more ends than it lists, and runs that wait for these, that no metric shows.
#[test]
fn ends_that_are_not_listed_yet_are_shown_by_gauges() {
    paused(async {
        let (world, cx) = small_tasks(1_000).await;
        until("the tasks run", LIMIT, async || world.running().len() == 24).await;
        let shows = |name: &str, value: u32| {
            let line = format!("lapisdrum_sched_{name} {value}\n");
            cx.metrics.text().contains(&line)
        };
        sleep(Duration::from_millis(500)).await;
        world.set_store("a", StoreBehaviour::Unavailable);
        sleep(Duration::from_millis(1_500)).await;
        assert!(shows("workers_with_truncated_ends", 1));
        assert!(shows("runs_awaiting_ends", 22));
        world.set_store("a", StoreBehaviour::Up);
        completed(&world, &cx, 1).await;
        // Less than a long poll takes.
        sleep(Duration::from_millis(500)).await;
        assert!(shows("workers_with_truncated_ends", 0));
        assert!(shows("runs_awaiting_ends", 0));
    });
}

/// Guards against a failed run that is not counted as an attempt because its end is not among those listed first.
#[test]
fn a_failed_end_that_is_listed_later_counts_as_an_attempt() {
    paused(async {
        let world = World::new(1);
        world.max_listed_ends.set(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        for job in 1..=8 {
            world.fail_job(JobId(job));
            let submitted = world.submit(&cx, job, vec![small_step(1, 1_000)]).await;
            assert_matches!(submitted, SubmitReply::Accepted);
        }
        until("the tasks run", LIMIT, async || world.running().len() == 8).await;
        world.set_store("a", StoreBehaviour::Unavailable);
        sleep(Duration::from_millis(1_500)).await;
        world.set_store("a", StoreBehaviour::Up);
        for job in 1..=8 {
            until("the job has failed", LIMIT * 4, async || {
                world.state(&cx, job).await == Some(JobState::Failed)
            })
            .await;
        }
        assert_eq!(world.starts.borrow().len(), 16);
        world.check();
    });
}

/// Guards against a start that is sent although an earlier run of the task was found to be done after the placement.
#[test]
fn a_task_that_is_done_is_not_started() {
    // The end is read while the placement is written, just before the start is due in some cases. It takes
    // up to 0.7 s to read, the timeout of a poll and a pause.
    let latencies = [400, 600, 800, 900, 1_000, 1_100, 1_200].map(Duration::from_millis);
    let are_unsent = latencies.map(check_start_after_end);
    assert_eq!(are_unsent[2..], [true; 5], "{are_unsent:?}");
}

/// Returns whether the start was not sent yet when the end was known.
fn check_start_after_end(store_latency: Duration) -> bool {
    let is_unsent = Rc::new(Cell::new(false));
    let found = Rc::clone(&is_unsent);
    paused(async move {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let steps = vec![step(1, 3_000, &[]), step(1, 100, &[0])];
        let submitted = world.submit(&cx, 1, steps).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("the task runs", LIMIT, async || world.running().len() == 1).await;
        world.cut("w0", true);
        sleep(LIMIT).await;
        world.add_worker("w1");
        world.set_slow_txn(Duration::from_millis(10), store_latency);
        world.set_store("a", StoreBehaviour::Slow);
        let owner = cx.handle(ShardId(0)).owner.borrow().clone();
        let owner = owner.expect("the owner");
        let again = RunId {
            task: TaskId {
                job: JobId(1),
                occurrence: 0,
                step: 0,
                index: 0,
            },
            run: RunNumber(2),
        };
        until("the task is placed again", LIMIT * 2, async || {
            owner.runs.borrow().contains_key(&again)
        })
        .await;
        world.cut("w0", false);
        until("its first run is known to be done", LIMIT, async || {
            let ledger = owner.ledger.borrow();
            ledger.task(&again.task).is_some_and(|task| task.is_done)
        })
        .await;
        let started = world.starts_of(&again.task);
        found.set(started == 1);
        sleep(LIMIT).await;
        completed(&world, &cx, 1).await;
        assert_eq!(world.starts_of(&again.task), started, "{store_latency:?}");
        assert_eq!(cx.metrics.starts.get(), started as u64 + 1);
        world.check();
    });
    is_unsent.get()
}

/// A worker with runs that end in the order of their indices and a limit on listed ends, and its owner.
struct Lists {
    max_ends: usize,
    /// Number of runs that have ended.
    ended: usize,
    /// Number of ends that the owner has read.
    read: usize,
    /// Number of ends that are durable.
    durable: usize,
    /// Number of ends that the worker has dropped.
    dropped: usize,
}

impl Lists {
    /// Performs a poll and its response; returns whether all ends are known.
    fn poll(&mut self) -> bool {
        self.dropped = self.dropped.max(self.durable);
        let waiting = self.ended - self.dropped;
        let listed = waiting.min(self.max_ends);
        self.read = self.read.max(self.dropped + listed);
        waiting < self.max_ends
    }
}

fn judged(
    known: RunKnowledge,
    is_same_incarnation: bool,
    is_listed: bool,
    are_ends_complete: bool,
) -> RunVerdict {
    let observation = Observation {
        sent_at: Millis(500),
        is_listed,
        is_same_incarnation,
        are_ends_complete,
    };
    judge_run(known, observation)
}

proptest! {
    /// For any ends, polls and acknowledgements, no run with an end that is yet to be read is taken for lost, also if it
    /// was placed on an earlier incarnation of the worker; a run that never reached the worker is, once all ends are
    /// acknowledged.
    #[test]
    fn no_run_is_lost_whose_end_is_yet_to_be_read(
        max_ends in 1_usize..4,
        rounds in vec((0_usize..4, any::<bool>()), 1..20),
        is_stopped in any::<bool>(),
        is_same_incarnation in any::<bool>(),
    ) {
        const RUNS: usize = 12;
        let stop = if is_stopped { Stop::Confirmed(Millis(400)) } else { Stop::No };
        let mut lists = Lists { max_ends, ended: 0, read: 0, durable: 0, dropped: 0 };
        for (ends, is_store_up) in rounds {
            lists.ended = (lists.ended + ends).min(RUNS);
            let is_complete = lists.poll();
            for run in lists.read..RUNS {
                for order in [Order::Answered(Millis(100)), INHERITED] {
                    let known = RunKnowledge { order, stop };
                    let verdict = judged(known, is_same_incarnation, run >= lists.ended, is_complete);
                    let is_lost = matches!(verdict, RunVerdict::Lost(_));
                    prop_assert!(!is_lost, "run {run} of {} ended, {} read", lists.ended, lists.read);
                }
            }
            if is_store_up {
                lists.durable = lists.read;
            }
        }
        while !lists.poll() {
            lists.durable = lists.read;
        }
        let known = RunKnowledge { order: INHERITED, stop };
        let why = if is_same_incarnation { Loss::NotThere } else { Loss::Reborn };
        prop_assert_eq!(judged(known, is_same_incarnation, false, true), RunVerdict::Lost(why));
    }
}

/// Guards against ends that can't be read, are never acknowledged, and hide all later ones by filling the list.
#[test]
fn malformed_ends_do_not_hide_later_ones() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        for job in 1..=3 {
            world.add_malformed_ends("w0", 5);
            let submitted = world.submit(&cx, job, vec![step(4, 100, &[])]).await;
            assert_matches!(submitted, SubmitReply::Accepted);
            until("the job is completed", LIMIT, async || {
                world.state(&cx, job).await == Some(JobState::Completed)
            })
            .await;
        }
        assert_eq!(world.starts.borrow().len(), 12);
        world.check();
    });
}
