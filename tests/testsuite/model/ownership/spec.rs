//! The possible steps. Each does what the daemon's loops do, through the same functions.
//!
//! A paused daemon is one that takes no step, and a network cut is a sequence of lost messages, so
//! neither has a step of its own. A daemon's decision and the send that follows are one step, as
//! the code awaits nothing between them. The exception is a committed placement, whose start is a
//! separate step.

use super::state::{
    self, HOLD, Host, Message, NOW, Owner, Ownership, PAIR, PLAN, Phase, Ran, Run, State,
    TASK_LEASE, TaskLedger, holder, job_id, millis, span, start_task, terms, to_u8,
};
use lapisdrum::{
    core::{
        id::Epoch,
        job::{Attempt, JobEnd},
        time::WorkerMillis,
    },
    state::{
        fencing::{self, ClockReading, EarlierOwners, Evidence, WorkerEvidence},
        ledger::Event,
        ownership::{self, Availability, Sighting},
    },
    worker::wire::{RejectReason, RenewTasks},
};

/// A safeguard that a specification leaves out, to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Without {
    /// Without: a worker refuses commands of an older epoch.
    EpochCheck,
    /// Without: a command names the end of its lease. The lease then starts at its arrival.
    CommandEnd,
    /// Without: a successor waits for the hold time.
    HoldWait,
    /// Without: an owner counts its lease from sending the renewal. It then counts from the answer.
    LeaseFromSend,
    /// Without: a silent worker is not taken for dead.
    DeathEvidence,
}

/// What happens to a command and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    Answered,
    AnswerLost,
    /// In flight; see [`Step::LateArrives`].
    Late,
}

const DELIVERIES: [Delivery; 3] = [Delivery::Answered, Delivery::AnswerLost, Delivery::Late];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    Tick,
    Take {
        daemon: u8,
        answered: bool,
    },
    RenewRow(u8),
    RenewAnswered(u8),
    RenewAnswerLost(u8),
    ReadRowBack(u8),
    StartServing(u8),
    Claim {
        daemon: u8,
        worker: u8,
        answered: bool,
    },
    Poll {
        daemon: u8,
        worker: u8,
        delivery: Delivery,
    },
    Place {
        daemon: u8,
        worker: u8,
    },
    Start {
        daemon: u8,
        delivery: Delivery,
    },
    LateArrives,
    LateVanishes,
    GiveUpSilent(u8),
    GiveUpHost(u8),
    StopTask(u8),
    EndTenure(u8),
    Release {
        daemon: u8,
        answered: bool,
    },
    Die(u8),
    Restart(u8),
    Finish(u8),
    HostDies(u8),
}

/// The specification, complete or without one safeguard.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spec {
    pub(super) without: Option<Without>,
    /// Whether answers to renewals of the shard's row may also come late.
    pub(super) late_answers: bool,
    /// Whether daemons and hosts die.
    pub(super) deaths: bool,
}

impl Spec {
    fn lacks(&self, safeguard: Without) -> bool {
        self.without == Some(safeguard)
    }

    /// Every possible step, with the state after it.
    pub(super) fn next(&self, before: &State) -> Vec<(Step, State)> {
        let mut out = Vec::new();
        for step in steps() {
            let mut after = before.clone();
            if self.take(&mut after, step).is_some() {
                after.normalise(self.without.is_none());
                let after = after.canonical();
                if after != *before {
                    out.push((step, after));
                }
            }
        }
        out
    }

