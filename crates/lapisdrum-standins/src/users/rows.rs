//! The store: rows in tables and partitions, changed by conditional transactions, and raw objects.

use actix_http::{Method, StatusCode};
use actix_rt::net::TcpListener;
use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use indexmap::IndexMap;
use lapisdrum::util::http::{self, BodyFault, HttpRequest, HttpResponse};
use serde_json::{Value, json};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::watch;

/// Largest body accepted, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Default maximum number of rows in a response to a read.
const MAX_PAGE_ROWS: usize = 500;
/// Default maximum number of names in a list of objects.
const MAX_PAGE_NAMES: usize = 1_000;

#[derive(Clone, Debug)]
struct RowValue {
    /// In base64, unless another writer left something else.
    value: String,
    version: u64,
    /// What reads return in place of the whole row, for a row that no client can decode.
    verbatim: Option<Bytes>,
}

/// The store's contents, counters and fault switch.
#[derive(Debug)]
pub struct RowStore {
    /// By table, partition and key.
    rows: RefCell<BTreeMap<(String, String, String), RowValue>>,
    objects: RefCell<IndexMap<String, Bytes>>,
    version: Cell<u64>,
    started_at: Instant,
    /// Whether calls have no effect and are answered with 503.
    pub is_down: Cell<bool>,
    /// Maximum number of rows in a response to a read.
    pub max_page_rows: Cell<usize>,
    /// Maximum number of names in a list of objects.
    pub max_page_names: Cell<usize>,
    /// Time until a transaction is answered.
    pub txn_time: Cell<Duration>,
    /// Number of calls by path, without those answered with 503.
    pub calls: RefCell<IndexMap<String, u64>>,
}

impl Default for RowStore {
    fn default() -> Self {
        Self {
            rows: RefCell::default(),
            objects: RefCell::default(),
            version: Cell::new(0),
            started_at: Instant::now(),
            is_down: Cell::new(false),
            max_page_rows: Cell::new(MAX_PAGE_ROWS),
            max_page_names: Cell::new(MAX_PAGE_NAMES),
            txn_time: Cell::default(),
            calls: RefCell::default(),
        }
    }
}

fn string_field(value: &Value, field: &str) -> String {
    value[field].as_str().unwrap_or_default().to_owned()
}

fn key_of(entry: &Value) -> (String, String, String) {
    (
        string_field(entry, "table"),
        string_field(entry, "part"),
        string_field(entry, "key"),
    )
}

