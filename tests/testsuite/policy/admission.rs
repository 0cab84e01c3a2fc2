//! Concurrency and rate limits hold at all times.

use super::{entry, owner};
use assert_matches::assert_matches;
use lapisdrum::{
    core::{catalogue::Limits, time::Millis},
    policy::admission::{Admission, AdmissionRequest, Denied, Share, divide, split_evenly},
};
use proptest::prelude::*;
use std::{collections::VecDeque, time::Duration};

fn share(concurrency: u32, rate_per_s: Option<u32>) -> Share {
    Share {
        concurrency,
        rate_per_s,
        queue: 8,
    }
}

#[derive(Clone, Debug)]
enum Action {
    Start(usize),
    Finish(usize),
    Shrink(usize, u32),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (0..3_usize).prop_map(Action::Start),
        3 => (0..3_usize).prop_map(Action::Finish),
        1 => (0..3_usize, 0..6_u32).prop_map(|(i, n)| Action::Shrink(i, n)),
    ]
}

proptest! {
    /// The parts of a limit add up to it, and a daemon beyond the number of parts gets none.
    #[test]
    fn parts_add_up_to_the_limit(whole in 0..100_000_u32, parts in 1..300_u32) {
        let sum: u32 = (0..parts).map(|index| split_evenly(whole, parts, index)).sum();
        prop_assert_eq!(sum, whole);
        prop_assert_eq!(split_evenly(whole, parts, parts), 0);
    }

    #[test]
    fn shares_of_every_limit_add_up(concurrency in 1..50_u32, rate in 1..50_u32, queue in 0..50_u32) {
        let limits = Limits { concurrency, rate_per_s: Some(rate), queue, body_bytes: 0 };
        let shares: Vec<Share> = (0..7).map(|index| divide(&limits, 7, index)).collect();
        prop_assert_eq!(shares.iter().map(|s| s.concurrency).sum::<u32>(), concurrency);
        prop_assert_eq!(shares.iter().filter_map(|s| s.rate_per_s).sum::<u32>(), rate);
        prop_assert_eq!(shares.iter().map(|s| s.queue).sum::<u32>(), queue);
    }

    /// Runs stay within the share of their entry and the quota of their owner, in any order of
    /// starts, ends and changed shares. Nothing starts while a share is below what already runs.
    #[test]
    fn runs_stay_within_share_and_quota(actions in prop::collection::vec(action(), 1..200)) {
        let entries = [entry("a"), entry("b"), entry("c")];
        let owners = [owner("one"), owner("one"), owner("two")];
        let mut shares = [share(4, None), share(4, None), share(4, None)];
        let quota = Some(share(5, None));
        let mut running = [0_u32; 3];
        let mut admission = Admission::default();
        for action in actions {
            match action {
                Action::Start(i) => {
                    let request = AdmissionRequest { entry: &entries[i], owner: &owners[i], share: shares[i], quota };
                    let of_owner: u32 = (0..3).filter(|j| owners[*j] == owners[i]).map(|j| running[j]).sum();
                    let expected = running[i] < shares[i].concurrency && of_owner < 5;
                    prop_assert_eq!(admission.start(&request), expected);
                    running[i] += u32::from(expected);
                }
                Action::Finish(i) if running[i] > 0 => {
                    admission.finish(&entries[i], &owners[i]);
                    running[i] -= 1;
                }
                Action::Finish(_) => {}
                Action::Shrink(i, n) => shares[i].concurrency = n,
            }
            for i in 0..3 {
                prop_assert_eq!(admission.running(&entries[i]), running[i]);
            }
        }
    }

    /// No span of one second admits more requests than the rate, and a request that fits is always
    /// admitted.
    #[test]
    fn no_second_exceeds_the_rate(rate in 1..20_u32, gaps in prop::collection::vec(0..300_u64, 1..400)) {
        let (entry, owner) = (entry("a"), owner("one"));
        let request = AdmissionRequest { entry: &entry, owner: &owner, share: share(1, Some(rate)), quota: None };
        let mut admission = Admission::default();
        let mut now = Millis(0);
        let mut last_second: VecDeque<Millis> = VecDeque::new();
        for gap in gaps {
            now = now + Duration::from_millis(gap);
            while last_second.front().is_some_and(|at| now.since(*at) >= Duration::from_secs(1)) {
                last_second.pop_front();
            }
            let fits = last_second.len() < rate as usize;
            prop_assert_eq!(admission.admit(&request, now).is_ok(), fits);
            if fits {
                last_second.push_back(now);
            }
        }
    }
}

/// Guards against a request refused for its owner's rate that still counts against its entry's
/// rate.
#[test]
fn a_refusal_uses_up_no_rate() {
    let (entry, owner) = (entry("a"), owner("one"));
    let mut admission = Admission::default();
    let request = |quota| AdmissionRequest {
        entry: &entry,
        owner: &owner,
        share: share(1, Some(2)),
        quota: Some(share(1, Some(quota))),
    };
    assert_matches!(admission.admit(&request(1), Millis(0)), Ok(()));
    for _ in 0..5 {
        assert_matches!(admission.admit(&request(1), Millis(100)), Err(Denied::OwnerRate(wait)) => {
            assert_eq!(wait, Duration::from_millis(900));
        });
    }
    assert_matches!(admission.admit(&request(9), Millis(100)), Ok(()));
    assert_matches!(
        admission.admit(&request(9), Millis(100)),
        Err(Denied::EntryRate(_))
    );
}

/// Guards against memory that grows with every entry that ever had a request.
#[test]
fn idle_entries_are_dropped() {
    let owner = owner("one");
    let mut admission = Admission::default();
    for i in 0..100 {
        let entry = entry(&format!("e{i}"));
        let request = AdmissionRequest {
            entry: &entry,
            owner: &owner,
            share: share(1, Some(1)),
            quota: None,
        };
        assert_matches!(admission.admit(&request, Millis(0)), Ok(()));
    }
    assert_eq!(admission.tracked_entries(), 100);
    admission.forget_idle(Millis(1_000));
    assert_eq!(admission.tracked_entries(), 0);
}
