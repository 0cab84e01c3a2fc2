//! Owners of a shard in series, over the project's own bounds on earlier owners: whatever ends them, no lease of theirs
//! lasts longer than the next one infers from the rows.

use crate::sched::world::{limits, limits_for};
use indexmap::IndexMap;
use lapisdrum::{
    core::time::{Millis, millis},
    sched::{
        edge::Row,
        lease::{Holder, LeaseRow, LeaseView, SentLeases, unsettled_left_of},
        resolution::{
            ConfirmedBefore, ConfirmedRuns, EarlierOwners, LeaseBound, LeaseEnds, LeaseLimits,
            LeasesLeft, UnsettledWorker,
        },
    },
};
use proptest::{collection::vec, option, prelude::*};
use std::time::Duration;

/// How long a releasing owner of the build before goes on sending leases.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// How an owner ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Released,
    /// By a build that writes nothing about earlier owners and sends leases until the answer.
    ReleasedByOldBuild,
    /// Killed, and the next owner knows it.
    Killed,
    /// Cut off from the store, and unknown to the next owner.
    Cut,
    /// The same, by a build whose rows do not bound its leases.
    CutOfOldBuild,
    /// Its take-over got no reply, or it ended before the next renewal, so that it has sent no lease.
    Idle,
    /// Released before it has sent a lease.
    IdleReleased,
}

#[derive(Clone, Copy, Debug)]
struct Tenure {
    end: End,
    stays_ms: u64,
    /// Time from the composition of a row until it takes effect.
    write_ms: u64,
    /// Time from the last row until the next owner first reads the rows.
    read_ms: u64,
}

fn tenure() -> impl Strategy<Value = Tenure> {
    let end = prop_oneof![
        Just(End::Released),
        Just(End::ReleasedByOldBuild),
        Just(End::Killed),
        Just(End::Cut),
        Just(End::CutOfOldBuild),
        Just(End::Idle),
        Just(End::IdleReleased),
    ];
    (end, 0..9_000_u64, 0..1_500_u64, 0..4_000_u64).prop_map(
        |(end, stays_ms, write_ms, read_ms)| Tenure {
            end,
            stays_ms,
            write_ms,
            read_ms,
        },
    )
}

fn rows(version: u64, row: &LeaseRow) -> [Row; 2] {
    let value = |key: &str, value: Vec<u8>| Row {
        table: "owners".to_owned(),
        key: key.to_owned(),
        value: value.into(),
        version,
    };
    let lease = serde_json::to_vec(row).expect("a serialisable row");
    [value("lease", lease), value("fence", Vec::new())]
}

/// What an owner does on one worker before it stops, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Contact {
    /// Time after the take-over at which the worker answers and a lease is sent, if it does.
    sent: Option<u64>,
    /// Time until the call takes effect, on a worker whose clock may have started anew meanwhile.
    transit: u64,
    is_answered: bool,
    stays: u64,
    /// Time from the writing of the note until the next owner reads it; `None` if it never does.
    note_read: Option<u64>,
}

fn contact() -> impl Strategy<Value = Contact> {
    let times = (option::of(0..9_000_u64), 0..=750_u64, 0..9_000_u64);
    (times, any::<bool>(), option::of(0..4_000_u64)).prop_map(
        |((sent, transit, stays), is_answered, note_read)| Contact {
            sent,
            transit,
            is_answered,
            stays,
            note_read,
        },
    )
}

fn on_own_clock(time: Duration, limits: &LeaseLimits) -> Duration {
    time + time / limits.drift_parts
}

fn both(at: Millis) -> LeaseEnds {
    LeaseEnds {
        confirmed: at,
        unconfirmed: at,
    }
}

/// Ends of leases that an owner sent up to `at`, and of start orders that later incarnations of their workers executed.
fn last_leases(at: Millis, limits: &LeaseLimits) -> LeaseEnds {
    LeaseEnds {
        confirmed: at + on_own_clock(limits.longest_sent.min(limits.longest), limits),
        unconfirmed: at + limits.transit + on_own_clock(limits.longest, limits),
    }
}

