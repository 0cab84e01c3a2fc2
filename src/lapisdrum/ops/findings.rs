//! What a valid catalogue file says that can't take effect, and how it differs from another version.
//!
//! An entry passes the checks of its keys one by one; the findings here are about keys that don't go
//! together, and about the site that the entry is for. None of them stops the file from being
//! applied, so they are warnings.

use super::catalogue::{KeyChange, differences};
use crate::core::{
    catalogue::{Class, Entry, RawEntry},
    size::Size,
};
use indexmap::IndexMap;
use std::{fmt, time::Duration};

/// The span in which `rate_per_s` is counted.
const RATE_SPAN: Duration = Duration::from_secs(1);

data! {
    /// A key of an entry that can't take effect as written.
    pub struct Warning {
        /// Name of the entry.
        pub entry: String,
        /// The key.
        pub key: String,
        /// Why it can't.
        pub what: String,
    }

    /// An entry that differs from the other version.
    pub struct EntryDifference {
        /// Name of the entry.
        pub entry: String,
        /// Whether the other version lacks it.
        pub is_new: bool,
        /// Keys whose values differ, with the other version's value first.
        pub changes: Vec<KeyChange>,
    }

    /// How a file differs from another version of the catalogue.
    pub struct Differences {
        /// The other version: `in-force`, or the path of a file.
        pub against: String,
        /// Entries of the file that are new or changed, in the file's order.
        pub entries: Vec<EntryDifference>,
        /// Entries that only the other version has; applying the file leaves them as they are.
        pub not_in_file: Vec<String>,
    }
}

/// The site that a catalogue is for, as far as it is known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownSite {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of shards.
    pub shards: usize,
    /// Capacities of the workers.
    pub workers: Vec<Size>,
}

/// Keys that can't take effect in these valid entries, in their order. Retired entries take no work
/// and get none.
pub fn warnings(entries: &[RawEntry], site: Option<&KnownSite>) -> Vec<Warning> {
    let mut found = Vec::new();
    for raw in entries.iter().filter(|raw| !raw.retired) {
        if let Ok(entry) = Entry::try_from(raw.clone()) {
            let mut warn = |key: &str, what: String| {
                found.push(Warning {
                    entry: raw.name.clone(),
                    key: key.to_owned(),
                    what,
                });
            };
            warn_of_class(raw, &entry, &mut warn);
            if let Some(site) = site {
                warn_of_site(&entry, site, &mut warn);
            }
        }
    }
    found
}

fn warn_of_class(raw: &RawEntry, entry: &Entry, warn: &mut impl FnMut(&str, String)) {
    match entry.class {
        Class::LatencyCritical => {
            warn_of_rate(raw, entry, warn);
            if entry.limits.body_bytes == 0 {
                warn(
                    "body_bytes",
                    "only requests without a body match".to_owned(),
                );
            }
            for (key, is_set) in [
                ("hold_ms", raw.hold_ms.is_some()),
                ("max_failures", raw.max_failures.is_some()),
            ] {
                if is_set {
                    warn(key, "has no effect on requests".to_owned());
                }
            }
        }
        Class::Batch | Class::LongRunning => {
            for (key, is_set) in [
                ("rate_per_s", raw.rate_per_s.is_some()),
                ("idempotent", raw.idempotent),
            ] {
                if is_set {
                    warn(key, "has no effect on jobs".to_owned());
                }
            }
        }
    }
}

/// A request is over within its deadline, so no more of them are under way than are let in within
/// it.
fn warn_of_rate(raw: &RawEntry, entry: &Entry, warn: &mut impl FnMut(&str, String)) {
    let Some(rate) = entry.limits.rate_per_s else {
        return;
    };
    let spans = entry.deadline.as_millis().div_ceil(RATE_SPAN.as_millis());
    let most = u128::from(rate) * spans;
    for (key, limit) in [("concurrency", raw.concurrency), ("queue", raw.queue)] {
        if let Some(limit) = limit.filter(|limit| u128::from(*limit) > most) {
            let what = format!(
                "{limit} is never reached: `rate_per_s` lets at most {most} requests in within `deadline_ms`"
            );
            warn(key, what);
        }
    }
}

fn warn_of_site(entry: &Entry, site: &KnownSite, warn: &mut impl FnMut(&str, String)) {
    let fits = |capacity: &Size| entry.size.fits(capacity);
    if !site.workers.is_empty() && !site.workers.iter().any(fits) {
        let workers = site.workers.len();
        let what = format!("fits none of the {workers} workers, so nothing of it ever runs");
        warn("millicores", what);
    }
    match entry.class {
        Class::LatencyCritical => {
            let rate = entry.limits.rate_per_s;
            if let Some(rate) = rate.filter(|rate| (*rate as usize) < site.daemons) {
                let what = format!(
                    "{rate} is divided over {} daemons, of which some let nothing in",
                    site.daemons
                );
                warn("rate_per_s", what);
            }
        }
        Class::Batch | Class::LongRunning => {
            let queue = entry.limits.queue;
            if queue > 0 && (queue as usize) < site.shards {
                let what = format!(
                    "{queue} is divided over {} shards, in some of which no job may wait",
                    site.shards
                );
                warn("queue", what);
            }
        }
    }
}

impl Differences {
    /// Compares the entries of a file with another version, named `against`.
    pub fn new(against: &str, file: &[RawEntry], other: &[RawEntry]) -> Self {
        let theirs = other.iter().map(|raw| (raw.name.as_str(), raw));
        let theirs: IndexMap<&str, &RawEntry> = theirs.collect();
        let differing = file.iter().map(|raw| {
            let before = theirs.get(raw.name.as_str()).copied();
            EntryDifference {
                entry: raw.name.clone(),
                is_new: before.is_none(),
                changes: differences(before, raw),
            }
        });
        Self {
            against: against.to_owned(),
            entries: differing
                .filter(|entry| !entry.changes.is_empty())
                .collect(),
            not_in_file: theirs
                .keys()
                .filter(|name| file.iter().all(|raw| raw.name != **name))
                .map(|name| (*name).to_owned())
                .collect(),
        }
    }
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { entry, key, what } = self;
        write!(f, "warning: entry `{entry}`: `{key}`: {what}")
    }
}

impl fmt::Display for EntryDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.is_new { "new" } else { "changed" };
        write!(f, "{}: {state}", self.entry)?;
        self.changes
            .iter()
            .try_for_each(|change| write!(f, "\n  {change}"))
    }
}

impl fmt::Display for Differences {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "against {}: {} entries differ",
            self.against,
            self.entries.len()
        )?;
        self.entries
            .iter()
            .try_for_each(|entry| write!(f, "\n{entry}"))?;
        let left = &mut self.not_in_file.iter();
        left.try_for_each(|name| write!(f, "\n{name}: not in this file, stays as it is"))
    }
}
