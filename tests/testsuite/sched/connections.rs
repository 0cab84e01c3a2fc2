//! Connections of owners to their workers.

use super::{
    paused,
    world::{StoreBehaviour, World, owned, until},
};
use indexmap::IndexSet;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(5);

/// Guards against a former owner that keeps connections to workers which the next owner needs.
#[test]
fn an_owner_that_loses_its_shard_closes_its_connections_to_workers() {
    paused(async {
        let world = World::new(3);
        let first = world.daemon("a");
        owned(&first, LIMIT).await;
        until("the workers answer the first owner", LIMIT, async || {
            let owners = first.owners();
            let sessions = owners[0].sessions.borrow();
            sessions.values().filter(|s| s.is_claimed()).count() == 3
        })
        .await;
        let second = world.daemon("b");
        world.set_store("a", StoreBehaviour::Unavailable);
        owned(&second, LIMIT).await;
        until("the connections are closed", LIMIT, async || {
            let disconnects = world.disconnects.borrow();
            let of_first = disconnects.iter().filter(|(daemon, _)| daemon == "a");
            let workers: IndexSet<&str> = of_first.map(|(_, address)| address.as_str()).collect();
            workers.len() == 3
        })
        .await;
    });
}
