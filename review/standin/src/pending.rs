//! A worker crashes without a word, just before a few dozen jobs of one task come. The queue's count of
//! pending jobs is compared with the jobs that no worker has begun.

use crate::{Verdict, record::Record, site::Site, traffic::shown};
use std::{path::Path, rc::Rc, time::Duration};

/// Four tasks that last; they show which worker small tasks are put on.
const LASTING: &str = r#"{"spec":"lasts","steps":[{"count":4,"cpu":500,"memMb":64,"estimateMs":200,"longRunning":true}]}"#;
const SHORT: &str = r#"{"spec":"300","steps":[{"count":1,"cpu":200,"memMb":64,"estimateMs":300}]}"#;
/// Number of jobs.
const JOBS: usize = 24;
/// `visible_ms` + 2 s, in seconds.
const COUNTED_AFTER: f64 = 5.0;

pub async fn run(dir: &Path, record: &Rc<Record>, trouble: &str) -> Verdict {
    let Some(site) = Site::start(dir, Rc::clone(record), 3, 4).await else {
        return Verdict::CouldNotRun("the daemons didn't become ready".to_owned());
    };
    let verdict = play(&site, trouble != "0").await;
    site.end();
    verdict
}

async fn play(site: &Site, is_troubled: bool) -> Verdict {
    let record = &site.record;
    if site.submit("aaaaaaaaaaaaaaaa", LASTING, 10).await != Some(200) {
        return Verdict::CouldNotRun("the first job was not accepted".to_owned());
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let full = site.runs.borrow().iter().find(|run| run.end.is_none()).map(|run| run.worker.clone());
    let Some(worker) = site.workers.iter().find(|worker| Some(&worker.id) == full.as_ref()) else {
        return Verdict::CouldNotRun("the lasting tasks don't run".to_owned());
    };
    if is_troubled {
        worker.crash_dark();
    }
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let id = format!("{:016x}", 0xb000_0000 + number);
        let status = site.submit(&id, SHORT, 1).await;
        record.note(&format!("caller: POST {id}: {}", shown(status)));
        if status == Some(200) {
            accepted.push((id, record.now()));
        }
    }
    record.say(&format!("{} of {JOBS} jobs are accepted", accepted.len()));
    let last = accepted.last().map_or(0.0, |(_, at)| *at);
    let wait = last + COUNTED_AFTER + 0.05 - record.now();
    tokio::time::sleep(Duration::from_secs_f64(wait.max(0.0))).await;
    let mut is_broken = false;
    for daemon in &site.daemons {
        // Every job was accepted long enough ago; one that begins meanwhile isn't counted.
        let answer = crate::caller::call(&daemon.front, "GET", crate::site::HOST, crate::site::PREFIX, "").await;
        let has_begun = |id: &String| site.runs.borrow().iter().any(|run| run.task.starts_with(id.as_str()));
        let waiting: Vec<&String> = accepted.iter().map(|(id, _)| id).filter(|id| !has_begun(id)).collect();
        let status = answer.as_ref().map(|answer| answer.status);
        let given = answer.as_ref().and_then(|answer| answer.body["pending"].as_u64());
        record.say(&format!("{}: GET {}: {} pending {given:?}; {} jobs haven't begun", daemon.name, crate::site::PREFIX, shown(status), waiting.len()));
        is_broken |= given.is_some_and(|given| (given as f64) < waiting.len() as f64 / 2.0);
        if let Some(id) = waiting.first() {
            let answer = site.call("GET", id, "").await;
            record.note(&format!("caller: GET {id}: {:?}", answer.map(|answer| answer.body.to_string())));
        }
    }
    match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
