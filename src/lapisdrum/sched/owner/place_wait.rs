//! Lets tasks wait for places near their data or their gang, as [`crate::policy::dispatch::place_wait`]
//! decides, and logs these waits.
//!
//! Waits are known to this owner only: the next one starts without any, and lets no task wait before
//! a wait of this one would be over. Each step gets a line when its first task waits, one when none
//! waits any more, and one when its first task is started away from its data.

use super::{Owner, dispatch::StartableStep, runs::RunRecord};
use crate::{
    core::time::{Millis, millis},
    policy::dispatch::{
        interference::InterferenceModel,
        place::{Host, Need},
        place_wait::{
            self, Decision, Forecast, Hold, Place, Progress, Reason, SETTLED_AFTER, SeenRun,
            WaitErrors, WaitInputs,
        },
    },
    sched::{
        Cx,
        event::RunId,
        job::{Gang, JobId, Step, StepId},
    },
};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// A step whose tasks could start away from their data.
#[derive(Clone, Debug, Default)]
struct StepWait {
    rack: String,
    /// When its first task began to wait; none if none has.
    since: Option<Millis>,
    /// Longest expected wait of the tasks that began to wait then, before the correction by
    /// [`WaitErrors`].
    expected: Duration,
    /// Whether what was expected has been compared with the wait.
    is_judged: bool,
    /// Tasks that have waited and are not placed yet.
    tasks: IndexSet<u32>,
    /// Tasks placed near the data after a wait, and away from it.
    placed: [usize; 2],
    is_far_logged: bool,
}

/// Steps of active jobs whose tasks wait or have waited for near places.
#[derive(Clone, Debug, Default)]
pub struct PlaceWaits {
    steps: IndexMap<StepId, StepWait>,
    errors: WaitErrors,
}

impl PlaceWaits {
    /// Forgets the steps of a job that has ended.
    pub fn forget_job(&mut self, job: JobId) {
        self.steps.retain(|step, _| step.job != job);
    }
}

/// Waits in one dispatch pass; switched off without a slowdown factor.
pub struct Pass<'a> {
    /// The context of the process.
    pub cx: &'a Cx,
    /// The owner that places tasks.
    pub owner: &'a Owner,
    /// When the pass began.
    pub now: Millis,
    /// Factor by which a task is slower away from its data.
    far_slowdown: Option<f64>,
    /// The last step whose tasks don't wait: the next task of a step finds no sooner place.
    far_step: Option<StepId>,
    /// Made when the first task could wait.
    forecast: Option<Forecast>,
    /// Tasks placed in this pass: host, expected run time and resources.
    placed: Vec<(usize, Duration, Hold)>,
}

/// The step that is being placed.
#[derive(Clone, Copy)]
pub struct Placing<'a> {
    /// The step with its startable tasks.
    pub waiting: &'a StartableStep,
    /// The step as submitted.
    pub spec: &'a Step,
    /// What one of its tasks needs.
    pub need: &'a Need<'a>,
}

/// Where a gang may be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GangPlace<'a> {
    /// Anywhere, as no host is near or far for it, or the feature is off.
    Anywhere,
    /// In this rack, which can take all of its tasks.
    Rack(&'a str),
    /// Nowhere yet: it waits for a rack.
    Waits,
    /// On several racks or away from its data, where it is slower.
    Spread,
}

impl Placing<'_> {
    fn run_time(&self) -> Duration {
        Duration::from_millis(self.spec.estimate_ms)
    }

    /// Whether the tasks start together and are slower away from their data or from each other.
    fn is_bound_gang(&self) -> bool {
        match self.spec.gang {
            Gang::No => false,
            Gang::AnyRack => self.need.data_rack.is_some(),
            Gang::SameRack => true,
        }
    }
}

impl<'a> Pass<'a> {
    /// Begins a dispatch pass.
    pub fn new(cx: &'a Cx, owner: &'a Owner) -> Self {
        Self {
            cx,
            owner,
            now: cx.clock.now(),
            far_slowdown: cx.cfg.features.far_slowdown,
            far_step: None,
            forecast: None,
            placed: Vec::new(),
        }
    }

