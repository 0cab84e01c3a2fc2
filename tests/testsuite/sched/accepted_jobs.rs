//! Short jobs of several steps under random faults of workers, the directory, the store and daemons, several at a time
//! and all daemons at once: callers find every accepted job again, and from [`FINISH`] after the last fault on each one
//! that is not over has a task running if one may start and there is free capacity for two of it.

use super::{
    calm::{MAX_WAIT, WATCHED, run_stories, tasks_within},
    world::{
        CallFate, CommitKind, Relay, StoreBehaviour, WorkerBehaviour, World, owns, step, terms,
        until,
    },
};
use indexmap::{IndexMap, IndexSet};
use lapisdrum::sched::{
    Cx,
    edge::Queue,
    front::{self, Outcome},
    job::{JobId, JobSpec, RawJob, Step, StepId, TaskId},
    journal::{JOURNAL_TABLE, SNAPSHOT_TABLE},
    layout::ShardId,
    lease::OWNERS_TABLE,
    peer::JobState,
    process,
};
use proptest::prelude::*;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};
use tokio::time::{Instant, sleep, sleep_until, timeout};

const DAEMONS: usize = 4;
const MIN_WORKERS: usize = 6;
const MAX_WORKERS: usize = 10;
/// Cases per run, unless the environment variable `ACCEPTED_JOBS_CASES` says otherwise.
const CASES: u32 = 40;
/// Time until the site is set up.
const SETUP_LIMIT: Duration = Duration::from_secs(10);
/// Time in which faults begin.
const TRAFFIC_MS: u64 = 15_000;
/// Part of that at its end, in which more faults begin.
const CLOSING_MS: u64 = 4_000;
/// Time since the last fault from which a job has to have a task running.
const FINISH: Duration = Duration::from_secs(14);
/// Time after which a caller gives a request up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which a caller gets an answer, with refusals in between.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);
/// Time until a caller repeats a submission that was not accepted.
const RESUBMIT_AFTER: Duration = Duration::from_secs(1);
const MAX_SUBMISSIONS: usize = 4;
/// Failed runs with which a task's job fails.
const ATTEMPTS: u32 = 2;
/// Time between the starts of two machines after a loss of power.
const START_INTERVAL: Duration = Duration::from_millis(150);
/// Time between a worker's notice that it leaves and its end.
const NOTICE: Duration = Duration::from_secs(2);
/// Estimate of long-running tasks, which does not end within a test.
const LONG_MS: u64 = 600_000;
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
enum Load {
    Reserving,
    BestEffort,
    LongRunning,
}

/// A step of a job.
#[derive(Clone, Copy, Debug)]
struct Part {
    count: u32,
    cores: u64,
    run_ms: u64,
    load: Load,
    /// Whether it starts after the step before.
    is_later: bool,
    is_limited: bool,
    is_speculative: bool,
    is_checkpointing: bool,
}

/// Which daemon a fault hits.
#[derive(Clone, Copy, Debug)]
enum Target {
    Owner,
    Any(usize),
}

/// Which worker a fault hits.
#[derive(Clone, Copy, Debug)]
enum Pick {
    /// One of those with tasks at that time.
    Busy(usize),
    Any(usize),
}

#[derive(Clone, Copy, Debug)]
enum WorkerFault {
    Cut,
    /// It ends, and starts again under its id after the fault.
    Down,
    LosesPolls,
    Responds(WorkerBehaviour),
    Stalls,
    IsUnlisted,
    IsCutFrom(Target),
}

/// How a worker is lost for good.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Crashes,
    /// It works on, unreachable.
    GoesDark,
    Leaves,
}

#[derive(Clone, Copy, Debug)]
enum DirectoryFault {
    IsFrozen,
    IsSilent,
}

#[derive(Clone, Copy, Debug)]
enum DaemonFault {
    /// Its machine loses power.
    Down,
    Frozen,
    /// It reaches neither the store nor workers nor other daemons.
    Isolated,
    Store(StoreBehaviour),
}

