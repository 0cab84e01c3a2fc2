//! Long-running tasks fill several shards, and workers are lost while owners change: an interrupted task runs again as
//! long as some shard has free capacity for it.

use super::{
    paused,
    world::{Relay, StoreBehaviour, World, home, limits, owns, step, until},
};
use indexmap::IndexMap;
use lapisdrum::{
    core::size::Size,
    sched::{
        Cx,
        job::{JobId, TaskId},
        layout::ShardId,
        peer::SubmitReply,
        process,
    },
};
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};
use std::{env, rc::Rc, time::Duration};
use tokio::time::sleep;

/// Latency target of the tasks that have one, in milliseconds.
const LATENCY_TARGET_MS: u32 = 50;
const SHARDS: u16 = 3;
const DAEMONS: usize = 4;
const WORKERS: usize = 12;
const WORKERS_PER_SHARD: usize = 4;
/// Cases per run, unless the environment variable `STRANDED_CASES` says otherwise.
const CASES: u32 = 40;
/// Time in which each shard has an owner that has recovered its jobs.
const TAKEOVER: Duration = Duration::from_secs(5);
/// Time in which stranded tasks are offered capacity, delegated and started.
const DELEGATION: Duration = Duration::from_secs(10);
/// Time between a worker's notice that it leaves and its end.
const NOTICE: Duration = Duration::from_secs(2);

/// Tasks of one job.
#[derive(Clone, Copy, Debug)]
struct Tasks {
    count: u32,
    millicores: u64,
    memory_mb: u64,
    has_latency_target: bool,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Crash(usize),
    Restart(usize),
    Cut(usize),
    Reconnect(usize),
    Leave(usize),
    StoreUnavailable(usize),
    StoreUp(usize),
    ReleaseShards(usize),
    KillDaemon(usize),
}

fn any_tasks() -> impl Strategy<Value = Tasks> {
    let size = (3..15_u64, 1..24_u64);
    (1..6_u32, size, any::<bool>()).prop_map(|(count, (quarters, memory), has_latency_target)| {
        Tasks {
            count,
            millicores: quarters * 250,
            memory_mb: memory * 500,
            has_latency_target,
        }
    })
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => (0..WORKERS).prop_map(Fault::Crash),
        1 => (0..WORKERS).prop_map(Fault::Restart),
        2 => (0..WORKERS).prop_map(Fault::Cut),
        1 => (0..WORKERS).prop_map(Fault::Reconnect),
        2 => (0..WORKERS).prop_map(Fault::Leave),
        1 => (0..DAEMONS).prop_map(Fault::StoreUnavailable),
        1 => (0..DAEMONS).prop_map(Fault::StoreUp),
        1 => (0..DAEMONS).prop_map(Fault::ReleaseShards),
        1 => (0..DAEMONS).prop_map(Fault::KillDaemon),
    ]
}

/// A task that waits although two workers have free capacity for it.
#[derive(Debug)]
#[expect(dead_code, reason = "printed when the test fails")]
struct Stranded {
    task: TaskId,
    size: Size,
    home: ShardId,
    delegated_to: Option<ShardId>,
    /// Open workers with free capacity for it, and their shards.
    fits_on: Vec<(String, ShardId)>,
}

/// Jobs, and faults with the milliseconds that pass after each.
fn any_story() -> impl Strategy<Value = (Vec<Tasks>, Vec<(u64, Fault)>)> {
    let jobs = prop::collection::vec(any_tasks(), 12..24);
    let faults = prop::collection::vec((0..2_500_u64, any_fault()), 2..12);
    (jobs, faults)
}

/// Time of calm after which no free capacity is left for an interrupted task. The leases of a lost worker end within it,
/// whoever owned its shard last, and its tasks are started again.
fn calm() -> Duration {
    let limits = limits();
    let longest = limits.longest + limits.longest / limits.drift_parts;
    TAKEOVER + limits.owner_hold + limits.transit + longest + DELEGATION
}

struct Cluster {
    world: Rc<World>,
    daemons: Vec<(Cx, Relay)>,
    /// Sizes of the tasks that were accepted.
    accepted: IndexMap<TaskId, Size>,
    crashed: [bool; WORKERS],
    leaving: [bool; WORKERS],
}

impl Cluster {
    async fn start() -> Self {
        let world = World::new(WORKERS);
        world.workers_per_shard.set(WORKERS_PER_SHARD);
        let daemons = (0..DAEMONS).map(|at| world.daemon_behind_relay(&name(at), "karen"));
        let cluster = Self {
            daemons: daemons.collect(),
            world,
            accepted: IndexMap::new(),
            crashed: [false; WORKERS],
            leaving: [false; WORKERS],
        };
        cluster.until_owned().await;
        // Time for the owners to claim their workers.
        sleep(Duration::from_secs(2)).await;
        cluster
    }

    async fn until_owned(&self) {
        until("each shard is owned", TAKEOVER, async || {
            (0..SHARDS).all(|shard| self.is_owned(ShardId(shard)))
        })
        .await;
    }

    fn is_owned(&self, shard: ShardId) -> bool {
        self.daemons.iter().any(|(cx, _)| owns(cx, shard))
    }

    async fn submit(&mut self, id: u64, tasks: Tasks) {
        let mut step = step(tasks.count, 600_000, &[]);
        step.size.millicores = tasks.millicores;
        step.size.memory_mb = tasks.memory_mb;
        step.is_long_running = true;
        step.latency_target_ms = tasks.has_latency_target.then_some(LATENCY_TARGET_MS);
        let size = step.size;
        let Some(owner) = self.owner_of_job(id) else {
            return;
        };
        if self.world.submit(&owner, id, vec![step]).await == SubmitReply::Accepted {
            let ids = (0..tasks.count).map(|index| TaskId {
                job: JobId(id),
                occurrence: 0,
                step: 0,
                index,
            });
            self.accepted.extend(ids.map(|task| (task, size)));
        }
    }

