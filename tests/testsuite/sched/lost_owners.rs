//! Long-running tasks whose worker is lost before, with or after owners of its shard that end without a note: each runs
//! again within the time that callers are promised, at every longest lease.

use super::{
    paused,
    world::{
        StoreBehaviour, WorkerBehaviour, World, limits_for, owned, restart_limits, step, until,
    },
};
use assert_matches::assert_matches;
use lapisdrum::{
    core::size::Size,
    sched::{
        Cx,
        job::{JobId, Step, TaskId},
        journal::SNAPSHOT_TABLE,
        layout::ShardId,
        lease,
        owner::session::Session,
        peer::SubmitReply,
        restart::{LostTogether, restart_times},
    },
};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(5);
/// Longest leases that workers of the deployments accept.
const LONGEST_LEASES: [Duration; 2] = [Duration::from_secs(6), Duration::from_secs(10)];
/// Time until another machine is in the place of one that was lost for good; the disruption ends then.
const REPLACED_AFTER: Duration = Duration::from_secs(1);
/// Calm time after a disruption before a task has to run, and time for which it may still wait.
const CALM: Duration = Duration::from_secs(7);
/// Time from the last run of a task during which its wait does not count, and time for which it may still wait.
const AFTER_RUN: Duration = Duration::from_secs(9);

/// Longest time by which each further owner may lengthen a wait: it reads the row late, and expects slower clocks.
const PER_TAKEOVER: Duration = Duration::from_millis(500);

const LONG_RUNNING: TaskId = TaskId {
    job: JobId(1),
    occurrence: 0,
    step: 0,
    index: 0,
};

/// A shard with one long-running task, on a worker beside one with free capacity.
struct Site {
    world: Rc<World>,
    owners: Vec<Cx>,
}

impl Site {
    async fn start(longest_lease: Duration) -> Self {
        Self::start_with(longest_lease, 0).await
    }

    /// The same, with this many batch tasks beside the long-running one.
    async fn start_with(longest_lease: Duration, batch_tasks: u32) -> Self {
        Self::start_for(longest_lease, batch_tasks, LIMIT * 2).await
    }

    /// The same, after the tasks have run for this time.
    async fn start_for(longest_lease: Duration, batch_tasks: u32, runs_for: Duration) -> Self {
        let world = World::with_longest_lease(2, longest_lease);
        let owner = world.daemon("d0");
        Self::start_in(world, owner, batch_tasks, runs_for).await
    }

    /// The same in a world with this daemon.
    async fn start_in(world: Rc<World>, owner: Cx, batch_tasks: u32, runs_for: Duration) -> Self {
        owned(&owner, LIMIT).await;
        let long_running = Step {
            is_long_running: true,
            ..step(1, 600_000, &[])
        };
        let batch = step(batch_tasks, 600_000, &[]);
        for (job, step) in [(1, long_running), (2, batch)] {
            if step.count > 0 {
                let reply = world.submit(&owner, job, vec![step]).await;
                assert_matches!(reply, SubmitReply::Accepted);
            }
        }
        let tasks = 1 + batch_tasks as usize;
        until("the tasks run", LIMIT, async || {
            world.running().len() == tasks
        })
        .await;
        sleep(runs_for).await;
        Self {
            world,
            owners: vec![owner],
        }
    }

    /// Makes the worker that runs the task unreachable; the task runs on there until the lease ends.
    fn cut_worker(&self) {
        let on = ["w0", "w1"].map(|worker| !self.world.running_on(worker).is_empty());
        self.world.cut(if on[0] { "w0" } else { "w1" }, true);
    }

    /// Loses the owner for good.
    fn lose_owner(&self) {
        let lost = format!("d{}", self.owners.len() - 1);
        self.world.set_store(&lost, StoreBehaviour::Unavailable);
        for worker in ["w0", "w1"] {
            self.world.cut_from(&lost, worker);
        }
    }

