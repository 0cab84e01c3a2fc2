//! Overload, judged by what callers receive.

use super::embedded::{EmbeddedSite, entry};
use std::time::{Duration, Instant};

/// Guards against a burst that fills the queue with requests that expire: requests beyond the
/// queue's bound are refused at once, with a retry time and without a run.
#[actix_rt::test]
async fn a_burst_beyond_the_queue_is_refused_at_once() {
    let site = EmbeddedSite::start(&["multan"], 1, 1).await;
    let mut raw = entry("check", false, 10_000);
    raw.queue = Some(8);
    site.serve_entry(&raw).await;
    site.switch_workers(|switches| switches.request_ms = 300);
    let ask = async || {
        let started = Instant::now();
        let answer = site.daemons[0].ask("check", &[], "meter 7").await;
        (answer.expect("an answer"), started.elapsed())
    };
    let answers = futures::future::join_all((0..160).map(|_| ask())).await;
    let (done, refused): (Vec<_>, Vec<_>) = answers
        .iter()
        .partition(|(answer, _)| answer.outcome() == "done");
    assert!(done.len() >= 8, "{} done", done.len());
    assert!(refused.len() >= 100, "{} refused", refused.len());
    for (answer, took) in refused {
        assert_eq!(answer.outcome(), "refused", "{:?}", answer.json());
        assert!(answer.header("retry-after").is_some());
        assert!(*took < Duration::from_secs(5), "answered at once: {took:?}");
    }
    assert_eq!(site.runs().len(), done.len(), "refused means not run");
}

/// Guards against one caller that starves the others of an entry: callers share its queue evenly,
/// however many requests one of them sends.
#[actix_rt::test]
async fn a_hot_caller_does_not_starve_the_others() {
    let site = EmbeddedSite::start(&["multan"], 1, 1).await;
    let mut raw = entry("check", false, 20_000);
    raw.queue = Some(200);
    // Before the first request, as the run time is estimated from it on.
    site.switch_workers(|switches| switches.request_ms = 100);
    site.serve_entry(&raw).await;
    let ask = async |caller: &str| {
        let headers = [("lapisdrum-caller", caller)];
        let answer = site.daemons[0].ask("check", &headers, "meter 7").await;
        (
            answer.expect("an answer").outcome() == "done",
            Instant::now(),
        )
    };
    let hot = futures::future::join_all((0..160).map(|_| ask("hot")));
    let others = async {
        // After the hot caller's burst.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let names = ["bench-1", "bench-2", "bench-3", "bench-4"];
        futures::future::join_all(names.map(ask)).await
    };
    let (hot, others) = futures::join!(hot, others);
    let hot_done = hot.iter().filter(|(is_done, _)| *is_done).count();
    for (is_done, at) in others {
        assert!(is_done, "each of the others is answered");
        let before = hot
            .iter()
            .filter(|(is_done, hot_at)| *is_done && *hot_at < at);
        let before = before.count();
        assert!(
            before < hot_done * 3 / 4,
            "{before} of {hot_done} went before"
        );
    }
}
