//! Load patterns told from the caller's side, against baselines in the same run.
//!
//! The limits asserted are the targets of docs/MEASUREMENTS.md, section "Policy", at a shorter
//! length; virtual time and one seed make each verdict the same every time.

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

/// What the callers of the judged stream received.
fn received(pattern: Pattern, decisions: Decisions) -> Received {
    let trial = pattern.trial(&MWANGAZA, LENGTH, SEED);
    bench::run(&trial, decisions).swap_remove(0)
}

/// The same at half load with nothing wrong, to compare with.
fn calm() -> &'static Received {
    static CALM: OnceLock<Received> = OnceLock::new();
    CALM.get_or_init(|| received(Pattern::Uncontended, Decisions::POLICY))
}

fn p99(received: &Received) -> f64 {
    received.quantile_ms(0.99)
}

/// Callers send twice what all slots can run. Those that are served wait little, because the queue
/// is kept short while it stands; the others are refused at once. Without admission the queue grows
/// until every answer comes too late, and the slots are busy for nobody.
#[test]
fn overload_serves_what_capacity_allows_and_quickly() {
    let calm = calm();
    let full = received(Pattern::Overload, Decisions::POLICY);
    let open = received(Pattern::Overload, Decisions::NO_ADMISSION);
    let capacity = MWANGAZA.capacity(SHORT_RUN);
    assert!(
        full.goodput() >= 0.95 * capacity,
        "{} of {capacity}",
        full.goodput()
    );
    assert!(
        p99(&full) <= 2.0 * p99(calm),
        "{} and {}",
        p99(&full),
        p99(calm)
    );
    assert!(
        open.goodput() < 0.5 * capacity,
        "the baseline shows the trouble"
    );
    assert_eq!(full.unknown, 0);
    // A refusal is given at once: nothing is held back until its deadline.
    assert!(full.refusal.value_at_quantile(0.99) < 50_000);
}

/// The same overload, but the refused come back: first as they were told, then every 100 ms whatever
/// they were told. The load at the door is many times the capacity; what is served and how quickly
/// does not change, and obedient callers ask far less often.
#[test]
fn returning_callers_do_not_add_to_an_overload() {
    let calm = calm();
    let obedient = received(Pattern::OverloadObedient, Decisions::POLICY);
    let impatient = received(Pattern::OverloadImpatient, Decisions::POLICY);
    let capacity = MWANGAZA.capacity(SHORT_RUN);
    for received in [&obedient, &impatient] {
        assert!(
            received.goodput() >= 0.95 * capacity,
            "{}",
            received.goodput()
        );
        assert!(p99(received) <= 2.0 * p99(calm), "{}", p99(received));
    }
    assert!(obedient.refused * 2 < impatient.refused);
}

/// One caller of an entry sends three times the capacity of all slots. Its own requests wait and are
/// refused; the entry's hundred others are served as before, because callers are flows with equal
/// shares. In order of arrival the others are refused with it.
#[test]
fn a_hot_caller_does_not_move_the_others() {
    let calm = calm();
    let others = received(Pattern::HotCaller, Decisions::POLICY);
    let in_order = received(Pattern::HotCaller, Decisions::FIRST_IN);
    assert!(
        p99(&others) < 1.1 * p99(calm),
        "{} and {}",
        p99(&others),
        p99(calm)
    );
    assert!(
        others.refused * 200 < others.sent,
        "{} refused",
        others.refused
    );
    assert!(
        in_order.goodput() < 0.5 * calm.goodput(),
        "the baseline shows the trouble"
    );
}

/// One worker in sixteen takes ten times as long. Its first answers are late, then it is drawn no
/// more, because its recent latency counts and it is set aside. In turn it gets its sixteenth of the
/// requests all the time, and the 99th percentile is its.
#[test]
fn a_slow_worker_is_avoided() {
    let calm = calm();
    let slow = received(Pattern::OneSlow, Decisions::POLICY);
    let in_turn = received(Pattern::OneSlow, Decisions::ROUND_ROBIN);
    assert!(
        p99(&slow) <= 1.3 * p99(calm),
        "{} and {}",
        p99(&slow),
        p99(calm)
    );
    assert!(
        p99(&in_turn) > 1.5 * p99(calm),
        "the baseline shows the trouble"
    );
}