    /// Whether a task without a gang waits, that could be placed on the host with index `at`.
    pub fn waits(
        &mut self,
        step: Placing,
        index: u32,
        at: usize,
        hosts: &[Host],
        model: &InterferenceModel,
    ) -> bool {
        let (Some(slowdown), Some(rack)) = (self.far_slowdown, step.need.data_rack) else {
            return false;
        };
        let is_near = hosts[at].rack == Some(rack);
        let id = step.waiting.step;
        if step.spec.gang != Gang::No || is_near || self.far_step == Some(id) {
            return false;
        }
        let decision = self.decide(step, &[index], slowdown, &[rack], hosts, model);
        if decision != Decision::Wait {
            self.far_step = Some(id);
        }
        decision == Decision::Wait
    }

    /// Decides where a gang may be placed. One that finds no rack now may wait for one.
    pub fn gang_place<'h>(
        &mut self,
        step: Placing,
        hosts: &[Host<'h>],
        model: &InterferenceModel,
    ) -> GangPlace<'h> {
        let Some(slowdown) = self.far_slowdown.filter(|_| step.is_bound_gang()) else {
            return GangPlace::Anywhere;
        };
        let tasks = &step.waiting.tasks;
        if let Some(rack) = place_wait::rack_for_all(step.need, tasks.len(), hosts, model) {
            return GangPlace::Rack(rack);
        }
        let racks: Vec<&str> = place_wait::racks(step.need, hosts).into_iter().collect();
        if self.decide(step, tasks, slowdown, &racks, hosts, model) == Decision::Wait {
            return GangPlace::Waits;
        }
        let anywhere = Need {
            data_rack: None,
            ..*step.need
        };
        let other = match step.spec.gang {
            Gang::SameRack => place_wait::rack_for_all(&anywhere, tasks.len(), hosts, model),
            Gang::No | Gang::AnyRack => None,
        };
        other.map_or(GangPlace::Spread, GangPlace::Rack)
    }

    /// Decides whether these tasks, which start together, wait for the soonest place in these racks.
    fn decide(
        &mut self,
        step: Placing,
        tasks: &[u32],
        slowdown: f64,
        racks: &[&str],
        hosts: &[Host],
        model: &InterferenceModel,
    ) -> Decision {
        let recovered_at = self.owner.recovered_at.get();
        let is_settled = recovered_at.is_some_and(|at| self.now.since(at) >= SETTLED_AFTER);
        if step.spec.is_long_running || !is_settled {
            return Decision::Far(Reason::Bound);
        }
        let run_time = step.run_time();
        let forecast = self.forecast.get_or_insert_with(|| {
            let mut forecast = forecast(self.owner, hosts, slowdown, self.now);
            for (host, within, hold) in &self.placed {
                forecast.add_end(*host, *within, *hold);
            }
            forecast
        });
        let places = racks.iter();
        let places =
            places.filter_map(|rack| forecast.place_in(rack, step.need, tasks.len(), hosts, model));
        let place = places.min_by_key(|place| place.after);
        let mut state = self.owner.place_waits.borrow_mut();
        let known = state.steps.get(&step.waiting.step);
        let since = known.and_then(|wait| wait.since);
        let corrected = |place: &Place| {
            let error = state.errors.factor(place.rack, self.now);
            place.after.mul_f64(error)
        };
        let inputs = WaitInputs {
            expected: place.as_ref().map(corrected),
            cost: WaitInputs::cost(run_time, slowdown),
            slack: Duration::from_millis(step.waiting.slack_ms),
            waited: since.map_or(Duration::ZERO, |since| self.now.since(since)),
        };
        let decision = inputs.decide();
        if let (Decision::Wait, Some(place)) = (decision, &place) {
            forecast.claim(place, step.need, run_time);
        }
        state.note(step, tasks, place.as_ref(), &inputs, decision, self.now);
        decision
    }

    /// Notes that a task was placed on the host with index `at`.
    pub fn note_placed(
        &mut self,
        step: Placing,
        gang: GangPlace,
        index: u32,
        at: usize,
        hosts: &[Host],
    ) {
        let Some(slowdown) = self.far_slowdown.filter(|_| !step.spec.is_long_running) else {
            return;
        };
        let rack = step.need.data_rack;
        let is_far = gang == GangPlace::Spread || (rack.is_some() && rack != hosts[at].rack);
        let run_time = match is_far {
            true => step.run_time().mul_f64(slowdown),
            false => step.run_time(),
        };
        let hold = Hold::from(step.need);
        match &mut self.forecast {
            Some(forecast) => forecast.add_end(at, run_time, hold),
            None => self.placed.push((at, run_time, hold)),
        }
        let mut state = self.owner.place_waits.borrow_mut();
        if let Some(wait) = state.steps.get_mut(&step.waiting.step)
            && wait.tasks.swap_remove(&index)
        {
            wait.placed[usize::from(is_far)] += 1;
            self.cx.metrics.note_place_wait(is_far);
        }
    }

    /// Ends the pass: logs the waits that are over.
    pub fn end(self) {
        let mut state = self.owner.place_waits.borrow_mut();
        let PlaceWaits { steps, errors } = &mut *state;
        for (step, wait) in steps {
            let [near, far] = wait.placed;
            let Some(since) = wait
                .since
                .filter(|_| wait.tasks.is_empty() && near + far > 0)
            else {
                continue;
            };
            wait.placed = [0, 0];
            let waited = self.now.since(since);
            if !std::mem::replace(&mut wait.is_judged, true) {
                errors.note(&wait.rack, wait.expected, waited, far == 0, self.now);
            }
            log::info!(
                step:% = step,
                rack = wait.rack,
                waited_ms = millis(waited),
                expected_wait_ms = millis(wait.expected),
                near,
                far,
                error = errors.factor(&wait.rack, self.now);
                "wait for a place near the data is over"
            );
        }
    }
}