#[derive(Clone, Debug)]
enum Fault {
    Worker(Pick, WorkerFault, Duration),
    /// Several workers at once.
    Workers(usize, WorkerFault, Duration),
    Lose(Pick, Loss),
    FailRuns(Pick),
    Directory(DirectoryFault, Duration),
    Daemon(Target, DaemonFault, Duration),
    AllDaemons(DaemonFault, Duration),
    Release(Target),
    Commits(CommitKind, Vec<CallFate>),
    Submit(Vec<Part>),
    Cancel(usize),
}

/// How the effect of a fault ends.
#[derive(Clone, Copy, Debug)]
enum Repair {
    Worker(usize, WorkerFault),
    Leave(usize),
    Directory(DirectoryFault),
    /// Unless another fault of the daemon has begun since, with a greater number.
    Daemon(usize, DaemonFault, usize),
    Nothing,
}

#[derive(Clone, Debug)]
enum Action {
    Inject(Fault),
    Repair(Repair),
}

#[derive(Clone, Debug)]
struct Story {
    /// Milliseconds that each worker's clock advances in a second.
    clock_rates: Vec<u64>,
    jobs: Vec<Vec<Part>>,
    /// Faults with their times in milliseconds.
    faults: Vec<(u64, Fault)>,
    orders_outlive_crashes: bool,
    /// Seed of the daemons' random numbers.
    seed: u64,
}

fn any_part() -> impl Strategy<Value = Part> {
    let load = prop_oneof![
        6 => Just(Load::Reserving),
        3 => Just(Load::BestEffort),
        1 => Just(Load::LongRunning),
    ];
    let run_ms = prop_oneof![2 => 200..2_500_u64, 1 => 2_500..9_000_u64];
    let flags = (
        prop::bool::weighted(0.8),
        prop::bool::weighted(0.3),
        prop::bool::weighted(0.2),
        prop::bool::weighted(0.3),
    );
    (1..5_u32, 1..3_u64, run_ms, load, flags).prop_map(
        |(count, cores, run_ms, load, (is_later, is_limited, is_speculative, is_checkpointing))| {
            Part {
                count,
                cores,
                run_ms,
                load,
                is_later,
                is_limited,
                is_speculative,
                is_checkpointing,
            }
        },
    )
}

fn any_job() -> impl Strategy<Value = Vec<Part>> {
    prop::collection::vec(any_part(), 1..4)
}

fn any_target() -> impl Strategy<Value = Target> {
    prop_oneof![
        3 => Just(Target::Owner),
        1 => (0..DAEMONS).prop_map(Target::Any),
    ]
}

fn any_pick() -> impl Strategy<Value = Pick> {
    prop_oneof![
        3 => (0..MAX_WORKERS).prop_map(Pick::Busy),
        1 => (0..MAX_WORKERS).prop_map(Pick::Any),
    ]
}

fn any_worker_fault() -> impl Strategy<Value = WorkerFault> {
    let late = (1_000..11_000_u64).prop_map(Duration::from_millis);
    prop_oneof![
        3 => Just(WorkerFault::Cut),
        3 => Just(WorkerFault::Down),
        2 => Just(WorkerFault::LosesPolls),
        1 => late.prop_map(|after| WorkerFault::Responds(WorkerBehaviour::Late(after))),
        1 => Just(WorkerFault::Responds(WorkerBehaviour::LosesAnswers)),
        1 => Just(WorkerFault::Responds(WorkerBehaviour::LosesOrders)),
        1 => Just(WorkerFault::Responds(WorkerBehaviour::Unhealthy)),
        2 => Just(WorkerFault::Stalls),
        1 => Just(WorkerFault::IsUnlisted),
        1 => any_target().prop_map(WorkerFault::IsCutFrom),
    ]
}

fn any_loss() -> impl Strategy<Value = Loss> {
    prop_oneof![
        2 => Just(Loss::Crashes),
        3 => Just(Loss::GoesDark),
        1 => Just(Loss::Leaves),
    ]
}

fn any_store() -> impl Strategy<Value = StoreBehaviour> {
    prop_oneof![
        2 => Just(StoreBehaviour::Unavailable),
        1 => Just(StoreBehaviour::LosesAnswers),
        1 => Just(StoreBehaviour::Slow),
        1 => Just(StoreBehaviour::RefusesReads),
        2 => Just(StoreBehaviour::Refuses),
    ]
}

