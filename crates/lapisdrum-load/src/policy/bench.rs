//! A deterministic discrete-event simulation of the request path: callers, the policy modules driven
//! as in a daemon, and workers reduced to their run times.
//!
//! It compares decisions by what callers receive and does not model a cluster: the network is a fixed
//! delay to callers, there is no platform, and daemons do not fail. All random values come from one seed.

use super::{
    daemon::{Answer, Daemon, Decisions},
    load::{RetryBehaviour, Stream, WorkerKind, valid},
};
use hdrhistogram::Histogram;
use lapisdrum::core::{id::WorkerId, time::Millis};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{cmp::Ordering, collections::BinaryHeap, time::Duration};

/// Time after which a failing worker reports the failure, in microseconds.
const FAIL_AFTER_US: u64 = 500;

/// Inputs of one trial.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Workers of one data centre.
    pub workers: Vec<WorkerKind>,
    /// Request slots per worker.
    pub slots: u32,
    /// Daemons that share the workers; the slots of each worker are split evenly between them.
    pub daemons: u32,
    /// One-way delay between callers and daemons.
    pub client_delay: Duration,
    /// Requests that callers send, by kind.
    pub streams: Vec<Stream>,
    /// Length of the trial in virtual time.
    pub length: Duration,
    /// Time at the start whose requests are not counted.
    pub warm_up: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Answers that the callers of one stream received, for requests sent after the warm-up.
#[derive(Clone, Debug)]
pub struct Received {
    /// Requests sent, retries by callers included.
    pub sent: u64,
    /// Complete answers within the deadline.
    pub done: u64,
    /// Complete answers after the deadline.
    pub late: u64,
    /// Requests refused without being run.
    pub refused: u64,
    /// Requests that may or may not have run.
    pub unknown: u64,
    /// Requests sent to workers, retries by the daemon included.
    pub sends: u64,
    /// Time from sending to a complete answer within the deadline, in microseconds.
    pub latency: Histogram<u64>,
    /// Time from sending to the refusal, in microseconds.
    pub refusal: Histogram<u64>,
    /// Length of the trial without the warm-up.
    pub counted: Duration,
}

impl Received {
    fn new(counted: Duration) -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, 3_600_000_000, 3)
                .unwrap_or_else(|e| unreachable!("fixed bounds are valid: {e}"))
        };
        Self {
            sent: 0,
            done: 0,
            late: 0,
            refused: 0,
            unknown: 0,
            sends: 0,
            latency: histogram(),
            refusal: histogram(),
            counted,
        }
    }

    /// Complete answers within the deadline, per second.
    pub fn goodput(&self) -> f64 {
        self.done as f64 / self.counted.as_secs_f64()
    }

    /// A quantile of `latency`, in milliseconds; `quantile` is between 0 and 1.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// A request that a caller has sent.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Index of its stream in the trial.
    pub stream: usize,
    /// Number of its caller within the stream.
    pub caller: u64,
    /// When the caller sent it, in microseconds of virtual time.
    pub sent_us: u64,
    /// Deadline at the daemon.
    pub deadline: Millis,
    /// How often the caller has retried it after a refusal.
    pub retries: u32,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Send(usize),
    Arrive(Request),
    End { daemon: usize, flight: u64 },
    Expire { daemon: usize },
}

/// Runs a trial under the given decisions and returns one result per stream.
pub fn run(trial: &Trial, decisions: Decisions) -> Vec<Received> {
    let mut bench = Bench::new(trial, decisions);
    for stream in 0..trial.streams.len() {
        bench.schedule_send(stream);
    }
    let end = trial.length.as_micros() as u64;
    while let Some(ScheduledEvent { at, event, .. }) = bench.heap.pop() {
        if at > end {
            break;
        }
        bench.now_us = at;
        bench.handle(event);
    }
    bench.received
}

/// A scheduled event. The earliest compares greatest; at equal times, the one scheduled first.
#[derive(Clone, Copy, Debug)]
struct ScheduledEvent {
    at: u64,
    number: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

struct Bench<'a> {
    trial: &'a Trial,
    daemons: Vec<Daemon>,
    received: Vec<Received>,
    heap: BinaryHeap<ScheduledEvent>,
    scheduled_count: u64,
    now_us: u64,
    rng: StdRng,
}

impl<'a> Bench<'a> {
    fn new(trial: &'a Trial, decisions: Decisions) -> Self {
        let workers: Vec<WorkerId> = (0..trial.workers.len())
            .map(|i| valid(WorkerId::try_from(format!("w{i}"))))
            .collect();
        let daemon = |index| Daemon::new(trial, decisions, workers.clone(), index);
        let counted = trial.length - trial.warm_up;
        Self {
            trial,
            daemons: (0..trial.daemons).map(daemon).collect(),
            received: trial
                .streams
                .iter()
                .map(|_| Received::new(counted))
                .collect(),
            heap: BinaryHeap::new(),
            scheduled_count: 0,
            now_us: 0,
            rng: StdRng::seed_from_u64(trial.seed),
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        let number = self.scheduled_count;
        self.scheduled_count += 1;
        self.heap.push(ScheduledEvent { at, number, event });
    }

    fn now(&self) -> Millis {
        Millis(self.now_us / 1_000)
    }

    /// Plans a stream's next request: a Poisson process, thinned where the rate is lower.
    fn schedule_send(&mut self, stream: usize) {
        let rate = self.trial.streams[stream].rate;
        let now = Duration::from_micros(self.now_us);
        let per_second = rate.at(now);
        // At rate zero, check the rate again after 10 ms.
        let gap = match per_second > 0.0 {
            true => -self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / per_second,
            false => 0.01,
        };
        let at = self.now_us + (gap * 1e6).min(1e9) as u64;
        self.schedule(at, Event::Send(stream));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send(stream) => {
                self.schedule_send(stream);
                let kind = &self.trial.streams[stream];
                if kind.rate.at(Duration::from_micros(self.now_us)) > 0.0 {
                    let caller = self.rng.random_range(0..kind.callers);
                    self.send(stream, caller, 0);
                }
            }
            Event::Arrive(request) => self.arrive(request),
            Event::End { daemon, flight } => self.end(daemon, flight),
            Event::Expire { daemon } => self.expire(daemon),
        }
    }

