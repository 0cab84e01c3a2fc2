//! The catalogue's revision: two operators who race on one entry, two daemons, one table.
//!
//! Guards against an accepted change that is undone when an answer is lost, an update comes late or
//! a daemon restarts, and against a wrong outcome for an operator who repeats a change whose answer
//! was lost.

use super::explore::{Search, explore};
use lapisdrum::{
    core::{
        catalogue::RawEntry,
        id::{ChangeId, EntryName, Revision},
    },
    state::catalogue::{Catalogue, EntryRow, check_change},
};

const PAIR: [usize; 2] = [0, 1];

/// A safeguard that a specification leaves out, to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    /// Without: a daemon adopts only a catalogue of a greater revision.
    GreaterOnly,
    /// Without: a change asserts the versions of its entry and of the revision.
    Compare,
    /// Without: a repeat is recognised by its change id.
    ChangeId,
    /// Without: a repeat is recognised even after another change of the entry.
    ChangeRow,
    /// Without: a daemon starts with the catalogue of the table, not of a peer.
    TableAtStart,
}

/// The entry's row: the operator that changed it and the revision of that change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Entry {
    by: usize,
    revision: u8,
}

/// The catalogue at one revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct View {
    revision: u8,
    entry: Option<Entry>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum End {
    Accepted,
    Refused,
}

