//! Start and graceful shutdown of the process.

use super::{Cx, handover, lease, operators, peer, reachability, restart::restart_times};
use crate::{core::time::millis, daemon::supervisor, util::build};
use actix_rt::net::TcpListener;
use eyre::WrapErr as _;
use std::{rc::Rc, time::Duration};

/// Timeout for the release of a lease, long enough for a slow store; while the store is
/// unavailable, the lease lapses.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Starts all components except the interface to callers. Fails if the address for other processes
/// can't be bound.
pub async fn start(cx: &Cx) -> eyre::Result<()> {
    let address = cx.cfg.peers;
    let listener = TcpListener::bind(address).await;
    let listener = listener.wrap_err_with(|| format!("failed to listen on {address}"))?;
    log::info!(daemon:% = cx.me.daemon, incarnation = cx.me.incarnation, data_centre:% = cx.cfg.data_centre, peers:% = address, version = build::VERSION, sources = build::SOURCES; "started");
    log_restart_times(cx);
    supervisor::spawn("peers", peer::serve(Rc::clone(cx), listener));
    supervisor::spawn("operators", operators::follow(Rc::clone(cx)));
    supervisor::spawn("reach", reachability::follow(Rc::clone(cx)));
    if cx.cfg.features.planned_handover {
        supervisor::spawn("presence", handover::follow(Rc::clone(cx)));
    }
    let lease_cx = Rc::clone(cx);
    supervisor::spawn("lease-watch", async move {
        // Runs until the process ends.
        let _ = lease::run(lease_cx).await;
    });
    Ok(())
}

fn log_restart_times(cx: &Cx) {
    for time in restart_times(&cx.cfg.leases, &cx.cfg.restarts) {
        let (longest_ms, limit_ms) = (millis(time.longest), millis(time.limit));
        match time.is_over() {
            true => {
                log::warn!(lost:? = time.lost, longest_ms, limit_ms; "long-running tasks may wait for longer than promised");
            }
            false => {
                log::info!(lost:? = time.lost, longest_ms, limit_ms; "longest wait of long-running tasks");
            }
        }
    }
}

/// Releases all shards of this process. Called in a shutdown, after the last caller was answered.
pub async fn release_shards(cx: &Cx) {
    let planned = match cx.cfg.features.planned_handover {
        true => handover::PLAN_TIMEOUT,
        false => Duration::ZERO,
    };
    let owners = cx.owners().into_iter().map(async |owner| {
        let released = handover::release(cx, &owner);
        if tokio::time::timeout(RELEASE_TIMEOUT + planned, released)
            .await
            .is_err()
        {
            log::warn!("store does not answer; the lease is left to lapse");
        }
        owner.mark_lost("the daemon ends");
    });
    futures::future::join_all(owners).await;
}
