//! The owner of a shard: keeps the state of its jobs, places their tasks and renews the workers'
//! leases.
//!
//! An owner first reads the journal, then *claims* each worker: it polls the worker under its own
//! fencing token, after which the worker refuses orders of earlier owners, and receives the list of
//! runs there. It starts nothing on a worker before that. [`directory`] follows the list of
//! workers, [`poll`] polls each of them, [`runs`] sends orders and resolves their outcome,
//! [`dispatch`] places tasks, [`jobs`] serves callers.

pub mod backlog;
pub mod balance;
pub mod delegate;
pub mod directory;
pub mod dispatch;
pub mod estimates;
pub mod failed_on;
pub mod headroom;
pub mod interference;
pub mod jobs;
pub mod kept_hosts;
pub mod missed_alone;
pub mod moves;
pub mod offers;
pub mod outages;
pub mod overdue;
pub mod place_wait;
pub mod poll;
pub mod previous_owner;
pub mod returns;
pub mod runs;
pub mod session;
pub mod shard_loads;
pub mod sharing;
pub mod silent_workers;
pub mod stalled_jobs;
pub mod start_order;
pub mod stop_note;
pub mod suitable;
pub mod suspension;
pub mod upkeep;

use super::{
    Cx, ShardHandle,
    edge::RowKey,
    event::{Event, RunId},
    handover,
    job::{JobId, StepId},
    journal::{AppendOutcome, Journal, Ticket},
    lease::{self, Holder, LastSender, LeaseView},
    ledger::{Ledger, Phase},
    resolution::{
        ConfirmedBefore, EarlierOwners, LeaseBound, LeaseLimits, SilentWorker, UnsettledWorker,
    },
};
use crate::{
    core::time::{Millis, Timestamp, millis},
    daemon::supervisor,
    policy::dispatch::{
        duration::DurationEstimates,
        interference::{InterferenceModel, ServingLoad},
        place::Unfit,
        short_work::ShortWork,
    },
};
use backlog::Backlog;
use failed_on::FailedOn;
use futures::{FutureExt, future::LocalBoxFuture};
use indexmap::{IndexMap, IndexSet};
use kept_hosts::KeptHosts;
use runs::RunRecord;
use session::Session;
use shard_loads::ShardLoads;
use silent_workers::Listed;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::sync::{Mutex, Notify, watch};

/// Delay before a failed recovery is retried.
const RECOVERY_RETRY: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    Recovering,
    Serving,
    Lost,
}

