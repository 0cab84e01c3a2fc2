//! Who owns a shard: a lease row in the store, and a fence row beside it that only a take-over writes.
//!
//! Every daemon reads both rows now and then; an owner renews the lease row. A row that stays unchanged
//! for [`LEASE`] on the reader's own clock has lapsed, and any daemon may take the shard by a conditional
//! write. The fence row's version is the new owner's fencing token: versions come from one counter for
//! the whole store, so it is greater than any token ever given out.
//!
//! The lease decides only when somebody else may try. What an owner may still do is decided by the fence
//! at the store and by the token at the workers, so a daemon that was frozen and wakes can do no harm.

use super::{
    Cx, ShardHandle,
    edge::{CallError, Row, RowKey, Txn, TxnEnd},
    journal::{Piggyback, PiggybackEnd, PiggybackOutcome},
    layout::ShardId,
    owner::Owner,
};
use crate::core::time::Millis;
use rand::Rng;
use std::{rc::Rc, time::Duration};

/// Table of both rows.
pub const OWNERS_TABLE: &str = "owners";
const LEASE_KEY: &str = "lease";
const FENCE_KEY: &str = "fence";
/// Time between two looks at the rows: with [`LEASE`], how soon a dead owner is replaced.
const POLL: Duration = Duration::from_millis(300);
/// Least pause between two looks where there are several shards.
const LEAST_PAUSE: Duration = Duration::from_millis(150);
/// Shards that a daemon looks at in every round: with [`LEAST_PAUSE`], and one other, each is seen again after
/// 1.35 s, within a [`LEASE`].
const MOST_WATCHED: usize = 8;
/// Head start that a daemon gives to others for each shard that it owns. Less than that of a host with half of
/// [`ENOUGH_CPU`]: two shards on half a core go better than one on an eighth.
const ANOTHER_SHARD: Duration = Duration::from_millis(400);
/// Time between two renewals: two may be lost before the lease lapses, or one be as slow as the store is
/// when its answers take sixty times as long.
const RENEW: Duration = Duration::from_millis(400);
/// Life of the lease. It is the larger part of the time without an owner, in which nothing starts; a lapse
/// under a live owner costs a recovery of 0.15 s. Workers' leases run for 6 s, so tasks live through both.
pub const LEASE: Duration = Duration::from_millis(1_500);
/// A host with this part of a core leaves no shard to others.
const ENOUGH_CPU: f64 = 0.25;
/// Head start that a host without any processor would give: several looks of the larger ones.
const LONGEST_HEAD_START: Duration = Duration::from_millis(1_500);
/// Rows that were not read for this long tell nothing of a lapse: two looks, and a call's time limit.
const BLIND_AFTER: Duration = Duration::from_millis(1_900);
/// A row that stood still for this long is suspected: one renewal is missing. Its holder is then asked whether
/// it is still there, since a killed owner would else be waited for during the rest of its lease, of which
/// this is less than half.
const SUSPECTED_AFTER: Duration = Duration::from_millis(600);
/// Longest wait for a suspected holder's answer: many round trips between data centres.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// A daemon that started this much after the one that gave a shard up was started since.
const STARTED_SINCE: Duration = Duration::from_secs(1);
/// Head start that those give which run for as long as the one that gave the shard up: an end that was asked for
/// is often one of a series, and who hasn't had its turn would give the shard up again. Longer than a look and its
/// pause take the others.
const SERIES_HEAD_START: Duration = Duration::from_millis(350);
/// Spread of the daemons' tries after a lapse, so that most find it taken when they look.
const TAKE_SPREAD: Duration = Duration::from_millis(150);
/// A renewal on a slow store takes up to so many times as long as a read: it waits for a transaction with journal
/// rows and goes with the next.
const ANSWERS_A_RENEWAL: u32 = 5;
/// Tries to take over are spread over so many times an answer: each shows to the others after two.
const ANSWERS_A_SPREAD: u32 = 10;
/// Most that is allowed for a slow store.
const MOST_ALLOWANCE: Duration = Duration::from_millis(3_000);
/// A renewal that the journal hasn't carried within this time is sent by itself.
const PIGGYBACK_LIMIT: Duration = Duration::from_millis(1_200);
/// Tries to give a lease up.
const RELEASE_TRIES: usize = 3;
/// Daemons of which the lease was last released are given this head start over the one that gave it up.
const RELEASED_GRACE: Duration = Duration::from_secs(3);