/// An operator with one change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Operator {
    /// The entry's revision as the operator read it; 0 if there is no entry.
    seen: Option<u8>,
    /// The table that a daemon's transaction for the change asserts.
    sent: Option<View>,
    /// The same for a transaction whose caller timed out and that is still in flight.
    late: Option<View>,
    /// How often the change took effect.
    effects: u8,
    /// The revision of the entry that the change was based on, once it took effect.
    based_on: u8,
    end: Option<End>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Daemon {
    is_ready: bool,
    view: View,
    /// A catalogue in flight to the daemon, from the table or a peer.
    update: Option<View>,
    /// The greatest revision that this daemon served.
    served: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct State {
    table: View,
    operators: [Operator; 2],
    daemons: [Daemon; 2],
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Read { operator: usize, daemon: usize },
    Send(usize),
    TakeEffect { operator: usize, answered: bool },
    GiveUpOnAnswer(usize),
    LateTakesEffect(usize),
    Fetch(usize),
    AskPeer(usize),
    Adopt(usize),
    Restart(usize),
}

struct Spec {
    without: Option<Without>,
    /// Whether a daemon may start with a peer's catalogue. The revisions that it served are then
    /// compared within one run only.
    by_run: bool,
}

fn name() -> EntryName {
    EntryName::try_from("map").unwrap_or_else(|e| unreachable!("{e}"))
}

fn row(entry: Entry) -> EntryRow {
    let change = format!("change-{}", entry.by);
    EntryRow {
        raw: RawEntry {
            name: "map".to_owned(),
            owner: "trail".to_owned(),
            class: "batch".to_owned(),
            millicores: entry.by as u64 + 1,
            memory_mb: 1,
            accelerators: 0,
            concurrency: None,
            rate_per_s: None,
            queue: None,
            body_bytes: None,
            idempotent: false,
            deadline_ms: None,
            hold_ms: None,
            max_failures: None,
            priority: None,
            retired: false,
        },
        revision: Revision(entry.revision.into()),
        change: ChangeId::try_from(change).unwrap_or_else(|e| unreachable!("{e}")),
    }
}

impl View {
    fn to_catalogue(self) -> Catalogue {
        Catalogue {
            revision: Revision(self.revision.into()),
            rows: self
                .entry
                .into_iter()
                .map(|entry| (name(), row(entry)))
                .collect(),
        }
    }

    fn entry_revision(&self) -> u8 {
        self.entry.map_or(0, |entry| entry.revision)
    }
}

impl Spec {
    fn lacks(&self, safeguard: Without) -> bool {
        self.without == Some(safeguard)
    }

    fn next(&self, before: &State) -> Vec<(Step, State)> {
        let with = |step: Step| {
            let mut after = before.clone();
            self.take(&mut after, step)?;
            Some((step, after))
        };
        steps().filter_map(with).collect()
    }

    fn take(&self, s: &mut State, step: Step) -> Option<()> {
        match step {
            Step::Read { operator, daemon } => {
                let seen = s.daemons[daemon];
                let operator = &mut s.operators[operator];
                if !seen.is_ready || operator.seen.is_some() {
                    return None;
                }
                operator.seen = Some(seen.view.entry_revision());
            }
            Step::Send(o) => self.send(s, o)?,
            Step::TakeEffect { operator, answered } => {
                let sent = s.operators[operator].sent.take()?;
                let took_effect = self.commit(s, operator, sent);
                if took_effect && answered {
                    s.operators[operator].end = Some(End::Accepted);
                }
            }
            Step::GiveUpOnAnswer(o) => {
                let operator = &mut s.operators[o];
                if operator.late.is_some() {
                    return None;
                }
                operator.late = Some(operator.sent.take()?);
            }
            Step::LateTakesEffect(o) => {
                let late = s.operators[o].late.take()?;
                self.commit(s, o, late);
            }
            Step::Fetch(d) => s.daemons[d].update = Some(s.table),
            Step::AskPeer(d) => {
                let peer = s.daemons[1 - d];
                let starts_by_peer = self.by_run || self.lacks(Without::TableAtStart);
                let may_ask = s.daemons[d].is_ready || starts_by_peer;
                if !peer.is_ready || !may_ask {
                    return None;
                }
                s.daemons[d].update = Some(peer.view);
            }
            Step::Adopt(d) => self.adopt(&mut s.daemons[d])?,
            Step::Restart(d) => {
                let daemon = &mut s.daemons[d];
                let served = if self.by_run { 0 } else { daemon.served };
                *daemon = Daemon {
                    served,
                    ..Daemon::default()
                };
            }
        }
        Some(())
    }

    /// A daemon answers a change at once or sends a transaction for it.
    fn send(&self, s: &mut State, o: usize) -> Option<()> {
        let operator = &mut s.operators[o];
        let seen = operator.seen?;
        if operator.end.is_some() || operator.sent.is_some() {
            return None;
        }
        let has_taken_effect = match self.without {
            Some(Without::ChangeId) => false,
            Some(Without::ChangeRow) => s.table.entry.is_some_and(|entry| entry.by == o),
            _ => operator.effects > 0,
        };
        if has_taken_effect {
            operator.end = Some(End::Accepted);
            return Some(());
        }
        let current = s.table.entry.map(row);
        let if_match = (seen > 0).then(|| Revision(seen.into()));
        match check_change(current.as_ref(), if_match) {
            Ok(()) => operator.sent = Some(s.table),
            Err(_) => operator.end = Some(End::Refused),
        }
        Some(())
    }

    fn commit(&self, s: &mut State, o: usize, asserted: View) -> bool {
        if asserted != s.table && !self.lacks(Without::Compare) {
            return false;
        }
        let operator = &mut s.operators[o];
        operator.effects += 1;
        operator.based_on = operator.seen.unwrap_or_default();
        let revision = asserted.revision + 1;
        s.table = View {
            revision,
            entry: Some(Entry { by: o, revision }),
        };
        true
    }

    fn adopt(&self, daemon: &mut Daemon) -> Option<()> {
        let update = daemon.update.take()?;
        let mut catalogue = daemon.view.to_catalogue();
        let is_taken = catalogue.adopt(update.to_catalogue()) || self.lacks(Without::GreaterOnly);
        if is_taken {
            daemon.view = update;
        }
        daemon.is_ready = true;
        daemon.served = daemon.served.max(daemon.view.revision);
        Some(())
    }
}

fn steps() -> impl Iterator<Item = Step> {
    let of_operator = |operator: usize| {
        let reads = PAIR.map(|daemon| Step::Read { operator, daemon });
        let effects = [true, false].map(|answered| Step::TakeEffect { operator, answered });
        let rest = [
            Step::Send(operator),
            Step::GiveUpOnAnswer(operator),
            Step::LateTakesEffect(operator),
        ];
        reads.into_iter().chain(effects).chain(rest)
    };
    let of_daemon = |daemon: usize| {
        [
            Step::Fetch(daemon),
            Step::AskPeer(daemon),
            Step::Adopt(daemon),
            Step::Restart(daemon),
        ]
    };
    let operators = PAIR.into_iter().flat_map(of_operator);
    operators.chain(PAIR.into_iter().flat_map(of_daemon))
}

/// A daemon serves an older revision than before, a change took effect twice or is refused although
/// it took effect, two changes based on the same revision both took effect, or two daemons differ
/// at one revision.
fn is_broken(s: &State) -> bool {
    let is_undone = |daemon: &Daemon| daemon.is_ready && daemon.view.revision < daemon.served;
    let is_denied = |op: &Operator| op.end == Some(End::Refused) && op.effects > 0;
    let is_twice = |op: &Operator| op.effects > 1;
    let [a, b] = &s.operators;
    let both_won = a.effects > 0 && b.effects > 0 && a.based_on == b.based_on;
    let [d0, d1] = &s.daemons;
    let differ = d0.view.revision == d1.view.revision && d0.view != d1.view;
    s.daemons.iter().any(is_undone)
        || s.operators.iter().any(|op| is_denied(op) || is_twice(op))
        || both_won
        || differ
}

fn is_settled(s: &State) -> bool {
    let is_current = |daemon: &Daemon| daemon.is_ready && daemon.view == s.table;
    s.operators.iter().all(|op| op.end.is_some()) && s.daemons.iter().all(is_current)
}

/// An empty catalogue, and one with an entry of a third operator.
fn starts() -> [State; 2] {
    let table = View {
        revision: 1,
        entry: Some(Entry { by: 2, revision: 1 }),
    };
    let with_entry = State {
        table,
        ..State::default()
    };
    [State::default(), with_entry]
}

fn search_whole(spec: &Spec, start: State) {
    let graph = match explore(start, |s| spec.next(s), is_broken) {
        Search::Whole(graph) => graph,
        Search::Broken(path) => panic!("broken after {} steps: {path:#?}", path.len()),
    };
    println!(
        "catalogue, by run {}: {} states, {} steps, {} settled",
        spec.by_run,
        graph.states.len(),
        graph.steps.len(),
        graph.count(is_settled)
    );
    assert_eq!(graph.stuck(is_settled), None);
}

/// A daemon that cannot read the table starts with the catalogue of a peer, as in the code.
#[test]
fn accepted_changes_never_revert_in_a_daemons_run_and_no_two_racing_changes_both_win() {
    for start in starts() {
        let spec = Spec {
            without: None,
            by_run: true,
        };
        search_whole(&spec, start);
    }
}

/// If every start read the table, no change would be undone across runs of a daemon either.
#[test]
fn accepted_changes_never_revert_over_runs_that_start_by_the_table() {
    for start in starts() {
        let spec = Spec {
            without: None,
            by_run: false,
        };
        search_whole(&spec, start);
    }
}

#[test]
fn each_safeguard_of_the_catalogue_is_needed() {
    for without in [
        Without::GreaterOnly,
        Without::Compare,
        Without::ChangeId,
        Without::ChangeRow,
        Without::TableAtStart,
    ] {
        let spec = Spec {
            without: Some(without),
            by_run: false,
        };
        match explore(State::default(), |s| spec.next(s), is_broken) {
            Search::Whole(_) => panic!("{without:?}: no counterexample"),
            Search::Broken(path) => {
                println!(
                    "without {without:?}: broken after {} steps: {path:?}",
                    path.len()
                );
            }
        }
    }
}
