//! Decides whether a task waits for a place near its data, or a gang for a place in one rack.
//!
//! Load pattern: a third of the steps have their data in one rack of twenty, and take two or three
//! times as long on any other. The rack of a popular data set is full while others have free
//! capacity, and its tasks end within a second. Started at once, such a task holds processors of
//! another rack for two or three times its run time and its job is late; yet a wait behind tasks
//! that run for minutes, or behind fifty others for the same rack, costs more than it saves.
//!
//! So the wait until a near host is expected to admit the task, by the ends of the runs there
//! ([`Forecast`]), is compared with what a far start costs. Expected ends are counted once: a
//! waiting task claims its place, and the next one is expected to wait longer. A wait lasts at most
//! as long as a far start would cost, so wrong estimates at most double that cost, and never longer
//! than [`MAX_WAIT`].

use super::{
    interference::InterferenceModel,
    place::{self, Host, Load, Need, choose, reserved_by},
};
use crate::core::{size::Size, time::Millis};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Maximum time that the tasks of a step wait for near places in total. A job must not be without a
/// run for 3 s while there is capacity for it; a new owner, which doesn't know of the wait, may need
/// the rest.
pub const MAX_WAIT: Duration = Duration::from_secs(1);
/// Time since the recovery of a shard from which tasks wait: the previous owner may have let them
/// wait already, and for 3 s no wait of this one may add to it.
pub const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// Least progress, in percent, from which the remaining time of a run is extrapolated.
const MIN_PROGRESS_PERCENT: u32 = 5;
/// Shortest expected wait by which an error is judged: time to hear of an end and to place a task.
const MIN_JUDGED_WAIT: Duration = Duration::from_millis(50);
/// Weight of a new measurement in the moving average of errors: about the last five waits count.
const ERROR_WEIGHT: f64 = 0.2;
/// Bounds of the error of a single wait, so that none outweighs all others.
const ERROR_BOUNDS: (f64, f64) = (0.5, 4.0);
/// Least error of a wait that ended away from the data: it might have lasted much longer.
const MIN_ERROR_OF_FAILURE: f64 = 2.0;
/// Time in which a learned error halves, since the load of a rack changes within seconds and a rack
/// at which no task waits any more teaches nothing.
const ERROR_HALF_LIFE: Duration = Duration::from_secs(10);

/// What is known of a run that isn't long-running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeenRun {
    /// Estimated run time on its host; zero if none was given.
    pub estimate: Duration,
    /// Time since it was placed.
    pub age: Duration,
    /// Its progress, if it has reported any.
    pub progress: Option<Progress>,
}

/// Progress that a run has reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Last reported progress, in percent.
    pub percent: u32,
    /// Progress between the first and the last report, in percent.
    pub gained_percent: u32,
    /// Time between these reports.
    pub over: Duration,
    /// Time since the last report.
    pub age: Duration,
}

impl SeenRun {
    /// Expected time until it ends; `None` without an estimate and enough progress. A run that has
    /// outlasted its expected end is expected to last as long again as it is overdue.
    pub fn remaining(&self) -> Option<Duration> {
        let (expected, since) = match self.progress {
            Some(seen) if seen.gained_percent >= MIN_PROGRESS_PERCENT => {
                let todo = 100_u32.saturating_sub(seen.percent);
                (seen.over * todo / seen.gained_percent, seen.age)
            }
            _ if self.estimate.is_zero() => return None,
            Some(seen) => {
                let todo = 100_u32.saturating_sub(seen.percent);
                (self.estimate * todo / 100, seen.age)
            }
            None => (self.estimate, self.age),
        };
        Some(expected.abs_diff(since))
    }
}

/// Resources that a run has of its host, or a waiting task is expected to take there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// What it asks for.
    pub size: Size,
    /// How it uses that.
    pub load: Load,
}

impl Hold {
    /// What a task of this load finds free once this ends.
    fn freed_for(&self, load: Load) -> Size {
        match load {
            // Best-effort tasks count the processors that others ask for, reserved or not.
            Load::BestEffort => self.size,
            Load::Reserving | Load::Serving => reserved_by(&self.size, self.load),
        }
    }
}

impl From<&Need<'_>> for Hold {
    fn from(need: &Need) -> Self {
        Self {
            size: need.size,
            load: need.load,
        }
    }
}

