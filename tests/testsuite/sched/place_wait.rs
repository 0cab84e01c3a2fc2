//! Waits for places near a task's data or a gang's other members.

use super::{
    paused,
    world::{World, owned, step, until},
};
use lapisdrum::{
    core::{size::Size, time::Millis},
    policy::dispatch::{
        interference::InterferenceModel,
        overdue::OverdueTasks,
        place::{Host, Load, Need},
        place_wait::{
            Decision, Forecast, Hold, MAX_WAIT, Progress, Reason, SETTLED_AFTER, SeenRun,
            WaitErrors, WaitInputs, rack_for_all,
        },
    },
    sched::{
        Cx,
        features::Features,
        job::{Gang, JobId, Step},
        peer::SubmitReply,
    },
};
use proptest::prelude::*;
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(5);
/// Time in which a task that waits for nothing is started.
const SOON: Duration = Duration::from_millis(200);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn cores(cores: u64) -> Size {
    Size {
        millicores: cores * 1_000,
        memory_mb: 1_000,
        accelerators: 0,
    }
}

fn need(cores_each: u64) -> Need<'static> {
    Need {
        pool: "pool",
        size: cores(cores_each),
        load: Load::Reserving,
        is_long_running: false,
        required_label: None,
        data_rack: Some("near"),
        max_per_worker: None,
        image: None,
        victim: None,
        duration: ms(800),
    }
}

/// A host with eight cores, of which `used` are reserved by short tasks.
fn host(id: &'static str, rack: &'static str, used: u64) -> Host<'static> {
    Host {
        id,
        pool: "pool",
        rack: Some(rack),
        labels: &[],
        capacity: Size {
            memory_mb: 64_000,
            ..cores(8)
        },
        reserved: cores(used),
        long_running: Size::ZERO,
        best_effort_millicores: 0,
        serving: Vec::new(),
        is_open_for_best_effort: true,
        overdue: OverdueTasks::None,
        of_step: 0,
        is_suspect: false,
        is_avoided: false,
        kept: None,
        kept_for: Size::ZERO,
    }
}

fn hold(cores_each: u64) -> Hold {
    Hold::from(&need(cores_each))
}

/// The expected wait of the next of some tasks, each of which claims its place.
fn next_wait(forecast: &mut Forecast, hosts: &[Host], cores_each: u64) -> Option<Duration> {
    let (need, model) = (need(cores_each), InterferenceModel::default());
    let place = forecast.place_in("near", &need, 1, hosts, &model)?;
    forecast.claim(&place, &need, need.duration);
    Some(place.after)
}

/// A task of 800 ms that takes three times as long away from its data, with slack.
fn inputs(expected: Option<Duration>) -> WaitInputs {
    WaitInputs {
        expected,
        cost: WaitInputs::cost(ms(800), 3.0),
        slack: LIMIT,
        waited: Duration::ZERO,
    }
}

/// Guards against far starts beside a rack that is busy with short tasks, and waits behind long ones.
#[test]
fn a_wait_pays_behind_short_tasks_and_not_behind_long_ones() {
    let hosts = [host("a", "near", 8), host("b", "near", 8)];
    let decide = |within| {
        let mut forecast = Forecast::new(hosts.len());
        forecast.add_end(0, within, hold(4));
        forecast.add_end(1, LIMIT, hold(8));
        inputs(next_wait(&mut forecast, &hosts, 4)).decide()
    };
    assert_eq!(decide(ms(300)), Decision::Wait);
    assert_eq!(decide(LIMIT), Decision::Far(Reason::DoesNotPay));
    assert_eq!(decide(MAX_WAIT), Decision::Far(Reason::Bound));
}

/// Guards against waits for hosts that never have room, or of whose runs nothing is known.
#[test]
fn a_task_does_not_wait_where_no_end_is_expected() {
    let unknown = Forecast::new(1);
    let full = [host("a", "near", 8)];
    assert_eq!(next_wait(&mut unknown.clone(), &full, 4), None);
    assert_eq!(inputs(None).decide(), Decision::Far(Reason::Unknown));
    // Long-running tasks, hosts that fail, and other racks free nothing for it.
    let mut long_running = host("a", "near", 8);
    long_running.long_running = cores(6);
    let mut suspect = host("a", "near", 8);
    suspect.is_suspect = true;
    for host in [long_running, suspect, host("a", "other", 8)] {
        let mut forecast = Forecast::new(1);
        forecast.add_end(0, ms(10), hold(8));
        assert_eq!(next_wait(&mut forecast, &[host], 4), None);
    }
}

