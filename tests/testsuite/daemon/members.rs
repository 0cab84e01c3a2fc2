//! Evidence that an earlier owner or a host has ended.

use lapisdrum::{
    core::{
        id::{DaemonId, DataCentre, Incarnation, Rack, Revision, WorkerId},
        size::Size,
        time::Millis,
    },
    daemon::members::{Members, Presence, SeenPresence},
    state::ownership::{Holder, Sighting},
    store::wire::Host,
};

fn holder(name: &str, run: u64, address: &str) -> Holder {
    Holder {
        daemon: DaemonId::try_from(name).expect("a name"),
        incarnation: Incarnation(run),
        address: address.to_owned(),
    }
}

fn seen(holder: &Holder, since: u64, is_listed: bool) -> (DaemonId, SeenPresence) {
    let row = Presence {
        holder: holder.clone(),
        data_centre: DataCentre::try_from("karen").expect("a name"),
        callers: "127.0.0.1:1".to_owned(),
        revision: Revision(1),
        beat: 1,
        is_listed,
    };
    let seen = Sighting {
        version: 1,
        since: Millis(since),
    };
    (holder.daemon.clone(), SeenPresence { row, seen })
}

fn host(name: &str, address: &str, slots: u32) -> Host {
    Host {
        worker: WorkerId::try_from(name).expect("a name"),
        address: address.to_owned(),
        data_centre: DataCentre::try_from("karen").expect("a name"),
        rack: Rack::try_from("rack-0").expect("a name"),
        leaving: false,
        capacity: Size::ZERO,
        slots,
        connections: 1,
    }
}

/// Guards against tasks that are started twice: B replaced A at one address, owned the shard and is
/// now cut off. A's old row in the table does not prove that B has ended, and B still renews its
/// tasks. Only a row that changed after the take-over proves it.
#[test]
fn an_old_row_at_the_same_address_does_not_prove_that_an_owner_ended() {
    let (a, b) = (
        holder("karen-a", 1, "10.0.0.1:7000"),
        holder("karen-b", 2, "10.0.0.1:7000"),
    );
    let mut members = Members::default();
    members
        .daemons
        .extend([seen(&a, 0, false), seen(&b, 500, false)]);
    let taken = Millis(1_000);
    assert!(!members.is_replaced(&b, taken));
    let c = holder("karen-c", 3, "10.0.0.1:7000");
    members.daemons.extend([seen(&c, 2_000, false)]);
    assert!(members.is_replaced(&b, taken));
}

/// Absence from the platform's list is evidence only for a host that was listed before.
#[test]
fn only_a_host_that_was_listed_can_be_missed() {
    let (a, b) = (
        holder("karen-a", 1, "10.0.0.1:7000"),
        holder("karen-b", 2, "10.0.0.2:7000"),
    );
    let mut members = Members::default();
    members
        .daemons
        .extend([seen(&a, 0, true), seen(&b, 0, false)]);
    assert!(!members.is_host_removed(&a), "no list was read yet");
    members.set_hosts(vec![host("entry-a", "10.0.0.1:1", 0)], 1, Millis(1));
    assert!(!members.is_host_removed(&a));
    members.set_hosts(vec![host("worker-0", "10.0.0.9:1", 8)], 1, Millis(2));
    assert!(members.is_host_removed(&a));
    assert!(!members.is_host_removed(&b), "it was never listed");
}

/// Guards against evicting everything when the platform returns an empty list by mistake.
#[test]
fn an_empty_host_list_is_ignored() {
    let mut members = Members::default();
    members.set_hosts(vec![host("worker-0", "10.0.0.9:1", 8)], 1, Millis(1));
    members.set_hosts(Vec::new(), 1, Millis(2));
    assert_eq!(members.hosts.len(), 1);
}
