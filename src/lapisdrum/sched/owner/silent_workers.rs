//! What the lease row says of the leases that workers hold and of their runs, for the next owner.
//!
//! Only the owner that sent a lease knows when it ends. Without that in the store, the next owner
//! bounds the leases of a silent worker by all that its predecessors may have sent until they knew
//! that they were replaced, and the worker's long-running tasks wait for that. So each lease row
//! lists the silent workers and when their leases end: those of confirmed long-running runs, and all.
//! A single end for both would be that of the runs that are not confirmed, such as batch tasks, some
//! seconds later, and each owner would pass it on.
//!
//! A worker that answers may be named too: calls of earlier owners may have met its restart, and then
//! leases there last up to a longest lease from its first answer. Without that end in the row, each
//! next owner would count the longest lease from its own first contact.
//!
//! The row says as well which runs are known to have started, for callers who ask the next owner before
//! their workers answer it. A worker that is gone never does.
//!
//! A listed worker that answers again gets no lease until a row without it is known to be written:
//! whichever row the next owner finds, no lease was sent that it denies. A row takes effect only
//! under the owner's fence, so none changes after a take-over.

use super::{Owner, runs::RunRecord, session::Session};
use crate::{
    core::time::Millis,
    sched::{
        Cx,
        event::RunId,
        lease::{SentLeases, confirmed_left_of, left_of, unsettled_left_of},
        resolution::{ConfirmedBefore, LeaseEnds, LeaseLimits, SilentWorker, UnsettledWorker},
    },
};
use indexmap::{IndexMap, IndexSet};
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::sync::Notify;

/// Maximum number of listed workers, so that the row stays small: every daemon polls it. The next
/// owner infers the bound on leases of further ones.
const MAX_LISTED: usize = 200;
/// Time after the recovery within which workers that answer have answered the first poll. Later ones
/// are listed and get their first lease a row later.
const FIRST_CONTACT_TIME: Duration = Duration::from_millis(150);
/// Interval between checks whether all workers were contacted.
const FIRST_CONTACT_CHECK: Duration = Duration::from_millis(10);

/// The workers that a lease row may list which is in the store or may yet be written.
#[derive(Default)]
pub struct Listed {
    workers: RefCell<IndexSet<String>>,
    /// Notified when a listed worker answers again.
    renewal_wanted: Notify,
}

impl Listed {
    /// The workers that the row of the take-over lists.
    pub fn new(workers: impl IntoIterator<Item = String>) -> Self {
        Self {
            workers: RefCell::new(workers.into_iter().collect()),
            renewal_wanted: Notify::new(),
        }
    }
}

impl Owner {
    /// Whether a lease row lists this worker, so that it gets no lease.
    pub fn is_listed(&self, worker: &str) -> bool {
        self.listed.workers.borrow().contains(worker)
    }

    /// Stops sending leases to workers that the next row lists.
    pub fn stop_leases_to(&self, silent: &IndexMap<String, u64>) {
        let mut listed = self.listed.workers.borrow_mut();
        listed.extend(silent.keys().cloned());
    }

    /// Records that a row which lists just these workers is written; no earlier one takes effect
    /// any more.
    pub fn note_listed(&self, listed: IndexSet<String>) {
        let workers = listed.len();
        let before = self.listed.workers.replace(listed);
        let has_changed = before != *self.listed.workers.borrow();
        if has_changed {
            let version = self.lease_version.get();
            log::info!(shard:% = self.handle.partition, token = self.token(), version, workers, before = before.len(); "silent workers are noted");
        }
    }

    /// Asks for a lease row at once, since a listed worker answers again.
    pub fn want_renewal(&self) {
        self.listed.renewal_wanted.notify_one();
    }

    /// Completes when a lease row is asked for.
    pub async fn renewal_wanted(&self) {
        self.listed.renewal_wanted.notified().await;
    }

    /// Leases of the last owner that sent any, while this one has sent none.
    pub fn leases_of_sender_before(&self, now: Millis) -> SentLeases {
        let earlier = self.earlier_owners.get();
        let silent = self.silent_before.borrow();
        SentLeases {
            sender: earlier.previous().left(now),
            earlier: earlier.before().left(now),
            silent: left_of(&silent, now),
            silent_confirmed: confirmed_left_of(&silent, now),
            confirmed_before: self.previous_confirmed_before.on_all(),
            confirmed: Some(self.previous_confirmed_before.clone()),
            unsettled: unsettled_left_of(&self.unsettled_before, now),
            started: Some(self.previous_started_before.clone()),
        }
    }

