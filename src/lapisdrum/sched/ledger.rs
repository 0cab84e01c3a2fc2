//! State of a shard's jobs and its transitions, without I/O.
//!
//! Events change the state through [`Ledger::apply`] only. It validates each event against the
//! state, so that a decision based on stale state is rejected before it is journaled, instead of
//! becoming visible later as a task that runs twice. A replay of the journal passes the same
//! checks.

mod moves;

pub use moves::MovingJob;

use super::{
    event::{Event, RunEnd, RunId, WorkerIncarnation},
    job::{Gang, JobId, JobSpec, MAX_TASKS_PER_STEP, QueueConfig, RunNumber, Step, StepId, TaskId},
    layout::ShardId,
    numbers::NumberSet,
};
use indexmap::{IndexMap, IndexSet};
use std::{collections::BTreeMap, fmt, rc::Rc};

/// Tasks of waiting occurrences of one job that a dispatch pass considers: as many as a single step
/// may have.
const WINDOW_TASKS: u64 = MAX_TASKS_PER_STEP as u64;

data! {
    /// State of a job; every variant but [`Active`](Self::Active) is final.
    #[derive(Copy)]
    pub enum Phase {
        /// Accepted and not ended.
        Active,
        /// Every task is done.
        Completed,
        /// A task or gang used up the attempts that the queue allows.
        Failed,
        /// Cancelled on request.
        Cancelled,
    }

    /// A run that may be alive.
    pub struct LiveRun {
        /// Greater than the number of every earlier run of the task.
        pub number: RunNumber,
        /// Incarnation of the worker that the run was placed on.
        pub on: WorkerIncarnation,
    }

    /// State of one task.
    #[derive(Default)]
    pub struct Task {
        /// Whether a run of the task, or of any member of its gang, has completed it.
        pub is_done: bool,
        /// Runs that may be alive; more than one only if the step is speculative.
        pub live: Vec<LiveRun>,
        /// Number of the latest run, also of one in the shard that delegated the task; 0 if there
        /// was none.
        pub last_run: RunNumber,
        /// Number of failed runs; those of a gang are counted at its first member.
        pub failures: u32,
        /// Number of the last run that was counted as failed; 0 if there was none.
        #[serde(default, skip_serializing_if = "is_default")]
        pub last_failed_run: RunNumber,
        /// Latest checkpoint that a run returned; the next run starts from it.
        #[serde(default, skip_serializing_if = "is_default")]
        pub checkpoint: Option<String>,
        /// The other shard that runs the task, if any.
        #[serde(default, skip_serializing_if = "is_default")]
        pub elsewhere: Option<ShardId>,
    }

    /// State of a step in one occurrence.
    pub struct StepState {
        /// Indexed by [`TaskId::index`].
        pub tasks: Vec<Task>,
        /// Number of tasks that are done.
        pub done: u32,
        /// Number of tasks that are not done and have a live run.
        pub running: u32,
    }

    /// State of one occurrence of a job.
    pub struct Occurrence {
        /// Indexed by [`TaskId::step`].
        pub steps: Vec<StepState>,
        /// Whether every task of every step is done.
        pub is_done: bool,
    }

    /// State of a job.
    pub struct Job {
        /// The specification as submitted; without the payload once the job has ended and none of
        /// its runs may be alive.
        pub spec: Rc<JobSpec>,
        /// Settings of the queue, as the catalogue had them at submission.
        pub terms: QueueConfig,
        /// Time of acceptance, in Unix milliseconds.
        pub accepted_unix_ms: u64,
        /// By number; an occurrence is added when one of its tasks is first placed or adopted. That
        /// of a schedule is removed when it is done and none of its runs may be alive, and all are
        /// removed when the job has ended and none of its runs may be alive.
        pub occurrences: BTreeMap<u32, Occurrence>,
        /// Occurrences that are done.
        pub occurrences_done: DoneOccurrences,
        /// Whether a run that has ended had started, or a task was delegated; always true if
        /// `is_guest`. A placement is no evidence that the run starts.
        pub has_started: bool,
        /// Whether and how the job has ended.
        pub phase: Phase,
        /// Time of the end, in Unix milliseconds; 0 while the job is active.
        pub over_unix_ms: u64,
        /// Whether the job belongs to another shard, which delegated some of its tasks to this one.
        #[serde(default)]
        pub is_guest: bool,
        /// The shard that owns the job, for a guest; `None` for one recorded by an earlier version.
        #[serde(default)]
        pub home: Option<ShardId>,
        /// Shards that adopted and returned tasks: each one still has to learn the job's end.
        #[serde(default)]
        pub returned_by: IndexSet<ShardId>,
        /// Data centre of the daemon that received the job, where callers share capacity.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub data_centre: Option<String>,
        /// The job's home, if the job waited there and moved here.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub moved_from: Option<ShardId>,
    }
}

