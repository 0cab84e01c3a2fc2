//! Shards that adopted some tasks of a job with several occurrences or dependent steps: they start these tasks and no
//! others.

use super::{super::world::owned, *};
use lapisdrum::sched::{
    event::{Event, RunId, WorkerIncarnation},
    job::Schedule,
    journal::AppendOutcome,
};

/// Time in which a shard that would start more tasks does so, and a shard that can't start any returns them.
const SETTLED: Duration = Duration::from_secs(10);

impl Cluster {
    /// Submits a job to its home, whatever the load of other shards, and waits until this many tasks run.
    async fn run_at_home(&self, spec: JobSpec, tasks: usize) -> JobId {
        let known = self.world.running();
        let is_new = |id: &u64| known.iter().all(|run| run.task.job != JobId(*id));
        let id = self.ids(SHARDS[0]).find(is_new).expect("an id");
        let job = JobId(id);
        self.world.register_steps(id, spec.steps.clone());
        let request = OwnerRequest::Submit {
            job,
            spec,
            terms: terms(),
            is_sent: true,
        };
        let cx = self.owner_of(SHARDS[0]).expect("an owner");
        let reply = peer::answer(cx, SHARDS[0], request).await;
        assert_matches!(reply, OwnerReply::Submitted(SubmitReply::Accepted));
        // New long-running tasks leave some capacity to a short step that ended within seconds.
        until("its tasks run", LIMIT * 2, async || {
            let running = self.world.running();
            let long_running = |run: &&RunId| run.task.job == job && self.is_long_running(run);
            running.iter().filter(long_running).count() == tasks
        })
        .await;
        job
    }

    fn is_long_running(&self, run: &RunId) -> bool {
        let cx = self.owner_of(SHARDS[0]).expect("an owner");
        let owner = cx.handle(SHARDS[0]).owner.borrow().clone();
        let owner = owner.expect("an owner");
        let ledger = owner.ledger.borrow();
        let job = &ledger.jobs[&run.task.job];
        job.spec.steps[usize::from(run.task.step)].is_long_running
    }

    /// Fills the first shard, and crashes its workers with tasks of the job that `is_lost` matches. The other shard is
    /// empty.
    async fn lose_tasks(&self, job: JobId, is_lost: impl Fn(&TaskId) -> bool) {
        let free = 8 - self.running_in(SHARDS[0]);
        self.run_at_home(once(long_running(free as u32)), free)
            .await;
        for worker in self.workers_of(SHARDS[0]) {
            let runs = self.world.running_on(&worker);
            if runs
                .iter()
                .any(|run| run.task.job == job && is_lost(&run.task))
            {
                self.world.crash(&worker);
            }
        }
    }

    /// Waits until all tasks of a job run again, each of them once.
    async fn until_running(&self, job: JobId, tasks: usize) {
        until("all tasks of the job run again", RETURN_LIMIT, async || {
            self.world.check();
            self.running_of(job) == tasks
        })
        .await;
    }

    /// Waits until all tasks of a job run, of which the other shard runs some; afterwards each task has one run.
    async fn assert_settled(&self, job: JobId, tasks: usize, in_other_shard: usize) {
        self.until_running(job, tasks).await;
        sleep(SETTLED).await;
        assert_eq!(self.running_of(job), tasks);
        assert_eq!(self.running_in(SHARDS[1]), in_other_shard);
        self.world.check();
    }

    /// Cuts the owner of the other shard off from the store, so that another daemon takes the shard over.
    async fn replace_adopter(&self) {
        let adopter = self.owner_of(SHARDS[1]).expect("an owner").clone();
        self.world
            .set_store(&adopter.cfg.name, StoreBehaviour::Unavailable);
        until("another daemon owns the shard", LIMIT * 2, async || {
            let others = self.daemons.iter().filter(|cx| !Rc::ptr_eq(cx, &adopter));
            let owned = |shard| others.clone().any(|cx| owns(cx, shard));
            SHARDS.into_iter().all(owned)
        })
        .await;
    }
}

fn spec_of(steps: Vec<Step>, schedule: Option<Schedule>) -> JobSpec {
    let raw = RawJob {
        payload: String::new(),
        steps,
        schedule,
    };
    JobSpec::try_from(raw).expect("a valid job")
}

fn once(steps: Vec<Step>) -> JobSpec {
    spec_of(steps, None)
}

/// A long-running job with two occurrences, both due, of two tasks each.
fn twice(max_per_worker: Option<u32>) -> JobSpec {
    let schedule = Schedule {
        first_unix_ms: 0,
        interval_ms: 1,
        times: 2,
    };
    let mut steps = long_running(2);
    steps[0].max_per_worker = max_per_worker;
    spec_of(steps, Some(schedule))
}

/// A short step, and two long-running tasks that come after it.
fn dependent() -> JobSpec {
    let mut steps = vec![step(1, 100, &[])];
    steps.extend(long_running(2));
    steps[1].after = vec![0];
    once(steps)
}

/// Guards against a task that two shards run: the shard that adopted tasks of the first occurrence starts the second.
#[test]
fn a_shard_with_tasks_of_one_occurrence_starts_no_other() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let job = cluster.run_at_home(twice(None), 4).await;
        cluster.lose_tasks(job, |task| task.occurrence == 0).await;
        cluster.assert_settled(job, 4, 2).await;
    });
}