/// Guards against a task without an estimate that counts as about to end, and one that outlasts its estimate for ever.
#[test]
fn remaining_times_follow_estimates_progress_and_delay() {
    let run = |estimate, age, progress| SeenRun {
        estimate: ms(estimate),
        age: ms(age),
        progress,
    };
    let progress = |percent, gained_percent, over, age| {
        Some(Progress {
            percent,
            gained_percent,
            over: ms(over),
            age: ms(age),
        })
    };
    assert_eq!(run(0, 500, None).remaining(), None);
    assert_eq!(run(800, 500, None).remaining(), Some(ms(300)));
    assert_eq!(run(800, 1_400, None).remaining(), Some(ms(600)));
    // By its progress it is half as fast as estimated.
    let seen = progress(60, 50, 1_000, 100);
    assert_eq!(run(1_000, 1_300, seen).remaining(), Some(ms(700)));
    let seen = progress(60, 0, 0, 100);
    assert_eq!(run(1_000, 700, seen).remaining(), Some(ms(300)));
}

/// Guards against a burst on one rack, all of whose tasks wait for the same free place.
#[test]
fn expected_ends_are_counted_once() {
    let hosts = [host("a", "near", 8), host("b", "near", 8)];
    let mut forecast = Forecast::new(hosts.len());
    forecast.add_end(0, ms(300), hold(8));
    forecast.add_end(1, ms(400), hold(8));
    let waits: Vec<_> = (0..8)
        .filter_map(|_| next_wait(&mut forecast, &hosts, 4))
        .map(|wait| wait.as_millis())
        .collect();
    assert_eq!(waits, [300, 300, 400, 400, 1_100, 1_100, 1_200, 1_200]);
    let decisions = waits
        .into_iter()
        .map(|wait| inputs(Some(ms(wait as u64))).decide());
    let waiting = decisions.filter(|decision| *decision == Decision::Wait);
    assert_eq!(waiting.count(), 4, "the others start away from their data");
}

/// Guards against a wait that makes a job late, and against a far start that does although a wait doesn't.
#[test]
fn a_job_does_not_become_late_by_a_wait() {
    let with_slack = |slack, expected| {
        let inputs = WaitInputs {
            slack: ms(slack),
            ..inputs(Some(ms(expected)))
        };
        inputs.decide()
    };
    // A far start costs 1.6 s.
    assert_eq!(
        with_slack(1_700, 200),
        Decision::Far(Reason::WouldBeLate),
        "a far start after the wait would be late"
    );
    assert_eq!(with_slack(1_900, 200), Decision::Wait);
    assert_eq!(
        with_slack(1_500, 200),
        Decision::Wait,
        "only the far start is late"
    );
    assert_eq!(with_slack(0, 200), Decision::Wait, "the sooner end");
    assert_eq!(with_slack(0, 1_700), Decision::Far(Reason::DoesNotPay));
}

/// Guards against a task that waits for ever behind one that is always about to end.
#[test]
fn a_wait_is_bounded_however_often_it_is_decided() {
    for (cost, bound) in [(LIMIT, MAX_WAIT), (ms(300), ms(300))] {
        let waits = |waited: &Duration| {
            let inputs = WaitInputs {
                cost,
                slack: Duration::ZERO,
                waited: *waited,
                ..inputs(Some(ms(10)))
            };
            inputs.decide() == Decision::Wait
        };
        let longest = (0..500).map(|n| ms(10) * n).filter(waits).max();
        assert!(longest.is_some_and(|longest| longest < bound));
    }
}

/// Guards against expected waits that are always too short where other tasks take what becomes free.
#[test]
fn expected_waits_follow_recent_ones() {
    let mut errors = WaitErrors::default();
    let at = |s: u64| Millis(1_000 * s);
    for second in 0..10 {
        errors.note("near", ms(100), ms(400), true, at(second));
    }
    assert!(errors.factor("near", at(10)) > 2.0);
    assert!(errors.factor("near", at(120)) < 1.01, "it is forgotten");
    errors.note("other", ms(100), ms(10), false, at(10));
    assert!(
        errors.factor("other", at(10)) > 1.0,
        "a failure is no success"
    );
    assert!((errors.factor("third", at(10)) - 1.0).abs() < f64::EPSILON);
}

