//! Measures which serving tasks of a worker miss their targets without best-effort tasks, too, and
//! pauses best-effort tasks for such a measurement ([`crate::policy::dispatch::missed_alone`]).
//!
//! A pause sets the CPU limit of every best-effort run of the worker to 0. An order may get lost, so
//! each poll response is compared with what is wanted, and the order is repeated until it is
//! confirmed.

use super::{
    Owner,
    interference::{EFFECT_FULL_AFTER, set_cpu_limit},
    runs::RunRecord,
};
use crate::{
    core::time::Millis,
    policy::dispatch::{
        missed_alone::{Check, MAX_PAUSE, StepTail},
        place::Load,
    },
    sched::{
        Cx,
        edge::PollResponse,
        event::RunId,
        resolution::{Order, Stop},
    },
};
use indexmap::{IndexMap, IndexSet};
use std::rc::Rc;

/// The latest tails of the serving tasks among these runs.
pub fn step_tails(
    here: &IndexSet<RunId>,
    runs: &IndexMap<RunId, RunRecord>,
) -> impl Iterator<Item = StepTail> {
    let records = here
        .iter()
        .filter_map(|run| Some((run.task.step_id(), runs.get(run)?)));
    records.filter_map(|(step, record)| {
        let tail = record.tail_ms / f64::from(record.target_ms?);
        Some((step.key(), tail))
    })
}

/// Updates which serving tasks of a worker miss their targets without best-effort tasks, too, by the
/// response to a poll that was sent at `sent_at`, and opens the worker for best-effort tasks if all do.
pub fn note(
    cx: &Cx,
    owner: &Owner,
    worker: &str,
    response: &PollResponse,
    sent_at: Millis,
    now: Millis,
) {
    let (mut sessions, runs) = (owner.sessions.borrow_mut(), owner.runs.borrow());
    let Some(session) = sessions.get_mut(worker) else {
        return;
    };
    let mut here = session.runs.iter().filter_map(|run| runs.get(run));
    // A lost answer may hide that a paused run works, and an unknown run may be a best-effort one.
    let works = response.running.iter().any(|listed| {
        let record = runs.get(&listed.run);
        record.is_none_or(|record| record.load == Load::BestEffort && listed.gauge > 0)
    });
    let claimed_at = session.claimed.since;
    let is_recent = claimed_at.is_none_or(|at| now.since(at) < EFFECT_FULL_AFTER);
    if is_recent || works || !session.departed.is_empty() || here.any(RunRecord::disturbs) {
        session.disturbed_at = now;
    }
    // The worker measured the tails when it answered, which may be as early as the poll was sent.
    let is_undisturbed = sent_at.since(session.disturbed_at) >= EFFECT_FULL_AFTER;
    let tails: Vec<StepTail> = step_tails(&session.runs, &runs).collect();
    let before = !session.missed_alone.is_empty();
    let trusted_for = cx.cfg.work.max_measured_overload();
    let missed_alone = &mut session.missed_alone;
    let check = missed_alone.note(&tails, is_undisturbed, trusted_for, now);
    let after = !missed_alone.is_empty();
    if before != after {
        let worst = tails.iter().map(|(_, tail)| *tail).fold(0.0, f64::max);
        log::info!(worker, misses_alone = after, is_undisturbed, worst_tail_of_target = worst; "serving tasks miss their targets without best-effort tasks");
    }
    let all_miss = after && tails.iter().all(|(step, _)| missed_alone.contains(*step));
    match check {
        Check::None | Check::Resume if all_miss && is_undisturbed => {
            session.best_effort_closed_until = now;
        }
        Check::Pause => session.best_effort_closed_until = now + MAX_PAUSE,
        Check::None | Check::Wait | Check::Resume => {}
    }
}

/// Pauses the best-effort runs of a worker or lets them go on, as wanted; returns whether they are
/// paused.
pub fn pause_or_resume(cx: &Cx, owner: &Rc<Owner>, worker: &str) -> bool {
    let is_paused = owner.session(worker, |session| session.missed_alone.is_paused());
    let is_paused = is_paused.unwrap_or_default();
    let changes: Vec<(RunId, u32)> = {
        let (sessions, mut runs) = (owner.sessions.borrow(), owner.runs.borrow_mut());
        let here = sessions.get(worker).into_iter().flat_map(|s| &s.runs);
        let change = |run: &RunId| {
            let record = runs.get_mut(run).filter(|record| record.may_be_paused())?;
            record
                .pause_change(is_paused)
                .map(|percent| (*run, percent))
        };
        here.filter_map(change).collect()
    };
    for (run, percent) in changes {
        set_cpu_limit(cx, owner, worker, run, percent);
    }
    is_paused
}

impl RunRecord {
    /// Whether it is a best-effort run that may be at work.
    fn disturbs(&self) -> bool {
        let is_sent = !matches!(self.known.order, Order::NotSent);
        self.load == Load::BestEffort && is_sent && self.cpu_limit_percent > 0
    }

    fn may_be_paused(&self) -> bool {
        let has_started = matches!(self.known.order, Order::Answered(_));
        self.load == Load::BestEffort && has_started && self.known.stop == Stop::No
    }

    /// The CPU limit to order so that the run is paused or not; `None` if it need not change.
    fn pause_change(&mut self, is_paused: bool) -> Option<u32> {
        match (is_paused, self.cpu_limit_percent, self.limit_before_pause) {
            (true, 0, _) => None,
            (true, limit, before) => {
                self.limit_before_pause = before.or(Some(limit));
                Some(0)
            }
            (false, 0, Some(before)) => Some(before),
            (false, _, _) => None,
        }
    }
}
