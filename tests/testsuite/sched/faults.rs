//! The real owner against a store and workers that fail by script.

use super::{
    paused,
    world::{StoreMood, WorkerMood, World, owned, step, until},
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

/// Tasks end while the store takes a third of a second for each row. A worker lists an end until it is acknowledged, and
/// is looked at again before that. Taken anew at each look, every end went into the journal several times, just
/// when it could take the least; submissions waited for these rows, and the counters told of ends that never were.
#[test]
fn an_end_is_taken_once_however_late_it_is_acknowledged() {
    paused(async {
        let world = World::new(2);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        world.set_slow_txn(Duration::from_millis(900), Duration::ZERO);
        world.set_store("a", StoreMood::Slow);
        for job in 0..6 {
            assert_matches!(
                world.submit(&cx, job, vec![step(4, 150, &[])]).await,
                SubmitReply::Accepted | SubmitReply::Unknown
            );
        }
        until("all are over", LIMIT * 4, async || {
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

/// A caller hands in three steps, the last after both others. Each task runs once, in order, and the
/// caller sees the job completed; a repeat of the submission finds it.
#[test]
fn a_graph_runs_in_order_and_once() {
    paused(async {
        let world = World::new(2);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let steps = vec![step(3, 400, &[]), step(2, 300, &[]), step(2, 200, &[0, 1])];
        let began = Instant::now();
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
            began.elapsed() < Duration::from_millis(1_100),
            "{:?}",
            began.elapsed()
        );
        assert_eq!(world.starts.borrow().len(), 7);
        world.check();
    });
}

/// The store does what it is asked and loses its answers. A caller is told that nobody knows; the repeat is
/// told that the job is accepted, and it runs once.
#[test]
fn a_hand_in_whose_answer_is_lost_is_one_job() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        world.set_store("a", StoreMood::LosesAnswers);
        let first = world.submit(&cx, 1, vec![step(1, 100, &[])]).await;
        world.set_store("a", StoreMood::Up);
        assert!(
            matches!(first, SubmitReply::Unknown | SubmitReply::Accepted),
            "{first:?}"
        );
        until("the repeat is accepted", LIMIT, async || {
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

/// The store is away. The first caller waits for the row and is told that nobody knows; the next ones are
/// refused within milliseconds, since their jobs were not even proposed. What runs goes on running.
#[test]
fn hand_ins_are_refused_at_once_while_the_store_is_away() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let long = vec![step(1, 9_000, &[])];
        assert_matches!(world.submit(&cx, 1, long).await, SubmitReply::Accepted);
        until("the task runs", LIMIT, async || world.running().len() == 1).await;
        world.set_store("a", StoreMood::Away);
        let waited = world.submit(&cx, 2, vec![step(1, 100, &[])]).await;
        assert_matches!(waited, SubmitReply::Unknown);
        let began = Instant::now();
        let refused = world.submit(&cx, 3, vec![step(1, 100, &[])]).await;
        assert_matches!(refused, SubmitReply::Busy(_));
        assert!(began.elapsed() < Duration::from_millis(20));
        sleep(Duration::from_secs(4)).await;
        assert_eq!(world.running().len(), 1, "a short outage stops nothing");
        world.set_store("a", StoreMood::Up);
        until("the job is completed", Duration::from_secs(8), async || {
            world.state(&cx, 1).await == Some(JobState::Completed)
        })
        .await;
        until("so is the one in doubt", LIMIT, async || {
            world.state(&cx, 2).await == Some(JobState::Completed)
        })
        .await;
        assert_eq!(world.state(&cx, 3).await, None, "a refusal is final");
        world.check();
    });
}

/// A worker leaves an order to start unanswered and carries it out two seconds later. Meanwhile the task
/// has been stopped there and started elsewhere; the late order must not double it.
#[test]
fn an_order_that_is_carried_out_late_doubles_nothing() {
    paused(async {
        let world = World::new(2);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        sleep(Duration::from_secs(1)).await;
        world.set_mood("w0", WorkerMood::Late(Duration::from_secs(2)));
        world.set_mood("w1", WorkerMood::Late(Duration::from_secs(2)));
        let submitted = world.submit(&cx, 1, vec![step(1, 4_000, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        sleep(Duration::from_millis(800)).await;
        world.set_mood("w0", WorkerMood::Prompt);
        world.set_mood("w1", WorkerMood::Prompt);
        until("the job is completed", Duration::from_secs(9), async || {
            world.state(&cx, 1).await == Some(JobState::Completed)
        })
        .await;
        world.check();
    });
}

/// An order is on its way to a worker that crashes and starts again under its id. The new life knows
/// neither token nor stopped runs, so the late order would be carried out there too.
#[test]
fn a_late_order_to_a_reborn_worker_doubles_nothing() {
    paused(async {
        let world = World::new(1);
        world.orders_outlive_crashes.set(true);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        sleep(Duration::from_secs(1)).await;
        world.set_mood("w0", WorkerMood::Late(Duration::from_secs(3)));
        let submitted = world.submit(&cx, 1, vec![step(1, 5_000, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        sleep(Duration::from_millis(100)).await;
        world.crash("w0");
        sleep(Duration::from_millis(900)).await;
        world.set_mood("w0", WorkerMood::Prompt);
        world.revive("w0");
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

/// A worker is cut off and runs on under its lease. Its task is started elsewhere only once that has run
/// out, and not much later.
#[test]
fn a_task_on_a_worker_that_is_cut_off_waits_for_its_lease() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let submitted = world.submit(&cx, 1, vec![step(1, 60_000, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("it runs", LIMIT, async || world.running_on("w0").len() == 1).await;
        sleep(Duration::from_secs(3)).await;
        world.add_worker("w1");
        let cut_at = Instant::now();
        world.cut("w0", true);
        until("it runs elsewhere", Duration::from_secs(12), async || {
            world.running_on("w1").len() == 1
        })
        .await;
        let took = cut_at.elapsed();
        assert!(took < Duration::from_millis(8_500), "{took:?}");
        world.check();
    });
}

/// A worker crashes and starts again. Its tasks are started again as soon as its new life answers, without
/// waiting for any lease.
#[test]
fn tasks_of_a_reborn_worker_start_again_at_once() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let submitted = world.submit(&cx, 1, vec![step(2, 3_000, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("they run", LIMIT, async || world.running().len() == 2).await;
        sleep(Duration::from_millis(500)).await;
        world.crash("w0");
        sleep(Duration::from_millis(1_500)).await;
        world.revive("w0");
        let began = Instant::now();
        until("they run again", LIMIT, async || world.running().len() == 2).await;
        assert!(
            began.elapsed() < Duration::from_millis(2_500),
            "{:?}",
            began.elapsed()
        );
        world.check();
    });
}

/// The store turns the owner away and serves another daemon, which takes over. Running tasks run on, the
/// earlier owner's orders are refused, and every job is completed once.
#[test]
fn a_take_over_interrupts_and_doubles_nothing() {
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
        until("they run", LIMIT, async || world.running().len() == 6).await;
        world.set_store("a", StoreMood::Away);
        owned(&second, LIMIT).await;
        for job in 1..=3 {
            until("it is completed", Duration::from_secs(10), async || {
                world.state(&second, job).await == Some(JobState::Completed)
            })
            .await;
        }
        assert_eq!(world.starts.borrow().len(), 9, "nothing was started twice");
        world.set_store("a", StoreMood::Up);
        until("the first one knows", LIMIT, async || {
            first.handle(ShardId(0)).owner.borrow().is_none()
        })
        .await;
        world.check();
    });
}

/// A caller cancels a job and is told so; the owner is turned away before its stops are sent. Whoever takes
/// over must stop the tasks, which it would renew for ever otherwise.
#[test]
fn a_cancel_outlives_its_owner() {
    paused(async {
        let world = World::new(1);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        let second = world.daemon("b");
        let submitted = world.submit(&first, 1, vec![step(2, 60_000, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("it runs", LIMIT, async || world.running().len() == 2).await;
        world.cut("w0", true);
        assert_matches!(world.cancel(&first, 1).await, CancelReply::Done);
        world.set_store("a", StoreMood::Away);
        owned(&second, LIMIT).await;
        world.cut("w0", false);
        until("the tasks are gone", LIMIT, async || {
            world.running().is_empty()
        })
        .await;
        assert_eq!(world.state(&second, 1).await, Some(JobState::Cancelled));
        world.check();
    });
}

/// A worker says that it is leaving: no task is sent there from a second after.
#[test]
fn a_leaving_worker_gets_no_task() {
    paused(async {
        let world = World::new(2);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        sleep(Duration::from_secs(1)).await;
        world.leave("w0");
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

/// A job whose tasks fail wherever they run is given up after as many attempts as its queue allows.
#[test]
fn a_job_that_can_only_fail_is_given_up() {
    paused(async {
        let world = World::new(3);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        world.let_fail(JobId(1));
        world.submit(&cx, 1, vec![step(1, 200, &[])]).await;
        until("it is failed", LIMIT, async || {
            world.state(&cx, 1).await == Some(JobState::Failed)
        })
        .await;
        assert_eq!(world.starts_of(&task(1, 0, 0)), 2);
    });
}

/// A burst of events shares rows: a hundred jobs cost the store some fifty calls a second and not one an
/// event.
#[test]
fn a_burst_shares_rows() {
    paused(async {
        let world = World::new(4);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let before = world.commits();
        let began = Instant::now();
        let submits = (1..=100).map(|job| world.submit(&cx, job, vec![step(1, 50, &[])]));
        let replies = futures::future::join_all(submits).await;
        assert!(replies.iter().all(|reply| *reply == SubmitReply::Accepted));
        until("all are completed", LIMIT, async || {
            world.state(&cx, 100).await == Some(JobState::Completed)
        })
        .await;
        let (calls, took) = (world.commits() - before, began.elapsed().as_secs_f64());
        assert!(
            (calls as f64) < 60.0 * took + 5.0,
            "{calls} calls in {took} s"
        );
        world.check();
    });
}

/// A wide job comes to an idle site, and one pass places all of its 600 tasks: 100 KB of events, more than
/// a row takes. The store would refuse the row for ever, and the shard would stand still.
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

/// A worker takes tasks and does nothing with them. They are stopped there, done elsewhere, and the worker
/// gets the next ones last.
#[test]
fn tasks_that_stand_still_go_elsewhere() {
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
        until("so is the next", Duration::from_secs(1), async || {
            world.state(&cx, 2).await == Some(JobState::Completed)
        })
        .await;
        world.check();
    });
}

/// A worker says that it is leaving. A task that lasts is moved while the worker is still there, in place of
/// lying down for the seconds until its lease is over.
#[test]
fn lasting_tasks_leave_a_leaving_worker() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let lasting = lapisdrum::sched::job::Step {
            is_long_running: true,
            ..step(1, 60_000, &[])
        };
        world.submit(&cx, 1, vec![lasting]).await;
        until("it runs", LIMIT, async || world.running_on("w0").len() == 1).await;
        world.add_worker("w1");
        sleep(Duration::from_secs(1)).await;
        world.leave("w0");
        until("it runs elsewhere", Duration::from_secs(2), async || {
            world.running_on("w1").len() == 1
        })
        .await;
        world.check();
    });
}

/// A row's answer is lost, and by the time it is sent again another process that somehow has our fence has
/// put its row at the place. The journal must end: taken for our own, the other's row would have callers
/// told that jobs are accepted which no journal holds.
#[test]
fn anothers_row_at_our_place_ends_the_journal() {
    paused(async {
        let world = World::new(1);
        world.set_store("a", StoreMood::Away);
        let cx = world.daemon("a");
        let place = |table, key: &str| RowKey {
            table,
            partition: "main".to_owned(),
            key: key.to_owned(),
        };
        let fence = place("owners", "fence");
        world.write_row(&fence, b"us");
        world.write_row(&place(JOURNAL_TABLE, "0000000000000001"), b"another's");
        world.set_store("a", StoreMood::Up);
        let journal = Rc::new(Journal::new("main", (fence, 1)));
        let ticket = journal.append(&[]);
        let (writing, writer) = (Rc::clone(&journal), Rc::clone(&cx));
        actix_rt::spawn(async move { writing.write_all(&writer, Vec::new).await });
        assert_eq!(ticket.outcome().await, AppendOutcome::Lost);
    });
}

/// The store turns the owner away and another daemon takes over; callers cut off with the old one still ask
/// it. It must not say of a job that the new owner has accepted that there is none: the caller would take its
/// cancel for done, and the job would run on.
#[test]
fn an_owner_that_may_be_replaced_denies_no_job() {
    paused(async {
        let world = World::new(1);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        let second = world.daemon("b");
        world.set_store("a", StoreMood::Away);
        owned(&second, LIMIT).await;
        let submitted = world.submit(&second, 1, vec![step(1, 60_000, &[])]).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        assert_matches!(world.cancel(&first, 1).await, CancelReply::NotOwner);
        let shown = peer::answer(&first, ShardId(0), OwnerRequest::Show(JobId(1))).await;
        assert_matches!(shown, OwnerReply::Shown(ShowReply::NotOwner));
        let counted =
            peer::answer(&first, ShardId(0), OwnerRequest::Pending("maps".to_owned())).await;
        assert_matches!(counted, OwnerReply::Pending(None));
        assert_matches!(world.cancel(&second, 1).await, CancelReply::Done);
        assert_matches!(world.cancel(&second, 2).await, CancelReply::UnknownJob);
    });
}

/// Time from the loss of a worker and of its owner at once to the next run of what ran there.
async fn restarted_after(world: &Rc<World>, is_gone_known: bool, took_long_ago: bool) -> Duration {
    let first = world.daemon("a");
    owned(&first, LIMIT).await;
    let second = world.daemon("b");
    if took_long_ago {
        sleep(Duration::from_secs(10)).await;
    }
    let submitted = world.submit(&first, 1, vec![step(1, 60_000, &[])]).await;
    assert_matches!(submitted, SubmitReply::Accepted);
    until("it runs", LIMIT, async || world.running().len() == 1).await;
    let on = world.starts.borrow()[0].2.clone();
    let lost_at = Instant::now();
    world.cut(&on, true);
    world.set_store("a", StoreMood::Away);
    owned(&second, LIMIT).await;
    if is_gone_known {
        let owner = second.owners().remove(0);
        owner.note_previous_owner_ended(&second, second.clock.now());
    }
    let limit = Duration::from_secs(20);
    until("it runs again", limit, async || {
        world.starts_of(&task(1, 0, 0)) == 2
    })
    .await;
    world.check();
    lost_at.elapsed()
}

/// A worker is cut off and its owner's daemon killed with it. The successor must wait for as long as the owner may
/// go on renewing; a daemon that answers as a new run at the owner's address proves that it does not, and what
/// ran there is started again that much sooner.
#[test]
fn an_owner_known_to_be_gone_is_not_waited_for() {
    paused(async {
        let silent = restarted_after(&World::new(2), false, true).await;
        let known = restarted_after(&World::new(2), true, true).await;
        let gained = silent.checked_sub(known);
        let gained = gained.expect("knowing gains time");
        assert!(gained > Duration::from_secs(2), "{silent:?}, {known:?}");
    });
}

/// The same, but the owner that is gone had only just taken the shard: the one before it may still be renewing
/// within its hold, so knowing the last one gone allows nothing sooner than that.
#[test]
fn the_owner_before_the_last_may_still_renew() {
    paused(async {
        let silent = restarted_after(&World::new(2), false, false).await;
        let known = restarted_after(&World::new(2), true, false).await;
        let gained = silent.saturating_sub(known);
        assert!(gained < Duration::from_secs(1), "{silent:?}, {known:?}");
    });
}
