//! The real owner with scripted faults of the store and the workers.

use super::{
    paused,
    world::{StoreBehaviour, WorkerBehaviour, World, limits, owned, step, until},
};
use assert_matches::assert_matches;
use lapisdrum::sched::{
    edge::RowKey,
    job::{JobId, TaskId},
    journal::{AppendOutcome, JOURNAL_TABLE, Journal},
    layout::ShardId,
    peer::{self, CancelReply, JobState, OwnerReply, OwnerRequest, ShowReply, SubmitReply},
};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(5);

fn task(job: u64, step: u16, index: u32) -> TaskId {
    TaskId {
        job: JobId(job),
        occurrence: 0,
        step,
        index,
    }
}

/// Guards against an end that is journaled several times on a slow store: a worker lists it until it is acknowledged,
/// and is polled again before that. Submissions waited behind these rows, and the counters showed ends that never
/// happened.
#[test]
fn an_end_is_journaled_once_however_late_it_is_acknowledged() {
    paused(async {
        let world = World::new(2);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        world.set_slow_txn(Duration::from_millis(900), Duration::ZERO);
        world.set_store("a", StoreBehaviour::Slow);
        for job in 0..6 {
            assert_matches!(
                world.submit(&cx, job, vec![step(4, 150, &[])]).await,
                SubmitReply::Accepted | SubmitReply::Unknown
            );
        }
        until("the last job is completed", LIMIT * 4, async || {
            world.state(&cx, 5).await == Some(JobState::Completed)
        })
        .await;
        let text = cx.metrics.text();
        let line = text.lines().find(|line| line.contains("outcome=\"done\""));
        let count = line.and_then(|line| line.rsplit(' ').next());
        assert_eq!(count, Some("24"), "{line:?}");
        world.check();
    });
}

/// Guards against start orders that time out in the daemon itself and are taken for orders that workers left unanswered.
#[test]
fn a_slow_daemon_does_not_take_its_own_delay_for_silent_workers() {
    paused(async {
        let world = World::new(100);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        sleep(Duration::from_secs(1)).await;
        world.start_takes.set(Duration::from_millis(2));
        let submitted = world.submit(&cx, 1, vec![step(400, 3_000, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("all tasks run", LIMIT, async || {
            world.running().len() == 400
        })
        .await;
        assert_eq!(cx.metrics.orders_unanswered.get(), 0);
        world.check();
    });
}

/// A job of three steps, the last after both others: each task runs once and in order, and a repeated submission finds
/// the job.
#[test]
fn a_graph_runs_in_order_and_once() {
    paused(async {
        let world = World::new(2);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let steps = vec![step(3, 400, &[]), step(2, 300, &[]), step(2, 200, &[0, 1])];
        let started_at = Instant::now();
        assert_matches!(
            world.submit(&cx, 1, steps.clone()).await,
            SubmitReply::Accepted
        );
        assert_matches!(world.submit(&cx, 1, steps).await, SubmitReply::Accepted);
        until("the job is completed", LIMIT, async || {
            world.state(&cx, 1).await == Some(JobState::Completed)
        })
        .await;
        assert!(
            started_at.elapsed() < Duration::from_millis(1_100),
            "{:?}",
            started_at.elapsed()
        );
        assert_eq!(world.starts.borrow().len(), 7);
        world.check();
    });
}

/// Guards against a job that runs twice because the store's answer to its submission was lost. The caller is told that
/// the outcome is unknown, and the repeated submission is accepted.
#[test]
fn a_submission_whose_answer_is_lost_is_one_job() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        world.set_store("a", StoreBehaviour::LosesAnswers);
        let first = world.submit(&cx, 1, vec![step(1, 100, &[])]).await;
        world.set_store("a", StoreBehaviour::Up);
        assert!(
            matches!(first, SubmitReply::Unknown | SubmitReply::Accepted),
            "{first:?}"
        );
        until("the repeated submission is accepted", LIMIT, async || {
            let again = world.submit(&cx, 1, vec![step(1, 100, &[])]).await;
            matches!(again, SubmitReply::Accepted)
        })
        .await;
        until("the job is completed", LIMIT, async || {
            world.state(&cx, 1).await == Some(JobState::Completed)
        })
        .await;
        assert_eq!(world.starts_of(&task(1, 0, 0)), 1);
        world.check();
    });
}

