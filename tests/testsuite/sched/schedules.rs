//! Schedules with very many occurrences: the work of a dispatch pass and the state of a job stay bounded, and every
//! occurrence runs once.

use super::{
    paused,
    world::{World, home, owned, step, terms, until},
};
use indexmap::IndexSet;
use lapisdrum::sched::{
    event::{Event, RunEnd, RunId, WorkerIncarnation},
    job::{JobId, JobSpec, RawJob, RunNumber, Schedule, Step, TaskId},
    ledger::{Ledger, Phase},
    numbers::NumberSet,
    peer::{self, JobState, OwnerReply, OwnerRequest, SubmitReply},
};
use proptest::prelude::*;
use std::{collections::BTreeSet, rc::Rc, time::Duration};

const LIMIT: Duration = Duration::from_secs(10);
const JOB: JobId = JobId(1);

/// A job all of whose occurrences are due at once.
fn overdue(times: u32, steps: Vec<Step>) -> JobSpec {
    let schedule = Schedule {
        first_unix_ms: 0,
        interval_ms: 1,
        times,
    };
    let raw = RawJob {
        payload: String::new(),
        steps,
        schedule: Some(schedule),
    };
    JobSpec::try_from(raw).expect("a valid job")
}

fn ledger_with(spec: JobSpec) -> Ledger {
    let mut ledger = Ledger::default();
    let accepted = Event::Accepted {
        job: JOB,
        spec: Rc::new(spec),
        terms: terms(),
        at_unix_ms: 0,
        data_centre: None,
        moved_from: None,
    };
    ledger.apply(&accepted).expect("a new job");
    ledger
}

fn run(occurrence: u32, step: u16) -> RunId {
    let task = TaskId {
        job: JOB,
        occurrence,
        step,
        index: 0,
    };
    RunId {
        task,
        run: RunNumber(1),
    }
}

fn place(ledger: &mut Ledger, run: RunId) {
    let on = WorkerIncarnation {
        worker: "w0".to_owned(),
        started_unix_ms: 1,
    };
    ledger.apply(&Event::Placed { run, on }).expect("valid");
}

fn end(ledger: &mut Ledger, run: RunId) {
    let ended = Event::Ended {
        run,
        how: RunEnd::Done,
        checkpoint: None,
        at_unix_ms: 0,
    };
    ledger.apply(&ended).expect("valid");
}

/// Guards against a dispatch pass that lists every due occurrence of a schedule that started long ago: the process ran
/// out of memory, and so did each next owner.
#[test]
fn a_pass_considers_a_bounded_part_of_an_overdue_schedule() {
    let mut ledger = ledger_with(overdue(40_000_000, vec![step(100, 10, &[])]));
    let listed = ledger.jobs[&JOB].startable_occurrences(u64::MAX);
    assert!(listed.iter().copied().eq(0..100), "{}", listed.len());
    place(&mut ledger, run(0, 0));
    let listed = ledger.jobs[&JOB].startable_occurrences(u64::MAX);
    assert!(listed.iter().copied().eq(0..101), "{}", listed.len());
}

/// Guards against an occurrence that is stuck and holds up those after it, and against one beyond the limit that runs
/// and whose next steps are not started.
#[test]
fn occurrences_that_run_are_considered_wherever_they_are() {
    let mut ledger = ledger_with(overdue(
        1_000,
        vec![step(1, 10, &[]), step(9_999, 10, &[0])],
    ));
    place(&mut ledger, run(700, 0));
    let job = &ledger.jobs[&JOB];
    assert_eq!(job.startable_occurrences(u64::MAX), [0, 700]);
    assert_eq!(job.startable_occurrences(699), [0]);
    place(&mut ledger, run(0, 0));
    let job = &ledger.jobs[&JOB];
    assert_eq!(job.startable_occurrences(u64::MAX), [0, 1, 700]);
}

/// Guards against a ledger that grows with every occurrence that a schedule has completed, in any order, and against
/// late reports that revive one.
#[test]
fn occurrences_that_are_done_take_no_space() {
    let mut ledger = ledger_with(overdue(1_000, vec![step(1, 10, &[])]));
    for occurrence in (1..1_000).rev() {
        place(&mut ledger, run(occurrence, 0));
        end(&mut ledger, run(occurrence, 0));
    }
    end(&mut ledger, run(500, 0));
    let again = Event::Placed {
        run: RunId {
            run: RunNumber(2),
            ..run(500, 0)
        },
        on: WorkerIncarnation {
            worker: "w0".to_owned(),
            started_unix_ms: 1,
        },
    };
    assert!(ledger.apply(&again).is_err());
    let job = &ledger.jobs[&JOB];
    assert_eq!(job.occurrences.len(), 0);
    assert_eq!(job.occurrences_done.dropped.ranges(), 1);
    assert_eq!(
        (job.occurrences_done.count, job.phase),
        (999, Phase::Active)
    );
    assert_eq!(job.startable_occurrences(u64::MAX), [0]);
    let text = serde_json::to_vec(&ledger).expect("a serialised ledger");
    assert!(text.len() < 2_000, "{}", text.len());
    let read: Ledger = serde_json::from_slice(&text).expect("the ledger is parsed back");
    assert_eq!(read, ledger);
    place(&mut ledger, run(0, 0));
    end(&mut ledger, run(0, 0));
    assert_eq!(ledger.jobs[&JOB].phase, Phase::Completed);
}

/// Guards against a schedule with more due occurrences than a pass considers that is not completed, or holds up others.
#[test]
fn an_overdue_schedule_is_completed_beside_another_job() {
    paused(async {
        let world = World::new(4);
        let cx = world.daemon("a");
        owned(&cx, LIMIT).await;
        let steps = vec![step(8, 10, &[])];
        world.register_steps(JOB.0, steps.clone());
        let request = OwnerRequest::Submit {
            job: JOB,
            spec: overdue(1_500, steps),
            terms: terms(),
            is_sent: false,
        };
        let reply = peer::answer(&cx, home(&cx, JOB.0), request).await;
        assert!(matches!(
            reply,
            OwnerReply::Submitted(SubmitReply::Accepted)
        ));
        let reply = world.submit(&cx, 2, vec![step(1, 10, &[])]).await;
        assert!(matches!(reply, SubmitReply::Accepted));
        let limit = Duration::from_secs(120);
        for job in [2, JOB.0] {
            until("the job is completed", limit, async || {
                world.state(&cx, job).await == Some(JobState::Completed)
            })
            .await;
        }
        let starts = world.starts.borrow();
        let tasks: IndexSet<TaskId> = starts.iter().map(|(_, run, _)| run.task).collect();
        assert_eq!(tasks.len(), 1_500 * 8 + 1);
        world.check();
    });
}

proptest! {
    /// A set of ranges contains what was added, in as few ranges as possible.
    #[test]
    fn ranges_contain_what_was_added(numbers in proptest::collection::vec(0..40_u32, 0..60)) {
        let (mut set, mut expected) = (NumberSet::default(), BTreeSet::new());
        for number in numbers {
            set.insert(number);
            expected.insert(number);
            for n in 0..41 {
                prop_assert_eq!(set.contains(n), expected.contains(&n));
            }
            let starts = expected.iter().filter(|n| **n == 0 || !expected.contains(&(**n - 1)));
            prop_assert_eq!(set.ranges(), starts.count());
        }
    }
}
