//! A daemon: one process per entry host. All daemons are equal; there is no control node.
//!
//! Everything runs on one thread. State is shared through `Rc` and interior mutability and never
//! borrowed across an `await`, so there are no locks, and a paused test clock stops all of it.
//! [`supervisor`] restarts components that end; they reach each other through the context [`Cx`].

pub mod catalogue;
pub mod claims;
pub mod evictions;
pub mod grants;
pub mod index;
pub mod jobs;
pub mod journal;
pub mod limits;
pub mod listing;
pub mod members;
pub mod metrics;
pub mod mitigation;
pub mod observer;
pub mod peers;
pub mod polls;
pub mod proposals;
pub mod queue;
pub mod registrar;
pub mod router;
pub mod sessions;
pub mod shard;
pub mod shares;
pub mod snapshots;
pub mod spill;
pub mod starts;
pub mod status;
pub mod supervisor;
pub mod upkeep;

use crate::{
    core::{
        id::{Incarnation, ShardId},
        time::Clock,
    },
    peer::client::Peers,
    settings::Settings,
    state::{grants::Floors, ownership::Holder},
    store::client::PlatformClient,
    timeline::{event::Happening, ring::Timeline},
    util::{
        build,
        http::intake::{Intake, IntakeLimits},
    },
    worker::client::WorkerClient,
};
use actix_rt::net::TcpListener;
use eyre::{Context as _, Result};
use indexmap::IndexMap;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use supervisor::Supervisor;
use tokio::sync::watch;

/// Longest time that a graceful shutdown waits for floors and shards to be released. If the
/// platform is unavailable they lapse instead, so that the process ends before its host is shut
/// down.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// The context that is passed to every component of a daemon.
pub type Cx = Rc<Daemon>;

/// State that the components of a daemon share.
pub struct Daemon {
    /// Settings read at start; they do not change while the daemon runs.
    pub cfg: Settings,
    /// Name, incarnation and peer address under which this process holds leases.
    pub me: Holder,
    /// Monotonic clock of the async runtime; tests can pause it.
    pub clock: Clock,
    /// Client of the platform: its table and its list of hosts.
    pub platform: PlatformClient,
    /// Client for commands to workers.
    pub workers: WorkerClient,
    /// Client for calls to other daemons.
    pub peers: Peers,
    /// Recent events, served at `/v1/timeline`.
    pub timeline: Rc<Timeline>,
    /// Metrics served at `/metrics`.
    pub metrics: metrics::Metrics,
    /// What the callers hold together.
    pub intake: Rc<Intake>,
    /// The catalogue in force on this daemon.
    pub catalogue: RefCell<catalogue::InForce>,
    /// Daemons, shards and hosts as last seen.
    pub members: RefCell<members::Members>,
    /// Shards that this daemon owns.
    pub shards: RefCell<IndexMap<ShardId, Rc<shard::Shard>>>,
    /// Worker capacity that this daemon may use for requests.
    pub floors: RefCell<Floors>,
    /// Incarnations of other daemons, and which of them have ended.
    pub ended_incarnations: peers::EndedIncarnations,
    /// Peers that recently did not serve a request spilled to them.
    pub unavailable_peers: spill::UnavailablePeers,
    /// Shares of the entries' limits that this daemon and its shards hold.
    pub shares: shares::HeldShares,
    /// Claims on request ids that this daemon serves, and the shards that store claims.
    pub claims: claims::Claims,
    /// Cloned by each request in flight, also if its caller has disconnected; the strong count less
    /// one is their number.
    pub in_flight: Rc<()>,
    /// Queued requests, with the state of the routing, headroom and retry policies.
    pub request_queue: queue::RequestQueue,
    /// Requests admitted and not yet answered.
    pub admission: RefCell<crate::policy::admission::Admission>,
    /// Whether a catalogue at least as new as any in force when this daemon started is in force.
    pub catalogue_ready: Cell<bool>,
    /// Becomes true when the daemon starts to shut down.
    pub draining: watch::Sender<bool>,
}

impl Daemon {
    /// Creates a daemon whose components are not started.
    pub fn new(cfg: Settings) -> Cx {
        Self::with_event_clock(cfg, uhlc::system_time_clock)
    }

