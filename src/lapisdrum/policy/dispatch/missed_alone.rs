//! Finds serving tasks that miss their targets whether or not best-effort tasks run beside them.
//!
//! Load pattern: many workers turn slow for tens of seconds, and the tails of their serving tasks
//! stay over their targets. To the interference model that is overload, so every host refuses,
//! throttles and stops best-effort tasks, which then wait beside free capacity without any serving
//! task meeting its target for it. Only a measurement tells this from interference: a tail over its
//! target while no best-effort task has an effect on it.
//!
//! A measurement counts for a bounded time, since the worker may recover while best-effort tasks
//! keep the tail high. Then they are paused until the next one.

use super::interference::StepKey;
use crate::core::time::Millis;
use indexmap::IndexMap;
use std::time::Duration;

/// Tails at or below this fraction of their target meet it for certain, whatever runs beside them.
const RECOVERY_THRESHOLD: f64 = 0.94;
/// Longest pause of best-effort tasks for a measurement; one that is not made until then is given up.
pub const MAX_PAUSE: Duration = Duration::from_millis(2_500);

/// The latest tail of a serving task's step on a host, as a fraction of its target.
pub type StepTail = (StepKey, f64);

/// The steps of a host whose serving tasks miss their targets without best-effort tasks.
#[derive(Clone, Debug, Default)]
pub struct MissedAlone {
    /// When the tail of each step was last measured without best-effort tasks.
    measured_at: IndexMap<StepKey, Millis>,
    /// Since when best-effort tasks are paused for a measurement.
    paused_since: Option<Millis>,
}

/// What is done with the best-effort tasks of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// Nothing.
    None,
    /// They are paused, so that tails can be measured without them.
    Pause,
    /// They stay paused.
    Wait,
    /// They go on.
    Resume,
}

impl MissedAlone {
    /// Whether the step is known to miss its target without best-effort tasks.
    pub fn contains(&self, step: StepKey) -> bool {
        self.measured_at.contains_key(&step)
    }

    /// Whether any step is.
    pub fn is_empty(&self) -> bool {
        self.measured_at.is_empty()
    }

    /// Whether best-effort tasks are paused for a measurement.
    pub fn is_paused(&self) -> bool {
        self.paused_since.is_some()
    }

    /// Updates the steps with the latest tails of all serving tasks of the host. `is_undisturbed`
    /// says whether no best-effort task has an effect on them; a measurement counts for
    /// `trusted_for`.
    pub fn note(
        &mut self,
        tails: &[StepTail],
        is_undisturbed: bool,
        trusted_for: Duration,
        now: Millis,
    ) -> Check {
        let mut worst: IndexMap<StepKey, f64> = IndexMap::new();
        for (step, tail) in tails {
            let known = worst.entry(*step).or_default();
            *known = known.max(*tail);
        }
        let threshold = match is_undisturbed {
            true => 1.0,
            false => RECOVERY_THRESHOLD,
        };
        let is_over = |step: &StepKey| worst.get(step).is_some_and(|tail| *tail > threshold);
        self.measured_at.retain(|step, _| is_over(step));
        if is_undisturbed {
            for step in worst.keys().filter(|step| is_over(step)) {
                self.measured_at.insert(*step, now);
            }
            return match self.paused_since.take() {
                Some(_) => Check::Resume,
                None => Check::None,
            };
        }
        self.check(trusted_for, now)
    }

    fn check(&mut self, trusted_for: Duration, now: Millis) -> Check {
        if let Some(since) = self.paused_since {
            if now.since(since) < MAX_PAUSE {
                return Check::Wait;
            }
            *self = Self::default();
            return Check::Resume;
        }
        let is_old = |measured_at: &Millis| now.since(*measured_at) >= trusted_for;
        if !self.measured_at.values().any(is_old) {
            return Check::None;
        }
        self.paused_since = Some(now);
        Check::Pause
    }
}
