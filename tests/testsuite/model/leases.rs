//! Leases on one worker against the owner's bound on them, over the real session and bound: whatever calls are lost or
//! executed late, and however slow the worker's clock is, no lease lasts longer than the owner believes, and none longer
//! than its lease row says.

use crate::sched::world::{limits, limits_for};
use lapisdrum::{
    core::time::{Millis, WorkerMillis},
    sched::{
        owner::session::Session,
        resolution::{LeaseBound, LeaseEnds},
    },
};
use proptest::{collection::vec, prelude::*};
use std::time::Duration;

/// Reading of the worker's clock when the owner's shows 0.
const CLOCK_START: f64 = 5_000.0;
/// The slowest clock of a worker: 2 % slower than the owner's.
const MAX_SLOWNESS: f64 = 0.02;

/// A call with a lease, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Call {
    /// Time since the call before.
    after: u64,
    /// Time from the reading of the worker's clock until its arrival.
    reading_took: u64,
    /// Whether the worker's clock is read at the same time.
    reads_clock: bool,
    /// Time until the call takes effect; never if it is `None`.
    takes_effect: Option<u64>,
    /// Whether the worker is restarted while the call is in transit, and its clock starts anew.
    meets_restart: bool,
    is_answered: bool,
}

fn call() -> impl Strategy<Value = Call> {
    let effect = prop_oneof![Just(None), (0..12_500_u64).prop_map(Some)];
    let times = (0..7_000_u64, 0..700_u64);
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    (times, effect, flags).prop_map(
        |((after, reading_took), takes_effect, (reads_clock, meets_restart, is_answered))| Call {
            after,
            reading_took,
            reads_clock,
            takes_effect,
            meets_restart,
            is_answered,
        },
    )
}

/// The worker's side: its clock, and the end of its lease on that clock.
struct Lease {
    speed: f64,
    until: f64,
    /// Latest end, on the owner's clock, of a lease that was given after a restart.
    after_restart: f64,
}

impl Lease {
    fn clock(&self, at: u64) -> f64 {
        CLOCK_START + at as f64 * self.speed
    }

    fn extend(&mut self, until: WorkerMillis, at: u64, longest: Duration) {
        let clock = self.clock(at);
        let longest = longest.as_millis() as f64;
        self.until = self.until.max((until.0 as f64).min(clock + longest));
    }

    /// The end that the call names lies far ahead on a clock that started anew, so the lease is as long as possible.
    fn extend_after_restart(&mut self, at: u64, longest: Duration) {
        let ends_at = at as f64 + longest.as_millis() as f64 / self.speed;
        self.after_restart = self.after_restart.max(ends_at);
    }

    /// Time on the owner's clock at which the last lease ends that was given by the end that its call names.
    fn named_end(&self) -> f64 {
        (self.until - CLOCK_START) / self.speed
    }

    /// Time on the owner's clock at which the last lease ends.
    fn ends_at(&self) -> f64 {
        self.named_end().max(self.after_restart)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_096, ..ProptestConfig::default() })]

    /// Guards against a run that is given up while a lease lasts that was sent by an old reading of a slow clock, or
    /// executed late.
    #[test]
    fn no_lease_outlasts_its_bound(calls in vec(call(), 1..8), slowness in 0.0..MAX_SLOWNESS) {
        let limits = limits();
        let mut session = Session::new(LeaseBound::inherited(LeaseEnds::default()));
        session.bound.note_claimed(Millis(0), true, &limits);
        let mut lease = Lease { speed: 1.0 - slowness, until: CLOCK_START, after_restart: 0.0 };
        let mut now = 0;
        for call in calls {
            now += call.after;
            if call.reads_clock {
                let read_at = now.saturating_sub(call.reading_took);
                session.note_clock(WorkerMillis(lease.clock(read_at) as u64), Millis(now));
            }
            let length = limits.sent(Duration::ZERO).expect("a lease");
            let Some(sent) = session.lease(Millis(now), length, &limits) else {
                continue;
            };
            session.bound.note_sent(sent.ends_by);
            let transit = limits.transit.as_millis() as u64;
            match call.takes_effect {
                Some(after) if call.meets_restart && after <= transit => {
                    lease.extend_after_restart(now + after, limits.longest);
                }
                Some(after) => lease.extend(sent.until, now + after, limits.longest),
                None => {}
            }
            match call.takes_effect.filter(|after| call.is_answered && *after <= transit) {
                Some(after) => session.bound.note_answered(Millis(now + after)),
                None => session.bound.note_unanswered(Millis(now)),
            }
            let (_, confirmed) = session.bound.latest_end(true, &limits);
            let named = lease.named_end();
            prop_assert!(confirmed.0 as f64 + 1.0 >= named, "confirmed: {confirmed:?} < {named}");
            let (_, latest) = session.bound.latest_end(false, &limits);
            prop_assert!(latest.0 as f64 + 1.0 >= lease.ends_at(), "{latest:?} < {}", lease.ends_at());
        }
    }

    /// Guards against a run that the next owner gives up by the last lease row while a lease lasts that was sent long
    /// after it, by an old reading of a slow clock.
    #[test]
    fn no_lease_outlasts_its_row(calls in vec(call(), 1..12), slowness in 0.0..MAX_SLOWNESS, longest_s in 3..12_u64) {
        let limits = limits_for(Duration::from_secs(longest_s));
        let mut session = Session::new(LeaseBound::inherited(LeaseEnds::default()));
        let mut lease = Lease { speed: 1.0 - slowness, until: CLOCK_START, after_restart: 0.0 };
        let renewed_at = Millis(0);
        let mut now = 0;
        for call in calls {
            now += call.after / 2;
            if call.reads_clock {
                let read_at = now.saturating_sub(call.reading_took);
                session.note_clock(WorkerMillis(lease.clock(read_at) as u64), Millis(now));
            }
            let length = limits.sent(Millis(now).since(renewed_at));
            let sent = length.and_then(|length| session.lease(Millis(now), length, &limits));
            if let (Some(sent), Some(after)) = (sent, call.takes_effect) {
                lease.extend(sent.until, now + after, limits.longest);
            }
        }
        let by_row = renewed_at + Duration::from_millis(limits.after_row().confirmed_ms);
        prop_assert!(by_row.0 as f64 + 1.0 >= lease.named_end(), "{by_row:?} < {}", lease.named_end());
    }
}
