//! Load scenarios judged by what callers receive, compared with baselines in the same run.
//!
//! The limits asserted are the targets of docs/MEASUREMENTS.md, section "Policy", at a shorter
//! length. Time is virtual and the seed fixed, so the results are reproducible.

use lapisdrum::core::size::Size;
use lapisdrum_load::policy::{
    bench::{self, Received},
    daemon::Decisions,
    scenario::{MWANGAZA, Pattern, SHORT_RUN},
    tasks::{self, TaskDecisions, TaskResult, TaskTrial},
};
use std::{sync::OnceLock, time::Duration};

const LENGTH: Duration = Duration::from_secs(5);
const SEED: u64 = 7;

/// What the callers of the first stream of the pattern received.
fn received(pattern: Pattern, decisions: Decisions) -> Received {
    let trial = pattern.trial(&MWANGAZA, LENGTH, SEED);
    bench::run(&trial, decisions).swap_remove(0)
}

/// The reference: half load and no fault.
fn reference() -> &'static Received {
    static REFERENCE: OnceLock<Received> = OnceLock::new();
    REFERENCE.get_or_init(|| received(Pattern::Uncontended, Decisions::POLICY))
}

fn p99(received: &Received) -> f64 {
    received.quantile_ms(0.99)
}

/// Callers send twice what all slots can run. Served requests wait little, because a standing queue
/// is kept short; the others are refused at once. Without admission control the queue grows until
/// every answer comes too late.
#[test]
fn overload_serves_what_capacity_allows_and_quickly() {
    let reference = reference();
    let full = received(Pattern::Overload, Decisions::POLICY);
    let open = received(Pattern::Overload, Decisions::NO_ADMISSION);
    let capacity = MWANGAZA.capacity(SHORT_RUN);
    assert!(
        full.goodput() >= 0.95 * capacity,
        "{} of {capacity}",
        full.goodput()
    );
    assert!(
        p99(&full) <= 2.0 * p99(reference),
        "{} and {}",
        p99(&full),
        p99(reference)
    );
    assert!(
        open.goodput() < 0.5 * capacity,
        "the baseline has to show the fault"
    );
    assert_eq!(full.unknown, 0);
    // Refusals come at once, not at the deadline.
    assert!(full.refusal.value_at_quantile(0.99) < 50_000);
}

/// The same overload with refused callers that retry: after the time that they were given, or every
/// 100 ms regardless of it. Goodput and latency do not change, and callers that keep to the given
/// time send far fewer requests.
#[test]
fn returning_callers_do_not_add_to_an_overload() {
    let reference = reference();
    let obedient = received(Pattern::OverloadObedient, Decisions::POLICY);
    let impatient = received(Pattern::OverloadImpatient, Decisions::POLICY);
    let capacity = MWANGAZA.capacity(SHORT_RUN);
    for received in [&obedient, &impatient] {
        assert!(
            received.goodput() >= 0.95 * capacity,
            "{}",
            received.goodput()
        );
        assert!(p99(received) <= 2.0 * p99(reference), "{}", p99(received));
    }
    assert!(obedient.refused * 2 < impatient.refused);
}

/// One caller of an entry sends three times the capacity of all slots. Its own requests wait and
/// are refused; the 100 others are served as before, because callers are flows with equal shares.
/// In order of arrival the others are refused with it.
#[test]
fn a_hot_caller_does_not_slow_the_others() {
    let reference = reference();
    let others = received(Pattern::HotCaller, Decisions::POLICY);
    let in_order = received(Pattern::HotCaller, Decisions::FIRST_IN);
    assert!(
        p99(&others) < 1.1 * p99(reference),
        "{} and {}",
        p99(&others),
        p99(reference)
    );
    assert!(
        others.refused * 200 < others.sent,
        "{} refused",
        others.refused
    );
    assert!(
        in_order.goodput() < 0.5 * reference.goodput(),
        "the baseline has to show the fault"
    );
}

/// One worker in sixteen takes ten times as long. After its first late answers it is avoided for
/// its latency, and ejected. In turn (round robin) it gets a sixteenth of the requests throughout,
/// which sets the 99th percentile.
#[test]
fn a_slow_worker_is_avoided() {
    let reference = reference();
    let slow = received(Pattern::OneSlow, Decisions::POLICY);
    let in_turn = received(Pattern::OneSlow, Decisions::ROUND_ROBIN);
    assert!(
        p99(&slow) <= 1.3 * p99(reference),
        "{} and {}",
        p99(&slow),
        p99(reference)
    );
    assert!(
        p99(&in_turn) > 1.5 * p99(reference),
        "the baseline has to show the fault"
    );
}

/// One worker never answers. Its first requests end as unknown at their deadline; no more are sent
/// to it once these have been outstanding for many times their usual run time.
#[test]
fn a_hanging_worker_is_avoided() {
    let reference = reference();
    let hanging = received(Pattern::OneHanging, Decisions::POLICY);
    let in_turn = received(Pattern::OneHanging, Decisions::ROUND_ROBIN);
    assert!(p99(&hanging) <= 1.3 * p99(reference), "{}", p99(&hanging));
    assert!(
        hanging.unknown * 3 < in_turn.unknown,
        "{} and {}",
        hanging.unknown,
        in_turn.unknown
    );
}