/// State of a shard that this daemon owns.
pub struct Owner {
    /// This daemon's view of the shard: its partition and lease.
    pub handle: Rc<ShardHandle>,
    fence: (RowKey, u64),
    /// When the take-over transaction was sent.
    pub taken_at: Millis,
    /// The last earlier owner that may have sent leases; none for the first one.
    pub previous_owner: Option<Holder>,
    /// Fencing token of that owner; 0 for the first owner.
    pub replaced_token: u64,
    /// Until when earlier owners may send leases.
    pub earlier_owners: Cell<EarlierOwners>,
    /// Workers that did not answer the previous owner, and when the leases there end.
    silent_before: RefCell<IndexMap<String, SilentWorker>>,
    /// Journal rows before which the previous owner had confirmed the long-running runs on workers
    /// that answered it.
    previous_confirmed_before: ConfirmedBefore,
    /// Journal rows before which all runs had started, as far as the previous owner knew.
    previous_started_before: ConfirmedBefore,
    /// Workers that answered the previous owner, on which leases of confirmed runs last longer than
    /// on others.
    unsettled_before: IndexMap<String, UnsettledWorker>,
    /// Workers that a lease row lists as silent.
    listed: Listed,
    /// When the state was recovered.
    recovered_at: Cell<Option<Millis>>,
    /// Workers with runs that were given up while that is not durable yet, and when the leases
    /// there ended.
    given_up: RefCell<IndexMap<String, Millis>>,
    /// Whether a lease row is known to be written by which this owner may send leases; see
    /// [`LeaseRow::last_sender`](lease::LeaseRow::last_sender).
    may_have_sent_leases: Cell<bool>,
    /// Whether a worker has refused the token.
    suspension: suspension::Suspension,
    /// Whether the lease is being released, so that no more leases are sent to workers.
    is_releasing: Cell<bool>,
    /// Version of the lease row that this owner last wrote.
    pub lease_version: Cell<u64>,
    /// When the last successful renewal of the shard's lease was sent.
    pub renewed_at: Cell<Timestamp>,
    /// Locked while the lease row is written.
    pub renewing: Mutex<()>,
    /// Writes events to the store, conditional on the fence.
    pub journal: Journal,
    /// Jobs and tasks of the shard, including events that are not durable yet.
    pub ledger: RefCell<Ledger>,
    /// Runs that may be alive, with what the journal does not hold.
    pub runs: RefCell<IndexMap<RunId, RunRecord>>,
    /// The list of workers that was noted last.
    pub worker_list: directory::NotedList,
    /// Workers by id.
    pub sessions: RefCell<IndexMap<String, Session>>,
    /// Jobs that have not ended.
    pub active: RefCell<IndexSet<JobId>>,
    /// Jobs whose acceptance is not durable yet; the channel receives the outcome.
    pub accepting: RefCell<IndexMap<JobId, watch::Receiver<Option<AppendOutcome>>>>,
    /// Jobs whose end is not durable yet; callers still see them as active.
    pub ending: RefCell<IndexSet<JobId>>,
    /// Workers on which a task has failed; other workers are tried first.
    pub failed_on: RefCell<FailedOn>,
    /// Interference model: starts from the previous owner's estimates, if they can be read.
    pub interference_model: RefCell<InterferenceModel>,
    /// Load estimates of serving steps.
    pub loads: RefCell<IndexMap<StepId, ServingLoad>>,
    /// Duration estimates of jobs; each owner starts without any.
    pub durations: RefCell<DurationEstimates>,
    /// When the first task of each active job was placed, for jobs that this owner started.
    pub started_at: RefCell<IndexMap<JobId, Millis>>,
    /// Why steps wait, and when that was last determined.
    pub wait_reasons: RefCell<IndexMap<StepId, (Unfit, Millis)>>,
    /// Processors that short tasks hold and wait for.
    pub short_work: RefCell<ShortWork>,
    /// Expected waits of new jobs, and service that callers have received.
    sharing: RefCell<sharing::Sharing>,
    /// Loads of this shard and of others.
    pub shard_loads: RefCell<ShardLoads>,
    /// Notified when the loads of other shards are wanted.
    exchange_loads: Notify,
    /// Totals of the tasks that wait for free capacity, for the log.
    backlog: RefCell<Backlog>,
    /// Jobs with startable best-effort tasks and nothing running.
    overdue: RefCell<overdue::OverdueJobs>,
    /// Hosts that are kept free for waiting tasks, for the log.
    kept_hosts: RefCell<KeptHosts>,
    /// Tasks that wait for places near their data or their gang.
    place_waits: RefCell<place_wait::PlaceWaits>,
    /// Long-running tasks that do not run.
    outages: RefCell<outages::Outages>,
    /// Jobs of which nothing runs.
    stalled_jobs: RefCell<stalled_jobs::StalledJobs>,
    /// Number of runs that are still in each evacuated data centre.
    left_in_evacuated: RefCell<IndexMap<String, usize>>,
    /// Tasks delegated to other shards.
    delegations: RefCell<delegate::Delegations>,
    /// Capacity offered to other shards.
    offers: RefCell<offers::Offers>,
    /// Tasks of other shards that wait here.
    returns: RefCell<returns::Returns>,
    /// Jobs that move to or from other shards.
    moves: RefCell<moves::Moves>,
    /// Notified when another shard has confirmed a job.
    move_confirmed: Notify,
    /// Runs that a worker lists but the journal does not have there, while they are being stopped.
    pub stopping_unknown: RefCell<IndexSet<RunId>>,
    /// Wakes the dispatcher.
    pub wake: Notify,
    /// Notified once the shard is lost.
    lost: Notify,
    status: Cell<Status>,
}

