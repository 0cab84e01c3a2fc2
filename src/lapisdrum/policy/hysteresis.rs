//! On/off decisions that follow a lagging signal.
//!
//! Load pattern: noisy batch waves, visible only in measurements that arrive late. Without
//! hysteresis a change is made, the next report still shows the time before the change, the change
//! is made again, and the system oscillates.
//!
//! A [`Switch`] turns on above one threshold and off below a lower one, only after several
//! consecutive reports, and ignores reports that were measured before the last change could take
//! effect ([`Pace::settle`]). Waiting for one report too many costs one reporting interval; one
//! change too many costs an eviction.

use crate::core::time::Millis;
use std::time::Duration;

/// Thresholds and delays of a [`Switch`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Value above which a report counts towards turning on.
    pub on_above: f64,
    /// Value below which a report counts towards turning off; lower than `on_above`.
    pub off_below: f64,
    /// Consecutive reports needed to turn on.
    pub on_after: u32,
    /// Consecutive reports needed to turn off.
    pub off_after: u32,
    /// Time after a change during which measurements are ignored, since they do not show its effect
    /// yet.
    pub settle: Duration,
}

/// On/off state that follows a lagging signal; starts off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Switch {
    on: bool,
    agreeing: u32,
    last_measured: Option<Millis>,
    changed_at: Option<Millis>,
}

impl Switch {
    /// Records a report of `value`, measured at `measured_at`, and returns whether the state
    /// changed. A report that is no newer than the last, or too old to show the last change, is
    /// ignored.
    pub fn report(&mut self, pace: &Pace, value: f64, measured_at: Millis, now: Millis) -> bool {
        if !self.is_news(pace, measured_at) {
            return false;
        }
        self.last_measured = Some(measured_at);
        let (disagrees, needed) = match self.on {
            true => (value < pace.off_below, pace.off_after),
            false => (value > pace.on_above, pace.on_after),
        };
        self.agreeing = if disagrees { self.agreeing + 1 } else { 0 };
        if self.agreeing < needed.max(1) {
            return false;
        }
        self.on = !self.on;
        self.restart(now);
        true
    }

    /// Whether the last change turned the switch on; false before the first change.
    pub fn is_on(&self) -> bool {
        self.on
    }

    /// Records a change at `now`: counting starts again, with reports measured [`Pace::settle`]
    /// later.
    pub fn restart(&mut self, now: Millis) {
        self.agreeing = 0;
        self.changed_at = Some(now);
    }

    fn is_news(&self, pace: &Pace, measured_at: Millis) -> bool {
        let newer = self.last_measured.is_none_or(|last| measured_at > last);
        let settled = self
            .changed_at
            .is_none_or(|at| measured_at >= at + pace.settle);
        newer && settled
    }
}