impl RowStore {
    /// Serves the store until `stop` turns true.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        http::serve(listener, MAX_BODY_BYTES, stop, move |read| {
            let store = Rc::clone(&self);
            async move {
                let is_txn = read.as_ref().is_ok_and(|req| req.path == "/rows-tx");
                let response = store.answer(read);
                if is_txn {
                    tokio::time::sleep(store.txn_time.get()).await;
                }
                response
            }
        })
        .await;
    }

    /// Writes a row into the unnamed partition, as an operator or a worker does; `value` is stored as
    /// base64 of its JSON text.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Like [`Self::put`], with a value that need not be JSON.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        self.put_encoded(table, key, &STANDARD.encode(value), None);
    }

    /// Like [`Self::put`], with a value that need not be base64.
    pub fn put_unencoded(&self, table: &str, key: &str, value: &str) {
        self.put_encoded(table, key, value, None);
    }

    /// Like [`Self::put`]; reads return these bytes in place of the whole row.
    pub fn put_verbatim(&self, table: &str, key: &str, row: &[u8]) {
        self.put_encoded(table, key, "", Some(Bytes::copy_from_slice(row)));
    }

    fn put_encoded(&self, table: &str, key: &str, value: &str, verbatim: Option<Bytes>) {
        self.version.set(self.version.get() + 1);
        let row = RowValue {
            value: value.to_owned(),
            version: self.version.get(),
            verbatim,
        };
        let at = (table.to_owned(), String::new(), key.to_owned());
        self.rows.borrow_mut().insert(at, row);
    }

    /// Removes a row of the unnamed partition, as the platform does.
    pub fn remove(&self, table: &str, key: &str) {
        self.version.set(self.version.get() + 1);
        let at = (table.to_owned(), String::new(), key.to_owned());
        self.rows.borrow_mut().remove(&at);
    }

    /// The value of a row in the given partition, if it exists and is JSON.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<Value> {
        let at = (table.to_owned(), part.to_owned(), key.to_owned());
        let rows = self.rows.borrow();
        let raw = STANDARD.decode(&rows.get(&at)?.value).ok()?;
        serde_json::from_slice(&raw).ok()
    }

    /// Number of transactions so far, without those answered with 503.
    pub fn transactions(&self) -> u64 {
        let calls = self.calls.borrow();
        calls.get("/rows-tx").copied().unwrap_or_default()
    }

    fn answer(&self, read: Result<HttpRequest, BodyFault>) -> HttpResponse {
        let Ok(req) = read else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        if self.is_down.get() {
            return HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        *self.calls.borrow_mut().entry(req.path.clone()).or_default() += 1;
        let object = |prefix: &str| req.path.strip_prefix(prefix).map(str::to_owned);
        match (&req.method, req.path.as_str()) {
            (&Method::POST, "/rows-tx") => self.transact(&req),
            (&Method::GET, "/rows-get") => self.get(&req),
            (&Method::PUT, _) if object("/blob-put/").is_some() => {
                let name = object("/blob-put/").unwrap_or_default();
                self.objects.borrow_mut().insert(name, req.body.clone());
                HttpResponse::empty(StatusCode::OK)
            }
            (&Method::GET, _) if object("/blob-get/").is_some() => {
                let name = object("/blob-get/").unwrap_or_default();
                match self.objects.borrow().get(&name) {
                    Some(body) => HttpResponse::bytes(StatusCode::OK, body.clone()),
                    None => HttpResponse::empty(StatusCode::NOT_FOUND),
                }
            }
            (&Method::GET, "/blob-list") => self.list(&req),
            (&Method::DELETE, _) if object("/blob-drop/").is_some() => {
                let name = object("/blob-drop/").unwrap_or_default();
                self.objects.borrow_mut().swap_remove(&name);
                HttpResponse::empty(StatusCode::OK)
            }
            _ => HttpResponse::empty(StatusCode::NOT_FOUND),
        }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn wire_row(&self, at: &(String, String, String), row: &RowValue) -> Value {
        json!({ "table": at.0, "part": at.1, "key": at.2, "value": row.value, "schemaVersion": row.version })
    }

    fn transact(&self, req: &HttpRequest) -> HttpResponse {
        let Ok(body) = req.json::<Value>() else {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        };
        let list = |field: &str| body[field].as_array().cloned().unwrap_or_default();
        let (expect, put, remove) = (list("expect"), list("setKeys"), list("remove"));
        let all = expect.iter().chain(&put).chain(&remove);
        let parts: std::collections::BTreeSet<String> =
            all.map(|e| string_field(e, "part")).collect();
        if parts.len() > 1 || expect.len() + put.len() + remove.len() > 100 {
            return HttpResponse::empty(StatusCode::BAD_REQUEST);
        }
        if put
            .iter()
            .any(|e| matches!(string_field(e, "table").as_str(), "op" | "servers"))
        {
            return HttpResponse::empty(StatusCode::FORBIDDEN);
        }
        let mut rows = self.rows.borrow_mut();
        let version_of = |entry: &Value| rows.get(&key_of(entry)).map_or(0, |row| row.version);
        let is_expected_version =
            |entry: &Value| entry["schemaVersion"].as_u64() == Some(version_of(entry));
        if !expect.iter().all(is_expected_version) {
            let found = expect.iter().filter_map(|entry| {
                let at = key_of(entry);
                Some(self.wire_row(&at, rows.get(&at)?))
            });
            let found: Vec<Value> = found.collect();
            let answer = json!({ "rows": found, "schemaVersion": self.version.get(), "nowMs": self.now_ms() });
            return HttpResponse::json(StatusCode::PRECONDITION_FAILED, &answer);
        }
        self.version.set(self.version.get() + 1);
        for entry in &put {
            let row = RowValue {
                value: string_field(entry, "value"),
                version: self.version.get(),
                verbatim: None,
            };
            rows.insert(key_of(entry), row);
        }
        for entry in &remove {
            rows.remove(&key_of(entry));
        }
        let answer = json!({ "schemaVersion": self.version.get(), "nowMs": self.now_ms() });
        HttpResponse::json(StatusCode::OK, &answer)
    }

    fn list(&self, req: &HttpRequest) -> HttpResponse {
        let (prefix, after) = (req.query("prefix"), req.query("after"));
        let (prefix, after) = (prefix.unwrap_or_default(), after.unwrap_or_default());
        let objects = self.objects.borrow();
        let mut names: Vec<&String> = objects
            .keys()
            .filter(|name| name.starts_with(prefix) && name.as_str() > after)
            .collect();
        names.sort();
        let limit = self.max_page_names.get();
        let has_more = names.len() > limit;
        names.truncate(limit);
        let answer = json!({ "names": names, "hasMore": has_more });
        HttpResponse::json(StatusCode::OK, &answer)
    }

    fn get(&self, req: &HttpRequest) -> HttpResponse {
        let query = |name: &str| decoded(req.query(name).unwrap_or_default());
        let (table, part, from) = (query("table"), query("part"), query("from"));
        let limit: usize = query("limit").parse().unwrap_or(MAX_PAGE_ROWS);
        let limit = limit.min(self.max_page_rows.get());
        let rows = self.rows.borrow();
        let mut found: Vec<Bytes> = rows
            .iter()
            .filter(|(at, _)| at.0 == table && at.1 == part && at.2 >= from)
            .take(limit + 1)
            .map(|(at, row)| match &row.verbatim {
                Some(verbatim) => verbatim.clone(),
                None => self.wire_row(at, row).to_string().into(),
            })
            .collect();
        let has_more = found.len() > limit;
        found.truncate(limit);
        let (newest, now_ms) = (self.version.get(), self.now_ms());
        let tail = format!(r#"],"hasMore":{has_more},"schemaVersion":{newest},"nowMs":{now_ms}}}"#);
        let body = [
            br#"{"rows":["#,
            found.join(&b","[..]).as_slice(),
            tail.as_bytes(),
        ]
        .concat();
        HttpResponse::bytes(StatusCode::OK, body.into())
    }
}

/// Decodes the escapes of a query's value; an escape that is cut off stands for itself.
fn decoded(raw: &str) -> String {
    let mut bytes = Vec::with_capacity(raw.len());
    let mut rest = raw.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let digits = after.get(..2).filter(|_| *first == b'%');
        let escaped = digits
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(escaped.unwrap_or(match first {
            b'+' => b' ',
            other => *other,
        }));
        rest = match escaped {
            Some(_) => &after[2..],
            None => after,
        };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
