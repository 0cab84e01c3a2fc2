//! A daemon's request path reduced to its decisions, with baselines to compare with.

use super::{
    bench::{Request, Trial},
    load::Stream,
};
use indexmap::IndexMap;
use lapisdrum::{
    core::{id::WorkerId, time::Millis},
    policy::{
        admission::{self, Admission, AdmissionRequest, Share},
        headroom::Headroom,
        queueing::{EnqueueOutcome, Item, Queue, Ticket},
        retry::{Failure, RetryBudget},
        routing::{Candidate, Routing, SendOutcome},
    },
};
use rand::Rng;
use std::{collections::VecDeque, time::Duration};

/// What a baseline answers to callers that it has no room for.
const FIXED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The order of waiting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// As `policy::queueing` decides.
    Policy,
    /// First in, first out, within the entry's bound.
    FirstIn,
    /// First in, first out, without bound: no admission.
    Unbounded,
}

/// The choice of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// As `policy::routing` decides.
    Policy,
    /// One after another.
    RoundRobin,
}

/// Which decisions a trial is run under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decisions {
    /// The order of waiting requests.
    pub order: Order,
    /// The choice of a worker.
    pub choice: Choice,
}

impl Decisions {
    /// The project's own.
    pub const POLICY: Self = Self {
        order: Order::Policy,
        choice: Choice::Policy,
    };
    /// Own order, workers in turn.
    pub const ROUND_ROBIN: Self = Self {
        order: Order::Policy,
        choice: Choice::RoundRobin,
    };
    /// First in, first out, own choice of workers.
    pub const FIRST_IN: Self = Self {
        order: Order::FirstIn,
        choice: Choice::Policy,
    };
    /// Everything is let in, in order of arrival.
    pub const NO_ADMISSION: Self = Self {
        order: Order::Unbounded,
        choice: Choice::Policy,
    };
    /// All of them, with their names in tables.
    pub const ALL: [(&'static str, Self); 4] = [
        ("policy", Self::POLICY),
        ("round robin", Self::ROUND_ROBIN),
        ("first in first out", Self::FIRST_IN),
        ("no admission", Self::NO_ADMISSION),
    ];
}

/// A final answer to a caller.
#[derive(Clone, Copy, Debug)]
pub enum Given {
    /// The worker's whole answer.
    Done(Request),
    /// Not run; come back after this time.
    Refused(Request, Duration),
    /// Nobody knows.
    Unknown(Request),
}

/// A request that a worker has.
#[derive(Clone, Copy, Debug)]
pub struct Flight {
    /// The request.
    pub request: Request,
    /// The worker's index.
    pub worker: usize,
    sent_at: Millis,
    answered: bool,
}

/// One daemon.
pub struct Daemon {
    decisions: Decisions,
    streams: Vec<Stream>,
    shares: Vec<Share>,
    workers: Vec<WorkerId>,
    slots: u32,
    outstanding: Vec<u32>,
    flights: IndexMap<u64, Flight>,
    next_flight: u64,
    turn: usize,
    line: VecDeque<Request>,
    queue: Queue<Request>,
    admission: Admission,
    headroom: Headroom,
    routing: Routing,
    budgets: Vec<RetryBudget>,
    planned_expiry: Option<Millis>,
}

impl Daemon {
    /// Daemon `index` of a trial.
    pub fn new(trial: &Trial, decisions: Decisions, workers: Vec<WorkerId>, index: u32) -> Self {
        let parts = trial.daemons;
        let share = |stream: &Stream| Share {
            concurrency: admission::split_evenly(stream.concurrency, parts, index),
            rate_per_s: None,
            queue: admission::split_evenly(stream.queue, parts, index),
        };
        Self {
            decisions,
            shares: trial.streams.iter().map(share).collect(),
            streams: trial.streams.clone(),
            slots: admission::split_evenly(trial.slots, parts, index),
            outstanding: vec![0; workers.len()],
            workers,
            flights: IndexMap::new(),
            next_flight: 0,
            turn: 0,
            line: VecDeque::new(),
            queue: Queue::default(),
            admission: Admission::default(),
            headroom: Headroom::default(),
            routing: Routing::default(),
            budgets: vec![RetryBudget::default(); trial.streams.len()],
            planned_expiry: None,
        }
    }

    /// Takes a request; what is given up for it or refused is answered at once.
    pub fn arrive(&mut self, request: Request, now: Millis, rng: &mut impl Rng) -> Vec<Given> {
        let share = self.shares[request.stream];
        match self.decisions.order {
            Order::Policy => {
                let item = self.item(&request, share.queue);
                let enqueued = self.queue.enqueue(item, request, now, rng);
                self.note_demand(request.stream, now);
                match enqueued {
                    EnqueueOutcome::Waiting { displaced, .. } => displaced
                        .map(|gone| Given::Refused(gone.payload, gone.retry_after))
                        .into_iter()
                        .collect(),
                    EnqueueOutcome::Refused(gone) => {
                        vec![Given::Refused(gone.payload, gone.retry_after)]
                    }
                }
            }
            Order::FirstIn if self.line.len() >= share.queue as usize => {
                vec![Given::Refused(request, FIXED_RETRY_AFTER)]
            }
            Order::FirstIn | Order::Unbounded => {
                self.line.push_back(request);
                Vec::new()
            }
        }
    }

