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

/// Guards against an exceeded limit during a network cut: two data centres use the whole limit of
/// 8, and one is cut off from the table. It continues within its share, which the other does not
/// take over.
#[actix_rt::test]
async fn a_limit_holds_over_two_data_centres_also_while_one_is_cut_off() {
    let site = EmbeddedSite::start(&["multan", "lahore"], 2, 2).await;
    let mut raw = entry("check", false, 2_000);
    raw.concurrency = Some(LIMIT_OF_ENTRY);
    site.serve_entry(&raw).await;
    site.switch_workers(|switches| switches.request_ms = 150);
    let max_running = Cell::new(0);
    let is_finished = Cell::new(false);
    let answered = [const { Cell::new(0_u32) }; 4];
    let caller = |caller: usize| {
        let (site, is_finished, answered) = (&site, &is_finished, &answered[caller % 4]);
        async move {
            while !is_finished.get() {
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
        while !is_finished.get() {
            let running = site.workers.iter().map(|w| w.worker.running_requests());
            max_running.set(max_running.get().max(running.sum()));
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
    let scenario = async {
        all_answer("all four daemons answer").await;
        let cut = vec!["multan-0".to_owned(), "multan-1".to_owned()];
        site.platform.switches.borrow_mut().cut = cut;
        tokio::time::sleep(Duration::from_secs(3)).await;
        all_answer("all four answer while one data centre is cut off").await;
        *site.platform.switches.borrow_mut() = PlatformSwitches::default();
        all_answer("all four answer afterwards").await;
        is_finished.set(true);
    };
    let callers = futures::future::join_all((0..16).map(caller));
    futures::join!(callers, watch, scenario);
    assert!(
        max_running.get() <= LIMIT_OF_ENTRY,
        "{} ran at once",
        max_running.get()
    );
    assert!(max_running.get() > 4, "{} ran at once", max_running.get());
}

/// What happens to a write that a party sends.
#[derive(Clone, Copy, Debug)]
enum WriteOutcome {
    Committed,
    Lost,
    LostAfterEffect,
    /// The answer is lost, and the write takes effect later if nobody has written since.
    Late,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Start(usize),
    Finish(usize),
    /// A party reads the row and writes its update.
    Look(usize, WriteOutcome, u32),
    /// Late writes arrive.
    Arrive,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        4 => Just(WriteOutcome::Committed),
        1 => Just(WriteOutcome::Lost),
        1 => Just(WriteOutcome::LostAfterEffect),
        2 => Just(WriteOutcome::Late),
    ];
    let step = prop_oneof![
        4 => (0..3_usize).prop_map(Step::Start),
        3 => (0..3_usize).prop_map(Step::Finish),
        4 => (0..3_usize, outcome, 0..12_u32).prop_map(|(p, outcome, waits)| Step::Look(p, outcome, waits)),
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

/// The table: the row, its version, and writes in flight.
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

fn update_share(
    member: &mut Member,
    rank: usize,
    waits: u32,
    outcome: WriteOutcome,
    table: &mut Table,
) {
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
    match outcome {
        WriteOutcome::Committed => {
            assert!(table.write(table.version, next));
            member.allowed.after_write(amount);
        }
        WriteOutcome::Lost => {}
        WriteOutcome::LostAfterEffect => {
            table.write(table.version, next);
        }
        WriteOutcome::Late => table.late.push((table.version, next)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against an exceeded limit when answers are lost and writes arrive late: the parts and
    /// the runs of three parties never add up to more than the limit, and each party's runs stay
    /// within its part.
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
                Step::Look(p, outcome, waits) => update_share(&mut members[p], p, waits, outcome, &mut table),
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

/// Within a few updates one busy party gets most of the limit and an idle one keeps some. When the
/// idle one becomes busy, it gets its even part back.
#[test]
fn shares_follow_demand_and_come_back() {
    let mut members: Vec<Member> = (0..2).map(member).collect();
    let mut table = Table::default();
    let mut rounds = |waits: [u32; 2]| {
        for _ in 0..8 {
            for (rank, member) in members.iter_mut().enumerate() {
                update_share(
                    member,
                    rank,
                    waits[rank],
                    WriteOutcome::Committed,
                    &mut table,
                );
            }
        }
        [0, 1].map(|n| members[n].allowed.amount())
    };
    let [busy, idle] = rounds([20, 0]);
    assert!(busy >= 5 && idle >= 1, "{busy} and {idle}");
    let [_, now_busy] = rounds([20, 20]);
    assert!(now_busy >= 2, "{now_busy}");
}
