//! Supervision of named components, which are restarted when they end.
//!
//! A component returns if it has met an outcome that it can't handle; it is restarted after a wait.
//! A panic is a broken invariant: continuing could commit the capacity of a host twice, so the
//! whole process exits and another daemon takes over its shards.

use super::Cx;
use crate::util::backoff::Backoff;
use actix_rt::task::JoinHandle;
use indexmap::IndexMap;
use std::{cell::RefCell, future::Future, rc::Rc, time::Duration};

/// Wait before the first restart of a component.
const INITIAL_WAIT: Duration = Duration::from_millis(100);
/// Longest wait before a component is restarted.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Exit status after a broken invariant.
const BROKEN_INVARIANT_STATUS: i32 = 70;

/// Runs components and restarts those that end.
pub struct Supervisor {
    cx: Cx,
    components: RefCell<IndexMap<&'static str, JoinHandle<()>>>,
}

impl Supervisor {
    /// Creates a supervisor without components.
    pub fn new(cx: Cx) -> Self {
        Self {
            cx,
            components: RefCell::default(),
        }
    }

    /// Starts a component that is restarted whenever it ends.
    pub fn start<F>(&self, name: &'static str, component: impl Fn(Cx) -> F + 'static)
    where
        F: Future<Output = eyre::Result<()>> + 'static,
    {
        let cx = Rc::clone(&self.cx);
        self.start_once(name, async move {
            let mut backoff = Backoff::new(INITIAL_WAIT, MAX_WAIT);
            loop {
                let result = component(Rc::clone(&cx)).await;
                cx.metrics.component_restarts.inc();
                if let Err(e) = result {
                    log::warn!("component {name} failed and is restarted: {e:#}");
                }
                let wait = backoff.next_wait(&mut rand::rng());
                tokio::time::sleep(wait).await;
            }
        });
    }

    /// Starts a component that is not restarted when it ends.
    pub fn start_once(&self, name: &'static str, component: impl Future<Output = ()> + 'static) {
        let running = actix_rt::spawn(component);
        self.components
            .borrow_mut()
            .insert(name, watch_for_panic(name, running));
    }

    /// Waits for a component that was started by [`Self::start_once`].
    pub async fn finished(&self, name: &str) {
        let component = self.components.borrow_mut().swap_remove(name);
        if let Some(component) = component {
            let _ = component.await;
        }
    }

    /// Aborts one component.
    pub fn stop(&self, name: &str) {
        if let Some(component) = self.components.borrow_mut().swap_remove(name) {
            component.abort();
        }
    }

    /// Aborts every component.
    pub fn stop_all(&self) {
        for (_, component) in self.components.borrow_mut().drain(..) {
            component.abort();
        }
    }
}

/// Spawns `task`; a panic in it ends the process. Aborting the returned handle aborts the task.
pub fn spawn(name: &'static str, task: impl Future<Output = ()> + 'static) -> JoinHandle<()> {
    watch_for_panic(name, actix_rt::spawn(task))
}

fn watch_for_panic(name: &'static str, task: JoinHandle<()>) -> JoinHandle<()> {
    let mut task = AbortOnDrop(task);
    actix_rt::spawn(async move {
        if let Err(e) = (&mut task.0).await
            && e.is_panic()
        {
            log::error!("panic in {name}; exiting so that another daemon takes over");
            std::process::exit(BROKEN_INVARIANT_STATUS);
        }
    })
}

struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
