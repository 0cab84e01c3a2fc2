//! A daemon's settings: one TOML file, checked whole before anything starts.
//!
//! Every fault is reported at once with file, key and what is allowed, so that an operator mends a
//! file in one go. docs/SETTINGS.md lists the keys.

pub mod entries;
pub mod lines;
pub mod reader;
pub mod table;

use crate::{
    core::id::{DaemonId, DataCentre},
    state::ownership::LeaseTerms,
};
use reader::{Faults, Reader};
use std::{fs, net::SocketAddr, path::Path, time::Duration};

/// Checked settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The daemon itself.
    pub daemon: DaemonSettings,
    /// How to reach the platform.
    pub platform: PlatformSettings,
    /// Shards, leases and the ledger.
    pub shards: ShardSettings,
    /// The catalogue's follower.
    pub catalogue: CatalogueSettings,
    /// The request path.
    pub requests: RequestSettings,
    /// Logs.
    pub log: LogSettings,
    /// Events kept for the time line.
    pub timeline_capacity: usize,
}

/// The daemon itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// Its name.
    pub name: DaemonId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where callers and operators reach it.
    pub callers: SocketAddr,
    /// Where other daemons reach it.
    pub peers: SocketAddr,
    /// Peers' addresses to ask first while the table is away.
    pub ask_first: Vec<SocketAddr>,
    /// Longest time that a graceful end waits for what is in flight.
    pub drain: Duration,
}

/// How to reach the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Time for a call.
    pub timeout: Duration,
    /// Time between two reads of the membership list and of the peers' presence.
    pub poll: Duration,
}

/// Shards, leases and the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardSettings {
    /// Shards into which this data centre's racks are divided.
    pub count: u32,
    /// Lease figures.
    pub terms: LeaseTerms,
    /// Time between two renewals of shards.
    pub renew: Duration,
    /// Life of a task's lease.
    pub task_lease: Duration,
    /// Time between two renewals of tasks.
    pub task_renew: Duration,
    /// Time for a command to a worker.
    pub command_timeout: Duration,
    /// Time that an urgent event waits for company before it is written.
    pub linger_urgent: Duration,
    /// Time that any other event waits.
    pub linger_batch: Duration,
    /// Least time between two rows of one ledger: bounds a shard's writes under any load.
    pub write_spacing: Duration,
    /// Most events in one row of a ledger.
    pub row_events: usize,
    /// Time between two readings of a worker's measured use.
    pub usage: Duration,
    /// Least time between two checkpoints of one running task in the ledger.
    pub checkpoint: Duration,
    /// Time for which ended jobs are kept.
    pub retention: Duration,
    /// Most ended jobs that are kept.
    pub retained: usize,
    /// Time for which a long-running task stays on a host that is leaving.
    pub leaving_grace: Duration,
    /// Batches after which a snapshot is taken.
    pub snapshot_batches: u64,
    /// Hundredths of each worker that are kept for requests.
    pub request_share_percent: u32,
}

/// The catalogue's follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogueSettings {
    /// Time between two reads of the revision.
    pub poll: Duration,
}

/// The request path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSettings {
    /// Largest body of any request, in bytes.
    pub max_body_bytes: u64,
    /// Connections to one worker.
    pub connections: u32,
    /// Time for a call to a peer.
    pub peer_timeout: Duration,
    /// Time between two exchanges about floors.
    pub grant_poll: Duration,
    /// How long the outcome of a request whose caller brought an id is kept for repeats.
    pub claim_retention: Duration,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// For machines.
    Json,
}

/// Logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: log::LevelFilter,
    /// Form of the lines.
    pub format: LogFormat,
}

impl Settings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, Faults> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|e| Faults::whole_file(&file, e))?;
        Self::parse(&file, &text)
    }

    /// Checks a file's text; `file` is its name in messages.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut reader = Reader::new(file, text)?;
        let settings = Self::read(&mut reader);
        match (settings, reader.finish()) {
            (Some(settings), None) => Ok(settings),
            (_, Some(faults)) => Err(faults),
            (None, None) => Err(Faults::whole_file(file, "a required setting is missing")),
        }
    }

    fn read(r: &mut Reader) -> Option<Self> {
        let daemon = read_daemon(r);
        let platform = read_platform(r);
        let shards = read_shards(r);
        check_timeout(r, platform.as_ref(), &shards);
        let catalogue = CatalogueSettings {
            poll: r.duration("catalogue.poll_ms"),
        };
        let requests = read_requests(r);
        let log = LogSettings {
            level: log_level(r.word("log.level")),
            format: log_format(r.word("log.format")),
        };
        let capacity = r.integer("timeline.capacity");
        Some(Self {
            daemon: daemon?,
            platform: platform?,
            shards,
            catalogue,
            requests,
            log,
            timeline_capacity: count(capacity),
        })
    }
}

