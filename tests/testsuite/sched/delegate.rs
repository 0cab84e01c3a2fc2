//! Delegation of interrupted long-running tasks to a shard with free capacity.

mod guests;

use super::{
    paused,
    world::{StoreBehaviour, World, home, owns, step, terms, until},
};
use assert_matches::assert_matches;
use lapisdrum::{
    core::time::Millis,
    sched::{
        Cx, front,
        job::{JobId, JobSpec, RawJob, RunNumber, Step, TaskId},
        layout::ShardId,
        ledger::Phase,
        owner::{
            delegate::{GuestTasks, Returned, TaskNeed, best_offer},
            jobs,
        },
        peer::{
            self, AdoptReply, CancelReply, JobState, OwnerReply, OwnerRequest, ShowReply,
            SubmitReply,
        },
    },
};
use std::{rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};

const LIMIT: Duration = Duration::from_secs(10);
/// Longest time from the loss of a worker until its tasks run in another shard: the lapse of its lease and a few
/// seconds.
const RETURN_LIMIT: Duration = Duration::from_secs(15);
const SHARDS: [ShardId; 2] = [ShardId(0), ShardId(1)];

/// Tasks of two cores that run until they are cancelled; a worker has room for two.
fn long_running(count: u32) -> Vec<Step> {
    let mut step = step(count, 600_000, &[]);
    step.size.millicores = 2_000;
    step.is_long_running = true;
    vec![step]
}

/// Long-running tasks that serve users.
fn serving(count: u32, millicores: u64) -> Vec<Step> {
    let mut step = step(count, 600_000, &[]);
    step.size.millicores = millicores;
    step.is_long_running = true;
    step.image = Some("maps".to_owned());
    step.latency_target_ms = Some(100);
    vec![step]
}

/// What one of these tasks requires.
fn need(millicores: u64) -> TaskNeed {
    TaskNeed {
        pool: terms().pool,
        size: serving(1, millicores)[0].size,
        required_label: None,
    }
}

/// Four workers in each shard, and daemons, of which each owns one shard at most.
struct Cluster {
    world: Rc<World>,
    daemons: Vec<Cx>,
}

impl Cluster {
    /// A cluster of two shards.
    async fn start(names: &[&str]) -> Self {
        Self::with_shards(&SHARDS, names).await
    }

    async fn with_shards(shards: &[ShardId], names: &[&str]) -> Self {
        let world = World::new(4 * shards.len());
        world.workers_per_shard.set(4);
        let daemons: Vec<Cx> = names.iter().map(|name| world.daemon(name)).collect();
        let cluster = Self { world, daemons };
        for shard in shards {
            until("the shard is owned", LIMIT, async || {
                cluster.owner_of(*shard).is_some()
            })
            .await;
        }
        // Time for the owners to claim their workers.
        sleep(Duration::from_secs(2)).await;
        cluster
    }

    fn owner_of(&self, shard: ShardId) -> Option<&Cx> {
        self.daemons.iter().find(|cx| owns(cx, shard))
    }

    fn workers_of(&self, shard: ShardId) -> Vec<String> {
        let layout = self.daemons[0].layout.borrow().clone().expect("a layout");
        let racks = layout.racks.iter().filter(|(_, of)| **of == shard);
        racks.map(|(rack, _)| rack.clone()).collect()
    }

    /// Ids of jobs whose home is this shard.
    fn ids(&self, shard: ShardId) -> impl Iterator<Item = u64> {
        let cx = Rc::clone(&self.daemons[0]);
        (1..).filter(move |id| home(&cx, *id) == shard)
    }

    /// Submits a job to a shard, and waits until all of its tasks run. Returns its id.
    async fn run_job(&self, shard: ShardId, steps: Vec<Step>) -> JobId {
        let known = self.world.running();
        let is_new = |id: &u64| known.iter().all(|run| run.task.job != JobId(*id));
        let id = self.ids(shard).find(is_new).expect("an id");
        let tasks = steps[0].count as usize;
        let owner = self.owner_of(shard).expect("an owner").clone();
        let submitted = self.world.submit(&owner, id, steps).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("its tasks run", LIMIT, async || {
            self.running_of(JobId(id)) == tasks
        })
        .await;
        JobId(id)
    }

