//! The move of a waiting job from its home to another shard, explored exhaustively over the real
//! ledgers, with a caller who asks for the job's state, repeats its submission and cancels it.
//!
//! The state of a shard is what its journal holds, so the end of an owner between any two writes is
//! covered; the home's confirmation may also be known to its owner only. A call may arrive at any
//! later time and again after it was answered, and any call and answer may be lost.

use super::explore::{Graph, Search, explore};
use crate::sched::world::{step, terms};
use lapisdrum::sched::{
    event::{Event, RunEnd, RunId, WorkerIncarnation},
    job::{JobId, JobSpec, RawJob, RunNumber, TaskId},
    layout::ShardId,
    ledger::{Ledger, MovingJob, Phase, SentJob},
};
use std::{collections::BTreeSet, rc::Rc};

const JOB: JobId = JobId(1);
const RUN: RunId = RunId {
    task: TaskId {
        job: JOB,
        occurrence: 0,
        step: 0,
        index: 0,
    },
    run: RunNumber(1),
};
const HOME: usize = 0;
const OTHER: usize = 1;

/// A safeguard that a specification leaves out, to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    /// Without: the decision is in the journal before the other shard is called.
    JournalFirst,
    /// Without: only a job of which no task was placed moves.
    OnlyUnplaced,
    /// Without: the home keeps the job until the other shard has confirmed it.
    KeptUntilConfirmed,
    /// Without: the other shard confirms once the acceptance is in its journal.
    ConfirmedWhenDurable,
    /// Without: a repeated call for a job that the other shard knows changes nothing.
    KnownJob,
    /// Without: the home accepts a repeated submission of a job on its way itself.
    AcceptedWhileMoving,
    /// Without: the home knows to which shard the job went.
    Sent,
    /// Without: the home doesn't forget that while the job is on its way.
    SentWhileMoving,
    /// Without: a cancellation waits for the confirmation.
    CancelWaits,
    /// Without: the home asks the other shard for the state of a job on its way.
    StateAsked,
    /// Without: a state from the other shard counts only with an answer from it.
    StateRefused,
    /// Without: the other shard asks the home before it forgets an ended job.
    HomeAsked,
    /// Without: the home answers that once its journal says so.
    AnsweredWhenDurable,
    /// Without: a job that moved never moves again. Its home refuses one that comes back, as sent away.
    Once,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Call {
    Take,
    Confirm,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Wish {
    Show,
    Cancel,
    Submit,
}

/// A caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Caller {
    Idle,
    /// The home said that it doesn't know the job, or that it sent it away, or gave no answer; the
    /// other shard is asked next.
    AtOther {
        wish: Wish,
        has_home_answered: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shown {
    Queued,
    Running,
    Ended,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The journaled state of the shards as JSON.
    ledgers: [String; 2],
    /// The home's state with a confirmation that is not in its journal yet.
    unwritten: Option<String>,
    /// Calls and answers that may still arrive.
    calls: BTreeSet<Call>,
    caller: Caller,
    /// Where the task runs.
    runs_in: [bool; 2],
    is_cancelled: bool,
    has_ended: bool,
    is_forgotten: bool,
    wrong: Option<&'static str>,
}

/// The name of a step, and the state after it.
type Step = (String, State);

fn spec() -> Rc<JobSpec> {
    let raw = RawJob {
        payload: "work".to_owned(),
        steps: vec![step(1, 100, &[])],
        schedule: None,
    };
    Rc::new(JobSpec::try_from(raw).expect("a good job"))
}

fn accepted(moved_from: Option<ShardId>) -> Event {
    Event::Accepted {
        job: JOB,
        spec: spec(),
        terms: terms(),
        at_unix_ms: 0,
        data_centre: None,
        moved_from,
    }
}

const MOVED: Event = Event::Moved {
    job: JOB,
    to: ShardId(1),
    at_unix_ms: 0,
};
const MOVE_CONFIRMED: Event = Event::MoveConfirmed { job: JOB };
const CANCELLED: Event = Event::Cancelled {
    job: JOB,
    at_unix_ms: 0,
};
const FORGOTTEN: Event = Event::Forgotten { job: JOB };

fn start() -> State {
    let mut home = Ledger::default();
    home.apply(&accepted(None)).expect("it is new");
    State {
        ledgers: [&home, &Ledger::default()].map(text),
        unwritten: None,
        calls: BTreeSet::new(),
        caller: Caller::Idle,
        runs_in: [false; 2],
        is_cancelled: false,
        has_ended: false,
        is_forgotten: false,
        wrong: None,
    }
}

fn text(ledger: &Ledger) -> String {
    serde_json::to_string(ledger).expect("a text form")
}

fn parsed(text: &str) -> Ledger {
    serde_json::from_str(text).expect("it is read back")
}

impl State {
    fn ledger(&self, shard: usize) -> Ledger {
        parsed(&self.ledgers[shard])
    }

    /// What the home's owner knows.
    fn home(&self) -> Ledger {
        parsed(self.unwritten.as_ref().unwrap_or(&self.ledgers[HOME]))
    }

    fn has(&self, shard: usize) -> bool {
        self.ledger(shard).jobs.contains_key(&JOB)
    }

    fn is_moving(&self) -> bool {
        self.home().moving.contains_key(&JOB)
    }

    fn phase(&self, shard: usize) -> Option<Phase> {
        self.ledger(shard).jobs.get(&JOB).map(|job| job.phase)
    }

    /// The state after an event in the journal of a shard, or `None` if it is invalid.
    fn after(&self, shard: usize, event: &Event) -> Option<Self> {
        let mut ledger = self.ledger(shard);
        ledger.apply(event).ok()?;
        Some(self.forced(shard, &ledger))
    }

    fn forced(&self, shard: usize, ledger: &Ledger) -> Self {
        let mut next = self.clone();
        next.ledgers[shard] = text(ledger);
        next
    }

    fn shown(&self, shard: usize) -> Option<Shown> {
        Some(match self.phase(shard)? {
            Phase::Active if self.runs_in[shard] => Shown::Running,
            Phase::Active => Shown::Queued,
            _ => Shown::Ended,
        })
    }

    fn answered(mut self, shown: Shown) -> Self {
        self.caller = Caller::Idle;
        if self.is_cancelled && shown != Shown::Ended {
            self.wrong = Some("a cancelled job is shown as active");
        }
        if self.has_ended && shown == Shown::Queued {
            self.wrong = Some("an ended job is shown as queued");
        }
        self
    }

    fn not_found(mut self) -> Self {
        self.caller = Caller::Idle;
        if !self.is_forgotten {
            self.wrong = Some("an accepted job is unknown");
        }
        self
    }

    /// After a cancellation in a shard's journal.
    fn cancelled(&self, shard: usize) -> Option<Self> {
        let mut next = self.after(shard, &CANCELLED)?;
        next.runs_in[shard] = false;
        next.has_ended = true;
        Some(next)
    }

    fn idle(mut self) -> Self {
        self.caller = Caller::Idle;
        self
    }

    fn acknowledged(mut self) -> Self {
        self.caller = Caller::Idle;
        // An ended job stays as it is.
        self.is_cancelled = true;
        self
    }

    fn at_other(mut self, wish: Wish, has_home_answered: bool) -> Self {
        self.caller = Caller::AtOther {
            wish,
            has_home_answered,
        };
        self
    }
}

struct Spec {
    without: Option<Without>,
}

impl Spec {
    fn lacks(&self, safeguard: Without) -> bool {
        self.without == Some(safeguard)
    }

    fn next(&self, state: &State) -> Vec<Step> {
        if state.wrong.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        next.extend(self.start_move(state));
        next.extend(self.move_back(state));
        next.extend(arrive_back(state));
        next.extend(self.send(state));
        for shard in [HOME, OTHER] {
            next.extend(place(state, shard));
            next.extend(complete(state, shard));
        }
        next.extend(self.forget_at_home(state));
        next.extend(self.forget_at_other(state));
        next.extend(self.write(state));
        match state.caller {
            Caller::Idle => {
                for wish in [Wish::Show, Wish::Cancel, Wish::Submit] {
                    let asked = self.ask_home(state, wish).into_iter();
                    next.extend(asked.map(|after| (format!("ask home: {wish:?}"), after)));
                }
            }
            Caller::AtOther {
                wish,
                has_home_answered,
            } => {
                next.push((format!("no answer: {wish:?}"), state.clone().idle()));
                let asked = self.ask_other(state, wish, has_home_answered);
                next.extend(asked.map(|after| (format!("ask other: {wish:?}"), after)));
            }
        }
        for call in &state.calls {
            next.push((format!("arrive {call:?}"), self.arrive(state, *call)));
            let mut dropped = state.clone();
            dropped.calls.remove(call);
            next.push((format!("vanish {call:?}"), dropped));
        }
        next
    }

    fn start_move(&self, state: &State) -> Option<Step> {
        let after = match self.lacks(Without::OnlyUnplaced) && state.runs_in[HOME] {
            true => {
                let mut ledger = state.ledger(HOME);
                ledger.jobs.shift_remove(&JOB)?;
                let to = ShardId(1);
                ledger.sent.insert(JOB, SentJob { to, at_unix_ms: 0 });
                ledger.moving.insert(JOB, moving());
                state.forced(HOME, &ledger)
            }
            false => state.after(HOME, &MOVED)?,
        };
        Some(("move".to_owned(), after))
    }

    fn move_back(&self, state: &State) -> Option<Step> {
        let mut ledger = state.ledger(OTHER);
        if self.lacks(Without::Once) {
            ledger.jobs.get_mut(&JOB)?.moved_from = None;
        }
        let back = Event::Moved {
            job: JOB,
            to: ShardId(0),
            at_unix_ms: 0,
        };
        ledger.apply(&back).ok()?;
        Some(("move back".to_owned(), state.forced(OTHER, &ledger)))
    }

    fn send(&self, state: &State) -> Option<Step> {
        let is_early = self.lacks(Without::JournalFirst)
            && state.phase(HOME) == Some(Phase::Active)
            && !state.runs_in[HOME];
        if !state.is_moving() && !is_early {
            return None;
        }
        let mut sent = state.clone();
        if self.lacks(Without::KeptUntilConfirmed) {
            sent = state.after(HOME, &MOVE_CONFIRMED)?;
        }
        sent.calls.insert(Call::Take);
        Some(("send".to_owned(), sent))
    }

    /// Applies a call or an answer, which may arrive again later.
    fn arrive(&self, state: &State, call: Call) -> State {
        match call {
            Call::Take => {
                let mut taken = self.take(state);
                taken.calls.insert(Call::Confirm);
                taken
            }
            Call::Confirm => self.confirm(state),
        }
    }

    fn take(&self, state: &State) -> State {
        let event = accepted(Some(ShardId(0)));
        if self.lacks(Without::ConfirmedWhenDurable) && !state.has(OTHER) {
            return state.clone();
        }
        if self.lacks(Without::KnownJob) && state.has(OTHER) {
            let mut ledger = state.ledger(OTHER);
            ledger.jobs.shift_remove(&JOB);
            ledger.apply(&event).expect("it is new");
            return state.forced(OTHER, &ledger);
        }
        state.after(OTHER, &event).unwrap_or_else(|| state.clone())
    }

    /// The home's owner learns that the other shard has the job.
    fn confirm(&self, state: &State) -> State {
        let mut home = state.home();
        let mut next = state.clone();
        if home.apply(&MOVE_CONFIRMED).is_ok() {
            next.unwritten = Some(text(&home));
        }
        next
    }

    /// The home's confirmation is written, or lost with its owner.
    fn write(&self, state: &State) -> Vec<Step> {
        let Some(unwritten) = state.unwritten.clone() else {
            return Vec::new();
        };
        let mut lost = state.clone();
        lost.unwritten = None;
        let mut written = lost.clone();
        written.ledgers[HOME] = unwritten;
        vec![("write".to_owned(), written), ("lose".to_owned(), lost)]
    }

    fn ask_home(&self, state: &State, wish: Wish) -> Vec<State> {
        let mut next = Vec::new();
        if wish != Wish::Submit {
            next.push(state.clone().at_other(wish, false));
        }
        // Callers don't repeat a submission minutes after the job's end.
        if wish == Wish::Submit && state.is_forgotten {
            return next;
        }
        if state.has(HOME) {
            match wish {
                Wish::Show => {
                    let shown = state.shown(HOME).expect("the job");
                    next.push(state.clone().answered(shown));
                }
                Wish::Cancel if state.phase(HOME) == Some(Phase::Active) => {
                    let cancelled = state.cancelled(HOME).expect("the job");
                    next.push(cancelled.clone().at_other(wish, false));
                    next.push(cancelled.acknowledged());
                }
                Wish::Cancel | Wish::Submit => {}
            }
            return next;
        }
        if state.is_moving() {
            match wish {
                Wish::Show => next.extend(self.show_moving(state)),
                Wish::Cancel if self.lacks(Without::CancelWaits) => {
                    next.push(state.clone().at_other(wish, true));
                }
                Wish::Submit if self.lacks(Without::AcceptedWhileMoving) => {
                    next.push(state.clone().at_other(wish, true));
                }
                // Answered with unknown, and with accepted.
                Wish::Cancel | Wish::Submit => {}
            }
            return next;
        }
        match wish {
            Wish::Show | Wish::Cancel => next.push(state.clone().at_other(wish, true)),
            Wish::Submit => {
                let is_sent = state.home().sent.contains_key(&JOB);
                let is_known = is_sent && !self.lacks(Without::Sent);
                if is_known && state.unwritten.is_none() {
                    next.push(state.clone().at_other(wish, true));
                } else if !is_known && !state.has_ended {
                    let mut ledger = state.ledger(HOME);
                    ledger.sent.clear();
                    ledger.moving.clear();
                    ledger.apply(&accepted(None)).expect("it is new");
                    next.push(state.forced(HOME, &ledger));
                }
            }
        }
        next
    }

    /// The home's answers about a job on its way.
    fn show_moving(&self, state: &State) -> Vec<State> {
        let unasked = state.clone().answered(Shown::Queued);
        if self.lacks(Without::StateAsked) {
            return vec![unasked];
        }
        let told = match state.shown(OTHER) {
            None | Some(Shown::Queued) => state.clone().answered(Shown::Queued),
            Some(shown) => self.confirm(state).answered(shown),
        };
        let mut next = vec![told];
        if self.lacks(Without::StateRefused) {
            next.push(unasked);
        }
        next
    }

    fn ask_other(&self, state: &State, wish: Wish, has_home_answered: bool) -> Option<State> {
        if !state.has(OTHER) {
            return match wish {
                Wish::Submit => {
                    let accepted = state.after(OTHER, &accepted(None));
                    accepted.map(State::idle)
                }
                Wish::Show | Wish::Cancel if has_home_answered => Some(state.clone().not_found()),
                // The home may have it.
                Wish::Show | Wish::Cancel => None,
            };
        }
        Some(match wish {
            Wish::Show => state.clone().answered(state.shown(OTHER)?),
            Wish::Cancel if state.phase(OTHER) == Some(Phase::Active) => {
                state.cancelled(OTHER)?.acknowledged()
            }
            Wish::Cancel | Wish::Submit => state.clone().idle(),
        })
    }

    /// The home forgets where the job went minutes after the decision: callers repeat nothing then.
    fn forget_at_home(&self, state: &State) -> Option<Step> {
        let is_quiet = state.calls.is_empty() && state.caller == Caller::Idle;
        if !is_quiet || state.unwritten.is_some() {
            return None;
        }
        if self.lacks(Without::SentWhileMoving) && state.is_moving() {
            let mut ledger = state.ledger(HOME);
            ledger.sent.shift_remove(&JOB)?;
            return Some(("forget where".to_owned(), state.forced(HOME, &ledger)));
        }
        if !state.has_ended {
            return None;
        }
        let mut after = state.after(HOME, &FORGOTTEN)?;
        after.is_forgotten |= state.has(HOME);
        Some(("forget at home".to_owned(), after))
    }

    /// The other shard forgets the ended job minutes after its end.
    fn forget_at_other(&self, state: &State) -> Option<Step> {
        let is_quiet = state.calls.is_empty() && state.caller == Caller::Idle;
        let is_moving = match self.lacks(Without::AnsweredWhenDurable) {
            true => state.is_moving(),
            false => state.ledger(HOME).moving.contains_key(&JOB),
        };
        if !is_quiet || (is_moving && !self.lacks(Without::HomeAsked)) {
            return None;
        }
        let mut after = state.after(OTHER, &FORGOTTEN)?;
        after.is_forgotten = true;
        Some(("forget at other".to_owned(), after))
    }
}

/// The home takes a job that moves back, if its ledger allows that, and confirms it.
fn arrive_back(state: &State) -> Option<Step> {
    let is_moving = state.ledger(OTHER).moving.contains_key(&JOB);
    let taken = state.after(HOME, &accepted(Some(ShardId(1))));
    let taken = taken.filter(|_| is_moving)?;
    let confirmed = taken.after(OTHER, &MOVE_CONFIRMED)?;
    Some(("arrive back".to_owned(), confirmed))
}

fn moving() -> MovingJob {
    MovingJob {
        spec: spec(),
        terms: terms(),
        accepted_unix_ms: 0,
        to: ShardId(1),
        data_centre: None,
    }
}

fn place(state: &State, shard: usize) -> Option<Step> {
    let on = WorkerIncarnation {
        worker: format!("w{shard}"),
        started_unix_ms: 1,
    };
    let mut placed = state.after(shard, &Event::Placed { run: RUN, on })?;
    placed.runs_in[shard] = true;
    if state.has_ended {
        placed.wrong = Some("the job runs after its end");
    }
    Some((format!("place {shard}"), placed))
}

fn complete(state: &State, shard: usize) -> Option<Step> {
    if !state.runs_in[shard] {
        return None;
    }
    let ended = Event::Ended {
        run: RUN,
        how: RunEnd::Done,
        checkpoint: None,
        at_unix_ms: 0,
    };
    let mut after = state.after(shard, &ended)?;
    after.runs_in[shard] = false;
    after.has_ended = true;
    Some((format!("complete {shard}"), after))
}

/// The job is lost, two shards may run it, or an answer is wrong.
fn is_broken(state: &State) -> bool {
    let is_active = |shard| state.phase(shard) == Some(Phase::Active);
    let is_moving = [HOME, OTHER].iter().any(|shard| {
        let ledger = state.ledger(*shard);
        ledger.moving.contains_key(&JOB)
    });
    let is_lost = !state.has_ended && !is_moving && !is_active(HOME) && !is_active(OTHER);
    let is_twice = (is_active(HOME) && is_active(OTHER)) || state.runs_in == [true; 2];
    is_lost || is_twice || state.wrong.is_some()
}

/// The job has ended, and nothing of a move is left.
fn is_settled(state: &State) -> bool {
    let is_moving = state.ledger(HOME).moving.contains_key(&JOB);
    state.has_ended && !is_moving && state.unwritten.is_none() && state.caller == Caller::Idle
}

fn whole(spec: &Spec) -> Graph<State> {
    match explore(start(), |s| spec.next(s), is_broken) {
        Search::Whole(graph) => {
            let (states, steps) = (graph.states.len(), graph.steps.len());
            println!("{states} states, {steps} steps");
            graph
        }
        Search::Broken(path) => panic!("broken after {} steps: {path:#?}", path.len()),
    }
}

/// Guards against a moved job that is lost, runs in two shards or after its end, or about which a
/// caller is told something wrong.
#[test]
fn a_moved_job_has_one_shard_and_is_answered_for() {
    let graph = whole(&Spec { without: None });
    assert!(graph.count(|s| s.runs_in[OTHER]) > 0);
    assert!(graph.count(|s| s.is_cancelled && s.is_moving()) > 0);
    assert!(graph.count(|s| s.is_forgotten && !s.has(OTHER) && !s.has(HOME)) > 0);
    assert!(graph.stuck(is_settled).is_none());
}

#[test]
fn each_safeguard_of_the_move_is_needed() {
    for without in [
        Without::JournalFirst,
        Without::OnlyUnplaced,
        Without::KeptUntilConfirmed,
        Without::ConfirmedWhenDurable,
        Without::KnownJob,
        Without::AcceptedWhileMoving,
        Without::Sent,
        Without::SentWhileMoving,
        Without::CancelWaits,
        Without::StateAsked,
        Without::StateRefused,
        Without::HomeAsked,
        Without::AnsweredWhenDurable,
        Without::Once,
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
