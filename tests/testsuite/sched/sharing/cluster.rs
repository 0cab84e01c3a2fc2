//! Sharing and early refusals in a simulated cluster with the real daemons.

use super::super::{
    paused,
    world::{World, owned, step, terms, until},
};
use assert_matches::assert_matches;
use lapisdrum::sched::{
    Cx,
    edge::Queue,
    features::Features,
    front::{self, Outcome},
    job::{JobId, JobSpec, QueueConfig, RawJob, Step},
    lease::LeaseRow,
    owner::jobs,
    peer::{JobState, SubmitReply},
};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(5);
/// The first id of the jobs of a burst.
const FIRST: u64 = 100;

/// Time between two submissions of an overload.
const INTERVAL: Duration = Duration::from_millis(100);

/// A queue whose jobs have this much time to spare.
fn queue(spare: Duration) -> Queue {
    Queue {
        terms: QueueConfig {
            target_ms: spare.as_millis() as u64,
            ..terms()
        },
        host: "maps.example".to_owned(),
        path_prefix: "/".to_owned(),
    }
}

fn job(world: &World, id: u64, steps: Vec<Step>) -> (JobId, JobSpec) {
    world.jobs.borrow_mut().insert(JobId(id), steps.clone());
    let raw = RawJob {
        payload: "work".to_owned(),
        steps,
        schedule: None,
    };
    (JobId(id), JobSpec::try_from(raw).expect("a valid job"))
}

/// Submits a job to a daemon, which forwards it to the owner; all jobs of a burst can be on time.
async fn submit_by(world: &World, cx: &Cx, id: u64, steps: Vec<Step>) -> Outcome<()> {
    let (id, spec) = job(world, id, steps);
    front::submit(cx, &queue(Duration::from_secs(60)), id, spec).await
}

/// Submits a job that is on time within 2.4 s and worthless after 7.1 s.
async fn submit_urgent(world: &World, cx: &Cx, id: u64) -> Outcome<()> {
    let (id, spec) = job(world, id, vec![step(4, 250, &[])]);
    front::submit(cx, &queue(Duration::from_secs(2)), id, spec).await
}

fn share(world: &World) {
    world.features.set(Features {
        fair_sharing: true,
        ..Features::default()
    });
}

/// Time until one job of the data centre `west` is completed behind a burst of 40 of the data centre `east`, on four
/// workers of four cores.
async fn delay_behind_a_burst(is_shared: bool) -> Duration {
    let world = World::new(4);
    if is_shared {
        share(&world);
    }
    let east = world.daemon_in("a", "east");
    owned(&east, LIMIT).await;
    let west = world.daemon_in("b", "west");
    for id in FIRST..FIRST + 40 {
        let accepted = submit_by(&world, &east, id, vec![step(4, 500, &[])]).await;
        assert_eq!(accepted, Outcome::Done(()));
    }
    until("the other daemon finds the owner", LIMIT, async || {
        submit_by(&world, &west, 1, vec![step(4, 500, &[])]).await == Outcome::Done(())
    })
    .await;
    let submitted_at = Instant::now();
    until(
        "the job of the other data centre ends",
        LIMIT * 4,
        async || world.state(&east, 1).await == Some(JobState::Completed),
    )
    .await;
    world.check();
    submitted_at.elapsed()
}

/// Guards against an owner that does not learn where a job was submitted: all jobs of a queue count as one caller's.
#[test]
fn a_burst_of_one_data_centre_does_not_delay_a_job_of_another() {
    paused(async {
        let apart = delay_behind_a_burst(false).await;
        let shared = delay_behind_a_burst(true).await;
        assert!(shared < Duration::from_millis(1_500), "{shared:?}");
        assert!(apart > shared * 2, "{apart:?} without sharing, {shared:?}");
    });
}

