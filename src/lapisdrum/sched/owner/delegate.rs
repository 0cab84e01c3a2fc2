//! Delegates interrupted long-running tasks to shards with free capacity.
//!
//! Load pattern: long-running tasks reserve more than nine tenths of a shard. When workers are
//! lost, the free capacity of their shard is too fragmented for the interrupted tasks, while
//! another shard has whole hosts free.
//!
//! A task without a live run is journaled as delegated before the other shard receives it, and only
//! that shard may undo this ([`returns`](super::returns)): the call is repeated until the other
//! owner has journaled the task. So a late call, or a crash of either owner, leaves the task with
//! exactly one shard. The job stays with its
//! shard, which answers callers and sends the job's end to the other shard until that confirms it.
//! This call lists the tasks too, so a shard that never received them, or has forgotten them since,
//! starts none.

use super::Owner;
use crate::{
    core::{
        size::Size,
        time::{Millis, millis},
    },
    sched::{
        Cx,
        event::Event,
        front,
        job::{Gang, JobId, JobSpec, QueueConfig, RunNumber, Step, TaskId},
        journal::AppendOutcome,
        layout::ShardId,
        ledger::{Job, Phase},
        peer::AdoptReply,
    },
};
use indexmap::{IndexMap, IndexSet};
use std::{rc::Rc, time::Duration};

/// Time between two rounds of delegation and confirmation.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// A task is delegated after waiting this long: most are placed before, as short tasks end.
const STRANDED_AFTER: Duration = Duration::from_millis(800);
/// Timeout of a call that asks a shard for an offer: many round trips between data centres.
const OFFER_TIMEOUT: Duration = Duration::from_millis(150);
/// A task is delegated for this long to a shard that returned it only if no other shard offers
/// capacity: an offer does not state every reason for which that shard may refuse the task. A try of
/// a shard takes about 2.5 s, so that a task gets to more than twenty others.
const AVOID_AFTER_RETURN: Duration = Duration::from_secs(60);
/// Time between two lines with totals.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// State of the tasks that an owner delegates.
#[derive(Default)]
pub struct Delegations {
    /// When each interrupted task was first seen waiting.
    stranded_since: IndexMap<TaskId, Millis>,
    /// The shards that returned tasks.
    returned: Returned,
    /// Jobs with tasks or an end that another shard may not have confirmed.
    open: IndexSet<JobId>,
    /// Tasks that the other shard has confirmed, with the number from which it started: a returned
    /// task is delegated again with a greater one.
    confirmed: IndexSet<(TaskId, RunNumber)>,
    /// Ends of jobs that a shard has confirmed.
    ended: IndexSet<(JobId, ShardId)>,
    requests: Requests,
}

/// The shards that returned each task, and when. With the last one alone, a task alternates between
/// two shards that offer more capacity than the one which would take it.
#[derive(Default)]
pub struct Returned {
    by_task: IndexMap<TaskId, IndexMap<ShardId, Millis>>,
}

impl Returned {
    /// Notes that a shard has returned a task.
    pub fn note(&mut self, task: TaskId, by: ShardId, now: Millis) {
        self.by_task.entry(task).or_default().insert(by, now);
    }

    /// The shards to avoid for a task, in ascending order.
    pub fn avoided(&self, task: &TaskId, now: Millis) -> Vec<ShardId> {
        let shards = self.by_task.get(task).into_iter().flatten();
        let recent = shards.filter(|(_, at)| now.since(**at) < AVOID_AFTER_RETURN);
        let mut recent: Vec<ShardId> = recent.map(|(shard, _)| *shard).collect();
        recent.sort();
        recent
    }

    fn expire(&mut self, now: Millis) {
        self.by_task.retain(|_, shards| {
            shards.retain(|_, at| now.since(*at) < AVOID_AFTER_RETURN);
            !shards.is_empty()
        });
    }
}

