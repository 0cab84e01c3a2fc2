//! Requests that one daemon has no free capacity for and another serves.

use super::embedded::{EmbeddedSite, LIMIT, entry};
use crate::support::wait;

/// Two data centres, one of which has lost all its workers.
async fn one_without_workers(entry_name: &str, is_idempotent: bool) -> EmbeddedSite {
    let site = EmbeddedSite::start(&["multan", "lahore"], 1, 1).await;
    site.serve_entry(&entry(entry_name, is_idempotent, 3_000))
        .await;
    let is_left = |dc: &str| dc == "multan";
    site.platform
        .hosts
        .borrow_mut()
        .retain(|host| is_left(&host.data_centre));
    wait::until("the other data centre serves", LIMIT, async || {
        // The entry's warm-up requests ran there too, so only a further run shows that the request
        // was forwarded.
        let before = site.workers[0].runs().len();
        let asked = site.daemons[1].ask(entry_name, &[], "x").await;
        let is_served = asked.is_ok_and(|answer| answer.status.is_success());
        is_served && site.workers[0].runs().len() > before
    })
    .await;
    for worker in &site.workers {
        worker.worker.log.borrow_mut().requests.clear();
    }
    site
}

/// The platform no longer lists the workers of a data centre: its callers are served by the other
/// one.
#[actix_rt::test]
async fn a_data_centre_without_workers_is_served_by_another() {
    let site = one_without_workers("check", false).await;
    for meter in 0..20 {
        let body = format!("meter {meter}");
        let answer = site.daemons[1].ask("check", &[], &body).await;
        assert_eq!(answer.expect("an answer").body, body);
    }
    assert_eq!(site.workers[0].runs().len(), 20);
    assert_eq!(site.workers[1].runs(), [""; 0]);
}

/// The other data centre's worker runs the check and its answer is lost: the outcome is unknown,
/// and no daemon retries it.
#[actix_rt::test]
async fn an_answer_lost_behind_the_hop_is_unknown() {
    let site = one_without_workers("check", false).await;
    site.workers[0].link.switches.borrow_mut().drops_one_in = 1;
    let answer = site.daemons[1].ask("check", &[], "meter 7").await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.outcome(), "unknown", "{:?}", answer.json());
    assert_eq!(site.runs().len(), 1, "one run");
}

/// The workers of the other data centre refuse the check: the caller gets a refusal, and nothing
/// was run.
#[actix_rt::test]
async fn a_refusal_behind_the_hop_means_not_run() {
    let site = one_without_workers("check", false).await;
    site.switch_workers(|switches| switches.refuses = true);
    let answer = site.daemons[1].ask("check", &[], "meter 7").await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.outcome(), "refused", "{:?}", answer.json());
    assert!(answer.header("retry-after").is_some());
    assert_eq!(site.runs(), [""; 0]);
}

/// The load balancer sends every caller to one of two daemons, whose floor has half of the worker's
/// slots: the other requests are served from the other daemon's floor.
#[actix_rt::test]
async fn a_daemon_that_gets_all_callers_uses_the_others_floor() {
    let site = EmbeddedSite::start(&["multan"], 2, 1).await;
    site.serve_entry(&entry("check", false, 3_000)).await;
    site.switch_workers(|switches| switches.request_ms = 400);
    // The other daemon may not have its floor yet.
    wait::until("both floors are used", LIMIT, async || {
        let calls = (0..8).map(|_| site.daemons[0].ask("check", &[], "meter 7"));
        for answer in futures::future::join_all(calls).await {
            assert_eq!(answer.expect("an answer").body, "meter 7");
        }
        site.workers[0].worker.log.borrow().most_requests > 4
    })
    .await;
}
