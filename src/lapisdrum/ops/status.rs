//! `lapisdrum status`: merges the status of all daemons that the queried one knows of.

use super::{Failure, OTHER_DAEMONS_TIMEOUT, output::write_lines};
use crate::{
    api::{
        client::DaemonClient,
        status::{DaemonStatus, Liveness, ShardStatus, StatusBody, WorkerStatus},
    },
    core::{
        id::{DaemonId, Revision, ShardId},
        size::Size,
    },
};
use indexmap::IndexMap;
use std::fmt;

data! {
    /// A daemon and its own reply.
    pub struct DaemonReport {
        /// Name of the daemon.
        pub daemon: DaemonId,
        /// Data centre that the daemon runs in.
        pub data_centre: String,
        /// Address (`host:port`) at which it was queried.
        pub callers: String,
        /// Whether the daemon that was queried first considers it live.
        pub liveness: Liveness,
        /// Its reply; none if it did not answer.
        pub answer: Option<DaemonAnswer>,
    }

    /// What a daemon reports about itself.
    pub struct DaemonAnswer {
        /// Catalogue revision in force at the daemon.
        pub revision: Revision,
        /// Whether it accepts requests from callers.
        pub ready: bool,
        /// Whether the platform answered its last call.
        pub platform_up: bool,
    }

    /// Merged status of all daemons that answered.
    pub struct StatusReport {
        /// All known daemons, sorted by name.
        pub daemons: Vec<DaemonReport>,
        /// Shards sorted by name, each with its newest known row.
        pub shards: Vec<ShardStatus>,
        /// Workers of the shards whose owners answered, sorted by name.
        pub workers: Vec<WorkerStatus>,
    }
}

impl StatusReport {
    /// Daemons that answered, with their replies.
    pub fn answered(&self) -> impl Iterator<Item = (&DaemonReport, &DaemonAnswer)> {
        self.daemons
            .iter()
            .filter_map(|daemon| Some((daemon, daemon.answer.as_ref()?)))
    }

    /// Daemons that did not answer.
    pub fn unanswered(&self) -> impl Iterator<Item = &DaemonReport> {
        self.daemons.iter().filter(|daemon| daemon.answer.is_none())
    }
}

/// Queries one daemon, then all others that it lists, concurrently.
pub async fn gather(client: &DaemonClient) -> Result<StatusReport, Failure> {
    let first = client.status().await?;
    let calls = first.daemons.iter().map(|line| fetch_status(line, &first));
    let answers = futures::future::join_all(calls).await;
    let lines = first.daemons.iter().zip(&answers);
    let mut daemons: Vec<DaemonReport> = lines
        .map(|(line, answer)| daemon_report(line, answer))
        .collect();
    daemons.sort_by(|a, b| a.daemon.cmp(&b.daemon));
    let bodies: Vec<&StatusBody> = answers.iter().flatten().collect();
    let mut workers: Vec<WorkerStatus> = bodies.iter().flat_map(|b| b.workers.clone()).collect();
    workers.sort_by(|a, b| a.worker.cmp(&b.worker));
    Ok(StatusReport {
        daemons,
        shards: newest_shard_rows(&bodies),
        workers,
    })
}

async fn fetch_status(line: &DaemonStatus, first: &StatusBody) -> Option<StatusBody> {
    if line.daemon == first.daemon {
        return Some(first.clone());
    }
    let client = DaemonClient::new(&line.callers, OTHER_DAEMONS_TIMEOUT);
    client.status().await.ok()
}

fn daemon_report(line: &DaemonStatus, answer: &Option<StatusBody>) -> DaemonReport {
    DaemonReport {
        daemon: line.daemon.clone(),
        data_centre: line.data_centre.clone(),
        callers: line.callers.clone(),
        liveness: line.liveness,
        answer: answer.as_ref().map(|body| DaemonAnswer {
            revision: body.revision,
            ready: body.ready,
            platform_up: body.platform_up,
        }),
    }
}

/// Selects the newest row of each shard: the highest epoch, then the latest change. A daemon that
/// can't reach the platform still reports an outdated row.
fn newest_shard_rows(bodies: &[&StatusBody]) -> Vec<ShardStatus> {
    let mut newest: IndexMap<ShardId, ShardStatus> = IndexMap::new();
    for line in bodies.iter().flat_map(|body| &body.shards) {
        let newer = newest.get(&line.shard).is_none_or(|known| {
            (known.epoch, std::cmp::Reverse(known.unchanged_ms))
                < (line.epoch, std::cmp::Reverse(line.unchanged_ms))
        });
        if newer {
            newest.insert(line.shard.clone(), line.clone());
        }
    }
    newest.sort_keys();
    newest.into_values().collect()
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut lines = vec!["daemons".to_owned()];
        lines.extend(self.daemons.iter().map(daemon_text));
        lines.push("shards".to_owned());
        lines.extend(self.shards.iter().map(shard_text));
        lines.push("workers".to_owned());
        lines.extend(self.workers.iter().map(worker_text));
        write_lines(f, lines)
    }
}

fn daemon_text(daemon: &DaemonReport) -> String {
    let (name, dc, callers) = (daemon.daemon.as_str(), &daemon.data_centre, &daemon.callers);
    let state = match &daemon.answer {
        None => format!("no answer, its row is {}", daemon.liveness),
        Some(answer) => format!(
            "{}, revision {}, platform {}",
            if answer.ready { "ready" } else { "not ready" },
            answer.revision,
            if answer.platform_up {
                "answers"
            } else {
                "away"
            },
        ),
    };
    format!("  {name:<16} {dc:<12} {callers:<21} {state}")
}

fn shard_text(shard: &ShardStatus) -> String {
    let owner = shard.owner.as_ref().map_or("nobody", DaemonId::as_str);
    let name = shard.shard.as_str();
    let seconds = shard.unchanged_ms / 1_000;
    format!(
        "  {name:<16} owner {owner:<16} epoch {}, renewed {seconds} s ago",
        shard.epoch
    )
}

fn worker_text(line: &WorkerStatus) -> String {
    let name = line.worker.as_str();
    let condition = line.condition.to_string();
    let (committed, capacity) = (size_text(&line.committed), size_text(&line.capacity));
    format!(
        "  {name:<16} {:<12} {condition:<10} committed {committed} of {capacity}",
        line.rack
    )
}

fn size_text(size: &Size) -> String {
    let (cores, rest) = (size.millicores / 1_000, size.millicores % 1_000 / 100);
    let (memory, accelerators) = (size.memory_mb, size.accelerators);
    format!("{cores}.{rest} cores {memory} MB {accelerators} accelerators")
}
