//! The binary on the users' platform: daemons as processes with settings from the deployment's template,
//! the store and the workers as stand-ins that speak its wire format.

use crate::support::{
    http,
    process::{Process, lapisdrum_binary},
    wait,
};
use actix_http::Method;
use actix_rt::net::TcpListener;
use indexmap::IndexMap;
use lapisdrum::{
    core::time::WorkerMillis,
    platform::{client::PlatformClient, store::TableStore, workers::HttpWorkers},
    sched::{
        edge::{OrderOutcome, PollOrder, PollResponse, StartOrder, Store, Workers},
        event::RunId,
        job::{JobId, RunNumber, TaskId},
    },
    util::http::pool::{ConnectionMetrics, PeerKind},
};
use lapisdrum_standins::{
    site,
    users::{rows::RowStore, worker::UsersWorker},
};
use serde_json::{Value, json};
use std::{
    fs,
    net::SocketAddr,
    process::{Command, Stdio},
    rc::Rc,
    time::Duration,
};
use tempfile::TempDir;
use tokio::sync::watch;

pub(super) const LIMIT: Duration = Duration::from_secs(20);
const HOST: (&str, &str) = ("host", "trail.example");

/// Descriptors of a daemon, as the platform states them.
const DESCRIPTORS: u32 = 4_096;

/// The template's section for an optional value, filled in.
fn with_value(settings: &str, name: &str, value: &str) -> String {
    settings
        .replace(&format!("{{{{#{name}}}}}"), "")
        .replace(&format!("{{{{/{name}}}}}"), "")
        .replace(&format!("{{{{{name}}}}}"), value)
}

/// A client of workers, as a daemon has it.
pub(super) fn worker_client() -> PlatformClient {
    PlatformClient::new(PeerKind::Worker, &ConnectionMetrics::default())
}

/// A client of the store, as a daemon has it.
pub(super) fn store_client() -> PlatformClient {
    PlatformClient::new(PeerKind::Store, &ConnectionMetrics::default())
}

/// A store, workers and daemons.
pub(super) struct Site {
    pub(super) store: Rc<RowStore>,
    workers: IndexMap<String, (Rc<UsersWorker>, SocketAddr)>,
    pub(super) daemons: Vec<(Process, SocketAddr, SocketAddr)>,
    /// Where each daemon serves its metrics.
    pub(super) metrics: Vec<SocketAddr>,
    dir: TempDir,
    _stop: watch::Sender<bool>,
}

impl Site {
    /// A site with three workers and the given number of daemons, which all have the first catalogue.
    async fn start(daemons: usize) -> Self {
        Self::start_with(daemons, |_| {}).await
    }

    /// Like [`Self::start`], with entries that stand in the store before the first daemon starts.
    pub(super) async fn start_with(daemons: usize, add_entries: impl FnOnce(&RowStore)) -> Self {
        let run = || {
            let mut cmd = Command::new(lapisdrum_binary());
            cmd.stdout(Stdio::null());
            cmd
        };
        Self::start_by(run, DESCRIPTORS, daemons, add_entries).await
    }

