//! Planned hand-over: an owner that is told to stop hands its shards to a prepared successor.
//!
//! Every daemon writes its address to the store once at its start, and owners read these rows every
//! few seconds, so that they know the other daemons while the store doesn't answer. A stopping owner
//! asks them for their state ([`succession`]), lets the best read the shard's state ahead, and serves
//! until that is done. Then it stops, writes its last journal rows, releases the lease with the
//! successor's name and calls the successor, which takes over at once and reads only the rows that
//! are left.
//!
//! All of these calls are hints. Who owns the shard is decided by the conditional write on the lease
//! and fence rows alone; what a successor has read ahead counts only together with the rows that it
//! reads under its own fence. If any step fails, the lease is released or lapses as without it.

use super::{
    Cx, ShardHandle,
    edge::{CallError, RowKey, Txn, TxnOutcome},
    journal::Standby,
    lease::{self, Holder},
    owner::Owner,
    peer::{OwnerReply, OwnerRequest},
};
use crate::{
    core::time::{Millis, millis},
    daemon::supervisor,
    policy::succession::{self, Candidate},
};
use std::{cmp::Reverse, rc::Rc, time::Duration};

/// Store table of the daemons that take part, which is its only partition too.
pub const PRESENCE_TABLE: &str = "daemons";
/// Interval at which owners read the table: a daemon that was started within it is rarely needed as a
/// successor.
const PRESENCE_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before the own row is written again after a failure.
const PRESENCE_RETRY: Duration = Duration::from_secs(1);
/// Time limit of the calls for the state of all daemons: many round trips between data centres.
const CANDIDACY_TIMEOUT: Duration = Duration::from_millis(200);
/// Time limit of the choice and preparation of a successor.
pub const PLAN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time limit of one successor's preparation; the owner serves meanwhile.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(600);
/// Most daemons that are asked for their state: a host with a small part of a core takes long for
/// more calls at once.
const MAX_ASKED: usize = 12;
/// Most daemons that are asked to prepare one after another.
const MAX_PREPARED: usize = 2;
/// Longest time for which a stopped owner waits for its last journal rows, which are otherwise left
/// to the successor or refused as unknown.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit of the call that tells the successor of the release.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which what was read ahead is dropped, so that its memory is free: longer than the rest
/// of a hand-over.
const PREPARED_FOR: Duration = Duration::from_secs(4);

data! {
    /// Row of a daemon that takes part.
    struct Presence {
        holder: Holder,
        /// Its processor share, in thousandths of a core.
        cpu_share_milli: u32,
    }
}

/// What a daemon has prepared to take a shard over.
#[derive(Default)]
pub struct Prepared {
    /// The state read ahead, and when it was read.
    standby: Option<(Standby, Millis)>,
    /// When the call to take over arrived, and for how long the owner had stopped then.
    called: Option<(Millis, Duration)>,
}

impl Prepared {
    /// Whether the shard's state was read ahead.
    pub fn is_ready(&self) -> bool {
        self.standby.is_some()
    }
}

/// Writes the own presence row, and reads those of the other daemons while this process owns a shard,
/// until the process ends.
pub async fn follow(cx: Cx) {
    while let Err(e) = write_presence(&cx).await {
        cx.note_store(Err(&e));
        tokio::time::sleep(PRESENCE_RETRY).await;
    }
    loop {
        if !cx.owners().is_empty()
            && let Err(e) = read_presence(&cx).await
        {
            cx.note_store(Err(&e));
        }
        let interval = match cx.daemons.borrow().is_empty() {
            true => PRESENCE_RETRY,
            false => PRESENCE_INTERVAL,
        };
        tokio::time::sleep(cx.read_rate.get().pause(interval)).await;
    }
}

async fn write_presence(cx: &Cx) -> Result<(), CallError> {
    let row = RowKey {
        table: PRESENCE_TABLE,
        partition: PRESENCE_TABLE.to_owned(),
        key: cx.me.daemon.clone(),
    };
    let presence = Presence {
        holder: cx.me.clone(),
        cpu_share_milli: cpu_share_milli(cx),
    };
    let value = serde_json::to_vec(&presence).unwrap_or_default();
    let txn = Txn {
        put: vec![(row, value.into())],
        ..Txn::default()
    };
    match cx.store.commit(&txn).await {
        TxnOutcome::Committed(_) => Ok(()),
        outcome => Err(CallError::new(format!("{outcome:?}"))),
    }
}

