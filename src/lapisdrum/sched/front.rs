//! Forwards callers' requests to the leaseholder of the job's shard and returns the outcome.
//!
//! A refusal is final: the job never runs. So a submission is refused only when it was certainly
//! not accepted; without an answer from the owner the outcome is reported as unknown, and a
//! repeated submission finds the job. Without a reachable owner a request is refused at once, with
//! the time until an owner is expected.

use super::{
    Cx, ShardHandle,
    edge::Queue,
    job::{JobId, JobSpec},
    owner::{
        delegate::{GuestTasks, TaskNeed},
        estimates::{LearnedUpdate, ReceivedVersions},
        moves::MovedJob,
        returns::ReturnedTasks,
        suitable::{JobNeeds, Suitability},
    },
    peer::{
        self, AdoptReply, CancelReply, JobState, OwnerReply, OwnerRequest, ShowReply, SubmitReply,
        TakeBackReply, TakeReply,
    },
};
use crate::{
    core::time::{Millis, millis},
    policy::shard_load::LoadDigest,
};
use futures::FutureExt;
use std::{cmp::Reverse, rc::Rc, time::Duration};

/// Timeout of a call to the owner. The owner's timeout for the store is a little shorter, so that
/// it can answer.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait for a submission that the owner reports as in flight; below the callers' timeout of
/// 3 s.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time during which an owner that left a call unanswered is not called again, unless another takes
/// over: callers are refused at once instead of timing out for the seconds until its lease lapses.
const OWNER_BACKOFF: Duration = Duration::from_millis(700);
/// Retry delay for callers while a shard has no reachable owner: a take-over takes 0.3 s after a
/// requested shutdown and 1 to 2 s after a failure.
const NO_OWNER_RETRY: Duration = Duration::from_secs(1);
/// Retry delay for callers while the layout is not known: at a deployment's first start, or while
/// the store can't be read after a restart.
const NO_LAYOUT_RETRY: Duration = Duration::from_secs(1);
/// Delay before the lease is read again after a call that did not reach the owner.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Maximum number of calls to owners for one request, unless the shard is being handed over.
const MAX_CALLS: usize = 2;
/// Longest time for which a caller's request waits for the next owner in a planned hand-over: several
/// times the usual one, and a small part of the callers' timeout of 3 s.
const HANDOVER_PATIENCE: Duration = Duration::from_millis(600);

/// Outcome of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The request took effect.
    Done(T),
    /// The request did not and will not take effect; retry after this time.
    Refused(Duration),
    /// The request may have taken effect.
    Unknown,
    /// No shard knows the job.
    NoSuchJob,
}

/// The queue that serves a host name and path: the one with the longest matching path prefix.
pub fn route<'a>(
    queues: impl Iterator<Item = &'a Queue>,
    host: &str,
    path: &str,
) -> Option<&'a Queue> {
    let matching = queues.filter(|q| q.host == host && path.starts_with(&q.path_prefix));
    matching.min_by_key(|queue| Reverse(queue.path_prefix.len()))
}

