//! On/off decisions that follow a lagging signal.
//!
//! Load pattern: noisy batch waves, visible only in measurements that arrive late. Without
//! hysteresis a change is made, the next report still shows the state before the change, the change
//! is made again, and the system oscillates.
//!
//! A [`Switch`] turns on above one threshold and off below a lower one, only after several
//! consecutive reports, and ignores reports that were measured before the last change could take
//! effect ([`HysteresisConfig::settle_time`]). Waiting for a needless report costs one
//! reporting interval; a needless change costs an eviction.

use crate::core::time::Millis;
use std::time::Duration;

/// Thresholds and delays of a [`Switch`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HysteresisConfig {
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
    pub settle_time: Duration,
}

/// On/off state that follows a lagging signal; starts off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Switch {
    on: bool,
    consecutive: u32,
    last_measured: Option<Millis>,
    changed_at: Option<Millis>,
}

impl Switch {
    /// Records a report of `value`, measured at `measured_at`, and returns whether the state
    /// changed. A report that is no newer than the last, or too old to show the last change, is
    /// ignored.
    pub fn report(
        &mut self,
        config: &HysteresisConfig,
        value: f64,
        measured_at: Millis,
        now: Millis,
    ) -> bool {
        if !self.is_fresh(config, measured_at) {
            return false;
        }
        self.last_measured = Some(measured_at);
        let (crosses, needed) = match self.on {
            true => (value < config.off_below, config.off_after),
            false => (value > config.on_above, config.on_after),
        };
        self.consecutive = if crosses { self.consecutive + 1 } else { 0 };
        if self.consecutive < needed.max(1) {
            return false;
        }
        self.on = !self.on;
        self.note_change(now);
        true
    }

    /// Whether the last change turned the switch on; false before the first change.
    pub fn is_on(&self) -> bool {
        self.on
    }

    /// Records a change at `now`: counting starts again, with reports measured
    /// [`HysteresisConfig::settle_time`] later.
    pub fn note_change(&mut self, now: Millis) {
        self.consecutive = 0;
        self.changed_at = Some(now);
    }

    fn is_fresh(&self, config: &HysteresisConfig, measured_at: Millis) -> bool {
        let newer = self.last_measured.is_none_or(|last| measured_at > last);
        let settled = self
            .changed_at
            .is_none_or(|at| measured_at >= at + config.settle_time);
        newer && settled
    }
}
