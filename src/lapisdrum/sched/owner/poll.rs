//! Polls a worker continuously: ended runs, live runs and its clock; renews its leases.
//!
//! Each worker nearly always has one open long poll that returns when a run ends, so the owner
//! knows of an end within a millisecond, at one call per end. Only a poll that directly follows an
//! answer carries a lease: a renewal sent to an unresponsive worker may reach it without a reply, and
//! would extend the time before its tasks can be started elsewhere.

use super::{
    Owner, interference,
    runs::{self, RunRecord, note_lease_call, stop_unknown},
    session::Lease,
    suspension,
};
use crate::{
    core::time::{Millis, WorkerMillis, millis},
    daemon::supervisor,
    policy::dispatch::place::Load,
    sched::{
        Cx,
        edge::{ListedEnd, OrderOutcome, PollOrder, PollResponse, Refusal},
        event::{Event, Loss, RunEnd, RunId},
        job::JobId,
        journal::{self, AppendOutcome},
        resolution::{
            IncarnationVerdict, KnownIncarnation, Observation, Order, RunVerdict,
            judge_incarnation, judge_run,
        },
    },
};
use futures::{FutureExt, future::LocalBoxFuture};
use indexmap::{IndexMap, IndexSet};
use std::{rc::Rc, time::Duration};

/// Wait of a long poll; the platform allows 2 s. With 1 s, usage and progress are fresh enough to
/// detect a stalled task within three polls.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Wait of a long poll where best-effort tasks share the host with serving ones, whose latency
/// tails are updated every 500 ms.
const POLL_WAIT_SHARED: Duration = Duration::from_millis(350);
/// Wait of a poll of a worker that is to get a lease soon: once a lease row without it is written, or
/// the store answers again before the worker's lease ends.
const POLL_WAIT_LEASELESS: Duration = Duration::from_millis(200);
/// Delay before an unresponsive worker is polled again.
const UNRESPONSIVE_RETRY: Duration = Duration::from_millis(200);
/// Longest wait for ends to become durable before the next poll. While the store is unavailable,
/// ends accumulate at the worker and polls continue, to renew its leases.
const ACK_WAIT: Duration = Duration::from_millis(250);

/// A reserving task that takes this many times its estimate has overrun: estimates are off by 20 to
/// 50 %, slow workers are 4 to 6 times slower.
const OVERRUN_FACTOR: u64 = 3;
/// Slack on top of that, in milliseconds, for short tasks.
const OVERRUN_SLACK_MS: u64 = 300;

/// Polls a worker until the shard is lost or the worker is no longer worth polling.
pub fn start_polling(cx: &Cx, owner: &Rc<Owner>, worker: &str) {
    let was_polled = owner.session(worker, |s| std::mem::replace(&mut s.is_polled, true));
    if was_polled != Some(false) {
        return;
    }
    let (cx, owner, worker) = (Rc::clone(cx), Rc::clone(owner), worker.to_owned());
    supervisor::spawn("visit", async move {
        while owner.is_serving() && is_worth_polling(&owner, &worker) {
            owner.resumed().await;
            if !poll_next(&cx, &owner, &worker).await {
                tokio::time::sleep(UNRESPONSIVE_RETRY).await;
            }
        }
        owner.session(&worker, |session| session.is_polled = false);
        if let Some(address) = owner.address_of(&worker) {
            cx.workers.disconnect(&address);
        }
    });
}

/// False for a worker without a known address, and for an unresponsive one without runs that is no
/// longer in the directory.
fn is_worth_polling(owner: &Owner, worker: &str) -> bool {
    let is_worth = owner.session(worker, |session| {
        let has_address = session.report.is_some();
        has_address
            && (session.is_registered
                || session.unresponsive_since.is_none()
                || !session.runs.is_empty())
    });
    is_worth == Some(true)
}