proptest! {
    /// Guards against a run that is given up by an earlier owner's note while a lease on its worker lasts.
    #[test]
    fn a_noted_end_is_no_earlier_than_the_last_lease(contacts in vec(contact(), 2..6)) {
        let limits = limits();
        let longest = on_own_clock(limits.longest, &limits);
        let length = limits.sent(Duration::ZERO).expect("a lease");
        let mut now = Millis(1_000);
        let mut lasts_until = Millis(0);
        let mut bound = LeaseBound::inherited(LeaseEnds::default());
        for contact in contacts {
            let stops_at = now + Duration::from_millis(contact.stays);
            let sent_at = contact.sent.map(|sent| now + Duration::from_millis(sent));
            if let Some(sent_at) = sent_at.filter(|at| *at <= stops_at) {
                let effective_at = sent_at + Duration::from_millis(contact.transit);
                bound.note_claimed(sent_at, false, &limits);
                bound.note_sent(sent_at + limits.ends_within(length));
                if contact.is_answered {
                    bound.note_answered(effective_at);
                } else {
                    bound.note_unanswered(sent_at);
                }
                lasts_until = effective_at + longest;
            }
            let noted = bound.ends_at(false, &limits).expect("no call in flight");
            let noted = millis(noted.since(stops_at)) + 1;
            let read_after = Duration::from_millis(contact.note_read.unwrap_or_default());
            now = stops_at + read_after;
            let mut earlier = EarlierOwners::held(now, now, &limits);
            if contact.note_read.is_some() {
                earlier.note_previous_stopped(now);
            }
            bound = LeaseBound::inherited(earlier.previous());
            if contact.note_read.is_some() {
                bound.note_written_end(both(limits.end_by_note(now, noted)));
            }
            let (_, latest) = bound.latest_end(false, &limits);
            prop_assert!(latest >= lasts_until, "{latest:?} < {lasts_until:?}");
        }
    }

    /// Guards against a run that is given up while a lease lasts that the last owner or one before it sent.
    #[test]
    fn no_lease_lasts_longer_than_inferred(tenures in vec(tenure(), 2..6), longest_s in 3..12_u64) {
        let limits = limits_for(Duration::from_secs(longest_s));
        let mut now = Millis(1_000);
        let mut last = LeaseEnds::default();
        let mut view = LeaseView::default();
        let mut has_sender_ended = false;
        for (version, tenure) in (1..).zip(tenures) {
            let mut earlier = view.earlier_owners(&limits);
            if has_sender_ended {
                earlier.note_previous_stopped(now);
            }
            let inferred = earlier.ends();
            prop_assert!(inferred.confirmed >= last.confirmed, "{inferred:?} < {last:?}");
            prop_assert!(inferred.unconfirmed >= last.unconfirmed, "{inferred:?} < {last:?}");
            let composed_at = now + Duration::from_millis(tenure.stays_ms);
            let written_at = composed_at + Duration::from_millis(tenure.write_ms);
            let is_old = matches!(tenure.end, End::ReleasedByOldBuild | End::CutOfOldBuild);
            let is_released = matches!(tenure.end, End::Released | End::ReleasedByOldBuild);
            let left = inferred.left(composed_at);
            let earlier_may_send_ms = match tenure.end {
                End::ReleasedByOldBuild => None,
                _ => Some(limits.may_send_ms(left)),
            };
            let holder = Holder {
                daemon: "a".to_owned(),
                address: "a.example:1".to_owned(),
                incarnation: version,
            };
            let taken = view.takeover_row(&holder, now, &limits);
            let row = LeaseRow {
                holder,
                is_released,
                renewals: 1,
                up_ms: 0,
                earlier_may_send_ms,
                last_sender: None,
                leases: (!is_old).then(|| SentLeases {
                    sender: match is_released {
                        true => limits.after_last_row(),
                        false => limits.after_row(),
                    },
                    earlier: left,
                    silent: IndexMap::new(),
                    silent_confirmed: IndexMap::new(),
                    confirmed_before: None,
                    confirmed: None,
                    unsettled: IndexMap::new(),
                    started: None,
                }),
                accepts_returns: true,
                accepts_origins: true,
                successor: None,
                tells_load: false,
                takes_jobs: true,
            };
            let row = match tenure.end {
                End::Idle => taken,
                End::IdleReleased => LeaseRow {
                    is_released: true,
                    ..view.takeover_row(&row.holder, composed_at, &limits)
                },
                _ => row,
            };
            let has_sent = row.last_sender.is_none();
            let unbounded = limits.transit + on_own_clock(limits.longest, &limits);
            let sent = match tenure.end {
                End::Released => last_leases(composed_at, &limits),
                End::ReleasedByOldBuild => both(composed_at + RELEASE_TIMEOUT + unbounded),
                End::Killed | End::Idle | End::IdleReleased => last_leases(written_at, &limits),
                End::Cut => LeaseEnds {
                    confirmed: composed_at + on_own_clock(limits.after_renewal, &limits),
                    unconfirmed: composed_at + limits.start_hold + limits.transit + unbounded,
                },
                End::CutOfOldBuild => both(composed_at + limits.owner_hold + unbounded),
            };
            if has_sent {
                last.confirmed = last.confirmed.max(sent.confirmed);
                last.unconfirmed = last.unconfirmed.max(sent.unconfirmed);
                has_sender_ended = matches!(tenure.end, End::Killed);
            }
            now = written_at + Duration::from_millis(tenure.read_ms);
            view = LeaseView::default();
            view.note(&rows(version, &row), now).expect("a valid row");
        }
    }
}

