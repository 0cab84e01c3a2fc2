//! Replies to requests from other daemons.

use super::{Cx, catalogue, claims, grants, jobs, listing, shard::Shard, spill};
use crate::{
    core::{id::ShardId, outcome::Refusal, time::Millis},
    peer::wire::{PeerReply, PeerRequest},
    state::ownership::Holder,
};
use indexmap::IndexMap;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// Retry-after of a request for a shard that this daemon does not own.
const NOT_OWNER_RETRY: Duration = Duration::from_secs(1);

/// Handles one request.
pub async fn answer(cx: &Cx, req: PeerRequest) -> PeerReply {
    match req {
        PeerRequest::SubmitJob { .. } | PeerRequest::ShowJob(_) | PeerRequest::CancelJob(_) => {
            jobs::answer(cx, req).await
        }
        PeerRequest::ListJobs { shard, filter } => match owned(cx, &shard) {
            Ok(shard) => PeerReply::Jobs(listing::jobs_of(&shard, &filter)),
            Err(refusal) => PeerReply::Refused(refusal),
        },
        PeerRequest::Grants(round) => match owned(cx, &round.shard) {
            Ok(shard) => grants::answer(cx, &shard, round).await,
            Err(refusal) => PeerReply::Refused(refusal),
        },
        PeerRequest::Run(run) => PeerReply::Ran(spill::answer(cx, run).await),
        PeerRequest::Claim(call) => match owned(cx, &call.shard) {
            Ok(shard) => claims::answer_claim(cx, &shard, call).await,
            Err(refusal) => PeerReply::Refused(refusal),
        },
        PeerRequest::EndClaim(call, end) => match owned(cx, &call.shard) {
            Ok(shard) => claims::answer_end(cx, &shard, call, end).await,
            Err(refusal) => PeerReply::Refused(refusal),
        },
        // This incarnation does not know which claims another one served.
        PeerRequest::ClaimsServed(holder, _) if holder != cx.me => PeerReply::Unknown,
        PeerRequest::ClaimsServed(_, ids) => PeerReply::ClaimsServed(claims::still_served(cx, ids)),
        PeerRequest::News(change) => {
            catalogue::hear(cx, change);
            PeerReply::Ok
        }
        PeerRequest::Catalogue(known) => {
            let own = cx.catalogue.borrow();
            match own.revision > known {
                true => PeerReply::Catalogue(own.catalogue().clone()),
                false => PeerReply::Ok,
            }
        }
    }
}

/// The shard, if this daemon owns it and has recovered its ledger; otherwise a refusal.
pub fn owned(cx: &Cx, shard: &ShardId) -> Result<Rc<Shard>, Refusal> {
    let own = cx.shards.borrow().get(shard).cloned();
    let own = own.filter(|shard| shard.is_serving());
    own.ok_or(Refusal::NoOwner {
        retry_after: NOT_OWNER_RETRY,
    })
}

/// A list of rows was requested at most this many platform timeouts before it was read.
const LIST_AGE: u32 = 2;

/// Incarnations of other daemons that this process has heard of, and since when each has ended.
#[derive(Debug, Default)]
pub struct Departures(RefCell<IndexMap<Holder, Departure>>);

#[derive(Clone, Copy, Debug)]
struct Departure {
    heard: Millis,
    gone_since: Option<Millis>,
}

/// Maximum number of incarnations remembered. One that is forgotten must be found to have ended
/// again.
const MOST_DEPARTURES: usize = 10_000;

/// Time since an incarnation of a daemon was found to have ended; `None` if it may still run.
pub fn gone_for(cx: &Cx, holder: &Holder) -> Option<Duration> {
    let now = cx.clock.now();
    let mut known = cx.departures.0.borrow_mut();
    if known.len() > MOST_DEPARTURES {
        known.clear();
    }
    let departure = known.entry(holder.clone()).or_insert(Departure {
        heard: now,
        gone_since: None,
    });
    if departure.gone_since.is_none() && is_gone(cx, holder, departure.heard) {
        departure.gone_since = Some(now);
    }
    departure.gone_since.map(|since| now.since(since))
}

/// Whether an incarnation of a daemon, first heard of at `heard`, has certainly ended: another one
/// is at its address, or it has released its presence row. A daemon sends no requests to others
/// before its own row is written, so a complete list of rows requested after `heard` contains the
/// row unless it was released.
fn is_gone(cx: &Cx, holder: &Holder, heard: Millis) -> bool {
    if *holder == cx.me {
        return false;
    }
    let members = cx.members.borrow();
    // A row that is merely present may be older than `holder`; one that was first read after
    // `heard` is not.
    let is_replaced = members.daemons.values().any(|seen| {
        let other = &seen.row.holder;
        other.address == holder.address && other != holder && seen.seen.since > heard
    });
    let read_after = heard + cx.cfg.platform.timeout * LIST_AGE;
    let is_read = members.all_read_at.is_some_and(|read| read >= read_after);
    let is_named = members
        .daemons
        .values()
        .any(|seen| seen.row.holder == *holder);
    is_replaced || (is_read && !is_named)
}