/// Sends one poll, with a lease renewal if that is due; false if the worker did not answer. After a
/// full list of ends the worker is not asked to wait for one: if none is left, runs wait for that
/// response.
async fn poll_next(cx: &Cx, owner: &Rc<Owner>, worker: &str) -> bool {
    let now = cx.clock.now();
    let lease = due_lease(cx, owner, worker);
    let is_listed = owner.is_listed(worker);
    let planned = owner.session(worker, |session| {
        let is_claimed = session.is_claimed();
        let is_shared =
            session.tally.best_effort_millicores > 0 && session.tally.serving_millicores > 0;
        let is_lease_short = is_listed || session.does_lease_end_soon(now);
        let lists_all_ends = session.ends_truncated_since.is_none();
        (is_claimed && lists_all_ends, is_shared, is_lease_short)
    });
    let Some((may_wait, is_shared, is_lease_short)) = planned else {
        return false;
    };
    let wait = match (may_wait && lease.is_none(), is_shared) {
        (true, _) if is_lease_short => POLL_WAIT_LEASELESS,
        (true, true) => POLL_WAIT_SHARED,
        (true, false) => POLL_WAIT,
        (false, _) => Duration::ZERO,
    };
    poll(cx, owner, worker, lease, wait).await
}

/// Sends leases at once to the workers whose leases got shorter while the store did not answer; their
/// polls that are under way carry none.
pub fn renew_leases(cx: &Cx, owner: &Rc<Owner>) {
    let workers: Vec<String> = owner.sessions.borrow().keys().cloned().collect();
    for worker in workers {
        let Some(lease) = due_lease(cx, owner, &worker) else {
            continue;
        };
        let (cx, owner) = (Rc::clone(cx), Rc::clone(owner));
        supervisor::spawn("renew-lease", async move {
            poll(&cx, &owner, &worker, Some(lease), Duration::ZERO).await;
        });
    }
}

/// The lease that a poll of a worker carries now, if one is due.
fn due_lease(cx: &Cx, owner: &Owner, worker: &str) -> Option<Lease> {
    let now = cx.clock.now();
    let length = owner.lease_length(cx)?;
    if owner.is_listed(worker) {
        return None;
    }
    let lease = owner.session(worker, |session| {
        let answers = session.is_claimed() && session.unresponsive_since.is_none();
        let is_due = answers && session.is_renewal_due(now, length);
        let lease = is_due.then(|| session.lease(now, length, &cx.cfg.leases));
        lease.flatten()
    });
    lease.flatten()
}

/// Sends a poll that returns at once with the current runs; false if the worker did not answer.
pub async fn poll_now(cx: &Cx, owner: &Rc<Owner>, worker: &str) -> bool {
    poll(cx, owner, worker, None, Duration::ZERO).await
}

async fn poll(
    cx: &Cx,
    owner: &Rc<Owner>,
    worker: &str,
    lease: Option<Lease>,
    wait: Duration,
) -> bool {
    let address = owner.address_of(worker);
    let Some(address) = address.filter(|_| owner.may_call(cx, worker)) else {
        return false;
    };
    let order = PollOrder {
        token: owner.token(),
        acked_upto: owner.session(worker, |s| s.ackable()).unwrap_or_default(),
        lease_until: lease.map(|lease| lease.until),
        wait,
    };
    let sent_at = cx.clock.now();
    if let Some(lease) = lease {
        owner.session(worker, |session| session.bound.note_sent(lease.ends_by));
    }
    cx.metrics.polls.inc();
    let outcome = cx.workers.poll(&address, worker, &order).await;
    if let Some(lease) = lease {
        note_lease_call(cx, owner, worker, (sent_at, lease), &outcome);
    }
    if !owner.is_serving() {
        return false;
    }
    match outcome {
        OrderOutcome::Done(response) => {
            note_response(cx, owner, worker, sent_at, response).await;
            true
        }
        OrderOutcome::Refused(Refusal::NewerOwner) => {
            suspension::note_newer_owner(cx, owner, worker);
            false
        }
        OrderOutcome::Refused(Refusal::OtherLife) => {
            note_replaced(cx, owner, worker, sent_at);
            false
        }
        OrderOutcome::Refused(why) => {
            note_unresponsive(cx, owner, worker, &format!("{why:?}"));
            false
        }
        OrderOutcome::Unsent(e) | OrderOutcome::Silent(e) => {
            note_unresponsive(cx, owner, worker, &e.message);
            false
        }
    }
}

/// Another worker answers at the address: the known one has ended, and its runs with it.
fn note_replaced(cx: &Cx, owner: &Rc<Owner>, worker: &str, sent_at: Millis) {
    // The refusal of a call to the address of an earlier incarnation says nothing about a later one.
    let since = owner.session(worker, |session| session.claimed.since);
    if since.flatten().is_some_and(|since| sent_at <= since) {
        return;
    }
    note_unresponsive(cx, owner, worker, "another worker answers at its address");
    for (run, record) in runs_on(owner, worker) {
        if record.known.order != Order::NotSent {
            owner.note_lost(cx, run, Loss::Reborn);
        }
    }
}

