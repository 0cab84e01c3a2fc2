//! Which shard owns which racks, and which shard is a job's home.
//!
//! Load pattern: one owner carries some 500 starts a second on half a core; on 490 workers its passes over all
//! hosts alone took a third of its time, and each change of the owner stopped all work for two seconds. With
//! several shards an owner has a part of the racks and a part of the jobs, and one that dies stops only
//! these.
//!
//! The layout is a row in the store. The first daemon of a deployment writes it, and from then on it only
//! grows: a rack, once dealt, stays with its shard, so that no worker is ever claimed by two owners, and the
//! number of shards never changes, so that a job's home can be told from its id anywhere.

use super::{
    Cx,
    edge::{RowKey, Txn, TxnEnd, WorkerReport},
    job::{JobId, JobSpec},
};
use eyre::WrapErr as _;
use indexmap::{IndexMap, IndexSet};
use std::{rc::Rc, time::Duration};

/// Table, part and key of the row.
const LAYOUT_TABLE: &str = "layout";
const LAYOUT_PART: &str = "layout";
const LAYOUT_KEY: &str = "shards";
/// Time between two looks at the workers before the first layout is written: as many of them as are there twice
/// running are taken for all. Workers register within a third of a second of their start.
const SETTLE: Duration = Duration::from_millis(600);
/// Looks after which the layout is written however many workers there are.
const MOST_LOOKS: usize = 5;
/// Wait before the store is asked again.
const RETRY: Duration = Duration::from_millis(300);

scalar! {
    /// A shard by number, from 0.
    pub struct ShardId(pub u16);
}

data! {
    /// Who owns what.
    pub struct Layout {
        /// How many shards there are; never changes.
        pub shards: u16,
        /// How many of the racks were dealt in the first layout; they are the first in [`Layout::racks`].
        pub founding: usize,
        /// The shard of each rack that was dealt; a worker without a rack counts to the rack "".
        pub racks: IndexMap<String, ShardId>,
    }
}

impl ShardId {
    /// The part of the store that the shard's rows are in.
    pub fn part(self) -> String {
        format!("shard-{}", self.0)
    }
}

fn rack_of(report: &WorkerReport) -> &str {
    report.rack.as_deref().unwrap_or_default()
}

impl Layout {
    /// A layout for these workers with at most so many in a shard. Each pool needs a rack in every shard, or
    /// jobs would be at home where nothing can run them; so there are no more shards than the smallest pool
    /// has racks.
    pub fn first(workers: &[WorkerReport], workers_a_shard: usize) -> Self {
        let wanted = workers.len().div_ceil(workers_a_shard.max(1));
        let mut pools: IndexMap<&str, IndexSet<&str>> = IndexMap::new();
        for worker in workers {
            pools
                .entry(&worker.pool)
                .or_default()
                .insert(rack_of(worker));
        }
        let fewest = pools.values().map(IndexSet::len).min().unwrap_or(1);
        let mut layout = Self {
            shards: wanted.min(fewest).clamp(1, usize::from(u16::MAX)) as u16,
            founding: 0,
            racks: IndexMap::new(),
        };
        layout.deal(workers);
        layout.founding = layout.racks.len();
        layout
    }

    /// Deals racks that have no shard yet, each to the shard with the fewest workers of its pool; true when
    /// there were any.
    pub fn deal(&mut self, workers: &[WorkerReport]) -> bool {
        let mut racks: IndexMap<(&str, &str), usize> = IndexMap::new();
        for worker in workers {
            *racks.entry((&worker.pool, rack_of(worker))).or_default() += 1;
        }
        racks.sort_keys();
        let mut loads: IndexMap<(&str, ShardId), usize> = IndexMap::new();
        for ((pool, rack), count) in &racks {
            if let Some(shard) = self.racks.get(*rack) {
                *loads.entry((pool, *shard)).or_default() += count;
            }
        }
        let mut is_changed = false;
        for ((pool, rack), count) in &racks {
            if self.racks.contains_key(*rack) {
                continue;
            }
            let load = |shard: &ShardId| loads.get(&(*pool, *shard)).copied().unwrap_or_default();
            let Some(least) = self.all().min_by_key(load) else {
                continue;
            };
            *loads.entry((pool, least)).or_default() += count;
            self.racks.insert((*rack).to_owned(), least);
            is_changed = true;
        }
        is_changed
    }

    /// Every shard.
    pub fn all(&self) -> impl Iterator<Item = ShardId> + use<> {
        (0..self.shards).map(ShardId)
    }

    /// The shard that owns a worker; none while its rack isn't dealt.
    pub fn owner_of(&self, worker: &WorkerReport) -> Option<ShardId> {
        self.racks.get(rack_of(worker)).copied()
    }

    /// The home that a job's id tells.
    pub fn home_by_id(&self, job: JobId) -> ShardId {
        // Callers may count their ids up, so neighbours must not gather in one shard.
        let mixed = xxhash_rust::xxh3::xxh3_64(&job.0.to_be_bytes());
        ShardId((mixed % u64::from(self.shards.max(1))) as u16)
    }

