//! The platform's store: rows with conditional transactions, and objects. It loses nothing, and
//! answers at the pace that the pages give.

use crate::{
    http::{Request, Response},
    json::{Json, from_base64, map, num, text, to_base64},
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Time of a transaction, and of a read.
const TXN: Duration = Duration::from_millis(6);
const READ: Duration = Duration::from_millis(4);
const OBJECT: Duration = Duration::from_millis(25);
const MAX_ROWS: usize = 500;

/// Table, partition and key.
type Key = (String, String, String);

#[derive(Default)]
struct Inner {
    rows: BTreeMap<Key, (String, u64)>,
    objects: BTreeMap<String, Vec<u8>>,
    version: u64,
}

pub struct Store {
    inner: Mutex<Inner>,
    started_at: Instant,
}

fn field(entry: &Json, name: &str) -> String {
    entry.at(name).as_str().unwrap_or_default().to_owned()
}

fn key_of(entry: &Json) -> Key {
    (field(entry, "table"), field(entry, "part"), field(entry, "key"))
}

fn row(key: &Key, (value, version): &(String, u64)) -> Json {
    map(vec![
        ("table", text(&key.0)),
        ("part", text(&key.1)),
        ("key", text(&key.2)),
        ("value", text(value)),
        ("schemaVersion", num(*version)),
    ])
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { inner: Mutex::default(), started_at: Instant::now() })
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let mut inner = self.inner.lock().unwrap();
        inner.version += 1;
        let row = (to_base64(value.to_string().as_bytes()), inner.version);
        inner.rows.insert((table.into(), String::new(), key.into()), row);
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut inner = self.inner.lock().unwrap();
        inner.version += 1;
        inner.rows.remove(&(table.into(), String::new(), key.into()));
    }

    /// A row's value, if it is JSON.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<Json> {
        let inner = self.inner.lock().unwrap();
        let (value, _) = inner.rows.get(&(table.into(), part.into(), key.into()))?;
        Json::parse(std::str::from_utf8(&from_base64(value)).ok()?)
    }

    pub fn answer(&self, req: Request) -> Response {
        match (req.method.as_str(), req.path.as_str()) {
            ("POST", "/rows-tx") => {
                let answer = self.transact(&req);
                thread::sleep(TXN);
                answer
            }
            ("GET", "/rows-get") => {
                thread::sleep(READ);
                self.read(&req)
            }
            (method, path) if path.starts_with("/blob-") => {
                thread::sleep(OBJECT);
                self.object(method, path, &req)
            }
            _ => Response::new(404, ""),
        }
    }

    fn tail(&self, inner: &Inner, mut fields: Vec<(&str, Json)>) -> String {
        fields.push(("schemaVersion", num(inner.version)));
        fields.push(("nowMs", num(self.started_at.elapsed().as_millis() as u64)));
        map(fields).to_string()
    }

    fn transact(&self, req: &Request) -> Response {
        let Some(body) = Json::parse(req.text()) else {
            return Response::new(400, "");
        };
        let (expect, put) = (body.at("expect").items(), body.at("setKeys").items());
        let remove = body.at("remove").items();
        let all = || expect.iter().chain(put).chain(remove);
        let first = all().next().map(|entry| field(entry, "part")).unwrap_or_default();
        if all().count() > 100 || req.body.len() > 1_000_000 || all().any(|e| field(e, "part") != first) {
            return Response::new(400, "");
        }
        if put.iter().chain(remove).any(|e| matches!(field(e, "table").as_str(), "op" | "servers")) {
            return Response::new(403, "");
        }
        let mut inner = self.inner.lock().unwrap();
        let has_version = |entry: &Json| {
            let version = inner.rows.get(&key_of(entry)).map_or(0, |(_, version)| *version);
            entry.at("schemaVersion").as_u64() == Some(version)
        };
        if !expect.iter().all(has_version) {
            let found = expect.iter().map(key_of);
            let found = found.filter_map(|key| inner.rows.get(&key).map(|value| row(&key, value)));
            let found = Json::List(found.collect());
            return Response::new(412, self.tail(&inner, vec![("rows", found)]));
        }
        inner.version += 1;
        let version = inner.version;
        for entry in put {
            inner.rows.insert(key_of(entry), (field(entry, "value"), version));
        }
        for entry in remove {
            inner.rows.remove(&key_of(entry));
        }
        Response::new(200, self.tail(&inner, Vec::new()))
    }

    fn read(&self, req: &Request) -> Response {
        let inner = self.inner.lock().unwrap();
        let (table, part) = (req.query("table"), req.query("part"));
        let (from, target) = (req.query("from"), req.query("target"));
        let limit = req.query("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let start = (table.to_owned(), part.to_owned(), from.to_owned());
        let in_range = inner.rows.range(start..).take_while(|(key, _)| {
            key.0 == table && key.1 == part && (target.is_empty() || key.2.as_str() < target)
        });
        let (mut rows, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, value) in in_range {
            bytes += value.0.len() + 200;
            if rows.len() == limit || (bytes > 1_000_000 && !rows.is_empty()) {
                has_more = true;
                break;
            }
            rows.push(row(key, value));
        }
        let fields = vec![("rows", Json::List(rows)), ("hasMore", Json::Bool(has_more))];
        Response::new(200, self.tail(&inner, fields))
    }

    fn object(&self, method: &str, path: &str, req: &Request) -> Response {
        let mut inner = self.inner.lock().unwrap();
        let name = path.rsplit('/').next().unwrap_or_default();
        match (method, path) {
            ("PUT", _) => {
                inner.objects.insert(name.to_owned(), req.body.clone());
                Response::new(200, "")
            }
            ("GET", "/blob-list") => {
                let (prefix, after) = (req.query("prefix"), req.query("after"));
                let names = inner.objects.keys().filter(|name| name.starts_with(prefix) && name.as_str() > after);
                let names: Vec<Json> = names.map(text).collect();
                let has_more = names.len() > 1_000;
                let names = names.into_iter().take(1_000).collect();
                let answer = map(vec![("names", Json::List(names)), ("hasMore", Json::Bool(has_more))]);
                Response::new(200, answer.to_string())
            }
            ("GET", _) => match inner.objects.get(name) {
                Some(body) => Response::new(200, body.clone()),
                None => Response::new(404, ""),
            },
            ("DELETE", _) => {
                let found = inner.objects.remove(name).is_some();
                Response::new(if found { 200 } else { 404 }, "")
            }
            _ => Response::new(404, ""),
        }
    }
}
