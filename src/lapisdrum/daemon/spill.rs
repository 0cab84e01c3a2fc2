//! Forwards requests for which this daemon has no capacity to another daemon, one hop at most.
//!
//! Load patterns: a load balancer that sends most callers to one daemon; a data centre whose
//! workers are full or unavailable; a limit so small that only some daemons have a share of it.
//! Without forwarding, callers are refused or wait at one daemon while another has free capacity. A
//! daemon of the same data centre is tried first, then one of another.
//!
//! The peer serves the request at once or refuses it, and never forwards it. Under a system-wide
//! overload the hops would add load themselves: a peer that had no capacity for an entry is not
//! asked for it again for `UNAVAILABLE_BACKOFF`, which bounds the calls to 10/s per peer and
//! entry.
//!
//! A call that was never sent or was refused leaves the request to be served here. The outcome of a
//! call without a reply is unknown, and only an idempotent request is tried again after it.

use super::{
    Cx,
    router::{self, RunEnd, RunRequest},
};
use crate::{
    core::{
        catalogue::Entry,
        id::{DaemonId, EntryName, RequestId},
        time::Millis,
    },
    peer::wire::{ForwardedOutcome, ForwardedRequest, PeerReply, PeerRequest},
    worker::client::Response,
};
use indexmap::IndexMap;
use rand::seq::IndexedRandom;
use std::{cell::RefCell, time::Duration};

/// Time for which a peer that did not serve an entry's request is not asked for that entry again.
const UNAVAILABLE_BACKOFF: Duration = Duration::from_millis(100);
/// Minimum time to its deadline for a request to be forwarded: a few round trips between data
/// centres.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// Subtracted from the time that the peer is given, for the reply's network delay.
const REPLY_MARGIN: Duration = Duration::from_millis(5);

/// Peers that did not serve a request of an entry, because they were full or gave no usable reply,
/// with the time of the call.
#[derive(Debug, Default)]
pub struct UnavailablePeers(RefCell<IndexMap<(DaemonId, EntryName), Millis>>);

/// Outcome of a hop.
enum HopOutcome {
    Ended(RunEnd),
    NotRun,
    /// The request may have run on the peer.
    Unknown(String),
}

/// Forwards a request to another daemon. `Err` when it is to be served here: `Err(None)` if it
/// certainly did not run on a peer; `Err(Some(reason))` if it may have run and is idempotent.
pub async fn run_on_peer(
    cx: &Cx,
    entry: &Entry,
    req: &RunRequest,
    id: &RequestId,
    deadline: Millis,
) -> Result<RunEnd, Option<String>> {
    let mut unknown_reason = None;
    for is_local in [true, false] {
        let left = deadline.since(cx.clock.now());
        if left < MIN_TIME_LEFT {
            break;
        }
        let Some((peer, address)) = choose_peer(cx, &entry.name, is_local) else {
            continue;
        };
        match call_peer(cx, &address, entry, req, id, left).await {
            HopOutcome::Ended(end) => return Ok(end),
            HopOutcome::Unknown(why) if !entry.idempotent => {
                return Ok(router::unknown(cx, id.clone(), why));
            }
            HopOutcome::Unknown(why) => unknown_reason = Some(why),
            HopOutcome::NotRun => {}
        }
        note_unavailable(cx, peer, &entry.name);
    }
    Err(unknown_reason)
}

async fn call_peer(
    cx: &Cx,
    address: &str,
    entry: &Entry,
    req: &RunRequest,
    id: &RequestId,
    left: Duration,
) -> HopOutcome {
    let run = ForwardedRequest {
        request: id.clone(),
        entry: entry.name.clone(),
        body: req.body.to_vec(),
        content_type: req.content_type.clone(),
        left: left.saturating_sub(REPLY_MARGIN),
        caller: req.caller,
    };
    let call = cx.peers.call_within(address, PeerRequest::Run(run), left);
    match call.await {
        Ok(PeerReply::Ran(ForwardedOutcome::Done {
            status,
            content_type,
            body,
        })) => HopOutcome::Ended(RunEnd::Done(
            id.clone(),
            Response {
                status,
                content_type,
                body: body.into(),
            },
        )),
        Ok(PeerReply::Ran(ForwardedOutcome::Refused(_)) | PeerReply::Refused(_)) => {
            HopOutcome::NotRun
        }
        Ok(PeerReply::Ran(ForwardedOutcome::Unknown(why))) => HopOutcome::Unknown(why),
        Ok(_) => HopOutcome::Unknown("the other daemon gave another answer".to_owned()),
        Err(e) if e.is_unsent() => HopOutcome::NotRun,
        Err(e) => HopOutcome::Unknown(e.to_string()),
    }
}

/// A random live daemon that is not in [`UnavailablePeers`] for the entry: of this data centre if
/// `is_local`, else of another.
fn choose_peer(cx: &Cx, entry: &EntryName, is_local: bool) -> Option<(DaemonId, String)> {
    let now = cx.clock.now();
    let timeout = cx.cfg.shards.terms.lengthened(cx.cfg.shards.terms.lease);
    let own = &cx.cfg.daemon.data_centre;
    let members = cx.members.borrow();
    // Liveness is judged as of the last read of the rows: while the table is unavailable they do
    // not change, and daemons that were live are still asked. Other data centres' rows are read
    // less often.
    let read_at = match is_local {
        true => members.hosts_read_at,
        false => members.all_read_at,
    };
    let read_at = read_at.unwrap_or(now);
    let unavailable = cx.unavailable_peers.0.borrow();
    let daemons = members.daemons.iter().filter(|(name, seen)| {
        let asked_at = unavailable.get(&((*name).clone(), entry.clone()));
        let is_backed_off =
            asked_at.is_some_and(|asked_at| now.since(*asked_at) < UNAVAILABLE_BACKOFF);
        let is_live = read_at.since(seen.seen.since) <= timeout;
        **name != cx.me.daemon
            && (seen.row.data_centre == *own) == is_local
            && is_live
            && !is_backed_off
    });
    let candidates: Vec<_> = daemons.collect();
    let (name, seen) = candidates.choose(&mut rand::rng())?;
    Some(((*name).clone(), seen.row.holder.address.clone()))
}

fn note_unavailable(cx: &Cx, peer: DaemonId, entry: &EntryName) {
    let now = cx.clock.now();
    let mut unavailable = cx.unavailable_peers.0.borrow_mut();
    unavailable.retain(|_, asked_at| now.since(*asked_at) < UNAVAILABLE_BACKOFF);
    unavailable.insert((peer, entry.clone()), now);
}

/// Serves a request that another daemon forwarded.
pub async fn answer(cx: &Cx, run: ForwardedRequest) -> ForwardedOutcome {
    let req = RunRequest {
        entry: run.entry,
        body: run.body.into(),
        content_type: run.content_type,
        deadline: Some(run.left),
        key: None,
        caller: run.caller,
    };
    match router::run_spilled(cx, req, run.request).await {
        RunEnd::Done(_, answer) => ForwardedOutcome::Done {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body.to_vec(),
        },
        RunEnd::Refused(refusal) => ForwardedOutcome::Refused(refusal),
        RunEnd::Unknown(_, why) => ForwardedOutcome::Unknown(why),
        RunEnd::DoneBefore(..) => ForwardedOutcome::Unknown("served before".to_owned()),
    }
}
