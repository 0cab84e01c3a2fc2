//! Property tests of each load-control policy, and load scenarios judged by what callers receive.

mod admission;
mod drain;
mod eviction;
mod headroom;
mod health;
mod hysteresis;
mod intake;
mod missed_alone;
mod outliers;
mod placement;
mod polling;
mod queueing;
mod retry;
mod routing;
mod shard_load;
mod slowdown;
mod spare;
mod stories;
mod succession;

use lapisdrum::core::id::{EntryName, JobId, OwnerName, WorkerId};
use rand::{SeedableRng, rngs::StdRng};

fn entry(name: &str) -> EntryName {
    EntryName::try_from(name).expect("a test's name is valid")
}

fn owner(name: &str) -> OwnerName {
    OwnerName::try_from(name).expect("a test's name is valid")
}

fn worker(index: usize) -> WorkerId {
    WorkerId::try_from(format!("w{index}")).expect("a test's name is valid")
}

fn job(index: usize) -> JobId {
    JobId::try_from(format!("j{index}")).expect("a test's name is valid")
}

fn seeded(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}
