//! A daemon's settings, read from one TOML file and fully checked before anything starts.
//!
//! All faults are reported at once with file, line, key and allowed values, so that an operator can
//! correct a file in one pass. docs/SETTINGS.md lists the keys.

pub mod entries;
pub mod lines;
pub mod reader;
pub mod table;

use crate::{
    core::id::{DaemonId, DataCentre},
    state::ownership::LeaseTerms,
    util::http::intake::{IntakeLimits, ProcessLimits},
};
use reader::{Faults, Reader};
use std::{fs, net::SocketAddr, path::Path, time::Duration};

/// Checked settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Identity, addresses and shutdown of the daemon.
    pub daemon: DaemonSettings,
    /// Access to the platform.
    pub platform: PlatformSettings,
    /// Shards, leases and the ledger.
    pub shards: ShardSettings,
    /// Polling of the catalogue.
    pub catalogue: CatalogueSettings,
    /// Forwarding of requests to workers and daemons.
    pub requests: RequestSettings,
    /// Level and format of the log.
    pub log: LogSettings,
    /// Maximum number of events kept for the time line.
    pub timeline_capacity: usize,
}

/// Identity, addresses and shutdown of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// Name, unique over all data centres.
    pub name: DaemonId,
    /// Data centre, as in the platform's list of hosts.
    pub data_centre: DataCentre,
    /// HTTP address for callers and operators.
    pub callers: SocketAddr,
    /// Address for other daemons, which also identifies the daemon's host.
    pub peers: SocketAddr,
    /// Peer addresses of other daemons to contact about the catalogue, besides the known members.
    pub ask_first: Vec<SocketAddr>,
    /// Maximum time that a graceful shutdown waits for requests in flight.
    pub drain: Duration,
    /// Memory and descriptors of the process.
    pub process: ProcessLimits,
}

/// Access to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of the platform's service.
    pub address: SocketAddr,
    /// Timeout of one call.
    pub timeout: Duration,
    /// Interval between reads of the membership list and of the peers' presence.
    pub poll: Duration,
}

/// Shards, leases and the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardSettings {
    /// Number of shards into which the data centre's racks are divided.
    pub count: u32,
    /// Duration of a shard's lease and clock drift to allow for.
    pub terms: LeaseTerms,
    /// Interval between renewals of a shard's lease.
    pub renew: Duration,
    /// Time after its last renewal at which a task's lease ends.
    pub task_lease: Duration,
    /// Interval between polls of a worker, which renew the leases of its tasks.
    pub task_renew: Duration,
    /// Timeout of a command to a worker.
    pub command_timeout: Duration,
    /// Time that an urgent event waits to be batched with others before it is written.
    pub linger_urgent: Duration,
    /// Time that any other event waits to be batched.
    pub linger_batch: Duration,
    /// Minimum time between two rows of one ledger; bounds a shard's write rate under any load.
    pub write_spacing: Duration,
    /// Maximum number of events in one row of a ledger.
    pub row_events: usize,
    /// Interval between reads of a worker's measured resource usage.
    pub usage: Duration,
    /// Minimum time between two checkpoints of one running task in the ledger.
    pub checkpoint: Duration,
    /// Time for which ended jobs are kept.
    pub retention: Duration,
    /// Maximum number of ended jobs that are kept.
    pub retained: usize,
    /// Time for which a long-running task stays on a host that is leaving.
    pub leaving_grace: Duration,
    /// Number of ledger rows after which a snapshot is taken.
    pub snapshot_batches: u64,
    /// Share of each worker's capacity that is reserved for requests, in percent.
    pub request_share_percent: u32,
}

/// Polling of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogueSettings {
    /// Interval between reads of the catalogue's revision.
    pub poll: Duration,
}

