//! Queue of requests that wait for free capacity.
//!
//! A request waits until its entry's limits and a worker's floor allow it. It then receives a
//! [`Reservation`], which reserves the capacity until the request has ended. The queue is
//! re-evaluated when a reservation is released, when floors rise, and when a deadline passes.

use super::{Cx, shares, supervisor};
use crate::{
    core::{
        catalogue::Entry,
        id::{EntryName, OwnerName, WorkerId},
        outcome::Refusal,
        size::Size,
        time::Millis,
    },
    policy::{
        admission::AdmissionRequest,
        headroom::Headroom,
        queueing::{EnqueueOutcome, Item, Queue, RefusalReason, Refused, Ticket},
        retry::RetryBudget,
        routing::{Candidate, Routing, SendOutcome},
    },
    timeline::event::Happening,
};
use indexmap::IndexMap;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::sync::{Notify, oneshot};

/// Longest time between two evaluations of the queue.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval for removing state of idle entries and of removed workers.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// The queue of waiting requests, with the state of its routing, headroom and retry policies.
#[derive(Debug, Default)]
pub struct RequestQueue {
    queue: RefCell<Queue<Waiting>>,
    routing: RefCell<Routing>,
    headroom: RefCell<Headroom>,
    retries: RefCell<IndexMap<EntryName, RetryBudget>>,
    wakeup: Notify,
}

#[derive(Debug)]
struct Waiting {
    entry: Rc<Entry>,
    outcome: oneshot::Sender<WaitOutcome>,
}

/// Outcome of a wait in the queue.
#[derive(Debug)]
enum WaitOutcome {
    Start(Reservation),
    Refused(Refusal),
}

impl RequestQueue {
    /// Wakes the task that evaluates the queue.
    pub fn wake(&self) {
        self.wakeup.notify_one();
    }

    /// Number of waiting requests of an entry.
    pub fn waiting_of(&self, entry: &EntryName) -> u32 {
        self.queue.borrow().waiting_of(entry)
    }

    /// Retry-after for a caller that is refused because there is no free capacity.
    pub fn retry_after(&self, now: Millis) -> Duration {
        let mut queue = self.queue.borrow_mut();
        queue.retry_after(now, &mut rand::rng())
    }

    /// Takes one retry from the entry's retry budget. False when none is left or the failure must
    /// not be retried.
    pub fn try_retry(&self, entry: &Entry, failure: crate::policy::retry::Failure) -> bool {
        let mut retries = self.retries.borrow_mut();
        let budget = retries.entry(entry.name.clone()).or_default();
        budget.try_retry(failure, entry.idempotent)
    }

    /// Credits the entry's retry budget with an answered request.
    pub fn note_success(&self, entry: &EntryName) {
        let mut retries = self.retries.borrow_mut();
        retries.entry(entry.clone()).or_default().note_success();
    }
}

/// Capacity reserved for one request: a slot and the request's size on a worker, and one run of its
/// entry and owner. Dropping it releases the capacity.
///
/// Failure: a request's answer is lost or late. The worker may still be running it, so releasing
/// the capacity at once could overload the host. The worker ends a request at the deadline that was
/// sent with it; the reservation is held until then.
pub struct Reservation {
    cx: Cx,
    entry: EntryName,
    owner: OwnerName,
    size: Size,
    weight: u32,
    /// Worker on which the capacity is reserved.
    pub worker: WorkerId,
    /// Address of the worker.
    pub address: String,
    sent_at: Millis,
    _in_flight: Rc<()>,
}

impl std::fmt::Debug for Reservation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "reservation for {} on {}", self.entry, self.worker)
    }
}

