//! Settling what nobody answered: writes to the journal, and runs on workers. Pure.
//!
//! Failure: an answer is lost, or an order is carried out seconds after it was sent. A daemon that takes
//! silence for "it did not happen" starts a task a second time while the first order is still on its
//! way, and a livestream is doubled. So nothing is concluded from silence: each function here names the
//! evidence that settles a question, and answers "wait" or "ask" without it.

use super::{
    edge::{Row, TxnEnd},
    event::Loss,
};
use crate::core::time::Millis;
use std::time::Duration;

/// What is to be done about a journal row that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteVerdict {
    /// The row is in.
    Committed,
    /// Another owner has come; the row is not in and never will be.
    Fenced,
    /// Send the same row again. Whether an earlier try is still under way doesn't matter: the row's key
    /// must not exist, so at most one of them takes effect.
    SendAgain,
}

/// Judges an answer to a journal write. `own` tells our row from another's by its nonce, `is_fence` is
/// given the rows found and tells whether the fence is still ours.
///
/// Without the nonce, a row of the next owner at our place would be taken for our own write, and callers
/// would be told that jobs are accepted which nobody remembers.
pub fn judge_write(
    end: &TxnEnd,
    holds_fence: impl Fn(&[Row]) -> bool,
    is_own: impl Fn(&[Row]) -> bool,
) -> WriteVerdict {
    match end {
        TxnEnd::Committed(_) => WriteVerdict::Committed,
        TxnEnd::Conflict(rows) if is_own(rows) => WriteVerdict::Committed,
        TxnEnd::Conflict(rows) if !holds_fence(rows) => WriteVerdict::Fenced,
        // Our fence and yet another's row at our place: a second process with our fence.
        TxnEnd::Conflict(_) => WriteVerdict::Fenced,
        TxnEnd::NotDone(_) | TxnEnd::Unknown(_) => WriteVerdict::SendAgain,
    }
}

/// Whether a conflict is only about a row that rode along: the fence is ours and nothing stands at our place, so the
/// journal rows are not in and may be sent again without it. That row was changed by an earlier try of ours whose
/// answer was lost; taken for another owner's work, it would end an ownership that holds.
pub fn is_piggyback_stale(
    end: &TxnEnd,
    holds_fence: impl Fn(&[Row]) -> bool,
    is_place_free: impl Fn(&[Row]) -> bool,
) -> bool {
    match end {
        TxnEnd::Conflict(rows) => holds_fence(rows) && is_place_free(rows),
        TxnEnd::Committed(_) | TxnEnd::NotDone(_) | TxnEnd::Unknown(_) => false,
    }
}

/// How far an order to start a run has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Not sent: its placement is not durable yet.
    NotSent,
    /// Sent, no answer yet.
    UnderWay,
    /// The worker said at this time that it has the run.
    Answered(Millis),
    /// No answer came; it may be carried out yet.
    Silent,
    /// Sent by an earlier owner, whose token the worker refuses once it has seen ours.
    Inherited,
}

/// How far an order to stop a run has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stop {
    /// None was sent.
    No,
    /// Sent, no answer yet, or one that settles nothing.
    UnderWay,
    /// The worker confirmed it at this time: what isn't there by then will never run there.
    Confirmed(Millis),
}

/// What is known of a run that a shard remembers as possibly alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunKnowledge {
    /// The order to start it.
    pub order: Order,
    /// The order to stop it.
    pub stop: Stop,
}

/// What a look at a worker says of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Sight {
    /// When the look was sent.
    pub sent_at: Millis,
    /// Whether the worker lists the run as running.
    pub is_listed: bool,
    /// Whether the worker is in the life in which the run was placed.
    pub is_same_life: bool,
}

/// What is to be done about a run after a look.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunVerdict {
    /// It runs.
    Runs,
    /// Nothing is settled; wait.
    Wait,
    /// Order a stop, whose confirmation settles it.
    OrderStop,
    /// It is over, or never was.
    Lost(Loss),
}

/// Judges a run by a look at its worker.
pub fn judge_run(known: RunKnowledge, sight: Sight) -> RunVerdict {
    if sight.is_listed {
        return RunVerdict::Runs;
    }
    let gone = match sight.is_same_life {
        true => Loss::NotThere,
        false => Loss::Reborn,
    };
    // A look that was under way when the worker took the order may have been answered before it; so may
    // one that was sent within the same millisecond.
    if let Stop::Confirmed(at) = known.stop
        && sight.sent_at > at
    {
        return RunVerdict::Lost(gone);
    }
    match known.order {
        Order::NotSent | Order::UnderWay => RunVerdict::Wait,
        Order::Answered(at) if sight.sent_at > at => RunVerdict::Lost(gone),
        Order::Answered(_) => RunVerdict::Wait,
        // The look carried our token, so the worker refuses whatever the earlier owner has under way.
        Order::Inherited => RunVerdict::Lost(gone),
        // A worker that starts again under its id knows no token and no stopped run: an order that is
        // still on its way would be carried out in the new life too.
        Order::Silent => match known.stop {
            Stop::No => RunVerdict::OrderStop,
            Stop::UnderWay | Stop::Confirmed(_) => RunVerdict::Wait,
        },
    }
}