/// Forwarding of requests to workers and daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSettings {
    /// Largest body of any request, in bytes.
    pub max_body_bytes: u64,
    /// Maximum number of connections to one worker.
    pub connections: u32,
    /// Timeout of a call to another daemon.
    pub peer_timeout: Duration,
    /// Interval between exchanges of request floors (guaranteed capacity) with the shards' owners.
    pub grant_poll: Duration,
    /// Time for which the outcome of a request with a caller's id is kept to answer repeats.
    pub claim_retention: Duration,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text, for people.
    Text,
    /// One JSON object per line, for log collectors.
    Json,
}

/// Level and format of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: log::LevelFilter,
    /// Format of the lines.
    pub format: LogFormat,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, Faults> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|e| Faults::whole_file(&file, e))?;
        Self::parse(&file, &text)
    }

    /// Parses and checks the text of a settings file; `file` is its name in error messages.
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
        check_memory(r, daemon.as_ref(), &requests);
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
            timeline_capacity: to_usize(capacity),
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
    let process = ProcessLimits {
        memory_mb: to_usize(r.integer("daemon.memory_mb")),
        descriptors: to_usize(r.integer("daemon.descriptors")),
    };
    check_addresses(r, callers, peers);
    Some(DaemonSettings {
        name: name?,
        data_centre: data_centre?,
        callers: callers?,
        peers: peers?,
        ask_first,
        drain,
        process,
    })
}

/// Both addresses are published to other daemons, so they must be reachable from other hosts. They
/// must differ because one port can't serve both protocols.
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
        count: to_u32(r.integer("shards.count")),
        terms: LeaseTerms {
            lease,
            drift_permille: to_u32(drift),
        },
        renew,
        task_lease,
        task_renew,
        command_timeout: r.duration("shards.command_timeout_ms"),
        linger_urgent: r.duration("shards.linger_urgent_ms"),
        linger_batch: r.duration("shards.linger_batch_ms"),
        write_spacing: r.duration("shards.write_spacing_ms"),
        row_events: to_usize(r.integer("shards.row_events")),
        usage: r.duration("shards.usage_ms"),
        checkpoint: r.duration("shards.checkpoint_ms"),
        retention: r.duration("shards.retention_ms"),
        retained: to_usize(r.integer("shards.retained")),
        leaving_grace: r.duration("shards.leaving_grace_ms"),
        snapshot_batches: r.integer("shards.snapshot_batches"),
        request_share_percent: to_u32(r.integer("shards.request_share_percent")),
    }
}

/// Checks that a renewal that times out leaves part of the lease for a retry. Otherwise one lost
/// packet would cost the lease.
fn check_timeout(r: &mut Reader, platform: Option<&PlatformSettings>, shards: &ShardSettings) {
    let left = shards.terms.lease.saturating_sub(shards.renew);
    if platform.is_some_and(|platform| platform.timeout > left) {
        r.fault(
            "platform.timeout_ms",
            "must be at most `shards.lease_ms` less `shards.renew_ms`",
        );
    }
}

/// Checks that two callers can send a body of the greatest size at a time.
fn check_memory(r: &mut Reader, daemon: Option<&DaemonSettings>, requests: &RequestSettings) {
    let limit = daemon.map(|daemon| IntakeLimits::from(daemon.process).bytes / 2);
    if limit.is_some_and(|limit| to_usize(requests.max_body_bytes) > limit) {
        r.fault(
            "requests.max_body_bytes",
            "must be at most a tenth of `daemon.memory_mb`",
        );
    }
}

fn read_requests(r: &mut Reader) -> RequestSettings {
    RequestSettings {
        max_body_bytes: r.integer("requests.max_body_bytes"),
        connections: to_u32(r.integer("requests.connections")),
        peer_timeout: r.duration("requests.peer_timeout_ms"),
        grant_poll: r.duration("requests.grant_poll_ms"),
        claim_retention: r.duration("requests.claim_retention_ms"),
    }
}

fn to_usize(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}

/// Narrows a value that the table of settings limits to far less than `u32::MAX`.
fn to_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