impl Owner {
    /// Creates the owner after a successful take-over; its state is not recovered yet.
    pub fn take(
        handle: &Rc<ShardHandle>,
        limits: &LeaseLimits,
        seen: &LeaseView,
        now: &LeaseView,
        fence: RowKey,
        sent_at: Timestamp,
    ) -> Rc<Self> {
        let (fence, lease_version) = ((fence, now.fence), now.version);
        let last_sender = seen.last_sender();
        let silent_before = seen.silent_workers(limits);
        let is_first = last_sender.is_none();
        Rc::new(Self {
            handle: Rc::clone(handle),
            journal: Journal::new(&handle.partition, fence.clone()),
            fence,
            taken_at: sent_at.at,
            previous_owner: last_sender.map(|(holder, _)| holder.clone()),
            replaced_token: last_sender.map_or(0, |(_, token)| token),
            earlier_owners: Cell::new(seen.earlier_owners(limits)),
            listed: Listed::new(silent_before.keys().cloned()),
            silent_before: RefCell::new(silent_before),
            previous_confirmed_before: seen.confirmed_before(),
            previous_started_before: seen.started_before(),
            unsettled_before: seen.unsettled_workers(limits),
            recovered_at: Cell::new(None),
            given_up: RefCell::default(),
            may_have_sent_leases: Cell::new(is_first),
            suspension: suspension::Suspension::default(),
            is_releasing: Cell::new(false),
            lease_version: Cell::new(lease_version),
            renewed_at: Cell::new(sent_at),
            renewing: Mutex::new(()),
            ledger: RefCell::default(),
            runs: RefCell::default(),
            worker_list: directory::NotedList::default(),
            sessions: RefCell::default(),
            active: RefCell::default(),
            accepting: RefCell::default(),
            ending: RefCell::default(),
            failed_on: RefCell::default(),
            interference_model: RefCell::default(),
            loads: RefCell::default(),
            durations: RefCell::default(),
            started_at: RefCell::default(),
            wait_reasons: RefCell::default(),
            short_work: RefCell::default(),
            sharing: RefCell::default(),
            shard_loads: RefCell::default(),
            exchange_loads: Notify::new(),
            backlog: RefCell::default(),
            overdue: RefCell::default(),
            kept_hosts: RefCell::default(),
            place_waits: RefCell::default(),
            outages: RefCell::default(),
            stalled_jobs: RefCell::default(),
            left_in_evacuated: RefCell::default(),
            delegations: RefCell::default(),
            offers: RefCell::default(),
            returns: RefCell::default(),
            moves: RefCell::default(),
            move_confirmed: Notify::new(),
            stopping_unknown: RefCell::default(),
            wake: Notify::new(),
            lost: Notify::new(),
            status: Cell::new(Status::Recovering),
        })
    }

    /// The fence row and the version that each transaction expects it to have.
    pub fn fence(&self) -> (RowKey, u64) {
        self.fence.clone()
    }

    /// The fencing token that each order carries.
    pub fn token(&self) -> u64 {
        self.fence.1
    }

    /// Whether the shard is held, during recovery too.
    pub fn is_serving(&self) -> bool {
        self.status.get() != Status::Lost
    }

    /// Whether the shard is held and its jobs are recovered.
    pub fn is_recovered(&self) -> bool {
        self.status.get() == Status::Serving
    }

    /// Whether no other daemon owned the shard when this was called, so that a job unknown here is
    /// unknown everywhere. A frozen, suspended, isolated or releasing owner still receives requests
    /// from callers, while the next one accepts jobs. Beyond the time in which nobody takes the shard,
    /// only the store can say: an append is durable only under this owner's fence.
    pub async fn is_sole_owner(&self, cx: &Cx) -> bool {
        let renewed_at = self.renewed_at.get();
        let since_renewal = cx.clock.now().since(renewed_at.at);
        let is_out = !self.is_recovered() || self.is_releasing() || self.is_suspended();
        if is_out || since_renewal >= lease::LEASE {
            return false;
        }
        let at_most = cx.clock.at_most_since(renewed_at);
        if at_most < lease::exclusive_for(&cx.cfg.leases) {
            return true;
        }
        let outcome = self.journal.append(&[]).outcome();
        let outcome = tokio::time::timeout(jobs::ANSWER_WITHIN, outcome).await;
        let since_renewal_ms = millis(at_most);
        log::info!(shard:% = self.handle.partition, token = self.token(), since_renewal_ms, outcome:?; "renewal is overdue; ownership is checked in the store");
        outcome == Ok(AppendOutcome::Durable)
    }