data! {
    /// Occurrences of a job that are done.
    #[derive(Default)]
    #[serde(from = "StoredDone", into = "StoredDone")]
    pub struct DoneOccurrences {
        /// How many there are.
        pub count: u32,
        /// Those of a schedule that have no state any more: their number is not bounded, and each
        /// snapshot has the state of the others.
        pub dropped: NumberSet,
    }

    /// [`DoneOccurrences`] as stored. A process of an earlier version, which would run dropped
    /// occurrences again, reads the count only and fails to read the other form.
    #[serde(untagged)]
    enum StoredDone {
        Count(u32),
        WithDropped { count: u32, dropped: NumberSet },
    }
}

/// Whether a value is left out of a snapshot, of which tasks in this state are the larger part.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl From<StoredDone> for DoneOccurrences {
    fn from(stored: StoredDone) -> Self {
        let (count, dropped) = match stored {
            StoredDone::Count(count) => (count, NumberSet::default()),
            StoredDone::WithDropped { count, dropped } => (count, dropped),
        };
        Self { count, dropped }
    }
}

impl From<DoneOccurrences> for StoredDone {
    fn from(done: DoneOccurrences) -> Self {
        let DoneOccurrences { count, dropped } = done;
        match dropped.is_empty() {
            true => Self::Count(count),
            false => Self::WithDropped { count, dropped },
        }
    }
}

data! {
    /// A job that was transferred to another shard.
    #[derive(Copy)]
    pub struct SentJob {
        /// The shard that receives the job.
        pub to: ShardId,
        /// Time of the decision, in Unix milliseconds.
        pub at_unix_ms: u64,
    }
}

/// An event that is not valid in the current state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidEvent {
    /// The job is unknown, exists already, or does not allow the event.
    Job(JobId),
    /// The task does not exist, its step may not start yet, or it may not be delegated.
    Task(TaskId),
    /// The run's number is not greater than the last one, or the task may not have another run.
    Run(RunId),
    /// The job has not ended, so it may not be forgotten.
    NotEnded(JobId),
}

impl fmt::Display for InvalidEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Job(job) => write!(
                f,
                "job {job} is unknown, exists already or does not allow this event"
            ),
            Self::Task(task) => write!(f, "task {task} is unknown or does not allow this event"),
            Self::Run(run) => write!(
                f,
                "run {} of task {} may not be placed",
                run.run.0, run.task
            ),
            Self::NotEnded(job) => write!(f, "job {job} has not ended and cannot be forgotten"),
        }
    }
}

impl std::error::Error for InvalidEvent {}

/// All jobs that a shard knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Ledger {
    /// Jobs by id, in the order of their acceptance.
    #[serde(with = "indexmap::map::serde_seq")]
    pub jobs: IndexMap<JobId, Job>,
    /// Jobs whose home is this shard and that were transferred to another. A repeated submission
    /// goes to the same shard: if it were chosen by load again, two shards could accept the job.
    #[serde(with = "indexmap::map::serde_seq", default)]
    pub sent: IndexMap<JobId, SentJob>,
    /// Jobs on their way to another shard, which has not confirmed them; each is in [`Self::sent`] too.
    #[serde(
        with = "indexmap::map::serde_seq",
        default,
        skip_serializing_if = "IndexMap::is_empty"
    )]
    pub moving: IndexMap<JobId, MovingJob>,
    /// Unknown jobs that callers cancelled, with the time of the last cancellation in Unix
    /// milliseconds. They are refused if they arrive later.
    #[serde(
        with = "indexmap::map::serde_seq",
        default,
        skip_serializing_if = "IndexMap::is_empty"
    )]
    pub tombstones: IndexMap<JobId, u64>,
    /// In a snapshot: numbers of the journal rows that placed the long-running runs that may be
    /// alive. Empty otherwise, and in a snapshot of an earlier version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub placed_rows: Vec<(RunId, u64)>,
}

