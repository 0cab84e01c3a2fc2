//! End to end: a catalogue change, a request, a batch job and a long-running task.

use crate::support::{
    http,
    process::{Site, lapisdrum_binary},
    wait,
};
use actix_http::Method;
use lapisdrum_standins::worker::server::WorkerSwitches;
use std::{path::Path, process::Command, time::Duration};

const LIMIT: Duration = Duration::from_secs(20);

fn apply_example_catalogue(daemon: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/catalogue.toml");
    let applied = Command::new(lapisdrum_binary())
        .args(["catalogue", "apply", "--daemon", daemon])
        .arg(file)
        .output()
        .expect("the command line runs");
    let text = String::from_utf8_lossy(&applied.stderr);
    assert!(applied.status.success(), "catalogue apply: {text}");
}

/// Applies the catalogue at one daemon and sends a request to the other, which must return the caller's
/// own body. Renders submitted at either daemon run once and finish; a livestream starts on one worker
/// only and still runs there after its first lease would have expired.
#[actix_rt::test]
async fn request_batch_job_and_long_running_task_are_served() {
    let site = Site::start(2, 2).await;
    let endless = WorkerSwitches {
        endless: vec!["studio-livestream".to_owned()],
        ..WorkerSwitches::default()
    };
    for worker in &site.workers {
        worker.switch_worker(&endless).await;
    }
    let (first, second) = (&site.daemons[0], &site.daemons[1]);
    apply_example_catalogue(&first.plan.callers.to_string());

    let answer = wait::until_some("a route map through the other daemon", LIMIT, async || {
        let path = "/v1/run/route-map";
        let sent = http::send(Method::POST, second.plan.callers, path, &[], "studio 14").await;
        sent.ok().filter(|answer| answer.status.is_success())
    })
    .await;
    assert_eq!(answer.body, "studio 14");
    assert_eq!(answer.header("lapisdrum-outcome"), Some("done"));

    let render = second
        .client()
        .submit_job("catalogue-render")
        .await
        .expect("accepted");
    let stream = first
        .client()
        .submit_job("studio-livestream")
        .await
        .expect("accepted");
    let (render, stream) = (render.job.to_string(), stream.job.to_string());
    wait::until("the render is done", LIMIT, async || {
        first
            .client()
            .job(&render)
            .await
            .is_ok_and(|job| job.state == "done")
    })
    .await;
    wait::until("the livestream runs", LIMIT, async || {
        second
            .client()
            .job(&stream)
            .await
            .is_ok_and(|job| job.state == "running")
    })
    .await;
    // Longer than a task's lease: the stream runs on only if its lease was renewed.
    tokio::time::sleep(Duration::from_secs(4)).await;

    let mut runs = Vec::new();
    for worker in &site.workers {
        runs.extend(worker.log().await.tasks);
    }
    let renders = runs
        .iter()
        .filter(|run| run.task.as_str() == render)
        .count();
    let streams: Vec<_> = runs
        .iter()
        .filter(|run| run.task.as_str() == stream)
        .collect();
    assert_eq!(renders, 1, "the render ran once: {runs:?}");
    assert_eq!(
        streams.len(),
        1,
        "the livestream was started once: {runs:?}"
    );
    assert_eq!(streams[0].to_ms, None, "the livestream is still running");
}
