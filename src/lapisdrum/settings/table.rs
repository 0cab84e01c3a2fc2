//! The table of settings: unit, default, range and meaning of each.
//!
//! The reader takes defaults and ranges from this table, and a test compares docs/SETTINGS.md with
//! [`markdown`], so the page can't differ from the code.

use crate::{
    core::catalogue::{DEFAULT_BODY_BYTES, MAX_BODY_BYTES},
    util::http::intake::ProcessLimits,
};
use std::fmt::Write;

/// Type, default and range of a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A name; required.
    Name,
    /// An IP number and port; required.
    Address,
    /// A list of IP numbers and ports; empty when absent.
    Addresses,
    /// A whole number.
    Number {
        /// Unit, as shown on the page.
        unit: &'static str,
        /// Value if the key is absent.
        default: u64,
        /// Minimum value.
        min: u64,
        /// Maximum value.
        max: u64,
    },
    /// One of a closed set of words.
    Word {
        /// Value if the key is absent.
        default: &'static str,
        /// The allowed words.
        words: &'static [&'static str],
    },
}

/// A row of the table of settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Dotted key, such as `log.level`.
    pub key: &'static str,
    /// Type, default and range.
    pub kind: Kind,
    /// Description for the page, one phrase.
    pub about: &'static str,
}

const fn setting(key: &'static str, kind: Kind, about: &'static str) -> Setting {
    Setting { key, kind, about }
}

const fn number(unit: &'static str, default: u64, min: u64, max: u64) -> Kind {
    Kind::Number {
        unit,
        default,
        min,
        max,
    }
}

const fn ms(default: u64, min: u64, max: u64) -> Kind {
    number("ms", default, min, max)
}

/// All settings, in the order of docs/SETTINGS.md.
pub const SETTINGS: &[Setting] = &[
    setting(
        "daemon.name",
        Kind::Name,
        "the daemon's name, unique over all data centres",
    ),
    setting(
        "daemon.data_centre",
        Kind::Name,
        "its data centre, as in the platform's list of hosts",
    ),
    setting(
        "daemon.callers",
        Kind::Address,
        "where callers and operators reach it (HTTP)",
    ),
    setting(
        "daemon.peers",
        Kind::Address,
        "where other daemons reach it; tells its host from others",
    ),
    setting(
        "daemon.ask_first",
        Kind::Addresses,
        "`daemon.peers` of some others, asked at the start while the table is away",
    ),
    setting(
        "daemon.drain_ms",
        ms(30_000, 100, 3_600_000),
        "longest time that a graceful end waits for requests in flight",
    ),
    setting(
        "daemon.memory_mb",
        number(
            "MB",
            ProcessLimits::SMALLEST.memory_mb as u64,
            ProcessLimits::LEAST.memory_mb as u64,
            1_048_576,
        ),
        "memory of the process; its callers may hold a fifth of it in requests and responses, and the same again in connections",
    ),
    setting(
        "daemon.descriptors",
        number(
            "descriptors",
            ProcessLimits::SMALLEST.descriptors as u64,
            ProcessLimits::LEAST.descriptors as u64,
            1_048_576,
        ),
        "descriptors of the process, if the system allows it as many; its callers may hold half of what remains after 200 for files",
    ),
    setting("platform.address", Kind::Address, "the platform's service"),
    setting(
        "platform.timeout_ms",
        ms(1_000, 10, 60_000),
        "time for one call to the platform; at most `shards.lease_ms` less `shards.renew_ms`",
    ),
    setting(
        "platform.poll_ms",
        ms(1_000, 10, 60_000),
        "time between two reads of the list of hosts",
    ),
    setting(
        "shards.count",
        number("shards", 1, 1, 64),
        "shards of the data centre; the same at all its daemons",
    ),
    setting(
        "shards.lease_ms",
        ms(4_000, 100, 600_000),
        "life of a shard's lease without renewal; the same at all its daemons",
    ),
    setting(
        "shards.drift_permille",
        number("thousandths", 10, 0, 200),
        "greatest difference in speed between two hosts' clocks",
    ),
    setting(
        "shards.renew_ms",
        ms(1_000, 10, 60_000),
        "time between two renewals; at most half of `shards.lease_ms`",
    ),
    setting(
        "shards.task_lease_ms",
        ms(15_000, 100, 600_000),
        "life of a task's lease without renewal",
    ),
    setting(
        "shards.task_renew_ms",
        ms(3_000, 10, 60_000),
        "time between two visits of a worker; at most half of `shards.task_lease_ms`",
    ),
    setting(
        "shards.command_timeout_ms",
        ms(1_000, 10, 60_000),
        "time for one command to a worker",
    ),
    setting(
        "shards.linger_urgent_ms",
        ms(20, 0, 1_000),
        "time that an urgent event waits for others before its ledger row is written",
    ),
    setting(
        "shards.linger_batch_ms",
        ms(100, 0, 10_000),
        "time that any other event waits",
    ),
    setting(
        "shards.write_spacing_ms",
        ms(50, 0, 10_000),
        "least time between two rows of one ledger; bounds a shard's writes under any load",
    ),
    setting(
        "shards.row_events",
        number("events", 1_000, 1, 100_000),
        "most events in one row of a ledger",
    ),
    setting(
        "shards.usage_ms",
        ms(15_000, 100, 600_000),
        "time between two readings of a worker's measured use",
    ),
    setting(
        "shards.checkpoint_ms",
        ms(15_000, 0, 600_000),
        "least time between two checkpoints of one running task in the ledger",
    ),
    setting(
        "shards.retention_ms",
        ms(3_600_000, 0, 86_400_000),
        "time for which ended jobs are kept",
    ),
    setting(
        "shards.retained",
        number("jobs", 20_000, 1, 1_000_000),
        "most ended jobs that are kept; beyond it the oldest are forgotten early",
    ),
    setting(
        "shards.leaving_grace_ms",
        ms(30_000, 0, 3_600_000),
        "time for which a long-running task stays on a host that is leaving",
    ),
    setting(
        "shards.snapshot_batches",
        number("rows", 1_024, 1, 1_000_000),
        "ledger rows after which a snapshot is taken",
    ),
    setting(
        "shards.request_share_percent",
        number("%", 50, 0, 100),
        "part of each worker that is kept for requests",
    ),
    setting(
        "catalogue.poll_ms",
        ms(1_000, 10, 60_000),
        "time between two reads of the catalogue's revision",
    ),
    setting(
        "requests.max_body_bytes",
        number("bytes", DEFAULT_BODY_BYTES, 1_024, MAX_BODY_BYTES),
        "largest body of any request",
    ),
    setting(
        "requests.connections",
        number("connections", 16, 1, 10_000),
        "connections to one worker",
    ),
    setting(
        "requests.peer_timeout_ms",
        ms(1_000, 10, 60_000),
        "time for one call to another daemon",
    ),
    setting(
        "requests.grant_poll_ms",
        ms(1_000, 10, 60_000),
        "time between two exchanges about floors",
    ),
    setting(
        "requests.claim_retention_ms",
        ms(3_600_000, 1_000, 86_400_000),
        "time for which the outcome of a request whose caller brought an id is kept for repeats",
    ),
    setting(
        "log.level",
        Kind::Word {
            default: "info",
            words: &["error", "warn", "info", "debug"],
        },
        "least severe level that is written",
    ),
    setting(
        "log.format",
        Kind::Word {
            default: "text",
            words: &["text", "json"],
        },
        "form of the lines on standard error",
    ),
    setting(
        "timeline.capacity",
        number("events", 10_000, 100, 1_000_000),
        "events that the daemon keeps for the time line",
    ),
];

