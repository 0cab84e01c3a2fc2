//! The bounded ring of one daemon's events and its hybrid logical clock.

use super::event::{Happening, Record, Stamp};
use crate::core::id::{DaemonId, Incarnation};
use std::{cell::RefCell, collections::VecDeque, time::Duration};
use uhlc::{HLC, HLCBuilder, ID, NTP64, Timestamp};

/// Greatest lead of another clock that is still taken over. Refusing a stamp would let an effect
/// sort before its cause, so only absurd ones are refused.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(24 * 3_600);

/// One daemon's part of the time line.
pub struct Timeline {
    daemon: DaemonId,
    clock: HLC,
    clock_id: u64,
    capacity: usize,
    ring: RefCell<Ring>,
}

#[derive(Default)]
struct Ring {
    records: VecDeque<Record>,
    dropped: u64,
}

impl Timeline {
    /// An empty time line that keeps the last `capacity` events, by the host's clock.
    pub fn new(daemon: &DaemonId, incarnation: Incarnation, capacity: usize) -> Self {
        Self::with_clock(daemon, incarnation, capacity, uhlc::system_time_clock)
    }

    /// One that reads another clock, such as one that runs ahead.
    pub fn with_clock(
        daemon: &DaemonId,
        incarnation: Incarnation,
        capacity: usize,
        clock: fn() -> NTP64,
    ) -> Self {
        let clock_id = incarnation.0.max(1);
        let id = ID::try_from(u128::from(clock_id)).unwrap_or_else(|_| ID::rand());
        let clock = HLCBuilder::new()
            .with_id(id)
            .with_clock(clock)
            .with_max_delta(MAX_CLOCK_LEAD)
            .build();
        Self {
            daemon: daemon.clone(),
            clock,
            clock_id,
            capacity,
            ring: RefCell::default(),
        }
    }

    /// Records an event under a new stamp.
    pub fn record(&self, what: Happening) -> Stamp {
        let stamp = self.stamp();
        self.record_at(stamp, what);
        stamp
    }

    /// Records an event under a stamp that was taken before the write that made it known to others.
    /// The writer learns only afterwards that the write took effect; under a new stamp the event
    /// would sort after what others did because of it.
    pub fn record_at(&self, stamp: Stamp, what: Happening) {
        let mut ring = self.ring.borrow_mut();
        if ring.records.len() == self.capacity {
            ring.records.pop_front();
            ring.dropped += 1;
        }
        ring.records.push_back(Record {
            stamp,
            daemon: self.daemon.clone(),
            what,
        });
    }

    /// A stamp after all that this daemon has recorded or heard of.
    pub fn stamp(&self) -> Stamp {
        let now = self.clock.new_timestamp();
        Stamp {
            time: now.get_time().as_u64(),
            clock: self.clock_id,
        }
    }

    /// Takes a peer's stamp over: whatever is recorded from now on sorts after it.
    pub fn observe(&self, stamp: Stamp) {
        let Ok(id) = ID::try_from(u128::from(stamp.clock.max(1))) else {
            return;
        };
        // An absurd lead is refused by the library; the peer's events then sort by their own time.
        let _ = self
            .clock
            .update_with_timestamp(&Timestamp::new(NTP64(stamp.time), id));
    }

    /// The events kept, oldest first, and how many fell out of the ring.
    pub fn read(&self) -> (Vec<Record>, u64) {
        let ring = self.ring.borrow();
        (ring.records.iter().cloned().collect(), ring.dropped)
    }
}