/// Requests for offers since the last line with totals.
#[derive(Default)]
struct Requests {
    /// Number of requests.
    asks: u64,
    /// Number of requests without an answer in time, or to a shard that places no tasks.
    unanswered: u64,
    /// Number of offers of more than 0 tasks.
    offers: u64,
    /// Number of tasks that were delegated.
    delegated: usize,
    reported_at: Option<Millis>,
}

impl Requests {
    fn note(&mut self, offered: Option<u32>) {
        self.asks += 1;
        self.unanswered += u64::from(offered.is_none());
        self.offers += u64::from(offered.is_some_and(|room| room > 0));
    }

    /// Logs the totals of a round that found stranded tasks, if that is due.
    fn report(
        &mut self,
        owner: &Owner,
        stranded: &IndexMap<Kind, Vec<TaskId>>,
        shards: usize,
        now: Millis,
    ) {
        let since_ms = self.reported_at.map(|at| millis(now.since(at)));
        let needs = stranded.keys().map(|kind| &kind.need);
        let Some(smallest) = needs.min_by_key(|need| need.size.millicores) else {
            return;
        };
        if since_ms.is_some_and(|since| since < millis(REPORT_INTERVAL)) {
            return;
        }
        let totals = std::mem::take(self);
        self.reported_at = Some(now);
        log::info!(
            shard:% = owner.handle.partition,
            since_ms = since_ms.unwrap_or_default(),
            tasks = stranded.values().map(Vec::len).sum::<usize>(),
            needs = stranded.len(),
            smallest_millicores = smallest.size.millicores,
            smallest_memory_mb = smallest.size.memory_mb,
            shards,
            asks = totals.asks,
            unanswered = totals.unanswered,
            offers = totals.offers,
            delegated = totals.delegated;
            "interrupted tasks wait for offers"
        );
    }
}

/// Maximum number of tasks of an adoption event; with the job's specification they stay below the
/// journal's limit.
const MAX_ADOPTED_PER_EVENT: usize = 1_000;

/// What a delegated task requires of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct TaskNeed {
    /// The worker's pool.
    pub pool: String,
    /// Resources that the task reserves.
    pub size: Size,
    /// A label that the worker must have.
    pub required_label: Option<String>,
}

/// Tasks that can use the same offers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Kind {
    need: TaskNeed,
    /// The shards that returned them within [`AVOID_AFTER_RETURN`], in ascending order.
    returned_by: Vec<ShardId>,
}

data! {
    /// Tasks of another shard's job.
    pub struct GuestTasks {
        /// Id of the job, the same in both shards.
        pub job: JobId,
        /// The job as submitted.
        pub spec: JobSpec,
        /// Settings of its queue, as the catalogue had them at submission.
        pub terms: QueueConfig,
        /// The shard that owns the job.
        pub from: ShardId,
        /// The tasks, each with the number of its last run.
        pub tasks: Vec<(TaskId, RunNumber)>,
        /// Whether the job has ended, so that none of its tasks may run.
        pub is_over: bool,
    }
}

/// Delegates tasks and confirms delegations until the shard is lost.
pub async fn run(cx: Cx, owner: Rc<Owner>) {
    reopen(&owner);
    while owner.is_serving() {
        tokio::time::sleep(ROUND_INTERVAL).await;
        if owner.may_place(&cx) {
            delegate_stranded(&cx, &owner).await;
        }
        confirm_open(&cx, &owner).await;
    }
}

/// Reopens delegations from the ledger: a previous owner may have ended before other shards
/// confirmed them.
fn reopen(owner: &Owner) {
    let ledger = owner.ledger.borrow();
    let jobs = ledger.jobs.iter();
    let with_delegated = jobs.filter(|(id, job)| !job.delegated(**id).is_empty());
    let open = &mut owner.delegations.borrow_mut().open;
    open.extend(with_delegated.map(|(id, _)| *id));
}