fn log_level(word: &str) -> log::LevelFilter {
    word.parse().unwrap_or(log::LevelFilter::Info)
}

fn log_format(word: &str) -> LogFormat {
    match word {
        "json" => LogFormat::Json,
        _ => LogFormat::Text,
    }
}

fn read_daemon(r: &mut Reader) -> Option<DaemonSettings> {
    let name = r.required_name("daemon.name");
    let data_centre = r.required_name("daemon.data_centre");
    let callers = r.required_address("daemon.callers");
    let peers = r.required_address("daemon.peers");
    let ask_first = r.addresses("daemon.ask_first");
    let drain = r.duration("daemon.drain_ms");
    check_addresses(r, callers, peers);
    Some(DaemonSettings {
        name: name?,
        data_centre: data_centre?,
        callers: callers?,
        peers: peers?,
        ask_first,
        drain,
    })
}

/// Other daemons are told both addresses and go by them, so they must lead here from elsewhere, and
/// one can't serve both protocols.
fn check_addresses(r: &mut Reader, callers: Option<SocketAddr>, peers: Option<SocketAddr>) {
    for (key, address) in [("daemon.callers", callers), ("daemon.peers", peers)] {
        if address.is_some_and(|address| address.ip().is_unspecified() || address.port() == 0) {
            r.fault(
                key,
                "must be the IP number and port by which others reach this daemon",
            );
        }
    }
    if callers.is_some() && callers == peers {
        r.fault("daemon.peers", "must differ from `daemon.callers`");
    }
}

fn read_platform(r: &mut Reader) -> Option<PlatformSettings> {
    let address = r.required_address("platform.address");
    let timeout = r.duration("platform.timeout_ms");
    let poll = r.duration("platform.poll_ms");
    Some(PlatformSettings {
        address: address?,
        timeout,
        poll,
    })
}

fn read_shards(r: &mut Reader) -> ShardSettings {
    let lease = r.duration("shards.lease_ms");
    let drift = r.integer("shards.drift_permille");
    let renew = r.duration("shards.renew_ms");
    let task_lease = r.duration("shards.task_lease_ms");
    let task_renew = r.duration("shards.task_renew_ms");
    if renew * 2 > lease {
        r.fault(
            "shards.renew_ms",
            "must be at most half of `shards.lease_ms`",
        );
    }
    if task_renew * 2 > task_lease {
        r.fault(
            "shards.task_renew_ms",
            "must be at most half of `shards.task_lease_ms`",
        );
    }
    ShardSettings {
        count: small(r.integer("shards.count")),
        terms: LeaseTerms {
            lease,
            drift_permille: small(drift),
        },
        renew,
        task_lease,
        task_renew,
        command_timeout: r.duration("shards.command_timeout_ms"),
        linger_urgent: r.duration("shards.linger_urgent_ms"),
        linger_batch: r.duration("shards.linger_batch_ms"),
        write_spacing: r.duration("shards.write_spacing_ms"),
        row_events: count(r.integer("shards.row_events")),
        usage: r.duration("shards.usage_ms"),
        checkpoint: r.duration("shards.checkpoint_ms"),
        retention: r.duration("shards.retention_ms"),
        retained: count(r.integer("shards.retained")),
        leaving_grace: r.duration("shards.leaving_grace_ms"),
        snapshot_batches: r.integer("shards.snapshot_batches"),
        request_share_percent: small(r.integer("shards.request_share_percent")),
    }
}

/// A renewal that hangs for as long as the lease lasts would lose it at the first lost packet.
fn check_timeout(r: &mut Reader, platform: Option<&PlatformSettings>, shards: &ShardSettings) {
    let left = shards.terms.lease.saturating_sub(shards.renew);
    if platform.is_some_and(|platform| platform.timeout > left) {
        r.fault(
            "platform.timeout_ms",
            "must be at most `shards.lease_ms` less `shards.renew_ms`",
        );
    }
}

fn read_requests(r: &mut Reader) -> RequestSettings {
    RequestSettings {
        max_body_bytes: r.integer("requests.max_body_bytes"),
        connections: small(r.integer("requests.connections")),
        peer_timeout: r.duration("requests.peer_timeout_ms"),
        grant_poll: r.duration("requests.grant_poll_ms"),
        claim_retention: r.duration("requests.claim_retention_ms"),
    }
}

/// A count of things in memory.
fn count(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}

/// Narrows a value whose range was checked to lie far below the limit.
fn small(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
