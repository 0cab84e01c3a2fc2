//! The choice of the daemon that takes a shard over from an owner that is told to stop.

use lapisdrum::policy::succession::{Candidate, rank};
use proptest::prelude::*;
use std::time::Duration;

const OWNER_UP_MS: u64 = 60_000;
const NEAR: Duration = Duration::from_millis(2);

fn candidate() -> Candidate {
    Candidate {
        store_age_ms: 100,
        is_draining: false,
        up_ms: OWNER_UP_MS,
        cpu_share_milli: 500,
        shards: 0,
    }
}

fn ranked(candidates: &[Candidate]) -> Vec<usize> {
    let candidates: Vec<_> = candidates.iter().map(|c| (*c, NEAR)).collect();
    rank(&candidates, OWNER_UP_MS)
}

/// Guards against an owner with a small part of a core while a larger one is there, in a restart of all in turn.
#[test]
fn a_large_daemon_comes_before_a_small_one_that_was_restarted() {
    let small = Candidate {
        cpu_share_milli: 120,
        up_ms: 3_000,
        ..candidate()
    };
    assert_eq!(ranked(&[small, candidate()]), [1, 0]);
}

/// Guards against a successor that is itself stopped seconds later.
#[test]
fn a_daemon_restarted_in_turn_comes_before_one_that_is_still_to_be_stopped() {
    let restarted = Candidate {
        up_ms: 5_000,
        ..candidate()
    };
    assert_eq!(ranked(&[candidate(), restarted]), [1, 0]);
}

/// Guards against all shards on one daemon while another with as much of a core owns none.
#[test]
fn shards_are_spread_over_daemons_that_are_alike() {
    let busy = Candidate {
        shards: 1,
        ..candidate()
    };
    assert_eq!(ranked(&[busy, candidate()]), [1, 0]);
}

/// Guards against a small daemon that is preferred to a large one that owns a shard already.
#[test]
fn a_second_shard_goes_to_half_a_core_rather_than_an_eighth() {
    let small = Candidate {
        cpu_share_milli: 120,
        ..candidate()
    };
    let busy = Candidate {
        shards: 1,
        ..candidate()
    };
    assert_eq!(ranked(&[small, busy]), [1, 0]);
}

/// Guards against a successor that can't write the rows that make it the owner.
#[test]
fn a_daemon_that_does_not_reach_the_store_or_drains_is_not_chosen() {
    let cut_off = Candidate {
        store_age_ms: 5_000,
        ..candidate()
    };
    let draining = Candidate {
        is_draining: true,
        ..candidate()
    };
    assert_eq!(ranked(&[cut_off, draining]), [0; 0]);
    assert_eq!(ranked(&[]), [0; 0]);
    assert_eq!(ranked(&[cut_off, candidate(), draining]), [1]);
}

/// Guards against a choice across a long link while a daemon that is alike is near.
#[test]
fn a_near_daemon_comes_before_a_far_one_that_is_alike() {
    let far = (candidate(), Duration::from_millis(30));
    let near = (candidate(), NEAR);
    assert_eq!(rank(&[far, near], OWNER_UP_MS), [1, 0]);
}

prop_compose! {
    fn any_candidate()(
        store_age_ms in prop_oneof![Just(100_u64), Just(60_000)],
        is_draining in any::<bool>(),
        up_ms in 0..120_000_u64,
        cpu_share_milli in 0..2_000_u32,
        shards in 0..4_u32,
        round_trip_ms in 0..200_u64,
    ) -> (Candidate, Duration) {
        let candidate = Candidate { store_age_ms, is_draining, up_ms, cpu_share_milli, shards };
        (candidate, Duration::from_millis(round_trip_ms))
    }
}

proptest! {
    /// Guards against an unable successor, and against none while an able one is there.
    #[test]
    fn exactly_the_able_are_ranked(
        candidates in prop::collection::vec(any_candidate(), 0..12),
        owner_up_ms in 0..120_000_u64,
    ) {
        let mut ranked = rank(&candidates, owner_up_ms);
        ranked.sort_unstable();
        let is_able = |at: &usize| {
            let candidate = &candidates[*at].0;
            !candidate.is_draining && candidate.store_age_ms <= 1_000
        };
        let able: Vec<usize> = (0..candidates.len()).filter(is_able).collect();
        prop_assert_eq!(ranked, able);
    }
}
