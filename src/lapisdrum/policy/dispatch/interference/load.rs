//! Tracks and forecasts the load of serving tasks from their measured utilisation.
//!
//! All tasks of a step share their load, so a task without aggressors measures it for the others. A
//! latency tail is `TAIL_AGE_S` old when it is read, and load changes by half within seconds.
//! While no period is known ([`super::seasonality`]), level and slope are tracked; with one, a mean
//! and a sinusoid around it, which forecast the load for the run time of a best-effort task.

use crate::core::time::Millis;
use nalgebra::{Matrix3, RowVector3, Vector3};
use std::{f64::consts::TAU, time::Duration};

/// Load of a serving task before it is measured, and its variance.
const INITIAL_LOAD: (f64, f64) = (0.45, 0.03);
/// Variance of a load's slope before it is measured, per second squared: a change by half in seven
/// seconds is a slope of up to 0.1 per second.
const INITIAL_SLOPE_VARIANCE: f64 = 0.005;
/// Growth of the slope's variance per second: during such a change it changes by up to 0.045 per
/// second squared.
const SLOPE_DRIFT: f64 = 0.0015;
/// Maximum slope of a load, per second; steeper estimates are clamped.
const MAX_SLOPE: f64 = 0.12;
/// Bounds of a load forecast: extrapolation beyond them is an error.
const LOAD_BOUNDS: (f64, f64) = (0.1, 0.72);
/// Mean age of a latency tail when it is read, in seconds: it covers half a second and arrives with
/// a poll.
const TAIL_AGE_S: f64 = 0.15;
/// Variances of the mean and of each sinusoid component before they are measured.
const INITIAL_WAVE_VARIANCE: (f64, f64) = (0.01, 0.03);
/// Growth of these variances per second: oscillations are not exactly periodic.
const WAVE_DRIFT: (f64, f64) = (0.0002, 0.001);

/// The load that all tasks of a serving step share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingLoad {
    trend: Trend,
    wave: Option<Wave>,
    measured_at: Option<Millis>,
}

/// A linear load model: level, and slope per second.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Trend {
    level: f64,
    slope: f64,
    /// Variance of the level, covariance of level and slope, variance of the slope.
    covariance: (f64, f64, f64),
}

/// A periodic load model: a mean and a sinusoid around it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Wave {
    period_s: f64,
    /// The mean, and the sinusoid's values now and a quarter of a period from now.
    state: Vector3<f64>,
    covariance: Matrix3<f64>,
}

impl Default for ServingLoad {
    fn default() -> Self {
        let trend = Trend {
            level: INITIAL_LOAD.0,
            slope: 0.0,
            covariance: (INITIAL_LOAD.1, 0.0, INITIAL_SLOPE_VARIANCE),
        };
        Self {
            trend,
            wave: None,
            measured_at: None,
        }
    }
}

impl ServingLoad {
    /// Returns the load at the last measurement, or the initial estimate before the first one.
    pub fn level(&self) -> f64 {
        self.wave
            .map_or(self.trend.level, |wave| wave.level_in(0.0))
    }

    /// Returns the forecast load at `now + ahead`.
    pub(super) fn forecast(&self, now: Millis, ahead: Duration) -> f64 {
        let Some(measured_at) = self.measured_at else {
            return self.level();
        };
        let since = now.since(measured_at) + ahead;
        let since_s = since.as_secs_f64() + TAIL_AGE_S;
        let forecast = match self.wave {
            Some(wave) => wave.level_in(since_s),
            None => self.trend.level + self.trend.slope * since_s,
        };
        forecast.clamp(LOAD_BOUNDS.0, LOAD_BOUNDS.1)
    }

    /// Returns the variance of [`Self::level`].
    pub(super) fn variance(&self) -> f64 {
        self.wave
            .map_or(self.trend.covariance.0, |wave| wave.level_variance())
    }

