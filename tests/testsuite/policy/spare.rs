//! Spare capacity that a shard offers to long-running tasks of other shards.

use lapisdrum::{
    core::size::Size,
    policy::dispatch::spare::{SpareHost, SpareHosts, SpareNeed, StepLimit},
};
use proptest::prelude::*;

fn size(millicores: u64, memory_mb: u64) -> Size {
    Size {
        millicores,
        memory_mb,
        accelerators: 0,
    }
}

fn host(id: &str, free: Size) -> SpareHost {
    SpareHost {
        id: id.to_owned(),
        pool: "pool".to_owned(),
        labels: vec!["ssd".to_owned()],
        free,
    }
}

fn need(millicores: u64, memory_mb: u64) -> SpareNeed<'static> {
    SpareNeed {
        pool: "pool",
        size: size(millicores, memory_mb),
        required_label: None,
        limit: None,
    }
}

/// Hosts with 1.5 and 2 cores and 4 GB free.
fn hosts() -> SpareHosts {
    SpareHosts::from(vec![
        host("a", size(1_500, 4_000)),
        host("b", size(2_000, 4_000)),
    ])
}

/// Guards against interrupted tasks that fit on no host and take capacity from smaller ones.
#[test]
fn tasks_that_fit_nowhere_take_nothing() {
    let mut hosts = hosts();
    assert_eq!(hosts.place(&need(4_000, 1_000), 100), 0);
    assert_eq!(hosts.place(&need(1_000, 5_000), 100), 0);
    assert_eq!(hosts.count(&need(1_500, 1_000)), 2);
}

#[test]
fn each_task_takes_its_own_size_on_the_fullest_host_that_fits() {
    let mut hosts = hosts();
    assert_eq!(hosts.place(&need(1_200, 1_000), 1), 1);
    assert_eq!(hosts.count(&need(300, 1_000)), 5);
    assert_eq!(hosts.count(&need(2_000, 1_000)), 1);
    assert_eq!(hosts.place(&need(1_800, 1_000), 2), 1);
    assert_eq!(hosts.count(&need(1_500, 1_000)), 0);
}

#[test]
fn pools_labels_and_limits_of_steps_bind() {
    let mut hosts = hosts();
    let other_pool = SpareNeed {
        pool: "other",
        ..need(100, 100)
    };
    let labelled = |label| SpareNeed {
        required_label: Some(label),
        ..need(1_500, 100)
    };
    let limited = SpareNeed {
        limit: Some(StepLimit {
            max: 2,
            running: [("a", 1)].into_iter().collect(),
        }),
        ..need(100, 100)
    };
    assert_eq!(hosts.count(&other_pool), 0);
    assert_eq!(hosts.count(&labelled("gpu")), 0);
    assert_eq!(hosts.count(&labelled("ssd")), 2);
    assert_eq!(hosts.eligible(&labelled("ssd")), 2);
    assert_eq!(hosts.count(&limited), 3);
    assert_eq!(hosts.place(&limited, 10), 3);
}

proptest! {
    #[test]
    fn as_many_tasks_can_be_placed_as_are_counted(
        free in prop::collection::vec((0_u64..5_000, 0_u64..5_000), 1..8),
        (millicores, memory_mb) in (1_u64..3_000, 1_u64..3_000),
        placed_before in (1_u64..3_000, 0_u64..5),
    ) {
        let hosts: Vec<SpareHost> = free.iter().map(|(m, mb)| host("a", size(*m, *mb))).collect();
        let mut hosts = SpareHosts::from(hosts);
        let need = need(millicores, memory_mb);
        let before = hosts.count(&need);
        hosts.place(&SpareNeed { size: size(placed_before.0, 100), ..need.clone() }, placed_before.1);
        let count = hosts.count(&need);
        prop_assert!(count <= before);
        prop_assert_eq!(hosts.place(&need, u64::MAX), count);
        prop_assert_eq!(hosts.count(&need), 0);
    }
}
