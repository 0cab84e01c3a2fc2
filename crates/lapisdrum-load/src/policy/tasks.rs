//! Placement, interference and eviction over virtual time: batch waves beside services.
//!
//! Hosts are counters and a hidden table of who slows whom; the policies see it only through late
//! reports. A second is a step. It tests the decisions by what services and batch work get; nothing
//! fails and nobody restarts here.

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
        eviction::{Distress, EvictionMemory, HostTask, MitigationStep},
        placement::{self, CandidateHost, RunningKind, TaskToPlace},
        slowdown::{History, Kind, Neighbour, Report, SlowdownModel},
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{collections::VecDeque, time::Duration};

/// Services; each host runs one of them or none.
const SERVICES: u32 = 2;
/// Kinds of batch work.
const BATCH_KINDS: u32 = 12;
/// Part of the pairs that disturb each other.
const NOISY_PAIRS: f64 = 0.2;
/// Seconds between two reports of a host.
const REPORT_EVERY: u64 = 5;
/// Age of a report when it arrives, in seconds.
const REPORT_LAG: usize = 5;
/// Speed of a throttled task, and the part of its disturbance that is left.
const THROTTLED: f64 = 0.3;
/// Seconds between two checkpoints of a task.
const CHECKPOINT_EVERY: u64 = 60;
/// Seconds from one wave to the next, and the length of a wave.
const WAVE: (u64, u64) = (600, 120);
/// Run time of a batch task alone.
const BATCH_RUN: RunTime = RunTime {
    median_ms: 120_000.0,
    sigma: 0.5,
};

/// Which decisions a trial is run under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskDecisions {
    /// Placement learns from reports; otherwise it goes by declared sizes alone.
    pub learns: bool,
    /// Hosts in distress are relieved.
    pub relieves: bool,
    /// There are services at all; without them it is the batch-only figure.
    pub services: bool,
}