/// The store is unavailable. The first caller waits for its journal row and is told that the outcome is unknown; later
/// callers are refused within milliseconds, as their jobs were not proposed. Running tasks keep running.
#[test]
fn submissions_are_refused_at_once_while_the_store_is_unavailable() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let long = vec![step(1, 9_000, &[])];
        assert_matches!(world.submit(&cx, 1, long).await, SubmitReply::Accepted);
        until("the task runs", LIMIT, async || world.running().len() == 1).await;
        world.set_store("a", StoreBehaviour::Unavailable);
        let waited = world.submit(&cx, 2, vec![step(1, 100, &[])]).await;
        assert_matches!(waited, SubmitReply::Unknown);
        let started_at = Instant::now();
        let refused = world.submit(&cx, 3, vec![step(1, 100, &[])]).await;
        assert_matches!(refused, SubmitReply::Busy(_));
        assert!(started_at.elapsed() < Duration::from_millis(20));
        sleep(Duration::from_secs(4)).await;
        assert_eq!(world.running().len(), 1, "a short outage stops nothing");
        world.set_store("a", StoreBehaviour::Up);
        until("the job is completed", Duration::from_secs(8), async || {
            world.state(&cx, 1).await == Some(JobState::Completed)
        })
        .await;
        until(
            "the job with unknown outcome is completed",
            LIMIT,
            async || world.state(&cx, 2).await == Some(JobState::Completed),
        )
        .await;
        assert_eq!(world.state(&cx, 3).await, None, "a refusal is final");
        world.check();
    });
}

