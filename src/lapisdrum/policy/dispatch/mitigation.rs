//! Decides which best-effort tasks are throttled or stopped when the latency tail of a serving task
//! nears its target.
//!
//! Load pattern: serving load rises under best-effort tasks that were harmless when they were
//! placed, or a pair of images interferes more than estimated. Latency tails show it half a second
//! late. Without mitigation a tail stays at ten times its target for as long as the batch task
//! runs, some four seconds. Mitigation that picks the task with the most interference stopped tasks
//! that had almost finished, and whole steps then waited for them.
//!
//! So each change is weighed by its cost: for a stop, the time until the task runs again elsewhere
//! and the progress that it had not saved; for a lower CPU limit, the work not done meanwhile; for
//! no change, the serving tasks' missed targets until the best-effort task ends by itself
//! ([`super::utilisation`]). The change that gains most is made first. Raising the limit of a
//! throttled task is weighed in the same way.

use super::{
    interference::{Aggressor, Image, InterferenceModel, Victim},
    timings::Timings,
    utilisation::{self, POINTS, Series, UtilisationForecast},
};
use crate::core::time::Millis;
use std::time::Duration;

/// CPU limits that are set, in percent of what the task asks for.
const CPU_LIMITS_PERCENT: [u32; 6] = [0, 20, 40, 60, 80, 100];
/// The least gain for which a change is made, in seconds of a best-effort task: each is an order to
/// a worker.
const MIN_GAIN_SECONDS: f64 = 0.1;

/// The serving tasks of one step on a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Serving {
    /// Their image, step, latency target and load.
    pub victim: Victim,
    /// The number of tasks.
    pub tasks: u32,
    /// Utilisation inferred from their latency tails, in excess of what the interference model
    /// expects.
    pub residual: f64,
}

/// A best-effort task on the same host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BestEffort {
    /// Its image.
    pub image: Image,
    /// Processors that it may use without a CPU limit, as a fraction of the host's.
    pub share: f64,
    /// Its CPU limit, in percent of what it asks for.
    pub cpu_limit_percent: u32,
    /// Whether its progress is saved when it is stopped.
    pub is_checkpointing: bool,
    /// Whether it is being stopped.
    pub is_stopping: bool,
    /// Whether it is throttled instead of stopped: it was overdue, and its job has no other run.
    pub is_only_throttled: bool,
    /// The time for which it has run.
    pub ran: Duration,
    /// Its estimated remaining run time without a CPU limit.
    pub remaining: Duration,
}

/// A change to a best-effort task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Set its CPU limit, in percent of what it asks for.
    LimitCpu(u32),
    /// Stop it, so that it continues on another host.
    Stop,
}

/// The inputs of a decision that all hosts share.
#[derive(Clone, Copy, Debug)]
pub struct DecisionInputs<'a> {
    /// The interference model.
    pub model: &'a InterferenceModel,
    /// The time of the decision.
    pub now: Millis,
    /// How long stops and restores take in this deployment.
    pub timings: &'a Timings,
}

/// Returns the changes to make on a host, at most one for each best-effort task, by its index in
/// `best_effort`.
pub fn decide(
    inputs: &DecisionInputs,
    serving: &[Serving],
    best_effort: &[BestEffort],
) -> Vec<(usize, Action)> {
    let loads: Vec<Series> = serving.iter().map(|s| inputs.load_series(s)).collect();
    let host = Host {
        inputs,
        serving,
        loads: &loads,
    };
    let mut after: Vec<BestEffort> = best_effort.to_vec();
    let mut actions = Vec::new();
    while let Some((at, action)) = host.best_change(&after, &actions) {
        after[at].apply(action);
        actions.push((at, action));
    }
    actions
}

impl DecisionInputs<'_> {
    /// The forecast utilisation without aggressors, corrected by the measured residual.
    fn load_series(&self, s: &Serving) -> Series {
        let load = self.model.load_series(&s.victim, self.now);
        load.map(|load| load + s.residual)
    }
}

impl BestEffort {
    fn apply(&mut self, action: Action) {
        match action {
            Action::LimitCpu(cpu_limit_percent) => self.cpu_limit_percent = cpu_limit_percent,
            Action::Stop => self.is_stopping = true,
        }
    }

    fn with(&self, action: Action) -> Self {
        let mut after = *self;
        after.apply(action);
        after
    }

    /// Its estimated remaining run time at its CPU limit; [`Duration::MAX`] at a limit of 0.
    fn remaining_at_cpu_limit(&self) -> Duration {
        match self.cpu_limit_percent {
            0 => Duration::MAX,
            cpu_limit_percent => self.remaining * 100 / cpu_limit_percent,
        }
    }

    fn aggressor(&self) -> Option<Aggressor> {
        let is_working = !self.is_stopping && self.cpu_limit_percent > 0;
        is_working.then(|| Aggressor {
            image: self.image,
            share: self.share * f64::from(self.cpu_limit_percent) / 100.0,
        })
    }