data! {
    /// A run of a daemon.
    pub struct Holder {
        /// The daemon's name.
        pub daemon: String,
        /// Where other daemons reach it.
        pub address: String,
        /// Drawn at its start.
        pub incarnation: u64,
    }

    /// The lease row.
    pub struct LeaseRow {
        /// Who holds it, or held it last.
        pub holder: Holder,
        /// Whether it was given up.
        pub is_released: bool,
        /// Raised by each renewal.
        pub renewals: u64,
        /// For how long the holder had been running when it wrote the row, in milliseconds.
        #[serde(default)]
        pub up_ms: u64,
    }
}

impl Holder {
    /// Whether this is another run of the same daemon at the same address. Only one process at a time can
    /// listen there, so a process that finds this of itself knows that the other run is over.
    pub fn is_other_run_of(&self, me: &Self) -> bool {
        self.address == me.address && self.incarnation != me.incarnation
    }
}

/// The lease as last read.
#[derive(Clone, Debug, Default)]
pub struct LeaseView {
    /// The row; none before the first owner.
    pub row: Option<LeaseRow>,
    /// Its version; 0 when there is none.
    pub version: u64,
    /// The fence row's version.
    pub fence: u64,
    /// Since when it is known to have this version: the shard's owner took it no later.
    pub fence_since: Millis,
    /// Since when the row is known with this version.
    pub since: Millis,
    /// When the rows were last read.
    pub read_at: Option<Millis>,
    /// How long the answer took then.
    pub answer_took: Duration,
    /// The lease row's version whose holder was found to be gone.
    pub gone_version: Option<u64>,
}

impl LeaseView {
    /// Notes the rows as read at `now`.
    pub fn note(&mut self, rows: &[Row], now: Millis) -> Result<(), serde_json::Error> {
        let lease = rows.iter().find(|row| row.key == LEASE_KEY);
        let version = lease.map_or(0, |row| row.version);
        if version != self.version || self.read_at.is_none() {
            self.since = now;
        }
        self.row = lease
            .map(|row| serde_json::from_slice(&row.value))
            .transpose()?;
        self.version = version;
        let fence = rows.iter().find(|row| row.key == FENCE_KEY);
        let fence = fence.map_or(0, |row| row.version);
        if fence != self.fence || self.read_at.is_none() {
            self.fence_since = now;
        }
        self.fence = fence;
        self.read_at = Some(now);
        Ok(())
    }

    /// The holder, unless the lease was given up or has lapsed at `now`. A daemon that can't read the rows goes by
    /// the last holder: the store may turn this host away alone, and a holder that is none says so itself.
    pub fn holder(&self, now: Millis) -> Option<&Holder> {
        let row = self.row.as_ref().filter(|row| !row.is_released)?;
        let is_blind = self.read_at.is_none_or(|at| now.since(at) > BLIND_AFTER);
        let is_held = now.since(self.since) < self.lapses_after() && !self.is_gone();
        (is_held || is_blind).then_some(&row.holder)
    }

    /// How long the row may stand still. A store that answers late does renewals late too, and a lapse under a live
    /// owner has every daemon try to take over in the same part, which holds up the renewals still more.
    fn lapses_after(&self) -> Duration {
        LEASE + (self.answer_took * ANSWERS_A_RENEWAL).min(MOST_ALLOWANCE)
    }

    /// Over what time the daemons' tries are spread: on a slow store others' tries show late. What was given up is
    /// free for certain, and is taken sooner.
    fn take_spread(&self, is_first_in_line: bool) -> Duration {
        let (least, answers) = match (is_first_in_line, self.is_released()) {
            (true, _) => (Duration::ZERO, 1),
            (false, true) => (TAKE_SPREAD, 2),
            (false, false) => (TAKE_SPREAD, ANSWERS_A_SPREAD),
        };
        least + (self.answer_took * answers).min(MOST_ALLOWANCE)
    }

    fn is_released(&self) -> bool {
        self.row.as_ref().is_some_and(|row| row.is_released)
    }

