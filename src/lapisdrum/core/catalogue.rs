//! Catalogue entries: who owns a kind of work, its class, and the limits that it may consume.
//!
//! Operators write [`RawEntry`] (TOML or JSON); `TryFrom` checks it whole and names every fault at
//! once. [`Entry`] is what the rest of the code sees.

use super::{
    id::{EntryName, OwnerName, Revision},
    size::Size,
};
use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

/// Deadline of a request whose entry gives none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 1_000;
/// Concurrent runs of an entry that gives no limit.
const DEFAULT_CONCURRENCY: u32 = 64;
/// Waiting requests of an entry that gives no bound.
const DEFAULT_QUEUE: u32 = 256;
/// How long an owner may go on renewing a task without reaching the table, in milliseconds: two
/// hours, since regions lose each other for an hour now and then.
const DEFAULT_HOLD_MS: u64 = 7_200_000;
/// Failed attempts after which a job is given up.
const DEFAULT_MAX_FAILURES: u32 = 5;
/// Importance of an entry that gives none.
const DEFAULT_PRIORITY: u32 = 100;
/// Largest answerable deadline, in milliseconds: an hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Largest hold, in milliseconds: a day.
const MAX_HOLD_MS: u64 = 86_400_000;
/// Largest importance.
const MAX_PRIORITY: u32 = 1_000;

scalar! {
    /// A class of work.
    #[serde(rename_all = "kebab-case")]
    pub enum Class {
        /// Answered within its deadline or refused at once.
        LatencyCritical,
        /// Queued, run, evicted and resumed until it finishes.
        Batch,
        /// Runs in one place until cancelled.
        LongRunning,
    }

    /// Whether an entry takes new work.
    #[serde(rename_all = "kebab-case")]
    pub enum EntryState {
        /// New work is taken.
        Active,
        /// No new work; what was accepted is finished or cancelled as the class demands.
        Retired,
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LatencyCritical => "latency-critical",
            Self::Batch => "batch",
            Self::LongRunning => "long-running",
        })
    }
}

data! {
    /// What an entry may consume over the whole system.
    pub struct Limits {
        /// Requests or tasks that may run at once.
        pub concurrency: u32,
        /// Requests a second that may be admitted; none for no such limit.
        pub rate_per_s: Option<u32>,
        /// Requests or jobs that may wait.
        pub queue: u32,
        /// Bytes of a request's body.
        pub body_bytes: u64,
    }

    /// A checked catalogue entry.
    pub struct Entry {
        /// Its name.
        pub name: EntryName,
        /// The team that answers for it.
        pub owner: OwnerName,
        /// Its class of work.
        pub class: Class,
        /// What one request or task of it takes.
        pub size: Size,
        /// Its limits.
        pub limits: Limits,
        /// Whether a request may be sent a second time when its answer is unknown.
        pub idempotent: bool,
        /// Time within which a request is answered unless the caller says less.
        pub deadline: Duration,
        /// Time for which an owner that is cut off from the table may go on renewing a task.
        pub hold: Duration,
        /// Failed attempts after which a job ends as failed.
        pub max_failures: u32,
        /// Importance: the lower, the sooner evicted.
        pub priority: u32,
        /// Whether it takes new work.
        pub state: EntryState,
        /// The catalogue revision that last changed it.
        pub revision: Revision,
    }

    /// A catalogue entry as operators write it.
    #[serde(deny_unknown_fields)]
    pub struct RawEntry {
        /// Its name.
        pub name: String,
        /// The team that answers for it.
        pub owner: String,
        /// `latency-critical`, `batch` or `long-running`.
        pub class: String,
        /// Processors of one request or task, in thousandths of a core.
        pub millicores: u64,
        /// Memory of one request or task, in megabytes.
        pub memory_mb: u64,
        /// Accelerators of one request or task.
        #[serde(default)]
        pub accelerators: u64,
        /// Requests or tasks that may run at once over the whole system.
        #[serde(default)]
        pub concurrency: Option<u32>,
        /// Requests a second over the whole system.
        #[serde(default)]
        pub rate_per_s: Option<u32>,
        /// Requests or jobs that may wait.
        #[serde(default)]
        pub queue: Option<u32>,
        /// Bytes of a request's body.
        #[serde(default)]
        pub body_bytes: Option<u64>,
        /// Whether a request may be sent again; false when absent.
        #[serde(default)]
        pub idempotent: bool,
        /// Milliseconds within which a request is answered.
        #[serde(default)]
        pub deadline_ms: Option<u64>,
        /// Milliseconds for which a cut-off owner may go on renewing a task.
        #[serde(default)]
        pub hold_ms: Option<u64>,
        /// Failed attempts after which a job ends as failed.
        #[serde(default)]
        pub max_failures: Option<u32>,
        /// Importance, 0 to 1000.
        #[serde(default)]
        pub priority: Option<u32>,
        /// Whether the entry no longer takes work.
        #[serde(default)]
        pub retired: bool,
    }
}

