//! Which worker a task goes to.
//!
//! Load pattern: tasks of three kinds on the same hosts. *Reserving* tasks take their processors and
//! memory out of the host's; *serving* ones do too and must keep their users' latency tail under a
//! target; *best-effort* ones take memory, and the processors that the others leave. A best-effort task
//! presses on serving ones beside it by amounts that differ by image and change within seconds, and its
//! effect is seen half a second late. So a best-effort task goes only where every serving task is expected
//! to stay clear of its target with it ([`super::pressure`]), and first where most of that room is left.
//!
//! Hosts are filled from the fullest that still fits, so that wide tasks find room, but for best-effort
//! tasks, which run as fast as what they find. Serving tasks go first to hosts whose serving tasks run the
//! same image: each image bears about half of the best-effort images, so five images on a host bear almost
//! none in common, and one bears half.

use super::{
    outlook::{self, Outlook},
    pressure::{Image, Presser, Pressure, Victim},
};
use crate::core::size::Size;
use std::time::Duration;

/// Added to the load expected of a serving task before its processors count as left over, as a part of what
/// it reserves: loads are told somewhat wrong while they swing.
const LOAD_SLACK: f64 = 0.05;
/// A best-effort task is let in where it finds this part of its processors, in hundredths: those on a host share
/// what is left. Tasks that must find them whole leave the rest of each host unused under a backlog; with much
/// less they slow each other so much that fewer jobs are on time.
const LEAST_FILL_PERCENT: u64 = 80;
/// One of so many hosts may be kept free.
const HOSTS_A_KEPT_ONE: usize = 16;
/// What kind of load a task is for its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Load {
    /// Takes processors and memory for itself.
    Reserving,
    /// Like [`Load::Reserving`], with a latency tail to keep.
    Serving,
    /// Takes memory, and the processors that are left.
    BestEffort,
}

/// A task to place.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// The pool whose hosts may run it.
    pub pool: &'a str,
    /// What it takes.
    pub size: Size,
    /// Its kind.
    pub load: Load,
    /// A label that its worker must have.
    pub required_label: Option<&'a str>,
    /// The rack where its data is.
    pub data_rack: Option<&'a str>,
    /// Most tasks of its step on one worker.
    pub max_per_worker: Option<u32>,
    /// What it runs, if its step says so.
    pub image: Option<Image>,
    /// What is known of it as a serving task.
    pub victim: Option<Victim>,
    /// How long it is expected to run.
    pub duration: Duration,
}

/// The serving tasks of one step on a host, and what is expected of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Strained {
    /// What is known of them.
    pub victim: Victim,
    /// What they reserve, in thousandths of a core.
    pub millicores: u64,
    /// The load expected of them, as a part of that.
    pub load: f64,
    /// The strain expected with all that runs beside them.
    pub outlook: Outlook,
}

/// A worker that may take tasks.
#[derive(Clone, Debug)]
pub struct Host<'a> {
    /// Its id.
    pub id: &'a str,
    /// The pool that it belongs to.
    pub pool: &'a str,
    /// Its rack.
    pub rack: Option<&'a str>,
    /// Its labels.
    pub labels: &'a [String],
    /// What it has.
    pub capacity: Size,
    /// What is taken for good: processors of best-effort tasks are not in it, their memory is.
    pub reserved: Size,
    /// Processors of its best-effort tasks, in thousandths.
    pub best_effort_millicores: u64,
    /// Serving tasks on it.
    pub serving: Vec<Strained>,
    /// Whether it takes best-effort tasks at all just now.
    pub is_open_for_best_effort: bool,
    /// Tasks on it of the step that is being placed.
    pub of_step: u32,
    /// Whether tasks have failed or stalled on it lately.
    pub is_suspect: bool,
    /// Whether this very task has failed on it.
    pub is_avoided: bool,
    /// What is kept free on it for a task that goes before all that come after it.
    pub kept: Option<Kept>,
    /// Processors of the tasks that it is kept free for, in thousandths.
    pub kept_millicores: u64,
}

/// What a host is kept free of until a waiting task fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// Of tasks that reserve processors and serve nobody.
    Processors,
    /// Of every task that doesn't serve: its memory is short too.
    All,
}

impl Strained {
    /// A serving task that is only just placed.
    fn unmeasured(victim: Victim, millicores: u64, pressure: &Pressure) -> Self {
        let load = victim.load.level();
        let limit = pressure.limit(&victim);
        Self {
            victim,
            millicores,
            load,
            outlook: Outlook::unpressed(1, limit, [load; outlook::MOMENTS]),
        }
    }