/// What an owner does on a worker that may restart.
#[derive(Clone, Copy, Debug)]
struct Visit {
    /// Time after the take-over at which the worker restarts, if it does.
    restarts: Option<u64>,
    /// Time after the restart at which a call to the incarnation before takes effect.
    late_effect: u64,
    /// Time after the take-over at which the worker answers, if it does.
    answers: Option<u64>,
    /// Time from then until the last row is composed.
    stays: u64,
    is_released: bool,
    is_known_to_have_ended: bool,
    /// Time until the next owner reads the row.
    read_ms: u64,
    /// Thousandths by which this owner's clock is slower than true time.
    slowness: u64,
}

fn visit() -> impl Strategy<Value = Visit> {
    let times = (
        option::weighted(0.3, 0..4_000_u64),
        0..12_000_u64,
        option::weighted(0.8, 0..4_000_u64),
    );
    let end = (
        0..6_000_u64,
        any::<bool>(),
        any::<bool>(),
        0..3_000_u64,
        0..20_u64,
    );
    (times, end).prop_map(|((restarts, late_effect, answers), end)| {
        let (stays, is_released, is_known_to_have_ended, read_ms, slowness) = end;
        Visit {
            restarts,
            late_effect,
            answers,
            stays,
            is_released,
            is_known_to_have_ended,
            read_ms,
            slowness,
        }
    })
}

/// A worker and its only long-running run, in true time.
#[derive(Default)]
struct TrueWorker {
    incarnation: u64,
    leases_end: u64,
    /// Incarnation that has the run, and the journal row of its placement.
    run: Option<(u64, u64)>,
    /// Latest time at which a call to an earlier incarnation may take effect.
    calls_until: u64,
    /// When such a call takes effect, unless a later owner is answered before.
    late_effect: Option<u64>,
}

/// The row of an owner that sends leases.
fn sender_row(leases: SentLeases, is_released: bool) -> LeaseRow {
    let holder = Holder {
        daemon: "a".to_owned(),
        address: "a.example:1".to_owned(),
        incarnation: 1,
    };
    LeaseRow {
        is_released,
        last_sender: None,
        leases: Some(leases),
        ..LeaseView::default().takeover_row(&holder, Millis(0), &limits())
    }
}

