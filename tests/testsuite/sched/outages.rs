//! Long-running tasks beside short ones under random faults of workers, the directory, the store and daemons, several
//! at a time: after a calm period every accepted long-running task runs if there is free capacity for two of it.

use super::{
    calm::{self, CALM, LastRuns, MAX_WAIT, Waiting, run_stories, tasks_within},
    paused,
    world::{Relay, StoreBehaviour, WorkerBehaviour, World, owns, step, until},
};
use indexmap::IndexMap;
use lapisdrum::sched::{
    Cx,
    job::{JobId, Step, TaskId},
    layout::ShardId,
    peer::SubmitReply,
    process,
};
use proptest::prelude::*;
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const WORKERS: usize = 5;
const DAEMONS: usize = 3;
const LABEL: &str = "gpu";
/// Cases per run, unless the environment variable `OUTAGE_CASES` says otherwise.
const CASES: u32 = 60;
/// Processors of a worker, in thousandths of a core.
const WORKER_MILLICORES: u64 = 4_000;
/// Part of the processors that a task which has never run may leave to short tasks.
const MAX_HEADROOM_PERCENT: u64 = 13;
const TAKEOVER: Duration = Duration::from_secs(10);
/// Repetitions of a story whose outcome depends on the order in which daemons own the shard.
const TAKEOVER_ORDERS: usize = 20;
/// Estimate of long-running tasks, which does not end within a test.
const LONG_MS: u64 = 600_000;
/// Time between a worker's notice that it leaves and its end.
const NOTICE: Duration = Duration::from_secs(2);
/// Time that a host takes to start a killed daemon again.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Latest time after its sending at which an order without an answer may be carried out.
const LATEST_EFFECT: Duration = Duration::from_millis(12_500);

#[derive(Clone, Copy, Debug)]
struct Tasks {
    count: u32,
    cores: u64,
    /// Run time of short tasks; none for long-running ones.
    short_ms: Option<u64>,
    max_per_worker: Option<u32>,
    needs_label: bool,
    has_latency_target: bool,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Cut(usize),
    Crash(usize),
    CrashAndRestart(usize),
    Restart(usize),
    Leave(usize),
    Late(usize, u64),
    LoseOrders(usize),
    LoseAnswers(usize),
    LosePolls(usize),
    Unhealthy(usize),
    FailRuns(usize),
    Unlist(usize),
    Recover(usize),
    FreezeDirectory,
    SilenceDirectory,
    RecoverDirectory,
    Store(usize, StoreBehaviour),
    StoreForAll(StoreBehaviour),
    StoreUp,
    CutFromDaemon(usize, usize),
    Isolate(usize),
    ReconnectDaemons,
    RestartDaemon(usize),
    Release(usize),
    Submit(Tasks),
}

fn any_tasks() -> impl Strategy<Value = Tasks> {
    let shape = (1..5_u32, 1..4_u64);
    let kind = prop_oneof![3 => Just(None), 1 => (200..6_000_u64).prop_map(Some)];
    let limit = prop_oneof![3 => Just(None), 1 => Just(Some(1))];
    let label = prop::bool::weighted(0.15);
    (shape, kind, limit, label, prop::bool::weighted(0.3)).prop_map(
        |((count, cores), short_ms, max_per_worker, needs_label, has_latency_target)| Tasks {
            count,
            cores,
            short_ms,
            max_per_worker,
            needs_label,
            has_latency_target: has_latency_target && short_ms.is_none(),
        },
    )
}

