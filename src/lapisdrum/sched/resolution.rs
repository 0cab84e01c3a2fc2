//! Resolves the outcome of calls without a reply, for journal writes and runs on workers. Without
//! I/O.
//!
//! A reply may be lost, or an order carried out seconds after it was sent. If a daemon took a
//! missing reply to mean that the call had no effect, it would start a task a second time while the
//! first order is still in flight, and a livestream would run twice. Each function here therefore
//! concludes only from positive evidence, and otherwise has the caller wait or ask.

use super::{
    edge::{Row, TxnOutcome},
    event::Loss,
};
use crate::core::time::{Millis, millis};
use indexmap::IndexMap;
use std::time::Duration;

/// Outcome of sending a transaction with journal rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteVerdict {
    /// The rows are in the store.
    Committed,
    /// Another owner has taken over. The rows are not in the store and never will be.
    Fenced,
    /// Send the same rows again. This is safe even if an earlier attempt is still in flight: the
    /// write requires that the keys do not exist, so at most one attempt takes effect.
    SendAgain,
}

/// Resolves the reply to a journal write. Both predicates get the rows that were found:
/// `holds_fence` returns whether the fence still has this owner's version, `is_own` whether a
/// journal row is this owner's, which its nonce shows.
///
/// Without the nonce, a row of the next owner at the same key would be taken for this owner's
/// write, and callers would get confirmations of jobs that are not stored.
pub fn judge_write(
    outcome: &TxnOutcome,
    holds_fence: impl Fn(&[Row]) -> bool,
    is_own: impl Fn(&[Row]) -> bool,
) -> WriteVerdict {
    match outcome {
        TxnOutcome::Committed(_) => WriteVerdict::Committed,
        TxnOutcome::Conflict(rows) if is_own(rows) => WriteVerdict::Committed,
        TxnOutcome::Conflict(rows) if !holds_fence(rows) => WriteVerdict::Fenced,
        // The fence is held, but another writer's row is at the key: a second process uses the same
        // fence.
        TxnOutcome::Conflict(_) => WriteVerdict::Fenced,
        TxnOutcome::NotDone(_) | TxnOutcome::Unknown(_) => WriteVerdict::SendAgain,
    }
}

/// Outcome of sending a transaction that replaces the pointer to a shard's snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PointerVerdict {
    /// The pointer is in the store; the one that it replaced never returns.
    Committed,
    /// The pointer is not in the store and never will be.
    Superseded,
    /// Send the same transaction again. This is safe even if an earlier attempt is still in flight:
    /// each one expects the same version of the row, so at most one takes effect.
    SendAgain,
}

/// Resolves the reply to the write of a snapshot pointer, which expects the fence and the version
/// of the pointer row. `is_own` gets the rows that were found and returns whether the pointer row
/// is the one that was sent.
///
/// A conflict is conclusive for all attempts: a row never returns to an earlier version, and
/// neither does the fence.
pub fn judge_pointer(outcome: &TxnOutcome, is_own: impl Fn(&[Row]) -> bool) -> PointerVerdict {
    match outcome {
        TxnOutcome::Committed(_) => PointerVerdict::Committed,
        TxnOutcome::Conflict(rows) if is_own(rows) => PointerVerdict::Committed,
        TxnOutcome::Conflict(_) => PointerVerdict::Superseded,
        TxnOutcome::NotDone(_) | TxnOutcome::Unknown(_) => PointerVerdict::SendAgain,
    }
}

/// Whether a conflict is caused by the piggybacked row only: the fence is held and no row exists at
/// the journal keys, so the journal rows are not in the store and may be sent again without the
/// piggyback. The piggybacked row was changed by an earlier attempt of this owner whose reply was
/// lost; to treat that as another owner's write would end a valid ownership.
pub fn is_piggyback_stale(
    outcome: &TxnOutcome,
    holds_fence: impl Fn(&[Row]) -> bool,
    are_keys_free: impl Fn(&[Row]) -> bool,
) -> bool {
    match outcome {
        TxnOutcome::Conflict(rows) => holds_fence(rows) && are_keys_free(rows),
        TxnOutcome::Committed(_) | TxnOutcome::NotDone(_) | TxnOutcome::Unknown(_) => false,
    }
}

