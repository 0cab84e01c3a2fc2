//! A state of the specification, small enough to keep hundreds of thousands, and its conversions to
//! the project's own types.
//!
//! Three reductions keep the state space finite. The current time is always [`NOW`], and with each
//! tick every recorded time moves back by one, down to [`LONG_AGO`], which is older than any span
//! that is compared. Epochs and attempts are only compared and incremented, so [`State::normalise`]
//! renumbers those in use. Of earlier owners only the identity matters, so equal records are
//! merged.

use indexmap::IndexMap;
use lapisdrum::{
    core::{
        id::{DaemonId, EntryName, Epoch, Incarnation, JobId, WorkerId},
        job::{Attempt, Job, JobEnd, JobPhase, Placement},
        size::Size,
        time::{Millis, WorkerMillis},
    },
    state::{
        ledger::{self, Event, OwnerRecord},
        ownership::{Holder, LeaseTerms, ShardRow, Tenure},
    },
    worker::wire::{StartTask, TaskState},
};
use lapisdrum_standins::worker::tasks::{TaskPlan, Tasks};
use std::time::Duration;

/// The current time on every clock, in ticks.
pub(super) const NOW: u8 = 20;
/// Lower bound of recorded times.
pub(super) const LONG_AGO: u8 = NOW - 6;
/// Duration of a shard's lease, in ticks.
pub(super) const LEASE: u8 = 1;
/// Duration of a task's lease, in ticks.
pub(super) const TASK_LEASE: u8 = 1;
/// Hold time of the job, in ticks.
pub(super) const HOLD: u8 = 4;
/// Indices of the daemons and of the workers.
pub(super) const PAIR: [u8; 2] = [0, 1];
/// Maximum number of different owner records that matter at a time.
const MAX_OWNERS: usize = 8;

pub(super) fn span(ticks: u8) -> Duration {
    Duration::from_millis(ticks.into())
}

pub(super) fn millis(point: u8) -> Millis {
    Millis(point.into())
}

pub(super) fn terms() -> LeaseTerms {
    LeaseTerms {
        lease: span(LEASE),
        drift_permille: 0,
    }
}

/// State of the run of a daemon that owned the shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Run {
    /// May be alive.
    Present,
    /// Died, which nobody can observe.
    Dead,
    /// Died, and its daemon has restarted at the same address.
    Replaced,
    /// Released the shard.
    Released,
}

/// An owner in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Owner {
    pub(super) epoch: u8,
    pub(super) daemon: u8,
    pub(super) run: Run,
}

/// The task's phase in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Phase {
    Waiting,
    Placed { worker: u8, epoch: u8, attempt: u8 },
    Done,
}

/// The ledger's state for one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct TaskLedger {
    pub(super) phase: Phase,
    pub(super) attempts: u8,
    pub(super) owners: [Option<Owner>; MAX_OWNERS],
}

/// The ownership of a daemon that has taken the shard, serving or not yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Ownership {
    pub(super) epoch: u8,
    /// When the last renewal that is known to have taken effect was sent.
    pub(super) renewed_at: u8,
    pub(super) since: u8,
    pub(super) serving: bool,
    /// Whether it wrote the last event of a graceful end.
    pub(super) ended: bool,
    /// When a renewal was sent that took effect and whose answer is in flight.
    pub(super) awaiting: Option<u8>,
    /// By worker: the attempt whose start was answered.
    pub(super) started: [Option<u8>; 2],
    /// By worker: the end of the last lease sent.
    pub(super) lease_ends: [Option<u8>; 2],
    /// The attempt of a committed placement whose start has not been sent.
    pub(super) to_start: Option<u8>,
    /// The last ledger that this owner knows, once another owner writes.
    pub(super) view: Option<TaskLedger>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Daemon {
    pub(super) alive: bool,
    /// When its current run started.
    pub(super) started_at: u8,
    /// Since when it has seen the shard's row unchanged.
    pub(super) seen_since: u8,
    pub(super) own: Option<Ownership>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Row {
    pub(super) epoch: u8,
    /// Whether it names a holder; the epoch determines which.
    pub(super) is_held: bool,
}

/// The task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct TaskCopy {
    pub(super) attempt: u8,
    pub(super) until: u8,
    pub(super) ran: Ran,
}

