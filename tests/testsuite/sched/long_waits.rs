//! Best-effort jobs that every host refuses, and how long they wait.

use super::{
    layout::sole_owner_with,
    paused,
    world::{Contention, World, home, owned, step, until},
};
use assert_matches::assert_matches;
use indexmap::IndexMap;
use lapisdrum::{
    core::{size::Size, time::Millis},
    policy::dispatch::{
        ahead::{self, Budget, Turn},
        interference::{Image, InterferenceModel, ServingLoad, Victim},
        mitigation::{self, Action, BestEffort, DecisionInputs, Serving},
        order::{Rank, RankInputs},
        overdue::{OverdueTasks, admit, is_mostly_free, takes_any},
        place::{Host, Kept, Load, Need, ServingGroup, Unfit, choose},
        timings::Timings,
        utilisation::{POINTS, UtilisationForecast},
    },
    sched::{
        Cx,
        features::Features,
        job::{Gang, JobId, Step},
        layout::ShardId,
        peer::{JobState, SubmitReply},
    },
};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(5);
/// Time within which a job that has nothing running runs while its turn has come and most capacity is free.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// Longest time on end for which best-effort tasks may keep a serving task over its target.
const MAX_HARM: Duration = Duration::from_secs(4);
const SERVING: u64 = 1;

/// Serving tasks, no two on one worker.
fn serving(count: u32, cores: u64) -> Vec<Step> {
    let mut step = step(count, 600_000, &[]);
    step.size.millicores = cores * 1_000;
    step.is_long_running = true;
    step.latency_target_ms = Some(50);
    step.image = Some("stream".to_owned());
    step.max_per_worker = Some(1);
    vec![step]
}

fn best_effort(estimate_ms: u64, cores: u64) -> Step {
    let mut step = step(1, estimate_ms, &[]);
    step.size.millicores = cores * 1_000;
    step.image = Some("render".to_owned());
    step.uses_leftover_cpu = true;
    step.is_checkpointing = true;
    step
}

/// A cluster of four workers with four cores each, some of which a serving task holds on each.
async fn shared_cluster(cores: u64, contention: Option<Contention>) -> (Rc<World>, Cx) {
    let world = World::new(4);
    world.contention.set(contention);
    let cx = world.daemon("a");
    owned(&cx, LIMIT).await;
    submit(&world, &cx, SERVING, serving(4, cores)).await;
    until("the serving tasks run", LIMIT, async || {
        world.running().len() == 4
    })
    .await;
    (world, cx)
}

async fn submit(world: &World, cx: &Cx, id: u64, steps: Vec<Step>) {
    assert_matches!(world.submit(cx, id, steps).await, SubmitReply::Accepted);
}

fn runs(world: &World, id: u64) -> bool {
    world.running().iter().any(|run| run.task.job == JobId(id))
}

/// Longest times on end for which a job has nothing running and for which a worker is overloaded, until the job is
/// completed or `time` has passed.
async fn longest(world: &World, cx: &Cx, id: u64, time: Duration) -> (Duration, Duration) {
    let started_at = Instant::now();
    let (mut wait, mut harm) = (Duration::ZERO, Duration::ZERO);
    let mut idle_since = started_at;
    let mut over_since: IndexMap<String, Instant> = IndexMap::new();
    while started_at.elapsed() < time && world.state(cx, id).await != Some(JobState::Completed) {
        let now = Instant::now();
        if runs(world, id) {
            idle_since = now;
        }
        wait = wait.max(now - idle_since);
        let overloaded = world.overloaded();
        over_since.retain(|worker, _| overloaded.contains(worker));
        for worker in overloaded {
            let since = over_since.entry(worker).or_insert(now);
            harm = harm.max(now - *since);
        }
        sleep(Duration::from_millis(20)).await;
    }
    (wait, harm)
}

/// Guards against a best-effort job of an unknown image that every host refuses for as long as its serving tasks run.
#[test]
fn a_best_effort_job_of_an_unknown_image_runs_in_time() {
    paused(async {
        let (world, cx) = shared_cluster(1, None).await;
        submit(&world, &cx, 2, vec![best_effort(500, 2)]).await;
        until("the best-effort job runs", MAX_WAIT, async || {
            runs(&world, 2)
        })
        .await;
        until("it is completed", LIMIT, async || {
            world.state(&cx, 2).await == Some(JobState::Completed)
        })
        .await;
        world.check();
    });
}