fn any_store() -> impl Strategy<Value = StoreBehaviour> {
    prop_oneof![
        Just(StoreBehaviour::Unavailable),
        Just(StoreBehaviour::LosesAnswers),
        Just(StoreBehaviour::Slow),
        Just(StoreBehaviour::RefusesReads),
    ]
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let w = || 0..WORKERS;
    let d = || 0..DAEMONS;
    let of_workers = prop_oneof![
        2 => w().prop_map(Fault::Cut),
        2 => w().prop_map(Fault::Crash),
        2 => w().prop_map(Fault::CrashAndRestart),
        1 => w().prop_map(Fault::Restart),
        1 => w().prop_map(Fault::Leave),
        1 => (w(), 1_000..11_000_u64).prop_map(|(w, ms)| Fault::Late(w, ms)),
        1 => w().prop_map(Fault::LoseOrders),
        1 => w().prop_map(Fault::LoseAnswers),
        1 => w().prop_map(Fault::LosePolls),
        1 => w().prop_map(Fault::Unhealthy),
        2 => w().prop_map(Fault::FailRuns),
        1 => w().prop_map(Fault::Unlist),
        2 => w().prop_map(Fault::Recover),
    ];
    let of_others = prop_oneof![
        1 => Just(Fault::FreezeDirectory),
        1 => Just(Fault::SilenceDirectory),
        1 => Just(Fault::RecoverDirectory),
        2 => (d(), any_store()).prop_map(|(d, store)| Fault::Store(d, store)),
        2 => any_store().prop_map(Fault::StoreForAll),
        2 => Just(Fault::StoreUp),
        1 => (d(), w()).prop_map(|(d, w)| Fault::CutFromDaemon(d, w)),
        1 => d().prop_map(Fault::Isolate),
        1 => Just(Fault::ReconnectDaemons),
        2 => d().prop_map(Fault::RestartDaemon),
        2 => d().prop_map(Fault::Release),
        4 => any_tasks().prop_map(Fault::Submit),
    ];
    prop_oneof![of_workers, of_others]
}

#[derive(Clone, Debug)]
struct Story {
    jobs: Vec<Tasks>,
    /// Faults with the milliseconds that pass after each.
    faults: Vec<(u64, Fault)>,
    /// Seed of the daemons' random numbers.
    seed: u64,
}

fn any_story() -> impl Strategy<Value = Story> {
    let jobs = prop::collection::vec(any_tasks(), 1..7);
    let wait = prop_oneof![1 => 0..50_u64, 2 => 0..2_500_u64];
    let faults = prop::collection::vec((wait, any_fault()), 1..14);
    // A smaller seed is no simpler story.
    let seed = any::<u64>().no_shrink();
    (jobs, faults, seed).prop_map(|(jobs, faults, seed)| Story { jobs, faults, seed })
}

struct Site {
    world: Rc<World>,
    daemons: Vec<(Cx, Relay)>,
    /// Accepted long-running tasks and their steps.
    accepted: IndexMap<TaskId, Step>,
    last_runs: LastRuns,
    next_job: u64,
    crashed: [bool; WORKERS],
    leaving: [bool; WORKERS],
    /// When the last fault has ended.
    faults_until: Instant,
    /// Whether a worker leaves orders unanswered that may be carried out late.
    is_late: [bool; WORKERS],
}

fn worker(at: usize) -> String {
    format!("w{at}")
}

fn daemon(at: usize) -> String {
    format!("d{at}")
}

impl Site {
    async fn start(seed: u64) -> Self {
        let world = World::new(WORKERS);
        world.seed(seed);
        for at in 0..3 {
            world.set_labels(&worker(at), &[LABEL]);
        }
        let daemons = (0..DAEMONS).map(|at| world.daemon_behind_relay(&daemon(at), "karen"));
        let site = Self {
            daemons: daemons.collect(),
            world,
            accepted: IndexMap::new(),
            last_runs: LastRuns::default(),
            next_job: 1,
            crashed: [false; WORKERS],
            leaving: [false; WORKERS],
            faults_until: Instant::now(),
            is_late: [false; WORKERS],
        };
        until("the shard is owned", TAKEOVER, async || {
            site.owner().is_some()
        })
        .await;
        sleep(Duration::from_secs(2)).await;
        site.last_runs.sample(&site.world);
        site
    }

    fn owner(&self) -> Option<Cx> {
        let mut daemons = self.daemons.iter().map(|(cx, _)| cx);
        daemons.find(|cx| owns(cx, ShardId(0))).cloned()
    }

