//! The ledger's state after any sequence of events.

use super::events::{Seed, event, holder, job, seed, shard, worker};
use indexmap::IndexMap;
use lapisdrum::{
    core::{
        id::{Epoch, JobId, Sequence},
        job::{Attempt, JobPhase, Placement},
    },
    state::ledger::{Batch, Event, State},
    store::wire::Txn,
};
use lapisdrum_standins::platform::table::Table;
use proptest::{collection::vec, prelude::*};

fn batch(state: &State, nonce: u64, events: Vec<Event>) -> Batch {
    Batch {
        sequence: state.sequence.next(),
        epoch: state.epoch,
        nonce,
        events,
    }
}

proptest! {
    /// Guards against a committed size that drifts from jobs and floors, and against an invalid
    /// event that changes the state.
    #[test]
    fn committed_is_the_recount_and_a_rejected_event_changes_nothing(seeds in vec(seed(), 0..80)) {
        let mut state = State::default();
        for seed in seeds {
            let before = state.clone();
            let event = event(&state, seed);
            if state.apply(&event).is_err() {
                prop_assert_eq!(&state, &before);
            }
            prop_assert_eq!(&state.committed, &state.recount());
        }
    }

    /// Guards against evicted work that resumes twice: between two placements of a job is exactly
    /// one event that ended the first, each placement is the next attempt, and none follows the end
    /// of the job.
    #[test]
    fn each_loss_of_a_place_is_followed_by_one_next_attempt(seeds in vec(seed(), 0..120)) {
        let mut state = State::default();
        let mut placed: IndexMap<JobId, (u32, bool)> = IndexMap::new();
        for seed in seeds {
            let event = event(&state, seed);
            if state.apply(&event).is_err() {
                continue;
            }
            match event {
                Event::Placed { job, placement } => {
                    let (attempts, is_placed) = placed.entry(job).or_default();
                    prop_assert!(!*is_placed, "placed twice without an eviction between");
                    prop_assert_eq!(placement.attempt, Attempt(*attempts + 1));
                    (*attempts, *is_placed) = (placement.attempt.0, true);
                }
                Event::Evicted { job, attempt } | Event::AttemptFailed { job, attempt } => {
                    let (attempts, is_placed) = placed.entry(job).or_default();
                    prop_assert!(std::mem::replace(is_placed, false), "evicted without a placement");
                    prop_assert_eq!(attempt, Attempt(*attempts));
                }
                // Marked as placed, so that any later placement fails the assertion above.
                Event::Ended { job, .. } => placed.entry(job).or_default().1 = true,
                Event::Forgotten { job } => {
                    placed.swap_remove(&job);
                }
                _ => {}
            }
        }
    }

    /// Several events apply as they do one by one, or not at all.
    #[test]
    fn events_are_applied_together_or_not_at_all(
        first in vec(seed(), 0..30),
        together in vec(seed(), 0..6),
    ) {
        let mut state = State::default();
        for seed in first {
            let _ = state.apply(&event(&state, seed));
        }
        let events: Vec<Event> = together.iter().map(|seed| event(&state, *seed)).collect();
        let mut one_by_one = state.clone();
        let all = events.iter().try_for_each(|event| one_by_one.apply(event));
        let before = state.clone();
        prop_assert_eq!(state.apply_all(&events).is_ok(), all.is_ok());
        prop_assert_eq!(&state, if all.is_ok() { &one_by_one } else { &before });
    }

    /// The replayed rows give the state of their writer, and the snapshot format keeps it.
    #[test]
    fn a_replay_equals_the_live_state(groups in vec(vec(seed(), 0..6), 0..12)) {
        let mut live = State::default();
        let mut rows = Vec::new();
        for (nonce, group) in (0..).zip(groups) {
            let events = valid_events(&live, &group);
            let row = batch(&live, nonce, events);
            prop_assert!(live.apply_batch(&row).is_ok());
            rows.push(row);
        }
        let mut replayed = State::default();
        prop_assert!(replayed.replay(&rows).is_ok());
        prop_assert_eq!(&replayed, &live);
        let snapshot = serde_json::to_vec(&live).map_err(|e| TestCaseError::fail(e.to_string()))?;
        let read: Result<State, _> = serde_json::from_slice(&snapshot);
        prop_assert_eq!(read.ok(), Some(live));
    }

    /// Guards against a moved job that is in both ledgers or in none, when answers are lost and the
    /// move is repeated.
    #[test]
    fn a_job_that_moves_is_in_exactly_one_shard(moves in vec((0..4_u8, any::<bool>(), any::<bool>()), 1..30)) {
        let mut table = Table::default();
        let mut shards = [State::default(), State::default()];
        for n in 0..4 {
            prop_assert!(shards[0].apply(&super::events::accepted(n, 1)).is_ok());
        }
        for (nonce, (n, to_second, repeat)) in (0..).zip(moves) {
            let (from, to) = if to_second { (0, 1) } else { (1, 0) };
            let Some(moved) = shards[from].jobs.get(&job(n)).cloned() else {
                continue;
            };
            let out = Event::MovedOut { job: job(n), to: shard(u8::from(to_second)) };
            let into = Event::MovedIn { id: job(n), job: moved };
            let rows = [batch(&shards[from], nonce, vec![out]), batch(&shards[to], nonce, vec![into])];
            let key = |at: usize, row: &Batch| format!("ledger/{at}/{}", row.sequence.0);
            let (a, b) = (key(from, &rows[0]), key(to, &rows[1]));
            let txn = Txn::default().compare(&a, 0).compare(&b, 0).put(&a, &rows[0]).put(&b, &rows[1]);
            prop_assert!(table.txn(&txn).is_ok());
            // The answer was lost and the writer tries again.
            prop_assert!(!repeat || table.txn(&txn).is_err());
            prop_assert!(shards[from].apply_batch(&rows[0]).is_ok());
            prop_assert!(shards[to].apply_batch(&rows[1]).is_ok());
            for n in 0..4 {
                let homes = shards.iter().filter(|shard| shard.jobs.contains_key(&job(n)));
                prop_assert_eq!(homes.count(), 1);
            }
            let again = shards[0].apply(&super::events::accepted(n, 1));
            prop_assert!(again.is_err(), "a job that moved away was accepted a second time");
        }
    }
}

/// The events made from `seeds`, without those that are invalid after the ones before.
pub(super) fn valid_events(state: &State, seeds: &[Seed]) -> Vec<Event> {
    let mut trial = state.clone();
    let mut events = Vec::new();
    for seed in seeds {
        let event = event(&trial, *seed);
        if trial.apply(&event).is_ok() {
            events.push(event);
        }
    }
    events
}

/// Guards against a placement by an owner whose end is in the ledger: its successor relies on no
/// further start by it.
#[test]
fn an_owner_that_has_ended_places_nothing_more() {
    let mut state = State::default();
    let epoch = Epoch(1);
    let placed = Event::Placed {
        job: job(0),
        placement: Placement {
            worker: worker(0),
            epoch,
            attempt: Attempt(1),
        },
    };
    let owner_began = Event::OwnerBegan {
        epoch,
        holder: holder(0),
    };
    for event in [
        owner_began,
        super::events::accepted(0, 1),
        Event::OwnerEnded { epoch },
    ] {
        assert_eq!(state.apply(&event), Ok(()));
    }
    assert!(state.apply(&placed).is_err());
    assert_eq!(state.jobs[&job(0)].phase, JobPhase::Waiting);
    assert_eq!(state.sequence, Sequence(0));
}
