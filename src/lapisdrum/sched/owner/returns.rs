//! Returns guest tasks that wait without capacity to the shard that owns their job, which places or
//! delegates them again.
//!
//! Load pattern: the workers of a delegated task are lost too, or the offered capacity is taken
//! before the task runs, while other shards have free capacity.
//!
//! The return is journaled here before the job's shard is called, and the call is repeated until
//! that shard confirms it. A return uses up a run number, so that each stay of a task in a shard
//! has its own range of numbers: a late call of an earlier stay has a lower number and no effect. A
//! crash of either owner leaves the task with exactly one shard.

use super::Owner;
use crate::{
    core::time::{Millis, millis},
    sched::{
        Cx,
        event::Event,
        front,
        job::{JobId, RunNumber, TaskId},
        journal::AppendOutcome,
        layout::ShardId,
        ledger::{Job, Ledger, Phase},
        peer::TakeBackReply,
    },
};
use indexmap::{IndexMap, IndexSet};
use std::{rc::Rc, time::Duration};

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Guest tasks that have waited this long are returned: longer than the time after which a task is
/// delegated, so that most are placed before.
const RETURN_AFTER: Duration = Duration::from_millis(1_500);
/// Guest tasks that fit once short tasks have ended are returned after this long: longer than most
/// short tasks run, and soon enough for capacity that another shard has at once. An earlier return
/// would lose their rank here, and the same capacity would be offered again.
const RETURN_FITTING_AFTER: Duration = Duration::from_secs(5);
/// Time between two calls to a shard that has not confirmed a return.
const CALL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of tasks that are returned or logged in one round, and of those in one call.
const MAX_RETURNED_PER_ROUND: usize = 20;

/// State of the tasks that an owner returns.
#[derive(Default)]
pub struct Returns {
    /// When each guest task was first seen waiting.
    waiting_since: IndexMap<TaskId, Millis>,
    /// Waiting tasks that were logged.
    logged: IndexSet<TaskId>,
    /// Returns in the journal that the job's shard has not confirmed.
    open: IndexMap<TaskId, Return>,
    /// When each shard was last called.
    called_at: IndexMap<ShardId, Millis>,
}

/// A guest task that has waited for [`RETURN_AFTER`].
struct Stranded {
    task: TaskId,
    last_run: RunNumber,
    waited: Duration,
    /// Whether it fits in this shard once short tasks have ended.
    fits: bool,
}

/// A journaled return of a task.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Return {
    to: ShardId,
    last_run: RunNumber,
}

data! {
    /// Tasks that a shard returns to the one that delegated them.
    pub struct ReturnedTasks {
        /// The shard that returns the tasks.
        pub from: ShardId,
        /// The tasks, each with the number of its return.
        pub tasks: Vec<(TaskId, RunNumber)>,
    }
}

/// Returns waiting guest tasks and confirms returns until the shard is lost.
pub async fn run(cx: Cx, owner: Rc<Owner>) {
    reopen(&owner);
    while owner.is_serving() {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let stranded = stranded(&cx, &owner);
        log_waiting(&owner, &stranded);
        if owner.may_place(&cx) {
            give_back(&cx, &owner, &stranded).await;
        }
        confirm_open(&cx, &owner).await;
    }
}

/// Reopens returns from the ledger: a previous owner may have ended before the job's shard
/// confirmed them.
fn reopen(owner: &Owner) {
    let ledger = owner.ledger.borrow();
    let guests = active_guests(owner, &ledger);
    let returned = guests.flat_map(|(id, job)| returned_of(id, job));
    owner.returns.borrow_mut().open.extend(returned);
}

impl Stranded {
    fn is_return_due(&self) -> bool {
        !self.fits || self.waited >= RETURN_FITTING_AFTER
    }
}

/// Guest tasks that have waited for [`RETURN_AFTER`].
fn stranded(cx: &Cx, owner: &Owner) -> Vec<Stranded> {
    let now = cx.clock.now();
    let mut stranded = waiting_long(owner, now);
    if stranded.is_empty() {
        return stranded;
    }
    let mut fitting = owner.fitting_interrupted(cx, now);
    for guest in &mut stranded {
        let left = fitting.get_mut(&guest.task.step_id());
        if let Some(left) = left.filter(|left| **left > 0) {
            *left -= 1;
            guest.fits = true;
        }
    }
    stranded
}