    fn running_of(&self, job: JobId) -> usize {
        let running = self.world.running();
        running.iter().filter(|run| run.task.job == job).count()
    }

    /// Asks the owner of a shard for an offer, as another shard does.
    fn offer(&self, shard: ShardId, need: &TaskNeed, wanted: u32) -> Option<u32> {
        let cx = self.owner_of(shard).expect("an owner");
        let owner = cx.handle(shard).owner.borrow().clone();
        owner.expect("an owner").offer_capacity(cx, need, wanted)
    }

    /// Crashes the workers that run a job's tasks.
    fn crash_workers_of(&self, job: JobId, shard: ShardId) {
        for worker in self.workers_of(shard) {
            let runs = self.world.running_on(&worker);
            if runs.iter().any(|run| run.task.job == job) {
                self.world.crash(&worker);
            }
        }
    }

    /// Fills three of the first shard's four workers with a job, and crashes two of them for good. The shard has free
    /// capacity for two of the four interrupted tasks. Returns the job's id.
    async fn interrupt_job(&self) -> u64 {
        let id = self.ids(SHARDS[0]).next().expect("an id");
        let owner = self.owner_of(SHARDS[0]).expect("an owner").clone();
        let submitted = self.world.submit(&owner, id, long_running(6)).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("all run", LIMIT, async || self.world.running().len() == 6).await;
        let workers = self.workers_of(SHARDS[0]);
        let occupied = workers
            .iter()
            .filter(|w| !self.world.running_on(w).is_empty());
        for worker in occupied.take(2) {
            self.world.crash(worker);
        }
        id
    }

    /// Like [`Self::interrupt_job`], and waits until the other shard runs two tasks of the job.
    async fn delegate_tasks(&self) -> u64 {
        let id = self.interrupt_job().await;
        until("tasks are adopted", LIMIT * 2, async || {
            self.running_in(SHARDS[1]) == 2
        })
        .await;
        id
    }

    /// Crashes the workers of the second shard that run tasks of this job, after filling the others there.
    async fn interrupt_delegated_tasks(&self, id: u64) {
        let owner = self.owner_of(SHARDS[1]).expect("an owner").clone();
        let other = self.ids(SHARDS[1]).next().expect("an id");
        let submitted = self.world.submit(&owner, other, long_running(6)).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("the other shard is full", LIMIT, async || {
            self.running_in(SHARDS[1]) == 8
        })
        .await;
        let workers = self.workers_of(SHARDS[1]);
        let runs_job = |worker: &&String| {
            let runs = self.world.running_on(worker);
            runs.iter().any(|run| run.task.job == JobId(id))
        };
        for worker in workers.iter().filter(runs_job) {
            self.world.crash(worker);
        }
    }

    /// Restarts the crashed workers of a shard, which are the ones that run nothing.
    fn restart_workers(&self, shard: ShardId) {
        for worker in self.workers_of(shard) {
            if self.world.running_on(&worker).is_empty() {
                self.world.restart(&worker);
            }
        }
    }

    /// Like [`Self::delegate_tasks`], and waits until the second shard has journaled the return of both tasks, which
    /// were interrupted there.
    async fn return_tasks(&self) -> u64 {
        let id = self.delegate_tasks().await;
        self.interrupt_delegated_tasks(id).await;
        let owner = self.owner_of(SHARDS[1]).expect("an owner").clone();
        until("the tasks are returned", LIMIT * 2, async || {
            returned_tasks(&owner, SHARDS[1], id) == 2
        })
        .await;
        id
    }

    /// Number of running tasks of a job, over all shards.
    fn running_tasks(&self, id: u64) -> usize {
        let running = self.world.running();
        running
            .iter()
            .filter(|run| run.task.job == JobId(id))
            .count()
    }

    fn running_in(&self, shard: ShardId) -> usize {
        let workers = self.workers_of(shard);
        workers.iter().map(|w| self.world.running_on(w).len()).sum()
    }
}

