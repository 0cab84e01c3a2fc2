//! State that an owner keeps for each worker.

use super::start_order::NotSent;
use crate::{
    core::{
        size::Size,
        time::{Millis, WorkerMillis, millis},
    },
    policy::dispatch::{
        interference::Aggressor,
        missed_alone::MissedAlone,
        overload::Overload,
        place::{Load, reserved_by},
    },
    sched::{
        edge::{MAX_STARTS_PER_WORKER, WorkerReport},
        event::RunId,
        job::StepId,
        resolution::{KnownIncarnation, LeaseBound, LeaseLimits},
    },
};
use indexmap::{IndexMap, IndexSet};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::sync::{Notify, Semaphore};

/// Time by which a renewal extends a lease at least. Polls take up to 1 s, so that at least 3 s of a
/// lease of 6 s are left for a new owner to take over.
const RENEW_AFTER: Duration = Duration::from_millis(1_500);
/// Time by which a renewal extends a lease at least that ends soon.
const LEAST_EXTENSION: Duration = Duration::from_millis(100);
/// Time left of a lease that is renewed late, since the store does not answer.
const ENDS_SOON: Duration = Duration::from_millis(2_500);
/// Failures in a row after which a worker is suspect; a single one is as likely the job's fault.
const SUSPECT_FAILURES: u32 = 2;
/// How long a worker stays suspect after its last failure.
const SUSPECT_FOR: Duration = Duration::from_secs(8);

/// Weight of a new measurement in the moving average of residuals.
const RESIDUAL_WEIGHT: f64 = 0.5;
/// Residuals of utilisation are clamped to this, so that outliers have little weight.
const MAX_RESIDUAL: f64 = 0.2;

/// Totals of the runs on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Capacity reserved by the runs.
    pub reserved: Size,
    /// Processors that best-effort tasks ask for, in thousandths of a core.
    pub best_effort_millicores: u64,
    /// Processors reserved by serving tasks, in thousandths of a core.
    pub serving_millicores: u64,
    /// Capacity reserved by long-running tasks.
    pub long_running: Size,
}

/// A best-effort task that has ended but still affects the reported latency tails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Departed {
    /// The interference that it caused.
    pub aggressor: Aggressor,
    /// When it ended.
    pub at: Millis,
}

impl Tally {
    /// Adds a run of this size and load.
    pub fn add(&mut self, size: &Size, load: Load, is_long_running: bool) {
        let reserved = reserved_by(size, load);
        self.reserved = self.reserved.plus(&reserved);
        if is_long_running {
            self.long_running = self.long_running.plus(&reserved);
        }
        match load {
            Load::Reserving => {}
            Load::Serving => self.serving_millicores += size.millicores,
            Load::BestEffort => self.best_effort_millicores += size.millicores,
        }
    }

    /// Subtracts a run that was added with the same arguments.
    pub fn remove(&mut self, size: &Size, load: Load, is_long_running: bool) {
        let reserved = reserved_by(size, load);
        self.reserved = self.reserved.minus(&reserved);
        if is_long_running {
            self.long_running = self.long_running.minus(&reserved);
        }
        match load {
            Load::Reserving => {}
            Load::Serving => {
                self.serving_millicores = self.serving_millicores.saturating_sub(size.millicores);
            }
            Load::BestEffort => {
                self.best_effort_millicores =
                    self.best_effort_millicores.saturating_sub(size.millicores);
            }
        }
    }
}

/// A lease as a call names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its end on the worker's clock.
    pub until: WorkerMillis,
    /// Time on the own clock until which it lasts at least, if the worker accepts it.
    pub lasts_until: Millis,
    /// Time on the own clock by which it has ended, on the incarnation whose clock was read.
    pub ends_by: Millis,
}

