//! Connections that a process keeps to workers, through a relay that counts and silences them.

use super::users_platform::worker_client;
use crate::support::{gate::Gate, wait};
use actix_rt::net::TcpListener;
use assert_matches::assert_matches;
use futures::future::join_all;
use lapisdrum::{
    core::time::WorkerMillis,
    platform::workers::HttpWorkers,
    sched::{
        edge::{OrderOutcome, PollOrder, PollResponse, StartOrder, Workers},
        event::RunId,
        job::{JobId, RunNumber, TaskId},
    },
};
use lapisdrum_standins::users::worker::UsersWorker;
use std::{rc::Rc, time::Duration};
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