/// State of a copy: [`TaskState`] without what the specification does not use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Ran {
    Running,
    Finished,
    Stopped,
    Lapsed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Host {
    pub(super) alive: bool,
    pub(super) epoch: u8,
    pub(super) copy: Option<TaskCopy>,
}

/// A command in flight, which may arrive at any later time or never.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Message {
    pub(super) worker: u8,
    pub(super) epoch: u8,
    pub(super) until: u8,
    /// The attempt to start; `None` for a renewal.
    pub(super) start: Option<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct State {
    pub(super) row: Row,
    pub(super) task_ledger: TaskLedger,
    pub(super) daemons: [Daemon; 2],
    pub(super) hosts: [Host; 2],
    pub(super) late: Option<Message>,
}

pub(super) fn job_id() -> JobId {
    JobId::try_from("a.0-1").unwrap_or_else(|e| unreachable!("{e}"))
}

pub(super) fn worker_id(worker: u8) -> WorkerId {
    WorkerId::try_from(["w0", "w1"][usize::from(worker)]).unwrap_or_else(|e| unreachable!("{e}"))
}

/// One run of a daemon.
pub(super) fn holder(daemon: u8, run: Run) -> Holder {
    let name = ["d0", "d1"][usize::from(daemon)];
    Holder {
        daemon: DaemonId::try_from(name).unwrap_or_else(|e| unreachable!("{e}")),
        incarnation: Incarnation(run as u64),
        address: name.to_owned(),
    }
}

/// More than half of a worker, so that two copies do not fit on one.
pub(super) fn task_size() -> Size {
    Size {
        millicores: 600,
        memory_mb: 600,
        accelerators: 0,
    }
}

pub(super) fn capacity() -> Size {
    Size {
        millicores: 1_000,
        memory_mb: 1_000,
        accelerators: 0,
    }
}

impl State {
    /// The initial state: a job is accepted, nobody owns the shard.
    pub(super) fn start() -> Self {
        let daemon = Daemon {
            alive: true,
            started_at: LONG_AGO,
            seen_since: LONG_AGO,
            own: None,
        };
        let host = Host {
            alive: true,
            epoch: 0,
            copy: None,
        };
        Self {
            row: Row {
                epoch: 0,
                is_held: false,
            },
            task_ledger: TaskLedger {
                phase: Phase::Waiting,
                attempts: 0,
                owners: [None; MAX_OWNERS],
            },
            daemons: [daemon; 2],
            hosts: [host; 2],
            late: None,
        }
    }

    /// The ledger as a serving owner sees it.
    pub(super) fn view(&self, own: &Ownership) -> TaskLedger {
        own.view.unwrap_or(self.task_ledger)
    }

    pub(super) fn shard_row(&self) -> ShardRow {
        ShardRow {
            epoch: Epoch(self.row.epoch.into()),
            holder: self.row.is_held.then(|| holder(0, Run::Present)),
            renewals: 0,
        }
    }

    /// One tick of every clock.
    pub(super) fn age(&mut self) {
        for daemon in &mut self.daemons {
            age(&mut daemon.started_at);
            age(&mut daemon.seen_since);
            if let Some(own) = &mut daemon.own {
                age(&mut own.renewed_at);
                age(&mut own.since);
                age_all(own.awaiting.as_mut());
                age_all(own.lease_ends.iter_mut().flatten());
            }
        }
        let copies = self.hosts.iter_mut().filter_map(|host| host.copy.as_mut());
        age_all(copies.map(|copy| &mut copy.until));
        age_all(self.late.as_mut().map(|message| &mut message.until));
    }

