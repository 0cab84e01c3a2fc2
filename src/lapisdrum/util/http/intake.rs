//! What the callers of a process hold together: bytes of requests and responses, and connections.
//!
//! All servers of a process share one [`Intake`]. Memory is taken before bytes are buffered, beyond a
//! small allowance that each connection has of its own, so that an ordinary request is served however
//! much the others hold. When nothing is left, [`crate::policy::intake`] chooses who gives way.

use super::connection::Connection;
use crate::policy::intake::{self, Client, Shortage};
use indexmap::IndexMap;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::{Registry, Unit},
};
use std::{
    cell::{Cell, RefCell},
    fs,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;

/// Bytes that each connection may hold without taking them from the common limit. An ordinary
/// request and its response fit.
pub(super) const ALLOWANCE_BYTES: usize = 16 * 1024;
/// Memory of a connection that holds its allowance, with the buffers of both directions.
const CONNECTION_BYTES: usize = 64 * 1024;
/// Part of the process's memory that callers may hold in bytes of requests and responses, and the
/// same again in connections. The rest is for the scheduler's state and the allocator's overhead.
const MEMORY_PARTS: usize = 5;
/// Descriptors that are left aside for files.
const FILE_DESCRIPTORS: usize = 200;
/// Connections that callers always get: enough for the load balancer and a few callers, should the
/// limit of descriptors be hardly larger than what is left aside.
const MIN_CONNECTIONS: usize = 16;
/// Minimum time between two log lines about clients that gave way.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Memory and descriptors of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory in MB.
    pub memory_mb: usize,
    /// Number of descriptors.
    pub descriptors: usize,
}

impl ProcessLimits {
    /// Of a process on the smallest host that the users have.
    pub const SMALLEST: Self = Self {
        memory_mb: 160,
        descriptors: 4_096,
    };
    /// The least that is accepted: the state at the start, files, and a few requests of the greatest
    /// size.
    pub const LEAST: Self = Self {
        memory_mb: 64,
        descriptors: 256,
    };

    /// These limits, with the descriptors that the system allows this process if they are fewer.
    pub fn within_system(self) -> Self {
        let allowed = allowed_descriptors().unwrap_or(self.descriptors);
        Self {
            descriptors: self.descriptors.min(allowed),
            ..self
        }
    }
}

/// The soft limit of open files of this process; `None` if it can't be read or there is none.
fn allowed_descriptors() -> Option<usize> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|l| l.strip_prefix("Max open files"));
    line?.split_whitespace().next()?.parse().ok()
}

/// What all callers of a process may hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Bytes of requests and responses, beyond each connection's allowance.
    pub bytes: usize,
    /// Open connections.
    pub connections: usize,
}

impl IntakeLimits {
    /// No limits.
    pub const NONE: Self = Self {
        bytes: usize::MAX,
        connections: usize::MAX,
    };
}

impl From<ProcessLimits> for IntakeLimits {
    fn from(process: ProcessLimits) -> Self {
        let bytes = process.memory_mb * 1024 * 1024 / MEMORY_PARTS;
        // Calls to the store, workers and other daemons need as many as callers do.
        let by_descriptors = process.descriptors.saturating_sub(FILE_DESCRIPTORS) / 2;
        Self {
            bytes,
            connections: by_descriptors
                .min(bytes / CONNECTION_BYTES)
                .max(MIN_CONNECTIONS),
        }
    }
}

/// Why a client gave way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct YieldLabel {
    /// From a fixed set, [`YieldLabel::REASONS`].
    pub reason: &'static str,
}

