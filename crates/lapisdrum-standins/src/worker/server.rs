//! The worker stand-in's HTTP server and its switches.

use super::tasks::{TaskPlan, Tasks};
use crate::{
    platform::server::calling_daemon,
    traffic::{request_bytes, response_bytes},
};
use actix_http::{Method, StatusCode};
use actix_rt::net::TcpListener;
use indexmap::IndexMap;
use lapisdrum::{
    core::{id::JobId, size::Size, time::WorkerMillis},
    util::http::{self, BodyFault, HttpRequest, HttpResponse},
    worker::wire::{
        CLOCK_HEADER, DEADLINE_HEADER, ENTRY_HEADER, EntrySlowdown, NOT_RUN_HEADER, OwnerCommand,
        REQUEST_HEADER, RejectReason, Rejected, RenewTasks, StartTask, TaskList, TaskState,
        ThrottleTask, Usage,
    },
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{sync::watch, time::Instant};

/// Largest body accepted, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Interval at which leases and task progress are updated.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Durations, faults and reported values of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerSwitches {
    /// Run time of a request, in milliseconds.
    pub request_ms: u64,
    /// Run time of a task from no progress at full speed, in milliseconds.
    pub task_ms: u64,
    /// Interval between checkpoints, in milliseconds.
    pub checkpoint_ms: u64,
    /// Entries whose tasks never finish by themselves.
    pub endless: Vec<String>,
    /// Calls have no effect and are never answered.
    pub hung: bool,
    /// Requests run and are never answered.
    pub hang_requests: bool,
    /// Requests are answered with 503 and marked as not run.
    pub refuses: bool,
    /// Requests are answered immediately with 500.
    pub fails_requests: bool,
    /// Tasks fail as soon as they start.
    pub fails_tasks: bool,
    /// The answer to every n-th request is cut off after half of its body; 0 for none.
    pub cuts_one_in: u32,
    /// Every n-th request gets the answer to another request; 0 for none.
    pub misnames_one_in: u32,
    /// Requests run and get the refusal of another request, marked as not run.
    pub misnames_refusals: bool,
    /// Every n-th request takes ten times as long; 0 for none.
    pub delays_one_in: u32,
    /// Resources that a request uses, by entry; zero for entries not listed.
    pub entry_sizes: IndexMap<String, Size>,
    /// Reported age of usage samples, in milliseconds.
    pub usage_age_ms: u64,
    /// Reported run time of requests by entry, in thousandths of their run time without neighbours.
    pub slowdowns: IndexMap<String, u32>,
    /// Names of daemons whose calls have no effect and are never answered.
    pub cut: Vec<String>,
}

impl Default for WorkerSwitches {
    fn default() -> Self {
        Self {
            request_ms: 5,
            task_ms: 500,
            checkpoint_ms: 100,
            endless: Vec::new(),
            hung: false,
            hang_requests: false,
            refuses: false,
            fails_requests: false,
            fails_tasks: false,
            cuts_one_in: 0,
            misnames_one_in: 0,
            misnames_refusals: false,
            delays_one_in: 0,
            entry_sizes: IndexMap::new(),
            usage_age_ms: 5_000,
            slowdowns: IndexMap::new(),
            cut: Vec::new(),
        }
    }
}

impl WorkerSwitches {
    fn is_silent_to(&self, req: &HttpRequest) -> bool {
        let cut = |daemon: &str| self.cut.iter().any(|cut| cut == daemon);
        self.hung || calling_daemon(req).is_some_and(cut)
    }
}

/// One run of a task. Times are Unix milliseconds of the host's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRun {
    /// Id of the task.
    pub task: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Start of the run.
    pub from_ms: u64,
    /// When the run was seen to have ended; `None` while it runs.
    pub to_ms: Option<u64>,
    /// Progress of the checkpoint that the run started from, in thousandths.
    pub first_permille: u32,
}

/// What a worker has run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLog {
    /// Ids of requests in the order in which they started; an id appears once per run.
    pub requests: Vec<String>,
    /// Runs of tasks in the order in which they started.
    pub tasks: Vec<TaskRun>,
    /// Largest number of concurrent requests.
    pub most_requests: u32,
    /// Largest total size of running tasks and requests, for each resource by itself.
    pub most_size: Size,
}