/// Expected ends on one host.
#[derive(Clone, Debug, Default)]
struct HostForecast {
    /// Expected ends of runs and claims, soonest first.
    ends: Vec<(Duration, Hold)>,
    /// Claims of tasks that wait.
    claims: Vec<Hold>,
}

impl HostForecast {
    fn add_end(&mut self, within: Duration, hold: Hold) {
        let at = self.ends.partition_point(|(end, _)| *end <= within);
        self.ends.insert(at, (within, hold));
    }

    /// Times at which the first, second and so on of `most` such tasks is expected to fit; as many
    /// as ever do.
    fn slots(&self, need: &Need, host: &Host, most: usize) -> Vec<Duration> {
        let left_of_step = |max: u32| max.saturating_sub(host.of_step) as usize;
        let most = most.min(need.max_per_worker.map_or(usize::MAX, left_of_step));
        let (wanted, mut free) = place::asked_and_open(need, host);
        let claims = self.claims.iter().map(|claim| claim.freed_for(need.load));
        let claimed = claims.fold(Size::ZERO, |sum, claim| sum.plus(&claim));
        let mut slots = Vec::new();
        let mut at = Duration::ZERO;
        let mut ends = self.ends.iter();
        loop {
            let fitting = wanted.count_in(&free.minus(&claimed));
            let fitting = usize::try_from(fitting).unwrap_or(usize::MAX).min(most);
            slots.resize(fitting.max(slots.len()), at);
            match ends.next().filter(|_| slots.len() < most) {
                Some((end, hold)) => {
                    free = free.plus(&hold.freed_for(need.load));
                    at = *end;
                }
                None => return slots,
            }
        }
    }
}

/// When capacity is expected to become free on the hosts of a shard, less what waiting tasks are
/// expected to take of it. Hosts are given by their index.
#[derive(Clone, Debug)]
pub struct Forecast {
    hosts: Vec<HostForecast>,
}

/// A place in a rack that becomes free later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place<'a> {
    /// The rack.
    pub rack: &'a str,
    /// Expected time until it is free.
    pub after: Duration,
    /// The host of each task.
    pub hosts: Vec<usize>,
}

impl Forecast {
    /// A forecast without ends for this number of hosts.
    pub fn new(hosts: usize) -> Self {
        Self {
            hosts: vec![HostForecast::default(); hosts],
        }
    }

    /// Adds a run that is expected to end.
    pub fn add_end(&mut self, host: usize, within: Duration, hold: Hold) {
        self.hosts[host].add_end(within, hold);
    }

    /// The soonest place for this number of tasks in a rack; `None` if not enough ends are expected.
    pub fn place_in<'a>(
        &self,
        rack: &'a str,
        need: &Need,
        tasks: usize,
        hosts: &[Host],
        model: &InterferenceModel,
    ) -> Option<Place<'a>> {
        let near = hosts.iter().enumerate();
        let near = near.filter(|(_, host)| host.rack == Some(rack) && host.pool == need.pool);
        let able = near.filter(|(_, host)| may_admit(need, host, model));
        let mut slots: Vec<(Duration, usize)> = able
            .flat_map(|(at, host)| {
                let slots = self.hosts[at].slots(need, host, tasks);
                slots.into_iter().map(move |after| (after, at))
            })
            .collect();
        slots.sort_unstable();
        slots.truncate(tasks);
        let (after, _) = *slots.last().filter(|_| slots.len() == tasks)?;
        Some(Place {
            rack,
            after,
            hosts: slots.into_iter().map(|(_, at)| at).collect(),
        })
    }

    /// Counts a place as taken by tasks that wait for it and then run for this time.
    pub fn claim(&mut self, place: &Place, need: &Need, run_time: Duration) {
        let hold = Hold::from(need);
        for at in &place.hosts {
            self.hosts[*at].claims.push(hold);
            self.hosts[*at].add_end(place.after + run_time, hold);
        }
    }
}

/// Whether a host is expected to admit the task once its short tasks have ended.
fn may_admit(need: &Need, host: &Host, model: &InterferenceModel) -> bool {
    let cleared = Host {
        reserved: host.long_running,
        best_effort_millicores: 0,
        ..host.clone()
    };
    !host.is_suspect && !host.is_avoided && place::admits(need, &cleared, model)
}