/// Guards against a gang that is spread over racks although one can take it, now or soon.
#[test]
fn a_gang_gets_one_rack() {
    let model = InterferenceModel::default();
    let anywhere = Need {
        data_rack: None,
        ..need(4)
    };
    let hosts = [
        host("a", "first", 4),
        host("b", "near", 8),
        host("c", "second", 4),
        host("d", "second", 4),
    ];
    assert_eq!(rack_for_all(&anywhere, 2, &hosts, &model), Some("second"));
    assert_eq!(rack_for_all(&need(4), 2, &hosts, &model), None);
    assert_eq!(rack_for_all(&anywhere, 3, &hosts, &model), None);
    let mut forecast = Forecast::new(hosts.len());
    forecast.add_end(1, ms(200), hold(4));
    forecast.add_end(1, ms(500), hold(4));
    let place = forecast.place_in("near", &need(4), 2, &hosts, &model);
    let place = place.expect("a place");
    assert_eq!((place.after, place.hosts), (ms(500), vec![1, 1]));
    forecast.add_end(0, ms(100), hold(4));
    let single = Need {
        max_per_worker: Some(1),
        ..anywhere
    };
    assert_eq!(forecast.place_in("first", &single, 2, &hosts, &model), None);
}

/// A task of the simulation.
#[derive(Clone, Debug)]
struct SimTask {
    arrives_ms: u64,
    cores: u64,
    run_ms: u64,
}

/// Resolution of the simulation.
const TICK_MS: u64 = 10;
const SLOWDOWN: f64 = 3.0;

/// Lets tasks compete for the rack of two hosts in which their data is, beside free hosts elsewhere. Returns by how many
/// milliseconds each ended later than if it had started elsewhere when it arrived.
fn simulated_losses(tasks: &[SimTask]) -> Vec<i64> {
    let model = InterferenceModel::default();
    let mut hosts = [host("a", "near", 0), host("b", "near", 0)];
    let mut running: Vec<(u64, usize, u64)> = Vec::new();
    let mut waiting: Vec<usize> = (0..tasks.len()).collect();
    let mut losses = vec![0; tasks.len()];
    let mut now_ms = 0;
    while !waiting.is_empty() {
        running.retain(|(end_ms, at, taken)| {
            if *end_ms <= now_ms {
                hosts[*at].reserved = hosts[*at].reserved.minus(&cores(*taken));
            }
            *end_ms > now_ms
        });
        let mut forecast = Forecast::new(hosts.len());
        for (end_ms, at, taken) in &running {
            forecast.add_end(*at, ms(end_ms - now_ms), hold(*taken));
        }
        waiting.retain(|index| {
            let task = &tasks[*index];
            if task.arrives_ms > now_ms {
                return true;
            }
            let need = need(task.cores);
            let far_ms = (task.run_ms as f64 * SLOWDOWN) as u64;
            let free = hosts.iter().position(|h| need.size.fits(&h.free()));
            let took_ms = if let Some(at) = free {
                hosts[at].take(&need, &model);
                running.push((now_ms + task.run_ms, at, task.cores));
                forecast.add_end(at, ms(task.run_ms), hold(task.cores));
                task.run_ms
            } else {
                let place = forecast.place_in("near", &need, 1, &hosts, &model);
                let inputs = WaitInputs {
                    expected: place.as_ref().map(|place| place.after),
                    cost: WaitInputs::cost(ms(task.run_ms), SLOWDOWN),
                    slack: Duration::ZERO,
                    waited: ms(now_ms - task.arrives_ms),
                };
                if inputs.decide() == Decision::Wait {
                    forecast.claim(&place.expect("a place"), &need, ms(task.run_ms));
                    return true;
                }
                far_ms
            };
            let waited_ms = now_ms - task.arrives_ms;
            losses[*index] = (waited_ms + took_ms) as i64 - far_ms as i64;
            false
        });
        now_ms += TICK_MS;
    }
    losses
}