impl PlaceWaits {
    /// Notes a decision on tasks of a step, and logs the first of each kind.
    fn note(
        &mut self,
        step: Placing,
        tasks: &[u32],
        place: Option<&Place>,
        inputs: &WaitInputs,
        decision: Decision,
        now: Millis,
    ) {
        let rack = place.map(|place| place.rack).or(step.need.data_rack);
        let id = step.waiting.step;
        let wait = self.steps.entry(id).or_default();
        let why = match decision {
            Decision::Wait => {
                wait.tasks.extend(tasks);
                let is_new = wait.since.is_none();
                if *wait.since.get_or_insert(now) == now {
                    wait.expected = wait.expected.max(place.map_or(Duration::ZERO, |p| p.after));
                    wait.rack = rack.unwrap_or_default().to_owned();
                }
                is_new.then_some(None)
            }
            Decision::Far(why) => {
                let is_new = !std::mem::replace(&mut wait.is_far_logged, true);
                is_new.then_some(Some(why))
            }
        };
        let Some(why) = why else {
            return;
        };
        let expected_wait_ms = inputs.expected.map(millis);
        let (cost_ms, slack_ms) = (millis(inputs.cost), millis(inputs.slack));
        let waited_ms = millis(inputs.waited);
        match why {
            None => {
                log::info!(step:% = id, rack, expected_wait_ms, cost_ms, slack_ms; "task waits for a place near its data");
            }
            Some(why) => {
                log::info!(step:% = id, rack, why:?, expected_wait_ms, cost_ms, slack_ms, waited_ms; "task does not wait for a place near its data");
            }
        }
    }
}

/// Expected ends of the runs on these hosts.
fn forecast(owner: &Owner, hosts: &[Host], slowdown: f64, now: Millis) -> Forecast {
    let mut forecast = Forecast::new(hosts.len());
    let at_of: IndexMap<&str, usize> = hosts.iter().enumerate().map(|(at, h)| (h.id, at)).collect();
    let ledger = owner.ledger.borrow();
    let data_rack = |run: &RunId| {
        let job = ledger.jobs.get(&run.task.job)?;
        let step = job.spec.steps.get(usize::from(run.task.step))?;
        step.data_rack.as_deref()
    };
    for (run, record) in owner.runs.borrow().iter() {
        let Some(at) = at_of.get(record.on.worker.as_str()).copied() else {
            continue;
        };
        let rack = data_rack(run);
        let is_far = rack.is_some() && rack != hosts[at].rack;
        let slowdown = if is_far { slowdown } else { 1.0 };
        let remaining = record.seen(slowdown, now).and_then(|seen| seen.remaining());
        if let Some(remaining) = remaining {
            let hold = Hold {
                size: record.size,
                load: record.load,
            };
            forecast.add_end(at, remaining, hold);
        }
    }
    forecast
}

impl RunRecord {
    /// What is known of its end; `None` for a long-running task.
    fn seen(&self, slowdown: f64, now: Millis) -> Option<SeenRun> {
        let reports = self.first_progress.zip(self.progress);
        let progress = reports.map(|((first, began_at), (percent, at))| Progress {
            percent,
            gained_percent: percent.saturating_sub(first),
            over: at.since(began_at),
            age: now.since(at),
        });
        (!self.is_long_running).then(|| SeenRun {
            estimate: Duration::from_millis(self.estimate_ms).mul_f64(slowdown),
            age: now.since(self.since),
            progress,
        })
    }
}
