//! The delegation of a long-running task from one shard to another, explored exhaustively over the
//! real ledgers.
//!
//! The state of a shard is what its journal holds, so the end of an owner between any two writes is
//! covered. A call may arrive at any later time and again after it was answered, and its answer may
//! be lost.

use super::explore::{Search, explore};
use crate::sched::world::{step, terms};
use lapisdrum::sched::{
    event::{Event, Loss, RunId, WorkerIncarnation},
    job::{JobId, JobSpec, RawJob, RunNumber, TaskId},
    layout::ShardId,
    ledger::{Ledger, Phase},
};
use std::{collections::BTreeSet, rc::Rc};

const JOB: JobId = JobId(1);
const TASK: TaskId = TaskId {
    job: JOB,
    occurrence: 0,
    step: 0,
    index: 0,
};
/// Runs after which the task is not placed again; bounds the search.
const MAX_RUNS: u32 = 3;

/// A safeguard that a specification leaves out, to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    /// Without: the decision is in the journal before the other shard is called.
    JournalFirst,
    /// Without: a call that ends the job also names its tasks.
    TasksWithEnd,
    /// Without: a repeated delegation does not revive a job that has ended.
    Tombstone,
}

/// A call from the first shard to the second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Call {
    Adopt { last_run: u32 },
    End { last_run: u32 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The journaled state of both shards as JSON.
    ledgers: [String; 2],
    /// Calls that may still arrive.
    calls: BTreeSet<Call>,
    /// Whether the second shard has confirmed the end of the job.
    is_end_confirmed: bool,
}

/// The name of a step, and the state after it.
type Step = (String, State);

fn spec() -> Rc<JobSpec> {
    let mut long_running = step(1, 600_000, &[]);
    long_running.is_long_running = true;
    let raw = RawJob {
        payload: "work".to_owned(),
        steps: vec![long_running],
        schedule: None,
    };
    Rc::new(JobSpec::try_from(raw).expect("a good job"))
}

fn start() -> State {
    let mut first = Ledger::default();
    let accepted = Event::Accepted {
        job: JOB,
        spec: spec(),
        terms: terms(),
        at_unix_ms: 0,
    };
    first.apply(&accepted).expect("it is new");
    State {
        ledgers: [text(&first), text(&Ledger::default())],
        calls: BTreeSet::new(),
        is_end_confirmed: false,
    }
}

fn text(ledger: &Ledger) -> String {
    serde_json::to_string(ledger).expect("a text form")
}

impl State {
    fn ledger(&self, shard: usize) -> Ledger {
        serde_json::from_str(&self.ledgers[shard]).expect("it is read back")
    }

    /// The state after events in the journal of one shard, or `None` if the first is invalid.
    fn after(&self, shard: usize, events: &[Event]) -> Option<Self> {
        let mut ledger = self.ledger(shard);
        for (at, event) in events.iter().enumerate() {
            let applied = ledger.apply(event);
            if at == 0 && applied.is_err() {
                return None;
            }
        }
        let mut next = self.clone();
        next.ledgers[shard] = text(&ledger);
        Some(next)
    }

    fn phase(&self, shard: usize) -> Option<Phase> {
        self.ledger(shard).jobs.get(&JOB).map(|job| job.phase)
    }

    fn is_alive(&self, shard: usize) -> bool {
        let ledger = self.ledger(shard);
        let task = ledger.task(&TASK);
        task.is_some_and(|task| !task.live.is_empty())
    }

    fn last_run(&self, shard: usize) -> RunNumber {
        let ledger = self.ledger(shard);
        ledger
            .task(&TASK)
            .map_or(RunNumber::default(), |t| t.last_run)
    }

    fn is_delegated(&self) -> bool {
        let ledger = self.ledger(0);
        let job = ledger.jobs.get(&JOB);
        job.is_some_and(|job| !job.delegated(JOB).is_empty())
    }
}

fn adopted(last_run: u32) -> Event {
    Event::Adopted {
        job: JOB,
        spec: spec(),
        terms: terms(),
        from: ShardId(0),
        tasks: vec![(TASK, RunNumber(last_run))],
        at_unix_ms: 0,
    }
}

const CANCELLED: Event = Event::Cancelled {
    job: JOB,
    at_unix_ms: 0,
};

struct Spec {
    without: Option<Without>,
}

impl Spec {
    fn lacks(&self, safeguard: Without) -> bool {
        self.without == Some(safeguard)
    }

    fn next(&self, state: &State) -> Vec<Step> {
        let mut next = Vec::new();
        for shard in 0..2 {
            next.extend(place(state, shard));
            next.extend(lose(state, shard));
            next.extend(forget(state, shard));
        }
        let delegated = Event::Delegated {
            task: TASK,
            to: ShardId(1),
        };
        let ran = state.last_run(0) > RunNumber::default();
        let after = ran.then(|| state.after(0, &[delegated])).flatten();
        next.extend(after.map(|after| ("delegate".to_owned(), after)));
        let cancelled = (state.phase(0) == Some(Phase::Active))
            .then(|| state.after(0, &[CANCELLED]))
            .flatten();
        next.extend(cancelled.map(|after| ("cancel".to_owned(), after)));
        next.extend(self.send(state));
        for call in &state.calls {
            next.push((format!("arrive {call:?}"), self.arrive(state, *call)));
            let mut dropped = state.clone();
            dropped.calls.remove(call);
            next.push((format!("vanish {call:?}"), dropped));
        }
        next
    }

