//! A worker that runs tasks under a lease and a fencing token.
//!
//! The payload of a job is the run time of its tasks in milliseconds; a task with any other payload
//! runs until it is stopped or the lease expires.

use actix_http::StatusCode;
use actix_rt::net::TcpListener;
use indexmap::IndexMap;
use lapisdrum::util::http::{self, BodyFault, HttpRequest, HttpResponse};
use serde_json::{Value, json};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::watch;

/// Largest body accepted, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Longer leases are cut to this length.
const MAX_LEASE: Duration = Duration::from_secs(6);
/// Time from a stop order to the end of the task.
const STOP_DURATION: Duration = Duration::from_millis(100);
/// Maximum number of ended runs in an answer; the first ones are listed.
const MAX_LISTED_ENDS: usize = 500;
/// Interval at which a long poll checks for ended tasks.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug)]
struct Running {
    task: String,
    run: u64,
    started_at: Instant,
    finishes_at: Option<Instant>,
    stops_at: Option<Instant>,
}

impl Running {
    /// Progress in percent; always 100 for a task without a run time.
    fn percent(&self) -> u64 {
        let Some(finishes_at) = self.finishes_at else {
            return 100;
        };
        let (whole, done) = (finishes_at - self.started_at, self.started_at.elapsed());
        (done.as_secs_f64() / whole.as_secs_f64() * 100.0) as u64
    }
}

