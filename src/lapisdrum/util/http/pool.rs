//! Connections to other services, kept between calls.
//!
//! The pool of `awc` hands out the connection that has been idle for longest, and closes none until
//! the same address is called again: the peak of a burst stays open, and after a network fault each
//! connection that has gone silent fails one more call. Here each connection is an `awc` client of its
//! own that is limited to one connection. The most recently used one is handed out first, idle ones
//! are closed after [`MAX_IDLE`], and a call without a response closes all that are kept for its
//! address, so that the next call opens a new one.

use awc::Client;
use indexmap::IndexMap;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::time::Instant;

/// Time after which an idle connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(15);
/// Interval between checks for idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Kind of service at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerKind {
    /// The platform's store.
    Store,
    /// A worker.
    Worker,
}

impl PeerKind {
    /// Name for metrics and logs.
    fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Worker => "worker",
        }
    }

    fn label(self) -> PeerLabel {
        PeerLabel { peer: self.name() }
    }
}

/// Label of metrics by kind of peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PeerLabel {
    peer: &'static str,
}

/// Metrics of the connections that a process opens.
#[derive(Clone, Debug, Default)]
pub struct ConnectionMetrics {
    open: Family<PeerLabel, Gauge>,
    given_up: Family<PeerLabel, Counter>,
}

impl ConnectionMetrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, r: &mut Registry) {
        for kind in [PeerKind::Store, PeerKind::Worker] {
            drop(self.open.get_or_create(&kind.label()));
            drop(self.given_up.get_or_create(&kind.label()));
        }
        r.register(
            "connections_open",
            "Connections to other services, in use or kept",
            self.open.clone(),
        );
        r.register(
            "connections_given_up",
            "Kept connections closed since a call to their address got no response",
            self.given_up.clone(),
        );
    }
}

/// The connections of a process to all peers of one kind.
pub struct ConnectionPool {
    kind: PeerKind,
    /// Creates a client that opens at most one connection.
    new_client: fn() -> Client,
    metrics: ConnectionMetrics,
    peers: RefCell<IndexMap<String, Rc<Peer>>>,
    is_sweeping: Cell<bool>,
}

/// The connections to one address.
#[derive(Default)]
struct Peer {
    /// Kept connections and when each was last used, in that order.
    idle: RefCell<Vec<(Connection, Instant)>>,
    /// Incremented when the kept connections are closed, so that those in use are not kept either.
    generation: Cell<u64>,
}

impl Peer {
    /// Closes the kept connections and returns their number.
    fn close_kept(&self) -> usize {
        self.generation.set(self.generation.get() + 1);
        std::mem::take(&mut *self.idle.borrow_mut()).len()
    }
}

/// One connection; closed when this is dropped.
struct Connection {
    http: Client,
    open: Gauge,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.open.dec();
    }
}

impl ConnectionPool {
    /// Creates an empty pool. Each client that `new_client` returns must be limited to one connection.
    pub fn new(kind: PeerKind, metrics: ConnectionMetrics, new_client: fn() -> Client) -> Rc<Self> {
        Rc::new(Self {
            kind,
            new_client,
            metrics,
            peers: RefCell::default(),
            is_sweeping: Cell::new(false),
        })
    }

    /// Takes a connection to `address` for one call; a new one is opened by the call itself.
    pub fn checkout(self: &Rc<Self>, address: &str) -> Checkout {
        let mut peers = self.peers.borrow_mut();
        let peer = match peers.get(address) {
            Some(peer) => Rc::clone(peer),
            None => Rc::clone(peers.entry(address.to_owned()).or_default()),
        };
        let kept = peer.idle.borrow_mut().pop();
        let connection = kept.map_or_else(|| self.new_connection(), |(connection, _)| connection);
        Checkout {
            connection,
            generation: peer.generation.get(),
            peer,
            pool: Rc::clone(self),
        }
    }

    fn new_connection(&self) -> Connection {
        let open = self.metrics.open.get_or_create_owned(&self.kind.label());
        open.inc();
        Connection {
            http: (self.new_client)(),
            open,
        }
    }

    /// Closes the connections that are kept for `address`, and those in use once their calls end.
    pub fn disconnect(&self, address: &str) {
        if let Some(peer) = self.peers.borrow_mut().swap_remove(address) {
            peer.close_kept();
        }
    }

    /// Closes connections that have been idle for too long; returns whether any are kept.
    fn close_idle(&self) -> bool {
        let mut peers = self.peers.borrow_mut();
        for peer in peers.values() {
            let mut idle = peer.idle.borrow_mut();
            idle.retain(|(_, used_at)| used_at.elapsed() < MAX_IDLE);
        }
        peers.retain(|_, peer| Rc::strong_count(peer) > 1 || !peer.idle.borrow().is_empty());
        !peers.is_empty()
    }

    fn sweep(self: &Rc<Self>) {
        if self.is_sweeping.replace(true) {
            return;
        }
        let pool = Rc::downgrade(self);
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(SWEEP_INTERVAL).await;
                let Some(pool) = pool.upgrade() else {
                    return;
                };
                if !pool.close_idle() {
                    pool.is_sweeping.set(false);
                    return;
                }
            }
        });
    }
}

/// A connection in use by one call. It is closed when this is dropped.
pub struct Checkout {
    connection: Connection,
    generation: u64,
    peer: Rc<Peer>,
    pool: Rc<ConnectionPool>,
}

impl Checkout {
    /// The client that sends the call.
    pub fn http(&self) -> &Client {
        &self.connection.http
    }

    /// Keeps the connection for further calls, after a response that was read completely.
    pub fn keep(self) {
        if self.generation != self.peer.generation.get() {
            return;
        }
        let kept = (self.connection, Instant::now());
        self.peer.idle.borrow_mut().push(kept);
        self.pool.sweep();
    }

    /// Closes the connection, on which no response arrived, and all that are kept for its address.
    pub fn give_up(self, address: &str, reason: &str) {
        let closed = self.peer.close_kept();
        let kind = self.pool.kind;
        if closed > 0 {
            log::info!(peer = kind.name(), address, closed, reason; "kept connections given up");
            let given_up = self
                .pool
                .metrics
                .given_up
                .get_or_create_owned(&kind.label());
            given_up.inc_by(closed as u64);
        }
    }
}