impl Reservation {
    /// Reserves capacity for a request. `None` when no worker or limit allows it.
    pub fn take(cx: &Cx, entry: &Entry) -> Option<Self> {
        let (worker, address) = choose_worker(cx, entry)?;
        let share = shares::admission_request(cx, entry);
        if !cx.admission.borrow_mut().start(&share) {
            return None;
        }
        cx.floors.borrow_mut().take(&worker, &entry.size);
        let now = cx.clock.now();
        let routing = &cx.request_queue.routing;
        routing.borrow_mut().note_sent(&worker, &entry.name, now);
        note_demand(cx, &entry.name, entry.priority);
        Some(Self {
            cx: Rc::clone(cx),
            entry: entry.name.clone(),
            owner: entry.owner.clone(),
            size: entry.size,
            weight: entry.priority,
            worker,
            address,
            sent_at: now,
            _in_flight: Rc::clone(&cx.in_flight),
        })
    }

    /// Reports the outcome of the send to the routing policy, which may eject the worker.
    pub fn note_end(&self, end: SendOutcome) {
        let pool = self.cx.floors.borrow().held.len();
        let now = self.cx.clock.now();
        let mut routing = self.cx.request_queue.routing.borrow_mut();
        if routing.note_outcome(&self.worker, &self.entry, self.sent_at, end, pool, now) {
            log::warn!("worker {} is ejected from request routing", self.worker);
            self.cx.timeline.record(Happening::WorkerSetAside {
                worker: self.worker.clone(),
                reason: "slow or failing requests".to_owned(),
            });
        }
    }

    /// Keeps the capacity reserved until `end`, when the worker has certainly ended the request.
    pub fn hold_until(self, end: Millis) {
        let wait = end.since(self.cx.clock.now());
        supervisor::spawn("held-place", async move {
            tokio::time::sleep(wait).await;
            drop(self);
        });
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let (floors, admission) = (&self.cx.floors, &self.cx.admission);
        floors.borrow_mut().release(&self.worker, &self.size);
        admission.borrow_mut().finish(&self.entry, &self.owner);
        note_demand(&self.cx, &self.entry, self.weight);
        self.cx.request_queue.wake();
    }
}

/// Waits in the queue for capacity. `caller_gone` completes when the caller has disconnected.
pub async fn wait(
    cx: &Cx,
    entry: &Rc<Entry>,
    caller: u64,
    deadline: Millis,
    caller_gone: impl Future<Output = ()>,
) -> Result<Reservation, Refusal> {
    let (tx, mut rx) = oneshot::channel();
    let ticket = enqueue_request(cx, entry, caller, deadline, tx)?;
    note_demand(cx, &entry.name, entry.priority);
    start_waiting(cx);
    let outcome = tokio::select! {
        outcome = &mut rx => outcome,
        () = caller_gone => {
            cx.request_queue.queue.borrow_mut().remove(ticket, cx.clock.now());
            note_demand(cx, &entry.name, entry.priority);
            // A reservation that was sent at the same time is dropped with the channel.
            return Err(busy(Duration::ZERO));
        }
    };
    match outcome {
        Ok(WaitOutcome::Start(reservation)) => Ok(reservation),
        Ok(WaitOutcome::Refused(refusal)) => Err(refusal),
        Err(_) => unreachable!("every request that leaves the queue is sent an outcome"),
    }
}

fn busy(retry_after: Duration) -> Refusal {
    Refusal::Busy { retry_after }
}

fn enqueue_request(
    cx: &Cx,
    entry: &Rc<Entry>,
    caller: u64,
    deadline: Millis,
    outcome: oneshot::Sender<WaitOutcome>,
) -> Result<Ticket, Refusal> {
    let run = cx
        .request_queue
        .routing
        .borrow()
        .usual_duration(&entry.name);
    let item = Item {
        entry: entry.name.clone(),
        owner: entry.owner.clone(),
        caller,
        class: entry.class,
        weight: entry.priority,
        max_waiting: shares::admission_request(cx, entry).share.queue,
        expected_run: run.unwrap_or_default(),
        deadline: Some(deadline),
    };
    let waiting = Waiting {
        entry: Rc::clone(entry),
        outcome,
    };
    let now = cx.clock.now();
    let mut queue = cx.request_queue.queue.borrow_mut();
    match queue.enqueue(item, waiting, now, &mut rand::rng()) {
        EnqueueOutcome::Waiting { ticket, displaced } => {
            if let Some(displaced) = displaced {
                refuse(displaced);
            }
            Ok(ticket)
        }
        EnqueueOutcome::Refused(refused) => Err(busy(refused.retry_after)),
    }
}

