//! The scheduler of job graphs. Every entry host runs one process of it; all processes have the
//! same role.
//!
//! Every process accepts jobs from callers. Racks and jobs are partitioned into shards
//! ([`layout`]); the *owner* of a shard keeps its jobs, places their tasks and renews the leases of
//! its workers. Ownership is a lease in the store that any process may take over ([`lease`]). The
//! owner persists its state as a journal in the store ([`journal`], [`ledger`]).
//!
//! [`job`], [`event`], [`ledger`] and [`resolution`] do no I/O, nor does
//! [`crate::policy::dispatch`]. [`owner`] drives them, [`front`] forwards callers' requests to the
//! shard's leaseholder ([`peer`]), and [`edge`] is the interface to store, workers and directory.
//! Everything runs on one thread; state is never borrowed across an `await`.

pub mod edge;
pub mod evacuation;
pub mod event;
pub mod features;
pub mod front;
pub mod handover;
pub mod job;
pub mod journal;
pub mod layout;
pub mod lease;
pub mod lease_feed;
pub mod ledger;
pub mod metrics;
pub mod numbers;
pub mod operators;
pub mod owner;
pub mod peer;
pub mod process;
pub mod reachability;
pub mod refused_entries;
pub mod resolution;
pub mod restart;
pub mod shape;

use crate::{
    core::{
        random::Random,
        time::{Clock, Millis},
    },
    policy::{
        dispatch::{fair_share::Weights, timings::Timings},
        polling::PollRate,
    },
};
use edge::{CallError, Catalogue, Directory, Store, Workers};
use features::Features;
use indexmap::IndexMap;
use layout::{Layout, ShardId};
use lease::{Holder, LeaseView};
use owner::Owner;
use rand::Rng;
use resolution::LeaseLimits;
use restart::RestartLimits;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::sync::{Semaphore, watch};

/// Maximum number of start orders that a process sends at a time. On a fraction of a core more of
/// them would exceed their timeout within the process, and then count as orders that workers left
/// unanswered.
const MAX_STARTS_IN_FLIGHT: usize = 128;

/// Shared context, passed to every component of the process.
pub type Cx = Rc<Node>;

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the process in leases and logs.
    pub name: String,
    /// The data centre that the process runs in.
    pub data_centre: String,
    /// Address on which other processes connect to this one.
    pub peers: SocketAddr,
    /// Initial addresses of other processes; some may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Desired maximum of workers per shard in the layout that is written at a deployment's first
    /// start.
    pub workers_per_shard: usize,
    /// Limits on the leases of workers.
    pub leases: LeaseLimits,
    /// Longest waits of long-running tasks whose worker is lost.
    pub restarts: RestartLimits,
    /// Durations of stops and restores, and how long a task may exceed its latency target.
    pub work: Timings,
    /// Longest time from the acknowledgement of an evacuation until it must be in force.
    pub evacuated_within: Duration,
    /// Longest time from a worker's announcement that it leaves until no more start reaches it.
    pub leaving_within: Duration,
    /// CPU available to the process, in cores; may be a fraction.
    pub cpu_share: f64,
    /// How long an ended job is kept.
    pub retention: Duration,
    /// Longest time that a graceful shutdown may take.
    pub drain: Duration,
    /// Optional features.
    pub features: Features,
    /// Weights of callers, where they share capacity.
    pub share_weights: Weights,
}

/// State of one shard as this process knows it.
pub struct ShardHandle {
    /// Number of the shard.
    pub shard: ShardId,
    /// The partition of the store that holds the shard's rows.
    pub partition: String,
    /// The ownership lease, as last read from the store.
    pub lease: RefCell<LeaseView>,
    /// Address of the owner that last left a call unanswered, and when it did.
    pub unresponsive_owner: RefCell<Option<(String, Millis)>>,
    /// The shard's owner, set while this process holds the lease.
    pub owner: RefCell<Option<Rc<Owner>>>,
    /// Whether this process is trying to take the shard over.
    pub is_taking: Cell<bool>,
    /// What this process has prepared to take the shard over as planned.
    pub prepared: RefCell<handover::Prepared>,
}

/// State shared by the components of a process.
pub struct Node {
    /// Settings of this process.
    pub cfg: NodeSettings,
    /// Identity of this incarnation of the process, as written into leases.
    pub me: Holder,
    /// Monotonic clock, started with the process.
    pub clock: Clock,
    /// Source of all random numbers that the process draws; see [`Self::rng`].
    random: Random,
    /// The transactional store.
    pub store: Rc<dyn Store>,
    /// Client for calls to workers.
    pub workers: Rc<dyn Workers>,
    /// Lists registered workers and the queues of the catalogue.
    pub directory: Rc<dyn Directory>,
    /// Client for calls to other processes.
    pub peers: peer::Peers,
    /// Daemons that take part in planned hand-overs, as last read from the store.
    pub daemons: RefCell<Vec<Holder>>,
    /// Reachability of the store and of other processes.
    pub reachability: reachability::Reachability,
    /// Counters and histograms of this process.
    pub metrics: metrics::Metrics,
    /// The catalogue in force in this process; none before the first read.
    pub catalogue: RefCell<Option<Rc<Catalogue>>>,
    /// Entries of the directory that are not used.
    pub refused_entries: RefCell<refused_entries::RefusedEntries>,
    /// Evacuated data centres.
    pub evacuations: RefCell<evacuation::Evacuations>,
    /// Assignment of racks and jobs to shards; none before the first read.
    pub layout: RefCell<Option<Rc<Layout>>>,
    /// Created on first use of a shard; see [`Self::handle`].
    handles: RefCell<IndexMap<ShardId, Rc<ShardHandle>>>,
    /// Whether the last store call succeeded; rate-limited calls are not counted.
    pub store_up: Cell<bool>,
    /// Slows down reads that are not urgent while the store limits the rate of calls.
    pub read_rate: Cell<PollRate>,
    /// Bounds the start orders in flight; one permit is held for each.
    pub start_slots: Semaphore,
    /// Set to true when the process shall shut down.
    pub draining: watch::Sender<bool>,
}