/// Guards against tasks that are delegated to a shard whose capacity is held by long-running tasks, and wait there for
/// ever.
#[test]
fn a_shard_full_of_long_running_tasks_offers_no_capacity() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let cx = cluster.owner_of(SHARDS[1]).expect("an owner").clone();
        let id = cluster.ids(SHARDS[1]).next().expect("an id");
        let steps = long_running(8);
        let need = TaskNeed {
            pool: "pool".to_owned(),
            size: steps[0].size,
            required_label: None,
        };
        let offer = || {
            let owner = cx.handle(SHARDS[1]).owner.borrow().clone();
            owner.expect("an owner").offer_capacity(&cx, &need, 8)
        };
        let submitted = cluster.world.submit(&cx, id, steps.clone()).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("all run", LIMIT, async || {
            cluster.running_in(SHARDS[1]) == 8
        })
        .await;
        assert_eq!(offer(), Some(0));
    });
}

/// Guards against reads of leases at the rate of requests for offers, which delay the take-over that they wait for.
#[test]
fn a_request_for_an_offer_reads_no_lease() {
    paused(async {
        let world = World::new(1);
        let cx = world.idle_daemon("a");
        let offer = front::free_capacity_offer(&cx, &cx.handle(SHARDS[1]), &need(1_000), 1).await;
        assert_eq!(offer, None);
        assert_eq!(world.lease_reads.get(), 0);
    });
}

/// Guards against long-running tasks that wait for ever while another shard has free hosts.
#[test]
fn a_task_without_capacity_is_delegated_to_another_shard() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let id = cluster.interrupt_job().await;
        until("all run again", LIMIT * 2, async || {
            cluster.world.running().len() == 6
        })
        .await;
        assert_eq!(cluster.running_in(SHARDS[0]), 4);
        assert_eq!(cluster.running_in(SHARDS[1]), 2);
        let owner = cluster.owner_of(SHARDS[0]).expect("an owner").clone();
        let shown = cluster.world.state(&owner, id).await;
        assert_eq!(shown, Some(JobState::Running));
        cluster.world.check();
    });
}

/// Guards against interrupted tasks that wait for ever because new tasks wait in every shard with free capacity.
#[test]
fn waiting_new_tasks_take_no_capacity_from_interrupted_ones() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let owner = cluster.owner_of(SHARDS[1]).expect("an owner").clone();
        let id = cluster.ids(SHARDS[1]).next().expect("an id");
        let mut wide = long_running(8);
        wide[0].size.millicores = 5_000;
        let submitted = cluster.world.submit(&owner, id, wide).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        cluster.delegate_tasks().await;
        cluster.world.check();
    });
}

/// Guards against a task that waits for ever because larger interrupted tasks wait in the shard that has free capacity for it.
#[test]
fn interrupted_tasks_that_fit_nowhere_take_nothing_off_an_offer() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let small = cluster.run_job(SHARDS[0], serving(1, 1_500)).await;
        let wide = cluster.run_job(SHARDS[1], serving(2, 4_000)).await;
        cluster.run_job(SHARDS[0], serving(3, 4_000)).await;
        cluster.run_job(SHARDS[1], serving(2, 2_500)).await;
        cluster.crash_workers_of(wide, SHARDS[1]);
        sleep(Duration::from_secs(3)).await;
        cluster.crash_workers_of(small, SHARDS[0]);
        until("the small task runs again", LIMIT * 2, async || {
            cluster.running_of(small) == 1
        })
        .await;
        assert_eq!(cluster.running_of(wide), 0);
        cluster.world.check();
    });
}

/// Guards against capacity that is offered to another shard although an interrupted task of its own waits for it.
#[test]
fn own_interrupted_tasks_that_fit_come_before_offers() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        cluster.run_job(SHARDS[0], serving(4, 4_000)).await;
        cluster.run_job(SHARDS[1], serving(2, 4_000)).await;
        cluster.run_job(SHARDS[1], serving(1, 2_500)).await;
        let mut short = vec![step(1, 60_000, &[])];
        short[0].size.millicores = 1_500;
        cluster.run_job(SHARDS[1], short).await;
        let own = cluster.run_job(SHARDS[1], serving(1, 1_500)).await;
        let smaller = need(1_000);
        assert_eq!(cluster.offer(SHARDS[1], &smaller, 1), Some(1));
        cluster.crash_workers_of(own, SHARDS[1]);
        sleep(LIMIT).await;
        assert_eq!(cluster.running_of(own), 0);
        assert_eq!(cluster.offer(SHARDS[1], &smaller, 1), Some(0));
        cluster.world.check();
    });
}

