//! A small deployment: the store, workers, daemons and what the operator writes.

use crate::{
    caller::{self, Response},
    daemons::{Daemon, Ports},
    record::Record,
    store::Store,
    worker::{Runs, Worker},
};
use serde_json::{Value, json};
use std::{cell::Cell, path::Path, rc::Rc, time::Duration};
use tokio::{net::TcpListener, sync::watch};

/// Host and prefix of the queue.
pub const HOST: &str = "trail.example";
pub const PREFIX: &str = "/trail/";

/// A running deployment.
pub struct Site {
    pub record: Rc<Record>,
    pub store: Rc<Store>,
    pub runs: Runs,
    pub workers: Vec<Rc<Worker>>,
    pub daemons: Vec<Rc<Daemon>>,
    next: Cell<usize>,
    _stop: watch::Sender<bool>,
}

impl Site {
    /// Starts everything; false if the daemons don't become ready.
    pub async fn start(dir: &Path, record: Rc<Record>, daemons: usize, workers: usize) -> Option<Self> {
        let stop = watch::Sender::new(false);
        let store = Store::new(Rc::clone(&record));
        let listener = TcpListener::bind("127.0.0.1:0").await.ok()?;
        let address = listener.local_addr().ok()?.to_string();
        actix_rt::spawn(Rc::clone(&store).serve(listener, stop.subscribe()));
        store.put("op", "config", &config());
        let runs = Runs::default();
        let mut started = Vec::new();
        for nth in 0..workers {
            let worker = Worker::new(&format!("i-{nth}"), &format!("r1-{}", nth / 3), 32_000, &runs, &record);
            let listener = TcpListener::bind("127.0.0.1:0").await.ok()?;
            let address = listener.local_addr().ok()?.to_string();
            actix_rt::spawn(Rc::clone(&worker).serve(listener));
            started.push(Rc::clone(&worker));
            actix_rt::spawn(beat(worker, Rc::clone(&store), address));
        }
        let ports = Ports::pick();
        let zones = ["westlands", "karen", "kilimani"];
        let daemons: Vec<_> = (0..daemons)
            .map(|nth| Daemon::new(dir, nth, daemons, zones[nth % zones.len()], &ports, &address))
            .collect();
        for daemon in &daemons {
            daemon.start();
            actix_rt::spawn(Rc::clone(daemon).supervise(Rc::clone(&record)));
        }
        let site = Self { record, store, runs, workers: started, daemons, next: Cell::new(0), _stop: stop };
        for _ in 0..100 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            if site.are_ready().await && site.owner().is_some() {
                site.record.say("all daemons are ready");
                return Some(site);
            }
        }
        site.end();
        None
    }

    async fn are_ready(&self) -> bool {
        for daemon in &self.daemons {
            let answer = caller::call(&daemon.ready, "GET", HOST, "/ready", "").await;
            if answer.is_none_or(|answer| answer.status != 200) {
                return false;
            }
        }
        true
    }

    /// The daemon that the lease row of the first shard names.
    pub fn owner(&self) -> Option<&Rc<Daemon>> {
        let row = self.store.value("owners", "shard-0", "lease")?;
        let name = row["holder"]["daemon"].as_str()?;
        self.daemons.iter().find(|daemon| daemon.name == name)
    }

    /// A request of a caller at the next daemon in turn.
    pub async fn call(&self, method: &str, id: &str, body: &str) -> Option<Response> {
        let nth = self.next.get();
        self.next.set(nth + 1);
        let daemon = &self.daemons[nth % self.daemons.len()];
        caller::call(&daemon.front, method, HOST, &format!("{PREFIX}{id}"), body).await
    }

    /// Submits a job as requesters do: after no response, a 502 or a 504 the same ID comes again at
    /// another daemon, after a 429 or 503 too, as the requester's choice; `tries` in all.
    pub async fn submit(&self, id: &str, body: &str, tries: usize) -> Option<u16> {
        let mut last = None;
        for _ in 0..tries {
            let answer = self.call("POST", id, body).await;
            last = answer.as_ref().map(|answer| answer.status);
            if last.is_some_and(|status| (200..300).contains(&status) || (400..429).contains(&status)) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        last
    }

    /// Ends all processes that were started.
    pub fn end(&self) {
        self.daemons.iter().for_each(|daemon| daemon.end());
    }
}

/// A worker writes its entry about every `heartbeatMs`.
async fn beat(worker: Rc<Worker>, store: Rc<Store>, address: String) {
    let (mut seq, mut silent) = (0, 0);
    loop {
        seq += 1;
        // After three heartbeat intervals of silence the platform removes the entry.
        match worker.is_down.get() || worker.is_cut.get() {
            true => silent += 1,
            false => silent = 0,
        }
        match silent {
            0 => store.put("servers", &worker.id, &worker.entry(&address, seq)),
            3 => store.remove("servers", &worker.id),
            _ => {}
        }
        worker.end_due_runs();
        tokio::time::sleep(Duration::from_millis(1_100)).await;
    }
}

fn config() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "trail", "host": HOST, "prefix": PREFIX, "service": "trail", "priority": 0,
            "attempts": 2, "stretch": 2.0, "targetCompletionMs": 1000,
        }],
        "services": [{ "name": "trail", "admissionCheck": false }],
        "limits": { "maxBodyBytes": 262_144 },
    })
}
