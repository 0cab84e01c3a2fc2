//! Forecasts the utilisation of serving tasks and the cost of their missed latency targets.
//!
//! Load pattern: serving loads rise and fall by half while best-effort tasks are placed, run for a
//! second or two and end. A decision by the present utilisation alone stops a task that has almost
//! finished, or admits one at the start of a rise. So utilisation is forecast for some points
//! ahead, without the tasks that will have ended by then, and all costs are in seconds of run time
//! of one best-effort task.

use std::time::Duration;

/// The number of forecast points.
pub const POINTS: usize = 6;
/// Time until the first forecast point: the effect of a decision shows by then.
const FIRST_POINT_AFTER: Duration = Duration::from_millis(200);
/// Time between two forecast points, and the time that each of them covers.
const POINT_SPACING: Duration = Duration::from_millis(400);
/// Cost of a serving task that misses its target for a second, in seconds of a best-effort task.
/// The serving tasks of a host miss their targets together, so a host's misses cost a few times
/// this.
const MISS_COST: f64 = 0.4;
/// A target counts as partly missed within this many standard deviations around its limit.
const MISS_BAND_DEVIATIONS: f64 = 1.5;
/// Variance of a utilisation forecast without aggressors, and the least of any forecast.
const MIN_VARIANCE: f64 = 0.001;
/// Standard deviation of interference relative to its mean: tasks of one image differ, and change
/// within seconds.
const INTERFERENCE_DEVIATION: f64 = 0.35;

/// A value for each forecast point.
pub type Series = [f64; POINTS];

/// Returns the time from now to a forecast point.
pub fn point_offset(at: usize) -> Duration {
    FIRST_POINT_AFTER + POINT_SPACING * at as u32
}

/// Returns the number of forecast points before this time has passed.
pub fn points_within(remaining: Duration) -> usize {
    (0..POINTS)
        .take_while(|at| point_offset(*at) < remaining)
        .count()
}

/// Returns the time that this many forecast points cover, in seconds.
pub fn seconds(points: usize) -> f64 {
    POINT_SPACING.as_secs_f64() * points as f64
}

/// The utilisation forecast of the serving tasks of one step on a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UtilisationForecast {
    /// The number of tasks.
    pub tasks: u32,
    /// The utilisation at which their latency tail reaches its target.
    pub limit: f64,
    /// The expected utilisation at each forecast point.
    pub utilisation: Series,
    /// The variance of `utilisation`, the same for all points.
    pub variance: f64,
}

impl UtilisationForecast {
    /// Creates a forecast from the load alone, without aggressors.
    pub fn without_aggressors(tasks: u32, limit: f64, load: Series) -> Self {
        Self {
            tasks,
            limit,
            utilisation: load,
            variance: MIN_VARIANCE,
        }
    }

    /// Adds an aggressor's interference to the first `points` forecast points. `variance` is that
    /// of its estimate; the scatter between tasks of one image comes on top.
    pub fn add_estimated(&mut self, interference: f64, variance: f64, points: usize) {
        self.add_certain(interference, points);
        let scatter = INTERFERENCE_DEVIATION * interference;
        self.variance += variance + scatter * scatter;
    }

    /// Adds an aggressor's interference to the first `points` forecast points, without any
    /// variance.
    pub fn add_certain(&mut self, interference: f64, points: usize) {
        for utilisation in &mut self.utilisation[..points] {
            *utilisation += interference;
        }
    }

    /// Returns the highest utilisation of all points.
    pub fn worst(&self) -> f64 {
        self.utilisation.iter().copied().fold(0.0, f64::max)
    }

    /// Returns the cost of missed targets over all points, in seconds of a best-effort task.
    pub fn cost(&self) -> f64 {
        let certain_excess = 2.0 * self.margin();
        let missed: f64 = self.excess().map(|e| (e / certain_excess).min(1.0)).sum();
        MISS_COST * f64::from(self.tasks) * missed * seconds(1)
    }

    /// Returns how far targets may be missed, summed over all points. Unlike [`Self::cost`] it
    /// keeps growing once a miss is certain, so that adding to such a miss does not appear to be
    /// free.
    pub fn overload(&self) -> f64 {
        self.excess().sum()
    }

    /// Returns half the width of the utilisation band around `limit`: below it a target is met,
    /// above it missed.
    fn margin(&self) -> f64 {
        MISS_BAND_DEVIATIONS * self.variance.sqrt()
    }

    /// For each point, the utilisation in excess of the level from which a target may be missed.
    fn excess(&self) -> impl Iterator<Item = f64> {
        let threshold = self.limit - self.margin();
        self.utilisation
            .iter()
            .map(move |utilisation| (utilisation - threshold).max(0.0))
    }
}
