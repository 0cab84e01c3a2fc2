//! Entries that other writers leave in the platform's tables, read by the real client from the stand-in of the store.

use super::users_platform::{LIMIT, Site, long_running_job, store_client, two_steps};
use crate::support::wait;
use actix_rt::net::TcpListener;
use lapisdrum::{
    platform::{directory::StoreDirectory, store::TableStore},
    sched::edge::Directory,
};
use lapisdrum_standins::users::{catalogue, rows::RowStore, worker::UsersWorker};
use proptest::{prelude::*, sample::select, test_runner::TestRunner};
use serde_json::{Value, json};
use std::{rc::Rc, time::Duration};
use tokio::sync::watch;

/// Nesting beyond the stack of a decoder that recurses without a limit.
const NESTING: usize = 10_000;

/// A store and a directory that reads it.
struct Setup {
    rows: Rc<RowStore>,
    directory: StoreDirectory,
    _stop: watch::Sender<bool>,
}

impl Setup {
    /// A store with a catalogue and two workers, `a-worker` and `z-worker`.
    async fn new() -> Self {
        let (stop, stopped) = watch::channel(false);
        let rows = Rc::new(RowStore::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        actix_rt::spawn(Rc::clone(&rows).serve(listener, stopped));
        rows.put("op", "config", &catalogue("q", "a.example", "/a/"));
        for id in ["a-worker", "z-worker"] {
            rows.put("servers", id, &entry(id));
        }
        let store = TableStore::new(store_client(), &address);
        Self {
            rows,
            directory: StoreDirectory::new(Rc::new(store)),
            _stop: stop,
        }
    }

    /// Ids of the workers in the list, or the error of the read.
    async fn workers(&self) -> Result<Vec<String>, String> {
        let read = self.directory.workers().await;
        let list = read.map_err(|e| e.to_string())?;
        let ids = list
            .workers
            .into_iter()
            .map(|report| report.incarnation.worker);
        Ok(ids.collect())
    }
}

fn entry(id: &str) -> Value {
    UsersWorker::new(id, 1_000).entry("127.0.0.1:9", "ready")
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

fn both() -> Result<Vec<String>, String> {
    Ok(vec!["a-worker".to_owned(), "z-worker".to_owned()])
}

/// Guards against a list of workers that is unreadable because of a single row in it.
#[actix_rt::test]
async fn a_row_that_cannot_be_decoded_leaves_the_other_workers() {
    let row = |field: &str, value: &str| {
        format!(r#"{{"table":"servers","part":"","key":"odd","value":"e30=","{field}":{value}}}"#)
    };
    let rows = [
        r#"{"table":"servers","key":"odd","value":7}"#.to_owned(),
        r#"{"table":"servers","key":"odd","value":null}"#.to_owned(),
        r#"{"table":"servers","key":"odd"}"#.to_owned(),
        r#"{"table":"servers","value":"e30="}"#.to_owned(),
        r#"{"table":"servers","key":7,"value":"e30="}"#.to_owned(),
        format!(r#"{{"key":"odd","value":{}}}"#, nested(NESTING)),
        row("schemaVersion", "-1"),
        row("schemaVersion", "1e300"),
        row("deleted", r#""no""#),
        row("more", &nested(NESTING)),
        nested(NESTING),
        "null".to_owned(),
        "[]".to_owned(),
        r#""odd""#.to_owned(),
    ];
    let setup = Setup::new().await;
    for row in rows {
        setup.rows.put_verbatim("servers", "odd", row.as_bytes());
        let shown: String = row.chars().take(80).collect();
        assert_eq!(setup.workers().await, both(), "{shown}");
    }
    let not_utf8 = b"{\"key\":\"odd\",\"value\":\"\xff\xfe\"}";
    setup.rows.put_verbatim("servers", "odd", not_utf8);
    assert_eq!(setup.workers().await, both());
    for value in ["%%", "e30", "e30=e30=", "a b", "\u{e9}"] {
        setup.rows.put_unencoded("servers", "odd", value);
        assert_eq!(setup.workers().await, both(), "{value}");
    }
    for value in [&b""[..], b"\xff\xfe", b"{\"service\":\"trail\"", b"null"] {
        setup.rows.put_bytes("servers", "odd", value);
        assert_eq!(setup.workers().await, both(), "{value:?}");
    }
}

/// Guards against pages that can't be followed because the last key of one has bytes with a meaning in a query.
#[actix_rt::test]
async fn pages_that_end_at_an_odd_key_are_followed() {
    let setup = Setup::new().await;
    let long = "k".repeat(200);
    let keys = [
        "b c",
        "b&limit=0",
        "b#x",
        "b%41",
        "b%",
        "b+c",
        "b=c",
        "b\u{e9}",
        "b\u{1f99c}",
        "b\"\\",
        "b\n",
        "b/../c",
        long.as_str(),
    ];
    for key in keys {
        setup.rows.put("servers", key, &json!({ "state": "odd" }));
    }
    for page_rows in 2..=keys.len() + 3 {
        setup.rows.max_page_rows.set(page_rows);
        assert_eq!(setup.workers().await, both(), "pages of {page_rows}");
    }
}

/// Guards against evacuations and catalogues that are unreadable because of a single row of the operators' table.
#[actix_rt::test]
async fn a_row_that_cannot_be_decoded_leaves_the_operators_state() {
    let setup = Setup::new().await;
    setup.rows.put("op", "evacuate/karen", &json!({}));
    setup.rows.put_unencoded("op", "evacuate/a b&c", "%%");
    setup
        .rows
        .put_verbatim("op", "odd", b"{\"key\":\"odd\",\"value\":7}");
    let read = setup.directory.operator_state().await.expect("an answer");
    assert_eq!(read.catalogue.map(|c| c.version), Some(1));
    let evacuated: Vec<&String> = read.evacuated.keys().collect();
    assert_eq!(evacuated, ["a b&c", "karen"]);
    setup.rows.put_unencoded("op", "config", "%%");
    let read = setup.directory.operator_state().await.expect("an answer");
    assert_eq!(read.catalogue, None);
    assert_eq!(read.evacuated.len(), 2);
}

/// A worker's entry with some fields replaced.
fn entry_with(id: &str, fields: &Value) -> Value {
    let mut odd = entry(id);
    for (field, value) in fields.as_object().expect("an object") {
        odd[field] = value.clone();
    }
    odd
}

/// Fields of entries that are well-formed, but that no worker writes.
fn odd_fields() -> Vec<Value> {
    let greatest = json!({ "cpu": u64::MAX, "memMb": u64::MAX, "gpu": u64::MAX });
    vec![
        json!({ "capacity": greatest }),
        json!({ "capacity": greatest, "labels": ["a", "r1-1"], "state": "draining", "drainRemainingMs": 1e300 }),
        json!({ "capacity": { "cpu": 1e300 } }),
        json!({ "state": "draining", "drainRemainingMs": -1e300 }),
        json!({ "address": "127.0.0.1:0" }),
        json!({ "address": "127.0.0.1:65536" }),
        json!({ "address": "0.0.0.0:9" }),
        json!({ "address": "[::1%7]:9" }),
        json!({ "born": u64::MAX }),
        json!({ "service": "odd", "labels": ["a", "odd-rack"] }),
        json!({ "service": "", "zone": "" }),
        json!({ "labels": vec!["l"; 5_000] }),
        json!({ "labels": ["a", "r".repeat(40_000)] }),
        json!({ "state": "dancing" }),
    ]
}

fn add_odd_entries(rows: &RowStore, prefix: &str) {
    for (at, fields) in odd_fields().iter().enumerate() {
        // Ids that sort before and after those of the workers.
        for id in [format!("a{prefix}-{at}"), format!("z{prefix}-{at}")] {
            rows.put("servers", &id, &entry_with(&id, fields));
        }
    }
    rows.put_unencoded("servers", &format!("a{prefix} &#%+"), "%%");
    rows.put_bytes(
        "servers",
        &format!("a{prefix}-nested"),
        nested(NESTING).as_bytes(),
    );
    let deep = nested(NESTING);
    let deep = format!(r#"{{"key":"a{prefix}-deep","value":{deep}}}"#);
    rows.put_verbatim("servers", &format!("a{prefix}-deep"), deep.as_bytes());
}

/// Guards against daemons that end, or that stop following the workers, because of entries that another writer left
/// among those of the workers, before the first start or later.
#[actix_rt::test]
async fn daemons_serve_beside_odd_entries() {
    let mut site = Site::start_with(2, |rows| add_odd_entries(rows, "first")).await;
    site.submit(0, "00000000000000a1", &two_steps("50")).await;
    site.until_state(1, "00000000000000a1", "completed").await;
    site.submit(1, "00000000000000b2", &long_running_job())
        .await;
    wait::until("it runs", LIMIT, async || site.running() == 2).await;
    add_odd_entries(&site.store, "later");
    tokio::time::sleep(Duration::from_secs(2)).await;
    for (at, daemon) in [0, 1, 0].into_iter().enumerate() {
        let id = format!("00000000000000c{at}");
        site.submit(daemon, &id, &two_steps("50")).await;
        site.until_state(daemon, &id, "completed").await;
    }
    assert_eq!((site.running(), site.started()), (2, 2 + 4 * 5));
    for (process, ..) in &mut site.daemons {
        assert_eq!(process.exit_status(), None, "the daemon has ended");
    }
}

/// JSON text of any type, at its limits and beyond.
fn any_json() -> impl Strategy<Value = String> {
    let fixed = [
        "null",
        "true",
        "{}",
        "[]",
        "0",
        "-1",
        "1.5",
        "1e300",
        "-1e300",
        "1e400",
        "18446744073709551615",
        "18446744073709551616",
        "-9223372036854775809",
        r#""""#,
        r#""ready""#,
        r#""127.0.0.1:65536""#,
        r#""127.0.0.1:0""#,
        r#""[::]:1""#,
        r#""\u0000""#,
        r#"{"cpu":-1}"#,
        r#"["a",7]"#,
        r#"{"cpu":18446744073709551615,"memMb":18446744073709551615,"gpu":18446744073709551615}"#,
    ];
    prop_oneof![
        8 => select(fixed.to_vec()).prop_map(str::to_owned),
        1 => (1..60_000_usize).prop_map(|len| format!("\"{}\"", "r".repeat(len))),
        1 => (1..5_000_usize).prop_map(|len| format!("[{}]", vec!["\"l\""; len].join(","))),
        1 => Just(nested(NESTING)),
        1 => Just(format!("{}0{}", r#"{"a":"#.repeat(NESTING), "}".repeat(NESTING))),
    ]
}

/// The text of an object whose fields are as given, missing, or of any other value.
fn odd_object(fields: Vec<(String, String)>) -> impl Strategy<Value = String> {
    let field = |(name, usual): (String, String)| {
        let value = prop_oneof![
            6 => Just(Some(usual)),
            1 => Just(None),
            2 => any_json().prop_map(Some),
        ];
        value.prop_map(move |value| value.map(|value| format!("\"{name}\":{value}")))
    };
    let fields: Vec<_> = fields.into_iter().map(|f| field(f).boxed()).collect();
    fields.prop_map(|fields| {
        format!(
            "{{{}}}",
            fields.into_iter().flatten().collect::<Vec<_>>().join(",")
        )
    })
}

/// A row of another writer.
#[derive(Clone, Debug)]
enum OddRow {
    Bytes(Vec<u8>),
    Unencoded(String),
    Verbatim(String),
}

fn odd_row() -> impl Strategy<Value = OddRow> {
    let usual = entry("odd");
    let fields = usual.as_object().expect("an object").iter();
    let mut fields: Vec<_> = fields
        .map(|(name, value)| (name.clone(), value.to_string()))
        .collect();
    fields.push(("drainRemainingMs".to_owned(), "1".to_owned()));
    let row = [
        ("key", r#""odd""#),
        ("value", r#""e30=""#),
        ("schemaVersion", "7"),
        ("deleted", "false"),
    ];
    let row = row.map(|(name, value)| (name.to_owned(), value.to_owned()));
    prop_oneof![
        4 => odd_object(fields.clone()).prop_map(|text| OddRow::Bytes(text.into_bytes())),
        1 => (odd_object(fields.clone()), any::<prop::sample::Index>()).prop_map(|(text, cut)| {
            OddRow::Bytes(text.as_bytes()[..cut.index(text.len())].to_vec())
        }),
        1 => (odd_object(fields), any::<prop::sample::Index>()).prop_map(|(text, at)| {
            let mut bytes = text.into_bytes();
            let at = at.index(bytes.len());
            bytes[at] = 0xff;
            OddRow::Bytes(bytes)
        }),
        1 => ".{0,20}".prop_map(OddRow::Unencoded),
        3 => odd_object(row.to_vec()).prop_map(OddRow::Verbatim),
        1 => any_json().prop_map(OddRow::Verbatim),
    ]
}

/// Guards against entries of another writer that hide a worker, end the process, or name a worker beyond the bounds that
/// sums over all workers rely on.
#[test]
fn no_entry_of_another_writer_hides_a_worker() {
    let rows = prop::collection::vec(("[a-z]{1,3}|\\PC{1,40}", odd_row()), 1..12);
    let mut runner = TestRunner::new(ProptestConfig::with_cases(128));
    let checked = runner.run(&rows, |rows| {
        let list = actix_rt::System::new().block_on(async {
            let setup = Setup::new().await;
            for (key, row) in rows {
                match row {
                    OddRow::Bytes(value) => setup.rows.put_bytes("servers", &key, &value),
                    OddRow::Unencoded(value) => setup.rows.put_unencoded("servers", &key, &value),
                    OddRow::Verbatim(row) => {
                        setup.rows.put_verbatim("servers", &key, row.as_bytes())
                    }
                }
            }
            setup.directory.workers().await
        });
        let workers = list.expect("a list").workers;
        for id in ["a-worker", "z-worker"] {
            let found = workers
                .iter()
                .filter(|report| report.incarnation.worker == id);
            prop_assert_eq!(found.count(), 1, "{}", id);
        }
        for report in &workers {
            let size = report.capacity;
            let greatest = size.millicores.max(size.memory_mb).max(size.accelerators);
            prop_assert!(greatest <= u64::from(u32::MAX));
            prop_assert!(report.labels.len() <= 64);
            let texts = [
                &report.incarnation.worker,
                &report.pool,
                &report.data_centre,
            ];
            prop_assert!(
                texts
                    .into_iter()
                    .chain(&report.labels)
                    .all(|text| text.len() <= 200)
            );
            let address: std::net::SocketAddr = report.address.parse().expect("an address");
            prop_assert!(address.port() > 0 && !address.ip().is_unspecified());
        }
        Ok(())
    });
    checked.expect("no drawn entry hides a worker");
}
