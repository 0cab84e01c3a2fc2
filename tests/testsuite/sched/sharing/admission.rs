//! Which jobs are refused at submission, and when their callers return.
//!
//! Each load is played with and without refusals, and what the callers get is compared.

use super::{CAPACITY_PER_S, OBJECTIVE_MS, Outcome, SimJob, Source, Switches, caller, kind, play};
use indexmap::IndexMap;
use lapisdrum::{
    core::time::Millis,
    policy::dispatch::{
        admission::{Admission, NewJob, PassOutcome, Refusal, WaitingWork},
        fair_share::Weights,
        order::RankInputs,
    },
};
use rand::{SeedableRng, rngs::StdRng};
use std::time::Duration;

/// Time without a burst before and after one.
const CALM_PER_S: f64 = 0.7 * CAPACITY_PER_S;

/// Outcomes without and with refusals.
fn both_ways(rate: fn(u64) -> f64) -> (Outcome, Outcome) {
    let sources = [Source {
        queue: "maps",
        priority: 0,
        rate,
    }];
    let weights = Weights::default();
    let with = Switches {
        admission: true,
        fair_share: false,
    };
    let without = play(&sources, 60_000, Switches::default(), &weights);
    (without, play(&sources, 60_000, with, &weights))
}

fn on_time(outcome: &Outcome) -> usize {
    outcome.jobs.iter().filter(|job| job.is_on_time()).count()
}

/// Jobs that were accepted at their first submission and worth nothing in the end.
fn in_vain(outcome: &Outcome) -> usize {
    let accepted = |job: &&SimJob| job.refusals == 0 && job.worth() == 0.0;
    outcome.jobs.iter().filter(accepted).count()
}

/// Refused jobs that ended on time when nobody was refused.
fn refused_but_on_time(without: &Outcome, with: &Outcome) -> usize {
    let refused = with.refused();
    refused.filter(|at| without.jobs[*at].is_on_time()).count()
}

/// Guards against refusals while the slots suffice, or nearly do.
#[test]
fn nobody_is_refused_up_to_a_third_more_load_than_can_be_served() {
    let rates: [fn(u64) -> f64; 3] = [
        |_| 0.5 * CAPACITY_PER_S,
        |_| 0.9 * CAPACITY_PER_S,
        |_| 1.3 * CAPACITY_PER_S,
    ];
    for rate in rates {
        let (without, with) = both_ways(rate);
        assert_eq!(with.refusals, []);
        assert_eq!(on_time(&with), on_time(&without));
    }
}

/// Guards against refusals in a burst that is over before the first job of it becomes worthless: callers that
/// would have been served in time come back too late.
#[test]
fn a_short_burst_refuses_hardly_anybody() {
    let (without, with) = both_ways(|ms| match ms {
        10_000..16_000 => 6.0 * CAPACITY_PER_S,
        _ => CALM_PER_S,
    });
    let refused = with.refused().count();
    assert!(refused * 100 <= with.jobs.len(), "{refused} refused");
    assert!(on_time(&with) * 100 >= on_time(&without) * 99);
}

/// Four times as much comes for a minute as can be served. Without refusals three of four callers wait in vain.
#[test]
fn under_lasting_overload_callers_learn_at_once_and_as_many_are_served() {
    let (without, with) = both_ways(|_| 4.0 * CAPACITY_PER_S);
    assert!(
        on_time(&with) * 100 >= on_time(&without) * 99,
        "{} on time, {} without refusals",
        on_time(&with),
        on_time(&without)
    );
    assert!(with.worth() >= 0.99 * without.worth());
    assert!(
        in_vain(&with) * 2 < in_vain(&without),
        "{} accepted in vain, {} without refusals",
        in_vain(&with),
        in_vain(&without)
    );
    // Another job was on time in the place of each of these.
    let refused = with.refused().count();
    let on_time_before = refused_but_on_time(&without, &with);
    assert!(
        on_time_before * 10 <= refused,
        "{on_time_before} of {refused}"
    );
}

