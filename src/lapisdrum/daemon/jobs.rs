//! Calls about jobs: any daemon accepts a call and forwards it to the owner of the job's shard.

use super::{
    Cx, claims, grants,
    journal::{Urgency, WriteOutcome},
    limits, polls,
    shard::Shard,
    upkeep,
};
use crate::{
    core::{
        catalogue::{Class, Entry},
        id::{EntryName, JobId, RequestId, ShardId},
        job::Job,
        outcome::Refusal,
    },
    peer::wire::{PeerReply, PeerRequest},
    state::ledger::{Event, State},
    store::wire::Host,
    timeline::event::Happening,
};
use std::{rc::Rc, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Retry delay given to callers while no owner of the shard answers.
const NO_OWNER_RETRY: Duration = Duration::from_secs(2);

/// Outcome of a call about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobReply {
    /// The job in its present state.
    Job(JobId, Job),
    /// Refused; nothing was changed.
    Refused(Refusal),
    /// The call may or may not have taken effect.
    Unknown,
}

/// Submits a job of `entry`. A repeat with the same `key` returns the job of the first call.
pub async fn submit(cx: &Cx, entry: &EntryName, key: Option<&RequestId>) -> JobReply {
    if cx.is_draining() {
        return JobReply::Refused(Refusal::Draining {
            retry_after: NO_OWNER_RETRY,
        });
    }
    if let Err(refusal) = check_entry(cx, entry) {
        return JobReply::Refused(refusal);
    }
    let Some((shard, unique)) = assign(cx, key) else {
        return JobReply::Refused(Refusal::NoOwner {
            retry_after: NO_OWNER_RETRY,
        });
    };
    let job = JobId::new(&shard, unique);
    let req = PeerRequest::SubmitJob {
        shard: shard.clone(),
        job: job.clone(),
        entry: entry.clone(),
    };
    call_owner(cx, &shard, job, req).await
}

/// The shard of a new job, and its number within the shard. With a key both depend on the key
/// alone, so that a repeat through any daemon of any data centre finds the first call's job.
/// Without a key a shard of this data centre is picked at random. None while the home shards of
/// keys are not known.
fn assign(cx: &Cx, key: Option<&RequestId>) -> Option<(ShardId, u64)> {
    if let Some(key) = key {
        let home = claims::home_of(cx, key)?;
        return Some((home, xxh3_64(key.as_str().as_bytes())));
    }
    let unique: u64 = rand::random();
    let index = u32::try_from(unique % u64::from(cx.cfg.shards.count)).unwrap_or_default();
    Some((ShardId::new(&cx.cfg.daemon.data_centre, index), unique))
}

/// Reads a job from the owner of its shard.
pub async fn show(cx: &Cx, job: JobId) -> JobReply {
    let Some(shard) = job.shard() else {
        return JobReply::Refused(Refusal::UnknownJob(job));
    };
    let req = PeerRequest::ShowJob(job.clone());
    call_owner(cx, &shard, job, req).await
}

/// Cancels a job. One that has ended or is already being cancelled is returned unchanged.
pub async fn cancel(cx: &Cx, job: JobId) -> JobReply {
    let Some(shard) = job.shard() else {
        return JobReply::Refused(Refusal::UnknownJob(job));
    };
    let req = PeerRequest::CancelJob(job.clone());
    call_owner(cx, &shard, job, req).await
}

async fn call_owner(cx: &Cx, shard: &ShardId, job: JobId, req: PeerRequest) -> JobReply {
    let reply = if cx.shards.borrow().contains_key(shard) {
        answer(cx, req).await
    } else {
        let Some(address) = cx.members.borrow().owner_address(shard) else {
            return JobReply::Refused(Refusal::NoOwner {
                retry_after: NO_OWNER_RETRY,
            });
        };
        let is_read_only = matches!(req, PeerRequest::ShowJob(_));
        match cx.peers.call(&address, req).await {
            Ok(reply) => reply,
            Err(_) if is_read_only => PeerReply::Refused(Refusal::NoOwner {
                retry_after: NO_OWNER_RETRY,
            }),
            Err(_) => PeerReply::Unknown,
        }
    };
    match reply {
        PeerReply::Job(found) => JobReply::Job(job, found),
        PeerReply::Refused(refusal) => JobReply::Refused(refusal),
        _ => JobReply::Unknown,
    }
}