async fn delegate_stranded(cx: &Cx, owner: &Rc<Owner>) {
    let stranded = stranded(owner, cx.clock.now());
    let delegating = stranded.iter().map(async |(kind, tasks)| {
        let need = &kind.need;
        let offers = offers(cx, owner, need, tasks.len()).await;
        let Some((to, room)) = best_offer(&offers, &kind.returned_by) else {
            return;
        };
        let count = tasks.len().min(room as usize);
        let unused = release_unused(cx, need, &offers, to);
        let delegated = delegate(cx, owner, to, &tasks[..count], &kind.returned_by);
        futures::join!(delegated, unused);
    });
    futures::future::join_all(delegating).await;
    let shards = cx.layout.borrow().as_ref().map_or(0, |l| l.all().count());
    let requests = &mut owner.delegations.borrow_mut().requests;
    requests.report(owner, &stranded, shards.saturating_sub(1), cx.clock.now());
}

/// Interrupted long-running tasks that have waited for [`STRANDED_AFTER`], by which offers they can
/// use.
fn stranded(owner: &Owner, now: Millis) -> IndexMap<Kind, Vec<TaskId>> {
    let waiting = interrupted_tasks(owner);
    let mut delegations = owner.delegations.borrow_mut();
    let Delegations {
        stranded_since: since,
        returned,
        ..
    } = &mut *delegations;
    since.retain(|task, _| waiting.contains_key(task));
    returned.expire(now);
    let mut stranded: IndexMap<Kind, Vec<TaskId>> = IndexMap::new();
    for (task, need) in waiting {
        let waits = now.since(*since.entry(task).or_insert(now));
        if waits >= STRANDED_AFTER {
            let returned_by = returned.avoided(&task, now);
            let kind = Kind { need, returned_by };
            stranded.entry(kind).or_default().push(task);
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
                tasks.insert(id, TaskNeed::new(&job.terms, spec));
            }
        }
    }
}

fn may_delegate(step: &Step) -> bool {
    step.is_long_running && step.gang == Gang::No && step.data_rack.is_none()
}

impl TaskNeed {
    /// What a task of this step requires.
    pub(super) fn new(terms: &QueueConfig, step: &Step) -> Self {
        Self {
            pool: terms.pool.clone(),
            size: step.size,
            required_label: step.required_label.clone(),
        }
    }
}

/// The number of these tasks for which each of the other shards offers capacity.
async fn offers(cx: &Cx, owner: &Owner, need: &TaskNeed, tasks: usize) -> Vec<(ShardId, u32)> {
    let Some(layout) = cx.layout.borrow().clone() else {
        return Vec::new();
    };
    let wanted = u32::try_from(tasks).unwrap_or(u32::MAX);
    let others = layout.all().filter(|shard| *shard != owner.handle.shard);
    let requests = others.map(async |shard| {
        let offered = ask(cx, shard, need, wanted).await;
        owner.delegations.borrow_mut().requests.note(offered);
        // A shard that does not answer in time offers nothing in this round.
        (shard, offered.unwrap_or_default())
    });
    futures::future::join_all(requests).await
}

async fn ask(cx: &Cx, shard: ShardId, need: &TaskNeed, wanted: u32) -> Option<u32> {
    let handle = cx.handle(shard);
    let offer = front::free_capacity_offer(cx, &handle, need, wanted);
    let offered = tokio::time::timeout(OFFER_TIMEOUT, offer).await;
    offered.ok().flatten()
}

/// The offer for most tasks; one of a shard that returned them only if no other shard offers.
pub fn best_offer(offers: &[(ShardId, u32)], returned_by: &[ShardId]) -> Option<(ShardId, u32)> {
    let made = offers.iter().copied().filter(|(_, room)| *room > 0);
    made.max_by_key(|(shard, room)| (!returned_by.contains(shard), *room))
}

/// Releases the offers of all shards but `to`, so that they can be made for other tasks.
async fn release_unused(cx: &Cx, need: &TaskNeed, offers: &[(ShardId, u32)], to: ShardId) {
    let unused = offers
        .iter()
        .filter(|(shard, room)| *shard != to && *room > 0);
    let releases = unused.map(|(shard, _)| ask(cx, *shard, need, 0));
    futures::future::join_all(releases).await;
}