fn any_daemon_fault() -> impl Strategy<Value = DaemonFault> {
    prop_oneof![
        3 => Just(DaemonFault::Down),
        1 => Just(DaemonFault::Frozen),
        1 => Just(DaemonFault::Isolated),
        2 => any_store().prop_map(DaemonFault::Store),
    ]
}

fn any_commits() -> impl Strategy<Value = Fault> {
    let kind = prop_oneof![
        2 => Just(CommitKind::Puts(JOURNAL_TABLE)),
        2 => Just(CommitKind::Puts(OWNERS_TABLE)),
        1 => Just(CommitKind::Puts(SNAPSHOT_TABLE)),
    ];
    let late = || (100..5_000_u64).prop_map(Duration::from_millis);
    let fate = prop_oneof![
        Just(CallFate::Answered),
        Just(CallFate::AnswerLost),
        Just(CallFate::Lost),
        late().prop_map(CallFate::Late),
        Just(CallFate::Refused),
        late().prop_map(CallFate::Repeated),
    ];
    let fates = prop::collection::vec(fate, 1..6);
    (kind, fates).prop_map(|(kind, fates)| Fault::Commits(kind, fates))
}

fn any_time() -> impl Strategy<Value = Duration> {
    let millis = prop_oneof![2 => 50..3_000_u64, 1 => 3_000..9_000_u64];
    millis.prop_map(Duration::from_millis)
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let directory = prop_oneof![
        Just(DirectoryFault::IsFrozen),
        Just(DirectoryFault::IsSilent),
    ];
    let of_workers = prop_oneof![
        6 => (any_pick(), any_worker_fault(), any_time())
            .prop_map(|(pick, fault, time)| Fault::Worker(pick, fault, time)),
        2 => (2..MAX_WORKERS, any_worker_fault(), any_time())
            .prop_map(|(count, fault, time)| Fault::Workers(count, fault, time)),
        3 => (any_pick(), any_loss()).prop_map(|(pick, loss)| Fault::Lose(pick, loss)),
        1 => any_pick().prop_map(Fault::FailRuns),
        1 => (directory, any_time()).prop_map(|(fault, time)| Fault::Directory(fault, time)),
    ];
    let of_daemons = prop_oneof![
        3 => (any_target(), any_daemon_fault(), any_time())
            .prop_map(|(target, fault, time)| Fault::Daemon(target, fault, time)),
        3 => (any_daemon_fault(), any_time())
            .prop_map(|(fault, time)| Fault::AllDaemons(fault, time)),
        1 => any_target().prop_map(Fault::Release),
        1 => any_commits(),
    ];
    let traffic = prop_oneof![
        6 => any_job().prop_map(Fault::Submit),
        1 => (0..8_usize).prop_map(Fault::Cancel),
    ];
    prop_oneof![3 => of_workers, 3 => of_daemons, 2 => traffic]
}

fn any_story() -> impl Strategy<Value = Story> {
    let clock_rate = prop_oneof![2 => Just(1_000), 1 => 980..1_000_u64];
    let clock_rates = prop::collection::vec(clock_rate, MIN_WORKERS..=MAX_WORKERS);
    let jobs = prop::collection::vec(any_job(), 1..4);
    let faults = prop::collection::vec((0..TRAFFIC_MS, any_fault()), 1..12);
    let closing = (TRAFFIC_MS - CLOSING_MS..TRAFFIC_MS, any_fault());
    let closing = prop::collection::vec(closing, 0..6);
    // A smaller seed is no simpler story.
    let seed = any::<u64>().no_shrink();
    (clock_rates, jobs, (faults, closing), any::<bool>(), seed).prop_map(
        |(clock_rates, jobs, (mut faults, closing), orders_outlive_crashes, seed)| {
            faults.extend(closing);
            faults.sort_by_key(|(at_ms, _)| *at_ms);
            Story {
                clock_rates,
                jobs,
                faults,
                orders_outlive_crashes,
                seed,
            }
        },
    )
}

