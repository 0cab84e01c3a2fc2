//! Serves requests about jobs: submission, state, cancellation and the number of pending jobs.

use super::{Owner, balance, moves, shard_loads, sharing};
use crate::{
    core::time::millis,
    daemon::supervisor,
    sched::{
        Cx,
        event::Event,
        job::{JobId, JobSpec, QueueConfig},
        journal::{AppendOutcome, Ticket},
        layout::ShardId,
        ledger::{Job, Phase},
        peer::{CancelReply, JobState, ShowReply, SubmitReply},
        shape::Shape,
    },
};
use std::{rc::Rc, time::Duration};
use tokio::sync::watch;

/// Longest time until a reply; callers treat an owner that takes longer as unreachable.
pub(super) const ANSWER_WITHIN: Duration = Duration::from_millis(700);
/// Retry delay for callers that are refused while the store does not accept rows.
const STORE_UNAVAILABLE_RETRY: Duration = Duration::from_secs(1);
/// Retry delay for callers while the journal is full; snapshots are tried again every 30 s then.
const JOURNAL_FULL_RETRY: Duration = Duration::from_secs(30);
/// Retry delay for callers while all workers of the shard are in evacuated data centres; operators
/// need at least seconds to restore one.
const EVACUATED_RETRY: Duration = Duration::from_secs(5);

/// Maximum number of tombstones of a shard; a snapshot has 40 bytes for each.
const MAX_TOMBSTONES: usize = 4_096;
/// Retry delay for callers that cancel an unknown job while the shard has too many tombstones.
const TOO_MANY_TOMBSTONES_RETRY: Duration = Duration::from_secs(5);

/// Accepts a job. A repeated submission of the same id gets the outcome of the first.
pub async fn submit(
    cx: &Cx,
    owner: &Rc<Owner>,
    job: JobId,
    spec: Rc<JobSpec>,
    terms: QueueConfig,
    data_centre: Option<String>,
    is_sent: bool,
) -> SubmitReply {
    if !owner.is_recovered() {
        return SubmitReply::NotOwner;
    }
    if let Some(refusal) = refusal_of_cancelled(cx, owner, job).await {
        return refusal;
    }
    if !is_sent && let Some(to) = balance::reply_if_sent(cx, owner, job, &spec, &terms).await {
        return to;
    }
    // If the shard was lost meanwhile, a job in the ledger may not be durable.
    let is_lost = !owner.is_recovered();
    if is_lost || owner.is_suspended() {
        return SubmitReply::NotOwner;
    }
    // The job may have been cancelled while another shard was asked.
    if let Some(refusal) = refusal_of_cancelled(cx, owner, job).await {
        return refusal;
    }
    let is_known = owner.ledger.borrow().jobs.contains_key(&job);
    if !is_known && !owner.journal.accepts_work(cx.clock.now()) {
        return SubmitReply::Busy(STORE_UNAVAILABLE_RETRY);
    }
    if !is_known && owner.journal.is_full() {
        let bytes = owner.journal.usage().bytes;
        log::warn!(job:% = job, shard:% = owner.handle.partition, bytes; "submission refused: the journal is full");
        return SubmitReply::Busy(JOURNAL_FULL_RETRY);
    }
    if !is_known && owner.is_evacuated(cx) {
        log::info!(job:% = job, shard:% = owner.handle.partition; "submission refused: every data centre is evacuated");
        return SubmitReply::Busy(EVACUATED_RETRY);
    }
    if !is_known {
        match sharing::refusal(cx, owner, job, &spec, &terms, data_centre.as_ref()) {
            // The refusal of a job that a later owner has accepted would be false.
            Some(_) if !owner.is_sole_owner(cx).await => return SubmitReply::NotOwner,
            // Another call may have accepted the job meanwhile.
            Some(_) if owner.ledger.borrow().jobs.contains_key(&job) => {}
            Some(retry_after) => return SubmitReply::Busy(retry_after),
            None => accept(cx, owner, job, spec, terms, data_centre, None),
        }
    }
    acceptance(cx, owner, job).await
}

