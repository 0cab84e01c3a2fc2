//! Placement of best-effort tasks beside serving tasks, the interference model, and mitigation.

use lapisdrum::{
    core::{size::Size, time::Millis},
    policy::dispatch::{
        interference::{
            self, Aggressor, Image, InterferenceModel, Victim, estimates::InterferenceEstimates,
        },
        mitigation::{self, Action, BestEffort, DecisionInputs, Serving},
        overdue::OverdueTasks,
        overload::Overload,
        place::{Host, Kept, Load, Need, ServingGroup, choose, keep_for},
        timings::Timings,
        utilisation::{POINTS, UtilisationForecast},
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::time::Duration;

const TARGET_MS: f64 = 50.0;
const BASE_MS: f64 = 10.0;

fn victim(image: Image) -> Victim {
    Victim {
        image,
        step: (1, 0, 0),
        target_ms: TARGET_MS,
        load: interference::ServingLoad::default(),
    }
}

/// Tail latency in ms, with 10 % noise, that a worker reports of a serving task at this utilisation.
fn noisy_tail_ms(utilisation: f64, rng: &mut StdRng) -> f64 {
    let noise = 1.0 + rng.random_range(-0.1..0.1);
    (BASE_MS / (1.0 - utilisation.min(0.98)) * noise).round()
}

/// Guards against a model that attributes swings of the serving load to the tasks beside it. The load swings by half
/// with a period of 14 s, and one of two best-effort images interferes. Within ten seconds the model must tell them
/// apart, and after three it must follow the load to 0.12.
#[test]
fn the_image_that_interferes_is_identified() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut model = InterferenceModel::default();
    let (serving, harmless, interfering) = (model.image("s"), model.image("q"), model.image("l"));
    let (mut without_aggressor, mut with_aggressor) = (victim(serving), victim(serving));
    let mut worst: f64 = 0.0;
    for round in 0..100_u64 {
        let now = Millis(round * 100);
        let load = 0.45 + 0.225 * (round as f64 / 10.0 * 0.45).sin();
        model.note(
            &mut without_aggressor,
            &[],
            &[noisy_tail_ms(load, &mut rng)],
            now,
        );
        with_aggressor.load = without_aggressor.load;
        let image = if round % 20 < 10 {
            harmless
        } else {
            interfering
        };
        let share = 0.12;
        let added = if image == interfering {
            1.2 * share
        } else {
            0.0
        };
        let beside = [Aggressor { image, share }];
        model.note(
            &mut with_aggressor,
            &beside,
            &[noisy_tail_ms(load + added, &mut rng)],
            now,
        );
        without_aggressor.load = with_aggressor.load;
        if round > 30 {
            let expected = model.expected_utilisation(&without_aggressor, &[], now, Duration::ZERO);
            worst = worst.max((expected - load).abs());
        }
    }
    let interference = |image| model.interference(serving, &Aggressor { image, share: 1.0 });
    assert!(interference(harmless) < 0.3, "{}", interference(harmless));
    assert!(
        interference(interfering) > 0.7,
        "{}",
        interference(interfering)
    );
    assert!(worst < 0.12, "the estimated load is off by {worst}");
}

/// Guards against interference estimates that are lost with their owner. The next owner takes them over with half
/// their precision, as they may have aged.
#[test]
fn estimates_are_resumed_with_half_their_precision() {
    let mut model = InterferenceModel::default();
    let (serving, interfering) = (model.image("s"), model.image("l"));
    let beside = [Aggressor {
        image: interfering,
        share: 0.3,
    }];
    let mut task = victim(serving);
    for round in 0..40_u64 {
        model.note(&mut task, &beside, &[60.0], Millis(round * 200));
    }
    let estimates = InterferenceEstimates::from(&model);
    let text = serde_json::to_string(&estimates).expect("serialisable estimates");
    let read = serde_json::from_str(&text).expect("estimates are parsed back");
    let resumed = InterferenceModel::resumed(&read);
    let pair = |model: &InterferenceModel| {
        let estimates = serde_json::to_value(InterferenceEstimates::from(model))
            .expect("serialisable estimates");
        let value = |name: &str| estimates["pairs"][0][name].as_u64().expect("an integer");
        (value("mean_milli"), value("precision_milli"))
    };
    let ((before, precision), (after, halved)) = (pair(&model), pair(&resumed));
    assert_eq!(before, after);
    assert!(precision.abs_diff(2 * halved) <= 1, "{precision} {halved}");
    let interference = |model: &InterferenceModel| model.interference(serving, &beside[0]);
    assert!((interference(&resumed) - interference(&model)).abs() < 0.02);
}

fn host<'a>(id: &'a str, victims: &[Victim], utilisation: f64) -> Host<'a> {
    let serving_group = |victim: &Victim| ServingGroup {
        victim: *victim,
        millicores: 6_000,
        load: victim.load.level(),
        forecast: UtilisationForecast::without_aggressors(
            1,
            InterferenceModel::default().limit(victim),
            [utilisation; POINTS],
        ),
        misses_alone: false,
    };
    Host {
        id,
        pool: "pool",
        rack: None,
        labels: &[],
        capacity: cores(32),
        reserved: cores(6 * victims.len() as u64),
        long_running: cores(6 * victims.len() as u64),
        best_effort_millicores: 0,
        serving: victims.iter().map(serving_group).collect(),
        is_open_for_best_effort: true,
        overdue: OverdueTasks::None,
        of_step: 0,
        is_suspect: false,
        is_avoided: false,
        kept: None,
        kept_for: Size::ZERO,
    }
}

