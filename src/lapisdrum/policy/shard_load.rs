//! Chooses the shard that is expected to start a new job first.
//!
//! Load pattern: short tasks of the most urgent priority come in bursts and swings. Placed by a hash
//! of their job's id, 280 of them wait in one shard, the oldest for 17 s, while another shard has
//! none waiting and a twelfth of its processors free, in pieces of 2 to 4 cores.
//!
//! A shard describes itself by a [`LoadDigest`]: the work that waits, by class, the rate at which
//! such work is placed, and the free pieces of its hosts, since totals mislead where free processors
//! lie in pieces. A job leaves its home only if it has to wait there and is expected to start
//! clearly sooner elsewhere. Digests are up to [`MAX_AGE`] old. So that not all homes choose the
//! same shard in the meantime, each adds the work that it sent since to the digest
//! ([`LoadDigest::take`]), and draws among the shards that are about equally good.

mod meter;

pub use meter::WorkMeter;

use super::dispatch::place::{Load, MIN_IDLE_PERCENT};
use crate::core::size::Size;
use indexmap::IndexMap;
use rand::Rng;
use std::time::Duration;

/// Age beyond which a digest is not used: short tasks take about a second, so a shard's free pieces
/// are others by then.
pub const MAX_AGE: Duration = Duration::from_millis(750);
/// What sending a job costs: a journal row, and a round trip to the other shard.
const SENDING_COST: Duration = Duration::from_millis(60);
/// The wait elsewhere must be shorter than the own one divided by this: both are estimates, and two
/// shards with about the same load would send each other jobs.
const MIN_RATIO: u32 = 2;
/// Shards whose waits differ by less count as equally good: less than the estimates can tell.
const EQUAL_WAITS: Duration = Duration::from_millis(50);
/// Each job sent counts this often, since the homes of other shards may have sent as many there.
const SENT_COUNTS: u32 = 2;
/// Least rate that is assumed, in thousandths of a core per second: a shard that placed nothing in the
/// whole window may place little for long, and its wait must grow with what is sent there.
const MIN_RATE: u64 = 1_000;
/// Longest wait that is expected: beyond it, one is as bad as another.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Tasks of a job that are matched with free pieces one by one; the others count as waiting.
const MAX_MATCHED_TASKS: u32 = 64;
/// Free processors are rounded down to multiples of the second number up to the first, both in
/// thousandths of a core. Tasks ask for tenths of a core; the steps bound the size of a digest.
const PIECE_STEPS: [(u64, u64); 3] = [(4_000, 100), (16_000, 500), (u64::MAX, 2_000)];
/// Free processors below which a piece is left out, in thousandths of a core.
const MIN_PIECE_MILLICORES: u64 = 50;

data! {
    /// Short tasks with the same pool, priority and kind of load.
    #[derive(Hash)]
    pub struct Class {
        /// Name of the pool.
        pub pool: String,
        /// Priority of the queue; 0 is the most urgent.
        pub priority: u32,
        /// Kind of load.
        pub load: Load,
    }

    /// Waiting tasks of one class.
    pub struct Waiting {
        /// Their class.
        pub class: Class,
        /// What they ask for, in thousandths of a core.
        pub millicores: u64,
        /// Time since the oldest of them fell due, in milliseconds.
        pub oldest_ms: u64,
        /// Rate at which tasks of the class are placed, in thousandths of a core per second.
        pub placed_per_s: u64,
    }

    /// Hosts with about the same free resources.
    #[derive(Copy)]
    pub struct Piece {
        /// What is free on each of them, rounded down.
        pub free: Size,
        /// How many there are.
        pub hosts: u32,
    }

    /// What is free in one pool.
    pub struct PoolRoom {
        /// Name of the pool.
        pub pool: String,
        /// Unreserved resources of hosts that are not kept free for other tasks.
        pub free: Vec<Piece>,
        /// Resources that best-effort tasks can use: idle processors, reserved or not.
        pub idle: Vec<Piece>,
        /// The sizes of hosts, without those that are smaller than another in every dimension.
        pub hosts: Vec<Size>,
    }

    /// Load of a shard at one time.
    #[derive(Default)]
    pub struct LoadDigest {
        /// Waiting work by class, also of classes without any that were placed recently.
        pub waiting: Vec<Waiting>,
        /// Free resources by pool.
        pub rooms: Vec<PoolRoom>,
    }
}

