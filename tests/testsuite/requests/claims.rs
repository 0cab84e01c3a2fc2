//! Idempotency keys: a repeat gets the first outcome, and a certificate check never runs twice.

use super::embedded::{EmbeddedSite, LIMIT, entry};
use crate::support::{http, process::Site, wait};
use actix_http::Method;
use lapisdrum::{
    core::id::{RequestId, ShardId},
    state::claims::{Homes, KeptAnswer, MAX_KEPT_BODY_BYTES},
};
use lapisdrum_standins::{platform::server::PlatformSwitches, worker::server::WorkerSwitches};
use proptest::prelude::*;
use std::time::Duration;

const CHECK: &str = "certificate-check";

fn key(key: &str) -> [(&str, &str); 1] {
    [("idempotency-key", key)]
}

/// Waits until requests with a key are served, which needs the homes of claims to be known.
async fn wait_for_claims(site: &EmbeddedSite) {
    for (i, daemon) in site.daemons.iter().enumerate() {
        wait::until("claims are kept", LIMIT, async || {
            let asked = daemon.ask(CHECK, &key(&format!("warm-{i}")), "x").await;
            asked.is_ok_and(|answer| answer.status.is_success())
        })
        .await;
    }
    for worker in &site.workers {
        worker.worker.log.borrow_mut().requests.clear();
    }
}

/// Guards against a second run when an answer is lost and the check is repeated through another
/// daemon: the repeat gets the first answer, and is refused with a retry time while the first still
/// runs.
#[actix_rt::test]
async fn a_repeat_through_another_daemon_gets_the_first_outcome() {
    let site = EmbeddedSite::start(&["multan"], 2, 2).await;
    site.serve_entry(&entry(CHECK, false, 5_000)).await;
    wait_for_claims(&site).await;
    site.switch_workers(|switches| switches.request_ms = 600);
    let id = key("check-1");
    let first = site.daemons[0].ask(CHECK, &id, "meter 7");
    let early = async {
        wait::until("the check runs", LIMIT, async || !site.runs().is_empty()).await;
        site.daemons[1].ask(CHECK, &id, "meter 7").await
    };
    let (first, early) = futures::join!(first, early);
    assert_eq!(first.expect("an answer").body, "meter 7");
    let early = early.expect("an answer");
    assert_eq!(early.outcome(), "refused", "{:?}", early.json());
    assert!(early.header("retry-after").is_some());
    for daemon in &site.daemons {
        let repeat = wait::until_some("the first outcome", LIMIT, async || {
            let repeat = daemon.ask(CHECK, &id, "meter 7").await.ok()?;
            (repeat.outcome() == "done").then_some(repeat)
        })
        .await;
        assert_eq!(repeat.body, "meter 7");
    }
    assert_eq!(site.runs(), ["check-1"], "one run");
}

/// Guards against a key that is reused for another body: it would get the wrong answer, or run
/// although the key is taken, so it is refused.
#[actix_rt::test]
async fn an_id_for_another_body_is_refused() {
    let site = EmbeddedSite::start(&["multan"], 2, 1).await;
    site.serve_entry(&entry(CHECK, false, 5_000)).await;
    wait_for_claims(&site).await;
    let id = key("check-2");
    let first = site.daemons[0].ask(CHECK, &id, "meter 7").await;
    assert_eq!(first.expect("an answer").body, "meter 7");
    let reused = wait::until_some("the claim is ended", LIMIT, async || {
        let reused = site.daemons[1].ask(CHECK, &id, "meter 8").await.ok()?;
        reused.header("retry-after").is_none().then_some(reused)
    })
    .await;
    assert_eq!(reused.outcome(), "refused");
    assert_eq!(reused.status, 422, "{:?}", reused.json());
    assert_eq!(site.runs(), ["check-2"], "one run");
}

/// Guards against a key that stays taken although its request was not run: every worker refuses the
/// check, and the same key is served once workers accept requests again.
#[actix_rt::test]
async fn a_request_that_was_not_run_may_be_asked_again_under_its_id() {
    let site = EmbeddedSite::start(&["multan"], 2, 2).await;
    site.serve_entry(&entry(CHECK, false, 5_000)).await;
    wait_for_claims(&site).await;
    site.switch_workers(|switches| switches.refuses = true);
    let id = key("check-3");
    let refused = site.daemons[0].ask(CHECK, &id, "meter 7").await;
    let refused = refused.expect("an answer");
    assert_eq!(refused.outcome(), "refused", "{:?}", refused.json());
    assert_eq!(site.runs(), [""; 0], "none ran");
    site.switch_workers(|switches| switches.refuses = false);
    wait::until("the same id is served", LIMIT, async || {
        let again = site.daemons[1].ask(CHECK, &id, "meter 7").await;
        again.is_ok_and(|answer| answer.body == "meter 7")
    })
    .await;
    assert_eq!(site.runs(), ["check-3"], "one run");
}

