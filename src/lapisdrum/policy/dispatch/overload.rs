//! For how long the serving tasks of a host have been over their targets.
//!
//! Load pattern: a tail stays over its target while one best-effort task after another works beside it. Counted by
//! task, or only while there is one, the time begins anew with each, and the bound that a deployment sets for all
//! of it is passed unnoticed. So the time runs from the first tail over its target until all are well below,
//! whatever runs there. A single rough figure just below doesn't end it.

use crate::core::time::Millis;
use std::time::Duration;

/// A tail that was over its target is taken to be so down to this part of it.
const STILL_OVER: f64 = 0.94;

/// What is known of one host's tails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Overload {
    since: Option<Millis>,
}

impl Overload {
    /// Notes the newest tails of the host's serving tasks, each as a part of its target, and tells for how long
    /// one has been over; none while none is.
    pub fn note(&mut self, tails: impl IntoIterator<Item = f64>, now: Millis) -> Option<Duration> {
        let over = match self.since {
            Some(_) => STILL_OVER,
            None => 1.0,
        };
        let is_over = tails.into_iter().any(|tail| tail > over);
        self.since = is_over.then(|| self.since.unwrap_or(now));
        self.since.map(|since| now.since(since))
    }
}
