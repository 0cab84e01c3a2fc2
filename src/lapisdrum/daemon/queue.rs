//! Requests that wait for room: the policies' queue, driven by what frees room.
//!
//! A request stands in line until its entry's limits and a worker's floor have room for it; then it
//! is handed a [`Place`], which holds that room until the request is over. The line moves when a
//! place is given back, when floors rise, and when a deadline passes.

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
        admission::Claim,
        queueing::{Enqueued, Item, Queue, Reason, Refused, Ticket},
        retry::RetryBudget,
        routing::{Candidate, End, Routing},
    },
    timeline::event::Happening,
};
use indexmap::IndexMap;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::sync::{Notify, oneshot};

/// Longest time between two looks at the line.
const LONGEST_LOOK: Duration = Duration::from_millis(100);
/// Time between two rounds of forgetting what is idle or gone.
const FORGET_EVERY: Duration = Duration::from_secs(5);

/// The line, and what its policies have learned.
#[derive(Debug, Default)]
pub struct Line {
    queue: RefCell<Queue<Waiting>>,
    routing: RefCell<Routing>,
    retries: RefCell<IndexMap<EntryName, RetryBudget>>,
    moved: Notify,
}

#[derive(Debug)]
struct Waiting {
    entry: Rc<Entry>,
    turn: oneshot::Sender<Turn>,
}

/// How a wait in line ended.
#[derive(Debug)]
enum Turn {
    Start(Place),
    Refused(Refusal),
}

impl Line {
    /// Has the line looked at soon.
    pub fn wake(&self) {
        self.moved.notify_one();
    }

    /// Requests of an entry that wait.
    pub fn waiting_of(&self, entry: &EntryName) -> u32 {
        self.queue.borrow().waiting_of(entry)
    }

    /// When a caller should come back that is refused for want of room.
    pub fn retry_after(&self, now: Millis) -> Duration {
        let mut queue = self.queue.borrow_mut();
        queue.retry_after(now, &mut rand::rng())
    }

    /// Spends a retry of an entry, if it has one left.
    pub fn try_retry(&self, entry: &Entry, failure: crate::policy::retry::Failure) -> bool {
        let mut retries = self.retries.borrow_mut();
        let budget = retries.entry(entry.name.clone()).or_default();
        budget.try_retry(failure, entry.idempotent)
    }

    /// Notes that a worker answered a request of an entry.
    pub fn note_success(&self, entry: &EntryName) {
        let mut retries = self.retries.borrow_mut();
        retries.entry(entry.clone()).or_default().note_success();
    }
}

/// Room for one request: a slot and its size on a worker, and one run of its entry and owner.
///
/// Failure: a request's answer is lost or late. The worker may be running it still, so room that is
/// free again at once would let the host be loaded beyond its size. The worker ends a request at the
/// deadline that came with it, and the place is held until then.
pub struct Place {
    cx: Cx,
    entry: EntryName,
    owner: OwnerName,
    size: Size,
    /// The worker.
    pub worker: WorkerId,
    /// Its address.
    pub address: String,
    sent_at: Millis,
    _in_flight: Rc<()>,
}

impl std::fmt::Debug for Place {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "a place of {} on {}", self.entry, self.worker)
    }
}

impl Place {
    /// Takes room for a request, if there is any.
    pub fn take(cx: &Cx, entry: &Entry) -> Option<Self> {
        let (worker, address) = choose_worker(cx, entry)?;
        let share = shares::of_daemon(cx, entry);
        if !cx.admission.borrow_mut().start(&share) {
            return None;
        }
        cx.floors.borrow_mut().take(&worker, &entry.size);
        let now = cx.clock.now();
        let mut routing = cx.line.routing.borrow_mut();
        routing.sent(&worker, &entry.name, now);
        Some(Self {
            cx: Rc::clone(cx),
            entry: entry.name.clone(),
            owner: entry.owner.clone(),
            size: entry.size,
            worker,
            address,
            sent_at: now,
            _in_flight: Rc::clone(&cx.in_flight),
        })
    }

    /// Tells the policies how the send ended.
    pub fn note_end(&self, end: End) {
        let pool = self.cx.floors.borrow().held.len();
        let now = self.cx.clock.now();
        let mut routing = self.cx.line.routing.borrow_mut();
        if routing.ended(&self.worker, &self.entry, self.sent_at, end, pool, now) {
            log::warn!("worker {} is set aside for requests", self.worker);
            self.cx.timeline.record(Happening::WorkerSetAside {
                worker: self.worker.clone(),
                reason: "slow or failing requests".to_owned(),
            });
        }
    }