    /// Renumbers epochs and attempts and drops what no later step depends on. `drops_late` also
    /// drops late messages without effect, which is valid only with every safeguard in place.
    pub(super) fn normalise(&mut self, drops_late: bool) {
        if drops_late {
            self.forget_late();
            self.forget_late_answers();
        }
        self.forget_owners();
        self.task_ledger.forget();
        let task_ledger = self.task_ledger;
        let owns: Vec<Ownership> = self
            .daemons
            .iter()
            .filter_map(|daemon| daemon.own)
            .collect();
        for (daemon, index) in self.daemons.iter_mut().zip(PAIR) {
            forget_beyond(TASK_LEASE, &mut daemon.started_at);
            let views = owns.iter().filter_map(|own| own.view);
            let task_ledgers: Vec<TaskLedger> = views.chain([task_ledger]).collect();
            if !task_ledgers
                .iter()
                .any(|task_ledger| task_ledger.names(index, Run::Replaced))
            {
                daemon.started_at = LONG_AGO;
            }
            // A death that no later step depends on.
            daemon.alive |= !task_ledgers
                .iter()
                .any(|task_ledger| task_ledger.names(index, Run::Dead));
            forget_beyond(LEASE, &mut daemon.seen_since);
            if let Some(own) = &mut daemon.own {
                own.forget(&task_ledger);
            }
        }
        self.forget_copies();
        self.forget_all_when_done();
        self.renumber_epochs();
        self.renumber_attempts();
    }

    /// An owner that was superseded cannot write. It may still send a start, or renew what it takes
    /// for placed; if it can do neither, it equals an owner that knows of its loss.
    fn forget_owners(&mut self) {
        let row = self.row;
        for daemon in &mut self.daemons {
            let Some(own) = &mut daemon.own else {
                continue;
            };
            if own.epoch == row.epoch && row.is_held {
                daemon.seen_since = LONG_AGO;
                continue;
            }
            // A start needs a valid lease, a renewal does not.
            if !own.tenure().may_act(millis(NOW), &terms()) && own.awaiting.is_none() {
                own.to_start = None;
            }
            let right = own.tenure().right_until(span(HOLD), &terms());
            let right_has_ended = right <= millis(NOW) && own.awaiting.is_none();
            let is_renewing = own.serving && !own.ended && !right_has_ended && own.renews();
            if !is_renewing && own.to_start.is_none() {
                daemon.own = None;
            }
        }
        if !row.is_held {
            self.daemons
                .iter_mut()
                .for_each(|daemon| daemon.seen_since = LONG_AGO);
        }
    }

    /// An answer is the same as a lost one if it reports a renewal no newer than a known one, or
    /// one too old to give a lease or the right to renew tasks.
    fn forget_late_answers(&mut self) {
        for own in self
            .daemons
            .iter_mut()
            .filter_map(|daemon| daemon.own.as_mut())
        {
            let has_no_effect =
                |sent_at: &mut u8| *sent_at <= own.renewed_at || NOW - *sent_at >= HOLD;
            if own.awaiting.as_mut().is_some_and(has_no_effect) {
                own.awaiting = None;
            }
        }
    }

    /// Drops a late command that would be refused, or that would renew a task that is not running.
    fn forget_late(&mut self) {
        let Some(message) = self.late else {
            return;
        };
        let host = &self.hosts[usize::from(message.worker)];
        let has_no_effect = message.start.is_none() && !host.is_running();
        // Applies the worker's own rules to a command under this epoch and with this end.
        let mut probe = Tasks::new(capacity());
        probe.epoch = Epoch(host.epoch.into());
        let start = start_task(message.epoch, 1, message.until);
        let answer = probe.start(WorkerMillis(NOW.into()), &job_id(), &start, PLAN);
        if answer.is_err() || has_no_effect {
            self.late = None;
        }
    }

