//! Ownership of a shard: a lease row in the store, and a fence row that only a take-over writes.
//!
//! Every daemon polls both rows; the owner renews the lease row. A lease whose row stays unchanged
//! for [`LEASE`] on the reader's own clock has lapsed, and any daemon may take the shard over by a
//! conditional write. The version of the fence row is the new owner's fencing token: versions come
//! from one counter for the whole store, so it is greater than every earlier token.
//!
//! The lease only decides when another daemon may try to take over. What an owner may still do is
//! decided by the fence at the store and the token at the workers, so a daemon that resumes after a
//! freeze can do no harm.

use super::{
    Cx, ShardHandle,
    edge::{CallError, Row, RowKey, Txn, TxnOutcome},
    handover,
    journal::{Piggyback, PiggybackOutcome, PiggybackReply},
    layout::ShardId,
    lease_feed,
    owner::{
        Owner, poll,
        stop_note::{self, StopNote},
    },
    resolution::{
        ConfirmedBefore, ConfirmedRuns, EarlierOwners, LeaseLimits, LeasesLeft, SilentWorker,
        UnsettledWorker,
    },
};
use crate::core::time::Millis;
use indexmap::IndexMap;
use rand::Rng;
use std::{rc::Rc, time::Duration};

/// Store table of the lease and fence rows.
pub const OWNERS_TABLE: &str = "owners";
const LEASE_KEY: &str = "lease";
const FENCE_KEY: &str = "fence";
/// Time between two polls of the rows. Together with [`LEASE`] it determines how soon a failed
/// owner is replaced.
pub const POLL: Duration = Duration::from_millis(300);
/// Minimum pause between two polls if there are several shards.
const MIN_PAUSE: Duration = Duration::from_millis(150);
/// Maximum number of shards that a daemon polls in every round. With [`MIN_PAUSE`] and one further
/// shard per round, each is polled every 1.35 s, which is within a [`LEASE`].
const MAX_POLLED_PER_ROUND: usize = 8;
/// Delay of a take-over for each shard that the daemon owns already. Less than the delay of a host
/// with half of [`SUFFICIENT_CPU_SHARE`], since two shards on half a core perform better than one
/// on an eighth.
const DELAY_PER_OWNED_SHARD: Duration = Duration::from_millis(400);
/// Time between two renewals. The lease survives two lost renewals, or one on a store that is 60
/// times slower.
const RENEW: Duration = Duration::from_millis(400);
/// Duration of the lease. It is the larger part of the time without an owner, in which nothing
/// starts. A lapse under a live owner costs a recovery of 0.15 s. Workers' leases last 6 s, so
/// tasks survive both.
pub const LEASE: Duration = Duration::from_millis(1_500);
/// Time from the end of an owner until the next one has recovered the shard, on a store that answers:
/// the lease, two polls and the recovery.
pub const TAKEOVER: Duration = Duration::from_millis(2_500);
/// Share of a core from which a host does not delay a take-over.
const SUFFICIENT_CPU_SHARE: f64 = 0.25;
/// Take-over delay for a CPU share of 0: several polls of the larger hosts.
const MAX_CPU_DELAY: Duration = Duration::from_millis(1_500);
/// Age from which rows are too old to infer a lapse from: two polls plus the time limit of a call.
const STALE_AFTER: Duration = Duration::from_millis(1_900);
/// Time without a change from which the holder is suspected, since one renewal is missing. The
/// holder is then probed, so that a killed owner is replaced without waiting for the rest of its
/// lease, of which this is less than half.
const SUSPECTED_AFTER: Duration = Duration::from_millis(600);
/// Time limit of a probe of a suspected holder: many round trips between data centres.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// A daemon whose uptime is shorter by more than this than that of the daemon that released a shard
/// started later.
const UPTIME_TOLERANCE: Duration = Duration::from_secs(1);
/// Take-over delay of a daemon that has run at least as long as the one that released the shard.
/// Releases often come from a rolling restart, and a daemon that is still to be restarted would
/// release the shard again. Longer than a poll and its pause.
const ROLLING_RESTART_DELAY: Duration = Duration::from_millis(350);
/// Random delay of take-over attempts, so that most daemons see that the shard is taken before they
/// try.
const TAKEOVER_JITTER: Duration = Duration::from_millis(150);
/// Upper bound of a renewal's duration on a slow store, in durations of a read: the renewal waits
/// for a transaction with journal rows and is sent with the next one.
const RENEWAL_READ_TIMES: u32 = 5;
/// Range of the random take-over delay, in durations of a read: others see an attempt after two.
const JITTER_READ_TIMES: u32 = 10;
/// Maximum extension of a time limit for a slow store.
const MAX_SLOW_STORE_ALLOWANCE: Duration = Duration::from_millis(3_000);
/// Minimum time between two renewals, where one is asked for early or the last success is long ago.
const MIN_RENEW_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a renewal that no journal transaction has carried is sent in its own
/// transaction.
const PIGGYBACK_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time from the first read of a release with a named successor in which other daemons leave the
/// shard to it: it has been called and needs some calls to the store, also if one is repeated.
const SUCCESSOR_FIRST: Duration = Duration::from_millis(400);
/// Maximum attempts to release a lease.
const RELEASE_ATTEMPTS: usize = 3;
/// Time for which a daemon does not take a shard again that it released itself, so that others come
/// first.
const RETAKE_DELAY: Duration = Duration::from_secs(3);

