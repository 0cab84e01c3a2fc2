//! Status of a daemon for operators: its peers, shards, workers, platform and catalogue revision.
//!
//! A daemon reports only what it knows itself and calls no other service, so it also replies while
//! the platform or its peers are unavailable. `lapisdrum status` queries every daemon that the
//! first one lists and merges the replies.

use crate::{
    core::{
        id::{DaemonId, Epoch, Revision, ShardId, WorkerId},
        size::Size,
        time::Millis,
    },
    daemon::{Cx, members::SeenPresence, shard::Shard, status},
    store::wire::Host,
    util::http::HttpResponse,
};
use actix_http::StatusCode;
use std::fmt;

data! {
    /// Whether a daemon keeps renewing its presence row.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Liveness {
        /// The row is being renewed.
        Live,
        /// The row has not changed for longer than a shard's lease and one read interval.
        Silent,
        /// The platform is unavailable, so no row can be read.
        Unknown,
    }

    /// Whether a worker accepts new work and, if not, why.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum WorkerCondition {
        /// Its shard's owner has claimed it and it answers.
        Live,
        /// The platform lists it as leaving.
        Leaving,
        /// It does not answer its shard's owner.
        Silent,
        /// Its shard's owner has not claimed it yet.
        Unclaimed,
    }

    /// A daemon as the answering daemon sees it.
    pub struct DaemonStatus {
        /// Name of the daemon.
        pub daemon: DaemonId,
        /// Data centre that the daemon runs in.
        pub data_centre: String,
        /// Address (`host:port`) at which it serves callers and operators.
        pub callers: String,
        /// Whether the answering daemon considers it live.
        pub liveness: Liveness,
        /// Catalogue revision in force there, as of its last presence row.
        pub revision: Revision,
    }

    /// The lease row of a shard as last read.
    pub struct ShardStatus {
        /// Name of the shard.
        pub shard: ShardId,
        /// Daemon that holds the lease; none after a release.
        pub owner: Option<DaemonId>,
        /// Lease epoch; rises with each new owner.
        pub epoch: Epoch,
        /// Milliseconds since the row was last seen to change.
        pub unchanged_ms: u64,
    }

    /// A worker of a shard that the answering daemon owns.
    pub struct WorkerStatus {
        /// Name of the worker.
        pub worker: WorkerId,
        /// Rack that the worker's host is in.
        pub rack: String,
        /// Shard that the worker belongs to.
        pub shard: ShardId,
        /// Whether it accepts new work and, if not, why.
        pub condition: WorkerCondition,
        /// Resources that the shard's ledger has committed on it, for tasks and requests together.
        pub committed: Size,
        /// Total resources of the worker.
        pub capacity: Size,
    }

    /// Reply to `GET /v1/status`.
    pub struct StatusBody {
        /// Name of the answering daemon.
        pub daemon: DaemonId,
        /// Catalogue revision in force at this daemon.
        pub revision: Revision,
        /// Whether this daemon accepts requests from callers.
        pub ready: bool,
        /// Whether the platform answered this daemon's last call.
        pub platform_up: bool,
        /// Daemons whose presence rows this daemon has read.
        pub daemons: Vec<DaemonStatus>,
        /// Shards whose lease rows this daemon has read.
        pub shards: Vec<ShardStatus>,
        /// Workers of the shards that this daemon owns.
        pub workers: Vec<WorkerStatus>,
    }
}

impl fmt::Display for Liveness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Live => "live",
            Self::Silent => "silent",
            Self::Unknown => "unknown",
        })
    }
}

impl fmt::Display for WorkerCondition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Silent => "silent",
            Self::Unclaimed => "unclaimed",
        })
    }
}

/// `GET /v1/status`: the status as this daemon knows it, without calls to others.
pub fn show(cx: &Cx) -> HttpResponse {
    HttpResponse::json(StatusCode::OK, &status(cx))
}

fn status(cx: &Cx) -> StatusBody {
    let now = cx.clock.now();
    let members = cx.members.borrow();
    let daemon_status = |seen: &SeenPresence| daemon_status(cx, seen, now);
    let shards = members.shards.iter().map(|(id, seen)| ShardStatus {
        shard: id.clone(),
        owner: seen.row.holder.as_ref().map(|holder| holder.daemon.clone()),
        epoch: seen.row.epoch,
        unchanged_ms: crate::core::time::millis(now.since(seen.seen.since)),
    });
    let mut workers = Vec::new();
    for shard in cx.shards.borrow().values() {
        let hosts = members.shard_hosts(&shard.id, cx.cfg.shards.count);
        workers.extend(hosts.into_iter().map(|host| worker_status(shard, host)));
    }
    StatusBody {
        daemon: cx.me.daemon.clone(),
        revision: cx.catalogue.borrow().revision,
        ready: cx.is_ready(),
        platform_up: status::platform_answers(cx),
        daemons: members.daemons.values().map(daemon_status).collect(),
        shards: shards.collect(),
        workers,
    }
}

fn daemon_status(cx: &Cx, seen: &SeenPresence, now: Millis) -> DaemonStatus {
    let liveness = match status::is_live(cx, seen, now) {
        Some(true) => Liveness::Live,
        Some(false) => Liveness::Silent,
        None => Liveness::Unknown,
    };
    DaemonStatus {
        daemon: seen.row.holder.daemon.clone(),
        data_centre: seen.row.data_centre.to_string(),
        callers: seen.row.callers.clone(),
        liveness,
        revision: seen.row.revision,
    }
}

fn worker_status(shard: &Shard, host: &Host) -> WorkerStatus {
    let sessions = shard.sessions.borrow();
    let condition = match sessions.get(&host.worker) {
        _ if host.leaving => WorkerCondition::Leaving,
        Some(session) if session.silent_since.is_some() => WorkerCondition::Silent,
        Some(session) if session.claimed => WorkerCondition::Live,
        _ => WorkerCondition::Unclaimed,
    };
    WorkerStatus {
        worker: host.worker.clone(),
        rack: host.rack.to_string(),
        shard: shard.id.clone(),
        condition,
        committed: shard.state().committed_on(&host.worker).size,
        capacity: host.capacity,
    }
}