/// State of an order to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Not sent, since the placement is not durable yet.
    NotSent,
    /// Sent and still waiting for a reply.
    InFlight,
    /// The worker confirmed at this time that it has the run.
    Answered(Millis),
    /// The call ended without a reply; the order may still be carried out.
    Unanswered,
    /// Sent by an earlier owner, whose token the worker refuses once it has seen this owner's.
    Inherited {
        /// Whether that owner's lease row says that the run has started.
        has_started: bool,
    },
}

/// State of an order to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stop {
    /// No stop was ordered.
    No,
    /// Sent, without a conclusive reply so far.
    InFlight,
    /// The worker confirmed the stop at this time: a run that has not started by then will never
    /// start there.
    Confirmed(Millis),
}

/// State of the orders for a run that may be alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunKnowledge {
    /// Order to start the run.
    pub order: Order,
    /// Order to stop the run.
    pub stop: Stop,
}

impl RunKnowledge {
    /// Whether there is evidence that the run has started. A placement is none: its worker may have
    /// been lost before the order arrived, and then no answer ever tells.
    pub fn has_started(&self) -> bool {
        match self.order {
            Order::NotSent | Order::InFlight | Order::Unanswered => false,
            Order::Answered(_) => true,
            Order::Inherited { has_started } => has_started,
        }
    }
}

/// The incarnation that a worker is known to have, or to have had last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct KnownIncarnation {
    /// Its start in Unix milliseconds; none before the worker has answered, and after another
    /// incarnation than the one expected refused an order.
    pub started_unix_ms: Option<u64>,
    /// Time of the response that first showed this.
    pub since: Option<Millis>,
}

/// What the start time in a poll response implies for the worker's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum IncarnationVerdict {
    /// The response comes from the known incarnation.
    Known,
    /// The response comes from a later incarnation.
    Later,
    /// The response may come from an earlier incarnation; a later poll resolves it.
    Unclear,
}

/// Resolves which incarnation of a worker sent a poll response with this start time, to a poll that
/// was sent at `sent_at`.
///
/// The start times give no order, since a worker's time of day may be set back between two starts.
/// Incarnations of one worker follow each other, so one that answers a poll sent after a response
/// of another is the later one. Responses may overtake each other, so one to an earlier poll gives
/// no order; nor does one to a poll that was sent in the same millisecond.
pub fn judge_incarnation(
    known: KnownIncarnation,
    started_unix_ms: u64,
    sent_at: Millis,
) -> IncarnationVerdict {
    if known.started_unix_ms == Some(started_unix_ms) {
        return IncarnationVerdict::Known;
    }
    match known.since {
        Some(since) if sent_at <= since => IncarnationVerdict::Unclear,
        Some(_) | None => IncarnationVerdict::Later,
    }
}

/// What a poll response of a worker shows about a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Observation {
    /// Time at which the poll was sent.
    pub sent_at: Millis,
    /// Whether the worker lists the run as running.
    pub is_listed: bool,
    /// Whether the worker still has the incarnation that the run was placed on.
    pub is_same_incarnation: bool,
    /// Whether all ends on the worker are known, so that a run that is not listed has no end that
    /// is yet to be read.
    pub are_ends_complete: bool,
}

/// What a poll response implies for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunVerdict {
    /// The run is alive.
    Runs,
    /// Inconclusive; wait for a later poll or reply.
    Wait,
    /// Inconclusive; the run's end may be among those that the worker has not listed yet.
    AwaitEnds,
    /// Inconclusive; order a stop, whose confirmation resolves the run.
    OrderStop,
    /// The run has ended or never started.
    Lost(Loss),
}