/// Guards against a gang of best-effort tasks that every host refuses.
#[test]
fn a_best_effort_gang_of_an_unknown_image_runs_in_time() {
    paused(async {
        let (world, cx) = shared_cluster(1, None).await;
        let mut gang = best_effort(500, 2);
        gang.count = 3;
        gang.gang = Gang::AnyRack;
        submit(&world, &cx, 2, vec![gang]).await;
        until("the gang runs", MAX_WAIT, async || {
            world.running().len() == 7
        })
        .await;
        world.check();
    });
}

/// Guards against a best-effort job whose image slows every serving task and is refused for that by every host. It
/// works at a speed that the serving tasks tolerate.
#[test]
fn a_best_effort_job_that_slows_every_serving_task_runs_in_time() {
    paused(async {
        let contention = Contention {
            load: 0.45,
            interference: 2.0,
        };
        let (world, cx) = shared_cluster(1, Some(contention)).await;
        submit(&world, &cx, 2, vec![best_effort(2_000, 2)]).await;
        let (wait, harm) = longest(&world, &cx, 2, Duration::from_secs(30)).await;
        assert!(wait <= MAX_WAIT, "nothing runs for {wait:?}");
        assert!(harm < MAX_HARM, "over the target for {harm:?}");
        assert_eq!(world.state(&cx, 2).await, Some(JobState::Completed));
        assert!(cx.metrics.overdue_admissions.get() > 0);
        world.check();
    });
}

/// Guards against a job that all hosts refuse and that has nothing running for most of the time, since it counts as
/// overdue anew after each of its tasks.
#[test]
fn an_overdue_job_runs_one_task_after_the_other() {
    paused(async {
        let contention = Contention {
            load: 0.45,
            interference: 2.0,
        };
        let (world, cx) = shared_cluster(1, Some(contention)).await;
        let mut step = best_effort(800, 2);
        step.count = 5;
        submit(&world, &cx, 2, vec![step]).await;
        until("the job runs", MAX_WAIT, async || runs(&world, 2)).await;
        let (mut idle, mut all) = (0, 0);
        while world.state(&cx, 2).await != Some(JobState::Completed) {
            all += 1;
            idle += u32::from(!runs(&world, 2));
            assert!(all < 3_000, "the job is not completed");
            sleep(Duration::from_millis(20)).await;
        }
        assert!(5 * idle < all, "idle for {idle} of {all} looks");
        world.check();
    });
}

/// Guards against overdue tasks that keep serving tasks over their targets even with the lowest CPU limit.
#[test]
fn an_overdue_job_does_not_keep_serving_tasks_over_their_targets() {
    paused(async {
        let contention = Contention {
            load: 0.6,
            interference: 8.0,
        };
        let (world, cx) = shared_cluster(1, Some(contention)).await;
        for id in 2..5 {
            submit(&world, &cx, id, vec![best_effort(2_000, 2)]).await;
        }
        let (wait, harm) = longest(&world, &cx, 2, Duration::from_secs(60)).await;
        assert!(wait <= MAX_WAIT, "nothing runs for {wait:?}");
        assert!(harm < MAX_HARM, "over the target for {harm:?}");
        world.check();
    });
}

/// Jobs of twenty tasks for a whole core each, three a second, which is twice what the cluster can run.
async fn backlog(world: &World, cx: &Cx, is_best_effort: bool) {
    for id in 100..142 {
        let mut step = best_effort(500, 1);
        step.count = 20;
        step.uses_leftover_cpu = is_best_effort;
        submit(world, cx, id, vec![step]).await;
        sleep(Duration::from_millis(333)).await;
    }
}

/// Longest time for which each job of the backlog has nothing running while a part of it waits.
async fn longest_waits(world: &World, cx: &Cx, time: Duration) -> IndexMap<u64, Duration> {
    let started_at = Instant::now();
    let mut idle_since: IndexMap<u64, Instant> = IndexMap::new();
    let mut longest: IndexMap<u64, Duration> = IndexMap::new();
    while started_at.elapsed() < time {
        let now = Instant::now();
        for id in 100..142 {
            let is_waiting = matches!(
                world.state(cx, id).await,
                Some(JobState::Queued | JobState::Running)
            );
            if !is_waiting || runs(world, id) {
                idle_since.swap_remove(&id);
                continue;
            }
            let wait = now - *idle_since.entry(id).or_insert(now);
            let longest = longest.entry(id).or_default();
            *longest = wait.max(*longest);
        }
        sleep(Duration::from_millis(50)).await;
    }
    longest
}