impl TaskDecisions {
    /// All of them, with their names in tables.
    pub const ALL: [(&'static str, Self); 4] = [
        ("policy", Self::new(true, true, true)),
        ("no relief", Self::new(true, false, true)),
        ("blind placement", Self::new(false, true, true)),
        ("blind, no relief", Self::new(false, false, true)),
    ];
    /// Batch work alone.
    pub const BATCH_ONLY: Self = Self::new(true, true, false);

    const fn new(learns: bool, relieves: bool, services: bool) -> Self {
        Self {
            learns,
            relieves,
            services,
        }
    }
}

/// One trial's inputs.
#[derive(Clone, Copy, Debug)]
pub struct TaskTrial {
    /// Hosts.
    pub hosts: usize,
    /// Hosts of a rack.
    pub per_rack: usize,
    /// What each host has for tasks: half of it, the rest is kept for requests.
    pub room: Size,
    /// Batch tasks that arrive a second, on average.
    pub starts_per_s: f64,
    /// Length in seconds.
    pub seconds: u64,
    /// Seed of every draw.
    pub seed: u64,
}

/// What services and batch work got.
#[derive(Clone, Debug)]
pub struct TaskResult {
    /// Slowdown of services in thousandths, by host and second.
    pub slowdown: Histogram<u64>,
    /// Tasks finished.
    pub finished: u64,
    /// Work finished, in seconds of run time alone.
    pub work_s: f64,
    /// Tasks evicted.
    pub evictions: u64,
    /// Throttles set.
    pub throttles: u64,
    /// Work lost by evictions, in seconds.
    pub lost_s: f64,
    /// Tasks that wait at the end.
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
    /// Slowdowns of the last seconds: of the service, and of each task's kind.
    measured: VecDeque<(Millis, Vec<(Kind, f64)>)>,
}

struct Trial {
    decisions: TaskDecisions,
    inputs: TaskTrial,
    truth: Vec<Vec<f64>>,
    sizes: Vec<Size>,
    hosts: Vec<Host>,
    waiting: VecDeque<Task>,
    known: SlowdownModel,
    memory: EvictionMemory,
    result: TaskResult,
    rng: StdRng,
    next_job: u64,
}

/// Runs a trial under some decisions.
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
        let truth = (0..kinds).map(|_| row(&mut rng)).collect();
        let sizes = (0..kinds).map(|_| draw_size(&mut rng)).collect();
        let hosts = (0..inputs.hosts).map(|i| Host::new(i, &inputs, decisions));
        Self {
            decisions,
            inputs,
            truth,
            sizes,
            hosts: hosts.collect(),
            waiting: VecDeque::new(),
            known,
            memory: EvictionMemory::default(),
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
            if (second + index as u64).is_multiple_of(REPORT_EVERY) {
                self.report(index, now);
            }
        }
    }

    /// New tasks: a third of them evenly, the rest in waves of one kind each.
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
            host.note_residents(now);
        }
    }

    fn choose(&mut self, task: &Task, now: Millis) -> Option<usize> {
        let mut indexes = Vec::new();
        let mut candidates = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let open = !host.distress.is_on() || !self.decisions.relieves;
            if open && self.memory.may_place(&task.id, &host.worker, now) {
                indexes.push(index);
                candidates.push(host.candidate(self.inputs.room));
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
            let slowdown = host.slowdown_of(&self.truth, service, None);
            self.result
                .slowdown
                .saturating_record((slowdown * 1e3) as u64);
            measured.push((service, slowdown));
        }
        let slowdowns: Vec<f64> = (0..host.tasks.len())
            .map(|i| host.slowdown_of(&self.truth, host.tasks[i].kind, Some(i)))
            .collect();
        for (task, slowdown) in host.tasks.iter_mut().zip(slowdowns) {
            let speed = if task.throttled { THROTTLED } else { 1.0 };
            task.done_s += speed / slowdown;
            if (second - task.started).is_multiple_of(CHECKPOINT_EVERY) {
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
            host.note_residents(now);
        }
    }

    /// A late report: placement learns, and a host in distress is relieved.
    fn report(&mut self, index: usize, now: Millis) {
        let Some((measured_at, slowdowns)) = self.hosts[index].measured.front().cloned() else {
            return;
        };
        if self.decisions.learns {
            let host = &self.hosts[index];
            if let Some(present) = host.history.during(measured_at, Duration::from_secs(1)) {
                let present = present.to_vec();
                for (kind, slowdown) in &slowdowns {
                    let noise = self.rng.random_range(0.95..1.05);
                    let beside = without_one(&present, *kind);
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
        if let (true, Some((_, slowdown))) = (self.decisions.relieves, distress) {
            self.relieve(index, *slowdown, measured_at, now);
        }
    }

    fn relieve(&mut self, index: usize, slowdown: f64, measured_at: Millis, now: Millis) {
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
        host.note_residents(now);
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

    fn note_residents(&mut self, now: Millis) {
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

    /// The true slowdown of a kind by everything on the host but task `own`.
    fn slowdown_of(&self, truth: &[Vec<f64>], kind: Kind, own: Option<usize>) -> f64 {
        let row = &truth[kind.0 as usize];
        let others = self
            .tasks
            .iter()
            .enumerate()
            .filter(|(i, _)| Some(*i) != own);
        let tasks: f64 = others
            .map(|(_, task)| {
                row[task.kind.0 as usize] * if task.throttled { THROTTLED } else { 1.0 }
            })
            .sum();
        let service = self.service.filter(|service| *service != kind);
        1.0 + tasks + service.map_or(0.0, |service| row[service.0 as usize])
    }

    fn set_throttled(&mut self, job: &JobId, throttled: bool, now: Millis) {
        for task in self.tasks.iter_mut().filter(|task| task.id == *job) {
            task.throttled = throttled;
        }
        self.note_residents(now);
    }
}

/// Neighbours of one of `kind`: all but itself.
fn without_one(present: &[Neighbour], kind: Kind) -> Vec<Neighbour> {
    let others = present.iter().map(|neighbour| Neighbour {
        count: neighbour.count - u32::from(neighbour.kind == kind),
        ..*neighbour
    });
    others.filter(|neighbour| neighbour.count > 0).collect()
}

fn draw_effect(rng: &mut StdRng) -> f64 {
    match rng.random_range(0.0..1.0) < NOISY_PAIRS {
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