/// Resolves a run by a poll response of its worker.
pub fn judge_run(known: RunKnowledge, observation: Observation) -> RunVerdict {
    if observation.is_listed {
        return RunVerdict::Runs;
    }
    // The run may be among the ends that are listed only after earlier ones are acknowledged. That
    // holds for a later incarnation too, which carries out an order that was meant for this one.
    if !observation.are_ends_complete {
        return RunVerdict::AwaitEnds;
    }
    let loss = match observation.is_same_incarnation {
        true => Loss::NotThere,
        false => Loss::Reborn,
    };
    // The response to a poll that was in flight when the worker confirmed the order may be older
    // than the order; so may that to a poll that was sent in the same millisecond.
    if let Stop::Confirmed(at) = known.stop
        && observation.sent_at > at
    {
        return RunVerdict::Lost(loss);
    }
    match known.order {
        Order::NotSent | Order::InFlight => RunVerdict::Wait,
        Order::Answered(at) if observation.sent_at > at => RunVerdict::Lost(loss),
        Order::Answered(_) => RunVerdict::Wait,
        // The poll carried this owner's token, so the worker refuses orders of earlier owners that
        // are in flight.
        Order::Inherited { .. } => RunVerdict::Lost(loss),
        // A worker that restarts under the same id has lost all tokens and stopped runs: an order
        // still in flight would be carried out by the new incarnation too.
        Order::Unanswered => match known.stop {
            Stop::No => RunVerdict::OrderStop,
            Stop::InFlight | Stop::Confirmed(_) => RunVerdict::Wait,
        },
    }
}

/// Bounds on how long a worker can hold a lease: what its platform guarantees, and what owners keep
/// to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseLimits {
    /// Longest lease on the worker's clock; the worker shortens a longer one to it.
    pub longest: Duration,
    /// Longest lease that owners send. Less than `longest` where workers accept more than a
    /// take-over needs, since a silent worker's tasks wait for it.
    pub longest_sent: Duration,
    /// Every lease that an owner sends ends at most this long after its last successful renewal in
    /// the store, however much later it was sent.
    pub after_renewal: Duration,
    /// Time after its last successful renewal during which an owner sends start orders.
    pub start_hold: Duration,
    /// The worker's clock may be slower than the owner's by one part in this many.
    pub drift_parts: u32,
    /// Longest time in flight of an order to a worker that carries out orders on arrival.
    pub transit: Duration,
    /// Time for which an owner of an earlier version, whose rows do not bound its leases, sends
    /// leases after its last successful renewal in the store.
    pub owner_hold: Duration,
}

/// Maximum number of workers that a lease row names for their unconfirmed runs, so that the row stays
/// small: every daemon polls it.
const MAX_UNCONFIRMED_WORKERS: usize = 64;
/// Difference of a sent lease from the longest. Without it, a worker whose clock was read shortly
/// before would shorten the lease on arrival.
const LEASE_MARGIN: Duration = Duration::from_millis(100);

impl LeaseLimits {
    /// Length of a lease that is sent `since_renewal` after the last successful renewal; none if
    /// no lease may be sent any more.
    pub fn sent(&self, since_renewal: Duration) -> Option<Duration> {
        let left = self.after_renewal.saturating_sub(since_renewal);
        let longest = self.longest_sent.min(self.longest).min(left);
        let length = longest.saturating_sub(LEASE_MARGIN);
        (!length.is_zero()).then_some(length)
    }

    /// Maximum age of a reading of a worker's clock by which a lease is sent. The worker's clock may
    /// have been slower since the reading, so that the lease ends later on the owner's clock; within
    /// this age [`LEASE_MARGIN`] covers the difference.
    pub fn max_clock_age(&self) -> Duration {
        LEASE_MARGIN * self.drift_parts
    }

    /// Time from its sending, on the owner's clock, within which a lease of this length ends on the
    /// incarnation whose clock was read.
    pub fn ends_within(&self, length: Duration) -> Duration {
        self.measured_elsewhere(length) + LEASE_MARGIN
    }

    /// Longest lease on the owner's clock.
    fn longest_on_own_clock(&self) -> Duration {
        self.measured_elsewhere(self.longest)
    }

    /// Upper bound, on the own clock, of a time that another daemon or a worker measured.
    pub fn measured_elsewhere(&self, time: Duration) -> Duration {
        time + time / self.drift_parts
    }

    /// Time at which leases have ended by a note that was read at `read_at` and says that they end
    /// `ends_in_ms` after its writing.
    pub fn end_by_note(&self, read_at: Millis, ends_in_ms: u64) -> Millis {
        read_at + self.measured_elsewhere(Duration::from_millis(ends_in_ms))
    }

    /// Time for which an owner sends renewals after its last start order.
    fn renewed_after_starts(&self) -> Duration {
        let renewed = self.after_renewal.saturating_sub(self.start_hold);
        self.measured_elsewhere(renewed)
    }