fn refuse(refused: Refused<Waiting>) {
    let refusal = match refused.reason {
        RefusalReason::QueueFull | RefusalReason::Overload => busy(refused.retry_after),
        RefusalReason::Deadline => Refusal::TooLate {
            retry_after: refused.retry_after,
        },
    };
    // The send fails only when the caller has disconnected.
    let _ = refused.payload.outcome.send(WaitOutcome::Refused(refusal));
}

/// Updates the headroom policy with an entry's current demand, so that long runs leave slots free
/// for shorter ones.
fn note_demand(cx: &Cx, entry: &EntryName, weight: u32) {
    let running = cx.admission.borrow().running(entry);
    let waiting = cx.request_queue.waiting_of(entry);
    let run = cx.request_queue.routing.borrow().usual_duration(entry);
    let mut headroom = cx.request_queue.headroom.borrow_mut();
    let now = cx.clock.now();
    headroom.note(
        entry,
        running,
        waiting,
        run.unwrap_or_default(),
        weight,
        now,
    );
}

/// Total number of slots in this daemon's floors.
fn slots(cx: &Cx) -> u32 {
    let floors = cx.floors.borrow();
    floors.held.values().map(|floor| floor.grant.slots).sum()
}

/// Starts waiting requests for as long as there is capacity for one.
fn start_waiting(cx: &Cx) {
    let slots = slots(cx);
    loop {
        let next = {
            let may_start_cache = RefCell::new(IndexMap::new());
            let may_start = |entry: &EntryName, _: &OwnerName| {
                let mut may_start_cache = may_start_cache.borrow_mut();
                *may_start_cache
                    .entry(entry.clone())
                    .or_insert_with(|| has_headroom(cx, entry, slots) && has_capacity(cx, entry))
            };
            let mut queue = cx.request_queue.queue.borrow_mut();
            queue.next(cx.clock.now(), may_start)
        };
        let Some((_, _, waiting)) = next else {
            return;
        };
        let outcome = match Reservation::take(cx, &waiting.entry) {
            Some(reservation) => WaitOutcome::Start(reservation),
            None => WaitOutcome::Refused(busy(cx.request_queue.retry_after(cx.clock.now()))),
        };
        // When the caller has disconnected, the reservation is dropped here, which wakes the queue.
        let _ = waiting.outcome.send(outcome);
    }
}

fn has_headroom(cx: &Cx, entry: &EntryName, slots: u32) -> bool {
    let headroom = cx.request_queue.headroom.borrow();
    headroom.may_start(entry, slots, cx.clock.now())
}

/// Whether a request of an entry would start at once: there is capacity, and no request of the
/// entry is waiting.
pub fn can_start_now(cx: &Cx, entry: &EntryName) -> bool {
    cx.request_queue.waiting_of(entry) == 0 && has_capacity(cx, entry)
}

fn has_capacity(cx: &Cx, entry: &EntryName) -> bool {
    let entry = cx.catalogue.borrow().entry(entry);
    entry.is_some_and(|entry| {
        let share = shares::admission_request(cx, &entry);
        cx.admission.borrow().has_capacity(&share)
            && with_candidates(cx, &entry, 1, |candidates| !candidates.is_empty())
    })
}