    async fn submit(&mut self, tasks: Tasks) {
        let Some(owner) = self.owner() else {
            return;
        };
        let mut step = step(tasks.count, tasks.short_ms.unwrap_or(LONG_MS), &[]);
        step.size.millicores = tasks.cores * 1_000;
        step.is_long_running = tasks.short_ms.is_none();
        step.max_per_worker = tasks.max_per_worker;
        step.required_label = tasks.needs_label.then(|| LABEL.to_owned());
        step.latency_target_ms = tasks.has_latency_target.then_some(50);
        let id = self.next_job;
        self.next_job += 1;
        let reply = self.world.submit(&owner, id, vec![step.clone()]).await;
        if reply == SubmitReply::Accepted && step.is_long_running {
            let ids = (0..step.count).map(|index| TaskId {
                job: JobId(id),
                occurrence: 0,
                step: 0,
                index,
            });
            let accepted = ids.map(|task| (task, step.clone()));
            self.accepted.extend(accepted);
        }
    }

    async fn inject(&mut self, fault: Fault) {
        let world = Rc::clone(&self.world);
        match fault {
            Fault::Cut(w) => world.cut(&worker(w), true),
            Fault::Crash(w) => self.crash(w),
            Fault::CrashAndRestart(w) => {
                self.crash(w);
                self.restart(w);
            }
            Fault::Restart(w) => self.restart(w),
            Fault::Leave(w) => self.leave(w),
            Fault::Late(w, ms) => {
                self.set_worker(w, WorkerBehaviour::Late(Duration::from_millis(ms)));
            }
            Fault::LoseOrders(w) => self.set_worker(w, WorkerBehaviour::LosesOrders),
            Fault::LoseAnswers(w) => self.set_worker(w, WorkerBehaviour::LosesAnswers),
            Fault::LosePolls(w) => world.lose_polls(&worker(w), true),
            Fault::Unhealthy(w) => self.set_worker(w, WorkerBehaviour::Unhealthy),
            Fault::FailRuns(w) => world.fail_runs(&worker(w)),
            Fault::Unlist(w) => world.list(&worker(w), false),
            Fault::Recover(w) => self.recover(w),
            Fault::FreezeDirectory => world.freeze_directory(true),
            Fault::SilenceDirectory => world.directory_is_silent.set(true),
            Fault::RecoverDirectory => self.recover_directory(),
            Fault::Store(d, store) => world.set_store(&daemon(d), store),
            Fault::StoreForAll(store) => self.set_stores(store),
            Fault::StoreUp => self.set_stores(StoreBehaviour::Up),
            Fault::CutFromDaemon(d, w) => world.cut_from(&daemon(d), &worker(w)),
            Fault::Isolate(d) => self.isolate(d),
            Fault::ReconnectDaemons => self.reconnect_daemons(),
            Fault::RestartDaemon(d) => self.restart_daemon(d),
            Fault::Release(d) => self.release(d),
            Fault::Submit(tasks) => self.submit(tasks).await,
        }
    }

    fn crash(&mut self, at: usize) {
        self.crashed[at] = true;
        self.world.crash(&worker(at));
    }

    fn restart(&mut self, at: usize) {
        if !self.leaving[at] && std::mem::take(&mut self.crashed[at]) {
            self.world.restart(&worker(at));
        }
    }

    fn leave(&mut self, at: usize) {
        self.leaving[at] = true;
        self.extend_faults(NOTICE);
        self.world.announce_leaving(&worker(at));
        let world = Rc::clone(&self.world);
        actix_rt::spawn(async move {
            sleep(NOTICE).await;
            world.crash(&worker(at));
        });
    }

    fn set_worker(&mut self, at: usize, behaviour: WorkerBehaviour) {
        if std::mem::take(&mut self.is_late[at]) {
            self.extend_faults(LATEST_EFFECT);
        }
        self.is_late[at] = match behaviour {
            WorkerBehaviour::Late(_)
            | WorkerBehaviour::LosesAnswers
            | WorkerBehaviour::LosesOrders => true,
            WorkerBehaviour::Prompt | WorkerBehaviour::Unhealthy => false,
        };
        self.world.set_worker(&worker(at), behaviour);
    }

    /// Notes that a fault is active for this time.
    fn extend_faults(&mut self, time: Duration) {
        self.faults_until = self.faults_until.max(Instant::now() + time);
    }