/// Bounds within which a worker can hold a lease, as its platform promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseLimits {
    /// Longest lease on the worker's clock; a longer one is cut to it.
    pub longest: Duration,
    /// The worker's clock may be slower than ours by one part in this many.
    pub drift_parts: u32,
    /// An order without an answer may be carried out this late, where workers do such things.
    pub latest_effect: Duration,
    /// How long an order may be on its way to a worker that carries out at once what reaches it.
    pub transit: Duration,
    /// How long an owner goes on renewing after its last renewal in the store that took effect.
    pub owner_hold: Duration,
}

/// A lease that is sent is this much shorter than the longest: one that reaches a worker whose clock was read a
/// moment ago would else be cut.
const LEASE_MARGIN: Duration = Duration::from_millis(100);

impl LeaseLimits {
    /// The lease that owners send: as long as workers take it, since nothing is started elsewhere before the longest lease
    /// is over. With a shorter one, tasks of a worker behind a cut would end early and be down for the rest.
    pub fn sent(&self) -> Duration {
        self.longest.saturating_sub(LEASE_MARGIN)
    }

    /// Longest lease on our clock.
    fn longest_here(&self) -> Duration {
        self.longest + self.longest / self.drift_parts
    }

    /// How late an order without an answer may take effect.
    fn lateness(&self, habit: Habit) -> Duration {
        match habit {
            Habit::Prompt => self.transit,
            Habit::Late => self.latest_effect,
        }
    }
}

/// What workers have been seen to do with orders that they don't answer.
///
/// A worker that falls silent altogether has crashed or is cut off; what was on its way to it is lost with
/// the connection. One that leaves an order unanswered and answers the next call carries orders out late.
/// Waiting for that after every crash would keep its tasks down for 18 s in place of 7.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Habit {
    /// None was seen to leave an order unanswered and to answer a later call.
    Prompt,
    /// One was.
    Late,
}

/// The latest time at which anything may still run on a worker under the leases that were sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseBound {
    /// An earlier owner may have sent it a lease until then; none once the worker answered under our token.
    inherited_until: Option<Millis>,
    /// When a lease that we sent was last answered.
    answered_at: Option<Millis>,
    /// When the last one was sent that had no answer.
    silent_at: Option<Millis>,
    under_way: u32,
}

impl LeaseBound {
    /// The bound on a worker that an owner has not heard of yet. The owner before renewed its lease in the
    /// store last at `renewed_at` or earlier, and may have renewed the workers' for its hold from then.
    pub fn inherited(renewed_at: Millis, limits: &LeaseLimits) -> Self {
        Self {
            inherited_until: Some(renewed_at + limits.owner_hold),
            answered_at: None,
            silent_at: None,
            under_way: 0,
        }
    }

    /// Notes that the owner before was gone for good by `at`, so that it sent nothing later.
    pub fn predecessor_gone(&mut self, at: Millis) {
        self.inherited_until = self.inherited_until.map(|until| until.min(at));
    }

    /// Notes that a call with a lease is sent.
    pub fn sent(&mut self) {
        self.under_way += 1;
    }

    /// Notes that such a call was answered at `at`, so that it will not take effect later.
    pub fn answered(&mut self, at: Millis) {
        self.void();
        self.answered_at = self.answered_at.max(Some(at));
    }

    /// Notes that such a call certainly had no effect.
    pub fn void(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }

    /// Notes that such a call, sent at `sent_at`, got no answer.
    pub fn silent(&mut self, sent_at: Millis) {
        self.void();
        self.silent_at = self.silent_at.max(Some(sent_at));
    }

    /// Notes a first answer under our own token at `at`: what the owner before sent is refused from now
    /// on, and what it sent earlier lasts no longer than a lease from now.
    pub fn claimed(&mut self, at: Millis) {
        self.inherited_until = None;
        self.answered_at = self.answered_at.max(Some(at));
    }

    /// Whether nothing can run there any more.
    pub fn is_over(&self, now: Millis, habit: Habit, limits: &LeaseLimits) -> bool {
        let lateness = limits.lateness(habit);
        let late = [self.inherited_until, self.silent_at];
        let late = late.into_iter().flatten().map(|at| at + lateness);
        let ends = late.chain(self.answered_at);
        let latest = ends.max().unwrap_or_default() + limits.longest_here();
        self.under_way == 0 && now > latest
    }
}