    /// Leases of this owner, for a row that is written now; after the last one it sends none.
    pub fn sent_leases(&self, cx: &Cx, is_last_row: bool) -> SentLeases {
        let (now, limits) = (cx.clock.now(), &cx.cfg.leases);
        let silent = self.silent_workers(cx);
        let (confirmed, unsettled) = self.confirmed_before(cx, &silent);
        SentLeases {
            sender: match is_last_row {
                true => limits.after_last_row(),
                false => limits.after_row(),
            },
            earlier: self.earlier_owners.get().ends().left(now),
            confirmed_before: confirmed.on_all(),
            confirmed: Some(confirmed),
            unsettled: unsettled_left_of(&unsettled, now),
            silent: left_of(&silent, now),
            silent_confirmed: confirmed_left_of(&silent, now),
            started: Some(self.started_before()),
        }
    }

    /// Workers that do not answer and have runs, or had some that were given up without that being
    /// durable, and when the leases there end.
    pub fn silent_workers(&self, cx: &Cx) -> IndexMap<String, SilentWorker> {
        // Nothing was sent to a worker before the recovery.
        if !self.has_recovered() {
            return self.silent_before.borrow().clone();
        }
        let limits = &cx.cfg.leases;
        let (sessions, given_up) = (self.sessions.borrow(), self.given_up.borrow());
        let listed = sessions.iter().filter(|(worker, session)| {
            let has_runs = !session.runs.is_empty() || given_up.contains_key(*worker);
            session.is_silent() && has_runs
        });
        let listed = listed
            .filter_map(|(worker, session)| Some((worker.clone(), self.ends_on(session, limits)?)));
        // The next owner finds their runs in the journal.
        let forgotten = given_up
            .iter()
            .filter(|(worker, _)| !sessions.contains_key(*worker));
        let forgotten = forgotten.map(|(worker, at)| (worker.clone(), SilentWorker::ended_by(*at)));
        listed.chain(forgotten).take(MAX_LISTED).collect()
    }

    /// Until when the leases on a worker last. The end for its confirmed runs counts for the
    /// long-running ones that were placed before the first one which is not confirmed. `None` while a
    /// call is in flight that may extend the lease of a run.
    fn ends_on(&self, session: &Session, limits: &LeaseLimits) -> Option<SilentWorker> {
        let are_confirmed = self.are_confirmed(session);
        let unconfirmed = session.bound.ends_at(are_confirmed, limits)?;
        let (_, confirmed) = session.bound.latest_end(true, limits);
        let runs = self.runs.borrow();
        let records = session.runs.iter().filter_map(|run| runs.get(run));
        let others = records.filter(|record| record.is_long_running && !record.is_confirmed);
        let rows: Option<Vec<u64>> = others.map(|record| record.placed_row).collect();
        let next_row = self.journal.next_row();
        let confirmed_before = rows.map(|rows| rows.into_iter().fold(next_row, u64::min));
        Some(match confirmed_before {
            None => SilentWorker::ended_by(unconfirmed),
            Some(_) => SilentWorker {
                ends: LeaseEnds {
                    confirmed: confirmed.min(unconfirmed),
                    unconfirmed,
                },
                confirmed_before,
            },
        })
    }

    /// Whether each worker with runs has answered this owner or is known to be silent, or
    /// [`FIRST_CONTACT_TIME`] has passed. Until then no lease is sent, and rows name the last sender:
    /// the next owner would otherwise expect leases of this one on workers that it has not reached.
    pub fn has_contacted_workers(&self, now: Millis) -> bool {
        let Some(recovered_at) = self.recovered_at.get() else {
            return false;
        };
        let sessions = self.sessions.borrow();
        let with_runs = || sessions.values().filter(|session| !session.runs.is_empty());
        let is_settled =
            |session: &Session| session.is_claimed() || session.unresponsive_since.is_some();
        self.may_have_sent_leases()
            || now.since(recovered_at) >= FIRST_CONTACT_TIME
            || with_runs().all(is_settled)
    }

    /// Requests the first row under which leases may be sent, once the workers are contacted.
    pub async fn renew_after_first_contact(self: Rc<Self>, cx: Cx) {
        while self.is_serving() && !self.has_contacted_workers(cx.clock.now()) {
            tokio::time::sleep(FIRST_CONTACT_CHECK).await;
        }
        self.want_renewal();
    }

    /// Whether the state was recovered, also if the shard has been lost since.
    pub fn has_recovered(&self) -> bool {
        self.recovered_at.get().is_some()
    }

    /// Whether an owner has confirmed a run that was placed on this incarnation of a worker: its lease
    /// row then bounds the leases of the incarnation.
    pub fn has_confirmed_run(&self, session: &Session, started_unix_ms: u64) -> bool {
        let runs = self.runs.borrow();
        let mut records = session.runs.iter().filter_map(|run| runs.get(run));
        records.any(|record| record.is_confirmed && record.on.started_unix_ms == started_unix_ms)
    }