    /// Time after the writing of its lease row within which the leases of an owner end that goes on
    /// sending them, unless it writes another row.
    ///
    /// An order to start a run may be executed by a later incarnation of its worker, whose clock
    /// starts anew. So may a renewal that follows an answer of the earlier incarnation which was in
    /// transit at the restart, hence two transits.
    pub fn after_row(&self) -> LeasesLeft {
        let confirmed = self.measured_elsewhere(self.after_renewal);
        let unconfirmed = self.start_hold + self.transit * 2 + self.longest_on_own_clock();
        LeasesLeft {
            confirmed_ms: millis(confirmed),
            unconfirmed_ms: millis(unconfirmed.max(confirmed)),
        }
    }

    /// Like [`Self::after_row`], for a row whose writer sends no lease after it.
    pub fn after_last_row(&self) -> LeasesLeft {
        let lease = self.measured_elsewhere(self.longest_sent.min(self.longest));
        let unconfirmed = self.transit + self.longest_on_own_clock();
        LeasesLeft {
            confirmed_ms: millis(lease),
            unconfirmed_ms: millis(unconfirmed.max(lease)),
        }
    }

    /// Time by which all leases of confirmed runs have ended by a row that is written at `now`, also if
    /// its writer sends none after it; leases of owners before the writer end by `earlier`.
    pub fn row_end(&self, now: Millis, earlier: LeaseEnds) -> Millis {
        let own = Duration::from_millis(self.after_last_row().confirmed_ms);
        earlier.confirmed.max(now + own)
    }

    /// Time during which a reader of an earlier version has to expect calls with leases, which adds
    /// the longest lease itself, in milliseconds.
    pub fn may_send_ms(&self, left: LeasesLeft) -> u64 {
        let left = Duration::from_millis(left.unconfirmed_ms.max(left.confirmed_ms));
        millis(left.saturating_sub(self.after_unbounded_call()))
    }

    /// Time after the last call of an owner of an earlier version within which its leases end.
    fn after_unbounded_call(&self) -> Duration {
        self.transit + self.longest_on_own_clock()
    }
}

/// Leases that a worker may hold, by who sent them and what is known of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseKind {
    /// Sent by this owner, by the end that the call named on the clock of the worker's incarnation.
    Named,
    /// Sent by earlier owners, or by this one to an earlier incarnation, before the present
    /// incarnation answered this owner.
    Unsettled,
    /// Sent by this owner, with a reply.
    Answered,
    /// Sent by this owner, without a reply.
    Unanswered,
    /// Sent by an earlier owner, by the time of its last lease row.
    Inherited,
    /// Sent by an earlier owner, which wrote down when the leases of this silent worker end.
    Noted,
}

data! {
    /// Time after the writing of a row until which leases last, in milliseconds.
    #[derive(Copy, Default, Hash)]
    pub struct LeasesLeft {
        /// Those of runs that the worker's incarnation on which they were placed is known to have.
        pub confirmed_ms: u64,
        /// Those of all other runs, which a later incarnation of the worker may have started.
        pub unconfirmed_ms: u64,
    }
}

data! {
    /// What a row says of the confirmed long-running runs on a worker.
    #[derive(Copy, Default, Hash)]
    pub struct ConfirmedRuns {
        /// Number of a journal row: long-running runs there that were placed before it are
        /// confirmed.
        pub before: u64,
        /// Time after the writing of the row until which the leases of these runs last, in
        /// milliseconds.
        pub ends_in_ms: u64,
    }
}

data! {
    /// Journal rows before which something is known of the runs that were placed, by worker: that
    /// the long-running ones are confirmed, or that all have started.
    #[derive(Default)]
    pub struct ConfirmedBefore {
        /// On all workers that are not named; none if nothing is known there.
        pub others: Option<u64>,
        /// On workers with a run of which it is not known. One such run would otherwise count for
        /// all that were placed after it, whatever workers they are on.
        pub workers: IndexMap<String, u64>,
    }
}

impl ConfirmedBefore {
    /// The same row for all workers.
    pub fn everywhere(before: Option<u64>) -> Self {
        Self {
            others: before,
            workers: IndexMap::new(),
        }
    }

    /// The row for a worker.
    pub fn on(&self, worker: &str) -> Option<u64> {
        self.workers.get(worker).copied().or(self.others)
    }

    /// The row that holds for each worker.
    pub fn on_all(&self) -> Option<u64> {
        let lowest = self.workers.values().copied().min();
        let others = self.others?;
        Some(lowest.map_or(others, |lowest| lowest.min(others)))
    }

