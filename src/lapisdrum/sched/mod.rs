//! The scheduler of job graphs: one process on every entry host, all alike.
//!
//! Every process takes callers' jobs. Racks and jobs are divided over shards ([`layout`]); the *owner* of a shard
//! remembers its jobs, places their tasks and keeps its workers' leases. Ownership is a lease in the store that
//! any process may take over ([`lease`]). What the owner remembers is a journal there ([`journal`], [`ledger`]).
//!
//! [`job`], [`event`], [`ledger`] and [`settle`] are pure, as is [`crate::policy::dispatch`]. [`owner`]
//! drives them, [`front`] forwards callers' requests to the shard's leaseholder ([`peer`]), and [`edge`] is the
//! interface to store, workers and directory. Everything runs on one thread; state is never borrowed across an `await`.

pub mod edge;
pub mod evacuation;
pub mod event;
pub mod front;
pub mod job;
pub mod journal;
pub mod layout;
pub mod lease;
pub mod ledger;
pub mod metrics;
pub mod operators;
pub mod owner;
pub mod peer;
pub mod process;
pub mod reach;
pub mod settle;
pub mod shape;

use crate::{
    core::time::{Clock, Millis},
    policy::{dispatch::terms::Terms, polling::Pace},
};
use edge::{CallError, Catalogue, Directory, Store, Workers};
use indexmap::IndexMap;
use layout::{Layout, ShardId};
use lease::{Holder, LeaseView};
use owner::Owner;
use settle::LeaseLimits;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::sync::watch;

/// The context that is handed to every part of the process.
pub type Cx = Rc<Node>;

/// Settings of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The process's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where other processes reach it.
    pub peers: SocketAddr,
    /// Where some other processes are, or were.
    pub seeds: Vec<SocketAddr>,
    /// Most workers of a shard when a deployment starts for the first time.
    pub workers_a_shard: usize,
    /// What workers' leases are bounded by.
    pub leases: LeaseLimits,
    /// What holds for stops, restores and tails.
    pub work: Terms,
    /// How long after its acknowledgement an evacuation must be in force.
    pub evacuated_within: Duration,
    /// The part of a core that the process has.
    pub cpu_share: f64,
    /// How long a job that is over is remembered.
    pub retention: Duration,
    /// Time in which a graceful end must be over.
    pub drain: Duration,
}

/// What a process knows of one shard.
pub struct ShardHandle {
    /// The shard.
    pub shard: ShardId,
    /// The part of the store that its rows are in.
    pub part: String,
    /// Who owns it, as last read.
    pub lease: RefCell<LeaseView>,
    /// The address of an owner that left a call unanswered, and when.
    pub silent_owner: RefCell<Option<(String, Millis)>>,
    /// Its owner, while that is this process.
    pub owner: RefCell<Option<Rc<Owner>>>,
}

/// What the parts of a process share.
pub struct Node {
    /// Its settings.
    pub cfg: NodeSettings,
    /// This run of it.
    pub me: Holder,
    /// The runtime's clock.
    pub clock: Clock,
    /// The store.
    pub store: Rc<dyn Store>,
    /// The workers.
    pub workers: Rc<dyn Workers>,
    /// Names workers and queues.
    pub directory: Rc<dyn Directory>,
    /// Other processes.
    pub peers: peer::Peers,
    /// Whether the store and other processes answer.
    pub reach: reach::Reach,
    /// Counters and histograms.
    pub metrics: metrics::Metrics,
    /// The catalogue in force here; none before the first was read.
    pub catalogue: RefCell<Option<Rc<Catalogue>>>,
    /// Which data centres are evacuated.
    pub evacuations: RefCell<evacuation::Evacuations>,
    /// Which shard owns what; none before it was first read.
    pub layout: RefCell<Option<Rc<Layout>>>,
    /// What is known of each shard, by its number.
    handles: RefCell<IndexMap<ShardId, Rc<ShardHandle>>>,
    /// Whether the store answered last.
    pub store_up: Cell<bool>,
    /// The pace of reads that can wait.
    pub read_pace: Cell<Pace>,
    /// Turns true when the process is to end.
    pub draining: watch::Sender<bool>,
}

impl Node {
    /// A process with no task running yet.
    pub fn new(
        cfg: NodeSettings,
        store: Rc<dyn Store>,
        workers: Rc<dyn Workers>,
        directory: Rc<dyn Directory>,
    ) -> Cx {
        let me = Holder {
            daemon: cfg.name.clone(),
            address: cfg.peers.to_string(),
            incarnation: rand::random::<u64>() >> 1,
        };
        Rc::new(Self {
            me,
            clock: Clock::start(),
            store,
            workers,
            directory,
            peers: peer::Peers::default(),
            reach: reach::Reach::default(),
            metrics: metrics::Metrics::new(),
            catalogue: RefCell::default(),
            evacuations: RefCell::default(),
            layout: RefCell::default(),
            handles: RefCell::default(),
            store_up: Cell::new(true),
            read_pace: Cell::default(),
            draining: watch::Sender::new(false),
            cfg,
        })
    }

    /// What is known of a shard.
    pub fn handle(&self, shard: ShardId) -> Rc<ShardHandle> {
        let mut handles = self.handles.borrow_mut();
        let handle = handles.entry(shard).or_insert_with(|| {
            Rc::new(ShardHandle {
                shard,
                part: shard.part(),
                lease: RefCell::default(),
                silent_owner: RefCell::default(),
                owner: RefCell::default(),
            })
        });
        Rc::clone(handle)
    }

    /// The owners that this process is.
    pub fn owners(&self) -> Vec<Rc<Owner>> {
        let handles = self.handles.borrow();
        let owners = handles
            .values()
            .filter_map(|handle| handle.owner.borrow().clone());
        owners.collect()
    }

    /// Whether tasks may be started in a data centre.
    pub fn allows_starts_in(&self, data_centre: &str) -> bool {
        let (bound, transit) = (self.cfg.evacuated_within, self.cfg.leases.transit);
        let evacuations = self.evacuations.borrow();
        evacuations.allows_starts(data_centre, self.clock.now(), bound, transit)
    }

    /// Whether the process has been told to end.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// The time of day, in Unix milliseconds. Only for what is told to callers or due by the clock on
    /// the wall; nothing is measured with it.
    pub fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    }

    /// Notes whether the store answered; a change is a line in the log.
    pub fn note_store(&self, answered: Result<(), &CallError>) {
        self.note_read_pace(answered);
        match answered {
            Ok(()) => self.reach.note_store(self.clock.now()),
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

    fn note_read_pace(&self, answered: Result<(), &CallError>) {
        let before = self.read_pace.get();
        let mut pace = before;
        match answered {
            Ok(()) => pace.answered(),
            Err(e) if e.is_rate_limited => pace.refused(),
            Err(_) => {}
        }
        self.read_pace.set(pace);
        match (before.is_slowed(), pace.is_slowed()) {
            (false, true) => log::warn!("store refuses calls beyond its rate; reads slow down"),
            (true, false) => log::info!("reads are back at their pace"),
            _ => {}
        }
    }
}