/// Largest body that any entry may allow, in bytes.
pub const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
/// Body limit of an entry that gives none, in bytes.
pub const DEFAULT_BODY_BYTES: u64 = 1024 * 1024;

/// A catalogue file as operators write it: a list of `[[entry]]` tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogueFile {
    /// The entries.
    #[serde(default)]
    pub entry: Vec<RawEntry>,
}

/// Everything that is wrong with one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryFaults {
    /// The entry's name as written.
    pub entry: String,
    /// The faults, in the order found.
    pub faults: Vec<KeyFault>,
}

/// What is wrong with one key of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFault {
    /// The key.
    pub key: &'static str,
    /// The value and what is allowed.
    pub what: String,
}

impl fmt::Display for KeyFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}`: {}", self.key, self.what)
    }
}

impl fmt::Display for EntryFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<String> = self.faults.iter().map(ToString::to_string).collect();
        write!(f, "entry `{}`: {}", self.entry, faults.join("; "))
    }
}

impl std::error::Error for EntryFaults {}

impl Entry {
    /// Whether the entry takes new work.
    pub fn is_active(&self) -> bool {
        self.state == EntryState::Active
    }
}

impl TryFrom<RawEntry> for Entry {
    type Error = EntryFaults;

    fn try_from(raw: RawEntry) -> Result<Self, EntryFaults> {
        let mut check = Check::default();
        let name = check.name("name", EntryName::try_from(raw.name.as_str()));
        let owner = check.name("owner", OwnerName::try_from(raw.owner.as_str()));
        let class = check.class(&raw.class);
        let concurrency = raw.concurrency.unwrap_or(DEFAULT_CONCURRENCY);
        let queue = raw.queue.unwrap_or(DEFAULT_QUEUE);
        let deadline_ms = raw.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        let hold_ms = raw.hold_ms.unwrap_or(DEFAULT_HOLD_MS);
        let max_failures = raw.max_failures.unwrap_or(DEFAULT_MAX_FAILURES);
        let priority = raw.priority.unwrap_or(DEFAULT_PRIORITY);
        let body_bytes = raw.body_bytes.unwrap_or(DEFAULT_BODY_BYTES);
        check.range("millicores", raw.millicores, 1, 1_000_000);
        check.range("memory_mb", raw.memory_mb, 1, 16_000_000);
        check.range("accelerators", raw.accelerators, 0, 64);
        check.range("concurrency", concurrency.into(), 1, 10_000_000);
        check.range(
            "rate_per_s",
            raw.rate_per_s.unwrap_or(1).into(),
            1,
            10_000_000,
        );
        check.range("queue", queue.into(), 0, 10_000_000);
        check.range("body_bytes", body_bytes, 0, MAX_BODY_BYTES);
        check.range("deadline_ms", deadline_ms, 1, MAX_DEADLINE_MS);
        check.range("hold_ms", hold_ms, 1_000, MAX_HOLD_MS);
        check.range("max_failures", max_failures.into(), 1, 1_000);
        check.range("priority", priority.into(), 0, MAX_PRIORITY.into());
        let (Some(name), Some(owner), Some(class), true) =
            (name, owner, class, check.faults.is_empty())
        else {
            return Err(EntryFaults {
                entry: raw.name,
                faults: check.faults,
            });
        };
        Ok(Self {
            name,
            owner,
            class,
            size: Size {
                millicores: raw.millicores,
                memory_mb: raw.memory_mb,
                accelerators: raw.accelerators,
            },
            limits: Limits {
                concurrency,
                rate_per_s: raw.rate_per_s,
                queue,
                body_bytes,
            },
            idempotent: raw.idempotent,
            deadline: Duration::from_millis(deadline_ms),
            hold: Duration::from_millis(hold_ms),
            max_failures,
            priority,
            state: if raw.retired {
                EntryState::Retired
            } else {
                EntryState::Active
            },
            revision: Revision::default(),
        })
    }
}

/// Collects faults, so that an operator mends all of them in one go.
#[derive(Default)]
struct Check {
    faults: Vec<KeyFault>,
}

impl Check {
    fn fault(&mut self, key: &'static str, what: impl ToString) {
        let what = what.to_string();
        self.faults.push(KeyFault { key, what });
    }

    fn name<T, E: fmt::Display>(&mut self, key: &'static str, parsed: Result<T, E>) -> Option<T> {
        parsed.map_err(|e| self.fault(key, e)).ok()
    }

    fn class(&mut self, raw: &str) -> Option<Class> {
        match raw {
            "latency-critical" => Some(Class::LatencyCritical),
            "batch" => Some(Class::Batch),
            "long-running" => Some(Class::LongRunning),
            _ => {
                let words = "`latency-critical`, `batch`, `long-running`";
                self.fault("class", format!("`{raw}` is none of {words}"));
                None
            }
        }
    }

    fn range(&mut self, key: &'static str, value: u64, least: u64, most: u64) {
        if !(least..=most).contains(&value) {
            self.fault(key, format!("{value} is outside {least} to {most}"));
        }
    }
}