    /// Whether leases may be sent to workers.
    pub fn may_renew(&self, cx: &Cx) -> bool {
        self.lease_length(cx).is_some()
    }

    /// Length of a lease that is sent now. None may be sent that ends after the time for which the
    /// next owner waits, also if the host was suspended, none before the store holds a row that says
    /// so, none once the lease is being released, and none while the owner is suspended.
    pub fn lease_length(&self, cx: &Cx) -> Option<Duration> {
        let since_renewal = cx.clock.at_most_since(self.renewed_at.get());
        let is_held = self.is_serving() && self.may_have_sent_leases() && !self.is_releasing();
        let length = cx.cfg.leases.sent(since_renewal);
        length.filter(|_| is_held && !self.is_suspended())
    }

    /// Whether start orders may be sent: for a shorter time after a renewal than other leases, since
    /// a later incarnation of a worker may execute them.
    pub fn may_start(&self, cx: &Cx) -> bool {
        let since_renewal = cx.clock.at_most_since(self.renewed_at.get());
        self.may_renew(cx) && since_renewal < cx.cfg.leases.start_hold
    }

    /// Whether leases may have been sent to workers.
    pub fn may_have_sent_leases(&self) -> bool {
        self.may_have_sent_leases.get()
    }

    /// Allows leases to be sent, as a row of this owner without a last sender is in the store.
    pub fn start_sending_leases(&self) {
        if !self.may_have_sent_leases.replace(true) {
            let version = self.lease_version.get();
            log::info!(shard:% = self.handle.partition, token = self.token(), version; "leases may be sent");
            self.wake.notify_one();
        }
    }

    /// The last owner that may have sent leases, if this one has sent none.
    pub fn sender_before(&self, cx: &Cx) -> Option<LastSender> {
        let holder = self.previous_owner.clone()?;
        let before = self.earlier_owners.get().before().left(cx.clock.now());
        (!self.may_have_sent_leases()).then(|| LastSender {
            holder,
            token: self.replaced_token,
            earlier_may_send_ms: cx.cfg.leases.may_send_ms(before),
        })
    }

    /// Whether the lease is being released.
    pub fn is_releasing(&self) -> bool {
        self.is_releasing.get()
    }

    /// Stops sending leases to workers for good. A release row proves to the next owner that none
    /// is sent after it, also if its write takes effect late.
    pub fn stop_sending_leases(&self) {
        self.is_releasing.set(true);
    }

    /// Until when runs of earlier owners may be alive on a worker that has not answered this owner
    /// yet.
    fn inherited_bound(&self, worker: &str) -> LeaseBound {
        let mut bound = LeaseBound::inherited(self.earlier_owners.get().ends());
        if let Some(silent) = self.silent_before.borrow().get(worker) {
            bound.note_written_end(silent.ends);
        }
        if let Some(unsettled) = self.unsettled_before.get(worker) {
            bound.note_unsettled(unsettled.until);
        }
        bound
    }

    /// Ends the ownership: stops journal writes and dispatch, and removes the owner from the shard.
    pub fn mark_lost(&self, why: &str) {
        if self.status.replace(Status::Lost) == Status::Lost {
            return;
        }
        self.journal.stop();
        self.wake.notify_one();
        self.lost.notify_one();
        self.suspension.wake_all();
        let mut held = self.handle.owner.borrow_mut();
        let is_held = held
            .as_ref()
            .is_some_and(|owner| owner.token() == self.token());
        if is_held {
            *held = None;
        }
        log::warn!(shard:% = self.handle.partition, token = self.token(), why; "shard is lost");
    }