/// Submits a job to the owner of its home shard, and to another shard if the owner sends it there.
pub async fn submit(cx: &Cx, queue: &Queue, job: JobId, spec: JobSpec) -> Outcome<()> {
    let started_at = cx.clock.now();
    let Some(layout) = cx.layout.borrow().clone() else {
        return Outcome::Refused(NO_LAYOUT_RETRY);
    };
    let mut handle = cx.handle(layout.home(job, &spec));
    let request = |handle: &ShardHandle, is_sent| {
        let (spec, terms) = (spec.clone(), queue.terms.clone());
        match shares_by_data_centre(cx, handle) {
            true => OwnerRequest::SubmitFrom {
                data_centre: cx.cfg.data_centre.clone(),
                job,
                spec,
                terms,
                is_sent,
            },
            false => OwnerRequest::Submit {
                job,
                spec,
                terms,
                is_sent,
            },
        }
    };
    let (mut is_sent, mut was_in_flight) = (false, false);
    let reply = loop {
        let reply = call_owner(cx, &handle, request(&handle, is_sent)).await;
        let is_time_left = cx.clock.now().since(started_at) + OWNER_TIMEOUT <= IN_FLIGHT_TIMEOUT;
        match &reply {
            OwnerCall::Answered(OwnerReply::Submitted(SubmitReply::Elsewhere(to))) if !is_sent => {
                handle = cx.handle(*to);
                is_sent = true;
            }
            OwnerCall::Answered(OwnerReply::Submitted(SubmitReply::UnderWay)) if is_time_left => {
                was_in_flight = true;
            }
            _ => break reply,
        }
    };
    let outcome = match reply {
        OwnerCall::Answered(OwnerReply::Submitted(SubmitReply::Accepted)) => Outcome::Done(()),
        // The job may have been accepted in the meantime, whatever the last answer was; a refusal
        // could be wrong.
        _ if was_in_flight => Outcome::Unknown,
        OwnerCall::Answered(OwnerReply::Submitted(SubmitReply::Busy(wait))) => {
            Outcome::Refused(wait)
        }
        OwnerCall::NotReached | OwnerCall::NotOwner => Outcome::Refused(NO_OWNER_RETRY),
        OwnerCall::Answered(_) | OwnerCall::Unanswered => Outcome::Unknown,
    };
    cx.metrics.note_submit(&queue.terms.queue, &outcome);
    let (owner, owner_seen_ms) = last_known_owner(cx, &handle);
    let (data_centre, took_ms) = (
        &cx.cfg.data_centre,
        millis(cx.clock.now().since(started_at)),
    );
    log::info!(job:% = job, queue:% = queue.terms.queue, data_centre:%, outcome:? = outcome, took_ms, shard:% = handle.partition, owner:% = owner, owner_seen_ms, store_up = cx.store_up.get(); "job submitted");
    outcome
}

/// Whether a submission names its data centre: where callers share capacity. An owner of an earlier
/// version would drop the connection on such a call, and with it other calls in flight.
fn shares_by_data_centre(cx: &Cx, handle: &ShardHandle) -> bool {
    let lease = handle.lease.borrow();
    let accepts_origins = lease.row.as_ref().is_some_and(|row| row.accepts_origins);
    cx.cfg.features.fair_sharing && accepts_origins
}

/// Reads the state of a job.
pub async fn show(cx: &Cx, job: JobId) -> Outcome<JobState> {
    call_home_shards(cx, job, async |handle| {
        match call_owner(cx, &handle, OwnerRequest::Show(job)).await {
            OwnerCall::Answered(OwnerReply::Shown(ShowReply::State(state))) => {
                Asked::Final(Outcome::Done(state))
            }
            OwnerCall::Answered(OwnerReply::Shown(ShowReply::Unknown)) => Asked::NotHere,
            _ => Asked::Undecided(Outcome::Refused(NO_OWNER_RETRY)),
        }
    })
    .await
}

/// The reply of a shard's owner to the question for the state of a job; none without an answer.
pub async fn state_in(cx: &Cx, handle: &Rc<ShardHandle>, job: JobId) -> Option<ShowReply> {
    match call_owner(cx, handle, OwnerRequest::Show(job)).await {
        OwnerCall::Answered(OwnerReply::Shown(reply)) => Some(reply),
        _ => None,
    }
}

/// Cancels a job in the shard that has it.
pub async fn cancel(cx: &Cx, job: JobId) -> Outcome<()> {
    call_home_shards(cx, job, async |handle| cancel_in(cx, &handle, job).await).await
}

