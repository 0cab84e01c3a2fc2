//! Claims on request ids that callers supply: made before a request is sent to a worker, ended when
//! the request has ended.
//!
//! Failure: a reply to a caller is lost and the caller retries through another daemon, while the
//! first run is in progress or long after it. Without a claim that both daemons find, a certificate
//! check that is not idempotent runs twice. The claim is in the ledger of the id's home shard
//! before anything is sent; if the home or the table is unreachable the request is refused, not
//! run.
//!
//! A daemon reports the end of a claim until the home has recorded it. A claim whose daemon has
//! certainly ended gets the outcome unknown. If its daemon does not know of a claim (the call timed
//! out and arrived late), the request was never sent and the claim is released.

use super::{
    Cx,
    journal::{Urgency, WriteOutcome},
    peers,
    shard::Shard,
    supervisor,
};
use crate::{
    core::{
        id::{EntryName, RequestId, ShardId},
        outcome::Refusal,
        time::Millis,
    },
    peer::wire::{ClaimCall, PeerReply, PeerRequest},
    state::{
        claims::{self, ClaimStatus, Homes, MAX_CLAIMS},
        ledger::{ClaimEnd, Event},
        ownership::{Holder, Sighting},
    },
    store::{client::TxnOutcome, wire::Txn},
    util::backoff::Backoff,
};
use indexmap::IndexMap;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

/// Key of the row that names the home shards of claims.
const HOMES_KEY: &str = "claim-homes";
/// Interval at which the row of homes is read and the claims of own shards are checked.
const POLL: Duration = Duration::from_millis(500);
/// Retry delay given to callers while a request is being served or its home is unreachable.
const RETRY: Duration = Duration::from_secs(1);
/// Platform polls for which the set of known shards must be unchanged before the first row of homes
/// is written: more than pass between two reads of all data centres. A row with only the writer's
/// own shards would be in force for hours, and every id would depend on that one data centre.
const STABLE_POLLS: u32 = 15;
/// Longest deadline of a request, and so the longest time that its claim may stay open.
const LONGEST_REQUEST: Duration = Duration::from_secs(3_600);
/// Age of an open claim from which the home's owner asks the claim's daemon whether it still serves
/// the request.
const CHECK_HOLDER_AFTER: Duration = Duration::from_secs(5);
/// First wait before the end of a claim is reported again.
const FIRST_END_WAIT: Duration = Duration::from_millis(100);
/// Longest wait before the end of a claim is reported again.
const LONGEST_END_WAIT: Duration = Duration::from_secs(2);

/// Claims that this daemon made for callers, and notes on the claims of homes that it owns.
#[derive(Debug, Default)]
pub struct Claims {
    /// Ids that this daemon serves, or whose end it has not reported yet, with the claim's nonce.
    served: RefCell<IndexMap<RequestId, u64>>,
    /// The row of homes as last read, with the time of the read.
    homes: RefCell<Option<SeenHomes>>,
    /// Known shards, and since when the set is unchanged.
    known_shards: RefCell<(Vec<ShardId>, Millis)>,
    /// Notes on the claims of own shards.
    notes: RefCell<IndexMap<RequestId, Note>>,
    is_checking_holders: Cell<bool>,
}

#[derive(Clone, Debug)]
struct SeenHomes {
    row: Homes,
    seen: Sighting,
    read_at: Millis,
}

/// What the owner of a home knows of a claim beyond the ledger. Each new owner starts without
/// notes, which can only keep a claim longer.
#[derive(Clone, Copy, Debug)]
struct Note {
    /// Nonce of the claim; `None` if an earlier owner recorded the claim.
    nonce: Option<u64>,
    /// When this owner first knew of the claim.
    since: Millis,
    /// When this owner first saw the claim ended.
    ended_since: Option<Millis>,
}

/// A claim that this daemon holds. Its end must be reported through [`end`].
#[derive(Debug)]
#[must_use = "a claim without an end keeps its id from ever being served"]
pub struct OwnClaim {
    calls: Vec<ClaimCall>,
}

/// Outcome of an attempt to claim an id.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This daemon may serve the request.
    Claimed(OwnClaim),
    /// The request was served before.
    Ended(ClaimEnd),
    /// The request must not be served, for this reason.
    Refused(Refusal),
}

fn home_unavailable() -> Refusal {
    Refusal::StoreAway { retry_after: RETRY }
}

