//! Workers: they hold leases under a fencing token, run tasks, list ends and can be lost.
//!
//! A job's `spec` tells how its tasks behave, a word for each step: `600` works for 600 ms, `lasts`
//! works until it is stopped, `gang2:800` works for 800 ms from the moment when both members are
//! present.

use crate::{
    http::{Request, Response, Server},
    json::{Json, map, num, text},
    record::Record,
    store::Store,
};
use std::{
    collections::HashMap,
    net::TcpListener,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// `holdMaxMs`, `gangTimeoutMs` and `heartbeatMs` of the deployment.
pub const HOLD_MAX: Duration = Duration::from_millis(6_000);
const GANG_TIMEOUT: Duration = Duration::from_millis(4_000);
pub const HEARTBEAT: Duration = Duration::from_millis(1_100);
/// Time from a stop order until the end is listed, below `stopTimeoutMs`.
const STOP_TAKES: Duration = Duration::from_millis(150);
/// Startup of a task that lasts.
const STARTUP: Duration = Duration::from_millis(400);
/// Time after which a worker that fails all that it starts fails a task.
const FAILS_AFTER: Duration = Duration::from_millis(200);
const MAX_LISTED_ENDS: usize = 500;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Size {
    pub cpu: u64,
    pub mem: u64,
    pub gpu: u64,
}

#[derive(Clone, Copy, Debug)]
enum Work {
    Takes(Duration),
    Lasts,
    Gang(usize, Duration),
}

fn work_of(spec: &str, task: &str) -> Work {
    let step = task.split('.').nth(2).and_then(|step| step.parse().ok()).unwrap_or(0);
    let word = spec.split(',').nth(step).unwrap_or("lasts");
    let ms = |raw: &str| Duration::from_millis(raw.parse().unwrap_or(1_000));
    match (word, word.strip_prefix("gang")) {
        ("lasts", _) => Work::Lasts,
        (_, Some(gang)) => {
            let (members, takes) = gang.split_once(':').unwrap_or(("2", "1000"));
            Work::Gang(members.parse().unwrap_or(2), ms(takes))
        }
        (takes, None) => Work::Takes(ms(takes)),
    }
}

struct Running {
    task: String,
    run: u64,
    started_at: Instant,
    /// When its work began; later than the start for a member of a gang.
    begun_at: Option<Instant>,
    work: Work,
    stops_at: Option<Instant>,
    percent_limit: u64,
}

impl Running {
    fn percent(&self, now: Instant) -> u64 {
        let Some(begun_at) = self.begun_at else {
            return 0;
        };
        let whole = match self.work {
            Work::Takes(whole) | Work::Gang(_, whole) => whole,
            Work::Lasts => STARTUP,
        };
        let share = (now - begun_at).as_secs_f64() / whole.as_secs_f64();
        (share * 100.0).min(100.0) as u64
    }
}

#[derive(Default)]
struct Inner {
    token: u64,
    lease_until: Option<Instant>,
    running: Vec<Running>,
    /// Number, task, run and how.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_number: u64,
    /// By task, the last run that ended or was stopped here.
    over: HashMap<String, u64>,
    is_lost: bool,
    fails_all: bool,
    seq: u64,
}

/// A run as the workers saw it.
#[derive(Clone, Debug)]
pub struct RunLog {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub started_at: Instant,
    pub ended: Option<(Instant, &'static str)>,
}

impl RunLog {
    pub fn job(&self) -> &str {
        self.task.split('.').next().unwrap_or_default()
    }

    fn gang(&self) -> (String, u64) {
        (gang_of(&self.task), self.run)
    }
}

fn gang_of(task: &str) -> String {
    task.rsplit_once('.').map_or("", |(gang, _)| gang).to_owned()
}

/// All runs on all workers, in the order of their starts.
#[derive(Default)]
pub struct Runs(pub Mutex<Vec<RunLog>>);

impl Runs {
    fn note_end(&self, worker: &str, task: &str, run: u64, how: &'static str, now: Instant) {
        let mut runs = self.0.lock().unwrap();
        let is_it = |log: &&mut RunLog| log.ended.is_none() && log.worker == worker && log.task == task && log.run == run;
        if let Some(log) = runs.iter_mut().find(is_it) {
            log.ended = Some((now, how));
        }
    }

    pub fn alive(&self) -> Vec<RunLog> {
        let runs = self.0.lock().unwrap();
        runs.iter().filter(|log| log.ended.is_none()).cloned().collect()
    }
}

pub struct Worker {
    pub id: String,
    pub rack: String,
    pub kind: &'static str,
    pub zone: String,
    pub capacity: Size,
    born: u64,
    created_at: Instant,
    address: String,
    inner: Mutex<Inner>,
    ends: Condvar,
    runs: Arc<Runs>,
    record: Arc<Record>,
    server: Mutex<Option<Server>>,
}

impl Worker {
    pub fn start(
        (id, rack, kind, zone): (String, String, &'static str, String),
        capacity: Size,
        runs: &Arc<Runs>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let worker = Arc::new(Self {
            id,
            rack,
            kind,
            zone,
            capacity,
            born: born.as_millis() as u64,
            created_at: Instant::now(),
            address: listener.local_addr().expect("an address").to_string(),
            inner: Mutex::default(),
            ends: Condvar::new(),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
            server: Mutex::default(),
        });
        let serving = Arc::clone(&worker);
        let handler = Arc::new(move |req| serving.answer(&req));
        *worker.server.lock().unwrap() = Some(Server::start(listener, handler));
        worker
    }

    pub fn is_lost(&self) -> bool {
        self.inner.lock().unwrap().is_lost
    }

    /// Crashes for good: what runs here ends, connections are reset, and nothing answers any more.
    pub fn lose(&self) {
        let now = Instant::now();
        let mut inner = self.inner.lock().unwrap();
        inner.is_lost = true;
        for running in inner.running.drain(..) {
            self.runs.note_end(&self.id, &running.task, running.run, "lost with its worker", now);
        }
        drop(inner);
        self.record.line(&format!("worker {} of rack {} is lost for good", self.id, self.rack));
        if let Some(server) = self.server.lock().unwrap().take() {
            server.kill();
        }
    }

    /// Whether it fails all that it starts while it looks healthy.
    pub fn set_fails_all(&self, fails_all: bool) {
        self.inner.lock().unwrap().fails_all = fails_all;
        self.record.line(&format!("worker {} fails all that it starts: {fails_all}", self.id));
    }

    pub fn heartbeat(&self, store: &Store) {
        let mut inner = self.inner.lock().unwrap();
        if inner.is_lost {
            return;
        }
        inner.seq += 1;
        let capacity = map(vec![
            ("cpu", num(self.capacity.cpu)),
            ("memMb", num(self.capacity.mem)),
            ("gpu", num(self.capacity.gpu)),
        ]);
        let entry = map(vec![
            ("service", text("trail-service")),
            ("address", text(&self.address)),
            ("zone", text(&self.zone)),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text("ready")),
            ("coldLeftMs", num(0)),
            ("capacity", capacity),
            ("labels", Json::List(vec![text(self.kind), text(&self.rack)])),
            ("clockMs", num(self.clock())),
            ("seq", num(inner.seq)),
            ("born", num(self.born)),
        ]);
        drop(inner);
        store.put("servers", &self.id, &entry);
    }

    fn clock(&self) -> u64 {
        self.created_at.elapsed().as_millis() as u64
    }

    fn says(&self, status: u16, mut fields: Vec<(&str, Json)>) -> Response {
        fields.push(("clockMs", num(self.clock())));
        fields.push(("born", num(self.born)));
        Response::new(status, map(fields).to_string())
    }

    fn refuses(&self, reason: &str) -> Response {
        self.says(409, vec![("reason", text(reason))])
    }

    fn answer(&self, req: &Request) -> Response {
        if req.header("x-lapisdrum-expected-instance").is_some_and(|id| id != self.id) {
            return self.says(421, Vec::new());
        }
        let Some(body) = Json::parse(req.text()) else {
            return self.says(400, Vec::new());
        };
        let mut inner = self.inner.lock().unwrap();
        let token = body.at("fencingToken").as_u64().unwrap_or_default();
        if token < inner.token {
            return self.refuses("fence");
        }
        inner.token = token;
        drop(inner);
        match req.path.as_str() {
            "/run-start" => self.run_start(&body),
            "/run-stop" => self.run_stop(&body),
            "/hold" => self.hold(&body),
            "/pace" => self.pace(&body),
            _ => self.says(400, Vec::new()),
        }
    }

    /// Takes a lease that ends at `until` on the own clock; false if that has passed.
    fn lease(&self, inner: &mut Inner, until: u64) -> bool {
        let end = self.created_at + Duration::from_millis(until);
        let now = Instant::now();
        if end <= now {
            return false;
        }
        let end = end.min(now + HOLD_MAX);
        inner.lease_until = Some(inner.lease_until.map_or(end, |known| known.max(end)));
        true
    }

    fn run_start(&self, body: &Json) -> Response {
        let (task, run) = (body.at("task").as_str(), body.at("run").as_u64());
        let (Some(task), Some(run), Some(until)) = (task, run, body.at("deadlineMs").as_u64()) else {
            return self.says(400, Vec::new());
        };
        let mut inner = self.inner.lock().unwrap();
        if inner.is_lost {
            return Response::new(503, "");
        }
        if !self.lease(&mut inner, until) {
            return self.refuses("late");
        }
        if inner.running.iter().any(|r| r.task == task && r.run == run) {
            return self.says(200, Vec::new());
        }
        if inner.over.get(task).is_some_and(|over| run <= *over) {
            return self.refuses("old");
        }
        let work = work_of(body.at("spec").as_str().unwrap_or_default(), task);
        let now = Instant::now();
        let is_gang = matches!(work, Work::Gang(..));
        inner.running.push(Running {
            task: task.to_owned(),
            run,
            started_at: now,
            begun_at: (!is_gang).then_some(now),
            work,
            stops_at: None,
            percent_limit: 100,
        });
        drop(inner);
        let log = RunLog { task: task.to_owned(), run, worker: self.id.clone(), started_at: now, ended: None };
        self.runs.0.lock().unwrap().push(log);
        self.record.line(&format!("worker {} of rack {} starts task {task} run {run}", self.id, self.rack));
        self.says(200, Vec::new())
    }

    fn run_stop(&self, body: &Json) -> Response {
        let (Some(task), Some(run)) = (body.at("task").as_str(), body.at("run").as_u64()) else {
            return self.says(400, Vec::new());
        };
        let mut inner = self.inner.lock().unwrap();
        let found = inner.running.iter_mut().find(|r| r.task == task && r.run == run);
        match found {
            Some(running) => {
                running.stops_at.get_or_insert(Instant::now() + STOP_TAKES);
            }
            None => {
                let over = inner.over.entry(task.to_owned()).or_default();
                *over = run.max(*over);
            }
        }
        drop(inner);
        self.says(200, Vec::new())
    }

    fn pace(&self, body: &Json) -> Response {
        let (task, run) = (body.at("task").as_str(), body.at("run").as_u64());
        let mut inner = self.inner.lock().unwrap();
        let found = inner.running.iter_mut().find(|r| Some(r.task.as_str()) == task && Some(r.run) == run);
        if let Some(running) = found {
            running.percent_limit = body.at("percent").as_u64().unwrap_or(100);
        }
        drop(inner);
        self.says(200, Vec::new())
    }

    fn hold(&self, body: &Json) -> Response {
        let mut inner = self.inner.lock().unwrap();
        if let Some(until) = body.at("deadlineMs").as_u64() {
            self.lease(&mut inner, until);
        }
        let acked = body.at("ackedUpto").as_u64().unwrap_or_default();
        inner.ended.retain(|(number, ..)| *number > acked);
        let wait = body.at("waitMs").as_u64().unwrap_or_default().min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        while inner.ended.is_empty() && !inner.is_lost {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            inner = self.ends.wait_timeout(inner, left).unwrap().0;
        }
        let now = Instant::now();
        let running = inner.running.iter().map(|r| {
            let gauge = num(0);
            Json::List(vec![text(&r.task), num(r.run), text(""), num(r.percent(now)), gauge])
        });
        let running = Json::List(running.collect());
        let ended = inner.ended.iter().take(MAX_LISTED_ENDS).map(|(number, task, run, how)| {
            Json::List(vec![num(*number), text(task), num(*run), text(*how), text("")])
        });
        let ended = Json::List(ended.collect());
        drop(inner);
        self.says(200, vec![("running", running), ("ended", ended)])
    }

    /// Ends what is due; `gangs` has the members of each gang that are present on any worker.
    pub fn advance(&self, gangs: &HashMap<(String, u64), usize>, broken: &[(String, u64)], begins: &[(String, u64)]) {
        let now = Instant::now();
        let mut inner = self.inner.lock().unwrap();
        if inner.is_lost {
            return;
        }
        let (fails_all, is_lapsed) = (inner.fails_all, inner.lease_until.is_some_and(|until| until <= now));
        let mut due = Vec::new();
        for r in &mut inner.running {
            let gang = (gang_of(&r.task), r.run);
            if begins.contains(&gang) {
                r.begun_at.get_or_insert(now);
            }
            let worked = r.begun_at.map_or(Duration::ZERO, |at| now - at);
            let is_worked_out = match r.work {
                Work::Takes(whole) | Work::Gang(_, whole) => worked >= whole,
                Work::Lasts => false,
            };
            let is_gang = matches!(r.work, Work::Gang(..));
            let how = if is_lapsed {
                Some("lapsed")
            } else if fails_all && worked >= FAILS_AFTER {
                Some("failed")
            } else if is_gang && broken.contains(&gang) {
                Some("broken")
            } else if is_worked_out {
                Some("done")
            } else if r.stops_at.is_some_and(|at| at <= now) {
                Some("stopped")
            } else if r.begun_at.is_none() && now - r.started_at >= GANG_TIMEOUT && gangs.contains_key(&gang) {
                Some("alone")
            } else {
                None
            };
            if let Some(how) = how {
                due.push((r.task.clone(), r.run, how));
            }
        }
        for (task, run, how) in due {
            inner.running.retain(|r| !(r.task == task && r.run == run));
            inner.last_number += 1;
            let number = inner.last_number;
            let over = inner.over.entry(task.clone()).or_default();
            *over = run.max(*over);
            self.runs.note_end(&self.id, &task, run, how, now);
            self.record.line(&format!("worker {} ends task {task} run {run}: {how}", self.id));
            inner.ended.push((number, task, run, how));
        }
        if !inner.ended.is_empty() {
            self.ends.notify_all();
        }
    }

    fn begins(&self, gangs: &HashMap<(String, u64), usize>) -> Vec<(String, u64)> {
        let inner = self.inner.lock().unwrap();
        let ready = inner.running.iter().filter(|r| match r.work {
            Work::Gang(members, _) => gangs.get(&(gang_of(&r.task), r.run)) == Some(&members),
            _ => false,
        });
        ready.map(|r| (gang_of(&r.task), r.run)).collect()
    }
}

/// Lets time pass on all workers.
pub fn advance(workers: &[Arc<Worker>], runs: &Runs) {
    let (mut present, mut broken) = (HashMap::new(), Vec::new());
    for log in runs.0.lock().unwrap().iter() {
        match log.ended {
            None => *present.entry(log.gang()).or_insert(0) += 1,
            Some((_, how)) if how != "done" => broken.push(log.gang()),
            Some(_) => {}
        }
    }
    broken.retain(|gang| present.contains_key(gang));
    let begins: Vec<_> = workers.iter().flat_map(|worker| worker.begins(&present)).collect();
    for worker in workers {
        worker.advance(&present, &broken, &begins);
    }
}
