//! Best-effort steps that no host admits, and steps of the same image that hosts would admit.

use super::{
    paused,
    world::{World, owned, step, until},
};
use assert_matches::assert_matches;
use lapisdrum::{
    core::size::Size,
    policy::dispatch::{
        interference::{InterferenceModel, ServingLoad, Victim},
        overdue::OverdueTasks,
        place::{Host, Load, Need, ServingGroup, choose},
        refused::{Demand, Refusal, RefusedDemands, is_limit_reached},
        utilisation::{POINTS, UtilisationForecast},
    },
    sched::{
        Cx,
        job::{Gang, Step},
        peer::{JobState, SubmitReply},
    },
};
use proptest::prelude::*;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(5);

fn best_effort(count: u32, estimate_ms: u64, after: &[u16]) -> Step {
    let mut step = step(count, estimate_ms, after);
    step.image = Some("render".to_owned());
    step.uses_leftover_cpu = true;
    step
}

async fn cluster() -> (Rc<World>, Cx) {
    let world = World::new(3);
    let cx = world.daemon("a");
    owned(&cx, LIMIT).await;
    (world, cx)
}

async fn submit(world: &World, cx: &Cx, id: u64, steps: Vec<Step>) {
    assert_matches!(world.submit(cx, id, steps).await, SubmitReply::Accepted);
}

/// Submits a job whose second step never fits, and then one of the same image that fits anywhere; the second must
/// complete.
fn check_later_job(change: impl FnOnce(&mut Step)) {
    paused(async {
        let (world, cx) = cluster().await;
        let mut hopeless = best_effort(4, 60_000, &[0]);
        change(&mut hopeless);
        submit(&world, &cx, 1, vec![best_effort(1, 100, &[]), hopeless]).await;
        sleep(Duration::from_secs(2)).await;
        submit(&world, &cx, 2, vec![best_effort(2, 200, &[])]).await;
        until("the later job is completed", LIMIT, async || {
            world.state(&cx, 2).await == Some(JobState::Completed)
        })
        .await;
        assert_eq!(world.state(&cx, 1).await, Some(JobState::Running));
        world.check();
    });
}

/// Guards against a label that no worker has and that is taken for missing in all steps of the image.
#[test]
fn a_missing_label_does_not_hold_up_other_steps_of_the_image() {
    check_later_job(|step| step.required_label = Some("absent".to_owned()));
}

/// Guards against a task larger than each worker that holds up smaller ones of its image.
#[test]
fn a_too_large_task_does_not_hold_up_other_steps_of_the_image() {
    check_later_job(|step| step.size.memory_mb = 20_000);
}

/// Guards against accelerators that no worker has and that are taken for missing in all steps of the image.
#[test]
fn missing_accelerators_do_not_hold_up_other_steps_of_the_image() {
    check_later_job(|step| step.size.accelerators = 1);
}

/// Guards against a step at its limit on each worker that holds up steps of its image without such tasks.
#[test]
fn a_step_limit_does_not_hold_up_other_steps_of_the_image() {
    check_later_job(|step| step.max_per_worker = Some(1));
}

/// Guards against a step at its limit on each worker that holds up steps of its image that ask for as much.
#[test]
fn a_step_limit_does_not_hold_up_equal_steps_without_such_tasks() {
    paused(async {
        let (world, cx) = cluster().await;
        let mut limited = best_effort(4, 60_000, &[]);
        limited.max_per_worker = Some(1);
        submit(&world, &cx, 1, vec![limited.clone()]).await;
        sleep(Duration::from_secs(2)).await;
        submit(&world, &cx, 2, vec![limited]).await;
        until("the later job runs", LIMIT, async || {
            world.state(&cx, 2).await == Some(JobState::Running)
        })
        .await;
        assert_eq!(world.running().len(), 6);
        world.check();
    });
}

/// Guards against a gang that is too large for the shard and holds up smaller steps of its image.
#[test]
fn a_too_large_gang_does_not_hold_up_other_steps_of_the_image() {
    check_later_job(|step| {
        step.count = 60;
        step.gang = Gang::AnyRack;
    });
}

const IMAGES: [&str; 2] = ["render", "encode"];
const LABELS: [&str; 2] = ["ssd", "fast"];

/// A best-effort step of a pass.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    image: usize,
    size: (u64, u64, u64),
    label: Option<usize>,
    duration_ms: u64,
    max_per_worker: Option<u32>,
    count: usize,
    is_gang: bool,
}

/// A host with a serving task of this load.
#[derive(Clone, Copy, Debug)]
struct HostSpec {
    millicores: u64,
    memory_mb: u64,
    accelerators: u64,
    label: Option<usize>,
    load: f64,
}

fn any_waiting() -> impl Strategy<Value = Waiting> {
    let size = (1..9_u64, 1..9_u64, 0..2_u64);
    let label = prop::option::weighted(0.2, 0..LABELS.len());
    let limit = prop::option::weighted(0.2, 1..3_u32);
    let gang = prop::bool::weighted(0.2);
    let rest = (0..3_000_u64, limit, 1..8_usize, gang);
    (0..IMAGES.len(), size, label, rest).prop_map(
        |(image, size, label, (duration_ms, max_per_worker, count, is_gang))| Waiting {
            image,
            size: (size.0 * 500, size.1 * 500, size.2),
            label,
            duration_ms,
            max_per_worker,
            count,
            is_gang,
        },
    )
}

