//! Task handling of a worker, without I/O: the rules that the scheduler requires of every worker.
//!
//! A command has no effect if its epoch is below the highest one seen, or if its lease end has passed
//! on the worker's clock. A task whose lease expires is stopped. An ended task is reported until a
//! stop acknowledges it.

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

/// Progress of a finished task, in thousandths.
const FINISHED_PERMILLE: u64 = 1_000;

/// Duration and outcome of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskPlan {
    /// Run time from no progress at full speed, in milliseconds; `None` for a task that never finishes.
    pub work_ms: Option<u64>,
    /// Interval between checkpoints, in milliseconds.
    pub checkpoint_ms: u64,
    /// Whether the task fails as soon as it starts.
    pub fails: bool,
}

/// One task on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Attempt that started the task.
    pub attempt: Attempt,
    /// Resources that the task uses.
    pub size: Size,
    /// End of the task's lease.
    pub until: WorkerMillis,
    /// State as reported to the scheduler.
    pub state: TaskState,
    /// Latest checkpoint, at first the one that the start order named.
    pub checkpoint: Option<Checkpoint>,
    /// When this worker started the task.
    pub started: WorkerMillis,
    /// When this worker started the task or last saved a checkpoint.
    pub changed: WorkerMillis,
    /// Speed in thousandths of full speed.
    pub speed_permille: u32,
    first_permille: u32,
    plan: TaskPlan,
}

/// All tasks of a worker and the highest epoch that it has seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tasks {
    /// The highest epoch seen.
    pub epoch: Epoch,
    /// Running tasks, and ended ones until a stop acknowledges them.
    pub tasks: IndexMap<JobId, Task>,
    /// Start of the worker; changes before it are unknown.
    pub since: WorkerMillis,
    capacity: Size,
}

impl Tasks {
    /// No tasks, on a worker with this capacity.
    pub fn new(capacity: Size) -> Self {
        Self {
            epoch: Epoch::default(),
            tasks: IndexMap::new(),
            since: WorkerMillis::default(),
            capacity,
        }
    }

    /// Accepts an epoch that is not below the highest one seen, and returns all tasks.
    pub fn claim(&mut self, epoch: Epoch) -> Result<Vec<TaskStatus>, RejectReason> {
        self.check_epoch(epoch)?;
        Ok(self.statuses())
    }

    /// Starts a task. A repeated start of the same attempt returns the task's status.
    pub fn start(
        &mut self,
        now: WorkerMillis,
        id: &JobId,
        start: &StartTask,
        plan: TaskPlan,
    ) -> Result<TaskStatus, RejectReason> {
        self.check_epoch(start.epoch)?;
        let until = check_lease_end(now, start.until_ms)?;
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

    /// Renews the leases of all tasks, those in `exceptions` to their own end, and returns what has
    /// changed. An expired lease is not renewed.
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
                && let Ok(until) = check_lease_end(now, until_ms)
            {
                task.until = task.until.max(until);
            }
        }
        Ok(self.changes(now, renew.known_ms))
    }

    /// Ended tasks and those changed since `known_ms`; all tasks if `known_ms` is 0 or before the
    /// start of the worker.
    fn changes(&self, now: WorkerMillis, known_ms: u64) -> TaskList {
        let is_complete = known_ms == 0 || known_ms < self.since.0;
        let is_reported = |task: &Task| {
            is_complete || task.state != TaskState::Running || task.changed.0 >= known_ms
        };
        let reported = self.tasks.iter().filter(|(_, task)| is_reported(task));
        let tasks = reported.map(|(id, task)| status(id, task)).collect();
        TaskList {
            tasks,
            is_complete,
            as_of_ms: now.0,
        }
    }

    /// Stops a running task, or removes an ended one.
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

    /// Sets a task's speed, in thousandths of full speed.
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

    /// Saves a checkpoint if the task runs.
    pub fn checkpoint(
        &mut self,
        now: WorkerMillis,
        id: &JobId,
        epoch: Epoch,
    ) -> Result<TaskStatus, RejectReason> {
        self.check_epoch(epoch)?;
        let task = self.tasks.get_mut(id).ok_or(RejectReason::UnknownTask)?;
        if task.state == TaskState::Running {
            save_checkpoint(id, task, now, progress(task, now));
        }
        Ok(status(id, task))
    }

    /// Advances to `now`: expires leases, finishes tasks and saves due checkpoints.
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
            if task.plan.work_ms.is_some() && u64::from(done) >= FINISHED_PERMILLE {
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
                save_checkpoint(id, task, now, due);
            }
        }
    }

    /// Total size of the running tasks.
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

    /// The status of each task.
    pub fn statuses(&self) -> Vec<TaskStatus> {
        self.tasks
            .iter()
            .map(|(id, task)| status(id, task))
            .collect()
    }
}

fn check_lease_end(now: WorkerMillis, until_ms: u64) -> Result<WorkerMillis, RejectReason> {
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
    let whole = (u64::from(task.first_permille) + gained).min(FINISHED_PERMILLE);
    u32::try_from(whole).unwrap_or(u32::MAX)
}

fn save_checkpoint(id: &JobId, task: &mut Task, now: WorkerMillis, progress_permille: u32) {
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