    /// Takes a step, or returns `None` if it is not possible.
    fn take(&self, s: &mut State, step: Step) -> Option<()> {
        match step {
            Step::Tick => tick(s),
            Step::Take { daemon, answered } => take_shard(s, daemon, answered),
            Step::RenewRow(d) => {
                renew_row(s, d)?;
                if !self.late_answers {
                    self.renew_answered(s, d)?;
                }
                Some(())
            }
            Step::RenewAnswered(d) => self.renew_answered(s, d),
            Step::RenewAnswerLost(d) => own_mut(s, d)?.awaiting.take().map(|_| ()),
            Step::ReadRowBack(d) => read_row_back(s, d),
            Step::StartServing(d) => start_serving(s, d),
            Step::Claim {
                daemon,
                worker,
                answered,
            } => self.claim(s, daemon, worker, answered),
            Step::Poll {
                daemon,
                worker,
                delivery,
            } => self.poll(s, daemon, worker, delivery),
            Step::Place { daemon, worker } => self.place(s, daemon, worker),
            Step::Start { daemon, delivery } => self.start(s, daemon, delivery),
            Step::LateArrives => {
                let message = s.late.take()?;
                let _ = self.deliver(s, message);
                Some(())
            }
            Step::LateVanishes => s.late.take().map(|_| ()),
            Step::GiveUpSilent(d) => self.give_up_silent(s, d),
            Step::GiveUpHost(d) => give_up_host(s, d),
            Step::StopTask(d) => self.stop_task(s, d),
            Step::EndTenure(d) => end_tenure(s, d),
            Step::Release { daemon, answered } => release(s, daemon, answered),
            Step::Die(_) | Step::HostDies(_) if !self.deaths => None,
            Step::Die(d) => die(s, d),
            Step::Restart(d) => restart(s, d),
            Step::Finish(w) => finish(s, w),
            Step::HostDies(w) => host_dies(s, w),
        }
    }

    fn renew_answered(&self, s: &mut State, d: u8) -> Option<()> {
        let own = own_mut(s, d)?;
        let sent_at = own.awaiting.take()?;
        let mut tenure = own.tenure();
        let from = match self.lacks(Without::LeaseFromSend) {
            true => NOW,
            false => sent_at,
        };
        tenure.renew(millis(from));
        own.renewed_at = to_u8(tenure.renewed_at.0);
        Some(())
    }

    fn claim(&self, s: &mut State, d: u8, w: u8, answered: bool) -> Option<()> {
        let own = serving(s, d)?;
        if is_claimed(s, &own, w) || !s.hosts[at(w)].alive {
            return None;
        }
        let epoch = Epoch(own.epoch.into());
        let accepted = self.on_worker(&mut s.hosts[at(w)], |tasks| tasks.claim(epoch).is_ok());
        if accepted && answered {
            reconcile(s, d, w);
        }
        Some(())
    }

    /// Renews everything placed on a worker; the answer lists the tasks there.
    fn poll(&self, s: &mut State, d: u8, w: u8, delivery: Delivery) -> Option<()> {
        let own = serving(s, d)?;
        if !is_claimed(s, &own, w) || !s.hosts[at(w)].alive {
            return None;
        }
        let renewed = match s.view(&own).phase {
            Phase::Placed { worker, epoch, .. }
                if worker == w && (epoch < own.epoch || own.started[at(w)].is_some()) =>
            {
                next_lease(s, d, w)
            }
            _ => None,
        };
        let message = Message {
            worker: w,
            epoch: own.epoch,
            until: renewed.unwrap_or(NOW),
            start: None,
        };
        if delivery == Delivery::Late {
            return renewed.and_then(|_| delay(s, message));
        }
        let accepted = self.deliver(s, message).is_ok();
        if accepted && delivery == Delivery::Answered {
            reconcile(s, d, w);
        }
        Some(())
    }

    fn place(&self, s: &mut State, d: u8, w: u8) -> Option<()> {
        let own = serving(s, d)?;
        if !is_claimed(s, &own, w) || !s.hosts[at(w)].alive || own.to_start.is_some() {
            return None;
        }
        let attempt = s.view(&own).attempts + 1;
        let placed = Event::Placed {
            job: job_id(),
            placement: state::placement(w, own.epoch, attempt),
        };
        commit(s, d, &placed)?;
        own_mut(s, d)?.to_start = Some(attempt);
        Some(())
    }

