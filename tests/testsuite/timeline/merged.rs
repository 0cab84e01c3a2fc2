//! The merged timeline: one order over all daemons, and a report of what is missing.

use super::daemons::daemon_of;
use actix_rt::net::TcpListener;
use lapisdrum::{
    api::server,
    core::id::Revision,
    daemon::Cx,
    ops::{
        connect,
        timeline::{DroppedEvents, merge},
    },
    timeline::event::{Filter, Happening},
};
use lapisdrum_standins::site;
use std::rc::Rc;

/// The default capacity of a timeline.
const CAPACITY: u64 = 10_000;

async fn serving(name: &str) -> Cx {
    let cx = daemon_of(site::free_address(), name, uhlc::system_time_clock).await;
    let callers = cx.cfg.daemon.callers;
    let listener = TcpListener::bind(callers).await.expect("a free port");
    actix_rt::spawn(server::serve(Rc::clone(&cx), listener));
    cx
}

fn record(cx: &Cx, revision: u64) {
    let revision = Revision(revision);
    cx.timeline.record(Happening::RevisionApplied { revision });
}

/// Two daemons record events in turns, one of them more than its ring holds, and a third doesn't answer.
/// The merged timeline must be in the order of recording, and must report the dropped events and the
/// missing daemon, so that a gap isn't taken for a quiet time.
#[actix_rt::test]
async fn the_merged_view_is_ordered_and_names_what_is_missing() {
    let (first, second) = (serving("first").await, serving("second").await);
    for revision in 0..CAPACITY + 40 {
        record(&first, revision);
    }
    for revision in CAPACITY + 40..CAPACITY + 60 {
        record(if revision % 2 == 0 { &first } else { &second }, revision);
    }
    let silent = site::free_address().to_string();
    let asked = [&first, &second].map(|cx| cx.cfg.daemon.callers.to_string());
    let names = ["first".to_owned(), "second".to_owned(), "third".to_owned()];
    let addresses = asked.iter().chain([&silent]);
    let daemons: Vec<_> = names
        .into_iter()
        .zip(addresses.map(|address| connect(address)))
        .collect();
    let merged = merge(&daemons, &Filter::default()).await;
    let revisions: Vec<u64> = merged
        .events
        .iter()
        .filter_map(|record| match record.what {
            Happening::RevisionApplied { revision } => Some(revision.0),
            _ => None,
        })
        .collect();
    let kept: Vec<u64> = (50..CAPACITY + 60).collect();
    assert_eq!(revisions, kept);
    let dropped = DroppedEvents {
        daemon: first.me.daemon.clone(),
        events: 50,
    };
    assert_eq!(merged.dropped, [dropped]);
    assert_eq!(merged.silent, ["third"]);
    let shown = merged.to_string();
    assert!(shown.contains("missing: 50 older events fell out of the ring of first"));
    assert!(shown.ends_with("missing: no answer from third"));
}