/// Guards against a task that two shards run: the shard that adopted one task of a later occurrence starts the others.
#[test]
fn a_shard_with_a_task_of_a_later_occurrence_starts_no_other() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let job = cluster.run_at_home(twice(Some(1)), 4).await;
        let is_lost = |task: &TaskId| task.occurrence == 1 && task.index == 0;
        cluster.lose_tasks(job, is_lost).await;
        cluster.assert_settled(job, 4, 2).await;
    });
}

/// Guards against a returned task of a later occurrence that no shard runs, or two.
#[test]
fn a_task_of_a_later_occurrence_is_returned() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let job = cluster.run_at_home(twice(None), 4).await;
        let owner = cluster.owner_of(SHARDS[0]).expect("an owner").clone();
        let other = cluster.owner_of(SHARDS[1]).expect("an owner").clone();
        cluster.lose_tasks(job, |task| task.occurrence == 1).await;
        until("the delegation is decided", LIMIT * 2, async || {
            is_delegated(&owner, SHARDS[0])
        })
        .await;
        let slow = Duration::from_millis(700);
        cluster.world.set_slow_txn(slow, Duration::ZERO);
        let world = &cluster.world;
        world.set_store(&other.cfg.name, StoreBehaviour::Slow);
        for worker in cluster.workers_of(SHARDS[1]) {
            world.crash(&worker);
        }
        sleep(Duration::from_secs(2)).await;
        world.set_store(&other.cfg.name, StoreBehaviour::Up);
        cluster.restart_workers(SHARDS[0]);
        cluster.assert_settled(job, 4, 0).await;
    });
}

/// Guards against a task that two shards run: the successor of the adopting owner starts another occurrence.
#[test]
fn a_successor_starts_no_other_occurrence() {
    paused(async {
        let cluster = Cluster::start(&["a", "b", "c"]).await;
        let job = cluster.run_at_home(twice(None), 4).await;
        cluster.lose_tasks(job, |task| task.occurrence == 0).await;
        cluster.until_running(job, 4).await;
        cluster.replace_adopter().await;
        cluster.assert_settled(job, 4, 2).await;
    });
}

/// Guards against a delegated task that never runs because the adopting shard waits for steps that it doesn't know to
/// be done.
#[test]
fn a_delegated_task_of_a_dependent_step_runs_again() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let job = cluster.run_at_home(dependent(), 2).await;
        cluster.lose_tasks(job, |task| task.step == 1).await;
        cluster.assert_settled(job, 2, 2).await;
        let other = cluster.owner_of(SHARDS[1]).expect("an owner");
        let owner = other.handle(SHARDS[1]).owner.borrow().clone();
        let owner = owner.expect("an owner");
        // An earlier version could not replay the placement with the dependency in the row.
        let ledger = owner.ledger.borrow();
        let steps = &ledger.jobs[&job].spec.steps;
        assert!(steps.iter().all(|step| step.after.is_empty()));
    });
}

/// Guards against an adopted task of a dependent step that the next owner of the shard doesn't run again.
#[test]
fn a_task_of_a_dependent_step_outlives_its_owner() {
    paused(async {
        let cluster = Cluster::start(&["a", "b", "c"]).await;
        let job = cluster.run_at_home(dependent(), 2).await;
        cluster.lose_tasks(job, |task| task.step == 1).await;
        cluster.until_running(job, 2).await;
        cluster.replace_adopter().await;
        cluster.crash_workers_of(job, SHARDS[1]);
        cluster.assert_settled(job, 2, 2).await;
    });
}

/// Guards against a shard that no daemon recovers, since an earlier version started tasks of a job that it had not
/// adopted.
#[test]
fn a_shard_is_recovered_from_rows_of_an_earlier_version() {
    paused(async {
        let world = World::new(1);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        let job = JobId(1);
        let task = |occurrence| TaskId {
            job,
            occurrence,
            step: 0,
            index: 0,
        };
        let adopted = Event::Adopted {
            job,
            spec: Rc::new(twice(None)),
            terms: terms(),
            from: SHARDS[1],
            tasks: vec![(task(0), RunNumber(1))],
            at_unix_ms: 0,
        };
        let run = RunId {
            task: task(1),
            run: RunNumber(1),
        };
        let on = WorkerIncarnation {
            worker: "w0".to_owned(),
            started_unix_ms: 1,
        };
        let owner = first.handle(SHARDS[0]).owner.borrow().clone();
        let owner = owner.expect("an owner");
        let written = owner.journal.append(&[adopted, Event::Placed { run, on }]);
        assert_eq!(written.outcome().await, AppendOutcome::Durable);
        // Nobody learns that the run isn't there.
        world.cut("w0", true);
        world.set_store("a", StoreBehaviour::Unavailable);
        let next = world.daemon("b");
        until("the shard is recovered", LIMIT * 2, async || {
            owns(&next, SHARDS[0])
        })
        .await;
        let owner = next.handle(SHARDS[0]).owner.borrow().clone();
        let owner = owner.expect("an owner");
        assert!(owner.ledger.borrow().live(&run).is_some());
    });
}
