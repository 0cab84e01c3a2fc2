//! Periodic maintenance: gives up runs on unresponsive workers whose leases have expired, stops
//! stalled runs, removes jobs past their retention, and updates gauges.

use super::{
    Owner,
    outages::{self, WaitsFor},
    runs, stalled_jobs,
};
use crate::{
    core::time::{Millis, millis},
    daemon::supervisor,
    sched::{
        Cx,
        event::{Event, Loss, RunId},
        job::JobId,
        journal::{AppendOutcome, JournalUsage},
        ledger::{Phase, SentJob},
        resolution::{Order, Stop},
    },
};
use indexmap::IndexMap;
use std::{rc::Rc, time::Duration};

/// Minimum time between two maintenance rounds, one of which is due to the end of a lease.
pub const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between maintenance rounds.
const INTERVAL: Duration = Duration::from_millis(300);
/// A task without progress for this long is stalled: tasks take about 2 s, so one that works
/// advances by 1 % every 20 ms.
const STALLED_AFTER: Duration = Duration::from_millis(1_800);
/// Tasks with a CPU limit below this, in percent, are too slow to be distinguished from stalled
/// ones.
pub(super) const MIN_JUDGED_CPU_LIMIT_PERCENT: u32 = 20;
/// Most jobs removed in one round, so that their events fit into one row.
const MAX_FORGOTTEN_PER_ROUND: usize = 200;

/// Runs maintenance rounds until the shard is lost.
pub async fn run(cx: Cx, owner: Rc<Owner>) {
    while owner.is_serving() {
        give_up_lapsed(&cx, &owner);
        if !owner.is_suspended() {
            stop_stalled(&cx, &owner);
        }
        forget_old(&cx, &owner);
        note_evacuated(&cx, &owner);
        outages::note(&cx, &owner);
        stalled_jobs::note(&cx, &owner);
        note_gauges(&cx);
        tokio::time::sleep(until_next_round(&cx, &owner)).await;
    }
    // A process without a shard has no other round that would reset them.
    note_gauges(&cx);
}

/// Time until the next round, in which the next leases of silent workers have ended.
fn until_next_round(cx: &Cx, owner: &Owner) -> Duration {
    let now = cx.clock.now();
    let (sessions, runs) = (owner.sessions.borrow(), owner.runs.borrow());
    let silent = sessions.values().filter(|session| session.is_silent());
    let ends = silent.flat_map(|session| {
        let records = session.runs.iter().filter_map(|run| runs.get(run));
        records.filter_map(|record| session.bound.ends_at(record.is_confirmed, &cx.cfg.leases))
    });
    let next = ends.filter(|ends_at| *ends_at >= now).min();
    let left = next.map_or(INTERVAL, |ends_at| ends_at.since(now));
    (left + Duration::from_millis(1)).clamp(MIN_INTERVAL, INTERVAL)
}

/// Gives up runs on unresponsive or unclaimed workers once every lease there has certainly expired.
fn give_up_lapsed(cx: &Cx, owner: &Rc<Owner>) {
    let now = cx.clock.now();
    let sessions = owner.sessions.borrow();
    let is_lapsed = |run: &RunId| {
        let runs = owner.runs.borrow();
        let record = &runs[run];
        let session = &sessions[&record.on.worker];
        let is_sent = record.known.order != Order::NotSent;
        let has_ended = || {
            let bound = &session.bound;
            bound.has_ended(record.is_confirmed, now, &cx.cfg.leases)
        };
        is_sent && session.is_silent() && has_ended()
    };
    let runs: Vec<RunId> = owner.runs.borrow().keys().copied().collect();
    let lapsed: Vec<RunId> = runs.into_iter().filter(is_lapsed).collect();
    drop(sessions);
    log_ended_leases(cx, owner, &lapsed);
    let workers: IndexMap<String, Millis> = lapsed
        .iter()
        .map(|run| (owner.runs.borrow()[run].on.worker.clone(), now))
        .collect();
    for run in lapsed {
        owner.note_lost(cx, run, Loss::Lapsed);
    }
    note_given_up(owner, workers);
}