fn note_unresponsive(cx: &Cx, owner: &Owner, worker: &str, error: &str) {
    let now = cx.clock.now();
    let first = owner.session(worker, |session| {
        let is_first = session.unresponsive_since.is_none();
        session.unresponsive_since = session.unresponsive_since.or(Some(now));
        is_first
    });
    if first == Some(true) {
        log::warn!(worker, error; "worker does not answer");
    }
}

async fn note_response(
    cx: &Cx,
    owner: &Rc<Owner>,
    worker: &str,
    sent_at: Millis,
    response: PollResponse,
) {
    let now = cx.clock.now();
    let Some(incarnation) = note_incarnation(cx, owner, worker, sent_at, &response, now) else {
        return;
    };
    let acked = note_ends(cx, owner, worker, &incarnation, &response, now);
    if incarnation.is_newest {
        note_running(cx, owner, worker, &incarnation, sent_at, &response, now);
        interference::note_poll_response(cx, owner, worker, &response, sent_at, now);
    }
    if let Some(acked) = acked {
        // On a time-out the next poll lists the same ends again, and they are skipped.
        let _ = tokio::time::timeout(ACK_WAIT, acked).await;
    }
}

/// The worker incarnation that sent a poll response.
struct Incarnation {
    started_unix_ms: u64,
    /// False if a response with a later worker clock was handled before.
    is_newest: bool,
}

fn note_incarnation(
    cx: &Cx,
    owner: &Rc<Owner>,
    worker: &str,
    sent_at: Millis,
    response: &PollResponse,
    now: Millis,
) -> Option<Incarnation> {
    let noted = owner.session(worker, |session| {
        let reported = session
            .report
            .as_ref()
            .map_or(0, |report| report.incarnation.started_unix_ms);
        let started_unix_ms = response.started_unix_ms.unwrap_or(reported);
        let before = session.claimed.started_unix_ms;
        let verdict = judge_incarnation(session.claimed, started_unix_ms, sent_at);
        if verdict == IncarnationVerdict::Unclear {
            log::info!(worker, born = started_unix_ms, known:? = before, took_ms = millis(now.since(sent_at)); "response may come from an earlier incarnation");
            return None;
        }
        if verdict == IncarnationVerdict::Later {
            session.claimed = KnownIncarnation {
                started_unix_ms: Some(started_unix_ms),
                since: Some(now),
            };
            session.acked_upto = 0;
            session.appended_upto = 0;
            session.ends_truncated_since = None;
            session.response_clock = WorkerMillis::default();
            session.clock = None;
            session.leased_until = None;
            let has_confirmed = owner.has_confirmed_run(session, started_unix_ms);
            let limits = &cx.cfg.leases;
            session.bound.note_claimed(now, has_confirmed, limits);
        }
        let was_silent_ms = session.unresponsive_ms(now);
        session.unresponsive_since = None;
        let is_newest = response.clock >= session.response_clock;
        if is_newest {
            session.response_clock = response.clock;
            session.set_clock(response.clock, now);
        }
        Some((
            Incarnation {
                started_unix_ms,
                is_newest,
            },
            before,
            was_silent_ms,
        ))
    })?;
    let (incarnation, before, was_silent_ms) = noted?;
    if owner.is_listed(worker) {
        owner.want_renewal();
    }
    if before != Some(incarnation.started_unix_ms) {
        log::info!(worker, born = incarnation.started_unix_ms, before:? = before, token = owner.token(), runs = response.running.len(); "worker claimed");
        owner.wake.notify_one();
    } else if was_silent_ms > 0 {
        log::info!(worker, was_silent_ms; "worker answers again");
        owner.wake.notify_one();
    }
    Some(incarnation)
}