    /// Applies events to the ledger and appends the valid ones to the journal. An invalid event
    /// comes from a decision on stale state; it is dropped and logged.
    pub fn propose(&self, cx: &Cx, events: Vec<Event>) -> Ticket {
        let mut valid = Vec::with_capacity(events.len());
        for event in events {
            let event = self.ledger.borrow().recorded(event);
            let applied = self.ledger.borrow_mut().apply(&event);
            match applied {
                Ok(()) => valid.push(event),
                Err(e) => log::warn!(error:% = e; "invalid event dropped"),
            }
        }
        cx.metrics.events.inc_by(valid.len() as u64);
        self.journal.append(&valid)
    }

    /// The serialised state of the shard. Without the rows of its runs, the next owner would take all
    /// of them for placed in the last row that a snapshot covers, which no lease row may name yet.
    fn snapshot_state(&self) -> Vec<u8> {
        let runs = self.runs.borrow();
        let long_running = runs.iter().filter(|(_, record)| record.is_long_running);
        let placed_rows = long_running.filter_map(|(run, record)| Some((*run, record.placed_row?)));
        self.ledger.borrow_mut().placed_rows = placed_rows.collect();
        let state = serde_json::to_vec(&*self.ledger.borrow());
        self.ledger.borrow_mut().placed_rows.clear();
        state.unwrap_or_default()
    }

    /// Removes a job that has ended from the active ones; callers see its end once that is durable.
    pub fn note_if_ended(self: &Rc<Self>, cx: &Cx, job: JobId) {
        let phase = self.ledger.borrow().jobs.get(&job).map(|job| job.phase);
        let has_ended = phase.is_some_and(|phase| phase != Phase::Active);
        if !has_ended || !self.active.borrow_mut().swap_remove(&job) {
            return;
        }
        self.ending.borrow_mut().insert(job);
        self.sharing.borrow_mut().forget_job(job);
        self.note_duration(cx, job);
        // An empty append is durable once everything before it is.
        let ticket = self.journal.append(&[]);
        let (cx, owner) = (Rc::clone(cx), Rc::clone(self));
        supervisor::spawn("job-over", async move {
            if ticket.outcome().await != AppendOutcome::Durable {
                return;
            }
            owner.ending.borrow_mut().swap_remove(&job);
            owner.failed_on.borrow_mut().forget_job(job);
            owner.place_waits.borrow_mut().forget_job(job);
            owner.loads.borrow_mut().retain(|step, _| step.job != job);
            owner
                .wait_reasons
                .borrow_mut()
                .retain(|step, _| step.job != job);
            owner.send_job_end(job);
            owner.note_ended(&cx, job);
            runs::stop_all_of(&cx, &owner, job);
        });
    }

    /// Updates the duration estimates of a queue with a completed job.
    fn note_duration(&self, cx: &Cx, id: JobId) {
        let started_at = self.started_at.borrow_mut().swap_remove(&id);
        let ledger = self.ledger.borrow();
        let job = ledger.jobs.get(&id);
        let job = job.filter(|job| job.phase == Phase::Completed && job.spec.schedule.is_none());
        if let (Some(job), Some(started_at)) = (job, started_at) {
            let took_ms = millis(cx.clock.now().since(started_at));
            let chain_ms = job.spec.longest_chain_ms();
            let mut durations = self.durations.borrow_mut();
            durations.note(&job.terms.queue, chain_ms, took_ms);
        }
    }

