//! A write to the store gets no answer and is performed three seconds later; then the process that last
//! wrote to the store is killed.

use crate::{Verdict, record::Record, site::Site, store::LateWrite};
use futures::StreamExt;
use std::{
    cell::{Cell, RefCell},
    path::Path,
    rc::Rc,
    time::Duration,
};

/// Pause between two submissions.
const PACE: Duration = Duration::from_millis(22);
/// Delay until the unanswered write is performed.
const LATE: Duration = Duration::from_millis(3_000);
/// Time for which callers go on after the kill.
const TRAFFIC_AFTER: Duration = Duration::from_secs(10);
/// `finish_s`: after this the callers ask for all jobs.
const FINISH: Duration = Duration::from_secs(14);
/// Longest time for which a caller asks for one job again and again.
const ASKED_FOR: Duration = Duration::from_secs(12);

/// One task of 150 ms.
const SHORT: &str = r#"{"spec":"150","steps":[{"count":1,"cpu":200,"memMb":64,"estimateMs":150}]}"#;
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
    let accepted: Rc<RefCell<Vec<String>>> = Rc::default();
    let goes_on = Rc::new(Cell::new(true));
    let lasting = "aaaaaaaaaaaaaaaa".to_owned();
    if site.submit(&lasting, LASTING, 10).await != Some(200) {
        return Verdict::CouldNotRun("the first job was not accepted".to_owned());
    }
    record.note(&format!("caller: POST {lasting}, four tasks that last: 200"));
    accepted.borrow_mut().push(lasting.clone());
    let traffic = actix_rt::spawn(traffic(Rc::clone(site), Rc::clone(&accepted), Rc::clone(&goes_on)));

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
    goes_on.set(false);
    let _ = traffic.await;
    let jobs = accepted.borrow().clone();
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

async fn traffic(site: Rc<Site>, accepted: Rc<RefCell<Vec<String>>>, goes_on: Rc<Cell<bool>>) {
    let mut number = 0_u64;
    while goes_on.get() {
        number += 1;
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let (site, accepted) = (Rc::clone(&site), Rc::clone(&accepted));
        actix_rt::spawn(async move {
            let status = site.submit(&id, SHORT, 1).await;
            site.record.note(&format!("caller: POST {id}: {}", shown(status)));
            if status == Some(200) {
                accepted.borrow_mut().push(id);
            }
        });
        tokio::time::sleep(PACE).await;
    }
}

/// Asks for each job until it is answered with its state; returns those that weren't.
async fn ask_all(site: &Rc<Site>, jobs: &[String]) -> Vec<String> {
    let asked = futures::stream::iter(jobs.to_vec()).map(|id| {
        let site = Rc::clone(site);
        async move {
            let until = std::time::Instant::now() + ASKED_FOR;
            loop {
                let answer = site.call("GET", &id, "").await;
                let status = answer.as_ref().map(|answer| answer.status);
                let is_known = status == Some(200);
                if is_known || std::time::Instant::now() > until {
                    let state = answer.map(|answer| answer.body.to_string()).unwrap_or_default();
                    site.record.note(&format!("caller: GET {id}: {} {state}", shown(status)));
                    return (!is_known).then_some(id);
                }
                tokio::time::sleep(Duration::from_millis(1_000)).await;
            }
        }
    });
    asked.buffer_unordered(2_000).filter_map(async |lost| lost).collect().await
}

fn shown(status: Option<u16>) -> String {
    status.map_or_else(|| "no answer".to_owned(), |status| status.to_string())
}
