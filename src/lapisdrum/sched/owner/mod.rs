//! The owner of the shard: remembers its jobs, places their tasks, keeps the workers' leases.
//!
//! An owner begins by reading the journal, then *claims* each worker: it looks at it under its own
//! fencing token, after which the worker does nothing for an earlier owner, and learns what runs there.
//! It starts nothing on a worker before that. [`directory`] follows the list of workers, [`visit`] looks
//! at each of them, [`runs`] sends and settles orders, [`dispatch`] places, [`jobs`] serves callers.

pub mod backlog;
pub mod delegate;
pub mod directory;
pub mod dispatch;
pub mod headroom;
pub mod jobs;
pub mod learned;
pub mod predecessor;
pub mod runs;
pub mod send;
pub mod session;
pub mod strain;
pub mod upkeep;
pub mod visit;

use super::{
    Cx, ShardHandle,
    edge::RowKey,
    event::{Event, RunId},
    job::{JobId, StepId, TaskId},
    journal::{AppendEnd, Journal, Ticket},
    lease::{self, Holder, LeaseView},
    ledger::{Ledger, Phase},
    settle::{Habit, LeaseBound},
};
use crate::{
    core::time::{Millis, millis},
    daemon::supervisor,
    policy::dispatch::{
        forecast::Forecast,
        place::Unfit,
        pressure::{Pressure, ServingLoad},
        short_work::ShortWork,
    },
};
use backlog::Backlog;
use futures::{FutureExt, future::LocalBoxFuture};
use indexmap::{IndexMap, IndexSet};
use runs::RunRecord;
use session::Session;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::sync::{Mutex, Notify, watch};

/// Wait before a recovery that failed is tried again.
const RECOVERY_RETRY: Duration = Duration::from_millis(200);

/// How long it is remembered that orders were carried out late: longer than the latest of them takes.
const HABIT_REMEMBERED: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Recovering,
    Serving,
    Lost,
}

/// The shard under this owner.
pub struct Owner {
    /// The shard.
    pub handle: Rc<ShardHandle>,
    fence: (RowKey, u64),
    /// When the take-over was sent.
    pub taken_at: Millis,
    /// The owner before, if there was one.
    pub predecessor: Option<Holder>,
    /// It renewed its lease no later than this.
    pub predecessor_renewed_at: Millis,
    /// It took the shard no later than this.
    pub predecessor_took_at: Millis,
    /// From when on nobody before us can have sent a lease, once it was found to be gone for good.
    pub predecessor_gone_at: Cell<Option<Millis>>,
    /// When a worker was last seen to leave an order unanswered and to answer a later call.
    late_habit_at: Cell<Option<Millis>>,
    /// The version of the lease row as last written.
    pub lease_version: Cell<u64>,
    /// When the last renewal that took effect was sent.
    pub renewed_at: Cell<Millis>,
    /// Held while the lease row is being written.
    pub renewing: Mutex<()>,
    /// The journal.
    pub journal: Journal,
    /// What the shard remembers, with everything appended so far.
    pub ledger: RefCell<Ledger>,
    /// What is known beyond that of runs that may be alive.
    pub runs: RefCell<IndexMap<RunId, RunRecord>>,
    /// What is known of workers.
    pub sessions: RefCell<IndexMap<String, Session>>,
    /// Jobs that are not over.
    pub active: RefCell<IndexSet<JobId>>,
    /// Jobs of which the acceptance is not durable yet, with its outcome.
    pub accepting: RefCell<IndexMap<JobId, watch::Receiver<Option<AppendEnd>>>>,
    /// Jobs of which the end is not durable, and so not shown.
    pub ending: RefCell<IndexSet<JobId>>,
    /// Workers on which a task has failed; it is tried elsewhere first.
    pub failed_on: RefCell<IndexMap<TaskId, Vec<String>>>,
    /// What disturbs what, learned anew by each owner.
    pub pressure: RefCell<Pressure>,
    /// Loads of serving steps.
    pub loads: RefCell<IndexMap<StepId, ServingLoad>>,
    /// How long jobs really take, learned anew by each owner.
    pub forecast: RefCell<Forecast>,
    /// When the first task of each active job was placed, for the jobs that this owner began.
    pub begun_at: RefCell<IndexMap<JobId, Millis>>,
    /// What steps wait for, and when that was last looked at.
    pub waits: RefCell<IndexMap<StepId, (Unfit, Millis)>>,
    /// What short tasks take.
    pub short_work: RefCell<ShortWork>,
    /// What waits for room in sum.
    backlog: RefCell<Backlog>,
    /// How many runs are left in each evacuated data centre.
    left_in_evacuated: RefCell<IndexMap<String, usize>>,
    /// Tasks that are handed to other shards.
    delegations: RefCell<delegate::Delegations>,
    /// Unknown runs that are being stopped.
    pub stopping_unknown: RefCell<IndexSet<RunId>>,
    /// Wakes the dispatcher.
    pub wake: Notify,
    standing: Cell<Standing>,
}