    fn note_ended(&self, cx: &Cx, id: JobId) {
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

/// Starts the components of an owner; they run until the shard is lost.
pub fn start(cx: &Cx, owner: Rc<Owner>) {
    cx.metrics.takeovers.inc();
    let (renewing, held) = (Rc::clone(cx), Rc::clone(&owner));
    supervisor::spawn("lease", async move { lease::renew(&renewing, &held).await });
    let noted = stop_note::write_when_lost(Rc::clone(cx), Rc::clone(&owner));
    supervisor::spawn("stop-note", noted);
    // On a slow store recovery takes seconds, in which the previous owner's process may prove to have
    // ended.
    let followed = previous_owner::follow(Rc::clone(cx), Rc::clone(&owner));
    supervisor::spawn("predecessor", followed);
    let cx = Rc::clone(cx);
    supervisor::spawn("owner", async move {
        if recover(&cx, &owner).await {
            serve(&cx, &owner);
        }
    });
}

async fn recover(cx: &Cx, owner: &Rc<Owner>) -> bool {
    while owner.is_serving() {
        let learned = estimates::load_estimates(cx, owner);
        let standby = handover::take_standby(cx, &owner.handle);
        let recovered = owner.journal.recover_from(cx, standby);
        match futures::join!(recovered, learned).0 {
            Ok((mut ledger, mut placed_rows)) => {
                placed_rows.extend(std::mem::take(&mut ledger.placed_rows));
                adopt(cx, owner, ledger, &placed_rows);
                return owner.is_serving();
            }
            Err(e) => log::warn!(error:% = format!("{e:#}"); "recovery failed"),
        }
        tokio::time::sleep(RECOVERY_RETRY).await;
    }
    false
}

/// Installs the recovered ledger; every live run in it may still be on its worker.
fn adopt(cx: &Cx, owner: &Rc<Owner>, ledger: Ledger, placed_rows: &IndexMap<RunId, u64>) {
    let active = ledger.jobs.iter().filter(|(_, j)| j.phase == Phase::Active);
    owner.active.borrow_mut().extend(active.map(|(id, _)| *id));
    let live: Vec<_> = ledger
        .live_runs()
        .map(|(run, live)| (run, live.on.clone()))
        .collect();
    let (jobs, runs) = (ledger.jobs.len(), live.len());
    *owner.ledger.borrow_mut() = ledger;
    for (run, on) in live {
        owner.add_inherited(cx, run, &on, placed_rows.get(&run).copied());
    }
    owner.recovered_at.set(Some(cx.clock.now()));
    if owner.is_serving() {
        owner.status.set(Status::Serving);
    }
    stop_runs_of_ended_jobs(cx, owner);
    let took_ms = cx.clock.now().since(owner.taken_at).as_millis() as u64;
    let row_bytes = owner.journal.usage().bytes;
    log::info!(shard:% = owner.handle.partition, token = owner.token(), jobs, runs, took_ms, row_bytes; "shard recovered");
    handover::note_recovered(cx, &owner.handle);
}

/// Stops runs of ended jobs: the previous owner may have ended between a job's end and the stop
/// orders.
fn stop_runs_of_ended_jobs(cx: &Cx, owner: &Rc<Owner>) {
    let ledger = owner.ledger.borrow();
    let ended = ledger
        .jobs
        .iter()
        .filter(|(_, job)| job.phase != Phase::Active);
    let ended: Vec<JobId> = ended.map(|(id, _)| *id).collect();
    drop(ledger);
    for job in ended {
        runs::stop_all_of(cx, owner, job);
    }
}

fn serve(cx: &Cx, owner: &Rc<Owner>) {
    let components: [(&'static str, LocalBoxFuture<'static, ()>); 10] = [
        (
            "first-contact",
            Rc::clone(owner)
                .renew_after_first_contact(Rc::clone(cx))
                .boxed_local(),
        ),
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
            "returns",
            returns::run(Rc::clone(cx), Rc::clone(owner)).boxed_local(),
        ),
        (
            "moves",
            moves::run(Rc::clone(cx), Rc::clone(owner)).boxed_local(),
        ),
        (
            "learned",
            estimates::store_estimates(Rc::clone(cx), Rc::clone(owner)).boxed_local(),
        ),
        (
            "learned-by-others",
            estimates::receive_updates(Rc::clone(cx), Rc::clone(owner)).boxed_local(),
        ),
    ];
    for (name, component) in components {
        supervisor::spawn(name, component);
    }
    if cx.cfg.features.load_routing {
        let exchange = shard_loads::exchange(Rc::clone(cx), Rc::clone(owner));
        supervisor::spawn("shard-loads", exchange);
    }
}

async fn write_journal(cx: Cx, owner: Rc<Owner>) {
    let state = || owner.snapshot_state();
    owner.journal.write_all(&cx, state).await;
    owner.mark_lost("the journal was fenced");
}
