//! Identity of the code that this process runs, for `--version`, the start line and metrics.

use prometheus_client::{metrics::info::Info, registry::Registry};

/// The released version.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");
/// Identity of the sources that the binary was built from; `.ci/source-id` prints that of a
/// checkout.
pub const SOURCES: &str = env!("SOURCE_ID");
/// Version and sources.
pub const FULL_VERSION: &str = concat!(
    env!("CARGO_PKG_VERSION"),
    " (sources ",
    env!("SOURCE_ID"),
    ")"
);

/// Adds the metric `build_info`, whose labels are the version and the sources.
pub fn register(registry: &mut Registry) {
    let info = Info::new([("version", VERSION), ("sources", SOURCES)]);
    registry.register("build", "Code that this process runs", info);
}