    /// Adds a worker where it is not known of runs that were placed in this row or later ones; beyond
    /// [`MAX_UNCONFIRMED_WORKERS`] the row counts for all workers that are not named. Returns whether
    /// the worker is named.
    pub fn add(&mut self, worker: &str, before: u64) -> bool {
        let is_named = self.workers.len() < MAX_UNCONFIRMED_WORKERS;
        if is_named {
            self.workers.insert(worker.to_owned(), before);
        } else {
            self.others = self.others.map(|others| others.min(before));
        }
        is_named
    }
}

/// Until when the leases on a silent worker last, as an owner wrote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SilentWorker {
    /// Those of confirmed runs and of all others; the same where none is known to be confirmed.
    pub ends: LeaseEnds,
    /// Number of the journal row before which long-running runs there are confirmed.
    pub confirmed_before: Option<u64>,
}

impl SilentWorker {
    /// A worker where all leases end at `at`, with no run that is known to be confirmed.
    pub fn ended_by(at: Millis) -> Self {
        Self {
            ends: LeaseEnds::both(at),
            confirmed_before: None,
        }
    }

    /// By a row that was read at `read_at`: all leases end `ends_in_ms` after its writing.
    pub fn by_row(
        read_at: Millis,
        ends_in_ms: u64,
        confirmed: Option<&ConfirmedRuns>,
        limits: &LeaseLimits,
    ) -> Self {
        let all = limits.end_by_note(read_at, ends_in_ms);
        let Some(confirmed) = confirmed else {
            return Self::ended_by(all);
        };
        Self {
            ends: LeaseEnds {
                confirmed: limits.end_by_note(read_at, confirmed.ends_in_ms).min(all),
                unconfirmed: all,
            },
            confirmed_before: Some(confirmed.before),
        }
    }

    /// Time left at `now` of all leases, for a row that is written then, in milliseconds.
    pub fn all_left_ms(&self, now: Millis) -> u64 {
        millis(self.ends.unconfirmed.since(now)) + 1
    }

    /// What a row that is written at `now` says of the confirmed runs; none if their leases last as
    /// long as all others.
    pub fn confirmed_left(&self, now: Millis) -> Option<ConfirmedRuns> {
        let ends_in_ms = millis(self.ends.confirmed.since(now)) + 1;
        let before = self.confirmed_before?;
        (ends_in_ms < self.all_left_ms(now)).then_some(ConfirmedRuns { before, ends_in_ms })
    }

    /// Whether a long-running run that was placed in this journal row is confirmed.
    pub fn is_confirmed(&self, placed_row: u64) -> bool {
        self.confirmed_before
            .is_some_and(|before| placed_row < before)
    }

    /// What follows from two statements of the same owner: all leases end by the earlier of both ends,
    /// and those of confirmed runs as the one says that knows of more such runs.
    pub fn min(self, other: Self) -> Self {
        let all = self.ends.unconfirmed.min(other.ends.unconfirmed);
        let knows_more = match other.confirmed_before >= self.confirmed_before {
            true => other,
            false => self,
        };
        Self {
            ends: LeaseEnds {
                confirmed: knows_more.ends.confirmed.min(all),
                unconfirmed: all,
            },
            confirmed_before: knows_more.confirmed_before,
        }
    }
}

/// Until when leases on a worker that answers last for its confirmed runs, as an owner wrote: longer than
/// on other workers, since calls of earlier owners may have met its restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct UnsettledWorker {
    /// Number of the journal row before which long-running runs there are confirmed.
    pub confirmed_before: u64,
    /// End of the leases that were sent before the worker answered that owner.
    pub until: Millis,
}

impl UnsettledWorker {
    /// By a row that was read at `read_at`.
    pub fn by_row(read_at: Millis, confirmed: &ConfirmedRuns, limits: &LeaseLimits) -> Self {
        Self {
            confirmed_before: confirmed.before,
            until: limits.end_by_note(read_at, confirmed.ends_in_ms),
        }
    }

    /// What a row that is written at `now` says of the worker.
    pub fn left(&self, now: Millis) -> ConfirmedRuns {
        ConfirmedRuns {
            before: self.confirmed_before,
            ends_in_ms: millis(self.until.since(now)) + 1,
        }
    }