/// Tasks of a job that are alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskDemand {
    /// What each of them asks for.
    pub size: Size,
    /// Kind of load.
    pub load: Load,
    /// How many there are.
    pub tasks: u32,
    /// Whether they may start as soon as the job is accepted.
    pub is_first: bool,
}

/// What a job asks of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobDemand {
    /// The pool whose hosts run it.
    pub pool: String,
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Its tasks, by step.
    pub steps: Vec<TaskDemand>,
}

/// Another shard as a place for a job.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its digest, with the work that was sent there since.
    pub digest: &'a LoadDigest,
    /// Time since the digest was made.
    pub age: Duration,
}

/// A shard that is expected to start a job sooner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sooner {
    /// Index of the candidate.
    pub candidate: usize,
    /// Time until the job is expected to start there.
    pub wait: Duration,
    /// Age of the digest from which that follows.
    pub age: Duration,
}

impl Class {
    /// Whether tasks of both classes use the same resources.
    fn contends_with(&self, other: &Self) -> bool {
        let is_best_effort = |class: &Self| class.load == Load::BestEffort;
        self.pool == other.pool && is_best_effort(self) == is_best_effort(other)
    }
}

impl TaskDemand {
    fn needed(&self) -> Size {
        match self.load {
            Load::Reserving | Load::Serving => self.size,
            Load::BestEffort => Size {
                millicores: self.size.millicores * MIN_IDLE_PERCENT / 100,
                ..self.size
            },
        }
    }
}

impl JobDemand {
    fn class(&self, load: Load) -> Class {
        Class {
            pool: self.pool.clone(),
            priority: self.priority,
            load,
        }
    }

    fn first_tasks(&self) -> impl Iterator<Item = &TaskDemand> {
        self.steps.iter().filter(|step| step.is_first)
    }
}

/// Pieces of hosts, merged by their rounded number of free processors; the other resources are the
/// smallest among the merged hosts.
pub fn pieces(free: impl Iterator<Item = Size>) -> Vec<Piece> {
    let mut merged: IndexMap<u64, Piece> = IndexMap::new();
    for free in free.filter(|free| free.millicores >= MIN_PIECE_MILLICORES) {
        let millicores = rounded(free.millicores);
        let free = Size { millicores, ..free };
        let piece = merged.entry(millicores).or_insert(Piece { free, hosts: 0 });
        piece.hosts += 1;
        piece.free.memory_mb = piece.free.memory_mb.min(free.memory_mb);
        piece.free.accelerators = piece.free.accelerators.min(free.accelerators);
    }
    merged.into_values().collect()
}

fn rounded(millicores: u64) -> u64 {
    let mut steps = PIECE_STEPS.iter();
    let step = steps.find(|(upto, _)| millicores <= *upto);
    step.map_or(millicores, |(_, step)| millicores - millicores % step)
}

/// The sizes of hosts, without those that are smaller than another in every dimension.
pub fn largest(hosts: impl Iterator<Item = Size>) -> Vec<Size> {
    let mut largest: Vec<Size> = Vec::new();
    for size in hosts {
        if !largest.iter().any(|other| size.fits(other)) {
            largest.retain(|other| !other.fits(&size));
            largest.push(size);
        }
    }
    largest
}

