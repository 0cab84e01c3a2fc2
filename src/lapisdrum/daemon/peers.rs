//! What this daemon answers to other daemons.

use super::{Cx, catalogue, claims, grants, jobs, listing, shard::Shard, spill};
use crate::{
    core::{id::ShardId, outcome::Refusal, time::Millis},
    peer::wire::{PeerReply, PeerRequest},
    state::ownership::Holder,
};
use indexmap::IndexMap;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// When a daemon should ask again that took this one for an owner that it is not.
const NOT_OWNER_RETRY: Duration = Duration::from_secs(1);

/// Answers one request.
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
        // The run before this one can't be answered for.
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

/// A shard that this daemon owns and whose ledger is recovered.
pub fn owned(cx: &Cx, shard: &ShardId) -> Result<Rc<Shard>, Refusal> {
    let own = cx.shards.borrow().get(shard).cloned();
    let own = own.filter(|shard| shard.is_serving());
    own.ok_or(Refusal::NoOwner {
        retry_after: NOT_OWNER_RETRY,
    })
}

/// Timeouts of the platform within which a list that was read had certainly been asked for.
const LIST_AGE: u32 = 2;

/// Other daemons' runs that this process has heard of, and since when they are gone.
#[derive(Debug, Default)]
pub struct Departures(RefCell<IndexMap<Holder, Departure>>);

#[derive(Clone, Copy, Debug)]
struct Departure {
    heard: Millis,
    gone_since: Option<Millis>,
}

/// Runs that are remembered at most; one that is forgotten is found to be gone anew.
const MOST_DEPARTURES: usize = 10_000;

/// How long a run of a daemon has certainly been over, as far as this process knows.
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

/// Whether a run of a daemon, heard of at `heard`, is certainly over: another run is at its
/// address, or it has released its presence row. A daemon asks nothing of others before its own row
/// is written, so a list of rows that was read whole after `heard` has it unless it was released.
fn is_gone(cx: &Cx, holder: &Holder, heard: Millis) -> bool {
    if *holder == cx.me {
        return false;
    }
    let members = cx.members.borrow();
    // A row that merely lies there may be older than `holder`; one that was written after it was
    // heard of is not.
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
