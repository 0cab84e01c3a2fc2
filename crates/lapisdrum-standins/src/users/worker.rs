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
const BODY_BYTES: usize = 64 * 1024;
/// Longer leases are cut to this length.
const LONGEST_LEASE: Duration = Duration::from_secs(6);
/// Time from a stop order to the end of the task.
const STOP: Duration = Duration::from_millis(100);
/// Interval at which a long poll checks for ended tasks.
const WAIT_STEP: Duration = Duration::from_millis(5);

#[derive(Debug)]
struct Running {
    task: String,
    run: u64,
    began_at: Instant,
    done_at: Option<Instant>,
    stop_at: Option<Instant>,
}

impl Running {
    /// Progress in percent; always 100 for a task without a run time.
    fn percent(&self) -> u64 {
        let Some(done_at) = self.done_at else {
            return 100;
        };
        let (whole, done) = (done_at - self.began_at, self.began_at.elapsed());
        (done.as_secs_f64() / whole.as_secs_f64() * 100.0) as u64
    }
}

/// A worker's state.
#[derive(Debug)]
pub struct UsersWorker {
    id: String,
    born: u64,
    began: Instant,
    token: Cell<u64>,
    lease_until: Cell<Instant>,
    running: RefCell<Vec<Running>>,
    /// Ended runs not yet acknowledged: sequence number, task, run number and outcome.
    ended: RefCell<Vec<(u64, String, u64, &'static str)>>,
    next_end: Cell<u64>,
    /// By task, the last run that ended or was stopped before it started; starts up to it are refused.
    over: RefCell<IndexMap<String, u64>>,
    /// Starts that were carried out, in order: task and run number.
    pub started: RefCell<Vec<(String, u64)>>,
}

impl UsersWorker {
    /// A worker with this id whose incarnation started at this Unix time in milliseconds.
    pub fn new(id: &str, born: u64) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            id: id.to_owned(),
            born,
            began: now,
            token: Cell::new(0),
            lease_until: Cell::new(now),
            running: RefCell::default(),
            ended: RefCell::default(),
            next_end: Cell::new(1),
            over: RefCell::default(),
            started: RefCell::default(),
        })
    }

    /// The worker's registration row in the store.
    pub fn entry(&self, address: &str, state: &str) -> Value {
        json!({
            "service": "trail", "address": address, "zone": "karen", "version": "v1", "slots": 8,
            "state": state, "coldLeftMs": 0, "capacity": { "cpu": 8000, "memMb": 32000, "gpu": 0 },
            "labels": ["a", "r1-1"], "clockMs": self.clock_ms(), "seq": 1, "born": self.born,
        })
    }

    /// Serves until `stop` turns true.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        http::serve(listener, BODY_BYTES, stop, move |read| {
            let worker = Rc::clone(&self);
            async move { worker.answer(read).await }
        })
        .await;
    }

    /// Number of running tasks.
    pub fn running(&self) -> usize {
        self.settle();
        self.running.borrow().len()
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1_000
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
        self.settle();
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
        let until = Instant::now() + Duration::from_millis(left).min(LONGEST_LEASE);
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
            .over
            .borrow()
            .get(task)
            .is_some_and(|last| run <= *last)
        {
            return self.refuse("old");
        }
        let is_there = |r: &Running| r.task == task && r.run == run;
        if self.running.borrow().iter().any(is_there) {
            return self.accept();
        }
        let work_ms = body["spec"].as_str().and_then(|spec| spec.parse().ok());
        let done_at = work_ms.map(|ms| Instant::now() + Duration::from_millis(ms));
        self.started.borrow_mut().push((task.to_owned(), run));
        self.running.borrow_mut().push(Running {
            task: task.to_owned(),
            run,
            began_at: Instant::now(),
            done_at,
            stop_at: None,
        });
        self.accept()
    }

    fn stop(&self, body: &Value) -> HttpResponse {
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run"].as_u64()) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        let mut running = self.running.borrow_mut();
        match running.iter_mut().find(|r| r.task == task && r.run == run) {
            Some(found) => found.stop_at = Some(Instant::now() + STOP),
            None => {
                self.over.borrow_mut().insert(task.to_owned(), run);
            }
        }
        self.accept()
    }

    async fn hold(&self, body: &Value) -> HttpResponse {
        if let Some(until) = body["deadlineMs"].as_u64() {
            self.lease(until);
        }
        let acked = body["ackedUpto"].as_u64().unwrap_or_default();
        self.ended
            .borrow_mut()
            .retain(|(number, ..)| *number > acked);
        let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or_default());
        let began = Instant::now();
        while self.ended.borrow().is_empty() && began.elapsed() < wait {
            tokio::time::sleep(WAIT_STEP).await;
            self.settle();
        }
        let running = self.running.borrow();
        let running: Vec<Value> = running
            .iter()
            .map(|r| json!([r.task, r.run, "", r.percent(), 0]))
            .collect();
        let ended = self.ended.borrow();
        let ended: Vec<Value> = ended
            .iter()
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let answer = json!({
            "clockMs": self.clock_ms(), "born": self.born, "running": running, "ended": ended,
        });
        HttpResponse::json(StatusCode::OK, &answer)
    }

    fn settle(&self) {
        let (now, lease_until) = (Instant::now(), self.lease_until.get());
        let end = |r: &Running| match r {
            r if r.done_at.is_some_and(|at| at <= now.min(lease_until)) => Some("done"),
            r if r.stop_at.is_some_and(|at| at <= now) => Some("stopped"),
            _ if lease_until <= now => Some("lapsed"),
            _ => None,
        };
        let mut running = self.running.borrow_mut();
        for r in running.iter() {
            if let Some(how) = end(r) {
                let number = self.next_end.get();
                self.next_end.set(number + 1);
                self.over.borrow_mut().insert(r.task.clone(), r.run);
                self.ended
                    .borrow_mut()
                    .push((number, r.task.clone(), r.run, how));
            }
        }
        running.retain(|r| end(r).is_none());
    }
}
