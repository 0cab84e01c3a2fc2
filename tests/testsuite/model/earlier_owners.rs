//! Owners of a shard in series, over the project's own bounds on earlier owners: whatever ends them, none sends a lease
//! after the time that the next one infers from the rows.

use crate::sched::world::limits;
use lapisdrum::{
    core::time::{Millis, millis},
    sched::{
        edge::Row,
        lease::{Holder, LeaseRow, LeaseView},
        resolution::{EarlierOwners, LeaseBound},
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

proptest! {
    /// Guards against a run that is given up by an earlier owner's note while a lease on its worker lasts.
    #[test]
    fn a_noted_end_is_no_earlier_than_the_last_lease(contacts in vec(contact(), 2..6)) {
        let limits = limits();
        let longest = limits.longest + limits.longest / limits.drift_parts;
        let mut now = Millis(1_000);
        let mut lasts_until = Millis(0);
        let mut bound = LeaseBound::inherited_until(now);
        for contact in contacts {
            let stops_at = now + Duration::from_millis(contact.stays);
            let sent_at = contact.sent.map(|sent| now + Duration::from_millis(sent));
            if let Some(sent_at) = sent_at.filter(|at| *at <= stops_at) {
                let effective_at = sent_at + Duration::from_millis(contact.transit);
                bound.note_claimed(sent_at);
                bound.note_sent();
                if contact.is_answered {
                    bound.note_answered(effective_at);
                } else {
                    bound.note_unanswered(sent_at);
                }
                lasts_until = effective_at + longest;
            }
            let noted = bound.ends_in_ms(stops_at, &limits);
            let read_after = Duration::from_millis(contact.note_read.unwrap_or_default());
            now = stops_at + read_after;
            bound = match contact.note_read {
                Some(_) => LeaseBound::inherited_until(now),
                None => LeaseBound::inherited(now, &limits),
            };
            if let Some(noted) = noted.filter(|_| contact.note_read.is_some()) {
                bound.note_inherited_end(limits.end_by_note(now, noted));
            }
            let (_, latest) = bound.latest_end(&limits);
            prop_assert!(latest >= lasts_until, "{latest:?} < {lasts_until:?}");
        }
    }

    /// Guards against a run that is given up while an owner before the last one still renews its lease.
    #[test]
    fn no_owner_sends_a_lease_after_the_inferred_time(tenures in vec(tenure(), 2..6)) {
        let limits = limits();
        let mut now = Millis(1_000);
        let mut last_sent = Millis(0);
        let mut view = LeaseView::default();
        let mut has_sender_ended = false;
        for (version, tenure) in (1..).zip(tenures) {
            let mut earlier = view.earlier_owners(&limits);
            if has_sender_ended {
                earlier.note_previous_stopped(now);
            }
            prop_assert!(earlier.until() >= last_sent, "{:?} < {last_sent:?}", earlier.until());
            let composed_at = now + Duration::from_millis(tenure.stays_ms);
            let written_at = composed_at + Duration::from_millis(tenure.write_ms);
            let is_old = matches!(tenure.end, End::ReleasedByOldBuild);
            let left_ms = millis(earlier.until().since(composed_at));
            let holder = Holder {
                daemon: "a".to_owned(),
                address: "a.example:1".to_owned(),
                incarnation: version,
            };
            let taken = view.takeover_row(&holder, now, &limits);
            let row = LeaseRow {
                holder,
                is_released: matches!(tenure.end, End::Released | End::ReleasedByOldBuild),
                renewals: 1,
                up_ms: 0,
                earlier_may_send_ms: (!is_old).then_some(left_ms),
                last_sender: None,
                accepts_returns: true,
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
            let sent = match tenure.end {
                End::Released => composed_at,
                End::ReleasedByOldBuild => composed_at + RELEASE_TIMEOUT,
                End::Killed | End::Idle | End::IdleReleased => written_at,
                End::Cut => composed_at + limits.owner_hold,
            };
            if has_sent {
                last_sent = last_sent.max(sent);
                has_sender_ended = matches!(tenure.end, End::Killed);
            }
            now = written_at + Duration::from_millis(tenure.read_ms);
            view = LeaseView::default();
            view.note(&rows(version, &row), now).expect("a valid row");
        }
    }
}

proptest! {
    /// Guards against a run that is given up while an owner whose clock is slower still renews its lease.
    #[test]
    fn a_time_of_a_slower_clock_is_waited_out(at in 0..100_000_u64, left_ms in 0..10_000_u64) {
        let limits = limits();
        let parts = u64::from(limits.drift_parts);
        let mut earlier = EarlierOwners::held(Millis(0), Millis(0), &limits);
        earlier.note_previous_stopped(Millis(0));
        earlier.note_before(Millis(at), Duration::from_millis(left_ms), &limits);
        let on_own_clock = left_ms + left_ms / parts;
        prop_assert!(earlier.until() >= Millis(at + on_own_clock), "{:?}", earlier.until());
    }

    /// Guards against an answer of the next process after the hold of the previous one that extends the bound on its leases.
    #[test]
    fn an_end_noted_late_does_not_extend_the_hold(renewed_at in 0..10_000_u64, noted_at in 0..30_000_u64) {
        let renewed_at = Millis(renewed_at);
        let mut earlier = EarlierOwners::held(Millis(0), renewed_at, &limits());
        let held_until = earlier.previous_until();
        earlier.note_previous_stopped(Millis(noted_at));
        prop_assert_eq!(earlier.previous_until(), held_until.min(Millis(noted_at)));
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
        ..LeaseView::default().takeover_row(&holder(1), Millis(0), &limits)
    };
    let (renewed_at, taken_at, read_at) = (Millis(1_000), Millis(3_000), Millis(3_500));
    let mut view = LeaseView::default();
    view.note(&rows(1, &row), renewed_at).expect("a valid row");
    let row = view.takeover_row(&holder(2), taken_at, &limits);
    let mut next = LeaseView::default();
    next.note(&rows(2, &row), read_at).expect("a valid row");
    let left = (renewed_at + limits.owner_hold).since(taken_at);
    let on_own_clock = left + left / limits.drift_parts;
    assert_eq!(next.earlier_owners(&limits).until(), read_at + on_own_clock);
    assert_eq!(next.last_sender(), Some((&holder(1), 1)));
}