/// One worker never answers. What it was sent first ends unknown at the deadline; no more is sent
/// there once those have been outstanding for many times their usual run time.
#[test]
fn a_hanging_worker_is_avoided() {
    let calm = calm();
    let hanging = received(Pattern::OneHanging, Decisions::POLICY);
    let in_turn = received(Pattern::OneHanging, Decisions::ROUND_ROBIN);
    assert!(p99(&hanging) <= 1.3 * p99(calm), "{}", p99(&hanging));
    assert!(
        hanging.unknown * 3 < in_turn.unknown,
        "{} and {}",
        hanging.unknown,
        in_turn.unknown
    );
}

/// One worker fails whatever it is sent within half a millisecond, so it always has the least work
/// outstanding. Callers see no failure: what failed is sent again within the budget, and the worker
/// is set aside after a few. In turn one request in sixteen is sent twice for ever.
#[test]
fn a_worker_that_fails_at_once_draws_nothing_to_itself() {
    let failing = received(Pattern::OneFailing, Decisions::POLICY);
    let in_turn = received(Pattern::OneFailing, Decisions::ROUND_ROBIN);
    assert!(
        failing.unknown * 1_000 < failing.sent,
        "{} unknown",
        failing.unknown
    );
    let again = |received: &Received| received.sends as f64 / received.done as f64 - 1.0;
    assert!(again(&failing) < 0.01, "{}", again(&failing));
    assert!(again(&in_turn) > 0.04, "the baseline shows the trouble");
}

/// Batch requests at twice the capacity stand in line all the time. Latency-critical requests go
/// ahead of them and wait for the next free slot only; batch work gets what is left.
#[test]
fn batch_requests_wait_behind_latency_critical_ones() {
    let calm = calm();
    let trial = Pattern::BatchBeside.trial(&MWANGAZA, LENGTH, SEED);
    let both = bench::run(&trial, Decisions::POLICY);
    let in_order = bench::run(&trial, Decisions::FIRST_IN);
    let capacity = MWANGAZA.capacity(SHORT_RUN);
    assert!(p99(&both[0]) < 1.1 * p99(calm), "{}", p99(&both[0]));
    assert_eq!(both[0].refused, 0);
    assert!(both[1].goodput() > 0.45 * capacity, "{}", both[1].goodput());
    assert!(
        p99(&in_order[0]) > 2.0 * p99(calm),
        "the baseline shows the trouble"
    );
}

/// For two seconds ten times the capacity is asked for. Requests that can't be served in time are
/// refused at once, the rest is served; a second after the burst everything is as before it.
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

/// Long requests of another owner ask for every slot, each for a second. Short ones find a slot as
/// quickly as without them, because long runs leave free what the short are about to need. In order
/// of arrival the short wait behind them for half of their deadline.
#[test]
fn long_requests_do_not_hold_up_short_ones() {
    let calm = calm();
    let trial = Pattern::LongAmongShort.trial(&MWANGAZA, LENGTH, SEED);
    let both = bench::run(&trial, Decisions::POLICY);
    let in_order = bench::run(&trial, Decisions::FIRST_IN);
    assert!(
        p99(&both[0]) < 1.3 * p99(calm),
        "{} and {}",
        p99(&both[0]),
        p99(calm)
    );
    assert!(
        both[0].refused * 100 < both[0].sent,
        "{} refused",
        both[0].refused
    );
    assert!(both[1].done > 0, "long requests are served too");
    assert!(
        p99(&in_order[0]) > 3.0 * p99(calm),
        "the baseline shows the trouble"
    );
}

/// Waves of batch tasks run beside services; who disturbs whom is known only from late reports. With
/// placement by size alone services are slowed several times over in each wave, and evicting sends
/// hundreds of tasks to and fro. With what was learned, tasks are kept apart and few are moved.
#[test]
fn batch_waves_leave_services_alone() {
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
