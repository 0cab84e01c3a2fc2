//! The platform stand-in's HTTP server and its switches.

use super::table::Table;
use crate::traffic::{request_bytes, response_bytes};
use actix_http::{Method, StatusCode};
use actix_rt::net::TcpListener;
use bytes::Bytes;
use indexmap::IndexMap;
use lapisdrum::{
    store::wire::{HostWire, Txn},
    util::http::{self, BodyFault, HttpRequest, HttpResponse},
};
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
    time::Duration,
};
use tokio::sync::watch;

/// Largest body accepted, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;

/// Faults that the platform injects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformSwitches {
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Connections are closed without an answer, and nothing is done.
    pub down: bool,
    /// Writes take effect and are never answered.
    pub lose_answers: bool,
    /// How many of the next writes take effect and are never answered.
    pub lose_next: u32,
    /// Names of daemons whose calls have no effect and are never answered.
    pub cut: Vec<String>,
}

/// Calls and bytes served since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Committed transactions.
    pub writes: u64,
    /// Reads of the table: of one row, or of all rows under a prefix.
    pub reads: u64,
    /// Bytes of answers, headers included.
    pub read_bytes: u64,
    /// Bytes of calls received, headers included.
    pub write_bytes: u64,
}

/// The platform's state, shared with a test that embeds it.
#[derive(Default)]
pub struct Platform {
    /// The transactional table.
    pub table: RefCell<Table>,
    /// Committed transactions, in order, once a test has set it.
    pub committed: RefCell<Option<Vec<Txn>>>,
    /// Contents of the object store, by key.
    pub objects: RefCell<IndexMap<String, Bytes>>,
    /// Hosts in the membership list.
    pub hosts: RefCell<Vec<HostWire>>,
    /// Faults to inject.
    pub switches: RefCell<PlatformSwitches>,
    read_bytes: Cell<u64>,
    write_bytes: Cell<u64>,
}

impl Platform {
    /// Calls and bytes served since the start.
    pub fn counts(&self) -> PlatformCounts {
        let table = self.table.borrow();
        PlatformCounts {
            writes: table.writes,
            reads: table.reads,
            read_bytes: self.read_bytes.get(),
            write_bytes: self.write_bytes.get(),
        }
    }

