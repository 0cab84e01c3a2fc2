//! The process of a daemon, as its calls to the store, the workers and the directory see it.

use std::{cell::Cell, future::pending, time::Duration};
use tokio::time::{Instant, sleep_until};

/// A process that can be frozen and killed. A frozen one sends no call and handles no answer until it thaws, while its
/// clock runs on; a killed one never does again. Calls in flight still take effect.
#[derive(Default)]
pub(super) struct Process {
    thaws_at: Cell<Option<Instant>>,
    is_killed: Cell<bool>,
}

impl Process {
    /// Freezes the process for this time.
    pub(super) fn freeze(&self, time: Duration) {
        let thaws_at = self.thaws_at.get().max(Some(Instant::now() + time));
        self.thaws_at.set(thaws_at);
    }

    /// Kills the process.
    pub(super) fn kill(&self) {
        self.is_killed.set(true);
    }

    /// Whether the process is killed.
    pub(super) fn is_killed(&self) -> bool {
        self.is_killed.get()
    }

    /// Sends a call and returns its answer once the process handles that.
    pub(super) async fn call<T>(&self, call: impl Future<Output = T>) -> T {
        self.until_active().await;
        let answer = call.await;
        self.until_active().await;
        answer
    }

    async fn until_active(&self) {
        while let Some(thaws_at) = self.thaws_at.get().filter(|at| *at > Instant::now()) {
            sleep_until(thaws_at).await;
        }
        if self.is_killed.get() {
            pending().await
        }
    }
}