/// Guards against a task that runs twice at once: a worker leaves a start order unanswered and executes it two seconds
/// later, after the task was stopped there and started elsewhere.
#[test]
fn an_order_that_is_executed_late_starts_no_second_run() {
    paused(async {
        let world = World::new(2);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        sleep(Duration::from_secs(1)).await;
        world.set_worker("w0", WorkerBehaviour::Late(Duration::from_secs(2)));
        world.set_worker("w1", WorkerBehaviour::Late(Duration::from_secs(2)));
        let submitted = world.submit(&cx, 1, vec![step(1, 4_000, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        sleep(Duration::from_millis(800)).await;
        world.set_worker("w0", WorkerBehaviour::Prompt);
        world.set_worker("w1", WorkerBehaviour::Prompt);
        until("the job is completed", Duration::from_secs(9), async || {
            world.state(&cx, 1).await == Some(JobState::Completed)
        })
        .await;
        world.check();
    });
}

/// Guards against a task that runs twice at once: an order is in flight to a worker that crashes and restarts under its
/// id. The new incarnation knows neither token nor stopped runs, so it would execute the late order.
#[test]
fn a_late_order_to_a_restarted_worker_starts_no_second_run() {
    paused(async {
        let world = World::new(1);
        world.orders_outlive_crashes.set(true);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        sleep(Duration::from_secs(1)).await;
        world.set_worker("w0", WorkerBehaviour::Late(Duration::from_secs(3)));
        let submitted = world.submit(&cx, 1, vec![step(1, 5_000, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        sleep(Duration::from_millis(100)).await;
        world.crash("w0");
        sleep(Duration::from_millis(900)).await;
        world.set_worker("w0", WorkerBehaviour::Prompt);
        world.restart("w0");
        world.add_worker("w1");
        until(
            "the job is completed",
            Duration::from_secs(20),
            async || world.state(&cx, 1).await == Some(JobState::Completed),
        )
        .await;
        world.check();
    });
}

/// An unreachable worker keeps running its task until its lease ends. The task is started elsewhere only then, and not
/// much later.
#[test]
fn a_task_on_an_unreachable_worker_waits_for_its_lease() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let submitted = world.submit(&cx, 1, vec![step(1, 60_000, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("the task runs", LIMIT, async || {
            world.running_on("w0").len() == 1
        })
        .await;
        sleep(Duration::from_secs(3)).await;
        world.add_worker("w1");
        let cut_at = Instant::now();
        world.cut("w0", true);
        until(
            "the task runs elsewhere",
            Duration::from_secs(12),
            async || world.running_on("w1").len() == 1,
        )
        .await;
        let took = cut_at.elapsed();
        assert!(took < Duration::from_millis(8_500), "{took:?}");
        world.check();
    });
}

/// Guards against waiting for the lease of a worker that crashed and restarted: its tasks are started again as soon as
/// the new incarnation answers.
#[test]
fn tasks_of_a_restarted_worker_start_again_at_once() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let submitted = world.submit(&cx, 1, vec![step(2, 3_000, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("the tasks run", LIMIT, async || world.running().len() == 2).await;
        sleep(Duration::from_millis(500)).await;
        world.crash("w0");
        sleep(Duration::from_millis(1_500)).await;
        world.restart("w0");
        let started_at = Instant::now();
        until("the tasks run again", LIMIT, async || {
            world.running().len() == 2
        })
        .await;
        assert!(
            started_at.elapsed() < Duration::from_millis(2_500),
            "{:?}",
            started_at.elapsed()
        );
        world.check();
    });
}

/// The store becomes unavailable to the owner, and another daemon takes over. Running tasks keep running, orders of
/// the previous owner are refused, and every job is completed once.
#[test]
fn a_takeover_neither_interrupts_nor_duplicates_tasks() {
    paused(async {
        let world = World::new(3);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        let second = world.daemon("b");
        for job in 1..=3 {
            let submitted = world
                .submit(&first, job, vec![step(2, 6_000, &[]), step(1, 200, &[0])])
                .await;
            assert_matches!(submitted, SubmitReply::Accepted);
        }
        until("the tasks run", LIMIT, async || world.running().len() == 6).await;
        world.set_store("a", StoreBehaviour::Unavailable);
        owned(&second, LIMIT).await;
        for job in 1..=3 {
            until(
                "the job is completed",
                Duration::from_secs(10),
                async || world.state(&second, job).await == Some(JobState::Completed),
            )
            .await;
        }
        assert_eq!(world.starts.borrow().len(), 9, "nothing was started twice");
        world.set_store("a", StoreBehaviour::Up);
        until(
            "the first daemon has given the shard up",
            LIMIT,
            async || first.handle(ShardId(0)).owner.borrow().is_none(),
        )
        .await;
        world.check();
    });
}

/// Guards against a confirmed cancel that is lost with its owner: the store becomes unavailable to the owner before its
/// stop orders are sent, and the next owner would renew the tasks' leases for ever.
#[test]
fn a_cancel_outlives_its_owner() {
    paused(async {
        let world = World::new(1);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        let second = world.daemon("b");
        let submitted = world.submit(&first, 1, vec![step(2, 60_000, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("the task runs", LIMIT, async || world.running().len() == 2).await;
        world.cut("w0", true);
        assert_matches!(world.cancel(&first, 1).await, CancelReply::Done);
        world.set_store("a", StoreBehaviour::Unavailable);
        owned(&second, LIMIT).await;
        world.cut("w0", false);
        until("the tasks have ended", LIMIT, async || {
            world.running().is_empty()
        })
        .await;
        assert_eq!(world.state(&second, 1).await, Some(JobState::Cancelled));
        world.check();
    });
}

/// A worker reports that it is leaving: no task is sent to it from one second later.
#[test]
fn a_leaving_worker_gets_no_task() {
    paused(async {
        let world = World::new(2);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        sleep(Duration::from_secs(1)).await;
        world.announce_leaving("w0");
        sleep(Duration::from_secs(1)).await;
        for job in 1..=4 {
            world.submit(&cx, job, vec![step(1, 100, &[])]).await;
        }
        sleep(Duration::from_secs(1)).await;
        let starts = world.starts.borrow();
        assert_eq!(starts.len(), 4);
        assert!(
            starts.iter().all(|(_, _, worker)| worker == "w1"),
            "{starts:?}"
        );
    });
}

/// A job whose tasks fail on every worker has failed after the attempts that its queue allows.
#[test]
fn a_job_that_always_fails_ends_after_its_attempts() {
    paused(async {
        let world = World::new(3);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        world.fail_job(JobId(1));
        world.submit(&cx, 1, vec![step(1, 200, &[])]).await;
        until("the job has failed", LIMIT, async || {
            world.state(&cx, 1).await == Some(JobState::Failed)
        })
        .await;
        assert_eq!(world.starts_of(&task(1, 0, 0)), 2);
    });
}

/// Guards against one store call per event: the events of a burst of a hundred jobs share journal rows, with at most
/// about 60 calls a second.
#[test]
fn a_burst_shares_rows() {
    paused(async {
        let world = World::new(4);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let before = world.commits();
        let started_at = Instant::now();
        let submits = (1..=100).map(|job| world.submit(&cx, job, vec![step(1, 50, &[])]));
        let replies = futures::future::join_all(submits).await;
        assert!(replies.iter().all(|reply| *reply == SubmitReply::Accepted));
        until("all are completed", LIMIT, async || {
            world.state(&cx, 100).await == Some(JobState::Completed)
        })
        .await;
        let (calls, took) = (world.commits() - before, started_at.elapsed().as_secs_f64());
        assert!(
            (calls as f64) < 60.0 * took + 5.0,
            "{calls} calls in {took} s"
        );
        world.check();
    });
}

/// Guards against a shard that is blocked for ever by a journal row that the store refuses: on an idle cluster, one
/// dispatch pass places all 600 tasks of a job, with 100 KB of events, more than fit into a row.
#[test]
fn a_pass_that_places_hundreds_fits_the_rows() {
    paused(async {
        let world = World::new(150);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        sleep(Duration::from_secs(1)).await;
        let submitted = world.submit(&cx, 1, vec![step(600, 500, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("the job is completed", LIMIT, async || {
            world.state(&cx, 1).await == Some(JobState::Completed)
        })
        .await;
        world.check();
    });
}

/// A worker accepts tasks that make no progress. They are stopped and run elsewhere, and the worker is the last to get
/// new tasks.
#[test]
fn stalled_tasks_are_run_elsewhere() {
    paused(async {
        let world = World::new(2);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        sleep(Duration::from_secs(1)).await;
        world.stall("w0");
        let submitted = world.submit(&cx, 1, vec![step(4, 600, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("the job is completed", Duration::from_secs(8), async || {
            world.state(&cx, 1).await == Some(JobState::Completed)
        })
        .await;
        world.submit(&cx, 2, vec![step(2, 300, &[])]).await;
        until(
            "the next job is completed",
            Duration::from_secs(1),
            async || world.state(&cx, 2).await == Some(JobState::Completed),
        )
        .await;
        world.check();
    });
}

/// Guards against long-running tasks that are down until the lease of a worker that left has ended: they are moved
/// while the worker is still running.
#[test]
fn long_running_tasks_are_moved_from_a_leaving_worker() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let long_running = lapisdrum::sched::job::Step {
            is_long_running: true,
            ..step(1, 60_000, &[])
        };
        world.submit(&cx, 1, vec![long_running]).await;
        until("the task runs", LIMIT, async || {
            world.running_on("w0").len() == 1
        })
        .await;
        world.add_worker("w1");
        sleep(Duration::from_secs(1)).await;
        world.announce_leaving("w0");
        until(
            "the task runs elsewhere",
            Duration::from_secs(2),
            async || world.running_on("w1").len() == 1,
        )
        .await;
        world.check();
    });
}

/// A journal row is sent again because its answer was lost, and another process with the same fence has written its row
/// at the key. The journal must end: if the row were taken for our own, callers would be told that jobs were accepted
/// which no journal holds.
#[test]
fn a_foreign_row_at_our_key_ends_the_journal() {
    paused(async {
        let world = World::new(1);
        world.set_store("a", StoreBehaviour::Unavailable);
        let cx = world.daemon("a");
        let row_key = |table, key: &str| RowKey {
            table,
            partition: "main".to_owned(),
            key: key.to_owned(),
        };
        let fence = row_key("owners", "fence");
        world.write_row(&fence, b"us");
        world.write_row(&row_key(JOURNAL_TABLE, "0000000000000001"), b"another's");
        world.set_store("a", StoreBehaviour::Up);
        let journal = Rc::new(Journal::new("main", (fence, 1)));
        let ticket = journal.append(&[]);
        let (writing, writer) = (Rc::clone(&journal), Rc::clone(&cx));
        actix_rt::spawn(async move { writing.write_all(&writer, Vec::new).await });
        assert_eq!(ticket.outcome().await, AppendOutcome::Lost);
    });
}

/// Guards against a replaced owner that denies a job which the new owner has accepted: callers that still reach only
/// the old one would take their cancel for done, while the job keeps running.
#[test]
fn an_owner_that_may_be_replaced_denies_no_job() {
    paused(async {
        let world = World::new(1);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        let second = world.daemon("b");
        world.set_store("a", StoreBehaviour::Unavailable);
        owned(&second, LIMIT).await;
        let submitted = world.submit(&second, 1, vec![step(1, 60_000, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        assert_matches!(world.cancel(&first, 1).await, CancelReply::NotOwner);
        let shown = peer::answer(&first, ShardId(0), OwnerRequest::Show(JobId(1))).await;
        assert_matches!(shown, OwnerReply::Shown(ShowReply::NotOwner));
        let pending =
            peer::answer(&first, ShardId(0), OwnerRequest::Pending("maps".to_owned())).await;
        assert_matches!(pending, OwnerReply::Pending(None));
        assert_matches!(world.cancel(&second, 1).await, CancelReply::Done);
        assert_matches!(world.cancel(&second, 2).await, CancelReply::UnknownJob);
    });
}

/// Returns the time from the simultaneous loss of a worker and its owner until the worker's task runs again.
async fn time_until_restart(
    world: &Rc<World>,
    is_end_known: bool,
    owned_for_long: bool,
) -> Duration {
    let first = world.daemon("a");
    owned(&first, LIMIT).await;
    let second = world.daemon("b");
    if owned_for_long {
        sleep(Duration::from_secs(10)).await;
    }
    let submitted = world.submit(&first, 1, vec![step(1, 60_000, &[])]).await;
    assert_matches!(submitted, SubmitReply::Accepted);
    until("the task runs", LIMIT, async || world.running().len() == 1).await;
    let worker = world.starts.borrow()[0].2.clone();
    let lost_at = Instant::now();
    world.cut(&worker, true);
    world.set_store("a", StoreBehaviour::Unavailable);
    owned(&second, LIMIT).await;
    if is_end_known {
        let owner = second.owners().remove(0);
        owner.note_previous_owner_ended(second.clock.now());
    }
    let limit = Duration::from_secs(20);
    until("the task runs again", limit, async || {
        world.starts_of(&task(1, 0, 0)) == 2
    })
    .await;
    world.check();
    lost_at.elapsed()
}

/// A worker becomes unreachable and its owner is killed. The successor must wait for as long as the owner may keep
/// renewing the worker's lease. A new process that answers at the owner's address proves that it has ended, and the
/// task is started again when leases have ended that were sent by then.
#[test]
fn an_owner_known_to_have_ended_is_not_waited_for() {
    paused(async {
        let unknown = time_until_restart(&World::new(2), false, true).await;
        let known = time_until_restart(&World::new(2), true, true).await;
        let limits = limits();
        let longest = limits.longest + limits.longest / limits.drift_parts;
        let takeover = Duration::from_millis(2_500);
        let restart = Duration::from_millis(400);
        assert!(
            known < takeover + limits.transit + longest + restart,
            "{known:?}"
        );
        let gained = unknown.checked_sub(known);
        let gained = gained.expect("the task is restarted sooner");
        assert!(gained > Duration::from_secs(1), "{unknown:?}, {known:?}");
    });
}

/// As above, but the owner that ended had only just taken over the shard: the owner before it may still renew the
/// worker's lease by its last row, so the task is not started sooner.
#[test]
fn the_owner_before_the_last_may_still_renew() {
    paused(async {
        let world = World::new(2);
        let earlier = world.daemon("z");
        owned(&earlier, LIMIT).await;
        sleep(Duration::from_secs(5)).await;
        let last_row_after = Instant::now() - Duration::from_millis(500);
        world.set_store("z", StoreBehaviour::Unavailable);
        time_until_restart(&world, true, false).await;
        let left_ms = limits().after_row().unconfirmed_ms;
        let started_after = last_row_after.elapsed();
        assert!(
            started_after >= Duration::from_millis(left_ms),
            "{started_after:?} < {left_ms} ms"
        );
    });
}

/// Guards against a silent worker's leases that are waited for as if late calls extended them: another worker carries
/// out its orders late, and the tasks of the silent one stay down for as long as an order may be late.
#[test]
fn late_orders_of_one_worker_do_not_extend_the_leases_of_another() {
    paused(async {
        let world = World::new(1);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        let second = world.daemon("b");
        sleep(Duration::from_secs(10)).await;
        world.submit(&first, 1, vec![step(4, 60_000, &[])]).await;
        until("the tasks run", LIMIT, async || world.running().len() == 4).await;
        world.add_worker("w1");
        world.set_worker("w1", WorkerBehaviour::Late(Duration::from_secs(2)));
        let lost_at = Instant::now();
        world.cut("w0", true);
        world.set_store("a", StoreBehaviour::Unavailable);
        owned(&second, LIMIT).await;
        world.submit(&second, 2, vec![step(1, 100, &[])]).await;
        until("an order is unanswered", LIMIT, async || {
            second.metrics.orders_unanswered.get() > 0
        })
        .await;
        sleep(Duration::from_secs(1)).await;
        world.set_worker("w1", WorkerBehaviour::Prompt);
        until("the tasks run again", Duration::from_secs(30), async || {
            world.running_on("w1").len() == 4
        })
        .await;
        let took = lost_at.elapsed();
        let limits = limits();
        let longest = limits.longest + limits.longest / limits.drift_parts;
        let last_lease = limits.owner_hold + limits.transit + longest;
        let restart = Duration::from_secs(1);
        assert!(took < last_lease + restart, "{took:?}");
        world.check();
    });
}

/// Guards against an end whose checkpoint is larger than a journal event, which the store would refuse for good.
#[test]
fn a_checkpoint_that_no_journal_event_can_hold_is_dropped() {
    paused(async {
        let world = World::new(1);
        world.set_checkpoint("w0", &"x".repeat(800_000));
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let reply = world.submit(&cx, 1, vec![step(1, 100, &[])]).await;
        assert_eq!(reply, SubmitReply::Accepted);
        until("the job is completed", LIMIT, async || {
            world.state(&cx, 1).await == Some(JobState::Completed)
        })
        .await;
        world.check();
    });
}
