//! Bad input: an error status, one line of JSON that says how to fix it, and no change.

use crate::support::{http, process::Site};
use actix_http::{Method, StatusCode};
use lapisdrum::core::{catalogue::RawEntry, id::Revision};
use serde_json::json;

fn entry(name: &str, class: &str) -> serde_json::Value {
    json!({ "name": name, "owner": "trail", "class": class, "millicores": 100, "memory_mb": 64 })
}

fn raw(name: &str, class: &str) -> RawEntry {
    serde_json::from_value(entry(name, class)).expect("a raw entry")
}

/// Each call is wrong in its own way and must get its own status and one line that names the fault and
/// the fix; afterwards the catalogue is unchanged and no job exists.
#[actix_rt::test]
async fn wrong_calls_are_answered_and_change_nothing() {
    let site = Site::start(1, 1).await;
    let daemon = &site.daemons[0];
    let client = daemon.client();
    client
        .put_entry(&raw("map", "latency-critical"), None)
        .await
        .expect("accepted");
    client
        .put_entry(&raw("render", "batch"), None)
        .await
        .expect("accepted");
    let before = client.catalogue().await.expect("a catalogue");

    let large = "x".repeat(2 << 20);
    let map = entry("map", "latency-critical").to_string();
    let faulty = json!({
        "name": "map", "owner": "Trail!", "class": "urgent", "millicores": 0, "memory_mb": 64
    })
    .to_string();
    type Call<'a> = (
        Method,
        &'a str,
        &'a [(&'a str, &'a str)],
        &'a str,
        StatusCode,
        &'a str,
    );
    let stale: &[(&str, &str)] = &[("if-match", "\"99\"")];
    let calls: [Call<'_>; 12] = [
        (
            Method::POST,
            "/v1/run/nothing",
            &[],
            "",
            StatusCode::NOT_FOUND,
            "no entry",
        ),
        (
            Method::POST,
            "/v1/run/Bad%20Name",
            &[],
            "",
            StatusCode::BAD_REQUEST,
            "invalid name",
        ),
        (
            Method::POST,
            "/v1/run/render",
            &[],
            "",
            StatusCode::CONFLICT,
            "is batch",
        ),
        (
            Method::POST,
            "/v1/jobs/map",
            &[],
            "",
            StatusCode::CONFLICT,
            "is latency-critical",
        ),
        (
            Method::POST,
            "/v1/jobs/nothing",
            &[],
            "",
            StatusCode::NOT_FOUND,
            "no entry",
        ),
        (
            Method::POST,
            "/v1/run/map",
            &[],
            &large,
            StatusCode::PAYLOAD_TOO_LARGE,
            "larger than",
        ),
        (
            Method::POST,
            "/v1/run/map",
            &[("lapisdrum-deadline-ms", "soon")],
            "",
            StatusCode::BAD_REQUEST,
            "whole number",
        ),
        (
            Method::PUT,
            "/v1/catalogue/map",
            &[],
            "{\"name\":",
            StatusCode::BAD_REQUEST,
            "can't be read",
        ),
        (
            Method::PUT,
            "/v1/catalogue/map",
            &[],
            &map,
            StatusCode::PRECONDITION_REQUIRED,
            "if-match",
        ),
        (
            Method::PUT,
            "/v1/catalogue/map",
            stale,
            &map,
            StatusCode::PRECONDITION_FAILED,
            "conflict",
        ),
        (
            Method::PUT,
            "/v1/catalogue/map",
            stale,
            &faulty,
            StatusCode::UNPROCESSABLE_ENTITY,
            "`class`",
        ),
        (
            Method::GET,
            "/v1/jobs/westlands.0-0",
            &[],
            "",
            StatusCode::NOT_FOUND,
            "no job",
        ),
    ];
    for (method, path, headers, body, status, phrase) in calls {
        let answer = http::send(
            method.clone(),
            daemon.plan.callers,
            path,
            headers,
            body.to_owned(),
        );
        let answer = answer
            .await
            .unwrap_or_else(|e| panic!("{method} {path}: {e}"));
        let fault = answer.json();
        assert_eq!(answer.status, status, "{method} {path}: {fault}");
        let error = fault["error"].as_str().unwrap_or_default();
        assert!(error.contains(phrase), "{method} {path}: {error}");
        assert!(
            !fault["help"].as_str().unwrap_or_default().is_empty(),
            "{method} {path}"
        );
        assert!(!answer.body.contains(&b'\n'), "one line: {fault}");
    }
    let after = client.catalogue().await.expect("a catalogue");
    assert_eq!(after, before);
    assert_eq!(after.revision, Revision(2));
}
