//! `lapisdrum-load recovery`: measures the time to recover a shard's ledger by its length, from rows only
//! and from a snapshot, and the time that a snapshot takes on the daemon's thread.

use crate::{site::Site, table};
use clap::Args;
use eyre::{Result, ensure};
use lapisdrum::{
    core::{
        id::{DataCentre, EntryName, Epoch, JobId, Sequence, ShardId, WorkerId},
        job::{Attempt, Checkpoint, Placement},
        size::Size,
    },
    daemon::{
        Cx, Daemon,
        journal::Journal,
        registrar::{EpochRow, epoch_key},
        snapshots::{SnapshotPointer, pointer_key, row_key},
    },
    settings::Settings,
    state::ledger::{Batch, Event, State},
    store::{client::TxnOutcome, wire::Txn},
};
use lapisdrum_standins::site::DaemonPlan;
use std::time::Duration;
use tokio::time::Instant;

/// Events per row, as written at 200 starts per second and the default write spacing.
const EVENTS_PER_ROW: usize = 40;
/// Events per job: accepted, placed, checkpointed.
const EVENTS_PER_JOB: usize = 3;
/// Number of workers that the jobs are spread over.
const WORKERS: usize = 500;

/// Arguments of `recovery`.
#[derive(Debug, Args)]
pub struct RecoveryArgs {
    /// Number of running jobs in the ledger; one run for each value.
    #[arg(long, value_delimiter = ',', default_value = "1000,5000,17800")]
    jobs: Vec<usize>,
}

/// Measures each length both ways and prints the table.
pub async fn run(args: RecoveryArgs) -> Result<()> {
    let mut rows = Vec::new();
    for &jobs in &args.jobs {
        rows.push(run_one(jobs).await?);
    }
    let headings = [
        "jobs",
        "rows",
        "by rows ms",
        "from snapshot ms",
        "snapshot KB",
        "copy ms",
        "serialise ms",
    ];
    table::print(&headings, &rows);
    Ok(())
}

async fn run_one(jobs: usize) -> Result<Vec<String>> {
    let site = Site::start(0, 1, |_| {}).await?;
    let mut plan = DaemonPlan::new("measured", "westlands", site.platform);
    plan.extra_settings = "[log]\nlevel = \"warn\"\n".to_owned();
    let cfg = Settings::parse("measured.toml", &plan.settings())?;
    let cx = Daemon::new(cfg);
    let shard = ShardId::new(&DataCentre::try_from("westlands")?, 0);
    let version = put(&cx, epoch_key(&shard), &EpochRow { epoch: Epoch(1) }).await?;
    let (state, batches) = ledger_with_jobs(&shard, jobs)?;
    for batch in &batches {
        put(&cx, row_key(&shard, batch.sequence), batch).await?;
    }
    let by_rows = recover(&cx, &shard, version, jobs).await?;
    let started_at = Instant::now();
    let copy = state.clone();
    let copied = started_at.elapsed();
    let started_at = Instant::now();
    let object = serde_json::to_vec(&copy)?;
    let serialised = started_at.elapsed();
    let size = object.len();
    cx.platform
        .put_object("snapshot/measured", object.into())
        .await?;
    let pointer = SnapshotPointer {
        object: "snapshot/measured".to_owned(),
        sequence: state.sequence,
    };
    put(&cx, pointer_key(&shard), &pointer).await?;
    let mut delete = Txn::default();
    for batch in &batches {
        delete = delete.delete(row_key(&shard, batch.sequence));
    }
    let deleted = cx.platform.txn(&delete).await;
    ensure!(
        matches!(deleted, TxnOutcome::Committed(_)),
        "the platform did not delete the rows"
    );
    let from_snapshot = recover(&cx, &shard, version, jobs).await?;
    let ms = |span: Duration| format!("{:.1}", span.as_secs_f64() * 1_000.0);
    Ok(vec![
        jobs.to_string(),
        batches.len().to_string(),
        ms(by_rows),
        ms(from_snapshot),
        (size / 1024).to_string(),
        ms(copied),
        ms(serialised),
    ])
}

async fn put(cx: &Cx, key: String, value: &impl serde::Serialize) -> Result<u64> {
    match cx.platform.txn(&Txn::default().put(key, value)).await {
        TxnOutcome::Committed(versions) => Ok(versions[0]),
        other => eyre::bail!("the platform did not commit a row: {other:?}"),
    }
}

async fn recover(cx: &Cx, shard: &ShardId, version: u64, jobs: usize) -> Result<Duration> {
    let journal = Journal::new(shard.clone(), Epoch(1), version);
    let started_at = Instant::now();
    journal.recover(cx).await?;
    let took = started_at.elapsed();
    ensure!(
        journal.state().jobs.len() == jobs,
        "the recovered ledger does not have all jobs"
    );
    Ok(took)
}

/// The state with `jobs` running jobs, and the rows that lead to it.
fn ledger_with_jobs(shard: &ShardId, jobs: usize) -> Result<(State, Vec<Batch>)> {
    let mut events = Vec::with_capacity(jobs * EVENTS_PER_JOB);
    for i in 0..jobs {
        events.extend(job_events(shard, i)?);
    }
    let (mut state, mut batches) = (State::default(), Vec::new());
    for (i, chunk) in events.chunks(EVENTS_PER_ROW).enumerate() {
        let batch = Batch {
            sequence: Sequence(i as u64 + 1),
            epoch: Epoch(1),
            nonce: i as u64,
            events: chunk.to_vec(),
        };
        state.apply_batch(&batch)?;
        batches.push(batch);
    }
    Ok((state, batches))
}

fn job_events(shard: &ShardId, i: usize) -> Result<[Event; EVENTS_PER_JOB]> {
    let job = JobId::new(shard, i as u64);
    let placement = Placement {
        worker: WorkerId::try_from(format!("worker-{}", i % WORKERS))?,
        epoch: Epoch(1),
        attempt: Attempt(1),
    };
    let checkpoint = Checkpoint {
        name: format!("{job}/1/500"),
        progress_permille: 500,
    };
    let size = Size {
        millicores: 10,
        memory_mb: 10,
        accelerators: 0,
    };
    let accepted = Event::Accepted {
        job: job.clone(),
        entry: EntryName::try_from("render")?,
        size,
        hold: Duration::from_secs(7_200),
    };
    let placed = Event::Placed {
        job: job.clone(),
        placement,
    };
    let checkpointed = Event::Checkpointed {
        job,
        attempt: Attempt(1),
        checkpoint,
    };
    Ok([accepted, placed, checkpointed])
}