impl Part {
    fn step(&self, at: usize) -> Step {
        let after: Vec<u16> = match at.checked_sub(1) {
            Some(before) if self.is_later => vec![before as u16],
            _ => Vec::new(),
        };
        let is_long_running = matches!(self.load, Load::LongRunning);
        let run_ms = if is_long_running {
            LONG_MS
        } else {
            self.run_ms
        };
        let mut step = step(self.count, run_ms, &after);
        step.size.millicores = self.cores * 1_000;
        step.is_long_running = is_long_running;
        step.uses_leftover_cpu = matches!(self.load, Load::BestEffort);
        step.image = step.uses_leftover_cpu.then(|| "tiles".to_owned());
        step.max_per_worker = self.is_limited.then_some(1);
        step.is_speculative = self.is_speculative && !is_long_running;
        step.is_checkpointing = self.is_checkpointing;
        step
    }
}

/// The steps of a job. One after a long-running step never starts.
fn steps_of(parts: &[Part]) -> Vec<Step> {
    let steps = parts.iter().enumerate();
    steps.map(|(at, part)| part.step(at)).collect()
}

struct Daemon {
    cx: Cx,
    relay: Relay,
    /// Number of its last fault.
    last_fault: usize,
}

/// An accepted job without a running task although one could run.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "printed when the test fails")]
struct Idle {
    job: JobId,
    step: u16,
    waited: Duration,
    since_faults: Duration,
    fits: Vec<(String, u64)>,
}

struct Site {
    world: Rc<World>,
    workers: usize,
    daemons: Vec<Daemon>,
    /// Jobs whose acceptance a caller has seen.
    accepted: Rc<RefCell<IndexSet<JobId>>>,
    submissions_left: Rc<Cell<usize>>,
    /// Jobs that a caller has asked to cancel.
    cancelled: IndexSet<JobId>,
    /// Number of runs that faults have made fail.
    failed_runs: IndexMap<TaskId, u32>,
    next_job: u64,
    /// Workers that are lost for good.
    lost: IndexSet<usize>,
    /// What is still to happen, in order.
    agenda: BTreeMap<(Instant, usize), Action>,
    next_action: usize,
    /// When the last fault has ended.
    faults_until: Instant,
}

fn worker(at: usize) -> String {
    format!("w{at}")
}

fn queue() -> Queue {
    Queue {
        terms: terms(),
        host: "maps.example".to_owned(),
        path_prefix: "/maps/".to_owned(),
    }
}

fn spec_of(steps: Vec<Step>) -> JobSpec {
    let raw = RawJob {
        payload: "work".to_owned(),
        steps,
        schedule: None,
    };
    JobSpec::try_from(raw).expect("a valid job")
}

impl Site {
    async fn start(story: &Story) -> Self {
        let workers = story.clock_rates.len();
        let world = World::new(workers);
        world.seed(story.seed);
        world
            .orders_outlive_crashes
            .set(story.orders_outlive_crashes);
        for (at, rate) in story.clock_rates.iter().enumerate() {
            world.set_clock_rate(&worker(at), *rate);
        }
        let daemons = (0..DAEMONS).map(|at| {
            let (cx, relay) = world.daemon_behind_relay(&format!("d{at}"), "karen");
            Daemon {
                cx,
                relay,
                last_fault: 0,
            }
        });
        let mut site = Self {
            daemons: daemons.collect(),
            world,
            workers,
            accepted: Rc::default(),
            submissions_left: Rc::default(),
            cancelled: IndexSet::new(),
            failed_runs: IndexMap::new(),
            next_job: 1,
            lost: IndexSet::new(),
            agenda: BTreeMap::new(),
            next_action: 0,
            faults_until: Instant::now(),
        };
        until("the shard is owned", SETUP_LIMIT, async || {
            let mut daemons = site.daemons.iter();
            daemons.any(|daemon| owns(&daemon.cx, ShardId(0)))
        })
        .await;
        for parts in &story.jobs {
            site.submit(parts);
        }
        until("the first jobs are accepted", SETUP_LIMIT, async || {
            site.submissions_left.get() == 0
        })
        .await;
        assert_eq!(site.accepted.borrow().len(), story.jobs.len());
        site
    }