fn unsettled_left(worker: &str, unsettled: Option<UnsettledWorker>, now: Millis) -> SentLeases {
    let workers: IndexMap<_, _> = unsettled
        .map(|u| (worker.to_owned(), u))
        .into_iter()
        .collect();
    SentLeases {
        sender: LeasesLeft::default(),
        earlier: LeasesLeft::default(),
        silent: IndexMap::new(),
        silent_confirmed: IndexMap::new(),
        confirmed_before: None,
        confirmed: None,
        unsettled: unsettled_left_of(&workers, now),
        started: None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 8_192, ..ProptestConfig::default() })]

    /// Guards against a run that is given up by the end which an owner wrote for a restarted worker, while a lease lasts
    /// there that a call of an earlier owner has extended.
    #[test]
    fn no_lease_on_a_restarted_worker_outlasts_what_rows_say(visits in vec(visit(), 2..7), longest_s in 6..12_u64) {
        let limits = limits_for(Duration::from_secs(longest_s));
        let transit = limits.transit.as_millis() as u64;
        let longest = limits.longest.as_millis() as u64;
        let longest = longest + longest / 50;
        let mut worker = TrueWorker::default();
        let mut view = LeaseView::default();
        let mut has_previous_ended = false;
        let mut now = 1_000;
        for (nth, visit) in (1..).zip(visits) {
            // The rows are read by the clock of this owner, which counts from its take-over.
            let own = |at: u64| Millis(100_000 + (at - now) - (at - now) * visit.slowness / 1_000);
            let mut earlier = view.earlier_owners(&limits);
            if has_previous_ended {
                earlier.note_previous_stopped(own(now));
            }
            let mut bound = LeaseBound::inherited(earlier.ends());
            let unsettled = view.unsettled_workers(&limits).get("w").copied();
            if let Some(unsettled) = unsettled {
                bound.note_unsettled(unsettled.until);
            }
            let is_confirmed = |placed: u64| {
                let before = view.confirmed_before().on("w");
                before.is_some_and(|before| placed < before)
                    || unsettled.is_some_and(|unsettled| unsettled.is_confirmed(placed))
            };
            let true_end = |bound: &LeaseBound, at: u64| {
                let left = bound.latest_end(true, &limits).1.since(own(at)).as_millis() as u64;
                at + left * 1_000 / (1_000 - visit.slowness) + 2
            };
            if let Some((incarnation, placed)) = worker.run
                && incarnation == worker.incarnation
                && is_confirmed(placed)
            {
                prop_assert!(true_end(&bound, now) >= worker.leases_end, "{nth}: silent");
            }
            if let Some(after) = visit.restarts {
                let at = now + after;
                worker.incarnation += 1;
                worker.leases_end = 0;
                let effect = at + visit.late_effect;
                worker.late_effect = (effect <= worker.calls_until).then_some(effect);
            }
            let claimed_at = visit.answers.map(|answers| now + answers.max(visit.restarts.unwrap_or(0)));
            let row_at = claimed_at.unwrap_or(now) + visit.stays;
            let length = limits.sent(Duration::ZERO).expect("a lease");
            if let Some(at) = claimed_at {
                if let Some(effect) = worker.late_effect.take().filter(|effect| *effect < at) {
                    worker.leases_end = worker.leases_end.max(effect + longest);
                }
                // Calls of earlier owners are refused from now on; none gave more than a longest lease.
                worker.leases_end = worker.leases_end.min(at + longest);
                let run = worker.run.filter(|(incarnation, _)| *incarnation == worker.incarnation);
                let has_confirmed = run.is_some_and(|(_, placed)| is_confirmed(placed));
                bound.note_claimed(own(at), has_confirmed, &limits);
                prop_assert!(true_end(&bound, at) >= worker.leases_end, "{nth}: claimed");
                worker.run = run.or(Some((worker.incarnation, nth)));
                bound.note_sent(own(row_at) + limits.ends_within(length));
                bound.note_answered(own(row_at));
                let ms = length.as_millis() as u64;
                worker.leases_end = worker.leases_end.max(row_at + ms + ms / 50);
                prop_assert!(true_end(&bound, row_at) >= worker.leases_end, "{nth}: renewed");
            }
            let at = own(row_at);
            let placed = worker.run.map_or(0, |(_, placed)| placed);
            let until = bound.unsettled_after(limits.row_end(at, earlier.ends()), &limits);
            let mut confirmed = ConfirmedBefore::everywhere(Some(nth + 1));
            let mut named = None;
            // A worker that does not answer and that no row lists, since there are too many.
            let known = claimed_at.map(|_| nth + 1).or(is_confirmed(placed).then_some(placed + 1));
            if until.is_some() || known.is_none() {
                confirmed.add("w", placed);
            }
            if let (Some(until), Some(confirmed_before)) = (until, known) {
                named = Some(UnsettledWorker { confirmed_before, until });
            }
            let row = SentLeases {
                sender: match visit.is_released {
                    true => limits.after_last_row(),
                    false => limits.after_row(),
                },
                earlier: earlier.ends().left(at),
                confirmed_before: confirmed.on_all(),
                confirmed: Some(confirmed),
                ..unsettled_left("w", named, at)
            };
            let sent_until = match visit.is_released {
                true => row_at,
                false => {
                    let ms = limits.after_renewal.as_millis() as u64;
                    let ends_at = row_at + ms + ms / 50;
                    if claimed_at.is_some() {
                        worker.leases_end = worker.leases_end.max(ends_at);
                    }
                    row_at + ms
                }
            };
            worker.calls_until = worker.calls_until.max(sent_until + transit * 2);
            has_previous_ended = visit.is_known_to_have_ended && visit.is_released;
            now = row_at + visit.read_ms;
            view = LeaseView::default();
            view.note(&rows(nth, &sender_row(row, visit.is_released)), Millis(100_000)).expect("a valid row");
        }
    }
}

