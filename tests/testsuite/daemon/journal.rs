//! The ledger's writer with a platform that loses answers, and interrupted snapshots.

use crate::support::wait;
use actix_rt::net::TcpListener;
use lapisdrum::{
    core::{
        id::{EntryName, Epoch, JobId, Sequence, ShardId},
        size::Size,
    },
    daemon::{
        Cx, Daemon,
        journal::{Journal, Urgency, WriteOutcome},
        registrar::{EpochRow, epoch_key},
        snapshots::{self, pointer_key},
    },
    settings::Settings,
    state::ledger::Event,
    store::{client::TxnOutcome, wire::Txn},
};
use lapisdrum_standins::{platform::server::Platform, site::DaemonPlan};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::sync::watch;

const LIMIT: Duration = Duration::from_secs(20);

/// A platform in this process, and a daemon's context connected to it.
struct Bench {
    platform: Rc<Platform>,
    cx: Cx,
    shard: ShardId,
    _stop: watch::Sender<bool>,
}

impl Bench {
    async fn start() -> Self {
        Self::on(Rc::new(Platform::default())).await
    }

    /// Copies the current state of the platform: what a successor would find if everything stopped
    /// now.
    async fn copy(&self) -> Self {
        let platform = Platform::default();
        *platform.table.borrow_mut() = self.platform.table.borrow().clone();
        *platform.objects.borrow_mut() = self.platform.objects.borrow().clone();
        Self::on(Rc::new(platform)).await
    }

    async fn on(platform: Rc<Platform>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (stop, stopped) = watch::channel(false);
        actix_rt::spawn(Rc::clone(&platform).serve(listener, stopped));
        let mut plan = DaemonPlan::new("karen-0", "karen", address);
        plan.extra_settings = plan
            .extra_settings
            .replace("[shards]", "[shards]\nsnapshot_batches = 3");
        let cfg = Settings::parse("daemon.toml", &plan.settings()).expect("settings");
        let shard = ShardId::new(&cfg.daemon.data_centre, 0);
        Self {
            platform,
            cx: Daemon::new(cfg),
            shard,
            _stop: stop,
        }
    }

    /// Raises the epoch as a take-over does, and recovers the ledger under it.
    async fn take(&self, epoch: u64) -> Rc<Journal> {
        let row = EpochRow {
            epoch: Epoch(epoch),
        };
        let txn = Txn::default().put(epoch_key(&self.shard), &row);
        let TxnOutcome::Committed(versions) = self.cx.platform.txn(&txn).await else {
            panic!("the platform takes the epoch");
        };
        let journal = Journal::new(self.shard.clone(), Epoch(epoch), versions[0]);
        journal.recover(&self.cx).await.expect("recovered");
        Rc::new(journal)
    }

    /// Writes the ledger while `may_act` holds, and stores its snapshots.
    fn write(&self, journal: &Rc<Journal>, may_act: &Rc<Cell<bool>>) {
        let (cx, journal, may_act) = (Rc::clone(&self.cx), Rc::clone(journal), Rc::clone(may_act));
        actix_rt::spawn(async move {
            tokio::select! {
                () = journal.write_all(&cx, || may_act.get()) => {}
                () = snapshots::store_all(&cx, &journal) => {}
            }
        });
    }

    fn accepted(&self, n: u64) -> Event {
        Event::Accepted {
            job: JobId::new(&self.shard, n),
            entry: EntryName::try_from("render").expect("a name"),
            size: Size::ZERO,
            hold: Duration::from_secs(1),
        }
    }
}

/// Guards against a job that is reported as not written but runs: its row is written, the answer is
/// lost, and the lease ends before the outcome is known. The next owner recovers the row and runs
/// the job.
#[actix_rt::test]
async fn a_row_that_was_sent_is_never_reported_as_not_written() {
    let bench = Bench::start().await;
    let may_act = Rc::new(Cell::new(true));
    let journal = bench.take(1).await;
    bench.write(&journal, &may_act);
    bench.platform.switches.borrow_mut().lose_next = 1;
    let ticket = journal.propose(&bench.cx, vec![bench.accepted(1)], Urgency::Urgent);
    let ticket = ticket.expect("taken");
    wait::until("the row is in the table", LIMIT, async || {
        let key = snapshots::row_key(&bench.shard, Sequence(1));
        bench.platform.table.borrow_mut().get(&key).is_some()
    })
    .await;
    may_act.set(false);
    let next = bench.take(2).await;
    assert_eq!(next.state().jobs.len(), 1, "the next owner has the job");
    wait::until("the answer is known to be lost", LIMIT, async || {
        bench.cx.metrics.platform_unknown.get() > 0
    })
    .await;
    // Now that the owner may act again, it finds the epoch of another.
    may_act.set(true);
    assert_ne!(ticket.outcome().await, WriteOutcome::NotWritten);
}

