//! A shard under this daemon's ownership: its lease, its ledger, its sessions with workers.

use super::{
    Cx,
    journal::{Journal, ProposeError, Ticket, Urgency, WriteEnd},
    pressure::{self, Pressure},
    registrar,
    sessions::Session,
    snapshots, starts, supervisor, upkeep, visits,
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

/// First wait before a failed recovery is tried again.
const FIRST_RECOVERY_WAIT: Duration = Duration::from_millis(100);
/// Longest wait before a failed recovery is tried again.
const LONGEST_RECOVERY_WAIT: Duration = Duration::from_secs(1);

/// A shard that this daemon owns.
pub struct Shard {
    /// Its name.
    pub id: ShardId,
    /// The epoch under which this daemon owns it.
    pub epoch: Epoch,
    /// When this daemon took it.
    pub since: Millis,
    /// Its ledger.
    pub journal: Journal,
    /// Workers by name.
    pub sessions: RefCell<IndexMap<WorkerId, Session>>,
    /// Rounds of floor exchanges seen of each daemon.
    pub grant_rounds: RefCell<IndexMap<Holder, u64>>,
    /// When earlier owners that did not release the shard were found to be dead.
    pub owners_gone: RefCell<IndexMap<Epoch, Millis>>,
    /// What is learned of how tasks disturb each other and of failing workers.
    pub pressure: RefCell<Pressure>,
    /// Rung when a job may be placed.
    pub placement: Notify,
    row: RefCell<(u64, ShardRow)>,
    /// A renewal whose answer was lost, and when it was first sent.
    doubtful: RefCell<Option<(ShardRow, Millis)>>,
    tenure: Cell<Tenure>,
    serving: Cell<bool>,
    lost: watch::Sender<bool>,
}

impl Shard {
    /// A shard that was just taken; `row_version` and `epoch_version` are its rows' versions.
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
            owners_gone: RefCell::default(),
            pressure: RefCell::default(),
            placement: Notify::new(),
            row: RefCell::new((row_version, row)),
            doubtful: RefCell::default(),
            tenure: Cell::new(tenure),
            serving: Cell::new(false),
            lost: watch::Sender::new(false),
        })
    }

    /// The shard's row and version as last written or read.
    pub fn row(&self) -> (u64, ShardRow) {
        self.row.borrow().clone()
    }

    /// Notes a renewal that certainly took effect.
    pub fn renewed(&self, row: ShardRow, version: u64, sent_at: Millis) {
        let mut tenure = self.tenure.get();
        tenure.renew(sent_at);
        self.tenure.set(tenure);
        self.doubtful.borrow_mut().take();
        *self.row.borrow_mut() = (version, row);
    }

    /// Notes that a renewal's answer was lost. Tries that would write the same row can't be told
    /// apart, so the first one's time counts.
    pub fn doubt(&self, row: ShardRow, sent_at: Millis) {
        let mut doubtful = self.doubtful.borrow_mut();
        if !doubtful.as_ref().is_some_and(|(known, _)| *known == row) {
            *doubtful = Some((row, sent_at));
        }
    }

    /// Notes the row as read back. It counts as a renewal only if it is one whose answer was lost.
    pub fn adopt_row(&self, row: ShardRow, version: u64) {
        let doubtful = self.doubtful.borrow().clone();
        if let Some((_, sent_at)) = doubtful.filter(|(doubtful, _)| *doubtful == row) {
            let mut tenure = self.tenure.get();
            tenure.renew(sent_at);
            self.tenure.set(tenure);
            self.doubtful.borrow_mut().take();
        }
        *self.row.borrow_mut() = (version, row);
    }

    /// The owner's view of its lease.
    pub fn tenure(&self) -> Tenure {
        self.tenure.get()
    }

    /// Whether the owner may start or commit anything at `now`.
    pub fn may_act(&self, now: Millis, terms: &LeaseTerms) -> bool {
        !self.is_lost() && self.tenure.get().may_act(now, terms)
    }

    /// Whether the ledger is recovered.
    pub fn is_serving(&self) -> bool {
        self.serving.get() && !self.is_lost()
    }

    /// Whether another owner has come, or this one has given the shard up.
    pub fn is_lost(&self) -> bool {
        *self.lost.borrow()
    }

    /// Ends this ownership here and now.
    pub fn lose(&self) {
        self.journal.lose();
        self.lost.send_replace(true);
        self.placement.notify_one();
    }

    /// Renews and starts nothing more, and writes the last event of a graceful end. If it can't be
    /// written, the successor takes this owner for unaccounted and waits longer.
    pub async fn end_tenure(&self, cx: &Cx) {
        let was_serving = self.is_serving();
        self.serving.set(false);
        if !was_serving || !self.may_act(cx.clock.now(), &cx.cfg.shards.terms) {
            return;
        }
        let ended = Event::OwnerEnded { epoch: self.epoch };
        if let Ok(ticket) = self.journal.propose(cx, vec![ended], Urgency::Urgent) {
            ticket.end().await;
        }
    }

    /// Whether an event proposed now would be written, as far as is known.
    pub fn can_write(&self, cx: &Cx) -> bool {
        self.is_serving()
            && self.may_act(cx.clock.now(), &cx.cfg.shards.terms)
            && self.journal.is_writing()
    }

    /// The ledger's state.
    pub fn state(&self) -> Ref<'_, State> {
        self.journal.state()
    }

    /// A job of this shard.
    pub fn job(&self, id: &JobId) -> Option<Job> {
        self.state().jobs.get(id).cloned()
    }

    /// Proposes events; see [`Journal::propose`]. Refused once the lease has run out, and while the
    /// shard is being given up: nothing may follow the owner's last event.
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

