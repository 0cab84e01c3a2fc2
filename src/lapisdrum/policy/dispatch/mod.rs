//! Decides which waiting task starts next, and on which worker.
//!
//! Load pattern: short urgent graphs of a few steps among wide batch graphs and long-running tasks,
//! on hosts that are two thirds full before any burst. Unless steps are ordered by whether they can
//! still be on time, a burst of batch work makes every job behind it late, urgent ones included.
//! Unless best-effort tasks are kept apart from tasks that serve users, the latency tails of the
//! latter exceed their targets within a second. [`order`] ranks steps by the durations that
//! [`duration`] estimates, [`place`] chooses workers, [`place_wait`] decides whether a task waits for
//! one near its data, [`interference`] models the interference between tasks, [`mitigation`] decides
//! which best-effort tasks are throttled or stopped, [`missed_alone`] finds serving tasks that miss
//! their targets without these, [`ahead`] and [`overdue`] bound how long a job has nothing running
//! while other jobs' tasks start or every host refuses its own, and [`spare`] computes what can be
//! offered to other shards. Under contention [`admission`] decides which new jobs are refused and
//! [`fair_share`] which caller's steps go first. All are pure.

pub mod admission;
pub mod ahead;
pub mod duration;
pub mod fair_share;
pub mod interference;
pub mod missed_alone;
pub mod mitigation;
pub mod order;
pub mod overdue;
pub mod overload;
pub mod place;
pub mod place_wait;
pub mod refused;
pub mod room;
pub mod short_work;
pub mod spare;
pub mod timings;
pub mod utilisation;