/// Takes one task's resources off the narrowest piece that fits it; returns whether one did.
fn take_piece(pieces: &mut Vec<Piece>, needed: &Size) -> bool {
    let fitting = pieces.iter_mut();
    let fitting = fitting.filter(|piece| piece.hosts > 0 && needed.fits(&piece.free));
    let Some(piece) = fitting.min_by_key(|piece| piece.free.millicores) else {
        return false;
    };
    piece.hosts -= 1;
    let free = piece.free.minus(needed);
    if free.millicores >= MIN_PIECE_MILLICORES {
        pieces.push(Piece { free, hosts: 1 });
    }
    pieces.retain(|piece| piece.hosts > 0);
    true
}

impl PoolRoom {
    fn pieces(&mut self, load: Load) -> &mut Vec<Piece> {
        match load {
            Load::Reserving | Load::Serving => &mut self.free,
            Load::BestEffort => &mut self.idle,
        }
    }

    /// Takes the resources of as many of these tasks as fit; returns how many don't.
    fn take(&mut self, demand: &TaskDemand) -> u32 {
        let (needed, pieces) = (demand.needed(), self.pieces(demand.load));
        for taken in 0..demand.tasks.min(MAX_MATCHED_TASKS) {
            if !take_piece(pieces, &needed) {
                return demand.tasks - taken;
            }
        }
        demand.tasks.saturating_sub(MAX_MATCHED_TASKS)
    }
}

impl LoadDigest {
    /// Time until the first tasks of a job are expected to start in the shard; none if no host of it
    /// can run one of the job's tasks.
    pub fn expected_wait(&self, job: &JobDemand) -> Option<Duration> {
        let mut room = self
            .rooms
            .iter()
            .find(|room| room.pool == job.pool)?
            .clone();
        let can_run = |step: &TaskDemand| room.hosts.iter().any(|host| step.size.fits(host));
        if !job.steps.iter().all(can_run) {
            return None;
        }
        let waits = job.first_tasks().map(|step| {
            let class = job.class(step.load);
            // Hosts also refuse best-effort tasks for other reasons than a lack of room.
            let may_fit = step.load != Load::BestEffort || self.work_ahead(&class) == 0;
            let unfit = match may_fit {
                true => room.take(step),
                false => step.tasks,
            };
            match unfit {
                0 => Duration::ZERO,
                unfit => self.queue_wait(&class, step.size.millicores * u64::from(unfit)),
            }
        });
        Some(waits.max().unwrap_or_default())
    }

    /// Adds the first tasks of a job that the shard gets beside the work in the digest.
    pub fn take(&mut self, job: &JobDemand) {
        for step in job.first_tasks() {
            let room = self.rooms.iter_mut().find(|room| room.pool == job.pool);
            let unfit = room.map_or(step.tasks, |room| room.take(step));
            if unfit > 0 {
                self.add_waiting(
                    job.class(step.load),
                    step.size.millicores * u64::from(unfit),
                );
            }
        }
    }

    /// Adds a job that was sent to the shard; see [`SENT_COUNTS`].
    pub fn take_sent(&mut self, job: &JobDemand) {
        for _ in 0..SENT_COUNTS {
            self.take(job);
        }
    }

    /// Whether short tasks wait.
    pub fn has_waiting(&self) -> bool {
        self.waiting.iter().any(|waiting| waiting.millicores > 0)
    }

    /// Sum of the free processors, in thousandths of a core.
    pub fn free_millicores(&self) -> u64 {
        let pieces = self.rooms.iter().flat_map(|room| &room.free);
        let free = pieces.map(|piece| piece.free.millicores * u64::from(piece.hosts));
        free.sum()
    }

    /// How many times the first tasks of a job fit into free pieces, up to a limit; at least 1.
    fn chances(&self, job: &JobDemand) -> u32 {
        let room = self.rooms.iter().find(|room| room.pool == job.pool);
        let Some(mut room) = room.cloned() else {
            return 1;
        };
        let fits = |room: &mut PoolRoom| job.first_tasks().all(|step| room.take(step) == 0);
        let fitting = (0..MAX_MATCHED_TASKS).take_while(|_| fits(&mut room));
        fitting.count().max(1) as u32
    }