/// A worker's state, shared with a test that embeds it.
pub struct Worker {
    /// Resources of the worker.
    pub capacity: Size,
    /// Largest number of concurrent requests; more are refused.
    pub slots: u32,
    /// Behaviour, which a test may change at any time.
    pub switches: RefCell<WorkerSwitches>,
    /// Tasks on the worker.
    pub tasks: RefCell<Tasks>,
    /// Requests and tasks run since the start.
    pub log: RefCell<WorkerLog>,
    /// Number of calls by kind.
    pub calls: RefCell<IndexMap<&'static str, u64>>,
    /// Bytes of commands and of their answers, headers included; requests are not counted.
    pub command_bytes: Cell<u64>,
    running_requests: Cell<u32>,
    requests_size: Cell<Size>,
    requests_seen: Cell<u32>,
    origin: Instant,
}

impl Worker {
    /// An idle worker.
    pub fn new(capacity: Size, slots: u32, switches: WorkerSwitches) -> Rc<Self> {
        let worker = Rc::new(Self {
            capacity,
            slots,
            switches: RefCell::new(switches),
            tasks: RefCell::new(Tasks::new(capacity)),
            log: RefCell::default(),
            calls: RefCell::default(),
            command_bytes: Cell::new(0),
            running_requests: Cell::new(0),
            requests_size: Cell::default(),
            requests_seen: Cell::new(0),
            origin: Instant::now(),
        });
        worker.tasks.borrow_mut().since = worker.now();
        worker
    }

    /// Number of running requests.
    pub fn running_requests(&self) -> u32 {
        self.running_requests.get()
    }

    /// The worker's own clock. It counts on from the machine's time, so that it doesn't go back when
    /// the worker is restarted.
    pub fn now(&self) -> WorkerMillis {
        WorkerMillis(CLOCK_BASE_MS + self.origin.elapsed().as_millis() as u64)
    }

