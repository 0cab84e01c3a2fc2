//! The request path: validate, claim the caller's id, wait in the queue or forward to a peer, send,
//! report the outcome.
//!
//! `refused` is returned only when nothing was sent, or when the worker reported that it did not
//! run the request. Any other missing answer is `unknown`; after it, a request that is not
//! idempotent is not sent again.

use super::{
    Cx,
    claims::{self, ClaimOutcome},
    queue::{self, Reservation},
    spill, supervisor,
};
use crate::{
    core::{
        catalogue::{Class, Entry},
        id::{EntryName, RequestId},
        outcome::Refusal,
        time::Millis,
    },
    policy::{retry::Failure, routing::SendOutcome},
    state::{claims::KeptAnswer, ledger::ClaimEnd},
    timeline::event::Happening,
    worker::client::{OutgoingRequest, RequestOutcome, Response},
};
use bytes::Bytes;
use std::{convert::Infallible, rc::Rc, time::Duration};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

/// Retry-after of a daemon that is not ready or has no capacity for a forwarded request.
const BUSY_RETRY: Duration = Duration::from_secs(1);
/// Largest answer that is forwarded to the caller, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Lowest HTTP status that counts as a failure of the worker.
const MIN_SERVER_ERROR_STATUS: u16 = 500;
/// Time after a request's deadline by which its worker has certainly ended it. The worker counts
/// the deadline from the request's arrival, which is one network delay after it was sent.
pub const LATE_MARGIN: Duration = Duration::from_millis(500);
/// Poll interval while waiting for requests in flight to end.
const FINISH_POLL: Duration = Duration::from_millis(5);

/// Completes when the caller has disconnected.
type CallerGone = oneshot::Receiver<Infallible>;

/// A caller's request.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// Catalogue entry that serves the request.
    pub entry: EntryName,
    /// Request body, limited by the entry's `body_bytes`.
    pub body: Bytes,
    /// `Content-Type` of the body, if the caller sent one.
    pub content_type: Option<String>,
    /// Time that the caller allows; the entry's deadline applies when it is shorter.
    pub deadline: Option<Duration>,
    /// Idempotency key that the caller sent.
    pub key: Option<RequestId>,
    /// Hash of the caller's identity; requests with the same hash form one flow in the queue.
    pub caller: u64,
}

/// Outcome of a request, as the caller receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The worker's complete answer.
    Done(RequestId, Response),
    /// An earlier request with the same id ended with this status; its answer was too large to
    /// keep.
    DoneBefore(RequestId, u16),
    /// Not run.
    Refused(Refusal),
    /// The request may or may not have run, with the reason.
    Unknown(RequestId, String),
}

/// Serves a caller's request. Once sent, it continues after the caller has disconnected: its worker
/// may be running it, so its capacity must stay reserved.
pub async fn run(cx: &Cx, req: RunRequest) -> RunEnd {
    let (tx, rx) = oneshot::channel();
    // Dropping this future drops the sender, which completes `caller_gone`.
    let (_caller, caller_gone) = oneshot::channel::<Infallible>();
    let (owned, in_flight) = (Rc::clone(cx), Rc::clone(&cx.in_flight));
    supervisor::spawn("request", async move {
        let end = serve(&owned, &req, caller_gone).await;
        // The send fails when the caller has disconnected.
        let _ = tx.send(end);
        drop(in_flight);
    });
    let end = rx.await;
    end.unwrap_or_else(|_| unreachable!("a request's task always sends its outcome"))
}

/// Completes once no request is being served, no worker may still be running one, and all claims
/// have been reported.
pub async fn finished(cx: &Cx) {
    // The context itself holds one reference.
    while Rc::strong_count(&cx.in_flight) > 1 || !claims::all_reported(cx) {
        tokio::time::sleep(FINISH_POLL).await;
    }
}

