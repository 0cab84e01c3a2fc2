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
    Inherited,
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
    /// Whether the run has started, as far as known. An earlier owner's run counts as started until
    /// its worker answers: most are, and the earlier owner may have reported it so.
    pub fn has_started(&self) -> bool {
        matches!(self.order, Order::Answered(_) | Order::Inherited)
    }

    /// Whether there is no evidence that the run, which was lost, had started.
    pub fn is_unstarted(&self, why: Loss) -> bool {
        match self.order {
            Order::NotSent | Order::InFlight | Order::Unanswered => true,
            Order::Answered(_) => false,
            // Its worker has no end of it, and the journal neither.
            Order::Inherited => why == Loss::NotThere,
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
        Order::Inherited => RunVerdict::Lost(loss),
        // A worker that restarts under the same id has lost all tokens and stopped runs: an order
        // still in flight would be carried out by the new incarnation too.
        Order::Unanswered => match known.stop {
            Stop::No => RunVerdict::OrderStop,
            Stop::InFlight | Stop::Confirmed(_) => RunVerdict::Wait,
        },
    }
}

/// Bounds on how long a worker can hold a lease, as guaranteed by its platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseLimits {
    /// Longest lease on the worker's clock; the worker shortens a longer one to it.
    pub longest: Duration,
    /// The worker's clock may be slower than the owner's by one part in this many.
    pub drift_parts: u32,
    /// Longest time in flight of an order to a worker that carries out orders on arrival.
    pub transit: Duration,
    /// Time for which an owner continues to renew workers' leases after its last successful renewal
    /// in the store.
    pub owner_hold: Duration,
}

/// Difference of a sent lease from the longest. Without it, a worker whose clock was read shortly
/// before would shorten the lease on arrival.
const LEASE_MARGIN: Duration = Duration::from_millis(100);

impl LeaseLimits {
    /// Lease that owners send: as long as workers accept, since nothing is started elsewhere before
    /// the longest lease has ended. With a shorter one, tasks of a partitioned worker would end
    /// early and be down for the rest.
    pub fn sent(&self) -> Duration {
        self.longest.saturating_sub(LEASE_MARGIN)
    }

    /// Maximum age of a reading of a worker's clock by which a lease is sent. The worker's clock may
    /// have been slower since the reading, so that the lease ends later on the owner's clock; within
    /// this age [`LEASE_MARGIN`] covers the difference.
    pub fn max_clock_age(&self) -> Duration {
        LEASE_MARGIN * self.drift_parts
    }

    /// Longest lease on the owner's clock.
    fn longest_on_own_clock(&self) -> Duration {
        self.measured_elsewhere(self.longest)
    }

    /// Upper bound, on the own clock, of a time that another daemon measured.
    fn measured_elsewhere(&self, time: Duration) -> Duration {
        time + time / self.drift_parts
    }

    /// Time at which leases have ended by a note that was read at `read_at` and says that they end
    /// `ends_in_ms` after its writing.
    pub fn end_by_note(&self, read_at: Millis, ends_in_ms: u64) -> Millis {
        read_at + self.measured_elsewhere(Duration::from_millis(ends_in_ms))
    }
}

/// Leases that a worker may hold, by who sent them and what is known of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseKind {
    /// Sent by this owner, with a reply.
    Answered,
    /// Sent by this owner, without a reply.
    Unanswered,
    /// Sent by an earlier owner.
    Inherited,
}

/// Until when earlier owners of a shard may send leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EarlierOwners {
    /// Until when the previous owner may.
    previous_until: Millis,
    /// Until when the owners before the previous one may.
    before_until: Millis,
}

impl EarlierOwners {
    /// Bounds for a previous owner that took the shard at `took_at` or earlier and last renewed its
    /// lease in the store at `renewed_at` or earlier. Each owner sends leases for
    /// [`LeaseLimits::owner_hold`] after its last renewal.
    pub fn held(took_at: Millis, renewed_at: Millis, limits: &LeaseLimits) -> Self {
        Self {
            previous_until: renewed_at + limits.owner_hold,
            before_until: took_at + limits.owner_hold,
        }
    }

    /// Bounds from a row that was written at `at` or earlier by an owner that has sent no lease: the
    /// last owner that has sends none after `previous_left`, and those before that one none after
    /// `before_left`.
    pub fn noted(
        at: Millis,
        previous_left: Duration,
        before_left: Duration,
        limits: &LeaseLimits,
    ) -> Self {
        Self {
            previous_until: at + limits.measured_elsewhere(previous_left),
            before_until: at + limits.measured_elsewhere(before_left),
        }
    }

    /// Records that the previous owner wrote at `at` or earlier that owners before it send no lease
    /// after `left`.
    pub fn note_before(&mut self, at: Millis, left: Duration, limits: &LeaseLimits) {
        self.before_until = at + limits.measured_elsewhere(left);
    }