/// Appends ends to the journal; the future completes when they are durable and may be acknowledged.
fn note_ends(
    cx: &Cx,
    owner: &Rc<Owner>,
    worker: &str,
    incarnation: &Incarnation,
    response: &PollResponse,
    now: Millis,
) -> Option<LocalBoxFuture<'static, ()>> {
    let ended = &response.ended;
    // A worker lists an end until it is acknowledged, which may take many polls. Ends that can't be
    // read are acknowledged too: they would fill the list and hide all others.
    let numbers = ended.iter().map(|end| end.number);
    let upto = numbers.chain(response.malformed_ends_upto).max()?;
    let appended_upto = owner.session(worker, |session| session.appended_upto)?;
    let ended: Vec<&ListedEnd> = ended.iter().filter(|e| e.number > appended_upto).collect();
    if upto <= appended_upto {
        return Some(acknowledged(owner, worker, upto).boxed_local());
    }
    owner.session(worker, |session| session.appended_upto = upto);
    let at_unix_ms = cx.unix_ms();
    let mut events = Vec::new();
    for end in &ended {
        let is_here = |record: &RunRecord| record.on.worker == worker;
        let is_known = owner.runs.borrow().get(&end.run).is_some_and(is_here);
        if !is_known && end.how != RunEnd::Done {
            continue;
        }
        let record = is_known.then(|| owner.remove_run(&end.run)).flatten();
        if let Some(record) = &record {
            interference::note_departure(owner, worker, record, now);
        }
        note_outcome(cx, owner, worker, end, record, now);
        events.push(ended_event(worker, end, at_unix_ms));
    }
    let jobs: IndexSet<_> = events.iter().filter_map(job_of).collect();
    let ticket = owner.propose(cx, events);
    for end in ended.iter().filter(|end| end.how == RunEnd::Done) {
        runs::stop_copies(cx, owner, &end.run.task);
    }
    for job in jobs {
        owner.note_if_ended(cx, job);
    }
    let (owner, worker, started_unix_ms) = (
        Rc::clone(owner),
        worker.to_owned(),
        incarnation.started_unix_ms,
    );
    let acked = actix_rt::spawn(async move {
        if ticket.outcome().await == AppendOutcome::Durable {
            owner.session(&worker, |session| {
                if session.claimed.started_unix_ms == Some(started_unix_ms) {
                    session.acked_upto = session.acked_upto.max(upto);
                }
                session.acked.notify_waiters();
            });
        }
    });
    let acked = acked.map(|_| ());
    Some(acked.boxed_local())
}

/// Completes when ends appended earlier are durable. If polled at once, the worker would list them
/// again.
fn acknowledged(owner: &Owner, worker: &str, upto: u64) -> impl Future<Output = ()> + use<> {
    let pending = owner.session(worker, |session| {
        let is_pending = session.acked_upto < upto;
        is_pending.then(|| Rc::clone(&session.acked))
    });
    async move {
        if let Some(acked) = pending.flatten() {
            acked.notified().await;
        }
    }
}

/// The event of an end. A checkpoint that the journal can't take is dropped, so that the task's next
/// run starts from an earlier one.
fn ended_event(worker: &str, end: &ListedEnd, at_unix_ms: u64) -> Event {
    let event = |checkpoint| Event::Ended {
        run: end.run,
        how: end.how,
        checkpoint,
        at_unix_ms,
    };
    let full = event(end.checkpoint.clone());
    if journal::fits(&full) {
        return full;
    }
    let bytes = end.checkpoint.as_ref().map_or(0, String::len);
    log::warn!(task:% = end.run.task, run = end.run.run.0, worker, bytes; "checkpoint dropped: too large for the journal");
    event(None)
}

fn job_of(event: &Event) -> Option<JobId> {
    match event {
        Event::Ended { run, .. } => Some(run.task.job),
        _ => None,
    }
}

/// Updates the worker's failure count, and the workers to avoid for the task, by how a run ended.
fn note_outcome(
    cx: &Cx,
    owner: &Owner,
    worker: &str,
    end: &ListedEnd,
    record: Option<RunRecord>,
    now: Millis,
) {
    let ran_ms = record
        .as_ref()
        .map_or(0, |r| now.since(r.since).as_millis() as u64);
    let has_overrun = record.is_some_and(|record| {
        record.load == Load::Reserving
            && ran_ms > record.estimate_ms * OVERRUN_FACTOR + OVERRUN_SLACK_MS
    });
    log::info!(task:% = end.run.task, run = end.run.run.0, worker, how:? = end.how, ran_ms; "run ended");
    cx.metrics.note_end(end.how);
    match end.how {
        RunEnd::Done if has_overrun => owner.note_misbehaved(worker, &end.run.task, now),
        RunEnd::Done => {
            owner.session(worker, |session| session.failures = (0, now));
            owner.failed_on.borrow_mut().forget_task(&end.run.task);
        }
        RunEnd::Failed => owner.note_misbehaved(worker, &end.run.task, now),
        RunEnd::Stopped | RunEnd::Lapsed | RunEnd::GangBroken | RunEnd::GangIncomplete => {}
    }
}

