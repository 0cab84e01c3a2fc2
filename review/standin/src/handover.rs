//! The owner of the shard gets SIGTERM; the store performs the write that releases the shard and its answer
//! is lost. The next owner accepts a job, and the caller cancels it at the daemon that is stopping.

use crate::{
    Verdict, caller,
    record::Record,
    site::{HOST, PREFIX, Site},
    traffic::shown,
};
use std::{path::Path, rc::Rc, time::Duration};

/// Number of hand-overs.
const ROUNDS: u64 = 5;
/// Two steps of one task of 13 s, one after the other. The second is due later than `stabilityWindowMs`,
/// `ackMs` and `cancel_ms` together after the cancel, so that the rule is broken by either of its readings.
const JOB: &str = r#"{"spec":"13000","steps":[{"count":1,"cpu":500,"memMb":64,"estimateMs":13000},{"count":1,"cpu":500,"memMb":64,"estimateMs":13000,"after":[0]}]}"#;
/// `cancel_ms`, in seconds.
const CANCEL: f64 = 3.0;
/// Time from one hand-over to the next: the stopped daemon is back long before the second step is due.
const ROUND: Duration = Duration::from_secs(16);

pub async fn run(dir: &Path, record: &Rc<Record>, trouble: &str) -> Verdict {
    let Some(site) = Site::start(dir, Rc::clone(record), 3, 4).await else {
        return Verdict::CouldNotRun("the daemons didn't become ready".to_owned());
    };
    let (is_stopped, is_lost) = match trouble {
        "0" => (false, false),
        "term" => (true, false),
        _ => (true, true),
    };
    let verdict = play(&site, is_stopped, is_lost).await;
    site.end();
    verdict
}

async fn play(site: &Site, is_stopped: bool, is_lost: bool) -> Verdict {
    let record = &site.record;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let mut broken = 0;
    for round in 0..ROUNDS {
        let Some(before) = site.owner().map(Rc::clone) else {
            return Verdict::CouldNotRun("no owner is known".to_owned());
        };
        let mut now = Rc::clone(&before);
        if is_stopped {
            site.store.loses_release.set(is_lost);
            record.say(&format!("{}, the owner, gets SIGTERM", before.name));
            before.terminate();
            for _ in 0..1_500 {
                tokio::time::sleep(Duration::from_millis(3)).await;
                if let Some(owner) = site.owner().filter(|owner| owner.name != before.name) {
                    now = Rc::clone(owner);
                    break;
                }
            }
            if now.name == before.name {
                return Verdict::CouldNotRun("no other daemon took the shard over".to_owned());
            }
            record.say(&format!("{} is the owner now", now.name));
        }
        let id = format!("{:016x}", 0xabc0_0000 + round);
        let path = format!("{PREFIX}{id}");
        let mut status = None;
        for _ in 0..100 {
            status = caller::call(&now.front, "POST", HOST, &path, JOB).await.map(|answer| answer.status);
            if status == Some(200) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        record.say(&format!("caller: POST {id} at {}: {}", now.name, shown(status)));
        if status != Some(200) {
            return Verdict::CouldNotRun("the job was not accepted".to_owned());
        }
        // Until it hears of a cancel, the caller asks again, at any daemon.
        let mut asked = Rc::clone(&before);
        let acknowledged_at = loop {
            let status = caller::call(&asked.front, "DELETE", HOST, &path, "").await.map(|answer| answer.status);
            record.say(&format!("caller: DELETE {id} at {}: {}", asked.name, shown(status)));
            if matches!(status, Some(200..300 | 410)) {
                break record.now();
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
            asked = Rc::clone(&now);
        };
        tokio::time::sleep(ROUND).await;
        let state = caller::call(&now.front, "GET", HOST, &path, "").await;
        record.say(&format!("caller: GET {id}: {:?}", state.map(|answer| answer.body.to_string())));
        let runs = site.runs.borrow();
        let late = runs.iter().find(|run| run.task.starts_with(&id) && run.from > acknowledged_at + CANCEL);
        if let Some(run) = late {
            broken += 1;
            record.say(&format!("UNASKED: {} run {} starts {:.2} s after the cancel was acknowledged", run.task, run.run, run.from - acknowledged_at));
        }
    }
    record.say(&format!("{broken} of {ROUNDS} cancelled jobs had a task started over {CANCEL} s later"));
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