async fn read_presence(cx: &Cx) -> Result<(), CallError> {
    let rows = cx.store.rows(PRESENCE_TABLE, PRESENCE_TABLE, "").await?;
    cx.note_store(Ok(()));
    let daemons = rows.iter().filter_map(|row| {
        let presence = serde_json::from_slice::<Presence>(&row.value).ok()?;
        Some((presence, row.version))
    });
    let others = daemons.filter(|(presence, _)| presence.holder.address != cx.me.address);
    let mut others: Vec<(Presence, u64)> = others.collect();
    // Versions come from one counter, so the daemons that were started last come first.
    others.sort_by_key(|(presence, version)| {
        let share = succession::useful_share(presence.cpu_share_milli);
        (Reverse(share), Reverse(*version))
    });
    let others = others.into_iter().map(|(presence, _)| presence.holder);
    *cx.daemons.borrow_mut() = others.take(MAX_ASKED).collect();
    Ok(())
}

fn cpu_share_milli(cx: &Cx) -> u32 {
    (cx.cfg.cpu_share * 1_000.0) as u32
}

/// Whether this process was called to take the shard over as planned, and has not recovered it yet.
pub fn is_planned(handle: &ShardHandle) -> bool {
    handle.prepared.borrow().called.is_some()
}

/// The state of this daemon as a candidate; none if it takes no part.
pub fn candidacy(cx: &Cx) -> Option<Candidate> {
    let now = cx.clock.now();
    let handles = cx.handles();
    let is_counted = |handle: &&Rc<ShardHandle>| {
        handle.owner.borrow().is_some() || handle.prepared.borrow().is_ready()
    };
    let shards = handles.iter().filter(is_counted).count();
    cx.cfg.features.planned_handover.then(|| Candidate {
        store_age_ms: millis(cx.reachability.store_age(now)),
        is_draining: cx.is_draining(),
        up_ms: now.0,
        cpu_share_milli: cpu_share_milli(cx),
        shards: shards as u32,
    })
}

/// Reads a shard's state ahead; returns the last journal row. A daemon prepares one shard at a time,
/// so that it holds the memory of one.
pub async fn prepare(cx: &Cx, handle: &Rc<ShardHandle>) -> Option<u64> {
    let is_busy = |other: &Rc<ShardHandle>| other.prepared.borrow().is_ready();
    let may_prepare = cx.cfg.features.planned_handover && !cx.is_draining();
    if !may_prepare || cx.handles().iter().any(is_busy) {
        return None;
    }
    let read = Standby::read(cx, &handle.partition);
    let standby = match tokio::time::timeout(PREPARE_TIMEOUT, read).await {
        Ok(Ok(standby)) => standby,
        failed => {
            let error = failed.map(|read| read.err());
            log::info!(shard:% = handle.partition, error:?; "shard could not be prepared");
            return None;
        }
    };
    let (last, now) = (standby.last, cx.clock.now());
    log::info!(shard:% = handle.partition, row = last; "shard prepared");
    handle.prepared.borrow_mut().standby = Some((standby, now));
    let handle = Rc::clone(handle);
    supervisor::spawn("standby", async move {
        tokio::time::sleep(PREPARED_FOR).await;
        let mut prepared = handle.prepared.borrow_mut();
        prepared.standby.take_if(|(_, read_at)| *read_at == now);
    });
    Some(last)
}

/// The state that was read ahead, for a recovery.
pub fn take_standby(cx: &Cx, handle: &ShardHandle) -> Option<Standby> {
    let (standby, read_at) = handle.prepared.borrow_mut().standby.take()?;
    (cx.clock.now().since(read_at) < PREPARED_FOR).then_some(standby)
}

/// Takes a shard over that was released for this daemon; `stopped` is the time for which it had no
/// owner when the call was sent. Returns whether that is tried.
pub fn take_over(cx: &Cx, handle: &Rc<ShardHandle>, stopped: Duration) -> bool {
    if cx.is_draining() || !cx.cfg.features.planned_handover {
        return false;
    }
    handle.prepared.borrow_mut().called = Some((cx.clock.now(), stopped));
    let (cx, handle) = (Rc::clone(cx), Rc::clone(handle));
    supervisor::spawn("take-over", async move {
        lease::take_as_successor(&cx, &handle).await;
    });
    true
}

