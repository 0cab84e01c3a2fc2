//! Floors of daemons when exchanges are lost, late or repeated and the owner changes.

use super::events::{holder, worker};
use indexmap::IndexMap;
use lapisdrum::{
    core::{id::Epoch, size::Size},
    state::{
        grants::{self, ByWorker, Floors},
        ledger::{Grant, State},
    },
};
use proptest::{collection::vec, prelude::*};

const DAEMONS: u8 = 3;
const WORKERS: u8 = 2;
const SHARE_PERCENT: u32 = 60;

#[derive(Clone, Copy, Debug)]
enum Op {
    /// A daemon's exchange with the owner, and what happens to it.
    Exchange(u8, Delivery),
    /// A request starts on a worker, if the daemon's floor has free capacity.
    StartRequest(u8, u8),
    /// A request on a worker ends.
    EndRequest(u8, u8),
    /// An earlier round that was in flight reaches the current owner.
    LateRound(u8),
    /// Another owner takes the shard.
    OwnerChange,
    /// The number of daemons that share the workers changes.
    Sharers(u8),
}

#[derive(Clone, Copy, Debug)]
enum Delivery {
    Answered,
    NotDelivered,
    /// The ledger has the change; the answer is lost.
    AnswerLost,
    /// In flight; see [`Op::LateRound`].
    Late,
}

fn op() -> impl Strategy<Value = Op> {
    let delivery = prop_oneof![
        4 => Just(Delivery::Answered),
        1 => Just(Delivery::NotDelivered),
        1 => Just(Delivery::AnswerLost),
        1 => Just(Delivery::Late),
    ];
    prop_oneof![
        6 => (0..DAEMONS, delivery).prop_map(|(d, delivery)| Op::Exchange(d, delivery)),
        4 => (0..DAEMONS, 0..WORKERS).prop_map(|(d, w)| Op::StartRequest(d, w)),
        3 => (0..DAEMONS, 0..WORKERS).prop_map(|(d, w)| Op::EndRequest(d, w)),
        2 => (0..DAEMONS).prop_map(Op::LateRound),
        1 => Just(Op::OwnerChange),
        1 => (1..=DAEMONS).prop_map(Op::Sharers),
    ]
}

fn worker_capacity() -> Grant {
    Grant {
        slots: 8,
        size: Size {
            millicores: 1_000,
            memory_mb: 800,
            accelerators: 2,
        },
    }
}

fn request() -> Size {
    Size {
        millicores: 70,
        memory_mb: 30,
        accelerators: 0,
    }
}

/// An exchange in flight: the epoch that it is for, its number and the floors that its sender held.
#[derive(Clone, Debug)]
struct Round {
    epoch: Epoch,
    number: u64,
    holding: ByWorker,
}

struct World {
    ledger: State,
    epoch: Epoch,
    /// By daemon: the last round that the current owner received.
    rounds: IndexMap<u8, u64>,
    daemons: Vec<Floors>,
    late: Vec<Vec<Round>>,
    sharers: u8,
}

impl World {
    fn new() -> Self {
        Self {
            ledger: State::default(),
            epoch: Epoch(1),
            rounds: IndexMap::new(),
            daemons: vec![Floors::default(); DAEMONS.into()],
            late: vec![Vec::new(); DAEMONS.into()],
            sharers: 1,
        }
    }

    fn targets(&self, d: u8) -> ByWorker {
        if d >= self.sharers {
            return ByWorker::default();
        }
        let part = |w: u8| {
            grants::even_share(
                &worker_capacity(),
                SHARE_PERCENT,
                usize::from(d + w),
                self.sharers.into(),
            )
        };
        (0..WORKERS).map(|w| (worker(w), part(w))).collect()
    }

    /// Handles a round as the owner: returns false if it is late, or else commits its changes.
    fn receive(&mut self, d: u8, round: &Round) -> bool {
        let last = self.rounds.entry(d).or_default();
        let is_next = round.epoch == self.epoch && round.number > *last;
        *last = (*last).max(round.number);
        if !is_next {
            return false;
        }
        let hosts: ByWorker = (0..WORKERS)
            .map(|w| (worker(w), worker_capacity()))
            .collect();
        let targets = self.targets(d);
        let events = grants::changes(&self.ledger, &hosts, &holder(d), &round.holding, &targets);
        assert_eq!(self.ledger.apply_all(&events), Ok(()));
        true
    }

    fn exchange(&mut self, d: u8, delivery: Delivery) {
        let floors = &mut self.daemons[usize::from(d)];
        let round = Round {
            epoch: self.epoch,
            number: floors.next_round(),
            holding: floors.holding(),
        };
        match delivery {
            Delivery::NotDelivered => {}
            Delivery::Late => self.late[usize::from(d)].push(round),
            Delivery::AnswerLost => {
                self.receive(d, &round);
            }
            Delivery::Answered => {
                if self.receive(d, &round) {
                    let floors = self
                        .ledger
                        .grants
                        .get(&holder(d))
                        .cloned()
                        .unwrap_or_default();
                    let targets = self.targets(d);
                    self.daemons[usize::from(d)].adopt(self.epoch, &floors, &targets);
                }
            }
        }
    }

    fn run(&mut self, op: Op) {
        match op {
            Op::Exchange(d, delivery) => self.exchange(d, delivery),
            Op::StartRequest(d, w) => {
                let floors = &mut self.daemons[usize::from(d)];
                if floors.has_capacity(&worker(w), &request()) {
                    floors.take(&worker(w), &request());
                }
            }
            Op::EndRequest(d, w) => {
                let floors = &mut self.daemons[usize::from(d)];
                if floors
                    .held
                    .get(&worker(w))
                    .is_some_and(|floor| floor.used.slots > 0)
                {
                    floors.release(&worker(w), &request());
                }
            }
            Op::LateRound(d) => {
                if let Some(round) = self.late[usize::from(d)].pop() {
                    self.receive(d, &round);
                }
            }
            Op::OwnerChange => {
                self.epoch = self.epoch.next();
                self.rounds.clear();
            }
            Op::Sharers(n) => self.sharers = n,
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert_eq!(&self.ledger.committed, &self.ledger.recount());
        for w in 0..WORKERS {
            let committed = self.ledger.committed_on(&worker(w));
            prop_assert!(committed.slots <= worker_capacity().slots, "{committed:?}");
            prop_assert!(
                committed.size.fits(&worker_capacity().size),
                "{committed:?}"
            );
            for d in 0..DAEMONS {
                let Some(floor) = self.daemons[usize::from(d)].held.get(&worker(w)) else {
                    continue;
                };
                let granted = self
                    .ledger
                    .grants
                    .get(&holder(d))
                    .and_then(|floors| floors.get(&worker(w)));
                let granted = granted.copied().unwrap_or_default();
                prop_assert!(floor.used.slots <= floor.grant.slots);
                prop_assert!(floor.used.size.fits(&floor.grant.size));
                prop_assert!(
                    floor.grant.slots <= granted.slots,
                    "daemon {d}: {floor:?} of {granted:?}"
                );
                prop_assert!(
                    floor.grant.size.fits(&granted.size),
                    "daemon {d}: {floor:?} of {granted:?}"
                );
            }
        }
        Ok(())
    }
}

proptest! {
    /// Guards against workers that are overcommitted by floors: a daemon never uses more than the
    /// ledger grants it, and all grants together never exceed the worker.
    #[test]
    fn floors_never_sum_beyond_the_worker(ops in vec(op(), 1..150)) {
        let mut world = World::new();
        for op in ops {
            world.run(op);
            world.check()?;
        }
    }
}