fn cores(n: u64) -> Size {
    Size {
        millicores: n * 1_000,
        memory_mb: n * 1_000,
        accelerators: 0,
    }
}

fn need(load: Load, image: Option<Image>) -> Need<'static> {
    Need {
        pool: "pool",
        size: cores(4),
        load,
        is_long_running: load == Load::Serving,
        required_label: None,
        data_rack: None,
        max_per_worker: None,
        image,
        victim: None,
        duration: Duration::from_secs(2),
    }
}

/// Of two hosts with free capacity, one has serving tasks near their target latency: a best-effort task is placed on
/// the other, and on neither when both are near.
#[test]
fn best_effort_tasks_avoid_hosts_near_their_target() {
    let mut model = InterferenceModel::default();
    let (serving, batch) = (model.image("s"), model.image("b"));
    let victims = [victim(serving); 4];
    let need = need(Load::BestEffort, Some(batch));
    let hosts = [host("near", &victims, 0.78), host("far", &victims, 0.3)];
    assert_eq!(choose(&need, &hosts, &model), Some(1));
    let hosts = [host("near", &victims, 0.78), host("too", &victims, 0.76)];
    assert_eq!(choose(&need, &hosts, &model), None);
}

/// Guards against best-effort tasks on a host whose serving tasks are certain to miss their targets. One more task did
/// not raise the cost of the misses, so it seemed to be free and was placed; tails stayed over their targets for as
/// long as such tasks came.
#[test]
fn best_effort_tasks_avoid_hosts_that_already_miss_their_targets() {
    let mut model = InterferenceModel::default();
    let (serving, batch) = (model.image("s"), model.image("b"));
    let need = need(Load::BestEffort, Some(batch));
    let hosts = [host("over", &[victim(serving); 4], 1.4)];
    assert_eq!(choose(&need, &hosts, &model), None);
}

/// Best-effort tasks do not count against the capacity for tasks that reserve their cores.
#[test]
fn best_effort_tasks_take_no_reservable_capacity() {
    let model = InterferenceModel::default();
    let mut busy = host("busy", &[], 0.0);
    busy.best_effort_millicores = 32_000;
    let chosen = choose(&need(Load::Reserving, None), &[busy], &model);
    assert_eq!(chosen, Some(0));
}

/// Reservations never exceed the capacity of a host.
#[test]
fn nothing_goes_where_it_does_not_fit() {
    let model = InterferenceModel::default();
    let mut full = host("full", &[], 0.0);
    full.reserved = cores(30);
    assert_eq!(choose(&need(Load::Reserving, None), &[full], &model), None);
}

