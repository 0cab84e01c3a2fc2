//! Logs which hosts are kept free, and for which waiting task.
//!
//! A kept host takes no reserving tasks, so one that is kept for a task which never fits there is
//! lost capacity. Each host gets a line when that task or its size changes, at most once per
//! second, and one when the host is released.

use super::Owner;
use crate::{
    core::{
        size::Size,
        time::{Millis, millis},
    },
    policy::dispatch::place::Host,
    sched::job::StepId,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Minimum time between two comparisons with what was logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a host is kept free for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Purpose {
    /// Step of the first waiting task that it is kept for.
    step: StepId,
    /// Size of that task.
    size: Size,
}

/// Kept hosts of a shard, by worker.
#[derive(Clone, Debug, Default)]
pub struct KeptHosts {
    /// Kept in the current dispatch pass.
    in_pass: IndexMap<String, Purpose>,
    /// Kept since the given time, by the last pass.
    since: IndexMap<String, Millis>,
    logged: IndexMap<String, Purpose>,
    logged_at: Option<Millis>,
}

impl KeptHosts {
    /// Notes that the current pass keeps a host for a task of this step and size.
    pub fn keep(&mut self, worker: &str, step: StepId, size: Size) {
        let purpose = Purpose { step, size };
        self.in_pass.entry(worker.to_owned()).or_insert(purpose);
    }

    fn is_log_due(&self, now: Millis) -> bool {
        self.logged_at
            .is_none_or(|at| now.since(at) >= LOG_INTERVAL)
    }
}

/// Notes that a dispatch pass has ended with these hosts, and logs which ones are kept if that has
/// changed.
pub fn note(owner: &Owner, hosts: &[Host], now: Millis) {
    let mut state = owner.kept_hosts.borrow_mut();
    let mut kept = std::mem::take(&mut state.in_pass);
    // A gang that isn't placed as a whole gives its hosts back.
    let still = |worker: &str| hosts.iter().any(|h| h.id == worker && h.kept.is_some());
    kept.retain(|worker, _| still(worker));
    state.since.retain(|worker, _| kept.contains_key(worker));
    for worker in kept.keys() {
        state.since.entry(worker.clone()).or_insert(now);
    }
    if !state.is_log_due(now) || kept == state.logged {
        return;
    }
    for host in hosts {
        let purpose = kept.get(host.id);
        if let Some(purpose) = purpose.filter(|_| purpose != state.logged.get(host.id)) {
            log_kept(owner, host, purpose, now.since(state.since[host.id]));
        }
    }
    for worker in state.logged.keys() {
        if !kept.contains_key(worker) {
            log::info!(shard:% = owner.handle.partition, worker:% = worker; "host is released");
        }
    }
    state.logged = kept;
    state.logged_at = Some(now);
}

fn log_kept(owner: &Owner, host: &Host, purpose: &Purpose, age: Duration) {
    let (free, later) = (host.free(), host.not_long_running());
    log::info!(
        shard:% = owner.handle.partition,
        worker:% = host.id,
        step:% = purpose.step,
        millicores = purpose.size.millicores,
        memory_mb = purpose.size.memory_mb,
        kept:? = host.kept,
        kept_ms = millis(age),
        kept_for_millicores = host.kept_for.millicores,
        kept_for_memory_mb = host.kept_for.memory_mb,
        free_millicores = free.millicores,
        free_memory_mb = free.memory_mb,
        not_long_running_millicores = later.millicores,
        not_long_running_memory_mb = later.memory_mb;
        "host is kept"
    );
}