async fn delegate(
    cx: &Cx,
    owner: &Rc<Owner>,
    to: ShardId,
    tasks: &[TaskId],
    returned_by: &[ShardId],
) {
    // Some may have been placed while the shards were asked.
    let still = interrupted_tasks(owner);
    let tasks: Vec<TaskId> = tasks
        .iter()
        .copied()
        .filter(|t| still.contains_key(t))
        .collect();
    for task in &tasks {
        log::info!(task:% = task, from:% = owner.handle.partition, to = to.0, returned_by:?; "task is delegated");
    }
    let events = tasks
        .iter()
        .map(|task| Event::Delegated { task: *task, to });
    let ticket = owner.propose(cx, events.collect());
    if ticket.outcome().await == AppendOutcome::Durable {
        let mut delegations = owner.delegations.borrow_mut();
        delegations.requests.delegated += tasks.len();
        delegations.open.extend(tasks.iter().map(|task| task.job));
    }
}

/// Sends other shards the tasks and ends that they have not confirmed yet.
async fn confirm_open(cx: &Cx, owner: &Rc<Owner>) {
    let open: Vec<JobId> = owner.delegations.borrow().open.iter().copied().collect();
    let confirmations = open.iter().map(|job| confirm_job(cx, owner, *job));
    futures::future::join_all(confirmations).await;
    for job in open {
        // The job may have ended while its tasks were being adopted.
        if unconfirmed(owner, job).is_empty() {
            owner.delegations.borrow_mut().open.swap_remove(&job);
        }
    }
}

async fn confirm_job(cx: &Cx, owner: &Rc<Owner>, id: JobId) {
    for (shard, tasks) in unconfirmed(owner, id) {
        let sent = tasks.tasks.clone();
        let is_over = tasks.is_over;
        if !front::adopt(cx, &cx.handle(shard), tasks).await {
            continue;
        }
        let mut delegations = owner.delegations.borrow_mut();
        delegations.confirmed.extend(sent);
        if is_over {
            delegations.ended.insert((id, shard));
        }
    }
}

