//! Chooses the worker that a task runs on.
//!
//! Load pattern: tasks of three kinds share hosts. *Reserving* tasks reserve processors and memory.
//! *Serving* tasks do too, and must keep the latency tail of their users under a target.
//! *Best-effort* tasks reserve memory and run on idle processors. A best-effort task slows the
//! serving tasks beside it by amounts that differ by image and change within seconds, and its
//! effect is measured half a second late. So a best-effort task is placed only where every serving
//! task is expected to stay clear of its target with it ([`super::interference`]), and first where
//! the most headroom remains.
//!
//! Reserving and serving tasks go to the fullest host that still fits, so that wide tasks find free
//! capacity. Best-effort tasks don't, since they run only as fast as the processors they find
//! allow. Serving tasks prefer hosts whose serving tasks run the same image: each image tolerates
//! about half of the best-effort images, so a host with five images tolerates almost none of them,
//! and a host with one tolerates half.

use super::{
    interference::{Aggressor, Image, InterferenceModel, Victim},
    overdue::OverdueTasks,
    utilisation::{self, UtilisationForecast},
};
use crate::core::size::Size;
use std::time::Duration;

/// Margin added to the expected load of a serving task when its idle processors are counted, as a
/// fraction of what it reserves: reported loads are inaccurate while they swing.
const LOAD_MARGIN: f64 = 0.05;
/// Idle processors that a host needs to admit a best-effort task, in percent of what the task asks
/// for; best-effort tasks on a host share the idle ones. At 100 the rest of each host stays unused
/// under a backlog; much lower values make the tasks slow each other so much that fewer jobs are on
/// time.
pub const MIN_IDLE_PERCENT: u64 = 80;
/// One host in this many, and at least one, may be kept free for tasks that found no host.
const HOSTS_PER_KEPT_HOST: usize = 16;

scalar! {
    /// How a task uses the resources of its host.
    pub enum Load {
        /// Reserves processors and memory.
        Reserving,
        /// Like [`Load::Reserving`], with a target for its latency tail.
        Serving,
        /// Reserves memory and runs on idle processors.
        BestEffort,
    }
}

/// A task to place.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// The pool whose hosts may run it.
    pub pool: &'a str,
    /// The resources that it asks for.
    pub size: Size,
    /// How it uses them.
    pub load: Load,
    /// Whether it runs until its job is cancelled.
    pub is_long_running: bool,
    /// A label that the worker must have.
    pub required_label: Option<&'a str>,
    /// The rack where its data is.
    pub data_rack: Option<&'a str>,
    /// The maximum number of tasks of its step on one worker.
    pub max_per_worker: Option<u32>,
    /// The image that it runs, if its step names one.
    pub image: Option<Image>,
    /// Its image, latency target and load, if it is a serving task.
    pub victim: Option<Victim>,
    /// Its estimated run time.
    pub duration: Duration,
}

/// The serving tasks of one step on a host, with their utilisation forecast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingGroup {
    /// Their image, step, latency target and load.
    pub victim: Victim,
    /// Processors that they reserve, in thousandths of a core.
    pub millicores: u64,
    /// Their expected load, as a fraction of `millicores`.
    pub load: f64,
    /// Their utilisation forecast with everything that runs beside them.
    pub forecast: UtilisationForecast,
    /// Whether they miss their target without best-effort tasks, too.
    pub misses_alone: bool,
}

/// A worker that may take tasks.
#[derive(Clone, Debug)]
pub struct Host<'a> {
    /// The id of its worker.
    pub id: &'a str,
    /// The pool that it belongs to.
    pub pool: &'a str,
    /// Its rack, if it is known.
    pub rack: Option<&'a str>,
    /// Labels that tasks can require.
    pub labels: &'a [String],
    /// Its total resources.
    pub capacity: Size,
    /// Resources reserved by its tasks: includes the memory of best-effort tasks, but not their
    /// processors.
    pub reserved: Size,
    /// Resources reserved by its long-running tasks, which aren't expected to end.
    pub long_running: Size,
    /// Processors that its best-effort tasks ask for, in thousandths of a core.
    pub best_effort_millicores: u64,
    /// Its serving tasks, one entry per step or newly placed task.
    pub serving: Vec<ServingGroup>,
    /// Whether it currently accepts best-effort tasks.
    pub is_open_for_best_effort: bool,
    /// Whether it takes a best-effort task that it would refuse, once the task is overdue.
    pub overdue: OverdueTasks,
    /// The number of its tasks that belong to the step that is being placed.
    pub of_step: u32,
    /// Whether tasks have recently failed or stalled on it.
    pub is_suspect: bool,
    /// Whether the task that is being placed has failed on it.
    pub is_avoided: bool,
    /// Which tasks it refuses while it is kept free for a task of higher rank.
    pub kept: Option<Kept>,
    /// Resources that the tasks that it is kept free for will reserve.
    pub kept_for: Size,
}