    /// Whether a long-running run that was placed in this journal row is confirmed.
    pub fn is_confirmed(&self, placed_row: u64) -> bool {
        placed_row < self.confirmed_before
    }
}

/// Until when leases last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseEnds {
    /// Those of runs that the worker's incarnation on which they were placed is known to have.
    pub confirmed: Millis,
    /// Those of all other runs.
    pub unconfirmed: Millis,
}

impl LeaseEnds {
    fn both(at: Millis) -> Self {
        Self {
            confirmed: at,
            unconfirmed: at,
        }
    }

    /// By a row that was written at `at` or earlier.
    fn by_row(at: Millis, left: LeasesLeft, limits: &LeaseLimits) -> Self {
        Self {
            confirmed: limits.end_by_note(at, left.confirmed_ms),
            unconfirmed: limits.end_by_note(at, left.unconfirmed_ms),
        }
    }

    fn max(self, other: Self) -> Self {
        Self {
            confirmed: self.confirmed.max(other.confirmed),
            unconfirmed: self.unconfirmed.max(other.unconfirmed),
        }
    }

    fn min(self, other: Self) -> Self {
        Self {
            confirmed: self.confirmed.min(other.confirmed),
            unconfirmed: self.unconfirmed.min(other.unconfirmed),
        }
    }

    /// Time left at `now`, for a row that is written then.
    pub fn left(self, now: Millis) -> LeasesLeft {
        LeasesLeft {
            confirmed_ms: millis(self.confirmed.since(now)),
            unconfirmed_ms: millis(self.unconfirmed.since(now)),
        }
    }
}

/// Until when leases that earlier owners of a shard sent last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EarlierOwners {
    previous: LeaseEnds,
    before: LeaseEnds,
    /// Longest lease of the previous owner, from its sending.
    after_last_call: LeasesLeft,
}

impl EarlierOwners {
    /// No owner before the first one has sent a lease.
    pub fn none() -> Self {
        Self {
            previous: LeaseEnds::default(),
            before: LeaseEnds::default(),
            after_last_call: LeasesLeft::default(),
        }
    }

    /// Bounds for a previous owner of an earlier version that took the shard at `took_at` or earlier
    /// and last renewed its lease in the store at `renewed_at` or earlier. Each owner sends leases
    /// for [`LeaseLimits::owner_hold`] after its last renewal.
    pub fn held(took_at: Millis, renewed_at: Millis, limits: &LeaseLimits) -> Self {
        let hold = limits.owner_hold + limits.after_unbounded_call();
        Self {
            previous: LeaseEnds::both(renewed_at + hold),
            before: LeaseEnds::both(took_at + hold),
            after_last_call: Self::after_call_of_earlier_version(limits),
        }
    }

    /// Bounds from a row of an earlier version that was written at `at` or earlier by an owner that
    /// has sent no lease: the last owner that has sends none after `previous_left`, and those before
    /// that one none after `before_left`.
    pub fn held_before_idle(
        at: Millis,
        previous_left: Duration,
        before_left: Duration,
        limits: &LeaseLimits,
    ) -> Self {
        let ends = |left| {
            let sent_until = at + limits.measured_elsewhere(left);
            LeaseEnds::both(sent_until + limits.after_unbounded_call())
        };
        Self {
            previous: ends(previous_left),
            before: ends(before_left),
            after_last_call: Self::after_call_of_earlier_version(limits),
        }
    }

    /// Bounds from a row that was written at `at` or earlier: leases of the last owner that sent any
    /// end after `previous`, those of the owners before that one after `before`.
    pub fn by_row(
        at: Millis,
        previous: LeasesLeft,
        before: LeasesLeft,
        limits: &LeaseLimits,
    ) -> Self {
        Self {
            previous: LeaseEnds::by_row(at, previous, limits),
            before: LeaseEnds::by_row(at, before, limits),
            after_last_call: limits.after_last_row(),
        }
    }

    fn after_call_of_earlier_version(limits: &LeaseLimits) -> LeasesLeft {
        let ms = millis(limits.after_unbounded_call());
        LeasesLeft {
            confirmed_ms: ms,
            unconfirmed_ms: ms,
        }
    }

