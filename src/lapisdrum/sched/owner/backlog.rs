//! Logs which tasks wait for capacity in the shard, how the capacity is used and how many tasks
//! were placed meanwhile.
//!
//! Each waiting step gets a line with its reason whenever that changes. Whether other tasks were
//! placed before it shows only in totals: one line per second while tasks wait.

use super::Owner;
use crate::{
    core::time::{Millis, millis},
    policy::dispatch::{
        place::Load,
        room::{Room, Shortage},
    },
    sched::{Cx, job::StepId},
};
use std::time::Duration;

/// Minimum time between two checks of why a step waits. With hundreds of waiting steps, each logs a
/// line at most twice per second, and only when its reason changes.
const REASON_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two lines with totals.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Totals over the tasks of one kind of load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tasks {
    waiting: usize,
    /// Time since the oldest waiting step fell due.
    oldest_ms: u64,
    /// Placed since the last line with totals.
    placed: usize,
}

/// Waiting and placed tasks of a shard, by kind of load.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    serving: Tasks,
    reserving: Tasks,
    best_effort: Tasks,
    reported_at: Option<Millis>,
}

impl Backlog {
    fn of(&mut self, load: Load) -> &mut Tasks {
        match load {
            Load::Serving => &mut self.serving,
            Load::Reserving => &mut self.reserving,
            Load::BestEffort => &mut self.best_effort,
        }
    }

    /// Resets the counts of waiting tasks at the start of a dispatch pass.
    pub fn begin(&mut self) {
        for load in [Load::Serving, Load::Reserving, Load::BestEffort] {
            let tasks = self.of(load);
            (tasks.waiting, tasks.oldest_ms) = (0, 0);
        }
    }

    /// Counts the tasks of a step that this pass placed, and those that still wait.
    pub fn note(&mut self, load: Load, placed: usize, waiting: usize, age_ms: u64) {
        let tasks = self.of(load);
        tasks.placed += placed;
        tasks.waiting += waiting;
        if waiting > 0 {
            tasks.oldest_ms = tasks.oldest_ms.max(age_ms);
        }
    }

    fn is_report_due(&self, now: Millis) -> bool {
        let waiting = self.serving.waiting + self.reserving.waiting + self.best_effort.waiting;
        let is_due = |at| now.since(at) >= REPORT_INTERVAL;
        waiting > 0 && self.reported_at.is_none_or(is_due)
    }

    /// Ends a dispatch pass; logs the totals if that is due.
    pub fn end(&mut self, cx: &Cx, owner: &Owner, room: impl FnOnce() -> Room) {
        let now = cx.clock.now();
        if !self.is_report_due(now) {
            return;
        }
        let since_ms = self.reported_at.map_or(0, |at| millis(now.since(at)));
        let Self {
            serving,
            reserving,
            best_effort,
            ..
        } = std::mem::take(self);
        self.reported_at = Some(now);
        let room = room();
        log::info!(
            shard:% = owner.handle.partition,
            since_ms,
            serving_waiting = serving.waiting,
            serving_oldest_ms = serving.oldest_ms,
            serving_placed = serving.placed,
            reserving_waiting = reserving.waiting,
            reserving_oldest_ms = reserving.oldest_ms,
            reserving_placed = reserving.placed,
            best_effort_waiting = best_effort.waiting,
            best_effort_oldest_ms = best_effort.oldest_ms,
            best_effort_placed = best_effort.placed,
            hosts = room.hosts,
            serving_permille = room.serving_permille,
            reserving_permille = room.reserving_permille,
            free_permille = room.free_permille,
            unused_permille = room.unused_permille,
            widest_free_millicores = room.widest_free_millicores,
            widest_free_memory_mb = room.widest_free_memory_mb,
            kept = room.kept;
            "tasks wait for room"
        );
    }
}

/// A step with tasks that a dispatch pass did not place.
pub struct WaitingStep {
    /// Id of the step, under which its last reason is kept.
    pub step: StepId,
    /// Number of tasks that are not placed.
    pub tasks: usize,
    /// Kind of load of the tasks.
    pub load: Load,
}

/// Whether it is time to check again why a step waits.
pub fn is_reason_due(owner: &Owner, step: &StepId, now: Millis) -> bool {
    let waits = owner.wait_reasons.borrow();
    waits
        .get(step)
        .is_none_or(|(_, checked_at)| now.since(*checked_at) >= REASON_INTERVAL)
}

/// Logs why a step waits and how the hosts' capacity is used, if the reason has changed.
pub fn note_wait(
    owner: &Owner,
    waiting: &WaitingStep,
    shortage: &Shortage,
    room: impl FnOnce() -> Room,
    now: Millis,
) {
    let (Some(why), true) = (
        shortage.main_reason(),
        is_reason_due(owner, &waiting.step, now),
    ) else {
        return;
    };
    let before = owner
        .wait_reasons
        .borrow_mut()
        .insert(waiting.step, (why, now));
    if before.is_some_and(|(before, _)| before == why) {
        return;
    }
    let room = room();
    log::info!(
        step:% = waiting.step,
        tasks = waiting.tasks,
        why:? = why,
        refused:% = shortage.refusals_text(),
        load:? = waiting.load,
        millicores = shortage.size.millicores,
        memory_mb = shortage.size.memory_mb,
        fitting_in_sum = shortage.fitting_in_sum,
        hosts = room.hosts,
        serving_permille = room.serving_permille,
        reserving_permille = room.reserving_permille,
        free_permille = room.free_permille,
        unused_permille = room.unused_permille,
        widest_free_millicores = room.widest_free_millicores,
        widest_free_memory_mb = room.widest_free_memory_mb,
        kept = room.kept;
        "step waits"
    );
}
