//! Log fields on the free capacity of hosts and on the reasons why a task fits none.

use lapisdrum::{
    core::size::Size,
    policy::dispatch::{
        interference::InterferenceModel,
        overdue::OverdueTasks,
        place::{Host, Load, Need, Unfit},
        room::{Room, Shortage},
    },
};
use std::time::Duration;

fn cores(n: u64) -> Size {
    Size {
        millicores: n * 1_000,
        memory_mb: n * 1_000,
        accelerators: 0,
    }
}

/// A host of ten cores, of which `reserved` are reserved by tasks other than serving ones.
fn host(reserved: u64) -> Host<'static> {
    Host {
        id: "host",
        pool: "pool",
        rack: None,
        labels: &[],
        capacity: cores(10),
        reserved: cores(reserved),
        long_running: Size::ZERO,
        best_effort_millicores: 0,
        serving: Vec::new(),
        is_open_for_best_effort: true,
        overdue: OverdueTasks::None,
        of_step: 0,
        is_suspect: false,
        is_avoided: false,
        kept: None,
        kept_for: Size::ZERO,
    }
}

fn need(size: Size) -> Need<'static> {
    Need {
        pool: "pool",
        size,
        load: Load::Reserving,
        is_long_running: false,
        required_label: None,
        data_rack: None,
        max_per_worker: None,
        image: None,
        victim: None,
        duration: Duration::from_secs(1),
    }
}

/// Guards against log lines that do not distinguish full hosts from fragmented free capacity.
#[test]
fn fragmented_free_capacity_is_distinguished_from_full_hosts() {
    let model = InterferenceModel::default();
    let need = need(cores(3));
    let fragmented = vec![host(8); 6];
    let full = [vec![host(10); 5], vec![host(8)]].concat();
    let shortage = |hosts: &[Host]| Shortage::of(&need, hosts, &model).expect("hosts");
    assert_eq!(shortage(&fragmented).fitting_in_sum, 4);
    assert_eq!(shortage(&full).fitting_in_sum, 0);
    let widest = |hosts: &[Host]| Room::of(hosts).widest_free_millicores;
    assert_eq!((widest(&fragmented), widest(&full)), (2_000, 2_000));
    assert_eq!(Room::of(&fragmented).free_permille, 200);
    assert_eq!(Room::of(&fragmented).reserving_permille, 800);
}

#[test]
fn every_reason_is_counted_the_most_frequent_first() {
    let mut small = need(cores(3));
    small.size.memory_mb = 9_000;
    let mut labelled = host(0);
    labelled.of_step = 1;
    small.max_per_worker = Some(1);
    let hosts = [host(2), labelled, host(2)];
    let shortage = Shortage::of(&small, &hosts, &InterferenceModel::default()).expect("hosts");
    assert_eq!(shortage.main_reason(), Some(Unfit::Memory));
    assert_eq!(shortage.refusals_text().to_string(), "Memory:2 StepLimit:1");
    assert_eq!(
        Shortage::of(&small, &[], &InterferenceModel::default()),
        None
    );
}