    /// Serves on `listener` until `stop` turns true.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        let ticker = actix_rt::spawn(Rc::clone(&self).tick());
        http::serve(listener, MAX_BODY_BYTES, stop, move |read| {
            Rc::clone(&self).answer(read)
        })
        .await;
        ticker.abort();
    }

    async fn tick(self: Rc<Self>) {
        loop {
            self.tasks.borrow_mut().tick(self.now());
            self.update_log();
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Records in the log which runs have ended, and the largest total size.
    fn update_log(&self) {
        let tasks = self.tasks.borrow();
        let mut log = self.log.borrow_mut();
        for run in log.tasks.iter_mut().filter(|run| run.to_ms.is_none()) {
            let task = tasks.tasks.get(&run.task);
            let running = task.is_some_and(|task| {
                task.state == TaskState::Running && task.attempt.0 == run.attempt
            });
            if !running {
                run.to_ms = Some(unix_ms());
            }
        }
        let taken = tasks.running_size().plus(&self.requests_size.get());
        log.most_size = max_per_resource(&log.most_size, &taken);
    }

    async fn answer(self: Rc<Self>, read: Result<HttpRequest, BodyFault>) -> HttpResponse {
        let Ok(req) = read else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        if let Some(path) = req.path.strip_prefix("/control/") {
            return self.control(path, &req);
        }
        if self.switches.borrow().is_silent_to(&req) {
            return std::future::pending().await;
        }
        let path = req.path.trim_start_matches("/v1/").to_owned();
        let received = request_bytes(&req);
        let parts: Vec<&str> = path.split('/').collect();
        let answer = match (&req.method, parts.as_slice()) {
            (&Method::POST, ["requests"]) => self.request(&req).await,
            (&Method::POST, ["claim"]) => self.claim(&req),
            (&Method::POST, ["renew"]) => self.renew(&req),
            (&Method::PUT, ["tasks", id]) => self.start(id, &req),
            (&Method::POST, ["tasks", id, verb]) => self.command(id, verb, &req),
            (&Method::GET, ["usage"]) => self.usage(),
            _ => HttpResponse::empty(StatusCode::NOT_FOUND),
        };
        let answer = answer.with(CLOCK_HEADER, self.now().0.to_string());
        if path != "requests" {
            let both = received + response_bytes(&answer);
            self.command_bytes.set(self.command_bytes.get() + both);
        }
        answer
    }

    async fn request(self: &Rc<Self>, req: &HttpRequest) -> HttpResponse {
        self.count("request");
        let switches = self.switches.borrow().clone();
        let id = req.header(REQUEST_HEADER).unwrap_or_default().to_owned();
        let entry = req.header(ENTRY_HEADER).unwrap_or_default().to_owned();
        if switches.refuses || self.running_requests.get() >= self.slots {
            return HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE)
                .with(REQUEST_HEADER, id)
                .with(NOT_RUN_HEADER, "true");
        }
        self.log.borrow_mut().requests.push(id.clone());
        let size = switches.entry_sizes.get(&entry).copied();
        let running = RunningRequest::register(self, size.unwrap_or_default());
        self.update_log();
        if switches.fails_requests {
            return HttpResponse::empty(StatusCode::INTERNAL_SERVER_ERROR).with(REQUEST_HEADER, id);
        }
        let nth = self.requests_seen.get() + 1;
        self.requests_seen.set(nth);
        let is_one_in = |n: u32| n > 0 && nth.is_multiple_of(n);
        let in_time =
            run_until_deadline(&switches, is_one_in(switches.delays_one_in), req, running);
        if !in_time.await {
            return HttpResponse::empty(StatusCode::GATEWAY_TIMEOUT).with(REQUEST_HEADER, id);
        }
        if switches.misnames_refusals {
            return HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE)
                .with(REQUEST_HEADER, OTHER_REQUEST_ID)
                .with(NOT_RUN_HEADER, "true");
        }
        let (named, body) = match is_one_in(switches.misnames_one_in) {
            true => (OTHER_REQUEST_ID.to_owned(), OTHER_REQUEST_BODY.into()),
            false => (id, req.body.clone()),
        };
        let answer = HttpResponse::bytes(StatusCode::OK, body)
            .with(REQUEST_HEADER, named)
            .with(ENTRY_HEADER, entry);
        match is_one_in(switches.cuts_one_in) {
            true => truncate_body(answer),
            false => answer,
        }
    }

    fn claim(&self, req: &HttpRequest) -> HttpResponse {
        self.count("claim");
        with_body(req, |command: OwnerCommand| {
            let now = self.now();
            self.tasks.borrow_mut().tick(now);
            let claimed = self.tasks.borrow_mut().claim(command.epoch);
            let as_of_ms = now.0;
            let list = |tasks| TaskList {
                tasks,
                is_complete: true,
                as_of_ms,
            };
            self.reply(claimed.map(list))
        })
    }

    fn renew(&self, req: &HttpRequest) -> HttpResponse {
        self.count("renew");
        with_body(req, |renew: RenewTasks| {
            let now = self.now();
            self.tasks.borrow_mut().tick(now);
            let renewed = self.tasks.borrow_mut().renew(now, &renew);
            self.reply(renewed)
        })
    }

    fn start(&self, id: &str, req: &HttpRequest) -> HttpResponse {
        self.count("start");
        let Ok(id) = JobId::try_from(id) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        with_body(req, |start: StartTask| {
            let plan = self.plan(&start.entry);
            let known = self.tasks.borrow().tasks.get(&id).map(|task| task.attempt);
            let started = self.tasks.borrow_mut().start(self.now(), &id, &start, plan);
            if started.is_ok() && known != Some(start.attempt) {
                self.log.borrow_mut().tasks.push(TaskRun {
                    task: id.clone(),
                    attempt: start.attempt.0,
                    from_ms: unix_ms(),
                    to_ms: None,
                    first_permille: start.checkpoint.map_or(0, |saved| saved.progress_permille),
                });
                self.update_log();
            }
            self.reply(started)
        })
    }

    fn plan(&self, entry: &str) -> TaskPlan {
        let switches = self.switches.borrow();
        let endless = switches.endless.iter().any(|name| name == entry);
        TaskPlan {
            work_ms: (!endless).then_some(switches.task_ms),
            checkpoint_ms: switches.checkpoint_ms,
            fails: switches.fails_tasks,
        }
    }

    fn command(&self, id: &str, verb: &str, req: &HttpRequest) -> HttpResponse {
        self.count("command");
        let Ok(id) = JobId::try_from(id) else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        let answer = match verb {
            "throttle" => with_body(req, |throttle: ThrottleTask| {
                let mut tasks = self.tasks.borrow_mut();
                let done = tasks.throttle(&id, throttle.epoch, throttle.permille);
                drop(tasks);
                self.reply(done)
            }),
            "stop" => with_body(req, |command: OwnerCommand| {
                let done = self.tasks.borrow_mut().stop(&id, command.epoch);
                self.reply(done)
            }),
            "checkpoint" => with_body(req, |command: OwnerCommand| {
                let now = self.now();
                let done = self.tasks.borrow_mut().checkpoint(now, &id, command.epoch);
                self.reply(done)
            }),
            _ => HttpResponse::empty(StatusCode::NOT_FOUND),
        };
        self.update_log();
        answer
    }

    fn usage(&self) -> HttpResponse {
        self.count("usage");
        let switches = self.switches.borrow();
        let slowdown = |(entry, permille): (&String, &u32)| EntrySlowdown {
            entry: entry.clone(),
            slowdown_permille: *permille,
        };
        let usage = Usage {
            age_ms: switches.usage_age_ms,
            total: self.tasks.borrow().running_size(),
            tasks: Vec::new(),
            requests: switches.slowdowns.iter().map(slowdown).collect(),
        };
        HttpResponse::json(StatusCode::OK, &usage)
    }

    fn reply<T: Serialize>(&self, outcome: Result<T, RejectReason>) -> HttpResponse {
        match outcome {
            Ok(done) => HttpResponse::json(StatusCode::OK, &done),
            Err(reason) => {
                let epoch = self.tasks.borrow().epoch;
                HttpResponse::json(StatusCode::CONFLICT, &Rejected { reason, epoch })
            }
        }
    }

    fn count(&self, call: &'static str) {
        *self.calls.borrow_mut().entry(call).or_default() += 1;
    }

    /// Controls a stand-in that runs as a process: `PUT /control/switches`, `GET /control/traffic` and
    /// `GET /control/log`.
    fn control(&self, path: &str, req: &HttpRequest) -> HttpResponse {
        match path {
            "switches" => match req.json() {
                Ok(switches) => {
                    *self.switches.borrow_mut() = switches;
                    HttpResponse::empty(StatusCode::OK)
                }
                Err(_) => HttpResponse::empty(StatusCode::BAD_REQUEST),
            },
            "traffic" => HttpResponse::json(StatusCode::OK, &self.command_bytes.get()),
            "log" => HttpResponse::json(StatusCode::OK, &*self.log.borrow()),
            _ => HttpResponse::empty(StatusCode::NOT_FOUND),
        }
    }
}

