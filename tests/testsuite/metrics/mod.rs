//! `/metrics`: valid OpenMetrics text, conventional names, and the users' three measures.

use indexmap::IndexMap;
use lapisdrum::{
    daemon::metrics::{EndLabels, EntryLabel, Metrics, ReasonLabel, RequestLabels},
    sched::{self, event::RunEnd, front::Outcome, ledger::Phase},
    util::build,
};
use std::{fs, path::Path};

/// One metric family as its comment lines declare it, with its samples' names and labels.
#[derive(Debug, Default)]
struct Declared {
    kind: String,
    help: String,
    unit: Option<String>,
    samples: Vec<String>,
}

/// Parses OpenMetrics text and checks the rules that we rely on: comment lines come before samples, each
/// sample belongs to the family declared last, and the end is marked.
fn parse(text: &str) -> IndexMap<String, Declared> {
    let mut families: IndexMap<String, Declared> = IndexMap::new();
    let body = text.strip_suffix("# EOF\n").expect("the end is marked");
    for line in body.lines() {
        if let Some(comment) = line.strip_prefix("# ") {
            let mut parts = comment.splitn(3, ' ');
            let (what, name) = (parts.next(), parts.next().expect("a name"));
            let rest = parts.next().unwrap_or_default().to_owned();
            let family = families.entry(name.to_owned()).or_default();
            assert!(family.samples.is_empty(), "comment after samples: {line}");
            match what {
                Some("HELP") => family.help = rest,
                Some("TYPE") => family.kind = rest,
                Some("UNIT") => family.unit = Some(rest),
                other => panic!("unknown comment {other:?}: {line}"),
            }
            continue;
        }
        let (series, value) = line.rsplit_once(' ').expect("a sample has a value");
        assert!(value.parse::<f64>().is_ok(), "no number: {line}");
        let (name, family) = families.last_mut().expect("a sample under a family");
        assert!(series.starts_with(name.as_str()), "{series} under {name}");
        family.samples.push(series.to_owned());
    }
    families
}

/// Metrics with a sample in every family: a family without one is left out of the text.
fn sample_metrics() -> Metrics {
    let m = Metrics::new();
    let entry = || "route-map".to_owned();
    let label = EntryLabel { entry: entry() };
    m.request_seconds.get_or_create(&label).observe(0.004);
    let outcome = "done";
    let request = RequestLabels {
        entry: entry(),
        outcome,
    };
    m.requests.get_or_create(&request).inc();
    m.refusals
        .get_or_create(&ReasonLabel { reason: "busy" })
        .inc();
    let ended = EndLabels {
        entry: entry(),
        end: "done",
    };
    m.jobs_ended.get_or_create(&ended).inc();
    m.task_seconds.get_or_create(&label).inc_by(2.5);
    m.jobs_waiting.get_or_create(&label).set(1);
    m.jobs_running.get_or_create(&label).set(1);
    m.note_eviction(entry(), "worker rejected it: StaleEpoch");
    m
}

/// A scraper that follows the standard must accept the text: a counter's samples end in `_total`, a
/// family's name ends in its unit, and every family has a type and a help line.
#[test]
fn the_text_follows_the_ecosystem_s_conventions() {
    let families = parse(&sample_metrics().text());
    for (name, family) in &families {
        assert!(name.starts_with("lapisdrum_"), "{name}");
        assert!(!family.help.is_empty(), "{name} has no help");
        let lower = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'_';
        assert!(name.bytes().all(lower), "{name}");
        if let Some(unit) = &family.unit {
            assert!(name.ends_with(&format!("_{unit}")), "{name} without {unit}");
        }
        let suffixes: &[&str] = match family.kind.as_str() {
            "counter" => &["_total"],
            "gauge" => &[""],
            "info" => &["_info"],
            "histogram" => &["_bucket", "_sum", "_count"],
            other => panic!("{name} is a {other}"),
        };
        assert!(
            !name.ends_with("_total"),
            "{name}: the suffix is the sample's"
        );
        for sample in &family.samples {
            let series = sample.split('{').next().unwrap_or_default();
            let fits = suffixes
                .iter()
                .any(|suffix| series == format!("{name}{suffix}"));
            assert!(fits, "{sample} in the {} {name}", family.kind);
        }
    }
}

/// Users judge by tail latency per entry, batch throughput and evictions; each must be exported under
/// its documented name.
#[test]
fn the_three_measures_are_there() {
    let text = sample_metrics().text();
    let wanted = [
        r#"lapisdrum_request_seconds_bucket{le="+Inf",entry="route-map"} 1"#,
        r#"lapisdrum_jobs_ended_total{entry="route-map",end="done"} 1"#,
        r#"lapisdrum_task_seconds_total{entry="route-map"} 2.5"#,
        r#"lapisdrum_evictions_total{entry="route-map",reason="worker_rejected_it"} 1"#,
    ];
    for line in wanted {
        assert!(
            text.lines().any(|shown| shown == line),
            "{line} not in\n{text}"
        );
    }
}

/// The scheduler's metrics, each with a sample.
fn sched_metrics() -> sched::metrics::Metrics {
    let metrics = sched::metrics::Metrics::new();
    metrics.note_submit("maps", &Outcome::Done(()));
    metrics.note_job("maps", Phase::Completed, 900);
    metrics.note_end(RunEnd::Done);
    metrics
}

/// Guards against a running daemon that does not tell which code it runs.
#[test]
fn both_schedulers_name_their_sources() {
    let (version, sources) = (build::VERSION, build::SOURCES);
    let line = format!(r#"lapisdrum_build_info{{version="{version}",sources="{sources}"}} 1"#);
    for text in [sample_metrics().text(), sched_metrics().text()] {
        assert!(
            text.lines().any(|shown| shown == line),
            "{line} not in\n{text}"
        );
    }
}

/// An alert on a missing metric never fires: every name on the operations page must be one that a daemon
/// exports.
#[test]
fn the_operations_page_names_metrics_that_exist() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/OPERATIONS.md");
    let page = fs::read_to_string(path).expect("the page is there");
    let mut families = parse(&sample_metrics().text());
    families.extend(parse(&sched_metrics().text()));
    let is_part = |c: char| c.is_ascii_lowercase() || c == '_';
    let named = page.match_indices("lapisdrum_").map(|(at, _)| {
        let rest = &page[at..];
        &rest[..rest.find(|c| !is_part(c)).unwrap_or(rest.len())]
    });
    let mut count = 0;
    for name in named {
        let family = name.trim_end_matches("_total").trim_end_matches("_bucket");
        let family = family.trim_end_matches("_info");
        assert!(families.contains_key(family), "{name} does not exist");
        count += 1;
    }
    assert!(count > 10, "the page names its metrics");
}