    /// The changes that can be made to it.
    fn choices(&self) -> impl Iterator<Item = Action> {
        let cpu_limit_percent = self.cpu_limit_percent;
        let limits = CPU_LIMITS_PERCENT
            .into_iter()
            .filter(move |p| *p != cpu_limit_percent);
        let stop = (!self.is_only_throttled).then_some(Action::Stop);
        limits.map(Action::LimitCpu).chain(stop)
    }
}

/// A host, with the forecast of each entry of `serving` without aggressors in `loads`.
struct Host<'a> {
    inputs: &'a DecisionInputs<'a>,
    serving: &'a [Serving],
    loads: &'a [Series],
}

impl Host<'_> {
    /// The change with the largest gain, among tasks that are neither changed nor being stopped;
    /// none if none gains [`MIN_GAIN_SECONDS`].
    fn best_change(
        &self,
        best_effort: &[BestEffort],
        changed: &[(usize, Action)],
    ) -> Option<(usize, Action)> {
        let forecasts = self.forecasts(best_effort);
        let before: f64 = forecasts.iter().map(UtilisationForecast::cost).sum();
        let missed_for = missed_for(&forecasts);
        let candidates = best_effort.iter().enumerate();
        let candidates = candidates.filter(|(at, task)| {
            !task.is_stopping && changed.iter().all(|(changed, _)| changed != at)
        });
        let mut best: Option<(usize, Action, f64)> = None;
        for (at, task) in candidates {
            let max_gain = before - self.cost_without(best_effort, at);
            for action in task.choices() {
                let own = self.cost_of(task, action, missed_for);
                let is_too_little = max_gain - own < MIN_GAIN_SECONDS;
                if is_too_little {
                    continue;
                }
                let gain = before - self.cost_with(best_effort, at, action) - own;
                if gain >= MIN_GAIN_SECONDS && best.is_none_or(|(.., best_gain)| gain > best_gain) {
                    best = Some((at, action, gain));
                }
            }
        }
        best.map(|(at, action, _)| (at, action))
    }

    fn forecasts(&self, best_effort: &[BestEffort]) -> Vec<UtilisationForecast> {
        let all = self.serving.iter().zip(self.loads);
        let all = all.map(|(s, load)| {
            let limit = self.inputs.model.limit(&s.victim);
            let mut forecast = UtilisationForecast::without_aggressors(s.tasks, limit, *load);
            for task in best_effort {
                let Some(aggressor) = task.aggressor() else {
                    continue;
                };
                let interference = self.inputs.model.interference(s.victim.image, &aggressor);
                // No variance is added: `residual` already holds how far running tasks deviate from
                // the model.
                forecast.add_certain(
                    interference,
                    utilisation::points_within(task.remaining_at_cpu_limit()),
                );
            }
            forecast
        });
        all.collect()
    }

    fn cost(&self, best_effort: &[BestEffort]) -> f64 {
        self.forecasts(best_effort)
            .iter()
            .map(UtilisationForecast::cost)
            .sum()
    }

    fn cost_without(&self, best_effort: &[BestEffort], at: usize) -> f64 {
        self.cost_with(best_effort, at, Action::Stop)
    }

    fn cost_with(&self, best_effort: &[BestEffort], at: usize, action: Action) -> f64 {
        let mut after = best_effort.to_vec();
        after[at] = after[at].with(action);
        self.cost(&after)
    }

    /// The cost of a change to the task itself, in seconds; negative if it raises the CPU limit.
    fn cost_of(&self, task: &BestEffort, action: Action, missed_for: f64) -> f64 {
        let remaining = task.remaining.as_secs_f64();
        let restart = self.inputs.timings.restart_time().as_secs_f64();
        match action {
            Action::Stop if task.is_checkpointing => restart,
            Action::Stop => restart + task.ran.as_secs_f64(),
            Action::LimitCpu(cpu_limit_percent) if cpu_limit_percent < task.cpu_limit_percent => {
                f64::from(task.cpu_limit_percent - cpu_limit_percent) / 100.0
                    * remaining.min(missed_for)
            }
            Action::LimitCpu(cpu_limit_percent) => {
                let horizon = utilisation::seconds(POINTS);
                -f64::from(cpu_limit_percent - task.cpu_limit_percent) / 100.0
                    * remaining.min(horizon)
            }
        }
    }
}

/// The time until the last forecast point at which a target is missed, in seconds; at least one
/// point.
fn missed_for(forecasts: &[UtilisationForecast]) -> f64 {
    let is_missed = |at: &usize| forecasts.iter().any(|f| f.utilisation[*at] > f.limit);
    let last = (0..POINTS).rev().find(is_missed);
    utilisation::seconds(last.map_or(1, |at| at + 1))
}