/// Claims an id at each of its homes, waiting up to `within` for each reply.
pub async fn acquire(
    cx: &Cx,
    request: &RequestId,
    entry: &EntryName,
    within: Duration,
) -> ClaimOutcome {
    let Some(homes) = homes_of(cx, request) else {
        return ClaimOutcome::Refused(home_unavailable());
    };
    let nonce = rand::random();
    {
        let mut served = cx.claims.served.borrow_mut();
        if served.contains_key(request) {
            return ClaimOutcome::Refused(Refusal::InProgress { retry_after: RETRY });
        }
        served.insert(request.clone(), nonce);
    }
    let call = |shard| ClaimCall {
        shard,
        request: request.clone(),
        entry: entry.clone(),
        by: cx.me.clone(),
        nonce,
    };
    let mut claim = OwnClaim { calls: Vec::new() };
    for home in homes {
        let call = call(home);
        let asked = ask(cx, PeerRequest::Claim(call.clone()), &call.shard);
        let reply = tokio::time::timeout(within, asked).await;
        let outcome = match reply.unwrap_or(PeerReply::Unknown) {
            PeerReply::Claimed => {
                claim.calls.push(call);
                continue;
            }
            PeerReply::ClaimEnded(end) => ClaimOutcome::Ended(end),
            PeerReply::Refused(refusal) => ClaimOutcome::Refused(refusal),
            // The claim may be in the ledger. Nothing was sent to a worker, so it is released.
            _ => {
                claim.calls.push(call);
                ClaimOutcome::Refused(home_unavailable())
            }
        };
        end(cx, request, claim, ClaimEnd::NotRun);
        return outcome;
    }
    ClaimOutcome::Claimed(claim)
}

/// Reports in the background how a claimed request ended, until each home has recorded it.
pub fn end(cx: &Cx, request: &RequestId, claim: OwnClaim, end: ClaimEnd) {
    if claim.calls.is_empty() {
        cx.claims.served.borrow_mut().swap_remove(request);
        return;
    }
    let (cx, request) = (Rc::clone(cx), request.clone());
    supervisor::spawn("claim-end", async move {
        for call in claim.calls {
            report_end(&cx, call, &end).await;
        }
        cx.claims.served.borrow_mut().swap_remove(&request);
    });
}

async fn report_end(cx: &Cx, call: ClaimCall, end: &ClaimEnd) {
    let mut backoff = Backoff::new(FIRST_END_WAIT, LONGEST_END_WAIT);
    loop {
        let report = PeerRequest::EndClaim(call.clone(), end.clone());
        if ask(cx, report, &call.shard).await == PeerReply::Ok {
            return;
        }
        let wait = backoff.next_wait(&mut rand::rng());
        tokio::time::sleep(wait).await;
    }
}

/// Whether this daemon serves no claimed request and has no end of a claim left to report.
pub fn all_reported(cx: &Cx) -> bool {
    cx.claims.served.borrow().is_empty()
}

/// Those of `ids` that this daemon serves or whose end it has not reported yet.
pub fn still_served(cx: &Cx, mut ids: Vec<RequestId>) -> Vec<RequestId> {
    let served = cx.claims.served.borrow();
    ids.retain(|id| served.contains_key(id));
    ids
}

/// Calls a shard's owner, which may be this daemon. Returns [`PeerReply::Unknown`] without a reply.
async fn ask(cx: &Cx, req: PeerRequest, shard: &ShardId) -> PeerReply {
    if cx.shards.borrow().contains_key(shard) {
        let answered = Box::pin(peers::answer(cx, req));
        let answered = tokio::time::timeout(cx.cfg.requests.peer_timeout, answered).await;
        return answered.unwrap_or(PeerReply::Unknown);
    }
    let address = cx.members.borrow().owner_address(shard);
    match address {
        Some(address) => {
            let answered = cx.peers.call(&address, req).await;
            answered.unwrap_or(PeerReply::Unknown)
        }
        None => PeerReply::Refused(Refusal::NoOwner { retry_after: RETRY }),
    }
}

/// The first home of an id, which also stores the job submitted under that id.
pub fn home_of(cx: &Cx, request: &RequestId) -> Option<ShardId> {
    homes_of(cx, request)?.into_iter().next()
}

/// The homes of an id. None if the row of homes has not been read within the claim retention.
fn homes_of(cx: &Cx, request: &RequestId) -> Option<Vec<ShardId>> {
    let homes = cx.claims.homes.borrow();
    let homes = homes.as_ref()?;
    let age = cx.clock.now().since(homes.read_at);
    (age < cx.cfg.requests.claim_retention).then(|| homes.row.of(request))
}