/// Answers a call about a job as the owner of its shard.
pub async fn answer(cx: &Cx, req: PeerRequest) -> PeerReply {
    match req {
        PeerRequest::SubmitJob { shard, job, entry } => match owned_shard(cx, &shard) {
            Ok(shard) => accept(cx, &shard, job, &entry).await,
            Err(refusal) => PeerReply::Refused(refusal),
        },
        PeerRequest::ShowJob(job) => match find_job(cx, &job) {
            Ok((_, found)) => PeerReply::Job(found),
            Err(refusal) => PeerReply::Refused(refusal),
        },
        PeerRequest::CancelJob(job) => match find_job(cx, &job) {
            Ok((shard, found)) => cancel_owned(cx, &shard, &job, found).await,
            Err(refusal) => PeerReply::Refused(refusal),
        },
        _ => PeerReply::Unknown,
    }
}

fn owned_shard(cx: &Cx, shard: &ShardId) -> Result<Rc<Shard>, Refusal> {
    let held = cx.shards.borrow().get(shard).cloned();
    let held = held.filter(|shard| shard.is_serving());
    held.ok_or(Refusal::NoOwner {
        retry_after: NO_OWNER_RETRY,
    })
}

fn find_job(cx: &Cx, job: &JobId) -> Result<(Rc<Shard>, Job), Refusal> {
    let unknown = || Refusal::UnknownJob(job.clone());
    let shard = owned_shard(cx, &job.shard().ok_or_else(unknown)?)?;
    let found = shard.job(job).ok_or_else(unknown)?;
    Ok((shard, found))
}

fn check_entry(cx: &Cx, name: &EntryName) -> Result<Entry, Refusal> {
    let entry = cx.catalogue.borrow().entry(name);
    let entry = entry.ok_or_else(|| Refusal::UnknownEntry(name.clone()))?;
    if entry.class == Class::LatencyCritical {
        return Err(Refusal::WrongClass {
            entry: name.clone(),
            class: entry.class,
        });
    }
    if !entry.is_active() {
        return Err(Refusal::Retired(name.clone()));
    }
    Ok(entry)
}

async fn accept(cx: &Cx, shard: &Rc<Shard>, job: JobId, name: &EntryName) -> PeerReply {
    if let Some(known) = shard.job(&job) {
        return match known.entry == *name {
            true => {
                let accepted = !shard.journal.is_acceptance_pending(&job);
                reply_when_durable(cx, shard, &job, accepted).await
            }
            false => PeerReply::Refused(Refusal::WrongClass {
                entry: known.entry,
                class: Class::Batch,
            }),
        };
    }
    let checked = check_entry(cx, name).and_then(|entry| check_fits(cx, shard, entry));
    let entry = match checked.and_then(|entry| check_limits(cx, shard, entry)) {
        Ok(entry) => entry,
        Err(refusal) => return PeerReply::Refused(refusal),
    };
    let accepted = Event::Accepted {
        job: job.clone(),
        entry: entry.name.clone(),
        size: entry.size,
        hold: entry.hold,
    };
    // Wakes placement at once: the job's placement may share the ledger row of its acceptance.
    shard.placement_notify.notify_one();
    let reply = write(cx, shard, &job, accepted).await;
    if matches!(reply, PeerReply::Job(_)) {
        cx.timeline.record(Happening::JobAccepted {
            job,
            entry: entry.name,
        });
    }
    reply
}

/// Writes an event about a job to the ledger and replies with the job once it is durable.
async fn write(cx: &Cx, shard: &Shard, job: &JobId, event: Event) -> PeerReply {
    let ticket = match shard.propose(cx, vec![event], Urgency::Urgent) {
        Ok(ticket) => ticket,
        Err(e) => return PeerReply::Refused(e.refusal()),
    };
    reply_for(shard, job, ticket.outcome_within(write_timeout(cx)).await)
}

