//! The real owner under random faults: no task runs twice at once, none is started after it was done or had used up its
//! attempts, however few ends a worker lists at once, no worker is overcommitted, nothing is sent to an evacuated data
//! centre, and every accepted job is completed after the faults have ended.

use super::{
    paused,
    world::{MAX_LISTED_ENDS, StoreBehaviour, WorkerBehaviour, World, owned, owns, step, until},
};
use lapisdrum::sched::{
    Cx,
    layout::ShardId,
    peer::{JobState, SubmitReply},
};
use proptest::prelude::*;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Time in which each accepted job is completed after the last fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(60);

/// Data centre of each worker.
const DATA_CENTRES: [&str; 3] = ["westlands", "karen", "kilimani"];

#[derive(Clone, Debug)]
enum Fault {
    Cut(usize),
    Reconnect(usize),
    Crash(usize),
    Restart(usize),
    DelayOrders(usize, u64),
    ExecutePromptly(usize),
    StoreUnavailable(usize),
    LoseAnswers(usize),
    StoreUp(usize),
    Evacuate(usize),
    Restore(usize),
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..3_usize).prop_map(Fault::Cut),
        (0..3_usize).prop_map(Fault::Reconnect),
        (0..3_usize).prop_map(Fault::Crash),
        (0..3_usize).prop_map(Fault::Restart),
        (0..3_usize, 1_000..11_000_u64).prop_map(|(w, ms)| Fault::DelayOrders(w, ms)),
        (0..3_usize).prop_map(Fault::ExecutePromptly),
        (0..2_usize).prop_map(Fault::StoreUnavailable),
        (0..2_usize).prop_map(Fault::LoseAnswers),
        (0..2_usize).prop_map(Fault::StoreUp),
        (0..3_usize).prop_map(Fault::Evacuate),
        (0..3_usize).prop_map(Fault::Restore),
    ]
}

/// Number of tasks in the small step of a job: several times as many as a worker lists ends.
const SMALL_TASKS: u32 = 24;

struct Scenario {
    world: Rc<World>,
    daemons: Vec<Cx>,
    crashed: [bool; 3],
}

impl Scenario {
    fn inject(&mut self, fault: &Fault) {
        let worker = |at: &usize| format!("w{at}");
        let daemon = |at: &usize| ["a", "b"][*at];
        match fault {
            Fault::Cut(w) => self.world.cut(&worker(w), true),
            Fault::Reconnect(w) => self.world.cut(&worker(w), false),
            Fault::Crash(w) => {
                self.crashed[*w] = true;
                self.world.crash(&worker(w));
            }
            Fault::Restart(w) => self.restart(*w),
            Fault::DelayOrders(w, ms) => {
                let late = WorkerBehaviour::Late(Duration::from_millis(*ms));
                self.world.set_worker(&worker(w), late);
            }
            Fault::ExecutePromptly(w) => self.world.set_worker(&worker(w), WorkerBehaviour::Prompt),
            Fault::StoreUnavailable(d) => {
                self.world.set_store(daemon(d), StoreBehaviour::Unavailable)
            }
            Fault::LoseAnswers(d) => self
                .world
                .set_store(daemon(d), StoreBehaviour::LosesAnswers),
            Fault::StoreUp(d) => self.world.set_store(daemon(d), StoreBehaviour::Up),
            Fault::Evacuate(at) => self.world.evacuate(DATA_CENTRES[*at]),
            Fault::Restore(at) => self.world.restore(DATA_CENTRES[*at]),
        }
    }

    fn restart(&mut self, at: usize) {
        if std::mem::take(&mut self.crashed[at]) {
            self.world.restart(&format!("w{at}"));
        }
    }

    fn end_faults(&mut self) {
        for (at, data_centre) in DATA_CENTRES.iter().enumerate() {
            self.restart(at);
            self.world.cut(&format!("w{at}"), false);
            self.world
                .set_worker(&format!("w{at}"), WorkerBehaviour::Prompt);
            self.world.restore(data_centre);
        }
        for daemon in ["a", "b"] {
            self.world.set_store(daemon, StoreBehaviour::Up);
        }
    }