    /// Loses the owner for good, and starts another daemon.
    async fn replace_owner(&mut self) {
        self.lose_owner();
        let next = self.world.daemon(&format!("d{}", self.owners.len()));
        self.owners.push(next);
    }

    async fn next_owner(&self) {
        let next = self.owners.last().expect("an owner");
        owned(next, LIMIT).await;
    }

    /// Waits until the task runs again; fails if that is later than promised after these times.
    async fn check_restart(&self, ran_until: Instant, owner_lost_at: Instant) {
        until("the task is started again", LIMIT * 6, async || {
            self.world.starts.borrow().len() == 2
        })
        .await;
        let due = (owner_lost_at + REPLACED_AFTER + CALM).max(ran_until + AFTER_RUN);
        let late = Instant::now().saturating_duration_since(due);
        assert_eq!(late, Duration::ZERO, "started too late by this");
        sleep(LIMIT * 3).await;
        self.world.check();
    }
}

/// Guards against an owner that waits for hold and longest lease of a predecessor that had known when the leases of the
/// silent worker end.
#[test]
fn a_task_runs_in_time_after_its_worker_and_then_its_owner_are_lost() {
    for longest_lease in LONGEST_LEASES {
        paused(async move {
            let mut site = Site::start(longest_lease).await;
            site.cut_worker();
            let cut_at = Instant::now();
            sleep(Duration::from_secs(4)).await;
            site.replace_owner().await;
            site.check_restart(cut_at, Instant::now()).await;
        });
    }
}

/// Guards against a wait for a hold and a whole longest lease of an owner that was lost at the same time as the worker.
#[test]
fn a_task_runs_in_time_after_its_worker_and_its_owner_are_lost_together() {
    for longest_lease in LONGEST_LEASES {
        paused(async move {
            let mut site = Site::start(longest_lease).await;
            site.cut_worker();
            site.replace_owner().await;
            let lost_at = Instant::now();
            site.check_restart(lost_at, lost_at).await;
        });
    }
}

/// Guards against a bound that begins anew with each owner that is lost before it has reached the worker.
#[test]
fn a_task_runs_in_time_after_several_owners_are_lost_in_series() {
    for longest_lease in LONGEST_LEASES {
        paused(async move {
            let mut site = Site::start(longest_lease).await;
            site.cut_worker();
            let cut_at = Instant::now();
            sleep(Duration::from_secs(2)).await;
            site.replace_owner().await;
            site.next_owner().await;
            sleep(Duration::from_secs(1)).await;
            site.replace_owner().await;
            site.check_restart(cut_at, Instant::now()).await;
        });
    }
}

/// Loses a worker, and after it this many owners in series that never reach it; checks that these add no more than
/// [`PER_TAKEOVER`] each to the wait after the first loss.
fn check_owners_in_series(owners: u32, longest_lease: Duration, owned_for: Duration) {
    paused(async move {
        let mut site = Site::start_with(longest_lease, 6).await;
        site.cut_worker();
        sleep(owned_for).await;
        let first_lost_at = Instant::now();
        site.replace_owner().await;
        for _ in 1..owners {
            site.next_owner().await;
            sleep(owned_for).await;
            site.replace_owner().await;
        }
        let last_lost_at = Instant::now();
        let times = restart_times(&limits_for(longest_lease), &restart_limits());
        let by_first = times.iter().find(|time| time.lost == LostTogether::Owner);
        let by_first = first_lost_at + by_first.expect("its time").longest;
        let due = by_first.max(last_lost_at + lease::TAKEOVER) + PER_TAKEOVER * owners;
        until("the task is started again", LIMIT * 6, async || {
            site.world.starts_of(&LONG_RUNNING) == 2
        })
        .await;
        let late = Instant::now().saturating_duration_since(due);
        let case = format!("{longest_lease:?}, {owners} owners, {owned_for:?}");
        assert_eq!(late, Duration::ZERO, "started too late by this: {case}");
        sleep(LIMIT * 3).await;
        site.world.check();
    });
}

