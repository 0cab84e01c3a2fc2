//! The request path: check, claim the caller's id, wait in line or go elsewhere, send, tell the
//! outcome truthfully.
//!
//! `refused` is answered only where nothing was sent, or where the worker said that it did not run
//! the request. Everything else without an answer is `unknown`, and a request that is not
//! idempotent is not sent a second time after it.

use super::{
    Cx,
    claims::{self, Begun},
    queue::{self, Place},
    spill, supervisor,
};
use crate::{
    core::{
        catalogue::{Class, Entry},
        id::{EntryName, RequestId},
        outcome::Refusal,
        time::Millis,
    },
    policy::{retry::Failure, routing::End},
    state::{claims::KeptAnswer, ledger::ClaimEnd},
    timeline::event::Happening,
    worker::client::{Answer, Outgoing, RequestEnd},
};
use bytes::Bytes;
use std::{convert::Infallible, rc::Rc, time::Duration};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

/// When to come back to a daemon that is not ready.
const BUSY_RETRY: Duration = Duration::from_secs(1);
/// Largest answer that is passed on, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;
/// Least status of an answer that tells of a fault of the worker.
const FIRST_SERVER_FAULT: u16 = 500;
/// Time after a request's deadline in which its worker has certainly ended it: the deadline is
/// counted by the worker from the request's arrival, a packet's delay after it was sent.
pub const LATE_MARGIN: Duration = Duration::from_millis(500);
/// Time between two looks at what is still in flight.
const FINISH_POLL: Duration = Duration::from_millis(5);

/// Completes when the caller has gone away.
type CallerGone = oneshot::Receiver<Infallible>;

/// A caller's request.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// The entry.
    pub entry: EntryName,
    /// Its body.
    pub body: Bytes,
    /// Its content type.
    pub content_type: Option<String>,
    /// The caller's deadline, if it is shorter than the entry's.
    pub deadline: Option<Duration>,
    /// The caller's own id for the request.
    pub key: Option<RequestId>,
    /// Hash of who asks; requests of one caller share one turn in line.
    pub caller: u64,
}

/// How a request ended for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The worker's whole answer.
    Done(RequestId, Answer),
    /// Done before under the same id with this status; the answer was too large to keep.
    DoneBefore(RequestId, u16),
    /// Not run.
    Refused(Refusal),
    /// Nobody knows whether it ran.
    Unknown(RequestId, String),
}

/// Serves a caller's request. Once sent it goes on when the caller goes away: its worker may be
/// running it, and its place must stay taken.
pub async fn run(cx: &Cx, req: RunRequest) -> RunEnd {
    let (tx, rx) = oneshot::channel();
    // Dropped with this future.
    let (_caller, caller_gone) = oneshot::channel::<Infallible>();
    let (owned, in_flight) = (Rc::clone(cx), Rc::clone(&cx.in_flight));
    supervisor::spawn("request", async move {
        let end = serve(&owned, &req, caller_gone).await;
        // Nobody listens when the caller has gone away.
        let _ = tx.send(end);
        drop(in_flight);
    });
    let end = rx.await;
    end.unwrap_or_else(|_| unreachable!("a request's task always sends its end"))
}

/// Completes once no request is being served and no worker may still be running one.
pub async fn finished(cx: &Cx) {
    // The context itself holds one.
    while Rc::strong_count(&cx.in_flight) > 1 || !claims::all_told(cx) {
        tokio::time::sleep(FINISH_POLL).await;
    }
}

async fn serve(cx: &Cx, req: &RunRequest, caller_gone: CallerGone) -> RunEnd {
    let began = cx.clock.now();
    let checked = check(cx, req).and_then(|entry| {
        queue::let_in(cx, &entry)?;
        Ok(entry)
    });
    let entry = match checked {
        Ok(entry) => Rc::new(entry),
        Err(refusal) => return RunEnd::Refused(refusal),
    };
    let deadline = began + req.deadline.unwrap_or(entry.deadline).min(entry.deadline);
    match &req.key {
        Some(key) => serve_claimed(cx, &entry, req, key, deadline, caller_gone).await,
        None => wait_and_send(cx, &entry, req, mint_id(cx), deadline, caller_gone).await,
    }
}