    /// Records that the previous owner, of an earlier version, wrote at `at` or earlier that owners
    /// before it send no lease after `left`.
    pub fn note_before(&mut self, at: Millis, left: Duration, limits: &LeaseLimits) {
        let sent_until = at + limits.measured_elsewhere(left);
        self.before = LeaseEnds::both(sent_until + limits.after_unbounded_call());
    }

    /// Records that the previous owner sends no lease after `at`.
    pub fn note_previous_stopped(&mut self, at: Millis) {
        let left = self.after_last_call;
        let ends = LeaseEnds {
            confirmed: at + Duration::from_millis(left.confirmed_ms),
            unconfirmed: at + Duration::from_millis(left.unconfirmed_ms),
        };
        self.previous = self.previous.min(ends);
    }

    /// Until when leases of the previous owner last.
    pub fn previous(&self) -> LeaseEnds {
        self.previous
    }

    /// Until when leases of the owners before the previous one last.
    pub fn before(&self) -> LeaseEnds {
        self.before
    }

    /// Until when leases of any earlier owner last.
    pub fn ends(&self) -> LeaseEnds {
        self.previous.max(self.before)
    }
}

/// Bound on the time until which runs may be alive on a worker under the leases that were sent to
/// it.
///
/// A lease ends at a time on the worker's clock that the call names, however late the call takes
/// effect, and a start order that arrives after that time is refused. So a call that is executed
/// late extends nothing. A later incarnation of the worker, whose clock starts anew, may receive a
/// call while that is in transit, and then counts the longest lease from its arrival; later calls
/// ended with the connection. Only a run whose start order that incarnation may have executed is
/// alive there: not one that the incarnation on which it was placed is known to have, a *confirmed*
/// run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseBound {
    /// Ends of leases of earlier owners; `None` once the worker has answered under this owner's
    /// token.
    inherited: Option<LeaseEnds>,
    /// Ends of leases of earlier owners, as an earlier owner wrote.
    noted: Option<LeaseEnds>,
    /// Latest end of a lease of this owner on the incarnation whose clock was read.
    named_end: Option<Millis>,
    /// Time until which leases may last that were not sent to the present incarnation by this owner.
    unsettled_until: Option<Millis>,
    /// Time of the last reply to a lease of this owner.
    answered_at: Option<Millis>,
    /// Time at which the last lease without a reply was sent.
    unanswered_at: Option<Millis>,
    in_flight: u32,
}

impl LeaseBound {
    /// Bound for a worker without contact to this owner so far; leases of earlier owners end by
    /// `ends`.
    pub fn inherited(ends: LeaseEnds) -> Self {
        Self {
            inherited: Some(ends),
            noted: None,
            named_end: None,
            unsettled_until: None,
            answered_at: None,
            unanswered_at: None,
            in_flight: 0,
        }
    }

    /// Records that the leases of earlier owners end by `ends`. Later times than the known ones are
    /// ignored.
    pub fn note_inherited(&mut self, ends: LeaseEnds) {
        self.inherited = self.inherited.map(|known| known.min(ends));
    }

    /// Records that an earlier owner wrote that the leases of earlier owners end by `ends`. Later
    /// times than the known ones are ignored.
    pub fn note_written_end(&mut self, ends: LeaseEnds) {
        let known = self.noted.unwrap_or(ends);
        self.noted = Some(known.min(ends));
    }

    /// Records that leases which earlier owners sent before the worker answered one of them may last
    /// until `until`, as that owner wrote, although its own end earlier.
    pub fn note_unsettled(&mut self, until: Millis) {
        self.unsettled_until = self.unsettled_until.max(Some(until));
    }

    /// Records that a call with a lease is sent, which ends by `ends_by` on the incarnation whose
    /// clock was read.
    pub fn note_sent(&mut self, ends_by: Millis) {
        self.in_flight += 1;
        self.named_end = self.named_end.max(Some(ends_by));
    }

    /// Records that a call with a lease was answered at `at`, so that it does not take effect
    /// later.
    pub fn note_answered(&mut self, at: Millis) {
        self.note_no_effect();
        self.answered_at = self.answered_at.max(Some(at));
    }

