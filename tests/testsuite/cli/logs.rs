//! Log lines of a daemon: one for each change of state, in the configured format.

use super::LIMIT;
use crate::support::{
    process::{Standin, lapisdrum_binary},
    wait,
};
use lapisdrum::api::client::DaemonClient;
use lapisdrum_standins::{platform::server::PlatformSwitches, site::DaemonPlan};
use serde_json::Value;
use std::{
    fs::{self, File},
    process::{Child, Command},
    time::Duration,
};
use tempfile::TempDir;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against a flooded log: the platform is unavailable for a dozen of the daemon's attempts to
/// reach it. The log must hold one line for each of the two changes, not one for each attempt, and
/// every line must be JSON.
#[actix_rt::test]
async fn an_outage_is_two_lines_of_json() {
    let platform = Standin::platform();
    let dir = TempDir::new().expect("a temporary folder");
    let mut plan = DaemonPlan::new("westlands-0", "westlands", platform.address);
    plan.extra_settings = plan
        .extra_settings
        .replace("level = \"warn\"", "format = \"json\"");
    let (config, log) = (dir.path().join("daemon.toml"), dir.path().join("log"));
    fs::write(&config, plan.settings()).expect("settings");
    let started = Command::new(lapisdrum_binary())
        .args(["run", "--config"])
        .arg(&config)
        .stdout(File::create(&log).expect("a file"))
        .spawn();
    let _daemon = Daemon(started.expect("the daemon starts"));
    let client = DaemonClient::new(&plan.callers.to_string(), CALL_TIMEOUT);
    let up = async |wanted: bool| {
        let status = client.status().await;
        status.is_ok_and(|status| status.platform_up == wanted)
    };
    wait::until("the platform is up", LIMIT, async || up(true).await).await;
    let down = PlatformSwitches {
        down: true,
        ..PlatformSwitches::default()
    };
    platform.switch_platform(&down).await;
    wait::until("the platform is unavailable", LIMIT, async || {
        up(false).await
    })
    .await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    platform.switch_platform(&PlatformSwitches::default()).await;
    wait::until("the platform is back", LIMIT, async || up(true).await).await;

    // A separate thread writes the lines, so that logging blocks nothing; the last one may come after the status.
    let read = || fs::read_to_string(&log).expect("the log is there");
    wait::until("the log has the recovery", LIMIT, async || {
        let text = read();
        text.contains("platform answers again") && text.ends_with('\n')
    })
    .await;
    let text = read();
    let lines: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}")))
        .collect();
    let count = |phrase: &str| {
        let shown = lines
            .iter()
            .filter(|line| line.to_string().contains(phrase));
        shown.count()
    };
    assert_eq!(count("platform does not answer"), 1, "{text}");
    assert_eq!(count("platform answers again"), 1, "{text}");
}