/// Serves a request whose id the caller brought: once, whatever is repeated.
async fn serve_claimed(
    cx: &Cx,
    entry: &Rc<Entry>,
    req: &RunRequest,
    key: &RequestId,
    deadline: Millis,
    caller_gone: CallerGone,
) -> RunEnd {
    let left = deadline.since(cx.clock.now());
    let claim = match claims::begin(cx, key, &entry.name, left).await {
        Begun::Claimed(claim) => claim,
        Begun::Ended(end) => return first_outcome(req, key, end),
        Begun::Refused(refusal) => return RunEnd::Refused(refusal),
    };
    let end = wait_and_send(cx, entry, req, key.clone(), deadline, caller_gone).await;
    claims::end(cx, key, claim, claim_end(entry, req, &end));
    end
}

/// What a repeat is told.
fn first_outcome(req: &RunRequest, key: &RequestId, end: ClaimEnd) -> RunEnd {
    let unknown = || RunEnd::Unknown(key.clone(), "an earlier try under this id".to_owned());
    let ClaimEnd::Done { status, body } = end else {
        return unknown();
    };
    let Ok(kept) = KeptAnswer::try_from(body.as_slice()) else {
        return unknown();
    };
    if kept.digest != xxh3_64(&req.body) {
        return RunEnd::Refused(Refusal::IdReused(key.clone()));
    }
    match kept.body {
        None => RunEnd::DoneBefore(key.clone(), status),
        Some(body) => {
            let answer = Answer {
                status,
                content_type: kept.content_type,
                body: body.into(),
            };
            RunEnd::Done(key.clone(), answer)
        }
    }
}

fn claim_end(entry: &Entry, req: &RunRequest, end: &RunEnd) -> ClaimEnd {
    match end {
        RunEnd::Done(_, answer) => {
            let digest = xxh3_64(&req.body);
            let kept = KeptAnswer::new(digest, answer.content_type.clone(), &answer.body);
            ClaimEnd::Done {
                status: answer.status,
                body: Vec::from(&kept),
            }
        }
        RunEnd::Refused(_) => ClaimEnd::NotRun,
        // It may run again, so its id is free to be asked again.
        RunEnd::Unknown(..) if entry.idempotent => ClaimEnd::NotRun,
        RunEnd::DoneBefore(..) | RunEnd::Unknown(..) => ClaimEnd::Unknown,
    }
}

async fn wait_and_send(
    cx: &Cx,
    entry: &Rc<Entry>,
    req: &RunRequest,
    id: RequestId,
    deadline: Millis,
    caller_gone: CallerGone,
) -> RunEnd {
    let mut in_doubt = None;
    if !queue::is_open_to(cx, &entry.name) {
        match spill::elsewhere(cx, entry, req, &id, deadline).await {
            Ok(end) => return end,
            Err(doubt) => in_doubt = doubt,
        }
    }
    let gone = async {
        // Nothing is ever sent; this ends when the other side is dropped.
        let _ = caller_gone.await;
    };
    match queue::wait(cx, entry, req.caller, deadline, gone).await {
        Ok(place) => send(cx, entry, req, id, deadline, place, in_doubt).await,
        Err(refusal) => refused_or_unknown(cx, id, refusal, in_doubt),
    }
}

/// A refusal, unless the request was sent before and may have run.
fn refused_or_unknown(
    cx: &Cx,
    id: RequestId,
    refusal: Refusal,
    in_doubt: Option<String>,
) -> RunEnd {
    match in_doubt {
        Some(why) => unknown(cx, id, why),
        None => RunEnd::Refused(refusal),
    }
}

/// Serves a request that another daemon had no room for: at once or not at all, so that it neither
/// overtakes this daemon's own callers nor goes on to a third daemon.
pub async fn run_spilled(cx: &Cx, req: RunRequest, id: RequestId) -> RunEnd {
    let (tx, rx) = oneshot::channel();
    let owned = Rc::clone(cx);
    // Goes on when the other daemon gives up on the call, as for a caller that goes away.
    supervisor::spawn("spilled-request", async move {
        let end = serve_spilled(&owned, &req, id).await;
        let _ = tx.send(end);
    });
    let end = rx.await;
    end.unwrap_or_else(|_| unreachable!("a request's task always sends its end"))
}

