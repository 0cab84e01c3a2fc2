//! Which left-over task gives way when a serving task's tail nears its target.
//!
//! Load pattern: the serving load swings up under left-over tasks that were harmless when they came, or a
//! pair turns out worse than it was thought. Tails tell it half a second late. Without relief a tail stays
//! at ten times its target for as long as the batch task runs, some four seconds. What presses most on
//! those in danger goes first: it is slowed where a slower pace is enough, else stopped; it saves its
//! progress then and goes on elsewhere, for a quarter second of work.

use super::pressure::{Image, Presser, Pressure, Victim};
use crate::core::time::Millis;
use std::time::Duration;

/// Relief is due this far below the strain at the target, or above it.
const DUE_BELOW: f64 = 0.0;
/// Relief goes on until the strain expected is this far below the one at the target.
const DONE_BELOW: f64 = 0.02;
/// A pace below this, in hundredths, holds a job up more than a move does.
const LEAST_PACE: u32 = 20;
/// Paces are set in steps of this, so that small swings cost no orders.
const PACE_STEP: u32 = 20;
/// A paced task is let go on faster once the strain expected with it is this far below the limit.
const RAISE_BELOW: f64 = 0.06;
/// Strain is looked at this far ahead: about what a stop takes to tell.
const AHEAD: Duration = Duration::from_millis(300);

/// A serving task and its newest tail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Serving {
    /// What is known of it.
    pub victim: Victim,
    /// Its tail in milliseconds; 0 when there is none.
    pub tail_ms: f64,
}

/// A left-over task on the same host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Leftover {
    /// Its image.
    pub image: Image,
    /// Processors it may use at full pace, as a part of the host's.
    pub share: f64,
    /// Its pace, in hundredths.
    pub pace: u32,
    /// Whether a stop saves its progress.
    pub is_checkpointing: bool,
    /// Whether it is being stopped.
    pub is_stopping: bool,
}

/// What is to be done with a left-over task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Let it work at this pace.
    Pace(u32),
    /// Stop it; it goes on elsewhere.
    Stop,
}

/// What is known at a moment.
#[derive(Clone, Copy, Debug)]
pub struct Sight<'a> {
    /// What disturbs what.
    pub pressure: &'a Pressure,
    /// The moment.
    pub now: Millis,
}

impl Sight<'_> {
    fn expected(&self, s: &Serving, leftover: &[Leftover]) -> f64 {
        let beside = pressers(leftover);
        self.pressure.expected(&s.victim, &beside, self.now, AHEAD)
    }
}

/// What gives way on a host, by the places in `leftover`.
pub fn decide(sight: &Sight, serving: &[Serving], leftover: &[Leftover]) -> Vec<(usize, Action)> {
    let mut after: Vec<Leftover> = leftover.to_vec();
    let mut is_touched = vec![false; after.len()];
    while let Some(at) = next_to_yield(sight, serving, &after, &is_touched) {
        let excess = excess(sight, serving, &after);
        let action = yield_by(sight, serving, &after[at], excess);
        match action {
            Action::Pace(pace) => after[at].pace = pace,
            Action::Stop => after[at].is_stopping = true,
        }
        is_touched[at] = true;
    }
    let changed = after.iter().zip(leftover).enumerate();
    let mut actions: Vec<_> = changed
        .filter_map(|(at, (now, before))| action_of(at, now, before))
        .collect();
    if actions.is_empty() {
        actions.extend(raise(sight, serving, leftover));
    }
    actions
}

fn action_of(at: usize, now: &Leftover, before: &Leftover) -> Option<(usize, Action)> {
    if now.is_stopping && !before.is_stopping {
        return Some((at, Action::Stop));
    }
    (now.pace != before.pace).then_some((at, Action::Pace(now.pace)))
}

