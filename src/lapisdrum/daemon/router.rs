//! The request path: admit, choose a worker within the floors, send, tell the outcome truthfully.
//!
//! `refused` is answered only where nothing was sent, or where the worker said that it did not run
//! the request. Everything else without an answer is `unknown`, and a request that is not
//! idempotent is not sent a second time after it.

use super::Cx;
use crate::{
    core::{
        catalogue::{Class, Entry},
        id::{EntryName, RequestId, WorkerId},
        outcome::Refusal,
        time::Millis,
    },
    policy::routing::{self, Candidate},
    timeline::event::Happening,
    worker::client::{Answer, Outgoing, RequestEnd},
};
use bytes::Bytes;
use std::time::Duration;

/// When to come back after a refusal for want of room.
const BUSY_RETRY: Duration = Duration::from_secs(1);
/// Largest answer that is passed on, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;
/// Sends of one request that certainly did not run before.
const MOST_SENDS: usize = 3;

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
    /// Not run.
    Refused(Refusal),
    /// Nobody knows whether it ran.
    Unknown(RequestId, String),
}

/// Serves a caller's request.
pub async fn run(cx: &Cx, req: RunRequest) -> RunEnd {
    let began = cx.clock.now();
    let entry = match check(cx, &req) {
        Ok(entry) => entry,
        Err(refusal) => return RunEnd::Refused(refusal),
    };
    if !cx
        .admission
        .borrow_mut()
        .try_admit(&entry, daemon_count(cx))
    {
        let entry = entry.name;
        return RunEnd::Refused(Refusal::OverLimit {
            entry,
            retry_after: BUSY_RETRY,
        });
    }
    let deadline = began + req.deadline.unwrap_or(entry.deadline).min(entry.deadline);
    let admitted = Admitted { cx, entry: &entry };
    let end = send(cx, &entry, &req, deadline).await;
    drop(admitted);
    end
}

/// Gives the admission back also when the caller goes away and the future is dropped.
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
    Ok(entry)
}

async fn send(cx: &Cx, entry: &Entry, req: &RunRequest, deadline: Millis) -> RunEnd {
    let id = mint_id(cx);
    for _ in 0..MOST_SENDS {
        let left = deadline.since(cx.clock.now());
        if left.is_zero() {
            return RunEnd::Refused(Refusal::TooLate {
                retry_after: BUSY_RETRY,
            });
        }
        let Some((worker, address)) = choose_worker(cx, entry) else {
            return RunEnd::Refused(Refusal::Busy {
                retry_after: BUSY_RETRY,
            });
        };
        let out = Outgoing {
            request: &id,
            entry: &entry.name,
            epoch: cx.floors.borrow().epoch_on(&worker),
            content_type: req.content_type.as_deref(),
            body: req.body.clone(),
            left,
            answer_limit: ANSWER_LIMIT,
        };
        let slot = Slot::take(cx, &worker, entry);
        let end = cx.workers.run(&address, out).await;
        drop(slot);
        match end {
            RequestEnd::Answered(answer) => return RunEnd::Done(id, answer),
            RequestEnd::NotRun(_) => {}
            RequestEnd::Unknown(_) if entry.idempotent => {}
            RequestEnd::Unknown(why) => return unknown(cx, id, why),
        }
    }
    match entry.idempotent {
        true => unknown(cx, id, "no worker answered".to_owned()),
        false => RunEnd::Refused(Refusal::Busy {
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

/// A slot in use; given back also when the future is dropped.
struct Slot<'a> {
    cx: &'a Cx,
    worker: &'a WorkerId,
    entry: &'a Entry,
}

impl<'a> Slot<'a> {
    fn take(cx: &'a Cx, worker: &'a WorkerId, entry: &'a Entry) -> Self {
        cx.floors.borrow_mut().take(worker, &entry.size);
        Self { cx, worker, entry }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.cx
            .floors
            .borrow_mut()
            .release(self.worker, &self.entry.size);
    }
}

fn choose_worker(cx: &Cx, entry: &Entry) -> Option<(WorkerId, String)> {
    let members = cx.members.borrow();
    let floors = cx.floors.borrow();
    let mut candidates = Vec::new();
    for (index, (worker, floor)) in floors.held.iter().enumerate() {
        let leaving = members.hosts.get(worker).is_none_or(|host| host.leaving);
        if !leaving && floors.has_room(worker, &entry.size) {
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

/// An id that no other daemon mints: this run's number and a random part.
fn mint_id(cx: &Cx) -> RequestId {
    let text = format!(
        "{:016x}-{:016x}",
        cx.me.incarnation.0,
        rand::random::<u64>()
    );
    RequestId::try_from(text).unwrap_or_else(|e| unreachable!("a minted id is valid: {e}"))
}
