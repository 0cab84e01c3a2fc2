//! Guest tasks that wait without capacity in the shard that adopted them.
//!
//! Load pattern: the workers of a delegated task are lost too, or the offered capacity is taken
//! before the task runs, while other shards have free capacity.

use super::Owner;
use crate::{
    core::time::{Millis, millis},
    sched::{
        Cx,
        job::{JobId, RunNumber, TaskId},
        ledger::Job,
    },
};
use indexmap::{IndexMap, IndexSet};
use std::{rc::Rc, time::Duration};

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Guest tasks that have waited this long are stranded here too: a delegation is decided after
/// 0.8 s, and most tasks are placed before.
const STRANDED_AFTER: Duration = Duration::from_millis(1_500);
/// Maximum number of log lines for waiting tasks in one round.
const MAX_LOGGED_PER_ROUND: usize = 20;

/// State of the guest tasks that wait in a shard.
#[derive(Default)]
pub struct Returns {
    /// When each guest task was first seen waiting.
    waiting_since: IndexMap<TaskId, Millis>,
    /// Waiting tasks that were logged.
    logged: IndexSet<TaskId>,
}

/// Follows the waiting guest tasks until the shard is lost.
pub async fn run(cx: Cx, owner: Rc<Owner>) {
    while owner.is_serving() {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let stranded = stranded(&owner, cx.clock.now());
        log_waiting(&owner, &stranded, cx.clock.now());
    }
}

/// Guest tasks that have waited for [`STRANDED_AFTER`], with the numbers of their last runs.
fn stranded(owner: &Owner, now: Millis) -> Vec<(TaskId, RunNumber)> {
    let waiting = waiting_guests(owner);
    let mut returns = owner.returns.borrow_mut();
    let Returns {
        waiting_since,
        logged,
    } = &mut *returns;
    waiting_since.retain(|task, _| waiting.contains_key(task));
    logged.retain(|task| waiting.contains_key(task));
    let mut is_stranded = |task: &TaskId| {
        let since = *waiting_since.entry(*task).or_insert(now);
        now.since(since) >= STRANDED_AFTER
    };
    let stranded = waiting.into_iter().filter(|(task, _)| is_stranded(task));
    stranded.collect()
}

fn waiting_guests(owner: &Owner) -> IndexMap<TaskId, RunNumber> {
    let (ledger, active) = (owner.ledger.borrow(), owner.active.borrow());
    let jobs = active
        .iter()
        .filter_map(|id| Some((id, ledger.jobs.get(id)?)));
    let guests = jobs.filter(|(_, job)| job.is_guest);
    guests.flat_map(|(id, job)| waiting_of(*id, job)).collect()
}

fn waiting_of(id: JobId, job: &Job) -> impl Iterator<Item = (TaskId, RunNumber)> {
    let tasks = job.tasks(id);
    let waiting = tasks.filter(|(_, task)| task.live.is_empty() && task.elsewhere.is_none());
    waiting.map(|(id, task)| (id, task.last_run))
}

fn log_waiting(owner: &Owner, stranded: &[(TaskId, RunNumber)], now: Millis) {
    let mut returns = owner.returns.borrow_mut();
    let new = stranded
        .iter()
        .filter(|(task, _)| !returns.logged.contains(task));
    let new: Vec<_> = new.take(MAX_LOGGED_PER_ROUND).copied().collect();
    for (task, last_run) in new {
        let waited_ms = millis(now.since(returns.waiting_since[&task]));
        log::info!(task:% = task, shard:% = owner.handle.partition, last_run = last_run.0, waited_ms; "guest task waits without capacity");
        returns.logged.insert(task);
    }
}
