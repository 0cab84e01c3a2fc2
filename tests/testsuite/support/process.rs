//! Daemons and stand-ins as separate processes, killed by id at the end of a test.

use super::{http, wait};
use actix_http::Method;
use lapisdrum::{api::client::DaemonClient, store::wire::HostWire};
use lapisdrum_standins::{
    platform::server::PlatformSwitches,
    site::{self, DaemonPlan},
    worker::server::{WorkerLog, WorkerSwitches},
};
use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};
use tempfile::TempDir;

/// Time limit for a process to start serving.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Timeout of one call to a daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The binary under test.
pub(crate) fn lapisdrum_binary() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_lapisdrum"))
}

/// Runs the binary under test with at most `descriptors` open files.
pub(crate) fn limited_command(descriptors: u32) -> Command {
    let mut cmd = Command::new("sh");
    cmd.args(["-c", "ulimit -n \"$0\" && exec \"$@\""])
        .arg(descriptors.to_string())
        .arg(lapisdrum_binary())
        .stdout(Stdio::null());
    cmd
}

/// The folder of the examples' binaries.
pub(crate) fn examples_folder() -> PathBuf {
    let bin = lapisdrum_binary();
    bin.parent().unwrap_or(Path::new(".")).join("examples")
}

/// The stand-ins' binary, which `cargo test` builds as an example.
fn standins_binary() -> PathBuf {
    let path = examples_folder().join("standins");
    assert!(
        path.exists(),
        "{} is missing: run `cargo build --examples`",
        path.display()
    );
    path
}

/// A child process that is killed when this is dropped.
pub(crate) struct Process {
    child: Child,
}