    fn send(&self, state: &State) -> Option<Step> {
        let may_send = state.is_delegated()
            || (self.lacks(Without::JournalFirst) && !state.is_alive(0) && state.last_run(0).0 > 0);
        let last_run = state.last_run(0).0;
        let call = match state.phase(0)? {
            Phase::Active => Call::Adopt { last_run },
            _ => Call::End { last_run },
        };
        if !may_send || state.is_end_confirmed {
            return None;
        }
        let mut sent = state.clone();
        sent.calls.insert(call);
        Some((format!("send {call:?}"), sent))
    }

    /// Applies a call, which may arrive again later. The end counts as confirmed once such a call
    /// has arrived.
    fn arrive(&self, state: &State, call: Call) -> State {
        let arrived = match call {
            Call::Adopt { last_run } if self.lacks(Without::Tombstone) => {
                let has_ended = state.phase(1) == Some(Phase::Cancelled);
                let forgotten = has_ended.then(|| state.after(1, &[Event::Forgotten { job: JOB }]));
                let base = forgotten.flatten().unwrap_or_else(|| state.clone());
                base.after(1, &[adopted(last_run)])
            }
            Call::Adopt { last_run } => state.after(1, &[adopted(last_run)]),
            Call::End { .. } if self.lacks(Without::TasksWithEnd) => Some(
                state
                    .after(1, &[CANCELLED])
                    .unwrap_or_else(|| state.clone()),
            ),
            Call::End { last_run } => state.after(1, &[adopted(last_run), CANCELLED]),
        };
        let mut arrived = arrived.unwrap_or_else(|| state.clone());
        arrived.is_end_confirmed |= matches!(call, Call::End { .. });
        arrived
    }
}

fn place(state: &State, shard: usize) -> Option<Step> {
    let last = state.last_run(shard);
    if last.0 >= MAX_RUNS {
        return None;
    }
    let run = RunId {
        task: TASK,
        run: last.next(),
    };
    let on = WorkerIncarnation {
        worker: format!("w{shard}"),
        started_unix_ms: 1,
    };
    let placed = state.after(shard, &[Event::Placed { run, on }])?;
    Some((format!("place {shard}"), placed))
}

fn lose(state: &State, shard: usize) -> Option<Step> {
    let run = RunId {
        task: TASK,
        run: state.last_run(shard),
    };
    let lost = Event::Lost {
        run,
        why: Loss::Lapsed,
    };
    let is_alive = state.is_alive(shard);
    let after = is_alive.then(|| state.after(shard, &[lost])).flatten()?;
    Some((format!("lose {shard}"), after))
}

/// A job is forgotten minutes after its end: no earlier call is in flight then, and the first shard
/// keeps a delegated job until the second has confirmed its end.
fn forget(state: &State, shard: usize) -> Option<Step> {
    let has_ended = state
        .phase(shard)
        .is_some_and(|phase| phase != Phase::Active);
    let is_settled = state.is_end_confirmed || (shard == 0 && !state.is_delegated());
    if !has_ended || !is_settled || !state.calls.is_empty() || state.is_alive(shard) {
        return None;
    }
    let forgotten = state.after(shard, &[Event::Forgotten { job: JOB }])?;
    Some((format!("forget {shard}"), forgotten))
}

/// Both shards run the task, or the job is active again after its end was confirmed.
fn is_broken(state: &State) -> bool {
    let both = state.is_alive(0) && state.is_alive(1);
    let revived = state.is_end_confirmed && state.phase(1) == Some(Phase::Active);
    both || revived
}

/// The job has ended in both shards, and the first knows so.
fn is_settled(state: &State) -> bool {
    let has_ended_in = |shard| state.phase(shard) != Some(Phase::Active);
    has_ended_in(0) && has_ended_in(1) && (state.is_end_confirmed || !state.is_delegated())
}

#[test]
fn a_delegated_task_has_one_shard_and_ends_with_its_job() {
    let spec = Spec { without: None };
    let graph = match explore(start(), |s| spec.next(s), is_broken) {
        Search::Whole(graph) => graph,
        Search::Broken(path) => panic!("broken after {} steps: {path:#?}", path.len()),
    };
    println!(
        "delegation: {} states, {} steps",
        graph.states.len(),
        graph.steps.len()
    );
    assert!(graph.count(|s| s.is_alive(1)) > 0);
    assert!(graph.count(|s| s.is_end_confirmed) > 0);
    assert!(graph.stuck(is_settled).is_none());
}

#[test]
fn each_safeguard_of_the_delegation_is_needed() {
    for without in [
        Without::JournalFirst,
        Without::TasksWithEnd,
        Without::Tombstone,
    ] {
        let spec = Spec {
            without: Some(without),
        };
        match explore(start(), |s| spec.next(s), is_broken) {
            Search::Whole(_) => panic!("{without:?}: no counterexample"),
            Search::Broken(path) => println!("without {without:?}: {path:?}"),
        }
    }
}
