//! What this daemon answers to other daemons.

use super::{Cx, catalogue, grants, jobs, listing};
use crate::{
    core::outcome::Refusal,
    peer::wire::{PeerReply, PeerRequest},
};
use std::time::Duration;

/// When a daemon should ask again that took this one for an owner that it is not.
const NOT_OWNER_RETRY: Duration = Duration::from_secs(1);

/// Answers one request.
pub async fn answer(cx: &Cx, req: PeerRequest) -> PeerReply {
    match req {
        PeerRequest::SubmitJob { .. } | PeerRequest::ShowJob(_) | PeerRequest::CancelJob(_) => {
            jobs::answer(cx, req).await
        }
        PeerRequest::ListJobs { shard, filter } => {
            let own = listing::own_jobs(cx, &shard, &filter);
            own.map_or_else(not_owner, PeerReply::Jobs)
        }
        PeerRequest::Grants(round) => {
            let own = cx.shards.borrow().get(&round.shard).cloned();
            match own {
                Some(shard) => grants::answer(cx, &shard, round).await,
                None => not_owner(),
            }
        }
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

fn not_owner() -> PeerReply {
    PeerReply::Refused(Refusal::NoOwner {
        retry_after: NOT_OWNER_RETRY,
    })
}
