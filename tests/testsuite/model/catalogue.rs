//! The catalogue's revision: two operators who race on one entry, two daemons, one table.
//!
//! An operator's change is accepted and in force; then an answer is lost, news comes late or a daemon
//! starts anew. Nobody may see the change undone, and the operator who repeats a change whose answer
//! was lost must be told the truth about it.

use super::explore::{Search, explore};
use lapisdrum::{
    core::{
        catalogue::RawEntry,
        id::{ChangeId, EntryName, Revision},
    },
    state::catalogue::{Catalogue, EntryRow, check_change},
};

const PAIR: [usize; 2] = [0, 1];

/// A safeguard that the specification leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    /// A daemon takes over whatever it is told.
    GreaterOnly,
    /// A change does not assert its entry's and the revision's versions.
    Compare,
    /// A repeat is not recognised by its change id.
    ChangeId,
    /// A repeat is recognised only while the entry's row still is its own.
    ChangeRow,
    /// A daemon starts by what a peer has when the table is away.
    TableAtStart,
}

/// The entry's row: who changed it and the revision that this made.
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

/// An operator with one change to make.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Operator {
    /// The entry's revision as the operator saw it; 0 for none.
    seen: Option<u8>,
    /// The transaction that a daemon has made of the change, with what it asserts.
    sent: Option<View>,
    /// One whose answer was given up on and that is still under way.
    late: Option<View>,
    /// How often the change took effect.
    effects: u8,
    /// The entry's revision that the change was made from, once it took effect.
    based_on: u8,
    end: Option<End>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Daemon {
    is_ready: bool,
    view: View,
    /// A catalogue on its way here, from table or peer.
    news: Option<View>,
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
    Look { operator: usize, daemon: usize },
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
    /// What a daemon served is held against it in this run alone, and it may start by what a peer has.
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
            Step::Look { operator, daemon } => {
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
            Step::Fetch(d) => s.daemons[d].news = Some(s.table),
            Step::AskPeer(d) => {
                let peer = s.daemons[1 - d];
                let starts_by_peer = self.by_run || self.lacks(Without::TableAtStart);
                let may_ask = s.daemons[d].is_ready || starts_by_peer;
                if !peer.is_ready || !may_ask {
                    return None;
                }
                s.daemons[d].news = Some(peer.view);
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

    /// A daemon makes a transaction of a change, or answers at once.
    fn send(&self, s: &mut State, o: usize) -> Option<()> {
        let operator = &mut s.operators[o];
        let seen = operator.seen?;
        if operator.end.is_some() || operator.sent.is_some() {
            return None;
        }
        let is_in = match self.without {
            Some(Without::ChangeId) => false,
            Some(Without::ChangeRow) => s.table.entry.is_some_and(|entry| entry.by == o),
            _ => operator.effects > 0,
        };
        if is_in {
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
        let news = daemon.news.take()?;
        let mut catalogue = daemon.view.to_catalogue();
        let is_taken = catalogue.adopt(news.to_catalogue()) || self.lacks(Without::GreaterOnly);
        if is_taken {
            daemon.view = news;
        }
        daemon.is_ready = true;
        daemon.served = daemon.served.max(daemon.view.revision);
        Some(())
    }
}

fn steps() -> impl Iterator<Item = Step> {
    let of_operator = |operator: usize| {
        let looks = PAIR.map(|daemon| Step::Look { operator, daemon });
        let effects = [true, false].map(|answered| Step::TakeEffect { operator, answered });
        let rest = [
            Step::Send(operator),
            Step::GiveUpOnAnswer(operator),
            Step::LateTakesEffect(operator),
        ];
        looks.into_iter().chain(effects).chain(rest)
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

/// A change undone at a daemon, made twice, won by both who based it on the same state, or denied to
/// the operator who made it.
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

/// Nothing in the catalogue, or an entry that somebody else made.
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

/// As the daemon does it: with the table away it starts by what a peer has.
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

/// Were the table always asked at the start, no change would revert over a daemon's runs either.
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
