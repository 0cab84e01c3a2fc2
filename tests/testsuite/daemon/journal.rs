//! The ledger's writer against a platform that loses answers, and snapshots cut off half way.

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

/// A platform in this process, a daemon's context that reaches it, and the stop that ends it.
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

    /// A bench on a copy of the platform as it is at this moment: what a successor would find if
    /// everything stopped here.
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
        plan.more = plan
            .more
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

    /// Raises the epoch as a take-over does; a recovered ledger under it.
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

    /// Has a ledger written, as long as `may_act` holds, and its snapshots kept.
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

/// A job's row is sent while the lease holds; the answer is lost and the lease is over before that is
/// known. Then another owner comes. The caller must not be told that nothing was written: the row is
/// in the table, the next owner recovers it and runs the job.
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
    // What the owner finds now that it may look again is another's epoch.
    may_act.set(true);
    assert_ne!(ticket.outcome().await, WriteOutcome::NotWritten);
}

/// An owner that was never able to send a row says that it was not written, once another came.
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

/// Jobs are accepted one by one with a snapshot after every third row, while answers to snapshot
/// steps are lost now and then. After every single row a successor that recovers from what is in
/// table and store has every job that was acknowledged, and rows that a snapshot covers do not pile
/// up.
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
        // Now, and at moments in which a snapshot's steps may be under way.
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

/// A snapshot's pointer that can't be read is an error. Taken for "no snapshot" the shard would
/// begin anew with every job lost and nobody told.
#[actix_rt::test]
async fn a_malformed_pointer_is_not_taken_for_an_empty_ledger() {
    let bench = Bench::start().await;
    let txn = Txn::default().put(pointer_key(&bench.shard), &"nonsense");
    bench.cx.platform.txn(&txn).await;
    let journal = Journal::new(bench.shard.clone(), Epoch(1), 0);
    assert!(journal.recover(&bench.cx).await.is_err());
}