    fn start(&self, s: &mut State, d: u8, delivery: Delivery) -> Option<()> {
        let own = s.daemons[at(d)].own.filter(|own| own.serving)?;
        let attempt = own.to_start?;
        let worker = match s.view(&own).phase {
            Phase::Placed {
                worker, attempt: a, ..
            } if a == attempt => worker,
            _ => {
                own_mut(s, d)?.to_start = None;
                return Some(());
            }
        };
        own_mut(s, d)?.to_start = None;
        if own.ended {
            return Some(());
        }
        let may_act = own.tenure().may_act(millis(NOW), &terms());
        let Some(until) = may_act.then(|| next_lease(s, d, worker)).flatten() else {
            // Nothing was sent.
            own_mut(s, d)?.lease_ends[at(worker)] = Some(NOW);
            let _ = commit(s, d, &evicted(attempt));
            return Some(());
        };
        let message = Message {
            worker,
            epoch: own.epoch,
            until,
            start: Some(attempt),
        };
        if delivery == Delivery::Late {
            return delay(s, message);
        }
        if !s.hosts[at(worker)].alive {
            return Some(());
        }
        let answer = self.deliver(s, message);
        if delivery == Delivery::Answered {
            match answer {
                Ok(()) => own_mut(s, d)?.started[at(worker)] = Some(attempt),
                Err(_) => {
                    let _ = commit(s, d, &evicted(attempt));
                }
            }
        }
        Some(())
    }

    /// Delivers a command to its worker.
    fn deliver(&self, s: &mut State, message: Message) -> Result<(), RejectReason> {
        let host = &mut s.hosts[at(message.worker)];
        if !host.alive {
            return Err(RejectReason::UnknownTask);
        }
        let until = match self.lacks(Without::CommandEnd) {
            true => NOW + TASK_LEASE,
            false => message.until,
        };
        let now = WorkerMillis(NOW.into());
        let epoch = Epoch(message.epoch.into());
        self.on_worker(host, |tasks| match message.start {
            Some(attempt) => {
                let start = start_task(message.epoch, attempt, until);
                tasks.start(now, &job_id(), &start, PLAN).map(|_| ())
            }
            None => {
                let renew = RenewTasks {
                    epoch,
                    until_ms: until.into(),
                    exceptions: Vec::new(),
                    known_ms: 0,
                };
                tasks.renew(now, &renew).map(|_| ())
            }
        })
    }

    fn on_worker<T>(
        &self,
        host: &mut Host,
        action: impl FnOnce(&mut lapisdrum_standins::worker::tasks::Tasks) -> T,
    ) -> T {
        let lacks_check = self.lacks(Without::EpochCheck);
        host.with(|tasks| {
            if lacks_check {
                tasks.epoch = Epoch::default();
            }
            action(tasks)
        })
    }

    /// Evicts the task of an unanswered worker if the known evidence allows it.
    fn give_up_silent(&self, s: &mut State, d: u8) -> Option<()> {
        let own = serving(s, d)?;
        let (worker, epoch, attempt) = resolved_placement(s, &own)?;
        let evidence = Evidence {
            worker: match self.lacks(Without::DeathEvidence) {
                true => WorkerEvidence::Stopped,
                false => WorkerEvidence::Unanswered,
            },
            own_lease_end: own.lease_ends[at(worker)].map(millis),
            earlier: self.earlier_owners(s, &own, epoch),
            owner_since: millis(own.since),
            task_lease: span(TASK_LEASE),
            hold: span(match self.lacks(Without::HoldWait) {
                true => 0,
                false => HOLD,
            }),
        };
        (fencing::restart_at(&evidence, &terms()) < millis(NOW)).then_some(())?;
        commit(s, d, &evicted(attempt))
    }

    fn earlier_owners(&self, s: &State, own: &Ownership, placed: u8) -> EarlierOwners {
        let ledger = s.view(own).to_ledger();
        let (placed, present) = (Epoch(placed.into()), Epoch(own.epoch.into()));
        let mut suspects = ledger.suspects(placed, present).peekable();
        if suspects.peek().is_none() {
            return EarlierOwners::None;
        }
        let mut latest = own.since;
        for owner in suspects.map(Owner::from_record) {
            match owner.run {
                Run::Released => {}
                Run::Replaced => latest = latest.max(s.daemons[at(owner.daemon)].started_at),
                Run::Present | Run::Dead => return EarlierOwners::MaybeAlive,
            }
        }
        EarlierOwners::Ended(millis(latest))
    }

