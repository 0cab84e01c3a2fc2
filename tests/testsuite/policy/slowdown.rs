//! Slowdown estimates from late measurements, and their uncertainty.

use super::{entry, seeded};
use lapisdrum::{
    core::time::Millis,
    policy::slowdown::{
        History, Kind, Neighbour, PRIOR_SLOWDOWN, REPORT_HALF_LIFE, Report, SlowdownModel,
    },
};
use rand::Rng;
use std::time::Duration;

fn neighbour(kind: Kind, count: u32) -> Neighbour {
    Neighbour { kind, count }
}

/// Guards against blaming quiet neighbours: one of four kinds of batch work slows a service, and
/// each report is measured beside two of them.
#[test]
fn the_noisy_neighbour_is_found_among_quiet_ones() {
    let mut model = SlowdownModel::default();
    let service = model.kind(&entry("map"));
    let kinds: Vec<Kind> = (0..4)
        .map(|i| model.kind(&entry(&format!("batch{i}"))))
        .collect();
    let mut rng = seeded(2);
    for i in 0..200_u64 {
        let (a, b) = (rng.random_range(0..4), rng.random_range(0..4));
        let noisy = u32::from(a == 0) + u32::from(b == 0);
        let noise = rng.random_range(0..100);
        let report = Report {
            kind: service,
            beside: &[neighbour(kinds[a], 1), neighbour(kinds[b], 1)],
            slowdown_permille: 1_000 + noisy * 800 + noise,
            measured_at: Millis(i * 1_000),
        };
        model.note(&report);
    }
    let added: Vec<f64> = kinds
        .iter()
        .map(|kind| model.added(service, *kind, Millis(200_000)))
        .collect();
    assert!((0.6..1.0).contains(&added[0]), "{added:?}");
    assert!(added[1..].iter().all(|quiet| *quiet < 0.2), "{added:?}");
}

/// The estimate nears the measured slowdown with more reports, and returns to the prior as they
/// age.
#[test]
fn uncertainty_falls_with_reports_and_rises_with_age() {
    let mut model = SlowdownModel::default();
    let (service, batch) = (model.kind(&entry("map")), model.kind(&entry("batch")));
    assert_eq!(model.uncertainty(service, batch, Millis(0)), 1.0);
    assert_eq!(model.added(service, batch, Millis(0)), PRIOR_SLOWDOWN);
    let report = |at| Report {
        kind: service,
        beside: &[Neighbour {
            kind: Kind(1),
            count: 1,
        }],
        slowdown_permille: 3_000,
        measured_at: at,
    };
    model.note(&report(Millis(0)));
    let once = model.added(service, batch, Millis(0));
    assert!((0.2..1.0).contains(&once), "{once}");
    for i in 1..20 {
        model.note(&report(Millis(i * 1_000)));
    }
    let often = model.added(service, batch, Millis(20_000));
    assert!((1.5..2.1).contains(&often), "{often}");
    let later = Millis(20_000) + REPORT_HALF_LIFE * 10;
    assert!(model.added(service, batch, later) < 0.2);
    assert!(model.uncertainty(service, batch, later) > 0.9);
}

/// Usage reports lag by seconds. A report is matched with the tasks that ran when it was measured,
/// and is dropped when they changed during the measurement.
#[test]
fn a_late_report_is_matched_with_its_own_time() {
    let mut history = History::default();
    let (before, after) = (vec![neighbour(Kind(1), 1)], vec![neighbour(Kind(2), 3)]);
    history.note(before.clone(), Millis(0));
    history.note(after.clone(), Millis(10_000));
    let span = Duration::from_secs(2);
    assert_eq!(history.during(Millis(9_000), span), Some(before.as_slice()));
    assert_eq!(history.during(Millis(11_000), span), None);
    assert_eq!(history.during(Millis(13_000), span), Some(after.as_slice()));
}

/// Guards against a throttled neighbour that is taken for harmless and placed beside the service at
/// full speed: no report is used while a neighbour is throttled.
#[test]
fn reports_while_something_is_throttled_are_not_used() {
    let mut history = History::default();
    let running = vec![neighbour(Kind(1), 1)];
    history.note(running.clone(), Millis(0));
    history.note_throttled(Millis(10_000));
    history.note(running.clone(), Millis(20_000));
    let span = Duration::from_secs(2);
    assert_eq!(
        history.during(Millis(9_000), span),
        Some(running.as_slice())
    );
    assert_eq!(history.during(Millis(15_000), span), None);
    assert_eq!(
        history.during(Millis(25_000), span),
        Some(running.as_slice())
    );
}
