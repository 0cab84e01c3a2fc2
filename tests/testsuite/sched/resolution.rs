//! Resolution of journal writes, runs and leases whose calls may have had no answer.

use super::world::{limits, limits_for};
use lapisdrum::{
    core::time::Millis,
    sched::{
        edge::{CallError, Row, TxnOutcome},
        event::Loss,
        lease::LeaseView,
        owner::session::Session,
        resolution::{
            ConfirmedBefore, EarlierOwners, LeaseBound, LeaseEnds, LeaseKind, LeasesLeft,
            Observation, Order, RunKnowledge, RunVerdict, SilentWorker, Stop, WriteVerdict,
            is_piggyback_stale, judge_run, judge_write,
        },
    },
};
use std::time::Duration;

fn row(value: &'static [u8]) -> Row {
    Row {
        table: "journal".to_owned(),
        key: "7".to_owned(),
        value: value.into(),
        version: 9,
    }
}

fn judge(outcome: &TxnOutcome, holds_fence: bool) -> WriteVerdict {
    judge_write(
        outcome,
        |_| holds_fence,
        |rows| rows.iter().any(|row| &row.value[..] == b"own"),
    )
}

/// A journal row is sent again because its answer was lost, and a row exists at its key. Guards against taking the
/// next owner's row for our own, which differs by its nonce: callers would be told that jobs were accepted which were
/// not.
#[test]
fn only_our_own_row_at_our_key_counts() {
    assert_eq!(
        judge(&TxnOutcome::Committed(3), true),
        WriteVerdict::Committed
    );
    assert_eq!(
        judge(&TxnOutcome::Conflict(vec![row(b"own")]), false),
        WriteVerdict::Committed
    );
    assert_eq!(
        judge(&TxnOutcome::Conflict(vec![row(b"other")]), true),
        WriteVerdict::Fenced
    );
    assert_eq!(
        judge(&TxnOutcome::Conflict(vec![row(b"other")]), false),
        WriteVerdict::Fenced
    );
    let no_answer = CallError::new("no answer");
    assert_eq!(
        judge(&TxnOutcome::Unknown(no_answer.clone()), true),
        WriteVerdict::SendAgain
    );
    assert_eq!(
        judge(&TxnOutcome::NotDone(no_answer), true),
        WriteVerdict::SendAgain
    );
}

fn verdict(
    order: Order,
    stop: Stop,
    sent_at: u64,
    is_listed: bool,
    is_same_incarnation: bool,
) -> RunVerdict {
    let observation = Observation {
        sent_at: Millis(sent_at),
        is_listed,
        is_same_incarnation,
        are_ends_complete: true,
    };
    judge_run(RunKnowledge { order, stop }, observation)
}

/// Guards against taking a run for lost because a poll response that may be older than the answer to the start order
/// does not list it. Both can fall into one millisecond, and the task would run twice at once.
#[test]
fn a_poll_that_may_be_older_than_the_order_resolves_nothing() {
    let answered = Order::Answered(Millis(100));
    assert_eq!(
        verdict(answered, Stop::No, 99, false, true),
        RunVerdict::Wait
    );
    assert_eq!(
        verdict(answered, Stop::No, 100, false, true),
        RunVerdict::Wait
    );
    let later = verdict(answered, Stop::No, 101, false, true);
    assert_eq!(later, RunVerdict::Lost(Loss::NotThere));
}

