//! Which best-effort task gives way when a serving task's tail nears its target, and how far.
//!
//! Load pattern: the serving load swings up under best-effort tasks that were harmless when they came, or a
//! pair turns out worse than it was thought. Tails tell it half a second late. Without relief a tail stays
//! at ten times its target for as long as the batch task runs, some four seconds. With relief by what presses
//! most, tasks were stopped that had all but ended, and whole steps waited for them.
//!
//! So each change is weighed by what it costs: a stop the time until the task works again elsewhere and what it
//! had not saved, a slower pace the work not done meanwhile, and nothing at all the serving tasks' misses until
//! the task ends by itself ([`super::outlook`]). What gains most is done first; letting a slowed task go on
//! faster is weighed in the same way.

use super::{
    outlook::{self, MOMENTS, Outlook, Path},
    pressure::{Image, Presser, Pressure, Victim},
    terms::Terms,
};
use crate::core::time::Millis;
use std::time::Duration;

/// Paces that are set, in hundredths.
const PACES: [u32; 6] = [0, 20, 40, 60, 80, 100];
/// A change must gain this much, in seconds of a best-effort task: each is an order to a worker.
const LEAST_GAIN: f64 = 0.1;

/// The serving tasks of one step on a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Serving {
    /// What is known of them.
    pub victim: Victim,
    /// How many.
    pub tasks: u32,
    /// Strain that their tails tell beyond what is expected of what presses there.
    pub surprise: f64,
}

/// A best-effort task on the same host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BestEffort {
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
    /// How long it has run.
    pub ran: Duration,
    /// How much longer it would run at full pace.
    pub left: Duration,
}

/// What is to be done with a best-effort task.
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
    /// What holds here for stops.
    pub terms: &'a Terms,
}

/// What gives way on a host, by the places in `leftover`.
pub fn decide(sight: &Sight, serving: &[Serving], leftover: &[BestEffort]) -> Vec<(usize, Action)> {
    let loads: Vec<Path> = serving.iter().map(|s| sight.load_path(s)).collect();
    let host = Host {
        sight,
        serving,
        loads: &loads,
    };
    let mut after: Vec<BestEffort> = leftover.to_vec();
    let mut actions = Vec::new();
    while let Some((at, action)) = host.best_change(&after, &actions) {
        after[at].apply(action);
        actions.push((at, action));
    }
    actions
}

impl Sight<'_> {
    /// The strain that is there whatever presses.
    fn load_path(&self, s: &Serving) -> Path {
        let load = self.pressure.load_path(&s.victim, self.now);
        load.map(|load| load + s.surprise)
    }
}

impl BestEffort {
    fn apply(&mut self, action: Action) {
        match action {
            Action::Pace(pace) => self.pace = pace,
            Action::Stop => self.is_stopping = true,
        }
    }

    fn with(&self, action: Action) -> Self {
        let mut after = *self;
        after.apply(action);
        after
    }

    /// How much longer it runs at its pace.
    fn left_at_pace(&self) -> Duration {
        match self.pace {
            0 => Duration::MAX,
            pace => self.left * 100 / pace,
        }
    }

    fn presser(&self) -> Option<Presser> {
        let is_working = !self.is_stopping && self.pace > 0;
        is_working.then(|| Presser {
            image: self.image,
            share: self.share * f64::from(self.pace) / 100.0,
        })
    }

    /// What may be done with it.
    fn choices(&self) -> impl Iterator<Item = Action> {
        let pace = self.pace;
        let paces = PACES.into_iter().filter(move |p| *p != pace);
        paces.map(Action::Pace).chain([Action::Stop])
    }
}

/// What is known of a host.
struct Host<'a> {
    sight: &'a Sight<'a>,
    serving: &'a [Serving],
    loads: &'a [Path],
}

impl Host<'_> {
    /// The change that gains most of those to tasks that aren't changed yet; none where none gains enough.
    fn best_change(
        &self,
        leftover: &[BestEffort],
        changed: &[(usize, Action)],
    ) -> Option<(usize, Action)> {
        let outlooks = self.outlooks(leftover);
        let before: f64 = outlooks.iter().map(Outlook::cost).sum();
        let missed_for = missed_for(&outlooks);
        let open = leftover.iter().enumerate();
        let open = open
            .filter(|(at, l)| !l.is_stopping && changed.iter().all(|(changed, _)| changed != at));
        let mut best: Option<(usize, Action, f64)> = None;
        for (at, l) in open {
            let most = before - self.cost_without(leftover, at);
            for action in l.choices() {
                let own = self.cost_of(l, action, missed_for);
                let is_hopeless = most - own < LEAST_GAIN;
                if is_hopeless {
                    continue;
                }
                let gain = before - self.cost_with(leftover, at, action) - own;
                if gain >= LEAST_GAIN && best.is_none_or(|(.., most)| gain > most) {
                    best = Some((at, action, gain));
                }
            }
        }
        best.map(|(at, action, _)| (at, action))
    }

    fn outlooks(&self, leftover: &[BestEffort]) -> Vec<Outlook> {
        let all = self.serving.iter().zip(self.loads);
        let all = all.map(|(s, load)| {
            let limit = self.sight.pressure.limit(&s.victim);
            let mut outlook = Outlook::unpressed(s.tasks, limit, *load);
            for l in leftover {
                let Some(presser) = l.presser() else {
                    continue;
                };
                let press = self.sight.pressure.press(s.victim.image, &presser);
                // How far tasks that run are off what is expected of them is in the surprise.
                outlook.add_known(press, outlook::moments_within(l.left_at_pace()));
            }
            outlook
        });
        all.collect()
    }

    fn cost(&self, leftover: &[BestEffort]) -> f64 {
        self.outlooks(leftover).iter().map(Outlook::cost).sum()
    }

    fn cost_without(&self, leftover: &[BestEffort], at: usize) -> f64 {
        self.cost_with(leftover, at, Action::Stop)
    }

    fn cost_with(&self, leftover: &[BestEffort], at: usize, action: Action) -> f64 {
        let mut after = leftover.to_vec();
        after[at] = after[at].with(action);
        self.cost(&after)
    }

    /// What a change costs the task itself, in seconds; less than nothing where it works faster.
    fn cost_of(&self, l: &BestEffort, action: Action, missed_for: f64) -> f64 {
        let left = l.left.as_secs_f64();
        let restart = self.sight.terms.restart_takes().as_secs_f64();
        match action {
            Action::Stop if l.is_checkpointing => restart,
            Action::Stop => restart + l.ran.as_secs_f64(),
            Action::Pace(pace) if pace < l.pace => {
                f64::from(l.pace - pace) / 100.0 * left.min(missed_for)
            }
            Action::Pace(pace) => {
                let within = outlook::seconds(MOMENTS);
                -f64::from(pace - l.pace) / 100.0 * left.min(within)
            }
        }
    }
}

/// For how long from now targets are missed, in seconds.
fn missed_for(outlooks: &[Outlook]) -> f64 {
    let is_missed = |at: &usize| outlooks.iter().any(|o| o.strain[*at] > o.limit);
    let last = (0..MOMENTS).rev().find(is_missed);
    outlook::seconds(last.map_or(1, |at| at + 1))
}
