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
            catalogue::receive(cx, change);
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

/// Upper bound on the time between the request for a list of rows and the recorded time of its
/// read, in platform timeouts.
const MAX_LIST_AGE_TIMEOUTS: u32 = 2;

/// Incarnations of other daemons that this process has heard of, and since when each has ended.
#[derive(Debug, Default)]
pub struct EndedIncarnations(RefCell<IndexMap<Holder, Incarnation>>);

#[derive(Clone, Copy, Debug)]
struct Incarnation {
    first_heard: Millis,
    ended_since: Option<Millis>,
}

/// Maximum number of incarnations remembered. One that is forgotten must be found to have ended
/// again.
const MAX_INCARNATIONS: usize = 10_000;

/// Time since an incarnation of a daemon was found to have ended; `None` if it may still run.
pub fn ended_for(cx: &Cx, holder: &Holder) -> Option<Duration> {
    let now = cx.clock.now();
    let mut known = cx.ended_incarnations.0.borrow_mut();
    if known.len() > MAX_INCARNATIONS {
        known.clear();
    }
    let incarnation = known.entry(holder.clone()).or_insert(Incarnation {
        first_heard: now,
        ended_since: None,
    });
    if incarnation.ended_since.is_none() && has_ended(cx, holder, incarnation.first_heard) {
        incarnation.ended_since = Some(now);
    }
    incarnation.ended_since.map(|since| now.since(since))
}

/// Whether an incarnation of a daemon has certainly ended: another one is at its address, or it has
/// released its presence row. A daemon sends no requests to others before its own row is written,
/// so a complete list of rows requested after `first_heard` contains the row unless it was
/// released.
fn has_ended(cx: &Cx, holder: &Holder, first_heard: Millis) -> bool {
    if *holder == cx.me {
        return false;
    }
    let members = cx.members.borrow();
    // A row that is merely present may be older than `holder`; one that was first read after
    // `first_heard` is not.
    let is_replaced = members.daemons.values().any(|seen| {
        let other = &seen.row.holder;
        other.address == holder.address && other != holder && seen.seen.since > first_heard
    });
    let read_after = first_heard + cx.cfg.platform.timeout * MAX_LIST_AGE_TIMEOUTS;
    let is_list_recent = members.all_read_at.is_some_and(|read| read >= read_after);
    let is_listed = members
        .daemons
        .values()
        .any(|seen| seen.row.holder == *holder);
    is_replaced || (is_list_recent && !is_listed)
}