/// As owner of a home, claims an id or returns the state of the existing claim.
pub async fn answer_claim(cx: &Cx, shard: &Rc<Shard>, call: ClaimCall) -> PeerReply {
    let found = claims::lookup(&shard.state(), &call.request, &call.entry);
    match found {
        ClaimStatus::NotClaimed => {}
        ClaimStatus::InProgress => {
            return PeerReply::Refused(Refusal::InProgress { retry_after: RETRY });
        }
        ClaimStatus::Ended(end) => return PeerReply::ClaimEnded(end),
        ClaimStatus::OtherEntry => return PeerReply::Refused(Refusal::IdReused(call.request)),
    }
    if shard.state().claims.len() >= MAX_CLAIMS {
        return PeerReply::Refused(Refusal::Busy { retry_after: RETRY });
    }
    let claimed = Event::Claimed {
        request: call.request.clone(),
        entry: call.entry,
        by: call.by,
    };
    let ticket = match shard.propose(cx, vec![claimed], Urgency::Urgent) {
        Ok(ticket) => ticket,
        Err(e) => return PeerReply::Refused(e.refusal()),
    };
    let note = Note {
        nonce: Some(call.nonce),
        since: cx.clock.now(),
        ended_since: None,
    };
    cx.claims.notes.borrow_mut().insert(call.request, note);
    match ticket.outcome().await {
        WriteOutcome::Committed => PeerReply::Claimed,
        WriteOutcome::NotWritten => PeerReply::Refused(home_unavailable()),
        WriteOutcome::Unknown => PeerReply::Unknown,
    }
}

/// As owner of a home, ends a claim. A repeated report, or a late one about an earlier claim on the
/// same id, changes nothing.
pub async fn answer_end(cx: &Cx, shard: &Rc<Shard>, call: ClaimCall, end: ClaimEnd) -> PeerReply {
    let noted = cx.claims.notes.borrow().get(&call.request).copied();
    let is_late = noted.is_some_and(|note| note.nonce.is_some_and(|nonce| nonce != call.nonce));
    let is_open = {
        let state = shard.state();
        let claim = state.claims.get(&call.request);
        claim.is_some_and(|claim| claim.end.is_none() && claim.by == call.by)
    };
    if is_late || !is_open {
        return PeerReply::Ok;
    }
    let ticket = match shard.propose(cx, end_events(call.request, end), Urgency::Urgent) {
        Ok(ticket) => ticket,
        Err(e) => return PeerReply::Refused(e.refusal()),
    };
    match ticket.outcome().await {
        WriteOutcome::Committed => PeerReply::Ok,
        WriteOutcome::NotWritten => PeerReply::Refused(home_unavailable()),
        WriteOutcome::Unknown => PeerReply::Unknown,
    }
}

/// Events that end a claim. If the request was not run the claim is removed, so that its id can be
/// claimed again.
fn end_events(request: RequestId, end: ClaimEnd) -> Vec<Event> {
    let is_released = end == ClaimEnd::NotRun;
    let mut events = vec![Event::ClaimEnded {
        request: request.clone(),
        end,
    }];
    if is_released {
        events.push(Event::ClaimForgotten { request });
    }
    events
}

/// Follows the row of homes and maintains the claims of own shards until the process ends.
pub async fn run(cx: Cx) -> eyre::Result<()> {
    loop {
        follow_homes(&cx).await;
        let own: Vec<Rc<Shard>> = cx.shards.borrow().values().cloned().collect();
        for shard in own.iter().filter(|shard| shard.is_serving()) {
            maintain(&cx, shard);
        }
        forget_notes(&cx, &own);
        tokio::time::sleep(POLL).await;
    }
}

async fn follow_homes(cx: &Cx) {
    let Ok(row) = cx.platform.get(HOMES_KEY).await else {
        return;
    };
    let now = cx.clock.now();
    let known: Vec<ShardId> = cx.members.borrow().shards.keys().cloned().collect();
    let (version, next) = match row {
        None => (0, initial_homes(cx, &known)),
        Some(row) => {
            let version = row.version;
            let Some(homes) = row.parse::<Homes>() else {
                return;
            };
            let before = cx.claims.homes.borrow().as_ref().map(|homes| homes.seen);
            let seen = Sighting::update(before, version, now);
            let overlap = claims::overlap(cx.cfg.requests.claim_retention, LONGEST_REQUEST);
            let overlap = cx.cfg.shards.terms.lengthened(overlap);
            let next = homes.next(&known, now.since(seen.since), overlap);
            *cx.claims.homes.borrow_mut() = Some(SeenHomes {
                row: homes,
                seen,
                read_at: now,
            });
            (version, next)
        }
    };
    if let Some(next) = next {
        let txn = Txn::default()
            .compare(HOMES_KEY.to_owned(), version)
            .put(HOMES_KEY.to_owned(), &next);
        // The outcome does not matter: the next poll reads the row.
        let _: TxnOutcome = cx.platform.txn(&txn).await;
    }
}

