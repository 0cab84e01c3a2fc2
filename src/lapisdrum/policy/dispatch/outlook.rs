//! What is expected of a serving task over the next moments, and what it costs when it misses its target.
//!
//! Load pattern: serving loads rise and fall by half while best-effort tasks come, run for a second or two and end.
//! A decision by the present strain alone stops a task that is all but done, or lets one in at the foot of a
//! rise. So strain is told for some moments ahead, with those gone that will be gone, and every decision is
//! weighed in one unit: what a second of one best-effort task is worth.

use std::time::Duration;

/// Moments that are looked at.
pub const MOMENTS: usize = 6;
/// The first of them: what is decided now shows by then.
const FIRST: Duration = Duration::from_millis(200);
/// Time between two, for which each of them stands.
const SPACING: Duration = Duration::from_millis(400);
/// Cost of a serving task that is over its target for a second, in seconds of a best-effort task. The serving tasks
/// beside it are over together, so a host's misses cost a few times this.
const OVER_COST: f64 = 0.4;
/// A target is taken for missed in part within so many standard deviations around it.
const DOUBT: f64 = 1.5;
/// Variance of a strain that is told, whatever presses.
const LEAST_VARIANCE: f64 = 0.001;
/// Scatter of a press relative to itself: tasks of one image differ, and change within seconds.
const PRESS_SCATTER: f64 = 0.35;

/// A figure for each moment.
pub type Path = [f64; MOMENTS];

/// How long from now a moment is.
pub fn moment(at: usize) -> Duration {
    FIRST + SPACING * at as u32
}

/// Moments at which something that lasts for this time is still there.
pub fn moments_within(left: Duration) -> usize {
    (0..MOMENTS).take_while(|at| moment(*at) < left).count()
}

/// Time that so many moments stand for, in seconds.
pub fn seconds(moments: usize) -> f64 {
    SPACING.as_secs_f64() * moments as f64
}

/// What is expected of like tasks on one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outlook {
    /// How many tasks.
    pub tasks: u32,
    /// The strain at which they are at their target.
    pub limit: f64,
    /// The strain expected.
    pub strain: Path,
    /// Variance of that.
    pub variance: f64,
}

impl Outlook {
    /// What is expected without anything that presses.
    pub fn unpressed(tasks: u32, limit: f64, load: Path) -> Self {
        Self {
            tasks,
            limit,
            strain: load,
            variance: LEAST_VARIANCE,
        }
    }

    /// Adds what presses during the first so many moments. Its variance is that of what is known of it.
    pub fn add(&mut self, press: f64, variance: f64, moments: usize) {
        self.add_known(press, moments);
        let scatter = PRESS_SCATTER * press;
        self.variance += variance + scatter * scatter;
    }

    /// Adds what is known to press during the first so many moments.
    pub fn add_known(&mut self, press: f64, moments: usize) {
        for strain in &mut self.strain[..moments] {
            *strain += press;
        }
    }

    /// The strain at the worst moment.
    pub fn worst(&self) -> f64 {
        self.strain.iter().copied().fold(0.0, f64::max)
    }

    /// What its targets' misses cost over the moments, in seconds of a best-effort task.
    pub fn cost(&self) -> f64 {
        let certain = 2.0 * self.margin();
        let missed: f64 = self.beyond().map(|b| (b / certain).min(1.0)).sum();
        OVER_COST * f64::from(self.tasks) * missed * seconds(1)
    }

    /// How far its targets may be missed, summed over the moments. Unlike the cost it goes on growing where they are
    /// missed for certain: what adds to that must not seem to be free.
    pub fn overload(&self) -> f64 {
        self.beyond().sum()
    }

    /// Strain beyond which a target may be missed is this much below the limit, and certainly missed as much above.
    fn margin(&self) -> f64 {
        DOUBT * self.variance.sqrt()
    }

    /// Of each moment, how far the strain is beyond where a miss begins to be likely.
    fn beyond(&self) -> impl Iterator<Item = f64> {
        let likely = self.limit - self.margin();
        self.strain
            .iter()
            .map(move |strain| (strain - likely).max(0.0))
    }
}