    /// Submits a job to one of the daemons, and repeats that until it is accepted.
    fn submit(&mut self, parts: &[Part]) {
        let id = self.next_job;
        self.next_job += 1;
        let steps = steps_of(parts);
        self.world.register_steps(id, steps.clone());
        let daemons = self.daemons.iter().map(|daemon| Rc::clone(&daemon.cx));
        let mut daemons: Vec<Cx> = daemons.collect();
        daemons.rotate_left(id as usize % DAEMONS);
        let accepted = Rc::clone(&self.accepted);
        let left = Rc::clone(&self.submissions_left);
        left.set(left.get() + 1);
        actix_rt::spawn(async move {
            for cx in daemons.iter().cycle().take(MAX_SUBMISSIONS) {
                let (job, spec) = (JobId(id), spec_of(steps.clone()));
                let queue = queue();
                let submitted = front::submit(cx, &queue, job, spec);
                if timeout(CALLER_TIMEOUT, submitted).await == Ok(Outcome::Done(())) {
                    accepted.borrow_mut().insert(job);
                    break;
                }
                sleep(RESUBMIT_AFTER).await;
            }
            left.set(left.get() - 1);
        });
    }

    fn cancel(&mut self, nth: usize) {
        let active = self.accepted.borrow();
        let active: Vec<JobId> = active.difference(&self.cancelled).copied().collect();
        let Some(job) = active.get(nth % active.len().max(1)).copied() else {
            return;
        };
        self.cancelled.insert(job);
        let cx = Rc::clone(&self.daemons[nth % DAEMONS].cx);
        actix_rt::spawn(async move { timeout(CALLER_TIMEOUT, front::cancel(&cx, job)).await });
    }

    /// The daemon that took the shard last, recovered or not.
    fn owner(&self) -> Option<usize> {
        let token = |daemon: &Daemon| {
            let handle = daemon.cx.handle(ShardId(0));
            let owner = handle.owner.borrow();
            owner.as_ref().map(|owner| owner.token())
        };
        let daemons = self.daemons.iter().enumerate();
        let owners = daemons.filter_map(|(at, daemon)| Some((token(daemon)?, at)));
        owners.max().map(|(_, at)| at)
    }

    fn daemon_at(&self, target: Target) -> usize {
        match target {
            Target::Owner => self.owner().unwrap_or_default(),
            Target::Any(at) => at,
        }
    }

    fn worker_at(&self, pick: Pick) -> usize {
        let is_busy = |at: &usize| !self.world.running_on(&worker(*at)).is_empty();
        let busy: Vec<usize> = (0..self.workers).filter(is_busy).collect();
        match pick {
            Pick::Busy(nth) if !busy.is_empty() => busy[nth % busy.len()],
            Pick::Busy(nth) | Pick::Any(nth) => nth % self.workers,
        }
    }

    fn plan(&mut self, after: Duration, action: Action) {
        let at = Instant::now() + after;
        self.agenda.insert((at, self.next_action), action);
        self.next_action += 1;
    }

    fn repair_after(&mut self, after: Duration, repair: Repair) {
        self.plan(after, Action::Repair(repair));
    }

    /// Injects the faults and waits until they have ended, and all submissions.
    async fn play(&mut self, faults: &[(u64, Fault)]) {
        for (at_ms, fault) in faults {
            let inject = Action::Inject(fault.clone());
            self.plan(Duration::from_millis(*at_ms), inject);
        }
        while let Some(((at, _), action)) = self.agenda.pop_first() {
            sleep_until(at).await;
            self.faults_until = Instant::now();
            match action {
                Action::Inject(fault) => self.inject(fault),
                Action::Repair(repair) => self.repair(repair),
            }
        }
        self.end_commits();
    }

