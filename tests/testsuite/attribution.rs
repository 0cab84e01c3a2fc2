//! Latency attribution: where jobs spent their time, reconstructed from log lines.

use assert_matches::assert_matches;
use lapisdrum::{
    attribution::{
        log_line,
        path::{Span, Spent},
        totals::By,
        trace::Traces,
    },
    ops::explain::{Explanation, Question, explain, explain_traces},
    sched::shape::{Shape, StepShape},
};
use proptest::prelude::*;
use std::path::PathBuf;

const JOB: &str = "00000000000000aa";

/// A log line as a daemon writes it, with the prefix that a log collector adds.
fn line_at(ms: u64, message: &str, kvs: &str) -> String {
    let (s, ms) = (ms / 1_000, ms % 1_000);
    format!(
        "edge-1 {{\"timestamp\":\"2026-01-31T12:00:{s:02}.{ms:03}Z\",\"level\":\"INFO\",\"message\":\"{message}\",\"kvs\":{{{kvs}}}}}"
    )
}

fn run(task: &str, run: u32) -> String {
    format!("\"task\":\"{JOB}.0.{task}\",\"run\":{run}")
}

/// A job of two steps. Its caller is refused for a second; the first step waits for placement, and its only run is
/// stopped and resumed; then its owner is killed, and the second step waits for the next owner.
fn lines() -> Vec<String> {
    let handed = |outcome: &str| {
        format!(
            "\"job\":\"{JOB}\",\"queue\":\"renders\",\"data_centre\":\"karen\",\"outcome\":\"{outcome}\",\"took_ms\":10"
        )
    };
    let ordered = |task: &str, number: u32, token: u64| {
        let run = run(task, number);
        format!("{run},\"token\":{token},\"waited_ms\":20,\"took_ms\":5,\"outcome\":\"Done(1)\"")
    };
    let shard = "\"shard\":\"shard-0\"";
    vec![
        line_at(
            0,
            "take-over tried",
            &format!("{shard},\"end\":\"Committed(7)\""),
        ),
        line_at(100, "shard recovered", &format!("{shard},\"token\":7")),
        line_at(1_010, "job submitted", &handed("Refused(1s)")),
        line_at(2_010, "job submitted", &handed("Done(())")),
        line_at(
            2_005,
            "job accepted",
            &format!(
                "\"job\":\"{JOB}\",\"queue\":\"renders\",{shard},\"steps\":\"1x1000 1x500@0\",\"objective_ms\":5000"
            ),
        ),
        line_at(
            2_100,
            "step waits",
            &format!("\"step\":\"{JOB}.0.0\",\"why\":\"Pressure\""),
        ),
        line_at(3_030, "start ordered", &ordered("0.0", 1, 7)),
        line_at(
            3_530,
            "run ended",
            &format!("{},\"how\":\"Stopped\"", run("0.0", 1)),
        ),
        line_at(3_555, "start ordered", &ordered("0.0", 2, 7)),
        line_at(
            5_055,
            "run ended",
            &format!("{},\"how\":\"Done\"", run("0.0", 2)),
        ),
        line_at(
            6_555,
            "take-over tried",
            &format!("{shard},\"end\":\"Committed(9)\""),
        ),
        line_at(6_655, "shard recovered", &format!("{shard},\"token\":9")),
        line_at(6_700, "start ordered", &ordered("1.0", 1, 9)),
        line_at(
            7_100,
            "run ended",
            &format!("{},\"how\":\"Done\"", run("1.0", 1)),
        ),
        line_at(
            7_110,
            "job over",
            &format!("\"job\":\"{JOB}\",\"phase\":\"Completed\""),
        ),
        "no line of a daemon".to_owned(),
        line_at(8_000, "worker claimed", "\"worker\":\"w0\""),
    ]
}

fn traces() -> Traces {
    Traces::gather(lines().iter().rev().filter_map(|raw| log_line::read(raw)))
}

fn path_of(traces: &Traces) -> Vec<Span> {
    match explain_traces(traces, &Question::Job(JOB.to_owned())) {
        Ok(Explanation::Job(job)) => job.path,
        other => panic!("{other:?}"),
    }
}

fn time_on(path: &[Span], spent: &Spent) -> i64 {
    let on = path.iter().filter(|span| span.spent == *spent);
    on.map(|span| span.to_ms - span.from_ms).sum()
}