    /// Like [`Self::new`], with `clock` in place of the host's clock for the timeline.
    pub fn with_event_clock(cfg: Settings, clock: fn() -> uhlc::NTP64) -> Cx {
        let incarnation = Incarnation(rand::random::<u64>().max(1));
        let me = Holder {
            daemon: cfg.daemon.name.clone(),
            incarnation,
            address: cfg.daemon.peers.to_string(),
        };
        let timeline = Rc::new(Timeline::with_clock(
            &cfg.daemon.name,
            incarnation,
            cfg.timeline_capacity,
            clock,
        ));
        let agent = format!("lapisdrum/{}", cfg.daemon.name);
        let platform_address = cfg.platform.address.to_string();
        let platform = PlatformClient::new(
            &platform_address,
            &agent,
            cfg.platform.timeout,
            Rc::clone(&timeline),
        );
        let metrics = metrics::Metrics::new();
        let limits = IntakeLimits::from(cfg.daemon.process.within_system());
        Rc::new(Self {
            me,
            clock: Clock::start(),
            platform,
            workers: WorkerClient::new(&agent, cfg.shards.command_timeout),
            peers: Peers::new(Rc::clone(&timeline), cfg.requests.peer_timeout),
            timeline,
            intake: Intake::new(limits, metrics.intake.clone()),
            metrics,
            catalogue: RefCell::default(),
            members: RefCell::default(),
            shards: RefCell::default(),
            floors: RefCell::default(),
            ended_incarnations: peers::EndedIncarnations::default(),
            unavailable_peers: spill::UnavailablePeers::default(),
            shares: shares::HeldShares::default(),
            claims: claims::Claims::default(),
            in_flight: Rc::default(),
            request_queue: queue::RequestQueue::default(),
            admission: RefCell::default(),
            catalogue_ready: Cell::new(false),
            draining: watch::Sender::new(false),
            cfg,
        })
    }

    /// Whether the daemon is shutting down.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Whether callers may be sent to this daemon.
    pub fn is_ready(&self) -> bool {
        self.catalogue_ready.get() && !self.is_draining()
    }
}

/// Runs a daemon until `stop` completes, then drains it.
pub async fn run(cfg: Settings, stop: impl Future<Output = ()>) -> Result<()> {
    let callers = listen(cfg.daemon.callers).await?;
    let peers = listen(cfg.daemon.peers).await?;
    let cx = Daemon::new(cfg);
    log::info!(daemon:% = cx.cfg.daemon.name, version = build::VERSION, sources = build::SOURCES; "started");
    let supervisor = start_components(&cx, callers, peers);
    stop.await;
    drain(&cx, &supervisor).await;
    Ok(())
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.wrap_err_with(|| format!("failed to listen on {address}; is another daemon there?"))
}

fn start_components(cx: &Cx, callers: TcpListener, peers: TcpListener) -> Supervisor {
    let supervisor = Supervisor::new(Rc::clone(cx));
    supervisor.start("catalogue", catalogue::follow);
    supervisor.start("registrar", registrar::run);
    supervisor.start("observer", observer::run);
    supervisor.start("grants", grants::run);
    supervisor.start("status", status::watch);
    supervisor.start("claims", claims::run);
    supervisor.start("queue", queue::run);
    supervisor.start("shares", shares::run);
    supervisor.start_once(
        "peer-server",
        crate::peer::server::serve(Rc::clone(cx), peers),
    );
    supervisor.start_once(
        "api-server",
        crate::api::server::serve(Rc::clone(cx), callers),
    );
    supervisor
}

/// Shuts down gracefully: accepts nothing new, finishes requests in flight, and releases floors and
/// shards so that other daemons take over at once.
async fn drain(cx: &Cx, supervisor: &Supervisor) {
    cx.timeline.record(Happening::DaemonDraining {});
    log::info!("draining");
    cx.draining.send_replace(true);
    let requests_done = async {
        supervisor.finished("api-server").await;
        router::finished(cx).await;
    };
    if tokio::time::timeout(cx.cfg.daemon.drain, requests_done)
        .await
        .is_err()
    {
        log::warn!("drain timeout; requests still in flight are cut off");
    }
    supervisor.stop("observer");
    supervisor.stop("registrar");
    supervisor.stop("grants");
    supervisor.stop("claims");
    supervisor.stop("queue");
    supervisor.stop("shares");
    let release = async {
        shares::release_all(cx).await;
        grants::release_all(cx).await;
        registrar::release_all(cx).await;
    };
    if tokio::time::timeout(RELEASE_TIMEOUT, release)
        .await
        .is_err()
    {
        log::warn!("platform does not answer; floors and shards are left to lapse");
    }
    supervisor.stop_all();
    // Lets the last replies leave the sockets.
    tokio::time::sleep(Duration::from_millis(20)).await;
}
