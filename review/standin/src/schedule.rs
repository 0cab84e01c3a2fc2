//! One caller hands in a job that runs every minute, with the first time left at 0, among the usual
//! traffic.

use crate::{
    Verdict,
    record::Record,
    site::Site,
    traffic::{SHORT, Traffic, ask_all, shown},
};
use std::{path::Path, rc::Rc, time::Duration};

/// Every minute from 1970 on; fields whose value is 0 are left out.
const MINUTELY: &str = r#"{"spec":"100","steps":[{"count":1,"cpu":100,"memMb":64,"estimateMs":100}],"times":40000000,"intervalMs":60000}"#;
const TRAFFIC_BEFORE: Duration = Duration::from_secs(6);
const TRAFFIC_AFTER: Duration = Duration::from_secs(15);
/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

pub async fn run(dir: &Path, record: &Rc<Record>, trouble: &str) -> Verdict {
    let Some(site) = Site::start(dir, Rc::clone(record), 3, 4).await else {
        return Verdict::CouldNotRun("the daemons didn't become ready".to_owned());
    };
    let site = Rc::new(site);
    let verdict = play(&site, trouble != "0").await;
    site.end();
    verdict
}

async fn play(site: &Rc<Site>, is_troubled: bool) -> Verdict {
    let record = &site.record;
    let traffic = Traffic::start(site, SHORT);
    tokio::time::sleep(TRAFFIC_BEFORE).await;
    if is_troubled {
        let status = site.submit("dddddddddddddddd", MINUTELY, 3).await;
        record.say(&format!("caller: POST dddddddddddddddd, every minute: {}", shown(status)));
    }
    tokio::time::sleep(TRAFFIC_AFTER).await;
    let jobs: Vec<String> = traffic.end().await.into_iter().map(|(id, _)| id).collect();
    record.say(&format!("the traffic ends; {} jobs were accepted", jobs.len()));
    tokio::time::sleep(FINISH).await;
    let lost = ask_all(site, &jobs).await;
    let ends: Vec<String> = site.daemons.iter().map(|daemon| format!("{} {}", daemon.name, daemon.own_ends.get())).collect();
    record.say(&format!("{} of {} accepted jobs aren't known or got no answer; ends of processes by themselves: {}", lost.len(), jobs.len(), ends.join(", ")));
    match lost.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