/// Guards against tasks that wait because capacity was offered to another task that took a different offer.
#[test]
fn an_offer_that_was_not_taken_is_released() {
    paused(async {
        let shards = [ShardId(0), ShardId(1), ShardId(2)];
        let cluster = Cluster::with_shards(&shards, &["a", "b", "c"]).await;
        for shard in shards {
            cluster.run_job(shard, serving(3, 4_000)).await;
        }
        let first = cluster.run_job(shards[0], serving(1, 1_400)).await;
        for shard in &shards[1..] {
            cluster.run_job(*shard, serving(1, 2_500)).await;
        }
        let second = cluster.run_job(shards[0], serving(1, 1_500)).await;
        cluster.crash_workers_of(first, shards[0]);
        assert_eq!(cluster.running_of(second), 0);
        until("both run again", LIMIT * 2, async || {
            cluster.running_of(first) + cluster.running_of(second) == 2
        })
        .await;
        let starts = cluster.world.starts.borrow();
        let (last, before) = (starts[starts.len() - 1].0, starts[starts.len() - 2].0);
        let apart = last - before;
        assert!(apart < Duration::from_millis(700), "{apart:?} apart");
        cluster.world.check();
    });
}

/// Guards against tasks that wait because capacity counts as offered after the task that it was offered to was adopted.
#[test]
fn an_offer_ends_when_its_task_is_adopted() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let job = cluster.run_job(SHARDS[0], long_running(6)).await;
        cluster.run_job(SHARDS[1], serving(3, 4_000)).await;
        for worker in cluster.workers_of(SHARDS[0]).iter().take(2) {
            cluster.world.crash(worker);
        }
        until("all run again", LIMIT * 2, async || {
            cluster.running_of(job) == 6
        })
        .await;
        assert_eq!(cluster.running_in(SHARDS[1]), 5);
        let starts = cluster.world.starts.borrow();
        let of_job = starts.iter().rev();
        let of_job = of_job.filter(|(_, run, _)| run.task.job == job);
        let delegated: Vec<_> = of_job.take(2).collect();
        let apart = delegated[0].0 - delegated[1].0;
        assert!(apart < Duration::from_millis(700), "{apart:?} apart");
        cluster.world.check();
    });
}

/// Guards against capacity that is offered again while a shard may still use an equal offer.
#[test]
fn a_release_leaves_an_equal_offer_to_another_shard() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        cluster.run_job(SHARDS[0], serving(4, 4_000)).await;
        cluster.run_job(SHARDS[1], serving(2, 4_000)).await;
        cluster.run_job(SHARDS[1], serving(2, 2_500)).await;
        let need = need(1_500);
        let offers = |wanted: [u32; 5]| wanted.map(|n| cluster.offer(SHARDS[1], &need, n));
        let offered = offers([1, 1, 1, 0, 1]);
        assert_eq!(offered, [Some(1), Some(1), Some(0), Some(0), Some(1)]);
        assert_eq!(offers([1; 5]), [Some(0); 5]);
    });
}

/// Guards against capacity that is offered again while a shard may still use the larger of two offers.
#[test]
fn a_release_takes_back_the_smaller_of_two_offers() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let need = need(1_500);
        let offer = |wanted| cluster.offer(SHARDS[1], &need, wanted);
        assert_eq!([2, 1, 0].map(offer), [Some(2), Some(1), Some(0)]);
        let left = (0..8).filter(|_| offer(1) == Some(1)).count();
        assert_eq!(left, 6);
    });
}