/// Guards against refusals that go on after the overload: by returning callers, or by a drain that is measured
/// too low.
#[test]
fn after_an_overload_new_callers_are_accepted_once_the_queue_has_drained() {
    let (without, with) = both_ways(|ms| match ms {
        5_000..35_000 => 3.0 * CAPACITY_PER_S,
        _ => CALM_PER_S,
    });
    assert!(!with.refusals.is_empty());
    let recovered_ms = 35_000 + 3 * OBJECTIVE_MS;
    let late = with.refusals.iter().filter(|(at, ..)| *at > recovered_ms);
    assert_eq!(late.count(), 0, "refusals after the queue has drained");
    let given_up = with.jobs.iter().filter(|job| job.accepted_ms.is_none());
    let refused = with.refused().count();
    assert!(
        given_up.count() * 4 < refused,
        "most callers are accepted when they return"
    );
    assert!(on_time(&with) * 100 >= on_time(&without) * 99);
    assert!(with.worth() >= 0.99 * without.worth());
}

/// A job of 100 units of work, whose chain takes 3 s; on time within 5 s, worthless from 15 s on.
fn new_job(id: u64) -> NewJob {
    NewJob {
        id,
        caller: caller("maps"),
        inputs: RankInputs {
            priority: 0,
            is_long_running: false,
            is_interrupted: false,
            age_ms: 0,
            objective_ms: 5_000,
            chain_ms: 3_000,
            is_in_progress: false,
        },
        first_kinds: vec![kind()],
        work: 100,
    }
}

fn waiting(age_ms: u64, work: u64) -> WaitingWork {
    let inputs = RankInputs {
        age_ms,
        ..new_job(0).inputs
    };
    WaitingWork {
        caller: caller("maps"),
        rank: inputs.rank(),
        work,
    }
}

/// A pass every 0.1 s for 3 s, each of which places this much work beside a queue of 20,000 that is still worth
/// something, and a job that no longer is.
fn after_passes(placed: u64) -> (Admission, Millis) {
    let mut admission = Admission::default();
    let mut now = Millis(0);
    for _ in 0..30 {
        now = now + Duration::from_millis(100);
        let waiting = vec![
            waiting(100, 10_000),
            waiting(3_000, 10_000),
            waiting(20_000, 100),
        ];
        let outcome = PassOutcome { placed, waiting };
        admission.note_pass(IndexMap::from([(kind(), outcome)]), now);
    }
    (admission, now)
}

fn decide(admission: &mut Admission, job: &NewJob, now: Millis) -> Option<Refusal> {
    admission.decide(job, None, now, &mut StdRng::seed_from_u64(5))
}

#[test]
fn a_job_is_refused_if_the_measured_drain_makes_it_worthless() {
    let (mut fast, now) = after_passes(400);
    assert_eq!(
        decide(&mut fast, &new_job(1), now),
        None,
        "20,000 at 4,000/s"
    );
    let (mut slow, now) = after_passes(100);
    let refusal = decide(&mut slow, &new_job(1), now).expect("20,000 at 1,000/s");
    assert_eq!(refusal.ahead, 20_000);
    assert!((18..22).contains(&refusal.wait.as_secs()), "{refusal:?}");
    assert!(
        refusal.retry_after >= Duration::from_secs(15),
        "{refusal:?}"
    );
}

/// Guards against a daemon that ends at a submission, since the measured drain has decayed until the expected wait
/// exceeds what a duration can hold.
#[test]
fn a_drain_of_nearly_nothing_gives_a_wait() {
    let (mut admission, mut now) = after_passes(400);
    for pass in 0..10_000 {
        now = now + Duration::from_millis(100);
        // Work is placed only in passes before which none waited, so the drain is not measured anew.
        let outcome = match pass % 2 {
            0 => PassOutcome::default(),
            _ => PassOutcome {
                placed: 1,
                waiting: vec![waiting(100, 10_000), waiting(20_000, 100)],
            },
        };
        admission.note_pass(IndexMap::from([(kind(), outcome)]), now);
        decide(&mut admission, &new_job(1), now);
    }
}