fn any_host() -> impl Strategy<Value = HostSpec> {
    let label = prop::option::weighted(0.5, 0..LABELS.len());
    let capacity = (4..12_u64, 2..16_u64, 0..3_u64);
    (capacity, label, 0.2..0.8_f64).prop_map(|(capacity, label, load)| HostSpec {
        millicores: capacity.0 * 1_000,
        memory_mb: capacity.1 * 1_000,
        accelerators: capacity.2,
        label,
        load,
    })
}

fn labels(label: Option<usize>) -> Vec<String> {
    label.map(|at| LABELS[at].to_owned()).into_iter().collect()
}

fn host<'a>(
    spec: &HostSpec,
    id: &'a str,
    labels: &'a [String],
    model: &mut InterferenceModel,
) -> Host<'a> {
    let victim = Victim {
        image: model.image("serving"),
        step: (1, 0, 0),
        target_ms: 50.0,
        load: ServingLoad::default(),
    };
    let limit = model.limit(&victim);
    Host {
        id,
        pool: "pool",
        rack: None,
        labels,
        capacity: Size {
            millicores: spec.millicores,
            memory_mb: spec.memory_mb,
            accelerators: spec.accelerators,
        },
        reserved: Size::ZERO,
        long_running: Size::ZERO,
        best_effort_millicores: 0,
        serving: vec![ServingGroup {
            victim,
            millicores: 2_000,
            load: spec.load,
            forecast: UtilisationForecast::without_aggressors(1, limit, [spec.load; POINTS]),
            misses_alone: false,
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

fn need(waiting: &Waiting, model: &mut InterferenceModel) -> Need<'static> {
    Need {
        pool: "pool",
        size: Size {
            millicores: waiting.size.0,
            memory_mb: waiting.size.1,
            accelerators: waiting.size.2,
        },
        load: Load::BestEffort,
        is_long_running: false,
        required_label: waiting.label.map(|at| LABELS[at]),
        data_rack: None,
        max_per_worker: waiting.max_per_worker,
        image: Some(model.image(IMAGES[waiting.image])),
        victim: None,
        duration: Duration::from_millis(waiting.duration_ms),
    }
}

/// Places the tasks of a step as a dispatch pass does; returns how many were placed, and whether the limit of the step
/// may have refused the others.
fn place(
    waiting: &Waiting,
    need: &Need<'static>,
    hosts: &mut Vec<Host>,
    model: &InterferenceModel,
) -> (usize, bool) {
    let before = hosts.clone();
    for host in hosts.iter_mut() {
        host.of_step = 0;
    }
    for placed in 0..waiting.count {
        let Some(at) = choose(need, hosts, model) else {
            let is_at_limit = is_limit_reached(need, hosts);
            if !waiting.is_gang {
                return (placed, is_at_limit);
            }
            hosts.clone_from(&before);
            return (0, is_at_limit);
        };
        hosts[at].take(need, model);
        hosts[at].of_step += 1;
    }
    (waiting.count, false)
}

/// Places the steps in order, with or without those that are skipped; returns the number of placed tasks of each step,
/// and that of the steps for which hosts were searched.
fn pass(waiting: &[Waiting], hosts: &[HostSpec], is_skipping: bool) -> (Vec<usize>, usize) {
    let mut model = InterferenceModel::default();
    let have: Vec<_> = hosts.iter().map(|host| labels(host.label)).collect();
    let ids: Vec<_> = (0..hosts.len()).map(|at| format!("w{at}")).collect();
    let mut hosts: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(at, spec)| host(spec, &ids[at], &have[at], &mut model))
        .collect();
    let (mut refused, mut searches) = (RefusedDemands::default(), 0);
    let mut counts = Vec::new();
    for step in waiting {
        let need = need(step, &mut model);
        let together = if step.is_gang { step.count } else { 1 };
        let demand = Demand::new(&need, IMAGES[step.image], together);
        if is_skipping && refused.find(&demand).is_some() {
            counts.push(0);
            continue;
        }
        searches += 1;
        let (placed, is_at_limit) = place(step, &need, &mut hosts, &model);
        counts.push(placed);
        if placed < step.count && !is_at_limit {
            refused.add(Refusal { demand, why: None });
        }
    }
    (counts, searches)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    /// Guards against steps that are skipped although a host would take one of their tasks.
    #[test]
    fn only_steps_that_no_host_admits_are_skipped(
        waiting in prop::collection::vec(any_waiting(), 1..40),
        hosts in prop::collection::vec(any_host(), 1..6),
    ) {
        let (with, _) = pass(&waiting, &hosts, true);
        let (without, _) = pass(&waiting, &hosts, false);
        prop_assert_eq!(with, without);
    }
}

/// Guards against passes that search all hosts for each of the steps of a backlog that differ in size and duration.
#[test]
fn a_backlog_of_steps_that_differ_is_searched_for_few_of_them() {
    let hosts = vec![
        HostSpec {
            millicores: 16_000,
            memory_mb: 64_000,
            accelerators: 0,
            label: None,
            load: 0.3,
        };
        128
    ];
    let step = |at: u64| Waiting {
        image: at as usize % IMAGES.len(),
        size: (500 + at * 7 % 31 * 100, 500 + at * 11 % 37 * 100, 0),
        label: None,
        duration_ms: 100 + at * 13 % 41 * 60,
        max_per_worker: None,
        count: 5,
        is_gang: false,
    };
    let waiting: Vec<_> = (0..4_000).map(step).collect();
    let (counts, searches) = pass(&waiting, &hosts, true);
    let placed = counts.iter().filter(|count| **count > 0).count();
    assert!(placed > 50 && placed < 1_000, "{placed} steps were placed");
    let refused = searches - placed;
    assert!(
        refused * 20 < waiting.len(),
        "hosts were searched for {refused} refused steps"
    );
}
