//! The pace of changes that follow a lagging signal.
//!
//! Load pattern: noisy batch waves, seen only in measurements that arrive late. Without it a change
//! is made, the next report still shows the time before the change, the change is made again, and
//! the system swings between too much and too little.
//!
//! A [`Switch`] turns on above one value and off below a lower one, only after several reports in a
//! row that agree, and counts no report that was measured before the last change had time to show
//! ([`Pace::settle`]). One report too few costs one reporting interval; one change too many costs an
//! eviction.

use crate::core::time::Millis;
use std::time::Duration;

/// When a switch turns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Reports above this turn it on.
    pub on_above: f64,
    /// Reports below this turn it off.
    pub off_below: f64,
    /// Reports in a row that it takes to turn on.
    pub on_after: u32,
    /// Reports in a row that it takes to turn off.
    pub off_after: u32,
    /// Time that a change needs to show in what is measured.
    pub settle: Duration,
}

/// A state that follows a lagging signal.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Switch {
    on: bool,
    agreeing: u32,
    last_measured: Option<Millis>,
    changed_at: Option<Millis>,
}

impl Switch {
    /// Takes a report of `value`, measured at `measured_at`. Returns whether the switch turned.
    /// A report that is no newer than the last, or too old to show the last change, is passed over.
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

    /// Whether it is on.
    pub fn is_on(&self) -> bool {
        self.on
    }

    /// Notes a change that was made at `now`: reports count anew, from when it can show.
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