/// The tasks that a host refuses until a waiting task fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// [`Load::Reserving`] tasks.
    Processors,
    /// All but serving tasks: too little memory is free for the waiting task, too.
    All,
}

impl ServingGroup {
    /// A newly placed serving task, without measurements.
    fn unmeasured(victim: Victim, millicores: u64, model: &InterferenceModel) -> Self {
        let load = victim.load.level();
        let limit = model.limit(&victim);
        Self {
            victim,
            millicores,
            load,
            forecast: UtilisationForecast::without_aggressors(
                1,
                limit,
                [load; utilisation::POINTS],
            ),
            misses_alone: false,
        }
    }

    /// Processors that they reserve and are not expected to use, in thousandths of a core.
    fn idle_millicores(&self) -> u64 {
        let used = (self.load + LOAD_MARGIN).min(1.0);
        (self.millicores as f64 * (1.0 - used)) as u64
    }

    /// The utilisation forecast with one more aggressor, which runs for the first `points` forecast
    /// points.
    fn forecast_with(
        &self,
        aggressor: &Aggressor,
        points: usize,
        model: &InterferenceModel,
    ) -> UtilisationForecast {
        let interference = model.interference(self.victim.image, aggressor);
        let variance = model.interference_variance(self.victim.image, aggressor);
        let mut forecast = self.forecast;
        forecast.add_estimated(interference, variance, points);
        forecast
    }
}

impl Host<'_> {
    /// Its unreserved resources.
    pub fn free(&self) -> Size {
        self.capacity.minus(&self.reserved)
    }

    /// Its resources without those that its long-running tasks reserve.
    pub fn not_long_running(&self) -> Size {
        self.capacity.minus(&self.long_running)
    }

    /// Processors expected to be idle, in thousandths of a core.
    pub fn unused_millicores(&self) -> u64 {
        let idle = self.serving.iter().map(ServingGroup::idle_millicores);
        let used = self.reserved.millicores.saturating_sub(idle.sum());
        let used = used + self.best_effort_millicores;
        self.capacity.millicores.saturating_sub(used)
    }

    /// Processors that its serving tasks reserve, in thousandths of a core.
    pub fn serving_millicores(&self) -> u64 {
        self.serving.iter().map(|s| s.millicores).sum()
    }

    fn aggressor(&self, need: &Need) -> Option<Aggressor> {
        Some(Aggressor {
            image: need.image?,
            share: need.size.millicores as f64 / self.capacity.millicores.max(1) as f64,
        })
    }

    /// Whether a serving task is expected to miss its target, or to miss it by more, because of the
    /// task to place. One that misses it without best-effort tasks, too, does not count.
    fn is_overloaded_by(&self, need: &Need, model: &InterferenceModel) -> bool {
        let Some(aggressor) = self.aggressor(need) else {
            return false;
        };
        let points = utilisation::points_within(need.duration);
        let mut serving = self.serving.iter().filter(|s| !s.misses_alone);
        serving.any(|s| {
            let forecast = s.forecast_with(&aggressor, points, model);
            forecast.overload() > s.forecast.overload()
        })
    }

    /// By how much the task is expected to add to the overload of the serving tasks with this CPU
    /// limit, in percent of what it asks for.
    pub fn added_overload(
        &self,
        need: &Need,
        cpu_limit_percent: u32,
        model: &InterferenceModel,
    ) -> f64 {
        let Some(unlimited) = self.aggressor(need) else {
            return 0.0;
        };
        let aggressor = Aggressor {
            share: unlimited.share * f64::from(cpu_limit_percent) / 100.0,
            ..unlimited
        };
        let points = utilisation::points_within(need.duration * 100 / cpu_limit_percent.max(1));
        let serving = self.serving.iter().filter(|s| !s.misses_alone);
        let added = serving.map(|s| {
            let forecast = s.forecast_with(&aggressor, points, model);
            let added = forecast.overload() - s.forecast.overload();
            f64::from(s.forecast.tasks) * added
        });
        added.sum()
    }

    /// The highest interference that the task is expected to cause to a serving task.
    fn max_interference(&self, need: &Need, model: &InterferenceModel) -> f64 {
        let Some(aggressor) = self.aggressor(need) else {
            return 0.0;
        };
        let interference = |s: &ServingGroup| model.interference(s.victim.image, &aggressor);
        self.serving.iter().map(interference).fold(0.0, f64::max)
    }

    /// The lowest margin between a serving task's utilisation limit and its worst forecast; 1
    /// without serving tasks.
    fn headroom(&self) -> f64 {
        let headroom = |s: &ServingGroup| s.forecast.limit - s.forecast.worst();
        self.serving.iter().map(headroom).fold(1.0, f64::min)
    }

    /// Accounts for the task as placed on this host.
    pub fn take(&mut self, need: &Need, model: &InterferenceModel) {
        let reserved = reserved_by(&need.size, need.load);
        self.reserved = self.reserved.plus(&reserved);
        if need.is_long_running {
            self.long_running = self.long_running.plus(&reserved);
        }
        match need.load {
            Load::Reserving => {}
            Load::Serving => {
                let placed = |victim| ServingGroup::unmeasured(victim, need.size.millicores, model);
                self.serving.extend(need.victim.map(placed));
            }
            Load::BestEffort => {
                self.best_effort_millicores += need.size.millicores;
                if let Some(aggressor) = self.aggressor(need) {
                    let points = utilisation::points_within(need.duration);
                    for s in &mut self.serving {
                        s.forecast = s.forecast_with(&aggressor, points, model);
                    }
                }
            }
        }
    }
}

