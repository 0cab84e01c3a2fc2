//! What a worker does about tasks, without I/O: the rules that the scheduler asks of every worker.
//!
//! A command below the highest epoch seen, or whose end has passed on the worker's clock, does
//! nothing. A task whose lease runs out is stopped. A task's end is reported until a stop
//! acknowledges it.

use indexmap::IndexMap;
use lapisdrum::{
    core::{
        id::{Epoch, JobId},
        job::{Attempt, Checkpoint},
        size::Size,
        time::WorkerMillis,
    },
    worker::wire::{RejectReason, RenewTasks, StartTask, TaskList, TaskState, TaskStatus},
};

/// Thousandths in a whole.
const WHOLE_PERMILLE: u64 = 1_000;

/// How long tasks take and how they end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskPlan {
    /// Time for the whole work at full speed, in milliseconds; none for a task without an end.
    pub work_ms: Option<u64>,
    /// Time between two checkpoints, in milliseconds.
    pub checkpoint_ms: u64,
    /// Whether the task fails at once.
    pub fails: bool,
}

/// One task on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Its attempt.
    pub attempt: Attempt,
    /// What it takes.
    pub size: Size,
    /// Its lease's end.
    pub until: WorkerMillis,
    /// Its state.
    pub state: TaskState,
    /// Its last saved progress.
    pub checkpoint: Option<Checkpoint>,
    /// When it was started here.
    pub started: WorkerMillis,
    /// When it was started here or its checkpoint last changed.
    pub changed: WorkerMillis,
    /// Speed in thousandths.
    pub speed_permille: u32,
    first_permille: u32,
    plan: TaskPlan,
}

/// All tasks of a worker and the highest epoch that it has seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tasks {
    /// The highest epoch seen.
    pub epoch: Epoch,
    /// The tasks, ended ones until acknowledged.
    pub tasks: IndexMap<JobId, Task>,
    /// When the worker's software was started. It knows of no change before.
    pub since: WorkerMillis,
    capacity: Size,
}

impl Tasks {
    /// No tasks on a worker of this capacity.
    pub fn new(capacity: Size) -> Self {
        Self {
            epoch: Epoch::default(),
            tasks: IndexMap::new(),
            since: WorkerMillis::default(),
            capacity,
        }
    }

    /// Claims the worker for an epoch.
    pub fn claim(&mut self, epoch: Epoch) -> Result<Vec<TaskStatus>, RejectReason> {
        self.check_epoch(epoch)?;
        Ok(self.statuses())
    }

    /// Starts a task, or finds it started by the same attempt.
    pub fn start(
        &mut self,
        now: WorkerMillis,
        id: &JobId,
        start: &StartTask,
        plan: TaskPlan,
    ) -> Result<TaskStatus, RejectReason> {
        self.check_epoch(start.epoch)?;
        let until = check_end(now, start.until_ms)?;
        match self.tasks.get(id) {
            Some(task) if task.attempt == start.attempt => return Ok(status(id, task)),
            Some(task) if task.state == TaskState::Running => {
                return Err(RejectReason::OtherAttempt);
            }
            _ => {}
        }
        if !start.size.plus(&self.running_size()).fits(&self.capacity) {
            return Err(RejectReason::NoRoom);
        }
        let first_permille = start
            .checkpoint
            .as_ref()
            .map_or(0, |saved| saved.progress_permille);
        let task = Task {
            attempt: start.attempt,
            size: start.size,
            until,
            state: if plan.fails {
                TaskState::Failed
            } else {
                TaskState::Running
            },
            checkpoint: start.checkpoint.clone(),
            started: now,
            changed: now,
            speed_permille: 1_000,
            first_permille,
            plan,
        };
        let answer = status(id, &task);
        self.tasks.insert(id.clone(), task);
        Ok(answer)
    }

    /// Renews the leases of all running tasks but the exceptions, and reports what has changed. A
    /// task whose lease has run out is not brought back.
    pub fn renew(
        &mut self,
        now: WorkerMillis,
        renew: &RenewTasks,
    ) -> Result<TaskList, RejectReason> {
        self.check_epoch(renew.epoch)?;
        for (id, task) in &mut self.tasks {
            let exception = renew
                .exceptions
                .iter()
                .find(|exception| exception.task == *id);
            let until_ms = exception.map_or(renew.until_ms, |exception| exception.until_ms);
            if task.until >= now
                && let Ok(until) = check_end(now, until_ms)
            {
                task.until = task.until.max(until);
            }
        }
        Ok(self.changes(now, renew.known_ms))
    }