fn waiting_long(owner: &Owner, now: Millis) -> Vec<Stranded> {
    let waiting = waiting_guests(owner);
    let mut returns = owner.returns.borrow_mut();
    let Returns {
        waiting_since,
        logged,
        ..
    } = &mut *returns;
    waiting_since.retain(|task, _| waiting.contains_key(task));
    logged.retain(|task| waiting.contains_key(task));
    let guests = waiting.into_iter().map(|(task, last_run)| Stranded {
        task,
        last_run,
        waited: now.since(*waiting_since.entry(task).or_insert(now)),
        fits: false,
    });
    let stranded = guests.filter(|guest| guest.waited >= RETURN_AFTER);
    stranded.collect()
}

fn active_guests<'a>(
    owner: &Owner,
    ledger: &'a Ledger,
) -> impl Iterator<Item = (JobId, &'a Job)> + use<'a> {
    let active: Vec<JobId> = owner.active.borrow().iter().copied().collect();
    let jobs = active.into_iter();
    let jobs = jobs.filter_map(|id| Some((id, ledger.jobs.get(&id)?)));
    jobs.filter(|(_, job)| job.is_guest && job.phase == Phase::Active)
}

fn waiting_guests(owner: &Owner) -> IndexMap<TaskId, RunNumber> {
    let ledger = owner.ledger.borrow();
    let guests = active_guests(owner, &ledger);
    guests.flat_map(|(id, job)| waiting_of(id, job)).collect()
}

fn waiting_of(id: JobId, job: &Job) -> impl Iterator<Item = (TaskId, RunNumber)> {
    let tasks = job.tasks(id);
    let waiting = tasks.filter(|(_, task)| task.live.is_empty() && task.elsewhere.is_none());
    waiting.map(|(id, task)| (id, task.last_run))
}

/// Tasks that were returned: the others that are elsewhere were never here and have no run number.
fn returned_of(id: JobId, job: &Job) -> impl Iterator<Item = (TaskId, Return)> {
    let with_number = job
        .tasks(id)
        .filter(|(_, task)| task.last_run > RunNumber::default());
    with_number.filter_map(|(id, task)| {
        let to = task.elsewhere?;
        let last_run = task.last_run;
        Some((id, Return { to, last_run }))
    })
}

fn log_waiting(owner: &Owner, stranded: &[Stranded]) {
    let mut returns = owner.returns.borrow_mut();
    let is_new = |guest: &&Stranded| !returns.logged.contains(&guest.task);
    let new = stranded.iter().filter(is_new);
    let new: Vec<_> = new.take(MAX_RETURNED_PER_ROUND).collect();
    for guest in new {
        returns.logged.insert(guest.task);
        log::info!(task:% = guest.task, shard:% = owner.handle.partition, last_run = guest.last_run.0, waited_ms = millis(guest.waited), fits = guest.fits; "guest task waits without capacity");
    }
}

/// Journals the return of tasks for which it is due and whose shard takes tasks back.
async fn give_back(cx: &Cx, owner: &Rc<Owner>, stranded: &[Stranded]) {
    let due = stranded.iter().filter(|guest| guest.is_return_due());
    let returned: Vec<(TaskId, Return)> = due
        .filter_map(|guest| {
            let to = home_of(owner, guest.task.job)?;
            let last_run = guest.last_run.next();
            accepts_returns(cx, to).then_some((guest.task, Return { to, last_run }))
        })
        .take(MAX_RETURNED_PER_ROUND)
        .collect();
    if returned.is_empty() {
        return;
    }
    for (task, Return { to, last_run }) in &returned {
        log::info!(task:% = task, shard:% = owner.handle.partition, to = to.0, last_run = last_run.0; "guest task is returned");
    }
    let events = returned.iter().map(|(task, Return { to, last_run })| {
        let (task, to, last_run) = (*task, *to, *last_run);
        Event::Returned { task, to, last_run }
    });
    let ticket = owner.propose(cx, events.collect());
    if ticket.outcome().await == AppendOutcome::Durable {
        owner.returns.borrow_mut().open.extend(returned);
    }
}

fn home_of(owner: &Owner, job: JobId) -> Option<ShardId> {
    let ledger = owner.ledger.borrow();
    ledger.jobs.get(&job)?.home
}

/// Whether the owner of a shard takes tasks back. One of an earlier version drops the connection on
/// this call, and with it other calls in flight.
fn accepts_returns(cx: &Cx, shard: ShardId) -> bool {
    let handle = cx.handle(shard);
    let lease = handle.lease.borrow();
    lease.row.as_ref().is_some_and(|row| row.accepts_returns)
}

/// Calls the shards that have not confirmed returns.
async fn confirm_open(cx: &Cx, owner: &Rc<Owner>) {
    close_obsolete(owner);
    let calls = due_calls(cx, owner).into_iter().map(async |(to, tasks)| {
        let sent = tasks.tasks.clone();
        if front::take_back(cx, &cx.handle(to), tasks).await {
            close(owner, to, &sent);
        }
    });
    futures::future::join_all(calls).await;
}

/// Closes returns of jobs that have ended and of tasks that were adopted again.
fn close_obsolete(owner: &Owner) {
    let ledger = owner.ledger.borrow();
    let is_current = |id: &TaskId, entry: &Return| {
        let job = ledger.jobs.get(&id.job);
        let is_active = job.is_some_and(|job| job.phase == Phase::Active);
        let task = ledger.task(id);
        let is_same = task.is_some_and(|task| {
            task.elsewhere == Some(entry.to) && task.last_run == entry.last_run
        });
        is_active && is_same
    };
    let open = &mut owner.returns.borrow_mut().open;
    open.retain(|task, entry| is_current(task, entry));
}

fn due_calls(cx: &Cx, owner: &Owner) -> IndexMap<ShardId, ReturnedTasks> {
    let now = cx.clock.now();
    let mut returns = owner.returns.borrow_mut();
    let Returns {
        open, called_at, ..
    } = &mut *returns;
    called_at.retain(|_, at| now.since(*at) < CALL_INTERVAL);
    let is_due = |to| !called_at.contains_key(&to) && accepts_returns(cx, to);
    let mut calls: IndexMap<ShardId, ReturnedTasks> = IndexMap::new();
    for (task, entry) in open.iter().filter(|(_, entry)| is_due(entry.to)) {
        let empty = || ReturnedTasks {
            from: owner.handle.shard,
            tasks: Vec::new(),
        };
        let call = calls.entry(entry.to).or_insert_with(empty);
        if call.tasks.len() < MAX_RETURNED_PER_ROUND {
            call.tasks.push((*task, entry.last_run));
        }
    }
    called_at.extend(calls.keys().map(|to| (*to, now)));
    calls
}

fn close(owner: &Owner, to: ShardId, confirmed: &[(TaskId, RunNumber)]) {
    let mut returns = owner.returns.borrow_mut();
    // The next returns need not wait for the interval.
    returns.called_at.swap_remove(&to);
    for (task, last_run) in confirmed {
        let last_run = *last_run;
        if returns.open.get(task) == Some(&Return { to, last_run }) {
            returns.open.swap_remove(task);
        }
    }
}

/// Takes delegated tasks back. A repeated call is confirmed without effect.
pub async fn take_back(cx: &Cx, owner: &Rc<Owner>, returned: ReturnedTasks) -> TakeBackReply {
    if !owner.is_recovered() {
        return TakeBackReply::NotOwner;
    }
    let from = returned.from;
    let mut events = Vec::new();
    for (task, last_run) in returned.tasks {
        let is_taken = is_delegated_to(owner, &task, from, last_run);
        log::info!(task:% = task, shard:% = owner.handle.partition, from = from.0, last_run = last_run.0, is_taken; "delegated task comes back");
        if is_taken {
            let mut delegations = owner.delegations.borrow_mut();
            delegations.note_return(task, from, cx.clock.now());
            events.push(Event::TakenBack {
                task,
                from,
                last_run,
            });
        }
    }
    // Even an empty append is durable only while this owner holds the shard.
    let ticket = owner.propose(cx, events);
    owner.wake.notify_one();
    match ticket.outcome().await {
        AppendOutcome::Durable => TakeBackReply::Confirmed,
        AppendOutcome::Lost => TakeBackReply::NotOwner,
    }
}

/// Whether a task is still in the stay at a shard that a return ends.
fn is_delegated_to(owner: &Owner, id: &TaskId, to: ShardId, last_run: RunNumber) -> bool {
    let ledger = owner.ledger.borrow();
    let job = ledger.jobs.get(&id.job);
    let is_active = job.is_some_and(|job| !job.is_guest && job.phase == Phase::Active);
    let task = ledger.task(id);
    let is_there = task.is_some_and(|task| task.elsewhere == Some(to) && last_run > task.last_run);
    is_active && is_there
}
