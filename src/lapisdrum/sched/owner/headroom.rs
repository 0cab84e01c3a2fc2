//! Counts the processors that short tasks of the shard hold and wait for, and computes how many
//! that leaves for new long-running tasks ([`crate::policy::dispatch::short_work`]).

use super::{
    Owner,
    runs::{RunRecord, load_of},
};
use crate::{
    core::time::Millis,
    policy::dispatch::{
        place::{Host, Load},
        short_work::Class,
    },
    sched::job::{QueueConfig, Step},
};
use indexmap::IndexMap;

fn class_of(terms: &QueueConfig) -> Class {
    Class {
        pool: terms.pool.clone(),
        priority: terms.priority,
    }
}

/// The class under which a step's short tasks are counted; none for long-running and best-effort
/// tasks.
pub fn short_class(terms: &QueueConfig, step: &Step) -> Option<Class> {
    let is_short = !step.is_long_running && load_of(step) != Load::BestEffort;
    is_short.then(|| class_of(terms))
}

/// Adds a placed run to what short tasks hold.
pub fn note_placed(owner: &Owner, record: &RunRecord) {
    if let Some(class) = &record.short_class {
        let mut short_work = owner.short_work.borrow_mut();
        short_work.note_placed(class, record.size.millicores);
    }
}

/// Removes an ended run from what short tasks hold.
pub fn note_ended(owner: &Owner, record: &RunRecord) {
    if let Some(class) = &record.short_class {
        let mut short_work = owner.short_work.borrow_mut();
        short_work.note_ended(class, record.size.millicores);
    }
}

/// Replaces what short tasks wait for: class and thousandths of a core of each waiting step.
pub fn note_waiting<'a>(
    owner: &Owner,
    waiting: impl Iterator<Item = &'a (Class, u64)>,
    now: Millis,
) {
    let mut by_class: IndexMap<Class, u64> = IndexMap::new();
    for (class, millicores) in waiting {
        *by_class.entry(class.clone()).or_default() += millicores;
    }
    owner.short_work.borrow_mut().note_waiting(&by_class, now);
}

/// How many thousandths of a core new long-running tasks of a queue may take in its pool.
pub fn free_for_long_running(owner: &Owner, terms: &QueueConfig, hosts: &[Host]) -> u64 {
    let class = class_of(terms);
    let in_pool = || hosts.iter().filter(|host| host.pool == class.pool);
    let capacity = in_pool().map(|host| host.capacity.millicores).sum();
    let free: u64 = in_pool().map(|host| host.free().millicores).sum();
    let short_work = owner.short_work.borrow();
    let not_long_running = free + short_work.held(&class.pool);
    not_long_running.saturating_sub(short_work.headroom(&class, capacity))
}
