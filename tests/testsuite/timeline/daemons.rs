//! Timestamps on calls and table rows between two daemons whose clocks are minutes apart.

use crate::support::wait;
use actix_rt::net::TcpListener;
use assert_matches::assert_matches;
use lapisdrum::{
    core::{
        catalogue::RawEntry,
        id::{ChangeId, Revision},
    },
    daemon::{
        Cx, Daemon,
        catalogue::{self, ChangeOutcome},
    },
    peer::{
        server,
        wire::{PeerReply, PeerRequest},
    },
    settings::Settings,
    timeline::event::{Happening, Stamp},
};
use lapisdrum_standins::{
    platform::server::Platform,
    site::{self, DaemonPlan},
};
use serde_json::json;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::sync::watch;
use uhlc::NTP64;

/// Upper bound of each wait, which takes milliseconds on an idle machine.
const LIMIT: Duration = Duration::from_secs(20);

const SKEW: Duration = Duration::from_secs(300);

fn ahead() -> NTP64 {
    uhlc::system_time_clock() + NTP64::from(SKEW)
}

fn behind() -> NTP64 {
    uhlc::system_time_clock() - NTP64::from(SKEW)
}

/// A daemon that runs only the peer server and does nothing by itself.
async fn idle_daemon(name: &str, clock: fn() -> NTP64) -> Cx {
    daemon_of(site::free_address(), name, clock).await
}

pub(super) async fn daemon_of(platform: SocketAddr, name: &str, clock: fn() -> NTP64) -> Cx {
    let plan = DaemonPlan::new(name, "westlands", platform);
    let listener = TcpListener::bind(plan.peers).await.expect("a free port");
    let cfg = Settings::parse(name, &plan.settings()).expect("good settings");
    let cx = Daemon::with_event_clock(cfg, clock);
    actix_rt::spawn(server::serve(Rc::clone(&cx), listener));
    cx
}

fn record(cx: &Cx, revision: u64) -> Stamp {
    let revision = Revision(revision);
    cx.timeline.record(Happening::RevisionApplied { revision })
}

/// Guards against an effect sorted before its cause. One daemon's clock is ten minutes ahead of the
/// other's; it records an event, then calls the other, which records an event because of the call. By
/// wall clock the second is ten minutes earlier; the timestamp on the request must put it after.
#[actix_rt::test]
async fn an_effect_of_a_request_sorts_after_its_cause() {
    let (early, late) = (
        idle_daemon("early", ahead).await,
        idle_daemon("late", behind).await,
    );
    let cause = record(&early, 1);
    let call = early
        .peers
        .call(&late.me.address, PeerRequest::Catalogue(Revision(0)));
    assert_matches!(call.await, Ok(PeerReply::Ok));
    let effect = record(&late, 2);
    assert!(cause < effect, "{cause:?} {effect:?}");
}

/// The same for replies: the daemon that is behind calls the one that is ahead and acts on the reply.
/// The timestamp on the reply must put that action after the events that the reply reports.
#[actix_rt::test]
async fn an_effect_of_a_reply_sorts_after_its_cause() {
    let (early, late) = (
        idle_daemon("early", ahead).await,
        idle_daemon("late", behind).await,
    );
    let cause = record(&early, 1);
    let call = late
        .peers
        .call(&early.me.address, PeerRequest::Catalogue(Revision(0)));
    assert_matches!(call.await, Ok(PeerReply::Ok));
    let effect = record(&late, 2);
    assert!(cause < effect, "{cause:?} {effect:?}");
}

async fn platform() -> SocketAddr {
    let listener = TcpListener::bind(site::free_address())
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = watch::channel(false);
    actix_rt::spawn(async move {
        Rc::new(Platform::default()).serve(listener, stopped).await;
        drop(stop);
    });
    address
}

fn stamp_of(cx: &Cx, wanted: impl Fn(&Happening) -> bool) -> Option<Stamp> {
    let (records, _) = cx.timeline.read();
    let found = records.into_iter().find(|record| wanted(&record.what));
    found.map(|record| record.stamp)
}

/// The same for table rows: an operator changes an entry at a daemon whose clock is ahead, and the other
/// daemon, which no peer call reaches, reads the revision from the table. The row's timestamp must put
/// the application of the revision after the change.
#[actix_rt::test]
async fn an_effect_of_a_row_sorts_after_its_cause() {
    let platform = platform().await;
    let (early, late) = (
        daemon_of(platform, "early", ahead).await,
        daemon_of(platform, "late", behind).await,
    );
    let entry = json!({
        "name": "map", "owner": "trail", "class": "batch", "millicores": 1, "memory_mb": 1
    });
    let raw: RawEntry = serde_json::from_value(entry).expect("a raw entry");
    let change = ChangeId::try_from("change-1").expect("an id");
    let end = catalogue::change(&early, raw, None, change).await;
    assert_matches!(end, ChangeOutcome::Accepted(Revision(1)));
    actix_rt::spawn(catalogue::follow(Rc::clone(&late)));
    let effect = wait::until_some("the revision is in force", LIMIT, async || {
        stamp_of(&late, |what| {
            matches!(what, Happening::RevisionApplied { .. })
        })
    })
    .await;
    let cause = stamp_of(&early, |what| {
        matches!(what, Happening::ChangeAccepted { .. })
    });
    assert!(cause < Some(effect), "{cause:?} {effect:?}");
}