async fn serve(cx: &Cx, req: &RunRequest, caller_gone: CallerGone) -> RunEnd {
    let received_at = cx.clock.now();
    let checked = check(cx, req).and_then(|entry| {
        queue::admit(cx, &entry)?;
        Ok(entry)
    });
    let entry = match checked {
        Ok(entry) => Rc::new(entry),
        Err(refusal) => return RunEnd::Refused(refusal),
    };
    let deadline = received_at + req.deadline.unwrap_or(entry.deadline).min(entry.deadline);
    match &req.key {
        Some(key) => serve_claimed(cx, &entry, req, key, deadline, caller_gone).await,
        None => wait_and_send(cx, &entry, req, generate_id(cx), deadline, caller_gone).await,
    }
}

/// Serves a request with a caller-supplied id. A repeat receives the recorded outcome and does not
/// run again, unless the id was released.
async fn serve_claimed(
    cx: &Cx,
    entry: &Rc<Entry>,
    req: &RunRequest,
    key: &RequestId,
    deadline: Millis,
    caller_gone: CallerGone,
) -> RunEnd {
    let left = deadline.since(cx.clock.now());
    let claim = match claims::acquire(cx, key, &entry.name, left).await {
        ClaimOutcome::Claimed(claim) => claim,
        ClaimOutcome::Ended(end) => return first_outcome(req, key, end),
        ClaimOutcome::Refused(refusal) => return RunEnd::Refused(refusal),
    };
    let end = wait_and_send(cx, entry, req, key.clone(), deadline, caller_gone).await;
    claims::end(cx, key, claim, claim_end(entry, req, &end));
    end
}

/// Outcome returned to a repeated request, from the recorded end of the first.
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
            let answer = Response {
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
        // An idempotent request may run again, so its id is released.
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
    let mut unknown_reason = None;
    if !queue::can_start_now(cx, &entry.name) {
        match spill::run_on_peer(cx, entry, req, &id, deadline).await {
            Ok(end) => return end,
            Err(reason) => unknown_reason = reason,
        }
    }
    let disconnected = async {
        // No value is ever sent; the receive ends when the sender is dropped.
        let _ = caller_gone.await;
    };
    match queue::wait(cx, entry, req.caller, deadline, disconnected).await {
        Ok(reservation) => send(cx, entry, req, id, deadline, reservation, unknown_reason).await,
        Err(refusal) => refused_or_unknown(cx, id, refusal, unknown_reason),
    }
}

/// Returns the refusal, or `unknown` when an earlier send may have run the request.
fn refused_or_unknown(
    cx: &Cx,
    id: RequestId,
    refusal: Refusal,
    unknown_reason: Option<String>,
) -> RunEnd {
    match unknown_reason {
        Some(why) => unknown(cx, id, why),
        None => RunEnd::Refused(refusal),
    }
}

/// Serves a request that another daemon had no capacity for. It is started at once or refused, so
/// that it neither overtakes this daemon's waiting callers nor is forwarded to a third daemon.
pub async fn run_spilled(cx: &Cx, req: RunRequest, id: RequestId) -> RunEnd {
    let (tx, rx) = oneshot::channel();
    let owned = Rc::clone(cx);
    // Continues when the other daemon drops the call, as for a caller that disconnects.
    supervisor::spawn("spilled-request", async move {
        let end = serve_spilled(&owned, &req, id).await;
        let _ = tx.send(end);
    });
    let end = rx.await;
    end.unwrap_or_else(|_| unreachable!("a request's task always sends its outcome"))
}

async fn serve_spilled(cx: &Cx, req: &RunRequest, id: RequestId) -> RunEnd {
    let received_at = cx.clock.now();
    let entry = match check(cx, req) {
        Ok(entry) => entry,
        Err(refusal) => return RunEnd::Refused(refusal),
    };
    let deadline = received_at + req.deadline.unwrap_or(entry.deadline).min(entry.deadline);
    let reservation = match queue::can_start_now(cx, &entry.name) {
        true => Reservation::take(cx, &entry),
        false => None,
    };
    match reservation {
        Some(reservation) => send(cx, &entry, req, id, deadline, reservation, None).await,
        None => RunEnd::Refused(Refusal::Busy {
            retry_after: BUSY_RETRY,
        }),
    }
}

