//! The choice of a host by free capacity, expected slowdown and spread over racks.

use super::{entry, seeded, worker};
use lapisdrum::{
    core::{
        catalogue::Class,
        id::{Rack, WorkerId},
        size::Size,
        time::Millis,
    },
    policy::{
        placement::{CandidateHost, RunningKind, TaskToPlace, choose},
        slowdown::{Kind, Neighbour, Report, SlowdownModel},
    },
};
use proptest::prelude::*;

fn size(cores: u64, memory_mb: u64, accelerators: u64) -> Size {
    Size {
        millicores: cores * 1_000,
        memory_mb,
        accelerators,
    }
}

const CAPACITY: Size = Size {
    millicores: 32_000,
    memory_mb: 125_000,
    accelerators: 1,
};

fn racks(count: usize) -> Vec<Rack> {
    (0..count)
        .map(|i| Rack::try_from(format!("r{i}")).expect("valid"))
        .collect()
}

fn candidate<'a>(worker: &'a WorkerId, rack: &'a Rack, free: Size) -> CandidateHost<'a> {
    CandidateHost {
        worker,
        rack,
        capacity: CAPACITY,
        free,
        running_kinds: &[],
        entry_tasks_in_rack: 0,
    }
}

fn to_place(size: Size) -> TaskToPlace {
    TaskToPlace {
        kind: Kind(0),
        class: Class::Batch,
        size,
        entry_tasks_placed: 0,
    }
}

/// Notes ten reports for each of `slowed`: its slowdown beside one `noisy` neighbour, in
/// thousandths.
fn note_reports(model: &mut SlowdownModel, noisy: Kind, slowed: &[(Kind, u32)]) {
    for i in 0..10 {
        for (kind, slowdown_permille) in slowed {
            model.note(&Report {
                kind: *kind,
                beside: &[Neighbour {
                    kind: noisy,
                    count: 1,
                }],
                slowdown_permille: *slowdown_permille,
                measured_at: Millis(i * 5_000),
            });
        }
    }
}

proptest! {
    /// A host is chosen if and only if one fits, and the chosen one fits in every dimension.
    #[test]
    fn only_hosts_that_fit_are_chosen(
        frees in prop::collection::vec((0..32_u64, 0..1_000_u64, 0..2_u64), 0..80),
        want in (1..32_u64, 1..1_000_u64, 0..2_u64),
        seed in any::<u64>(),
    ) {
        let racks = racks(1);
        let workers: Vec<WorkerId> = (0..frees.len()).map(worker).collect();
        let candidates: Vec<CandidateHost<'_>> = frees
            .iter()
            .zip(&workers)
            .map(|((c, m, a), worker)| candidate(worker, &racks[0], size(*c, *m, *a)))
            .collect();
        let want = to_place(size(want.0, want.1, want.2));
        let model = SlowdownModel::default();
        let chosen = choose(&candidates, &want, &model, Millis(0), &mut seeded(seed));
        prop_assert_eq!(chosen.is_some(), candidates.iter().any(|candidate| want.size.fits(&candidate.free)));
        if let Some(index) = chosen {
            prop_assert!(want.size.fits(&candidates[index].free));
        }
    }
}

/// Guards against small tasks on empty hosts, which leave no whole host for a large task: the
/// fullest host that fits is chosen.
#[test]
fn small_tasks_leave_hosts_free_for_large_ones() {
    let (racks, workers) = (racks(1), [worker(0), worker(1), worker(2)]);
    let candidates = [
        candidate(&workers[0], &racks[0], CAPACITY),
        candidate(&workers[1], &racks[0], size(8, 30_000, 0)),
        candidate(&workers[2], &racks[0], size(20, 80_000, 1)),
    ];
    let model = SlowdownModel::default();
    let chosen = choose(
        &candidates,
        &to_place(size(1, 1_000, 0)),
        &model,
        Millis(0),
        &mut seeded(1),
    );
    assert_eq!(chosen, Some(1));
}

/// Renders slow route maps to three times their run time and do not slow the checks. Without
/// reports a render goes to the tighter fit, beside the maps; with them it goes beside the checks.
#[test]
fn a_noisy_task_is_kept_from_the_service() {
    let mut model = SlowdownModel::default();
    let [map, render, check] = ["map", "render", "check"].map(|name| model.kind(&entry(name)));
    let running_kind = |kind| RunningKind {
        neighbour: Neighbour { kind, count: 1 },
        class: Class::LatencyCritical,
    };
    let (maps, checks) = ([running_kind(map)], [running_kind(check)]);
    let (racks, workers) = (racks(1), [worker(0), worker(1)]);
    let candidates = [
        CandidateHost {
            running_kinds: &maps,
            ..candidate(&workers[0], &racks[0], size(4, 4_000, 0))
        },
        CandidateHost {
            running_kinds: &checks,
            ..candidate(&workers[1], &racks[0], size(30, 100_000, 0))
        },
    ];
    let want = TaskToPlace {
        kind: render,
        ..to_place(size(2, 2_000, 0))
    };
    let now = Millis(50_000);
    assert_eq!(
        choose(&candidates, &want, &model, now, &mut seeded(1)),
        Some(0)
    );
    note_reports(&mut model, render, &[(map, 3_000), (check, 1_000)]);
    assert_eq!(
        choose(&candidates, &want, &model, now, &mut seeded(1)),
        Some(1)
    );
}