    /// Once the job is done and nothing runs or is in flight, nothing can run again.
    fn forget_all_when_done(&mut self) {
        let is_still = self.hosts.iter().all(|host| !host.is_running()) && self.late.is_none();
        let mut owns = self.daemons.iter().filter_map(|daemon| daemon.own);
        if self.task_ledger.phase == Phase::Done
            && is_still
            && owns.all(|own| own.to_start.is_none())
        {
            *self = Self::start();
            self.task_ledger.phase = Phase::Done;
        }
    }

    /// A copy that has ended and is not the placed attempt is stopped at the next poll.
    fn forget_copies(&mut self) {
        let mut placed: Vec<u8> = vec![self.task_ledger.attempts];
        let owns = self.daemons.iter().filter_map(|daemon| daemon.own);
        placed.extend(owns.filter_map(|own| own.view).map(|view| view.attempts));
        placed.extend(self.late.and_then(|message| message.start));
        for host in &mut self.hosts {
            let Some(copy) = host.copy.as_mut().filter(|copy| copy.ran != Ran::Running) else {
                continue;
            };
            copy.until = LONG_AGO;
            if copy.ran == Ran::Stopped {
                copy.ran = Ran::Lapsed;
            }
            if !placed.contains(&copy.attempt) {
                host.copy = None;
            }
        }
    }

    /// Epochs of commands that may still arrive get even numbers in order, and a worker's epoch
    /// between two of them an odd one. All others in the ledger are earlier than any of them.
    fn renumber_epochs(&mut self) {
        let owns = self.daemons.iter().filter_map(|daemon| daemon.own);
        let mut live: Vec<u8> = owns.map(|own| own.epoch).collect();
        live.extend(self.late.map(|message| message.epoch));
        live.push(self.row.epoch);
        live.retain(|epoch| *epoch > 0);
        live.sort_unstable();
        live.dedup();
        let below = |epoch: u8| to_u8(live.partition_point(|at| *at < epoch) as u64);
        let rank = |epoch: u8| match live.contains(&epoch) {
            true => 2 * below(epoch) + 2,
            false if below(epoch) == 0 => 0,
            false => 2 * below(epoch) + 1,
        };
        let in_ledger = |epoch: u8| match live.contains(&epoch) {
            true => rank(epoch),
            false => 1,
        };
        self.row.epoch = rank(self.row.epoch);
        self.task_ledger.map_epochs(in_ledger);
        for own in self
            .daemons
            .iter_mut()
            .filter_map(|daemon| daemon.own.as_mut())
        {
            own.epoch = rank(own.epoch);
            if let Some(view) = &mut own.view {
                view.map_epochs(in_ledger);
            }
        }
        for host in &mut self.hosts {
            host.epoch = rank(host.epoch);
        }
        if let Some(message) = &mut self.late {
            message.epoch = rank(message.epoch);
        }
    }

    fn renumber_attempts(&mut self) {
        let mut attempts: Vec<&mut u8> = Vec::new();
        self.task_ledger.attempts(&mut attempts);
        for own in self
            .daemons
            .iter_mut()
            .filter_map(|daemon| daemon.own.as_mut())
        {
            attempts.extend(own.started.iter_mut().flatten());
            attempts.extend(own.to_start.as_mut());
            if let Some(view) = &mut own.view {
                view.attempts(&mut attempts);
            }
        }
        for host in &mut self.hosts {
            attempts.extend(host.copy.as_mut().map(|copy| &mut copy.attempt));
        }
        attempts.extend(
            self.late
                .as_mut()
                .and_then(|message| message.start.as_mut()),
        );
        renumber(attempts);
    }

