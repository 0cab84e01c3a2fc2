//! Slots that long runs leave free for short ones.

use super::entry;
use lapisdrum::{
    core::time::Millis,
    policy::headroom::{FALLING_HALF_LIFE, Headroom},
};
use proptest::prelude::*;
use std::time::Duration;

const SHORT: Duration = Duration::from_millis(20);
const LONG: Duration = Duration::from_secs(1);

/// Guards against long runs that take the slots of short requests while none of these waits: short
/// ones needed 30 of 64 slots, so long ones may take only what exceeds that and its variation.
#[test]
fn long_runs_leave_the_slots_that_short_ones_need() {
    let (short, long) = (entry("short"), entry("long"));
    let now = Millis(0) + FALLING_HALF_LIFE * 10;
    let may_start = |running| {
        let mut headroom = Headroom::default();
        headroom.note(&short, 30, 0, SHORT, 100, Millis(0));
        headroom.note(&short, 0, 0, SHORT, 100, now);
        headroom.note(&long, running, 50, LONG, 100, now);
        headroom.may_start(&long, 64, now)
    };
    assert!(may_start(20));
    assert!(!may_start(30));
}

/// Guards against starvation: short requests need every slot, and the long entry still gets half of
/// its fair share.
#[test]
fn a_long_entry_is_not_starved() {
    let mut headroom = Headroom::default();
    let (short, long) = (entry("short"), entry("long"));
    headroom.note(&short, 64, 500, SHORT, 100, Millis(0));
    headroom.note(&short, 64, 500, SHORT, 100, Millis(60_000));
    let mut started = 0;
    loop {
        headroom.note(&long, started, 100, LONG, 100, Millis(60_000));
        if !headroom.may_start(&long, 64, Millis(60_000)) {
            break;
        }
        started += 1;
    }
    assert!((16..=33).contains(&started), "{started}");
}

/// The short entry has no requests any more: after several half-lives the long one may use every
/// slot.
#[test]
fn slots_that_are_no_longer_needed_are_freed() {
    let mut headroom = Headroom::default();
    let (short, long) = (entry("short"), entry("long"));
    headroom.note(&short, 30, 0, SHORT, 100, Millis(0));
    headroom.note(&short, 0, 0, SHORT, 100, Millis(60_000));
    let later = Millis(60_000) + FALLING_HALF_LIFE * 12;
    headroom.note(&long, 63, 10, LONG, 100, later);
    assert!(headroom.may_start(&long, 64, later));
    headroom.note(&long, 64, 10, LONG, 100, later);
    assert!(!headroom.may_start(&long, 64, later));
}

proptest! {
    /// Entries with similar run times reserve nothing against each other: any free slot may be
    /// taken.
    #[test]
    fn entries_that_run_alike_share_every_slot(a in 0..64_u32, b in 0..64_u32) {
        let mut headroom = Headroom::default();
        headroom.note(&entry("a"), a, 9, SHORT, 100, Millis(0));
        headroom.note(&entry("b"), b, 9, SHORT * 2, 100, Millis(0));
        if a + b < 64 {
            prop_assert!(headroom.may_start(&entry("a"), 64, Millis(0)));
            prop_assert!(headroom.may_start(&entry("b"), 64, Millis(0)));
        }
    }
}