    fn send(&mut self, stream: usize, caller: u64, retries: u32) {
        let delay = self.trial.client_delay;
        let arrives = self.now_us + delay.as_micros() as u64;
        let request = Request {
            stream,
            caller,
            sent_us: self.now_us,
            deadline: Millis(arrives / 1_000) + self.trial.streams[stream].deadline,
            retries,
        };
        if self.is_counted(&request) {
            self.received[stream].sent += 1;
        }
        self.schedule(arrives, Event::Arrive(request));
    }

    fn arrive(&mut self, request: Request) {
        let daemon = self.rng.random_range(0..self.daemons.len());
        let now = self.now();
        let answers = self.daemons[daemon].arrive(request, now, &mut self.rng);
        self.deliver(answers);
        self.start_waiting(daemon);
    }

    fn end(&mut self, daemon: usize, flight: u64) {
        let now = self.now();
        let answers = self.daemons[daemon].end(flight, now, &mut self.rng);
        self.deliver(answers);
        self.start_waiting(daemon);
    }

    fn expire(&mut self, daemon: usize) {
        let now = self.now();
        let answers = self.daemons[daemon].expire(now, &mut self.rng);
        self.deliver(answers);
        self.start_waiting(daemon);
    }

    /// Starts waiting requests while there is free capacity, and schedules their ends and the next expiry.
    fn start_waiting(&mut self, daemon: usize) {
        let now = self.now();
        while let Some((id, flight)) = self.daemons[daemon].start_next(now, &mut self.rng) {
            let stream = flight.request.stream;
            if self.is_counted(&flight.request) {
                self.received[stream].sends += 1;
            }
            let run = self.trial.streams[stream].run.draw(&mut self.rng);
            let (took, ok) = duration_and_outcome(self.trial.workers[flight.worker], run);
            let left = flight.request.deadline.since(now).as_micros() as u64;
            self.daemons[daemon].outcome(id, ok && took <= left);
            let at = self.now_us + took.min(left);
            self.schedule(at, Event::End { daemon, flight: id });
        }
        if let Some(at) = self.daemons[daemon].next_expiry_to_schedule() {
            let at = (at.0 * 1_000).max(self.now_us);
            self.schedule(at, Event::Expire { daemon });
        }
    }

    /// Delivers answers to callers, which may retry after a refusal.
    fn deliver(&mut self, answers: Vec<Answer>) {
        for answer in answers {
            let (Answer::Done(request) | Answer::Unknown(request) | Answer::Refused(request, _)) =
                answer;
            let back_us = self.trial.client_delay.as_micros() as u64;
            let took = self.now_us + back_us - request.sent_us;
            if self.is_counted(&request) {
                self.count(&answer, &request, took);
            }
            if let Answer::Refused(request, retry_after) = answer {
                self.schedule_retry(request, retry_after);
            }
        }
    }

    fn count(&mut self, answer: &Answer, request: &Request, took: u64) {
        let deadline = self.trial.streams[request.stream].deadline;
        let due = (deadline + self.trial.client_delay * 2).as_micros() as u64;
        let received = &mut self.received[request.stream];
        match answer {
            Answer::Done(_) if took <= due + 1_000 => {
                received.done += 1;
                received.latency.saturating_record(took);
            }
            Answer::Done(_) => received.late += 1,
            Answer::Unknown(_) => received.unknown += 1,
            Answer::Refused(..) => {
                received.refused += 1;
                received.refusal.saturating_record(took);
            }
        }
    }

    fn schedule_retry(&mut self, request: Request, retry_after: Duration) {
        let wait = match self.trial.streams[request.stream].retry_behaviour {
            RetryBehaviour::RetryAfter(most) if request.retries < most => retry_after,
            RetryBehaviour::FixedDelay(wait, most) if request.retries < most => wait,
            _ => return,
        };
        // The wait starts when the refusal reaches the caller; the retry takes one more client delay.
        let sent = self.now_us + (self.trial.client_delay * 2 + wait).as_micros() as u64;
        let again = Request {
            sent_us: sent - self.trial.client_delay.as_micros() as u64,
            deadline: Millis(sent / 1_000) + self.trial.streams[request.stream].deadline,
            retries: request.retries + 1,
            ..request
        };
        if self.is_counted(&again) {
            self.received[request.stream].sent += 1;
        }
        self.schedule(sent, Event::Arrive(again));
    }

    fn is_counted(&self, request: &Request) -> bool {
        request.sent_us >= self.trial.warm_up.as_micros() as u64
    }
}

/// How long a request occupies the worker, in microseconds, and whether the worker answers it.
fn duration_and_outcome(kind: WorkerKind, run: u64) -> (u64, bool) {
    match kind {
        WorkerKind::Healthy => (run, true),
        WorkerKind::Slow(times) => ((run as f64 * times) as u64, true),
        WorkerKind::Hanging => (u64::MAX, false),
        WorkerKind::Failing => (FAIL_AFTER_US, false),
    }
}
