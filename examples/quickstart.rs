//! Runs the scheduler end to end in one process, with embedded stand-ins and no setup.
//!
//! The process contains a platform, two workers and two daemons. An operator adds three entries
//! through one daemon, a caller sends a request through the other, a batch job runs to its end, and a
//! long-running task keeps running on one worker. The timeline is printed at the end.

use actix_rt::net::TcpListener;
use eyre::{Context as _, Result, bail, ensure};
use lapisdrum::{
    api::client::DaemonClient,
    core::{catalogue::RawEntry, size::Size},
    daemon,
    ops::timeline,
    settings::Settings,
    timeline::event::Filter,
};
use lapisdrum_standins::{
    platform::server::Platform,
    site::{self, DaemonPlan},
    worker::server::{Worker, WorkerSwitches},
};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::sync::watch;

const CATALOGUE: &str = include_str!("catalogue.toml");
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn main() -> Result<()> {
    actix_rt::System::new().block_on(quickstart())
}

async fn quickstart() -> Result<()> {
    let (stop, stopped) = watch::channel(false);
    // The platform outlives the daemons, which release their shards through it.
    let (_platform_stop, platform_stopped) = watch::channel(false);
    let platform = start_platform(&platform_stopped).await?;
    let daemons = [
        DaemonPlan::new("westlands-1", "westlands", platform),
        DaemonPlan::new("westlands-2", "westlands", platform),
    ];
    let mut running = Vec::new();
    for plan in &daemons {
        let cfg = Settings::parse("quickstart", &plan.settings())?;
        let stop = lapisdrum::util::http::wait_true(stopped.clone());
        running.push(actix_rt::spawn(daemon::run(cfg, stop)));
    }
    let clients = daemons.each_ref().map(|plan| {
        let address = plan.callers.to_string();
        (address.clone(), DaemonClient::new(&address, CALL_TIMEOUT))
    });
    let [(_, first), (second_address, second)] = &clients;

    println!("1. daemons come up");
    until("both daemons are ready", async || {
        first.is_ready().await && second.is_ready().await
    })
    .await?;

    println!("2. an operator adds three entries through the first daemon");
    let file: lapisdrum::core::catalogue::CatalogueFile = toml_entries()?;
    for raw in &file.entry {
        let done = first.put_entry(raw, None).await?;
        println!(
            "   {} ({}): revision {}",
            raw.name, raw.class, done.revision
        );
    }

    println!("3. a caller asks the second daemon for a route map");
    let body = ask_for_map(second_address).await?;
    println!("   answered: {body}");

    println!("4. a batch render is accepted, runs under a lease and finishes");
    let render = submit(first, "catalogue-render").await?;
    until("the render is done", async || {
        second
            .job(&render)
            .await
            .is_ok_and(|job| job.state == "done")
    })
    .await?;
    println!("   {render}: done");

    println!("5. a livestream starts in one place and keeps running");
    let stream = submit(second, "studio-livestream").await?;
    until("the livestream runs", async || {
        first
            .job(&stream)
            .await
            .is_ok_and(|job| job.state == "running")
    })
    .await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let shown = first.job(&stream).await?;
    ensure!(
        shown.state == "running",
        "the livestream is {}",
        shown.state
    );
    println!(
        "   {stream}: running on {}",
        shown.worker.unwrap_or_default()
    );

    println!("6. what happened, over both daemons");
    let everything = Filter::default();
    for record in timeline::merge(&clients, &everything).await.events {
        println!("   {record}");
    }
    stop.send_replace(true);
    for daemon in running {
        daemon.await.wrap_err("a daemon's task failed")??;
    }
    Ok(())
}

async fn start_platform(stopped: &watch::Receiver<bool>) -> Result<SocketAddr> {
    let platform = Rc::new(Platform::default());
    for (name, rack) in [("worker-1", "rack-a"), ("worker-2", "rack-b")] {
        let address = start_worker(stopped).await?;
        platform
            .hosts
            .borrow_mut()
            .push(site::host(name, address, "westlands", rack));
    }
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    actix_rt::spawn(platform.serve(listener, stopped.clone()));
    Ok(address)
}

async fn start_worker(stopped: &watch::Receiver<bool>) -> Result<SocketAddr> {
    let capacity = Size {
        millicores: 16_000,
        memory_mb: 60_000,
        accelerators: 0,
    };
    let endless = vec!["studio-livestream".to_owned()];
    let switches = WorkerSwitches {
        endless,
        ..WorkerSwitches::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    actix_rt::spawn(Worker::new(capacity, 8, switches).serve(listener, stopped.clone()));
    Ok(address)
}

fn toml_entries() -> Result<lapisdrum::core::catalogue::CatalogueFile> {
    let file: lapisdrum::core::catalogue::CatalogueFile = toml::from_str(CATALOGUE)?;
    let names = file.entry.iter().map(|raw: &RawEntry| raw.name.as_str());
    ensure!(
        names.count() == 3,
        "the example catalogue must have three entries"
    );
    Ok(file)
}

/// Sends the request until the daemon has the entry in force and holds floors (worker capacity) for
/// it, then returns the answer.
async fn ask_for_map(address: &str) -> Result<String> {
    let http = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
    let deadline = tokio::time::Instant::now() + STEP_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        let sent = http
            .post(format!("http://{address}/v1/run/route-map"))
            .send_body("studio 14");
        if let Ok(mut answer) = sent.await
            && answer.status().is_success()
        {
            let body = answer.body().await?;
            return Ok(String::from_utf8_lossy(&body).into_owned());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    bail!("no answer to the route map within {STEP_TIMEOUT:?}")
}

async fn submit(client: &DaemonClient, entry: &str) -> Result<String> {
    let deadline = tokio::time::Instant::now() + STEP_TIMEOUT;
    loop {
        match client.submit_job(entry).await {
            Ok(job) => return Ok(job.job.to_string()),
            Err(e) if tokio::time::Instant::now() > deadline => return Err(e.into()),
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) -> Result<()> {
    let deadline = tokio::time::Instant::now() + STEP_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        if condition().await {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    bail!("timed out after {STEP_TIMEOUT:?} waiting until {what}")
}