async fn serve_spilled(cx: &Cx, req: &RunRequest, id: RequestId) -> RunEnd {
    let began = cx.clock.now();
    let entry = match check(cx, req) {
        Ok(entry) => entry,
        Err(refusal) => return RunEnd::Refused(refusal),
    };
    let deadline = began + req.deadline.unwrap_or(entry.deadline).min(entry.deadline);
    let place = match queue::is_open_to(cx, &entry.name) {
        true => Place::take(cx, &entry),
        false => None,
    };
    match place {
        Some(place) => send(cx, &entry, req, id, deadline, place, None).await,
        None => RunEnd::Refused(Refusal::Busy {
            retry_after: BUSY_RETRY,
        }),
    }
}

fn check(cx: &Cx, req: &RunRequest) -> Result<Entry, Refusal> {
    if !cx.is_ready() {
        return Err(Refusal::Draining {
            retry_after: BUSY_RETRY,
        });
    }
    let entry = cx.catalogue.borrow().entry(&req.entry);
    let entry = entry.ok_or_else(|| Refusal::UnknownEntry(req.entry.clone()))?;
    if entry.class != Class::LatencyCritical {
        return Err(Refusal::WrongClass {
            entry: entry.name,
            class: entry.class,
        });
    }
    if !entry.is_active() {
        return Err(Refusal::Retired(entry.name));
    }
    let limit = entry.limits.body_bytes;
    if req.body.len() as u64 > limit {
        let entry = entry.name;
        return Err(Refusal::BodyTooLarge { entry, limit });
    }
    Ok(entry)
}

/// Sends a request until it is answered, may not be sent again, or has no place left. `in_doubt` says
/// why an earlier send may have run it.
async fn send(
    cx: &Cx,
    entry: &Entry,
    req: &RunRequest,
    id: RequestId,
    deadline: Millis,
    first: Place,
    mut in_doubt: Option<String>,
) -> RunEnd {
    let mut next = Some(first);
    while let Some(place) = next {
        let left = deadline.since(cx.clock.now());
        if left.is_zero() {
            break;
        }
        let out = Outgoing {
            request: &id,
            entry: &entry.name,
            epoch: cx.floors.borrow().epoch_on(&place.worker),
            content_type: req.content_type.as_deref(),
            body: req.body.clone(),
            left,
            answer_limit: ANSWER_LIMIT,
        };
        let end = cx.workers.run(&place.address, out).await;
        place.note_end(routing_end(&end));
        let failure = match end {
            RequestEnd::Answered(answer) => {
                cx.line.note_success(&entry.name);
                return RunEnd::Done(id, answer);
            }
            RequestEnd::Unsent(_) | RequestEnd::NotRun(_) => {
                drop(place);
                Failure::NotRun
            }
            RequestEnd::Unknown(why) => {
                place.hold_until(deadline + LATE_MARGIN);
                in_doubt = Some(why);
                Failure::Unknown
            }
        };
        let is_repeated = cx.line.try_retry(entry, failure);
        next = is_repeated.then(|| Place::take(cx, entry)).flatten();
    }
    let refusal = Refusal::Busy {
        retry_after: cx.line.retry_after(cx.clock.now()),
    };
    refused_or_unknown(cx, id, refusal, in_doubt)
}

fn routing_end(end: &RequestEnd) -> End {
    match end {
        // A worker that fails at once looks fastest; it counts as failing.
        RequestEnd::Answered(answer) if answer.status >= FIRST_SERVER_FAULT => End::Failed,
        RequestEnd::Answered(_) => End::Answered,
        RequestEnd::NotRun(_) => End::Full,
        RequestEnd::Unsent(_) | RequestEnd::Unknown(_) => End::Failed,
    }
}

/// Notes an outcome that nobody knows.
pub fn unknown(cx: &Cx, id: RequestId, why: String) -> RunEnd {
    cx.timeline.record(Happening::RequestUnknown {
        request: id.clone(),
        reason: why.clone(),
    });
    RunEnd::Unknown(id, why)
}

/// An id that no other daemon mints: this run's number and a random part.
fn mint_id(cx: &Cx) -> RequestId {
    let text = format!(
        "{:016x}-{:016x}",
        cx.me.incarnation.0,
        rand::random::<u64>()
    );
    RequestId::try_from(text).unwrap_or_else(|e| unreachable!("a minted id is valid: {e}"))
}
