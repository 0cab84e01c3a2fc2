//! What a shard remembers of its jobs, and how each event changes it. Pure.
//!
//! [`Ledger::apply`] is the only way in. It checks each event against the state, so that a decision made
//! on stale knowledge is found when it is proposed and not when a task runs twice. A replay of the
//! journal goes through the same checks.

use super::{
    event::{Event, Loss, RunEnd, RunId, WorkerLife},
    job::{Gang, JobId, JobSpec, QueueTerms, RunNumber, Step, StepId, TaskId},
    layout::ShardId,
};
use indexmap::IndexMap;
use std::{collections::BTreeMap, fmt, rc::Rc};

data! {
    /// How a job is over.
    #[derive(Copy)]
    pub enum Phase {
        /// It is not over.
        Active,
        /// Every task is done.
        Completed,
        /// A task failed as often as its queue allows.
        Failed,
        /// Its caller cancelled it.
        Cancelled,
    }

    /// A run that may be alive.
    pub struct LiveRun {
        /// Its number.
        pub number: RunNumber,
        /// Where.
        pub on: WorkerLife,
    }

    /// One task.
    #[derive(Default)]
    pub struct Task {
        /// Whether a run of it has ended as done.
        pub is_done: bool,
        /// Runs that may be alive; more than one only where copies are allowed.
        pub live: Vec<LiveRun>,
        /// The number of its last run.
        pub last_run: RunNumber,
        /// Runs that have failed.
        pub failures: u32,
        /// Its last saved progress.
        pub checkpoint: Option<String>,
        /// The shard that runs it, where that is another one.
        #[serde(default)]
        pub elsewhere: Option<ShardId>,
    }

    /// A step of one occurrence.
    pub struct StepState {
        /// Its tasks.
        pub tasks: Vec<Task>,
        /// How many of them are done.
        pub done: u32,
        /// How many of them are not done and have a live run.
        pub running: u32,
    }

    /// One occurrence of a job.
    pub struct Occurrence {
        /// Its steps.
        pub steps: Vec<StepState>,
        /// Whether every task is done.
        pub is_done: bool,
    }

    /// A job.
    pub struct Job {
        /// What was submitted.
        pub spec: Rc<JobSpec>,
        /// What the catalogue said of its queue.
        pub terms: QueueTerms,
        /// When it was accepted, in Unix milliseconds.
        pub accepted_unix_ms: u64,
        /// Occurrences of which anything was started.
        pub occurrences: BTreeMap<u32, Occurrence>,
        /// Occurrences that are done.
        pub occurrences_done: u32,
        /// Whether any task was ever placed.
        pub has_started: bool,
        /// Whether it is over.
        pub phase: Phase,
        /// When it was over, in Unix milliseconds.
        pub over_unix_ms: u64,
        /// Whether another shard owns the job and only some of its tasks are run here.
        #[serde(default)]
        pub is_guest: bool,
    }
}

data! {
    /// A job that was handed to another shard.
    #[derive(Copy)]
    pub struct SentJob {
        /// The shard that takes it.
        pub to: ShardId,
        /// When it was decided, in Unix milliseconds.
        pub at_unix_ms: u64,
    }
}

/// An event that doesn't fit the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misplaced {
    /// The job isn't known, or it is already.
    Job(JobId),
    /// The task isn't one of the job's, or its step may not begin yet.
    Task(TaskId),
    /// The run's number isn't above the last, or the task may not have another run.
    Run(RunId),
    /// The job is not over.
    NotOver(JobId),
}

impl fmt::Display for Misplaced {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Job(job) => write!(f, "job {job} is unknown or known already"),
            Self::Task(task) => write!(f, "task {task} is none, or may not begin"),
            Self::Run(run) => write!(
                f,
                "run {} of task {} may not be placed",
                run.run.0, run.task
            ),
            Self::NotOver(job) => write!(f, "job {job} is not over"),
        }
    }
}

impl std::error::Error for Misplaced {}

/// Everything that a shard remembers.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Ledger {
    /// Jobs by id, in the order of their acceptance.
    #[serde(with = "indexmap::map::serde_seq")]
    pub jobs: IndexMap<JobId, Job>,
    /// Jobs at home here that were handed to another shard. A repeated submission is sent to the same shard:
    /// chosen anew by load, it would be accepted in two.
    #[serde(with = "indexmap::map::serde_seq", default)]
    pub sent: IndexMap<JobId, SentJob>,
}

