//! The timeline: causal order under skewed clocks, and the bounded ring.

mod daemons;
mod merged;
mod order;
