//! `lapisdrum-load ends`: measures a take-over of a shard with a worker that has more ends than it lists at once.
//!
//! All tasks run on one worker and end when the owner is killed. The next owner reads their ends in lists of at most 500,
//! each of which has to be durable in the store before the worker lists the next. A job that is submitted meanwhile shows
//! what new work waits for.

use crate::{
    site::{self, Daemon, Process, until},
    table,
};
use actix_http::{Method, StatusCode};
use actix_rt::net::TcpListener;
use clap::Args;
use eyre::{Result, ensure, eyre};
use lapisdrum_standins::{
    site::free_address,
    users::{catalogue, rows::RowStore, worker::UsersWorker},
};
use serde_json::json;
use std::{
    env,
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    rc::Rc,
    time::Duration,
};
use tokio::{sync::watch, time::Instant};

/// Timeout of each condition that a run waits for.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(120);
const HOST: &str = "maps.example";
/// Run time of a task that is not completed before, in milliseconds: long, but with progress that a poll shows.
const TASK_MS: u64 = 100_000;
/// Tasks per submitted job.
const TASKS_PER_JOB: usize = 1_000;
/// Number of the job that is submitted during the take-over.
const LATE_JOB: usize = 1_000_000;
/// Time between the last start of a task and the kill, in which the starts become known to the owner.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Arguments of `ends`.
#[derive(Debug, Args)]
pub struct EndsArgs {
    /// Number of ends on the worker at the take-over; one run for each value.
    #[arg(long, value_delimiter = ',', default_value = "1000,5000,20000")]
    ends: Vec<usize>,
    /// Time that the store takes for a transaction, in milliseconds.
    #[arg(long, default_value_t = 10)]
    txn_ms: u64,
    /// Folder for the logs of the daemons; without it they are dropped.
    #[arg(long)]
    logs: Option<PathBuf>,
}

/// Runs a take-over for each number of ends and prints the table.
pub async fn run(args: EndsArgs) -> Result<()> {
    let mut rows = Vec::new();
    for &ends in &args.ends {
        rows.push(run_one(ends, &args).await?);
    }
    let headings = [
        "ends",
        "from first poll to last acknowledgement ms",
        "from first poll to new start ms",
        "transactions",
        "started again",
    ];
    table::print(&headings, &rows);
    Ok(())
}

/// The store, the worker and two daemons.
struct UsersSite {
    store: Rc<RowStore>,
    worker: Rc<UsersWorker>,
    daemons: Vec<(Process, SocketAddr)>,
    configs: Vec<PathBuf>,
    _stop: watch::Sender<bool>,
}

async fn run_one(ends: usize, args: &EndsArgs) -> Result<Vec<String>> {
    let mut site = UsersSite::start(ends, args.logs.as_deref()).await?;
    for job in 0..ends.div_ceil(TASKS_PER_JOB) {
        let tasks = TASKS_PER_JOB.min(ends - job * TASKS_PER_JOB);
        site.submit(0, job, tasks).await?;
    }
    until("all tasks run", CONDITION_TIMEOUT, async || {
        site.worker.running() == ends
    })
    .await?;
    tokio::time::sleep(SETTLE_TIME).await;
    site.store.txn_time.set(Duration::from_millis(args.txn_ms));
    let owner = site
        .owner()
        .ok_or_else(|| eyre!("no daemon owns the shard"))?;
    site.daemons[owner].0.kill();
    site.worker.complete_all();
    let token = site.worker.token();
    until(
        "the next owner polls the worker",
        CONDITION_TIMEOUT,
        async || site.worker.token() > token,
    )
    .await?;
    let polled_at = Instant::now();
    let transactions = site.store.transactions();
    let late = site.submit(1 - owner, LATE_JOB, 1);
    let started = async {
        late.await?;
        until("a new task starts", CONDITION_TIMEOUT, async || {
            site.worker
                .started
                .borrow()
                .iter()
                .any(|(task, _)| task.starts_with(&id(LATE_JOB)))
        })
        .await?;
        Ok::<_, eyre::Report>(polled_at.elapsed())
    };
    let acknowledged = async {
        until("all ends are acknowledged", CONDITION_TIMEOUT, async || {
            site.worker.acked_upto() >= ends as u64
        })
        .await?;
        Ok::<_, eyre::Report>((
            polled_at.elapsed(),
            site.store.transactions() - transactions,
        ))
    };
    let (started, acknowledged) = futures::future::try_join(started, acknowledged).await?;
    let again = site.worker.started.borrow().len() - ends - 1;
    Ok(vec![
        ends.to_string(),
        acknowledged.0.as_millis().to_string(),
        started.as_millis().to_string(),
        acknowledged.1.to_string(),
        again.to_string(),
    ])
}

