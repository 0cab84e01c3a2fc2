//! Outcomes of requests (done, refused, unknown) and complete answers, whatever workers do.

use super::embedded::{EmbeddedSite, LIMIT, SLOTS, entry};
use crate::support::wait;
use lapisdrum::core::size::Size;
use lapisdrum_standins::worker::link::LinkSwitches;
use std::time::{Duration, Instant};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Size of one request of [`entry`].
const SIZE: Size = Size {
    millicores: 500,
    memory_mb: 100,
    accelerators: 0,
};

/// Counts of what callers received.
#[derive(Debug, Default)]
struct Tally {
    done: u32,
    refused: u32,
    unknown: u32,
}

/// Sends `rounds` requests in a row from each of `callers` callers, each with a different body, and
/// checks that each answer has the complete body of its request.
async fn send_from_callers(
    site: &EmbeddedSite,
    name: &str,
    callers: usize,
    rounds: usize,
) -> Tally {
    let caller = |caller: usize| async move {
        let daemon = &site.daemons[caller % site.daemons.len()];
        let mut tally = Tally::default();
        for round in 0..rounds {
            // Long enough that a truncated answer is noticed.
            let body = format!("{name} of caller {caller} round {round};").repeat(50);
            let answer = daemon.ask(name, &[], &body).await.expect("an answer");
            match answer.outcome() {
                "done" => {
                    assert_eq!(
                        answer.body, body,
                        "another caller's answer, or an incomplete one"
                    );
                    tally.done += 1;
                }
                "refused" => {
                    assert!(answer.header("retry-after").is_some());
                    tally.refused += 1;
                }
                "unknown" => tally.unknown += 1,
                other => panic!("outcome `{other}`"),
            }
        }
        tally
    };
    let tallies = futures::future::join_all((0..callers).map(caller)).await;
    let mut sum = Tally::default();
    for tally in tallies {
        sum.done += tally.done;
        sum.refused += tally.refused;
        sum.unknown += tally.unknown;
    }
    sum
}

fn max_runs_of_one_id(runs: &[String]) -> usize {
    let often = |id: &String| runs.iter().filter(|ran| *ran == id).count();
    runs.iter().map(often).max().unwrap_or_default()
}

/// Guards against mixed-up answers and double runs: 200 callers send at once while workers
/// truncate, delay and misattribute answers, and connections repeat or lose them. Each caller gets
/// its own complete answer or the true outcome.
#[actix_rt::test]
async fn each_of_200_callers_gets_its_own_whole_answer() {
    let site = EmbeddedSite::start(&["multan"], 2, 4).await;
    site.serve_entry(&entry("check", false, 2_000)).await;
    for worker in &site.workers {
        worker.switch(|switches| {
            switches.cuts_one_in = 11;
            switches.delays_one_in = 7;
            switches.misnames_one_in = 13;
        });
        *worker.link.switches.borrow_mut() = LinkSwitches {
            repeats_one_in: 5,
            drops_one_in: 17,
            closes_after_ms: 0,
        };
    }
    let tally = send_from_callers(&site, "check", 200, 3).await;
    assert!(tally.done > 0 && tally.unknown > 0, "{tally:?}");
    let runs = site.runs();
    assert_eq!(
        max_runs_of_one_id(&runs),
        1,
        "a non-idempotent request ran twice"
    );
    assert!(
        runs.len() <= (tally.done + tally.unknown) as usize,
        "{} runs for {tally:?}",
        runs.len()
    );
    for worker in &site.workers {
        let log = worker.worker.log.borrow();
        assert!(log.most_requests <= SLOTS, "{}", log.most_requests);
    }
}

/// Guards against requests reported as not run that did run: all workers refuse before running.
#[actix_rt::test]
async fn refused_means_not_run() {
    let site = EmbeddedSite::start(&["multan"], 2, 2).await;
    site.serve_entry(&entry("check", false, 2_000)).await;
    site.switch_workers(|switches| switches.refuses = true);
    let tally = send_from_callers(&site, "check", 20, 1).await;
    assert_eq!((tally.done, tally.unknown), (0, 0), "{tally:?}");
    assert_eq!(site.runs(), [""; 0]);
}