    /// Serves on `listener` until `stop` turns true.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        http::serve(listener, MAX_BODY_BYTES, stop, move |read| {
            Rc::clone(&self).answer(read)
        })
        .await;
    }

    async fn answer(self: Rc<Self>, read: Result<HttpRequest, BodyFault>) -> HttpResponse {
        let Ok(req) = read else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        if let Some(path) = req.path.strip_prefix("/control/") {
            return self.control(path, &req);
        }
        let switches = self.switches.borrow().clone();
        if switches.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(switches.slow_ms)).await;
        }
        if switches.down || is_cut(&switches, &req) {
            return leave_unanswered().await;
        }
        let is_write = req.method != Method::GET;
        let answer = self.serve_call(&req);
        self.write_bytes
            .set(self.write_bytes.get() + request_bytes(&req));
        self.read_bytes
            .set(self.read_bytes.get() + response_bytes(&answer));
        if is_write && self.is_answer_lost() {
            return leave_unanswered().await;
        }
        answer
    }

    fn is_answer_lost(&self) -> bool {
        let mut switches = self.switches.borrow_mut();
        if switches.lose_next > 0 {
            switches.lose_next -= 1;
            return true;
        }
        switches.lose_answers
    }

    fn serve_call(&self, req: &HttpRequest) -> HttpResponse {
        let path = req.path.trim_start_matches("/v1/");
        match (&req.method, path.split_once('/')) {
            (&Method::POST, Some(("table", "txn"))) => self.txn(req),
            (&Method::GET, Some(("table", key))) => match self.table.borrow_mut().get(key) {
                Some(row) => HttpResponse::json(StatusCode::OK, &row),
                None => HttpResponse::empty(StatusCode::NOT_FOUND),
            },
            (&Method::GET, None) if path == "table" => {
                let prefix = req.query("prefix").unwrap_or_default();
                let rows = self.table.borrow_mut().list(prefix);
                HttpResponse::json(StatusCode::OK, &rows)
            }
            (&Method::GET, None) if path == "hosts" => self.list_hosts(req),
            (method, Some(("objects", key))) => self.object(method, key, req),
            _ => HttpResponse::empty(StatusCode::NOT_FOUND),
        }
    }

    fn list_hosts(&self, req: &HttpRequest) -> HttpResponse {
        let hosts = self.hosts.borrow();
        let dc = req.query("data_centre");
        let listed = hosts
            .iter()
            .filter(|host| dc.is_none_or(|dc| host.data_centre == dc));
        let answer = HttpResponse::json(StatusCode::OK, &listed.collect::<Vec<_>>());
        let mut hasher = DefaultHasher::new();
        answer.body.hash(&mut hasher);
        let tag = format!("\"{:016x}\"", hasher.finish());
        let answer = match req.header("if-none-match") == Some(&tag) {
            true => HttpResponse::empty(StatusCode::NOT_MODIFIED),
            false => answer,
        };
        answer.with("etag", tag)
    }

    fn txn(&self, req: &HttpRequest) -> HttpResponse {
        let Ok(txn) = req.json::<Txn>() else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        match self.table.borrow_mut().txn(&txn) {
            Ok(done) => {
                if let Some(committed) = &mut *self.committed.borrow_mut() {
                    committed.push(txn);
                }
                HttpResponse::json(StatusCode::OK, &done)
            }
            Err(conflict) => HttpResponse::json(StatusCode::CONFLICT, &conflict),
        }
    }

    fn object(&self, method: &Method, key: &str, req: &HttpRequest) -> HttpResponse {
        let mut objects = self.objects.borrow_mut();
        match *method {
            Method::PUT => {
                objects.insert(key.to_owned(), req.body.clone());
                HttpResponse::empty(StatusCode::OK)
            }
            Method::DELETE => {
                objects.swap_remove(key);
                HttpResponse::empty(StatusCode::OK)
            }
            _ => match objects.get(key) {
                Some(body) => HttpResponse::bytes(StatusCode::OK, body.clone()),
                None => HttpResponse::empty(StatusCode::NOT_FOUND),
            },
        }
    }

    /// Controls a stand-in that runs as a process: `PUT /control/{switches,hosts}` and
    /// `GET /control/counts`.
    fn control(&self, path: &str, req: &HttpRequest) -> HttpResponse {
        match path {
            "switches" => match req.json() {
                Ok(switches) => *self.switches.borrow_mut() = switches,
                Err(_) => return HttpResponse::empty(StatusCode::BAD_REQUEST),
            },
            "hosts" => match req.json() {
                Ok(hosts) => *self.hosts.borrow_mut() = hosts,
                Err(_) => return HttpResponse::empty(StatusCode::BAD_REQUEST),
            },
            "counts" => return HttpResponse::json(StatusCode::OK, &self.counts()),
            _ => return HttpResponse::empty(StatusCode::NOT_FOUND),
        }
        HttpResponse::empty(StatusCode::OK)
    }
}

fn is_cut(switches: &PlatformSwitches, req: &HttpRequest) -> bool {
    calling_daemon(req).is_some_and(|daemon| switches.cut.iter().any(|cut| cut == daemon))
}

/// The name of the calling daemon, from its `user-agent` header.
pub(crate) fn calling_daemon(req: &HttpRequest) -> Option<&str> {
    req.header("user-agent")?.strip_prefix("lapisdrum/")
}

/// Never completes, so that the caller runs into its own timeout.
async fn leave_unanswered() -> HttpResponse {
    std::future::pending().await
}
