//! Shard ownership, task leases and resumption: two daemons, two workers, one task, one table.
//!
//! The users' worst case: an artist's livestream runs on a worker that only the old owner can reach,
//! and a new owner has taken the shard. Whatever is paused, lost, late or dead, in whatever order,
//! no second copy may start, and the work must be able to finish in the end.

mod spec;
mod state;

use super::explore::{Search, explore};
use spec::{Spec, Without};
use state::{Phase, State};

/// More than one copy runs, or one that the ledger does not place where it runs. The second covers
/// three properties: what runs on a worker is committed there, an evicted attempt never runs on, and
/// a finished job never runs again.
fn is_broken(s: &State) -> bool {
    let running = s.hosts.iter().filter(|host| host.is_running()).count();
    let strays = s.hosts.iter().zip(state::PAIR).any(|(host, at)| {
        let is_here = matches!((s.book.phase, host.copy), (Phase::Placed { worker, attempt, .. }, Some(copy))
            if worker == at && attempt == copy.attempt);
        host.is_running() && !is_here
    });
    running > 1 || strays
}

fn doubled(s: &State) -> bool {
    s.hosts.iter().all(|host| host.is_running())
}

/// Searches everything and shows that nothing is broken and that the job can always be finished.
fn search_whole(spec: &Spec) {
    let graph = match explore(State::start(), |s| spec.next(s), is_broken) {
        Search::Whole(graph) => graph,
        Search::Broken(path) => panic!("broken after {} steps: {path:#?}", path.len()),
    };
    let is_done = |s: &State| s.book.phase == Phase::Done;
    println!(
        "ownership, late answers {}, deaths {}: {} states, {} steps, {} with a copy running, {} with a late command",
        spec.late_answers,
        spec.deaths,
        graph.states.len(),
        graph.steps.len(),
        graph.count(|s| s.hosts.iter().any(|host| host.is_running())),
        graph.count(|s| s.late.is_some()),
    );
    assert_eq!(
        graph.stuck(is_done),
        None,
        "the job can't be finished from here"
    );
}

#[test]
fn no_order_of_faults_doubles_a_task_or_keeps_it_from_finishing() {
    search_whole(&Spec {
        without: None,
        late_answers: false,
        deaths: true,
    });
}

#[test]
fn no_late_answer_doubles_a_task_or_keeps_it_from_finishing() {
    search_whole(&Spec {
        without: None,
        late_answers: true,
        deaths: false,
    });
}

/// Shows that the search finds what a safeguard is there for.
fn counterexample(without: Without) {
    let spec = Spec {
        without: Some(without),
        late_answers: without == Without::LeaseFromSend,
        deaths: false,
    };
    match explore(State::start(), |s| spec.next(s), doubled) {
        Search::Whole(graph) => panic!("{without:?}: none in {} states", graph.states.len()),
        Search::Broken(path) => {
            println!(
                "without {without:?}: two copies after {} steps: {path:#?}",
                path.len()
            );
        }
    }
}

#[test]
fn a_worker_that_takes_old_epochs_doubles_a_task() {
    counterexample(Without::EpochCheck);
}

#[test]
fn commands_without_an_end_double_a_task() {
    counterexample(Without::CommandOutcome);
}

#[test]
fn a_successor_that_does_not_wait_out_the_hold_doubles_a_task() {
    counterexample(Without::HoldWait);
}

#[test]
fn a_lease_counted_from_the_answer_doubles_a_task() {
    counterexample(Without::LeaseFromSend);
}

#[test]
fn silence_taken_for_death_doubles_a_task() {
    counterexample(Without::DeathEvidence);
}
