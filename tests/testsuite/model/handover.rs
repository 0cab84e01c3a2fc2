//! The delegation of a long-running task from one shard to others and its return, explored
//! exhaustively over the real ledgers.
//!
//! The state of a shard is what its journal holds, so the end of an owner between any two writes is
//! covered. A call may arrive at any later time and again after it was answered, and its answer may
//! be lost.

use super::explore::{Graph, Search, explore};
use crate::sched::world::{step, terms};
use lapisdrum::sched::{
    event::{Event, Loss, RunId, WorkerIncarnation},
    job::{JobId, JobSpec, RawJob, RunNumber, Schedule, TaskId},
    layout::ShardId,
    ledger::{Job, Ledger, Phase, Task},
};
use std::{collections::BTreeSet, rc::Rc};

const JOB: JobId = JobId(1);
const TASK: TaskId = TaskId {
    job: JOB,
    occurrence: 1,
    step: 0,
    index: 0,
};
/// Tasks of the job that are never delegated, one of the same and one of another occurrence.
const OTHERS: [TaskId; 2] = [
    TaskId { index: 1, ..TASK },
    TaskId {
        occurrence: 2,
        ..TASK
    },
];
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
    /// Without: a return is in the journal before the job's shard is called.
    ReturnJournalFirst,
    /// Without: a return uses up a number of its own, so that a repeated one has the same number as
    /// the delegation that follows it.
    ReturnNumber,
    /// Without: a shard adopts no task that it returned since the call was sent.
    AdoptComparison,
    /// Without: the job's shard takes no task back that it delegated again since the call was sent.
    TakeBackComparison,
    /// Without: the job's shard remembers a shard that has returned its tasks.
    ReturnedBy,
}

/// A call between the first shard and the one given in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Call {
    Adopt { to: usize, last_run: u32 },
    End { to: usize, last_run: Option<u32> },
    Return { from: usize, last_run: u32 },
}

/// Maximum number of shards; the first one owns the job.
const MAX_SHARDS: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The journaled state of the shards as JSON.
    ledgers: [String; MAX_SHARDS],
    /// Calls that may still arrive.
    calls: BTreeSet<Call>,
    /// Whether each shard has confirmed the end of the job.
    is_end_confirmed: [bool; MAX_SHARDS],
}

/// The name of a step, and the state after it.
type Step = (String, State);

