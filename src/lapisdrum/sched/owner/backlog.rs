//! Reports what waits for room in the shard, who holds that room and who was placed meanwhile.
//!
//! A line for each waiting step says why that step waits, whenever that changes. Whether other tasks were placed past it
//! shows only in sums over all of them: one line a second while anything waits.

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

/// Time between two looks at what keeps a step waiting: with hundreds of steps waiting a line for each is said
/// at most twice a second, and only when it changes.
const WHY_EVERY: Duration = Duration::from_millis(500);
/// Time between two reports in sum.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// Tasks of one kind of load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tasks {
    /// How many wait.
    waiting: usize,
    /// Since when the oldest of their jobs is due, in milliseconds.
    oldest_ms: u64,
    /// How many were placed since the last report.
    placed: usize,
}

/// What waits, and what was placed since the last report.
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

    /// Begins a pass over everything that waits.
    pub fn begin(&mut self) {
        for load in [Load::Serving, Load::Reserving, Load::BestEffort] {
            let tasks = self.of(load);
            (tasks.waiting, tasks.oldest_ms) = (0, 0);
        }
    }

    /// Notes how many tasks of a step were placed in this pass, and how many go on waiting.
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
        let is_due = |at| now.since(at) >= REPORT_EVERY;
        waiting > 0 && self.reported_at.is_none_or(is_due)
    }

    /// Ends a pass; reports where that is due.
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
            shard:% = owner.handle.part,
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
            kept = room.kept;
            "tasks wait for room"
        );
    }
}

/// A step of which tasks have no place.
pub struct WaitingStep {
    /// The step.
    pub step: StepId,
    /// How many of its tasks wait.
    pub tasks: usize,
    /// Their kind of load.
    pub load: Load,
}

/// Whether it is time to say again what a step waits for.
pub fn is_why_due(owner: &Owner, step: &StepId, now: Millis) -> bool {
    let waits = owner.waits.borrow();
    waits
        .get(step)
        .is_none_or(|(_, said_at)| now.since(*said_at) >= WHY_EVERY)
}

/// Logs what a step waits for, where that is new, and how full the hosts are.
pub fn note_wait(
    owner: &Owner,
    waiting: &WaitingStep,
    shortage: &Shortage,
    room: impl FnOnce() -> Room,
    now: Millis,
) {
    let (Some(why), true) = (shortage.main(), is_why_due(owner, &waiting.step, now)) else {
        return;
    };
    let before = owner.waits.borrow_mut().insert(waiting.step, (why, now));
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
        kept = room.kept;
        "step waits"
    );
}
