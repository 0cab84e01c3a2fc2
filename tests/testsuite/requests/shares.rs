//! An entry's limit holds for the whole system, also while a part of it is cut off.

use super::embedded::{EmbeddedSite, LIMIT, entry};
use crate::support::wait;
use lapisdrum::{
    core::id::{DaemonId, DataCentre, Incarnation, Revision},
    state::{
        ownership::Holder,
        shares::{Party, PartyView, Shares, UsableShare},
    },
};
use lapisdrum_standins::platform::server::PlatformSwitches;
use proptest::prelude::*;
use std::{cell::Cell, time::Duration};

const LIMIT_OF_ENTRY: u32 = 8;

/// Callers in two data centres keep an entry at its limit of 8 over four daemons. One data centre is
/// cut off from the table and goes on inside its share; the other does not take that over, however
/// much it wants. At no moment do more than 8 run, and both go on answering.
#[actix_rt::test]
async fn a_limit_holds_over_two_data_centres_also_while_one_is_cut_off() {
    let site = EmbeddedSite::start(&["multan", "lahore"], 2, 2).await;
    let mut raw = entry("check", false, 2_000);
    raw.concurrency = Some(LIMIT_OF_ENTRY);
    site.serve_entry(&raw).await;
    site.switch_workers(|switches| switches.request_ms = 150);
    let most = Cell::new(0);
    let over = Cell::new(false);
    let answered = [const { Cell::new(0_u32) }; 4];
    let caller = |caller: usize| {
        let (site, over, answered) = (&site, &over, &answered[caller % 4]);
        async move {
            while !over.get() {
                let asked = site.daemons[caller % 4].ask("check", &[], "x").await;
                if asked.is_ok_and(|answer| answer.status.is_success()) {
                    answered.set(answered.get() + 1);
                } else {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    };
    let watch = async {
        while !over.get() {
            let running = site.workers.iter().map(|w| w.worker.running_requests());
            most.set(most.get().max(running.sum()));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let all_answer = async |what: &str| {
        let before: Vec<u32> = answered.iter().map(Cell::get).collect();
        wait::until(what, LIMIT, async || {
            answered
                .iter()
                .zip(&before)
                .all(|(now, before)| now.get() > before + 5)
        })
        .await;
    };
    let story = async {
        all_answer("all four daemons answer").await;
        let cut = vec!["multan-0".to_owned(), "multan-1".to_owned()];
        site.platform.switches.borrow_mut().cut = cut;
        tokio::time::sleep(Duration::from_secs(3)).await;
        all_answer("all four answer while one data centre is cut off").await;
        *site.platform.switches.borrow_mut() = PlatformSwitches::default();
        all_answer("all four answer afterwards").await;
        over.set(true);
    };
    let callers = futures::future::join_all((0..16).map(caller));
    futures::join!(callers, watch, story);
    assert!(most.get() <= LIMIT_OF_ENTRY, "{} ran at once", most.get());
    assert!(most.get() > 4, "{} ran at once", most.get());
}

/// What happens to a write that a party sends.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Committed,
    Lost,
    LostAfterEffect,
    /// Its answer is lost, and it takes effect later if nobody has written since.
    Late,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Start(usize),
    Finish(usize),
    /// A party reads the row and writes its look.
    Look(usize, Fate, u32),
    /// Late writes arrive.
    Arrive,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let fate = prop_oneof![
        4 => Just(Fate::Committed),
        1 => Just(Fate::Lost),
        1 => Just(Fate::LostAfterEffect),
        2 => Just(Fate::Late),
    ];
    let step = prop_oneof![
        4 => (0..3_usize).prop_map(Step::Start),
        3 => (0..3_usize).prop_map(Step::Finish),
        4 => (0..3_usize, fate, 0..12_u32).prop_map(|(p, fate, waits)| Step::Look(p, fate, waits)),
        1 => Just(Step::Arrive),
    ];
    prop::collection::vec(step, 1..120)
}

struct Member {
    party: Party,
    data_centre: DataCentre,
    allowed: UsableShare,
    running: u32,
}

fn member(n: usize) -> Member {
    let name = |text: &str| format!("{text}-{n}");
    Member {
        party: Party::Daemon(Holder {
            daemon: DaemonId::try_from(name("daemon")).expect("a name"),
            incarnation: Incarnation(1),
            address: name("address"),
        }),
        data_centre: DataCentre::try_from(name("centre")).expect("a name"),
        allowed: UsableShare::default(),
        running: 0,
    }
}

/// The table: the row, its version, and writes that have not arrived.
#[derive(Default)]
struct Table {
    row: Shares,
    version: u64,
    late: Vec<(u64, Shares)>,
}

impl Table {
    fn write(&mut self, version: u64, row: Shares) -> bool {
        let is_current = version == self.version;
        if is_current {
            self.version += 1;
            self.row = row;
        }
        is_current
    }
}

fn look(member: &mut Member, rank: usize, waits: u32, fate: Fate, table: &mut Table) {
    let in_row = table.row.part(&member.party).map_or(0, |part| part.amount);
    member.allowed.after_read(in_row);
    let next = table.row.updated_by(&PartyView {
        party: &member.party,
        data_centre: &member.data_centre,
        revision: Revision(1),
        limit: LIMIT_OF_ENTRY,
        parties: 3,
        rank: u32::try_from(rank).expect("few parties"),
        running: member.running,
        demand: member.running + waits,
    });
    let amount = next.part(&member.party).map_or(0, |part| part.amount);
    member.allowed.before_write(amount);
    match fate {
        Fate::Committed => {
            assert!(table.write(table.version, next));
            member.allowed.after_write(amount);
        }
        Fate::Lost => {}
        Fate::LostAfterEffect => {
            table.write(table.version, next);
        }
        Fate::Late => table.late.push((table.version, next)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Three parties start and finish runs and look at the row in any order, while answers are lost
    /// and writes arrive late. The parts never add up to more than the limit, and neither do the
    /// runs; each party's runs stay within its part.
    #[test]
    fn runs_never_exceed_the_limit_whatever_is_lost_or_late(steps in steps()) {
        let mut members: Vec<Member> = (0..3).map(member).collect();
        let mut table = Table::default();
        for step in steps {
            match step {
                Step::Start(p) if members[p].running < members[p].allowed.amount() => {
                    members[p].running += 1;
                }
                Step::Finish(p) => members[p].running = members[p].running.saturating_sub(1),
                Step::Look(p, fate, waits) => look(&mut members[p], p, waits, fate, &mut table),
                Step::Arrive => {
                    for (version, row) in std::mem::take(&mut table.late) {
                        table.write(version, row);
                    }
                }
                Step::Start(_) => {}
            }
            prop_assert!(table.row.given() <= LIMIT_OF_ENTRY);
            prop_assert!(members.iter().map(|m| m.running).sum::<u32>() <= LIMIT_OF_ENTRY);
            for member in &members {
                let part = table.row.part(&member.party).map_or(0, |part| part.amount);
                prop_assert!(member.running <= part);
            }
        }
    }
}

/// One party is busy and the others are idle: within a few looks the busy one has most of the limit,
/// and the idle ones keep some. When another becomes busy, it has its even part back within a few
/// looks of both.
#[test]
fn shares_follow_demand_and_come_back() {
    let mut members: Vec<Member> = (0..2).map(member).collect();
    let mut table = Table::default();
    let mut rounds = |waits: [u32; 2]| {
        for _ in 0..8 {
            for (rank, member) in members.iter_mut().enumerate() {
                look(member, rank, waits[rank], Fate::Committed, &mut table);
            }
        }
        [0, 1].map(|n| members[n].allowed.amount())
    };
    let [busy, idle] = rounds([20, 0]);
    assert!(busy >= 5 && idle >= 1, "{busy} and {idle}");
    let [_, now_busy] = rounds([20, 20]);
    assert!(now_busy >= 2, "{now_busy}");
}
