//! Hands interrupted long-running tasks to shards that have room for them.
//!
//! Load pattern: long-running tasks reserve more than nine tenths of a shard. When workers go, their tasks find no room in
//! their own shard, where small free pieces are all that is left, while another shard has whole hosts for them.
//!
//! A task without a live run is marked as delegated in the owner's journal before the other shard hears of it, and
//! there is no way back: the other owner is asked again until it has the task in its own journal, so a call
//! that arrives late, or a crash of either owner in between, leaves the task with exactly one shard. A job stays with its
//! shard: callers are answered there, and its end is passed on until it is confirmed. That call carries the
//! tasks too, so a shard that never heard of them, or has forgotten them since, starts none.

use super::Owner;
use crate::{
    core::{size::Size, time::Millis},
    policy::dispatch::place::Host,
    sched::{
        Cx,
        event::Event,
        front,
        job::{Gang, JobId, JobSpec, QueueTerms, RunNumber, Step, TaskId},
        journal::AppendEnd,
        layout::ShardId,
        ledger::{Job, Phase},
        peer::AdoptReply,
    },
};
use indexmap::{IndexMap, IndexSet};
use std::{rc::Rc, time::Duration};

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(200);
/// A task is handed on once it has waited for room this long: most find some as short tasks end.
const STRANDED_AFTER: Duration = Duration::from_millis(800);
/// Longest wait for another shard's answer about its room: many round trips between data centres.
const ROOM_TIMEOUT: Duration = Duration::from_millis(150);
/// A shard offers one part in so many of its room at once: its own tasks may need the rest.
const ROOM_PART: u64 = 4;
/// An offer holds this long: the decision is journaled and the tasks are adopted within it, on a store that is well.
const OFFER_HOLDS: Duration = Duration::from_millis(1_000);

/// What is known of the tasks that an owner hands on.
#[derive(Default)]
pub struct Delegations {
    /// Since when interrupted tasks wait for room.
    stranded_since: IndexMap<TaskId, Millis>,
    /// Jobs of which other shards may have something to confirm.
    open: IndexSet<JobId>,
    /// Tasks that the other shard has confirmed.
    confirmed: IndexSet<TaskId>,
    /// Ends of jobs that a shard has confirmed.
    ended: IndexSet<(JobId, ShardId)>,
    /// Tasks for which room was offered to other shards, and when.
    offered: Vec<(u64, Millis)>,
}

/// What a task needs of another shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct TaskNeed {
    /// The pool whose workers may run it.
    pub pool: String,
    /// What it takes.
    pub size: Size,
    /// A label that its worker must have.
    pub required_label: Option<String>,
}

data! {
    /// Tasks of another shard's job.
    pub struct GuestTasks {
        /// The job.
        pub job: JobId,
        /// What was submitted.
        pub spec: JobSpec,
        /// What its queue's catalogue entry says.
        pub terms: QueueTerms,
        /// The shard that owns the job.
        pub from: ShardId,
        /// The tasks, each with the number of its last run.
        pub tasks: Vec<(TaskId, RunNumber)>,
        /// Whether the job is over, so that nothing of them may run any more.
        pub is_over: bool,
    }
}

/// Hands tasks on until the shard is lost.
pub async fn run(cx: Cx, owner: Rc<Owner>) {
    reopen(&owner);
    while owner.is_serving() {
        tokio::time::sleep(ROUND).await;
        if owner.may_place(&cx) {
            delegate_stranded(&cx, &owner).await;
        }
        settle_open(&cx, &owner).await;
    }
}

/// An earlier owner may have ended before the other shards confirmed.
fn reopen(owner: &Owner) {
    let ledger = owner.ledger.borrow();
    let jobs = ledger.jobs.iter();
    let with_delegated = jobs.filter(|(id, job)| !job.delegated(**id).is_empty());
    let open = &mut owner.delegations.borrow_mut().open;
    open.extend(with_delegated.map(|(id, _)| *id));
}

async fn delegate_stranded(cx: &Cx, owner: &Rc<Owner>) {
    let stranded = stranded(owner, cx.clock.now());
    let delegating = stranded.into_iter().map(async |(need, tasks)| {
        if let Some((to, room)) = roomiest(cx, owner, &need, tasks.len()).await {
            let count = tasks.len().min(room as usize);
            delegate(cx, owner, to, &tasks[..count]).await;
        }
    });
    futures::future::join_all(delegating).await;
}

/// Interrupted long-running tasks that have waited for room too long, by what they need.
fn stranded(owner: &Owner, now: Millis) -> IndexMap<TaskNeed, Vec<TaskId>> {
    let waiting = interrupted_tasks(owner);
    let mut delegations = owner.delegations.borrow_mut();
    let since = &mut delegations.stranded_since;
    since.retain(|task, _| waiting.contains_key(task));
    let mut stranded: IndexMap<TaskNeed, Vec<TaskId>> = IndexMap::new();
    for (task, need) in waiting {
        let waits = now.since(*since.entry(task).or_insert(now));
        if waits >= STRANDED_AFTER {
            stranded.entry(need).or_default().push(task);
        }
    }
    stranded
}

