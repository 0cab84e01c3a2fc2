//! A small deployment: the store, workers, and daemons as processes with the command and the template
//! of the deploy file.

use crate::{
    http::call,
    json::{Json, int, num, obj, text},
    record::Record,
    store::Store,
    worker::{Terms, Worker},
};
use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub const HOST: &str = "queue.example";
pub const PREFIX: &str = "/q/";
const ANSWER_WITHIN: Duration = Duration::from_secs(3);

/// Bounds as the site files give them.
const BOUNDS: [(&str, &str); 5] = [
    ("stopTimeoutMs", "900"),
    ("restoreMs", "250"),
    ("harmMs", "4000"),
    ("drainMs", "2000"),
    ("farFactor", "3"),
];

pub struct Daemon {
    pub name: String,
    process: Option<Child>,
    pub front: SocketAddr,
    ready: SocketAddr,
    /// Whether the store turns this machine away.
    pub is_refused: Arc<AtomicBool>,
}

impl Daemon {
    /// Starts the process with the command of the deploy file.
    fn start(&mut self, folder: &Path, record: &Record) -> Option<()> {
        let log = folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).ok()?;
        let process = Command::new("target/release/lapisdrum")
            .args(["run", "--config"])
            .arg(folder.join(format!("{}.toml", self.name)))
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        record.line(&format!("{} is started as process {}", self.name, process.id()));
        self.process = Some(process);
        Some(())
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Sends a signal by its name, such as STOP or CONT.
    pub fn signal(&self, name: &str) -> bool {
        let Some(process) = &self.process else {
            return false;
        };
        let sent = Command::new("kill").args(["-s", name, &process.id().to_string()]).status();
        sent.is_ok_and(|status| status.success())
    }

    /// Whether the process has ended by itself.
    fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| !matches!(process.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        call(self.ready, "GET", "/ready", HOST, "", Duration::from_secs(1)).is_some_and(|a| a.0 == 200)
    }
}

