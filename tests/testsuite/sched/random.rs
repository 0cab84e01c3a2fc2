//! The real owner under random faults: no task runs twice at once, none is started after its end was acknowledged, no
//! worker is overcommitted, nothing is sent to an evacuated data centre, and every accepted job is completed after the
//! faults have ended.

use super::{
    paused,
    world::{StoreMood, WorkerMood, World, owned, owns, step, until},
};
use lapisdrum::sched::{
    Cx,
    layout::ShardId,
    peer::{JobState, SubmitReply},
};
use proptest::prelude::*;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Time for everything to be completed after the last fault.
const AFTERWARDS: Duration = Duration::from_secs(60);

/// Data centre of each worker.
const DATA_CENTRES: [&str; 3] = ["westlands", "karen", "kilimani"];

#[derive(Clone, Debug)]
enum Fault {
    Cut(usize),
    Join(usize),
    Crash(usize),
    Revive(usize),
    Late(usize, u64),
    Prompt(usize),
    TurnAway(usize),
    LoseAnswers(usize),
    Serve(usize),
    Evacuate(usize),
    Restore(usize),
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..3_usize).prop_map(Fault::Cut),
        (0..3_usize).prop_map(Fault::Join),
        (0..3_usize).prop_map(Fault::Crash),
        (0..3_usize).prop_map(Fault::Revive),
        (0..3_usize, 1_000..11_000_u64).prop_map(|(w, ms)| Fault::Late(w, ms)),
        (0..3_usize).prop_map(Fault::Prompt),
        (0..2_usize).prop_map(Fault::TurnAway),
        (0..2_usize).prop_map(Fault::LoseAnswers),
        (0..2_usize).prop_map(Fault::Serve),
        (0..3_usize).prop_map(Fault::Evacuate),
        (0..3_usize).prop_map(Fault::Restore),
    ]
}

struct Play {
    world: Rc<World>,
    daemons: Vec<Cx>,
    dead: [bool; 3],
}

impl Play {
    fn strike(&mut self, fault: &Fault) {
        let worker = |at: &usize| format!("w{at}");
        let daemon = |at: &usize| ["a", "b"][*at];
        match fault {
            Fault::Cut(w) => self.world.cut(&worker(w), true),
            Fault::Join(w) => self.world.cut(&worker(w), false),
            Fault::Crash(w) => {
                self.dead[*w] = true;
                self.world.crash(&worker(w));
            }
            Fault::Revive(w) => self.revive(*w),
            Fault::Late(w, ms) => {
                let late = WorkerMood::Late(Duration::from_millis(*ms));
                self.world.set_mood(&worker(w), late);
            }
            Fault::Prompt(w) => self.world.set_mood(&worker(w), WorkerMood::Prompt),
            Fault::TurnAway(d) => self.world.set_store(daemon(d), StoreMood::Away),
            Fault::LoseAnswers(d) => self.world.set_store(daemon(d), StoreMood::LosesAnswers),
            Fault::Serve(d) => self.world.set_store(daemon(d), StoreMood::Up),
            Fault::Evacuate(at) => self.world.evacuate(DATA_CENTRES[*at]),
            Fault::Restore(at) => self.world.restore(DATA_CENTRES[*at]),
        }
    }

    fn revive(&mut self, at: usize) {
        if std::mem::take(&mut self.dead[at]) {
            self.world.revive(&format!("w{at}"));
        }
    }

    fn heal(&mut self) {
        for (at, data_centre) in DATA_CENTRES.iter().enumerate() {
            self.revive(at);
            self.world.cut(&format!("w{at}"), false);
            self.world.set_mood(&format!("w{at}"), WorkerMood::Prompt);
            self.world.restore(data_centre);
        }
        for daemon in ["a", "b"] {
            self.world.set_store(daemon, StoreMood::Up);
        }
    }

    fn owner(&self) -> Option<Cx> {
        let is_owner = |cx: &&Cx| owns(cx, ShardId(0));
        self.daemons.iter().find(is_owner).cloned()
    }
}

async fn play(faults: Vec<(u64, Fault)>) {
    let world = World::new(3);
    for (at, data_centre) in DATA_CENTRES.iter().enumerate() {
        world.put_in(&format!("w{at}"), data_centre);
    }
    let daemons = vec![world.daemon("a"), world.daemon("b")];
    let mut play = Play {
        world: Rc::clone(&world),
        daemons,
        dead: [false; 3],
    };
    until("a daemon owns the shard", AFTERWARDS, async || {
        play.owner().is_some()
    })
    .await;
    owned(&play.owner().expect("an owner"), AFTERWARDS).await;
    let mut accepted = Vec::new();
    for (job, (wait_ms, fault)) in faults.iter().enumerate() {
        let job = job as u64 + 1;
        if let Some(owner) = play.owner() {
            let steps = vec![step(2, 700, &[]), step(1, 1_500, &[0])];
            if world.submit(&owner, job, steps).await == SubmitReply::Accepted {
                accepted.push(job);
            }
        }
        play.strike(fault);
        sleep(Duration::from_millis(*wait_ms)).await;
    }
    play.heal();
    for job in accepted {
        until(
            "an accepted job is completed",
            AFTERWARDS,
            async || match play.owner() {
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
    fn nothing_is_doubled_or_lost(faults in prop::collection::vec((50..2_500_u64, any_fault()), 1..14)) {
        paused(play(faults));
    }
}

/// Guards against an acknowledged end that is lost: the store becomes unavailable to both daemons in turn while tasks
/// end on a worker, and then a worker crashes.
#[test]
fn ends_taken_before_two_outages_stay_taken() {
    paused(play(vec![
        (1_150, Fault::TurnAway(0)),
        (1_749, Fault::TurnAway(1)),
        (666, Fault::Crash(0)),
    ]));
}

/// Guards against ends that a restarted worker drops unread: it numbers them from 1 again, while the owner's poll still
/// acknowledges the ends of the previous incarnation by their numbers. Meanwhile the store loses answers.
#[test]
fn a_new_lifes_ends_are_not_forgotten_by_the_old_lifes_numbers() {
    paused(play(vec![
        (253, Fault::Prompt(0)),
        (2_039, Fault::Prompt(2)),
        (1_184, Fault::Crash(1)),
        (2_290, Fault::Serve(1)),
        (277, Fault::LoseAnswers(0)),
        (487, Fault::Revive(0)),
        (1_845, Fault::TurnAway(1)),
        (431, Fault::LoseAnswers(0)),
        (609, Fault::Prompt(0)),
        (395, Fault::Revive(1)),
        (1_382, Fault::Revive(0)),
        (848, Fault::Crash(0)),
    ]));
}