fn check(cx: &Cx, req: &RunRequest) -> Result<Entry, Refusal> {
    let entry = callable(cx, &req.entry)?;
    let limit = entry.limits.body_bytes;
    if req.body.len() as u64 > limit {
        let entry = entry.name;
        return Err(Refusal::BodyTooLarge { entry, limit });
    }
    Ok(entry)
}

/// The entry of this name, if a request for it can be served, whatever its body holds.
pub fn callable(cx: &Cx, name: &EntryName) -> Result<Entry, Refusal> {
    if !cx.is_ready() {
        return Err(Refusal::Draining {
            retry_after: BUSY_RETRY,
        });
    }
    let entry = cx.catalogue.borrow().entry(name);
    let entry = entry.ok_or_else(|| Refusal::UnknownEntry(name.clone()))?;
    if entry.class != Class::LatencyCritical {
        return Err(Refusal::WrongClass {
            entry: entry.name,
            class: entry.class,
        });
    }
    if !entry.is_active() {
        return Err(Refusal::Retired(entry.name));
    }
    Ok(entry)
}

/// Sends a request until it is answered, may not be retried, or no capacity is left.
/// `unknown_reason` is the reason why an earlier send may have run it.
async fn send(
    cx: &Cx,
    entry: &Entry,
    req: &RunRequest,
    id: RequestId,
    deadline: Millis,
    first: Reservation,
    mut unknown_reason: Option<String>,
) -> RunEnd {
    let mut next = Some(first);
    while let Some(reservation) = next {
        let time_left = deadline.since(cx.clock.now());
        if time_left.is_zero() {
            break;
        }
        let out = OutgoingRequest {
            request: &id,
            entry: &entry.name,
            epoch: cx.floors.borrow().epoch_on(&reservation.worker),
            content_type: req.content_type.as_deref(),
            body: req.body.clone(),
            time_left,
            max_response_bytes: MAX_ANSWER_BYTES,
        };
        let end = cx.workers.run(&reservation.address, out).await;
        reservation.note_end(routing_end(&end));
        let failure = match end {
            RequestOutcome::Answered(answer) => {
                cx.request_queue.note_success(&entry.name);
                return RunEnd::Done(id, answer);
            }
            RequestOutcome::Unsent(_) | RequestOutcome::NotRun(_) => {
                drop(reservation);
                Failure::NotRun
            }
            RequestOutcome::Unknown(why) => {
                reservation.hold_until(deadline + LATE_MARGIN);
                unknown_reason = Some(why);
                Failure::Unknown
            }
        };
        let may_retry = cx.request_queue.try_retry(entry, failure);
        next = may_retry.then(|| Reservation::take(cx, entry)).flatten();
    }
    let refusal = Refusal::Busy {
        retry_after: cx.request_queue.retry_after(cx.clock.now()),
    };
    refused_or_unknown(cx, id, refusal, unknown_reason)
}

fn routing_end(end: &RequestOutcome) -> SendOutcome {
    match end {
        // A worker that fails at once would otherwise count as the fastest.
        RequestOutcome::Answered(answer) if answer.status >= MIN_SERVER_ERROR_STATUS => {
            SendOutcome::Failed
        }
        RequestOutcome::Answered(_) => SendOutcome::Answered,
        RequestOutcome::NotRun(_) => SendOutcome::Full,
        RequestOutcome::Unsent(_) | RequestOutcome::Unknown(_) => SendOutcome::Failed,
    }
}

/// Records on the timeline that a request's outcome is unknown.
pub fn unknown(cx: &Cx, id: RequestId, why: String) -> RunEnd {
    cx.timeline.record(Happening::RequestUnknown {
        request: id.clone(),
        reason: why.clone(),
    });
    RunEnd::Unknown(id, why)
}

/// Generates a globally unique id: this daemon's incarnation and a random number.
fn generate_id(cx: &Cx) -> RequestId {
    let text = format!(
        "{:016x}-{:016x}",
        cx.me.incarnation.0,
        rand::random::<u64>()
    );
    RequestId::try_from(text).unwrap_or_else(|e| unreachable!("a generated id is valid: {e}"))
}
