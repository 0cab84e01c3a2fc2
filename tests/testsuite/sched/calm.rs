//! Random stories of faults, and the rule that they are judged by: in calm an accepted long-running task runs if there
//! is free capacity for two of it.

use super::{paused, world::World};
use indexmap::IndexMap;
use lapisdrum::{
    core::size::Size,
    sched::job::{Step, TaskId},
};
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};
use std::{cell::RefCell, env, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// Calm time before the time in which a task has to run.
pub(super) const CALM: Duration = Duration::from_secs(4);
/// Time that a task may wait, in calm, while there is free capacity for it.
pub(super) const MAX_WAIT: Duration = Duration::from_secs(3);
/// Time since the last run of a task before its wait counts.
const AFTER_RUN: Duration = Duration::from_secs(6);
/// Time in calm for which tasks are watched.
pub(super) const WATCHED: Duration = Duration::from_secs(25);
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
const MAX_SHRINK_ITERS: u32 = 300;

/// A long-running task that waits although there is free capacity for two of it.
#[derive(Clone, Debug)]
#[expect(dead_code, reason = "printed when the test fails")]
pub(super) struct Waiting {
    task: TaskId,
    starts: usize,
    waited: Duration,
    fits: Vec<(String, u64)>,
}

/// When each task last ran.
#[derive(Default)]
pub(super) struct LastRuns(Rc<RefCell<IndexMap<TaskId, Instant>>>);

impl LastRuns {
    /// Notes in the background which tasks run.
    pub(super) fn sample(&self, world: &Rc<World>) {
        let (world, last_runs) = (Rc::clone(world), Rc::clone(&self.0));
        actix_rt::spawn(async move {
            loop {
                let now = Instant::now();
                let running = world.running().into_iter();
                let running = running.map(|run| (run.task, now));
                last_runs.borrow_mut().extend(running);
                sleep(SAMPLE_INTERVAL).await;
            }
        });
    }

    fn of(&self, task: &TaskId) -> Option<Instant> {
        self.0.borrow().get(task).copied()
    }
}

/// Number of tasks of this step that free capacity holds.
pub(super) fn tasks_within(free: &Size, step: &Step) -> u64 {
    let by_cores = free.millicores / step.size.millicores;
    let by_memory = free.memory_mb / step.size.memory_mb;
    by_cores.min(by_memory)
}

/// Watches long-running tasks from the end of all faults on; returns those that wait for too long. `fits` gives the
/// workers that a task may run on, and how many of it fit on each.
pub(super) async fn watch<'a>(
    world: &World,
    tasks: impl Iterator<Item = (&'a TaskId, &'a Step)> + Clone,
    last_runs: &LastRuns,
    faults_until: Instant,
    fits: impl Fn(&TaskId, &Step) -> Vec<(String, u64)>,
) -> Vec<Waiting> {
    let mut waits_since: IndexMap<TaskId, Instant> = IndexMap::new();
    let calm_from = faults_until.max(Instant::now());
    while calm_from.max(Instant::now()) - calm_from < WATCHED {
        let now = Instant::now();
        let running: Vec<TaskId> = world.running().iter().map(|run| run.task).collect();
        let mut stuck = Vec::new();
        for (task, step) in tasks.clone() {
            let ran = last_runs.of(task);
            let is_due = now >= calm_from + CALM
                && !running.contains(task)
                && ran.is_none_or(|ran| now - ran >= AFTER_RUN);
            let fits = fits(task, step);
            let count: u64 = fits.iter().map(|(_, count)| count).sum();
            if !is_due || count < 2 {
                waits_since.swap_remove(task);
                continue;
            }
            let waited = now - *waits_since.entry(*task).or_insert(now);
            if waited >= MAX_WAIT {
                let starts = world.starts_of(task);
                stuck.push(Waiting {
                    task: *task,
                    starts,
                    waited,
                    fits,
                });
            }
        }
        if !stuck.is_empty() {
            return stuck;
        }
        sleep(CHECK_INTERVAL).await;
    }
    Vec::new()
}

/// Runs random stories on the paused clock. The environment variables `<prefix>_CASES` and `<prefix>_SEED` override the
/// number of stories and the seed.
pub(super) fn run_stories<S, R>(prefix: &str, cases: u32, stories: &S, run: impl Fn(S::Value) -> R)
where
    S: Strategy,
    R: Future<Output = ()>,
{
    let from_env = |name| env::var(format!("{prefix}_{name}"));
    let cases = from_env("CASES").map_or(cases, |n| n.parse().expect("a number"));
    let seed = from_env("SEED").map_or(0, |n| n.parse().expect("a number"));
    let config = ProptestConfig {
        cases,
        max_shrink_iters: MAX_SHRINK_ITERS,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let run = |story| {
        paused(run(story));
        Ok(())
    };
    let found = TestRunner::new_with_rng(config, rng).run(stories, run);
    found.unwrap_or_else(|e| panic!("{e}"));
}