/// Tasks of a job, by shard, for shards that have not confirmed them or the job's end.
fn unconfirmed(owner: &Owner, id: JobId) -> Vec<(ShardId, GuestTasks)> {
    let ledger = owner.ledger.borrow();
    let Some(job) = ledger.jobs.get(&id) else {
        return Vec::new();
    };
    // A job's end must have no effect in other shards before it is durable.
    let is_over = job.phase != Phase::Active && !owner.ending.borrow().contains(&id);
    let delegations = owner.delegations.borrow();
    let is_open = |shard: ShardId, tasks: &[(TaskId, RunNumber)]| match is_over {
        true => !delegations.ended.contains(&(id, shard)),
        false => {
            let mut tasks = tasks.iter();
            !tasks.all(|task| delegations.confirmed.contains(task))
        }
    };
    let by_shard = job.delegated(id).into_iter();
    let open = by_shard.filter(|(shard, tasks)| is_open(*shard, tasks));
    let to_request = |(shard, tasks)| {
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
    open.map(to_request).collect()
}

impl Delegations {
    /// Notes that a shard has returned a task.
    pub fn note_return(&mut self, task: TaskId, by: ShardId, now: Millis) {
        self.returned.note(task, by, now);
    }
}

impl Owner {
    /// Whether a shard may not have confirmed tasks or the end of a job.
    pub fn is_delegation_open(&self, job: &JobId) -> bool {
        self.delegations.borrow().open.contains(job)
    }

    /// Whether another shard has not confirmed yet that it has a delegated task of this shard's job.
    pub fn is_delegation_unconfirmed(&self, job: &Job, task: TaskId, last_run: RunNumber) -> bool {
        let delegations = self.delegations.borrow();
        !job.is_guest && !delegations.confirmed.contains(&(task, last_run))
    }

    /// Whether a job belongs to this shard, and is not a guest.
    fn owns_job(&self, job: JobId) -> bool {
        let ledger = self.ledger.borrow();
        ledger.jobs.get(&job).is_some_and(|job| !job.is_guest)
    }

    /// Schedules that a job's end is sent to the shards to which its tasks were delegated.
    pub fn send_job_end(&self, job: JobId) {
        let ledger = self.ledger.borrow();
        let job_state = ledger.jobs.get(&job);
        if job_state.is_some_and(|state| !state.delegated(job).is_empty()) {
            self.delegations.borrow_mut().open.insert(job);
        }
    }
}

/// The number of tasks that a call adds to the shard, by need; 0 of a repeated call.
fn newly_adopted(owner: &Owner, guests: &GuestTasks) -> IndexMap<TaskNeed, u64> {
    let ledger = owner.ledger.borrow();
    let mut adopted = IndexMap::new();
    for (task, last_run) in &guests.tasks {
        let is_known = ledger
            .task(task)
            .is_some_and(|known| known.elsewhere.is_none() || known.last_run > *last_run);
        let step = guests.spec.steps.get(usize::from(task.step));
        if let Some(step) = step.filter(|_| !is_known) {
            *adopted
                .entry(TaskNeed::new(&guests.terms, step))
                .or_default() += 1;
        }
    }
    adopted
}

/// One event for each part of the tasks, at least one; their number is not bounded, but the size of
/// an event is.
fn adoptions(guests: GuestTasks, at_unix_ms: u64) -> Vec<Event> {
    let spec = Rc::new(without_dependencies(guests.spec));
    let adopted = |tasks: &[(TaskId, RunNumber)]| Event::Adopted {
        job: guests.job,
        spec: Rc::clone(&spec),
        terms: guests.terms.clone(),
        from: guests.from,
        tasks: tasks.to_vec(),
        at_unix_ms,
    };
    match guests.tasks.is_empty() {
        true => vec![adopted(&[])],
        false => {
            let parts = guests.tasks.chunks(MAX_ADOPTED_PER_EVENT);
            parts.map(adopted).collect()
        }
    }
}

/// The specification that a guest records. A task is delegated once the steps before its own are
/// done, which only the job's shard can tell. A daemon of an earlier version checks the dependencies
/// as it replays a placement, and can't recover the shard if they are recorded.
fn without_dependencies(mut spec: JobSpec) -> JobSpec {
    for step in &mut spec.steps {
        step.after.clear();
    }
    spec
}

/// Adopts tasks of another shard's job. A repeated call is confirmed like the first.
pub async fn adopt(cx: &Cx, owner: &Rc<Owner>, tasks: GuestTasks) -> AdoptReply {
    if !owner.is_recovered() {
        return AdoptReply::NotOwner;
    }
    let (job, is_over, at_unix_ms) = (tasks.job, tasks.is_over, cx.unix_ms());
    if owner.owns_job(job) {
        log::error!(job:% = job, shard:% = owner.handle.partition, from = tasks.from.0; "another shard delegated tasks of a job that this shard owns");
        return AdoptReply::NotOwner;
    }
    log::info!(job:% = job, shard:% = owner.handle.partition, from = tasks.from.0, tasks = tasks.tasks.len(), is_over; "tasks are adopted");
    let adopted = newly_adopted(owner, &tasks);
    let mut events = adoptions(tasks, at_unix_ms);
    if is_over {
        events.push(Event::Cancelled { job, at_unix_ms });
    }
    let ticket = owner.propose(cx, events);
    for (need, tasks) in adopted {
        owner.end_offers(&need, tasks);
    }
    let phase = owner.ledger.borrow().jobs.get(&job).map(|job| job.phase);
    if phase == Some(Phase::Active) {
        owner.active.borrow_mut().insert(job);
        owner.wake.notify_one();
    }
    owner.note_if_ended(cx, job);
    match ticket.outcome().await {
        AppendOutcome::Durable => AdoptReply::Adopted,
        AppendOutcome::Lost => AdoptReply::NotOwner,
    }
}
