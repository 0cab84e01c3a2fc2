//! Callers hand in a few large jobs, each within the limit of the config, among the usual traffic.

use crate::{
    Verdict,
    record::Record,
    site::Site,
    traffic::{Traffic, shown},
    worker::Run,
};
use serde_json::json;
use std::{path::Path, rc::Rc, time::Duration};

const LARGE_JOBS: usize = 4;
/// A requester's first try and its retries.
const TRIES: usize = 5;
/// For this long, in seconds, a job may have nothing running while a task's turn has come.
const IDLE: f64 = 3.0;
/// Two steps of one task of 150 ms, one after the other.
const SMALL: &str = r#"{"spec":"150","steps":[{"count":1,"cpu":200,"memMb":64,"estimateMs":150},{"count":1,"cpu":200,"memMb":64,"estimateMs":150,"after":[0]}]}"#;

pub async fn run(dir: &Path, record: &Rc<Record>, trouble: &str) -> Verdict {
    let Some(site) = Site::start(dir, Rc::clone(record), 3, 4).await else {
        return Verdict::CouldNotRun("the daemons didn't become ready".to_owned());
    };
    let site = Rc::new(site);
    let verdict = play(&site, trouble != "0").await;
    site.end();
    verdict
}

/// 64 steps, one after the other, each with an image name of 1,000 characters.
fn large() -> String {
    let step = |nth: usize| {
        let after: Vec<usize> = (nth > 0).then(|| nth - 1).into_iter().collect();
        json!({ "count": 1, "cpu": 100, "memMb": 64, "estimateMs": 50, "after": after, "image": format!("{nth:0>1000}") })
    };
    let steps: Vec<_> = (0..64).map(step).collect();
    json!({ "spec": "50", "steps": steps }).to_string()
}

async fn play(site: &Rc<Site>, is_troubled: bool) -> Verdict {
    let record = &site.record;
    let traffic = Traffic::start(site, SMALL);
    tokio::time::sleep(Duration::from_secs(9)).await;
    if is_troubled {
        let body = large();
        record.say(&format!("callers hand in {LARGE_JOBS} jobs of {} bytes each, one after the other", body.len()));
        for number in 0..LARGE_JOBS {
            let id = format!("{:016x}", 0xe000_0000_u64 + number as u64);
            let status = site.submit(&id, &body, TRIES).await;
            record.say(&format!("caller: POST {id}, large: {}", shown(status)));
        }
    }
    tokio::time::sleep(Duration::from_secs(12)).await;
    let jobs = traffic.end().await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let runs = site.runs.borrow();
    let idle: Vec<(&String, f64)> = jobs
        .iter()
        .map(|(id, at)| (id, idle(id, *at, &runs, record.now())))
        .filter(|(_, idle)| *idle > IDLE)
        .collect();
    for (id, idle) in &idle {
        record.note(&format!("LOST: job {id} had nothing running for {idle:.2} s while a task's turn had come"));
    }
    let most = idle.iter().map(|(_, idle)| *idle).fold(0.0, f64::max);
    record.say(&format!("{} of {} accepted jobs had nothing running for over {IDLE} s, {most:.2} s at most, while a task's turn had come", idle.len(), jobs.len()));
    match idle.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

/// Longest time for which a job of two steps had nothing running before it was done.
fn idle(id: &str, accepted_at: f64, runs: &[Run], now: f64) -> f64 {
    let mut since = accepted_at;
    let mut longest = 0.0_f64;
    for step in 0..2 {
        let task = format!("{id}.0.{step}.0");
        let Some(run) = runs.iter().find(|run| run.task == task) else {
            return longest.max(now - since);
        };
        longest = longest.max(run.from - since);
        since = run.end.map_or(now, |(_, at)| at);
    }
    longest
}