/// Guards against a delegated job that is shown or cancelled as one of the shard that adopted its tasks.
#[test]
fn the_other_shard_does_not_answer_for_the_job() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let id = cluster.delegate_tasks().await;
        let other = cluster.owner_of(SHARDS[1]).expect("an owner").clone();
        let handle = other.handle(SHARDS[1]);
        let owner = handle.owner.borrow().clone().expect("an owner");
        let shown = jobs::show(&other, &owner, JobId(id)).await;
        assert_eq!(shown, ShowReply::Unknown);
        let cancelled = jobs::cancel(&other, &owner, JobId(id)).await;
        assert_eq!(cancelled, CancelReply::UnknownJob);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(cluster.running_in(SHARDS[1]), 2);
    });
}

/// Guards against tasks that keep running in another shard after their job was cancelled.
#[test]
fn a_cancel_reaches_the_shard_that_runs_the_tasks() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let id = cluster.delegate_tasks().await;
        let owner = cluster.owner_of(SHARDS[0]).expect("an owner").clone();
        let cancelled = cluster.world.cancel(&owner, id).await;
        assert_eq!(cancelled, CancelReply::Done);
        until("nothing runs", Duration::from_secs(2), async || {
            cluster.world.running().is_empty()
        })
        .await;
        sleep(LIMIT).await;
        assert!(cluster.world.running().is_empty());
        cluster.world.check();
    });
}

/// Guards against a cancel that is lost because it comes while the tasks are being adopted.
#[test]
fn a_cancel_during_a_delegation_reaches_the_other_shard() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let id = cluster.interrupt_job().await;
        let owner = cluster.owner_of(SHARDS[0]).expect("an owner").clone();
        let other = cluster.owner_of(SHARDS[1]).expect("an owner").clone();
        until("the delegation is decided", LIMIT * 2, async || {
            is_delegated(&owner, SHARDS[0])
        })
        .await;
        cluster
            .world
            .set_slow_txn(Duration::from_millis(700), Duration::ZERO);
        cluster
            .world
            .set_store(&other.cfg.name, StoreBehaviour::Slow);
        sleep(Duration::from_millis(300)).await;
        let cancelled = cluster.world.cancel(&owner, id).await;
        assert_eq!(cancelled, CancelReply::Done);
        sleep(Duration::from_secs(5)).await;
        assert!(cluster.world.running().is_empty());
        cluster.world.check();
    });
}

/// Guards against tasks that no shard runs, or two: the owner ends between its decision and the delegation.
#[test]
fn a_successor_completes_a_delegation() {
    paused(async {
        let cluster = Cluster::start(&["a", "b", "c"]).await;
        cluster.interrupt_job().await;
        let owner = cluster.owner_of(SHARDS[0]).expect("an owner").clone();
        until("the delegation is decided", LIMIT * 2, async || {
            is_delegated(&owner, SHARDS[0])
        })
        .await;
        cluster
            .world
            .set_store(&owner.cfg.name, StoreBehaviour::Unavailable);
        until("all run again", LIMIT * 3, async || {
            cluster.world.running().len() == 6
        })
        .await;
        sleep(LIMIT).await;
        assert_eq!(cluster.world.running().len(), 6);
        cluster.world.check();
    });
}

/// Number of tasks of a job that this shard adopted and that have no live run.
fn waiting_tasks(cx: &Cx, shard: ShardId, id: u64) -> usize {
    let handle = cx.handle(shard);
    let owner = handle.owner.borrow().clone().expect("an owner");
    let ledger = owner.ledger.borrow();
    let job = &ledger.jobs[&JobId(id)];
    let waiting = job
        .tasks(JobId(id))
        .filter(|(_, task)| task.elsewhere.is_none() && task.live.is_empty());
    waiting.count()
}

/// Number of tasks of a job that this shard adopted and returned.
fn returned_tasks(cx: &Cx, shard: ShardId, id: u64) -> usize {
    let handle = cx.handle(shard);
    let owner = handle.owner.borrow().clone().expect("an owner");
    let ledger = owner.ledger.borrow();
    let job = &ledger.jobs[&JobId(id)];
    let returned = job
        .tasks(JobId(id))
        .filter(|(_, task)| task.elsewhere.is_some() && task.last_run > RunNumber::default());
    returned.count()
}