impl Node {
    /// Creates the context under a random incarnation; no async task is spawned yet.
    pub fn new(
        cfg: NodeSettings,
        clock: Clock,
        random: Random,
        store: Rc<dyn Store>,
        workers: Rc<dyn Workers>,
        directory: Rc<dyn Directory>,
        metrics: metrics::Metrics,
    ) -> Cx {
        let me = Holder {
            daemon: cfg.name.clone(),
            address: cfg.peers.to_string(),
            incarnation: (&random).random::<u64>() >> 1,
        };
        Rc::new(Self {
            me,
            clock,
            random,
            store,
            workers,
            directory,
            peers: peer::Peers::default(),
            daemons: RefCell::default(),
            reachability: reachability::Reachability::default(),
            metrics,
            catalogue: RefCell::default(),
            refused_entries: RefCell::default(),
            evacuations: RefCell::default(),
            layout: RefCell::default(),
            handles: RefCell::default(),
            store_up: Cell::new(true),
            read_rate: Cell::default(),
            start_slots: Semaphore::new(MAX_STARTS_IN_FLIGHT),
            draining: watch::Sender::new(false),
            cfg,
        })
    }

    /// Generator of random numbers; it may be held across an `await`.
    pub fn rng(&self) -> &Random {
        &self.random
    }

    /// The handle of a shard, created on first use.
    pub fn handle(&self, shard: ShardId) -> Rc<ShardHandle> {
        let mut handles = self.handles.borrow_mut();
        let handle = handles.entry(shard).or_insert_with(|| {
            Rc::new(ShardHandle {
                shard,
                partition: shard.partition(),
                lease: RefCell::default(),
                unresponsive_owner: RefCell::default(),
                owner: RefCell::default(),
                is_taking: Cell::new(false),
                prepared: RefCell::default(),
            })
        });
        Rc::clone(handle)
    }

    /// The handles of all shards that were used so far.
    pub fn handles(&self) -> Vec<Rc<ShardHandle>> {
        self.handles.borrow().values().cloned().collect()
    }

    /// The owners of all shards that this process owns at present.
    pub fn owners(&self) -> Vec<Rc<Owner>> {
        let handles = self.handles.borrow();
        let owners = handles
            .values()
            .filter_map(|handle| handle.owner.borrow().clone());
        owners.collect()
    }

    /// Whether tasks may be started in a data centre: it is not evacuated, by information that is
    /// fresh enough.
    pub fn allows_starts_in(&self, data_centre: &str) -> bool {
        let (bound, transit) = (self.cfg.evacuated_within, self.cfg.leases.transit);
        let evacuations = self.evacuations.borrow();
        let read_sent_at = evacuations.read_sent_at();
        let read_age = read_sent_at.map(|at| self.clock.at_most_since(at));
        evacuations.allows_starts(data_centre, read_age, bound, transit)
    }

    /// Whether the process is shutting down.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Wall-clock time, in Unix milliseconds. Only for times that are reported to callers or
    /// scheduled by wall-clock time; durations are measured with [`Self::clock`].
    pub fn unix_ms(&self) -> u64 {
        self.clock.unix_ms()
    }

    /// Records the result of a store call, and logs when the store becomes unavailable or available
    /// again.
    pub fn note_store(&self, answered: Result<(), &CallError>) {
        self.note_read_rate(answered);
        match answered {
            Ok(()) => self.reachability.note_store(self.clock.now()),
            Err(e) => {
                self.metrics.store_errors.inc();
                log::debug!(error:% = e; "store call failed");
                if e.is_rate_limited {
                    return;
                }
            }
        }
        if self.store_up.replace(answered.is_ok()) == answered.is_ok() {
            return;
        }
        match answered {
            Ok(()) => log::info!("store answers again"),
            Err(e) => log::warn!(error:% = e; "store does not answer"),
        }
    }

    fn note_read_rate(&self, answered: Result<(), &CallError>) {
        let before = self.read_rate.get();
        let mut rate = before;
        match answered {
            Ok(()) => rate.answered(),
            Err(e) if e.is_rate_limited => rate.refused(),
            Err(_) => {}
        }
        self.read_rate.set(rate);
        match (before.is_slowed(), rate.is_slowed()) {
            (false, true) => log::warn!("store refuses calls beyond its rate; reads slow down"),
            (true, false) => log::info!("reads are back at their pace"),
            _ => {}
        }
    }
}
