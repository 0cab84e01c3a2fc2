//! A worker: runs tasks under a lease and a fencing token, as the protocol page says.
//!
//! A job's `spec` is the run time of its tasks in milliseconds; a task of any other job runs until it
//! is stopped or its lease ends.

use crate::{
    http::{Answer, Channels, Request, serve},
    json::{Json, int, num, obj, text},
    record::Record,
    store::Store,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Time of a call to a worker.
const CALL_TIME: Duration = Duration::from_millis(2);
const TICK: Duration = Duration::from_millis(5);
const HEARTBEAT: Duration = Duration::from_millis(1_000);

/// What a worker's pages say of it.
#[derive(Clone)]
pub struct Terms {
    pub hold_max: Duration,
    pub stop_time: Duration,
    pub cpu: u64,
    pub memory_mb: u64,
}

impl Terms {
    /// A worker of mwangaza-trails.
    pub const LARGE: Self = Self {
        hold_max: Duration::from_secs(6),
        stop_time: Duration::from_millis(900),
        cpu: 32_000,
        memory_mb: 128_000,
    };
}

#[derive(Clone, Debug)]
struct Running {
    started: Instant,
    ends: Option<Instant>,
    stops: Option<Instant>,
}

/// A run from its start to its end, for the check.
#[derive(Clone, Debug)]
pub struct Interval {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub from: Instant,
    pub to: Option<Instant>,
    pub how: &'static str,
}

struct State {
    token: u64,
    lease: Option<Instant>,
    running: BTreeMap<(String, u64), Running>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    over: BTreeMap<String, u64>,
    intervals: Vec<Interval>,
    is_dark: bool,
    is_registered: bool,
    seq: u64,
}

pub struct Worker {
    pub id: String,
    rack: String,
    pub terms: Terms,
    address: Mutex<Option<SocketAddr>>,
    born_ms: u64,
    clock: Instant,
    state: Mutex<State>,
    ended: Condvar,
    pub channels: Arc<Channels>,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl Worker {
    pub fn start(
        id: &str,
        rack: &str,
        terms: Terms,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let worker = Arc::new(Self {
            id: id.to_owned(),
            rack: rack.to_owned(),
            terms,
            address: Mutex::default(),
            born_ms: born.as_millis() as u64,
            clock: Instant::now(),
            state: Mutex::new(State {
                token: 0,
                lease: None,
                running: BTreeMap::new(),
                ended: Vec::new(),
                next_end: 1,
                over: BTreeMap::new(),
                intervals: Vec::new(),
                is_dark: false,
                is_registered: true,
                seq: 0,
            }),
            ended: Condvar::new(),
            channels: Arc::default(),
            record: Arc::clone(record),
            store: Arc::clone(store),
        });
        let served = Arc::clone(&worker);
        let address = serve(&worker.channels, move |request| served.answer(&request));
        *worker.address.lock().unwrap() = Some(address);
        worker.report();
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            let mut reported = Instant::now();
            loop {
                thread::sleep(TICK);
                ticking.end_due();
                if reported.elapsed() >= HEARTBEAT {
                    reported = Instant::now();
                    ticking.report();
                }
            }
        });
        worker
    }

    /// Loses power for good: all that runs ends, and nothing answers or refuses any more. The platform
    /// removes the entry after three heartbeats.
    pub fn lose_power(self: &Arc<Self>) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        state.is_dark = true;
        state.running.clear();
        for interval in state.intervals.iter_mut().filter(|i| i.to.is_none()) {
            (interval.to, interval.how) = (Some(now), "lost");
        }
        drop(state);
        self.record.line(&format!("worker {} loses power for good", self.id));
        let worker = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            worker.state.lock().unwrap().is_registered = false;
            worker.store.remove("servers", &worker.id);
            worker.record.line(&format!("the entry of worker {} expires", worker.id));
        });
    }

    /// All runs so far.
    pub fn intervals(&self) -> Vec<Interval> {
        self.state.lock().unwrap().intervals.clone()
    }

    pub fn count_running(&self) -> usize {
        self.state.lock().unwrap().running.len()
    }

    fn clock_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64 + 1_000
    }

    fn report(&self) {
        let mut state = self.state.lock().unwrap();
        if state.is_dark || !state.is_registered {
            return;
        }
        state.seq += 1;
        let seq = state.seq;
        drop(state);
        let address = self.address.lock().unwrap().expect("the worker listens");
        let capacity = vec![
            ("cpu", int(self.terms.cpu)),
            ("memMb", int(self.terms.memory_mb)),
            ("gpu", int(0)),
        ];
        let entry = obj(vec![
            ("service", text("pool")),
            ("address", text(address.to_string())),
            ("zone", text("zone-a")),
            ("version", text("v1")),
            ("slots", int(8)),
            ("state", text("ready")),
            ("coldLeftMs", int(0)),
            ("seq", int(seq)),
            ("capacity", obj(capacity)),
            ("labels", Json::Arr(vec![text("a"), text(&self.rack)])),
            ("born", int(self.born_ms)),
        ]);
        self.store.put("servers", &self.id, &entry);
    }

    fn end_due(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let is_lapsed = state.lease.is_some_and(|lease| lease <= now);
        let due = state.running.iter().filter_map(|(key, running)| {
            let is_due = |at: Option<Instant>| at.is_some_and(|at| at <= now);
            let how = match running {
                r if is_due(r.ends) => "done",
                r if is_due(r.stops) => "stopped",
                _ if is_lapsed => "lapsed",
                _ => return None,
            };
            Some((key.clone(), how))
        });
        let due: Vec<_> = due.collect();
        for ((task, run), how) in due {
            state.running.remove(&(task.clone(), run));
            let over = state.over.entry(task.clone()).or_default();
            *over = run.max(*over);
            let number = state.next_end;
            state.next_end += 1;
            state.ended.push((number, task.clone(), run, how));
            let found = state.intervals.iter_mut().rev().find(|i| i.task == task && i.run == run);
            if let Some(interval) = found {
                (interval.to, interval.how) = (Some(now), how);
            }
            self.record.line(&format!("{}: run {run} of {task} ends {how}", self.id));
            self.ended.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        if self.state.lock().unwrap().is_dark {
            return Answer::Silence;
        }
        let clock = || ("clockMs", int(self.clock_ms()));
        let reply = |status, fields| Answer::Reply(status, obj(fields).write().into_bytes());
        let refuse = |reason: &str| reply(409, vec![clock(), ("reason", text(reason))]);
        let is_meant = request.header("x-lapisdrum-expected-instance").is_none_or(|id| id == self.id);
        if !is_meant {
            return reply(421, vec![clock()]);
        }
        let Some(body) = Json::parse(&request.body) else {
            return reply(400, vec![clock()]);
        };
        thread::sleep(CALL_TIME);
        self.end_due();
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        if state.is_dark {
            return Answer::Silence;
        }
        let token = body.get("fencingToken").u64();
        if token < state.token {
            return refuse("fence");
        }
        state.token = token;
        let (task, run) = (body.get("task").str().to_owned(), body.get("run").u64());
        let deadline = body.get("deadlineMs");
        let lease = |state: &mut State| {
            let left = deadline.u64().checked_sub(self.clock_ms()).filter(|_| !deadline.is_null());
            let until = left.map(|ms| now + Duration::from_millis(ms).min(self.terms.hold_max));
            state.lease = state.lease.max(until);
            until.is_some()
        };
        match request.path.as_str() {
            "/run-start" => {
                if !lease(&mut state) {
                    return refuse("late");
                }
                let key = (task.clone(), run);
                if state.running.contains_key(&key) {
                    return reply(200, vec![clock()]);
                }
                if state.over.get(&task).is_some_and(|over| run <= *over) {
                    return refuse("old");
                }
                let work = body.get("spec").str().parse().ok().map(Duration::from_millis);
                let running = Running {
                    started: now,
                    ends: work.map(|work| now + work),
                    stops: None,
                };
                state.running.insert(key, running);
                state.intervals.push(Interval {
                    task: task.clone(),
                    run,
                    worker: self.id.clone(),
                    from: now,
                    to: None,
                    how: "",
                });
                self.record.line(&format!("{}: run {run} of {task} starts", self.id));
                reply(200, vec![clock()])
            }
            "/run-stop" => {
                match state.running.get_mut(&(task.clone(), run)) {
                    Some(running) => {
                        running.stops = running.stops.or(Some(now + self.terms.stop_time / 2));
                    }
                    None => {
                        let over = state.over.entry(task).or_default();
                        *over = run.max(*over);
                    }
                }
                reply(200, vec![clock()])
            }
            "/pace" => reply(200, vec![clock()]),
            "/hold" => {
                lease(&mut state);
                let acked = body.get("ackedUpto").u64();
                state.ended.retain(|(number, ..)| *number > acked);
                let wait = Duration::from_millis(body.get("waitMs").u64().min(2_000));
                let until = now + wait;
                while state.ended.is_empty() && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    (state, _) = self.ended.wait_timeout(state, left).unwrap();
                }
                if state.is_dark {
                    return Answer::Silence;
                }
                let percent = |r: &Running| match r.ends {
                    None => 100.0,
                    Some(ends) => {
                        let part = r.started.elapsed().as_secs_f64();
                        (part / (ends - r.started).as_secs_f64() * 100.0).floor().min(99.0)
                    }
                };
                let running = state.running.iter().map(|((task, run), r)| {
                    Json::Arr(vec![text(task), int(*run), text(""), num(percent(r)), int(0)])
                });
                let ended = state.ended.iter().take(500).map(|(number, task, run, how)| {
                    Json::Arr(vec![int(*number), text(task), int(*run), text(*how), text("")])
                });
                let fields = vec![
                    clock(),
                    ("born", int(self.born_ms)),
                    ("running", Json::Arr(running.collect())),
                    ("ended", Json::Arr(ended.collect())),
                ];
                reply(200, fields)
            }
            _ => reply(404, vec![clock()]),
        }
    }
}

/// Ids of the tasks of a job with a run on any of these workers.
pub fn tasks_of(workers: &[Arc<Worker>], job: &str) -> BTreeSet<String> {
    let intervals = workers.iter().flat_map(|worker| worker.intervals());
    intervals.filter(|i| i.task.starts_with(job)).map(|i| i.task).collect()
}