    fn are_confirmed(&self, session: &Session) -> bool {
        let runs = self.runs.borrow();
        let is_confirmed = |run: &RunId| runs.get(run).is_none_or(|record| record.is_confirmed);
        session.runs.iter().all(is_confirmed)
    }

    /// Whether an earlier owner confirmed a long-running run that was placed on this worker in this
    /// row; without a row, in one that the snapshot covers.
    pub fn was_confirmed(&self, worker: &str, placed_row: Option<u64>) -> bool {
        let latest = placed_row.unwrap_or(self.journal.covered_upto());
        match self.silent_before.borrow().get(worker) {
            Some(silent) => silent.is_confirmed(latest),
            None => {
                let before = self.previous_confirmed_before.on(worker);
                let unsettled = self.unsettled_before.get(worker);
                before.is_some_and(|before| latest < before)
                    || unsettled.is_some_and(|unsettled| unsettled.is_confirmed(latest))
            }
        }
    }

    /// Whether an earlier owner knew that a run had started that was placed on this worker in this row;
    /// without a row, in one that the snapshot covers.
    pub fn had_started(&self, worker: &str, placed_row: Option<u64>) -> bool {
        let latest = placed_row.unwrap_or(self.journal.covered_upto());
        let before = self.previous_started_before.on(worker);
        before.is_some_and(|before| latest < before)
    }

    /// Journal rows before which all runs have started, as far as known. Workers that answer are not
    /// named: the next owner hears from them which runs they have.
    fn started_before(&self) -> ConfirmedBefore {
        if !self.has_recovered() {
            return self.previous_started_before.clone();
        }
        let (sessions, runs) = (self.sessions.borrow(), self.runs.borrow());
        let mut before = ConfirmedBefore::everywhere(Some(self.journal.next_row()));
        for (worker, session) in sessions.iter() {
            let records = session.runs.iter().filter_map(|run| runs.get(run));
            let unstarted = records.filter(|record| !record.known.has_started());
            // A run whose row is not known is in the snapshot.
            let rows = unstarted.map(|record| record.placed_row.unwrap_or_default());
            match rows.min() {
                None => {}
                Some(row) if session.is_silent() => {
                    before.add(worker, row);
                }
                Some(row) => before.others = before.others.map(|others| others.min(row)),
            }
        }
        before
    }

    /// Journal rows before which the long-running runs on workers other than `silent` ones are
    /// confirmed, and those of these workers where leases of confirmed runs last longer than the row
    /// allows for all.
    fn confirmed_before(
        &self,
        cx: &Cx,
        silent: &IndexMap<String, SilentWorker>,
    ) -> (ConfirmedBefore, IndexMap<String, UnsettledWorker>) {
        if !self.has_recovered() {
            let confirmed = self.previous_confirmed_before.clone();
            return (confirmed, self.unsettled_before.clone());
        }
        let limits = &cx.cfg.leases;
        // A run on a worker with a later lease than the row allows counts as unconfirmed, unless the
        // row names the worker. The row says when the leases of earlier owners end too, which may be
        // later.
        let row_end = limits.row_end(cx.clock.now(), self.earlier_owners.get().ends());
        let (sessions, runs) = (self.sessions.borrow(), self.runs.borrow());
        let unlisted = sessions
            .iter()
            .filter(|(worker, _)| !silent.contains_key(*worker));
        let next_row = self.journal.next_row();
        let mut before = ConfirmedBefore::everywhere(Some(next_row));
        let mut unsettled = IndexMap::new();
        for (worker, session) in unlisted {
            let until = session.bound.unsettled_after(row_end, limits);
            let records = session.runs.iter().filter_map(|run| runs.get(run));
            let long_running = || records.clone().filter(|record| record.is_long_running);
            // A run whose row is not known is in the snapshot.
            let row_of = |record: &RunRecord| record.placed_row.unwrap_or_default();
            let unconfirmed = long_running().filter(|record| !record.is_confirmed);
            let unconfirmed = unconfirmed.map(row_of).min();
            let lowest = match until {
                Some(_) => long_running().map(row_of).min(),
                None => unconfirmed,
            };
            let is_named = lowest.is_some_and(|lowest| before.add(worker, lowest));
            if let Some(until) = until.filter(|_| is_named) {
                let confirmed_before = unconfirmed.unwrap_or(next_row);
                let named = UnsettledWorker {
                    confirmed_before,
                    until,
                };
                unsettled.insert(worker.clone(), named);
            }
        }
        (before, unsettled)
    }
}