impl Process {
    pub(crate) fn spawn(cmd: &mut Command) -> Self {
        Self {
            child: cmd.spawn().expect("the process starts"),
        }
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `STOP`, `CONT` or `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "signal {name} to {id}"
        );
    }

    /// The most memory that it has had resident so far, in kB.
    pub(crate) fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.id());
        let status = fs::read_to_string(path).expect("the process lives");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = line.and_then(|line| line.trim().strip_suffix(" kB"));
        peak.and_then(|kb| kb.parse().ok())
            .expect("a size in kB, which a process that has ended lacks")
    }

    /// Processor time that it has used, in clock ticks of usually a hundredth of a second.
    pub(crate) fn processor_ticks(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.id()));
        let stat = stat.expect("the process lives");
        // The name before the fields may hold spaces; user and system time are the 12th and 13th fields after it.
        let (_, fields) = stat.rsplit_once(')').expect("a name in parentheses");
        let times = fields.split_whitespace().skip(11).take(2);
        times
            .map(|ticks| ticks.parse::<u64>().expect("a number"))
            .sum()
    }

    /// Number of its open descriptors.
    pub(crate) fn descriptors(&self) -> usize {
        let open = fs::read_dir(format!("/proc/{}/fd", self.id()));
        open.expect("the process lives").count()
    }

    /// Kills it without a graceful shutdown.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The exit status (-1 after a signal), or `None` while it runs.
    pub(crate) fn exit_status(&mut self) -> Option<i32> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.code().unwrap_or(-1))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A stand-in process and the address on which it listens.
pub(crate) struct Standin {
    pub(crate) process: Process,
    pub(crate) address: SocketAddr,
}

impl Standin {
    fn start(args: &[&str]) -> Self {
        let listen = site::free_address().to_string();
        let mut child = Command::new(standins_binary())
            .args(args)
            .args(["--listen", &listen])
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the stand-in starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the stand-in reports");
        let address = line.trim().strip_prefix("listening on ");
        let address = address.and_then(|address| address.parse().ok());
        let address = address.unwrap_or_else(|| panic!("stand-in said `{line}`"));
        Self {
            process: Process { child },
            address,
        }
    }

    pub(crate) fn platform() -> Self {
        Self::start(&["platform"])
    }

    pub(crate) fn worker() -> Self {
        Self::start(&["worker"])
    }

    pub(crate) async fn switch_platform(&self, switches: &PlatformSwitches) {
        http::put_json(self.address, "/control/switches", switches).await;
    }

    pub(crate) async fn switch_worker(&self, switches: &WorkerSwitches) {
        http::put_json(self.address, "/control/switches", switches).await;
    }

    pub(crate) async fn set_hosts(&self, hosts: &[HostWire]) {
        http::put_json(self.address, "/control/hosts", &hosts).await;
    }

    pub(crate) async fn log(&self) -> WorkerLog {
        let answer = http::send(Method::GET, self.address, "/control/log", &[], "").await;
        let answer = answer.expect("the worker reports its log");
        serde_json::from_slice(&answer.body).expect("a worker's log")
    }
}

/// A daemon process.
pub(crate) struct DaemonProcess {
    pub(crate) process: Process,
    pub(crate) plan: DaemonPlan,
    _dir: TempDir,
}

impl DaemonProcess {
    pub(crate) fn start(plan: DaemonPlan) -> Self {
        Self::start_by(Command::new(lapisdrum_binary()), plan)
    }

    /// Like [`Self::start`], by a command that runs the binary with the arguments added to it.
    pub(crate) fn start_by(mut cmd: Command, plan: DaemonPlan) -> Self {
        let dir = TempDir::new().expect("a temporary folder");
        let config = dir.path().join("daemon.toml");
        fs::write(&config, plan.settings()).expect("the settings are written");
        cmd.args(["run", "--config"]).arg(&config);
        Self {
            process: Process::spawn(cmd.stdin(Stdio::null())),
            plan,
            _dir: dir,
        }
    }

    pub(crate) fn client(&self) -> DaemonClient {
        DaemonClient::new(&self.plan.callers.to_string(), CALL_TIMEOUT)
    }

    pub(crate) async fn ready(&self) {
        let client = self.client();
        wait::until("the daemon is ready", START_LIMIT, async || {
            client.is_ready().await
        })
        .await;
    }
}

/// A platform, workers in one data centre and daemons, all as processes.
pub(crate) struct Site {
    pub(crate) daemons: Vec<DaemonProcess>,
    pub(crate) workers: Vec<Standin>,
    pub(crate) platform: Standin,
    pub(crate) hosts: Vec<HostWire>,
}

impl Site {
    /// Starts everything and waits until each daemon is ready.
    pub(crate) async fn start(daemons: usize, workers: usize) -> Self {
        Self::start_with(daemons, workers, |_| {}).await
    }

    /// Like [`Site::start`], with `adjust` applied to the settings of each daemon.
    pub(crate) async fn start_with(
        daemons: usize,
        workers: usize,
        adjust: impl Fn(&mut DaemonPlan),
    ) -> Self {
        let platform = Standin::platform();
        let workers: Vec<Standin> = (0..workers).map(|_| Standin::worker()).collect();
        let host = |(i, worker): (usize, &Standin)| {
            site::host(
                &format!("worker-{i}"),
                worker.address,
                "westlands",
                &format!("rack-{i}"),
            )
        };
        let hosts: Vec<HostWire> = workers.iter().enumerate().map(host).collect();
        platform.set_hosts(&hosts).await;
        let mut site = Self {
            daemons: Vec::new(),
            workers,
            platform,
            hosts,
        };
        for i in 0..daemons {
            let mut plan = DaemonPlan::new(
                &format!("westlands-{i}"),
                "westlands",
                site.platform.address,
            );
            adjust(&mut plan);
            site.daemons.push(DaemonProcess::start(plan));
        }
        for daemon in &site.daemons {
            daemon.ready().await;
        }
        site
    }

    /// Starts one more daemon and waits until it is ready.
    pub(crate) async fn add_daemon(&mut self, adjust: impl Fn(&mut DaemonPlan)) {
        let name = format!("westlands-{}", self.daemons.len());
        let mut plan = DaemonPlan::new(&name, "westlands", self.platform.address);
        adjust(&mut plan);
        let daemon = DaemonProcess::start(plan);
        daemon.ready().await;
        self.daemons.push(daemon);
    }

    /// Restarts a daemon at its previous addresses, and waits until it is ready.
    pub(crate) async fn restart_daemon(&mut self, daemon: usize, adjust: impl Fn(&mut DaemonPlan)) {
        let mut plan = self.daemons[daemon].plan.clone();
        adjust(&mut plan);
        self.daemons[daemon] = DaemonProcess::start(plan);
        self.daemons[daemon].ready().await;
    }
}
