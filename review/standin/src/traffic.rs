//! Steady traffic of small jobs, and what callers ask for at the end.

use crate::site::Site;
use futures::StreamExt;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

/// Pause between two submissions.
const PACE: Duration = Duration::from_millis(22);
/// Longest time for which a caller asks for one job again and again.
const ASKED_FOR: Duration = Duration::from_secs(12);
/// One task of 150 ms.
pub const SHORT: &str = r#"{"spec":"150","steps":[{"count":1,"cpu":200,"memMb":64,"estimateMs":150}]}"#;

/// Jobs that were accepted, and when.
type Accepted = Rc<RefCell<Vec<(String, f64)>>>;

/// Callers that submit small jobs.
pub struct Traffic {
    accepted: Accepted,
    goes_on: Rc<Cell<bool>>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Traffic {
    /// Submits `body` again and again, each time under another id.
    pub fn start(site: &Rc<Site>, body: &'static str) -> Self {
        let accepted = Accepted::default();
        let goes_on = Rc::new(Cell::new(true));
        let task = actix_rt::spawn(submit_all(Rc::clone(site), body, Rc::clone(&accepted), Rc::clone(&goes_on)));
        Self { accepted, goes_on, task }
    }

    /// Ends the traffic; returns the jobs that were accepted, and when each was.
    pub async fn end(self) -> Vec<(String, f64)> {
        self.goes_on.set(false);
        let _ = self.task.await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        self.accepted.borrow().clone()
    }
}

async fn submit_all(site: Rc<Site>, body: &'static str, accepted: Accepted, goes_on: Rc<Cell<bool>>) {
    let mut number = 0_u64;
    while goes_on.get() {
        number += 1;
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let (site, accepted) = (Rc::clone(&site), Rc::clone(&accepted));
        actix_rt::spawn(async move {
            let status = site.submit(&id, body, 1).await;
            site.record.note(&format!("caller: POST {id}: {}", shown(status)));
            if status == Some(200) {
                accepted.borrow_mut().push((id, site.record.now()));
            }
        });
        tokio::time::sleep(PACE).await;
    }
}

/// Asks for each job until it is answered with its state; returns those that weren't.
pub async fn ask_all(site: &Rc<Site>, jobs: &[String]) -> Vec<String> {
    let asked = futures::stream::iter(jobs.to_vec()).map(|id| {
        let site = Rc::clone(site);
        async move {
            let until = Instant::now() + ASKED_FOR;
            loop {
                let answer = site.call("GET", &id, "").await;
                let status = answer.as_ref().map(|answer| answer.status);
                let is_known = status == Some(200);
                if is_known || Instant::now() > until {
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

/// A status, for the record.
pub fn shown(status: Option<u16>) -> String {
    status.map_or_else(|| "no answer".to_owned(), |status| status.to_string())
}