data! {
    /// Identity of a daemon process.
    pub struct Holder {
        /// The daemon's name.
        pub daemon: String,
        /// Address for calls from other daemons: IP number and port.
        pub address: String,
        /// Random number that the process draws at its start.
        pub incarnation: u64,
    }

    /// An owner that may have sent leases to workers.
    pub struct LastSender {
        /// Its process.
        pub holder: Holder,
        /// Its fencing token.
        pub token: u64,
        /// Time after the writing of the row during which owners before it may send leases to
        /// workers, in milliseconds.
        pub earlier_may_send_ms: u64,
    }

    /// What the last owner that may have sent leases, the *sender*, knows of the leases that workers
    /// hold. The next owner may find neither that owner nor some of the workers.
    pub struct SentLeases {
        /// Leases of the sender.
        pub sender: LeasesLeft,
        /// Leases of the owners before the sender.
        pub earlier: LeasesLeft,
        /// Workers that do not answer and have runs: time after the writing of the row until which
        /// all leases there last, in milliseconds. The sender sends them no lease until a row
        /// without them is known to be written.
        #[serde(default)]
        pub silent: IndexMap<String, u64>,
        /// Those of these workers on which confirmed runs end before others. A sender of an earlier
        /// version does not write it.
        #[serde(default)]
        pub silent_confirmed: IndexMap<String, ConfirmedRuns>,
        /// Number of a journal row: long-running runs that were placed before it are confirmed,
        /// unless they are on these workers.
        #[serde(default)]
        pub confirmed_before: Option<u64>,
        /// The same by worker, which a reader of an earlier version does not know.
        #[serde(default)]
        pub confirmed: Option<ConfirmedBefore>,
        /// Workers that answer, on which leases of confirmed runs last longer than this row says for
        /// all; a reader of an earlier version takes these runs for unconfirmed. The sender names at
        /// most as many as in `confirmed`.
        #[serde(default)]
        pub unsettled: IndexMap<String, ConfirmedRuns>,
        /// Journal rows before which all runs have started, as far as the sender knows. A sender of an
        /// earlier version does not write it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub started: Option<ConfirmedBefore>,
    }

    /// Content of the lease row.
    pub struct LeaseRow {
        /// The current or last holder.
        pub holder: Holder,
        /// Whether the holder released the lease.
        pub is_released: bool,
        /// Number of the renewal; `u64::MAX` for a release.
        pub renewals: u64,
        /// Uptime of the holder when it wrote the row, in milliseconds.
        #[serde(default)]
        pub up_ms: u64,
        /// Time after the writing of the row during which owners before the holder may send leases
        /// to workers, in milliseconds. A holder that writes it sends none itself after a release;
        /// one that does not write it may.
        #[serde(default)]
        pub earlier_may_send_ms: Option<u64>,
        /// The last owner that may have sent leases, if the holder has sent none. A holder sends
        /// none until a row without it is known to be written, which lists the workers that it has
        /// not reached: one whose take-over got no reply, or that ends before, needs no hold.
        #[serde(default)]
        pub last_sender: Option<LastSender>,
        /// Leases of the last sender, which is the holder if none is named, and of the owners before
        /// it. A holder of an earlier version does not write it.
        #[serde(default)]
        pub leases: Option<SentLeases>,
        /// Whether the holder takes back tasks that it delegated; an earlier version does not know
        /// the call.
        #[serde(default)]
        pub accepts_returns: bool,
        /// Whether the holder knows the submission that names a data centre.
        #[serde(default)]
        pub accepts_origins: bool,
        /// Daemon that has read the shard's state ahead and for which the holder released the lease.
        #[serde(default)]
        pub successor: Option<Holder>,
        /// Whether the holder describes the load of the shard to other owners; an earlier version
        /// does not know the call.
        #[serde(default)]
        pub tells_load: bool,
        /// Whether the holder accepts jobs that move from their home, and tells whether those of its
        /// own still move; an earlier version does not know the calls.
        #[serde(default)]
        pub takes_jobs: bool,
    }
}

impl SentLeases {
    fn confirmed_by_worker(&self) -> ConfirmedBefore {
        self.confirmed
            .clone()
            .unwrap_or_else(|| ConfirmedBefore::everywhere(self.confirmed_before))
    }
}

impl Holder {
    /// Whether this is another process at the address of `me`. Only one process can listen there at
    /// a time, so the process `me` can conclude that the other one has ended.
    pub fn is_other_incarnation_of(&self, me: &Self) -> bool {
        self.address == me.address && self.incarnation != me.incarnation
    }
}