/// Records the workers with runs that were just given up until that is durable.
fn note_given_up(owner: &Rc<Owner>, workers: IndexMap<String, Millis>) {
    if workers.is_empty() {
        return;
    }
    owner.given_up.borrow_mut().extend(workers.clone());
    // An empty append is durable once everything before it is.
    let ticket = owner.journal.append(&[]);
    let owner = Rc::clone(owner);
    supervisor::spawn("given-up", async move {
        if ticket.outcome().await == AppendOutcome::Durable {
            let mut given_up = owner.given_up.borrow_mut();
            given_up.retain(|worker, ended_at| workers.get(worker) != Some(ended_at));
        }
    });
}

/// Logs for each worker which leases ended last, and how long the worker was unresponsive.
fn log_ended_leases(cx: &Cx, owner: &Owner, lapsed: &[RunId]) {
    let now = cx.clock.now();
    let runs = owner.runs.borrow();
    let mut counts: IndexMap<(&str, bool), usize> = IndexMap::new();
    for run in lapsed {
        let record = &runs[run];
        let key = (record.on.worker.as_str(), record.is_confirmed);
        *counts.entry(key).or_default() += 1;
    }
    for ((worker, are_confirmed), runs) in counts {
        let session = &owner.sessions.borrow()[worker];
        let (last, ended_at) = session.bound.latest_end(are_confirmed, &cx.cfg.leases);
        let late_ms = millis(now.since(ended_at));
        let silent_ms = session.unresponsive_ms(now);
        let is_claimed = session.is_claimed();
        log::info!(worker, runs, are_confirmed, last:?, late_ms, silent_ms, is_claimed; "leases of a silent worker have ended");
    }
}

/// Stops runs without progress on workers that answer; their tasks are restarted elsewhere.
fn stop_stalled(cx: &Cx, owner: &Rc<Owner>) {
    let now = cx.clock.now();
    let runs = owner.runs.borrow();
    let stalled = runs.iter().filter(|(_, record)| {
        let unchanged_for = record.progress.map(|(_, since)| now.since(since));
        let is_judged =
            !record.is_long_running && record.cpu_limit_percent >= MIN_JUDGED_CPU_LIMIT_PERCENT;
        is_judged
            && !record.awaits_ends
            && record.known.stop == Stop::No
            && unchanged_for.is_some_and(|duration| duration >= STALLED_AFTER)
    });
    let stalled: Vec<(RunId, String)> = stalled
        .map(|(run, record)| (*run, record.on.worker.clone()))
        .collect();
    drop(runs);
    for (run, worker) in stalled {
        // While a worker does not answer, its runs may have progressed since its last poll
        // response.
        if owner.session(&worker, |session| session.unresponsive_since.is_none()) == Some(true) {
            owner.note_misbehaved(&worker, &run.task, now);
            runs::order_stop(cx, owner, run, "it makes no progress");
        }
    }
}

fn forget_old(cx: &Cx, owner: &Owner) {
    let now = cx.unix_ms();
    let retention_ms = cx.cfg.retention.as_millis() as u64;
    let ledger = owner.ledger.borrow();
    let old = ledger.jobs.iter().filter(|(_, job)| {
        job.phase != Phase::Active && now.saturating_sub(job.over_unix_ms) > retention_ms
    });
    let old = old.filter(|(id, _)| !owner.is_delegation_open(id));
    let old = old.filter(|(id, job)| owner.is_move_settled(**id, job));
    let is_old = |sent: &SentJob| now.saturating_sub(sent.at_unix_ms) > retention_ms;
    let is_moving = |id: &JobId| ledger.moving.contains_key(id);
    let sent = ledger.sent.iter();
    let sent = sent.filter(|(id, sent)| is_old(sent) && !is_moving(id));
    let tombstones = ledger.tombstones.iter();
    let tombstones = tombstones.filter(|(_, at)| now.saturating_sub(**at) > retention_ms);
    let old = old.map(|(id, _)| *id).chain(sent.map(|(id, _)| *id));
    let old = old.chain(tombstones.map(|(id, _)| *id));
    let old: Vec<JobId> = old.take(MAX_FORGOTTEN_PER_ROUND).collect();
    drop(ledger);
    if old.is_empty() || !owner.journal.accepts_work(cx.clock.now()) {
        return;
    }
    let events = old.into_iter().map(|job| Event::Forgotten { job });
    drop(owner.propose(cx, events.collect()));
}

