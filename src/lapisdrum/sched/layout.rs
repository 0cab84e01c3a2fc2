//! Assignment of racks and jobs to shards. The shard that a job is assigned to is its home.
//!
//! Load pattern: one owner handles some 500 starts per second on half a core; with 490 workers its
//! passes over all hosts alone took a third of its time, and each change of the owner stopped all
//! work for two seconds. With several shards an owner has only some of the racks and jobs, and its
//! failure stops only these.
//!
//! The layout is a row in the store. The first daemon of a deployment writes it, and from then on
//! racks are only added: an assigned rack stays with its shard, so that no worker is ever claimed
//! by two owners, and the number of shards never changes, so that every daemon derives the same
//! home from a job's id.

use super::{
    Cx,
    edge::{EntryFault, RefusedEntry, RowKey, Txn, TxnOutcome, WorkerList, WorkerReport},
    job::{JobId, JobSpec},
    refused_entries,
};
use eyre::WrapErr as _;
use indexmap::{IndexMap, IndexSet};
use std::{rc::Rc, time::Duration};

const LAYOUT_TABLE: &str = "layout";
const LAYOUT_PARTITION: &str = "layout";
const LAYOUT_KEY: &str = "shards";
/// Time between two reads of the workers before the first layout is written: they are assumed to be
/// complete when two successive reads return the same number. Workers register within a third of a
/// second of their start.
const WORKER_READ_INTERVAL: Duration = Duration::from_millis(600);
/// Number of reads after which the first layout is written even if the number of workers still
/// changes.
const MAX_WORKER_READS: usize = 5;
/// Greatest size of the racks' part of the row, in bytes: the store refuses a row of more than 64
/// KiB, and then no further rack would ever get a shard.
const MAX_RACKS_BYTES: usize = 48 * 1024;
/// Greatest size of a rack's entry in the row without its name, in bytes.
const RACK_ENTRY_BYTES: usize = 9;
/// Greatest number of bytes that an escape in JSON adds to a character.
const ESCAPE_BYTES: usize = 5;
/// Delay before the layout is read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(300);

scalar! {
    /// Number of a shard, from 0.
    pub struct ShardId(pub u16);
}

data! {
    /// The layout, as stored.
    pub struct Layout {
        /// Number of shards; never changes.
        pub shards: u16,
        /// Number of racks in the first layout; they come first in [`Layout::racks`].
        pub founding: usize,
        /// The shard of each assigned rack; workers without a rack belong to the rack "".
        pub racks: IndexMap<String, ShardId>,
    }
}

impl ShardId {
    /// The partition of the store that holds the shard's rows.
    pub fn partition(self) -> String {
        format!("shard-{}", self.0)
    }
}

/// The name of a worker's rack, "" for none.
pub fn rack_of(report: &WorkerReport) -> &str {
    report.rack.as_deref().unwrap_or_default()
}

/// Bytes that a rack takes up in the layout's row, with its name as JSON may escape it.
pub fn entry_bytes(rack: &str) -> usize {
    let escapes = rack
        .chars()
        .filter(|c| c.is_control() || matches!(c, '"' | '\\'));
    rack.len() + escapes.count() * ESCAPE_BYTES + RACK_ENTRY_BYTES
}

/// Moves the workers that `fault` gives a reason for to the refused entries.
pub fn split(
    mut list: WorkerList,
    fault: impl Fn(&WorkerReport) -> Option<EntryFault>,
) -> WorkerList {
    let WorkerList { workers, refused } = &mut list;
    workers.retain(|report| match fault(report) {
        None => true,
        Some(fault) => {
            let key = report.incarnation.worker.clone();
            refused.push(RefusedEntry { key, fault });
            false
        }
    });
    list
}

