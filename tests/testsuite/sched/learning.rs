//! Interference estimates of image pairs that never shared a host, load forecasts, and the exchange of estimates
//! between owners.

use lapisdrum::{
    core::time::Millis,
    policy::dispatch::interference::{
        Aggressor, Image, InterferenceModel, ServingLoad, Victim, estimates::InterferenceEstimates,
        seasonality::Seasonality,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{f64::consts::TAU, time::Duration};

const TARGET_MS: f64 = 50.0;
const BASE_MS: f64 = 10.0;
const VICTIMS: usize = 15;
const AGGRESSORS: usize = 32;

fn victim(image: Image, step: u64, load: ServingLoad) -> Victim {
    Victim {
        image,
        step: (step, 0, 0),
        target_ms: TARGET_MS,
        load,
    }
}

/// Images contend for three resources: each serving image is sensitive to one, each best-effort image uses one or
/// none.
fn interferes(victim: usize, aggressor: usize) -> bool {
    aggressor % 4 == victim % 3
}

fn images(model: &mut InterferenceModel) -> (Vec<Image>, Vec<Image>) {
    let victims = (0..VICTIMS).map(|at| model.image(&format!("s{at}")));
    let victims = victims.collect();
    let aggressors = (0..AGGRESSORS).map(|at| model.image(&format!("l{at}")));
    (victims, aggressors.collect())
}

/// Feeds a model eight noisy samples of every pair for which `has_met`.
fn feed(model: &mut InterferenceModel, has_met: impl Fn(usize, usize) -> bool, rng: &mut StdRng) {
    let (victims, aggressors) = images(model);
    for round in 0..8_u64 {
        for (v, image) in victims.iter().enumerate() {
            let met = aggressors.iter().enumerate();
            for (a, aggressor) in met.filter(|(a, _)| has_met(v, *a)) {
                let beside = [Aggressor {
                    image: *aggressor,
                    share: 0.15,
                }];
                let factor = if interferes(v, a) { 1.4 } else { 0.1 };
                let utilisation = 0.45 + factor * 0.15 + rng.random_range(-0.03..0.03);
                let mut task = victim(*image, 1, ServingLoad::default());
                let tails = [BASE_MS / (1.0 - utilisation)];
                model.note(&mut task, &beside, &tails, Millis(round * 500));
            }
        }
        model.refit_if_due(Millis(round * 500 + 499));
    }
}

/// The share of the pairs with `counts` that the model classifies correctly as interfering or not.
fn correct_share(model: &mut InterferenceModel, counts: impl Fn(usize, usize) -> bool) -> f64 {
    let (victims, aggressors) = images(model);
    let (mut correct, mut all) = (0, 0);
    for (v, image) in victims.iter().enumerate() {
        let counted = aggressors.iter().enumerate();
        for (a, aggressor) in counted.filter(|(a, _)| counts(v, *a)) {
            let full_share = Aggressor {
                image: *aggressor,
                share: 1.0,
            };
            let predicted = model.interference(*image, &full_share) > 0.6;
            correct += u32::from(predicted == interferes(v, a));
            all += 1;
        }
    }
    f64::from(correct) / f64::from(all)
}

/// Guards against trying unknown pairs on tasks that serve users, where a fifth of the best-effort tasks would have to
/// be stopped again. A third of the pairs has met; the others are predicted from what the images have in common.
#[test]
fn pairs_that_never_met_are_predicted_from_those_that_did() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut model = InterferenceModel::default();
    let met: Vec<bool> = (0..VICTIMS * AGGRESSORS)
        .map(|_| rng.random_bool(0.33))
        .collect();
    let has_met = |v: usize, a: usize| met[v * AGGRESSORS + a];
    feed(&mut model, has_met, &mut rng);
    let correct = correct_share(&mut model, |v, a| !has_met(v, a));
    assert!(correct >= 0.85, "{correct} of the pairs that never met");
}

/// Two shards measured one half of the pairs each, and one receives the estimates of the other. Guards against
/// counting the same evidence twice when it is received again, which would understate the variance.
#[test]
fn received_evidence_counts_once() {
    let mut rng = StdRng::seed_from_u64(4);
    let is_even = |v: usize, a: usize| (v + a).is_multiple_of(2);
    let (mut one, mut other) = (InterferenceModel::default(), InterferenceModel::default());
    feed(&mut one, is_even, &mut rng);
    feed(&mut other, |v, a| !is_even(v, a), &mut rng);
    one.adopt(2, &InterferenceEstimates::from(&other));
    one.refit_if_due(Millis(5_000));
    let correct = correct_share(&mut one, |v, a| !is_even(v, a));
    assert!(
        correct >= 0.95,
        "{correct} of the pairs that the other measured"
    );
    let (victims, aggressors) = images(&mut one);
    let aggressor = Aggressor {
        image: aggressors[1],
        share: 1.0,
    };
    let variance = one.interference_variance(victims[0], &aggressor);
    one.adopt(2, &InterferenceEstimates::from(&other));
    let again = one.interference_variance(victims[0], &aggressor);
    assert!((variance - again).abs() < 1e-9, "{variance} {again}");
}

/// Guards against replies that grow with all known pairs: only those measured since the last request are sent.
#[test]
fn only_new_evidence_is_sent_again() {
    let mut model = InterferenceModel::default();
    feed(&mut model, |_, _| true, &mut StdRng::seed_from_u64(5));
    let all = InterferenceEstimates::since(&model, Millis(0));
    assert_eq!(all.pairs(), VICTIMS * AGGRESSORS);
    let (victims, aggressors) = images(&mut model);
    let beside = [Aggressor {
        image: aggressors[3],
        share: 0.2,
    }];
    let mut task = victim(victims[2], 1, ServingLoad::default());
    model.note(&mut task, &beside, &[30.0], Millis(9_000));
    assert_eq!(
        InterferenceEstimates::since(&model, Millis(8_000)).pairs(),
        1
    );
}

fn wave(step: u64, at_s: f64, period_s: f64) -> f64 {
    0.45 + 0.22 * (TAU * (at_s / period_s + step as f64 * 0.29)).sin()
}

/// Guards against forecasting periodic loads by their slope: near a peak or trough, such a forecast is wrong by half
/// the swing within two seconds, and best-effort tasks are admitted that must be stopped again.
#[test]
fn a_periodic_load_is_forecast() {
    let mut rng = StdRng::seed_from_u64(6);
    for period_s in [9.0, 14.0, 20.0] {
        let mut model = InterferenceModel::default();
        let image = model.image("s");
        let mut tasks: Vec<Victim> = (0..6)
            .map(|step| victim(image, step, ServingLoad::default()))
            .collect();
        let (mut error, mut samples) = (0.0, 0);
        for round in 0..160_u64 {
            let (now, at_s) = (Millis(round * 250), round as f64 * 0.25);
            for task in &mut tasks {
                let load = wave(task.step.0, at_s - 0.15, period_s) + rng.random_range(-0.02..0.02);
                model.note(task, &[], &[BASE_MS / (1.0 - load)], now);
                let ahead = model.expected_utilisation(task, &[], now, Duration::from_secs(2));
                if at_s > 1.6 * period_s {
                    error += (ahead - wave(task.step.0, at_s + 2.0, period_s)).abs();
                    samples += 1;
                }
            }
            model.refit_if_due(now);
        }
        let found = model.period_s().expect("a period");
        assert!(
            (found / period_s - 1.0).abs() < 0.06,
            "{found} of {period_s}"
        );
        let error = error / f64::from(samples);
        assert!(error < 0.06, "wrong by {error} with a period of {period_s}");
    }
}

/// Guards against a period found in noise, which would be forecast as a swing that never comes.
#[test]
fn a_load_of_noise_has_no_period() {
    let mut rng = StdRng::seed_from_u64(8);
    let mut seasonality = Seasonality::default();
    for round in 0..160_u64 {
        for step in 0..6_u64 {
            seasonality.note(
                step,
                0.45 + rng.random_range(-0.1..0.1),
                Millis(round * 250),
            );
        }
        seasonality.search_if_due(Millis(round * 250));
        assert_eq!(seasonality.period_s(), None);
    }
}
