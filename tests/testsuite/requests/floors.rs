//! Floors of daemons that died: returned only once their requests cannot be running.

use super::embedded::{LIMIT, entry};
use crate::support::{
    http,
    process::{DaemonProcess, Site},
    wait,
};
use actix_http::Method;
use lapisdrum::core::size::Size;
use lapisdrum_standins::worker::server::WorkerSwitches;
use std::{net::SocketAddr, time::Duration};

/// Millicores of the worker that are kept for requests: half of it.
const REQUEST_SHARE: u64 = 8_000;

async fn is_served(callers: SocketAddr) -> bool {
    let asked = http::send(Method::POST, callers, "/v1/run/check", &[], "x").await;
    asked.is_ok_and(|answer| answer.status.is_success())
}

/// Guards against an overcommitted worker after a daemon is killed with its floor in use and
/// restarted. The new run gets the old floors only after the deadlines of the checks sent under
/// them. The other daemon is then killed, so that only the new run's own floors can serve callers.
#[actix_rt::test]
async fn a_dead_daemons_floors_are_returned_after_its_requests_ended() {
    let mut site = Site::start(2, 1).await;
    let mut raw = entry("check", false, 4_000);
    raw.millicores = 2_000;
    let client = site.daemons[0].client();
    client.put_entry(&raw, None).await.expect("accepted");
    let callers = [0, 1].map(|daemon: usize| site.daemons[daemon].plan.callers);
    for callers in callers {
        wait::until("checks are served", LIMIT, async || {
            is_served(callers).await
        })
        .await;
    }
    let mut slow = WorkerSwitches {
        request_ms: 3_500,
        ..WorkerSwitches::default()
    };
    let size = Size {
        millicores: raw.millicores,
        memory_mb: raw.memory_mb,
        accelerators: 0,
    };
    slow.entry_sizes.insert("check".to_owned(), size);
    site.workers[0].switch_worker(&slow).await;
    for callers in callers {
        for _ in 0..2 {
            actix_rt::spawn(is_served(callers));
        }
    }
    wait::until("both floors are used", LIMIT, async || {
        site.workers[0].log().await.most_requests == 4
    })
    .await;
    let plan = site.daemons[0].plan.clone();
    site.daemons[0].process.kill();
    site.daemons[0] = DaemonProcess::start(plan);
    site.daemons[0].ready().await;
    for is_other_killed in [false, true] {
        if is_other_killed {
            site.daemons[1].process.kill();
        }
        wait::until("the new run serves", Duration::from_secs(60), async || {
            is_served(callers[0]).await
        })
        .await;
    }
    let log = site.workers[0].log().await;
    assert!(
        log.most_size.millicores <= REQUEST_SHARE,
        "{:?}",
        log.most_size
    );
}