/// The lease and fence rows as last read.
#[derive(Clone, Debug, Default)]
pub struct LeaseView {
    /// The lease row; `None` before the first owner.
    pub row: Option<LeaseRow>,
    /// Version of the lease row; 0 if there is none.
    pub version: u64,
    /// Version of the fence row; 0 if there is none.
    pub fence: u64,
    /// Time of the first read with this fence version; the owner took the shard no later.
    pub fence_since: Millis,
    /// Time of the first read with this version of the lease row.
    pub since: Millis,
    /// Time of the last read; `None` before the first.
    pub read_at: Option<Millis>,
    /// Duration of the last read.
    pub answer_took: Duration,
    /// Version of the lease row whose holder a probe found to have ended.
    pub ended_version: Option<u64>,
}

impl LeaseView {
    /// Records the rows as read at `now`. Returns an error if the lease row is malformed.
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

    /// Records the rows that have changed since the last read, oldest first; those that were read
    /// before are skipped. Returns an error if the lease row is malformed.
    pub fn note_changed(&mut self, rows: &[&Row], now: Millis) -> Result<(), serde_json::Error> {
        for row in rows {
            if row.key == LEASE_KEY && row.version > self.version {
                self.row = Some(serde_json::from_slice(&row.value)?);
                (self.version, self.since) = (row.version, now);
            }
            if row.key == FENCE_KEY && row.version > self.fence {
                (self.fence, self.fence_since) = (row.version, now);
            }
        }
        self.read_at = Some(now);
        Ok(())
    }

    /// Newest version of the rows; 0 if there are none.
    pub fn newest_version(&self) -> u64 {
        self.version.max(self.fence)
    }

    /// Returns the holder, or the successor for which it released the lease, unless the lease was
    /// released without one or has lapsed at `now`. A daemon that
    /// cannot read the rows uses the last known holder: the store may be unavailable to this host
    /// only, and a daemon that no longer holds the lease says so when it is called.
    pub fn holder(&self, now: Millis) -> Option<&Holder> {
        let row = self.row.as_ref();
        if row.is_some_and(|row| row.is_released) {
            return self.successor(now);
        }
        let row = row?;
        let is_stale = self.read_at.is_none_or(|at| now.since(at) > STALE_AFTER);
        let is_held = now.since(self.since) < self.lapses_after() && !self.has_holder_ended();
        (is_held || is_stale).then_some(&row.holder)
    }

    /// The successor for which the lease was released, while others leave the shard to it.
    pub fn successor(&self, now: Millis) -> Option<&Holder> {
        let row = self.row.as_ref().filter(|row| row.is_released)?;
        let is_due = now.since(self.since) < SUCCESSOR_FIRST;
        row.successor.as_ref().filter(|_| is_due)
    }

    /// Time without a change after which the lease lapses. On a slow store renewals are late too,
    /// and after a lapse under a live owner every daemon tries to take over in the same partition,
    /// which delays the renewals further.
    fn lapses_after(&self) -> Duration {
        LEASE + (self.answer_took * RENEWAL_READ_TIMES).min(MAX_SLOW_STORE_ALLOWANCE)
    }

    /// Range of the random take-over delay. It is longer on a slow store, where other daemons'
    /// attempts become visible late, and shorter after a release, since the shard is certainly
    /// free.
    fn takeover_jitter(&self, is_first_in_line: bool) -> Duration {
        let (least, answers) = match (is_first_in_line, self.is_released()) {
            (true, _) => (Duration::ZERO, 1),
            (false, true) => (TAKEOVER_JITTER, 2),
            (false, false) => (TAKEOVER_JITTER, JITTER_READ_TIMES),
        };
        least + (self.answer_took * answers).min(MAX_SLOW_STORE_ALLOWANCE)
    }

    fn is_released(&self) -> bool {
        self.row.as_ref().is_some_and(|row| row.is_released)
    }

    /// Whether a probe found that the holder has ended.
    fn has_holder_ended(&self) -> bool {
        self.ended_version == Some(self.version)
    }

    /// Returns the holder to be probed: its renewal is overdue at `now`, but its lease has not
    /// lapsed.
    pub fn suspected(&self, now: Millis) -> Option<&Holder> {
        let row = self.row.as_ref().filter(|row| !row.is_released)?;
        let unchanged = now.since(self.since);
        let suspected_after = SUSPECTED_AFTER + self.answer_took * 2;
        let is_overdue = unchanged >= suspected_after && unchanged < self.lapses_after();
        let is_suspected = is_overdue && !self.has_holder_ended();
        is_suspected.then_some(&row.holder)
    }