/// A start order is unanswered and its run isn't listed. The worker may still execute it seconds later, so only a
/// confirmed stop resolves it: after that the worker never starts the run.
#[test]
fn an_unanswered_start_is_resolved_only_by_a_stop() {
    for is_same_incarnation in [true, false] {
        assert_eq!(
            verdict(Order::Unanswered, Stop::No, 500, false, is_same_incarnation),
            RunVerdict::OrderStop
        );
        assert_eq!(
            verdict(
                Order::Unanswered,
                Stop::InFlight,
                500,
                false,
                is_same_incarnation
            ),
            RunVerdict::Wait
        );
        let confirmed = Stop::Confirmed(Millis(400));
        assert_eq!(
            verdict(
                Order::Unanswered,
                confirmed,
                400,
                false,
                is_same_incarnation
            ),
            RunVerdict::Wait
        );
        assert!(matches!(
            verdict(
                Order::Unanswered,
                confirmed,
                401,
                false,
                is_same_incarnation
            ),
            RunVerdict::Lost(_)
        ));
    }
    assert_eq!(
        verdict(Order::Unanswered, Stop::No, 500, true, true),
        RunVerdict::Runs
    );
}

/// A run whose start order is unsent or in flight is not resolved.
#[test]
fn an_order_in_flight_is_waited_for() {
    for order in [Order::NotSent, Order::InFlight] {
        assert_eq!(verdict(order, Stop::No, 500, false, true), RunVerdict::Wait);
    }
}

fn both(at_ms: u64) -> LeaseEnds {
    LeaseEnds {
        confirmed: Millis(at_ms),
        unconfirmed: Millis(at_ms),
    }
}

/// Bound on a worker without contact, whose leases of earlier owners end at 10 s.
fn inherited() -> LeaseBound {
    LeaseBound::inherited(both(10_000))
}

/// When an unconfirmed run of an unresponsive worker may be started elsewhere: after its lease, counted from the last
/// answer. An unanswered lease counts from its sending, plus the longest transit.
#[test]
fn a_lease_has_ended_when_nothing_can_extend_it() {
    let limits = limits();
    let at = |ms: u64| Millis(ms);
    let mut bound = inherited();
    bound.note_claimed(at(1_000), false, &limits);
    bound.note_sent(at(8_100));
    let has_ended = |bound: &LeaseBound, now| bound.has_ended(false, now, &limits);
    assert!(!has_ended(&bound, at(60_000)), "a call is in flight");
    bound.note_answered(at(2_000));
    assert!(!has_ended(&bound, at(8_000)));
    assert!(has_ended(&bound, at(8_200)));
    bound.note_sent(at(9_100));
    bound.note_unanswered(at(3_000));
    assert!(!has_ended(&bound, at(9_800)));
    assert!(has_ended(&bound, at(9_950)));
}

/// Guards against a confirmed run that is waited for until the longest lease of a later incarnation of its worker, or is
/// given up before the end that the last call named.
#[test]
fn a_confirmed_run_ends_with_the_named_lease() {
    let limits = limits_for(Duration::from_secs(10));
    let mut bound = inherited();
    bound.note_claimed(Millis(1_000), true, &limits);
    bound.note_sent(Millis(17_000));
    bound.note_unanswered(Millis(11_000));
    assert!(!bound.has_ended(true, Millis(17_000), &limits));
    assert!(bound.has_ended(true, Millis(17_001), &limits));
    assert!(!bound.has_ended(false, Millis(20_000), &limits));
}

/// Guards against a confirmed run that is given up while leases may last that earlier owners, or this one for an earlier
/// incarnation, sent to its worker.
#[test]
fn a_claim_keeps_the_leases_that_were_sent_before() {
    let limits = limits();
    let longest = limits.longest + limits.longest / limits.drift_parts;
    let end = |bound: &LeaseBound| bound.latest_end(true, &limits).1;
    let later = LeaseEnds {
        confirmed: Millis(10_000),
        unconfirmed: Millis(20_000),
    };
    let mut bound = LeaseBound::inherited(later);
    bound.note_claimed(Millis(9_000), false, &limits);
    assert_eq!(end(&bound), Millis(9_000) + longest);
    bound.note_claimed(Millis(9_500), false, &limits);
    let in_flight = limits.transit * 2;
    assert_eq!(end(&bound), Millis(9_500) + longest + in_flight);
    let mut confirmed = LeaseBound::inherited(later);
    confirmed.note_claimed(Millis(9_000), true, &limits);
    assert_eq!(end(&confirmed), Millis(10_000));
    let mut ended = inherited();
    ended.note_claimed(Millis(9_000), false, &limits);
    let renewed = limits.after_renewal - limits.start_hold;
    let renewed = renewed + renewed / limits.drift_parts;
    assert_eq!(
        end(&ended),
        Millis(10_000) + renewed,
        "renewals go on after starts"
    );
    let mut noted = LeaseBound::inherited(later);
    noted.note_written_end(both(9_800));
    noted.note_claimed(Millis(9_000), true, &limits);
    assert_eq!(end(&noted), Millis(9_800));
    let mut restarted = LeaseBound::inherited(later);
    restarted.note_written_end(both(9_800));
    restarted.note_claimed(Millis(9_000), false, &limits);
    assert_eq!(end(&restarted), Millis(9_000) + longest);
}

