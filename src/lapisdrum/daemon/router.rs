//! The request path: admit, choose a worker within the floors, send, tell the outcome truthfully.
//!
//! `refused` is answered only where nothing was sent, or where the worker said that it did not run
//! the request. Everything else without an answer is `unknown`, and a request that is not
//! idempotent is not sent a second time after it.

use super::{
    Cx,
    claims::{self, Begun},
    supervisor,
};
use crate::{
    core::{
        catalogue::{Class, Entry},
        id::{EntryName, RequestId, WorkerId},
        outcome::Refusal,
        size::Size,
        time::Millis,
    },
    policy::routing::{self, Candidate},
    state::{claims::KeptAnswer, ledger::ClaimEnd},
    timeline::event::Happening,
    worker::client::{Answer, Outgoing, RequestEnd},
};
use bytes::Bytes;
use std::{rc::Rc, time::Duration};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

/// When to come back after a refusal for want of room.
const BUSY_RETRY: Duration = Duration::from_secs(1);
/// Largest answer that is passed on, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;
/// Sends of one request that certainly did not run before.
const MOST_SENDS: usize = 3;
/// Time after a request's deadline in which its worker has certainly ended it: the deadline is
/// counted by the worker from the request's arrival, a packet's delay after it was sent.
const LATE_MARGIN: Duration = Duration::from_millis(500);
/// Time between two looks at what is still in flight.
const FINISH_POLL: Duration = Duration::from_millis(5);

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

