//! Stand-in for the platform's store: rows, conditional transactions and raw objects, as PROTOCOL.md
//! describes them. One call may be given a lost answer and be performed late.

use crate::record::Record;
use actix_http::{Method, StatusCode};
use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use lapisdrum::util::http::{self, HttpRequest, HttpResponse};
use serde_json::{Value, json};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{net::TcpListener, sync::watch};

/// `rowBytes` of the settings.
const ROW_BYTES: usize = 65_536;
/// A call of `rows-tx` holds at most this much.
const TXN_BYTES: usize = 1_000_000;
/// A page of `rows-get` holds at most this much.
const PAGE_BYTES: usize = 1_000_000;
/// `blobBytes` of the settings.
const BLOB_BYTES: usize = 8_388_608;
/// `txMs` of the settings.
const TXN_TIME: Duration = Duration::from_millis(6);

type Key = (String, String, String);

/// A lost answer to the next transaction that writes to a table.
pub struct LateWrite {
    /// The table.
    pub table: &'static str,
    /// When the transaction is performed, if its condition still holds.
    pub after: Duration,
}

/// The store.
pub struct Store {
    rows: RefCell<BTreeMap<Key, (String, u64)>>,
    objects: RefCell<BTreeMap<String, Bytes>>,
    version: Cell<u64>,
    started_at: Instant,
    /// Armed fault; taken by the first call that fits.
    pub late: RefCell<Option<LateWrite>>,
    /// Whether the answer to the next release of a shard's lease is lost.
    pub loses_release: Cell<bool>,
    /// Whether the late call has been performed or has failed on its condition.
    pub late_is_over: Cell<bool>,
    record: Rc<Record>,
}

fn text(value: &Value, field: &str) -> String {
    value[field].as_str().unwrap_or_default().to_owned()
}

fn key_of(entry: &Value) -> Key {
    (text(entry, "table"), text(entry, "part"), text(entry, "key"))
}