/// The highest number of a run of a job that was started.
fn last_run_of(cluster: &Cluster, id: u64) -> RunNumber {
    let starts = cluster.world.starts.borrow();
    let of_job = starts
        .iter()
        .filter(|(_, run, _)| run.task.job == JobId(id));
    let numbers = of_job.map(|(_, run, _)| run.run);
    numbers.max().unwrap_or_default()
}

/// The phase of a job in this shard.
fn phase_in(cx: &Cx, shard: ShardId, id: u64) -> Option<Phase> {
    let handle = cx.handle(shard);
    let owner = handle.owner.borrow().clone()?;
    let ledger = owner.ledger.borrow();
    ledger.jobs.get(&JobId(id)).map(|job| job.phase)
}

fn is_delegated(cx: &Cx, shard: ShardId) -> bool {
    let handle = cx.handle(shard);
    let owner = handle.owner.borrow().clone();
    owner.is_some_and(|owner| {
        let ledger = owner.ledger.borrow();
        let mut jobs = ledger.jobs.iter();
        jobs.any(|(id, job)| !job.delegated(*id).is_empty())
    })
}

/// Guards against adopted tasks that are lost with the owner that adopted them.
#[test]
fn adopted_tasks_outlive_their_owner() {
    paused(async {
        let cluster = Cluster::start(&["a", "b", "c"]).await;
        let id = cluster.delegate_tasks().await;
        let adopter = cluster.owner_of(SHARDS[1]).expect("an owner").clone();
        cluster
            .world
            .set_store(&adopter.cfg.name, StoreBehaviour::Unavailable);
        until("other daemons own the shards", LIMIT * 2, async || {
            let others = cluster
                .daemons
                .iter()
                .filter(|cx| !Rc::ptr_eq(cx, &adopter));
            let owned = |shard| others.clone().any(|cx| owns(cx, shard));
            SHARDS.into_iter().all(owned)
        })
        .await;
        sleep(LIMIT).await;
        assert_eq!(cluster.world.running().len(), 6);
        let task = TaskId {
            job: JobId(id),
            occurrence: 0,
            step: 0,
            index: 0,
        };
        assert!(cluster.world.starts_of(&task) <= 2);
        cluster.world.check();
    });
}

/// Guards against a delegated task that waits for ever after it is interrupted in a shard that has no other capacity.
#[test]
fn a_delegated_task_that_is_interrupted_again_runs_where_there_is_capacity() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let id = cluster.delegate_tasks().await;
        cluster.interrupt_delegated_tasks(id).await;
        cluster.restart_workers(SHARDS[0]);
        until("all tasks of the job run again", RETURN_LIMIT, async || {
            cluster.running_tasks(id) == 6
        })
        .await;
        sleep(LIMIT).await;
        assert_eq!(cluster.running_tasks(id), 6);
        cluster.world.check();
    });
}

/// Guards against an adopted task that waits for ever because the offered capacity was gone before the task ran.
#[test]
fn an_adopted_task_without_its_capacity_runs_where_there_is_some() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let id = cluster.interrupt_job().await;
        let owner = cluster.owner_of(SHARDS[0]).expect("an owner").clone();
        let other = cluster.owner_of(SHARDS[1]).expect("an owner").clone();
        until("the delegation is decided", LIMIT * 2, async || {
            is_delegated(&owner, SHARDS[0])
        })
        .await;
        cluster
            .world
            .set_slow_txn(Duration::from_millis(700), Duration::ZERO);
        cluster
            .world
            .set_store(&other.cfg.name, StoreBehaviour::Slow);
        for worker in cluster.workers_of(SHARDS[1]) {
            cluster.world.crash(&worker);
        }
        sleep(Duration::from_secs(2)).await;
        cluster.world.set_store(&other.cfg.name, StoreBehaviour::Up);
        cluster.restart_workers(SHARDS[0]);
        until("all tasks of the job run again", RETURN_LIMIT, async || {
            cluster.running_tasks(id) == 6
        })
        .await;
        assert_eq!(cluster.running_in(SHARDS[0]), 6);
        cluster.world.check();
    });
}

