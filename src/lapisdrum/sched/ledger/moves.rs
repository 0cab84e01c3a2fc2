//! Moves of whole jobs to another shard.
//!
//! A job leaves the jobs of its home when the decision is recorded, before the other shard is called,
//! and its specification stays in [`Ledger::moving`] until that shard has confirmed that it has the
//! job. So whatever is lost halfway, exactly one of the two ledgers may place its tasks, or neither
//! until the call is repeated. The record in [`Ledger::sent`] stays for repeated submissions.

use super::{InvalidEvent, Job, Ledger, Phase, SentJob};
use crate::sched::{
    job::{Gang, JobId, JobSpec, QueueConfig},
    layout::ShardId,
};
use std::rc::Rc;

data! {
    /// A job on its way to another shard.
    pub struct MovingJob {
        /// The specification as submitted.
        pub spec: Rc<JobSpec>,
        /// Settings of the job's queue at acceptance.
        pub terms: QueueConfig,
        /// Time of acceptance, in Unix milliseconds.
        pub accepted_unix_ms: u64,
        /// The shard that receives the job, as in [`Ledger::sent`].
        pub to: ShardId,
        /// Data centre of the daemon that received the job, where callers share capacity.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub data_centre: Option<String>,
    }
}

impl Job {
    /// Whether the job may move to another shard: a short job of which no task was ever placed, in the
    /// shard that accepted it from its caller.
    pub fn may_move(&self) -> bool {
        let mut steps = self.spec.steps.iter();
        let is_short = steps.all(|step| !step.is_long_running && step.gang == Gang::No);
        let is_untouched = self.occurrences.is_empty() && !self.has_started;
        let is_own = !self.is_guest && self.moved_from.is_none();
        self.phase == Phase::Active
            && self.spec.schedule.is_none()
            && is_short
            && is_untouched
            && is_own
    }
}

impl Ledger {
    pub(super) fn start_move(
        &mut self,
        id: JobId,
        to: ShardId,
        at_unix_ms: u64,
    ) -> Result<(), InvalidEvent> {
        let job = self.jobs.get(&id).filter(|job| job.may_move());
        if job.is_none() || self.sent.contains_key(&id) {
            return Err(InvalidEvent::Job(id));
        }
        let job = self.jobs.shift_remove(&id).ok_or(InvalidEvent::Job(id))?;
        let moving = MovingJob {
            spec: job.spec,
            terms: job.terms,
            accepted_unix_ms: job.accepted_unix_ms,
            to,
            data_centre: job.data_centre,
        };
        self.sent.insert(id, SentJob { to, at_unix_ms });
        self.moving.insert(id, moving);
        Ok(())
    }

    pub(super) fn confirm_move(&mut self, id: JobId) -> Result<(), InvalidEvent> {
        let moving = self.moving.shift_remove(&id);
        moving.map(drop).ok_or(InvalidEvent::Job(id))
    }
}