    /// Keeps the room taken until a time at which the request is over on its worker.
    pub fn hold_until(self, end: Millis) {
        let wait = end.since(self.cx.clock.now());
        supervisor::spawn("held-place", async move {
            tokio::time::sleep(wait).await;
            drop(self);
        });
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut floors = self.cx.floors.borrow_mut();
        floors.release(&self.worker, &self.size);
        let mut admission = self.cx.admission.borrow_mut();
        admission.finish(&self.entry, &self.owner);
        self.cx.line.wake();
    }
}

/// Waits in line for a place. `gone` completes when the caller has gone away.
pub async fn wait(
    cx: &Cx,
    entry: &Rc<Entry>,
    caller: u64,
    deadline: Millis,
    gone: impl Future<Output = ()>,
) -> Result<Place, Refusal> {
    let (tx, mut rx) = oneshot::channel();
    let ticket = stand_in_line(cx, entry, caller, deadline, tx)?;
    move_on(cx);
    let turn = tokio::select! {
        turn = &mut rx => turn,
        () = gone => {
            cx.line.queue.borrow_mut().remove(ticket, cx.clock.now());
            // A place that was handed over at the same moment is dropped with the channel.
            return Err(busy(Duration::ZERO));
        }
    };
    match turn {
        Ok(Turn::Start(place)) => Ok(place),
        Ok(Turn::Refused(refusal)) => Err(refusal),
        Err(_) => unreachable!("whoever leaves the line is told"),
    }
}

fn busy(retry_after: Duration) -> Refusal {
    Refusal::Busy { retry_after }
}

fn stand_in_line(
    cx: &Cx,
    entry: &Rc<Entry>,
    caller: u64,
    deadline: Millis,
    turn: oneshot::Sender<Turn>,
) -> Result<Ticket, Refusal> {
    let run = cx.line.routing.borrow().usual_run(&entry.name);
    let item = Item {
        entry: entry.name.clone(),
        owner: entry.owner.clone(),
        caller,
        class: entry.class,
        weight: entry.priority,
        bound: shares::of_daemon(cx, entry).share.queue,
        run: run.unwrap_or_default(),
        deadline: Some(deadline),
    };
    let waiting = Waiting {
        entry: Rc::clone(entry),
        turn,
    };
    let now = cx.clock.now();
    let mut queue = cx.line.queue.borrow_mut();
    match queue.enqueue(item, waiting, now, &mut rand::rng()) {
        Enqueued::Waiting { ticket, displaced } => {
            if let Some(displaced) = displaced {
                refuse(displaced);
            }
            Ok(ticket)
        }
        Enqueued::Refused(refused) => Err(busy(refused.retry_after)),
    }
}

fn refuse(refused: Refused<Waiting>) {
    let refusal = match refused.reason {
        Reason::QueueFull | Reason::Overload => busy(refused.retry_after),
        Reason::Deadline => Refusal::TooLate {
            retry_after: refused.retry_after,
        },
    };
    // A caller that has gone away needs no answer.
    let _ = refused.payload.turn.send(Turn::Refused(refusal));
}

/// Starts whatever has room.
fn move_on(cx: &Cx) {
    loop {
        let next = {
            let rooms = RefCell::new(IndexMap::new());
            let may_start = |entry: &EntryName, _: &OwnerName| {
                let mut rooms = rooms.borrow_mut();
                *rooms
                    .entry(entry.clone())
                    .or_insert_with(|| has_room(cx, entry))
            };
            let mut queue = cx.line.queue.borrow_mut();
            queue.next(cx.clock.now(), may_start)
        };
        let Some((_, _, waiting)) = next else {
            return;
        };
        let turn = match Place::take(cx, &waiting.entry) {
            Some(place) => Turn::Start(place),
            None => Turn::Refused(busy(cx.line.retry_after(cx.clock.now()))),
        };
        // A place for a caller that has gone away is given back here, and the line is looked at again.
        let _ = waiting.turn.send(turn);
    }
}

