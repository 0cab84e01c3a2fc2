//! `lapisdrum timeline`: the daemons' events merged into one order.

use super::{Exit, Failure, OTHERS_TIMEOUT, output::write_lines};
use crate::{
    api::{client::DaemonClient, wire::TimelineBody},
    core::id::{DaemonId, InvalidName, JobId, WorkerId},
    timeline::event::{Filter, Happening, Record},
};
use indexmap::IndexSet;
use std::{fmt, time::Duration};
use uhlc::NTP64;

data! {
    /// Events that a daemon no longer has.
    pub struct Dropped {
        /// The daemon.
        pub daemon: DaemonId,
        /// How many, all older than those that it has.
        pub events: u64,
    }

    /// The merged time line and what is missing from it.
    #[derive(Default)]
    pub struct Merged {
        /// Events of all daemons that answered, in order.
        pub events: Vec<Record>,
        /// Events that fell out of the daemons' rings.
        pub dropped: Vec<Dropped>,
        /// Daemons that did not answer, by address.
        pub silent: Vec<String>,
    }
}

/// Which events a person asked for, as written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    /// Events of this job only.
    pub job: Option<String>,
    /// Events of this worker only.
    pub worker: Option<String>,
    /// Events of this entry and of its jobs only.
    pub entry: Option<String>,
    /// A time such as `2026-01-31T12:00:00Z`, or a span before now such as `10m`.
    pub since: Option<String>,
}

/// Asks one daemon which others there are, and merges the time lines of all of them.
pub async fn gather(client: &DaemonClient, query: &Query) -> Result<Merged, Failure> {
    let filter = filter(query)?;
    let status = client.status().await?;
    let others = status.daemons.iter();
    let others = others.filter(|line| line.daemon != status.daemon);
    let mut daemons = vec![(status.daemon.to_string(), client.clone())];
    daemons.extend(others.map(|line| {
        let client = DaemonClient::new(&line.callers, OTHERS_TIMEOUT);
        (format!("{} at {}", line.daemon, line.callers), client)
    }));
    let mut merged = merge(&daemons, &filter).await;
    if let Some(entry) = &query.entry {
        keep_entry(&mut merged, client, entry).await;
    }
    Ok(merged)
}

/// Reads and merges the wanted events of these daemons, all at once.
pub async fn merge(daemons: &[(String, DaemonClient)], filter: &Filter) -> Merged {
    let calls = daemons.iter().map(|(_, client)| client.timeline_of(filter));
    let answers = futures::future::join_all(calls).await;
    let mut merged = Merged::default();
    for ((name, _), answer) in daemons.iter().zip(answers) {
        match answer {
            Ok(part) => merged.add(part),
            Err(_) => merged.silent.push(name.clone()),
        }
    }
    merged.events.sort_by_key(|record| record.stamp);
    merged
}

impl Merged {
    fn add(&mut self, part: TimelineBody) {
        self.events.extend(part.events);
        if part.dropped > 0 {
            self.dropped.push(Dropped {
                daemon: part.daemon,
                events: part.dropped,
            });
        }
    }
}

/// Keeps the events of an entry and of its jobs. Which jobs are the entry's is told by the events
/// of their acceptance and, for those that fell out of a ring, by the list of jobs.
async fn keep_entry(merged: &mut Merged, client: &DaemonClient, entry: &str) {
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
    let wrong = |e: InvalidName| Failure::new(Exit::WrongInput, e);
    let job = query.job.as_deref().map(JobId::try_from).transpose();
    let worker = query.worker.as_deref().map(WorkerId::try_from).transpose();
    let since = query.since.as_deref().map(parse_since).transpose()?;
    Ok(Filter {
        job: job.map_err(wrong)?,
        worker: worker.map_err(wrong)?,
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

impl fmt::Display for Merged {
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