fn id(job: usize) -> String {
    format!("{job:016x}")
}

impl UsersSite {
    /// Starts everything and waits until the daemons are ready. The worker has room for this many tasks and one more.
    async fn start(tasks: usize, logs: Option<&Path>) -> Result<Self> {
        let (stop, stopped) = watch::channel(false);
        let store = Rc::new(RowStore::default());
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store_address = listener.local_addr()?;
        actix_rt::spawn(Rc::clone(&store).serve(listener, stopped.clone()));
        let worker = UsersWorker::new("i-0", 1_000);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let mut entry = worker.entry(&listener.local_addr()?.to_string(), "ready");
        entry["capacity"] = json!({ "cpu": tasks + 1, "memMb": tasks + 1, "gpu": 0 });
        actix_rt::spawn(Rc::clone(&worker).serve(listener, stopped));
        store.put("servers", "i-0", &entry);
        store.put("op", "config", &catalogue("maps", HOST, "/maps/"));
        let mut site = Self {
            store,
            worker,
            daemons: Vec::new(),
            configs: Vec::new(),
            _stop: stop,
        };
        for nth in 0..2 {
            let log = match logs {
                Some(folder) => {
                    File::create(folder.join(format!("ends-{tasks}-edge-{nth}.log")))?.into()
                }
                None => Stdio::null(),
            };
            site.add_daemon(nth, store_address, log).await?;
        }
        until("a daemon owns the shard", CONDITION_TIMEOUT, async || {
            site.owner().is_some()
        })
        .await?;
        Ok(site)
    }

    async fn add_daemon(&mut self, nth: usize, store: SocketAddr, log: Stdio) -> Result<()> {
        let [callers, ready, peers, metrics] = std::array::from_fn(|_| free_address());
        let settings = format!(
            r#"adapter = "platform"

[daemon]
name = "edge-{nth}"
data_centre = "karen"
callers = "{callers}"
ready = "{ready}"
peers = "{peers}"
seeds = ""
metrics = "{metrics}"
cpu_share = 0.25

[store]
address = "{store}"

[bounds]
longest_lease_ms = 6000
remember_jobs_s = 120
killed_after_s = 6
"#
        );
        let path = env::temp_dir().join(format!(
            "lapisdrum-ends-{:016x}.toml",
            rand::random::<u64>()
        ));
        fs::write(&path, settings)?;
        self.daemons.push((Daemon::process(&path, log)?, callers));
        self.configs.push(path);
        until("the daemon is ready", CONDITION_TIMEOUT, async || {
            let status = site::status(Method::GET, ready, "/ready", None).await;
            status.is_ok_and(|status| status == StatusCode::OK)
        })
        .await
    }

    /// Index of the daemon that the lease row of the shard names.
    fn owner(&self) -> Option<usize> {
        let row = self.store.value("owners", "shard-0", "lease")?;
        let name = row["holder"]["daemon"].as_str()?;
        name.strip_prefix("edge-")?.parse().ok()
    }

    /// Submits a job of tasks that run until they are completed by the experiment, and retries until it is accepted.
    async fn submit(&self, daemon: usize, job: usize, tasks: usize) -> Result<()> {
        let body = json!({
            "spec": TASK_MS.to_string(),
            "steps": [{ "count": tasks, "cpu": 1, "memMb": 1, "estimateMs": TASK_MS }],
        });
        let path = format!("/maps/{}", id(job));
        let front = self.daemons[daemon].1;
        until("the job is accepted", CONDITION_TIMEOUT, async || {
            let status = site::status(Method::POST, front, &path, Some((HOST, &body))).await;
            status.is_ok_and(|status| status == StatusCode::OK)
        })
        .await?;
        ensure!(tasks <= TASKS_PER_JOB, "too many tasks in a job");
        Ok(())
    }
}

impl Drop for UsersSite {
    fn drop(&mut self) {
        for config in &self.configs {
            let _ = fs::remove_file(config);
        }
    }
}
