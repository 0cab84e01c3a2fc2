//! The index of a shard's jobs, compared with the state.

use lapisdrum::{
    core::{
        id::{DataCentre, EntryName, Epoch, JobId, ShardId, WorkerId},
        job::{Attempt, JobEnd, JobPhase, Placement},
        size::Size,
        time::Millis,
    },
    daemon::{index::Index, limits::even_share},
    state::ledger::{Event, State},
};
use proptest::prelude::*;
use std::time::Duration;

const JOBS: u64 = 6;

#[derive(Clone, Copy, Debug)]
enum Step {
    Accept,
    Place(u8),
    Evict,
    Fail,
    Cancel,
    End,
    Forget,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Accept),
        4 => (0..3_u8).prop_map(Step::Place),
        2 => Just(Step::Evict),
        1 => Just(Step::Fail),
        1 => Just(Step::Cancel),
        2 => Just(Step::End),
        1 => Just(Step::Forget),
    ]
}

fn event(state: &State, n: u64, step: Step) -> Event {
    let shard = ShardId::new(&DataCentre::try_from("karen").expect("a name"), 0);
    let job = JobId::new(&shard, n);
    let attempts = state.jobs.get(&job).map_or(0, |job| job.attempts.0);
    let entry = if n.is_multiple_of(2) {
        "render"
    } else {
        "recalculation"
    };
    match step {
        Step::Accept => Event::Accepted {
            job,
            entry: EntryName::try_from(entry).expect("a name"),
            size: Size::ZERO,
            hold: Duration::from_secs(1),
        },
        Step::Place(worker) => Event::Placed {
            job,
            placement: Placement {
                worker: WorkerId::try_from(format!("worker-{worker}")).expect("a name"),
                epoch: Epoch(1),
                attempt: Attempt(attempts + 1),
            },
        },
        Step::Evict => Event::Evicted {
            job,
            attempt: Attempt(attempts),
        },
        Step::Fail => Event::AttemptFailed {
            job,
            attempt: Attempt(attempts),
        },
        Step::Cancel => Event::CancelAsked { job },
        Step::End => Event::Ended {
            job,
            end: JobEnd::Done,
        },
        Step::Forget => Event::Forgotten { job },
    }
}

/// Compares the index with a scan of the whole state.
fn assert_agrees(index: &mut Index, state: &State) -> Result<(), TestCaseError> {
    for worker in ["worker-0", "worker-1", "worker-2"] {
        let worker = WorkerId::try_from(worker).expect("a name");
        let mut listed: Vec<&JobId> = index.on_worker(&worker).collect();
        let on = |id: &&JobId| {
            state.jobs[*id]
                .placement()
                .is_some_and(|p| p.worker == worker)
        };
        let mut placed: Vec<&JobId> = state.jobs.keys().filter(on).collect();
        listed.sort();
        placed.sort();
        prop_assert_eq!(listed, placed);
    }
    for entry in ["render", "recalculation"] {
        let entry = EntryName::try_from(entry).expect("a name");
        let of_entry = || state.jobs.iter().filter(|(_, job)| job.entry == entry);
        let waiting = |job: &&JobPhase| **job == JobPhase::Waiting;
        let waits = of_entry()
            .map(|(_, job)| &job.phase)
            .filter(waiting)
            .count();
        let placed = of_entry()
            .filter(|(_, job)| job.placement().is_some())
            .count();
        let counts = index.counts(&entry);
        prop_assert_eq!(
            (counts.waiting as usize, counts.placed as usize),
            (waits, placed)
        );
        let mut queue = Vec::new();
        while let Some(id) = index.take_waiting(state, &entry) {
            queue.push(id);
        }
        index.put_back(&entry, queue.clone());
        queue.sort();
        queue.dedup();
        let mut ready: Vec<&JobId> = of_entry()
            .filter(|(_, job)| job.phase == JobPhase::Waiting && !job.cancelling)
            .map(|(id, _)| id)
            .collect();
        ready.sort();
        prop_assert_eq!(queue.iter().collect::<Vec<_>>(), ready);
    }
    Ok(())
}

proptest! {
    /// An index updated by events and one built from the state, as after a take-over, both agree
    /// with the state.
    #[test]
    fn the_index_agrees_with_the_state(steps in prop::collection::vec((0..JOBS, step()), 1..60)) {
        let (mut state, mut index) = (State::default(), Index::default());
        for (n, step) in steps {
            let events = [event(&state, n, step)];
            let before = Index::jobs_before(&state, &events);
            if state.apply_all(&events).is_ok() {
                index.note(before, &state, Millis(1));
            }
            assert_agrees(&mut index, &state)?;
            assert_agrees(&mut Index::build(&state, Millis(1)), &state)?;
        }
    }

    /// The parts of a limit add up to it, whatever the number of shards.
    #[test]
    fn parts_add_up_to_the_limit(limit in 0..10_000_u32, count in 1..100_u32) {
        let sum: u32 = (0..count).map(|rank| even_share(limit, rank, count)).sum();
        prop_assert_eq!(sum, limit);
    }
}

/// Ended jobs expire by age, and earlier when there are more than the maximum: oldest first, and a
/// limited number per call.
#[test]
fn ended_jobs_are_kept_for_a_time_and_up_to_a_number() {
    let (mut state, mut index) = (State::default(), Index::default());
    for n in 0..10 {
        for step in [Step::Accept, Step::End] {
            let events = [event(&state, n, step)];
            let before = Index::jobs_before(&state, &events);
            state.apply_all(&events).expect("the event belongs");
            index.note(before, &state, Millis(n * 1_000));
        }
    }
    let over_number = index.take_expired_jobs(Millis(0), 8, 100);
    assert_eq!(over_number.len(), 2, "more than the maximum");
    let some = index.take_expired_jobs(Millis(5_000), 8, 2);
    assert_eq!(some.len(), 2, "at most so many at a time");
    let rest = index.take_expired_jobs(Millis(5_000), 8, 100);
    assert_eq!(rest.len(), 1, "ended before the time");
    assert_eq!(index.take_expired_jobs(Millis(5_000), 8, 100).len(), 0);
}