/// A worker runs a check and the connection closes without an answer: the outcome is unknown and
/// the check is not retried. A route map is idempotent and is retried.
#[actix_rt::test]
async fn a_lost_answer_is_unknown_unless_the_entry_is_idempotent() {
    let site = EmbeddedSite::start(&["multan"], 1, 2).await;
    site.serve_entry(&entry("check", false, 2_000)).await;
    site.serve_entry(&entry("map", true, 2_000)).await;
    for worker in &site.workers {
        worker.link.switches.borrow_mut().drops_one_in = 1;
    }
    let check = site.daemons[0].ask("check", &[], "meter 7").await;
    assert_eq!(check.expect("an answer").outcome(), "unknown");
    assert_eq!(site.runs().len(), 1, "sent once");
    for worker in &site.workers {
        worker.link.switches.borrow_mut().drops_one_in = 2;
    }
    for _ in 0..4 {
        let map = site.daemons[0].ask("map", &[], "studio 3").await;
        assert_eq!(map.expect("an answer").body, "studio 3");
    }
}

/// Guards against a second run of a check: the refusal of another request arrives in place of its
/// answer. If it were accepted, the check would be retried while it runs.
#[actix_rt::test]
async fn the_refusal_of_another_request_is_ignored() {
    let site = EmbeddedSite::start(&["multan"], 1, 2).await;
    site.serve_entry(&entry("check", false, 2_000)).await;
    site.switch_workers(|switches| switches.misnames_refusals = true);
    let answer = site.daemons[0].ask("check", &[], "meter 7").await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.outcome(), "unknown", "{:?}", answer.json());
    assert_eq!(site.runs().len(), 1, "sent once");
}

/// Guards against overloading a worker with requests whose connections broke: it still runs them,
/// so their slots and sizes stay counted until their deadlines.
#[actix_rt::test]
async fn a_worker_is_never_given_more_than_its_slots_and_size() {
    let site = EmbeddedSite::start(&["multan"], 2, 1).await;
    let large = Size {
        millicores: 3_000,
        ..SIZE
    };
    let mut raw = entry("check", false, 3_000);
    raw.millicores = large.millicores;
    site.serve_entry(&raw).await;
    site.switch_workers(|switches| {
        switches.request_ms = 2_500;
        switches.entry_sizes.insert("check".to_owned(), large);
    });
    site.workers[0].link.switches.borrow_mut().closes_after_ms = 100;
    let ask_again = |caller: usize| {
        let daemon = &site.daemons[caller % 2];
        async move {
            let mut unknown = 0;
            for _ in 0..4 {
                let answer = daemon.ask("check", &[], "x").await.expect("an answer");
                unknown += u32::from(answer.outcome() == "unknown");
            }
            unknown
        }
    };
    let unknown = futures::future::join_all((0..10).map(ask_again)).await;
    assert!(unknown.iter().sum::<u32>() > 0, "connections broke");
    let log = site.workers[0].worker.log.borrow();
    assert!(!log.requests.is_empty(), "some ran");
    assert!(log.most_requests <= SLOTS, "{}", log.most_requests);
    // Half of the worker is kept for requests.
    assert!(log.most_size.millicores <= 8_000, "{:?}", log.most_size);
}

/// Guards against callers that wait beyond their deadline for a hung worker. The caller's deadline
/// applies, not the longer one of the entry.
#[actix_rt::test]
async fn requests_on_a_hung_worker_end_at_the_deadline() {
    let site = EmbeddedSite::start(&["multan"], 1, 1).await;
    site.serve_entry(&entry("check", false, 30_000)).await;
    site.switch_workers(|switches| switches.hang_requests = true);
    let started = Instant::now();
    let headers = [("lapisdrum-deadline-ms", "400")];
    let answer = site.daemons[0].ask("check", &headers, "meter 7").await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.outcome(), "unknown", "{:?}", answer.json());
    assert!(
        started.elapsed() < Duration::from_secs(10),
        "the caller's deadline counts"
    );
}

/// Guards against new requests on a worker that the platform reports as leaving; they go to the
/// other worker.
#[actix_rt::test]
async fn a_leaving_worker_gets_no_new_requests() {
    let site = EmbeddedSite::start(&["multan"], 2, 2).await;
    site.serve_entry(&entry("check", false, 5_000)).await;
    site.platform.hosts.borrow_mut()[0].state = "leaving".to_owned();
    // Two polls at the test's settings, doubled for a busy host.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = site.workers[0].runs().len();
    let tally = send_from_callers(&site, "check", 4, 10).await;
    assert_eq!(tally.unknown, 0, "{tally:?}");
    assert!(tally.done > 0, "{tally:?}");
    assert_eq!(
        site.workers[0].runs().len(),
        before,
        "the leaving worker ran more"
    );
}

