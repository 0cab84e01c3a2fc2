//! Lists jobs over shards: every owner that can be reached is asked, and the rest is named.
//!
//! A list that silently left a cut-off data centre's jobs out would read as if they were gone.

use super::{Cx, peers, shard::Shard};
use crate::{
    core::{
        id::{EntryName, JobId, ShardId},
        job::{Job, JobEnd, JobPhase},
    },
    peer::wire::{PeerReply, PeerRequest},
};
use indexmap::IndexSet;

/// Most jobs that one shard lists, the newest of them: a list is for reading, and a shard may hold
/// a hundred thousand.
pub const MAX_LISTED: usize = 1_000;

scalar! {
    /// A job's stage as callers and operators name it.
    #[serde(rename_all = "kebab-case")]
    pub enum JobState {
        /// Waits for a place.
        Waiting,
        /// Placed on a worker.
        Running,
        /// Ended well.
        Done,
        /// Failed as often as its entry allows.
        Failed,
        /// Cancelled.
        Cancelled,
    }
}

data! {
    /// Which jobs are wanted; what is absent matches every job.
    #[derive(Default)]
    pub struct JobFilter {
        /// Jobs of this entry only.
        pub entry: Option<EntryName>,
        /// Jobs in this state only.
        pub state: Option<JobState>,
    }

    /// One shard's jobs that match.
    pub struct ShardJobs {
        /// The shard.
        pub shard: ShardId,
        /// The newest of the matching jobs, oldest first.
        pub jobs: Vec<(JobId, Job)>,
        /// How many more match.
        pub omitted: usize,
    }
}

impl JobState {
    /// Every state.
    pub const ALL: [Self; 5] = [
        Self::Waiting,
        Self::Running,
        Self::Done,
        Self::Failed,
        Self::Cancelled,
    ];

    /// The state's word.
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
    /// Whether a job is wanted.
    pub fn matches(&self, job: &Job) -> bool {
        self.entry.as_ref().is_none_or(|entry| job.entry == *entry)
            && self
                .state
                .is_none_or(|state| JobState::from(&job.phase) == state)
    }
}

/// Jobs of all shards whose owners answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// What the owners listed.
    pub shards: Vec<ShardJobs>,
    /// Shards of which nobody answered.
    pub missing: Vec<ShardId>,
}

/// The shards of this daemon's data centre, which are known from the settings before anybody has
/// taken them, and those of others that were seen.
fn known_shards(cx: &Cx) -> IndexSet<ShardId> {
    let own = 0..cx.cfg.shards.count;
    let own = own.map(|index| ShardId::new(&cx.cfg.daemon.data_centre, index));
    let members = cx.members.borrow();
    let mut shards: IndexSet<ShardId> = own.chain(members.shards.keys().cloned()).collect();
    shards.sort();
    shards
}

/// Lists the jobs of every known shard.
pub async fn list(cx: &Cx, filter: &JobFilter) -> Listing {
    let shards = known_shards(cx);
    let asked = shards.iter().map(|shard| list_shard(cx, shard, filter));
    let answers = futures::future::join_all(asked).await;
    let mut listing = Listing::default();
    for (shard, answer) in shards.into_iter().zip(answers) {
        match answer {
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
    let wanted = |(_, job): &(&JobId, &Job)| filter.matches(job);
    let matching = state.jobs.iter().filter(wanted).count();
    let newest = state.jobs.iter().rev().filter(wanted).take(MAX_LISTED);
    let mut jobs: Vec<_> = newest.map(|(id, job)| (id.clone(), job.clone())).collect();
    jobs.reverse();
    ShardJobs {
        shard: shard.id.clone(),
        omitted: matching - jobs.len(),
        jobs,
    }
}