    /// Records that the previous owner sends no lease after `at`.
    pub fn note_previous_stopped(&mut self, at: Millis) {
        self.previous_until = self.previous_until.min(at);
    }

    /// Until when the previous owner may send leases.
    pub fn previous_until(&self) -> Millis {
        self.previous_until
    }

    /// Until when the owners before the previous one may send leases.
    pub fn before_until(&self) -> Millis {
        self.before_until
    }

    /// Until when any earlier owner may send leases.
    pub fn until(&self) -> Millis {
        self.previous_until.max(self.before_until)
    }
}

/// Bound on the time until which runs may be alive on a worker under the leases that were sent to
/// it.
///
/// A lease ends at a time on the worker's clock that the call names, however late the call takes
/// effect, and a start order that arrives after that time is refused. So a call that is executed
/// late extends nothing. A later incarnation of the worker, whose clock starts anew, may receive a
/// call while that is in transit, and then counts the lease from its arrival; later calls ended with
/// the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseBound {
    /// Time until which an earlier owner may have sent leases; `None` once the worker has answered
    /// under this owner's token.
    inherited_until: Option<Millis>,
    /// Time at which the leases of earlier owners have ended, as the previous owner wrote.
    inherited_end: Option<Millis>,
    /// Time of the last reply to a lease of this owner.
    answered_at: Option<Millis>,
    /// Time at which the last lease without a reply was sent.
    unanswered_at: Option<Millis>,
    in_flight: u32,
}

impl LeaseBound {
    /// Bound for a worker without contact to this owner so far. The previous owner last renewed its
    /// lease in the store at `renewed_at` or earlier, and may have renewed the workers' leases for
    /// [`LeaseLimits::owner_hold`] after that.
    pub fn inherited(renewed_at: Millis, limits: &LeaseLimits) -> Self {
        Self::inherited_until(renewed_at + limits.owner_hold)
    }

    /// Bound for a worker without contact to this owner so far; no earlier owner sends a lease
    /// after `until`.
    pub fn inherited_until(until: Millis) -> Self {
        Self {
            inherited_until: Some(until),
            inherited_end: None,
            answered_at: None,
            unanswered_at: None,
            in_flight: 0,
        }
    }

    /// Records that the previous owner had ended by `at`, so that it sent no lease later.
    pub fn previous_owner_ended(&mut self, at: Millis) {
        self.inherited_until = self.inherited_until.map(|until| until.min(at));
    }

    /// Records that the leases of earlier owners have ended by `at`. A later time than a known one
    /// is ignored.
    pub fn note_inherited_end(&mut self, at: Millis) {
        let known = self.inherited_end.unwrap_or(at);
        self.inherited_end = Some(known.min(at));
    }

    /// Records that a call with a lease is sent.
    pub fn note_sent(&mut self) {
        self.in_flight += 1;
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

    /// Records the first reply under this owner's token, at `at`: from then on the worker refuses
    /// calls of the previous owner, and leases that it sent earlier end at most one lease after
    /// `at`.
    pub fn note_claimed(&mut self, at: Millis) {
        self.inherited_until = None;
        self.answered_at = self.answered_at.max(Some(at));
    }

    /// Whether no run can be alive on the worker any more.
    pub fn has_ended(&self, now: Millis, limits: &LeaseLimits) -> bool {
        let (_, latest) = self.latest_end(limits);
        self.in_flight == 0 && now > latest
    }

    /// Time from `now` until the last lease ends, in milliseconds, rounded up; `None` while calls are
    /// in flight.
    pub fn ends_in_ms(&self, now: Millis, limits: &LeaseLimits) -> Option<u64> {
        let (_, latest) = self.latest_end(limits);
        (self.in_flight == 0).then(|| millis(latest.since(now)) + 1)
    }

    /// Time at which the leases of earlier owners have ended; `None` once the worker has answered.
    fn inherited_end(&self, limits: &LeaseLimits) -> Option<Millis> {
        let inferred = self.inherited_until? + limits.transit + limits.longest_on_own_clock();
        let noted = self.inherited_end.unwrap_or(inferred);
        Some(noted.min(inferred))
    }

    /// Time at which the last lease ends if no call is in flight, and which leases end last.
    pub fn latest_end(&self, limits: &LeaseLimits) -> (LeaseKind, Millis) {
        let longest = limits.longest_on_own_clock();
        let answered = self.answered_at.map(|at| at + longest);
        let unanswered = self.unanswered_at.map(|at| at + limits.transit + longest);
        let ends = [
            (LeaseKind::Answered, answered),
            (LeaseKind::Unanswered, unanswered),
            (LeaseKind::Inherited, self.inherited_end(limits)),
        ];
        let ends = ends
            .into_iter()
            .filter_map(|(kind, end)| Some((kind, end?)));
        let latest = ends.max_by_key(|(_, end)| *end);
        latest.unwrap_or((LeaseKind::Answered, Millis::default() + longest))
    }
}