    fn recover(&mut self, at: usize) {
        self.set_worker(at, WorkerBehaviour::Prompt);
        self.world.cut(&worker(at), false);
        self.world.lose_polls(&worker(at), false);
        self.world.list(&worker(at), true);
    }

    fn recover_directory(&self) {
        self.world.freeze_directory(false);
        self.world.directory_is_silent.set(false);
    }

    fn set_stores(&self, store: StoreBehaviour) {
        for at in 0..DAEMONS {
            self.world.set_store(&daemon(at), store);
        }
    }

    /// Cuts a daemon from the store and all workers.
    fn isolate(&self, at: usize) {
        self.world
            .set_store(&daemon(at), StoreBehaviour::Unavailable);
        for w in 0..WORKERS {
            self.world.cut_from(&daemon(at), &worker(w));
        }
    }

    fn reconnect_daemons(&self) {
        for at in 0..DAEMONS {
            for w in 0..WORKERS {
                self.world.reconnect_to(&daemon(at), &worker(w));
            }
        }
    }

    fn restart_daemon(&mut self, at: usize) {
        self.extend_faults(RESTART_TIME);
        let (killed, relay) = &self.daemons[at];
        let restarted = self.world.restart_daemon(killed, relay);
        self.daemons[at].0 = restarted;
    }

    fn release(&self, at: usize) {
        let cx = Rc::clone(&self.daemons[at].0);
        actix_rt::spawn(async move { process::release_shards(&cx).await });
    }

    /// Ends all faults; crashed workers stay crashed.
    fn end_faults(&mut self) {
        for at in 0..WORKERS {
            self.recover(at);
        }
        self.recover_directory();
        self.set_stores(StoreBehaviour::Up);
        self.reconnect_daemons();
    }

    /// Number of tasks of this step that each open worker has free capacity for.
    fn fits(&self, id: TaskId, step: &Step) -> Vec<(String, u64)> {
        let open = self.world.open_capacity().into_iter();
        let labelled = |id: &str| ["w0", "w1", "w2"].contains(&id);
        let open = open.filter(|(id, _)| step.required_label.is_none() || labelled(id));
        let fits = open.map(|(worker, free)| {
            let on = self.world.running_on(&worker);
            let of_step = on.iter().filter(|run| run.task.job == id.job).count();
            let left = step.max_per_worker.map_or(u64::MAX, |max| {
                u64::from(max).saturating_sub(of_step as u64)
            });
            (worker, tasks_within(&free, step).min(left))
        });
        fits.filter(|(_, count)| *count > 0).collect()
    }

    /// Whether the free capacity holds two tasks of this step beside the headroom that new long-running tasks leave to
    /// short ones.
    fn leaves_headroom(&self, step: &Step) -> bool {
        let open = self.world.open_capacity();
        let free: u64 = open.values().map(|free| free.millicores).sum();
        let capacity = open.len() as u64 * WORKER_MILLICORES;
        free >= capacity * MAX_HEADROOM_PERCENT / 100 + 2 * step.size.millicores
    }

    /// Watches the long-running tasks in calm; returns those that wait for too long.
    async fn watch(&self) -> Vec<Waiting> {
        let fits = |task: &TaskId, step: &Step| {
            let has_room = match self.world.starts_of(task) {
                0 => self.leaves_headroom(step),
                _ => true,
            };
            match has_room {
                true => self.fits(*task, step),
                false => Vec::new(),
            }
        };
        let tasks = self.accepted.iter();
        calm::watch(&self.world, tasks, &self.last_runs, self.faults_until, fits).await
    }
}

async fn run_story(story: Story) {
    let mut site = Site::start(story.seed).await;
    for tasks in story.jobs {
        site.submit(tasks).await;
    }
    sleep(Duration::from_secs(1)).await;
    for (wait_ms, fault) in story.faults {
        site.inject(fault).await;
        sleep(Duration::from_millis(wait_ms)).await;
    }
    site.end_faults();
    let stuck = site.watch().await;
    assert!(stuck.is_empty(), "{stuck:?}");
    site.world.check();
}

