//! Estimates how much one kind of work slows down another on the same host, from measurements that
//! arrive late.
//!
//! Load pattern: batch work in waves beside latency-critical work, where some pairs slow each other
//! down and most do not. Without the estimates placement uses declared sizes alone and places the
//! noisy task beside the latency-critical one again and again.
//!
//! A report gives the slowdown of one kind and the neighbours that ran beside it. The slowdown is
//! modelled as the sum of what each neighbour adds; the residual between measurement and estimate
//! is divided among the neighbours, with a larger part for the less certain estimates. Certainty
//! grows with each report; the weight of a pair's reports halves in [`REPORT_HALF_LIFE`] without a
//! new one, since interference changes with load. An uncertain estimate is drawn towards
//! [`PRIOR_SLOWDOWN`], so that no pair is avoided or trusted because of one report.

use crate::core::{id::EntryName, time::Millis};
use indexmap::{IndexMap, IndexSet};
use std::{collections::VecDeque, time::Duration};

/// Slowdown that one unknown neighbour is assumed to add. Small, so that new work can be placed
/// anywhere; above zero, so that a neighbour known to be quiet is preferred.
pub const PRIOR_SLOWDOWN: f64 = 0.05;
/// Time without a new report in which the weight of a pair's reports halves.
pub const REPORT_HALF_LIFE: Duration = Duration::from_secs(30 * 60);
/// Weight of [`PRIOR_SLOWDOWN`], in reports.
const PRIOR_WEIGHT: f64 = 2.0;
/// Largest weight of a pair's earlier reports, in reports, so that estimates follow a change of
/// load.
const MAX_REPORTS: f64 = 20.0;
/// Limit on the slowdown of one report, relative to 1 for running alone; higher ones are reduced to
/// it.
const MAX_SLOWDOWN: f64 = 20.0;
/// Most changes stored in the [`History`] of a host.
const MAX_CHANGES: usize = 64;

scalar! {
    /// A kind of work: the index that [`SlowdownModel::kind`] assigned to a catalogue entry.
    pub struct Kind(pub u32);
}

/// Tasks of one kind on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Neighbour {
    /// Kind of the tasks.
    pub kind: Kind,
    /// Number of tasks of this kind.
    pub count: u32,
}

/// One measured slowdown. It arrives some time after the measurement.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a> {
    /// Kind whose slowdown was measured.
    pub kind: Kind,
    /// Neighbours during the measurement, without the measured task itself.
    pub beside: &'a [Neighbour],
    /// Run time relative to running alone, in thousandths: 1,000 for no slowdown.
    pub slowdown_permille: u32,
    /// Time of the measurement, not of its arrival.
    pub measured_at: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Pair {
    added: f64,
    reports: f64,
    updated_at: Millis,
}

/// Estimated slowdowns between kinds of work.
#[derive(Debug, Default)]
pub struct SlowdownModel {
    kinds: IndexSet<EntryName>,
    pairs: IndexMap<(Kind, Kind), Pair, std::hash::BuildHasherDefault<PairHasher>>,
}

impl SlowdownModel {
    /// Kind of a catalogue entry; assigns the next index to a new entry.
    pub fn kind(&mut self, entry: &EntryName) -> Kind {
        let index = match self.kinds.get_index_of(entry) {
            Some(index) => index,
            None => self.kinds.insert_full(entry.clone()).0,
        };
        Kind(u32::try_from(index).unwrap_or(u32::MAX))
    }

    /// Updates the estimates from a report.
    pub fn note(&mut self, report: &Report<'_>) {
        let at = report.measured_at;
        let slowdown = (f64::from(report.slowdown_permille) / 1e3).clamp(1.0, MAX_SLOWDOWN);
        let expected: f64 = report
            .beside
            .iter()
            .map(|n| f64::from(n.count) * self.added(report.kind, n.kind, at))
            .sum();
        let residual = slowdown - 1.0 - expected;
        let uncertainties: Vec<f64> = report
            .beside
            .iter()
            .map(|n| f64::from(n.count) * self.uncertainty(report.kind, n.kind, at))
            .collect();
        let total: f64 = report
            .beside
            .iter()
            .zip(&uncertainties)
            .map(|(n, uncertainty)| f64::from(n.count) * uncertainty)
            .sum();
        if total <= 0.0 {
            return;
        }
        for (neighbour, uncertainty) in report.beside.iter().zip(uncertainties) {
            self.correct(
                report.kind,
                neighbour.kind,
                residual * uncertainty / total,
                at,
            );
        }
    }

