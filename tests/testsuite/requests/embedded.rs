//! A platform, workers and daemons in the test's own process, so that a test can inspect their
//! state.

use crate::support::{http, wait};
use actix_http::Method;
use actix_rt::{net::TcpListener, task::JoinHandle};
use lapisdrum::{
    api::client::DaemonClient,
    core::{catalogue::RawEntry, size::Size},
    daemon,
    settings::Settings,
    util::http::wait_true,
};
use lapisdrum_standins::{
    platform::server::Platform,
    site::{self, DaemonPlan},
    worker::{
        link::Link,
        server::{Worker, WorkerSwitches},
    },
};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::sync::watch;

pub(crate) const LIMIT: Duration = Duration::from_secs(30);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Slots of a worker, as in the stand-ins' host entry.
pub(crate) const SLOTS: u32 = 8;
pub(crate) const CAPACITY: Size = Size {
    millicores: 16_000,
    memory_mb: 60_000,
    accelerators: 0,
};

pub(crate) struct EmbeddedDaemon {
    pub(crate) plan: DaemonPlan,
    stop: watch::Sender<bool>,
    run: Option<JoinHandle<eyre::Result<()>>>,
}

impl EmbeddedDaemon {
    pub(crate) fn client(&self) -> DaemonClient {
        DaemonClient::new(&self.plan.callers.to_string(), CALL_TIMEOUT)
    }

    /// Requests a graceful end, as SIGTERM does.
    pub(crate) fn request_stop(&self) {
        self.stop.send_replace(true);
    }

    pub(crate) async fn ended(&mut self) {
        let run = self.run.take().expect("it was not awaited before");
        run.await.expect("no panic").expect("a graceful end");
    }

    /// Requests one run of `entry`.
    pub(crate) async fn ask(
        &self,
        entry: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<http::Raw, String> {
        let path = format!("/v1/run/{entry}");
        let body = body.to_owned();
        http::send(Method::POST, self.plan.callers, &path, headers, body).await
    }
}

pub(crate) struct EmbeddedWorker {
    pub(crate) worker: Rc<Worker>,
    pub(crate) link: Rc<Link>,
}

impl EmbeddedWorker {
    pub(crate) fn switch(&self, switch: impl FnOnce(&mut WorkerSwitches)) {
        switch(&mut self.worker.switches.borrow_mut());
    }

    pub(crate) fn runs(&self) -> Vec<String> {
        self.worker.log.borrow().requests.clone()
    }
}

pub(crate) struct EmbeddedSite {
    pub(crate) platform: Rc<Platform>,
    pub(crate) daemons: Vec<EmbeddedDaemon>,
    pub(crate) workers: Vec<EmbeddedWorker>,
    _stop: watch::Sender<bool>,
}

impl EmbeddedSite {
    /// Starts `daemons` daemons and `workers` workers in each of the data centres.
    pub(crate) async fn start(data_centres: &[&str], daemons: usize, workers: usize) -> Self {
        let (stop, stopped) = watch::channel(false);
        let platform = Rc::new(Platform::default());
        let (listener, address) = listen().await;
        actix_rt::spawn(Rc::clone(&platform).serve(listener, stopped.clone()));
        let mut site = Self {
            platform,
            daemons: Vec::new(),
            workers: Vec::new(),
            _stop: stop,
        };
        for dc in data_centres {
            for n in 0..workers {
                site.start_worker(dc, n, &stopped).await;
            }
            for n in 0..daemons {
                let plan = DaemonPlan::new(&format!("{dc}-{n}"), dc, address);
                site.daemons.push(start_daemon(plan));
            }
        }
        for daemon in &site.daemons {
            let client = daemon.client();
            wait::until("daemons are ready", LIMIT, async || client.is_ready().await).await;
        }
        site
    }

    async fn start_worker(&mut self, dc: &str, n: usize, stopped: &watch::Receiver<bool>) {
        let worker = Worker::new(CAPACITY, SLOTS, WorkerSwitches::default());
        let (listener, behind) = listen().await;
        actix_rt::spawn(Rc::clone(&worker).serve(listener, stopped.clone()));
        let link = Rc::new(Link::default());
        let (listener, address) = listen().await;
        actix_rt::spawn(Rc::clone(&link).serve(listener, behind));
        let host = site::host(
            &format!("{dc}-worker-{n}"),
            address,
            dc,
            &format!("{dc}-rack-{n}"),
        );
        self.platform.hosts.borrow_mut().push(host);
        self.workers.push(EmbeddedWorker { worker, link });
    }

    /// Adds an entry and waits until every daemon serves it.
    pub(crate) async fn serve_entry(&self, raw: &RawEntry) {
        let done = self.daemons[0].client().put_entry(raw, None).await;
        done.expect("the entry is accepted");
        for daemon in &self.daemons {
            wait::until("every daemon serves the entry", LIMIT, async || {
                let asked = daemon.ask(&raw.name, &[], "warm-up").await;
                asked.is_ok_and(|answer| answer.status.is_success())
            })
            .await;
        }
        for worker in &self.workers {
            worker.worker.log.borrow_mut().requests.clear();
        }
    }

    /// Ids of the requests that ran, on all workers.
    pub(crate) fn runs(&self) -> Vec<String> {
        self.workers.iter().flat_map(EmbeddedWorker::runs).collect()
    }

    pub(crate) fn switch_workers(&self, switch: impl Fn(&mut WorkerSwitches)) {
        for worker in &self.workers {
            worker.switch(&switch);
        }
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    (listener, address)
}

fn start_daemon(plan: DaemonPlan) -> EmbeddedDaemon {
    let cfg = Settings::parse("test", &plan.settings()).expect("settings of a test");
    let (stop, stopped) = watch::channel(false);
    let run = actix_rt::spawn(daemon::run(cfg, wait_true(stopped)));
    EmbeddedDaemon {
        plan,
        stop,
        run: Some(run),
    }
}

/// A latency-critical entry.
pub(crate) fn entry(name: &str, is_idempotent: bool, deadline_ms: u64) -> RawEntry {
    RawEntry {
        name: name.to_owned(),
        owner: "lab".to_owned(),
        class: "latency-critical".to_owned(),
        millicores: 500,
        memory_mb: 100,
        accelerators: 0,
        concurrency: Some(1_000),
        rate_per_s: None,
        queue: Some(1_000),
        body_bytes: None,
        idempotent: is_idempotent,
        deadline_ms: Some(deadline_ms),
        hold_ms: None,
        max_failures: None,
        priority: None,
        retired: false,
    }
}