fn check_all_owners_in_series(owned_for_ms: &[u64]) {
    for longest_lease in LONGEST_LEASES {
        for owners in 2..=4 {
            for ms in owned_for_ms {
                check_owners_in_series(owners, longest_lease, Duration::from_millis(*ms));
            }
        }
    }
}

/// Guards against an owner that notes a later end than the one before it, for a worker that it never reached: that of the
/// batch tasks there, whose runs are not confirmed.
#[test]
fn owners_that_never_reach_a_worker_pass_on_when_its_confirmed_runs_end() {
    check_all_owners_in_series(&[1_200, 2_000, 3_000]);
}

/// Guards against a hold that is counted for an owner which is lost before it could reach any worker.
#[test]
fn owners_that_are_lost_at_their_take_over_add_no_hold() {
    check_all_owners_in_series(&[0, 50, 200, 400]);
}

/// Guards against runs of the first owner of a shard that count as unconfirmed until a longest lease after it reached
/// their worker, as if there had been an owner before.
#[test]
fn a_task_of_the_first_owner_runs_in_time_after_both_are_lost() {
    for longest_lease in LONGEST_LEASES {
        paused(async move {
            let mut site = Site::start_for(longest_lease, 0, Duration::from_secs(3)).await;
            site.cut_worker();
            site.replace_owner().await;
            let lost_at = Instant::now();
            site.check_restart(lost_at, lost_at).await;
        });
    }
}

/// Guards against runs that count as unconfirmed for the time in which leases of an earlier owner, whose end its rows give,
/// end later than those of the owner that writes the row: the one before had been replaced at once.
#[test]
fn a_task_runs_in_time_after_an_owner_and_then_worker_and_next_owner_are_lost() {
    for longest_lease in LONGEST_LEASES {
        for owned_for_ms in (0..1_000).step_by(100) {
            paused(async move {
                let world = World::with_longest_lease(2, longest_lease);
                let (first, to_first) = world.daemon_behind_relay("d0", "karen");
                let mut site = Site::start_in(world, first, 0, LIMIT).await;
                let (next, to_next) = site.world.daemon_behind_relay("d1", "karen");
                site.lose_owner();
                to_first.cut();
                site.owners.push(next);
                site.next_owner().await;
                sleep(Duration::from_millis(owned_for_ms)).await;
                site.cut_worker();
                site.replace_owner().await;
                to_next.cut();
                let lost_at = Instant::now();
                site.check_restart(lost_at, lost_at).await;
            });
        }
    }
}

/// Guards against one run that is not confirmed, on a restarted worker, and has the next owner take all later runs for
/// such, whatever worker they are on.
#[test]
fn a_run_that_is_not_confirmed_does_not_delay_tasks_of_other_workers() {
    for longest_lease in LONGEST_LEASES {
        paused(async move {
            let world = World::with_longest_lease(1, longest_lease);
            let owner = world.daemon("d0");
            owned(&owner, LIMIT).await;
            let mut site = Site {
                world,
                owners: vec![Rc::clone(&owner)],
            };
            let whole_worker = Step {
                is_long_running: true,
                size: Size {
                    millicores: 4_000,
                    memory_mb: 1_000,
                    accelerators: 0,
                },
                ..step(1, 600_000, &[])
            };
            let other = TaskId {
                job: JobId(2),
                ..LONG_RUNNING
            };
            let runs = async |task: TaskId, starts: usize| {
                until("the task runs", LIMIT, async || {
                    let running = site.world.running();
                    site.world.starts_of(&task) == starts
                        && running.iter().any(|run| run.task == task)
                })
                .await;
            };
            let step = vec![whole_worker];
            site.world.submit(&owner, 1, step.clone()).await;
            runs(LONG_RUNNING, 1).await;
            site.world.crash("w0");
            site.world.restart("w0");
            runs(LONG_RUNNING, 2).await;
            site.world.add_worker("w1");
            site.world.submit(&owner, 2, step).await;
            runs(other, 1).await;
            sleep(Duration::from_secs(1)).await;
            site.world.add_worker("w2");
            site.world.cut("w1", true);
            site.replace_owner().await;
            let lost_at = Instant::now();
            until("the task is started again", LIMIT * 6, async || {
                site.world.starts_of(&other) == 2
            })
            .await;
            let due = lost_at + REPLACED_AFTER.max(AFTER_RUN - CALM) + CALM;
            let late = Instant::now().saturating_duration_since(due);
            assert_eq!(late, Duration::ZERO, "started too late by this");
            sleep(LIMIT * 3).await;
            site.world.check();
        });
    }
}

