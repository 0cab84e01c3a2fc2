//! Stand-in for a worker, as PROTOCOL.md describes it: leases, fencing tokens, ends and gangs.
//!
//! A job's `spec` is the run time of its tasks in milliseconds; with another one a task lasts until it
//! is stopped or its lease ends.

use crate::record::Record;
use actix_http::StatusCode;
use lapisdrum::util::http::{self, HttpRequest, HttpResponse};
use serde_json::{Value, json};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{net::TcpListener, sync::watch};

/// `holdMaxMs` of the settings.
const LONGEST_LEASE: Duration = Duration::from_millis(6_000);
/// Time that a stop takes; at most `stopTimeoutMs`.
const STOP_TIME: Duration = Duration::from_millis(100);

struct Running {
    task: String,
    run: u64,
    started_at: Instant,
    finishes_at: Option<Instant>,
    stops_at: Option<Instant>,
}

/// A run as the record keeps it.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub from: f64,
    /// How and when it ended.
    pub end: Option<(&'static str, f64)>,
}

/// All runs of a scenario, in the order of their starts.
pub type Runs = Rc<RefCell<Vec<Run>>>;

/// A worker.
pub struct Worker {
    pub id: String,
    born_ms: u64,
    rack: String,
    millicores: u64,
    created_at: Instant,
    token: Cell<u64>,
    lease_until: Cell<Instant>,
    running: RefCell<Vec<Running>>,
    ended: RefCell<Vec<(u64, String, u64, &'static str)>>,
    ends: Cell<u64>,
    last_ended: RefCell<BTreeMap<String, u64>>,
    runs: Runs,
    record: Rc<Record>,
}

impl Worker {
    pub fn new(id: &str, rack: &str, millicores: u64, runs: &Runs, record: &Rc<Record>) -> Rc<Self> {
        let now = Instant::now();
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Rc::new(Self {
            id: id.to_owned(),
            born_ms: unix.map_or(0, |since| since.as_millis() as u64),
            rack: rack.to_owned(),
            millicores,
            created_at: now,
            token: Cell::new(0),
            lease_until: Cell::new(now),
            running: RefCell::default(),
            ended: RefCell::default(),
            ends: Cell::new(0),
            last_ended: RefCell::default(),
            runs: Rc::clone(runs),
            record: Rc::clone(record),
        })
    }

    /// Its entry under `servers/ID`.
    pub fn entry(&self, address: &str, seq: u64) -> Value {
        json!({
            "service": "trail", "address": address, "zone": "karen", "version": "v1", "slots": 8,
            "state": "ready", "coldLeftMs": 0, "capacity": { "cpu": self.millicores, "memMb": 128_000, "gpu": 0 },
            "labels": ["a", self.rack], "clockMs": self.clock_ms(), "seq": seq, "born": self.born_ms,
        })
    }

    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        http::serve(listener, 1024 * 1024, stop, move |read| {
            let worker = Rc::clone(&self);
            async move {
                match read {
                    Ok(req) => worker.answer(req).await,
                    Err(_) => HttpResponse::empty(StatusCode::BAD_REQUEST),
                }
            }
        })
        .await;
    }

    fn clock_ms(&self) -> u64 {
        self.created_at.elapsed().as_millis() as u64 + 1_000
    }

    async fn answer(&self, req: HttpRequest) -> HttpResponse {
        let named = req.header("x-lapisdrum-expected-instance");
        if named.is_some_and(|id| id != self.id) {
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
        HttpResponse::json(StatusCode::OK, &json!({ "clockMs": self.clock_ms(), "born": self.born_ms }))
    }

    fn refuse(&self, reason: &str) -> HttpResponse {
        let answer = json!({ "clockMs": self.clock_ms(), "reason": reason, "born": self.born_ms });
        HttpResponse::json(StatusCode::CONFLICT, &answer)
    }

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
        if self.last_ended.borrow().get(task).is_some_and(|last| run <= *last) {
            return self.refuse("old");
        }
        if self.running.borrow().iter().any(|r| r.task == task && r.run == run) {
            return self.accept();
        }
        let now = Instant::now();
        let work = body["spec"].as_str().and_then(|spec| spec.parse().ok());
        self.record.note(&format!("{}: starts {task} run {run}", self.id));
        self.runs.borrow_mut().push(Run {
            task: task.to_owned(),
            run,
            worker: self.id.clone(),
            from: self.record.now(),
            end: None,
        });
        self.running.borrow_mut().push(Running {
            task: task.to_owned(),
            run,
            started_at: now,
            finishes_at: work.map(|ms| now + Duration::from_millis(ms)),
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
            Some(found) => found.stops_at = found.stops_at.or(Some(Instant::now() + STOP_TIME)),
            None => {
                let mut last = self.last_ended.borrow_mut();
                let last = last.entry(task.to_owned()).or_default();
                *last = run.max(*last);
            }
        }
        self.accept()
    }

    async fn hold(&self, body: &Value) -> HttpResponse {
        if let Some(until) = body["deadlineMs"].as_u64() {
            self.lease(until);
        }
        let acked = body["ackedUpto"].as_u64().unwrap_or_default();
        self.ended.borrow_mut().retain(|(number, ..)| *number > acked);
        let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or_default().min(2_000));
        let asked_at = Instant::now();
        while self.ended.borrow().is_empty() && asked_at.elapsed() < wait {
            tokio::time::sleep(Duration::from_millis(5)).await;
            self.end_due_runs();
        }
        let running: Vec<Value> = self
            .running
            .borrow()
            .iter()
            .map(|r| json!([r.task, r.run, "", r.percent(), 0]))
            .collect();
        let ended = self.ended.borrow();
        let ended: Vec<Value> = ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let answer = json!({ "clockMs": self.clock_ms(), "born": self.born_ms, "running": running, "ended": ended });
        HttpResponse::json(StatusCode::OK, &answer)
    }

    /// Ends the runs that are finished, stopped or without a lease.
    pub fn end_due_runs(&self) {
        let (now, lease_until) = (Instant::now(), self.lease_until.get());
        let how = |r: &Running| match r {
            r if r.finishes_at.is_some_and(|at| at <= now.min(lease_until)) => Some("done"),
            r if r.stops_at.is_some_and(|at| at <= now) => Some("stopped"),
            _ if lease_until <= now => Some("lapsed"),
            _ => None,
        };
        let mut running = self.running.borrow_mut();
        for r in running.iter() {
            if let Some(how) = how(r) {
                self.ends.set(self.ends.get() + 1);
                self.last_ended.borrow_mut().insert(r.task.clone(), r.run);
                self.ended.borrow_mut().push((self.ends.get(), r.task.clone(), r.run, how));
                self.record.note(&format!("{}: {} run {} ends {how}", self.id, r.task, r.run));
                let mut runs = self.runs.borrow_mut();
                let found = runs.iter_mut().rev().find(|x| x.task == r.task && x.run == r.run && x.worker == self.id);
                if let Some(found) = found {
                    found.end = Some((how, self.record.now()));
                }
            }
        }
        running.retain(|r| how(r).is_none());
    }
}

impl Running {
    fn percent(&self) -> u64 {
        let Some(finishes_at) = self.finishes_at else {
            return 100;
        };
        let whole = (finishes_at - self.started_at).as_secs_f64().max(0.001);
        (self.started_at.elapsed().as_secs_f64() / whole * 100.0).min(100.0) as u64
    }
}
