//! A worker crashes and starts again while its time of day is ahead, crashes once more, and starts when
//! its time of day is right again. Then jobs come that only this worker may run.

use crate::{Verdict, record::Record, site::Site, traffic::shown};
use std::{path::Path, rc::Rc, time::Duration};

/// Needs the label of the rack that has one worker only.
const BOUND: &str = r#"{"spec":"200","steps":[{"count":1,"cpu":200,"memMb":64,"estimateMs":200,"requiredLabel":"r1-1"}]}"#;
/// How far the time of day is ahead, in milliseconds.
const AHEAD_MS: u64 = 2_400;
/// Time without any disruption before the jobs come: longer than the rule's 3 s and 4 s.
const CALM: Duration = Duration::from_secs(9);
/// How long the jobs are watched; the rule allows 3 s.
const WATCHED: Duration = Duration::from_secs(20);

pub async fn run(dir: &Path, record: &Rc<Record>, trouble: &str) -> Verdict {
    let Some(site) = Site::start(dir, Rc::clone(record), 3, 4).await else {
        return Verdict::CouldNotRun("the daemons didn't become ready".to_owned());
    };
    let verdict = play(&site, trouble).await;
    site.end();
    verdict
}

async fn play(site: &Site, trouble: &str) -> Verdict {
    let record = &site.record;
    if site.submit("c000000000000000", BOUND, 10).await != Some(200) {
        return Verdict::CouldNotRun("the first job was not accepted".to_owned());
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    if !site.runs.borrow().iter().any(|run| matches!(run.end, Some(("done", _)))) {
        return Verdict::CouldNotRun("the first job was not run".to_owned());
    }
    let worker = &site.workers[3];
    if trouble != "0" {
        let ahead = if trouble == "crash" { 0 } else { AHEAD_MS };
        worker.crash();
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        worker.boot(ahead);
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        worker.crash();
        tokio::time::sleep(Duration::from_millis(600)).await;
        worker.boot(0);
    }
    tokio::time::sleep(CALM).await;
    let mut accepted = Vec::new();
    for number in 1..6 {
        let id = format!("c{number:015x}");
        let status = site.submit(&id, BOUND, 3).await;
        record.say(&format!("caller: POST {id}: {}", shown(status)));
        if status == Some(200) {
            accepted.push(id);
        }
    }
    if accepted.is_empty() {
        return Verdict::CouldNotRun("no job was accepted".to_owned());
    }
    tokio::time::sleep(WATCHED).await;
    let has_begun = |id: &&String| site.runs.borrow().iter().any(|run| run.task.starts_with(id.as_str()));
    let waiting = accepted.iter().filter(|id| !has_begun(id)).count();
    for id in &accepted {
        let answer = site.call("GET", id, "").await;
        record.note(&format!("caller: GET {id}: {:?}", answer.map(|answer| answer.body.to_string())));
    }
    record.say(&format!("{waiting} of {} accepted jobs have had nothing running for {WATCHED:?}; nothing else runs", accepted.len()));
    match waiting {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