    fn owner(&self) -> Option<Cx> {
        let is_owner = |cx: &&Cx| owns(cx, ShardId(0));
        self.daemons.iter().find(is_owner).cloned()
    }
}

async fn run_scenario(seed: u64, max_listed_ends: usize, faults: Vec<(u64, Fault)>) {
    let world = World::new(3);
    world.seed(seed);
    world.max_listed_ends.set(max_listed_ends);
    for (at, data_centre) in DATA_CENTRES.iter().enumerate() {
        world.set_data_centre(&format!("w{at}"), data_centre);
    }
    let daemons = vec![world.daemon("a"), world.daemon("b")];
    let mut scenario = Scenario {
        world: Rc::clone(&world),
        daemons,
        crashed: [false; 3],
    };
    until("a daemon owns the shard", RECOVERY_LIMIT, async || {
        scenario.owner().is_some()
    })
    .await;
    owned(&scenario.owner().expect("an owner"), RECOVERY_LIMIT).await;
    let mut accepted = Vec::new();
    for (job, (wait_ms, fault)) in faults.iter().enumerate() {
        let job = job as u64 + 1;
        if let Some(owner) = scenario.owner() {
            let mut small = step(SMALL_TASKS, 600, &[]);
            small.size.millicores = 100;
            small.size.memory_mb = 100;
            let steps = vec![step(2, 700, &[]), step(1, 1_500, &[0]), small];
            if world.submit(&owner, job, steps).await == SubmitReply::Accepted {
                accepted.push(job);
            }
        }
        scenario.inject(fault);
        sleep(Duration::from_millis(*wait_ms)).await;
    }
    scenario.end_faults();
    for job in accepted {
        until(
            "an accepted job is completed",
            RECOVERY_LIMIT,
            async || match scenario.owner() {
                Some(owner) => world.state(&owner, job).await == Some(JobState::Completed),
                None => false,
            },
        )
        .await;
    }
    world.check();
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 200, ..ProptestConfig::default() })]

    /// Checks the invariants in the module documentation.
    #[test]
    fn no_task_is_duplicated_or_lost(
        faults in prop::collection::vec((50..2_500_u64, any_fault()), 1..14),
        max_listed_ends in 2..6_usize,
        seed in any::<u64>().no_shrink(),
    ) {
        paused(run_scenario(seed, max_listed_ends, faults));
    }
}

/// Guards against an acknowledged end that is lost: the store becomes unavailable to both daemons in turn while tasks
/// end on a worker, and then a worker crashes.
#[test]
fn acknowledged_ends_survive_two_outages() {
    paused(run_scenario(
        rand::random(),
        MAX_LISTED_ENDS,
        vec![
            (1_150, Fault::StoreUnavailable(0)),
            (1_749, Fault::StoreUnavailable(1)),
            (666, Fault::Crash(0)),
        ],
    ));
}

/// Guards against ends that a restarted worker drops unread: it numbers them from 1 again, while the owner's poll still
/// acknowledges the ends of the previous incarnation by their numbers. Meanwhile the store loses answers.
#[test]
fn ends_of_a_new_incarnation_are_not_dropped_by_numbers_of_the_previous_one() {
    paused(run_scenario(
        rand::random(),
        MAX_LISTED_ENDS,
        vec![
            (253, Fault::ExecutePromptly(0)),
            (2_039, Fault::ExecutePromptly(2)),
            (1_184, Fault::Crash(1)),
            (2_290, Fault::StoreUp(1)),
            (277, Fault::LoseAnswers(0)),
            (487, Fault::Restart(0)),
            (1_845, Fault::StoreUnavailable(1)),
            (431, Fault::LoseAnswers(0)),
            (609, Fault::ExecutePromptly(0)),
            (395, Fault::Restart(1)),
            (1_382, Fault::Restart(0)),
            (848, Fault::Crash(0)),
        ],
    ));
}