    /// Ends what is scripted for commits that were never made.
    fn end_commits(&self) {
        for table in [JOURNAL_TABLE, OWNERS_TABLE, SNAPSHOT_TABLE] {
            self.world.script_commits(CommitKind::Puts(table), []);
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Worker(pick, fault, time) => {
                self.hit_worker(self.worker_at(pick), fault, time);
            }
            Fault::Workers(count, fault, time) => {
                for at in 0..count.min(self.workers) {
                    self.hit_worker(at, fault, time);
                }
            }
            Fault::Lose(pick, loss) => self.lose_worker(self.worker_at(pick), loss),
            Fault::FailRuns(pick) => self.fail_runs(self.worker_at(pick)),
            Fault::Directory(fault, time) => {
                self.set_directory(fault, true);
                self.repair_after(time, Repair::Directory(fault));
            }
            Fault::Daemon(target, fault, time) => {
                self.hit_daemon(self.daemon_at(target), fault, time);
            }
            Fault::AllDaemons(fault, time) => {
                for at in 0..DAEMONS {
                    self.hit_daemon(at, fault, time + START_INTERVAL * at as u32);
                }
            }
            Fault::Release(target) => {
                let cx = Rc::clone(&self.daemons[self.daemon_at(target)].cx);
                actix_rt::spawn(async move { process::release_shards(&cx).await });
            }
            Fault::Commits(kind, fates) => self.script_commits(kind, fates),
            Fault::Submit(parts) => self.submit(&parts),
            Fault::Cancel(nth) => self.cancel(nth),
        }
    }

    fn script_commits(&mut self, kind: CommitKind, fates: Vec<CallFate>) {
        let latest = fates.iter().map(|fate| match fate {
            CallFate::Late(after) | CallFate::Repeated(after) => *after,
            CallFate::Answered | CallFate::AnswerLost | CallFate::Lost | CallFate::Refused => {
                Duration::ZERO
            }
        });
        self.repair_after(latest.max().unwrap_or_default(), Repair::Nothing);
        self.world.script_commits(kind, fates);
    }

    fn hit_worker(&mut self, at: usize, fault: WorkerFault, time: Duration) {
        if self.lost.contains(&at) {
            return;
        }
        let fault = match fault {
            WorkerFault::IsCutFrom(target) => {
                WorkerFault::IsCutFrom(Target::Any(self.daemon_at(target)))
            }
            other => other,
        };
        self.set_worker(at, fault, true);
        self.repair_after(time, Repair::Worker(at, fault));
    }

    /// Begins or ends a fault of a worker.
    fn set_worker(&self, at: usize, fault: WorkerFault, is_faulty: bool) {
        let (world, id) = (&self.world, worker(at));
        match fault {
            WorkerFault::Cut => world.cut(&id, is_faulty),
            WorkerFault::Down if is_faulty => world.crash(&id),
            WorkerFault::Down if world.is_down(&id) => world.restart(&id),
            WorkerFault::Down => {}
            WorkerFault::LosesPolls => world.lose_polls(&id, is_faulty),
            WorkerFault::Responds(behaviour) => {
                let behaviour = match is_faulty {
                    true => behaviour,
                    false => WorkerBehaviour::Prompt,
                };
                world.set_worker(&id, behaviour);
            }
            WorkerFault::Stalls => world.set_stalled(&id, is_faulty),
            WorkerFault::IsUnlisted => world.list(&id, !is_faulty),
            WorkerFault::IsCutFrom(target) => {
                let daemon = &self.daemons[self.daemon_at(target)].cx.cfg.name;
                match is_faulty {
                    true => world.cut_from(daemon, &id),
                    false => world.reconnect_to(daemon, &id),
                }
            }
        }
    }

    /// Loses a worker for good, unless half of them are lost.
    fn lose_worker(&mut self, at: usize, loss: Loss) {
        if self.lost.len() >= self.workers / 2 || !self.lost.insert(at) {
            return;
        }
        match loss {
            Loss::Crashes => self.world.crash(&worker(at)),
            Loss::GoesDark => self.world.cut(&worker(at), true),
            Loss::Leaves => {
                self.world.announce_leaving(&worker(at));
                self.repair_after(NOTICE, Repair::Leave(at));
            }
        }
    }

