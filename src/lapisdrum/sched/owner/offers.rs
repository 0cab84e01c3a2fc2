//! Offers free capacity of the shard to interrupted long-running tasks of other shards.

use super::{Owner, delegate::TaskNeed, dispatch};
use crate::{
    core::{
        size::Size,
        time::{Millis, millis},
    },
    policy::dispatch::place::Host,
    sched::{Cx, ledger::Job},
};
use std::time::Duration;

/// A shard offers its free capacity divided by this at a time: its own tasks may need the rest.
const OFFER_DIVISOR: u64 = 4;
/// How long an offer counts as taken. On a healthy store the tasks are journaled and adopted within
/// this time.
const OFFER_VALIDITY: Duration = Duration::from_millis(1_000);
/// Time between two lines with totals.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Offers of a shard to other shards.
#[derive(Default)]
pub struct Offers {
    /// How many tasks were offered capacity, and when.
    made: Vec<(u64, Millis)>,
    totals: Totals,
    reported_at: Option<Millis>,
}

/// How offers were computed, over all requests since the last line with totals.
#[derive(Default)]
struct Totals {
    /// Number of requests.
    asks: u64,
    /// Number of requests for a task that fits on a host.
    fitting_asks: u64,
    /// Number of requests that received an offer.
    offered_asks: u64,
    /// Most hosts that were eligible for a request.
    hosts: usize,
    /// Number of tasks that would fit, summed over the requests.
    fitting: u64,
    /// Number of tasks taken off for interrupted tasks of this shard.
    for_interrupted: u64,
    /// Number of tasks taken off for earlier offers.
    for_offers: u64,
    /// Number of tasks offered.
    offered: u64,
}

/// Free capacity for tasks of one kind, in tasks.
struct Capacity {
    hosts: usize,
    fitting: u64,
    interrupted: u64,
}

impl Totals {
    fn note(&mut self, capacity: &Capacity, taken: u64, offer: u64) {
        let left = capacity.fitting.saturating_sub(capacity.interrupted);
        self.asks += 1;
        self.fitting_asks += u64::from(capacity.fitting > 0);
        self.offered_asks += u64::from(offer > 0);
        self.hosts = self.hosts.max(capacity.hosts);
        self.fitting += capacity.fitting;
        self.for_interrupted += capacity.fitting - left;
        self.for_offers += taken.min(left);
        self.offered += offer;
    }
}

impl Offers {
    /// Logs the totals if that is due.
    fn report(&mut self, owner: &Owner, now: Millis) {
        let since_ms = self.reported_at.map(|at| millis(now.since(at)));
        if since_ms.is_some_and(|since| since < millis(REPORT_INTERVAL)) {
            return;
        }
        self.reported_at = Some(now);
        let totals = std::mem::take(&mut self.totals);
        log::info!(
            shard:% = owner.handle.partition,
            since_ms = since_ms.unwrap_or_default(),
            asks = totals.asks,
            fitting_asks = totals.fitting_asks,
            offered_asks = totals.offered_asks,
            hosts = totals.hosts,
            fitting = totals.fitting,
            for_interrupted = totals.for_interrupted,
            for_offers = totals.for_offers,
            offered = totals.offered;
            "capacity is offered"
        );
    }
}

impl Owner {
    /// Offers capacity for up to `wanted` tasks, beyond what the shard's own interrupted tasks
    /// need. An offer counts as taken for a second, else several shards would delegate tasks to the
    /// same few hosts. None while the shard cannot place tasks.
    pub fn offer_capacity(&self, cx: &Cx, need: &TaskNeed, wanted: u32) -> Option<u32> {
        let capacity = self.capacity_for(cx, need)?;
        let room = capacity.fitting.saturating_sub(capacity.interrupted);
        let now = cx.clock.now();
        let offers = &mut self.offers.borrow_mut();
        offers
            .made
            .retain(|(_, at)| now.since(*at) < OFFER_VALIDITY);
        let taken: u64 = offers.made.iter().map(|(count, _)| count).sum();
        let offer = room.saturating_sub(taken).div_ceil(OFFER_DIVISOR);
        let offer = offer.min(u64::from(wanted));
        offers.made.push((offer, now));
        offers.totals.note(&capacity, taken, offer);
        offers.report(self, now);
        Some(u32::try_from(offer).unwrap_or(u32::MAX))
    }

    fn capacity_for(&self, cx: &Cx, need: &TaskNeed) -> Option<Capacity> {
        if !self.may_place(cx) {
            return None;
        }
        let reports = self.open_workers(cx);
        let hosts = dispatch::hosts_of(cx, self, &reports);
        let eligible = hosts.iter().filter(|host| {
            let label = need.required_label.as_ref();
            host.pool == need.pool
                && !host.is_suspect
                && label.is_none_or(|label| host.labels.contains(label))
        });
        Some(Capacity {
            hosts: eligible.clone().count(),
            fitting: eligible.map(|host| capacity_on(host, &need.size)).sum(),
            interrupted: self.interrupted_long_running(),
        })
    }

    /// How many interrupted long-running tasks wait in this shard, including those of guest jobs.
    fn interrupted_long_running(&self) -> u64 {
        let (ledger, active) = (self.ledger.borrow(), self.active.borrow());
        let jobs = active.iter().filter_map(|id| ledger.jobs.get(id));
        jobs.map(Job::interrupted_long_running).sum()
    }
}

/// How many tasks of this size fit on a host once its short tasks have ended: of its processors,
/// only those that serving tasks reserve count as taken.
fn capacity_on(host: &Host, size: &Size) -> u64 {
    let room = Size {
        millicores: host.not_serving_millicores(),
        ..host.free()
    };
    size.count_in(&room)
}
