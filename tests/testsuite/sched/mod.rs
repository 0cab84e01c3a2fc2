//! Tests of the job graph scheduler: its pure policies, and the real shard owner in a simulated cluster with
//! injected faults.

mod accepted_jobs;
mod calm;
mod connections;
mod delegate;
mod evacuation;
mod failed_on;
mod faults;
mod gangs;
mod handover;
mod incarnations;
mod interference;
mod journal;
mod layout;
mod learning;
mod lease_feed;
mod leaving;
mod ledger;
mod limits;
mod listed_ends;
mod long_waits;
mod lost_owners;
mod moves;
mod order;
mod outage_lines;
mod outages;
mod owner_losses;
mod ownership;
mod pending;
mod place_wait;
mod polling;
mod random;
mod refused;
mod resolution;
mod room;
mod routing;
mod schedules;
mod sharing;
mod short_work;
mod slow_workers;
mod snapshots;
mod stalled_jobs;
mod stranded;
mod superseded;
mod takeover;
mod tombstones;
pub(crate) mod world;

/// Runs a test under a paused clock, which advances to the next timer whenever no task can run.
fn paused(test: impl Future<Output = ()>) {
    let runtime = || {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        builder.enable_all().start_paused(true);
        builder.build().expect("a runtime")
    };
    actix_rt::System::with_tokio_rt(runtime).block_on(test);
}
