//! Settings on the users' platform: a deployment's bounds for stops, restores and overload reach the policies.

use lapisdrum::platform::settings::PlatformSettings;
use std::time::Duration;

fn settings(bounds: &str) -> String {
    format!(
        r#"
adapter = "platform"
[daemon]
name = "edge-1"
data_centre = "karen"
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
peers = "127.0.0.1:3"
metrics = "127.0.0.1:4"
seeds = "127.0.0.1:3"
cpu_share = 0.25
[store]
address = "127.0.0.1:5"
[bounds]
longest_lease_ms = 6000
remember_jobs_s = 120
killed_after_s = 6
{bounds}
"#
    )
}

/// A deployment that tolerates overload for 5 s, and one that sets no bound. The first keeps its own values; the
/// second gets the shortest usual bound, so that no promise to its users can be broken.
#[test]
fn the_bounds_of_a_deployment_are_read() {
    let said = "stop_takes_ms = 200\nrestore_takes_ms = 250\noverload_borne_ms = 5000";
    let read = |bounds| PlatformSettings::try_from(settings(bounds).as_str());
    let timings = read(said).expect("settings").node.work;
    assert_eq!(timings.max_stop_time, Duration::from_millis(200));
    assert_eq!(timings.restore_time, Duration::from_millis(250));
    assert_eq!(
        timings.max_measured_overload(),
        Duration::from_millis(3_000)
    );
    let usual = read("").expect("settings").node.work;
    assert_eq!(usual.tolerated_overload, Duration::from_secs(4));
}

/// Guards against a limit in the wrong unit: with hours of overload allowed, best-effort tasks would never be
/// throttled or stopped, and long tails would go unnoticed.
#[test]
fn a_bound_in_another_unit_is_refused() {
    let refused = PlatformSettings::try_from(settings("overload_borne_ms = 4000000").as_str());
    let error = refused.expect_err("a fault").to_string();
    assert_eq!(
        error,
        "`bounds.overload_borne_ms` must be at most 60000 ms, not 4000000"
    );
}

/// Guards against memory or descriptors that the platform states and the daemon ignores, or that leave no place for callers.
#[test]
fn memory_and_descriptors_are_read() {
    let read = |more: &str| {
        let text = settings("").replace("cpu_share", &format!("{more}\ncpu_share"));
        PlatformSettings::try_from(text.as_str())
    };
    let usual = read("").expect("settings").process;
    assert_eq!((usual.memory_mb, usual.descriptors), (160, 4_096));
    let stated = read("memory_mb = 260\ndescriptors = 4100").expect("settings");
    assert_eq!(stated.process.memory_mb, 260);
    assert_eq!(stated.process.descriptors, 4_100);
    let error = read("memory_mb = 1").expect_err("a fault").to_string();
    assert_eq!(error, "`daemon.memory_mb` must be at least 64, not 1");
}