    /// The same state with daemons or workers swapped: the two are equivalent.
    fn swapped(&self, daemons: bool, workers: bool) -> Self {
        let mut out = self.clone();
        if daemons {
            out.daemons.swap(0, 1);
        }
        if workers {
            out.hosts.swap(0, 1);
        }
        let turn = |index: &mut u8, swap: bool| *index = if swap { 1 - *index } else { *index };
        let swap_in = |task_ledger: &mut TaskLedger| {
            if let Phase::Placed { worker, .. } = &mut task_ledger.phase {
                turn(worker, workers);
            }
            task_ledger
                .owners_mut()
                .for_each(|owner| turn(&mut owner.daemon, daemons));
        };
        swap_in(&mut out.task_ledger);
        for own in out
            .daemons
            .iter_mut()
            .filter_map(|daemon| daemon.own.as_mut())
        {
            if workers {
                own.started.swap(0, 1);
                own.lease_ends.swap(0, 1);
            }
            if let Some(view) = &mut own.view {
                swap_in(view);
                view.forget();
            }
        }
        if let Some(message) = &mut out.late {
            turn(&mut message.worker, workers);
        }
        out.task_ledger.forget();
        out
    }

    /// The least of the up to four states that differ only in the order of daemons or workers.
    pub(super) fn canonical(self) -> Self {
        let others = [(true, false), (false, true), (true, true)];
        let others = others.map(|(daemons, workers)| self.swapped(daemons, workers));
        others.into_iter().fold(self, Ord::min)
    }
}

fn age(point: &mut u8) {
    *point = (*point - 1).max(LONG_AGO);
}

fn age_all<'a>(points: impl IntoIterator<Item = &'a mut u8>) {
    points.into_iter().for_each(age);
}

/// Merges all times further back than `span`.
fn forget_beyond(span: u8, point: &mut u8) {
    *point = (*point).max(NOW - span - 1);
}

/// Renumbers densely in the same order; 0 stays 0.
fn renumber(numbers: Vec<&mut u8>) {
    let mut used: Vec<u8> = numbers.iter().map(|number| **number).collect();
    used.push(0);
    used.sort_unstable();
    used.dedup();
    for number in numbers {
        let rank = used.binary_search(number).unwrap_or_default();
        *number = u8::try_from(rank).unwrap_or(u8::MAX);
    }
}

