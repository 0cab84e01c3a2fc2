//! Catalogue entries: the owner, class, size and limits of each kind of work.
//!
//! Operators write [`RawEntry`] (TOML or JSON). `TryFrom` validates it and reports all faults at
//! once. The rest of the code uses the validated [`Entry`].

use super::{
    id::{EntryName, OwnerName, Revision},
    size::Size,
};
use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

const DEFAULT_DEADLINE_MS: u64 = 1_000;
/// Requests or tasks of an entry that may run at once.
const DEFAULT_CONCURRENCY: u32 = 64;
/// Requests or jobs of an entry that may wait.
const DEFAULT_QUEUE: u32 = 256;
/// How long an owner that can't reach the table may keep renewing a task's lease: two hours, since
/// regions occasionally lose contact for an hour.
const DEFAULT_HOLD_MS: u64 = 7_200_000;
/// Failed attempts after which a job ends as failed.
const DEFAULT_MAX_FAILURES: u32 = 5;
const DEFAULT_PRIORITY: u32 = 100;
/// One hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// One day.
const MAX_HOLD_MS: u64 = 86_400_000;
const MAX_PRIORITY: u32 = 1_000;

scalar! {
    /// A class of work, which decides how it is requested and scheduled.
    #[serde(rename_all = "kebab-case")]
    pub enum Class {
        /// Requests that are answered within their deadline or refused at once.
        LatencyCritical,
        /// Jobs that are queued, run, and may be evicted and resumed until they finish.
        Batch,
        /// Jobs that run in one place until they are cancelled.
        LongRunning,
    }

    /// Whether an entry accepts new work.
    #[serde(rename_all = "kebab-case")]
    pub enum EntryState {
        /// New work is accepted.
        Active,
        /// No new work is accepted; accepted work is finished or cancelled, depending on its class.
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
    /// Limits of an entry, over the whole system.
    pub struct Limits {
        /// Requests or tasks that may run at once.
        pub concurrency: u32,
        /// Requests per second that may be admitted; `None` when the rate is not limited.
        pub rate_per_s: Option<u32>,
        /// Requests or jobs that may wait.
        pub queue: u32,
        /// Maximum size of a request's body, in bytes.
        pub body_bytes: u64,
    }

    /// A validated catalogue entry.
    pub struct Entry {
        /// Name by which callers request the work.
        pub name: EntryName,
        /// The team that is responsible for it.
        pub owner: OwnerName,
        /// Whether it serves requests, batch jobs or long-running jobs.
        pub class: Class,
        /// Resources that one request or task takes of a host.
        pub size: Size,
        /// Limits on concurrency, rate, queue length and body size.
        pub limits: Limits,
        /// Whether a request may be sent again when its outcome is unknown.
        pub idempotent: bool,
        /// Time within which a request is answered unless the caller sets a shorter deadline.
        pub deadline: Duration,
        /// How long an owner that can't reach the table may keep renewing a task's lease.
        pub hold: Duration,
        /// Failed attempts after which a job ends as failed.
        pub max_failures: u32,
        /// Priority: the owner's weight in queues. Tasks with a lower one are evicted sooner.
        pub priority: u32,
        /// Whether it accepts new work.
        pub state: EntryState,
        /// The catalogue revision that last changed it.
        pub revision: Revision,
    }

    /// A catalogue entry as operators write it.
    #[serde(deny_unknown_fields)]
    pub struct RawEntry {
        /// 1 to 96 characters out of `a-z`, `0-9`, `.`, `_` and `-`.
        pub name: String,
        /// The team that is responsible for it, named by the same rules.
        pub owner: String,
        /// `latency-critical`, `batch` or `long-running`.
        pub class: String,
        /// Processors of one request or task, in thousandths of a core.
        pub millicores: u64,
        /// Memory of one request or task, in MB.
        pub memory_mb: u64,
        /// Accelerators of one request or task; 0 when absent.
        #[serde(default)]
        pub accelerators: u64,
        /// Requests or tasks that may run at once over the whole system; `DEFAULT_CONCURRENCY` when
        /// absent.
        #[serde(default)]
        pub concurrency: Option<u32>,
        /// Requests per second over the whole system; not limited when absent.
        #[serde(default)]
        pub rate_per_s: Option<u32>,
        /// Requests or jobs that may wait; `DEFAULT_QUEUE` when absent.
        #[serde(default)]
        pub queue: Option<u32>,
        /// Maximum size of a request's body, in bytes; [`DEFAULT_BODY_BYTES`] when absent.
        #[serde(default)]
        pub body_bytes: Option<u64>,
        /// Whether a request may be sent again when its outcome is unknown; false when absent.
        #[serde(default)]
        pub idempotent: bool,
        /// Time within which a request is answered, in milliseconds; `DEFAULT_DEADLINE_MS` when
        /// absent.
        #[serde(default)]
        pub deadline_ms: Option<u64>,
        /// How long an owner that can't reach the table may keep renewing a task's lease, in
        /// milliseconds; `DEFAULT_HOLD_MS` when absent.
        #[serde(default)]
        pub hold_ms: Option<u64>,
        /// Failed attempts after which a job ends as failed; `DEFAULT_MAX_FAILURES` when absent.
        #[serde(default)]
        pub max_failures: Option<u32>,
        /// Priority, 0 to 1000; tasks with a lower one are evicted sooner. `DEFAULT_PRIORITY` when
        /// absent.
        #[serde(default)]
        pub priority: Option<u32>,
        /// Whether the entry accepts no new work.
        #[serde(default)]
        pub retired: bool,
    }
}

/// Maximum of any entry's body limit, in bytes.
pub const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
/// Body limit of an entry that does not set one, in bytes.
pub const DEFAULT_BODY_BYTES: u64 = 1024 * 1024;

/// A catalogue file as operators write it: a list of `[[entry]]` tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogueFile {
    /// The `[[entry]]` tables, in the order of the file.
    #[serde(default)]
    pub entry: Vec<RawEntry>,
}

/// All faults of one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryFaults {
    /// The entry's name as written, which may itself be invalid.
    pub entry: String,
    /// The faults, at least one, in the order in which they were found.
    pub faults: Vec<KeyFault>,
}

/// A fault in one key of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFault {
    /// The key as it is written in a catalogue file.
    pub key: &'static str,
    /// A message with the value and the values that are allowed.
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
    /// Whether the entry accepts new work.
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

/// Collects faults, so that an operator can correct all of them at once.
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

    fn range(&mut self, key: &'static str, value: u64, min: u64, max: u64) {
        if !(min..=max).contains(&value) {
            self.fault(key, format!("{value} is outside {min} to {max}"));
        }
    }
}