/// Returns the resources that a task of this size and kind reserves on its host.
pub fn reserved_by(size: &Size, load: Load) -> Size {
    let millicores = match load {
        Load::Reserving | Load::Serving => size.millicores,
        Load::BestEffort => 0,
    };
    Size {
        millicores,
        ..*size
    }
}

/// The reason why a host refuses a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Unfit {
    /// Not enough memory or accelerators are free.
    Memory,
    /// Not enough processors are free.
    Processors,
    /// It is kept free for another task.
    Kept,
    /// The free capacity of the pool is left to short tasks.
    LeftToShort,
    /// It lacks the label.
    Label,
    /// It already runs the maximum number of tasks of the step.
    StepLimit,
    /// A best-effort task was just throttled or stopped there, and the latency tails still reflect
    /// the time before.
    Closed,
    /// Too few processors are idle for a best-effort task.
    Busy,
    /// A serving task would come too close to its target, or exceed it by more.
    Pressure,
}

/// Whether the host can take the task; does not compare pools.
pub fn admits(need: &Need, host: &Host, model: &InterferenceModel) -> bool {
    unfit(need, host, model).is_none()
}

/// Returns why the host refuses the task; `None` if it admits it. Does not compare pools.
pub fn unfit(need: &Need, host: &Host, model: &InterferenceModel) -> Option<Unfit> {
    let has = |label: &str| host.labels.iter().any(|have| have == label);
    let (wanted, free) = (reserved_by(&need.size, need.load), host.free());
    let is_kept = match host.kept {
        None => false,
        Some(Kept::Processors) => need.load == Load::Reserving,
        Some(Kept::All) => need.load != Load::Serving,
    };
    if wanted.memory_mb > free.memory_mb || wanted.accelerators > free.accelerators {
        return Some(Unfit::Memory);
    }
    if !wanted.fits(&free) {
        return Some(Unfit::Processors);
    }
    if is_kept {
        return Some(Unfit::Kept);
    }
    if need.required_label.is_some_and(|label| !has(label)) {
        return Some(Unfit::Label);
    }
    if need.max_per_worker.is_some_and(|max| host.of_step >= max) {
        return Some(Unfit::StepLimit);
    }
    match need.load {
        Load::Reserving | Load::Serving => None,
        Load::BestEffort => unfit_best_effort(need, host, model),
    }
}

/// What a task needs to find open on a host, and what is open there: unreserved resources, and for a
/// best-effort task idle processors instead of unreserved ones.
pub fn asked_and_open(need: &Need, host: &Host) -> (Size, Size) {
    match need.load {
        Load::Reserving | Load::Serving => (need.size, host.free()),
        Load::BestEffort => (
            Size {
                millicores: need.size.millicores * MIN_IDLE_PERCENT / 100,
                ..need.size
            },
            Size {
                millicores: host.unused_millicores(),
                ..host.free()
            },
        ),
    }
}