    /// What they reserve and are not expected to use, in thousandths of a core.
    fn idle_millicores(&self) -> u64 {
        let used = (self.load + LOAD_SLACK).min(1.0);
        (self.millicores as f64 * (1.0 - used)) as u64
    }

    /// The same beside one more that presses.
    fn pressed(&self, presser: &Presser, moments: usize, pressure: &Pressure) -> Outlook {
        let press = pressure.press(self.victim.image, presser);
        let variance = pressure.press_variance(self.victim.image, presser);
        let mut outlook = self.outlook;
        outlook.add(press, variance, moments);
        outlook
    }
}

impl Host<'_> {
    /// What is free of its capacity.
    pub fn free(&self) -> Size {
        self.capacity.minus(&self.reserved)
    }

    /// Processors that nobody uses, in thousandths.
    pub fn unused_millicores(&self) -> u64 {
        let idle = self.serving.iter().map(Strained::idle_millicores);
        let used = self.reserved.millicores.saturating_sub(idle.sum());
        let used = used + self.best_effort_millicores;
        self.capacity.millicores.saturating_sub(used)
    }

    /// Processors that its serving tasks don't reserve, in thousandths.
    pub fn unserving_millicores(&self) -> u64 {
        let serving = self.serving_millicores();
        self.capacity.millicores.saturating_sub(serving)
    }

    /// Processors that its serving tasks reserve, in thousandths.
    pub fn serving_millicores(&self) -> u64 {
        self.serving.iter().map(|s| s.millicores).sum()
    }

    fn presser(&self, need: &Need) -> Option<Presser> {
        Some(Presser {
            image: need.image?,
            share: need.size.millicores as f64 / self.capacity.millicores.max(1) as f64,
        })
    }

    /// Whether the task is expected to have a serving task there miss its target, or miss it by more.
    fn is_overloaded_by(&self, need: &Need, pressure: &Pressure) -> bool {
        let Some(presser) = self.presser(need) else {
            return false;
        };
        let moments = outlook::moments_within(need.duration);
        self.serving.iter().any(|s| {
            let pressed = s.pressed(&presser, moments, pressure);
            pressed.overload() > s.outlook.overload()
        })
    }

    /// The most that the task is expected to press on a serving task there.
    fn press_of(&self, need: &Need, pressure: &Pressure) -> f64 {
        let Some(presser) = self.presser(need) else {
            return 0.0;
        };
        let press = |s: &Strained| pressure.press(s.victim.image, &presser);
        self.serving.iter().map(press).fold(0.0, f64::max)
    }

    /// What is left of the room below the targets of its serving tasks; 1 where none serves.
    fn headroom(&self) -> f64 {
        let headroom = |s: &Strained| s.outlook.limit - s.outlook.worst();
        self.serving.iter().map(headroom).fold(1.0, f64::min)
    }

    /// Takes a task of this kind and size.
    pub fn take(&mut self, need: &Need, pressure: &Pressure) {
        self.reserved = self.reserved.plus(&reserved_by(&need.size, need.load));
        match need.load {
            Load::Reserving => {}
            Load::Serving => {
                let placed = |victim| Strained::unmeasured(victim, need.size.millicores, pressure);
                self.serving.extend(need.victim.map(placed));
            }
            Load::BestEffort => {
                self.best_effort_millicores += need.size.millicores;
                if let Some(presser) = self.presser(need) {
                    let moments = outlook::moments_within(need.duration);
                    for s in &mut self.serving {
                        s.outlook = s.pressed(&presser, moments, pressure);
                    }
                }
            }
        }
    }
}

/// What a task of this size and kind takes of its host for good.
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

/// What keeps a host from taking a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Unfit {
    /// It has not enough memory or accelerators free.
    Memory,
    /// It has not enough processors free.
    Processors,
    /// It is kept free for another task.
    Kept,
    /// What is free in the pool is left to short tasks.
    LeftToShort,
    /// It lacks the label.
    Label,
    /// It has as many tasks of the step as may be.
    StepLimit,
    /// Something has just given way there, and its tails still tell of before.
    Closed,
    /// The processors that others leave are too few for a best-effort task.
    Busy,
    /// A serving task there would come too near its target.
    Pressure,
}

/// Whether the host may take the task at all.
pub fn admits(need: &Need, host: &Host, pressure: &Pressure) -> bool {
    unfit(need, host, pressure).is_none()
}

