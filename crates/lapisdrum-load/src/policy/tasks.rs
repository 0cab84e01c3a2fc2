//! Simulates placement, interference and eviction in virtual time: waves of batch tasks on hosts that
//! also run services.
//!
//! A hidden table defines how much each kind of task slows each other kind; the policies see it only
//! through delayed reports. One step is one second. The trial compares decisions by the slowdown of
//! services and by the batch work done. Nothing fails or restarts.

use super::load::{RunTime, valid};
use hdrhistogram::Histogram;
use lapisdrum::{
    core::{
        catalogue::Class,
        id::{EntryName, JobId, Rack, WorkerId},
        size::Size,
        time::Millis,
    },
    policy::{
        eviction::{Distress, EvictionHistory, HostTask, MitigationStep},
        placement::{self, CandidateHost, RunningKind, TaskToPlace},
        slowdown::{History, Kind, Neighbour, Report, SlowdownModel},
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{collections::VecDeque, time::Duration};

/// Number of services; each host runs one of them or none.
const SERVICES: u32 = 2;
/// Number of kinds of batch tasks.
const BATCH_KINDS: u32 = 12;
/// Fraction of the pairs of kinds with strong interference.
const INTERFERING_FRACTION: f64 = 0.2;
/// Interval between reports of a host, in seconds.
const REPORT_INTERVAL_S: u64 = 5;
/// Age of a report when it arrives, in seconds.
const REPORT_LAG: usize = 5;
/// Speed of a throttled task, and its interference, as a fraction of those at full speed.
const THROTTLED_SPEED: f64 = 0.3;
/// Interval between checkpoints of a task, in seconds.
const CHECKPOINT_INTERVAL_S: u64 = 60;
/// Interval from the start of one wave of batch tasks to the next, and the length of a wave, in seconds.
const WAVE: (u64, u64) = (600, 120);
/// Run time of a batch task without neighbours.
const BATCH_RUN: RunTime = RunTime {
    median_ms: 120_000.0,
    sigma: 0.5,
};

/// Decisions under which a trial runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskDecisions {
    /// Whether placement uses slowdowns estimated from reports; otherwise only declared sizes.
    pub uses_estimates: bool,
    /// Whether tasks are throttled or evicted on hosts whose service is slowed too much.
    pub mitigates: bool,
    /// Whether services run; without them, the trial measures batch work by itself.
    pub services: bool,
}

impl TaskDecisions {
    /// All combinations under test, with their names in tables.
    pub const ALL: [(&'static str, Self); 4] = [
        ("policy", Self::new(true, true, true)),
        ("no relief", Self::new(true, false, true)),
        ("blind placement", Self::new(false, true, true)),
        ("blind, no relief", Self::new(false, false, true)),
    ];
    /// The policy's decisions without services.
    pub const BATCH_ONLY: Self = Self::new(true, true, false);

    const fn new(uses_estimates: bool, mitigates: bool, services: bool) -> Self {
        Self {
            uses_estimates,
            mitigates,
            services,
        }
    }
}

/// Inputs of one trial.
#[derive(Clone, Copy, Debug)]
pub struct TaskTrial {
    /// Number of hosts.
    pub hosts: usize,
    /// Hosts per rack.
    pub per_rack: usize,
    /// Capacity for tasks per host. [`super::rows::tasks`] gives half of the host and keeps the rest for
    /// requests.
    pub task_capacity: Size,
    /// Average number of batch tasks that arrive per second.
    pub starts_per_s: f64,
    /// Length of the trial in seconds.
    pub seconds: u64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Results of one trial.
#[derive(Clone, Debug)]
pub struct TaskResult {
    /// Slowdown of services in thousandths; one sample per host and second.
    pub slowdown: Histogram<u64>,
    /// Number of finished tasks.
    pub finished: u64,
    /// Work of finished tasks, in seconds of run time without neighbours.
    pub work_s: f64,
    /// Number of evictions.
    pub evictions: u64,
    /// Number of times that a task was throttled.
    pub throttles: u64,
    /// Work lost by evictions, in seconds.
    pub lost_s: f64,
    /// Number of tasks that wait at the end of the trial.
    pub waiting: usize,
}

struct Task {
    id: JobId,
    kind: Kind,
    size: Size,
    whole_s: f64,
    done_s: f64,
    saved_s: f64,
    throttled: bool,
    started: u64,
}

struct Host {
    worker: WorkerId,
    rack: Rack,
    service: Option<Kind>,
    tasks: Vec<Task>,
    running_kinds: Vec<RunningKind>,
    history: History,
    distress: Distress,
    /// Slowdowns of the last [`REPORT_LAG`] seconds: of the service, and of each unthrottled task by kind.
    measured: VecDeque<(Millis, Vec<(Kind, f64)>)>,
}

struct Trial {
    decisions: TaskDecisions,
    inputs: TaskTrial,
    interference: Vec<Vec<f64>>,
    sizes: Vec<Size>,
    hosts: Vec<Host>,
    waiting: VecDeque<Task>,
    known: SlowdownModel,
    memory: EvictionHistory,
    result: TaskResult,
    rng: StdRng,
    next_job: u64,
}

/// Runs a trial under the given decisions.
pub fn run(inputs: TaskTrial, decisions: TaskDecisions) -> TaskResult {
    let mut trial = Trial::new(inputs, decisions);
    for second in 0..inputs.seconds {
        trial.step(second);
    }
    trial.result.waiting = trial.waiting.len();
    trial.result
}

impl Trial {
    fn new(inputs: TaskTrial, decisions: TaskDecisions) -> Self {
        let mut rng = StdRng::seed_from_u64(inputs.seed);
        let mut known = SlowdownModel::default();
        let kinds = SERVICES + BATCH_KINDS;
        for i in 0..kinds {
            known.kind(&valid(EntryName::try_from(format!("kind{i}"))));
        }
        let row = |rng: &mut StdRng| (0..kinds).map(|_| draw_effect(rng)).collect();
        let interference = (0..kinds).map(|_| row(&mut rng)).collect();
        let sizes = (0..kinds).map(|_| draw_size(&mut rng)).collect();
        let hosts = (0..inputs.hosts).map(|i| Host::new(i, &inputs, decisions));
        Self {
            decisions,
            inputs,
            interference,
            sizes,
            hosts: hosts.collect(),
            waiting: VecDeque::new(),
            known,
            memory: EvictionHistory::default(),
            result: TaskResult {
                slowdown: Histogram::new_with_bounds(1, 1_000_000, 3)
                    .unwrap_or_else(|e| unreachable!("fixed bounds are valid: {e}")),
                finished: 0,
                work_s: 0.0,
                evictions: 0,
                throttles: 0,
                lost_s: 0.0,
                waiting: 0,
            },
            rng,
            next_job: 0,
        }
    }

    fn step(&mut self, second: u64) {
        let now = Millis(second * 1_000);
        self.arrive(second);
        self.place(now);
        for index in 0..self.hosts.len() {
            self.run_host(index, second, now);
            if (second + index as u64).is_multiple_of(REPORT_INTERVAL_S) {
                self.report(index, now);
            }
        }
    }

    /// Adds new tasks: a third at a steady rate, the rest in waves of one kind each.
    fn arrive(&mut self, second: u64) {
        let (every, long) = WAVE;
        let in_wave = second % every < long;
        let base = self.inputs.starts_per_s / 3.0;
        let wave = self.inputs.starts_per_s * 2.0 / 3.0 * every as f64 / long as f64;
        let rate = base + if in_wave { wave } else { 0.0 };
        let whole = rate.floor() as u32;
        let extra = u32::from(self.rng.random_range(0.0..1.0) < rate.fract());
        for _ in 0..whole + extra {
            let wave_kind = u32::try_from(second / every).unwrap_or(0) * 5 % BATCH_KINDS;
            let of_wave = in_wave && self.rng.random_range(0.0..rate) > base;
            let kind = if of_wave {
                wave_kind
            } else {
                self.rng.random_range(0..BATCH_KINDS)
            };
            self.add_task(Kind(SERVICES + kind));
        }
    }

    fn add_task(&mut self, kind: Kind) {
        let whole_s = BATCH_RUN.draw(&mut self.rng) as f64 / 1e6;
        self.next_job += 1;
        self.waiting.push_back(Task {
            id: valid(JobId::try_from(format!("j{}", self.next_job))),
            kind,
            size: self.sizes[kind.0 as usize],
            whole_s,
            done_s: 0.0,
            saved_s: 0.0,
            throttled: false,
            started: 0,
        });
    }

    fn place(&mut self, now: Millis) {
        for _ in 0..self.waiting.len() {
            let Some(task) = self.waiting.pop_front() else {
                return;
            };
            let Some(index) = self.choose(&task, now) else {
                self.waiting.push_back(task);
                continue;
            };
            let host = &mut self.hosts[index];
            host.tasks.push(Task {
                started: now.0 / 1_000,
                throttled: false,
                ..task
            });
            host.note_running_kinds(now);
        }
    }

    fn choose(&mut self, task: &Task, now: Millis) -> Option<usize> {
        let mut indexes = Vec::new();
        let mut candidates = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let open = !host.distress.is_on() || !self.decisions.mitigates;
            if open && self.memory.may_place(&task.id, &host.worker, now) {
                indexes.push(index);
                candidates.push(host.candidate(self.inputs.task_capacity));
            }
        }
        let to_place = TaskToPlace {
            kind: task.kind,
            class: Class::Batch,
            size: task.size,
            entry_tasks_placed: 0,
        };
        let chosen = placement::choose(&candidates, &to_place, &self.known, now, &mut self.rng)?;
        Some(indexes[chosen])
    }

    fn run_host(&mut self, index: usize, second: u64, now: Millis) {
        let host = &mut self.hosts[index];
        let mut measured = Vec::new();
        if let Some(service) = host.service {
            let slowdown = host.slowdown_of(&self.interference, service, None);
            self.result
                .slowdown
                .saturating_record((slowdown * 1e3) as u64);
            measured.push((service, slowdown));
        }
        let slowdowns: Vec<f64> = (0..host.tasks.len())
            .map(|i| host.slowdown_of(&self.interference, host.tasks[i].kind, Some(i)))
            .collect();
        for (task, slowdown) in host.tasks.iter_mut().zip(slowdowns) {
            let speed = if task.throttled { THROTTLED_SPEED } else { 1.0 };
            task.done_s += speed / slowdown;
            if (second - task.started).is_multiple_of(CHECKPOINT_INTERVAL_S) {
                task.saved_s = task.done_s;
            }
            if !task.throttled {
                measured.push((task.kind, slowdown));
            }
        }
        host.measured.push_back((now, measured));
        if host.measured.len() > REPORT_LAG {
            host.measured.pop_front();
        }
        let before = host.tasks.len();
        let result = &mut self.result;
        host.tasks.retain(|task| {
            let running = task.done_s < task.whole_s;
            if !running {
                result.finished += 1;
                result.work_s += task.whole_s;
            }
            running
        });
        if host.tasks.len() != before {
            host.note_running_kinds(now);
        }
    }

    /// Passes a delayed report to the slowdown model and, if enabled, to the mitigation of the host.
    fn report(&mut self, index: usize, now: Millis) {
        let Some((measured_at, slowdowns)) = self.hosts[index].measured.front().cloned() else {
            return;
        };
        if self.decisions.uses_estimates {
            let host = &self.hosts[index];
            if let Some(present) = host.history.during(measured_at, Duration::from_secs(1)) {
                let present = present.to_vec();
                for (kind, slowdown) in &slowdowns {
                    let noise = self.rng.random_range(0.95..1.05);
                    let beside = neighbours_of_one(&present, *kind);
                    self.known.note(&Report {
                        kind: *kind,
                        beside: &beside,
                        slowdown_permille: (slowdown * noise * 1e3) as u32,
                        measured_at,
                    });
                }
            }
        }
        let service = self.hosts[index].service;
        let distress = slowdowns.iter().find(|(kind, _)| Some(*kind) == service);
        if let (true, Some((_, slowdown))) = (self.decisions.mitigates, distress) {
            self.mitigate(index, *slowdown, measured_at, now);
        }
    }

    fn mitigate(&mut self, index: usize, slowdown: f64, measured_at: Millis, now: Millis) {
        let host = &mut self.hosts[index];
        let service = host.service.unwrap_or(Kind(0));
        let tasks: Vec<HostTask<'_>> = host
            .tasks
            .iter()
            .map(|task| HostTask {
                job: &task.id,
                class: Class::Batch,
                priority: 100,
                unsaved: Duration::from_secs_f64(task.done_s - task.saved_s),
                harm: self.known.added(service, task.kind, now),
                throttled: task.throttled,
            })
            .collect();
        let mut distress = host.distress;
        let steps = distress.report(slowdown, measured_at, &tasks, &self.memory, now);
        host.distress = distress;
        for step in steps {
            match step {
                MitigationStep::Throttle(job) => {
                    self.result.throttles += 1;
                    self.hosts[index].set_throttled(&job, true, now);
                }
                MitigationStep::Release(job) => self.hosts[index].set_throttled(&job, false, now),
                MitigationStep::Evict(job) => self.evict(index, &job, now),
            }
        }
    }

    fn evict(&mut self, index: usize, job: &JobId, now: Millis) {
        let host = &mut self.hosts[index];
        let Some(at) = host.tasks.iter().position(|task| task.id == *job) else {
            return;
        };
        let mut task = host.tasks.swap_remove(at);
        self.memory.note(job, &host.worker, now);
        host.note_running_kinds(now);
        self.result.evictions += 1;
        self.result.lost_s += task.done_s - task.saved_s;
        task.done_s = task.saved_s;
        self.waiting.push_back(task);
    }
}

impl Host {
    fn new(index: usize, inputs: &TaskTrial, decisions: TaskDecisions) -> Self {
        let service = u32::try_from(index).unwrap_or(0) % (SERVICES + 1);
        Self {
            worker: valid(WorkerId::try_from(format!("w{index}"))),
            rack: valid(Rack::try_from(format!("r{}", index / inputs.per_rack))),
            service: (decisions.services && service < SERVICES).then_some(Kind(service)),
            tasks: Vec::new(),
            running_kinds: Vec::new(),
            history: History::default(),
            distress: Distress::default(),
            measured: VecDeque::new(),
        }
    }

    fn candidate(&self, capacity: Size) -> CandidateHost<'_> {
        let used = self.tasks.iter();
        let used = used.fold(Size::ZERO, |sum, task| sum.plus(&task.size));
        CandidateHost {
            worker: &self.worker,
            rack: &self.rack,
            capacity,
            free: capacity.minus(&used),
            running_kinds: &self.running_kinds,
            entry_tasks_in_rack: 0,
        }
    }

    fn note_running_kinds(&mut self, now: Millis) {
        self.running_kinds.clear();
        let service = self.service.map(|kind| (kind, Class::LatencyCritical));
        let tasks = self.tasks.iter().map(|task| (task.kind, Class::Batch));
        for (kind, class) in service.into_iter().chain(tasks) {
            let present = self
                .running_kinds
                .iter_mut()
                .find(|r| r.neighbour.kind == kind);
            match present {
                Some(running_kind) => running_kind.neighbour.count += 1,
                None => self.running_kinds.push(RunningKind {
                    neighbour: Neighbour { kind, count: 1 },
                    class,
                }),
            }
        }
        if self.tasks.iter().any(|task| task.throttled) {
            self.history.note_throttled(now);
            return;
        }
        let neighbours = self.running_kinds.iter().map(|r| r.neighbour).collect();
        self.history.note(neighbours, now);
    }

    /// The slowdown of `kind` by all tasks on the host except task `own`, and by the service if that is of
    /// another kind.
    fn slowdown_of(&self, interference: &[Vec<f64>], kind: Kind, own: Option<usize>) -> f64 {
        let row = &interference[kind.0 as usize];
        let others = self
            .tasks
            .iter()
            .enumerate()
            .filter(|(i, _)| Some(*i) != own);
        let tasks: f64 = others
            .map(|(_, task)| {
                row[task.kind.0 as usize] * if task.throttled { THROTTLED_SPEED } else { 1.0 }
            })
            .sum();
        let service = self.service.filter(|service| *service != kind);
        1.0 + tasks + service.map_or(0.0, |service| row[service.0 as usize])
    }

    fn set_throttled(&mut self, job: &JobId, throttled: bool, now: Millis) {
        for task in self.tasks.iter_mut().filter(|task| task.id == *job) {
            task.throttled = throttled;
        }
        self.note_running_kinds(now);
    }
}

/// The neighbours of one task of `kind`: all that are present except itself.
fn neighbours_of_one(present: &[Neighbour], kind: Kind) -> Vec<Neighbour> {
    let others = present.iter().map(|neighbour| Neighbour {
        count: neighbour.count - u32::from(neighbour.kind == kind),
        ..*neighbour
    });
    others.filter(|neighbour| neighbour.count > 0).collect()
}

fn draw_effect(rng: &mut StdRng) -> f64 {
    match rng.random_range(0.0..1.0) < INTERFERING_FRACTION {
        true => rng.random_range(0.2..0.8),
        false => rng.random_range(0.0..0.03),
    }
}

fn draw_size(rng: &mut StdRng) -> Size {
    Size {
        millicores: rng.random_range(1..=4) * 1_000,
        memory_mb: rng.random_range(2..=12) * 1_000,
        accelerators: 0,
    }
}
