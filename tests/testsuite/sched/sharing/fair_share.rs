//! Whose steps go first among callers that compete.

use super::{CAPACITY_PER_S, Outcome, Source, Switches, caller, play};
use lapisdrum::{
    core::time::Millis,
    policy::dispatch::{
        fair_share::{Claim, FairShare, Weights},
        order::RankInputs,
    },
};
use std::time::Duration;

/// Outcomes of 40 s without and with sharing, for two callers of one priority.
fn both_ways(rates: [fn(u64) -> f64; 2], weights: &Weights) -> (Outcome, Outcome) {
    let [a, b] = rates;
    let source = |queue, rate| Source {
        queue,
        priority: 0,
        rate,
    };
    let sources = [source("a", a), source("b", b)];
    let with = Switches {
        admission: false,
        fair_share: true,
    };
    let without = play(&sources, 40_000, Switches::default(), weights);
    (without, play(&sources, 40_000, with, weights))
}

/// Largest part of what all callers get that sharing may cost, in percent.
const MAX_LOSS_PERCENT: f64 = 1.0;

fn assert_no_loss(without: &Outcome, with: &Outcome) {
    let (before, now) = (without.worth(), with.worth());
    assert!(
        now >= before * (1.0 - MAX_LOSS_PERCENT / 100.0),
        "worth {before:.1} without sharing, {now:.1} with it"
    );
}

/// Guards against a burst of one caller that makes jobs of another late, which sends no more than its share.
#[test]
fn a_burst_of_one_caller_does_not_delay_one_within_its_share() {
    let bursts: [fn(u64) -> f64; 3] = [
        |ms| match ms {
            10_000..20_000 => 4.0 * CAPACITY_PER_S,
            _ => 0.4 * CAPACITY_PER_S,
        },
        |ms| match ms {
            20_000.. => 4.0 * CAPACITY_PER_S,
            _ => 0.0,
        },
        |_| 2.0 * CAPACITY_PER_S,
    ];
    for burst in bursts {
        let (without, with) = both_ways([burst, |_| 0.35 * CAPACITY_PER_S], &Weights::default());
        let (before, now) = (without.on_time_share(1), with.on_time_share(1));
        assert!(before < 0.95, "{before:.3} on time without sharing");
        assert!(now > 0.99, "{now:.3} on time with sharing");
        assert_no_loss(&without, &with);
    }
}

/// A caller that needs nine tenths of its share has little slack left: one in ten of its jobs may be late, instead of
/// two in five.
#[test]
fn a_caller_near_its_share_is_hardly_delayed() {
    let (without, with) = both_ways(
        [|_| 2.0 * CAPACITY_PER_S, |_| 0.45 * CAPACITY_PER_S],
        &Weights::default(),
    );
    assert!(without.on_time_share(1) < 0.6);
    assert!(with.on_time_share(1) > 0.9, "{:.3}", with.on_time_share(1));
    assert_no_loss(&without, &with);
}

#[test]
fn callers_beyond_their_share_get_capacity_by_weight() {
    let overload: fn(u64) -> f64 = |_| CAPACITY_PER_S;
    let (without, with) = both_ways([overload; 2], &Weights::default());
    assert!((with.on_time_share(0) - with.on_time_share(1)).abs() < 0.03);
    assert_no_loss(&without, &with);
    let mut weights = Weights::default();
    weights.queues.insert("a".to_owned(), 3);
    let (without, with) = both_ways([overload; 2], &weights);
    let ratio = with.on_time_share(0) / with.on_time_share(1);
    assert!((2.4..3.6).contains(&ratio), "three to one, not {ratio:.2}");
    assert_no_loss(&without, &with);
}

/// Guards against a caller that was idle and claims all turns that it did not use: it would make every job of a caller
/// within its share late for seconds.
#[test]
fn a_caller_that_resumes_with_a_burst_takes_no_more_than_its_share() {
    let resumed = |ms| match ms {
        20_000.. => 4.0 * CAPACITY_PER_S,
        _ => 0.0,
    };
    let (_, with) = both_ways([|_| 1.2 * CAPACITY_PER_S, resumed], &Weights::default());
    let after = |job: &&super::SimJob| job.first_sent_ms >= 20_000;
    let sent = with.of(0).filter(after).count();
    let on_time = with.of(0).filter(after).filter(|job| job.is_on_time());
    // Half of the capacity serves 0.42 of 1.2 times the capacity.
    let share = on_time.count() as f64 / sent as f64;
    assert!(share > 0.35, "{share:.3} on time");
}

fn inputs(priority: u32, age_ms: u64) -> RankInputs {
    RankInputs {
        priority,
        is_long_running: false,
        is_interrupted: false,
        age_ms,
        objective_ms: 5_000,
        chain_ms: 3_000,
        is_in_progress: false,
    }
}

fn claim(queue: &str, inputs: RankInputs) -> Claim {
    Claim {
        rank: inputs.rank(),
        caller: caller(queue),
        work: 1_000_000,
        later_work: 0,
    }
}

/// Guards against shares that outweigh priority or feasibility: a late job of a caller without service would take
/// the place of jobs that can still be on time.
#[test]
fn priority_feasibility_and_progress_go_before_shares() {
    let in_progress = RankInputs {
        is_in_progress: true,
        ..inputs(1, 100)
    };
    let claims = [
        claim("served", inputs(0, 100)),
        claim("served", in_progress),
        claim("served", inputs(1, 500)),
        claim("served", inputs(1, 200)),
        claim("new", inputs(1, 100)),
        claim("new", inputs(1, 8_000)),
        claim("served", inputs(1, 30_000)),
    ];
    assert!(claims.is_sorted_by_key(|claim| claim.rank));
    let weights = Weights::default();
    let order_with = |service_of_new: u64| {
        let mut shares = FairShare::default();
        shares.charge(&caller("served"), 10_000_000, &weights);
        shares.charge(&caller("new"), service_of_new, &weights);
        shares.order(&claims, &weights, Millis(0))
    };
    assert_eq!(order_with(6_000_000), [0, 1, 4, 2, 3, 5, 6]);
    let far_behind = order_with(2_000_000);
    assert_eq!(
        far_behind,
        [0, 4, 1, 2, 3, 5, 6],
        "its new job waits for nobody"
    );
    let mut unserved = FairShare::default();
    let order = unserved.order(&claims[2..4], &weights, Millis(0));
    assert_eq!(order, [0, 1], "one caller's own order stays");
}

#[test]
fn received_service_is_forgotten_within_seconds() {
    let (mut shares, weights) = (FairShare::default(), Weights::default());
    shares.charge(&caller("a"), 8_000_000, &weights);
    shares.order(&[], &weights, Millis(2_000));
    assert!((shares.service(&caller("a")) - 4e6).abs() < 1.0);
    shares.order(&[], &weights, Millis(60_000));
    assert_eq!(shares.service(&caller("a")), 0.0);
    for caller_number in 0..5_000 {
        shares.charge(
            &caller(&caller_number.to_string()),
            1_000_000 + caller_number,
            &weights,
        );
    }
    shares.order(&[], &weights, Millis(60_000));
    assert!(shares.service(&caller("4999")) > 0.0);
    assert_eq!(
        shares.service(&caller("0")),
        0.0,
        "the number of accounts is bounded"
    );
    let later = Millis(60_000) + Duration::from_secs(60);
    shares.order(&[], &weights, later);
    assert_eq!(shares.service(&caller("4999")), 0.0);
}