fn sim_tasks(most_cores: u64) -> impl Strategy<Value = Vec<SimTask>> {
    let task = (0..200_u64, 1..=most_cores, 2..150_u64);
    let task = task.prop_map(|(arrives, cores, run)| SimTask {
        arrives_ms: arrives * TICK_MS,
        cores,
        run_ms: run * TICK_MS,
    });
    prop::collection::vec(task, 1..40).prop_map(|mut tasks| {
        tasks.sort_by_key(|task| task.arrives_ms);
        tasks
    })
}

proptest! {
    /// Tasks of different sizes take each other's places, but no wait costs more than its bound.
    #[test]
    fn no_task_loses_more_than_the_bound(tasks in sim_tasks(8)) {
        for (task, loss) in tasks.iter().zip(simulated_losses(&tasks)) {
            let cost = WaitInputs::cost(ms(task.run_ms), SLOWDOWN);
            let bound = MAX_WAIT.min(cost).as_millis() as i64;
            prop_assert!(loss <= bound + TICK_MS as i64, "{task:?} loses {loss} ms");
        }
    }

    /// With true estimates and tasks of one size, waits cost nothing in total.
    #[test]
    fn waits_save_time_in_total(mut tasks in sim_tasks(1), size in 1..8_u64) {
        for task in &mut tasks {
            task.cores = size;
        }
        let losses = simulated_losses(&tasks);
        let rounding = (TICK_MS as usize * tasks.len()) as i64;
        prop_assert!(losses.iter().sum::<i64>() <= rounding, "{losses:?}");
    }
}

/// A task of one core near the data in the rack of `w0`, which takes `estimate_ms`.
fn near_w0(estimate_ms: u64) -> Step {
    Step {
        data_rack: Some("w0".to_owned()),
        ..step(1, estimate_ms, &[])
    }
}

/// A cluster of three workers, each in a rack of its own, that has been served for a while, where a job of this length
/// has just taken the worker of the rack `w0`. Tasks are three times as slow away from their data, by its settings.
async fn busy_rack(far_slowdown: Option<f64>, estimate_ms: u64) -> (Rc<World>, Cx) {
    let world = World::new(3);
    world.features.set(Features {
        far_slowdown,
        ..Features::default()
    });
    let cx = world.daemon("a");
    owned(&cx, LIMIT).await;
    sleep(SETTLED_AFTER).await;
    let mut step = near_w0(estimate_ms);
    step.size.millicores = 4_000;
    submit(&world, &cx, 1, step).await;
    until("the rack is busy", LIMIT, async || {
        !world.running_on("w0").is_empty()
    })
    .await;
    (world, cx)
}

async fn submit(world: &World, cx: &Cx, id: u64, step: Step) {
    let reply = world.submit(cx, id, vec![step]).await;
    assert_eq!(reply, SubmitReply::Accepted);
}

/// Waits until a task of this job runs; returns its worker and how long that took.
async fn started(world: &World, id: u64) -> (String, Duration) {
    let began_at = Instant::now();
    until("the task runs", LIMIT * 4, async || {
        let starts = world.starts.borrow();
        starts.iter().any(|(_, run, _)| run.task.job == JobId(id))
    })
    .await;
    let starts = world.starts.borrow();
    let first = starts.iter().find(|(_, run, _)| run.task.job == JobId(id));
    let (_, _, worker) = first.expect("a start");
    (worker.clone(), began_at.elapsed())
}

/// Guards against a far start beside a place near the data that is free half a second later.
#[test]
fn a_task_waits_for_a_place_near_its_data() {
    paused(async {
        let (world, cx) = busy_rack(Some(3.0), 600).await;
        submit(&world, &cx, 2, near_w0(800)).await;
        let (worker, after) = started(&world, 2).await;
        assert_eq!(worker, "w0");
        assert!(after < MAX_WAIT, "{after:?}");
        assert!(
            cx.metrics
                .text()
                .contains("place_waits_total{outcome=\"near\"} 1")
        );
        world.check();
    });
}