    /// Whether the holder was found to be gone.
    fn is_gone(&self) -> bool {
        self.gone_version == Some(self.version)
    }

    /// The holder, if its lease runs at `now` and is overdue to be renewed, so that it is to be asked.
    pub fn suspected(&self, now: Millis) -> Option<&Holder> {
        let row = self.row.as_ref().filter(|row| !row.is_released)?;
        let unchanged = now.since(self.since);
        let suspected_after = SUSPECTED_AFTER + self.answer_took * 2;
        let is_overdue = unchanged >= suspected_after && unchanged < self.lapses_after();
        let is_suspected = is_overdue && !self.is_gone();
        is_suspected.then_some(&row.holder)
    }

    /// How long a daemon that has run for `up` leaves a shard to others that was given up.
    fn series_head_start(&self, up: Duration) -> Duration {
        let released = self.row.as_ref().filter(|row| row.is_released);
        let is_older = |row: &LeaseRow| up + STARTED_SINCE >= Duration::from_millis(row.up_ms);
        match released.is_some_and(is_older) {
            true => SERIES_HEAD_START,
            false => Duration::ZERO,
        }
    }

    /// Whether `me` may try to take the shard at `now`.
    pub fn is_free_for(&self, me: &Holder, now: Millis) -> bool {
        match &self.row {
            None => true,
            Some(row) if row.is_released && row.holder == *me => {
                now.since(self.since) >= RELEASED_GRACE
            }
            Some(row) if row.is_released => true,
            // A take-over of our own whose answer was lost: nobody has acted under it.
            Some(row) if row.holder == *me => true,
            Some(row) if row.holder.is_other_run_of(me) => true,
            Some(_) => self.is_gone() || now.since(self.since) >= self.lapses_after(),
        }
    }
}

fn key(handle: &ShardHandle, key: &str) -> RowKey {
    RowKey {
        table: OWNERS_TABLE,
        part: handle.part.clone(),
        key: key.to_owned(),
    }
}

/// Looks at the leases in turn, and takes a shard that is free, until the process ends. A daemon looks at one
/// shard at a time, so that its calls don't grow with their number.
pub async fn run(cx: Cx) -> eyre::Result<()> {
    super::layout::learn(&cx).await;
    let shards: Vec<_> = cx.layout.borrow().iter().flat_map(|l| l.all()).collect();
    let pause = (POLL / shards.len().max(1) as u32).max(LEAST_PAUSE);
    for shard in rota(&shards, cx.me.incarnation).into_iter().cycle() {
        watch(&cx, &cx.handle(shard)).await;
        tokio::time::sleep(cx.read_pace.get().pause(pause)).await;
    }
    Ok(())
}

/// In which order a run of a daemon looks at shards. To see a lapse it must see the same row twice within
/// about a lease, so with many shards it keeps to a few that its run draws, and each of them has several daemons
/// that do; the others come in between, for a shard that too few have drawn.
pub fn rota(shards: &[ShardId], incarnation: u64) -> Vec<ShardId> {
    let mut drawn = shards.to_vec();
    drawn.sort_by_cached_key(|shard| {
        xxhash_rust::xxh3::xxh3_64_with_seed(&shard.0.to_be_bytes(), incarnation)
    });
    let (own, others) = drawn.split_at(drawn.len().min(MOST_WATCHED));
    if others.is_empty() {
        return own.to_vec();
    }
    let round = |other: &ShardId| [own, std::slice::from_ref(other)].concat();
    others.iter().flat_map(round).collect()
}