impl Setting {
    /// The setting with this key.
    ///
    /// # Panics
    ///
    /// If the table has no such key. This is a programming error that shows at the first start, since
    /// every start of a daemon reads all settings.
    pub fn named(key: &str) -> &'static Self {
        let found = SETTINGS.iter().find(|setting| setting.key == key);
        found.unwrap_or_else(|| panic!("`{key}` is not in the table of settings"))
    }

    /// Unit, default and allowed values, as shown on the page.
    fn columns(&self) -> (String, String, String) {
        let required = || "required".to_owned();
        match self.kind {
            Kind::Name => (
                "name".to_owned(),
                required(),
                "1 to 96 of a-z, 0-9, `.`, `_`, `-`".to_owned(),
            ),
            Kind::Address => (
                "address".to_owned(),
                required(),
                "IP number and port".to_owned(),
            ),
            Kind::Addresses => (
                "addresses".to_owned(),
                "`[]`".to_owned(),
                "IP numbers and ports".to_owned(),
            ),
            Kind::Number {
                unit,
                default,
                min,
                max,
            } => (
                unit.to_owned(),
                default.to_string(),
                format!("{min} to {max}"),
            ),
            Kind::Word { default, words } => {
                let quoted: Vec<String> = words.iter().map(|word| format!("`{word}`")).collect();
                ("word".to_owned(), format!("`{default}`"), quoted.join(", "))
            }
        }
    }
}

/// Renders the table of docs/SETTINGS.md.
pub fn markdown() -> String {
    let mut page = String::from("| key | unit | default | allowed | what it does |\n");
    page.push_str("|---|---|---|---|---|\n");
    for setting in SETTINGS {
        let (unit, default, allowed) = setting.columns();
        let (key, about) = (setting.key, setting.about);
        // Writing to a string can't fail.
        let _ = writeln!(
            page,
            "| `{key}` | {unit} | {default} | {allowed} | {about} |"
        );
    }
    page
}
