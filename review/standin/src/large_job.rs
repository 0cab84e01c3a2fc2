//! Callers hand in a few large jobs, each within the limit of the config, among the usual traffic.

use crate::{
    Verdict,
    record::Record,
    site::Site,
    traffic::{Traffic, shown},
};
use serde_json::json;
use std::{path::Path, rc::Rc, time::Duration};

const LARGE_JOBS: usize = 4;
/// A requester's retries.
const TRIES: usize = 5;
/// `rules`: for this long a job may have nothing running.
const IDLE: f64 = 3.0;

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
        json!({ "count": 1, "cpu": 100, "memMb": 64, "estimateMs": 50, "after": after, "image": format!("{:0>1000}", nth) })
    };
    let steps: Vec<_> = (0..64).map(step).collect();
    json!({ "spec": "50", "steps": steps }).to_string()
}

async fn play(site: &Rc<Site>, is_troubled: bool) -> Verdict {
    let record = &site.record;
    let traffic = Traffic::start(site);
    tokio::time::sleep(Duration::from_secs(9)).await;
    let from = record.now();
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
    tokio::time::sleep(Duration::from_secs(3)).await;
    // Longest time without any start anywhere, while jobs were accepted and waited.
    let runs = site.runs.borrow();
    let mut starts: Vec<f64> = runs.iter().map(|run| run.from).filter(|at| *at > from - 1.0).collect();
    starts.sort_by(f64::total_cmp);
    let gaps = starts.windows(2).map(|two| two[1] - two[0]);
    let widest = gaps.fold(0.0, f64::max);
    let begun = |id: &&String| runs.iter().any(|run| run.task.starts_with(id.as_str()));
    let waiting = jobs.iter().filter(|id| !begun(id)).count();
    record.say(&format!("{} jobs accepted, {waiting} of them never begun; longest time without a start: {widest:.2} s", jobs.len()));
    match widest > IDLE || waiting > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