    fn fail_runs(&mut self, at: usize) {
        for run in self.world.running_on(&worker(at)) {
            *self.failed_runs.entry(run.task).or_default() += 1;
        }
        self.world.fail_runs(&worker(at));
    }

    fn set_directory(&self, fault: DirectoryFault, is_faulty: bool) {
        match fault {
            DirectoryFault::IsFrozen => self.world.freeze_directory(is_faulty),
            DirectoryFault::IsSilent => self.world.directory_is_silent.set(is_faulty),
        }
    }

    fn hit_daemon(&mut self, at: usize, fault: DaemonFault, time: Duration) {
        let number = self.next_action;
        let daemon = &mut self.daemons[at];
        if self.world.is_killed(&daemon.cx) && !matches!(fault, DaemonFault::Down) {
            return;
        }
        daemon.last_fault = number;
        let name = daemon.cx.cfg.name.clone();
        match fault {
            DaemonFault::Down => {
                self.world.kill(&daemon.cx);
                daemon.relay.set_silent(true);
            }
            DaemonFault::Frozen => {
                self.world.freeze(&daemon.cx, time);
                daemon.relay.set_silent(true);
            }
            DaemonFault::Isolated => {
                daemon.relay.set_silent(true);
                self.world.set_store(&name, StoreBehaviour::Unavailable);
                for w in 0..self.workers {
                    self.world.cut_from(&name, &worker(w));
                }
            }
            DaemonFault::Store(behaviour) => self.world.set_store(&name, behaviour),
        }
        self.repair_after(time, Repair::Daemon(at, fault, number));
    }

    fn repair_daemon(&mut self, at: usize, fault: DaemonFault, number: usize) {
        let daemon = &mut self.daemons[at];
        let name = daemon.cx.cfg.name.clone();
        if daemon.last_fault > number {
            return;
        }
        if matches!(fault, DaemonFault::Down) {
            daemon.cx = self.world.restart_daemon(&daemon.cx, &daemon.relay);
        }
        daemon.relay.set_silent(false);
        self.world.set_store(&name, StoreBehaviour::Up);
        for w in 0..self.workers {
            self.world.reconnect_to(&name, &worker(w));
        }
    }

    fn repair(&mut self, repair: Repair) {
        match repair {
            Repair::Worker(at, _) if self.lost.contains(&at) => {}
            Repair::Worker(at, fault) => self.set_worker(at, fault, false),
            Repair::Leave(at) => self.world.crash(&worker(at)),
            Repair::Directory(fault) => self.set_directory(fault, false),
            Repair::Daemon(at, fault, number) => self.repair_daemon(at, fault, number),
            Repair::Nothing => {}
        }
    }

    /// Whether the job may have failed by faults.
    fn may_have_failed(&self, job: JobId) -> bool {
        let mut failed = self.failed_runs.iter();
        failed.any(|(task, runs)| task.job == job && *runs >= ATTEMPTS)
    }

    /// Number of tasks of this step that each open worker has free capacity for, while none runs.
    fn fits(&self, step: &Step) -> Vec<(String, u64)> {
        let mut need = step.clone();
        if step.uses_leftover_cpu {
            need.size.millicores = 1;
        }
        let most = u64::from(step.max_per_worker.unwrap_or(u32::MAX));
        let open = self.world.open_capacity().into_iter();
        let fits = open.map(|(id, free)| (id, tasks_within(&free, &need).min(most)));
        fits.filter(|(_, count)| *count > 0).collect()
    }

    /// A step of the job with a task that could run, and how many of its tasks fit where.
    fn could_run(&self, job: JobId, steps: &[Step]) -> Option<(u16, Vec<(String, u64)>)> {
        let is_done = |at: u16| {
            let step = StepId {
                job,
                occurrence: 0,
                step: at,
            };
            let count = steps[usize::from(at)].count;
            (0..count).all(|index| self.world.is_done(&step.task(index)))
        };
        let steps = steps.iter().zip(0..);
        let mut due = steps
            .filter(|(step, at)| !is_done(*at) && step.after.iter().all(|before| is_done(*before)));
        due.find_map(|(step, at)| {
            let fits = self.fits(step);
            let count: u64 = fits.iter().map(|(_, count)| count).sum();
            (count >= 2).then_some((at, fits))
        })
    }