/// A new owner cannot reach a worker, whose lease the previous owner of an earlier version may have renewed until the end
/// of its hold time.
#[test]
fn the_hold_time_of_a_previous_owner_of_an_earlier_version_is_waited_for() {
    let limits = limits();
    let earlier = EarlierOwners::held(Millis(0), Millis(10_000), &limits);
    let bound = LeaseBound::inherited(earlier.ends());
    let hold = Millis(10_000) + limits.owner_hold + limits.longest;
    for is_confirmed in [false, true] {
        assert!(!bound.has_ended(is_confirmed, hold, &limits));
        assert!(bound.has_ended(is_confirmed, hold + Duration::from_secs(1), &limits));
    }
}

/// Guards against a bound on earlier owners that a later note raises.
#[test]
fn a_noted_end_only_lowers_the_bound() {
    let limits = limits();
    let mut bound = inherited();
    let end = |bound: &LeaseBound| bound.latest_end(false, &limits).1;
    let inferred = end(&bound);
    bound.note_written_end(both(inferred.0 + 1_000));
    assert_eq!(end(&bound), inferred);
    bound.note_written_end(both(8_000));
    bound.note_written_end(both(9_000));
    let noted = (LeaseKind::Noted, Millis(8_000));
    assert_eq!(bound.latest_end(false, &limits), noted);
    assert_eq!(bound.latest_end(true, &limits), noted);
}

/// Guards against acknowledging ends that were never received: a worker that did not answer may be in a new
/// incarnation, which numbers its ends from 1 again.
#[test]
fn nothing_is_acknowledged_to_an_unresponsive_worker() {
    let mut session = Session::new(inherited());
    session.acked_upto = 7;
    assert_eq!(session.ackable(), 7);
    session.unresponsive_since = Some(Millis(100));
    assert_eq!(session.ackable(), 0);
}

/// A conflict is caused by the piggybacked row only if the fence is ours and no row exists at our key. Without the
/// fence, another owner has taken over; with a row at our key, the journal rows themselves are in conflict.
#[test]
fn a_conflict_is_about_the_piggyback_only_with_our_fence_and_a_free_key() {
    let judge = |outcome: &TxnOutcome, holds_fence, is_key_free| {
        is_piggyback_stale(outcome, |_| holds_fence, |_| is_key_free)
    };
    let conflict = TxnOutcome::Conflict(vec![row(b"lease")]);
    assert!(judge(&conflict, true, true));
    assert!(!judge(&conflict, false, true));
    assert!(!judge(&conflict, true, false));
    assert!(!judge(&TxnOutcome::Committed(3), true, true));
    assert!(!judge(
        &TxnOutcome::Unknown(CallError::new("no answer")),
        true,
        true
    ));
}

/// Guards against a note that leaves out the lease of a call in flight.
#[test]
fn no_end_is_noted_while_a_call_is_in_flight() {
    let limits = limits();
    let mut bound = inherited();
    let noted = |bound: &LeaseBound| bound.ends_at(false, &limits);
    assert!(noted(&bound).is_some());
    bound.note_sent(Millis(7_000));
    assert_eq!(noted(&bound), None);
    bound.note_unanswered(Millis(900));
    assert!(noted(&bound).is_some());
}