fn interrupted_tasks(owner: &Owner) -> IndexMap<TaskId, TaskNeed> {
    let (ledger, active) = (owner.ledger.borrow(), owner.active.borrow());
    let mut tasks = IndexMap::new();
    for id in active.iter() {
        let job = ledger.jobs.get(id).filter(|job| !job.is_guest);
        if let Some(job) = job {
            collect_interrupted(*id, job, &mut tasks);
        }
    }
    tasks
}

fn collect_interrupted(id: JobId, job: &Job, tasks: &mut IndexMap<TaskId, TaskNeed>) {
    for (occurrence, state) in &job.occurrences {
        for (at, spec) in job.spec.steps.iter().enumerate() {
            if !may_delegate(spec) {
                continue;
            }
            for (index, task) in state.steps[at].tasks.iter().enumerate() {
                let has_run = task.last_run > RunNumber::default();
                if !has_run || !task.live.is_empty() || task.elsewhere.is_some() {
                    continue;
                }
                let id = TaskId {
                    job: id,
                    occurrence: *occurrence,
                    step: at as u16,
                    index: index as u32,
                };
                tasks.insert(id, need_of(job, spec));
            }
        }
    }
}

fn may_delegate(step: &Step) -> bool {
    step.is_long_running && step.gang == Gang::No && step.data_rack.is_none()
}

fn need_of(job: &Job, step: &Step) -> TaskNeed {
    TaskNeed {
        pool: job.terms.pool.clone(),
        size: step.size,
        required_label: step.required_label.clone(),
    }
}

/// The shard that offers room for most such tasks, and for how many.
async fn roomiest(cx: &Cx, owner: &Owner, need: &TaskNeed, tasks: usize) -> Option<(ShardId, u32)> {
    let layout = cx.layout.borrow().clone()?;
    let wanted = u32::try_from(tasks).unwrap_or(u32::MAX);
    let others = layout.all().filter(|shard| *shard != owner.handle.shard);
    let asked = others.map(async |shard| {
        let handle = cx.handle(shard);
        let offer = front::offer_of(cx, &handle, need, wanted);
        let offered = tokio::time::timeout(ROOM_TIMEOUT, offer).await;
        // A shard that doesn't answer offers nothing this time.
        (shard, offered.ok().flatten().unwrap_or_default())
    });
    let offers = futures::future::join_all(asked).await;
    let roomiest = offers.into_iter().max_by_key(|(_, room)| *room);
    roomiest.filter(|(_, room)| *room > 0)
}

async fn delegate(cx: &Cx, owner: &Rc<Owner>, to: ShardId, tasks: &[TaskId]) {
    // Some may have been placed while others were asked.
    let still = interrupted_tasks(owner);
    let tasks: Vec<TaskId> = tasks
        .iter()
        .copied()
        .filter(|t| still.contains_key(t))
        .collect();
    for task in &tasks {
        log::info!(task:% = task, from:% = owner.handle.part, to = to.0; "task is delegated");
    }
    let events = tasks
        .iter()
        .map(|task| Event::Delegated { task: *task, to });
    let ticket = owner.propose(cx, events.collect());
    if ticket.end().await == AppendEnd::Durable {
        let open = &mut owner.delegations.borrow_mut().open;
        open.extend(tasks.iter().map(|task| task.job));
    }
}

/// Asks other shards for what they have not confirmed yet.
async fn settle_open(cx: &Cx, owner: &Rc<Owner>) {
    let open: Vec<JobId> = owner.delegations.borrow().open.iter().copied().collect();
    let settling = open.iter().map(|job| settle_job(cx, owner, *job));
    futures::future::join_all(settling).await;
    for job in open {
        // The job may have ended while its tasks were being adopted.
        if unconfirmed(owner, job).is_empty() {
            owner.delegations.borrow_mut().open.swap_remove(&job);
        }
    }
}

async fn settle_job(cx: &Cx, owner: &Rc<Owner>, id: JobId) {
    for (shard, tasks) in unconfirmed(owner, id) {
        let ids: Vec<TaskId> = tasks.tasks.iter().map(|(task, _)| *task).collect();
        let is_over = tasks.is_over;
        if !front::adopt(cx, &cx.handle(shard), tasks).await {
            continue;
        }
        let mut delegations = owner.delegations.borrow_mut();
        delegations.confirmed.extend(ids);
        if is_over {
            delegations.ended.insert((id, shard));
        }
    }
}