/// A long-running task on a worker that restarted just before the first owner of its shard was lost, and the next owner.
async fn start_on_restarted_worker(longest_lease: Duration) -> Site {
    let world = World::with_longest_lease(1, longest_lease);
    let first = world.daemon("d0");
    owned(&first, LIMIT).await;
    sleep(LIMIT).await;
    let mut site = Site {
        world,
        owners: vec![first],
    };
    site.world.crash("w0");
    site.world.restart("w0");
    sleep(Duration::from_millis(500)).await;
    site.replace_owner().await;
    site.next_owner().await;
    let task = Step {
        is_long_running: true,
        ..step(1, 600_000, &[])
    };
    site.world.submit(&site.owners[1], 1, vec![task]).await;
    until("the task runs", LIMIT, async || {
        site.world.running_on("w0").len() == 1
    })
    .await;
    site
}

/// Guards against a longest lease on a restarted worker that begins with the first contact of each later owner: no row
/// says until when the leases last there that calls of the first owner may have extended.
#[test]
fn owners_pass_on_when_leases_on_a_restarted_worker_end() {
    for longest_lease in LONGEST_LEASES {
        for first_ms in [500, 1_500, 3_000, 5_000] {
            for second_ms in [0, 50, 300, 1_000, 2_000, 4_000] {
                paused(async move {
                    let mut site = start_on_restarted_worker(longest_lease).await;
                    site.world.add_worker("w1");
                    sleep(Duration::from_millis(first_ms)).await;
                    site.replace_owner().await;
                    site.next_owner().await;
                    sleep(Duration::from_millis(second_ms)).await;
                    site.cut_worker();
                    site.replace_owner().await;
                    let lost_at = Instant::now();
                    site.check_restart(lost_at, lost_at).await;
                });
            }
        }
    }
}

/// Guards against a row that has the next owner give up a run too early on a worker where leases last longer: one that the
/// worker is not known to have, or, by an owner of an earlier version, one that it has.
#[test]
fn a_row_confirms_only_known_runs_on_a_restarted_worker() {
    paused(async {
        let site = start_on_restarted_worker(LONGEST_LEASES[1]).await;
        let late = WorkerBehaviour::Late(Duration::from_secs(3));
        site.world.set_worker("w0", late);
        let (world, next) = (Rc::clone(&site.world), Rc::clone(&site.owners[1]));
        let task = Step {
            is_long_running: true,
            ..step(1, 600_000, &[])
        };
        actix_rt::spawn(async move { world.submit(&next, 2, vec![task]).await });
        let cx = Rc::clone(&site.owners[1]);
        let owner = cx.handle(ShardId(0)).owner.borrow().clone();
        let owner = owner.expect("the owner");
        let row_of = |is_confirmed| {
            let runs = owner.runs.borrow();
            let record = runs.values().find(|run| run.is_confirmed == is_confirmed);
            record.and_then(|record| record.placed_row)
        };
        until("a run is not confirmed", LIMIT, async || {
            row_of(false).is_some()
        })
        .await;
        sleep(Duration::from_millis(100)).await;
        let known = row_of(true).expect("a run that is known");
        let unknown = row_of(false).expect("a run that is not known");
        let sent = owner.sent_leases(&cx, false);
        let before = sent.unsettled["w0"].before;
        assert!(known < before && before <= unknown, "{before}");
        let by_earlier_version = sent.confirmed.and_then(|confirmed| confirmed.on("w0"));
        assert!(by_earlier_version.is_some_and(|before| before <= known));
        site.world.check();
    });
}