    fn add_waiting(&mut self, class: Class, millicores: u64) {
        match self
            .waiting
            .iter_mut()
            .find(|waiting| waiting.class == class)
        {
            Some(waiting) => waiting.millicores += millicores,
            None => self.waiting.push(Waiting {
                class,
                millicores,
                oldest_ms: 0,
                placed_per_s: 0,
            }),
        }
    }

    /// Waiting work that is served before new work of this class or with it, in thousandths of a
    /// core.
    fn work_ahead(&self, class: &Class) -> u64 {
        let ahead = self.ahead_of(class);
        ahead.map(|waiting| waiting.millicores).sum()
    }

    fn ahead_of<'a>(&'a self, class: &'a Class) -> impl Iterator<Item = &'a Waiting> {
        let contending = self
            .waiting
            .iter()
            .filter(|waiting| waiting.class.contends_with(class));
        contending.filter(|waiting| waiting.class.priority <= class.priority)
    }

    /// Time until waiting work and this much more of the class are placed. What is placed of less
    /// urgent classes counts into the rate, as the class goes before them.
    fn queue_wait(&self, class: &Class, millicores: u64) -> Duration {
        let contending = self
            .waiting
            .iter()
            .filter(|waiting| waiting.class.contends_with(class));
        let rate: u64 = contending.map(|waiting| waiting.placed_per_s).sum();
        let oldest_ms = self
            .ahead_of(class)
            .filter(|waiting| waiting.millicores > 0)
            .map(|waiting| waiting.oldest_ms)
            .max()
            .unwrap_or_default();
        let work = self.work_ahead(class) + millicores;
        let by_rate_ms = work * 1_000 / rate.max(MIN_RATE);
        // Half, since the oldest may be wider than the tasks that were placed before it.
        let wait = Duration::from_millis(by_rate_ms.max(oldest_ms / 2));
        wait.min(MAX_WAIT)
    }
}

/// The candidate to which a job is sent that is expected to wait for `own` in its home; none if it
/// stays. Of those that are about equally good, one is drawn by how many such jobs fit there.
pub fn choose(
    job: &JobDemand,
    own: Duration,
    candidates: &[Candidate],
    rng: &mut impl Rng,
) -> Option<Sooner> {
    let is_fresh = |candidate: &Candidate| candidate.age <= MAX_AGE;
    let fresh = candidates.iter().enumerate();
    let sooner = fresh.filter(|(_, candidate)| is_fresh(candidate));
    let sooner = sooner.filter_map(|(at, candidate)| {
        let wait = candidate.digest.expected_wait(job)?;
        let is_sooner = is_clearly_sooner(own, wait, candidate.age);
        let sooner = Sooner {
            candidate: at,
            wait,
            age: candidate.age,
        };
        is_sooner.then_some(sooner)
    });
    let sooner: Vec<Sooner> = sooner.collect();
    let least = sooner.iter().map(|sooner| sooner.wait).min()?;
    let best = sooner
        .into_iter()
        .filter(|sooner| sooner.wait <= least + EQUAL_WAITS);
    let weighed = best.map(|best| (best, candidates[best.candidate].digest.chances(job)));
    let weighed: Vec<(Sooner, u32)> = weighed.collect();
    let total: u32 = weighed.iter().map(|(_, chances)| chances).sum();
    let mut drawn = rng.random_range(0..total.max(1));
    for (sooner, chances) in &weighed {
        if drawn < *chances {
            return Some(*sooner);
        }
        drawn -= chances;
    }
    None
}

/// Whether a job is sent from a shard where it waits for `own` to one where it waits for `theirs`, by
/// a digest of this age.
fn is_clearly_sooner(own: Duration, theirs: Duration, age: Duration) -> bool {
    own > theirs + SENDING_COST + age / 2 && own > theirs * MIN_RATIO
}

/// Whether a job that is expected to wait for `own` in its home may start sooner elsewhere.
pub fn may_gain(own: Duration) -> bool {
    is_clearly_sooner(own, Duration::ZERO, Duration::ZERO)
}
