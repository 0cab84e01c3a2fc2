//! Requests that have no room here go to another daemon, one hop at most.
//!
//! Load patterns: a balancer that sends most callers to one daemon; a data centre whose workers are
//! full or gone; a limit so small that only some daemons have a share of it. Without the hop callers
//! are refused or wait at one daemon while there is room at the next. A daemon of the same data
//! centre is asked first, then one elsewhere.
//!
//! The other serves at once or refuses, and never passes on, so a request can't wander. Under an
//! overload everywhere the hops themselves would be load: a peer that had no room for an entry is
//! not asked for that entry again for [`FULL_FOR`], which bounds the calls to ten a second for each
//! peer and entry.
//!
//! The outcome's truth is kept over the hop: a call that was never sent and a refusal leave the
//! request to be served here; a call without a reply is unknown, and only an idempotent request goes
//! on after it.

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
    peer::wire::{PeerReply, PeerRequest, SpilledEnd, SpilledRun},
    worker::client::Answer,
};
use indexmap::IndexMap;
use rand::seq::IndexedRandom;
use std::{cell::RefCell, time::Duration};

/// How long a peer that had no room for an entry is not asked for it.
const FULL_FOR: Duration = Duration::from_millis(100);
/// Least time that must be left for a hop: a few round trips between data centres.
const LEAST_LEFT: Duration = Duration::from_millis(20);
/// Taken off the time that the other is given, for the way back.
const WAY_BACK: Duration = Duration::from_millis(5);

/// Peers that had no room for an entry, and when they were asked.
#[derive(Debug, Default)]
pub struct FullPeers(RefCell<IndexMap<(DaemonId, EntryName), Millis>>);

/// How a hop ended.
enum Hop {
    Ended(RunEnd),
    NotRun,
    /// It may have run there.
    Unknown(String),
}

/// Has a request served by another daemon. An error when it is to be served here: it certainly was
/// not run elsewhere, or, with a reason to doubt that, may run again.
pub async fn elsewhere(
    cx: &Cx,
    entry: &Entry,
    req: &RunRequest,
    id: &RequestId,
    deadline: Millis,
) -> Result<RunEnd, Option<String>> {
    let mut in_doubt = None;
    for is_near in [true, false] {
        let left = deadline.since(cx.clock.now());
        if left < LEAST_LEFT {
            break;
        }
        let Some((peer, address)) = choose_peer(cx, &entry.name, is_near) else {
            continue;
        };
        match hop(cx, &address, entry, req, id, left).await {
            Hop::Ended(end) => return Ok(end),
            Hop::Unknown(why) if !entry.idempotent => {
                return Ok(router::unknown(cx, id.clone(), why));
            }
            Hop::Unknown(why) => in_doubt = Some(why),
            Hop::NotRun => {}
        }
        note_full(cx, peer, &entry.name);
    }
    Err(in_doubt)
}

async fn hop(
    cx: &Cx,
    address: &str,
    entry: &Entry,
    req: &RunRequest,
    id: &RequestId,
    left: Duration,
) -> Hop {
    let run = SpilledRun {
        request: id.clone(),
        entry: entry.name.clone(),
        body: req.body.to_vec(),
        content_type: req.content_type.clone(),
        left: left.saturating_sub(WAY_BACK),
        caller: req.caller,
    };
    let call = cx.peers.call_within(address, PeerRequest::Run(run), left);
    match call.await {
        Ok(PeerReply::Ran(SpilledEnd::Done {
            status,
            content_type,
            body,
        })) => Hop::Ended(RunEnd::Done(
            id.clone(),
            Answer {
                status,
                content_type,
                body: body.into(),
            },
        )),
        Ok(PeerReply::Ran(SpilledEnd::Refused(_)) | PeerReply::Refused(_)) => Hop::NotRun,
        Ok(PeerReply::Ran(SpilledEnd::Unknown(why))) => Hop::Unknown(why),
        Ok(_) => Hop::Unknown("the other daemon gave another answer".to_owned()),
        Err(e) if e.is_unsent() => Hop::NotRun,
        Err(e) => Hop::Unknown(e.to_string()),
    }
}

/// A live daemon of this data centre, or of another, that was not full lately.
fn choose_peer(cx: &Cx, entry: &EntryName, is_near: bool) -> Option<(DaemonId, String)> {
    let now = cx.clock.now();
    let patience = cx.cfg.shards.terms.lengthened(cx.cfg.shards.terms.lease);
    let own = &cx.cfg.daemon.data_centre;
    let members = cx.members.borrow();
    // As of when the rows were read: with the table away they stand still, and the daemons that were
    // live go on being asked. Rows of other data centres are read more rarely.
    let read_at = match is_near {
        true => members.hosts_read_at,
        false => members.all_read_at,
    };
    let read_at = read_at.unwrap_or(now);
    let full = cx.full_peers.0.borrow();
    let daemons = members.daemons.iter().filter(|(name, seen)| {
        let asked = full.get(&((*name).clone(), entry.clone()));
        let is_full = asked.is_some_and(|asked| now.since(*asked) < FULL_FOR);
        let is_live = read_at.since(seen.seen.since) <= patience;
        **name != cx.me.daemon && (seen.row.data_centre == *own) == is_near && is_live && !is_full
    });
    let candidates: Vec<_> = daemons.collect();
    let (name, seen) = candidates.choose(&mut rand::rng())?;
    Some(((*name).clone(), seen.row.holder.address.clone()))
}

fn note_full(cx: &Cx, peer: DaemonId, entry: &EntryName) {
    let now = cx.clock.now();
    let mut full = cx.full_peers.0.borrow_mut();
    full.retain(|_, asked| now.since(*asked) < FULL_FOR);
    full.insert((peer, entry.clone()), now);
}

/// Serves another daemon's request.
pub async fn answer(cx: &Cx, run: SpilledRun) -> SpilledEnd {
    let req = RunRequest {
        entry: run.entry,
        body: run.body.into(),
        content_type: run.content_type,
        deadline: Some(run.left),
        key: None,
        caller: run.caller,
    };
    match router::run_spilled(cx, req, run.request).await {
        RunEnd::Done(_, answer) => SpilledEnd::Done {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body.to_vec(),
        },
        RunEnd::Refused(refusal) => SpilledEnd::Refused(refusal),
        RunEnd::Unknown(_, why) => SpilledEnd::Unknown(why),
        RunEnd::DoneBefore(..) => SpilledEnd::Unknown("served before".to_owned()),
    }
}
