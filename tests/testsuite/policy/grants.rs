//! How a worker's slots are divided between daemons.

use lapisdrum::policy::grants::{Demand, Part, divide, is_worth_moving};
use proptest::prelude::*;

fn total(parts: &[Part]) -> u32 {
    parts.iter().map(|part| part.floor + part.surplus).sum()
}

proptest! {
    /// Floors and surplus are exactly the worker's slots, whatever is asked for, and floors do not
    /// depend on demand: a daemon that is cut off keeps its own whatever the others ask.
    #[test]
    fn a_worker_is_divided_exactly(
        slots in 0..200_u32,
        asked in prop::collection::vec((0..500_u32, 0..500_u32), 1..12),
        turn in 0..100_usize,
    ) {
        let demands: Vec<Demand> = asked
            .iter()
            .map(|(used, waiting)| Demand { used: *used, waiting: *waiting, surplus: 0 })
            .collect();
        let parts = divide(slots, &demands, turn);
        let idle = divide(slots, &vec![Demand::default(); demands.len()], turn);
        prop_assert_eq!(total(&parts), slots);
        prop_assert_eq!(total(&idle), slots);
        for (part, idle) in parts.iter().zip(idle) {
            prop_assert_eq!(part.floor, idle.floor);
        }
    }

    /// Who asks for more gets no less.
    #[test]
    fn surplus_follows_demand(slots in 1..64_u32, a in 0..100_u32, b in 0..100_u32, turn in 0..9_usize) {
        let demand = |used| Demand { used, ..Demand::default() };
        let parts = divide(slots, &[demand(a), demand(b)], turn);
        if a > b {
            prop_assert!(parts[0].surplus >= parts[1].surplus);
        }
    }
}

/// The balancer sends everything to one daemon of two: it gets three quarters of the slots, and the
/// idle one keeps its floor.
#[test]
fn one_busy_daemon_gets_the_whole_surplus() {
    let busy = Demand {
        used: 30,
        waiting: 20,
        surplus: 0,
    };
    let parts = divide(8, &[busy, Demand::default()], 0);
    assert_eq!(
        parts[0],
        Part {
            floor: 2,
            surplus: 4
        }
    );
    assert_eq!(
        parts[1],
        Part {
            floor: 2,
            surplus: 0
        }
    );
}

/// Demand that changes by a request to and fro moves nothing.
#[test]
fn a_small_change_is_not_worth_moving() {
    assert!(!is_worth_moving(10, 11));
    assert!(!is_worth_moving(10, 9));
    assert!(is_worth_moving(10, 12));
    assert!(is_worth_moving(1, 0));
    assert!(is_worth_moving(0, 1));
}