/// Expires and starts waiting requests until the process ends.
pub async fn run(cx: Cx) -> eyre::Result<()> {
    let mut cleaned_up_at = cx.clock.now();
    loop {
        let now = cx.clock.now();
        let expired = {
            let mut queue = cx.request_queue.queue.borrow_mut();
            queue.expire(now, &mut rand::rng())
        };
        for expired in expired {
            let entry = Rc::clone(&expired.payload.entry);
            refuse(expired);
            note_demand(&cx, &entry.name, entry.priority);
        }
        start_waiting(&cx);
        if now.since(cleaned_up_at) > CLEANUP_INTERVAL {
            cleaned_up_at = now;
            remove_stale(&cx, now);
        }
        let next = cx.request_queue.queue.borrow().next_expiry();
        let delay = next.map_or(MAX_POLL_INTERVAL, |at| at.since(now).min(MAX_POLL_INTERVAL));
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = cx.request_queue.wakeup.notified() => {}
        }
    }
}

fn remove_stale(cx: &Cx, now: Millis) {
    cx.admission.borrow_mut().forget_idle(now);
    cx.request_queue.headroom.borrow_mut().forget_idle(now);
    let members = cx.members.borrow();
    let mut routing = cx.request_queue.routing.borrow_mut();
    routing.retain(|worker| members.hosts.contains_key(worker));
    let catalogue = cx.catalogue.borrow();
    let mut retries = cx.request_queue.retries.borrow_mut();
    retries.retain(|entry, _| catalogue.rows.contains_key(entry));
}

/// Charges a request to the rate limits of its entry and owner.
pub fn admit(cx: &Cx, entry: &Entry) -> Result<(), Refusal> {
    let admission_request: AdmissionRequest<'_> = shares::admission_request(cx, entry);
    let mut admission = cx.admission.borrow_mut();
    let admitted = admission.admit(&admission_request, cx.clock.now());
    admitted.map_err(|denied| Refusal::OverLimit {
        entry: entry.name.clone(),
        retry_after: denied.wait(),
    })
}

/// Workers with free capacity that are considered for one request. Routing draws two of them and
/// some may be ejected; considering all of 500 workers would cost too much per request.
const MAX_CANDIDATES: usize = 16;

/// Calls `then` with up to `limit` workers that have capacity for a request of an entry. The scan
/// starts at a random worker so that requests spread evenly.
fn with_candidates<T>(
    cx: &Cx,
    entry: &Entry,
    limit: usize,
    then: impl FnOnce(&[Candidate<'_>]) -> T,
) -> T {
    let members = cx.members.borrow();
    let floors = cx.floors.borrow();
    let daemons = to_u32(members.daemons.len()).max(1);
    let has_capacity = |worker: &WorkerId, used: u32| {
        floors.has_capacity(worker, &entry.size)
            && members.hosts.get(worker).is_some_and(|host| {
                !host.leaving && used < connection_share(cx, host.connections, daemons)
            })
    };
    let count = floors.held.len();
    let start = rand::random_range(0..count.max(1));
    let rotated = floors.held.iter().cycle().skip(start).take(count);
    let with_room = rotated.filter(|(worker, floor)| has_capacity(worker, floor.used.slots));
    let candidates: Vec<Candidate<'_>> = with_room
        .take(limit)
        .map(|(worker, floor)| Candidate {
            worker,
            outstanding: floor.used.slots,
        })
        .collect();
    then(&candidates)
}

fn to_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

/// Connections to one worker for requests: the worker's limit divided by the number of daemons,
/// less one for commands, at most the configured number.
fn connection_share(cx: &Cx, connections: u32, daemons: u32) -> u32 {
    let share = (connections / daemons).saturating_sub(1).max(1);
    share.min(cx.cfg.requests.connections)
}

fn choose_worker(cx: &Cx, entry: &Entry) -> Option<(WorkerId, String)> {
    let worker = with_candidates(cx, entry, MAX_CANDIDATES, |candidates| {
        let routing = cx.request_queue.routing.borrow();
        let chosen = routing.choose(candidates, cx.clock.now(), &mut rand::rng())?;
        Some(candidates[chosen].worker.clone())
    })?;
    let members = cx.members.borrow();
    let address = members.hosts.get(&worker)?.address.clone();
    Some((worker, address))
}
