//! Numbers of callers and operators at their limits.

use super::world::{step, terms};
use lapisdrum::{
    core::size::Size,
    sched::job::{JobSpec, QueueConfig, RawJob},
};

/// Guards against sums and products that wrap, or that end the process in a build with checks.
#[test]
fn numbers_at_their_limits_do_not_wrap() {
    let most = Size {
        millicores: u64::MAX,
        memory_mb: u64::MAX,
        accelerators: u64::MAX,
    };
    assert_eq!(most.plus(&most), most);
    assert_eq!(most.times(3), most);
    let raw = RawJob {
        payload: String::new(),
        steps: vec![step(1, u64::MAX, &[]), step(1, u64::MAX, &[0])],
        schedule: None,
    };
    let job = JobSpec::try_from(raw).expect("a valid job");
    let chain_ms = job.longest_chain_ms();
    assert_eq!(chain_ms, u64::MAX);
    let queue = QueueConfig {
        stretch_milli: u64::MAX,
        target_ms: u64::MAX,
        ..terms()
    };
    assert!(queue.objective_ms(chain_ms) < u64::MAX / 1_000);
}