/// Starts the loops of a shard that was just taken. When they end for any reason the shard is lost
/// here, so that it is never held without being served.
pub fn start(cx: &Cx, shard: Rc<Shard>) {
    let cx = Rc::clone(cx);
    supervisor::spawn("shard", async move {
        let mut stop = shard.lost.subscribe();
        tokio::select! {
            () = serve(&cx, &shard) => {}
            _ = stop.wait_for(|lost| *lost) => {}
        }
        registrar::lose(&cx, &shard);
    });
}

async fn serve(cx: &Cx, shard: &Rc<Shard>) {
    recover(cx, shard).await;
    let may_act = || shard.may_act(cx.clock.now(), &cx.cfg.shards.terms);
    tokio::select! {
        () = shard.journal.write_all(cx, may_act) => {}
        () = snapshots::keep(cx, &shard.journal) => {}
        () = act(cx, shard) => {}
    }
}

/// Begins this ownership in the ledger and acts on it. Ends only if it can't begin.
async fn act(cx: &Cx, shard: &Rc<Shard>) {
    let began = Event::OwnerBegan {
        epoch: shard.epoch,
        holder: cx.me.clone(),
    };
    let Ok(ticket) = shard.journal.propose(cx, vec![began], Urgency::Urgent) else {
        return;
    };
    if ticket.end().await != WriteEnd::Committed {
        return;
    }
    shard.serving.set(true);
    cx.timeline.record(Happening::ShardServing {
        shard: shard.id.clone(),
        epoch: shard.epoch,
    });
    log::info!("shard {} is served at epoch {}", shard.id, shard.epoch);
    futures::join!(
        visits::visit_workers(cx, shard),
        starts::place_jobs(cx, shard),
        upkeep::run(cx, shard),
        pressure::watch(cx, shard)
    );
    // The shard is being given up; its last event may still be on its way.
    std::future::pending().await
}

async fn recover(cx: &Cx, shard: &Rc<Shard>) {
    let mut backoff = Backoff::new(FIRST_RECOVERY_WAIT, LONGEST_RECOVERY_WAIT);
    while let Err(e) = shard.journal.recover(cx).await {
        log::warn!("shard {} is not recovered yet: {e:#}", shard.id);
        let wait = backoff.next_wait(&mut rand::rng());
        tokio::time::sleep(wait).await;
    }
}
