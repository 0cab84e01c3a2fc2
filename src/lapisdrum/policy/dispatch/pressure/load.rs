//! Tracks and forecasts the load of serving tasks from their measured utilisation.
//!
//! All tasks of a step share their load, so a task without aggressors measures it for the others. A latency tail is
//! [`TAIL_AGE`] old when it is read, and load changes by half within seconds. While no period is known
//! ([`super::season`]), level and slope are tracked; with one, a mean and a sinusoid around it, which forecast the
//! load for the run time of a best-effort task.

use crate::core::time::Millis;
use nalgebra::{Matrix3, RowVector3, Vector3};
use std::{f64::consts::TAU, time::Duration};

/// Load of a serving task before it is measured, and its variance.
const FIRST_LOAD: (f64, f64) = (0.45, 0.03);
/// Variance of a load's slope before it is measured, per second squared: a change by half in seven seconds is a
/// slope of up to 0.1 per second.
const FIRST_SLOPE_VARIANCE: f64 = 0.005;
/// Growth of the slope's variance per second: in the same change the slope changes by up to 0.045 per second squared.
const SLOPE_DRIFT: f64 = 0.0015;
/// Maximum slope of a load, per second; steeper estimates are clamped.
const STEEPEST: f64 = 0.12;
/// Bounds of a load forecast: extrapolation beyond them is an error.
const LOAD_BOUNDS: (f64, f64) = (0.1, 0.72);
/// Mean age of a latency tail when it is read, in seconds: it covers half a second and arrives with a poll.
const TAIL_AGE: f64 = 0.15;
/// Variances of the mean and of each sinusoid component before they are measured.
const FIRST_WAVE_VARIANCE: (f64, f64) = (0.01, 0.03);
/// Growth of these variances per second: oscillations are not exactly periodic.
const WAVE_DRIFT: (f64, f64) = (0.0002, 0.001);

/// The load that all tasks of a serving step share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingLoad {
    trend: Trend,
    wave: Option<Wave>,
    heard_at: Option<Millis>,
}

/// A linear load model: level, and slope per second.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Trend {
    level: f64,
    slope: f64,
    /// Variance of the level, covariance of level and slope, variance of the slope.
    doubt: (f64, f64, f64),
}

/// A periodic load model: a mean and a sinusoid around it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Wave {
    period_s: f64,
    /// The mean, and the sinusoid's values now and a quarter of a period from now.
    state: Vector3<f64>,
    doubt: Matrix3<f64>,
}

impl Default for ServingLoad {
    fn default() -> Self {
        let trend = Trend {
            level: FIRST_LOAD.0,
            slope: 0.0,
            doubt: (FIRST_LOAD.1, 0.0, FIRST_SLOPE_VARIANCE),
        };
        Self {
            trend,
            wave: None,
            heard_at: None,
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
    pub(super) fn ahead(&self, now: Millis, ahead: Duration) -> f64 {
        let Some(heard_at) = self.heard_at else {
            return self.level();
        };
        let since = now.since(heard_at) + ahead;
        let since_s = since.as_secs_f64() + TAIL_AGE;
        let told = match self.wave {
            Some(wave) => wave.level_in(since_s),
            None => self.trend.level + self.trend.slope * since_s,
        };
        told.clamp(LOAD_BOUNDS.0, LOAD_BOUNDS.1)
    }

    /// Returns the variance of [`Self::level`].
    pub(super) fn variance(&self) -> f64 {
        self.wave
            .map_or(self.trend.doubt.0, |wave| wave.level_variance())
    }

    /// Advances the estimate to `now`. A new sinusoid starts from the level and slope of the linear model.
    pub(super) fn carry(&mut self, now: Millis, period_s: Option<f64>) {
        let aged_s = self.heard_at.map_or(0.0, |at| now.since(at).as_secs_f64());
        self.heard_at = Some(now);
        self.trend.carry(aged_s);
        let before = self.wave;
        self.wave = period_s.map(|period_s| match before {
            Some(wave) => wave.carried(aged_s, period_s),
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
    fn carry(&mut self, aged_s: f64) {
        let (level, both, slope) = self.doubt;
        self.level += self.slope * aged_s;
        self.doubt = (
            (level + 2.0 * aged_s * both + aged_s * aged_s * slope).min(FIRST_LOAD.1),
            both + aged_s * slope,
            (slope + aged_s * SLOPE_DRIFT).min(FIRST_SLOPE_VARIANCE),
        );
    }

    fn correct(&mut self, measured: f64, variance: f64) {
        let (level, both, slope) = self.doubt;
        let total = level + variance;
        let unexplained = measured - self.level;
        let (by_level, by_slope) = (level / total, both / total);
        self.level = (self.level + by_level * unexplained).clamp(0.0, 1.0);
        self.slope = (self.slope + by_slope * unexplained).clamp(-STEEPEST, STEEPEST);
        self.doubt = (
            level * (1.0 - by_level),
            both * (1.0 - by_level),
            slope - by_slope * both,
        );
    }
}

impl Wave {
    fn from_trend(trend: &Trend, period_s: f64) -> Self {
        let swing = trend.level - FIRST_LOAD.0;
        let turn_s = TAU / period_s;
        let (mean, wave) = FIRST_WAVE_VARIANCE;
        Self {
            period_s,
            state: Vector3::new(FIRST_LOAD.0, swing, trend.slope / turn_s),
            doubt: Matrix3::from_diagonal(&Vector3::new(mean, wave, wave)),
        }
    }

    /// Returns the state transition matrix for this time: a rotation of the sinusoid's two components.
    fn turned(&self, after_s: f64) -> Matrix3<f64> {
        let (sin, cos) = (TAU * after_s / self.period_s).sin_cos();
        Matrix3::new(1.0, 0.0, 0.0, 0.0, cos, sin, 0.0, -sin, cos)
    }

    fn level_in(&self, after_s: f64) -> f64 {
        let state = self.turned(after_s) * self.state;
        state.x + state.y
    }

    fn level_variance(&self) -> f64 {
        (SEEN * self.doubt * SEEN.transpose()).x
    }

    fn carried(mut self, aged_s: f64, period_s: f64) -> Self {
        self.period_s = period_s;
        let turned = self.turned(aged_s);
        self.state = turned * self.state;
        let (mean, wave) = WAVE_DRIFT;
        let drift = Vector3::new(mean, wave, wave) * aged_s;
        self.doubt = turned * self.doubt * turned.transpose() + Matrix3::from_diagonal(&drift);
        self
    }

    fn correct(&mut self, measured: f64, variance: f64) {
        let seen = self.doubt * SEEN.transpose();
        let gain = seen / (self.level_variance() + variance);
        let unexplained = measured - self.level_in(0.0);
        self.state += gain * unexplained;
        self.doubt -= gain * seen.transpose();
    }
}

/// Observation vector: the load is the mean plus the sinusoid's present value.
const SEEN: RowVector3<f64> = RowVector3::new(1.0, 1.0, 0.0);