pub struct Site {
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub daemons: Vec<Daemon>,
    pub record: Arc<Record>,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.daemons.iter_mut().for_each(Daemon::kill);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A free port that the system doesn't hand out to connections, so that it is still free when the daemon
/// starts; each call returns another. Cases that run beside each other begin at ports that are far apart.
fn free_address() -> SocketAddr {
    const FIRST: u16 = 20_000;
    const PORTS: u16 = 12_000;
    const PORTS_OF_A_CASE: u16 = 64;
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let slot = std::process::id() % u32::from(PORTS / PORTS_OF_A_CASE);
    let first = slot as u16 * PORTS_OF_A_CASE;
    loop {
        let port = FIRST + (first + NEXT.fetch_add(1, Ordering::SeqCst)) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Fills in a section of the template that is there if the value is.
fn with_section(settings: &str, name: &str, value: Option<&str>) -> String {
    let (begin, end) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    let value_of = format!("{{{{{name}}}}}");
    let (Some(from), Some(to)) = (settings.find(&begin), settings.find(&end)) else {
        return settings.to_owned();
    };
    let inner = &settings[from + begin.len()..to];
    let inner = value.map_or(String::new(), |value| inner.replace(&value_of, value));
    [&settings[..from], &inner, &settings[to + end.len()..]].concat()
}

impl Site {
    /// Starts everything in the repository's root; `None` if the daemons don't become ready.
    pub fn start(
        record: Arc<Record>,
        daemons: usize,
        workers: usize,
        terms: &Terms,
        hold_max_ms: &str,
    ) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let store = Store::new();
        let worker = |at: usize| {
            let (id, rack) = (format!("host-{at}"), format!("rack-{}", at % 2));
            Worker::start(&id, &rack, terms.clone(), &store, &record)
        };
        let workers = (0..workers).map(worker).collect();
        let route = obj(vec![
            ("name", text("queue")),
            ("host", text(HOST)),
            ("prefix", text(PREFIX)),
            ("type", text("unsafe")),
            ("timeoutMs", int(3_000)),
            ("service", text("pool")),
            ("priority", int(0)),
            ("attempts", int(2)),
            ("stretch", num(2.0)),
            ("targetCompletionMs", int(1_000)),
        ]);
        let service = obj(vec![("name", text("pool")), ("admissionCheck", Json::Bool(false))]);
        let config = obj(vec![
            ("version", int(1)),
            ("routes", Json::Arr(vec![route])),
            ("services", Json::Arr(vec![service])),
            ("limits", obj(vec![("maxBodyBytes", int(262_144))])),
        ]);
        store.put("op", "config", &config);
        let mut site = Self {
            store,
            workers,
            daemons: Vec::new(),
            record,
            folder,
        };
        for at in 0..daemons {
            site.add_daemon(at, hold_max_ms)?;
        }
        let until = Instant::now() + Duration::from_secs(15);
        while !site.daemons.iter().all(Daemon::is_ready) {
            if Instant::now() > until {
                site.record_logs();
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Another process may answer at the address of one that could not listen.
        if site.daemons.iter_mut().any(Daemon::has_ended) {
            site.record.say("a daemon ended at its start");
            return None;
        }
        site.record.line("all daemons are ready");
        Some(site)
    }

    /// Starts another daemon at addresses of its own.
    pub fn add_daemon(&mut self, at: usize, hold_max_ms: &str) -> Option<()> {
        let is_refused = Arc::new(AtomicBool::new(false));
        let store = self.store.serve(&is_refused);
        let (front, ready) = (free_address(), free_address());
        let name = format!("edge-{at}");
        let mut settings = fs::read_to_string("deploy/daemon.toml").ok()?;
        for (bound, value) in BOUNDS {
            settings = with_section(&settings, &format!("bounds.{bound}"), Some(value));
        }
        settings = with_section(&settings, "bounds.evacuateMs", None);
        let values = [
            ("{{node}}", name.clone()),
            ("{{zone}}", "zone-a".to_owned()),
            ("{{listen.front}}", front.to_string()),
            ("{{listen.ready}}", ready.to_string()),
            ("{{ip}}:{{portRange.0}}", free_address().to_string()),
            ("{{ip}}:{{portRange.1}}", free_address().to_string()),
            ("{{seeds}}", String::new()),
            ("{{limits.cpuShare}}", "0.25".to_owned()),
            ("{{limits.memoryMb}}", "260".to_owned()),
            ("{{limits.maxFds}}", "4100".to_owned()),
            ("{{platform.address}}", store.to_string()),
            ("{{bounds.holdMaxMs}}", hold_max_ms.to_owned()),
            ("{{bounds.status_s}}", "120".to_owned()),
            ("{{bounds.graceS}}", "6".to_owned()),
        ];
        for (placeholder, value) in values {
            settings = settings.replace(placeholder, &value);
        }
        fs::write(self.folder.join(format!("{name}.toml")), settings).ok()?;
        let mut daemon = Daemon {
            name,
            process: None,
            front,
            ready,
            is_refused,
        };
        daemon.start(&self.folder, &self.record)?;
        self.daemons.push(daemon);
        Some(())
    }

    /// Starts a daemon again that was killed, with the settings that it had.
    pub fn restart(&mut self, at: usize) -> Option<()> {
        self.daemons[at].start(&self.folder, &self.record)
    }

    /// Index of the daemon that holds the lease of the first shard.
    pub fn owner(&self) -> Option<usize> {
        let row = self.store.value("owners", "shard-0", "lease");
        let name = row.get("holder").get("daemon").str().to_owned();
        self.daemons.iter().position(|daemon| daemon.name == name)
    }

    /// Adds the logs of daemons that don't become ready to the record.
    fn record_logs(&self) {
        for daemon in self.daemons.iter().filter(|daemon| !daemon.is_ready()) {
            let log = fs::read_to_string(self.folder.join(format!("{}.log", daemon.name)));
            self.record.line(&format!("{} is not ready: {}", daemon.name, log.unwrap_or_default()));
        }
    }

    /// Copies the daemons' logs to a folder.
    pub fn keep_logs(&self, folder: &Path) {
        for daemon in &self.daemons {
            let name = format!("{}.log", daemon.name);
            let _ = fs::copy(self.folder.join(&name), folder.join(&name));
        }
    }
}

/// Sends a request to a daemon and records it; status 0 without an answer.
pub fn ask(record: &Record, front: SocketAddr, method: &str, id: &str, body: &str) -> (u16, Json) {
    let answer = call(front, method, &format!("{PREFIX}{id}"), HOST, body, ANSWER_WITHIN);
    let (status, body) = answer.unwrap_or_default();
    let shown = String::from_utf8_lossy(&body).into_owned();
    record.line(&format!("{method} {PREFIX}{id} at {front}: {status} {shown}"));
    (status, Json::parse(&body).unwrap_or(Json::Null))
}

/// Hands in a job until it is accepted, as requesters do; false after some seconds without success.
pub fn submit(record: &Record, front: SocketAddr, id: &str, body: &str) -> bool {
    let until = Instant::now() + Duration::from_secs(6);
    while ask(record, front, "POST", id, body).0 != 200 {
        if Instant::now() > until {
            return false;
        }
        thread::sleep(Duration::from_millis(250));
    }
    true
}

/// A job of one step.
pub fn job(spec: &str, step: Vec<(&str, Json)>) -> String {
    let fields = vec![("spec", text(spec)), ("steps", Json::Arr(vec![obj(step)]))];
    obj(fields).write()
}
