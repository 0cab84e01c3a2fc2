//! The ring buffer of one daemon's events and its hybrid logical clock.

use super::event::{Happening, Record, Stamp};
use crate::core::id::{DaemonId, Incarnation};
use std::{cell::RefCell, collections::VecDeque, time::Duration};
use uhlc::{HLC, HLCBuilder, ID, NTP64, Timestamp};

/// Maximum lead of a peer's stamp over this daemon's clock; a stamp further ahead is refused. The
/// limit is large because the events that follow a refused stamp can sort before their causes.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(24 * 3_600);

/// Events of one daemon, to be merged with those of others by stamp.
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
    /// Creates an empty timeline that keeps the last `capacity` events and reads the host's clock.
    pub fn new(daemon: &DaemonId, incarnation: Incarnation, capacity: usize) -> Self {
        Self::with_clock(daemon, incarnation, capacity, uhlc::system_time_clock)
    }

    /// Like [`Timeline::new`], but reads `clock` instead of the host's clock.
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

    /// Records an event with a new stamp and returns the stamp.
    pub fn record(&self, what: Happening) -> Stamp {
        let stamp = self.stamp();
        self.record_at(stamp, what);
        stamp
    }

    /// Records an event with a stamp taken before the write that made the event visible to others.
    /// The writer knows only after the write that it took effect. With a new stamp the event would
    /// sort after the events that it caused at other daemons.
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

    /// Returns a stamp later than all stamps that this daemon has created or observed.
    pub fn stamp(&self) -> Stamp {
        let now = self.clock.new_timestamp();
        Stamp {
            time: now.get_time().as_u64(),
            clock: self.clock_id,
        }
    }

    /// Advances the clock past a peer's stamp, so that later events of this daemon sort after it.
    pub fn observe(&self, stamp: Stamp) {
        let Ok(id) = ID::try_from(u128::from(stamp.clock.max(1))) else {
            return;
        };
        // The library refuses a stamp beyond `MAX_CLOCK_LEAD`; the clock then stays as it is.
        let _ = self
            .clock
            .update_with_timestamp(&Timestamp::new(NTP64(stamp.time), id));
    }

    /// The events kept, oldest first, and the number of older ones that were dropped.
    pub fn read(&self) -> (Vec<Record>, u64) {
        let ring = self.ring.borrow();
        (ring.records.iter().cloned().collect(), ring.dropped)
    }
}