/// Serving tasks are placed beside others of their image.
#[test]
fn a_serving_task_is_placed_beside_its_own_image() {
    let mut model = InterferenceModel::default();
    let (a, b) = (model.image("a"), model.image("b"));
    let hosts = [
        host("b", &[victim(b); 4], 0.4),
        host("a", &[victim(a); 2], 0.4),
    ];
    let need = Need {
        victim: Some(victim(a)),
        ..need(Load::Serving, Some(a))
    };
    assert_eq!(choose(&need, &hosts, &model), Some(1));
}

const TIMINGS: Timings = Timings {
    max_stop_time: Duration::from_millis(900),
    restore_time: Duration::from_millis(600),
    tolerated_overload: Duration::from_secs(4),
};

/// A model that knows a serving image and a best-effort one, which adds twice its share of the host to the
/// utilisation of the first.
fn interfering_pair() -> (InterferenceModel, Image, Image) {
    let mut model = InterferenceModel::default();
    let (serving, interfering) = (model.image("s"), model.image("l"));
    let beside = [Aggressor {
        image: interfering,
        share: 0.15,
    }];
    let mut with_aggressor = victim(serving);
    for round in 0..100_u64 {
        let tails = [BASE_MS / (1.0 - 0.45 - 0.3)];
        model.note(&mut with_aggressor, &beside, &tails, Millis(round * 100));
        with_aggressor.load = interference::ServingLoad::default();
    }
    (model, serving, interfering)
}

/// A checkpointing task with this share of the host, which has run for 2 s and needs 10 s more.
fn best_effort(image: Image, share: f64) -> BestEffort {
    BestEffort {
        image,
        share,
        cpu_limit_percent: 100,
        is_checkpointing: true,
        is_stopping: false,
        is_only_throttled: false,
        ran: Duration::from_secs(2),
        remaining: Duration::from_secs(10),
    }
}

fn decide(
    model: &InterferenceModel,
    serving: Image,
    best_effort: &[BestEffort],
) -> Vec<(usize, Action)> {
    let inputs = DecisionInputs {
        model,
        now: Millis(0),
        timings: &TIMINGS,
    };
    let serving = [Serving {
        victim: victim(serving),
        tasks: 4,
        residual: 0.0,
    }];
    mitigation::decide(&inputs, &serving, best_effort)
}

/// A best-effort task drives a tail far over its target. It is stopped if it writes checkpoints, so that it can resume
/// elsewhere, and throttled otherwise. A task that interferes little is left as it is.
#[test]
fn a_tail_over_its_target_is_mitigated() {
    let (mut model, serving, interfering) = interfering_pair();
    let checkpointing = best_effort(interfering, 0.5);
    assert_eq!(
        decide(&model, serving, &[checkpointing]),
        [(0, Action::Stop)]
    );
    let plain = BestEffort {
        is_checkpointing: false,
        ..checkpointing
    };
    assert_eq!(
        decide(&model, serving, &[plain]),
        [(0, Action::LimitCpu(20))]
    );
    let harmless = model.image("q");
    let light = best_effort(harmless, 0.05);
    assert_eq!(decide(&model, serving, &[light]), []);
}

/// Guards against stopping a task that does not interfere: it would lose its work without any gain.
#[test]
fn a_task_that_does_not_interfere_keeps_running() {
    let (mut model, serving, interfering) = interfering_pair();
    let harmless = model.image("q");
    let tasks = [best_effort(harmless, 0.05), best_effort(interfering, 0.5)];
    assert_eq!(decide(&model, serving, &tasks), [(1, Action::Stop)]);
}

/// Guards against stopping an interfering task that ends within 0.3 s, sooner than a stop takes effect. It would be run
/// again elsewhere and delay its whole step, and the serving tasks would hardly gain.
#[test]
fn a_task_that_is_about_to_end_is_not_stopped() {
    let (model, serving, interfering) = interfering_pair();
    let nearly_done = BestEffort {
        remaining: Duration::from_millis(300),
        ..best_effort(interfering, 0.5)
    };
    let actions = decide(&model, serving, &[nearly_done]);
    assert!(
        actions.iter().all(|(_, action)| *action != Action::Stop),
        "{actions:?}"
    );
}

