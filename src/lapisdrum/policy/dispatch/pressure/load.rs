//! The load of serving tasks, followed from measured strain.
//!
//! All tasks of a step share their load, so one that nothing presses tells it for the others. A tail is
//! [`TAIL_AGE`] old when it is read and the load swings by half within seconds, so level and slope are followed
//! together, each with its doubt.

use crate::core::time::Millis;
use std::time::Duration;

/// A serving task's own load before anything is measured, and its variance.
const FIRST_LOAD: (f64, f64) = (0.45, 0.03);
/// Variance of a load's slope before anything is measured, per second squared: a swing by half in seven
/// seconds is a slope of up to 0.1 a second.
const FIRST_SLOPE_VARIANCE: f64 = 0.005;
/// Growth of the slope's variance a second: the same swing bends by up to 0.045 a second squared.
const SLOPE_DRIFT: f64 = 0.0015;
/// Steepest slope of a load that is believed, a second.
const STEEPEST: f64 = 0.12;
/// Loads are told within these bounds: what an extrapolation says beyond them is its error.
const LOAD_BOUNDS: (f64, f64) = (0.1, 0.72);
/// A tail tells of this long ago on average: it is measured over half a second and comes with a look.
const TAIL_AGE: f64 = 0.15;

/// The load that all tasks of a serving step share, with its slope a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingLoad {
    level: f64,
    slope: f64,
    /// Variances of level and slope, and their covariance between.
    doubt: (f64, f64, f64),
    heard_at: Option<Millis>,
}

impl Default for ServingLoad {
    fn default() -> Self {
        Self {
            level: FIRST_LOAD.0,
            slope: 0.0,
            doubt: (FIRST_LOAD.1, 0.0, FIRST_SLOPE_VARIANCE),
            heard_at: None,
        }
    }
}

impl ServingLoad {
    /// The load when it was last measured, or what is taken for it before.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// The load expected so long after `now`.
    pub(super) fn ahead(&self, now: Millis, ahead: Duration) -> f64 {
        let Some(heard_at) = self.heard_at else {
            return self.level;
        };
        let since = now.since(heard_at) + ahead;
        let told = self.level + self.slope * (since.as_secs_f64() + TAIL_AGE);
        told.clamp(LOAD_BOUNDS.0, LOAD_BOUNDS.1)
    }

    /// Variance of the level.
    pub(super) fn variance(&self) -> f64 {
        self.doubt.0
    }

    /// Carries level and doubt on to `now`.
    pub(super) fn carry(&mut self, now: Millis) {
        let aged = self.heard_at.map_or(0.0, |at| now.since(at).as_secs_f64());
        self.heard_at = Some(now);
        let (level, both, slope) = self.doubt;
        self.level += self.slope * aged;
        self.doubt = (
            (level + 2.0 * aged * both + aged * aged * slope).min(FIRST_LOAD.1),
            both + aged * slope,
            (slope + aged * SLOPE_DRIFT).min(FIRST_SLOPE_VARIANCE),
        );
    }

    /// Corrects level and slope by what a measurement of this total variance leaves unexplained.
    pub(super) fn correct(&mut self, unexplained: f64, total: f64) {
        let (level, both, slope) = self.doubt;
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