impl Ledger {
    /// Returns a task, or `None` if no task of its occurrence was placed yet.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        let occurrence = self.jobs.get(&id.job)?.occurrences.get(&id.occurrence)?;
        let step = occurrence.steps.get(usize::from(id.step))?;
        step.tasks.get(id.index as usize)
    }

    /// Returns a run, or `None` if it is not live.
    pub fn live(&self, run: &RunId) -> Option<&LiveRun> {
        let live = &self.task(&run.task)?.live;
        live.iter().find(|live| live.number == run.run)
    }

    /// Iterates over the runs of all jobs that may be alive.
    pub fn live_runs(&self) -> impl Iterator<Item = (RunId, &LiveRun)> {
        self.jobs.iter().flat_map(|(id, job)| job.live_runs(*id))
    }

    /// Returns the form in which an event is applied and journaled. A gang fails at most once in a
    /// run: after the first failed member, those that fail in the same run are recorded as
    /// [`RunEnd::GangBroken`]. [`Self::apply`] counts every recorded failure, as processes of earlier
    /// versions do: with another count the same journal would give another phase of the job, in which
    /// its later events are invalid.
    pub fn recorded(&self, mut event: Event) -> Event {
        if let Event::Ended { run, how, .. } = &mut event
            && *how == RunEnd::Failed
            && self.has_gang_failed(run)
        {
            *how = RunEnd::GangBroken;
        }
        event
    }

    /// Whether the run belongs to a gang and a failure of the gang in this run is counted.
    fn has_gang_failed(&self, run: &RunId) -> bool {
        let Some(job) = self.jobs.get(&run.task.job) else {
            return false;
        };
        let spec = job.spec.steps.get(usize::from(run.task.step));
        let is_gang = spec.is_some_and(|spec| spec.gang != Gang::No);
        let first = self.task(&run.task.step_id().task(0));
        is_gang && first.is_some_and(|first| first.last_failed_run == run.run)
    }

    /// Applies one event; on an error nothing is changed.
    pub fn apply(&mut self, event: &Event) -> Result<(), InvalidEvent> {
        match event {
            Event::Accepted {
                job,
                spec,
                terms,
                at_unix_ms,
                data_centre,
                moved_from,
            } => {
                let mut new = Job::new(spec, terms, *at_unix_ms);
                new.data_centre.clone_from(data_centre);
                new.moved_from = *moved_from;
                self.accept(*job, new)
            }
            Event::Placed { run, on } => self.place(run, on),
            Event::Ended {
                run,
                how,
                checkpoint,
                at_unix_ms,
            } => self.end(run, *how, checkpoint.as_deref(), *at_unix_ms),
            Event::Lost {
                run, is_unstarted, ..
            } => self.lose(run, *is_unstarted),
            Event::Cancelled { job, at_unix_ms } => self.cancel(*job, *at_unix_ms),
            Event::CancelledBeforeArrival { job, at_unix_ms } => self.bury(*job, *at_unix_ms),
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
                self.adopt(*job, new, *from, tasks)
            }
            Event::Forgotten { job } => self.forget(*job),
            Event::Returned { task, to, last_run } => self.give_back(task, *to, *last_run),
            Event::TakenBack {
                task,
                from,
                last_run,
            } => self.take_back(task, *from, *last_run),
            Event::Moved {
                job,
                to,
                at_unix_ms,
            } => self.start_move(*job, *to, *at_unix_ms),
            Event::MoveConfirmed { job } => self.confirm_move(*job),
        }
    }

    /// Applies an event of the journal that [`Ledger::apply`] refuses for `why`, if an earlier
    /// version wrote it: it placed tasks that a guest had not adopted, and numbered the runs of
    /// later occurrences from 1. A placed run may be alive, so it is recorded, but its task stays
    /// where it is. The return of a task that is not here, or with a number that is too low, had no
    /// effect in the job's shard either.
    pub fn apply_earlier(&mut self, event: &Event, why: InvalidEvent) -> Result<(), InvalidEvent> {
        let is_guest = |id: &JobId| self.jobs.get(id).is_some_and(|job| job.is_guest);
        match event {
            Event::Placed { run, on } if is_guest(&run.task.job) => self.place_earlier(run, on),
            Event::Returned { task, .. } if is_guest(&task.job) => Ok(()),
            _ => Err(why),
        }
    }

    fn place_earlier(&mut self, run: &RunId, on: &WorkerIncarnation) -> Result<(), InvalidEvent> {
        let id = run.task;
        let job = self.job_mut(id.job)?;
        let home = job.home.ok_or(InvalidEvent::Job(id.job))?;
        job.add_occurrence_elsewhere(id.occurrence, home);
        let step = job.step_mut(&id.step_id()).ok_or(InvalidEvent::Task(id))?;
        let task = step.tasks.get_mut(id.index as usize);
        let task = task.ok_or(InvalidEvent::Task(id))?;
        if task.is_done || !task.live.is_empty() {
            return Err(InvalidEvent::Run(*run));
        }
        step.running += 1;
        if task.elsewhere.is_none() {
            task.last_run = task.last_run.max(run.run);
        }
        task.live.push(LiveRun {
            number: run.run,
            on: on.clone(),
        });
        Ok(())
    }

    /// A job that moves here was accepted by its home, which answers for it until then, so a tombstone
    /// does not apply to it.
    fn accept(&mut self, id: JobId, new: Job) -> Result<(), InvalidEvent> {
        let is_cancelled = self.tombstones.contains_key(&id) && new.moved_from.is_none();
        if self.is_known(id) || is_cancelled {
            return Err(InvalidEvent::Job(id));
        }
        self.tombstones.shift_remove(&id);
        self.jobs.insert(id, new);
        Ok(())
    }

    /// Whether the shard has the job, runs tasks of it, or has sent it to another shard.
    pub fn is_known(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id) || self.sent.contains_key(&id)
    }

    fn bury(&mut self, id: JobId, at_unix_ms: u64) -> Result<(), InvalidEvent> {
        if self.is_known(id) {
            return Err(InvalidEvent::Job(id));
        }
        self.tombstones.insert(id, at_unix_ms);
        Ok(())
    }

    /// Delegates a long-running task without a live run. Only the other shard can return it, since
    /// it may adopt the task at any later time.
    fn delegate(&mut self, id: &TaskId, to: ShardId) -> Result<(), InvalidEvent> {
        let job = self.job_mut(id.job)?;
        let step = job.spec.steps.get(usize::from(id.step));
        let is_delegable = step.is_some_and(|step| step.is_long_running && step.gang == Gang::No);
        if job.phase != Phase::Active || job.is_guest || !is_delegable {
            return Err(InvalidEvent::Task(*id));
        }
        let task = job.task_mut(id).ok_or(InvalidEvent::Task(*id))?;
        if !task.live.is_empty() || task.elsewhere.is_some() {
            return Err(InvalidEvent::Task(*id));
        }
        task.elsewhere = Some(to);
        // The other shard does not report when the task starts there.
        job.has_started = true;
        Ok(())
    }

    /// Takes tasks of another shard's job. A repeat changes nothing, nor does one that comes after
    /// the job was cancelled or the task was returned: a return uses up a greater number. All other
    /// tasks of the job stay elsewhere.
    fn adopt(
        &mut self,
        id: JobId,
        new: impl FnOnce() -> Job,
        from: ShardId,
        tasks: &[(TaskId, RunNumber)],
    ) -> Result<(), InvalidEvent> {
        let job = self.jobs.entry(id).or_insert_with(new);
        if !job.is_guest {
            return Err(InvalidEvent::Job(id));
        }
        job.home = Some(from);
        for (task, last_run) in tasks {
            job.add_occurrence_elsewhere(task.occurrence, from);
            let task = job.task_mut(task).ok_or(InvalidEvent::Task(*task))?;
            if task.elsewhere.is_some() && *last_run >= task.last_run {
                task.elsewhere = None;
                task.last_run = *last_run;
            }
        }
        Ok(())
    }

    /// Returns an adopted task without a live run to the shard that owns the job.
    fn give_back(
        &mut self,
        id: &TaskId,
        to: ShardId,
        last_run: RunNumber,
    ) -> Result<(), InvalidEvent> {
        let job = self.job_mut(id.job)?;
        if !job.is_guest || job.phase != Phase::Active {
            return Err(InvalidEvent::Job(id.job));
        }
        let task = job.task_mut(id).ok_or(InvalidEvent::Task(*id))?;
        let is_here = task.elsewhere.is_none();
        if !is_here || !task.live.is_empty() || last_run <= task.last_run {
            return Err(InvalidEvent::Task(*id));
        }
        task.elsewhere = Some(to);
        task.last_run = last_run;
        Ok(())
    }

    /// Takes a delegated task back. A repeated or late return is invalid: its number is not greater
    /// than that of the return before, from which each later delegation starts.
    fn take_back(
        &mut self,
        id: &TaskId,
        from: ShardId,
        last_run: RunNumber,
    ) -> Result<(), InvalidEvent> {
        let job = self.job_mut(id.job)?;
        if job.is_guest || job.phase != Phase::Active {
            return Err(InvalidEvent::Job(id.job));
        }
        let task = job.task_mut(id).ok_or(InvalidEvent::Task(*id))?;
        if task.elsewhere != Some(from) || last_run <= task.last_run {
            return Err(InvalidEvent::Task(*id));
        }
        task.elsewhere = None;
        task.last_run = last_run;
        job.returned_by.insert(from);
        Ok(())
    }

    fn send(&mut self, id: JobId, to: ShardId, at_unix_ms: u64) -> Result<(), InvalidEvent> {
        if self.is_known(id) || self.tombstones.contains_key(&id) {
            return Err(InvalidEvent::Job(id));
        }
        self.sent.insert(id, SentJob { to, at_unix_ms });
        Ok(())
    }

    fn job_mut(&mut self, id: JobId) -> Result<&mut Job, InvalidEvent> {
        self.jobs.get_mut(&id).ok_or(InvalidEvent::Job(id))
    }

    fn place(&mut self, run: &RunId, on: &WorkerIncarnation) -> Result<(), InvalidEvent> {
        let id = run.task;
        let job = self.job_mut(id.job)?;
        if job.phase != Phase::Active || id.occurrence >= job.spec.occurrences() {
            return Err(InvalidEvent::Job(id.job));
        }
        if !job.may_start(id.occurrence, usize::from(id.step)) {
            return Err(InvalidEvent::Task(id));
        }
        let is_speculative = job.spec.steps[usize::from(id.step)].is_speculative;
        let step = job.step_mut(&id.step_id()).ok_or(InvalidEvent::Task(id))?;
        let task = step
            .tasks
            .get_mut(id.index as usize)
            .ok_or(InvalidEvent::Task(id))?;
        let is_free = task.live.is_empty() || is_speculative;
        if task.is_done || task.elsewhere.is_some() || !is_free || run.run <= task.last_run {
            return Err(InvalidEvent::Run(*run));
        }
        if task.live.is_empty() {
            step.running += 1;
        }
        task.last_run = run.run;
        task.live.push(LiveRun {
            number: run.run,
            on: on.clone(),
        });
        Ok(())
    }

    /// The end of a run that is not live is a repeat and has no effect, except [`RunEnd::Done`]: a
    /// run that was given up because its worker was unreachable may have completed there, and the
    /// work need not be repeated.
    fn end(
        &mut self,
        run: &RunId,
        how: RunEnd,
        checkpoint: Option<&str>,
        at_unix_ms: u64,
    ) -> Result<(), InvalidEvent> {
        let id = run.task;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return Ok(());
        };
        let spec = Rc::clone(&job.spec);
        let step_spec = spec
            .steps
            .get(usize::from(id.step))
            .ok_or(InvalidEvent::Task(id))?;
        let was_live = job.take_live(run);
        let is_late_completion = how == RunEnd::Done && job.is_unfinished(run);
        if !was_live && !is_late_completion {
            return Ok(());
        }
        job.has_started = true;
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
        job.drop_if_over(id.occurrence);
        job.drop_if_ended();
        Ok(())
    }

    fn lose(&mut self, run: &RunId, is_unstarted: bool) -> Result<(), InvalidEvent> {
        if let Some(job) = self.jobs.get_mut(&run.task.job) {
            let was_live = job.take_live(run);
            job.has_started |= was_live && !is_unstarted;
            job.drop_if_over(run.task.occurrence);
            job.drop_if_ended();
        }
        Ok(())
    }

    fn cancel(&mut self, id: JobId, at_unix_ms: u64) -> Result<(), InvalidEvent> {
        let job = self.job_mut(id)?;
        if job.phase == Phase::Active {
            job.finish(Phase::Cancelled, at_unix_ms);
            job.drop_if_ended();
        }
        Ok(())
    }

    fn forget(&mut self, id: JobId) -> Result<(), InvalidEvent> {
        if self.moving.contains_key(&id) {
            return Err(InvalidEvent::NotEnded(id));
        }
        let is_dropped = self.sent.shift_remove(&id).is_some();
        if is_dropped || self.tombstones.shift_remove(&id).is_some() {
            return Ok(());
        }
        let job = self.jobs.get(&id).ok_or(InvalidEvent::Job(id))?;
        if job.phase == Phase::Active {
            return Err(InvalidEvent::NotEnded(id));
        }
        self.jobs.shift_remove(&id);
        Ok(())
    }
}