    fn stop_task(&self, s: &mut State, d: u8) -> Option<()> {
        let own = serving(s, d)?;
        let Phase::Placed { worker, .. } = s.view(&own).phase else {
            return None;
        };
        if !is_claimed(s, &own, worker) || !s.hosts[at(worker)].is_running() {
            return None;
        }
        let host = &mut s.hosts[at(worker)];
        let epoch = Epoch(own.epoch.into());
        self.on_worker(host, |tasks| tasks.stop(&job_id(), epoch).ok())
            .map(|_| ())
    }
}

fn steps() -> impl Iterator<Item = Step> {
    let both = [true, false];
    let global = [Step::Tick, Step::LateArrives, Step::LateVanishes].into_iter();
    let daemons = PAIR.into_iter().flat_map(move |daemon| {
        let plain = [
            Step::RenewRow(daemon),
            Step::RenewAnswered(daemon),
            Step::RenewAnswerLost(daemon),
            Step::ReadRowBack(daemon),
            Step::StartServing(daemon),
            Step::GiveUpSilent(daemon),
            Step::GiveUpHost(daemon),
            Step::StopTask(daemon),
            Step::EndTenure(daemon),
            Step::Die(daemon),
            Step::Restart(daemon),
        ];
        let takes = both.map(|answered| Step::Take { daemon, answered });
        let releases = both.map(|answered| Step::Release { daemon, answered });
        let starts = DELIVERIES.map(|delivery| Step::Start { daemon, delivery });
        let with_workers = PAIR.into_iter().flat_map(move |worker| {
            let claims = both.map(|answered| Step::Claim {
                daemon,
                worker,
                answered,
            });
            let polls = DELIVERIES.map(|delivery| Step::Poll {
                daemon,
                worker,
                delivery,
            });
            let place = Step::Place { daemon, worker };
            claims.into_iter().chain(polls).chain([place])
        });
        let plain = plain.into_iter().chain(takes).chain(releases);
        plain.chain(starts).chain(with_workers)
    });
    let workers = PAIR.map(|worker| [Step::Finish(worker), Step::HostDies(worker)]);
    global.chain(daemons).chain(workers.into_iter().flatten())
}

fn at(index: u8) -> usize {
    index.into()
}

fn own_mut(s: &mut State, d: u8) -> Option<&mut Ownership> {
    s.daemons[at(d)].own.as_mut()
}

/// The ownership of a daemon that serves and has not ended.
fn serving(s: &State, d: u8) -> Option<Ownership> {
    s.daemons[at(d)].own.filter(|own| own.serving && !own.ended)
}

fn evicted(attempt: u8) -> Event {
    Event::Evicted {
        job: job_id(),
        attempt: Attempt(attempt.into()),
    }
}

fn tick(s: &mut State) -> Option<()> {
    s.age();
    for host in s.hosts.iter_mut().filter(|host| host.is_running()) {
        host.with(|tasks| tasks.tick(WorkerMillis(NOW.into())));
    }
    Some(())
}

/// Every daemon sees the row as soon as it is written: seeing it later would only delay a take-
/// over.
fn row_changed(s: &mut State) {
    for daemon in &mut s.daemons {
        let before = Sighting {
            version: 0,
            since: millis(daemon.seen_since),
        };
        let seen = Sighting::update(Some(before), 1, millis(NOW));
        daemon.seen_since = to_u8(seen.since.0);
    }
}

/// Whether a worker has accepted an owner's epoch. A claim whose answer was lost also counts, as a
/// repeat would be answered without delay.
fn is_claimed(s: &State, own: &Ownership, w: u8) -> bool {
    s.hosts[at(w)].alive && s.hosts[at(w)].epoch >= own.epoch
}

