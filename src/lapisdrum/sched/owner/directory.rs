//! Polls the directory for the shard's workers.

use super::{Owner, poll, runs, session::Session};
use crate::{
    policy::polling,
    sched::{
        Cx,
        edge::WorkerReport,
        layout::{self, ShardId},
    },
};
use indexmap::IndexSet;
use std::{rc::Rc, time::Duration};

/// Time between two reads of the directory: a worker must get no new tasks from 2 s after it
/// announces that it leaves.
const POLL_INTERVAL: Duration = Duration::from_millis(600);

/// Polls the directory until the shard is lost.
pub async fn follow(cx: Cx, owner: Rc<Owner>) {
    while owner.is_serving() {
        let read = cx.directory.workers().await;
        cx.note_store(read.as_ref().map(|_| ()));
        let was_refused = read.as_ref().is_err_and(|e| e.is_rate_limited);
        let pause = polling::urgent_pause(POLL_INTERVAL, was_refused, &mut cx.rng());
        if let Ok(reports) = read {
            layout::extend(&cx, &reports, owner.handle.shard == ShardId(0)).await;
            let own = of_shard(&cx, owner.handle.shard, reports);
            note(&cx, &owner, own);
        }
        tokio::time::sleep(pause).await;
    }
}

fn of_shard(cx: &Cx, shard: ShardId, mut reports: Vec<WorkerReport>) -> Vec<WorkerReport> {
    let layout = cx.layout.borrow().clone();
    reports.retain(|report| layout.as_ref().and_then(|l| l.shard_of(report)) == Some(shard));
    reports
}

fn note(cx: &Cx, owner: &Rc<Owner>, reports: Vec<WorkerReport>) {
    let named: IndexSet<String> = reports
        .iter()
        .map(|r| r.incarnation.worker.clone())
        .collect();
    for report in reports {
        note_one(cx, owner, report);
    }
    for (worker, session) in owner.sessions.borrow_mut().iter_mut() {
        if session.is_registered && !named.contains(worker) {
            session.is_registered = false;
            log::info!(worker:%; "worker is no longer registered");
        }
    }
    owner.sessions.borrow_mut().retain(|_, session| {
        session.is_registered || session.is_polled || !session.runs.is_empty()
    });
    owner.wake.notify_one();
}

fn note_one(cx: &Cx, owner: &Rc<Owner>, report: WorkerReport) {
    let worker = report.incarnation.worker.clone();
    let mut sessions = owner.sessions.borrow_mut();
    let session = sessions
        .entry(worker.clone())
        .or_insert_with(|| Session::new(owner.inherited_bound(&worker)));
    let was_leaving = session
        .report
        .as_ref()
        .is_some_and(|r| r.leaving_in.is_some());
    if !session.is_registered || was_leaving != report.leaving_in.is_some() {
        log::info!(worker:% = worker, address:% = report.address, born = report.incarnation.started_unix_ms, leaving_in:? = report.leaving_in; "worker registered");
    }
    session.is_registered = true;
    let is_leaving = report.leaving_in.is_some();
    session.report = Some(Rc::new(report));
    drop(sessions);
    poll::start_polling(cx, owner, &worker);
    if is_leaving {
        runs::stop_movable_runs(cx, owner, &worker);
    }
}