/// Guards against floors that are granted to others while a worker still runs requests on them: a
/// stopping daemon accepts nothing new, answers its requests, and also waits for one whose caller
/// disconnected.
#[actix_rt::test]
async fn a_graceful_end_waits_for_all_that_runs() {
    let mut site = EmbeddedSite::start(&["multan"], 2, 2).await;
    site.serve_entry(&entry("check", false, 5_000)).await;
    site.switch_workers(|switches| switches.request_ms = 1_500);
    let ending = &site.daemons[0];
    let abandoned = ending.ask("check", &[], "gone");
    let _ = tokio::time::timeout(Duration::from_millis(300), abandoned).await;
    let asked = async {
        let calls = (0..4).map(|_| ending.ask("check", &[], "meter 7"));
        futures::future::join_all(calls).await
    };
    let stop = async {
        wait::until("all run", LIMIT, async || site.runs().len() == 5).await;
        ending.request_stop();
    };
    let (answers, ()) = futures::join!(asked, stop);
    for answer in answers {
        assert_eq!(answer.expect("an answer").body, "meter 7");
    }
    site.daemons[0].ended().await;
    let after = site.daemons[1].ask("check", &[], "meter 8").await;
    assert_eq!(after.expect("an answer").body, "meter 8");
}

/// As above, for a request whose connection to the worker broke: its outcome is unknown while the
/// worker still runs it.
#[actix_rt::test]
async fn a_graceful_end_waits_for_what_may_still_run() {
    let mut site = EmbeddedSite::start(&["multan"], 1, 1).await;
    // Before the first connection, so that none is kept open.
    site.workers[0].link.switches.borrow_mut().closes_after_ms = 100;
    site.serve_entry(&entry("check", false, 2_000)).await;
    site.switch_workers(|switches| switches.request_ms = 1_800);
    wait::until("a connection breaks", LIMIT, async || {
        let asked = site.daemons[0].ask("check", &[], "meter 7").await;
        asked.expect("an answer").outcome() == "unknown"
    })
    .await;
    assert_eq!(
        site.workers[0].worker.running_requests(),
        1,
        "it still runs"
    );
    site.daemons[0].request_stop();
    site.daemons[0].ended().await;
    assert_eq!(site.workers[0].worker.running_requests(), 0, "it has ended");
}

/// Guards against daemons that run out of memory by bodies that are refused later: a caller that
/// announces more than the entry allows is refused before it sends the body.
#[actix_rt::test]
async fn a_body_that_is_announced_too_large_is_not_waited_for() {
    let site = EmbeddedSite::start(&["multan"], 1, 1).await;
    let mut raw = entry("check", false, 5_000);
    raw.body_bytes = Some(2_000);
    site.serve_entry(&raw).await;
    let stream = TcpStream::connect(site.daemons[0].plan.callers).await;
    let mut stream = stream.expect("the daemon listens");
    let head = "POST /v1/run/check HTTP/1.1\r\nhost: x\r\ncontent-length: 2001\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut answer = vec![0; 64];
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut answer)).await;
    let n = read.expect("answered at once").expect("read");
    let answer = String::from_utf8_lossy(&answer[..n]);
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

/// A body beyond the entry's limit is refused and not run; a body at the limit is served.
#[actix_rt::test]
async fn a_body_beyond_the_entrys_limit_is_refused() {
    let site = EmbeddedSite::start(&["multan"], 1, 1).await;
    let mut raw = entry("check", false, 5_000);
    raw.body_bytes = Some(2_000);
    site.serve_entry(&raw).await;
    let long = site.daemons[0].ask("check", &[], &"x".repeat(2_001)).await;
    let long = long.expect("an answer");
    assert_eq!((long.status.as_u16(), long.outcome()), (413, "refused"));
    assert_eq!(site.runs(), [""; 0]);
    let body = "x".repeat(2_000);
    let at_limit = site.daemons[0].ask("check", &[], &body).await;
    assert_eq!(at_limit.expect("an answer").body, body);
}