proptest! {
    /// Guards against a run that is given up while an owner whose clock is slower still renews its lease.
    #[test]
    fn a_time_of_a_slower_clock_is_waited_out(at in 0..100_000_u64, left_ms in 0..10_000_u64) {
        let limits = limits();
        let left = LeasesLeft { confirmed_ms: left_ms, unconfirmed_ms: left_ms };
        let by_row = EarlierOwners::by_row(Millis(at), LeasesLeft::default(), left, &limits);
        let due = Millis(at) + on_own_clock(Duration::from_millis(left_ms), &limits);
        prop_assert!(by_row.ends().confirmed >= due && by_row.ends().unconfirmed >= due, "{by_row:?}");
        let unsettled = ConfirmedRuns { before: 1, ends_in_ms: left_ms };
        let unsettled = UnsettledWorker::by_row(Millis(at), &unsettled, &limits);
        prop_assert!(unsettled.until >= due, "{unsettled:?}");
        let mut earlier = EarlierOwners::held(Millis(0), Millis(0), &limits);
        earlier.note_previous_stopped(Millis(0));
        earlier.note_before(Millis(at), Duration::from_millis(left_ms), &limits);
        let due = due + limits.transit + on_own_clock(limits.longest, &limits);
        prop_assert!(earlier.before().confirmed >= due, "{earlier:?}");
    }

    /// Guards against an answer of the next process after the hold of the previous one that extends the bound on its leases.
    #[test]
    fn an_end_noted_late_does_not_extend_the_hold(renewed_at in 0..10_000_u64, noted_at in 0..30_000_u64) {
        let (renewed_at, limits) = (Millis(renewed_at), limits());
        let mut earlier = EarlierOwners::held(Millis(0), renewed_at, &limits);
        let held = earlier.previous();
        earlier.note_previous_stopped(Millis(noted_at));
        let noted = Millis(noted_at) + limits.transit + on_own_clock(limits.longest, &limits);
        prop_assert_eq!(earlier.previous().confirmed, held.confirmed.min(noted));
        prop_assert_eq!(earlier.previous().unconfirmed, held.unconfirmed.min(noted));
    }
}

/// Guards against a hold counted for an owner that has sent no lease.
#[test]
fn an_idle_owner_adds_no_hold() {
    let limits = limits();
    let holder = |incarnation| Holder {
        daemon: "a".to_owned(),
        address: "a.example:1".to_owned(),
        incarnation,
    };
    let row = LeaseRow {
        earlier_may_send_ms: Some(0),
        last_sender: None,
        leases: Some(SentLeases {
            sender: limits.after_row(),
            earlier: LeasesLeft::default(),
            silent: IndexMap::new(),
            silent_confirmed: IndexMap::new(),
            confirmed_before: None,
            confirmed: None,
            unsettled: IndexMap::new(),
            started: None,
        }),
        ..LeaseView::default().takeover_row(&holder(1), Millis(0), &limits)
    };
    let (renewed_at, taken_at, read_at) = (Millis(1_000), Millis(3_000), Millis(3_500));
    let mut view = LeaseView::default();
    view.note(&rows(1, &row), renewed_at).expect("a valid row");
    let row = view.takeover_row(&holder(2), taken_at, &limits);
    let mut next = LeaseView::default();
    next.note(&rows(2, &row), read_at).expect("a valid row");
    let after_row = Duration::from_millis(limits.after_row().confirmed_ms);
    let ends_at = renewed_at + on_own_clock(after_row, &limits);
    let left = on_own_clock(ends_at.since(taken_at), &limits);
    let inferred = next.earlier_owners(&limits).ends();
    assert_eq!(inferred.confirmed, read_at + left);
    assert_eq!(next.last_sender(), Some((&holder(1), 1)));
}