    /// Advances the estimate to `now`. A new sinusoid starts from the level and slope of the linear
    /// model.
    pub(super) fn advance(&mut self, now: Millis, period_s: Option<f64>) {
        let elapsed_s = self
            .measured_at
            .map_or(0.0, |at| now.since(at).as_secs_f64());
        self.measured_at = Some(now);
        self.trend.advance(elapsed_s);
        let before = self.wave;
        self.wave = period_s.map(|period_s| match before {
            Some(wave) => wave.advanced(elapsed_s, period_s),
            None => Wave::from_trend(&self.trend, period_s),
        });
    }

    /// Corrects the estimate with a measured load of this variance.
    pub(super) fn correct(&mut self, measured: f64, variance: f64) {
        self.trend.correct(measured, variance);
        if let Some(wave) = &mut self.wave {
            wave.correct(measured, variance);
        }
    }
}

impl Trend {
    fn advance(&mut self, elapsed_s: f64) {
        let (level, cross_covariance, slope) = self.covariance;
        self.level += self.slope * elapsed_s;
        self.covariance = (
            (level + 2.0 * elapsed_s * cross_covariance + elapsed_s * elapsed_s * slope)
                .min(INITIAL_LOAD.1),
            cross_covariance + elapsed_s * slope,
            (slope + elapsed_s * SLOPE_DRIFT).min(INITIAL_SLOPE_VARIANCE),
        );
    }

    fn correct(&mut self, measured: f64, variance: f64) {
        let (level, cross_covariance, slope) = self.covariance;
        let total = level + variance;
        let residual = measured - self.level;
        let (by_level, by_slope) = (level / total, cross_covariance / total);
        self.level = (self.level + by_level * residual).clamp(0.0, 1.0);
        self.slope = (self.slope + by_slope * residual).clamp(-MAX_SLOPE, MAX_SLOPE);
        self.covariance = (
            level * (1.0 - by_level),
            cross_covariance * (1.0 - by_level),
            slope - by_slope * cross_covariance,
        );
    }
}

impl Wave {
    fn from_trend(trend: &Trend, period_s: f64) -> Self {
        let offset = trend.level - INITIAL_LOAD.0;
        let angular_frequency = TAU / period_s;
        let (mean, wave) = INITIAL_WAVE_VARIANCE;
        Self {
            period_s,
            state: Vector3::new(INITIAL_LOAD.0, offset, trend.slope / angular_frequency),
            covariance: Matrix3::from_diagonal(&Vector3::new(mean, wave, wave)),
        }
    }

    /// Returns the state transition matrix for this time: a rotation of the sinusoid's two
    /// components.
    fn transition(&self, after_s: f64) -> Matrix3<f64> {
        let (sin, cos) = (TAU * after_s / self.period_s).sin_cos();
        Matrix3::new(1.0, 0.0, 0.0, 0.0, cos, sin, 0.0, -sin, cos)
    }

    fn level_in(&self, after_s: f64) -> f64 {
        let state = self.transition(after_s) * self.state;
        state.x + state.y
    }

    fn level_variance(&self) -> f64 {
        (OBSERVATION * self.covariance * OBSERVATION.transpose()).x
    }

    fn advanced(mut self, elapsed_s: f64, period_s: f64) -> Self {
        self.period_s = period_s;
        let transition = self.transition(elapsed_s);
        self.state = transition * self.state;
        let (mean, wave) = WAVE_DRIFT;
        let drift = Vector3::new(mean, wave, wave) * elapsed_s;
        self.covariance =
            transition * self.covariance * transition.transpose() + Matrix3::from_diagonal(&drift);
        self
    }

    fn correct(&mut self, measured: f64, variance: f64) {
        let covariance_with_load = self.covariance * OBSERVATION.transpose();
        let gain = covariance_with_load / (self.level_variance() + variance);
        let residual = measured - self.level_in(0.0);
        self.state += gain * residual;
        self.covariance -= gain * covariance_with_load.transpose();
    }
}

/// Observation vector: the load is the mean plus the sinusoid's present value.
const OBSERVATION: RowVector3<f64> = RowVector3::new(1.0, 1.0, 0.0);