fn initial_homes(cx: &Cx, known: &[ShardId]) -> Option<Homes> {
    let now = cx.clock.now();
    let mut known_shards = cx.claims.known_shards.borrow_mut();
    if known_shards.0 != known {
        *known_shards = (known.to_vec(), now);
    }
    let is_stable = now.since(known_shards.1) >= cx.cfg.platform.poll * STABLE_POLLS;
    is_stable.then(|| Homes::first(known)).flatten()
}

/// Checks the claims of an own shard: ends open ones that are too old or whose daemon has ended,
/// asks the daemons of other open ones older than [`CHECK_HOLDER_AFTER`] whether they still serve
/// them, and removes ended ones after the claim retention.
fn maintain(cx: &Cx, shard: &Rc<Shard>) {
    let now = cx.clock.now();
    let mut events = Vec::new();
    let mut to_check: IndexMap<Holder, Vec<RequestId>> = IndexMap::new();
    {
        let state = shard.state();
        let mut notes = cx.claims.notes.borrow_mut();
        for (request, claim) in &state.claims {
            let note = notes.entry(request.clone()).or_insert(Note {
                nonce: None,
                since: now,
                ended_since: None,
            });
            match claim.end {
                // Too old for any daemon to still report its end.
                None if now.since(note.since) > LONGEST_REQUEST * 2
                    || peers::ended_for(cx, &claim.by).is_some() =>
                {
                    events.extend(end_events(request.clone(), ClaimEnd::Unknown));
                }
                None if now.since(note.since) > CHECK_HOLDER_AFTER => {
                    to_check
                        .entry(claim.by.clone())
                        .or_default()
                        .push(request.clone());
                }
                None => {}
                Some(_) => {
                    let since = *note.ended_since.get_or_insert(now);
                    if now.since(since) > cx.cfg.requests.claim_retention {
                        events.push(Event::ClaimForgotten {
                            request: request.clone(),
                        });
                    }
                }
            }
        }
    }
    if !events.is_empty() {
        // If the ledger does not accept them, the next poll proposes them again.
        let _ = shard.propose(cx, events, Urgency::Batch);
    }
    if !to_check.is_empty() && !cx.claims.is_checking_holders.replace(true) {
        let (cx, shard) = (Rc::clone(cx), Rc::clone(shard));
        supervisor::spawn("doubted-claims", async move {
            for (holder, ids) in to_check {
                release_unserved(&cx, &shard, &holder, ids).await;
            }
            cx.claims.is_checking_holders.set(false);
        });
    }
}

/// Releases those claims of `holder` that it does not serve.
async fn release_unserved(cx: &Cx, shard: &Rc<Shard>, holder: &Holder, ids: Vec<RequestId>) {
    let served = if *holder == cx.me {
        still_served(cx, ids.clone())
    } else {
        let asked = PeerRequest::ClaimsServed(holder.clone(), ids.clone());
        match cx.peers.call(&holder.address, asked).await {
            Ok(PeerReply::ClaimsServed(served)) => served,
            _ => return,
        }
    };
    let mut events = Vec::new();
    {
        let state = shard.state();
        for id in ids.into_iter().filter(|id| !served.contains(id)) {
            let claim = state.claims.get(&id);
            // Another daemon may have claimed the id in the meantime.
            if claim.is_some_and(|claim| claim.end.is_none() && claim.by == *holder) {
                events.extend(end_events(id, ClaimEnd::NotRun));
            }
        }
    }
    if !events.is_empty() && !shard.is_lost() {
        let _ = shard.propose(cx, events, Urgency::Batch);
    }
}

fn forget_notes(cx: &Cx, own: &[Rc<Shard>]) {
    let is_kept = |request: &RequestId| {
        own.iter()
            .any(|shard| shard.state().claims.contains_key(request))
    };
    cx.claims
        .notes
        .borrow_mut()
        .retain(|request, _| is_kept(request));
}
