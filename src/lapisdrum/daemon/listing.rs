//! Lists jobs of all shards. Shards whose owners do not answer are reported as missing.
//!
//! Without that, the jobs of a disconnected data centre would seem not to exist.

use super::{Cx, peers, shard::Shard};
use crate::{
    core::{
        id::{EntryName, JobId, ShardId},
        job::{Job, JobEnd, JobPhase},
    },
    peer::wire::{PeerReply, PeerRequest},
};
use indexmap::IndexSet;

/// Maximum number of jobs that one shard lists; older ones are omitted, since a shard may hold a
/// hundred thousand and a list is meant to be read.
pub const MAX_LISTED: usize = 1_000;

scalar! {
    /// State of a job as shown to callers and operators.
    #[serde(rename_all = "kebab-case")]
    pub enum JobState {
        /// Accepted, not yet placed on a worker.
        Waiting,
        /// Placed on a worker, whether or not its task has started.
        Running,
        /// Ended successfully.
        Done,
        /// Ended because it failed as many times as its entry allows.
        Failed,
        /// Ended by a cancellation.
        Cancelled,
    }
}

data! {
    /// Selects jobs; an absent field matches every job.
    #[derive(Default)]
    pub struct JobFilter {
        /// Matches only jobs of this entry.
        pub entry: Option<EntryName>,
        /// Matches only jobs in this state.
        pub state: Option<JobState>,
    }

    /// The jobs of one shard that match a filter.
    pub struct ShardJobs {
        /// The shard that holds the jobs.
        pub shard: ShardId,
        /// The newest [`MAX_LISTED`] matching jobs, oldest first.
        pub jobs: Vec<(JobId, Job)>,
        /// Number of older matching jobs that are not listed.
        pub omitted: usize,
    }
}

impl JobState {
    /// All states, in the order of a job's life.
    pub const ALL: [Self; 5] = [
        Self::Waiting,
        Self::Running,
        Self::Done,
        Self::Failed,
        Self::Cancelled,
    ];

    /// The name used in the API and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Running => "running",
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

impl From<&JobEnd> for JobState {
    fn from(end: &JobEnd) -> Self {
        match end {
            JobEnd::Done => Self::Done,
            JobEnd::Failed(_) => Self::Failed,
            JobEnd::Cancelled => Self::Cancelled,
        }
    }
}

impl From<&JobPhase> for JobState {
    fn from(phase: &JobPhase) -> Self {
        match phase {
            JobPhase::Waiting => Self::Waiting,
            JobPhase::Placed(_) => Self::Running,
            JobPhase::Ended(end) => Self::from(end),
        }
    }
}

impl JobFilter {
    /// Whether `job` matches all fields that are present.
    pub fn matches(&self, job: &Job) -> bool {
        self.entry.as_ref().is_none_or(|entry| job.entry == *entry)
            && self
                .state
                .is_none_or(|state| JobState::from(&job.phase) == state)
    }
}

/// Jobs of all known shards, as far as their owners answered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The lists of the shards whose owners answered.
    pub shards: Vec<ShardJobs>,
    /// Shards whose owners did not answer.
    pub missing: Vec<ShardId>,
}

/// All shards of this daemon's data centre, which follow from the settings even if no daemon owns
/// them, and the shards of other data centres for which rows were read.
fn known_shards(cx: &Cx) -> IndexSet<ShardId> {
    let own = 0..cx.cfg.shards.count;
    let own = own.map(|index| ShardId::new(&cx.cfg.daemon.data_centre, index));
    let members = cx.members.borrow();
    let mut shards: IndexSet<ShardId> = own.chain(members.shards.keys().cloned()).collect();
    shards.sort();
    shards
}

/// Lists the matching jobs of every known shard; the owners are asked concurrently.
pub async fn list(cx: &Cx, filter: &JobFilter) -> Listing {
    let shards = known_shards(cx);
    let requests = shards.iter().map(|shard| list_shard(cx, shard, filter));
    let replies = futures::future::join_all(requests).await;
    let mut listing = Listing::default();
    for (shard, reply) in shards.into_iter().zip(replies) {
        match reply {
            Some(jobs) => listing.shards.push(jobs),
            None => listing.missing.push(shard),
        }
    }
    listing
}

async fn list_shard(cx: &Cx, shard: &ShardId, filter: &JobFilter) -> Option<ShardJobs> {
    if let Ok(own) = peers::owned(cx, shard) {
        return Some(jobs_of(&own, filter));
    }
    let address = cx.members.borrow().owner_address(shard)?;
    let req = PeerRequest::ListJobs {
        shard: shard.clone(),
        filter: filter.clone(),
    };
    match cx.peers.call(&address, req).await {
        Ok(PeerReply::Jobs(jobs)) => Some(jobs),
        _ => None,
    }
}

/// The matching jobs of a shard that this daemon owns.
pub fn jobs_of(shard: &Shard, filter: &JobFilter) -> ShardJobs {
    let state = shard.state();
    let matches = |(_, job): &(&JobId, &Job)| filter.matches(job);
    let matching = state.jobs.iter().filter(matches).count();
    let newest = state.jobs.iter().rev().filter(matches).take(MAX_LISTED);
    let mut jobs: Vec<_> = newest.map(|(id, job)| (id.clone(), job.clone())).collect();
    jobs.reverse();
    ShardJobs {
        shard: shard.id.clone(),
        omitted: matching - jobs.len(),
        jobs,
    }
}
