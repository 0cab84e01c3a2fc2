//! Which serving tasks miss their targets without best-effort tasks, as far as measurements tell.

use lapisdrum::{
    core::time::Millis,
    policy::dispatch::{
        interference::StepKey,
        missed_alone::{Check, MAX_PAUSE, MissedAlone},
    },
};
use proptest::prelude::*;
use std::time::Duration;

const A: StepKey = (1, 0, 0);
const B: StepKey = (2, 0, 0);
const TRUSTED_FOR: Duration = Duration::from_millis(1_300);
const UNDISTURBED: bool = true;
const DISTURBED: bool = false;

fn ms(ms: u64) -> Millis {
    Millis(ms)
}

/// Guards against interference that is taken for a slow worker: a tail counts only if it was measured without
/// best-effort tasks.
#[test]
fn a_tail_beside_best_effort_tasks_proves_nothing() {
    let mut missed = MissedAlone::default();
    for at in 0..100 {
        let check = missed.note(&[(A, 3.0)], DISTURBED, TRUSTED_FOR, ms(at * 100));
        assert_eq!(check, Check::None);
        assert!(!missed.contains(A));
    }
}

/// Guards against best-effort tasks that are kept off a host whose serving tasks miss their targets anyway.
#[test]
fn a_measurement_without_best_effort_tasks_counts_for_the_steps_over_their_targets() {
    let mut missed = MissedAlone::default();
    let tails = [(A, 0.4), (A, 1.2), (B, 0.9)];
    assert_eq!(
        missed.note(&tails, UNDISTURBED, TRUSTED_FOR, ms(0)),
        Check::None
    );
    assert!(missed.contains(A), "one task of the step is over");
    assert!(!missed.contains(B));
    missed.note(&[(A, 0.9), (B, 2.0)], DISTURBED, TRUSTED_FOR, ms(100));
    assert!(
        missed.is_empty(),
        "below its target beside others, it meets it alone"
    );
}

/// Guards against best-effort tasks that keep a tail high after its worker has recovered.
#[test]
fn a_measurement_that_is_old_is_repeated_without_best_effort_tasks() {
    let mut missed = MissedAlone::default();
    missed.note(&[(A, 2.0)], UNDISTURBED, TRUSTED_FOR, ms(0));
    let mut note = |tail, undisturbed, at| {
        let check = missed.note(&[(A, tail)], undisturbed, TRUSTED_FOR, ms(at));
        (check, missed.contains(A))
    };
    assert_eq!(note(2.0, DISTURBED, 1_299), (Check::None, true));
    assert_eq!(note(2.0, DISTURBED, 1_300), (Check::Pause, true));
    assert_eq!(note(2.0, DISTURBED, 1_800), (Check::Wait, true));
    assert_eq!(note(2.0, UNDISTURBED, 2_200), (Check::Resume, true));
    assert_eq!(note(2.0, DISTURBED, 3_400), (Check::None, true));
    assert_eq!(note(2.0, DISTURBED, 3_500), (Check::Pause, true));
    assert_eq!(note(0.99, UNDISTURBED, 4_400), (Check::Resume, false));
    assert_eq!(note(2.0, DISTURBED, 9_000), (Check::None, false));
}

/// Guards against best-effort tasks that stay paused for a measurement which can't be made.
#[test]
fn a_pause_without_a_measurement_ends() {
    let mut missed = MissedAlone::default();
    missed.note(&[(A, 2.0)], UNDISTURBED, TRUSTED_FOR, ms(0));
    let mut note = |at| missed.note(&[(A, 2.0)], DISTURBED, TRUSTED_FOR, ms(at));
    assert_eq!(note(1_300), Check::Pause);
    let last = 1_300 + MAX_PAUSE.as_millis() as u64;
    assert_eq!(note(last - 1), Check::Wait);
    assert_eq!(note(last), Check::Resume);
    assert!(!missed.contains(A), "what can't be repeated does not count");
}

proptest! {
    /// Whatever is reported, best-effort tasks run beside a tail over its target for no longer than a measurement counts
    /// and one poll, and each pause ends.
    #[test]
    fn best_effort_tasks_are_bounded_by_the_last_measurement(
        polls in prop::collection::vec((1..600_u64, 0.0..3.0_f64, any::<bool>()), 1..200),
    ) {
        let mut missed = MissedAlone::default();
        let (mut now, mut measured_at, mut paused_at) = (0, None, None);
        for (gap, tail, is_undisturbed) in polls {
            now += gap;
            let check = missed.note(&[(A, tail)], is_undisturbed, TRUSTED_FOR, ms(now));
            if is_undisturbed {
                measured_at = (tail > 1.0).then_some(now);
            }
            match check {
                Check::Pause => paused_at = Some(now),
                Check::Resume => paused_at = None,
                Check::None | Check::Wait => {}
            }
            if missed.contains(A) && paused_at.is_none() {
                let measured_at = measured_at.expect("a measurement");
                prop_assert!(now - measured_at < TRUSTED_FOR.as_millis() as u64);
            }
            if let Some(paused_at) = paused_at {
                prop_assert!(now - paused_at < MAX_PAUSE.as_millis() as u64);
            }
        }
    }
}
