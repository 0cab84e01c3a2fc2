//! How a worker's request slots are divided between the daemons: a floor each and a surplus.
//!
//! Load pattern: a balancer that sends most callers to one daemon. With even shares that daemon
//! refuses while the others' slots are idle; with shares that follow demand at once they swing, and
//! every swing is a ledger write and a round of messages.
//!
//! Each daemon keeps a floor that lasts without owner or platform: an even part of [`FLOOR_PERCENT`]
//! of the slots. What is left over is surplus, lent for a short time in proportion to demand. Demand
//! is measured use plus waiting, so a daemon that is idle lends everything above its floor. Half of
//! the slots as floor keeps a cut-off daemon at half of its even share; lending the other half lets
//! one daemon use at least half of the worker alone.

/// The part of the slots that is held as floors, in hundredths.
pub const FLOOR_PERCENT: u32 = 50;
/// A surplus is moved only when a daemon's part changes by at least this many slots over all
/// workers, or falls to nothing.
pub const LEAST_CHANGE: u32 = 2;

/// What one daemon asks for, over the workers that are being divided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Slots in use.
    pub used: u32,
    /// Requests waiting that would use a slot at once.
    pub waiting: u32,
    /// Surplus that it has at present.
    pub surplus: u32,
}

/// What one daemon gets of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// Slots that it keeps without owner or platform.
    pub floor: u32,
    /// Slots lent for a short time.
    pub surplus: u32,
}

/// Divides a worker's `slots` between daemons with these demands. `turn` rotates the remainder, so
/// that over many workers it evens out; hand in the worker's index.
pub fn divide(slots: u32, demands: &[Demand], turn: usize) -> Vec<Part> {
    let count = u32::try_from(demands.len()).unwrap_or(u32::MAX).max(1);
    let held = (slots * FLOOR_PERCENT).div_ceil(100);
    let mut parts: Vec<Part> = (0..demands.len())
        .map(|i| Part {
            floor: even(held, count, i + turn),
            surplus: 0,
        })
        .collect();
    let lent = slots - held;
    for (part, surplus) in parts.iter_mut().zip(by_demand(lent, demands, turn)) {
        part.surplus = surplus;
    }
    parts
}

fn even(whole: u32, count: u32, rank: usize) -> u32 {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX) % count;
    whole / count + u32::from(rank < whole % count)
}

/// Divides `lent` in proportion to demand by largest remainder; evenly when nobody asks.
fn by_demand(lent: u32, demands: &[Demand], turn: usize) -> Vec<u32> {
    let asked: Vec<u64> = demands
        .iter()
        .map(|demand| u64::from(demand.used) + u64::from(demand.waiting))
        .collect();
    let total: u64 = asked.iter().sum();
    let count = demands.len();
    if total == 0 {
        let all = u32::try_from(count).unwrap_or(u32::MAX).max(1);
        return (0..count).map(|i| even(lent, all, i + turn)).collect();
    }
    let exact = |asked: u64| u64::from(lent) * asked;
    let mut parts: Vec<u32> = asked
        .iter()
        .map(|asked| u32::try_from(exact(*asked) / total).unwrap_or(lent))
        .collect();
    let left = lent - parts.iter().sum::<u32>();
    let mut order: Vec<usize> = (0..count).collect();
    order.sort_by_key(|i| (u64::MAX - exact(asked[*i]) % total, (*i + turn) % count));
    for i in order.into_iter().take(left as usize) {
        parts[i] += 1;
    }
    parts
}

/// Whether moving a daemon's surplus from `present` to `target` slots is worth a round of messages.
pub fn is_worth_moving(present: u32, target: u32) -> bool {
    let change = present.abs_diff(target);
    change >= LEAST_CHANGE || (target == 0) != (present == 0)
}
