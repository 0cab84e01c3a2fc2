//! Times each policy decision in nanoseconds, with the policy's state filled for a number of workers.

use super::load::valid;
use lapisdrum::{
    core::{
        catalogue::Class,
        id::{EntryName, OwnerName, Rack, WorkerId},
        size::Size,
        time::Millis,
    },
    policy::{
        admission::{Admission, AdmissionRequest, Share},
        placement::{self, CandidateHost, RunningKind, TaskToPlace},
        queueing::{Item, Queue},
        routing::{Candidate, Routing, SendOutcome},
        slowdown::{Kind, Neighbour, Report, SlowdownModel},
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use std::{hint::black_box, time::Duration};
use tokio::time::Instant;

/// Decisions per batch.
const BATCH: u32 = 2_000;
/// Batches per decision; the table shows the median batch and the slowest.
const BATCHES: usize = 51;
/// Kinds of tasks on each host.
const KINDS_ON_HOST: u32 = 8;
/// Entry owners with requests in the queue.
const OWNERS: usize = 20;
/// Callers per owner.
const CALLERS: u64 = 10;

/// Time that one decision takes.
#[derive(Clone, Debug, Serialize)]
pub struct DecisionRow {
    /// Name of the decision in the table.
    pub decision: String,
    /// Number of workers.
    pub workers: usize,
    /// Nanoseconds per decision in the median batch.
    pub median_ns: f64,
    /// Nanoseconds per decision in the slowest batch.
    pub slowest_ns: f64,
}

/// Times every decision for this number of workers.
pub fn run(workers: usize, seed: u64) -> Vec<DecisionRow> {
    vec![
        admit(workers),
        queue(workers, seed),
        route(workers, seed),
        place(workers, seed),
    ]
}

fn measure(decision: &str, workers: usize, mut decide: impl FnMut(u32)) -> DecisionRow {
    let mut batches: Vec<f64> = (0..BATCHES)
        .map(|_| {
            let began = Instant::now();
            for i in 0..BATCH {
                decide(i);
            }
            began.elapsed().as_nanos() as f64 / f64::from(BATCH)
        })
        .collect();
    batches.sort_by(f64::total_cmp);
    DecisionRow {
        decision: decision.to_owned(),
        workers,
        median_ns: batches[BATCHES / 2],
        slowest_ns: batches[BATCHES - 1],
    }
}

fn admit(workers: usize) -> DecisionRow {
    let entries: Vec<EntryName> = (0..500)
        .map(|i| valid(EntryName::try_from(format!("entry{i}"))))
        .collect();
    let owner = valid(OwnerName::try_from("owner"));
    let share = Share {
        concurrency: 10,
        rate_per_s: Some(100),
        queue: 10,
    };
    let mut admission = Admission::default();
    let mut now = 0;
    measure("admit, start, finish", workers, |i| {
        now += 1;
        let entry = &entries[i as usize % entries.len()];
        let admission_request = AdmissionRequest {
            entry,
            owner: &owner,
            share,
            quota: None,
        };
        let _ = black_box(admission.admit(&admission_request, Millis(now)));
        if admission.start(&admission_request) {
            admission.finish(entry, &owner);
        }
    })
}

fn queue(workers: usize, seed: u64) -> DecisionRow {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut queue: Queue<u32> = Queue::default();
    let item = |rng: &mut StdRng| {
        let name = format!("owner{}", rng.random_range(0..OWNERS));
        Item {
            entry: valid(EntryName::try_from(name.as_str())),
            owner: valid(OwnerName::try_from(name.as_str())),
            caller: rng.random_range(0..CALLERS),
            class: Class::LatencyCritical,
            weight: 100,
            max_waiting: 100_000,
            expected_run: Duration::from_millis(20),
            deadline: None,
        }
    };
    for i in 0..1_000 {
        let item = item(&mut rng);
        let _ = queue.enqueue(item, i, Millis(0), &mut rng);
    }
    measure("enqueue and next, 1,000 wait in 200 flows", workers, |i| {
        let item = item(&mut rng);
        let _ = black_box(queue.enqueue(item, i, Millis(0), &mut rng));
        black_box(queue.next(Millis(0), |_, _| true));
    })
}

fn names(workers: usize) -> Vec<WorkerId> {
    let name = |i| valid(WorkerId::try_from(format!("worker-{i}")));
    (0..workers).map(name).collect()
}

fn route(workers: usize, seed: u64) -> DecisionRow {
    let mut rng = StdRng::seed_from_u64(seed);
    let (names, entry) = (names(workers), valid(EntryName::try_from("map")));
    let mut routing = Routing::default();
    for worker in &names {
        routing.note_sent(worker, &entry, Millis(0));
        routing.note_outcome(
            worker,
            &entry,
            Millis(0),
            SendOutcome::Answered,
            workers,
            Millis(20),
        );
    }
    let mut now = 20;
    measure("choose among candidates, sent, ended", workers, |_| {
        now += 1;
        let open = names.iter().map(|worker| Candidate {
            worker,
            outstanding: 1,
        });
        let open: Vec<Candidate<'_>> = open.collect();
        if let Some(chosen) = routing.choose(&open, Millis(now), &mut rng) {
            let worker = &names[chosen];
            routing.note_sent(worker, &entry, Millis(now));
            routing.note_outcome(
                worker,
                &entry,
                Millis(now),
                SendOutcome::Answered,
                workers,
                Millis(now + 20),
            );
        }
    })
}

fn place(workers: usize, seed: u64) -> DecisionRow {
    let mut rng = StdRng::seed_from_u64(seed);
    let names = names(workers);
    let racks: Vec<Rack> = (0..workers)
        .map(|i| valid(Rack::try_from(format!("rack{}", i / 8))))
        .collect();
    let capacity = Size {
        millicores: 32_000,
        memory_mb: 125_000,
        accelerators: 1,
    };
    let (known, running_kinds) = learned(workers, &mut rng);
    let candidates: Vec<CandidateHost<'_>> = (0..workers)
        .map(|i| CandidateHost {
            worker: &names[i],
            rack: &racks[i],
            capacity,
            free: Size {
                millicores: rng.random_range(0..16_000),
                ..capacity
            },
            running_kinds: &running_kinds[i],
            entry_tasks_in_rack: 1,
        })
        .collect();
    let to_place = TaskToPlace {
        kind: Kind(0),
        class: Class::Batch,
        size: Size {
            millicores: 1_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        entry_tasks_placed: 10,
    };
    measure("place among rooms", workers, |_| {
        black_box(placement::choose(
            &candidates,
            &to_place,
            &known,
            Millis(1_000),
            &mut rng,
        ));
    })
}

/// A slowdown model with one report for each pair of 40 kinds, and the kinds that run on each host.
fn learned(workers: usize, rng: &mut StdRng) -> (SlowdownModel, Vec<Vec<RunningKind>>) {
    let mut known = SlowdownModel::default();
    for i in 0..40 {
        known.kind(&valid(EntryName::try_from(format!("kind{i}"))));
    }
    for kind in (0..40).map(Kind) {
        for other in (0..40).map(Kind) {
            known.note(&Report {
                kind,
                beside: &[Neighbour {
                    kind: other,
                    count: 1,
                }],
                slowdown_permille: 1_000 + rng.random_range(0..500),
                measured_at: Millis(0),
            });
        }
    }
    let running_kind = |i: u32, rng: &mut StdRng| RunningKind {
        neighbour: Neighbour {
            kind: Kind((rng.random_range(0..5) * KINDS_ON_HOST + i) % 40),
            count: 2,
        },
        class: Class::Batch,
    };
    let on_host = |rng: &mut StdRng| (0..KINDS_ON_HOST).map(|i| running_kind(i, rng)).collect();
    let running_kinds = (0..workers).map(|_| on_host(rng)).collect();
    (known, running_kinds)
}