impl Job {
    fn new(spec: &Rc<JobSpec>, terms: &QueueConfig, at_unix_ms: u64) -> Self {
        Self {
            spec: Rc::clone(spec),
            terms: terms.clone(),
            accepted_unix_ms: at_unix_ms,
            occurrences: BTreeMap::new(),
            occurrences_done: DoneOccurrences::default(),
            has_started: false,
            phase: Phase::Active,
            over_unix_ms: 0,
            is_guest: false,
            home: None,
            returned_by: IndexSet::new(),
            data_centre: None,
            moved_from: None,
        }
    }

    /// Creates the state of another shard's job before any of its tasks is adopted.
    fn guest(spec: &Rc<JobSpec>, terms: &QueueConfig, from: ShardId, at_unix_ms: u64) -> Self {
        let mut job = Self::new(spec, terms, at_unix_ms);
        job.add_occurrence_elsewhere(0, from);
        job.has_started = true;
        job.is_guest = true;
        job.home = Some(from);
        job
    }

    /// Adds an occurrence that has no state yet, with all tasks in the job's shard.
    fn add_occurrence_elsewhere(&mut self, number: u32, home: ShardId) {
        let tasks = |step: &Step| StepState {
            tasks: vec![Task::elsewhere(home); step.count as usize],
            done: 0,
            running: 0,
        };
        let new = || Occurrence {
            steps: self.spec.steps.iter().map(tasks).collect(),
            is_done: false,
        };
        self.occurrences.entry(number).or_insert_with(new);
    }

    fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let step = self.step_mut(&id.step_id())?;
        step.tasks.get_mut(id.index as usize)
    }

    /// Iterates over the tasks of all occurrences that have state; `id` is the job's own id.
    pub fn tasks(&self, id: JobId) -> impl Iterator<Item = (TaskId, &Task)> {
        let steps = self.occurrences.iter().flat_map(|(number, occurrence)| {
            let steps = occurrence.steps.iter().enumerate();
            steps.map(move |(step, state)| (*number, step, state))
        });
        steps.flat_map(move |(occurrence, step, state)| {
            let tasks = state.tasks.iter().enumerate();
            tasks.map(move |(index, task)| {
                let task_id = TaskId {
                    job: id,
                    occurrence,
                    step: step as u16,
                    index: index as u32,
                };
                (task_id, task)
            })
        })
    }

    /// Tasks that are delegated to other shards, by shard, with the numbers of their last runs in
    /// this one. A shard that has returned all of its tasks has none. Empty for a guest.
    pub fn delegated(&self, id: JobId) -> IndexMap<ShardId, Vec<(TaskId, RunNumber)>> {
        let mut by_shard: IndexMap<ShardId, Vec<(TaskId, RunNumber)>> = IndexMap::new();
        if self.is_guest {
            return by_shard;
        }
        for shard in &self.returned_by {
            by_shard.entry(*shard).or_default();
        }
        for (task_id, task) in self.tasks(id) {
            if let Some(to) = task.elsewhere {
                let tasks = by_shard.entry(to).or_default();
                tasks.push((task_id, task.last_run));
            }
        }
        by_shard
    }

    /// Number of tasks of a step in the first occurrence that this shard runs itself.
    pub fn own_task_count(&self, step: usize) -> u64 {
        self.count_tasks_except(step, |task| task.elsewhere.is_some())
    }

    /// Number of tasks of a step in the first occurrence that `is_excluded` does not match.
    fn count_tasks_except(&self, step: usize, is_excluded: impl Fn(&Task) -> bool) -> u64 {
        let state = self.occurrences.get(&0).and_then(|o| o.steps.get(step));
        let excluded = |state: &StepState| {
            let tasks = state.tasks.iter();
            tasks.filter(|task| is_excluded(task)).count() as u64
        };
        let count = self.spec.steps.get(step).map_or(0, |step| step.count);
        u64::from(count) - state.map_or(0, excluded)
    }

    /// Returns a step's state, or `None` if no task of its occurrence was placed yet.
    pub fn step(&self, id: &StepId) -> Option<&StepState> {
        let occurrence = self.occurrences.get(&id.occurrence)?;
        occurrence.steps.get(usize::from(id.step))
    }

    /// Whether every step that `step` depends on is done in this occurrence. A guest does not know
    /// the state of the other steps: the specification that it records has no dependencies, and in
    /// one recorded by an earlier version they do not apply to the first occurrence, of which it has
    /// adopted tasks only.
    pub fn may_start(&self, occurrence: u32, step: usize) -> bool {
        let Some(spec) = self.spec.steps.get(step) else {
            return false;
        };
        if self.is_guest && occurrence == 0 {
            return true;
        }
        let is_done = |before: &u16| {
            let occurrence = self.occurrences.get(&occurrence);
            let state = occurrence.and_then(|o| o.steps.get(usize::from(*before)));
            state.is_some_and(|state| state.done as usize == state.tasks.len())
        };
        spec.after.iter().all(is_done)
    }

    /// Returns the number of tasks that are not done and have a live run.
    pub fn running(&self) -> u32 {
        let steps = self.occurrences.values().flat_map(|o| &o.steps);
        steps.map(|step| step.running).sum()
    }

    /// Iterates over the runs of this job that may be alive; `id` is the job's own id.
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

    /// Occurrences that are due and not done, in order, as far as a dispatch pass looks: all that
    /// run, and of the others as many as have [`WINDOW_TASKS`] tasks. An occurrence beyond waits for
    /// one before it, which the same workers would run. Without the limit, a schedule that started
    /// long ago would have more occurrences than a process can list. For a guest, those with adopted
    /// tasks: a task is delegated only once it is due, and nothing is known of other occurrences.
    pub fn startable_occurrences(&self, now_unix_ms: u64) -> Vec<u32> {
        if self.is_guest {
            return self.occurrences.keys().copied().collect();
        }
        let due = self.spec.due_occurrences(now_unix_ms);
        let tasks_each: u64 = self.spec.steps.iter().map(|s| u64::from(s.count)).sum();
        let (mut listed, mut tasks, mut next) = (Vec::new(), 0, 0);
        while next < due && tasks < WINDOW_TASKS {
            if let Some(end) = self.occurrences_done.dropped.end_of_range(next) {
                next = end;
                continue;
            }
            let state = self.occurrences.get(&next);
            if state.is_none_or(|state| !state.is_done) {
                listed.push(next);
            }
            if state.is_none_or(|state| !state.is_done && !state.is_running()) {
                tasks += tasks_each;
            }
            next += 1;
        }
        let beyond = self.occurrences.range(next.min(due)..due);
        let running = beyond.filter(|(_, state)| !state.is_done && state.is_running());
        listed.extend(running.map(|(number, _)| *number));
        listed
    }

    /// Drops the state of a scheduled occurrence that is done and has no live run. Later reports of
    /// its runs change nothing.
    fn drop_if_over(&mut self, number: u32) {
        let state = self.occurrences.get(&number);
        let is_over = state.is_some_and(|state| state.is_done && !state.has_live_run());
        if is_over && self.spec.schedule.is_some() {
            self.occurrences.remove(&number);
            self.occurrences_done.dropped.insert(number);
        }
    }

    /// Drops the payload and the state of all tasks of a job that has ended, once none of its runs
    /// may be alive. An ended job is kept for minutes, and these would be most of what a take-over
    /// reads. They are kept while tasks are in other shards, which still have to learn the end.
    fn drop_if_ended(&mut self) {
        let is_needed = |task: &Task| !task.live.is_empty() || task.elsewhere.is_some();
        let occurrences = self.occurrences.values();
        let mut tasks = occurrences.flat_map(|o| o.steps.iter().flat_map(|step| &step.tasks));
        if self.phase != Phase::Active && !self.is_guest && !tasks.any(is_needed) {
            self.occurrences.clear();
            if !self.spec.payload.is_empty() {
                Rc::make_mut(&mut self.spec).payload.clear();
            }
        }
    }

    fn step_mut(&mut self, id: &StepId) -> Option<&mut StepState> {
        if self.occurrences_done.dropped.contains(id.occurrence) {
            return None;
        }
        if self.phase != Phase::Active && !self.occurrences.contains_key(&id.occurrence) {
            return None;
        }
        if !self.is_guest {
            let spec = &self.spec;
            let new = || Occurrence {
                steps: spec.steps.iter().map(|s| StepState::new(s.count)).collect(),
                is_done: false,
            };
            self.occurrences.entry(id.occurrence).or_insert_with(new);
        }
        let occurrence = self.occurrences.get_mut(&id.occurrence)?;
        occurrence.steps.get_mut(usize::from(id.step))
    }

    /// Whether the run was placed and its task is not done.
    fn is_unfinished(&self, run: &RunId) -> bool {
        let step = self.step(&run.task.step_id());
        let task = step.and_then(|step| step.tasks.get(run.task.index as usize));
        task.is_some_and(|task| !task.is_done && run.run <= task.last_run)
    }

    /// Removes a run from the live runs; returns whether it was live.
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

    /// A checkpoint of one gang member applies to the whole gang, since all members must start from
    /// the same one.
    fn note_checkpoint(&mut self, run: &RunId, gang: Gang, checkpoint: &str) {
        let Some(step) = self.step_mut(&run.task.step_id()) else {
            return;
        };
        for (index, task) in step.tasks.iter_mut().enumerate() {
            let is_of_task = gang != Gang::No || index == run.task.index as usize;
            if is_of_task && !task.is_done {
                task.checkpoint = Some(checkpoint.to_owned());
            }
        }
    }

    /// The completion of one gang member completes the whole gang.
    fn note_done(&mut self, run: &RunId, gang: Gang, at_unix_ms: u64) {
        let number = run.task.occurrence;
        let Some(step) = self.step_mut(&run.task.step_id()) else {
            return;
        };
        for (index, task) in step.tasks.iter_mut().enumerate() {
            let counts = gang != Gang::No || index == run.task.index as usize;
            if counts && !task.is_done {
                task.is_done = true;
                task.checkpoint = None;
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
            self.occurrences_done.count += 1;
        }
        let all_done = self.occurrences_done.count == self.spec.occurrences();
        if all_done && self.phase == Phase::Active {
            self.finish(Phase::Completed, at_unix_ms);
        }
    }

    fn note_failed(&mut self, run: &RunId, gang: Gang, at_unix_ms: u64) {
        let attempts = self.terms.attempts.max(1);
        let Some(step) = self.step_mut(&run.task.step_id()) else {
            return;
        };
        // A gang fails as a whole, so its failures are counted at its first member.
        let index = match gang {
            Gang::No => run.task.index as usize,
            Gang::AnyRack | Gang::SameRack => 0,
        };
        let task = &mut step.tasks[index];
        if task.is_done {
            return;
        }
        task.failures += 1;
        task.last_failed_run = run.run;
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

impl Occurrence {
    fn has_live_run(&self) -> bool {
        let mut tasks = self.steps.iter().flat_map(|step| &step.tasks);
        tasks.any(|task| !task.live.is_empty())
    }

    /// Whether a task that is not done has a live run or is in another shard.
    fn is_running(&self) -> bool {
        let is_elsewhere = |task: &Task| task.elsewhere.is_some() && !task.is_done;
        let mut steps = self.steps.iter();
        steps.any(|step| step.running > 0 || step.tasks.iter().any(is_elsewhere))
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