impl Ledger {
    /// A task, if it is known.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        let occurrence = self.jobs.get(&id.job)?.occurrences.get(&id.occurrence)?;
        let step = occurrence.steps.get(usize::from(id.step))?;
        step.tasks.get(id.index as usize)
    }

    /// A live run, if it is one.
    pub fn live(&self, run: &RunId) -> Option<&LiveRun> {
        let live = &self.task(&run.task)?.live;
        live.iter().find(|live| live.number == run.run)
    }

    /// Every run that may be alive.
    pub fn live_runs(&self) -> impl Iterator<Item = (RunId, &LiveRun)> {
        self.jobs.iter().flat_map(|(id, job)| job.live_runs(*id))
    }

    /// Applies one event; on an error nothing is changed.
    pub fn apply(&mut self, event: &Event) -> Result<(), Misplaced> {
        match event {
            Event::Accepted {
                job,
                spec,
                terms,
                at_unix_ms,
            } => self.accept(*job, spec, terms, *at_unix_ms),
            Event::Placed { run, on } => self.place(run, on),
            Event::Ended {
                run,
                how,
                checkpoint,
                at_unix_ms,
            } => self.end(run, *how, checkpoint.as_deref(), *at_unix_ms),
            Event::Lost { run, why } => self.lose(run, *why),
            Event::Cancelled { job, at_unix_ms } => self.cancel(*job, *at_unix_ms),
            Event::Sent {
                job,
                to,
                at_unix_ms,
            } => self.send(*job, *to, *at_unix_ms),
            Event::Delegated { task, to } => self.delegate(task, *to),
            Event::Adopted {
                job,
                spec,
                terms,
                from,
                tasks,
                at_unix_ms,
            } => {
                let new = || Job::guest(spec, terms, *from, *at_unix_ms);
                self.adopt(*job, new, tasks)
            }
            Event::Forgotten { job } => self.forget(*job),
        }
    }

    fn accept(
        &mut self,
        id: JobId,
        spec: &Rc<JobSpec>,
        terms: &QueueTerms,
        at_unix_ms: u64,
    ) -> Result<(), Misplaced> {
        if self.jobs.contains_key(&id) || self.sent.contains_key(&id) {
            return Err(Misplaced::Job(id));
        }
        self.jobs.insert(id, Job::new(spec, terms, at_unix_ms));
        Ok(())
    }

    /// Hands a task on that nothing of is alive. There is no way back: the other shard may take it at any later time.
    fn delegate(&mut self, id: &TaskId, to: ShardId) -> Result<(), Misplaced> {
        let job = self.job_mut(id.job)?;
        let step = job.spec.steps.get(usize::from(id.step));
        let is_lasting = step.is_some_and(|step| step.is_long_running && step.gang == Gang::No);
        if job.phase != Phase::Active || job.is_guest || !is_lasting {
            return Err(Misplaced::Task(*id));
        }
        let task = job.task_mut(id).ok_or(Misplaced::Task(*id))?;
        if !task.live.is_empty() || task.elsewhere.is_some() {
            return Err(Misplaced::Task(*id));
        }
        task.elsewhere = Some(to);
        Ok(())
    }

    /// Takes tasks of another shard's job. A repeat changes nothing, nor does one that comes after the job was cancelled.
    fn adopt(
        &mut self,
        id: JobId,
        new: impl FnOnce() -> Job,
        tasks: &[(TaskId, RunNumber)],
    ) -> Result<(), Misplaced> {
        let job = self.jobs.entry(id).or_insert_with(new);
        if !job.is_guest {
            return Err(Misplaced::Job(id));
        }
        for (task, last_run) in tasks {
            let task = job.task_mut(task).ok_or(Misplaced::Task(*task))?;
            if task.elsewhere.take().is_some() {
                task.last_run = *last_run;
            }
        }
        Ok(())
    }

    fn send(&mut self, id: JobId, to: ShardId, at_unix_ms: u64) -> Result<(), Misplaced> {
        if self.jobs.contains_key(&id) || self.sent.contains_key(&id) {
            return Err(Misplaced::Job(id));
        }
        self.sent.insert(id, SentJob { to, at_unix_ms });
        Ok(())
    }

    fn job_mut(&mut self, id: JobId) -> Result<&mut Job, Misplaced> {
        self.jobs.get_mut(&id).ok_or(Misplaced::Job(id))
    }

    fn place(&mut self, run: &RunId, on: &WorkerLife) -> Result<(), Misplaced> {
        let id = run.task;
        let job = self.job_mut(id.job)?;
        if job.phase != Phase::Active || id.occurrence >= job.spec.occurrences() {
            return Err(Misplaced::Job(id.job));
        }
        if !job.may_begin(id.occurrence, usize::from(id.step)) {
            return Err(Misplaced::Task(id));
        }
        let is_speculative = job.spec.steps[usize::from(id.step)].is_speculative;
        let step = job.step_mut(&id.step_id()).ok_or(Misplaced::Task(id))?;
        let task = step
            .tasks
            .get_mut(id.index as usize)
            .ok_or(Misplaced::Task(id))?;
        let is_free = task.live.is_empty() || is_speculative;
        if task.is_done || task.elsewhere.is_some() || !is_free || run.run <= task.last_run {
            return Err(Misplaced::Run(*run));
        }
        if task.live.is_empty() {
            step.running += 1;
        }
        task.last_run = run.run;
        task.live.push(LiveRun {
            number: run.run,
            on: on.clone(),
        });
        job.has_started = true;
        Ok(())
    }

    /// An end of a run that isn't live is a repeat and changes nothing, but for one as done: a run that was
    /// given up on a worker that was cut off may have done its work there, and it needn't be done again.
    fn end(
        &mut self,
        run: &RunId,
        how: RunEnd,
        checkpoint: Option<&str>,
        at_unix_ms: u64,
    ) -> Result<(), Misplaced> {
        let id = run.task;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return Ok(());
        };
        let spec = Rc::clone(&job.spec);
        let step_spec = spec
            .steps
            .get(usize::from(id.step))
            .ok_or(Misplaced::Task(id))?;
        let was_live = job.take_live(run);
        let is_late_work = how == RunEnd::Done && job.is_open(run);
        if !was_live && !is_late_work {
            return Ok(());
        }
        if let Some(checkpoint) = checkpoint {
            job.note_checkpoint(run, step_spec.gang, checkpoint);
        }
        match how {
            RunEnd::Done if !step_spec.is_long_running => {
                job.note_done(run, step_spec.gang, at_unix_ms);
            }
            RunEnd::Failed if !step_spec.is_long_running => {
                job.note_failed(run, step_spec.gang, at_unix_ms);
            }
            _ => {}
        }
        Ok(())
    }

    fn lose(&mut self, run: &RunId, _: Loss) -> Result<(), Misplaced> {
        if let Some(job) = self.jobs.get_mut(&run.task.job) {
            job.take_live(run);
        }
        Ok(())
    }

    fn cancel(&mut self, id: JobId, at_unix_ms: u64) -> Result<(), Misplaced> {
        let job = self.job_mut(id)?;
        if job.phase == Phase::Active {
            job.finish(Phase::Cancelled, at_unix_ms);
        }
        Ok(())
    }

    fn forget(&mut self, id: JobId) -> Result<(), Misplaced> {
        if self.sent.shift_remove(&id).is_some() {
            return Ok(());
        }
        let job = self.jobs.get(&id).ok_or(Misplaced::Job(id))?;
        if job.phase == Phase::Active {
            return Err(Misplaced::NotOver(id));
        }
        self.jobs.shift_remove(&id);
        Ok(())
    }
}