/// Guards against a delegated task that is returned again and again although short tasks free its capacity in seconds.
#[test]
fn a_delegated_task_waits_where_short_tasks_end() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let id = cluster.interrupt_job().await;
        let owner = cluster.owner_of(SHARDS[0]).expect("an owner").clone();
        let other = cluster.owner_of(SHARDS[1]).expect("an owner").clone();
        until("tasks wait", LIMIT * 2, async || {
            waiting_tasks(&owner, SHARDS[0], id) > 0
        })
        .await;
        let backlog = cluster.ids(SHARDS[1]).next().expect("an id");
        let short = vec![step(100, 4_000, &[])];
        let submitted = cluster.world.submit(&other, backlog, short).await;
        assert_matches!(submitted, SubmitReply::Accepted);
        until("all tasks of the job run", LIMIT * 2, async || {
            cluster.running_tasks(id) == 6
        })
        .await;
        assert_eq!(last_run_of(&cluster, id), RunNumber(2));
        cluster.world.check();
    });
}

/// Guards against a returned task that waits for ever because its second delegation to a shard counts as confirmed.
#[test]
fn a_returned_task_is_delegated_to_the_same_shard_again() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let id = cluster.return_tasks().await;
        sleep(Duration::from_secs(1)).await;
        cluster.restart_workers(SHARDS[1]);
        until("all tasks of the job run again", RETURN_LIMIT, async || {
            cluster.running_tasks(id) == 6
        })
        .await;
        assert_eq!(cluster.running_in(SHARDS[1]), 8);
        cluster.world.check();
    });
}

/// Guards against a task that is delegated for ever to a shard which offers capacity and can't use it, while another
/// shard has room.
#[test]
fn a_returned_task_goes_to_another_shard_that_offers() {
    // Equal offers are taken in the order of the shards.
    for (wrong, right) in [(1, 2), (2, 1)] {
        paused(run_beside_wrong_offer(ShardId(wrong), ShardId(right)));
    }
}

/// Interrupts two tasks that can't share a worker. One shard has a single worker with room and offers it to both tasks.
async fn run_beside_wrong_offer(wrong: ShardId, right: ShardId) {
    let home = ShardId(0);
    let cluster = Cluster::with_shards(&[home, wrong, right], &["a", "b", "c"]).await;
    cluster.run_job(wrong, serving(3, 4_000)).await;
    cluster.run_job(right, serving(4, 3_000)).await;
    cluster.run_job(home, serving(2, 4_000)).await;
    let mut limited = long_running(2);
    limited[0].size.millicores = 1_000;
    limited[0].max_per_worker = Some(1);
    let job = cluster.run_job(home, limited).await;
    cluster.crash_workers_of(job, home);
    until("both run again", RETURN_LIMIT * 2, async || {
        cluster.running_of(job) == 2
    })
    .await;
    cluster.world.check();
}

/// Guards against a job that stays active in a shard which has returned its tasks.
#[test]
fn a_cancel_reaches_the_shard_that_returned_the_tasks() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let id = cluster.return_tasks().await;
        cluster.restart_workers(SHARDS[0]);
        until("all tasks of the job run again", RETURN_LIMIT, async || {
            cluster.running_tasks(id) == 6
        })
        .await;
        let owner = cluster.owner_of(SHARDS[0]).expect("an owner").clone();
        let other = cluster.owner_of(SHARDS[1]).expect("an owner").clone();
        let cancelled = cluster.world.cancel(&owner, id).await;
        assert_eq!(cancelled, CancelReply::Done);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(cluster.running_tasks(id), 0);
        assert_eq!(phase_in(&other, SHARDS[1], id), Some(Phase::Cancelled));
        cluster.world.check();
    });
}