/// A rack that can take all tasks of a gang now: the rack of its data, if it has any, else the first
/// one that can.
pub fn rack_for_all<'a>(
    need: &Need,
    tasks: usize,
    hosts: &[Host<'a>],
    model: &InterferenceModel,
) -> Option<&'a str> {
    racks(need, hosts).into_iter().find(|rack| {
        let near = hosts.iter();
        let near = near.filter(|host| host.rack == Some(rack) && host.pool == need.pool);
        let mut near: Vec<Host> = near
            .filter(|host| !host.is_suspect && !host.is_avoided)
            .cloned()
            .collect();
        (0..tasks).all(|_| match choose(need, &near, model) {
            Some(at) => {
                near[at].take(need, model);
                near[at].of_step += 1;
                true
            }
            None => false,
        })
    })
}

/// The racks that are near for a task or gang: that of its data, if it has any, else all.
pub fn racks<'a>(need: &Need, hosts: &[Host<'a>]) -> IndexSet<&'a str> {
    let in_pool = hosts.iter().filter(|host| host.pool == need.pool);
    let racks = in_pool.filter_map(|host| host.rack);
    racks
        .filter(|rack| need.data_rack.is_none_or(|near| near == *rack))
        .collect()
}

/// What decides whether a task waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitInputs {
    /// Expected time until it has a near place; `None` if that can't be said.
    pub expected: Option<Duration>,
    /// Time by which it would run longer if it started away from its data.
    pub cost: Duration,
    /// Time by which its job may be delayed and still be on time if it runs near its data; zero for
    /// a job that will be late in any case.
    pub slack: Duration,
    /// Time since a task of its step first waited for a near place.
    pub waited: Duration,
}

/// What a task that could start away from its data does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It waits for a near place.
    Wait,
    /// It starts now, for this reason.
    Far(Reason),
}

/// Why a task doesn't wait for a near place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No near host is expected to admit it, or the ends of the runs there are unknown.
    Unknown,
    /// The wait is expected to cost more than the far start.
    DoesNotPay,
    /// Its step has waited as long as it may, or would have by then.
    Bound,
    /// The far start is expected to be on time, and after the wait it wouldn't be.
    WouldBeLate,
}

impl WaitInputs {
    /// Factor `far_slowdown` times the run time near the data, less that time.
    pub fn cost(run_time: Duration, far_slowdown: f64) -> Duration {
        run_time.mul_f64((far_slowdown - 1.0).max(0.0))
    }

    /// Decides between a near place later and a far one now.
    pub fn decide(&self) -> Decision {
        let Some(expected) = self.expected else {
            return Decision::Far(Reason::Unknown);
        };
        if expected >= self.cost {
            return Decision::Far(Reason::DoesNotPay);
        }
        let until = self.waited + expected;
        if until >= MAX_WAIT.min(self.cost) {
            return Decision::Far(Reason::Bound);
        }
        // Without a near place in time, a far start at the end of the wait must be on time too.
        let is_far_on_time = self.slack >= self.cost;
        if is_far_on_time && expected > self.slack - self.cost {
            return Decision::Far(Reason::WouldBeLate);
        }
        Decision::Wait
    }
}

/// Learned errors of expected waits, by rack: how much longer tasks waited than expected.
#[derive(Clone, Debug, Default)]
pub struct WaitErrors {
    /// Error, and when it was last updated.
    by_rack: IndexMap<String, (f64, Millis)>,
}

impl WaitErrors {
    /// Factor by which waits for a place in this rack currently exceed what is expected; 1 if nothing
    /// is known.
    pub fn factor(&self, rack: &str, now: Millis) -> f64 {
        let Some((error, at)) = self.by_rack.get(rack) else {
            return 1.0;
        };
        let halvings = now.since(*at).as_secs_f64() / ERROR_HALF_LIFE.as_secs_f64();
        1.0 + (error - 1.0) * 0.5_f64.powf(halvings)
    }

    /// Notes a wait that has ended, near the data or not, and what was expected of it before it was
    /// corrected by [`Self::factor`].
    pub fn note(
        &mut self,
        rack: &str,
        expected: Duration,
        waited: Duration,
        is_near: bool,
        now: Millis,
    ) {
        let error = waited.as_secs_f64() / expected.max(MIN_JUDGED_WAIT).as_secs_f64();
        let error = match is_near {
            true => error,
            false => error.max(MIN_ERROR_OF_FAILURE),
        };
        let error = error.clamp(ERROR_BOUNDS.0, ERROR_BOUNDS.1);
        let before = self.factor(rack, now);
        let after = before + (error - before) * ERROR_WEIGHT;
        self.by_rack.insert(rack.to_owned(), (after, now));
    }
}