/// Guards against runs without a durable claim: while the table is unavailable, a check with a key
/// is refused with a retry time and not run. One without a key is served within the floors.
/// Afterwards the same key runs once.
#[actix_rt::test]
async fn without_its_home_an_id_is_refused_and_not_run() {
    let site = EmbeddedSite::start(&["multan"], 2, 2).await;
    site.serve_entry(&entry(CHECK, false, 5_000)).await;
    wait_for_claims(&site).await;
    site.platform.switches.borrow_mut().down = true;
    for daemon in &site.daemons {
        let refused = daemon.ask(CHECK, &key("check-4"), "meter 7").await;
        let refused = refused.expect("an answer");
        assert_eq!(refused.outcome(), "refused", "{:?}", refused.json());
        assert!(refused.header("retry-after").is_some());
        let plain = daemon.ask(CHECK, &[], "meter 8").await;
        assert_eq!(plain.expect("an answer").body, "meter 8");
    }
    let keyed = |runs: Vec<String>| runs.iter().filter(|id| *id == "check-4").count();
    assert_eq!(keyed(site.runs()), 0, "none ran");
    *site.platform.switches.borrow_mut() = PlatformSwitches::default();
    wait::until("the id is served", LIMIT, async || {
        let again = site.daemons[1].ask(CHECK, &key("check-4"), "meter 7").await;
        again.is_ok_and(|answer| answer.body == "meter 7")
    })
    .await;
    assert_eq!(keyed(site.runs()), 1, "one run");
}

/// Two data centres keep claims, then one has no daemon any more. Keys whose home is there are
/// refused with a retry time and not run; the others are served.
#[actix_rt::test]
async fn ids_at_home_in_a_lost_data_centre_are_refused_and_not_run() {
    let mut site = EmbeddedSite::start(&["multan", "lahore"], 1, 1).await;
    site.serve_entry(&entry(CHECK, false, 5_000)).await;
    wait_for_claims(&site).await;
    let row = site.platform.table.borrow_mut().get("claim-homes");
    let homes = row.and_then(|row| row.parse::<Homes>()).expect("a row");
    assert_eq!(homes.shards.len(), 2, "both from the start: {homes:?}");
    site.daemons[1].request_stop();
    site.daemons[1].ended().await;
    let lost = ShardId::try_from("lahore.0").expect("a name");
    let mut refused = 0;
    for n in 0..20 {
        let id = format!("check-{n}");
        let answer = site.daemons[0].ask(CHECK, &key(&id), "meter 7").await;
        let answer = answer.expect("an answer");
        let request = RequestId::try_from(id.as_str()).expect("a name");
        if homes.of(&request).contains(&lost) {
            assert_eq!(answer.outcome(), "refused", "{:?}", answer.json());
            assert!(answer.header("retry-after").is_some());
            assert!(!site.runs().contains(&id), "it was not run");
            refused += 1;
        } else {
            assert_eq!(answer.body, "meter 7");
        }
    }
    assert!(
        (1..20).contains(&refused),
        "{refused} of 20 have their home there"
    );
}

/// A check with a key runs and its answer is lost: the outcome stays unknown, and no repeat through
/// either daemon runs it again. A route map is idempotent and is served when repeated.
#[actix_rt::test]
async fn an_unknown_outcome_stays_unknown_unless_the_entry_is_idempotent() {
    let site = EmbeddedSite::start(&["multan"], 2, 1).await;
    site.serve_entry(&entry(CHECK, false, 2_000)).await;
    site.serve_entry(&entry("map", true, 2_000)).await;
    wait_for_claims(&site).await;
    let link = &site.workers[0].link.switches;
    link.borrow_mut().drops_one_in = 1;
    let check = site.daemons[0].ask(CHECK, &key("check-6"), "meter 7").await;
    assert_eq!(check.expect("an answer").outcome(), "unknown");
    let map = site.daemons[0].ask("map", &key("map-6"), "studio 3").await;
    assert_eq!(map.expect("an answer").outcome(), "unknown");
    link.borrow_mut().drops_one_in = 0;
    for daemon in &site.daemons {
        let again = wait::until_some("the claim is ended", LIMIT, async || {
            let again = daemon.ask(CHECK, &key("check-6"), "meter 7").await.ok()?;
            (again.outcome() != "refused").then_some(again)
        })
        .await;
        assert_eq!(again.outcome(), "unknown", "{:?}", again.json());
    }
    let of_check = |runs: Vec<String>| runs.iter().filter(|id| *id == "check-6").count();
    assert_eq!(of_check(site.runs()), 1, "one run");
    wait::until("the map is served", LIMIT, async || {
        let again = site.daemons[1].ask("map", &key("map-6"), "studio 3").await;
        again.is_ok_and(|answer| answer.body == "studio 3")
    })
    .await;
}

