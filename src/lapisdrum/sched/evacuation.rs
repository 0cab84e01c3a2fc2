//! Evacuated data centres, on whose workers operators want no more starts.
//!
//! Running tasks continue to their end, and the data centre's daemons still serve callers; only new
//! starts go to other data centres. An evacuation removes the free capacity of a whole data centre
//! at once, so placement, submission and the load that is reported to other shards all use
//! [`Evacuations::allows_starts`].
//!
//! A daemon acts on its last successful read. If its reads fail, it would continue to start tasks
//! in a data centre that has been evacuated since, so with a read older than the configured bound
//! it starts nothing in any data centre.

use crate::core::time::{Millis, Timestamp};
use indexmap::IndexMap;
use std::time::Duration;

/// Lower limit of the maximum age of a read: several polls, so that one failed read stops no
/// starts.
const MIN_READ_AGE_LIMIT: Duration = Duration::from_millis(2_000);

/// Evacuation of one data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Evacuation {
    /// The version of the operator's request.
    version: u64,
    /// When this process first read the request.
    since: Millis,
}

/// A change between two reads of the evacuation requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A data centre was evacuated: no more tasks may be started there.
    Evacuated {
        /// Name of the data centre.
        data_centre: String,
        /// The version of the operator's request.
        version: u64,
        /// Duration of the read that returned the request.
        read_took: Duration,
    },
    /// A data centre was restored: tasks may be started there again.
    Restored {
        /// Name of the data centre.
        data_centre: String,
        /// How long it was evacuated, as observed by this process.
        after: Duration,
    },
}

/// The evacuated data centres, as last read.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    by_data_centre: IndexMap<String, Evacuation>,
    /// When the last successful read was sent.
    read_sent_at: Option<Timestamp>,
}

impl Evacuations {
    /// Records the versions of the requests by data centre, as read by a call sent at
    /// `read_sent_at`; returns the changes.
    pub fn note(
        &mut self,
        read: &IndexMap<String, u64>,
        read_sent_at: Timestamp,
        now: Millis,
    ) -> Vec<Change> {
        self.read_sent_at = Some(read_sent_at);
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
                read_took: now.since(read_sent_at.at),
            });
        }
        changes
    }

    /// When the last successful read was sent; none before the first.
    pub fn read_sent_at(&self) -> Option<Timestamp> {
        self.read_sent_at
    }

    /// Whether tasks may be started in a data centre, with `read_age` since the last successful read
    /// was sent. An evacuation must be in force within `bound` of its acknowledgement; `transit` is
    /// the longest time that a start order takes to reach a worker.
    pub fn allows_starts(
        &self,
        data_centre: &str,
        read_age: Option<Duration>,
        bound: Duration,
        transit: Duration,
    ) -> bool {
        let max_age = bound.saturating_sub(transit).max(MIN_READ_AGE_LIMIT);
        read_age.is_some_and(|age| age < max_age) && !self.is_evacuated(data_centre)
    }

    /// Whether a data centre is evacuated, by the last successful read of any age.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.by_data_centre.contains_key(data_centre)
    }

    /// Names of the evacuated data centres.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.by_data_centre.keys().map(String::as_str)
    }
}
