//! The process: starts its parts, and ends them gracefully.

use super::{Cx, edge::Catalogue, lease, peer, reach};
use crate::daemon::supervisor;
use actix_rt::net::TcpListener;
use eyre::WrapErr as _;
use std::{rc::Rc, time::Duration};

/// Time between two reads of the catalogue: a change is in force within half of the bound of 2 s, with
/// one read lost.
const CATALOGUE_POLL: Duration = Duration::from_millis(600);
/// Time for the lease to be given up, enough for a store that is slow; with the store away it lapses instead.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Starts everything but the edge to callers.
pub async fn start(cx: &Cx) -> eyre::Result<()> {
    let address = cx.cfg.peers;
    let listener = TcpListener::bind(address).await;
    let listener = listener.wrap_err_with(|| format!("failed to listen on {address}"))?;
    log::info!(daemon:% = cx.me.daemon, incarnation = cx.me.incarnation, data_centre:% = cx.cfg.data_centre, peers:% = address; "started");
    supervisor::spawn("peers", peer::serve(Rc::clone(cx), listener));
    supervisor::spawn("catalogue", follow_catalogue(Rc::clone(cx)));
    supervisor::spawn("reach", reach::follow(Rc::clone(cx)));
    let leasing = Rc::clone(cx);
    supervisor::spawn("lease-watch", async move {
        // It goes on until the process ends.
        let _ = lease::run(leasing).await;
    });
    Ok(())
}

async fn follow_catalogue(cx: Cx) {
    loop {
        match cx.directory.catalogue().await {
            Ok(Some(read)) => {
                cx.note_store(Ok(()));
                adopt(&cx, read);
            }
            Ok(None) => {}
            Err(e) => cx.note_store(Err(&e.0)),
        }
        tokio::time::sleep(CATALOGUE_POLL).await;
    }
}

/// Takes a catalogue that was read; an older one, in an answer that was overtaken, is passed over.
fn adopt(cx: &Cx, read: Catalogue) {
    let before = cx.catalogue.borrow().as_ref().map(|known| known.version);
    if before.is_some_and(|before| read.version <= before) {
        return;
    }
    log::info!(version = read.version, before:? = before, queues = read.queues.len(); "catalogue in force");
    *cx.catalogue.borrow_mut() = Some(Rc::new(read));
}

/// Gives its shards up, after the last caller was answered.
pub async fn give_up(cx: &Cx) {
    let owners = cx.owners().into_iter().map(async |owner| {
        let released = lease::release(cx, &owner);
        if tokio::time::timeout(RELEASE_TIMEOUT, released)
            .await
            .is_err()
        {
            log::warn!("store does not answer; the lease is left to lapse");
        }
        owner.lose("the daemon ends");
    });
    futures::future::join_all(owners).await;
}