/// Guards against a run that an owner gives up while leases last on its worker which calls of the first owner may have
/// extended: the owner before had written their end, and this one has not reached the worker.
#[test]
fn an_owner_expects_the_leases_on_a_restarted_worker_that_the_one_before_noted() {
    paused(async {
        let mut site = start_on_restarted_worker(LONGEST_LEASES[1]).await;
        sleep(Duration::from_secs(1)).await;
        site.world.cut("w0", true);
        let left = |site: &Site| {
            let cx = site.owners.last().expect("an owner");
            let owner = cx.handle(ShardId(0)).owner.borrow().clone();
            let owner = owner.expect("the owner");
            let end = |session: &mut Session| session.bound.latest_end(true, &cx.cfg.leases);
            let (_, end) = owner.session("w0", end).expect("the worker");
            end.since(cx.clock.now())
        };
        let (lost_at, before) = (Instant::now(), left(&site));
        site.replace_owner().await;
        site.next_owner().await;
        let after = lost_at.elapsed() + left(&site);
        assert!(after >= before, "{after:?} < {before:?}");
    });
}

/// Guards against a task that was started half a second before its worker and its owner are lost, and is known to no row:
/// the poll that confirms it would only return when another run ends.
#[test]
fn a_task_that_was_just_started_runs_in_time_after_worker_and_owner_are_lost() {
    for longest_lease in LONGEST_LEASES {
        for phase_ms in (0..1_000).step_by(250) {
            paused(async move {
                let world = World::with_longest_lease(2, longest_lease);
                let owner = world.daemon("d0");
                owned(&owner, LIMIT).await;
                sleep(Duration::from_millis(5_000 + phase_ms)).await;
                let task = Step {
                    is_long_running: true,
                    ..step(1, 600_000, &[])
                };
                world.submit(&owner, 1, vec![task]).await;
                until("the task runs", LIMIT, async || world.running().len() == 1).await;
                sleep(Duration::from_millis(550)).await;
                let mut site = Site {
                    world,
                    owners: vec![owner],
                };
                site.cut_worker();
                site.replace_owner().await;
                let lost_at = Instant::now();
                site.check_restart(lost_at, lost_at).await;
            });
        }
    }
}

/// Guards against runs that count as placed in the last row that a snapshot covers, and so as unconfirmed where no lease
/// row was written since.
#[test]
fn a_snapshot_does_not_delay_tasks_after_worker_and_owner_are_lost() {
    for longest_lease in LONGEST_LEASES {
        paused(async move {
            let mut site = Site::start(longest_lease).await;
            let owner = Rc::clone(&site.owners[0]);
            let snapshots = site.world.objects("").len();
            for job in 2.. {
                site.world.submit(&owner, job, vec![step(1, 1, &[])]).await;
                if site.world.objects("").len() > snapshots {
                    break;
                }
            }
            until("the snapshot is in force", LIMIT, async || {
                site.world.row_count(SNAPSHOT_TABLE) > 0
            })
            .await;
            site.cut_worker();
            site.replace_owner().await;
            let lost_at = Instant::now();
            until("the task is started again", LIMIT * 6, async || {
                site.world.starts_of(&LONG_RUNNING) == 2
            })
            .await;
            let due = lost_at + REPLACED_AFTER.max(AFTER_RUN - CALM) + CALM;
            let late = Instant::now().saturating_duration_since(due);
            assert_eq!(late, Duration::ZERO, "started too late by this");
            sleep(LIMIT * 3).await;
            site.world.check();
        });
    }
}