async fn check_backlog(is_best_effort: bool) {
    let world = World::new(4);
    let cx = world.daemon("a");
    owned(&cx, LIMIT).await;
    let time = Duration::from_secs(14);
    let (_, waits) = futures::join!(
        backlog(&world, &cx, is_best_effort),
        longest_waits(&world, &cx, time)
    );
    let longest = waits.into_iter().max_by_key(|(_, wait)| *wait);
    let (id, wait) = longest.expect("a job that waits");
    assert!(wait <= MAX_WAIT, "nothing of job {id} runs for {wait:?}");
    assert!(cx.metrics.starts_ahead.get() > 0);
    world.check();
}

/// Guards against late best-effort jobs that have nothing running for as long as newer ones keep all processors busy.
#[test]
fn late_best_effort_jobs_of_a_backlog_have_something_running() {
    paused(check_backlog(true));
}

/// Guards against late jobs that have nothing running for as long as newer ones reserve all processors.
#[test]
fn late_reserving_jobs_of_a_backlog_have_something_running() {
    paused(check_backlog(false));
}

fn rank(priority: u32, age_ms: u64) -> Rank {
    let inputs = RankInputs {
        priority,
        is_long_running: false,
        is_interrupted: false,
        age_ms,
        objective_ms: 4_000,
        chain_ms: 1_000,
        is_in_progress: false,
    };
    inputs.rank()
}

/// Guards against late jobs that go ahead of more urgent ones, of longer waits or of jobs that can be on time without
/// having waited.
#[test]
fn jobs_go_ahead_by_how_long_they_have_nothing_running() {
    let waited = |ms| Some(Duration::from_millis(ms));
    let steps = [
        (rank(0, 100), None),
        (rank(1, 100), None),
        (rank(1, 200), waited(9_000)),
        (rank(1, 20_000), waited(2_000)),
        (rank(1, 30_000), waited(6_000)),
    ];
    assert_eq!(
        ahead::turns(steps.into_iter()),
        [
            Turn::Usual(0),
            Turn::Ahead(4),
            Turn::Ahead(3),
            Turn::Usual(1),
            Turn::Usual(2),
            Turn::Usual(3),
            Turn::Usual(4),
        ]
    );
}

/// Guards against a backlog of narrow jobs that go ahead and leave nothing to jobs that can be on time.
#[test]
fn one_start_in_four_goes_ahead_under_a_long_backlog() {
    let mut budget = Budget::default();
    let mut ahead = 0;
    for _ in 0..4_000 {
        let is_ahead = budget.allows();
        budget.note(1, is_ahead);
        ahead += u32::from(is_ahead);
    }
    assert!((1_000..=1_025).contains(&ahead), "{ahead} of 4,000");
    let mut budget = Budget::default();
    budget.note(40, true);
    budget.note(3 * 40 - 65, false);
    assert!(!budget.allows(), "a gang counts with all its tasks");
}

/// Guards against best-effort tasks that slow serving tasks although most processors are in use.
#[test]
fn a_refused_best_effort_job_waits_while_most_processors_are_in_use() {
    paused(async {
        let (world, cx) = shared_cluster(3, None).await;
        submit(&world, &cx, 2, vec![best_effort(500, 1)]).await;
        let mut wide = best_effort(500, 2);
        wide.image = Some("encode".to_owned());
        submit(&world, &cx, 3, vec![wide]).await;
        sleep(Duration::from_secs(10)).await;
        assert!(!runs(&world, 3));
        assert_eq!(cx.metrics.overdue_admissions.get(), 0);
        world.check();
    });
}

/// Long-running tasks of three cores that report no latency, no two on one worker.
fn reserving(count: u32) -> Vec<Step> {
    let mut step = step(count, 600_000, &[]);
    step.size.millicores = 3_000;
    step.is_long_running = true;
    step.max_per_worker = Some(1);
    vec![step]
}