impl TaskLedger {
    fn attempts<'a>(&'a mut self, attempts: &mut Vec<&'a mut u8>) {
        attempts.push(&mut self.attempts);
        if let Phase::Placed { attempt, .. } = &mut self.phase {
            attempts.push(attempt);
        }
    }

    fn map_epochs(&mut self, map: impl Fn(u8) -> u8) {
        if let Phase::Placed { epoch, .. } = &mut self.phase {
            *epoch = map(*epoch);
        }
        for owner in self.owners.iter_mut().flatten() {
            owner.epoch = map(owner.epoch);
        }
    }

    fn names(&self, daemon: u8, run: Run) -> bool {
        let mut owners = self.owners.iter().flatten();
        owners.any(|owner| owner.daemon == daemon && owner.run == run)
    }

    /// Owners before the task's placement are never considered again. Of the others but the last
    /// only the identity matters, so they get the placement's epoch and equal ones are merged.
    fn forget(&mut self) {
        let owners: Vec<Owner> = self.owners.iter().flatten().copied().collect();
        let Some((last, earlier)) = owners.split_last() else {
            return;
        };
        let placed = match self.phase {
            Phase::Placed { epoch, .. } => Some(epoch),
            Phase::Waiting | Phase::Done => None,
        };
        let suspects = earlier
            .iter()
            .filter(|owner| placed.is_some_and(|at| owner.epoch >= at));
        let mut kept: Vec<Owner> = suspects
            .map(|owner| Owner {
                epoch: placed.unwrap_or_default(),
                ..*owner
            })
            .collect();
        kept.sort_unstable();
        kept.dedup();
        // Released owners matter only if there are no others.
        let is_released = |owner: &Owner| owner.run == Run::Released;
        if kept.iter().all(is_released) {
            kept.truncate(1);
            kept.iter_mut().for_each(|owner| owner.daemon = 0);
        } else {
            kept.retain(|owner| !is_released(owner));
        }
        kept.push(*last);
        self.set_owners(&kept);
    }

    fn set_owners(&mut self, owners: &[Owner]) {
        assert!(
            owners.len() <= MAX_OWNERS,
            "more owner records than expected"
        );
        self.owners = [None; MAX_OWNERS];
        for (place, owner) in self.owners.iter_mut().zip(owners) {
            *place = Some(*owner);
        }
    }

    pub(super) fn owners_mut(&mut self) -> impl Iterator<Item = &mut Owner> {
        self.owners.iter_mut().flatten()
    }

    /// The project's own ledger state.
    pub(super) fn to_ledger(self) -> ledger::State {
        let phase = match self.phase {
            Phase::Waiting => JobPhase::Waiting,
            Phase::Placed {
                worker,
                epoch,
                attempt,
            } => JobPhase::Placed(placement(worker, epoch, attempt)),
            Phase::Done => JobPhase::Ended(JobEnd::Done),
        };
        let job = Job {
            entry: EntryName::try_from("stream").unwrap_or_else(|e| unreachable!("{e}")),
            size: task_size(),
            hold: span(HOLD),
            phase,
            attempts: Attempt(self.attempts.into()),
            failures: 0,
            checkpoint: None,
            cancelling: false,
        };
        let owners = self.owners.iter().flatten().map(|owner| OwnerRecord {
            epoch: Epoch(owner.epoch.into()),
            holder: holder(owner.daemon, owner.run),
            released: owner.run == Run::Released,
        });
        let mut state = ledger::State {
            jobs: IndexMap::from([(job_id(), job)]),
            owners: owners.collect(),
            ..ledger::State::default()
        };
        state.committed = state.recount();
        state
    }

    /// This ledger after an event, by the project's own `apply`, or `None` if the event is invalid.
    pub(super) fn apply(&self, event: &Event) -> Option<Self> {
        let mut state = self.to_ledger();
        state.apply(event).ok()?;
        assert_eq!(state.committed, state.recount());
        let job = &state.jobs[&job_id()];
        let phase = match &job.phase {
            JobPhase::Waiting => Phase::Waiting,
            JobPhase::Placed(placement) => Phase::Placed {
                worker: u8::from(placement.worker == worker_id(1)),
                epoch: to_u8(placement.epoch.0),
                attempt: to_u8(placement.attempt.0.into()),
            },
            JobPhase::Ended(_) => Phase::Done,
        };
        let mut after = Self {
            phase,
            attempts: to_u8(job.attempts.0.into()),
            ..*self
        };
        let owners: Vec<Owner> = state.owners.iter().map(Owner::from_record).collect();
        after.set_owners(&owners);
        Some(after)
    }
}

impl Owner {
    pub(super) fn from_record(record: &OwnerRecord) -> Self {
        let runs = [Run::Present, Run::Dead, Run::Replaced, Run::Released];
        let is_run = |run: &Run| record.holder.incarnation == Incarnation(*run as u64);
        let run = runs.into_iter().find(is_run).unwrap_or(Run::Present);
        Self {
            epoch: to_u8(record.epoch.0),
            daemon: u8::from(record.holder.daemon.as_str() == "d1"),
            run: if record.released { Run::Released } else { run },
        }
    }
}

pub(super) fn to_u8(number: u64) -> u8 {
    u8::try_from(number).unwrap_or_else(|e| unreachable!("a small number: {e}"))
}

pub(super) fn placement(worker: u8, epoch: u8, attempt: u8) -> Placement {
    Placement {
        worker: worker_id(worker),
        epoch: Epoch(epoch.into()),
        attempt: Attempt(attempt.into()),
    }
}

