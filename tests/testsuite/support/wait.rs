//! Waits for a condition, up to a limit.

use std::time::Duration;
use tokio::time::Instant;

/// Time between two checks.
const POLL: Duration = Duration::from_millis(25);

/// Waits until `holds` returns true, or fails the test after `limit`.
pub(crate) async fn until(what: &str, limit: Duration, mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + limit;
    loop {
        if holds().await {
            return;
        }
        assert!(Instant::now() < end, "not within {limit:?}: {what}");
        tokio::time::sleep(POLL).await;
    }
}

/// Waits until `get` returns a value, or fails the test after `limit`.
pub(crate) async fn until_some<T>(
    what: &str,
    limit: Duration,
    get: impl AsyncFnMut() -> Option<T>,
) -> T {
    let got = some_within(limit, get).await;
    got.unwrap_or_else(|| panic!("not within {limit:?}: {what}"))
}

/// Waits until `get` returns a value; `None` if it returns none for longer than `limit`.
pub(crate) async fn some_within<T>(
    limit: Duration,
    mut get: impl AsyncFnMut() -> Option<T>,
) -> Option<T> {
    let end = Instant::now() + limit;
    loop {
        let got = get().await;
        if got.is_some() || Instant::now() >= end {
            return got;
        }
        tokio::time::sleep(POLL).await;
    }
}