/// Guards against a best-effort job that waits for as long as its shard's workers are mostly reserved, although most
/// processors of the deployment are free: the shard got all long-running tasks.
#[test]
fn a_best_effort_job_runs_in_time_in_the_shard_that_got_the_long_running_tasks() {
    paused(async {
        let (world, cx, _) = sole_owner_with(4, Features::default()).await;
        let layout = cx.layout.borrow().clone().expect("a layout");
        let mut racks = layout.racks.iter().filter(|(_, of)| **of == ShardId(0));
        let (rack, _) = racks.next().expect("a rack");
        let mut ids = (1..).filter(|id| home(&cx, *id) == ShardId(0));
        let mut next_id = || ids.next().expect("an id");
        submit(&world, &cx, next_id(), reserving(2)).await;
        until("the long-running tasks run", LIMIT, async || {
            world.running().len() == 2
        })
        .await;
        let id = next_id();
        let near = Step {
            data_rack: Some(rack.clone()),
            ..best_effort(500, 2)
        };
        submit(&world, &cx, id, vec![near]).await;
        until("the best-effort job runs", MAX_WAIT, async || {
            runs(&world, id)
        })
        .await;
        world.check();
    });
}

/// Guards against the oldest of more overdue jobs than hosts, which starves behind newer ones with less slack, and against
/// several overdue tasks at once on a host that is mostly reserved.
#[test]
fn the_job_that_waits_longest_is_the_next_on_a_mostly_reserved_host() {
    paused(async {
        let world = World::new(4);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        submit(&world, &cx, SERVING, reserving(4)).await;
        until("the long-running tasks run", LIMIT, async || {
            world.running().len() == 4
        })
        .await;
        for id in 2..6 {
            submit(&world, &cx, id, vec![best_effort(3_000, 2)]).await;
        }
        sleep(Duration::from_millis(500)).await;
        let (oldest, newer) = (6, 7..15);
        submit(&world, &cx, oldest, vec![best_effort(6_000, 2)]).await;
        sleep(Duration::from_millis(100)).await;
        for id in newer.clone() {
            submit(&world, &cx, id, vec![best_effort(500, 2)]).await;
        }
        until("the first jobs run", MAX_WAIT, async || {
            (2..6).all(|id| runs(&world, id))
        })
        .await;
        until("the oldest of the others runs", LIMIT, async || {
            // Several hosts may be free in the same pass.
            let is_oldest_next = runs(&world, oldest);
            assert!(is_oldest_next || !newer.clone().any(|id| runs(&world, id)));
            is_oldest_next
        })
        .await;
        until("all are completed", LIMIT * 4, async || {
            for worker in ["w0", "w1", "w2", "w3"] {
                assert!(world.running_on(worker).len() <= 2, "{worker}");
            }
            let mut is_completed = true;
            for id in 2..15 {
                is_completed &= world.state(&cx, id).await == Some(JobState::Completed);
            }
            is_completed
        })
        .await;
        world.check();
    });
}

const TARGET_MS: f64 = 50.0;

fn victim(image: Image) -> Victim {
    Victim {
        image,
        step: (1, 0, 0),
        target_ms: TARGET_MS,
        load: ServingLoad::default(),
    }
}

fn cores(n: u64) -> Size {
    Size {
        millicores: n * 1_000,
        memory_mb: n * 1_000,
        accelerators: 0,
    }
}

/// A host of 32 cores with a serving task of four, at this utilisation.
fn host(id: &'static str, serving: Image, utilisation: f64) -> Host<'static> {
    let victim = victim(serving);
    let limit = InterferenceModel::default().limit(&victim);
    Host {
        id,
        pool: "pool",
        rack: None,
        labels: &[],
        capacity: cores(32),
        reserved: cores(4),
        long_running: cores(4),
        best_effort_millicores: 0,
        serving: vec![ServingGroup {
            misses_alone: false,
            victim,
            millicores: 4_000,
            load: 0.45,
            forecast: UtilisationForecast::without_aggressors(1, limit, [utilisation; POINTS]),
        }],
        is_open_for_best_effort: true,
        overdue: OverdueTasks::None,
        of_step: 0,
        is_suspect: false,
        is_avoided: false,
        kept: None,
        kept_for: Size::ZERO,
    }
}

fn need(image: Image, cores_each: u64) -> Need<'static> {
    Need {
        pool: "pool",
        size: cores(cores_each),
        load: Load::BestEffort,
        is_long_running: false,
        required_label: None,
        data_rack: None,
        max_per_worker: None,
        image: Some(image),
        victim: None,
        duration: Duration::from_secs(2),
    }
}

