//! What an operator sees of a daemon: its peers, shards and workers, the platform, the revision.
//!
//! A daemon reports what it knows itself and asks nobody, so the answer comes also while the
//! platform or its peers are away. `lapisdrum status` asks every daemon that the first one names
//! and puts the answers together.

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
    /// Whether a daemon's presence row keeps changing.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Liveness {
        /// Its row changes.
        Live,
        /// Its row has not changed for longer than a shard's lease.
        Silent,
        /// The platform is away, so nobody's row can be read.
        Unknown,
    }

    /// Whether a worker takes new work.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum WorkerCondition {
        /// It answers its shard's owner under the present epoch.
        Live,
        /// The platform's list says that it is on its way out.
        Leaving,
        /// It does not answer its shard's owner.
        Silent,
        /// Its shard's owner has not claimed it yet.
        Unclaimed,
    }

    /// A daemon as the answering daemon sees it.
    pub struct DaemonLine {
        /// Its name.
        pub daemon: DaemonId,
        /// Its data centre.
        pub data_centre: String,
        /// Where callers and operators reach it.
        pub callers: String,
        /// Whether it is there.
        pub liveness: Liveness,
        /// The catalogue revision in force there, as last heard.
        pub revision: Revision,
    }

    /// A shard's row as last read.
    pub struct ShardLine {
        /// The shard.
        pub shard: ShardId,
        /// Its owner; none after a release.
        pub owner: Option<DaemonId>,
        /// Counts its owners.
        pub epoch: Epoch,
        /// Milliseconds since the row was last seen to change.
        pub unchanged_ms: u64,
    }

    /// A worker of a shard that the answering daemon owns.
    pub struct WorkerLine {
        /// The worker.
        pub worker: WorkerId,
        /// Its rack.
        pub rack: String,
        /// Its shard.
        pub shard: ShardId,
        /// Whether it takes new work.
        pub condition: WorkerCondition,
        /// What its shard's ledger commits on it, tasks and requests together.
        pub committed: Size,
        /// What it has.
        pub capacity: Size,
    }

    /// One daemon's answer.
    pub struct StatusBody {
        /// The daemon that answers.
        pub daemon: DaemonId,
        /// The catalogue revision in force here.
        pub revision: Revision,
        /// Whether it takes callers.
        pub ready: bool,
        /// Whether the platform answered the last time it was asked.
        pub platform_up: bool,
        /// Every daemon whose presence row was seen.
        pub daemons: Vec<DaemonLine>,
        /// Every shard whose row was seen.
        pub shards: Vec<ShardLine>,
        /// Workers of the shards owned here.
        pub workers: Vec<WorkerLine>,
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

/// `GET /v1/status`.
pub fn show(cx: &Cx) -> HttpResponse {
    HttpResponse::json(StatusCode::OK, &status(cx))
}

/// What this daemon knows.
fn status(cx: &Cx) -> StatusBody {
    let now = cx.clock.now();
    let members = cx.members.borrow();
    let daemon_line = |seen: &SeenPresence| daemon_line(cx, seen, now);
    let shards = members.shards.iter().map(|(id, seen)| ShardLine {
        shard: id.clone(),
        owner: seen.row.holder.as_ref().map(|holder| holder.daemon.clone()),
        epoch: seen.row.epoch,
        unchanged_ms: crate::core::time::millis(now.since(seen.seen.since)),
    });
    let mut workers = Vec::new();
    for shard in cx.shards.borrow().values() {
        let hosts = members.shard_hosts(&shard.id, cx.cfg.shards.count);
        workers.extend(hosts.into_iter().map(|host| worker_line(shard, host)));
    }
    StatusBody {
        daemon: cx.me.daemon.clone(),
        revision: cx.catalogue.borrow().revision,
        ready: cx.is_ready(),
        platform_up: status::platform_answers(cx),
        daemons: members.daemons.values().map(daemon_line).collect(),
        shards: shards.collect(),
        workers,
    }
}

fn daemon_line(cx: &Cx, seen: &SeenPresence, now: Millis) -> DaemonLine {
    let liveness = match status::is_live(cx, seen, now) {
        Some(true) => Liveness::Live,
        Some(false) => Liveness::Silent,
        None => Liveness::Unknown,
    };
    DaemonLine {
        daemon: seen.row.holder.daemon.clone(),
        data_centre: seen.row.data_centre.to_string(),
        callers: seen.row.callers.clone(),
        liveness,
        revision: seen.row.revision,
    }
}

fn worker_line(shard: &Shard, host: &Host) -> WorkerLine {
    let sessions = shard.sessions.borrow();
    let condition = match sessions.get(&host.worker) {
        _ if host.leaving => WorkerCondition::Leaving,
        Some(session) if session.silent_since.is_some() => WorkerCondition::Silent,
        Some(session) if session.claimed => WorkerCondition::Live,
        _ => WorkerCondition::Unclaimed,
    };
    WorkerLine {
        worker: host.worker.clone(),
        rack: host.rack.to_string(),
        shard: shard.id.clone(),
        condition,
        committed: shard.state().committed_on(&host.worker).size,
        capacity: host.capacity,
    }
}