    /// Until when earlier owners may send leases to workers, for a daemon that takes the shard over.
    pub fn earlier_owners(&self, limits: &LeaseLimits) -> EarlierOwners {
        let Some(row) = &self.row else {
            return EarlierOwners::none();
        };
        if let Some(sent) = &row.leases {
            return EarlierOwners::by_row(self.since, sent.sender, sent.earlier, limits);
        }
        let mut earlier = EarlierOwners::held(self.fence_since, self.since, limits);
        let Some(left_ms) = row.earlier_may_send_ms else {
            return earlier;
        };
        let left = Duration::from_millis(left_ms);
        if let Some(sender) = &row.last_sender {
            let before_left = Duration::from_millis(sender.earlier_may_send_ms);
            return EarlierOwners::held_before_idle(self.since, left, before_left, limits);
        }
        earlier.note_before(self.since, left, limits);
        if row.is_released {
            earlier.note_previous_stopped(self.since);
        }
        earlier
    }

    /// Workers that did not answer the last sender, and when the leases there end.
    pub fn silent_workers(&self, limits: &LeaseLimits) -> IndexMap<String, SilentWorker> {
        let sent = self.row.as_ref().and_then(|row| row.leases.as_ref());
        sent.map_or_else(IndexMap::new, |sent| {
            read_silent(&sent.silent, &sent.silent_confirmed, self.since, limits)
        })
    }

    /// Workers that answered the last sender, on which leases of confirmed runs last longer than on
    /// others.
    pub fn unsettled_workers(&self, limits: &LeaseLimits) -> IndexMap<String, UnsettledWorker> {
        let sent = self.row.as_ref().and_then(|row| row.leases.as_ref());
        let unsettled = sent.into_iter().flat_map(|sent| &sent.unsettled);
        let unsettled = unsettled.map(|(worker, confirmed)| {
            let unsettled = UnsettledWorker::by_row(self.since, confirmed, limits);
            (worker.clone(), unsettled)
        });
        unsettled.collect()
    }

    /// The journal rows before which the last sender had confirmed the long-running runs on workers
    /// that answered it.
    pub fn confirmed_before(&self) -> ConfirmedBefore {
        let sent = self.row.as_ref().and_then(|row| row.leases.as_ref());
        sent.map_or_else(ConfirmedBefore::default, SentLeases::confirmed_by_worker)
    }

    /// The journal rows before which all runs had started, as far as the last sender knew.
    pub fn started_before(&self) -> ConfirmedBefore {
        let sent = self.row.as_ref().and_then(|row| row.leases.as_ref());
        sent.and_then(|sent| sent.started.clone())
            .unwrap_or_default()
    }

    /// The last owner that may have sent leases, and its fencing token.
    pub fn last_sender(&self) -> Option<(&Holder, u64)> {
        let row = self.row.as_ref()?;
        Some(match &row.last_sender {
            Some(sender) => (&sender.holder, sender.token),
            None => (&row.holder, self.fence),
        })
    }

    /// The row of a take-over by `me` at `now`, after these rows were read.
    pub fn takeover_row(&self, me: &Holder, now: Millis, limits: &LeaseLimits) -> LeaseRow {
        let earlier = self.earlier_owners(limits);
        let before = earlier.before().left(now);
        let silent = self.silent_workers(limits);
        // The first owner sends leases at once.
        let sender = match self.row {
            Some(_) => earlier.previous().left(now),
            None => limits.after_row(),
        };
        LeaseRow {
            holder: me.clone(),
            is_released: false,
            renewals: 0,
            up_ms: now.0,
            earlier_may_send_ms: Some(limits.may_send_ms(earlier.ends().left(now))),
            last_sender: self.last_sender().map(|(holder, token)| LastSender {
                holder: holder.clone(),
                token,
                earlier_may_send_ms: limits.may_send_ms(before),
            }),
            leases: Some(SentLeases {
                sender,
                earlier: before,
                silent: left_of(&silent, now),
                silent_confirmed: confirmed_left_of(&silent, now),
                confirmed_before: self.confirmed_before().on_all(),
                confirmed: Some(self.confirmed_before()),
                unsettled: unsettled_left_of(&self.unsettled_workers(limits), now),
                started: Some(self.started_before()),
            }),
            accepts_returns: true,
            accepts_origins: true,
            successor: None,
            // A daemon with the feature says so in its first renewal.
            tells_load: false,
            takes_jobs: true,
        }
    }

    /// Delay before a daemon with uptime `up` takes over a released shard; see
    /// [`ROLLING_RESTART_DELAY`].
    fn rolling_restart_delay(&self, up: Duration) -> Duration {
        let released = self.row.as_ref().filter(|row| row.is_released);
        let is_older = |row: &LeaseRow| up + UPTIME_TOLERANCE >= Duration::from_millis(row.up_ms);
        match released.is_some_and(is_older) {
            true => ROLLING_RESTART_DELAY,
            false => Duration::ZERO,
        }
    }

