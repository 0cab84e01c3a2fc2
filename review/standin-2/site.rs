//! A small deployment: the store, workers, and daemons that are started with the command of the deploy
//! file and the settings of its template.

use crate::{
    http::{self, Response, Server},
    json::{Json, map, num, text},
    record::Record,
    store::Store,
    worker::{self, HEARTBEAT, RunLog, Runs, Size, Worker},
};
use std::{
    collections::{HashMap, HashSet},
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HOST: &str = "trail.example";
/// How long a requester waits for an answer, and how often it tries again.
const DEADLINE: Duration = Duration::from_millis(3_000);
const RETRIES: usize = 4;
const DAEMONS: usize = 3;
const STEP: Duration = Duration::from_millis(5);

/// Why a case could not run.
pub type Unable = String;

pub struct Queue {
    pub name: &'static str,
    pub prefix: &'static str,
    pub priority: u64,
}

pub struct Site {
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub runs: Arc<Runs>,
    pub record: Arc<Record>,
    /// What the tasks of a job's step ask for.
    sizes: Mutex<HashMap<(String, usize), Size>>,
    daemons: Vec<(Child, SocketAddr, SocketAddr)>,
    folder: PathBuf,
    is_over: Arc<AtomicBool>,
    _server: Server,
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

fn config(queues: &[Queue]) -> Json {
    let routes = queues.iter().map(|queue| {
        map(vec![
            ("name", text(queue.name)),
            ("host", text(HOST)),
            ("prefix", text(queue.prefix)),
            ("service", text("trail-service")),
            ("priority", num(queue.priority)),
            ("attempts", num(2)),
            ("stretch", num(2)),
            ("targetCompletionMs", num(1_000)),
        ])
    });
    let service = map(vec![("name", text("trail-service")), ("admissionCheck", Json::Bool(false))]);
    map(vec![
        ("version", num(7)),
        ("routes", Json::List(routes.collect())),
        ("services", Json::List(vec![service])),
        ("limits", map(vec![("maxBodyBytes", num(262_144))])),
    ])
}

/// The template's text with each section of `bounds` that has a value kept, and the others left out.
fn fill(template: &str, values: &[(&str, String)]) -> String {
    let mut out = template.to_owned();
    while let Some(from) = out.find("{{#") {
        let name = out[from + 3..].split("}}").next().unwrap_or_default().to_owned();
        let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        let to = out.find(&close).unwrap_or(out.len() - close.len());
        let inner = out[from + open.len()..to].to_owned();
        let has_value = values.iter().any(|(key, _)| *key == name);
        out.replace_range(from..to + close.len(), if has_value { &inner } else { "" });
    }
    for (key, value) in values {
        out = out.replace(&format!("{{{{{key}}}}}"), value);
    }
    out
}

/// Ports that are free on all of these addresses.
fn free_ports(ips: &[String], count: usize) -> Vec<u16> {
    let mut ports = Vec::new();
    let mut held = Vec::new();
    while ports.len() < count {
        let Ok(first) = TcpListener::bind((ips[0].as_str(), 0)) else {
            continue;
        };
        let port = first.local_addr().expect("an address").port();
        let others: Vec<_> = ips[1..].iter().map(|ip| TcpListener::bind((ip.as_str(), port))).collect();
        if others.iter().all(Result::is_ok) && !ports.contains(&port) {
            ports.push(port);
        }
        held.push(first);
    }
    ports
}

impl Site {
    /// Starts everything and waits until all daemons are ready and the workers known.
    pub fn start(
        record: Arc<Record>,
        workers: Vec<((String, String, &'static str, String), Size)>,
        queues: &[Queue],
    ) -> Result<Self, Unable> {
        let store = Store::new();
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let serving = Arc::clone(&store);
        let server = Server::start(listener, Arc::new(move |req| -> Response { serving.answer(req) }));
        let runs = Arc::new(Runs::default());
        let workers = workers.into_iter().map(|(names, size)| Worker::start(names, size, &runs, &record));
        let workers: Vec<_> = workers.collect();
        store.put("op", "config", &config(queues));
        let folder = std::env::temp_dir().join(format!("lapisdrum-review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut site = Self {
            store,
            workers,
            runs,
            record,
            sizes: Mutex::default(),
            daemons: Vec::new(),
            folder,
            is_over: Arc::default(),
            _server: server,
        };
        site.run_workers();
        site.start_daemons()?;
        site.await_ready()?;
        Ok(site)
    }

    /// Lets time pass on the workers, and sends their heartbeats; the store removes an entry after
    /// three intervals of silence.
    fn run_workers(&self) {
        let (workers, runs, store) = (self.workers.clone(), Arc::clone(&self.runs), Arc::clone(&self.store));
        let is_over = Arc::clone(&self.is_over);
        for worker in &workers {
            worker.heartbeat(&store);
        }
        thread::spawn(move || {
            let mut beat_at = Instant::now();
            let mut silent: HashMap<String, u32> = HashMap::new();
            while !is_over.load(Ordering::SeqCst) {
                worker::advance(&workers, &runs);
                if beat_at.elapsed() >= HEARTBEAT {
                    beat_at = Instant::now();
                    for worker in &workers {
                        worker.heartbeat(&store);
                        let beats = silent.entry(worker.id.clone()).or_default();
                        *beats += u32::from(worker.is_lost());
                        if *beats == 3 {
                            store.remove("servers", &worker.id);
                        }
                    }
                }
                thread::sleep(STEP);
            }
        });
    }

    fn start_daemons(&mut self) -> Result<(), Unable> {
        let template = fs::read_to_string("deploy/daemon.toml").map_err(|e| e.to_string())?;
        let zones = ["westlands", "karen", "kilimani"];
        let ips: Vec<String> = (0..DAEMONS).map(|at| format!("127.0.0.{}", 11 + at)).collect();
        let ports = free_ports(&ips, 5);
        let address = |ip: &str, at: usize| format!("{ip}:{}", ports[at]);
        let seeds: Vec<String> = ips.iter().map(|ip| address(ip, 4)).collect();
        for (at, ip) in ips.iter().enumerate() {
            let values = [
                ("node", format!("edge-{}-1", zones[at])),
                ("zone", zones[at].to_owned()),
                ("ip", ip.clone()),
                ("listen.front", address(ip, 0)),
                ("listen.ready", address(ip, 1)),
                ("portRange.0", ports[2].to_string()),
                ("portRange.1", ports[3].to_string()),
                ("seeds", seeds.join(",")),
                ("limits.cpuShare", "0.25".to_owned()),
                ("platform.address", self._server.address.to_string()),
                ("bounds.holdMaxMs", "6000".to_owned()),
                ("bounds.status_s", "120".to_owned()),
                ("bounds.graceS", "6".to_owned()),
                ("bounds.stopTimeoutMs", "900".to_owned()),
                ("bounds.restoreMs", "250".to_owned()),
                ("bounds.harmMs", "4500".to_owned()),
            ];
            let path = self.folder.join(format!("daemon-{at}.toml"));
            fs::write(&path, fill(&template, &values)).map_err(|e| e.to_string())?;
            let log = fs::File::create(self.folder.join(format!("daemon-{at}.log"))).map_err(|e| e.to_string())?;
            let errors = log.try_clone().map_err(|e| e.to_string())?;
            let daemon = Command::new("target/release/lapisdrum")
                .args(["run", "--config"])
                .arg(&path)
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(errors)
                .spawn();
            let daemon = daemon.map_err(|e| format!("target/release/lapisdrum: {e}"))?;
            let parse = |at| address(ip, at).parse().map_err(|_| "an address".to_owned());
            self.daemons.push((daemon, parse(0)?, parse(1)?));
        }
        Ok(())
    }

    fn await_ready(&self) -> Result<(), Unable> {
        let is_ready = || {
            self.daemons.iter().all(|(_, _, ready)| {
                let answer = http::send(*ready, HOST, "GET", "/ready", "", Duration::from_secs(1));
                answer.is_some_and(|(status, _)| status == 200)
            })
        };
        if !self.until(Duration::from_secs(20), is_ready) {
            return Err("the daemons are not ready within 20 s".to_owned());
        }
        // Owners poll every worker before they place anything there.
        thread::sleep(Duration::from_secs(4));
        Ok(())
    }

    /// Waits until `is_so`, at most `limit`; returns whether it is.
    pub fn until(&self, limit: Duration, is_so: impl Fn() -> bool) -> bool {
        let from = Instant::now();
        while from.elapsed() < limit {
            if is_so() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn call(&self, at: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let front = self.daemons[at % self.daemons.len()].1;
        let answer = http::send(front, HOST, method, path, body, DEADLINE);
        let status = answer.as_ref().map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"));
        let sent = if body.len() > 400 { &body[..400] } else { body };
        self.record.line(&format!("requester {method} {path} {sent} -> {status}"));
        answer
    }

    /// Hands a job in, again at other daemons where that is refused or gets no answer; an error if it
    /// is never accepted.
    pub fn submit(&self, prefix: &str, id: &str, body: &Json) -> Result<(), Unable> {
        for (at, step) in body.at("steps").items().iter().enumerate() {
            let of = |name| step.at(name).as_u64().unwrap_or_default();
            // Tasks that fill take the processors that others leave unused.
            let cpu = if *step.at("fills") == Json::Bool(true) { 0 } else { of("cpu") };
            let size = Size { cpu, mem: of("memMb"), gpu: of("gpu") };
            self.sizes.lock().unwrap().insert((id.to_owned(), at), size);
        }
        let path = format!("{prefix}{id}");
        for attempt in 0..=RETRIES {
            let answer = self.call(attempt, "POST", &path, &body.to_string());
            if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(500));
        }
        Err(format!("job {id} is not accepted"))
    }

    /// The state of a job as the first daemon that answers shows it.
    pub fn state(&self, prefix: &str, id: &str) -> Option<String> {
        let path = format!("{prefix}{id}");
        (0..=RETRIES).find_map(|attempt| {
            let answer = self.call(attempt, "GET", &path, "");
            match answer {
                Some((200, body)) => Some(Json::parse(&body)?.at("state").as_str()?.to_owned()),
                Some((410, _)) => Some("410".to_owned()),
                _ => {
                    thread::sleep(Duration::from_millis(300));
                    None
                }
            }
        })
    }

    pub fn worker(&self, id: &str) -> Option<&Arc<Worker>> {
        self.workers.iter().find(|worker| worker.id == id)
    }

    pub fn alive_of(&self, job: &str) -> Vec<RunLog> {
        let alive = self.runs.alive().into_iter();
        alive.filter(|log| log.job() == job).collect()
    }

    /// The racks of a shard, by the layout that the system keeps in the store.
    pub fn racks_like(&self, rack: &str) -> Vec<String> {
        let Some(layout) = self.store.value("layout", "layout", "shards") else {
            return Vec::new();
        };
        let racks = match layout.at("racks") {
            Json::Map(racks) => racks.clone(),
            _ => Vec::new(),
        };
        let own = racks.iter().find(|(name, _)| name == rack).map(|(_, shard)| shard.clone());
        let same = racks.into_iter().filter(|(_, shard)| Some(shard) == own.as_ref());
        same.map(|(name, _)| name).collect()
    }

    fn used(&self) -> HashMap<String, Size> {
        let sizes = self.sizes.lock().unwrap();
        let mut used: HashMap<String, Size> = HashMap::new();
        for log in self.runs.alive() {
            let step = log.task.split('.').nth(2).and_then(|step| step.parse().ok()).unwrap_or(0);
            let size = sizes.get(&(log.job().to_owned(), step)).copied().unwrap_or_default();
            let sum = used.entry(log.worker).or_default();
            *sum = Size { cpu: sum.cpu + size.cpu, mem: sum.mem + size.mem, gpu: sum.gpu + size.gpu };
        }
        used
    }

    /// How many tasks of this size the workers have room for that are not lost.
    pub fn room_for(&self, size: Size) -> u64 {
        let used = self.used();
        let room = |worker: &Arc<Worker>| {
            let (all, used) = (worker.capacity, used.get(&worker.id).copied().unwrap_or_default());
            let times = |all: u64, used: u64, wanted: u64| match wanted {
                0 => u64::MAX,
                _ => all.saturating_sub(used) / wanted,
            };
            times(all.cpu, used.cpu, size.cpu).min(times(all.mem, used.mem, size.mem)).min(times(all.gpu, used.gpu, size.gpu))
        };
        self.workers.iter().filter(|worker| !worker.is_lost()).map(room).sum()
    }

    /// The largest share in use of processors, memory and accelerators, in percent.
    pub fn percent_in_use(&self) -> u64 {
        let used = self.used();
        let alive = || self.workers.iter().filter(|worker| !worker.is_lost());
        let percent = |of: fn(&Size) -> u64| {
            let all: u64 = alive().map(|worker| of(&worker.capacity)).sum();
            let used: u64 = alive().filter_map(|worker| used.get(&worker.id)).map(of).sum();
            (used * 100).checked_div(all).unwrap_or_default()
        };
        percent(|s| s.cpu).max(percent(|s| s.mem)).max(percent(|s| s.gpu))
    }

    /// Tasks of which two runs are at work at this moment, on workers that are up.
    pub fn doubled(&self) -> Vec<String> {
        let (mut seen, mut doubled) = (HashSet::new(), Vec::new());
        for log in self.runs.alive() {
            if !seen.insert(log.task.clone()) {
                doubled.push(log.task);
            }
        }
        doubled
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        for (daemon, ..) in &mut self.daemons {
            let _ = daemon.kill();
            let _ = daemon.wait();
        }
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => println!("logs of the daemons: {}", self.folder.display()),
            None => {
                let _ = fs::remove_dir_all(&self.folder);
            }
        }
    }
}