impl Layout {
    /// Creates the first layout, with enough shards for `workers_per_shard` workers each. Each pool
    /// needs a rack in every shard, as otherwise jobs could have a home without any worker for
    /// them; so the number of racks of the smallest pool limits the number of shards.
    pub fn first(workers: &[WorkerReport], workers_per_shard: usize) -> Self {
        let wanted = workers.len().div_ceil(workers_per_shard.max(1));
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
        layout.assign_racks(workers);
        layout.founding = layout.racks.len();
        layout
    }

    /// Assigns each rack without a shard to the shard with the fewest workers of its pool, as long as
    /// the row has room. Returns whether there were any.
    pub fn assign_racks(&mut self, workers: &[WorkerReport]) -> bool {
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
        let mut room_bytes = self.room_bytes();
        for ((pool, rack), count) in &racks {
            if self.racks.contains_key(*rack) {
                continue;
            }
            let Some(left) = room_bytes.checked_sub(entry_bytes(rack)) else {
                continue;
            };
            let load = |shard: &ShardId| loads.get(&(*pool, *shard)).copied().unwrap_or_default();
            let Some(least) = self.all().min_by_key(load) else {
                continue;
            };
            *loads.entry((pool, least)).or_default() += count;
            self.racks.insert((*rack).to_owned(), least);
            room_bytes = left;
            is_changed = true;
        }
        is_changed
    }

    /// Bytes of the row that are left for further racks.
    pub fn room_bytes(&self) -> usize {
        let used = self.racks.keys().map(|rack| entry_bytes(rack)).sum();
        MAX_RACKS_BYTES.saturating_sub(used)
    }

    /// All shards, in ascending order.
    pub fn all(&self) -> impl Iterator<Item = ShardId> + use<> {
        (0..self.shards).map(ShardId)
    }

    /// The shard of a worker; none while its rack is not assigned.
    pub fn shard_of(&self, worker: &WorkerReport) -> Option<ShardId> {
        self.racks.get(rack_of(worker)).copied()
    }

    /// The home of a job by its id alone.
    pub fn home_by_id(&self, job: JobId) -> ShardId {
        // Hashed, since callers may use sequential ids and close ids must not all map to one shard.
        let mixed = xxhash_rust::xxh3::xxh3_64(&job.0.to_be_bytes());
        ShardId((mixed % u64::from(self.shards.max(1))) as u16)
    }

    /// The home of a submitted job: the shard of the first of its data racks, or else by its id.
    /// Only racks of the first layout count: daemons may differ in the later racks that they know,
    /// and a repeated submission would get another home and run a second time.
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

    /// All shards that may have a job, the likeliest first.
    pub fn homes(&self, job: JobId) -> Vec<ShardId> {
        let first = self.home_by_id(job);
        let others = self.all().filter(|shard| *shard != first);
        std::iter::once(first).chain(others).collect()
    }
}

fn key() -> RowKey {
    RowKey {
        table: LAYOUT_TABLE,
        partition: LAYOUT_PARTITION.to_owned(),
        key: LAYOUT_KEY.to_owned(),
    }
}

async fn read(cx: &Cx) -> eyre::Result<Option<(Layout, u64)>> {
    let rows = cx
        .store
        .rows(LAYOUT_TABLE, LAYOUT_PARTITION, LAYOUT_KEY)
        .await;
    let rows = rows.wrap_err("failed to read the layout")?;
    let Some(row) = rows.first() else {
        return Ok(None);
    };
    let layout = serde_json::from_slice(&row.value).wrap_err("the layout is malformed")?;
    Ok(Some((layout, row.version)))
}

/// Replaces the layout of this version, 0 for none. When two daemons race, the loser reads the
/// winner's layout.
async fn write(cx: &Cx, layout: &Layout, version: u64) -> eyre::Result<()> {
    let txn = Txn {
        expect: vec![(key(), version)],
        put: vec![(key(), serde_json::to_vec(layout)?.into())],
        delete: Vec::new(),
    };
    let outcome = cx.store.commit(&txn).await;
    let is_done = matches!(outcome, TxnOutcome::Committed(_));
    log::info!(shards = layout.shards, racks = layout.racks.len(), is_done; "layout written");
    Ok(())
}

