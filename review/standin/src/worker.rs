//! Stand-in for a worker, as PROTOCOL.md describes it: leases, fencing tokens, ends and gangs.
//!
//! A job's `spec` is the run time of its tasks in milliseconds; with another one a task lasts until it
//! is stopped or its lease ends.

use crate::record::Record;
use serde_json::{Value, json};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

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
    /// When `ackedUpto` reached its end.
    pub acked: Option<f64>,
    /// Whether the worker's lease lapsed between its end and that.
    pub has_lapsed: bool,
}

/// All runs of a scenario, in the order of their starts.
pub type Runs = Rc<RefCell<Vec<Run>>>;

/// Status and body of an answer.
type Answer = (u16, Value);

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// A worker.
pub struct Worker {
    pub id: String,
    born_ms: Cell<u64>,
    rack: String,
    millicores: u64,
    created_at: Cell<Instant>,
    /// Whether it is down between two lives.
    pub is_down: Cell<bool>,
    /// Whether it is cut off: nothing reaches it and it reaches nobody, and it runs on.
    pub is_cut: Cell<bool>,
    /// Changes with each crash, which ends all channels.
    life: watch::Sender<u64>,
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
        Rc::new(Self {
            id: id.to_owned(),
            born_ms: Cell::new(unix_ms()),
            rack: rack.to_owned(),
            millicores,
            created_at: Cell::new(now),
            is_down: Cell::new(false),
            is_cut: Cell::new(false),
            life: watch::Sender::new(0),
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
            "labels": ["a", self.rack], "clockMs": self.clock_ms(), "seq": seq, "born": self.born_ms.get(),
        })
    }

    /// Crashes: everything that runs here ends, and all channels with it.
    pub fn crash(&self) {
        self.record.say(&format!("{}: crashes", self.id));
        self.is_down.set(true);
        self.running.borrow_mut().clear();
        let mut runs = self.runs.borrow_mut();
        for run in runs.iter_mut().filter(|run| run.worker == self.id && run.end.is_none()) {
            run.end = Some(("crashed", self.record.now()));
        }
        if !self.is_cut.get() {
            self.life.send_modify(|life| *life += 1);
        }
    }

    /// Crashes and is silent from then on: channels to it hang.
    pub fn crash_dark(&self) {
        self.is_cut.set(true);
        self.crash();
    }

    /// Starts again under the same id; it knows nothing of before. Its time of day is ahead by this
    /// much.
    pub fn boot(&self, ahead_ms: u64) {
        let now = Instant::now();
        self.born_ms.set(unix_ms() + ahead_ms);
        self.created_at.set(now);
        self.token.set(0);
        self.lease_until.set(now);
        self.ended.borrow_mut().clear();
        self.ends.set(0);
        self.last_ended.borrow_mut().clear();
        self.is_down.set(false);
        self.record.say(&format!("{}: starts again, born {}, its time of day is {ahead_ms} ms ahead", self.id, self.born_ms.get()));
    }

    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            if self.is_down.get() && !self.is_cut.get() {
                continue;
            }
            let _ = stream.set_nodelay(true);
            let worker = Rc::clone(&self);
            actix_rt::spawn(async move {
                let mut life = worker.life.subscribe();
                // A crash drops the channel.
                tokio::select! {
                    _ = worker.serve_channel(stream) => {}
                    _ = life.changed() => {}
                }
            });
        }
    }

    async fn serve_channel(&self, mut stream: TcpStream) -> Option<()> {
        let mut raw: Vec<u8> = Vec::new();
        loop {
            let head_end = loop {
                if let Some(at) = raw.windows(4).position(|four| four == b"\r\n\r\n") {
                    break at + 4;
                }
                if stream.read_buf(&mut raw).await.ok()? == 0 {
                    return None;
                }
            };
            let head = String::from_utf8_lossy(&raw[..head_end]).into_owned();
            let header = |name: &str| {
                let mut lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
                let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
                found.map(|(_, value)| value.trim().to_owned())
            };
            let size: usize = header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
            while raw.len() < head_end + size {
                if stream.read_buf(&mut raw).await.ok()? == 0 {
                    return None;
                }
            }
            let body: Value = serde_json::from_slice(&raw[head_end..head_end + size]).unwrap_or(Value::Null);
            raw.drain(..head_end + size);
            if self.is_cut.get() {
                std::future::pending::<()>().await;
            }
            let path = head.split_whitespace().nth(1)?.to_owned();
            let (status, answer) = self.answer(&path, header("x-lapisdrum-expected-instance").as_deref(), &body).await;
            if self.is_cut.get() {
                std::future::pending::<()>().await;
            }
            let answer = answer.to_string();
            let response = format!("HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}", answer.len());
            stream.write_all(response.as_bytes()).await.ok()?;
        }
    }

    fn clock_ms(&self) -> u64 {
        self.created_at.get().elapsed().as_millis() as u64 + 1_000
    }

    async fn answer(&self, path: &str, named: Option<&str>, body: &Value) -> Answer {
        if named.is_some_and(|id| id != self.id) {
            return (421, json!({}));
        }
        self.end_due_runs();
        let token = body["fencingToken"].as_u64().unwrap_or_default();
        if token < self.token.get() {
            return self.refuse("fence");
        }
        self.token.set(token);
        match path {
            "/run-start" => self.start(body),
            "/run-stop" => self.stop(body),
            "/hold" => self.hold(body).await,
            "/pace" => self.accept(),
            _ => (404, json!({})),
        }
    }

    fn accept(&self) -> Answer {
        (200, json!({ "clockMs": self.clock_ms(), "born": self.born_ms.get() }))
    }

    fn refuse(&self, reason: &str) -> Answer {
        (409, json!({ "clockMs": self.clock_ms(), "reason": reason, "born": self.born_ms.get() }))
    }

    fn lease(&self, until_ms: u64) -> bool {
        let Some(left) = until_ms.checked_sub(self.clock_ms()) else {
            return false;
        };
        let until = Instant::now() + Duration::from_millis(left).min(LONGEST_LEASE);
        self.lease_until.set(self.lease_until.get().max(until));
        true
    }

    fn start(&self, body: &Value) -> Answer {
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run"].as_u64()) else {
            return (400, json!({}));
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
            acked: None,
            has_lapsed: false,
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

    fn stop(&self, body: &Value) -> Answer {
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run"].as_u64()) else {
            return (400, json!({}));
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

    async fn hold(&self, body: &Value) -> Answer {
        if let Some(until) = body["deadlineMs"].as_u64() {
            self.lease(until);
        }
        let acked = body["ackedUpto"].as_u64().unwrap_or_default();
        let now = self.record.now();
        self.of_ended(|number| number <= acked, |run| run.acked = Some(now));
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
        let answer = json!({ "clockMs": self.clock_ms(), "born": self.born_ms.get(), "running": running, "ended": ended });
        (200, answer)
    }

    /// Changes the record of the ends that are still listed and match.
    fn of_ended(&self, is_meant: impl Fn(u64) -> bool, change: impl Fn(&mut Run)) {
        let mut runs = self.runs.borrow_mut();
        for (number, task, run, _) in self.ended.borrow().iter() {
            if is_meant(*number) {
                let found = runs.iter_mut().find(|x| x.run == *run && x.task == *task && x.worker == self.id);
                found.into_iter().for_each(&change);
            }
        }
    }

    /// Ends the runs that are finished, stopped or without a lease.
    pub fn end_due_runs(&self) {
        let (now, lease_until) = (Instant::now(), self.lease_until.get());
        if lease_until <= now {
            self.of_ended(|_| true, |run| run.has_lapsed = true);
        }
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