/// Guards against refusals without evidence: before the drain is measured, as after a take-over, from a pass long
/// ago, while nothing at all is placed, and for long-running jobs, which gain by each second.
#[test]
fn without_evidence_a_job_is_accepted() {
    let job = new_job(1);
    assert_eq!(decide(&mut Admission::default(), &job, Millis(0)), None);
    let mut unmeasured = Admission::default();
    for now in [100, 200, 300].map(Millis) {
        let waiting = vec![waiting(100, 1_000_000), waiting(20_000, 100)];
        let outcome = PassOutcome { placed: 1, waiting };
        unmeasured.note_pass(IndexMap::from([(kind(), outcome)]), now);
        assert_eq!(decide(&mut unmeasured, &job, now), None);
    }
    let (mut slow, now) = after_passes(100);
    assert_eq!(
        decide(&mut slow.clone(), &job, now + Duration::from_secs(1)),
        None
    );
    let mut long_running = job.clone();
    long_running.inputs.is_long_running = true;
    assert_eq!(decide(&mut slow, &long_running, now), None);
    let mut held_up = slow;
    let mut later = now;
    for _ in 0..10 {
        later = later + Duration::from_millis(100);
        let waiting = vec![waiting(100, 20_000), waiting(20_000, 100)];
        let outcome = PassOutcome { placed: 0, waiting };
        held_up.note_pass(IndexMap::from([(kind(), outcome)]), later);
    }
    assert_eq!(decide(&mut held_up, &job, later), None);
}

/// Guards against a refused caller whose job is ranked as new when it comes back: its objective counts from its first
/// submission.
#[test]
fn the_first_submission_of_a_refused_job_counts() {
    let (mut slow, now) = after_passes(100);
    assert!(decide(&mut slow, &new_job(1), now).is_some());
    let back = now + Duration::from_secs(20);
    slow.note_pass(IndexMap::new(), back);
    assert_eq!(decide(&mut slow, &new_job(1), back), None, "nothing waits");
    assert_eq!(slow.accept(1, back), Duration::from_secs(20));
    assert_eq!(slow.accept(1, back), Duration::ZERO, "it is forgotten");
}

/// Guards against refused callers that come back together: 200 are refused at once by a queue that drains ten jobs a
/// second.
#[test]
fn refused_callers_return_at_the_rate_at_which_they_can_be_served() {
    let (mut slow, now) = after_passes(100);
    let mut rng = StdRng::seed_from_u64(5);
    let mut per_s: IndexMap<u64, u32> = IndexMap::new();
    for id in 0..100 {
        let refusal = slow.decide(&new_job(id), None, now, &mut rng);
        let retry_after = refusal.expect("the queue is long").retry_after;
        *per_s.entry(retry_after.as_secs()).or_default() += 1;
    }
    let most = per_s.values().max();
    assert!(most <= Some(&20), "{per_s:?}");
}

/// Guards against a caller within its share that is refused since another caller's burst waits.
#[test]
fn where_callers_share_capacity_a_burst_of_one_refuses_nobody_else() {
    let (mut slow, now) = after_passes(100);
    let mut rng = StdRng::seed_from_u64(5);
    let job = NewJob {
        caller: caller("checks"),
        ..new_job(1)
    };
    let weights = Weights::default();
    assert!(slow.decide(&job, None, now, &mut rng).is_some());
    assert_eq!(slow.decide(&job, Some(&weights), now, &mut rng), None);
    let burst = slow.decide(&new_job(2), Some(&weights), now, &mut rng);
    assert!(burst.is_some(), "the burst's own jobs wait for each other");
}
