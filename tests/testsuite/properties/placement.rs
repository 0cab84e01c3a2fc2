//! Placement of tasks beside floors.

use super::events::{accepted, holder, job, worker};
use lapisdrum::{
    core::{
        catalogue::Class,
        id::{Epoch, Rack, WorkerId},
        job::{Attempt, JobPhase, Placement},
        size::Size,
        time::Millis,
    },
    policy::{
        placement::{self, CandidateHost, TaskToPlace},
        slowdown::{Kind, SlowdownModel},
    },
    state::{
        grants::{self, ByWorker},
        ledger::{Event, Grant, State},
    },
};
use proptest::{collection::vec, prelude::*};
use rand::{SeedableRng, rngs::StdRng};

const WORKERS: u8 = 3;
const SHARE_PERCENT: u32 = 40;

fn whole(w: u8) -> Grant {
    Grant {
        slots: 4,
        size: Size {
            millicores: 500 + 300 * u64::from(w),
            memory_mb: 60 + 20 * u64::from(w),
            accelerators: w.into(),
        },
    }
}

/// Capacity of a worker that is free for tasks.
fn free(state: &State, w: u8) -> Size {
    let (id, whole) = (worker(w), whole(w));
    let reserved = grants::unclaimed_reserve(state, &id, &whole, SHARE_PERCENT);
    let committed = state.committed_on(&id).size;
    whole.size.minus(&committed).minus(&reserved)
}

/// The worker that the policy chooses for a task of this size.
fn choose(state: &State, size: Size, seed: u64) -> Option<WorkerId> {
    let rack = Rack::try_from("rack-a").expect("a name");
    let workers: Vec<WorkerId> = (0..WORKERS).map(worker).collect();
    let candidate = |(w, id): (u8, &'_ WorkerId)| (free(state, w), whole(w).size, id.clone());
    let hosts: Vec<_> = (0..WORKERS).zip(&workers).map(candidate).collect();
    let candidates: Vec<CandidateHost<'_>> = hosts
        .iter()
        .map(|(free, capacity, id)| CandidateHost {
            worker: id,
            rack: &rack,
            capacity: *capacity,
            free: *free,
            running_kinds: &[],
            entry_tasks_in_rack: 0,
        })
        .collect();
    let to_place = TaskToPlace {
        kind: Kind(0),
        class: Class::Batch,
        size,
        entry_tasks_placed: 0,
    };
    let model = SlowdownModel::default();
    let mut rng = StdRng::seed_from_u64(seed);
    let chosen = placement::choose(&candidates, &to_place, &model, Millis::default(), &mut rng)?;
    Some(candidates[chosen].worker.clone())
}

/// Places a waiting job on the worker that the policy chooses, if any.
fn place(state: &mut State, n: u8) {
    let Some(waiting) = state
        .jobs
        .get(&job(n))
        .filter(|job| job.phase == JobPhase::Waiting)
    else {
        return;
    };
    let Some(chosen) = choose(state, waiting.size, n.into()) else {
        return;
    };
    let placed = Event::Placed {
        job: job(n),
        placement: Placement {
            worker: chosen,
            epoch: Epoch(1),
            attempt: Attempt(waiting.attempts.0 + 1),
        },
    };
    assert_eq!(state.apply(&placed), Ok(()));
}

proptest! {
    /// Guards against overcommitted hosts: tasks and floors together never exceed a host in any
    /// dimension while tasks come and go and floors grow and shrink.
    #[test]
    fn tasks_and_floors_together_fit_every_host(
        ops in vec((0..5_u8, 0..8_u8, 0..4_u8), 1..120),
    ) {
        let mut state = State::default();
        let hosts: ByWorker = (0..WORKERS).map(|w| (worker(w), whole(w))).collect();
        for (kind, n, amount) in ops {
            match kind {
                0 => {
                    let _ = state.apply(&accepted(n, amount));
                }
                1 | 2 => place(&mut state, n),
                3 => {
                    let attempt = state.jobs.get(&job(n)).map(|job| job.attempts).unwrap_or_default();
                    let _ = state.apply(&Event::Evicted { job: job(n), attempt });
                }
                _ => {
                    let daemons = usize::from(amount) + 1;
                    let part = |w: u8| grants::even_share(&whole(w), SHARE_PERCENT, n.into(), daemons);
                    let targets: ByWorker = (0..WORKERS).map(|w| (worker(w), part(w))).collect();
                    let held = state.grants.get(&holder(n % 2)).cloned().unwrap_or_default();
                    // The daemon has reduced its floors to the targets.
                    let holding = if amount == 3 { targets.clone() } else { held };
                    let events = grants::changes(&state, &hosts, &holder(n % 2), &holding, &targets);
                    prop_assert_eq!(state.apply_all(&events), Ok(()));
                }
            }
            for w in 0..WORKERS {
                let committed = state.committed_on(&worker(w));
                prop_assert!(committed.size.fits(&whole(w).size), "{committed:?} on {w}");
                prop_assert!(committed.slots <= whole(w).slots, "{committed:?} on {w}");
            }
        }
    }
}