/// Replies to a repeated submission or cancellation. Unless the first one is durable, the reply
/// waits for its row, since the row may still be lost. Later events of the job do not delay the
/// reply.
async fn reply_when_durable(cx: &Cx, shard: &Shard, job: &JobId, is_durable: bool) -> PeerReply {
    if is_durable {
        return reply_for(shard, job, WriteOutcome::Committed);
    }
    let end = match shard.propose(cx, Vec::new(), Urgency::Urgent) {
        Ok(barrier) => barrier.outcome_within(write_timeout(cx)).await,
        Err(_) => WriteOutcome::Unknown,
    };
    reply_for(shard, job, end)
}

fn reply_for(shard: &Shard, job: &JobId, end: WriteOutcome) -> PeerReply {
    match end {
        WriteOutcome::Committed => shard.job(job).map_or(PeerReply::Unknown, PeerReply::Job),
        WriteOutcome::NotWritten => PeerReply::Refused(Refusal::NoOwner {
            retry_after: NO_OWNER_RETRY,
        }),
        WriteOutcome::Unknown => PeerReply::Unknown,
    }
}

/// Time after which the outcome of a write counts as unknown to the caller: enough for two attempts
/// to write to the table.
fn write_timeout(cx: &Cx) -> Duration {
    cx.cfg.platform.timeout * 2 + cx.cfg.shards.write_spacing
}

/// Refuses a job that fits on no host beside the capacity reserved for requests: it would wait for
/// ever.
fn check_fits(cx: &Cx, shard: &Shard, entry: Entry) -> Result<Entry, Refusal> {
    let members = cx.members.borrow();
    let hosts = members.shard_hosts(&shard.id, cx.cfg.shards.count);
    let unused = State::default();
    let reserve = |host: &Host| grants::unclaimed_reserve(cx, &unused, host);
    let task_capacity = |host: &Host| host.capacity.minus(&reserve(host));
    if hosts.is_empty()
        || hosts
            .iter()
            .any(|host| entry.size.fits(&task_capacity(host)))
    {
        return Ok(entry);
    }
    let size = entry.size;
    let reason = format!(
        "it takes {} millicores, {} MB and {} accelerators, and no host has as much for tasks",
        size.millicores, size.memory_mb, size.accelerators
    );
    Err(Refusal::NeverFits { reason })
}

/// Refuses a job if its entry's queue is full. An unbounded queue would accept work whose result is
/// no longer wanted by the time it runs.
fn check_limits(cx: &Cx, shard: &Shard, entry: Entry) -> Result<Entry, Refusal> {
    let counts = shard.journal.index().counts(&entry.name);
    let running = limits::job_limit(cx, shard, &entry);
    let max_waiting =
        running.saturating_sub(counts.placed) + limits::queue_limit(cx, shard, &entry);
    // A shard without a share of the limit queues jobs too: shares are assigned by waiting jobs.
    if counts.waiting >= max_waiting {
        return Err(Refusal::OverLimit {
            entry: entry.name,
            retry_after: NO_OWNER_RETRY,
        });
    }
    Ok(entry)
}

async fn cancel_owned(cx: &Cx, shard: &Rc<Shard>, job: &JobId, found: Job) -> PeerReply {
    let Some(event) = upkeep::cancel_event(job, &found) else {
        let is_durable = !shard.journal.has_pending_event(job);
        return reply_when_durable(cx, shard, job, is_durable).await;
    };
    let reply = write(cx, shard, job, event).await;
    if matches!(reply, PeerReply::Job(_)) {
        stop_at_worker(cx, shard, job, &found);
    }
    reply
}

/// Stops the task at once rather than at the worker's next poll.
fn stop_at_worker(cx: &Cx, shard: &Rc<Shard>, job: &JobId, found: &Job) {
    let Some(placement) = found.placement() else {
        return;
    };
    let worker = &placement.worker;
    let address = shard.session(worker, |session| session.address.clone());
    if let Some(address) = address {
        polls::stop_running(cx, shard, worker, &address, job);
    }
}