impl Owner {
    /// Takes the shard over; nothing is recovered yet.
    pub fn take(
        handle: &Rc<ShardHandle>,
        seen: &LeaseView,
        now: &LeaseView,
        fence: RowKey,
        sent_at: Millis,
    ) -> Rc<Self> {
        let (fence, lease_version) = ((fence, now.fence), now.version);
        Rc::new(Self {
            handle: Rc::clone(handle),
            journal: Journal::new(&handle.part, fence.clone()),
            fence,
            taken_at: sent_at,
            predecessor: seen.row.as_ref().map(|row| row.holder.clone()),
            predecessor_renewed_at: seen.since,
            predecessor_took_at: seen.fence_since,
            predecessor_gone_at: Cell::new(None),
            late_habit_at: Cell::new(None),
            lease_version: Cell::new(lease_version),
            renewed_at: Cell::new(sent_at),
            renewing: Mutex::new(()),
            ledger: RefCell::default(),
            runs: RefCell::default(),
            sessions: RefCell::default(),
            active: RefCell::default(),
            accepting: RefCell::default(),
            ending: RefCell::default(),
            failed_on: RefCell::default(),
            pressure: RefCell::default(),
            loads: RefCell::default(),
            forecast: RefCell::default(),
            begun_at: RefCell::default(),
            waits: RefCell::default(),
            short_work: RefCell::default(),
            backlog: RefCell::default(),
            left_in_evacuated: RefCell::default(),
            delegations: RefCell::default(),
            stopping_unknown: RefCell::default(),
            wake: Notify::new(),
            standing: Cell::new(Standing::Recovering),
        })
    }

    /// The fence row and the version that it must have.
    pub fn fence(&self) -> (RowKey, u64) {
        self.fence.clone()
    }

    /// The fencing token of every order.
    pub fn token(&self) -> u64 {
        self.fence.1
    }

    /// Whether the shard is held, recovered or not.
    pub fn is_serving(&self) -> bool {
        self.standing.get() != Standing::Lost
    }

    /// Whether the shard is held and its jobs are known.
    pub fn is_recovered(&self) -> bool {
        self.standing.get() == Standing::Serving
    }

    /// Whether nobody else can have taken the shard yet: what isn't known here is known nowhere. An owner that
    /// the store turns away goes on being asked by callers cut off with it, while another accepts jobs.
    pub fn is_sole_owner(&self, cx: &Cx) -> bool {
        let unrenewed = cx.clock.now().since(self.renewed_at.get());
        self.is_recovered() && unrenewed < lease::LEASE
    }

    /// Whether leases of workers may still be renewed: within the hold that a successor waits out.
    pub fn may_renew(&self, cx: &Cx) -> bool {
        let unrenewed = cx.clock.now().since(self.renewed_at.get());
        self.is_serving() && unrenewed < cx.cfg.leases.owner_hold
    }

    /// Until when anything may run on a worker of which nothing was heard.
    fn inherited_bound(&self, cx: &Cx) -> LeaseBound {
        let mut bound = LeaseBound::inherited(self.predecessor_renewed_at, &cx.cfg.leases);
        if let Some(at) = self.predecessor_gone_at.get() {
            bound.predecessor_gone(at);
        }
        bound
    }

