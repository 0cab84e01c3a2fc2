//! `lapisdrum timeline`: merges the events of all daemons in the order of their stamps.

use super::{Exit, Failure, OTHER_DAEMONS_TIMEOUT, output::write_lines};
use crate::{
    api::{client::DaemonClient, wire::TimelineBody},
    core::id::{DaemonId, InvalidName, JobId, WorkerId},
    timeline::event::{Filter, Happening, Record},
};
use indexmap::IndexSet;
use std::{fmt, time::Duration};
use uhlc::NTP64;

data! {
    /// Number of events that a daemon no longer has.
    pub struct DroppedEvents {
        /// Name of the daemon.
        pub daemon: DaemonId,
        /// Number of events overwritten by newer ones; all are older than the remaining ones.
        pub events: u64,
    }

    /// Merged time line, with notes on what is missing from it.
    #[derive(Default)]
    pub struct MergedTimeline {
        /// Events of all daemons that answered, ordered by stamp.
        pub events: Vec<Record>,
        /// Events that daemons no longer have, since their ring buffers were full.
        pub dropped: Vec<DroppedEvents>,
        /// Daemons that did not answer, with their addresses except for the one queried first.
        pub silent: Vec<String>,
    }
}

/// Filter for events as given on the command line, not yet parsed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    /// Only events of this job.
    pub job: Option<String>,
    /// Only events of this worker.
    pub worker: Option<String>,
    /// Only events of this entry and of its jobs.
    pub entry: Option<String>,
    /// Only events since this time, such as `2026-01-31T12:00:00Z`, or within a span before now,
    /// such as `10m`.
    pub since: Option<String>,
}

/// Queries one daemon for the other daemons and merges the time lines of all.
pub async fn gather(client: &DaemonClient, query: &Query) -> Result<MergedTimeline, Failure> {
    let filter = filter(query)?;
    let status = client.status().await?;
    let others = status.daemons.iter();
    let others = others.filter(|line| line.daemon != status.daemon);
    let mut daemons = vec![(status.daemon.to_string(), client.clone())];
    daemons.extend(others.map(|line| {
        let client = DaemonClient::new(&line.callers, OTHER_DAEMONS_TIMEOUT);
        (format!("{} at {}", line.daemon, line.callers), client)
    }));
    let mut merged = merge(&daemons, &filter).await;
    if let Some(entry) = &query.entry {
        retain_entry_events(&mut merged, client, entry).await;
    }
    Ok(merged)
}

/// Reads the events that match `filter` from these daemons concurrently and merges them.
pub async fn merge(daemons: &[(String, DaemonClient)], filter: &Filter) -> MergedTimeline {
    let calls = daemons
        .iter()
        .map(|(_, client)| client.filtered_timeline(filter));
    let answers = futures::future::join_all(calls).await;
    let mut merged = MergedTimeline::default();
    for ((name, _), answer) in daemons.iter().zip(answers) {
        match answer {
            Ok(body) => merged.add(body),
            Err(_) => merged.silent.push(name.clone()),
        }
    }
    merged.events.sort_by_key(|record| record.stamp);
    merged
}

impl MergedTimeline {
    fn add(&mut self, body: TimelineBody) {
        self.events.extend(body.events);
        if body.dropped > 0 {
            self.dropped.push(DroppedEvents {
                daemon: body.daemon,
                events: body.dropped,
            });
        }
    }
}

/// Keeps only the events of an entry and of its jobs. The jobs are found by their acceptance events
/// and, where those were overwritten, by the list of jobs.
async fn retain_entry_events(merged: &mut MergedTimeline, client: &DaemonClient, entry: &str) {
    let mut jobs: IndexSet<JobId> = IndexSet::new();
    if let Ok(listed) = client.jobs(Some(entry), None).await {
        jobs.extend(listed.jobs.into_iter().map(|job| job.job));
    }
    let accepted = merged
        .events
        .iter()
        .filter_map(|record| match &record.what {
            Happening::JobAccepted { job, entry: of } if of.as_str() == entry => Some(job.clone()),
            _ => None,
        });
    jobs.extend(accepted);
    merged.events.retain(|record| {
        let of_job = record.what.job().is_some_and(|job| jobs.contains(job));
        of_job || record.what.entry() == Some(entry)
    });
}

fn filter(query: &Query) -> Result<Filter, Failure> {
    let invalid_name = |e: InvalidName| Failure::new(Exit::WrongInput, e);
    let job = query.job.as_deref().map(JobId::try_from).transpose();
    let worker = query.worker.as_deref().map(WorkerId::try_from).transpose();
    let since = query.since.as_deref().map(parse_since).transpose()?;
    Ok(Filter {
        job: job.map_err(invalid_name)?,
        worker: worker.map_err(invalid_name)?,
        since: since.map(|since| since.as_u64()),
    })
}

fn parse_since(text: &str) -> Result<NTP64, Failure> {
    if let Some(span) = parse_span(text) {
        let now = uhlc::system_time_clock().to_duration();
        return Ok(NTP64::from(now.saturating_sub(span)));
    }
    NTP64::parse_rfc3339(text).map_err(|_| {
        let help = "write a time such as 2026-01-31T12:00:00Z or a span such as 90s, 10m, 2h, 1d";
        Failure::new(
            Exit::WrongInput,
            format!("`--since {text}` is no time; {help}"),
        )
    })
}

fn parse_span(text: &str) -> Option<Duration> {
    let unit = text.chars().last()?;
    let count: u64 = text.strip_suffix(unit)?.parse().ok()?;
    let seconds = match unit {
        's' => 1,
        'm' => 60,
        'h' => 3_600,
        'd' => 86_400,
        _ => return None,
    };
    Some(Duration::from_secs(count.checked_mul(seconds)?))
}

impl fmt::Display for MergedTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut lines: Vec<String> = self.events.iter().map(ToString::to_string).collect();
        if lines.is_empty() {
            lines.push("no events".to_owned());
        }
        lines.extend(self.dropped.iter().map(|dropped| {
            format!(
                "missing: {} older events fell out of the ring of {}",
                dropped.events, dropped.daemon
            )
        }));
        lines.extend(
            self.silent
                .iter()
                .map(|name| format!("missing: no answer from {name}")),
        );
        write_lines(f, lines)
    }
}