/// An overdue task goes where it is expected to add least to overloads, with the highest CPU limit that adds nothing.
#[test]
fn an_overdue_task_is_admitted_where_it_costs_least() {
    let mut model = InterferenceModel::default();
    let (serving, render) = (model.image("s"), model.image("r"));
    let need = need(render, 16);
    let hosts = [host("near", serving, 0.75), host("far", serving, 0.45)];
    assert_eq!(choose(&need, &hosts, &model), None);
    let admitted = admit(&need, &hosts, &model).expect("a host");
    assert_eq!((admitted.at, admitted.why), (1, Unfit::Pressure));
    assert_eq!(
        (admitted.cpu_limit_percent, admitted.added_overload),
        (40, 0.0)
    );
    let near = admit(&need, &hosts[..1], &model).expect("a host");
    assert_eq!(near.cpu_limit_percent, 20);
    assert!(near.added_overload > 0.0);
}

/// Guards against an overdue task on a host that can't run it, or that takes none now.
#[test]
fn an_overdue_task_is_refused_for_lasting_reasons() {
    let mut model = InterferenceModel::default();
    let (serving, render) = (model.image("s"), model.image("r"));
    let need = need(render, 16);
    let free = host("a", serving, 0.45);
    let admits = |host: &Host, need: &Need| {
        admit(need, std::slice::from_ref(host), &model).map(|admission| admission.why)
    };
    assert_eq!(admits(&free, &need), Some(Unfit::Pressure));
    let closed = Host {
        is_open_for_best_effort: false,
        ..free.clone()
    };
    assert_eq!(admits(&closed, &need), Some(Unfit::Closed));
    let busy = Host {
        best_effort_millicores: 30_000,
        ..free.clone()
    };
    assert_eq!(admits(&busy, &need), Some(Unfit::Busy));
    let cleared = Host {
        overdue: OverdueTasks::Cleared,
        ..closed
    };
    assert_eq!(admits(&cleared, &need), None);
    let kept = Host {
        kept: Some(Kept::All),
        ..free.clone()
    };
    assert_eq!(admits(&kept, &need), None);
    let other_pool = Host {
        pool: "other",
        ..free.clone()
    };
    assert_eq!(admits(&other_pool, &need), None);
    let without_memory = Host {
        reserved: Size {
            memory_mb: 20_000,
            ..cores(4)
        },
        ..free.clone()
    };
    assert_eq!(admits(&without_memory, &need), None);
    let labelled = Need {
        required_label: Some("ssd"),
        ..need
    };
    assert_eq!(admits(&free, &labelled), None);
}

/// Guards against overdue jobs that wait since other best-effort tasks ask for the free processors of the pool.
#[test]
fn a_pool_with_half_of_its_processors_reserved_is_not_mostly_free() {
    let serving = InterferenceModel::default().image("s");
    let mut hosts = [host("a", serving, 0.45), host("b", serving, 0.45)];
    hosts[0].best_effort_millicores = 64_000;
    hosts[0].reserved.millicores += 23_000;
    assert!(is_mostly_free("pool", &hosts));
    hosts[1].reserved.millicores += 1_000;
    assert!(!is_mostly_free("pool", &hosts));
    hosts[0].pool = "other";
    assert!(takes_any("pool", &hosts));
    hosts[1].overdue = OverdueTasks::Cleared;
    assert!(is_mostly_free("pool", &hosts) && !takes_any("pool", &hosts));
}

/// Guards against stopping the only run of an overdue job, which would then have nothing running again.
#[test]
fn the_only_run_of_an_overdue_job_is_throttled_and_not_stopped() {
    let mut model = InterferenceModel::default();
    let (serving, render) = (model.image("s"), model.image("r"));
    let timings = Timings {
        max_stop_time: Duration::from_millis(900),
        restore_time: Duration::from_millis(600),
        tolerated_overload: Duration::from_secs(4),
    };
    let inputs = DecisionInputs {
        model: &model,
        now: Millis(0),
        timings: &timings,
    };
    let overloaded = [Serving {
        victim: victim(serving),
        tasks: 4,
        residual: 0.2,
    }];
    let checkpointing = BestEffort {
        image: render,
        share: 0.9,
        cpu_limit_percent: 100,
        is_checkpointing: true,
        is_stopping: false,
        is_only_throttled: false,
        ran: Duration::from_secs(2),
        remaining: Duration::from_secs(10),
    };
    let decide = |task| mitigation::decide(&inputs, &overloaded, &[task]);
    assert_eq!(decide(checkpointing), [(0, Action::Stop)]);
    let only = BestEffort {
        is_only_throttled: true,
        ..checkpointing
    };
    assert_matches!(decide(only)[..], [(0, Action::LimitCpu(..100))]);
}