/// The CPU limit of a throttled task returns to 100 % once the tails allow it.
#[test]
fn a_throttled_task_gets_its_full_cpu_limit_again() {
    let mut model = InterferenceModel::default();
    let (serving, batch) = (model.image("s"), model.image("b"));
    let throttled = BestEffort {
        cpu_limit_percent: 40,
        is_checkpointing: false,
        ..best_effort(batch, 0.05)
    };
    assert_eq!(
        decide(&model, serving, &[throttled]),
        [(0, Action::LimitCpu(100))]
    );
}

/// Guards against measuring an overload from the start again when one best-effort task ends and the next starts, or
/// when a sample lies just below the target: the bound on the total was then exceeded unnoticed.
#[test]
fn the_time_over_a_target_spans_several_best_effort_tasks() {
    let mut overload = Overload::default();
    assert_eq!(overload.note([0.8, 0.9], Millis(0)), None);
    let tails = [1.2, 1.0, 0.96, 1.3, 0.95];
    for (tail, at) in tails.iter().zip(1_u64..) {
        let over_for = overload.note([0.5, *tail], Millis(at * 500));
        assert_eq!(over_for, Some(Duration::from_millis((at - 1) * 500)));
    }
    assert_eq!(overload.note([0.5, 0.9], Millis(3_000)), None);
}

/// Guards against an overload that outlasts what a deployment tolerates. With the delays of detection, of the stop and
/// of the reported tails (1.8 s for the first and last), tails must be down in time after hosts are cleared. However
/// short the tolerated time, tails get at least a second to recover by themselves.
#[test]
fn a_host_is_cleared_before_its_overload_exceeds_the_tolerated_time() {
    let report_delay = Duration::from_millis(1_800);
    for tolerated_s in 4..20 {
        let timings = Timings {
            tolerated_overload: Duration::from_secs(tolerated_s),
            ..TIMINGS
        };
        let down = timings.max_measured_overload() + timings.max_stop_time + report_delay;
        assert!(down <= timings.tolerated_overload, "{tolerated_s} s");
    }
    let short = Timings {
        tolerated_overload: Duration::from_millis(500),
        ..TIMINGS
    };
    assert_eq!(short.max_measured_overload(), Duration::from_secs(1));
}

/// Serving tasks reserve 30 of 32 cores. At low load, a best-effort task of 12 cores is placed beside them; at their
/// peak, when it would slow them down, it is not.
#[test]
fn capacity_for_best_effort_tasks_follows_the_serving_load() {
    let mut model = InterferenceModel::default();
    let (serving, render) = (model.image("s"), model.image("r"));
    // The two images hardly interfere, so only idle cores decide.
    let mut known = victim(serving);
    for round in 0..200_u64 {
        let beside = [Aggressor {
            image: render,
            share: 0.5,
        }];
        model.note(
            &mut known,
            &beside,
            &[BASE_MS / (1.0 - 0.45)],
            Millis(round * 100),
        );
    }
    let idle = host("a", &[victim(serving); 5], 0.45);
    let mut busy = idle.clone();
    for group in &mut busy.serving {
        group.load = 0.7;
    }
    let mut render = need(Load::BestEffort, Some(render));
    render.size = Size {
        memory_mb: 1,
        ..cores(12)
    };
    assert_eq!(choose(&render, &[idle], &model), Some(0));
    assert_eq!(choose(&render, &[busy], &model), None);
}

/// Guards against keeping a host free for a task that can never fit there, because long-running tasks hold too much
/// of it.
#[test]
fn a_host_is_kept_free_where_the_task_will_fit() {
    let mut model = InterferenceModel::default();
    let serving = model.image("s");
    let with = |id, streams: usize, free: u64| {
        let mut host = host(id, &vec![victim(serving); streams], 0.3);
        host.reserved.millicores = (32 - free) * 1_000;
        host
    };
    let stream = Need {
        size: cores(8),
        victim: Some(victim(serving)),
        ..need(Load::Serving, Some(serving))
    };
    let mut hosts = [with("never", 5, 2), with("soon", 3, 1)];
    assert!(keep_for(&stream, &mut hosts).is_some());
    assert_eq!(hosts[0].kept, None);
    assert_eq!(hosts[1].kept, Some(Kept::Processors));
    assert!(
        keep_for(&stream, &mut hosts).is_none(),
        "the host has capacity for one such task only"
    );
}