    /// Tasks that changed since a reading of the clock, and all ended ones; all of them where the
    /// reading is from before this software was started.
    fn changes(&self, now: WorkerMillis, known_ms: u64) -> TaskList {
        let is_complete = known_ms == 0 || known_ms < self.since.0;
        let is_news = |task: &Task| {
            is_complete || task.state != TaskState::Running || task.changed.0 >= known_ms
        };
        let news = self.tasks.iter().filter(|(_, task)| is_news(task));
        let tasks = news.map(|(id, task)| status(id, task)).collect();
        TaskList {
            tasks,
            is_complete,
            as_of_ms: now.0,
        }
    }

    /// Stops a running task; forgets an ended one.
    pub fn stop(&mut self, id: &JobId, epoch: Epoch) -> Result<TaskStatus, RejectReason> {
        self.check_epoch(epoch)?;
        let task = self.tasks.get_mut(id).ok_or(RejectReason::UnknownTask)?;
        if task.state == TaskState::Running {
            task.state = TaskState::Stopped;
            return Ok(status(id, task));
        }
        let answer = status(id, task);
        self.tasks.swap_remove(id);
        Ok(answer)
    }

    /// Sets a task's speed.
    pub fn throttle(
        &mut self,
        id: &JobId,
        epoch: Epoch,
        permille: u32,
    ) -> Result<TaskStatus, RejectReason> {
        self.check_epoch(epoch)?;
        let task = self.tasks.get_mut(id).ok_or(RejectReason::UnknownTask)?;
        task.speed_permille = permille;
        Ok(status(id, task))
    }

    /// Saves a task's progress now.
    pub fn checkpoint(
        &mut self,
        now: WorkerMillis,
        id: &JobId,
        epoch: Epoch,
    ) -> Result<TaskStatus, RejectReason> {
        self.check_epoch(epoch)?;
        let task = self.tasks.get_mut(id).ok_or(RejectReason::UnknownTask)?;
        if task.state == TaskState::Running {
            save(id, task, now, progress(task, now));
        }
        Ok(status(id, task))
    }

    /// Lets time pass: leases run out, work gets done, checkpoints are saved.
    pub fn tick(&mut self, now: WorkerMillis) {
        for (id, task) in &mut self.tasks {
            if task.state != TaskState::Running {
                continue;
            }
            if now > task.until {
                task.state = TaskState::Lapsed;
                continue;
            }
            let done = progress(task, now);
            if task.plan.work_ms.is_some() && u64::from(done) >= WHOLE_PERMILLE {
                task.state = TaskState::Finished;
                continue;
            }
            let ran = now.0.saturating_sub(task.started.0);
            let saved = task
                .checkpoint
                .as_ref()
                .map_or(0, |saved| saved.progress_permille);
            let due = ran / task.plan.checkpoint_ms.max(1) * task.plan.checkpoint_ms.max(1);
            let due = progress(task, WorkerMillis(task.started.0 + due));
            if task.plan.work_ms.is_some() && due > saved {
                save(id, task, now, due);
            }
        }
    }

    /// The sum of what runs.
    pub fn running_size(&self) -> Size {
        let running = self
            .tasks
            .values()
            .filter(|task| task.state == TaskState::Running);
        running.fold(Size::ZERO, |sum, task| sum.plus(&task.size))
    }

    fn check_epoch(&mut self, epoch: Epoch) -> Result<(), RejectReason> {
        if epoch < self.epoch {
            return Err(RejectReason::StaleEpoch);
        }
        self.epoch = epoch;
        Ok(())
    }

    /// Every task as it is reported.
    pub fn statuses(&self) -> Vec<TaskStatus> {
        self.tasks
            .iter()
            .map(|(id, task)| status(id, task))
            .collect()
    }
}

fn check_end(now: WorkerMillis, until_ms: u64) -> Result<WorkerMillis, RejectReason> {
    let until = WorkerMillis(until_ms);
    if until <= now {
        return Err(RejectReason::EndPassed);
    }
    Ok(until)
}

fn progress(task: &Task, now: WorkerMillis) -> u32 {
    let Some(work_ms) = task.plan.work_ms else {
        return 0;
    };
    let ran = now.0.saturating_sub(task.started.0) * u64::from(task.speed_permille);
    let gained = ran / work_ms.max(1);
    let whole = (u64::from(task.first_permille) + gained).min(WHOLE_PERMILLE);
    u32::try_from(whole).unwrap_or(u32::MAX)
}

fn save(id: &JobId, task: &mut Task, now: WorkerMillis, progress_permille: u32) {
    task.changed = now;
    let name = format!("{id}/{}/{progress_permille}", task.attempt.0);
    task.checkpoint = Some(Checkpoint {
        name,
        progress_permille,
    });
}

fn status(id: &JobId, task: &Task) -> TaskStatus {
    TaskStatus {
        task: id.clone(),
        attempt: task.attempt,
        state: task.state,
        checkpoint: task.checkpoint.clone(),
        message: (task.state == TaskState::Failed).then(|| "this worker fails it".to_owned()),
    }
}