/// What keeps the host from taking the task, if anything does.
pub fn unfit(need: &Need, host: &Host, pressure: &Pressure) -> Option<Unfit> {
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
    if need.max_per_worker.is_some_and(|most| host.of_step >= most) {
        return Some(Unfit::StepLimit);
    }
    match need.load {
        Load::Reserving | Load::Serving => None,
        Load::BestEffort => unfit_best_effort(need, host, pressure),
    }
}

fn unfit_best_effort(need: &Need, host: &Host, pressure: &Pressure) -> Option<Unfit> {
    if !host.is_open_for_best_effort {
        return Some(Unfit::Closed);
    }
    if need.size.millicores * LEAST_FILL_PERCENT / 100 > host.unused_millicores() {
        return Some(Unfit::Busy);
    }
    // It may as well wait where it would cost anything.
    let is_dear = host.is_overloaded_by(need, pressure);
    is_dear.then_some(Unfit::Pressure)
}

/// How well a host suits a task: the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    is_avoided: bool,
    is_suspect: bool,
    is_far: bool,
    squeezes: bool,
    strangers: usize,
    press: u64,
    spare: u64,
}

/// Amounts of interference within this much of each other count as equal. A best-effort task goes where it disturbs least,
/// so that the hosts with headroom are kept for those that press everywhere.
const PRESS_STEP: f64 = 0.03;
/// Turns headroom into a whole number that sorts the largest first.
const HEADROOM_SCALE: f64 = 1e6;

fn fit(need: &Need, host: &Host, pressure: &Pressure) -> Fit {
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
        squeezes: unused < need.size.millicores,
        strangers: strangers(need, host),
        press: (host.press_of(need, pressure) / PRESS_STEP) as u64,
        spare,
    }
}

/// Serving tasks on the host that run another image than a serving task to place.
fn strangers(need: &Need, host: &Host) -> usize {
    let Some(own) = need.victim.map(|victim| victim.image) else {
        return 0;
    };
    let others = host.serving.iter().filter(|s| s.victim.image != own);
    others.map(|s| s.outlook.tasks as usize).sum()
}

/// Keeps a host free for a task that found none, so that it is not starved: on hosts that are all but reserved, smaller
/// tasks would take each core as it comes free. Kept is a host that has room for the task once everything but its
/// serving tasks has ended, and of these the one that has the most free, which is the first to have enough. At most so
/// many of the hosts are kept, since what is kept lies idle. Other serving tasks may go there: a smaller one would else
/// stand still beside free processors that lasting tasks never leave to the wider one. False when none can be kept.
pub fn keep_for(need: &Need, hosts: &mut [Host]) -> bool {
    let in_pool = hosts.iter().filter(|host| host.pool == need.pool);
    let (all, kept) = in_pool.fold((0, 0), |(all, kept), host| {
        (all + 1, kept + usize::from(host.kept.is_some()))
    });
    let may_keep_another = kept < (all / HOSTS_A_KEPT_ONE).max(1);
    let may_fit = |host: &&mut Host| {
        let has = |label: &str| host.labels.iter().any(|have| have == label);
        host.pool == need.pool
            && (host.kept.is_some() || may_keep_another)
            && !host.is_suspect
            && !host.is_avoided
            && reserved_by(&need.size, need.load).fits(&host.capacity)
            && host.kept_millicores + need.size.millicores <= host.unserving_millicores()
            && need.required_label.is_none_or(has)
            && need.max_per_worker.is_none_or(|most| host.of_step < most)
    };
    let able = hosts.iter_mut().filter(may_fit);
    let best = able.max_by_key(|host| (host.kept.is_some(), host.free().millicores));
    let Some(host) = best else {
        return false;
    };
    host.kept = Some(match need.size.memory_mb > host.free().memory_mb {
        true => Kept::All,
        false => Kept::Processors,
    });
    host.kept_millicores += need.size.millicores;
    true
}

/// The best host for a task, by its place in `hosts`; none when no host admits it.
pub fn choose(need: &Need, hosts: &[Host], pressure: &Pressure) -> Option<usize> {
    let admitted = hosts.iter().enumerate();
    let admitted =
        admitted.filter(|(_, host)| host.pool == need.pool && admits(need, host, pressure));
    let best = admitted.min_by_key(|(_, host)| fit(need, host, pressure));
    best.map(|(at, _)| at)
}