    /// What workers do with orders that they don't answer.
    pub fn habit(&self, now: Millis) -> Habit {
        let is_recent = |at| now.since(at) < HABIT_REMEMBERED;
        match self.late_habit_at.get().is_some_and(is_recent) {
            true => Habit::Late,
            false => Habit::Prompt,
        }
    }

    /// Notes that a worker left an order unanswered and answered a later call.
    pub fn note_late_habit(&self, cx: &Cx, worker: &str) {
        let now = cx.clock.now();
        if self.habit(now) == Habit::Prompt {
            log::warn!(worker; "orders may be carried out late");
        }
        self.late_habit_at.set(Some(now));
    }

    /// Ends the ownership here.
    pub fn lose(&self, why: &str) {
        if self.standing.replace(Standing::Lost) == Standing::Lost {
            return;
        }
        self.journal.lose();
        self.wake.notify_one();
        let mut held = self.handle.owner.borrow_mut();
        let is_held = held
            .as_ref()
            .is_some_and(|owner| owner.token() == self.token());
        if is_held {
            *held = None;
        }
        log::warn!(shard:% = self.handle.part, token = self.token(), why; "shard is lost");
    }

    /// Applies events and appends those that fit; one that doesn't is a decision on stale knowledge, and
    /// is left out with a line in the log.
    pub fn propose(&self, cx: &Cx, events: Vec<Event>) -> Ticket {
        let mut fitting = Vec::with_capacity(events.len());
        for event in events {
            let applied = self.ledger.borrow_mut().apply(&event);
            match applied {
                Ok(()) => fitting.push(event),
                Err(e) => log::warn!(error:% = e; "event left out"),
            }
        }
        cx.metrics.events.inc_by(fitting.len() as u64);
        self.journal.append(&fitting)
    }

    /// Takes a job off the active ones once it is over, and has it shown so when that is durable.
    pub fn note_if_over(self: &Rc<Self>, cx: &Cx, job: JobId) {
        let phase = self.ledger.borrow().jobs.get(&job).map(|job| job.phase);
        let is_over = phase.is_some_and(|phase| phase != Phase::Active);
        if !is_over || !self.active.borrow_mut().swap_remove(&job) {
            return;
        }
        self.ending.borrow_mut().insert(job);
        self.note_duration(cx, job);
        // An empty append is durable once everything before it is.
        let ticket = self.journal.append(&[]);
        let (cx, owner) = (Rc::clone(cx), Rc::clone(self));
        supervisor::spawn("job-over", async move {
            if ticket.end().await != AppendEnd::Durable {
                return;
            }
            owner.ending.borrow_mut().swap_remove(&job);
            owner.loads.borrow_mut().retain(|step, _| step.job != job);
            owner.waits.borrow_mut().retain(|step, _| step.job != job);
            owner.pass_end_on(job);
            owner.note_over(&cx, job);
            runs::stop_all_of(&cx, &owner, job);
        });
    }

    /// Learns from a completed job how long its queue's jobs take.
    fn note_duration(&self, cx: &Cx, id: JobId) {
        let begun_at = self.begun_at.borrow_mut().swap_remove(&id);
        let ledger = self.ledger.borrow();
        let job = ledger.jobs.get(&id);
        let job = job.filter(|job| job.phase == Phase::Completed && job.spec.schedule.is_none());
        if let (Some(job), Some(begun_at)) = (job, begun_at) {
            let took_ms = millis(cx.clock.now().since(begun_at));
            let chain_ms = job.spec.longest_chain_ms();
            let mut forecast = self.forecast.borrow_mut();
            forecast.note(&job.terms.queue, chain_ms, took_ms);
        }
    }

    fn note_over(&self, cx: &Cx, id: JobId) {
        let ledger = self.ledger.borrow();
        let Some(job) = ledger.jobs.get(&id).filter(|job| !job.is_guest) else {
            return;
        };
        let took_ms = job.over_unix_ms.saturating_sub(job.accepted_unix_ms);
        let objective_ms = job.terms.objective_ms(job.spec.longest_chain_ms());
        cx.metrics.note_job(&job.terms.queue, job.phase, took_ms);
        log::info!(job:% = id, queue:% = job.terms.queue, phase:? = job.phase, took_ms, objective_ms; "job over");
    }
}

