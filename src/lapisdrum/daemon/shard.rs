//! A shard that this daemon owns: its lease, its ledger and its sessions with workers.

use super::{
    Cx,
    journal::{Journal, ProposeError, Ticket, Urgency, WriteOutcome},
    mitigation::{self, MitigationState},
    polls, registrar,
    sessions::Session,
    snapshots, starts, supervisor, upkeep,
};
use crate::{
    core::{
        id::{Epoch, JobId, ShardId, WorkerId},
        job::Job,
        time::Millis,
    },
    state::{
        ledger::{Event, State},
        ownership::{Holder, LeaseTerms, ShardRow, Tenure},
    },
    timeline::event::Happening,
    util::backoff::Backoff,
};
use indexmap::IndexMap;
use std::{
    cell::{Cell, Ref, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::sync::{Notify, watch};

/// Wait before the first retry of a failed recovery.
const INITIAL_RECOVERY_WAIT: Duration = Duration::from_millis(100);
/// Longest wait before a failed recovery is retried.
const MAX_RECOVERY_WAIT: Duration = Duration::from_secs(1);

/// A shard that this daemon owns.
pub struct Shard {
    /// Data centre and index of the shard.
    pub id: ShardId,
    /// The epoch in which this daemon owns the shard.
    pub epoch: Epoch,
    /// When this daemon sent the take-over, on its own clock.
    pub since: Millis,
    /// The ledger and its writer.
    pub journal: Journal,
    /// Sessions with the workers of the shard's hosts.
    pub sessions: RefCell<IndexMap<WorkerId, Session>>,
    /// Number of the last floor exchange seen from each daemon.
    pub grant_rounds: RefCell<IndexMap<Holder, u64>>,
    /// When each earlier owner that did not release the shard was found to have ended.
    pub owners_ended: RefCell<IndexMap<Epoch, Millis>>,
    /// Interference estimates, health of workers and jobs, and the state of mitigation.
    pub mitigation: RefCell<MitigationState>,
    /// Notified when a waiting job may have become placeable.
    pub placement_notify: Notify,
    row: RefCell<(u64, ShardRow)>,
    /// The row of a renewal whose reply was lost, and when it was first sent.
    unconfirmed: RefCell<Option<(ShardRow, Millis)>>,
    tenure: Cell<Tenure>,
    serving: Cell<bool>,
    lost: watch::Sender<bool>,
}

impl Shard {
    /// Creates a shard that was just taken. `row_version` and `epoch_version` are the table
    /// versions of its row and its epoch row.
    pub fn new(
        id: ShardId,
        row: ShardRow,
        row_version: u64,
        epoch_version: u64,
        tenure: Tenure,
    ) -> Rc<Self> {
        Rc::new(Self {
            journal: Journal::new(id.clone(), tenure.epoch, epoch_version),
            id,
            epoch: tenure.epoch,
            since: tenure.renewed_at,
            sessions: RefCell::default(),
            grant_rounds: RefCell::default(),
            owners_ended: RefCell::default(),
            mitigation: RefCell::default(),
            placement_notify: Notify::new(),
            row: RefCell::new((row_version, row)),
            unconfirmed: RefCell::default(),
            tenure: Cell::new(tenure),
            serving: Cell::new(false),
            lost: watch::Sender::new(false),
        })
    }

    /// The shard's row and its version, as last written or read.
    pub fn row(&self) -> (u64, ShardRow) {
        self.row.borrow().clone()
    }

    /// Records a renewal that certainly took effect.
    pub fn note_renewed(&self, row: ShardRow, version: u64, sent_at: Millis) {
        let mut tenure = self.tenure.get();
        tenure.renew(sent_at);
        self.tenure.set(tenure);
        self.unconfirmed.borrow_mut().take();
        *self.row.borrow_mut() = (version, row);
    }

    /// Records a renewal whose reply was lost. Attempts that write the same row can't be told
    /// apart, so the send time of the first one counts.
    pub fn note_unconfirmed(&self, row: ShardRow, sent_at: Millis) {
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        if !unconfirmed.as_ref().is_some_and(|(known, _)| *known == row) {
            *unconfirmed = Some((row, sent_at));
        }
    }

    /// Records the row as read back. It extends the lease only if it is the row of a renewal whose
    /// reply was lost.
    pub fn adopt_row(&self, row: ShardRow, version: u64) {
        let unconfirmed = self.unconfirmed.borrow().clone();
        if let Some((_, sent_at)) = unconfirmed.filter(|(unconfirmed, _)| *unconfirmed == row) {
            let mut tenure = self.tenure.get();
            tenure.renew(sent_at);
            self.tenure.set(tenure);
            self.unconfirmed.borrow_mut().take();
        }
        *self.row.borrow_mut() = (version, row);
    }

    /// The lease as this daemon counts it.
    pub fn tenure(&self) -> Tenure {
        self.tenure.get()
    }

    /// Whether the owner may start or commit anything at `now`: the shard is not lost and its lease
    /// has not expired.
    pub fn may_act(&self, now: Millis, terms: &LeaseTerms) -> bool {
        !self.is_lost() && self.tenure.get().may_act(now, terms)
    }

    /// Whether the ledger is recovered and the shard neither lost nor being released.
    pub fn is_serving(&self) -> bool {
        self.serving.get() && !self.is_lost()
    }

    /// Whether this ownership has ended: another owner has taken the shard, this one has released
    /// it, or its loops have ended.
    pub fn is_lost(&self) -> bool {
        *self.lost.borrow()
    }

    /// Ends this ownership locally; the shard's row is not written.
    pub fn mark_lost(&self) {
        self.journal.stop();
        self.lost.send_replace(true);
        self.placement_notify.notify_one();
    }

    /// Prepares a release: stops starts and renewals, and writes the owner's last event. If it
    /// can't be written, the next owner has to assume that this one still renews tasks, and waits
    /// longer before it starts them elsewhere.
    pub async fn end_tenure(&self, cx: &Cx) {
        let was_serving = self.is_serving();
        self.serving.set(false);
        if !was_serving || !self.may_act(cx.clock.now(), &cx.cfg.shards.terms) {
            return;
        }
        let ended = Event::OwnerEnded { epoch: self.epoch };
        if let Ok(ticket) = self.journal.propose(cx, vec![ended], Urgency::Urgent) {
            ticket.outcome().await;
        }
    }

    /// Whether an event proposed now is likely to be written: the table accepted the last row
    /// without a retry.
    pub fn can_write(&self, cx: &Cx) -> bool {
        self.is_serving()
            && self.may_act(cx.clock.now(), &cx.cfg.shards.terms)
            && self.journal.is_writing()
    }

    /// The ledger's state, including events that are not durable yet.
    pub fn state(&self) -> Ref<'_, State> {
        self.journal.state()
    }

    /// A job of this shard; `None` if the ledger does not have it.
    pub fn job(&self, id: &JobId) -> Option<Job> {
        self.state().jobs.get(id).cloned()
    }

    /// Proposes events; see [`Journal::propose`]. Fails once the lease has expired, and while the
    /// shard is being released: no event may follow the owner's last one.
    pub fn propose(
        &self,
        cx: &Cx,
        events: Vec<Event>,
        urgency: Urgency,
    ) -> Result<Ticket, ProposeError> {
        if self.is_lost() {
            return Err(ProposeError::Lost);
        }
        let may_act = self.may_act(cx.clock.now(), &cx.cfg.shards.terms);
        if !self.is_serving() || !may_act {
            return Err(ProposeError::Stalled);
        }
        self.journal.propose(cx, events, urgency)
    }
}

/// Starts the loops of a shard that was just taken. When they end for any reason, so does the
/// ownership: no shard is held without being served.
pub fn start(cx: &Cx, shard: Rc<Shard>) {
    let cx = Rc::clone(cx);
    supervisor::spawn("shard", async move {
        let mut stop = shard.lost.subscribe();
        tokio::select! {
            () = serve(&cx, &shard) => {}
            _ = stop.wait_for(|lost| *lost) => {}
        }
        registrar::remove_lost(&cx, &shard);
    });
}

async fn serve(cx: &Cx, shard: &Rc<Shard>) {
    recover(cx, shard).await;
    let may_act = || shard.may_act(cx.clock.now(), &cx.cfg.shards.terms);
    tokio::select! {
        () = shard.journal.write_all(cx, may_act) => {}
        () = snapshots::store_all(cx, &shard.journal) => {}
        () = run_owner(cx, shard) => {}
    }
}

/// Records the start of this ownership in the ledger and runs the owner's loops. Returns only if
/// the start can't be recorded.
async fn run_owner(cx: &Cx, shard: &Rc<Shard>) {
    let started = Event::OwnerBegan {
        epoch: shard.epoch,
        holder: cx.me.clone(),
    };
    let Ok(ticket) = shard.journal.propose(cx, vec![started], Urgency::Urgent) else {
        return;
    };
    if ticket.outcome().await != WriteOutcome::Committed {
        return;
    }
    shard.serving.set(true);
    cx.timeline.record(Happening::ShardServing {
        shard: shard.id.clone(),
        epoch: shard.epoch,
    });
    log::info!("shard {} is served at epoch {}", shard.id, shard.epoch);
    futures::join!(
        polls::poll_workers(cx, shard),
        starts::place_jobs(cx, shard),
        upkeep::run(cx, shard),
        mitigation::watch(cx, shard)
    );
    // The shard is being released; its last event may still be in flight.
    std::future::pending().await
}

async fn recover(cx: &Cx, shard: &Rc<Shard>) {
    let mut backoff = Backoff::new(INITIAL_RECOVERY_WAIT, MAX_RECOVERY_WAIT);
    while let Err(e) = shard.journal.recover(cx).await {
        log::warn!(
            "recovery of shard {} failed and is retried: {e:#}",
            shard.id
        );
        let wait = backoff.next_wait(&mut rand::rng());
        tokio::time::sleep(wait).await;
    }
}
