//! Connections that a process keeps to workers and to the store, through a relay that counts and silences them.

use super::users_platform::{store_client, worker_client};
use crate::support::{gate::Gate, wait};
use actix_rt::net::TcpListener;
use assert_matches::assert_matches;
use futures::future::join_all;
use lapisdrum::{
    core::time::WorkerMillis,
    platform::{store::TableStore, workers::HttpWorkers},
    sched::{
        edge::{OrderOutcome, PollOrder, PollResponse, StartOrder, Store, Workers},
        event::RunId,
        job::{JobId, RunNumber, TaskId},
    },
};
use lapisdrum_standins::users::{rows::RowStore, worker::UsersWorker};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::watch;

/// Connections that a worker accepts.
const WORKER_CONNECTIONS: usize = 64;
/// Starts that an owner sends to one worker at once.
const BURST: u32 = 40;
const WORKER: &str = "i-0";
const LIMIT: Duration = Duration::from_secs(5);

/// A worker behind a relay.
struct Setup {
    gate: Rc<Gate>,
    _stop: watch::Sender<bool>,
}

impl Setup {
    async fn new() -> Self {
        let (stop, stopped) = watch::channel(false);
        let worker = UsersWorker::new(WORKER, 1_000);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        actix_rt::spawn(worker.serve(listener, stopped));
        Self {
            gate: Gate::start(address, WORKER_CONNECTIONS).await,
            _stop: stop,
        }
    }

    async fn start(
        &self,
        workers: &HttpWorkers,
        token: u64,
        index: u32,
    ) -> OrderOutcome<WorkerMillis> {
        let order = StartOrder {
            run: run(index),
            payload: "60000".to_owned(),
            token,
            lease_until: WorkerMillis(60_000),
            checkpoint: None,
            ticket: None,
        };
        workers
            .start(&self.gate.address.to_string(), WORKER, &order)
            .await
    }

    async fn burst(&self, workers: &HttpWorkers, token: u64) -> Vec<OrderOutcome<WorkerMillis>> {
        join_all((0..BURST).map(|index| self.start(workers, token, index))).await
    }

    async fn poll(&self, workers: &HttpWorkers, token: u64) -> OrderOutcome<PollResponse> {
        let order = PollOrder {
            token,
            acked_upto: 0,
            lease_until: None,
            wait: Duration::ZERO,
        };
        workers
            .poll(&self.gate.address.to_string(), WORKER, &order)
            .await
    }
}

fn run(index: u32) -> RunId {
    RunId {
        task: TaskId {
            job: JobId(1),
            occurrence: 0,
            step: 0,
            index,
        },
        run: RunNumber(1),
    }
}

/// Guards against former owners whose idle connections keep the next owner out of a worker.
#[actix_rt::test]
async fn idle_connections_of_former_owners_leave_room_for_the_next_one() {
    let setup = Setup::new().await;
    let mut owners = Vec::new();
    for token in 1..=4 {
        let workers = HttpWorkers::new(worker_client());
        assert_matches!(setup.poll(&workers, token).await, OrderOutcome::Done(_));
        for started in setup.burst(&workers, token).await {
            assert_matches!(started, OrderOutcome::Done(_));
        }
        owners.push(workers);
    }
    assert!(setup.gate.open() <= WORKER_CONNECTIONS / 4 * owners.len());
}

/// Guards against an owner that keeps its connections to a worker after it has stopped to call it.
#[actix_rt::test]
async fn connections_to_a_worker_are_closed_once_it_is_not_called_any_more() {
    let setup = Setup::new().await;
    let workers = HttpWorkers::new(worker_client());
    setup.burst(&workers, 1).await;
    assert!(setup.gate.open() > 1);
    // Calls in flight at that time close their connections when they end.
    let (in_flight, ()) = futures::join!(setup.start(&workers, 1, BURST), async {
        workers.disconnect(&setup.gate.address.to_string());
    });
    assert_matches!(in_flight, OrderOutcome::Done(_));
    wait::until("all connections are closed", LIMIT, async || {
        setup.gate.open() == 0
    })
    .await;
}

/// Guards against the connections of a burst that stay open although nothing needs them.
#[actix_rt::test]
async fn connections_that_have_been_idle_for_twenty_seconds_are_closed() {
    let setup = Setup::new().await;
    let workers = HttpWorkers::new(worker_client());
    setup.burst(&workers, 1).await;
    assert!(setup.gate.open() > 1);
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(20)).await;
    tokio::time::resume();
    wait::until("all connections are closed", LIMIT, async || {
        setup.gate.open() == 0
    })
    .await;
}

/// Guards against a worker that stays silent for as long as each connection that a network fault has silenced fails a
/// call.
#[actix_rt::test]
async fn one_call_without_an_answer_gives_up_all_silent_connections_to_a_worker() {
    let setup = Setup::new().await;
    let workers = HttpWorkers::new(worker_client());
    for _ in 0..2 {
        setup.burst(&workers, 1).await;
        assert!(setup.gate.open() > 1);
        setup.gate.silence();
        assert_matches!(setup.poll(&workers, 1).await, OrderOutcome::Silent(_));
        assert_matches!(setup.poll(&workers, 1).await, OrderOutcome::Done(_));
    }
}

/// Guards against stops and polls that wait for starts on silent connections.
#[actix_rt::test]
async fn a_stop_and_a_poll_do_not_wait_for_silent_starts() {
    let setup = Setup::new().await;
    let workers = HttpWorkers::new(worker_client());
    setup.burst(&workers, 1).await;
    setup.gate.silence();
    let address = setup.gate.address.to_string();
    let (started, took) = futures::join!(setup.burst(&workers, 1), async {
        // The starts are sent first.
        tokio::task::yield_now().await;
        let sent_at = Instant::now();
        let stopped = workers.stop(&address, WORKER, run(0), 1).await;
        assert_matches!(stopped, OrderOutcome::Done(_));
        assert_matches!(setup.poll(&workers, 1).await, OrderOutcome::Done(_));
        sent_at.elapsed()
    });
    assert!(started.iter().any(|s| matches!(s, OrderOutcome::Silent(_))));
    assert!(took < Duration::from_millis(400), "{took:?}");
}

/// Guards against an owner that can't renew its lease for as long as each silent connection to the store fails a call.
#[actix_rt::test]
async fn one_call_without_an_answer_gives_up_all_silent_connections_to_the_store() {
    let (_stop, stopped) = watch::channel(false);
    let rows = Rc::new(RowStore::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(Rc::clone(&rows).serve(listener, stopped));
    rows.put("status", "row", &serde_json::json!(1));
    let gate = Gate::start(address, WORKER_CONNECTIONS).await;
    let store = TableStore::new(store_client(), &gate.address);
    for _ in 0..2 {
        let reads = (0..10).map(|_| store.rows("status", "", ""));
        assert!(join_all(reads).await.iter().all(Result::is_ok));
        assert!(gate.open() > 1);
        gate.silence();
        assert!(store.rows("status", "", "").await.is_err());
        assert!(store.rows("status", "", "").await.is_ok());
    }
}
