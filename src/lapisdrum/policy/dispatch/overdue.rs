//! Admits best-effort tasks of jobs that have had nothing running for too long.
//!
//! Load pattern: serving tasks run on every host, and a best-effort image is expected to slow each
//! of them. [`super::place`] then refuses the image everywhere for as long as they run. Nothing
//! else would end the wait: a pair of images that never runs together is never measured, so a high
//! estimate stays high. While most processors of the pool are free, such a job therefore gets one
//! task after a bounded time, which depends on no estimate. It starts on the host where it is
//! expected to cost serving tasks least, with a CPU limit at which it is expected to cost nothing,
//! or with the lowest one that lets it progress. At most one such task with a CPU limit runs on a
//! host. Jobs that have had nothing running for longest are first, so that none starves behind newer
//! ones when there are more of them than hosts.
//!
//! While half or more of the processors are reserved, no such task is admitted: serving tasks of an
//! overloaded pool stay over their targets for it, also where the estimates expect no cost. What
//! hosts admit is then shared by [`super::ahead`].
//!
//! [`super::mitigation`] may change the limit but doesn't stop the task while its job has no other.
//! If tails stay over their targets, all best-effort tasks of the host are stopped as usual, and
//! the host takes no such task until it is open again.
//!
//! A tolerance that grows with the wait would bound the wait too, but would admit several tasks at
//! full speed to a host at once, and mitigation would stop them again for the reason for which they
//! were refused.

use super::{
    interference::InterferenceModel,
    place::{self, Host, Need, Unfit},
};
use indexmap::IndexMap;
use std::{fmt, time::Duration};

/// Time for which a job may have nothing running. Callers expect such a job to run within 3 s, of
/// which the other half is left for the start or for another attempt.
pub const MAX_IDLE_TIME: Duration = Duration::from_millis(1_500);
/// CPU limits with which a task may start, in percent of what it asks for, highest first.
const CPU_LIMITS_PERCENT: [u32; 5] = [100, 80, 60, 40, LOWEST_CPU_LIMIT_PERCENT];
/// Lowest CPU limit that lets a task progress, in percent of what it asks for.
const LOWEST_CPU_LIMIT_PERCENT: u32 = 20;

/// Where an overdue task is admitted, and how.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// Index of the host.
    pub at: usize,
    /// Why the host would refuse the task otherwise.
    pub why: Unfit,
    /// The CPU limit to set at its start, in percent of what it asks for.
    pub cpu_limit_percent: u32,
    /// By how much it is expected to add to the overload of serving tasks with this limit.
    pub added_overload: f64,
    /// Whether the pool is mostly free.
    pub is_mostly_free: bool,
}

/// Whether a host takes a best-effort task that it would refuse, once the task is overdue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OverdueTasks {
    /// It runs no task that was overdue.
    None,
    /// It runs such tasks, all without a CPU limit.
    Unlimited,
    /// It runs such a task with a CPU limit, or was given one in this pass.
    Limited,
    /// Its best-effort tasks are paused for a measurement.
    Paused,
    /// Its best-effort tasks were all stopped recently.
    Cleared,
}

impl OverdueTasks {
    /// Whether one more is taken.
    pub fn takes_one(self, is_mostly_free: bool) -> bool {
        match self {
            Self::None | Self::Unlimited => is_mostly_free,
            Self::Limited | Self::Paused | Self::Cleared => false,
        }
    }
}

/// Whether less than half of the pool's processors are reserved. Those that best-effort tasks use do
/// not count: jobs that came first would keep an overdue one waiting.
pub fn is_mostly_free(pool: &str, hosts: &[Host]) -> bool {
    let in_pool = hosts.iter().filter(|host| host.pool == pool);
    let (reserved, all) = in_pool.fold((0, 0), |(reserved, all), host| {
        let (of_host, capacity) = (host.reserved.millicores, host.capacity.millicores);
        (reserved + of_host, all + capacity)
    });
    2 * reserved < all
}

/// Whether a host of the pool takes an overdue task now.
pub fn takes_any(pool: &str, hosts: &[Host]) -> bool {
    let is_mostly_free = is_mostly_free(pool, hosts);
    let mut in_pool = hosts.iter().filter(|host| host.pool == pool);
    in_pool.any(|host| host.overdue.takes_one(is_mostly_free))
}

/// Number of hosts of a pool by whether they take an overdue task, such as `Unlimited:60 Cleared:6`.
pub fn hosts_text(pool: &str, hosts: &[Host]) -> impl fmt::Display {
    let mut counts: IndexMap<OverdueTasks, usize> = IndexMap::new();
    for host in hosts.iter().filter(|host| host.pool == pool) {
        *counts.entry(host.overdue).or_default() += 1;
    }
    counts.sort_by(|_, a, _, b| b.cmp(a));
    fmt::from_fn(move |f| {
        for (at, (overdue, hosts)) in counts.iter().enumerate() {
            let space = if at == 0 { "" } else { " " };
            write!(f, "{space}{overdue:?}:{hosts}")?;
        }
        Ok(())
    })
}

/// Returns where to admit an overdue best-effort task that no host of its pool admits; `None` if
/// every host lacks memory, a label or the like, or takes no overdue task now.
pub fn admit(need: &Need, hosts: &[Host], model: &InterferenceModel) -> Option<Admission> {
    let is_mostly_free = is_mostly_free(need.pool, hosts);
    let takes = |host: &Host| host.pool == need.pool && host.overdue.takes_one(is_mostly_free);
    let taking = hosts.iter().enumerate().filter(|(_, host)| takes(host));
    let able = taking.filter_map(|(at, host)| admit_on(need, at, host, is_mostly_free, model));
    able.min_by(|a, b| {
        let is_unreliable = |admission: &Admission| {
            let host = &hosts[admission.at];
            (host.is_avoided, host.is_suspect)
        };
        let by_cost = a.added_overload.total_cmp(&b.added_overload);
        let by_limit = b.cpu_limit_percent.cmp(&a.cpu_limit_percent);
        let by_reliability = is_unreliable(a).cmp(&is_unreliable(b));
        by_reliability.then(by_cost).then(by_limit)
    })
}

fn admit_on(
    need: &Need,
    at: usize,
    host: &Host,
    is_mostly_free: bool,
    model: &InterferenceModel,
) -> Option<Admission> {
    let why = place::unfit(need, host, model)?;
    match why {
        Unfit::Closed | Unfit::Busy | Unfit::Pressure => {}
        Unfit::Memory
        | Unfit::Processors
        | Unfit::Kept
        | Unfit::LeftToShort
        | Unfit::Label
        | Unfit::StepLimit => return None,
    }
    let with_limit = |cpu_limit_percent| Admission {
        at,
        why,
        cpu_limit_percent,
        added_overload: host.added_overload(need, cpu_limit_percent, model),
        is_mostly_free,
    };
    let mut limits = CPU_LIMITS_PERCENT.into_iter().map(with_limit);
    let harmless = limits.find(|admission| admission.added_overload <= 0.0);
    Some(harmless.unwrap_or_else(|| with_limit(LOWEST_CPU_LIMIT_PERCENT)))
}
