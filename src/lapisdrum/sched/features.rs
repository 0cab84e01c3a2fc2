//! Optional features of the scheduler, which a deployment's settings switch on.

/// Which optional features are on; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Features {
    /// Whether an owner that is told to stop hands its shards over to a prepared successor.
    pub planned_handover: bool,
    /// Whether jobs go to the shard that is expected to start them first.
    pub load_routing: bool,
    /// Whether callers that compete for capacity share it by weight.
    pub fair_sharing: bool,
    /// Whether the leases of several shards are read by the changes of their table.
    pub lease_feed: bool,
    /// Whether snapshots are stored by the size of the rows since the last one, so that recoveries
    /// are short on hosts with slow links.
    pub quick_recovery: bool,
    /// Whether a job is refused at submission if it is expected to end too late to be worth anything.
    pub early_refusal: bool,
    /// Factor by which a task is slower away from its data or from its gang; tasks wait for a place
    /// near them only where it is given.
    pub far_slowdown: Option<f64>,
}