/// The reply to the submission of a job that was cancelled before it arrived, if it was: callers were
/// told that there is no such job, and no longer expect it to run. It says when the tombstone is
/// dropped. Without a tombstone this doesn't wait.
async fn refusal_of_cancelled(cx: &Cx, owner: &Owner, job: JobId) -> Option<SubmitReply> {
    let cancelled_at = owner.ledger.borrow().tombstones.get(&job).copied()?;
    if !owner.is_sole_owner(cx).await {
        return Some(SubmitReply::NotOwner);
    }
    let age = Duration::from_millis(cx.unix_ms().saturating_sub(cancelled_at));
    log::info!(job:% = job, shard:% = owner.handle.partition, cancelled_ms_ago = millis(age); "submission refused: the job was cancelled before it arrived");
    cx.metrics.late_submissions.inc();
    Some(SubmitReply::Busy(cx.cfg.retention.saturating_sub(age)))
}

/// The outcome of an acceptance, under way or earlier, for one of its callers.
pub(super) async fn acceptance(cx: &Cx, owner: &Owner, job: JobId) -> SubmitReply {
    let accepting = owner.accepting.borrow().get(&job).cloned();
    let Some(mut accepting) = accepting else {
        return SubmitReply::Accepted;
    };
    let resolved = accepting.wait_for(Option::is_some);
    match tokio::time::timeout(ANSWER_WITHIN, resolved).await {
        Ok(Ok(outcome)) if *outcome == Some(AppendOutcome::Durable) => SubmitReply::Accepted,
        Err(_) if owner.journal.accepts_work(cx.clock.now()) => SubmitReply::UnderWay,
        _ => SubmitReply::Unknown,
    }
}

/// Accepts a new job, which comes from its caller, or from its home, which accepted it at the given time.
pub(super) fn accept(
    cx: &Cx,
    owner: &Rc<Owner>,
    job: JobId,
    spec: Rc<JobSpec>,
    terms: QueueConfig,
    data_centre: Option<String>,
    home: Option<(ShardId, u64)>,
) {
    sharing::note_accepted(cx, owner, job);
    shard_loads::note_accepted(cx, owner, &spec, &terms);
    let event = Event::Accepted {
        job,
        spec,
        terms,
        at_unix_ms: home.map_or_else(|| cx.unix_ms(), |(_, accepted_unix_ms)| accepted_unix_ms),
        data_centre,
        moved_from: home.map(|(home, _)| home),
    };
    let ticket = owner.propose(cx, vec![event]);
    owner.active.borrow_mut().insert(job);
    let (tx, rx) = watch::channel(None);
    owner.accepting.borrow_mut().insert(job, rx);
    let owner = Rc::clone(owner);
    supervisor::spawn("accept", async move {
        let outcome = ticket.outcome().await;
        owner.accepting.borrow_mut().swap_remove(&job);
        // Its home has logged the acceptance of a moved job.
        if outcome == AppendOutcome::Durable && home.is_none() {
            log_accepted(&owner, job);
        }
        tx.send_replace(Some(outcome));
        owner.wake.notify_one();
    });
}

fn log_accepted(owner: &Owner, id: JobId) {
    let ledger = owner.ledger.borrow();
    let Some(job) = ledger.jobs.get(&id) else {
        return;
    };
    let objective_ms = job.terms.objective_ms(job.spec.longest_chain_ms());
    log::info!(job:% = id, queue:% = job.terms.queue, shard:% = owner.handle.partition, steps:% = Shape::from(&*job.spec), objective_ms; "job accepted");
}

/// Returns a job's state; an acceptance or end that is not durable yet is not shown.
pub async fn show(cx: &Cx, owner: &Owner, id: JobId) -> ShowReply {
    if !owner.is_recovered() {
        return ShowReply::NotOwner;
    }
    if let Some(shown) = moves::show(cx, owner, id).await {
        return shown;
    }
    if own_phase(owner, id).is_none() && !owner.is_sole_owner(cx).await {
        return ShowReply::NotOwner;
    }
    let ledger = owner.ledger.borrow();
    match ledger.jobs.get(&id).filter(|job| !job.is_guest) {
        None => ShowReply::Unknown,
        Some(job) => ShowReply::State(state_of(owner, id, job)),
    }
}

fn state_of(owner: &Owner, id: JobId, job: &Job) -> JobState {
    let phase = match owner.ending.borrow().contains(&id) {
        true => Phase::Active,
        false => job.phase,
    };
    match phase {
        Phase::Active if has_started(owner, id, job) => JobState::Running,
        Phase::Active => JobState::Queued,
        Phase::Completed => JobState::Completed,
        Phase::Failed => JobState::Failed,
        Phase::Cancelled => JobState::Cancelled,
    }
}