    /// Whether `me` may try to take over the shard at `now`.
    pub fn is_free_for(&self, me: &Holder, now: Millis) -> bool {
        match &self.row {
            None => true,
            Some(row) if row.is_released && row.holder == *me => {
                now.since(self.since) >= RETAKE_DELAY
            }
            Some(row) if row.is_released => {
                self.successor(now).is_none_or(|successor| successor == me)
            }
            // An earlier take-over by this process whose reply was lost; it has not acted under it.
            Some(row) if row.holder == *me => true,
            Some(row) if row.holder.is_other_incarnation_of(me) => true,
            Some(_) => self.has_holder_ended() || now.since(self.since) >= self.lapses_after(),
        }
    }
}

/// Time left at `now` until all leases on each worker have ended, in milliseconds.
pub fn left_of(workers: &IndexMap<String, SilentWorker>, now: Millis) -> IndexMap<String, u64> {
    let left = workers
        .iter()
        .map(|(worker, silent)| (worker.clone(), silent.all_left_ms(now)));
    left.collect()
}

/// The workers on which confirmed runs end before others, for a row that is written at `now`.
pub fn confirmed_left_of(
    workers: &IndexMap<String, SilentWorker>,
    now: Millis,
) -> IndexMap<String, ConfirmedRuns> {
    let left = workers
        .iter()
        .filter_map(|(worker, silent)| Some((worker.clone(), silent.confirmed_left(now)?)));
    left.collect()
}

/// What a row that is written at `now` says of workers on which leases of confirmed runs last longer
/// than on others.
pub fn unsettled_left_of(
    workers: &IndexMap<String, UnsettledWorker>,
    now: Millis,
) -> IndexMap<String, ConfirmedRuns> {
    let left = workers
        .iter()
        .map(|(worker, unsettled)| (worker.clone(), unsettled.left(now)));
    left.collect()
}

/// When the leases on silent workers end, by a row that was read at `read_at`.
pub fn read_silent(
    ends_in_ms: &IndexMap<String, u64>,
    confirmed: &IndexMap<String, ConfirmedRuns>,
    read_at: Millis,
    limits: &LeaseLimits,
) -> IndexMap<String, SilentWorker> {
    let silent = ends_in_ms.iter().map(|(worker, ends_in_ms)| {
        let confirmed = confirmed.get(worker);
        let silent = SilentWorker::by_row(read_at, *ends_in_ms, confirmed, limits);
        (worker.clone(), silent)
    });
    silent.collect()
}

/// Time from the sending of a renewal during which no other daemon takes the shard over, unless the
/// lease is released: a live holder whose address refuses connections, as in a network partition,
/// may be replaced once it is suspected. On the holder's clock, which may be slower than that of
/// the other daemon.
pub fn exclusive_for(limits: &LeaseLimits) -> Duration {
    SUSPECTED_AFTER - SUSPECTED_AFTER / limits.drift_parts
}

fn key(handle: &ShardHandle, key: &str) -> RowKey {
    RowKey {
        table: OWNERS_TABLE,
        partition: handle.partition.clone(),
        key: key.to_owned(),
    }
}

/// Polls the leases in turn and takes over free shards, until the process ends. A daemon polls one
/// shard at a time, so that its call rate does not grow with the number of shards.
pub async fn run(cx: Cx) -> eyre::Result<()> {
    super::layout::load_or_create(&cx).await;
    let shards: Vec<_> = cx.layout.borrow().iter().flat_map(|l| l.all()).collect();
    let pause = (POLL / shards.len().max(1) as u32).max(MIN_PAUSE);
    if cx.cfg.features.lease_feed && lease_feed::is_useful(shards.len()) {
        lease_feed::follow(&cx, &shards, pause).await;
    }
    for shard in poll_order(&shards, cx.me.incarnation).into_iter().cycle() {
        poll_shard(&cx, &cx.handle(shard)).await;
        tokio::time::sleep(cx.read_rate.get().pause(pause)).await;
    }
    Ok(())
}

/// Order in which a daemon process polls shards. To detect a lapse it must read the same row twice
/// within about a lease, so with many shards each process polls a few in every round, selected by
/// its incarnation; several daemons select the same shard. The other shards are polled one per
/// round, in case too few daemons have selected one.
pub fn poll_order(shards: &[ShardId], incarnation: u64) -> Vec<ShardId> {
    let mut drawn = shards.to_vec();
    drawn.sort_by_cached_key(|shard| {
        xxhash_rust::xxh3::xxh3_64_with_seed(&shard.0.to_be_bytes(), incarnation)
    });
    let (own, others) = drawn.split_at(drawn.len().min(MAX_POLLED_PER_ROUND));
    if others.is_empty() {
        return own.to_vec();
    }
    let round = |other: &ShardId| [own, std::slice::from_ref(other)].concat();
    others.iter().flat_map(round).collect()
}

/// Reads the lease of a shard and takes the shard over if it is free; returns whether the read
/// succeeded.
pub(super) async fn poll_shard(cx: &Cx, handle: &Rc<ShardHandle>) -> bool {
    let read = read(cx, handle).await;
    if let Err(e) = &read {
        cx.note_store(Err(e));
    }
    act(cx, handle).await;
    read.is_ok()
}

