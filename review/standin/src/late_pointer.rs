//! A write to the store gets no answer and is performed three seconds later; then the process that last
//! wrote to the store is killed.

use crate::{
    Verdict,
    record::Record,
    site::Site,
    store::LateWrite,
    traffic::{SHORT, Traffic, ask_all},
};
use std::{path::Path, rc::Rc, time::Duration};

/// Delay until the unanswered write is performed.
const LATE: Duration = Duration::from_millis(3_000);
/// Time for which callers go on after the kill.
const TRAFFIC_AFTER: Duration = Duration::from_secs(10);
/// `finish_s`: after this the callers ask for all jobs.
const FINISH: Duration = Duration::from_secs(14);
/// Four tasks that last.
const LASTING: &str = r#"{"spec":"lasts","steps":[{"count":4,"cpu":500,"memMb":64,"estimateMs":200,"longRunning":true}]}"#;

pub async fn run(dir: &Path, record: &Rc<Record>, trouble: &str) -> Verdict {
    let (is_late, is_killed) = match trouble {
        "0" => (false, false),
        "late" => (true, false),
        "kill" => (false, true),
        _ => (true, true),
    };
    let Some(site) = Site::start(dir, Rc::clone(record), 3, 4).await else {
        return Verdict::CouldNotRun("the daemons didn't become ready".to_owned());
    };
    let site = Rc::new(site);
    let verdict = play(&site, is_late, is_killed).await;
    site.end();
    verdict
}

async fn play(site: &Rc<Site>, is_late: bool, is_killed: bool) -> Verdict {
    let record = &site.record;
    if is_late {
        *site.store.late.borrow_mut() = Some(LateWrite { table: "snapshots", after: LATE });
    }
    let lasting = "aaaaaaaaaaaaaaaa".to_owned();
    if site.submit(&lasting, LASTING, 10).await != Some(200) {
        return Verdict::CouldNotRun("the first job was not accepted".to_owned());
    }
    record.note(&format!("caller: POST {lasting}, four tasks that last: 200"));
    let traffic = Traffic::start(site, SHORT);

    // The first snapshot is stored after 400 journal rows.
    for _ in 0..400 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let has_pointer = site.store.value("snapshots", "shard-0", "latest").is_some();
        if has_pointer && (!is_late || site.store.late_is_over.get()) {
            break;
        }
    }
    let Some(pointer) = site.store.value("snapshots", "shard-0", "latest") else {
        return Verdict::CouldNotRun("no snapshot was stored".to_owned());
    };
    let (count, first, last) = site.store.range("journal", "shard-0");
    record.say(&format!("store: the pointer is {pointer}; {count} journal rows, {first} to {last}"));
    if is_late && !site.store.late_is_over.get() {
        return Verdict::CouldNotRun("the late write was not performed".to_owned());
    }
    if is_killed {
        let Some(owner) = site.owner() else {
            return Verdict::CouldNotRun("no owner is known".to_owned());
        };
        record.say(&format!("{}, which last wrote to the store, is killed", owner.name));
        owner.kill();
    }
    tokio::time::sleep(TRAFFIC_AFTER).await;
    let mut jobs: Vec<String> = traffic.end().await.into_iter().map(|(id, _)| id).collect();
    jobs.push(lasting.clone());
    record.say(&format!("the traffic ends; {} jobs were accepted", jobs.len()));
    tokio::time::sleep(FINISH).await;
    let lost = ask_all(site, &jobs).await;
    let lasting_runs = site.runs.borrow().iter().filter(|run| run.task.starts_with(&lasting) && run.end.is_none()).count();
    record.say(&format!("{} of {} accepted jobs aren't known or got no answer; {lasting_runs} of the 4 tasks that last are at work", lost.len(), jobs.len()));
    match lost.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