    /// Starts the next waiting request, if there is room for one.
    pub fn start_next(&mut self, now: Millis, rng: &mut impl Rng) -> Option<(u64, Flight)> {
        if self.outstanding.iter().all(|n| *n >= self.slots) {
            return None;
        }
        let request = self.take_next(now)?;
        let worker = self.choose(now, rng)?;
        let admission_request =
            admission_request(&self.streams[request.stream], self.shares[request.stream]);
        let started = self.admission.start(&admission_request);
        debug_assert!(started || self.decisions.order != Order::Policy);
        self.note_demand(request.stream, now);
        let entry = &self.streams[request.stream].entry;
        self.routing.note_sent(&self.workers[worker], entry, now);
        self.outstanding[worker] += 1;
        let flight = Flight {
            request,
            worker,
            sent_at: now,
            answered: false,
        };
        let id = self.next_flight;
        self.next_flight += 1;
        self.flights.insert(id, flight);
        Some((id, flight))
    }

    /// Notes whether a flight will be answered.
    pub fn outcome(&mut self, flight: u64, answered: bool) {
        if let Some(flight) = self.flights.get_mut(&flight) {
            flight.answered = answered;
        }
    }

    /// A flight has ended, answered or not.
    pub fn end(&mut self, flight: u64, now: Millis, rng: &mut impl Rng) -> Vec<Given> {
        let Some(flight) = self.flights.swap_remove(&flight) else {
            return Vec::new();
        };
        let request = flight.request;
        self.outstanding[flight.worker] -= 1;
        let stream = &self.streams[request.stream];
        self.admission.finish(&stream.entry, &stream.owner);
        self.note_demand(request.stream, now);
        let stream = &self.streams[request.stream];
        let end = if flight.answered {
            SendOutcome::Answered
        } else {
            SendOutcome::Failed
        };
        let worker = &self.workers[flight.worker];
        let pool = self.workers.len();
        self.routing
            .note_outcome(worker, &stream.entry, flight.sent_at, end, pool, now);
        let idempotent = stream.idempotent;
        let budget = &mut self.budgets[request.stream];
        if flight.answered {
            budget.note_success();
            return vec![Given::Done(request)];
        }
        let in_time = now < request.deadline;
        if !in_time || !budget.try_retry(Failure::Unknown, idempotent) {
            return vec![Given::Unknown(request)];
        }
        // It may have run, so if there is no room for it now the end stays unknown.
        let given = self.arrive(request, now, rng);
        let told = |answer| match answer {
            Given::Refused(gone, _) if gone.sent_us == request.sent_us => Given::Unknown(gone),
            other => other,
        };
        given.into_iter().map(told).collect()
    }

    /// Gives up what can't be finished in time any more.
    pub fn expire(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Given> {
        self.planned_expiry = None;
        let mut given = Vec::new();
        for gone in self.queue.expire(now, rng) {
            self.note_demand(gone.payload.stream, now);
            given.push(Given::Refused(gone.payload, gone.retry_after));
        }
        given
    }

    /// When `expire` is to be called next, if that is not planned yet.
    pub fn next_expiry_to_plan(&mut self) -> Option<Millis> {
        let at = self.queue.next_expiry()?;
        if self.planned_expiry.is_some_and(|planned| planned <= at) {
            return None;
        }
        self.planned_expiry = Some(at);
        Some(at)
    }

    fn take_next(&mut self, now: Millis) -> Option<Request> {
        if self.decisions.order != Order::Policy {
            return self.line.pop_front();
        }
        let (streams, shares, admission) = (&self.streams, &self.shares, &self.admission);
        let (headroom, slots) = (&self.headroom, self.slots * to_u32(self.workers.len()));
        let may_start = |entry: &_, _: &_| {
            let index = streams.iter().position(|stream| stream.entry == *entry);
            index
                .is_some_and(|i| admission.has_capacity(&admission_request(&streams[i], shares[i])))
                && headroom.may_start(entry, slots, now)
        };
        let taken: (Ticket, Item, Request) = self.queue.next(now, may_start)?;
        Some(taken.2)
    }

    fn note_demand(&mut self, stream: usize, now: Millis) {
        let Stream { entry, weight, .. } = &self.streams[stream];
        let running = self.admission.running(entry);
        let waiting = self.queue.waiting_of(entry);
        let run = self.routing.usual_duration(entry).unwrap_or_default();
        self.headroom
            .note(entry, running, waiting, run, *weight, now);
    }

    fn choose(&mut self, now: Millis, rng: &mut impl Rng) -> Option<usize> {
        let count = self.workers.len();
        let open = |i: &usize| self.outstanding[*i] < self.slots;
        if self.decisions.choice == Choice::RoundRobin {
            let found = (0..count).map(|i| (self.turn + i) % count).find(open)?;
            self.turn = found + 1;
            return Some(found);
        }
        let indexes: Vec<usize> = (0..count).filter(open).collect();
        let candidates: Vec<Candidate<'_>> = indexes
            .iter()
            .map(|i| Candidate {
                worker: &self.workers[*i],
                outstanding: self.outstanding[*i],
            })
            .collect();
        let chosen = self.routing.choose(&candidates, now, rng)?;
        Some(indexes[chosen])
    }

    fn item(&self, request: &Request, max_waiting: u32) -> Item {
        let stream = &self.streams[request.stream];
        Item {
            entry: stream.entry.clone(),
            owner: stream.owner.clone(),
            // Callers of two streams of one entry are different callers.
            caller: request.caller * self.streams.len() as u64 + request.stream as u64,
            class: stream.class,
            weight: stream.weight,
            max_waiting,
            expected_run: self
                .routing
                .usual_duration(&stream.entry)
                .unwrap_or_default(),
            deadline: Some(request.deadline),
        }
    }
}

fn to_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

fn admission_request(stream: &Stream, share: Share) -> AdmissionRequest<'_> {
    AdmissionRequest {
        entry: &stream.entry,
        owner: &stream.owner,
        share,
        quota: None,
    }
}
