//! The platform's store: rows that change by conditional transactions, and objects.

use crate::{
    http::{Answer, Channels, Request, serve},
    json::{Json, base64, from_base64, int, obj, text},
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

type Key = (String, String, String);

#[derive(Default)]
struct Content {
    rows: BTreeMap<Key, (String, u64)>,
    objects: BTreeMap<String, Vec<u8>>,
    version: u64,
}

pub struct Store {
    content: Mutex<Content>,
    started: Instant,
    pub channels: Arc<Channels>,
}

fn key(entry: &Json) -> Key {
    let field = |name| entry.get(name).str().to_owned();
    (field("table"), field("part"), field("key"))
}

fn row(key: &Key, (value, version): &(String, u64)) -> Json {
    obj(vec![
        ("table", text(&key.0)),
        ("part", text(&key.1)),
        ("key", text(&key.2)),
        ("value", text(value)),
        ("schemaVersion", int(*version)),
    ])
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            content: Mutex::default(),
            started: Instant::now(),
            channels: Arc::default(),
        })
    }

    /// Serves one machine at an address of its own; `is_refused` turns it away.
    pub fn serve(self: &Arc<Self>, is_refused: &Arc<AtomicBool>) -> SocketAddr {
        let (served, is_refused) = (Arc::clone(self), Arc::clone(is_refused));
        serve(&self.channels, move |request| {
            thread::sleep(Duration::from_millis(4));
            match is_refused.load(Ordering::SeqCst) {
                true => Answer::Reply(503, Vec::new()),
                false => served.answer(&request),
            }
        })
    }

    /// Writes a row without a part, as operators and workers do.
    pub fn put(&self, table: &str, name: &str, value: &Json) {
        let mut content = self.content.lock().unwrap();
        content.version += 1;
        let entry = (base64(value.write().as_bytes()), content.version);
        content.rows.insert((table.into(), String::new(), name.into()), entry);
    }

    pub fn remove(&self, table: &str, name: &str) {
        let mut content = self.content.lock().unwrap();
        content.version += 1;
        content.rows.remove(&(table.into(), String::new(), name.into()));
    }

    /// The value of a row, decoded.
    pub fn value(&self, table: &str, part: &str, name: &str) -> Json {
        let content = self.content.lock().unwrap();
        let found = content.rows.get(&(table.into(), part.into(), name.into()));
        let raw = found.and_then(|(value, _)| from_base64(value));
        raw.and_then(|raw| Json::parse(&raw)).unwrap_or(Json::Null)
    }

    fn answer(&self, request: &Request) -> Answer {
        let mut content = self.content.lock().unwrap();
        let now_ms = int(self.started.elapsed().as_millis() as u64);
        let path = request.path.as_str();
        let reply = |status, body: Json| Answer::Reply(status, body.write().into_bytes());
        let empty = |status| Answer::Reply(status, Vec::new());
        if path == "/rows-tx" {
            let Some(body) = Json::parse(&request.body) else {
                return empty(400);
            };
            let held = |entry: &Json| content.rows.get(&key(entry)).map_or(0, |(_, at)| *at);
            let expect = body.get("expect").items();
            if expect.iter().any(|e| held(e) != e.get("schemaVersion").u64()) {
                let rows = expect.iter().map(key);
                let rows = rows.filter_map(|k| Some(row(&k, content.rows.get(&k)?)));
                let rows = Json::Arr(rows.collect());
                let version = int(content.version);
                let fields = vec![("rows", rows), ("schemaVersion", version), ("nowMs", now_ms)];
                return reply(412, obj(fields));
            }
            content.version += 1;
            let version = content.version;
            for entry in body.get("setKeys").items() {
                let value = entry.get("value").str().to_owned();
                content.rows.insert(key(entry), (value, version));
            }
            for entry in body.get("remove").items() {
                content.rows.remove(&key(entry));
            }
            return reply(200, obj(vec![("schemaVersion", int(version)), ("nowMs", now_ms)]));
        }
        if path == "/rows-get" || path == "/rows-feed" {
            let (table, part) = (request.query("table"), request.query("part"));
            let (from, target) = (request.query("from"), request.query("target"));
            let after: u64 = request.query("after").parse().unwrap_or(0);
            let limit = request.query("limit").parse().unwrap_or(500).min(500);
            let is_feed = path == "/rows-feed";
            let found = content.rows.iter().filter(|(k, (_, version))| {
                let in_range = k.1 == part && k.2.as_str() >= from;
                let in_range = in_range && (target.is_empty() || k.2.as_str() < target);
                k.0 == table && if is_feed { *version > after } else { in_range }
            });
            let mut rows: Vec<_> = found.collect();
            if is_feed {
                rows.sort_by_key(|(_, (_, version))| *version);
            }
            let has_more = !is_feed && rows.len() > limit;
            if !is_feed {
                rows.truncate(limit);
            }
            let rows = rows.into_iter().map(|(k, v)| row(k, v)).collect();
            let fields = vec![
                ("rows", Json::Arr(rows)),
                ("hasMore", Json::Bool(has_more)),
                ("schemaVersion", int(content.version)),
                ("nowMs", now_ms),
            ];
            return reply(200, obj(fields));
        }
        if let Some(name) = path.strip_prefix("/blob-put/") {
            content.objects.insert(name.to_owned(), request.body.clone());
            return empty(200);
        }
        if let Some(name) = path.strip_prefix("/blob-get/") {
            let found = content.objects.get(name).cloned();
            return found.map_or_else(|| empty(404), |body| Answer::Reply(200, body));
        }
        if let Some(name) = path.strip_prefix("/blob-drop/") {
            content.objects.remove(name);
            return empty(200);
        }
        if path == "/blob-list" {
            let (prefix, after) = (request.query("prefix"), request.query("after"));
            let names = content.objects.keys();
            let names = names.filter(|n| n.starts_with(prefix) && n.as_str() > after);
            let names = Json::Arr(names.map(text).collect());
            return reply(200, obj(vec![("names", names), ("hasMore", Json::Bool(false))]));
        }
        empty(404)
    }
}