/// Serves a caller's request. It goes on when the caller goes away: its worker may be running it,
/// and the slot must stay counted.
pub async fn run(cx: &Cx, req: RunRequest) -> RunEnd {
    let (tx, rx) = oneshot::channel();
    let (owned, in_flight) = (Rc::clone(cx), Rc::clone(&cx.in_flight));
    supervisor::spawn("request", async move {
        let end = serve(&owned, &req).await;
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

async fn serve(cx: &Cx, req: &RunRequest) -> RunEnd {
    let began = cx.clock.now();
    let entry = match check(cx, req) {
        Ok(entry) => entry,
        Err(refusal) => return RunEnd::Refused(refusal),
    };
    let deadline = began + req.deadline.unwrap_or(entry.deadline).min(entry.deadline);
    match &req.key {
        Some(key) => serve_claimed(cx, &entry, req, key, deadline).await,
        None => admit_and_send(cx, &entry, req, mint_id(cx), deadline).await,
    }
}

/// Serves a request whose id the caller brought: once, whatever is repeated.
async fn serve_claimed(
    cx: &Cx,
    entry: &Entry,
    req: &RunRequest,
    key: &RequestId,
    deadline: Millis,
) -> RunEnd {
    let left = deadline.since(cx.clock.now());
    let claim = match claims::begin(cx, key, &entry.name, left).await {
        Begun::Claimed(claim) => claim,
        Begun::Ended(end) => return first_outcome(req, key, end),
        Begun::Refused(refusal) => return RunEnd::Refused(refusal),
    };
    let end = admit_and_send(cx, entry, req, key.clone(), deadline).await;
    claims::end(cx, key, claim, claim_end(req, &end));
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

fn claim_end(req: &RunRequest, end: &RunEnd) -> ClaimEnd {
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
        RunEnd::DoneBefore(..) | RunEnd::Unknown(..) => ClaimEnd::Unknown,
    }
}

async fn admit_and_send(
    cx: &Cx,
    entry: &Entry,
    req: &RunRequest,
    id: RequestId,
    deadline: Millis,
) -> RunEnd {
    if !cx.admission.borrow_mut().try_admit(entry, daemon_count(cx)) {
        return RunEnd::Refused(Refusal::OverLimit {
            entry: entry.name.clone(),
            retry_after: BUSY_RETRY,
        });
    }
    let admitted = Admitted { cx, entry };
    let end = send(cx, entry, req, id, deadline).await;
    drop(admitted);
    end
}

/// Gives the admission back.
struct Admitted<'a> {
    cx: &'a Cx,
    entry: &'a Entry,
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        self.cx.admission.borrow_mut().finish(&self.entry.name);
    }
}

fn daemon_count(cx: &Cx) -> u32 {
    u32::try_from(cx.members.borrow().daemons.len())
        .unwrap_or(u32::MAX)
        .max(1)
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

async fn send(cx: &Cx, entry: &Entry, req: &RunRequest, id: RequestId, deadline: Millis) -> RunEnd {
    // Whether a send has ended without a word on whether it ran.
    let mut in_doubt = None;
    for _ in 0..MOST_SENDS {
        let left = deadline.since(cx.clock.now());
        let chosen = choose_worker(cx, entry);
        let refusal = match (left.is_zero(), &chosen) {
            (true, _) => Some(Refusal::TooLate {
                retry_after: BUSY_RETRY,
            }),
            (false, None) => Some(Refusal::Busy {
                retry_after: BUSY_RETRY,
            }),
            (false, Some(_)) => None,
        };
        if let Some(refusal) = refusal {
            // What was sent before may have run.
            return match in_doubt {
                Some(why) => unknown(cx, id, why),
                None => RunEnd::Refused(refusal),
            };
        }
        let Some((worker, address)) = chosen else {
            break;
        };
        let out = Outgoing {
            request: &id,
            entry: &entry.name,
            epoch: cx.floors.borrow().epoch,
            content_type: req.content_type.as_deref(),
            body: req.body.clone(),
            left,
            answer_limit: ANSWER_LIMIT,
        };
        let slot = Slot::take(cx, worker, &entry.size);
        match cx.workers.run(&address, out).await {
            RequestEnd::Answered(answer) => return RunEnd::Done(id, answer),
            RequestEnd::NotRun(_) => {}
            RequestEnd::Unknown(why) => {
                slot.hold_until(deadline + LATE_MARGIN);
                if !entry.idempotent {
                    return unknown(cx, id, why);
                }
                in_doubt = Some(why);
            }
        }
    }
    match in_doubt {
        Some(why) => unknown(cx, id, why),
        None => RunEnd::Refused(Refusal::Busy {
            retry_after: BUSY_RETRY,
        }),
    }
}

fn unknown(cx: &Cx, id: RequestId, why: String) -> RunEnd {
    cx.timeline.record(Happening::RequestUnknown {
        request: id.clone(),
        reason: why.clone(),
    });
    RunEnd::Unknown(id, why)
}

/// A slot in use, counted until it is dropped.
///
/// Failure: a request's answer is lost or late. The worker may be running it still, so a slot that
/// is free again at once would let the host be loaded beyond its size. The worker ends a request at
/// the deadline that came with it, and the slot is held until then.
struct Slot {
    cx: Cx,
    worker: WorkerId,
    size: Size,
    _in_flight: Rc<()>,
}

impl Slot {
    fn take(cx: &Cx, worker: WorkerId, size: &Size) -> Self {
        cx.floors.borrow_mut().take(&worker, size);
        Self {
            cx: Rc::clone(cx),
            worker,
            size: *size,
            _in_flight: Rc::clone(&cx.in_flight),
        }
    }

    /// Keeps the slot counted until a time at which the request is over on its worker.
    fn hold_until(self, end: Millis) {
        let wait = end.since(self.cx.clock.now());
        supervisor::spawn("held-slot", async move {
            tokio::time::sleep(wait).await;
            drop(self);
        });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut floors = self.cx.floors.borrow_mut();
        floors.release(&self.worker, &self.size);
    }
}

fn choose_worker(cx: &Cx, entry: &Entry) -> Option<(WorkerId, String)> {
    let daemons = daemon_count(cx);
    let members = cx.members.borrow();
    let floors = cx.floors.borrow();
    let mut candidates = Vec::new();
    for (index, (worker, floor)) in floors.held.iter().enumerate() {
        let host = members.hosts.get(worker);
        let is_open = host.is_some_and(|host| {
            !host.leaving && floor.used.slots < connection_share(cx, host.connections, daemons)
        });
        if is_open && floors.has_room(worker, &entry.size) {
            candidates.push(Candidate {
                index,
                outstanding: floor.used.slots,
            });
        }
    }
    let chosen = routing::choose(&candidates, &mut rand::rng())?;
    let (worker, _) = floors.held.get_index(chosen)?;
    let host = members.hosts.get(worker)?;
    Some((worker.clone(), host.address.clone()))
}

/// Connections to one worker for requests: its limit divided over the daemons, less one for
/// commands.
fn connection_share(cx: &Cx, connections: u32, daemons: u32) -> u32 {
    let share = (connections / daemons).saturating_sub(1).max(1);
    share.min(cx.cfg.requests.connections)
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