/// Logs how long a shard that was handed over had no owner.
pub fn note_recovered(cx: &Cx, handle: &ShardHandle) {
    let now = cx.clock.now();
    let called = handle.prepared.borrow_mut().called.take();
    let called = called.filter(|(called_at, _)| now.since(*called_at) < PREPARED_FOR);
    if let Some((called_at, stopped)) = called {
        let without_owner = stopped + now.since(called_at);
        let without_owner_ms = millis(without_owner);
        cx.metrics
            .handover_seconds
            .observe(without_owner.as_secs_f64());
        log::info!(shard:% = handle.partition, without_owner_ms; "shard taken over as planned");
    }
}

/// Releases a shard: to a prepared successor if this daemon takes part in planned hand-overs.
pub async fn release(cx: &Cx, owner: &Rc<Owner>) {
    let is_planned = cx.cfg.features.planned_handover;
    let successor = match is_planned && owner.is_recovered() && !owner.is_suspended() {
        true => {
            let planned = prepared_successor(cx, owner);
            let planned = tokio::time::timeout(PLAN_TIMEOUT, planned).await;
            planned.unwrap_or_default()
        }
        false => None,
    };
    let stopped_at = cx.clock.now();
    if successor.is_some() {
        owner.stop_sending_leases();
        let flushed = owner.journal.append(&[]).outcome();
        // Without the rows the successor finds the runs and ends at their workers.
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, flushed).await;
    }
    let is_released = lease::release(cx, owner, successor.as_ref()).await;
    let outcome = match (is_released, &successor) {
        (false, _) => "unconfirmed",
        (true, None) => "unprepared",
        (true, Some(successor)) => {
            let stopped = cx.clock.now().since(stopped_at);
            let request = OwnerRequest::TakeOver(millis(stopped));
            let (address, shard) = (&successor.address, owner.handle.shard);
            let call = cx.peers.ask(address, shard, request, TAKE_OVER_TIMEOUT);
            match call.await {
                Ok(OwnerReply::TakingOver(true)) => "accepted",
                _ => {
                    // The others need not wait for it.
                    lease::release(cx, owner, None).await;
                    "declined"
                }
            }
        }
    };
    if is_planned {
        let successor = successor.map(|successor| successor.daemon);
        let took_ms = millis(cx.clock.now().since(stopped_at));
        cx.metrics.note_handover(outcome);
        log::info!(shard:% = owner.handle.partition, token = owner.token(), successor:?, took_ms, outcome; "shard released");
    }
}

/// The best candidate that has read the shard's state ahead.
async fn prepared_successor(cx: &Cx, owner: &Rc<Owner>) -> Option<Holder> {
    let shard = owner.handle.shard;
    let daemons = cx.daemons.borrow().clone();
    let calls = daemons.iter().map(async |daemon| {
        let sent_at = tokio::time::Instant::now();
        let (address, request) = (&daemon.address, OwnerRequest::Candidacy);
        let call = cx.peers.ask(address, shard, request, CANDIDACY_TIMEOUT);
        match call.await {
            Ok(OwnerReply::Candidacy(Some(candidate))) => Some((candidate, sent_at.elapsed())),
            _ => None,
        }
    });
    let replies = futures::future::join_all(calls).await;
    let answered = daemons.iter().zip(replies);
    let answered = answered.filter_map(|(daemon, reply)| Some((daemon, reply?)));
    let (holders, candidates): (Vec<&Holder>, Vec<_>) = answered.unzip();
    let ranked = succession::rank(&candidates, cx.clock.now().0);
    let (asked, able) = (daemons.len(), ranked.len());
    for index in ranked.into_iter().take(MAX_PREPARED) {
        let (holder, (candidate, round_trip)) = (holders[index], candidates[index]);
        let call = cx.peers.ask(
            &holder.address,
            shard,
            OwnerRequest::Prepare,
            PREPARE_TIMEOUT,
        );
        let row = match call.await {
            Ok(OwnerReply::Prepared(row)) => row,
            _ => None,
        };
        let round_trip_ms = millis(round_trip);
        log::info!(shard:% = owner.handle.partition, asked, able, successor:% = holder.daemon, candidate:?, round_trip_ms, row:?; "successor chosen");
        if row.is_some() {
            return Some(holder.clone());
        }
    }
    None
}