/// A long-running task runs on `w0`, which crashes; `w1`, on which the task would be placed next, crashes `wait` later.
/// Returns how long the task then waits although the other workers have free capacity for it.
async fn wait_after_two_crashes(wait: Duration) -> Duration {
    let mut site = Site::start(rand::random()).await;
    let tasks = Tasks {
        count: 1,
        cores: 1,
        short_ms: None,
        max_per_worker: None,
        needs_label: false,
        has_latency_target: false,
    };
    site.submit(tasks).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(site.world.running_on("w0").len(), 1, "runs on w0");
    site.crash(0);
    sleep(wait).await;
    site.crash(1);
    let crashed_at = Instant::now();
    until("the task runs", TAKEOVER, async || {
        !site.world.running().is_empty()
    })
    .await;
    site.world.check();
    crashed_at.elapsed()
}

/// Guards against a wait of more than 7 s after an interrupted task was placed on a worker that had just crashed.
#[test]
fn a_task_placed_on_a_crashed_worker_waits_no_longer_than_for_its_lease() {
    let waits = (0..25).map(|n| Duration::from_millis(2_000 + 200 * n));
    for wait in waits {
        paused(async move {
            let waited = wait_after_two_crashes(wait).await;
            let limit = CALM + MAX_WAIT;
            assert!(waited < limit, "{waited:?} after a crash {wait:?} later");
        });
    }
}

/// Guards against long-running tasks that wait in calm although there is free capacity for them.
#[test]
fn no_long_running_task_waits_in_calm_beside_free_capacity() {
    run_stories("OUTAGE", CASES, &any_story(), run_story);
}

/// Guards against an owner that waits again for leases whose end the previous owner had established, but not yet
/// journaled, when the store lost its answers.
#[test]
fn a_new_owner_does_not_wait_again_for_leases_that_have_ended() {
    let tasks = |count, max_per_worker| Tasks {
        count,
        cores: 1,
        short_ms: None,
        max_per_worker,
        needs_label: false,
        has_latency_target: false,
    };
    let story = Story {
        jobs: vec![tasks(4, Some(1)), tasks(1, None)],
        faults: vec![
            (6, Fault::StoreForAll(StoreBehaviour::LosesAnswers)),
            (919, Fault::Crash(0)),
            (1_355, Fault::CrashAndRestart(3)),
            (2_100, Fault::Recover(2)),
            (37, Fault::Unhealthy(3)),
            (1_509, Fault::CutFromDaemon(1, 0)),
            (0, Fault::Cut(4)),
        ],
        seed: 0,
    };
    // Which daemons own the shard is random.
    for _ in 0..TAKEOVER_ORDERS {
        paused(run_story(Story {
            seed: rand::random(),
            ..story.clone()
        }));
    }
}

/// Guards against an owner that waits again for leases of a worker whose runs the previous owner had given up, with that not
/// yet journaled, when the store lost its answers.
#[test]
fn a_new_owner_does_not_wait_again_for_runs_that_were_given_up() {
    let tasks = |count, cores, short_ms| Tasks {
        count,
        cores,
        short_ms,
        max_per_worker: None,
        needs_label: false,
        has_latency_target: false,
    };
    let story = Story {
        jobs: vec![
            tasks(3, 2, Some(4_306)),
            tasks(3, 3, None),
            tasks(1, 3, None),
            tasks(3, 3, None),
            Tasks {
                max_per_worker: Some(1),
                ..tasks(2, 2, None)
            },
            Tasks {
                has_latency_target: true,
                ..tasks(1, 1, None)
            },
        ],
        faults: vec![
            (32, Fault::Store(1, StoreBehaviour::LosesAnswers)),
            (2_451, Fault::Unlist(2)),
            (1_912, Fault::Release(2)),
            (1_265, Fault::Crash(2)),
            (1_011, Fault::Unhealthy(4)),
            (680, Fault::StoreForAll(StoreBehaviour::LosesAnswers)),
            (2_272, Fault::Cut(4)),
            (623, Fault::Store(1, StoreBehaviour::Unavailable)),
            (31, Fault::Unlist(4)),
            (1_640, Fault::Crash(1)),
        ],
        seed: 0,
    };
    // Which daemons own the shard is random.
    for _ in 0..TAKEOVER_ORDERS {
        paused(run_story(Story {
            seed: rand::random(),
            ..story.clone()
        }));
    }
}