    /// The home of a job that is submitted: near its data, where it has any. Only racks of the first layout
    /// count: two daemons may know different later ones, and a repeat of the same submission would find another
    /// home and run a second time.
    pub fn home(&self, job: JobId, spec: &JobSpec) -> ShardId {
        let mut racks = spec
            .steps
            .iter()
            .filter_map(|step| step.data_rack.as_deref());
        let near = racks.find_map(|rack| self.founding_shard(rack));
        near.unwrap_or_else(|| self.home_by_id(job))
    }

    fn founding_shard(&self, rack: &str) -> Option<ShardId> {
        let (at, _, shard) = self.racks.get_full(rack)?;
        (at < self.founding).then_some(*shard)
    }

    /// Where a job may be, the likeliest shard first.
    pub fn homes(&self, job: JobId) -> Vec<ShardId> {
        let first = self.home_by_id(job);
        let others = self.all().filter(|shard| *shard != first);
        std::iter::once(first).chain(others).collect()
    }
}

fn key() -> RowKey {
    RowKey {
        table: LAYOUT_TABLE,
        part: LAYOUT_PART.to_owned(),
        key: LAYOUT_KEY.to_owned(),
    }
}

async fn read(cx: &Cx) -> eyre::Result<Option<(Layout, u64)>> {
    let rows = cx.store.rows(LAYOUT_TABLE, LAYOUT_PART, LAYOUT_KEY).await;
    let rows = rows.wrap_err("failed to read the layout")?;
    let Some(row) = rows.first() else {
        return Ok(None);
    };
    let layout = serde_json::from_slice(&row.value).wrap_err("the layout is malformed")?;
    Ok(Some((layout, row.version)))
}

/// Writes a layout in place of the one with this version, 0 for none; the loser of a race reads the winner's.
async fn write(cx: &Cx, layout: &Layout, version: u64) -> eyre::Result<()> {
    let txn = Txn {
        expect: vec![(key(), version)],
        put: vec![(key(), serde_json::to_vec(layout)?.into())],
        delete: Vec::new(),
    };
    let end = cx.store.commit(&txn).await;
    let is_done = matches!(end, TxnEnd::Committed(_));
    log::info!(shards = layout.shards, racks = layout.racks.len(), is_done; "layout written");
    Ok(())
}

/// Reads the layout, and writes the first one of a deployment. Returns once it is known.
pub async fn learn(cx: &Cx) {
    while cx.layout.borrow().is_none() {
        let known = match read(cx).await {
            Ok(None) => begin(cx).await,
            known => known,
        };
        match known {
            Ok(Some((layout, _))) => adopt(cx, layout),
            Ok(None) => {}
            Err(e) => log::warn!(error:% = format!("{e:#}"); "layout is not known yet"),
        }
        if cx.layout.borrow().is_none() {
            tokio::time::sleep(RETRY).await;
        }
    }
}

async fn begin(cx: &Cx) -> eyre::Result<Option<(Layout, u64)>> {
    let mut before = 0;
    for _ in 0..MOST_LOOKS {
        let workers = cx.directory.workers().await?;
        if !workers.is_empty() && workers.len() == before {
            break;
        }
        before = workers.len();
        tokio::time::sleep(SETTLE).await;
    }
    let workers = cx.directory.workers().await?;
    write(cx, &Layout::first(&workers, cx.cfg.workers_a_shard), 0).await?;
    read(cx).await
}

fn adopt(cx: &Cx, layout: Layout) {
    let is_news = cx.layout.borrow().as_deref() != Some(&layout);
    if is_news {
        log::info!(shards = layout.shards, racks = layout.racks.len(); "layout in force");
        *cx.layout.borrow_mut() = Some(Rc::new(layout));
    }
}

/// Has racks dealt that the layout doesn't name; `may_deal` says whether it is this process's turn, the owner of
/// the first shard's. The others read what it wrote.
pub async fn extend(cx: &Cx, workers: &[WorkerReport], may_deal: bool) {
    let is_known = |layout: &Layout| workers.iter().all(|w| layout.owner_of(w).is_some());
    if cx.layout.borrow().as_deref().is_none_or(is_known) {
        return;
    }
    if let Err(e) = try_extend(cx, workers, may_deal).await {
        log::warn!(error:% = format!("{e:#}"); "new racks have no shard yet");
    }
}

async fn try_extend(cx: &Cx, workers: &[WorkerReport], may_deal: bool) -> eyre::Result<()> {
    let Some((mut layout, version)) = read(cx).await? else {
        return Ok(());
    };
    if !may_deal || !layout.deal(workers) {
        adopt(cx, layout);
        return Ok(());
    }
    write(cx, &layout, version).await?;
    // Only what is in the row counts: the write may have lost to another's.
    if let Some((layout, _)) = read(cx).await? {
        adopt(cx, layout);
    }
    Ok(())
}