impl YieldLabel {
    /// `body`: the request was refused for want of memory. `connection_memory` and `connections`:
    /// the connection was closed, for want of memory or of connections. `newcomer`: a new connection
    /// was closed, since none of the others could be.
    pub const REASONS: [&'static str; 4] = ["body", "connection_memory", "connections", "newcomer"];
}

/// Metrics of an [`Intake`].
#[derive(Clone, Debug, Default)]
pub struct IntakeMetrics {
    /// Bytes held, beyond each connection's allowance.
    pub held: Gauge,
    /// Open connections.
    pub connections: Gauge,
    /// Clients that gave way, by reason.
    pub yields: Family<YieldLabel, Counter>,
}

impl IntakeMetrics {
    /// Registers all metrics, the counters at zero.
    pub fn register(&self, r: &mut Registry) {
        let held = self.held.clone();
        let help = "Memory held for callers beyond the allowance of each connection";
        r.register_with_unit("callers_held", help, Unit::Bytes, held);
        let connections = self.connections.clone();
        r.register(
            "callers_connections",
            "Open connections of callers",
            connections,
        );
        let yields = self.yields.clone();
        let help = "Callers refused or disconnected for want of memory or connections";
        r.register("callers_yielded", help, yields);
        // An alert needs the counter before the first event.
        for reason in YieldLabel::REASONS {
            drop(self.yields.get_or_create(&YieldLabel { reason }));
        }
    }
}

/// Bytes taken from an [`Intake`], given back on drop.
#[derive(Debug)]
pub(super) struct Charge {
    held: Arc<AtomicUsize>,
    bytes: usize,
}

impl Charge {
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn set(&mut self, bytes: usize) {
        // Wraps around where the charge falls; the sum is right again.
        let change = bytes.wrapping_sub(self.bytes);
        self.held.fetch_add(change, Ordering::Relaxed);
        self.bytes = bytes;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Clients that gave way since the last log line, and when that was written.
#[derive(Clone, Copy, Default)]
struct Unlogged {
    count: u64,
    logged_at: Option<Instant>,
}

/// Memory and connections that the callers of a process share.
pub struct Intake {
    limits: IntakeLimits,
    metrics: IntakeMetrics,
    /// Bytes held. Atomic because bodies, which give them back, may be dropped anywhere.
    held: Arc<AtomicUsize>,
    connections: RefCell<IndexMap<u64, Rc<Connection>>>,
    next_id: Cell<u64>,
    unlogged: Cell<Unlogged>,
}

impl Intake {
    /// An intake that holds nothing.
    pub fn new(limits: IntakeLimits, metrics: IntakeMetrics) -> Rc<Self> {
        if limits != IntakeLimits::NONE {
            let (max_bytes, max_connections) = (limits.bytes, limits.connections);
            log::info!(max_bytes, max_connections; "limits of what callers hold");
        }
        Rc::new(Self {
            limits,
            metrics,
            held: Arc::default(),
            connections: RefCell::default(),
            next_id: Cell::new(0),
            unlogged: Cell::default(),
        })
    }

    /// Admits a new connection. If there are too many, another is closed; `None` if none can be.
    pub(super) fn admit(self: &Rc<Self>) -> Option<Rc<Connection>> {
        if self.open() >= self.limits.connections {
            match self.choose(Shortage::Connections) {
                Some(client) => {
                    client.close();
                    self.note("connections");
                }
                None => {
                    self.note("newcomer");
                    return None;
                }
            }
        }
        let id = self.next_id.replace(self.next_id.get() + 1);
        let connection = Rc::new(Connection::new(id, self));
        let admitted = Rc::clone(&connection);
        self.connections.borrow_mut().insert(id, admitted);
        self.show();
        Some(connection)
    }

    /// Forgets a connection that is closed.
    pub(super) fn remove(&self, id: u64) {
        self.connections.borrow_mut().swap_remove(&id);
        self.show();
    }

    /// An empty charge.
    pub(super) fn charge(&self) -> Charge {
        Charge {
            held: Arc::clone(&self.held),
            bytes: 0,
        }
    }

    /// Changes a charge of the connection `id`. If there is not enough memory left, others give way;
    /// false if the connection itself has to, and the charge is as before.
    pub(super) fn try_set(&self, id: u64, charge: &mut Charge, bytes: usize) -> bool {
        let more = bytes.saturating_sub(charge.bytes);
        while more > 0 && !self.has_room(more) {
            match self.choose(Shortage::Memory) {
                Some(client) if client.id() == id => return false,
                Some(client) => match client.yield_memory() {
                    true => self.note("body"),
                    false => self.note("connection_memory"),
                },
                None => return false,
            }
        }
        charge.set(bytes);
        self.show();
        true
    }

    /// Counts a client that gave way, and writes a line about it unless there was one just before.
    pub(super) fn note(&self, reason: &'static str) {
        let yields = &self.metrics.yields;
        yields.get_or_create(&YieldLabel { reason }).inc();
        let now = Instant::now();
        let Unlogged { count, logged_at } = self.unlogged.get();
        let count = count + 1;
        if logged_at.is_some_and(|at| now.duration_since(at) < LOG_INTERVAL) {
            self.unlogged.set(Unlogged { count, logged_at });
            return;
        }
        self.unlogged.set(Unlogged {
            count: 0,
            logged_at: Some(now),
        });
        let (held_bytes, connections) = (self.held.load(Ordering::Relaxed), self.open());
        let (max_bytes, max_connections) = (self.limits.bytes, self.limits.connections);
        log::warn!(reason, count, held_bytes, max_bytes, connections, max_connections; "callers gave way");
    }

    /// Connections, less those that are being closed.
    fn open(&self) -> usize {
        let connections = self.connections.borrow();
        let open = connections.values().filter(|c| !c.is_closing());
        open.count()
    }

    fn has_room(&self, more: usize) -> bool {
        // What has been told to give way is counted as free: it is dropped as soon as its task runs.
        let connections = self.connections.borrow();
        let yielding = connections.values().filter(|c| c.has_yielded());
        let yielding: usize = yielding.map(|c| c.held_bytes()).sum();
        let held = self.held.load(Ordering::Relaxed).saturating_sub(yielding);
        held.saturating_add(more) <= self.limits.bytes
    }

    fn choose(&self, shortage: Shortage) -> Option<Rc<Connection>> {
        let now = Instant::now();
        let connections = self.connections.borrow();
        let clients = connections.values().filter(|c| match shortage {
            Shortage::Memory => !c.has_yielded(),
            Shortage::Connections => !c.is_closing(),
        });
        let client = |c: &Rc<Connection>| Client {
            id: c.id(),
            stage: c.stage(),
            held_bytes: c.held_bytes(),
            stalled_for: now.duration_since(c.progressed_at()),
        };
        let chosen = intake::choose(clients.map(client), shortage)?;
        connections.get(&chosen.id).cloned()
    }

    fn show(&self) {
        let held = self.held.load(Ordering::Relaxed);
        self.metrics
            .held
            .set(i64::try_from(held).unwrap_or(i64::MAX));
        let connections = self.connections.borrow().len();
        let connections = i64::try_from(connections).unwrap_or(i64::MAX);
        self.metrics.connections.set(connections);
    }
}