/// A worker's state.
#[derive(Debug)]
pub struct UsersWorker {
    id: String,
    started_unix_ms: u64,
    created_at: Instant,
    token: Cell<u64>,
    lease_until: Cell<Instant>,
    running: RefCell<Vec<Running>>,
    /// Ended runs not yet acknowledged: sequence number, task, run number and outcome.
    ended: RefCell<Vec<(u64, String, u64, &'static str)>>,
    next_end_number: Cell<u64>,
    acked_upto: Cell<u64>,
    /// By task, the last run that ended or was stopped before it started; starts up to it are refused.
    last_ended_run: RefCell<IndexMap<String, u64>>,
    /// Starts that were carried out, in order: task and run number.
    pub started: RefCell<Vec<(String, u64)>>,
}

impl UsersWorker {
    /// A worker with this id whose incarnation started at this Unix time in milliseconds.
    pub fn new(id: &str, started_unix_ms: u64) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            id: id.to_owned(),
            started_unix_ms,
            created_at: now,
            token: Cell::new(0),
            lease_until: Cell::new(now),
            running: RefCell::default(),
            ended: RefCell::default(),
            next_end_number: Cell::new(1),
            acked_upto: Cell::new(0),
            last_ended_run: RefCell::default(),
            started: RefCell::default(),
        })
    }

    /// The worker's registration row in the store.
    pub fn entry(&self, address: &str, state: &str) -> Value {
        json!({
            "service": "trail", "address": address, "zone": "karen", "version": "v1", "slots": 8,
            "state": state, "coldLeftMs": 0, "capacity": { "cpu": 8000, "memMb": 32000, "gpu": 0 },
            "labels": ["a", "r1-1"], "clockMs": self.clock_ms(), "seq": 1, "born": self.started_unix_ms,
        })
    }

    /// Serves until `stop` turns true.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        http::serve(listener, MAX_BODY_BYTES, stop, move |read| {
            let worker = Rc::clone(&self);
            async move { worker.answer(read).await }
        })
        .await;
    }

    /// Number of running tasks.
    pub fn running(&self) -> usize {
        self.end_due_runs();
        self.running.borrow().len()
    }

    /// Completes all running tasks.
    pub fn complete_all(&self) {
        let now = Instant::now();
        for running in self.running.borrow_mut().iter_mut() {
            running.finishes_at = Some(now);
        }
        self.end_due_runs();
    }

    /// Greatest fencing token seen.
    pub fn token(&self) -> u64 {
        self.token.get()
    }

    /// Greatest number up to which ends were acknowledged.
    pub fn acked_upto(&self) -> u64 {
        self.acked_upto.get()
    }

    fn clock_ms(&self) -> u64 {
        self.created_at.elapsed().as_millis() as u64 + 1_000
    }

    async fn answer(&self, read: Result<HttpRequest, BodyFault>) -> HttpResponse {
        let Ok(req) = read else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        if req
            .header("x-lapisdrum-expected-instance")
            .is_some_and(|id| id != self.id)
        {
            return HttpResponse::empty(StatusCode::MISDIRECTED_REQUEST);
        }
        let Ok(body) = req.json::<Value>() else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        self.end_due_runs();
        let token = body["fencingToken"].as_u64().unwrap_or_default();
        if token < self.token.get() {
            return self.refuse("fence");
        }
        self.token.set(token);
        match req.path.as_str() {
            "/run-start" => self.start(&body),
            "/run-stop" => self.stop(&body),
            "/hold" => self.hold(&body).await,
            "/pace" => self.accept(),
            _ => HttpResponse::empty(StatusCode::NOT_FOUND),
        }
    }

    fn accept(&self) -> HttpResponse {
        HttpResponse::json(StatusCode::OK, &json!({ "clockMs": self.clock_ms() }))
    }

    fn refuse(&self, reason: &str) -> HttpResponse {
        let answer = json!({ "clockMs": self.clock_ms(), "reason": reason });
        HttpResponse::json(StatusCode::CONFLICT, &answer)
    }

    /// Extends the lease to `until_ms` on the worker's clock; returns false when that has passed.
    fn lease(&self, until_ms: u64) -> bool {
        let Some(left) = until_ms.checked_sub(self.clock_ms()) else {
            return false;
        };
        let until = Instant::now() + Duration::from_millis(left).min(MAX_LEASE);
        self.lease_until.set(self.lease_until.get().max(until));
        true
    }

    fn start(&self, body: &Value) -> HttpResponse {
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run"].as_u64()) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        if !self.lease(body["deadlineMs"].as_u64().unwrap_or_default()) {
            return self.refuse("late");
        }
        if self
            .last_ended_run
            .borrow()
            .get(task)
            .is_some_and(|last| run <= *last)
        {
            return self.refuse("old");
        }
        let is_same_run = |r: &Running| r.task == task && r.run == run;
        if self.running.borrow().iter().any(is_same_run) {
            return self.accept();
        }
        let work_ms = body["spec"].as_str().and_then(|spec| spec.parse().ok());
        let finishes_at = work_ms.map(|ms| Instant::now() + Duration::from_millis(ms));
        self.started.borrow_mut().push((task.to_owned(), run));
        self.running.borrow_mut().push(Running {
            task: task.to_owned(),
            run,
            started_at: Instant::now(),
            finishes_at,
            stops_at: None,
        });
        self.accept()
    }

    fn stop(&self, body: &Value) -> HttpResponse {
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run"].as_u64()) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        let mut running = self.running.borrow_mut();
        match running.iter_mut().find(|r| r.task == task && r.run == run) {
            Some(found) => found.stops_at = Some(Instant::now() + STOP_DURATION),
            None => {
                self.last_ended_run
                    .borrow_mut()
                    .insert(task.to_owned(), run);
            }
        }
        self.accept()
    }

    async fn hold(&self, body: &Value) -> HttpResponse {
        if let Some(until) = body["deadlineMs"].as_u64() {
            self.lease(until);
        }
        let acked = body["ackedUpto"].as_u64().unwrap_or_default();
        self.acked_upto.set(acked.max(self.acked_upto.get()));
        self.ended
            .borrow_mut()
            .retain(|(number, ..)| *number > acked);
        let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or_default());
        let polled_at = Instant::now();
        while self.ended.borrow().is_empty() && polled_at.elapsed() < wait {
            tokio::time::sleep(POLL_INTERVAL).await;
            self.end_due_runs();
        }
        let running = self.running.borrow();
        let running: Vec<Value> = running
            .iter()
            .map(|r| json!([r.task, r.run, "", r.percent(), 0]))
            .collect();
        let ended = self.ended.borrow();
        let ended: Vec<Value> = ended
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let answer = json!({
            "clockMs": self.clock_ms(), "born": self.started_unix_ms, "running": running, "ended": ended,
        });
        HttpResponse::json(StatusCode::OK, &answer)
    }

    fn end_due_runs(&self) {
        let (now, lease_until) = (Instant::now(), self.lease_until.get());
        let end = |r: &Running| match r {
            r if r.finishes_at.is_some_and(|at| at <= now.min(lease_until)) => Some("done"),
            r if r.stops_at.is_some_and(|at| at <= now) => Some("stopped"),
            _ if lease_until <= now => Some("lapsed"),
            _ => None,
        };
        let mut running = self.running.borrow_mut();
        for r in running.iter() {
            if let Some(how) = end(r) {
                let number = self.next_end_number.get();
                self.next_end_number.set(number + 1);
                self.last_ended_run
                    .borrow_mut()
                    .insert(r.task.clone(), r.run);
                self.ended
                    .borrow_mut()
                    .push((number, r.task.clone(), r.run, how));
            }
        }
        running.retain(|r| end(r).is_none());
    }
}