/// Whether a request of an entry would start at once: there is room, and nobody waits for it.
pub fn is_open_to(cx: &Cx, entry: &EntryName) -> bool {
    cx.line.waiting_of(entry) == 0 && has_room(cx, entry)
}

fn has_room(cx: &Cx, entry: &EntryName) -> bool {
    let entry = cx.catalogue.borrow().entry(entry);
    entry.is_some_and(|entry| {
        let share = shares::of_daemon(cx, &entry);
        cx.admission.borrow().has_room(&share)
            && with_candidates(cx, &entry, 1, |candidates| !candidates.is_empty())
    })
}

/// Looks after the line until the process ends.
pub async fn run(cx: Cx) -> eyre::Result<()> {
    let mut forgot_at = cx.clock.now();
    loop {
        let now = cx.clock.now();
        let expired = {
            let mut queue = cx.line.queue.borrow_mut();
            queue.expire(now, &mut rand::rng())
        };
        expired.into_iter().for_each(refuse);
        move_on(&cx);
        if now.since(forgot_at) > FORGET_EVERY {
            forgot_at = now;
            forget(&cx, now);
        }
        let next = cx.line.queue.borrow().next_expiry();
        let look = next.map_or(LONGEST_LOOK, |at| at.since(now).min(LONGEST_LOOK));
        tokio::select! {
            () = tokio::time::sleep(look) => {}
            () = cx.line.moved.notified() => {}
        }
    }
}

fn forget(cx: &Cx, now: Millis) {
    cx.admission.borrow_mut().forget_idle(now);
    let members = cx.members.borrow();
    let mut routing = cx.line.routing.borrow_mut();
    routing.retain(|worker| members.hosts.contains_key(worker));
    let catalogue = cx.catalogue.borrow();
    let mut retries = cx.line.retries.borrow_mut();
    retries.retain(|entry, _| catalogue.rows.contains_key(entry));
}

/// Charges a request to the rates of its entry and owner.
pub fn let_in(cx: &Cx, entry: &Entry) -> Result<(), Refusal> {
    let claim: Claim<'_> = shares::of_daemon(cx, entry);
    let mut admission = cx.admission.borrow_mut();
    let let_in = admission.let_in(&claim, cx.clock.now());
    let_in.map_err(|denied| Refusal::OverLimit {
        entry: entry.name.clone(),
        retry_after: denied.wait(),
    })
}

/// Workers that are looked at for one request once they have room: two are drawn from them, and some
/// may be set aside. Looking at all of five hundred would cost more than the request is worth.
const MOST_CANDIDATES: usize = 16;

/// Hands `then` some workers with room for a request of an entry, beginning anywhere, so that over
/// many requests each worker is as likely as the next.
fn with_candidates<T>(
    cx: &Cx,
    entry: &Entry,
    most: usize,
    then: impl FnOnce(&[Candidate<'_>]) -> T,
) -> T {
    let members = cx.members.borrow();
    let floors = cx.floors.borrow();
    let daemons = to_u32(members.daemons.len()).max(1);
    let has_room = |worker: &WorkerId, used: u32| {
        floors.has_room(worker, &entry.size)
            && members.hosts.get(worker).is_some_and(|host| {
                !host.leaving && used < connection_share(cx, host.connections, daemons)
            })
    };
    let count = floors.held.len();
    let start = rand::random_range(0..count.max(1));
    let round = floors.held.iter().cycle().skip(start).take(count);
    let with_room = round.filter(|(worker, floor)| has_room(worker, floor.used.slots));
    let candidates: Vec<Candidate<'_>> = with_room
        .take(most)
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

/// Connections to one worker for requests: its limit divided over the daemons, less one for
/// commands.
fn connection_share(cx: &Cx, connections: u32, daemons: u32) -> u32 {
    let share = (connections / daemons).saturating_sub(1).max(1);
    share.min(cx.cfg.requests.connections)
}

fn choose_worker(cx: &Cx, entry: &Entry) -> Option<(WorkerId, String)> {
    let worker = with_candidates(cx, entry, MOST_CANDIDATES, |candidates| {
        let routing = cx.line.routing.borrow();
        let chosen = routing.choose(candidates, cx.clock.now(), &mut rand::rng())?;
        Some(candidates[chosen].worker.clone())
    })?;
    let members = cx.members.borrow();
    let address = members.hosts.get(&worker)?.address.clone();
    Some((worker, address))
}