async fn cancel_in(cx: &Cx, handle: &Rc<ShardHandle>, job: JobId) -> Asked<()> {
    let asked = match call_owner(cx, handle, OwnerRequest::Cancel(job)).await {
        OwnerCall::Answered(OwnerReply::Cancelled(CancelReply::Done)) => {
            Asked::Final(Outcome::Done(()))
        }
        OwnerCall::Answered(OwnerReply::Cancelled(CancelReply::UnknownJob)) => Asked::NotHere,
        OwnerCall::Answered(OwnerReply::Cancelled(CancelReply::Busy(wait))) => {
            Asked::Undecided(Outcome::Refused(wait))
        }
        OwnerCall::NotReached | OwnerCall::NotOwner => {
            Asked::Undecided(Outcome::Refused(NO_OWNER_RETRY))
        }
        OwnerCall::Unanswered => Asked::Undecided(Outcome::Unknown),
        // This shard answers for the job. Another one may have it already, and a cancellation that
        // is confirmed there would not be known here.
        OwnerCall::Answered(_) => Asked::Final(Outcome::Unknown),
    };
    let (owner, owner_seen_ms) = last_known_owner(cx, handle);
    log::info!(job:% = job, outcome:? = asked, shard:% = handle.partition, owner:% = owner, owner_seen_ms, store_up = cx.store_up.get(); "cancel asked for");
    asked
}

/// What a shard says of a job that is looked for.
#[derive(Debug)]
enum Asked<T> {
    /// The shard answers for the job.
    Final(Outcome<T>),
    /// The shard does not know the job.
    NotHere,
    /// The shard may have the job; the outcome if no other has it.
    Undecided(Outcome<T>),
}

/// Makes a call to the shards that may have a job, the likeliest first. The job is unknown only if
/// all of them report so: the home of a job with data on a rack follows from that rack, not from
/// the job's id.
async fn call_home_shards<T>(
    cx: &Cx,
    job: JobId,
    call: impl AsyncFn(Rc<ShardHandle>) -> Asked<T>,
) -> Outcome<T> {
    let Some(layout) = cx.layout.borrow().clone() else {
        return Outcome::Refused(NO_LAYOUT_RETRY);
    };
    let mut undecided = None;
    for shard in layout.homes(job) {
        match call(cx.handle(shard)).await {
            Asked::Final(outcome) => return outcome,
            Asked::NotHere => {}
            Asked::Undecided(outcome) => {
                undecided.get_or_insert(outcome);
            }
        }
    }
    undecided.unwrap_or(Outcome::NoSuchJob)
}

/// Counts a queue's jobs without a started task, over all shards.
pub async fn pending(cx: &Cx, queue: &str) -> Outcome<u64> {
    let Some(layout) = cx.layout.borrow().clone() else {
        return Outcome::Refused(NO_LAYOUT_RETRY);
    };
    let counts = layout.all().map(|shard| {
        let handle = cx.handle(shard);
        async move { call_owner(cx, &handle, OwnerRequest::Pending(queue.to_owned())).await }
    });
    let mut sum = 0;
    for reply in futures::future::join_all(counts).await {
        match reply {
            OwnerCall::Answered(OwnerReply::Pending(Some(count))) => sum += count,
            _ => return Outcome::Refused(NO_OWNER_RETRY),
        }
    }
    Outcome::Done(sum)
}

/// How suitable a shard is for a job; none without an answer from its owner.
pub async fn suitability(
    cx: &Cx,
    handle: &Rc<ShardHandle>,
    needs: &JobNeeds,
) -> Option<Suitability> {
    match call_owner(cx, handle, OwnerRequest::Suitability(needs.clone())).await {
        OwnerCall::Answered(OwnerReply::Suitability(suitability)) => suitability,
        _ => None,
    }
}

/// The load of a shard; none without an answer from its owner.
pub async fn load_digest(cx: &Cx, handle: &Rc<ShardHandle>) -> Option<LoadDigest> {
    // Without a retry: calls are frequent, and a retry reads the lease from the store.
    match call_once(cx, handle, OwnerRequest::LoadDigest).await {
        OwnerCall::Answered(OwnerReply::LoadDigest(digest)) => digest,
        _ => None,
    }
}

