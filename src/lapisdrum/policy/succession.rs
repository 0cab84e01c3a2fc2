//! Which daemon takes a shard over from an owner that is told to stop.
//!
//! Load pattern: all daemons are restarted in turn, some twice, while the store turns calls away. A
//! release without a named successor goes to the daemon that polls first, which is often one with a
//! small part of a core that is itself restarted seconds later; each such change costs a recovery.
//!
//! A successor must answer, reach the store and not be draining. Among these the processor share for
//! each shard counts first, since an owner with too little falls behind for as long as it owns the
//! shard, and a further planned change costs far less than that. Then come daemons that were started
//! after the owner: a restart in turn doesn't stop them again. Among those that were not, the one
//! that has run for longest is tried last, as the next in turn is probably one of its age.

use std::{cmp::Reverse, time::Duration};

/// Processor share for each shard, in thousandths of a core, from which more is no better: an owner
/// keeps up with its shard in a burst.
const SUFFICIENT_SHARE: u32 = 250;
/// Difference in uptime, in milliseconds, from which a daemon counts as started later than another:
/// daemons that are started together differ by less.
const UPTIME_TOLERANCE_MS: u64 = 1_000;
/// Time since the last answer of the store, in milliseconds, from which a daemon doesn't count as
/// reaching it: a few polls of leases.
const MAX_STORE_AGE_MS: u64 = 1_000;
/// Width of the classes of round trips that count as equal: within a data centre.
const ROUND_TRIP_CLASS: Duration = Duration::from_millis(4);

data! {
    /// State of a daemon that may take a shard over.
    #[derive(Copy)]
    pub struct Candidate {
        /// Time since the store last answered it, in milliseconds.
        pub store_age_ms: u64,
        /// Whether it is shutting down.
        pub is_draining: bool,
        /// Time since its start, in milliseconds.
        pub up_ms: u64,
        /// Its processor share, in thousandths of a core.
        pub cpu_share_milli: u32,
        /// Number of shards that it owns or is preparing to own.
        pub shards: u32,
    }
}

impl Candidate {
    fn is_able(&self) -> bool {
        self.store_age_ms <= MAX_STORE_AGE_MS && !self.is_draining
    }

    /// Processor share for each shard if it took one more.
    fn share(&self) -> u32 {
        useful_share(self.cpu_share_milli / (self.shards + 1))
    }
}

/// The part of a processor share that counts, in thousandths of a core.
pub fn useful_share(share_milli: u32) -> u32 {
    share_milli.min(SUFFICIENT_SHARE)
}

/// Ranks candidates, given with the round trip of their answers, for a shard of an owner that has run
/// for `owner_up_ms`; returns the indices of those that are able to take it, the best first.
pub fn rank(candidates: &[(Candidate, Duration)], owner_up_ms: u64) -> Vec<usize> {
    let able = candidates.iter().enumerate();
    let able = able.filter(|(_, (candidate, _))| candidate.is_able());
    let mut ranked: Vec<_> = able
        .map(|(index, (candidate, round_trip))| {
            let is_older = candidate.up_ms + UPTIME_TOLERANCE_MS >= owner_up_ms;
            let up_ms = if is_older { candidate.up_ms } else { 0 };
            let far = round_trip.as_millis() / ROUND_TRIP_CLASS.as_millis();
            let key = (
                Reverse(candidate.share()),
                is_older,
                candidate.shards,
                up_ms / UPTIME_TOLERANCE_MS,
                far,
                *round_trip,
            );
            (key, index)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, index)| index).collect()
}