/// Reads the lease of a shard again, and acts on it, if its last known row calls for a probe or a
/// take-over.
pub(super) async fn act_if_due(cx: &Cx, handle: &Rc<ShardHandle>) {
    let is_due = {
        let (lease, now) = (handle.lease.borrow(), cx.clock.now());
        lease.suspected(now).is_some() || lease.is_free_for(&cx.me, now)
    };
    if is_due && handle.owner.borrow().is_none() && !cx.is_draining() {
        poll_shard(cx, handle).await;
    }
}

/// Probes a suspected holder, and takes the shard over if it is free.
async fn act(cx: &Cx, handle: &Rc<ShardHandle>) {
    let is_own = handle.owner.borrow().is_some();
    if is_own || cx.is_draining() {
        return;
    }
    probe_suspected(cx, handle).await;
    if !is_free(cx, handle) {
        return;
    }
    if handle.lease.borrow().successor(cx.clock.now()) != Some(&cx.me) {
        let wait = takeover_wait(cx, handle);
        tokio::time::sleep(wait).await;
        // Another daemon may have taken the shard over meanwhile; a failing attempt would delay its
        // first journal rows.
        if wait >= POLL && read(cx, handle).await.is_err() {
            return;
        }
    }
    if let Err(e) = try_take(cx, handle).await {
        log::warn!(error:% = e; "take-over failed");
    }
}

/// Takes over a shard that was released for this daemon.
pub async fn take_as_successor(cx: &Cx, handle: &Rc<ShardHandle>) {
    if let Err(e) = read(cx, handle).await {
        cx.note_store(Err(&e));
    }
    let is_named = handle.lease.borrow().successor(cx.clock.now()) == Some(&cx.me);
    let is_own = handle.owner.borrow().is_some();
    if !is_named || is_own || cx.is_draining() {
        return;
    }
    if let Err(e) = try_take(cx, handle).await {
        log::warn!(error:% = e; "take-over failed");
    }
}

/// Time that a daemon waits before it takes a free shard over, so that better ones come first.
fn takeover_wait(cx: &Cx, handle: &ShardHandle) -> Duration {
    let up = Duration::from_millis(cx.clock.now().0);
    let restart_delay = handle.lease.borrow().rolling_restart_delay(up);
    let is_first_in_line = restart_delay == Duration::ZERO && handle.lease.borrow().is_released();
    let jitter = handle.lease.borrow().takeover_jitter(is_first_in_line);
    let jitter = cx.rng().random_range(Duration::ZERO..=jitter);
    let owned_delay = DELAY_PER_OWNED_SHARD * cx.owners().len() as u32;
    let waits = [
        jitter,
        owned_delay,
        restart_delay,
        cpu_delay(cx.cfg.cpu_share),
    ];
    waits.into_iter().sum()
}

/// Probes a suspected holder. If its process has ended or was restarted, the rest of its lease need
/// not be awaited. A connection may also be refused in a network partition while the holder is
/// alive: the take-over is then unnecessary but safe, since fence and tokens do not depend on the
/// probe.
async fn probe_suspected(cx: &Cx, handle: &ShardHandle) {
    let (suspected, version) = {
        let lease = handle.lease.borrow();
        let suspected = lease.suspected(cx.clock.now()).cloned();
        (suspected.filter(|holder| *holder != cx.me), lease.version)
    };
    let Some(holder) = suspected else {
        return;
    };
    let has_holder_ended = match cx.peers.who(&holder.address, PROBE_TIMEOUT).await {
        Ok(now) => now.run.incarnation != holder.incarnation,
        Err(e) => e.is_refused,
    };
    if has_holder_ended {
        log::info!(shard:% = handle.partition, holder:% = holder.daemon; "owner is not there any more");
        handle.lease.borrow_mut().ended_version = Some(version);
    }
}

/// Take-over delay of a host with a small CPU share, so that larger hosts come first: an owner with
/// a small part of a core falls behind in every burst.
fn cpu_delay(cpu_share: f64) -> Duration {
    let missing = (SUFFICIENT_CPU_SHARE - cpu_share).max(0.0) / SUFFICIENT_CPU_SHARE;
    MAX_CPU_DELAY.mul_f64(missing)
}

fn is_free(cx: &Cx, handle: &ShardHandle) -> bool {
    handle.lease.borrow().is_free_for(&cx.me, cx.clock.now())
}

/// Reads the lease and fence rows of a shard into [`ShardHandle::lease`].
pub async fn read(cx: &Cx, handle: &ShardHandle) -> Result<(), CallError> {
    let sent_at = cx.clock.now();
    let rows = cx.store.rows(OWNERS_TABLE, &handle.partition, "").await?;
    cx.note_store(Ok(()));
    let before = handle.lease.borrow().fence;
    let now = cx.clock.now();
    handle.lease.borrow_mut().answer_took = now.since(sent_at);
    let noted = handle.lease.borrow_mut().note(&rows, now);
    noted.map_err(|e| CallError::new(format!("the lease row is malformed: {e}")))?;
    note_owner(handle, before);
    Ok(())
}

