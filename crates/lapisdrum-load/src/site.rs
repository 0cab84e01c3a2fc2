//! Processes of an experiment: a platform, workers and daemons, killed when their handle is dropped.

use actix_http::{Method, StatusCode, header};
use eyre::{Result, WrapErr as _, bail, ensure, eyre};
use lapisdrum::{api::client::DaemonClient, store::wire::HostWire};
use lapisdrum_standins::{
    platform::server::{PlatformCounts, PlatformSwitches},
    site::{self, DaemonPlan},
    worker::server::WorkerSwitches,
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use std::{
    env, fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};
use tokio::time::Instant;

/// Timeout for a daemon to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which [`until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of workers per rack in the membership list.
const WORKERS_PER_RACK: usize = 8;

/// A child process that is killed when the handle is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    fn start(args: &[&str], stdout: Stdio) -> Result<Self> {
        let own = env::current_exe()?;
        let child = Command::new(own)
            .args(args)
            .stdin(Stdio::null())
            .stdout(stdout)
            .spawn()?;
        Ok(Self { child })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process (`SIGKILL`) and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A daemon process.
pub struct Daemon {
    /// The process.
    pub process: Process,
    /// Settings with which it was started.
    pub plan: DaemonPlan,
    config: PathBuf,
}

impl Daemon {
    /// Starts a daemon without waiting until it is ready.
    pub fn start(plan: DaemonPlan) -> Result<Self> {
        let name = format!(
            "lapisdrum-{}-{:016x}.toml",
            plan.name,
            rand::random::<u64>()
        );
        let config = env::temp_dir().join(name);
        fs::write(&config, plan.settings())?;
        let process = Self::process(&config, Stdio::null())?;
        Ok(Self {
            process,
            plan,
            config,
        })
    }

    /// Starts a daemon process with a settings file; its log goes to `log`.
    pub fn process(config: &Path, log: Stdio) -> Result<Process> {
        let path = config.display().to_string();
        Process::start(&["daemon", "--config", &path], log)
    }

    /// A new client of the daemon's address for callers.
    pub fn client(&self) -> DaemonClient {
        DaemonClient::new(&self.plan.callers.to_string(), CALL_TIMEOUT)
    }

    /// Metrics of the daemon, as text.
    pub async fn metrics(&self) -> Result<String> {
        let http = client();
        let sent = http
            .get(format!("http://{}/metrics", self.plan.callers))
            .send()
            .await;
        let mut answer = sent.map_err(|e| eyre!("{e}"))?;
        Ok(String::from_utf8_lossy(&answer.body().await?).into_owned())
    }

    /// Value of a metric without labels; zero if the daemon does not answer or has no such metric.
    pub async fn metric(&self, name: &str) -> u64 {
        let text = self.metrics().await.unwrap_or_default();
        let mut lines = text.lines().filter_map(|line| line.split_once(' '));
        let line = lines.find(|(found, _)| *found == name);
        line.and_then(|(_, value)| value.trim().parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.config);
    }
}

/// A platform, workers and daemons as processes.
pub struct Site {
    /// Daemon processes, in the order in which they were started.
    pub daemons: Vec<Daemon>,
    /// Hosts in the membership list.
    pub hosts: Vec<HostWire>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of the workers, in the order of `hosts`.
    pub workers: Vec<SocketAddr>,
    _processes: Vec<Process>,
}

impl Site {
    /// Starts a platform, `workers` workers in one process and `daemons` daemons with settings changed
    /// by `adjust`, and waits until all daemons are ready.
    pub async fn start(
        daemons: usize,
        workers: usize,
        adjust: impl Fn(&mut DaemonPlan),
    ) -> Result<Self> {
        let (platform_process, platform) = start_standins(&["platform"], 1)?;
        let count = workers.to_string();
        let (worker_process, workers) = start_standins(&["workers", "--count", &count], workers)?;
        let host = |(i, address): (usize, &SocketAddr)| {
            let rack = format!("rack-{}", i / WORKERS_PER_RACK);
            site::host(&format!("worker-{i}"), *address, "westlands", &rack)
        };
        let hosts: Vec<HostWire> = workers.iter().enumerate().map(host).collect();
        let platform = platform[0];
        put(platform, "/control/hosts", &hosts).await?;
        let _processes = vec![platform_process, worker_process];
        let mut site = Self {
            daemons: Vec::new(),
            hosts,
            platform,
            workers,
            _processes,
        };
        for i in 0..daemons {
            let mut plan = DaemonPlan::new(&format!("westlands-{i}"), "westlands", platform);
            adjust(&mut plan);
            site.daemons.push(Daemon::start(plan)?);
        }
        for daemon in &site.daemons {
            let client = daemon.client();
            until("a daemon is ready", READY_TIMEOUT, async || {
                client.is_ready().await
            })
            .await?;
        }
        Ok(site)
    }

    /// Number of tasks started by all daemons so far.
    pub async fn starts(&self) -> u64 {
        let mut sum = 0;
        for daemon in &self.daemons {
            sum += daemon.metric("lapisdrum_task_starts_total").await;
        }
        sum
    }

    /// Index of the first daemon that owns a shard; 0 if none does.
    pub async fn owner(&self) -> usize {
        for (i, daemon) in self.daemons.iter().enumerate() {
            if daemon.metric("lapisdrum_shards_owned").await > 0 {
                return i;
            }
        }
        0
    }

    /// Sets the faults that the platform injects.
    pub async fn switch_platform(&self, switches: &PlatformSwitches) -> Result<()> {
        put(self.platform, "/control/switches", switches).await
    }

    /// Sets the behaviour of all workers.
    pub async fn switch_workers(&self, switches: &WorkerSwitches) -> Result<()> {
        for worker in &self.workers {
            put(*worker, "/control/switches", switches).await?;
        }
        Ok(())
    }

    /// Bytes of commands to all workers and of their answers so far.
    pub async fn worker_bytes(&self) -> Result<u64> {
        let calls = self
            .workers
            .iter()
            .map(|worker| get::<u64>(*worker, "/control/traffic"));
        let counts = futures::future::join_all(calls).await;
        counts.into_iter().sum()
    }

    /// Reads and writes that the platform has served so far.
    pub async fn platform_counts(&self) -> Result<PlatformCounts> {
        get(self.platform, "/control/counts").await
    }
}

fn start_standins(args: &[&str], addresses: usize) -> Result<(Process, Vec<SocketAddr>)> {
    let listen = SocketAddr::from((site::free_address().ip(), 0)).to_string();
    let all = [&["standins"], args, &["--listen", &listen]].concat();
    let mut process = Process::start(&all, Stdio::piped())?;
    let stdout = process
        .child
        .stdout
        .take()
        .ok_or_else(|| eyre!("stdout of the stand-in is not piped"))?;
    let lines = BufReader::new(stdout).lines().take(addresses);
    let parse = |line: std::io::Result<String>| -> Result<SocketAddr> {
        let line = line?;
        let address = line.strip_prefix("listening on ");
        address
            .ok_or_else(|| eyre!("unexpected output of stand-in: `{line}`"))?
            .parse()
            .wrap_err("invalid address in the output of a stand-in")
    };
    let found = lines.map(parse).collect::<Result<Vec<_>>>()?;
    ensure!(
        found.len() == addresses,
        "{} of {addresses} stand-ins started",
        found.len()
    );
    Ok((process, found))
}

/// Polls `condition` until it returns true; fails after `limit` and names `what` in the error.
pub async fn until(
    what: &str,
    limit: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> Result<()> {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition().await {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    bail!("timed out after {limit:?} waiting until {what}")
}

fn client() -> awc::Client {
    awc::Client::builder().timeout(CALL_TIMEOUT).finish()
}

/// Sends a request, with a host name and a JSON body if there is one, and returns the status of the response.
pub async fn status(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Option<(&str, &Value)>,
) -> Result<StatusCode> {
    let mut req = client().request(method, format!("http://{address}{path}"));
    if let Some((host, _)) = body {
        req = req.insert_header((header::HOST, host));
    }
    let sent = match body {
        Some((_, body)) => req.send_json(body).await,
        None => req.send().await,
    };
    Ok(sent.map_err(|e| eyre!("{e}"))?.status())
}

/// Sends a JSON value to a stand-in; fails unless the answer has a success status.
pub async fn put(address: SocketAddr, path: &str, value: &impl Serialize) -> Result<()> {
    let sent = client()
        .put(format!("http://{address}{path}"))
        .send_json(value)
        .await;
    let answer = sent.map_err(|e| eyre!("{e}"))?;
    ensure!(
        answer.status().is_success(),
        "PUT {path}: {}",
        answer.status()
    );
    Ok(())
}

/// Reads a JSON value from a stand-in.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T> {
    let sent = client().get(format!("http://{address}{path}")).send().await;
    let mut answer = sent.map_err(|e| eyre!("{e}"))?;
    let body = answer.body().limit(1 << 28).await?;
    Ok(serde_json::from_slice(&body)?)
}