/// Initial value of the worker's clock; not zero, because zero stands for "no reading".
const CLOCK_BASE_MS: u64 = 1_000_000;

/// Request id in answers that belong to another request.
const OTHER_REQUEST_ID: &str = "another-request";
/// Body of answers that belong to another request.
const OTHER_REQUEST_BODY: &str = "the answer to another request";
/// Factor on the run time of delayed requests.
const DELAY_FACTOR: u64 = 10;

/// Runs a request until it ends or its deadline passes, even when the caller disconnects. Returns
/// whether it ended before the deadline.
async fn run_until_deadline(
    switches: &WorkerSwitches,
    is_delayed: bool,
    req: &HttpRequest,
    running: RunningRequest,
) -> bool {
    let factor = if is_delayed { DELAY_FACTOR } else { 1 };
    let takes = match switches.hang_requests {
        true => Duration::MAX,
        false => Duration::from_millis(switches.request_ms * factor),
    };
    let left = req.header(DEADLINE_HEADER).and_then(|ms| ms.parse().ok());
    let left = left.map_or(Duration::MAX, Duration::from_millis);
    let run = actix_rt::spawn(async move {
        tokio::time::sleep(takes.min(left)).await;
        drop(running);
    });
    run.await.is_ok() && takes <= left
}

/// Cuts the body in half and declares a longer one, so that the connection ends early.
fn truncate_body(mut answer: HttpResponse) -> HttpResponse {
    answer.declared_len = Some(answer.body.len() as u64 + 1);
    answer.body.truncate(answer.body.len() / 2);
    answer
}

/// A running request, counted in the worker until it is dropped.
struct RunningRequest {
    worker: Rc<Worker>,
    size: Size,
}

impl RunningRequest {
    fn register(worker: &Rc<Worker>, size: Size) -> Self {
        let running = worker.running_requests.get() + 1;
        worker.running_requests.set(running);
        worker
            .requests_size
            .set(worker.requests_size.get().plus(&size));
        let mut log = worker.log.borrow_mut();
        log.most_requests = log.most_requests.max(running);
        Self {
            worker: Rc::clone(worker),
            size,
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let worker = &self.worker;
        worker
            .running_requests
            .set(worker.running_requests.get() - 1);
        worker
            .requests_size
            .set(worker.requests_size.get().minus(&self.size));
    }
}

fn with_body<T: DeserializeOwned>(
    req: &HttpRequest,
    then: impl FnOnce(T) -> HttpResponse,
) -> HttpResponse {
    match req.json() {
        Ok(body) => then(body),
        Err(_) => HttpResponse::empty(StatusCode::BAD_REQUEST),
    }
}

fn max_per_resource(a: &Size, b: &Size) -> Size {
    Size {
        millicores: a.millicores.max(b.millicores),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