/// Whether a task of the job has started, as far as known.
fn has_started(owner: &Owner, id: JobId, job: &Job) -> bool {
    let runs = owner.runs.borrow();
    let is_started = |run| runs.get(&run).is_some_and(|r| r.known.has_started());
    job.has_started || job.live_runs(id).any(|(run, _)| is_started(run))
}

/// The phase of a job that this shard owns.
fn own_phase(owner: &Owner, job: JobId) -> Option<Phase> {
    let ledger = owner.ledger.borrow();
    let job = ledger.jobs.get(&job).filter(|job| !job.is_guest);
    job.map(|job| job.phase)
}

/// Cancels a job; also succeeds for one that has already ended. That an unknown one was cancelled is
/// durable before the reply: its submission may be on its way, delayed by a frozen daemon or by the
/// network, and nothing in it shows its age.
pub async fn cancel(cx: &Cx, owner: &Rc<Owner>, job: JobId) -> CancelReply {
    if !owner.is_recovered() {
        return CancelReply::NotOwner;
    }
    // The other shard cancels a moved job, so the home must not show it as queued afterwards.
    if !moves::has_arrived(owner, job).await {
        return CancelReply::Unknown;
    }
    if !owner.is_recovered() {
        return CancelReply::NotOwner;
    }
    if own_phase(owner, job).is_none() && !owner.is_sole_owner(cx).await {
        return CancelReply::NotOwner;
    }
    let phase = own_phase(owner, job);
    let ticket = match phase {
        // A guest, or a job that was sent to another shard, which answers for it.
        None if owner.ledger.borrow().is_known(job) => return CancelReply::UnknownJob,
        None => match bury(cx, owner, job) {
            Some(ticket) => ticket,
            None => return CancelReply::Busy(TOO_MANY_TOMBSTONES_RETRY),
        },
        Some(Phase::Active) => {
            let at_unix_ms = cx.unix_ms();
            let ticket = owner.propose(cx, vec![Event::Cancelled { job, at_unix_ms }]);
            owner.note_if_ended(cx, job);
            ticket
        }
        // An empty append is durable once all earlier ones are; an earlier cancellation may not be
        // durable yet.
        Some(_) => owner.journal.append(&[]),
    };
    match tokio::time::timeout(owner.journal.stall_timeout(), ticket.outcome()).await {
        Ok(AppendOutcome::Durable) if phase.is_none() => CancelReply::UnknownJob,
        Ok(AppendOutcome::Durable) => CancelReply::Done,
        Ok(AppendOutcome::Lost) | Err(_) => CancelReply::Unknown,
    }
}

/// Records that an unknown job was cancelled; none if the shard has too many such records.
fn bury(cx: &Cx, owner: &Owner, job: JobId) -> Option<Ticket> {
    let at_unix_ms = cx.unix_ms();
    let (recorded, tombstones) = {
        let ledger = owner.ledger.borrow();
        let recorded = ledger.tombstones.get(&job).copied();
        (recorded, ledger.tombstones.len())
    };
    let age = recorded.map(|at| Duration::from_millis(at_unix_ms.saturating_sub(at)));
    match age {
        // It may not be durable yet.
        Some(age) if age < cx.cfg.retention / 2 => Some(owner.journal.append(&[])),
        None if tombstones >= MAX_TOMBSTONES => {
            log::warn!(job:% = job, shard:% = owner.handle.partition, tombstones; "cancel refused: too many unknown jobs were cancelled");
            None
        }
        Some(_) | None => {
            log::info!(job:% = job, shard:% = owner.handle.partition, tombstones; "unknown job is cancelled");
            let event = Event::CancelledBeforeArrival { job, at_unix_ms };
            Some(owner.propose(cx, vec![event]))
        }
    }
}

/// Number of a queue's jobs that have not started; none unless this is certainly the only owner.
pub async fn pending(cx: &Cx, owner: &Owner, queue: &str) -> Option<u64> {
    if !owner.is_sole_owner(cx).await {
        return None;
    }
    let (ledger, active) = (owner.ledger.borrow(), owner.active.borrow());
    let jobs = active
        .iter()
        .filter_map(|id| Some((*id, ledger.jobs.get(id)?)));
    let waiting = jobs.filter(|(id, job)| {
        job.terms.queue == queue && !job.is_guest && !has_started(owner, *id, job)
    });
    let moving = ledger.moving.values();
    let moving = moving.filter(|job| job.terms.queue == queue);
    Some((waiting.count() + moving.count()) as u64)
}
