//! The supervisor tree: named parts that are started again when they end.
//!
//! A part that returns has met an outcome that it could not deal with; it begins afresh after a
//! wait. A panic is a broken invariant: going on could commit a host twice, so the whole process
//! ends and another daemon takes its shards over.

use super::Cx;
use crate::util::backoff::Backoff;
use actix_rt::task::JoinHandle;
use indexmap::IndexMap;
use std::{cell::RefCell, future::Future, rc::Rc, time::Duration};

/// First wait before a part is started again.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// Longest wait before a part is started again.
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// Exit status after a broken invariant.
const BROKEN_INVARIANT_STATUS: i32 = 70;

/// Keeps parts running.
pub struct Supervisor {
    cx: Cx,
    parts: RefCell<IndexMap<&'static str, JoinHandle<()>>>,
}

impl Supervisor {
    /// A supervisor without parts.
    pub fn new(cx: Cx) -> Self {
        Self {
            cx,
            parts: RefCell::default(),
        }
    }

    /// Starts a part that is started again whenever it ends.
    pub fn start<F>(&self, name: &'static str, part: impl Fn(Cx) -> F + 'static)
    where
        F: Future<Output = eyre::Result<()>> + 'static,
    {
        let cx = Rc::clone(&self.cx);
        self.start_once(name, async move {
            let mut backoff = Backoff::new(FIRST_WAIT, LONGEST_WAIT);
            loop {
                let ended = part(Rc::clone(&cx)).await;
                cx.metrics.part_restarts.inc();
                if let Err(e) = ended {
                    log::warn!("part {name} ended and is started again: {e:#}");
                }
                let wait = backoff.next_wait(&mut rand::rng());
                tokio::time::sleep(wait).await;
            }
        });
    }

    /// Starts a part that ends when it is done.
    pub fn start_once(&self, name: &'static str, part: impl Future<Output = ()> + 'static) {
        let running = actix_rt::spawn(part);
        self.parts
            .borrow_mut()
            .insert(name, watch_for_panic(name, running));
    }

    /// Waits for a part that was started once.
    pub async fn finished(&self, name: &str) {
        let part = self.parts.borrow_mut().swap_remove(name);
        if let Some(part) = part {
            let _ = part.await;
        }
    }

    /// Ends one part where it stands.
    pub fn stop(&self, name: &str) {
        if let Some(part) = self.parts.borrow_mut().swap_remove(name) {
            part.abort();
        }
    }

    /// Ends every part where it stands.
    pub fn stop_all(&self) {
        for (_, part) in self.parts.borrow_mut().drain(..) {
            part.abort();
        }
    }
}

/// Runs `task` beside the others; a panic in it ends the process.
pub fn spawn(name: &'static str, task: impl Future<Output = ()> + 'static) -> JoinHandle<()> {
    watch_for_panic(name, actix_rt::spawn(task))
}

fn watch_for_panic(name: &'static str, task: JoinHandle<()>) -> JoinHandle<()> {
    let mut task = AbortOnDrop(task);
    actix_rt::spawn(async move {
        if let Err(e) = (&mut task.0).await
            && e.is_panic()
        {
            log::error!("broken invariant in {name}; ending so that another daemon takes over");
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
