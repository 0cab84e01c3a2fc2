//! Starts the project's daemons as separate processes with the command of the deploy file, and ends
//! only these.

use crate::record::Record;
use std::{
    cell::{Cell, RefCell},
    fs::File,
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    time::Duration,
};

/// `memoryMb` of the settings: the platform kills a process beyond it.
pub const MEMORY_MB: u64 = 260;
/// Delay before the platform restarts a process that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);

/// A daemon on a loopback address of its own.
pub struct Daemon {
    pub name: String,
    pub front: String,
    pub ready: String,
    config: PathBuf,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    /// Ends for reasons of its own: exits, and kills for memory.
    pub own_ends: Cell<u32>,
    /// Whether the scenario is ending it.
    is_killed: Cell<bool>,
}

fn free_port(ip: &str) -> u16 {
    let bound = TcpListener::bind((ip, 0)).expect("a free port");
    bound.local_addr().expect("an address").port()
}

/// Ports that are the same on all machines, as on the platform.
pub struct Ports {
    front: u16,
    ready: u16,
    peers: u16,
    metrics: u16,
}

impl Ports {
    pub fn pick() -> Self {
        let ip = "127.0.0.1";
        Self { front: free_port(ip), ready: free_port(ip), peers: free_port(ip), metrics: free_port(ip) }
    }
}

impl Daemon {
    /// Writes the settings of daemon `nth`, in the layout of deploy/daemon.toml.
    pub fn new(dir: &Path, nth: usize, count: usize, zone: &str, ports: &Ports, store: &str) -> Rc<Self> {
        // Addresses of this scenario's own, as another one may run at the same time.
        let (high, low) = (1 + std::process::id() / 250 % 250, std::process::id() % 250);
        let ip = |nth: usize| format!("127.{high}.{low}.{}", nth + 2);
        let own = ip(nth);
        let seeds: Vec<String> = (0..count.min(3)).map(|nth| format!("{}:{}", ip(nth), ports.ready)).collect();
        let name = format!("edge-{nth}");
        let text = format!(
            r#"adapter = "platform"

[daemon]
name = "{name}"
data_centre = "{zone}"
callers = "{own}:{front}"
ready = "{own}:{ready}"
peers = "{own}:{peers}"
seeds = "{seeds}"
metrics = "{own}:{metrics}"
cpu_share = 0.25

[store]
address = "{store}"

[bounds]
longest_lease_ms = 6000
remember_jobs_s = 120
killed_after_s = 6
stop_takes_ms = 900
restore_takes_ms = 250
overload_borne_ms = 4000
"#,
            front = ports.front,
            ready = ports.ready,
            peers = ports.peers,
            metrics = ports.metrics,
            seeds = seeds.join(","),
        );
        let config = dir.join(format!("{name}.toml"));
        std::fs::write(&config, text).expect("the settings can be written");
        Rc::new(Self {
            front: format!("{own}:{}", ports.front),
            ready: format!("{own}:{}", ports.ready),
            log: dir.join(format!("{name}.log")),
            name,
            config,
            child: RefCell::default(),
            own_ends: Cell::new(0),
            is_killed: Cell::new(false),
        })
    }

    pub fn start(&self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let errors = log.try_clone().expect("a log");
        let mut command = Command::new("target/release/lapisdrum");
        command.args(["run", "--config"]).arg(&self.config).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let child = command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn();
        *self.child.borrow_mut() = Some(child.expect("target/release/lapisdrum starts"));
    }

    /// SIGKILL; the platform restarts the process after a delay.
    pub fn kill(&self) {
        self.is_killed.set(true);
        if let Some(child) = &mut *self.child.borrow_mut() {
            let _ = child.kill();
        }
    }

    /// SIGTERM, as before planned work; the platform starts the process again once it has ended.
    pub fn terminate(&self) {
        self.is_killed.set(true);
        if let Some(child) = &*self.child.borrow() {
            let id = child.id().to_string();
            let _ = Command::new("kill").args(["-TERM", &id]).status();
        }
    }

    /// Ends the process for good.
    pub fn end(&self) {
        self.is_killed.set(true);
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn resident_mb(&self) -> u64 {
        let Some(id) = self.child.borrow().as_ref().map(Child::id) else {
            return 0;
        };
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or_default() / 1024
    }

    /// Kills the process beyond its memory, and restarts it after any end, as the platform does.
    pub async fn supervise(self: Rc<Self>, record: Rc<Record>) {
        loop {
            tokio::time::sleep(Duration::from_millis(10)).await;
            let resident = self.resident_mb();
            if resident > MEMORY_MB {
                record.note(&format!("{}: {resident} MB resident, over the limit of {MEMORY_MB}: killed", self.name));
                if let Some(child) = &mut *self.child.borrow_mut() {
                    let _ = child.kill();
                }
            }
            let ended = match &mut *self.child.borrow_mut() {
                Some(child) => child.try_wait().ok().flatten(),
                None => return,
            };
            if let Some(status) = ended {
                let was_killed = self.is_killed.replace(false);
                if !was_killed {
                    self.own_ends.set(self.own_ends.get() + 1);
                }
                record.note(&format!("{}: process ended ({status}), {}", self.name, match was_killed {
                    true => "ended by the scenario",
                    false => "by itself",
                }));
                tokio::time::sleep(RESTART_DELAY).await;
                if self.child.borrow().is_none() {
                    return;
                }
                record.note(&format!("{}: started again", self.name));
                self.start();
            }
        }
    }
}