/// Counts the shard's runs in each evacuated data centre, and logs when the last of them has ended.
fn note_evacuated(cx: &Cx, owner: &Owner) {
    let evacuations = cx.evacuations.borrow();
    let mut left: IndexMap<String, usize> = evacuations
        .evacuated()
        .map(|data_centre| (data_centre.to_owned(), 0))
        .collect();
    for session in owner.sessions.borrow().values() {
        let data_centre = session.report.as_ref().map(|report| &report.data_centre);
        if let Some(count) = data_centre.and_then(|name| left.get_mut(name)) {
            *count += session.runs.len();
        }
    }
    let before = owner.left_in_evacuated.replace(left);
    for (data_centre, count) in &*owner.left_in_evacuated.borrow() {
        let had_some = before.get(data_centre).is_none_or(|before| *before > 0);
        if *count == 0 && had_some {
            log::info!(data_centre:%, shard:% = owner.handle.partition; "nothing of the shard runs in the evacuated data centre");
        }
    }
}

/// Sets the gauges to the sums over all shards that this process owns.
fn note_gauges(cx: &Cx) {
    let owners = cx.owners();
    let sum = |count: fn(&Owner) -> usize| owners.iter().map(|o| count(o)).sum::<usize>() as i64;
    cx.metrics.jobs_active.set(sum(|o| o.active.borrow().len()));
    cx.metrics
        .jobs_moving
        .set(sum(|o| o.ledger.borrow().moving.len()));
    cx.metrics.runs_live.set(sum(|o| o.runs.borrow().len()));
    cx.metrics
        .runs_in_evacuated
        .set(sum(Owner::runs_in_evacuated));
    cx.metrics
        .runs_awaiting_ends
        .set(sum(Owner::runs_awaiting_ends));
    cx.metrics
        .workers_with_truncated_ends
        .set(sum(Owner::workers_with_truncated_ends));
    let usage: Vec<JournalUsage> = owners.iter().map(|o| o.journal.usage()).collect();
    let sum = |part: fn(&JournalUsage) -> u64| usage.iter().map(part).sum::<u64>() as i64;
    cx.metrics.journal_rows.set(sum(|usage| usage.rows));
    cx.metrics.journal_bytes.set(sum(|usage| usage.bytes));
    cx.metrics
        .obsolete_rows
        .set(sum(|usage| usage.obsolete_rows));
    let list_ages = owners.iter().filter_map(|owner| owner.worker_list.age(cx));
    let oldest = list_ages.max().unwrap_or_default();
    cx.metrics.worker_list_age_seconds.set(oldest.as_secs_f64());
    let now = cx.clock.now();
    let sum_by_wait = |of: &dyn Fn(&Owner) -> IndexMap<WaitsFor, i64>| {
        let mut sums: IndexMap<WaitsFor, i64> = IndexMap::new();
        for (waits_for, count) in owners.iter().flat_map(|owner| of(owner)) {
            *sums.entry(waits_for).or_default() += count;
        }
        sums
    };
    let overdue = sum_by_wait(&|owner| owner.outages.borrow().overdue(now));
    let stalled = sum_by_wait(&|owner| owner.stalled_jobs.borrow().overdue(now));
    cx.metrics.note_overdue(&overdue);
    cx.metrics.note_stalled(&stalled);
}

impl Owner {
    /// Number of runs whose end may be among those that their worker has not listed yet.
    fn runs_awaiting_ends(&self) -> usize {
        let runs = self.runs.borrow();
        runs.values().filter(|record| record.awaits_ends).count()
    }

    /// Number of workers that answer and may have more ends than they list.
    fn workers_with_truncated_ends(&self) -> usize {
        let sessions = self.sessions.borrow();
        let answering = sessions.values().filter(|session| !session.is_silent());
        answering
            .filter(|s| s.ends_truncated_since.is_some())
            .count()
    }

    /// Number of runs in evacuated data centres, as of the last round.
    fn runs_in_evacuated(&self) -> usize {
        self.left_in_evacuated.borrow().values().sum()
    }
}