/// The one that presses most on those in danger; none when nobody is.
fn next_to_yield(
    sight: &Sight,
    serving: &[Serving],
    leftover: &[Leftover],
    is_touched: &[bool],
) -> Option<usize> {
    let is_first = !is_touched.contains(&true);
    let strain = |s: &Serving| strain(sight, s, leftover, is_first);
    let bound = match is_first {
        true => DUE_BELOW,
        false => DONE_BELOW,
    };
    let endangered = |s: &&Serving| strain(s) > sight.pressure.limit(&s.victim) - bound;
    let endangered: Vec<&Serving> = serving.iter().filter(endangered).collect();
    if endangered.is_empty() {
        return None;
    }
    let press = |l: &Leftover| {
        let on = endangered
            .iter()
            .map(|s| sight.pressure.press(s.victim.image, &presser(l)));
        on.sum::<f64>()
    };
    let able = leftover.iter().enumerate();
    let able = able.filter(|(at, l)| !is_touched[*at] && !l.is_stopping && l.pace > 0);
    let most = able.max_by(|(_, a), (_, b)| press(a).total_cmp(&press(b)));
    most.map(|(at, _)| at)
}

/// The strain of a serving task: as expected, or as its tail tells if that is more and nothing was done yet.
fn strain(sight: &Sight, s: &Serving, leftover: &[Leftover], by_tail: bool) -> f64 {
    let expected = sight.expected(s, leftover);
    let measured = sight.pressure.strain_of(&s.victim, s.tail_ms);
    match by_tail && leftover.iter().any(|l| !l.is_stopping) {
        true => expected.max(measured.unwrap_or_default()),
        false => expected,
    }
}

fn pressers(leftover: &[Leftover]) -> Vec<Presser> {
    let active = leftover.iter().filter(|l| !l.is_stopping);
    active.map(presser).collect()
}

fn presser(l: &Leftover) -> Presser {
    Presser {
        image: l.image,
        share: l.share * f64::from(l.pace) / 100.0,
    }
}

/// The most by which the strain of a serving task is above where relief ends.
fn excess(sight: &Sight, serving: &[Serving], leftover: &[Leftover]) -> f64 {
    let over = |s: &Serving| {
        strain(sight, s, leftover, true) - (sight.pressure.limit(&s.victim) - DONE_BELOW)
    };
    serving.iter().map(over).fold(0.0, f64::max)
}

/// How far one yields: to a slower pace if that takes enough strain away, else wholly.
fn yield_by(sight: &Sight, serving: &[Serving], l: &Leftover, excess: f64) -> Action {
    let press = |s: &Serving| sight.pressure.press(s.victim.image, &presser(l));
    let most = serving.iter().map(press).fold(0.0, f64::max);
    let keep = match most > 0.0 {
        true => (1.0 - excess / most).max(0.0),
        false => 0.0,
    };
    let pace = (f64::from(l.pace) * keep) as u32 / PACE_STEP * PACE_STEP;
    match (pace >= LEAST_PACE, l.is_checkpointing) {
        (true, _) => Action::Pace(pace),
        (false, true) => Action::Stop,
        (false, false) => Action::Pace(pace),
    }
}

/// One paced task that may go faster.
fn raise(sight: &Sight, serving: &[Serving], leftover: &[Leftover]) -> Option<(usize, Action)> {
    let paced = leftover.iter().enumerate();
    let (at, slowed) = paced
        .filter(|(_, l)| l.pace < 100 && !l.is_stopping)
        .min_by_key(|(_, l)| l.pace)?;
    let mut after = leftover.to_vec();
    after[at].pace = (slowed.pace + PACE_STEP).min(100);
    let is_clear = |s: &Serving| {
        let measured = sight
            .pressure
            .strain_of(&s.victim, s.tail_ms)
            .unwrap_or_default();
        let expected = sight.expected(s, &after);
        expected.max(measured) <= sight.pressure.limit(&s.victim) - RAISE_BELOW
    };
    let action = Action::Pace(after[at].pace);
    serving.iter().all(is_clear).then_some((at, action))
}