    fn owner_of_job(&self, id: u64) -> Option<Cx> {
        let owns_it = |(cx, _): &&(Cx, Relay)| owns(cx, home(cx, id));
        self.daemons
            .iter()
            .find(owns_it)
            .map(|(cx, _)| Rc::clone(cx))
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(at) => self.crash(at),
            Fault::Restart(at) if self.crashed[at] && !self.leaving[at] => {
                self.crashed[at] = false;
                self.world.restart(&worker(at));
            }
            Fault::Restart(_) => {}
            Fault::Cut(at) => self.world.cut(&worker(at), true),
            Fault::Reconnect(at) => self.world.cut(&worker(at), false),
            Fault::Leave(at) => self.leave(at),
            Fault::StoreUnavailable(at) => {
                self.world.set_store(&name(at), StoreBehaviour::Unavailable);
            }
            Fault::StoreUp(at) => self.world.set_store(&name(at), StoreBehaviour::Up),
            Fault::ReleaseShards(at) => self.release_shards(at),
            Fault::KillDaemon(at) => self.restart_daemon(at),
        }
    }

    fn crash(&mut self, at: usize) {
        self.crashed[at] = true;
        self.world.crash(&worker(at));
    }

    fn leave(&mut self, at: usize) {
        self.leaving[at] = true;
        self.world.announce_leaving(&worker(at));
        let world = Rc::clone(&self.world);
        actix_rt::spawn(async move {
            sleep(NOTICE).await;
            world.crash(&worker(at));
        });
    }

    /// Releases the shards of a daemon, as in its shutdown; the daemon may take shards again.
    fn release_shards(&self, at: usize) {
        let cx = Rc::clone(&self.daemons[at].0);
        actix_rt::spawn(async move { process::release_shards(&cx).await });
    }

    fn restart_daemon(&mut self, at: usize) {
        let (killed, relay) = &self.daemons[at];
        let restarted = self.world.restart_daemon(killed, relay);
        self.daemons[at].0 = restarted;
    }

    /// Makes the store available to every daemon; workers that are lost stay lost.
    fn end_faults(&self) {
        for at in 0..DAEMONS {
            self.world.set_store(&name(at), StoreBehaviour::Up);
        }
    }

    /// Interrupted tasks that wait although two workers have free capacity for them.
    fn stranded(&self) -> Vec<Stranded> {
        let running: Vec<TaskId> = self.world.running().iter().map(|run| run.task).collect();
        let waits = |task: &TaskId| !running.contains(task) && self.world.starts_of(task) > 0;
        let waiting = self.accepted.iter().filter(|(task, _)| waits(task));
        let described = waiting.map(|(task, size)| self.describe(*task, *size));
        described.filter(|task| task.fits_on.len() >= 2).collect()
    }

    fn describe(&self, task: TaskId, size: Size) -> Stranded {
        let cx = &self.daemons[0].0;
        let home = home(cx, task.job.0);
        let layout = cx.layout.borrow().clone().expect("a layout");
        let free = self.world.open_capacity().into_iter();
        let fitting = free.filter(|(_, room)| size.fits(room));
        Stranded {
            task,
            size,
            home,
            delegated_to: self.delegated_to(task),
            fits_on: fitting
                .map(|(id, _)| (id.clone(), layout.racks[&id]))
                .collect(),
        }
    }

    fn delegated_to(&self, task: TaskId) -> Option<ShardId> {
        let cx = self.owner_of_job(task.job.0)?;
        let handle = cx.handle(home(&cx, task.job.0));
        let owner = handle.owner.borrow().clone()?;
        let ledger = owner.ledger.borrow();
        let delegated = ledger.jobs.get(&task.job)?.delegated(task.job);
        let has_it = |tasks: &[(TaskId, _)]| tasks.iter().any(|(id, _)| *id == task);
        let mut shards = delegated.into_iter();
        shards.find_map(|(shard, tasks)| has_it(&tasks).then_some(shard))
    }
}

fn name(daemon: usize) -> String {
    format!("d{daemon}")
}

fn worker(at: usize) -> String {
    format!("w{at}")
}

async fn run_story(jobs: Vec<Tasks>, faults: Vec<(u64, Fault)>) {
    let mut cluster = Cluster::start().await;
    for (id, tasks) in jobs.into_iter().enumerate() {
        cluster.submit(id as u64 + 1, tasks).await;
    }
    sleep(Duration::from_secs(2)).await;
    for (wait_ms, fault) in &faults {
        cluster.inject(*fault);
        sleep(Duration::from_millis(*wait_ms)).await;
    }
    cluster.end_faults();
    sleep(calm()).await;
    let stranded = cluster.stranded();
    assert!(stranded.is_empty(), "{stranded:?}");
    cluster.world.check();
}

/// Guards against interrupted long-running tasks that wait although a shard has free capacity for them.
#[test]
fn no_interrupted_task_waits_beside_free_capacity() {
    let cases = env::var("STRANDED_CASES").map_or(CASES, |n| n.parse().expect("a number"));
    let config = ProptestConfig {
        cases,
        max_shrink_iters: 200,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let run = |(jobs, faults)| {
        paused(run_story(jobs, faults));
        Ok(())
    };
    let found = TestRunner::new_with_rng(config, rng).run(&any_story(), run);
    found.unwrap_or_else(|e| panic!("{e}"));
}