/// Records changed rows of a shard, as answered to a call that was sent at `sent_at`. Returns an
/// error if the lease row is malformed.
pub(super) fn note_changed(
    cx: &Cx,
    handle: &ShardHandle,
    rows: &[&Row],
    sent_at: Millis,
) -> Result<(), serde_json::Error> {
    let before = handle.lease.borrow().fence;
    let now = cx.clock.now();
    let mut lease = handle.lease.borrow_mut();
    lease.answer_took = now.since(sent_at);
    lease.note_changed(rows, now)?;
    drop(lease);
    note_owner(handle, before);
    Ok(())
}

/// Logs a change of the owner, and ends the own ownership if another daemon has taken the shard.
/// `before` is the fence of the read before.
fn note_owner(handle: &ShardHandle, before: u64) {
    let view = handle.lease.borrow().clone();
    if view.fence != before {
        let holder = view.row.map(|row| row.holder.daemon).unwrap_or_default();
        log::info!(shard:% = handle.partition, holder:% = holder, token = view.fence; "owner changed");
    }
    let own = handle.owner.borrow().clone();
    if let Some(own) = own.filter(|own| view.fence > own.token()) {
        own.mark_lost("another daemon has taken the shard");
    }
}

async fn try_take(cx: &Cx, handle: &Rc<ShardHandle>) -> eyre::Result<()> {
    // A poll and a planned hand-over may try at the same time; the second would replace the first.
    if handle.is_taking.replace(true) {
        return Ok(());
    }
    let taken = take(cx, handle).await;
    handle.is_taking.set(false);
    taken
}

async fn take(cx: &Cx, handle: &Rc<ShardHandle>) -> eyre::Result<()> {
    // The last read may be outdated; the write is conditional on its versions.
    if !is_free(cx, handle) || handle.owner.borrow().is_some() {
        return Ok(());
    }
    let seen = handle.lease.borrow().clone();
    let row = seen.takeover_row(&cx.me, cx.clock.now(), &cx.cfg.leases);
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
    let sent_at = cx.clock.timestamp();
    let outcome = cx.store.commit(&txn).await;
    log::info!(shard:% = handle.partition, end:? = outcome, unchanged_ms = sent_at.at.since(seen.since).as_millis() as u64; "take-over tried");
    if matches!(outcome, TxnOutcome::Conflict(_) | TxnOutcome::NotDone(_)) {
        return Ok(());
    }
    // Read the rows back even after a confirmed commit: the token is the version of the fence row.
    read(cx, handle).await?;
    let view = handle.lease.borrow().clone();
    let is_ours = view.row.as_ref() == Some(&row) && view.fence > seen.fence;
    if !is_ours {
        return Ok(());
    }
    let fence = key(handle, FENCE_KEY);
    let owner = Owner::take(handle, &cx.cfg.leases, &seen, &view, fence, sent_at);
    owner.log_earlier_owners(&seen);
    *handle.owner.borrow_mut() = Some(Rc::clone(&owner));
    super::owner::start(cx, owner);
    Ok(())
}

/// Renews the lease until the shard is lost.
pub async fn renew(cx: &Cx, owner: &Rc<Owner>) {
    let mut renewals = 0;
    // After a planned take-over the workers are contacted at once, and leases may be sent as soon as a
    // row says so. Another row before it would only delay that one.
    if handover::is_planned(&owner.handle) {
        let _ = tokio::time::timeout(MIN_RENEW_INTERVAL, owner.renewal_wanted()).await;
    }
    while owner.is_serving() {
        renewals += 1;
        let renewing = owner.renewing.lock().await;
        // The lease may have been released while this waited for the lock.
        if owner.is_serving() {
            let was_overdue = is_overdue(cx, owner);
            let is_renewed = renew_once(cx, owner, renewals, None).await;
            if is_renewed && was_overdue {
                poll::renew_leases(cx, owner);
            }
        }
        drop(renewing);
        tokio::time::sleep(MIN_RENEW_INTERVAL).await;
        if !is_overdue(cx, owner) {
            let _ = tokio::time::timeout(RENEW - MIN_RENEW_INTERVAL, owner.renewal_wanted()).await;
        }
    }
}

/// Whether the last successful renewal was sent so long ago that workers' leases get shorter. A renewal
/// counts from the sending of its first attempt, so one that was repeated until the store answered
/// again may be old when it succeeds.
fn is_overdue(cx: &Cx, owner: &Owner) -> bool {
    let limits = &cx.cfg.leases;
    let since_renewal = cx.clock.at_most_since(owner.renewed_at.get());
    limits.sent(since_renewal) < limits.sent(Duration::ZERO)
}

/// Release of a lease.
struct Release<'a> {
    /// Daemon that is to take the shard over.
    successor: Option<&'a Holder>,
}