fn unfit_best_effort(need: &Need, host: &Host, model: &InterferenceModel) -> Option<Unfit> {
    if !host.is_open_for_best_effort {
        return Some(Unfit::Closed);
    }
    let (wanted, open) = asked_and_open(need, host);
    if wanted.millicores > open.millicores {
        return Some(Unfit::Busy);
    }
    // A best-effort task waits rather than cost serving tasks anything.
    let causes_overload = host.is_overloaded_by(need, model);
    causes_overload.then_some(Unfit::Pressure)
}

/// Sort key of a host for a task: the smallest is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    is_avoided: bool,
    is_suspect: bool,
    is_far: bool,
    lacks_idle_cores: bool,
    other_image_tasks: usize,
    interference: u64,
    spare: u64,
}

/// Amounts of interference within the same step of this width count as equal. A best-effort task
/// goes where it interferes least, so that hosts with headroom stay available to tasks that
/// interfere with every image.
const INTERFERENCE_STEP: f64 = 0.03;
/// Factor that converts headroom, a fraction, to an integer sort key.
const HEADROOM_SCALE: f64 = 1e6;

fn fit(need: &Need, host: &Host, model: &InterferenceModel) -> Fit {
    let unused = host.unused_millicores();
    let spare = match need.load {
        Load::BestEffort => ((1.0 - host.headroom()).max(0.0) * HEADROOM_SCALE) as u64,
        Load::Reserving => unused.saturating_sub(need.size.millicores),
        Load::Serving => host.free().millicores.saturating_sub(need.size.millicores),
    };
    Fit {
        is_avoided: host.is_avoided,
        is_suspect: host.is_suspect,
        is_far: need.data_rack.is_some() && need.data_rack != host.rack,
        lacks_idle_cores: unused < need.size.millicores,
        other_image_tasks: other_image_tasks(need, host),
        interference: (host.max_interference(need, model) / INTERFERENCE_STEP) as u64,
        spare,
    }
}

/// The number of serving tasks on the host whose image differs from that of the serving task to
/// place.
fn other_image_tasks(need: &Need, host: &Host) -> usize {
    let Some(own) = need.victim.map(|victim| victim.image) else {
        return 0;
    };
    let others = host.serving.iter().filter(|s| s.victim.image != own);
    others.map(|s| s.forecast.tasks as usize).sum()
}

/// Keeps a host free for a task that found none; returns its index in `hosts`, or `None` when none
/// can be kept.
///
/// Prevents starvation: on hosts that are almost fully reserved, smaller tasks would take each core
/// as it is freed. A host qualifies if the task fits, beside the other tasks that it is kept for,
/// once everything but the long-running tasks has ended. A host that is already kept is preferred,
/// then the one with the most free processors, which will fit the task first. Kept capacity lies
/// idle, so only few hosts are kept. Other serving tasks may still go there: otherwise a smaller one
/// would wait beside free processors that long-running tasks never release to the wider one.
pub fn keep_for(need: &Need, hosts: &mut [Host]) -> Option<usize> {
    let in_pool = hosts.iter().filter(|host| host.pool == need.pool);
    let (all, kept) = in_pool.fold((0, 0), |(all, kept), host| {
        (all + 1, kept + usize::from(host.kept.is_some()))
    });
    let may_keep_another = kept < (all / HOSTS_PER_KEPT_HOST).max(1);
    let wanted = reserved_by(&need.size, need.load);
    let may_fit = |host: &Host| {
        let has = |label: &str| host.labels.iter().any(|have| have == label);
        host.pool == need.pool
            && (host.kept.is_some() || may_keep_another)
            && !host.is_suspect
            && !host.is_avoided
            && host.kept_for.plus(&wanted).fits(&host.not_long_running())
            && need.required_label.is_none_or(has)
            && need.max_per_worker.is_none_or(|max| host.of_step < max)
    };
    let able = hosts.iter().enumerate().filter(|(_, host)| may_fit(host));
    let best = able.max_by_key(|(_, host)| (host.kept.is_some(), host.free().millicores));
    let (at, _) = best?;
    let host = &mut hosts[at];
    host.kept = Some(match need.size.memory_mb > host.free().memory_mb {
        true => Kept::All,
        false => Kept::Processors,
    });
    host.kept_for = host.kept_for.plus(&wanted);
    Some(at)
}

/// Returns the index in `hosts` of the preferred host for a task; `None` when no host of its pool
/// admits it.
pub fn choose(need: &Need, hosts: &[Host], model: &InterferenceModel) -> Option<usize> {
    let admitted = hosts.iter().enumerate();
    let admitted = admitted.filter(|(_, host)| host.pool == need.pool && admits(need, host, model));
    let best = admitted.min_by_key(|(_, host)| fit(need, host, model));
    best.map(|(at, _)| at)
}