/// State of one worker, as known to the owner.
#[derive(Clone, Debug)]
pub struct Session {
    /// Latest report of the directory; none for a worker known only from the journal.
    pub report: Option<Rc<WorkerReport>>,
    /// Start time of the last incarnation that has announced that it leaves.
    leaving_incarnation: Option<u64>,
    /// Whether the last read of the directory listed it.
    pub is_registered: bool,
    /// Incarnation that answered under this owner's token.
    pub claimed: KnownIncarnation,
    /// Latest reading of its clock, and the local time of that reading.
    pub clock: Option<(WorkerMillis, Millis)>,
    /// Its clock in the newest poll response that was handled.
    pub response_clock: WorkerMillis,
    /// Its ends up to this number are durable in the journal.
    pub acked_upto: u64,
    /// Its ends up to this number are appended to the journal, durable or not.
    pub appended_upto: u64,
    /// Notified whenever ends become durable.
    pub acked: Rc<Notify>,
    /// When it last refused the owner's token.
    pub refused_at: Option<Millis>,
    /// Since when it may have more ends than it lists; none while it lists all.
    pub ends_truncated_since: Option<Millis>,
    /// Bounds the time until which runs may be alive on it.
    pub bound: LeaseBound,
    /// Until when the last lease that it accepted lasts at least.
    pub leased_until: Option<Millis>,
    /// Since when it does not answer; none while it answers.
    pub unresponsive_since: Option<Millis>,
    /// Runs that may be alive on it.
    pub runs: IndexSet<RunId>,
    /// Totals of `runs`.
    pub tally: Tally,
    /// Smoothed residual of each step's utilisation here: inferred from latency tails, less the
    /// predicted one.
    pub residuals: IndexMap<StepId, f64>,
    /// Ended best-effort tasks that still affect the reported latency tails.
    pub departed: Vec<Departed>,
    /// No best-effort task is placed here before this time.
    pub best_effort_closed_until: Millis,
    /// Until when no overdue best-effort task is placed here, since all were stopped.
    pub cleared_until: Millis,
    /// Tracks for how long serving tasks here have been over their latency targets.
    pub overload: Overload,
    /// Its serving tasks that miss their targets without best-effort tasks, too.
    pub missed_alone: MissedAlone,
    /// When a best-effort task last had an effect on the tails of its serving tasks.
    pub disturbed_at: Millis,
    /// Failures in a row, and the time of the last one or of the reset.
    pub failures: (u32, Millis),
    /// Bounds the start orders in flight to it; one permit is held for each.
    pub start_slots: Arc<Semaphore>,
    /// Whether the owner polls it; see [`start_polling`](super::poll::start_polling).
    pub is_polled: bool,
}

impl Session {
    /// A worker that has not been claimed, with `bound` on the leases of earlier owners.
    pub fn new(bound: LeaseBound) -> Self {
        Self {
            report: None,
            leaving_incarnation: None,
            is_registered: false,
            claimed: KnownIncarnation::default(),
            clock: None,
            response_clock: WorkerMillis::default(),
            acked_upto: 0,
            appended_upto: 0,
            acked: Rc::default(),
            refused_at: None,
            ends_truncated_since: None,
            bound,
            leased_until: None,
            unresponsive_since: None,
            runs: IndexSet::new(),
            tally: Tally::default(),
            residuals: IndexMap::new(),
            departed: Vec::new(),
            best_effort_closed_until: Millis::default(),
            cleared_until: Millis::default(),
            overload: Overload::default(),
            missed_alone: MissedAlone::default(),
            disturbed_at: Millis::default(),
            failures: (0, Millis::default()),
            start_slots: Arc::new(Semaphore::new(MAX_STARTS_PER_WORKER)),
            is_polled: false,
        }
    }

