//! How much one kind of work slows another on the same host, learned from late measurements.
//!
//! Load pattern: batch work in waves beside latency-critical work, where some pairs disturb each
//! other and most do not. Without it placement goes by declared sizes alone, and the noisy task is
//! put beside the service again and again.
//!
//! A report says how much slower a kind ran than alone, beside what. The excess is explained as the
//! sum of what each neighbour adds; what the present estimate leaves unexplained is divided between
//! the neighbours, the less certain ones taking the larger part. Certainty grows with each report
//! and halves in [`FORGET`] without one, since interference shifts with load; an uncertain estimate
//! is drawn towards [`PRIOR`], so that nothing is shunned or trusted on one report.

use crate::core::{id::EntryName, time::Millis};
use indexmap::{IndexMap, IndexSet};
use std::{collections::VecDeque, time::Duration};

/// Slowdown that one unknown neighbour is taken to add: small, so that new work is tried anywhere,
/// and above nothing, so that a quiet known neighbour is preferred.
pub const PRIOR: f64 = 0.05;
/// Time without reports in which certainty halves.
pub const FORGET: Duration = Duration::from_secs(30 * 60);
/// Reports that count as much as the prior.
const PRIOR_REPORTS: f64 = 2.0;
/// Most reports that are remembered of a pair, so that a shift of load is followed.
const MOST_REPORTS: f64 = 20.0;
/// Greatest slowdown that one report is believed.
const MOST_SLOWDOWN: f64 = 20.0;
/// Changes that are remembered of what ran on a host.
const HISTORY: usize = 64;

scalar! {
    /// A kind of work: a catalogue entry by number.
    pub struct Kind(pub u32);
}

/// Something that runs on a host, and how many of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Neighbour {
    /// Its kind.
    pub kind: Kind,
    /// How many.
    pub count: u32,
}

/// One late measurement.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a> {
    /// What was slowed.
    pub kind: Kind,
    /// What ran beside it when it was measured, itself left out.
    pub beside: &'a [Neighbour],
    /// Time it took relative to running alone, in thousandths.
    pub slowdown_permille: u32,
    /// When it was measured.
    pub measured_at: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Pair {
    added: f64,
    reports: f64,
    heard_at: Millis,
}

/// What is known of how kinds of work disturb each other.
#[derive(Debug, Default)]
pub struct Interference {
    kinds: IndexSet<EntryName>,
    pairs: IndexMap<(Kind, Kind), Pair, std::hash::BuildHasherDefault<PairHasher>>,
}

impl Interference {
    /// The number of an entry's kind.
    pub fn kind(&mut self, entry: &EntryName) -> Kind {
        let index = match self.kinds.get_index_of(entry) {
            Some(index) => index,
            None => self.kinds.insert_full(entry.clone()).0,
        };
        Kind(u32::try_from(index).unwrap_or(u32::MAX))
    }

    /// Learns from a report.
    pub fn note(&mut self, report: &Report<'_>) {
        let at = report.measured_at;
        let slowdown = (f64::from(report.slowdown_permille) / 1e3).clamp(1.0, MOST_SLOWDOWN);
        let expected: f64 = report
            .beside
            .iter()
            .map(|n| f64::from(n.count) * self.added(report.kind, n.kind, at))
            .sum();
        let unexplained = slowdown - 1.0 - expected;
        let doubts: Vec<f64> = report
            .beside
            .iter()
            .map(|n| f64::from(n.count) * self.doubt(report.kind, n.kind, at))
            .collect();
        let total: f64 = report
            .beside
            .iter()
            .zip(&doubts)
            .map(|(n, doubt)| f64::from(n.count) * doubt)
            .sum();
        if total <= 0.0 {
            return;
        }
        for (neighbour, doubt) in report.beside.iter().zip(doubts) {
            self.correct(report.kind, neighbour.kind, unexplained * doubt / total, at);
        }
    }

    /// Slowdown that one `neighbour` adds to `kind`: 0 for none, 1 for twice the time.
    pub fn added(&self, kind: Kind, neighbour: Kind, now: Millis) -> f64 {
        let Some(pair) = self.pairs.get(&(kind, neighbour)) else {
            return PRIOR;
        };
        let reports = pair.reports_at(now);
        let trust = reports / (reports + PRIOR_REPORTS);
        PRIOR + (pair.added - PRIOR) * trust
    }

    /// How uncertain that is: 1 when nothing is known, towards 0 with reports.
    pub fn doubt(&self, kind: Kind, neighbour: Kind, now: Millis) -> f64 {
        let reports = self
            .pairs
            .get(&(kind, neighbour))
            .map_or(0.0, |pair| pair.reports_at(now));
        PRIOR_REPORTS / (PRIOR_REPORTS + reports)
    }

    fn correct(&mut self, kind: Kind, neighbour: Kind, by: f64, at: Millis) {
        let present = self.added(kind, neighbour, at);
        let pair = self.pairs.entry((kind, neighbour)).or_insert(Pair {
            added: PRIOR,
            reports: 0.0,
            heard_at: at,
        });
        let reports = pair.reports_at(at);
        // The mean of what was known and of this report.
        let seen = (present + by).max(0.0);
        pair.added = (pair.added * reports + seen) / (reports + 1.0);
        pair.reports = (reports + 1.0).min(MOST_REPORTS);
        pair.heard_at = pair.heard_at.max(at);
    }
}

impl Pair {
    fn reports_at(&self, now: Millis) -> f64 {
        let age = now.since(self.heard_at).as_secs_f64();
        self.reports * (-age / FORGET.as_secs_f64()).exp2()
    }
}

/// Hashes a pair of kinds: they are small numbers given out by us, so no hostile choice of keys has
/// to be feared, and a placement looks hundreds of them up.
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

/// What ran on one host when, so that a late report is matched with the neighbours of its time.
#[derive(Clone, Debug, Default)]
pub struct History {
    changes: VecDeque<(Millis, Option<Vec<Neighbour>>)>,
}

impl History {
    /// Notes what runs from `now` on, at full speed.
    pub fn note(&mut self, neighbours: Vec<Neighbour>, now: Millis) {
        self.push(Some(neighbours), now);
    }

    /// Notes that from `now` on something is throttled: a report from this time would make what is
    /// throttled look harmless, and it would be let in again where it does harm.
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
        if self.changes.len() == HISTORY {
            self.changes.pop_front();
        }
        self.changes.push_back((now, neighbours));
    }

    /// What ran throughout the `span` that ends at `at`; none when it changed, was throttled or is not
    /// known.
    pub fn during(&self, at: Millis, span: Duration) -> Option<&[Neighbour]> {
        let index = self.changes.iter().rposition(|(from, _)| *from <= at)?;
        let (from, neighbours) = &self.changes[index];
        let neighbours = neighbours.as_deref()?;
        (*from <= at.before(span)).then_some(neighbours)
    }
}