/// Estimates of interference that the owner of a shard added since `upto`; none without an answer.
pub async fn interference_update(
    cx: &Cx,
    handle: &Rc<ShardHandle>,
    upto: Option<ReceivedVersions>,
) -> Option<LearnedUpdate> {
    match call_owner(cx, handle, OwnerRequest::Learned(upto)).await {
        OwnerCall::Answered(OwnerReply::Learned(update)) => update,
        _ => None,
    }
}

/// Number of the `wanted` tasks for which a shard offers free capacity; none without an answer from
/// its owner.
pub async fn free_capacity_offer(
    cx: &Cx,
    handle: &Rc<ShardHandle>,
    need: &TaskNeed,
    wanted: u32,
) -> Option<u32> {
    // Without a retry: requests are frequent, and a retry reads the lease from the store.
    match call_once(cx, handle, OwnerRequest::Room(need.clone(), wanted)).await {
        OwnerCall::Answered(OwnerReply::Room(offer)) => offer,
        _ => None,
    }
}

/// Delegates tasks of another shard's job to a shard; true once the shard has made them durable.
pub async fn adopt(cx: &Cx, handle: &Rc<ShardHandle>, tasks: GuestTasks) -> bool {
    let reply = call_owner(cx, handle, OwnerRequest::Adopt(tasks)).await;
    matches!(
        reply,
        OwnerCall::Answered(OwnerReply::Adopted(AdoptReply::Adopted))
    )
}

/// Returns tasks to the shard that delegated them; true once that shard has confirmed this.
pub async fn take_back(cx: &Cx, handle: &Rc<ShardHandle>, tasks: ReturnedTasks) -> bool {
    let reply = call_owner(cx, handle, OwnerRequest::TakeBack(tasks)).await;
    matches!(
        reply,
        OwnerCall::Answered(OwnerReply::TakenBack(TakeBackReply::Confirmed))
    )
}

/// Hands a job that waits in its home to another shard; none without an answer.
pub async fn take(cx: &Cx, handle: &Rc<ShardHandle>, moved: MovedJob) -> Option<TakeReply> {
    match call_owner(cx, handle, OwnerRequest::TakeJob(moved)).await {
        OwnerCall::Answered(OwnerReply::JobTaken(reply)) => Some(reply),
        _ => None,
    }
}

/// Whether the home of a job that moved still calls for it; none without an answer.
pub async fn still_moving(cx: &Cx, handle: &Rc<ShardHandle>, job: JobId) -> Option<bool> {
    // Without a retry, which reads the lease from the store: the next round asks again.
    match call_once(cx, handle, OwnerRequest::StillMoving(job)).await {
        OwnerCall::Answered(OwnerReply::StillMoving(is_moving)) => is_moving,
        _ => None,
    }
}

/// The owner by the last read of the lease, and the age of that read in milliseconds; for logs.
fn last_known_owner(cx: &Cx, handle: &ShardHandle) -> (String, u64) {
    let (lease, now) = (handle.lease.borrow(), cx.clock.now());
    let owner = lease.holder(now).map(|holder| holder.daemon.clone());
    let age = lease.read_at.map_or(Duration::MAX, |at| now.since(at));
    (owner.unwrap_or_else(|| "nobody".to_owned()), millis(age))
}

/// Outcome of a call to the owner.
enum OwnerCall {
    /// The owner answered.
    Answered(OwnerReply),
    /// No owner is known, or the call certainly did not reach it.
    NotReached,
    /// The callee does not own the shard, or no longer.
    NotOwner,
    /// No answer; the owner may have carried out the request.
    Unanswered,
}