/// Guards against a second run after a daemon dies while its check runs. A repeat through another
/// daemon is refused as in progress, and gets an unknown outcome once the restarted daemon shows
/// that the earlier run has ended.
#[actix_rt::test]
async fn a_dead_daemons_claim_ends_as_unknown_and_never_runs_again() {
    let mut site = Site::start(2, 2).await;
    let client = site.daemons[0].client();
    client
        .put_entry(&entry(CHECK, false, 20_000), None)
        .await
        .expect("the entry is accepted");
    let callers = [0, 1].map(|daemon: usize| site.daemons[daemon].plan.callers);
    let ask = |daemon: usize, id: &'static str| {
        let callers = callers[daemon];
        let path = format!("/v1/run/{CHECK}");
        async move { http::send(Method::POST, callers, &path, &key(id), "meter 7").await }
    };
    for daemon in 0..2 {
        wait::until("claims are kept", LIMIT, async || {
            let id = ["warm-0", "warm-1"][daemon];
            ask(daemon, id)
                .await
                .is_ok_and(|answer| answer.status.is_success())
        })
        .await;
    }
    for worker in &site.workers {
        let slow = WorkerSwitches {
            request_ms: 8_000,
            ..WorkerSwitches::default()
        };
        worker.switch_worker(&slow).await;
    }
    let running = actix_rt::spawn(ask(0, "check-5"));
    wait::until("the check runs", LIMIT, async || {
        runs_of(&site, "check-5").await == 1
    })
    .await;
    let early = ask(1, "check-5").await.expect("an answer");
    assert_eq!(early.outcome(), "refused", "{:?}", early.json());
    let plan = site.daemons[0].plan.clone();
    site.daemons[0].process.kill();
    let _ = running.await;
    site.daemons[0] = crate::support::process::DaemonProcess::start(plan);
    let end = wait::until_some("the claim has ended", LIMIT, async || {
        let end = ask(1, "check-5").await.ok()?;
        (end.outcome() != "refused").then_some(end)
    })
    .await;
    assert_eq!(end.outcome(), "unknown", "{:?}", end.json());
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(runs_of(&site, "check-5").await, 1, "one run");
}

async fn runs_of(site: &Site, id: &str) -> usize {
    let mut runs = 0;
    for worker in &site.workers {
        let log = worker.log().await;
        runs += log.requests.iter().filter(|ran| *ran == id).count();
    }
    runs
}

const OVERLAP: Duration = Duration::from_secs(100);

fn shards(names: &[u8]) -> Vec<ShardId> {
    let name = |n: &u8| ShardId::try_from(format!("dc-{n}.0").as_str());
    names.iter().map(|n| name(n).expect("a name")).collect()
}

proptest! {
    /// Guards against two daemons that claim one id at different homes: a daemon may use the
    /// previous row until the next change, so any two consecutive rows have a common home.
    #[test]
    fn rows_in_a_row_have_a_common_home_for_every_id(
        growth in prop::collection::vec(prop::collection::vec(0..40_u8, 1..4), 1..6),
        id in "[a-z0-9]{1,20}",
    ) {
        let id = RequestId::try_from(id.as_str()).expect("a name");
        let mut known = shards(&growth[0]);
        let mut row = Homes::first(&known).expect("shards are known");
        for new in &growth[1..] {
            known.extend(shards(new));
            prop_assert_eq!(row.next(&known, OVERLAP / 2, OVERLAP), None, "too soon");
            while let Some(next) = row.next(&known, OVERLAP, OVERLAP) {
                let (before, after) = (row.of(&id), next.of(&id));
                prop_assert!(before.iter().any(|home| after.contains(home)));
                prop_assert_eq!(next.generation, row.generation + 1);
                row = next;
            }
            prop_assert!(known.iter().all(|shard| row.shards.contains(shard)));
        }
    }

    /// A kept answer is decoded as it was encoded; a body beyond the limit is left out.
    #[test]
    fn kept_answers_come_back_as_they_were(
        digest: u64,
        content_type in prop::option::of("[ -~]{0,30}"),
        body in prop::collection::vec(any::<u8>(), 0..2 * MAX_KEPT_BODY_BYTES),
    ) {
        let kept = KeptAnswer::new(digest, content_type, &body);
        let back = KeptAnswer::try_from(Vec::from(&kept).as_slice());
        prop_assert_eq!(back, Ok(kept.clone()));
        let is_small = body.len() <= MAX_KEPT_BODY_BYTES;
        prop_assert_eq!(kept.body, is_small.then_some(body));
    }
}
