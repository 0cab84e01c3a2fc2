//! Which client gives way when callers hold all the memory or connections that they may.

use lapisdrum::{
    policy::intake::{Client, Shortage, Stage, choose},
    util::http::intake::{IntakeLimits, ProcessLimits},
};
use proptest::{prelude::*, sample::select};
use std::time::Duration;

fn client(id: u64, stage: Stage, held_bytes: usize, stalled_ms: u64) -> Client {
    Client {
        id,
        stage,
        held_bytes,
        stalled_for: Duration::from_millis(stalled_ms),
    }
}

fn chosen(clients: &[Client], shortage: Shortage) -> Option<u64> {
    choose(clients.iter().copied(), shortage).map(|client| client.id)
}

/// Guards against a stalled crowd that keeps the place of a client that is sending.
#[test]
fn the_client_that_stalled_first_gives_way() {
    let clients = [
        client(1, Stage::ReadingBody, 200_000, 20),
        client(2, Stage::ReadingBody, 100_000, 900),
        client(3, Stage::BetweenRequests, 50_000, 800),
    ];
    assert_eq!(chosen(&clients, Shortage::Memory), Some(2));
}

/// Guards against a connection with a request that is closed although others have none.
#[test]
fn connections_without_a_request_are_closed_first() {
    let clients = [
        client(1, Stage::ReadingBody, 0, 900),
        client(2, Stage::BetweenRequests, 0, 10),
        client(3, Stage::Discarding, 0, 20),
    ];
    assert_eq!(chosen(&clients, Shortage::Connections), Some(3));
    assert_eq!(chosen(&clients[..1], Shortage::Connections), Some(1));
}

fn any_client() -> impl Strategy<Value = Client> {
    let stages = [
        Stage::BetweenRequests,
        Stage::ReadingBody,
        Stage::Serving,
        Stage::Discarding,
    ];
    (any::<u64>(), select(stages.to_vec()), 0..3_usize, 0..5_u64)
        .prop_map(|(id, stage, held, stalled)| client(id, stage, held, stalled))
}

proptest! {
    /// Guards against a whole request that is cut off, and against a choice that frees nothing.
    #[test]
    fn no_whole_request_and_nobody_without_memory_gives_way(
        clients in prop::collection::vec(any_client(), 0..8),
    ) {
        for shortage in [Shortage::Memory, Shortage::Connections] {
            let able = |c: &Client| {
                c.stage != Stage::Serving && (shortage == Shortage::Connections || c.held_bytes > 0)
            };
            match choose(clients.iter().copied(), shortage) {
                Some(chosen) => prop_assert!(able(&chosen)),
                None => prop_assert!(!clients.iter().any(able)),
            }
        }
    }
}

/// Guards against limits that leave the daemon's own calls without descriptors or memory.
#[test]
fn callers_get_a_part_of_what_the_process_has() {
    let limits = |memory_mb, descriptors| {
        IntakeLimits::from(ProcessLimits {
            memory_mb,
            descriptors,
        })
    };
    let smallest = limits(160, 4_096);
    assert_eq!((smallest.bytes, smallest.connections), (32 << 20, 512));
    assert_eq!(limits(1_024, 4_096).connections, 1_948);
    assert_eq!(limits(160, 512).connections, 156);
    assert_eq!(limits(160, 100).connections, 16);
}