/// What other shards have yet to confirm of a job, by shard.
fn unconfirmed(owner: &Owner, id: JobId) -> Vec<(ShardId, GuestTasks)> {
    let ledger = owner.ledger.borrow();
    let Some(job) = ledger.jobs.get(&id) else {
        return Vec::new();
    };
    // An end that is not durable yet must have no effect elsewhere.
    let is_over = job.phase != Phase::Active && !owner.ending.borrow().contains(&id);
    let delegations = owner.delegations.borrow();
    let is_open = |shard: ShardId, tasks: &[(TaskId, RunNumber)]| match is_over {
        true => !delegations.ended.contains(&(id, shard)),
        false => {
            let mut ids = tasks.iter().map(|(task, _)| task);
            !ids.all(|task| delegations.confirmed.contains(task))
        }
    };
    let by_shard = job.delegated(id).into_iter();
    let open = by_shard.filter(|(shard, tasks)| is_open(*shard, tasks));
    let ask = |(shard, tasks)| {
        let tasks = GuestTasks {
            job: id,
            spec: JobSpec::clone(&job.spec),
            terms: job.terms.clone(),
            from: owner.handle.shard,
            tasks,
            is_over,
        };
        (shard, tasks)
    };
    open.map(ask).collect()
}

impl Owner {
    /// Whether other shards have yet to confirm something of a job.
    pub fn is_delegation_open(&self, job: &JobId) -> bool {
        self.delegations.borrow().open.contains(job)
    }

    /// Whether a job is this shard's own.
    fn owns_job(&self, job: JobId) -> bool {
        let ledger = self.ledger.borrow();
        ledger.jobs.get(&job).is_some_and(|job| !job.is_guest)
    }

    /// Has a job's end passed on to the shards that run tasks of it.
    pub fn pass_end_on(&self, job: JobId) {
        let ledger = self.ledger.borrow();
        let job_state = ledger.jobs.get(&job);
        if job_state.is_some_and(|state| !state.delegated(job).is_empty()) {
            self.delegations.borrow_mut().open.insert(job);
        }
    }

    /// Interrupted long-running tasks that wait for room here, guests among them.
    fn interrupted_long_running(&self) -> u64 {
        let (ledger, active) = (self.ledger.borrow(), self.active.borrow());
        let jobs = active.iter().filter_map(|id| ledger.jobs.get(id));
        jobs.map(Job::interrupted_long_running).sum()
    }

    /// For how many more such tasks there is room beside the shard's own long-running ones. What is offered counts as taken
    /// for a while, or several shards would hand their tasks to the same few hosts.
    pub fn offer_room(&self, cx: &Cx, need: &TaskNeed, wanted: u32) -> Option<u32> {
        let room = self.room_for(cx, need)?;
        let now = cx.clock.now();
        let offered = &mut self.delegations.borrow_mut().offered;
        offered.retain(|(_, at)| now.since(*at) < OFFER_HOLDS);
        let taken: u64 = offered.iter().map(|(count, _)| count).sum();
        let offer = room.saturating_sub(taken).div_ceil(ROOM_PART);
        let offer = offer.min(u64::from(wanted));
        offered.push((offer, now));
        Some(u32::try_from(offer).unwrap_or(u32::MAX))
    }

    fn room_for(&self, cx: &Cx, need: &TaskNeed) -> Option<u64> {
        if !self.may_place(cx) {
            return None;
        }
        let reports = self.open_workers(cx);
        let hosts = super::dispatch::hosts_of(cx, self, &reports);
        let fitting = hosts.iter().filter(|host| {
            let label = need.required_label.as_ref();
            host.pool == need.pool
                && !host.is_suspect
                && label.is_none_or(|label| host.labels.contains(label))
        });
        let room: u64 = fitting.map(|host| room_on(host, &need.size)).sum();
        Some(room.saturating_sub(self.interrupted_long_running()))
    }
}

/// How many tasks of this size a host has room for once its short tasks have ended.
fn room_on(host: &Host, size: &Size) -> u64 {
    let room = Size {
        millicores: host.unserving_millicores(),
        ..host.free()
    };
    size.count_in(&room)
}

/// Takes tasks of another shard's job; a repeat is confirmed as the first.
pub async fn adopt(cx: &Cx, owner: &Rc<Owner>, tasks: GuestTasks) -> AdoptReply {
    if !owner.is_recovered() {
        return AdoptReply::NotOwner;
    }
    let (job, is_over, at_unix_ms) = (tasks.job, tasks.is_over, cx.unix_ms());
    if owner.owns_job(job) {
        log::error!(job:% = job, shard:% = owner.handle.part, from = tasks.from.0; "a job of this shard is handed to it");
        return AdoptReply::NotOwner;
    }
    log::info!(job:% = job, shard:% = owner.handle.part, from = tasks.from.0, tasks = tasks.tasks.len(), is_over; "tasks are adopted");
    let mut events = vec![Event::Adopted {
        job,
        spec: Rc::new(tasks.spec),
        terms: tasks.terms,
        from: tasks.from,
        tasks: tasks.tasks,
        at_unix_ms,
    }];
    if is_over {
        events.push(Event::Cancelled { job, at_unix_ms });
    }
    let ticket = owner.propose(cx, events);
    let phase = owner.ledger.borrow().jobs.get(&job).map(|job| job.phase);
    if phase == Some(Phase::Active) {
        owner.active.borrow_mut().insert(job);
        owner.wake.notify_one();
    }
    owner.note_if_over(cx, job);
    match ticket.end().await {
        AppendEnd::Durable => AdoptReply::Adopted,
        AppendEnd::Lost => AdoptReply::NotOwner,
    }
}
