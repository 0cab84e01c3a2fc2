//! A daemon's request path reduced to its decisions, with baselines for comparison.

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

/// Retry-After of refusals by the baselines.
const FIXED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How waiting requests are admitted and ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// As `policy::queueing` decides.
    Policy,
    /// First in, first out; refused when as many wait as the entry allows.
    FirstIn,
    /// First in, first out, without a limit on waiting requests.
    Unbounded,
}

/// How a worker is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerChoice {
    /// As `policy::routing` decides.
    Policy,
    /// The next worker in turn that has a free slot.
    RoundRobin,
}

/// Decisions under which a trial runs: the policy's or those of a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decisions {
    /// How waiting requests are admitted and ordered.
    pub order: Order,
    /// How a worker is chosen.
    pub choice: WorkerChoice,
}

impl Decisions {
    /// The scheduler's own policy.
    pub const POLICY: Self = Self {
        order: Order::Policy,
        choice: WorkerChoice::Policy,
    };
    /// The policy's order, with workers in turn.
    pub const ROUND_ROBIN: Self = Self {
        order: Order::Policy,
        choice: WorkerChoice::RoundRobin,
    };
    /// First in, first out, with the policy's choice of workers.
    pub const FIRST_IN: Self = Self {
        order: Order::FirstIn,
        choice: WorkerChoice::Policy,
    };
    /// All requests are admitted, in order of arrival, with the policy's choice of workers.
    pub const NO_ADMISSION: Self = Self {
        order: Order::Unbounded,
        choice: WorkerChoice::Policy,
    };
    /// All combinations under test, with their names in tables.
    pub const ALL: [(&'static str, Self); 4] = [
        ("policy", Self::POLICY),
        ("round robin", Self::ROUND_ROBIN),
        ("first in first out", Self::FIRST_IN),
        ("no admission", Self::NO_ADMISSION),
    ];
}

/// A final answer to a caller.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    /// The worker's complete answer.
    Done(Request),
    /// Refused without being run; the caller may retry after this time.
    Refused(Request, Duration),
    /// The request may or may not have run.
    Unknown(Request),
}

/// A request in flight to a worker.
#[derive(Clone, Copy, Debug)]
pub struct Flight {
    /// The request.
    pub request: Request,
    /// Index of the worker in the trial.
    pub worker: usize,
    sent_at: Millis,
    answered: bool,
}

/// The simulated request path of one daemon.
pub struct Daemon {
    decisions: Decisions,
    streams: Vec<Stream>,
    shares: Vec<Share>,
    workers: Vec<WorkerId>,
    slots: u32,
    outstanding: Vec<u32>,
    flights: IndexMap<u64, Flight>,
    next_flight: u64,
    next_worker: usize,
    fifo: VecDeque<Request>,
    queue: Queue<Request>,
    admission: Admission,
    headroom: Headroom,
    routing: Routing,
    budgets: Vec<RetryBudget>,
    scheduled_expiry: Option<Millis>,
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
            next_worker: 0,
            fifo: VecDeque::new(),
            queue: Queue::default(),
            admission: Admission::default(),
            headroom: Headroom::default(),
            routing: Routing::default(),
            budgets: vec![RetryBudget::default(); trial.streams.len()],
            scheduled_expiry: None,
        }
    }

    /// Enqueues a request. Returns the refusal of this request or of the one that it displaced, if any.
    pub fn arrive(&mut self, request: Request, now: Millis, rng: &mut impl Rng) -> Vec<Answer> {
        let share = self.shares[request.stream];
        match self.decisions.order {
            Order::Policy => {
                let item = self.item(&request, share.queue);
                let enqueued = self.queue.enqueue(item, request, now, rng);
                self.note_demand(request.stream, now);
                match enqueued {
                    EnqueueOutcome::Waiting { displaced, .. } => displaced
                        .map(|gone| Answer::Refused(gone.payload, gone.retry_after))
                        .into_iter()
                        .collect(),
                    EnqueueOutcome::Refused(gone) => {
                        vec![Answer::Refused(gone.payload, gone.retry_after)]
                    }
                }
            }
            Order::FirstIn if self.fifo.len() >= share.queue as usize => {
                vec![Answer::Refused(request, FIXED_RETRY_AFTER)]
            }
            Order::FirstIn | Order::Unbounded => {
                self.fifo.push_back(request);
                Vec::new()
            }
        }
    }

    /// Starts the next waiting request, if one may start and a worker has a free slot.
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

    /// Sets whether a request in flight will be answered.
    pub fn outcome(&mut self, flight: u64, answered: bool) {
        if let Some(flight) = self.flights.get_mut(&flight) {
            flight.answered = answered;
        }
    }

    /// Ends a request in flight. Returns the answer to its caller, or enqueues the request for a retry.
    pub fn end(&mut self, flight: u64, now: Millis, rng: &mut impl Rng) -> Vec<Answer> {
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
            return vec![Answer::Done(request)];
        }
        let in_time = now < request.deadline;
        if !in_time || !budget.try_retry(Failure::Unknown, idempotent) {
            return vec![Answer::Unknown(request)];
        }
        // It may have run already, so a refusal of the retry reaches the caller as an unknown outcome.
        let answers = self.arrive(request, now, rng);
        let as_unknown = |answer| match answer {
            Answer::Refused(gone, _) if gone.sent_us == request.sent_us => Answer::Unknown(gone),
            other => other,
        };
        answers.into_iter().map(as_unknown).collect()
    }

    /// Refuses the waiting requests that can no longer finish before their deadline.
    pub fn expire(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Answer> {
        self.scheduled_expiry = None;
        let mut answers = Vec::new();
        for gone in self.queue.expire(now, rng) {
            self.note_demand(gone.payload.stream, now);
            answers.push(Answer::Refused(gone.payload, gone.retry_after));
        }
        answers
    }

    /// When to call `expire` next; `None` if a call is already scheduled by then.
    pub fn next_expiry_to_schedule(&mut self) -> Option<Millis> {
        let at = self.queue.next_expiry()?;
        if self
            .scheduled_expiry
            .is_some_and(|scheduled| scheduled <= at)
        {
            return None;
        }
        self.scheduled_expiry = Some(at);
        Some(at)
    }

    fn take_next(&mut self, now: Millis) -> Option<Request> {
        if self.decisions.order != Order::Policy {
            return self.fifo.pop_front();
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
        if self.decisions.choice == WorkerChoice::RoundRobin {
            let found = (0..count)
                .map(|i| (self.next_worker + i) % count)
                .find(open)?;
            self.next_worker = found + 1;
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
            // Callers are distinct across streams, also where streams share an entry.
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