/// A task without any reports is placed beside batch work rather than beside a service.
#[test]
fn unknown_work_is_not_tried_on_a_service_first() {
    let mut model = SlowdownModel::default();
    let [map, backup, render] = ["map", "backup", "render"].map(|name| model.kind(&entry(name)));
    let running_kind = |kind, class| RunningKind {
        neighbour: Neighbour { kind, count: 1 },
        class,
    };
    let maps = [running_kind(map, Class::LatencyCritical)];
    let backups = [running_kind(backup, Class::Batch)];
    let (racks, workers) = (racks(1), [worker(0), worker(1)]);
    let candidates = [
        CandidateHost {
            running_kinds: &maps,
            ..candidate(&workers[0], &racks[0], size(4, 4_000, 0))
        },
        CandidateHost {
            running_kinds: &backups,
            ..candidate(&workers[1], &racks[0], size(30, 100_000, 0))
        },
    ];
    let want = TaskToPlace {
        kind: render,
        ..to_place(size(2, 2_000, 0))
    };
    assert_eq!(
        choose(&candidates, &want, &model, Millis(0), &mut seeded(1)),
        Some(1)
    );
}

/// Guards against a rack failure that takes all tasks of an entry: eight streams over four racks of
/// equal hosts are placed two in each.
#[test]
fn tasks_of_an_entry_are_spread_over_racks() {
    let (racks, workers) = (racks(4), (0..8).map(worker).collect::<Vec<_>>());
    let mut in_rack = [0_u32; 4];
    let model = SlowdownModel::default();
    for placed in 0..8 {
        let candidates: Vec<CandidateHost<'_>> = workers
            .iter()
            .enumerate()
            .map(|(i, worker)| CandidateHost {
                entry_tasks_in_rack: in_rack[i / 2],
                ..candidate(worker, &racks[i / 2], CAPACITY)
            })
            .collect();
        let want = TaskToPlace {
            class: Class::LongRunning,
            entry_tasks_placed: placed,
            ..to_place(size(1, 1_000, 0))
        };
        let chosen = choose(
            &candidates,
            &want,
            &model,
            Millis(0),
            &mut seeded(u64::from(placed)),
        );
        in_rack[chosen.expect("all fit") / 2] += 1;
    }
    assert_eq!(in_rack, [2; 4]);
}

/// Renders slow route maps to three times their run time, and every host runs maps. A batch render
/// waits; a long-running task is placed all the same.
#[test]
fn batch_waits_rather_than_slow_a_service() {
    let mut model = SlowdownModel::default();
    let [map, render] = ["map", "render"].map(|name| model.kind(&entry(name)));
    note_reports(&mut model, render, &[(map, 3_000)]);
    let maps = [RunningKind {
        neighbour: Neighbour {
            kind: map,
            count: 1,
        },
        class: Class::LatencyCritical,
    }];
    let (racks, workers) = (racks(1), [worker(0)]);
    let candidates = [CandidateHost {
        running_kinds: &maps,
        ..candidate(&workers[0], &racks[0], CAPACITY)
    }];
    let want = |class| TaskToPlace {
        kind: render,
        class,
        ..to_place(size(2, 2_000, 0))
    };
    let now = Millis(50_000);
    assert_eq!(
        choose(
            &candidates,
            &want(Class::Batch),
            &model,
            now,
            &mut seeded(1)
        ),
        None
    );
    let stream = choose(
        &candidates,
        &want(Class::LongRunning),
        &model,
        now,
        &mut seeded(1),
    );
    assert_eq!(stream, Some(0));
}

/// Renders slow route maps by 30 %, which batch work may, and do not slow the checks. They go
/// beside the checks where those fit, and otherwise beside the maps.
#[test]
fn a_mildly_noisy_task_goes_where_it_harms_less() {
    let mut model = SlowdownModel::default();
    let [map, render, check] = ["map", "render", "check"].map(|name| model.kind(&entry(name)));
    note_reports(&mut model, render, &[(map, 1_300), (check, 1_000)]);
    let running_kind = |kind| RunningKind {
        neighbour: Neighbour { kind, count: 1 },
        class: Class::LatencyCritical,
    };
    let (maps, checks) = ([running_kind(map)], [running_kind(check)]);
    let (racks, workers) = (racks(1), [worker(0), worker(1)]);
    let tight = candidate(&workers[0], &racks[0], size(4, 4_000, 0));
    let wide = candidate(&workers[1], &racks[0], size(30, 100_000, 0));
    let want = TaskToPlace {
        kind: render,
        ..to_place(size(2, 2_000, 0))
    };
    let both = [
        CandidateHost {
            running_kinds: &maps,
            ..tight
        },
        CandidateHost {
            running_kinds: &checks,
            ..wide
        },
    ];
    let only_maps = [both[0]];
    let now = Millis(50_000);
    assert_eq!(choose(&both, &want, &model, now, &mut seeded(1)), Some(1));
    assert_eq!(
        choose(&only_maps, &want, &model, now, &mut seeded(1)),
        Some(0)
    );
}