/// Guards against a row of an earlier version that is taken to confirm runs on a silent worker, of which it gives one end.
#[test]
fn a_row_of_an_earlier_version_confirms_no_run_on_a_silent_worker() {
    let value = br#"{"holder":{"daemon":"a","address":"a.example:1","incarnation":1},"is_released":false,"renewals":3,
        "up_ms":5,"earlier_may_send_ms":0,"last_sender":null,"leases":{"sender":{"confirmed_ms":7462,
        "unconfirmed_ms":14824},"earlier":{"confirmed_ms":0,"unconfirmed_ms":0},"silent":{"w1":5000},
        "confirmed_before":12},"accepts_returns":true}"#;
    let row = Row {
        table: "owners".to_owned(),
        key: "lease".to_owned(),
        value: value.as_slice().into(),
        version: 9,
    };
    let limits = limits();
    let mut view = LeaseView::default();
    view.note(&[row], Millis(1_000)).expect("a valid row");
    let silent = view.silent_workers(&limits)["w1"];
    assert_eq!(silent.ends.confirmed, silent.ends.unconfirmed);
    assert!(!silent.is_confirmed(0));
    let confirmed = view.confirmed_before();
    assert_eq!([confirmed.on("w2"), confirmed.on_all()], [Some(12); 2]);
    assert!(view.unsettled_workers(&limits).is_empty());
}

/// Guards against an owner of an earlier version that takes a run for confirmed which is not: it knows one number for all
/// workers, and one end for all runs of a silent worker.
#[test]
fn what_an_earlier_version_reads_promises_no_less() {
    let mut confirmed = ConfirmedBefore::everywhere(Some(20));
    for at in 0..200 {
        let is_named = confirmed.add(&format!("w{at}"), 100 - at / 2);
        assert_eq!(is_named, at < 64, "the row stays small");
    }
    let lowest = confirmed.on_all();
    assert_eq!(lowest, Some(1), "also beyond the workers that are named");
    for at in 0..300 {
        assert!(confirmed.on(&format!("w{at}")) >= lowest);
    }
    let silent = SilentWorker {
        ends: LeaseEnds {
            confirmed: Millis(3_000),
            unconfirmed: Millis(9_000),
        },
        confirmed_before: Some(7),
    };
    assert!(silent.all_left_ms(Millis(1_000)) >= 8_000);
    let left = silent
        .confirmed_left(Millis(1_000))
        .expect("an earlier end");
    assert!(left.ends_in_ms >= 2_000);
    let read = SilentWorker::by_row(Millis(1_500), 8_001, Some(&left), &limits());
    assert!(read.ends.confirmed >= silent.ends.confirmed);
    assert!(read.is_confirmed(6) && !read.is_confirmed(7));
}

/// Guards against a run of a new owner on a restarted worker that is given up while the lease lasts which the worker got
/// before, by a renewal of the earlier owner in transit.
#[test]
fn a_claim_expects_renewals_that_met_a_restart() {
    for longest in [6, 10].map(Duration::from_secs) {
        let limits = limits_for(longest);
        let longest = longest + longest / limits.drift_parts;
        let row = limits.after_row();
        let earlier = EarlierOwners::by_row(Millis(0), row, LeasesLeft::default(), &limits);
        for claimed_at in (0..20_000).step_by(100).map(Millis) {
            let mut bound = LeaseBound::inherited(earlier.ends());
            bound.note_written_end(both(6_000));
            bound.note_claimed(claimed_at, false, &limits);
            let last_effect = Millis(0) + limits.after_renewal + limits.transit * 2;
            let lease_ends = claimed_at.min(last_effect) + longest;
            let (_, end) = bound.latest_end(true, &limits);
            assert!(
                end >= lease_ends,
                "{claimed_at:?}: {end:?} < {lease_ends:?}"
            );
        }
    }
}