async fn call_owner(cx: &Cx, handle: &Rc<ShardHandle>, request: OwnerRequest) -> OwnerCall {
    let started_at = cx.clock.now();
    let is_of_caller = matches!(
        request,
        OwnerRequest::Submit { .. }
            | OwnerRequest::Show(_)
            | OwnerRequest::Cancel(_)
            | OwnerRequest::Pending(_)
    );
    for attempt in 1.. {
        let reply = call_once(cx, handle, request.clone()).await;
        let is_final = !matches!(reply, OwnerCall::NotReached | OwnerCall::NotOwner);
        let now = cx.clock.now();
        let may_wait = || {
            let is_in_time = now.since(started_at) < HANDOVER_PATIENCE;
            is_of_caller && is_in_time && is_handed_over(cx, handle, &reply)
        };
        let is_again = !is_final && (attempt < MAX_CALLS || may_wait());
        if !is_again || cx.reachability.is_isolated() {
            return reply;
        }
        tokio::time::sleep(RETRY_DELAY).await;
        // Further attempts share the reads of other requests.
        let read_at = handle.lease.borrow().read_at;
        let is_recent = read_at.is_some_and(|at| cx.clock.now().since(at) < RETRY_DELAY);
        if attempt == 1 || !is_recent {
            // If the read fails, the lease stays as last read.
            let _ = super::lease::read(cx, handle).await;
        }
    }
    OwnerCall::NotReached
}

/// Whether the shard is probably being handed over as planned, so that its next owner answers soon.
fn is_handed_over(cx: &Cx, handle: &ShardHandle, reply: &OwnerCall) -> bool {
    let has_successor = handle.lease.borrow().successor(cx.clock.now()).is_some();
    let is_planned = has_successor || matches!(reply, OwnerCall::NotOwner);
    cx.cfg.features.planned_handover && is_planned
}

async fn call_once(cx: &Cx, handle: &ShardHandle, request: OwnerRequest) -> OwnerCall {
    let is_own = handle
        .owner
        .borrow()
        .as_ref()
        .is_some_and(|owner| owner.is_recovered());
    if is_own {
        // Boxed, since a submission may call another shard's owner in turn, which recurses.
        return classify_answer(peer::answer(cx, handle.shard, request).boxed_local().await);
    }
    let holder = handle.lease.borrow().holder(cx.clock.now()).cloned();
    let Some(holder) = holder.filter(|holder| *holder != cx.me) else {
        return OwnerCall::NotReached;
    };
    if cx.reachability.is_isolated() {
        return OwnerCall::NotReached;
    }
    let now = cx.clock.now();
    let is_backing_off = |(address, since): &(String, Millis)| {
        *address == holder.address && now.since(*since) < OWNER_BACKOFF
    };
    if handle
        .unresponsive_owner
        .borrow()
        .as_ref()
        .is_some_and(is_backing_off)
    {
        return OwnerCall::NotReached;
    }
    let call = cx
        .peers
        .ask(&holder.address, handle.shard, request, OWNER_TIMEOUT);
    match call.await {
        Ok(answer) => classify_answer(answer),
        Err(e) => {
            *handle.unresponsive_owner.borrow_mut() =
                Some((holder.address.clone(), cx.clock.now()));
            log::warn!(owner:% = holder.daemon, shard:% = handle.partition, error:% = e; "owner does not answer");
            match e.is_unsent {
                true => OwnerCall::NotReached,
                false => OwnerCall::Unanswered,
            }
        }
    }
}

fn classify_answer(answer: OwnerReply) -> OwnerCall {
    match answer {
        OwnerReply::Submitted(SubmitReply::NotOwner)
        | OwnerReply::Shown(ShowReply::NotOwner)
        | OwnerReply::Cancelled(CancelReply::NotOwner)
        | OwnerReply::Pending(None)
        | OwnerReply::Load(None)
        | OwnerReply::Learned(None)
        | OwnerReply::Room(None)
        | OwnerReply::Adopted(AdoptReply::NotOwner)
        | OwnerReply::TakenBack(TakeBackReply::NotOwner)
        | OwnerReply::JobTaken(TakeReply::NotOwner)
        | OwnerReply::StillMoving(None) => OwnerCall::NotOwner,
        answer => OwnerCall::Answered(answer),
    }
}
