//! Load policies: admission, queueing, refusal, placement and eviction.
//!
//! Every module is pure: the caller passes in the time and the random numbers, and nothing is sent.
//! Each module's documentation names the load pattern that it addresses, what happens without it,
//! and the reasons for its constants.
//!
//! A request passes [`admission`] (rate limit), [`queueing`] (wait or refuse, with [`drain`] for
//! the Retry-After time), [`admission`] again (concurrency limit, when it starts), [`headroom`]
//! (slots reserved for shorter runs), [`routing`] with [`outliers`] (choice of worker) and
//! [`retry`] (whether to send again). A task passes [`queueing`], [`placement`] with
//! [`slowdown`] and [`health`], then [`eviction`]. [`hysteresis`] limits how often a decision
//! changes where its signal lags. Tasks of job graphs are placed by [`dispatch`], in the
//! shard that [`shard_load`] chooses for their job; [`polling`] limits the reads of the shared store,
//! and [`succession`] chooses the next owner of a shard.

pub mod admission;
pub mod dispatch;
pub mod drain;
pub mod eviction;
pub mod headroom;
pub mod health;
pub mod hysteresis;
pub mod intake;
pub mod outliers;
pub mod placement;
pub mod polling;
pub mod queueing;
pub mod retry;
pub mod routing;
pub mod shard_load;
pub mod slowdown;
pub mod succession;