/// An owner that never sent a row reports it as not written once another owner has taken over.
#[actix_rt::test]
async fn a_row_that_was_held_back_is_reported_as_not_written() {
    let bench = Bench::start().await;
    let may_act = Rc::new(Cell::new(false));
    let journal = bench.take(1).await;
    bench.write(&journal, &may_act);
    let ticket = journal.propose(&bench.cx, vec![bench.accepted(1)], Urgency::Urgent);
    let next = bench.take(2).await;
    may_act.set(true);
    assert_eq!(
        ticket.expect("taken").outcome().await,
        WriteOutcome::NotWritten
    );
    assert_eq!(next.state().jobs.len(), 0);
}

/// Guards against acknowledged jobs that are lost by an interrupted snapshot: a snapshot follows
/// every third row, and some answers are lost. A successor that recovers after any row has every
/// acknowledged job, and rows covered by a snapshot are deleted.
#[actix_rt::test]
async fn recovery_finds_every_acknowledged_job_at_every_step_of_snapshots() {
    let bench = Bench::start().await;
    let may_act = Rc::new(Cell::new(true));
    let journal = bench.take(1).await;
    bench.write(&journal, &may_act);
    for n in 0..30 {
        if n % 7 == 0 {
            bench.platform.switches.borrow_mut().lose_next = 1;
        }
        let events = vec![bench.accepted(n)];
        let ticket = journal.propose(&bench.cx, events, Urgency::Urgent);
        let end = match ticket {
            Ok(ticket) => ticket.outcome().await,
            Err(e) => panic!("not taken: {e:?}"),
        };
        assert_eq!(end, WriteOutcome::Committed);
        // At once, and at times when steps of a snapshot may be in flight.
        for pause_ms in [0, 1, 2, 5] {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let successor = bench.copy().await.take(2).await;
            assert_eq!(successor.state().jobs.len() as u64, n + 1);
        }
    }
    let prefix = format!("ledger/{}/", bench.shard);
    wait::until("covered rows are deleted", LIMIT, async || {
        bench.platform.table.borrow_mut().list(&prefix).len() <= 6
    })
    .await;
}

/// Guards against a write that takes effect after later ones and moves the snapshot pointer back behind deleted rows.
#[actix_rt::test]
async fn transactions_that_take_effect_again_lose_no_job() {
    let bench = Bench::start().await;
    let journal = bench.take(1).await;
    *bench.platform.committed.borrow_mut() = Some(Vec::new());
    bench.write(&journal, &Rc::new(Cell::new(true)));
    let prefix = format!("ledger/{}/", bench.shard);
    for n in 0..10 {
        let events = vec![bench.accepted(n)];
        let ticket = journal.propose(&bench.cx, events, Urgency::Urgent);
        let outcome = ticket.expect("taken").outcome().await;
        assert_eq!(outcome, WriteOutcome::Committed);
        wait::until("covered rows are deleted", LIMIT, async || {
            bench.platform.table.borrow_mut().list(&prefix).len() < 3
        })
        .await;
    }
    let committed = bench.platform.committed.take().expect("recorded");
    assert!(committed.len() > 10, "{}", committed.len());
    for txn in &committed {
        let copy = bench.copy().await;
        let _ = copy.platform.table.borrow_mut().txn(txn);
        let successor = copy.take(2).await;
        assert_eq!(successor.state().jobs.len(), 10);
    }
}

/// Guards against a malformed snapshot pointer that is taken for no snapshot: the shard would start
/// empty and silently lose every job.
#[actix_rt::test]
async fn a_malformed_pointer_is_not_taken_for_an_empty_ledger() {
    let bench = Bench::start().await;
    let txn = Txn::default().put(pointer_key(&bench.shard), &"nonsense");
    bench.cx.platform.txn(&txn).await;
    let journal = Journal::new(bench.shard.clone(), Epoch(1), 0);
    assert!(journal.recover(&bench.cx).await.is_err());
}