fn take_shard(s: &mut State, d: u8, answered: bool) -> Option<()> {
    let daemon = s.daemons[at(d)];
    if !daemon.alive || daemon.own.is_some() {
        return None;
    }
    let row = (s.row.epoch > 0).then(|| s.shard_row());
    let seen = Sighting {
        version: 1,
        since: millis(daemon.seen_since),
    };
    if ownership::availability(row.as_ref(), seen, millis(NOW), &terms()) == Availability::Held {
        return None;
    }
    let taken = ownership::taken(row.as_ref(), holder(d, Run::Present));
    s.row.epoch = to_u8(taken.epoch.0);
    s.row.is_held = taken.holder.is_some();
    row_changed(s);
    let task_ledger = s.task_ledger;
    let owns = s.daemons.iter_mut().filter_map(|other| other.own.as_mut());
    for own in owns {
        own.view.get_or_insert(task_ledger);
    }
    if answered {
        s.daemons[at(d)].own = Some(Ownership {
            epoch: s.row.epoch,
            renewed_at: NOW,
            since: NOW,
            ..Ownership::default()
        });
    }
    Some(())
}

/// The renewal takes effect at once; its answer is a separate step, so it may come at any later
/// time.
fn renew_row(s: &mut State, d: u8) -> Option<()> {
    let own = s.daemons[at(d)].own.filter(|own| !own.ended)?;
    if !is_holder(s, &own) || own.awaiting.is_some() {
        return None;
    }
    row_changed(s);
    own_mut(s, d)?.awaiting = Some(NOW);
    Some(())
}

fn read_row_back(s: &mut State, d: u8) -> Option<()> {
    let own = s.daemons[at(d)].own?;
    if is_holder(s, &own) || own.awaiting.is_some() {
        return None;
    }
    s.daemons[at(d)].own = None;
    Some(())
}

/// Whether the row is still the one that this owner took. After a renewal whose answer was lost the
/// owner does not know the row's version; it reads the row back and continues, which needs no step
/// here.
fn is_holder(s: &State, own: &Ownership) -> bool {
    own.epoch == s.row.epoch && s.row.is_held
}

/// Writes an event under the owner's epoch, or returns `None` if it cannot be written.
fn commit(s: &mut State, d: u8, event: &Event) -> Option<()> {
    let own = s.daemons[at(d)].own?;
    if own.epoch != s.row.epoch || !own.tenure().may_act(millis(NOW), &terms()) {
        return None;
    }
    s.task_ledger = s.task_ledger.apply(event)?;
    Some(())
}

/// Recovers the ledger and writes the owner's first event.
fn start_serving(s: &mut State, d: u8) -> Option<()> {
    let own = s.daemons[at(d)].own.filter(|own| !own.serving)?;
    let began = Event::OwnerBegan {
        epoch: Epoch(own.epoch.into()),
        holder: holder(d, Run::Present),
    };
    commit(s, d, &began)?;
    own_mut(s, d)?.serving = true;
    Some(())
}

fn end_tenure(s: &mut State, d: u8) -> Option<()> {
    let own = serving(s, d)?;
    let epoch = Epoch(own.epoch.into());
    commit(s, d, &Event::OwnerEnded { epoch })?;
    own_mut(s, d)?.ended = true;
    Some(())
}

fn release(s: &mut State, d: u8, answered: bool) -> Option<()> {
    let own = s.daemons[at(d)].own.filter(|own| own.ended)?;
    if !is_holder(s, &own) {
        return None;
    }
    s.row.is_held = ownership::released(&s.shard_row()).holder.is_some();
    row_changed(s);
    if answered {
        s.daemons[at(d)].own = None;
    }
    Some(())
}

/// The placement to which a worker's answer or silence applies: its start is no longer in flight.
fn resolved_placement(s: &State, own: &Ownership) -> Option<(u8, u8, u8)> {
    let Phase::Placed {
        worker,
        epoch,
        attempt,
    } = s.view(own).phase
    else {
        return None;
    };
    let is_start_resolved = epoch < own.epoch
        || own.started[at(worker)] == Some(attempt)
        || own.lease_ends[at(worker)].is_some_and(|end| end < NOW);
    is_start_resolved.then_some((worker, epoch, attempt))
}

/// The end, on the worker's clock, of a lease granted now.
fn next_lease(s: &mut State, d: u8, w: u8) -> Option<u8> {
    let own = own_mut(s, d)?;
    let now = millis(NOW);
    let right = own.tenure().right_until(span(HOLD), &terms());
    let end = (now + span(TASK_LEASE)).min(right);
    if end <= now {
        return None;
    }
    let reading = ClockReading {
        worker: WorkerMillis(NOW.into()),
        received_at: now,
    };
    let until = fencing::end_on_worker(reading, end, &terms())?;
    let own_end = fencing::own_lease_end(now, span(TASK_LEASE), &terms());
    own.lease_ends[at(w)] = Some(to_u8(own_end.0));
    Some(to_u8(until.0))
}

