//! A daemon whose reads are rate-limited by the store.

use super::{
    paused,
    world::{StoreBehaviour, World, owned},
};
use std::{cell::Cell, time::Duration};
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(5);
const WINDOW: Duration = Duration::from_secs(6);

/// Counts the reads within one window.
async fn count(reads: &Cell<usize>) -> usize {
    let before = reads.get();
    sleep(WINDOW).await;
    reads.get() - before
}

/// Guards against lease reads of hundreds of daemons that exhaust the read rate which catalogue reads need.
#[test]
fn refused_reads_of_leases_slow_down_and_those_of_the_catalogue_are_repeated() {
    paused(async {
        let world = World::new(1);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let leases = count(&world.lease_reads).await;
        let catalogue = count(&world.operator_reads).await;
        world.set_store("a", StoreBehaviour::RefusesReads);
        sleep(LIMIT).await;
        let refused_leases = count(&world.lease_reads).await;
        let refused_catalogue = count(&world.operator_reads).await;
        assert!(refused_leases * 3 < leases, "{refused_leases} of {leases}");
        assert!(
            refused_catalogue > catalogue * 2,
            "{refused_catalogue} for {catalogue}"
        );
        assert!(cx.store_up.get(), "a store that refuses reads is up");
        world.set_store("a", StoreBehaviour::Up);
        sleep(LIMIT * 4).await;
        // Depending on where it starts, a window holds one read more or less.
        let after = count(&world.lease_reads).await;
        assert!(after.abs_diff(leases) <= 1, "{after} for {leases}");
        world.check();
    });
}