    /// Adds a measured residual of a step's utilisation to its moving average.
    pub fn note_residual(&mut self, step: StepId, residual: f64) {
        let average = self.residuals.entry(step).or_default();
        *average += (residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL) - *average) * RESIDUAL_WEIGHT;
    }

    /// Removes the residuals of steps that no longer run here.
    pub fn remove_residuals(&mut self, is_here: impl Fn(&StepId) -> bool) {
        self.residuals.retain(|step, _| is_here(step));
    }

    /// Smoothed residual of a step's utilisation here; 0 if none was measured.
    pub fn residual(&self, step: &StepId) -> f64 {
        self.residuals.get(step).copied().unwrap_or_default()
    }

    /// Number up to which the worker may forget ends; 0 while it does not answer. A worker that
    /// restarts under the same id numbers its ends from 1, so a new incarnation would forget ends
    /// that no owner has read.
    pub fn ackable(&self) -> u64 {
        match self.unresponsive_since {
            Some(_) => 0,
            None => self.acked_upto,
        }
    }

    /// A lease of this length, sent at `now`; none if the worker's clock was not read recently.
    pub fn lease(&self, now: Millis, length: Duration, limits: &LeaseLimits) -> Option<Lease> {
        let (clock, read_at) = self.clock?;
        let age = now.since(read_at);
        (age <= limits.max_clock_age()).then(|| Lease {
            until: clock + age + length,
            lasts_until: now + length,
            ends_by: now + limits.ends_within(length),
        })
    }

    /// Whether a lease of this length, sent now, lasts for enough longer than the last accepted one.
    /// The length depends on the owner's last renewal in the store, so an early renewal may be
    /// worthwhile after an outage of the store, and none is during it.
    pub fn is_renewal_due(&self, now: Millis, length: Duration) -> bool {
        let until = now + length;
        let least = match self.does_lease_end_soon(now) {
            true => LEAST_EXTENSION,
            false => RENEW_AFTER,
        };
        self.leased_until
            .is_none_or(|leased| until >= leased + least)
    }

    /// Whether the last accepted lease ends soon, so that a poll should not wait for long.
    pub fn does_lease_end_soon(&self, now: Millis) -> bool {
        self.leased_until
            .is_some_and(|leased| leased.since(now) < ENDS_SOON)
    }

    /// Replaces the reading of its clock by that of its newest poll response. A reply to an order
    /// may be of an earlier incarnation and have left a reading that is too high; one that is too
    /// low only makes leases shorter.
    pub fn set_clock(&mut self, clock: WorkerMillis, now: Millis) {
        self.clock = Some((clock, now));
    }

    /// Notes a reading of its clock in a reply to an order that was sent at `sent_at`. One that was
    /// sent before the present incarnation answered may have been executed by an earlier one.
    pub fn note_order_clock(&mut self, clock: WorkerMillis, sent_at: Millis, now: Millis) {
        if self.claimed.since.is_some_and(|since| sent_at > since) {
            self.note_clock(clock, now);
        }
    }

    /// Notes a reading of its clock in a reply to an order. An answer to an order does not reset `unresponsive_since`: a
    /// new incarnation under the same id answers it too.
    pub fn note_clock(&mut self, clock: WorkerMillis, now: Millis) {
        let is_newer = self.clock.is_none_or(|(known, _)| clock > known);
        if is_newer {
            self.clock = Some((clock, now));
        }
    }

    /// Whether it had several failures in a row, the last of them recently.
    pub fn is_suspect(&self, now: Millis) -> bool {
        let (failures, last) = self.failures;
        failures >= SUSPECT_FAILURES && now.since(last) < SUSPECT_FOR
    }

    /// The worker's report if tasks may be started on it, or why none may be. Both the placement of a
    /// task and its start order, which may be sent seconds later, depend on this.
    pub fn open_for_tasks(&self) -> Result<&Rc<WorkerReport>, NotSent> {
        let report = self.report.as_ref().ok_or(NotSent::WorkerUnknown)?;
        if !self.is_registered {
            return Err(NotSent::WorkerGone);
        }
        if self.is_leaving() {
            return Err(NotSent::WorkerLeaving);
        }
        if self.claimed.started_unix_ms != Some(report.incarnation.started_unix_ms) {
            return Err(NotSent::OtherIncarnation);
        }
        match self.unresponsive_since {
            None => Ok(report),
            Some(_) => Err(NotSent::WorkerSilent),
        }
    }

    /// Replaces the report of the directory.
    pub fn set_report(&mut self, report: WorkerReport) {
        if report.leaving_in.is_some() {
            self.leaving_incarnation = Some(report.incarnation.started_unix_ms);
        }
        self.report = Some(Rc::new(report));
    }

    /// Whether the reported incarnation has announced that it leaves. It does leave, also if a late
    /// write of its entry says otherwise.
    pub fn is_leaving(&self) -> bool {
        let report = self.report.as_ref();
        let started = report.map(|report| report.incarnation.started_unix_ms);
        started.is_some() && started == self.leaving_incarnation
    }

    /// Whether an incarnation has answered this owner, and none has refused an order since.
    pub fn is_claimed(&self) -> bool {
        self.claimed.started_unix_ms.is_some()
    }

    /// Whether it does not answer, or has not answered this owner yet.
    pub fn is_silent(&self) -> bool {
        self.unresponsive_since.is_some() || !self.is_claimed()
    }

    /// Milliseconds since it stopped answering, for logs; 0 while it answers.
    pub fn unresponsive_ms(&self, now: Millis) -> u64 {
        self.unresponsive_since
            .map_or(0, |since| millis(now.since(since)))
    }
}