fn delay(s: &mut State, message: Message) -> Option<()> {
    if s.late.is_some() {
        return None;
    }
    s.late = Some(message);
    Some(())
}

/// Updates the ledger by what a worker reports under this owner's epoch.
fn reconcile(s: &mut State, d: u8, w: u8) {
    let Some(own) = s.daemons[at(d)].own else {
        return;
    };
    let before = resolved_placement(s, &own).filter(|(worker, ..)| *worker == w);
    let Some(copy) = s.hosts[at(w)].copy else {
        if let Some((_, _, attempt)) = before {
            let _ = commit(s, d, &evicted(attempt));
        }
        return;
    };
    let epoch = Epoch(own.epoch.into());
    let is_placed = matches!(s.view(&own).phase, Phase::Placed { worker, attempt, .. }
        if worker == w && attempt == copy.attempt);
    if !is_placed {
        s.hosts[at(w)].with(|tasks| tasks.stop(&job_id(), epoch).is_ok());
        return;
    }
    if let Some(own) = own_mut(s, d) {
        own.started[at(w)] = Some(copy.attempt);
    }
    let event = match copy.ran {
        Ran::Running => return,
        Ran::Finished => Event::Ended {
            job: job_id(),
            end: JobEnd::Done,
        },
        Ran::Stopped | Ran::Lapsed => evicted(copy.attempt),
    };
    if commit(s, d, &event).is_some() {
        s.hosts[at(w)].with(|tasks| tasks.stop(&job_id(), epoch).is_ok());
    }
}

/// The platform no longer lists the host, which proves that it is dead.
fn give_up_host(s: &mut State, d: u8) -> Option<()> {
    let own = serving(s, d)?;
    let Phase::Placed {
        worker, attempt, ..
    } = s.view(&own).phase
    else {
        return None;
    };
    if s.hosts[at(worker)].alive {
        return None;
    }
    commit(s, d, &evicted(attempt))
}

fn die(s: &mut State, d: u8) -> Option<()> {
    let daemon = &mut s.daemons[at(d)];
    if !daemon.alive {
        return None;
    }
    daemon.alive = false;
    daemon.own = None;
    change_runs(s, d, Run::Present, Run::Dead);
    Some(())
}

/// The daemon restarts at the same address, and its presence row says so.
fn restart(s: &mut State, d: u8) -> Option<()> {
    let daemon = &mut s.daemons[at(d)];
    if daemon.alive {
        return None;
    }
    daemon.alive = true;
    daemon.started_at = NOW;
    daemon.seen_since = NOW;
    change_runs(s, d, Run::Dead, Run::Replaced);
    Some(())
}

fn change_runs(s: &mut State, d: u8, from: Run, to: Run) {
    let change = |task_ledger: &mut TaskLedger| {
        let owners = task_ledger.owners_mut();
        for owner in owners.filter(|owner| owner.daemon == d && owner.run == from) {
            owner.run = to;
        }
    };
    change(&mut s.task_ledger);
    for daemon in &mut s.daemons {
        if let Some(view) = daemon.own.as_mut().and_then(|own| own.view.as_mut()) {
            change(view);
        }
    }
}

fn finish(s: &mut State, w: u8) -> Option<()> {
    let host = &mut s.hosts[at(w)];
    let copy = host.copy.as_mut().filter(|copy| copy.ran == Ran::Running)?;
    copy.ran = Ran::Finished;
    Some(())
}

/// At most one host dies, so that the job can still finish.
fn host_dies(s: &mut State, w: u8) -> Option<()> {
    if s.hosts.iter().any(|host| !host.alive) {
        return None;
    }
    s.hosts[at(w)] = Host {
        alive: false,
        epoch: 0,
        copy: None,
    };
    if s.late.is_some_and(|message| message.worker == w) {
        s.late = None;
    }
    Some(())
}