/// Guards against a submission that an owner of an earlier version can't read, and against a journal that differs
/// while the feature is off.
#[test]
fn the_data_centre_is_named_only_where_callers_share() {
    paused(async {
        for (is_shared, is_known) in [(false, true), (true, true), (true, false)] {
            let world = World::new(2);
            if is_shared {
                share(&world);
            }
            let cx = world.daemon_in("a", "east");
            owned(&cx, LIMIT).await;
            let owners = cx.owners();
            let owner = &owners[0];
            let accepts_origins = |row: &LeaseRow| row.accepts_origins;
            until("a row of the owner is read", LIMIT, async || {
                let lease = owner.handle.lease.borrow();
                lease.row.as_ref().is_some_and(accepts_origins)
            })
            .await;
            if !is_known {
                let mut lease = owner.handle.lease.borrow_mut();
                let row = lease.row.as_mut().expect("a row was read");
                row.accepts_origins = false;
            }
            let accepted = submit_by(&world, &cx, 1, vec![step(1, 100, &[])]).await;
            assert_eq!(accepted, Outcome::Done(()));
            let ledger = owner.ledger.borrow();
            let data_centre = ledger.jobs[&JobId(1)].data_centre.clone();
            let is_named = is_shared && is_known;
            assert_eq!(data_centre.as_deref(), is_named.then_some("east"));
        }
    });
}

/// An owner of one worker with four cores, for which more than twice as much work has come for 15 s as it can do, so that
/// jobs have become worthless.
async fn overloaded() -> (Rc<World>, Cx) {
    let world = World::new(1);
    world.features.set(Features {
        early_refusal: true,
        ..Features::default()
    });
    let cx = world.daemon("a");
    owned(&cx, LIMIT).await;
    for id in FIRST..FIRST + 150 {
        submit_urgent(&world, &cx, id).await;
        sleep(INTERVAL).await;
        // The time of day, by which jobs age, doesn't follow the paused clock.
        world.note_suspension("a", INTERVAL);
    }
    (world, cx)
}

/// Goes on submitting until a job is refused; returns its id and the Retry-After time.
async fn refused(world: &World, cx: &Cx) -> (u64, Duration) {
    for id in 1..=50 {
        if let Outcome::Refused(retry_after) = submit_urgent(world, cx, id).await {
            return (id, retry_after);
        }
        sleep(INTERVAL).await;
        world.note_suspension("a", INTERVAL);
    }
    panic!("no job is refused");
}

/// Guards against a job that runs although its submission was refused, and against a refusal of a job that was
/// accepted before.
#[test]
fn a_job_that_would_be_worthless_is_refused_and_a_repeat_of_an_accepted_one_is_not() {
    paused(async {
        let (world, cx) = overloaded().await;
        let (id, retry_after) = refused(&world, &cx).await;
        assert!(retry_after > Duration::from_secs(1), "{retry_after:?}");
        assert_eq!(
            world.state(&cx, id).await,
            None,
            "a refused job is not recorded"
        );
        assert_eq!(submit_urgent(&world, &cx, FIRST).await, Outcome::Done(()));
        assert!(cx.metrics.hopeless_refusals.get() > 0);
        sleep(retry_after).await;
        assert_eq!(submit_urgent(&world, &cx, id).await, Outcome::Done(()));
        world.check();
    });
}

/// Guards against refusals by an owner that has just taken over and has not measured the drain of its queue.
#[test]
fn after_a_take_over_jobs_are_accepted_until_the_drain_is_measured() {
    paused(async {
        let (world, first) = overloaded().await;
        refused(&world, &first).await;
        let second = world.daemon("b");
        first.draining.send_replace(true);
        for owner in first.owners() {
            owner.mark_lost("the test ends it");
        }
        owned(&second, LIMIT * 3).await;
        assert_eq!(submit_urgent(&world, &second, 99).await, Outcome::Done(()));
        assert_eq!(
            submit_urgent(&world, &second, FIRST).await,
            Outcome::Done(())
        );
        world.check();
    });
}

/// Guards against a false refusal of a job that a later owner has accepted.
#[test]
fn an_owner_that_may_be_superseded_refuses_nothing() {
    paused(async {
        let (world, cx) = overloaded().await;
        refused(&world, &cx).await;
        let owners = cx.owners();
        owners[0].stop_sending_leases();
        let (id, spec) = job(&world, 99, vec![step(4, 250, &[])]);
        let terms = queue(Duration::from_secs(2)).terms;
        let reply = jobs::submit(&cx, &owners[0], id, Rc::new(spec), terms, None, false).await;
        assert_matches!(reply, SubmitReply::NotOwner);
    });
}