/// Guards against waits where the deployment gives no factor, behind long tasks, and for long-running tasks.
#[test]
fn a_task_starts_away_from_its_data_at_once_where_a_wait_does_not_pay() {
    let long_running = Step {
        is_long_running: true,
        ..near_w0(800)
    };
    let cases = [
        (None, 600, near_w0(800)),
        (Some(3.0), 10_000, near_w0(800)),
        (Some(1.0), 600, near_w0(800)),
        (Some(3.0), 600, long_running),
    ];
    for (far_slowdown, busy_ms, step) in cases {
        paused(async move {
            let (world, cx) = busy_rack(far_slowdown, busy_ms).await;
            submit(&world, &cx, 2, step).await;
            let (worker, after) = started(&world, 2).await;
            assert_ne!(worker, "w0");
            assert!(after < SOON, "{after:?}");
            world.check();
        });
    }
}

/// Guards against a task that waits for the workers of its rack after they are lost.
#[test]
fn a_task_runs_elsewhere_soon_once_the_workers_of_its_rack_are_lost() {
    paused(async {
        let (world, cx) = busy_rack(Some(3.0), 900).await;
        submit(&world, &cx, 2, near_w0(800)).await;
        sleep(SOON).await;
        assert!(world.running_on("w1").is_empty() && world.running_on("w2").is_empty());
        world.crash("w0");
        let (worker, after) = started(&world, 2).await;
        assert_ne!(worker, "w0");
        assert!(after < MAX_WAIT, "{after:?}");
        world.check();
    });
}

/// Guards against a wait without an end behind a task that makes no progress.
#[test]
fn a_task_runs_elsewhere_when_its_wait_has_lasted_too_long() {
    paused(async {
        let (world, cx) = busy_rack(Some(3.0), 100).await;
        world.stall("w0");
        until("the rack is free", LIMIT, async || {
            world.running_on("w0").is_empty()
        })
        .await;
        let mut stalled = near_w0(700);
        stalled.size.millicores = 4_000;
        submit(&world, &cx, 2, stalled).await;
        sleep(SOON).await;
        submit(&world, &cx, 3, near_w0(800)).await;
        let (worker, after) = started(&world, 3).await;
        assert_ne!(worker, "w0");
        assert!(after > SOON && after < MAX_WAIT + SOON, "{after:?}");
        world.check();
    });
}

/// Guards against waits of one owner after another that together leave a job without a run for 3 s.
#[test]
fn a_new_owner_lets_no_task_wait() {
    paused(async {
        let (world, first) = busy_rack(Some(3.0), 20_000).await;
        let second = world.daemon("b");
        first.draining.send_replace(true);
        world.kill(&first);
        owned(&second, LIMIT * 3).await;
        until("the owner serves", LIMIT, async || {
            second.owners().iter().any(|owner| owner.may_place(&second))
        })
        .await;
        let mut short = step(1, 300, &[]);
        short.data_rack = Some("w1".to_owned());
        short.size.millicores = 4_000;
        submit(&world, &second, 2, short.clone()).await;
        until("the rack is busy", LIMIT, async || {
            !world.running_on("w1").is_empty()
        })
        .await;
        submit(&world, &second, 3, short).await;
        let (worker, after) = started(&world, 3).await;
        assert_eq!(worker, "w2");
        assert!(after < SOON, "{after:?}");
        world.check();
    });
}

/// Guards against a gang whose members lie in different racks although a rack is free for all of them soon.
#[test]
fn a_gang_waits_for_one_rack() {
    for (far_slowdown, racks) in [(Some(3.0), 1), (None, 2)] {
        paused(async move {
            let (world, cx) = busy_rack(far_slowdown, 600).await;
            for (id, worker) in [(2, "w1"), (3, "w2")] {
                let mut step = near_w0(20_000);
                step.data_rack = Some(worker.to_owned());
                step.size.millicores = 3_000;
                submit(&world, &cx, id, step).await;
            }
            let gang = Step {
                count: 2,
                gang: Gang::SameRack,
                ..step(2, 800, &[])
            };
            submit(&world, &cx, 4, gang).await;
            started(&world, 4).await;
            sleep(SOON).await;
            let starts = world.starts.borrow();
            let of_gang = starts.iter().filter(|(_, run, _)| run.task.job == JobId(4));
            let mut workers: Vec<&String> = of_gang.map(|(_, _, worker)| worker).collect();
            assert_eq!(workers.len(), 2);
            workers.dedup();
            assert_eq!(workers.len(), racks, "{workers:?}");
            world.check();
        });
    }
}
