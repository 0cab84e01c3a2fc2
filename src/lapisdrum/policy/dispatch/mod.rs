//! Which waiting task starts next, and on which worker.
//!
//! Load pattern: short urgent graphs of a few steps among wide batch graphs and tasks that last, on hosts
//! that are two thirds full before any burst. Without an order by what can still be on time, a burst of
//! batch work makes every job behind it late, the urgent ones too. Without separating tasks that use
//! best-effort processors from tasks that serve users, the latter's tails break their targets within a
//! second. [`order`] ranks steps by what [`forecast`] expects of them, [`place`] chooses workers,
//! [`pressure`] learns what disturbs what and [`relief`] decides what gives way; all are pure.

pub mod forecast;
pub mod order;
pub mod outlook;
pub mod overload;
pub mod place;
pub mod pressure;
pub mod relief;
pub mod room;
pub mod short_work;
pub mod terms;