    /// Estimated slowdown that one `neighbour` adds to `kind`: 0 for none, 1 for twice the run
    /// time.
    pub fn added(&self, kind: Kind, neighbour: Kind, now: Millis) -> f64 {
        let Some(pair) = self.pairs.get(&(kind, neighbour)) else {
            return PRIOR_SLOWDOWN;
        };
        let reports = pair.reports_at(now);
        let weight = reports / (reports + PRIOR_WEIGHT);
        PRIOR_SLOWDOWN + (pair.added - PRIOR_SLOWDOWN) * weight
    }

    /// Uncertainty of the estimate that [`Self::added`] returns: 1 without reports, towards 0 with
    /// more.
    pub fn uncertainty(&self, kind: Kind, neighbour: Kind, now: Millis) -> f64 {
        let reports = self
            .pairs
            .get(&(kind, neighbour))
            .map_or(0.0, |pair| pair.reports_at(now));
        PRIOR_WEIGHT / (PRIOR_WEIGHT + reports)
    }

    fn correct(&mut self, kind: Kind, neighbour: Kind, correction: f64, at: Millis) {
        let present = self.added(kind, neighbour, at);
        let pair = self.pairs.entry((kind, neighbour)).or_insert(Pair {
            added: PRIOR_SLOWDOWN,
            reports: 0.0,
            updated_at: at,
        });
        let reports = pair.reports_at(at);
        // Weighted mean of the earlier reports and this one.
        let observed = (present + correction).max(0.0);
        pair.added = (pair.added * reports + observed) / (reports + 1.0);
        pair.reports = (reports + 1.0).min(MAX_REPORTS);
        pair.updated_at = pair.updated_at.max(at);
    }
}

impl Pair {
    fn reports_at(&self, now: Millis) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.reports * (-age / REPORT_HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// Fast hasher for pairs of kinds, since one placement looks up hundreds. It does not resist chosen
/// keys; kinds are small numbers assigned in this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct PairHasher(u64);

impl std::hash::Hasher for PairHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u32((*byte).into());
        }
    }

    fn write_u32(&mut self, n: u32) {
        self.0 = (self.0.rotate_left(5) ^ u64::from(n)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
}

/// Tasks that ran on one host over time, to match a late report with the neighbours at the time of
/// its measurement.
#[derive(Clone, Debug, Default)]
pub struct History {
    changes: VecDeque<(Millis, Option<Vec<Neighbour>>)>,
}

impl History {
    /// Records the tasks that run unthrottled from `now` on.
    pub fn note(&mut self, neighbours: Vec<Neighbour>, now: Millis) {
        self.push(Some(neighbours), now);
    }

    /// Records that a task is throttled from `now` on. Reports from this time are not used: they
    /// would make the throttled task look harmless, and it would be placed again where it does
    /// harm.
    pub fn note_throttled(&mut self, now: Millis) {
        self.push(None, now);
    }

    fn push(&mut self, neighbours: Option<Vec<Neighbour>>, now: Millis) {
        if self
            .changes
            .back()
            .is_some_and(|(_, last)| *last == neighbours)
        {
            return;
        }
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((now, neighbours));
    }

    /// Tasks that ran throughout the `span` that ends at `at`; `None` if they changed during it,
    /// one was throttled or they are not known.
    pub fn during(&self, at: Millis, span: Duration) -> Option<&[Neighbour]> {
        let index = self.changes.iter().rposition(|(from, _)| *from <= at)?;
        let (from, neighbours) = &self.changes[index];
        let neighbours = neighbours.as_deref()?;
        (*from <= at.before(span)).then_some(neighbours)
    }
}