/// Guards against a waiting task that has no host kept free, because the one kept lacks memory or accelerators that
/// long-running tasks hold.
#[test]
fn a_host_whose_long_running_tasks_hold_the_memory_is_not_kept() {
    let mut model = InterferenceModel::default();
    let serving = model.image("s");
    let full = |id, free: u64| {
        let mut host = host(id, &[victim(serving); 3], 0.3);
        host.reserved.millicores = (32 - free) * 1_000;
        host
    };
    let stream = Need {
        size: cores(8),
        victim: Some(victim(serving)),
        ..need(Load::Serving, Some(serving))
    };
    let mut short_of_memory = full("memory", 9);
    short_of_memory.long_running.memory_mb = 25_000;
    short_of_memory.reserved.memory_mb = 25_000;
    let mut hosts = [short_of_memory, full("soon", 1)];
    assert_eq!(keep_for(&stream, &mut hosts), Some(1));
    let accelerated = Need {
        size: Size {
            accelerators: 2,
            ..cores(8)
        },
        ..stream
    };
    let with_accelerators = |id, free, held| {
        let mut host = full(id, free);
        host.capacity.accelerators = 2;
        host.reserved.accelerators = 2;
        host.long_running.accelerators = held;
        host
    };
    let mut hosts = [
        with_accelerators("accelerators", 9, 1),
        with_accelerators("soon", 1, 0),
    ];
    assert_eq!(keep_for(&accelerated, &mut hosts), Some(1));
}

/// Guards against keeping one host free for more tasks than its memory will fit.
#[test]
fn a_host_is_kept_for_as_many_tasks_as_its_memory_will_fit() {
    let mut model = InterferenceModel::default();
    let serving = model.image("s");
    let stream = Need {
        size: Size {
            memory_mb: 12_000,
            ..cores(4)
        },
        victim: Some(victim(serving)),
        ..need(Load::Serving, Some(serving))
    };
    let mut hosts = [host("a", &[victim(serving); 2], 0.3)];
    assert_eq!(keep_for(&stream, &mut hosts), Some(0));
    assert_eq!(keep_for(&stream, &mut hosts), None);
}

/// Guards against a livestream that starves: it needs eight cores on nearly full hosts, and every core that becomes
/// free goes to one of the two-core maps that arrive all the time. The host with the most free cores is kept free of
/// them until the stream fits; best-effort tasks are still placed there.
#[test]
fn a_livestream_is_not_starved_by_smaller_tasks() {
    let mut model = InterferenceModel::default();
    let serving = model.image("s");
    let full = |id, free: u64| {
        let mut host = host(id, &[victim(serving); 4], 0.3);
        host.reserved.millicores = (32 - free) * 1_000;
        host.reserved.memory_mb = 16_000;
        host
    };
    let stream = Need {
        size: cores(8),
        victim: Some(victim(serving)),
        ..need(Load::Serving, Some(serving))
    };
    let map = Need {
        size: cores(2),
        ..need(Load::Reserving, None)
    };
    let render = Need {
        size: cores(1),
        ..need(Load::BestEffort, None)
    };
    let mut hosts = [full("a", 3), full("b", 6), full("c", 2)];
    assert_eq!(choose(&stream, &hosts, &model), None);
    keep_for(&stream, &mut hosts);
    assert_eq!(hosts[1].kept, Some(Kept::Processors));
    assert_eq!(choose(&map, &hosts[1..2], &model), None);
    let small_stream = Need {
        size: cores(4),
        ..stream
    };
    assert_eq!(
        choose(&small_stream, &hosts[1..2], &model),
        Some(0),
        "a smaller stream doesn't wait for a larger one"
    );
    assert_eq!(choose(&map, &hosts[..1], &model), Some(0));
    assert_eq!(choose(&render, &hosts[1..2], &model), Some(0));
    keep_for(&stream, &mut hosts);
    let kept = hosts.iter().filter(|host| host.kept.is_some()).count();
    assert_eq!(kept, 1, "one of sixteen hosts at most");
    let freed = [full("b", 8)];
    assert_eq!(choose(&stream, &freed, &model), Some(0));
    let mut short = [full("d", 9)];
    short[0].reserved.memory_mb = 31_000;
    keep_for(&stream, &mut short);
    assert_eq!(short[0].kept, Some(Kept::All), "memory is short too");
}