    /// Whether under half of the capacity of the open workers is in use.
    fn is_half_free(&self) -> bool {
        let open = self.world.open_capacity();
        let free: u64 = open.values().map(|free| free.millicores).sum();
        let capacity: u64 = open
            .keys()
            .map(|id| self.world.capacity(id).millicores)
            .sum();
        free * 2 > capacity
    }

    /// Watches the accepted jobs after the faults; returns those that wait for too long.
    async fn watch(&self) -> Vec<Idle> {
        let mut idle_since: IndexMap<JobId, Instant> = IndexMap::new();
        sleep_until(self.faults_until + FINISH - MAX_WAIT).await;
        while self.faults_until.elapsed() < WATCHED {
            let now = Instant::now();
            let running: IndexSet<JobId> = self
                .world
                .running()
                .iter()
                .map(|run| run.task.job)
                .collect();
            let is_half_free = self.is_half_free();
            let mut idle = Vec::new();
            for job in self.accepted.borrow().difference(&self.cancelled) {
                let steps = self.world.jobs.borrow()[job].clone();
                let is_judged =
                    is_half_free && !running.contains(job) && !self.may_have_failed(*job);
                let could_run = is_judged.then(|| self.could_run(*job, &steps)).flatten();
                let Some((step, fits)) = could_run else {
                    idle_since.swap_remove(job);
                    continue;
                };
                let waited = now - *idle_since.entry(*job).or_insert(now);
                if waited >= MAX_WAIT {
                    idle.push(Idle {
                        job: *job,
                        step,
                        waited,
                        since_faults: self.faults_until.elapsed(),
                        fits,
                    });
                }
            }
            if !idle.is_empty() {
                return idle;
            }
            sleep(CHECK_INTERVAL).await;
        }
        Vec::new()
    }

    /// Fails if a daemon does not know an accepted job, shows it as over without a cause, or does not answer in time.
    async fn check_answers(&self) {
        sleep_until(self.faults_until + FINISH).await;
        let accepted = self.accepted.borrow().clone();
        let asked = accepted.iter().flat_map(|job| {
            let daemons = self.daemons.iter();
            daemons.map(move |daemon| (*job, &daemon.cx))
        });
        let shown = asked.map(async |(job, cx)| (job, cx, show(cx, job).await));
        for (job, cx, shown) in futures::future::join_all(shown).await {
            let is_plausible = match &shown {
                Outcome::Done(JobState::Queued | JobState::Running | JobState::Completed) => true,
                Outcome::Done(JobState::Failed) => self.may_have_failed(job),
                Outcome::Done(JobState::Cancelled) => self.cancelled.contains(&job),
                Outcome::NoSuchJob | Outcome::Refused(_) | Outcome::Unknown => false,
            };
            let by = &cx.cfg.name;
            assert!(is_plausible, "{job} is shown by {by} as {shown:?}");
        }
    }
}

/// State of a job as a daemon shows it to a caller that repeats refused requests until [`ANSWER_LIMIT`].
async fn show(cx: &Cx, job: JobId) -> Outcome<JobState> {
    let began_at = Instant::now();
    loop {
        let shown = timeout(CALLER_TIMEOUT, front::show(cx, job)).await;
        match shown.unwrap_or(Outcome::Unknown) {
            Outcome::Refused(wait) if began_at.elapsed() + wait < ANSWER_LIMIT => {
                sleep(wait).await;
            }
            shown => return shown,
        }
    }
}

/// Guards against an accepted job that waits beside free workers after faults, or is lost.
#[test]
fn accepted_jobs_run_after_overlapping_faults() {
    run_stories("ACCEPTED_JOBS", CASES, &any_story(), async |story| {
        let mut site = Site::start(&story).await;
        site.play(&story.faults).await;
        let (idle, ()) = futures::join!(site.watch(), site.check_answers());
        assert!(idle.is_empty(), "{idle:?}");
        site.world.check();
    });
}