async fn watch(cx: &Cx, handle: &Rc<ShardHandle>) {
    if let Err(e) = look(cx, handle).await {
        cx.note_store(Err(&e));
    }
    let is_own = handle.owner.borrow().is_some();
    if is_own || cx.is_draining() {
        return;
    }
    probe_suspected(cx, handle).await;
    if !is_free(cx, handle) {
        return;
    }
    let up = Duration::from_millis(cx.clock.now().0);
    let series = handle.lease.borrow().series_head_start(up);
    let is_first_in_line = series == Duration::ZERO && handle.lease.borrow().is_released();
    let spread = handle.lease.borrow().take_spread(is_first_in_line);
    let spread = rand::rng().random_range(Duration::ZERO..=spread);
    let burden = ANOTHER_SHARD * cx.owners().len() as u32;
    let waits = [spread, burden, series, head_start(cx.cfg.cpu_share)];
    let wait: Duration = waits.into_iter().sum();
    tokio::time::sleep(wait).await;
    // Another may have taken it meanwhile; a try in vain would hold its first rows up.
    if wait >= POLL && look(cx, handle).await.is_err() {
        return;
    }
    if let Err(e) = try_take(cx, handle).await {
        log::warn!(error:% = e; "take-over failed");
    }
}

/// Asks a holder that is overdue whether it is there. One that isn't, or is another run, has no use of the rest
/// of its lease. A refused connection may also come from a network that is cut, while the holder goes on: then
/// the take-over is one too many and does no harm, since the fence and the tokens don't go by what is found here.
async fn probe_suspected(cx: &Cx, handle: &ShardHandle) {
    let (suspected, version) = {
        let lease = handle.lease.borrow();
        let suspected = lease.suspected(cx.clock.now()).cloned();
        (suspected.filter(|holder| *holder != cx.me), lease.version)
    };
    let Some(holder) = suspected else {
        return;
    };
    let is_gone = match cx.peers.who(&holder.address, PROBE_TIMEOUT).await {
        Ok(now) => now.run.incarnation != holder.incarnation,
        Err(e) => e.is_refused,
    };
    if is_gone {
        log::info!(shard:% = handle.part, holder:% = holder.daemon; "owner is not there any more");
        handle.lease.borrow_mut().gone_version = Some(version);
    }
}

/// How long a host leaves a free shard to larger ones: an owner on one with a small part of a core falls behind in
/// every burst.
fn head_start(cpu_share: f64) -> Duration {
    let missing = (ENOUGH_CPU - cpu_share).max(0.0) / ENOUGH_CPU;
    LONGEST_HEAD_START.mul_f64(missing)
}

fn is_free(cx: &Cx, handle: &ShardHandle) -> bool {
    handle.lease.borrow().is_free_for(&cx.me, cx.clock.now())
}

/// Reads the rows.
pub async fn look(cx: &Cx, handle: &ShardHandle) -> Result<(), CallError> {
    let asked_at = cx.clock.now();
    let rows = cx.store.rows(OWNERS_TABLE, &handle.part, "").await?;
    cx.note_store(Ok(()));
    let before = handle.lease.borrow().fence;
    let now = cx.clock.now();
    handle.lease.borrow_mut().answer_took = now.since(asked_at);
    let noted = handle.lease.borrow_mut().note(&rows, now);
    noted.map_err(|e| CallError::new(format!("the lease row is malformed: {e}")))?;
    let view = handle.lease.borrow().clone();
    if view.fence != before {
        let holder = view.row.map(|row| row.holder.daemon).unwrap_or_default();
        log::info!(shard:% = handle.part, holder:% = holder, token = view.fence; "owner changed");
    }
    Ok(())
}

async fn try_take(cx: &Cx, handle: &Rc<ShardHandle>) -> eyre::Result<()> {
    // What was read a moment ago is good enough: the write is conditional on it.
    if !is_free(cx, handle) {
        return Ok(());
    }
    let seen = handle.lease.borrow().clone();
    let row = LeaseRow {
        holder: cx.me.clone(),
        is_released: false,
        renewals: 0,
        up_ms: cx.clock.now().0,
    };
    let txn = Txn {
        expect: vec![
            (key(handle, LEASE_KEY), seen.version),
            (key(handle, FENCE_KEY), seen.fence),
        ],
        put: vec![
            (key(handle, LEASE_KEY), serde_json::to_vec(&row)?.into()),
            (key(handle, FENCE_KEY), serde_json::to_vec(&cx.me)?.into()),
        ],
        delete: Vec::new(),
    };
    let sent_at = cx.clock.now();
    let end = cx.store.commit(&txn).await;
    log::info!(shard:% = handle.part, end:? = end, unchanged_ms = sent_at.since(seen.since).as_millis() as u64; "take-over tried");
    if matches!(end, TxnEnd::Conflict(_) | TxnEnd::NotDone(_)) {
        return Ok(());
    }
    // Read back, whether the answer was lost or not: the token is the fence row's own version.
    look(cx, handle).await?;
    let view = handle.lease.borrow().clone();
    let is_ours = view.row.as_ref() == Some(&row) && view.fence > seen.fence;
    if !is_ours {
        return Ok(());
    }
    let owner = Owner::take(handle, &seen, &view, key(handle, FENCE_KEY), sent_at);
    *handle.owner.borrow_mut() = Some(Rc::clone(&owner));
    super::owner::start(cx, owner);
    Ok(())
}