impl Store {
    pub fn new(record: Rc<Record>) -> Rc<Self> {
        Rc::new(Self {
            rows: RefCell::default(),
            objects: RefCell::default(),
            version: Cell::new(0),
            started_at: Instant::now(),
            late: RefCell::default(),
            loses_release: Cell::new(false),
            late_is_over: Cell::new(false),
            record,
        })
    }

    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        http::serve(listener, 16 * 1024 * 1024, stop, move |read| {
            let store = Rc::clone(&self);
            async move {
                match read {
                    Ok(req) => store.answer(req).await,
                    Err(_) => HttpResponse::empty(StatusCode::BAD_REQUEST),
                }
            }
        })
        .await;
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.version.set(self.version.get() + 1);
        let at = (table.to_owned(), String::new(), key.to_owned());
        let row = (STANDARD.encode(value.to_string()), self.version.get());
        self.rows.borrow_mut().insert(at, row);
    }

    /// Removes a row as the platform does.
    pub fn remove(&self, table: &str, key: &str) {
        self.version.set(self.version.get() + 1);
        let at = (table.to_owned(), String::new(), key.to_owned());
        self.rows.borrow_mut().remove(&at);
    }

    /// Value of a row, if it is JSON.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<Value> {
        let at = (table.to_owned(), part.to_owned(), key.to_owned());
        let rows = self.rows.borrow();
        let raw = STANDARD.decode(&rows.get(&at)?.0).ok()?;
        serde_json::from_slice(&raw).ok()
    }

    /// First and last key of a table's part, and the number of its rows.
    pub fn range(&self, table: &str, part: &str) -> (usize, String, String) {
        let rows = self.rows.borrow();
        let keys = rows.keys().filter(|key| key.0 == table && key.1 == part);
        let keys: Vec<&String> = keys.map(|key| &key.2).collect();
        let at = |key: Option<&&String>| key.map_or_else(String::new, |key| (*key).clone());
        (keys.len(), at(keys.first()), at(keys.last()))
    }

    async fn answer(&self, req: HttpRequest) -> HttpResponse {
        let object = |prefix: &str| req.path.strip_prefix(prefix).map(str::to_owned);
        match (&req.method, req.path.as_str()) {
            (&Method::POST, "/rows-tx") => self.transact(&req).await,
            (&Method::GET, "/rows-get") => {
                tokio::time::sleep(Duration::from_millis(2)).await;
                self.get(&req)
            }
            (&Method::PUT, _) if object("/blob-put/").is_some() => {
                tokio::time::sleep(Duration::from_millis(25)).await;
                if req.body.len() > BLOB_BYTES {
                    return HttpResponse::empty(StatusCode::PAYLOAD_TOO_LARGE);
                }
                let name = object("/blob-put/").unwrap_or_default();
                self.objects.borrow_mut().insert(name, req.body.clone());
                HttpResponse::empty(StatusCode::OK)
            }
            (&Method::GET, _) if object("/blob-get/").is_some() => {
                tokio::time::sleep(Duration::from_millis(25)).await;
                let name = object("/blob-get/").unwrap_or_default();
                match self.objects.borrow().get(&name) {
                    Some(body) => HttpResponse::bytes(StatusCode::OK, body.clone()),
                    None => HttpResponse::empty(StatusCode::NOT_FOUND),
                }
            }
            (&Method::DELETE, _) if object("/blob-drop/").is_some() => {
                let name = object("/blob-drop/").unwrap_or_default();
                self.objects.borrow_mut().remove(&name);
                HttpResponse::empty(StatusCode::OK)
            }
            _ => HttpResponse::empty(StatusCode::NOT_FOUND),
        }
    }

    async fn transact(&self, req: &HttpRequest) -> HttpResponse {
        let Ok(body) = req.json::<Value>() else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        let empty = Vec::new();
        let put = body["setKeys"].as_array().unwrap_or(&empty);
        let late = self.late.borrow_mut().take_if(|late| {
            put.iter().any(|entry| text(entry, "table") == late.table)
        });
        let Some(late) = late else {
            tokio::time::sleep(TXN_TIME).await;
            let answer = self.perform(&body, req.body.len());
            if self.loses_release.get() && put.iter().any(is_release) {
                self.loses_release.set(false);
                self.record.say(&format!("store: a release is performed, {}, and its answer is lost", answer.status));
                // Nothing further is delivered on this channel.
                tokio::time::sleep(Duration::from_secs(600)).await;
            }
            return answer;
        };
        self.record.note(&format!(
            "store: no answer to a write of {}, performed in {:?} if its condition still holds",
            shown(put),
            late.after
        ));
        tokio::time::sleep(late.after).await;
        let answer = self.perform(&body, req.body.len());
        self.record.note(&format!(
            "store: late write of {} is performed now: {}",
            shown(put),
            answer.status
        ));
        self.late_is_over.set(true);
        // The caller has given up on this channel; nothing further is delivered on it.
        tokio::time::sleep(Duration::from_secs(600)).await;
        answer
    }

    fn perform(&self, body: &Value, size: usize) -> HttpResponse {
        let list = |field: &str| body[field].as_array().cloned().unwrap_or_default();
        let (expect, put, remove) = (list("expect"), list("setKeys"), list("remove"));
        let all = || expect.iter().chain(&put).chain(&remove);
        let part = all().next().map(|entry| text(entry, "part"));
        let is_one_part = all().all(|entry| Some(text(entry, "part")) == part);
        if !is_one_part || all().count() > 100 || size > TXN_BYTES {
            self.record.note(&format!("store: transaction of {size} bytes is refused with 400"));
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        }
        for entry in &put {
            if matches!(text(entry, "table").as_str(), "op" | "servers") {
                return HttpResponse::empty(StatusCode::FORBIDDEN);
            }
            let bytes = STANDARD.decode(text(entry, "value")).map_or(usize::MAX, |v| v.len());
            if bytes > ROW_BYTES {
                self.record.note(&format!("store: a row of {bytes} bytes is refused with 400"));
                return HttpResponse::empty(StatusCode::BAD_REQUEST);
            }
        }
        let mut rows = self.rows.borrow_mut();
        let version_of = |entry: &Value| rows.get(&key_of(entry)).map_or(0, |row| row.1);
        let is_met = expect
            .iter()
            .all(|entry| entry["schemaVersion"].as_u64() == Some(version_of(entry)));
        if !is_met {
            let found = expect.iter().filter_map(|entry| {
                let at = key_of(entry);
                Some(wire_row(&at, rows.get(&at)?))
            });
            let answer = json!({ "rows": found.collect::<Vec<_>>(), "schemaVersion": self.version.get(), "nowMs": self.now_ms() });
            return HttpResponse::json(StatusCode::PRECONDITION_FAILED, &answer);
        }
        self.version.set(self.version.get() + 1);
        for entry in &put {
            if text(entry, "table") == "snapshots" {
                self.record.note(&format!("store: write of {}", shown(std::slice::from_ref(entry))));
            }
            rows.insert(key_of(entry), (text(entry, "value"), self.version.get()));
        }
        for entry in &remove {
            rows.remove(&key_of(entry));
        }
        let answer = json!({ "schemaVersion": self.version.get(), "nowMs": self.now_ms() });
        HttpResponse::json(StatusCode::OK, &answer)
    }

    fn get(&self, req: &HttpRequest) -> HttpResponse {
        let query = |name: &str| req.query(name).unwrap_or_default().to_owned();
        let (table, part, from) = (query("table"), query("part"), query("from"));
        let limit: usize = query("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.borrow();
        let mut bytes = 0;
        let mut found = Vec::new();
        let mut has_more = false;
        for (at, row) in rows.iter().filter(|(at, _)| at.0 == table && at.1 == part && at.2 >= from) {
            bytes += row.0.len();
            if found.len() == limit || (bytes > PAGE_BYTES && !found.is_empty()) {
                has_more = true;
                break;
            }
            found.push(wire_row(at, row));
        }
        let answer = json!({ "rows": found, "hasMore": has_more, "schemaVersion": self.version.get(), "nowMs": self.now_ms() });
        HttpResponse::json(StatusCode::OK, &answer)
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }
}

/// Whether an entry writes the lease row of a shard as released.
fn is_release(entry: &Value) -> bool {
    let value = STANDARD.decode(text(entry, "value")).unwrap_or_default();
    let row: Value = serde_json::from_slice(&value).unwrap_or_default();
    text(entry, "table") == "owners" && row["is_released"] == Value::Bool(true)
}

fn wire_row(at: &Key, row: &(String, u64)) -> Value {
    json!({ "table": at.0, "part": at.1, "key": at.2, "value": row.0, "schemaVersion": row.1 })
}

/// Table, part, key and the decoded value of entries, for the record.
fn shown(entries: &[Value]) -> String {
    let one = |entry: &Value| {
        let value = STANDARD.decode(text(entry, "value")).unwrap_or_default();
        let value: String = String::from_utf8_lossy(&value).chars().take(120).collect();
        let (table, part, key) = key_of(entry);
        format!("{table}/{part}/{key} = {value}")
    };
    entries.iter().map(one).collect::<Vec<_>>().join(", ")
}
