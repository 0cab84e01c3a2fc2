//! Stamps on the calls between two daemons whose clocks are minutes apart.

use actix_rt::net::TcpListener;
use assert_matches::assert_matches;
use lapisdrum::{
    core::id::Revision,
    daemon::{Cx, Daemon},
    peer::{
        server,
        wire::{PeerReply, PeerRequest},
    },
    settings::Settings,
    timeline::event::Happening,
};
use lapisdrum_standins::site::{self, DaemonPlan};
use std::{rc::Rc, time::Duration};
use uhlc::NTP64;

const SKEW: Duration = Duration::from_secs(300);

fn ahead() -> NTP64 {
    uhlc::system_time_clock() + NTP64::from(SKEW)
}

fn behind() -> NTP64 {
    uhlc::system_time_clock() - NTP64::from(SKEW)
}

/// A daemon of which only the peer server runs; it does nothing of itself.
async fn idle_daemon(name: &str, clock: fn() -> NTP64) -> Cx {
    let plan = DaemonPlan::new(name, "westlands", site::free_address());
    let listener = TcpListener::bind(plan.peers).await.expect("a free port");
    let cfg = Settings::parse(name, &plan.settings()).expect("good settings");
    let cx = Daemon::with_event_clock(cfg, clock);
    actix_rt::spawn(server::serve(Rc::clone(&cx), listener));
    cx
}

fn record(cx: &Cx, revision: u64) -> lapisdrum::timeline::event::Stamp {
    let revision = Revision(revision);
    cx.timeline.record(Happening::RevisionApplied { revision })
}

/// One daemon's clock is ten minutes ahead of the other's. It sees an event and then calls the
/// other, which sees an event because of the call: by the hosts' clocks the second stands ten
/// minutes before the first. The stamp on the request has to put it after.
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

/// The daemon that is behind asks the one that is ahead and acts on the reply. What the reply tells
/// of happened before, so the stamp on the reply has to put the action after it.
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