/// Renews the lease until the shard is lost.
pub async fn renew(cx: &Cx, owner: &Rc<Owner>) {
    let mut renewals = 0;
    while owner.is_serving() {
        renewals += 1;
        let renewing = owner.renewing.lock().await;
        // It may have been given up meanwhile.
        if owner.is_serving() {
            renew_once(cx, owner, renewals, false).await;
        }
        drop(renewing);
        tokio::time::sleep(RENEW).await;
    }
}

/// Gives the lease up, so that another daemon takes over at its next look. A renewal that is under way would have it
/// fail and the lease left to lapse, so none is sent any more, and after a lost answer it is tried again.
pub async fn release(cx: &Cx, owner: &Rc<Owner>) {
    let _renewing = owner.renewing.lock().await;
    for _ in 0..RELEASE_TRIES {
        if !owner.is_serving() || renew_once(cx, owner, u64::MAX, true).await {
            return;
        }
    }
}

/// Writes the lease row; true once it is in.
async fn renew_once(cx: &Cx, owner: &Rc<Owner>, renewals: u64, is_released: bool) -> bool {
    let row = LeaseRow {
        holder: cx.me.clone(),
        is_released,
        renewals,
        up_ms: cx.clock.now().0,
    };
    let piggyback = Piggyback {
        row: key(&owner.handle, LEASE_KEY),
        version: owner.lease_version.get(),
        value: serde_json::to_vec(&row).unwrap_or_default().into(),
    };
    let ride = match owner.journal.is_busy() && !is_released {
        true => owner.journal.carry(piggyback, PIGGYBACK_LIMIT).await,
        false => PiggybackOutcome::NotTaken(piggyback),
    };
    let PiggybackEnd { end, sent_at } = match ride {
        PiggybackOutcome::Ended(end) => end,
        PiggybackOutcome::Lost => return false,
        PiggybackOutcome::NotTaken(piggyback) => renew_alone(cx, owner, piggyback).await,
    };
    match end {
        TxnEnd::Committed(newest) => {
            cx.note_store(Ok(()));
            owner.lease_version.set(newest);
            owner.renewed_at.set(sent_at);
            return true;
        }
        TxnEnd::Conflict(rows) => adopt_or_lose(cx, owner, &rows),
        TxnEnd::NotDone(e) | TxnEnd::Unknown(e) => cx.note_store(Err(&e)),
    }
    false
}

async fn renew_alone(cx: &Cx, owner: &Rc<Owner>, piggyback: Piggyback) -> PiggybackEnd {
    let txn = Txn {
        expect: vec![(piggyback.row.clone(), piggyback.version), owner.fence()],
        put: vec![(piggyback.row, piggyback.value)],
        delete: Vec::new(),
    };
    let sent_at = cx.clock.now();
    let end = cx.store.commit(&txn).await;
    if matches!(end, TxnEnd::Committed(_) | TxnEnd::Conflict(_)) {
        owner.journal.note_answer(cx.clock.now().since(sent_at));
    }
    PiggybackEnd { end, sent_at }
}

/// After a conflict: an earlier renewal whose answer was lost, or another owner?
fn adopt_or_lose(cx: &Cx, owner: &Rc<Owner>, rows: &[Row]) {
    let mut view = LeaseView::default();
    let is_read = view.note(rows, cx.clock.now()).is_ok();
    let is_ours = view.row.is_some_and(|row| row.holder == cx.me) && view.fence == owner.token();
    if is_read && is_ours {
        owner.lease_version.set(view.version);
        return;
    }
    owner.lose("another daemon has taken the shard");
}