impl Ownership {
    /// Whether this owner, if superseded, takes a task for placed that it may renew.
    fn renews(&self) -> bool {
        match self.view.map(|view| view.phase) {
            Some(Phase::Placed { worker, epoch, .. }) => {
                epoch < self.epoch || self.started[usize::from(worker)].is_some()
            }
            Some(Phase::Waiting | Phase::Done) => false,
            None => true,
        }
    }

    /// Drops what no later step depends on, by the ledger as this owner knows it.
    fn forget(&mut self, task_ledger: &TaskLedger) {
        if let Some(view) = &mut self.view {
            view.owners = [None; MAX_OWNERS];
            self.lease_ends = [None; 2];
            self.since = LONG_AGO;
        }
        forget_beyond(HOLD, &mut self.renewed_at);
        forget_beyond(HOLD, &mut self.since);
        let placed = match self.view.unwrap_or(*task_ledger).phase {
            Phase::Placed { worker, epoch, .. } => Some((worker, epoch)),
            Phase::Waiting | Phase::Done => None,
        };
        if placed.is_none_or(|(_, epoch)| epoch == self.epoch) {
            self.since = LONG_AGO;
        }
        for worker in PAIR {
            let is_placed = placed.is_some_and(|(at, _)| at == worker);
            let index = usize::from(worker);
            if !is_placed {
                self.started[index] = None;
                self.lease_ends[index] = None;
            }
            if let Some(end) = &mut self.lease_ends[index] {
                forget_beyond(0, end);
            }
        }
    }

    pub(super) fn tenure(&self) -> Tenure {
        Tenure {
            epoch: Epoch(self.epoch.into()),
            renewed_at: millis(self.renewed_at),
        }
    }
}

/// A task that never ends by itself: its end is a step of the specification.
pub(super) const PLAN: TaskPlan = TaskPlan {
    work_ms: None,
    checkpoint_ms: 1,
    fails: false,
};

pub(super) fn start_task(epoch: u8, attempt: u8, until: u8) -> StartTask {
    StartTask {
        epoch: Epoch(epoch.into()),
        until_ms: until.into(),
        attempt: Attempt(attempt.into()),
        entry: "stream".to_owned(),
        size: task_size(),
        checkpoint: None,
    }
}

impl Host {
    /// Applies the worker's own rules to this worker.
    pub(super) fn with<T>(&mut self, action: impl FnOnce(&mut Tasks) -> T) -> T {
        let mut tasks = self.to_tasks();
        let out = action(&mut tasks);
        self.epoch = to_u8(tasks.epoch.0);
        self.copy = tasks.tasks.get(&job_id()).map(|task| TaskCopy {
            attempt: to_u8(task.attempt.0.into()),
            until: to_u8(task.until.0),
            ran: match task.state {
                TaskState::Running => Ran::Running,
                TaskState::Finished => Ran::Finished,
                TaskState::Stopped => Ran::Stopped,
                TaskState::Lapsed => Ran::Lapsed,
                TaskState::Failed => unreachable!("no task fails here"),
            },
        });
        out
    }

    fn to_tasks(self) -> Tasks {
        let mut tasks = Tasks::new(capacity());
        if let Some(copy) = self.copy {
            let start = start_task(0, copy.attempt, copy.until);
            let started = tasks.start(WorkerMillis(0), &job_id(), &start, PLAN);
            assert!(started.is_ok(), "a copy is rebuilt: {started:?}");
            tasks.tasks[&job_id()].state = match copy.ran {
                Ran::Running => TaskState::Running,
                Ran::Finished => TaskState::Finished,
                Ran::Stopped => TaskState::Stopped,
                Ran::Lapsed => TaskState::Lapsed,
            };
        }
        tasks.epoch = Epoch(self.epoch.into());
        tasks
    }

    pub(super) fn is_running(&self) -> bool {
        self.alive && self.copy.is_some_and(|copy| copy.ran == Ran::Running)
    }
}