/// Guards against a task that runs although its job was cancelled while the task was on its way back.
#[test]
fn a_cancel_during_a_return_reaches_the_other_shard() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let id = cluster.return_tasks().await;
        let owner = cluster.owner_of(SHARDS[0]).expect("an owner").clone();
        let other = cluster.owner_of(SHARDS[1]).expect("an owner").clone();
        let cancelled = cluster.world.cancel(&owner, id).await;
        assert_eq!(cancelled, CancelReply::Done);
        cluster.restart_workers(SHARDS[0]);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(cluster.running_tasks(id), 0);
        assert_eq!(phase_in(&other, SHARDS[1], id), Some(Phase::Cancelled));
        cluster.world.check();
    });
}

/// Guards against a returned task that no shard runs, or two: the owner of the job's shard ends before it takes the
/// task back.
#[test]
fn a_return_reaches_the_successor_of_an_owner() {
    paused(async {
        let cluster = Cluster::start(&["a", "b", "c"]).await;
        let id = cluster.delegate_tasks().await;
        cluster.interrupt_delegated_tasks(id).await;
        let owner = cluster.owner_of(SHARDS[0]).expect("an owner").clone();
        let other = cluster.owner_of(SHARDS[1]).expect("an owner").clone();
        until("the tasks wait again", LIMIT * 2, async || {
            waiting_tasks(&other, SHARDS[1], id) == 2
        })
        .await;
        // The owner still holds its shard when the tasks are returned, but can't journal this.
        sleep(Duration::from_millis(900)).await;
        cluster
            .world
            .set_store(&owner.cfg.name, StoreBehaviour::Unavailable);
        cluster.restart_workers(SHARDS[0]);
        until("all tasks of the job run again", LIMIT * 3, async || {
            cluster.running_tasks(id) == 6
        })
        .await;
        sleep(LIMIT).await;
        assert_eq!(cluster.running_tasks(id), 6);
        cluster.world.check();
    });
}

/// Guards against an adoption of more tasks than a journal event holds, which the store would refuse for good.
#[test]
fn an_adoption_of_many_tasks_is_durable() {
    paused(async {
        let cluster = Cluster::start(&["a", "b"]).await;
        let to = SHARDS[1];
        let job = JobId(cluster.ids(SHARDS[0]).next().expect("an id"));
        let steps: Vec<Step> = (0..2).flat_map(|_| long_running(10_000)).collect();
        let task = |at: u32| TaskId {
            job,
            occurrence: 0,
            step: (at / 10_000) as u16,
            index: at % 10_000,
        };
        cluster.world.register_steps(job.0, steps.clone());
        let raw = RawJob {
            payload: String::new(),
            steps,
            schedule: None,
        };
        let guests = GuestTasks {
            job,
            spec: JobSpec::try_from(raw).expect("a valid job"),
            terms: terms(),
            from: SHARDS[0],
            tasks: (0..20_000).map(|at| (task(at), RunNumber(1))).collect(),
            is_over: false,
        };
        let cx = cluster.owner_of(to).expect("an owner");
        let adopting = peer::answer(cx, to, OwnerRequest::Adopt(guests));
        let reply = timeout(LIMIT, adopting).await;
        assert_matches!(reply, Ok(OwnerReply::Adopted(AdoptReply::Adopted)));
    });
}

/// Guards against a task that alternates between shards which offer most and refuse it, and never gets to one that would
/// take it.
#[test]
fn a_task_gets_to_each_shard_that_offers_capacity() {
    let task = TaskId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let refusing = 12;
    let mut offers: Vec<(ShardId, u32)> = (1..=refusing).map(|at| (ShardId(at), 8)).collect();
    let taker = ShardId(refusing + 1);
    offers.push((taker, 1));
    let mut returned = Returned::default();
    let mut now = Millis(0);
    let mut tries = 0;
    loop {
        let (to, _) = best_offer(&offers, &returned.avoided(&task, now)).expect("an offer");
        if to == taker {
            break;
        }
        tries += 1;
        assert!(tries <= refusing, "{to:?} is tried again");
        now = now + Duration::from_millis(2_500);
        returned.note(task, to, now);
    }
    let only = &offers[..1];
    let again = best_offer(only, &returned.avoided(&task, now));
    assert_eq!(
        again,
        Some(only[0]),
        "a shard that returned it is better than none"
    );
}