    /// Like [`Self::start_with`], with daemons that are started by a command of the caller's, and told that they have
    /// so many descriptors.
    pub(super) async fn start_by(
        run: impl Fn() -> Command,
        descriptors: u32,
        daemons: usize,
        add_entries: impl FnOnce(&RowStore),
    ) -> Self {
        let (stop, stopped) = watch::channel(false);
        let store = Rc::new(RowStore::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        actix_rt::spawn(Rc::clone(&store).serve(listener, stopped.clone()));
        let mut workers = IndexMap::new();
        for at in 0..3 {
            let id = format!("i-{at}");
            let worker = UsersWorker::new(&id, 1_000 + at);
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            actix_rt::spawn(Rc::clone(&worker).serve(listener, stopped.clone()));
            store.put("servers", &id, &worker.entry(&address.to_string(), "ready"));
            workers.insert(id, (worker, address));
        }
        store.put(
            "servers",
            "stranger",
            &json!({ "service": 7, "state": "dancing" }),
        );
        store.put("op", "config", &catalogue(1, &["/maps/"]));
        add_entries(&store);
        let mut site = Self {
            store,
            workers,
            daemons: Vec::new(),
            metrics: Vec::new(),
            dir: TempDir::new().expect("a temporary folder"),
            _stop: stop,
        };
        for _ in 0..daemons {
            site.add_daemon(run(), descriptors, address);
        }
        for at in 0..daemons {
            let ready = site.daemons[at].2;
            wait::until("the daemon is ready", LIMIT, async || {
                let answer = http::send(Method::GET, ready, "/ready", &[], "").await;
                answer.is_ok_and(|answer| answer.status == 200)
            })
            .await;
        }
        site
    }

    fn add_daemon(&mut self, mut cmd: Command, descriptors: u32, store: SocketAddr) {
        let name = format!("edge-{}", self.daemons.len());
        let (front, ready) = (site::free_address(), site::free_address());
        let (peers, metrics) = (site::free_address(), site::free_address());
        let template = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/daemon.toml");
        let settings = fs::read_to_string(template)
            .expect("the template")
            .replace("{{node}}", &name)
            .replace("{{zone}}", "karen")
            .replace("{{listen.front}}", &front.to_string())
            .replace("{{listen.ready}}", &ready.to_string())
            .replace("{{ip}}:{{portRange.0}}", &peers.to_string())
            .replace("{{ip}}:{{portRange.1}}", &metrics.to_string())
            .replace("{{seeds}}", "127.0.0.1:1,127.0.0.1:2")
            .replace("{{platform.address}}", &store.to_string())
            .replace("{{limits.cpuShare}}", "0.25")
            .replace("{{bounds.holdMaxMs}}", "6000")
            .replace("{{bounds.status_s}}", "120")
            .replace("{{bounds.graceS}}", "6");
        let descriptors = descriptors.to_string();
        let settings = [
            ("limits.memoryMb", "160"),
            ("limits.maxFds", &descriptors),
            ("bounds.stopTimeoutMs", "900"),
            ("bounds.restoreMs", "900"),
            ("bounds.harmMs", "900"),
            ("bounds.evacuateMs", "900"),
            ("bounds.drainMs", "900"),
            ("bounds.farFactor", "2"),
        ]
        .iter()
        .fold(settings, |settings, (name, value)| {
            with_value(&settings, name, value)
        });
        let path = self.dir.path().join(&name);
        fs::write(&path, settings).expect("settings");
        let process = Process::spawn(cmd.args(["run", "--config"]).arg(&path));
        self.daemons.push((process, front, ready));
        self.metrics.push(metrics);
    }

    async fn call(&self, daemon: usize, method: Method, path: &str, body: &Value) -> (u16, Value) {
        let front = self.daemons[daemon].1;
        let body = match body {
            Value::Null => String::new(),
            body => body.to_string(),
        };
        match http::send(method, front, path, &[HOST], body).await {
            Ok(answer) => (answer.status.as_u16(), answer.json()),
            Err(_) => (0, Value::Null),
        }
    }

    /// Submits a job, and retries until it is accepted, as callers do.
    pub(super) async fn submit(&self, daemon: usize, id: &str, job: &Value) {
        let path = format!("/maps/{id}");
        wait::until("the job is accepted", LIMIT, async || {
            self.call(daemon, Method::POST, &path, job).await.0 == 200
        })
        .await;
    }

    pub(super) async fn until_state(&self, daemon: usize, id: &str, state: &str) {
        let path = format!("/maps/{id}");
        wait::until(&format!("the job is {state}"), LIMIT, async || {
            let (status, shown) = self.call(daemon, Method::GET, &path, &Value::Null).await;
            status == 200 && shown["state"] == state
        })
        .await;
    }

    pub(super) fn running(&self) -> usize {
        self.workers
            .values()
            .map(|(worker, _)| worker.running())
            .sum()
    }

    pub(super) fn started(&self) -> usize {
        let started = self.workers.values().map(|(w, _)| w.started.borrow().len());
        started.sum()
    }
}

fn catalogue(version: u64, prefixes: &[&str]) -> Value {
    let route = |prefix: &&str| {
        json!({
            "name": format!("r{prefix}"), "host": "trail.example", "prefix": prefix, "type": "unsafe",
            "timeoutMs": 3000, "targetCompletionMs": 250, "priority": 0, "service": "trail",
            "attempts": 2, "stretch": 1.5,
        })
    };
    let routes: Vec<Value> = prefixes.iter().map(route).collect();
    json!({
        "version": version, "routes": routes, "services": [{ "name": "trail" }],
        "limits": { "maxBodyBytes": 262144 },
    })
}

pub(super) fn two_steps(spec: &str) -> Value {
    json!({
        "spec": spec,
        "steps": [
            { "count": 3, "cpu": 1000, "memMb": 500, "estimateMs": 200 },
            { "count": 2, "cpu": 1000, "memMb": 500, "estimateMs": 200, "after": [0] },
        ],
    })
}

pub(super) fn long_running_job() -> Value {
    json!({
        "spec": "until stopped",
        "steps": [{ "count": 2, "cpu": 1000, "memMb": 500, "longRunning": true, "maxPerServer": 1 }],
    })
}

/// Submits a graph at one daemon and reads its state at another, then cancels a second, long-running
/// job. An unknown job and an unknown path must get different statuses.
#[actix_rt::test]
async fn a_job_is_submitted_run_shown_and_cancelled() {
    let site = Site::start(2).await;
    site.submit(0, "00000000000000a1", &two_steps("200")).await;
    site.until_state(1, "00000000000000a1", "completed").await;
    assert_eq!(site.started(), 5);
    site.submit(1, "00000000000000a1", &two_steps("200")).await;
    site.submit(0, "00000000000000b2", &long_running_job())
        .await;
    wait::until("it runs", LIMIT, async || site.running() == 2).await;
    let (status, waiting) = site.call(1, Method::GET, "/maps/", &Value::Null).await;
    assert_eq!((status, &waiting["pending"]), (200, &json!(0)));
    let cancelled = site
        .call(1, Method::DELETE, "/maps/00000000000000b2", &Value::Null)
        .await;
    assert_eq!(cancelled.0, 200);
    wait::until("its tasks have ended", LIMIT, async || site.running() == 0).await;
    site.until_state(0, "00000000000000b2", "cancelled").await;
    assert_eq!(site.started(), 7, "a repeat of an id starts nothing");
    let unknown = site
        .call(0, Method::GET, "/maps/00000000000000ff", &Value::Null)
        .await;
    assert_eq!(unknown.0, 410);
    assert_eq!(
        site.call(0, Method::GET, "/other/", &Value::Null).await.0,
        404
    );
    let malformed = site
        .call(
            0,
            Method::POST,
            "/maps/00000000000000cc",
            &json!({ "steps": [] }),
        )
        .await;
    assert_eq!(malformed.0, 400);
}

/// An operator adds a path and removes it again. Both changes must be in force within two seconds, and
/// an older catalogue that appears later must change nothing.
#[actix_rt::test]
async fn a_new_catalogue_is_in_force_within_two_seconds() {
    let site = Site::start(1).await;
    let limit = Duration::from_secs(2);
    let status = async || site.call(0, Method::GET, "/more/", &Value::Null).await.0;
    assert_eq!(status().await, 404);
    site.store
        .put("op", "config", &catalogue(5, &["/maps/", "/more/"]));
    wait::until("the path is known", limit, async || status().await == 200).await;
    site.store.put("op", "config", &catalogue(3, &["/maps/"]));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(status().await, 200, "a catalogue never goes back");
    site.store.put("op", "config", &catalogue(9, &["/maps/"]));
    wait::until("the path is removed", limit, async || status().await == 404).await;
}

/// The platform signals a changed settings file, and then stops the daemon. After the first signal the
/// daemon must keep serving; after the second it reports at once that it isn't ready, still answers
/// callers, and exits within its grace period.
#[actix_rt::test]
async fn a_hangup_ends_nothing_and_a_stop_ends_gracefully() {
    let mut site = Site::start(1).await;
    site.daemons[0].0.signal("HUP");
    site.submit(0, "00000000000000a1", &two_steps("50")).await;
    site.until_state(0, "00000000000000a1", "completed").await;
    site.daemons[0].0.signal("TERM");
    let ready = site.daemons[0].2;
    wait::until("it isn't ready", LIMIT, async || {
        let answer = http::send(Method::GET, ready, "/ready", &[], "").await;
        answer.is_ok_and(|answer| answer.status == 503)
    })
    .await;
    let (status, _) = site.call(0, Method::GET, "/other/", &Value::Null).await;
    assert_eq!(status, 404, "callers are still answered");
    let process = &mut site.daemons[0].0;
    wait::until("it has ended", Duration::from_secs(6), async || {
        process.exit_status() == Some(0)
    })
    .await;
}

/// Two seconds after a worker has reported that it drains, it must get no more tasks.
#[actix_rt::test]
async fn a_draining_worker_gets_no_task() {
    let site = Site::start(1).await;
    site.submit(0, "00000000000000a1", &two_steps("50")).await;
    site.until_state(0, "00000000000000a1", "completed").await;
    let (leaving, address) = &site.workers["i-0"];
    let entry = leaving.entry(&address.to_string(), "draining");
    site.store.put("servers", "i-0", &entry);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = leaving.started.borrow().len();
    for at in 0..6 {
        let id = format!("00000000000000c{at}");
        site.submit(0, &id, &two_steps("50")).await;
        site.until_state(0, &id, "completed").await;
    }
    assert_eq!(leaving.started.borrow().len(), before);
}

/// Guards against evacuations that don't reach a daemon over the platform's wire format, or never end.
#[actix_rt::test]
async fn an_evacuated_data_centre_gets_no_task_until_it_is_taken_back() {
    let site = Site::start(1).await;
    site.submit(0, "00000000000000a1", &two_steps("50")).await;
    site.until_state(0, "00000000000000a1", "completed").await;
    site.store.put("op", "evacuate/karen", &json!({}));
    let (body, front) = (two_steps("50").to_string(), site.daemons[0].1);
    let mut ids = 0xd1..;
    wait::until("a new job is refused", LIMIT, async || {
        let path = format!("/maps/{:016x}", ids.next().unwrap_or_default());
        let refused = http::send(Method::POST, front, &path, &[HOST], body.clone()).await;
        refused.is_ok_and(|a| a.status == 503 && a.header("retry-after").is_some())
    })
    .await;
    let before = site.started();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(site.started(), before);
    site.store.remove("op", "evacuate/karen");
    site.submit(0, "0000000000000fff", &two_steps("50")).await;
    site.until_state(0, "0000000000000fff", "completed").await;
}

/// Guards against lost or repeated tasks when the owner is killed: the other daemon takes over, the tasks
/// keep running, nothing starts twice, and the job is completed.
#[actix_rt::test]
async fn a_killed_owner_is_replaced() {
    let mut site = Site::start(2).await;
    site.submit(0, "00000000000000a1", &two_steps("4000")).await;
    wait::until("it runs", LIMIT, async || site.running() == 3).await;
    let owner = owner_of(&site).await;
    site.daemons[owner].0.kill();
    let other = 1 - owner;
    site.until_state(other, "00000000000000a1", "completed")
        .await;
    assert_eq!(site.started(), 5);
}

/// The daemon that owns the shard, according to the lease row in the store.
async fn owner_of(site: &Site) -> usize {
    let (status, _) = site.call(0, Method::GET, "/maps/", &Value::Null).await;
    assert_eq!(status, 200);
    let lease = site
        .store
        .value("owners", "shard-0", "lease")
        .expect("a lease");
    let holder = lease["holder"]["daemon"]
        .as_str()
        .expect("a holder")
        .to_owned();
    usize::from(holder == "edge-1")
}

/// While the store refuses every call for some seconds, a caller is refused at once with a `Retry-After`
/// and running tasks keep running; afterwards jobs are accepted again.
#[actix_rt::test]
async fn a_store_outage_refuses_jobs_and_ends_no_task() {
    let site = Site::start(1).await;
    site.submit(0, "00000000000000b2", &long_running_job())
        .await;
    wait::until("it runs", LIMIT, async || site.running() == 2).await;
    site.store.is_down.set(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    // The first submission discovers the outage; its outcome is unknown, so the response isn't checked.
    site.call(0, Method::POST, "/maps/00000000000000d1", &two_steps("50"))
        .await;
    let front = site.daemons[0].1;
    let body = two_steps("50").to_string();
    let path = "/maps/00000000000000d2";
    let refused = http::send(Method::POST, front, path, &[HOST], body)
        .await
        .expect("an answer");
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(site.running(), 2);
    site.store.is_down.set(false);
    site.submit(0, "00000000000000d3", &two_steps("50")).await;
    site.until_state(0, "00000000000000d3", "completed").await;
    assert_eq!(site.started(), 2 + 5 + 5);
}

/// Polls a worker with many ended runs, of which those up to `acked_upto` are acknowledged.
async fn poll_ends(workers: &HttpWorkers, address: &str, acked_upto: u64) -> PollResponse {
    let order = PollOrder {
        token: 1,
        acked_upto,
        lease_until: None,
        wait: Duration::ZERO,
    };
    match workers.poll(address, "i-0", &order).await {
        OrderOutcome::Done(response) => response,
        other => panic!("{other:?}"),
    }
}

/// Guards against a poll response that counts as complete although the worker lists only the first of its ends.
#[actix_rt::test]
async fn a_full_list_of_ends_is_not_complete() {
    let (_stop, stopped) = watch::channel(false);
    let worker = UsersWorker::new("i-0", 1_000);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    actix_rt::spawn(Rc::clone(&worker).serve(listener, stopped));
    let workers = HttpWorkers::new(worker_client());
    for index in 0..501 {
        let order = StartOrder {
            run: RunId {
                task: TaskId {
                    job: JobId(1),
                    occurrence: 0,
                    step: 0,
                    index,
                },
                run: RunNumber(1),
            },
            payload: "0".to_owned(),
            token: 1,
            lease_until: WorkerMillis(60_000),
            checkpoint: None,
            ticket: None,
        };
        let started = workers.start(&address, "i-0", &order).await;
        assert!(matches!(started, OrderOutcome::Done(_)), "{started:?}");
    }
    for (acked_upto, listed, is_complete) in [(0, 500, false), (1, 500, false), (2, 499, true)] {
        let response = poll_ends(&workers, &address, acked_upto).await;
        assert_eq!(response.ended.len(), listed);
        assert_eq!(response.lists_all_ends, is_complete);
    }
}

/// Guards against a read of several pages that returns the first of them as if they were all, when a page leads no further.
#[actix_rt::test]
async fn rows_of_which_only_the_first_pages_can_be_read_are_an_error() {
    let (_stop, stopped) = watch::channel(false);
    let rows = Rc::new(RowStore::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(Rc::clone(&rows).serve(listener, stopped));
    for at in 0..5 {
        rows.put("status", &format!("row-{at}"), &json!(at));
    }
    let store = TableStore::new(store_client(), &address);
    for (page_rows, read) in [(500, Some(5)), (2, Some(5)), (1, None)] {
        rows.max_page_rows.set(page_rows);
        let found = store.rows("status", "", "").await;
        assert_eq!(
            found.ok().map(|rows| rows.len()),
            read,
            "pages of {page_rows}"
        );
    }
}

/// Guards against a list of objects whose later pages are left out, so that objects without a pointer are never deleted.
#[actix_rt::test]
async fn all_pages_of_object_names_are_read() {
    let (_stop, stopped) = watch::channel(false);
    let rows = Rc::new(RowStore::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(Rc::clone(&rows).serve(listener, stopped));
    let store = TableStore::new(store_client(), &address);
    let names = ["shard-1-400-a", "shard-1-800-a", "shard-1-900-b"];
    for name in names.iter().chain(&["shard-10-400-a"]) {
        let stored = store.put_object(name, "state".into()).await;
        assert_eq!(stored, Ok(()));
    }
    for page_names in [1_000, 3, 2, 1] {
        rows.max_page_names.set(page_names);
        let found = store.list_objects("shard-1-").await;
        assert_eq!(found.expect("names"), names, "pages of {page_names}");
    }
    for _ in 0..2 {
        assert_eq!(store.delete_object(names[0]).await, Ok(()));
    }
    let found = store.list_objects("shard-1-").await;
    assert_eq!(found.expect("names"), names[1..]);
}