/// One worker fails each request within half a millisecond, so it always has the fewest
/// outstanding. Callers see no failure: failed requests are retried within the budget, and the
/// worker is ejected after a few. In turn (round robin) one request in sixteen is always sent
/// twice.
#[test]
fn a_worker_that_fails_at_once_attracts_no_requests() {
    let failing = received(Pattern::OneFailing, Decisions::POLICY);
    let in_turn = received(Pattern::OneFailing, Decisions::ROUND_ROBIN);
    assert!(
        failing.unknown * 1_000 < failing.sent,
        "{} unknown",
        failing.unknown
    );
    let again = |received: &Received| received.sends as f64 / received.done as f64 - 1.0;
    assert!(again(&failing) < 0.01, "{}", again(&failing));
    assert!(again(&in_turn) > 0.04, "the baseline has to show the fault");
}

/// Batch requests at twice the capacity always wait in the queue. Latency-critical requests go
/// ahead of them and wait only for the next free slot; batch requests get the remaining slots.
#[test]
fn batch_requests_wait_behind_latency_critical_ones() {
    let reference = reference();
    let trial = Pattern::BatchBeside.trial(&MWANGAZA, LENGTH, SEED);
    let both = bench::run(&trial, Decisions::POLICY);
    let in_order = bench::run(&trial, Decisions::FIRST_IN);
    let capacity = MWANGAZA.capacity(SHORT_RUN);
    assert!(p99(&both[0]) < 1.1 * p99(reference), "{}", p99(&both[0]));
    assert_eq!(both[0].refused, 0);
    assert!(both[1].goodput() > 0.45 * capacity, "{}", both[1].goodput());
    assert!(
        p99(&in_order[0]) > 2.0 * p99(reference),
        "the baseline has to show the fault"
    );
}

/// For two seconds callers send ten times the capacity. Requests that cannot be served in time are
/// refused at once and the rest is served.
#[test]
fn a_burst_is_refused_at_once_and_forgotten() {
    let burst = received(Pattern::Burst, Decisions::POLICY);
    let open = received(Pattern::Burst, Decisions::NO_ADMISSION);
    assert_eq!(burst.unknown + burst.late, 0);
    assert!(burst.refusal.value_at_quantile(0.99) < 50_000);
    assert!(burst.goodput() > open.goodput());
    assert!(
        burst.latency.max() < 1_000_000,
        "no answer after the deadline"
    );
}

/// Long requests of another owner, one second each, ask for every slot. Short ones find a slot as
/// quickly as without them, because long runs leave the expected need of the short ones free. In
/// order of arrival the short ones wait behind them for half of their deadline.
#[test]
fn long_requests_do_not_hold_up_short_ones() {
    let reference = reference();
    let trial = Pattern::LongAmongShort.trial(&MWANGAZA, LENGTH, SEED);
    let both = bench::run(&trial, Decisions::POLICY);
    let in_order = bench::run(&trial, Decisions::FIRST_IN);
    assert!(
        p99(&both[0]) < 1.3 * p99(reference),
        "{} and {}",
        p99(&both[0]),
        p99(reference)
    );
    assert!(
        both[0].refused * 100 < both[0].sent,
        "{} refused",
        both[0].refused
    );
    assert!(both[1].done > 0, "long requests are served too");
    assert!(
        p99(&in_order[0]) > 3.0 * p99(reference),
        "the baseline has to show the fault"
    );
}

/// Waves of batch tasks run beside services, and interference is known only from late reports.
/// Placement by size alone slows services several times over in each wave, and eviction alone moves
/// hundreds of tasks. With the estimated slowdowns, tasks that interfere are placed apart and few
/// are moved.
#[test]
fn batch_waves_do_not_slow_services() {
    let task_capacity = Size {
        millicores: 16_000,
        memory_mb: 62_000,
        accelerators: 0,
    };
    let trial = TaskTrial {
        hosts: 20,
        per_rack: 8,
        task_capacity,
        starts_per_s: 0.4,
        seconds: 2_400,
        seed: SEED,
    };
    let [policy, _, blind, none] = TaskDecisions::ALL.map(|(_, kind)| tasks::run(trial, kind));
    let p99 = |result: &TaskResult| result.slowdown.value_at_quantile(0.99);
    assert!(
        p99(&policy) < 2_000,
        "slowdown in thousandths: {}",
        p99(&policy)
    );
    assert!(
        p99(&none) > p99(&policy) * 3 / 2,
        "{} and {}",
        p99(&none),
        p99(&policy)
    );
    assert!(
        policy.evictions * 4 < blind.evictions,
        "{} and {}",
        policy.evictions,
        blind.evictions
    );
    assert!(
        policy.work_s > 0.85 * none.work_s,
        "{} of {}",
        policy.work_s,
        none.work_s
    );
}