/// Resolves the state of the worker's runs from those that it lists.
fn note_running(
    cx: &Cx,
    owner: &Rc<Owner>,
    worker: &str,
    incarnation: &Incarnation,
    sent_at: Millis,
    response: &PollResponse,
    now: Millis,
) {
    let listed: IndexMap<RunId, u32> = response
        .running
        .iter()
        .map(|listed| (listed.run, listed.percent))
        .collect();
    let mut awaiting = 0;
    for (run, record) in runs_on(owner, worker) {
        let percent = listed.get(&run).copied();
        let observation = Observation {
            sent_at,
            is_listed: percent.is_some(),
            is_same_incarnation: record.on.started_unix_ms == incarnation.started_unix_ms,
            are_ends_complete: response.lists_all_ends,
        };
        let verdict = judge_run(record.known, observation);
        let awaits_ends = verdict == RunVerdict::AwaitEnds && record.known.order != Order::NotSent;
        awaiting += usize::from(awaits_ends);
        if awaits_ends != record.awaits_ends {
            owner.set_awaits_ends(&run, awaits_ends);
        }
        match verdict {
            RunVerdict::Runs => {
                owner.note_confirmed(&run);
                note_progress(owner, &run, percent.unwrap_or_default(), now);
            }
            RunVerdict::Wait | RunVerdict::AwaitEnds => {}
            RunVerdict::OrderStop => {
                runs::order_stop(cx, owner, run, "its start order was not answered")
            }
            RunVerdict::Lost(why) => owner.note_lost(cx, run, why),
        }
    }
    note_truncated_ends(owner, worker, incarnation, response, awaiting, now);
    for run in listed.keys() {
        let is_ours = |record: &RunRecord| record.on.worker == worker;
        if !owner.runs.borrow().get(run).is_some_and(is_ours) {
            stop_unknown(cx, owner, worker, *run);
        }
    }
}

/// Logs when a worker starts to have more ends than it may list, and when it lists all of them
/// again.
fn note_truncated_ends(
    owner: &Owner,
    worker: &str,
    incarnation: &Incarnation,
    response: &PollResponse,
    awaiting: usize,
    now: Millis,
) {
    let truncated_since = owner.session(worker, |session| {
        let since = session.ends_truncated_since.unwrap_or(now);
        let is_truncated = !response.lists_all_ends;
        std::mem::replace(
            &mut session.ends_truncated_since,
            is_truncated.then_some(since),
        )
    });
    let (born, running) = (incarnation.started_unix_ms, response.running.len());
    match (truncated_since.flatten(), response.lists_all_ends) {
        (None, false) => {
            log::info!(worker, born, ends = response.ended.len(), running, awaiting; "worker may have more ends than it lists");
        }
        (Some(since), true) => {
            let took_ms = millis(now.since(since));
            log::info!(worker, born, took_ms, running; "worker lists all its ends again");
        }
        (None, true) | (Some(_), false) => {}
    }
}

fn runs_on(owner: &Owner, worker: &str) -> Vec<(RunId, RunRecord)> {
    let (sessions, runs) = (owner.sessions.borrow(), owner.runs.borrow());
    let here = sessions.get(worker).into_iter().flat_map(|s| &s.runs);
    here.filter_map(|run| Some((*run, runs.get(run)?.clone())))
        .collect()
}

fn note_progress(owner: &Owner, run: &RunId, percent: u32, now: Millis) {
    let mut runs = owner.runs.borrow_mut();
    let Some(record) = runs.get_mut(run) else {
        return;
    };
    if matches!(
        record.known.order,
        Order::Unanswered | Order::Inherited { .. }
    ) {
        record.known.order = Order::Answered(now);
    }
    if record.progress.is_none_or(|(before, _)| before != percent) {
        record.progress = Some((percent, now));
        record.first_progress = record.first_progress.or(record.progress);
    }
}