impl Job {
    fn new(spec: &Rc<JobSpec>, terms: &QueueTerms, at_unix_ms: u64) -> Self {
        Self {
            spec: Rc::clone(spec),
            terms: terms.clone(),
            accepted_unix_ms: at_unix_ms,
            occurrences: BTreeMap::new(),
            occurrences_done: 0,
            has_started: false,
            phase: Phase::Active,
            over_unix_ms: 0,
            is_guest: false,
        }
    }

    /// Another shard's job, of which no task is run here yet.
    fn guest(spec: &Rc<JobSpec>, terms: &QueueTerms, from: ShardId, at_unix_ms: u64) -> Self {
        let mut job = Self::new(spec, terms, at_unix_ms);
        let tasks = |step: &Step| StepState {
            tasks: vec![Task::elsewhere(from); step.count as usize],
            done: 0,
            running: 0,
        };
        let occurrence = Occurrence {
            steps: spec.steps.iter().map(tasks).collect(),
            is_done: false,
        };
        job.occurrences.insert(0, occurrence);
        job.has_started = true;
        job.is_guest = true;
        job
    }

    fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let step = self.step_mut(&id.step_id())?;
        step.tasks.get_mut(id.index as usize)
    }

    /// The tasks of a job of this shard that other shards run, with the numbers of their last runs here, by shard.
    pub fn delegated(&self, id: JobId) -> IndexMap<ShardId, Vec<(TaskId, RunNumber)>> {
        let mut by_shard: IndexMap<ShardId, Vec<(TaskId, RunNumber)>> = IndexMap::new();
        if self.is_guest {
            return by_shard;
        }
        for (occurrence, state) in &self.occurrences {
            for (step, state) in state.steps.iter().enumerate() {
                for (index, task) in state.tasks.iter().enumerate() {
                    let task_id = TaskId {
                        job: id,
                        occurrence: *occurrence,
                        step: step as u16,
                        index: index as u32,
                    };
                    if let Some(to) = task.elsewhere {
                        by_shard
                            .entry(to)
                            .or_default()
                            .push((task_id, task.last_run));
                    }
                }
            }
        }
        by_shard
    }

    /// How many tasks of a step this shard is to run, in the first occurrence.
    pub fn tasks_here(&self, step: usize) -> u64 {
        self.tasks_but(step, |task| task.elsewhere.is_some())
    }

    /// How many of its long-running tasks this shard is to run again and doesn't, in the first occurrence. New ones are
    /// not counted: they wait for interrupted ones of any shard.
    pub fn interrupted_long_running(&self) -> u64 {
        let steps = self.spec.steps.iter().enumerate();
        let long_running = steps.filter(|(_, step)| step.is_long_running);
        let is_interrupted = |task: &Task| {
            let has_run = task.last_run > RunNumber::default();
            has_run && task.live.is_empty() && task.elsewhere.is_none()
        };
        let others = |at| self.tasks_but(at, is_interrupted);
        long_running
            .map(|(at, step)| u64::from(step.count) - others(at))
            .sum()
    }

    /// The tasks of a step in the first occurrence, but those that are left out.
    fn tasks_but(&self, step: usize, is_left_out: impl Fn(&Task) -> bool) -> u64 {
        let state = self.occurrences.get(&0).and_then(|o| o.steps.get(step));
        let left_out = |state: &StepState| {
            let tasks = state.tasks.iter();
            tasks.filter(|task| is_left_out(task)).count() as u64
        };
        let count = self.spec.steps.get(step).map_or(0, |step| step.count);
        u64::from(count) - state.map_or(0, left_out)
    }

    /// A step's state, if anything of its occurrence was started.
    pub fn step(&self, id: &StepId) -> Option<&StepState> {
        let occurrence = self.occurrences.get(&id.occurrence)?;
        occurrence.steps.get(usize::from(id.step))
    }

    /// Whether every step before `step` is done in this occurrence.
    pub fn may_begin(&self, occurrence: u32, step: usize) -> bool {
        let Some(spec) = self.spec.steps.get(step) else {
            return false;
        };
        let is_done = |before: &u16| {
            let occurrence = self.occurrences.get(&occurrence);
            let state = occurrence.and_then(|o| o.steps.get(usize::from(*before)));
            state.is_some_and(|state| state.done as usize == state.tasks.len())
        };
        spec.after.iter().all(is_done)
    }

    /// Runs that may be alive.
    pub fn live_runs(&self, id: JobId) -> impl Iterator<Item = (RunId, &LiveRun)> {
        self.occurrences
            .iter()
            .flat_map(move |(number, occurrence)| {
                let steps = occurrence.steps.iter().enumerate();
                steps.flat_map(move |(step, state)| {
                    let tasks = state.tasks.iter().enumerate();
                    tasks.flat_map(move |(index, task)| {
                        task.live.iter().map(move |live| {
                            let task = TaskId {
                                job: id,
                                occurrence: *number,
                                step: step as u16,
                                index: index as u32,
                            };
                            let run = live.number;
                            (RunId { task, run }, live)
                        })
                    })
                })
            })
    }

    fn step_mut(&mut self, id: &StepId) -> Option<&mut StepState> {
        let spec = &self.spec;
        let occurrence = self
            .occurrences
            .entry(id.occurrence)
            .or_insert_with(|| Occurrence {
                steps: spec.steps.iter().map(|s| StepState::new(s.count)).collect(),
                is_done: false,
            });
        occurrence.steps.get_mut(usize::from(id.step))
    }

    /// Whether the task of a run that was placed is still to be done.
    fn is_open(&self, run: &RunId) -> bool {
        let step = self.step(&run.task.step_id());
        let task = step.and_then(|step| step.tasks.get(run.task.index as usize));
        task.is_some_and(|task| !task.is_done && run.run <= task.last_run)
    }

    /// Takes a run off the live ones; false when it was none.
    fn take_live(&mut self, run: &RunId) -> bool {
        let Some(step) = self.step_mut(&run.task.step_id()) else {
            return false;
        };
        let Some(task) = step.tasks.get_mut(run.task.index as usize) else {
            return false;
        };
        let before = task.live.len();
        task.live.retain(|live| live.number != run.run);
        let was_live = task.live.len() < before;
        if was_live && task.live.is_empty() && !task.is_done {
            step.running -= 1;
        }
        was_live
    }

    /// One member's progress is valid for its whole gang, and all members must start from the same.
    fn note_checkpoint(&mut self, run: &RunId, gang: Gang, checkpoint: &str) {
        let Some(step) = self.step_mut(&run.task.step_id()) else {
            return;
        };
        for (index, task) in step.tasks.iter_mut().enumerate() {
            if gang != Gang::No || index == run.task.index as usize {
                task.checkpoint = Some(checkpoint.to_owned());
            }
        }
    }

    /// One member's end stands for its whole gang.
    fn note_done(&mut self, run: &RunId, gang: Gang, at_unix_ms: u64) {
        let number = run.task.occurrence;
        let Some(step) = self.step_mut(&run.task.step_id()) else {
            return;
        };
        for (index, task) in step.tasks.iter_mut().enumerate() {
            let counts = gang != Gang::No || index == run.task.index as usize;
            if counts && !task.is_done {
                task.is_done = true;
                step.done += 1;
                if !task.live.is_empty() {
                    step.running -= 1;
                }
            }
        }
        let Some(occurrence) = self.occurrences.get_mut(&number) else {
            return;
        };
        let is_done = |step: &StepState| step.done as usize == step.tasks.len();
        if !occurrence.is_done && occurrence.steps.iter().all(is_done) {
            occurrence.is_done = true;
            self.occurrences_done += 1;
        }
        let all_done = self.occurrences_done == self.spec.occurrences();
        if all_done && self.phase == Phase::Active {
            self.finish(Phase::Completed, at_unix_ms);
        }
    }

    fn note_failed(&mut self, run: &RunId, gang: Gang, at_unix_ms: u64) {
        let attempts = self.terms.attempts.max(1);
        let Some(step) = self.step_mut(&run.task.step_id()) else {
            return;
        };
        // A gang fails as one: its failures are counted with its first member.
        let index = match gang {
            Gang::No => run.task.index as usize,
            Gang::AnyRack | Gang::SameRack => 0,
        };
        let task = &mut step.tasks[index];
        if task.is_done {
            return;
        }
        task.failures += 1;
        if task.failures >= attempts && self.phase == Phase::Active {
            self.finish(Phase::Failed, at_unix_ms);
        }
    }

    fn finish(&mut self, phase: Phase, at_unix_ms: u64) {
        self.phase = phase;
        self.over_unix_ms = at_unix_ms;
    }
}

impl Task {
    fn elsewhere(shard: ShardId) -> Self {
        Self {
            elsewhere: Some(shard),
            ..Self::default()
        }
    }
}

impl StepState {
    fn new(count: u32) -> Self {
        Self {
            tasks: vec![Task::default(); count as usize],
            done: 0,
            running: 0,
        }
    }
}
