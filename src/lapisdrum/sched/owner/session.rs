//! What an owner knows of one worker.

use crate::{
    core::{
        size::Size,
        time::{Millis, WorkerMillis, millis},
    },
    policy::dispatch::{
        overload::Overload,
        place::{Load, reserved_by},
        pressure::Presser,
    },
    sched::{edge::WorkerReport, event::RunId, job::StepId, settle::LeaseBound},
};
use indexmap::{IndexMap, IndexSet};
use std::{rc::Rc, time::Duration};
use tokio::sync::Notify;

/// A lease is renewed when this much of it is over. With looks that take up to 2 s, of the shortest lease of 6 s
/// at least 2 s are left for a new owner to come.
const RENEW_AFTER: Duration = Duration::from_millis(1_500);
/// Failures in a row after which a worker is suspect: one is as likely the job's fault.
const SUSPECT_FAILURES: u32 = 2;
/// A suspect worker is tried again after this long.
const SUSPECT_FOR: Duration = Duration::from_secs(8);

/// Part by which one measurement moves a surprise.
const SURPRISE_STEP: f64 = 0.5;
/// A surprise beyond this is an outlier, in strain.
const MOST_SURPRISE: f64 = 0.2;

/// What runs on a worker, added up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Taken for good.
    pub reserved: Size,
    /// Processors of best-effort tasks, in thousandths.
    pub best_effort_millicores: u64,
    /// What serving tasks reserve of that, in thousandths of a core.
    pub serving_millicores: u64,
}

/// A best-effort task that is no longer there but still shows in tails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Departed {
    /// What it pressed with.
    pub presser: Presser,
    /// When it left.
    pub at: Millis,
}

impl Tally {
    /// Adds a run.
    pub fn add(&mut self, size: &Size, load: Load) {
        self.reserved = self.reserved.plus(&reserved_by(size, load));
        match load {
            Load::Reserving => {}
            Load::Serving => self.serving_millicores += size.millicores,
            Load::BestEffort => self.best_effort_millicores += size.millicores,
        }
    }

    /// Takes a run off.
    pub fn remove(&mut self, size: &Size, load: Load) {
        self.reserved = self.reserved.minus(&reserved_by(size, load));
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

/// One worker as an owner knows it.
#[derive(Clone, Debug)]
pub struct Session {
    /// What the directory says of it; none for a worker that only the journal names.
    pub report: Option<Rc<WorkerReport>>,
    /// Whether the directory named it when last read.
    pub is_registered: bool,
    /// The life in which it answered under our token.
    pub claimed_life: Option<u64>,
    /// Its clock, and when that was read.
    pub clock: Option<(WorkerMillis, Millis)>,
    /// Its clock at the newest list that was acted on.
    pub listed_at: WorkerMillis,
    /// Its ends up to here are durable in the journal.
    pub acked_upto: u64,
    /// The same up to which the journal has them, durably or not yet.
    pub taken_upto: u64,
    /// Told whenever ends become durable.
    pub acked: Rc<Notify>,
    /// Until when anything may run there.
    pub bound: LeaseBound,
    /// When the last lease that it took was sent.
    pub leased_at: Option<Millis>,
    /// Since when it doesn't answer.
    pub silent_since: Option<Millis>,
    /// What runs there.
    pub runs: IndexSet<RunId>,
    /// The same, added up.
    pub tally: Tally,
    /// Strain that the tails of each step here tell beyond what is believed.
    pub surprises: IndexMap<StepId, f64>,
    /// What has left and still shows in tails.
    pub departed: Vec<Departed>,
    /// Until when no best-effort task is sent there.
    pub best_effort_closed_until: Millis,
    /// For how long serving tasks there are over their targets.
    pub overload: Overload,
    /// Failures in a row, and when the last was.
    pub failures: (u32, Millis),
    /// Whether it is being watched.
    pub is_watched: bool,
}

impl Session {
    /// A worker of which nothing is known.
    pub fn new(bound: LeaseBound) -> Self {
        Self {
            report: None,
            is_registered: false,
            claimed_life: None,
            clock: None,
            listed_at: WorkerMillis::default(),
            acked_upto: 0,
            taken_upto: 0,
            acked: Rc::default(),
            bound,
            leased_at: None,
            silent_since: None,
            runs: IndexSet::new(),
            tally: Tally::default(),
            surprises: IndexMap::new(),
            departed: Vec::new(),
            best_effort_closed_until: Millis::default(),
            overload: Overload::default(),
            failures: (0, Millis::default()),
            is_watched: false,
        }
    }

    /// Notes what the tails of a step's tasks told beyond what was believed.
    pub fn note_surprise(&mut self, step: StepId, strain: f64) {
        let known = self.surprises.entry(step).or_default();
        *known += (strain.clamp(-MOST_SURPRISE, MOST_SURPRISE) - *known) * SURPRISE_STEP;
    }

    /// Forgets the surprises of steps that no longer run here.
    pub fn forget_surprises(&mut self, is_here: impl Fn(&StepId) -> bool) {
        self.surprises.retain(|step, _| is_here(step));
    }

    /// Strain of a step's tasks here beyond what is believed.
    pub fn surprise(&self, step: &StepId) -> f64 {
        self.surprises.get(step).copied().unwrap_or_default()
    }

    /// Up to which number the worker may forget ends. A worker that starts again under its id numbers its
    /// ends from 1: after a silence it may be in a new life, and forget ends there that nobody has read.
    pub fn ackable(&self) -> u64 {
        match self.silent_since {
            Some(_) => 0,
            None => self.acked_upto,
        }
    }

    /// The end of a lease of this length that is sent at `now`; none before the worker's clock was read.
    pub fn lease_end(&self, now: Millis, lease: Duration) -> Option<WorkerMillis> {
        let (clock, read_at) = self.clock?;
        Some(clock + now.since(read_at) + lease)
    }

    /// Whether its leases are due to be renewed.
    pub fn is_renewal_due(&self, now: Millis) -> bool {
        self.leased_at.is_none_or(|at| now.since(at) >= RENEW_AFTER)
    }

    /// Notes a reading of its clock. An answer to an order ends no silence: a new life under the same id
    /// answers it too.
    pub fn note_clock(&mut self, clock: WorkerMillis, now: Millis) {
        let is_newer = self.clock.is_none_or(|(known, _)| clock > known);
        if is_newer {
            self.clock = Some((clock, now));
        }
    }

    /// Whether tasks have failed on it lately, and only there.
    pub fn is_suspect(&self, now: Millis) -> bool {
        let (failures, last) = self.failures;
        failures >= SUSPECT_FAILURES && now.since(last) < SUSPECT_FOR
    }

    /// Whether new tasks may be sent to it, as described by the report returned.
    pub fn open_for_tasks(&self) -> Option<&Rc<WorkerReport>> {
        let report = self.report.as_ref()?;
        let is_claimed = self.claimed_life == Some(report.life.born);
        let is_staying = report.leaving_in.is_none();
        let is_open = is_claimed && is_staying && self.is_registered;
        (is_open && self.silent_since.is_none()).then_some(report)
    }

    /// Milliseconds since it last answered, for logs; 0 while it answers.
    pub fn silent_ms(&self, now: Millis) -> u64 {
        self.silent_since
            .map_or(0, |since| millis(now.since(since)))
    }
}