    /// Records that a call with a lease certainly had no effect.
    pub fn note_no_effect(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that a call with a lease, sent at `sent_at`, got no reply.
    pub fn note_unanswered(&mut self, sent_at: Millis) {
        self.note_no_effect();
        self.unanswered_at = self.unanswered_at.max(Some(sent_at));
    }

    /// Records the first reply of an incarnation under this owner's token, at `at`: from then on the
    /// incarnation refuses calls of earlier owners, and leases that they sent earlier end at most
    /// one lease after `at`, or as their rows say if that is earlier. `has_confirmed_run` says
    /// whether an earlier owner confirmed a run on this incarnation, so that the bound on confirmed
    /// runs holds there, together with [`Self::note_unsettled`].
    pub fn note_claimed(&mut self, at: Millis, has_confirmed_run: bool, limits: &LeaseLimits) {
        let longest = at + limits.longest_on_own_clock();
        let until = match self.inherited.take() {
            Some(inferred) if has_confirmed_run => {
                let written = self.noted.unwrap_or(inferred);
                longest.min(inferred.min(written).confirmed)
            }
            // Rows and notes bound the leases of runs. A restarted worker without any may have a lease
            // by a renewal in transit, which counts for the runs that this owner starts there.
            Some(inferred) => longest.min(inferred.unconfirmed + limits.renewed_after_starts()),
            // This owner's calls to the incarnation before may be in flight.
            None => longest + limits.transit * 2,
        };
        self.unsettled_until = self.unsettled_until.max(Some(until));
        self.answered_at = self.answered_at.max(Some(at));
    }

    /// Whether a run can't be alive on the worker any more.
    pub fn has_ended(&self, is_confirmed: bool, now: Millis, limits: &LeaseLimits) -> bool {
        let ends_at = self.ends_at(is_confirmed, limits);
        ends_at.is_some_and(|ends_at| now > ends_at)
    }

    /// Time at which a run can't be alive on the worker any more; `None` while a call is in flight
    /// that may be executed later.
    pub fn ends_at(&self, is_confirmed: bool, limits: &LeaseLimits) -> Option<Millis> {
        let (_, latest) = self.latest_end(is_confirmed, limits);
        (is_confirmed || self.in_flight == 0).then_some(latest)
    }

    /// Time at which the last lease ends if no call is in flight, and which leases end last.
    pub fn latest_end(&self, is_confirmed: bool, limits: &LeaseLimits) -> (LeaseKind, Millis) {
        let confirmed = self.confirmed_ends();
        let unconfirmed = self.unconfirmed_ends(limits);
        let ends = confirmed
            .into_iter()
            .chain(unconfirmed.into_iter().filter(|_| !is_confirmed));
        let ends = ends.filter_map(|(kind, end)| Some((kind, end?)));
        let latest = ends.max_by_key(|(_, end)| *end);
        let never = Millis::default() + limits.longest_on_own_clock();
        latest.unwrap_or((LeaseKind::Answered, never))
    }

    /// End of the last lease of a confirmed run, if that is later than the end that a row gives for all
    /// workers.
    pub fn unsettled_after(&self, row_end: Millis, limits: &LeaseLimits) -> Option<Millis> {
        let (_, ends_at) = self.latest_end(true, limits);
        (ends_at > row_end).then_some(ends_at)
    }

    fn confirmed_ends(&self) -> [(LeaseKind, Option<Millis>); 3] {
        [
            (LeaseKind::Named, self.named_end),
            (LeaseKind::Unsettled, self.unsettled_until),
            self.inherited_end(|ends| ends.confirmed),
        ]
    }

    fn unconfirmed_ends(&self, limits: &LeaseLimits) -> [(LeaseKind, Option<Millis>); 3] {
        let longest = limits.longest_on_own_clock();
        let answered = self.answered_at.map(|at| at + longest);
        let unanswered = self.unanswered_at.map(|at| at + limits.transit + longest);
        [
            (LeaseKind::Answered, answered),
            (LeaseKind::Unanswered, unanswered),
            self.inherited_end(|ends| ends.unconfirmed),
        ]
    }

    /// Time at which the leases of earlier owners have ended; `None` once the worker has answered.
    fn inherited_end(&self, of: impl Fn(LeaseEnds) -> Millis) -> (LeaseKind, Option<Millis>) {
        let inferred = self.inherited.map(&of);
        match (inferred, self.noted.map(of)) {
            (Some(inferred), Some(noted)) if noted < inferred => (LeaseKind::Noted, Some(noted)),
            (inferred, _) => (LeaseKind::Inherited, inferred),
        }
    }
}