fn spec() -> Rc<JobSpec> {
    let mut long_running = step(2, 600_000, &[]);
    long_running.is_long_running = true;
    let schedule = Schedule {
        first_unix_ms: 0,
        interval_ms: 1,
        times: 3,
    };
    let raw = RawJob {
        payload: "work".to_owned(),
        steps: vec![long_running],
        schedule: Some(schedule),
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
        data_centre: None,
        moved_from: None,
    };
    first.apply(&accepted).expect("it is new");
    State {
        ledgers: [&first, &Ledger::default(), &Ledger::default()].map(text),
        calls: BTreeSet::new(),
        is_end_confirmed: [false; MAX_SHARDS],
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

    /// The state after a change of one shard's job that its ledger does not allow.
    fn forced(&self, shard: usize, change: impl FnOnce(&mut Job)) -> Self {
        let mut ledger = self.ledger(shard);
        change(ledger.jobs.get_mut(&JOB).expect("the job"));
        let mut next = self.clone();
        next.ledgers[shard] = text(&ledger);
        next
    }

    /// The shard to which the job's shard, or one that adopted the task, has passed it on.
    fn elsewhere(&self, shard: usize) -> Option<ShardId> {
        let ledger = self.ledger(shard);
        ledger.task(&TASK).and_then(|task| task.elsewhere)
    }

    /// Shards to which the task was ever delegated, by the record of the job's shard.
    fn adopters(&self) -> Vec<usize> {
        let ledger = self.ledger(0);
        let job = ledger.jobs.get(&JOB);
        let delegated = job.map(|job| job.delegated(JOB)).unwrap_or_default();
        delegated.keys().map(|shard| shard.0 as usize).collect()
    }

    fn is_end_known(&self) -> bool {
        let mut adopters = self.adopters().into_iter();
        adopters.all(|shard| self.is_end_confirmed[shard])
    }
}

fn adopted(last_run: Option<u32>) -> Event {
    Event::Adopted {
        job: JOB,
        spec: spec(),
        terms: terms(),
        from: ShardId(0),
        tasks: last_run
            .map(|run| (TASK, RunNumber(run)))
            .into_iter()
            .collect(),
        at_unix_ms: 0,
    }
}

fn shard_id(shard: usize) -> ShardId {
    ShardId(shard as _)
}

const CANCELLED: Event = Event::Cancelled {
    job: JOB,
    at_unix_ms: 0,
};

struct Spec {
    without: Option<Without>,
    /// Number of shards.
    shards: usize,
    /// Whether the job may be cancelled.
    may_cancel: bool,
}

impl Spec {
    fn lacks(&self, safeguard: Without) -> bool {
        self.without == Some(safeguard)
    }

    fn next(&self, state: &State) -> Vec<Step> {
        let mut next = Vec::new();
        for shard in 0..self.shards {
            next.extend(place(state, shard));
            next.extend(lose(state, shard));
            next.extend(forget(state, shard));
        }
        for other in 1..self.shards {
            next.extend(delegate(state, other));
            next.extend(self.give_back(state, other));
            next.extend(self.send(state, other));
            next.extend(self.send_return(state, other));
            next.extend(place_others(state, other));
        }
        let may_cancel = self.may_cancel && state.phase(0) == Some(Phase::Active);
        let cancelled = may_cancel.then(|| state.after(0, &[CANCELLED])).flatten();
        next.extend(cancelled.map(|after| ("cancel".to_owned(), after)));
        for call in &state.calls {
            next.push((format!("arrive {call:?}"), self.arrive(state, *call)));
            let mut dropped = state.clone();
            dropped.calls.remove(call);
            next.push((format!("vanish {call:?}"), dropped));
        }
        next
    }

    fn send(&self, state: &State, to: usize) -> Option<Step> {
        let is_there = state.elsewhere(0) == Some(shard_id(to));
        let lacks_journal = self.lacks(Without::JournalFirst)
            && !state.is_alive(0)
            && state.elsewhere(0).is_none()
            && state.last_run(0).0 > 0;
        let last_run = state.last_run(0).0;
        let (call, may_send) = match state.phase(0)? {
            Phase::Active => (Call::Adopt { to, last_run }, is_there || lacks_journal),
            _ => {
                let last_run = is_there.then_some(last_run);
                let may_send = state.adopters().contains(&to) || lacks_journal;
                (Call::End { to, last_run }, may_send)
            }
        };
        if !may_send || state.is_end_confirmed[to] {
            return None;
        }
        let mut sent = state.clone();
        sent.calls.insert(call);
        Some((format!("send {call:?}"), sent))
    }

    /// Journals the return of the task.
    fn give_back(&self, state: &State, from: usize) -> Option<Step> {
        let last = state.last_run(from);
        let is_here = state.elsewhere(from).is_none() && !state.is_alive(from);
        let is_active = state.phase(from) == Some(Phase::Active);
        if !is_here || !is_active || last.0 >= MAX_RUNS {
            return None;
        }
        let returned = Event::Returned {
            task: TASK,
            to: ShardId(0),
            last_run: last.next(),
        };
        let after = match self.lacks(Without::ReturnNumber) {
            true => state.forced(from, |job| task_of(job).elsewhere = Some(ShardId(0))),
            false => state.after(from, &[returned])?,
        };
        Some((format!("give back {from}"), after))
    }

    fn send_return(&self, state: &State, from: usize) -> Option<Step> {
        let last = state.last_run(from);
        if state.phase(from) != Some(Phase::Active) || last.0 == 0 {
            return None;
        }
        let may_send_early = self.lacks(Without::ReturnJournalFirst) && !state.is_alive(from);
        let last_run = match state.elsewhere(from) {
            Some(_) => last.0,
            None if may_send_early => last.next().0,
            None => return None,
        };
        let call = Call::Return { from, last_run };
        let mut sent = state.clone();
        sent.calls.insert(call);
        Some((format!("send {call:?}"), sent))
    }

    /// Applies a call, which may arrive again later. The end counts as confirmed once such a call
    /// has arrived.
    fn arrive(&self, state: &State, call: Call) -> State {
        let arrived = match call {
            Call::Adopt { to, last_run } if self.lacks(Without::Tombstone) => {
                let has_ended = state.phase(to) == Some(Phase::Cancelled);
                let forgotten =
                    has_ended.then(|| state.after(to, &[Event::Forgotten { job: JOB }]));
                let base = forgotten.flatten().unwrap_or_else(|| state.clone());
                base.after(to, &[adopted(Some(last_run))])
            }
            Call::Adopt { to, last_run } => self.adopt(state, to, last_run),
            Call::End { to, .. } if self.lacks(Without::TasksWithEnd) => Some(
                state
                    .after(to, &[CANCELLED])
                    .unwrap_or_else(|| state.clone()),
            ),
            Call::End { to, last_run } => state.after(to, &[adopted(last_run), CANCELLED]),
            Call::Return { from, last_run } => self.take_back(state, from, last_run),
        };
        let mut arrived = arrived.unwrap_or_else(|| state.clone());
        if let Call::End { to, .. } = call {
            arrived.is_end_confirmed[to] = true;
        }
        arrived
    }

    fn adopt(&self, state: &State, to: usize, last_run: u32) -> Option<State> {
        let is_returned = state.elsewhere(to).is_some();
        if self.lacks(Without::AdoptComparison) && is_returned {
            return Some(state.forced(to, |job| {
                let task = task_of(job);
                task.elsewhere = None;
                task.last_run = RunNumber(last_run);
            }));
        }
        state.after(to, &[adopted(Some(last_run))])
    }

    fn take_back(&self, state: &State, from: usize, last_run: u32) -> Option<State> {
        let is_there = state.elsewhere(0) == Some(shard_id(from));
        let is_active = state.phase(0) == Some(Phase::Active);
        let own = state.last_run(0).0;
        let is_taken = self.lacks(Without::TakeBackComparison)
            || (self.lacks(Without::ReturnNumber) && last_run >= own);
        if is_taken && is_there && is_active {
            return Some(state.forced(0, |job| {
                let task = task_of(job);
                task.elsewhere = None;
                task.last_run = RunNumber(last_run.max(own));
            }));
        }
        let taken_back = Event::TakenBack {
            task: TASK,
            from: shard_id(from),
            last_run: RunNumber(last_run),
        };
        let after = state.after(0, &[taken_back])?;
        Some(match self.lacks(Without::ReturnedBy) {
            true => after.forced(0, |job| job.returned_by.clear()),
            false => after,
        })
    }
}

fn task_of(job: &mut Job) -> &mut Task {
    let occurrence = job.occurrences.get_mut(&TASK.occurrence);
    &mut occurrence.expect("the occurrence").steps[0].tasks[0]
}

fn delegate(state: &State, to: usize) -> Option<Step> {
    let delegated = Event::Delegated {
        task: TASK,
        to: shard_id(to),
    };
    let ran = state.last_run(0) > RunNumber::default();
    let after = ran.then(|| state.after(0, &[delegated])).flatten()?;
    Some((format!("delegate {to}"), after))
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

/// Places tasks that were not delegated to this shard.
fn place_others(state: &State, shard: usize) -> impl Iterator<Item = Step> {
    OTHERS.into_iter().filter_map(move |task| {
        let run = RunId {
            task,
            run: RunNumber(1),
        };
        let on = WorkerIncarnation {
            worker: format!("w{shard}"),
            started_unix_ms: 1,
        };
        let placed = state.after(shard, &[Event::Placed { run, on }])?;
        Some((format!("place {task} in {shard}"), placed))
    })
}

fn lose(state: &State, shard: usize) -> Option<Step> {
    let run = RunId {
        task: TASK,
        run: state.last_run(shard),
    };
    let lost = Event::Lost {
        run,
        why: Loss::Lapsed,
        is_unstarted: false,
    };
    let is_alive = state.is_alive(shard);
    let after = is_alive.then(|| state.after(shard, &[lost])).flatten()?;
    Some((format!("lose {shard}"), after))
}

/// A job is forgotten minutes after its end: no earlier call is in flight then, and the first shard
/// keeps a delegated job until the others have confirmed its end.
fn forget(state: &State, shard: usize) -> Option<Step> {
    let has_ended = state
        .phase(shard)
        .is_some_and(|phase| phase != Phase::Active);
    let is_settled = match shard {
        0 => state.is_end_known(),
        other => state.is_end_confirmed[other],
    };
    if !has_ended || !is_settled || !state.calls.is_empty() || state.is_alive(shard) {
        return None;
    }
    let forgotten = state.after(shard, &[Event::Forgotten { job: JOB }])?;
    Some((format!("forget {shard}"), forgotten))
}

/// Two shards run the task, one that adopted it runs another of the job, or the job is active again
/// after its end was confirmed.
fn is_broken(state: &State) -> bool {
    let shards = 0..MAX_SHARDS;
    let running = shards.clone().filter(|shard| state.is_alive(*shard));
    let revived =
        |shard: usize| state.is_end_confirmed[shard] && state.phase(shard) == Some(Phase::Active);
    let runs_other = |shard: usize| {
        let ledger = state.ledger(shard);
        let mut runs = ledger.live_runs();
        runs.any(|(run, _)| run.task != TASK)
    };
    running.count() > 1 || shards.into_iter().any(|s| revived(s) || runs_other(s))
}

/// The job has ended in all shards, and the first knows so.
fn is_settled(state: &State) -> bool {
    let mut shards = 0..MAX_SHARDS;
    shards.all(|shard| state.phase(shard) != Some(Phase::Active)) && state.is_end_known()
}

/// A shard runs the task, or has run it as often as the search allows.
fn has_run_again(state: &State) -> bool {
    let mut shards = 0..MAX_SHARDS;
    shards.any(|shard| state.is_alive(shard) || state.last_run(shard).0 >= MAX_RUNS)
}

fn whole(spec: &Spec) -> Graph<State> {
    match explore(start(), |s| spec.next(s), is_broken) {
        Search::Whole(graph) => {
            println!(
                "{} shards: {} states, {} steps",
                spec.shards,
                graph.states.len(),
                graph.steps.len()
            );
            graph
        }
        Search::Broken(path) => panic!("broken after {} steps: {path:#?}", path.len()),
    }
}

#[test]
fn a_delegated_task_has_one_shard_and_ends_with_its_job() {
    for shards in 2..=MAX_SHARDS {
        let graph = whole(&Spec {
            without: None,
            shards,
            may_cancel: true,
        });
        assert!(graph.count(|s| s.is_alive(1)) > 0);
        assert!(graph.count(|s| s.is_end_confirmed[1]) > 0);
        assert!(graph.count(|s| s.is_alive(0) && s.last_run(1).0 > 0) > 0);
        assert!(graph.stuck(is_settled).is_none());
    }
}

#[test]
fn a_task_that_is_interrupted_anywhere_can_run_again() {
    let graph = whole(&Spec {
        without: None,
        shards: MAX_SHARDS,
        may_cancel: false,
    });
    assert!(graph.count(|s| s.is_alive(2) && s.last_run(1).0 > 0) > 0);
    assert!(graph.stuck(has_run_again).is_none());
}

#[test]
fn each_safeguard_of_the_delegation_is_needed() {
    for without in [
        Without::JournalFirst,
        Without::TasksWithEnd,
        Without::Tombstone,
        Without::ReturnJournalFirst,
        Without::ReturnNumber,
        Without::AdoptComparison,
        Without::TakeBackComparison,
    ] {
        let spec = Spec {
            without: Some(without),
            shards: 2,
            may_cancel: true,
        };
        match explore(start(), |s| spec.next(s), is_broken) {
            Search::Whole(_) => panic!("{without:?}: no counterexample"),
            Search::Broken(path) => println!("without {without:?}: {path:?}"),
        }
    }
}

#[test]
fn the_end_of_a_job_needs_the_record_of_all_adopters() {
    let graph = whole(&Spec {
        without: Some(Without::ReturnedBy),
        shards: 2,
        may_cancel: true,
    });
    assert!(graph.stuck(is_settled).is_some());
}