/// Runs the parts of an owner until the shard is lost.
pub fn start(cx: &Cx, owner: Rc<Owner>) {
    cx.metrics.takeovers.inc();
    let (renewing, held) = (Rc::clone(cx), Rc::clone(&owner));
    supervisor::spawn("lease", async move { lease::renew(&renewing, &held).await });
    let cx = Rc::clone(cx);
    supervisor::spawn("owner", async move {
        if recover(&cx, &owner).await {
            serve(&cx, &owner);
        }
    });
}

async fn recover(cx: &Cx, owner: &Rc<Owner>) -> bool {
    while owner.is_serving() {
        let learned = learned::resume(cx, owner);
        match futures::join!(owner.journal.recover(cx), learned).0 {
            Ok(ledger) => {
                adopt(cx, owner, ledger);
                return owner.is_serving();
            }
            Err(e) => log::warn!(error:% = format!("{e:#}"); "recovery failed"),
        }
        tokio::time::sleep(RECOVERY_RETRY).await;
    }
    false
}

/// Takes what was read as the state: every live run may be on its worker.
fn adopt(cx: &Cx, owner: &Rc<Owner>, ledger: Ledger) {
    let active = ledger.jobs.iter().filter(|(_, j)| j.phase == Phase::Active);
    owner.active.borrow_mut().extend(active.map(|(id, _)| *id));
    let live: Vec<_> = ledger
        .live_runs()
        .map(|(run, live)| (run, live.on.clone()))
        .collect();
    let (jobs, runs) = (ledger.jobs.len(), live.len());
    *owner.ledger.borrow_mut() = ledger;
    for (run, on) in live {
        owner.add_inherited(cx, run, &on);
    }
    if owner.is_serving() {
        owner.standing.set(Standing::Serving);
    }
    stop_left_over(cx, owner);
    let took_ms = cx.clock.now().since(owner.taken_at).as_millis() as u64;
    log::info!(shard:% = owner.handle.part, token = owner.token(), jobs, runs, took_ms; "shard recovered");
}

/// Stops runs of jobs that are over: the owner before may have ended between a job's end and its stops.
fn stop_left_over(cx: &Cx, owner: &Rc<Owner>) {
    let ledger = owner.ledger.borrow();
    let over = ledger
        .jobs
        .iter()
        .filter(|(_, job)| job.phase != Phase::Active);
    let over: Vec<JobId> = over.map(|(id, _)| *id).collect();
    drop(ledger);
    for job in over {
        runs::stop_all_of(cx, owner, job);
    }
}

fn serve(cx: &Cx, owner: &Rc<Owner>) {
    let parts: [(&'static str, LocalBoxFuture<'static, ()>); 8] = [
        (
            "journal",
            write_journal(Rc::clone(cx), Rc::clone(owner)).boxed_local(),
        ),
        (
            "directory",
            directory::follow(Rc::clone(cx), Rc::clone(owner)).boxed_local(),
        ),
        (
            "dispatch",
            dispatch::run(Rc::clone(cx), Rc::clone(owner)).boxed_local(),
        ),
        (
            "upkeep",
            upkeep::run(Rc::clone(cx), Rc::clone(owner)).boxed_local(),
        ),
        (
            "delegate",
            delegate::run(Rc::clone(cx), Rc::clone(owner)).boxed_local(),
        ),
        (
            "predecessor",
            predecessor::follow(Rc::clone(cx), Rc::clone(owner)).boxed_local(),
        ),
        (
            "learned",
            learned::hand_on(Rc::clone(cx), Rc::clone(owner)).boxed_local(),
        ),
        (
            "learned-by-others",
            learned::hear(Rc::clone(cx), Rc::clone(owner)).boxed_local(),
        ),
    ];
    for (name, part) in parts {
        supervisor::spawn(name, part);
    }
}

async fn write_journal(cx: Cx, owner: Rc<Owner>) {
    let state = || serde_json::to_vec(&*owner.ledger.borrow()).unwrap_or_default();
    owner.journal.write_all(&cx, state).await;
    owner.lose("the journal was fenced");
}