/// Reads the layout, or writes the first one of a deployment. Retries until the layout is known.
pub async fn load_or_create(cx: &Cx) {
    while cx.layout.borrow().is_none() {
        let known = match read(cx).await {
            Ok(None) => create_first(cx).await,
            known => known,
        };
        match known {
            Ok(Some((layout, _))) => adopt(cx, layout),
            Ok(None) => {}
            Err(e) => log::warn!(error:% = format!("{e:#}"); "layout is not known yet"),
        }
        if cx.layout.borrow().is_none() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Writes the first layout. Waits for the catalogue, since only workers of its pools count: with an
/// entry of any other pool, which may have a single rack, there would be one shard for ever.
async fn create_first(cx: &Cx) -> eyre::Result<Option<(Layout, u64)>> {
    let mut before = 0;
    for _ in 0..MAX_WORKER_READS {
        let workers = workers_of_pools(cx).await?.unwrap_or_default();
        if !workers.is_empty() && workers.len() == before {
            break;
        }
        before = workers.len();
        tokio::time::sleep(WORKER_READ_INTERVAL).await;
    }
    let Some(workers) = workers_of_pools(cx).await? else {
        return Ok(None);
    };
    write(cx, &Layout::first(&workers, cx.cfg.workers_per_shard), 0).await?;
    read(cx).await
}

/// The registered workers of the catalogue's pools; none before the catalogue is known.
async fn workers_of_pools(cx: &Cx) -> eyre::Result<Option<Vec<WorkerReport>>> {
    let list = cx.directory.workers().await?;
    let Some(catalogue) = cx.catalogue.borrow().clone() else {
        return Ok(None);
    };
    let list = split(list, |report| {
        let is_usable = catalogue.has_pool(&report.pool);
        (!is_usable).then(|| EntryFault::UnnamedPool(report.pool.clone()))
    });
    refused_entries::note(cx, &list.refused);
    Ok(Some(list.workers))
}

fn adopt(cx: &Cx, layout: Layout) {
    let is_changed = cx.layout.borrow().as_deref() != Some(&layout);
    if is_changed {
        log::info!(shards = layout.shards, racks = layout.racks.len(); "layout in force");
        *cx.layout.borrow_mut() = Some(Rc::new(layout));
    }
}

/// Whether the layout contains the racks of all these workers, or isn't known yet.
pub fn has_all_racks(cx: &Cx, workers: &[WorkerReport]) -> bool {
    let is_known = |layout: &Layout| workers.iter().all(|w| layout.shard_of(w).is_some());
    cx.layout.borrow().as_deref().is_none_or(is_known)
}

/// Assigns racks that the layout doesn't contain, and returns whether the layout in force has
/// changed. Only the owner of the first shard may assign them (`may_assign`); other processes read
/// the layout that it wrote.
pub async fn extend(cx: &Cx, workers: &[WorkerReport], may_assign: bool) -> bool {
    let before = cx.layout.borrow().clone();
    if let Err(e) = try_extend(cx, workers, may_assign).await {
        log::warn!(error:% = format!("{e:#}"); "new racks have no shard yet");
    }
    *cx.layout.borrow() != before
}

async fn try_extend(cx: &Cx, workers: &[WorkerReport], may_assign: bool) -> eyre::Result<()> {
    let Some((mut layout, version)) = read(cx).await? else {
        return Ok(());
    };
    if !may_assign || !layout.assign_racks(workers) {
        adopt(cx, layout);
        return Ok(());
    }
    write(cx, &layout, version).await?;
    // Read back, since another daemon's write may have won.
    if let Some((layout, _)) = read(cx).await? {
        adopt(cx, layout);
    }
    Ok(())
}