/// Releases the lease, so that another daemon takes over at its next poll, or `successor` at once. A
/// concurrent renewal would make the release fail and leave the lease to lapse, so renewals are
/// locked out; a failed attempt is repeated. Returns whether the release is known to be committed.
pub async fn release(cx: &Cx, owner: &Rc<Owner>, successor: Option<&Holder>) -> bool {
    let _renewing = owner.renewing.lock().await;
    owner.stop_sending_leases();
    for _ in 0..RELEASE_ATTEMPTS {
        if !owner.is_serving() {
            return false;
        }
        if renew_once(cx, owner, u64::MAX, Some(Release { successor })).await {
            return true;
        }
    }
    false
}

/// Writes the lease row; returns whether the write is known to be committed.
async fn renew_once(
    cx: &Cx,
    owner: &Rc<Owner>,
    renewals: u64,
    release: Option<Release<'_>>,
) -> bool {
    let now = cx.clock.now();
    let is_released = release.is_some();
    let may_send = !is_released && owner.has_contacted_workers(now);
    let last_sender = (!may_send).then(|| owner.sender_before(cx)).flatten();
    let is_idle = last_sender.is_some();
    let leases = match last_sender {
        Some(_) => owner.leases_of_sender_before(now),
        None => owner.sent_leases(cx, is_released),
    };
    owner.stop_leases_to(&leases.silent);
    let listed = leases.silent.keys().cloned().collect();
    let earlier = owner.earlier_owners.get();
    let row = LeaseRow {
        holder: cx.me.clone(),
        is_released,
        renewals,
        up_ms: now.0,
        earlier_may_send_ms: Some(cx.cfg.leases.may_send_ms(earlier.ends().left(now))),
        last_sender,
        leases: Some(leases),
        accepts_returns: true,
        accepts_origins: true,
        successor: release.and_then(|release| release.successor.cloned()),
        tells_load: cx.cfg.features.load_routing,
        takes_jobs: true,
    };
    let piggyback = Piggyback {
        row: key(&owner.handle, LEASE_KEY),
        version: owner.lease_version.get(),
        value: serde_json::to_vec(&row).unwrap_or_default().into(),
    };
    // A transaction that the store does not answer takes no further row along.
    let is_moving = owner.journal.is_busy() && owner.journal.accepts_work(now);
    let carry_outcome = match is_moving && !is_released {
        true => owner.journal.carry(piggyback, PIGGYBACK_TIMEOUT).await,
        false => PiggybackOutcome::NotTaken(piggyback),
    };
    let PiggybackReply { outcome, sent_at } = match carry_outcome {
        PiggybackOutcome::Carried(reply) => reply,
        PiggybackOutcome::Lost => return false,
        PiggybackOutcome::NotTaken(piggyback) => {
            let is_noted = is_released && owner.may_have_sent_leases();
            let note = is_noted.then(|| owner.stop_note(cx));
            renew_separately(cx, owner, piggyback, note).await
        }
    };
    match outcome {
        TxnOutcome::Committed(newest) => {
            cx.note_store(Ok(()));
            owner.lease_version.set(newest);
            owner.renewed_at.set(sent_at);
            if !is_idle {
                owner.start_sending_leases();
            }
            owner.note_listed(listed);
            return true;
        }
        TxnOutcome::Conflict(rows) => adopt_version_or_mark_lost(cx, owner, &rows),
        TxnOutcome::NotDone(e) | TxnOutcome::Unknown(e) => cx.note_store(Err(&e)),
    }
    false
}

async fn renew_separately(
    cx: &Cx,
    owner: &Rc<Owner>,
    piggyback: Piggyback,
    note: Option<StopNote>,
) -> PiggybackReply {
    let note = note.map(|note| stop_note::row_of(owner, &note));
    let lease = (piggyback.row.clone(), piggyback.value);
    let txn = Txn {
        expect: vec![(piggyback.row, piggyback.version), owner.fence()],
        put: std::iter::once(lease).chain(note).collect(),
        delete: Vec::new(),
    };
    let sent_at = cx.clock.timestamp();
    let outcome = cx.store.commit(&txn).await;
    if matches!(outcome, TxnOutcome::Committed(_) | TxnOutcome::Conflict(_)) {
        owner.journal.note_answer(cx.clock.now().since(sent_at.at));
    }
    PiggybackReply { outcome, sent_at }
}

/// Resolves a conflict: adopts the version of an earlier renewal whose reply was lost, or gives the
/// shard up if another daemon owns it.
fn adopt_version_or_mark_lost(cx: &Cx, owner: &Rc<Owner>, rows: &[Row]) {
    let mut view = LeaseView::default();
    let is_read = view.note(rows, cx.clock.now()).is_ok();
    let row = view
        .row
        .filter(|row| row.holder == cx.me && view.fence == owner.token());
    if let Some(row) = row.filter(|_| is_read) {
        owner.lease_version.set(view.version);
        if row.last_sender.is_none() {
            owner.start_sending_leases();
        }
        return;
    }
    owner.mark_lost("another daemon has taken the shard");
}