/// The time between the first attempt and the end must be attributed without gaps, each part to its cause.
#[test]
fn a_late_job_is_explained() {
    let traces = traces();
    let path = path_of(&traces);
    let gapless = path.windows(2).all(|two| two[0].to_ms == two[1].from_ms);
    assert!(gapless, "{path:#?}");
    assert_eq!(time_on(&path, &Spent::Submission), 1_005);
    assert_eq!(time_on(&path, &Spent::Stopped), 500);
    assert_eq!(time_on(&path, &Spent::Run), 1_000 + 400);
    assert_eq!(time_on(&path, &Spent::Overrun), 500);
    assert_eq!(time_on(&path, &Spent::NoOwner), 6_555 - 5_055);
    assert_eq!(time_on(&path, &Spent::Recovering), 100);
    assert_eq!(time_on(&path, &Spent::Journal), 60);
    assert_eq!(time_on(&path, &Spent::Place("Pressure".to_owned())), 1_000);
    let shown = explain_traces(&traces, &Question::Job(JOB.to_owned())).expect("an answer");
    let shown = shown.to_string();
    assert!(
        shown.contains("renders, submitted at karen: 6.110 s, on time within 5.000 s"),
        "{shown}"
    );
    assert!(shown.contains("waiting for placement: Pressure"), "{shown}");
}

/// The totals must count the job once, as late, under its entry, its data centre and its second.
#[test]
fn sums_are_grouped_by_entry_data_centre_and_second() {
    for (by, group) in [
        (By::Entry, "renders"),
        (By::DataCentre, "karen"),
        (By::Second, "    0 s"),
    ] {
        let answered = explain_traces(&traces(), &Question::Sums(by)).expect("an answer");
        let Explanation::Sums(rows) = answered else {
            panic!("no sums");
        };
        assert_eq!(rows.len(), 1);
        assert_eq!(
            (rows[0].group.as_str(), rows[0].jobs, rows[0].late),
            (group, 1, 1)
        );
        assert_eq!(rows[0].chain_ms, 1_500);
        let whole: i64 = rows[0].spent.iter().map(|(_, ms)| ms).sum();
        assert_eq!(whole, 7_110 - 1_000);
    }
}

/// A file without our log lines, a missing file, an invalid or unknown id and a missing acceptance must each be
/// reported, and nothing is guessed.
#[test]
fn what_cannot_be_explained_is_reported() {
    let missing = explain(&[PathBuf::from("no-such.log")], &Question::Sums(By::Entry));
    assert!(
        missing
            .expect_err("no file")
            .message
            .contains("no-such.log")
    );
    let traces = traces();
    for (id, phrase) in [
        ("xyz", "16 hexadecimal digits"),
        ("00000000000000bb", "no line tells"),
    ] {
        let refused = explain_traces(&traces, &Question::Job(id.to_owned())).expect_err("no job");
        assert!(refused.message.contains(phrase), "{refused}");
    }
    let without = lines()
        .into_iter()
        .filter(|raw| !raw.contains("job accepted"));
    let without: Vec<String> = without.collect();
    let traces = Traces::gather(without.iter().filter_map(|raw| log_line::read(raw)));
    let refused = explain_traces(&traces, &Question::Job(JOB.to_owned())).expect_err("no path");
    assert!(
        refused.message.contains("acceptance is missing"),
        "{refused}"
    );
}

/// A worker with a long-running task is lost: how long the task was unavailable, and why, must be reported.
#[test]
fn long_running_tasks_are_reported_by_their_unavailability() {
    let mut raw = lines();
    raw.retain(|raw| !raw.contains("job over"));
    let raw: Vec<String> = raw
        .into_iter()
        .map(|raw| raw.replace("1x1000 1x500@0", "1x1000+"))
        .collect();
    let traces = Traces::gather(raw.iter().filter_map(|raw| log_line::read(raw)));
    let answered = explain_traces(&traces, &Question::Sums(By::Entry)).expect("an answer");
    assert_matches!(&answered, Explanation::Sums(rows) if rows[0].long_running_ms > 0);
    assert!(
        answered
            .to_string()
            .contains("long-running tasks were unavailable"),
        "{answered}"
    );
}

fn any_step() -> impl Strategy<Value = StepShape> {
    let after = prop::collection::vec(0..64_u16, 0..4);
    (1..10_000_u32, 0..100_000_u64, any::<bool>(), after).prop_map(
        |(count, estimate_ms, is_long_running, after)| StepShape {
            count,
            estimate_ms,
            is_long_running,
            after,
        },
    )
}

proptest! {
    /// The steps of a job, written to a log line and parsed again, must be unchanged.
    #[test]
    fn a_shape_is_read_back(steps in prop::collection::vec(any_step(), 0..8)) {
        let shape = Shape(steps);
        prop_assert_eq!(shape.to_string().parse::<Shape>(), Ok(shape));
    }

    /// Parsing any file must not panic.
    #[test]
    fn any_line_is_read_or_ignored(raw in ".{0,200}") {
        let _ = log_line::read(&raw);
        let _ = raw.parse::<Shape>();
    }
}