/// Guards against a task that runs twice at once: its worker, which the lease row lists as silent, answers again and gets
/// a lease that the next owner does not expect.
#[test]
fn a_listed_worker_gets_no_lease_before_the_row_is_replaced() {
    for returns_after_ms in (0..2_000).step_by(100) {
        paused(async move {
            let mut site = Site::start(LONGEST_LEASES[0]).await;
            site.cut_worker();
            sleep(Duration::from_secs(2)).await;
            site.world.set_store("d0", StoreBehaviour::Unavailable);
            let next = site.world.daemon("d1");
            site.owners.push(next);
            for worker in ["w0", "w1"] {
                if !site.world.running_on(worker).is_empty() {
                    site.world.cut_from("d1", worker);
                }
            }
            sleep(Duration::from_millis(returns_after_ms)).await;
            for worker in ["w0", "w1"] {
                site.world.cut(worker, false);
            }
            site.next_owner().await;
            until("the task is started again", LIMIT * 6, async || {
                site.world.starts.borrow().len() == 2
            })
            .await;
            sleep(LIMIT * 3).await;
            site.world.check();
        });
    }
}

/// Guards against settings by which tasks wait for longer than promised without a warning.
#[test]
fn only_a_run_just_started_may_wait_for_longer_than_promised() {
    for longest_lease in LONGEST_LEASES {
        let times = restart_times(&limits_for(longest_lease), &restart_limits());
        let over = times.iter().filter(|time| time.is_over());
        let over: Vec<LostTogether> = over.map(|time| time.lost).collect();
        assert_eq!(over, [LostTogether::OwnerOfNewRun], "{times:?}");
    }
}

/// Guards against tasks on workers that answer and get a shorter lease during an outage of the store, and no longer one
/// in time after it.
#[test]
fn an_outage_of_the_store_within_the_cap_ends_no_task() {
    for (nth, outage_ms) in (4_000..=6_000).step_by(50).enumerate() {
        paused(async move {
            let site = Site::start(LONGEST_LEASES[nth % 2]).await;
            sleep(Duration::from_millis(nth as u64 * 97)).await;
            site.world.set_store("d0", StoreBehaviour::Unavailable);
            sleep(Duration::from_millis(outage_ms)).await;
            site.world.set_store("d0", StoreBehaviour::Up);
            sleep(LIMIT * 2).await;
            assert_eq!(site.world.starts.borrow().len(), 1, "after {outage_ms} ms");
            site.world.check();
        });
    }
}

/// Guards against a run on a listed worker that the next owner takes for confirmed, and gives up before the end that the
/// row gives: a restarted worker had executed its start order, for a longest lease from then on.
#[test]
fn a_run_on_a_listed_worker_is_given_up_at_the_noted_end() {
    for lost_after_ms in (600..2_400).step_by(200) {
        paused(async move {
            let mut site = Site::start(LONGEST_LEASES[1]).await;
            let owner = Rc::clone(&site.owners[0]);
            let free = ["w0", "w1"].map(|worker| site.world.running_on(worker).is_empty());
            let free = if free[0] { "w0" } else { "w1" };
            site.world.orders_outlive_crashes.set(true);
            let late = Duration::from_millis(600);
            site.world.set_worker(free, WorkerBehaviour::Late(late));
            let placed = Step {
                is_long_running: true,
                size: Size {
                    millicores: 4_000,
                    memory_mb: 1_000,
                    accelerators: 0,
                },
                ..step(1, 600_000, &[])
            };
            let world = Rc::clone(&site.world);
            actix_rt::spawn(async move { world.submit(&owner, 2, vec![placed]).await });
            until("an order is unanswered", LIMIT, async || {
                site.owners[0].metrics.starts.get() > 1
            })
            .await;
            site.world.crash(free);
            sleep(Duration::from_millis(100)).await;
            site.world.restart(free);
            for daemon in ["d0", "d1"] {
                site.world.cut_from(daemon, free);
            }
            sleep(Duration::from_millis(lost_after_ms)).await;
            site.world.add_worker("spare");
            site.replace_owner().await;
            sleep(LIMIT * 6).await;
            site.world.check();
        });
    }
}
