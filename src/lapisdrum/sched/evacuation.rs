//! Evacuated data centres: operators ask that nothing new is started on their workers.
//!
//! What runs there runs on to its end, and callers who reach the data centre's daemons are served; only new starts go
//! elsewhere. Room shrinks by a whole data centre at once, so that placement, submission and the load that is told
//! to other shards all go by [`Evacuations::allows_starts`].
//!
//! A daemon acts on what it read last. One that can no longer read would go on starting tasks in a data centre that was
//! evacuated since, so a belief older than the setting's bound allows no start anywhere.

use crate::core::time::Millis;
use indexmap::IndexMap;
use std::time::Duration;

/// Least age at which a belief is too old to start anything on: several polls, so that one lost read stops nothing.
const LEAST_MAX_AGE: Duration = Duration::from_millis(2_000);

/// A data centre's evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Evacuation {
    /// The version of the operator's request.
    version: u64,
    /// When it was first seen.
    since: Millis,
}

/// What an operator changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing more may be started in a data centre.
    Evacuated {
        /// Its name.
        data_centre: String,
        /// The version of the request.
        version: u64,
        /// How long the read took that showed it.
        read_took: Duration,
    },
    /// Tasks may be started there again.
    Restored {
        /// Its name.
        data_centre: String,
        /// For how long it was evacuated, as seen here.
        after: Duration,
    },
}

/// Which data centres are evacuated, as last read.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    by_data_centre: IndexMap<String, Evacuation>,
    /// When the read was sent that last succeeded.
    asked_at: Option<Millis>,
}

impl Evacuations {
    /// Notes the requests, by data centre with their versions, as read by a call that was sent at `asked_at`.
    pub fn note(
        &mut self,
        read: &IndexMap<String, u64>,
        asked_at: Millis,
        now: Millis,
    ) -> Vec<Change> {
        self.asked_at = Some(asked_at);
        let mut changes = Vec::new();
        self.by_data_centre.retain(|data_centre, evacuation| {
            let stays = read.contains_key(data_centre);
            if !stays {
                changes.push(Change::Restored {
                    data_centre: data_centre.clone(),
                    after: now.since(evacuation.since),
                });
            }
            stays
        });
        for (data_centre, version) in read {
            let known = self.by_data_centre.get_mut(data_centre);
            if let Some(evacuation) = known {
                evacuation.version = *version;
                continue;
            }
            let evacuation = Evacuation {
                version: *version,
                since: now,
            };
            self.by_data_centre.insert(data_centre.clone(), evacuation);
            changes.push(Change::Evacuated {
                data_centre: data_centre.clone(),
                version: *version,
                read_took: now.since(asked_at),
            });
        }
        changes
    }

    /// Whether tasks may be started in a data centre, with an evacuation in force `bound` after it was acknowledged.
    /// `transit` is the longest time that a start may be on its way to a worker.
    pub fn allows_starts(
        &self,
        data_centre: &str,
        now: Millis,
        bound: Duration,
        transit: Duration,
    ) -> bool {
        let max_age = bound.saturating_sub(transit).max(LEAST_MAX_AGE);
        let is_fresh = self.asked_at.is_some_and(|at| now.since(at) < max_age);
        is_fresh && !self.is_evacuated(data_centre)
    }

    /// Whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.by_data_centre.contains_key(data_centre)
    }

    /// Every data centre that is evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.by_data_centre.keys().map(String::as_str)
    }
}
