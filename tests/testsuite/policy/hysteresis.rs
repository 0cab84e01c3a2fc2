//! A switch with hysteresis, driven by a signal that lags.

use lapisdrum::{
    core::time::Millis,
    policy::hysteresis::{HysteresisConfig, Switch},
};
use proptest::prelude::*;
use std::time::Duration;

const CONFIG: HysteresisConfig = HysteresisConfig {
    on_above: 1.5,
    off_below: 1.2,
    on_after: 2,
    off_after: 3,
    settle_time: Duration::from_secs(10),
};

/// Guards against oscillation: a change takes ten seconds to show, and reports measured before that
/// still show the state before the change. They are ignored.
#[test]
fn reports_from_before_the_last_change_are_ignored() {
    let mut switch = Switch::default();
    assert!(!switch.report(&CONFIG, 3.0, Millis(1_000), Millis(6_000)));
    assert!(switch.report(&CONFIG, 3.0, Millis(2_000), Millis(7_000)));
    for t in 3..17 {
        assert!(!switch.report(&CONFIG, 1.0, Millis(t * 1_000), Millis((t + 5) * 1_000)));
    }
    assert!(switch.is_on());
    assert!(!switch.report(&CONFIG, 1.0, Millis(17_000), Millis(22_000)));
    assert!(!switch.report(&CONFIG, 1.0, Millis(18_000), Millis(23_000)));
    assert!(switch.report(&CONFIG, 1.0, Millis(19_000), Millis(24_000)));
}

/// Guards against one report that is read several times and counted each time.
#[test]
fn a_repeated_report_counts_once() {
    let mut switch = Switch::default();
    for _ in 0..10 {
        assert!(!switch.report(&CONFIG, 9.0, Millis(1_000), Millis(5_000)));
    }
}

proptest! {
    /// The switch changes at most once within its settle time, however late the reports are.
    #[test]
    fn it_does_not_oscillate(reports in prop::collection::vec((0.5..3.0_f64, 0..9_000_u64), 1..300)) {
        let mut switch = Switch::default();
        let mut last_change: Option<Millis> = None;
        for (i, (value, lag)) in reports.into_iter().enumerate() {
            let now = Millis(10_000 + i as u64 * 500);
            let measured = now.before(Duration::from_millis(lag));
            if switch.report(&CONFIG, value, measured, now) {
                if let Some(last) = last_change {
                    prop_assert!(now.since(last) >= CONFIG.settle_time);
                }
                last_change = Some(now);
            }
        }
    }
}
