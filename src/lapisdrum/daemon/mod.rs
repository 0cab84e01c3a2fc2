//! A daemon: one process on an entry host, all alike, none set aside for control.
//!
//! Everything runs on one thread. State is shared by reference count and interior mutability, never
//! borrowed across an `await`, so there are no locks and a paused test clock stops all of it.
//! [`supervisor`] keeps the parts running; each part reaches the others through the context [`Cx`].

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
pub mod observer;
pub mod peers;
pub mod pressure;
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
pub mod visits;

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

/// Longest time that a graceful end waits for floors and shards to be given up. With the platform
/// away they lapse instead, and the process must not outstay its host.
const GIVE_UP_TIMEOUT: Duration = Duration::from_secs(3);

/// The context that is handed to every part of a daemon.
pub type Cx = Rc<Daemon>;

/// What the parts of a daemon share.
pub struct Daemon {
    /// Its settings.
    pub cfg: Settings,
    /// This run of this daemon.
    pub me: Holder,
    /// The runtime's clock.
    pub clock: Clock,
    /// The platform.
    pub platform: PlatformClient,
    /// Workers.
    pub workers: WorkerClient,
    /// Other daemons.
    pub peers: Peers,
    /// Events.
    pub timeline: Rc<Timeline>,
    /// Counters and histograms.
    pub metrics: metrics::Metrics,
    /// The catalogue in force here.
    pub catalogue: RefCell<catalogue::InForce>,
    /// Daemons, shards and hosts as last seen.
    pub members: RefCell<members::Members>,
    /// Shards that this daemon owns.
    pub shards: RefCell<IndexMap<ShardId, Rc<shard::Shard>>>,
    /// What this daemon may use of workers for requests.
    pub floors: RefCell<Floors>,
    /// Runs of other daemons that are gone.
    pub departures: peers::Departures,
    /// Peers that had no room lately.
    pub full_peers: spill::FullPeers,
    /// Shares of the entries' limits.
    pub shares: shares::Held,
    /// Claims on request ids that this daemon serves, and where claims are kept.
    pub claims: claims::Claims,
    /// Requests being served, also those whose callers have gone away.
    pub in_flight: Rc<()>,
    /// Requests that wait, and what routing has learned.
    pub line: queue::Line,
    /// Requests let in and not yet answered.
    pub admission: RefCell<crate::policy::admission::Admission>,
    /// Whether a catalogue at least as new as any in force when this daemon started is in force.
    pub catalogue_ready: Cell<bool>,
    /// Turns true when the daemon is to end.
    pub draining: watch::Sender<bool>,
}

impl Daemon {
    /// A daemon that has not begun to do anything.
    pub fn new(cfg: Settings) -> Cx {
        Self::with_event_clock(cfg, uhlc::system_time_clock)
    }

    /// One whose time line reads another clock than the host's.
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
        Rc::new(Self {
            me,
            clock: Clock::start(),
            platform,
            workers: WorkerClient::new(&agent, cfg.shards.command_timeout),
            peers: Peers::new(Rc::clone(&timeline), cfg.requests.peer_timeout),
            timeline,
            metrics: metrics::Metrics::new(),
            catalogue: RefCell::default(),
            members: RefCell::default(),
            shards: RefCell::default(),
            floors: RefCell::default(),
            departures: peers::Departures::default(),
            full_peers: spill::FullPeers::default(),
            shares: shares::Held::default(),
            claims: claims::Claims::default(),
            in_flight: Rc::default(),
            line: queue::Line::default(),
            admission: RefCell::default(),
            catalogue_ready: Cell::new(false),
            draining: watch::Sender::new(false),
            cfg,
        })
    }

    /// Whether the daemon has been told to end.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Whether the daemon may be sent callers.
    pub fn is_ready(&self) -> bool {
        self.catalogue_ready.get() && !self.is_draining()
    }
}

/// Runs a daemon until `stop` completes, then drains it.
pub async fn run(cfg: Settings, stop: impl Future<Output = ()>) -> Result<()> {
    let callers = listen(cfg.daemon.callers).await?;
    let peers = listen(cfg.daemon.peers).await?;
    let cx = Daemon::new(cfg);
    let supervisor = start_parts(&cx, callers, peers);
    stop.await;
    drain(&cx, &supervisor).await;
    Ok(())
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.wrap_err_with(|| format!("failed to listen on {address}; is another daemon there?"))
}

fn start_parts(cx: &Cx, callers: TcpListener, peers: TcpListener) -> Supervisor {
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

/// Ends gracefully: nothing new is accepted, what is in flight is finished, floors and shards are
/// given back so that others take over at once.
async fn drain(cx: &Cx, supervisor: &Supervisor) {
    cx.timeline.record(Happening::DaemonDraining {});
    log::info!("draining");
    cx.draining.send_replace(true);
    let answered = async {
        supervisor.finished("api-server").await;
        router::finished(cx).await;
    };
    if tokio::time::timeout(cx.cfg.daemon.drain, answered)
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
    let give_up = async {
        shares::give_back(cx).await;
        grants::give_back(cx).await;
        registrar::release_all(cx).await;
    };
    if tokio::time::timeout(GIVE_UP_TIMEOUT, give_up)
        .await
        .is_err()
    {
        log::warn!("platform does not answer; floors and shards are left to lapse");
    }
    supervisor.stop_all();
    // Lets the last replies leave the sockets.
    tokio::time::sleep(Duration::from_millis(20)).await;
}
